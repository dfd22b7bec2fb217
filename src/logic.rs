//! Every decision of a dispatcher, with its tables and tuned values. Call [`Dispatcher::new`] once,
//! [`Dispatcher::handle_event`] for each event of a batch, then [`Dispatcher::take_actions`] once: it answers with the
//! actions that lead from what is out, held and timed to what should be.
//!
//! The design: a breaker per host over a sliding window, hash order over caches and parents, stale
//! or rejection where every parent is open, return by one trial and a rising share. Beside it stand the
//! cold budget, due-time admission, spill, silence watch, origin shield, keep-rank and probes.

use crate::interface::*;
use crate::policy::breaker::*;
use crate::policy::host::*;
use crate::policy::permits::{self, EarlierAttempt, SendFacts};
use crate::policy::refusals::{DEFAULT_RETRY_AFTER, GiveUpReason};
use crate::units::*;
use std::collections::{BTreeMap, BTreeSet};

/// A fill this many times slower than the usual 95th percentile fails (the design has 3; a bin adds up to 1.7).
const SLOW: f64 = 2.0;
/// Up to this predicted stretch an access stays at its first cache. Lower loses hits, higher loses time.
const SPILL_AT: f64 = 3.0;
/// Added to a sending time of guessed size. Lower lets large ones crowd caches, higher rejects small.
const GUESS_MARGIN: f64 = 1.3;
const HOP: TimeSpan = TimeSpan::from_millis(40); // what an answer takes besides its sending
const FILL_WAIT: TimeSpan = TimeSpan::from_millis(100); // what a fill takes besides its sending
/// A hand-off is overdue after this many times its predicted sending and the longer of a part of the track's
/// due time and so many usual waits for a fill. Lower blames the slow; higher holds on to the silent.
const PATIENCE: f64 = 1.5;
const WAIT_OF_DUE: f64 = 0.6;
const USUAL_WAITS: f64 = 3.0;
const ORIGIN_WAIT: TimeSpan = TimeSpan::from_millis(60); // between two hand-offs of an access to the origin
/// What was known of a host is forgotten so long after it left the list; a late list may name it once more.
const FORGET: TimeSpan = TimeSpan::from_secs(60);
const SEEN: usize = 50_000; // so many objects seen are remembered, before all are forgotten
/// How much faster than an answer a fill runs at least: a fuller link delays answers. Higher fills the link.
const FILL_PACE: f64 = 1.75;
/// Weight of the newest answer in the share that needed a fill and in the slowness of a cache.
const FIRST_MISSING: f64 = 0.4;
const MISSING_GAIN: f64 = 0.02;
const SLOWNESS_GAIN: f64 = 0.1;
/// How often a host is probed; what a cache and a parent of untold size is taken for, and for how many busy
/// seconds that counts. Probes cost hosts work; a larger guess risks cold hosts, a smaller one rejects.
const PROBE_EVERY: TimeSpan = TimeSpan::from_secs(2);
const FIRST_SIZES: [f64; 3] = [4.0, 16.0, 16.0];
const FIRST_COUNTS: f64 = 3.0;
/// Busy seconds remembered of a kind.
const REMEMBERED: f64 = 120.0;

/// One purge.
#[derive(Clone, Copy, Default)]
struct Purge {
    /// When, on the own clock, at the latest.
    at: Timestamp,
    /// When it was told.
    heard: Timestamp,
    /// When, by the clock that stamps copies.
    stamp: Option<Timestamp>,
}

struct Request {
    arrival: Arrival,
    send: f64, // predicted sending time alone, in seconds
    due: Timestamp,
    limit: Timestamp,
    tries: Vec<Try>,
    lacking: bool,
    ended: bool,
}

impl Request {
    fn failed_at(&self, id: HostId) -> bool {
        (self.tries.iter()).any(|t| t.failed && [t.plan.host, t.plan.source].contains(&id))
    }
}

#[derive(Clone, Copy, Default)]
struct Try {
    plan: Plan,
    held_only: bool,
    sent: Timestamp,
    overdue_at: Timestamp,
    out: bool,
    may_have_run: bool,
    failed: bool,
    blamed: bool,
    withdrawn: bool,
    trial_of: Option<HostId>,
    missing: f64,
}

/// Where an access goes, and what fills a miss there: nothing where both are the same.
#[derive(Clone, Copy, Default)]
struct Plan {
    host: HostId,
    source: HostId,
}

enum Step {
    Wait(Timestamp),
    Send(Plan),
    Withdraw(usize),
    GiveUp(GiveUpReason),
}

