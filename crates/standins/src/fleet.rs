//! Cache hosts, parents, the origin and the links into zones, as one state machine.
//!
//! Give it what hosts are asked with [`Fleet::hand_off`] and [`Fleet::withdraw`], and time with [`Fleet::advance`];
//! it says what they answer. A fill is fluid: it goes on at the source's link out and at the zone's link in at once
//! and is over when both are, and what a host passes on runs while the fill does.

use crate::pipe::Pipe;
use crate::shape::*;
use crate::store::{Copy, PartOf, Store};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use trailproxy::interface::{Ending, Fill, HostEntry, HostState, Note};
use trailproxy::units::*;

/// One hand-off, as its sender names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Names a fetch of one host from another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct FetchId(u64);

/// What a host is asked.
#[derive(Clone, Copy, Debug)]
pub struct Pull {
    pub ticket: Ticket,
    pub host: HostId,
    /// Where the client is.
    pub zone: ZoneId,
    pub track: ClassId,
    pub object: ObjectId,
    pub group: GroupId,
    pub part: u32,
    pub kb: f64,
    pub fill: Option<Fill>,
}

/// What the fleet says, in the order in which it happens.
#[derive(Clone, Debug, PartialEq)]
pub enum Said {
    Answer(Answer),
    /// What the list has to tell from now on.
    Listed(HostEntry),
    Purged {
        object: Option<ObjectId>,
        group: GroupId,
    },
    /// A process begins or ends: from now on its address takes connections, or refuses them.
    Up(HostId),
    Down(HostId),
    /// A cold host was asked for so much by another that fills from it.
    Given {
        host: HostId,
        kb: f64,
    },
    /// A cold host was given more than it can bear, and fell over.
    Fell(HostId),
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Answer {
    pub ticket: Ticket,
    pub ending: Ending,
    pub note: Note,
    /// Time to the first byte from the source, or to the fill's failure.
    pub waited: Option<TimeSpan>,
    /// When the origin gave out the copy that was answered.
    pub minted: Option<Timestamp>,
    /// Transfers on the zone's link over those that fit.
    pub link_full: f64,
}

/// Bytes by where they came from, in KB.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Moved {
    pub origin_kb: f64,
    pub hub_kb: f64,
    /// Answered by caches out of what they held.
    pub hit_kb: f64,
}

/// What moves through a pipe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Flow {
    Job(Ticket),
    Fetch(FetchId),
}

#[derive(Clone, Copy, Debug)]
enum Waiter {
    Job(Ticket),
    Fetch(FetchId),
}

struct Job {
    pull: Pull,
    at: usize,
    /// Flows, and a fetch, that are not over yet.
    pending: u8,
    note: Note,
    waited: Option<TimeSpan>,
    minted: Option<Timestamp>,
}

/// One host gets a part from another.
struct Fetch {
    to: usize,
    from: usize,
    part: PartOf,
    track: ClassId,
    group: GroupId,
    kb: f64,
    rank: u8,
    oldest: Option<TimeSpan>,
    held_only: bool,
    shared: bool,
    waiters: Vec<Waiter>,
    pending: u8,
    asked: Timestamp,
    begun: Option<Timestamp>,
    note: Note,
    minted: Timestamp,
}

#[derive(Clone, Debug)]
enum Timer {
    JobComes(Ticket),
    JobBegins(Ticket),
    FetchComes(FetchId),
    FetchBegins(FetchId),
    FetchLate(FetchId),
    Cue(Trouble),
    Up(HostId, u32),
    Down(HostId, u32),
    Warm(HostId, u32),
    Pace(HostId),
    LinkBack(ZoneId),
    List(HostId),
    Purge(HostId, Option<ObjectId>, GroupId, Timestamp),
}

/// How a host is out of order, each until a point in time.
#[derive(Clone, Copy, Debug, Default)]
struct Ills {
    silent: Timestamp,
    slow: (f64, Timestamp),
    stalled: Timestamp,
    garbage: (f64, Timestamp),
    resets: (f64, Timestamp),
    /// Falls to this part between the two moments.
    ageing: Option<(f64, Timestamp, Timestamp)>,
}

struct Server {
    shape: HostShape,
    /// Goes up with each start and end.
    life: u32,
    up: bool,
    draining: bool,
    started: Option<Timestamp>,
    ills: Ills,
    out: Pipe<Flow>,
    store: Store,
    jobs: BTreeSet<Ticket>,
    serving: BTreeSet<FetchId>,
    fetching: BTreeMap<PartOf, FetchId>,
    /// Work given while cold, for the span in which it counts.
    given: VecDeque<(Timestamp, f64)>,
    moved_before: f64,
}

/// Two spans of this are between the word of a drain and the end of the process.
const DRAIN: TimeSpan = TimeSpan::from_secs(2);
/// A renewal of what did not change moves this part of it.
const UNCHANGED: f64 = 0.05;
const COLD_STEP: TimeSpan = TimeSpan::from_millis(250);
/// From this part of its fresh time on, a copy is renewed behind.
const RENEW_FROM: f64 = 0.8;

