//! Real dispatchers in a fleet whose other members are hollow: cores on sockets, many to a process.

use crate::dispatcher::{Dispatcher, Place, Start, free_datagram_addresses};
use crate::figures::{HollowStep, ProcessFigures, WireFigures};
use crate::member::{Traffic, UnixClock};
use crate::plan::Plan;
use crate::question::{Standing, ask};
use crate::surroundings::{PeersTerms, Surroundings, sites};
use crate::usage::{Usage, load_average};
use crate::worker::{Counts, Hollow, Order, Worker};
use std::io;
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::time::{Instant, sleep};
use trailproxy_peers::decide::new_boot_id;
use trailproxy_peers::sites::Site;

/// How long a keyed request waits for the others, as is usual.
pub const WAIT_MS: f64 = 5.0;
/// Addresses that each member is told to look for others at.
pub const SEEDS: usize = 3;
const LOOK_AGAIN: Duration = Duration::from_millis(500);

/// Readings of all processes and counts at one moment.
struct Reading {
    at: Instant,
    real: Vec<Usage>,
    standings: Vec<Standing>,
    workers: f64,
    counts: Counts,
}

/// A fleet of real and hollow members, ended when it is dropped.
pub struct HollowFleet {
    size: usize,
    pub real: Vec<Dispatcher>,
    pub workers: Vec<Worker>,
}

impl HollowFleet {
    /// Starts all of it: the real ones first, as they are the seeds.
    pub async fn start(
        place: &Place,
        surroundings: &Surroundings,
        plan: &Plan,
        size: usize,
    ) -> io::Result<HollowFleet> {
        let addresses = free_datagram_addresses(size)?;
        let sites = sites(plan.zones, &addresses);
        let (addresses, hollow) = addresses.split_at(plan.real);
        let seeds = &addresses[..addresses.len().min(SEEDS)];
        let real = start_real(place, surroundings, plan, size, (addresses, seeds), &sites)?;
        let mut fleet = HollowFleet {
            size,
            real,
            workers: Vec::new(),
        };
        for dispatcher in &fleet.real {
            dispatcher.ready().await?;
        }
        let known = hollow_members(hollow);
        for own in known.chunks(known.len().div_ceil(plan.workers)) {
            let order = Order {
                own: own.to_vec(),
                known: known.clone(),
                seeds: seeds.to_vec(),
                sites: sites.clone(),
                watched: addresses.to_vec(),
                keep_s: plan.keep_s,
                wait_ms: WAIT_MS,
                purges_last_s: surroundings.scenario.terms.purge_propagation.as_secs_f64() * 3.0,
            };
            let worker = Worker::start(&place.hollow, &order).await?;
            fleet.workers.push(worker);
        }
        Ok(fleet)
    }

    /// Waits until each real one counts all others and lacks nothing: after how long, or `None` where it did not come to it.
    pub async fn settle(&mut self, within: Duration) -> io::Result<Option<f64>> {
        let began = Instant::now();
        while began.elapsed() < within {
            if settled(&standings(&self.real).await?, self.size) {
                return Ok(Some(began.elapsed().as_secs_f64()));
            }
            sleep(LOOK_AGAIN).await;
        }
        Ok(None)
    }

    /// Waits until each real one counts all others, whatever it lacks; `false`: it did not come to it.
    pub async fn meet(&mut self, within: Duration) -> io::Result<bool> {
        let began = Instant::now();
        while began.elapsed() < within {
            if least_alive(&standings(&self.real).await?) + 1 == self.size {
                return Ok(true);
            }
            sleep(LOOK_AGAIN).await;
        }
        Ok(false)
    }

    /// Measures over one window.
    pub async fn measure(&mut self, window: Duration) -> io::Result<HollowStep> {
        let before = self.read().await?;
        sleep(window).await;
        let after = self.read().await?;
        let seconds = (after.at - before.at).as_secs_f64();
        let least = |reading: &Reading| least_alive(&reading.standings);
        let whole = after.standings.iter().filter(|of| of.word == "whole");
        Ok(HollowStep {
            members: self.size,
            real: self.real.len(),
            workers: self.workers.len(),
            seconds,
            settled_after_s: None,
            least_alive: least(&before).min(least(&after)),
            least_alive_hollow: before.counts.least_alive.min(after.counts.least_alive),
            whole: whole.count(),
            workers_share: (after.workers - before.workers) / seconds,
            load_average: load_average(),
            processes: self.figures(&before, &after, seconds),
        })
    }

