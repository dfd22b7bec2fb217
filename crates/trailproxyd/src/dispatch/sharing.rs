//! What the subsystems hand back: requests that go on, answers that others have, hosts that others know.

use super::Dispatch;
use crate::buffered::CountedBytes;
use crate::messages::Reply;
use crate::waiting::Due;
use slog::info;
use trailproxy::interface::{Arrival, Event, HostListKind, HostState};
use trailproxy::units::{HostId, Timestamp};

impl Dispatch {
    /// A request goes to the decisions, with the time that is left of it.
    pub(super) fn go(&mut self, now: Timestamp, mut arrival: Arrival) {
        let request = self.state.requests.get(&arrival.id);
        if let Some(request) = request.filter(|request| !request.closed) {
            arrival.time_left = request.limit.since(now);
            self.tell(now, Event::Arrived(arrival));
        }
    }

    /// What others' answers, or their absence, lead to.
    pub(super) fn share(&mut self, now: Timestamp) {
        self.decisions.crossings.advance(now);
        if let Some((caches, parents)) = self.decisions.crossings.cold() {
            self.decisions.set_slow_start_shares(now, caches, parents);
        }
        while let Some(due) = self.decisions.crossings.take() {
            match due {
                Due::Arrived(arrival) => self.go(now, arrival),
                Due::Answered(id, body) => {
                    let body = CountedBytes::new(&body, &self.pools.shared.buffered);
                    self.answer(now, id, Reply::Served(body), "from_record");
                    self.forget(now, id);
                }
                Due::Tell(Event::Purged {
                    object,
                    group,
                    stamp: Some(stamp),
                    ..
                }) => self.tell_purge(now, object, group, stamp),
                Due::Tell(event) => self.tell(now, event),
                Due::Restricted(host, told) => self.restricted(now, host, told),
            }
        }
    }

    /// A host counts as others know it, or again as the own list has it.
    pub(super) fn restricted(
        &mut self,
        now: Timestamp,
        host: HostId,
        told: Option<(HostState, Option<Timestamp>)>,
    ) {
        let entries = self.pools.host_entries();
        let Some(mut entry) = entries.into_iter().find(|entry| entry.host == host) else {
            return;
        };
        if let Some((state, stamp)) = told {
            (entry.state, entry.stamp) = (state, stamp);
            entry.started = stamp.map(|stamp| self.state.stamps.latest(now, stamp));
        }
        info!(self.log, "host restricted"; "host" => format!("{:x}", host.0), "by_others" => told.is_some());
        let (kind, entries) = (HostListKind::Delta, vec![entry]);
        self.tell(now, Event::HostList { kind, entries });
    }
}
