//! Identifiers and small values that all parts of this module share.

use serde::{Deserialize, Serialize};
use trailproxy::units::Timestamp;

/// A member of the fleet, identified by its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PeerId(pub u64);

impl PeerId {
    /// The member with this name.
    pub fn of_name(name: &str) -> PeerId {
        PeerId(trailproxy::units::HostId::of_name(name).0)
    }
}

/// The number of one process under a member's name; a later process has a higher number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct BootId(pub u64);

/// A part of all facts. Every member holds the common slots, and a few members hold each of the
/// others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Slot(pub u16);

/// The number of slots for records, which are assigned by key. More slots make lists of checksums
/// longer; with fewer slots, one differing record causes more data to be fetched.
pub const RECORD_SLOTS: u16 = 256;
/// The number of slots for purges and hosts; their numbers follow those of the record slots.
pub const COMMON_SLOTS: u16 = 8;

impl Slot {
    /// All slots.
    pub fn all() -> impl Iterator<Item = Slot> {
        (0..RECORD_SLOTS + COMMON_SLOTS).map(Slot)
    }

    /// Whether every member holds the slot.
    pub fn is_common(self) -> bool {
        self.0 >= RECORD_SLOTS
    }
}

/// The number of record slots that have the same replicas within a zone. Fewer groups mean fewer
/// members to relay claims to.
pub const SLOTS_IN_GROUP: u16 = 16;

/// A group of slots with the same replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GroupNo(pub u8);

impl GroupNo {
    /// The group of a slot; `None` for a common slot, which all members hold.
    pub fn of(slot: Slot) -> Option<GroupNo> {
        (!slot.is_common()).then_some(GroupNo((slot.0 / SLOTS_IN_GROUP) as u8))
    }

    /// All groups.
    pub fn all() -> impl Iterator<Item = GroupNo> {
        (0..RECORD_SLOTS / SLOTS_IN_GROUP).map(|nth| GroupNo(nth as u8))
    }

    /// The slots of the group.
    pub fn slots(self) -> impl Iterator<Item = Slot> {
        let first = u16::from(self.0) * SLOTS_IN_GROUP;
        (first..first + SLOTS_IN_GROUP).map(Slot)
    }
}

/// A range of timestamps by the sender's clock: `from` is included, `until` is not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimeRange {
    /// The first timestamp in the range.
    pub from: u64,
    /// The first timestamp after the range.
    pub until: u64,
}

impl TimeRange {
    /// Whether a timestamp is in the range.
    pub fn contains(&self, at: Timestamp) -> bool {
        (self.from..self.until).contains(&at.0)
    }
}

/// Mixes the bits of a number so that results are evenly distributed.
pub fn mix(n: u64) -> u64 {
    let mut x = n.wrapping_add(0x9e37_79b9_7f4a_7c15);
    for factor in [0xbf58_476d_1ce4_e5b9, 0x94d0_49bb_1331_11eb] {
        x = (x ^ (x >> 30)).wrapping_mul(factor);
    }
    x ^ (x >> 31)
}
