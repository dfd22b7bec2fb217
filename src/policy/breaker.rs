//! The circuit breaker that each cache, parent and origin has: it opens by a sliding window of outcomes, stays open for
//! a time, admits one trial, and then a share of the requests that doubles until it is closed.

use crate::units::{TimeSpan, Timestamp};
use std::collections::VecDeque;

/// Length of the sliding window, in slots of one second.
pub(crate) const WINDOW_SECONDS: u64 = 10;
/// The window is only judged if it has at least this many outcomes.
pub(crate) const MIN_WINDOW_OUTCOMES: u32 = 10;
/// How long a breaker stays open before a trial. Longer starves a recovered host, shorter costs more trials.
pub(crate) const OPEN_DURATION: TimeSpan = TimeSpan::from_secs(10);
/// The first byte of a trial must arrive within this time.
pub(crate) const TRIAL_TIMEOUT: TimeSpan = TimeSpan::from_secs(1);
/// The share of requests that is admitted after a successful trial.
pub(crate) const INITIAL_SHARE: f64 = 0.05;
/// Time between two doublings of that share.
pub(crate) const SHARE_DOUBLING_INTERVAL: TimeSpan = TimeSpan::from_secs(2);
/// Consecutive failures whose weights add up to this open a breaker, or reduce the share of an overloaded host. A
/// certain failure weighs 4; one that is overdue, lost or possibly another host's weighs 2; a slow answer 1. Lower
/// reacts to chance, higher reacts late.
pub(crate) const FAILURE_WEIGHT_LIMIT: u32 = 10;
/// Factor by which the share of an overloaded host is reduced.
pub(crate) const OVERLOAD_SHARE_FACTOR: f64 = 0.25;
/// Ratio of the widths of two adjacent histogram bins.
pub(crate) const BIN_RATIO: f64 = 1.7;

/// A coarse histogram of values in microseconds: each bin is `BIN_RATIO` times as wide as the one before. Wider bins
/// would be less precise.
#[derive(Default)]
pub(crate) struct Histogram([u32; 32]);

impl Histogram {
    pub(crate) fn add(&mut self, value: f64) {
        let bin = value.max(1.0).log(BIN_RATIO) as usize;
        self.0[bin.min(31)] += 1;
        if self.0.iter().sum::<u32>() >= 500 {
            self.0.iter_mut().for_each(|n| *n /= 2);
        }
    }

    /// The upper edge of the bin above which one in `one_in` values lies; `None` with fewer than 20 values.
    pub(crate) fn quantile_above(&self, one_in: u32) -> Option<f64> {
        let total: u32 = self.0.iter().sum();
        let mut remaining = total - total / one_in;
        for (bin, &n) in self.0.iter().enumerate().filter(|_| total >= 20) {
            if n >= remaining {
                return Some(BIN_RATIO.powi(bin as i32 + 1));
            }
            remaining -= n;
        }
        None
    }
}

/// The state of a breaker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum BreakerState {
    /// All requests are admitted.
    #[default]
    Closed,
    /// None is admitted before this time; then one trial is.
    Open(Timestamp),
    /// A trial is in flight; no other request is admitted.
    Trial,
    /// The admitted share, the time of its next doubling, and whether no failures forbid that doubling.
    Ramp(f64, Timestamp, bool),
}

/// What an outcome says about a host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Assessment {
    /// It answered well, with this first-byte latency where it is known.
    Good(Option<f64>),
    /// Either this host or another one failed.
    Ambiguous,
    /// It is overloaded, but otherwise healthy.
    Overloaded,
    /// It failed.
    Failed,
}

/// The number of outcomes in one second.
#[derive(Default)]
pub(crate) struct WindowSlot {
    second: u64,
    good: u32,
    failed: u32,
}

