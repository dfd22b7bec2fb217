//! Accepts client connections, as many as there are slots.
//!
//! One task accepts connections, and one task serves each of them ([`crate::client_connection`]).

use crate::checks::{Counts, count};
use crate::client_connection::Connection;
use crate::client_slots::{Availability, ClientSlots};
use crate::incomplete_messages::IncompleteMessages;
use crate::memory::MemoryAccount;
use crate::messages::*;
use crate::stall_detector::StallDetector;
use crate::system_calls::errno;
use crate::trace::Trace;
use local_channel::mpsc;
use slog::{Logger, debug};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::poll_fn;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep};
use trailproxy::policy::system_errors::{AcceptError, classify_accept_error};
use trailproxy::units::*;

/// How long accepting pauses after an error, or while no slot is free.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// How long failed accepts are repeated when the process ends: less than the time in which clients are to be answered.
const FINAL_ACCEPT_TIMEOUT: Duration = Duration::from_secs(2);

/// State and settings that all client connections share.
pub struct ClientsContext {
    /// The dispatcher's queue, which receives the requests.
    pub queue: InboundSender,
    /// The classes by the method names that clients use.
    pub classes: HashMap<String, ClassId>,
    /// The limited number of connections, and how each connection uses its slot.
    pub slots: RefCell<ClientSlots>,
    /// The messages that have arrived in part.
    pub incomplete: RefCell<IncompleteMessages>,
    /// The longest deadline of any class: no client waits longer than this for an answer.
    pub max_deadline: Duration,
    /// Whether the process was asked to end.
    pub ending: Cell<bool>,
    /// The memory that requests and answers use.
    pub memory: MemoryAccount,
    /// Detects that the whole process did not run for a while.
    pub stall_detector: Rc<StallDetector>,
    /// The counters of the process.
    pub counts: Rc<Counts>,
    pub log: Logger,
    /// Logs each step of each request, if that is switched on.
    pub trace: Trace,
}

/// Accepts as many clients as there are slots. When all slots are taken, a new client waits in the backlog until a
/// connection that is idle or has sent no complete message closes. Returns after `stop` has received a message and all
/// clients in the backlog are accepted: closing the listener earlier would reset their connections and lose their
/// requests.
pub async fn accept(
    listener: TcpListener,
    mut stop: mpsc::Receiver<()>,
    shared: Rc<ClientsContext>,
) {
    let mut last_client_id = 0;
    // A connection that is accepted without waiting may have been made at any time since the previous accept.
    let mut last_accept_at = Instant::now();
    loop {
        let mut had_to_wait = false;
        let accepted = poll_fn(|cx| {
            let accepted = listener.poll_accept(cx);
            had_to_wait |= accepted.is_pending();
            accepted
        });
        let accepted = tokio::select! {
            biased;
            accepted = accepted => accepted.map(|(stream, _)| stream),
            _ = stop.recv() => break,
        };
        let now = Instant::now();
        let arrived_after = if had_to_wait { now } else { last_accept_at };
        last_accept_at = now;
        match accepted {
            Ok(stream) => admit(&mut last_client_id, stream, arrived_after, &shared).await,
            Err(e) => {
                count(&shared.counts.accepts_failed);
                debug!(shared.log, "accept failed"; "why" => %e);
                if classify_accept_error(errno(&e)) != AcceptError::Next {
                    sleep(ACCEPT_RETRY_INTERVAL).await;
                }
            }
        }
    }
    accept_backlog(&listener, &mut last_client_id, last_accept_at, &shared).await;
    drop(listener);
    let _ = shared.queue.send(Inbound::AllAccepted);
}

/// Accepts all clients in the backlog when the process ends. It calls the system directly, because the runtime may not
/// know yet of connections made just now. A failed accept does not lose the clients behind it.
async fn accept_backlog(
    listener: &TcpListener,
    last_client_id: &mut u64,
    last_accept_at: Instant,
    shared: &Rc<ClientsContext>,
) {
    let until = Instant::now() + FINAL_ACCEPT_TIMEOUT;
    while Instant::now() < until {
        let error = match accept_now(listener) {
            Ok(stream) => {
                admit(last_client_id, stream, last_accept_at, shared).await;
                continue;
            }
            Err(error) => error,
        };
        match classify_accept_error(errno(&error)) {
            AcceptError::NonePending | AcceptError::Permanent => return,
            AcceptError::Next => count(&shared.counts.accepts_failed),
            AcceptError::RetryLater => {
                count(&shared.counts.accepts_failed);
                sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}

/// Accepts the next connection of the backlog. A socket that cannot be made non-blocking is an error: it would block
/// the whole process.
fn accept_now(listener: &TcpListener) -> std::io::Result<TcpStream> {
    let (socket, _) = socket2::SockRef::from(listener).accept()?;
    socket.set_nonblocking(true)?;
    TcpStream::from_std(socket.into())
}

/// Waits for a slot and then starts the task that serves a new connection.
async fn admit(
    last_client_id: &mut u64,
    stream: TcpStream,
    arrived_after: Instant,
    shared: &Rc<ClientsContext>,
) {
    loop {
        let availability = shared.slots.borrow_mut().request_slot(Instant::now());
        match availability {
            Availability::Free => break,
            // The connection closes when its task runs. A sleep for each one would delay new clients for seconds.
            Availability::Requested => tokio::task::yield_now().await,
            Availability::None => sleep(ACCEPT_RETRY_INTERVAL).await,
        }
        count(&shared.counts.places_wanted);
    }
    *last_client_id += 1;
    let _ = stream.set_nodelay(true);
    let connection = Connection::new(
        ClientId(*last_client_id),
        stream,
        arrived_after,
        shared.clone(),
    );
    tokio::task::spawn_local(connection.serve());
}
