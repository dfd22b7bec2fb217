//! Everything that runs while it serves, put together.

use crate::accounts::Accounts;
use crate::buffered::Held;
use crate::checks::Counts;
use crate::dispatch::Dispatch;
use crate::messages::{Clock, Inbound};
use crate::pulse::Pulse;
use crate::reload::{Followers, Running, follow_hangups, read_operator};
use crate::servers::Pools;
use crate::starting::{StepError, persist_awake};
use crate::startup::Start;
use crate::trace::Trace;
use crate::{Signals, client_slots, clients, link_context, list, operator, subsystems};
use local_channel::mpsc;
use slog::{Logger, info, warn};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::Instant;
use trailproxy::logic::Dispatcher;

const BACKLOG: u32 = 1024;
/// Descriptors kept for the listener, the journal, the log and the runtime, which take 15 at most.
const RESERVE: usize = 20;

/// Serves until a signal ends it.
pub async fn serve(start: Start, signals: Signals, log: Logger) -> Result<(), String> {
    let Signals {
        hangup,
        mut terminate,
        mut interrupt,
    } = signals;
    let names = trailproxy_zones::decide::config::Names {
        zones: start.bounds.zone_names.clone(),
        classes: start.bounds.track_names.clone(),
    };
    let against = operator::Against {
        names: names.clone(),
        longest_window: operator::longest_window(&start.terms, start.bounds.longest_limit),
        purges_last: start.terms.purge_propagation,
        peers: start.peers.clone(),
    };
    let told = tokio::select! {
        told = read_operator(start.operator.as_ref(), &against, &log) => told?,
        // Nothing has been taken yet: asked to end, it just ends.
        _ = terminate.recv() => return Ok(()),
        _ = interrupt.recv() => return Ok(()),
    };
    let listen = start.listen;
    let listener = tokio::select! {
        listener = listen_patiently(listen, &log) => listener?,
        _ = terminate.recv() => return Ok(()),
        _ = interrupt.recv() => return Ok(()),
    };
    let (queue, inbound) = mpsc::channel();
    let (counts, held) = (Rc::new(Counts::default()), Held::default());
    let pulse = Rc::new(Pulse::default());
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
        pulse: pulse.clone(),
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
    let running = Running {
        file: start.file,
        terms: start.terms.clone(),
        bounds: start.bounds.clone(),
    };
    let followers = Followers {
        queue: queue.clone(),
        moved,
        against,
        log: log.clone(),
    };
    tokio::task::spawn_local(follow_hangups(hangup, running, followers));
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
        .classes
        .iter()
        .map(|track| track.effect)
        .collect();
    let name = start.name.clone();
    let accounts = Accounts::new(
        names,
        start.name,
        Clock::new().timestamp(Instant::now()),
        log.clone(),
    );
    let terms = start.terms.clone();
    let decisions = Dispatcher::new(subsystems::Subsystems::default(), start.terms, start.seed);
    let most_lines = start.descriptors.saturating_sub(most_clients + RESERVE);
    let pools = Pools::new(Rc::new(link_context::Shared {
        queue,
        bounds: start.bounds,
        clock: Clock::new(),
        most_lines: most_lines.max(1),
        held,
        pulse,
        held_limit: start.memory_bytes / 2,
        counts,
        trace: Trace::new(&log),
        log,
    }));
    let mut dispatch = Dispatch::new(decisions, pools, start.reports, effects);
    // Its points in the budgets are drawn apart from the decisions' own chance.
    dispatch.accounts = Some((accounts, terms, !start.seed));
    dispatch.name = name;
    dispatch.apply_operator_config(told)?;
    dispatch
        .run(start.known, inbound, move || drop(stop.send(())))
        .await;
    Ok(())
}

/// Listens, for as long as it takes a failure that may pass.
async fn listen_patiently(listen: SocketAddr, log: &Logger) -> Result<TcpListener, String> {
    let listens = async || {
        let failed = |error| StepError::System(format!("can't listen on {listen}"), error);
        bind(listen).map_err(failed)
    };
    let tell = |why: &str| warn!(log, "can't listen yet"; "why" => why);
    persist_awake(tell, listens).await
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