pub struct Dispatcher<C = Standalone> {
    /// What crosses between zones, and whether there is room for more.
    pub crossings: C,
    terms: DispatcherSettings,
    chance: fastrand::Rng,
    hosts: BTreeMap<HostId, Host>,
    caches: Vec<HostId>,
    parents: Vec<HostId>,
    origin: Option<HostId>,
    accesses: BTreeMap<RequestId, Request>,
    /// Accesses to look at when settling, those to look at later, and the wake-up asked for.
    touched: BTreeSet<RequestId>,
    timed: BTreeSet<(Timestamp, RequestId)>,
    armed: Option<Timestamp>,
    purges: BTreeMap<(GroupId, Option<ObjectId>), Purge>,
    seen: BTreeSet<(ObjectId, u32)>,
    sending: Vec<(f64, f64)>, // sending times by track: their sum in seconds and their number
    pooled: [Histogram; 3],
    waits: Histogram, // how long fills took besides their sending
    /// Fills that are likely under way for this dispatcher, and the share that needed one lately.
    fills: Level,
    missing: f64,
    link_told: f64,
    at_caches: Level,
    zone_size: f64,
    /// By kind, where sizes are not told: what all dispatchers had sent, and the busy seconds it took.
    learnt: BTreeMap<KindId, (f64, f64)>,
    probe_at: Timestamp,
    probed: HostId,
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

/// Dispatchers in the own zone, or in all where that is not told.
fn seats(terms: &DispatcherSettings) -> f64 {
    let own = terms.dispatchers_by_zone.get(usize::from(terms.zone.0));
    f64::from(own.copied().unwrap_or(terms.dispatchers).max(1))
}

impl<C: CrossingLimits + PeerKnowledge> Dispatcher<C> {
    pub fn new(crossings: C, terms: DispatcherSettings, seed: u64) -> Dispatcher<C> {
        let first_guess = |track: &ClassSettings| (track.target.as_secs_f64() * 0.5, 1.0);
        Dispatcher {
            crossings,
            chance: fastrand::Rng::with_seed(seed),
            hosts: BTreeMap::new(),
            caches: Vec::new(),
            parents: Vec::new(),
            origin: None,
            accesses: BTreeMap::new(),
            touched: BTreeSet::new(),
            timed: BTreeSet::new(),
            armed: None,
            purges: BTreeMap::new(),
            seen: BTreeSet::new(),
            sending: terms.classes.iter().map(first_guess).collect(),
            pooled: Default::default(),
            waits: Histogram::default(),
            fills: Level::default(),
            missing: FIRST_MISSING,
            link_told: 0.0,
            at_caches: Level::default(),
            zone_size: 1.0,
            learnt: BTreeMap::new(),
            probe_at: Timestamp::default(),
            probed: HostId::default(),
            actions: Vec::from_iter(
                terms
                    .host_list_on_request
                    .then_some(Action::RequestHostList),
            ),
            terms,
        }
    }

    /// How many hosts it keeps something of, for a check that the table stays bounded.
    pub fn tracked_hosts(&self) -> usize {
        self.hosts.len()
    }

    /// Takes one event; nothing goes out before [`Dispatcher::take_actions`].
    pub fn handle_event(&mut self, now: Timestamp, event: Event) {
        self.crossings.on_event(now, &event);
        match event {
            Event::HostList { kind, entries } => self.list(now, kind, entries),
            Event::Arrived(arrival) => self.arrive(now, arrival),
            Event::Outcome(outcome) => self.outcome(now, &outcome),
            Event::ResponseStarted { id, attempt } => {
                let begun = self.try_mut(id, attempt);
                begun.into_iter().for_each(|t| t.withdrawn = true);
                self.close(id);
            }
            Event::ClientGone { id } => self.close(id),
            Event::Probed { host, ending, load } => self.probed(now, host, ending, load),
            Event::PeerBreakerOpened { host } => (self.hosts.get_mut(&host).into_iter())
                .for_each(|host| host.breaker.run = host.breaker.run.max(RUN_ACTS - 1)),
            Event::TimerFired { .. } => self.armed = self.armed.filter(|&at| at > now),
            Event::Purged {
                object,
                group,
                age,
                stamp,
            } => self.purged(now, object, group, now - age, stamp),
        }
    }

    fn purged(
        &mut self,
        now: Timestamp,
        object: Option<ObjectId>,
        group: GroupId,
        at: Timestamp,
        stamp: Option<Timestamp>,
    ) {
        let forget = self.forgets_purges_after();
        self.purges.retain(|_, purge| now.since(purge.at) < forget);
        let group = object.map_or(group, |_| GroupId::default()); // an object's may be untold
        let purge = self.purges.entry((group, object)).or_default();
        purge.at = purge.at.max(at);
        purge.heard = now;
        purge.stamp = purge.stamp.max(stamp);
    }

    /// By then no host has a copy from before a purge.
    fn forgets_purges_after(&self) -> TimeSpan {
        self.terms.purge_propagation.mul_f64(3.0)
    }

    /// The purges of an object and of its group that still bind.
    fn purges_of(&self, now: Timestamp, access: &Request) -> impl Iterator<Item = &Purge> {
        let (object, group) = (access.arrival.object, access.arrival.group);
        let keys = [(GroupId::default(), Some(object)), (group, None)];
        let forget = self.forgets_purges_after();
        let known = keys.into_iter().filter_map(|key| self.purges.get(&key));
        known.filter(move |purge| now.since(purge.at) < forget)
    }

    /// Rule 5, by stamps alone: whether a copy that was given out then may answer an attempt. A host whose clock is wrong,
    /// or that heeds no age, may answer from before a purge that was told before the attempt went out.
    pub fn admits_copy(
        &self,
        now: Timestamp,
        id: RequestId,
        no: AttemptNo,
        minted: Timestamp,
    ) -> bool {
        let Some(access) = self.accesses.get(&id) else {
            return true;
        };
        let sent = access.tries.get(usize::from(no.0)).map(|t| t.sent);
        let told_before = |purge: &&Purge| sent.is_some_and(|sent| purge.heard <= sent);
        let mut binding = self.purges_of(now, access).filter(told_before);
        binding.all(|purge| purge.stamp.is_none_or(|stamp| minted > stamp))
    }

