//! The scenario of a run and the faults that are injected into it, drawn from the run's seed.

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
    /// How many dispatchers run.
    pub dispatchers: usize,
    /// How long the load lasts, in seconds.
    pub seconds: f64,
    /// Requests per second at each dispatcher.
    pub rate: f64,
}

/// A class of faults, for runs with one or two classes at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Dispatchers are terminated, killed, paused, or told to read their configuration again.
    Process,
    /// System calls of dispatchers fail.
    Calls,
    /// Wall clocks of dispatchers are stepped.
    Clocks,
    /// Servers crash, hang, are replaced, or send garbage; objects are purged.
    Servers,
    /// The network between dispatchers and servers holds back bytes, resets connections, or delays new ones.
    Network,
    /// The journal service sends nothing or is gone.
    Discovery,
    /// Clients misbehave.
    Clients,
}

impl Kind {
    /// All classes.
    pub const ALL: [Kind; 7] = [
        Kind::Process,
        Kind::Calls,
        Kind::Clocks,
        Kind::Servers,
        Kind::Network,
        Kind::Discovery,
        Kind::Clients,
    ];

    /// The name on the command line.
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

/// A fault of some dispatchers, or of their clients or their network. The variants' names go into the log of a run.
#[derive(Clone, Debug)]
pub enum Trouble {
    /// SIGTERM, and a new start once the process has ended.
    Stop,
    /// SIGKILL, and a new start.
    Kill,
    /// SIGSTOP, and SIGCONT at the end.
    Pause,
    /// SIGHUP with another address of discovery and other settings, none of which needs a new start.
    Reload,
    /// SIGHUP while half of the configuration is written; the rest follows.
    HalfReload,
    /// System calls are interrupted.
    Interrupted {
        share: f64,
    },
    Short {
        share: f64,
    },
    /// Accepts, new sockets and connects fail for lack of descriptors, buffers or ports.
    Lacking {
        share: f64,
    },
    /// Reads and writes fail for lack of memory, temporarily.
    NoMemory {
        share: f64,
    },
    /// The log's file can't be written to.
    DiskFull {
        share: f64,
    },
    /// The wall clock is ahead by this many milliseconds, or behind if negative; it is corrected at the end.
    Clock {
        ahead_ms: i64,
    },
    /// Bytes to and from servers are held back.
    Hold,
    /// Connections to servers are reset.
    Resets,
    /// New connections to servers are established late.
    LateConnections {
        by: Duration,
    },
    /// The journal service sends nothing.
    DiscoverySilent,
    /// The journal service is gone.
    DiscoveryGone,
    /// Clients that misbehave, as in [`crate::rogue`], connect at this rate.
    Rogues {
        each_second: f64,
    },
}

impl Trouble {
    /// The class of this fault.
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

/// An injected fault: when it begins, how long it lasts, and the indices of the dispatchers that it applies to.
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

/// The plan of one run.
pub struct Plan {
    /// The seed that the run is drawn from.
    pub seed: u64,
    /// Descriptors that a dispatcher may hold: so few that clients wait for connection slots.
    pub descriptors: u64,
    /// The fleet, the load and the faults of servers.
    pub scenario: Scenario,
    /// All other faults, in order of time.
    pub events: Vec<Event>,
}

const FLEET: &str = include_str!("fleet.star");
const DESCRIPTOR_LIMITS: [u64; 3] = [64, 128, 384];
/// Seconds without faults at the start, so that all dispatchers have warmed up.
const QUIET_START_SECONDS: f64 = 0.8;
/// Seconds without faults at the end, so that the effects of all faults can be judged.
const QUIET_END_SECONDS: f64 = 2.0;
/// Groups of objects that one purge draws.
const GROUPS_PER_PURGE: u32 = 60;
/// Mean number of faults at a time.
const MEAN_OVERLAP: f64 = 2.5;

impl Plan {
    /// Draws a run with faults of these classes.
    pub fn draw(seed: u64, size: Size, kinds: &[Kind]) -> Result<Plan, String> {
        let mut rng = Rng::with_seed(seed);
        let mut scenario = scenario(size)?;
        let descriptors = DESCRIPTOR_LIMITS[rng.usize(..DESCRIPTOR_LIMITS.len())];
        // Some deployments do not let dispatchers cancel requests.
        scenario.terms.may_cancel = rng.u8(..4) > 0;
        let faulty_seconds = (size.seconds - QUIET_START_SECONDS - QUIET_END_SECONDS).max(1.0);
        let mut events = Vec::new();
        let mut covered = 0.0;
        while covered < faulty_seconds * MEAN_OVERLAP {
            let kind = kinds[rng.usize(..kinds.len())];
            let lasts = 0.3 + rng.f64() * 2.2;
            let at = QUIET_START_SECONDS + rng.f64() * (faulty_seconds - lasts).max(0.1);
            covered += lasts;
            if kind == Kind::Servers {
                let cues = draw_server_fault(&mut rng, &scenario.shape.hosts, at, lasts);
                scenario.script.extend(cues);
                continue;
            }
            events.push(Event {
                at: TimeSpan::from_secs_f64(at),
                lasts: TimeSpan::from_secs_f64(lasts),
                who: draw_dispatchers(&mut rng, size.dispatchers),
                trouble: draw_fault(&mut rng, kind),
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

/// The scenario of the fleet's file for a run of this size.
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
    let config = trailproxy_operator::read("fleet.star", text, KINDS, bounds);
    let config = config.map_err(|error| error.to_string())?;
    Scenario::from_sheet(&config).map_err(|error| error.to_string())
}

/// Draws the indices of a quarter to three quarters of the dispatchers, rounded up.
fn draw_dispatchers(rng: &mut Rng, dispatchers: usize) -> Vec<usize> {
    let count = (dispatchers as f64 * (0.25 + 0.5 * rng.f64())).ceil() as usize;
    let mut all: Vec<usize> = (0..dispatchers).collect();
    rng.shuffle(&mut all);
    all.truncate(count.max(1));
    all
}

/// Draws a fault of this class.
fn draw_fault(rng: &mut Rng, kind: Kind) -> Trouble {
    let share = [0.01, 0.05, 0.2][rng.usize(..3)];
    match kind {
        Kind::Process => match rng.u8(..6) {
            0 | 1 => Trouble::Stop,
            2 => Trouble::Kill,
            3 => Trouble::Pause,
            4 => Trouble::Reload,
            _ => Trouble::HalfReload,
        },
        Kind::Calls => match rng.u8(..6) {
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
                ahead_ms: steps[rng.usize(..steps.len())],
            }
        }
        Kind::Network => match rng.u8(..3) {
            0 => Trouble::Hold,
            1 => Trouble::Resets,
            _ => Trouble::LateConnections {
                by: Duration::from_millis(rng.u64(50..1200)),
            },
        },
        Kind::Discovery => match rng.bool() {
            true => Trouble::DiscoverySilent,
            false => Trouble::DiscoveryGone,
        },
        Kind::Clients | Kind::Servers => Trouble::Rogues {
            each_second: 5.0 + rng.f64() * 40.0,
        },
    }
}

/// Draws a fault of one server, or a purge.
fn draw_server_fault(rng: &mut Rng, hosts: &[HostShape], at: f64, lasts: f64) -> Vec<Cue> {
    let host = &hosts[rng.usize(..hosts.len())];
    let (id, span) = (host.id, TimeSpan::from_secs_f64(lasts));
    let origin = host.role == Role::Origin;
    let trouble = match rng.u8(..10) {
        0..3 => return draw_purges(rng, at),
        3 if !origin => FleetTrouble::Crash(id, span),
        8 if !origin => FleetTrouble::Roll(id, span),
        4 => FleetTrouble::Silence(id, span),
        5 => FleetTrouble::Garbage(id, 0.2, span),
        6 => FleetTrouble::Resets(id, 0.3, span),
        7 => FleetTrouble::LateList(TimeSpan::from_millis(rng.u64(100..1500)), span),
        _ => FleetTrouble::Slow(id, 4.0 + rng.f64() * 20.0, span),
    };
    let at = timestamp(at);
    vec![Cue { at, trouble }]
}

/// Purges a part of all objects at once, by their groups.
fn draw_purges(rng: &mut Rng, at: f64) -> Vec<Cue> {
    let groups = (0..GROUPS_PER_PURGE).map(|_| GroupId(rng.u32(..GROUPS as u32)));
    let purge = |group| Cue {
        at: timestamp(at),
        trouble: FleetTrouble::Purge(None, group),
    };
    groups.map(purge).collect()
}

/// The timestamp at this second of the run.
fn timestamp(seconds: f64) -> Timestamp {
    DAWN + TimeSpan::from_secs_f64(seconds)
}
