//! What members send and receive, by kind of note, and the work of their cores.

use serde::Serialize;
use trailproxy::units::{TimeSpan, Timestamp};
use trailproxy_peers::decide::facts::Fact;
use trailproxy_peers::decide::messages::{Message, MessagePart};
use trailproxy_peers::wire::Seal;

/// Headers of IPv4 and UDP.
const HEADER_BYTES: u64 = 28;
/// The length in front of each note.
const NOTE_LENGTH_BYTES: u64 = 2;
const ONE_SECOND: TimeSpan = TimeSpan::from_secs(1);

/// The kinds of notes, in the order of their names here.
pub const NOTE_KINDS: [&str; 24] = [
    "ping",
    "ack",
    "ping_for",
    "ack_for",
    "join",
    "updates",
    "opened",
    "rumours",
    "claim",
    "stood",
    "put",
    "taken",
    "sums",
    "same",
    "differ",
    "pull",
    "page",
    "beside",
    "record_told",
    "relay",
    "located",
    "sums_within",
    "other",
    "none",
];
const NO_NOTE: usize = 23;

fn is_record(facts: &[Fact]) -> bool {
    matches!(facts.first(), Some(Fact::Record { .. }))
}

fn kind_of(note: &MessagePart) -> usize {
    match note {
        MessagePart::Ping(..) => 0,
        MessagePart::Ack(..) => 1,
        MessagePart::IndirectPing(..) => 2,
        MessagePart::IndirectAck(..) => 3,
        MessagePart::MembersRequest => 4,
        MessagePart::MemberUpdates(_) => 5,
        MessagePart::BreakerOpened { .. } => 6,
        MessagePart::Gossip(facts) if is_record(facts) => 18,
        MessagePart::Gossip(_) => 7,
        MessagePart::Claim { .. } | MessagePart::ClaimInZone { .. } => 8,
        MessagePart::ClaimStatus { .. } => 9,
        MessagePart::Store(..) => 10,
        MessagePart::Stored(_) => 11,
        MessagePart::Checksums(_) => 12,
        MessagePart::Same { .. } => 13,
        MessagePart::Different(_) => 14,
        MessagePart::PageRequest { .. } => 15,
        MessagePart::Page { .. } => 16,
        MessagePart::Subsystem(..) => 17,
        MessagePart::Relay(_) => 19,
        MessagePart::SenderLocality(_) | MessagePart::MemberLocalities(_) => 20,
        MessagePart::ChecksumsInRange(..) => 21,
        _ => 22,
    }
}

/// Messages and their bytes on the wire.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Volume {
    pub messages: u64,
    pub bytes: u64,
}

impl Volume {
    fn add(&mut self, bytes: u64) {
        self.messages += 1;
        self.bytes += bytes;
    }
}

/// Bytes of the second under way and of the worst one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Peak {
    second: u64,
    bytes: u64,
    worst: u64,
}

impl Peak {
    fn add(&mut self, now: Timestamp, bytes: u64) {
        let second = now.0 / ONE_SECOND.0;
        if second != self.second {
            *self = Peak {
                second,
                bytes: 0,
                worst: self.worst,
            };
        }
        self.bytes += bytes;
        self.worst = self.worst.max(self.bytes);
    }
}

/// What one member sent, received and handled while it was counted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberTraffic {
    pub sent: Volume,
    pub received: Volume,
    /// A message with notes of several kinds counts with each of them; its head counts with the first.
    pub kinds: [Volume; NOTE_KINDS.len()],
    pub events: u64,
    peak: Peak,
}

impl MemberTraffic {
    pub fn received(&mut self, now: Timestamp, bytes: u64) {
        self.received.add(bytes);
        self.peak.add(now, bytes);
    }

    pub fn sent(&mut self, now: Timestamp, message: &Message, bytes: u64) {
        self.sent.add(bytes);
        self.peak.add(now, bytes);
        let Some((first, rest)) = message.parts.split_first() else {
            return self.kinds[NO_NOTE].add(bytes);
        };
        let mut left = bytes;
        for note in rest {
            let size = note_bytes(note);
            self.kinds[kind_of(note)].add(size);
            left = left.saturating_sub(size);
        }
        self.kinds[kind_of(first)].add(left);
    }

    /// Messages sent with notes of the kind of this one.
    pub fn sent_of(&self, note: &MessagePart) -> Volume {
        self.kinds[kind_of(note)]
    }

    /// Bytes sent and received in the worst second.
    pub fn peak_bytes(&self) -> u64 {
        self.peak.worst
    }
}

fn note_bytes(note: &MessagePart) -> u64 {
    let bytes = postcard::to_allocvec(note).map_or(0, |bytes| bytes.len() as u64);
    bytes + NOTE_LENGTH_BYTES
}

/// The size of a message as a datagram with its headers; `None`: it is longer than any datagram, and not sent.
pub fn datagram_bytes(seal: &Seal, message: &Message) -> Option<u64> {
    let bytes = seal.write(message)?;
    Some(bytes.len() as u64 + HEADER_BYTES)
}