    fn figures(&self, before: &Reading, after: &Reading, seconds: f64) -> Vec<ProcessFigures> {
        let figures = |(nth, dispatcher): (usize, &Dispatcher)| {
            let usage = (before.real[nth], after.real[nth]);
            let name = &dispatcher.name;
            let mut figures = ProcessFigures::between(name, usage.0, usage.1, seconds);
            let counted = after.counts.watched[nth].since(before.counts.watched[nth]);
            figures.wire = Some(self.wire(counted, seconds));
            figures
        };
        self.real.iter().enumerate().map(figures).collect()
    }

    /// Hollow members count what passes between them and a real one; for the few other real ones, as much is added as
    /// passes with so many hollow ones.
    fn wire(&self, counted: Traffic, seconds: f64) -> WireFigures {
        let others = self.size - 1;
        let hollow = self.size - self.real.len();
        let scale = others as f64 / hollow as f64 / seconds;
        WireFigures {
            messages_in_per_s: counted.sent as f64 * scale,
            messages_out_per_s: counted.received as f64 * scale,
            bytes_in_per_s: counted.sent_bytes as f64 * scale,
            bytes_out_per_s: counted.received_bytes as f64 * scale,
        }
    }

    async fn read(&mut self) -> io::Result<Reading> {
        let standings = standings(&self.real).await?;
        let mut counts: Option<Counts> = None;
        for worker in &mut self.workers {
            let more = worker.count().await?;
            counts = Some(match counts {
                Some(counts) => counts.join(more),
                None => more,
            });
        }
        let mut workers = 0.0;
        for id in self.workers.iter().filter_map(Worker::id) {
            workers += Usage::of(id)?.processor_s();
        }
        let real = self.real.iter().map(Dispatcher::usage);
        Ok(Reading {
            at: Instant::now(),
            real: real.collect::<io::Result<_>>()?,
            standings,
            workers,
            counts: counts.unwrap_or_default(),
        })
    }
}

fn hollow_members(addresses: &[SocketAddrV4]) -> Vec<Hollow> {
    let now = UnixClock::start().now();
    let numbered = (0_u64..).zip(addresses);
    let hollow = |(nth, &address): (u64, &SocketAddrV4)| Hollow {
        name: format!("hollow{nth}"),
        address,
        life: new_boot_id(now, nth).0,
    };
    numbered.map(hollow).collect()
}

fn start_real(
    place: &Place,
    surroundings: &Surroundings,
    plan: &Plan,
    size: usize,
    (addresses, seeds): (&[SocketAddrV4], &[SocketAddrV4]),
    sites: &[Site],
) -> io::Result<Vec<Dispatcher>> {
    let terms = PeersTerms {
        keep_s: plan.keep_s,
        wait_ms: WAIT_MS,
    };
    let mut real = Vec::new();
    for (nth, &listen) in addresses.iter().enumerate() {
        let name = format!("real{nth}");
        let start = Start {
            name: &name,
            seed: plan.seed.wrapping_add(nth as u64),
            fleet_size: size,
            listen,
            seeds,
            sites,
            terms: Some(terms),
        };
        real.push(Dispatcher::start(place, surroundings, start)?);
    }
    Ok(real)
}

/// How all of them stand.
pub async fn standings(real: &[Dispatcher]) -> io::Result<Vec<Standing>> {
    let mut all = Vec::new();
    for dispatcher in real {
        all.push(ask(dispatcher.peers).await?);
    }
    Ok(all)
}

/// Whether each counts all others of a fleet of that size, and lacks nothing.
pub fn settled(standings: &[Standing], size: usize) -> bool {
    let whole = |of: &Standing| of.word == "whole" && of.alive + 1 == size;
    standings.iter().all(whole)
}

/// The least number of others that one of them counts as alive.
pub fn least_alive(standings: &[Standing]) -> usize {
    let alive = standings.iter().map(|of| of.alive);
    alive.min().unwrap_or(0)
}

/// One size of the fleet from start to end.
pub async fn step(
    place: &Place,
    surroundings: &Surroundings,
    plan: &Plan,
    size: usize,
) -> io::Result<HollowStep> {
    let mut fleet = HollowFleet::start(place, surroundings, plan, size).await?;
    let settled = fleet.settle(Duration::from_secs(plan.settle_s)).await?;
    let mut step = fleet.measure(Duration::from_secs(plan.seconds)).await?;
    step.settled_after_s = settled;
    Ok(step)
}
