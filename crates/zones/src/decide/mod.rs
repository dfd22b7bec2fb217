//! Traffic between zones: why an attempt crosses, what it is expected to transfer, and what it
//! transferred.

/// Account of the transfers.
pub mod account;
/// Budgets of crossing limits.
pub mod budget;
/// The operator's section.
pub mod config;
/// History of objects, hosts and purges.
pub mod history;
/// One account out of the reports of several dispatchers.
pub mod merge;
/// Detection of sudden rises.
pub mod rise;

use account::{Account, AccountKey, Cause, Transfer};
use budget::{Budget, BudgetPart, Limit, Priority, RateLearner};
use history::{CrossingCause, ObjectHistory};
use rise::{Alarm, CrossingSample, Rise, Watch};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use trailproxy::interface::*;
use trailproxy::units::*;

/// The operator's settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// The limits of traffic between zones.
    pub limits: Vec<Limit>,
    /// Classes that have priority beside writes, keyed and non-idempotent ones.
    pub priority_classes: Vec<ClassId>,
    /// How sensitive the detection of rises is; `None`: no alarms.
    pub alarm: Option<Alarm>,
    /// Interval between reports.
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

/// Weight of the newest outcome in the share of requests that crossed.
const CROSSED_GAIN: f64 = 0.03;
/// Time that an answer takes beside its transfer, where only its duration tells a hit from a fill.
const ANSWER_OVERHEAD: TimeSpan = TimeSpan::from_millis(40);
/// Limit of routes that are watched for rises; transfers are accounted for all routes.
const MAX_WATCHED_ROUTES: usize = 64;
/// Limit of alerts kept until they are taken.
const MAX_PENDING_ALERTS: usize = 64;

/// One attempt that may cross and has not ended.
#[derive(Debug)]
struct InFlightCrossing {
    crossing: Crossing,
    reason: CrossingCause,
    expected: f64,
    charged: Vec<(usize, budget::BucketKind)>,
    sent_at: Timestamp,
    joined: bool,
    client_gone: bool,
}

/// Settings of one class.
struct ClassInfo {
    priority: Priority,
    is_write: bool,
    fresh_for: Option<TimeSpan>,
}

/// Account, budgets and rise detection of one dispatcher.
pub struct Zones {
    zone: ZoneId,
    dispatchers_by_zone: Vec<u32>,
    dispatchers: u32,
    note_level: NoteLevel,
    stream_kb_per_s: f64,
    classes: Vec<ClassInfo>,
    rules: Rules,
    rng: fastrand::Rng,
    budgets: Vec<Budget>,
    learners: Vec<RateLearner>,
    account: Account,
    history: ObjectHistory,
    in_flight: BTreeMap<(RequestId, AttemptNo), InFlightCrossing>,
    /// The share of requests that crossed, by class and cause.
    crossed: Vec<[f64; Cause::ALL.len()]>,
    watches: BTreeMap<(ZoneId, ZoneId), Watch>,
    pending_alerts: Vec<Rise>,
    /// Refused requests since the last `advance`, each once.
    pending_refusals: RefCell<Vec<(Crossing, f64, CrossingCause)>>,
    last_refused: Cell<Option<RequestId>>,
    refused_totals: RefCell<Vec<(u64, f64)>>,
}

