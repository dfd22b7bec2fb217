//! Which members keep which records: a few replicas for each slot, the same ones for all who know the same fleet.
//!
//! Replicas are drawn by rendezvous hashing, seat by seat, so that a member that goes takes only its own seats with it.
//! Without localities they are drawn from the whole fleet. Where every member says where it is, each zone has replicas of
//! its own, so that a claim waits for near members only; what other zones claim comes by [`super::relay`].

use super::facts::{RECORD_SLOTS, Slot, mix};
use super::locality::{Locality, PeerZoneId, Topology};
use super::messages::PeerId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use trailproxy::units::{TimeSpan, Timestamp};

/// So many members keep a slot. More cost messages on every claim, fewer lose a record with two that die together.
pub const REPLICAS_PER_SLOT: usize = 3;
/// So long after the fleet changed, the former keepers are asked as well: they know what the new ones still fetch.
const FORMER_REPLICA_PERIOD: TimeSpan = TimeSpan::from_secs(5);
/// Slots of records with the same replicas within a zone: fewer groups mean fewer members to relay claims to.
pub const SLOTS_IN_GROUP: u16 = 16;

/// Slots that are kept by the same members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GroupNo(pub u8);

impl GroupNo {
    /// `None`: a common slot, which all keep.
    pub fn of(slot: Slot) -> Option<GroupNo> {
        (!slot.is_common()).then_some(GroupNo((slot.0 / SLOTS_IN_GROUP) as u8))
    }

    pub fn all() -> impl Iterator<Item = GroupNo> {
        (0..RECORD_SLOTS / SLOTS_IN_GROUP).map(|nth| GroupNo(nth as u8))
    }

    pub fn slots(self) -> impl Iterator<Item = Slot> {
        let first = u16::from(self.0) * SLOTS_IN_GROUP;
        (first..first + SLOTS_IN_GROUP).map(Slot)
    }
}

/// From whom replicas are drawn.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Scope {
    /// From all members, whatever the distance.
    #[default]
    Fleet,
    /// From the members of each zone.
    Zone,
}

/// Members and where they are; `None`: a member that does not say.
pub type Located = (PeerId, Option<Locality>);

#[derive(Clone, Debug, Default)]
pub struct Replicas {
    topology: Option<Topology>,
    scope: Scope,
    fleet: Vec<Located>,
    of: Vec<Vec<PeerId>>,
    former: Vec<Vec<PeerId>>,
    former_until: Timestamp,
    /// The members of each zone, the own one among them; seats of other zones are drawn for the groups that are kept here.
    by_zone: BTreeMap<PeerZoneId, Vec<PeerId>>,
}

/// What a change of the fleet did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Changed {
    Nothing,
    Members,
    /// Replicas are drawn from another set than before: nothing that was whole is.
    Scope,
}

/// The first few in the order of one slot.
fn rendezvous_replicas(slot: Slot, fleet: &[PeerId]) -> Vec<PeerId> {
    let salt = mix(u64::from(slot.0));
    let mut few: Vec<(u64, PeerId)> = Vec::with_capacity(REPLICAS_PER_SLOT + 1);
    for &id in fleet {
        let drawn = mix(id.0 ^ salt);
        let at = few.partition_point(|&(other, _)| other > drawn);
        if at < REPLICAS_PER_SLOT {
            few.insert(at, (drawn, id));
            few.truncate(REPLICAS_PER_SLOT);
        }
    }
    few.into_iter().map(|(_, id)| id).collect()
}

/// The seats of a group among the members of one zone. Each seat has an order of its own, so that the members in the
/// other seats stay where they are when one of them goes.
fn replica_positions(group: GroupNo, members: &[PeerId]) -> Vec<PeerId> {
    let mut replica_positions: Vec<PeerId> = Vec::with_capacity(REPLICAS_PER_SLOT);
    for position in 0..REPLICAS_PER_SLOT as u64 {
        let drawn = |id: &PeerId| mix(id.0 ^ mix(u64::from(group.0) << 8 | position));
        let free = members.iter().filter(|id| !replica_positions.contains(id));
        if let Some(&best) = free.max_by_key(|id| drawn(id)) {
            replica_positions.push(best);
        }
    }
    replica_positions
}

impl Replicas {
    pub fn new(topology: Option<Topology>) -> Replicas {
        Replicas {
            topology,
            ..Replicas::default()
        }
    }