pub struct Fleet {
    shape: Shape,
    servers: Vec<Server>,
    places: BTreeMap<HostId, usize>,
    links: Vec<Pipe<Flow>>,
    jobs: BTreeMap<Ticket, Job>,
    fetches: BTreeMap<FetchId, Fetch>,
    timers: BTreeMap<(Timestamp, u64), Timer>,
    /// When each pipe next has a transfer over: servers first, then links.
    due: BTreeSet<(Timestamp, usize)>,
    due_of: Vec<Option<Timestamp>>,
    late_list: (TimeSpan, Timestamp),
    chance: StdRng,
    next: u64,
    said: Vec<Said>,
    hit_kb: f64,
    /// KB of transfers that crossed a link whole, by zone and track.
    whole: Vec<Vec<f64>>,
    now: Timestamp,
}

impl Fleet {
    pub fn new(shape: Shape, script: &[Cue], seed: u64) -> Fleet {
        let flow = shape.flow_kb_per_s;
        // Caches send to clients, the others to hosts.
        let pace = |role| match role {
            Role::Cache => flow,
            _ => shape.fill_kb_per_s,
        };
        let server = |host: &HostShape| Server {
            shape: host.clone(),
            life: 0,
            up: true,
            draining: false,
            started: None,
            ills: Ills::default(),
            out: Pipe::new(host.size * flow, pace(host.role)),
            store: Store::new(host.room_kb),
            jobs: BTreeSet::new(),
            serving: BTreeSet::new(),
            fetching: BTreeMap::new(),
            given: VecDeque::new(),
            moved_before: 0.0,
        };
        let servers: Vec<Server> = shape.hosts.iter().map(server).collect();
        let ids = shape.hosts.iter().map(|host| host.id).zip(0..);
        let links: Vec<_> = shape
            .zones
            .iter()
            .map(|z| Pipe::new(z.link_kb_per_s, shape.fill_kb_per_s))
            .collect();
        let mut fleet = Fleet {
            places: ids.collect(),
            due_of: vec![None; servers.len() + links.len()],
            servers,
            links,
            jobs: BTreeMap::new(),
            fetches: BTreeMap::new(),
            timers: BTreeMap::new(),
            due: BTreeSet::new(),
            late_list: (TimeSpan::ZERO, Timestamp(0)),
            chance: StdRng::seed_from_u64(seed),
            next: 0,
            said: Vec::new(),
            hit_kb: 0.0,
            whole: vec![vec![0.0; shape.tracks.len()]; shape.zones.len()],
            now: Timestamp(0),
            shape,
        };
        for cue in script {
            fleet.timer(cue.at, Timer::Cue(cue.trouble.clone()));
        }
        fleet
    }

    /// The list as it stands.
    pub fn list(&self) -> Vec<HostEntry> {
        self.servers.iter().map(Server::entry).collect()
    }

    /// The place of a host among those of the shape; one that replaces another has its place.
    pub fn place(&self, host: HostId) -> Option<usize> {
        self.places.get(&host).copied()
    }

    /// The host at a place.
    pub fn at(&self, place: usize) -> &HostShape {
        &self.servers[place].shape
    }

    /// How much later than usual the list is told now.
    pub fn list_delay(&self, now: Timestamp) -> TimeSpan {
        if now < self.late_list.1 {
            self.late_list.0
        } else {
            TimeSpan::ZERO
        }
    }

    /// The part of its usual pace at which a host serves now; 0 where nothing comes. No dispatcher sees this.
    pub fn truth(&self, now: Timestamp, host: HostId) -> f64 {
        let Some(server) = self.places.get(&host).map(|&at| &self.servers[at]) else {
            return 0.0;
        };
        let ills = &server.ills;
        if !server.up || server.draining || now < ills.silent || now < ills.stalled {
            return 0.0;
        }
        let slow = if now < ills.slow.1 { ills.slow.0 } else { 1.0 };
        let spoilt =
            [ills.garbage, ills.resets].map(|(share, until)| if now < until { share } else { 0.0 });
        server.vigour(now) * (1.0 - spoilt[0]) * (1.0 - spoilt[1]) / slow.max(1.0)
    }

    pub fn moved(&self) -> Moved {
        let of = |role: Role| {
            let all = self.servers.iter().filter(|s| s.shape.role == role);
            all.map(|s| s.out.moved_kb() + s.moved_before).sum()
        };
        Moved {
            origin_kb: of(Role::Origin),
            hub_kb: of(Role::Parent),
            hit_kb: self.hit_kb,
        }
    }

    /// KB that crossed the link into a zone so far.
    pub fn crossed_kb(&self, zone: ZoneId) -> f64 {
        self.links[usize::from(zone.0)].moved_kb()
    }

    /// KB of transfers that crossed the link into a zone whole, by track.
    pub fn crossed_whole_kb(&self, zone: ZoneId) -> &[f64] {
        &self.whole[usize::from(zone.0)]
    }

    fn whole(&mut self, zone: usize, flow: Flow) {
        let of = match flow {
            Flow::Job(ticket) => self
                .jobs
                .get(&ticket)
                .map(|job| (job.pull.track, job.pull.kb)),
            Flow::Fetch(id) => self.fetches.get(&id).map(|fetch| (fetch.track, fetch.kb)),
        };
        if let Some((track, kb)) = of {
            self.whole[zone][usize::from(track.0)] += kb;
        }
    }

    /// Everything that is not over yet: hand-offs and fetches.
    pub fn under_way(&self) -> usize {
        self.jobs.len() + self.fetches.len()
    }

    /// Puts copies where they would be had the fleet run for a while.
    pub fn hold(&mut self, host: HostId, part: PartOf, group: GroupId, kb: f64, minted: Timestamp) {
        if let Some(&at) = self.places.get(&host) {
            let rank = 1;
            self.servers[at].store.keep(
                part,
                Copy {
                    minted,
                    kb,
                    rank,
                    group,
                },
            );
        }
    }

