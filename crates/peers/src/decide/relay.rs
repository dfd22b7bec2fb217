//! What is claimed in other zones: replicas of one group of slots in two zones tell each other their claims.
//!
//! Within a zone a claim is agreed on at once. Between zones it is only told, a few times a second, so that nobody waits for
//! a long way. A replica *proves* that a key is new only while it knows all that was claimed in every other zone up to
//! [`RELAY_SETTLE_TIME`] ago:
//!
//! - Each replica numbers what is claimed of its group in a log. A relay carries the next entries, an echo of the time stamp of
//!   the partner's last relay, and how much of the partner's log has arrived. An echo says, by the reader's own clock, up
//!   to when it knows the partner's log; clocks are never compared.
//! - A zone that is silent makes everybody unsure, until all that may have been claimed there has run out. After that it is
//!   left out, as long as none of the zones that are heard hears it.
//! - A replica that does not know the logs of more than half of all zones proves nothing. So of the parts of a fleet that is
//!   cut one goes on at most, and none where no part has more than half.
//! - One that has proved nothing for long waits for [`REJOIN_DELAY`], so that the others hear of it before it begins again.

use super::locality::{PeerZoneId, Topology};
use super::messages::{Entry, LogId, PeerId, Relay};
use super::replicas::GroupNo;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use trailproxy::units::{TimeSpan, Timestamp};

/// How often each partner is told what is new, spread by a quarter. Shorter costs messages, longer leaves what another zone
/// has just claimed unknown for longer.
pub const RELAY_INTERVAL: TimeSpan = TimeSpan::from_millis(200);
/// What was claimed in another zone longer ago is known here, or nothing is proved. It has room for the longest way there
/// and back, two rounds and a lost message.
pub const RELAY_SETTLE_TIME: TimeSpan = TimeSpan::from_secs(1);
/// Conditions hold for so long before one that was away proves anything.
const REJOIN_DELAY: TimeSpan = TimeSpan::from_secs(2);
/// Where nothing was acknowledged for this long, what was not is sent again.
const RESEND_DELAY: TimeSpan = TimeSpan::from_millis(500);
/// Entries in one relay, and how soon the next one goes where there are more.
const MAX_ENTRIES_PER_RELAY: usize = 120;
const BACKLOG_RELAY_INTERVAL: TimeSpan = TimeSpan::from_millis(25);
/// Bounds on what is kept. A log that is full forgets its first entries and is not complete until they have run out;
/// claims of others without room are not taken, and prove nothing.
const MAX_LOG_ENTRIES: usize = 65_536;
const MAX_REMOTE_CLAIMS: usize = 262_144;

/// A key as it goes between zones: enough of it that two keys of one group are the same once in a hundred million.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ShortKey(u64);

const SHORT_BITS: u32 = 8 * Entry::KEY_BYTES as u32;

impl ShortKey {
    /// The bits behind those that tell the group.
    fn of(key: u128) -> ShortKey {
        let group_bits = GroupNo::all().count().ilog2();
        ShortKey((key << group_bits >> (u128::BITS - SHORT_BITS)) as u64)
    }

    fn bytes(self) -> [u8; Entry::KEY_BYTES] {
        let mut bytes = [0; Entry::KEY_BYTES];
        bytes.copy_from_slice(&self.0.to_le_bytes()[..Entry::KEY_BYTES]);
        bytes
    }

    fn of_bytes(bytes: [u8; Entry::KEY_BYTES]) -> ShortKey {
        let mut whole = [0; 8];
        whole[..Entry::KEY_BYTES].copy_from_slice(&bytes);
        ShortKey(u64::from_le_bytes(whole))
    }
}

#[derive(Clone, Copy, Debug)]
struct LogEntry {
    key: ShortKey,
    /// Of the last claim; of a key that is free again, when it became so.
    at: Timestamp,
    claimed: bool,
}

