//! Tests of the calls to a journal service that is slow, silent, or turns calls away.

#[allow(dead_code, reason = "other test files use the rest")]
mod harness;

use harness::journal_service::{CallPlan, JournalService, most_open_calls};
use harness::*;
use serde_json::{Value as Json, json};
use std::time::{Duration, Instant};
use trailproxy::policy::journal_calls::MAX_CALLS;

/// Whatever the service has counts as told this long afterwards.
const TOLD_WITHIN: Duration = Duration::from_secs(7);
/// Whatever it has counts as told this long after it stopped in the middle of a call, or after a new configuration.
const TOLD_AFTER_STOP: Duration = Duration::from_secs(4);
/// What a busy machine may add.
const SLACK: Duration = Duration::from_millis(500);

/// A purge of one object at this position.
fn purge(position: u64) -> Json {
    let name = format!("{position:016x}");
    json!({"pos": position, "expire": {"name": name, "stamp": unix_ms()}})
}

/// How often the event at this position was handled.
fn times_handled(cluster: &Cluster, position: u64) -> usize {
    let log = cluster.program.log();
    let is_event = |line: &&str| {
        line.contains("journal entry") && line.contains(&format!("place: {position}"))
    };
    log.lines().filter(is_event).count()
}

/// Waits until the event at this position is handled, and fails if that takes longer than `within`.
fn assert_heard(cluster: &Cluster, position: u64, since: Instant, within: Duration) {
    while times_handled(cluster, position) == 0 {
        let waited = since.elapsed();
        assert!(waited < within, "not heard after {waited:?}: {position}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Each call is served after some seconds. Guards against ending each before the service has come to it, so that nothing
/// is ever heard.
#[test]
fn a_service_that_answers_late_is_heard() {
    let plays = [2_500, 4_000, 6_500].map(|delay_ms| {
        let delay = Duration::from_millis(delay_ms);
        let service = JournalService::start(move |_| CallPlan::late(delay));
        (Cluster::with_journal(service.address), service)
    });
    for (_, service) in &plays {
        service.tell(&purge(2));
    }
    let told_at = Instant::now();
    for (cluster, _) in &plays {
        assert_heard(cluster, 2, told_at, TOLD_WITHIN + SLACK);
    }
    for (cluster, service) in &plays {
        wait_for("one call is left", || service.open_calls() == 1);
        assert_eq!(times_handled(cluster, 2), 1);
        let calls = service.calls();
        assert!(most_open_calls(&calls) <= MAX_CALLS, "{calls:?}");
    }
}

/// A call is served after six seconds, those beside it never, or the other way round. Guards against following the newest
/// call alone, and against waiting for one that is dead.
#[test]
fn whichever_call_speaks_first_is_heard() {
    const LATE: CallPlan = CallPlan::late(Duration::from_secs(6));
    let first_speaks = |number: usize| if number == 0 { LATE } else { CallPlan::DEAD };
    let later_speak = |number: usize| {
        if number == 0 {
            CallPlan::DEAD
        } else {
            CallPlan::PROMPT
        }
    };
    let services = [
        JournalService::start(first_speaks),
        JournalService::start(later_speak),
    ];
    let clusters = services
        .each_ref()
        .map(|service| Cluster::with_journal(service.address));
    services.iter().for_each(|service| service.tell(&purge(2)));
    let told_at = Instant::now();
    assert_heard(&clusters[1], 2, told_at, TOLD_AFTER_STOP);
    assert_heard(&clusters[0], 2, told_at, TOLD_WITHIN + SLACK);
}

/// The service falls silent in the middle of each call, the first time after the events so far, and goes on after some
/// seconds. Guards against giving such a call up, and against an event that is handled twice.
#[test]
fn a_call_that_falls_silent_goes_on() {
    let paused = CallPlan {
        silent: (Duration::from_millis(500), Duration::from_millis(6_000)),
        ..CallPlan::PROMPT
    };
    let plan = move |number| if number == 0 { paused } else { CallPlan::DEAD };
    let service = JournalService::start(plan);
    let cluster = Cluster::with_journal(service.address);
    service.tell(&purge(2));
    assert_heard(&cluster, 2, Instant::now(), MAX_WAIT);
    std::thread::sleep(Duration::from_secs(1));
    service.tell(&purge(3));
    assert_heard(&cluster, 3, Instant::now(), TOLD_WITHIN);
    assert_eq!(times_handled(&cluster, 2), 1);
}

/// Half an event arrives on one call, then the whole of it and the next one on another, then the rest on the first, with
/// the full list of before. Guards against events that are handled twice, in part or in another order.
#[test]
fn an_event_is_handled_once_whichever_call_brings_it() {
    let cluster = Cluster::new();
    let mut client = cluster.client();
    let (mut first, mut served) = (cluster.next_journal_call(), Vec::new());
    let gone = |position, name| {
        hosts(
            position,
            false,
            &[member(name, cluster.addresses[name], "gone", 0)],
        )
    };
    let event = format!("id: 2\ndata: {}\n\n", gone(2, "c1"));
    let (half, rest) = event.split_at(event.len() / 2);
    std::io::Write::write_all(&mut first.stream, half.as_bytes()).expect("half an event");
    let mut second = cluster.next_journal_call();
    assert_eq!(second.last_event_id, 1, "half an event does not count");
    second.send(&gone(2, "c1"));
    second.send(&gone(3, "p1"));
    wait_for("the events of the second call are applied", || {
        client.request("image", 7, 2_000);
        let request = cluster.next_request();
        request.answer_hit(b"x");
        client.next_answer();
        request.host == "c2" && request.field("via") == Some("o1")
    });
    std::io::Write::write_all(&mut first.stream, rest.as_bytes()).expect("the rest");
    let all: Vec<Json> = (cluster.addresses.iter())
        .map(|(name, address)| member(name, *address, "ready", 0))
        .collect();
    first.send(&hosts(1, true, &all));
    first.send(&hosts(
        4,
        false,
        &[member("c1", cluster.addresses["c1"], "ready", 0)],
    ));
    for object in 0..40 {
        client.request("image", object, 2_000);
        let request = cluster.next_request();
        request.answer_hit(b"x");
        client.next_answer();
        assert_ne!(request.host, "p1");
        assert_ne!(request.field("via"), Some("p1"));
        served.push(request.host);
    }
    assert!(
        served.contains(&"c1"),
        "the next event on the first call is handled"
    );
}

/// An event arrives while the process is stopped, and the service lets no call in afterwards. Guards against ending the call
/// for its silence before what has arrived is read.
#[test]
fn an_event_that_arrived_while_the_process_was_stopped_is_heard() {
    let service = JournalService::start(|_| CallPlan::PROMPT);
    let cluster = Cluster::with_journal(service.address);
    wait_for("the service is called", || service.open_calls() == 1);
    cluster.program.stop();
    service.tell(&purge(2));
    std::thread::sleep(Duration::from_secs(3));
    service.turn_away_new_calls();
    cluster.program.signal("-CONT");
    assert_heard(&cluster, 2, Instant::now(), Duration::from_secs(1));
}

/// A service that is slow is named again by new configurations, faster than it answers. Guards against giving up the call
/// that is open at each of them, so that nothing is ever heard.
#[test]
fn new_configurations_leave_the_open_call_alone() {
    let late = CallPlan::late(Duration::from_millis(2_500));
    let service = JournalService::start(move |_| late);
    let cluster = Cluster::with_journal(service.address);
    service.tell(&purge(2));
    let told_at = Instant::now();
    for _ in 0..7 {
        std::thread::sleep(Duration::from_secs(1));
        cluster.program.reload_config(&cluster.config.to_string());
    }
    assert_heard(&cluster, 2, told_at, TOLD_WITHIN + SLACK);
    assert!(most_open_calls(&service.calls()) <= MAX_CALLS);
}

/// A service that turns new calls away is named again by a new configuration. Guards against ending the call that it
/// serves, which it does not let in again.
#[test]
fn a_new_configuration_keeps_a_call_that_could_not_be_made_again() {
    let service = JournalService::start(|_| CallPlan::PROMPT);
    let cluster = Cluster::with_journal(service.address);
    wait_for("the service is called", || service.open_calls() == 1);
    service.turn_away_new_calls();
    cluster.program.reload_config(&cluster.config.to_string());
    wait_for("the configuration is read", || {
        cluster.program.log_contains("configuration read again")
    });
    service.tell(&purge(2));
    assert_heard(&cluster, 2, Instant::now(), TOLD_AFTER_STOP);
}

/// A new configuration moves the service to an address where nobody is yet. Guards against ending the call to the former
/// address before the new one speaks, and against following both from then on.
#[test]
fn the_former_service_is_followed_until_the_new_one_speaks() {
    let former = JournalService::start(|_| CallPlan::PROMPT);
    let new = JournalService::start(|_| CallPlan::late(Duration::from_secs(3)));
    let cluster = Cluster::with_journal(former.address);
    wait_for("the service is called", || former.open_calls() == 1);
    let mut config = cluster.config.clone();
    config["journal"] = json!(new.address.to_string());
    cluster.program.reload_config(&config.to_string());
    wait_for("the new service is called", || new.open_calls() == 1);
    former.tell(&purge(2));
    assert_heard(&cluster, 2, Instant::now(), Duration::from_secs(2));
    wait_for("the former call is ended", || former.open_calls() == 0);
    new.tell(&purge(3));
    assert_heard(&cluster, 3, Instant::now(), TOLD_AFTER_STOP);
}

/// The process is stopped for longer than a service may be silent, while the service speaks. Guards against taking it for
/// silent before what has arrived is read: each such call has the whole list sent again.
#[test]
fn a_service_that_spoke_while_the_process_was_stopped_is_not_called_again() {
    const STOPS: usize = 5;
    let service = JournalService::start(|_| CallPlan::PROMPT);
    let cluster = Cluster::with_journal(service.address);
    wait_for("the service is called", || service.open_calls() == 1);
    for _ in 0..STOPS {
        cluster.program.stop();
        std::thread::sleep(Duration::from_secs(3));
        cluster.program.signal("-CONT");
        std::thread::sleep(Duration::from_millis(200));
    }
    assert_eq!(service.calls().len(), 1);
}

/// The service begins each answer and closes it at once, as one does that has too many calls. Guards against a fixed rate
/// of calls to it.
#[test]
fn calls_to_a_service_that_answers_and_closes_back_off() {
    let shed = CallPlan {
        closed_at: Duration::from_millis(30),
        ..CallPlan::PROMPT
    };
    let service = JournalService::start(move |_| shed);
    let _cluster = Cluster::with_journal(service.address);
    wait_for("twelve calls", || service.calls().len() >= 12);
    let calls = service.calls();
    let took = calls[11].at - calls[0].at;
    // Calls at the first interval would take half of that.
    assert!(took >= Duration::from_millis(2_400), "{took:?}");
}
