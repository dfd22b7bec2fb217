//! What is going to happen, in the order of virtual time.

use crate::layout::Proximity;
use std::cmp::Ordering;
use std::collections::BinaryHeap;
use trailproxy::units::{ObjectId, RequestId, Timestamp};
use trailproxy_peers::decide::messages::Message;

/// One thing that happens at a moment.
#[derive(Clone, Debug)]
pub enum Event {
    Deliver {
        from: usize,
        to: usize,
        /// On the wire.
        bytes: u64,
        message: Message,
    },
    /// A member's timer.
    Wake(usize),
    /// The next keyed request of the fleet arrives.
    NextRequest,
    /// A client comes again with a key that it used before.
    Repeat {
        key: usize,
        member: usize,
        proximity: Proximity,
    },
    /// The upstream answers a request.
    Finish { member: usize, request: RequestId },
    /// The next purge of the fleet is asked for.
    NextPurge,
    /// A member's journal tells a purge that it told before.
    PurgeAgain { member: usize, object: ObjectId },
    /// Needs of the budgets change, and all parts are summed up.
    Budgets,
}

#[derive(Clone, Debug)]
struct Entry {
    at: Timestamp,
    /// Later entries of one moment come later.
    number: u64,
    event: Event,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Entry) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Entry) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    /// The earliest is the greatest, as the heap hands out the greatest first.
    fn cmp(&self, other: &Entry) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// The queue of events.
#[derive(Clone, Debug, Default)]
pub struct EventQueue {
    heap: BinaryHeap<Entry>,
    next: u64,
}

impl EventQueue {
    pub fn push(&mut self, at: Timestamp, event: Event) {
        self.next += 1;
        let number = self.next;
        self.heap.push(Entry { at, number, event });
    }

    /// The next event that happens no later than `until`.
    pub fn pop(&mut self, until: Timestamp) -> Option<(Timestamp, Event)> {
        let due = self.heap.peek().is_some_and(|entry| entry.at <= until);
        let entry = due.then(|| self.heap.pop()).flatten()?;
        Some((entry.at, entry.event))
    }
}