/// What is claimed in the own zone, in the order in which it became known here.
#[derive(Clone, Debug)]
struct Log {
    id: LogId,
    /// The number of the first entry.
    base: u64,
    entries: VecDeque<LogEntry>,
    /// Entries that still matter were dropped; until then the log is not complete.
    dropped_until: Timestamp,
}

impl Log {
    fn end(&self) -> u64 {
        self.base + self.entries.len() as u64
    }

    fn push(&mut self, logged: LogEntry, retention: TimeSpan) {
        if self.entries.len() >= MAX_LOG_ENTRIES
            && let Some(first) = self.entries.pop_front()
        {
            self.base += 1;
            self.dropped_until = self.dropped_until.max(first.at + retention);
        }
        self.entries.push_back(logged);
    }

    fn drop_expired(&mut self, now: Timestamp, retention: TimeSpan) {
        while self
            .entries
            .front()
            .is_some_and(|first| first.at + retention <= now)
        {
            self.entries.pop_front();
            self.base += 1;
        }
    }
}

/// One partner: what it was told, and what it told.
#[derive(Clone, Debug)]
struct Link {
    since: Timestamp,
    /// The partner has all before this number; all before the next one was sent twice, all before the last one once. What
    /// was sent once goes again with the next relay, so that one that is lost leaves no gap.
    acked: u64,
    sent_twice: u64,
    sent: u64,
    sent_at: Timestamp,
    /// The partner's log, and the next number wanted of it.
    log: Option<LogId>,
    next: u64,
    /// The stamp of its last relay, to be echoed.
    stamp: Option<u64>,
    /// Up to this moment, by the own clock, its log is known here.
    known_until: Option<Timestamp>,
    /// The zones that it hears, by their places in the list.
    reachable_zones: u64,
}

impl Link {
    fn new(now: Timestamp) -> Link {
        Link {
            since: now,
            acked: 0,
            sent_twice: 0,
            sent: 0,
            sent_at: now,
            log: None,
            next: 0,
            stamp: None,
            known_until: None,
            reachable_zones: 0,
        }
    }

    fn is_fresh(&self, now: Timestamp) -> bool {
        self.known_until
            .is_some_and(|known| now.since(known) < RELAY_SETTLE_TIME)
    }
}

/// Whether a replica proves that keys are new.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Proof {
    Lapsed {
        since: Timestamp,
    },
    /// The conditions hold again, after it had lapsed for long.
    Joining {
        since: Timestamp,
        lapsed: Timestamp,
    },
    Given,
}

/// One group of slots that this member keeps a replica of.
#[derive(Clone, Debug)]
struct Group {
    since: Timestamp,
    log: Log,
    links: BTreeMap<PeerId, Link>,
    /// Partners by zone; a zone that nobody is known in has none.
    zones: BTreeMap<PeerZoneId, Vec<PeerId>>,
    /// When a replica of that zone was heard last.
    last_seen: BTreeMap<PeerZoneId, Timestamp>,
    proof: Proof,
    /// All claims of the own zone that matter are in the log.
    complete: bool,
}

/// A claim of another zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RemoteClaim {
    pub zone: PeerZoneId,
    /// When it was claimed, at the earliest.
    pub at: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct RemoteClaimTimes {
    at: Timestamp,
    ends: Timestamp,
}

type RemoteClaimKey = (GroupNo, ShortKey, PeerZoneId);

/// What this member relays and was relayed, as long as each zone has replicas of its own.
#[derive(Clone, Debug)]
pub struct Relays {
    topology: Topology,
    /// How long a claim matters.
    retention: TimeSpan,
    groups: BTreeMap<GroupNo, Group>,
    remote_claims: BTreeMap<RemoteClaimKey, RemoteClaimTimes>,
    ends: BTreeSet<(Timestamp, RemoteClaimKey)>,
    tick_at: Timestamp,
}

/// The members that a replica of a group is paired with, by zone.
pub type Pairs = BTreeMap<PeerZoneId, Vec<PeerId>>;