    fn list(&mut self, now: Timestamp, form: HostListKind, entries: Vec<HostEntry>) {
        if form == HostListKind::Failed && self.terms.host_list_on_request {
            self.actions.push(Action::RequestHostList);
        }
        let all = self
            .hosts
            .values_mut()
            .filter(|_| form == HostListKind::Full);
        all.for_each(|host| host.list_as(now, HostState::Gone));
        let mean = self.mean_send();
        let (all, own) = (f64::from(self.terms.dispatchers.max(1)), seats(&self.terms));
        let (parent, cache) = (self.terms.parent_slow_start, self.terms.cache_slow_start);
        for entry in entries {
            let (role, cold, dispatchers) = match Some(entry.kind) {
                kind if kind == self.terms.parent_kind => (Role::Parent, parent, all),
                kind if kind == self.terms.origin_kind => (Role::Origin, parent, all),
                _ => (Role::Cache, cache, own),
            };
            let before = self.hosts.get(&entry.host).map(|host| host.entry.stamp);
            let fresh = || Host {
                entry,
                role,
                cold,
                dispatchers,
                breaker: Breaker::default(),
                heard: Timestamp::default(),
                slowness: (1.0, Timestamp::default()),
                out: 0,
                size: entry.capacity,
                busy: None,
                done: 0.0,
                left: now,
                allowance: (0.0, now),
            };
            let host = self.hosts.entry(entry.host).or_insert_with(fresh);
            host.list_as(now, entry.state);
            (host.entry, host.role) = (entry, role);
            (host.cold, host.dispatchers) = (cold, dispatchers);
            let first = (FIRST_SIZES[role as usize] * FIRST_COUNTS, FIRST_COUNTS);
            let learnt = *self.learnt.entry(entry.kind).or_insert(first);
            let told = Some(entry.capacity).filter(|_| self.terms.capacities_reported);
            host.size = told.unwrap_or(learnt.0 / learnt.1);
            if before != Some(entry.stamp) {
                // A fresh process: what its predecessor did is no fault of it. Each dispatcher begins
                // at another point of its debt, or all would send at once.
                host.breaker = Breaker::default();
                host.allowance = (-self.chance.f64() * host.cost(now, mean), now);
            }
        }
        let tries = self.accesses.values().flat_map(|access| &access.tries);
        let named: BTreeSet<_> = tries.flat_map(|t| [t.plan.host, t.plan.source]).collect();
        let gone = |host: &Host| host.entry.state == HostState::Gone;
        let over = |host: &Host| gone(host) && now.since(host.left) >= FORGET;
        (self.hosts).retain(|id, host| !over(host) || named.contains(id));
        let ready = self.hosts.values().filter(|host| host.ready());
        let of = |role| ready.clone().filter(move |host| host.role == role);
        let own = of(Role::Cache).filter(|host| host.entry.zone == self.terms.zone);
        self.zone_size = own.clone().map(|host| host.size).sum();
        self.caches = own.map(|host| host.entry.host).collect();
        self.parents = of(Role::Parent).map(|host| host.entry.host).collect();
        self.origin = of(Role::Origin).map(|host| host.entry.host).next();
    }

    /// What hosts say when they are probed: how full the link is, how busy they are, or nothing.
    fn probed(&mut self, now: Timestamp, id: HostId, ending: Ending, load: Load) {
        // A probe that fails blames nobody: hosts answer few at once, and a deep one waits behind accesses.
        let answered = |_: &&mut Host| ending == Ending::Done;
        let Some(host) = self.hosts.get_mut(&id).filter(answered) else {
            return;
        };
        let told = load.link_utilization.filter(|_| host.role == Role::Cache);
        self.link_told = told.unwrap_or(self.link_told);
        let Some(busy) = load.utilization else { return };
        let done = std::mem::take(&mut host.done) * host.dispatchers;
        let usual = host.warmth(now) >= 1.0 && !host.sick();
        let before = host.busy.replace((busy, now)).filter(|_| usual);
        let (kind, learnt) = (host.entry.kind, self.learnt.get_mut(&host.entry.kind));
        if let Some((learnt, (was, at))) = learnt.zip(before) {
            let spent = (was + busy) / 2.0 * now.since(at).as_secs_f64();
            let kept = if learnt.1 > REMEMBERED { 0.5 } else { 1.0 };
            *learnt = (learnt.0 * kept + done, learnt.1 * kept + spent);
            let size = learnt.0 / learnt.1;
            let untold =
                |host: &&mut Host| host.entry.kind == kind && !self.terms.capacities_reported;
            (self.hosts.values_mut().filter(untold)).for_each(|host| host.size = size);
            self.zone_size = self.caches.iter().map(|id| self.hosts[id].size).sum();
        }
    }

    /// Other terms hold from now on, with the same tracks, zone and effects. What is open, the list with its
    /// rules, purges and breakers stay; what was measured in another unit is learnt afresh.
    pub fn apply_settings(&mut self, now: Timestamp, terms: DispatcherSettings) {
        let paced = |terms: &DispatcherSettings| (terms.stream_kb_per_s, terms.capacities_reported);
        if paced(&terms) != paced(&self.terms) {
            self.learnt.clear();
            (self.sending.iter_mut()).for_each(|(sum, n)| (*sum, *n) = (*sum / *n, 1.0));
        }
        if terms.note_level != self.terms.note_level {
            self.pooled = Default::default();
            (self.hosts.values_mut()).for_each(|host| host.breaker.usual = Default::default());
        }
        (self.hosts.values_mut()).for_each(|host| (host.busy, host.done) = (None, 0.0));
        (self.link_told, self.probe_at) = (0.0, now);
        self.terms = terms;
        let entries = self.hosts.values().map(|host| host.entry).collect();
        self.list(now, HostListKind::Delta, entries);
    }

    /// From now on work for cold caches and parents is divided among so many; what is saved or owed stays.
    pub fn set_slow_start_shares(
        &mut self,
        now: Timestamp,
        caches: Option<f64>,
        parents: Option<f64>,
    ) {
        (
            self.terms.cache_slow_start.shared_by,
            self.terms.parent_slow_start.shared_by,
        ) = (caches, parents);
        let mean = self.mean_send();
        for host in self.hosts.values_mut() {
            let (before, allowance) = (host.among(), host.allowance(now, mean));
            host.cold.shared_by = [caches, parents][usize::from(host.role != Role::Cache)];
            host.allowance = ((allowance * host.among() / before).min(SAVED), now);
        }
    }

    /// One host after another is asked for its load, each as often as the others.
    fn probe(&mut self, now: Timestamp) {
        let all = || self.caches.iter().chain(&self.parents);
        if !self.terms.probes_enabled || now < self.probe_at {
            return;
        }
        let next = all().filter(|id| **id > self.probed).min().or(all().min());
        self.probed = next.copied().unwrap_or_default();
        (self.actions).extend(next.map(|&host| Action::Probe { host }));
        self.probe_at = now + PROBE_EVERY.mul_f64(1.0 / all().count().max(1) as f64);
    }

