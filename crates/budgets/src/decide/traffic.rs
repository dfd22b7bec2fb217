//! How much of what all may give to hosts that have just started goes to one dispatcher: by its own traffic, which is there
//! before any host starts, so that the division stands when one does.

use trailproxy::units::{TimeSpan, Timestamp};

/// How soon traffic is half forgotten. Shorter follows chance, longer has parts where the traffic was.
const HALVES: TimeSpan = TimeSpan::from_secs(3);
/// What is told stays until traffic differs from it by this part: parts that follow every change lie idle as they move.
const STEADY: f64 = 0.25;
/// A weight of one for so many accesses a second; below, all have one.
const UNIT: f64 = 0.25;

/// What comes from clients, in accesses a second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    rate: f64,
    at: Timestamp,
    told: u32,
}

impl Traffic {
    fn rate(&self, now: Timestamp) -> f64 {
        let halvings = now.since(self.at).as_secs_f64() / HALVES.as_secs_f64();
        self.rate * 0.5f64.powf(halvings)
    }

    /// An access came.
    pub fn on_arrival(&mut self, now: Timestamp) {
        self.rate = self.rate(now) + std::f64::consts::LN_2 / HALVES.as_secs_f64();
        self.at = self.at.max(now);
    }

    /// What its part is to follow: more than nothing, so that whoever has no traffic yet has something when it comes.
    pub fn weight(&mut self, now: Timestamp) -> u32 {
        let weight = (self.rate(now) / UNIT).clamp(1.0, 1e6);
        if (weight - f64::from(self.told)).abs() > STEADY * f64::from(self.told) {
            self.told = weight as u32;
        }
        self.told
    }
}
