//! `trailproxy capacity-live`: measures from outside what a real dispatcher costs in a large fleet.

use crate::ExitStatus;
use crate::lab::place;
use crate::out;
use clap::Args;
use std::path::PathBuf;
use trailproxy_capacity_live::dispatcher::Place;
use trailproxy_capacity_live::plan::Plan;
use trailproxy_capacity_live::run::run as measure;

#[derive(Args)]
pub struct Task {
    /// Sizes of the fleet in which a few dispatchers are real and the others only run the peer protocol on sockets; `none` skips this part.
    #[arg(long, default_value = "60,120,240,490")]
    members: String,
    /// Number of real dispatchers in each of these fleets.
    #[arg(long, default_value_t = 8)]
    real: usize,
    /// Number of zones that the members of each fleet report to be in, without distances between them; 0: none is reported.
    #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u8).range(0..=64))]
    zones: u8,
    /// Number of processes that run the other members.
    #[arg(long, default_value_t = 4)]
    workers: usize,
    /// Number of real dispatchers at rest, without other members; 0 skips this part.
    #[arg(long, default_value_t = 100)]
    processes: usize,
    /// Number of real dispatchers under load.
    #[arg(long, default_value_t = 16)]
    loaded: usize,
    /// Requests a second to each loaded dispatcher, plain and keyed, one step each; `none` skips this part.
    #[arg(long, default_value = "10,20,40,80")]
    rates: String,
    /// Purges a second to all loaded dispatchers, one step each; `none` skips this part.
    #[arg(long, default_value = "2,5,10,20")]
    purges: String,
    /// Length of each measured window, in seconds.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// The longest time for a fleet to settle before its window, in seconds.
    #[arg(long, default_value_t = 60)]
    settle: u64,
    /// How long a record of a keyed request is kept, in seconds.
    #[arg(long, default_value_t = 10.0)]
    keep: f64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Folder for live.json.
    #[arg(long)]
    out: Option<String>,
    /// Path of the dispatcher; by default `trailproxyd` in the folder of this program.
    #[arg(long)]
    daemon: Option<String>,
    /// Path of the program that runs members without a dispatcher; by default `hollow-members` in the folder of this program.
    #[arg(long)]
    hollow: Option<PathBuf>,
}

/// Runs the measurement.
pub fn run(task: Task) -> ExitStatus {
    match run_plan(&task) {
        Ok(()) => ExitStatus::Success,
        Err(reason) => ExitStatus::InvalidInput(reason),
    }
}

fn run_plan(task: &Task) -> Result<(), String> {
    let plan = plan(task)?;
    plan.check().map_err(|error| error.to_string())?;
    let place = programs(task)?;
    let parts = plan.parts() as u64;
    let bar = out::progress(parts, "capacity-live");
    let figures = measure(&plan, &place, &|_| bar.inc(1)).map_err(|e| e.to_string())?;
    bar.finish_and_clear();
    print!("{figures}");
    if let Some(folder) = &task.out {
        let text = serde_json::to_string_pretty(&figures).map_err(|e| e.to_string())?;
        out::write(folder, "live.json", &text)?;
    }
    Ok(())
}

fn plan(task: &Task) -> Result<Plan, String> {
    Ok(Plan {
        members: list("members", &task.members)?,
        real: task.real,
        zones: task.zones.into(),
        workers: task.workers,
        processes: task.processes,
        loaded: task.loaded,
        rates: list("rates", &task.rates)?,
        purges: list("purges", &task.purges)?,
        seconds: task.seconds,
        settle_s: task.settle,
        keep_s: task.keep,
        seed: task.seed,
    })
}

/// Reads whole numbers with commas between them, or the word `none`.
fn list<T: std::str::FromStr>(argument: &str, text: &str) -> Result<Vec<T>, String> {
    if text == "none" {
        return Ok(Vec::new());
    }
    let error = format!(
        "--{argument}: found {text:?}, accepted: whole numbers with commas between them, or none"
    );
    let numbers = text.split(',').map(|number| number.parse().ok());
    numbers.collect::<Option<_>>().ok_or(error)
}

fn programs(task: &Task) -> Result<Place, String> {
    let lab = place(task.daemon.clone())?;
    let default_path = || {
        Some(
            std::env::current_exe()
                .ok()?
                .parent()?
                .join("hollow-members"),
        )
    };
    let hollow = task.hollow.clone().or_else(default_path);
    let hollow = hollow.ok_or("no program of hollow members is named")?;
    if !hollow.is_file() {
        let path = hollow.display();
        return Err(format!(
            "{path} is not there; --hollow names the program of hollow members"
        ));
    }
    Ok(Place {
        daemon: lab.daemon,
        hollow,
        folder: lab.folder,
    })
}
