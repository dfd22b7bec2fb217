//! Every decision of a dispatcher, with its tables and tuned values.
//!
//! Call [`Dispatcher::new`] once, [`Dispatcher::take`] for each event of a batch, then
//! [`Dispatcher::settle`] once: it answers with the actions that lead from what is out, held and timed
//! to what should be. Events, actions and start settings are in [`crate::interface`].
//!
//! The design: a breaker per host over a sliding window, hash order over caches and parents, stale or
//! rejection where every parent is open, return by one trial and a rising share. Beside it stand:
//!
//! 1. cold budget: a share of its work for a host that started lately, charged at send
//! 2. due-time admission: an access is taken only if it is predicted to be in time
//! 3. spill: past a crowded cache to the next in the object's hash order
//! 4. silence watch: overdue hand-offs of a host not heard since count as failures, and are moved
//! 5. keep-rank: objects seen again outrank those seen once

use crate::interface::*;
use crate::units::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The design's window, in slots of a second.
const WINDOW_SLOTS: u64 = 10;
/// A window of fewer fills says nothing (the design's figure).
const LEAST_FILLS: u32 = 10;
/// Above this share of failures a breaker opens (the design's figure).
const FAILING: f64 = 0.5;
/// A fill this many times slower than the usual 95th percentile fails (the design's figure).
const SLOW: f64 = 3.0;
/// How long a breaker stays open (the design's figure). Longer starves a healed host, shorter spends
/// more accesses on trials.
const OPEN_FOR: Span = Span::from_secs(10);
/// The same where there is nowhere else to go: refusing longer than the fault lasts costs most there.
const ORIGIN_OPEN_FOR: Span = Span::from_secs(3);
const ORIGIN_DOUBLE_AFTER: Span = Span::from_millis(500);
/// A trial counts if its first byte came within this (the design's figure).
const TRIAL_WITHIN: Span = Span::from_secs(1);
/// The first share of a returning host and the pace of its doubling (the design's figures).
const FIRST_SHARE: f64 = 0.05;
const DOUBLE_AFTER: Span = Span::from_secs(2);
/// This many hard failures with no answer between open a breaker before its window fills. Fewer would
/// open on chance errors, more leave a dead host closed longer.
const RUN_OPENS: u32 = 3;
/// Up to this predicted stretch an access stays at its first cache. Lower loses hits, higher lateness.
const SPILL_AT: f64 = 3.0;
/// From this predicted stretch on a cache gives up what is past its due time.
const CROWDED: f64 = 1.3;
/// Part of a cold host's told limit that the dispatchers use together. Higher risks pushing it over
/// when traffic is uneven, lower warms it later.
const COLD_USE: f64 = 0.4;
/// What an answer takes besides its sending, for predictions before it is sent.
const HOP: Span = Span::from_millis(40);
/// A hand-off is overdue after this many times its predicted time, and a little more.
const PATIENCE: f64 = 1.5;
/// What a fill takes alone besides its sending, in seconds.
const FILL_BASE: f64 = 0.1;
const FIRST_WAIT: Span = Span::from_millis(150);
const PATIENCE_BASE: Span = Span::from_millis(100);
/// How long an access waits before it goes out again to a host that was full.
const FULL_WAIT: Span = Span::from_millis(60);
/// When rejected accesses come back, where clients can be told.
const COME_BACK: Span = Span::from_millis(500);
/// Objects seen lately are remembered in two halves of this many.
const SEEN_HALF: usize = 20_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Role {
    Cache,
    Parent,
    Origin,
}

/// A coarse histogram: each bin is half as wide again as the one before.
#[derive(Clone, Debug)]
struct Histogram {
    bins: [u32; 42],
    total: u32,
}

impl Default for Histogram {
    fn default() -> Histogram {
        Histogram {
            bins: [0; 42],
            total: 0,
        }
    }
}

impl Histogram {
    fn add(&mut self, value: f64) {
        let bin = ((value.max(1.0)).ln() / 1.5f64.ln()) as usize;
        self.bins[bin.min(41)] += 1;
        self.total += 1;
        if self.total >= 500 {
            self.bins.iter_mut().for_each(|n| *n /= 2);
            self.total = self.bins.iter().sum();
        }
    }

    fn merge(&mut self, other: &mut Histogram) {
        for (bin, n) in std::mem::take(other).bins.into_iter().enumerate() {
            (0..n).for_each(|_| self.add(1.5f64.powi(bin as i32) * 1.01));
        }
    }

    /// The upper edge of the bin that holds the 95th percentile; `None` when too little is heard.
    fn p95(&self) -> Option<f64> {
        let mut left = self.total - self.total / 20;
        for (bin, &n) in self.bins.iter().enumerate() {
            if n >= left && self.total >= 20 {
                return Some(1.5f64.powi(bin as i32 + 1));
            }
            left = left.saturating_sub(n);
        }
        None
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    Closed,
    Open {
        until: Moment,
    },
    Trial,
    Ramp {
        share: f64,
        step: Moment,
        clean: bool,
    },
}

/// What an outcome says of one host.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Verdict {
    /// It answered; with a latency where one was measured.
    Good(Option<f64>),
    /// It refused, broke off or stayed silent.
    Bad,
}

