//! Clients that send small messages without a pause, within the protocol or not.

use crate::harness::{Client, encode_revoke, fields};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// How many messages are encoded at a time.
const BATCH: usize = 500;

/// What a client sends without a pause.
#[derive(Clone, Copy, Debug)]
pub enum Flood {
    Heartbeats,
    /// Requests that cannot be read, under ever new names.
    InvalidRequests,
    /// Requests that are revoked at once, so that the client never has more open than it may.
    RevokedRequests,
}

impl Flood {
    /// All kinds.
    pub const ALL: [Flood; 3] = [
        Flood::Heartbeats,
        Flood::InvalidRequests,
        Flood::RevokedRequests,
    ];

    /// Sends until `stop` is set or the connection ends, and reads everything that is received.
    pub fn run(self, mut client: Client, stop: &Arc<AtomicBool>) {
        let mut incoming = client.stream.try_clone().expect("a clone");
        std::thread::spawn(move || {
            let mut piece = vec![0; 1 << 16];
            while incoming.read(&mut piece).is_ok_and(|n| n > 0) {}
        });
        let mut bytes = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            bytes.clear();
            for _ in 0..BATCH {
                self.encode(&mut client, &mut bytes);
            }
            if client.stream.write_all(&bytes).is_err() {
                break;
            }
        }
    }

    fn encode(self, client: &mut Client, out: &mut Vec<u8>) {
        let next = client.last_number() + 1;
        match self {
            Flood::Heartbeats => out.extend(client.encode("heartbeat", vec![], &[])),
            Flood::InvalidRequests => {
                out.extend(client.encode(&format!("method-{next}"), vec![], &[]));
            }
            Flood::RevokedRequests => {
                out.extend(client.encode("image", fields(next, 3000), &[]));
                out.extend(encode_revoke(next));
            }
        }
    }
}

/// Sends the same message until `stop` is set or the connection ends, and reads nothing.
pub fn repeat(stream: &TcpStream, message: &[u8], stop: &Arc<AtomicBool>) {
    let bytes = message.repeat(BATCH);
    let mut stream = stream;
    while !stop.load(Ordering::Relaxed) && stream.write_all(&bytes).is_ok() {}
}
