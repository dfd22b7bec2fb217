//! The operator's file. Where it is a script, the program `trailproxy` runs it in a process of its own and hands the
//! checked sections back as JSON: a script that runs for long or grows large harms only that process, and no request
//! waits for it.

use crate::starting::StepError;
use crate::system_calls::timeout_unless_finished;
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::process::Command;
use trailproxy::interface::{DispatcherSettings, Effect};
use trailproxy::units::TimeSpan;
use trailproxy_budgets::config::BudgetsConfig;
use trailproxy_peers::config::{Addresses, PeersConfig};
use trailproxy_peers::decide::locality::Topology;
use trailproxy_shared_store::config::StoreConfig;
use trailproxy_zones::Rules;
use trailproxy_zones::decide::config::{Names, ZonesConfig};

/// How long the reader may run.
const READER_TIMEOUT: Duration = Duration::from_secs(3);
/// The size of a file of sections, or of the output of a reader, is less than this.
const MAX_OUTPUT_BYTES: u64 = 4 << 20;
/// How much of the error output of a reader is read.
const MAX_ERROR_BYTES: u64 = 16 << 10;

/// Where the file is, and the program that reads scripts. A file that ends in `.json` holds the output of such a
/// program and is read directly.
#[derive(Clone, Debug, PartialEq)]
pub struct Source {
    /// The file.
    pub path: PathBuf,
    /// The program that reads scripts.
    pub reader: PathBuf,
}

/// The sections of the file; `None` where a subsystem is off.
#[derive(Default)]
pub struct OperatorConfig {
    /// Traffic between zones: the section, and the rules that follow from it.
    pub zones: Option<Box<(ZonesConfig, Rules)>>,
    /// The store that dispatchers share.
    pub store: Option<Box<StoreConfig>>,
    /// State held together with other dispatchers.
    pub peers: Option<Box<ResolvedPeers>>,
    /// Budgets divided among dispatchers.
    pub budgets: Option<Box<BudgetsConfig>>,
}

/// The section `peers`, with what follows from it on this machine.
#[derive(Clone, Debug, PartialEq)]
pub struct ResolvedPeers {
    /// The section.
    pub config: PeersConfig,
    /// Where it listens, where others reach it, and the first members to contact.
    pub addresses: Addresses,
    /// The location of this dispatcher, if the file has sites.
    pub topology: Option<Topology>,
    /// The secret of the fleet.
    pub secret: Vec<u8>,
}

/// What the file is checked against: parts of the deployment's settings.
#[derive(Clone)]
pub struct ValidationContext {
    /// Names of zones and classes.
    pub names: Names,
    /// The longest repeat window of any class, together with the longest deadline.
    pub longest_window: TimeSpan,
    /// How long a purge may take to reach all hosts.
    pub purge_propagation: TimeSpan,
    /// The address at which other dispatchers reach this one, if the environment or the configuration names it.
    pub peers: Option<String>,
}

/// How long a record of a keyed request has to be kept at least.
pub fn longest_window(settings: &DispatcherSettings, max_deadline: TimeSpan) -> TimeSpan {
    let windows = settings.classes.iter().map(|class| match class.effect {
        Effect::Keyed { window, .. } => window,
        _ => TimeSpan::ZERO,
    });
    windows.max().unwrap_or_default() + max_deadline
}

impl Source {
    /// From `RELAY_OPERATOR` and `RELAY_READER`, or else from `operator` and `reader` in the configuration. `None`:
    /// there is no such file.
    pub fn from_config(json: &Value, variable: impl Fn(&str) -> Option<String>) -> Option<Source> {
        let key = |name: &str| json.get(name).and_then(Value::as_str).map(str::to_owned);
        let path = variable("RELAY_OPERATOR").or(key("operator"))?;
        let next_to_daemon = || Some(std::env::current_exe().ok()?.parent()?.join("trailproxy"));
        let reader = variable("RELAY_READER").or(key("reader"));
        let reader = reader.map(PathBuf::from).or_else(next_to_daemon);
        Some(Source {
            path: path.into(),
            reader: reader.unwrap_or_else(|| "trailproxy".into()),
        })
    }

    /// Reads and checks the file. The error names the file, the line and the field that do not fit.
    pub async fn read(&self, context: &ValidationContext) -> Result<OperatorConfig, StepError> {
        let path = self.path.display();
        let text = match self
            .path
            .extension()
            .is_some_and(|extension| extension == "json")
        {
            true => read_file(&self.path)
                .map_err(|error| StepError::System(format!("{path} can't be read"), error))?,
            false => self.run_reader().await?,
        };
        let sections: Value = serde_json::from_slice(&text).map_err(|error| {
            let reason = format!("{path}: found no sections ({error})");
            match error.is_eof() {
                true => StepError::HalfWritten(reason),
                false => StepError::Invalid(reason),
            }
        })?;
        self.check_sections(sections, context)
            .map_err(StepError::Invalid)
    }