/// The design's breaker, one for each cache, parent and origin.
#[derive(Debug)]
struct Breaker {
    slots: VecDeque<(u64, u32, u32)>,
    /// Latencies of clean windows, and those of the present slot.
    usual: Histogram,
    pending: Histogram,
    phase: Phase,
    first_open: Span,
    open_for: Span,
    double_after: Span,
    run: u32,
}

impl Breaker {
    fn new(role: Role) -> Breaker {
        let (open_for, double_after) = if role == Role::Origin {
            (ORIGIN_OPEN_FOR, ORIGIN_DOUBLE_AFTER)
        } else {
            (OPEN_FOR, DOUBLE_AFTER)
        };
        let (usual, pending) = Default::default();
        Breaker {
            slots: VecDeque::new(),
            usual,
            pending,
            phase: Phase::Closed,
            first_open: open_for,
            open_for,
            double_after,
            run: 0,
        }
    }

    fn counts(&self) -> (u32, u32) {
        self.slots
            .iter()
            .fold((0, 0), |(good, bad), slot| (good + slot.1, bad + slot.2))
    }

    /// Moves the window and the ramp on to `now`.
    fn advance(&mut self, now: Moment) {
        let slot = now.0 / 1_000_000;
        if self.slots.back().is_none_or(|last| last.0 != slot) {
            let (good, bad) = self.counts();
            if bad * 10 <= good {
                self.usual.merge(&mut self.pending);
            }
            self.pending = Histogram::default();
            self.slots.push_back((slot, 0, 0));
        }
        while self
            .slots
            .front()
            .is_some_and(|first| first.0 + WINDOW_SLOTS <= slot)
        {
            self.slots.pop_front();
        }
        if let Phase::Ramp { share, step, clean } = &mut self.phase {
            while now >= *step {
                *share *= if *clean { 2.0 } else { 1.0 };
                (*step, *clean) = (*step + self.double_after, true);
            }
            if *share >= 1.0 {
                self.phase = Phase::Closed;
            }
        }
    }

    /// The part of its usual accesses that the host is to get.
    fn share(&self) -> f64 {
        match self.phase {
            Phase::Closed => 1.0,
            Phase::Ramp { share, .. } => share,
            Phase::Open { .. } | Phase::Trial => 0.0,
        }
    }

    /// Whether the next access may be the trial; one that must not be lost leaves others a moment to be it.
    fn wants_trial(&self, now: Moment, retriable: bool) -> bool {
        let leave = if retriable { Span::ZERO } else { TRIAL_WITHIN };
        matches!(self.phase, Phase::Open { until } if now >= until + leave)
    }

    fn is_open(&self) -> bool {
        matches!(self.phase, Phase::Open { .. } | Phase::Trial)
    }

    fn open(&mut self, now: Moment) {
        let failed_trial = self.phase == Phase::Trial;
        self.open_for = if failed_trial {
            self.open_for.times(2.0).min(OPEN_FOR)
        } else {
            self.first_open
        };
        self.phase = Phase::Open {
            until: now + self.open_for,
        };
        self.slots.clear();
        self.run = 0;
    }

    /// Takes a verdict; `usual` is the 95th percentile to hold it against.
    fn judge(
        &mut self,
        now: Moment,
        verdict: Verdict,
        trial: bool,
        usual: Option<f64>,
        slow_opens: bool,
    ) {
        self.advance(now);
        let slow = match (verdict, usual) {
            (Verdict::Good(Some(latency)), Some(p95)) => latency > SLOW * p95,
            _ => false,
        };
        if let Verdict::Good(Some(latency)) = verdict {
            self.pending.add(latency);
        }
        let bad = slow || verdict == Verdict::Bad;
        self.run = if verdict == Verdict::Bad {
            self.run + 1
        } else {
            0
        };
        if let Some(slot) = self.slots.back_mut() {
            *(if bad { &mut slot.2 } else { &mut slot.1 }) += 1;
        }
        let (good, failed) = self.counts();
        let failing =
            good + failed >= LEAST_FILLS && f64::from(failed) > FAILING * f64::from(good + failed);
        match &mut self.phase {
            Phase::Trial if trial && bad => self.open(now),
            Phase::Trial if trial => {
                self.slots.clear();
                self.phase = Phase::Ramp {
                    share: FIRST_SHARE,
                    step: now + self.double_after,
                    clean: true,
                };
            }
            Phase::Open { .. } | Phase::Trial => {}
            _ if self.run >= RUN_OPENS || (failing && (slow_opens || !slow)) => self.open(now),
            Phase::Ramp { clean, .. } => *clean &= !bad,
            Phase::Closed => {}
        }
    }
}

#[derive(Debug)]
struct Host {
    entry: HostEntry,
    role: Role,
    breaker: Breaker,
    /// When it last answered anything.
    heard: Option<Moment>,
    /// How many times longer than alone fills from here took lately, and when that was last told.
    slowness: (f64, Moment),
    /// Hand-offs that are out there now.
    out: u32,
    /// Work sent lately while cold, in seconds of sending.
    charged: VecDeque<(Moment, f64)>,
}

#[derive(Debug)]
struct Access {
    track: TrackId,
    object: ObjectId,
    group: GroupId,
    part: u32,
    size_kb: Option<f64>,
    send: f64,
    due: Moment,
    limit: Moment,
    tries: Vec<Try>,
    wait_until: Moment,
    /// Cache and parent lack it, and neither was to ask further.
    lacking: bool,
    wake_at: Option<Moment>,
}

