//! System calls that fail, and wall clocks that are wrong: what clients are owed holds all the same.
//!
//! The faults are injected into the program alone by the preloaded shim, at the very call that each story is about.

#[allow(dead_code, reason = "other test files use the rest")]
mod harness;

use harness::*;
use serde_json::json;
use std::time::{Duration, Instant};
use trailproxy_fault_control::Kind;

const HOUR: Duration = Duration::from_secs(3600);
/// How long a copy of the class is fresh.
const FRESH_MS: u64 = 8_000;
/// Word of the journal is heard within this, also on a busy machine.
const TOLD_WITHIN: Duration = Duration::from_millis(150);
/// More calls in a row than one reading or writing makes.
const MANY_CALLS: u64 = 8;

/// A purge of one object, at this place of the journal and with this stamp.
fn purge(pos: u64, object: u64, stamp: u64) -> serde_json::Value {
    json!({"pos": pos, "expire": {"name": format!("{object:016x}"), "stamp": stamp}})
}

/// The age in milliseconds that a copy may have, as a host is told it.
fn oldest_allowed(request: &HostMessage) -> u64 {
    let told = request
        .field("fresh")
        .expect("an age is told after a purge");
    told.parse().expect("a number")
}

/// Tells a purge of an object and asks for it for as long as it takes until the purge shows.
fn first_pull_after_purge(
    cluster: &Cluster,
    object: u64,
    stamp: u64,
) -> (Client, HostMessage, Instant) {
    let mut journal = cluster.next_journal_call();
    journal.send(&purge(2, object, stamp));
    let told_at = Instant::now();
    let mut client = cluster.client();
    wait_for("the purge is heard", || {
        client.request("image", object, 3000);
        let request = cluster.next_request();
        // A purge takes the time for stale copies away.
        let heard = request.field("fresh").is_some() && oldest_allowed(&request) <= FRESH_MS;
        request.answer_hit(b"x");
        client.next_answer();
        heard
    });
    client.request("image", object, 3000);
    (client, cluster.next_request(), told_at)
}

#[test]
fn a_purge_binds_where_the_wall_clock_is_ahead_at_the_start() {
    let faults = Faults::new();
    faults.control.set_clock_ahead(HOUR);
    let cluster = Cluster::with_faults(&faults);
    let (_client, request, told_at) = first_pull_after_purge(&cluster, 7, unix_ms());
    let since = told_at.elapsed().as_millis() as u64;
    let allowed = oldest_allowed(&request);
    assert!(
        allowed <= since + 1,
        "a copy of {allowed} ms, {since} ms after the purge"
    );
}

#[test]
fn a_purge_ages_where_the_wall_clock_is_behind_at_the_start() {
    let faults = Faults::new();
    faults.control.set_clock_behind(HOUR);
    let cluster = Cluster::with_faults(&faults);
    let (mut client, first, _) = first_pull_after_purge(&cluster, 7, unix_ms());
    first.answer_hit(b"x");
    client.next_answer();
    std::thread::sleep(Duration::from_millis(300));
    client.request("image", 7, 3000);
    let allowed = oldest_allowed(&cluster.next_request());
    assert!(
        allowed >= 300,
        "300 ms later only copies of {allowed} ms are good"
    );
}

#[test]
fn a_copy_from_before_a_purge_is_no_answer_though_a_host_gives_it() {
    let faults = Faults::new();
    let cluster = Cluster::with_faults(&faults);
    let stamp = unix_ms();
    let (mut client, first, _) = first_pull_after_purge(&cluster, 7, stamp);
    // The clock of this host is behind, so that it takes an old copy for young enough.
    first.answer("data", &format!("tag=aa,minted={}", stamp - 1), b"old");
    let second = cluster.next_request();
    assert_ne!(second.host, first.host, "another is asked");
    let fresh = format!("tag=bb,minted={}", stamp + 1);
    second.answer("data", &fresh, b"new");
    assert_eq!(client.next_answer().1, FinalAnswer::done(b"new"));
}

