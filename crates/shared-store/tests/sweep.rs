//! Every fault of the store, alone and in pairs, under clients that repeat requests at another
//! dispatcher; and every order of events in a small case. Counted are the decisions for each
//! request, the effects of each key that a confirmed claim allowed, and the parts of a budget that
//! are in use at once. Deliberate mistakes have to be found.

mod world;

use std::collections::{BTreeMap, BTreeSet};
use trailproxy::interface::{Effect, RepeatGroup};
use trailproxy::units::*;
use trailproxy_shared_store::decide::records::{Completion, RecordDecision};
use trailproxy_standins::redis::Mistake;
use world::*;

const WINDOW: TimeSpan = TimeSpan::from_secs(2);
const TIME_LEFT: TimeSpan = TimeSpan::from_secs(1);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Nothing,
    Pause,
    NoAnswers,
    Slow,
    Wipe,
    RollBack,
    Restart,
    FailOver,
    Split,
    Cut,
    NoMemory,
}

use Fault::*;
const ALL: [Fault; 10] = [
    Pause, NoAnswers, Slow, Wipe, RollBack, Restart, FailOver, Split, Cut, NoMemory,
];

fn inject(world: &mut World, fault: Fault) {
    match fault {
        Nothing => {}
        Pause => world.link.paused = true,
        NoAnswers => world.link.answers = false,
        Slow => {
            (world.link.there, world.link.back) =
                (TimeSpan::from_millis(5), TimeSpan::from_millis(10))
        }
        Wipe => world.stores[0].wipe(),
        RollBack => world.restart_store(true, 0),
        Restart => world.restart_store(false, 0),
        FailOver => {
            let ahead = if world.rng.bool() { 500 } else { -500 };
            world.restart_store(true, ahead);
        }
        Split => world.split(&[0]),
        Cut => (0..world.members.len()).for_each(|nth| world.disconnect(nth)),
        NoMemory => world
            .stores
            .iter_mut()
            .for_each(|store| store.most_keys = 0),
    }
}

fn clear_faults(world: &mut World) {
    world.link = Link::GOOD;
    world
        .stores
        .iter_mut()
        .for_each(|store| store.most_keys = usize::MAX);
}

/// Counts of one run.
#[derive(Debug, Default)]
struct Tally {
    requests: usize,
    undecided: usize,
    /// The longest wait of a request without an earlier attempt.
    longest_wait: TimeSpan,
    /// Cells in which each key took effect, by attempts that a confirmed claim allowed.
    believed: BTreeMap<String, BTreeSet<u16>>,
    max_part_in_use: f64,
}

impl Tally {
    fn forbidden(&self) -> usize {
        self.believed
            .values()
            .filter(|cells| cells.len() > 1)
            .count()
    }

    fn fails(&self) -> bool {
        self.undecided > 0
            || self.forbidden() > 0
            || self.max_part_in_use > 1.0 + 1e-6
            || self.longest_wait > WAIT + TimeSpan(200)
    }
}

struct Open {
    nth: usize,
    id: RequestId,
    idempotency_key: String,
    arrived_at: Timestamp,
    ends: Option<Timestamp>,
}

