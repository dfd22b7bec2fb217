//! Finds the highest rate that holds a promise, by trying rates: up in steps until one fails, then between the two.
//!
//! ```
//! use trailproxy_lab::decide::ramp::Ramp;
//! let mut ramp = Ramp::new(100.0, 0.05, 1);
//! while let Some(rate) = ramp.to_try() {
//!     ramp.tried(rate <= 730.0);
//! }
//! assert!((690.0..=730.0).contains(&ramp.highest()));
//! ```

/// A search in progress: ask for the next rate, tell how it went.
#[derive(Clone, Debug)]
pub struct Ramp {
    held: f64,
    broke: Option<f64>,
    trying: f64,
    closeness: f64,
    /// How many more times a rate that failed is tried before it counts as failing: one bad second is no verdict.
    again: u32,
    failures: u32,
    done: bool,
}

/// The factor of the way up, and where it ends.
const STEP: f64 = 1.6;
const TOP: f64 = 1e7;

impl Ramp {
    /// Starts at a rate, and ends when the highest that held and the lowest that failed are this close.
    pub fn new(from: f64, closeness: f64, again: u32) -> Ramp {
        let trying = from.max(1.0);
        Ramp {
            held: 0.0,
            broke: None,
            trying,
            closeness,
            again,
            failures: 0,
            done: false,
        }
    }

    /// The rate to try; `None` when the search is over.
    pub fn to_try(&self) -> Option<f64> {
        (!self.done).then_some(self.trying)
    }

    pub fn tried(&mut self, held: bool) {
        if self.done {
            return;
        }
        if !held && self.failures < self.again {
            self.failures += 1;
            return;
        }
        self.failures = 0;
        match held {
            true => self.held = self.held.max(self.trying),
            false => {
                self.broke = Some(
                    self.broke
                        .map_or(self.trying, |broke| broke.min(self.trying)),
                )
            }
        }
        self.trying = match self.broke {
            None => self.trying * STEP,
            Some(broke) if self.held > 0.0 => (self.held * broke).sqrt(),
            Some(broke) => broke / STEP,
        };
        let close = self
            .broke
            .is_some_and(|broke| broke <= self.held * (1.0 + self.closeness));
        self.done = close || self.trying > TOP || self.trying < 1.0;
    }

    /// The highest rate that held; 0 where none did.
    pub fn highest(&self) -> f64 {
        self.held
    }
}