    /// Reads and checks the sections.
    fn check_sections(
        &self,
        mut sections: Value,
        context: &ValidationContext,
    ) -> Result<OperatorConfig, String> {
        let path = self.path.display();
        let invalid = |e| format!("{path}: found no sections ({e})");
        let store = sections
            .as_object_mut()
            .and_then(|sections| sections.remove("store"));
        let store: Option<Box<StoreConfig>> = match store {
            Some(store) => {
                serde_json::from_value(store).map_err(|e| format!("{path}: section store: {e}"))?
            }
            None => None,
        };
        if let Some(store) = &store {
            store.rules(context.longest_window, context.purge_propagation)?;
        }
        let peers = sections
            .as_object_mut()
            .and_then(|sections| sections.remove("peers"));
        let peers: Option<PeersConfig> = match peers {
            Some(peers) => {
                serde_json::from_value(peers).map_err(|e| format!("{path}: section peers: {e}"))?
            }
            None => None,
        };
        let peers = match peers {
            Some(config) => Some(Box::new(ResolvedPeers::resolve(
                config,
                store.as_deref(),
                context,
            )?)),
            None => None,
        };
        let budgets = sections
            .as_object_mut()
            .and_then(|sections| sections.remove("budgets"));
        let budgets: Option<Box<BudgetsConfig>> = match budgets {
            Some(budgets) => serde_json::from_value(budgets)
                .map_err(|e| format!("{path}: section budgets: {e}"))?,
            None => None,
        };
        if let Some(budgets) = &budgets {
            budgets.check()?;
            if peers.is_none() && !store.as_ref().is_some_and(|store| store.words) {
                let accepted = "a section peers that is on beside it, or a section store with words, because budgets send their messages through one of them";
                return Err(budgets.field_error("on", "True", accepted));
            }
        }
        let empty = sections
            .as_object()
            .is_some_and(|sections| sections.is_empty());
        let config: Option<ZonesConfig> = match empty {
            true => None,
            false => serde_json::from_value(sections).map_err(invalid)?,
        };
        let zones = match config.filter(|config| config.on) {
            Some(config) => {
                let rules = config.resolve(&context.names);
                Some(Box::new((
                    config,
                    rules.map_err(|error| error.to_string())?,
                )))
            }
            None => None,
        };
        Ok(OperatorConfig {
            zones,
            store,
            peers,
            budgets,
        })
    }

    /// Runs the reader on the file and returns its output.
    async fn run_reader(&self) -> Result<Vec<u8>, StepError> {
        let reader = self.reader.display();
        let mut child = Command::new(&self.reader)
            .args(["zones", "sheet"])
            .arg(&self.path)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .map_err(|error| {
                let path = self.path.display();
                let operation = format!("{reader}, which reads {path}, can't be started");
                StepError::System(operation, error)
            })?;
        let (stdout, stderr) = (child.stdout.take(), child.stderr.take());
        let finished = async {
            let (output, errors) = tokio::join!(
                read_all(stdout, MAX_OUTPUT_BYTES),
                read_all(stderr, MAX_ERROR_BYTES)
            );
            (child.wait().await, output, errors)
        };
        let result = timeout_unless_finished(READER_TIMEOUT, finished).await;
        let (status, output, errors) = result.map_err(|_| {
            StepError::Invalid(format!(
                "{reader} did not finish reading {} within {READER_TIMEOUT:?}",
                self.path.display()
            ))
        })?;
        if output.len() as u64 >= MAX_OUTPUT_BYTES {
            return Err(StepError::Invalid(format!(
                "{reader} wrote more than {MAX_OUTPUT_BYTES} bytes for {}",
                self.path.display()
            )));
        }
        if !status.is_ok_and(|status| status.success()) {
            let message = String::from_utf8_lossy(&errors);
            let message = message.trim().trim_start_matches("trailproxy: ");
            return Err(StepError::Invalid(match message {
                "" => format!("{reader} failed on {}", self.path.display()),
                message => message.to_owned(),
            }));
        }
        Ok(output)
    }
}

impl ResolvedPeers {
    /// Checks the section and reads the secret. Records may be kept by the store or by the peers, not by both.
    fn resolve(
        config: PeersConfig,
        store: Option<&StoreConfig>,
        context: &ValidationContext,
    ) -> Result<ResolvedPeers, String> {
        config.settings(context.longest_window, context.purge_propagation)?;
        let addresses = config.addresses(context.peers.as_deref())?;
        if config.records && store.is_some_and(|store| store.records) {
            let accepted = "records in one of the sections store and peers";
            return Err(config.invalid_field(
                "records",
                "True, and True in section store",
                accepted,
            ));
        }
        let secret = config.secret()?;
        let topology = config.topology(addresses.advertise)?;
        Ok(ResolvedPeers {
            config,
            addresses,
            topology,
            secret,
        })
    }
}

/// Reads the file, up to the limit.
fn read_file(path: &Path) -> std::io::Result<Vec<u8>> {
    use std::io::Read;
    let mut text = Vec::new();
    std::fs::File::open(path)?
        .take(MAX_OUTPUT_BYTES)
        .read_to_end(&mut text)?;
    Ok(text)
}

/// Reads a stream to its end, or to a limit.
async fn read_all(stream: Option<impl AsyncRead + Unpin>, max_bytes: u64) -> Vec<u8> {
    let mut text = Vec::new();
    if let Some(stream) = stream {
        let _ = stream.take(max_bytes).read_to_end(&mut text).await;
    }
    text
}
