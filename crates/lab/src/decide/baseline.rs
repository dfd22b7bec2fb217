//! What the program's decisions are compared with, behind the same interface.
//!
//! All of them keep the five rules as well as the list allows: they differ in whom they ask, what opens a breaker
//! and how a host comes back. The last one sees the true state of all hosts, a little late.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use trailproxy::interface::*;
use trailproxy::logic::Dispatcher;
use trailproxy::policy::permits;
use trailproxy::policy::refusals::GiveUpReason;
use trailproxy::units::*;
use trailproxy_budgets::decide::follower::BudgetFollower;
use trailproxy_zones::{Rules, Zones};

/// Who decides at a dispatcher.
pub trait Decider {
    fn handle_event(&mut self, now: Timestamp, event: Event);
    fn take_actions(&mut self, now: Timestamp) -> Vec<Action>;
    /// The true pace of each host, as far as it is told: only the oracle looks at it.
    fn truth(&mut self, _now: Timestamp, _paces: &[(HostId, f64)]) {}
    /// How many hosts it keeps something of.
    fn tracked_hosts(&self) -> usize;
    /// Its account of traffic between zones, where it keeps one.
    fn zones(&mut self) -> Option<&mut Zones> {
        None
    }
    /// What its budgets come to now, where they are divided.
    fn set_slow_start_shares(&mut self, _now: Timestamp, _following: &mut BudgetFollower) {}
}

impl Decider for Dispatcher<Option<Zones>> {
    fn handle_event(&mut self, now: Timestamp, event: Event) {
        Dispatcher::handle_event(self, now, event);
    }

    fn take_actions(&mut self, now: Timestamp) -> Vec<Action> {
        Dispatcher::take_actions(self, now)
    }

    fn tracked_hosts(&self) -> usize {
        Dispatcher::tracked_hosts(self)
    }

    fn zones(&mut self) -> Option<&mut Zones> {
        self.crossings.as_mut()
    }

    fn set_slow_start_shares(&mut self, now: Timestamp, following: &mut BudgetFollower) {
        following.advance(now, &mut self.crossings);
        if let Some((caches, parents)) = following.take_slow_start_shares() {
            Dispatcher::set_slow_start_shares(self, now, caches, parents);
        }
    }
}

/// Who is to decide in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The program's own module.
    Design,
    /// Any ready cache and parent.
    Random,
    /// Hash order, and nothing is ever skipped.
    HashOrder,
    /// Hash order with a breaker that closes fully when its time is over.
    NoRamp,
    /// Where the fewest own hand-offs are out.
    LeastOut,
    /// Hash order over the hosts that truly serve well, as told half a second late.
    Oracle,
}

impl Policy {
    pub const ALL: [(&'static str, Policy); 6] = [
        ("design", Policy::Design),
        ("random", Policy::Random),
        ("hash", Policy::HashOrder),
        ("no-ramp", Policy::NoRamp),
        ("least-out", Policy::LeastOut),
        ("oracle", Policy::Oracle),
    ];

    pub fn by_name(name: &str) -> Option<Policy> {
        Policy::ALL
            .iter()
            .find(|known| known.0 == name)
            .map(|known| known.1)
    }

    pub fn name(self) -> &'static str {
        Policy::ALL
            .iter()
            .find(|known| known.1 == self)
            .map_or("", |known| known.0)
    }

    /// A decider for one dispatcher.
    pub fn decider(
        self,
        terms: DispatcherSettings,
        rules: Option<&Rules>,
        seed: u64,
    ) -> Box<dyn Decider> {
        match self {
            Policy::Design => {
                // Its points in the budgets are drawn apart from the decisions' own chance.
                let zones = rules.map(|rules| Zones::new(&terms, rules.clone(), !seed));
                Box::new(Dispatcher::new(zones, terms, seed))
            }
            policy => Box::new(Baseline::new(policy, terms, seed)),
        }
    }
}

/// The window of the plain breaker, the share of failures that opens it, and for how long.
const WINDOW: TimeSpan = TimeSpan::from_secs(10);
const LEAST: usize = 10;
const OPEN_FOR: TimeSpan = TimeSpan::from_secs(10);
/// A host below this part of its pace is left out by the oracle.
const WELL: f64 = 0.5;
/// Part of a cold host's told limit that all use together, and what an answer takes beside its sending.
const COLD_USE: f64 = 0.4;
const HOP: TimeSpan = TimeSpan::from_millis(40);
const DEFAULT_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(500);