/// The breaker of one host.
#[derive(Default)]
pub(crate) struct Breaker {
    /// The sliding window, oldest slot first.
    pub(crate) slots: VecDeque<WindowSlot>,
    /// The usual first-byte latencies of the host.
    pub(crate) usual_latencies: Histogram,
    /// Latencies of the current second; they become usual unless too many outcomes in the window failed.
    pub(crate) pending_latencies: Vec<f64>,
    pub(crate) state: BreakerState,
    /// Sum of the weights of consecutive failures.
    pub(crate) failure_weight: u32,
    /// Time of the last good outcome or change of state.
    pub(crate) last_good_at: Timestamp,
}

impl Breaker {
    /// The numbers of good and failed outcomes in the window.
    pub(crate) fn window_counts(&self) -> (u32, u32) {
        let add = |sum: (u32, u32), slot: &WindowSlot| (sum.0 + slot.good, sum.1 + slot.failed);
        self.slots.iter().fold((0, 0), add)
    }

    /// Moves the window and the ramp on to `now`.
    pub(crate) fn advance(&mut self, now: Timestamp) {
        let second = now.0 / 1_000_000;
        if self.slots.back().is_none_or(|last| last.second != second) {
            let (good, failed) = self.window_counts();
            let pending = std::mem::take(&mut self.pending_latencies);
            if failed * 10 <= good {
                let usual = &mut self.usual_latencies;
                pending.into_iter().for_each(|latency| usual.add(latency));
            }
            self.slots.push_back(WindowSlot {
                second,
                ..WindowSlot::default()
            });
        }
        self.slots
            .retain(|slot| slot.second + WINDOW_SECONDS > second);
        if let BreakerState::Ramp(share, doubles_at, may_double) = &mut self.state {
            while now >= *doubles_at {
                *share *= if *may_double { 2.0 } else { 1.0 };
                (*doubles_at, *may_double) = (*doubles_at + SHARE_DOUBLING_INTERVAL, true);
            }
            if *share >= 1.0 {
                self.state = BreakerState::Closed;
            }
        }
    }

    /// The share of requests that is admitted.
    pub(crate) fn admitted_share(&self) -> f64 {
        match self.state {
            BreakerState::Closed => 1.0,
            BreakerState::Ramp(share, ..) => share,
            BreakerState::Open(_) | BreakerState::Trial => 0.0,
        }
    }

    /// Whether the next request may be the trial.
    pub(crate) fn wants_trial(&self, now: Timestamp) -> bool {
        matches!(self.state, BreakerState::Open(until) if now >= until)
    }

    /// Counts an outcome: a good one if `weight` is 0, otherwise a failure of that weight. `overloaded`: if this trips
    /// the breaker, the share is reduced instead of set to 0.
    pub(crate) fn record(&mut self, now: Timestamp, weight: u32, overloaded: bool) {
        self.advance(now);
        let is_failure = weight > 0;
        self.failure_weight = if is_failure {
            self.failure_weight + weight
        } else {
            0
        };
        self.last_good_at = if is_failure { self.last_good_at } else { now };
        if let Some(slot) = self.slots.back_mut() {
            slot.good += u32::from(!is_failure);
            slot.failed += u32::from(is_failure);
        }
        let (good, failed) = self.window_counts();
        let mostly_failing = good + failed >= MIN_WINDOW_OUTCOMES && failed > good;
        let reduced_share = (self.admitted_share() * OVERLOAD_SHARE_FACTOR).max(INITIAL_SHARE);
        if self.failure_weight >= FAILURE_WEIGHT_LIMIT || mostly_failing {
            // An overloaded host keeps a part of its requests: if all moved on, they would overload the next host.
            let reduced = BreakerState::Ramp(reduced_share, now + SHARE_DOUBLING_INTERVAL, true);
            let open = BreakerState::Open(now + OPEN_DURATION);
            self.enter(now, if overloaded { reduced } else { open });
        } else if let BreakerState::Ramp(.., may_double) = &mut self.state {
            *may_double &= self.failure_weight * 2 < FAILURE_WEIGHT_LIMIT;
        }
    }

    /// Enters a state with an empty window.
    pub(crate) fn enter(&mut self, now: Timestamp, state: BreakerState) {
        (self.state, self.failure_weight, self.last_good_at) = (state, 0, now);
        self.slots.clear();
    }
}
