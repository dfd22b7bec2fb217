//! State held in common with the other dispatchers, as long as it is on: the decisions of it, and what they do here.

use crate::messages::ToPeers;
use crate::operator::ResolvedPeers;
use crate::waiting::{HeldRequests, SubsystemEvent};
use local_channel::mpsc;
use slog::{Logger, info};
use std::rc::Rc;
use tokio::net::UdpSocket;
use trailproxy::interface::*;
use trailproxy::units::*;
use trailproxy_peers::decide::facts::Listed;
use trailproxy_peers::decide::messages::{Address, AskNo, Life, Message, PeerId};
use trailproxy_peers::decide::{Action, Peers};
use trailproxy_shared_store::decide::records::{Came, Folding};

pub struct PeersRuntime {
    /// The section that it runs by.
    pub section: ResolvedPeers,
    folding: Folding,
    peers: Peers,
    pub socket: Rc<UdpSocket>,
    orders: mpsc::Sender<ToPeers>,
    held: HeldRequests,
    /// Words of other subsystems, from whom.
    received: Vec<(PeerId, u8, Vec<u8>)>,
    log: Logger,
}

impl PeersRuntime {
    /// `targets`: by track.
    pub fn new(
        section: ResolvedPeers,
        peers: Peers,
        (socket, orders): (Rc<UdpSocket>, mpsc::Sender<ToPeers>),
        targets: Vec<TimeSpan>,
        log: Logger,
    ) -> PeersRuntime {
        PeersRuntime {
            folding: Folding::new(&section.config.fleet),
            section,
            peers,
            socket,
            orders,
            held: HeldRequests::new(targets),
            received: Vec::new(),
            log,
        }
    }

    /// A request with a key comes: it waits for the others for as long as that may take.
    pub fn on_request(&mut self, now: Timestamp, arrival: Arrival, key: &str) {
        let due = self.held.hold(now, arrival);
        let key = self.folding.key(arrival.class, key);
        self.peers.come(now, arrival.id, key, due);
        self.apply_actions();
    }

    pub fn on_attempt_sent(&mut self, now: Timestamp, id: RequestId, host: HostId) {
        if let Some(place) = self.held.location_of(host) {
            self.peers.hand_off(now, id, place);
            self.apply_actions();
        }
    }

    pub fn on_request_ended(&mut self, now: Timestamp, id: RequestId, came: Came) {
        self.held.forget(id);
        self.peers.ended(now, id, came);
        self.apply_actions();
    }

    pub fn on_message(&mut self, now: Timestamp, address: Address, message: Message) {
        if !self.peers.shown(now, address, &message) {
            self.peers.heard(now, address, message);
        }
        self.apply_actions();
    }

    /// Its name and its process, as the others know it.
    pub fn identity(&self) -> (PeerId, Life) {
        let own = self.peers.members().own();
        (own.id, own.life)
    }

    /// Words of other subsystems that came.
    pub fn take_subsystem_messages(&mut self) -> Vec<(PeerId, u8, Vec<u8>)> {
        std::mem::take(&mut self.received)
    }

    pub fn send_subsystem_message(&mut self, now: Timestamp, to: PeerId, of: u8, bytes: Vec<u8>) {
        self.peers.beside(now, to, of, bytes);
        self.apply_actions();
    }

    pub fn answer(&mut self, now: Timestamp, address: Address, no: AskNo, text: String) {
        self.peers.answer(now, address, no, text);
        self.apply_actions();
    }

    /// The journal told a purge, by its own clock.
    pub fn on_purge(
        &mut self,
        now: Timestamp,
        object: Option<ObjectId>,
        group: GroupId,
        at: Timestamp,
    ) {
        self.peers.purged(now, object, group, at);
        self.apply_actions();
    }

    /// The journal told of hosts, at this place.
    pub fn on_host_list(&mut self, now: Timestamp, entries: &[HostEntry], place: u64) {
        self.peers.listed(now, entries, place);
        self.apply_actions();
    }

    pub fn on_breaker_opened(&mut self, now: Timestamp, host: HostEntry) {
        self.peers.opened(now, host);
        self.apply_actions();
    }

    pub fn earlier_attempt(&self, id: RequestId) -> Option<PeerAttempt> {
        self.peers.earlier(id)
    }

    pub fn on_event(&mut self, event: &Event) {
        self.held.on_event(event);
    }

    pub fn next_deadline(&self) -> Timestamp {
        self.peers.next()
    }

    pub fn advance(&mut self, now: Timestamp) {
        if self.peers.next() <= now {
            self.peers.advance(now);
            self.apply_actions();
        }
    }

    pub fn take_event(&mut self) -> Option<SubsystemEvent> {
        self.held.take_event()
    }

    /// It ends in order: the others need not find out.
    pub fn leave(&mut self, now: Timestamp) {
        self.peers.leave(now);
        self.apply_actions();
    }

    /// Nothing is held in common any more: whoever waits goes on.
    pub fn stop(self) -> impl Iterator<Item = Arrival> {
        let _ = self.orders.send(ToPeers::Stop);
        self.held.into_arrivals()
    }

    pub fn summary(&self, now: Timestamp) -> String {
        self.peers.show(now)
    }

    fn apply_actions(&mut self) {
        for act in self.peers.take() {
            match act {
                Action::Send(to, message) => drop(self.orders.send(ToPeers::Send(to, message))),
                Action::Decided { id, verdict } => self.held.on_decided(id, verdict),
                Action::Purged { object, group, at } => {
                    // How long ago is for whoever knows the journal's stamps to say.
                    self.held.push_event(SubsystemEvent::Event(Event::Purged {
                        object,
                        group,
                        age: TimeSpan::ZERO,
                        stamp: Some(at),
                    }));
                }
                Action::Restricted {
                    host,
                    listed,
                    started,
                } => {
                    let state = match listed {
                        Listed::Ready => HostState::Ready,
                        // One that is gone elsewhere is left alone here until the own list says so.
                        Listed::Draining | Listed::Gone => HostState::Draining,
                    };
                    self.held
                        .push_event(SubsystemEvent::Restricted(host, Some((state, started))));
                }
                Action::Freed { host } => {
                    self.held.push_event(SubsystemEvent::Restricted(host, None))
                }
                Action::Hinted { host } => self
                    .held
                    .push_event(SubsystemEvent::Event(Event::PeerBreakerOpened { host })),
                Action::Beside(from, of, bytes) => self.received.push((from, of, bytes)),
                Action::Turned(stands) => info!(self.log, "peers"; "stands" => stands.word()),
                Action::Member(id, standing) => {
                    info!(self.log, "peer"; "id" => format!("{:016x}", id.0), "is" => ?standing);
                }
            }
        }
    }
}
