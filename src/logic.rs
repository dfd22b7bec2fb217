//! The decisions of a dispatcher, with its tables and tuning constants.
//!
//! Call [`Dispatcher::new`] once, [`Dispatcher::handle_event`] for each event of a batch, then
//! [`Dispatcher::take_actions`] once: it returns the actions that bring the attempts in flight and the timer to the
//! state in which they should be.
//!
//! Each host has a breaker over a sliding window. Caches and parents are tried in hash order; where every parent is
//! open, a request gets a stale copy or a refusal. A host whose breaker is open gets one trial request; if that
//! succeeds, its share of the requests rises in steps. Further mechanisms: a budget for cold hosts in slow start,
//! admission only if the target time can be met, spilling to another cache, detection of overdue attempts, protection
//! of the origin, ranks that tell a cache which objects to keep, and probes that ask hosts for their load.
//!
//! Comments refer to these rules by number:
//!
//! 1. Nothing is sent for a request that has its final answer, whose client is gone or whose deadline has passed.
//! 2. Nothing is repeated that may have run, unless its class allows the repeat at that host and time.
//! 3. Nothing is sent to, or filled from, a host that drains or is gone.
//! 4. A cold host gets no more than the dispatchers together may send it during slow start.
//! 5. No copy from before a known purge is served.

use crate::interface::*;
use crate::policy::breaker::*;
use crate::policy::host::*;
use crate::policy::permits::{self, EarlierAttempt, SendFacts};
use crate::policy::refusals::{DEFAULT_RETRY_AFTER, GiveUpReason};
use crate::units::*;
use std::collections::{BTreeMap, BTreeSet};

/// A first-byte latency above this many times the usual 95th percentile is a failure. The design says 3; a histogram
/// bin adds a factor of up to 1.7.
const SLOW_LATENCY_FACTOR: f64 = 2.0;
/// Up to this predicted slowdown a request stays at the first cache in hash order. Lower loses hits, higher loses time.
const MAX_SLOWDOWN_BEFORE_SPILL: f64 = 3.0;
/// Factor on a transfer time of estimated size. Lower lets large answers overload caches, higher refuses small ones.
const ESTIMATED_SIZE_MARGIN: f64 = 1.3;
/// Time that an answer takes besides its transfer.
const ANSWER_OVERHEAD: TimeSpan = TimeSpan::from_millis(40);
/// Time that a fill takes besides its transfer.
const FILL_OVERHEAD: TimeSpan = TimeSpan::from_millis(100);
/// An attempt is overdue after this many times its predicted transfer time plus a wait: the longer of
/// `OVERDUE_TARGET_SHARE` of the class's target and `OVERDUE_FILL_WAITS` median waits for a fill. Lower reports slow
/// hosts as failed, higher keeps requests at silent hosts.
const OVERDUE_TRANSFER_FACTOR: f64 = 1.5;
/// The share of the class's target that an attempt may wait before it is overdue.
const OVERDUE_TARGET_SHARE: f64 = 0.6;
/// The number of median waits for a fill that an attempt may wait before it is overdue.
const OVERDUE_FILL_WAITS: f64 = 3.0;
/// Minimum time between two attempts of a request at the origin.
const ORIGIN_RETRY_INTERVAL: TimeSpan = TimeSpan::from_millis(60);
/// How long a host is remembered after it left the list; a delayed list may name it again.
const GONE_HOST_RETENTION: TimeSpan = TimeSpan::from_secs(60);
/// Maximum number of object parts remembered as seen; at this number all are forgotten.
const MAX_SEEN_PARTS: usize = 50_000;
/// Minimum rate of a fill, as a multiple of the rate of an answer: on a link so full that fills are slower, they delay
/// answers. Higher fills the link more.
const MIN_FILL_RATE_FACTOR: f64 = 1.75;
/// Initial share of answers that needed a fill.
const INITIAL_FILL_SHARE: f64 = 0.4;
/// Weight of the newest answer in the share that needed a fill.
const FILL_SHARE_GAIN: f64 = 0.02;
/// Weight of the newest hit in the slowness of a cache.
const SLOWNESS_GAIN: f64 = 0.1;
/// How often each host is probed. Probes cost the hosts work.
const PROBE_INTERVAL: TimeSpan = TimeSpan::from_secs(2);
/// Assumed capacity of a cache, a parent and an origin where capacities are not reported. Larger overloads cold hosts,
/// smaller refuses requests.
const ASSUMED_CAPACITIES: [f64; 3] = [4.0, 16.0, 16.0];
/// Number of busy seconds for which the assumed capacity counts.
const ASSUMED_BUSY_SECONDS: f64 = 3.0;
/// Above this number of busy seconds, older measurements of a kind's capacity count half.
const MAX_BUSY_SECONDS: f64 = 120.0;

/// The latest purge of an object or a group.
#[derive(Clone, Copy, Default)]
struct Purge {
    /// Latest possible time of the purge, on the own clock.
    at: Timestamp,
    /// When the message of the purge was received.
    received_at: Timestamp,
    /// Time of the purge on the clock that stamps copies.
    stamp: Option<Timestamp>,
}

/// A pending request.
struct Request {
    arrival: Arrival,
    /// Predicted transfer time without queueing.
    transfer_seconds: f64,
    /// Time by which an answer is worth its full value.
    target: Timestamp,
    deadline: Timestamp,
    attempts: Vec<AttemptState>,
    /// A host that could answer only from its cache does not hold the object.
    not_cached: bool,
    /// The request has its final answer or needs none.
    closed: bool,
}

impl Request {
    /// Whether an attempt failed that involved this host.
    fn has_failed_at(&self, id: HostId) -> bool {
        (self.attempts.iter()).any(|attempt| {
            attempt.failed && [attempt.route.host, attempt.route.source].contains(&id)
        })
    }
}

/// An attempt that was sent.
#[derive(Clone, Copy, Default)]
struct AttemptState {
    route: Route,
    /// The source serves only what it holds.
    only_if_cached: bool,
    sent_at: Timestamp,
    overdue_at: Timestamp,
    in_flight: bool,
    may_have_run: bool,
    failed: bool,
    /// The attempt was overdue, and that has been counted as a failure.
    counted_overdue: bool,
    /// The attempt was cancelled, or its response has started.
    not_cancellable: bool,
    /// The host whose breaker takes this attempt as its trial.
    trial_of: Option<HostId>,
    /// Probability that the attempt causes a fill.
    fill_probability: f64,
}

/// The host that a request goes to, and the source that fills a miss there; no fill where both are the same.
#[derive(Clone, Copy, Default)]
struct Route {
    host: HostId,
    source: HostId,
}

/// What is to be done next for a request.
enum NextStep {
    /// Nothing before this time.
    Wait(Timestamp),
    /// Sends an attempt on this route.
    Send(Route),
    /// Cancels the attempt with this index.
    Cancel(usize),
    /// Refuses or fails the request for this reason.
    GiveUp(GiveUpReason),
}

