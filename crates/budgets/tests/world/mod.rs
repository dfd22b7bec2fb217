//! Voters and holders in virtual time, with whatever can come between them, counted by somebody who knows the true time.

use std::collections::BTreeMap;
use trailproxy::units::*;
use trailproxy_budgets::decide::holder::LeaseHolder;
use trailproxy_budgets::decide::voter::LeaseVoter;
use trailproxy_budgets::decide::{
    BootId, Division, HolderId, LeaseGrant, LeaseRequest, RequestNo, TicketId, VoterId,
};

pub const DAWN: Timestamp = Timestamp(1_000_000_000);

pub fn division(seats: u32) -> Division {
    Division {
        dispatchers: seats,
        floor_share: 0.25,
        tickets: 64,
        voters: 5,
        lease_duration: TimeSpan::from_secs(2),
        guard_time: TimeSpan::ZERO,
    }
}

#[derive(Clone)]
pub enum Letter {
    Request(usize, usize, LeaseRequest),
    Grant(usize, usize, LeaseGrant),
}

pub struct World {
    pub now: Timestamp,
    pub division: Division,
    pub voters: Vec<Option<LeaseVoter>>,
    pub holders: Vec<Option<LeaseHolder>>,
    /// Clocks: faster by this part, and ahead.
    pub clocks: Vec<(f64, u64)>,
    pub paused: Vec<bool>,
    /// Ways to and from a holder.
    pub cut: Vec<bool>,
    pub lost: f64,
    pub slower: TimeSpan,
    pub flying: BTreeMap<(Timestamp, u64), Letter>,
    pub chance: fastrand::Rng,
    pub next: u64,
    pub needs: Vec<f64>,
    /// The most that was in use at once, as a part of the whole, and tickets that two used.
    pub most: f64,
    pub twice: u64,
    /// Work under way, by holder and until when, where a ticket is one piece of it; and the most at once.
    pub works: Vec<(usize, Timestamp)>,
    pub most_works: usize,
    pub planted: Option<Planted>,
    pub lives: Vec<BootId>,
}

/// Mistakes put in on purpose.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Planted {
    /// A voter that starts gives its word at once.
    Forgetful,
    /// A word counts from when the answer comes, a second after the question.
    FromReceipt,
    /// Holders take a word for good as long as voters do, whatever clocks do meanwhile, and a little longer.
    NoDrift,
    /// A voter forgets what it gave: it takes back what its holder never gave back.
    ForgetsGift,
    /// Floors stand beside the tickets of the whole.
    FloorTwice,
}

impl World {
    pub fn new(holders: usize, seed: u64) -> World {
        World::with(holders, seed, division(holders as u32))
    }

    pub fn with(holders: usize, seed: u64, division: Division) -> World {
        let mut chance = fastrand::Rng::with_seed(seed);
        let clocks = (0..holders + 5).map(|_| (chance.f64() * 0.01, chance.u64(0..900_000)));
        let clocks: Vec<(f64, u64)> = clocks.collect();
        let mut world = World {
            now: DAWN,
            division,
            voters: (0..5).map(|_| None).collect(),
            holders: (0..holders).map(|_| None).collect(),
            clocks,
            paused: vec![false; holders],
            cut: vec![false; holders],
            lost: 0.0,
            slower: TimeSpan::ZERO,
            flying: BTreeMap::new(),
            chance,
            next: 0,
            needs: vec![0.0; holders],
            most: 0.0,
            twice: 0,
            works: Vec::new(),
            most_works: 0,
            planted: None,
            lives: vec![BootId(0); holders],
        };
        (0..5).for_each(|n| world.start_voter(n));
        (0..holders).for_each(|n| world.start(n));
        world
    }

    /// The clock of a holder, or behind them of a voter.
    pub fn clock(&self, nth: usize) -> Timestamp {
        let (fast, ahead) = self.clocks[nth];
        let since = self.now.since(DAWN);
        DAWN + since + since.mul_f64(fast) + TimeSpan(ahead)
    }

    pub fn voter_clock(&self, nth: usize) -> Timestamp {
        self.clock(self.holders.len() + nth)
    }

    pub fn start_voter(&mut self, nth: usize) {
        let now = self.voter_clock(nth);
        let born = match self.planted {
            Some(Planted::Forgetful) => now - TimeSpan::from_secs(60),
            _ => now,
        };
        self.voters[nth] = Some(LeaseVoter::new(born, self.division));
    }

    pub fn start(&mut self, nth: usize) {
        self.next += 1;
        let (now, seed) = (self.clock(nth), self.chance.u64(..));
        let (id, life) = (HolderId(nth as u64), BootId(self.next));
        self.lives[nth] = life;
        let mut division = self.division;
        if self.planted == Some(Planted::NoDrift) {
            division.lease_duration = division.lease_duration.mul_f64(1.06);
        }
        self.holders[nth] = Some(LeaseHolder::new(now, division, id, life, seed));
        self.paused[nth] = false;
    }

    pub fn post(&mut self, holder: usize, letter: Letter) {
        if self.cut[holder] || self.chance.f64() < self.lost {
            return;
        }
        let slower = self.slower.mul_f64(-(1.0 - self.chance.f64()).ln());
        self.next += 1;
        let at = self.now + TimeSpan(300) + slower;
        self.flying.insert((at, self.next), letter);
    }

