//! Account of the transfers between zones: KB and number by route, tier, class and cause, for each
//! recent second and in total.
//!
//! Bytes are counted when they were transferred: those of a fill are spread evenly over the seconds
//! that it took, as far back as the account reaches. Its memory is bounded by [`MAX_KEYS`].

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use trailproxy::units::{ClassId, TimeSpan, Timestamp, ZoneId};

/// Why bytes crossed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// This dispatcher had never seen the part.
    First,
    /// The part was purged since it was last filled.
    Purge,
    /// The cache that held the part is gone, fails or was restarted.
    HostLost,
    /// No cache of the zone was asked: the answer itself crossed.
    Straight,
    /// A request that runs at the origin.
    Written,
    /// The part was no longer fresh.
    Renewal,
    /// An earlier attempt of the same request may have transferred it already.
    Retry,
    /// No client waited for it any more.
    Waste,
    /// The part was seen before, and its absence has no known reason.
    Unknown,
}

impl Cause {
    /// All causes, in the order of reports.
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

    /// The name in reports.
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

    /// The cause with this name in reports.
    pub fn by_name(name: &str) -> Option<Cause> {
        Cause::ALL.into_iter().find(|cause| cause.name() == name)
    }
}

/// Position of the source in the hierarchy, seen from the clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Tier {
    /// A cache.
    Cache,
    /// A parent.
    Parent,
    /// The origin.
    Origin,
}

impl Tier {
    /// The name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Tier::Cache => "cache",
            Tier::Parent => "parent",
            Tier::Origin => "origin",
        }
    }
}

/// Key of one line of the account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AccountKey {
    /// Zone of the source.
    pub from: ZoneId,
    /// Zone that the bytes go to.
    pub to: ZoneId,
    /// Tier of the source.
    pub tier: Tier,
    /// Class of the requests.
    pub class: ClassId,
    /// Why the bytes crossed.
    pub cause: Cause,
}

/// Sum in one line of the account.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Total {
    /// Number of attempts that transferred anything.
    pub moves: u64,
    /// KB of 1,024 bytes.
    pub kb: f64,
}

impl Total {
    fn add(&mut self, moves: u64, kb: f64) {
        self.moves += moves;
        self.kb += kb;
    }
}

/// Lines of the account.
pub type Totals = BTreeMap<AccountKey, Total>;

/// Limit of lines. What would need a further line is counted in `left_out_kb`.
pub const MAX_KEYS: usize = 4_096;
/// Number of recent seconds that are kept separately.
pub const RETAINED_SECONDS: u64 = 64;

/// One transfer.
#[derive(Clone, Copy, Debug)]
pub struct Transfer {
    /// The line that it belongs to.
    pub key: AccountKey,
    /// Its size.
    pub kb: f64,
    /// When it began.
    pub from: Timestamp,
    /// When it ended.
    pub until: Timestamp,
}

/// The account of one dispatcher.
#[derive(Debug, Default)]
pub struct Account {
    totals: Totals,
    /// Sums by second of the caller's clock; the oldest first, without gaps.
    seconds: VecDeque<Totals>,
    /// The second of the last entry.
    newest: u64,
    left_out_kb: f64,
}

fn second(at: Timestamp) -> u64 {
    at.0 / 1_000_000
}

impl Account {
    /// Lets time pass. When the clock goes back, transfers are counted in the newest second; when
    /// it leaps ahead, seconds are dropped, but never totals.
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

    /// Adds a transfer.
    pub fn record(&mut self, now: Timestamp, transfer: Transfer) {
        self.advance(now);
        let known = self.totals.contains_key(&transfer.key);
        if !known && self.totals.len() >= MAX_KEYS {
            self.left_out_kb += transfer.kb;
            return;
        }
        self.totals
            .entry(transfer.key)
            .or_default()
            .add(1, transfer.kb);
        let oldest = self.newest + 1 - self.seconds.len() as u64;
        let (from, until) = (
            transfer.from.min(transfer.until).min(now),
            transfer.until.min(now),
        );
        let duration_s = until.since(from).as_secs_f64();
        let slots = self.seconds.iter_mut().zip(oldest..);
        let mut left = transfer.kb;
        for (sums, slot) in slots {
            let (begins, ends) = (
                Timestamp(slot * 1_000_000),
                Timestamp((slot + 1) * 1_000_000),
            );
            let last = slot >= second(until) || slot == self.newest;
            let seconds = until.min(ends).since(from.max(begins)).as_secs_f64();
            let kb = match (last, duration_s > 0.0) {
                (true, _) => left,
                (false, true) => transfer.kb * seconds / duration_s,
                (false, false) => 0.0,
            };
            if kb != 0.0 || last {
                sums.entry(transfer.key)
                    .or_default()
                    .add(u64::from(last), kb);
                left -= kb;
            }
            if last {
                break;
            }
        }
    }

    /// The sums since the start.
    pub fn totals(&self) -> &Totals {
        &self.totals
    }

    /// KB that no line was left for.
    pub fn left_out_kb(&self) -> f64 {
        self.left_out_kb
    }

    /// The sums of the last whole seconds before `now`; at most [`RETAINED_SECONDS`] less one.
    pub fn sums_within(&self, now: Timestamp, span: TimeSpan) -> Totals {
        let (until, n) = (second(now), (span.0 / 1_000_000).max(1));
        let mut sums = Totals::new();
        let oldest = self.newest + 1 - (self.seconds.len() as u64).min(self.newest + 1);
        for (slot, seconds) in (oldest..).zip(&self.seconds) {
            if slot < until && slot + n >= until {
                for (key, sum) in seconds {
                    sums.entry(*key).or_default().add(sum.moves, sum.kb);
                }
            }
        }
        sums
    }
}
