//! Whether something may be sent, repeated, refused, closed or answered now.
//!
//! Each rule is written once, as a function of plain facts, with the reason where the answer is no. The decisions ask
//! before they act. The sockets ask again in the instant of the act, because facts change while a request waits for a
//! connection or for room in a buffer, and count what they find to have been done against a rule.

use crate::interface::Effect;
use crate::units::{CellId, TimeSpan, Timestamp, ZoneId};

/// A client that has ended its side of the connection counts as gone after this: what it sent just before may still begin,
/// as nobody can tell a close from a half-close. The operators allow 0.1 s; the rest is for the way to the host.
pub const CLIENT_GONE_AFTER: TimeSpan = TimeSpan::from_millis(50);
/// By how much a deadline that is passed on may exceed what the client has left by the time it is written.
pub const DEADLINE_SLACK: TimeSpan = TimeSpan::from_millis(100);

/// Why something may not be done now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The request has its final answer, or its client cancelled it.
    Answered,
    /// The client has closed its connection.
    ClientGone,
    DeadlinePassed,
    /// What may have run before is no longer known as a repeat.
    RepeatWindowOver,
    /// It may have run, and must not run twice.
    MayHaveRun,
    /// It may have run where a repeat is not recognised.
    OtherRepeatGroup,
    /// The host drains or is gone.
    HostNotReady,
    /// The source of the fill drains or is gone.
    SourceNotReady,
}

impl Denial {
    /// One word for logs and counters.
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
        }
    }
}

/// Whether a further request may be taken, with so many open and at most so many allowed.
pub fn may_take(open: usize, most: usize) -> bool {
    open < most
}

/// What decides whether an attempt of a request may begin.
#[derive(Clone, Copy, Debug)]
pub struct SendFacts {
    /// It has its final answer, was cancelled, or its client's connection is over.
    pub answered: bool,
    /// When its client ended its side of the connection.
    pub client_closed: Option<Timestamp>,
    pub deadline: Timestamp,
    /// Until when a repeat of what may have run is recognised.
    pub repeat_by: Option<Timestamp>,
}

/// Whether the first byte of an attempt may go out now.
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
    let gone = |closed: Timestamp| now >= closed + CLIENT_GONE_AFTER;
    if facts.client_closed.is_some_and(gone) {
        return Err(Denial::ClientGone);
    }
    if now >= facts.deadline {
        return Err(Denial::DeadlinePassed);
    }
    if facts.repeat_by.is_some_and(|by| now >= by) {
        return Err(Denial::RepeatWindowOver);
    }
    Ok(())
}

/// The operators' own bound for a client that has closed, which no attempt may begin behind.
const CLIENT_GONE_AT_MOST: TimeSpan = TimeSpan::from_millis(100);

/// Whether an attempt that began now broke a rule, by the operators' own bounds. The check behind the act.
pub fn begun_against_a_rule(now: Timestamp, facts: &SendFacts) -> bool {
    let gone = |closed: Timestamp| now > closed + CLIENT_GONE_AT_MOST;
    facts.answered || now > facts.deadline || facts.client_closed.is_some_and(gone)
}

/// Whether a host, and whatever fills a miss there, may be given anything new.
pub fn may_use(host_ready: bool, source_ready: bool) -> Result<(), Denial> {
    match (host_ready, source_ready) {
        (false, _) => Err(Denial::HostNotReady),
        (true, false) => Err(Denial::SourceNotReady),
        (true, true) => Ok(()),
    }
}

/// An attempt that is out, or may have run.
#[derive(Clone, Copy, Debug)]
pub struct EarlierAttempt {
    /// Where it went; `None`: it may have gone anywhere.
    pub place: Option<(ZoneId, CellId)>,
    pub sent: Timestamp,
    pub out: bool,
}

/// Whether a further attempt may go to a place, after these.
pub fn may_repeat(
    now: Timestamp,
    effect: Effect,
    earlier: impl Iterator<Item = EarlierAttempt>,
    to: (ZoneId, CellId),
) -> Result<(), Denial> {
    for attempt in earlier {
        match effect {
            // It is withdrawn before it goes out again: never two at once.
            Effect::Idempotent if attempt.out => return Err(Denial::MayHaveRun),
            Effect::Idempotent => {}
            Effect::NonIdempotent => return Err(Denial::MayHaveRun),
            Effect::Keyed { group, .. } if !group.covers(attempt.place, to) => {
                return Err(Denial::OtherRepeatGroup);
            }
            Effect::Keyed { window, .. } if now >= attempt.sent + window => {
                return Err(Denial::RepeatWindowOver);
            }
            Effect::Keyed { .. } => {}
        }
    }
    Ok(())
}

/// Whether a refusal, which tells the client that trying again is harmless, may be given.
pub fn may_refuse(effect: Effect, may_have_run: bool) -> bool {
    use crate::interface::RepeatGroup;
    match effect {
        Effect::Idempotent => true,
        Effect::NonIdempotent => !may_have_run,
        Effect::Keyed { group, .. } => !may_have_run || group == RepeatGroup::All,
    }
}

/// The deadline to pass on with an attempt that is written now: what the client has left.
pub fn deadline_to_pass(now: Timestamp, deadline: Timestamp) -> TimeSpan {
    deadline.since(now)
}

/// Whether an attempt may still go out with the deadline that was written into it some time ago.
pub fn deadline_still_holds(now: Timestamp, written_at: Timestamp) -> bool {
    now.since(written_at) < DEADLINE_SLACK
}

/// What decides whether a client's connection may be closed.
#[derive(Clone, Copy, Debug)]
pub struct CloseFacts {
    /// Requests of it that have no answer yet.
    pub owed: usize,
    /// Answers that are not wholly written.
    pub unwritten: usize,
}

/// Whether closing a client's connection now breaks no promise.
pub fn may_close(facts: &CloseFacts) -> bool {
    facts.owed == 0 && facts.unwritten == 0
}