/// A hand-off as its access remembers it.
#[derive(Debug)]
struct Try {
    host: HostId,
    source: HostId,
    sent: Moment,
    out: bool,
    may_have_run: bool,
    failed: bool,
}

/// A hand-off that is out there, whether or not its access is still open.
#[derive(Debug)]
struct Flight {
    host: HostId,
    source: HostId,
    sent: Moment,
    work: f64,
    size_kb: Option<f64>,
    overdue_at: Moment,
    blamed: bool,
    withdrawn: bool,
    held_only: bool,
    host_trial: bool,
    source_trial: bool,
}

/// Where an access should go next.
#[derive(Clone, Copy, Debug)]
struct Plan {
    host: HostId,
    source: HostId,
    stale: bool,
    held_only: bool,
}

enum Step {
    Wait(Moment),
    Send(Plan),
    Withdraw(HandOffNo),
    GiveUp,
}

#[derive(Debug)]
pub struct Dispatcher {
    terms: Terms,
    chance: fastrand::Rng,
    hosts: BTreeMap<HostId, Host>,
    accesses: BTreeMap<AccessId, Access>,
    flights: BTreeMap<(AccessId, HandOffNo), Flight>,
    touched: BTreeSet<AccessId>,
    timed: BTreeSet<(Moment, AccessId)>,
    armed: Option<Moment>,
    purges: BTreeMap<(GroupId, Option<ObjectId>), Moment>,
    seen: [BTreeSet<(ObjectId, u32)>; 2],
    /// Sending times by track: their sum in seconds and their number.
    sending: Vec<(f64, f64)>,
    pooled: [Histogram; 3],
    /// What answers took besides their sending, by role.
    waits: [Histogram; 3],
    actions: Vec<Action>,
}

/// A number that follows the object and the host, evenly spread over 0 to 1.
fn point(object: ObjectId, part: u32, host: HostId, salt: u64) -> f64 {
    let mut x = object.0
        ^ (u64::from(part) << 52)
        ^ host.0.rotate_left(29).wrapping_mul(0x9e37_79b9_7f4a_7c15)
        ^ salt;
    for factor in [0xbf58_476d_1ce4_e5b9, 0x94d0_49bb_1331_11eb] {
        x = (x ^ (x >> 31)).wrapping_mul(factor);
    }
    ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}

/// The slowness of fills from a host, half forgotten every two seconds without news.
fn slowness(host: &Host, now: Moment) -> f64 {
    let (told, at) = host.slowness;
    1.0 + (told - 1.0).max(0.0) * 0.5f64.powf(now.since(at).as_secs_f64() / 2.0)
}

impl Dispatcher {
    pub fn new(terms: Terms, seed: u64) -> Dispatcher {
        let first_guess = |track: &Track| (track.due.as_secs_f64() * 0.5, 1.0);
        Dispatcher {
            chance: fastrand::Rng::with_seed(seed),
            hosts: BTreeMap::new(),
            accesses: BTreeMap::new(),
            flights: BTreeMap::new(),
            touched: BTreeSet::new(),
            timed: BTreeSet::new(),
            armed: None,
            purges: BTreeMap::new(),
            seen: Default::default(),
            sending: terms.tracks.iter().map(first_guess).collect(),
            pooled: Default::default(),
            waits: Default::default(),
            actions: if terms.list_on_request {
                vec![Action::FollowList]
            } else {
                Vec::new()
            },
            terms,
        }
    }

    /// Takes one event; nothing goes out before [`Dispatcher::settle`].
    pub fn take(&mut self, now: Moment, event: Event) {
        match event {
            Event::Hosts {
                form: ListForm::Failed,
                ..
            } if self.terms.list_on_request => {
                self.actions.push(Action::FollowList);
            }
            Event::Hosts {
                form: ListForm::Failed,
                ..
            } => {}
            Event::Hosts { form, entries } => self.list(form, entries),
            Event::Arrived(arrival) => self.arrive(now, arrival),
            Event::Outcome(outcome) => self.outcome(now, &outcome),
            Event::Left { id } => self.close(id),
            Event::Begun { id, hand_off } => {
                // The client has it: withdrawing this hand-off would cut the answer off.
                let access = self.accesses.get_mut(&id);
                if let Some(begun) = access.and_then(|a| a.tries.get_mut(usize::from(hand_off.0))) {
                    begun.out = false;
                }
                self.close(id);
            }
            Event::Woken { .. } => self.armed = self.armed.filter(|&at| at > now),
            Event::Probed { .. } => {}
            Event::Purged { object, group, ago } => {
                self.purges
                    .retain(|_, &mut at| now.since(at) < self.terms.purge_done.times(3.0));
                let at = self.purges.entry((group, object)).or_default();
                *at = (*at).max(now - ago);
            }
        }
    }

    fn list(&mut self, form: ListForm, entries: Vec<HostEntry>) {
        if form == ListForm::Whole {
            for host in self.hosts.values_mut() {
                host.entry.state = HostState::Gone;
            }
        }
        for entry in entries {
            let role = match Some(entry.kind) {
                kind if kind == self.terms.parent_kind => Role::Parent,
                kind if kind == self.terms.origin_kind => Role::Origin,
                _ => Role::Cache,
            };
            let new = || Host {
                entry,
                role,
                breaker: Breaker::new(role),
                heard: None,
                slowness: (1.0, Moment(0)),
                out: 0,
                charged: VecDeque::new(),
            };
            let host = self.hosts.entry(entry.host).or_insert_with(new);
            if host.entry.started != entry.started {
                // A fresh process: what its predecessor did is no fault of it.
                host.breaker.phase = Phase::Closed;
                host.breaker.run = 0;
                host.breaker.slots.clear();
            }
            host.entry = entry;
        }
    }

