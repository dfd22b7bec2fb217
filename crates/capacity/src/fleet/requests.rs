//! Keyed requests as clients and upstreams see them: what became of each, and which ran twice.

use crate::layout::Proximity;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use trailproxy::units::{TimeSpan, Timestamp};
use trailproxy_peers::decide::relay::RELAY_SETTLE_TIME;

/// Upstreams of one zone drop a second attempt under one key that comes within this from the first.
pub const DROP_WITHIN: TimeSpan = TimeSpan::from_secs(4);
/// An attempt that is under way may still run for so long.
pub const ATTEMPT_LIMIT: TimeSpan = TimeSpan::from_secs(2);
/// Longer waits are counted as this.
const LONGEST_WAIT_US: u64 = 60_000_000;

/// Where a client of a request was before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Origin {
    /// Its key is new.
    New,
    /// It used its key at a dispatcher this close to the present one.
    Repeat(Proximity),
}

impl Origin {
    pub fn name(self) -> &'static str {
        match self {
            Origin::New => "new",
            Origin::Repeat(Proximity::SameSite) => "repeat_same_site",
            Origin::Repeat(Proximity::SameZone) => "repeat_same_zone",
            Origin::Repeat(Proximity::SameRegion) => "repeat_same_region",
            Origin::Repeat(Proximity::OtherRegion) => "repeat_other_region",
        }
    }
}

/// What became of a request when it was decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The others said that its key is new.
    Granted,
    /// An earlier attempt is known: it was answered from that, or goes where a repeat is dropped.
    Found,
    /// An earlier attempt is known that might run a second time.
    Refused,
    /// Too few others answered in time.
    Unsure,
}

/// An attempt at an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    pub at: Timestamp,
    pub zone: usize,
    pub granted: bool,
}

impl Attempt {
    /// Whether upstreams would let both run although other members allowed each.
    fn forbidden_with(&self, earlier: &Attempt) -> bool {
        let within = self.at.since(earlier.at) < DROP_WITHIN + ATTEMPT_LIMIT;
        let dropped = self.zone == earlier.zone && within;
        self.granted && earlier.granted && !dropped
    }
}

/// Counts of outcomes and the waits before them.
#[derive(Clone, Debug)]
pub struct Outcomes {
    pub granted: u64,
    pub found: u64,
    pub refused: u64,
    pub unsure: u64,
    pub waits_us: Histogram<u64>,
}

impl Outcomes {
    fn new() -> Outcomes {
        // The bounds are constants that the histogram takes.
        let waits_us = Histogram::new_with_bounds(1, LONGEST_WAIT_US, 3);
        Outcomes {
            granted: 0,
            found: 0,
            refused: 0,
            unsure: 0,
            waits_us: waits_us.unwrap_or_else(|_| unreachable!("constant bounds")),
        }
    }

    fn add(&mut self, outcome: Outcome, waited: TimeSpan) {
        match outcome {
            Outcome::Granted => self.granted += 1,
            Outcome::Found => self.found += 1,
            Outcome::Refused => self.refused += 1,
            Outcome::Unsure => self.unsure += 1,
        }
        self.waits_us.saturating_record(waited.0.max(1));
    }

    pub fn all(&self) -> u64 {
        self.granted + self.found + self.refused + self.unsure
    }
}

/// All keyed requests of the fleet.
#[derive(Clone, Debug, Default)]
pub struct RequestLedger {
    /// Attempts by key.
    attempts: Vec<Vec<Attempt>>,
    pub outcomes: BTreeMap<Origin, Outcomes>,
    pub forbidden_repeats: u64,
    /// Of them, those less than [`SETTLE`] after the earlier attempt.
    pub early_repeats: u64,
}

impl RequestLedger {
    /// A key that no request had before.
    pub fn new_key(&mut self) -> usize {
        self.attempts.push(Vec::new());
        self.attempts.len() - 1
    }

    pub fn decided(&mut self, origin: Origin, outcome: Outcome, waited: TimeSpan) {
        let outcomes = self.outcomes.entry(origin).or_insert_with(Outcomes::new);
        outcomes.add(outcome, waited);
    }

    pub fn attempted(&mut self, key: usize, attempt: Attempt) {
        let earlier = &mut self.attempts[key];
        let forbidden = earlier.iter().filter(|of| attempt.forbidden_with(of));
        let forbidden: Vec<Timestamp> = forbidden.map(|of| of.at).collect();
        let early = forbidden
            .iter()
            .filter(|&&at| attempt.at.since(at) < RELAY_SETTLE_TIME);
        self.early_repeats += early.count() as u64;
        self.forbidden_repeats += forbidden.len() as u64;
        earlier.push(attempt);
    }

    /// Only what is decided from now on is counted; forbidden repeats count throughout.
    pub fn reset(&mut self) {
        self.outcomes.clear();
    }
}
