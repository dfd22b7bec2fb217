//! A trailproxy dispatcher on sockets: clients in, cache hosts out, the journal service beside.

mod accounts;
mod checks;
mod client_slots;
mod clients;
mod dispatch;
mod divided;
mod host_connection;
mod host_context;
mod host_pools;
mod journal_client;
mod logging;
mod messages;
mod operator;
mod peered;
mod peers;
mod reload;
mod serving;
mod starting;
mod startup;
mod store;
mod subsystems;
mod system_calls;
mod trace;
mod waiting;

use serving::serve;
use slog::{Drain, Logger, o};
use starting::{persist, without_panic};
use std::process::ExitCode;
use tokio::runtime::Runtime;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::LocalSet;
use trailproxyd::{buffered, http, msgpack, resp, ring, sse, stall_detector};

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
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("trailproxyd: {why}");
            ExitCode::FAILURE
        }
    }
}

/// Starts, serves, and ends by a signal.
fn run() -> Result<(), String> {
    let runtime = persist(|| without_panic("the runtime can't be started", new_runtime))?;
    // Before anything else: until they are heard, a signal ends the process by itself.
    let hear = || runtime.block_on(async { Signals::hear() });
    let signals = persist(|| without_panic("signals can't be heard", hear))?;
    let start = persist(startup::read)?;
    let begin_log = || Ok(logging::new_log());
    let (drain, guard) = persist(|| without_panic("the log can't be started", begin_log))?;
    let log = Logger::root(drain.fuse(), o!("name" => start.name.clone()));
    let ended = LocalSet::new().block_on(&runtime, serve(start, signals, log));
    logging::finish(guard);
    ended
}

fn new_runtime() -> std::io::Result<Runtime> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
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
