//! The state and helpers that the pools of host connections and each connection share.

use crate::checks::Counts;
use crate::memory::MemoryAccount;
use crate::messages::*;
use crate::stall_detector::StallDetector;
use crate::trace::Trace;
use slog::Logger;
use std::rc::Rc;
use std::time::Duration;
use trailproxy::interface::*;
use trailproxy::units::*;
use trailproxy_terms::SocketSettings;

/// What all pools and host connections share.
pub struct HostContext {
    /// The dispatcher's queue, which receives the results.
    pub queue: InboundSender,
    pub bounds: SocketSettings,
    pub clock: Clock,
    /// The number of connections that all pools together may hold.
    pub max_connections: usize,
    /// The memory that requests and answers use. A host is not read from while there is none for its answer.
    pub memory: MemoryAccount,
    pub stall_detector: Rc<StallDetector>,
    pub counts: Rc<Counts>,
    pub log: Logger,
    pub trace: Trace,
}

impl HostContext {
    /// The time in which a dial must succeed.
    pub fn dial_timeout(&self) -> Duration {
        Duration::from_micros(self.bounds.dial_timeout.0)
    }

    /// Reports the answer or the end of an attempt.
    pub fn attempt_ended(
        &self,
        id: AttemptId,
        host: HostId,
        connection: Option<ConnectionId>,
        answer: Answer,
    ) {
        let ended = FromHost::AttemptEnded {
            id,
            host,
            connection,
            answer,
        };
        let _ = self.queue.send(Inbound::Host(ended));
    }

    /// Reports the result of a probe.
    pub fn probe_ended(&self, id: ProbeId, host: HostId, ending: Ending, report: Vec<f64>) {
        let probed = FromHost::Probed {
            id,
            host,
            ending,
            report,
        };
        let _ = self.queue.send(Inbound::Host(probed));
    }

    /// Reports the end of an attempt that was not given to a connection.
    pub fn attempt_dropped(&self, attempt: &AttemptRequest, ending: Ending) {
        self.attempt_ended(attempt.id, attempt.host, None, Answer::without_body(ending));
    }
}
