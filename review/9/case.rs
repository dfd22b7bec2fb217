#[path = "../lib-2/common.rs"]
mod common;

use common::*;
use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// How long the origin drops repeats of a key.
const WINDOW: Duration = Duration::from_secs(2);
/// How late the store answers on a slow day.
const SLOW_MS: u64 = 50;

fn main() {
    let run = Run::new();
    let record = run.record.clone();
    let journal = Journal::start(&record);
    let store = Store::start(&record);
    let keys: Shared<HashMap<String, (Instant, u32)>> = Arc::default();
    let (seen, origin_record) = (keys.clone(), record.clone());
    let origin = Host::start(
        "origin",
        Arc::new(move |pull, back| {
            let key = pull.field("dedupe").to_owned();
            let mut all = seen.lock().unwrap();
            let entry = all.entry(key.clone()).or_insert((pull.at, 0));
            if entry.1 > 0 && pull.at - entry.0 < WINDOW {
                origin_record.line(format!("origin: {} with key {key} is a repeat, dropped", pull.id));
            } else {
                *entry = (pull.at, entry.1 + 1);
                origin_record.line(format!("origin: {} with key {key} runs, time {}", pull.id, entry.1));
            }
            thread::spawn(move || {
                sleep_ms(700);
                back.answer(&pull.id, "data", "tag=0000000000000001,why=TCP_MISS", b"changed");
            });
        }),
    );
    journal.tell(&hosts_event(true, &[member(&origin, "hub", "origin", "ready", 0)]));
    let operator = run.temp.join("operator.json");
    std::fs::write(&operator, store_section(store.port)).unwrap();
    let operator = operator.to_string_lossy().into_owned();
    let config = config(&journal.address, &journal.known(), &settings(2));
    let env = [("RELAY_OPERATOR", operator.as_str())];
    let (n1, n2) = (run.start("n1", &config, &env), run.start("n2", &config, &env));
    // Until the dispatchers trust the store.
    sleep_ms(4_000);
    let key = format!("{}{}", new_ref(), new_ref());
    let ask = |client: &mut Client, allow: &str| {
        let id = new_ref();
        let fields = [("ref", id.as_str()), ("allow", allow), ("replay", &key), ("lookup", "7f3a9c21e0b4d655"),
            ("part", "0"), ("group", "17"), ("room", "1.0")];
        record.line(format!("client: sends {id} with key {key}, allow {allow}"));
        client.request("order-change", &fields, b"change").is_ok()
    };
    let mut client = Client::connect(&n1.listen).unwrap();
    ask(&mut client, "3000");
    sleep_ms(300);
    n1.signal(SIGKILL);
    record.line("n1 is killed");
    if run.trouble {
        store.delay_ms.store(SLOW_MS, Ordering::Relaxed);
        record.line(format!("store: answers {SLOW_MS} ms late from now on"));
    }
    // The front notices after 1.3 to 3.4 s; until then the client finds nobody.
    sleep_ms(1_900);
    let mut client = Client::connect(&n2.listen).unwrap();
    if !ask(&mut client, "800") {
        run.finish(2, "the connection to the dispatcher ended");
    }
    match client.answer(Duration::from_secs(3)) {
        Some(answer) => record.line(format!("client: is answered {} {:?}", answer.result, answer.fields)),
        None => record.line("client: no answer"),
    }
    let times = keys.lock().unwrap().get(&key).map_or(0, |entry| entry.1);
    match times {
        0 => run.finish(2, "the origin was not asked"),
        1 => run.finish(0, "the change was made once"),
        n => run.finish(1, &format!("the change was made {n} times")),
    }
}
