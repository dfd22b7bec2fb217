//! Locations of members: sites within zones within regions, as the operator's file names them.

use serde::{Deserialize, Serialize};
use trailproxy::units::HostId;

macro_rules! named {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(pub u32);

        impl $name {
            /// The number of a name, the same in every dispatcher.
            pub fn of_name(name: &str) -> $name {
                $name((HostId::of_name(name).0 >> 32) as u32)
            }
        }
    )*};
}

named! {
    /// A site: machines less than a millisecond apart.
    SiteId;
    /// A zone of dispatchers: sites so near that a keyed request can wait for an answer from each
    /// of them.
    PeerZoneId;
    /// A region: zones that share the network of a continent.
    RegionId;
}

/// The location of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Locality {
    /// The site.
    pub site: SiteId,
    /// The zone.
    pub zone: PeerZoneId,
    /// The region.
    pub region: RegionId,
}

/// The distance of two members: the smallest area that includes both.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    SameSite,
    SameZone,
    SameRegion,
    OtherRegion,
}

impl Locality {
    /// The location with these names in the operator's file.
    pub fn of_names(site: &str, zone: &str, region: &str) -> Locality {
        Locality {
            site: SiteId::of_name(site),
            zone: PeerZoneId::of_name(zone),
            region: RegionId::of_name(region),
        }
    }

    /// The distance to another location.
    pub fn distance(self, other: Locality) -> Distance {
        if self.region != other.region {
            Distance::OtherRegion
        } else if self.zone != other.zone {
            Distance::SameRegion
        } else if self.site != other.site {
            Distance::SameZone
        } else {
            Distance::SameSite
        }
    }
}

/// All zones of the fleet, and the location of this member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Topology {
    /// The location of this member.
    pub own: Locality,
    zones: Vec<PeerZoneId>,
}

impl Topology {
    /// `zones` are the zones that the operator's file names, in any order. The own zone is added if
    /// it is missing.
    pub fn new(own: Locality, zones: impl IntoIterator<Item = PeerZoneId>) -> Topology {
        let mut zones: Vec<PeerZoneId> = zones.into_iter().chain([own.zone]).collect();
        zones.sort_unstable();
        zones.dedup();
        Topology { own, zones }
    }

    /// All zones, in the same order in every member.
    pub fn zones(&self) -> &[PeerZoneId] {
        &self.zones
    }

    /// All zones except the own one.
    pub fn other_zones(&self) -> impl Iterator<Item = PeerZoneId> {
        let own = self.own.zone;
        self.zones.iter().copied().filter(move |&zone| zone != own)
    }

    /// Whether these zones are more than half of all zones. Of two halves, the one with the first
    /// zone counts as the majority.
    pub fn is_majority(&self, present: &[PeerZoneId]) -> bool {
        let count = 2 * present.len();
        let has_first = self
            .zones
            .first()
            .is_some_and(|first| present.contains(first));
        count > self.zones.len() || (count == self.zones.len() && has_first)
    }

    /// A checksum of the list of zones. Only members with the same list can read a bit set of
    /// positions in it.
    pub fn checksum(&self) -> u32 {
        let fold =
            |sum: u32, zone: &PeerZoneId| (sum ^ zone.0).wrapping_mul(0x9e37_79b1).rotate_left(13);
        self.zones.iter().fold(self.zones.len() as u32, fold)
    }
}