/// What the members' side knows of the sender of a relay.
#[derive(Clone, Copy, Debug)]
pub struct Sender {
    pub id: PeerId,
    pub zone: PeerZoneId,
    /// The time stamp of its message, by its own clock.
    pub stamp: u64,
}

impl Relays {
    pub fn new(now: Timestamp, topology: Topology, retention: TimeSpan) -> Relays {
        Relays {
            topology,
            retention,
            groups: BTreeMap::new(),
            remote_claims: BTreeMap::new(),
            ends: BTreeSet::new(),
            tick_at: now,
        }
    }

    /// How long a zone has been silent before it is left out: all that was claimed there has run out.
    fn silence_timeout(&self) -> TimeSpan {
        self.retention + RELAY_SETTLE_TIME
    }

    /// Which groups are kept here, and with whom each is paired. Newly kept groups are returned; the caller logs all that is
    /// held of them.
    pub fn assign_groups(
        &mut self,
        now: Timestamp,
        kept: BTreeMap<GroupNo, Pairs>,
        mut log_id: impl FnMut() -> LogId,
    ) -> Vec<GroupNo> {
        self.groups.retain(|group, _| kept.contains_key(group));
        let mut new = Vec::new();
        for (group_no, zones) in kept {
            let group = self.groups.entry(group_no).or_insert_with(|| {
                new.push(group_no);
                Group::new(now, log_id())
            });
            group.set_partners(now, zones);
        }
        self.tick_at = self.tick_at.min(now + BACKLOG_RELAY_INTERVAL);
        new
    }

    /// Another scope of replicas: nothing of before holds.
    pub fn clear(&mut self) {
        self.groups.clear();
        self.remote_claims.clear();
        self.ends.clear();
    }

    /// What is claimed in the own zone under a key has changed: the moment of its last claim, or nothing where it is free.
    pub fn log_change(
        &mut self,
        now: Timestamp,
        group_no: GroupNo,
        key: u128,
        last: Option<Timestamp>,
    ) {
        let retention = self.retention;
        if let Some(group) = self.groups.get_mut(&group_no) {
            let logged = LogEntry {
                key: ShortKey::of(key),
                at: last.unwrap_or(now),
                claimed: last.is_some(),
            };
            group.log.push(logged, retention);
        }
    }

    /// What other zones have claimed under a key.
    pub fn remote_claims(&self, group_no: GroupNo, key: u128) -> Vec<RemoteClaim> {
        let key = ShortKey::of(key);
        let (first, last) = (PeerZoneId(0), PeerZoneId(u32::MAX));
        let found = self
            .remote_claims
            .range((group_no, key, first)..=(group_no, key, last));
        let claim = |(&(_, _, zone), kept): (&RemoteClaimKey, &RemoteClaimTimes)| RemoteClaim {
            zone,
            at: kept.at,
        };
        found.map(claim).collect()
    }

    /// Whether a key that is not known here is new in all other zones.
    pub fn proves_new_keys(&mut self, now: Timestamp, group_no: GroupNo) -> bool {
        self.update_proof(now, group_no);
        self.groups
            .get(&group_no)
            .is_some_and(|group| group.proof == Proof::Given)
    }

    /// Whether all of the own zone's claims of a group are held here.
    pub fn update_completeness(&mut self, now: Timestamp, complete: impl Fn(GroupNo) -> bool) {
        let groups: Vec<GroupNo> = self.groups.keys().copied().collect();
        for group_no in groups {
            if let Some(group) = self.groups.get_mut(&group_no) {
                group.complete = complete(group_no) && group.log.dropped_until <= now;
            }
            self.update_proof(now, group_no);
        }
    }

    /// For a check that it stays bounded, and for figures: entries logged, and claims of other zones.
    pub fn entry_counts(&self) -> (usize, usize) {
        let logged = self.groups.values().map(|group| group.log.entries.len());
        (logged.sum(), self.remote_claims.len())
    }

