//! The side of one dispatcher that requests leases for a budget: what it may use and what it
//! requests.

use super::{BootId, Division, HolderId, LeaseGrant, LeaseRequest, RequestNo, TicketId, VoterId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use trailproxy::units::{TimeSpan, Timestamp};

/// Interval between requests to the voters, spread by a quarter: several within one lease.
const REQUEST_INTERVAL: TimeSpan = TimeSpan::from_millis(400);
/// Time span over which one maximum of the need is kept.
const NEED_WINDOW: TimeSpan = TimeSpan::from_millis(250);
/// Shortest interval between requests when the holder lacks tickets.
const MIN_REQUEST_INTERVAL: TimeSpan = TimeSpan::from_millis(100);
/// The holder requests this many times what it recently needed.
const RESERVE_FACTOR: f64 = 1.25;
/// It gives back only tickets that it did not need for this long.
const NEED_RETENTION: TimeSpan = TimeSpan::from_secs(3);
/// It gives tickets back only when it needs less than this share of those it holds.
const RELEASE_BELOW: f64 = 0.7;
/// Limit of further tickets in one request.
const MAX_TICKETS_REQUESTED: usize = 128;

/// The leases of one ticket: the voters that granted it, and until when each lease is valid here.
type Leases = BTreeMap<VoterId, Timestamp>;

/// What one dispatcher holds of one budget.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    division: Division,
    id: HolderId,
    boot: BootId,
    leases: BTreeMap<TicketId, Leases>,
    /// When each request was sent, by voter. A lease counts from then.
    requests_sent: BTreeMap<(VoterId, RequestNo), Timestamp>,
    /// Tickets that voters reported as free, with those voters.
    free: BTreeMap<TicketId, BTreeSet<VoterId>>,
    /// Tickets that were given back, with the request that said so. Answers to earlier requests say
    /// nothing about them any more.
    released: BTreeMap<TicketId, RequestNo>,
    /// The holder's fair number of tickets, by voter.
    fair_shares: BTreeMap<VoterId, u16>,
    /// When each voter last answered.
    last_answer_at: BTreeMap<VoterId, Timestamp>,
    next_request_at: Timestamp,
    last_request_no: u64,
    /// The highest needs in recent time spans: in all, and of what has priority.
    recent_needs: VecDeque<(Timestamp, f64, f64)>,
    weight: u32,
    last_request_at: Timestamp,
    rng: fastrand::Rng,
}

