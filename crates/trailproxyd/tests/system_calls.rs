//! Tests with failing system calls and wrong wall clocks, under which clients must get the same answers.
//!
//! The preloaded shim injects the faults into the tested program only, at the call that each test is about.

#[allow(dead_code, reason = "other test files use the rest")]
mod harness;

use harness::*;
use serde_json::json;
use std::time::{Duration, Instant};
use trailproxy_fault_control::Kind;

const HOUR: Duration = Duration::from_secs(3600);
/// How long a copy of the class is fresh.
const FRESH_MS: u64 = 8_000;
/// A journal event arrives within this time, even on a busy machine.
const JOURNAL_DELIVERY_TIMEOUT: Duration = Duration::from_millis(150);
/// More successive calls than one read or write attempt makes.
const MANY_CALLS: u64 = 8;

/// A purge of one object at this journal position and with this timestamp.
fn purge(pos: u64, object: u64, stamp: u64) -> serde_json::Value {
    json!({"pos": pos, "expire": {"name": format!("{object:016x}"), "stamp": stamp}})
}

/// The maximum age of a copy that a host was given, in milliseconds.
fn max_age_ms(request: &HostMessage) -> u64 {
    let max_age = request.field("fresh").expect("a maximum age after a purge");
    max_age.parse().expect("a number")
}

/// Sends a purge of an object, and sends requests for the object until one shows the purge.
fn first_request_after_purge(
    cluster: &Cluster,
    object: u64,
    stamp: u64,
) -> (Client, HostMessage, Instant) {
    let mut journal = cluster.next_journal_call();
    journal.send(&purge(2, object, stamp));
    let sent_at = Instant::now();
    let mut client = cluster.client();
    wait_for("the purge is applied", || {
        client.request("image", object, 3000);
        let request = cluster.next_request();
        // After a purge, no stale copies are allowed.
        let applied = request.field("fresh").is_some() && max_age_ms(&request) <= FRESH_MS;
        request.answer_hit(b"x");
        client.next_answer();
        applied
    });
    client.request("image", object, 3000);
    (client, cluster.next_request(), sent_at)
}

/// The daemon's clock is an hour ahead when it starts. Guards against a maximum age that allows copies from before the
/// purge.
#[test]
fn a_purge_applies_although_the_wall_clock_is_ahead() {
    let faults = Faults::new();
    faults.control.set_clock_ahead(HOUR);
    let cluster = Cluster::with_faults(&faults);
    let (_client, request, sent_at) = first_request_after_purge(&cluster, 7, unix_ms());
    let since = sent_at.elapsed().as_millis() as u64;
    let allowed = max_age_ms(&request);
    assert!(
        allowed <= since + 1,
        "a copy of {allowed} ms, {since} ms after the purge"
    );
}

/// The daemon's clock is an hour behind when it starts. Guards against a purge that stays in the future, so that all
/// later copies are rejected.
#[test]
fn a_purge_ages_although_the_wall_clock_is_behind() {
    let faults = Faults::new();
    faults.control.set_clock_behind(HOUR);
    let cluster = Cluster::with_faults(&faults);
    let (mut client, first, _) = first_request_after_purge(&cluster, 7, unix_ms());
    first.answer_hit(b"x");
    client.next_answer();
    std::thread::sleep(Duration::from_millis(300));
    client.request("image", 7, 3000);
    let allowed = max_age_ms(&cluster.next_request());
    assert!(
        allowed >= 300,
        "300 ms later only copies of up to {allowed} ms are allowed"
    );
}

/// A host whose clock is behind serves a purged copy. Guards against passing it on to the client.
#[test]
fn a_copy_from_before_a_purge_is_rejected() {
    let faults = Faults::new();
    let cluster = Cluster::with_faults(&faults);
    let stamp = unix_ms();
    let (mut client, first, _) = first_request_after_purge(&cluster, 7, stamp);
    // The clock of this host is behind, so that it considers an old copy young enough.
    first.answer("data", &format!("tag=aa,minted={}", stamp - 1), b"old");
    let second = cluster.next_request();
    assert_ne!(second.host, first.host, "another host is asked");
    let fresh = format!("tag=bb,minted={}", stamp + 1);
    second.answer("data", &fresh, b"new");
    assert_eq!(client.next_answer().1, FinalAnswer::done(b"new"));
}

