//! Which sizes and phases are run, on a few threads.

use crate::description::Description;
use crate::figures::PhaseFigures;
use crate::fleet::Fleet;
use crate::fleet::member::Placement;
use crate::phases::{Lengths, Phase, Setup};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, OnceLock};

/// Runs at the same time.
const MOST_THREADS: usize = 4;

/// What is to be run.
#[derive(Clone, Debug)]
pub struct Plan {
    pub description: Description,
    pub sizes: Vec<usize>,
    pub phases: Vec<Phase>,
    pub lengths: Lengths,
    pub placement: Placement,
    pub seed: u64,
}

/// A settled fleet, made by whoever needs it first.
type Settled = OnceLock<Result<Fleet, String>>;

impl Plan {
    pub fn runs(&self) -> usize {
        self.sizes.len() * self.phases.len()
    }

    fn setup(&self, members: usize) -> Setup<'_> {
        Setup {
            description: &self.description,
            members,
            lengths: self.lengths,
            placement: self.placement,
            planted: None,
            seed: self.seed,
        }
    }

    /// Runs every phase at every size, the largest first, and tells of each that is done.
    pub fn run(&self, done: impl Fn(&PhaseFigures) + Sync) -> Result<Vec<PhaseFigures>, String> {
        let mut sizes = self.sizes.clone();
        sizes.sort_unstable_by(|one, other| other.cmp(one));
        let settled: Vec<Settled> = sizes.iter().map(|_| Settled::new()).collect();
        let next = AtomicUsize::new(0);
        let results = Mutex::new(Vec::new());
        let work = || {
            loop {
                let nth = next.fetch_add(1, Ordering::Relaxed);
                let size = nth / self.phases.len();
                let Some(&members) = sizes.get(size) else {
                    return;
                };
                let phase = self.phases[nth % self.phases.len()];
                let setup = self.setup(members);
                let fleet = settled[size].get_or_init(|| setup.settled_fleet());
                let result = fleet.clone().map(|fleet| setup.run(phase, fleet));
                if let Ok(figures) = &result {
                    done(figures);
                }
                if let Ok(mut results) = results.lock() {
                    results.push(result);
                }
            }
        };
        std::thread::scope(|scope| {
            for _ in 0..MOST_THREADS.min(self.runs()) {
                scope.spawn(work);
            }
        });
        let results = results.into_inner().map_err(|_| "a run ended in a panic")?;
        let mut figures = results.into_iter().collect::<Result<Vec<_>, String>>()?;
        figures.sort_by_key(|of| (Phase::of_name(of.phase), of.members));
        Ok(figures)
    }
}
