//! The connection to the other dispatchers: datagrams on one UDP socket, on the same thread.
//!
//! It only sends and receives. A datagram that cannot be sent at once is lost, as any datagram may be. A datagram that
//! is not from the fleet costs one checksum over its bytes and nothing more.

use crate::messages::{FromPeers, Inbound, InboundSender, ToPeers};
use crate::system_calls::{RESOURCE_RETRY_DELAY, errno};
use local_channel::mpsc;
use slog::{Logger, info};
use socket2::SockRef;
use std::cell::Cell;
use std::mem::MaybeUninit;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use trailproxy::policy::system_errors::{StreamError, classify_stream_error};
use trailproxy_peers::decide::messages::{Address, Message};
use trailproxy_peers::wire::{MAX_DATAGRAM_BYTES, ReadError, Seal};

/// How often unreadable datagrams are logged at most.
const LOG_INTERVAL: Duration = Duration::from_secs(10);
/// How many datagrams are read in a row before other tasks run.
const MAX_READS_IN_A_ROW: usize = 64;

/// Counts of datagrams, or parts of them, that cannot be read, by cause.
#[derive(Default)]
struct UnreadableCounts {
    /// From outside the fleet.
    foreign: Cell<u64>,
    /// Of a newer version.
    newer: Cell<u64>,
    /// Damaged.
    garbled: Cell<u64>,
    /// Message parts of an unknown kind.
    unknown_notes: Cell<u64>,
    /// When the counts were last logged.
    logged_at: Cell<Option<Instant>>,
}

impl UnreadableCounts {
    fn log(&self, log: &Logger) {
        let is_due = |at: Instant| at.elapsed() >= LOG_INTERVAL;
        if self.logged_at.get().is_none_or(is_due) {
            self.logged_at.set(Some(Instant::now()));
            info!(log, "peers not understood"; "foreign" => self.foreign.get(), "newer" => self.newer.get(),
                "garbled" => self.garbled.get(), "unknown_notes" => self.unknown_notes.get());
        }
    }
}

/// Opens the socket, which does not block.
pub fn bind(at: Address) -> std::io::Result<Rc<UdpSocket>> {
    let socket = std::net::UdpSocket::bind(to_socket(at))?;
    socket.set_nonblocking(true)?;
    Ok(Rc::new(UdpSocket::from_std(socket)?))
}

fn to_socket(at: Address) -> SocketAddr {
    SocketAddrV4::new(Ipv4Addr::from(at.ip), at.port).into()
}

/// The result of one read.
pub enum Received {
    /// A message of another dispatcher.
    Message(FromPeers),
    /// Something that is no message; the next one may follow.
    Unreadable,
    /// No datagram has arrived.
    Nothing,
}

/// The socket to the other dispatchers, with the seal of the fleet's messages.
pub struct PeersSocket {
    socket: Rc<UdpSocket>,
    seal: Seal,
    unreadable: UnreadableCounts,
    log: Logger,
}

impl PeersSocket {
    /// Sends and receives what is sealed by the fleet.
    pub fn new(socket: Rc<UdpSocket>, seal: Seal, log: Logger) -> PeersSocket {
        PeersSocket {
            socket,
            seal,
            unreadable: UnreadableCounts::default(),
            log,
        }
    }

    /// The system's socket, which a new section with the same address takes over.
    pub fn socket(&self) -> Rc<UdpSocket> {
        self.socket.clone()
    }

    /// Sends a message. One that cannot be sent at once is lost.
    fn send(&self, to: Address, message: &Message) {
        if let Some(bytes) = self.seal.write(message) {
            let _ = self.socket.try_send_to(&bytes, to_socket(to));
        }
    }

    /// Reads the next datagram that the system has received, without waiting. It asks the system itself, so that it also
    /// finds what arrived after the runtime last looked for events.
    pub fn read_next(&self) -> Received {
        let mut bytes = [MaybeUninit::uninit(); MAX_DATAGRAM_BYTES + 1];
        match SockRef::from(&*self.socket).recv_from(&mut bytes) {
            Ok((size, from)) => {
                // SAFETY: the call has initialised the first `size` bytes.
                let bytes = unsafe { bytes[..size].assume_init_ref() };
                let message = from.as_socket().and_then(|from| self.decode(bytes, from));
                message.map_or(Received::Unreadable, Received::Message)
            }
            Err(error) => match classify_stream_error(errno(&error)) {
                StreamError::WhenReady | StreamError::RetryLater => Received::Nothing,
                // It concerns a datagram sent earlier, or the call was interrupted.
                StreamError::RetryNow | StreamError::Permanent => Received::Unreadable,
            },
        }
    }

    /// Decodes a datagram; one that is not readable is counted and logged.
    fn decode(&self, bytes: &[u8], from: SocketAddr) -> Option<FromPeers> {
        let SocketAddr::V4(from) = from else {
            return None;
        };
        let add = |count: &Cell<u64>, by: usize| count.set(count.get() + by as u64);
        let unreadable = &self.unreadable;
        match self.seal.read(bytes) {
            Ok((message, unknown)) => {
                if unknown > 0 {
                    add(&unreadable.unknown_notes, unknown);
                    unreadable.log(&self.log);
                }
                let from = Address {
                    ip: from.ip().octets(),
                    port: from.port(),
                };
                Some(FromPeers { from, message })
            }
            Err(cause) => {
                let count = match cause {
                    ReadError::Foreign => &unreadable.foreign,
                    ReadError::Newer => &unreadable.newer,
                    ReadError::Garbled => &unreadable.garbled,
                };
                add(count, 1);
                unreadable.log(&self.log);
                None
            }
        }
    }
}

/// Sends and receives until it is told to stop.
pub async fn run(
    socket: Rc<PeersSocket>,
    queue: InboundSender,
    mut orders: mpsc::Receiver<ToPeers>,
) {
    let receiving = tokio::task::spawn_local(receive(socket.clone(), queue));
    while let Some(ToPeers::Send(to, message)) = orders.recv().await {
        socket.send(to, &message);
    }
    receiving.abort();
}

/// Receives datagrams and passes their messages on.
async fn receive(socket: Rc<PeersSocket>, queue: InboundSender) {
    let (mut bytes, mut reads) = (vec![0; MAX_DATAGRAM_BYTES + 1], 0);
    loop {
        let (size, from) = match socket.socket.recv_from(&mut bytes).await {
            Ok(received) => received,
            // The system lacks a resource for the moment.
            Err(e) if classify_stream_error(errno(&e)) == StreamError::RetryLater => {
                tokio::time::sleep(RESOURCE_RETRY_DELAY).await;
                continue;
            }
            // Any other error concerns a datagram sent earlier: a port on which nobody listens any more is reported
            // here.
            Err(_) => {
                tokio::task::yield_now().await;
                continue;
            }
        };
        reads += 1;
        if reads % MAX_READS_IN_A_ROW == 0 {
            tokio::task::yield_now().await;
        }
        let message = socket.decode(&bytes[..size], from);
        if let Some(message) = message
            && queue.send(Inbound::Peers(message)).is_err()
        {
            return;
        }
    }
}
