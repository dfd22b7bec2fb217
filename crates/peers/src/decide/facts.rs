//! What is held in common, and what two copies that differ make together.
//!
//! Every kind has one rule by which two copies become one. It does not matter in which order copies come, how often, or
//! who was asked first; and where both can't be right, what is left allows less.
//!
//! | kind | rule |
//! | --- | --- |
//! | a claim, by its token | only its owner writes it, and only forward: the further one holds |
//! | a record, by its key | all claims of both; beyond [`MAX_CLAIMS_PER_KEY`] it is a run that may have been anywhere |
//! | a purge, by object or group | the later moment |
//! | a host's turn, by host | the later start; of one start, the later place in the journal; of one place, the more restricted |

use super::messages::TimeRange;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use trailproxy::units::*;
use trailproxy_shared_store::decide::records::{Record, RecordStatus};

/// A part of all that is held: every member keeps the common ones, and a few each of the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Slot(pub u16);

/// Records are spread over so many slots, by their keys. More make sums longer, fewer make one differing record dear.
pub const RECORD_SLOTS: u16 = 256;
/// Purges and hosts are spread over so many behind them.
pub const COMMON_SLOTS: u16 = 8;

impl Slot {
    pub fn all() -> impl Iterator<Item = Slot> {
        (0..RECORD_SLOTS + COMMON_SLOTS).map(Slot)
    }

    /// Whether every member keeps it.
    pub fn is_common(self) -> bool {
        self.0 >= RECORD_SLOTS
    }
}

/// One dispatcher's claim on a key: no other has the same token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Token(pub u64);

/// How far its owner has come with it. Two ends of one claim can't be, as its owner writes one; of what a broken peer
/// makes up the one that allows less holds, so that "free" comes before the other ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// A hand-off may go out any moment, anywhere.
    Claimed,
    Sent,
    /// It never ran, and never will.
    Released,
    /// Its owner ended without knowing whether it ran.
    Unknown,
    Done,
}

/// Where it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ClaimLocation {
    NotReported,
    /// A zone and a cell.
    At(u16, u16),
    Anywhere,
}

