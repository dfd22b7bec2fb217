//! Dispatchers that share a store, over sockets: the stand-in of Redis fails, and clients are answered once.

#[allow(dead_code, reason = "other test files use the rest")]
mod harness;

use harness::*;
use serde_json::{Value as Json, json};
use std::path::PathBuf;
use std::time::{Duration, Instant};
use trailproxy::units::TimeSpan;
use trailproxy_standins::redis::{Delay, Redis};
use trailproxy_standins::redis_server::{Fault, RedisServer};

fn section(port: u16, password_file: &str) -> Json {
    json!({"store": {
        "file": "operator.star", "place": [1, 1], "host": "127.0.0.1", "port": port,
        "password_file": password_file, "prefix": "t/", "wait_ms": 20.0, "keep_s": 5.0,
        "records": true, "hints": true, "purges": true, "words": false
    }})
}

/// Two dispatchers before the same hosts, both with this section.
fn pair(name: &str, section: &Json) -> (Cluster, Program, PathBuf) {
    let path = std::env::temp_dir().join(format!("tps-{name}-{}.json", std::process::id()));
    std::fs::write(&path, section.to_string()).expect("a file");
    let cluster = Cluster::with_config(|config, _| config["operator"] = json!(path));
    let other = Program::start(&cluster.config, free_address());
    (cluster, other, path)
}

#[test]
fn a_change_sent_again_elsewhere_is_done_once() {
    let store = RedisServer::start(Redis::new(1), 1).expect("a server");
    let (cluster, other, path) = pair("faults", &section(store.address.port(), ""));
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
        "no host heard of it twice"
    );

    // Two at once: the second waits for the first and gets its answer.
    first.request_with("change", keyed_fields("k2"), b"no video");
    let change = cluster.next_request();
    second.request_with("change", keyed_fields("k2"), b"no video");
    assert!(
        cluster
            .next_request_within(Duration::from_millis(80))
            .is_none(),
        "it joins"
    );
    change.answer("data", "", b"noted");
    assert!(matches!(first.next_answer().1, FinalAnswer::Done(..)));
    assert_done(second.next_answer().1, b"noted");

    let _ = std::fs::remove_file(path);
}

/// A name, and what strikes the store.
type Strike = (&'static str, fn(&RedisServer));

const FAULTS: [Strike; 11] = [
    ("slow", |store| {
        let (least, mean_more) = (TimeSpan::from_millis(30), TimeSpan::from_millis(10));
        store.fault(Fault::Slow(Delay { least, mean_more }), LASTS);
    }),
    ("late", |store| {
        store.fault(Fault::ApplyAfter(TimeSpan::from_millis(60)), LASTS)
    }),
    ("no-memory", |store| store.fault(Fault::NoMemory, LASTS)),
    ("pause", |store| store.fault(Fault::Pause, LASTS)),
    ("dropped-answers", |store| {
        store.fault(Fault::DropAnswers, LASTS)
    }),
    ("garbage", |store| store.fault(Fault::Garbage, LASTS)),
    ("closed", |store| store.fault(Fault::Closed, LASTS)),
    ("wiped", |store| store.wipe()),
    ("split", |store| store.split()),
    ("rolled-back", |store| store.restart(true, -500)),
    ("restarted-empty", |store| store.restart(false, 500)),
];
const LASTS: Duration = Duration::from_secs(3);

/// Whatever becomes of a store that is trusted, the next changes are sent on soon and each is answered once.
fn struck((name, strike): Strike) {
    let store = RedisServer::start(Redis::new(1), 1).expect("a server");
    let (cluster, other, path) = pair(name, &section(store.address.port(), ""));
    for program in [&cluster.program, &other] {
        wait_for("trust", || program.log_contains("trust: together"));
    }
    store.snapshot();
    strike(&store);
    let mut client = cluster.client();
    for nth in 0..4 {
        let asked = Instant::now();
        client.request_with("change", keyed_fields(&format!("f{nth}")), b"x");
        let change = cluster.next_request();
        let held = asked.elapsed();
        assert!(held < Duration::from_secs(1), "{name}: held for {held:?}");
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

#[test]
fn whatever_strikes_a_trusted_store_the_service_goes_on() {
    // A few at a time: trust is won by answers in time, which a machine with thirty processes at once does not give.
    for few in FAULTS.chunks(4) {
        let all = few
            .iter()
            .map(|&fault| std::thread::spawn(move || struck(fault)));
        for one in all.collect::<Vec<_>>() {
            one.join().expect("a fault is survived");
        }
    }
}

#[test]
fn a_wrong_password_is_told_once_and_the_dispatcher_serves_alone() {
    let store = RedisServer::start(Redis::new(1).with_password("right"), 1).expect("a server");
    let secret = std::env::temp_dir().join(format!("tps-secret-{}", std::process::id()));
    std::fs::write(&secret, "wrong\n").expect("a file");
    let (cluster, _other, path) = pair(
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
    // With the right one it comes by itself.
    std::fs::write(&secret, "right\n").expect("a file");
    wait_for("a connection", || {
        cluster.program.log_contains("trust: returning")
    });
    let _ = (std::fs::remove_file(path), std::fs::remove_file(secret));
}

#[test]
fn a_purge_that_only_the_store_knows_reaches_a_new_dispatcher() {
    let store = RedisServer::start(Redis::new(1), 1).expect("a server");
    let (cluster, other, path) = pair("purge", &section(store.address.port(), ""));
    // A store that has yet to prove itself is told all the same.
    for program in [&cluster.program, &other] {
        wait_for("a connection", || program.log_contains("trust: returning"));
    }
    wait_for("an epoch", || store.keys() > 0);
    // The journal service tells the two, and never a third.
    let purge = json!({"pos": 2, "expire": {"name": format!("{:016x}", 7), "stamp": unix_ms()}});
    let lines = [cluster.next_journal_call(), cluster.next_journal_call()].map(|mut line| {
        line.send(&purge);
        line
    });
    let before = store.keys();
    wait_for("the store is told", || store.keys() > before);
    drop((lines, other));
    let newcomer = Program::start(&cluster.config, free_address());
    let mut client = Client::new(newcomer.address);
    wait_for("the purge is heeded", || {
        client.request("image", 7, 2000);
        let request = cluster.next_request();
        request.answer_hit(b"x");
        client.next_answer();
        request.field("fresh").is_some_and(|ms| ms != "0")
    });
    let _ = std::fs::remove_file(path);
}
