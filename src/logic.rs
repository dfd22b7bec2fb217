//! Every decision of a dispatcher, with its tables and tuned values.
//!
//! Call [`Dispatcher::new`] once, [`Dispatcher::take`] for each event of a batch, then
//! [`Dispatcher::settle`] once: it answers with the actions that lead from what is out, held and
//! timed to what should be. Events, actions and start settings are in [`crate::interface`].
//!
//! The design: a breaker per host over a sliding window, hash order over caches and parents, stale
//! or rejection where every parent is open, return by one trial and a rising share. Beside it:
//!
//! 1. cold budget: a share of its work for a host that started lately, charged at send
//! 2. due-time admission: what is predicted late is not taken, nor a fill asked for that would be
//! 3. spill: past a crowded cache to the next in hash order, past them all straight to a parent
//! 4. silence watch: overdue hand-offs count as failures of whoever was not heard, and are moved
//! 5. origin shield: while the origin is open, parents are asked only for what they hold
//! 6. keep-rank: objects seen again outrank those seen once

use crate::interface::*;
use crate::units::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The design's window, in slots of a second.
const WINDOW_SLOTS: u64 = 10;
/// A window of fewer fills says nothing; above this share of failures a breaker opens; a fill this
/// many times slower than the usual 95th percentile fails (the design has 3; a bin adds up to 1.7).
const LEAST_FILLS: u32 = 10;
const FAILING: f64 = 0.5;
const SLOW: f64 = 2.0;
/// How long caches, parents and the origin stay open at first, doubling with each failed trial up to
/// the design's figure. Longer starves a healed host, shorter costs trials; the origin tries sooner,
/// as there is nowhere else to go.
const FIRST_OPEN: [Span; 3] = [OPEN_FOR, OPEN_FOR, Span::from_secs(3)];
const OPEN_FOR: Span = Span::from_secs(10);
/// A trial's first byte must come within this; the share it leads to, and how soon that doubles, by
/// role (the design's figures; the origin's doubles faster for the same reason).
const TRIAL_WITHIN: Span = Span::from_secs(1);
const FIRST_SHARE: f64 = 0.05;
const DOUBLE_AFTER: [Span; 3] = [DOUBLING, DOUBLING, Span::from_millis(500)];
const DOUBLING: Span = Span::from_secs(2);
/// Failures in a row open a breaker from this weight on: a hard one has 4, a slow one 1, or 2 at the
/// origin, of which a router hears little. A lower sum opens on chance, a higher one late.
const RUN_OPENS: u32 = 10;
const SLOW_WEIGHS: [u32; 3] = [1, 1, 2];
/// Up to this predicted stretch an access stays at its first cache. Lower loses hits, as waits for
/// fills look like a crowd, spill, miss and fill the link further; higher loses time.
const SPILL_AT: f64 = 3.0;
/// What is added to the sending time of an access whose size is only guessed. Lower lets large ones
/// crowd the caches, higher rejects small ones.
const GUESS_MARGIN: f64 = 1.3;
/// Part of a cold host's told limit that all use together. Higher risks it, lower warms it later.
const COLD_USE: f64 = 0.4;
/// What an answer takes besides its sending, and what a fill does.
const HOP: Span = Span::from_millis(40);
const FILL_WAIT: Span = Span::from_millis(100);
/// A hand-off is overdue after this many times its predicted sending and a part of the track's due
/// time. Lower blames hosts that are only slow; higher lets a silent one hold on to its accesses.
const PATIENCE: f64 = 1.5;
const WAIT_OF_DUE: f64 = 0.6;
/// How long an access waits before it goes to the origin again, and a client that was rejected.
const ORIGIN_WAIT: Span = Span::from_millis(60);
const COME_BACK: Span = Span::from_millis(500);
/// Objects seen lately are remembered in two halves of this many.
const SEEN_HALF: usize = 20_000;
/// How much faster than an answer a fill runs at least: a link fuller than that delays answers; and
/// up to which part of that what finds its caches crowded passes them by. Higher fills the link.
const FILL_PACE: f64 = 2.0;
const LINK_SPARE: f64 = 0.6;
/// How many times quicker a later parent must be to be asked in place of a slow one.
const CONTRAST: f64 = 3.0;
/// Weight of the newest answer in the share that needed a fill, and in the slowness of a host, which
/// is half forgotten after a while; one hit, whose size may be guessed wrong, counts up to a limit.
const FIRST_MISSING: f64 = 0.4;
const MISSING_GAIN: f64 = 0.02;
const SLOWNESS_GAIN: f64 = 0.1;
const SLOW_HIT: f64 = 4.0;
const SLOWNESS_HALVES: Span = Span::from_secs(2);
/// How much wider each bin of a histogram is. Wider blurs the 95th percentile upwards.
const BIN: f64 = 1.7;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Cache,
    Parent,
    Origin,
}

/// A coarse histogram of microseconds: each bin is `BIN` times as wide as the one before.
#[derive(Default)]
struct Histogram([u32; 32]);

impl Histogram {
    fn add(&mut self, value: f64) {
        let bin = value.max(1.0).log(BIN) as usize;
        self.0[bin.min(31)] += 1;
        if self.0.iter().sum::<u32>() >= 500 {
            self.0.iter_mut().for_each(|n| *n /= 2);
        }
    }

