//! A line of log for each step of each request, each close, each retry and each refusal, with the reason.
//!
//! Off unless `RELAY_TRACE` is `1`: it is for the search for faults, not for every day. Requests are named by the id that
//! their clients gave them, which hosts see as well.

use crate::messages::{AttemptId, ClientId, ClientRequest, ConnectionId};
use slog::{Logger, info};
use std::time::Duration;
use trailproxy::interface::{Ending, Note};
use trailproxy::units::{HostId, TimeSpan};

const VARIABLE: &str = "RELAY_TRACE";

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

/// Where steps are told, if they are.
#[derive(Clone)]
pub struct Trace {
    log: Option<Logger>,
}

impl Trace {
    /// As the environment has it.
    pub fn new(log: &Logger) -> Trace {
        let on = std::env::var(VARIABLE).is_ok_and(|value| value == "1");
        Trace {
            log: on.then(|| log.clone()),
        }
    }

    /// A request was read whole.
    pub fn taken(&self, call: &ClientRequest, left: TimeSpan) {
        if let Some(log) = &self.log {
            info!(log, "request"; "step" => "taken", "ref" => &*call.reference, "client" => call.id.client.0,
                "left_ms" => left.0 / 1000);
        }
    }

    /// An attempt is given to the connections of a host.
    pub fn attempt(&self, call: &ClientRequest, id: AttemptId, host: HostId) {
        if let Some(log) = &self.log {
            info!(log, "request"; "step" => "attempt", "ref" => &*call.reference, "no" => id.attempt.0,
                "host" => format!("{:x}", host.0));
        }
    }

    /// The first byte of an attempt has gone out.
    pub fn begun(&self, call: &ClientRequest, id: AttemptId, line: ConnectionId) {
        if let Some(log) = &self.log {
            info!(log, "request"; "step" => "begun", "ref" => &*call.reference, "no" => id.attempt.0, "line" => line.0);
        }
    }

    /// An attempt was dropped before its first byte.
    pub fn denied(&self, call: &ClientRequest, id: AttemptId, why: &str) {
        if let Some(log) = &self.log {
            info!(log, "request"; "step" => "denied", "ref" => &*call.reference, "no" => id.attempt.0, "why" => why);
        }
    }

    pub fn ended(&self, call: &ClientRequest, id: AttemptId, ending: Ending, took: TimeSpan) {
        if let Some(log) = &self.log {
            info!(log, "request"; "step" => "ended", "ref" => &*call.reference, "no" => id.attempt.0,
                "ending" => ending_name(ending), "took_ms" => took.0 / 1000);
        }
    }

    /// The final answer, or that none is owed any more.
    pub fn closed(&self, call: &ClientRequest, how: &str, why: &str) {
        if let Some(log) = &self.log {
            info!(log, "request"; "step" => "closed", "ref" => &*call.reference, "how" => how, "why" => why);
        }
    }

    /// Discovery has told something new.
    pub fn journal(&self, place: u64, what: &str) {
        if let Some(log) = &self.log {
            info!(log, "journal told"; "place" => place, "what" => what);
        }
    }

    /// A client has ended its side, so long ago as far as that is known.
    pub fn client_ended_its_side(&self, client: ClientId, ago: Duration) {
        if let Some(log) = &self.log {
            info!(log, "client ended its side"; "client" => client.0, "ago_ms" => ago.as_millis() as u64);
        }
    }

    pub fn client_closed(&self, client: ClientId, why: &str, owed: usize) {
        if let Some(log) = &self.log {
            info!(log, "client closed"; "client" => client.0, "why" => why, "owed" => owed);
        }
    }

    pub fn line_closed(&self, host: HostId, line: ConnectionId, why: &str) {
        if let Some(log) = &self.log {
            info!(log, "line closed"; "host" => format!("{:x}", host.0), "line" => line.0, "why" => why);
        }
    }
}
