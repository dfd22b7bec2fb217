//! Every fault of the store, alone and in pairs, under clients that come again elsewhere; and every order of events of a
//! small case. What is counted: verdicts of each access, effects of each key that were allowed by a belief in the store,
//! and the parts of a budget that are in use at once. Mistakes are planted, and have to be found.

mod world;

use std::collections::{BTreeMap, BTreeSet};
use trailproxy::interface::{Effect, RepeatGroup};
use trailproxy::units::*;
use trailproxy_shared_store::decide::records::{Completion, RecordDecision};
use trailproxy_standins::redis::Mistake;
use world::*;

const WINDOW: TimeSpan = TimeSpan::from_secs(2);
const LEFT: TimeSpan = TimeSpan::from_secs(1);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Strike {
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

use Strike::*;
const ALL: [Strike; 10] = [
    Pause, NoAnswers, Slow, Wipe, RollBack, Restart, FailOver, Split, Cut, NoMemory,
];

fn strike(world: &mut World, strike: Strike) {
    match strike {
        Nothing => {}
        Pause => world.way.paused = true,
        NoAnswers => world.way.answers = false,
        Slow => {
            (world.way.there, world.way.back) =
                (TimeSpan::from_millis(5), TimeSpan::from_millis(10))
        }
        Wipe => world.stores[0].wipe(),
        RollBack => world.reborn(true, 0),
        Restart => world.reborn(false, 0),
        FailOver => {
            let ahead = if world.chance.bool() { 500 } else { -500 };
            world.reborn(true, ahead);
        }
        Split => world.split(&[0]),
        Cut => (0..world.members.len()).for_each(|nth| world.cut(nth)),
        NoMemory => world
            .stores
            .iter_mut()
            .for_each(|store| store.most_keys = 0),
    }
}

fn heal(world: &mut World) {
    world.way = Way::GOOD;
    world
        .stores
        .iter_mut()
        .for_each(|store| store.most_keys = usize::MAX);
}

/// What was counted over one run.
#[derive(Debug, Default)]
struct Tally {
    accesses: usize,
    undecided: usize,
    /// The longest that an access was held which nothing was found of.
    held: TimeSpan,
    /// Cells in which each key took effect, of hand-offs that a belief in the store allowed.
    believed: BTreeMap<String, BTreeSet<u16>>,
    most_part: f64,
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
            || self.most_part > 1.0 + 1e-6
            || self.held > WAIT + TimeSpan(200)
    }
}

struct Open {
    nth: usize,
    id: RequestId,
    mark: String,
    come: Timestamp,
    ends: Option<Timestamp>,
}

/// Clients whose keys come at one dispatcher and, unanswered after a while, at the next; each dispatcher has a cell of its
/// own, so that a repeat elsewhere takes effect again.
fn play(seed: u64, first: Strike, second: Strike, mistake: Option<Mistake>) -> Tally {
    let mut world = World::new(3, seed);
    let mut tally = Tally::default();
    assert!(world.together(TimeSpan::from_secs(20)));
    world
        .stores
        .iter_mut()
        .for_each(|store| store.mistake = mistake);
    let mut open: Vec<Open> = Vec::new();
    let mut again: Vec<(Timestamp, usize, String)> = Vec::new();
    for tick in 0..300u32 {
        match tick {
            20 => world.snapshot = Some(world.stores[0].clone()),
            60 => strike(&mut world, first),
            100 => strike(&mut world, second),
            160 => heal(&mut world),
            _ => {}
        }
        for nth in 0..3 {
            // Two of them need what the third leaves unused.
            let needs = nth < 2;
            let part = if needs { 0.9 } else { 0.02 };
            world.needs(nth, part);
        }
        let now = world.now;
        let nth = world.chance.usize(0..3);
        let mut coming = vec![(nth, format!("key-{tick}"))];
        let due = again.iter().filter(|(at, ..)| *at <= now);
        coming.extend(due.map(|(_, nth, mark)| (*nth, mark.clone())));
        again.retain(|(at, ..)| *at > now);
        for (nth, mark) in coming {
            let id = world.come(nth, &mark, LEFT);
            tally.accesses += 1;
            let first = !open.iter().any(|open| open.mark == mark);
            if first {
                again.push((now + TimeSpan::from_millis(60), (nth + 1) % 3, mark.clone()));
            }
            open.push(Open {
                nth,
                id,
                mark,
                come: now,
                ends: None,
            });
        }
        world.run(TimeSpan::from_millis(10));
        let now = world.now;
        for one in &mut open {
            let Some(decided) = world.members[one.nth].decided.get(&one.id) else {
                continue;
            };
            assert_eq!(decided.len(), 1, "one verdict");
            if one.ends.is_some() {
                continue;
            }
            let (at, verdict) = decided[0].clone();
            let earlier = world.members[one.nth].sharing.earlier_attempt(one.id);
            if earlier.is_none() {
                tally.held = tally.held.max(at.since(one.come));
            }
            let cell = one.nth as u16;
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
            one.ends = Some(match verdict {
                RecordDecision::Answer(_) => now,
                RecordDecision::Proceed if !covered => now,
                RecordDecision::Proceed => {
                    world.sent(one.nth, one.id, cell);
                    if world.members[one.nth].believed[&one.id] {
                        tally
                            .believed
                            .entry(one.mark.clone())
                            .or_default()
                            .insert(cell);
                    }
                    now + TimeSpan::from_millis(world.chance.u64(5..120))
                }
            });
        }
        let over = |one: &Open| one.ends.is_some_and(|ends| ends <= now);
        for one in open.iter().filter(|one| over(one)) {
            world.ended(one.nth, one.id, Completion::Done(Some(b"ok".to_vec())));
        }
        open.retain(|one| !over(one));
    }
    world.run(TimeSpan::from_secs(1));
    tally.undecided = open
        .iter()
        .filter(|one| world.verdict(one.nth, one.id).is_none())
        .count();
    tally.most_part = world.most_part;
    tally
}