/// Decides about requests: where each is sent, when it is repeated, cancelled, refused or failed.
pub struct Dispatcher<C = Standalone> {
    /// Limits on traffic between zones, and the knowledge of other dispatchers.
    pub crossings: C,
    settings: DispatcherSettings,
    rng: fastrand::Rng,
    hosts: BTreeMap<HostId, Host>,
    /// The ready caches of the own zone.
    caches: Vec<HostId>,
    /// The ready parents.
    parents: Vec<HostId>,
    /// The ready origin.
    origin: Option<HostId>,
    requests: BTreeMap<RequestId, Request>,
    /// Requests to look at in the next `take_actions`.
    to_process: BTreeSet<RequestId>,
    /// Requests to look at later.
    scheduled: BTreeSet<(Timestamp, RequestId)>,
    /// The time for which a timer has been set.
    timer_set_for: Option<Timestamp>,
    purges: BTreeMap<(GroupId, Option<ObjectId>), Purge>,
    seen_parts: BTreeSet<(ObjectId, u32)>,
    /// By class: the sum of the transfer times in seconds, and their number.
    transfer_totals: Vec<(f64, f64)>,
    /// First-byte latencies of all hosts of a role, for hosts with too few of their own.
    latencies_by_role: [Histogram; 3],
    /// Time that fills took besides their transfer.
    fill_waits: Histogram,
    /// Expected number of this dispatcher's fills in flight.
    fills: AveragedLevel,
    /// Share of recent answers that needed a fill.
    fill_share: f64,
    /// The last reported utilization of the zone's link.
    link_utilization: f64,
    /// This dispatcher's attempts in flight at caches.
    cache_attempts: AveragedLevel,
    /// Sum of the capacities of the zone's caches.
    zone_capacity: f64,
    /// By kind, where capacities are not reported: what all dispatchers had sent, and the busy seconds that it took.
    capacity_samples: BTreeMap<KindId, (f64, f64)>,
    next_probe_at: Timestamp,
    last_probed: HostId,
    actions: Vec<Action>,
}

/// A pseudo-random number from 0 to 1 that depends only on the object part, the host and the salt.
fn hash_to_unit(object: ObjectId, part: u32, host: HostId, salt: u64) -> f64 {
    let mut x = object.0 ^ u64::from(part) << 52 ^ salt;
    x ^= host.0.rotate_left(29).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    for factor in [0xbf58_476d_1ce4_e5b9, 0x94d0_49bb_1331_11eb] {
        x = (x ^ (x >> 31)).wrapping_mul(factor);
    }
    ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}

/// Number of dispatchers in the own zone, or in all zones where that is unknown.
fn dispatchers_in_zone(settings: &DispatcherSettings) -> f64 {
    let in_zone = settings
        .dispatchers_by_zone
        .get(usize::from(settings.zone.0));
    f64::from(in_zone.copied().unwrap_or(settings.dispatchers).max(1))
}

impl<C: CrossingLimits + PeerKnowledge> Dispatcher<C> {
    /// A dispatcher that knows no hosts yet. `seed` determines all its random choices.
    pub fn new(crossings: C, settings: DispatcherSettings, seed: u64) -> Dispatcher<C> {
        let initial_total = |class: &ClassSettings| (class.target.as_secs_f64() * 0.5, 1.0);
        Dispatcher {
            crossings,
            rng: fastrand::Rng::with_seed(seed),
            hosts: BTreeMap::new(),
            caches: Vec::new(),
            parents: Vec::new(),
            origin: None,
            requests: BTreeMap::new(),
            to_process: BTreeSet::new(),
            scheduled: BTreeSet::new(),
            timer_set_for: None,
            purges: BTreeMap::new(),
            seen_parts: BTreeSet::new(),
            transfer_totals: settings.classes.iter().map(initial_total).collect(),
            latencies_by_role: Default::default(),
            fill_waits: Histogram::default(),
            fills: AveragedLevel::default(),
            fill_share: INITIAL_FILL_SHARE,
            link_utilization: 0.0,
            cache_attempts: AveragedLevel::default(),
            zone_capacity: 1.0,
            capacity_samples: BTreeMap::new(),
            next_probe_at: Timestamp::default(),
            last_probed: HostId::default(),
            actions: Vec::from_iter(
                settings
                    .host_list_on_request
                    .then_some(Action::RequestHostList),
            ),
            settings,
        }
    }

    /// Number of hosts in the table. Tests check that it stays bounded.
    pub fn tracked_hosts(&self) -> usize {
        self.hosts.len()
    }

    /// Handles one event; its actions are returned by [`Dispatcher::take_actions`].
    pub fn handle_event(&mut self, now: Timestamp, event: Event) {
        self.crossings.on_event(now, &event);
        match event {
            Event::HostList { kind, entries } => self.on_host_list(now, kind, entries),
            Event::Arrived(arrival) => self.on_arrival(now, arrival),
            Event::Outcome(outcome) => self.on_outcome(now, &outcome),
            Event::ResponseStarted { id, attempt } => {
                let started = self.attempt_mut(id, attempt);
                started
                    .into_iter()
                    .for_each(|attempt| attempt.not_cancellable = true);
                self.close(id);
            }
            Event::ClientGone { id } => self.close(id),
            Event::Probed { host, ending, load } => self.on_probed(now, host, ending, load),
            // The next failure that this dispatcher sees itself opens its own breaker as well.
            Event::PeerBreakerOpened { host } => {
                (self.hosts.get_mut(&host).into_iter()).for_each(|host| {
                    host.breaker.failure_weight =
                        host.breaker.failure_weight.max(FAILURE_WEIGHT_LIMIT - 1)
                })
            }
            Event::TimerFired { .. } => {
                self.timer_set_for = self.timer_set_for.filter(|&at| at > now)
            }
            Event::Purged {
                object,
                group,
                age,
                stamp,
            } => self.on_purge(now, object, group, now - age, stamp),
        }
    }

    fn on_purge(
        &mut self,
        now: Timestamp,
        object: Option<ObjectId>,
        group: GroupId,
        at: Timestamp,
        stamp: Option<Timestamp>,
    ) {
        let retention = self.purge_retention();
        self.purges
            .retain(|_, purge| now.since(purge.at) < retention);
        // The message that purges an object may not name its group, so the purge is stored without a group.
        let group = object.map_or(group, |_| GroupId::default());
        let purge = self.purges.entry((group, object)).or_default();
        purge.at = purge.at.max(at);
        purge.received_at = now;
        purge.stamp = purge.stamp.max(stamp);
    }

    /// Time after which no host has a copy from before a purge.
    fn purge_retention(&self) -> TimeSpan {
        self.settings.purge_propagation.mul_f64(3.0)
    }

    /// The purges of a request's object and group that still matter.
    fn active_purges(&self, now: Timestamp, request: &Request) -> impl Iterator<Item = &Purge> {
        let (object, group) = (request.arrival.object, request.arrival.group);
        let keys = [(GroupId::default(), Some(object)), (group, None)];
        let retention = self.purge_retention();
        let known = keys.into_iter().filter_map(|key| self.purges.get(&key));
        known.filter(move |purge| now.since(purge.at) < retention)
    }

