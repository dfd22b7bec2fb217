//! The command line `trailproxy`: checks operators' files, queries running dispatchers and runs simulations and tests.

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
struct CommandLine {
    #[command(subcommand)]
    task: Task,
}

#[derive(Subcommand)]
enum Task {
    /// Check an operator's file or a scenario: exits with 0 if it is valid, with 1 and the position of the error if not.
    Check { file: String },
    /// The laboratory: simulate a fleet in virtual time, or run it on loopback.
    #[command(subcommand)]
    Lab(lab::Task),
    /// Traffic between zones: check sections, merge reports, plan budgets and measure their effect.
    #[command(subcommand)]
    Zones(zones::Task),
    /// The store that dispatchers share: whether it can be used, what it holds, and how to leave it.
    #[command(subcommand)]
    Store(store::Task),
    /// The other dispatchers: whether they can be reached, their state, and how a dispatcher leaves them.
    #[command(subcommand)]
    Peers(peers::Task),
    /// Budgets of the whole fleet: which dispatcher holds which share, until when, and why not more.
    #[command(subcommand)]
    Budgets(budgets::Task),
    /// Run many real dispatchers under random overlapping faults and check them from outside: exits with 3 if a promise was broken.
    Soak(soak::Task),
    /// Run several real dispatchers with scripted faults between them and check them from outside: exits with 3 if a rule was broken.
    Trial(trial::Task),
    /// Simulate the costs and the performance of a large fleet by size, in virtual time: exits with 3 if a promise is missed.
    Capacity(capacity::Task),
    /// Measure from outside what a real dispatcher costs in a large fleet.
    CapacityLive(capacity_live::Task),
}

/// How a task ended. The exit codes are 0, 1 and 3, in this order.
pub enum ExitStatus {
    /// The task succeeded.
    Success,
    /// The input is invalid or the task could not be done; the message says why.
    InvalidInput(String),
    /// A rule was broken or a promise missed.
    CheckFailed,
}

fn main() -> ExitCode {
    let end = match CommandLine::parse().task {
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
        ExitStatus::Success => ExitCode::SUCCESS,
        ExitStatus::InvalidInput(reason) => {
            eprintln!("trailproxy: {reason}");
            ExitCode::from(1)
        }
        ExitStatus::CheckFailed => ExitCode::from(3),
    }
}

/// Checks a file with a scenario section against the sections of a scenario, any other against those of an operator's file.
fn check(file: &str) -> ExitStatus {
    let parsed = match read_file(file, &sections::kinds()) {
        Ok(parsed) => parsed,
        Err(error) => return ExitStatus::InvalidInput(error.to_string()),
    };
    let checked = match parsed.one("scenario") {
        Some(_) => scenario::Scenario::load(file).map(|_| ()),
        None => read_file(file, sections::OPERATOR).map(|_| ()),
    };
    let zones = trailproxy_zones_tools::sections::zones_config(&parsed);
    if let Some(Err(error)) = zones.map(|zones| zones.check()) {
        return ExitStatus::InvalidInput(error.to_string());
    }
    if let Some(Err(error)) = sections::budgets_sheet(&parsed).map(|budgets| budgets.check()) {
        return ExitStatus::InvalidInput(error);
    }
    match checked {
        Ok(()) => {
            println!("{file}: {} sections, all fit", parsed.sections.len());
            ExitStatus::Success
        }
        Err(error) => ExitStatus::InvalidInput(error.to_string()),
    }
}
