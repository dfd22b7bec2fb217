//! Budgets of the whole fleet: who has which part of them, until when, and why not more.

use crate::End;
use crate::peers::said;
use crate::sections::{budgets_sheet, kinds};
use clap::Subcommand;
use std::net::SocketAddrV4;
use trailproxy_budgets::SUBSYSTEM_ID;
use trailproxy_operator::read_file;
use trailproxy_peers::decide::messages::{InquiryId, MessagePart};

#[derive(Subcommand)]
pub enum Task {
    /// All budgets as each dispatcher has them; with voters, whom they gave their words.
    Show {
        /// The operator's file.
        file: String,
        /// Only the one at this address, whether the file names it or not.
        #[arg(long)]
        at: Option<SocketAddrV4>,
    },
    /// One budget at each dispatcher, by the name of its crossing, or "cold caches" or "cold parents".
    Explain {
        file: String,
        name: String,
        #[arg(long)]
        at: Option<SocketAddrV4>,
    },
}

pub fn run(task: Task) -> End {
    let done = match task {
        Task::Show { file, at } => shown(&file, at, |text| Some(text.into())),
        Task::Explain { file, name, at } => shown(&file, at, |text| of_one(text, &name)),
    };
    match done {
        Ok(()) => End::Well,
        Err(why) => End::Refused(why),
    }
}

fn shown(
    file: &str,
    at: Option<SocketAddrV4>,
    of: impl Fn(&str) -> Option<String>,
) -> Result<(), String> {
    let script = read_file(file, &kinds()).map_err(|wrong| wrong.to_string())?;
    let sheet =
        budgets_sheet(&script).ok_or(format!("{file} has no section budgets that is on"))?;
    sheet.check()?;
    let note: fn(InquiryId) -> MessagePart =
        |no| MessagePart::SubsystemStatusRequest(no, SUBSYSTEM_ID);
    said(file, at, note, of)
}

/// The lines of one budget, which begin with its name behind the zone's number.
fn of_one(text: &str, name: &str) -> Option<String> {
    let mut lines = Vec::new();
    let mut within = false;
    for line in text.lines() {
        if let Some(rest) = line.strip_prefix("budget ") {
            let of = rest.split_once(": ").map_or(rest, |(of, _)| of);
            within = of == name || of.split_once('/').is_some_and(|(_, own)| own == name);
        }
        if within {
            lines.push(line);
        }
    }
    (!lines.is_empty()).then(|| lines.join("\n"))
}