impl ClaimLocation {
    fn join(self, other: ClaimLocation) -> ClaimLocation {
        match (self, other) {
            (ClaimLocation::NotReported, place) | (place, ClaimLocation::NotReported) => place,
            (one, other) if one == other => one,
            _ => ClaimLocation::Anywhere,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Claim {
    pub token: Token,
    /// Before the first hand-off, by the owner's clock; never changed on the way.
    pub at: u64,
    pub stage: Stage,
    pub location: ClaimLocation,
    /// The answer, where it is done and small.
    pub body: Option<Box<[u8]>>,
}

/// Claims of one key that are told apart. More is one client that comes again everywhere at once.
pub const MAX_CLAIMS_PER_KEY: usize = 12;
/// The tokens under which further claims are one: the first of them and the last.
const OVERFLOW_TOKENS: [Token; 2] = [Token(0), Token(1)];

/// What is asked of a record of one key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum FactId {
    Record(u128),
    Purge(Option<u64>, u32),
    Host(u64),
}

impl FactId {
    pub fn slot(self) -> Slot {
        let common = |n: u64| Slot(RECORD_SLOTS + (mix(n) % u64::from(COMMON_SLOTS)) as u16);
        match self {
            FactId::Record(key) => Slot((key >> 120) as u16),
            FactId::Purge(object, group) => common(object.unwrap_or(u64::from(group))),
            FactId::Host(host) => common(host),
        }
    }
}

/// How a host stands in the list, from free to restricted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ListedState {
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Fact {
    Record {
        key: u128,
        claims: Vec<Claim>,
    },
    Purge {
        object: Option<u64>,
        group: u32,
        /// When it happened, as the journal service has it.
        at: u64,
    },
    Host {
        host: u64,
        started: u64,
        journal_position: u64,
        listed: ListedState,
        /// When the list said so, by the clock of who heard it.
        at: u64,
    },
}

impl Fact {
    pub fn id(&self) -> FactId {
        match self {
            Fact::Record { key, .. } => FactId::Record(*key),
            Fact::Purge { object, group, .. } => FactId::Purge(*object, *group),
            Fact::Host { host, .. } => FactId::Host(*host),
        }
    }

    /// When it was last of use to anybody, by the clock of who wrote it.
    pub fn at(&self) -> Timestamp {
        Timestamp(match self {
            Fact::Record { claims, .. } => claims.iter().map(|claim| claim.at).max().unwrap_or(0),
            Fact::Purge { at, .. } | Fact::Host { at, .. } => *at,
        })
    }

    /// One digit of the sum of a slot.
    fn hash(&self) -> u64 {
        let mut hash = Fnv(0xcbf2_9ce4_8422_2325);
        std::hash::Hash::hash(self, &mut hash);
        mix(hash.0)
    }

    /// What about a message it fills, in bytes.
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

/// The same in every process and build, which the standard hasher does not promise.
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

/// An even spread of a number.
pub fn mix(n: u64) -> u64 {
    let mut x = n.wrapping_add(0x9e37_79b9_7f4a_7c15);
    for factor in [0xbf58_476d_1ce4_e5b9, 0x94d0_49bb_1331_11eb] {
        x = (x ^ (x >> 30)).wrapping_mul(factor);
    }
    x ^ (x >> 31)
}

/// The further of two copies of one claim.
fn merge_claim(one: Claim, other: Claim) -> Claim {
    Claim {
        token: one.token,
        at: one.at.min(other.at),
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
    let many = OVERFLOW_TOKENS
        .iter()
        .any(|token| by_token.contains_key(token));
    if by_token.len() <= MAX_CLAIMS_PER_KEY && !many {
        return by_token.into_values().collect();
    }
    // The first counts for windows, the last for how long the record is held.
    let times = || by_token.values().map(|claim| claim.at);
    let ends = [times().min(), times().max()].map(Option::unwrap_or_default);
    let one = |(token, at)| Claim {
        token,
        at,
        stage: Stage::Unknown,
        location: ClaimLocation::Anywhere,
        body: None,
    };
    OVERFLOW_TOKENS.into_iter().zip(ends).map(one).collect()
}

/// What two copies of one fact make together; the first where they are no copies of one.
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
                    journal_position: place,
                    listed,
                    at,
                    ..
                } => (*started, *place, *listed, *at),
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

/// What the claims of a key say at `now` to somebody who holds `own`: `None`, where no other runs or ran. The age is
/// the greatest that it can be.
pub fn others(now: Timestamp, claims: &[Claim], own: Option<Token>) -> Option<Record> {
    let others = claims.iter();
    let others: Vec<&Claim> = others
        .filter(|claim| Some(claim.token) != own && claim.stage != Stage::Released)
        .collect();
    let first = others.iter().map(|claim| claim.at).min()?;
    let place = others
        .iter()
        .fold(ClaimLocation::NotReported, |place, claim| {
            place.join(match claim.location {
                ClaimLocation::NotReported => ClaimLocation::Anywhere,
                told => told,
            })
        });
    let is = |stage| others.iter().any(|claim| claim.stage == stage);
    let stand = match (is(Stage::Done), is(Stage::Sent), is(Stage::Unknown)) {
        (true, ..) => RecordStatus::Done,
        (_, true, _) => RecordStatus::Sent,
        (_, _, true) => RecordStatus::Unknown,
        _ => RecordStatus::Claimed,
    };
    let body = others.iter().find_map(|claim| claim.body.clone());
    Some(Record {
        status: stand,
        location: match place {
            ClaimLocation::At(zone, cell) => Some((ZoneId(zone), CellId(cell))),
            ClaimLocation::NotReported | ClaimLocation::Anywhere => None,
        },
        // The owner's clock may be ahead of the keeper's, and that of the reader's.
        age: now.since(Timestamp(first)) + super::MAX_CLOCK_SKEW.mul_f64(2.0),
        body: body.map(|body| body.into_vec()),
    })
}

/// For how long facts are held, by kind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Retention {
    pub record: TimeSpan,
    pub purge: TimeSpan,
    pub host: TimeSpan,
}

#[derive(Clone, Debug, Default)]
struct SlotFacts {
    facts: BTreeMap<FactId, Fact>,
    sum: Option<u64>,
}

/// All that one member holds.
#[derive(Clone, Debug)]
pub struct Facts {
    lasts: Retention,
    slots_held: BTreeMap<Slot, SlotFacts>,
    /// When each is over; one that was renewed stands here under its former end, too.
    ends: std::collections::BTreeSet<(Timestamp, FactId)>,
    records: usize,
    commons: usize,
}

/// Bounds by number. What does not fit is not taken, and who asks is told that it is not sure; nothing that may still
/// matter is forgotten for it.
pub const MAX_RECORDS: usize = 120_000;
pub const MAX_COMMON_FACTS: usize = 16_384;

impl Facts {
    pub fn new(lasts: Retention) -> Facts {
        Facts {
            lasts,
            slots_held: BTreeMap::new(),
            ends: std::collections::BTreeSet::new(),
            records: 0,
            commons: 0,
        }
    }

    fn end(&self, fact: &Fact) -> Timestamp {
        let lasts = match fact {
            Fact::Record { .. } => self.lasts.record,
            Fact::Purge { .. } => self.lasts.purge,
            Fact::Host { .. } => self.lasts.host,
        };
        fact.at() + lasts
    }

    pub fn record_count(&self) -> usize {
        self.records
    }

    pub fn common_count(&self) -> usize {
        self.commons
    }

    pub fn get(&self, id: FactId) -> Option<&Fact> {
        self.slots_held.get(&id.slot())?.facts.get(&id)
    }

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

    /// Takes a fact in. `Some(true)`: it is news; `Some(false)`: it was known, or is over; `None`: there is no room.
    pub fn insert(&mut self, now: Timestamp, fact: Fact) -> Option<bool> {
        // One from far ahead of any clock would be held for as long.
        if self.end(&fact) <= now || fact.at() > now + super::MAX_CLOCK_SKEW.mul_f64(2.0) {
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
                if *known == merged {
                    return Some(false);
                }
                merged
            }
        };
        let new = known.is_none();
        self.count(id, isize::from(new));
        self.ends.insert((self.end(&merged), id));
        let held = self.slots_held.entry(id.slot()).or_default();
        held.sum = None;
        held.facts.insert(id, merged);
        Some(true)
    }

    /// What others keep now is dropped here.
    pub fn drop_slot(&mut self, slot: Slot) {
        if let Some(held) = self.slots_held.remove(&slot) {
            for id in held.facts.into_keys() {
                self.count(id, -1);
            }
        }
    }

    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.ends.first().map(|&(at, _)| at)
    }

