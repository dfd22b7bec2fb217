//! What a dispatcher is told when it starts: the RELAY_ variables and the JSON file they name.

use crate::list::Names;
use crate::messages::JournalEntry;
use crate::operator::Source;
use crate::starting::StepError;
use serde_json::Value;
use std::net::SocketAddr;
use std::rc::Rc;
use trailproxy::interface::DispatcherSettings;
use trailproxy_terms::{Bounds, Lines, Reports, Unreadable, read_bounds, read_terms};

pub struct Start {
    pub name: String,
    pub listen: SocketAddr,
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub descriptors: usize,
    pub memory_bytes: usize,
    pub journal: Option<SocketAddr>,
    /// What the journal service has told so far, and its last place.
    pub known: Vec<JournalEntry>,
    pub known_until: u64,
    /// Entries that can't be read, which are passed over.
    pub known_unread: usize,
    pub terms: DispatcherSettings,
    pub reports: Reports,
    pub bounds: Bounds,
    pub names: Rc<Names>,
    /// The operator's own file, where there is one.
    pub operator: Option<Source>,
    /// Where other dispatchers write to this one, where it is said here.
    pub peers: Option<String>,
    /// All of the file, to tell what a later one changes.
    pub file: Value,
}

/// Reads all of it; the error says in plain words what is wrong.
pub fn read() -> Result<Start, StepError> {
    let unset = || StepError::Unfit("RELAY_CONFIG is not set".into());
    let path = variable("RELAY_CONFIG").ok_or_else(unset)?;
    let text = std::fs::read_to_string(&path)
        .map_err(|error| StepError::System(format!("{path} can't be read"), error))?;
    let json: Value = serde_json::from_str(&text).map_err(|e| not_json(&path, &e))?;
    let start = from_json(&json, variable("RELAY_NAME"), variable("RELAY_LISTEN"));
    start.map_err(|why| {
        StepError::Unfit(match line_of(&text, &why) {
            Some(line) => format!("{path}, line {line}: {why}"),
            None => format!("{path}: {why}"),
        })
    })
}

/// A file that ends amid its JSON may be about to be written to its end.
fn not_json(path: &str, error: &serde_json::Error) -> StepError {
    let why = format!("{path} is not JSON: {error}");
    match error.is_eof() {
        true => StepError::HalfWritten(why),
        false => StepError::Unfit(why),
    }
}

/// The line of the setting that a message names: of its names in turn, each behind the one before, and of
/// several in a list the one at its place.
fn line_of(text: &str, why: &str) -> Option<usize> {
    let path = why.strip_prefix("setting ")?.split_whitespace().next()?;
    let (mut at, mut skip) = (text.find("\"settings\"")?, 0);
    for name in path.split('.') {
        if let Ok(place) = name.parse() {
            skip = place;
            continue;
        }
        let quoted = format!("\"{name}\"");
        let mut found = text[at..].match_indices(&quoted);
        at += found.nth(std::mem::take(&mut skip))?.0;
    }
    Some(text[..at].lines().count())
}

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|text| !text.is_empty())
}

/// What stands at a path, if anything does; what is there and is no such thing is told with what would be.
fn at<'a, T>(
    json: &'a Value,
    path: &str,
    accepted: &str,
    read: impl FnOnce(&'a Value) -> Option<T>,
) -> Result<Option<T>, String> {
    let mut told = Some(json);
    for name in path.split('.') {
        told = told.and_then(|told| told.get(name));
    }
    let told = told.filter(|told| !told.is_null());
    told.map(|told| read(told).ok_or_else(|| format!("{path} is {told}; accepted is {accepted}")))
        .transpose()
}

fn from_json(json: &Value, name: Option<String>, listen: Option<String>) -> Result<Start, String> {
    if !json.is_object() {
        return Err("it is no object with the fields seed, settings and others".into());
    }
    let text = |key: &str| at(json, key, "a text", |told| told.as_str().map(str::to_owned));
    let object = |key: &str| at(json, key, "an object", Value::as_object);
    let limit = |key: &str, absent: usize| -> Result<usize, String> {
        let number = |told: &Value| told.as_f64().filter(|n| (1.0..=1e12).contains(n));
        let told = at(json, &format!("limits.{key}"), "a number from 1 up", number)?;
        Ok(told.map_or(absent, |n| n as usize))
    };
    object("limits")?;
    object("known")?;
    object("settings")?;
    let address = |what: &str, text: String| -> Result<SocketAddr, String> {
        text.parse()
            .map_err(|_| format!("{what} {text:?} is not an address and a port"))
    };
    let listen = listen
        .or(text("listen")?)
        .ok_or("neither RELAY_LISTEN nor listen is given")?;
    let seed = text("seed")?.unwrap_or_default();
    let lines = Lines::from_json(json.get("settings").ok_or("settings are missing")?);
    let unreadable = |Unreadable(why)| why;
    let (terms, reports) = read_terms(&lines).map_err(unreadable)?;
    let bounds = read_bounds(&lines).map_err(unreadable)?;
    let names = Names::of(&bounds);
    let entries = at(json, "known.entries", "a list of events", Value::as_array)?;
    let entries: Vec<&Value> = entries.into_iter().flatten().collect();
    let known: Vec<JournalEntry> = entries
        .iter()
        .filter_map(|entry| JournalEntry::read(entry, &names))
        .collect();
    let known_unread = entries.len() - known.len();
    let told_until = at(json, "known.pos", "a whole number", Value::as_u64)?;
    let last = known.iter().map(|entry| entry.position).max();
    Ok(Start {
        name: name
            .or(text("name")?)
            .unwrap_or_else(|| "trailproxyd".into()),
        listen: address("the address to listen on", listen)?,
        seed: u64::from_str_radix(&seed, 16)
            .map_err(|_| format!("seed {seed:?} is not in hex digits"))?,
        descriptors: limit("sockets", 1024)?,
        memory_bytes: limit("memory_mb", 192)? << 20,
        journal: text("journal")?
            .map(|text| address("journal", text))
            .transpose()?,
        known,
        known_unread,
        known_until: told_until.or(last).unwrap_or(0),
        terms,
        reports,
        bounds,
        names: Rc::new(names),
        operator: Source::of(json, variable),
        peers: variable("RELAY_PEERS").or(text("peers")?),
        file: json.clone(),
    })
}
