//! Faults that take two or three rare conditions at once: each story makes their bad order happen every time.

#[allow(dead_code, reason = "the other tests of sockets use the rest of it")]
mod stage;

use serde_json::json;
use stage::*;
use std::io::Read;
use std::os::fd::AsRawFd;
use std::time::{Duration, Instant};
use trailproxy_fault_control::Kind;

/// The operators' slack of a deadline that is passed on.
const SLACK_MS: u64 = 150;

fn ttl(pull: &Heard) -> u64 {
    pull.field("ttl").expect("a deadline").parse().expect("ms")
}

/// A stage with few places for clients, all of which but none wait for a host.
fn full_house() -> (Stage, Vec<Client>, Vec<Heard>) {
    let stage = Stage::with(|config, _| config["limits"]["sockets"] = json!(48));
    let mut clients = Vec::new();
    let mut pulls = Vec::new();
    for n in 0..24 {
        let mut client = stage.client();
        client.ask("order", 100 + n, 9000);
        pulls.push(stage.pull());
        clients.push(client);
    }
    (stage, clients, pulls)
}

#[test]
fn what_waited_for_a_place_passes_on_what_its_client_has_left() {
    let (stage, mut clients, pulls) = full_house();
    let mut late = stage.client();
    let asked = Instant::now();
    late.ask("order", 7, 3000);
    assert!(stage.pull_within(Duration::from_millis(1000)).is_none());
    // One that was answered and rests gives its place up.
    pulls[0].hit(b"x");
    clients[0].answer();
    let pull = stage.pull();
    let waited = asked.elapsed().as_millis() as u64;
    assert!(waited >= 1000);
    assert!(
        ttl(&pull) + waited <= 3000 + SLACK_MS,
        "{} ms after {waited} ms",
        ttl(&pull)
    );
}

#[test]
fn a_process_that_was_stopped_passes_on_what_its_clients_have_left() {
    let stage = Stage::new();
    let mut client = stage.client();
    client.ask_with("heartbeat", vec![], &[]);
    client.answer();
    stage.program.signal("-STOP");
    let asked = Instant::now();
    client.ask("order", 7, 3000);
    std::thread::sleep(Duration::from_millis(1000));
    stage.program.signal("-CONT");
    let pull = stage.pull();
    let waited = asked.elapsed().as_millis() as u64;
    assert!(
        ttl(&pull) + waited <= 3000 + SLACK_MS,
        "{} ms after {waited} ms",
        ttl(&pull)
    );
}

#[test]
fn who_waits_behind_a_failed_accept_is_let_in_at_the_end() {
    let faults = Faults::new();
    let mut stage = Stage::under(&faults);
    faults
        .control
        .fail_share(Kind::Accept, 1.0, &[libc::ENFILE, libc::ECONNABORTED]);
    let mut clients: Vec<Client> = (0..3).map(|_| stage.client()).collect();
    for (n, client) in (0..).zip(&mut clients) {
        client.ask("order", n, 3000);
    }
    stage.program.signal("-TERM");
    // Accepting has come to its end by then, and has failed once more.
    wait_for("it is asked to end", || {
        stage.program.logged("asked to end")
    });
    std::thread::sleep(Duration::from_millis(1000));
    faults.control.heal();
    // They come in any order.
    for _ in 0..clients.len() {
        stage.pull().answer("data", "tag=aa,minted=1", b"kept");
    }
    for client in &mut clients {
        assert_eq!(client.answer().1, Final::done(b"kept"));
    }
    drop(clients);
    assert_eq!(stage.program.ended().code(), Some(0));
}

#[test]
fn the_rest_of_a_request_does_not_go_out_with_a_deadline_of_long_ago() {
    let faults = Faults::new();
    let stage = Stage::under(&faults);
    let mut client = stage.client();
    // A hundred bytes of it go out, and then nothing for more than a second.
    faults.control.fail_next(Kind::ShortWrite, 100, &[]);
    faults.control.fail_next(Kind::Write, 250, &[libc::ENOBUFS]);
    let asked = Instant::now();
    client.ask_with("order", fields(7, 3000), &[7; 48_000]);
    // What comes in part is none: a host begins what it has whole.
    let whole = |pull: &Heard| pull.body.len() == 48_000;
    let pull = std::iter::from_fn(|| Some(stage.pull())).find(whole);
    let pull = pull.expect("it comes whole");
    let waited = asked.elapsed().as_millis() as u64;
    assert!(waited > 1000, "it waited for {waited} ms only");
    assert!(
        ttl(&pull) + waited <= 3000 + SLACK_MS,
        "{} ms after {waited} ms",
        ttl(&pull)
    );
    pull.answer("data", "tag=aa,minted=1", b"kept");
    assert_eq!(client.answer().1, Final::done(b"kept"));
}

