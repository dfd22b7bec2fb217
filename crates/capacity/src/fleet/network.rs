//! The ways between members: latency and loss by distance, and cuts.

use crate::layout::Layout;
use trailproxy::units::TimeSpan;

/// Draws what becomes of each message.
#[derive(Clone, Debug)]
pub struct Network {
    random: fastrand::Rng,
    /// Members by side; messages between two sides are lost. Empty: nothing is cut.
    sides: Vec<usize>,
}

impl Network {
    pub fn new(seed: u64) -> Network {
        Network {
            random: fastrand::Rng::with_seed(seed),
            sides: Vec::new(),
        }
    }

    /// How long a message travels; `None`: it is lost.
    pub fn travel(&mut self, layout: &Layout, from: usize, to: usize) -> Option<TimeSpan> {
        let distance = layout.distance(from, to);
        let lost = self.random.f64() < distance.loss;
        let range = distance.most - distance.least;
        let travel = distance.least + range.mul_f64(self.random.f64());
        (!lost && !self.is_cut(from, to)).then_some(travel)
    }

    /// Cuts all ways between members of different sides.
    pub fn cut(&mut self, sides: Vec<usize>) {
        self.sides = sides;
    }

    pub fn heal(&mut self) {
        self.sides.clear();
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        self.sides.get(from) != self.sides.get(to)
    }
}
