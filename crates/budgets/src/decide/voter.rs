//! The side that grants leases: which holder has the lease of this voter for which ticket.
//!
//! A voter remembers nothing across restarts. One that has just started may have granted leases
//! before, and grants none until every lease that it could have granted has expired.

use super::{BootId, Division, HolderId, LeaseGrant, LeaseRequest, RequestNo, TicketId};
use std::collections::BTreeMap;
use trailproxy::units::{TimeSpan, Timestamp};

/// Limit of free tickets reported in one answer.
const MAX_FREE_REPORTED: usize = 128;
/// A holder that was not heard of for this long needs nothing.
const NEED_RETENTION: TimeSpan = TimeSpan::from_secs(2);

/// A lease that this voter granted.
#[derive(Clone, Copy, Debug)]
struct GrantedLease {
    holder: (HolderId, BootId),
    /// The last request that it was granted to. Earlier requests can't release it.
    no: RequestNo,
    valid_until: Timestamp,
}

/// What a holder said of its needs.
#[derive(Clone, Copy, Debug)]
struct HolderNeeds {
    need: u16,
    priority_need: u16,
    need_with_reserve: u16,
    weight: u32,
    last_seen_at: Timestamp,
}

/// The leases that one voter granted for one budget.
#[derive(Clone, Debug)]
pub struct LeaseVoter {
    division: Division,
    silent_until: Timestamp,
    leases: BTreeMap<TicketId, GrantedLease>,
    needs: BTreeMap<HolderId, HolderNeeds>,
}

/// Needs of more holders are not remembered; those holders get leases, but are not counted in the
/// division.
const MAX_HOLDERS: usize = 1_024;

impl LeaseVoter {
    /// A voter that has just started and remembers nothing.
    pub fn new(now: Timestamp, division: Division) -> LeaseVoter {
        LeaseVoter {
            silent_until: now + division.voter_lease(),
            division,
            leases: BTreeMap::new(),
            needs: BTreeMap::new(),
        }
    }

    /// Leases that are valid, for checks.
    pub fn granted_leases(&self, now: Timestamp) -> impl Iterator<Item = (TicketId, HolderId)> {
        let valid = self
            .leases
            .iter()
            .filter(move |(_, lease)| now < lease.valid_until);
        valid.map(|(&ticket, lease)| (ticket, lease.holder.0))
    }

    /// Answers a request; `None` while the voter can't grant leases yet.
    pub fn on_request(&mut self, now: Timestamp, request: &LeaseRequest) -> Option<LeaseGrant> {
        if now < self.silent_until {
            return None;
        }
        self.leases.retain(|_, lease| now < lease.valid_until);
        self.needs
            .retain(|_, needs| now.since(needs.last_seen_at) < NEED_RETENTION);
        let requester = (request.holder, request.boot);
        for ticket in &request.release {
            let lease = self.leases.get(ticket);
            if lease.is_some_and(|lease| lease.holder == requester && lease.no < request.no) {
                self.take_back(now, *ticket);
            }
        }
        if self.needs.len() < MAX_HOLDERS || self.needs.contains_key(&request.holder) {
            let (need, priority_need, last_seen_at) =
                (request.need, request.priority_need.min(request.need), now);
            let (need_with_reserve, weight) = (request.need_with_reserve.max(need), request.weight);
            self.needs.insert(
                request.holder,
                HolderNeeds {
                    need,
                    priority_need,
                    need_with_reserve,
                    weight,
                    last_seen_at,
                },
            );
        }
        let fair_share = self.fair_share(request.holder);
        let valid_until = now + self.division.voter_lease();
        let mut granted = Vec::new();
        // Tickets beyond the fair number are not renewed; those within it are renewed before new
        // ones are granted.
        for &ticket in request.renew.iter().chain(&request.acquire) {
            let has_room =
                granted.len() < usize::from(fair_share) && ticket.0 < self.division.tickets;
            let is_available = self
                .leases
                .get(&ticket)
                .is_none_or(|known| known.holder == requester);
            if has_room && is_available && !granted.contains(&ticket) {
                let known = self
                    .leases
                    .get(&ticket)
                    .map_or(request.no, |lease| lease.no);
                let no = known.max(request.no);
                self.leases.insert(
                    ticket,
                    GrantedLease {
                        holder: requester,
                        no,
                        valid_until,
                    },
                );
                granted.push(ticket);
            }
        }
        Some(LeaseGrant {
            no: request.no,
            boot: request.boot,
            granted,
            free: self.free(request),
            fair_share,
        })
    }

