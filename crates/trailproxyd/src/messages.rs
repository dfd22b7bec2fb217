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

pub type Queue = mpsc::Sender<Inbound>;

/// All that can happen to the dispatcher.
pub enum Inbound {
    Client(FromClient),
    Server(FromServer),
    Journal(Entry),
    /// Other settings hold from now on.
    Terms(Box<(DispatcherSettings, Reports)>),
    /// The operator's file was read again.
    Operator(Told),
    Store(FromStore),
    Peers(FromPeers),
    /// Asked to end: whatever is open is finished first.
    Terminate,
    /// Nobody is accepted any more, and all that had come are known.
    AllIn,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClientId(pub u64);

/// One request of a client, by its connection and its number there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId {
    pub client: ClientId,
    pub number: u32,
}

/// A request as a client words it.
pub struct Call {
    pub id: CallId,
    pub come: Instant,
    pub reference: Rc<str>,
    pub left: TimeSpan,
    pub track: ClassId,
    pub object: ObjectId,
    pub object_text: String,
    pub group: GroupId,
    pub part: u32,
    pub size_kb: Option<f64>,
    pub mark: Option<String>,
    pub held_tag: Option<String>,
    pub body: Vec<u8>,
    /// It has its final answer or its client has gone: nothing of it is to begin. Whoever sees that first says so here,
    /// and whoever writes looks here, so that no queue between the two makes it late.
    pub over: Rc<Cell<bool>>,
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
    Called(Call),
    Revoked(CallId),
    /// It sends nothing more, and may have gone: what is under way may end, and nothing begins.
    Shut(ClientId),
    Closed(ClientId),
}

pub enum Reply {
    Served(Parcel),
    /// The copy that the client holds is the one that would be served.
    Same,
    Refused {
        retry_after: Option<TimeSpan>,
    },
    Failed,
}

impl Reply {
    /// One word for logs.
    pub fn word(&self) -> &'static str {
        match self {
            Reply::Served(_) => "served",
            Reply::Same => "same",
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
    GiveWay,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LineId(pub u64);

/// One probe of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProbeId(pub u64);

/// One attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    pub request: RequestId,
    pub no: AttemptNo,
}

/// What goes to a host.
pub struct Sending {
    pub id: AttemptId,
    pub host: HostId,
    pub call: Rc<Call>,
    pub track: Rc<str>,
    pub fill: Option<Fill>,
    /// The name of another host that fills a miss.
    pub source: Option<Rc<str>>,
    /// Until then an answer is of use: told with the request in milliseconds.
    pub deadline: Timestamp,
    /// Rule 2: what may have run before may go out again only until then.
    pub repeat_by: Option<Timestamp>,
    /// Connections on which the same id has gone out before.
    pub avoid: Vec<LineId>,
}

impl Sending {
    /// Whether its first byte may go out now.
    pub fn may_begin(&self, clock: &Clock, now: Instant) -> Result<(), Denial> {
        permits::may_send(clock.moment(now), &self.facts(clock))
    }

    /// What decides whether it may begin.
    pub fn facts(&self, clock: &Clock) -> SendFacts {
        let closed_at = self.call.client.closed_at.get();
        SendFacts {
            answered: self.call.over.get(),
            client_closed: closed_at.map(|at| clock.moment(at)),
            deadline: self.deadline,
            repeat_by: self.repeat_by,
        }
    }

