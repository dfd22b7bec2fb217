//! Requests that are held back for what others know of them, and what they are known by.

use std::collections::{BTreeMap, VecDeque};
use trailproxy::interface::*;
use trailproxy::units::*;
use trailproxy_shared_store::decide::records::RecordDecision;

/// What the one task has to do for the parts beside the decisions.
pub enum Due {
    /// A request goes to the decisions now.
    Arrived(Arrival),
    /// A request is answered from a record.
    Answered(RequestId, Vec<u8>),
    Tell(Event),
    /// A host is restricted by what others know of it: it counts as in this state, and as started then; `None`: the own
    /// list holds again.
    Restricted(HostId, Option<(HostState, Option<Timestamp>)>),
}

pub struct Waiting {
    held: BTreeMap<RequestId, Arrival>,
    hosts: BTreeMap<HostId, (ZoneId, CellId)>,
    /// By track.
    dues: Vec<TimeSpan>,
    out: VecDeque<Due>,
}

impl Waiting {
    /// `dues`: by track.
    pub fn new(dues: Vec<TimeSpan>) -> Waiting {
        Waiting {
            held: BTreeMap::new(),
            hosts: BTreeMap::new(),
            dues,
            out: VecDeque::new(),
        }
    }

    /// One is held back; when it is due.
    pub fn hold(&mut self, now: Timestamp, arrival: Arrival) -> Timestamp {
        self.held.insert(arrival.id, arrival);
        now + self.dues[usize::from(arrival.class.0)].min(arrival.time_left)
    }

    pub fn forget(&mut self, id: RequestId) {
        self.held.remove(&id);
    }

    pub fn decided(&mut self, id: RequestId, verdict: RecordDecision) {
        let Some(arrival) = self.held.remove(&id) else {
            return;
        };
        self.out.push_back(match verdict {
            RecordDecision::Proceed => Due::Arrived(arrival),
            RecordDecision::Answer(body) => Due::Answered(id, body),
        });
    }

    pub fn due(&mut self, due: Due) {
        self.out.push_back(due);
    }

    pub fn take(&mut self) -> Option<Due> {
        self.out.pop_front()
    }

    pub fn place(&self, host: HostId) -> Option<(ZoneId, CellId)> {
        self.hosts.get(&host).copied()
    }

    pub fn heard(&mut self, event: &Event) {
        let Event::HostList { entries, .. } = event else {
            return;
        };
        for entry in entries {
            match entry.state {
                HostState::Gone => drop(self.hosts.remove(&entry.host)),
                _ => drop(self.hosts.insert(entry.host, (entry.zone, entry.cell))),
            }
        }
    }

    /// Whoever waits goes on.
    pub fn end(self) -> impl Iterator<Item = Arrival> {
        self.held.into_values()
    }
}
