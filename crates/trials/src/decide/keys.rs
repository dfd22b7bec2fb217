//! The history of each idempotency key, as clients and hosts saw it: which dispatcher was asked, what it sent to hosts,
//! and what may have run there.

use serde::Serialize;
use std::collections::BTreeMap;
use trailproxy::interface::{ClassSettings, Effect};
use trailproxy::units::*;
use trailproxy_lab::rules::Final;
use trailproxy_standins::shape::DAWN;

/// One request of a client.
#[derive(Clone, Copy, Debug)]
struct ClientRequest {
    dispatcher: usize,
    requested_at: Timestamp,
    /// When a host first received it.
    sent_at: Option<Timestamp>,
    /// When its client received the answer that it was done.
    done_at: Option<Timestamp>,
}

/// One attempt of a request that a host received.
#[derive(Clone, Copy, Debug)]
struct HostAttempt {
    id: RequestId,
    no: u8,
    at: Timestamp,
    location: (ZoneId, CellId),
    /// Whether the host said that it did not run the request.
    never_ran: bool,
}

/// All requests with one key and what hosts received of them.
#[derive(Clone, Debug, Default)]
struct KeyHistory {
    class: ClassId,
    requests: BTreeMap<RequestId, ClientRequest>,
    attempts: Vec<HostAttempt>,
}

impl KeyHistory {
    /// Whether a client had received the answer to a request with this key by then.
    fn is_done_before(&self, at: Timestamp) -> bool {
        let mut done_times = self.requests.values().filter_map(|request| request.done_at);
        done_times.any(|done_at| done_at <= at)
    }

    /// Describes which dispatchers were asked and what hosts received, in order of time, in seconds of the run.
    fn describe(&self) -> String {
        let at = |at: Timestamp| at.since(DAWN).as_secs_f64();
        let requests = self.requests.values().map(|request| {
            let done = request
                .done_at
                .map(|done_at| format!(", done at {:.3}", at(done_at)));
            let done = done.unwrap_or_default();
            (
                request.requested_at,
                format!(
                    "{:.3} seat {} is asked{done}",
                    at(request.requested_at),
                    request.dispatcher
                ),
            )
        });
        let attempts = self.attempts.iter().map(|attempt| {
            let seat = self
                .requests
                .get(&attempt.id)
                .map_or(usize::MAX, |request| request.dispatcher);
            let ran = if attempt.never_ran { ", never ran" } else { "" };
            let (zone, cell) = (attempt.location.0.0, attempt.location.1.0);
            let text = format!(
                "{:.3} seat {seat} sends to {zone}/{cell}{ran}",
                at(attempt.at)
            );
            (attempt.at, text)
        });
        let mut all: Vec<_> = requests.chain(attempts).collect();
        all.sort_by_key(|line| line.0);
        let all: Vec<String> = all.into_iter().map(|line| line.1).collect();
        all.join("; ")
    }
}

/// What was counted in one run.
#[derive(Clone, Debug, Default, Serialize, PartialEq)]
pub struct Count {
    /// Distinct keys.
    pub keys: u64,
    /// Requests with keys, the first of a key and its repeats alike.
    pub tries: u64,
    /// Later attempts that no host drops as repeats: outside the repeat group of the first attempt, or past its window.
    pub forbidden_repeats: u64,
    /// Later attempts that hosts drop as repeats.
    pub dropped_repeats: u64,
    /// Dropped repeats that another dispatcher sent than the one that sent the first attempt.
    pub by_another: u64,
    /// Requests that were done with nothing sent to a host: the answer came from a record.
    pub from_record: u64,
    /// Requests that were done.
    pub done: u64,
    /// Time from a client's request to its first attempt, the median; without the requests repeated at the end.
    pub wait_ms_p50: f64,
    /// The same time, the 99th percentile.
    pub wait_ms_p99: f64,
    /// Requests repeated at the end that were sent to a host again.
    pub unknown_at_end: u64,
    /// Requests repeated at the end: those from the end on whose key an earlier request got done.
    pub asked_at_end: u64,
    /// Other requests with keys from the end on: their clients still come again, for none was done before.
    pub open_at_end: u64,
    /// The histories of the first keys that were sent again at the end.
    pub unknown_stories: Vec<String>,
    /// The histories of the first keys with a forbidden repeat, for an engineer who looks for the cause.
    pub stories: Vec<String>,
}

/// Most keys whose history goes into [`Count::stories`].
const MAX_HISTORIES: usize = 8;

/// Counts a request that was asked at the end or later.
fn count_at_end(history: &KeyHistory, request: &ClientRequest, count: &mut Count) {
    if !history.is_done_before(request.requested_at) {
        count.open_at_end += 1;
        return;
    }
    count.asked_at_end += 1;
    if request.sent_at.is_some() {
        count.unknown_at_end += 1;
        if count.unknown_stories.len() < MAX_HISTORIES {
            count.unknown_stories.push(history.describe());
        }
    }
}

/// The histories of all keys of a run. Memory is bounded only by the length of the run.
pub struct Keys {
    classes: Vec<ClassSettings>,
    locations: BTreeMap<HostId, (ZoneId, CellId)>,
    keys: BTreeMap<String, KeyHistory>,
    key_by_request: BTreeMap<RequestId, String>,
    slack: TimeSpan,
}

