//! Faults that take two or three rare conditions at once: each story makes their bad order happen every time.

#[allow(dead_code, reason = "other test files use the rest")]
mod harness;

use harness::*;
use serde_json::json;
use std::io::Read;
use std::os::fd::AsRawFd;
use std::time::{Duration, Instant};
use trailproxy_fault_control::Kind;

/// The operators' slack of a deadline that is passed on.
const SLACK_MS: u64 = 150;

fn ttl(request: &HostMessage) -> u64 {
    request
        .field("ttl")
        .expect("a deadline")
        .parse()
        .expect("ms")
}

/// A cluster with few places for clients, all of which but none wait for a host.
fn full_house() -> (Cluster, Vec<Client>, Vec<HostMessage>) {
    let cluster = Cluster::with_config(|config, _| config["limits"]["sockets"] = json!(48));
    let mut clients = Vec::new();
    let mut requests = Vec::new();
    for n in 0..24 {
        let mut client = cluster.client();
        client.request("order", 100 + n, 9000);
        requests.push(cluster.next_request());
        clients.push(client);
    }
    (cluster, clients, requests)
}

#[test]
fn what_waited_for_a_place_passes_on_what_its_client_has_left() {
    let (cluster, mut clients, requests) = full_house();
    let mut late = cluster.client();
    let asked = Instant::now();
    late.request("order", 7, 3000);
    assert!(
        cluster
            .next_request_within(Duration::from_millis(1000))
            .is_none()
    );
    // One that was answered and rests gives its place up.
    requests[0].answer_hit(b"x");
    clients[0].next_answer();
    let request = cluster.next_request();
    let waited = asked.elapsed().as_millis() as u64;
    assert!(waited >= 1000);
    assert!(
        ttl(&request) + waited <= 3000 + SLACK_MS,
        "{} ms after {waited} ms",
        ttl(&request)
    );
}

#[test]
fn a_process_that_was_stopped_passes_on_what_its_clients_have_left() {
    let cluster = Cluster::new();
    let mut client = cluster.client();
    client.request_with("heartbeat", vec![], &[]);
    client.next_answer();
    cluster.program.signal("-STOP");
    let asked = Instant::now();
    client.request("order", 7, 3000);
    std::thread::sleep(Duration::from_millis(1000));
    cluster.program.signal("-CONT");
    let request = cluster.next_request();
    let waited = asked.elapsed().as_millis() as u64;
    assert!(
        ttl(&request) + waited <= 3000 + SLACK_MS,
        "{} ms after {waited} ms",
        ttl(&request)
    );
}

#[test]
fn who_waits_behind_a_failed_accept_is_let_in_at_the_end() {
    let faults = Faults::new();
    let mut cluster = Cluster::with_faults(&faults);
    faults
        .control
        .fail_share(Kind::Accept, 1.0, &[libc::ENFILE, libc::ECONNABORTED]);
    let mut clients: Vec<Client> = (0..3).map(|_| cluster.client()).collect();
    for (n, client) in (0..).zip(&mut clients) {
        client.request("order", n, 3000);
    }
    cluster.program.signal("-TERM");
    // Accepting has come to its end by then, and has failed once more.
    wait_for("it is asked to end", || {
        cluster.program.log_contains("asked to end")
    });
    std::thread::sleep(Duration::from_millis(1000));
    faults.control.heal();
    // They come in any order.
    for _ in 0..clients.len() {
        cluster
            .next_request()
            .answer("data", "tag=aa,minted=1", b"kept");
    }
    for client in &mut clients {
        assert_eq!(client.next_answer().1, FinalAnswer::done(b"kept"));
    }
    drop(clients);
    assert_eq!(cluster.program.wait_for_exit().code(), Some(0));
}

#[test]
fn the_rest_of_a_request_does_not_go_out_with_a_deadline_of_long_ago() {
    let faults = Faults::new();
    let cluster = Cluster::with_faults(&faults);
    let mut client = cluster.client();
    // A hundred bytes of it go out, and then nothing for more than a second.
    faults.control.fail_next(Kind::ShortWrite, 100, &[]);
    faults.control.fail_next(Kind::Write, 250, &[libc::ENOBUFS]);
    let asked = Instant::now();
    client.request_with("order", fields(7, 3000), &[7; 48_000]);
    // What comes in part is none: a host begins what it has whole.
    let whole = |request: &HostMessage| request.body.len() == 48_000;
    let request = std::iter::from_fn(|| Some(cluster.next_request())).find(whole);
    let request = request.expect("it comes whole");
    let waited = asked.elapsed().as_millis() as u64;
    assert!(waited > 1000, "it waited for {waited} ms only");
    assert!(
        ttl(&request) + waited <= 3000 + SLACK_MS,
        "{} ms after {waited} ms",
        ttl(&request)
    );
    request.answer("data", "tag=aa,minted=1", b"kept");
    assert_eq!(client.next_answer().1, FinalAnswer::done(b"kept"));
}

