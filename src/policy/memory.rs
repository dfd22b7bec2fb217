//! How much of the memory limit requests and answers may use.
//!
//! The process is killed above its limit, so every body and every buffer that grows is counted, and more is used only
//! where these rules allow it. A request without room is refused before it has run; an answer without room waits in
//! the connection of its host.

use crate::units::TimeSpan;

/// What one pending request uses besides its body, in bytes.
pub const REQUEST_OVERHEAD_BYTES: usize = 2 * 1024;

/// Free memory is returned to the system at most this often, because that walks the whole heap, unless much was freed.
const RELEASE_INTERVAL: TimeSpan = TimeSpan::from_millis(50);

/// What one connection to a client or a host uses besides its buffers, in bytes.
pub const CONNECTION_BYTES: usize = 4 * 1024;

/// Left free for what is not counted and changes quickly, such as queued log lines and copies that are being made.
const HEADROOM_BYTES: usize = 2 * 1024 * 1024;
/// The share of the limit that requests and answers may use even if the rest of the process leaves less.
const MIN_AVAILABLE_DIVISOR: usize = 4;
/// The share of the available memory that requests leave to answers. Without it, requests could not end.
const ANSWERS_RESERVE_DIVISOR: usize = 8;
/// Answers use at most this share of the available memory, so that slow clients do not keep out new requests.
const MAX_ANSWERS_DIVISOR: usize = 2;
/// Incomplete messages use at most this share of the available memory while some of them are old.
const MAX_INCOMPLETE_DIVISOR: usize = 2;
/// A message that has been incomplete for this long may be skipped. Ordinary clients have sent theirs by then.
const MIN_SKIP_AGE: TimeSpan = TimeSpan::from_millis(100);
/// The resident memory is read again after this time, because what is not counted may have changed.
const MAX_READING_AGE: TimeSpan = TimeSpan::from_millis(10);
/// The resident memory is read again when this share of the limit was counted anew, and free memory is returned to the
/// system again when the overhead has grown by it.
const READING_DIVISOR: usize = 32;

/// The ids of ended requests that may have had an effect use at most this share of the limit.
const RETIRED_IDS_DIVISOR: usize = 8;
/// What the id of an ended request uses, in bytes.
const RETIRED_ID_BYTES: usize = 16;

/// Whether a request with an effect may be accepted while this many ids of earlier ones are kept. They can't be freed
/// early: under the same id, a request would run twice.
pub fn may_keep_id(limit: usize, kept: usize) -> bool {
    kept < limit / RETIRED_IDS_DIVISOR / RETIRED_ID_BYTES
}

/// The memory of the process, in bytes.
#[derive(Clone, Copy, Debug)]
pub struct MemoryFacts {
    /// Above this, the process is killed.
    pub limit: usize,
    /// What the process uses besides the counted memory.
    pub overhead: usize,
    /// Counted for connections, without their buffers.
    pub connections: usize,
    /// Counted for requests and for messages of clients that are not complete.
    pub requests: usize,
    /// Counted for answers, complete or not.
    pub answers: usize,
}

impl MemoryFacts {
    /// What requests and answers may use together.
    fn available(&self) -> usize {
        // This much may be added before the overhead is known again.
        let reading_step = self.limit / READING_DIVISOR;
        self.limit
            .saturating_sub(self.overhead + self.connections + reading_step + HEADROOM_BYTES)
            .max(self.limit / MIN_AVAILABLE_DIVISOR)
    }
}

/// Whether this many more bytes fit into the available memory. If not, free memory is to be returned to the system first:
/// answers may use their reserve even if the overhead has grown since requests were admitted.
pub fn fits(facts: &MemoryFacts, bytes: usize) -> bool {
    facts.requests + facts.answers + bytes <= facts.available()
}

/// Whether free memory may be returned to the system, this long after the last time, since when the overhead has grown by
/// this many bytes.
pub fn may_release(limit: usize, age: TimeSpan, grown: usize) -> bool {
    age >= RELEASE_INTERVAL || grown >= limit / READING_DIVISOR
}

/// Whether requests may use this many more bytes.
///
/// ```
/// use trailproxy::policy::memory::{MemoryFacts, may_hold_request};
/// let facts = MemoryFacts {
///     limit: 32 << 20,
///     overhead: 6 << 20,
///     connections: 1 << 20,
///     requests: 18 << 20,
///     answers: 0,
/// };
/// assert!(may_hold_request(&facts, 50_000));
/// assert!(!may_hold_request(&facts, 2 << 20));
/// ```
pub fn may_hold_request(facts: &MemoryFacts, bytes: usize) -> bool {
    let available = facts.available();
    let left_to_answers = facts.answers.max(available / ANSWERS_RESERVE_DIVISOR);
    facts.requests + bytes + left_to_answers <= available
}

/// Whether the oldest of the incomplete messages, which hold this many bytes, is to be skipped. Without that, clients that
/// never complete their messages would keep out all others.
///
/// ```
/// use trailproxy::policy::memory::{MemoryFacts, must_skip_message};
/// let facts = MemoryFacts {
///     limit: 32 << 20,
///     overhead: 6 << 20,
///     connections: 1 << 20,
///     requests: 18 << 20,
///     answers: 0,
/// };
/// assert!(must_skip_message(&facts, 16 << 20));
/// assert!(!must_skip_message(&facts, 8 << 20));
/// ```
pub fn must_skip_message(facts: &MemoryFacts, incomplete: usize) -> bool {
    incomplete > facts.available() / MAX_INCOMPLETE_DIVISOR
}

/// How many incomplete messages are skipped at once: more where something had no room, because what it is followed by needs
/// the memory before the next check.
pub fn messages_to_skip(had_room: bool) -> usize {
    if had_room { 1 } else { 8 }
}

/// Whether a message that has been incomplete for this long may be skipped.
pub fn may_skip_message(age: TimeSpan) -> bool {
    age >= MIN_SKIP_AGE
}

/// Whether answers may use this many more bytes.
pub fn may_hold_answer(facts: &MemoryFacts, bytes: usize) -> bool {
    let available = facts.available();
    let reserve = available / ANSWERS_RESERVE_DIVISOR;
    let left_by_requests = available.saturating_sub(facts.requests).max(reserve);
    facts.answers + bytes <= left_by_requests.min(available / MAX_ANSWERS_DIVISOR)
}

/// Whether the resident memory is to be read again: `age` after a reading, since when this many bytes were counted anew.
/// What was released meanwhile does not matter, because the heap may keep it.
pub fn reading_is_due(limit: usize, age: TimeSpan, added: usize) -> bool {
    age >= MAX_READING_AGE || added >= limit / READING_DIVISOR
}

/// The overhead by a reading of the resident memory, but at least that of the start: a request may use less than is
/// counted for it.
pub fn overhead_by_reading(initial: usize, resident: usize, counted: usize) -> usize {
    resident.saturating_sub(counted).max(initial)
}