    fn arrive(&mut self, now: Moment, arrival: Arrival) {
        let Some(track) = self.terms.tracks.get(usize::from(arrival.track.0)) else {
            return;
        };
        let sending = &mut self.sending[usize::from(arrival.track.0)];
        let send = match arrival.size_kb {
            Some(kb) => {
                let send = kb / self.terms.flow_kb_per_s.max(1.0);
                *sending = (sending.0 + send, sending.1 + 1.0);
                send
            }
            None => sending.0 / sending.1,
        };
        let limit = now + arrival.left;
        let access = Access {
            track: arrival.track,
            object: arrival.object,
            group: arrival.group,
            part: arrival.part,
            size_kb: arrival.size_kb,
            send,
            due: limit.min(now + track.due + Span::from_secs_f64(send * track.due_stretch)),
            limit,
            tries: Vec::new(),
            wait_until: now,
            lacking: false,
            wake_at: None,
        };
        self.accesses.insert(arrival.id, access);
        self.touched.insert(arrival.id);
    }

    fn close(&mut self, id: AccessId) {
        if let Some(access) = self.accesses.remove(&id) {
            if let Some(at) = access.wake_at {
                self.timed.remove(&(at, id));
            }
            for (no, _) in access.tries.iter().enumerate().filter(|(_, t)| t.out) {
                self.withdraw(id, HandOffNo(no as u8));
            }
        }
    }

    fn withdraw(&mut self, id: AccessId, hand_off: HandOffNo) {
        if let Some(flight) = self.flights.get_mut(&(id, hand_off)) {
            if self.terms.may_withdraw && !std::mem::replace(&mut flight.withdrawn, true) {
                self.actions.push(Action::Withdraw { id, hand_off });
            }
        }
    }

    fn outcome(&mut self, now: Moment, outcome: &Outcome) {
        let Some(flight) = self.flights.remove(&(outcome.id, outcome.hand_off)) else {
            return;
        };
        self.learn(now, outcome, &flight);
        let Some(access) = self.accesses.get_mut(&outcome.id) else {
            return;
        };
        if let Some(attempt) = access.tries.get_mut(usize::from(outcome.hand_off.0)) {
            attempt.out = false;
            attempt.may_have_run = !outcome.ending.never_ran();
            attempt.failed = outcome.ending != Ending::Missed;
            if outcome.ending == Ending::Full && flight.host == flight.source {
                attempt.failed = false;
                access.wait_until = now + FULL_WAIT;
            }
            if outcome.ending == Ending::Missed && flight.held_only {
                access.lacking = true;
            }
        }
        if outcome.closed {
            self.close(outcome.id);
        } else {
            self.touched.insert(outcome.id);
        }
    }

    /// Tells cache, parent and origin faults apart, by the note or by who else was heard since.
    fn learn(&mut self, now: Moment, outcome: &Outcome, flight: &Flight) {
        use Ending::*;
        let per_byte = |took: Span| match flight.size_kb {
            Some(kb) => took.0 as f64 / (kb + 100.0),
            None => took.0 as f64,
        };
        let waited = outcome.waited.map(|w| w.0 as f64);
        let latency = waited.unwrap_or_else(|| per_byte(outcome.took));
        let answered = !matches!(
            outcome.ending,
            TimedOut | NoConnection | Lost | Withdrawn | NotSent
        );
        let own = flight.source == flight.host;
        if let Some(host) = self.hosts.get_mut(&flight.host) {
            if outcome.ending == Done {
                let wait = outcome.took - Span::from_secs_f64(flight.work);
                self.waits[host.role as usize].add(wait.0 as f64);
            }
            host.out = host.out.saturating_sub(1);
            if answered {
                host.heard = Some(now);
            }
        }
        let hit = outcome.note == Note::Hit || outcome.note == Note::Stale;
        let filled = outcome.ending == Done && !hit || outcome.ending == TimedOut;
        if let Some(source) = self
            .hosts
            .get_mut(&flight.source)
            .filter(|_| filled && !own)
        {
            let sample = outcome.took.as_secs_f64() / (flight.work + FILL_BASE);
            let slowness = slowness(source, now);
            source.slowness = (slowness + (sample - slowness) * 0.1, now);
        }
        if hit && let Some(source) = self.hosts.get_mut(&flight.source).filter(|_| !own) {
            if let Some(i) = source.charged.iter().position(|&(at, _)| at == flight.sent) {
                source.charged.remove(i);
            }
        }
        let mut of_host = answered.then_some(Verdict::Good(None));
        let mut of_source = None;
        match (outcome.ending, outcome.note) {
            (Done, Note::Filled) => of_source = Some(Verdict::Good(Some(latency))),
            (Done, Note::FilledByOrigin) => {
                of_source = Some(Verdict::Good(None));
                self.judge_origin(now, Verdict::Good(Some(latency)));
            }
            (_, Note::OriginFailed) => self.judge_origin(now, Verdict::Bad),
            (_, Note::SourceRefused | Note::SourceLost) => of_source = Some(Verdict::Bad),
            (Done, _) if own => of_host = Some(Verdict::Good(Some(per_byte(outcome.took)))),
            (Error, Note::Untold) if !own => {
                of_source = Some(Verdict::Bad).filter(|_| !self.origin_hides(flight));
            }
            (Error, _) if own => of_host = Some(Verdict::Bad),
            (NoConnection | Lost, _) => of_host = Some(Verdict::Bad),
            // A draining host turns all away before the list tells: one that is only crowded answers
            // others between, and its run of failures ends.
            (Full, Note::Untold) if !own => {
                (of_host, of_source) = (Some(Verdict::Bad), Some(Verdict::Bad));
            }
            _ => {}
        }
        self.judge(now, flight.host, of_host, flight.host_trial);
        if !own {
            self.judge(now, flight.source, of_source, flight.source_trial);
        }
    }

