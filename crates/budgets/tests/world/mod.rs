//! Simulation of voters and holders in virtual time with faults between them. It knows the true
//! time and counts what is in use.

use std::collections::BTreeMap;
use trailproxy::units::*;
use trailproxy_budgets::decide::holder::LeaseHolder;
use trailproxy_budgets::decide::voter::LeaseVoter;
use trailproxy_budgets::decide::{
    BootId, Division, HolderId, LeaseGrant, LeaseRequest, RequestNo, TicketId, VoterId,
};

pub const START: Timestamp = Timestamp(1_000_000_000);

pub fn division(dispatchers: u32) -> Division {
    Division {
        dispatchers,
        floor_share: 0.25,
        tickets: 64,
        voters: 5,
        lease_duration: TimeSpan::from_secs(2),
        guard_time: TimeSpan::ZERO,
    }
}

#[derive(Clone)]
pub enum Message {
    Request(usize, usize, LeaseRequest),
    Grant(usize, usize, LeaseGrant),
}

pub struct World {
    pub now: Timestamp,
    pub division: Division,
    pub voters: Vec<Option<LeaseVoter>>,
    pub holders: Vec<Option<LeaseHolder>>,
    /// Clocks: how much faster each runs, as a fraction, and by how much it is ahead.
    pub clocks: Vec<(f64, u64)>,
    pub paused: Vec<bool>,
    /// Holders that are partitioned from all voters.
    pub partitioned: Vec<bool>,
    pub loss_rate: f64,
    pub extra_delay: TimeSpan,
    pub in_flight: BTreeMap<(Timestamp, u64), Message>,
    pub rng: fastrand::Rng,
    pub next: u64,
    pub needs: Vec<f64>,
    /// The highest fraction of the total in use at once, and the number of tickets that two holders
    /// used.
    pub max_in_use: f64,
    pub double_uses: u64,
    /// Work in flight, by holder and end time, where a ticket stands for one piece of work; and the
    /// most at once.
    pub work_in_flight: Vec<(usize, Timestamp)>,
    pub max_work_in_flight: usize,
    pub planted_mistake: Option<PlantedMistake>,
    pub boots: Vec<BootId>,
}

/// Deliberate mistakes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlantedMistake {
    /// A voter that has just started grants leases at once.
    GrantsAtOnce,
    /// A lease counts from the receipt of the answer, a second after the request.
    CountsFromReceipt,
    /// Holders use a lease as long as voters keep it, without the allowance for clock drift, and a
    /// little longer.
    IgnoresDrift,
    /// A voter forgets a lease: it takes back a ticket that its holder has not released.
    ForgetsLease,
    /// Floors are added to tickets that make up the whole total.
    CountsFloorTwice,
}

impl World {
    pub fn new(holders: usize, seed: u64) -> World {
        World::with(holders, seed, division(holders as u32))
    }

    pub fn with(holders: usize, seed: u64, division: Division) -> World {
        let mut rng = fastrand::Rng::with_seed(seed);
        let clocks = (0..holders + 5).map(|_| (rng.f64() * 0.01, rng.u64(0..900_000)));
        let clocks: Vec<(f64, u64)> = clocks.collect();
        let mut world = World {
            now: START,
            division,
            voters: (0..5).map(|_| None).collect(),
            holders: (0..holders).map(|_| None).collect(),
            clocks,
            paused: vec![false; holders],
            partitioned: vec![false; holders],
            loss_rate: 0.0,
            extra_delay: TimeSpan::ZERO,
            in_flight: BTreeMap::new(),
            rng,
            next: 0,
            needs: vec![0.0; holders],
            max_in_use: 0.0,
            double_uses: 0,
            work_in_flight: Vec::new(),
            max_work_in_flight: 0,
            planted_mistake: None,
            boots: vec![BootId(0); holders],
        };
        (0..5).for_each(|n| world.start_voter(n));
        (0..holders).for_each(|n| world.start(n));
        world
    }

    /// The clock of a holder, or, behind those, of a voter.
    pub fn clock(&self, nth: usize) -> Timestamp {
        let (fast, ahead) = self.clocks[nth];
        let since = self.now.since(START);
        START + since + since.mul_f64(fast) + TimeSpan(ahead)
    }

    pub fn voter_clock(&self, nth: usize) -> Timestamp {
        self.clock(self.holders.len() + nth)
    }

    pub fn start_voter(&mut self, nth: usize) {
        let now = self.voter_clock(nth);
        let born = match self.planted_mistake {
            Some(PlantedMistake::GrantsAtOnce) => now - TimeSpan::from_secs(60),
            _ => now,
        };
        self.voters[nth] = Some(LeaseVoter::new(born, self.division));
    }

    pub fn start(&mut self, nth: usize) {
        self.next += 1;
        let (now, seed) = (self.clock(nth), self.rng.u64(..));
        let (id, boot) = (HolderId(nth as u64), BootId(self.next));
        self.boots[nth] = boot;
        let mut division = self.division;
        if self.planted_mistake == Some(PlantedMistake::IgnoresDrift) {
            division.lease_duration = division.lease_duration.mul_f64(1.06);
        }
        self.holders[nth] = Some(LeaseHolder::new(now, division, id, boot, seed));
        self.paused[nth] = false;
    }

