//! Input and output of a dispatcher, independent of any protocol: settings, events, actions, and the traits through
//! which it consults limits on traffic between zones and the knowledge of other dispatchers.

use crate::policy::refusals::GiveUpReason;
use crate::units::*;

/// Settings of a dispatcher.
#[derive(Clone, Debug)]
pub struct DispatcherSettings {
    /// The dispatcher's own zone.
    pub zone: ZoneId,
    /// Number of dispatchers in all zones together.
    pub dispatchers: u32,
    /// Number of dispatchers by zone; empty where it is unknown.
    pub dispatchers_by_zone: Vec<u32>,
    /// The kind of host that is a parent.
    pub parent_kind: Option<KindId>,
    /// The kind of host that is an origin; every other kind is a cache.
    pub origin_kind: Option<KindId>,
    /// The request classes, indexed by [`ClassId`].
    pub classes: Vec<ClassSettings>,
    /// Highest rate of one answer; a host's capacity counts answers at this rate.
    pub stream_kb_per_s: f64,
    /// Capacity of the own zone's link for fills; `None` where it is unknown.
    pub link_kb_per_s: Option<f64>,
    /// Whether caches report how full that link is.
    pub link_load_reported: bool,
    /// Whether hosts report their load when probed, and only then.
    pub probes_enabled: bool,
    /// Whether the capacities in the host list are meaningful; otherwise they are estimated.
    pub capacities_reported: bool,
    /// Whether hosts join concurrent fills of the same object part.
    pub joins_fills: bool,
    /// Whether parents and the origin accept requests directly.
    pub allows_direct: bool,
    /// Which notes hosts report with outcomes.
    pub note_level: NoteLevel,
    /// Most attempts per request.
    pub max_attempts: usize,
    /// Whether an attempt can be cancelled.
    pub may_cancel: bool,
    /// The longest retry-after that clients obey; `None` where it can't be sent to them.
    pub max_retry_after: Option<TimeSpan>,
    /// Whether the host list has to be requested.
    pub host_list_on_request: bool,
    /// Slow start of caches.
    pub cache_slow_start: SlowStart,
    /// Slow start of parents and the origin.
    pub parent_slow_start: SlowStart,
    /// Time after a purge by which every host has dropped its copies from before it.
    pub purge_propagation: TimeSpan,
}

/// Slow start: how much load a host that has just started can bear.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// The smallest share of its full capacity that it can have at its start.
    pub initial_capacity: f64,
    /// Time until it has its full capacity; it rises at least linearly.
    pub duration: TimeSpan,
    /// It fails at a load of this multiple of its present capacity that lasts for `overload_window`.
    pub overload_factor: f64,
    /// How long such a load must last.
    pub overload_window: TimeSpan,
    /// Among how many dispatchers the load it can bear is divided, where the division follows need: the reciprocal of
    /// this dispatcher's share. `None`: evenly among all dispatchers that use such a host.
    pub shared_by: Option<f64>,
}

/// Settings of a request class.
#[derive(Clone, Debug)]
pub struct ClassSettings {
    /// Time by which an answer is worth its full value.
    pub target: TimeSpan,
    /// The target grows by this many times the request's own transfer time.
    pub target_stretch: f64,
    /// Whether its requests may be repeated.
    pub effect: Effect,
    /// How long a copy is fresh; `None`: until it is purged.
    pub fresh_for: Option<TimeSpan>,
    /// How much older than fresh a copy may be where a stale one is accepted.
    pub stale_grace: TimeSpan,
    /// Its requests run at the origin and leave no copy.
    pub is_write: bool,
}

/// Whether a request may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It may always be repeated.
    Idempotent,
    /// Repeats are recognised by an idempotency key and dropped.
    Keyed {
        /// The hosts among which repeats are recognised.
        group: RepeatGroup,
        /// How long after the first attempt they are.
        window: TimeSpan,
    },
    /// It must never run twice.
    NonIdempotent,
}

