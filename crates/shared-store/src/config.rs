//! The operator's section about the store, as the reader of the configuration file passes it on.

use crate::decide::Rules;
use serde::{Deserialize, Serialize};
use trailproxy::units::TimeSpan;

/// The section `store`. Its types and ranges were checked by the reader of the file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoreConfig {
    /// The file that holds the section.
    pub file: String,
    /// Line and column of the section, from 1.
    #[serde(rename = "place")]
    pub position: (usize, usize),
    /// Host name or address of the store.
    pub host: String,
    /// Port of the store.
    pub port: u16,
    /// A file that holds only the password; empty if none is needed.
    #[serde(default)]
    pub password_file: String,
    /// Prefix of every key.
    pub prefix: String,
    /// The longest wait of a request for the store, in milliseconds.
    pub wait_ms: f64,
    /// How long records are kept, in seconds.
    pub keep_s: f64,
    /// Whether records of keyed requests are shared.
    pub records: bool,
    /// Whether dispatchers tell each other about opened breakers.
    pub hints: bool,
    /// Whether dispatchers tell each other about purges.
    pub purges: bool,
    /// Whether the store carries messages of other subsystems, for dispatchers that do not send
    /// messages to each other directly.
    #[serde(default)]
    pub words: bool,
}

impl StoreConfig {
    /// The settings of the shared state. The deployment gives the longest repeat window with the
    /// deadline after it, and the time after which no copy from before a purge is left.
    pub fn rules(&self, longest_window: TimeSpan, purges_last: TimeSpan) -> Result<Rules, String> {
        let keep = TimeSpan::from_secs_f64(self.keep_s);
        if self.records && keep < longest_window {
            let (line, column) = self.position;
            let least = longest_window.as_secs_f64();
            return Err(format!(
                "{}:{line}:{column}: section store, field keep_s: found {}, accepted: {least} or more, the longest window \
                 of a class and its deadline",
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
