//! What a fleet is made of, and what is to happen to it.

use std::fmt;
use trailproxy::interface::{ClassSettings, Note, NoteLevel, SlowStart};
use trailproxy::units::*;

/// A day begins at this point in time, so that copies may be older than the day.
pub const DAWN: Timestamp = Timestamp(1_000_000_000);

#[derive(Clone, Debug)]
pub struct Zone {
    pub name: String,
    /// What the link into the zone carries, in KB/s; all fills from outside share it.
    pub link_kb_per_s: f64,
    /// One way from here to the hubs.
    pub distance: TimeSpan,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Role {
    Cache,
    Parent,
    Origin,
}

#[derive(Clone, Debug)]
pub struct HostShape {
    pub id: HostId,
    pub name: String,
    pub role: Role,
    pub zone: ZoneId,
    pub cell: CellId,
    /// In answers that its link out carries at their top pace.
    pub size: f64,
    pub room_kb: f64,
    /// Until the first byte where it holds the object.
    pub first_byte: TimeSpan,
    /// Requests that it has in work at most; more are turned away.
    pub places: usize,
}

#[derive(Clone, Debug)]
pub struct Shape {
    pub zones: Vec<Zone>,
    pub hosts: Vec<HostShape>,
    pub tracks: Vec<ClassSettings>,
    /// KB/s of one answer, and of one fill, at most.
    pub flow_kb_per_s: f64,
    pub fill_kb_per_s: f64,
    pub cold_cache: SlowStart,
    pub cold_parent: SlowStart,
    /// By then every copy from before a purge is dropped.
    pub purge_done: TimeSpan,
    /// A fill that has not begun by then is given up.
    pub fill_within: TimeSpan,
    /// From a host's end to its place on the list.
    pub noticed_after: TimeSpan,
    /// The origin falls over when asked for more than this many times what it can do, for as long as a cold parent
    /// bears it; `None`: never.
    pub origin_bears: Option<f64>,
    /// How long a host that fell over is away.
    pub fallen_for: TimeSpan,
}

impl Shape {
    pub fn cold(&self, role: Role) -> SlowStart {
        match role {
            Role::Cache => self.cold_cache,
            _ => self.cold_parent,
        }
    }
}

/// One thing that happens to hosts, links or objects.
#[derive(Clone, Debug, PartialEq)]
pub enum Trouble {
    /// The process ends; its connections are reset. It comes back empty after the span.
    Crash(HostId, TimeSpan),
    /// It says nothing for the span and takes no new connection, then goes on.
    Silence(HostId, TimeSpan),
    /// First bytes take this many times as long, for the span.
    Slow(HostId, f64, TimeSpan),
    /// Fills from it never begin, for the span; what it is asked directly it answers.
    Stall(HostId, TimeSpan),
    /// This share of its answers is unreadable, for the span.
    Garbage(HostId, f64, TimeSpan),
    /// This share of what it is asked ends with a reset, for the span.
    Resets(HostId, f64, TimeSpan),
    /// Its capacity falls evenly to this part of the whole over the span; then it dies and is replaced.
    Ageing(HostId, f64, TimeSpan),
    /// Drains for two spans of 2 s, restarts, and comes back cold after the span.
    Roll(HostId, TimeSpan),
    /// Gone for good; a new host with the second id takes its place, and address, after the span.
    Replace(HostId, HostId, TimeSpan),
    /// The link into a zone carries this part of its rate, for the span.
    Link(ZoneId, f64, TimeSpan),
    /// The list is told this much later, for the second span.
    LateList(TimeSpan, TimeSpan),
    Purge(Option<ObjectId>, GroupId),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Cue {
    pub at: Timestamp,
    pub trouble: Trouble,
}

/// The form in which reports of runs have it; it stays the same whatever the types are called.
impl fmt::Display for Cue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Cue {{ at: Moment({}), trouble: ", self.at.0)?;
        match &self.trouble {
            Trouble::Crash(host, span) => write!(f, "Crash({host:?}, Span({}))", span.0),
            Trouble::Silence(host, span) => write!(f, "Silence({host:?}, Span({}))", span.0),
            Trouble::Slow(host, times, span) => {
                write!(f, "Slow({host:?}, {times:?}, Span({}))", span.0)
            }
            Trouble::Stall(host, span) => write!(f, "Stall({host:?}, Span({}))", span.0),
            Trouble::Garbage(host, share, span) => {
                write!(f, "Garbage({host:?}, {share:?}, Span({}))", span.0)
            }
            Trouble::Resets(host, share, span) => {
                write!(f, "Resets({host:?}, {share:?}, Span({}))", span.0)
            }
            Trouble::Ageing(host, part, span) => {
                write!(f, "Ageing({host:?}, {part:?}, Span({}))", span.0)
            }
            Trouble::Roll(host, span) => write!(f, "Roll({host:?}, Span({}))", span.0),
            Trouble::Replace(host, next, span) => {
                write!(f, "Replace({host:?}, {next:?}, Span({}))", span.0)
            }
            Trouble::Link(zone, part, span) => {
                write!(f, "Link({zone:?}, {part:?}, Span({}))", span.0)
            }
            Trouble::LateList(later, span) => {
                write!(f, "LateList(Span({}), Span({}))", later.0, span.0)
            }
            Trouble::Purge(object, group) => write!(f, "Purge({object:?}, {group:?})"),
        }?;
        f.write_str(" }")
    }
}

/// What of a note is told at this level.
pub fn told(level: NoteLevel, note: Note) -> Note {
    let hit = matches!(note, Note::Hit | Note::Stale);
    match level {
        NoteLevel::All => note,
        NoteLevel::Hits if hit || note == Note::Filled => note,
        NoteLevel::Hits | NoteLevel::None => Note::NotReported,
    }
}
