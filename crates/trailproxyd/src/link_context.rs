//! What the pools of connections to hosts and each such connection have in common.

use crate::buffered::Held;
use crate::checks::Counts;
use crate::messages::*;
use crate::pulse::Pulse;
use crate::trace::Trace;
use slog::Logger;
use std::rc::Rc;
use std::time::Duration;
use trailproxy::interface::*;
use trailproxy::units::*;
use trailproxy_terms::Bounds;

/// What all pools and connections share.
pub struct Shared {
    pub queue: InboundSender,
    pub bounds: Bounds,
    pub clock: Clock,
    /// Connections that all pools together may hold.
    pub most_lines: usize,
    pub held: Held,
    pub pulse: Rc<Pulse>,
    /// With so many bytes held, hosts are not read from.
    pub held_limit: usize,
    pub counts: Rc<Counts>,
    pub log: Logger,
    pub trace: Trace,
}

impl Shared {
    /// A connection comes up within this, or never.
    pub fn dial_within(&self) -> Duration {
        Duration::from_micros(self.bounds.dial_within.0)
    }

    pub fn end(&self, id: AttemptId, host: HostId, line: Option<ConnectionId>, answer: Answer) {
        let ended = FromHost::AttemptEnded {
            id,
            host,
            connection: line,
            answer,
        };
        let _ = self.queue.send(Inbound::Host(ended));
    }

    pub fn probed(&self, id: ProbeId, host: HostId, ending: Ending, report: Vec<f64>) {
        let probed = FromHost::Probed {
            id,
            host,
            ending,
            report,
        };
        let _ = self.queue.send(Inbound::Host(probed));
    }

    pub fn dropped(&self, sending: &AttemptRequest, ending: Ending) {
        self.end(sending.id, sending.host, None, Answer::without_body(ending));
    }
}
