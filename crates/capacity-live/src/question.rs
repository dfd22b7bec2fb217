//! How a dispatcher says that it stands with the others, asked over its datagram socket as an operator would.

use crate::surroundings::FLEET;
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::UdpSocket;
use tokio::time::timeout;
use trailproxy_peers::decide::messages::{BootId, InquiryId, Message, MessagePart, PeerId};
use trailproxy_peers::wire::{MAX_DATAGRAM_BYTES, Seal};

/// An answer that does not come by then is asked for again.
const ANSWER_WITHIN: Duration = Duration::from_millis(500);
const TRIES: u64 = 6;

/// What one dispatcher said.
#[derive(Clone, Debug, PartialEq)]
pub struct Standing {
    /// The first word: `alone`, `fetching`, `whole`, `shadowed` or `left`.
    pub word: String,
    /// How many others it counts as alive.
    pub alive: usize,
    /// Messages that it read and wrote since its start, by its own count.
    pub messages_in: u64,
    pub messages_out: u64,
}

/// Asks it.
pub async fn ask(address: SocketAddrV4) -> io::Result<Standing> {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    socket.connect(address).await?;
    let seal = Seal::new(FLEET, b"");
    let mut heard = vec![0; MAX_DATAGRAM_BYTES + 1];
    for nth in 0..TRIES {
        let question = question(InquiryId(nth + 1));
        let bytes = seal.write(&question).ok_or(io::ErrorKind::InvalidInput)?;
        // Nobody listens there yet: the next try may find it.
        let _ = socket.send(&bytes).await;
        let Ok(Ok(size)) = timeout(ANSWER_WITHIN, socket.recv(&mut heard)).await else {
            continue;
        };
        if let Some(standing) = answer(&seal, &heard[..size]) {
            return Ok(standing);
        }
    }
    let why = format!("{address} does not say how it stands");
    Err(io::Error::new(io::ErrorKind::TimedOut, why))
}

fn question(no: InquiryId) -> Message {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    Message {
        from: PeerId(0),
        boot_id: BootId(0),
        incarnation: 0,
        stamp: now.map_or(0, |since| since.as_micros() as u64),
        parts: vec![MessagePart::StatusRequest(no)],
    }
}

fn answer(seal: &Seal, bytes: &[u8]) -> Option<Standing> {
    let (message, _) = seal.read(bytes).ok()?;
    match message.parts.first()? {
        MessagePart::OperatorReply(_, text) => standing(text),
        _ => None,
    }
}

/// Reads the line that a dispatcher says of itself.
pub fn standing(text: &str) -> Option<Standing> {
    let (word, rest) = text.split_once(": ")?;
    Some(Standing {
        word: word.to_owned(),
        alive: number(rest, "alive=")? as usize,
        messages_in: number(rest, "letters_in: ")?,
        messages_out: number(rest, "letters_out: ")?,
    })
}

/// The whole number behind a name.
fn number(text: &str, name: &str) -> Option<u64> {
    let (_, behind) = text.split_once(name)?;
    let digits = behind.split(|c: char| !c.is_ascii_digit()).next()?;
    digits.parse().ok()
}
