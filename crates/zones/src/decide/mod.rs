//! Why something crosses, what it is expected to cost, and what it turns out to have cost.

pub mod account;
pub mod budget;
pub mod config;
pub mod history;
pub mod merge;
pub mod rise;

use account::{Account, AccountKey, Cause, Transfer};
use budget::{Budget, BudgetPart, Limit, Priority, RateLearner};
use history::{CrossingCause, ObjectHistory};
use rise::{Alarm, CrossingSample, Rise, Watch};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use trailproxy::interface::*;
use trailproxy::units::*;

/// What the operator sets.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    pub limits: Vec<Limit>,
    /// Tracks that go first beside the written, fingerprinted and binding ones.
    pub priority_classes: Vec<ClassId>,
    pub alarm: Option<Alarm>,
    pub report_every: TimeSpan,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            limits: Vec::new(),
            priority_classes: Vec::new(),
            alarm: Some(Alarm::default()),
            report_every: TimeSpan::from_secs(10),
        }
    }
}

/// How much the newest outcome counts in the share of accesses that crossed.
const GAIN: f64 = 0.03;
/// What one answer takes beside its sending, where only its time tells a hit from a fill.
const HOP: TimeSpan = TimeSpan::from_millis(40);
/// Ways that are watched; traffic is booked for all.
const MOST_WATCHED: usize = 64;
/// Rises kept until they are taken.
const MOST_TOLD: usize = 64;

/// One hand-off that may cross and is not over.
#[derive(Debug)]
struct InFlightCrossing {
    crossing: Crossing,
    why: CrossingCause,
    expected: f64,
    charged: Vec<(usize, budget::BucketKind)>,
    sent: Timestamp,
    joined: bool,
    left: bool,
}

struct ClassInfo {
    class: Priority,
    written: bool,
    fresh: Option<TimeSpan>,
}

/// Account, budgets and watches of one dispatcher.
pub struct Zones {
    zone: ZoneId,
    seats: Vec<u32>,
    dispatchers: u32,
    notes: NoteLevel,
    flow_kb_per_s: f64,
    tracks: Vec<ClassInfo>,
    rules: Rules,
    chance: fastrand::Rng,
    budgets: Vec<Budget>,
    learners: Vec<RateLearner>,
    account: Account,
    memory: ObjectHistory,
    in_flight: BTreeMap<(RequestId, AttemptNo), InFlightCrossing>,
    /// The share of accesses that crossed, by track and cause.
    crossed: Vec<[f64; Cause::ALL.len()]>,
    watches: BTreeMap<(ZoneId, ZoneId), Watch>,
    told: Vec<Rise>,
    /// What was turned away since time last passed, each access once.
    refused: RefCell<Vec<(Crossing, f64, CrossingCause)>>,
    last_refused: Cell<Option<RequestId>>,
    turned_away: RefCell<Vec<(u64, f64)>>,
}

/// How likely something crosses before any was seen.
fn first_guess(cause: Cause) -> f64 {
    match cause {
        Cause::Written | Cause::Straight => 1.0,
        Cause::First => 0.7,
        Cause::Purge | Cause::HostLost => 0.9,
        Cause::Renewal => 0.8,
        Cause::Retry | Cause::Waste => 0.5,
        Cause::Unknown => 0.2,
    }
}

