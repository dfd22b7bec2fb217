#[path = "../lib-2/common.rs"]
mod common;

use common::*;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Accesses a second, from all clients together; the pages have up to 950 at a dispatcher.
const RATE: u64 = 900;
const CLIENTS: u64 = 12;
/// How long a client waits for an answer, in milliseconds, and how much later it is owed none any more.
const ALLOW_MS: u64 = 1_000;
const LATEST_MS: u64 = 500;
/// How long new configurations come, at most, and how far apart.
const LOAD: Duration = Duration::from_secs(90);
const EVERY_MS: u64 = 100;

fn main() {
    let run = Run::new();
    let record = run.record.clone();
    let journal = Journal::start(&record);
    let store = Store::quiet(&record);
    let answer: Behaviour =
        Arc::new(|pull, back| back.answer(&pull.id, "data", "tag=0000000000000001,why=TCP_MISS", b"changed"));
    let origin = Host::start("origin", answer);
    journal.tell(&hosts_event(true, &[member(&origin, "hub", "origin", "ready", 0)]));
    // The operator tries another wait for the store, and goes back.
    let section = |wait: u64| store_section(store.port).replace("\"wait_ms\":4.0", &format!("\"wait_ms\":{wait}.0"));
    let operator = run.temp.join("operator.json");
    std::fs::write(&operator, section(4)).unwrap();
    let path = operator.to_string_lossy().into_owned();
    let config = config(&journal.address, &journal.known(), &settings(1));
    let dispatcher = run.start("n1", &config, &[("RELAY_OPERATOR", path.as_str())]);
    sleep_ms(2_000);
    let (asked, over) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicBool::new(false)));
    let lost: Shared<Vec<String>> = Arc::default();
    let until = Instant::now() + if run.trouble { LOAD } else { Duration::from_secs(20) };
    let mut clients = Vec::new();
    for n in 0..CLIENTS {
        let (listen, record) = (dispatcher.listen.clone(), record.clone());
        let (asked, over, lost) = (asked.clone(), over.clone(), lost.clone());
        clients.push(thread::spawn(move || {
            let mut next = Instant::now() + Duration::from_micros(n * 1_000_000 / RATE);
            let mut client = Client::connect(&listen).unwrap();
            while Instant::now() < until && !over.load(Ordering::Relaxed) {
                thread::sleep(next.saturating_duration_since(Instant::now()));
                next += Duration::from_micros(CLIENTS * 1_000_000 / RATE);
                let (id, key) = (new_ref(), format!("{}{}", new_ref(), new_ref()));
                let allow = ALLOW_MS.to_string();
                let fields = [("ref", id.as_str()), ("allow", &allow), ("replay", &key), ("lookup", "7f3a9c21e0b4d655"),
                    ("part", "0"), ("group", "17"), ("room", "1.0")];
                let sent = record.ms();
                if client.request("order-change", &fields, b"change").is_err() {
                    record.line(format!("client {n}: the connection ended"));
                    client = Client::connect(&listen).unwrap();
                    continue;
                }
                asked.fetch_add(1, Ordering::Relaxed);
                if client.answer(Duration::from_millis(ALLOW_MS + LATEST_MS + 50)).is_none() {
                    record.line(format!("client {n}: sent {id} at {sent}, allow {allow}, and got no answer"));
                    lost.lock().unwrap().push(id);
                    over.store(true, Ordering::Relaxed);
                }
            }
        }));
    }
    let mut hangups = 0;
    while run.trouble && Instant::now() < until && !over.load(Ordering::Relaxed) {
        sleep_ms(EVERY_MS);
        hangups += 1;
        // The file is replaced as a whole.
        let new = run.temp.join("operator.new");
        std::fs::write(&new, section(4 + hangups % 2)).unwrap();
        std::fs::rename(&new, &operator).unwrap();
        dispatcher.signal(SIGHUP);
        record.line(format!("new configuration {hangups}, SIGHUP"));
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    if dispatcher.ended().is_some() {
        run.finish(1, "the dispatcher ended");
    }
    let (asked, lost) = (asked.load(Ordering::Relaxed), lost.lock().unwrap().len());
    record.line(format!("{asked} accesses, {lost} of them never answered, {hangups} new configurations"));
    match lost {
        0 => run.finish(0, "every access was answered"),
        n => run.finish(1, &format!("{n} accesses of {asked} were never answered, after {hangups} new configurations")),
    }
}
