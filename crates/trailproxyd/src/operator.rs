//! The operator's own file. The script is run by `trailproxy`, a process beside this one, which hands its checked
//! sections on as JSON: a script that runs long or grows large costs that process, and no request waits for it.

use crate::starting::StepError;
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::process::Command;
use tokio::time::timeout;
use trailproxy::interface::{DispatcherSettings, Effect};
use trailproxy::units::TimeSpan;
use trailproxy_budgets::config::BudgetsConfig;
use trailproxy_peers::config::{Addresses, Config as PeersConfig};
use trailproxy_peers::decide::locality::Topology;
use trailproxy_shared_store::config::StoreConfig;
use trailproxy_zones::Rules;
use trailproxy_zones::decide::config::{Names, ZonesConfig};

/// A reader that says nothing for so long is ended.
const WITHIN: Duration = Duration::from_secs(3);
/// More is no answer of a reader, nor a file of sections.
const MOST_BYTES: u64 = 4 << 20;
const MOST_WORDS: u64 = 16 << 10;

/// Where the file is, and the program that reads scripts. A file that ends in `.json` holds what such a program
/// said, and is taken as it is.
#[derive(Clone, Debug, PartialEq)]
pub struct Source {
    pub path: PathBuf,
    pub reader: PathBuf,
}

/// What the file says of each subsystem: nothing where it is off.
#[derive(Default)]
pub struct Told {
    pub zones: Option<Box<(ZonesConfig, Rules)>>,
    pub store: Option<Box<StoreConfig>>,
    pub peers: Option<Box<PeersTold>>,
    pub budgets: Option<Box<BudgetsConfig>>,
}

/// The section `peers`, with what it comes to here.
#[derive(Clone, Debug, PartialEq)]
pub struct PeersTold {
    pub config: PeersConfig,
    pub addresses: Addresses,
    /// Where this dispatcher is, if the file has sites.
    pub topology: Option<Topology>,
    pub secret: Vec<u8>,
}

/// What the deployment's settings say that a file is held against.
#[derive(Clone)]
pub struct Against {
    pub names: Names,
    /// The longest window of a track with its outer limit.
    pub longest_window: TimeSpan,
    pub purges_last: TimeSpan,
    /// Where this one is written to by the others, where the environment or the configuration says so.
    pub peers: Option<String>,
}

/// How long a record of a keyed request has to be kept at least.
pub fn longest_window(terms: &DispatcherSettings, longest_limit: TimeSpan) -> TimeSpan {
    let windows = terms.classes.iter().map(|track| match track.effect {
        Effect::Keyed { window, .. } => window,
        _ => TimeSpan::ZERO,
    });
    windows.max().unwrap_or_default() + longest_limit
}

impl Source {
    /// From `RELAY_OPERATOR` and `RELAY_READER`, or else `operator` and `reader` in the configuration; `None`: there is
    /// no such file.
    pub fn of(json: &Value, variable: impl Fn(&str) -> Option<String>) -> Option<Source> {
        let key = |name: &str| json.get(name).and_then(Value::as_str).map(str::to_owned);
        let path = variable("RELAY_OPERATOR").or(key("operator"))?;
        let beside = || Some(std::env::current_exe().ok()?.parent()?.join("trailproxy"));
        let reader = variable("RELAY_READER").or(key("reader"));
        let reader = reader.map(PathBuf::from).or_else(beside);
        Some(Source {
            path: path.into(),
            reader: reader.unwrap_or_else(|| "trailproxy".into()),
        })
    }

    /// What the file says; the message names file, line and field of what does not fit.
    pub async fn read(&self, against: &Against) -> Result<Told, StepError> {
        let path = self.path.display();
        let text = match self.path.extension().is_some_and(|end| end == "json") {
            true => of_file(&self.path)
                .map_err(|error| StepError::System(format!("{path} can't be read"), error))?,
            false => self.run().await?,
        };
        let all: Value = serde_json::from_slice(&text).map_err(|error| {
            let why = format!("{path}: found no sections ({error})");
            match error.is_eof() {
                true => StepError::HalfWritten(why),
                false => StepError::Unfit(why),
            }
        })?;
        self.sections(all, against).map_err(StepError::Unfit)
    }

