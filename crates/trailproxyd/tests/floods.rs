//! Clients and hosts that send without a pause, and clients beside them, which are answered in time.

#[allow(dead_code, reason = "other test files use the rest")]
mod flooding;
#[allow(dead_code, reason = "other test files use the rest")]
mod harness;

use flooding::{Flood, repeat};
use harness::{BlockedHost, Cluster, fields, hosts, member};
use serde_json::json;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The lowest memory limit that the operators set.
const MEMORY_MB: u64 = 32;
/// How long a client waits for its answer.
const ALLOWED: Duration = Duration::from_secs(3);
/// How long the flood lasts: longer than a client waits.
const FLOOD_TIME: Duration = Duration::from_secs(5);
fn small_cluster() -> Cluster {
    Cluster::with_config(|config, _| config["limits"]["memory_mb"] = json!(MEMORY_MB))
}

/// Lets a client ask for one object after the other while `flood` runs. Fails unless each is answered in time, and the
/// daemon stays within its memory limit.
fn assert_others_are_served(
    cluster: &Cluster,
    flood: impl FnOnce(Arc<AtomicBool>) + Send + 'static,
) {
    let mut client = cluster.client();
    let stop = Arc::new(AtomicBool::new(false));
    let flooding = {
        let stop = stop.clone();
        std::thread::spawn(move || flood(stop))
    };
    let until = Instant::now() + FLOOD_TIME;
    let mut object = 1_000_000;
    while Instant::now() < until {
        object += 1;
        let asked_at = Instant::now();
        let number = client.request("image", object, ALLOWED.as_millis() as u64);
        client
            .stream
            .set_read_timeout(Some(Duration::from_millis(1)))
            .expect("an option");
        while client.stream.peek(&mut [0]).is_err() {
            assert!(asked_at.elapsed() < ALLOWED, "no answer within {ALLOWED:?}");
            while let Some(request) = cluster.next_request_within(Duration::ZERO) {
                request.answer_hit(b"x");
            }
        }
        client
            .stream
            .set_read_timeout(Some(harness::MAX_WAIT))
            .expect("an option");
        let (answered, answer) = client.next_answer();
        assert_eq!(answered, number);
        assert!(answer.is_done(), "{answer:?}");
    }
    stop.store(true, Ordering::Relaxed);
    flooding.join().expect("a flood");
    let peak = cluster.program.memory("VmHWM:");
    assert!(peak <= MEMORY_MB << 20, "the peak was {} KB", peak >> 10);
}

/// Fails unless others are served beside one client of this kind.
fn assert_others_are_served_beside(flood: Flood) {
    let cluster = small_cluster();
    let client = cluster.client();
    assert_others_are_served(&cluster, move |stop| flood.run(client, &stop));
}

/// One client sends heartbeats at full speed and reads the answers. Guards against a connection that reads for as long as
/// there is data, while no other task runs.
#[test]
fn others_are_served_while_a_client_sends_heartbeats_without_a_pause() {
    assert_others_are_served_beside(Flood::Heartbeats);
}

/// The same with invalid requests under ever new names.
#[test]
fn others_are_served_while_a_client_sends_invalid_requests_without_a_pause() {
    assert_others_are_served_beside(Flood::InvalidRequests);
}

/// One client sends requests and revokes each at once. Guards against the same, and against a queue of requests and
/// revocations that grows while the dispatcher does not run.
#[test]
fn others_are_served_while_a_client_revokes_requests_without_a_pause() {
    assert_others_are_served_beside(Flood::RevokedRequests);
}

/// A host sends answers to nothing at full speed. Guards against the same on connections to hosts.
#[test]
fn others_are_served_while_a_host_sends_answers_without_a_pause() {
    const CACHES: [&str; 2] = ["c1", "c2"];
    let cluster = small_cluster();
    let mut client = cluster.client();
    // A connection to each cache, of which one is taken for the flood.
    let stream = (0..)
        .find_map(|object| {
            client.request("image", object, 3000);
            let request = cluster.next_request();
            request.answer_hit(b"x");
            client.next_answer();
            CACHES.contains(&request.host).then_some(request.stream)
        })
        .expect("a cache");
    assert_others_are_served(&cluster, move |stop| {
        let answer = b"*4\r\n$16\r\n0123456789abcdef\r\n$6\r\nabsent\r\n$1\r\n-\r\n$0\r\n\r\n";
        repeat(&stream, answer, &stop);
    });
}

/// The journal service sends comments at full speed. Guards against the same on the connection to it.
#[test]
fn others_are_served_while_the_journal_service_sends_without_a_pause() {
    let cluster = small_cluster();
    let call = cluster.next_journal_call();
    assert_others_are_served(&cluster, move |stop| {
        repeat(&call.stream, b": well\n\n", &stop);
    });
}

/// Thousands of requests wait for a host whose connections do not come up. Guards against work for each new request that
/// grows with the number of those that wait: nobody else is answered meanwhile.
#[test]
fn others_are_answered_while_thousands_of_requests_wait_for_a_connection() {
    const CLIENTS: u64 = 400;
    const OPEN_REQUESTS: u64 = 32;
    const WAIT_MS: u64 = 60_000;
    let blocked_host = BlockedHost::new();
    let cluster = Cluster::with_config(|config, _| {
        let cache = member("c1", blocked_host.address, "ready", 0);
        config["known"]["entries"] = json!([hosts(1, true, &[cache])]);
        let ceilings = &mut config["settings"]["ceilings"];
        ceilings["max_open"] = json!(20_000);
        ceilings["dial_timeout_us"] = json!(WAIT_MS * 1_000);
        for class in config["settings"]["classes"]
            .as_array_mut()
            .expect("classes")
        {
            class["on_time_us"] = json!(WAIT_MS * 1_000);
            class["hard_limit_us"] = json!(WAIT_MS * 1_000);
        }
    });
    let mut others: Vec<_> = (0..CLIENTS).map(|_| cluster.client()).collect();
    let mut client = cluster.client();
    for other in &mut others {
        let requests: Vec<u8> = (0..OPEN_REQUESTS)
            .flat_map(|_| {
                let mut fields = fields(other.last_number(), WAIT_MS);
                let reference = format!("{:016x}", fastrand::u64(..));
                fields[0].1 = reference;
                other.encode("image", fields, &[])
            })
            .collect();
        other.stream.write_all(&requests).expect("requests");
    }
    let asked_at = Instant::now();
    client.request_with("heartbeat", vec![], &[]);
    client.next_answer();
    // One that is answered by the same task as the requests.
    client.request_with("image", fields(1, 0), &[]);
    client.next_answer();
    assert!(
        asked_at.elapsed() < ALLOWED,
        "an answer after {:?}",
        asked_at.elapsed()
    );
}