    /// Replicas that are told of claims, each counted once for each group.
    pub fn partners(&self) -> usize {
        self.groups.values().map(|group| group.links.len()).sum()
    }

    /// Groups kept, and of how many keys can be proved to be new.
    pub fn proving_groups(&self) -> (usize, usize) {
        let given = self
            .groups
            .values()
            .filter(|group| group.proof == Proof::Given);
        (self.groups.len(), given.count())
    }

    pub fn next_deadline(&self) -> Option<Timestamp> {
        let ends = self.ends.first().map(|&(at, _)| at);
        let tick = (!self.groups.is_empty()).then_some(self.tick_at);
        ends.into_iter().chain(tick).min()
    }

    /// Forgets what has run out, and tells partners what is new when that is due.
    pub fn advance(&mut self, now: Timestamp, rng: &mut fastrand::Rng) -> Vec<(PeerId, Relay)> {
        self.drop_expired(now);
        if now < self.tick_at || self.groups.is_empty() {
            return Vec::new();
        }
        let mut relays = Vec::new();
        let groups: Vec<GroupNo> = self.groups.keys().copied().collect();
        for group_no in groups {
            self.update_proof(now, group_no);
            relays.extend(self.relays_of_group(now, group_no));
        }
        let more = relays.iter().any(|(_, relay)| !relay.last);
        let every = if more {
            BACKLOG_RELAY_INTERVAL
        } else {
            RELAY_INTERVAL
        };
        self.tick_at = now + every.mul_f64(0.75 + 0.5 * rng.f64());
        relays
    }

    fn drop_expired(&mut self, now: Timestamp) {
        while let Some((at, key)) = self.ends.first().copied().filter(|(at, _)| *at <= now) {
            self.ends.pop_first();
            if self
                .remote_claims
                .get(&key)
                .is_some_and(|kept| kept.ends <= at)
            {
                self.remote_claims.remove(&key);
            }
        }
        for group in self.groups.values_mut() {
            group.log.drop_expired(now, self.retention);
        }
    }

    /// The next relay to each partner of a group.
    fn relays_of_group(&mut self, now: Timestamp, group_no: GroupNo) -> Vec<(PeerId, Relay)> {
        let silence = self.silence_timeout();
        let Some(group) = self.groups.get_mut(&group_no) else {
            return Vec::new();
        };
        let reachable_zones = group.reachable_zones(now, &self.topology, silence);
        let mut relays = Vec::new();
        let partners: Vec<PeerId> = group.zones.values().flatten().copied().collect();
        for id in partners {
            if let Some(link) = group.links.get_mut(&id) {
                let mut relay = link.relay(now, group_no, &group.log);
                relay.complete = group.complete;
                relay.zones = self.topology.checksum();
                relay.reachable_zones = reachable_zones;
                relays.push((id, relay));
            }
        }
        relays
    }

    /// A relay came. One of a member that is not a partner, or of a zone that is not known, says nothing.
    pub fn on_relay(&mut self, now: Timestamp, from: Sender, relay: Relay) {
        let group_no = relay.group;
        self.update_proof(now, group_no);
        let same_zones = relay.zones == self.topology.checksum();
        let room = self.remote_claims.len() + relay.entries.len() <= MAX_REMOTE_CLAIMS;
        let Some(group) = self.groups.get_mut(&group_no) else {
            return;
        };
        if !group.zones.contains_key(&from.zone) {
            return;
        }
        group.last_seen.insert(from.zone, now);
        let Some(link) = group.links.get_mut(&from.id) else {
            return;
        };
        // Whoever has another list of zones may mean others by its places: it is taken to hear all.
        link.reachable_zones = if same_zones {
            relay.reachable_zones
        } else {
            u64::MAX
        };
        link.on_ack(now, &relay, &group.log);
        let entries = link.accept_entries(now, &relay, from.stamp, room);
        let claims: Vec<Entry> = entries.to_vec();
        for entry in claims {
            self.on_remote_entry(
                now,
                (group_no, ShortKey::of_bytes(entry.key), from.zone),
                entry,
            );
        }
        self.update_proof(now, group_no);
    }

