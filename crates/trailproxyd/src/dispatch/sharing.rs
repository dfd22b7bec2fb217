//! Applies what the subsystems report: requests that may continue, answers from records, and hosts that other
//! dispatchers know to be restricted.

use super::Dispatch;
use crate::held_requests::SubsystemEvent;
use crate::memory::CountedBytes;
use crate::messages::Reply;
use crate::peers_socket::Received;
use slog::info;
use tokio::time::Instant;
use trailproxy::interface::{Arrival, Event, HostListKind, HostState};
use trailproxy::units::{HostId, Timestamp};

/// Datagrams that are read in a row before something that is due. The receive buffer of a socket holds fewer by default.
const MAX_READS_BEFORE_DEADLINE: usize = 1_024;

impl Dispatch {
    /// Passes a request to the decisions, with the time that is left until its deadline.
    pub(super) fn submit_arrival(&mut self, now: Timestamp, mut arrival: Arrival) {
        let request = self.state.requests.get(&arrival.id);
        if let Some(request) = request.filter(|request| !request.closed) {
            arrival.time_left = request.deadline.since(now);
            self.handle_event(now, Event::Arrived(arrival));
        }
    }

    /// Handles the messages of other dispatchers that arrived before what is due by `now`. A process that is run late
    /// finds both at once, and a wait for an answer must not end while the answer lies in the socket.
    fn handle_unread_messages(&mut self, now: Timestamp) {
        for _ in 0..MAX_READS_BEFORE_DEADLINE {
            match self.decisions.crossings.read_before_deadline(now) {
                Received::Message(message) => {
                    let read_at = self.clock.timestamp(Instant::now());
                    self.decisions.crossings.on_message(read_at, message);
                }
                Received::Unreadable => {}
                Received::Nothing => return,
            }
        }
    }

    /// Lets time pass in the subsystems and applies what they report.
    pub(super) fn apply_subsystem_events(&mut self, now: Timestamp) {
        self.handle_unread_messages(now);
        self.decisions.crossings.advance(now);
        if let Some((caches, parents)) = self.decisions.crossings.take_slow_start_shares() {
            self.decisions.set_slow_start_shares(now, caches, parents);
        }
        while let Some(event) = self.decisions.crossings.take_event() {
            match event {
                SubsystemEvent::MayStart(arrival) => self.submit_arrival(now, arrival),
                SubsystemEvent::AnsweredFromRecord(id, body) => {
                    let body = CountedBytes::new(&body, &self.pools.shared.memory);
                    self.answer(now, id, Reply::Served(body), "from_record");
                    self.remove_if_finished(now, id);
                }
                SubsystemEvent::Event(Event::Purged {
                    object,
                    group,
                    stamp: Some(stamp),
                    ..
                }) => self.handle_purge(now, object, group, stamp),
                SubsystemEvent::Event(event) => self.handle_event(now, event),
                SubsystemEvent::Restricted(host, restriction) => {
                    self.apply_host_restriction(now, host, restriction)
                }
            }
        }
    }

    /// Applies the state that other dispatchers report of a host. `None`: the state in the own host list applies again.
    pub(super) fn apply_host_restriction(
        &mut self,
        now: Timestamp,
        host: HostId,
        restriction: Option<(HostState, Option<Timestamp>)>,
    ) {
        let entries = self.pools.host_entries();
        let Some(mut entry) = entries.into_iter().find(|entry| entry.host == host) else {
            return;
        };
        if let Some((state, stamp)) = restriction {
            (entry.state, entry.stamp) = (state, stamp);
            entry.started = stamp.map(|stamp| self.state.stamps.latest_local_time(now, stamp));
        }
        info!(self.log, "host restricted"; "host" => format!("{:x}", host.0), "by_others" => restriction.is_some());
        let (kind, entries) = (HostListKind::Delta, vec![entry]);
        self.handle_event(now, Event::HostList { kind, entries });
    }
}
