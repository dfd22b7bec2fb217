//! What clients ask for: open-loop arrivals, and objects of uneven popularity, drawn from a seed.

use crate::chance::mix;
use crate::scenario::{Load, Scenario};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal, Zipf};
use trailproxy::units::*;
use trailproxy_standins::shape::DAWN;

/// One thing that a client wants.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Wish {
    pub at: Timestamp,
    pub zone: ZoneId,
    pub track: ClassId,
    pub object: ObjectId,
    pub group: GroupId,
    pub part: u32,
    pub kb: f64,
    /// Whether the client tells the size.
    pub told: bool,
}

/// The wishes of one stream, in the order of their times. Arrivals do not wait for answers.
pub struct Stream {
    load: Load,
    nth: u64,
    zones: Vec<(ZoneId, f64)>,
    bursts: Vec<(Timestamp, Timestamp, f64)>,
    zipf: Zipf<f64>,
    sizes: LogNormal<f64>,
    chance: StdRng,
    at: Timestamp,
    end: Timestamp,
    peak: f64,
    once: u64,
}

/// Groups that purges name; objects are spread over them.
pub const GROUPS: u64 = 256;

impl Stream {
    pub fn new(scenario: &Scenario, nth: usize, seed: u64) -> Stream {
        let load = scenario.loads[nth].clone();
        let seats = scenario
            .seats
            .iter()
            .enumerate()
            .map(|(zone, &n)| (ZoneId(zone as u16), f64::from(n)));
        let zones = seats
            .filter(|&(zone, n)| n > 0.0 && load.zone.is_none_or(|own| own == zone))
            .collect();
        let bursts = scenario
            .bursts
            .iter()
            .filter(|burst| burst.track == load.track);
        let bursts: Vec<_> = bursts
            .map(|burst| (burst.from, burst.until, burst.times))
            .collect();
        let peak = bursts
            .iter()
            .fold(1.0f64, |peak, burst| peak * burst.2.max(1.0));
        Stream {
            zones,
            peak,
            bursts,
            zipf: Zipf::new(load.objects as f64, load.zipf)
                .unwrap_or_else(|_| unreachable!("checked by the reader")),
            sizes: LogNormal::new(load.median_kb.ln(), load.spread)
                .unwrap_or_else(|_| unreachable!("checked by the reader")),
            chance: StdRng::seed_from_u64(mix(seed, nth as u64 + 1)),
            at: load.from,
            end: (DAWN + scenario.length).min(load.until),
            nth: nth as u64,
            load,
            once: 0,
        }
    }

    fn rate(&self, at: Timestamp) -> f64 {
        let on = self
            .bursts
            .iter()
            .filter(|&&(from, until, _)| (from..until).contains(&at));
        on.fold(1.0, |rate, burst| rate * burst.2)
    }

    fn zone(&mut self) -> ZoneId {
        let all: f64 = self.zones.iter().map(|(_, n)| n).sum();
        let mut at = self.chance.random::<f64>() * all;
        for &(zone, n) in &self.zones {
            at -= n;
            if at < 0.0 {
                return zone;
            }
        }
        self.zones.last().map_or(ZoneId(0), |&(zone, _)| zone)
    }

    /// The size of an object, the same whenever it is asked for.
    fn size(&self, object: ObjectId) -> f64 {
        let mut own = StdRng::seed_from_u64(mix(object.0, 7));
        self.sizes
            .sample(&mut own)
            .clamp(0.05, self.load.most_kb.max(0.05))
    }
}

impl Iterator for Stream {
    type Item = Wish;

    /// Thinning: drawn at the peak rate, and kept with the share that holds then.
    fn next(&mut self) -> Option<Wish> {
        let gaps = Exp::new(self.load.per_s * self.peak)
            .ok()
            .filter(|_| self.load.per_s > 0.0)?;
        loop {
            self.at = self.at + TimeSpan::from_secs_f64(gaps.sample(&mut self.chance));
            if self.at >= self.end {
                return None;
            }
            if self.chance.random::<f64>() * self.peak < self.rate(self.at) {
                break;
            }
        }
        let zone = self.zone();
        let name = if self.chance.random::<f64>() < self.load.once {
            self.once += 1;
            mix(self.once ^ 0x6f6e_6365, self.nth)
        } else {
            let rank = self.zipf.sample(&mut self.chance) as u64;
            // Some objects are wanted in one zone only: there each zone has its own of that rank.
            let local =
                (mix(rank, 3) % 1_000) as f64 <= self.load.local * 1_000.0 && self.load.local > 0.0;
            mix(
                mix(rank, if local { u64::from(zone.0) + 1 } else { 0 }),
                u64::from(self.load.track.0),
            )
        };
        let object = ObjectId(name);
        let part = if self.load.parts > 1 {
            self.chance.random_range(0..self.load.parts)
        } else {
            0
        };
        Some(Wish {
            at: self.at,
            zone,
            track: self.load.track,
            object,
            group: group_of(object),
            part,
            kb: self.size(object),
            told: self.load.told,
        })
    }
}

pub fn group_of(object: ObjectId) -> GroupId {
    GroupId((mix(object.0, 11) % GROUPS) as u32)
}