    fn on_remote_entry(&mut self, now: Timestamp, key: RemoteClaimKey, entry: Entry) {
        let (age, claimed) = entry.age();
        if !claimed {
            self.remote_claims.remove(&key);
            return;
        }
        // The writer may have it by a clock that is ahead, and the entry was on its way.
        let at = now - age;
        let kept = RemoteClaimTimes {
            at: at - super::MAX_CLOCK_SKEW.mul_f64(2.0),
            ends: at + self.retention,
        };
        if kept.ends > now {
            self.ends.insert((kept.ends, key));
            self.remote_claims.insert(key, kept);
        }
    }

    fn update_proof(&mut self, now: Timestamp, group_no: GroupNo) {
        let silence = self.silence_timeout();
        if let Some(group) = self.groups.get_mut(&group_no) {
            let holds = group.conditions_hold(now, &self.topology, silence);
            group.proof = group.proof.next_state(now, holds, silence);
        }
    }
}

impl Proof {
    fn next_state(self, now: Timestamp, holds: bool, silence: TimeSpan) -> Proof {
        match (self, holds) {
            (Proof::Given, true) => Proof::Given,
            (Proof::Given, false) => Proof::Lapsed { since: now },
            (Proof::Lapsed { since }, true) => {
                // Nobody can have left this zone out yet.
                if now.since(since) < silence.mul_f64(0.5) {
                    return Proof::Given;
                }
                let (since, lapsed) = (now, since);
                Proof::Joining { since, lapsed }
            }
            (lapsed @ Proof::Lapsed { .. }, false) => lapsed,
            (Proof::Joining { since, .. }, true) if now.since(since) >= REJOIN_DELAY => {
                Proof::Given
            }
            (joining @ Proof::Joining { .. }, true) => joining,
            (Proof::Joining { lapsed, .. }, false) => Proof::Lapsed { since: lapsed },
        }
    }
}

impl Group {
    fn new(now: Timestamp, id: LogId) -> Group {
        Group {
            since: now,
            log: Log {
                id,
                base: 0,
                entries: VecDeque::new(),
                dropped_until: Timestamp(0),
            },
            links: BTreeMap::new(),
            zones: BTreeMap::new(),
            last_seen: BTreeMap::new(),
            proof: Proof::Lapsed {
                since: Timestamp(0),
            },
            complete: false,
        }
    }

    fn set_partners(&mut self, now: Timestamp, zones: Pairs) {
        let partner = |id: &PeerId| zones.values().any(|partners| partners.contains(id));
        self.links.retain(|id, _| partner(id));
        for &id in zones.values().flatten() {
            self.links.entry(id).or_insert_with(|| Link::new(now));
        }
        self.zones = zones;
    }

    /// The zones whose claims are known up to lately.
    fn fresh_zones(&self, now: Timestamp) -> Vec<PeerZoneId> {
        let is_fresh = |id: &PeerId| self.links.get(id).is_some_and(|link| link.is_fresh(now));
        let fresh = |partners: &Vec<PeerId>| !partners.is_empty() && partners.iter().all(is_fresh);
        let zones = self.zones.iter().filter(|(_, partners)| fresh(partners));
        zones.map(|(&zone, _)| zone).collect()
    }

    /// The zones that are heard, as a set of their places.
    fn reachable_zones(&self, now: Timestamp, topology: &Topology, silence: TimeSpan) -> u64 {
        let places = topology.zones().iter().enumerate();
        let last_seen = |zone: &PeerZoneId| {
            self.last_seen
                .get(zone)
                .is_some_and(|&at| now.since(at) < silence)
        };
        let bits = places
            .filter(|(_, zone)| last_seen(zone))
            .map(|(place, _)| 1u64 << (place % 64));
        bits.fold(0, |all, bit| all | bit)
    }

