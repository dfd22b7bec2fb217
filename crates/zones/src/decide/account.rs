//! What crossed between zones: KB and accesses by way, tier, track and cause, in seconds and in all.
//!
//! Bytes are booked where they moved: those of a fill that ran from one moment to another are spread evenly over
//! the seconds between, as far back as the account reaches. Its memory is bounded by [`MAX_KEYS`].

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use trailproxy::units::{ClassId, TimeSpan, Timestamp, ZoneId};

/// Why bytes crossed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// This dispatcher had never seen the part.
    First,
    /// It was purged since it was last filled.
    Purge,
    /// The cache that had it is gone, fails or started anew.
    HostLost,
    /// No cache of the zone was asked: the answer itself crossed.
    Straight,
    /// An access that runs at the origin.
    Written,
    /// Its fresh time was over.
    Renewal,
    /// An earlier hand-off of the same access may have moved it already.
    Retry,
    /// Nobody waited for it any more.
    Waste,
    /// Seen before, and nothing says why it was not held.
    Unknown,
}

impl Cause {
    pub const ALL: [Cause; 9] = [
        Cause::First,
        Cause::Purge,
        Cause::HostLost,
        Cause::Straight,
        Cause::Written,
        Cause::Renewal,
        Cause::Retry,
        Cause::Waste,
        Cause::Unknown,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Cause::First => "first",
            Cause::Purge => "purge",
            Cause::HostLost => "host_lost",
            Cause::Straight => "straight",
            Cause::Written => "written",
            Cause::Renewal => "renewal",
            Cause::Retry => "retry",
            Cause::Waste => "waste",
            Cause::Unknown => "unknown",
        }
    }

    pub fn by_name(name: &str) -> Option<Cause> {
        Cause::ALL.into_iter().find(|cause| cause.name() == name)
    }
}

/// How far from the clients the source stands: a parent, or the origin behind it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Tier {
    Cache,
    Parent,
    Origin,
}

impl Tier {
    pub fn name(self) -> &'static str {
        match self {
            Tier::Cache => "cache",
            Tier::Parent => "parent",
            Tier::Origin => "origin",
        }
    }
}

/// One line of the account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AccountKey {
    pub from: ZoneId,
    pub to: ZoneId,
    pub tier: Tier,
    pub class: ClassId,
    pub cause: Cause,
}

/// What stands in a line: hand-offs that moved something, and KB of 1,024 bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Total {
    pub moves: u64,
    pub kb: f64,
}

impl Total {
    fn add(&mut self, moves: u64, kb: f64) {
        self.moves += moves;
        self.kb += kb;
    }
}

pub type Totals = BTreeMap<AccountKey, Total>;

/// More lines than this are not opened; what would stand in one is counted as left out.
pub const MAX_KEYS: usize = 4_096;
/// Seconds that are kept one by one.
pub const RETAINED_SECONDS: u64 = 64;

/// What moved, from when to when.
#[derive(Clone, Copy, Debug)]
pub struct Transfer {
    pub key: AccountKey,
    pub kb: f64,
    pub from: Timestamp,
    pub until: Timestamp,
}

#[derive(Debug, Default)]
pub struct Account {
    totals: Totals,
    /// By second of the caller's clock; oldest first, without gaps.
    seconds: VecDeque<Totals>,
    /// The second at the back.
    newest: u64,
    left_out_kb: f64,
}

fn second(at: Timestamp) -> u64 {
    at.0 / 1_000_000
}

impl Account {
    /// Lets time pass. A clock that goes back books into its newest second; one that leaps ahead forgets seconds,
    /// never totals.
    pub fn advance(&mut self, now: Timestamp) {
        let now = second(now);
        if self.seconds.is_empty() || now > self.newest + RETAINED_SECONDS {
            self.seconds.clear();
            self.seconds.push_back(Totals::new());
            self.newest = now;
        }
        while self.newest < now {
            self.newest += 1;
            self.seconds.push_back(Totals::new());
        }
        while self.seconds.len() as u64 > RETAINED_SECONDS {
            self.seconds.pop_front();
        }
    }

    pub fn record(&mut self, now: Timestamp, moved: Transfer) {
        self.advance(now);
        let known = self.totals.contains_key(&moved.key);
        if !known && self.totals.len() >= MAX_KEYS {
            self.left_out_kb += moved.kb;
            return;
        }
        self.totals.entry(moved.key).or_default().add(1, moved.kb);
        let oldest = self.newest + 1 - self.seconds.len() as u64;
        let (from, until) = (moved.from.min(moved.until).min(now), moved.until.min(now));
        let long = until.since(from).as_secs_f64();
        let slots = self.seconds.iter_mut().zip(oldest..);
        let mut left = moved.kb;
        for (sums, slot) in slots {
            let (begins, ends) = (
                Timestamp(slot * 1_000_000),
                Timestamp((slot + 1) * 1_000_000),
            );
            let last = slot >= second(until) || slot == self.newest;
            let part = until.min(ends).since(from.max(begins)).as_secs_f64();
            let kb = match (last, long > 0.0) {
                (true, _) => left,
                (false, true) => moved.kb * part / long,
                (false, false) => 0.0,
            };
            if kb != 0.0 || last {
                sums.entry(moved.key).or_default().add(u64::from(last), kb);
                left -= kb;
            }
            if last {
                break;
            }
        }
    }

    pub fn totals(&self) -> &Totals {
        &self.totals
    }

    /// KB that no line could be opened for.
    pub fn left_out_kb(&self) -> f64 {
        self.left_out_kb
    }

    /// The sums of the last whole seconds before `now`, at most [`RETAINED_SECONDS`] less one.
    pub fn sums_within(&self, now: Timestamp, span: TimeSpan) -> Totals {
        let (until, n) = (second(now), (span.0 / 1_000_000).max(1));
        let mut sums = Totals::new();
        let oldest = self.newest + 1 - (self.seconds.len() as u64).min(self.newest + 1);
        for (slot, part) in (oldest..).zip(&self.seconds) {
            if slot < until && slot + n >= until {
                for (key, sum) in part {
                    sums.entry(*key).or_default().add(sum.moves, sum.kb);
                }
            }
        }
        sums
    }
}
