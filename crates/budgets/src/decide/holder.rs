//! What one dispatcher may use of a budget, and what it asks for.

use super::{BootId, Division, HolderId, LeaseGrant, LeaseRequest, RequestNo, TicketId, VoterId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use trailproxy::units::{TimeSpan, Timestamp};

/// How often voters are asked, spread by a quarter: several times in the life of a word.
const EVERY: TimeSpan = TimeSpan::from_millis(400);
/// After so long already where it lacks something.
/// Need is kept by steps of this.
const STEP: TimeSpan = TimeSpan::from_millis(250);
const SOONEST: TimeSpan = TimeSpan::from_millis(100);
/// It asks for this much more than it used lately, and gives back only what it had no need of for as long.
const AHEAD: f64 = 1.25;
const KEEPS_FOR: TimeSpan = TimeSpan::from_secs(3);
/// Less than this part of what it has is needed before it gives any back.
const SLACK: f64 = 0.7;
/// Further tickets asked for at once.
const MOST_WANTED: usize = 128;

/// A ticket, with the voters' words for it and until when each is good here.
type Words = BTreeMap<VoterId, Timestamp>;

#[derive(Clone, Debug)]
pub struct LeaseHolder {
    division: Division,
    id: HolderId,
    life: BootId,
    words: BTreeMap<TicketId, Words>,
    /// When each question went out, by voter: a word counts from then.
    asked: BTreeMap<(VoterId, RequestNo), Timestamp>,
    free: BTreeMap<TicketId, BTreeSet<VoterId>>,
    /// Given back with this question: what was asked before it says nothing of the ticket any more.
    dropped: BTreeMap<TicketId, RequestNo>,
    fair: BTreeMap<VoterId, u16>,
    /// When each voter last answered.
    heard: BTreeMap<VoterId, Timestamp>,
    ask_at: Timestamp,
    next: u64,
    /// The most that it needed lately, and of that what goes first, by steps.
    lately: VecDeque<(Timestamp, f64, f64)>,
    weight: u32,
    asked_at: Timestamp,
    chance: fastrand::Rng,
}

impl LeaseHolder {
    pub fn new(
        now: Timestamp,
        division: Division,
        id: HolderId,
        life: BootId,
        seed: u64,
    ) -> LeaseHolder {
        LeaseHolder {
            division,
            id,
            life,
            words: BTreeMap::new(),
            asked: BTreeMap::new(),
            free: BTreeMap::new(),
            dropped: BTreeMap::new(),
            fair: BTreeMap::new(),
            heard: BTreeMap::new(),
            ask_at: now,
            next: 0,
            lately: VecDeque::new(),
            weight: 0,
            asked_at: now,
            chance: fastrand::Rng::with_seed(seed),
        }
    }

    /// What it could use of the whole now, and how much of that for what goes first. It counts for a while: where a few
    /// accesses a second come, need that followed each of them would have parts move to and fro, and lie idle as they move.
    /// Where it is much more than it has, it does not wait for its next round.
    pub fn set_need(&mut self, now: Timestamp, part: f64, first: f64) {
        while self
            .lately
            .front()
            .is_some_and(|(at, ..)| now.since(*at) >= KEEPS_FOR)
        {
            self.lately.pop_front();
        }
        match self.lately.back_mut() {
            Some((at, need, most)) if now.since(*at) < STEP => {
                (*need, *most) = (need.max(part), most.max(first));
            }
            _ => self.lately.push_back((now, part, first)),
        }
        if self.need() > self.fraction(now) + self.division.ticket() {
            self.ask_at = self.ask_at.min(self.asked_at + SOONEST);
        }
    }

    fn first(&self) -> f64 {
        self.lately.iter().map(|of| of.2).fold(0.0, f64::max)
    }

    /// All of it is wanted, by whoever it is divided among, each by its weight.
    pub fn set_weight(&mut self, weight: u32) {
        self.lately = VecDeque::from([(Timestamp(u64::MAX), 1.0, 0.0)]);
        self.weight = weight.max(1);
    }

    /// What it needed lately.
    pub fn need(&self) -> f64 {
        self.lately.iter().map(|of| of.1).fold(0.0, f64::max)
    }

    /// So many tickets are its part, as half of the voters or more have it.
    pub fn fair_share(&self) -> u16 {
        let mut fair: Vec<u16> = self.fair.values().copied().collect();
        fair.sort_unstable();
        fair.get(fair.len() / 2).copied().unwrap_or(0)
    }

    /// Voters that answered lately.
    pub fn responding_voters(&self, now: Timestamp) -> usize {
        let lately = |at: &&Timestamp| now.since(**at) < self.division.lease_duration;
        self.heard.values().filter(lately).count()
    }

    /// Until when the present part holds, if no further word comes; `None`: it is the floor, for ever.
    pub fn valid_until(&self, now: Timestamp) -> Option<Timestamp> {
        let majority = self.division.majority();
        let held = self.words.values().filter(|words| self.holds(now, words));
        let ends = held.filter_map(|words| {
            let mut untils: Vec<Timestamp> = words.values().copied().collect();
            untils.sort_unstable_by(|a, b| b.cmp(a));
            untils.get(majority - 1).copied()
        });
        ends.min()
    }

    /// Whether more than half of the voters' words for it are good.
    fn holds(&self, now: Timestamp, words: &Words) -> bool {
        words.values().filter(|&&until| now < until).count() >= self.division.majority()
    }

    /// Tickets that may be used now.
    pub fn tickets(&self, now: Timestamp) -> impl Iterator<Item = TicketId> {
        let held = self
            .words
            .iter()
            .filter(move |(_, words)| self.holds(now, words));
        held.map(|(&ticket, _)| ticket)
    }

    /// The part of the whole that may be used now: its floor, and its tickets.
    pub fn fraction(&self, now: Timestamp) -> f64 {
        self.division.floor() + self.tickets(now).count() as f64 * self.division.ticket()
    }

    pub fn next_deadline(&self) -> Timestamp {
        self.ask_at
    }

    /// What is kept in mind, for a check that it stays bounded.
    pub fn tracked_count(&self) -> usize {
        self.words.len() + self.asked.len() + self.free.len() + self.dropped.len()
    }

    /// Tickets for so much beside the floor, to the nearest; of anything at all, one.
    fn tickets_for(&self, need: f64) -> u16 {
        let beyond = (need - self.division.floor()).max(0.0) / self.division.ticket();
        let tickets = if beyond > 0.0 {
            beyond.round().max(1.0)
        } else {
            0.0
        };
        tickets.min(f64::from(self.division.tickets)) as u16
    }

    /// What is due by now: a question for each voter.
    pub fn advance(&mut self, now: Timestamp) -> Vec<(VoterId, LeaseRequest)> {
        if now < self.ask_at {
            return Vec::new();
        }
        self.asked_at = now;
        self.ask_at = now + EVERY.mul_f64(0.75 + 0.5 * self.chance.f64());
        for words in self.words.values_mut() {
            words.retain(|_, until| now < *until);
        }
        self.words.retain(|_, words| !words.is_empty());
        let lasts = self.division.holder_lease();
        self.asked.retain(|_, at| now.since(*at) < lasts);
        let wanted = self.tickets_for(self.need() * AHEAD);
        let give = self.gives(now, wanted);
        for ticket in &give {
            self.words.remove(ticket);
        }
        let renew: Vec<TicketId> = self.words.keys().copied().collect();
        let lacks = usize::from(wanted).saturating_sub(renew.len());
        let want = self.picks(lacks.min(MOST_WANTED));
        self.free.clear();
        self.next += 1;
        let no = RequestNo(self.next);
        let oldest = self.asked.keys().map(|&(_, no)| no).min();
        self.dropped
            .retain(|_, dropped| oldest.is_some_and(|oldest| oldest < *dropped));
        self.dropped.extend(give.iter().map(|&ticket| (ticket, no)));
        let ask = LeaseRequest {
            no,
            holder: self.id,
            boot: self.life,
            renew,
            acquire: want,
            release: give,
            need: self.tickets_for(self.need()),
            priority_need: self.tickets_for(self.first()),
            need_with_reserve: wanted,
            weight: self.weight,
        };
        let voters = (0..self.division.voters).map(VoterId);
        let asks: Vec<_> = voters.map(|voter| (voter, ask.clone())).collect();
        for (voter, _) in &asks {
            self.asked.insert((*voter, no), now);
        }
        asks
    }

    /// It ends in order: all that it holds is given back.
    pub fn leave(&mut self, now: Timestamp) -> Vec<(VoterId, LeaseRequest)> {
        self.lately.clear();
        let give: Vec<TicketId> = std::mem::take(&mut self.words).into_keys().collect();
        self.next += 1;
        let ask = LeaseRequest {
            no: RequestNo(self.next),
            holder: self.id,
            boot: self.life,
            renew: Vec::new(),
            acquire: Vec::new(),
            release: give,
            need: 0,
            priority_need: 0,
            need_with_reserve: 0,
            weight: 0,
        };
        self.asked.clear();
        self.ask_at = now + EVERY;
        (0..self.division.voters)
            .map(|voter| (VoterId(voter), ask.clone()))
            .collect()
    }

    /// What is given back: at once what is beyond its part while others want, and after a while what it has no need of.
    fn gives(&mut self, now: Timestamp, wanted: u16) -> Vec<TicketId> {
        // Of a ticket that others have as many words for, one of them has to let go.
        let split = self
            .words
            .iter()
            .filter(|(_, words)| !self.holds(now, words));
        let split: Vec<TicketId> = split.map(|(&ticket, _)| ticket).collect();
        let split: BTreeSet<TicketId> = split.into_iter().filter(|_| self.chance.bool()).collect();
        let have = self
            .words
            .keys()
            .copied()
            .filter(|ticket| !split.contains(ticket));
        let have: Vec<TicketId> = have.collect();
        let little = f64::from(wanted) < have.len() as f64 * SLACK;
        let mut keep = if little {
            usize::from(wanted)
        } else {
            have.len()
        };
        if !self.fair.is_empty() {
            keep = keep.min(usize::from(self.fair_share().max(u16::from(wanted > 0))));
        }
        // Of what only some have given their word for, it lets go first.
        let mut have: Vec<(usize, TicketId)> = have
            .into_iter()
            .map(|ticket| (self.words[&ticket].len(), ticket))
            .collect();
        have.sort_unstable_by(|a, b| b.cmp(a));
        let beyond = have.into_iter().skip(keep).map(|(_, ticket)| ticket);
        beyond.chain(split).collect()
    }

    /// Further tickets, of those that most voters say are nobody's; drawn, so that several don't want the same.
    fn picks(&mut self, most: usize) -> Vec<TicketId> {
        let known = |ticket: &&TicketId| !self.words.contains_key(ticket);
        let free = self
            .free
            .iter()
            .filter(|(ticket, by)| known(ticket) && by.len() >= self.division.majority());
        let mut free: Vec<TicketId> = free.map(|(&ticket, _)| ticket).collect();
        if free.is_empty() && self.free.is_empty() {
            // Nothing was heard yet.
            free = (0..self.division.tickets)
                .map(TicketId)
                .filter(|ticket| known(&ticket))
                .collect();
        }
        self.chance.shuffle(&mut free);
        free.truncate(most);
        free
    }

    /// A voter answers.
    pub fn on_grant(&mut self, now: Timestamp, voter: VoterId, word: &LeaseGrant) {
        let ours = Some(voter).filter(|_| word.boot == self.life);
        let Some(asked) = ours.and_then(|voter| self.asked.remove(&(voter, word.no))) else {
            return;
        };
        self.fair.insert(voter, word.fair_share);
        self.heard.insert(voter, now);
        for ticket in &word.free {
            self.free.entry(*ticket).or_default().insert(voter);
        }
        let until = asked + self.division.holder_lease();
        // What is not given again runs out by itself.
        for &ticket in word.granted.iter().filter(|_| now < until) {
            if self
                .dropped
                .get(&ticket)
                .is_some_and(|&dropped| word.no < dropped)
            {
                continue;
            }
            // An answer may be older than one that came before it.
            let words = self.words.entry(ticket).or_default();
            let known = words.entry(voter).or_insert(until);
            *known = (*known).max(until);
        }
    }
}