#[derive(Clone, Copy, PartialEq, Eq)]
enum Role {
    Cache,
    Parent,
    Origin,
}

struct Host {
    entry: HostEntry,
    role: Role,
    out: u32,
    recent: VecDeque<(Timestamp, bool)>,
    open_until: Timestamp,
    pace: f64,
    /// What is left of its cold limit, and when that was reckoned.
    allowance: (f64, Timestamp),
}

struct Try {
    host: HostId,
    source: HostId,
    sent: Timestamp,
    out: bool,
    may_have_run: bool,
    withdrawn: bool,
}

struct Request {
    arrival: Arrival,
    limit: Timestamp,
    tries: Vec<Try>,
    failed: BTreeSet<HostId>,
    ended: bool,
}

/// One dispatcher under a plain policy.
pub struct Baseline {
    policy: Policy,
    terms: DispatcherSettings,
    chance: fastrand::Rng,
    seats: f64,
    hosts: BTreeMap<HostId, Host>,
    accesses: BTreeMap<RequestId, Request>,
    touched: BTreeSet<RequestId>,
    limits: BTreeSet<(Timestamp, RequestId)>,
    armed: Option<Timestamp>,
    purges: BTreeMap<(GroupId, Option<ObjectId>), Timestamp>,
    actions: Vec<Action>,
}

impl Baseline {
    pub fn new(policy: Policy, terms: DispatcherSettings, seed: u64) -> Baseline {
        let seats = terms
            .dispatchers_by_zone
            .get(usize::from(terms.zone.0))
            .copied();
        Baseline {
            policy,
            chance: fastrand::Rng::with_seed(seed),
            seats: f64::from(seats.unwrap_or(terms.dispatchers).max(1)),
            hosts: BTreeMap::new(),
            accesses: BTreeMap::new(),
            touched: BTreeSet::new(),
            limits: BTreeSet::new(),
            armed: None,
            purges: BTreeMap::new(),
            actions: Vec::new(),
            terms,
        }
    }

    fn role(&self, kind: KindId) -> Role {
        match Some(kind) {
            kind if kind == self.terms.parent_kind => Role::Parent,
            kind if kind == self.terms.origin_kind => Role::Origin,
            _ => Role::Cache,
        }
    }

    fn list(&mut self, now: Timestamp, form: HostListKind, entries: Vec<HostEntry>) {
        if form == HostListKind::Full {
            self.hosts
                .values_mut()
                .for_each(|host| host.entry.state = HostState::Gone);
        }
        for entry in entries {
            let role = self.role(entry.kind);
            let fresh = || Host {
                entry,
                role,
                out: 0,
                recent: VecDeque::new(),
                open_until: Timestamp(0),
                pace: 1.0,
                allowance: (0.0, now),
            };
            let host = self.hosts.entry(entry.host).or_insert_with(fresh);
            if host.entry.started != entry.started {
                (host.recent, host.open_until) = (VecDeque::new(), Timestamp(0));
                host.allowance = (-self.chance.f64(), now);
            }
            host.entry = entry;
        }
        let named: BTreeSet<HostId> = self
            .accesses
            .values()
            .flat_map(|access| &access.tries)
            .flat_map(|t| [t.host, t.source])
            .collect();
        self.hosts
            .retain(|id, host| host.entry.state != HostState::Gone || named.contains(id));
    }

    fn track(&self, access: &Request) -> &ClassSettings {
        &self.terms.classes[usize::from(access.arrival.class.0)]
    }

    fn send_time(&self, access: &Request) -> TimeSpan {
        let kb = access
            .arrival
            .size_kb
            .unwrap_or(self.terms.stream_kb_per_s * 0.05);
        TimeSpan::from_secs_f64(kb / self.terms.stream_kb_per_s)
    }

    fn cold(&self, role: Role) -> SlowStart {
        if role == Role::Cache {
            self.terms.cache_slow_start
        } else {
            self.terms.parent_slow_start
        }
    }