    /// Rule 5, by stamps alone: whether a copy with the stamp `copy_stamp` may answer an attempt. A host whose clock is
    /// wrong, or that ignores the maximum age, may answer with a copy from before a purge whose message was received
    /// before the attempt was sent.
    pub fn admits_copy(
        &self,
        now: Timestamp,
        id: RequestId,
        attempt: AttemptNo,
        copy_stamp: Timestamp,
    ) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return true;
        };
        let attempt = request.attempts.get(usize::from(attempt.0));
        let sent_at = attempt.map(|attempt| attempt.sent_at);
        let known_when_sent =
            |purge: &&Purge| sent_at.is_some_and(|sent_at| purge.received_at <= sent_at);
        let mut relevant = self.active_purges(now, request).filter(known_when_sent);
        relevant.all(|purge| purge.stamp.is_none_or(|stamp| copy_stamp > stamp))
    }

    /// The role of the hosts of a kind.
    pub fn role(&self, kind: KindId) -> Role {
        match Some(kind) {
            kind if kind == self.settings.parent_kind => Role::Parent,
            kind if kind == self.settings.origin_kind => Role::Origin,
            _ => Role::Cache,
        }
    }

    /// Takes over a host list and derives the ready hosts of each role from it.
    fn on_host_list(&mut self, now: Timestamp, kind: HostListKind, entries: Vec<HostEntry>) {
        if kind == HostListKind::Failed && self.settings.host_list_on_request {
            self.actions.push(Action::RequestHostList);
        }
        let replaced = self
            .hosts
            .values_mut()
            .filter(|_| kind == HostListKind::Full);
        replaced.for_each(|host| host.set_state(now, HostState::Gone));
        let mean_transfer = self.mean_transfer();
        let (in_all_zones, in_zone) = (
            f64::from(self.settings.dispatchers.max(1)),
            dispatchers_in_zone(&self.settings),
        );
        let (parent, cache) = (
            self.settings.parent_slow_start,
            self.settings.cache_slow_start,
        );
        for entry in entries {
            let role = self.role(entry.kind);
            let (slow_start, dispatchers) = match role {
                Role::Parent | Role::Origin => (parent, in_all_zones),
                Role::Cache => (cache, in_zone),
            };
            let previous_stamp = self.hosts.get(&entry.host).map(|host| host.entry.stamp);
            let new_host = || Host {
                entry,
                role,
                slow_start,
                dispatchers,
                breaker: Breaker::default(),
                last_seen_at: Timestamp::default(),
                slowness: (1.0, Timestamp::default()),
                in_flight: 0,
                capacity: entry.capacity,
                utilization: None,
                sent_seconds: 0.0,
                left_list_at: now,
                slow_start_budget: (0.0, now),
            };
            let host = self.hosts.entry(entry.host).or_insert_with(new_host);
            host.set_state(now, entry.state);
            (host.entry, host.role) = (entry, role);
            (host.slow_start, host.dispatchers) = (slow_start, dispatchers);
            let assumed = (
                ASSUMED_CAPACITIES[role as usize] * ASSUMED_BUSY_SECONDS,
                ASSUMED_BUSY_SECONDS,
            );
            let samples = *self.capacity_samples.entry(entry.kind).or_insert(assumed);
            let reported = Some(entry.capacity).filter(|_| self.settings.capacities_reported);
            host.capacity = reported.unwrap_or(samples.0 / samples.1);
            if previous_stamp != Some(entry.stamp) {
                // A new process is not held responsible for the failures of the previous one. Each dispatcher starts
                // with a random debt, or all would send to it at the same moment.
                host.breaker = Breaker::default();
                host.slow_start_budget =
                    (-self.rng.f64() * host.budget_cost(now, mean_transfer), now);
            }
        }
        let attempts = self.requests.values().flat_map(|request| &request.attempts);
        let in_use: BTreeSet<_> = attempts
            .flat_map(|attempt| [attempt.route.host, attempt.route.source])
            .collect();
        let is_gone = |host: &Host| host.entry.state == HostState::Gone;
        let is_expired =
            |host: &Host| is_gone(host) && now.since(host.left_list_at) >= GONE_HOST_RETENTION;
        (self.hosts).retain(|id, host| !is_expired(host) || in_use.contains(id));
        let ready = self.hosts.values().filter(|host| host.is_ready());
        let with_role = |role| ready.clone().filter(move |host| host.role == role);
        let zone_caches =
            with_role(Role::Cache).filter(|host| host.entry.zone == self.settings.zone);
        self.zone_capacity = zone_caches.clone().map(|host| host.capacity).sum();
        self.caches = zone_caches.map(|host| host.entry.host).collect();
        self.parents = with_role(Role::Parent)
            .map(|host| host.entry.host)
            .collect();
        self.origin = with_role(Role::Origin).map(|host| host.entry.host).next();
    }

    /// Takes over the load that a probed host reported: the utilization of the link and of the host itself.
    fn on_probed(&mut self, now: Timestamp, id: HostId, ending: Ending, load: Load) {
        // A failed probe is not counted against the host: hosts answer few probes at once, and one may wait behind
        // requests.
        let answered = |_: &&mut Host| ending == Ending::Done;
        let Some(host) = self.hosts.get_mut(&id).filter(answered) else {
            return;
        };
        let reported = load.link_utilization.filter(|_| host.role == Role::Cache);
        self.link_utilization = reported.unwrap_or(self.link_utilization);
        let Some(utilization) = load.utilization else {
            return;
        };
        let sent_seconds = std::mem::take(&mut host.sent_seconds) * host.dispatchers;
        let is_normal = host.slow_start_capacity(now) >= 1.0 && !host.is_unhealthy();
        let previous = host
            .utilization
            .replace((utilization, now))
            .filter(|_| is_normal);
        let (kind, samples) = (
            host.entry.kind,
            self.capacity_samples.get_mut(&host.entry.kind),
        );
        if let Some((samples, (previous_utilization, at))) = samples.zip(previous) {
            let busy_seconds =
                (previous_utilization + utilization) / 2.0 * now.since(at).as_secs_f64();
            let kept = if samples.1 > MAX_BUSY_SECONDS {
                0.5
            } else {
                1.0
            };
            *samples = (
                samples.0 * kept + sent_seconds,
                samples.1 * kept + busy_seconds,
            );
            let capacity = samples.0 / samples.1;
            let is_estimated =
                |host: &&mut Host| host.entry.kind == kind && !self.settings.capacities_reported;
            (self.hosts.values_mut().filter(is_estimated))
                .for_each(|host| host.capacity = capacity);
            self.zone_capacity = self.caches.iter().map(|id| self.hosts[id].capacity).sum();
        }
    }

    /// Replaces the settings by others with the same classes, zone and effects. Pending requests, the host list with
    /// its rules, purges and breakers are kept; what was measured in another unit is measured anew.
    pub fn apply_settings(&mut self, now: Timestamp, settings: DispatcherSettings) {
        let units = |settings: &DispatcherSettings| {
            (settings.stream_kb_per_s, settings.capacities_reported)
        };
        if units(&settings) != units(&self.settings) {
            self.capacity_samples.clear();
            (self.transfer_totals.iter_mut()).for_each(|(sum, n)| (*sum, *n) = (*sum / *n, 1.0));
        }
        if settings.note_level != self.settings.note_level {
            self.latencies_by_role = Default::default();
            (self.hosts.values_mut())
                .for_each(|host| host.breaker.usual_latencies = Default::default());
        }
        (self.hosts.values_mut())
            .for_each(|host| (host.utilization, host.sent_seconds) = (None, 0.0));
        (self.link_utilization, self.next_probe_at) = (0.0, now);
        self.settings = settings;
        let entries = self.hosts.values().map(|host| host.entry).collect();
        self.on_host_list(now, HostListKind::Delta, entries);
    }

    /// Sets the number of dispatchers among which the work for cold caches and for cold parents is divided. The saved
    /// or overdrawn amount of each host's budget is kept.
    pub fn set_slow_start_shares(
        &mut self,
        now: Timestamp,
        caches: Option<f64>,
        parents: Option<f64>,
    ) {
        (
            self.settings.cache_slow_start.shared_by,
            self.settings.parent_slow_start.shared_by,
        ) = (caches, parents);
        let mean_transfer = self.mean_transfer();
        for host in self.hosts.values_mut() {
            let (before, budget) = (host.shared_by(), host.refilled_budget(now, mean_transfer));
            host.slow_start.shared_by = [caches, parents][usize::from(host.role != Role::Cache)];
            host.slow_start_budget = (
                (budget * host.shared_by() / before).min(MAX_SAVED_BUDGET),
                now,
            );
        }
    }

    /// Probes one host if it is time for that; caches and parents take turns.
    fn send_probe(&mut self, now: Timestamp) {
        let all = || self.caches.iter().chain(&self.parents);
        if !self.settings.probes_enabled || now < self.next_probe_at {
            return;
        }
        let next = all()
            .filter(|id| **id > self.last_probed)
            .min()
            .or(all().min());
        self.last_probed = next.copied().unwrap_or_default();
        (self.actions).extend(next.map(|&host| Action::Probe { host }));
        self.next_probe_at = now + PROBE_INTERVAL.mul_f64(1.0 / all().count().max(1) as f64);
    }

    /// Stores a new request and predicts its transfer time.
    fn on_arrival(&mut self, now: Timestamp, arrival: Arrival) {
        let class = &self.settings.classes[usize::from(arrival.class.0)];
        let known = arrival.size_kb.map(|kb| kb / self.settings.stream_kb_per_s);
        let (sum, n) = &mut self.transfer_totals[usize::from(arrival.class.0)];
        (*sum, *n) = known.map_or((*sum, *n), |seconds| (*sum + seconds, *n + 1.0));
        let transfer_seconds = known.unwrap_or(*sum / *n);
        let deadline = now + arrival.time_left;
        let request = Request {
            arrival,
            transfer_seconds,
            target: deadline.min(
                now + class.target
                    + TimeSpan::from_secs_f64(transfer_seconds * class.target_stretch),
            ),
            deadline,
            attempts: Vec::new(),
            not_cached: false,
            closed: false,
        };
        self.to_process.insert(request.arrival.id);
        self.requests.insert(request.arrival.id, request);
    }

    /// The work in seconds that is charged to the host of an attempt: at least the mean of the class, which is what
    /// caches count. A source is charged with the request's own transfer time.
    fn charged_work(&self, request: &Request) -> f64 {
        let (sum, n) = self.transfer_totals[usize::from(request.arrival.class.0)];
        request.transfer_seconds.max(sum / n)
    }

    /// The mean of the classes' mean transfer times, in seconds.
    fn mean_transfer(&self) -> f64 {
        let all = self
            .transfer_totals
            .iter()
            .fold(0.0, |all, (sum, n)| all + sum / n);
        all / self.transfer_totals.len().max(1) as f64
    }

    /// Rule 4: whether a host can take this work out of this dispatcher's share. The last request may overdraw the
    /// budget, or one of hundreds of dispatchers could never send; nothing more is sent until the debt is refilled. No
    /// single request may exceed the whole limit.
    fn has_budget(&self, now: Timestamp, id: HostId, work: f64) -> bool {
        let host = &self.hosts[&id];
        let within_limit = || host.budget_cost(now, work * SLOW_START_USE) <= host.shared_by();
        host.slow_start_capacity(now) >= 1.0
            || within_limit() && host.refilled_budget(now, self.mean_transfer()) >= 0.0
    }

    fn class(&self, request: &Request) -> &ClassSettings {
        &self.settings.classes[usize::from(request.arrival.class.0)]
    }

    fn attempt_mut(&mut self, id: RequestId, attempt: AttemptNo) -> Option<&mut AttemptState> {
        self.requests
            .get_mut(&id)?
            .attempts
            .get_mut(usize::from(attempt.0))
    }

    /// Closes a request and cancels its attempts.
    fn close(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.closed = true;
            (0..request.attempts.len()).for_each(|index| self.cancel(id, index));
            self.to_process.insert(id);
        }
    }

    /// Cancels an attempt if that is possible.
    fn cancel(&mut self, id: RequestId, index: usize) {
        let (attempt_no, may_cancel) = (AttemptNo(index as u8), self.settings.may_cancel);
        let is_cancellable = |attempt: &&mut AttemptState| {
            may_cancel && attempt.in_flight && !attempt.not_cancellable
        };
        if let Some(attempt) = self.attempt_mut(id, attempt_no).filter(is_cancellable) {
            attempt.not_cancellable = true;
            self.actions.push(Action::Cancel {
                id,
                attempt: attempt_no,
            });
        }
    }

    fn on_outcome(&mut self, now: Timestamp, outcome: &Outcome) {
        let (id, ending) = (outcome.id, outcome.ending);
        let attempt = self.attempt_mut(id, outcome.attempt);
        let Some(attempt) = attempt.filter(|attempt| attempt.in_flight) else {
            return;
        };
        let no_fill = attempt.route.host == attempt.route.source;
        attempt.in_flight = false;
        attempt.may_have_run = !ending.never_ran();
        attempt.failed = ending != Ending::Miss;
        let attempt = *attempt;
        self.assess_outcome(now, outcome, &attempt);
        let not_cached = ending == Ending::Miss && (attempt.only_if_cached || no_fill);
        (self.requests.get_mut(&id).into_iter())
            .for_each(|request| request.not_cached |= not_cached);
        self.to_process.insert(id);
        if outcome.request_closed {
            self.close(id);
        }
    }

    /// Updates the statistics by an outcome and records it for the hosts that it says something about. Faults of the
    /// cache, the parent and the origin are distinguished by the note, or by which hosts have answered since.
    fn assess_outcome(&mut self, now: Timestamp, outcome: &Outcome, attempt: &AttemptState) {
        use {Assessment::*, Ending::*};
        let (ending, elapsed) = (outcome.ending, outcome.elapsed);
        let request = &self.requests[&outcome.id];
        let (transfer_seconds, size_kb) = (request.transfer_seconds, request.arrival.size_kb);
        let Route { host, source, .. } = attempt.route;
        let no_fill = host == source;
        let answered = matches!(ending, Done | Error | Full | Miss);
        let hit = matches!(outcome.note, Note::Hit | Note::Stale);
        let was_filled = size_kb.is_none()
            || elapsed > TimeSpan::from_secs_f64(transfer_seconds) + ANSWER_OVERHEAD;
        let per_size = |span: TimeSpan| span.0 as f64 / size_kb.map_or(1.0, |kb| kb + 100.0);
        let elapsed_per_size = per_size(elapsed);
        let latency = outcome
            .first_byte_latency
            .map_or(elapsed_per_size, |latency| latency.0 as f64);
        let slowdown = self.predicted_slowdown(now, &self.hosts[&host]);
        let predicted_hit = TimeSpan::from_secs_f64(transfer_seconds * slowdown) + ANSWER_OVERHEAD;
        let at_cache = self.hosts[&host].role == Role::Cache;
        self.cache_attempts
            .add(now, if at_cache { -1.0 } else { 0.0 });
        if let Some(host) = self.hosts.get_mut(&host) {
            host.in_flight -= 1;
            host.last_seen_at = if answered { now } else { host.last_seen_at };
            host.sent_seconds += transfer_seconds * f64::from(u8::from(ending == Done));
            let at_full_rate = host
                .utilization
                .is_some_and(|(utilization, _)| utilization < FULL_RATE_UTILIZATION);
            if hit && at_cache && size_kb.is_none() && at_full_rate {
                let (sum, n) = &mut self.transfer_totals[usize::from(request.arrival.class.0)];
                (*sum, *n) = (*sum + elapsed.as_secs_f64(), *n + 1.0);
            }
            if hit && at_cache {
                let (ratio, before) = (
                    elapsed.0 as f64 / predicted_hit.0 as f64,
                    host.slowness(now),
                );
                host.slowness = (before + (ratio - before) * SLOWNESS_GAIN, now);
            }
        }
        self.fills.add(now, -attempt.fill_probability);
        if ending == Done && attempt.fill_probability > 0.0 && outcome.note != Note::NotReported {
            self.fill_share += (f64::from(u8::from(!hit)) - self.fill_share) * FILL_SHARE_GAIN;
        }
        let reported = outcome.load.link_utilization.filter(|_| at_cache);
        self.link_utilization = reported.unwrap_or(self.link_utilization);
        let fill_source = self.hosts.get_mut(&source);
        if let Some(source) = fill_source.filter(|_| at_cache && !no_fill) {
            source.sent_seconds += transfer_seconds * f64::from(u8::from(ending == Done && !hit));
            if hit {
                source.slow_start_budget.0 += source.budget_cost(now, transfer_seconds);
            } else if matches!(ending, Done | TimedOut) {
                self.fill_waits.add((elapsed - predicted_hit).0 as f64);
            }
        }
        let good = |latency| Some(Good(latency));
        let notes_are_partial = self.settings.note_level != NoteLevel::All;
        let (failed, ambiguous, overloaded) = (Some(Failed), Some(Ambiguous), Some(Overloaded));
        let alive = good(None).filter(|_| answered);
        let (host_assessment, source_assessment, origin_assessment) = match (ending, outcome.note) {
            (Error | ConnectionLost, _) if !outcome.client_proven => (None, None, None),
            (Done, Note::Filled) => (alive, good(Some(latency)), None),
            (Done, Note::FilledByOrigin) if attempt.counted_overdue => {
                (alive, good(None), ambiguous)
            }
            (Done, Note::FilledByOrigin) => (alive, good(None), good(Some(latency))),
            (_, Note::OriginFailed) => (alive, None, overloaded),
            (_, Note::SourceRefused) => (alive, overloaded, None),
            (_, Note::SourceLost) => (alive, failed, None),
            (Full, _) if no_fill && !at_cache => (overloaded, None, None),
            (Done, _) if no_fill && attempt.counted_overdue => (ambiguous, None, None),
            // A hit within its prediction is not slow, however much faster others were: that differs by chance.
            (Done, _) if no_fill => (
                good(Some(elapsed_per_size.max(per_size(predicted_hit)))),
                None,
                None,
            ),
            (Done, Note::NotReported) if was_filled => {
                (alive, good(size_kb.map(|_| latency)), None)
            }
            (Error, Note::NotReported) if !no_fill && self.may_be_origin_fault(attempt) => {
                (alive, None, None)
            }
            // Either host may have failed, or one drains before the list says so. A good answer from the healthy one
            // resets its consecutive failures.
            (Error, Note::NotReported) if !no_fill && notes_are_partial => {
                (ambiguous, ambiguous, None)
            }
            (Full, Note::NotReported) if !no_fill => (ambiguous, ambiguous, None),
            (ConnectionLost, _) => (ambiguous, None, None),
            (NoConnection, _) | (Error, Note::NotReported) => (failed, None, None),
            _ => (alive, None, None),
        };
        let origin = self.origin.filter(|_| origin_assessment.is_some());
        let both = [(host, host_assessment), (source, source_assessment)];
        for (id, assessment) in both.into_iter().take(if no_fill { 1 } else { 2 }) {
            if Some(id) != origin && (assessment.is_some() || attempt.trial_of == Some(id)) {
                self.record_assessment(now, id, assessment, attempt);
            }
        }
        (origin.into_iter())
            .for_each(|id| self.record_assessment(now, id, origin_assessment, attempt));
    }

    /// Records an overdue attempt of this request as a failure: of its host if that has answered nothing since the
    /// attempt was sent; else of its source if that has answered nothing either, or nothing recently while another
    /// parent has; else of the origin if that has answered nothing well since.
    fn assess_overdue(&mut self, now: Timestamp, id: RequestId) {
        let is_overdue = |attempt: &&mut AttemptState| {
            attempt.in_flight && !attempt.counted_overdue && now >= attempt.overdue_at
        };
        let attempts = self
            .requests
            .get_mut(&id)
            .map(|request| &mut request.attempts);
        let Some(attempt) = attempts.and_then(|attempts| attempts.iter_mut().find(is_overdue))
        else {
            return;
        };
        attempt.counted_overdue = true;
        let attempt = *attempt;
        let Route { host, source, .. } = attempt.route;
        let recently = attempt.sent_at + now.since(attempt.sent_at).mul_f64(0.5);
        let is_quiet = |id: &HostId| self.hosts[id].last_seen_at <= recently;
        let a_parent_answers = !self.parents.iter().all(is_quiet);
        let only_source_quiet =
            a_parent_answers && is_quiet(&source) && self.parents.contains(&source);
        let is_silent =
            |id: HostId| self.hosts[&id].last_seen_at <= attempt.sent_at && Some(id) != self.origin;
        let not_good_since = |id: &HostId| self.hosts[id].breaker.last_good_at <= attempt.sent_at;
        if is_silent(host) {
            self.record_assessment(now, host, Some(Assessment::Failed), &attempt);
        } else if (only_source_quiet || is_silent(source)) && !self.may_be_origin_fault(&attempt) {
            self.record_assessment(now, source, Some(Assessment::Failed), &attempt);
        } else if let Some(origin) = self.origin.filter(not_good_since) {
            let overloaded = Some(Assessment::Overloaded).filter(|_| !attempt.only_if_cached);
            self.record_assessment(now, origin, overloaded, &attempt);
        }
    }

    /// Whether an unhealthy origin may explain the failure of an attempt, because its source may have waited for the
    /// origin.
    fn may_be_origin_fault(&self, attempt: &AttemptState) -> bool {
        let state = self.origin.map(|id| self.hosts[&id].breaker.state);
        state.is_some_and(|state| state != BreakerState::Closed) && !attempt.only_if_cached
    }

    /// Records what an outcome says about a host in the breaker of that host, which may open or close as a result.
    fn record_assessment(
        &mut self,
        now: Timestamp,
        id: HostId,
        assessment: Option<Assessment>,
        attempt: &AttemptState,
    ) {
        let role = self.hosts[&id].role;
        let role_latencies = &mut self.latencies_by_role[role as usize];
        let Some(host) = self.hosts.get_mut(&id) else {
            return;
        };
        let was_unhealthy = host.is_unhealthy();
        let mut latency = None;
        if let Some(Assessment::Good(known_latency)) = assessment {
            (host.last_seen_at, latency) = (now, known_latency);
        }
        let usual = host
            .breaker
            .usual_latencies
            .quantile_above(20)
            .or(role_latencies.quantile_above(20));
        let limit = usual.map_or(f64::MAX, |usual| SLOW_LATENCY_FACTOR * usual);
        // The weights are explained at `FAILURE_WEIGHT_LIMIT`; 4 is a certain failure.
        let weight = match assessment {
            Some(Assessment::Good(_)) => u32::from(latency.is_some_and(|latency| latency > limit)),
            Some(Assessment::Ambiguous) => 2,
            _ => 4,
        };
        latency
            .into_iter()
            .for_each(|latency| role_latencies.add(latency));
        host.breaker
            .pending_latencies
            .extend(latency.filter(|_| !was_unhealthy));
        let is_within_trial_timeout =
            latency.is_none_or(|latency| latency <= TRIAL_TIMEOUT.0 as f64);
        if attempt.trial_of == Some(id) && host.breaker.state == BreakerState::Trial {
            let next = match assessment {
                // The outcome says nothing about this host, which stays open for the next trial.
                None => BreakerState::Open(now),
                Some(Assessment::Good(_)) if is_within_trial_timeout => {
                    BreakerState::Ramp(INITIAL_SHARE, now + SHARE_DOUBLING_INTERVAL, true)
                }
                _ => BreakerState::Open(now + OPEN_DURATION),
            };
            host.breaker.enter(now, next);
        } else if assessment.is_some() && !was_unhealthy {
            let overloaded =
                assessment == Some(Assessment::Overloaded) || weight < 4 && role == Role::Origin;
            host.breaker.record(now, weight, overloaded);
        }
        if was_unhealthy != host.is_unhealthy() {
            let change = if was_unhealthy {
                "back by trial"
            } else {
                "open"
            };
            self.crossings
                .on_breaker_change(now, host.entry, !was_unhealthy);
            let text = format!("{role:?} {:x} breaker {change}", id.0);
            self.actions.push(Action::Log { text });
            self.to_process.extend(self.requests.keys());
        }
    }

    /// Decides about every request that needs it and returns all actions since the last call.
    pub fn take_actions(&mut self, now: Timestamp) -> Vec<Action> {
        while let Some(&(at, id)) = self.scheduled.first().filter(|(at, _)| *at <= now) {
            self.scheduled.remove(&(at, id));
            self.to_process.insert(id);
        }
        while let Some(id) = self.to_process.pop_first() {
            self.assess_overdue(now, id);
            while self
                .requests
                .get(&id)
                .is_some_and(|request| !request.closed)
            {
                match self.next_step(now, id) {
                    NextStep::Send(route) => self.send(now, id, route),
                    NextStep::Cancel(index) => self.cancel(id, index),
                    NextStep::GiveUp(reason) => self.give_up(now, id, reason),
                    NextStep::Wait(until) => {
                        self.scheduled.insert((until, id));
                        break;
                    }
                }
            }
            let is_finished = |request: &Request| {
                request.closed && request.attempts.iter().all(|attempt| !attempt.in_flight)
            };
            if self.requests.get(&id).is_some_and(is_finished) {
                self.requests.remove(&id);
            }
        }
        self.send_probe(now);
        let probe_at = Some(self.next_probe_at).filter(|_| self.settings.probes_enabled);
        let scheduled_at = self.scheduled.first().map(|&(at, _)| at);
        let next = scheduled_at.into_iter().chain(probe_at).min();
        if let Some(at) = next.filter(|&at| self.timer_set_for.is_none_or(|set_for| at < set_for)) {
            let timer = TimerId(0);
            self.timer_set_for = Some(at);
            self.actions.push(Action::SetTimer { at, timer });
        }
        std::mem::take(&mut self.actions)
    }

    /// Decides what is to be done next for an open request.
    fn next_step(&mut self, now: Timestamp, id: RequestId) -> NextStep {
        let request = &self.requests[&id];
        if now >= request.deadline {
            return NextStep::GiveUp(GiveUpReason::DeadlinePassed);
        }
        if let Some(index) = request
            .attempts
            .iter()
            .position(|attempt| attempt.in_flight)
        {
            let attempt = request.attempts[index];
            if now < attempt.overdue_at {
                return NextStep::Wait(attempt.overdue_at.min(request.deadline));
            }
            let unhealthy =
                [attempt.route.host, attempt.route.source].map(|id| self.hosts[&id].is_unhealthy());
            let is_unlikely_to_succeed =
                unhealthy.contains(&true) || self.may_be_origin_fault(&attempt);
            let may_retry_elsewhere =
                self.settings.may_cancel && self.class(request).effect == Effect::Idempotent;
            if is_unlikely_to_succeed
                && may_retry_elsewhere
                && !attempt.not_cancellable
                && attempt.trial_of.is_none()
            {
                return NextStep::Cancel(index);
            }
            return NextStep::Wait(request.deadline);
        }
        if request.attempts.len() >= self.settings.max_attempts {
            return NextStep::GiveUp(GiveUpReason::AttemptsUsed);
        }
        let last_at_origin =
            (request.attempts.last()).filter(|last| Some(last.route.host) == self.origin);
        let retry_at = last_at_origin.map_or(now, |last| last.sent_at + ORIGIN_RETRY_INTERVAL);
        if now < retry_at {
            return NextStep::Wait(retry_at.min(request.deadline));
        }
        match self.choose_route(now, id) {
            Ok(route) => NextStep::Send(route),
            Err(reason) => NextStep::GiveUp(reason),
        }
    }

    /// The caches or the parents in the hash order of the request's object.
    fn in_hash_order(&self, request: &Request, role: Role) -> Vec<HostId> {
        // The parts of an object are spread over the caches, so that a long object does not overload one; they fill
        // from the same parent.
        let (hosts, part) = match role {
            Role::Cache => (&self.caches, request.arrival.part),
            _ => (&self.parents, 0),
        };
        let score = |id: &HostId| {
            let capacity =
                Some(self.hosts[id].capacity).filter(|_| self.settings.capacities_reported);
            let hash = hash_to_unit(request.arrival.object, part, *id, 1);
            (
                -hash.max(1e-12).ln() / capacity.unwrap_or(1.0).max(0.01),
                *id,
            )
        };
        let mut order: Vec<_> = hosts.iter().map(score).collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        order.into_iter().map(|(_, id)| id).collect()
    }

    /// Whether the breaker and the slow-start capacity of a host admit this request, and no earlier attempt failed
    /// there.
    fn admits(&self, now: Timestamp, request: &Request, id: HostId) -> bool {
        let host = &self.hosts[&id];
        let share = match host.role {
            Role::Origin if self.class(request).is_write => host.breaker.admitted_share().ceil(),
            // The share of an origin counts bytes: large requests are excluded first.
            Role::Origin => host
                .breaker
                .admitted_share()
                .powf(request.transfer_seconds / self.mean_transfer()),
            _ => host
                .breaker
                .admitted_share()
                .min(host.slow_start_capacity(now)),
        };
        let in_share = hash_to_unit(request.arrival.object, request.arrival.part, id, 2) < share;
        let failed = host.role != Role::Origin && request.has_failed_at(id);
        !failed && (in_share || host.breaker.wants_trial(now))
    }

    /// Chooses the host and the source for the next attempt, or the reason why there is none.
    fn choose_route(&mut self, now: Timestamp, id: RequestId) -> Result<Route, GiveUpReason> {
        for id in self.caches.iter().chain(&self.parents).chain(&self.origin) {
            let host = self.hosts.get_mut(id);
            host.into_iter().for_each(|host| host.breaker.advance(now));
        }
        let request = &self.requests[&id];
        let (is_write, origin) = (self.class(request).is_write, self.origin);
        let open_origin = origin.filter(|&id| self.admits(now, request, id));
        if request.not_cached && origin.is_none_or(|id| !self.hosts[&id].is_unhealthy()) {
            return Err(GiveUpReason::NotCached);
        }
        if (request.not_cached || is_write) && self.settings.allows_direct {
            let route = open_origin.map(|host| Route { host, source: host });
            return route.ok_or(GiveUpReason::OriginUnavailable);
        }
        let cache = self.pick_cache(now, request);
        if is_write {
            let route = cache
                .zip(open_origin)
                .map(|(host, source)| Route { host, source });
            return route.ok_or(GiveUpReason::OriginUnavailable);
        }
        let source = self.pick_source(now, request, cache);
        // If no cache can be used, a request goes directly to the source that would have filled one.
        let is_unusable = |id| {
            self.hosts[&id].is_unhealthy() || !self.has_budget(now, id, self.charged_work(request))
        };
        let cannot_use = |id: &HostId| request.has_failed_at(*id) || is_unusable(*id);
        let Some(host) = cache else {
            let direct = source
                .filter(|_| self.settings.allows_direct && self.caches.iter().all(cannot_use));
            let host = direct.ok_or(GiveUpReason::NoHostInTime)?;
            let source = open_origin.unwrap_or(host);
            return Ok(Route { host, source });
        };
        let source = source.unwrap_or(host);
        Ok(Route { host, source })
    }

    /// The first parent in hash order that can be used, or else the origin, if a fill from there would be in time.
    fn pick_source(
        &self,
        now: Timestamp,
        request: &Request,
        cache: Option<HostId>,
    ) -> Option<HostId> {
        let is_usable = |id: &HostId| {
            let (host, source) = (cache.unwrap_or(*id), *id);
            let has_room = || self.crossing_has_room(now, request, Route { host, source });
            self.admits(now, request, source)
                && self.has_budget(now, source, request.transfer_seconds)
                && has_room()
        };
        let parents = self.in_hash_order(request, Role::Parent);
        let parent = parents.into_iter().find(is_usable);
        let source = parent.or(self.origin.filter(is_usable))?;
        let fill_time = TimeSpan::from_secs_f64(
            request.transfer_seconds * self.predicted_link_utilization().max(1.0),
        ) + FILL_OVERHEAD;
        (now + fill_time <= request.target).then_some(source)
    }

    /// The number of fills on the zone's link including one more, divided by the number that the link carries at the
    /// rate of an answer. Where hosts report the load of the link, this is derived from the report.
    fn predicted_link_utilization(&self) -> f64 {
        let link_kb_per_s = self
            .settings
            .link_kb_per_s
            .filter(|_| !self.settings.link_load_reported);
        let per_dispatcher =
            self.fills.average * (self.fills.current + 1.0) / (self.fills.average + 1.0);
        let fill_kb_per_s = (per_dispatcher + 1.0)
            * dispatchers_in_zone(&self.settings)
            * self.settings.stream_kb_per_s;
        link_kb_per_s.map_or(
            self.link_utilization / MIN_FILL_RATE_FACTOR,
            |link_kb_per_s| fill_kb_per_s / link_kb_per_s,
        )
    }

    /// How many times longer an answer from this host is predicted to take than on an idle host. The attempts of other
    /// dispatchers there are estimated by this dispatcher's average, corrected by its current number; the correction is
    /// stronger the higher the average is, because small numbers vary by chance.
    fn predicted_slowdown(&self, now: Timestamp, host: &Host) -> f64 {
        if host.role != Role::Cache {
            return 1.0;
        }
        let (own, capacity) = (f64::from(host.in_flight), host.capacity);
        let average = self.cache_attempts.average * capacity / self.zone_capacity.max(0.5);
        let others = average * (own + 1.0) / (average + 1.0) * (host.dispatchers - 1.0);
        let load = (own + others + 1.0) / (capacity * host.slow_start_capacity(now)).max(0.5);
        1.0 + (load - 1.0).max(0.0) * host.queueing_weight()
    }

    /// The first cache in hash order that admits the request and is fast enough, or else the one with the least load;
    /// `None` if the answer from there would be late. Where capacities and the size are known, the first also has to be
    /// in time.
    fn pick_cache(&self, now: Timestamp, request: &Request) -> Option<HostId> {
        let mut caches = self.in_hash_order(request, Role::Cache);
        caches.retain(|id| self.has_budget(now, *id, self.charged_work(request)));
        let load_slowdown = |id: &HostId| self.predicted_slowdown(now, &self.hosts[id]);
        let slowdown = |id: &HostId| load_slowdown(id) * self.hosts[id].slowness(now);
        let margin = request
            .arrival
            .size_kb
            .map_or(ESTIMATED_SIZE_MARGIN, |_| 1.0);
        let is_predictable = self.settings.capacities_reported && request.arrival.size_kb.is_some();
        let duration = |id: &HostId| {
            TimeSpan::from_secs_f64(request.transfer_seconds * load_slowdown(id) * margin)
                + ANSWER_OVERHEAD
        };
        let is_in_time =
            |id: &HostId| self.class(request).is_write || now + duration(id) <= request.target;
        let is_fast = |id: &HostId| {
            slowdown(id) <= MAX_SLOWDOWN_BEFORE_SPILL && (!is_predictable || is_in_time(id))
        };
        let is_preferred = |id: &&HostId| is_fast(id) && self.admits(now, request, **id);
        let is_usable =
            |id: &&HostId| !request.has_failed_at(**id) && !self.hosts[id].is_unhealthy();
        let by_load = |a: &&HostId, b: &&HostId| load_slowdown(a).total_cmp(&load_slowdown(b));
        let least_loaded = || caches.iter().filter(is_usable).min_by(by_load);
        let host = caches.iter().find(is_preferred).or_else(least_loaded);
        host.copied().filter(is_in_time)
    }

    /// Rule 2: whether an attempt may go to this host after those that may have run.
    fn may_repeat_at(&self, now: Timestamp, request: &Request, host: HostId) -> bool {
        let location = |id| (self.hosts[&id].entry.zone, self.hosts[&id].entry.cell);
        let own_attempts = request
            .attempts
            .iter()
            .filter(|attempt| attempt.in_flight || attempt.may_have_run);
        let own_attempts = own_attempts.map(|attempt| EarlierAttempt {
            location: Some(location(attempt.route.host)),
            sent_at: attempt.sent_at,
            in_flight: attempt.in_flight,
        });
        let peer_attempt = self.crossings.earlier_attempt(request.arrival.id);
        let peer_attempt = peer_attempt.map(|earlier| EarlierAttempt {
            location: earlier.location,
            sent_at: earlier.first_sent,
            in_flight: false,
        });
        let effect = self.class(request).effect;
        permits::may_repeat(
            now,
            effect,
            own_attempts.chain(peer_attempt),
            location(host),
        )
        .is_ok()
    }

    /// Rule 5: the highest age of a copy that may be served, by the latest purge of the object or its group and, where
    /// a stale copy is accepted or there was a purge, by the class.
    fn max_copy_age(
        &self,
        now: Timestamp,
        request: &Request,
        accepts_stale: bool,
    ) -> Option<TimeSpan> {
        let class = self.class(request);
        let since_purge = self
            .active_purges(now, request)
            .map(|purge| now.since(purge.at))
            .min();
        let grace = class
            .stale_grace
            .mul_f64(f64::from(u8::from(accepts_stale)));
        let by_class = class
            .fresh_for
            .filter(|_| accepts_stale || since_purge.is_some());
        let by_class = by_class.map(|fresh_for| fresh_for + grace);
        since_purge.into_iter().chain(by_class).min()
    }

    /// The crossing between zones that a route causes, if any.
    fn crossing(&self, request: &Request, route: Route) -> Option<Crossing> {
        let (own_zone, Route { host, source }) = (self.settings.zone, route);
        let [host_zone, source_zone] = [host, source].map(|id| self.hosts[&id].entry.zone);
        // A host in another zone fills over there; only its answer crosses.
        let is_direct = host_zone != own_zone;
        let (source, from) = if is_direct {
            (host, host_zone)
        } else {
            (source, source_zone)
        };
        let (arrival, attempt) = (request.arrival, AttemptNo(request.attempts.len() as u8));
        let usual_kb = request.transfer_seconds * self.settings.stream_kb_per_s;
        (from != own_zone).then(|| Crossing {
            arrival,
            attempt,
            host,
            source,
            from,
            to: own_zone,
            kb: arrival.size_kb.unwrap_or(usual_kb),
            join: self.settings.joins_fills && !is_direct && !self.class(request).is_write,
        })
    }

    /// Whether the links between zones have room for an attempt on this route.
    fn crossing_has_room(&self, now: Timestamp, request: &Request, route: Route) -> bool {
        let crossing = self.crossing(request, route);
        crossing.is_none_or(|crossing| self.crossings.has_room(now, &crossing))
    }

    /// The check that every attempt passes before it is sent; each rule is checked once.
    fn passes(&self, now: Timestamp, request: &Request, route: &Route) -> bool {
        let (host, source) = (&self.hosts[&route.host], &self.hosts[&route.source]);
        let no_fill = route.host == route.source;
        // Rule 1: nothing is sent for a request that is closed or past its deadline.
        let facts = SendFacts {
            answered: request.closed,
            client_closed: None,
            deadline: request.deadline,
            repeat_by: None,
        };
        let may_send = permits::may_send(now, &facts).is_ok();
        // Rule 3: neither host nor source may drain or be gone.
        let may_use = permits::may_use(host.is_ready(), source.is_ready()).is_ok();
        let in_budget = self.has_budget(now, route.host, self.charged_work(request));
        let in_budget =
            in_budget && (no_fill || self.has_budget(now, route.source, request.transfer_seconds));
        let is_permitted =
            may_send && may_use && in_budget && self.may_repeat_at(now, request, route.host);
        is_permitted && self.crossing_has_room(now, request, *route)
    }

    /// Sends an attempt on this route, or gives the request up if the attempt does not pass the check.
    fn send(&mut self, now: Timestamp, id: RequestId, route: Route) {
        let request = &self.requests[&id];
        if !self.passes(now, request, &route) {
            return self.give_up(now, id, GiveUpReason::NotPermitted);
        }
        let is_write = self.class(request).is_write;
        if self.seen_parts.len() >= MAX_SEEN_PARTS {
            self.seen_parts.clear();
        }
        let seen_before = !is_write
            && !self
                .seen_parts
                .insert((request.arrival.object, request.arrival.part));
        let crossing = self.crossing(request, route);
        let (class, host) = (self.class(request), &self.hosts[&route.host]);
        let (no_fill, at_cache) = (route.host == route.source, host.role == Role::Cache);
        // Without a fill, a stale copy is accepted.
        let accepts_stale = no_fill && at_cache;
        // Fetches that wait for an unhealthy origin would occupy the fill slots.
        let is_excluded = |id: HostId| !self.admits(now, request, id);
        let only_if_cached = !no_fill && at_cache && self.origin.is_some_and(is_excluded);
        let fill = Fill {
            source: route.source,
            rank: u8::from(!is_write) + u8::from(seen_before),
            max_age: self.max_copy_age(now, request, accepts_stale),
            join: self.settings.joins_fills && !no_fill,
            only_if_cached,
            revalidate: class.fresh_for.is_some() && !accepts_stale,
        };
        let fill = Some(fill).filter(|_| host.role != Role::Origin);
        let transfer =
            TimeSpan::from_secs_f64(request.transfer_seconds * self.predicted_slowdown(now, host))
                + ANSWER_OVERHEAD;
        let fill_wait = self
            .fill_waits
            .quantile_above(2)
            .map_or(0.0, |wait| wait * OVERDUE_FILL_WAITS);
        let wait = class
            .target
            .mul_f64(OVERDUE_TARGET_SHARE)
            .max(TimeSpan(fill_wait as u64));
        let overdue_at = now + transfer.mul_f64(OVERDUE_TRANSFER_FACTOR) + wait;
        let fill_share = if at_cache { self.fill_share } else { 1.0 };
        let never_fills = is_write || no_fill && at_cache;
        let fill_probability = if never_fills { 0.0 } else { fill_share };
        let (work, mean_transfer) = (self.charged_work(request), self.mean_transfer());
        let charges = [
            (route.host, work, 1),
            (route.source, request.transfer_seconds, 0),
        ];
        let mut trial_of = None;
        for (id, work, in_flight) in charges.into_iter().take(if no_fill { 1 } else { 2 }) {
            if let Some(host) = self.hosts.get_mut(&id) {
                host.slow_start_budget = (
                    host.refilled_budget(now, mean_transfer) - host.budget_cost(now, work),
                    now,
                );
                host.in_flight += in_flight;
                if trial_of.is_none() && host.breaker.wants_trial(now) {
                    host.breaker.state = BreakerState::Trial;
                    trial_of = Some(id);
                }
            }
        }
        self.cache_attempts
            .add(now, if at_cache { 1.0 } else { 0.0 });
        self.fills.add(now, fill_probability);
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempts.push(AttemptState {
                route,
                only_if_cached,
                sent_at: now,
                overdue_at,
                in_flight: true,
                trial_of,
                fill_probability,
                ..AttemptState::default()
            });
        }
        crossing
            .iter()
            .for_each(|crossing| self.crossings.on_sent(now, crossing));
        let (actions, host) = (&mut self.actions, route.host);
        actions.push(Action::Attempt(Attempt { id, host, fill }));
    }

    /// When a refused client of this class should retry, randomized; `None` where clients can't be told.
    pub fn retry_after(&mut self, now: Timestamp, class: ClassId) -> Option<TimeSpan> {
        let max = self.settings.max_retry_after?;
        let by_limits = self.crossings.retry_after(now, class);
        let mean = by_limits.map_or(DEFAULT_RETRY_AFTER, |by_limits| {
            by_limits.max(DEFAULT_RETRY_AFTER)
        });
        Some(mean.mul_f64(0.75 + 0.5 * self.rng.f64()).min(max))
    }

    /// Gives the final answer to a request for which nothing more can be done: a refusal if a retry is harmless, else a
    /// failure.
    fn give_up(&mut self, now: Timestamp, id: RequestId, reason: GiveUpReason) {
        let request = &self.requests[&id];
        let may_have_run = request
            .attempts
            .iter()
            .any(|attempt| attempt.in_flight || attempt.may_have_run);
        let may_have_run = may_have_run || self.crossings.earlier_attempt(id).is_some();
        let may_refuse = permits::may_refuse(self.class(request).effect, may_have_run);
        let class = request.arrival.class;
        let retry_after = self.retry_after(now, class);
        self.actions.push(match may_refuse {
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
