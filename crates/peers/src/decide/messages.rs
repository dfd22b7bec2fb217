//! What dispatchers say to each other: messages of a few notes each.
//!
//! Every note may be lost, doubled, late or out of order, and means the same then. Points in time are the writer's, in
//! microseconds of Unix time; a message whose own stamp is too far from the reader's clock is not read at all, so that no
//! writer's clock is ahead of a reader's by more than [`super::MAX_CLOCK_SKEW`].

use super::facts::{Claim, Fact, FactId, Slot};
use super::locality::Locality;
use super::replicas::GroupNo;
use serde::{Deserialize, Serialize};
use trailproxy::units::{TimeSpan, Timestamp};

/// A member of the fleet, by its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PeerId(pub u64);

impl PeerId {
    pub fn of_name(name: &str) -> PeerId {
        PeerId(trailproxy::units::HostId::of_name(name).0)
    }
}

/// One process under a name: a later one has a higher number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct BootId(pub u64);

/// Where a member is written to: IPv4.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Address {
    pub ip: [u8; 4],
    pub port: u16,
}

/// How a member stands; what is further down holds against what is further up of the same life and incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberStatus {
    Alive,
    Suspected,
    Dead,
    Left,
}

/// What somebody says of a member. The greater of two holds: a later life, then a later incarnation, then [`MemberStatus`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    pub id: PeerId,
    pub address: Address,
    pub boot_id: BootId,
    /// Raised by the member itself, when it hears that it is doubted.
    pub incarnation: u32,
    pub status: MemberStatus,
}

impl MemberUpdate {
    pub fn rank(&self) -> (BootId, u32, MemberStatus) {
        (self.boot_id, self.incarnation, self.status)
    }
}

/// One question that is answered with its number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct InquiryId(pub u64);

/// How much one knows, told with signs of life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberSummary {
    pub in_sync: bool,
    pub records: u32,
    /// The last place in the journal.
    pub journal_position: u64,
    /// A sum of who is there, and in which life.
    pub membership_checksum: u64,
}

/// How much of a slot its keeper has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Completeness {
    /// Something may be lacking, from any time.
    Partial,
    /// All that it took part in, and not what others did while it was cut off.
    OwnOnly,
    Complete,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MessagePart {
    Ping(InquiryId, MemberSummary),
    Ack(InquiryId, MemberSummary),
    /// Ping that one for me: I don't reach it.
    IndirectPing(InquiryId, PeerId, Address),
    /// It is alive, though you don't reach it.
    IndirectAck(InquiryId, PeerId),
    /// Who is there?
    MembersRequest,
    MemberUpdates(Vec<MemberUpdate>),
    /// A breaker opened at that moment, for a host that started then (in seconds).
    BreakerOpened {
        host: u64,
        started: u64,
        at: u64,
    },
    /// Facts for whoever keeps them; nothing is answered.
    Gossip(Vec<Fact>),
    /// I am about to send under this key: what is known of it? `claim` is none where it only looks.
    Claim {
        inquiry_id: InquiryId,
        key: u128,
        claim: Option<Claim>,
    },
    /// All that is known of the key; `sure`: what is not there never was, for as long as it matters.
    ClaimStatus {
        inquiry_id: InquiryId,
        sure: bool,
        claims: Vec<Claim>,
    },
    /// Facts that the writer wants to be sure of.
    Store(InquiryId, Vec<Fact>),
    Stored(InquiryId),
    /// Sums of what I have in these slots.
    Checksums(Vec<(Slot, u64)>),
    /// The same here.
    Same {
        slots: Vec<Slot>,
        completeness: Completeness,
    },
    /// Not the same here: I fetch what you have, and you may fetch what I have.
    Different(Vec<Slot>),
    /// Give me what you have of a slot, from after that fact on.
    PageRequest {
        slot: Slot,
        after: Option<FactId>,
    },
    /// `end`: there is no more of it.
    Page {
        slot: Slot,
        after: Option<FactId>,
        facts: Vec<Fact>,
        end: bool,
        completeness: Completeness,
    },
    /// From the command line: how do you stand?
    StatusRequest(InquiryId),
    /// From the command line: leave the fleet and serve alone, or come back to it.
    Leave(InquiryId, bool),
    OperatorReply(InquiryId, String),
    /// From the command line: how does that subsystem stand?
    SubsystemStatusRequest(InquiryId, u8),
    /// Of another subsystem, which reads it by itself: its number, and its bytes.
    Subsystem(u8, Vec<u8>),
    /// Where the writer is.
    SenderLocality(Locality),
    /// Where the members of the updates just before are, in their order.
    MemberLocalities(Vec<Option<Locality>>),
    /// As [`MessagePart::Claim`], of a writer whose zone has replicas of its own, to one of them.
    ClaimInZone {
        inquiry_id: InquiryId,
        key: u128,
        claim: Option<Claim>,
    },
    /// What is claimed in the writer's zone.
    Relay(Relay),
    /// As [`MessagePart::Checksums`], of what was last of use within this time only. It is answered in the same way.
    ChecksumsInRange(TimeRange, Vec<(Slot, u64)>),
}

/// A range of time, from its first moment to the one before the last, by the writer's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimeRange {
    pub from: u64,
    pub until: u64,
}

impl TimeRange {
    pub fn contains(&self, at: Timestamp) -> bool {
        (self.from..self.until).contains(&at.0)
    }
}

/// One replica's log of claims; another one is begun with each process and whenever a member becomes a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogId(pub u32);

/// What was claimed of a group of slots, to a replica in another zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Relay {
    pub group: GroupNo,
    pub log: LogId,
    /// The number of the first entry here.
    pub first: u64,
    /// Whether the log has none before it that matters.
    pub is_first: bool,
    /// Whether it has none after those here.
    pub last: bool,
    pub entries: Vec<Entry>,
    /// Whether all that is claimed in the writer's zone is in the log.
    pub complete: bool,
    /// The stamp of the reader's last relay that came.
    pub echo: Option<u64>,
    /// The reader's log, and the first number of it that has not come.
    pub ack: Option<(LogId, u64)>,
    /// A checksum of the list of zones, and those of it that the writer hears, by their places.
    pub zones: u32,
    pub reachable_zones: u64,
}

impl Relay {
    /// About what it fills of a message, in bytes.
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
    /// Its age in steps, doubled; odd where the key is free again.
    age: u32,
}

impl Entry {
    pub const KEY_BYTES: usize = 5;
    /// Ages are told in such steps, so that those of the last seconds fill one byte.
    const AGE_STEP: TimeSpan = TimeSpan::from_millis(50);

    pub fn new(key: [u8; Entry::KEY_BYTES], age: TimeSpan, claimed: bool) -> Entry {
        let steps = (age.0 / Entry::AGE_STEP.0).min(u64::from(u32::MAX >> 1)) as u32;
        let age = steps << 1 | u32::from(!claimed);
        Entry { key, age }
    }

    /// How long ago, and whether it is claimed.
    pub fn age(&self) -> (TimeSpan, bool) {
        let steps = u64::from(self.age >> 1);
        (TimeSpan(steps * Entry::AGE_STEP.0), self.age & 1 == 0)
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    pub from: PeerId,
    pub boot_id: BootId,
    pub incarnation: u32,
    /// When it was written, by the writer's clock.
    pub stamp: u64,
    pub parts: Vec<MessagePart>,
}
