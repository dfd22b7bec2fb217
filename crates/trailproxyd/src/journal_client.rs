//! The client of the journal service, which delivers host lists and purges once and in order.
//!
//! Events are read from one long HTTP response of server-sent events. The client repeats the call when it ends and asks
//! for the events after the last position that it received.

use crate::checks::{Counts, check_invariant, count};
use crate::http::Response;
use crate::messages::*;
use crate::sse::EventParser;
use crate::system_calls::{self, RESOURCE_RETRY_DELAY, Transfer};
use local_channel::mpsc;
use serde_json::Value;
use slog::{Logger, info, warn};
use std::collections::HashMap;
use std::io::IoSlice;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};
use trailproxy::interface::{HostEntry, HostListKind, HostState};
use trailproxy::units::*;
use trailproxy_terms::SocketSettings;

/// The service sends a comment every second. After two missed ones the connection is considered dead.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(2200);
/// A connection must be made within this time. Dispatchers count as informed of an event 4 s after the service fell
/// silent.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The first wait after a failed call. Each further failure makes the wait half as long again, up to
/// [`MAX_RETRY_INTERVAL`]: a service that comes back cannot bear a fleet that calls it at the same time, and a longer wait
/// would delay events after its return.
pub const MIN_RETRY_INTERVAL: Duration = Duration::from_millis(100);
const MAX_RETRY_INTERVAL: Duration = Duration::from_millis(400);
const READ_BYTES: usize = 16 * 1024;

/// The ids of zones and kinds by the names that the settings give them.
pub struct Names {
    zones: HashMap<String, ZoneId>,
    kinds: HashMap<String, KindId>,
}

impl Names {
    /// Assigns ids in the order of the settings.
    pub fn from_bounds(bounds: &SocketSettings) -> Names {
        let zones = bounds.zone_names.iter().cloned().zip((0..).map(ZoneId));
        let kinds = bounds.kind_names.iter().cloned().zip((0..).map(KindId));
        Names {
            zones: zones.collect(),
            kinds: kinds.collect(),
        }
    }
}

/// Parses an object's id of up to 16 hex digits.
pub fn object_id(text: &str) -> Option<ObjectId> {
    let hex = text.len() <= 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    hex.then(|| u64::from_str_radix(text, 16).ok().map(ObjectId))
        .flatten()
}

/// Returns the last microsecond of a millisecond timestamp. For starts and purges, this is the strict side.
fn end_of_ms(ms: u64) -> Timestamp {
    Timestamp(ms.saturating_mul(1000).saturating_add(999))
}

impl JournalEntry {
    /// Reads an event; `None` if it can't be understood. Members that can't be read are left out and counted.
    pub fn read(json: &Value, names: &Names) -> Option<JournalEntry> {
        let position = json.get("pos")?.as_u64()?;
        if let Some(purge) = json.get("expire") {
            let object = match purge.get("name") {
                Some(name) => Some(object_id(name.as_str()?)?),
                None => None,
            };
            let group = purge.get("set").and_then(Value::as_u64);
            if object.is_none() && group.is_none() {
                return None;
            }
            let group = GroupId(u32::try_from(group.unwrap_or(0)).ok()?);
            let stamp = end_of_ms(purge.get("stamp")?.as_u64()?);
            return Some(JournalEntry {
                position,
                change: JournalChange::Purged {
                    object,
                    group,
                    stamp,
                },
            });
        }
        let hosts = json.get("hosts")?;
        let kind = match hosts.get("complete").and_then(Value::as_bool) {
            Some(true) => HostListKind::Full,
            _ => HostListKind::Delta,
        };
        let members = hosts.get("members")?.as_array()?;
        let listed = members.len();
        let members = members
            .iter()
            .filter_map(|member| read_member(member, names));
        let members: Vec<ListedHost> = members.collect();
        let unreadable = listed - members.len();
        Some(JournalEntry {
            position,
            change: JournalChange::Hosts {
                kind,
                hosts: members,
                unreadable,
            },
        })
    }
}

/// Reads a member of a host list. Zones and kinds that the settings don't name get an id that no setting has.
fn read_member(json: &Value, names: &Names) -> Option<ListedHost> {
    let text = |key: &str| json.get(key).and_then(Value::as_str);
    let name = text("id")?;
    let started = json.get("up_since_ms").and_then(Value::as_u64).unwrap_or(0);
    let zone = names.zones.get(text("locality").unwrap_or(""));
    let kind = names.kinds.get(text("flavor").unwrap_or(""));
    let cell = json.get("cell").and_then(Value::as_u64).unwrap_or(0);
    let capacity = json.get("size").and_then(Value::as_f64).unwrap_or(1.0);
    let entry = HostEntry {
        host: HostId::of_name(name),
        cell: CellId(u16::try_from(cell).unwrap_or(u16::MAX)),
        zone: zone.copied().unwrap_or(ZoneId(u16::MAX)),
        kind: kind.copied().unwrap_or(KindId(u8::MAX)),
        started: None,
        stamp: (started > 0).then(|| end_of_ms(started)),
        capacity: if capacity.is_finite() && capacity > 0.0 {
            capacity
        } else {
            1.0
        },
        state: match text("phase")? {
            "ready" => HostState::Ready,
            "draining" => HostState::Draining,
            "gone" => HostState::Gone,
            _ => return None,
        },
    };
    Some(ListedHost {
        entry,
        name: name.into(),
        address: text("host_port")?.parse().ok()?,
    })
}

/// The client and its position in the journal.
pub struct JournalClient {
    /// `None` if there is no service: nothing is added to what is known at the start.
    pub address: Option<SocketAddr>,
    pub names: Rc<Names>,
    /// The position of the last event received.
    pub last_position: u64,
    /// The wait before the next call, without its random part.
    pub retry_interval: Duration,
    pub rng: fastrand::Rng,
    pub queue: InboundSender,
    pub counts: Rc<Counts>,
    pub log: Logger,
}