impl Zones {
    /// `terms` as the decisions have them; the seed draws this dispatcher's points in its budgets.
    pub fn new(terms: &DispatcherSettings, rules: Rules, seed: u64) -> Zones {
        let class_info = |track: &ClassSettings| ClassInfo {
            class: priority_of(track),
            written: track.is_write,
            fresh: track.fresh_for,
        };
        let mut zones = Zones {
            zone: terms.zone,
            seats: terms.dispatchers_by_zone.clone(),
            dispatchers: terms.dispatchers,
            notes: terms.note_level,
            flow_kb_per_s: terms.stream_kb_per_s,
            tracks: terms.classes.iter().map(class_info).collect(),
            chance: fastrand::Rng::with_seed(seed),
            budgets: Vec::new(),
            learners: Vec::new(),
            account: Account::default(),
            memory: ObjectHistory::new(terms.parent_kind, terms.origin_kind),
            in_flight: BTreeMap::new(),
            crossed: vec![Cause::ALL.map(first_guess); terms.classes.len()],
            watches: BTreeMap::new(),
            told: Vec::new(),
            refused: RefCell::default(),
            last_refused: Cell::new(None),
            turned_away: RefCell::new(vec![(0, 0.0); terms.classes.len()]),
            rules: Rules {
                limits: Vec::new(),
                ..rules.clone()
            },
        };
        zones.apply_rules(Timestamp(0), rules);
        zones
    }

    /// Other rules in place of these. Counts, debts and what is under way stay; a limit is the same by its name.
    pub fn apply_rules(&mut self, now: Timestamp, rules: Rules) {
        for (nth, track) in (0..).zip(&mut self.tracks) {
            if rules.priority_classes.contains(&ClassId(nth)) {
                track.class = Priority::First;
            }
        }
        let mut old: Vec<Option<Budget>> = std::mem::take(&mut self.budgets)
            .into_iter()
            .map(Some)
            .collect();
        let before: Vec<Option<String>> = old
            .iter()
            .map(|budget| budget.as_ref().map(|budget| budget.limit.name.clone()))
            .collect();
        for limit in &rules.limits {
            let seats = self.seats.get(usize::from(limit.to.0)).copied();
            let dispatchers = f64::from(seats.unwrap_or(self.dispatchers).max(1));
            let same = before
                .iter()
                .position(|name| name.as_ref() == Some(&limit.name));
            let kept = same.and_then(|nth| old[nth].take());
            let ways =
                |budget: &Budget| (budget.limit.from, budget.limit.to) == (limit.from, limit.to);
            self.budgets.push(match kept.filter(ways) {
                Some(mut budget) => {
                    budget.advance(now);
                    budget.apply_limit(limit.clone(), dispatchers);
                    if limit.learned.is_some() {
                        // Its whole is not the same with all: it is not divided any more.
                        budget.set_part(now, None);
                    }
                    budget
                }
                None => Budget::new(limit.clone(), dispatchers, now, &mut self.chance),
            });
        }
        // A charge that is under way goes on with its limit, or is free of it.
        let place = |nth: usize| {
            let name = before.get(nth)?.as_deref()?;
            rules.limits.iter().position(|limit| limit.name == name)
        };
        for in_flight in self.in_flight.values_mut() {
            let moved = in_flight
                .charged
                .iter()
                .filter_map(|&(nth, from)| Some((place(nth)?, from)));
            in_flight.charged = moved.collect();
        }
        self.learners = rules
            .limits
            .iter()
            .map(|_| RateLearner::default())
            .collect();
        self.rules = rules;
    }

    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    pub fn account(&self) -> &Account {
        &self.account
    }

    pub fn budgets(&self) -> &[Budget] {
        &self.budgets
    }

    /// The limits into the own zone whose rate is the operator's: the same with all dispatchers of the zone.
    pub fn divisible_limits(&self) -> impl Iterator<Item = &Limit> {
        let limits = self.budgets.iter().map(|budget| &budget.limit);
        limits.filter(|limit| limit.to == self.zone && limit.learned.is_none())
    }

    /// A limit's part is this from now on; `None`: an equal share.
    pub fn set_part(&mut self, now: Timestamp, name: &str, part: Option<BudgetPart>) {
        for budget in self.budgets.iter_mut().filter(|of| of.limit.name == name) {
            budget.set_part(now, part);
        }
    }

    /// The part of a limit that was wanted lately, and of that what goes first.
    pub fn need(&self, now: Timestamp, name: &str) -> (f64, f64) {
        let of = self.budgets.iter().find(|of| of.limit.name == name);
        of.map_or((0.0, 0.0), |budget| budget.need(now))
    }

