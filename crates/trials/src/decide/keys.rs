//! What became of each key, as clients and hosts saw it: who asked whom, what was sent on, what may have run.

use serde::Serialize;
use std::collections::BTreeMap;
use trailproxy::interface::{ClassSettings, Effect};
use trailproxy::units::*;
use trailproxy_lab::rules::Final;
use trailproxy_standins::shape::DAWN;

#[derive(Clone, Copy, Debug)]
struct Try {
    seat: usize,
    asked: Timestamp,
    sent: Option<Timestamp>,
    done: bool,
}

#[derive(Clone, Copy, Debug)]
struct Run {
    id: RequestId,
    no: u8,
    at: Timestamp,
    place: (ZoneId, CellId),
    never_ran: bool,
}

#[derive(Clone, Debug, Default)]
struct OfKey {
    track: ClassId,
    tries: BTreeMap<RequestId, Try>,
    runs: Vec<Run>,
}

impl OfKey {
    /// Who was asked when, and what hosts got of it: seconds of the run.
    fn story(&self) -> String {
        let at = |at: Timestamp| at.since(DAWN).as_secs_f64();
        let tries = self.tries.values().map(|one| {
            let done = if one.done { ", done" } else { "" };
            (
                one.asked,
                format!("{:.3} seat {} is asked{done}", at(one.asked), one.seat),
            )
        });
        let runs = self.runs.iter().map(|run| {
            let seat = self.tries.get(&run.id).map_or(usize::MAX, |one| one.seat);
            let ran = if run.never_ran { ", never ran" } else { "" };
            let (zone, cell) = (run.place.0.0, run.place.1.0);
            let text = format!("{:.3} seat {seat} sends to {zone}/{cell}{ran}", at(run.at));
            (run.at, text)
        });
        let mut all: Vec<_> = tries.chain(runs).collect();
        all.sort_by_key(|told| told.0);
        let all: Vec<String> = all.into_iter().map(|told| told.1).collect();
        all.join("; ")
    }
}

/// The count of one run.
#[derive(Clone, Debug, Default, Serialize, PartialEq)]
pub struct Count {
    pub keys: u64,
    /// Requests with keys, all tries.
    pub tries: u64,
    /// Second hand-offs that no host drops as repeats: out of their group, or past their window.
    pub forbidden_repeats: u64,
    /// Second hand-offs that hosts drop.
    pub dropped_repeats: u64,
    /// Of those by another dispatcher than the first.
    pub by_another: u64,
    /// Done with nothing sent under that try: the answer came from a record.
    pub from_record: u64,
    pub done: u64,
    /// From when a client asked to the first hand-off.
    pub wait_ms_p50: f64,
    pub wait_ms_p99: f64,
    /// Of what is asked again at the end, what was sent again.
    pub unknown_at_end: u64,
    pub asked_at_end: u64,
    /// What came of the first keys with a forbidden repeat, for a person who looks for the cause.
    pub stories: Vec<String>,
}

/// So many keys are told of.
const MOST_STORIES: usize = 8;

/// Everything by key. Bounded by the length of a run.
pub struct Keys {
    tracks: Vec<ClassSettings>,
    places: BTreeMap<HostId, (ZoneId, CellId)>,
    keys: BTreeMap<String, OfKey>,
    by_id: BTreeMap<RequestId, String>,
    slack: TimeSpan,
}

impl Keys {
    /// `slack`: by which what is seen at two ends may be apart.
    pub fn new(
        tracks: Vec<ClassSettings>,
        places: BTreeMap<HostId, (ZoneId, CellId)>,
        slack: TimeSpan,
    ) -> Keys {
        Keys {
            tracks,
            places,
            keys: BTreeMap::new(),
            by_id: BTreeMap::new(),
            slack,
        }
    }

    pub fn asked(&mut self, at: Timestamp, id: RequestId, key: &str, track: ClassId, seat: usize) {
        self.by_id.insert(id, key.to_owned());
        let of = self.keys.entry(key.to_owned()).or_default();
        of.track = track;
        let (asked, sent, done) = (at, None, false);
        of.tries.insert(
            id,
            Try {
                seat,
                asked,
                sent,
                done,
            },
        );
    }

    pub fn answered(&mut self, id: RequestId, how: Option<Final>) {
        if let Some(found) = self.found(id)
            && let Some(one) = found.tries.get_mut(&id)
        {
            one.done |= how == Some(Final::Done);
        }
    }

    fn found(&mut self, id: RequestId) -> Option<&mut OfKey> {
        self.keys.get_mut(self.by_id.get(&id)?)
    }

    /// A host got it.
    pub fn sent(&mut self, at: Timestamp, id: RequestId, no: u8, host: HostId) {
        let place = self.places.get(&host).copied().unwrap_or_default();
        let Some(of) = self.found(id) else {
            return;
        };
        if let Some(one) = of.tries.get_mut(&id) {
            one.sent.get_or_insert(at);
        }
        let never_ran = false;
        of.runs.push(Run {
            id,
            no,
            at,
            place,
            never_ran,
        });
    }

    /// How it ended there.
    pub fn ended(&mut self, id: RequestId, no: u8, never_ran: bool) {
        if let Some(of) = self.found(id) {
            let runs = of
                .runs
                .iter_mut()
                .filter(|run| run.id == id && run.no == no);
            runs.for_each(|run| run.never_ran = never_ran);
        }
    }

    /// `end`: what is asked from then on was done before.
    pub fn count(&self, end: Timestamp) -> Count {
        let mut count = Count {
            keys: self.keys.len() as u64,
            ..Count::default()
        };
        let mut waits = Vec::new();
        for of in self.keys.values() {
            for one in of.tries.values() {
                count.tries += 1;
                count.done += u64::from(one.done);
                count.from_record += u64::from(one.done && one.sent.is_none());
                if one.asked >= end {
                    count.asked_at_end += 1;
                    count.unknown_at_end += u64::from(one.sent.is_some());
                } else {
                    waits.extend(one.sent.map(|sent| sent.since(one.asked).0));
                }
            }
            self.repeats(of, &mut count);
        }
        waits.sort_unstable();
        let at = |part: f64| {
            let nth = ((waits.len() as f64 * part) as usize).min(waits.len().saturating_sub(1));
            waits.get(nth).map_or(0.0, |&us| us as f64 / 1e3)
        };
        (count.wait_ms_p50, count.wait_ms_p99) = (at(0.5), at(0.99));
        count
    }

    fn repeats(&self, of: &OfKey, count: &mut Count) {
        let Some(Effect::Keyed { group, window }) = self
            .tracks
            .get(usize::from(of.track.0))
            .map(|track| track.effect)
        else {
            return;
        };
        let mut runs: Vec<&Run> = of.runs.iter().filter(|run| !run.never_ran).collect();
        runs.sort_by_key(|run| run.at);
        let Some((first, rest)) = runs.split_first() else {
            return;
        };
        let seat = |run: &Run| of.tries.get(&run.id).map(|one| one.seat);
        let before = count.forbidden_repeats;
        for run in rest {
            let near = group.covers(Some(first.place), run.place);
            if near && run.at.since(first.at) <= window + self.slack {
                count.dropped_repeats += 1;
                count.by_another += u64::from(seat(run) != seat(first));
            } else {
                count.forbidden_repeats += 1;
            }
        }
        if count.forbidden_repeats > before && count.stories.len() < MOST_STORIES {
            count.stories.push(of.story());
        }
    }
}
