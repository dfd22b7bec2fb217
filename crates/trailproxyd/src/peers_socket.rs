//! The connection to the other dispatchers: datagrams on one UDP socket, on the same thread.
//!
//! It only sends and receives. A datagram that cannot be sent at once is lost, as any datagram may be. A datagram that
//! is not from the fleet costs one checksum over its bytes and nothing more.

use crate::messages::{FromPeers, Inbound, InboundSender, ToPeers};
use crate::system_calls::{RESOURCE_RETRY_DELAY, errno};
use local_channel::mpsc;
use slog::{Logger, info};
use std::cell::Cell;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use trailproxy::policy::system_errors::{StreamError, classify_stream_error};
use trailproxy_peers::decide::messages::Address;
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

/// Sends and receives until it is told to stop.
pub async fn run(
    socket: Rc<UdpSocket>,
    seal: Seal,
    queue: InboundSender,
    mut orders: mpsc::Receiver<ToPeers>,
    log: Logger,
) {
    let receiving = tokio::task::spawn_local(receive(socket.clone(), seal.clone(), queue, log));
    while let Some(ToPeers::Send(to, message)) = orders.recv().await {
        if let Some(bytes) = seal.write(&message) {
            let _ = socket.try_send_to(&bytes, to_socket(to));
        }
    }
    receiving.abort();
}

/// Receives datagrams and passes their messages on.
async fn receive(socket: Rc<UdpSocket>, seal: Seal, queue: InboundSender, log: Logger) {
    let mut bytes = vec![0; MAX_DATAGRAM_BYTES + 1];
    let (unreadable, mut reads) = (UnreadableCounts::default(), 0);
    let add = |count: &Cell<u64>, by: usize| count.set(count.get() + by as u64);
    loop {
        let (size, from) = match socket.recv_from(&mut bytes).await {
            Ok((size, SocketAddr::V4(from))) => (size, from),
            // The system lacks a resource for the moment.
            Err(e) if classify_stream_error(errno(&e)) == StreamError::RetryLater => {
                tokio::time::sleep(RESOURCE_RETRY_DELAY).await;
                continue;
            }
            // Any other error concerns a datagram sent earlier: a port on which nobody listens any more is reported
            // here.
            Ok(_) | Err(_) => {
                tokio::task::yield_now().await;
                continue;
            }
        };
        reads += 1;
        if reads % MAX_READS_IN_A_ROW == 0 {
            tokio::task::yield_now().await;
        }
        match seal.read(&bytes[..size]) {
            Ok((message, unknown)) => {
                if unknown > 0 {
                    add(&unreadable.unknown_notes, unknown);
                    unreadable.log(&log);
                }
                let from = Address {
                    ip: from.ip().octets(),
                    port: from.port(),
                };
                let received = FromPeers { from, message };
                if queue.send(Inbound::Peers(received)).is_err() {
                    return;
                }
            }
            Err(cause) => {
                add(
                    match cause {
                        ReadError::Foreign => &unreadable.foreign,
                        ReadError::Newer => &unreadable.newer,
                        ReadError::Garbled => &unreadable.garbled,
                    },
                    1,
                );
                unreadable.log(&log);
            }
        }
    }
}
