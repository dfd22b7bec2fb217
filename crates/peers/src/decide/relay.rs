//! Claims of other zones: the replicas of a group of slots in two zones report their claims to each
//! other.
//!
//! Within a zone, members agree on a claim at once. Between zones, claims are only reported, a few
//! times per second, so that no request waits for a long distance. A replica *proves* that a key is
//! new only while it knows all claims that were made in every other zone up to
//! [`RELAY_SETTLE_TIME`] ago:
//!
//! - Each replica numbers the claims of its group in a log. A relay carries the next entries, an
//!   echo of the time stamp of the partner's last relay, and how much of the partner's log has
//!   arrived. The echo tells the reader, by its own clock, up to when it knows the partner's log;
//!   clocks are never compared.
//! - If a zone is silent, no replica proves anything until every claim that may have been made
//!   there has expired. After that the zone is left out, as long as no zone that is received
//!   reports that it receives the silent one.
//! - A replica that does not know the logs of more than half of all zones proves nothing. So at
//!   most one side of a partitioned fleet continues, and none if no side has more than half of the
//!   zones.
//! - A replica that has proved nothing for long waits for [`REJOIN_DELAY`], so that the others
//!   receive its relays before it proves anything again.

use super::locality::{PeerZoneId, Topology};
use super::messages::{Entry, LogId, PeerId, Relay};
use super::replicas::GroupNo;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use trailproxy::units::{TimeSpan, Timestamp};

/// How often partners receive new claims, varied randomly by a quarter. A shorter interval costs
/// messages; with a longer one, claims of other zones are unknown for longer.
pub const RELAY_INTERVAL: TimeSpan = TimeSpan::from_millis(200);
/// Every claim that was made in another zone longer ago than this is known here, or nothing is
/// proved. It covers the longest round trip, two relay intervals and one lost message.
pub const RELAY_SETTLE_TIME: TimeSpan = TimeSpan::from_secs(1);
/// How long the conditions have to hold before a replica that has proved nothing for long proves
/// anything again.
const REJOIN_DELAY: TimeSpan = TimeSpan::from_secs(2);
/// Entries are sent again if none were acknowledged for this long.
const RESEND_DELAY: TimeSpan = TimeSpan::from_millis(500);
/// Entries in one relay.
const MAX_ENTRIES_PER_RELAY: usize = 120;
/// How soon the next relay is sent if there are more entries.
const BACKLOG_RELAY_INTERVAL: TimeSpan = TimeSpan::from_millis(25);
/// Entries in a log. A full log drops its first entries, and is not complete until these have
/// expired.
const MAX_LOG_ENTRIES: usize = 65_536;
/// Claims of other zones. Further ones are not stored, and then nothing is proved.
const MAX_REMOTE_CLAIMS: usize = 262_144;

/// The part of a key that is sent between zones. Two keys of one group have the same part once in a
/// hundred million.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ShortKey(u64);

const SHORT_BITS: u32 = 8 * Entry::KEY_BYTES as u32;