/// Clients send each key to one dispatcher and repeat it at the next one after a while. Each
/// dispatcher has a cell of its own, so that a repeat elsewhere takes effect again.
fn run_case(seed: u64, first: Fault, second: Fault, mistake: Option<Mistake>) -> Tally {
    let mut world = World::new(3, seed);
    let mut tally = Tally::default();
    assert!(world.wait_until_trusted(TimeSpan::from_secs(20)));
    world
        .stores
        .iter_mut()
        .for_each(|store| store.mistake = mistake);
    let mut open: Vec<Open> = Vec::new();
    let mut repeats: Vec<(Timestamp, usize, String)> = Vec::new();
    for tick in 0..300u32 {
        match tick {
            20 => world.snapshot = Some(world.stores[0].clone()),
            60 => inject(&mut world, first),
            100 => inject(&mut world, second),
            160 => clear_faults(&mut world),
            _ => {}
        }
        for nth in 0..3 {
            // Two of them need what the third leaves unused.
            let needs = nth < 2;
            let part = if needs { 0.9 } else { 0.02 };
            world.set_need(nth, part);
        }
        let now = world.now;
        let nth = world.rng.usize(0..3);
        let mut coming = vec![(nth, format!("key-{tick}"))];
        let due = repeats.iter().filter(|(at, ..)| *at <= now);
        coming.extend(due.map(|(_, nth, idempotency_key)| (*nth, idempotency_key.clone())));
        repeats.retain(|(at, ..)| *at > now);
        for (nth, idempotency_key) in coming {
            let id = world.send_request(nth, &idempotency_key, TIME_LEFT);
            tally.requests += 1;
            let first = !open
                .iter()
                .any(|open| open.idempotency_key == idempotency_key);
            if first {
                repeats.push((
                    now + TimeSpan::from_millis(60),
                    (nth + 1) % 3,
                    idempotency_key.clone(),
                ));
            }
            open.push(Open {
                nth,
                id,
                idempotency_key,
                arrived_at: now,
                ends: None,
            });
        }
        world.run(TimeSpan::from_millis(10));
        let now = world.now;
        for request in &mut open {
            let Some(decided) = world.members[request.nth].decided.get(&request.id) else {
                continue;
            };
            assert_eq!(decided.len(), 1, "one verdict");
            if request.ends.is_some() {
                continue;
            }
            let (at, decision) = decided[0].clone();
            let earlier = world.members[request.nth].state.earlier_attempt(request.id);
            if earlier.is_none() {
                tally.longest_wait = tally.longest_wait.max(at.since(request.arrived_at));
            }
            let cell = request.nth as u16;
            let covered = earlier.is_none_or(|earlier| {
                let Effect::Keyed { group, window } = (Effect::Keyed {
                    group: RepeatGroup::Cell,
                    window: WINDOW,
                }) else {
                    return false;
                };
                group.covers(earlier.location, (ZoneId(0), CellId(cell)))
                    && now < earlier.first_sent + window
            });
            request.ends = Some(match decision {
                RecordDecision::Answer(_) => now,
                RecordDecision::Proceed if !covered => now,
                RecordDecision::Proceed => {
                    world.send_attempt(request.nth, request.id, cell);
                    if world.members[request.nth].believed[&request.id] {
                        tally
                            .believed
                            .entry(request.idempotency_key.clone())
                            .or_default()
                            .insert(cell);
                    }
                    now + TimeSpan::from_millis(world.rng.u64(5..120))
                }
            });
        }
        let over = |request: &Open| request.ends.is_some_and(|ends| ends <= now);
        for request in open.iter().filter(|request| over(request)) {
            world.end_request(
                request.nth,
                request.id,
                Completion::Done(Some(b"ok".to_vec())),
            );
        }
        open.retain(|request| !over(request));
    }
    world.run(TimeSpan::from_secs(1));
    tally.undecided = open
        .iter()
        .filter(|request| world.decision(request.nth, request.id).is_none())
        .count();
    tally.max_part_in_use = world.max_part_in_use;
    tally
}

#[test]
fn each_fault_alone_and_in_pairs_keeps_the_promises() {
    for (nth, first) in ALL.into_iter().enumerate() {
        for second in [Nothing].into_iter().chain(ALL) {
            let seed = 1_000 + nth as u64;
            let tally = run_case(seed, first, second, None);
            assert!(
                !tally.fails(),
                "{first:?} then {second:?}, seed {seed}: {tally:?}"
            );
        }
    }
}

#[test]
fn a_store_that_lets_every_claim_stand_is_found() {
    assert!(run_case(7, Nothing, Nothing, None).forbidden() == 0);
    assert!(run_case(7, Nothing, Nothing, Some(Mistake::ClaimsAll)).forbidden() > 0);
}

#[test]
fn a_store_that_serves_under_any_epoch_is_found() {
    let found = (0..12)
        .any(|seed| run_case(seed, Wipe, Wipe, Some(Mistake::IgnoresEpochs)).forbidden() > 0);
    assert!(found);
}

/// Depth to which all orders of events are explored for two dispatchers that get the same key.
const DEPTH: usize = 5;

