//! The configuration of a dispatcher at its start: the RELAY_ variables and the JSON file that they name.

use crate::journal_entries::Names;
use crate::messages::JournalEntry;
use crate::operator::Source;
use crate::starting::StepError;
use serde_json::Value;
use std::net::SocketAddr;
use std::rc::Rc;
use trailproxy::interface::DispatcherSettings;
use trailproxy_terms::{
    FlatSettings, Reports, SettingsError, SocketSettings, read_dispatcher_settings,
    read_socket_settings,
};

/// Everything that is read at the start.
pub struct StartConfig {
    /// The name of this dispatcher.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Seed of all random choices.
    pub seed: u64,
    /// How many file descriptors the process may hold.
    pub descriptors: usize,
    /// The memory limit of the process.
    pub memory_bytes: usize,
    /// Where the journal service is, if it is known.
    pub journal: Option<SocketAddr>,
    /// The journal entries known so far, and the position of the last one.
    pub known: Vec<JournalEntry>,
    pub known_position: u64,
    /// How many known entries cannot be read and are left out.
    pub known_unreadable: usize,
    /// The settings of the decisions.
    pub settings: DispatcherSettings,
    /// How load reports of hosts are read.
    pub reports: Reports,
    /// Limits and timeouts of connections, with the names of classes, zones and kinds.
    pub bounds: SocketSettings,
    /// Ids of zones and kinds, for the host list.
    pub names: Rc<Names>,
    /// The operator's file, if there is one.
    pub operator: Option<Source>,
    /// The address at which other dispatchers reach this one, if it is configured here.
    pub peers: Option<String>,
    /// The whole file, for comparison with a later version of it.
    pub file: Value,
}

/// Reads the environment and the file. The error names what is wrong.
pub fn read() -> Result<StartConfig, StepError> {
    let unset = || StepError::Invalid("RELAY_CONFIG is not set".into());
    let path = variable("RELAY_CONFIG").ok_or_else(unset)?;
    let text = std::fs::read_to_string(&path)
        .map_err(|error| StepError::System(format!("{path} can't be read"), error))?;
    let json: Value = serde_json::from_str(&text).map_err(|e| not_json(&path, &e))?;
    let start = from_json(&json, variable("RELAY_NAME"), variable("RELAY_LISTEN"));
    start.map_err(|reason| {
        StepError::Invalid(match line_of(&text, &reason) {
            Some(line) => format!("{path}, line {line}: {reason}"),
            None => format!("{path}: {reason}"),
        })
    })
}

/// A file that ends within its JSON may still be being written.
fn not_json(path: &str, error: &serde_json::Error) -> StepError {
    let reason = format!("{path} is not JSON: {error}");
    match error.is_eof() {
        true => StepError::HalfWritten(reason),
        false => StepError::Invalid(reason),
    }
}

/// The line of the setting that a message names. The names of its path are searched one after another, each behind the
/// one before; an index in the path selects that occurrence in a list.
fn line_of(text: &str, message: &str) -> Option<usize> {
    let path = message
        .strip_prefix("setting ")?
        .split_whitespace()
        .next()?;
    let (mut offset, mut skip) = (text.find("\"settings\"")?, 0);
    for name in path.split('.') {
        if let Ok(index) = name.parse() {
            skip = index;
            continue;
        }
        let quoted = format!("\"{name}\"");
        let mut matches = text[offset..].match_indices(&quoted);
        offset += matches.nth(std::mem::take(&mut skip))?.0;
    }
    Some(text[..offset].lines().count())
}

/// An environment variable; an empty one counts as unset.
fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|text| !text.is_empty())
}

/// The value at a path, if there is one. A value of another type is an error that names the accepted type.
fn field_at<'a, T>(
    json: &'a Value,
    path: &str,
    accepted: &str,
    read: impl FnOnce(&'a Value) -> Option<T>,
) -> Result<Option<T>, String> {
    let mut value = Some(json);
    for name in path.split('.') {
        value = value.and_then(|value| value.get(name));
    }
    let value = value.filter(|value| !value.is_null());
    value
        .map(|value| {
            read(value).ok_or_else(|| format!("{path} is {value}; accepted is {accepted}"))
        })
        .transpose()
}

/// Reads the configuration from its JSON text and from the variables that override it.
fn from_json(
    json: &Value,
    name: Option<String>,
    listen: Option<String>,
) -> Result<StartConfig, String> {
    if !json.is_object() {
        return Err("it is not an object with the fields seed, settings and others".into());
    }
    let text = |key: &str| {
        field_at(json, key, "a string", |value| {
            value.as_str().map(str::to_owned)
        })
    };
    let object = |key: &str| field_at(json, key, "an object", Value::as_object);
    let limit = |key: &str, default: usize| -> Result<usize, String> {
        let number = |value: &Value| value.as_f64().filter(|n| (1.0..=1e12).contains(n));
        let found = field_at(json, &format!("limits.{key}"), "a number from 1 up", number)?;
        Ok(found.map_or(default, |n| n as usize))
    };
    object("limits")?;
    object("known")?;
    object("settings")?;
    let address = |name: &str, text: String| -> Result<SocketAddr, String> {
        text.parse()
            .map_err(|_| format!("{name} {text:?} is not an address and a port"))
    };
    let listen = listen
        .or(text("listen")?)
        .ok_or("neither RELAY_LISTEN nor listen is given")?;
    let seed = text("seed")?.unwrap_or_default();
    let lines = FlatSettings::from_json(json.get("settings").ok_or("settings are missing")?);
    let unreadable = |SettingsError(reason)| reason;
    let (settings, reports) = read_dispatcher_settings(&lines).map_err(unreadable)?;
    let bounds = read_socket_settings(&lines).map_err(unreadable)?;
    let names = Names::from_bounds(&bounds);
    let entries = field_at(json, "known.entries", "a list of events", Value::as_array)?;
    let entries: Vec<&Value> = entries.into_iter().flatten().collect();
    let known: Vec<JournalEntry> = entries
        .iter()
        .filter_map(|entry| JournalEntry::read(entry, &names))
        .collect();
    let known_unreadable = entries.len() - known.len();
    let given_position = field_at(json, "known.pos", "a whole number", Value::as_u64)?;
    let last = known.iter().map(|entry| entry.position).max();
    Ok(StartConfig {
        name: name
            .or(text("name")?)
            .unwrap_or_else(|| "trailproxyd".into()),
        listen: address("the address to listen on", listen)?,
        seed: u64::from_str_radix(&seed, 16)
            .map_err(|_| format!("seed {seed:?} is not in hexadecimal digits"))?,
        descriptors: limit("sockets", 1024)?,
        memory_bytes: limit("memory_mb", 192)? << 20,
        journal: text("journal")?
            .map(|text| address("journal", text))
            .transpose()?,
        known,
        known_unreadable,
        known_position: given_position.or(last).unwrap_or(0),
        settings,
        reports,
        bounds,
        names: Rc::new(names),
        operator: Source::from_config(json, variable),
        peers: variable("RELAY_PEERS").or(text("peers")?),
        file: json.clone(),
    })
}