#[test]
fn a_lack_of_our_own_is_no_refusal_by_a_host() {
    let faults = Faults::new();
    let cluster = Cluster::with_faults(&faults);
    let mut client = cluster.client();
    client.request_with("heartbeat", vec![], &[]);
    client.next_answer();
    let errors = [libc::ENFILE, libc::ENOBUFS, libc::EMFILE];
    for (kind, errors) in [
        (Kind::Socket, &errors[..]),
        (Kind::Connect, &[libc::EADDRNOTAVAIL, libc::ENETUNREACH][..]),
    ] {
        faults.control.fail_next(kind, 12, errors);
        client.request("order", 7, 3000);
        let request = cluster.next_request();
        request.answer("data", "tag=aa,minted=1", b"kept");
        request.close();
        assert_eq!(
            client.next_answer().1,
            FinalAnswer::done(b"kept"),
            "{kind:?}"
        );
        assert!(faults.control.injected(kind) > 0);
    }
    assert!(!cluster.program.log_contains("breaker open"));
}

#[test]
fn a_process_that_was_stopped_begins_nothing_for_a_client_that_closed_meanwhile() {
    let cluster = Cluster::new();
    let mut client = cluster.client();
    client.request_with("heartbeat", vec![], &[]);
    client.next_answer();
    cluster.program.signal("-STOP");
    client.request("order", 7, 3000);
    drop(client);
    std::thread::sleep(Duration::from_millis(500));
    cluster.program.signal("-CONT");
    let begun = cluster.next_request_within(Duration::from_millis(500));
    assert!(begun.is_none(), "half a second after the client closed");
}

#[test]
fn the_log_goes_on_after_a_write_that_failed() {
    let faults = Faults::new();
    let cluster = Cluster::with_faults(&faults);
    faults
        .control
        .fail_next(Kind::FileWrite, 2, &[libc::ENOSPC, libc::EIO]);
    cluster.program.signal("-HUP");
    wait_for("a line is lost", || {
        faults.control.injected(Kind::FileWrite) > 1
    });
    wait_for("a later line is there", || {
        cluster.program.signal("-HUP");
        cluster.program.log_contains("configuration read again")
    });
    assert!(!cluster.program.log_contains("panicked"));
}

#[test]
fn an_end_does_not_wait_for_whoever_should_read_the_log() {
    let cluster = Cluster::new();
    let (mut reads, writes) = std::io::pipe().expect("a pipe");
    // SAFETY: a descriptor of this process; the smallest pipe is a page.
    unsafe { libc::fcntl(writes.as_raw_fd(), libc::F_SETPIPE_SZ, 4096) };
    let address = free_address();
    let mut program = Program::spawn_logging_to(&cluster.config, address, writes);
    let mut client = None;
    wait_for("it listens", || {
        client = std::net::TcpStream::connect(address).ok();
        client.is_some()
    });
    drop(client);
    // Its log fills the pipe, and nobody reads.
    for _ in 0..60 {
        program.signal("-HUP");
        std::thread::sleep(Duration::from_millis(5));
    }
    program.signal("-TERM");
    assert_eq!(program.wait_for_exit().code(), Some(0));
    let mut text = [0; 16];
    assert!(reads.read(&mut text).is_ok_and(|n| n > 0));
}

#[test]
fn who_is_turned_away_as_too_many_are_open_is_told_when_to_come_back() {
    let cluster =
        Cluster::with_config(|config, _| config["settings"]["ceilings"]["max_open"] = json!(1));
    let mut client = cluster.client();
    client.request("order", 7, 3000);
    let request = cluster.next_request();
    client.request("order", 8, 3000);
    let (_, refused) = client.next_answer();
    let FinalAnswer::Error(word, fields) = refused else {
        panic!("{refused:?}");
    };
    assert_eq!(word, "Throttled");
    assert!(fields.contains_key("cooldown"), "{fields:?}");
    request.answer_hit(b"x");
}

#[test]
fn a_message_of_very_many_values_costs_its_sender_only() {
    use trailproxyd::msgpack::{ParseError, read};
    // An array of 16,000 numbers, of which all but the last are there: what wants one byte more is read again for each.
    let mut bytes = vec![0xdc, 0x3e, 0x80];
    bytes.extend(vec![1; 15_999]);
    assert!(matches!(
        read(&bytes, 64_000),
        Err(ParseError::Malformed(_))
    ));
}

#[test]
fn what_came_while_the_process_was_stopped_is_answered_though_its_client_was_idle_for_too_long() {
    // A client's connection is ended 4.5 s after its last answer.
    const NEARLY_IDLE: Duration = Duration::from_millis(4200);
    const BEYOND_IDLE: Duration = Duration::from_millis(600);
    let cluster = Cluster::new();
    let mut clients: Vec<Client> = (0..8).map(|_| cluster.client()).collect();
    for client in &mut clients {
        client.request_with("heartbeat", vec![], &[]);
        client.next_answer();
    }
    std::thread::sleep(NEARLY_IDLE);
    cluster.program.signal("-STOP");
    for client in &mut clients {
        client.request_with("heartbeat", vec![], &[]);
    }
    std::thread::sleep(BEYOND_IDLE);
    cluster.program.signal("-CONT");
    for client in &mut clients {
        assert_eq!(client.next_answer().1, FinalAnswer::done(&[1]));
    }
}
