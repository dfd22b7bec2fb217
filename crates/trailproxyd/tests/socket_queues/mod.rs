//! The queues of sockets on this machine, as the system reports them: what was received and not read, and what was written
//! and not delivered.

use std::net::SocketAddr;

/// One line of the system's table of sockets.
struct Socket {
    local_address: String,
    remote_address: String,
    /// Written bytes that the other side has not confirmed.
    undelivered: u64,
    /// Received bytes that the program has not read.
    unread: u64,
}

impl Socket {
    /// Reads a line, if it is that of an established connection.
    fn read(line: &str) -> Option<Socket> {
        const ESTABLISHED: &str = "01";
        let columns: Vec<&str> = line.split_whitespace().collect();
        let [_, local_address, remote_address, state, queues, ..] = columns[..] else {
            return None;
        };
        let (undelivered, unread) = queues.split_once(':').filter(|_| state == ESTABLISHED)?;
        let number = |hex| u64::from_str_radix(hex, 16).ok();
        Some(Socket {
            local_address: local_address.to_owned(),
            remote_address: remote_address.to_owned(),
            undelivered: number(undelivered)?,
            unread: number(unread)?,
        })
    }
}

/// All established connections.
fn established() -> Vec<Socket> {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("a table of sockets");
    table.lines().filter_map(Socket::read).collect()
}

/// An address in the form of the table.
fn encode(address: SocketAddr) -> String {
    let SocketAddr::V4(address) = address else {
        panic!("{address} is not an IPv4 address");
    };
    let ip = u32::from_ne_bytes(address.ip().octets());
    format!("{ip:08X}:{:04X}", address.port())
}

/// The number of received bytes that the owner of the sockets at this address has not read.
pub fn unread_bytes(address: SocketAddr) -> u64 {
    let address = encode(address);
    let sockets = established().into_iter();
    let own = sockets.filter(|socket| socket.local_address == address);
    own.map(|socket| socket.unread).sum()
}

/// The number of bytes that were written at this address, and that the other side has not read.
pub fn unread_bytes_from(address: SocketAddr) -> u64 {
    let address = encode(address);
    let bytes = |socket: &Socket| {
        let sent = (socket.local_address == address).then_some(socket.undelivered);
        let received = (socket.remote_address == address).then_some(socket.unread);
        sent.unwrap_or(0) + received.unwrap_or(0)
    };
    established().iter().map(bytes).sum()
}

/// The number of bytes that were written to a socket from the other side, and that its system has not confirmed.
pub fn undelivered_bytes(address: SocketAddr) -> u64 {
    let address = encode(address);
    let sockets = established().into_iter();
    let opposite = sockets.filter(|socket| socket.remote_address == address);
    opposite.map(|socket| socket.undelivered).sum()
}
