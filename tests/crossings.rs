//! The dispatcher with limits on the traffic between zones: what it asks of them, and that no rule is relaxed when a
//! link is full.

#[allow(dead_code, reason = "other test files use the rest of it")]
mod harness;

use harness::*;
use std::cell::RefCell;
use std::rc::Rc;
use trailproxy::interface::*;
use trailproxy::logic::Dispatcher;
use trailproxy::units::*;

/// Limits with a scripted answer that record their calls.
#[derive(Clone, Default)]
struct ScriptedLimits(Rc<RefCell<LimitsState>>);

#[derive(Default)]
struct LimitsState {
    /// No crossing has room.
    full: bool,
    /// No crossing from these sources has room.
    full_from: Vec<HostId>,
    retry_after: Option<TimeSpan>,
    sent: Vec<Crossing>,
    events: usize,
}

impl PeerKnowledge for ScriptedLimits {}

impl CrossingLimits for ScriptedLimits {
    fn on_event(&mut self, _now: Timestamp, _event: &Event) {
        self.0.borrow_mut().events += 1;
    }

    fn has_room(&self, _now: Timestamp, crossing: &Crossing) -> bool {
        let state = self.0.borrow();
        !state.full && !state.full_from.contains(&crossing.source)
    }

    fn on_sent(&mut self, _now: Timestamp, crossing: &Crossing) {
        self.0.borrow_mut().sent.push(*crossing);
    }

    fn retry_after(&self, _now: Timestamp, _class: ClassId) -> Option<TimeSpan> {
        self.0.borrow().retry_after
    }
}

/// A dispatcher with scripted limits, in virtual time.
struct LimitedDispatcher {
    limits: ScriptedLimits,
    dispatcher: Dispatcher<ScriptedLimits>,
    now: Timestamp,
    last_id: u64,
}

impl LimitedDispatcher {
    fn new(settings: DispatcherSettings) -> LimitedDispatcher {
        let limits = ScriptedLimits::default();
        let mut dispatcher = Dispatcher::new(limits.clone(), settings, 1);
        let now = Timestamp(1_000_000_000);
        let hosts = CACHES.iter().chain(&PARENTS).chain([&ORIGIN]);
        let entries = hosts.map(|&host| entry(host)).collect();
        let kind = HostListKind::Full;
        dispatcher.handle_event(now, Event::HostList { kind, entries });
        dispatcher.take_actions(now);
        LimitedDispatcher {
            limits,
            dispatcher,
            now,
            last_id: 0,
        }
    }

    fn request(&mut self, class: ClassId, object: u64) -> (RequestId, Vec<Action>) {
        self.last_id += 1;
        let id = RequestId(self.last_id);
        let arrival = Arrival {
            id,
            time_left: TimeSpan::from_secs(3),
            class,
            object: ObjectId(object),
            group: GroupId(1),
            part: 0,
            size_kb: Some(40.0),
        };
        self.dispatcher
            .handle_event(self.now, Event::Arrived(arrival));
        (id, self.dispatcher.take_actions(self.now))
    }

    /// An attempt of a request ends after 10 ms.
    fn end_attempt(&mut self, id: RequestId, index: u8, ending: Ending, note: Note) -> Vec<Action> {
        self.now = self.now + ms(10);
        let outcome = Outcome {
            id,
            attempt: AttemptNo(index),
            ending,
            elapsed: ms(10),
            request_closed: ending == Ending::Done,
            note,
            first_byte_latency: None,
            load: Load::default(),
            client_proven: true,
            received_kb: None,
        };
        self.dispatcher
            .handle_event(self.now, Event::Outcome(outcome));
        self.dispatcher.take_actions(self.now)
    }
}

fn sent_attempt(actions: &[Action]) -> Option<Attempt> {
    actions.iter().find_map(|action| match action {
        Action::Attempt(attempt) => Some(attempt.clone()),
        _ => None,
    })
}

#[test]
fn a_sent_fill_is_reported_once_with_its_crossing() {
    let mut limited = LimitedDispatcher::new(settings());
    let (id, actions) = limited.request(READS, 5);
    let attempt = sent_attempt(&actions).expect("an attempt");
    let state = limited.limits.0.borrow();
    let [crossing] = state.sent[..] else {
        panic!("{:?}", state.sent);
    };
    assert_eq!((crossing.arrival.id, crossing.attempt), (id, AttemptNo(0)));
    assert_eq!(
        (crossing.from, crossing.to, crossing.kb),
        (ZoneId(0), ZoneId(1), 40.0)
    );
    assert_eq!(
        (crossing.host, Some(crossing.source)),
        (attempt.host, attempt.fill.map(|fill| fill.source))
    );
    assert!(crossing.join && state.events >= 2);
}