    /// Forgets what is over.
    pub fn advance(&mut self, now: Timestamp) {
        while let Some((_, id)) = self.ends.first().copied().filter(|(at, _)| *at <= now) {
            self.ends.pop_first();
            let slot = id.slot();
            let over = self.get(id).is_some_and(|fact| self.end(fact) <= now);
            if let Some(held) = self.slots_held.get_mut(&slot).filter(|_| over) {
                held.facts.remove(&id);
                held.sum = None;
                if held.facts.is_empty() {
                    self.slots_held.remove(&slot);
                }
                self.count(id, -1);
            }
        }
    }

    /// The same for the same facts, in whatever order they came.
    pub fn checksum(&mut self, slot: Slot) -> u64 {
        let Some(held) = self.slots_held.get_mut(&slot) else {
            return 0;
        };
        *held.sum.get_or_insert_with(|| {
            let digits = held.facts.values().map(Fact::hash);
            digits.fold(0, u64::wrapping_add)
        })
    }

    /// The same, of what was last of use within this time.
    pub fn checksum_in_range(&self, slot: Slot, range: TimeRange) -> u64 {
        let held = self.slots_held.get(&slot);
        let facts = held.into_iter().flat_map(|held| held.facts.values());
        let facts = facts.filter(|fact| range.contains(fact.at()));
        facts.map(Fact::hash).fold(0, u64::wrapping_add)
    }

    /// A piece of a slot, of about so many bytes; `true`: it is the last.
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
