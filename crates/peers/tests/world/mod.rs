//! Some dispatchers' peers and the ways between them, in virtual time and repeatable by its seed.
//!
//! Beside them stands whoever counts: what went out under each key, when, and by whose leave. It knows the true time.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use trailproxy::units::*;
use trailproxy_peers::decide::locality::{Distance, Locality, PeerZoneId, Topology};
use trailproxy_peers::decide::members::OwnMember;
use trailproxy_peers::decide::messages::{
    Address, Completeness, Message, MessagePart, PeerId, Relay,
};
use trailproxy_peers::decide::{Action, PeerState, Peers, PeersSettings, new_boot_id};
use trailproxy_peers::wire::Seal;
use trailproxy_shared_store::decide::records::{Completion, KeyHasher, RecordDecision};

pub const WAIT: TimeSpan = TimeSpan::from_millis(20);
pub const WINDOW: TimeSpan = TimeSpan::from_secs(4);
pub const LIMIT: TimeSpan = TimeSpan::from_secs(2);
pub const DAWN: Timestamp = Timestamp(1_700_000_000_000_000);

pub fn settings() -> PeersSettings {
    PeersSettings {
        records: true,
        purges: true,
        hosts: true,
        hints: true,
        refuse_unconfirmed: false,
        max_wait: WAIT,
        record_retention: TimeSpan::from_secs(8),
        purge_retention: TimeSpan::from_secs(30),
    }
}

/// What is amiss on one way between two.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Way {
    pub cut: bool,
    /// Shares of messages, and a delay beside the usual one, at the mean.
    pub lost: f64,
    pub doubled: f64,
    pub slower: TimeSpan,
}

/// What is done wrong on purpose, by changing what one says to others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// Everybody says that it is sure.
    WholeTooEarly,
    /// A member's incarnation never rises.
    IncarnationTwice,
    /// Of a record only so many are known that the last claims are forgotten.
    ForgetByCount,
    /// The access goes before its claim is told.
    ClaimLate,
    /// What is claimed is told to other zones under another key.
    RelayedWrong,
    /// A replica says that it has all of its zone's claims, whatever it lacks.
    CompleteTooEarly,
    /// Nobody says which zones it hears, so that others leave them out.
    HearsNobody,
}

pub struct Node {
    pub peers: Option<Peers>,
    pub id: PeerId,
    pub address: Address,
    /// Its clock against the true one: ahead by that, and faster by this part.
    pub ahead: i64,
    pub faster: f64,
    pub paused: bool,
    /// Where it says that it is; `None`: it is of a form that does not say.
    pub locality: Option<Locality>,
    waiting: Vec<(Address, Message)>,
    open: BTreeMap<RequestId, Open>,
    born: u64,
    woke: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct Open {
    key: u64,
    come: Timestamp,
    zone: ZoneId,
    ends_at: Option<Timestamp>,
}

/// A hand-off as the hosts saw it.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    pub key: u64,
    pub node: usize,
    pub at: Timestamp,
    pub zone: ZoneId,
    /// The others had said that nobody else has it.
    pub granted: bool,
}

#[derive(Debug, Default)]
pub struct Seen {
    pub sent: Vec<Sent>,
    pub answered: u64,
    pub refused: u64,
    /// How long each access with a key was held.
    pub held: Vec<TimeSpan>,
    pub purges: BTreeSet<(usize, u64)>,
    pub hints: BTreeSet<(usize, u64)>,
    pub restricted: BTreeMap<(usize, u64), bool>,
    pub messages: u64,
    pub bytes: u64,
}

pub struct World {
    pub now: Timestamp,
    pub nodes: Vec<Node>,
    pub ways: BTreeMap<(usize, usize), Way>,
    pub seen: Seen,
    pub planted: Option<Planted>,
    pub rng: fastrand::Rng,
    settings: PeersSettings,
    key_hasher: KeyHasher,
    flying: BTreeMap<(Timestamp, u64), (usize, usize, Message)>,
    by_address: BTreeMap<Address, usize>,
    next: u64,
    /// How long a hand-off runs.
    pub runs: TimeSpan,
    /// Whether messages are put into bytes to know their size.
    pub weighs: bool,
    /// How far apart events of one node may be seen: timers are looked at so often.
    pub step: TimeSpan,
    zones: Vec<PeerZoneId>,
}

/// How long a message is on its way, without faults: from, and at the most.
fn travel(distance: Distance) -> (TimeSpan, TimeSpan) {
    let (least, most) = match distance {
        Distance::SameSite => (100, 400),
        Distance::SameZone => (700, 1_500),
        Distance::SameRegion => (5_000, 10_000),
        Distance::OtherRegion => (30_000, 80_000),
    };
    (TimeSpan(least), TimeSpan(most))
}

