//! What is around the dispatchers: stand-in hosts, the journal service, and the settings that all of them start with.

use serde_json::{Value, json};
use std::io;
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::task::spawn_local;
use trailproxy::units::{GroupId, Timestamp, ZoneId};
use trailproxy_lab::loopback::settings;
use trailproxy_lab::scenario::{KINDS, Scenario};
use trailproxy_operator::{Bounds, read};
use trailproxy_peers::sites::Site;
use trailproxy_standins::fleet::Fleet;
use trailproxy_standins::loopback::{Clock, Seen, Stage, Wire};
use trailproxy_standins::shape::Trouble;

/// The name under which the dispatchers of a run know each other.
pub const FLEET: &str = "capacity";
/// The track of requests that carry a key.
pub const KEYED_TRACK: &str = "order";
/// The track of requests that carry none.
pub const PLAIN_TRACK: &str = "label";

/// Bodies have this part of the bytes that they stand for.
const SCALE: f64 = 1.0 / 32.0;
/// The stand-ins are up before their clock begins.
const LEAD: Duration = Duration::from_millis(100);
/// Hosts of the run: so many that no rate of a run fills them.
const SCRIPT: &str = include_str!("../../../scenarios/capacity-live.star");

/// What the operator's file of each dispatcher says of the others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeersTerms {
    /// How long a record is kept.
    pub keep_s: f64,
    /// The longest that a keyed request waits for the others.
    pub wait_ms: f64,
}

/// Stand-in hosts and the journal service, up until this is dropped.
pub struct Surroundings {
    pub scenario: Scenario,
    pub stage: Stage,
}

impl Surroundings {
    /// Opens all ports, within a `LocalSet`.
    pub async fn open(seed: u64) -> io::Result<Surroundings> {
        let sheet = read(
            "capacity-live.star",
            SCRIPT.into(),
            KINDS,
            Bounds::default(),
        );
        let sheet = sheet.map_err(|wrong| io::Error::other(wrong.to_string()))?;
        let scenario = Scenario::from_sheet(&sheet);
        let scenario = scenario.map_err(|wrong| io::Error::other(wrong.to_string()))?;
        let fleet = Fleet::new(scenario.shape.clone(), &[], seed);
        let hosts = scenario.shape.hosts.len();
        let clock = Clock::dawning_in(LEAD)?;
        let (see, seen) = unbounded_channel();
        spawn_local(discard(seen));
        let stage = Stage::open(fleet, hosts, wire(&scenario), clock, see).await?;
        Ok(Surroundings { scenario, stage })
    }

    /// The zone that the dispatchers stand in.
    fn zone(&self) -> ZoneId {
        let with = self.scenario.seats.iter().position(|&seats| seats > 0);
        ZoneId(with.unwrap_or(0) as u16)
    }

    /// The configuration of one dispatcher of a fleet of so many.
    pub fn config(&self, name: &str, seed: u64, fleet_size: usize) -> io::Result<Value> {
        let known: Value = serde_json::from_str(&self.stage.known).map_err(io::Error::other)?;
        let mut settings = settings(&self.scenario, self.zone());
        settings["balancers"] = json!(fleet_size);
        Ok(json!({
            "name": name,
            "seed": format!("{seed:016x}"),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "journal": self.stage.journal_address.to_string(),
            "known": known,
            "settings": settings,
        }))
    }

    /// The journal tells every dispatcher that a group of objects is purged.
    pub fn purge(&self, group: u32) {
        self.stage.cue(Trouble::Purge(None, GroupId(group)));
    }
}

/// One site for each of so many zones, two zones to a region; the members take turns. None where there are no zones.
pub fn sites(zones: usize, members: &[SocketAddrV4]) -> Vec<Site> {
    let site = |zone: usize| {
        let of_zone = members.iter().skip(zone).step_by(zones);
        Site {
            position: (1, 1),
            name: format!("site{zone}"),
            zone: format!("zone{zone}"),
            region: format!("region{}", zone / 2),
            members: of_zone.map(SocketAddrV4::to_string).collect(),
        }
    };
    (0..zones).map(site).collect()
}

/// The operator's section for a dispatcher that listens there.
pub fn peers_section(
    terms: PeersTerms,
    listen: SocketAddrV4,
    seeds: &[SocketAddrV4],
    sites: &[Site],
) -> Value {
    let seeds: Vec<String> = seeds.iter().map(SocketAddrV4::to_string).collect();
    json!({"peers": {
        "file": "capacity", "place": [1, 1], "fleet": FLEET, "secret_file": "",
        "listen": listen.to_string(), "advertise": "", "seeds": seeds,
        "unsure": "send", "wait_ms": terms.wait_ms, "keep_s": terms.keep_s,
        "records": true, "purges": true, "hosts": true, "hints": true, "sites": sites,
    }})
}

fn wire(scenario: &Scenario) -> Wire {
    let zones = scenario.shape.zones.iter();
    Wire {
        tracks: scenario.track_names.clone(),
        zones: zones.map(|zone| zone.name.clone()).collect(),
        scale: SCALE,
        notes: scenario.terms.note_level,
        list_delay: scenario.list_delay,
        purge_delay: scenario.purge_delay,
    }
}

/// What the stand-ins see is of no use here, and must not pile up.
async fn discard(mut seen: UnboundedReceiver<(Timestamp, Seen)>) {
    while seen.recv().await.is_some() {}
}