impl Keys {
    /// Starts with no keys. `slack` is how far the times that two ends of a socket see may differ.
    pub fn new(
        classes: Vec<ClassSettings>,
        locations: BTreeMap<HostId, (ZoneId, CellId)>,
        slack: TimeSpan,
    ) -> Keys {
        Keys {
            classes,
            locations,
            keys: BTreeMap::new(),
            key_by_request: BTreeMap::new(),
            slack,
        }
    }

    /// Records that a client sent a request to a dispatcher.
    pub fn on_request(
        &mut self,
        at: Timestamp,
        id: RequestId,
        key: &str,
        class: ClassId,
        dispatcher: usize,
    ) {
        self.key_by_request.insert(id, key.to_owned());
        let history = self.keys.entry(key.to_owned()).or_default();
        history.class = class;
        let (requested_at, sent_at, done_at) = (at, None, None);
        history.requests.insert(
            id,
            ClientRequest {
                dispatcher,
                requested_at,
                sent_at,
                done_at,
            },
        );
    }

    /// Records the final answer that a client received; `None`: it received none.
    pub fn on_answer(&mut self, at: Timestamp, id: RequestId, answer: Option<Final>) {
        if answer == Some(Final::Done)
            && let Some(history) = self.history_of(id)
            && let Some(request) = history.requests.get_mut(&id)
        {
            request.done_at.get_or_insert(at);
        }
    }

    /// The history of the key of this request.
    fn history_of(&mut self, id: RequestId) -> Option<&mut KeyHistory> {
        self.keys.get_mut(self.key_by_request.get(&id)?)
    }

    /// Records that a host received an attempt of a request.
    pub fn on_attempt_sent(&mut self, at: Timestamp, id: RequestId, no: u8, host: HostId) {
        let location = self.locations.get(&host).copied().unwrap_or_default();
        let Some(history) = self.history_of(id) else {
            return;
        };
        if let Some(request) = history.requests.get_mut(&id) {
            request.sent_at.get_or_insert(at);
        }
        let never_ran = false;
        history.attempts.push(HostAttempt {
            id,
            no,
            at,
            location,
            never_ran,
        });
    }

    /// Records how an attempt ended at its host.
    pub fn on_attempt_ended(&mut self, id: RequestId, no: u8, never_ran: bool) {
        if let Some(history) = self.history_of(id) {
            let attempts = history
                .attempts
                .iter_mut()
                .filter(|attempt| attempt.id == id && attempt.no == no);
            attempts.for_each(|attempt| attempt.never_ran = never_ran);
        }
    }

    /// Counts the run. Requests from `end` on repeat requests that were done before, or are of clients that still come
    /// again because theirs was not.
    pub fn count(&self, end: Timestamp) -> Count {
        let mut count = Count {
            keys: self.keys.len() as u64,
            ..Count::default()
        };
        let mut waits = Vec::new();
        for history in self.keys.values() {
            for request in history.requests.values() {
                count.tries += 1;
                let done = request.done_at.is_some();
                count.done += u64::from(done);
                count.from_record += u64::from(done && request.sent_at.is_none());
                if request.requested_at >= end {
                    count_at_end(history, request, &mut count);
                } else {
                    waits.extend(
                        request
                            .sent_at
                            .map(|sent_at| sent_at.since(request.requested_at).0),
                    );
                }
            }
            self.count_repeats(history, &mut count);
        }
        waits.sort_unstable();
        let quantile_ms = |quantile: f64| {
            let index =
                ((waits.len() as f64 * quantile) as usize).min(waits.len().saturating_sub(1));
            waits.get(index).map_or(0.0, |&us| us as f64 / 1e3)
        };
        (count.wait_ms_p50, count.wait_ms_p99) = (quantile_ms(0.5), quantile_ms(0.99));
        count
    }

    /// Counts each attempt of a key after the first as a dropped or as a forbidden repeat; attempts that never ran are
    /// left out.
    fn count_repeats(&self, history: &KeyHistory, count: &mut Count) {
        let Some(Effect::Keyed { group, window }) = self
            .classes
            .get(usize::from(history.class.0))
            .map(|class| class.effect)
        else {
            return;
        };
        let mut attempts: Vec<&HostAttempt> = history
            .attempts
            .iter()
            .filter(|attempt| !attempt.never_ran)
            .collect();
        attempts.sort_by_key(|attempt| attempt.at);
        let Some((first, rest)) = attempts.split_first() else {
            return;
        };
        let dispatcher = |attempt: &HostAttempt| {
            history
                .requests
                .get(&attempt.id)
                .map(|request| request.dispatcher)
        };
        let before = count.forbidden_repeats;
        for attempt in rest {
            let in_group = group.covers(Some(first.location), attempt.location);
            if in_group && attempt.at.since(first.at) <= window + self.slack {
                count.dropped_repeats += 1;
                count.by_another += u64::from(dispatcher(attempt) != dispatcher(first));
            } else {
                count.forbidden_repeats += 1;
            }
        }
        if count.forbidden_repeats > before && count.stories.len() < MAX_HISTORIES {
            count.stories.push(history.describe());
        }
    }
}
