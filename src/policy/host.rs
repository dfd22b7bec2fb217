//! What a dispatcher knows of one host: its breaker, its load, its slow-start capacity, and the budget of work that
//! this dispatcher may still send it during slow start.

use super::breaker::{Breaker, BreakerState};
use crate::interface::{HostEntry, HostState, SlowStart};
use crate::units::{TimeSpan, Timestamp};

/// The share of a cold host's overload limit that all dispatchers together use. Higher risks overloading the host,
/// lower takes longer to load it fully.
pub(crate) const SLOW_START_USE: f64 = 0.4;
/// Maximum budget of a dispatcher for a cold host, as a multiple of its share of one overload window. Higher risks
/// overload when many dispatchers send at once, lower leaves capacity unused.
pub(crate) const MAX_SAVED_BUDGET: f64 = 1.5;
/// Half-life of averages over time.
pub(crate) const AVERAGE_HALF_LIFE: TimeSpan = TimeSpan::from_secs(2);
/// Up to this reported utilization a host sends hits at full rate.
pub(crate) const FULL_RATE_UTILIZATION: f64 = 0.6;
/// From this reported utilization on, the estimated queueing at a host counts in full.
pub(crate) const SATURATED_UTILIZATION: f64 = 0.95;
/// The part of the estimated queueing that counts at a host that reports free capacity.
pub(crate) const MIN_QUEUEING_WEIGHT: f64 = 0.4;

/// The role of a host in answering requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    /// It answers clients from its copies.
    Cache,
    /// It fills caches.
    Parent,
    /// It is the source of all objects.
    Origin,
}

/// A current amount and its average over time, with half-life `AVERAGE_HALF_LIFE`.
#[derive(Default)]
pub(crate) struct AveragedLevel {
    pub(crate) current: f64,
    pub(crate) average: f64,
    updated_at: Timestamp,
}

impl AveragedLevel {
    /// Brings the average up to `now`, then changes the current amount.
    pub(crate) fn add(&mut self, now: Timestamp, change: f64) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        let decay = 0.5f64.powf(elapsed / AVERAGE_HALF_LIFE.as_secs_f64());
        self.average = self.current + (self.average - self.current) * decay;
        self.current = (self.current + change).max(0.0);
        self.updated_at = now;
    }
}

/// A host of the list, with what this dispatcher has observed of it.
pub(crate) struct Host {
    pub(crate) entry: HostEntry,
    pub(crate) role: Role,
    pub(crate) slow_start: SlowStart,
    /// Number of dispatchers that use this host.
    pub(crate) dispatchers: f64,
    pub(crate) breaker: Breaker,
    /// When the host last answered.
    pub(crate) last_seen_at: Timestamp,
    /// Smoothed ratio of the elapsed to the predicted time of hits here, and when it was updated.
    pub(crate) slowness: (f64, Timestamp),
    /// Number of this dispatcher's attempts in flight here.
    pub(crate) in_flight: u32,
    /// Number of answers that the host sends at full rate at once, as reported or else as estimated.
    pub(crate) capacity: f64,
    /// The utilization that the host last reported, and when.
    pub(crate) utilization: Option<(f64, Timestamp)>,
    /// What the host has sent for this dispatcher since that report, in seconds of sending at full rate.
    pub(crate) sent_seconds: f64,
    /// When the host last left the list.
    pub(crate) left_list_at: Timestamp,
    /// This dispatcher's remaining slow-start budget for the host, as a multiple of its share of one overload window,
    /// and when it was updated. A negative budget is overdrawn.
    pub(crate) slow_start_budget: (f64, Timestamp),
}

impl Host {
    /// Whether the host may be given new requests.
    pub(crate) fn is_ready(&self) -> bool {
        self.entry.state == HostState::Ready
    }

    /// Takes over the state of the host from a host list.
    pub(crate) fn set_state(&mut self, now: Timestamp, state: HostState) {
        let leaves_list = state == HostState::Gone && self.entry.state != HostState::Gone;
        self.left_list_at = if leaves_list { now } else { self.left_list_at };
        self.entry.state = state;
    }

    /// Whether the breaker admits no requests, apart from a trial.
    pub(crate) fn is_unhealthy(&self) -> bool {
        matches!(
            self.breaker.state,
            BreakerState::Open(_) | BreakerState::Trial
        )
    }

    /// The part of the estimated queueing here that counts: less if the host last reported free capacity, because
    /// requests that wait for fills send nothing yet.
    pub(crate) fn queueing_weight(&self) -> f64 {
        let weight = |utilization: f64| {
            (utilization - FULL_RATE_UTILIZATION) / (SATURATED_UTILIZATION - FULL_RATE_UTILIZATION)
        };
        (self.utilization).map_or(1.0, |(utilization, _)| {
            weight(utilization).clamp(MIN_QUEUEING_WEIGHT, 1.0)
        })
    }

    /// How many times longer than predicted hits here take, at least 1; old observations decay.
    pub(crate) fn slowness(&self, now: Timestamp) -> f64 {
        let half_lives = now.since(self.slowness.1).as_secs_f64() / AVERAGE_HALF_LIFE.as_secs_f64();
        1.0 + (self.slowness.0 - 1.0).max(0.0) * 0.5f64.powf(half_lives)
    }

    /// The share of its full capacity that the host is certain to have now.
    pub(crate) fn slow_start_capacity(&self, now: Timestamp) -> f64 {
        let duration = self.slow_start.duration.as_secs_f64().max(0.001);
        let progress = |started| now.since(started).as_secs_f64() / duration;
        self.slow_start.initial_capacity
            + (1.0 - self.slow_start.initial_capacity)
                * self.entry.started.map_or(1.0, progress).min(1.0)
    }

    /// Work as a fraction of what rule 4 lets this dispatcher send during one overload window of slow start.
    pub(crate) fn budget_cost(&self, now: Timestamp, work: f64) -> f64 {
        let limit = self.slow_start.overload_factor * self.slow_start.overload_window.as_secs_f64();
        work * self.shared_by()
            / (limit * SLOW_START_USE * self.slow_start_capacity(now) * self.capacity)
    }

    /// The number of dispatchers among which the load that the host can bear is divided.
    pub(crate) fn shared_by(&self) -> f64 {
        self.slow_start.shared_by.unwrap_or(self.dispatchers)
    }

    /// The slow-start budget at `now`, refilled by one share per overload window. A dispatcher whose budget exceeds the
    /// maximum loses one share, or the work of one whole mean request where that is more, as often as needed: the next
    /// turn to send is then another dispatcher's.
    pub(crate) fn refilled_budget(&self, now: Timestamp, mean_work: f64) -> f64 {
        let window = self.slow_start.overload_window.as_secs_f64().max(0.001);
        let excess = self.slow_start_budget.0
            + now.since(self.slow_start_budget.1).as_secs_f64() / window
            - MAX_SAVED_BUDGET;
        let turn = self.budget_cost(now, mean_work).max(1.0);
        MAX_SAVED_BUDGET + excess - turn * (excess / turn).ceil().max(0.0)
    }
}
