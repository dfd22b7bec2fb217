//! Tests of faults that need two or three rare conditions at once. Each test forces the order of events in which the
//! fault occurs.

#[allow(dead_code, reason = "other test files use the rest")]
mod harness;

use harness::*;
use serde_json::json;
use std::io::Read;
use std::os::fd::AsRawFd;
use std::time::{Duration, Instant};
use trailproxy_fault_control::Kind;

/// The tolerance that operators allow for a deadline that is passed on.
const SLACK_MS: u64 = 150;

/// The time that a host was given for a request, in milliseconds.
fn ttl(request: &HostMessage) -> u64 {
    request
        .field("ttl")
        .expect("a deadline")
        .parse()
        .expect("ms")
}

/// Starts a cluster with few connection slots, all of them taken by clients whose requests are at a host.
fn cluster_without_free_slots() -> (Cluster, Vec<Client>, Vec<HostMessage>) {
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

/// A client waits for a connection slot while its request is already in the socket. Guards against counting the
/// request's time from the moment at which it is read: the host would then work for a client that has given up.
#[test]
fn a_request_that_waited_for_a_slot_passes_on_the_remaining_time() {
    let (cluster, mut clients, requests) = cluster_without_free_slots();
    let mut late = cluster.client();
    let asked = Instant::now();
    late.request("order", 7, 3000);
    assert!(
        cluster
            .next_request_within(Duration::from_millis(1000))
            .is_none()
    );
    // A client that was answered and is idle gives its slot up.
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

/// A request arrives while the process is stopped. Guards against counting its time from the moment at which it is
/// read.
#[test]
fn a_stopped_process_passes_on_the_remaining_time() {
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

/// Accepting fails until the process was asked to end. Guards against closing the listener over clients that wait in
/// the backlog, which would reset their connections.
#[test]
fn clients_behind_a_failed_accept_are_accepted_at_the_end() {
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
    // By the end of the sleep, the regular accept has stopped and the accepts of the exit have failed as well.
    wait_for("the daemon handles the signal", || {
        cluster.program.log_contains("asked to end")
    });
    std::thread::sleep(Duration::from_millis(1000));
    faults.control.heal();
    // The requests arrive in any order.
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

/// A request is written in part, then writes fail for more than a second. Guards against sending the rest: the host
/// would start the request with the deadline that was encoded a second before.
#[test]
fn a_stalled_request_is_not_completed_with_an_outdated_deadline() {
    let faults = Faults::new();
    let cluster = Cluster::with_faults(&faults);
    let mut client = cluster.client();
    // A hundred bytes of the request are written, and then nothing for more than a second.
    faults.control.fail_next(Kind::ShortWrite, 100, &[]);
    faults.control.fail_next(Kind::Write, 250, &[libc::ENOBUFS]);
    let asked = Instant::now();
    client.request_with("order", fields(7, 3000), &[7; 48_000]);
    // A partial request is no request: a host starts only what it received whole.
    let is_whole = |request: &HostMessage| request.body.len() == 48_000;
    let request = std::iter::from_fn(|| Some(cluster.next_request())).find(is_whole);
    let request = request.expect("a whole request");
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

/// Sockets or ports are short while a host is dialled. Guards against taking that for a refusal by the host, which
/// would open its breaker.
#[test]
fn a_shortage_on_this_side_is_not_blamed_on_the_host() {
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

/// A client sends a request and closes while the process is stopped. Guards against starting the request because it is
/// read before the close.
#[test]
fn a_stopped_process_starts_nothing_for_a_client_that_closed_meanwhile() {
    let cluster = Cluster::new();
    let mut client = cluster.client();
    client.request_with("heartbeat", vec![], &[]);
    client.next_answer();
    cluster.program.signal("-STOP");
    client.request("order", 7, 3000);
    drop(client);
    std::thread::sleep(Duration::from_millis(500));
    cluster.program.signal("-CONT");
    let started = cluster.next_request_within(Duration::from_millis(500));
    assert!(started.is_none(), "half a second after the client closed");
}

/// A client sends a request and closes while nothing can be read. Guards against counting the close from when it is read:
/// the request would start half a second after its client has gone.
#[test]
fn a_request_does_not_start_if_its_client_closed_before_it_could_be_read() {
    let faults = Faults::new();
    let cluster = Cluster::with_faults(&faults);
    let mut client = cluster.client();
    client.request_with("heartbeat", vec![], &[]);
    client.next_answer();
    faults.control.fail_share(Kind::Read, 1.0, &[libc::ENOBUFS]);
    client.request("order", 7, 3000);
    drop(client);
    std::thread::sleep(Duration::from_millis(500));
    faults.control.heal();
    let started = cluster.next_request_within(Duration::from_millis(500));
    assert!(started.is_none(), "half a second after the client closed");
}

/// Guards against a log that stops, or a panic, after its file could not be written for a while.
#[test]
fn the_log_continues_after_a_failed_write() {
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

/// The log goes to a pipe that is full and that nobody reads. Guards against a process that never exits.
#[test]
fn an_exit_does_not_wait_for_the_reader_of_the_log() {
    let cluster = Cluster::new();
    let (mut reader, writer) = std::io::pipe().expect("a pipe");
    // SAFETY: a descriptor of this process; the smallest pipe is a page.
    unsafe { libc::fcntl(writer.as_raw_fd(), libc::F_SETPIPE_SZ, 4096) };
    let address = free_address();
    let mut program = Program::spawn_logging_to(&cluster.config, address, writer);
    let mut client = None;
    wait_for("the daemon listens", || {
        client = std::net::TcpStream::connect(address).ok();
        client.is_some()
    });
    drop(client);
    // The log fills the pipe, and nobody reads it.
    for _ in 0..60 {
        program.signal("-HUP");
        std::thread::sleep(Duration::from_millis(5));
    }
    program.signal("-TERM");
    assert_eq!(program.wait_for_exit().code(), Some(0));
    let mut text = [0; 16];
    assert!(reader.read(&mut text).is_ok_and(|n| n > 0));
}

/// Guards against a refusal without `cooldown` when too many requests are open, after which the client would retry at
/// once.
#[test]
fn a_request_refused_by_the_open_limit_gets_a_retry_time() {
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

/// An incomplete message is parsed again with every piece that arrives. Guards against the cost of that for a message
/// with very many values, which would delay all other clients.
#[test]
fn a_message_with_too_many_values_is_malformed() {
    use trailproxyd::msgpack::{ParseError, read};
    // An array of 16,000 numbers of which the last is missing: it would be parsed again for each further byte.
    let mut bytes = vec![0xdc, 0x3e, 0x80];
    bytes.extend(vec![1; 15_999]);
    assert!(matches!(
        read(&bytes, 64_000),
        Err(ParseError::Malformed(_))
    ));
}

/// Requests arrive on nearly idle connections while the process is stopped beyond their idle timeout. Guards against
/// closing the connections because timers run before the sockets are read.
#[test]
fn a_request_that_arrived_during_a_stop_is_answered_past_the_idle_timeout() {
    // A client's connection is closed 4.5 s after its last answer.
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