    /// The upper edge of the bin of the 95th percentile; `None` when too little is heard.
    fn p95(&self) -> Option<f64> {
        let total: u32 = self.0.iter().sum();
        let mut left = total - total / 20;
        for (bin, &n) in self.0.iter().enumerate().filter(|_| total >= 20) {
            if n >= left {
                return Some(BIN.powi(bin as i32 + 1));
            }
            left -= n;
        }
        None
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum Phase {
    #[default]
    Closed,
    Open(Moment),
    Trial,
    /// The share, when it doubles next, and whether all went well since it last did.
    Ramp(f64, Moment, bool),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Verdict {
    Good(Option<f64>),
    /// It or another failed.
    Vague,
    Bad,
}

/// The design's breaker, one for each cache, parent and origin.
#[derive(Default)]
struct Breaker {
    slots: VecDeque<(u64, u32, u32)>,
    usual: Histogram,
    pending: Vec<f64>,
    phase: Phase,
    open_for: Span,
    run: u32,
}

impl Breaker {
    fn counts(&self) -> (u32, u32) {
        let add = |sum: (u32, u32), slot: &(u64, u32, u32)| (sum.0 + slot.1, sum.1 + slot.2);
        self.slots.iter().fold((0, 0), add)
    }

    fn advance(&mut self, now: Moment, role: Role) {
        let slot = now.0 / 1_000_000;
        if self.slots.back().is_none_or(|last| last.0 != slot) {
            let (good, failed) = self.counts();
            let pending = std::mem::take(&mut self.pending);
            if failed * 10 <= good {
                let usual = &mut self.usual;
                pending.into_iter().for_each(|latency| usual.add(latency));
            }
            self.slots.push_back((slot, 0, 0));
        }
        self.slots.retain(|old| old.0 + WINDOW_SLOTS > slot);
        if let Phase::Ramp(share, step, clean) = &mut self.phase {
            while now >= *step {
                *share *= if *clean { 2.0 } else { 1.0 };
                (*step, *clean) = (*step + DOUBLE_AFTER[role as usize], true);
            }
            if *share >= 1.0 {
                self.phase = Phase::Closed;
            }
        }
    }

    fn share(&self) -> f64 {
        match self.phase {
            Phase::Closed => 1.0,
            Phase::Ramp(share, ..) => share,
            Phase::Open(_) | Phase::Trial => 0.0,
        }
    }

    /// Whether the next access may be the trial; one that must not be lost leaves it to others first.
    fn wants_trial(&self, now: Moment, retriable: bool) -> bool {
        let leave = if retriable { Span::ZERO } else { TRIAL_WITHIN };
        matches!(self.phase, Phase::Open(until) if now >= until + leave)
    }

    fn open(&mut self, now: Moment, role: Role) {
        self.open_for = match self.phase {
            Phase::Trial => self.open_for.times(2.0).min(OPEN_FOR),
            _ => FIRST_OPEN[role as usize],
        };
        self.phase = Phase::Open(now + self.open_for);
        self.slots.clear();
        self.run = 0;
    }

    fn judge(&mut self, now: Moment, role: Role, verdict: Verdict, slow: bool) {
        self.advance(now, role);
        if let Verdict::Good(Some(latency)) = verdict {
            self.pending.push(latency);
        }
        let hard = verdict == Verdict::Bad;
        let bad = slow || hard;
        let counts = 4 * u32::from(hard) + u32::from(slow) * SLOW_WEIGHS[role as usize];
        self.run = if bad { self.run + counts } else { 0 };
        if let Some(slot) = self.slots.back_mut() {
            slot.1 += u32::from(!bad);
            slot.2 += u32::from(bad);
        }
        let (good, failed) = self.counts();
        let all = good + failed;
        let failing = all >= LEAST_FILLS && f64::from(failed) > FAILING * f64::from(all);
        if self.run >= RUN_OPENS || failing {
            self.open(now, role);
        } else if let Phase::Ramp(_, _, clean) = &mut self.phase {
            *clean &= !bad;
        }
    }

    fn end_trial(&mut self, now: Moment, role: Role, good: Option<bool>) {
        match good {
            // It told nothing of this host, which stays open for the next trial.
            None => self.phase = Phase::Open(now),
            Some(false) => self.open(now, role),
            Some(true) => {
                self.slots.clear();
                self.phase = Phase::Ramp(FIRST_SHARE, now + DOUBLE_AFTER[role as usize], true);
            }
        }
    }
}

struct Host {
    entry: HostEntry,
    role: Role,
    cold: Cold,
    dispatchers: f64,
    breaker: Breaker,
    heard: Moment,
    /// How many times longer than alone fills from here took lately, and when that was last told.
    slowness: (f64, Moment),
    /// Hand-offs that are out, and work sent lately in seconds of sending.
    out: u32,
    charged: VecDeque<(Moment, f64)>,
}

impl Host {
    fn ready(&self) -> bool {
        self.entry.state == HostState::Ready
    }

    fn sick(&self) -> bool {
        matches!(self.breaker.phase, Phase::Open(_) | Phase::Trial)
    }

    fn slowed(&mut self, now: Moment, sample: f64) {
        let before = self.slowness(now);
        self.slowness = (before + (sample - before) * SLOWNESS_GAIN, now);
    }

    fn slowness(&self, now: Moment) -> f64 {
        let halvings = now.since(self.slowness.1).as_secs_f64() / SLOWNESS_HALVES.as_secs_f64();
        1.0 + (self.slowness.0 - 1.0).max(0.0) * 0.5f64.powf(halvings)
    }

    /// The part of its capacity that it can surely give now.
    fn warmth(&self, now: Moment) -> f64 {
        let warm_after = self.cold.warm_after.as_secs_f64().max(0.001);
        let age = self.entry.started.map(|at| now.since(at).as_secs_f64());
        let risen = age.map_or(1.0, |age| (age / warm_after).min(1.0));
        self.cold.from + (1.0 - self.cold.from) * risen
    }

    /// How much slower than alone an answer from here is predicted to be.
    fn stretch(&self, now: Moment) -> f64 {
        let in_hand = f64::from(self.out) * self.dispatchers + 1.0;
        (in_hand / (self.entry.size * self.warmth(now)).max(0.5)).max(1.0)
    }

    /// Rule 4: whether it can take this work out of this dispatcher's share while it is cold.
    fn within_budget(&self, now: Moment, work: f64) -> bool {
        let warmth = self.warmth(now);
        let within = |charge: &&(Moment, f64)| now.since(charge.0) <= self.cold.fall_after;
        let lately = self.charged.iter().filter(within);
        let charged: f64 = lately.map(|charge| charge.1).sum();
        let limit = self.cold.fall_multiple * self.cold.fall_after.as_secs_f64() * COLD_USE;
        warmth >= 1.0 || charged + work <= limit * warmth * self.entry.size / self.dispatchers
    }
}

struct Access {
    asked: Arrival,
    /// Predicted sending time alone, in seconds.
    send: f64,
    due: Moment,
    limit: Moment,
    tries: Vec<Try>,
    wait_until: Moment,
    /// Cache and parent lack it, and neither was to ask further.
    lacking: bool,
    wake_at: Option<Moment>,
    /// It has its final answer and is only kept until its hand-offs have ended.
    ended: bool,
}

impl Access {
    fn failed_at(&self, id: HostId) -> bool {
        let named = |t: &Try| t.plan.host == id || t.plan.source == id;
        self.tries.iter().any(|t| t.failed && named(t))
    }
}

#[derive(Clone, Copy)]
struct Try {
    plan: Plan,
    sent: Moment,
    overdue_at: Moment,
    out: bool,
    may_have_run: bool,
    failed: bool,
    blamed: bool,
    withdrawn: bool,
    trial_of: Option<HostId>,
    missing: f64,
}

#[derive(Clone, Copy, Default)]
struct Plan {
    host: HostId,
    source: HostId,
    stale: bool,
    held_only: bool,
}

impl Plan {
    fn new(host: HostId, source: HostId) -> Plan {
        let rest = Plan::default();
        Plan {
            host,
            source,
            ..rest
        }
    }
}

enum Step {
    Wait(Moment),
    Send(Plan),
    Withdraw(usize),
    GiveUp,
}

pub struct Dispatcher {
    terms: Terms,
    chance: fastrand::Rng,
    hosts: BTreeMap<HostId, Host>,
    origin: Option<HostId>,
    accesses: BTreeMap<AccessId, Access>,
    /// Accesses to look at when settling, those to look at later, and the wake-up asked for.
    touched: BTreeSet<AccessId>,
    timed: BTreeSet<(Moment, AccessId)>,
    armed: Option<Moment>,
    purges: BTreeMap<(GroupId, Option<ObjectId>), Moment>,
    seen: [BTreeSet<(ObjectId, u32)>; 2],
    /// Sending times by track: their sum in seconds and their number.
    sending: Vec<(f64, f64)>,
    pooled: [Histogram; 3],
    /// Fills that are likely under way for this dispatcher, and the share that needed one lately.
    fills: f64,
    missing: f64,
    link_told: f64,
    actions: Vec<Action>,
}

/// A number that follows the object and the host, evenly spread over 0 to 1.
fn point(object: ObjectId, part: u32, host: HostId, salt: u64) -> f64 {
    let mut x = object.0 ^ u64::from(part) << 52 ^ salt;
    x ^= host.0.rotate_left(29).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    for factor in [0xbf58_476d_1ce4_e5b9, 0x94d0_49bb_1331_11eb] {
        x = (x ^ (x >> 31)).wrapping_mul(factor);
    }
    ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}

impl Dispatcher {
    pub fn new(terms: Terms, seed: u64) -> Dispatcher {
        let first_guess = |track: &Track| (track.due.as_secs_f64() * 0.5, 1.0);
        Dispatcher {
            chance: fastrand::Rng::with_seed(seed),
            hosts: BTreeMap::new(),
            origin: None,
            accesses: BTreeMap::new(),
            touched: BTreeSet::new(),
            timed: BTreeSet::new(),
            armed: None,
            purges: BTreeMap::new(),
            seen: Default::default(),
            sending: terms.tracks.iter().map(first_guess).collect(),
            pooled: Default::default(),
            fills: 0.0,
            missing: FIRST_MISSING,
            link_told: 0.0,
            actions: Vec::from_iter(terms.list_on_request.then_some(Action::FollowList)),
            terms,
        }
    }

    /// Takes one event; nothing goes out before [`Dispatcher::settle`].
    pub fn take(&mut self, now: Moment, event: Event) {
        match event {
            Event::Hosts { form, entries } => self.list(form, entries),
            Event::Arrived(arrival) => self.arrive(now, arrival),
            Event::Outcome(outcome) => self.outcome(now, &outcome),
            Event::Begun { id, hand_off } => {
                // The client has it: withdrawing this hand-off would cut the answer off.
                if let Some(attempt) = self.try_mut(id, hand_off) {
                    attempt.withdrawn = true;
                }
                self.close(id);
            }
            Event::Left { id } => self.close(id),
            Event::Woken { .. } => self.armed = self.armed.filter(|&at| at > now),
            Event::Purged { object, group, ago } => {
                let forget = self.terms.purge_done.times(3.0);
                self.purges.retain(|_, &mut at| now.since(at) < forget);
                let at = self.purges.entry((group, object)).or_default();
                *at = (*at).max(now - ago);
            }
        }
    }

    fn list(&mut self, form: ListForm, entries: Vec<HostEntry>) {
        if form == ListForm::Failed && self.terms.list_on_request {
            self.actions.push(Action::FollowList);
        }
        if form == ListForm::Whole {
            let all = self.hosts.values_mut();
            all.for_each(|host| host.entry.state = HostState::Gone);
        }
        let (all, own) = (f64::from(self.terms.dispatchers.max(1)), self.own_seats());
        for entry in entries {
            let (parent, cache) = (self.terms.cold_parent, self.terms.cold_cache);
            let (role, cold, dispatchers) = match Some(entry.kind) {
                kind if kind == self.terms.parent_kind => (Role::Parent, parent, all),
                kind if kind == self.terms.origin_kind => (Role::Origin, parent, all),
                _ => (Role::Cache, cache, own),
            };
            let host = self.hosts.entry(entry.host).or_insert_with(|| Host {
                entry,
                role,
                cold,
                dispatchers,
                breaker: Breaker::default(),
                heard: Moment::default(),
                slowness: (1.0, Moment::default()),
                out: 0,
                charged: VecDeque::new(),
            });
            if host.entry.started != entry.started {
                // A fresh process: what its predecessor did is no fault of it.
                host.breaker = Breaker::default();
            }
            host.entry = entry;
        }
        let is_origin = |host: &&Host| host.role == Role::Origin && host.ready();
        let origin = self.hosts.values().find(is_origin);
        self.origin = origin.map(|host| host.entry.host);
    }

    fn arrive(&mut self, now: Moment, asked: Arrival) {
        let track = &self.terms.tracks[usize::from(asked.track.0)];
        let told = asked.size_kb.map(|kb| kb / self.terms.flow_kb_per_s);
        let (sum, n) = &mut self.sending[usize::from(asked.track.0)];
        (*sum, *n) = told.map_or((*sum, *n), |send| (*sum + send, *n + 1.0));
        let send = told.unwrap_or(*sum / *n);
        let limit = now + asked.left;
        let access = Access {
            asked,
            send,
            due: limit.min(now + track.due + Span::from_secs_f64(send * track.due_stretch)),
            limit,
            tries: Vec::new(),
            wait_until: now,
            lacking: false,
            wake_at: None,
            ended: false,
        };
        self.touched.insert(access.asked.id);
        self.accesses.insert(access.asked.id, access);
    }

    /// What a hand-off is charged with: caches count the mean of a track, others the access itself.
    fn work(&self, access: &Access) -> f64 {
        let (sum, n) = self.sending[usize::from(access.asked.track.0)];
        access.send.max(sum / n)
    }

    fn track(&self, access: &Access) -> &Track {
        &self.terms.tracks[usize::from(access.asked.track.0)]
    }

    fn retriable(&self, access: &Access) -> bool {
        self.track(access).effect == Effect::Retriable
    }

    fn try_mut(&mut self, id: AccessId, no: HandOffNo) -> Option<&mut Try> {
        self.accesses.get_mut(&id)?.tries.get_mut(usize::from(no.0))
    }

    fn close(&mut self, id: AccessId) {
        if let Some(access) = self.accesses.get_mut(&id) {
            access.ended = true;
            let timed = access.wake_at.take().map(|at| (at, id));
            timed.map(|entry| self.timed.remove(&entry));
            (0..access.tries.len()).for_each(|no| self.withdraw(id, no));
            self.touched.insert(id);
        }
    }

    fn withdraw(&mut self, id: AccessId, no: usize) {
        let (hand_off, may) = (HandOffNo(no as u8), self.terms.may_withdraw);
        let free = |t: &&mut Try| may && t.out && !t.withdrawn;
        if let Some(attempt) = self.try_mut(id, hand_off).filter(free) {
            attempt.withdrawn = true;
            self.actions.push(Action::Withdraw { id, hand_off });
        }
    }

    fn outcome(&mut self, now: Moment, outcome: &Outcome) {
        let (id, ending) = (outcome.id, outcome.ending);
        let Some(attempt) = self.try_mut(id, outcome.hand_off).filter(|t| t.out) else {
            return;
        };
        let own = attempt.plan.host == attempt.plan.source;
        attempt.out = false;
        attempt.may_have_run = !ending.never_ran();
        attempt.failed = ending != Ending::Missed;
        let attempt = *attempt;
        self.learn(now, outcome, &attempt);
        if let Some(access) = self.accesses.get_mut(&id) {
            access.lacking |= ending == Ending::Missed && (attempt.plan.held_only || own);
            // The origin is asked again after a while: there is no other.
            let again = Some(attempt.plan.host) == self.origin;
            access.wait_until = if again { now + ORIGIN_WAIT } else { now };
        }
        self.touched.insert(id);
        if outcome.closed {
            self.close(id);
        }
    }

    /// Tells cache, parent and origin faults apart, by the note or by who else was heard since.
    fn learn(&mut self, now: Moment, outcome: &Outcome, attempt: &Try) {
        use Ending::*;
        let (ending, took) = (outcome.ending, outcome.took);
        let access = &self.accesses[&outcome.id];
        let (send, size_kb) = (access.send, access.asked.size_kb);
        let Plan { host, source, .. } = attempt.plan;
        let own = host == source;
        let answered = matches!(ending, Done | Error | Full | Missed);
        let hit = matches!(outcome.note, Note::Hit | Note::Stale);
        let filled = size_kb.is_none() || took > Span::from_secs_f64(send) + HOP;
        let per_byte = took.0 as f64 / size_kb.map_or(1.0, |kb| kb + 100.0);
        let latency = outcome.waited.map_or(per_byte, |waited| waited.0 as f64);
        if let Some(host) = self.hosts.get_mut(&host) {
            host.out -= 1;
            host.heard = if answered { now } else { host.heard };
            if hit && host.role == Role::Cache {
                let alone = Span::from_secs_f64(send * host.stretch(now)) + HOP;
                host.slowed(
                    now,
                    (took.as_secs_f64() / alone.as_secs_f64()).min(SLOW_HIT),
                );
            }
        }
        self.fills = (self.fills - attempt.missing).max(0.0);
        if ending == Done && attempt.missing > 0.0 && self.terms.notes != NoteLevel::None {
            self.missing += (f64::from(u8::from(!hit)) - self.missing) * MISSING_GAIN;
        }
        let of_cache = self.hosts[&host].role == Role::Cache;
        if let Some(told) = outcome.link_full.filter(|_| of_cache) {
            self.link_told = told;
        }
        // What goes straight to a parent is as late as the fills from there.
        let straight = self.hosts[&host].role == Role::Parent;
        let filler = if straight { host } else { source };
        if let Some(source) = self.hosts.get_mut(&filler).filter(|_| straight || !own) {
            if hit && !straight {
                let charged = (attempt.sent, send);
                source.charged.retain(|charge| *charge != charged);
            } else if matches!(ending, Done | TimedOut) {
                // Of an object of unknown size only the wait says how slow the source is.
                let waited = outcome.waited.filter(|_| size_kb.is_none());
                let fill = waited.map_or(took, |waited| waited + Span::from_secs_f64(send));
                let sample = fill.as_secs_f64() / (send + FILL_WAIT.as_secs_f64());
                source.slowed(now, sample);
            }
        }
        let good = |latency| Some(Verdict::Good(latency));
        let (bad, vague) = (Some(Verdict::Bad), Some(Verdict::Vague));
        let alive = good(None).filter(|_| answered);
        let unsure = !own && self.terms.notes != NoteLevel::All;
        let (of_host, of_source, of_origin) = match (ending, outcome.note) {
            (Done, Note::Filled) => (alive, good(Some(latency)), None),
            (Done, Note::FilledByOrigin) => (alive, good(None), good(Some(latency))),
            (_, Note::OriginFailed) => (alive, None, bad),
            (_, Note::SourceRefused | Note::SourceLost) => (alive, bad, None),
            (Done, _) if own => (good(Some(per_byte)), None, None),
            // Without notes what took longer than a hit was filled; without sizes any may have been.
            (Done, Note::Untold) if filled => (alive, good(size_kb.map(|_| latency)), None),
            (Error, Note::Untold) if !own && self.origin_hides(attempt) => (alive, None, None),
            // Either may be at fault where failed fills are not noted, or one turns an access away, as
            // a draining host does before the list tells: the one that answers others ends its run.
            (Error, Note::Untold) if unsure => (vague, vague, None),
            (Full, Note::Untold) if !own => (vague, vague, None),
            (Error, Note::SourceLacks | Note::NoFillPlace) => (alive, None, None),
            (NoConnection | Lost | Error, _) => (bad, None, None),
            _ => (alive, None, None),
        };
        self.judge(now, host, of_host, attempt);
        if !own {
            self.judge(now, source, of_source, attempt);
        }
        if let Some(origin) = self.origin {
            self.judge(now, origin, of_origin, attempt);
        }
    }

    /// An overdue hand-off is the fault of its host if nothing was heard from it since, else of its
    /// source if nothing came from there either.
    fn blame(&mut self, now: Moment, attempt: &Try) {
        let Plan { host, source, .. } = attempt.plan;
        let heard = |id: HostId| self.hosts[&id].heard > attempt.sent;
        if !heard(host) {
            self.judge(now, host, Some(Verdict::Bad), attempt);
        } else if host != source && !heard(source) && !self.origin_hides(attempt) {
            self.judge(now, source, Some(Verdict::Bad), attempt);
        }
    }

    /// A fetch behind the source may hang on a sick origin: then the source is not to blame.
    fn origin_hides(&self, attempt: &Try) -> bool {
        let sick = self.origin.is_some_and(|id| self.hosts[&id].sick());
        sick && !attempt.plan.held_only
    }

    fn judge(&mut self, now: Moment, id: HostId, verdict: Option<Verdict>, attempt: &Try) {
        let role = self.hosts[&id].role;
        let pooled = &mut self.pooled[role as usize];
        let Some(host) = self.hosts.get_mut(&id) else {
            return;
        };
        let before = host.sick();
        let mut latency = None;
        if let Some(Verdict::Good(told)) = verdict {
            (host.heard, latency) = (now, told);
        }
        let usual = host.breaker.usual.p95().or(pooled.p95());
        let limit = usual.map_or(f64::MAX, |usual| SLOW * usual);
        let slow =
            latency.is_some_and(|latency| latency > limit) || verdict == Some(Verdict::Vague);
        latency.into_iter().for_each(|latency| pooled.add(latency));
        if attempt.trial_of == Some(id) && host.breaker.phase == Phase::Trial {
            let late = latency.is_some_and(|latency| latency > TRIAL_WITHIN.0 as f64);
            let good = verdict.map(|verdict| matches!(verdict, Verdict::Good(_)) && !late);
            host.breaker.end_trial(now, role, good);
        } else if let Some(verdict) = verdict.filter(|_| !before) {
            host.breaker.judge(now, role, verdict, slow);
        }
        if before != host.sick() {
            let what = if before { "back by trial" } else { "open" };
            let text = format!("{role:?} {:x} breaker {what}", id.0);
            self.actions.push(Action::Log { text });
            let there = |t: &Try| t.out && (t.plan.host == id || t.plan.source == id);
            let all = self.accesses.iter();
            let waiting = all.filter(|(_, access)| access.tries.iter().any(there));
            self.touched.extend(waiting.map(|(id, _)| *id));
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
            while self.accesses.get(&id).is_some_and(|access| !access.ended) {
                match self.next_step(now, id) {
                    Step::Send(plan) => self.send(now, id, plan),
                    Step::Withdraw(no) => self.withdraw(id, no),
                    Step::GiveUp => self.give_up(id),
                    Step::Wait(until) => {
                        self.look_again(id, until);
                        break;
                    }
                }
            }
            let over = |access: &Access| access.ended && access.tries.iter().all(|t| !t.out);
            if self.accesses.get(&id).is_some_and(over) {
                self.accesses.remove(&id);
            }
        }
        let next = self.timed.first().map(|&(at, _)| at);
        if let Some(at) = next.filter(|&at| self.armed.is_none_or(|armed| at < armed)) {
            let wake = WakeId(0);
            self.armed = Some(at);
            self.actions.push(Action::Wake { at, wake });
        }
        std::mem::take(&mut self.actions)
    }

    fn look_again(&mut self, id: AccessId, at: Moment) {
        if let Some(access) = self.accesses.get_mut(&id) {
            let old = access.wake_at.replace(at).map(|old| (old, id));
            old.map(|entry| self.timed.remove(&entry));
            self.timed.insert((at, id));
        }
    }

    fn look_after_overdue(&mut self, now: Moment, id: AccessId) {
        let late = |t: &&mut Try| t.out && !t.blamed && now >= t.overdue_at;
        let access = self.accesses.get_mut(&id);
        if let Some(attempt) = access.and_then(|access| access.tries.iter_mut().find(late)) {
            attempt.blamed = true;
            let attempt = *attempt;
            self.blame(now, &attempt);
        }
    }

    fn next_step(&mut self, now: Moment, id: AccessId) -> Step {
        let access = &self.accesses[&id];
        if now >= access.limit {
            return Step::GiveUp;
        }
        if let Some(no) = access.tries.iter().position(|attempt| attempt.out) {
            let attempt = access.tries[no];
            if now < attempt.overdue_at {
                return Step::Wait(attempt.overdue_at.min(access.limit));
            }
            let lost = [attempt.plan.host, attempt.plan.source].map(|id| self.hosts[&id].sick());
            let free = !attempt.withdrawn && attempt.trial_of.is_none();
            if lost.contains(&true) && free && self.terms.may_withdraw && self.retriable(access) {
                return Step::Withdraw(no);
            }
            return Step::Wait(access.limit);
        }
        if access.tries.len() >= self.terms.max_hand_offs {
            return Step::GiveUp;
        }
        if now < access.wait_until {
            return Step::Wait(access.wait_until.min(access.limit));
        }
        self.plan(now, id).map_or(Step::GiveUp, Step::Send)
    }

    fn in_hash_order(&self, access: &Access, role: Role) -> Vec<HostId> {
        let zone = Some(self.terms.zone).filter(|_| role == Role::Cache);
        let wanted = |host: &&Host| {
            host.role == role && host.ready() && zone.is_none_or(|zone| host.entry.zone == zone)
        };
        // Parts spread over caches, or a long object crowds one; its fills still meet at one parent.
        let part = zone.map_or(0, |_| access.asked.part);
        let score = |host: &Host| {
            let size = Some(host.entry.size).filter(|_| self.terms.sizes_tell);
            let spread = point(access.asked.object, part, host.entry.host, 1);
            -spread.max(1e-12).ln() / size.unwrap_or(1.0).max(0.01)
        };
        let hosts = self.hosts.values().filter(wanted);
        let mut order: Vec<_> = hosts.map(|host| (score(host), host.entry.host)).collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        order.into_iter().map(|(_, id)| id).collect()
    }

    fn open_to(&self, now: Moment, access: &Access, id: HostId) -> bool {
        let host = &self.hosts[&id];
        let share = host.breaker.share().min(host.warmth(now));
        let within = point(access.asked.object, access.asked.part, id, 2) < share;
        let trial = host.breaker.wants_trial(now, self.retriable(access));
        let failed = host.role != Role::Origin && access.failed_at(id);
        !failed && (within || trial)
    }

    fn plan(&mut self, now: Moment, id: AccessId) -> Option<Plan> {
        for host in self.hosts.values_mut() {
            host.breaker.advance(now, host.role);
        }
        let access = &self.accesses[&id];
        let written = self.track(access).written;
        let origin = self.origin;
        let origin_open = origin.is_none_or(|id| self.open_to(now, access, id));
        let closed = |id: HostId| self.hosts[&id].breaker.phase == Phase::Closed;
        if access.lacking && origin.is_none_or(closed) {
            return None;
        }
        if (access.lacking || written) && self.terms.straight {
            return origin.filter(|_| origin_open).map(|id| Plan::new(id, id));
        }
        let cache = self.pick_cache(now, access);
        if written {
            return Some(Plan::new(cache?, origin.filter(|_| origin_open)?));
        }
        let source = self.pick_source(now, access, origin_open);
        // With no cache to go to, an access passes them by, straight to where it would be filled.
        let Some(host) = cache else {
            let behind = |id: HostId| origin.filter(|_| origin_open).unwrap_or(id);
            let caches = self.in_hash_order(access, Role::Cache);
            let lost = caches.iter().all(|id| self.hosts[id].sick());
            let may = self.terms.straight && (lost || self.link_crowd() < LINK_SPARE);
            return source.filter(|_| may).map(|id| Plan::new(id, behind(id)));
        };
        let mut plan = Plan::new(host, source.unwrap_or(host));
        plan.stale = source.is_none();
        // Behind a sick origin fetches would hang and fill the caches' places until they fall silent.
        plan.held_only = !origin_open;
        Some(plan)
    }

    /// The first open parent, or the origin where none is, if a fill from there would be in time.
    fn pick_source(&self, now: Moment, access: &Access, origin_open: bool) -> Option<HostId> {
        let has_room = |id: &HostId| {
            self.open_to(now, access, *id) && self.hosts[id].within_budget(now, access.send)
        };
        let mut sources = self.in_hash_order(access, Role::Parent);
        sources.retain(has_room);
        if sources.is_empty() {
            sources.extend(self.origin.filter(has_room));
        }
        // Past a late parent for a clearly quicker one only: were all slow, the origin would be why.
        let slowness = |id: &HostId| self.hosts[id].slowness(now);
        let first = *sources.first()?;
        sources.retain(|id| *id == first || slowness(id) * CONTRAST <= slowness(&first));
        let crowd = Span::from_secs_f64(access.send * self.link_crowd().max(1.0)) + FILL_WAIT;
        let in_time = |id: &HostId| {
            // What a parent holds comes no later for a sick origin behind it.
            let slowness = Some(slowness(id)).filter(|_| origin_open).unwrap_or(1.0);
            let takes = (Span::from_secs_f64(access.send) + FILL_WAIT).times(slowness);
            now + takes.max(crowd) <= access.due
        };
        sources.into_iter().find(in_time)
    }

    /// Fills on the zone's link over those that fit at the pace of an answer.
    fn link_crowd(&self) -> f64 {
        let carries = self.terms.link_kb_per_s.filter(|_| !self.terms.link_told);
        let under_way = (self.fills + 1.0) * self.own_seats() * self.terms.flow_kb_per_s;
        carries.map_or(self.link_told / FILL_PACE, |carries| under_way / carries)
    }

    fn own_seats(&self) -> f64 {
        let own = self.terms.seats.get(usize::from(self.terms.zone.0));
        f64::from(own.copied().unwrap_or(self.terms.dispatchers).max(1))
    }

    /// The object's first ready cache that has room, else the least crowded, if it is in time.
    fn pick_cache(&self, now: Moment, access: &Access) -> Option<HostId> {
        let work = self.work(access);
        let mut caches = self.in_hash_order(access, Role::Cache);
        caches.retain(|id| self.hosts[id].within_budget(now, work));
        let stretch = |id: &HostId| self.hosts[id].stretch(now);
        let slow = |id: &HostId| stretch(id) * self.hosts[id].slowness(now);
        let first = |id: &&HostId| self.open_to(now, access, **id) && slow(id) <= SPILL_AT;
        let usable = |id: &&HostId| !access.failed_at(**id) && !self.hosts[id].sick();
        let crowd = |a: &&HostId, b: &&HostId| stretch(a).total_cmp(&stretch(b));
        let least = || caches.iter().filter(usable).min_by(crowd);
        let host = *caches.iter().find(first).or_else(least)?;
        let margin = access.asked.size_kb.map_or(GUESS_MARGIN, |_| 1.0);
        let takes = Span::from_secs_f64(access.send * stretch(&host) * margin) + HOP;
        (self.track(access).written || now + takes <= access.due).then_some(host)
    }

    /// Rule 2: whether what may have run allows a hand-off to this host.
    fn may_run_again(&self, now: Moment, access: &Access, host: HostId) -> bool {
        let mut ran = access.tries.iter().filter(|t| t.may_have_run);
        match self.track(access).effect {
            // It is withdrawn before it goes out again: never two at once.
            Effect::Retriable => access.tries.iter().all(|t| !t.out),
            Effect::Binding => ran.next().is_none(),
            Effect::Fingerprinted { group, window } => ran.all(|earlier| {
                let [a, b] = [earlier.plan.host, host].map(|id| &self.hosts[&id].entry);
                let same = match group {
                    RepeatGroup::All => true,
                    RepeatGroup::Zone => a.zone == b.zone,
                    RepeatGroup::Cell => a.cell == b.cell,
                };
                same && now < earlier.sent + window
            }),
        }
    }

    /// Rule 5: the oldest copy that will do, given the latest purge of the object or its group.
    fn oldest(&self, now: Moment, access: &Access, stale: bool) -> Option<Span> {
        let track = self.track(access);
        let keys = [Some(access.asked.object), None].map(|key| (access.asked.group, key));
        let purged = keys.iter().filter_map(|key| self.purges.get(key)).max();
        let since = purged.map(|&at| now.since(at));
        let grace = track.grace.times(f64::from(u8::from(stale)));
        let aged = track.fresh.filter(|_| stale || purged.is_some());
        let aged = aged.map(|fresh| fresh + grace);
        since.into_iter().chain(aged).min()
    }

    /// The one gate that every hand-off passes, with each rule at its own place.
    fn passes(&self, now: Moment, access: &Access, plan: &Plan) -> bool {
        let (host, source) = (&self.hosts[&plan.host], &self.hosts[&plan.source]);
        let own = plan.host == plan.source;
        // Rule 1: nothing goes out for an access that has ended or whose client has given up.
        let open = !access.ended && now < access.limit;
        // Rule 3: neither host nor source may drain or be gone.
        let kept = host.ready() && source.ready();
        let cold = host.within_budget(now, self.work(access));
        let cold = cold && (own || source.within_budget(now, access.send));
        open && kept && cold && self.may_run_again(now, access, plan.host)
    }

    fn send(&mut self, now: Moment, id: AccessId, plan: Plan) {
        let access = &self.accesses[&id];
        if !self.passes(now, access, &plan) {
            return self.give_up(id);
        }
        let key = (access.asked.object, access.asked.part);
        let written = self.track(access).written;
        let seen = !written && self.seen_again(key);
        let access = &self.accesses[&id];
        let (track, host) = (self.track(access), &self.hosts[&plan.host]);
        let own = plan.host == plan.source;
        let fill = Fill {
            source: plan.source,
            rank: u8::from(!written) + u8::from(seen),
            oldest: self.oldest(now, access, plan.stale),
            join: self.terms.joins && !own,
            held_only: plan.held_only && !own,
            renew: track.fresh.is_some() && !plan.stale,
        };
        let fill = Some(fill).filter(|_| host.role != Role::Origin);
        let sending = Span::from_secs_f64(access.send * host.stretch(now)) + HOP;
        let overdue_at = now + sending.times(PATIENCE) + track.due.times(WAIT_OF_DUE);
        let missing = match host.role {
            Role::Cache if own || written => 0.0,
            Role::Cache => self.missing,
            Role::Parent | Role::Origin => f64::from(u8::from(!written)),
        };
        let (work, send) = (self.work(access), access.send);
        let charges = [(plan.host, work, 1), (plan.source, send, 0)];
        let mut trial_of = None;
        for (id, work, out) in charges.into_iter().take(if own { 1 } else { 2 }) {
            if let Some(host) = self.hosts.get_mut(&id) {
                let window = host.cold.fall_after;
                host.charged.retain(|charge| now.since(charge.0) <= window);
                host.charged.push_back((now, work));
                host.out += out;
                if trial_of.is_none() && host.breaker.wants_trial(now, true) {
                    host.breaker.phase = Phase::Trial;
                    trial_of = Some(id);
                }
            }
        }
        self.fills += missing;
        if let Some(access) = self.accesses.get_mut(&id) {
            access.tries.push(Try {
                plan,
                sent: now,
                overdue_at,
                out: true,
                may_have_run: true,
                failed: false,
                blamed: false,
                withdrawn: false,
                trial_of,
                missing,
            });
        }
        let host = plan.host;
        let hand_off = HandOff { id, host, fill };
        self.actions.push(Action::HandOff(hand_off));
    }

    fn seen_again(&mut self, key: (ObjectId, u32)) -> bool {
        let again = self.seen.iter().any(|half| half.contains(&key));
        if self.seen[0].len() >= SEEN_HALF {
            self.seen.swap(0, 1);
            self.seen[0].clear();
        }
        self.seen[0].insert(key);
        again
    }

    /// The final answer where nothing more can be done: a rejection where trying again is harmless.
    fn give_up(&mut self, id: AccessId) {
        let access = &self.accesses[&id];
        let ran = access.tries.iter().any(|t| t.may_have_run);
        let harmless = match self.track(access).effect {
            Effect::Retriable => true,
            Effect::Binding => !ran,
            Effect::Fingerprinted { group, .. } => !ran || group == RepeatGroup::All,
        };
        let spread = COME_BACK.times(0.75 + 0.5 * self.chance.f64());
        let come_back = self.terms.longest_away.map(|longest| spread.min(longest));
        self.actions.push(match harmless {
            true => Action::Reject { id, come_back },
            false => Action::Abort { id },
        });
        self.close(id);
    }
}
