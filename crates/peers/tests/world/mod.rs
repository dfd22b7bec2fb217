//! A simulated fleet of dispatchers and the links between them, in virtual time and reproducible by
//! its seed.
//!
//! The simulation also records, by the true time, which attempts were sent under each key, and
//! whether replicas had granted them.

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

pub const MAX_WAIT: TimeSpan = TimeSpan::from_millis(20);
pub const WINDOW: TimeSpan = TimeSpan::from_secs(4);
pub const DEADLINE: TimeSpan = TimeSpan::from_secs(2);
pub const START_TIME: Timestamp = Timestamp(1_700_000_000_000_000);

pub fn settings() -> PeersSettings {
    PeersSettings::sharing_all(MAX_WAIT, TimeSpan::from_secs(8), TimeSpan::from_secs(30))
}

/// Faults of the link from one node to another.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFault {
    pub blocked: bool,
    /// Shares of lost and duplicated messages, and the mean delay in addition to the normal one.
    pub loss_rate: f64,
    pub duplication_rate: f64,
    pub mean_extra_delay: TimeSpan,
}

/// A mistake that is planted by changing the messages or decisions of nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlantedFault {
    /// Every node reports that it is certain and that its copies are complete.
    WholeTooEarly,
    /// The incarnation of a member never rises.
    IncarnationTwice,
    /// Answers to claims contain no claims, as if records forgot them.
    ForgetByCount,
    /// A request is sent before the answers to its claim arrive.
    ClaimLate,
    /// Relays to other zones contain wrong keys.
    RelayedWrong,
    /// A replica reports that its log is complete although it is not.
    CompleteTooEarly,
    /// No node reports which zones it receives, so that others leave them out.
    HearsNobody,
}

pub struct Node {
    pub peers: Option<Peers>,
    pub id: PeerId,
    pub address: Address,
    /// The difference of its clock from the true time, and its relative drift.
    pub clock_ahead_us: i64,
    pub clock_drift: f64,
    pub paused: bool,
    /// The location that it reports; `None`: it runs a version that does not report one.
    pub locality: Option<Locality>,
    queued: Vec<(Address, Message)>,
    in_flight: BTreeMap<RequestId, InFlightRequest>,
    starts: u64,
    resumed_at: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct InFlightRequest {
    key: u64,
    arrived_at: Timestamp,
    zone: ZoneId,
    ends_at: Option<Timestamp>,
}

/// An attempt as the hosts saw it.
#[derive(Clone, Copy, Debug)]
pub struct SentAttempt {
    pub key: u64,
    pub node: usize,
    pub at: Timestamp,
    pub zone: ZoneId,
    /// Whether replicas had confirmed that no other node has claimed the key.
    pub granted: bool,
}

#[derive(Debug, Default)]
pub struct Observations {
    pub sent: Vec<SentAttempt>,
    pub answered: u64,
    pub refused: u64,
    /// How long each keyed request waited.
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
    pub link_faults: BTreeMap<(usize, usize), LinkFault>,
    pub observed: Observations,
    pub planted: Option<PlantedFault>,
    pub rng: fastrand::Rng,
    settings: PeersSettings,
    key_hasher: KeyHasher,
    in_flight_messages: BTreeMap<(Timestamp, u64), (usize, usize, Message)>,
    by_address: BTreeMap<Address, usize>,
    next_number: u64,
    /// How long an attempt runs.
    pub attempt_duration: TimeSpan,
    /// Whether messages are encoded to determine their size.
    pub measures_bytes: bool,
    /// The resolution of timers: each node is checked for due timers this often.
    pub step: TimeSpan,
    zones: Vec<PeerZoneId>,
}

/// The shortest and longest latency of a message without faults.
fn latency_range(distance: Distance) -> (TimeSpan, TimeSpan) {
    let (min, max) = match distance {
        Distance::SameSite => (100, 400),
        Distance::SameZone => (700, 1_500),
        Distance::SameRegion => (5_000, 10_000),
        Distance::OtherRegion => (30_000, 80_000),
    };
    (TimeSpan(min), TimeSpan(max))
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
        World::with_settings(n, seed, settings())
    }