#[derive(Clone, Copy, Debug)]
enum Move {
    Apply(usize),
    Answer(usize),
    Lose(usize),
    Wait,
    Late,
    Wipe,
    RollBack,
    Retry,
}

const MOVES: [Move; 11] = [
    Move::Apply(0),
    Move::Apply(1),
    Move::Answer(0),
    Move::Answer(1),
    Move::Lose(0),
    Move::Lose(1),
    Move::Wait,
    Move::Late,
    Move::Wipe,
    Move::RollBack,
    Move::Retry,
];

#[derive(Clone)]
struct SmallCase {
    world: World,
    open: Vec<(usize, RequestId, bool)>,
    cells: BTreeSet<u16>,
}

impl SmallCase {
    /// Sends an attempt for each request that has been decided, as the dispatcher would.
    fn send(&mut self) {
        for (nth, id, sent) in &mut self.open {
            let go = self.world.decision(*nth, *id) == Some(&RecordDecision::Proceed);
            if go && !*sent {
                *sent = true;
                let earlier = self.world.members[*nth].state.earlier_attempt(*id);
                let cell = *nth as u16;
                if earlier.is_none_or(|earlier| earlier.location == Some((ZoneId(0), CellId(cell))))
                {
                    self.world.send_attempt(*nth, *id, cell);
                    if self.world.members[*nth].believed[id] {
                        self.cells.insert(cell);
                    }
                }
            }
        }
    }

    /// Returns `false` if the event can't happen now.
    fn apply_move(&mut self, event: Move) -> bool {
        let can = match event {
            Move::Apply(nth) => self.world.apply_next(nth),
            Move::Answer(nth) => self.world.answer_next(nth, false),
            Move::Lose(nth) => self.world.answer_next(nth, true),
            Move::Wait => {
                self.world.pass(TimeSpan::from_millis(1));
                true
            }
            Move::Late => {
                self.world.pass(TimeSpan::from_millis(300));
                true
            }
            Move::Wipe => {
                self.world.stores[0].wipe();
                true
            }
            Move::RollBack => {
                self.world.restart_store(true, 0);
                true
            }
            Move::Retry if self.open.len() < 3 => {
                let id = self.world.send_request(1, "order-1", TIME_LEFT);
                self.open.push((1, id, false));
                true
            }
            Move::Retry => false,
        };
        self.send();
        can
    }
}

fn explore(
    case: &SmallCase,
    depth: usize,
    path: &mut Vec<Move>,
    count: &mut usize,
) -> Option<Vec<Move>> {
    *count += 1;
    if case.cells.len() > 1 || case.world.max_part_in_use > 1.0 + 1e-6 {
        return Some(path.clone());
    }
    if depth == 0 {
        return None;
    }
    for event in MOVES {
        let mut next = case.clone();
        if next.apply_move(event) {
            path.push(event);
            if let Some(found) = explore(&next, depth - 1, path, count) {
                return Some(found);
            }
            path.pop();
        }
    }
    None
}

fn case(mistake: Option<Mistake>) -> SmallCase {
    let mut world = World::new(2, 5);
    assert!(world.wait_until_trusted(TimeSpan::from_secs(20)));
    // No operation is pending.
    world.run(TimeSpan::from_millis(3));
    world.snapshot = Some(world.stores[0].clone());
    world.stores[0].mistake = mistake;
    let open = [0, 1].map(|nth| (nth, world.send_request(nth, "order-1", TIME_LEFT), false));
    SmallCase {
        world,
        open: open.to_vec(),
        cells: BTreeSet::new(),
    }
}

#[test]
fn no_order_of_events_lets_two_believe_in_one_key() {
    let mut count = 0;
    let found = explore(&case(None), DEPTH, &mut Vec::new(), &mut count);
    assert!(found.is_none(), "{found:?}");
    assert!(count > 10_000, "{count} states");
}

#[test]
fn the_exploration_finds_a_planted_mistake() {
    let found = explore(
        &case(Some(Mistake::ClaimsAll)),
        DEPTH,
        &mut Vec::new(),
        &mut 0,
    );
    assert!(found.is_some());
}