    fn arrive(&mut self, now: Timestamp, arrival: Arrival) {
        let track = &self.terms.classes[usize::from(arrival.class.0)];
        let told = arrival.size_kb.map(|kb| kb / self.terms.stream_kb_per_s);
        let (sum, n) = &mut self.sending[usize::from(arrival.class.0)];
        (*sum, *n) = told.map_or((*sum, *n), |send| (*sum + send, *n + 1.0));
        let send = told.unwrap_or(*sum / *n);
        let limit = now + arrival.time_left;
        let access = Request {
            arrival,
            send,
            due: limit
                .min(now + track.target + TimeSpan::from_secs_f64(send * track.target_stretch)),
            limit,
            tries: Vec::new(),
            lacking: false,
            ended: false,
        };
        self.touched.insert(access.arrival.id);
        self.accesses.insert(access.arrival.id, access);
    }

    /// What a hand-off is charged with: caches count the mean of a track, others the access itself.
    fn work(&self, access: &Request) -> f64 {
        let (sum, n) = self.sending[usize::from(access.arrival.class.0)];
        access.send.max(sum / n)
    }

    fn mean_send(&self) -> f64 {
        let all = self.sending.iter().fold(0.0, |all, (sum, n)| all + sum / n);
        all / self.sending.len().max(1) as f64
    }

    /// Rule 4: whether a host can take this work out of this dispatcher's part. The last may overdraw, or
    /// one of hundreds could never send; the debt is waited off. No work may exceed the whole limit.
    fn has_budget(&self, now: Timestamp, id: HostId, work: f64) -> bool {
        let host = &self.hosts[&id];
        let bears = || host.cost(now, work * COLD_USE) <= host.among();
        host.warmth(now) >= 1.0 || bears() && host.allowance(now, self.mean_send()) >= 0.0
    }

    fn track(&self, access: &Request) -> &ClassSettings {
        &self.terms.classes[usize::from(access.arrival.class.0)]
    }

    fn try_mut(&mut self, id: RequestId, no: AttemptNo) -> Option<&mut Try> {
        self.accesses.get_mut(&id)?.tries.get_mut(usize::from(no.0))
    }

    fn close(&mut self, id: RequestId) {
        if let Some(access) = self.accesses.get_mut(&id) {
            access.ended = true;
            (0..access.tries.len()).for_each(|no| self.withdraw(id, no));
            self.touched.insert(id);
        }
    }

    fn withdraw(&mut self, id: RequestId, no: usize) {
        let (attempt_no, may) = (AttemptNo(no as u8), self.terms.may_cancel);
        let free = |t: &&mut Try| may && t.out && !t.withdrawn;
        if let Some(attempt) = self.try_mut(id, attempt_no).filter(free) {
            attempt.withdrawn = true;
            self.actions.push(Action::Cancel {
                id,
                attempt: attempt_no,
            });
        }
    }

    fn outcome(&mut self, now: Timestamp, outcome: &Outcome) {
        let (id, ending) = (outcome.id, outcome.ending);
        let Some(attempt) = self.try_mut(id, outcome.attempt).filter(|t| t.out) else {
            return;
        };
        let own = attempt.plan.host == attempt.plan.source;
        attempt.out = false;
        attempt.may_have_run = !ending.never_ran();
        attempt.failed = ending != Ending::Miss;
        let attempt = *attempt;
        self.learn(now, outcome, &attempt);
        let lacks = ending == Ending::Miss && (attempt.held_only || own);
        (self.accesses.get_mut(&id).into_iter()).for_each(|access| access.lacking |= lacks);
        self.touched.insert(id);
        if outcome.request_closed {
            self.close(id);
        }
    }

