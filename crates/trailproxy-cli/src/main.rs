//! `trailproxy`: checks of an operator's file, and the laboratory.

mod budgets;
mod capacity;
mod capacity_live;
mod lab;
mod out;
mod peers;
mod sections;
mod soak;
mod store;
mod trial;
mod zones;

use clap::{Parser, Subcommand};
use std::process::ExitCode;
use trailproxy_lab::scenario;
use trailproxy_operator::read_file;

/// Decides where objects are served, kept and filled from: the tools beside the dispatcher.
#[derive(Parser)]
#[command(version, about, max_term_width = 110)]
struct Line {
    #[command(subcommand)]
    task: Task,
}

#[derive(Subcommand)]
enum Task {
    /// Check an operator's file or a scenario: 0 where all of it fits, 1 with the place of what does not.
    Check { file: String },
    /// The laboratory: a fleet in virtual time and on loopback.
    #[command(subcommand)]
    Lab(lab::Task),
    /// Traffic between zones: sections, reports, the planner, and what they are worth.
    #[command(subcommand)]
    Zones(zones::Task),
    /// The store that dispatchers share: whether it can be used, what it holds, and how to leave it.
    #[command(subcommand)]
    Store(store::Task),
    /// The other dispatchers: whether they are reached, how they stand, and how one leaves them.
    #[command(subcommand)]
    Peers(peers::Task),
    /// Budgets of the whole fleet: who has which part, until when, and why not more.
    #[command(subcommand)]
    Budgets(budgets::Task),
    /// Many real dispatchers under randomized faults that overlap, judged from outside: 3 where a promise was broken.
    Soak(soak::Task),
    /// Several real dispatchers, faults between them by a script, and somebody outside who counts: 3 where a rule broke.
    Trial(trial::Task),
    /// What a large fleet costs and achieves, by size, in virtual time: 3 where a promise is missed.
    Capacity(capacity::Task),
    /// What a real dispatcher costs in a large fleet, measured from outside.
    CapacityLive(capacity_live::Task),
}

/// How a task ended; the numbers are the exit codes.
pub enum End {
    Well,
    /// Bad input: one plain message.
    Refused(String),
    /// A rule was broken or a promise missed.
    Broken,
}

fn main() -> ExitCode {
    let end = match Line::parse().task {
        Task::Check { file } => check(&file),
        Task::Lab(task) => lab::run(task),
        Task::Zones(task) => zones::run(task),
        Task::Store(task) => store::run(task),
        Task::Peers(task) => peers::run(task),
        Task::Budgets(task) => budgets::run(task),
        Task::Soak(task) => soak::run(task),
        Task::Trial(task) => trial::run(task),
        Task::Capacity(task) => capacity::run(task),
        Task::CapacityLive(task) => capacity_live::run(task),
    };
    match end {
        End::Well => ExitCode::SUCCESS,
        End::Refused(why) => {
            eprintln!("trailproxy: {why}");
            ExitCode::from(1)
        }
        End::Broken => ExitCode::from(3),
    }
}

/// A file with a scenario section is held against a scenario's kinds, any other against the operator's.
fn check(file: &str) -> End {
    let sheet = match read_file(file, &sections::kinds()) {
        Ok(sheet) => sheet,
        Err(wrong) => return End::Refused(wrong.to_string()),
    };
    let checked = match sheet.one("scenario") {
        Some(_) => scenario::Scenario::load(file).map(|_| ()),
        None => read_file(file, sections::OPERATOR).map(|_| ()),
    };
    let zones = trailproxy_zones_tools::sections::zones_config(&sheet);
    if let Some(Err(unfit)) = zones.map(|zones| zones.check()) {
        return End::Refused(unfit.to_string());
    }
    if let Some(Err(unfit)) = sections::budgets_sheet(&sheet).map(|budgets| budgets.check()) {
        return End::Refused(unfit);
    }
    match checked {
        Ok(()) => {
            println!("{file}: {} sections, all fit", sheet.sections.len());
            End::Well
        }
        Err(wrong) => End::Refused(wrong.to_string()),
    }
}