    /// A hand-off that brought nothing in time is the host's fault if nothing was heard from it since,
    /// else the source's if nothing came from there either.
    fn blame(&mut self, now: Moment, flight: &Flight) {
        let heard = |id| {
            self.hosts
                .get(&id)
                .and_then(|h: &Host| h.heard)
                .is_some_and(|at| at > flight.sent)
        };
        let (host_heard, source_heard) = (heard(flight.host), heard(flight.source));
        let of_host = (!host_heard).then_some(Verdict::Bad);
        self.judge(now, flight.host, of_host, flight.host_trial);
        if flight.source != flight.host {
            let of_source = host_heard && !source_heard && !self.origin_hides(flight);
            let of_source = of_source.then_some(Verdict::Bad);
            self.judge(now, flight.source, of_source, flight.source_trial);
        }
    }

    /// A fetch behind the source may hang on a sick origin: then the source is not to blame.
    fn origin_hides(&self, flight: &Flight) -> bool {
        let sick = |h: &Host| h.role == Role::Origin && h.breaker.is_open();
        !flight.held_only && self.hosts.values().any(sick)
    }

    fn judge_origin(&mut self, now: Moment, verdict: Verdict) {
        let origin = self
            .hosts
            .iter()
            .find(|(_, host)| host.role == Role::Origin)
            .map(|(&id, _)| id);
        if let Some(id) = origin {
            self.judge(now, id, Some(verdict), false);
        }
    }

    fn judge(&mut self, now: Moment, id: HostId, verdict: Option<Verdict>, trial: bool) {
        let Some(role) = self.hosts.get(&id).map(|host| host.role) else {
            return;
        };
        // Where no other parent is closed, the origin behind them all is the likelier cause of slowness.
        let others = self.hosts.iter().any(|(&other, host)| {
            other != id
                && host.role == role
                && host.entry.state == HostState::Ready
                && !host.breaker.is_open()
        });
        let pooled = &mut self.pooled[role as usize];
        let Some(host) = self.hosts.get_mut(&id) else {
            return;
        };
        let before = host.breaker.is_open();
        match verdict {
            // A trial that told nothing of the host leaves it open for the next.
            None if trial && host.breaker.phase == Phase::Trial => {
                host.breaker.phase = Phase::Open { until: now }
            }
            None => {}
            Some(verdict) => {
                if verdict != Verdict::Bad {
                    host.heard = Some(now);
                }
                if let Verdict::Good(Some(latency)) = verdict {
                    pooled.add(latency);
                }
                let usual = host.breaker.usual.p95().or(pooled.p95());
                let verdict = match verdict {
                    Verdict::Good(Some(l)) if trial && l > TRIAL_WITHIN.0 as f64 => Verdict::Bad,
                    other => other,
                };
                host.breaker.judge(now, verdict, trial, usual, others);
            }
        }
        let after = host.breaker.is_open();
        if before != after {
            let what = if after { "open" } else { "back by trial" };
            self.actions.push(Action::Log {
                text: format!("{role:?} {:x} breaker {what}", id.0),
            });
        }
    }

    /// Emits the difference between what should be out, held and timed and what is.
    pub fn settle(&mut self, now: Moment) -> Vec<Action> {
        while let Some(&(at, id)) = self.timed.first().filter(|(at, _)| *at <= now) {
            self.timed.remove(&(at, id));
            self.touched.insert(id);
        }
        while let Some(id) = self.touched.pop_first() {
            self.look_after_overdue(now, id);
            while self.accesses.contains_key(&id) {
                match self.next_step(now, id) {
                    Step::Send(plan) => self.send(now, id, plan),
                    Step::Withdraw(no) => self.withdraw(id, no),
                    Step::GiveUp => self.give_up(id),
                    Step::Wait(until) => {
                        self.time(id, until);
                        break;
                    }
                }
            }
        }
        if let Some(&(at, _)) = self
            .timed
            .first()
            .filter(|(at, _)| self.armed.is_none_or(|armed| *at < armed))
        {
            self.armed = Some(at);
            self.actions.push(Action::Wake {
                at,
                wake: WakeId(0),
            });
        }
        std::mem::take(&mut self.actions)
    }

    fn time(&mut self, id: AccessId, until: Moment) {
        if let Some(access) = self.accesses.get_mut(&id) {
            if let Some(old) = access.wake_at.replace(until) {
                self.timed.remove(&(old, id));
            }
            self.timed.insert((until, id));
        }
    }

