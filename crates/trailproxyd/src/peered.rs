//! State held in common with the other dispatchers, as long as it is on: the decisions of it, and what they do here.

use crate::messages::ToPeers;
use crate::operator::PeersTold;
use crate::waiting::{Due, Waiting};
use local_channel::mpsc;
use slog::{Logger, info};
use std::rc::Rc;
use tokio::net::UdpSocket;
use trailproxy::interface::*;
use trailproxy::units::*;
use trailproxy_peers::decide::facts::Listed;
use trailproxy_peers::decide::messages::{Address, AskNo, Life, Message, PeerId};
use trailproxy_peers::decide::{Action, Peers};
use trailproxy_shared_store::decide::records::{Completion, KeyHasher};

pub struct Peered {
    /// The section that it runs by.
    pub told: PeersTold,
    key_hasher: KeyHasher,
    peers: Peers,
    pub socket: Rc<UdpSocket>,
    to: mpsc::Sender<ToPeers>,
    waiting: Waiting,
    /// Words of other subsystems, from whom.
    beside: Vec<(PeerId, u8, Vec<u8>)>,
    log: Logger,
}

impl Peered {
    /// `dues`: by track.
    pub fn new(
        told: PeersTold,
        peers: Peers,
        (socket, to): (Rc<UdpSocket>, mpsc::Sender<ToPeers>),
        dues: Vec<TimeSpan>,
        log: Logger,
    ) -> Peered {
        Peered {
            key_hasher: KeyHasher::new(&told.config.fleet),
            told,
            peers,
            socket,
            to,
            waiting: Waiting::new(dues),
            beside: Vec::new(),
            log,
        }
    }

    /// A request with a key comes: it waits for the others for as long as that may take.
    pub fn come(&mut self, now: Timestamp, arrival: Arrival, mark: &str) {
        let due = self.waiting.hold(now, arrival);
        let key = self.key_hasher.key(arrival.class, mark);
        self.peers.come(now, arrival.id, key, due);
        self.act();
    }

    pub fn sent(&mut self, now: Timestamp, id: RequestId, host: HostId) {
        if let Some(place) = self.waiting.place(host) {
            self.peers.hand_off(now, id, place);
            self.act();
        }
    }

    pub fn ended(&mut self, now: Timestamp, id: RequestId, came: Completion) {
        self.waiting.forget(id);
        self.peers.ended(now, id, came);
        self.act();
    }

    pub fn message(&mut self, now: Timestamp, address: Address, message: Message) {
        if !self.peers.shown(now, address, &message) {
            self.peers.heard(now, address, message);
        }
        self.act();
    }

    /// Its name and its process, as the others know it.
    pub fn own(&self) -> (PeerId, Life) {
        let own = self.peers.members().own();
        (own.id, own.life)
    }

    /// Words of other subsystems that came.
    pub fn words(&mut self) -> Vec<(PeerId, u8, Vec<u8>)> {
        std::mem::take(&mut self.beside)
    }

    pub fn send(&mut self, now: Timestamp, to: PeerId, of: u8, bytes: Vec<u8>) {
        self.peers.beside(now, to, of, bytes);
        self.act();
    }

    pub fn answer(&mut self, now: Timestamp, address: Address, no: AskNo, text: String) {
        self.peers.answer(now, address, no, text);
        self.act();
    }

    /// The journal told a purge, by its own clock.
    pub fn purged(
        &mut self,
        now: Timestamp,
        object: Option<ObjectId>,
        group: GroupId,
        at: Timestamp,
    ) {
        self.peers.purged(now, object, group, at);
        self.act();
    }

    /// The journal told of hosts, at this place.
    pub fn listed(&mut self, now: Timestamp, entries: &[HostEntry], place: u64) {
        self.peers.listed(now, entries, place);
        self.act();
    }

    pub fn opened(&mut self, now: Timestamp, host: HostEntry) {
        self.peers.opened(now, host);
        self.act();
    }

    pub fn earlier(&self, id: RequestId) -> Option<PeerAttempt> {
        self.peers.earlier(id)
    }

    pub fn heard(&mut self, event: &Event) {
        self.waiting.heard(event);
    }

    pub fn next(&self) -> Timestamp {
        self.peers.next()
    }

    pub fn advance(&mut self, now: Timestamp) {
        if self.peers.next() <= now {
            self.peers.advance(now);
            self.act();
        }
    }

    pub fn take(&mut self) -> Option<Due> {
        self.waiting.take()
    }

    /// It ends in order: the others need not find out.
    pub fn leave(&mut self, now: Timestamp) {
        self.peers.leave(now);
        self.act();
    }

    /// Nothing is held in common any more: whoever waits goes on.
    pub fn end(self) -> impl Iterator<Item = Arrival> {
        let _ = self.to.send(ToPeers::Stop);
        self.waiting.end()
    }

    pub fn figures(&self, now: Timestamp) -> String {
        self.peers.show(now)
    }

    fn act(&mut self) {
        for act in self.peers.take() {
            match act {
                Action::Send(to, message) => drop(self.to.send(ToPeers::Send(to, message))),
                Action::Decided { id, verdict } => self.waiting.decided(id, verdict),
                Action::Purged { object, group, at } => {
                    // How long ago is for whoever knows the journal's stamps to say.
                    self.waiting.due(Due::Tell(Event::Purged {
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
                    self.waiting
                        .due(Due::Restricted(host, Some((state, started))));
                }
                Action::Freed { host } => self.waiting.due(Due::Restricted(host, None)),
                Action::Hinted { host } => self
                    .waiting
                    .due(Due::Tell(Event::PeerBreakerOpened { host })),
                Action::Beside(from, of, bytes) => self.beside.push((from, of, bytes)),
                Action::Turned(stands) => info!(self.log, "peers"; "stands" => stands.word()),
                Action::Member(id, standing) => {
                    info!(self.log, "peer"; "id" => format!("{:016x}", id.0), "is" => ?standing);
                }
            }
        }
    }
}