    /// Takes a ticket back. Work that was started under it may still be running.
    fn take_back(&mut self, now: Timestamp, ticket: TicketId) {
        let valid_until = now + self.division.guard_time;
        if self.division.guard_time == TimeSpan::ZERO {
            self.leases.remove(&ticket);
        } else if let Some(lease) = self.leases.get_mut(&ticket) {
            // Belongs to nobody and can't be leased before that time.
            lease.holder = (HolderId(u64::MAX), BootId(u64::MAX));
            lease.valid_until = lease.valid_until.min(valid_until);
        }
    }

    /// Some free tickets. The first one is the same at all voters for one request, and differs
    /// between holders.
    fn free(&self, request: &LeaseRequest) -> Vec<TicketId> {
        let tickets = u64::from(self.division.tickets.max(1));
        let first = request
            .holder
            .0
            .wrapping_mul(0x9e37_79b9_7f4a_7c15)
            .rotate_left(17);
        let first =
            first.wrapping_add(request.no.0.wrapping_mul(MAX_FREE_REPORTED as u64)) % tickets;
        let all = (0..tickets).map(|n| TicketId(((first + n) % tickets) as u16));
        let free = all.filter(|ticket| !self.leases.contains_key(ticket));
        free.take(MAX_FREE_REPORTED).collect()
    }

    /// The fair number of tickets of a holder: all that it needs with its reserve where there is
    /// enough. Otherwise the priority needs of all come before any other need, and those before any
    /// reserve. Each is divided evenly, and what one holder does not need goes to the others.
    fn fair_share(&self, holder: HolderId) -> u16 {
        let Some(own) = self.needs.get(&holder) else {
            return 0;
        };
        let all = || self.needs.values();
        if own.weight > 0 {
            let weights: u64 = all().map(|needs| u64::from(needs.weight)).sum();
            let part = u64::from(self.division.tickets) * u64::from(own.weight) / weights.max(1);
            return part.max(1) as u16;
        }
        let (priority_need, left) = divide_evenly(
            self.division.tickets,
            all().map(|needs| needs.priority_need),
            own.priority_need,
        );
        let other_need = |needs: &HolderNeeds| needs.need - needs.priority_need;
        let (other, left) = divide_evenly(left, all().map(other_need), other_need(own));
        let reserve = |needs: &HolderNeeds| needs.need_with_reserve - needs.need;
        let (reserve, _) = divide_evenly(left, all().map(reserve), reserve(own));
        let fair_share = priority_need + other + reserve;
        fair_share.max(u16::from(own.need > 0))
    }
}

/// What a holder that needs `own` gets of `tickets`, and what is left when all needs are met.
fn divide_evenly(tickets: u16, needs: impl Iterator<Item = u16>, own: u16) -> (u16, u16) {
    let mut needs: Vec<u16> = needs.collect();
    needs.sort_unstable();
    let (mut rest, mut count, mut own_share) = (tickets, needs.len() as u16, None);
    for need in needs {
        let each = rest / count.max(1);
        if need > each {
            return (own_share.unwrap_or_else(|| own.min(each)), 0);
        }
        if need == own {
            own_share = Some(own);
        }
        (rest, count) = (rest - need, count - 1);
    }
    (own, rest)
}
