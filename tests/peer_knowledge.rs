//! The dispatcher with knowledge of other dispatchers: their attempts restrict a request, and their reports of open
//! breakers alone open no breaker.

#[allow(dead_code, reason = "other test files use the rest of it")]
mod harness;

use harness::*;
use trailproxy::interface::*;
use trailproxy::logic::Dispatcher;
use trailproxy::units::*;

const START: Timestamp = Timestamp(1_000_000_000);

/// Peer knowledge with one earlier attempt under every key.
struct OneEarlierAttempt(PeerAttempt);

impl CrossingLimits for OneEarlierAttempt {}

impl PeerKnowledge for OneEarlierAttempt {
    fn earlier_attempt(&self, _id: RequestId) -> Option<PeerAttempt> {
        Some(self.0)
    }
}

/// The actions for a change whose key another dispatcher sent to `location` (zone and cell) `age` ago, in a class with
/// this repeat group.
fn change_after(group: RepeatGroup, location: Option<(u16, u16)>, age: TimeSpan) -> Vec<Action> {
    let mut settings = settings();
    let window = TimeSpan::from_secs(2);
    settings.classes[1].effect = Effect::Keyed { group, window };
    let location = location.map(|(zone, cell)| (ZoneId(zone), CellId(cell)));
    let first_sent = Timestamp(START.0 - age.0);
    let mut dispatcher = Dispatcher::new(
        OneEarlierAttempt(PeerAttempt {
            location,
            first_sent,
        }),
        settings,
        1,
    );
    request_change(&mut dispatcher)
}

/// The actions for a change that arrives right after the host list.
fn request_change(dispatcher: &mut Dispatcher<OneEarlierAttempt>) -> Vec<Action> {
    let entries = CACHES
        .iter()
        .chain(&PARENTS)
        .chain([&ORIGIN])
        .map(|&host| entry(host));
    let (kind, entries) = (HostListKind::Full, entries.collect());
    dispatcher.handle_event(START, Event::HostList { kind, entries });
    dispatcher.handle_event(
        START,
        Event::Arrived(Arrival {
            id: RequestId(1),
            time_left: TimeSpan::from_secs(3),
            class: CHANGES,
            object: ObjectId(7),
            group: GroupId(0),
            part: 0,
            size_kb: Some(1.0),
        }),
    );
    dispatcher.take_actions(START)
}

fn sends(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Attempt(_)))
}

fn fails(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Fail { .. }))
}

#[test]
fn a_repeat_is_sent_only_where_the_first_attempt_is_known() {
    // Changes go to the origin, in zone 0 and cell 0.
    let age = ms(500);
    assert!(sends(&change_after(RepeatGroup::Zone, Some((0, 9)), age)));
    assert!(sends(&change_after(RepeatGroup::Cell, Some((9, 0)), age)));
    assert!(sends(&change_after(RepeatGroup::All, None, age)));
    for (group, location) in [
        (RepeatGroup::Zone, Some((1, 0))),
        (RepeatGroup::Cell, Some((0, 1))),
        (RepeatGroup::Zone, None),
        (RepeatGroup::Cell, None),
    ] {
        let actions = change_after(group, location, age);
        assert!(
            !sends(&actions) && fails(&actions),
            "{group:?} {location:?}: {actions:?}"
        );
    }
}

#[test]
fn after_the_repeat_window_nothing_is_sent_and_the_final_answer_comes_at_once() {
    let actions = change_after(RepeatGroup::Zone, Some((0, 0)), ms(2_001));
    assert!(!sends(&actions) && fails(&actions), "{actions:?}");
    // Where all hosts drop repeats, the client may retry.
    let actions = change_after(RepeatGroup::All, None, ms(2_001));
    assert!(!sends(&actions) && !fails(&actions), "{actions:?}");
    assert!(
        actions
            .iter()
            .any(|action| matches!(action, Action::Refuse { .. }))
    );
}

fn breaker_opened(harness: &Harness) -> bool {
    harness
        .log_lines
        .iter()
        .any(|line| line.ends_with("breaker open"))
}

#[test]
fn after_a_peers_breaker_opened_one_failure_opens_the_own() {
    for peer_opened in [false, true] {
        let mut harness = Harness::new(settings());
        let host = PARENTS[0];
        let object = harness.objects_with_parent(host, 1, 1)[0];
        if peer_opened {
            harness.event(Event::PeerBreakerOpened { host });
        }
        assert!(
            !breaker_opened(&harness),
            "a peer's breaker alone opens nothing"
        );
        harness.request_and_end(object, Ending::Error, Note::SourceLost, ms(50));
        assert_eq!(breaker_opened(&harness), peer_opened);
    }
}

#[test]
fn a_good_answer_resets_the_effect_of_a_peers_breaker() {
    let mut harness = Harness::new(settings());
    let host = PARENTS[0];
    let objects = harness.objects_with_parent(host, 1, 2);
    harness.event(Event::PeerBreakerOpened { host });
    harness.request_and_end(objects[0], Ending::Done, Note::Filled, ms(50));
    harness.request_and_end(objects[1], Ending::Error, Note::SourceLost, ms(50));
    assert!(!breaker_opened(&harness), "{:?}", harness.log_lines);
}

#[test]
fn a_non_idempotent_request_that_a_peer_sent_is_never_sent_again() {
    let first_sent = Timestamp(START.0 - 1);
    for location in [None, Some((ZoneId(0), CellId(0)))] {
        let mut settings = settings();
        settings.classes[1].effect = Effect::NonIdempotent;
        let mut dispatcher = Dispatcher::new(
            OneEarlierAttempt(PeerAttempt {
                location,
                first_sent,
            }),
            settings,
            1,
        );
        let actions = request_change(&mut dispatcher);
        assert!(!sends(&actions) && fails(&actions), "{actions:?}");
    }
}
