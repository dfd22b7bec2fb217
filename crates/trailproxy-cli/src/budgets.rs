//! `trailproxy budgets`: shows which dispatcher holds which share of a budget, until when, and why not more.

use crate::ExitStatus;
use crate::peers::said;
use crate::sections::{budgets_sheet, kinds};
use clap::Subcommand;
use std::net::SocketAddrV4;
use trailproxy_budgets::SUBSYSTEM_ID;
use trailproxy_operator::read_file;
use trailproxy_peers::decide::messages::{InquiryId, MessagePart};

/// The subcommands of `trailproxy budgets`.
#[derive(Subcommand)]
pub enum Task {
    /// Show all budgets as each dispatcher holds them, and for voters the leases that they granted.
    Show {
        /// The operator's file.
        file: String,
        /// Ask only the dispatcher at this address, even if the file does not name it.
        #[arg(long)]
        at: Option<SocketAddrV4>,
    },
    /// Show one budget at each dispatcher, by the name of its crossing, or "cold caches" or "cold parents".
    Explain {
        file: String,
        name: String,
        #[arg(long)]
        at: Option<SocketAddrV4>,
    },
}

/// Runs a subcommand.
pub fn run(task: Task) -> ExitStatus {
    let result = match task {
        Task::Show { file, at } => print_status(&file, at, |text| Some(text.into())),
        Task::Explain { file, name, at } => {
            print_status(&file, at, |text| lines_of_budget(text, &name))
        }
    };
    match result {
        Ok(()) => ExitStatus::Success,
        Err(reason) => ExitStatus::InvalidInput(reason),
    }
}

fn print_status(
    file: &str,
    at: Option<SocketAddrV4>,
    select: impl Fn(&str) -> Option<String>,
) -> Result<(), String> {
    let script = read_file(file, &kinds()).map_err(|error| error.to_string())?;
    let config =
        budgets_sheet(&script).ok_or(format!("{file} has no section budgets that is on"))?;
    config.check()?;
    let request: fn(InquiryId) -> MessagePart =
        |inquiry| MessagePart::SubsystemStatusRequest(inquiry, SUBSYSTEM_ID);
    said(file, at, request, select)
}

/// Selects the lines of one budget; its first line has the name after the zone number.
fn lines_of_budget(text: &str, name: &str) -> Option<String> {
    let mut lines = Vec::new();
    let mut is_selected = false;
    for line in text.lines() {
        if let Some(rest) = line.strip_prefix("budget ") {
            let budget = rest.split_once(": ").map_or(rest, |(budget, _)| budget);
            is_selected = budget == name
                || budget
                    .split_once('/')
                    .is_some_and(|(_, local_name)| local_name == name);
        }
        if is_selected {
            lines.push(line);
        }
    }
    (!lines.is_empty()).then(|| lines.join("\n"))
}
