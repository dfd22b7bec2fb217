//! What the operator's file says of the store, as the reader of the script hands it on.

use crate::decide::Rules;
use serde::{Deserialize, Serialize};
use trailproxy::units::TimeSpan;

/// The section `store`, checked in its types and ranges by whoever read the script.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoreConfig {
    pub file: String,
    /// Line and column of the section, from 1.
    #[serde(rename = "place")]
    pub position: (usize, usize),
    pub host: String,
    pub port: u16,
    /// A file that holds the password and nothing else; empty: none is needed.
    #[serde(default)]
    pub password_file: String,
    /// Before every key.
    pub prefix: String,
    pub wait_ms: f64,
    pub keep_s: f64,
    pub records: bool,
    pub hints: bool,
    pub purges: bool,
    /// Whether words of other subsystems go by it, where dispatchers don't write to each other.
    #[serde(default)]
    pub words: bool,
}

impl StoreConfig {
    /// The longest of all windows with an outer limit behind it, and the time after which no copy from before a purge is
    /// left, are the deployment's.
    pub fn rules(&self, longest_window: TimeSpan, purges_last: TimeSpan) -> Result<Rules, String> {
        let keep = TimeSpan::from_secs_f64(self.keep_s);
        if self.records && keep < longest_window {
            let (line, column) = self.position;
            let least = longest_window.as_secs_f64();
            return Err(format!(
                "{}:{line}:{column}: section store, field keep_s: found {}, accepted: {least} or more, the longest window \
                 of a track and its outer limit",
                self.file, self.keep_s
            ));
        }
        Ok(Rules {
            records: self.records,
            messages: self.words,
            hints: self.hints,
            purges: self.purges,
            max_wait: TimeSpan::from_secs_f64(self.wait_ms / 1_000.0),
            record_retention: keep,
            purge_retention: purges_last.mul_f64(3.0),
        })
    }
}