impl ShortKey {
    /// The bits after those that determine the group.
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

/// A claim or release in a log.
#[derive(Clone, Copy, Debug)]
struct LogEntry {
    key: ShortKey,
    /// When the last claim was made or, for a released key, when it was released.
    at: Timestamp,
    claimed: bool,
}

/// The claims of the own zone, in the order in which they became known here.
#[derive(Clone, Debug)]
struct Log {
    id: LogId,
    /// The number of the first entry.
    base: u64,
    entries: VecDeque<LogEntry>,
    /// Entries that still matter were dropped; the log is not complete until this time.
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

/// What was sent to one partner, and what was received from it.
#[derive(Clone, Debug)]
struct Link {
    since: Timestamp,
    /// The partner has all entries before `acked`. Entries before `sent_twice` were sent twice, and
    /// those before `sent` once. Entries that were sent once are sent again with the next relay, so
    /// that one lost relay leaves no gap.
    acked: u64,
    sent_twice: u64,
    sent: u64,
    sent_at: Timestamp,
    /// The partner's log, and the number of the next entry that is expected from it.
    log: Option<LogId>,
    next: u64,
    /// The stamp of the partner's last relay, which is echoed.
    stamp: Option<u64>,
    /// Up to this time, by the own clock, the partner's log is known here.
    known_until: Option<Timestamp>,
    /// The zones that the partner receives, by their positions in the list.
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
    /// The conditions do not hold.
    Lapsed { since: Timestamp },
    /// The conditions hold again after they did not for long.
    Joining { since: Timestamp, lapsed: Timestamp },
    /// The conditions hold.
    Given,
}

/// A group of slots of which this member is a replica.
#[derive(Clone, Debug)]
struct Group {
    since: Timestamp,
    log: Log,
    links: BTreeMap<PeerId, Link>,
    /// Partners by zone; a zone without known members has none.
    zones: BTreeMap<PeerZoneId, Vec<PeerId>>,
    /// When a relay of each zone was last received.
    last_seen: BTreeMap<PeerZoneId, Timestamp>,
    proof: Proof,
    /// Whether the log contains all claims of the own zone that matter.
    complete: bool,
}

/// A claim of another zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RemoteClaim {
    /// The zone.
    pub zone: PeerZoneId,
    /// The earliest time at which it may have been made.
    pub at: Timestamp,
}

/// When a claim of another zone was made at the earliest, and when it expires.
#[derive(Clone, Copy, Debug)]
struct RemoteClaimTimes {
    at: Timestamp,
    expiries: Timestamp,
}

type RemoteClaimKey = (GroupNo, ShortKey, PeerZoneId);

/// All relays that this member sends and receives while each zone has its own replicas.
#[derive(Clone, Debug)]
pub struct Relays {
    topology: Topology,
    /// How long a claim matters.
    retention: TimeSpan,
    groups: BTreeMap<GroupNo, Group>,
    remote_claims: BTreeMap<RemoteClaimKey, RemoteClaimTimes>,
    expiries: BTreeSet<(Timestamp, RemoteClaimKey)>,
    next_relay_at: Timestamp,
}

/// The partners of a replica of a group, by zone.
pub type Partners = BTreeMap<PeerZoneId, Vec<PeerId>>;

/// The sender of a relay.
#[derive(Clone, Copy, Debug)]
pub struct Sender {
    /// The member.
    pub id: PeerId,
    pub zone: PeerZoneId,
    /// The time stamp of its message, by its own clock.
    pub stamp: u64,
}

impl Relays {
    /// No groups. `retention` is how long a claim matters.
    pub fn new(now: Timestamp, topology: Topology, retention: TimeSpan) -> Relays {
        Relays {
            topology,
            retention,
            groups: BTreeMap::new(),
            remote_claims: BTreeMap::new(),
            expiries: BTreeSet::new(),
            next_relay_at: now,
        }
    }

    /// How long a zone has to be silent before it is left out: every claim made there has then
    /// expired.
    fn silence_timeout(&self) -> TimeSpan {
        self.retention + RELAY_SETTLE_TIME
    }

    /// Sets the groups that are held here, with their partners. Returns the groups that are new;
    /// the caller logs all claims in them.
    pub fn assign_groups(
        &mut self,
        now: Timestamp,
        kept: BTreeMap<GroupNo, Partners>,
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
        self.next_relay_at = self.next_relay_at.min(now + BACKLOG_RELAY_INTERVAL);
        new
    }

    /// Drops everything: replicas are chosen from another set of members.
    pub fn clear(&mut self) {
        self.groups.clear();
        self.remote_claims.clear();
        self.expiries.clear();
    }

    /// Logs a change of the claims of the own zone on a key: `last` is the time of the last claim,
    /// or `None` if the key was released.
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

    /// The claims of other zones on a key.
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

    /// Whether a key without known claims is proved to be new in all other zones.
    pub fn proves_new_keys(&mut self, now: Timestamp, group_no: GroupNo) -> bool {
        self.update_proof(now, group_no);
        self.groups
            .get(&group_no)
            .is_some_and(|group| group.proof == Proof::Given)
    }

    /// Updates whether all claims of the own zone in each group are held here.
    pub fn update_completeness(&mut self, now: Timestamp, complete: impl Fn(GroupNo) -> bool) {
        let groups: Vec<GroupNo> = self.groups.keys().copied().collect();
        for group_no in groups {
            if let Some(group) = self.groups.get_mut(&group_no) {
                group.complete = complete(group_no) && group.log.dropped_until <= now;
            }
            self.update_proof(now, group_no);
        }
    }

