//! What the parts say to each other, below all of them: clients, hosts and the journal service to the one task that
//! has the decisions, and back. No wire words here.

use crate::buffered::Parcel;
use crate::operator::Told;
use local_channel::mpsc;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpStream;
use tokio::time::Instant;
use trailproxy::interface::*;
use trailproxy::policy::permits::{self, Denial, SendFacts};
use trailproxy::units::*;
use trailproxy_peers::decide::messages::{Address, Message};
use trailproxy_shared_store::decide::{OpId, Reply as StoreReply};
use trailproxy_shared_store::scripts::ScriptRequest;
use trailproxy_terms::Reports;

pub type InboundSender = mpsc::Sender<Inbound>;

/// All that can happen to the dispatcher.
pub enum Inbound {
    Client(FromClient),
    Host(FromHost),
    Journal(JournalEntry),
    /// Other settings hold from now on.
    Settings(Box<(DispatcherSettings, Reports)>),
    /// The operator's file was read again.
    OperatorConfig(Told),
    Store(FromStore),
    Peers(FromPeers),
    /// Asked to end: whatever is open is finished first.
    Terminate,
    /// Nobody is accepted any more, and all that had come are known.
    AllAccepted,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClientId(pub u64);

/// One request of a client, by its connection and its number there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClientRequestId {
    pub client: ClientId,
    pub number: u32,
}

/// A request as a client words it.
pub struct ClientRequest {
    pub id: ClientRequestId,
    pub arrived_at: Instant,
    pub reference: Rc<str>,
    pub time_left: TimeSpan,
    pub class: ClassId,
    pub object: ObjectId,
    pub object_name: String,
    pub group: GroupId,
    pub part: u32,
    pub size_kb: Option<f64>,
    pub idempotency_key: Option<String>,
    pub held_etag: Option<String>,
    pub body: Vec<u8>,
    /// It has its final answer or its client has gone: nothing of it is to begin. Whoever sees that first says so here,
    /// and whoever writes looks here, so that no queue between the two makes it late.
    pub closed: Rc<Cell<bool>>,
    /// What is known of its client's connection, looked at in the same way.
    pub client: Rc<ClientState>,
}

/// What all that wait for a client look at before they begin anything for it.
#[derive(Default)]
pub struct ClientState {
    /// When it ended its side of the connection.
    pub closed_at: Cell<Option<Instant>>,
}

pub enum FromClient {
    Opened(ClientId, mpsc::Sender<ToClient>),
    Requested(ClientRequest),
    Cancelled(ClientRequestId),
    /// It sends nothing more, and may have gone: what is under way may end, and nothing begins.
    HalfClosed(ClientId),
    Closed(ClientId),
}

pub enum Reply {
    Served(Parcel),
    /// The copy that the client holds is the one that would be served.
    NotModified,
    Refused {
        retry_after: Option<TimeSpan>,
    },
    Failed,
}

impl Reply {
    /// One word for logs.
    pub fn as_str(&self) -> &'static str {
        match self {
            Reply::Served(_) => "served",
            Reply::NotModified => "same",
            Reply::Refused { .. } => "refused",
            Reply::Failed => "failed",
        }
    }
}

pub enum ToClient {
    Reply(u32, Reply),
    /// Nothing more comes: flush, half-close, read to the end.
    Finish,
    /// Its place is wanted: it ends unless something has come by now.
    YieldSlot,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// One probe of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProbeId(pub u64);

/// One attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    pub request: RequestId,
    pub attempt: AttemptNo,
}

/// What goes to a host.
pub struct AttemptRequest {
    pub id: AttemptId,
    pub host: HostId,
    pub request: Rc<ClientRequest>,
    pub class_name: Rc<str>,
    pub fill: Option<Fill>,
    /// The name of another host that fills a miss.
    pub source: Option<Rc<str>>,
    /// Until then an answer is of use: told with the request in milliseconds.
    pub deadline: Timestamp,
    /// Rule 2: what may have run before may go out again only until then.
    pub repeat_by: Option<Timestamp>,
    /// Connections on which the same id has gone out before.
    pub avoid_connections: Vec<ConnectionId>,
}

impl AttemptRequest {
    /// Whether its first byte may go out now.
    pub fn may_send(&self, clock: &Clock, now: Instant) -> Result<(), Denial> {
        permits::may_send(clock.timestamp(now), &self.send_facts(clock))
    }

    /// What decides whether it may begin.
    pub fn send_facts(&self, clock: &Clock) -> SendFacts {
        let closed_at = self.request.client.closed_at.get();
        SendFacts {
            answered: self.request.closed.get(),
            client_closed: closed_at.map(|at| clock.timestamp(at)),
            deadline: self.deadline,
            repeat_by: self.repeat_by,
        }
    }

    /// When it may not begin any more, as far as time alone decides.
    pub fn latest_send(&self, clock: &Clock) -> Instant {
        let until = self
            .repeat_by
            .map_or(self.deadline, |by| by.min(self.deadline));
        clock.instant(until)
    }
}

pub struct Answer {
    pub ending: Ending,
    pub note: Note,
    pub first_byte_latency: Option<TimeSpan>,
    pub load_report: Vec<f64>,
    /// The bytes where it is done; `None`: the client's copy is the one.
    pub body: Option<Parcel>,
    /// When the origin gave this copy out, as it is stamped.
    pub issued_at: Option<Timestamp>,
}