    /// Tells cache, parent and origin faults apart, by the note or by who else was heard since.
    fn learn(&mut self, now: Timestamp, outcome: &Outcome, attempt: &Try) {
        use {Ending::*, Verdict::*};
        let (ending, took) = (outcome.ending, outcome.elapsed);
        let access = &self.accesses[&outcome.id];
        let (send, size_kb) = (access.send, access.arrival.size_kb);
        let Plan { host, source, .. } = attempt.plan;
        let own = host == source;
        let answered = matches!(ending, Done | Error | Full | Miss);
        let hit = matches!(outcome.note, Note::Hit | Note::Stale);
        let filled = size_kb.is_none() || took > TimeSpan::from_secs_f64(send) + HOP;
        let per = |span: TimeSpan| span.0 as f64 / size_kb.map_or(1.0, |kb| kb + 100.0);
        let per_byte = per(took);
        let latency = outcome
            .first_byte_latency
            .map_or(per_byte, |waited| waited.0 as f64);
        let alone = TimeSpan::from_secs_f64(send * self.stretch(now, &self.hosts[&host])) + HOP;
        let of_cache = self.hosts[&host].role == Role::Cache;
        self.at_caches.add(now, if of_cache { -1.0 } else { 0.0 });
        if let Some(host) = self.hosts.get_mut(&host) {
            host.out -= 1;
            host.heard = if answered { now } else { host.heard };
            host.done += send * f64::from(u8::from(ending == Done));
            let at_full_pace = host.busy.is_some_and(|(busy, _)| busy < AT_EASE);
            if hit && of_cache && size_kb.is_none() && at_full_pace {
                let (sum, n) = &mut self.sending[usize::from(access.arrival.class.0)];
                (*sum, *n) = (*sum + took.as_secs_f64(), *n + 1.0);
            }
            if hit && of_cache {
                let (ratio, before) = (took.0 as f64 / alone.0 as f64, host.slowness(now));
                host.slowness = (before + (ratio - before) * SLOWNESS_GAIN, now);
            }
        }
        self.fills.add(now, -attempt.missing);
        if ending == Done && attempt.missing > 0.0 && outcome.note != Note::NotReported {
            self.missing += (f64::from(u8::from(!hit)) - self.missing) * MISSING_GAIN;
        }
        let told = outcome.load.link_utilization.filter(|_| of_cache);
        self.link_told = told.unwrap_or(self.link_told);
        if let Some(source) = self.hosts.get_mut(&source).filter(|_| of_cache && !own) {
            source.done += send * f64::from(u8::from(ending == Done && !hit));
            if hit {
                source.allowance.0 += source.cost(now, send);
            } else if matches!(ending, Done | TimedOut) {
                self.waits.add((took - alone).0 as f64);
            }
        }
        let good = |latency| Some(Good(latency));
        let untold = self.terms.note_level != NoteLevel::All;
        let (bad, vague, crowded) = (Some(Bad), Some(Vague), Some(Crowded));
        let alive = good(None).filter(|_| answered);
        let (of_host, of_source, of_origin) = match (ending, outcome.note) {
            (Error | ConnectionLost, _) if !outcome.client_proven => (None, None, None),
            (Done, Note::Filled) => (alive, good(Some(latency)), None),
            (Done, Note::FilledByOrigin) if attempt.blamed => (alive, good(None), vague),
            (Done, Note::FilledByOrigin) => (alive, good(None), good(Some(latency))),
            (_, Note::OriginFailed) => (alive, None, crowded),
            (_, Note::SourceRefused) => (alive, crowded, None),
            (_, Note::SourceLost) => (alive, bad, None),
            (Full, _) if own && !of_cache => (crowded, None, None),
            (Done, _) if own && attempt.blamed => (vague, None, None),
            // Within its prediction no hit is slow: how many times quicker others were is chance there.
            (Done, _) if own => (good(Some(per_byte.max(per(alone)))), None, None),
            (Done, Note::NotReported) if filled => (alive, good(size_kb.map(|_| latency)), None),
            (Error, Note::NotReported) if !own && self.origin_hides(attempt) => (alive, None, None),
            // Either may be at fault, or one drains before the list tells: who answers others ends its run.
            (Error, Note::NotReported) if !own && untold => (vague, vague, None),
            (Full, Note::NotReported) if !own => (vague, vague, None),
            (ConnectionLost, _) => (vague, None, None),
            (NoConnection, _) | (Error, Note::NotReported) => (bad, None, None),
            _ => (alive, None, None),
        };
        let origin = self.origin.filter(|_| of_origin.is_some());
        let both = [(host, of_host), (source, of_source)];
        for (id, verdict) in both.into_iter().take(if own { 1 } else { 2 }) {
            if Some(id) != origin && (verdict.is_some() || attempt.trial_of == Some(id)) {
                self.judge(now, id, verdict, attempt);
            }
        }
        (origin.into_iter()).for_each(|id| self.judge(now, id, of_origin, attempt));
    }

    /// An overdue hand-off is its host's fault if nothing was heard from it since, else its source's if it
    /// was not either, or not lately while another parent was, else an origin's that served none well since.
    fn blame(&mut self, now: Timestamp, id: RequestId) {
        let late = |t: &&mut Try| t.out && !t.blamed && now >= t.overdue_at;
        let tries = self.accesses.get_mut(&id).map(|access| &mut access.tries);
        let Some(attempt) = tries.and_then(|tries| tries.iter_mut().find(late)) else {
            return;
        };
        attempt.blamed = true;
        let attempt = *attempt;
        let Plan { host, source, .. } = attempt.plan;
        let lately = attempt.sent + now.since(attempt.sent).mul_f64(0.5);
        let quiet = |id: &HostId| self.hosts[id].heard <= lately;
        let others = !self.parents.iter().all(quiet);
        let alone = others && quiet(&source) && self.parents.contains(&source);
        let silent = |id: HostId| self.hosts[&id].heard <= attempt.sent && Some(id) != self.origin;
        let unwell = |id: &HostId| self.hosts[id].breaker.well <= attempt.sent;
        if silent(host) {
            self.judge(now, host, Some(Verdict::Bad), &attempt);
        } else if (alone || silent(source)) && !self.origin_hides(&attempt) {
            self.judge(now, source, Some(Verdict::Bad), &attempt);
        } else if let Some(origin) = self.origin.filter(unwell) {
            let crowded = Some(Verdict::Crowded).filter(|_| !attempt.held_only);
            self.judge(now, origin, crowded, &attempt);
        }
    }

    /// A fetch behind the source may hang on a sick origin: then the source is not to blame.
    fn origin_hides(&self, attempt: &Try) -> bool {
        let phase = self.origin.map(|id| self.hosts[&id].breaker.phase);
        phase.is_some_and(|phase| phase != Phase::Closed) && !attempt.held_only
    }

    fn judge(&mut self, now: Timestamp, id: HostId, verdict: Option<Verdict>, attempt: &Try) {
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
        let usual = host.breaker.usual.above(20).or(pooled.above(20));
        let limit = usual.map_or(f64::MAX, |usual| SLOW * usual);
        let weighs = match verdict {
            Some(Verdict::Good(_)) => u32::from(latency.is_some_and(|latency| latency > limit)),
            Some(Verdict::Vague) => 2,
            _ => 4,
        };
        latency.into_iter().for_each(|latency| pooled.add(latency));
        host.breaker.pending.extend(latency.filter(|_| !before));
        let soon = latency.is_none_or(|latency| latency <= TRIAL_WITHIN.0 as f64);
        if attempt.trial_of == Some(id) && host.breaker.phase == Phase::Trial {
            let next = match verdict {
                // It told nothing of this host, which stays open for the next trial.
                None => Phase::Open(now),
                Some(Verdict::Good(_)) if soon => Phase::Ramp(FIRST_SHARE, now + DOUBLING, true),
                _ => Phase::Open(now + OPEN_FOR),
            };
            host.breaker.turn(now, next);
        } else if verdict.is_some() && !before {
            let crowded = verdict == Some(Verdict::Crowded) || weighs < 4 && role == Role::Origin;
            host.breaker.judge(now, weighs, crowded);
        }
        if before != host.sick() {
            let what = if before { "back by trial" } else { "open" };
            self.crossings.on_breaker_change(now, host.entry, !before);
            let text = format!("{role:?} {:x} breaker {what}", id.0);
            self.actions.push(Action::Log { text });
            self.touched.extend(self.accesses.keys());
        }
    }