    /// The numbers of log entries and of claims of other zones, for figures and for checks that
    /// they stay bounded.
    pub fn entry_counts(&self) -> (usize, usize) {
        let logged = self.groups.values().map(|group| group.log.entries.len());
        (logged.sum(), self.remote_claims.len())
    }

    /// The number of partners, counted once for each group.
    pub fn partners(&self) -> usize {
        self.groups.values().map(|group| group.links.len()).sum()
    }

    /// The number of groups held, and of those that prove keys to be new.
    pub fn proving_groups(&self) -> (usize, usize) {
        let given = self
            .groups
            .values()
            .filter(|group| group.proof == Proof::Given);
        (self.groups.len(), given.count())
    }

    /// When [`Relays::advance`] has to be called next.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        let expiries = self.expiries.first().map(|&(at, _)| at);
        let tick = (!self.groups.is_empty()).then_some(self.next_relay_at);
        expiries.into_iter().chain(tick).min()
    }

    /// Drops expired claims, and returns the relays that are due.
    pub fn advance(&mut self, now: Timestamp, rng: &mut fastrand::Rng) -> Vec<(PeerId, Relay)> {
        self.drop_expired(now);
        if now < self.next_relay_at || self.groups.is_empty() {
            return Vec::new();
        }
        let mut relays = Vec::new();
        let groups: Vec<GroupNo> = self.groups.keys().copied().collect();
        for group_no in groups {
            self.update_proof(now, group_no);
            relays.extend(self.relays_of_group(now, group_no));
        }
        let has_backlog = relays.iter().any(|(_, relay)| !relay.last);
        let interval = if has_backlog {
            BACKLOG_RELAY_INTERVAL
        } else {
            RELAY_INTERVAL
        };
        self.next_relay_at = now + interval.mul_f64(0.75 + 0.5 * rng.f64());
        relays
    }

