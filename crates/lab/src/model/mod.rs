//! A day in virtual time: the fleet of stand-ins, clients with retries, and dispatchers that decide for themselves.
//!
//! One event queue, ordered by time and then by the order of filing, and every draw from the seed: the same scenario,
//! policy and seed give the same day whatever the machine does.

mod attempts;
mod clients;
mod crossings;
mod dispatchers;
mod events;
mod warm_up;

pub use warm_up::warm_up;

use crate::chance::mix;
use crate::decide::baseline::{Decider, Policy};
use crate::rules::{Breach, Checker, Final};
use crate::scenario::{Kill, Scenario};
use crate::tally::{Summary, Tally};
use crate::traffic::{Stream, Wish};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::BTreeMap;
use trailproxy::interface::{Ending, HostEntry};
use trailproxy::units::{
    AttemptNo, ClassId, GroupId, ObjectId, RequestId, TimeSpan, TimerId, Timestamp, ZoneId,
};
use trailproxy_budgets::decide::HolderId;
use trailproxy_budgets::decide::follower::BudgetFollower;
use trailproxy_budgets::decide::shares::BudgetMessage;
use trailproxy_standins::fleet::{Answer, Fleet, Pull, Ticket};
use trailproxy_standins::shape::DAWN;
use trailproxy_zones::decide::rise::Rise;

/// A dispatcher hears so long after a hand-off was withdrawn that it is over.
const WITHDRAWN_AFTER: TimeSpan = TimeSpan::from_millis(5);
/// The oracle is told the true state so often, and so late.
const TRUTH_EVERY: TimeSpan = TimeSpan::from_millis(500);
/// After the last arrival a day runs on for so long at most.
const RUN_OUT: TimeSpan = TimeSpan::from_secs(30);
/// Purges and hosts are told to a dispatcher that starts again after this.
const START: TimeSpan = TimeSpan::from_millis(300);

/// A day's result.
pub struct Day {
    pub summary: Summary,
    pub tally: Tally,
    pub breaches: Vec<Breach>,
    /// What was still held at the end: accesses, hand-offs and fetches.
    pub left_over: usize,
    /// The most hosts that one dispatcher kept something of.
    pub most_kept: usize,
    pub crossed: Crossed,
}

/// Traffic between zones as the dispatchers' accounts have it, beside what the links themselves counted.
#[derive(Clone, Debug, Default)]
pub struct Crossed {
    /// KB by zone it went into and track, booked by all dispatchers.
    pub booked: BTreeMap<(ZoneId, ClassId), f64>,
    /// KB by zone and track that the links moved whole, and all that they moved, by zone.
    pub whole: Vec<Vec<f64>>,
    pub moved: Vec<f64>,
    /// KB into each zone by steps of [`CROSSED_STEP`], as the links counted.
    pub steps: Vec<Vec<f64>>,
    /// Rises told: when, by which dispatcher.
    pub rises: Vec<(Timestamp, usize, Rise)>,
    /// Accesses that found no room, by track.
    pub turned_away: Vec<u64>,
}

/// How finely the links' counts are kept.
pub const CROSSED_STEP: TimeSpan = trailproxy_standins::loopback::CROSSED_EVERY;
/// Dispatchers look for rises so often.
const PASS: TimeSpan = TimeSpan::from_millis(250);

enum Ev {
    Wish(usize, Wish),
    /// An access reaches a dispatcher.
    Comes(RequestId),
    /// A hand-off reaches a host.
    Asked(Ticket),
    Withdrawn(Ticket),
    Outcome(Ticket, Answer),
    Wake(usize, u32, TimerId),
    Told(usize, HostEntry),
    Purged(usize, Option<ObjectId>, GroupId, Timestamp),
    Final(RequestId, Final, Option<TimeSpan>, Option<Timestamp>),
    Overdue(RequestId),
    Retry(u64),
    Kill(Kill),
    Start(usize),
    Truth,
    Tick,
    /// Words about budgets reach a dispatcher, from another; each looks after its own.
    Word(usize, HolderId, BudgetMessage),
    Divide(usize, u32),
    /// Accounts are brought up to now, and links read.
    Pass,
    Read,
}

/// Budgets are looked after so often, and words are so long on their way.
const DIVIDE_EVERY: TimeSpan = TimeSpan::from_millis(100);
const WORD_TAKES: TimeSpan = TimeSpan::from_millis(1);

fn name(seat: usize) -> String {
    format!("n{seat}")
}

/// What a client wants, over all its tries.
struct Want {
    wish: Wish,
    due: Timestamp,
    until: Timestamp,
    tries: u32,
}

struct Open {
    want: u64,
    seat: usize,
    life: u32,
    wish: Wish,
    limit: Timestamp,
    tickets: Vec<Ticket>,
    last: Option<Ending>,
    closed: bool,
}

struct Out {
    access: RequestId,
    no: AttemptNo,
    seat: usize,
    life: u32,
    sent: Timestamp,
    pull: Pull,
    withdrawn: bool,
}

struct Seat {
    zone: ZoneId,
    life: u32,
    decider: Option<Box<dyn Decider>>,
    following: Option<BudgetFollower>,
}

