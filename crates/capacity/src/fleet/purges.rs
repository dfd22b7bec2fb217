//! How soon purges are everywhere.

use std::collections::BTreeMap;
use trailproxy::units::{ObjectId, Timestamp};

#[derive(Clone, Copy, Debug)]
struct Progress {
    begun: Timestamp,
    missing: usize,
}

/// Purges under way, and how long the finished ones took.
#[derive(Clone, Debug, Default)]
pub struct PurgeLedger {
    under_way: BTreeMap<ObjectId, Progress>,
    /// Seconds until a purge was known to all members.
    pub took_s: Vec<f64>,
    next: u64,
}

impl PurgeLedger {
    /// A purge begins that so many other members are to hear of.
    pub fn begin(&mut self, now: Timestamp, others: usize) -> ObjectId {
        self.next += 1;
        let object = ObjectId(self.next);
        let progress = Progress {
            begun: now,
            missing: others,
        };
        self.under_way.insert(object, progress);
        object
    }

    /// One more member knows of it.
    pub fn reached(&mut self, now: Timestamp, object: ObjectId) {
        let Some(progress) = self.under_way.get_mut(&object) else {
            return;
        };
        progress.missing = progress.missing.saturating_sub(1);
        if progress.missing == 0 {
            self.took_s.push(now.since(progress.begun).as_secs_f64());
            self.under_way.remove(&object);
        }
    }

    /// Purges from before a moment that some member does not know of yet.
    pub fn unfinished(&self, before: Timestamp) -> usize {
        let all = self.under_way.values();
        all.filter(|progress| progress.begun < before).count()
    }

    /// Only what begins from now on is counted.
    pub fn reset(&mut self) {
        self.under_way.clear();
        self.took_s.clear();
    }
}