impl Answer {
    pub fn without_body(ending: Ending) -> Answer {
        Answer {
            ending,
            note: Note::NotReported,
            first_byte_latency: None,
            load_report: vec![],
            body: None,
            issued_at: None,
        }
    }
}

/// What came of a dial.
pub enum DialResult {
    Connected(TcpStream),
    /// The host refuses, or can't be reached.
    Refused,
    /// Nothing came up in time.
    TimedOut,
    /// This side lacked what a connection takes, all the time: it says nothing of the host.
    LocalShortage,
}

pub enum FromHost {
    Dialled {
        host: HostId,
        connection: ConnectionId,
        /// Where it was dialled.
        address: SocketAddr,
        result: DialResult,
    },
    AttemptEnded {
        id: AttemptId,
        host: HostId,
        connection: Option<ConnectionId>,
        answer: Answer,
    },
    Probed {
        id: ProbeId,
        host: HostId,
        ending: Ending,
        report: Vec<f64>,
    },
    /// Nothing new is to go there: it is about to close, or nothing came from it for longer than a
    /// dial may take, though it owed an answer.
    Unusable {
        host: HostId,
        connection: ConnectionId,
    },
    Closed {
        host: HostId,
        connection: ConnectionId,
    },
}

pub enum ToHost {
    Send(AttemptRequest),
    Probe(ProbeId),
    /// Given up: a KILL goes out if the request has.
    Cancel(AttemptId),
    /// Dropped if not a byte of it is written, else left alone.
    CancelUnsent(AttemptId),
    /// Nothing new comes.
    Retire,
    /// The process behind it is gone.
    HostGone,
}

pub enum ToStore {
    Connect,
    Disconnect,
    Execute(OpId, Box<ScriptRequest>),
}

pub enum FromStore {
    /// A connection stands, to the server process that names itself so.
    Connected {
        run_id: String,
    },
    /// It ended, or could not be made.
    Disconnected,
    Answered(OpId, StoreReply),
}

pub enum ToPeers {
    Send(Address, Message),
    /// Nothing is sent or heard any more.
    Stop,
}

/// A message of the fleet, with where it came from.
pub struct FromPeers {
    pub from: Address,
    pub message: Message,
}

/// A host as the list names it, with where it is reached.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedHost {
    pub entry: HostEntry,
    pub name: Rc<str>,
    pub address: SocketAddr,
}

#[derive(Clone, Debug, PartialEq)]
pub enum JournalChange {
    Hosts {
        kind: HostListKind,
        hosts: Vec<ListedHost>,
        /// Members that can't be read, which are passed over.
        unreadable: usize,
    },
    Purged {
        object: Option<ObjectId>,
        group: GroupId,
        /// When, by the clock of whoever purged.
        stamp: Timestamp,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub struct JournalEntry {
    pub position: u64,
    pub change: JournalChange,
}

impl JournalChange {
    /// One word for logs.
    pub fn as_str(&self) -> &'static str {
        match self {
            JournalChange::Hosts { .. } => "hosts",
            JournalChange::Purged { .. } => "purge",
        }
    }
}

impl JournalEntry {
    /// The stamps that it bears.
    pub fn stamps(&self) -> Vec<Timestamp> {
        match &self.change {
            JournalChange::Hosts { hosts: members, .. } => {
                let stamps = members.iter().filter_map(|member| member.entry.stamp);
                stamps.collect()
            }
            JournalChange::Purged { stamp, .. } => vec![*stamp],
        }
    }
}

/// Unix time, anchored once to the monotonic clock.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix_us: u64,
    /// Millionths by which it runs fast.
    drift_ppm: u64,
}

impl Clock {
    /// A clock that is off by `RELAY_CLOCK`, "ahead in milliseconds,millionths fast": trials set it.
    pub fn new() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        let off = std::env::var("RELAY_CLOCK").unwrap_or_default();
        let (ahead, fast) = off.split_once(',').unwrap_or((&off, ""));
        let ahead = ahead.parse::<i64>().unwrap_or(0).saturating_mul(1_000);
        Clock {
            start: Instant::now(),
            unix_us: unix
                .map_or(0, |since| since.as_micros() as u64)
                .saturating_add_signed(ahead),
            drift_ppm: fast.parse().unwrap_or(0),
        }
    }

    pub fn timestamp(&self, at: Instant) -> Timestamp {
        let since = at.saturating_duration_since(self.start).as_micros() as u64;
        Timestamp(self.unix_us + since + since / 1_000_000 * self.drift_ppm)
    }

    pub fn instant(&self, at: Timestamp) -> Instant {
        let since = at.since(Timestamp(self.unix_us)).0;
        self.start
            + Duration::from_micros(since - since / (1_000_000 + self.drift_ppm) * self.drift_ppm)
    }
}

/// What is in a queue already.
pub fn next_queued<T>(queue: &mut mpsc::Receiver<T>) -> Option<T> {
    let mut next = std::pin::pin!(queue.recv());
    let mut context = std::task::Context::from_waker(std::task::Waker::noop());
    match next.as_mut().poll(&mut context) {
        std::task::Poll::Ready(order) => order,
        std::task::Poll::Pending => None,
    }
}