/// The hosts among which a repeated request is recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatGroup {
    /// All hosts.
    All,
    /// The hosts of one zone.
    Zone,
    /// The hosts of one cell.
    Cell,
}

impl RepeatGroup {
    /// Whether a repeat at `next` is recognised after a first attempt at `first`; `None`: that may have gone anywhere.
    ///
    /// ```
    /// use trailproxy::interface::RepeatGroup;
    /// use trailproxy::units::{CellId, ZoneId};
    /// let (here, there) = ((ZoneId(0), CellId(1)), (ZoneId(0), CellId(2)));
    /// assert!(RepeatGroup::Zone.covers(Some(here), there) && !RepeatGroup::Cell.covers(Some(here), there));
    /// assert!(RepeatGroup::All.covers(None, there) && !RepeatGroup::Zone.covers(None, there));
    /// ```
    pub fn covers(self, first: Option<(ZoneId, CellId)>, next: (ZoneId, CellId)) -> bool {
        match self {
            RepeatGroup::All => true,
            RepeatGroup::Zone => first.is_some_and(|(zone, _)| zone == next.0),
            RepeatGroup::Cell => first.is_some_and(|(_, cell)| cell == next.1),
        }
    }
}

/// Which notes hosts report with outcomes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoteLevel {
    /// All of [`Note`].
    All,
    /// Only whether it was a hit.
    Hits,
    /// None.
    None,
}

/// What happened, as the caller reports it to a dispatcher.
#[derive(Clone, Debug)]
pub enum Event {
    /// A host list or a change of it has arrived, or asking for it failed.
    HostList {
        kind: HostListKind,
        entries: Vec<HostEntry>,
    },
    /// A client sent a request.
    Arrived(Arrival),
    /// The response of a streamed attempt has started and is passed on to the client: the attempt is no longer
    /// cancelled.
    ResponseStarted { id: RequestId, attempt: AttemptNo },
    /// An attempt ended.
    Outcome(Outcome),
    /// The client is gone, or the time for its final answer is over.
    ClientGone { id: RequestId },
    /// A timer set by [`Action::SetTimer`] fired.
    TimerFired { timer: TimerId },
    /// A probe ended, with the load that the host reported.
    Probed {
        host: HostId,
        ending: Ending,
        load: Load,
    },
    /// Another dispatcher's breaker opened for this host: here its next failure opens the breaker.
    PeerBreakerOpened { host: HostId },
    /// An object, or every object of a group, was purged.
    Purged {
        /// `None`: every object of the group.
        object: Option<ObjectId>,
        group: GroupId,
        /// Lower bound of the time since the purge, on the caller's clock.
        age: TimeSpan,
        /// Time of the purge, as stamped by another machine's clock; it is compared with the stamps of copies.
        stamp: Option<Timestamp>,
    },
}

/// What a host list event contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostListKind {
    /// All hosts; those not in it are gone.
    Full,
    /// Only the hosts that changed.
    Delta,
    /// Nothing: the request for the list failed, and the previous one stays valid.
    Failed,
}

/// An entry of the host list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostEntry {
    pub host: HostId,
    pub cell: CellId,
    pub zone: ZoneId,
    pub kind: KindId,
    /// When its process started, on the caller's clock. `None`: long ago.
    pub started: Option<Timestamp>,
    /// The same, as stamped by another machine's clock: it distinguishes two processes of one host and is never
    /// compared with a local time.
    pub stamp: Option<Timestamp>,
    /// Number of answers that it sends at full rate at once.
    pub capacity: f64,
    pub state: HostState,
}

/// Whether a host may be given new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    /// It may.
    Ready,
    /// It finishes what it has and must get nothing new.
    Draining,
    /// It is no longer in the list.
    Gone,
}