    fn look_after_overdue(&mut self, now: Moment, id: AccessId) {
        let overdue = |flight: &&mut Flight| now >= flight.overdue_at && !flight.blamed;
        let range = (id, HandOffNo(0))..=(id, HandOffNo(u8::MAX));
        let late: Vec<_> = self
            .flights
            .range_mut(range)
            .map(|(_, f)| f)
            .filter(overdue)
            .collect();
        let mut copies = Vec::new();
        for flight in late {
            flight.blamed = true;
            copies.push(Flight { ..*flight });
        }
        for flight in copies {
            self.blame(now, &flight);
        }
    }

    fn next_step(&mut self, now: Moment, id: AccessId) -> Step {
        let access = &self.accesses[&id];
        if now >= access.limit {
            return Step::GiveUp;
        }
        if let Some(no) = access.tries.iter().position(|attempt| attempt.out) {
            let no = HandOffNo(no as u8);
            let Some(flight) = self.flights.get(&(id, no)) else {
                return Step::Wait(access.limit);
            };
            if now < flight.overdue_at {
                return Step::Wait(flight.overdue_at.min(access.limit));
            }
            let sick = |id: HostId| {
                self.hosts
                    .get(&id)
                    .is_some_and(|host| host.breaker.is_open())
            };
            let retriable =
                self.terms.tracks[usize::from(access.track.0)].effect == Effect::Retriable;
            let movable =
                retriable && self.terms.may_withdraw && !flight.withdrawn && !flight.host_trial;
            if movable && !flight.source_trial && (sick(flight.host) || sick(flight.source)) {
                return Step::Withdraw(no);
            }
            return Step::Wait(access.limit.min(now + PATIENCE_BASE));
        }
        if access.tries.len() >= self.terms.max_hand_offs {
            return Step::GiveUp;
        }
        if now < access.wait_until {
            return Step::Wait(access.wait_until.min(access.limit));
        }
        match self.plan(now, id) {
            Some(plan) => Step::Send(plan),
            None => Step::GiveUp,
        }
    }

    /// The hosts of a role that an access may go to, in its object's hash order.
    fn in_hash_order(&self, access: &Access, wanted: impl Fn(&Host) -> bool) -> Vec<HostId> {
        // Parts spread over the caches, or one long object crowds one; its fills still meet at one parent.
        let score = |host: &Host| {
            let part = if host.role == Role::Cache {
                access.part
            } else {
                0
            };
            let size = if self.terms.sizes_tell {
                host.entry.size.max(0.01)
            } else {
                1.0
            };
            -point(access.object, part, host.entry.host, 1)
                .max(1e-12)
                .ln()
                / size
        };
        let mut order: Vec<(f64, HostId)> = self
            .hosts
            .iter()
            .filter(|(_, h)| wanted(h))
            .map(|(&id, h)| (score(h), id))
            .collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        order.into_iter().map(|(_, id)| id).collect()
    }

    /// The part of its capacity that a host can surely give now.
    fn warmth(&self, now: Moment, host: &Host) -> f64 {
        let cold = self.cold(host.role);
        match host.entry.started {
            Some(at) if now.since(at) < cold.warm_after => {
                let part = now.since(at).as_secs_f64() / cold.warm_after.as_secs_f64().max(0.001);
                cold.from + (1.0 - cold.from) * part
            }
            _ => 1.0,
        }
    }

    fn cold(&self, role: Role) -> &Cold {
        if role == Role::Cache {
            &self.terms.cold_cache
        } else {
            &self.terms.cold_parent
        }
    }

    /// How many dispatchers send to hosts of this role.
    fn peers(&self, role: Role) -> f64 {
        let own_zone = self
            .terms
            .seats
            .get(usize::from(self.terms.zone.0))
            .copied();
        let all = self.terms.dispatchers.max(1);
        f64::from(if role == Role::Cache {
            own_zone.unwrap_or(all).max(1)
        } else {
            all
        })
    }

    /// How much slower than alone an answer from a cache is predicted to be.
    fn stretch(&self, now: Moment, host: &Host) -> f64 {
        let in_hand = f64::from(host.out) * self.peers(host.role) + 1.0;
        (in_hand / (host.entry.size * self.warmth(now, host)).max(0.5)).max(1.0)
    }

    fn retriable(&self, access: &Access) -> bool {
        self.terms.tracks[usize::from(access.track.0)].effect == Effect::Retriable
    }

    /// Whether the breaker and the warmth of a host leave room for this object.
    fn open_to(&self, now: Moment, access: &Access, id: HostId) -> bool {
        let Some(host) = self.hosts.get(&id) else {
            return false;
        };
        if access
            .tries
            .iter()
            .any(|t| t.failed && (t.host == id || t.source == id))
        {
            return false;
        }
        let share = host.breaker.share().min(self.warmth(now, host));
        host.breaker.wants_trial(now, self.retriable(access))
            || point(access.object, access.part, id, 2) < share
    }