    pub fn with_settings(n: usize, seed: u64, settings: PeersSettings) -> World {
        let mut world = World {
            now: START_TIME,
            nodes: Vec::new(),
            link_faults: BTreeMap::new(),
            observed: Observations::default(),
            planted: None,
            rng: fastrand::Rng::with_seed(seed),
            settings,
            key_hasher: KeyHasher::new("world"),
            in_flight_messages: BTreeMap::new(),
            by_address: (0..n).map(|n| (address(n), n)).collect(),
            next_number: 0,
            attempt_duration: TimeSpan::from_millis(60),
            measures_bytes: false,
            step: TimeSpan::from_millis(5),
            zones: Vec::new(),
        };
        world.fill(n, |_| None);
        world
    }

    /// Nodes at the sites that `place` returns. `zones` are all zones that the operator's file
    /// names.
    pub fn with_localities(
        n: usize,
        seed: u64,
        settings: PeersSettings,
        zones: Vec<PeerZoneId>,
        place: impl Fn(usize) -> Option<Locality>,
    ) -> World {
        let mut world = World::with_settings(0, seed, settings);
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
                clock_ahead_us: 0,
                clock_drift: 0.0,
                paused: false,
                queued: Vec::new(),
                in_flight: BTreeMap::new(),
                starts: 0,
                resumed_at: START_TIME,
            });
            self.start(nth);
        }
    }

    /// The group of hosts that drop each other's repeats: those of a zone, if there are zones.
    fn host_zone(&self, node: usize) -> ZoneId {
        let zone = self.nodes[node].locality.map(|locality| locality.zone);
        let position = zone.and_then(|zone| self.zones.iter().position(|&known| known == zone));
        ZoneId(position.unwrap_or(node % 2) as u16)
    }

    pub fn clock(&self, node: usize) -> Timestamp {
        let target = &self.nodes[node];
        let since = self.now.since(START_TIME).0 as f64;
        let off = target.clock_ahead_us + (since * target.clock_drift) as i64;
        Timestamp(self.now.0.saturating_add_signed(off))
    }

    /// Starts a node that knows nothing but three addresses.
    pub fn start(&mut self, node: usize) {
        let now = self.clock(node);
        let seeds = (0..3).map(address).collect();
        let seed = self.rng.u64(..);
        let zones = self.zones.clone();
        let target = &mut self.nodes[node];
        target.starts += 1;
        let (id, address) = (target.id, target.address);
        let own = OwnMember {
            id,
            address,
            boot_id: new_boot_id(now, seed),
            seeds,
            topology: target
                .locality
                .map(|locality| Topology::new(locality, zones)),
        };
        target.peers = Some(Peers::new(now, own, self.settings.clone(), seed));
        (target.paused, target.queued) = (false, Vec::new());
        target.in_flight.clear();
    }

    /// Starts all nodes again without reported locations; the latencies stay.
    pub fn start_without_localities(&mut self) {
        let zones = std::mem::take(&mut self.zones);
        for node in 0..self.nodes.len() {
            let locality = self.nodes[node].locality.take();
            self.start(node);
            self.nodes[node].locality = locality;
        }
        self.zones = zones;
    }

    /// Requests in flight with this key at this node end without having run.
    pub fn free(&mut self, node: usize, key: u64) {
        let in_flight = self.nodes[node].in_flight.iter();
        let ids: Vec<RequestId> = in_flight
            .filter(|(_, in_flight)| in_flight.key == key)
            .map(|(&id, _)| id)
            .collect();
        for id in ids {
            self.nodes[node].in_flight.remove(&id);
            self.with_peers(node, |peers, now| {
                peers.on_request_ended(now, id, Completion::NeverRan)
            });
        }
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].peers = None;
        self.nodes[node].in_flight.clear();
    }

    pub fn leave(&mut self, node: usize) {
        let now = self.clock(node);
        if let Some(peers) = &mut self.nodes[node].peers {
            peers.leave(now);
        }
        self.run_actions(node);
        self.kill(node);
    }

    pub fn pause(&mut self, node: usize, on: bool) {
        self.nodes[node].paused = on;
        if !on {
            self.nodes[node].resumed_at = self.now;
            // The messages that the socket has buffered, up to its capacity.
            let held = std::mem::take(&mut self.nodes[node].queued);
            for (from, message) in held.into_iter().take(200) {
                let now = self.clock(node);
                if let Some(peers) = &mut self.nodes[node].peers {
                    peers.on_message(now, from, message);
                }
                self.run_actions(node);
            }
        }
    }

    /// Blocks or restores all links between two groups of nodes.
    pub fn set_partition(&mut self, side: impl Fn(usize) -> bool, blocked: bool) {
        for a in 0..self.nodes.len() {
            for b in 0..self.nodes.len() {
                if side(a) != side(b) {
                    self.link_faults.entry((a, b)).or_default().blocked = blocked;
                }
            }
        }
    }

    pub fn set_all_links(&mut self, link: LinkFault) {
        for a in 0..self.nodes.len() {
            for b in 0..self.nodes.len() {
                self.link_faults.insert((a, b), link);
            }
        }
    }

    pub fn up(&self) -> impl Iterator<Item = usize> {
        (0..self.nodes.len()).filter(|&n| self.nodes[n].peers.is_some() && !self.nodes[n].paused)
    }

    fn apply_planted_fault(&self, message: &mut Message) {
        match self.planted {
            Some(PlantedFault::WholeTooEarly) => {
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
            Some(PlantedFault::IncarnationTwice) => {
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
            Some(PlantedFault::RelayedWrong) => {
                for entry in relays(message).flat_map(|relay| &mut relay.entries) {
                    entry.key[0] ^= 0xff;
                }
            }
            Some(PlantedFault::CompleteTooEarly) => {
                relays(message).for_each(|relay| relay.complete = true);
            }
            Some(PlantedFault::HearsNobody) => {
                relays(message).for_each(|relay| relay.reachable_zones = 0);
            }
            Some(PlantedFault::ForgetByCount) => {
                for part in &mut message.parts {
                    if let MessagePart::ClaimStatus { claims, .. } = part {
                        claims.truncate(0);
                    }
                }
            }
            _ => {}
        }
    }

    fn run_actions(&mut self, node: usize) {
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
                        self.apply_planted_fault(&mut message);
                        if let Some(&to) = self.by_address.get(&to) {
                            self.send_message(node, to, message);
                        }
                    }
                    Action::Decided { id, verdict } => self.on_decided(node, id, verdict),
                    Action::Purged { object, .. } => {
                        self.observed
                            .purges
                            .insert((node, object.map_or(0, |o| o.0)));
                    }
                    Action::PeerBreakerOpened { host } => {
                        self.observed.hints.insert((node, host.0));
                    }
                    Action::HostRestricted { host, .. } => {
                        self.observed.restricted.insert((node, host.0), true);
                    }
                    Action::HostRestrictionLifted { host } => {
                        self.observed.restricted.insert((node, host.0), false);
                    }
                    Action::StateChanged(_)
                    | Action::MemberStatusChanged(..)
                    | Action::SubsystemMessage(..) => {}
                }
            }
        }
    }

    fn normal_latency(&mut self, from: usize, to: usize) -> TimeSpan {
        let localities = self.nodes[from].locality.zip(self.nodes[to].locality);
        let (min, max) = match localities {
            Some((from, to)) => latency_range(from.distance(to)),
            None => (TimeSpan(200), TimeSpan(500)),
        };
        min + (max - min).mul_f64(self.rng.f64())
    }

    fn send_message(&mut self, from: usize, to: usize, message: Message) {
        self.observed.messages += 1;
        if self.measures_bytes {
            let bytes = Seal::new("", b"").write(&message);
            // Includes the headers of UDP and IP.
            self.observed.bytes += bytes.map_or(0, |bytes| bytes.len() as u64 + 28);
        }
        let link = self
            .link_faults
            .get(&(from, to))
            .copied()
            .unwrap_or_default();
        if link.blocked || self.rng.f64() < link.loss_rate {
            return;
        }
        let copies = 1 + usize::from(self.rng.f64() < link.duplication_rate);
        for _ in 0..copies {
            let normal_latency = self.normal_latency(from, to);
            let slower = link.mean_extra_delay.mul_f64(-(1.0 - self.rng.f64()).ln());
            self.next_number += 1;
            let at = self.now + normal_latency + slower;
            self.in_flight_messages
                .insert((at, self.next_number), (from, to, message.clone()));
        }
    }

    /// A client sends a keyed request to a node.
    pub fn request(&mut self, node: usize, key: u64) {
        if self.nodes[node].peers.is_none() || self.nodes[node].paused {
            return;
        }
        self.next_number += 1;
        let id = RequestId(self.next_number);
        let now = self.clock(node);
        let in_flight = InFlightRequest {
            key,
            arrived_at: self.now,
            zone: self.host_zone(node),
            ends_at: None,
        };
        self.nodes[node].in_flight.insert(id, in_flight);
        let key_hash = self.key_hasher.key(ClassId(0), &key.to_string());
        let sends_early = self.planted == Some(PlantedFault::ClaimLate);
        if let Some(peers) = &mut self.nodes[node].peers {
            peers.on_request(now, id, key_hash, now + TimeSpan::from_secs(1));
        }
        if sends_early {
            // The request continues as without peers, and its claim is reported afterwards.
            self.on_decided(node, id, RecordDecision::Proceed);
            let sent = self.observed.sent.last_mut();
            sent.into_iter().for_each(|sent| sent.granted = true);
        }
        self.run_actions(node);
    }

    fn on_decided(&mut self, node: usize, id: RequestId, verdict: RecordDecision) {
        let now = self.clock(node);
        let (at, attempt_duration) = (self.now, self.attempt_duration);
        let target = &mut self.nodes[node];
        let Some(in_flight) = target
            .in_flight
            .get_mut(&id)
            .filter(|in_flight| in_flight.ends_at.is_none())
        else {
            return;
        };
        if in_flight.arrived_at >= target.resumed_at {
            self.observed.held.push(at.since(in_flight.arrived_at));
        }
        let Some(peers) = &mut target.peers else {
            return;
        };
        if let RecordDecision::Answer(_) = verdict {
            self.observed.answered += 1;
            target.in_flight.remove(&id);
            peers.on_request_ended(now, id, Completion::Done(Some(b"ok".to_vec())));
            return;
        }
        let location = (in_flight.zone, CellId(in_flight.zone.0));
        let earlier = peers.earlier_attempt(id);
        // As the dispatcher decides: hosts drop repeats within a zone, for some time from the first
        // attempt.
        let may_send = earlier.is_none_or(|earlier| {
            let same_zone = earlier.location.is_some_and(|(zone, _)| zone == location.0);
            same_zone && now.since(earlier.first_sent) < WINDOW
        });
        if !may_send {
            self.observed.refused += 1;
            target.in_flight.remove(&id);
            peers.on_request_ended(now, id, Completion::NeverRan);
            return;
        }
        let granted = peers.is_granted(id);
        peers.on_attempt_sent(now, id, location);
        in_flight.ends_at = Some(at + attempt_duration);
        let (key, zone) = (in_flight.key, in_flight.zone);
        self.observed.sent.push(SentAttempt {
            key,
            node,
            at,
            zone,
            granted,
        });
    }

    fn end_finished_attempts(&mut self, node: usize) {
        let now = self.clock(node);
        let at = self.now;
        let target = &mut self.nodes[node];
        let Some(peers) = &mut target.peers else {
            return;
        };
        let finished: Vec<RequestId> = target
            .in_flight
            .iter()
            .filter(|(_, in_flight)| in_flight.ends_at.is_some_and(|end| end <= at))
            .map(|(&id, _)| id)
            .collect();
        for id in finished {
            target.in_flight.remove(&id);
            peers.on_request_ended(now, id, Completion::Done(Some(b"ok".to_vec())));
        }
    }

    pub fn purge(&mut self, node: usize, object: u64) {
        let (now, at) = (self.clock(node), self.now);
        if let Some(peers) = &mut self.nodes[node].peers {
            peers.on_purge(now, Some(ObjectId(object)), GroupId(0), at);
        }
        self.run_actions(node);
    }

    /// Calls a function with the peers of one node.
    pub fn with_peers(&mut self, node: usize, what: impl FnOnce(&mut Peers, Timestamp)) {
        let now = self.clock(node);
        if let Some(peers) = &mut self.nodes[node].peers {
            what(peers, now);
        }
        self.run_actions(node);
    }

    /// Delivers a message that no node has sent.
    pub fn inject(&mut self, to: usize, from: Address, message: Message) {
        self.with_peers(to, |peers, now| peers.on_message(now, from, message));
    }

    /// Advances time.
    pub fn run(&mut self, span: TimeSpan) {
        let end = self.now + span;
        let step = self.step;
        while self.now < end {
            let until = (self.now + step).min(end);
            while let Some(entry) = self
                .in_flight_messages
                .first_entry()
                .filter(|entry| entry.key().0 <= until)
            {
                let ((at, _), (from, to, message)) = entry.remove_entry();
                self.now = self.now.max(at);
                let address = self.nodes[from].address;
                if self.nodes[to].paused {
                    self.nodes[to].queued.push((address, message));
                    continue;
                }
                let now = self.clock(to);
                if let Some(peers) = &mut self.nodes[to].peers {
                    peers.on_message(now, address, message);
                    self.run_actions(to);
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
                    self.run_actions(node);
                    self.end_finished_attempts(node);
                    self.run_actions(node);
                }
            }
        }
    }

    /// Whether every running node knows exactly the running nodes as present.
    pub fn agrees(&self) -> bool {
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

    /// The number of slots of which two running replicas have different copies.
    pub fn differing_slots(&mut self) -> usize {
        let mut checksums: BTreeMap<_, BTreeSet<u64>> = BTreeMap::new();
        let up: Vec<usize> = self.up().collect();
        for n in up {
            let zone = self.nodes[n].locality.map(|locality| locality.zone);
            if let Some(peers) = &mut self.nodes[n].peers {
                for (slot, checksum) in peers.slot_checksums() {
                    let zone = zone.filter(|_| !slot.is_common());
                    checksums.entry((slot, zone)).or_default().insert(checksum);
                }
            }
        }
        checksums
            .values()
            .filter(|checksums| checksums.len() > 1)
            .count()
    }

    pub fn all_in_sync(&self) -> bool {
        self.up().all(|n| {
            self.nodes[n]
                .peers
                .as_ref()
                .is_some_and(|peers| peers.state() == PeerState::InSync)
        })
    }

    /// Runs until the condition holds and returns how long that took; `None` if it does not hold
    /// within `max`.
    pub fn run_until(
        &mut self,
        max: TimeSpan,
        mut assert_expected: impl FnMut(&mut World) -> bool,
    ) -> Option<TimeSpan> {
        let begun = self.now;
        while self.now.since(begun) < max {
            if assert_expected(self) {
                return Some(self.now.since(begun));
            }
            self.run(TimeSpan::from_millis(50));
        }
        None
    }

    /// Pairs of attempts under one key that no host recognises as repeats, and that were both
    /// granted.
    pub fn repeats(&self) -> Vec<(SentAttempt, SentAttempt)> {
        self.pairs(|one, other| one.granted && other.granted)
    }

    /// Pairs of attempts under one key that no host recognises as repeats, filtered by `which`.
    pub fn pairs(
        &self,
        which: impl Fn(&SentAttempt, &SentAttempt) -> bool,
    ) -> Vec<(SentAttempt, SentAttempt)> {
        let mut by_key: BTreeMap<u64, Vec<SentAttempt>> = BTreeMap::new();
        for &sent in &self.observed.sent {
            by_key.entry(sent.key).or_default().push(sent);
        }
        let mut pairs = Vec::new();
        for all in by_key.values() {
            for (nth, one) in all.iter().enumerate() {
                let bad = |other: &&SentAttempt| {
                    let dropped =
                        one.zone == other.zone && other.at.since(one.at) < WINDOW + DEADLINE;
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

/// Prints a figure, and appends it to the file that `FIGURES` names.
pub fn record_figure(name: &str, value: f64) {
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
