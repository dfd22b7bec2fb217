#[path = "../lib-2/common.rs"]
mod common;

use common::*;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What the journal service has to tell counts as told this long afterwards.
const TOLD_WITHIN: Duration = Duration::from_secs(7);
/// The time in which nothing new may go to a host that is told to drain, with the slack of sockets.
const GRACE: Duration = Duration::from_millis(2_050);
/// How long the journal service takes to answer a call on a slow day.
const SLOW_MS: u64 = 2_500;

fn main() {
    let run = Run::new();
    let record = run.record.clone();
    let journal = Journal::start(&record);
    let sent: Shared<Vec<(String, Instant)>> = Arc::default();
    let host = |id: &str| {
        let sent = sent.clone();
        Host::start(
            id,
            Arc::new(move |pull, back| {
                sent.lock().unwrap().push((pull.host.clone(), pull.at));
                let fields = format!("tag=0000000000000001,why=TCP_HIT,minted={}", pull.unix_ms - 1_000);
                back.answer(&pull.id, "data", &fields, b"bytes");
            }),
        )
    };
    let (a, b, parent, origin) = (host("cache-a"), host("cache-b"), host("hub-a"), host("origin"));
    let all = |phase: &str| {
        vec![member(&a, "depot", "cache", phase, 0), member(&b, "depot", "cache", "ready", 0),
            member(&parent, "hub", "parent", "ready", 0), member(&origin, "hub", "origin", "ready", 0)]
    };
    journal.tell(&hosts_event(true, &all("ready")));
    if run.trouble {
        journal.head_delay_ms.store(SLOW_MS, Ordering::Relaxed);
    }
    let config = config(&journal.address, &journal.known(), &settings(1));
    let dispatcher = run.start("n1", &config, &[]);
    sleep_ms(4_000);
    let mut client = Client::connect(&dispatcher.listen).unwrap();
    journal.tell(&hosts_event(false, &[member(&a, "depot", "cache", "draining", 0)]));
    let told_at = Instant::now() + TOLD_WITHIN;
    let latest = told_at + GRACE;
    let mut n = 0u64;
    while Instant::now() < latest + Duration::from_secs(5) {
        n += 1;
        let (id, object) = (new_ref(), format!("{:016x}", 0x7f3a_9c21_0000_0000 + n));
        let fields = [("ref", id.as_str()), ("allow", "3000"), ("lookup", &object), ("part", "0"), ("group", "17"), ("room", "40.0")];
        if client.request("image", &fields, b"").is_err() {
            run.finish(2, "the connection to the dispatcher ended");
        }
        if let Some(answer) = client.answer(Duration::from_secs(4)) && n % 50 == 1 {
            record.line(format!("client: request {n} is answered {}", answer.result));
        }
        sleep_ms(20);
    }
    let sent = sent.lock().unwrap();
    let at_a: Vec<Instant> = sent.iter().filter(|(host, _)| host == "cache-a").map(|(_, at)| *at).collect();
    let late = at_a.iter().filter(|at| **at > latest).count();
    record.line(format!("cache-a got {} requests, {late} of them after its drain was to be heeded", at_a.len()));
    if at_a.is_empty() {
        run.finish(2, "cache-a was never asked");
    }
    match late {
        0 => run.finish(0, "nothing went to the draining host past the grace"),
        n => run.finish(1, &format!("{n} requests went to a draining host past the grace")),
    }
}
