//! What the operator's file says of the other dispatchers, as the reader of the script hands it on.

use crate::decide::PeersSettings;
use crate::decide::locality::Topology;
use crate::decide::messages::Address;
use crate::sites::{self, Site};
use serde::{Deserialize, Serialize};
use trailproxy::units::TimeSpan;

/// The section `peers`, checked in its types and ranges by whoever read the script.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeersConfig {
    pub file: String,
    /// Line and column of the section, from 1.
    #[serde(rename = "place")]
    pub position: (usize, usize),
    pub fleet: String,
    /// A file that holds what only this fleet knows; empty: its name alone tells it from others.
    #[serde(default)]
    pub secret_file: String,
    /// Where this one is written to; empty where the environment or the configuration says it.
    pub listen: String,
    /// Where others write to it, if that is another address than it listens on; empty: the same.
    #[serde(default)]
    pub advertise: String,
    /// Addresses of some others, or of all.
    pub seeds: Vec<String>,
    /// An access with a key of which the others can't say that it is new: `send` it as one alone would, or `refuse` it.
    #[serde(default)]
    pub unsure: Unsure,
    pub wait_ms: f64,
    pub keep_s: f64,
    pub records: bool,
    pub purges: bool,
    pub hosts: bool,
    pub hints: bool,
    /// Where dispatchers are; empty: nothing depends on it.
    #[serde(default)]
    pub sites: Vec<Site>,
}

/// What becomes of an access with a key that nobody is sure about.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Unsure {
    #[default]
    Send,
    Refuse,
}

/// What the section comes to.
#[derive(Clone, Debug, PartialEq)]
pub struct Addresses {
    pub listen: Address,
    pub advertise: Address,
    pub seeds: Vec<Address>,
}

/// An IPv4 address with its port.
pub fn address(text: &str) -> Option<Address> {
    let at: std::net::SocketAddrV4 = text.parse().ok()?;
    Some(Address {
        ip: at.ip().octets(),
        port: at.port(),
    })
}

impl PeersConfig {
    /// The message of a field that does not fit.
    pub fn invalid_field(&self, field: &str, found: &str, accepted: &str) -> String {
        let (line, column) = self.position;
        format!(
            "{}:{line}:{column}: section peers, field {field}: found {found}, accepted: {accepted}",
            self.file
        )
    }

    /// Where it listens and whom it looks for; the message names what does not fit. `given`: where the environment or the
    /// configuration has it listen.
    pub fn addresses(&self, given: Option<&str>) -> Result<Addresses, String> {
        const FORM: &str = "an IPv4 address and a port, as in 10.1.2.3:7946";
        let read = |field: &str, text: &str| {
            address(text).ok_or_else(|| self.invalid_field(field, &format!("{text:?}"), FORM))
        };
        let listen = match (self.listen.as_str(), given) {
            (_, Some(given)) => address(given).ok_or_else(|| {
                format!(
                    "RELAY_PEERS or `peers` in the configuration: found {given:?}, accepted: {FORM}"
                )
            })?,
            ("", None) => {
                let accepted = "an address here, in RELAY_PEERS or as `peers` in the configuration";
                return Err(self.invalid_field("listen", "nothing", accepted));
            }
            (text, None) => read("listen", text)?,
        };
        let advertise = match self.advertise.as_str() {
            "" => listen,
            text => read("advertise", text)?,
        };
        if advertise.ip == [0; 4] {
            let accepted = "an address that others can write to";
            return Err(self.invalid_field("advertise", "that of all interfaces", accepted));
        }
        let seeds = self.seeds.iter().map(|seed| read("seeds", seed));
        Ok(Addresses {
            listen,
            advertise,
            seeds: seeds.collect::<Result<_, _>>()?,
        })
    }

    /// Where the dispatcher that others write to at this address is; the message names what does not fit.
    pub fn topology(&self, own: Address) -> Result<Option<Topology>, String> {
        sites::topology(&self.file, &self.sites, own)
    }

    /// What only the fleet knows, as its file has it; empty where none is named.
    pub fn secret(&self) -> Result<Vec<u8>, String> {
        let path = self.secret_file.as_str();
        if path.is_empty() {
            return Ok(Vec::new());
        }
        let secret = std::fs::read(path);
        let secret = secret.map_err(|e| {
            self.invalid_field(
                "secret_file",
                &format!("{path} ({e})"),
                "a file that can be read",
            )
        })?;
        Ok(secret.trim_ascii().to_vec())
    }

    /// The longest of all windows with an outer limit behind it, and the time after which no copy from before a purge is
    /// left, are the deployment's.
    pub fn settings(
        &self,
        longest_window: TimeSpan,
        purges_last: TimeSpan,
    ) -> Result<PeersSettings, String> {
        let keep = TimeSpan::from_secs_f64(self.keep_s);
        if self.records && keep < longest_window {
            let least = longest_window.as_secs_f64();
            let accepted =
                format!("{least} or more, the longest window of a track and its outer limit");
            return Err(self.invalid_field("keep_s", &self.keep_s.to_string(), &accepted));
        }
        Ok(PeersSettings {
            records: self.records,
            purges: self.purges,
            hosts: self.hosts,
            hints: self.hints,
            refuse_unconfirmed: self.unsure == Unsure::Refuse,
            max_wait: TimeSpan::from_secs_f64(self.wait_ms / 1_000.0),
            record_retention: keep,
            purge_retention: purges_last.mul_f64(3.0),
        })
    }
}
