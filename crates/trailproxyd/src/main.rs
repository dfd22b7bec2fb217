//! A trailproxy dispatcher as a process: it serves clients, fetches from cache hosts, parents and the origin, and
//! follows the journal service.

mod accounts;
mod budgets_runtime;
mod checks;
mod client_connection;
mod client_messages;
mod client_slots;
mod clients;
mod dispatch;
mod held_requests;
mod host_connection;
mod host_context;
mod host_pools;
mod incomplete_messages;
mod journal_call;
mod journal_client;
mod journal_entries;
mod logging;
mod messages;
mod operator;
mod peers_runtime;
mod peers_socket;
mod reload;
mod request_ids;
mod serving;
mod starting;
mod startup;
mod store_connection;
mod subsystems;
mod system_calls;
mod trace;

use serving::serve;
use slog::{Drain, Logger, o};
use starting::{retry, without_panic};
use std::process::ExitCode;
use tokio::runtime::Runtime;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::LocalSet;
use trailproxyd::{http, memory, msgpack, outgoing, resp, ring, sse, stall_detector};

/// The text of `--help`.
const HELP: &str = "\
trailproxyd: a trailproxy dispatcher on sockets

Usage: trailproxyd [--help | --version]

There are no other arguments. Environment variables configure the process:
  RELAY_CONFIG  path of the configuration, a JSON file; required
  RELAY_LISTEN  address and port for clients; else `listen` in the configuration
  RELAY_NAME    name of this dispatcher; else `name` in the configuration
  RELAY_OPERATOR  path of the operator's file, optional; else `operator` in the configuration
  RELAY_PEERS   address at which other dispatchers reach it; else `peers` in the configuration, else the operator's file
  RELAY_READER  program that reads the operator's file; else `trailproxy` in the folder of this program

SIGHUP reads the configuration again; SIGTERM and SIGINT end the process once every request is answered.
Exit codes: 0 after a signal; 1 if it can't start; 2 for unknown arguments.";

/// Handles the arguments, and returns the exit code if the process ends with them.
fn handle_arguments(arguments: &[String]) -> Option<ExitCode> {
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

/// Handles the arguments and runs the dispatcher.
fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if let Some(exit_code) = handle_arguments(&arguments) {
        return exit_code;
    }
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => {
            eprintln!("trailproxyd: {reason}");
            ExitCode::FAILURE
        }
    }
}

/// Starts the dispatcher and serves until a signal ends it.
fn run() -> Result<(), String> {
    let runtime = retry(|| without_panic("the runtime can't be started", new_runtime))?;
    // The first step: until the handlers are installed, a signal ends the process at once.
    let install = || runtime.block_on(async { Signals::install() });
    let signals = retry(|| without_panic("signal handlers can't be installed", install))?;
    let start = retry(startup::read)?;
    let new_log = || Ok(logging::new_log());
    let (drain, guard) = retry(|| without_panic("the log can't be started", new_log))?;
    let log = Logger::root(drain.fuse(), o!("name" => start.name.clone()));
    let result = LocalSet::new().block_on(&runtime, serve(start, signals, log));
    logging::finish(guard);
    result
}

/// A runtime that runs all tasks on this thread.
fn new_runtime() -> std::io::Result<Runtime> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
}

/// The signals that the process handles.
struct Signals {
    hangup: Signal,
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn install() -> std::io::Result<Signals> {
        Ok(Signals {
            hangup: signal(SignalKind::hangup())?,
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }
}