    /// Accesses that found no room, by track, and the KB they were expected to move.
    pub fn refused(&self) -> Vec<(u64, f64)> {
        self.turned_away.borrow().clone()
    }

    /// KB expected of what is under way.
    pub fn in_flight_kb(&self) -> f64 {
        self.in_flight
            .values()
            .map(|in_flight| in_flight.expected)
            .sum()
    }

    /// What it keeps, for a check that nothing grows: hand-offs, objects, purges and hosts.
    pub fn tracked_counts(&self) -> (usize, usize) {
        (self.in_flight.len(), self.memory.tracked_count())
    }

    /// Lets time pass, and takes what is to be told.
    pub fn advance(&mut self, now: Timestamp) -> Vec<Rise> {
        self.account.advance(now);
        self.budgets
            .iter_mut()
            .for_each(|budget| budget.advance(now));
        for (crossing, kb, why) in self.refused.take() {
            self.watch(&crossing, kb, why);
            for (learner, budget) in self.learners.iter_mut().zip(&self.budgets) {
                if Zones::concerns(&budget.limit, &crossing) {
                    learner.on_refused();
                }
            }
            let class = self.class(crossing.arrival.class);
            for budget in &mut self.budgets {
                if Zones::concerns(&budget.limit, &crossing) {
                    budget.on_demand(now, class, kb);
                }
            }
        }
        for nth in 0..self.budgets.len() {
            let budget = &mut self.budgets[nth];
            let Some(between) = budget.limit.learned else {
                continue;
            };
            if let Some(rate) = self.learners[nth].step(now, budget.limit.kb_per_s, between) {
                let share = budget.dispatchers();
                let limit = Limit {
                    kb_per_s: rate,
                    ..budget.limit.clone()
                };
                budget.apply_limit(limit, share);
            }
        }
        if let Some(alarm) = self.rules.alarm {
            for (&(from, to), watch) in &mut self.watches {
                let turn = watch.advance(now, alarm);
                let told = turn.map(|(begins, kb, usual, reason, share)| Rise {
                    from: from.0,
                    to: to.0,
                    begins,
                    kb_per_s: kb,
                    usual_kb_per_s: usual,
                    reason,
                    share,
                });
                self.told
                    .extend(told.filter(|_| self.told.len() < MOST_TOLD));
            }
        }
        std::mem::take(&mut self.told)
    }

    fn watch(&mut self, crossing: &Crossing, kb: f64, why: CrossingCause) {
        let way = (crossing.from, crossing.to);
        if self.watches.contains_key(&way) || self.watches.len() < MOST_WATCHED {
            self.watches.entry(way).or_default().add(CrossingSample {
                kb,
                cause: why.cause,
                object: crossing.arrival.object,
                lost: why.lost,
                purge: why.purge,
            });
        }
    }

    fn why(&self, now: Timestamp, crossing: &Crossing) -> CrossingCause {
        let track = &self.tracks[usize::from(crossing.arrival.class.0)];
        if track.written {
            return CrossingCause::of(Cause::Written);
        }
        if crossing.host == crossing.source {
            return CrossingCause::of(Cause::Straight);
        }
        self.memory.explain(now, crossing, track.fresh)
    }

    /// KB that this is expected to move: what it may, by how often its like did.
    fn expected(&self, crossing: &Crossing, why: CrossingCause) -> f64 {
        let joined = self.joins(crossing);
        let likely = self.crossed[usize::from(crossing.arrival.class.0)][why.cause as usize];
        // What was told falsely small is corrected when it has come; nothing is free.
        let kb = if crossing.kb.is_finite() {
            crossing.kb.max(0.0)
        } else {
            0.0
        };
        if joined { 0.0 } else { kb * likely }
    }

    /// Whether an own fill of the same part at the same cache is under way, which this one then joins.
    fn joins(&self, crossing: &Crossing) -> bool {
        let way = (
            crossing.host,
            crossing.arrival.object,
            crossing.arrival.part,
        );
        crossing.join && self.memory.is_filling(way)
    }

