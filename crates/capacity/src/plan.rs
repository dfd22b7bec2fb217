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

/// Parts of the full rate at which keyed requests are run at the smallest size, beside the full one.
const RATE_PARTS: [f64; 3] = [0.25, 0.5, 0.75];

/// One run.
#[derive(Clone, Copy, Debug)]
struct Job {
    /// The place of its size.
    size: usize,
    phase: Phase,
    /// Of the rate of keyed requests.
    rate_part: f64,
}

/// All figures of a plan.
#[derive(Clone, Debug, Default)]
pub struct Results {
    /// At the full rates, by phase and size.
    pub by_size: Vec<PhaseFigures>,
    /// Keyed requests at the smallest size, by rate, with the full one.
    pub by_rate: Vec<PhaseFigures>,
}

/// A settled fleet, made by whoever needs it first.
type Settled = OnceLock<Result<Fleet, String>>;

impl Plan {
    /// Sizes from the largest: what takes longest begins first.
    fn descending_sizes(&self) -> Vec<usize> {
        let mut sizes = self.sizes.clone();
        sizes.sort_unstable_by(|one, other| other.cmp(one));
        sizes
    }

    fn jobs(&self) -> Vec<Job> {
        let full = |size: usize, phase: Phase| Job {
            size,
            phase,
            rate_part: 1.0,
        };
        // What takes longest begins first, and fleets of all sizes settle side by side.
        let mut phases = self.phases.clone();
        phases.sort_by_key(|&phase| !phase.has_keyed());
        let sizes = || 0..self.sizes.len();
        let by_size = phases.iter();
        let by_size = by_size.flat_map(|&phase| sizes().map(move |size| full(size, phase)));
        let mut jobs: Vec<Job> = by_size.collect();
        if self.phases.contains(&Phase::Keyed) {
            let smallest = full(self.sizes.len() - 1, Phase::Keyed);
            let by_rate = RATE_PARTS.map(|rate_part| Job {
                rate_part,
                ..smallest
            });
            jobs.extend(by_rate);
        }
        jobs
    }

    pub fn runs(&self) -> usize {
        self.jobs().len()
    }

    /// Runs every phase at every size, the largest first, and tells of each that is done.
    pub fn run(&self, done: impl Fn(&PhaseFigures) + Sync) -> Result<Results, String> {
        let sizes = self.descending_sizes();
        let jobs = self.jobs();
        let settled: Vec<Settled> = sizes.iter().map(|_| Settled::new()).collect();
        let next = AtomicUsize::new(0);
        let results = Mutex::new(Vec::new());
        let work = || {
            while let Some(job) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) {
                let result = self.run_one(job, sizes[job.size], &settled[job.size]);
                if let Ok(figures) = &result {
                    done(figures);
                }
                if let Ok(mut results) = results.lock() {
                    results.push((*job, result));
                }
            }
        };
        std::thread::scope(|scope| {
            for _ in 0..MOST_THREADS.min(jobs.len()) {
                scope.spawn(work);
            }
        });
        let results = results.into_inner().map_err(|_| "a run ended in a panic")?;
        self.sorted(results, sizes.len() - 1)
    }

    fn run_one(
        &self,
        job: &Job,
        members: usize,
        settled: &Settled,
    ) -> Result<PhaseFigures, String> {
        let mut description = self.description.clone();
        description.demand.requests_per_s *= job.rate_part;
        let setup = Setup {
            description: &description,
            members,
            lengths: self.lengths,
            placement: self.placement,
            planted: None,
            seed: self.seed,
        };
        let fleet = settled.get_or_init(|| setup.settled_fleet());
        let fleet = fleet.clone()?;
        Ok(setup.run(job.phase, fleet))
    }

    /// The results in the order of phases, sizes and rates, whenever they came.
    fn sorted(
        &self,
        results: Vec<(Job, Result<PhaseFigures, String>)>,
        smallest: usize,
    ) -> Result<Results, String> {
        let mut sorted = Results::default();
        for (job, result) in results {
            let figures = result?;
            if job.phase == Phase::Keyed && job.size == smallest {
                sorted.by_rate.push(figures.clone());
            }
            if job.rate_part == 1.0 {
                sorted.by_size.push(figures);
            }
        }
        sorted
            .by_size
            .sort_by_key(|of| (Phase::of_name(of.phase), of.members));
        sorted
            .by_rate
            .sort_by(|one, other| one.keyed_per_s.total_cmp(&other.keyed_per_s));
        Ok(sorted)
    }
}
