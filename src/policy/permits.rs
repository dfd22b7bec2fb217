//! Whether an attempt may be sent, repeated or refused, and a connection closed, at this moment.
//!
//! Each rule is written once, as a function of its inputs, and returns the reason of a denial. The dispatcher checks
//! the rules when it decides. The code that writes to sockets checks them again right before it writes, because the
//! inputs change while a request waits for a connection or for room in a buffer, and it counts violations that it
//! finds.

use crate::interface::Effect;
use crate::units::{CellId, TimeSpan, Timestamp, ZoneId};

/// A client that has closed its side of the connection counts as gone after this time. Until then, attempts of what it
/// sent just before may start, because a close and a half-close look the same. The operators allow 0.1 s; the rest is
/// for the network delay to the host.
pub const CLIENT_CLOSE_GRACE: TimeSpan = TimeSpan::from_millis(50);
/// By how much the deadline that is passed on may exceed the client's remaining time when it is written.
pub const DEADLINE_SLACK: TimeSpan = TimeSpan::from_millis(100);

/// Why an action is not allowed now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The request has its final answer, or its client cancelled it.
    Answered,
    /// The client has closed its connection.
    ClientGone,
    /// The deadline of the request has passed.
    DeadlinePassed,
    /// An earlier attempt may have run, and a repeat of it is no longer recognised.
    RepeatWindowOver,
    /// An earlier attempt may have run, and the request must not run twice.
    MayHaveRun,
    /// An earlier attempt may have run at a host whose repeats are not recognised here.
    OtherRepeatGroup,
    /// The host drains or is gone.
    HostNotReady,
    /// The source of the fill drains or is gone.
    SourceNotReady,
    /// The attempt was cancelled.
    Cancelled,
    /// Nothing of the request was written for so long that the deadline in it is outdated.
    WriteStalled,
}

impl Denial {
    /// The name of the reason in logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            Denial::Answered => "answered",
            Denial::ClientGone => "client_gone",
            Denial::DeadlinePassed => "deadline_passed",
            Denial::RepeatWindowOver => "repeat_window_over",
            Denial::MayHaveRun => "may_have_run",
            Denial::OtherRepeatGroup => "other_repeat_group",
            Denial::HostNotReady => "host_not_ready",
            Denial::SourceNotReady => "source_not_ready",
            Denial::Cancelled => "cancelled",
            Denial::WriteStalled => "write_stalled",
        }
    }
}

/// Whether another request may be accepted while `pending` of at most `max` are.
pub fn may_take(pending: usize, max: usize) -> bool {
    pending < max
}

/// What decides whether an attempt of a request may start.
#[derive(Clone, Copy, Debug)]
pub struct SendFacts {
    /// The request has its final answer, was cancelled, or its client's connection has ended.
    pub answered: bool,
    /// When the client closed its side of the connection.
    pub client_closed: Option<Timestamp>,
    /// The request's deadline.
    pub deadline: Timestamp,
    /// Until when a repeat of an attempt that may have run is recognised.
    pub repeat_by: Option<Timestamp>,
}

/// Whether the first byte of an attempt may be sent now.
///
/// ```
/// use trailproxy::policy::permits::{Denial, SendFacts, may_send};
/// use trailproxy::units::Timestamp;
/// let facts = SendFacts {
///     answered: false,
///     client_closed: Some(Timestamp(1_000)),
///     deadline: Timestamp(900_000),
///     repeat_by: None,
/// };
/// assert_eq!(may_send(Timestamp(2_000), &facts), Ok(()));
/// assert_eq!(may_send(Timestamp(60_000), &facts), Err(Denial::ClientGone));
/// ```
pub fn may_send(now: Timestamp, facts: &SendFacts) -> Result<(), Denial> {
    if facts.answered {
        return Err(Denial::Answered);
    }
    let gone = |closed: Timestamp| now >= closed + CLIENT_CLOSE_GRACE;
    if facts.client_closed.is_some_and(gone) {
        return Err(Denial::ClientGone);
    }
    if now >= facts.deadline {
        return Err(Denial::DeadlinePassed);
    }
    if facts.repeat_by.is_some_and(|repeat_by| now >= repeat_by) {
        return Err(Denial::RepeatWindowOver);
    }
    Ok(())
}

/// The operators' bound on the time after a client's close in which an attempt may still start.
const MAX_START_AFTER_CLIENT_CLOSE: TimeSpan = TimeSpan::from_millis(100);

/// Whether an attempt that started now violated a rule, by the operators' bounds. It is checked after the attempt
/// started.
pub fn started_in_violation(now: Timestamp, facts: &SendFacts) -> bool {
    let gone = |closed: Timestamp| now > closed + MAX_START_AFTER_CLIENT_CLOSE;
    facts.answered || now > facts.deadline || facts.client_closed.is_some_and(gone)
}

/// Whether a host and the source that fills a miss there may be given new requests.
pub fn may_use(host_ready: bool, source_ready: bool) -> Result<(), Denial> {
    match (host_ready, source_ready) {
        (false, _) => Err(Denial::HostNotReady),
        (true, false) => Err(Denial::SourceNotReady),
        (true, true) => Ok(()),
    }
}

/// An attempt that is in flight or may have run.
#[derive(Clone, Copy, Debug)]
pub struct EarlierAttempt {
    /// Where it went; `None`: it may have gone anywhere.
    pub location: Option<(ZoneId, CellId)>,
    /// When it was sent.
    pub sent_at: Timestamp,
    /// Whether it has not ended yet.
    pub in_flight: bool,
}

