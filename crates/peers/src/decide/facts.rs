//! Shared facts, and how two differing copies of a fact are merged.
//!
//! Each kind of fact has one merge rule. The order and number of merges do not matter. Where two
//! copies contradict each other, the result is the more restrictive of the two.
//!
//! | kind | rule |
//! | --- | --- |
//! | a claim, by its token | only its owner changes it, and only to later stages: the later stage applies |
//! | a record, by its key | all claims of both copies; beyond [`MAX_CLAIMS_PER_KEY`], claims of attempts that may have run anywhere |
//! | a purge, by object or group | the later time |
//! | a change of a host, by host | the later start; of one start, the later journal position; of one position, the more restricted state |

use super::clock_offset::OffsetEstimate;
use super::ids::TimeRange;
pub use super::ids::{COMMON_SLOTS, RECORD_SLOTS, Slot, mix};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use trailproxy::units::*;
use trailproxy_shared_store::decide::records::{Record, RecordStatus};

/// Identifies one claim of one dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Token(pub u64);

/// How far the owner of a claim has come. An owner reports one final stage only. If a faulty peer
/// reports several, the one that permits less applies; `Released` therefore comes before the other
/// final stages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// An attempt may be sent at any time, to any location.
    Claimed,
    /// An attempt was sent.
    Sent,
    /// The request never ran and never will.
    Released,
    /// The owner does not know whether the request ran.
    Unknown,
    /// The request is done.
    Done,
}

/// Where the request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ClaimLocation {
    /// No attempt was sent yet.
    NotReported,
    /// A zone and a cell.
    At(u16, u16),
    /// Any zone and cell.
    Anywhere,
}

impl ClaimLocation {
    fn join(self, other: ClaimLocation) -> ClaimLocation {
        match (self, other) {
            (ClaimLocation::NotReported, location) | (location, ClaimLocation::NotReported) => {
                location
            }
            (one, other) if one == other => one,
            _ => ClaimLocation::Anywhere,
        }
    }
}

/// The claim of one dispatcher on a key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// Identifies the claim.
    pub token: Token,
    /// When it was claimed, before the first attempt, by the owner's clock. It never changes.
    pub at: u64,
    /// How far the request has come.
    pub stage: Stage,
    /// Where it may have run.
    pub location: ClaimLocation,
    /// The answer, if the request is done and the answer is small.
    pub body: Option<Box<[u8]>>,
}

/// The number of claims that are distinguished for one key. More occur only when one client repeats
/// a request everywhere at once.
pub const MAX_CLAIMS_PER_KEY: usize = 12;
/// Tokens of the two claims that stand for all claims beyond the limit: the earliest and the
/// latest.
const OVERFLOW_TOKENS: [Token; 2] = [Token(0), Token(1)];

/// Identifies a fact.
/// A shared fact.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum FactId {
    /// The record of a key.
    Record(u128),
    /// The purge of an object or of a group.
    Purge(Option<u64>, u32),
    /// The state of a host.
    Host(u64),
}

impl FactId {
    /// The slot of the fact.
    pub fn slot(self) -> Slot {
        let common = |n: u64| Slot(RECORD_SLOTS + (mix(n) % u64::from(COMMON_SLOTS)) as u16);
        match self {
            FactId::Record(key) => Slot((key >> 120) as u16),
            FactId::Purge(object, group) => common(object.unwrap_or(u64::from(group))),
            FactId::Host(host) => common(host),
        }
    }
}

/// The state of a host in the host list, in increasing order of restriction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ListedState {
    /// It takes requests.
    Ready,
    /// It takes no new requests.
    Draining,
    /// It is not in the list any more.
    Gone,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Fact {
    /// The claims on a key.
    Record { key: u128, claims: Vec<Claim> },
    /// A purge of an object or group.
    Purge {
        object: Option<u64>,
        group: u32,
        /// When the purge happened, by the journal service's clock.
        at: u64,
    },
    /// A change of a host in the host list.
    Host {
        host: u64,
        started: u64,
        journal_position: u64,
        listed: ListedState,
        /// When the list reported it, by the clock of the member that read the list.
        at: u64,
    },
}

impl Fact {
    /// Identifies the fact among all copies.
    pub fn id(&self) -> FactId {
        match self {
            Fact::Record { key, .. } => FactId::Record(*key),
            Fact::Purge { object, group, .. } => FactId::Purge(*object, *group),
            Fact::Host { host, .. } => FactId::Host(*host),
        }
    }

    /// The latest time at which the fact was of use, by the clock that its timestamps are of.
    pub fn at(&self) -> Timestamp {
        Timestamp(match self {
            Fact::Record { claims, .. } => claims.iter().map(|claim| claim.at).max().unwrap_or(0),
            Fact::Purge { at, .. } | Fact::Host { at, .. } => *at,
        })
    }

