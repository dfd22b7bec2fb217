//! Messages between dispatchers. A message consists of a few parts.
//!
//! Every part may be lost, duplicated, late or out of order, and means the same then. Timestamps
//! are by the sender's clock, in microseconds of Unix time, and are converted to the reader's clock
//! when the message is read (see [`super::clocks`]).

use super::facts::{Claim, Fact, FactId};
pub use super::ids::{BootId, PeerId, TimeRange};
use super::ids::{GroupNo, Slot};
use super::locality::Locality;
use serde::{Deserialize, Serialize};
use trailproxy::units::TimeSpan;

/// The IPv4 address to which a member's messages are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Address {
    /// The IP address.
    pub ip: [u8; 4],
    /// The UDP port.
    pub port: u16,
}

/// The status of a member. Of two reports for the same boot id and incarnation, the variant further
/// down applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberStatus {
    /// It answers.
    Alive,
    /// It did not answer, and has not refuted this yet.
    Suspected,
    /// It did not refute a suspicion in time.
    Dead,
    /// It left the fleet in order.
    Left,
}

/// A report about a member. Of two reports the one with the higher [`MemberUpdate::rank`] applies:
/// the later boot id, then the later incarnation, then the status.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The member.
    pub id: PeerId,
    /// Where its messages are sent.
    pub address: Address,
    /// The process that the report is about.
    pub boot_id: BootId,
    /// Raised by the member itself when it learns that others suspect it.
    pub incarnation: u32,
    /// The reported status.
    pub status: MemberStatus,
}

impl MemberUpdate {
    /// The order by which reports about one member are compared.
    pub fn rank(&self) -> (BootId, u32, MemberStatus) {
        (self.boot_id, self.incarnation, self.status)
    }
}

/// The number of an inquiry; the answer repeats it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct InquiryId(pub u64);

/// A summary of what a member knows, sent with pings and their answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberSummary {
    /// Whether the member is in [`super::PeerState::InSync`].
    pub in_sync: bool,
    /// The number of records that it holds.
    pub records: u32,
    /// The last journal position.
    pub journal_position: u64,
    /// A checksum of the present members and their boot ids.
    pub membership_checksum: u64,
}

/// How complete a replica's copy of a slot is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Completeness {
    /// Facts from any time may be missing.
    Partial,
    /// It has everything in which it took part, but not what others did while it was partitioned.
    OwnOnly,
    /// Nothing is missing.
    Complete,
}

/// A part of a message. The order of the variants is part of the wire format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MessagePart {
    /// A ping.
    Ping(InquiryId, MemberSummary),
    /// The answer to a ping.
    Ack(InquiryId, MemberSummary),
    /// Asks the reader to ping a member that the sender does not reach.
    IndirectPing(InquiryId, PeerId, Address),
    /// The member answered the reader's indirect ping.
    IndirectAck(InquiryId, PeerId),
    /// Asks for the list of members.
    MembersRequest,
    /// Reports about members.
    MemberUpdates(Vec<MemberUpdate>),
    /// A breaker opened at `at` for a host that started at `started` (in seconds).
    BreakerOpened { host: u64, started: u64, at: u64 },
    /// Facts for members that hold them; they are not acknowledged.
    Gossip(Vec<Fact>),
    /// The sender is about to send a request with this key and asks what is known of the key.
    /// `claim` is `None` if the sender only asks.
    Claim {
        inquiry_id: InquiryId,
        key: u128,
        claim: Option<Claim>,
    },
    /// Everything that is known of the key. `sure`: any claim that is not listed does not exist,
    /// for as long as it would matter.
    ClaimStatus {
        inquiry_id: InquiryId,
        sure: bool,
        claims: Vec<Claim>,
    },
    /// Facts whose storage has to be acknowledged.
    Store(InquiryId, Vec<Fact>),
    /// The facts of this inquiry are stored.
    Stored(InquiryId),
    /// Checksums of the sender's copies of these slots.
    Checksums(Vec<(Slot, u64)>),
    /// The sender's copies of these slots are the same.
    Same {
        slots: Vec<Slot>,
        completeness: Completeness,
    },
    /// The sender's copies of these slots differ. The sender fetches the reader's facts, and the
    /// reader may fetch the sender's.
    Different(Vec<Slot>),
    /// Asks for facts of a slot, after the given one.
    PageRequest { slot: Slot, after: Option<FactId> },
    /// Facts of a slot. `end`: there are no further ones.
    Page {
        slot: Slot,
        after: Option<FactId>,
        facts: Vec<Fact>,
        end: bool,
        completeness: Completeness,
    },
    /// From the command line: asks for the status text.
    StatusRequest(InquiryId),
    /// From the command line: leave the fleet and serve alone (`true`), or join it again (`false`).
    Leave(InquiryId, bool),
    /// The answer to a request from the command line.
    OperatorReply(InquiryId, String),
    /// From the command line: asks for the status text of a subsystem.
    SubsystemStatusRequest(InquiryId, u8),
    /// A message of another subsystem: its number, and bytes that it decodes itself.
    Subsystem(u8, Vec<u8>),
    /// The location of the sender.
    SenderLocality(Locality),
    /// The locations of the members in the preceding updates, in the same order.
    MemberLocalities(Vec<Option<Locality>>),
    /// As [`MessagePart::Claim`], from a member whose zone has its own replicas to one of these.
    ClaimInZone {
        inquiry_id: InquiryId,
        key: u128,
        claim: Option<Claim>,
    },
    /// Claims made in the sender's zone.
    Relay(Relay),
    /// As [`MessagePart::Checksums`], over the facts whose timestamp is in this range only. The
    /// answers are the same.
    ChecksumsInRange(TimeRange, Vec<(Slot, u64)>),
}

