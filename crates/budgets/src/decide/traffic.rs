//! Weight of one dispatcher when the work for cold hosts is divided. It follows the dispatcher's
//! own rate of requests, which is known before any host starts, so that the division is in place
//! when one does.

use trailproxy::units::{TimeSpan, Timestamp};

/// Half-life of the measured rate. A shorter one follows random changes, a longer one leaves parts
/// where the traffic was.
const RATE_HALF_LIFE: TimeSpan = TimeSpan::from_secs(3);
/// The reported weight stays until the rate differs from it by this fraction: parts that follow
/// every change lie unused while they move.
const WEIGHT_TOLERANCE: f64 = 0.25;
/// Requests a second for a weight of one; below this rate the weight is one as well.
const RATE_PER_WEIGHT: f64 = 0.25;

/// Rate of requests from clients, per second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    rate: f64,
    at: Timestamp,
    reported_weight: u32,
}

impl Traffic {
    fn rate(&self, now: Timestamp) -> f64 {
        let halvings = now.since(self.at).as_secs_f64() / RATE_HALF_LIFE.as_secs_f64();
        self.rate * 0.5f64.powf(halvings)
    }

    /// Handles a request from a client.
    pub fn on_arrival(&mut self, now: Timestamp) {
        self.rate = self.rate(now) + std::f64::consts::LN_2 / RATE_HALF_LIFE.as_secs_f64();
        self.at = self.at.max(now);
    }

    /// The weight; at least one, so that a dispatcher without traffic has a part when requests
    /// come.
    pub fn weight(&mut self, now: Timestamp) -> u32 {
        let weight = (self.rate(now) / RATE_PER_WEIGHT).clamp(1.0, 1e6);
        if (weight - f64::from(self.reported_weight)).abs()
            > WEIGHT_TOLERANCE * f64::from(self.reported_weight)
        {
            self.reported_weight = weight as u32;
        }
        self.reported_weight
    }
}