    fn concerns(limit: &Limit, crossing: &Crossing) -> bool {
        limit.to == crossing.to && limit.from.is_none_or(|from| from == crossing.from)
    }

    fn class(&self, track: ClassId) -> Priority {
        self.tracks
            .get(usize::from(track.0))
            .map_or(Priority::Plain, |track| track.class)
    }

    /// What came of a hand-off that might cross: KB that crossed, as far as it is told or can be inferred.
    fn came(&self, outcome: &Outcome, in_flight: &InFlightCrossing) -> (f64, bool) {
        let told = in_flight.crossing.kb.max(0.0);
        let kb = outcome.received_kb.unwrap_or(told);
        let sure = in_flight.why.cause == Cause::Straight;
        let alone = TimeSpan::from_secs_f64(told / self.flow_kb_per_s.max(1e-9)) + HOP;
        match (outcome.ending, outcome.note) {
            // Of what is written, the request crosses and not its answer.
            (Ending::Done, _) if in_flight.why.cause == Cause::Written => (told, true),
            (Ending::Done, _) if sure => (kb, true),
            (Ending::Done, Note::Hit | Note::Stale | Note::Joined) => (0.0, true),
            (Ending::Done, Note::Filled | Note::FilledByOrigin) => (kb, true),
            (Ending::Done, _) if in_flight.joined => (0.0, false),
            // Where hits are told, what is not one was filled.
            (Ending::Done, _) if self.notes != NoteLevel::None => (kb, true),
            (Ending::Done, _) => (if outcome.elapsed > alone { kb } else { 0.0 }, false),
            // It may go on behind: what was expected of it stays booked.
            (Ending::ConnectionLost | Ending::TimedOut | Ending::Cancelled, _) => {
                (in_flight.expected, false)
            }
            _ => (0.0, false),
        }
    }

    fn outcome(&mut self, now: Timestamp, outcome: &Outcome) {
        let Some(in_flight) = self.in_flight.remove(&(outcome.id, outcome.attempt)) else {
            return;
        };
        let crossing = in_flight.crossing;
        let (kb, certain) = self.came(outcome, &in_flight);
        let done = outcome.ending == Ending::Done;
        for &(nth, from) in &in_flight.charged {
            self.budgets[nth].correct(from, kb - in_flight.expected);
        }
        let (track, cause) = (usize::from(crossing.arrival.class.0), in_flight.why.cause);
        if certain && done && !in_flight.joined {
            let share = &mut self.crossed[track][cause as usize];
            let now = if kb > 0.0 { 1.0 } else { 0.0 };
            *share += (now - *share) * GAIN;
        }
        let filled = done && kb > 0.0;
        // The watch saw what was expected when it went out.
        self.watch(&crossing, kb - in_flight.expected, in_flight.why);
        let way = (
            crossing.host,
            crossing.arrival.object,
            crossing.arrival.part,
        );
        // A hit where a refill was expected says that another dispatcher's came first.
        let anew = filled || matches!(cause, Cause::Purge | Cause::HostLost);
        self.memory
            .on_attempt_ended(now, way, outcome.ending, anew, !in_flight.joined);
        if kb <= 0.0 {
            return;
        }
        let wasted = !done || in_flight.left;
        let begun = outcome
            .first_byte_latency
            .map_or(in_flight.sent, |waited| in_flight.sent + waited);
        let key = AccountKey {
            from: crossing.from,
            to: crossing.to,
            tier: self.memory.tier(crossing.source),
            class: crossing.arrival.class,
            cause: if wasted { Cause::Waste } else { cause },
        };
        let moved = Transfer {
            key,
            kb,
            from: begun,
            until: now,
        };
        self.account.record(now, moved);
        if filled {
            let took = now.since(begun);
            for (learner, budget) in self.learners.iter_mut().zip(&self.budgets) {
                if Zones::concerns(&budget.limit, &crossing) {
                    learner.on_fill(kb, took);
                }
            }
        }
    }
}

