//! The journal service: the changes of the host list and the purges, each told once and in order.

use crate::checks::{Counts, count, must};
use crate::http::Response;
use crate::messages::*;
use crate::sse::Events;
use crate::system_calls::{self, RESOURCE_RETRY_DELAY, Transfer};
use local_channel::mpsc;
use serde_json::Value;
use slog::{Logger, info, warn};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use trailproxy::interface::{HostEntry, HostListKind, HostState};
use trailproxy::units::*;
use trailproxy_terms::Bounds;

/// A comment comes every second: two missed, and the connection is taken for dead.
const SILENCE: Duration = Duration::from_millis(2200);
/// What it has to tell counts as told 4 s after it fell silent: a call comes up within this, or never.
const CALL_WITHIN: Duration = Duration::from_secs(1);
/// A call that failed is made again after this, and half as late again with each that fails, up to the longest: a fleet
/// that calls in step is more than a service bears that comes back, and a long wait is missed when it is there again.
pub const CALL_AGAIN: Duration = Duration::from_millis(100);
const CALL_AGAIN_AT_MOST: Duration = Duration::from_millis(400);
const READ_SIZE: usize = 16 * 1024;

/// Zones and kinds by the names that the settings give them.
pub struct Names {
    zones: HashMap<String, ZoneId>,
    kinds: HashMap<String, KindId>,
}

impl Names {
    pub fn of(bounds: &Bounds) -> Names {
        let zones = bounds.zone_names.iter().cloned().zip((0..).map(ZoneId));
        let kinds = bounds.kind_names.iter().cloned().zip((0..).map(KindId));
        Names {
            zones: zones.collect(),
            kinds: kinds.collect(),
        }
    }
}

/// An object by its 16 hex digits.
pub fn object_id(text: &str) -> Option<ObjectId> {
    let hex = text.len() <= 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    hex.then(|| u64::from_str_radix(text, 16).ok().map(ObjectId))
        .flatten()
}

/// The last microsecond that a told millisecond may mean: for starts and purges the strict side.
fn latest_of_ms(ms: u64) -> Timestamp {
    Timestamp(ms.saturating_mul(1000).saturating_add(999))
}

impl JournalEntry {
    pub fn read(json: &Value, names: &Names) -> Option<JournalEntry> {
        let pos = json.get("pos")?.as_u64()?;
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
            let stamp = latest_of_ms(purge.get("stamp")?.as_u64()?);
            return Some(JournalEntry {
                position: pos,
                change: JournalChange::Purged {
                    object,
                    group,
                    stamp,
                },
            });
        }
        let hosts = json.get("hosts")?;
        let form = match hosts.get("complete").and_then(Value::as_bool) {
            Some(true) => HostListKind::Full,
            _ => HostListKind::Delta,
        };
        let members = hosts.get("members")?.as_array()?;
        let told = members.len();
        let members = members
            .iter()
            .filter_map(|member| read_member(member, names));
        let members: Vec<ListedHost> = members.collect();
        let unread = told - members.len();
        Some(JournalEntry {
            position: pos,
            change: JournalChange::Hosts {
                kind: form,
                hosts: members,
                unreadable: unread,
            },
        })
    }
}