    pub fn count(&mut self) {
        let mut by_ticket: BTreeMap<TicketId, u32> = BTreeMap::new();
        let mut parts = 0.0;
        for (nth, holder) in self.holders.iter().enumerate() {
            // One that is paused uses nothing while it is; what it would use on waking is asked then.
            let Some(holder) = holder.as_ref().filter(|_| !self.paused[nth]) else {
                continue;
            };
            let now = self.clock(nth);
            parts += holder.fraction(now);
            if self.planted == Some(Planted::FloorTwice) {
                parts += self.division.floor();
            }
            holder
                .tickets(now)
                .for_each(|ticket| *by_ticket.entry(ticket).or_default() += 1);
        }
        self.most = self.most.max(parts);
        self.twice += by_ticket.values().filter(|&&users| users > 1).count() as u64;
    }

    pub fn run(&mut self, span: TimeSpan) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TimeSpan::from_millis(10);
            while let Some(entry) = self
                .flying
                .first_entry()
                .filter(|entry| entry.key().0 <= self.now)
            {
                match entry.remove() {
                    Letter::Request(holder, voter, ask) => {
                        let now = self.voter_clock(voter);
                        let word = self.voters[voter]
                            .as_mut()
                            .and_then(|voter| voter.on_request(now, &ask));
                        if let Some(word) = word {
                            self.post(holder, Letter::Grant(holder, voter, word));
                        }
                    }
                    Letter::Grant(nth, voter, word) => {
                        let now = self.clock(nth);
                        if let Some(holder) =
                            self.holders[nth].as_mut().filter(|_| !self.paused[nth])
                        {
                            holder.on_grant(now, VoterId(voter as u8), &word);
                        }
                    }
                }
            }
            for nth in 0..self.holders.len() {
                let (now, need) = (self.clock(nth), self.needs[nth]);
                let Some(holder) = self.holders[nth].as_mut().filter(|_| !self.paused[nth]) else {
                    continue;
                };
                holder.set_need(now, need, 0.0);
                let asked = match self.planted {
                    Some(Planted::FromReceipt) => now + TimeSpan::from_secs(1),
                    _ => now,
                };
                for (voter, ask) in holder.advance(asked) {
                    self.post(nth, Letter::Request(nth, usize::from(voter.0), ask));
                }
            }
            self.forget();
            self.count();
            self.work();
        }
    }

    /// Where that is planted: now and then a voter takes back what somebody holds.
    pub fn forget(&mut self) {
        if self.planted != Some(Planted::ForgetsGift) || self.chance.u8(0..100) > 0 {
            return;
        }
        let nth = self.chance.usize(0..5);
        let now = self.voter_clock(nth);
        let Some(voter) = self.voters[nth].as_mut() else {
            return;
        };
        let given = voter.granted_leases(now).next();
        if let Some((ticket, holder)) = given
            && let Some(life) = self.lives.get(holder.0 as usize)
        {
            let forged = LeaseRequest {
                no: RequestNo(u64::MAX),
                holder,
                boot: *life,
                renew: Vec::new(),
                acquire: Vec::new(),
                release: vec![ticket],
                need: 64,
                priority_need: 0,
                need_with_reserve: 64,
                weight: 0,
            };
            voter.on_request(now, &forged);
        }
    }

    /// Each begins as much work as its tickets allow; what has begun goes on to its end, whatever becomes of them, also
    /// while its dispatcher is paused.
    pub fn work(&mut self) {
        let (now, guard) = (self.now, self.division.guard_time);
        if guard == TimeSpan::ZERO {
            return;
        }
        self.works.retain(|&(_, end)| now < end);
        for nth in 0..self.holders.len() {
            let clock = self.clock(nth);
            let holder = self.holders[nth].as_ref().filter(|_| !self.paused[nth]);
            let may = holder.map_or(0, |holder| holder.tickets(clock).count());
            let runs = self.works.iter().filter(|&&(of, _)| of == nth).count();
            for _ in runs..may {
                let lasts = guard.mul_f64(self.chance.f64());
                self.works.push((nth, now + lasts));
            }
        }
        self.most_works = self.most_works.max(self.works.len());
    }

    pub fn part(&self, nth: usize) -> f64 {
        self.holders[nth]
            .as_ref()
            .map_or(0.0, |holder| holder.fraction(self.clock(nth)))
    }

    pub fn used(&self) -> f64 {
        (0..self.holders.len())
            .map(|nth| self.part(nth).min(self.needs[nth]))
            .sum()
    }

    pub fn holds(&self, name: &str) {
        assert!(
            self.most <= 1.0 + 1e-9,
            "{name}: {} of the whole at once",
            self.most
        );
        assert_eq!(self.twice, 0, "{name}: a ticket that two used");
    }
}

/// A world that has been up for longer than any word lasts.
pub fn up(holders: usize, seed: u64) -> World {
    let mut world = World::new(holders, seed);
    world.run(TimeSpan::from_secs(4));
    world
}

/// A figure is printed, and kept behind the others in the file that `FIGURES` names.
pub fn figure(name: &str, value: f64) {
    println!("{name} {value:.3}");
    let Ok(path) = std::env::var("FIGURES") else {
        return;
    };
    let line = format!("{name} {value:.3}\n");
    let file = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(path);
    file.and_then(|mut file| std::io::Write::write_all(&mut file, line.as_bytes()))
        .expect("a file that can be written");
}