    /// Emits the difference between what should be out, held and timed and what is.
    pub fn take_actions(&mut self, now: Timestamp) -> Vec<Action> {
        while let Some(&(at, id)) = self.timed.first().filter(|(at, _)| *at <= now) {
            self.timed.remove(&(at, id));
            self.touched.insert(id);
        }
        while let Some(id) = self.touched.pop_first() {
            self.blame(now, id);
            while self.accesses.get(&id).is_some_and(|access| !access.ended) {
                match self.next_step(now, id) {
                    Step::Send(plan) => self.send(now, id, plan),
                    Step::Withdraw(no) => self.withdraw(id, no),
                    Step::GiveUp(why) => self.give_up(now, id, why),
                    Step::Wait(until) => {
                        self.timed.insert((until, id));
                        break;
                    }
                }
            }
            let over = |access: &Request| access.ended && access.tries.iter().all(|t| !t.out);
            if self.accesses.get(&id).is_some_and(over) {
                self.accesses.remove(&id);
            }
        }
        self.probe(now);
        let probe = Some(self.probe_at).filter(|_| self.terms.probes_enabled);
        let timed = self.timed.first().map(|&(at, _)| at);
        let next = timed.into_iter().chain(probe).min();
        if let Some(at) = next.filter(|&at| self.armed.is_none_or(|armed| at < armed)) {
            let timer = TimerId(0);
            self.armed = Some(at);
            self.actions.push(Action::SetTimer { at, timer });
        }
        std::mem::take(&mut self.actions)
    }

    fn next_step(&mut self, now: Timestamp, id: RequestId) -> Step {
        let access = &self.accesses[&id];
        if now >= access.limit {
            return Step::GiveUp(GiveUpReason::DeadlinePassed);
        }
        if let Some(no) = access.tries.iter().position(|attempt| attempt.out) {
            let attempt = access.tries[no];
            if now < attempt.overdue_at {
                return Step::Wait(attempt.overdue_at.min(access.limit));
            }
            let lost = [attempt.plan.host, attempt.plan.source].map(|id| self.hosts[&id].sick());
            let lost = lost.contains(&true) || self.origin_hides(&attempt);
            let again = self.terms.may_cancel && self.track(access).effect == Effect::Idempotent;
            if lost && again && !attempt.withdrawn && attempt.trial_of.is_none() {
                return Step::Withdraw(no);
            }
            return Step::Wait(access.limit);
        }
        if access.tries.len() >= self.terms.max_attempts {
            return Step::GiveUp(GiveUpReason::AttemptsUsed);
        }
        let last = (access.tries.last()).filter(|last| Some(last.plan.host) == self.origin);
        let again = last.map_or(now, |last| last.sent + ORIGIN_WAIT);
        if now < again {
            return Step::Wait(again.min(access.limit));
        }
        match self.plan(now, id) {
            Ok(plan) => Step::Send(plan),
            Err(why) => Step::GiveUp(why),
        }
    }

    fn in_hash_order(&self, access: &Request, role: Role) -> Vec<HostId> {
        // Parts spread over caches, or a long object crowds one; its fills still meet at one parent.
        let (hosts, part) = match role {
            Role::Cache => (&self.caches, access.arrival.part),
            _ => (&self.parents, 0),
        };
        let score = |id: &HostId| {
            let size = Some(self.hosts[id].size).filter(|_| self.terms.capacities_reported);
            let spread = point(access.arrival.object, part, *id, 1);
            (-spread.max(1e-12).ln() / size.unwrap_or(1.0).max(0.01), *id)
        };
        let mut order: Vec<_> = hosts.iter().map(score).collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        order.into_iter().map(|(_, id)| id).collect()
    }

    fn open_to(&self, now: Timestamp, access: &Request, id: HostId) -> bool {
        let host = &self.hosts[&id];
        let share = match host.role {
            Role::Origin if self.track(access).is_write => host.breaker.share().ceil(),
            // There a share is one of bytes: what is large is left out first.
            Role::Origin => host.breaker.share().powf(access.send / self.mean_send()),
            _ => host.breaker.share().min(host.warmth(now)),
        };
        let within = point(access.arrival.object, access.arrival.part, id, 2) < share;
        let failed = host.role != Role::Origin && access.failed_at(id);
        !failed && (within || host.breaker.wants_trial(now))
    }

    fn plan(&mut self, now: Timestamp, id: RequestId) -> Result<Plan, GiveUpReason> {
        for id in self.caches.iter().chain(&self.parents).chain(&self.origin) {
            let host = self.hosts.get_mut(id);
            host.into_iter().for_each(|host| host.breaker.advance(now));
        }
        let access = &self.accesses[&id];
        let (written, origin) = (self.track(access).is_write, self.origin);
        let open = origin.filter(|&id| self.open_to(now, access, id));
        if access.lacking && origin.is_none_or(|id| !self.hosts[&id].sick()) {
            return Err(GiveUpReason::NotCached);
        }
        if (access.lacking || written) && self.terms.allows_direct {
            let plan = open.map(|host| Plan { host, source: host });
            return plan.ok_or(GiveUpReason::OriginUnavailable);
        }
        let cache = self.pick_cache(now, access);
        if written {
            let plan = cache.zip(open).map(|(host, source)| Plan { host, source });
            return plan.ok_or(GiveUpReason::OriginUnavailable);
        }
        let source = self.pick_source(now, access, cache);
        // With no cache to go to, an access passes them by, straight to where it would be filled.
        let no_use = |id| self.hosts[&id].sick() || !self.has_budget(now, id, self.work(access));
        let lost = |id: &HostId| access.failed_at(*id) || no_use(*id);
        let Some(host) = cache else {
            let straight =
                source.filter(|_| self.terms.allows_direct && self.caches.iter().all(lost));
            let host = straight.ok_or(GiveUpReason::NoHostInTime)?;
            let source = open.unwrap_or(host);
            return Ok(Plan { host, source });
        };
        let source = source.unwrap_or(host);
        Ok(Plan { host, source })
    }

