//! What must hold: asserted in debug builds, counted in release builds. Subsystems it, all that is counted
//! and logged now and then.

use std::cell::Cell;
use trailproxy::policy::refusals::GiveUpReason;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// What is counted since the start.
        #[derive(Default)]
        pub struct Counts { $($(#[$doc])* pub $name: Cell<u64>,)* }

        impl Counts {
            /// Every counter that is not zero, as `name=value` words.
            pub fn words(&self) -> String {
                let all = [$((stringify!($name), self.$name.get()),)*];
                let told = all.iter().filter(|(_, n)| *n > 0);
                told.map(|(name, n)| format!("{name}={n}")).collect::<Vec<_>>().join(" ")
            }
        }
    };
}

counters! {
    accesses,
    done,
    rejected,
    aborted,
    left,
    hand_offs,
    probes,
    withdrawn,
    timed_out,
    lost,
    not_sent,
    no_connection,
    late_answers,
    bad_clients,
    /// Requests under an id that was open already, or lately.
    ids_again,
    bad_hosts,
    /// Answers that hosts gave from before a purge, which no client was given.
    purged_copies_refused,
    bad_entries,
    dials,
    /// Connections to hosts that were closed as idle here, closed there, and reset.
    lines_idle,
    lines_closed,
    lines_reset,
    journal_calls,
    journal_events,
    journal_repeats,
    late_finals,
    clients_stalled,
    /// Client connections closed: idle for good, without a whole message in time, to make room.
    clients_idle,
    clients_unsaid,
    places_given_up,
    /// A newcomer found no place and waited.
    places_wanted,
    accepts_failed,
    reading_paused,
    /// Requests that the decisions gave up, by reason.
    gave_up_deadline_passed,
    gave_up_attempts_used,
    gave_up_nobody_holds_it,
    gave_up_origin_shut,
    gave_up_no_host_in_time,
    gave_up_not_permitted,
    gave_up_table_full,
    /// From here on: what must stay zero.
    broken_two_finals,
    broken_sent_after_end,
    /// An attempt whose first byte went out though its request was over, its deadline had passed, or its client had
    /// closed for longer than the operators allow.
    broken_began_late,
    /// A deadline went out that was written long before.
    broken_deadline_passed_on,
    /// A client's connection was closed from this side with an answer owed.
    broken_closed_owing,
    /// The process ended with requests open whose clients still waited.
    broken_ended_owing,
    broken_sent_to_drained,
    broken_two_endings,
    broken_unknown_host,
    broken_same_host_id,
    broken_journal_order,
}

impl Counts {
    /// The counter of a reason for giving a request up.
    pub fn given_up(&self, why: GiveUpReason) -> &Cell<u64> {
        match why {
            GiveUpReason::DeadlinePassed => &self.gave_up_deadline_passed,
            GiveUpReason::AttemptsUsed => &self.gave_up_attempts_used,
            GiveUpReason::NotCached => &self.gave_up_nobody_holds_it,
            GiveUpReason::OriginUnavailable => &self.gave_up_origin_shut,
            GiveUpReason::NoHostInTime => &self.gave_up_no_host_in_time,
            GiveUpReason::NotPermitted => &self.gave_up_not_permitted,
            GiveUpReason::TableFull => &self.gave_up_table_full,
        }
    }
}

pub fn count(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

/// Asserts in debug builds, counts in release builds.
pub fn must(holds: bool, counter: &Cell<u64>) {
    debug_assert!(holds, "a thing that must hold does not");
    if !holds {
        count(counter);
    }
}
