//! What the pools of connections to hosts and each such connection have in common.

use crate::buffered::BufferedBytes;
use crate::checks::Counts;
use crate::messages::*;
use crate::stall_detector::StallDetector;
use crate::trace::Trace;
use slog::Logger;
use std::rc::Rc;
use std::time::Duration;
use trailproxy::interface::*;
use trailproxy::units::*;
use trailproxy_terms::Bounds;

/// What all pools and connections share.
pub struct HostContext {
    pub queue: Queue,
    pub bounds: Bounds,
    pub clock: Clock,
    /// Connections that all pools together may hold.
    pub max_connections: usize,
    pub buffered: BufferedBytes,
    pub stall_detector: Rc<StallDetector>,
    /// With so many bytes held, hosts are not read from.
    pub max_buffered_bytes: usize,
    pub counts: Rc<Counts>,
    pub log: Logger,
    pub trace: Trace,
}

impl HostContext {
    /// A connection comes up within this, or never.
    pub fn dial_timeout(&self) -> Duration {
        Duration::from_micros(self.bounds.dial_within.0)
    }

    pub fn attempt_ended(&self, id: AttemptId, host: HostId, line: Option<LineId>, answer: Answer) {
        let ended = FromServer::Ended {
            id,
            host,
            line,
            answer,
        };
        let _ = self.queue.send(Inbound::Server(ended));
    }

    pub fn probe_ended(&self, id: ProbeId, host: HostId, ending: Ending, report: Vec<f64>) {
        let probed = FromServer::Probed {
            id,
            host,
            ending,
            report,
        };
        let _ = self.queue.send(Inbound::Server(probed));
    }

    pub fn attempt_dropped(&self, sending: &Sending, ending: Ending) {
        self.attempt_ended(sending.id, sending.host, None, Answer::bare(ending));
    }
}
