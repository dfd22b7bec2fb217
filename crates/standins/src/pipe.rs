//! A capacity that all transfers under way share fairly, each up to a pace of its own.
//!
//! ```
//! use trailproxy::units::{Timestamp, TimeSpan};
//! use trailproxy_standins::pipe::Pipe;
//! let mut pipe: Pipe<u32> = Pipe::new(1_000.0, 800.0);
//! pipe.add(Timestamp(0), 1, 400.0);
//! assert_eq!(pipe.next(), Some(Timestamp(500_000)));
//! pipe.add(Timestamp(0), 2, 100.0);
//! // Two share 1,000 KB/s: the second is over after 0.2 s, the first had 300 KB left at 800 KB/s.
//! assert_eq!(pipe.take_over(Timestamp(200_000)), vec![2]);
//! assert_eq!(pipe.next(), Some(Timestamp(575_000)));
//! ```

use std::collections::{BTreeMap, BTreeSet};
use trailproxy::units::{TimeSpan, Timestamp};

/// Kilobytes on a scale that all transfers climb alike, in billionths, so that they can be ordered.
type Height = u128;
const SCALE: f64 = 1e9;

/// Fluid sharing: a transfer ends when the common height reaches the height at which it began plus its size.
#[derive(Clone, Debug)]
pub struct Pipe<Id> {
    /// KB/s in all, and of one transfer at most.
    rate: f64,
    pace: f64,
    height: f64,
    at: Timestamp,
    ends: BTreeSet<(Height, Id)>,
    of: BTreeMap<Id, Height>,
    moved_kb: f64,
}

impl<Id: Copy + Ord> Pipe<Id> {
    pub fn new(rate: f64, pace: f64) -> Pipe<Id> {
        Pipe {
            rate,
            pace,
            height: 0.0,
            at: Timestamp(0),
            ends: BTreeSet::new(),
            of: BTreeMap::new(),
            moved_kb: 0.0,
        }
    }

    /// KB/s of each transfer now.
    fn each(&self) -> f64 {
        (self.rate / self.of.len().max(1) as f64).min(self.pace)
    }

    fn climb(&mut self, now: Timestamp) {
        let climbed = self.each() * now.since(self.at).as_secs_f64();
        self.moved_kb += climbed * self.of.len() as f64;
        self.height += climbed;
        self.at = self.at.max(now);
        if self.of.is_empty() {
            self.height = 0.0;
        }
    }

    /// A new capacity, with transfers under way: what is moved stays moved.
    pub fn set_rate(&mut self, now: Timestamp, rate: f64) {
        self.climb(now);
        self.rate = rate;
    }

    pub fn rate(&self) -> f64 {
        self.rate
    }

    pub fn add(&mut self, now: Timestamp, id: Id, kb: f64) {
        self.climb(now);
        let end = ((self.height + kb.max(1e-6)) * SCALE) as Height;
        self.of.insert(id, end);
        self.ends.insert((end, id));
    }

    /// Ends a transfer before its time; `false` where it was not under way.
    pub fn drop(&mut self, now: Timestamp, id: Id) -> bool {
        self.climb(now);
        let end = self.of.remove(&id);
        end.is_some_and(|end| self.ends.remove(&(end, id)))
    }

    /// When the next transfer is over, were nothing to change; `None` where nothing moves.
    pub fn next(&self) -> Option<Timestamp> {
        let &(end, _) = self.ends.first()?;
        let left = (end as f64 / SCALE - self.height).max(0.0);
        let each = self.each();
        (each > 0.0).then(|| self.at + TimeSpan((left / each * 1e6).ceil() as u64))
    }

    /// The transfers that are over by now, in the order in which they ended.
    pub fn take_over(&mut self, now: Timestamp) -> Vec<Id> {
        let mut over = Vec::new();
        while let Some(at) = self.next().filter(|&at| at <= now) {
            self.climb(at.max(self.at));
            let Some((_, id)) = self.ends.pop_first() else {
                break;
            };
            self.of.remove(&id);
            over.push(id);
        }
        self.climb(now);
        over
    }

    pub fn under_way(&self) -> usize {
        self.of.len()
    }

    /// All that was moved so far, in KB, with the parts of transfers that were dropped.
    pub fn moved_kb(&self) -> f64 {
        self.moved_kb
    }
}
