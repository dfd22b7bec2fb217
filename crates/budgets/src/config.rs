//! What the operator's file says of budgets, as the reader of the script hands it on.

use crate::decide::Division;
use serde::{Deserialize, Serialize};
use trailproxy::units::TimeSpan;

/// The section `budgets`, checked in its types and ranges by whoever read the script.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BudgetsConfig {
    pub file: String,
    /// Line and column of the section, from 1.
    #[serde(rename = "place")]
    pub position: (usize, usize),
    /// Names of the dispatchers that give their words: the same with all, in the same order.
    pub voters: Vec<String>,
    /// The part of the whole that all floors together have.
    pub floors: f64,
    /// How long a word lasts with its holder.
    pub lasts_s: f64,
    /// Whether the work for hosts that have just started is divided as well.
    pub cold: bool,
}

/// Voters at most: each is asked by all.
pub const MAX_VOTERS: usize = 9;

impl BudgetsConfig {
    /// The message of a field that does not fit.
    pub fn field_error(&self, field: &str, found: &str, accepted: &str) -> String {
        let (line, column) = self.position;
        format!(
            "{}:{line}:{column}: section budgets, field {field}: found {found}, accepted: {accepted}",
            self.file
        )
    }

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

    /// How a budget is divided among so many seats.
    pub fn division(&self, seats: u32) -> Division {
        // Enough that a part can be told from a little more, and few enough for one letter.
        let tickets = (seats * 16).clamp(64, 1_024) as u16;
        Division {
            dispatchers: seats.max(1),
            floor_share: self.floors,
            tickets,
            voters: self.voters.len() as u8,
            lease_duration: TimeSpan::from_secs_f64(self.lasts_s),
            guard_time: TimeSpan::ZERO,
        }
    }
}
