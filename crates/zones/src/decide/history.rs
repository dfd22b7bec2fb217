//! What was seen of objects, hosts and purges, as far as it says why something crosses. Bounded throughout.

use crate::decide::account::{Cause, Tier};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use trailproxy::interface::*;
use trailproxy::units::*;

/// Parts remembered in each of two generations: the older one is dropped when the newer is full.
const PARTS: usize = 20_000;
const PURGES: usize = 4_096;
/// A purge explains refills for so long, and a gone host.
const EXPLAINS: TimeSpan = TimeSpan::from_secs(60);
/// Renewals come from this part of the fresh time on.
const RENEWS_FROM: f64 = 0.75;

/// Why something crosses, with its evidence.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CrossingCause {
    pub cause: Cause,
    pub lost: Option<HostId>,
    pub purge: Option<u64>,
}

impl CrossingCause {
    pub fn of(cause: Cause) -> CrossingCause {
        CrossingCause {
            cause,
            lost: None,
            purge: None,
        }
    }
}

/// A part of an object at a cache.
pub type CachedPart = (HostId, ObjectId, u32);

#[derive(Clone, Copy, Debug)]
struct Seen {
    host: HostId,
    filled: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    tier: Tier,
    state: HostState,
    started: Option<Timestamp>,
    stamp: Option<Timestamp>,
    /// When it left the list.
    left: Timestamp,
    /// Since when it fails what it is asked; `None`: it answered last.
    failing: Option<Timestamp>,
}

#[derive(Debug)]
pub struct ObjectHistory {
    parent_kind: Option<KindId>,
    origin_kind: Option<KindId>,
    newer: BTreeMap<(ObjectId, u32), Seen>,
    older: BTreeMap<(ObjectId, u32), Seen>,
    hosts: BTreeMap<HostId, Known>,
    purges: BTreeMap<(GroupId, Option<ObjectId>), Timestamp>,
    purge_order: VecDeque<(Timestamp, (GroupId, Option<ObjectId>))>,
    filling: BTreeSet<CachedPart>,
}

impl ObjectHistory {
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

    pub fn tracked_count(&self) -> usize {
        self.newer.len()
            + self.older.len()
            + self.hosts.len()
            + self.purges.len()
            + self.filling.len()
    }

    pub fn on_host_list(&mut self, now: Timestamp, form: HostListKind, entries: &[HostEntry]) {
        let gone = |known: &mut Known| {
            if known.state != HostState::Gone {
                (known.state, known.left) = (HostState::Gone, now);
            }
        };
        if form == HostListKind::Full {
            self.hosts.values_mut().for_each(gone);
        }
        for entry in entries {
            let tier = match Some(entry.kind) {
                kind if kind == self.parent_kind => Tier::Parent,
                kind if kind == self.origin_kind => Tier::Origin,
                _ => Tier::Cache,
            };
            let known = self.hosts.entry(entry.host).or_insert(Known {
                tier,
                state: entry.state,
                started: entry.started,
                stamp: entry.stamp,
                left: now,
                failing: None,
            });
            if known.stamp != entry.stamp {
                known.failing = None;
            }
            if entry.state == HostState::Gone {
                gone(known);
            }
            (known.tier, known.state) = (tier, entry.state);
            (known.started, known.stamp) = (entry.started, entry.stamp);
        }
        self.hosts
            .retain(|_, known| known.state != HostState::Gone || now.since(known.left) < EXPLAINS);
    }

    pub fn tier(&self, host: HostId) -> Tier {
        self.hosts
            .get(&host)
            .map_or(Tier::Parent, |known| known.tier)
    }

    pub fn on_purge(&mut self, at: Timestamp, object: Option<ObjectId>, group: GroupId) {
        let group = object.map_or(group, |_| GroupId::default());
        let key = (group, object);
        let known = self.purges.entry(key).or_default();
        if at <= *known {
            return;
        }
        *known = at;
        self.purge_order.push_back((at, key));
        while let Some(&(told, key)) = self.purge_order.front() {
            let old = at.since(told) >= EXPLAINS || self.purge_order.len() > PURGES;
            if !old {
                break;
            }
            self.purge_order.pop_front();
            // One that was purged again since stands further back, too.
            if self.purges.get(&key) == Some(&told) {
                self.purges.remove(&key);
            }
        }
    }

    fn seen(&self, part: (ObjectId, u32)) -> Option<Seen> {
        self.newer.get(&part).or(self.older.get(&part)).copied()
    }

    pub fn explain(
        &self,
        now: Timestamp,
        crossing: &Crossing,
        fresh: Option<TimeSpan>,
    ) -> CrossingCause {
        let Some(seen) = self.seen((crossing.arrival.object, crossing.arrival.part)) else {
            return CrossingCause::of(Cause::First);
        };
        let (object, group) = (crossing.arrival.object, crossing.arrival.group);
        let own = self.purges.get(&(GroupId::default(), Some(object)));
        let whole = self.purges.get(&(group, None));
        let since = |purge: &&Timestamp| **purge >= seen.filled && now.since(**purge) < EXPLAINS;
        let of_own = own.filter(since).map(|_| object.0);
        if let Some(purge) = of_own.or(whole.filter(since).map(|_| u64::from(group.0))) {
            return CrossingCause {
                purge: Some(purge),
                ..CrossingCause::of(Cause::Purge)
            };
        }
        // The cache that had it is gone, fails, or is another process now.
        let had = self.hosts.get(&seen.host);
        let lost = match had {
            None => true,
            Some(had) if had.state != HostState::Ready => true,
            Some(had) if had.started.is_some_and(|at| at >= seen.filled) => true,
            Some(had) => seen.host != crossing.host && had.failing.is_some(),
        };
        if lost {
            return CrossingCause {
                lost: Some(seen.host),
                ..CrossingCause::of(Cause::HostLost)
            };
        }
        let aged = fresh.is_some_and(|fresh| now.since(seen.filled) >= fresh.mul_f64(RENEWS_FROM));
        CrossingCause::of(match (crossing.attempt.0 > 0, aged) {
            (true, _) => Cause::Retry,
            (_, true) => Cause::Renewal,
            _ => Cause::Unknown,
        })
    }

    pub fn is_filling(&self, way: CachedPart) -> bool {
        self.filling.contains(&way)
    }

    /// It goes out; `fills`: it is the own hand-off that others join.
    pub fn on_sent(&mut self, _now: Timestamp, way: CachedPart, fills: bool) {
        if fills {
            self.filling.insert(way);
        }
    }

    pub fn on_attempt_ended(
        &mut self,
        now: Timestamp,
        way: CachedPart,
        ending: Ending,
        filled: bool,
        filler: bool,
    ) {
        if filler {
            self.filling.remove(&way);
        }
        let (host, object, part) = way;
        if let Some(known) = self.hosts.get_mut(&host) {
            match ending {
                Ending::Done | Ending::Miss | Ending::Full => known.failing = None,
                Ending::NoConnection
                | Ending::ConnectionLost
                | Ending::TimedOut
                | Ending::Cancelled => {
                    known.failing.get_or_insert(now);
                }
                Ending::Error | Ending::NotSent => {}
            }
        }
        if ending != Ending::Done {
            return;
        }
        let before = self.seen((object, part));
        let fresh = Seen { host, filled: now };
        let seen = match before {
            Some(before) if !filled && before.host == host => before,
            _ => fresh,
        };
        if self.newer.len() >= PARTS {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert((object, part), seen);
    }
}
