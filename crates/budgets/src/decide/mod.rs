//! One notion of a budget, and the two sides of its division.
//!
//! A budget's *whole* is split once and for all: a *floor* for each seat, which is that dispatcher's own even when it is
//! cut off, and a *pool* of equal tickets. A ticket is used by whoever holds the word of more than half of the voters for
//! it, and a voter gives its word for a ticket to one at a time. Words run out by themselves: with the holder, who counts
//! from when it asked, before the voter, who counts from when it answered, and a little longer. So whatever is lost, late,
//! paused or cut, two never use one ticket, and floors and tickets together never are more than the whole.

pub mod follower;
pub mod holder;
pub mod shares;
pub mod traffic;
pub mod voter;

use serde::{Deserialize, Serialize};
use trailproxy::units::TimeSpan;

/// A dispatcher, by the number that all know it by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HolderId(pub u64);

impl HolderId {
    /// By its name, as it is known to the others.
    pub fn of_name(name: &str) -> HolderId {
        HolderId(trailproxy::units::HostId::of_name(name).0)
    }
}

/// One process of a dispatcher: what a former one held is not this one's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BootId(pub u64);

/// A budget, by its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BudgetId(pub u64);

impl BudgetId {
    /// The same in every dispatcher.
    pub fn of_name(name: &str) -> BudgetId {
        BudgetId(trailproxy::units::HostId::of_name(name).0)
    }
}

/// A voter, by its place among them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VoterId(pub u8);

/// A part of the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TicketId(pub u16);

/// One question and its answer.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequestNo(pub u64);

/// How a budget is divided; the same in all dispatchers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Division {
    /// Seats that a floor is kept for, and the part of the whole that all floors together have.
    pub dispatchers: u32,
    pub floor_share: f64,
    /// Twice as many as seats, or more: with fewer some have none when all want.
    pub tickets: u16,
    pub voters: u8,
    /// How long a word lasts with its holder. Longer is steadier, shorter gives a dead one's part back sooner.
    pub lease_duration: TimeSpan,
    /// What has begun under a ticket may go on for so long after its end: nothing for a rate, the outer limit for work
    /// under way.
    pub guard_time: TimeSpan,
}

/// By how much two clocks may drift apart over a word, as a part of it.
pub const DRIFT: f64 = 0.02;

impl Division {
    /// One floor, as a part of the whole.
    pub fn floor(&self) -> f64 {
        self.floor_share / f64::from(self.dispatchers.max(1))
    }

    /// One ticket, as a part of the whole.
    pub fn ticket(&self) -> f64 {
        (1.0 - self.floor_share) / f64::from(self.tickets.max(1))
    }

    /// Tells this division from any other: words of one say nothing of another's tickets.
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

    pub fn majority(&self) -> usize {
        usize::from(self.voters) / 2 + 1
    }

    /// With a voter, a word ends after this.
    pub fn voter_lease(&self) -> TimeSpan {
        self.lease_duration.mul_f64(1.0 + DRIFT) + self.guard_time
    }

    /// With its holder, counted from when it asked.
    pub fn holder_lease(&self) -> TimeSpan {
        self.lease_duration.mul_f64(1.0 - DRIFT)
    }
}

/// From a holder to a voter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    pub no: RequestNo,
    pub holder: HolderId,
    pub boot: BootId,
    /// Held tickets, whose words are to go on, then further ones that are wanted.
    pub renew: Vec<TicketId>,
    pub acquire: Vec<TicketId>,
    /// Not used any more, and not before they are asked for again.
    pub release: Vec<TicketId>,
    /// How many it could use in all, how many of those for what goes first, and how many with something in reserve.
    pub need: u16,
    pub priority_need: u16,
    pub need_with_reserve: u16,
    /// Where all is to be given out by weight, whatever each could use: this one's; else 0.
    pub weight: u32,
}

/// From a voter to a holder.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseGrant {
    pub no: RequestNo,
    /// Whom it is for: a process that took another's place must not take its words.
    pub boot: BootId,
    /// These are the holder's, as far as this voter goes.
    pub granted: Vec<TicketId>,
    /// Nobody's, as far as this voter goes: some of them.
    pub free: Vec<TicketId>,
    /// So many may stay with the holder while others want.
    pub fair_share: u16,
}
