//! Parses the events of the journal service: purges and changes of the host list.

use crate::messages::*;
use serde_json::Value;
use std::collections::HashMap;
use trailproxy::interface::{HostEntry, HostListKind, HostState};
use trailproxy::units::*;
use trailproxy_terms::SocketSettings;

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
