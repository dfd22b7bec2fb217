//! Assignment of slots to replicas. Members that know the same fleet compute the same replicas.
//!
//! Replicas are chosen by rendezvous hashing, position by position, so that when a member leaves,
//! only its own positions are reassigned. Without localities they are chosen from the whole fleet.
//! If every member reports its location, each zone has its own replicas, so that a claim waits only
//! for members nearby; claims of other zones arrive through [`super::relay`].

pub use super::ids::{GroupNo, SLOTS_IN_GROUP};
use super::ids::{PeerId, RECORD_SLOTS, Slot, mix};
use super::locality::{Locality, PeerZoneId, Topology};
use std::collections::BTreeMap;
use trailproxy::units::{TimeSpan, Timestamp};

/// The number of replicas of a slot. More of them cost messages with every claim; with fewer,
/// records are lost when two members die together.
pub const REPLICAS_PER_SLOT: usize = 3;
/// How long former replicas are asked as well after the fleet has changed: they know what the new
/// replicas are still fetching.
const FORMER_REPLICA_PERIOD: TimeSpan = TimeSpan::from_secs(5);
/// From which members replicas are chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Scope {
    /// From all members, whatever their distance.
    #[default]
    Fleet,
    /// From the members of each zone.
    Zone,
}

/// A member and its location; `None` if it does not report one.
pub type Located = (PeerId, Option<Locality>);

/// The replicas of all slots.
#[derive(Clone, Debug, Default)]
pub struct Replicas {
    topology: Option<Topology>,
    scope: Scope,
    fleet: Vec<Located>,
    by_slot: Vec<Vec<PeerId>>,
    former: Vec<Vec<PeerId>>,
    former_until: Timestamp,
    /// The members of each zone, including the own zone. From them the replicas of other zones are
    /// computed for groups held here.
    by_zone: BTreeMap<PeerZoneId, Vec<PeerId>>,
}

/// What a change of the fleet changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaChange {
    /// Nothing changed.
    Nothing,
    /// The members changed.
    Members,
    /// Replicas are chosen from another set of members: no copy counts as complete any more.
    Scope,
}

/// The replicas of a slot among the members of the fleet.
fn rendezvous_replicas(slot: Slot, fleet: &[PeerId]) -> Vec<PeerId> {
    let salt = mix(u64::from(slot.0));
    let mut best: Vec<(u64, PeerId)> = Vec::with_capacity(REPLICAS_PER_SLOT + 1);
    for &id in fleet {
        let score = mix(id.0 ^ salt);
        let at = best.partition_point(|&(other, _)| other > score);
        if at < REPLICAS_PER_SLOT {
            best.insert(at, (score, id));
            best.truncate(REPLICAS_PER_SLOT);
        }
    }
    best.into_iter().map(|(_, id)| id).collect()
}

/// The replicas of a group among the members of one zone, by position. Each position has its own
/// order of members, so that the members in other positions stay when one of them leaves.
fn replicas_of_group(group: GroupNo, members: &[PeerId]) -> Vec<PeerId> {
    let mut replicas: Vec<PeerId> = Vec::with_capacity(REPLICAS_PER_SLOT);
    for position in 0..REPLICAS_PER_SLOT as u64 {
        let score = |id: &PeerId| mix(id.0 ^ mix(u64::from(group.0) << 8 | position));
        let free = members.iter().filter(|id| !replicas.contains(id));
        if let Some(&best) = free.max_by_key(|id| score(id)) {
            replicas.push(best);
        }
    }
    replicas
}

impl Replicas {
    /// Replicas of a fleet without members.
    pub fn new(topology: Option<Topology>) -> Replicas {
        Replicas {
            topology,
            ..Replicas::default()
        }
    }

    /// From which members replicas are chosen.
    pub fn scope(&self) -> Scope {
        self.scope
    }

    /// The zones of the fleet, if this member reports its location.
    pub fn topology(&self) -> Option<&Topology> {
        self.topology.as_ref()
    }

    /// Sets the members of the fleet, in any order.
    pub fn set_members(&mut self, now: Timestamp, mut fleet: Vec<Located>) -> ReplicaChange {
        fleet.sort_unstable();
        if fleet == self.fleet {
            return ReplicaChange::Nothing;
        }
        let all_located = fleet.iter().all(|(_, locality)| locality.is_some());
        let scope = match &self.topology {
            Some(_) if all_located => Scope::Zone,
            _ => Scope::Fleet,
        };
        let by_slot = match (scope, &self.topology) {
            (Scope::Zone, Some(topology)) => {
                self.by_zone = by_zone(&fleet);
                let own = self.by_zone.get(&topology.own.zone);
                let own = own.map_or(&[][..], Vec::as_slice);
                let of_group = |group| vec![replicas_of_group(group, own); SLOTS_IN_GROUP.into()];
                GroupNo::all().flat_map(of_group).collect()
            }
            _ => {
                self.by_zone.clear();
                let members: Vec<PeerId> = fleet.iter().map(|&(id, _)| id).collect();
                let slots = (0..RECORD_SLOTS).map(|slot| rendezvous_replicas(Slot(slot), &members));
                slots.collect::<Vec<_>>()
            }
        };
        self.former = std::mem::replace(&mut self.by_slot, by_slot);
        self.former_until = now + FORMER_REPLICA_PERIOD;
        let first = self.fleet.is_empty();
        self.fleet = fleet;
        let before = std::mem::replace(&mut self.scope, scope);
        match before == scope || first {
            true => ReplicaChange::Members,
            false => ReplicaChange::Scope,
        }
    }

    /// The replicas of a record slot. Common slots are held by all members.
    pub fn of(&self, slot: Slot) -> &[PeerId] {
        self.by_slot
            .get(usize::from(slot.0))
            .map_or(&[], Vec::as_slice)
    }

    /// Members that were replicas of a slot until recently and are not any more.
    pub fn former(&self, now: Timestamp, slot: Slot) -> impl Iterator<Item = PeerId> {
        let former = self.former.get(usize::from(slot.0));
        let former = former.filter(|_| now < self.former_until).into_iter();
        let present = self.of(slot);
        former.flatten().copied().filter(|id| !present.contains(id))
    }

    /// Whether a member holds a slot.
    pub fn is_replica(&self, id: PeerId, slot: Slot) -> bool {
        slot.is_common() || self.of(slot).contains(&id)
    }

    /// The replicas of a group in the own zone, by position.
    fn own_replicas(&self, group: GroupNo) -> &[PeerId] {
        group.slots().next().map_or(&[], |first| self.of(first))
    }

    /// The groups of which a member is a replica, if each zone has its own replicas.
    pub fn groups(&self, id: PeerId) -> Vec<GroupNo> {
        if self.scope == Scope::Fleet {
            return Vec::new();
        }
        let kept = GroupNo::all().filter(|group| self.own_replicas(*group).contains(&id));
        kept.collect()
    }

    /// The members of another zone that report claims of that zone to `id`: the replica with the
    /// same position and, if one zone has fewer positions, the replicas whose positions fall on the
    /// same one. So any two positions of one zone and any majority of the positions of the other
    /// include a pair of partners.
    pub fn partners(&self, id: PeerId, group: GroupNo, zone: PeerZoneId) -> Vec<PeerId> {
        let own = self.own_replicas(group);
        let members = self.by_zone.get(&zone);
        let theirs = members.map_or_else(Vec::new, |members| replicas_of_group(group, members));
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
