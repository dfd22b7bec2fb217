//! Messages as datagrams: postcard, each note by itself, so that one of a newer version is passed over, and a keyed sum
//! behind, so that nothing of another fleet is read.

use crate::decide::messages::{BootId, Message, MessagePart, PeerId};
use serde::{Deserialize, Serialize};

/// The form of the head. A note of a kind that is not known is left out by its reader; a head never changes but with this.
pub const VERSION: u8 = 1;
/// No longer datagram is read or written.
pub const MAX_DATAGRAM_BYTES: usize = 16 << 10;
const SUM: usize = 16;

/// Tells the messages of one fleet from all others'.
#[derive(Clone)]
pub struct Seal([u8; 32]);

#[derive(Serialize, Deserialize)]
struct Head {
    version: u8,
    from: PeerId,
    boot_id: BootId,
    incarnation: u32,
    stamp: u64,
}

/// Why a datagram was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// Another fleet's, or spoilt on its way.
    Foreign,
    /// Of a version that this one does not know the head of.
    Newer,
    Garbled,
}

impl Seal {
    /// `fleet` names the fleet; `secret` may be empty where nobody else can write to its addresses.
    pub fn new(fleet: &str, secret: &[u8]) -> Seal {
        let mut words = (fleet.len() as u64).to_le_bytes().to_vec();
        words.extend(fleet.as_bytes());
        words.extend(secret);
        Seal(blake3::derive_key(
            "trailproxy letters between dispatchers, 1",
            &words,
        ))
    }

    fn sum(&self, bytes: &[u8]) -> [u8; SUM] {
        let mut sum = [0; SUM];
        sum.copy_from_slice(&blake3::keyed_hash(&self.0, bytes).as_bytes()[..SUM]);
        sum
    }

    /// `None`: it is longer than any that is read.
    pub fn write(&self, message: &Message) -> Option<Vec<u8>> {
        let head = Head {
            version: VERSION,
            from: message.from,
            boot_id: message.boot_id,
            incarnation: message.incarnation,
            stamp: message.stamp,
        };
        let mut bytes = postcard::to_allocvec(&head).ok()?;
        for part in &message.parts {
            let part = postcard::to_allocvec(part).ok()?;
            bytes.extend(u16::try_from(part.len()).ok()?.to_le_bytes());
            bytes.extend(part);
        }
        bytes.extend(self.sum(&bytes));
        (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
    }

    /// The message, and how many of its notes are of kinds that this version does not know.
    pub fn read(&self, bytes: &[u8]) -> Result<(Message, usize), ReadError> {
        let at = bytes.len().checked_sub(SUM).ok_or(ReadError::Garbled)?;
        let (bytes, sum) = bytes.split_at(at);
        let right = self.sum(bytes);
        // Every byte is looked at, so that the time it takes tells nothing.
        let off = right.iter().zip(sum).fold(0, |off, (a, b)| off | (a ^ b));
        if off != 0 {
            return Err(ReadError::Foreign);
        }
        if bytes.first().is_some_and(|&version| version != VERSION) {
            return Err(ReadError::Newer);
        }
        let (head, mut rest) =
            postcard::take_from_bytes::<Head>(bytes).map_err(|_| ReadError::Garbled)?;
        let (mut parts, mut unknown) = (Vec::new(), 0);
        while !rest.is_empty() {
            let Some((size, behind)) = rest.split_first_chunk::<2>() else {
                return Err(ReadError::Garbled);
            };
            let size = usize::from(u16::from_le_bytes(*size));
            let Some((part, behind)) = behind.split_at_checked(size) else {
                return Err(ReadError::Garbled);
            };
            match postcard::take_from_bytes::<MessagePart>(part) {
                Ok((part, _)) => parts.push(part),
                Err(_) => unknown += 1,
            }
            rest = behind;
        }
        let message = Message {
            from: head.from,
            boot_id: head.boot_id,
            incarnation: head.incarnation,
            stamp: head.stamp,
            parts,
        };
        Ok((message, unknown))
    }
}
