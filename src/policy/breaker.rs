//! The design's breaker, one for each cache, parent and origin: a sliding window of first-byte latencies, a time open, one
//! trial, then a rising share.

use crate::units::{TimeSpan, Timestamp};
use std::collections::VecDeque;

/// The design's window, in slots of a second.
pub(crate) const WINDOW_SLOTS: u64 = 10;
/// A window of fewer fills says nothing.
pub(crate) const LEAST_FILLS: u32 = 10;
/// How long a host stays open at first. Longer starves a healed host, shorter costs trials.
pub(crate) const OPEN_FOR: TimeSpan = TimeSpan::from_secs(10);
/// A trial's first byte must come within this; the share it leads to, and how soon that doubles.
pub(crate) const TRIAL_WITHIN: TimeSpan = TimeSpan::from_secs(1);
pub(crate) const FIRST_SHARE: f64 = 0.05;
pub(crate) const DOUBLING: TimeSpan = TimeSpan::from_secs(2);
/// Failures in a row open a breaker from this weight on, or leave a crowded host this part of its share:
/// a hard one has 4, one overdue, lost or maybe another's 2, a slow one 1. Lower acts on chance, higher late.
pub(crate) const RUN_ACTS: u32 = 10;
pub(crate) const CROWD_KEEPS: f64 = 0.25;
/// Each bin of a histogram is so many times as wide as the one before.
pub(crate) const BIN: f64 = 1.7;

/// A coarse histogram of microseconds: each bin is `BIN` times as wide as the one before; wider blurs.
#[derive(Default)]
pub(crate) struct Histogram([u32; 32]);

impl Histogram {
    pub(crate) fn add(&mut self, value: f64) {
        let bin = value.max(1.0).log(BIN) as usize;
        self.0[bin.min(31)] += 1;
        if self.0.iter().sum::<u32>() >= 500 {
            self.0.iter_mut().for_each(|n| *n /= 2);
        }
    }

    /// The upper edge of the bin that one in so many lies above; `None` when too little is heard.
    pub(crate) fn above(&self, one_in: u32) -> Option<f64> {
        let total: u32 = self.0.iter().sum();
        let mut left = total - total / one_in;
        for (bin, &n) in self.0.iter().enumerate().filter(|_| total >= 20) {
            if n >= left {
                return Some(BIN.powi(bin as i32 + 1));
            }
            left -= n;
        }
        None
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum Phase {
    #[default]
    Closed,
    Open(Timestamp),
    Trial,
    /// The share, when it doubles next, and whether all went well since it last did.
    Ramp(f64, Timestamp, bool),
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Verdict {
    Good(Option<f64>),
    /// It or another failed.
    Vague,
    /// It has more to do than it can, but is not sick.
    Crowded,
    Bad,
}

/// The outcomes of one second.
#[derive(Default)]
pub(crate) struct Slot {
    second: u64,
    good: u32,
    failed: u32,
}

/// The design's breaker, one for each cache, parent and origin.
#[derive(Default)]
pub(crate) struct Breaker {
    pub(crate) slots: VecDeque<Slot>,
    pub(crate) usual: Histogram,
    pub(crate) pending: Vec<f64>,
    pub(crate) phase: Phase,
    pub(crate) run: u32,
    pub(crate) well: Timestamp,
}

impl Breaker {
    pub(crate) fn counts(&self) -> (u32, u32) {
        let add = |sum: (u32, u32), slot: &Slot| (sum.0 + slot.good, sum.1 + slot.failed);
        self.slots.iter().fold((0, 0), add)
    }

    pub(crate) fn advance(&mut self, now: Timestamp) {
        let second = now.0 / 1_000_000;
        if self.slots.back().is_none_or(|last| last.second != second) {
            let (good, failed) = self.counts();
            let pending = std::mem::take(&mut self.pending);
            if failed * 10 <= good {
                let usual = &mut self.usual;
                pending.into_iter().for_each(|latency| usual.add(latency));
            }
            self.slots.push_back(Slot {
                second,
                ..Slot::default()
            });
        }
        self.slots.retain(|old| old.second + WINDOW_SLOTS > second);
        if let Phase::Ramp(share, step, clean) = &mut self.phase {
            while now >= *step {
                *share *= if *clean { 2.0 } else { 1.0 };
                (*step, *clean) = (*step + DOUBLING, true);
            }
            if *share >= 1.0 {
                self.phase = Phase::Closed;
            }
        }
    }

    pub(crate) fn share(&self) -> f64 {
        match self.phase {
            Phase::Closed => 1.0,
            Phase::Ramp(share, ..) => share,
            Phase::Open(_) | Phase::Trial => 0.0,
        }
    }

    pub(crate) fn wants_trial(&self, now: Timestamp) -> bool {
        matches!(self.phase, Phase::Open(until) if now >= until)
    }

    /// Counts an outcome: 0 is a good one, else how much it weighs in a run of failures.
    pub(crate) fn judge(&mut self, now: Timestamp, weighs: u32, crowded: bool) {
        self.advance(now);
        let bad = weighs > 0;
        self.run = if bad { self.run + weighs } else { 0 };
        self.well = if bad { self.well } else { now };
        if let Some(slot) = self.slots.back_mut() {
            slot.good += u32::from(!bad);
            slot.failed += u32::from(bad);
        }
        let (good, failed) = self.counts();
        let failing = good + failed >= LEAST_FILLS && failed > good;
        let cut = (self.share() * CROWD_KEEPS).max(FIRST_SHARE);
        if self.run >= RUN_ACTS || failing {
            // A crowd is thinned out: without any, the next host would be crowded.
            let thinned = Phase::Ramp(cut, now + DOUBLING, true);
            let open = Phase::Open(now + OPEN_FOR);
            self.turn(now, if crowded { thinned } else { open });
        } else if let Phase::Ramp(.., clean) = &mut self.phase {
            *clean &= self.run * 2 < RUN_ACTS;
        }
    }

    pub(crate) fn turn(&mut self, now: Timestamp, phase: Phase) {
        (self.phase, self.run, self.well) = (phase, 0, now);
        self.slots.clear();
    }
}
