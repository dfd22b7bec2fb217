//! Messages as datagrams.
//!
//! A datagram is a postcard-encoded head, the parts of the message, each encoded separately after
//! its length, and a keyed checksum. A reader skips parts of kinds that it does not know, as newer
//! versions send them. The checksum keeps messages of other fleets out.

use crate::decide::messages::{BootId, Message, MessagePart, PeerId};
use serde::{Deserialize, Serialize};

/// The version of the head. The head changes only together with this number; unknown kinds of parts
/// are skipped without a change of version.
pub const VERSION: u8 = 1;
/// The longest datagram that is written or read.
pub const MAX_DATAGRAM_BYTES: usize = 16 << 10;
/// Length of the checksum in bytes.
const CHECKSUM_BYTES: usize = 16;

/// The key with which a fleet authenticates its messages.
#[derive(Clone)]
pub struct Seal([u8; 32]);

/// The head of a datagram.
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
    /// It is from another fleet, or was corrupted on its way.
    Foreign,
    /// Its head has a version that this program does not know.
    Newer,
    /// It can't be decoded.
    Garbled,
}

impl Seal {
    /// `fleet` is the fleet's name. `secret` may be empty if nobody else can send to the fleet's
    /// addresses.
    pub fn new(fleet: &str, secret: &[u8]) -> Seal {
        let mut key_material = (fleet.len() as u64).to_le_bytes().to_vec();
        key_material.extend(fleet.as_bytes());
        key_material.extend(secret);
        Seal(blake3::derive_key(
            "trailproxy letters between dispatchers, 1",
            &key_material,
        ))
    }

    fn checksum(&self, bytes: &[u8]) -> [u8; CHECKSUM_BYTES] {
        let mut checksum = [0; CHECKSUM_BYTES];
        checksum.copy_from_slice(&blake3::keyed_hash(&self.0, bytes).as_bytes()[..CHECKSUM_BYTES]);
        checksum
    }

    /// Encodes a message; `None` if it exceeds [`MAX_DATAGRAM_BYTES`].
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
        bytes.extend(self.checksum(&bytes));
        (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
    }

    /// Decodes a message. Also returns the number of skipped parts of unknown kinds.
    pub fn read(&self, bytes: &[u8]) -> Result<(Message, usize), ReadError> {
        let at = bytes
            .len()
            .checked_sub(CHECKSUM_BYTES)
            .ok_or(ReadError::Garbled)?;
        let (bytes, checksum) = bytes.split_at(at);
        let expected = self.checksum(bytes);
        // Every byte is compared, so that the time taken reveals nothing about the checksum.
        let difference = expected
            .iter()
            .zip(checksum)
            .fold(0, |difference, (a, b)| difference | (a ^ b));
        if difference != 0 {
            return Err(ReadError::Foreign);
        }
        if bytes.first().is_some_and(|&version| version != VERSION) {
            return Err(ReadError::Newer);
        }
        let (head, mut rest) =
            postcard::take_from_bytes::<Head>(bytes).map_err(|_| ReadError::Garbled)?;
        let (mut parts, mut unknown) = (Vec::new(), 0);
        while !rest.is_empty() {
            let Some((size, rest_after)) = rest.split_first_chunk::<2>() else {
                return Err(ReadError::Garbled);
            };
            let size = usize::from(u16::from_le_bytes(*size));
            let Some((part, rest_after)) = rest_after.split_at_checked(size) else {
                return Err(ReadError::Garbled);
            };
            match postcard::take_from_bytes::<MessagePart>(part) {
                Ok((part, _)) => parts.push(part),
                Err(_) => unknown += 1,
            }
            rest = rest_after;
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