    /// The hash of the fact, which is added to the checksum of its slot. It does not depend on
    /// timestamps that each member converts to its own clock: these differ between equal copies.
    fn content_hash(&self) -> u64 {
        let mut hash = Fnv(0xcbf2_9ce4_8422_2325);
        std::hash::Hash::hash(&self.without_converted_times(), &mut hash);
        mix(hash.0)
    }

    /// The fact with zero in place of each timestamp that is converted to the reader's clock.
    fn without_converted_times(&self) -> Fact {
        let mut fact = self.clone();
        match &mut fact {
            Fact::Record { claims, .. } => claims.iter_mut().for_each(|claim| claim.at = 0),
            Fact::Host { at, .. } => *at = 0,
            Fact::Purge { .. } => {}
        }
        fact
    }

    /// Whether a merged copy says anything new. Two conversions of one timestamp may differ; that is
    /// no news unless the merged copy is to be held for longer than the error of a timestamp.
    fn differs_from(&self, merged: &Fact) -> bool {
        merged.at() > self.at() + super::MAX_TIMESTAMP_ERROR
            || self.without_converted_times() != merged.without_converted_times()
    }

    /// The approximate encoded size in bytes.
    pub fn size(&self) -> usize {
        match self {
            Fact::Record { claims, .. } => {
                let body = |claim: &Claim| claim.body.as_ref().map_or(0, |body| body.len());
                24 + claims.iter().map(|claim| 32 + body(claim)).sum::<usize>()
            }
            _ => 36,
        }
    }
}

/// The FNV-1a hash. Unlike the standard hasher it is the same in every process and build.
struct Fnv(u64);

impl std::hash::Hasher for Fnv {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}

/// Merges two copies of one claim.
fn merge_claim(one: Claim, other: Claim) -> Claim {
    let [_, latest] = OVERFLOW_TOKENS;
    let at = match one.token == latest {
        true => one.at.max(other.at),
        false => one.at.min(other.at),
    };
    Claim {
        token: one.token,
        at,
        stage: one.stage.max(other.stage),
        location: one.location.join(other.location),
        body: one.body.max(other.body),
    }
}

fn merge_claims(one: Vec<Claim>, other: Vec<Claim>) -> Vec<Claim> {
    let mut by_token: BTreeMap<Token, Claim> = BTreeMap::new();
    for claim in one.into_iter().chain(other) {
        let merged = match by_token.remove(&claim.token) {
            Some(known) => merge_claim(known, claim),
            None => claim,
        };
        by_token.insert(merged.token, merged);
    }
    let has_overflow = OVERFLOW_TOKENS
        .iter()
        .any(|token| by_token.contains_key(token));
    if by_token.len() <= MAX_CLAIMS_PER_KEY && !has_overflow {
        return by_token.into_values().collect();
    }
    // The earliest determines repeat windows, the latest how long the record is held.
    let times = || by_token.values().map(|claim| claim.at);
    let bounds = [times().min(), times().max()].map(Option::unwrap_or_default);
    let one = |(token, at)| Claim {
        token,
        at,
        stage: Stage::Unknown,
        location: ClaimLocation::Anywhere,
        body: None,
    };
    OVERFLOW_TOKENS.into_iter().zip(bounds).map(one).collect()
}

/// Merges two copies of a fact. If they are not copies of one fact, the first is returned.
pub fn merge(one: Fact, other: Fact) -> Fact {
    match (one, other) {
        (
            Fact::Record { key, claims },
            Fact::Record {
                key: k,
                claims: more,
            },
        ) if key == k => {
            let claims = merge_claims(claims, more);
            Fact::Record { key, claims }
        }
        (
            Fact::Purge { object, group, at },
            Fact::Purge {
                object: o,
                group: g,
                at: later,
            },
        ) if (object, group) == (o, g) => {
            let at = at.max(later);
            Fact::Purge { object, group, at }
        }
        (one @ Fact::Host { .. }, other @ Fact::Host { .. }) if one.id() == other.id() => {
            let rank = |fact: &Fact| match fact {
                Fact::Host {
                    started,
                    journal_position,
                    listed,
                    at,
                    ..
                } => (*started, *journal_position, *listed, *at),
                _ => (0, 0, ListedState::Ready, 0),
            };
            if rank(&other) > rank(&one) {
                other
            } else {
                one
            }
        }
        (one, _) => one,
    }
}

