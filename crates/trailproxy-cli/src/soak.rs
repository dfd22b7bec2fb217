//! `trailproxy soak`: randomized runs of many real dispatchers under overlapping faults.

use crate::{ExitStatus, out};
use clap::Args;
use serde::Serialize;
use std::path::PathBuf;
use std::time::Instant;
use trailproxy_soak::oracle::Verdict;
use trailproxy_soak::plan::{Kind, Plan, Size};
use trailproxy_soak::process::{Place, fresh_folder};
use trailproxy_soak::run::play;

#[derive(Args)]
pub struct Task {
    /// Seed of the first run; each later run uses the next number.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of runs.
    #[arg(long, default_value_t = 1)]
    runs: u64,
    /// Number of dispatchers in a run.
    #[arg(long, default_value_t = 12)]
    dispatchers: usize,
    /// Length of a run, in seconds.
    #[arg(long, default_value_t = 12.0)]
    seconds: f64,
    /// Requests a second at each dispatcher.
    #[arg(long, default_value_t = 8.0)]
    rate: f64,
    /// Kinds of faults, separated by commas; by default all: process, calls, clocks, servers, network, discovery, clients.
    #[arg(long)]
    kinds: Option<String>,
    /// Do not preload the fault shim: no system call fails and no clock is stepped.
    #[arg(long)]
    no_shim: bool,
    /// Path of the dispatcher; by default `trailproxyd` in the folder of this program.
    #[arg(long)]
    daemon: Option<PathBuf>,
    /// Folder for summary.json, and for the logs of runs that broke something.
    #[arg(long, default_value = "out/soak")]
    out: String,
}

/// Accepted values of `--dispatchers`.
const ACCEPTED_DISPATCHERS: std::ops::RangeInclusive<usize> = 1..=40;
/// Most breaches that are printed for a run.
const MAX_PRINTED_BREACHES: usize = 12;

/// The result of one run in summary.json.
#[derive(Serialize)]
struct Summary {
    seed: u64,
    dispatchers: usize,
    seconds: f64,
    kinds: Vec<&'static str>,
    events: Vec<String>,
    servers: Vec<String>,
    verdict: Verdict,
}

/// Runs the soak test.
pub fn run(task: Task) -> ExitStatus {
    run_all(&task).unwrap_or_else(ExitStatus::InvalidInput)
}

fn run_all(task: &Task) -> Result<ExitStatus, String> {
    let kinds = kinds(task.kinds.as_deref())?;
    if !ACCEPTED_DISPATCHERS.contains(&task.dispatchers) {
        return Err(format!(
            "--dispatchers: found {}, accepted: {} to {}",
            task.dispatchers,
            ACCEPTED_DISPATCHERS.start(),
            ACCEPTED_DISPATCHERS.end()
        ));
    }
    let mut summaries = Vec::new();
    let (mut broken, mut void) = (0, 0);
    for seed in task.seed..task.seed + task.runs {
        let summary = run_seed(task, seed, &kinds)?;
        let verdict = &summary.verdict;
        void += usize::from(verdict.is_void());
        broken += usize::from(!verdict.is_void() && !verdict.broken.is_empty());
        summaries.push(summary);
        let text = serde_json::to_string_pretty(&summaries).map_err(|e| e.to_string())?;
        out::write(&task.out, "summary.json", &text)?;
    }
    println!(
        "{broken} of {} runs broke something, {void} are void",
        summaries.len()
    );
    Ok(if broken == 0 {
        ExitStatus::Success
    } else {
        ExitStatus::CheckFailed
    })
}

fn kinds(named: Option<&str>) -> Result<Vec<Kind>, String> {
    let Some(named) = named else {
        return Ok(Kind::ALL.to_vec());
    };
    let accepted = || Kind::ALL.map(Kind::name).join(", ");
    let parse_kind = |name: &str| {
        let kind = Kind::ALL.into_iter().find(|kind| kind.name() == name);
        kind.ok_or_else(|| format!("--kinds: found {name:?}, accepted: {}", accepted()))
    };
    named.split(',').map(parse_kind).collect()
}

fn run_seed(task: &Task, seed: u64, kinds: &[Kind]) -> Result<Summary, String> {
    let size = Size {
        dispatchers: task.dispatchers,
        seconds: task.seconds,
        rate: task.rate,
    };
    let plan = Plan::draw(seed, size, kinds)?;
    let events: Vec<String> = plan.events.iter().map(ToString::to_string).collect();
    let servers = plan.scenario.script.iter();
    let servers: Vec<String> = servers.map(ToString::to_string).collect();
    let place = place(task, seed)?;
    let started = Instant::now();
    let verdict = play(plan, &place).map_err(|e| format!("the run can't be played: {e}"))?;
    let (tally, took) = (verdict.tally, started.elapsed().as_secs());
    println!(
        "seed {seed}: {} troubles, {} asked, {} served, {} refused, {} failed, {} left, {} excused, {took} s, broken: {:?}",
        events.len() + servers.len(),
        tally.asked,
        tally.served,
        tally.refused,
        tally.failed,
        tally.left,
        tally.excused,
        verdict.broken
    );
    if verdict.is_void() {
        let stalled = verdict.judge_stalled_s;
        println!("  void: the judge itself was not run for {stalled:.3} s");
    }
    for breach in verdict.breaches.iter().take(MAX_PRINTED_BREACHES) {
        println!(
            "  {:7.3} s {:?}: {}",
            breach.at_s, breach.promise, breach.what
        );
    }
    if verdict.broken.is_empty() {
        let _ = std::fs::remove_dir_all(&place.folder);
    } else {
        println!("  logs: {}", place.folder.display());
    }
    Ok(Summary {
        seed,
        dispatchers: task.dispatchers,
        seconds: task.seconds,
        kinds: kinds.iter().map(|kind| kind.name()).collect(),
        events,
        servers,
        verdict,
    })
}

fn place(task: &Task, seed: u64) -> Result<Place, String> {
    let default_path = || {
        let this_program = std::env::current_exe().map_err(|e| e.to_string())?;
        Ok::<_, String>(this_program.with_file_name("trailproxyd"))
    };
    let program = task.daemon.clone().map_or_else(default_path, Ok)?;
    let shim = match task.no_shim {
        true => None,
        false => Some(trailproxy_fault_control::shim_library().map_err(|e| e.to_string())?),
    };
    let parent = std::env::temp_dir();
    let folder = fresh_folder(&parent, seed).map_err(|e| e.to_string())?;
    Ok(Place {
        program,
        shim,
        folder,
    })
}