impl LeaseHolder {
    /// Starts without tickets.
    pub fn new(
        now: Timestamp,
        division: Division,
        id: HolderId,
        boot: BootId,
        seed: u64,
    ) -> LeaseHolder {
        LeaseHolder {
            division,
            id,
            boot,
            leases: BTreeMap::new(),
            requests_sent: BTreeMap::new(),
            free: BTreeMap::new(),
            released: BTreeMap::new(),
            fair_shares: BTreeMap::new(),
            last_answer_at: BTreeMap::new(),
            next_request_at: now,
            last_request_no: 0,
            recent_needs: VecDeque::new(),
            weight: 0,
            last_request_at: now,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Sets the fraction of the total that could be used now, and how much of that has priority. A
    /// need counts for a while: with a few requests a second, a need that followed each of them
    /// would make tickets move back and forth and lie unused while they move. Where the need is
    /// much higher than what is held, the next request is sent earlier.
    pub fn set_need(&mut self, now: Timestamp, fraction: f64, priority_need: f64) {
        while self
            .recent_needs
            .front()
            .is_some_and(|(at, ..)| now.since(*at) >= NEED_RETENTION)
        {
            self.recent_needs.pop_front();
        }
        match self.recent_needs.back_mut() {
            Some((at, need, priority)) if now.since(*at) < NEED_WINDOW => {
                (*need, *priority) = (need.max(fraction), priority.max(priority_need));
            }
            _ => self.recent_needs.push_back((now, fraction, priority_need)),
        }
        if self.need() > self.fraction(now) + self.division.ticket() {
            self.next_request_at = self
                .next_request_at
                .min(self.last_request_at + MIN_REQUEST_INTERVAL);
        }
    }

    /// The highest recent need of what has priority.
    fn priority_need(&self) -> f64 {
        self.recent_needs
            .iter()
            .map(|(_, _, priority)| *priority)
            .fold(0.0, f64::max)
    }

    /// Requests the whole budget, which is divided among all holders by weight.
    pub fn set_weight(&mut self, weight: u32) {
        self.recent_needs = VecDeque::from([(Timestamp(u64::MAX), 1.0, 0.0)]);
        self.weight = weight.max(1);
    }

    /// The highest recent need.
    pub fn need(&self) -> f64 {
        self.recent_needs
            .iter()
            .map(|(_, need, _)| *need)
            .fold(0.0, f64::max)
    }

    /// The holder's fair number of tickets, as at least half of the voters report it.
    pub fn fair_share(&self) -> u16 {
        let mut fair_shares: Vec<u16> = self.fair_shares.values().copied().collect();
        fair_shares.sort_unstable();
        fair_shares.get(fair_shares.len() / 2).copied().unwrap_or(0)
    }

    /// Number of voters that answered recently.
    pub fn responding_voters(&self, now: Timestamp) -> usize {
        let is_recent = |at: &&Timestamp| now.since(**at) < self.division.lease_duration;
        self.last_answer_at.values().filter(is_recent).count()
    }

    /// Until when the present fraction is valid if no further lease is granted; `None`: it is the
    /// floor, which does not expire.
    pub fn valid_until(&self, now: Timestamp) -> Option<Timestamp> {
        let majority = self.division.majority();
        let held = self
            .leases
            .values()
            .filter(|leases| self.is_usable(now, leases));
        let ends = held.filter_map(|leases| {
            let mut expiries: Vec<Timestamp> = leases.values().copied().collect();
            expiries.sort_unstable_by(|a, b| b.cmp(a));
            expiries.get(majority - 1).copied()
        });
        ends.min()
    }

    /// Whether more than half of the voters have granted leases that are valid.
    fn is_usable(&self, now: Timestamp, leases: &Leases) -> bool {
        leases.values().filter(|&&until| now < until).count() >= self.division.majority()
    }

    /// Tickets that may be used now.
    pub fn tickets(&self, now: Timestamp) -> impl Iterator<Item = TicketId> {
        let held = self
            .leases
            .iter()
            .filter(move |(_, leases)| self.is_usable(now, leases));
        held.map(|(&ticket, _)| ticket)
    }

    /// The fraction of the total that may be used now: the floor and the tickets.
    pub fn fraction(&self, now: Timestamp) -> f64 {
        self.division.floor() + self.tickets(now).count() as f64 * self.division.ticket()
    }

    /// When the next requests are due.
    pub fn next_deadline(&self) -> Timestamp {
        self.next_request_at
    }

    /// Number of remembered entries, for checks that it stays bounded.
    pub fn tracked_count(&self) -> usize {
        self.leases.len() + self.requests_sent.len() + self.free.len() + self.released.len()
    }

    /// Number of tickets for a need beyond the floor, rounded; at least one for any need beyond it.
    fn tickets_for(&self, need: f64) -> u16 {
        let beyond = (need - self.division.floor()).max(0.0) / self.division.ticket();
        let tickets = if beyond > 0.0 {
            beyond.round().max(1.0)
        } else {
            0.0
        };
        tickets.min(f64::from(self.division.tickets)) as u16
    }

    /// Returns the requests that are due: one for each voter.
    pub fn advance(&mut self, now: Timestamp) -> Vec<(VoterId, LeaseRequest)> {
        if now < self.next_request_at {
            return Vec::new();
        }
        self.last_request_at = now;
        self.next_request_at = now + REQUEST_INTERVAL.mul_f64(0.75 + 0.5 * self.rng.f64());
        for leases in self.leases.values_mut() {
            leases.retain(|_, until| now < *until);
        }
        self.leases.retain(|_, leases| !leases.is_empty());
        let lease = self.division.holder_lease();
        self.requests_sent.retain(|_, at| now.since(*at) < lease);
        let wanted = self.tickets_for(self.need() * RESERVE_FACTOR);
        let to_release = self.choose_releases(now, wanted);
        for ticket in &to_release {
            self.leases.remove(ticket);
        }
        let renew: Vec<TicketId> = self.leases.keys().copied().collect();
        let missing = usize::from(wanted).saturating_sub(renew.len());
        let to_acquire = self.choose_free(missing.min(MAX_TICKETS_REQUESTED));
        self.free.clear();
        self.last_request_no += 1;
        let no = RequestNo(self.last_request_no);
        let oldest = self.requests_sent.keys().map(|&(_, no)| no).min();
        self.released
            .retain(|_, released| oldest.is_some_and(|oldest| oldest < *released));
        self.released
            .extend(to_release.iter().map(|&ticket| (ticket, no)));
        let request = LeaseRequest {
            no,
            holder: self.id,
            boot: self.boot,
            renew,
            acquire: to_acquire,
            release: to_release,
            need: self.tickets_for(self.need()),
            priority_need: self.tickets_for(self.priority_need()),
            need_with_reserve: wanted,
            weight: self.weight,
        };
        let voters = (0..self.division.voters).map(VoterId);
        let requests: Vec<_> = voters.map(|voter| (voter, request.clone())).collect();
        for (voter, _) in &requests {
            self.requests_sent.insert((*voter, no), now);
        }
        requests
    }

    /// Releases all tickets when the dispatcher stops in an orderly way.
    pub fn leave(&mut self, now: Timestamp) -> Vec<(VoterId, LeaseRequest)> {
        self.recent_needs.clear();
        let to_release: Vec<TicketId> = std::mem::take(&mut self.leases).into_keys().collect();
        self.last_request_no += 1;
        let request = LeaseRequest {
            no: RequestNo(self.last_request_no),
            holder: self.id,
            boot: self.boot,
            renew: Vec::new(),
            acquire: Vec::new(),
            release: to_release,
            need: 0,
            priority_need: 0,
            need_with_reserve: 0,
            weight: 0,
        };
        self.requests_sent.clear();
        self.next_request_at = now + REQUEST_INTERVAL;
        (0..self.division.voters)
            .map(|voter| (VoterId(voter), request.clone()))
            .collect()
    }

    /// Chooses the tickets to give back: at once those beyond the fair number while others want
    /// them, and after a while those that are not needed.
    fn choose_releases(&mut self, now: Timestamp, wanted: u16) -> Vec<TicketId> {
        // When others hold as many leases for a ticket, one of the holders has to release it.
        let contested = self
            .leases
            .iter()
            .filter(|(_, leases)| !self.is_usable(now, leases));
        let contested: Vec<TicketId> = contested.map(|(&ticket, _)| ticket).collect();
        let contested: BTreeSet<TicketId> =
            contested.into_iter().filter(|_| self.rng.bool()).collect();
        let held = self
            .leases
            .keys()
            .copied()
            .filter(|ticket| !contested.contains(ticket));
        let held: Vec<TicketId> = held.collect();
        let needs_little = f64::from(wanted) < held.len() as f64 * RELEASE_BELOW;
        let mut keep_count = if needs_little {
            usize::from(wanted)
        } else {
            held.len()
        };
        if !self.fair_shares.is_empty() {
            keep_count = keep_count.min(usize::from(self.fair_share().max(u16::from(wanted > 0))));
        }
        // Tickets that only some voters granted are released first.
        let mut held: Vec<(usize, TicketId)> = held
            .into_iter()
            .map(|ticket| (self.leases[&ticket].len(), ticket))
            .collect();
        held.sort_unstable_by(|a, b| b.cmp(a));
        let beyond = held.into_iter().skip(keep_count).map(|(_, ticket)| ticket);
        beyond.chain(contested).collect()
    }

    /// Chooses further tickets among those that most voters report as free, at random, so that
    /// holders do not choose the same ones.
    fn choose_free(&mut self, max_count: usize) -> Vec<TicketId> {
        let known = |ticket: &&TicketId| !self.leases.contains_key(ticket);
        let free = self
            .free
            .iter()
            .filter(|(ticket, by)| known(ticket) && by.len() >= self.division.majority());
        let mut free: Vec<TicketId> = free.map(|(&ticket, _)| ticket).collect();
        if free.is_empty() && self.free.is_empty() {
            // No voter has answered yet.
            free = (0..self.division.tickets)
                .map(TicketId)
                .filter(|ticket| known(&ticket))
                .collect();
        }
        self.rng.shuffle(&mut free);
        free.truncate(max_count);
        free
    }

    /// Handles the answer of a voter.
    pub fn on_grant(&mut self, now: Timestamp, voter: VoterId, grant: &LeaseGrant) {
        let own_grant = Some(voter).filter(|_| grant.boot == self.boot);
        let Some(sent_at) =
            own_grant.and_then(|voter| self.requests_sent.remove(&(voter, grant.no)))
        else {
            return;
        };
        self.fair_shares.insert(voter, grant.fair_share);
        self.last_answer_at.insert(voter, now);
        for ticket in &grant.free {
            self.free.entry(*ticket).or_default().insert(voter);
        }
        let until = sent_at + self.division.holder_lease();
        // A lease that is not renewed expires by itself.
        for &ticket in grant.granted.iter().filter(|_| now < until) {
            if self
                .released
                .get(&ticket)
                .is_some_and(|&released| grant.no < released)
            {
                continue;
            }
            // This answer may be older than one received before it.
            let leases = self.leases.entry(ticket).or_default();
            let known = leases.entry(voter).or_insert(until);
            *known = (*known).max(until);
        }
    }
}
