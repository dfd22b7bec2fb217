//! The five rules, checked from outside: by what clients, hosts and the list see, and by nothing of the program.
//!
//! The same checker sits behind the model and behind real processes. What it holds is bounded: an access is
//! forgotten some time after its outer limit.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use trailproxy::interface::{ClassSettings, Effect, HostEntry, HostState, RepeatGroup, SlowStart};
use trailproxy::units::*;

/// One of the five rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    OneAnswer = 1,
    NoEffectTwice = 2,
    DrainsKept = 3,
    ColdSpared = 4,
    PurgesKept = 5,
}

/// A breach: which access, when, and what was seen.
#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    pub rule: Rule,
    pub access: Option<RequestId>,
    pub at: Timestamp,
    pub evidence: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "rule {} at {:.3} s",
            self.rule as u8,
            self.at.0 as f64 / 1e6
        )?;
        if let Some(RequestId(id)) = self.access {
            write!(f, ", access {id:x}")?;
        }
        write!(f, ": {}", self.evidence)
    }
}

/// A final answer as the client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Final {
    Done,
    Rejected,
    Aborted,
}

/// What the rules are held against, in the terms' words.
#[derive(Clone, Debug)]
pub struct Bounds {
    pub tracks: Vec<ClassSettings>,
    pub cold_cache: SlowStart,
    pub cold_parent: SlowStart,
    pub parent_kind: KindId,
    pub origin_kind: KindId,
    pub flow_kb_per_s: f64,
    /// Nothing new goes to a host so long after its drain was told.
    pub drain_within: TimeSpan,
    /// Nothing sent so long after a purge is answered by a copy from before.
    pub purge_grace: TimeSpan,
    /// Slack of all time limits, for the way between the places where things are seen.
    pub slack: TimeSpan,
    /// So long may the word of one hand-off's end come after the next one, where the two go by different ways.
    pub overlap: TimeSpan,
    /// Slack of the fourth rule's budget, for chance.
    pub cold_slack: f64,
}

struct Sent {
    no: u8,
    cell: CellId,
    zone: ZoneId,
    at: Timestamp,
    never_ran: bool,
    over: bool,
}

struct Seen {
    track: ClassId,
    limit: Timestamp,
    answered: Option<Timestamp>,
    /// It needs no answer: the client left, or its dispatcher died.
    excused: bool,
    sent: Vec<Sent>,
    /// A second hand-off came while this one was out, then.
    beside: Option<(Timestamp, u8)>,
}

#[derive(Clone, Copy)]
struct Listed {
    entry: HostEntry,
    drained: Option<Timestamp>,
}

/// When an object or a group was purged, and when that was told.
#[derive(Clone, Copy)]
struct Purge {
    at: Timestamp,
    told: Timestamp,
}

/// Everything seen so far, as far as it still matters.
pub struct Checker {
    bounds: Bounds,
    seen: BTreeMap<RequestId, Seen>,
    limits: VecDeque<(Timestamp, RequestId)>,
    hosts: BTreeMap<HostId, Listed>,
    cold: BTreeMap<HostId, VecDeque<(Timestamp, f64)>>,
    purges: BTreeMap<(Option<ObjectId>, GroupId), Purge>,
    breaches: Vec<Breach>,
    count: u64,
}

/// More breaches than this are counted, not kept.
const KEPT: usize = 100;
/// So long after its limit an access is still watched for a second answer.
const WATCHED: TimeSpan = TimeSpan::from_secs(5);

impl Checker {
    pub fn new(bounds: Bounds) -> Checker {
        Checker {
            bounds,
            seen: BTreeMap::new(),
            limits: VecDeque::new(),
            hosts: BTreeMap::new(),
            cold: BTreeMap::new(),
            purges: BTreeMap::new(),
            breaches: Vec::new(),
            count: 0,
        }
    }

    pub fn breaches(&self) -> &[Breach] {
        &self.breaches
    }

    /// All breaches, with those that were not kept.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// What it holds, for a bound on it.
    pub fn held(&self) -> usize {
        self.seen.len() + self.purges.len()
    }

    fn breach(&mut self, rule: Rule, access: Option<RequestId>, at: Timestamp, evidence: String) {
        self.count += 1;
        if self.breaches.len() < KEPT {
            self.breaches.push(Breach {
                rule,
                access,
                at,
                evidence,
            });
        }
    }

    /// The list tells something of a host.
    pub fn listed(&mut self, at: Timestamp, entry: HostEntry) {
        let before = self
            .hosts
            .get(&entry.host)
            .and_then(|listed| listed.drained);
        let drained = match entry.state {
            HostState::Ready => None,
            _ => before.or(Some(at)),
        };
        self.hosts.insert(entry.host, Listed { entry, drained });
        if entry.state == HostState::Gone {
            self.cold.remove(&entry.host);
        }
        let gone = |listed: &Listed| {
            listed
                .drained
                .is_some_and(|drained| at.since(drained) > TimeSpan::from_secs(60))
        };
        self.hosts.retain(|_, listed| !gone(listed));
    }