/// A request as it arrived from a client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    pub id: RequestId,
    /// How long the client still waits.
    pub time_left: TimeSpan,
    pub class: ClassId,
    pub object: ObjectId,
    pub group: GroupId,
    /// The part of the object, from 0.
    pub part: u32,
    /// Size of the answer in KB of 1,024 bytes, where it is known.
    pub size_kb: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: RequestId,
    pub attempt: AttemptNo,
    pub ending: Ending,
    /// Time from sending to the end.
    pub elapsed: TimeSpan,
    /// The request needs no final answer any more.
    pub request_closed: bool,
    /// What the host reported about the fill.
    pub note: Note,
    /// Time to the first byte from the source, or to the failure of the fill, where it is reported.
    pub first_byte_latency: Option<TimeSpan>,
    /// The load that the host reported.
    pub load: Load,
    /// Whether an earlier request of its client succeeded, so that its requests are known to be valid.
    pub client_proven: bool,
    /// How much of the object was received, in KB of 1,024 bytes, where it is known.
    pub received_kb: Option<f64>,
}

/// The load that a host reports: delayed and noisy; `None` where it does not report it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// The share of its sending capacity that is in use.
    pub utilization: Option<f64>,
    /// Utilization of the link of a cache's zone: transfers over those that fit.
    pub link_utilization: Option<f64>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// It succeeded.
    Done,
    /// The host answered with an error.
    Error,
    /// The host refused it because it was full.
    Full,
    /// No answer came in time.
    TimedOut,
    /// No connection to the host could be opened.
    NoConnection,
    /// The connection broke before the answer was complete.
    ConnectionLost,
    /// The dispatcher cancelled it.
    Cancelled,
    /// It was never sent.
    NotSent,
    /// The host does not hold the object, and no fill was made.
    Miss,
}

impl Ending {
    /// Whether this ending proves that the attempt did not run.
    ///
    /// ```
    /// use trailproxy::interface::Ending;
    /// assert!(Ending::Full.never_ran() && Ending::Miss.never_ran());
    /// assert!(!Ending::ConnectionLost.never_ran() && !Ending::Cancelled.never_ran());
    /// ```
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Ending::Full | Ending::NoConnection | Ending::NotSent | Ending::Miss
        )
    }
}

/// What a host reports about how it answered, or why its fill failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Note {
    /// The host reported nothing.
    NotReported,
    /// Answered from a fresh copy.
    Hit,
    /// Filled from the source.
    Filled,
    /// Filled from the source, which fetched from the origin.
    FilledByOrigin,
    /// Answered by joining a fill in flight.
    Joined,
    /// Answered from a copy past its fresh time.
    Stale,
    /// The source refused the fill.
    SourceRefused,
    /// The source could not be reached, or the connection to it broke.
    SourceLost,
    /// The source does not hold the object.
    SourceMiss,
    /// The cache had no slot for a fill.
    NoFillSlot,
    /// The origin failed behind the parent.
    OriginFailed,
}

/// What the caller has to do for a dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends an attempt to a host.
    Attempt(Attempt),
    /// Final answer "not done, try again later": trying again is harmless.
    Refuse {
        id: RequestId,
        retry_after: Option<TimeSpan>,
        reason: GiveUpReason,
    },
    /// Final answer that promises nothing.
    Fail { id: RequestId, reason: GiveUpReason },
    /// Cancels an attempt.
    Cancel { id: RequestId, attempt: AttemptNo },
    /// Asks for [`Event::TimerFired`] at this time.
    SetTimer { at: Timestamp, timer: TimerId },
    /// Requests the host list.
    RequestHostList,
    /// Asks a host for its load.
    Probe { host: HostId },
    /// Writes a log line.
    Log { text: String },
}

/// An attempt to send.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    pub id: RequestId,
    pub host: HostId,
    /// How the host handles a miss; `None`: a plain request for what the host holds.
    pub fill: Option<Fill>,
}

/// How a host handles a request for an object that it may not hold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fill {
    /// Where the host fills from; the host itself: no fill.
    pub source: HostId,
    /// 0: the object is not kept; 1 to 3: the rank at which it is.
    pub rank: u8,
    /// The highest age of a copy that may be served; `None`: as old as the class allows for a fresh one.
    pub max_age: Option<TimeSpan>,
    /// Whether the host may join a fill of the same part.
    pub join: bool,
    /// The source serves only what it holds and does not ask the origin.
    pub only_if_cached: bool,
    /// Whether the host serves an ageing copy and renews it in the background.
    pub revalidate: bool,
}

