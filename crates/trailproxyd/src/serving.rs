//! Builds and runs all tasks of a serving dispatcher.

use crate::accounts::Accounts;
use crate::checks::Counts;
use crate::dispatch::Dispatch;
use crate::host_pools::HostPools;
use crate::journal_client::{JournalClient, JournalContext};
use crate::memory::MemoryAccount;
use crate::messages::{Clock, Inbound, InboundSender};
use crate::reload::{ActiveConfig, ConfigReceivers, handle_hangups, read_operator};
use crate::stall_detector::StallDetector;
use crate::starting::{StepError, retry_async};
use crate::startup::StartConfig;
use crate::trace::Trace;
use crate::{Signals, client_slots, clients, host_context, journal_client, operator, subsystems};
use local_channel::mpsc;
use slog::{Logger, info, warn};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::Signal;
use tokio::time::Instant;
use trailproxy::logic::Dispatcher;
use trailproxy::policy::journal_calls::JournalCalls;

/// How many clients may wait in the backlog of the listener.
const BACKLOG: u32 = 1024;
/// Descriptors kept for the listener, the calls to the journal service, the log and the runtime, which take 18 at most.
const RESERVED_DESCRIPTORS: usize = 20;

/// Serves until a signal ends it.
pub async fn serve(start: StartConfig, signals: Signals, log: Logger) -> Result<(), String> {
    let Signals {
        hangup,
        mut terminate,
        mut interrupt,
    } = signals;
    let names = trailproxy_zones::decide::config::Names {
        zones: start.bounds.zone_names.clone(),
        classes: start.bounds.class_names.clone(),
    };
    let context = operator::ValidationContext {
        names: names.clone(),
        longest_window: operator::longest_window(&start.settings, start.bounds.max_deadline),
        purge_propagation: start.settings.purge_propagation,
        peers: start.peers.clone(),
    };
    let config = tokio::select! {
        config = read_operator(start.operator.as_ref(), &context, &log) => config?,
        // No client is accepted yet, so the process ends at once when it is asked to.
        _ = terminate.recv() => return Ok(()),
        _ = interrupt.recv() => return Ok(()),
    };
    let listen = start.listen;
    let listener = tokio::select! {
        listener = listen_with_retries(listen, &log) => listener?,
        _ = terminate.recv() => return Ok(()),
        _ = interrupt.recv() => return Ok(()),
    };
    let (queue, inbound) = mpsc::channel();
    let counts = Rc::new(Counts::default());
    let memory = MemoryAccount::new(start.memory_bytes);
    let stall_detector = Rc::new(StallDetector::default());
    // Clients of ordinary behaviour hold a third of the descriptors. Connections beyond that are closed when a slot is
    // needed.
    let max_clients = start.descriptors / 2;
    let class_names = start.bounds.class_names.iter().cloned();
    let shared = Rc::new(clients::ClientsContext {
        queue: queue.clone(),
        classes: class_names
            .zip((0..).map(trailproxy::units::ClassId))
            .collect(),
        slots: RefCell::new(client_slots::ClientSlots::new(max_clients)),
        incomplete: RefCell::default(),
        max_deadline: Duration::from_micros(start.bounds.max_deadline.0),
        ending: Cell::new(false),
        memory: memory.clone(),
        stall_detector: stall_detector.clone(),
        counts: counts.clone(),
        log: log.clone(),
        trace: Trace::new(&log),
    });
    info!(log, "started"; "listen" => %listen, "known" => start.known_position, "unread" => start.known_unreadable,
        "descriptors" => start.descriptors, "memory" => start.memory_bytes);
    let (stop, stopped) = mpsc::channel();
    tokio::task::spawn_local(clients::accept(listener, stopped, shared.clone()));
    let (journal_address, address_changes) = mpsc::channel();
    let journal_context = JournalContext {
        names: start.names,
        queue: queue.clone(),
        counts: counts.clone(),
        log: log.clone(),
    };
    // The random waits of the journal's calls are drawn with another seed than the random choices of the decisions.
    let journal_calls = JournalCalls::new(start.journal, start.seed.rotate_left(17));
    let journal = JournalClient::new(journal_calls, start.known_position, journal_context);
    tokio::task::spawn_local(journal_client::follow(journal, address_changes));
    let active_config = ActiveConfig {
        file: start.file,
        settings: start.settings.clone(),
        bounds: start.bounds.clone(),
    };
    let receivers = ConfigReceivers {
        queue: queue.clone(),
        journal_address,
        context,
        log: log.clone(),
    };
    tokio::task::spawn_local(handle_hangups(hangup, active_config, receivers));
    for signal in [terminate, interrupt] {
        tokio::task::spawn_local(handle_termination(signal, queue.clone(), shared.clone()));
    }
    let effects = start
        .settings
        .classes
        .iter()
        .map(|class| class.effect)
        .collect();
    let name = start.name.clone();
    let accounts = Accounts::new(
        names,
        start.name,
        Clock::new().timestamp(Instant::now()),
        log.clone(),
    );
    let settings = start.settings.clone();
    let decisions = Dispatcher::new(
        subsystems::Subsystems::default(),
        start.settings,
        start.seed,
    );
    let max_connections = start
        .descriptors
        .saturating_sub(max_clients + RESERVED_DESCRIPTORS);
    let pools = HostPools::new(Rc::new(host_context::HostContext {
        queue,
        bounds: start.bounds,
        clock: Clock::new(),
        max_connections: max_connections.max(1),
        memory,
        stall_detector,
        counts,
        trace: Trace::new(&log),
        log,
    }));
    let mut dispatch = Dispatch::new(decisions, pools, start.reports, effects);
    // The random points of the budgets are drawn with another seed than the random choices of the decisions.
    dispatch.accounts = Some((accounts, settings, !start.seed));
    dispatch.name = name;
    dispatch.apply_operator_config(config)?;
    dispatch
        .run(start.known, inbound, move || drop(stop.send(())))
        .await;
    Ok(())
}

/// Passes on each signal that asks the process to end.
async fn handle_termination(
    mut signal: Signal,
    queue: InboundSender,
    clients: Rc<clients::ClientsContext>,
) {
    while signal.recv().await.is_some() {
        clients.ending.set(true);
        let _ = queue.send(Inbound::Terminate);
    }
}

/// Opens the listener, and retries while a failure may be temporary.
async fn listen_with_retries(listen: SocketAddr, log: &Logger) -> Result<TcpListener, String> {
    let listen_once = async || {
        let failed = |error| StepError::System(format!("can't listen on {listen}"), error);
        bind(listen).map_err(failed)
    };
    let log_failure = |reason: &str| warn!(log, "can't listen yet"; "why" => reason);
    retry_async(log_failure, listen_once).await
}

fn bind(listen: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match listen {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(listen)?;
    socket.listen(BACKLOG)
}