/// A replica's log of claims. A new log starts with each process and whenever a member becomes a
/// replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogId(pub u32);

/// Claims in a group of slots, for a replica in another zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Relay {
    /// The group of slots.
    pub group: GroupNo,
    /// The sender's log.
    pub log: LogId,
    /// The number of the first entry in this message.
    pub first: u64,
    /// Whether the log has no earlier entry that matters.
    pub is_first: bool,
    /// Whether the log has no entry after these.
    pub last: bool,
    /// The entries, in the order of the log.
    pub entries: Vec<Entry>,
    /// Whether the log contains every claim made in the sender's zone.
    pub complete: bool,
    /// The stamp of the last relay from the reader that arrived.
    pub echo: Option<u64>,
    /// The reader's log, and the number of its first entry that has not arrived.
    pub ack: Option<(LogId, u64)>,
    /// A checksum of the list of zones.
    pub zones: u32,
    /// The zones from which the sender receives relays, as a bit set of their positions in the list
    /// of zones.
    pub reachable_zones: u64,
}

impl Relay {
    /// The approximate encoded size in bytes.
    pub fn size(&self) -> usize {
        const HEAD: usize = 36;
        const ENTRY: usize = Entry::KEY_BYTES + 2;
        HEAD + ENTRY * self.entries.len()
    }
}

/// A claim in a relay.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// A part of the key.
    pub key: [u8; Entry::KEY_BYTES],
    /// Twice the age in steps of [`Entry::AGE_STEP`], plus one if the key was released.
    age: u32,
}

impl Entry {
    /// The length of the part of the key.
    pub const KEY_BYTES: usize = 5;
    /// The resolution of ages. With it, ages of the last few seconds take one byte.
    const AGE_STEP: TimeSpan = TimeSpan::from_millis(50);

    /// An entry for a claim (`claimed`) or a release of this age.
    pub fn new(key: [u8; Entry::KEY_BYTES], age: TimeSpan, claimed: bool) -> Entry {
        let steps = (age.0 / Entry::AGE_STEP.0).min(u64::from(u32::MAX >> 1)) as u32;
        let age = steps << 1 | u32::from(!claimed);
        Entry { key, age }
    }

    /// The age, and whether the key is claimed.
    pub fn age(&self) -> (TimeSpan, bool) {
        let steps = u64::from(self.age >> 1);
        (TimeSpan(steps * Entry::AGE_STEP.0), self.age & 1 == 0)
    }
}

/// A message from one member to another.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// The sender.
    pub from: PeerId,
    /// The boot id of the sender.
    pub boot_id: BootId,
    /// The incarnation of the sender.
    pub incarnation: u32,
    /// When the message was written, by the sender's clock.
    pub stamp: u64,
    /// The parts, in the order in which they are handled.
    pub parts: Vec<MessagePart>,
}