/// Whether a request may be sent to a location after these attempts.
pub fn may_repeat(
    now: Timestamp,
    effect: Effect,
    earlier: impl Iterator<Item = EarlierAttempt>,
    to: (ZoneId, CellId),
) -> Result<(), Denial> {
    for attempt in earlier {
        match effect {
            // An attempt is cancelled before the next one is sent: there are never two at once.
            Effect::Idempotent if attempt.in_flight => return Err(Denial::MayHaveRun),
            Effect::Idempotent => {}
            Effect::NonIdempotent => return Err(Denial::MayHaveRun),
            Effect::Keyed { group, .. } if !group.covers(attempt.location, to) => {
                return Err(Denial::OtherRepeatGroup);
            }
            Effect::Keyed { window, .. } if now >= attempt.sent_at + window => {
                return Err(Denial::RepeatWindowOver);
            }
            Effect::Keyed { .. } => {}
        }
    }
    Ok(())
}

/// Whether a request may be refused, which tells the client that a retry is harmless.
pub fn may_refuse(effect: Effect, may_have_run: bool) -> bool {
    use crate::interface::RepeatGroup;
    match effect {
        Effect::Idempotent => true,
        Effect::NonIdempotent => !may_have_run,
        Effect::Keyed { group, .. } => !may_have_run || group == RepeatGroup::All,
    }
}

/// The time span to pass on as the deadline of an attempt that is written now: the client's remaining time.
pub fn deadline_to_pass(now: Timestamp, deadline: Timestamp) -> TimeSpan {
    deadline.since(now)
}

/// Whether an attempt may still be sent with the deadline that was written into it at `written_at`.
pub fn deadline_still_holds(now: Timestamp, written_at: Timestamp) -> bool {
    now.since(written_at) < DEADLINE_SLACK
}

/// How far a request that is being written has come.
#[derive(Clone, Copy, Debug)]
pub struct WriteProgress {
    /// When the request was encoded, with the time that was left then.
    pub encoded_at: Timestamp,
    /// When bytes of it were last written.
    pub last_write_at: Timestamp,
}

/// Whether the rest of a partly written request may be sent now. A host starts a request only when it has all of it, so
/// that whatever forbids a start forbids the rest as well. A request that is written slowly but steadily may continue; one
/// that has stalled would start with an outdated deadline.
///
/// ```
/// use trailproxy::policy::permits::{Denial, SendFacts, WriteProgress, may_complete};
/// use trailproxy::units::Timestamp;
/// let facts = SendFacts {
///     answered: false,
///     client_closed: None,
///     deadline: Timestamp(900_000),
///     repeat_by: None,
/// };
/// let progress = WriteProgress { encoded_at: Timestamp(0), last_write_at: Timestamp(150_000) };
/// assert_eq!(may_complete(Timestamp(200_000), &facts, &progress), Ok(()));
/// assert_eq!(may_complete(Timestamp(300_000), &facts, &progress), Err(Denial::WriteStalled));
/// let answered = SendFacts { answered: true, ..facts };
/// assert_eq!(may_complete(Timestamp(200_000), &answered, &progress), Err(Denial::Answered));
/// ```
pub fn may_complete(
    now: Timestamp,
    facts: &SendFacts,
    progress: &WriteProgress,
) -> Result<(), Denial> {
    may_send(now, facts)?;
    let is_steady = deadline_still_holds(now, progress.last_write_at);
    match is_steady || deadline_still_holds(now, progress.encoded_at) {
        true => Ok(()),
        false => Err(Denial::WriteStalled),
    }
}

/// How late an answer may arrive at most. A later one counts as lost, like none.
const MAX_LATENESS: TimeSpan = TimeSpan::from_millis(500);

/// Whether answers are on their way to a client that may still wait for them: its system has not confirmed all bytes, of
/// which the last was written this long ago. `max_deadline` is the longest time that a client waits for an answer.
pub fn is_delivering(undelivered: usize, since_write: TimeSpan, max_deadline: TimeSpan) -> bool {
    undelivered > 0 && since_write < max_deadline + MAX_LATENESS
}

/// What decides whether a client's connection may be closed.
#[derive(Clone, Copy, Debug)]
pub struct CloseFacts {
    /// Number of its requests that have no answer yet.
    pub owed: usize,
    /// Number of answers that are not completely written.
    pub unwritten: usize,
    /// Whether answers are on their way to the client, by [`is_delivering`].
    pub delivering: bool,
    /// Whether the client has closed its side.
    pub client_closed: bool,
}

/// Whether a client's connection can be closed now without losing an answer. What arrives on a closed connection is
/// answered by a reset, which drops the answers on their way. From a client that has closed its side, nothing arrives.
///
/// ```
/// use trailproxy::policy::permits::{CloseFacts, may_close};
/// let facts = CloseFacts { owed: 0, unwritten: 0, delivering: true, client_closed: false };
/// assert!(!may_close(&facts));
/// assert!(may_close(&CloseFacts { client_closed: true, ..facts }));
/// ```
pub fn may_close(facts: &CloseFacts) -> bool {
    let all_delivered = facts.client_closed || !facts.delivering;
    facts.owed == 0 && facts.unwritten == 0 && all_delivered
}
