//! The ids under which requests are known to hosts.
//!
//! An id stays reserved for some time after its request has ended, because a host would treat a second request under it
//! as another copy of the first. Only hashes are kept, in two arrays: an allocation for each id would outlive those of
//! its request around it and leave the memory between them unusable for large bodies.

use std::collections::{HashSet, VecDeque};
use std::hash::{BuildHasher, RandomState};
use trailproxy::units::Timestamp;

/// A hash of an id. The hash function has a secret key, so that no client can choose ids with the same hash.
type IdHash = u64;

/// Ids of open requests, and of requests that ended so recently that a host may still know them.
#[derive(Default)]
pub struct RequestIds {
    hasher: RandomState,
    reserved: HashSet<IdHash>,
    /// Ids of ended requests, each with the time until which it stays reserved.
    retired: VecDeque<(Timestamp, IdHash)>,
}

impl RequestIds {
    /// Reserves an id, and returns whether it was free.
    pub fn reserve(&mut self, id: &str) -> bool {
        self.reserved.insert(self.hasher.hash_one(id))
    }

    /// Keeps the id of an ended request reserved until a time. At most `max_retired` are kept; the oldest is freed.
    pub fn retire(&mut self, id: &str, until: Timestamp, max_retired: usize) {
        self.retired.push_back((until, self.hasher.hash_one(id)));
        if self.retired.len() > max_retired
            && let Some((_, oldest)) = self.retired.pop_front()
        {
            self.reserved.remove(&oldest);
        }
    }

    /// Frees the ids whose time is over.
    pub fn expire(&mut self, now: Timestamp) {
        while let Some((_, id)) = self.retired.pop_front_if(|(until, _)| *until <= now) {
            self.reserved.remove(&id);
        }
    }

    /// Returns the number of reserved ids.
    pub fn len(&self) -> usize {
        self.reserved.len()
    }
}