    fn warmth(&self, now: Timestamp, host: &Host) -> f64 {
        let cold = self.cold(host.role);
        let age = host.entry.started.map(|at| now.since(at).as_secs_f64());
        let risen = age.map_or(1.0, |age| {
            (age / cold.duration.as_secs_f64().max(1e-3)).min(1.0)
        });
        cold.initial_capacity + (1.0 - cold.initial_capacity) * risen
    }

    /// The fourth rule, for all dispatchers together: each has an equal part of a cold host's limit.
    fn spares(&self, now: Timestamp, host: &Host, work: TimeSpan) -> bool {
        self.warmth(now, host) >= 1.0
            || (self.allowance(now, host) >= 0.0
                && self.cost(now, host, work) <= self.all(host.role))
    }

    fn all(&self, role: Role) -> f64 {
        if role == Role::Cache {
            self.seats
        } else {
            f64::from(self.terms.dispatchers.max(1))
        }
    }

    fn cost(&self, now: Timestamp, host: &Host, work: TimeSpan) -> f64 {
        let cold = self.cold(host.role);
        let told = cold.overload_factor * cold.overload_window.as_secs_f64();
        let limit = told * COLD_USE * self.warmth(now, host) * host.entry.capacity;
        work.as_secs_f64() * self.all(host.role) / limit.max(1e-9)
    }

    fn allowance(&self, now: Timestamp, host: &Host) -> f64 {
        let span = self.cold(host.role).overload_window.as_secs_f64().max(1e-3);
        (host.allowance.0 + now.since(host.allowance.1).as_secs_f64() / span).min(1.0)
    }

    /// Whether the policy lets this host be asked at all.
    fn usable(&self, now: Timestamp, access: &Request, id: HostId) -> bool {
        let host = &self.hosts[&id];
        let ready = host.entry.state == HostState::Ready && !access.failed.contains(&id);
        let work = self.send_time(access).max(TimeSpan::from_millis(20));
        let open = match self.policy {
            Policy::NoRamp => now < host.open_until,
            Policy::Oracle => host.pace < WELL,
            _ => false,
        };
        ready && !open && self.spares(now, host, work)
    }

    fn order(&mut self, now: Timestamp, id: RequestId, role: Role) -> Vec<HostId> {
        let access = &self.accesses[&id];
        let zone = self.terms.zone;
        let meant =
            |host: &&Host| host.role == role && (role != Role::Cache || host.entry.zone == zone);
        let ids: Vec<HostId> = self
            .hosts
            .values()
            .filter(meant)
            .map(|host| host.entry.host)
            .collect();
        let mut all: Vec<HostId> = ids
            .into_iter()
            .filter(|&host| self.usable(now, access, host))
            .collect();
        let (object, part) = (
            access.arrival.object,
            if role == Role::Cache {
                access.arrival.part
            } else {
                0
            },
        );
        match self.policy {
            Policy::Random => self.chance.shuffle(&mut all),
            Policy::LeastOut => all.sort_by_key(|host| (self.hosts[host].out, *host)),
            _ => {
                let score = |host: &HostId| {
                    let x = crate::chance::mix(object.0 ^ (u64::from(part) << 52), host.0);
                    let even = ((x >> 11) as f64 + 1.0) / (1u64 << 53) as f64;
                    -even.ln() / self.hosts[host].entry.capacity.max(0.01)
                };
                all.sort_by(|a, b| score(a).total_cmp(&score(b)));
            }
        }
        all
    }

    /// Rule 2: whether what may have run allows a hand-off there.
    fn may_go(&self, now: Timestamp, access: &Request, to: HostId) -> bool {
        let mut ran = access.tries.iter().filter(|t| t.out || t.may_have_run);
        match self.track(access).effect {
            Effect::Idempotent => access.tries.iter().all(|t| !t.out),
            Effect::NonIdempotent => ran.next().is_none(),
            Effect::Keyed { group, window } => ran.all(|t| {
                let [a, b] = [t.host, to].map(|id| self.hosts[&id].entry);
                let same = match group {
                    RepeatGroup::All => true,
                    RepeatGroup::Zone => a.zone == b.zone,
                    RepeatGroup::Cell => a.cell == b.cell,
                };
                !t.out && same && now < t.sent + window
            }),
        }
    }

