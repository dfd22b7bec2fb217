//! What a run is made of and what happens in it, drawn from its seed.

use fastrand::Rng;
use std::fmt;
use std::time::Duration;
use trailproxy::units::{GroupId, TimeSpan, Timestamp};
use trailproxy_lab::scenario::{KINDS, Scenario};
use trailproxy_lab::traffic::GROUPS;
use trailproxy_standins::shape::{Cue, DAWN, HostShape, Role, Trouble as FleetTrouble};

/// How large and how long a run is.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub dispatchers: usize,
    pub seconds: f64,
    /// Requests a second at each dispatcher.
    pub rate: f64,
}

/// A class of trouble, for runs of one or two kinds at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Dispatchers are told to end, killed, stopped, or told to read their configuration again.
    Process,
    /// System calls of dispatchers fail.
    Calls,
    /// Wall clocks of dispatchers are stepped.
    Clocks,
    /// Servers crash, hang, are replaced, spoil answers; objects are purged.
    Servers,
    /// The network between dispatchers and servers holds, resets, or delays.
    Network,
    /// Discovery is silent or gone.
    Discovery,
    /// Clients misbehave.
    Clients,
}

impl Kind {
    pub const ALL: [Kind; 7] = [
        Kind::Process,
        Kind::Calls,
        Kind::Clocks,
        Kind::Servers,
        Kind::Network,
        Kind::Discovery,
        Kind::Clients,
    ];

    /// The name by which the command line knows it.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Process => "process",
            Kind::Calls => "calls",
            Kind::Clocks => "clocks",
            Kind::Servers => "servers",
            Kind::Network => "network",
            Kind::Discovery => "discovery",
            Kind::Clients => "clients",
        }
    }
}

/// What happens to some dispatchers, or to what is around them.
#[derive(Clone, Debug)]
pub enum Trouble {
    /// SIGTERM, and a new start once it has ended.
    Stop,
    /// SIGKILL, and a new start.
    Kill,
    /// SIGSTOP, and SIGCONT at the end.
    Pause,
    /// SIGHUP with another address of discovery and other settings, none of which needs a new start.
    Reload,
    /// SIGHUP while half of the configuration is written; the rest follows.
    HalfReload,
    Interrupted {
        share: f64,
    },
    Short {
        share: f64,
    },
    /// Accepts, sockets and connects lack descriptors, buffers or ports.
    Lacking {
        share: f64,
    },
    /// Reads and writes find no memory for the moment.
    NoMemory {
        share: f64,
    },
    /// The log's file can't be written to.
    DiskFull {
        share: f64,
    },
    /// The wall clock is ahead by so many milliseconds, behind if negative; put right at the end.
    Clock {
        ahead_ms: i64,
    },
    /// Bytes to and from servers wait.
    Hold,
    /// Connections to servers are reset.
    Resets,
    /// New connections to servers come up late.
    LateConnections {
        by: Duration,
    },
    DiscoverySilent,
    DiscoveryGone,
    /// Clients that send halves, garbage, floods and cancels, and go.
    Rogues {
        each_second: f64,
    },
}

impl Trouble {
    pub fn kind(&self) -> Kind {
        use Trouble::*;
        match self {
            Stop | Kill | Pause | Reload | HalfReload => Kind::Process,
            Interrupted { .. } | Short { .. } | Lacking { .. } | NoMemory { .. } => Kind::Calls,
            DiskFull { .. } => Kind::Calls,
            Clock { .. } => Kind::Clocks,
            Hold | Resets | LateConnections { .. } => Kind::Network,
            DiscoverySilent | DiscoveryGone => Kind::Discovery,
            Rogues { .. } => Kind::Clients,
        }
    }
}

/// A trouble, when, for how long and at which dispatchers.
#[derive(Clone, Debug)]
pub struct Event {
    pub at: TimeSpan,
    pub lasts: TimeSpan,
    pub who: Vec<usize>,
    pub trouble: Trouble,
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (at, lasts) = (self.at.as_secs_f64(), self.lasts.as_secs_f64());
        write!(
            f,
            "{at:.2} s for {lasts:.2} s: {:?} at {:?}",
            self.trouble, self.who
        )
    }
}

/// One run.
pub struct Plan {
    pub seed: u64,
    /// Descriptors that a dispatcher may hold: few, and clients wait for places.
    pub descriptors: u64,
    pub scenario: Scenario,
    pub events: Vec<Event>,
}

const FLEET: &str = include_str!("fleet.star");
const DESCRIPTORS: [u64; 3] = [64, 128, 384];
/// Nothing happens before this, so that all are warm, nor in the last part, so that all can be judged.
const QUIET_AT_FIRST: f64 = 0.8;
const QUIET_AT_LAST: f64 = 2.0;
/// Of the groups of objects, so many are purged at a time.
const GROUPS_PURGED: u32 = 60;
/// About so many troubles at a time.
const OVERLAP: f64 = 2.5;

