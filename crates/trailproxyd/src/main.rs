//! A trailproxy dispatcher on sockets: clients in, cache hosts out, the journal service beside.

mod accounts;
mod checks;
mod client_slots;
mod clients;
mod dispatch;
mod divided;
mod link;
mod link_context;
mod list;
mod messages;
mod operator;
mod peered;
mod peers;
mod servers;
mod startup;
mod store;
mod subsystems;
mod system_calls;
mod trace;
mod waiting;

use accounts::Accounts;
use buffered::Held;
use checks::Counts;
use dispatch::Dispatch;
use local_channel::mpsc;
use messages::{Clock, Inbound};
use serde_json::Value;
use servers::Pools;
use slog::{Drain, Logger, info, o, warn};
use startup::Start;
use std::cell::{Cell, RefCell};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::LocalSet;
use tokio::time::Instant;
use trace::Trace;
use trailproxy::interface::Terms;
use trailproxy::logic::Dispatcher;
use trailproxy_terms::Bounds;
use trailproxyd::{buffered, http, msgpack, resp, ring, sse};

/// Lines that wait for the log's own thread; more are dropped and their number is logged.
const LOG_LINES: usize = 4096;
const BACKLOG: u32 = 1024;
/// Descriptors kept for the listener, the journal, the log and the runtime, which take 15 at most.
const RESERVE: usize = 20;

const HELP: &str = "\
trailproxyd: a trailproxy dispatcher on sockets

Usage: trailproxyd [--help | --version]

It takes no other arguments. What it is told comes from the environment:
  RELAY_CONFIG  path of the configuration, JSON; needed
  RELAY_LISTEN  address and port for clients; else `listen` in the configuration
  RELAY_NAME    its name in the log; else `name` in the configuration
  RELAY_OPERATOR  path of the operator's own file; else `operator` in the configuration; needs none
  RELAY_PEERS   where other dispatchers write to it; else `peers` in the configuration, else the operator's file
  RELAY_READER  the program that reads it; else `trailproxy` beside this one

SIGHUP reads the configuration again; SIGTERM and SIGINT end it once all is answered.
Exit codes: 0 after a signal; 1 where it can't start; 2 for arguments that it does not take.";

/// What it says to an argument, and how it ends then.
fn told_by(arguments: &[String]) -> Option<ExitCode> {
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match words[..] {
        [] => return None,
        ["--help" | "-h"] => println!("{HELP}"),
        ["--version" | "-V"] => println!("trailproxyd {}", env!("CARGO_PKG_VERSION")),
        _ => {
            eprintln!(
                "trailproxyd: found {:?}, accepted: --help, --version",
                words.join(" ")
            );
            return Some(ExitCode::from(2));
        }
    }
    Some(ExitCode::SUCCESS)
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if let Some(end) = told_by(&arguments) {
        return end;
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(e) => return fail(&format!("the runtime can't be started: {e}")),
    };
    // Before anything else: until they are heard, a signal ends the process by itself.
    let signals = match runtime.block_on(async { Signals::hear() }) {
        Ok(signals) => signals,
        Err(e) => return fail(&format!("signals can't be heard: {e}")),
    };
    let start = match startup::read() {
        Ok(start) => start,
        Err(why) => return fail(&why),
    };
    let plain = slog_term::PlainDecorator::new(std::io::stdout());
    let drain = slog_term::FullFormat::new(plain)
        .use_utc_timestamp()
        .build()
        .fuse();
    let (drain, guard) = slog_async::Async::new(drain)
        .chan_size(LOG_LINES)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build_with_guard();
    let log = Logger::root(drain.fuse(), o!("name" => start.name.clone()));
    let ended = LocalSet::new().block_on(&runtime, serve(start, signals, log));
    drop(guard);
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => fail(&why),
    }
}

fn fail(why: &str) -> ExitCode {
    eprintln!("trailproxyd: {why}");
    ExitCode::FAILURE
}

