//! Tests of dispatchers that share a store: a simulated Redis fails in various ways, and each request is answered once.

#[allow(dead_code, reason = "other test files use the rest")]
mod harness;

use harness::*;
use serde_json::{Value as Json, json};
use std::path::PathBuf;
use std::time::{Duration, Instant};
use trailproxy::units::TimeSpan;
use trailproxy_standins::redis::{Delay, Redis};
use trailproxy_standins::redis_server::{Fault, RedisServer};

/// Builds a configuration with a `store` section.
fn section(port: u16, password_file: &str) -> Json {
    json!({"store": {
        "file": "operator.star", "place": [1, 1], "host": "127.0.0.1", "port": port,
        "password_file": password_file, "prefix": "t/", "wait_ms": 20.0, "keep_s": 5.0,
        "records": true, "hints": true, "purges": true, "words": false
    }})
}

/// Starts two dispatchers with the same hosts and this section.
fn start_two(name: &str, section: &Json) -> (Cluster, Program, PathBuf) {
    let path = std::env::temp_dir().join(format!("tps-{name}-{}.json", std::process::id()));
    std::fs::write(&path, section.to_string()).expect("a file");
    let cluster = Cluster::with_config(|config, _| config["operator"] = json!(path));
    let other = Program::start(&cluster.config, free_address());
    (cluster, other, path)
}

/// A keyed request is repeated at another dispatcher after it is done and while it is in flight. Guards against running
/// it twice.
#[test]
fn a_repeat_at_another_dispatcher_runs_once() {
    let store = RedisServer::start(Redis::new(1), 1).expect("a server");
    let (cluster, other, path) = start_two("faults", &section(store.address.port(), ""));
    for program in [&cluster.program, &other] {
        wait_for("trust", || program.log_contains("trust: together"));
    }
    let (mut first, mut second) = (cluster.client(), Client::new(other.address));
    first.request_with("change", keyed_fields("k1"), b"new address");
    let change = cluster.next_request();
    change.answer("data", "", b"accepted");
    assert!(matches!(first.next_answer().1, FinalAnswer::Done(..)));
    second.request_with("change", keyed_fields("k1"), b"new address");
    assert_done(second.next_answer().1, b"accepted");
    assert!(
        cluster
            .next_request_within(Duration::from_millis(100))
            .is_none(),
        "no host received it twice"
    );

    // Two at once: the second waits for the first and gets its answer.
    first.request_with("change", keyed_fields("k2"), b"no video");
    let change = cluster.next_request();
    second.request_with("change", keyed_fields("k2"), b"no video");
    assert!(
        cluster
            .next_request_within(Duration::from_millis(80))
            .is_none(),
        "the repeat joins"
    );
    change.answer("data", "", b"noted");
    assert!(matches!(first.next_answer().1, FinalAnswer::Done(..)));
    assert_done(second.next_answer().1, b"noted");

    let _ = std::fs::remove_file(path);
}