/// What a new configuration says about the journal service.
pub struct JournalServiceUpdate {
    pub address: Option<SocketAddr>,
    /// The events that the configuration itself contains.
    pub known: Vec<JournalEntry>,
}

/// Receives events for as long as the process runs, and applies changes of the service's address.
pub async fn follow(mut journal: JournalClient, mut changes: mpsc::Receiver<JournalServiceUpdate>) {
    let mut last_logged = (String::new(), 0);
    loop {
        let change = tokio::select! {
            biased;
            change = changes.recv() => change,
            why = journal.call_and_wait() => {
                // Repeated failures are logged once.
                if last_logged != (why.clone(), journal.last_position) {
                    info!(journal.log, "journal call ended"; "why" => &why, "last" => journal.last_position);
                    last_logged = (why, journal.last_position);
                }
                None
            }
        };
        // A change may interrupt a call within an event. The next call continues after the last whole event.
        if let Some(change) = change {
            (journal.address, journal.retry_interval) = (change.address, MIN_RETRY_INTERVAL);
            change
                .known
                .into_iter()
                .for_each(|entry| journal.add_known(entry));
            last_logged.0.clear();
        }
    }
}

impl JournalClient {
    /// Makes one call and waits for the time of the next, and returns why the call ended. Without an address it never
    /// returns.
    async fn call_and_wait(&mut self) -> String {
        let Some(address) = self.address else {
            return std::future::pending().await;
        };
        count(&self.counts.journal_calls);
        let Err(why) = self.call(address).await;
        let spread = 0.75 + 0.5 * self.rng.f64();
        sleep(self.retry_interval.mul_f64(spread)).await;
        self.retry_interval = self.retry_interval.mul_f64(1.5).min(MAX_RETRY_INTERVAL);
        why
    }

    /// Calls the service and handles events until the call ends.
    async fn call(&mut self, address: SocketAddr) -> Result<std::convert::Infallible, String> {
        let timed_out = |_| "silent".to_owned();
        let failed = |e: std::io::Error| e.to_string();
        let dial = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let stream = dial.await.map_err(timed_out)?.map_err(failed)?;
        let last_position = self.last_position;
        let request = format!(
            "GET /journal HTTP/1.1\r\nHost: {address}\r\nAccept: text/event-stream\r\n\
             Last-Event-ID: {last_position}\r\n\r\n"
        );
        let mut unsent = request.as_bytes();
        while !unsent.is_empty() {
            timeout(RECEIVE_TIMEOUT, stream.writable())
                .await
                .map_err(timed_out)?
                .map_err(failed)?;
            match system_calls::write(&stream, &[IoSlice::new(unsent)]) {
                Transfer::Bytes(n) => unsent = &unsent[n..],
                Transfer::NotReady => {}
                Transfer::ResourceShortage => sleep(RESOURCE_RETRY_DELAY).await,
                Transfer::Failed(e) => return Err(failed(e)),
            }
        }
        let (mut response, mut events) = (Response::default(), EventParser::default());
        let mut piece = [0; READ_BYTES];
        let (mut body, mut received) = (Vec::new(), Vec::new());
        loop {
            timeout(RECEIVE_TIMEOUT, stream.readable())
                .await
                .map_err(timed_out)?
                .map_err(failed)?;
            let n = match system_calls::read(&stream, &mut piece) {
                Transfer::Bytes(0) => return Err("closed".into()),
                Transfer::Bytes(n) => n,
                Transfer::NotReady => continue,
                Transfer::ResourceShortage => {
                    sleep(RESOURCE_RETRY_DELAY).await;
                    continue;
                }
                Transfer::Failed(e) => return Err(failed(e)),
            };
            self.retry_interval = MIN_RETRY_INTERVAL;
            response
                .feed(&piece[..n], &mut body)
                .map_err(|error| error.0.to_owned())?;
            events
                .feed(&body, &mut received)
                .map_err(|_| "an event is too long")?;
            body.clear();
            for event in received.drain(..) {
                self.handle_event(&event.id, &event.data)?;
            }
            if response.is_complete() {
                return Err("closed".into());
            }
            // A service that sends without a pause never has to be waited for, so that nobody else would run.
            yield_now().await;
        }
    }

    /// Takes an event from a new configuration if it is the next one.
    fn add_known(&mut self, entry: JournalEntry) {
        if entry.position == self.last_position + 1 {
            self.last_position = entry.position;
            count(&self.counts.journal_events);
            let _ = self.queue.send(Inbound::Journal(entry));
        }
    }

    /// Handles an event. Events that were received before are ignored; after a gap, the call ends and is made again.
    fn handle_event(&mut self, id: &str, data: &str) -> Result<(), String> {
        let json: Value = serde_json::from_str(data).unwrap_or_default();
        let position = id.parse().ok().or_else(|| json.get("pos")?.as_u64());
        let position = position.ok_or("an event has no position")?;
        if position <= self.last_position {
            count(&self.counts.journal_repeats);
            return Ok(());
        }
        if position > self.last_position + 1 && self.last_position > 0 {
            return Err(format!("events before {position} are missing"));
        }
        let entry = JournalEntry::read(&json, &self.names);
        check_invariant(
            position > self.last_position,
            &self.counts.broken_journal_order,
        );
        self.last_position = position;
        match entry {
            Some(entry) => {
                count(&self.counts.journal_events);
                let _ = self.queue.send(Inbound::Journal(entry));
            }
            None => {
                count(&self.counts.bad_entries);
                warn!(self.log, "journal event can't be read"; "pos" => position);
            }
        }
        Ok(())
    }
}