    fn timer(&mut self, at: Timestamp, timer: Timer) {
        self.next += 1;
        self.timers.insert((at, self.next), timer);
    }

    /// When it has something to do next.
    pub fn next(&self) -> Option<Timestamp> {
        let timer = self.timers.first_key_value().map(|(&(at, _), _)| at);
        let pipe = self.due.first().map(|&(at, _)| at);
        timer.into_iter().chain(pipe).min()
    }

    /// Lets time pass and takes what was said until then.
    pub fn advance(&mut self, now: Timestamp) -> Vec<Said> {
        while let Some(at) = self.next().filter(|&at| at <= now) {
            self.now = self.now.max(at);
            let timer = self.timers.first_key_value().map(|(&key, _)| key);
            let pipe = self.due.first().copied();
            match (timer, pipe) {
                (Some(key), _) if pipe.is_none_or(|(at, _)| key.0 <= at) => {
                    let timer = self.timers.remove(&key);
                    timer.into_iter().for_each(|timer| self.ring(timer));
                }
                (_, Some((at, pipe))) => {
                    let over = self.pipe(pipe).take_over(at);
                    self.touch(pipe);
                    if let Some(zone) = pipe.checked_sub(self.servers.len()) {
                        over.iter().for_each(|flow| self.whole(zone, *flow));
                    }
                    over.into_iter().for_each(|flow| self.flow_over(flow));
                }
                _ => break,
            }
        }
        self.now = self.now.max(now);
        std::mem::take(&mut self.said)
    }

    fn pipe(&mut self, pipe: usize) -> &mut Pipe<Flow> {
        let servers = self.servers.len();
        if pipe < servers {
            &mut self.servers[pipe].out
        } else {
            &mut self.links[pipe - servers]
        }
    }

    /// Files a pipe under the time at which it next has something over.
    fn touch(&mut self, pipe: usize) {
        let next = self.pipe(pipe).next();
        if let Some(old) = std::mem::replace(&mut self.due_of[pipe], next) {
            self.due.remove(&(old, pipe));
        }
        self.due.extend(next.map(|at| (at, pipe)));
    }

    fn flow(&mut self, pipe: usize, flow: Flow, kb: f64) {
        let now = self.now;
        self.pipe(pipe).add(now, flow, kb);
        self.touch(pipe);
    }

    fn unflow(&mut self, pipe: usize, flow: Flow) {
        let now = self.now;
        if self.pipe(pipe).drop(now, flow) {
            self.touch(pipe);
        }
    }

    /// The link that something from a host crosses on its way into a zone.
    fn link(&self, from: usize, zone: ZoneId) -> Option<usize> {
        let zone_at = usize::from(zone.0);
        let crosses =
            self.servers[from].shape.zone != zone && self.shape.zones[zone_at].link_kb_per_s > 0.0;
        crosses.then_some(self.servers.len() + zone_at)
    }

    fn way(&self, from: usize, to: ZoneId) -> TimeSpan {
        let there = self.servers[from].shape.zone;
        if there == to {
            TimeSpan::ZERO
        } else {
            self.shape.zones[usize::from(to.0)].distance
        }
    }

    /// A request reaches a host.
    pub fn hand_off(&mut self, now: Timestamp, pull: Pull) {
        self.now = self.now.max(now);
        let Some(&at) = self.places.get(&pull.host) else {
            return self.say(
                pull.ticket,
                Ending::NoConnection,
                Note::NotReported,
                None,
                None,
                0.0,
            );
        };
        let job = Job {
            pull,
            at,
            pending: 0,
            note: Note::NotReported,
            waited: None,
            minted: None,
        };
        self.jobs.insert(pull.ticket, job);
        self.servers[at].jobs.insert(pull.ticket);
        let way = self.way(at, pull.zone);
        if way == TimeSpan::ZERO {
            return self.job_comes(pull.ticket);
        }
        self.timer(self.now + way, Timer::JobComes(pull.ticket));
    }

    /// The sender gives a request up: no answer is owed. What fills the host goes on.
    pub fn withdraw(&mut self, now: Timestamp, ticket: Ticket) {
        self.now = self.now.max(now);
        self.end_job(ticket);
    }

    fn end_job(&mut self, ticket: Ticket) -> Option<Job> {
        let job = self.jobs.remove(&ticket)?;
        self.servers[job.at].jobs.remove(&ticket);
        self.unflow(job.at, Flow::Job(ticket));
        if let Some(link) = self.link(job.at, job.pull.zone) {
            self.unflow(link, Flow::Job(ticket));
        }
        Some(job)
    }

    fn say(
        &mut self,
        ticket: Ticket,
        ending: Ending,
        note: Note,
        waited: Option<TimeSpan>,
        minted: Option<Timestamp>,
        link_full: f64,
    ) {
        self.said.push(Said::Answer(Answer {
            ticket,
            ending,
            note,
            waited,
            minted,
            link_full,
        }));
    }

