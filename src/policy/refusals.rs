//! Why a request is refused or failed, and when a refused client should retry.

use crate::units::TimeSpan;

/// When a refused client should retry, if nothing else determines it.
pub const DEFAULT_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(500);

/// Why no further attempt is made for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum GiveUpReason {
    /// Its deadline has passed.
    DeadlinePassed,
    /// It has had as many attempts as the settings allow.
    AttemptsUsed,
    /// The hosts that were asked don't hold the object, and no fill is possible.
    NotCached,
    /// It can only run at the origin, and the breaker of the origin excludes it.
    OriginUnavailable,
    /// No admitted host would answer in time within its slow-start budget.
    NoHostInTime,
    /// A rule forbids the next attempt.
    NotPermitted,
    /// As many requests are pending as the settings allow.
    TableFull,
    /// The memory limit leaves no room for the request.
    MemoryFull,
}

impl GiveUpReason {
    /// The name of the reason in logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            GiveUpReason::DeadlinePassed => "deadline_passed",
            GiveUpReason::AttemptsUsed => "attempts_used",
            GiveUpReason::NotCached => "nobody_holds_it",
            GiveUpReason::OriginUnavailable => "origin_shut",
            GiveUpReason::NoHostInTime => "no_host_in_time",
            GiveUpReason::NotPermitted => "not_permitted",
            GiveUpReason::TableFull => "table_full",
            GiveUpReason::MemoryFull => "memory_full",
        }
    }
}
