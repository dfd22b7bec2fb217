//! Faults that take two or three rare conditions at once: each story makes their bad order happen every time.

#[allow(dead_code, reason = "the other tests of sockets use the rest of it")]
mod stage;

use serde_json::json;
use stage::*;
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
    for client in &mut clients {
        stage.pull().answer("data", "tag=aa,minted=1", b"kept");
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
    // It goes out byte by byte, and amid it nothing does for more than a second.
    faults.control.fail_share(Kind::ShortWrite, 1.0, &[]);
    let asked = Instant::now();
    client.ask_with("order", fields(7, 3000), &[7; 48_000]);
    wait_for("it has begun", || {
        faults.control.injected(Kind::ShortWrite) > 100
    });
    faults.control.fail_next(Kind::Write, 250, &[libc::ENOBUFS]);
    faults.control.fail_share(Kind::ShortWrite, 0.0, &[]);
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
