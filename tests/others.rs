//! The decisions beside other dispatchers: what those did binds an access, and what they say opens nothing.

#[allow(dead_code, reason = "the other stories use the rest of it")]
mod host;

use host::*;
use trailproxy::interface::*;
use trailproxy::logic::Dispatcher;
use trailproxy::units::*;

const START: Timestamp = Timestamp(1_000_000_000);

/// One earlier hand-off under every key.
struct Known(PeerAttempt);

impl CrossingLimits for Known {}

impl PeerKnowledge for Known {
    fn earlier_attempt(&self, _id: RequestId) -> Option<PeerAttempt> {
        Some(self.0)
    }
}

/// What becomes of a change whose key another sent to this place, so long ago, on a track with this group.
fn change_after(group: RepeatGroup, location: Option<(u16, u16)>, ago: TimeSpan) -> Vec<Action> {
    let mut terms = terms();
    let window = TimeSpan::from_secs(2);
    terms.classes[1].effect = Effect::Keyed { group, window };
    let location = location.map(|(zone, cell)| (ZoneId(zone), CellId(cell)));
    let first_sent = Timestamp(START.0 - ago.0);
    let mut dispatcher = Dispatcher::new(
        Known(PeerAttempt {
            location,
            first_sent,
        }),
        terms,
        1,
    );
    change(&mut dispatcher)
}

/// A change comes to a dispatcher that has just been told its hosts.
fn change(dispatcher: &mut Dispatcher<Known>) -> Vec<Action> {
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

fn went(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Attempt(_)))
}

fn aborted(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Fail { .. }))
}

#[test]
fn a_repeat_goes_where_the_first_is_known_and_nowhere_else() {
    // Changes go to the origin, in zone 0 and cell 0.
    let soon = ms(500);
    assert!(went(&change_after(RepeatGroup::Zone, Some((0, 9)), soon)));
    assert!(went(&change_after(RepeatGroup::Cell, Some((9, 0)), soon)));
    assert!(went(&change_after(RepeatGroup::All, None, soon)));
    for (group, place) in [
        (RepeatGroup::Zone, Some((1, 0))),
        (RepeatGroup::Cell, Some((0, 1))),
        (RepeatGroup::Zone, None),
        (RepeatGroup::Cell, None),
    ] {
        let actions = change_after(group, place, soon);
        assert!(
            !went(&actions) && aborted(&actions),
            "{group:?} {place:?}: {actions:?}"
        );
    }
}

#[test]
fn past_the_window_nothing_goes_out_and_the_answer_comes_at_once() {
    let actions = change_after(RepeatGroup::Zone, Some((0, 0)), ms(2_001));
    assert!(!went(&actions) && aborted(&actions), "{actions:?}");
    // Where all hosts drop repeats, a client may try again.
    let actions = change_after(RepeatGroup::All, None, ms(2_001));
    assert!(!went(&actions) && !aborted(&actions), "{actions:?}");
    assert!(
        actions
            .iter()
            .any(|action| matches!(action, Action::Refuse { .. }))
    );
}

fn opened(stage: &Stage) -> bool {
    stage
        .logged
        .iter()
        .any(|line| line.ends_with("breaker open"))
}

#[test]
fn a_hint_makes_one_failure_enough() {
    for hinted in [false, true] {
        let mut stage = Stage::new(terms());
        let host = PARENTS[0];
        let object = stage.objects_of(host, 1, 1)[0];
        if hinted {
            stage.event(Event::PeerBreakerOpened { host });
        }
        assert!(!opened(&stage), "a hint opens nothing by itself");
        stage.play(object, Ending::Error, Note::SourceLost, ms(50));
        assert_eq!(opened(&stage), hinted);
    }
}

#[test]
fn a_good_answer_ends_a_hint() {
    let mut stage = Stage::new(terms());
    let host = PARENTS[0];
    let objects = stage.objects_of(host, 1, 2);
    stage.event(Event::PeerBreakerOpened { host });
    stage.play(objects[0], Ending::Done, Note::Filled, ms(50));
    stage.play(objects[1], Ending::Error, Note::SourceLost, ms(50));
    assert!(!opened(&stage), "{:?}", stage.logged);
}

#[test]
fn a_binding_access_that_another_sent_under_its_key_is_never_sent_again() {
    let first_sent = Timestamp(START.0 - 1);
    for location in [None, Some((ZoneId(0), CellId(0)))] {
        let mut terms = terms();
        terms.classes[1].effect = Effect::NonIdempotent;
        let mut dispatcher = Dispatcher::new(
            Known(PeerAttempt {
                location,
                first_sent,
            }),
            terms,
            1,
        );
        let actions = change(&mut dispatcher);
        assert!(!went(&actions) && aborted(&actions), "{actions:?}");
    }
}
