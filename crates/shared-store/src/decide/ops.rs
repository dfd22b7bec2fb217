//! What is asked of the store and what it answers, in no server's words.

use super::announcements::Announcement;
use super::records::{Completion, Key, Record};
use trailproxy::units::*;

/// A dispatcher, as the others write to it: the same number in all of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MailboxId(pub u64);

/// One operation, as the decisions word it.
#[derive(Clone, Debug, PartialEq)]
pub enum Op {
    /// Names the store's epoch, or begins one with this name where it has none of this server.
    Open {
        proposal: u64,
        /// The epoch that was trusted before, and how many operations of it were seen: one that knows fewer now has
        /// forgotten some, and is another.
        known: (u64, u64),
    },
    Claim {
        key: Key,
        token: u64,
        retention: TimeSpan,
    },
    Sent {
        key: Key,
        token: u64,
        location: (ZoneId, CellId),
        age: TimeSpan,
        retention: TimeSpan,
    },
    Ended {
        key: Key,
        token: u64,
        completion: Completion,
        location: Option<(ZoneId, CellId)>,
        retention: TimeSpan,
    },
    /// Another subsystem's words for one dispatcher, to be had until they are taken or have run out.
    Post {
        to: MailboxId,
        from: MailboxId,
        bytes: Vec<u8>,
        retention: TimeSpan,
    },
    /// All that was posted for this one.
    Fetch { mailbox: MailboxId },
    Announce {
        announcement: Announcement,
        age: TimeSpan,
        merge_within: TimeSpan,
        retention: TimeSpan,
    },
    ReadAnnouncements {
        /// By the server's clock, in milliseconds.
        after: u64,
    },
}

/// What an operation answers.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Opened {
        epoch: u64,
        age: TimeSpan,
    },
    Claimed,
    Found(Record),
    Posted(Vec<(MailboxId, Vec<u8>)>),
    /// What was told, with how long ago it happened.
    Announcements(Vec<(Announcement, TimeSpan)>),
    Applied,
    /// Its time was over: it did nothing and never will.
    TooLate,
    /// The store's epoch is another, or it has none: nothing was done.
    OtherEpoch,
    /// The operator has taken the store out of use.
    Drained,
}

/// An answer with what every one brings: the number of operations of this epoch, and the server's time.
#[derive(Clone, Debug, PartialEq)]
pub struct OpResult {
    pub answer: Answer,
    pub count: u64,
    pub clock_ms: u64,
}
