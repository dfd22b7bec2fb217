//! What a budget is, and the two sides that divide it.
//!
//! The total of a budget is split in a fixed way: a *floor* for each dispatcher, which it may use
//! even when it is partitioned, and a *pool* of equal tickets. A dispatcher may use a ticket while
//! it holds leases for it from more than half of the voters, and a voter leases a ticket to one
//! dispatcher at a time. Leases expire by themselves: at the holder, which counts from when it sent
//! the request, before they do at the voter, which counts from when it answered and a little
//! longer. So whatever is lost, late, paused or partitioned, no two dispatchers use one ticket, and
//! floors and tickets together never exceed the total.

/// The budgets of one dispatcher and what uses each of them.
pub mod follower;
/// The side that requests leases.
pub mod holder;
/// All budgets of one dispatcher.
pub mod shares;
/// The rate of requests, as a weight.
pub mod traffic;
/// The side that grants leases.
pub mod voter;

use serde::{Deserialize, Serialize};
use trailproxy::units::TimeSpan;

/// A dispatcher, under the same number for all dispatchers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HolderId(pub u64);

impl HolderId {
    /// The number for a name by which the other dispatchers know this one.
    pub fn of_name(name: &str) -> HolderId {
        HolderId(trailproxy::units::HostId::of_name(name).0)
    }
}

/// One process of a dispatcher. Leases of a former process do not belong to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BootId(pub u64);

/// A budget, identified by its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BudgetId(pub u64);

impl BudgetId {
    /// The number for a name; the same in every dispatcher.
    pub fn of_name(name: &str) -> BudgetId {
        BudgetId(trailproxy::units::HostId::of_name(name).0)
    }
}

/// A voter, by its position in the list of voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VoterId(pub u8);

/// One ticket of the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TicketId(pub u16);

/// Number of a lease request, which its answer repeats.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequestNo(pub u64);

/// How a budget is divided; the same in all dispatchers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Division {
    /// Number of dispatchers that a floor is kept for.
    pub dispatchers: u32,
    /// Share of the total that all floors together have.
    pub floor_share: f64,
    /// At least twice as many as dispatchers; with fewer, some dispatchers have none when all want
    /// tickets.
    pub tickets: u16,
    /// Number of voters.
    pub voters: u8,
    /// How long a lease lasts at its holder. A longer lease is steadier, a shorter one frees the
    /// part of a dead dispatcher sooner.
    pub lease_duration: TimeSpan,
    /// How long work that was started under a ticket may continue after the lease ends: zero for a
    /// rate, the deadline of requests for work in flight.
    pub guard_time: TimeSpan,
}

/// By how much two clocks may drift apart during a lease, as a fraction of it.
pub const DRIFT: f64 = 0.02;

impl Division {
    /// One floor, as a fraction of the total.
    pub fn floor(&self) -> f64 {
        self.floor_share / f64::from(self.dispatchers.max(1))
    }

    /// One ticket, as a fraction of the total.
    pub fn ticket(&self) -> f64 {
        (1.0 - self.floor_share) / f64::from(self.tickets.max(1))
    }

    /// Distinguishes this division from any other. A lease under one division says nothing about
    /// the tickets of another.
    pub fn checksum(&self) -> u32 {
        let parts = [
            u64::from(self.dispatchers),
            self.floor_share.to_bits(),
            u64::from(self.tickets),
            u64::from(self.voters),
            self.lease_duration.0,
            self.guard_time.0,
        ];
        let folded = parts.into_iter().fold(0, |sum: u64, part| {
            (sum ^ part)
                .wrapping_mul(0x9e37_79b9_7f4a_7c15)
                .rotate_left(23)
        });
        (folded >> 32) as u32
    }

    /// Number of voters that is more than half.
    pub fn majority(&self) -> usize {
        usize::from(self.voters) / 2 + 1
    }

    /// Duration of a lease at the voter.
    pub fn voter_lease(&self) -> TimeSpan {
        self.lease_duration.mul_f64(1.0 + DRIFT) + self.guard_time
    }

    /// Duration of a lease at its holder, counted from when the request was sent.
    pub fn holder_lease(&self) -> TimeSpan {
        self.lease_duration.mul_f64(1.0 - DRIFT)
    }
}

/// Message from a holder to a voter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Number of the request.
    pub no: RequestNo,
    /// The dispatcher that sends the request.
    pub holder: HolderId,
    /// Its process.
    pub boot: BootId,
    /// Held tickets whose leases are to be renewed.
    pub renew: Vec<TicketId>,
    /// Further tickets that are wanted.
    pub acquire: Vec<TicketId>,
    /// Tickets that are no longer used, and will not be before they are requested again.
    pub release: Vec<TicketId>,
    /// How many tickets the holder could use in all.
    pub need: u16,
    /// How many of those are for what has priority.
    pub priority_need: u16,
    /// How many it could use including a reserve.
    pub need_with_reserve: u16,
    /// For a budget that is divided by weight, whatever each dispatcher could use: the holder's
    /// weight; else 0.
    pub weight: u32,
}

/// Message from a voter to a holder.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// Number of the request that this answers.
    pub no: RequestNo,
    /// The process that sent the request: a process that takes another's place must not use its
    /// leases.
    pub boot: BootId,
    /// Tickets that this voter leases to the holder.
    pub granted: Vec<TicketId>,
    /// Some of the tickets that this voter leases to nobody.
    pub free: Vec<TicketId>,
    /// How many tickets the holder may keep while others want some.
    pub fair_share: u16,
}