    fn answer(&mut self, ticket: Ticket, ending: Ending, note: Note) {
        let Some(job) = self.end_job(ticket) else {
            return;
        };
        let link = &self.links[usize::from(job.pull.zone.0)];
        let fits = (link.rate() / self.shape.flow_kb_per_s).max(1e-9);
        let full = if link.rate() > 0.0 {
            link.under_way() as f64 / fits
        } else {
            0.0
        };
        let mut ending = ending;
        let ills = self.servers[job.at].ills;
        if ending == Ending::Done
            && self.now < ills.garbage.1
            && self.chance.random_bool(ills.garbage.0)
        {
            ending = Ending::ConnectionLost;
        }
        let minted = job.minted.filter(|_| ending == Ending::Done);
        let note = if matches!(ending, Ending::ConnectionLost | Ending::NoConnection) {
            Note::NotReported
        } else {
            note
        };
        self.say(ticket, ending, note, job.waited, minted, full);
    }

    fn track(&self, track: ClassId) -> &trailproxy::interface::ClassSettings {
        &self.shape.tracks[usize::from(track.0)]
    }

    fn job_comes(&mut self, ticket: Ticket) {
        let Some(job) = self.jobs.get(&ticket) else {
            return;
        };
        let (pull, at) = (job.pull, job.at);
        let server = &self.servers[at];
        if !server.up {
            return self.answer(ticket, Ending::NoConnection, Note::NotReported);
        }
        let ills = server.ills;
        if self.now < ills.silent {
            return self.timer(ills.silent, Timer::JobComes(ticket));
        }
        if self.now < ills.resets.1 && self.chance.random_bool(ills.resets.0) {
            return self.answer(ticket, Ending::ConnectionLost, Note::NotReported);
        }
        if server.jobs.len() + server.serving.len() > server.shape.places {
            return self.answer(ticket, Ending::Full, Note::NotReported);
        }
        let role = server.shape.role;
        if self.given(at, pull.kb) {
            return;
        }
        let written = self.track(pull.track).is_write;
        if role == Role::Origin {
            return self.job_from(ticket, at, Note::NotReported, self.now);
        }
        let part = (pull.object, pull.part);
        let (fits, held) = self.fit(
            at,
            part,
            pull.track,
            pull.fill.and_then(|fill| fill.max_age),
        );
        if let Some(copy) = fits.filter(|_| !written) {
            return self.hit(ticket, at, copy, pull);
        }
        let Some(fill) = pull.fill.filter(|fill| fill.source != pull.host) else {
            return self.answer(ticket, Ending::Miss, Note::NotReported);
        };
        let under_way = self.servers[at].fetching.get(&part).copied();
        let bound = fill.max_age.or(self.track(pull.track).fresh_for);
        let joined = under_way
            .filter(|id| (fill.join || role == Role::Parent) && !written && self.joins(*id, bound));
        let fetch = match joined {
            Some(fetch) => Some(fetch),
            None => {
                let kb = if held.is_some() && fill.max_age.is_none() {
                    pull.kb * UNCHANGED
                } else {
                    pull.kb
                };
                let kb = if written { pull.kb } else { kb };
                let rank = if written { 0 } else { fill.rank };
                self.fetch(
                    at,
                    fill.source,
                    part,
                    pull.track,
                    pull.group,
                    kb,
                    rank,
                    bound,
                    fill.only_if_cached,
                    !written,
                )
            }
        };
        let Some(fetch) = fetch else {
            return self.answer(ticket, Ending::Error, Note::SourceLost);
        };
        if let Some(job) = self.jobs.get_mut(&ticket) {
            job.pending = 1;
            job.note = if joined.is_some() {
                Note::Joined
            } else {
                Note::Filled
            };
        }
        self.wait_on(fetch, Waiter::Job(ticket));
    }

    /// Whether a fetch under way can bring no copy that is older than this.
    fn joins(&self, id: FetchId, oldest: Option<TimeSpan>) -> bool {
        let Some(fetch) = self.fetches.get(&id) else {
            return false;
        };
        let least = match (self.is_origin(fetch.from), fetch.oldest) {
            (true, _) => fetch.asked,
            (false, Some(bound)) => fetch.asked - bound,
            (false, None) => Timestamp(0),
        };
        oldest.is_none_or(|oldest| self.now.since(least) <= oldest)
    }

    /// The copy that will do, and the one that is held at all.
    fn fit(
        &self,
        at: usize,
        part: PartOf,
        track: ClassId,
        oldest: Option<TimeSpan>,
    ) -> (Option<Copy>, Option<Copy>) {
        let held = self.servers[at].store.look(part);
        let limit = oldest.or(self.track(track).fresh_for);
        let young = |copy: &Copy| limit.is_none_or(|limit| self.now.since(copy.minted) <= limit);
        (held.filter(young), held)
    }

    fn hit(&mut self, ticket: Ticket, at: usize, copy: Copy, pull: Pull) {
        let part = (pull.object, pull.part);
        let fill = pull.fill;
        self.servers[at]
            .store
            .used(part, fill.map_or(0, |fill| fill.rank));
        let age = self.now.since(copy.minted);
        let fresh = self.track(pull.track).fresh_for;
        let stale = fresh.is_some_and(|fresh| age > fresh);
        let ageing = fresh.is_some_and(|fresh| age > fresh.mul_f64(RENEW_FROM));
        let renews = |fill: &Fill| fill.revalidate && ageing && fill.source != pull.host;
        let idle = !self.servers[at].fetching.contains_key(&part);
        if let Some(fill) = fill.filter(renews).filter(|_| idle) {
            let kb = pull.kb * UNCHANGED;
            self.fetch(
                at,
                fill.source,
                part,
                pull.track,
                pull.group,
                kb,
                fill.rank,
                fresh,
                false,
                true,
            );
        }
        self.hit_kb += if self.servers[at].shape.role == Role::Cache {
            pull.kb
        } else {
            0.0
        };
        let note = if stale { Note::Stale } else { Note::Hit };
        self.job_from(ticket, at, note, copy.minted);
    }

