//! Why a request gets no answer but a refusal or a failure, and when its client had better come back.

use crate::units::TimeSpan;

/// How long a client that was refused stays away, where nothing else says how long.
pub const DEFAULT_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(500);

/// Why nothing more is tried for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum GiveUpReason {
    /// Its deadline has passed.
    DeadlinePassed,
    /// It has had as many attempts as the settings allow.
    AttemptsUsed,
    /// Who was asked does not hold the object, and no fill is possible.
    NotCached,
    /// It runs at the origin alone, and that is shut.
    OriginUnavailable,
    /// No host that is open would answer in time within its budget.
    NoHostInTime,
    /// A rule forbids the attempt that would come next.
    NotPermitted,
    /// As many requests are open as the settings allow.
    TableFull,
}

impl GiveUpReason {
    /// One word for logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            GiveUpReason::DeadlinePassed => "deadline_passed",
            GiveUpReason::AttemptsUsed => "attempts_used",
            GiveUpReason::NotCached => "nobody_holds_it",
            GiveUpReason::OriginUnavailable => "origin_shut",
            GiveUpReason::NoHostInTime => "no_host_in_time",
            GiveUpReason::NotPermitted => "not_permitted",
            GiveUpReason::TableFull => "table_full",
        }
    }
}