fn address(n: usize) -> Address {
    let ip = [127, 1, (n >> 8) as u8, (n & 255) as u8];
    Address { ip, port: 7_946 }
}

fn relays(message: &mut Message) -> impl Iterator<Item = &mut Relay> {
    message.parts.iter_mut().filter_map(|part| match part {
        MessagePart::Relay(relay) => Some(relay),
        _ => None,
    })
}

impl World {
    pub fn new(n: usize, seed: u64) -> World {
        World::with(n, seed, settings())
    }

    pub fn with(n: usize, seed: u64, settings: PeersSettings) -> World {
        let mut world = World {
            now: DAWN,
            nodes: Vec::new(),
            ways: BTreeMap::new(),
            seen: Seen::default(),
            planted: None,
            rng: fastrand::Rng::with_seed(seed),
            settings,
            key_hasher: KeyHasher::new("world"),
            flying: BTreeMap::new(),
            by_address: (0..n).map(|n| (address(n), n)).collect(),
            next: 0,
            runs: TimeSpan::from_millis(60),
            weighs: false,
            step: TimeSpan::from_millis(5),
            zones: Vec::new(),
        };
        world.fill(n, |_| None);
        world
    }

    /// Members at sites of zones and regions, as `place` has them; `zones`: all that the operator's file names.
    pub fn placed(
        n: usize,
        seed: u64,
        settings: PeersSettings,
        zones: Vec<PeerZoneId>,
        place: impl Fn(usize) -> Option<Locality>,
    ) -> World {
        let mut world = World::with(0, seed, settings);
        world.by_address = (0..n).map(|n| (address(n), n)).collect();
        world.step = TimeSpan::from_millis(1);
        world.zones = zones;
        world.fill(n, place);
        world
    }

    fn fill(&mut self, n: usize, place: impl Fn(usize) -> Option<Locality>) {
        for nth in 0..n {
            self.nodes.push(Node {
                locality: place(nth),
                peers: None,
                id: PeerId::of_name(&format!("d{nth}")),
                address: address(nth),
                ahead: 0,
                faster: 0.0,
                paused: false,
                waiting: Vec::new(),
                open: BTreeMap::new(),
                born: 0,
                woke: DAWN,
            });
            self.start(nth);
        }
    }

    /// The hosts that drop each other's repeats: those of a zone, where there are zones.
    fn host_zone(&self, node: usize) -> ZoneId {
        let zone = self.nodes[node].locality.map(|locality| locality.zone);
        let place = zone.and_then(|zone| self.zones.iter().position(|&known| known == zone));
        ZoneId(place.unwrap_or(node % 2) as u16)
    }

    pub fn clock(&self, node: usize) -> Timestamp {
        let of = &self.nodes[node];
        let since = self.now.since(DAWN).0 as f64;
        let off = of.ahead + (since * of.faster) as i64;
        Timestamp(self.now.0.saturating_add_signed(off))
    }

    /// Begins anew, with nothing known but three addresses.
    pub fn start(&mut self, node: usize) {
        let now = self.clock(node);
        let seeds = (0..3).map(address).collect();
        let seed = self.rng.u64(..);
        let zones = self.zones.clone();
        let of = &mut self.nodes[node];
        of.born += 1;
        let (id, address) = (of.id, of.address);
        let own = OwnMember {
            id,
            address,
            boot_id: new_boot_id(now, seed),
            seeds,
            topology: of.locality.map(|locality| Topology::new(locality, zones)),
        };
        of.peers = Some(Peers::new(now, own, self.settings.clone(), seed));
        (of.paused, of.waiting) = (false, Vec::new());
        of.open.clear();
    }

    /// Starts all anew, none of which says where it is; the distances stay.
    pub fn start_unplaced(&mut self) {
        let zones = std::mem::take(&mut self.zones);
        for node in 0..self.nodes.len() {
            let locality = self.nodes[node].locality.take();
            self.start(node);
            self.nodes[node].locality = locality;
        }
        self.zones = zones;
    }