    fn step(&mut self, now: Timestamp, id: RequestId) {
        let Some(access) = self.accesses.get(&id).filter(|access| !access.ended) else {
            return self.forget(id);
        };
        if access.tries.iter().any(|t| t.out) && now < access.limit {
            return;
        }
        if now >= access.limit || access.tries.len() >= self.terms.max_attempts {
            return self.give_up(id);
        }
        let written = self.track(access).is_write;
        let caches = self.order(now, id, Role::Cache);
        let parents = self.order(now, id, Role::Parent);
        let origin = self.order(now, id, Role::Origin).first().copied();
        let (host, source) = match (written, caches.first(), parents.first().copied().or(origin)) {
            (true, cache, _) => {
                let host = if self.terms.allows_direct {
                    origin
                } else {
                    cache.copied()
                };
                (host, origin)
            }
            (false, Some(&cache), source) => (Some(cache), source.or(Some(cache))),
            (false, None, source) => (
                source.filter(|_| self.terms.allows_direct),
                origin.or(source),
            ),
        };
        let (Some(host), Some(source)) = (host, source) else {
            return self.give_up(id);
        };
        let access = &self.accesses[&id];
        let late = now + self.send_time(access) + HOP > access.limit;
        if late || !self.may_go(now, access, host) {
            return self.give_up(id);
        }
        self.send(now, id, host, source, written);
    }

    fn send(&mut self, now: Timestamp, id: RequestId, host: HostId, source: HostId, written: bool) {
        let access = &self.accesses[&id];
        let track = self.track(access);
        let (object, group) = (access.arrival.object, access.arrival.group);
        let keys = [(GroupId::default(), Some(object)), (group, None)];
        let since = keys
            .iter()
            .filter_map(|key| Some(now.since(*self.purges.get(key)?)));
        let max_age = since.chain(track.fresh_for).min();
        let fill = Fill {
            source,
            rank: u8::from(!written),
            max_age,
            join: self.terms.joins_fills && source != host,
            only_if_cached: false,
            revalidate: track.fresh_for.is_some() && source != host,
        };
        let work = self.send_time(access).max(TimeSpan::from_millis(20));
        let costs = [host, source].map(|id| (id, self.cost(now, &self.hosts[&id], work)));
        for (nth, (id, cost)) in costs.into_iter().enumerate() {
            let left = self.allowance(now, &self.hosts[&id]);
            if let Some(host) = self
                .hosts
                .get_mut(&id)
                .filter(|_| nth == 0 || source != costs[0].0)
            {
                host.out += u32::from(nth == 0);
                host.allowance = (left - cost, now);
            }
        }
        let to_origin = self.hosts[&host].role == Role::Origin;
        if let Some(access) = self.accesses.get_mut(&id) {
            access.tries.push(Try {
                host,
                source,
                sent: now,
                out: true,
                may_have_run: false,
                withdrawn: false,
            });
        }
        let fill = Some(fill).filter(|_| !to_origin);
        self.actions
            .push(Action::Attempt(Attempt { id, host, fill }));
    }

    fn give_up(&mut self, id: RequestId) {
        let access = &self.accesses[&id];
        let ran = access.tries.iter().any(|t| t.out || t.may_have_run);
        let harmless = permits::may_refuse(self.track(access).effect, ran);
        let retry_after = self
            .terms
            .max_retry_after
            .map(|longest| DEFAULT_RETRY_AFTER.min(longest));
        self.actions.push(if harmless {
            let reason = GiveUpReason::NoHostInTime;
            Action::Refuse {
                id,
                retry_after,
                reason,
            }
        } else {
            let reason = GiveUpReason::NoHostInTime;
            Action::Fail { id, reason }
        });
        self.close(id);
    }

    fn close(&mut self, id: RequestId) {
        let may = self.terms.may_cancel;
        if let Some(access) = self.accesses.get_mut(&id) {
            access.ended = true;
            for (no, attempt) in access
                .tries
                .iter_mut()
                .enumerate()
                .filter(|(_, t)| may && t.out && !t.withdrawn)
            {
                attempt.withdrawn = true;
                self.actions.push(Action::Cancel {
                    id,
                    attempt: AttemptNo(no as u8),
                });
            }
        }
        self.forget(id);
    }