    fn plan(&mut self, now: Moment, id: AccessId) -> Option<Plan> {
        let ids: Vec<HostId> = self.hosts.keys().copied().collect();
        for host in ids {
            if let Some(host) = self.hosts.get_mut(&host) {
                host.breaker.advance(now);
            }
        }
        let access = &self.accesses[&id];
        let track = &self.terms.tracks[usize::from(access.track.0)];
        let ready = |host: &Host| host.entry.state == HostState::Ready;
        let parents = self.in_hash_order(access, |h| ready(h) && h.role == Role::Parent);
        let origins = self.in_hash_order(access, |h| ready(h) && h.role == Role::Origin);
        let zone = self.terms.zone;
        let caches = self.in_hash_order(access, |h| {
            ready(h) && h.role == Role::Cache && h.entry.zone == zone
        });
        let origin = origins.first().copied();
        let origin_open = origin.is_none_or(|id| self.open_to(now, access, id));
        let returning = origin.is_some_and(|id| self.hosts[&id].breaker.phase != Phase::Closed);
        if access.lacking && !returning {
            return None;
        }
        if access.lacking || track.written && self.terms.straight {
            let host = origin.filter(|_| origin_open && self.terms.straight)?;
            return Some(Plan {
                host,
                source: host,
                stale: false,
                held_only: false,
            });
        }
        let in_time =
            |stretch: f64| now + HOP + Span::from_secs_f64(access.send * stretch) <= access.due;
        let stretch = |id: HostId| {
            self.hosts
                .get(&id)
                .map_or(f64::MAX, |host| self.stretch(now, host))
        };
        let fits = |id: &HostId| self.within_budget(now, *id, self.mean_send(access.track));
        let open = |id: &&HostId| self.open_to(now, access, **id) && fits(id);
        let first = caches
            .iter()
            .filter(open)
            .find(|&&id| stretch(id) <= SPILL_AT);
        let tried = |id: HostId| access.tries.iter().any(|t| t.failed && t.host == id);
        let closed = |id: &&HostId| !self.hosts[id].breaker.is_open() && !tried(**id) && fits(id);
        let least = || {
            caches
                .iter()
                .filter(closed)
                .min_by(|a, b| stretch(**a).total_cmp(&stretch(**b)))
        };
        let host = *first.or_else(least)?;
        if !in_time(stretch(host)) && !track.written {
            return None;
        }
        let room = |id: &&HostId| {
            self.open_to(now, access, **id) && self.within_budget(now, **id, access.send)
        };
        if track.written {
            let source = *origins.first().or(parents.first())?;
            let plan = Plan {
                host,
                source,
                stale: false,
                held_only: false,
            };
            return origin_open.then_some(plan);
        }
        let source = parents
            .iter()
            .find(room)
            .or_else(|| origins.iter().find(room))
            .copied();
        // Behind a sick origin a parent gives what it holds: fetches would hang and fill the caches' places.
        let held_only = !origin_open && source.is_some();
        let fill_in_time = |id: &HostId| {
            let takes = slowness(&self.hosts[id], now) * (access.send + FILL_BASE);
            now + Span::from_secs_f64(takes) <= access.due
        };
        let source = source.filter(fill_in_time);
        Some(Plan {
            host,
            source: source.unwrap_or(host),
            stale: source.is_none(),
            held_only,
        })
    }

    fn mean_send(&self, track: TrackId) -> f64 {
        let (sum, n) = self.sending[usize::from(track.0)];
        sum / n
    }

    /// Rule 4: whether a cold host can be charged with this work in this dispatcher's share.
    fn within_budget(&self, now: Moment, id: HostId, work: f64) -> bool {
        let Some(host) = self.hosts.get(&id) else {
            return false;
        };
        let warmth = self.warmth(now, host);
        if warmth >= 1.0 {
            return true;
        }
        let cold = self.cold(host.role);
        let recent = host
            .charged
            .iter()
            .filter(|(at, _)| now.since(*at) <= cold.fall_after);
        let charged: f64 = recent.map(|(_, work)| work).sum();
        let limit = cold.fall_multiple * warmth * host.entry.size * cold.fall_after.as_secs_f64();
        charged + work <= limit * COLD_USE / self.peers(host.role)
    }

    /// Rule 2: whether what may have run allows this hand-off.
    fn may_run_again(&self, now: Moment, access: &Access, host: HostId) -> bool {
        let mut open = access.tries.iter().filter(|t| t.may_have_run).peekable();
        if access.tries.iter().any(|t| t.out) && !self.terms.second_copies {
            return false;
        }
        match self.terms.tracks[usize::from(access.track.0)].effect {
            Effect::Retriable => true,
            Effect::Binding => open.peek().is_none(),
            Effect::Fingerprinted { group, window } => open.all(|earlier| {
                let place = |id: HostId| self.hosts.get(&id).map(|h| (h.entry.zone, h.entry.cell));
                let same = match group {
                    RepeatGroup::All => true,
                    RepeatGroup::Zone => {
                        place(earlier.host).map(|p| p.0) == place(host).map(|p| p.0)
                    }
                    RepeatGroup::Cell => place(earlier.host) == place(host),
                };
                same && now < earlier.sent + window
            }),
        }
    }

    /// Rule 5: the oldest copy that will do, from the latest purge that names the object or its group.
    fn oldest(&self, now: Moment, access: &Access, stale: bool) -> Option<Span> {
        let track = &self.terms.tracks[usize::from(access.track.0)];
        let fresh = track
            .fresh
            .map(|fresh| if stale { fresh + track.grace } else { fresh });
        let keys = [(access.group, Some(access.object)), (access.group, None)];
        let purged = keys.iter().filter_map(|key| self.purges.get(key)).max();
        let purged = purged.map(|&at| now.since(at));
        match (fresh, purged) {
            (Some(fresh), Some(purged)) => Some(fresh.min(purged)),
            (fresh, purged) => fresh.filter(|_| stale).or(purged),
        }
    }