#[test]
fn each_fault_alone_and_in_pairs_keeps_the_promises() {
    for (nth, first) in ALL.into_iter().enumerate() {
        for second in [Nothing].into_iter().chain(ALL) {
            let seed = 1_000 + nth as u64;
            let tally = play(seed, first, second, None);
            assert!(
                !tally.fails(),
                "{first:?} then {second:?}, seed {seed}: {tally:?}"
            );
        }
    }
}

#[test]
fn a_store_that_lets_every_claim_stand_is_found() {
    assert!(play(7, Nothing, Nothing, None).forbidden() == 0);
    assert!(play(7, Nothing, Nothing, Some(Mistake::ClaimsAll)).forbidden() > 0);
}

#[test]
fn a_store_that_serves_under_any_epoch_is_found() {
    let found =
        (0..12).any(|seed| play(seed, Wipe, Wipe, Some(Mistake::IgnoresEpochs)).forbidden() > 0);
    assert!(found);
}

/// Every order of what can happen to two dispatchers that get one key, to this depth.
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
struct Case {
    world: World,
    open: Vec<(usize, RequestId, bool)>,
    cells: BTreeSet<u16>,
}

impl Case {
    /// Sends whatever has been decided, as the module would.
    fn send(&mut self) {
        for (nth, id, sent) in &mut self.open {
            let go = self.world.verdict(*nth, *id) == Some(&RecordDecision::Proceed);
            if go && !*sent {
                *sent = true;
                let earlier = self.world.members[*nth].sharing.earlier_attempt(*id);
                let cell = *nth as u16;
                if earlier.is_none_or(|earlier| earlier.location == Some((ZoneId(0), CellId(cell))))
                {
                    self.world.sent(*nth, *id, cell);
                    if self.world.members[*nth].believed[id] {
                        self.cells.insert(cell);
                    }
                }
            }
        }
    }

    /// `false`: it can't happen now.
    fn take(&mut self, one: Move) -> bool {
        let can = match one {
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
                self.world.reborn(true, 0);
                true
            }
            Move::Retry if self.open.len() < 3 => {
                let id = self.world.come(1, "order-1", LEFT);
                self.open.push((1, id, false));
                true
            }
            Move::Retry => false,
        };
        self.send();
        can
    }
}

fn explore(case: &Case, depth: usize, way: &mut Vec<Move>, count: &mut usize) -> Option<Vec<Move>> {
    *count += 1;
    if case.cells.len() > 1 || case.world.most_part > 1.0 + 1e-6 {
        return Some(way.clone());
    }
    if depth == 0 {
        return None;
    }
    for one in MOVES {
        let mut next = case.clone();
        if next.take(one) {
            way.push(one);
            if let Some(found) = explore(&next, depth - 1, way, count) {
                return Some(found);
            }
            way.pop();
        }
    }
    None
}

fn case(mistake: Option<Mistake>) -> Case {
    let mut world = World::new(2, 5);
    assert!(world.together(TimeSpan::from_secs(20)));
    // Nothing else is under way.
    world.run(TimeSpan::from_millis(3));
    world.snapshot = Some(world.stores[0].clone());
    world.stores[0].mistake = mistake;
    let open = [0, 1].map(|nth| (nth, world.come(nth, "order-1", LEFT), false));
    Case {
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