/// Zones and kinds that the settings don't name are given places that no setting has.
fn read_member(json: &Value, names: &Names) -> Option<ListedHost> {
    let text = |key: &str| json.get(key).and_then(Value::as_str);
    let name = text("id")?;
    let started = json.get("up_since_ms").and_then(Value::as_u64).unwrap_or(0);
    let zone = names.zones.get(text("locality").unwrap_or(""));
    let kind = names.kinds.get(text("flavor").unwrap_or(""));
    let cell = json.get("cell").and_then(Value::as_u64).unwrap_or(0);
    let size = json.get("size").and_then(Value::as_f64).unwrap_or(1.0);
    let entry = HostEntry {
        host: HostId::of_name(name),
        cell: CellId(u16::try_from(cell).unwrap_or(u16::MAX)),
        zone: zone.copied().unwrap_or(ZoneId(u16::MAX)),
        kind: kind.copied().unwrap_or(KindId(u8::MAX)),
        started: None,
        stamp: (started > 0).then(|| latest_of_ms(started)),
        capacity: if size.is_finite() && size > 0.0 {
            size
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

pub struct Journal {
    /// `None`: what is known at the start is all there is.
    pub address: Option<SocketAddr>,
    pub names: Rc<Names>,
    /// The last place that was told.
    pub last: u64,
    /// How long the next call waits, before chance.
    pub again: Duration,
    pub chance: fastrand::Rng,
    pub queue: InboundSender,
    pub counts: Rc<Counts>,
    pub log: Logger,
}

/// What a new configuration says of the journal service, and what that had told by then.
pub struct Moved {
    pub address: Option<SocketAddr>,
    pub known: Vec<JournalEntry>,
}

/// Follows the journal service for as long as the process runs, wherever it moves to.
pub async fn follow(mut journal: Journal, mut moves: mpsc::Receiver<Moved>) {
    let mut told = (String::new(), 0);
    loop {
        let moved = tokio::select! {
            biased;
            moved = moves.recv() => moved,
            why = journal.calls() => {
                // As long as nothing changes, it is told once.
                if told != (why.clone(), journal.last) {
                    info!(journal.log, "journal call ended"; "why" => &why, "last" => journal.last);
                    told = (why, journal.last);
                }
                None
            }
        };
        // What was cut off in the middle of an event is told again: the numbers carry on.
        if let Some(moved) = moved {
            (journal.address, journal.again) = (moved.address, CALL_AGAIN);
            moved
                .known
                .into_iter()
                .for_each(|entry| journal.learn(entry));
            told.0.clear();
        }
    }
}

impl Journal {
    /// One call and the wait for the next, or none for ever.
    async fn calls(&mut self) -> String {
        let Some(address) = self.address else {
            return std::future::pending().await;
        };
        count(&self.counts.journal_calls);
        let Err(why) = self.call(address).await;
        let spread = 0.75 + 0.5 * self.chance.f64();
        sleep(self.again.mul_f64(spread)).await;
        self.again = self.again.mul_f64(1.5).min(CALL_AGAIN_AT_MOST);
        why
    }

    async fn call(&mut self, address: SocketAddr) -> Result<std::convert::Infallible, String> {
        let silent = |_| "silent".to_owned();
        let broken = |e: std::io::Error| e.to_string();
        let dial = timeout(CALL_WITHIN, TcpStream::connect(address));
        let stream = dial.await.map_err(silent)?.map_err(broken)?;
        let last = self.last;
        let request = format!(
            "GET /journal HTTP/1.1\r\nHost: {address}\r\nAccept: text/event-stream\r\n\
             Last-Event-ID: {last}\r\n\r\n"
        );
        let mut unsent = request.as_bytes();
        while !unsent.is_empty() {
            timeout(SILENCE, stream.writable())
                .await
                .map_err(silent)?
                .map_err(broken)?;
            match system_calls::write(&stream, unsent) {
                Transfer::Bytes(n) => unsent = &unsent[n..],
                Transfer::NotReady => {}
                Transfer::Lacking => sleep(RESOURCE_RETRY_DELAY).await,
                Transfer::Broken(e) => return Err(broken(e)),
            }
        }
        let (mut response, mut events) = (Response::default(), Events::default());
        let mut piece = [0; READ_SIZE];
        let (mut body, mut told) = (Vec::new(), Vec::new());
        loop {
            timeout(SILENCE, stream.readable())
                .await
                .map_err(silent)?
                .map_err(broken)?;
            let n = match system_calls::read(&stream, &mut piece) {
                Transfer::Bytes(0) => return Err("closed".into()),
                Transfer::Bytes(n) => n,
                Transfer::NotReady => continue,
                Transfer::Lacking => {
                    sleep(RESOURCE_RETRY_DELAY).await;
                    continue;
                }
                Transfer::Broken(e) => return Err(broken(e)),
            };
            self.again = CALL_AGAIN;
            response
                .feed(&piece[..n], &mut body)
                .map_err(|damaged| damaged.0.to_owned())?;
            events
                .feed(&body, &mut told)
                .map_err(|_| "an event is too long")?;
            body.clear();
            for one in told.drain(..) {
                self.take(&one.id, &one.data)?;
            }
            if response.is_over() {
                return Err("closed".into());
            }
        }
    }

    /// What a new configuration knows and was not heard yet, as far as it follows on.
    fn learn(&mut self, entry: JournalEntry) {
        if entry.position == self.last + 1 {
            self.last = entry.position;
            count(&self.counts.journal_events);
            let _ = self.queue.send(Inbound::Journal(entry));
        }
    }

    /// Each event once and in order: what was told is passed over, past a gap the call is made again.
    fn take(&mut self, id: &str, data: &str) -> Result<(), String> {
        let json: Value = serde_json::from_str(data).unwrap_or_default();
        let pos = id.parse().ok().or_else(|| json.get("pos")?.as_u64());
        let pos = pos.ok_or("an event has no place")?;
        if pos <= self.last {
            count(&self.counts.journal_repeats);
            return Ok(());
        }
        if pos > self.last + 1 && self.last > 0 {
            return Err(format!("events before {pos} are missing"));
        }
        let entry = JournalEntry::read(&json, &self.names);
        must(pos > self.last, &self.counts.broken_journal_order);
        self.last = pos;
        match entry {
            Some(entry) => {
                count(&self.counts.journal_events);
                let _ = self.queue.send(Inbound::Journal(entry));
            }
            None => {
                count(&self.counts.bad_entries);
                warn!(self.log, "journal event can't be read"; "pos" => pos);
            }
        }
        Ok(())
    }
}