    pub fn post(&mut self, holder: usize, message: Message) {
        if self.partitioned[holder] || self.rng.f64() < self.loss_rate {
            return;
        }
        let extra_delay = self.extra_delay.mul_f64(-(1.0 - self.rng.f64()).ln());
        self.next += 1;
        let at = self.now + TimeSpan(300) + extra_delay;
        self.in_flight.insert((at, self.next), message);
    }

    pub fn count(&mut self) {
        let mut by_ticket: BTreeMap<TicketId, u32> = BTreeMap::new();
        let mut parts = 0.0;
        for (nth, holder) in self.holders.iter().enumerate() {
            // A paused holder uses nothing; what it would use on waking is counted then.
            let Some(holder) = holder.as_ref().filter(|_| !self.paused[nth]) else {
                continue;
            };
            let now = self.clock(nth);
            parts += holder.fraction(now);
            if self.planted_mistake == Some(PlantedMistake::CountsFloorTwice) {
                parts += self.division.floor();
            }
            holder
                .tickets(now)
                .for_each(|ticket| *by_ticket.entry(ticket).or_default() += 1);
        }
        self.max_in_use = self.max_in_use.max(parts);
        self.double_uses += by_ticket.values().filter(|&&users| users > 1).count() as u64;
    }

    pub fn run(&mut self, span: TimeSpan) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TimeSpan::from_millis(10);
            while let Some(entry) = self
                .in_flight
                .first_entry()
                .filter(|entry| entry.key().0 <= self.now)
            {
                match entry.remove() {
                    Message::Request(holder, voter, request) => {
                        let now = self.voter_clock(voter);
                        let grant = self.voters[voter]
                            .as_mut()
                            .and_then(|voter| voter.on_request(now, &request));
                        if let Some(grant) = grant {
                            self.post(holder, Message::Grant(holder, voter, grant));
                        }
                    }
                    Message::Grant(nth, voter, grant) => {
                        let now = self.clock(nth);
                        if let Some(holder) =
                            self.holders[nth].as_mut().filter(|_| !self.paused[nth])
                        {
                            holder.on_grant(now, VoterId(voter as u8), &grant);
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
                let asked = match self.planted_mistake {
                    Some(PlantedMistake::CountsFromReceipt) => now + TimeSpan::from_secs(1),
                    _ => now,
                };
                for (voter, request) in holder.advance(asked) {
                    self.post(nth, Message::Request(nth, usize::from(voter.0), request));
                }
            }
            self.forget();
            self.count();
            self.work();
        }
    }

    /// With `ForgetsLease`: now and then a voter takes back a ticket that a holder uses.
    pub fn forget(&mut self) {
        if self.planted_mistake != Some(PlantedMistake::ForgetsLease) || self.rng.u8(0..100) > 0 {
            return;
        }
        let nth = self.rng.usize(0..5);
        let now = self.voter_clock(nth);
        let Some(voter) = self.voters[nth].as_mut() else {
            return;
        };
        let given = voter.granted_leases(now).next();
        if let Some((ticket, holder)) = given
            && let Some(boot) = self.boots.get(holder.0 as usize)
        {
            let forged = LeaseRequest {
                no: RequestNo(u64::MAX),
                holder,
                boot: *boot,
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

    /// Each holder starts as much work as its tickets allow. Work continues to its end whatever
    /// becomes of the tickets, also while its dispatcher is paused.
    pub fn work(&mut self) {
        let (now, guard) = (self.now, self.division.guard_time);
        if guard == TimeSpan::ZERO {
            return;
        }
        self.work_in_flight.retain(|&(_, end)| now < end);
        for nth in 0..self.holders.len() {
            let clock = self.clock(nth);
            let holder = self.holders[nth].as_ref().filter(|_| !self.paused[nth]);
            let may = holder.map_or(0, |holder| holder.tickets(clock).count());
            let runs = self
                .work_in_flight
                .iter()
                .filter(|&&(of, _)| of == nth)
                .count();
            for _ in runs..may {
                let lasts = guard.mul_f64(self.rng.f64());
                self.work_in_flight.push((nth, now + lasts));
            }
        }
        self.max_work_in_flight = self.max_work_in_flight.max(self.work_in_flight.len());
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

    pub fn check_invariants(&self, name: &str) {
        assert!(
            self.max_in_use <= 1.0 + 1e-9,
            "{name}: {} of the whole at once",
            self.max_in_use
        );
        assert_eq!(self.double_uses, 0, "{name}: a ticket that two used");
    }
}

/// A simulation that has run for longer than any lease lasts.
pub fn settled_world(holders: usize, seed: u64) -> World {
    let mut world = World::new(holders, seed);
    world.run(TimeSpan::from_secs(4));
    world
}

/// Prints a measurement, and appends it to the file that `FIGURES` names.
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
