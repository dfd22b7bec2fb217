//! What goes into a dispatcher and what comes out, in no protocol's words.

use crate::policy::refusals::GiveUpReason;
use crate::units::*;

/// What a dispatcher is told when it starts.
#[derive(Clone, Debug)]
pub struct DispatcherSettings {
    pub zone: ZoneId,
    /// Dispatchers in all zones together.
    pub dispatchers: u32,
    /// Dispatchers by zone; empty where it is not told.
    pub dispatchers_by_zone: Vec<u32>,
    pub parent_kind: Option<KindId>,
    pub origin_kind: Option<KindId>,
    pub classes: Vec<ClassSettings>,
    /// Top pace of one answer; host sizes count answers at this pace.
    pub stream_kb_per_s: f64,
    /// What the own zone's link for fills carries; `None` where it is not told.
    pub link_kb_per_s: Option<f64>,
    /// Whether caches tell how full it is.
    pub link_load_reported: bool,
    /// Whether hosts tell their load when probed, and only then.
    pub probes_enabled: bool,
    /// Whether the sizes of hosts tell something.
    pub capacities_reported: bool,
    pub joins_fills: bool,
    /// Whether parents and the origin take accesses themselves.
    pub allows_direct: bool,
    pub note_level: NoteLevel,
    pub max_attempts: usize,
    pub may_cancel: bool,
    /// The longest time for which a client stays away when told to; `None` where it can't be told.
    pub max_retry_after: Option<TimeSpan>,
    /// Whether the host list has to be asked for.
    pub host_list_on_request: bool,
    pub cache_slow_start: SlowStart,
    pub parent_slow_start: SlowStart,
    /// By then every copy from before a purge is dropped.
    pub purge_propagation: TimeSpan,
}

/// How a host that has just started behaves.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// The least share of its capacity with which it starts.
    pub initial_capacity: f64,
    /// It is warm after this, rising evenly at the slowest.
    pub duration: TimeSpan,
    /// It falls over at this multiple of its present capacity, kept up for `overload_window`.
    pub overload_factor: f64,
    pub overload_window: TimeSpan,
    /// Among how many what it may be given is divided, where that follows need: 1 over this dispatcher's part. `None`:
    /// evenly among all dispatchers that use such a host.
    pub shared_by: Option<f64>,
}

#[derive(Clone, Debug)]
pub struct ClassSettings {
    pub target: TimeSpan,
    /// The due time grows by this many times the access's own sending time.
    pub target_stretch: f64,
    pub effect: Effect,
    /// How long a copy is fresh; `None`: until it is purged.
    pub fresh_for: Option<TimeSpan>,
    /// How much older than fresh a copy may be when asked for.
    pub stale_grace: TimeSpan,
    /// Runs at the origin and leaves no copy.
    pub is_write: bool,
}

/// Whether an access may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Idempotent,
    /// Repeats are dropped within a group of hosts, for a while from the first hand-off.
    Keyed {
        group: RepeatGroup,
        window: TimeSpan,
    },
    NonIdempotent,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatGroup {
    All,
    Zone,
    Cell,
}

impl RepeatGroup {
    /// Whether a repeat at one place is known where the first ran; `None`: that may have been anywhere.
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

/// Which notes come with outcomes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoteLevel {
    All,
    Hits,
    None,
}

