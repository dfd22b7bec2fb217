//! What is known of objects, hosts and purges, as far as it explains why an attempt crosses. All of
//! it is bounded.

use crate::decide::account::{Cause, Tier};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use trailproxy::interface::*;
use trailproxy::units::*;

/// Parts remembered in each of two generations; the older one is dropped when the newer one is
/// full.
const MAX_PARTS_PER_GENERATION: usize = 20_000;
/// Limit of remembered purges.
const MAX_PURGES: usize = 4_096;
/// How long a purge, or a host that is gone, explains refills.
const EXPLANATION_TIME: TimeSpan = TimeSpan::from_secs(60);
/// Fraction of the fresh time after which a refill counts as a renewal.
const RENEWAL_FRACTION: f64 = 0.75;

/// Why an attempt crosses, with the evidence.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CrossingCause {
    /// The cause.
    pub cause: Cause,
    /// The host that held the part before, if its loss is the cause.
    pub lost_host: Option<HostId>,
    /// The group or object that was purged, if that is the cause.
    pub purge: Option<u64>,
}

impl CrossingCause {
    /// A cause without evidence.
    pub fn of(cause: Cause) -> CrossingCause {
        CrossingCause {
            cause,
            lost_host: None,
            purge: None,
        }
    }
}

/// A part of an object at a cache: host, object and part.
pub type CachedPart = (HostId, ObjectId, u32);

/// Where and when a part was filled.
#[derive(Clone, Copy, Debug)]
struct FillRecord {
    host: HostId,
    filled: Timestamp,
}

/// What is known of a host.
#[derive(Clone, Copy, Debug)]
struct KnownHost {
    tier: Tier,
    state: HostState,
    started: Option<Timestamp>,
    stamp: Option<Timestamp>,
    /// When it left the host list.
    left_at: Timestamp,
    /// Since when its attempts fail; `None` if the last one was answered.
    failing_since: Option<Timestamp>,
}

/// The history that one dispatcher knows.
#[derive(Debug)]
pub struct ObjectHistory {
    parent_kind: Option<KindId>,
    origin_kind: Option<KindId>,
    newer: BTreeMap<(ObjectId, u32), FillRecord>,
    older: BTreeMap<(ObjectId, u32), FillRecord>,
    hosts: BTreeMap<HostId, KnownHost>,
    purges: BTreeMap<(GroupId, Option<ObjectId>), Timestamp>,
    purge_order: VecDeque<(Timestamp, (GroupId, Option<ObjectId>))>,
    filling: BTreeSet<CachedPart>,
}

impl ObjectHistory {
    /// Starts with no history.
    pub fn new(parent_kind: Option<KindId>, origin_kind: Option<KindId>) -> ObjectHistory {
        ObjectHistory {
            parent_kind,
            origin_kind,
            newer: BTreeMap::new(),
            older: BTreeMap::new(),
            hosts: BTreeMap::new(),
            purges: BTreeMap::new(),
            purge_order: VecDeque::new(),
            filling: BTreeSet::new(),
        }
    }

    /// Number of remembered entries.
    pub fn tracked_count(&self) -> usize {
        self.newer.len()
            + self.older.len()
            + self.hosts.len()
            + self.purges.len()
            + self.filling.len()
    }

    /// Handles a host list.
    pub fn on_host_list(&mut self, now: Timestamp, kind: HostListKind, entries: &[HostEntry]) {
        let mark_gone = |known: &mut KnownHost| {
            if known.state != HostState::Gone {
                (known.state, known.left_at) = (HostState::Gone, now);
            }
        };
        if kind == HostListKind::Full {
            self.hosts.values_mut().for_each(mark_gone);
        }
        for entry in entries {
            let tier = match Some(entry.kind) {
                kind if kind == self.parent_kind => Tier::Parent,
                kind if kind == self.origin_kind => Tier::Origin,
                _ => Tier::Cache,
            };
            let known = self.hosts.entry(entry.host).or_insert(KnownHost {
                tier,
                state: entry.state,
                started: entry.started,
                stamp: entry.stamp,
                left_at: now,
                failing_since: None,
            });
            if known.stamp != entry.stamp {
                known.failing_since = None;
            }
            if entry.state == HostState::Gone {
                mark_gone(known);
            }
            (known.tier, known.state) = (tier, entry.state);
            (known.started, known.stamp) = (entry.started, entry.stamp);
        }
        self.hosts.retain(|_, known| {
            known.state != HostState::Gone || now.since(known.left_at) < EXPLANATION_TIME
        });
    }

    /// The tier of a host.
    pub fn tier(&self, host: HostId) -> Tier {
        self.hosts
            .get(&host)
            .map_or(Tier::Parent, |known| known.tier)
    }