    pub fn purged(&mut self, at: Timestamp, object: Option<ObjectId>, group: GroupId) {
        self.purged_and_told(at, at, object, group);
    }

    /// A purge that is told later than it is made.
    pub fn purged_and_told(
        &mut self,
        at: Timestamp,
        told: Timestamp,
        object: Option<ObjectId>,
        group: GroupId,
    ) {
        // An object's purge comes without its group on some ways.
        let group = object.map_or(group, |_| GroupId(0));
        self.purges.insert((object, group), Purge { at, told });
    }

    /// A dispatcher has taken an access.
    pub fn taken(&mut self, at: Timestamp, id: RequestId, track: ClassId, limit: Timestamp) {
        self.forget(at);
        let fresh = Seen {
            track,
            limit,
            answered: None,
            excused: false,
            sent: Vec::new(),
            beside: None,
        };
        if self.seen.insert(id, fresh).is_some() {
            self.breach(Rule::OneAnswer, Some(id), at, "an id was used twice".into());
        }
        let place = self.limits.partition_point(|&(old, _)| old <= limit);
        self.limits.insert(place, (limit, id));
    }

    /// No answer is owed any more: the client left, or its dispatcher was killed.
    pub fn excused(&mut self, id: RequestId) {
        self.seen
            .get_mut(&id)
            .into_iter()
            .for_each(|seen| seen.excused = true);
    }

    fn forget(&mut self, now: Timestamp) {
        while let Some((limit, id)) = self.limits.front().copied() {
            if now.since(limit) <= WATCHED {
                break;
            }
            self.limits.pop_front();
            if let Some(seen) = self.seen.remove(&id) {
                self.owed(id, &seen);
            }
        }
    }

    fn owed(&mut self, id: RequestId, seen: &Seen) {
        if seen.answered.is_none() && !seen.excused {
            let text = "no final answer".to_owned();
            self.breach(Rule::OneAnswer, Some(id), seen.limit, text);
        }
        if let Some((at, second)) = seen.beside {
            self.two_at_once(id, at, second);
        }
    }

    /// The end: what was never answered is owed.
    pub fn finish(&mut self) {
        let all = std::mem::take(&mut self.seen);
        all.iter().for_each(|(&id, seen)| self.owed(id, seen));
        self.limits.clear();
    }

    /// A hand-off was written whole to a host. `work_kb` is the size of what is asked for.
    pub fn sent(
        &mut self,
        at: Timestamp,
        id: RequestId,
        no: u8,
        host: HostId,
        source: Option<HostId>,
        work_kb: f64,
    ) {
        let slack = self.bounds.slack;
        let listed = self.hosts.get(&host).copied();
        for (role, place) in [("host", Some(host)), ("source", source)] {
            let Some(place) = place.filter(|place| role == "host" || *place != host) else {
                continue;
            };
            let drained = self.hosts.get(&place).and_then(|listed| listed.drained);
            if let Some(drained) =
                drained.filter(|&drained| at.since(drained) > self.bounds.drain_within + slack)
            {
                let late = at.since(drained).as_secs_f64();
                let text = format!(
                    "sent to {role} {:x} {late:.3} s after its drain was told",
                    place.0
                );
                self.breach(Rule::DrainsKept, Some(id), at, text);
            }
        }
        self.work(at, id, host, work_kb);
        let Some(seen) = self.seen.get(&id) else {
            let text = format!("sent to {:x} for an access that is not open", host.0);
            return self.breach(Rule::OneAnswer, Some(id), at, text);
        };
        let after_limit = at > seen.limit + slack;
        let after_answer = seen.answered.is_some_and(|answered| at > answered + slack);
        let track = seen.track;
        let effect = self.bounds.tracks[usize::from(track.0)].effect;
        let here = listed.map_or((CellId(0), ZoneId(0)), |listed| {
            (listed.entry.cell, listed.entry.zone)
        });
        let forbidden = seen
            .sent
            .iter()
            .filter(|s| !s.never_ran)
            .find(|s| match effect {
                Effect::Idempotent => false,
                Effect::NonIdempotent => true,
                Effect::Keyed { group, window } => {
                    let same = match group {
                        RepeatGroup::All => true,
                        RepeatGroup::Zone => s.zone == here.1,
                        RepeatGroup::Cell => s.cell == here.0,
                    };
                    !same || at.since(s.at) > window + slack
                }
            });
        let text = forbidden.map(|earlier| {
            let ago = at.since(earlier.at).as_secs_f64();
            format!(
                "sent again to {:x} though hand-off {} of {ago:.3} s before may have run",
                host.0, earlier.no
            )
        });
        let two = effect == Effect::Idempotent && seen.sent.iter().any(|s| !s.over);
        if let Some(text) = text {
            self.breach(Rule::NoEffectTwice, Some(id), at, text);
        }
        if two && self.bounds.overlap == TimeSpan::ZERO {
            self.two_at_once(id, at, no);
        }
        if after_limit || after_answer {
            let text = format!("sent to {:x} after its final answer or outer limit", host.0);
            self.breach(Rule::OneAnswer, Some(id), at, text);
        }
        if let Some(seen) = self.seen.get_mut(&id) {
            if two && self.bounds.overlap > TimeSpan::ZERO {
                seen.beside = Some((at, no));
            }
            seen.sent.push(Sent {
                no,
                cell: here.0,
                zone: here.1,
                at,
                never_ran: false,
                over: false,
            });
        }
    }