    /// What the sections say.
    fn sections(&self, mut all: Value, against: &Against) -> Result<Told, String> {
        let path = self.path.display();
        let unread = |e| format!("{path}: found no sections ({e})");
        let store = all.as_object_mut().and_then(|all| all.remove("store"));
        let store: Option<Box<StoreConfig>> = match store {
            Some(store) => {
                serde_json::from_value(store).map_err(|e| format!("{path}: section store: {e}"))?
            }
            None => None,
        };
        if let Some(store) = &store {
            store.rules(against.longest_window, against.purges_last)?;
        }
        let peers = all.as_object_mut().and_then(|all| all.remove("peers"));
        let peers: Option<PeersConfig> = match peers {
            Some(peers) => {
                serde_json::from_value(peers).map_err(|e| format!("{path}: section peers: {e}"))?
            }
            None => None,
        };
        let peers = match peers {
            Some(config) => Some(Box::new(PeersTold::of(config, store.as_deref(), against)?)),
            None => None,
        };
        let budgets = all.as_object_mut().and_then(|all| all.remove("budgets"));
        let budgets: Option<Box<BudgetsConfig>> = match budgets {
            Some(budgets) => serde_json::from_value(budgets)
                .map_err(|e| format!("{path}: section budgets: {e}"))?,
            None => None,
        };
        if let Some(budgets) = &budgets {
            budgets.check()?;
            if peers.is_none() && !store.as_ref().is_some_and(|store| store.words) {
                let accepted = "a section peers that is on beside it, or a section store with words, as its words go by one";
                return Err(budgets.field_error("on", "True", accepted));
            }
        }
        let empty = all.as_object().is_some_and(|all| all.is_empty());
        let config: Option<ZonesConfig> = match empty {
            true => None,
            false => serde_json::from_value(all).map_err(unread)?,
        };
        let zones = match config.filter(|config| config.on) {
            Some(config) => {
                let rules = config.resolve(&against.names);
                Some(Box::new((
                    config,
                    rules.map_err(|unfit| unfit.to_string())?,
                )))
            }
            None => None,
        };
        Ok(Told {
            zones,
            store,
            peers,
            budgets,
        })
    }

    async fn run(&self) -> Result<Vec<u8>, StepError> {
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
                let what = format!("{reader}, which reads {path}, can't be started");
                StepError::System(what, error)
            })?;
        let (said, complained) = (child.stdout.take(), child.stderr.take());
        let whole = async {
            let (said, complained) =
                tokio::join!(all(said, MOST_BYTES), all(complained, MOST_WORDS));
            (child.wait().await, said, complained)
        };
        let ended = timeout(WITHIN, whole).await;
        let (status, said, complained) = ended.map_err(|_| {
            StepError::Unfit(format!(
                "{reader} said nothing of {} within {WITHIN:?}",
                self.path.display()
            ))
        })?;
        if said.len() as u64 >= MOST_BYTES {
            return Err(StepError::Unfit(format!(
                "{reader} said more than {MOST_BYTES} bytes of {}",
                self.path.display()
            )));
        }
        if !status.is_ok_and(|status| status.success()) {
            let words = String::from_utf8_lossy(&complained);
            let words = words.trim().trim_start_matches("trailproxy: ");
            return Err(StepError::Unfit(match words {
                "" => format!("{reader} failed on {}", self.path.display()),
                words => words.to_owned(),
            }));
        }
        Ok(said)
    }
}

impl PeersTold {
    fn of(
        config: PeersConfig,
        store: Option<&StoreConfig>,
        against: &Against,
    ) -> Result<PeersTold, String> {
        config.rules(against.longest_window, against.purges_last)?;
        let addresses = config.addresses(against.peers.as_deref())?;
        if config.records && store.is_some_and(|store| store.records) {
            let accepted = "records in one of the sections store and peers";
            return Err(config.wrong("records", "True, and True in section store", accepted));
        }
        let secret = config.secret()?;
        let topology = config.topology(addresses.advertise)?;
        Ok(PeersTold {
            config,
            addresses,
            topology,
            secret,
        })
    }
}

fn of_file(path: &Path) -> std::io::Result<Vec<u8>> {
    use std::io::Read;
    let mut text = Vec::new();
    std::fs::File::open(path)?
        .take(MOST_BYTES)
        .read_to_end(&mut text)?;
    Ok(text)
}

async fn all(from: Option<impl AsyncRead + Unpin>, most: u64) -> Vec<u8> {
    let mut text = Vec::new();
    if let Some(from) = from {
        let _ = from.take(most).read_to_end(&mut text).await;
    }
    text
}