    /// Handles a purge of an object or a group.
    pub fn on_purge(&mut self, at: Timestamp, object: Option<ObjectId>, group: GroupId) {
        let group = object.map_or(group, |_| GroupId::default());
        let key = (group, object);
        let known = self.purges.entry(key).or_default();
        if at <= *known {
            return;
        }
        *known = at;
        self.purge_order.push_back((at, key));
        while let Some(&(purged_at, key)) = self.purge_order.front() {
            let is_old =
                at.since(purged_at) >= EXPLANATION_TIME || self.purge_order.len() > MAX_PURGES;
            if !is_old {
                break;
            }
            self.purge_order.pop_front();
            // An entry that was purged again since also stands further back in the list.
            if self.purges.get(&key) == Some(&purged_at) {
                self.purges.remove(&key);
            }
        }
    }

    fn seen(&self, part: (ObjectId, u32)) -> Option<FillRecord> {
        self.newer.get(&part).or(self.older.get(&part)).copied()
    }

    /// Why an attempt crosses. `fresh_for` is how long parts of its class are fresh.
    pub fn explain(
        &self,
        now: Timestamp,
        crossing: &Crossing,
        fresh_for: Option<TimeSpan>,
    ) -> CrossingCause {
        let Some(seen) = self.seen((crossing.arrival.object, crossing.arrival.part)) else {
            return CrossingCause::of(Cause::First);
        };
        let (object, group) = (crossing.arrival.object, crossing.arrival.group);
        let object_purge = self.purges.get(&(GroupId::default(), Some(object)));
        let group_purge = self.purges.get(&(group, None));
        let explains =
            |purge: &&Timestamp| **purge >= seen.filled && now.since(**purge) < EXPLANATION_TIME;
        let purged_object = object_purge.filter(explains).map(|_| object.0);
        if let Some(purge) =
            purged_object.or(group_purge.filter(explains).map(|_| u64::from(group.0)))
        {
            return CrossingCause {
                purge: Some(purge),
                ..CrossingCause::of(Cause::Purge)
            };
        }
        // The cache that held the part is gone, fails or is another process now.
        let previous_host = self.hosts.get(&seen.host);
        let is_lost = match previous_host {
            None => true,
            Some(previous_host) if previous_host.state != HostState::Ready => true,
            Some(previous_host) if previous_host.started.is_some_and(|at| at >= seen.filled) => {
                true
            }
            Some(previous_host) => {
                seen.host != crossing.host && previous_host.failing_since.is_some()
            }
        };
        if is_lost {
            return CrossingCause {
                lost_host: Some(seen.host),
                ..CrossingCause::of(Cause::HostLost)
            };
        }
        let is_renewal = fresh_for
            .is_some_and(|fresh_for| now.since(seen.filled) >= fresh_for.mul_f64(RENEWAL_FRACTION));
        CrossingCause::of(match (crossing.attempt.0 > 0, is_renewal) {
            (true, _) => Cause::Retry,
            (_, true) => Cause::Renewal,
            _ => Cause::Unknown,
        })
    }

    /// Whether this dispatcher is filling the part at that cache.
    pub fn is_filling(&self, cached_part: CachedPart) -> bool {
        self.filling.contains(&cached_part)
    }

    /// Handles the sending of an attempt; `is_filler`: later attempts join its fill.
    pub fn on_sent(&mut self, _now: Timestamp, cached_part: CachedPart, is_filler: bool) {
        if is_filler {
            self.filling.insert(cached_part);
        }
    }

    /// Handles the end of an attempt.
    pub fn on_attempt_ended(
        &mut self,
        now: Timestamp,
        cached_part: CachedPart,
        ending: Ending,
        filled: bool,
        is_filler: bool,
    ) {
        if is_filler {
            self.filling.remove(&cached_part);
        }
        let (host, object, part) = cached_part;
        if let Some(known) = self.hosts.get_mut(&host) {
            match ending {
                Ending::Done | Ending::Miss | Ending::Full => known.failing_since = None,
                Ending::NoConnection
                | Ending::ConnectionLost
                | Ending::TimedOut
                | Ending::Cancelled => {
                    known.failing_since.get_or_insert(now);
                }
                Ending::Error | Ending::NotSent => {}
            }
        }
        if ending != Ending::Done {
            return;
        }
        let previous = self.seen((object, part));
        let new_record = FillRecord { host, filled: now };
        let seen = match previous {
            Some(previous) if !filled && previous.host == host => previous,
            _ => new_record,
        };
        if self.newer.len() >= MAX_PARTS_PER_GENERATION {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert((object, part), seen);
    }
}
