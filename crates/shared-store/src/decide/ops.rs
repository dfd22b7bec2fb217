//! Operations of the store and their results, independent of the protocol of a server.

use super::announcements::Announcement;
use super::records::{Completion, Key, Record};
use trailproxy::units::*;

/// Mailbox of one dispatcher, under the same number for all dispatchers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MailboxId(pub u64);

/// One operation.
#[derive(Clone, Debug, PartialEq)]
pub enum Op {
    /// Reads the epoch of the store, or starts one under the proposed number where the store has
    /// none of this server.
    Open {
        proposal: u64,
        /// The epoch that was trusted before, and the number of its operations that were seen. A
        /// store that counted fewer has lost some, and starts a new epoch.
        known: (u64, u64),
    },
    /// Claims an idempotency key, unless another dispatcher has it.
    Claim {
        key: Key,
        token: u64,
        retention: TimeSpan,
    },
    /// Records the location of the first attempt.
    Sent {
        key: Key,
        token: u64,
        location: (ZoneId, CellId),
        age: TimeSpan,
        retention: TimeSpan,
    },
    /// Records how the request ended.
    Ended {
        key: Key,
        token: u64,
        completion: Completion,
        location: Option<(ZoneId, CellId)>,
        retention: TimeSpan,
    },
    /// Posts a message of another subsystem to one dispatcher. It is kept until it is read or
    /// expires.
    Post {
        to: MailboxId,
        from: MailboxId,
        bytes: Vec<u8>,
        retention: TimeSpan,
    },
    /// Reads and removes all messages in a mailbox.
    Fetch { mailbox: MailboxId },
    /// Announces an event to all dispatchers. An event that is known with a time less than
    /// `merge_within` apart is not announced again.
    Announce {
        announcement: Announcement,
        age: TimeSpan,
        merge_within: TimeSpan,
        retention: TimeSpan,
    },
    /// Reads the announcements made after a time.
    ReadAnnouncements {
        /// By the server's clock, in milliseconds.
        after: u64,
    },
}

/// The answer to an operation.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The epoch of the store and its age.
    Opened { epoch: u64, age: TimeSpan },
    /// The key is claimed for this request.
    Claimed,
    /// Another dispatcher has the key.
    Found(Record),
    /// Messages from a mailbox, with their senders.
    Posted(Vec<(MailboxId, Vec<u8>)>),
    /// Announcements, with the age of each event.
    Announcements(Vec<(Announcement, TimeSpan)>),
    /// The operation was applied.
    Applied,
    /// The operation arrived too late: nothing was done, and nothing will be.
    TooLate,
    /// The store has another epoch or none: nothing was done.
    OtherEpoch,
    /// The operator has taken the store out of use.
    Drained,
}

/// An answer with what every reply carries: the number of operations in this epoch and the server's
/// time.
#[derive(Clone, Debug, PartialEq)]
pub struct OpResult {
    pub answer: Answer,
    pub count: u64,
    pub clock_ms: u64,
}