impl Plan {
    /// Draws a run with troubles of these kinds.
    pub fn draw(seed: u64, size: Size, kinds: &[Kind]) -> Result<Plan, String> {
        let mut chance = Rng::with_seed(seed);
        let mut scenario = scenario(size)?;
        let descriptors = DESCRIPTORS[chance.usize(..DESCRIPTORS.len())];
        // Some deployments take no request back.
        scenario.terms.may_cancel = chance.u8(..4) > 0;
        let busy = (size.seconds - QUIET_AT_FIRST - QUIET_AT_LAST).max(1.0);
        let mut events = Vec::new();
        let mut covered = 0.0;
        while covered < busy * OVERLAP {
            let kind = kinds[chance.usize(..kinds.len())];
            let lasts = 0.3 + chance.f64() * 2.2;
            let at = QUIET_AT_FIRST + chance.f64() * (busy - lasts).max(0.1);
            covered += lasts;
            if kind == Kind::Servers {
                let cues = server_trouble(&mut chance, &scenario.shape.hosts, at, lasts);
                scenario.script.extend(cues);
                continue;
            }
            events.push(Event {
                at: TimeSpan::from_secs_f64(at),
                lasts: TimeSpan::from_secs_f64(lasts),
                who: some(&mut chance, size.dispatchers),
                trouble: draw(&mut chance, kind),
            });
        }
        events.sort_by_key(|event| event.at);
        scenario.script.sort_by_key(|cue| cue.at);
        Ok(Plan {
            seed,
            descriptors,
            scenario,
            events,
        })
    }
}

fn scenario(size: Size) -> Result<Scenario, String> {
    let text = FLEET
        .replace("DISPATCHERS", &size.dispatchers.to_string())
        .replace("SECONDS", &size.seconds.to_string())
        .replace(
            "READS",
            &(size.rate * 0.75 * size.dispatchers as f64).to_string(),
        )
        .replace(
            "ORDERS",
            &(size.rate * 0.15 * size.dispatchers as f64).to_string(),
        )
        .replace(
            "ONCE",
            &(size.rate * 0.1 * size.dispatchers as f64).to_string(),
        );
    let bounds = trailproxy_operator::Bounds::default();
    let sheet = trailproxy_operator::read("fleet.star", text, KINDS, bounds);
    let sheet = sheet.map_err(|wrong| wrong.to_string())?;
    Scenario::from_sheet(&sheet).map_err(|wrong| wrong.to_string())
}

/// A quarter to all of them.
fn some(chance: &mut Rng, of: usize) -> Vec<usize> {
    let most = (of as f64 * (0.25 + 0.5 * chance.f64())).ceil() as usize;
    let mut all: Vec<usize> = (0..of).collect();
    chance.shuffle(&mut all);
    all.truncate(most.max(1));
    all
}

fn draw(chance: &mut Rng, kind: Kind) -> Trouble {
    let share = [0.01, 0.05, 0.2][chance.usize(..3)];
    match kind {
        Kind::Process => match chance.u8(..6) {
            0 | 1 => Trouble::Stop,
            2 => Trouble::Kill,
            3 => Trouble::Pause,
            4 => Trouble::Reload,
            _ => Trouble::HalfReload,
        },
        Kind::Calls => match chance.u8(..6) {
            0 | 1 => Trouble::Interrupted { share },
            2 => Trouble::Short { share },
            3 => Trouble::Lacking { share },
            4 => Trouble::NoMemory { share },
            _ => Trouble::DiskFull { share },
        },
        Kind::Clocks => {
            let hour = 3_600_000;
            let steps = [-hour, -3_000, -400, 700, 4_000, hour];
            Trouble::Clock {
                ahead_ms: steps[chance.usize(..steps.len())],
            }
        }
        Kind::Network => match chance.u8(..3) {
            0 => Trouble::Hold,
            1 => Trouble::Resets,
            _ => Trouble::LateConnections {
                by: Duration::from_millis(chance.u64(50..1200)),
            },
        },
        Kind::Discovery => match chance.bool() {
            true => Trouble::DiscoverySilent,
            false => Trouble::DiscoveryGone,
        },
        Kind::Clients | Kind::Servers => Trouble::Rogues {
            each_second: 5.0 + chance.f64() * 40.0,
        },
    }
}

fn server_trouble(chance: &mut Rng, hosts: &[HostShape], at: f64, lasts: f64) -> Vec<Cue> {
    let host = &hosts[chance.usize(..hosts.len())];
    let (id, span) = (host.id, TimeSpan::from_secs_f64(lasts));
    let origin = host.role == Role::Origin;
    let trouble = match chance.u8(..10) {
        0..3 => return purges(chance, at),
        3 if !origin => FleetTrouble::Crash(id, span),
        8 if !origin => FleetTrouble::Roll(id, span),
        4 => FleetTrouble::Silence(id, span),
        5 => FleetTrouble::Garbage(id, 0.2, span),
        6 => FleetTrouble::Resets(id, 0.3, span),
        7 => FleetTrouble::LateList(TimeSpan::from_millis(chance.u64(100..1500)), span),
        _ => FleetTrouble::Slow(id, 4.0 + chance.f64() * 20.0, span),
    };
    let at = moment(at);
    vec![Cue { at, trouble }]
}

/// A part of all objects is purged at once, by their groups.
fn purges(chance: &mut Rng, at: f64) -> Vec<Cue> {
    let groups = (0..GROUPS_PURGED).map(|_| GroupId(chance.u32(..GROUPS as u32)));
    let purge = |group| Cue {
        at: moment(at),
        trouble: FleetTrouble::Purge(None, group),
    };
    groups.map(purge).collect()
}

fn moment(seconds: f64) -> Timestamp {
    DAWN + TimeSpan::from_secs_f64(seconds)
}
