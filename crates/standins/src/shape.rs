//! What a fleet is made of, and what is to happen to it.

use trailproxy::interface::{ClassTerms, Cold, Note, NoteLevel};
use trailproxy::units::*;

/// A day begins at this point in time, so that copies may be older than the day.
pub const DAWN: Moment = Moment(1_000_000_000);

#[derive(Clone, Debug)]
pub struct Zone {
    pub name: String,
    /// What the link into the zone carries, in KB/s; all fills from outside share it.
    pub link_kb_per_s: f64,
    /// One way from here to the hubs.
    pub distance: Span,
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
    pub first_byte: Span,
    /// Requests that it has in work at most; more are turned away.
    pub places: usize,
}

#[derive(Clone, Debug)]
pub struct Shape {
    pub zones: Vec<Zone>,
    pub hosts: Vec<HostShape>,
    pub tracks: Vec<ClassTerms>,
    /// KB/s of one answer, and of one fill, at most.
    pub flow_kb_per_s: f64,
    pub fill_kb_per_s: f64,
    pub cold_cache: Cold,
    pub cold_parent: Cold,
    /// By then every copy from before a purge is dropped.
    pub purge_done: Span,
    /// A fill that has not begun by then is given up.
    pub fill_within: Span,
    /// From a host's end to its place on the list.
    pub noticed_after: Span,
    /// The origin falls over when asked for more than this many times what it can do, for as long as a cold parent
    /// bears it; `None`: never.
    pub origin_bears: Option<f64>,
    /// How long a host that fell over is away.
    pub fallen_for: Span,
}

impl Shape {
    pub fn cold(&self, role: Role) -> Cold {
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
    Crash(HostId, Span),
    /// It says nothing for the span and takes no new connection, then goes on.
    Silence(HostId, Span),
    /// First bytes take this many times as long, for the span.
    Slow(HostId, f64, Span),
    /// Fills from it never begin, for the span; what it is asked directly it answers.
    Stall(HostId, Span),
    /// This share of its answers is unreadable, for the span.
    Garbage(HostId, f64, Span),
    /// This share of what it is asked ends with a reset, for the span.
    Resets(HostId, f64, Span),
    /// Its capacity falls evenly to this part of the whole over the span; then it dies and is replaced.
    Ageing(HostId, f64, Span),
    /// Drains for two spans of 2 s, restarts, and comes back cold after the span.
    Roll(HostId, Span),
    /// Gone for good; a new host with the second id takes its place, and address, after the span.
    Replace(HostId, HostId, Span),
    /// The link into a zone carries this part of its rate, for the span.
    Link(ZoneId, f64, Span),
    /// The list is told this much later, for the second span.
    LateList(Span, Span),
    Purge(Option<ObjectId>, GroupId),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Cue {
    pub at: Moment,
    pub trouble: Trouble,
}

/// What of a note is told at this level.
pub fn told(level: NoteLevel, note: Note) -> Note {
    let hit = matches!(note, Note::Hit | Note::Stale);
    match level {
        NoteLevel::All => note,
        NoteLevel::Hits if hit || note == Note::Filled => note,
        NoteLevel::Hits | NoteLevel::None => Note::Untold,
    }
}
