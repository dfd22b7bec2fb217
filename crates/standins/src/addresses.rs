//! Loopback addresses for programs that are started beside this process.
//!
//! A port that the system assigned to a socket and got back may be assigned again before the program listens there. `127/8`
//! is large enough to give each process an address of its own, and each of its ports is returned once.

use socket2::{Domain, Socket, Type};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU16, Ordering};

/// The first port that is returned.
const FIRST_PORT: u16 = 21_000;

/// An address that no other socket uses, now or later, for a program that accepts connections.
pub fn free_stream_address() -> io::Result<SocketAddr> {
    free_address(Type::STREAM)
}

/// An address that no other socket uses, now or later, for a program that receives datagrams.
pub fn free_datagram_address() -> io::Result<SocketAddr> {
    free_address(Type::DGRAM)
}

fn free_address(socket_type: Type) -> io::Result<SocketAddr> {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    // Process numbers have 22 bits.
    let [high, middle, low] = [16, 8, 0].map(|shift| (std::process::id() >> shift) as u8);
    let ip = [127, 128 | (high & 0x3f), middle, low];
    let address = SocketAddr::from((ip, NEXT_PORT.fetch_add(1, Ordering::Relaxed)));
    // Nothing listens: a child that is started in that moment has a copy of the socket for a while.
    let socket = Socket::new(Domain::IPV4, socket_type, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    Ok(address)
}