/// An attempt that moves data between zones, as passed to [`CrossingLimits`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Crossing {
    pub arrival: Arrival,
    pub attempt: AttemptNo,
    pub host: HostId,
    /// What fills the host; the host itself where it is in another zone and asked directly.
    pub source: HostId,
    /// The zone that the data leaves.
    pub from: ZoneId,
    /// The zone that the data enters.
    pub to: ZoneId,
    /// Amount that may cross, in KB of 1,024 bytes: the size of the answer, or the usual size in its class.
    pub kb: f64,
    /// Whether the host joins fills of the same part.
    pub join: bool,
}

/// Limits on the traffic between zones.
///
/// An implementation only forbids or counts a route; the dispatcher chooses it. The check that every attempt passes
/// asks it about each attempt whose source and reader are in different zones.
pub trait CrossingLimits {
    /// Called with every event, before the dispatcher handles it.
    fn on_event(&mut self, _now: Timestamp, _event: &Event) {}
    /// Whether this crossing may start now. It may be asked several times about one route without anything being sent.
    fn has_room(&self, _now: Timestamp, _crossing: &Crossing) -> bool {
        true
    }
    /// Called when the attempt with this crossing is sent.
    fn on_sent(&mut self, _now: Timestamp, _crossing: &Crossing) {}
    /// When a refused client of this class should retry; `None`: no limit stood in the way of its request.
    fn retry_after(&self, _now: Timestamp, _class: ClassId) -> Option<TimeSpan> {
        None
    }
}

/// An attempt under the same idempotency key that another dispatcher made or may have made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerAttempt {
    /// Where it went; `None`: it may have gone anywhere.
    pub location: Option<(ZoneId, CellId)>,
    /// When it was first sent.
    pub first_sent: Timestamp,
}

/// What is known of other dispatchers' attempts for the same request.
pub trait PeerKnowledge {
    /// An earlier attempt under the key of this request; it restricts the request as an attempt of its own would.
    fn earlier_attempt(&self, _id: RequestId) -> Option<PeerAttempt> {
        None
    }
    /// Called when the breaker of a host opened, or stopped excluding it.
    fn on_breaker_change(&mut self, _now: Timestamp, _host: HostEntry, _open: bool) {}
}

/// A dispatcher on its own: no limits between zones, and no knowledge of other dispatchers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Standalone;

impl CrossingLimits for Standalone {}
impl PeerKnowledge for Standalone {}

/// Limits that can be switched on and off at run time.
impl<C: CrossingLimits> CrossingLimits for Option<C> {
    fn on_event(&mut self, now: Timestamp, event: &Event) {
        self.iter_mut()
            .for_each(|limits| limits.on_event(now, event));
    }

    fn has_room(&self, now: Timestamp, crossing: &Crossing) -> bool {
        self.as_ref()
            .is_none_or(|limits| limits.has_room(now, crossing))
    }

    fn on_sent(&mut self, now: Timestamp, crossing: &Crossing) {
        self.iter_mut()
            .for_each(|limits| limits.on_sent(now, crossing));
    }

    fn retry_after(&self, now: Timestamp, class: ClassId) -> Option<TimeSpan> {
        self.as_ref()?.retry_after(now, class)
    }
}

/// Peer knowledge that can be switched on and off at run time.
impl<P: PeerKnowledge> PeerKnowledge for Option<P> {
    fn earlier_attempt(&self, id: RequestId) -> Option<PeerAttempt> {
        self.as_ref()?.earlier_attempt(id)
    }

    fn on_breaker_change(&mut self, now: Timestamp, host: HostEntry, open: bool) {
        self.iter_mut()
            .for_each(|peers| peers.on_breaker_change(now, host, open));
    }
}
