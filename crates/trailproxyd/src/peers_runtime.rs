//! State held together with the other dispatchers, while it is switched on: its decisions, and how their actions are
//! carried out.

use crate::held_requests::{HeldRequests, SubsystemEvent};
use crate::messages::ToPeers;
use crate::operator::ResolvedPeers;
use crate::peers_socket::{PeersSocket, Received};
use local_channel::mpsc;
use slog::{Logger, info};
use std::rc::Rc;
use tokio::net::UdpSocket;
use trailproxy::interface::*;
use trailproxy::units::*;
use trailproxy_peers::decide::facts::ListedState;
use trailproxy_peers::decide::messages::{Address, BootId, InquiryId, Message, PeerId};
use trailproxy_peers::decide::{Action, Peers};
use trailproxy_shared_store::decide::records::{Completion, KeyHasher};

/// State held together with the other dispatchers, with the requests that are held for it.
pub struct PeersRuntime {
    /// The section that is in force.
    pub section: ResolvedPeers,
    key_hasher: KeyHasher,
    peers: Peers,
    socket: Rc<PeersSocket>,
    /// Messages to the task that sends.
    orders: mpsc::Sender<ToPeers>,
    held: HeldRequests,
    /// Messages of other dispatchers for other subsystems: sender, number of the subsystem and bytes.
    received: Vec<(PeerId, u8, Vec<u8>)>,
    log: Logger,
}

impl PeersRuntime {
    /// `targets`: how long requests wait at most, by class.
    pub fn new(
        section: ResolvedPeers,
        peers: Peers,
        (socket, orders): (Rc<PeersSocket>, mpsc::Sender<ToPeers>),
        targets: Vec<TimeSpan>,
        log: Logger,
    ) -> PeersRuntime {
        PeersRuntime {
            key_hasher: KeyHasher::new(&section.config.fleet),
            section,
            peers,
            socket,
            orders,
            held: HeldRequests::new(targets),
            received: Vec::new(),
            log,
        }
    }

    /// Handles a request with a key: it is held until the other dispatchers have answered, or until its target.
    pub fn on_request(&mut self, now: Timestamp, arrival: Arrival, key: &str) {
        let held_until = self.held.hold(now, arrival);
        let key = self.key_hasher.key(arrival.class, key);
        self.peers.on_request(now, arrival.id, key, held_until);
        self.apply_actions();
    }

    /// The socket, which a new section with the same address takes over.
    pub fn socket(&self) -> Rc<UdpSocket> {
        self.socket.socket()
    }

    /// If something is due by `now`, reads the next datagram that has arrived.
    pub fn read_before_deadline(&self, now: Timestamp) -> Received {
        match self.peers.next_deadline() <= now {
            true => self.socket.read_next(),
            false => Received::Nothing,
        }
    }

    /// Handles an attempt that is sent.
    pub fn on_attempt_sent(&mut self, now: Timestamp, id: RequestId, host: HostId) {
        if let Some(location) = self.held.location_of(host) {
            self.peers.on_attempt_sent(now, id, location);
            self.apply_actions();
        }
    }

    /// Handles a request that has its final answer or whose client has gone.
    pub fn on_request_ended(&mut self, now: Timestamp, id: RequestId, completion: Completion) {
        self.held.forget(id);
        self.peers.on_request_ended(now, id, completion);
        self.apply_actions();
    }

    /// Handles a message of another dispatcher, or a query from the command line.
    pub fn on_message(&mut self, now: Timestamp, address: Address, message: Message) {
        if !self.peers.on_operator_request(now, address, &message) {
            self.peers.on_message(now, address, message);
        }
        self.apply_actions();
    }

    /// The identity of this dispatcher and of its process among the others.
    pub fn identity(&self) -> (PeerId, BootId) {
        let own = self.peers.members().own();
        (own.id, own.boot_id)
    }

    /// Takes the received messages for other subsystems.
    pub fn take_subsystem_messages(&mut self) -> Vec<(PeerId, u8, Vec<u8>)> {
        std::mem::take(&mut self.received)
    }

    /// Sends a message of another subsystem.
    pub fn send_subsystem_message(
        &mut self,
        now: Timestamp,
        to: PeerId,
        subsystem: u8,
        bytes: Vec<u8>,
    ) {
        self.peers.send_to_subsystem(now, to, subsystem, bytes);
        self.apply_actions();
    }