    /// The host itself answers, after its first byte.
    fn job_from(&mut self, ticket: Ticket, at: usize, note: Note, minted: Timestamp) {
        let wait = self.first_byte(at);
        if let Some(job) = self.jobs.get_mut(&ticket) {
            (job.note, job.minted) = (note, Some(minted));
        }
        self.timer(self.now + wait, Timer::JobBegins(ticket));
    }

    fn first_byte(&mut self, at: usize) -> TimeSpan {
        let jitter = 0.8 + 0.4 * self.chance.random::<f64>();
        let server = &self.servers[at];
        let slow = if self.now < server.ills.slow.1 {
            server.ills.slow.0
        } else {
            1.0
        };
        server.shape.first_byte.mul_f64(slow * jitter)
    }

    fn job_begins(&mut self, ticket: Ticket) {
        let Some(job) = self.jobs.get(&ticket) else {
            return;
        };
        let (at, zone, kb) = (job.at, job.pull.zone, job.pull.kb);
        let silent = self.servers[at].ills.silent;
        if self.now < silent {
            return self.timer(silent, Timer::JobBegins(ticket));
        }
        let link = self.link(at, zone);
        if let Some(job) = self.jobs.get_mut(&ticket) {
            job.pending += 1 + u8::from(link.is_some());
        }
        self.flow(at, Flow::Job(ticket), kb);
        if let Some(link) = link {
            self.flow(link, Flow::Job(ticket), kb);
        }
    }