/// Orders and all that may not simply run again go first.
pub fn priority_of(track: &ClassSettings) -> Priority {
    match track.is_write || track.effect != Effect::Idempotent {
        true => Priority::First,
        false => Priority::Plain,
    }
}

/// What is known of other dispatchers' accesses is not its matter.
impl PeerKnowledge for Zones {}

impl CrossingLimits for Zones {
    fn on_event(&mut self, now: Timestamp, event: &Event) {
        self.budgets
            .iter_mut()
            .for_each(|budget| budget.advance(now));
        match event {
            Event::HostList { kind, entries } => self.memory.on_host_list(now, *kind, entries),
            Event::Purged {
                object, group, age, ..
            } => self.memory.on_purge(now - *age, *object, *group),
            Event::Outcome(outcome) => self.outcome(now, outcome),
            Event::ClientGone { id } => {
                let all = (*id, AttemptNo(0))..=(*id, AttemptNo(u8::MAX));
                self.in_flight
                    .range_mut(all)
                    .for_each(|(_, in_flight)| in_flight.left = true);
            }
            Event::Arrived(_)
            | Event::ResponseStarted { .. }
            | Event::Probed { .. }
            | Event::PeerBreakerOpened { .. }
            | Event::TimerFired { .. } => {}
        }
    }

    fn has_room(&self, now: Timestamp, crossing: &Crossing) -> bool {
        if self.budgets.is_empty() {
            return true;
        }
        let why = self.why(now, crossing);
        let kb = self.expected(crossing, why);
        let class = self.class(crossing.arrival.class);
        let concerned = self
            .budgets
            .iter()
            .filter(|budget| Zones::concerns(&budget.limit, crossing));
        let mut fits = true;
        for budget in concerned {
            if budget.bucket_with_room(now, class, kb).is_none() {
                budget.on_refused(now, kb);
                fits = false;
            }
        }
        if !fits
            && self.last_refused.replace(Some(crossing.arrival.id)) != Some(crossing.arrival.id)
        {
            if let Some(sum) = self
                .turned_away
                .borrow_mut()
                .get_mut(usize::from(crossing.arrival.class.0))
            {
                *sum = (sum.0 + 1, sum.1 + kb);
            }
            let mut refused = self.refused.borrow_mut();
            if refused.len() < 10_000 {
                refused.push((*crossing, kb, why));
            }
        }
        fits
    }

    fn on_sent(&mut self, now: Timestamp, crossing: &Crossing) {
        let why = self.why(now, crossing);
        let joined = self.joins(crossing);
        let expected = self.expected(crossing, why);
        let class = self.class(crossing.arrival.class);
        let mut charged = Vec::new();
        for nth in 0..self.budgets.len() {
            let budget = &mut self.budgets[nth];
            if Zones::concerns(&budget.limit, crossing) {
                let from = budget
                    .bucket_with_room(now, class, expected)
                    .unwrap_or(budget::BucketKind::Common);
                budget.charge(now, from, expected);
                budget.on_demand(now, class, expected);
                charged.push((nth, from));
            }
        }
        if why.cause != Cause::Written && why.cause != Cause::Straight {
            let way = (
                crossing.host,
                crossing.arrival.object,
                crossing.arrival.part,
            );
            self.memory.on_sent(now, way, !joined);
        }
        let in_flight = InFlightCrossing {
            crossing: *crossing,
            why,
            expected,
            charged,
            sent: now,
            joined,
            left: false,
        };
        self.watch(crossing, expected, why);
        self.in_flight
            .insert((crossing.arrival.id, crossing.attempt), in_flight);
    }

    fn retry_after(&self, now: Timestamp, track: ClassId) -> Option<TimeSpan> {
        let own = |budget: &&Budget| budget.limit.to == self.zone;
        let plain = self.class(track) == Priority::Plain;
        let full = self.budgets.iter().filter(own).filter(|_| plain);
        full.filter_map(|budget| budget.time_until_room(now)).max()
    }
}
