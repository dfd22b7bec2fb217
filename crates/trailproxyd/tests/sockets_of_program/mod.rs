//! The queues of the daemon's client sockets, as the system reports them: what the daemon has not read, and what its
//! clients have not received.

use std::net::SocketAddr;

/// The client sockets of a daemon that listens on one address.
pub struct SocketQueues {
    /// The local address of these sockets in the form of `/proc/net/tcp`.
    local_address: String,
}

impl SocketQueues {
    /// The sockets of the daemon that listens on `address`.
    pub fn of(address: SocketAddr) -> SocketQueues {
        let SocketAddr::V4(address) = address else {
            panic!("the daemon listens on an IPv4 address");
        };
        let ip = u32::from_ne_bytes(address.ip().octets());
        SocketQueues {
            local_address: format!("{ip:08X}:{:04X}", address.port()),
        }
    }

    /// The number of received bytes that the daemon has not read, on all its established connections.
    pub fn unread_bytes(&self) -> u64 {
        self.established().map(|(_, unread)| unread).sum()
    }

    /// The queue sizes of each established connection: bytes that are not delivered, and bytes that are not read.
    fn established(&self) -> impl Iterator<Item = (u64, u64)> {
        const ESTABLISHED: &str = "01";
        let table = std::fs::read_to_string("/proc/net/tcp").expect("a table of sockets");
        let lines: Vec<_> = (table.lines())
            .filter_map(|line| {
                let columns: Vec<&str> = line.split_whitespace().collect();
                let is_own = columns.get(1) == Some(&self.local_address.as_str())
                    && columns.get(3) == Some(&ESTABLISHED);
                let (sent, received) = columns.get(4).filter(|_| is_own)?.split_once(':')?;
                let number = |hex| u64::from_str_radix(hex, 16).ok();
                Some((number(sent)?, number(received)?))
            })
            .collect();
        lines.into_iter()
    }
}
