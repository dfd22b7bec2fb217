//! The ids under which requests are known to hosts.
//!
//! An id stays reserved for some time after its request has ended, because a host would treat a second request under it
//! as another copy of the first. Only hashes are kept, in a few sets: an allocation for each id would outlive those of
//! its request around it and leave the memory between them unusable for large bodies.

use std::collections::{BTreeMap, HashSet};
use std::hash::{BuildHasher, RandomState};
use trailproxy::units::{TimeSpan, Timestamp};

/// A hash of an id. The hash function has a secret key, so that no client can choose ids with the same hash.
type IdHash = u64;

/// Ids of ended requests are freed together in steps of this length.
const STEP: TimeSpan = TimeSpan::from_millis(500);

/// Whether a request that has ended may have had an effect that must not come twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PastEffect {
    /// It did not run, or it may run any number of times.
    Harmless,
    /// It may have run, and must not run again.
    Possible,
}

/// Ids of open requests, and of requests that ended so recently that a host may still know them.
#[derive(Default)]
pub struct RequestIds {
    hasher: RandomState,
    open: HashSet<IdHash>,
    /// Of requests without an effect. Where there are too many, the oldest are freed.
    harmless: RetiredIds,
    /// Of requests that may have had an effect. They are never freed before their time.
    with_effect: RetiredIds,
}

impl RequestIds {
    /// Reserves an id, and returns whether it was free.
    pub fn reserve(&mut self, id: &str) -> bool {
        let id = self.hasher.hash_one(id);
        let is_retired = self.harmless.contains(id) || self.with_effect.contains(id);
        !is_retired && self.open.insert(id)
    }

    /// Keeps the id of an ended request reserved until a time. Of those without an effect, about `max_harmless` are kept.
    pub fn retire(&mut self, id: &str, until: Timestamp, effect: PastEffect, max_harmless: usize) {
        let id = self.hasher.hash_one(id);
        self.open.remove(&id);
        match effect {
            PastEffect::Possible => self.with_effect.insert(id, until),
            PastEffect::Harmless => {
                self.harmless.insert(id, until);
                self.harmless.limit(max_harmless);
            }
        }
    }

    /// The number of ended requests whose ids are kept because they may have had an effect.
    pub fn with_effect(&self) -> usize {
        self.with_effect.count
    }

    /// Frees the ids whose time is over.
    pub fn expire(&mut self, now: Timestamp) {
        self.harmless.expire(now);
        self.with_effect.expire(now);
    }

    /// Returns the number of reserved ids.
    pub fn len(&self) -> usize {
        self.open.len() + self.harmless.count + self.with_effect.count
    }
}

/// Ids of ended requests, by the step in which they are freed.
#[derive(Default)]
struct RetiredIds {
    by_step: BTreeMap<u64, HashSet<IdHash>>,
    count: usize,
}

impl RetiredIds {
    fn contains(&self, id: IdHash) -> bool {
        self.by_step.values().any(|ids| ids.contains(&id))
    }

    fn insert(&mut self, id: IdHash, until: Timestamp) {
        let step = until.0.div_ceil(STEP.0);
        let is_new = self.by_step.entry(step).or_default().insert(id);
        self.count += usize::from(is_new);
    }

    /// Frees the oldest until at most `max` are left.
    fn limit(&mut self, max: usize) {
        while self.count > max
            && let Some(mut oldest) = self.by_step.first_entry()
        {
            let ids = oldest.get_mut();
            let excess = self.count - max;
            if excess < ids.len() {
                let freed: Vec<IdHash> = ids.iter().take(excess).copied().collect();
                freed.iter().for_each(|id| {
                    ids.remove(id);
                });
                self.count -= excess;
            } else {
                self.count -= oldest.remove().len();
            }
        }
    }

    fn expire(&mut self, now: Timestamp) {
        while let Some(oldest) = self.by_step.first_entry()
            && oldest.key() * STEP.0 <= now.0
        {
            self.count -= oldest.remove().len();
        }
    }
}