/// What the claims of a key tell at `now` to the owner of claim `own`; `None` if no other request
/// runs or ran. The age is the greatest possible one.
pub fn claims_of_others(now: Timestamp, claims: &[Claim], own: Option<Token>) -> Option<Record> {
    let others = claims.iter();
    let others: Vec<&Claim> = others
        .filter(|claim| Some(claim.token) != own && claim.stage != Stage::Released)
        .collect();
    let first = others.iter().map(|claim| claim.at).min()?;
    let location = others
        .iter()
        .fold(ClaimLocation::NotReported, |location, claim| {
            location.join(match claim.location {
                ClaimLocation::NotReported => ClaimLocation::Anywhere,
                known => known,
            })
        });
    let has_stage = |stage| others.iter().any(|claim| claim.stage == stage);
    let status = match (
        has_stage(Stage::Done),
        has_stage(Stage::Sent),
        has_stage(Stage::Unknown),
    ) {
        (true, ..) => RecordStatus::Done,
        (_, true, _) => RecordStatus::Sent,
        (_, _, true) => RecordStatus::Unknown,
        _ => RecordStatus::Claimed,
    };
    let body = others.iter().find_map(|claim| claim.body.clone());
    Some(Record {
        status,
        location: match location {
            ClaimLocation::At(zone, cell) => Some((ZoneId(zone), CellId(cell))),
            ClaimLocation::NotReported | ClaimLocation::Anywhere => None,
        },
        // The timestamp was converted by the replica and by the reader, and may be too late by the
        // error of both.
        age: now.since(Timestamp(first)) + super::MAX_TIMESTAMP_ERROR.mul_f64(2.0),
        body: body.map(|body| body.into_vec()),
    })
}

/// How long facts are held, by kind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Retention {
    /// How long records are held.
    pub record: TimeSpan,
    /// How long purges are held.
    pub purge: TimeSpan,
    /// How long changes of hosts are held.
    pub host: TimeSpan,
}

/// The facts of one slot and its checksum, if that is computed.
#[derive(Clone, Debug, Default)]
struct SlotFacts {
    facts: BTreeMap<FactId, Fact>,
    checksum: Option<u64>,
}

/// All facts that one member holds.
#[derive(Clone, Debug)]
pub struct Facts {
    retention: Retention,
    slots_held: BTreeMap<Slot, SlotFacts>,
    /// When facts expire. A fact that was renewed is also listed under its earlier expiry.
    expiries: std::collections::BTreeSet<(Timestamp, FactId)>,
    records: usize,
    commons: usize,
    /// The journal service's clock, by its own purges.
    journal_clock: Option<OffsetEstimate>,
    /// The same, by purges that other members passed on; used while the journal service is silent.
    reported_journal_clock: Option<OffsetEstimate>,
}

/// Longer than any copy of a purge is held, so that purges that are passed on again do not make the
/// journal service's clock appear late.
const JOURNAL_CLOCK_PERIOD: TimeSpan = TimeSpan::from_secs(3_600);

/// The largest number of records that are held. Further ones are not stored, and whoever claims
/// their keys is told that nothing is certain; no fact that may still matter is dropped instead.
pub const MAX_RECORDS: usize = 120_000;
/// The largest number of purges and hosts that are held.
pub const MAX_COMMON_FACTS: usize = 16_384;

fn observe_journal_stamp(clock: &mut Option<OffsetEstimate>, now: Timestamp, stamp: Timestamp) {
    match clock {
        Some(clock) => clock.observe(now, stamp),
        None => *clock = Some(OffsetEstimate::new(now, stamp, JOURNAL_CLOCK_PERIOD)),
    }
}

impl Facts {
    /// An empty store of facts.
    pub fn new(retention: Retention) -> Facts {
        Facts {
            retention,
            slots_held: BTreeMap::new(),
            expiries: std::collections::BTreeSet::new(),
            records: 0,
            commons: 0,
            journal_clock: None,
            reported_journal_clock: None,
        }
    }

    /// Takes the stamp of a purge into account that the journal service itself reported now.
    pub fn on_journal_stamp(&mut self, now: Timestamp, stamp: Timestamp) {
        observe_journal_stamp(&mut self.journal_clock, now, stamp);
    }

    /// The latest time, by the own clock, at which the fact was of use.
    fn local_time(&self, fact: &Fact) -> Timestamp {
        let journal_clock = self.journal_clock.or(self.reported_journal_clock);
        match (fact, journal_clock) {
            (Fact::Purge { at, .. }, Some(clock)) => clock.offset().to_local(Timestamp(*at)),
            _ => fact.at(),
        }
    }

    fn expires_at(&self, fact: &Fact) -> Timestamp {
        let retention = match fact {
            Fact::Record { .. } => self.retention.record,
            Fact::Purge { .. } => self.retention.purge,
            Fact::Host { .. } => self.retention.host,
        };
        self.local_time(fact) + retention
    }

    /// The number of records.
    pub fn record_count(&self) -> usize {
        self.records
    }

    /// The number of purges and hosts.
    pub fn common_count(&self) -> usize {
        self.commons
    }