    fn drop_expired(&mut self, now: Timestamp) {
        while let Some((at, key)) = self.expiries.first().copied().filter(|(at, _)| *at <= now) {
            self.expiries.pop_first();
            if self
                .remote_claims
                .get(&key)
                .is_some_and(|kept| kept.expiries <= at)
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
        let silence_timeout = self.silence_timeout();
        let Some(group) = self.groups.get_mut(&group_no) else {
            return Vec::new();
        };
        let reachable_zones = group.reachable_zones(now, &self.topology, silence_timeout);
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

    /// Handles a relay. Relays of members that are not partners or of unknown zones are ignored.
    pub fn on_relay(&mut self, now: Timestamp, from: Sender, relay: Relay) {
        let group_no = relay.group;
        self.update_proof(now, group_no);
        let same_zones = relay.zones == self.topology.checksum();
        let has_room = self.remote_claims.len() + relay.entries.len() <= MAX_REMOTE_CLAIMS;
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
        // Positions refer to the sender's list of zones. If that is a different list, the sender is
        // taken to receive all zones.
        link.reachable_zones = if same_zones {
            relay.reachable_zones
        } else {
            u64::MAX
        };
        link.on_ack(now, &relay, &group.log);
        let entries = link.accept_entries(now, &relay, from.stamp, has_room);
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
        // The sender's timestamp of the claim may be too late, and the entry took time to arrive.
        let at = now - age;
        let kept = RemoteClaimTimes {
            at: at - super::MAX_TIMESTAMP_ERROR.mul_f64(2.0),
            expiries: at + self.retention,
        };
        if kept.expiries > now {
            self.expiries.insert((kept.expiries, key));
            self.remote_claims.insert(key, kept);
        }
    }

    fn update_proof(&mut self, now: Timestamp, group_no: GroupNo) {
        let silence_timeout = self.silence_timeout();
        if let Some(group) = self.groups.get_mut(&group_no) {
            let conditions_hold = group.conditions_hold(now, &self.topology, silence_timeout);
            group.proof = group
                .proof
                .next_state(now, conditions_hold, silence_timeout);
        }
    }
}

impl Proof {
    fn next_state(self, now: Timestamp, conditions_hold: bool, silence_timeout: TimeSpan) -> Proof {
        match (self, conditions_hold) {
            (Proof::Given, true) => Proof::Given,
            (Proof::Given, false) => Proof::Lapsed { since: now },
            (Proof::Lapsed { since }, true) => {
                // No other zone can have left this one out yet.
                if now.since(since) < silence_timeout.mul_f64(0.5) {
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

    fn set_partners(&mut self, now: Timestamp, zones: Partners) {
        let partner = |id: &PeerId| zones.values().any(|partners| partners.contains(id));
        self.links.retain(|id, _| partner(id));
        for &id in zones.values().flatten() {
            self.links.entry(id).or_insert_with(|| Link::new(now));
        }
        self.zones = zones;
    }

    /// The zones whose claims are known up to [`RELAY_SETTLE_TIME`] ago.
    fn fresh_zones(&self, now: Timestamp) -> Vec<PeerZoneId> {
        let is_fresh = |id: &PeerId| self.links.get(id).is_some_and(|link| link.is_fresh(now));
        let fresh = |partners: &Vec<PeerId>| !partners.is_empty() && partners.iter().all(is_fresh);
        let zones = self.zones.iter().filter(|(_, partners)| fresh(partners));
        zones.map(|(&zone, _)| zone).collect()
    }

    /// The zones that are received, as a bit set of their positions.
    fn reachable_zones(
        &self,
        now: Timestamp,
        topology: &Topology,
        silence_timeout: TimeSpan,
    ) -> u64 {
        let zones = topology.zones().iter().enumerate();
        let is_received = |zone: &PeerZoneId| {
            self.last_seen
                .get(zone)
                .is_some_and(|&at| now.since(at) < silence_timeout)
        };
        let bits = zones
            .filter(|(_, zone)| is_received(zone))
            .map(|(position, _)| 1u64 << (position % 64));
        bits.fold(0, |all, bit| all | bit)
    }

    /// Whether all claims that matter are known; see the documentation of this module.
    fn conditions_hold(
        &self,
        now: Timestamp,
        topology: &Topology,
        silence_timeout: TimeSpan,
    ) -> bool {
        if !self.complete {
            return false;
        }
        let fresh = self.fresh_zones(now);
        let zones = topology.zones();
        let left_out = |zone: PeerZoneId| {
            let last_seen = self.last_seen.get(&zone).copied().unwrap_or(self.since);
            let position = zones.iter().position(|&known| known == zone);
            let bit = 1u64 << (position.unwrap_or(0) % 64);
            let is_received_by = |zone: &PeerZoneId| {
                let partners = self.zones.get(zone).into_iter().flatten();
                let links = partners.filter_map(|id| self.links.get(id));
                links.fold(0, |all, link| all | link.reachable_zones) & bit != 0
            };
            now.since(last_seen.max(self.since)) >= silence_timeout
                && !fresh.iter().any(is_received_by)
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
    /// The next relay to this partner. The caller adds what is known of the group.
    fn relay(&mut self, now: Timestamp, group: GroupNo, log: &Log) -> Relay {
        if self.sent > self.acked && now.since(self.sent_at) >= RESEND_DELAY {
            (self.sent, self.sent_twice) = (self.acked, self.acked);
        }
        let first = self.sent_twice.max(self.acked);
        let first = first.clamp(log.base, log.end());
        let unsent = log.entries.range((first - log.base) as usize..);
        let entries: Vec<Entry> = unsent
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

    /// Handles an acknowledgement of the own log. A partner that knows another log has nothing of
    /// this one, even if it had before.
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

    /// Returns the entries that are new, provided that the log is known without a gap up to them.
    fn accept_entries<'a>(
        &mut self,
        now: Timestamp,
        relay: &'a Relay,
        stamp: u64,
        has_room: bool,
    ) -> &'a [Entry] {
        let same = self.log == Some(relay.log);
        // A new process may have an earlier clock than the one before it, and would not know the
        // echo of a stamp of that one.
        let earlier_stamp = self.stamp.filter(|_| same);
        self.stamp = Some(earlier_stamp.unwrap_or(0).max(stamp));
        let contiguous = relay.is_first || (same && relay.first <= self.next);
        if !contiguous || !has_room {
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