    /// The first open parent, or the origin where none is, if a fill from there would be in time.
    fn pick_source(
        &self,
        now: Timestamp,
        access: &Request,
        cache: Option<HostId>,
    ) -> Option<HostId> {
        let has_room = |id: &HostId| {
            let (host, source) = (cache.unwrap_or(*id), *id);
            let fits = || self.fits(now, access, Plan { host, source });
            self.open_to(now, access, source) && self.has_budget(now, source, access.send) && fits()
        };
        let parents = self.in_hash_order(access, Role::Parent);
        let parent = parents.into_iter().find(has_room);
        let source = parent.or(self.origin.filter(has_room))?;
        let crowd = TimeSpan::from_secs_f64(access.send * self.link_crowd().max(1.0)) + FILL_WAIT;
        (now + crowd <= access.due).then_some(source)
    }

    /// Fills on the zone's link over those that fit at the pace of an answer.
    fn link_crowd(&self) -> f64 {
        let carries = self
            .terms
            .link_kb_per_s
            .filter(|_| !self.terms.link_load_reported);
        let each = self.fills.usual * (self.fills.now + 1.0) / (self.fills.usual + 1.0);
        let under_way = (each + 1.0) * seats(&self.terms) * self.terms.stream_kb_per_s;
        carries.map_or(self.link_told / FILL_PACE, |carries| under_way / carries)
    }

    /// How much slower than alone an answer from a cache is predicted to be. What others have there is
    /// the own average, corrected by the own number now the more, the more are usual: less is chance.
    fn stretch(&self, now: Timestamp, host: &Host) -> f64 {
        if host.role != Role::Cache {
            return 1.0;
        }
        let (own, size) = (f64::from(host.out), host.size);
        let usual = self.at_caches.usual * size / self.zone_size.max(0.5);
        let others = usual * (own + 1.0) / (usual + 1.0) * (host.dispatchers - 1.0);
        let crowd = (own + others + 1.0) / (size * host.warmth(now)).max(0.5);
        1.0 + (crowd - 1.0).max(0.0) * host.crowd_told()
    }

    /// The first cache in order with room and, by told sizes, time, else the least crowded, if that is in time.
    fn pick_cache(&self, now: Timestamp, access: &Request) -> Option<HostId> {
        let mut caches = self.in_hash_order(access, Role::Cache);
        caches.retain(|id| self.has_budget(now, *id, self.work(access)));
        let stretch = |id: &HostId| self.stretch(now, &self.hosts[id]);
        let slow = |id: &HostId| stretch(id) * self.hosts[id].slowness(now);
        let margin = access.arrival.size_kb.map_or(GUESS_MARGIN, |_| 1.0);
        let told = self.terms.capacities_reported && access.arrival.size_kb.is_some();
        let takes = |id: &HostId| TimeSpan::from_secs_f64(access.send * stretch(id) * margin) + HOP;
        let timely = |id: &HostId| self.track(access).is_write || now + takes(id) <= access.due;
        let near = |id: &HostId| slow(id) <= SPILL_AT && (!told || timely(id));
        let first = |id: &&HostId| near(id) && self.open_to(now, access, **id);
        let usable = |id: &&HostId| !access.failed_at(**id) && !self.hosts[id].sick();
        let crowd = |a: &&HostId, b: &&HostId| stretch(a).total_cmp(&stretch(b));
        let least = || caches.iter().filter(usable).min_by(crowd);
        let host = caches.iter().find(first).or_else(least);
        host.copied().filter(timely)
    }

    /// Rule 2: whether what may have run allows a hand-off to this host.
    fn may_run_again(&self, now: Timestamp, access: &Request, host: HostId) -> bool {
        let of = |id| (self.hosts[&id].entry.zone, self.hosts[&id].entry.cell);
        let own = access.tries.iter().filter(|t| t.out || t.may_have_run);
        let own = own.map(|t| EarlierAttempt {
            place: Some(of(t.plan.host)),
            sent: t.sent,
            out: t.out,
        });
        let others = self.crossings.earlier_attempt(access.arrival.id);
        let others = others.map(|earlier| EarlierAttempt {
            place: earlier.location,
            sent: earlier.first_sent,
            out: false,
        });
        let effect = self.track(access).effect;
        permits::may_repeat(now, effect, own.chain(others), of(host)).is_ok()
    }

    /// Rule 5: the oldest copy that will do, given the latest purge of the object or its group.
    fn oldest(&self, now: Timestamp, access: &Request, stale: bool) -> Option<TimeSpan> {
        let track = self.track(access);
        let since = self
            .purges_of(now, access)
            .map(|purge| now.since(purge.at))
            .min();
        let grace = track.stale_grace.mul_f64(f64::from(u8::from(stale)));
        let aged = track.fresh_for.filter(|_| stale || since.is_some());
        let aged = aged.map(|fresh| fresh + grace);
        since.into_iter().chain(aged).min()
    }

