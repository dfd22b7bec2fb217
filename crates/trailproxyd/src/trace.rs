//! Logs one line for each step of each request, each close, each retry and each refusal, with the reason.
//!
//! It is off unless `RELAY_TRACE` is `1`: it is meant for the search for faults, not for daily use. Requests are named
//! by the ids that their clients gave them, which hosts see as well.

use crate::messages::{AttemptId, ClientId, ClientRequest, ConnectionId};
use slog::{Logger, info};
use std::time::Duration;
use trailproxy::interface::{Ending, Note};
use trailproxy::units::{HostId, TimeSpan};

/// The environment variable that switches the trace on.
const TRACE_VARIABLE: &str = "RELAY_TRACE";

/// The name of a note in log lines, which operators match.
pub fn note_name(note: Note) -> &'static str {
    match note {
        Note::NotReported => "Untold",
        Note::Hit => "Hit",
        Note::Filled => "Filled",
        Note::FilledByOrigin => "FilledByOrigin",
        Note::Joined => "Joined",
        Note::Stale => "Stale",
        Note::SourceRefused => "SourceRefused",
        Note::SourceLost => "SourceLost",
        Note::SourceMiss => "SourceLacks",
        Note::NoFillSlot => "NoFillPlace",
        Note::OriginFailed => "OriginFailed",
    }
}

/// The name of an ending in log lines, which operators match.
pub fn ending_name(ending: Ending) -> &'static str {
    match ending {
        Ending::Done => "Done",
        Ending::Error => "Error",
        Ending::Full => "Full",
        Ending::TimedOut => "TimedOut",
        Ending::NoConnection => "NoConnection",
        Ending::ConnectionLost => "Lost",
        Ending::Cancelled => "Withdrawn",
        Ending::NotSent => "NotSent",
        Ending::Miss => "Missed",
    }
}

/// Logs the steps of requests, if the trace is on.
#[derive(Clone)]
pub struct Trace {
    log: Option<Logger>,
}

impl Trace {
    /// On or off as the environment says.
    pub fn new(log: &Logger) -> Trace {
        let on = std::env::var(TRACE_VARIABLE).is_ok_and(|value| value == "1");
        Trace {
            log: on.then(|| log.clone()),
        }
    }

    /// A request was read completely.
    pub fn request_read(&self, request: &ClientRequest, time_left: TimeSpan) {
        if let Some(log) = &self.log {
            info!(log, "request"; "step" => "taken", "ref" => &*request.reference, "client" => request.id.client.0,
                "left_ms" => time_left.0 / 1000);
        }
    }

    /// An attempt was handed to the connections of a host.
    pub fn attempt_assigned(&self, request: &ClientRequest, id: AttemptId, host: HostId) {
        if let Some(log) = &self.log {
            info!(log, "request"; "step" => "attempt", "ref" => &*request.reference, "no" => id.attempt.0,
                "host" => format!("{:x}", host.0));
        }
    }

    /// The first byte of an attempt was sent.
    pub fn attempt_begun(&self, request: &ClientRequest, id: AttemptId, connection: ConnectionId) {
        if let Some(log) = &self.log {
            info!(log, "request"; "step" => "begun", "ref" => &*request.reference, "no" => id.attempt.0, "line" => connection.0);
        }
    }

    /// An attempt was dropped before its first byte.
    pub fn attempt_dropped(&self, request: &ClientRequest, id: AttemptId, reason: &str) {
        if let Some(log) = &self.log {
            info!(log, "request"; "step" => "denied", "ref" => &*request.reference, "no" => id.attempt.0, "why" => reason);
        }
    }

    /// An attempt has ended.
    pub fn attempt_ended(
        &self,
        request: &ClientRequest,
        id: AttemptId,
        ending: Ending,
        elapsed: TimeSpan,
    ) {
        if let Some(log) = &self.log {
            info!(log, "request"; "step" => "ended", "ref" => &*request.reference, "no" => id.attempt.0,
                "ending" => ending_name(ending), "took_ms" => elapsed.0 / 1000);
        }
    }

    /// A request got its final answer, or none is owed any more.
    pub fn request_closed(&self, request: &ClientRequest, result: &str, reason: &str) {
        if let Some(log) = &self.log {
            info!(log, "request"; "step" => "closed", "ref" => &*request.reference, "how" => result, "why" => reason);
        }
    }

    /// A journal entry was received.
    pub fn journal_entry(&self, position: u64, change: &str) {
        if let Some(log) = &self.log {
            info!(log, "journal entry"; "place" => position, "what" => change);
        }
    }

    /// A client closed its side of the connection, this long ago as far as that is known.
    pub fn client_half_closed(&self, client: ClientId, ago: Duration) {
        if let Some(log) = &self.log {
            info!(log, "client closed its side"; "client" => client.0, "ago_ms" => ago.as_millis() as u64);
        }
    }

    /// A client connection was closed with this many answers owed.
    pub fn client_closed(&self, client: ClientId, reason: &str, owed: usize, undelivered: usize) {
        if let Some(log) = &self.log {
            info!(log, "client closed"; "client" => client.0, "why" => reason, "owed" => owed, "undelivered" => undelivered);
        }
    }

    /// A connection to a host was closed.
    pub fn connection_closed(&self, host: HostId, connection: ConnectionId, reason: &str) {
        if let Some(log) = &self.log {
            info!(log, "host connection closed"; "host" => format!("{:x}", host.0), "line" => connection.0, "why" => reason);
        }
    }
}