    /// The one gate that every hand-off passes, with each rule at its own place.
    fn send(&mut self, now: Moment, id: AccessId, plan: Plan) {
        let access = &self.accesses[&id];
        let track = &self.terms.tracks[usize::from(access.track.0)];
        // Rule 1: nothing goes out for an access that has ended or whose client has given up.
        let open = now < access.limit;
        // Rule 3: neither host nor source may drain or be gone.
        let listed = |id| {
            self.hosts
                .get(&id)
                .is_some_and(|h: &Host| h.entry.state == HostState::Ready)
        };
        let kept = listed(plan.host) && listed(plan.source);
        let work = self.mean_send(access.track);
        let cold = self.within_budget(now, plan.host, work);
        if !(open && kept && cold && self.may_run_again(now, access, plan.host)) {
            return self.give_up(id);
        }
        let direct = self.hosts[&plan.host].role == Role::Origin;
        let key = (access.object, access.part);
        let rank = if track.written { 0 } else { self.rank(key) };
        let access = &self.accesses[&id];
        let track = &self.terms.tracks[usize::from(access.track.0)];
        let fill = Fill {
            source: plan.source,
            rank,
            oldest: self.oldest(now, access, plan.stale),
            join: self.terms.joins,
            held_only: plan.held_only,
            renew: track.fresh.is_some() && !plan.stale,
        };
        let role = self.hosts[&plan.host].role;
        let expected =
            HOP + Span::from_secs_f64(access.send * self.stretch(now, &self.hosts[&plan.host]));
        let mut flight = Flight {
            host: plan.host,
            source: plan.source,
            sent: now,
            work: access.send,
            size_kb: access.size_kb,
            overdue_at: now
                + expected.times(PATIENCE)
                + self.usual_wait(role).times(2.0).min(track.due.times(0.6)),
            blamed: false,
            withdrawn: false,
            held_only: plan.held_only || plan.source == plan.host,
            host_trial: false,
            source_trial: false,
        };
        let own = flight.work;
        // An answer past its due time earns little and holds up those that can still be in time.
        let last = access.due.since(now) + PATIENCE_BASE;
        let crowded = self.stretch(now, &self.hosts[&plan.host]) > CROWDED;
        let time_out = (crowded && self.retriable(access)).then_some(last);
        flight.host_trial = self.charge(now, plan.host, work);
        if plan.source != plan.host {
            flight.source_trial = self.charge(now, plan.source, own);
        }
        if let Some(host) = self.hosts.get_mut(&plan.host) {
            host.out += 1;
        }
        if let Some(access) = self.accesses.get_mut(&id) {
            let no = HandOffNo(access.tries.len() as u8);
            let (host, source) = (plan.host, plan.source);
            access.tries.push(Try {
                host,
                source,
                sent: now,
                out: true,
                may_have_run: true,
                failed: false,
            });
            self.flights.insert((id, no), flight);
            let fill = (!direct).then_some(fill);
            self.actions.push(Action::HandOff(HandOff {
                id,
                host,
                time_out,
                fill,
            }));
        }
    }

    /// What an answer of such hosts nearly always takes besides its sending.
    fn usual_wait(&self, role: Role) -> Span {
        self.waits[role as usize]
            .p95()
            .map_or(FIRST_WAIT, |us| Span(us as u64))
    }

    /// Charges work to a host that started lately; tells whether the hand-off is its trial.
    fn charge(&mut self, now: Moment, id: HostId, work: f64) -> bool {
        let Some(host) = self.hosts.get_mut(&id) else {
            return false;
        };
        host.charged.push_back((now, work));
        while host
            .charged
            .front()
            .is_some_and(|(at, _)| now.since(*at) > Span::from_secs(5))
        {
            host.charged.pop_front();
        }
        let trial = host.breaker.wants_trial(now, true);
        if trial {
            host.breaker.phase = Phase::Trial;
        }
        trial
    }

    /// Objects seen again outrank those seen once, so a flood of the latter pushes none of them out.
    fn rank(&mut self, key: (ObjectId, u32)) -> u8 {
        let again = self.seen.iter().any(|half| half.contains(&key));
        if self.seen[0].len() >= SEEN_HALF {
            self.seen.swap(0, 1);
            self.seen[0].clear();
        }
        self.seen[0].insert(key);
        if again { 2 } else { 1 }
    }

    /// The final answer where nothing more can be done: a rejection where it is sure that nothing ran.
    fn give_up(&mut self, id: AccessId) {
        let Some(access) = self.accesses.get(&id) else {
            return;
        };
        let ran = access.tries.iter().any(|t| t.may_have_run);
        let harmless = match self.terms.tracks[usize::from(access.track.0)].effect {
            Effect::Retriable => true,
            Effect::Binding => !ran,
            Effect::Fingerprinted { group, .. } => !ran || group == RepeatGroup::All,
        };
        let come_back = self
            .terms
            .longest_away
            .map(|longest| COME_BACK.times(0.75 + 0.5 * self.chance.f64()).min(longest));
        self.actions.push(if harmless {
            Action::Reject { id, come_back }
        } else {
            Action::Abort { id }
        });
        self.close(id);
    }
}