/// A name, and a function that injects the fault into the store.
type StoreFault = (&'static str, fn(&RedisServer));

const FAULTS: [StoreFault; 11] = [
    ("slow", |store| {
        let (least, mean_more) = (TimeSpan::from_millis(30), TimeSpan::from_millis(10));
        store.fault(Fault::Slow(Delay { least, mean_more }), FAULT_DURATION);
    }),
    ("late", |store| {
        store.fault(Fault::ApplyAfter(TimeSpan::from_millis(60)), FAULT_DURATION)
    }),
    ("no-memory", |store| {
        store.fault(Fault::NoMemory, FAULT_DURATION)
    }),
    ("pause", |store| store.fault(Fault::Pause, FAULT_DURATION)),
    ("dropped-answers", |store| {
        store.fault(Fault::DropAnswers, FAULT_DURATION)
    }),
    ("garbage", |store| {
        store.fault(Fault::Garbage, FAULT_DURATION)
    }),
    ("closed", |store| store.fault(Fault::Closed, FAULT_DURATION)),
    ("wiped", |store| store.wipe()),
    ("split", |store| store.split()),
    ("rolled-back", |store| store.restart(true, -500)),
    ("restarted-empty", |store| store.restart(false, 500)),
];
const FAULT_DURATION: Duration = Duration::from_secs(3);

/// Injects a fault into a trusted store, and checks that the next changes are sent on soon and answered once each.
fn check_fault((name, inject): StoreFault) {
    let store = RedisServer::start(Redis::new(1), 1).expect("a server");
    let (cluster, other, path) = start_two(name, &section(store.address.port(), ""));
    for program in [&cluster.program, &other] {
        wait_for("trust", || program.log_contains("trust: together"));
    }
    store.snapshot();
    inject(&store);
    let mut client = cluster.client();
    for index in 0..4 {
        let asked = Instant::now();
        client.request_with("change", keyed_fields(&format!("f{index}")), b"x");
        let change = cluster.next_request();
        let delay = asked.elapsed();
        assert!(
            delay < Duration::from_secs(1),
            "{name}: delayed by {delay:?}"
        );
        change.answer("data", "", b"ok");
        assert_done(client.next_answer().1, b"ok");
    }
    assert!(
        cluster
            .next_request_within(Duration::from_millis(50))
            .is_none(),
        "{name}: sent twice"
    );
    let _ = std::fs::remove_file(path);
}

/// Guards against requests that wait for a store which is slow, paused, closed, wiped, split or restarted, and against
/// sending one twice.
#[test]
fn requests_are_answered_under_every_fault_of_the_store() {
    // A few faults at a time: the store is trusted only after it answered in time, which a machine with thirty processes
    // does not ensure.
    for few in FAULTS.chunks(4) {
        let checks = few
            .iter()
            .map(|&fault| std::thread::spawn(move || check_fault(fault)));
        for check in checks.collect::<Vec<_>>() {
            check.join().expect("a fault is survived");
        }
    }
}

/// Each answer of the store takes 150 ms. Guards against a limit for all answers that a connection needs together: it is given
/// up each time and begun anew, and the dispatchers never learn anything from each other.
#[test]
fn a_store_that_answers_slowly_is_connected_to() {
    let store = RedisServer::start(Redis::new(1), 1).expect("a server");
    let delay = Delay {
        least: TimeSpan::from_millis(150),
        mean_more: TimeSpan::ZERO,
    };
    store.fault(Fault::Slow(delay), Duration::from_secs(60));
    let (cluster, other, path) = start_two("slow-start", &section(store.address.port(), ""));
    for program in [&cluster.program, &other] {
        wait_for("a connection", || program.log_contains("trust: returning"));
    }
    wait_for("an epoch", || store.keys() > 0);
    let before = store.keys();
    let purge = json!({"pos": 2, "expire": {"name": format!("{:016x}", 7), "stamp": unix_ms()}});
    cluster.next_journal_call().send(&purge);
    wait_for("the store has the purge", || store.keys() > before);
    let _ = std::fs::remove_file(path);
}

/// Guards against requests that fail without the store, and against a dispatcher that does not reconnect when the
/// password file is corrected.
#[test]
fn a_wrong_password_is_logged_and_the_dispatcher_serves_without_the_store() {
    let store = RedisServer::start(Redis::new(1).with_password("right"), 1).expect("a server");
    let secret = std::env::temp_dir().join(format!("tps-secret-{}", std::process::id()));
    std::fs::write(&secret, "wrong\n").expect("a file");
    let (cluster, _other, path) = start_two(
        "password",
        &section(store.address.port(), &secret.to_string_lossy()),
    );
    wait_for("the cause", || {
        cluster.program.log_contains("store not reached")
    });
    let mut client = cluster.client();
    client.request_with("change", keyed_fields("k1"), b"x");
    cluster.next_request().answer("data", "", b"ok");
    assert_done(client.next_answer().1, b"ok");
    assert!(!cluster.program.log_contains("trust: returning"));
    // With the right password the dispatcher connects by itself.
    std::fs::write(&secret, "right\n").expect("a file");
    wait_for("a connection", || {
        cluster.program.log_contains("trust: returning")
    });
    let _ = (std::fs::remove_file(path), std::fs::remove_file(secret));
}

/// Two dispatchers receive a purge and pass it on to the store. Guards against stale copies served by a dispatcher that
/// starts later and never receives the purge from the journal.
#[test]
fn a_purge_that_only_the_store_knows_reaches_a_new_dispatcher() {
    let store = RedisServer::start(Redis::new(1), 1).expect("a server");
    let (cluster, other, path) = start_two("purge", &section(store.address.port(), ""));
    // Purges are also sent to a store that is not trusted yet.
    for program in [&cluster.program, &other] {
        wait_for("a connection", || program.log_contains("trust: returning"));
    }
    wait_for("an epoch", || store.keys() > 0);
    // The journal service sends the purge to the two, and never to the third.
    let purge = json!({"pos": 2, "expire": {"name": format!("{:016x}", 7), "stamp": unix_ms()}});
    let journals = [cluster.next_journal_call(), cluster.next_journal_call()].map(|mut journal| {
        journal.send(&purge);
        journal
    });
    let before = store.keys();
    wait_for("the store has the purge", || store.keys() > before);
    drop((journals, other));
    let new_dispatcher = Program::start(&cluster.config, free_address());
    let mut client = Client::new(new_dispatcher.address);
    wait_for("the purge is applied", || {
        client.request("image", 7, 2000);
        let request = cluster.next_request();
        request.answer_hit(b"x");
        client.next_answer();
        request.field("fresh").is_some_and(|ms| ms != "0")
    });
    let _ = std::fs::remove_file(path);
}
