//! The decisions beside a full link: what they ask, and that no rule bends for it.

#[allow(dead_code, reason = "the other stories use the rest of it")]
mod host;

use host::*;
use std::cell::RefCell;
use std::rc::Rc;
use trailproxy::interface::*;
use trailproxy::logic::Dispatcher;
use trailproxy::units::*;

/// A link that has room for what it is told to, and notes what it is asked.
#[derive(Clone, Default)]
struct Gate(Rc<RefCell<Notes>>);

#[derive(Default)]
struct Notes {
    full: bool,
    full_from: Vec<HostId>,
    away: Option<TimeSpan>,
    sent: Vec<Crossing>,
    heard: usize,
}

impl PeerKnowledge for Gate {}

impl CrossingLimits for Gate {
    fn on_event(&mut self, _now: Timestamp, _event: &Event) {
        self.0.borrow_mut().heard += 1;
    }

    fn has_room(&self, _now: Timestamp, crossing: &Crossing) -> bool {
        let notes = self.0.borrow();
        !notes.full && !notes.full_from.contains(&crossing.source)
    }

    fn on_sent(&mut self, _now: Timestamp, crossing: &Crossing) {
        self.0.borrow_mut().sent.push(*crossing);
    }

    fn retry_after(&self, _now: Timestamp, _track: ClassId) -> Option<TimeSpan> {
        self.0.borrow().away
    }
}

struct Desk {
    gate: Gate,
    dispatcher: Dispatcher<Gate>,
    now: Timestamp,
    next: u64,
}

impl Desk {
    fn new(terms: DispatcherSettings) -> Desk {
        let gate = Gate::default();
        let mut dispatcher = Dispatcher::new(gate.clone(), terms, 1);
        let now = Timestamp(1_000_000_000);
        let hosts = CACHES.iter().chain(&PARENTS).chain([&ORIGIN]);
        let entries = hosts.map(|&host| entry(host)).collect();
        let kind = HostListKind::Full;
        dispatcher.handle_event(now, Event::HostList { kind, entries });
        dispatcher.take_actions(now);
        Desk {
            gate,
            dispatcher,
            now,
            next: 0,
        }
    }