/// What it is told by signals.
struct Signals {
    hangup: Signal,
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn hear() -> std::io::Result<Signals> {
        Ok(Signals {
            hangup: signal(SignalKind::hangup())?,
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }
}

async fn serve(start: Start, signals: Signals, log: Logger) -> Result<(), String> {
    let Signals {
        mut hangup,
        mut terminate,
        mut interrupt,
    } = signals;
    let names = trailproxy_zones::decide::sheet::Names {
        zones: start.bounds.zone_names.clone(),
        tracks: start.bounds.track_names.clone(),
    };
    let against = operator::Against {
        names: names.clone(),
        longest_window: operator::longest_window(&start.terms, start.bounds.longest_limit),
        purges_last: start.terms.purge_done,
        peers: start.peers.clone(),
    };
    let told = match &start.operator {
        // Nothing has been taken yet: asked to end, it just ends.
        Some(source) => tokio::select! {
            told = source.read(&against) => told?,
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
        },
        None => operator::Told::default(),
    };
    let listen = start.listen;
    let listener = bind(start.listen).map_err(|e| format!("can't listen on {listen}: {e}"))?;
    let (queue, inbound) = mpsc::channel();
    let (counts, held) = (Rc::new(Counts::default()), Held::default());
    // Usual clients hold a third; what others hold beyond that is closed when it is wanted.
    let most_clients = start.descriptors / 2;
    let tracks = start.bounds.track_names.iter().cloned();
    let shared = Rc::new(clients::Shared {
        queue: queue.clone(),
        tracks: tracks.zip((0..).map(trailproxy::units::ClassId)).collect(),
        places: RefCell::new(client_slots::Slots::new(most_clients)),
        longest_limit: Duration::from_micros(start.bounds.longest_limit.0),
        ending: Cell::new(false),
        held: held.clone(),
        counts: counts.clone(),
        log: log.clone(),
        trace: Trace::new(&log),
    });
    info!(log, "started"; "listen" => %listen, "known" => start.known_until, "unread" => start.known_unread,
        "descriptors" => start.descriptors, "memory" => start.memory_bytes);
    let (stop, stopped) = mpsc::channel();
    tokio::task::spawn_local(clients::accept(listener, stopped, shared.clone()));
    let (moved, moves) = mpsc::channel();
    let journal = list::Journal {
        address: start.journal,
        names: start.names,
        last: start.known_until,
        again: list::CALL_AGAIN,
        chance: fastrand::Rng::with_seed(start.seed.rotate_left(17)),
        queue: queue.clone(),
        counts: counts.clone(),
        log: log.clone(),
    };
    tokio::task::spawn_local(list::follow(journal, moves));
    let mut running = Running {
        file: start.file,
        terms: start.terms.clone(),
        bounds: start.bounds.clone(),
    };
    let noted = log.clone();
    let (known, again) = (against, queue.clone());
    tokio::task::spawn_local(async move {
        while hangup.recv().await.is_some() {
            if let Some((source, other)) = read_again(&mut running, &moved, &noted) {
                let told = match &source {
                    Some(source) => source.read(&known).await,
                    None => Ok(operator::Told::default()),
                };
                match told {
                    Ok(told) => {
                        if let Some((settings, other)) = other {
                            running.file["settings"] = settings;
                            let _ = again.send(Inbound::Terms(Box::new(other)));
                        }
                        drop(again.send(Inbound::Operator(told)));
                    }
                    // The settings read with it do not hold either.
                    Err(why) => warn!(noted, "operator's file refused"; "why" => why),
                }
            }
        }
    });
    let asked = queue.clone();
    for mut stream in [terminate, interrupt] {
        let (asked, shared) = (asked.clone(), shared.clone());
        tokio::task::spawn_local(async move {
            while stream.recv().await.is_some() {
                shared.ending.set(true);
                let _ = asked.send(Inbound::Terminate);
            }
        });
    }
    let effects = start
        .terms
        .tracks
        .iter()
        .map(|track| track.effect)
        .collect();
    let name = start.name.clone();
    let accounts = Accounts::new(
        names,
        start.name,
        Clock::new().moment(Instant::now()),
        log.clone(),
    );
    let terms = start.terms.clone();
    let decisions = Dispatcher::with(subsystems::Subsystems::default(), start.terms, start.seed);
    let most_lines = start.descriptors.saturating_sub(most_clients + RESERVE);
    let pools = Pools::new(Rc::new(link_context::Shared {
        queue,
        bounds: start.bounds,
        clock: Clock::new(),
        most_lines: most_lines.max(1),
        held,
        held_limit: start.memory_bytes / 2,
        counts,
        trace: Trace::new(&log),
        log,
    }));
    let mut dispatch = Dispatch::new(decisions, pools, start.reports, effects);
    // Its points in the budgets are drawn apart from the decisions' own chance.
    dispatch.accounts = Some((accounts, terms, !start.seed));
    dispatch.name = name;
    dispatch.operator(told)?;
    dispatch
        .run(start.known, inbound, move || drop(stop.send(())))
        .await;
    Ok(())
}

/// What the dispatcher runs by: the file that was read last, with the settings that hold, and what of its start
/// settings that are followed have in common with them.
struct Running {
    file: Value,
    terms: Terms,
    bounds: Bounds,
}

impl Running {
    /// Why other settings can't be followed without a new start: requests that are open, and host entries that
    /// are known, name tracks, zones and kinds by their places, and sockets keep their bounds.
    fn differs(&self, start: &startup::Start) -> Option<&'static str> {
        let effects = |terms: &Terms| terms.tracks.iter().map(|t| t.effect).collect::<Vec<_>>();
        let kinds = |terms: &Terms| (terms.parent_kind, terms.origin_kind, terms.zone);
        if self.bounds != start.bounds {
            Some("names of tracks, zones or kinds, outer limits, or bounds of sockets")
        } else if effects(&self.terms) != effects(&start.terms) {
            Some("whether a track may run again")
        } else if kinds(&self.terms) != kinds(&start.terms) {
            Some("the own zone, or which kinds are parents and the origin")
        } else {
            None
        }
    }
}

/// Settings to follow, as the file has them and as they are read.
type Other = (Value, (Terms, trailproxy_terms::Reports));

/// What a new file says of the journal service holds at once, and other settings do if what is open can go on
/// under them; what else it changes needs a new start. One that can't be read changes nothing. What comes back
/// is the operator's own file, if it names one, to be read again as well, and the settings to follow.
fn read_again(
    running: &mut Running,
    moved: &mpsc::Sender<list::Moved>,
    log: &Logger,
) -> Option<(Option<operator::Source>, Option<Other>)> {
    let start = match startup::read() {
        Ok(start) => start,
        Err(why) => {
            warn!(log, "new configuration refused"; "why" => why);
            return None;
        }
    };
    let changed = |name: &&str| running.file.get(name) != start.file.get(name);
    let differs = running.differs(&start);
    let follows = changed(&"settings") && differs.is_none();
    let fixed = ["settings", "limits", "listen", "name"].into_iter();
    let waits = |name: &&str| changed(name) && !(follows && *name == "settings");
    let waiting = fixed.filter(waits).collect::<Vec<_>>().join(" ");
    if let Some(why) = differs {
        warn!(log, "settings wait for a new start"; "what" => why);
    }
    info!(log, "configuration read again"; "journal" => start.journal.map(|at| at.to_string()),
        "known" => start.known_until, "needs_a_new_start" => waiting);
    // Until others are followed, those that hold are what the next file is held against.
    let mut file = start.file;
    let settings = std::mem::replace(&mut file["settings"], running.file["settings"].take());
    running.file = file;
    let _ = moved.send(list::Moved {
        address: start.journal,
        known: start.known,
    });
    let other = follows.then_some((settings, (start.terms, start.reports)));
    Some((start.operator, other))
}

fn bind(listen: std::net::SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match listen {
        std::net::SocketAddr::V4(_) => TcpSocket::new_v4()?,
        std::net::SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(listen)?;
    socket.listen(BACKLOG)
}
