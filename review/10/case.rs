#[path = "../lib-2/common.rs"]
mod common;

use common::*;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The copy that the caches hold: its bytes, and when the origin gave it out.
struct Copy {
    bytes: &'static str,
    minted: u64,
}

fn main() {
    let run = Run::new();
    let record = run.record.clone();
    let journal = Journal::start(&record);
    let store = Store::start(&record);
    let copy = Arc::new(Mutex::new(Copy { bytes: "before the purge", minted: unix_ms() }));
    let asked = Arc::new(AtomicUsize::new(0));
    let host = |id: &str| {
        let (copy, asked, record) = (copy.clone(), asked.clone(), record.clone());
        Host::start(
            id,
            Arc::new(move |pull, back| {
                asked.fetch_add(1, Ordering::Relaxed);
                let copy = copy.lock().unwrap();
                record.line(format!("{}: {} is answered '{}'", pull.host, pull.id, copy.bytes));
                let fields = format!("tag=0000000000000001,why=TCP_HIT,minted={}", copy.minted);
                back.answer(&pull.id, "data", &fields, copy.bytes.as_bytes());
            }),
        )
    };
    let (cache, parent, origin) = (host("cache-a"), host("hub-a"), host("origin"));
    let all = [member(&cache, "depot", "cache", "ready", 0), member(&parent, "hub", "parent", "ready", 0),
        member(&origin, "hub", "origin", "ready", 0)];
    journal.tell(&hosts_event(true, &all));
    // The settings give the track of the images another effect: its requests carry a key.
    let keyed = settings(2).replacen(
        r#""importance": 1.0, "semantics": "repeatable""#,
        r#""importance": 1.0, "semantics": "by_key""#,
        1,
    );
    let operator = run.temp.join("operator.json");
    std::fs::write(&operator, store_section(store.port)).unwrap();
    let operator = operator.to_string_lossy().into_owned();
    let config = config(&journal.address, &journal.known(), &keyed);
    let env = [("RELAY_OPERATOR", operator.as_str())];
    let (n1, n2) = (run.start("n1", &config, &env), run.start("n2", &config, &env));
    // Until the dispatchers trust the store.
    sleep_ms(4_000);
    copy.lock().unwrap().minted = unix_ms();
    sleep_ms(20);
    let (object, key) = ("7f3a9c21e0b4d655", format!("{}{}", new_ref(), new_ref()));
    let ask = |client: &mut Client, allow: &str| {
        let id = new_ref();
        let fields = [("ref", id.as_str()), ("allow", allow), ("replay", &key), ("lookup", object), ("part", "0"),
            ("group", "17"), ("room", "40.0")];
        record.line(format!("client: sends {id} with key {key}"));
        client.request("image", &fields, b"").is_ok()
    };
    // The first try: its answer does not arrive, for the connection ends.
    let mut client = Client::connect(&n1.listen).unwrap();
    ask(&mut client, "3000");
    while asked.load(Ordering::Relaxed) == 0 {
        sleep_ms(1);
    }
    sleep_ms(60);
    client.close();
    record.line("client: the connection to n1 has ended, its answer is lost");
    if run.trouble {
        let (object, now) = (object, unix_ms());
        *copy.lock().unwrap() = Copy { bytes: "after the purge", minted: now + 1 };
        journal.tell(&format!("{{\"pos\":{{POS}},\"expire\":{{\"name\":\"{object}\",\"stamp\":{now}}}}}"));
    }
    // The grace of a purge is 500 ms, and 50 ms more on sockets.
    sleep_ms(900);
    let mut client = Client::connect(&n2.listen).unwrap();
    if !ask(&mut client, "1900") {
        run.finish(2, "the connection to the dispatcher ended");
    }
    let Some(answer) = client.answer(Duration::from_secs(4)) else {
        run.finish(2, "the second try got no answer");
    };
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    record.line(format!("client: is answered {} '{body}'", answer.result));
    match (answer.result.as_str(), run.trouble, body.as_str()) {
        ("served", true, "before the purge") => run.finish(1, "n2 answered from a copy older than a purge that it had been told of"),
        ("served", ..) => run.finish(0, "the answer was from an allowed copy"),
        _ => run.finish(2, "the second try was not served"),
    }
}
