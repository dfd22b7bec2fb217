//! The way to the other dispatchers: datagrams on one socket, on the same thread.
//!
//! It only carries. A datagram that can't be sent now is lost, as any may be; one that is not of the fleet costs a sum
//! over its bytes and no more.

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
use trailproxy_peers::wire::{MOST_BYTES, Seal, Unread};

/// What was not read is told this often at most.
const TELL_EVERY: Duration = Duration::from_secs(10);
/// So many datagrams are read in a row before others have their turn.
const IN_A_ROW: usize = 64;

/// What could not be read, by cause.
#[derive(Default)]
struct Unreads {
    foreign: Cell<u64>,
    newer: Cell<u64>,
    garbled: Cell<u64>,
    unknown_notes: Cell<u64>,
    told: Cell<Option<Instant>>,
}

impl Unreads {
    fn tell(&self, log: &Logger) {
        let due = |at: Instant| at.elapsed() >= TELL_EVERY;
        if self.told.get().is_none_or(due) {
            self.told.set(Some(Instant::now()));
            info!(log, "peers not understood"; "foreign" => self.foreign.get(), "newer" => self.newer.get(),
                "garbled" => self.garbled.get(), "unknown_notes" => self.unknown_notes.get());
        }
    }
}

/// Opens the socket.
pub fn bind(at: Address) -> std::io::Result<Rc<UdpSocket>> {
    let socket = std::net::UdpSocket::bind(to_socket(at))?;
    socket.set_nonblocking(true)?;
    Ok(Rc::new(UdpSocket::from_std(socket)?))
}

fn to_socket(at: Address) -> SocketAddr {
    SocketAddrV4::new(Ipv4Addr::from(at.ip), at.port).into()
}

/// Carries until it is told to end.
pub async fn carry(
    socket: Rc<UdpSocket>,
    seal: Seal,
    queue: InboundSender,
    mut asked: mpsc::Receiver<ToPeers>,
    log: Logger,
) {
    let hearing = tokio::task::spawn_local(hear(socket.clone(), seal.clone(), queue, log));
    while let Some(ToPeers::Send(to, message)) = asked.recv().await {
        if let Some(bytes) = seal.write(&message) {
            let _ = socket.try_send_to(&bytes, to_socket(to));
        }
    }
    hearing.abort();
}

async fn hear(socket: Rc<UdpSocket>, seal: Seal, queue: InboundSender, log: Logger) {
    let mut bytes = vec![0; MOST_BYTES + 1];
    let (unreads, mut row) = (Unreads::default(), 0);
    let more = |count: &Cell<u64>, by: usize| count.set(count.get() + by as u64);
    loop {
        let (size, from) = match socket.recv_from(&mut bytes).await {
            Ok((size, SocketAddr::V4(from))) => (size, from),
            // The system lacks something for the moment.
            Err(e) if classify_stream_error(errno(&e)) == StreamError::RetryLater => {
                tokio::time::sleep(RESOURCE_RETRY_DELAY).await;
                continue;
            }
            // An error is another's: a port that nobody listens on any more tells so here.
            Ok(_) | Err(_) => {
                tokio::task::yield_now().await;
                continue;
            }
        };
        row += 1;
        if row % IN_A_ROW == 0 {
            tokio::task::yield_now().await;
        }
        match seal.read(&bytes[..size]) {
            Ok((message, unknown)) => {
                if unknown > 0 {
                    more(&unreads.unknown_notes, unknown);
                    unreads.tell(&log);
                }
                let from = Address {
                    ip: from.ip().octets(),
                    port: from.port(),
                };
                let told = FromPeers { from, message };
                if queue.send(Inbound::Peers(told)).is_err() {
                    return;
                }
            }
            Err(why) => {
                more(
                    match why {
                        Unread::Foreign => &unreads.foreign,
                        Unread::Newer => &unreads.newer,
                        Unread::Garbled => &unreads.garbled,
                    },
                    1,
                );
                unreads.tell(&log);
            }
        }
    }
}