    /// Whether all that matters is known: see the head of this module.
    fn conditions_hold(&self, now: Timestamp, topology: &Topology, silence: TimeSpan) -> bool {
        if !self.complete {
            return false;
        }
        let fresh = self.fresh_zones(now);
        let places = topology.zones();
        let left_out = |zone: PeerZoneId| {
            let last_seen = self.last_seen.get(&zone).copied().unwrap_or(self.since);
            let place = places.iter().position(|&known| known == zone);
            let bit = 1u64 << (place.unwrap_or(0) % 64);
            let heard_by = |zone: &PeerZoneId| {
                let partners = self.zones.get(zone).into_iter().flatten();
                let links = partners.filter_map(|id| self.links.get(id));
                links.fold(0, |all, link| all | link.reachable_zones) & bit != 0
            };
            now.since(last_seen.max(self.since)) >= silence && !fresh.iter().any(heard_by)
        };
        let mut others = topology.other_zones();
        if !others.all(|zone| fresh.contains(&zone) || left_out(zone)) {
            return false;
        }
        let present: Vec<PeerZoneId> = fresh.iter().copied().chain([topology.own.zone]).collect();
        topology.is_majority(&present)
    }
}

impl Link {
    /// The next relay to this partner; what the group knows is filled in by the caller.
    fn relay(&mut self, now: Timestamp, group: GroupNo, log: &Log) -> Relay {
        if self.sent > self.acked && now.since(self.sent_at) >= RESEND_DELAY {
            (self.sent, self.sent_twice) = (self.acked, self.acked);
        }
        let first = self.sent_twice.max(self.acked);
        let first = first.clamp(log.base, log.end());
        let waiting = log.entries.range((first - log.base) as usize..);
        let entries: Vec<Entry> = waiting
            .take(MAX_ENTRIES_PER_RELAY)
            .map(|logged| Entry::new(logged.key.bytes(), now.since(logged.at), logged.claimed))
            .collect();
        let end = first + entries.len() as u64;
        if self.sent <= self.acked {
            self.sent_at = now;
        }
        self.sent_twice = self.sent.clamp(first, end);
        self.sent = end;
        Relay {
            group,
            log: log.id,
            first,
            is_first: first == log.base,
            last: end == log.end(),
            entries,
            complete: false,
            echo: self.stamp,
            ack: self.log.map(|log| (log, self.next)),
            zones: 0,
            reachable_zones: 0,
        }
    }

    /// How much of the own log the partner has. One that knows another log has none of it, also where it had before.
    fn on_ack(&mut self, now: Timestamp, relay: &Relay, log: &Log) {
        let ack = relay
            .ack
            .filter(|&(id, next)| id == log.id && next <= log.end());
        let acked = ack.map_or(0, |(_, next)| next);
        if acked > self.acked {
            self.sent_at = now;
        }
        self.acked = acked;
    }

    /// The entries that are new, where the log is known without a gap before them.
    fn accept_entries<'a>(
        &mut self,
        now: Timestamp,
        relay: &'a Relay,
        stamp: u64,
        room: bool,
    ) -> &'a [Entry] {
        self.stamp = Some(self.stamp.unwrap_or(0).max(stamp));
        let same = self.log == Some(relay.log);
        let contiguous = relay.is_first || (same && relay.first <= self.next);
        if !contiguous || !room {
            return &[];
        }
        if !same {
            (self.log, self.next) = (Some(relay.log), relay.first);
        }
        let known = self.next.saturating_sub(relay.first) as usize;
        let new = relay.entries.get(known..).unwrap_or(&[]);
        self.next = self.next.max(relay.first + relay.entries.len() as u64);
        let echo = relay.echo.map(Timestamp);
        let echo = echo.filter(|&echo| echo >= self.since && echo <= now);
        if relay.last && relay.complete {
            self.known_until = self.known_until.max(echo);
        }
        new
    }
}
