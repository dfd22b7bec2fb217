//! Who has a voter's word for which ticket.
//!
//! A voter has no memory but its own. One that starts may have given its word before, and keeps silent until every word
//! that it could have given has run out.

use super::{BootId, Division, HolderId, LeaseGrant, LeaseRequest, RequestNo, TicketId};
use std::collections::BTreeMap;
use trailproxy::units::{TimeSpan, Timestamp};

/// Free tickets told with one answer.
const FREE_TOLD: usize = 128;
/// A holder that is not heard of for so long wants nothing.
const WANTS_FOR: TimeSpan = TimeSpan::from_secs(2);

#[derive(Clone, Copy, Debug)]
struct Given {
    to: (HolderId, BootId),
    /// The last question that it was given to: what was said before that gives nothing back.
    no: RequestNo,
    until: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct Wants {
    need: u16,
    first: u16,
    ahead: u16,
    weight: u32,
    heard: Timestamp,
}

#[derive(Clone, Debug)]
pub struct LeaseVoter {
    division: Division,
    silent_until: Timestamp,
    given: BTreeMap<TicketId, Given>,
    wants: BTreeMap<HolderId, Wants>,
}

/// More holders are not kept in mind; they are served, and not counted on.
const MOST_HOLDERS: usize = 1_024;

impl LeaseVoter {
    /// A voter that remembers nothing.
    pub fn new(now: Timestamp, division: Division) -> LeaseVoter {
        LeaseVoter {
            silent_until: now + division.voter_lease(),
            division,
            given: BTreeMap::new(),
            wants: BTreeMap::new(),
        }
    }

    /// Words that stand, for a check.
    pub fn granted_leases(&self, now: Timestamp) -> impl Iterator<Item = (TicketId, HolderId)> {
        let stands = self
            .given
            .iter()
            .filter(move |(_, given)| now < given.until);
        stands.map(|(&ticket, given)| (ticket, given.to.0))
    }

    /// `None`: it can't give its word yet.
    pub fn on_request(&mut self, now: Timestamp, ask: &LeaseRequest) -> Option<LeaseGrant> {
        if now < self.silent_until {
            return None;
        }
        self.given.retain(|_, given| now < given.until);
        self.wants
            .retain(|_, wants| now.since(wants.heard) < WANTS_FOR);
        let by = (ask.holder, ask.boot);
        for ticket in &ask.release {
            let given = self.given.get(ticket);
            if given.is_some_and(|given| given.to == by && given.no < ask.no) {
                self.give_back(now, *ticket);
            }
        }
        if self.wants.len() < MOST_HOLDERS || self.wants.contains_key(&ask.holder) {
            let (need, first, heard) = (ask.need, ask.priority_need.min(ask.need), now);
            let (ahead, weight) = (ask.need_with_reserve.max(need), ask.weight);
            self.wants.insert(
                ask.holder,
                Wants {
                    need,
                    first,
                    ahead,
                    weight,
                    heard,
                },
            );
        }
        let fair = self.fair(ask.holder);
        let until = now + self.division.voter_lease();
        let mut given = Vec::new();
        // What it has beyond its part runs out where others want it; what it has within is renewed first.
        for &ticket in ask.renew.iter().chain(&ask.acquire) {
            let room = given.len() < usize::from(fair) && ticket.0 < self.division.tickets;
            let theirs = self.given.get(&ticket).is_none_or(|known| known.to == by);
            if room && theirs && !given.contains(&ticket) {
                let known = self.given.get(&ticket).map_or(ask.no, |given| given.no);
                let no = known.max(ask.no);
                self.given.insert(ticket, Given { to: by, no, until });
                given.push(ticket);
            }
        }
        Some(LeaseGrant {
            no: ask.no,
            boot: ask.boot,
            granted: given,
            free: self.free(ask),
            fair_share: fair,
        })
    }

    /// What was given back may still have work under way.
    fn give_back(&mut self, now: Timestamp, ticket: TicketId) {
        let until = now + self.division.guard_time;
        if self.division.guard_time == TimeSpan::ZERO {
            self.given.remove(&ticket);
        } else if let Some(given) = self.given.get_mut(&ticket) {
            // Nobody's, and not to be had before then.
            given.to = (HolderId(u64::MAX), BootId(u64::MAX));
            given.until = given.until.min(until);
        }
    }

    /// From a place on that is the same for one question at all voters, and another for each asker.
    fn free(&self, ask: &LeaseRequest) -> Vec<TicketId> {
        let tickets = u64::from(self.division.tickets.max(1));
        let from = ask
            .holder
            .0
            .wrapping_mul(0x9e37_79b9_7f4a_7c15)
            .rotate_left(17);
        let from = from.wrapping_add(ask.no.0.wrapping_mul(FREE_TOLD as u64)) % tickets;
        let all = (0..tickets).map(|n| TicketId(((from + n) % tickets) as u16));
        let free = all.filter(|ticket| !self.given.contains_key(ticket));
        free.take(FREE_TOLD).collect()
    }

    /// How many tickets are this holder's part: all that it needs where there is enough, with its reserve; else what goes first
    /// of all before the rest of any, and that before any reserve, each evenly, what one does not need going to the others.
    fn fair(&self, holder: HolderId) -> u16 {
        let Some(own) = self.wants.get(&holder) else {
            return 0;
        };
        let all = || self.wants.values();
        if own.weight > 0 {
            let weights: u64 = all().map(|wants| u64::from(wants.weight)).sum();
            let part = u64::from(self.division.tickets) * u64::from(own.weight) / weights.max(1);
            return part.max(1) as u16;
        }
        let (first, left) = evenly(
            self.division.tickets,
            all().map(|wants| wants.first),
            own.first,
        );
        let rest = |wants: &Wants| wants.need - wants.first;
        let (more, left) = evenly(left, all().map(rest), rest(own));
        let reserve = |wants: &Wants| wants.ahead - wants.need;
        let (reserve, _) = evenly(left, all().map(reserve), reserve(own));
        let fair = first + more + reserve;
        fair.max(u16::from(own.need > 0))
    }
}

/// What of so many goes to one that needs `own` among all, and what is left when all have theirs.
fn evenly(tickets: u16, needs: impl Iterator<Item = u16>, own: u16) -> (u16, u16) {
    let mut needs: Vec<u16> = needs.collect();
    needs.sort_unstable();
    let (mut rest, mut count, mut theirs) = (tickets, needs.len() as u16, None);
    for need in needs {
        let each = rest / count.max(1);
        if need > each {
            return (theirs.unwrap_or_else(|| own.min(each)), 0);
        }
        if need == own {
            theirs = Some(own);
        }
        (rest, count) = (rest - need, count - 1);
    }
    (own, rest)
}