    /// When it may not begin any more, as far as time alone decides.
    pub fn begins_until(&self, clock: &Clock) -> Instant {
        let until = self
            .repeat_by
            .map_or(self.deadline, |by| by.min(self.deadline));
        clock.instant(until)
    }
}

pub struct Answer {
    pub ending: Ending,
    pub note: Note,
    pub waited: Option<TimeSpan>,
    pub report: Vec<f64>,
    /// The bytes where it is done; `None`: the client's copy is the one.
    pub body: Option<Parcel>,
    /// When the origin gave this copy out, as it is stamped.
    pub minted: Option<Timestamp>,
}

impl Answer {
    pub fn bare(ending: Ending) -> Answer {
        Answer {
            ending,
            note: Note::NotReported,
            waited: None,
            report: vec![],
            body: None,
            minted: None,
        }
    }
}

/// What came of a dial.
pub enum Dialled {
    Up(TcpStream),
    /// The host refuses, or can't be reached.
    Refused,
    /// Nothing came up in time.
    TimedOut,
    /// This side lacked what a connection takes, all the time: it says nothing of the host.
    Lacking,
}

pub enum FromServer {
    Dialled {
        host: HostId,
        line: LineId,
        /// Where it was dialled.
        address: SocketAddr,
        dialled: Dialled,
    },
    Ended {
        id: AttemptId,
        host: HostId,
        line: Option<LineId>,
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
    Unfit {
        host: HostId,
        line: LineId,
    },
    Closed {
        host: HostId,
        line: LineId,
    },
}

pub enum ToServer {
    Send(Sending),
    Probe(ProbeId),
    /// Given up: a KILL goes out if the request has.
    Kill(AttemptId),
    /// Dropped if not a byte of it is written, else left alone.
    Recall(AttemptId),
    /// Nothing new comes.
    Retire,
    /// The process behind it is gone.
    Break,
}

pub enum ToStore {
    Connect,
    Disconnect,
    Ask(OpId, Box<ScriptRequest>),
}

pub enum FromStore {
    /// A connection stands, to the server process that names itself so.
    Connected {
        run: String,
    },
    /// It ended, or could not be made.
    Broken,
    Answered(OpId, StoreReply),
}

pub enum ToPeers {
    Send(Address, Message),
    /// Nothing is sent or heard any more.
    End,
}

/// A message of the fleet, with where it came from.
pub struct FromPeers {
    pub from: Address,
    pub message: Message,
}

/// A host as the list names it, with where it is reached.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    pub entry: HostEntry,
    pub name: Rc<str>,
    pub address: SocketAddr,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    Hosts {
        form: HostListKind,
        members: Vec<Member>,
        /// Members that can't be read, which are passed over.
        unread: usize,
    },
    Purged {
        object: Option<ObjectId>,
        group: GroupId,
        /// When, by the clock of whoever purged.
        stamp: Timestamp,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub pos: u64,
    pub change: Change,
}

impl Change {
    /// One word for logs.
    pub fn word(&self) -> &'static str {
        match self {
            Change::Hosts { .. } => "hosts",
            Change::Purged { .. } => "purge",
        }
    }
}

impl Entry {
    /// The stamps that it bears.
    pub fn stamps(&self) -> Vec<Timestamp> {
        match &self.change {
            Change::Hosts { members, .. } => {
                let stamps = members.iter().filter_map(|member| member.entry.stamp);
                stamps.collect()
            }
            Change::Purged { stamp, .. } => vec![*stamp],
        }
    }
}

/// Unix time, anchored once to the monotonic clock.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix_us: u64,
    /// Millionths by which it runs fast.
    fast: u64,
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
            fast: fast.parse().unwrap_or(0),
        }
    }

    pub fn moment(&self, at: Instant) -> Timestamp {
        let since = at.saturating_duration_since(self.start).as_micros() as u64;
        Timestamp(self.unix_us + since + since / 1_000_000 * self.fast)
    }

    pub fn instant(&self, at: Timestamp) -> Instant {
        let since = at.since(Timestamp(self.unix_us)).0;
        self.start + Duration::from_micros(since - since / (1_000_000 + self.fast) * self.fast)
    }
}

/// What is in a queue already.
pub fn next_now<T>(queue: &mut mpsc::Receiver<T>) -> Option<T> {
    let mut next = std::pin::pin!(queue.recv());
    let mut context = std::task::Context::from_waker(std::task::Waker::noop());
    match next.as_mut().poll(&mut context) {
        std::task::Poll::Ready(order) => order,
        std::task::Poll::Pending => None,
    }
}