/// Returns how many requests for large objects go to c1, which the host list reports as just started.
fn requests_at_a_cold_host(
    set_clock: impl FnOnce(&Faults),
    slow_start: Duration,
    wait: Duration,
) -> usize {
    let at_c1 = objects_first_at("c1");
    let faults = Faults::new();
    set_clock(&faults);
    let cluster = Cluster::with_faults_and_config(&faults, |config, _| {
        config["settings"]["rules"]["cold_us"] = json!(slow_start.as_micros() as u64);
    });
    let mut journal = cluster.next_journal_call();
    let c1 = member("c1", cluster.addresses["c1"], "ready", unix_ms());
    journal.send(&hosts(2, false, &[c1]));
    let mut client = cluster.client();
    std::thread::sleep(JOURNAL_DELIVERY_TIMEOUT + wait);
    for object in at_c1.iter().take(20) {
        let mut fields = fields(*object, 9000);
        fields[0].1 = format!("{:016x}", object + 0x7000_0000);
        fields[5].1 = "3000".into();
        client.request_with("image", fields, &[]);
    }
    let mut requests = 0;
    while let Some(request) = cluster.next_request_within(Duration::from_millis(300)) {
        requests += usize::from(request.host == "c1");
    }
    requests
}

/// The daemon's clock is an hour ahead. Guards against taking a host that has just started for one that has run for
/// long.
#[test]
fn a_host_is_in_slow_start_although_the_wall_clock_is_ahead() {
    let slow_start = Duration::from_secs(60);
    let right = requests_at_a_cold_host(|_| (), slow_start, Duration::ZERO);
    let ahead = |faults: &Faults| faults.control.set_clock_ahead(HOUR);
    let wrong = requests_at_a_cold_host(ahead, slow_start, Duration::ZERO);
    assert!(
        wrong <= right + 1,
        "{wrong} with the clock ahead, {right} else"
    );
}

/// The daemon's clock is an hour behind. Guards against a host that stays in slow start because its start seems to be
/// in the future.
#[test]
fn a_slow_start_ends_although_the_wall_clock_is_behind() {
    let (slow_start, wait) = (Duration::from_millis(400), Duration::from_millis(600));
    let right = requests_at_a_cold_host(|_| (), slow_start, wait);
    let behind = |faults: &Faults| faults.control.set_clock_behind(HOUR);
    let wrong = requests_at_a_cold_host(behind, slow_start, wait);
    assert!(
        wrong + 1 >= right,
        "{wrong} with the clock behind, {right} else"
    );
}

/// Guards against taking EINTR for a broken connection.
#[test]
fn interrupted_reads_and_writes_cost_no_request() {
    let faults = Faults::new();
    let cluster = Cluster::with_faults(&faults);
    let mut client = cluster.client();
    for kind in [Kind::Read, Kind::Write] {
        check_answered_under_faults(&cluster, &faults, &mut client, kind, &[libc::EINTR]);
    }
}

/// Lets calls of this kind fail while a request is read, sent and answered, and checks that it is answered.
fn check_answered_under_faults(
    cluster: &Cluster,
    faults: &Faults,
    client: &mut Client,
    kind: Kind,
    errors: &[i32],
) {
    faults.control.fail_next(kind, MANY_CALLS, errors);
    client.request("order", 7, 3000);
    let request = cluster.next_request();
    faults.control.fail_next(kind, MANY_CALLS, errors);
    request.answer("data", "tag=aa,minted=1", b"kept");
    assert_eq!(
        client.next_answer().1,
        FinalAnswer::done(b"kept"),
        "{kind:?}"
    );
    assert!(faults.control.injected(kind) > 0, "{kind:?}");
}

/// Guards against taking a temporary lack of memory in the system for a broken connection.
#[test]
fn reads_and_writes_without_memory_cost_no_request() {
    let faults = Faults::new();
    let cluster = Cluster::with_faults(&faults);
    let mut client = cluster.client();
    for kind in [Kind::Read, Kind::Write] {
        check_answered_under_faults(
            &cluster,
            &faults,
            &mut client,
            kind,
            &[libc::ENOBUFS, libc::ENOMEM],
        );
    }
}

/// Writes fail for about a second. Guards against sending the deadline that was encoded before.
#[test]
fn a_request_that_could_not_be_written_passes_on_the_remaining_time() {
    let faults = Faults::new();
    let cluster = Cluster::with_faults(&faults);
    let mut client = cluster.client();
    // For about a second no byte is written to any host.
    faults.control.fail_next(Kind::Write, 200, &[libc::ENOBUFS]);
    let asked = Instant::now();
    client.request("order", 7, 3000);
    let request = cluster.next_request();
    let waited = asked.elapsed().as_millis() as u64;
    assert!(waited > 500, "it waited for {waited} ms only");
    let ttl: u64 = request
        .field("ttl")
        .expect("a deadline")
        .parse()
        .expect("ms");
    assert!(ttl + waited <= 3000 + 150, "{ttl} ms after {waited} ms");
    request.answer("data", "tag=aa,minted=1", b"kept");
    assert_eq!(client.next_answer().1, FinalAnswer::done(b"kept"));
}