struct World<'a> {
    scenario: &'a Scenario,
    policy: Policy,
    seed: u64,
    now: Timestamp,
    queue: BTreeMap<(Timestamp, u64), Ev>,
    filed: u64,
    fleet: Fleet,
    seats: Vec<Seat>,
    streams: Vec<Stream>,
    wants: BTreeMap<u64, Want>,
    open: BTreeMap<RequestId, Open>,
    out: BTreeMap<Ticket, Out>,
    next_id: u64,
    chance: StdRng,
    checker: Checker,
    tally: Tally,
    most_kept: usize,
    crossed: Crossed,
    purged: Vec<(Option<ObjectId>, GroupId, Timestamp)>,
}

/// Plays one day.
pub fn run(scenario: &Scenario, policy: Policy, seed: u64) -> Day {
    let mut world = World::new(scenario, policy, seed);
    world.begin();
    world.play();
    world.end()
}

impl<'a> World<'a> {
    fn new(scenario: &'a Scenario, policy: Policy, seed: u64) -> World<'a> {
        let zones = scenario.seats.iter().enumerate();
        let seats = zones.flat_map(|(zone, &n)| (0..n).map(move |_| ZoneId(zone as u16)));
        let seat = |zone| Seat {
            zone,
            life: 0,
            decider: None,
            following: None,
        };
        World {
            scenario,
            policy,
            seed,
            now: DAWN,
            queue: BTreeMap::new(),
            filed: 0,
            fleet: Fleet::new(scenario.shape.clone(), &scenario.script, mix(seed, 1)),
            seats: seats.map(seat).collect(),
            streams: (0..scenario.loads.len())
                .map(|nth| Stream::new(scenario, nth, mix(seed, 2)))
                .collect(),
            wants: BTreeMap::new(),
            open: BTreeMap::new(),
            out: BTreeMap::new(),
            next_id: 0,
            chance: StdRng::seed_from_u64(mix(seed, 3)),
            checker: Checker::new(scenario.rule_bounds()),
            tally: Tally::new(&scenario.importance, scenario.counted_from, scenario.length),
            most_kept: 0,
            crossed: Crossed::default(),
            purged: Vec::new(),
        }
    }

    fn file(&mut self, at: Timestamp, event: Ev) {
        self.filed += 1;
        self.queue.insert((at, self.filed), event);
    }

    fn begin(&mut self) {
        warm_up(self.scenario, &mut self.fleet, self.seed);
        for entry in self.fleet.list() {
            self.checker.listed(DAWN, entry);
        }
        for seat in 0..self.seats.len() {
            self.start(seat);
        }
        for nth in 0..self.streams.len() {
            self.next_wish(nth);
        }
        for &kill in &self.scenario.kills {
            self.file(kill.at, Ev::Kill(kill));
        }
        if self.policy == Policy::Oracle {
            self.file(DAWN, Ev::Truth);
        }
        self.file(DAWN + TimeSpan::from_secs(1), Ev::Tick);
        if self.scenario.zones.is_some() && self.policy == Policy::Design {
            self.file(DAWN + PASS, Ev::Pass);
            self.file(DAWN, Ev::Read);
        }
    }

    fn play(&mut self) {
        let end = DAWN + self.scenario.length + RUN_OUT;
        loop {
            let own = self.queue.first_key_value().map(|(&(at, _), _)| at);
            let fleet = self.fleet.next();
            let Some(at) = own.into_iter().chain(fleet).min().filter(|&at| at <= end) else {
                break;
            };
            // Ticks alone keep no day going.
            let idle = self.now > DAWN + self.scenario.length
                && self.open.is_empty()
                && self.wants.is_empty();
            if idle {
                break;
            }
            self.now = self.now.max(at);
            if fleet.is_some_and(|fleet| own.is_none_or(|own| fleet <= own)) {
                let said = self.fleet.advance(at);
                said.into_iter().for_each(|said| self.said(said));
            } else if let Some((_, event)) = self.queue.pop_first() {
                self.happen(event);
            }
        }
    }

    fn end(mut self) -> Day {
        self.sample();
        (0..self.seats.len()).for_each(|seat| self.close_account(seat));
        let zones = (0..self.scenario.shape.zones.len()).map(|zone| ZoneId(zone as u16));
        self.crossed.moved = zones
            .clone()
            .map(|zone| self.fleet.crossed_kb(zone))
            .collect();
        self.crossed.whole = zones
            .map(|zone| self.fleet.crossed_whole_kb(zone).to_vec())
            .collect();
        self.checker.finish();
        self.tally.settle_breakers();
        let first = self.scenario.script.iter().map(|cue| cue.at).min();
        let named = (
            self.scenario.name.as_str(),
            "model",
            self.policy.name(),
            self.seed,
        );
        let breaches = (self.checker.breaches(), self.checker.count());
        let summary = self
            .tally
            .summary(named, &self.scenario.track_names, breaches, first);
        Day {
            breaches: self.checker.breaches().to_vec(),
            left_over: self.open.len() + self.out.len() + self.fleet.under_way(),
            summary,
            most_kept: self.most_kept,
            crossed: self.crossed,
            tally: self.tally,
        }
    }
}