    fn forget(&mut self, id: RequestId) {
        let over = |access: &Request| access.ended && access.tries.iter().all(|t| !t.out);
        if let Some(access) = self.accesses.get(&id).filter(|access| over(access)) {
            self.limits.remove(&(access.limit, id));
            self.accesses.remove(&id);
        }
    }

    fn outcome(&mut self, now: Timestamp, outcome: &Outcome) {
        let id = outcome.id;
        let tries = self.accesses.get_mut(&id).map(|access| &mut access.tries);
        let attempt = tries.and_then(|tries| tries.get_mut(usize::from(outcome.attempt.0)));
        let Some(attempt) = attempt.filter(|t| t.out) else {
            return;
        };
        attempt.out = false;
        attempt.may_have_run = !outcome.ending.never_ran();
        let (host, source) = (attempt.host, attempt.source);
        self.hosts
            .get_mut(&host)
            .into_iter()
            .for_each(|host| host.out = host.out.saturating_sub(1));
        let bad = match outcome.ending {
            Ending::Done | Ending::Miss | Ending::Cancelled | Ending::NotSent => None,
            Ending::Error if host != source => Some(source),
            _ => Some(host),
        };
        for (id, failed) in [(host, bad == Some(host)), (source, bad == Some(source))] {
            if let Some(host) = self.hosts.get_mut(&id) {
                host.recent.push_back((now, failed));
                while host
                    .recent
                    .front()
                    .is_some_and(|&(at, _)| now.since(at) > WINDOW)
                {
                    host.recent.pop_front();
                }
                let failures = host.recent.iter().filter(|(_, failed)| *failed).count();
                if host.recent.len() >= LEAST && failures * 2 > host.recent.len() {
                    host.open_until = now + OPEN_FOR;
                    host.recent.clear();
                }
            }
        }
        if let Some(access) = self.accesses.get_mut(&id) {
            access.failed.extend(bad);
        }
        if outcome.request_closed {
            self.close(id);
        }
        self.touched.insert(id);
    }
}

impl Decider for Baseline {
    fn handle_event(&mut self, now: Timestamp, event: Event) {
        match event {
            Event::HostList { kind, entries } => self.list(now, kind, entries),
            Event::Arrived(arrival) => {
                let limit = now + arrival.time_left;
                let (tries, failed) = (Vec::new(), BTreeSet::new());
                self.accesses.insert(
                    arrival.id,
                    Request {
                        arrival,
                        limit,
                        tries,
                        failed,
                        ended: false,
                    },
                );
                self.limits.insert((limit, arrival.id));
                self.touched.insert(arrival.id);
            }
            Event::ResponseStarted { id, .. } | Event::ClientGone { id } => self.close(id),
            Event::Outcome(outcome) => self.outcome(now, &outcome),
            Event::TimerFired { .. } => self.armed = None,
            Event::Probed { .. } | Event::PeerBreakerOpened { .. } => {}
            Event::Purged {
                object, group, age, ..
            } => {
                let forget = self.terms.purge_propagation.mul_f64(3.0);
                self.purges.retain(|_, &mut at| now.since(at) < forget);
                let group = object.map_or(group, |_| GroupId::default());
                let at = self.purges.entry((group, object)).or_default();
                *at = (*at).max(now - age);
            }
        }
    }

    fn take_actions(&mut self, now: Timestamp) -> Vec<Action> {
        while let Some(&(at, id)) = self.limits.first().filter(|(at, _)| *at <= now) {
            self.limits.remove(&(at, id));
            self.touched.insert(id);
        }
        for id in std::mem::take(&mut self.touched) {
            self.step(now, id);
        }
        let next = self.limits.first().map(|&(at, _)| at);
        if let Some(at) = next.filter(|&at| self.armed.is_none_or(|armed| at < armed)) {
            self.armed = Some(at);
            self.actions.push(Action::SetTimer {
                at,
                timer: TimerId(0),
            });
        }
        std::mem::take(&mut self.actions)
    }

    fn tracked_hosts(&self) -> usize {
        self.hosts.len()
    }

    fn truth(&mut self, _now: Timestamp, paces: &[(HostId, f64)]) {
        for (id, pace) in paces {
            self.hosts
                .get_mut(id)
                .into_iter()
                .for_each(|host| host.pace = *pace);
        }
    }
}
