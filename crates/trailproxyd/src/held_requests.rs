//! Requests held back until a shared subsystem has reported earlier attempts under their keys, and events of these
//! subsystems for the task that owns the decisions.

use std::collections::{BTreeMap, VecDeque};
use trailproxy::interface::*;
use trailproxy::units::*;
use trailproxy_shared_store::decide::records::RecordDecision;

/// What a subsystem reports to the task that owns the decisions.
pub enum SubsystemEvent {
    /// A held request may go to the decisions now.
    MayStart(Arrival),
    /// A request is answered with the body of a record.
    AnsweredFromRecord(RequestId, Vec<u8>),
    /// An event for the decisions.
    Event(Event),
    /// Other dispatchers restrict a host: it counts as in this state, and as started then. `None`: the state in the
    /// host list of this dispatcher applies again.
    Restricted(HostId, Option<(HostState, Option<Timestamp>)>),
}

/// Requests that wait for a subsystem, with the locations of hosts and the pending events.
pub struct HeldRequests {
    held: BTreeMap<RequestId, Arrival>,
    locations: BTreeMap<HostId, (ZoneId, CellId)>,
    /// How long requests wait at most, by class.
    targets: Vec<TimeSpan>,
    events: VecDeque<SubsystemEvent>,
}

impl HeldRequests {
    /// `targets`: how long requests wait at most, by class.
    pub fn new(targets: Vec<TimeSpan>) -> HeldRequests {
        HeldRequests {
            held: BTreeMap::new(),
            locations: BTreeMap::new(),
            targets,
            events: VecDeque::new(),
        }
    }

    /// Holds a request back and returns until when.
    pub fn hold(&mut self, now: Timestamp, arrival: Arrival) -> Timestamp {
        self.held.insert(arrival.id, arrival);
        now + self.targets[usize::from(arrival.class.0)].min(arrival.time_left)
    }

    /// Drops a held request.
    pub fn forget(&mut self, id: RequestId) {
        self.held.remove(&id);
    }

    /// Releases a held request as the subsystem has decided.
    pub fn on_decided(&mut self, id: RequestId, decision: RecordDecision) {
        let Some(arrival) = self.held.remove(&id) else {
            return;
        };
        self.events.push_back(match decision {
            RecordDecision::Proceed => SubsystemEvent::MayStart(arrival),
            RecordDecision::Answer(body) => SubsystemEvent::AnsweredFromRecord(id, body),
        });
    }

    /// Adds an event.
    pub fn push_event(&mut self, event: SubsystemEvent) {
        self.events.push_back(event);
    }

    /// Takes the next event.
    pub fn take_event(&mut self) -> Option<SubsystemEvent> {
        self.events.pop_front()
    }

    /// The zone and cell of a listed host.
    pub fn location_of(&self, host: HostId) -> Option<(ZoneId, CellId)> {
        self.locations.get(&host).copied()
    }

    /// Records the locations of hosts from a host list.
    pub fn on_event(&mut self, event: &Event) {
        let Event::HostList { entries, .. } = event else {
            return;
        };
        for entry in entries {
            match entry.state {
                HostState::Gone => drop(self.locations.remove(&entry.host)),
                _ => drop(self.locations.insert(entry.host, (entry.zone, entry.cell))),
            }
        }
    }

    /// All held requests, which may continue.
    pub fn into_arrivals(self) -> impl Iterator<Item = Arrival> {
        self.held.into_values()
    }
}