/// How many of these requests for large objects go to c1, which is told to have started just now.
fn work_for_a_cold_host(
    set_clock: impl FnOnce(&Faults),
    warm_after: Duration,
    wait: Duration,
) -> usize {
    let at_c1 = objects_first_at("c1");
    let faults = Faults::new();
    set_clock(&faults);
    let cluster = Cluster::with_faults_and_config(&faults, |config, _| {
        config["settings"]["rules"]["cold_us"] = json!(warm_after.as_micros() as u64);
    });
    let mut journal = cluster.next_journal_call();
    let c1 = member("c1", cluster.addresses["c1"], "ready", unix_ms());
    journal.send(&hosts(2, false, &[c1]));
    let mut client = cluster.client();
    std::thread::sleep(TOLD_WITHIN + wait);
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

#[test]
fn a_host_is_cold_where_the_wall_clock_is_ahead() {
    let warm_after = Duration::from_secs(60);
    let right = work_for_a_cold_host(|_| (), warm_after, Duration::ZERO);
    let ahead = |faults: &Faults| faults.control.set_clock_ahead(HOUR);
    let wrong = work_for_a_cold_host(ahead, warm_after, Duration::ZERO);
    assert!(
        wrong <= right + 1,
        "{wrong} with the clock ahead, {right} else"
    );
}

#[test]
fn a_host_becomes_warm_where_the_wall_clock_is_behind() {
    let (warm_after, wait) = (Duration::from_millis(400), Duration::from_millis(600));
    let right = work_for_a_cold_host(|_| (), warm_after, wait);
    let behind = |faults: &Faults| faults.control.set_clock_behind(HOUR);
    let wrong = work_for_a_cold_host(behind, warm_after, wait);
    assert!(
        wrong + 1 >= right,
        "{wrong} with the clock behind, {right} else"
    );
}

#[test]
fn interrupted_reads_and_writes_cost_no_request() {
    let faults = Faults::new();
    let cluster = Cluster::with_faults(&faults);
    let mut client = cluster.client();
    for kind in [Kind::Read, Kind::Write] {
        cost_nothing(&cluster, &faults, &mut client, kind, &[libc::EINTR]);
    }
}

/// Calls of this kind fail while a request comes, goes out, and is answered; it is answered all the same.
fn cost_nothing(
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

#[test]
fn reads_and_writes_that_find_no_memory_cost_no_request() {
    let faults = Faults::new();
    let cluster = Cluster::with_faults(&faults);
    let mut client = cluster.client();
    for kind in [Kind::Read, Kind::Write] {
        cost_nothing(
            &cluster,
            &faults,
            &mut client,
            kind,
            &[libc::ENOBUFS, libc::ENOMEM],
        );
    }
}

#[test]
fn a_request_that_waits_for_room_passes_on_what_its_client_has_left() {
    let faults = Faults::new();
    let cluster = Cluster::with_faults(&faults);
    let mut client = cluster.client();
    // For about a second not a byte goes out to any host.
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

/// It serves, and has told why it did not at first.
fn has_started_late(cluster: &Cluster, told: &str) {
    let mut client = cluster.client();
    client.request_with("heartbeat", vec![], &[]);
    assert_eq!(client.next_answer().1, FinalAnswer::done(&[1]));
    assert!(cluster.program.log_contains(told), "{told}");
}

#[test]
fn a_start_outlasts_a_passing_lack_of_sockets() {
    let faults = Faults::new();
    let errors = [libc::ENFILE, libc::ENOBUFS, libc::EMFILE];
    faults.control.fail_next(Kind::Socket, 6, &errors);
    has_started_late(&Cluster::with_faults(&faults), "can't listen yet");
}

#[test]
fn a_start_outlasts_a_passing_lack_of_what_wakes_it_up() {
    let faults = Faults::new();
    let errors = [libc::ENFILE, libc::EMFILE];
    faults.control.fail_next(Kind::WakeUp, 5, &errors);
    has_started_late(&Cluster::with_faults(&faults), "not started yet");
}

#[test]
fn a_start_outlasts_a_passing_failure_to_read_its_configuration() {
    let faults = Faults::new();
    faults
        .control
        .fail_next(Kind::OpenRead, 3, &[libc::EIO, libc::ENFILE]);
    has_started_late(&Cluster::with_faults(&faults), "not started yet");
}

#[test]
fn a_start_waits_for_a_configuration_that_is_being_replaced() {
    let cluster = Cluster::new();
    let text = cluster.config.to_string();
    let address = free_address();
    let environment = Environment::default();
    let half = &text[..text.len() / 2];
    let program = Program::spawn_with_text(half, &cluster.config, address, &environment);
    wait_for("it finds half of it", || {
        program.log_contains("not started yet")
    });
    program.write_config(&text);
    wait_for("it listens", || {
        std::net::TcpStream::connect(address).is_ok()
    });
}

#[test]
fn a_hangup_amid_the_writing_of_a_configuration_reads_all_of_it() {
    let cluster = Cluster::new();
    let text = cluster.config.to_string();
    cluster.program.reload_config(&text[..text.len() / 2]);
    wait_for("it finds half of it", || {
        cluster.program.log_contains("not read yet")
    });
    cluster.program.write_config(&text);
    wait_for("it reads all of it", || {
        cluster.program.log_contains("configuration read again")
    });
}

#[test]
fn a_start_that_can_not_be_ends_with_one_line_that_says_how_long_it_was_tried() {
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

#[test]
fn a_start_waits_for_an_operators_file_that_is_being_replaced() {
    let cluster = Cluster::new();
    let operator = std::env::temp_dir().join(format!("operator-{}.json", std::process::id()));
    std::fs::write(&operator, "{\"zo").expect("half a file");
    let mut config = cluster.config.clone();
    config["operator"] = json!(operator);
    let address = free_address();
    let program = Program::spawn_in(&config, address, &Environment::default());
    wait_for("it finds half of it", || {
        program.log_contains("operator's file not read yet")
    });
    std::fs::write(&operator, "{}").expect("a file");
    wait_for("it listens", || {
        std::net::TcpStream::connect(address).is_ok()
    });
    let _ = std::fs::remove_file(operator);
}
