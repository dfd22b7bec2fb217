//! What a run is to do, and whether this machine is meant for it.

use std::fmt;

/// No fleet is larger: more members are not taken in by [`trailproxy_peers`].
pub const MOST_MEMBERS: usize = trailproxy_peers::decide::members::MAX_MEMBERS;
/// Real ones among hollow members.
pub const MOST_REAL: usize = 16;
/// Real processes at rest: each takes some 20 MB, so that half of a machine of 12 GB is never reached.
pub const MOST_PROCESSES: usize = 200;
/// Seconds of one window.
pub const MOST_SECONDS: u64 = 600;
/// Keyed and other requests a second to each loaded dispatcher.
pub const MOST_RATE: u64 = 500;
/// Real ones under load.
pub const MOST_LOADED: usize = 16;

/// What is measured. Empty lists and zeros leave a part out.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Sizes of the fleet with hollow members.
    pub members: Vec<usize>,
    /// Real ones in each of them.
    pub real: usize,
    /// Zones that the members of each fleet are spread over and say so; 0: they do not say where they are.
    pub zones: usize,
    /// Worker processes that the hollow members are spread over.
    pub workers: usize,
    /// Real processes at rest.
    pub processes: usize,
    /// Real processes under load.
    pub loaded: usize,
    /// Rates of requests to each loaded one, stepped.
    pub rates: Vec<u64>,
    /// Rates of purges, told to all loaded ones, stepped.
    pub purges: Vec<u64>,
    pub seconds: u64,
    /// The fleet has so long to settle before each window.
    pub settle_s: u64,
    pub keep_s: f64,
    pub seed: u64,
}

/// An argument that does not fit.
#[derive(Clone, Debug, PartialEq)]
pub struct Unfit {
    pub argument: &'static str,
    pub found: String,
    pub accepted: String,
}

impl fmt::Display for Unfit {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Unfit {
            argument,
            found,
            accepted,
        } = self;
        write!(f, "--{argument}: found {found}, accepted: {accepted}")
    }
}

fn within(
    argument: &'static str,
    found: u64,
    range: std::ops::RangeInclusive<u64>,
) -> Result<(), Unfit> {
    if range.contains(&found) {
        return Ok(());
    }
    Err(Unfit {
        argument,
        found: found.to_string(),
        accepted: format!("{} to {}", range.start(), range.end()),
    })
}

impl Plan {
    /// Whether all of it can be done.
    pub fn check(&self) -> Result<(), Unfit> {
        within("real", self.real as u64, 1..=MOST_REAL as u64)?;
        within("workers", self.workers as u64, 1..=16)?;
        within("seconds", self.seconds, 1..=MOST_SECONDS)?;
        within("settle", self.settle_s, 1..=MOST_SECONDS)?;
        within("keep", self.keep_s as u64, 5..=3_600)?;
        for &members in &self.members {
            let least = self.real as u64 + 1;
            within("members", members as u64, least..=MOST_MEMBERS as u64)?;
        }
        if self.processes > 0 {
            within(
                "processes",
                self.processes as u64,
                2..=MOST_PROCESSES as u64,
            )?;
        }
        if self.stepped() {
            within("loaded", self.loaded as u64, 2..=MOST_LOADED as u64)?;
        }
        for &rate in &self.rates {
            within("rates", rate, 1..=MOST_RATE)?;
        }
        for &rate in &self.purges {
            within("purges", rate, 1..=MOST_RATE)?;
        }
        Ok(())
    }

    /// Whether anything is loaded.
    pub fn stepped(&self) -> bool {
        !self.rates.is_empty() || !self.purges.is_empty()
    }

    /// How many parts a run has, for its progress.
    pub fn parts(&self) -> usize {
        let steps = self.rates.len() * 2 + self.purges.len();
        self.members.len() + usize::from(self.processes > 0) + steps
    }
}
