//! The operator's section `peers`, as the program that evaluates the operator's script passes it
//! on.

use crate::decide::PeersSettings;
use crate::decide::locality::Topology;
use crate::decide::messages::Address;
use crate::sites::{self, Site};
use serde::{Deserialize, Serialize};
use trailproxy::units::TimeSpan;

/// The section `peers`. Types and ranges were checked by the program that evaluated the script.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeersConfig {
    /// The file of the section.
    pub file: String,
    /// Line and column of the section in its file, from 1.
    #[serde(rename = "place")]
    pub position: (usize, usize),
    /// The name of the fleet.
    pub fleet: String,
    /// A file with a secret that only this fleet knows. If it is empty, only the fleet's name
    /// distinguishes its messages from those of other fleets.
    #[serde(default)]
    pub secret_file: String,
    /// The address on which this dispatcher listens. Empty if the environment or the configuration
    /// names it.
    pub listen: String,
    /// The address to which other dispatchers send, if it differs from `listen`. Empty: the same.
    #[serde(default)]
    pub advertise: String,
    /// Addresses of some or all of the other dispatchers.
    pub seeds: Vec<String>,
    /// What happens to a keyed request of which the other dispatchers can't confirm that it is new:
    /// `send` treats it as a dispatcher without peers would, `refuse` refuses it.
    #[serde(default)]
    pub unsure: Unsure,
    /// The longest time for which a keyed request waits for other dispatchers.
    pub wait_ms: f64,
    /// How long the record of a key is kept.
    pub keep_s: f64,
    /// Whether records of keyed requests are shared.
    pub records: bool,
    /// Whether purges are shared.
    pub purges: bool,
    /// Whether changes of hosts are shared.
    pub hosts: bool,
    /// Whether openings of breakers are shared.
    pub hints: bool,
    /// The sites of the dispatchers. If it is empty, distances are not taken into account.
    #[serde(default)]
    pub sites: Vec<Site>,
}

/// What happens to a keyed request whose novelty nobody can confirm.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Unsure {
    /// Send the request.
    #[default]
    Send,
    /// Refuse the request.
    Refuse,
}

/// The parsed addresses of the section.
#[derive(Clone, Debug, PartialEq)]
pub struct Addresses {
    /// The address on which the dispatcher listens.
    pub listen: Address,
    /// The address to which others send.
    pub advertise: Address,
    /// The addresses at which other dispatchers are looked for.
    pub seeds: Vec<Address>,
}

/// Parses an IPv4 address with its port.
pub fn address(text: &str) -> Option<Address> {
    let at: std::net::SocketAddrV4 = text.parse().ok()?;
    Some(Address {
        ip: at.ip().octets(),
        port: at.port(),
    })
}

impl PeersConfig {
    /// The error message for a field with an invalid value.
    pub fn invalid_field(&self, field: &str, found: &str, accepted: &str) -> String {
        let (line, column) = self.position;
        format!(
            "{}:{line}:{column}: section peers, field {field}: found {found}, accepted: {accepted}",
            self.file
        )
    }

    /// The addresses of the section, or an error that names the invalid field. `given` is the
    /// listen address from the environment or the configuration; it takes precedence.
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

    /// The zones of the fleet and the location of the dispatcher whose advertised address is `own`,
    /// or an error that names the invalid field.
    pub fn topology(&self, own: Address) -> Result<Option<Topology>, String> {
        sites::topology(&self.file, &self.sites, own)
    }

    /// The fleet's secret from its file; empty if no file is named.
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

    /// The settings that follow from the section. The deployment determines `longest_window`, the
    /// longest repeat window plus the request deadline, and `purges_last`, the time after which no
    /// copy from before a purge is left.
    pub fn settings(
        &self,
        longest_window: TimeSpan,
        purges_last: TimeSpan,
    ) -> Result<PeersSettings, String> {
        let record_retention = TimeSpan::from_secs_f64(self.keep_s);
        if self.records && record_retention < longest_window {
            let min_keep_s = longest_window.as_secs_f64();
            let accepted =
                format!("{min_keep_s} or more, the longest window of a track and its outer limit");
            return Err(self.invalid_field("keep_s", &self.keep_s.to_string(), &accepted));
        }
        Ok(PeersSettings {
            records: self.records,
            purges: self.purges,
            hosts: self.hosts,
            hints: self.hints,
            refuse_unconfirmed: self.unsure == Unsure::Refuse,
            max_wait: TimeSpan::from_secs_f64(self.wait_ms / 1_000.0),
            record_retention,
            purge_retention: purges_last.mul_f64(3.0),
        })
    }
}
