//! One member of the fleet without a dispatcher behind it: the real core, the real form of messages and a real socket.

use crate::order::{Hollow, Order};
use crate::surroundings::FLEET;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep_until};
use trailproxy::units::Timestamp;
use trailproxy_peers::decide::members::OwnMember;
use trailproxy_peers::decide::messages::{
    self, Address, BootId, MemberUpdate, Message, MessagePart, PeerId,
};
use trailproxy_peers::decide::{Action, PeerState, Peers};
use trailproxy_peers::sites::topology;
use trailproxy_peers::wire::{MAX_DATAGRAM_BYTES, Seal};

/// So many datagrams are read in a row before another member has its turn.
const IN_A_ROW: usize = 16;

/// Messages and bytes one way and the other, as a hollow member counts them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Traffic {
    pub received: u64,
    pub received_bytes: u64,
    pub sent: u64,
    pub sent_bytes: u64,
}

impl Traffic {
    /// Adds another count.
    pub fn add(&mut self, other: Traffic) {
        self.received += other.received;
        self.received_bytes += other.received_bytes;
        self.sent += other.sent;
        self.sent_bytes += other.sent_bytes;
    }

    /// What was counted since an earlier count.
    pub fn since(&self, earlier: Traffic) -> Traffic {
        Traffic {
            received: self.received - earlier.received,
            received_bytes: self.received_bytes - earlier.received_bytes,
            sent: self.sent - earlier.sent,
            sent_bytes: self.sent_bytes - earlier.sent_bytes,
        }
    }
}

/// The clock of a process: Unix time, never going back.
#[derive(Clone, Copy, Debug)]
pub struct UnixClock {
    start: Instant,
    unix_us: u64,
}

impl UnixClock {
    /// Reads the clock of the machine once.
    pub fn start() -> UnixClock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        UnixClock {
            start: Instant::now(),
            unix_us: unix.map_or(0, |since| since.as_micros() as u64),
        }
    }

    /// Now.
    pub fn now(&self) -> Timestamp {
        Timestamp(self.unix_us + self.start.elapsed().as_micros() as u64)
    }

    fn instant(&self, at: Timestamp) -> Instant {
        let since = at.since(Timestamp(self.unix_us));
        self.start + Duration::from_micros(since.0)
    }
}

/// A hollow member.
pub struct Member {
    socket: Rc<UdpSocket>,
    core: Peers,
    seal: Seal,
    clock: UnixClock,
    /// What went between it and each address that is watched.
    watched: BTreeMap<SocketAddrV4, Traffic>,
    /// What went between it and everybody.
    all: Traffic,
}

/// A member that its task and whoever counts share.
pub type Shared = Rc<RefCell<Member>>;

/// Serves one member until its task is aborted.
pub async fn run(member: Shared) {
    let (socket, clock) = (member.borrow().socket.clone(), member.borrow().clock);
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
    loop {
        let due = clock.instant(member.borrow().core.next_deadline());
        tokio::select! {
            biased;
            _ = socket.readable() => {}
            () = sleep_until(due) => {}
        }
        for _ in 0..IN_A_ROW {
            // An error is another's: nothing is there now, or a port that nobody listens on any more tells so here.
            let Ok((size, SocketAddr::V4(from))) = socket.try_recv_from(&mut buffer) else {
                break;
            };
            member.borrow_mut().receive(&buffer[..size], from);
        }
        member.borrow_mut().advance();
        tokio::task::yield_now().await;
    }
}

impl Member {
    /// Opens its socket; it knows the seeds only.
    pub async fn open(own: &Hollow, order: &Order, clock: UnixClock) -> io::Result<Member> {
        let socket = UdpSocket::bind(own.address).await?;
        let name = OwnMember {
            id: PeerId::of_name(&own.name),
            address: from_socket(own.address),
            boot_id: BootId(own.life),
            seeds: order.seeds.iter().copied().map(from_socket).collect(),
            topology: topology("capacity", &order.sites, from_socket(own.address))
                .map_err(io::Error::other)?,
        };
        let core = Peers::new(clock.now(), name, order.rules(), fastrand::u64(..));
        let watched = order.watched.iter().map(|&at| (at, Traffic::default()));
        Ok(Member {
            socket: Rc::new(socket),
            core,
            seal: Seal::new(FLEET, b""),
            clock,
            watched: watched.collect(),
            all: Traffic::default(),
        })
    }

    /// Tells its core of others, as a message of one of them would.
    pub fn introduce(&mut self, others: &[Hollow]) {
        let own = self.core.members().own().id;
        let updates = others.iter().map(update);
        let updates: Vec<MemberUpdate> = updates.filter(|update| update.id != own).collect();
        let Some(first) = updates.first().copied() else {
            return;
        };
        let now = self.clock.now();
        let message = Message {
            from: first.id,
            boot_id: first.boot_id,
            incarnation: first.incarnation,
            stamp: now.0,
            parts: vec![MessagePart::MemberUpdates(updates)],
        };
        self.core.on_message(now, first.address, message);
        self.send();
    }

    /// Does what is due.
    fn advance(&mut self) {
        let now = self.clock.now();
        if self.core.next_deadline() <= now {
            self.core.advance(now);
        }
        self.send();
    }

    /// How many others it counts as alive.
    pub fn alive(&self) -> usize {
        let members = self.core.members();
        members
            .all()
            .filter(|(id, _)| members.is_reached(**id))
            .count()
    }

    /// Whether it lacks nothing.
    pub fn whole(&self) -> bool {
        self.core.state() == PeerState::InSync
    }

    /// What went between it and a watched address.
    pub fn watched(&self, with: SocketAddrV4) -> Traffic {
        self.watched.get(&with).copied().unwrap_or_default()
    }

    /// What went between it and everybody.
    pub fn all(&self) -> Traffic {
        self.all
    }

    fn receive(&mut self, bytes: &[u8], from: SocketAddrV4) {
        let received = Traffic {
            received: 1,
            received_bytes: bytes.len() as u64,
            ..Traffic::default()
        };
        self.count(from, received);
        let Ok((message, _)) = self.seal.read(bytes) else {
            return;
        };
        let (now, from) = (self.clock.now(), from_socket(from));
        if !self.core.on_operator_request(now, from, &message) {
            self.core.on_message(now, from, message);
        }
        self.send();
    }

    fn send(&mut self) {
        for action in self.core.take_actions() {
            let Action::Send(to, message) = action else {
                continue;
            };
            let Some(bytes) = self.seal.write(&message) else {
                continue;
            };
            let to = to_socket(to);
            // One that can't be sent now is lost, as any datagram may be.
            if self.socket.try_send_to(&bytes, to.into()).is_ok() {
                let sent = Traffic {
                    sent: 1,
                    sent_bytes: bytes.len() as u64,
                    ..Traffic::default()
                };
                self.count(to, sent);
            }
        }
    }

    fn count(&mut self, with: SocketAddrV4, traffic: Traffic) {
        self.all.add(traffic);
        if let Some(watched) = self.watched.get_mut(&with) {
            watched.add(traffic);
        }
    }
}

fn update(of: &Hollow) -> MemberUpdate {
    MemberUpdate {
        id: PeerId::of_name(&of.name),
        address: from_socket(of.address),
        boot_id: BootId(of.life),
        incarnation: 0,
        status: messages::MemberStatus::Alive,
    }
}

/// The core's form of an address.
pub fn from_socket(address: SocketAddrV4) -> Address {
    Address {
        ip: address.ip().octets(),
        port: address.port(),
    }
}

fn to_socket(address: Address) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(address.ip), address.port)
}