#[test]
fn a_lack_of_our_own_is_no_refusal_by_a_host() {
    let faults = Faults::new();
    let stage = Stage::under(&faults);
    let mut client = stage.client();
    client.ask_with("heartbeat", vec![], &[]);
    client.answer();
    let errors = [libc::ENFILE, libc::ENOBUFS, libc::EMFILE];
    for (kind, errors) in [
        (Kind::Socket, &errors[..]),
        (Kind::Connect, &[libc::EADDRNOTAVAIL, libc::ENETUNREACH][..]),
    ] {
        faults.control.fail_next(kind, 12, errors);
        client.ask("order", 7, 3000);
        let pull = stage.pull();
        pull.answer("data", "tag=aa,minted=1", b"kept");
        pull.hang_up();
        assert_eq!(client.answer().1, Final::done(b"kept"), "{kind:?}");
        assert!(faults.control.injected(kind) > 0);
    }
    assert!(!stage.program.logged("breaker open"));
}

#[test]
fn a_process_that_was_stopped_begins_nothing_for_a_client_that_closed_meanwhile() {
    let stage = Stage::new();
    let mut client = stage.client();
    client.ask_with("heartbeat", vec![], &[]);
    client.answer();
    stage.program.signal("-STOP");
    client.ask("order", 7, 3000);
    drop(client);
    std::thread::sleep(Duration::from_millis(500));
    stage.program.signal("-CONT");
    let begun = stage.pull_within(Duration::from_millis(500));
    assert!(begun.is_none(), "half a second after the client closed");
}

#[test]
fn the_log_goes_on_after_a_write_that_failed() {
    let faults = Faults::new();
    let stage = Stage::under(&faults);
    faults
        .control
        .fail_next(Kind::FileWrite, 2, &[libc::ENOSPC, libc::EIO]);
    stage.program.signal("-HUP");
    wait_for("a line is lost", || {
        faults.control.injected(Kind::FileWrite) > 1
    });
    wait_for("a later line is there", || {
        stage.program.signal("-HUP");
        stage.program.logged("configuration read again")
    });
    assert!(!stage.program.logged("panicked"));
}

#[test]
fn an_end_does_not_wait_for_whoever_should_read_the_log() {
    let stage = Stage::new();
    let (mut reads, writes) = std::io::pipe().expect("a pipe");
    // SAFETY: a descriptor of this process; the smallest pipe is a page.
    unsafe { libc::fcntl(writes.as_raw_fd(), libc::F_SETPIPE_SZ, 4096) };
    let address = free_address();
    let mut program = Program::begin_logging_to(&stage.config, address, writes);
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
    assert_eq!(program.ended().code(), Some(0));
    let mut text = [0; 16];
    assert!(reads.read(&mut text).is_ok_and(|n| n > 0));
}

#[test]
fn who_is_turned_away_as_too_many_are_open_is_told_when_to_come_back() {
    let stage = Stage::with(|config, _| config["settings"]["ceilings"]["max_open"] = json!(1));
    let mut client = stage.client();
    client.ask("order", 7, 3000);
    let pull = stage.pull();
    client.ask("order", 8, 3000);
    let (_, refused) = client.answer();
    let Final::Error(word, fields) = refused else {
        panic!("{refused:?}");
    };
    assert_eq!(word, "Throttled");
    assert!(fields.contains_key("cooldown"), "{fields:?}");
    pull.hit(b"x");
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
    let stage = Stage::new();
    let mut clients: Vec<Client> = (0..8).map(|_| stage.client()).collect();
    for client in &mut clients {
        client.ask_with("heartbeat", vec![], &[]);
        client.answer();
    }
    std::thread::sleep(NEARLY_IDLE);
    stage.program.signal("-STOP");
    for client in &mut clients {
        client.ask_with("heartbeat", vec![], &[]);
    }
    std::thread::sleep(BEYOND_IDLE);
    stage.program.signal("-CONT");
    for client in &mut clients {
        assert_eq!(client.answer().1, Final::done(&[1]));
    }
}