    /// The way between zones that a plan takes, if any.
    fn crossing(&self, access: &Request, plan: Plan) -> Option<Crossing> {
        let (own, Plan { host, source }) = (self.terms.zone, plan);
        let [at, fill] = [host, source].map(|id| self.hosts[&id].entry.zone);
        // What another zone's host fills for itself crosses no more than its answer does.
        let straight = at != own;
        let (source, from) = if straight { (host, at) } else { (source, fill) };
        let (arrival, attempt) = (access.arrival, AttemptNo(access.tries.len() as u8));
        let usual = access.send * self.terms.stream_kb_per_s;
        (from != own).then(|| Crossing {
            arrival,
            attempt,
            host,
            source,
            from,
            to: own,
            kb: arrival.size_kb.unwrap_or(usual),
            join: self.terms.joins_fills && !straight && !self.track(access).is_write,
        })
    }

    /// Whether the links between zones have room for it.
    fn fits(&self, now: Timestamp, access: &Request, plan: Plan) -> bool {
        let way = self.crossing(access, plan);
        way.is_none_or(|way| self.crossings.has_room(now, &way))
    }

    /// The one gate that every hand-off passes, with each rule at its own place.
    fn passes(&self, now: Timestamp, access: &Request, plan: &Plan) -> bool {
        let (host, source) = (&self.hosts[&plan.host], &self.hosts[&plan.source]);
        let own = plan.host == plan.source;
        // Rule 1: nothing goes out for an access that has ended or whose client has given up.
        let facts = SendFacts {
            answered: access.ended,
            client_closed: None,
            deadline: access.limit,
            repeat_by: None,
        };
        let open = permits::may_send(now, &facts).is_ok();
        // Rule 3: neither host nor source may drain or be gone.
        let kept = permits::may_use(host.ready(), source.ready()).is_ok();
        let cold = self.has_budget(now, plan.host, self.work(access));
        let cold = cold && (own || self.has_budget(now, plan.source, access.send));
        let may = open && kept && cold && self.may_run_again(now, access, plan.host);
        may && self.fits(now, access, *plan)
    }

    fn send(&mut self, now: Timestamp, id: RequestId, plan: Plan) {
        let access = &self.accesses[&id];
        if !self.passes(now, access, &plan) {
            return self.give_up(now, id, GiveUpReason::NotPermitted);
        }
        let written = self.track(access).is_write;
        if self.seen.len() >= SEEN {
            self.seen.clear();
        }
        let seen = !written
            && !self
                .seen
                .insert((access.arrival.object, access.arrival.part));
        let way = self.crossing(access, plan);
        let (track, host) = (self.track(access), &self.hosts[&plan.host]);
        let (own, of_cache) = (plan.host == plan.source, host.role == Role::Cache);
        // Where nothing fills it, a stale copy will do. Fetches behind a sick origin would fill the places.
        let stale = own && of_cache;
        let closed_to = |id: HostId| !self.open_to(now, access, id);
        let held_only = !own && of_cache && self.origin.is_some_and(closed_to);
        let fill = Fill {
            source: plan.source,
            rank: u8::from(!written) + u8::from(seen),
            max_age: self.oldest(now, access, stale),
            join: self.terms.joins_fills && !own,
            only_if_cached: held_only,
            revalidate: track.fresh_for.is_some() && !stale,
        };
        let fill = Some(fill).filter(|_| host.role != Role::Origin);
        let sending = TimeSpan::from_secs_f64(access.send * self.stretch(now, host)) + HOP;
        let usual = self.waits.above(2).map_or(0.0, |wait| wait * USUAL_WAITS);
        let wait = track
            .target
            .mul_f64(WAIT_OF_DUE)
            .max(TimeSpan(usual as u64));
        let overdue_at = now + sending.mul_f64(PATIENCE) + wait;
        let fills = if of_cache { self.missing } else { 1.0 };
        let none = written || own && of_cache;
        let missing = if none { 0.0 } else { fills };
        let (work, mean) = (self.work(access), self.mean_send());
        let charges = [(plan.host, work, 1), (plan.source, access.send, 0)];
        let mut trial_of = None;
        for (id, work, out) in charges.into_iter().take(if own { 1 } else { 2 }) {
            if let Some(host) = self.hosts.get_mut(&id) {
                host.allowance = (host.allowance(now, mean) - host.cost(now, work), now);
                host.out += out;
                if trial_of.is_none() && host.breaker.wants_trial(now) {
                    host.breaker.phase = Phase::Trial;
                    trial_of = Some(id);
                }
            }
        }
        self.at_caches.add(now, if of_cache { 1.0 } else { 0.0 });
        self.fills.add(now, missing);
        if let Some(access) = self.accesses.get_mut(&id) {
            access.tries.push(Try {
                plan,
                held_only,
                sent: now,
                overdue_at,
                out: true,
                trial_of,
                missing,
                ..Try::default()
            });
        }
        way.iter().for_each(|way| self.crossings.on_sent(now, way));
        let (actions, host) = (&mut self.actions, plan.host);
        actions.push(Action::Attempt(Attempt { id, host, fill }));
    }

    /// How long a client that is refused stays away, spread by chance; `None` where it can't be told.
    pub fn retry_after(&mut self, now: Timestamp, track: ClassId) -> Option<TimeSpan> {
        let longest = self.terms.max_retry_after?;
        let full = self.crossings.retry_after(now, track);
        let usual = full.map_or(DEFAULT_RETRY_AFTER, |full| full.max(DEFAULT_RETRY_AFTER));
        Some(usual.mul_f64(0.75 + 0.5 * self.chance.f64()).min(longest))
    }

    /// The final answer where nothing more can be done: a rejection where trying again is harmless.
    fn give_up(&mut self, now: Timestamp, id: RequestId, reason: GiveUpReason) {
        let access = &self.accesses[&id];
        let ran = access.tries.iter().any(|t| t.out || t.may_have_run);
        let ran = ran || self.crossings.earlier_attempt(id).is_some();
        let harmless = permits::may_refuse(self.track(access).effect, ran);
        let track = access.arrival.class;
        let retry_after = self.retry_after(now, track);
        self.actions.push(match harmless {
            true => Action::Refuse {
                id,
                retry_after,
                reason,
            },
            false => Action::Fail { id, reason },
        });
        self.close(id);
    }
}