/// Probability that an attempt crosses, before any outcome is known.
fn initial_crossing_probability(cause: Cause) -> f64 {
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
    /// `settings` are those of the dispatcher; the seed draws its random values in the budgets.
    pub fn new(settings: &DispatcherSettings, rules: Rules, seed: u64) -> Zones {
        let class_info = |class: &ClassSettings| ClassInfo {
            priority: priority_of(class),
            is_write: class.is_write,
            fresh_for: class.fresh_for,
        };
        let mut zones = Zones {
            zone: settings.zone,
            dispatchers_by_zone: settings.dispatchers_by_zone.clone(),
            dispatchers: settings.dispatchers,
            note_level: settings.note_level,
            stream_kb_per_s: settings.stream_kb_per_s,
            classes: settings.classes.iter().map(class_info).collect(),
            rng: fastrand::Rng::with_seed(seed),
            budgets: Vec::new(),
            learners: Vec::new(),
            account: Account::default(),
            history: ObjectHistory::new(settings.parent_kind, settings.origin_kind),
            in_flight: BTreeMap::new(),
            crossed: vec![Cause::ALL.map(initial_crossing_probability); settings.classes.len()],
            watches: BTreeMap::new(),
            pending_alerts: Vec::new(),
            pending_refusals: RefCell::default(),
            last_refused: Cell::new(None),
            refused_totals: RefCell::new(vec![(0, 0.0); settings.classes.len()]),
            rules: Rules {
                limits: Vec::new(),
                ..rules.clone()
            },
        };
        zones.apply_rules(Timestamp(0), rules);
        zones
    }

    /// Replaces the settings. Counts, debts and crossings in flight are kept; a limit is the same
    /// if its name is.
    pub fn apply_rules(&mut self, now: Timestamp, rules: Rules) {
        for (nth, class) in (0..).zip(&mut self.classes) {
            if rules.priority_classes.contains(&ClassId(nth)) {
                class.priority = Priority::First;
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
            let in_zone = self
                .dispatchers_by_zone
                .get(usize::from(limit.to.0))
                .copied();
            let dispatchers = f64::from(in_zone.unwrap_or(self.dispatchers).max(1));
            let same = before
                .iter()
                .position(|name| name.as_ref() == Some(&limit.name));
            let kept = same.and_then(|nth| old[nth].take());
            let is_same_route =
                |budget: &Budget| (budget.limit.from, budget.limit.to) == (limit.from, limit.to);
            self.budgets.push(match kept.filter(is_same_route) {
                Some(mut budget) => {
                    budget.advance(now);
                    budget.apply_limit(limit.clone(), dispatchers);
                    if limit.learned.is_some() {
                        // The total of a learned limit differs between dispatchers, so the limit is
                        // no longer divided.
                        budget.set_part(now, None);
                    }
                    budget
                }
                None => Budget::new(limit.clone(), dispatchers, now, &mut self.rng),
            });
        }
        // A charge for a crossing in flight follows its limit, or is dropped with it.
        let new_index = |nth: usize| {
            let name = before.get(nth)?.as_deref()?;
            rules.limits.iter().position(|limit| limit.name == name)
        };
        for in_flight in self.in_flight.values_mut() {
            let moved = in_flight
                .charged
                .iter()
                .filter_map(|&(nth, from)| Some((new_index(nth)?, from)));
            in_flight.charged = moved.collect();
        }
        self.learners = rules
            .limits
            .iter()
            .map(|_| RateLearner::default())
            .collect();
        self.rules = rules;
    }

    /// The settings.
    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    /// The account of transfers.
    pub fn account(&self) -> &Account {
        &self.account
    }

    /// The budgets of all limits.
    pub fn budgets(&self) -> &[Budget] {
        &self.budgets
    }

    /// The limits into the own zone with a rate that the operator set: the same in all dispatchers
    /// of the zone.
    pub fn divisible_limits(&self) -> impl Iterator<Item = &Limit> {
        let limits = self.budgets.iter().map(|budget| &budget.limit);
        limits.filter(|limit| limit.to == self.zone && limit.learned.is_none())
    }

    /// Sets the part of a limit; `None`: an equal share.
    pub fn set_part(&mut self, now: Timestamp, name: &str, part: Option<BudgetPart>) {
        for budget in self
            .budgets
            .iter_mut()
            .filter(|budget| budget.limit.name == name)
        {
            budget.set_part(now, part);
        }
    }

    /// The fraction of a limit that was recently wanted, and how much of that has priority.
    pub fn need(&self, now: Timestamp, name: &str) -> (f64, f64) {
        let budget = self.budgets.iter().find(|budget| budget.limit.name == name);
        budget.map_or((0.0, 0.0), |budget| budget.need(now))
    }

    /// Number of refused requests by class, and the KB that they were expected to transfer.
    pub fn refused(&self) -> Vec<(u64, f64)> {
        self.refused_totals.borrow().clone()
    }

    /// KB that the crossings in flight are expected to transfer.
    pub fn in_flight_kb(&self) -> f64 {
        self.in_flight
            .values()
            .map(|in_flight| in_flight.expected)
            .sum()
    }

    /// Numbers of remembered attempts and of objects, purges and hosts, for checks that they stay
    /// bounded.
    pub fn tracked_counts(&self) -> (usize, usize) {
        (self.in_flight.len(), self.history.tracked_count())
    }

    /// Lets time pass, and takes the pending alerts.
    pub fn advance(&mut self, now: Timestamp) -> Vec<Rise> {
        self.account.advance(now);
        self.budgets
            .iter_mut()
            .for_each(|budget| budget.advance(now));
        for (crossing, kb, reason) in self.pending_refusals.take() {
            self.watch(&crossing, kb, reason);
            for (learner, budget) in self.learners.iter_mut().zip(&self.budgets) {
                if Zones::applies_to(&budget.limit, &crossing) {
                    learner.on_refused();
                }
            }
            let priority = self.priority(crossing.arrival.class);
            for budget in &mut self.budgets {
                if Zones::applies_to(&budget.limit, &crossing) {
                    budget.on_demand(now, priority, kb);
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
                let change = watch.advance(now, alarm);
                let alert = change.map(|(begins, kb, usual, reason, share)| Rise {
                    from: from.0,
                    to: to.0,
                    begins,
                    kb_per_s: kb,
                    usual_kb_per_s: usual,
                    reason,
                    share,
                });
                self.pending_alerts
                    .extend(alert.filter(|_| self.pending_alerts.len() < MAX_PENDING_ALERTS));
            }
        }
        std::mem::take(&mut self.pending_alerts)
    }

    /// Adds expected or corrected KB to the watch of the route.
    fn watch(&mut self, crossing: &Crossing, kb: f64, reason: CrossingCause) {
        let route = (crossing.from, crossing.to);
        if self.watches.contains_key(&route) || self.watches.len() < MAX_WATCHED_ROUTES {
            self.watches.entry(route).or_default().add(CrossingSample {
                kb,
                cause: reason.cause,
                object: crossing.arrival.object,
                lost_host: reason.lost_host,
                purge: reason.purge,
            });
        }
    }

    /// Why an attempt crosses.
    fn reason(&self, now: Timestamp, crossing: &Crossing) -> CrossingCause {
        let class = &self.classes[usize::from(crossing.arrival.class.0)];
        if class.is_write {
            return CrossingCause::of(Cause::Written);
        }
        if crossing.host == crossing.source {
            return CrossingCause::of(Cause::Straight);
        }
        self.history.explain(now, crossing, class.fresh_for)
    }

    /// KB that an attempt is expected to transfer: its size, times the share of similar attempts
    /// that crossed.
    fn expected(&self, crossing: &Crossing, reason: CrossingCause) -> f64 {
        let joined = self.joins_fill(crossing);
        let likely = self.crossed[usize::from(crossing.arrival.class.0)][reason.cause as usize];
        // A size that was stated too small is corrected when the answer has come; no attempt is
        // free.
        let kb = if crossing.kb.is_finite() {
            crossing.kb.max(0.0)
        } else {
            0.0
        };
        if joined { 0.0 } else { kb * likely }
    }

    /// Whether this dispatcher is already filling the same part at the same cache, so that this
    /// attempt joins that fill.
    fn joins_fill(&self, crossing: &Crossing) -> bool {
        let cached_part = (
            crossing.host,
            crossing.arrival.object,
            crossing.arrival.part,
        );
        crossing.join && self.history.is_filling(cached_part)
    }

    /// Whether a limit applies to a crossing.
    fn applies_to(limit: &Limit, crossing: &Crossing) -> bool {
        limit.to == crossing.to && limit.from.is_none_or(|from| from == crossing.from)
    }

    fn priority(&self, class: ClassId) -> Priority {
        self.classes
            .get(usize::from(class.0))
            .map_or(Priority::Plain, |class| class.priority)
    }

    /// KB that crossed with an attempt, as far as they are reported or can be inferred, and whether
    /// that is certain.
    fn transferred(&self, outcome: &Outcome, in_flight: &InFlightCrossing) -> (f64, bool) {
        let stated_kb = in_flight.crossing.kb.max(0.0);
        let kb = outcome.received_kb.unwrap_or(stated_kb);
        let is_straight = in_flight.reason.cause == Cause::Straight;
        let hit_time =
            TimeSpan::from_secs_f64(stated_kb / self.stream_kb_per_s.max(1e-9)) + ANSWER_OVERHEAD;
        match (outcome.ending, outcome.note) {
            // Of a write the request crosses, not its answer.
            (Ending::Done, _) if in_flight.reason.cause == Cause::Written => (stated_kb, true),
            (Ending::Done, _) if is_straight => (kb, true),
            (Ending::Done, Note::Hit | Note::Stale | Note::Joined) => (0.0, true),
            (Ending::Done, Note::Filled | Note::FilledByOrigin) => (kb, true),
            (Ending::Done, _) if in_flight.joined => (0.0, false),
            // Where hits are reported, anything else was filled.
            (Ending::Done, _) if self.note_level != NoteLevel::None => (kb, true),
            (Ending::Done, _) => (if outcome.elapsed > hit_time { kb } else { 0.0 }, false),
            // The transfer may continue; the expected amount stays accounted.
            (Ending::ConnectionLost | Ending::TimedOut | Ending::Cancelled, _) => {
                (in_flight.expected, false)
            }
            _ => (0.0, false),
        }
    }

    fn on_outcome(&mut self, now: Timestamp, outcome: &Outcome) {
        let Some(in_flight) = self.in_flight.remove(&(outcome.id, outcome.attempt)) else {
            return;
        };
        let crossing = in_flight.crossing;
        let (kb, certain) = self.transferred(outcome, &in_flight);
        let done = outcome.ending == Ending::Done;
        for &(nth, from) in &in_flight.charged {
            self.budgets[nth].correct(from, kb - in_flight.expected);
        }
        let (class, cause) = (
            usize::from(crossing.arrival.class.0),
            in_flight.reason.cause,
        );
        if certain && done && !in_flight.joined {
            let share = &mut self.crossed[class][cause as usize];
            let crossed = if kb > 0.0 { 1.0 } else { 0.0 };
            *share += (crossed - *share) * CROSSED_GAIN;
        }
        let filled = done && kb > 0.0;
        // The watch counted the expected amount when the attempt was sent.
        self.watch(&crossing, kb - in_flight.expected, in_flight.reason);
        let cached_part = (
            crossing.host,
            crossing.arrival.object,
            crossing.arrival.part,
        );
        // A hit where a refill was expected means that another dispatcher filled the part first.
        let is_refill = filled || matches!(cause, Cause::Purge | Cause::HostLost);
        self.history.on_attempt_ended(
            now,
            cached_part,
            outcome.ending,
            is_refill,
            !in_flight.joined,
        );
        if kb <= 0.0 {
            return;
        }
        let wasted = !done || in_flight.client_gone;
        let began_at = outcome
            .first_byte_latency
            .map_or(in_flight.sent_at, |waited| in_flight.sent_at + waited);
        let key = AccountKey {
            from: crossing.from,
            to: crossing.to,
            tier: self.history.tier(crossing.source),
            class: crossing.arrival.class,
            cause: if wasted { Cause::Waste } else { cause },
        };
        let moved = Transfer {
            key,
            kb,
            from: began_at,
            until: now,
        };
        self.account.record(now, moved);
        if filled {
            let took = now.since(began_at);
            for (learner, budget) in self.learners.iter_mut().zip(&self.budgets) {
                if Zones::applies_to(&budget.limit, &crossing) {
                    learner.on_fill(kb, took);
                }
            }
        }
    }
}

/// Writes and everything that may not simply be repeated have priority.
pub fn priority_of(class: &ClassSettings) -> Priority {
    match class.is_write || class.effect != Effect::Idempotent {
        true => Priority::First,
        false => Priority::Plain,
    }
}

/// Requests of other dispatchers are not handled here.
impl PeerKnowledge for Zones {}

impl CrossingLimits for Zones {
    fn on_event(&mut self, now: Timestamp, event: &Event) {
        self.budgets
            .iter_mut()
            .for_each(|budget| budget.advance(now));
        match event {
            Event::HostList { kind, entries } => self.history.on_host_list(now, *kind, entries),
            Event::Purged {
                object, group, age, ..
            } => self.history.on_purge(now - *age, *object, *group),
            Event::Outcome(outcome) => self.on_outcome(now, outcome),
            Event::ClientGone { id } => {
                let all = (*id, AttemptNo(0))..=(*id, AttemptNo(u8::MAX));
                self.in_flight
                    .range_mut(all)
                    .for_each(|(_, in_flight)| in_flight.client_gone = true);
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
        let reason = self.reason(now, crossing);
        let kb = self.expected(crossing, reason);
        let priority = self.priority(crossing.arrival.class);
        let concerned = self
            .budgets
            .iter()
            .filter(|budget| Zones::applies_to(&budget.limit, crossing));
        let mut fits = true;
        for budget in concerned {
            if budget.bucket_with_room(now, priority, kb).is_none() {
                budget.on_refused(now, kb);
                fits = false;
            }
        }
        if !fits
            && self.last_refused.replace(Some(crossing.arrival.id)) != Some(crossing.arrival.id)
        {
            if let Some(sum) = self
                .refused_totals
                .borrow_mut()
                .get_mut(usize::from(crossing.arrival.class.0))
            {
                *sum = (sum.0 + 1, sum.1 + kb);
            }
            let mut pending_refusals = self.pending_refusals.borrow_mut();
            if pending_refusals.len() < 10_000 {
                pending_refusals.push((*crossing, kb, reason));
            }
        }
        fits
    }

    fn on_sent(&mut self, now: Timestamp, crossing: &Crossing) {
        let reason = self.reason(now, crossing);
        let joined = self.joins_fill(crossing);
        let expected = self.expected(crossing, reason);
        let priority = self.priority(crossing.arrival.class);
        let mut charged = Vec::new();
        for nth in 0..self.budgets.len() {
            let budget = &mut self.budgets[nth];
            if Zones::applies_to(&budget.limit, crossing) {
                let from = budget
                    .bucket_with_room(now, priority, expected)
                    .unwrap_or(budget::BucketKind::Common);
                budget.charge(now, from, expected);
                budget.on_demand(now, priority, expected);
                charged.push((nth, from));
            }
        }
        if reason.cause != Cause::Written && reason.cause != Cause::Straight {
            let cached_part = (
                crossing.host,
                crossing.arrival.object,
                crossing.arrival.part,
            );
            self.history.on_sent(now, cached_part, !joined);
        }
        let in_flight = InFlightCrossing {
            crossing: *crossing,
            reason,
            expected,
            charged,
            sent_at: now,
            joined,
            client_gone: false,
        };
        self.watch(crossing, expected, reason);
        self.in_flight
            .insert((crossing.arrival.id, crossing.attempt), in_flight);
    }

    fn retry_after(&self, now: Timestamp, class: ClassId) -> Option<TimeSpan> {
        let own = |budget: &&Budget| budget.limit.to == self.zone;
        let plain = self.priority(class) == Priority::Plain;
        let full = self.budgets.iter().filter(own).filter(|_| plain);
        full.filter_map(|budget| budget.time_until_room(now)).max()
    }
}
