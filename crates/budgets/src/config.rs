//! The operator's section about budgets, as the reader of the configuration file passes it on.

use crate::decide::Division;
use serde::{Deserialize, Serialize};
use trailproxy::units::TimeSpan;

/// The section `budgets`. Its types and ranges were checked by the reader of the file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BudgetsConfig {
    /// The file that holds the section.
    pub file: String,
    /// Line and column of the section, from 1.
    #[serde(rename = "place")]
    pub position: (usize, usize),
    /// Names of the dispatchers that are voters: the same in the same order in all dispatchers.
    pub voters: Vec<String>,
    /// Share of the total that all floors together have.
    pub floors: f64,
    /// How long a lease lasts at its holder, in seconds.
    pub lasts_s: f64,
    /// Whether the work for cold hosts is divided as well.
    pub cold: bool,
}

/// Limit of voters; every dispatcher sends requests to each.
pub const MAX_VOTERS: usize = 9;

impl BudgetsConfig {
    /// The error message for a field with an unacceptable value.
    pub fn field_error(&self, field: &str, found: &str, accepted: &str) -> String {
        let (line, column) = self.position;
        format!(
            "{}:{line}:{column}: section budgets, field {field}: found {found}, accepted: {accepted}",
            self.file
        )
    }

    /// Checks the voters: an odd number of different names, up to `MAX_VOTERS`.
    pub fn check(&self) -> Result<(), String> {
        let mut names = self.voters.clone();
        names.sort();
        names.dedup();
        let n = self.voters.len();
        if names.len() != n || !(1..=MAX_VOTERS).contains(&n) || n.is_multiple_of(2) {
            let found = format!("{:?}", self.voters);
            let accepted = "1, 3, 5, 7 or 9 different names of dispatchers";
            return Err(self.field_error("voters", &found, accepted));
        }
        Ok(())
    }

    /// How a budget is divided among this many dispatchers.
    pub fn division(&self, dispatchers: u32) -> Division {
        // Enough tickets to tell parts apart that differ a little, and few enough for one message.
        let tickets = (dispatchers * 16).clamp(64, 1_024) as u16;
        Division {
            dispatchers: dispatchers.max(1),
            floor_share: self.floors,
            tickets,
            voters: self.voters.len() as u8,
            lease_duration: TimeSpan::from_secs_f64(self.lasts_s),
            guard_time: TimeSpan::ZERO,
        }
    }
}