    fn arrive(&mut self, class: ClassId, object: u64) -> (RequestId, Vec<Action>) {
        self.next += 1;
        let id = RequestId(self.next);
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

    fn end(&mut self, id: RequestId, no: u8, ending: Ending, note: Note) -> Vec<Action> {
        self.now = self.now + ms(10);
        let outcome = Outcome {
            id,
            attempt: AttemptNo(no),
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

fn handed(actions: &[Action]) -> Option<Attempt> {
    actions.iter().find_map(|action| match action {
        Action::Attempt(attempt) => Some(attempt.clone()),
        _ => None,
    })
}

#[test]
fn a_fill_that_goes_out_is_told_once_with_its_way() {
    let mut desk = Desk::new(terms());
    let (id, actions) = desk.arrive(READS, 5);
    let attempt = handed(&actions).expect("a hand-off");
    let notes = desk.gate.0.borrow();
    let [way] = notes.sent[..] else {
        panic!("{:?}", notes.sent);
    };
    assert_eq!((way.arrival.id, way.attempt), (id, AttemptNo(0)));
    assert_eq!((way.from, way.to, way.kb), (ZoneId(0), ZoneId(1), 40.0));
    assert_eq!(
        (way.host, Some(way.source)),
        (attempt.host, attempt.fill.map(|fill| fill.source))
    );
    assert!(way.join && notes.heard >= 2);
}

#[test]
fn past_a_full_way_the_next_parent_is_asked() {
    let mut desk = Desk::new(terms());
    let (_, actions) = desk.arrive(READS, 5);
    let first = handed(&actions)
        .and_then(|h| h.fill)
        .expect("a fill")
        .source;
    desk.gate.0.borrow_mut().full_from.push(first);
    let (_, actions) = desk.arrive(READS, 5);
    let next = handed(&actions)
        .and_then(|h| h.fill)
        .expect("a fill")
        .source;
    assert!(next != first && PARENTS.contains(&next));
}

#[test]
fn over_a_full_link_the_cache_gives_what_it_holds_however_stale_within_grace() {
    let mut desk = Desk::new(terms());
    desk.gate.0.borrow_mut().full = true;
    let (id, actions) = desk.arrive(READS, 5);
    let attempt = handed(&actions).expect("a hand-off");
    let fill = attempt.fill.expect("told how old a copy may be");
    assert_eq!(fill.source, attempt.host);
    // Fresh for 8 s and 20 s of grace.
    assert_eq!(fill.max_age, Some(TimeSpan::from_secs(28)));
    assert!(desk.gate.0.borrow().sent.is_empty());
    let actions = desk.end(id, 0, Ending::Done, Note::Stale);
    assert!(handed(&actions).is_none());
}

#[test]
fn what_is_not_held_is_rejected_at_once_with_the_time_that_the_link_needs() {
    let mut desk = Desk::new(DispatcherSettings {
        max_retry_after: Some(TimeSpan::from_secs(10)),
        ..terms()
    });
    {
        let mut notes = desk.gate.0.borrow_mut();
        (notes.full, notes.away) = (true, Some(TimeSpan::from_secs(4)));
    }
    let (id, _) = desk.arrive(READS, 5);
    let actions = desk.end(id, 0, Ending::Miss, Note::NotReported);
    let [
        Action::Refuse {
            retry_after: Some(away),
            ..
        },
    ] = actions[..]
    else {
        panic!("{actions:?}");
    };
    assert!(
        (TimeSpan::from_secs(3)..=TimeSpan::from_secs(5)).contains(&away),
        "{away:?}"
    );
}

#[test]
fn a_binding_access_that_may_have_run_is_aborted_and_never_rejected_for_a_full_link() {
    let mut desk = Desk::new(terms());
    let (id, actions) = desk.arrive(ORDERS, 5);
    assert!(handed(&actions).is_some());
    desk.gate.0.borrow_mut().full = true;
    desk.end(id, 0, Ending::ConnectionLost, Note::NotReported);
    // It is looked at again a little after the origin failed.
    desk.now = desk.now + ms(100);
    desk.dispatcher
        .handle_event(desk.now, Event::TimerFired { timer: TimerId(0) });
    let actions = desk.dispatcher.take_actions(desk.now);
    assert!(
        actions
            .iter()
            .any(|action| matches!(action, Action::Fail { .. })),
        "{actions:?}"
    );
    let (_, actions) = desk.arrive(ORDERS, 6);
    assert!(
        matches!(actions[..], [Action::Refuse { .. }]),
        "{actions:?}"
    );
}

#[test]
fn nothing_straight_from_another_zone_goes_over_a_full_link_either() {
    let mut desk = Desk::new(terms());
    let entries = CACHES.map(|host| HostEntry {
        state: HostState::Gone,
        ..entry(host)
    });
    let (kind, entries) = (HostListKind::Delta, entries.to_vec());
    desk.dispatcher
        .handle_event(desk.now, Event::HostList { kind, entries });
    let (_, actions) = desk.arrive(READS, 5);
    let way = desk
        .gate
        .0
        .borrow()
        .sent
        .last()
        .copied()
        .expect("it crosses");
    assert!(handed(&actions).is_some_and(|attempt| attempt.host == way.host));
    assert_eq!(
        (way.source, way.from, way.to),
        (way.host, ZoneId(0), ZoneId(1))
    );
    desk.gate.0.borrow_mut().full = true;
    let (_, actions) = desk.arrive(READS, 6);
    assert!(
        matches!(actions[..], [Action::Refuse { .. }]),
        "{actions:?}"
    );
}

#[test]
fn a_link_that_never_says_no_changes_no_decision() {
    let mut desk = Desk::new(terms());
    let mut stage = Stage::new(terms());
    for object in 1..200 {
        let (id, actions) = desk.arrive(READS, object);
        let other = stage.arrive(READS, object);
        assert_eq!(
            handed(&actions).map(|h| h.host),
            Some(stage.last(other).host)
        );
        assert_eq!(
            handed(&actions).and_then(|h| h.fill).map(|f| f.source),
            Some(stage.source(other))
        );
        desk.end(id, 0, Ending::Done, Note::Filled);
        stage.answer(other, Ending::Done, Note::Filled, ms(10));
    }
}