    /// Asks another host for a part; `None` where that host is not known.
    #[expect(
        clippy::too_many_arguments,
        reason = "they are the fields of one record"
    )]
    fn fetch(
        &mut self,
        to: usize,
        from: HostId,
        part: PartOf,
        track: ClassId,
        group: GroupId,
        kb: f64,
        rank: u8,
        oldest: Option<TimeSpan>,
        held_only: bool,
        shared: bool,
    ) -> Option<FetchId> {
        let from = *self.places.get(&from)?;
        self.next += 1;
        let id = FetchId(self.next);
        let fetch = Fetch {
            to,
            from,
            part,
            track,
            group,
            kb,
            rank,
            oldest,
            held_only,
            shared,
            waiters: Vec::new(),
            pending: 0,
            asked: self.now,
            begun: None,
            note: Note::Filled,
            minted: self.now,
        };
        self.fetches.insert(id, fetch);
        if shared {
            self.servers[to].fetching.insert(part, id);
        }
        let way = self.way(from, self.servers[to].shape.zone);
        self.timer(self.now + way, Timer::FetchComes(id));
        self.timer(self.now + self.shape.fill_within, Timer::FetchLate(id));
        Some(id)
    }

    fn wait_on(&mut self, id: FetchId, waiter: Waiter) {
        let Some(fetch) = self.fetches.get_mut(&id) else {
            return;
        };
        fetch.waiters.push(waiter);
        if fetch.begun.is_some() {
            self.waiter_begins(waiter, id);
        }
    }

    fn fetch_comes(&mut self, id: FetchId) {
        let Some(fetch) = self.fetches.get(&id) else {
            return;
        };
        let (from, part, kb, oldest) = (fetch.from, fetch.part, fetch.kb, fetch.oldest);
        let (held_only, group, track) = (fetch.held_only, fetch.group, fetch.track);
        let server = &self.servers[from];
        if !server.up {
            return self.fetch_fails(id, Note::SourceLost);
        }
        let until = server.ills.silent.max(server.ills.stalled);
        if self.now < until {
            return self.timer(until, Timer::FetchComes(id));
        }
        if server.jobs.len() + server.serving.len() >= server.shape.places {
            let origin = server.shape.role == Role::Origin;
            return self.fetch_fails(
                id,
                if origin {
                    Note::OriginFailed
                } else {
                    Note::SourceRefused
                },
            );
        }
        let origin = server.shape.role == Role::Origin;
        self.servers[from].serving.insert(id);
        let (host, warm) = (
            self.servers[from].shape.id,
            self.servers[from].started.is_none(),
        );
        self.said
            .extend((!warm).then_some(Said::Given { host, kb }));
        if self.given(from, kb) {
            return;
        }
        let held = self.servers[from].store.look(part);
        let young = |copy: &Copy| oldest.is_none_or(|limit| self.now.since(copy.minted) <= limit);
        if origin {
            let (wait, now) = (self.first_byte(from), self.now);
            if let Some(fetch) = self.fetches.get_mut(&id) {
                fetch.minted = now;
                fetch.note = Note::FilledByOrigin;
            }
            return self.timer(self.now + wait, Timer::FetchBegins(id));
        }
        if let Some(copy) = held.filter(young) {
            self.servers[from].store.used(part, 0);
            let wait = self.first_byte(from);
            if let Some(fetch) = self.fetches.get_mut(&id) {
                fetch.minted = copy.minted;
            }
            return self.timer(self.now + wait, Timer::FetchBegins(id));
        }
        let origin = self
            .servers
            .iter()
            .find(|s| s.shape.role == Role::Origin)
            .map(|s| s.shape.id);
        let Some(origin) = origin.filter(|_| !held_only) else {
            return self.fetch_fails(id, Note::SourceMiss);
        };
        let behind = self.servers[from].fetching.get(&part).copied();
        // What leaves no copy is never joined: each has its own effect.
        let shared = self.fetches[&id].shared;
        let rank = u8::from(shared);
        let behind = behind
            .filter(|id| shared && self.joins(*id, oldest))
            .or_else(|| {
                self.fetch(
                    from, origin, part, track, group, kb, rank, oldest, false, shared,
                )
            });
        match behind {
            None => self.fetch_fails(id, Note::SourceMiss),
            Some(behind) => {
                if let Some(fetch) = self.fetches.get_mut(&id) {
                    fetch.pending += 1;
                    fetch.note = Note::FilledByOrigin;
                }
                self.wait_on(behind, Waiter::Fetch(id));
            }
        }
    }

    fn fetch_begins(&mut self, id: FetchId) {
        let Some(fetch) = self.fetches.get_mut(&id) else {
            return;
        };
        fetch.begun = Some(self.now);
        let (from, to, kb) = (fetch.from, fetch.to, fetch.kb);
        let waiters = fetch.waiters.clone();
        let link = self.link(from, self.servers[to].shape.zone);
        if let Some(fetch) = self.fetches.get_mut(&id) {
            fetch.pending += 1 + u8::from(link.is_some());
        }
        self.flow(from, Flow::Fetch(id), kb);
        if let Some(link) = link {
            self.flow(link, Flow::Fetch(id), kb);
        }
        waiters
            .into_iter()
            .for_each(|waiter| self.waiter_begins(waiter, id));
    }

    /// The first byte has come: it is passed on while the rest does.
    fn waiter_begins(&mut self, waiter: Waiter, of: FetchId) {
        let (minted, asked, note) = {
            let fetch = &self.fetches[&of];
            (fetch.minted, fetch.asked, fetch.note)
        };
        match waiter {
            Waiter::Job(ticket) => {
                let now = self.now;
                if let Some(job) = self.jobs.get_mut(&ticket) {
                    job.minted = Some(minted);
                    job.waited = Some(now.since(asked));
                    job.note = if job.note == Note::Joined {
                        Note::Joined
                    } else {
                        note
                    };
                    self.job_begins(ticket);
                }
            }
            Waiter::Fetch(id) => {
                if let Some(fetch) = self.fetches.get_mut(&id) {
                    fetch.minted = minted;
                    self.fetch_begins(id);
                }
            }
        }
    }

    fn flow_over(&mut self, flow: Flow) {
        match flow {
            Flow::Job(ticket) => self.job_step(ticket),
            Flow::Fetch(id) => self.fetch_step(id),
        }
    }

    fn job_step(&mut self, ticket: Ticket) {
        let Some(job) = self.jobs.get_mut(&ticket) else {
            return;
        };
        job.pending = job.pending.saturating_sub(1);
        if job.pending == 0 {
            let note = job.note;
            self.answer(ticket, Ending::Done, note);
        }
    }

    fn fetch_step(&mut self, id: FetchId) {
        let Some(fetch) = self.fetches.get_mut(&id) else {
            return;
        };
        fetch.pending = fetch.pending.saturating_sub(1);
        if fetch.pending > 0 {
            return;
        }
        let Some(fetch) = self.unfile(id) else {
            return;
        };
        let (minted, rank, group) = (fetch.minted, fetch.rank, fetch.group);
        let held = self.servers[fetch.to].store.look(fetch.part);
        let kb = held.map_or(fetch.kb, |held| held.kb.max(fetch.kb));
        self.servers[fetch.to].store.keep(
            fetch.part,
            Copy {
                minted,
                kb,
                rank,
                group,
            },
        );
        for waiter in fetch.waiters {
            match waiter {
                Waiter::Job(ticket) => self.job_step(ticket),
                Waiter::Fetch(id) => self.fetch_step(id),
            }
        }
    }

    fn unfile(&mut self, id: FetchId) -> Option<Fetch> {
        let fetch = self.fetches.remove(&id)?;
        self.servers[fetch.from].serving.remove(&id);
        if self.servers[fetch.to].fetching.get(&fetch.part) == Some(&id) {
            self.servers[fetch.to].fetching.remove(&fetch.part);
        }
        self.unflow(fetch.from, Flow::Fetch(id));
        if let Some(link) = self.link(fetch.from, self.servers[fetch.to].shape.zone) {
            self.unflow(link, Flow::Fetch(id));
        }
        Some(fetch)
    }

    fn fetch_fails(&mut self, id: FetchId, note: Note) {
        let Some(fetch) = self.unfile(id) else {
            return;
        };
        // Behind a parent, what failed is the origin.
        let behind = match note {
            Note::SourceLost | Note::SourceRefused if self.is_origin(fetch.from) => {
                Note::OriginFailed
            }
            note => note,
        };
        let ending = match note {
            Note::SourceRefused | Note::NoFillSlot => Ending::Full,
            Note::SourceMiss => Ending::Miss,
            _ => Ending::Error,
        };
        for waiter in fetch.waiters {
            match waiter {
                Waiter::Job(ticket) => {
                    let waited = self.now.since(fetch.asked);
                    self.jobs
                        .get_mut(&ticket)
                        .into_iter()
                        .for_each(|job| job.waited = Some(waited));
                    self.answer(ticket, ending, behind);
                }
                Waiter::Fetch(id) => self.fetch_fails(id, behind),
            }
        }
    }

    fn is_origin(&self, at: usize) -> bool {
        self.servers[at].shape.role == Role::Origin
    }

    /// Counts work given to a cold host or the origin; `true` if that was too much and it fell over.
    fn given(&mut self, at: usize, kb: f64) -> bool {
        let cold = self.shape.cold(self.servers[at].shape.role);
        let (now, work) = (self.now, kb / self.shape.flow_kb_per_s);
        let server = &mut self.servers[at];
        let warmth = server.warmth(now, cold.initial_capacity, cold.duration);
        let origin = server.shape.role == Role::Origin;
        let multiple = match (origin, self.shape.origin_bears) {
            (true, Some(bears)) => bears,
            (false, _) if warmth < 1.0 => cold.overload_factor,
            _ => {
                server.given.clear();
                return false;
            }
        };
        server.given.push_back((now, work));
        while server
            .given
            .front()
            .is_some_and(|&(at, _)| now.since(at) > cold.overload_window)
        {
            server.given.pop_front();
        }
        let sum: f64 = server.given.iter().map(|(_, work)| work).sum();
        let bears = multiple * server.shape.size * warmth * cold.overload_window.as_secs_f64();
        let falls = sum > bears.max(work);
        if falls {
            let (id, away) = (server.shape.id, self.shape.fallen_for);
            self.said.push(Said::Fell(id));
            self.down(id, away);
        }
        falls
    }

    /// Sets the pace at which a host sends by how warm and how well it is.
    fn pace(&mut self, id: HostId) {
        let Some(&at) = self.places.get(&id) else {
            return;
        };
        let cold = self.shape.cold(self.servers[at].shape.role);
        let (now, flow) = (self.now, self.shape.flow_kb_per_s);
        let server = &mut self.servers[at];
        let silent = now < server.ills.silent;
        let warmth = server.warmth(now, cold.initial_capacity, cold.duration);
        let rate = server.shape.size * flow * warmth * server.vigour(now);
        server.out.set_rate(now, if silent { 0.0 } else { rate });
        self.touch(at);
    }

    fn down(&mut self, id: HostId, away: TimeSpan) {
        let Some(&at) = self.places.get(&id) else {
            return;
        };
        let server = &mut self.servers[at];
        if !server.up {
            return;
        }
        server.up = false;
        server.life += 1;
        let life = server.life;
        server.store = Store::new(server.shape.room_kb);
        server.given.clear();
        server.ills = Ills::default();
        let jobs: Vec<Ticket> = server.jobs.iter().copied().collect();
        let serving: Vec<FetchId> = server.serving.iter().copied().collect();
        let own: Vec<FetchId> = server.fetching.values().copied().collect();
        jobs.into_iter()
            .for_each(|ticket| self.answer(ticket, Ending::ConnectionLost, Note::NotReported));
        own.into_iter().for_each(|id| {
            self.unfile(id);
        });
        serving
            .into_iter()
            .for_each(|id| self.fetch_fails(id, Note::SourceLost));
        self.said.push(Said::Down(id));
        self.timer(self.now + away, Timer::Up(id, life));
        self.timer(self.now + self.shape.noticed_after, Timer::List(id));
    }

    fn up(&mut self, id: HostId, life: u32) {
        let Some(&at) = self.places.get(&id) else {
            return;
        };
        let server = &mut self.servers[at];
        if server.up || server.life != life {
            return;
        }
        (server.up, server.draining, server.started) = (true, false, Some(self.now));
        server.life += 1;
        let life = server.life;
        self.said.push(Said::Up(id));
        self.pace(id);
        self.timer(self.now, Timer::List(id));
        self.timer(self.now + COLD_STEP, Timer::Warm(id, life));
    }

    fn ring(&mut self, timer: Timer) {
        match timer {
            Timer::JobComes(ticket) => self.job_comes(ticket),
            Timer::JobBegins(ticket) => self.job_begins(ticket),
            Timer::FetchComes(id) => self.fetch_comes(id),
            Timer::FetchBegins(id) => {
                let from = self
                    .fetches
                    .get(&id)
                    .map(|fetch| self.servers[fetch.from].ills);
                let until = from.map_or(Timestamp(0), |ills| ills.silent.max(ills.stalled));
                match self.now < until {
                    true => self.timer(until, Timer::FetchBegins(id)),
                    false => self.fetch_begins(id),
                }
            }
            Timer::FetchLate(id) => {
                let late = self
                    .fetches
                    .get(&id)
                    .is_some_and(|fetch| fetch.begun.is_none());
                if late {
                    self.fetch_fails(id, Note::SourceLost);
                }
            }
            Timer::Cue(trouble) => self.cue(trouble),
            Timer::Up(id, life) => self.up(id, life),
            Timer::Down(id, life) => {
                let same = self
                    .places
                    .get(&id)
                    .is_some_and(|&at| self.servers[at].life == life);
                if same {
                    self.down(id, TimeSpan::from_secs(2));
                }
            }
            Timer::Warm(id, life) => {
                let Some(&at) = self.places.get(&id) else {
                    return;
                };
                self.pace(id);
                let cold = self.shape.cold(self.servers[at].shape.role);
                let server = &self.servers[at];
                if server.life == life
                    && server.warmth(self.now, cold.initial_capacity, cold.duration) < 1.0
                {
                    self.timer(self.now + COLD_STEP, Timer::Warm(id, life));
                }
            }
            Timer::Pace(id) => self.pace(id),
            Timer::LinkBack(zone) => self.link_rate(zone, 1.0),
            Timer::List(id) => {
                let entry = self.places.get(&id).map(|&at| self.servers[at].entry());
                self.said.extend(entry.map(Said::Listed));
            }
            Timer::Purge(id, object, group, stamp) => {
                if let Some(&at) = self.places.get(&id) {
                    self.servers[at].store.purge(object, group, stamp);
                }
            }
        }
    }

    fn link_rate(&mut self, zone: ZoneId, part: f64) {
        let at = usize::from(zone.0);
        let rate = self.shape.zones[at].link_kb_per_s * part;
        self.links[at].set_rate(self.now, rate);
        self.touch(self.servers.len() + at);
    }

    fn ills(&mut self, id: HostId) -> Option<&mut Ills> {
        let at = *self.places.get(&id)?;
        Some(&mut self.servers[at].ills)
    }

    /// Makes a thing happen now.
    pub fn cue(&mut self, trouble: Trouble) {
        let now = self.now;
        match trouble {
            Trouble::Crash(id, away) => self.down(id, away),
            Trouble::Silence(id, span) => {
                self.ills(id)
                    .into_iter()
                    .for_each(|ills| ills.silent = now + span);
                self.pace(id);
                self.timer(now + span, Timer::Pace(id));
            }
            Trouble::Slow(id, factor, span) => {
                self.ills(id)
                    .into_iter()
                    .for_each(|ills| ills.slow = (factor, now + span));
            }
            Trouble::Stall(id, span) => {
                self.ills(id)
                    .into_iter()
                    .for_each(|ills| ills.stalled = now + span);
            }
            Trouble::Garbage(id, share, span) => {
                self.ills(id)
                    .into_iter()
                    .for_each(|ills| ills.garbage = (share, now + span));
            }
            Trouble::Resets(id, share, span) => {
                self.ills(id)
                    .into_iter()
                    .for_each(|ills| ills.resets = (share, now + span));
            }
            Trouble::Ageing(id, part, span) => {
                self.ills(id)
                    .into_iter()
                    .for_each(|ills| ills.ageing = Some((part, now, now + span)));
                let steps = 20;
                for step in 1..=steps {
                    self.timer(
                        now + span.mul_f64(f64::from(step) / f64::from(steps)),
                        Timer::Pace(id),
                    );
                }
                if let Some(&at) = self.places.get(&id) {
                    let life = self.servers[at].life;
                    self.timer(now + span, Timer::Down(id, life));
                }
            }
            Trouble::Roll(id, away) => {
                if let Some(&at) = self.places.get(&id).filter(|&&at| self.servers[at].up) {
                    self.servers[at].draining = true;
                    let life = self.servers[at].life;
                    self.timer(now, Timer::List(id));
                    self.timer(now + DRAIN + DRAIN + away, Timer::Up(id, life + 1));
                    self.timer(now + DRAIN + DRAIN, Timer::Down(id, life));
                }
            }
            Trouble::Replace(old, new, away) => {
                self.down(old, TimeSpan::from_secs(1 << 30));
                if let Some(at) = self.places.remove(&old) {
                    let gone = HostEntry {
                        state: HostState::Gone,
                        ..self.servers[at].entry()
                    };
                    self.said.push(Said::Listed(gone));
                    self.servers[at].shape.id = new;
                    self.servers[at].shape.name.push('+');
                    self.places.insert(new, at);
                    let life = self.servers[at].life;
                    self.timer(now + away, Timer::Up(new, life));
                }
            }
            Trouble::Link(zone, part, span) => {
                self.link_rate(zone, part);
                self.timer(now + span, Timer::LinkBack(zone));
            }
            Trouble::LateList(by, span) => self.late_list = (by, now + span),
            Trouble::Purge(object, group) => {
                let hosts: Vec<HostId> = self.servers.iter().map(|s| s.shape.id).collect();
                for host in hosts {
                    let wait = self
                        .shape
                        .purge_done
                        .mul_f64(0.05 + 0.9 * self.chance.random::<f64>());
                    self.timer(now + wait, Timer::Purge(host, object, group, now));
                }
                self.said.push(Said::Purged { object, group });
            }
        }
    }
}