    /// The stored copy of a fact.
    pub fn get(&self, id: FactId) -> Option<&Fact> {
        self.slots_held.get(&id.slot())?.facts.get(&id)
    }

    /// The slots that hold facts.
    pub fn slots(&self) -> impl Iterator<Item = Slot> {
        self.slots_held.keys().copied()
    }

    fn count(&mut self, id: FactId, by: isize) {
        let counter = match id {
            FactId::Record(_) => &mut self.records,
            _ => &mut self.commons,
        };
        *counter = counter.saturating_add_signed(by);
    }

    /// Stores a fact. `Some(true)`: it was new; `Some(false)`: it was known or has expired; `None`:
    /// there is no room.
    pub fn insert(&mut self, now: Timestamp, fact: Fact) -> Option<bool> {
        if let Fact::Purge { at, .. } = fact {
            observe_journal_stamp(&mut self.reported_journal_clock, now, Timestamp(at));
        }
        // A fact from far in the future would be held for as long.
        let latest = now + super::MAX_TIMESTAMP_ERROR.mul_f64(2.0);
        if self.expires_at(&fact) <= now || self.local_time(&fact) > latest {
            return Some(false);
        }
        let id = fact.id();
        let known = self.get(id);
        let full = match id {
            FactId::Record(_) => self.records >= MAX_RECORDS,
            _ => self.commons >= MAX_COMMON_FACTS,
        };
        let merged = match known {
            None if full => return None,
            None => fact,
            Some(known) => {
                let merged = merge(known.clone(), fact);
                if !known.differs_from(&merged) {
                    return Some(false);
                }
                merged
            }
        };
        let new = known.is_none();
        self.count(id, isize::from(new));
        self.expiries.insert((self.expires_at(&merged), id));
        let held = self.slots_held.entry(id.slot()).or_default();
        held.checksum = None;
        held.facts.insert(id, merged);
        Some(true)
    }

    /// Drops the facts of a slot that other members hold now.
    pub fn drop_slot(&mut self, slot: Slot) {
        if let Some(held) = self.slots_held.remove(&slot) {
            for id in held.facts.into_keys() {
                self.count(id, -1);
            }
        }
    }

    /// When the next fact expires.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.expiries.first().map(|&(at, _)| at)
    }

    /// Drops expired facts.
    pub fn advance(&mut self, now: Timestamp) {
        while let Some((_, id)) = self.expiries.first().copied().filter(|(at, _)| *at <= now) {
            self.expiries.pop_first();
            let slot = id.slot();
            let expires_at = self.get(id).map(|fact| self.expires_at(fact));
            let expired = expires_at.is_some_and(|at| at <= now);
            // The estimate of the journal service's clock may have changed.
            let later = expires_at.filter(|&at| at > now);
            self.expiries.extend(later.map(|at| (at, id)));
            if let Some(held) = self.slots_held.get_mut(&slot).filter(|_| expired) {
                held.facts.remove(&id);
                held.checksum = None;
                if held.facts.is_empty() {
                    self.slots_held.remove(&slot);
                }
                self.count(id, -1);
            }
        }
    }

    /// The checksum of a slot. It depends on the facts only, not on the order in which they
    /// arrived.
    pub fn checksum(&mut self, slot: Slot) -> u64 {
        let Some(held) = self.slots_held.get_mut(&slot) else {
            return 0;
        };
        *held.checksum.get_or_insert_with(|| {
            let hashes = held.facts.values().map(Fact::content_hash);
            hashes.fold(0, u64::wrapping_add)
        })
    }

    /// The checksum over the facts of a slot whose timestamp is in a range.
    pub fn checksum_in_range(&self, slot: Slot, range: TimeRange) -> u64 {
        let held = self.slots_held.get(&slot);
        let facts = held.into_iter().flat_map(|held| held.facts.values());
        let facts = facts.filter(|fact| range.contains(fact.at()));
        facts.map(Fact::content_hash).fold(0, u64::wrapping_add)
    }

    /// Facts of a slot in order after the given one, about `bytes` long, and whether they are the
    /// last ones.
    pub fn page(&self, slot: Slot, after: Option<FactId>, bytes: usize) -> (Vec<Fact>, bool) {
        let Some(held) = self.slots_held.get(&slot) else {
            return (Vec::new(), true);
        };
        let from = after.map_or(std::ops::Bound::Unbounded, std::ops::Bound::Excluded);
        let mut rest = held.facts.range((from, std::ops::Bound::Unbounded));
        let (mut page, mut size) = (Vec::new(), 0);
        for (_, fact) in rest.by_ref() {
            size += fact.size();
            page.push(fact.clone());
            if size >= bytes {
                break;
            }
        }
        (page, rest.next().is_none())
    }
}