#[derive(Clone, Debug)]
pub enum Event {
    HostList {
        kind: HostListKind,
        entries: Vec<HostEntry>,
    },
    Arrived(Arrival),
    /// The answer of a streamed hand-off has begun: it belongs to the client now.
    ResponseStarted {
        id: RequestId,
        attempt: AttemptNo,
    },
    Outcome(Outcome),
    /// The client left, or the final answer is overdue.
    ClientGone {
        id: RequestId,
    },
    TimerFired {
        timer: TimerId,
    },
    /// How a probe ended, and what the host told by it.
    Probed {
        host: HostId,
        ending: Ending,
        load: Load,
    },
    /// Another dispatcher's breaker opened for this host: the next outcome here is judged as a trial.
    PeerBreakerOpened {
        host: HostId,
    },
    /// Every object of the group where no object is named.
    Purged {
        object: Option<ObjectId>,
        group: GroupId,
        /// How long ago at least, on the caller's clock.
        age: TimeSpan,
        /// When, as it was stamped by another machine's clock: copies are held against it by their own stamps.
        stamp: Option<Timestamp>,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostListKind {
    Full,
    Delta,
    /// Asking for the list failed; the old one holds.
    Failed,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostEntry {
    pub host: HostId,
    pub cell: CellId,
    pub zone: ZoneId,
    pub kind: KindId,
    /// When its process began, on the caller's clock. `None`: long past.
    pub started: Option<Timestamp>,
    /// The same as the list stamped it, by another machine's clock: it tells two processes of one host apart, and is
    /// compared with no time.
    pub stamp: Option<Timestamp>,
    pub capacity: f64,
    pub state: HostState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    pub id: RequestId,
    /// How long the client will wait.
    pub time_left: TimeSpan,
    pub class: ClassId,
    pub object: ObjectId,
    pub group: GroupId,
    pub part: u32,
    pub size_kb: Option<f64>,
}

#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: RequestId,
    pub attempt: AttemptNo,
    pub ending: Ending,
    pub elapsed: TimeSpan,
    /// The access needs no final answer any more.
    pub request_closed: bool,
    pub note: Note,
    /// Time to the first byte from the source, or to the fill's failure, where it is told.
    pub first_byte_latency: Option<TimeSpan>,
    pub load: Load,
    /// Whether anything was done for its client before, so that its accesses are known to make sense.
    pub client_proven: bool,
    /// What came of the object, in KB of 1,024 bytes, where it is told.
    pub received_kb: Option<f64>,
}

/// What a host tells of its load: late, with noise, and nothing where it does not tell.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// The share of what it can send that is in use.
    pub utilization: Option<f64>,
    /// How full the link of a cache's zone is: transfers over those that fit.
    pub link_utilization: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Done,
    Error,
    Full,
    TimedOut,
    NoConnection,
    ConnectionLost,
    Cancelled,
    NotSent,
    Miss,
}

impl Ending {
    /// Whether this ending proves that the hand-off did not run.
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

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Note {
    NotReported,
    Hit,
    Filled,
    FilledByOrigin,
    Joined,
    /// Answered from a copy past its fresh time.
    Stale,
    SourceRefused,
    SourceLost,
    SourceMiss,
    /// The cache had no place for a fill.
    NoFillSlot,
    /// The origin failed behind the parent.
    OriginFailed,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Attempt(Attempt),
    /// Final: trying again is harmless.
    Refuse {
        id: RequestId,
        retry_after: Option<TimeSpan>,
        reason: GiveUpReason,
    },
    /// Final: promises nothing.
    Fail {
        id: RequestId,
        reason: GiveUpReason,
    },
    Cancel {
        id: RequestId,
        attempt: AttemptNo,
    },
    SetTimer {
        at: Timestamp,
        timer: TimerId,
    },
    RequestHostList,
    /// Asks a host for its load.
    Probe {
        host: HostId,
    },
    Log {
        text: String,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    pub id: RequestId,
    pub host: HostId,
    /// `None`: a plain look at what the host holds.
    pub fill: Option<Fill>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fill {
    /// The host itself: no fill.
    pub source: HostId,
    /// 0: not kept; 1 to 3: the rank at which it is.
    pub rank: u8,
    /// The oldest copy that will do; `None`: as old as the track allows when fresh.
    pub max_age: Option<TimeSpan>,
    pub join: bool,
    /// The source gives only what it holds.
    pub only_if_cached: bool,
    /// Serve an ageing copy and renew it behind.
    pub revalidate: bool,
}

/// One hand-off on its way between zones, as [`CrossingLimits`] is asked about it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Crossing {
    pub arrival: Arrival,
    pub attempt: AttemptNo,
    pub host: HostId,
    /// What fills the host; the host itself where that is in another zone and asked straight.
    pub source: HostId,
    pub from: ZoneId,
    pub to: ZoneId,
    /// What may cross, in KB of 1,024 bytes: as told, or as the track's accesses usually have.
    pub kb: f64,
    /// The host joins fills of one part.
    pub join: bool,
}

/// Whoever knows what crosses between zones, and whether there is room for more.
///
/// The decisions choose; this one only says no to a way, or counts it. It is asked about every hand-off whose
/// source and reader are in different zones, by the gate that all hand-offs pass.
pub trait CrossingLimits {
    /// Every event, before the decisions take it.
    fn on_event(&mut self, _now: Timestamp, _event: &Event) {}
    /// Whether this may go out now. It may be asked several times about one way, with nothing sent.
    fn has_room(&self, _now: Timestamp, _crossing: &Crossing) -> bool {
        true
    }
    /// This goes out now.
    fn on_sent(&mut self, _now: Timestamp, _crossing: &Crossing) {}
    /// After how long a client of this track had better come again; `None`: nothing was in its way here.
    fn retry_after(&self, _now: Timestamp, _track: ClassId) -> Option<TimeSpan> {
        None
    }
}

/// A hand-off of the same key that another dispatcher has made or may have made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerAttempt {
    /// Where it went; `None`: it may have gone anywhere.
    pub location: Option<(ZoneId, CellId)>,
    pub first_sent: Timestamp,
}

/// Whoever knows what other dispatchers did for the same client's request.
pub trait PeerKnowledge {
    /// An earlier hand-off under the key of this access; it binds the access as one of its own would.
    fn earlier_attempt(&self, _id: RequestId) -> Option<PeerAttempt> {
        None
    }
    /// The breaker of a host opened, or let it back.
    fn on_breaker_change(&mut self, _now: Timestamp, _host: HostEntry, _open: bool) {}
}

/// All links are free, nobody counts, and nothing is known of others.
#[derive(Clone, Copy, Debug, Default)]
pub struct Standalone;

impl CrossingLimits for Standalone {}
impl PeerKnowledge for Standalone {}

/// Switched on or off while it runs.
impl<C: CrossingLimits> CrossingLimits for Option<C> {
    fn on_event(&mut self, now: Timestamp, event: &Event) {
        self.iter_mut().for_each(|on| on.on_event(now, event));
    }

    fn has_room(&self, now: Timestamp, crossing: &Crossing) -> bool {
        self.as_ref().is_none_or(|on| on.has_room(now, crossing))
    }

    fn on_sent(&mut self, now: Timestamp, crossing: &Crossing) {
        self.iter_mut().for_each(|on| on.on_sent(now, crossing));
    }

    fn retry_after(&self, now: Timestamp, track: ClassId) -> Option<TimeSpan> {
        self.as_ref()?.retry_after(now, track)
    }
}

impl<O: PeerKnowledge> PeerKnowledge for Option<O> {
    fn earlier_attempt(&self, id: RequestId) -> Option<PeerAttempt> {
        self.as_ref()?.earlier_attempt(id)
    }

    fn on_breaker_change(&mut self, now: Timestamp, host: HostEntry, open: bool) {
        self.iter_mut()
            .for_each(|on| on.on_breaker_change(now, host, open));
    }
}
