//! Real dispatchers only: many at rest, and some under load that is raised step by step.

use crate::dispatcher::{Dispatcher, Place, Start, free_datagram_addresses};
use crate::figures::{LoadKind, LoadStep, ProcessFigures, ProcessesAtRest};
use crate::hollow::{SEEDS, WAIT_MS, least_alive, settled, standings};
use crate::load::Load;
use crate::plan::Plan;
use crate::slope::{Point, Slope};
use crate::surroundings::{PeersTerms, Surroundings, sites};
use crate::usage::{Usage, load_average};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Load runs for so long before it is measured.
const WARM_UP: Duration = Duration::from_secs(2);
const LOOK_AGAIN: Duration = Duration::from_secs(1);

/// Real dispatchers that know each other, ended when this is dropped.
pub struct Fleet {
    pub dispatchers: Vec<Dispatcher>,
}

impl Fleet {
    /// Starts so many one after the other; `peers` off leaves each alone.
    pub async fn start(
        place: &Place,
        surroundings: &Surroundings,
        plan: &Plan,
        (size, peers): (usize, bool),
    ) -> io::Result<Fleet> {
        let addresses = free_datagram_addresses(size)?;
        let seeds = &addresses[..size.min(SEEDS)];
        let sites = sites(plan.zones, &addresses);
        let terms = PeersTerms {
            keep_s: plan.keep_s,
            wait_ms: WAIT_MS,
        };
        let mut dispatchers = Vec::new();
        for (nth, &listen) in addresses.iter().enumerate() {
            let name = format!("process{nth}");
            let start = Start {
                name: &name,
                seed: plan.seed.wrapping_add(nth as u64),
                fleet_size: size,
                listen,
                seeds,
                sites: &sites,
                terms: Some(terms).filter(|_| peers),
            };
            let dispatcher = Dispatcher::start(place, surroundings, start)?;
            dispatcher.ready().await?;
            dispatchers.push(dispatcher);
        }
        Ok(Fleet { dispatchers })
    }

    /// Waits until each counts all others and lacks nothing; `None` where it did not come to it.
    pub async fn settle(&self, within: Duration) -> io::Result<Option<f64>> {
        let began = Instant::now();
        while began.elapsed() < within {
            let standings = standings(&self.dispatchers).await?;
            if settled(&standings, self.dispatchers.len()) {
                return Ok(Some(began.elapsed().as_secs_f64()));
            }
            sleep(LOOK_AGAIN).await;
        }
        Ok(None)
    }

    fn usages(&self) -> io::Result<Vec<Usage>> {
        self.dispatchers.iter().map(Dispatcher::usage).collect()
    }

    /// What each used over one window, and how long the window was.
    async fn measure(&self, window: Duration) -> io::Result<(f64, Vec<ProcessFigures>)> {
        let (before, began) = (self.usages()?, Instant::now());
        sleep(window).await;
        let (after, seconds) = (self.usages()?, began.elapsed().as_secs_f64());
        let all = self.dispatchers.iter().zip(before.iter().zip(&after));
        let figures = all.map(|(of, (&before, &after))| {
            ProcessFigures::between(&of.name, before, after, seconds)
        });
        Ok((seconds, figures.collect()))
    }
}

/// Many at rest. Without peers nothing settles, and nobody is counted.
pub async fn at_rest(
    place: &Place,
    surroundings: &Surroundings,
    plan: &Plan,
    (size, peers): (usize, bool),
) -> io::Result<ProcessesAtRest> {
    let fleet = Fleet::start(place, surroundings, plan, (size, peers)).await?;
    let settled_after_s = match peers {
        true => fleet.settle(Duration::from_secs(plan.settle_s)).await?,
        false => None,
    };
    let window = Duration::from_secs(plan.seconds);
    let (seconds, processes) = fleet.measure(window).await?;
    let standings = match peers {
        true => standings(&fleet.dispatchers).await?,
        false => Vec::new(),
    };
    let whole = standings.iter().filter(|of| of.word == "whole");
    Ok(ProcessesAtRest {
        peers,
        seconds,
        settled_after_s,
        least_alive: least_alive(&standings),
        whole: whole.count(),
        load_average: load_average(),
        processes,
    })
}

/// Some under load: each kind at each of its rates, rising.
pub async fn under_load(
    place: &Place,
    surroundings: &Rc<Surroundings>,
    plan: &Plan,
    told: &dyn Fn(&str),
) -> io::Result<Vec<LoadStep>> {
    let fleet = Fleet::start(place, surroundings, plan, (plan.loaded, true)).await?;
    fleet.settle(Duration::from_secs(plan.settle_s)).await?;
    // Keyed requests come last: what is kept of them costs something for a while after their load.
    let kinds = [
        (LoadKind::Purges, &plan.purges),
        (LoadKind::Plain, &plan.rates),
        (LoadKind::Keyed, &plan.rates),
    ];
    let mut steps = Vec::new();
    for (kind, rates) in kinds {
        for &per_s in rates {
            let step = step(&fleet, surroundings, plan, (kind, per_s)).await?;
            told(&format!("{per_s} {}/s measured", kind.word()));
            steps.push(step);
        }
    }
    Ok(steps)
}

async fn step(
    fleet: &Fleet,
    surroundings: &Rc<Surroundings>,
    plan: &Plan,
    (kind, per_s): (LoadKind, u64),
) -> io::Result<LoadStep> {
    let load = Load::begin(surroundings, &fleet.dispatchers, kind, per_s);
    sleep(WARM_UP).await;
    let (done, failed) = (load.tally.done.get(), load.tally.failed.get());
    let window = Duration::from_secs(plan.seconds);
    let (seconds, processes) = fleet.measure(window).await?;
    // Every dispatcher hears of each purge, and of its own requests only.
    let sharing = match kind {
        LoadKind::Purges => 1,
        LoadKind::Plain | LoadKind::Keyed => fleet.dispatchers.len(),
    };
    let done = (load.tally.done.get() - done) as f64;
    Ok(LoadStep {
        kind,
        asked_per_s: per_s as f64,
        done_per_s: done / seconds / sharing as f64,
        failed: load.tally.failed.get() - failed,
        seconds,
        load_average: load_average(),
        processes,
    })
}

/// How what a dispatcher uses grows with each kind of load; each process at each rate is a point.
pub fn by_load(steps: &[LoadStep]) -> Vec<Slope> {
    let kinds = [LoadKind::Plain, LoadKind::Keyed, LoadKind::Purges];
    kinds
        .iter()
        .flat_map(|&kind| of_kind(steps, kind))
        .collect()
}

fn of_kind(steps: &[LoadStep], kind: LoadKind) -> Vec<Slope> {
    let points = |value: &dyn Fn(&ProcessFigures) -> f64| -> Vec<Point> {
        let of_step = |step: &LoadStep| -> Vec<Point> {
            let x = step.done_per_s;
            let points = step.processes.iter().map(|of| Point { x, y: value(of) });
            points.collect()
        };
        let steps = steps.iter().filter(|step| step.kind == kind);
        steps.flat_map(of_step).collect()
    };
    let by = format!("{} a second", kind.word());
    let processor = points(&|of| of.processor_share() * 100.0);
    let resident = points(&|of| of.resident_kb as f64);
    let fits = [
        Slope::fit("core %", &by, &processor),
        Slope::fit("RSS KB", &by, &resident),
    ];
    fits.into_iter().flatten().collect()
}