    /// What is open here under this key ends without having run.
    pub fn free(&mut self, node: usize, key: u64) {
        let open = self.nodes[node].open.iter();
        let ids: Vec<RequestId> = open
            .filter(|(_, open)| open.key == key)
            .map(|(&id, _)| id)
            .collect();
        for id in ids {
            self.nodes[node].open.remove(&id);
            self.with_peers(node, |peers, now| {
                peers.on_request_ended(now, id, Completion::NeverRan)
            });
        }
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].peers = None;
        self.nodes[node].open.clear();
    }

    pub fn leave(&mut self, node: usize) {
        let now = self.clock(node);
        if let Some(peers) = &mut self.nodes[node].peers {
            peers.leave(now);
        }
        self.act(node);
        self.kill(node);
    }

    pub fn pause(&mut self, node: usize, on: bool) {
        self.nodes[node].paused = on;
        if !on {
            self.nodes[node].woke = self.now;
            // What the socket held until then; it holds so many and no more.
            let held = std::mem::take(&mut self.nodes[node].waiting);
            for (from, message) in held.into_iter().take(200) {
                let now = self.clock(node);
                if let Some(peers) = &mut self.nodes[node].peers {
                    peers.on_message(now, from, message);
                }
                self.act(node);
            }
        }
    }

    /// Cuts all ways between two groups, or mends them.
    pub fn split(&mut self, side: impl Fn(usize) -> bool, cut: bool) {
        for a in 0..self.nodes.len() {
            for b in 0..self.nodes.len() {
                if side(a) != side(b) {
                    self.ways.entry((a, b)).or_default().cut = cut;
                }
            }
        }
    }

    pub fn every_way(&mut self, way: Way) {
        for a in 0..self.nodes.len() {
            for b in 0..self.nodes.len() {
                self.ways.insert((a, b), way);
            }
        }
    }

    pub fn up(&self) -> impl Iterator<Item = usize> {
        (0..self.nodes.len()).filter(|&n| self.nodes[n].peers.is_some() && !self.nodes[n].paused)
    }

    fn spoil(&self, message: &mut Message) {
        match self.planted {
            Some(Planted::WholeTooEarly) => {
                for part in &mut message.parts {
                    match part {
                        MessagePart::ClaimStatus { sure, .. } => *sure = true,
                        MessagePart::Same { completeness, .. }
                        | MessagePart::Page { completeness, .. } => {
                            *completeness = Completeness::Complete
                        }
                        _ => {}
                    }
                }
            }
            Some(Planted::IncarnationTwice) => {
                message.incarnation = 0;
                for part in &mut message.parts {
                    if let MessagePart::MemberUpdates(updates) = part {
                        updates
                            .iter_mut()
                            .filter(|update| update.id == message.from)
                            .for_each(|update| update.incarnation = 0);
                    }
                }
            }
            Some(Planted::RelayedWrong) => {
                for entry in relays(message).flat_map(|relay| &mut relay.entries) {
                    entry.key[0] ^= 0xff;
                }
            }
            Some(Planted::CompleteTooEarly) => {
                relays(message).for_each(|relay| relay.complete = true);
            }
            Some(Planted::HearsNobody) => {
                relays(message).for_each(|relay| relay.reachable_zones = 0);
            }
            Some(Planted::ForgetByCount) => {
                for part in &mut message.parts {
                    if let MessagePart::ClaimStatus { claims, .. } = part {
                        claims.truncate(0);
                    }
                }
            }
            _ => {}
        }
    }

    fn act(&mut self, node: usize) {
        loop {
            let Some(peers) = &mut self.nodes[node].peers else {
                return;
            };
            let actions = peers.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                match action {
                    Action::Send(to, mut message) => {
                        self.spoil(&mut message);
                        if let Some(&to) = self.by_address.get(&to) {
                            self.post(node, to, message);
                        }
                    }
                    Action::Decided { id, verdict } => self.decided(node, id, verdict),
                    Action::Purged { object, .. } => {
                        self.seen.purges.insert((node, object.map_or(0, |o| o.0)));
                    }
                    Action::PeerBreakerOpened { host } => {
                        self.seen.hints.insert((node, host.0));
                    }
                    Action::HostRestricted { host, .. } => {
                        self.seen.restricted.insert((node, host.0), true);
                    }
                    Action::HostRestrictionLifted { host } => {
                        self.seen.restricted.insert((node, host.0), false);
                    }
                    Action::StateChanged(_)
                    | Action::MemberStatusChanged(..)
                    | Action::SubsystemMessage(..) => {}
                }
            }
        }
    }

    fn usual(&mut self, from: usize, to: usize) -> TimeSpan {
        let places = self.nodes[from].locality.zip(self.nodes[to].locality);
        let (least, most) = match places {
            Some((from, to)) => travel(from.distance(to)),
            None => (TimeSpan(200), TimeSpan(500)),
        };
        least + (most - least).mul_f64(self.rng.f64())
    }

    fn post(&mut self, from: usize, to: usize, message: Message) {
        self.seen.messages += 1;
        if self.weighs {
            let bytes = Seal::new("", b"").write(&message);
            // With the heads of UDP and IP.
            self.seen.bytes += bytes.map_or(0, |bytes| bytes.len() as u64 + 28);
        }
        let way = self.ways.get(&(from, to)).copied().unwrap_or_default();
        if way.cut || self.rng.f64() < way.lost {
            return;
        }
        let copies = 1 + usize::from(self.rng.f64() < way.doubled);
        for _ in 0..copies {
            let usual = self.usual(from, to);
            let slower = way.slower.mul_f64(-(1.0 - self.rng.f64()).ln());
            self.next += 1;
            let at = self.now + usual + slower;
            self.flying
                .insert((at, self.next), (from, to, message.clone()));
        }
    }

    /// A client asks this one for a change under a key.
    pub fn ask(&mut self, node: usize, key: u64) {
        if self.nodes[node].peers.is_none() || self.nodes[node].paused {
            return;
        }
        self.next += 1;
        let id = RequestId(self.next);
        let now = self.clock(node);
        let open = Open {
            key,
            come: self.now,
            zone: self.host_zone(node),
            ends_at: None,
        };
        self.nodes[node].open.insert(id, open);
        let folded = self.key_hasher.key(ClassId(0), &key.to_string());
        let eager = self.planted == Some(Planted::ClaimLate);
        if let Some(peers) = &mut self.nodes[node].peers {
            peers.on_request(now, id, folded, now + TimeSpan::from_secs(1));
        }
        if eager {
            // It goes as if it had been alone, and says so afterwards.
            self.decided(node, id, RecordDecision::Proceed);
            let sent = self.seen.sent.last_mut();
            sent.into_iter().for_each(|sent| sent.granted = true);
        }
        self.act(node);
    }

    fn decided(&mut self, node: usize, id: RequestId, verdict: RecordDecision) {
        let now = self.clock(node);
        let (at, runs) = (self.now, self.runs);
        let of = &mut self.nodes[node];
        let Some(open) = of.open.get_mut(&id).filter(|open| open.ends_at.is_none()) else {
            return;
        };
        if open.come >= of.woke {
            self.seen.held.push(at.since(open.come));
        }
        let Some(peers) = &mut of.peers else { return };
        if let RecordDecision::Answer(_) = verdict {
            self.seen.answered += 1;
            of.open.remove(&id);
            peers.on_request_ended(now, id, Completion::Done(Some(b"ok".to_vec())));
            return;
        }
        let place = (open.zone, CellId(open.zone.0));
        let earlier = peers.earlier_attempt(id);
        // As the decisions do it: repeats are dropped within a zone, for a while from the first hand-off.
        let may = earlier.is_none_or(|earlier| {
            let near = earlier.location.is_some_and(|(zone, _)| zone == place.0);
            near && now.since(earlier.first_sent) < WINDOW
        });
        if !may {
            self.seen.refused += 1;
            of.open.remove(&id);
            peers.on_request_ended(now, id, Completion::NeverRan);
            return;
        }
        let granted = peers.is_granted(id);
        peers.on_attempt_sent(now, id, place);
        open.ends_at = Some(at + runs);
        let (key, zone) = (open.key, open.zone);
        self.seen.sent.push(Sent {
            key,
            node,
            at,
            zone,
            granted,
        });
    }

    fn finish(&mut self, node: usize) {
        let now = self.clock(node);
        let at = self.now;
        let of = &mut self.nodes[node];
        let Some(peers) = &mut of.peers else { return };
        let over: Vec<RequestId> = of
            .open
            .iter()
            .filter(|(_, open)| open.ends_at.is_some_and(|end| end <= at))
            .map(|(&id, _)| id)
            .collect();
        for id in over {
            of.open.remove(&id);
            peers.on_request_ended(now, id, Completion::Done(Some(b"ok".to_vec())));
        }
    }

    pub fn purge(&mut self, node: usize, object: u64) {
        let (now, at) = (self.clock(node), self.now);
        if let Some(peers) = &mut self.nodes[node].peers {
            peers.on_purge(now, Some(ObjectId(object)), GroupId(0), at);
        }
        self.act(node);
    }

    /// Something done to one node's peers.
    pub fn with_peers(&mut self, node: usize, what: impl FnOnce(&mut Peers, Timestamp)) {
        let now = self.clock(node);
        if let Some(peers) = &mut self.nodes[node].peers {
            what(peers, now);
        }
        self.act(node);
    }

    /// A message that nobody in the world wrote.
    pub fn inject(&mut self, to: usize, from: Address, message: Message) {
        self.with_peers(to, |peers, now| peers.on_message(now, from, message));
    }

    /// Time goes on by this.
    pub fn run(&mut self, span: TimeSpan) {
        let end = self.now + span;
        let step = self.step;
        while self.now < end {
            let until = (self.now + step).min(end);
            while let Some(entry) = self
                .flying
                .first_entry()
                .filter(|entry| entry.key().0 <= until)
            {
                let ((at, _), (from, to, message)) = entry.remove_entry();
                self.now = self.now.max(at);
                let address = self.nodes[from].address;
                if self.nodes[to].paused {
                    self.nodes[to].waiting.push((address, message));
                    continue;
                }
                let now = self.clock(to);
                if let Some(peers) = &mut self.nodes[to].peers {
                    peers.on_message(now, address, message);
                    self.act(to);
                }
            }
            self.now = until;
            for node in 0..self.nodes.len() {
                let now = self.clock(node);
                if self.nodes[node].paused {
                    continue;
                }
                if let Some(peers) = &mut self.nodes[node].peers {
                    if peers.next_deadline() <= now {
                        peers.advance(now);
                    }
                    self.act(node);
                    self.finish(node);
                    self.act(node);
                }
            }
        }
    }

    /// Whether all that are up know all that are up as there, and nobody else.
    pub fn agree(&self) -> bool {
        let up: BTreeSet<PeerId> = self.up().map(|n| self.nodes[n].id).collect();
        self.up().all(|n| {
            let Some(peers) = &self.nodes[n].peers else {
                return false;
            };
            let mut known: BTreeSet<PeerId> = peers.members().present().map(|(id, _)| id).collect();
            known.insert(self.nodes[n].id);
            known == up
        })
    }

    /// Slots of which two that are up and keep them have different copies.
    pub fn differing(&mut self) -> usize {
        let mut sums: BTreeMap<_, BTreeSet<u64>> = BTreeMap::new();
        let up: Vec<usize> = self.up().collect();
        for n in up {
            let zone = self.nodes[n].locality.map(|locality| locality.zone);
            if let Some(peers) = &mut self.nodes[n].peers {
                for (slot, sum) in peers.slot_checksums() {
                    let zone = zone.filter(|_| !slot.is_common());
                    sums.entry((slot, zone)).or_default().insert(sum);
                }
            }
        }
        sums.values().filter(|sums| sums.len() > 1).count()
    }

    pub fn whole(&self) -> bool {
        self.up().all(|n| {
            self.nodes[n]
                .peers
                .as_ref()
                .is_some_and(|peers| peers.state() == PeerState::InSync)
        })
    }

    /// Runs until this holds; how long that took, `None` where it does not in `most`.
    pub fn until(
        &mut self,
        most: TimeSpan,
        mut holds: impl FnMut(&mut World) -> bool,
    ) -> Option<TimeSpan> {
        let begun = self.now;
        while self.now.since(begun) < most {
            if holds(self) {
                return Some(self.now.since(begun));
            }
            self.run(TimeSpan::from_millis(50));
        }
        None
    }

    /// Pairs of hand-offs under one key that nobody drops, both by the others' leave.
    pub fn repeats(&self) -> Vec<(Sent, Sent)> {
        self.pairs(|one, other| one.granted && other.granted)
    }

    /// The same, by whosever leave.
    pub fn pairs(&self, which: impl Fn(&Sent, &Sent) -> bool) -> Vec<(Sent, Sent)> {
        let mut by_key: BTreeMap<u64, Vec<Sent>> = BTreeMap::new();
        for &sent in &self.seen.sent {
            by_key.entry(sent.key).or_default().push(sent);
        }
        let mut pairs = Vec::new();
        for all in by_key.values() {
            for (nth, one) in all.iter().enumerate() {
                let bad = |other: &&Sent| {
                    let dropped = one.zone == other.zone && other.at.since(one.at) < WINDOW + LIMIT;
                    !dropped && which(one, other)
                };
                pairs.extend(
                    all[nth + 1..]
                        .iter()
                        .filter(bad)
                        .map(|other| (*one, *other)),
                );
            }
        }
        pairs
    }
}

/// A figure is printed, and kept behind the others in the file that `FIGURES` names.
pub fn figure(name: &str, value: f64) {
    println!("{name} {value:.3}");
    let Ok(path) = std::env::var("FIGURES") else {
        return;
    };
    let file = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(path);
    file.and_then(|mut file| {
        std::io::Write::write_all(&mut file, format!("{name} {value:.3}\n").as_bytes())
    })
    .expect("a file that can be written");
}