impl Server {
    fn entry(&self) -> HostEntry {
        let state = match (self.up, self.draining) {
            (false, _) => HostState::Gone,
            (true, true) => HostState::Draining,
            (true, false) => HostState::Ready,
        };
        HostEntry {
            host: self.shape.id,
            cell: self.shape.cell,
            zone: self.shape.zone,
            kind: kind_of(self.shape.role),
            started: self.started,
            stamp: self.started,
            capacity: self.shape.size,
            state,
        }
    }

    fn warmth(&self, now: Timestamp, from: f64, after: TimeSpan) -> f64 {
        let age = self.started.map(|at| now.since(at).as_secs_f64());
        let risen = age.map_or(1.0, |age| (age / after.as_secs_f64().max(1e-3)).min(1.0));
        from + (1.0 - from) * risen
    }

    /// What ageing leaves of its capacity.
    fn vigour(&self, now: Timestamp) -> f64 {
        self.ills.ageing.map_or(1.0, |(part, from, until)| {
            let gone = now.since(from).as_secs_f64() / until.since(from).as_secs_f64().max(1e-3);
            1.0 - (1.0 - part) * gone.min(1.0)
        })
    }
}

/// The kind by which a host of this role stands on the list.
pub fn kind_of(role: Role) -> KindId {
    match role {
        Role::Cache => KindId(0),
        Role::Parent => KindId(1),
        Role::Origin => KindId(2),
    }
}
