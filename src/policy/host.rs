//! What is known of one host: its breaker, how crowded and how warm it is, and what it may still be given while it is cold.

use super::breaker::{Breaker, Phase};
use crate::interface::{HostEntry, HostState, SlowStart};
use crate::units::{TimeSpan, Timestamp};

/// Part of a cold host's told limit that all use together. Higher risks it, lower warms it later.
pub(crate) const COLD_USE: f64 = 0.4;
pub(crate) const SAVED: f64 = 1.5; // such parts that are saved up: higher risks it in a crowd, lower leaves them unused
/// How soon averages over time are half forgotten.
pub(crate) const HALVES: TimeSpan = TimeSpan::from_secs(2);
/// Up to AT_EASE hits come at full pace; a reckoned crowd counts in part.
pub(crate) const AT_EASE: f64 = 0.6;
pub(crate) const ALL_IN_USE: f64 = 0.95;
pub(crate) const FREE_COUNTS: f64 = 0.4;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    Cache,
    Parent,
    Origin,
}

/// How much of something is out now, and how much usually was lately.
#[derive(Default)]
pub(crate) struct Level {
    pub(crate) now: f64,
    pub(crate) usual: f64,
    reckoned_at: Timestamp,
}

impl Level {
    pub(crate) fn add(&mut self, now: Timestamp, change: f64) {
        let passed = now.since(self.reckoned_at).as_secs_f64();
        let kept = 0.5f64.powf(passed / HALVES.as_secs_f64());
        self.usual = self.now + (self.usual - self.now) * kept;
        self.now = (self.now + change).max(0.0);
        self.reckoned_at = now;
    }
}

pub(crate) struct Host {
    pub(crate) entry: HostEntry,
    pub(crate) role: Role,
    pub(crate) cold: SlowStart,
    pub(crate) dispatchers: f64,
    pub(crate) breaker: Breaker,
    pub(crate) heard: Timestamp,
    /// How many times longer than predicted hits here took lately, and when that was last told.
    pub(crate) slowness: (f64, Timestamp),
    pub(crate) out: u32,
    pub(crate) size: f64, // how many answers it can send at full pace, as told or else as learnt
    /// How busy it last said it was, when, and what it has sent for this dispatcher since, in seconds.
    pub(crate) busy: Option<(f64, Timestamp)>,
    pub(crate) done: f64,
    pub(crate) left: Timestamp, // when it last left the list
    /// What is left of what it may be given while it is cold, and when that was reckoned.
    pub(crate) allowance: (f64, Timestamp),
}

impl Host {
    pub(crate) fn ready(&self) -> bool {
        self.entry.state == HostState::Ready
    }

    pub(crate) fn list_as(&mut self, now: Timestamp, state: HostState) {
        let leaves = state == HostState::Gone && self.entry.state != HostState::Gone;
        self.left = if leaves { now } else { self.left };
        self.entry.state = state;
    }

    pub(crate) fn sick(&self) -> bool {
        matches!(self.breaker.phase, Phase::Open(_) | Phase::Trial)
    }

    /// How far a crowd that is reckoned there slows its answers: less where it last said that much is free,
    /// because what waits for fills sends nothing yet.
    pub(crate) fn crowd_told(&self) -> f64 {
        let crowd = |busy: f64| (busy - AT_EASE) / (ALL_IN_USE - AT_EASE);
        (self.busy).map_or(1.0, |(busy, _)| crowd(busy).clamp(FREE_COUNTS, 1.0))
    }

    pub(crate) fn slowness(&self, now: Timestamp) -> f64 {
        let halvings = now.since(self.slowness.1).as_secs_f64() / HALVES.as_secs_f64();
        1.0 + (self.slowness.0 - 1.0).max(0.0) * 0.5f64.powf(halvings)
    }

    /// The part of its capacity that it can surely give now.
    pub(crate) fn warmth(&self, now: Timestamp) -> f64 {
        let warm_after = self.cold.duration.as_secs_f64().max(0.001);
        let risen = |at| now.since(at).as_secs_f64() / warm_after;
        self.cold.initial_capacity
            + (1.0 - self.cold.initial_capacity) * self.entry.started.map_or(1.0, risen).min(1.0)
    }

    /// Work as a part of what this dispatcher may give it within the span of rule 4 while it is cold.
    pub(crate) fn cost(&self, now: Timestamp, work: f64) -> f64 {
        let told = self.cold.overload_factor * self.cold.overload_window.as_secs_f64();
        work * self.among() / (told * COLD_USE * self.warmth(now) * self.size)
    }

    pub(crate) fn among(&self) -> f64 {
        self.cold.shared_by.unwrap_or(self.dispatchers)
    }

    /// Where parts are less than a call of mean work, who does not use its turn has let it pass to another.
    pub(crate) fn allowance(&self, now: Timestamp, mean: f64) -> f64 {
        let span = self.cold.overload_window.as_secs_f64().max(0.001);
        let saved = self.allowance.0 + now.since(self.allowance.1).as_secs_f64() / span - SAVED;
        let turn = self.cost(now, mean).max(1.0);
        SAVED + saved - turn * (saved / turn).ceil().max(0.0)
    }
}
