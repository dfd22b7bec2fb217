//! Counters, and the invariants of the process: a broken invariant panics in debug builds and is counted in release
//! builds. All counters are logged at intervals.

use std::cell::Cell;
use trailproxy::policy::refusals::GiveUpReason;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// Counters since the start of the process. They are logged under the names of the fields.
        #[derive(Default)]
        pub struct Counts { $($(#[$doc])* pub $name: Cell<u64>,)* }

        impl Counts {
            /// All counters that are not zero, as `name=value` pairs.
            pub fn summary(&self) -> String {
                let all = [$((stringify!($name), self.$name.get()),)*];
                let nonzero = all.iter().filter(|(_, n)| *n > 0);
                nonzero.map(|(name, n)| format!("{name}={n}")).collect::<Vec<_>>().join(" ")
            }
        }
    };
}

counters! {
    /// Requests from clients.
    accesses,
    /// Requests that were served, or whose client holds the current copy.
    done,
    /// Requests that were refused.
    rejected,
    /// Requests that failed.
    aborted,
    /// Requests that their clients cancelled, or whose clients went away.
    left,
    /// Attempts handed to the connections of a host.
    hand_offs,
    /// Probes of hosts.
    probes,
    /// Attempts that were cancelled.
    withdrawn,
    /// Attempts that had no answer at their deadline.
    timed_out,
    /// Attempts whose connection was lost.
    lost,
    /// Attempts of which nothing was sent.
    not_sent,
    /// Attempts for which no connection could be made in time.
    no_connection,
    /// Answers to attempts that had been given up.
    late_answers,
    /// Messages of clients that break the protocol or cannot be read.
    bad_clients,
    /// Requests under an id that was open already, or recently.
    ids_again,
    /// Answers of hosts that cannot be read.
    bad_hosts,
    /// Answers from copies older than a purge, which were not passed to a client.
    purged_copies_refused,
    /// Journal entries and listed hosts that cannot be read.
    bad_entries,
    /// Connections to hosts that were dialled.
    dials,
    /// Connections to hosts that this process closed because they were idle.
    lines_idle,
    /// Connections to hosts that the host closed.
    lines_closed,
    /// Connections to hosts that were reset or failed.
    lines_reset,
    /// Requests that were abandoned after a part of them was written to a host.
    partial_requests_abandoned,
    /// Connections to the journal service that were tried.
    journal_calls,
    /// Those of them that were made while another one to the same address was open.
    journal_calls_beside,
    /// New journal entries.
    journal_events,
    /// Journal entries that were received again.
    journal_repeats,
    /// Final answers given more than 50 ms after the deadline.
    late_finals,
    /// Client connections closed because the client read none of its answers.
    clients_stalled,
    /// Client connections closed because they were idle for too long.
    clients_idle,
    /// Client connections closed because no whole message arrived in time.
    clients_unsaid,
    /// Client connections closed to free a slot for a new client.
    places_given_up,
    /// Times that a connection was not closed because answers were on their way to its client.
    closes_postponed,
    /// Times that a new client found no free connection slot and waited.
    places_wanted,
    /// Failed accepts of client connections.
    accepts_failed,
    /// Times that a connection to a host was not read because there was no memory for the answer.
    reading_paused,
    /// Messages of clients that were skipped because there was no memory for them.
    messages_skipped,
    /// Requests given up because their deadline had passed.
    gave_up_deadline_passed,
    /// Requests given up because all their attempts were used.
    gave_up_attempts_used,
    /// Requests given up because no host holds the object.
    gave_up_nobody_holds_it,
    /// Requests given up because the origin is unavailable.
    gave_up_origin_shut,
    /// Requests given up because no host could answer in time.
    gave_up_no_host_in_time,
    /// Requests given up because the rules permit no further attempt.
    gave_up_not_permitted,
    /// Requests refused because too many are open.
    gave_up_table_full,
    /// Requests refused because the memory limit leaves no room for them.
    gave_up_memory_full,
    /// A request got a second final answer. This counter and those below must stay zero.
    broken_two_finals,
    /// An attempt was to start for a request that had its final answer.
    broken_sent_after_end,
    /// The first byte of an attempt was sent although its request had its final answer, its deadline had passed, or its
    /// client had closed for longer than the operators allow.
    broken_began_late,
    /// A time to the deadline was sent that had been computed too long before.
    broken_deadline_passed_on,
    /// This process closed a client connection while it owed an answer.
    broken_closed_owing,
    /// The process ended while clients still waited for answers.
    broken_ended_owing,
    /// An attempt was handed to a host that is not ready.
    broken_sent_to_drained,
    /// Two attempts under one id were open on one connection.
    broken_two_endings,
    /// An attempt named a source that is not in the host list.
    broken_unknown_host,
    /// Two host names have the same id.
    broken_same_host_id,
    /// A journal entry came out of order.
    broken_journal_order,
}

impl Counts {
    /// The counter for a reason to give a request up.
    pub fn given_up(&self, reason: GiveUpReason) -> &Cell<u64> {
        match reason {
            GiveUpReason::DeadlinePassed => &self.gave_up_deadline_passed,
            GiveUpReason::AttemptsUsed => &self.gave_up_attempts_used,
            GiveUpReason::NotCached => &self.gave_up_nobody_holds_it,
            GiveUpReason::OriginUnavailable => &self.gave_up_origin_shut,
            GiveUpReason::NoHostInTime => &self.gave_up_no_host_in_time,
            GiveUpReason::NotPermitted => &self.gave_up_not_permitted,
            GiveUpReason::TableFull => &self.gave_up_table_full,
            GiveUpReason::MemoryFull => &self.gave_up_memory_full,
        }
    }
}

/// Adds one to a counter.
pub fn count(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

/// Checks an invariant: panics in debug builds, counts in release builds.
pub fn check_invariant(holds: bool, counter: &Cell<u64>) {
    debug_assert!(holds, "an invariant does not hold");
    if !holds {
        count(counter);
    }
}
