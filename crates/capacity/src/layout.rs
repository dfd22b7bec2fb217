//! Where each member is: sites filled in proportion to their seats, for a fleet of any size.

use crate::description::{Description, Distance, Distances};
use serde::Serialize;

/// Where one member is, and its load beside the mean of all members.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Location {
    pub site: usize,
    pub zone: usize,
    pub region: usize,
    pub load: f64,
}

/// How close two members are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Proximity {
    SameSite,
    SameZone,
    SameRegion,
    OtherRegion,
}

impl Proximity {
    pub const ALL: [Proximity; 4] = [
        Proximity::SameSite,
        Proximity::SameZone,
        Proximity::SameRegion,
        Proximity::OtherRegion,
    ];
}

impl Location {
    pub fn proximity(&self, other: &Location) -> Proximity {
        if self.site == other.site {
            Proximity::SameSite
        } else if self.zone == other.zone {
            Proximity::SameZone
        } else if self.region == other.region {
            Proximity::SameRegion
        } else {
            Proximity::OtherRegion
        }
    }
}

/// The members' places and the distances between them.
#[derive(Clone, Debug, PartialEq)]
pub struct Layout {
    pub members: Vec<Location>,
    pub regions: usize,
    distances: Distances,
}

impl Layout {
    /// Places so many members at the sites that are described.
    pub fn new(description: &Description, members: usize) -> Layout {
        let seats: Vec<usize> = description.sites.iter().map(|site| site.seats).collect();
        let mut placed = Vec::with_capacity(members);
        for (site, &count) in apportion(&seats, members).iter().enumerate() {
            let of = &description.sites[site];
            let location = Location {
                site,
                zone: of.zone,
                region: description.zones[of.zone].region,
                load: of.load,
            };
            placed.extend(std::iter::repeat_n(location, count));
        }
        normalize_load(&mut placed);
        Layout {
            members: placed,
            regions: description.regions.len(),
            distances: description.distances,
        }
    }

    /// Zones that have a member.
    pub fn zones(&self) -> Vec<usize> {
        let mut zones: Vec<usize> = self.members.iter().map(|member| member.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        zones
    }

    /// Sites that have a member.
    pub fn sites(&self) -> usize {
        let mut sites: Vec<usize> = self.members.iter().map(|member| member.site).collect();
        sites.dedup();
        sites.len()
    }

    pub fn proximity(&self, one: usize, other: usize) -> Proximity {
        self.members[one].proximity(&self.members[other])
    }

    pub fn distance(&self, one: usize, other: usize) -> Distance {
        match self.proximity(one, other) {
            Proximity::SameSite => self.distances.site,
            Proximity::SameZone => self.distances.zone,
            Proximity::SameRegion => self.distances.region,
            Proximity::OtherRegion => self.distances.between_regions,
        }
    }

    /// The site with the most members.
    pub fn largest_site(&self) -> usize {
        let count = |site: usize| self.members.iter().filter(|of| of.site == site).count();
        let sites = self.members.iter().map(|member| member.site);
        sites.max_by_key(|&site| count(site)).unwrap_or_default()
    }
}

/// Divides `members` in proportion to `seats`, by the largest remainders.
fn apportion(seats: &[usize], members: usize) -> Vec<usize> {
    let all: usize = seats.iter().sum::<usize>().max(1);
    let mut counts: Vec<usize> = seats.iter().map(|seats| seats * members / all).collect();
    let mut remainders: Vec<(usize, usize)> = seats
        .iter()
        .enumerate()
        .map(|(site, seats)| (seats * members % all, site))
        .collect();
    remainders.sort_by_key(|&(remainder, site)| (std::cmp::Reverse(remainder), site));
    let left = members - counts.iter().sum::<usize>();
    for &(_, site) in remainders.iter().take(left) {
        counts[site] += 1;
    }
    counts
}

/// Makes the mean load of all members 1.
fn normalize_load(members: &mut [Location]) {
    let sum: f64 = members.iter().map(|member| member.load).sum();
    let mean = sum / members.len().max(1) as f64;
    for member in members {
        member.load = if mean > 0.0 { member.load / mean } else { 1.0 };
    }
}