/// Checks that the daemon serves, and that it has logged why it did not at first.
fn assert_started_late(cluster: &Cluster, reason: &str) {
    let mut client = cluster.client();
    client.request_with("heartbeat", vec![], &[]);
    assert_eq!(client.next_answer().1, FinalAnswer::done(&[1]));
    assert!(cluster.program.log_contains(reason), "{reason}");
}

/// Guards against a process that exits because no socket could be made for a moment.
#[test]
fn a_start_survives_a_temporary_lack_of_sockets() {
    let faults = Faults::new();
    let errors = [libc::ENFILE, libc::ENOBUFS, libc::EMFILE];
    faults.control.fail_next(Kind::Socket, 6, &errors);
    assert_started_late(&Cluster::with_faults(&faults), "can't listen yet");
}

/// The runtime's own descriptors cannot be created at first. Guards against a process that exits because of that.
#[test]
fn a_start_survives_a_temporary_lack_of_wake_up_descriptors() {
    let faults = Faults::new();
    let errors = [libc::ENFILE, libc::EMFILE];
    faults.control.fail_next(Kind::WakeUp, 5, &errors);
    assert_started_late(&Cluster::with_faults(&faults), "not started yet");
}

/// Guards against a process that exits because its configuration could not be opened for a moment.
#[test]
fn a_start_survives_a_temporary_failure_to_read_its_configuration() {
    let faults = Faults::new();
    faults
        .control
        .fail_next(Kind::OpenRead, 3, &[libc::EIO, libc::ENFILE]);
    assert_started_late(&Cluster::with_faults(&faults), "not started yet");
}

/// The configuration is half written when the process starts. Guards against an exit with a parse error.
#[test]
fn a_start_waits_for_a_configuration_that_is_being_replaced() {
    let cluster = Cluster::new();
    let text = cluster.config.to_string();
    let address = free_address();
    let environment = Environment::default();
    let half = &text[..text.len() / 2];
    let program = Program::spawn_with_text(half, &cluster.config, address, &environment);
    wait_for("the daemon has read one half", || {
        program.log_contains("not started yet")
    });
    program.write_config(&text);
    wait_for("the daemon listens", || {
        std::net::TcpStream::connect(address).is_ok()
    });
}

/// The configuration is half written when SIGHUP arrives. Guards against refusing it for good.
#[test]
fn a_sighup_during_the_writing_of_a_configuration_reads_all_of_it() {
    let cluster = Cluster::new();
    let text = cluster.config.to_string();
    cluster.program.reload_config(&text[..text.len() / 2]);
    wait_for("the daemon has read one half", || {
        cluster.program.log_contains("not read yet")
    });
    cluster.program.write_config(&text);
    wait_for("the daemon has read all", || {
        cluster.program.log_contains("configuration read again")
    });
}

/// The address is in use for good. Guards against a start that waits for ever or ends without a reason.
#[test]
fn an_impossible_start_ends_with_one_line_that_says_how_long_it_was_tried() {
    let cluster = Cluster::new();
    let taken = cluster.program.address;
    let mut program = Program::spawn_in(&cluster.config, taken, &Environment::default());
    assert_eq!(program.wait_for_exit().code(), Some(1));
    let log = program.log();
    let last = log.lines().last().expect("a line");
    assert!(last.starts_with("trailproxyd: can't listen on"), "{last}");
    assert!(
        last.contains("in use") && last.contains("tried for 2."),
        "{last}"
    );
}

/// The operator's file is half written when the process starts. Guards against an exit with a parse error.
#[test]
fn a_start_waits_for_an_operators_file_that_is_being_replaced() {
    let cluster = Cluster::new();
    let operator = std::env::temp_dir().join(format!("operator-{}.json", std::process::id()));
    std::fs::write(&operator, "{\"zo").expect("half a file");
    let mut config = cluster.config.clone();
    config["operator"] = json!(operator);
    let address = free_address();
    let program = Program::spawn_in(&config, address, &Environment::default());
    wait_for("the daemon has read one half", || {
        program.log_contains("operator's file not read yet")
    });
    std::fs::write(&operator, "{}").expect("a file");
    wait_for("the daemon listens", || {
        std::net::TcpStream::connect(address).is_ok()
    });
    let _ = std::fs::remove_file(operator);
}
