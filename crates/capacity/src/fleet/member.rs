//! One member: its real cores, the requests open at it, and what it sent.

use super::budgets;
use super::requests::Origin;
use super::traffic::MemberTraffic;
use crate::description::Demand;
use crate::layout::Location;
use std::collections::BTreeMap;
use std::time::Duration;
use trailproxy::units::{RequestId, Timestamp};
use trailproxy_budgets::decide::shares::BudgetShares;
use trailproxy_budgets::decide::{BootId, HolderId};
use trailproxy_peers::decide::locality::{Locality, PeerZoneId, RegionId, SiteId, Topology};
use trailproxy_peers::decide::members::OwnMember;
use trailproxy_peers::decide::messages::{Address, PeerId};
use trailproxy_peers::decide::{Peers, PeersSettings, new_boot_id};

const PORT: u16 = 7_946;

/// Where the replicas of a record are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Placement {
    /// Anywhere in the fleet.
    #[default]
    FleetWide,
    /// In each zone, with relays between zones.
    ByZone,
}

impl Placement {
    pub const ALL: [Placement; 2] = [Placement::FleetWide, Placement::ByZone];

    pub fn name(self) -> &'static str {
        match self {
            Placement::FleetWide => "fleet-wide",
            Placement::ByZone => "by-zone",
        }
    }

    pub fn of_name(name: &str) -> Option<Placement> {
        let mut all = Placement::ALL.into_iter();
        all.find(|placement| placement.name() == name)
    }

    /// What a member at this place is told of the fleet's zones.
    fn topology(self, location: &Location, zones: &[usize]) -> Option<Topology> {
        if self == Placement::FleetWide {
            return None;
        }
        let own = Locality {
            site: SiteId(location.site as u32),
            zone: PeerZoneId(location.zone as u32),
            region: RegionId(location.region as u32),
        };
        let zones = zones.iter().map(|&zone| PeerZoneId(zone as u32));
        Some(Topology::new(own, zones))
    }
}

/// A request that is open at a member.
#[derive(Clone, Copy, Debug)]
pub struct Open {
    pub key: usize,
    pub origin: Origin,
    pub arrived: Timestamp,
    pub attempted: bool,
}

/// A member; without `peers` it is down.
#[derive(Clone)]
pub struct Member {
    pub peers: Option<Peers>,
    pub shares: Option<BudgetShares>,
    pub open: BTreeMap<RequestId, Open>,
    pub traffic: MemberTraffic,
    /// Time that the cores took.
    pub core_time: Duration,
    /// The earliest timer event that is queued.
    pub wakes_at: Option<Timestamp>,
}

impl Member {
    pub fn down() -> Member {
        Member {
            peers: None,
            shares: None,
            open: BTreeMap::new(),
            traffic: MemberTraffic::default(),
            core_time: Duration::ZERO,
            wakes_at: None,
        }
    }

    pub fn is_up(&self) -> bool {
        self.peers.is_some()
    }

    /// When its cores want to be woken.
    pub fn next(&self) -> Option<Timestamp> {
        let peers = self.peers.as_ref()?.next_deadline();
        let shares = self.shares.as_ref().and_then(BudgetShares::next_deadline);
        Some(shares.map_or(peers, |shares| shares.min(peers)))
    }

    /// Its side of the budgets, as the process that it is now.
    pub fn start_budgets(&mut self, now: Timestamp, voters: &[String], seats: usize, seed: u64) {
        let Some(peers) = &self.peers else { return };
        let own = peers.members().own();
        let own = (HolderId(own.id.0), BootId(own.boot_id.0));
        self.shares = Some(budgets::shares(now, own, voters, seats, seed));
    }
}

pub fn name(member: usize) -> String {
    format!("d{member}")
}

pub fn peer_id(member: usize) -> PeerId {
    PeerId::of_name(&name(member))
}

pub fn address(member: usize) -> Address {
    let ip = [127, 1, (member >> 8) as u8, (member & 255) as u8];
    Address { ip, port: PORT }
}

/// Who a member is when it starts.
pub fn own(
    member: usize,
    now: Timestamp,
    seed: u64,
    seeds: Vec<Address>,
    location: &Location,
    zones: &[usize],
    placement: Placement,
) -> OwnMember {
    OwnMember {
        id: peer_id(member),
        address: address(member),
        boot_id: new_boot_id(now, seed),
        seeds,
        topology: placement.topology(location, zones),
    }
}

pub fn rules(demand: &Demand) -> PeersSettings {
    PeersSettings {
        refuse_unconfirmed: demand.refuse,
        ..PeersSettings::sharing_all(demand.wait, demand.keep, demand.purges_last)
    }
}