#[test]
fn the_next_parent_is_used_where_the_crossing_to_the_first_is_full() {
    let mut limited = LimitedDispatcher::new(settings());
    let (_, actions) = limited.request(READS, 5);
    let first = sent_attempt(&actions)
        .and_then(|h| h.fill)
        .expect("a fill")
        .source;
    limited.limits.0.borrow_mut().full_from.push(first);
    let (_, actions) = limited.request(READS, 5);
    let next = sent_attempt(&actions)
        .and_then(|h| h.fill)
        .expect("a fill")
        .source;
    assert!(next != first && PARENTS.contains(&next));
}

#[test]
fn behind_a_full_link_the_cache_serves_copies_that_are_stale_within_grace() {
    let mut limited = LimitedDispatcher::new(settings());
    limited.limits.0.borrow_mut().full = true;
    let (id, actions) = limited.request(READS, 5);
    let attempt = sent_attempt(&actions).expect("an attempt");
    let fill = attempt.fill.expect("a maximum age of copies");
    assert_eq!(fill.source, attempt.host);
    // Fresh for 8 s and 20 s of grace.
    assert_eq!(fill.max_age, Some(TimeSpan::from_secs(28)));
    assert!(limited.limits.0.borrow().sent.is_empty());
    let actions = limited.end_attempt(id, 0, Ending::Done, Note::Stale);
    assert!(sent_attempt(&actions).is_none());
}

#[test]
fn a_miss_behind_a_full_link_is_refused_with_the_retry_time_of_the_link() {
    let mut limited = LimitedDispatcher::new(DispatcherSettings {
        max_retry_after: Some(TimeSpan::from_secs(10)),
        ..settings()
    });
    {
        let mut state = limited.limits.0.borrow_mut();
        (state.full, state.retry_after) = (true, Some(TimeSpan::from_secs(4)));
    }
    let (id, _) = limited.request(READS, 5);
    let actions = limited.end_attempt(id, 0, Ending::Miss, Note::NotReported);
    let [
        Action::Refuse {
            retry_after: Some(retry_after),
            ..
        },
    ] = actions[..]
    else {
        panic!("{actions:?}");
    };
    assert!(
        (TimeSpan::from_secs(3)..=TimeSpan::from_secs(5)).contains(&retry_after),
        "{retry_after:?}"
    );
}

#[test]
fn a_non_idempotent_request_that_may_have_run_fails_and_is_not_refused_behind_a_full_link() {
    let mut limited = LimitedDispatcher::new(settings());
    let (id, actions) = limited.request(ORDERS, 5);
    assert!(sent_attempt(&actions).is_some());
    limited.limits.0.borrow_mut().full = true;
    limited.end_attempt(id, 0, Ending::ConnectionLost, Note::NotReported);
    // The request waits for the retry interval of the origin.
    limited.now = limited.now + ms(100);
    limited
        .dispatcher
        .handle_event(limited.now, Event::TimerFired { timer: TimerId(0) });
    let actions = limited.dispatcher.take_actions(limited.now);
    assert!(
        actions
            .iter()
            .any(|action| matches!(action, Action::Fail { .. })),
        "{actions:?}"
    );
    let (_, actions) = limited.request(ORDERS, 6);
    assert!(
        matches!(actions[..], [Action::Refuse { .. }]),
        "{actions:?}"
    );
}

#[test]
fn direct_requests_to_another_zone_are_limited_as_well() {
    let mut limited = LimitedDispatcher::new(settings());
    let entries = CACHES.map(|host| HostEntry {
        state: HostState::Gone,
        ..entry(host)
    });
    let (kind, entries) = (HostListKind::Delta, entries.to_vec());
    limited
        .dispatcher
        .handle_event(limited.now, Event::HostList { kind, entries });
    let (_, actions) = limited.request(READS, 5);
    let crossing = limited
        .limits
        .0
        .borrow()
        .sent
        .last()
        .copied()
        .expect("a crossing");
    assert!(sent_attempt(&actions).is_some_and(|attempt| attempt.host == crossing.host));
    assert_eq!(
        (crossing.source, crossing.from, crossing.to),
        (crossing.host, ZoneId(0), ZoneId(1))
    );
    limited.limits.0.borrow_mut().full = true;
    let (_, actions) = limited.request(READS, 6);
    assert!(
        matches!(actions[..], [Action::Refuse { .. }]),
        "{actions:?}"
    );
}

#[test]
fn limits_that_always_have_room_change_no_decision() {
    let mut limited = LimitedDispatcher::new(settings());
    let mut harness = Harness::new(settings());
    for object in 1..200 {
        let (id, actions) = limited.request(READS, object);
        let reference = harness.request(READS, object);
        assert_eq!(
            sent_attempt(&actions).map(|h| h.host),
            Some(harness.last_attempt(reference).host)
        );
        assert_eq!(
            sent_attempt(&actions)
                .and_then(|h| h.fill)
                .map(|f| f.source),
            Some(harness.last_source(reference))
        );
        limited.end_attempt(id, 0, Ending::Done, Note::Filled);
        harness.end_attempt(reference, Ending::Done, Note::Filled, ms(10));
    }
}