    /// Answers a query from the command line.
    pub fn answer(&mut self, now: Timestamp, address: Address, inquiry: InquiryId, text: String) {
        self.peers.send_operator_reply(now, address, inquiry, text);
        self.apply_actions();
    }

    /// Handles a purge of the journal; `at` is its timestamp there.
    pub fn on_purge(
        &mut self,
        now: Timestamp,
        object: Option<ObjectId>,
        group: GroupId,
        at: Timestamp,
    ) {
        self.peers.on_purge(now, object, group, at);
        self.apply_actions();
    }

    /// Handles a change of the host list at this journal position.
    pub fn on_host_list(&mut self, now: Timestamp, entries: &[HostEntry], position: u64) {
        self.peers.on_host_list(now, entries, position);
        self.apply_actions();
    }

    /// Handles a breaker that has opened here.
    pub fn on_breaker_opened(&mut self, now: Timestamp, host: HostEntry) {
        self.peers.on_breaker_opened(now, host);
        self.apply_actions();
    }

    /// The attempt that another dispatcher made for this request, if one is known.
    pub fn earlier_attempt(&self, id: RequestId) -> Option<PeerAttempt> {
        self.peers.earlier_attempt(id)
    }

    /// Handles an event of the decisions.
    pub fn on_event(&mut self, event: &Event) {
        self.held.on_event(event);
    }

    /// When it next has something to do.
    pub fn next_deadline(&self) -> Timestamp {
        self.peers.next_deadline()
    }

    /// Lets time pass.
    pub fn advance(&mut self, now: Timestamp) {
        if self.peers.next_deadline() <= now {
            self.peers.advance(now);
            self.apply_actions();
        }
    }

    /// Takes the next event.
    pub fn take_event(&mut self) -> Option<SubsystemEvent> {
        self.held.take_event()
    }

    /// Leaves the fleet in order, so that the others need not detect it.
    pub fn leave(&mut self, now: Timestamp) {
        self.peers.leave(now);
        self.apply_actions();
    }

    /// Stops, and returns the requests that waited, which may continue.
    pub fn stop(self) -> impl Iterator<Item = Arrival> {
        let _ = self.orders.send(ToPeers::Stop);
        self.held.into_arrivals()
    }

    /// Counts and sizes, for the log.
    pub fn summary(&self, now: Timestamp) -> String {
        self.peers.status_text(now)
    }

    /// Carries out the actions of the decisions.
    fn apply_actions(&mut self) {
        for action in self.peers.take_actions() {
            match action {
                Action::Send(to, message) => drop(self.orders.send(ToPeers::Send(to, message))),
                Action::Decided { id, verdict } => self.held.on_decided(id, verdict),
                Action::Purged { object, group, at } => {
                    // The age follows from the stamp: the task that owns the decisions knows how far the clocks are
                    // apart.
                    self.held.push_event(SubsystemEvent::Event(Event::Purged {
                        object,
                        group,
                        age: TimeSpan::ZERO,
                        stamp: Some(at),
                    }));
                }
                Action::HostRestricted {
                    host,
                    listed,
                    started,
                } => {
                    let state = match listed {
                        ListedState::Ready => HostState::Ready,
                        // A host that is gone for others is only drained here until the host list of this dispatcher
                        // removes it.
                        ListedState::Draining | ListedState::Gone => HostState::Draining,
                    };
                    self.held
                        .push_event(SubsystemEvent::Restricted(host, Some((state, started))));
                }
                Action::HostRestrictionLifted { host } => {
                    self.held.push_event(SubsystemEvent::Restricted(host, None))
                }
                Action::PeerBreakerOpened { host } => self
                    .held
                    .push_event(SubsystemEvent::Event(Event::PeerBreakerOpened { host })),
                Action::SubsystemMessage(from, subsystem, bytes) => {
                    self.received.push((from, subsystem, bytes))
                }
                Action::StateChanged(state) => {
                    info!(self.log, "peers"; "stands" => state.as_str())
                }
                Action::MemberStatusChanged(id, status) => {
                    info!(self.log, "peer"; "id" => format!("{:016x}", id.0), "is" => ?status);
                }
            }
        }
    }
}
