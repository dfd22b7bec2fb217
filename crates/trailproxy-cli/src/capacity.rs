//! What a large fleet costs and achieves, by size.

use crate::{ExitStatus, out};
use clap::Args;
use trailproxy_capacity::description::Description;
use trailproxy_capacity::figures::PhaseFigures;
use trailproxy_capacity::fleet::member::Placement;
use trailproxy_capacity::phases::{Lengths, Phase};
use trailproxy_capacity::plan::Plan;
use trailproxy_capacity::{checks, page, report};

/// Sizes as parts of the members asked for, where none are named.
const SIZE_PARTS: [f64; 4] = [0.125, 0.25, 0.5, 1.0];
const LEAST_MEMBERS: usize = 8;
const MOST_MEMBERS: usize = 1_024;
/// A quick run keeps records and purges no longer than this.
const QUICK_KEEP_S: u64 = 8;

#[derive(Args)]
pub struct Task {
    /// Members of the largest fleet; else as the description has it.
    #[arg(long)]
    members: Option<usize>,
    /// The description of the fleet; else the one that is expected in two years.
    #[arg(long)]
    fleet: Option<String>,
    /// Sizes to run, by commas; else an eighth, a quarter, a half and all of the members.
    #[arg(long, value_delimiter = ',')]
    sizes: Vec<usize>,
    /// Only these phases, by commas.
    #[arg(long, value_delimiter = ',')]
    only: Vec<String>,
    /// Shorter phases, and records and purges that are forgotten sooner.
    #[arg(long)]
    quick: bool,
    /// Where replicas of records are: anywhere in the fleet, or in each zone.
    #[arg(long, default_value = "by-zone", value_parser = ["fleet-wide", "by-zone"])]
    placement: String,
    /// Regions lose each other for an hour of virtual time.
    #[arg(long, conflicts_with = "quick")]
    hour: bool,
    /// What is drawn is drawn from it.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Folder for summary.json and report.html.
    #[arg(long)]
    out: Option<String>,
}

pub fn run(task: Task) -> ExitStatus {
    measured(&task).unwrap_or_else(ExitStatus::InvalidInput)
}

fn measured(task: &Task) -> Result<ExitStatus, String> {
    let plan = plan(task)?;
    let bar = out::progress(plan.runs() as u64, "phases");
    println!("{}", report::HEADINGS);
    let done = |figures: &PhaseFigures| {
        bar.suspend(|| println!("{}", report::line(figures)));
        bar.inc(1);
    };
    let results = plan.run(done)?;
    bar.finish_and_clear();
    let planted = checks::run_planted(&plan.description, plan.seed)?;
    let summary = report::Summary::new(&plan, results, planted);
    print!("{}", summary.text());
    if let Some(folder) = &task.out {
        let text = serde_json::to_string_pretty(&summary).map_err(|e| e.to_string())?;
        out::write(folder, "summary.json", &text)?;
        let page = page::page(&summary).map_err(|e| format!("the page can't be drawn: {e}"))?;
        out::write(folder, "report.html", &page)?;
    }
    Ok(if summary.keeps_rules() {
        ExitStatus::Success
    } else {
        ExitStatus::CheckFailed
    })
}

fn plan(task: &Task) -> Result<Plan, String> {
    let description = match &task.fleet {
        Some(path) => Description::load(path),
        None => Description::built_in(),
    };
    let mut description = description.map_err(|wrong| wrong.to_string())?;
    let members = checked_size(task.members.unwrap_or(description.members))?;
    if task.quick {
        let short = trailproxy::units::TimeSpan::from_secs(QUICK_KEEP_S);
        let demand = &mut description.demand;
        demand.keep = demand.keep.min(short);
        demand.purges_last = demand.purges_last.min(short);
    }
    Ok(Plan {
        sizes: sizes(task, members)?,
        phases: phases(&task.only)?,
        lengths: lengths(task),
        placement: Placement::of_name(&task.placement).unwrap_or_default(),
        seed: task.seed,
        description,
    })
}

fn checked_size(members: usize) -> Result<usize, String> {
    if (LEAST_MEMBERS..=MOST_MEMBERS).contains(&members) {
        return Ok(members);
    }
    Err(format!(
        "found {members} members, accepted: {LEAST_MEMBERS} to {MOST_MEMBERS}"
    ))
}

fn sizes(task: &Task, members: usize) -> Result<Vec<usize>, String> {
    let mut sizes: Vec<usize> = match task.sizes.is_empty() {
        false => task.sizes.clone(),
        true => {
            let part = |part: f64| ((members as f64 * part) as usize).max(LEAST_MEMBERS);
            SIZE_PARTS.into_iter().map(part).collect()
        }
    };
    for &size in &sizes {
        checked_size(size)?;
    }
    sizes.sort_unstable();
    sizes.dedup();
    Ok(sizes)
}

fn phases(only: &[String]) -> Result<Vec<Phase>, String> {
    if only.is_empty() {
        return Ok(Phase::ALL.to_vec());
    }
    let named = |name: &String| {
        Phase::of_name(name).ok_or_else(|| {
            let names = Phase::ALL.map(Phase::name).join(", ");
            format!("found phase {name}, accepted: {names}")
        })
    };
    only.iter().map(named).collect()
}

fn lengths(task: &Task) -> Lengths {
    match (task.quick, task.hour) {
        (true, _) => Lengths::quick(),
        (false, true) => Lengths::with_hour(),
        (false, false) => Lengths::full(),
    }
}