    /// A hand-off ended at its sender; `never_ran`: by a proof that it had no effect.
    pub fn ended(&mut self, at: Timestamp, id: RequestId, no: u8, never_ran: bool) {
        let Some(seen) = self.seen.get_mut(&id) else {
            return;
        };
        if let Some(sent) = seen.sent.iter_mut().find(|s| s.no == no) {
            (sent.over, sent.never_ran) = (true, never_ran);
        }
        // The word of the earlier one's end was only late.
        let late = |&(since, second): &(Timestamp, u8)| {
            second != no && at.since(since) <= self.bounds.overlap
        };
        if seen.beside.as_ref().is_some_and(late) {
            seen.beside = None;
        }
    }

    fn two_at_once(&mut self, id: RequestId, at: Timestamp, second: u8) {
        let text = format!("hand-off {second} went out while another one was");
        self.breach(Rule::OneAnswer, Some(id), at, text);
    }

    /// A parent or the origin is asked for something by a host: counted as work given to it.
    pub fn filled(&mut self, at: Timestamp, source: HostId, work_kb: f64) {
        self.work(at, RequestId(0), source, work_kb);
    }

    fn work(&mut self, at: Timestamp, id: RequestId, host: HostId, work_kb: f64) {
        let Some(entry) = self.hosts.get(&host).map(|listed| listed.entry) else {
            return;
        };
        let Some(started) = entry
            .started
            .filter(|_| entry.kind != self.bounds.origin_kind)
        else {
            return;
        };
        let parent = entry.kind == self.bounds.parent_kind;
        let cold = if parent {
            self.bounds.cold_parent
        } else {
            self.bounds.cold_cache
        };
        let risen = at.since(started).as_secs_f64() / cold.duration.as_secs_f64().max(1e-3);
        if risen >= 1.0 {
            self.cold.remove(&host);
            return;
        }
        let warmth = cold.initial_capacity + (1.0 - cold.initial_capacity) * risen;
        let work = work_kb / self.bounds.flow_kb_per_s;
        let given = self.cold.entry(host).or_default();
        given.push_back((at, work));
        while given
            .front()
            .is_some_and(|&(old, _)| at.since(old) > cold.overload_window)
        {
            given.pop_front();
        }
        let sum: f64 = given.iter().map(|(_, work)| work).sum();
        let most =
            cold.overload_factor * warmth * entry.capacity * cold.overload_window.as_secs_f64();
        if sum > most.max(work) * self.bounds.cold_slack {
            given.clear();
            let text = format!(
                "cold host {:x} was given {sum:.2} s of work where {most:.2} is its limit",
                host.0
            );
            let access = Some(id).filter(|id| id.0 != 0);
            self.breach(Rule::ColdSpared, access, at, text);
        }
    }

    /// The client has a final answer. `copy`: what a done one was answered from: object, group, and when the origin
    /// gave it out.
    pub fn answered(
        &mut self,
        at: Timestamp,
        id: RequestId,
        how: Final,
        copy: Option<(ObjectId, GroupId, Timestamp)>,
    ) {
        let Some(seen) = self.seen.get_mut(&id) else {
            let text = "a final answer to nothing that is open".to_owned();
            return self.breach(Rule::OneAnswer, Some(id), at, text);
        };
        let again = seen.answered.is_some();
        let late = at > seen.limit + self.bounds.slack;
        seen.answered = Some(at);
        let ran = seen.sent.iter().any(|s| !s.never_ran);
        let last = seen.sent.last().map(|s| s.at);
        let effect = self.bounds.tracks[usize::from(seen.track.0)].effect;
        if again {
            self.breach(
                Rule::OneAnswer,
                Some(id),
                at,
                "a second final answer".into(),
            );
        } else if late {
            let text = "a final answer after the outer limit".to_owned();
            self.breach(Rule::OneAnswer, Some(id), at, text);
        }
        if how == Final::Rejected && effect == Effect::NonIdempotent && ran {
            let text = "rejected though a hand-off may have run".to_owned();
            self.breach(Rule::NoEffectTwice, Some(id), at, text);
        }
        let (Some((object, group, minted)), Some(sent)) =
            (copy.filter(|_| how == Final::Done), last)
        else {
            return;
        };
        for key in [(Some(object), GroupId(0)), (None, group)] {
            let Some(&purged) = self.purges.get(&key) else {
                continue;
            };
            // The clock that mints is read to the millisecond.
            let old = minted + TimeSpan::from_millis(1) < purged.at;
            if old && sent > purged.told + self.bounds.purge_grace + self.bounds.slack {
                let after = sent.since(purged.told).as_secs_f64();
                let text = format!(
                    "sent {after:.3} s after the purge of its object was told and answered from before it"
                );
                self.breach(Rule::PurgesKept, Some(id), at, text);
            }
        }
    }
}