    pub fn scope(&self) -> Scope {
        self.scope
    }

    pub fn topology(&self) -> Option<&Topology> {
        self.topology.as_ref()
    }

    /// Another fleet, in any order.
    pub fn set_members(&mut self, now: Timestamp, mut fleet: Vec<Located>) -> Changed {
        fleet.sort_unstable();
        if fleet == self.fleet {
            return Changed::Nothing;
        }
        let all_say = fleet.iter().all(|(_, locality)| locality.is_some());
        let scope = match &self.topology {
            Some(_) if all_say => Scope::Zone,
            _ => Scope::Fleet,
        };
        let of = match (scope, &self.topology) {
            (Scope::Zone, Some(topology)) => {
                self.by_zone = by_zone(&fleet);
                let own = self.by_zone.get(&topology.own.zone);
                let own = own.map_or(&[][..], Vec::as_slice);
                let of_group = |group| vec![replica_positions(group, own); SLOTS_IN_GROUP.into()];
                GroupNo::all().flat_map(of_group).collect()
            }
            _ => {
                self.by_zone.clear();
                let members: Vec<PeerId> = fleet.iter().map(|&(id, _)| id).collect();
                let slots = (0..RECORD_SLOTS).map(|slot| rendezvous_replicas(Slot(slot), &members));
                slots.collect::<Vec<_>>()
            }
        };
        self.former = std::mem::replace(&mut self.of, of);
        self.former_until = now + FORMER_REPLICA_PERIOD;
        let first = self.fleet.is_empty();
        self.fleet = fleet;
        let before = std::mem::replace(&mut self.scope, scope);
        match before == scope || first {
            true => Changed::Members,
            false => Changed::Scope,
        }
    }

    /// Who keeps a slot of records; all keep the common ones.
    pub fn of(&self, slot: Slot) -> &[PeerId] {
        self.of.get(usize::from(slot.0)).map_or(&[], Vec::as_slice)
    }

    /// Who kept it lately, and does not now.
    pub fn former(&self, now: Timestamp, slot: Slot) -> impl Iterator<Item = PeerId> {
        let former = self.former.get(usize::from(slot.0));
        let former = former.filter(|_| now < self.former_until).into_iter();
        let present = self.of(slot);
        former.flatten().copied().filter(|id| !present.contains(id))
    }

    pub fn is_replica(&self, id: PeerId, slot: Slot) -> bool {
        slot.is_common() || self.of(slot).contains(&id)
    }

    /// The seats of a group in the own zone, in their order.
    fn own_replicas(&self, group: GroupNo) -> &[PeerId] {
        group.slots().next().map_or(&[], |first| self.of(first))
    }

    /// Groups of which this member keeps a replica, where each zone has its own.
    pub fn groups(&self, id: PeerId) -> Vec<GroupNo> {
        if self.scope == Scope::Fleet {
            return Vec::new();
        }
        let kept = GroupNo::all().filter(|group| self.own_replicas(*group).contains(&id));
        kept.collect()
    }

    /// The members of another zone that tell this one what is claimed there: whoever has the same seat, and, where one
    /// zone has fewer seats, whoever has one that falls on the same. So any two seats of one zone and any majority of
    /// seats of the other have a pair in common.
    pub fn partners(&self, id: PeerId, group: GroupNo, zone: PeerZoneId) -> Vec<PeerId> {
        let own = self.own_replicas(group);
        let members = self.by_zone.get(&zone);
        let theirs = members.map_or_else(Vec::new, |members| replica_positions(group, members));
        let Some(position) = own.iter().position(|&member| member == id) else {
            return Vec::new();
        };
        let fewest = own.len().min(theirs.len()).max(1);
        let paired = theirs.iter().enumerate();
        let paired = paired.filter(|(other, _)| other % fewest == position % fewest);
        paired.map(|(_, &member)| member).collect()
    }
}

fn by_zone(fleet: &[Located]) -> BTreeMap<PeerZoneId, Vec<PeerId>> {
    let mut members: BTreeMap<PeerZoneId, Vec<PeerId>> = BTreeMap::new();
    for &(id, locality) in fleet {
        if let Some(locality) = locality {
            members.entry(locality.zone).or_default().push(id);
        }
    }
    members
}
