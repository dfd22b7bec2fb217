//! Keyed requests that this dispatcher sent itself. What it knows of them needs no answer of a
//! store or of another dispatcher.

use super::records::{Completion, Key};
use std::collections::{BTreeMap, BTreeSet};
use trailproxy::interface::PeerAttempt;
use trailproxy::units::*;

/// The largest number of requests that are remembered. Of more, the earliest is forgotten.
const MAX_REQUESTS: usize = 32_768;

/// How far a request has come of which an attempt was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Progress {
    /// It has no final answer yet.
    Open,
    /// It is done; the answer, if it is small.
    Done(Option<Vec<u8>>),
    /// It ended, and it is not known whether it ran.
    Unknown,
}

/// A request of which an attempt was sent.
#[derive(Clone, Debug)]
struct SentRequest {
    first_sent: Timestamp,
    /// Where it may have run; `None`: at more than one location.
    location: Option<(ZoneId, CellId)>,
    progress: Progress,
}

/// What this dispatcher knows of its other requests under one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnKnowledge {
    /// One of them is still open.
    Open,
    /// One of them is done, with this answer.
    Answer(Vec<u8>),
    /// At least one of them may have run.
    MayHaveRun,
}

/// The keyed requests of which this dispatcher sent an attempt.
#[derive(Clone, Debug)]
pub struct SentRequests {
    retention: TimeSpan,
    requests: BTreeMap<(Key, RequestId), SentRequest>,
    expiries: BTreeSet<(Timestamp, Key, RequestId)>,
}

impl SentRequests {
    /// None were sent yet. Each is remembered for `retention` from its first attempt on.
    pub fn new(retention: TimeSpan) -> SentRequests {
        SentRequests {
            retention,
            requests: BTreeMap::new(),
            expiries: BTreeSet::new(),
        }
    }

    /// Handles an attempt of a request that is being sent.
    pub fn on_attempt_sent(
        &mut self,
        now: Timestamp,
        key: Key,
        id: RequestId,
        location: (ZoneId, CellId),
    ) {
        self.drop_expired(now);
        if let Some(sent) = self.requests.get_mut(&(key, id)) {
            sent.location = sent.location.filter(|&known| known == location);
            return;
        }
        if self.requests.len() >= MAX_REQUESTS
            && let Some((_, key, id)) = self.expiries.pop_first()
        {
            self.requests.remove(&(key, id));
        }
        let sent = SentRequest {
            first_sent: now,
            location: Some(location),
            progress: Progress::Open,
        };
        self.requests.insert((key, id), sent);
        self.expiries.insert((now + self.retention, key, id));
    }

    /// Handles the final answer of a request.
    pub fn on_request_ended(&mut self, key: Key, id: RequestId, completion: &Completion) {
        let Some(sent) = self.requests.get_mut(&(key, id)) else {
            return;
        };
        match completion {
            Completion::Done(body) => sent.progress = Progress::Done(body.clone()),
            Completion::Unknown => sent.progress = Progress::Unknown,
            Completion::NeverRan => {
                let expires_at = sent.first_sent + self.retention;
                self.expiries.remove(&(expires_at, key, id));
                self.requests.remove(&(key, id));
            }
        }
    }

    /// Other requests with this key.
    fn others(&self, key: Key, own: RequestId) -> impl Iterator<Item = &SentRequest> {
        let first = (key, RequestId(0));
        let last = (key, RequestId(u64::MAX));
        let with_key = self.requests.range(first..=last);
        with_key
            .filter(move |((_, id), _)| *id != own)
            .map(|(_, sent)| sent)
    }

    /// What is known of other requests with the key of this one; `None`: none of them ran.
    pub fn knowledge(&self, now: Timestamp, key: Key, own: RequestId) -> Option<OwnKnowledge> {
        let recent = |sent: &&SentRequest| now.since(sent.first_sent) < self.retention;
        let mut knowledge = None;
        for sent in self.others(key, own).filter(recent) {
            match &sent.progress {
                Progress::Done(Some(body)) => return Some(OwnKnowledge::Answer(body.clone())),
                Progress::Open => knowledge = Some(OwnKnowledge::Open),
                Progress::Done(None) | Progress::Unknown => {
                    knowledge = knowledge.or(Some(OwnKnowledge::MayHaveRun));
                }
            }
        }
        knowledge
    }

    /// The earliest attempt of other requests with this key, and where they may have run.
    pub fn earlier_attempt(&self, key: Key, own: RequestId) -> Option<PeerAttempt> {
        let attempt = |sent: &SentRequest| PeerAttempt {
            location: sent.location,
            first_sent: sent.first_sent,
        };
        self.others(key, own).map(attempt).reduce(join_attempts)
    }

    /// When the next request is forgotten.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.expiries.first().map(|&(at, ..)| at)
    }

    /// Forgets requests that no longer matter.
    pub fn drop_expired(&mut self, now: Timestamp) {
        while let Some(&(at, key, id)) = self.expiries.first()
            && at <= now
        {
            self.expiries.pop_first();
            self.requests.remove(&(key, id));
        }
    }
}

/// What two earlier attempts mean together: the earlier time, and any location if they differ.
pub fn join_attempts(one: PeerAttempt, other: PeerAttempt) -> PeerAttempt {
    PeerAttempt {
        location: one.location.filter(|_| one.location == other.location),
        first_sent: one.first_sent.min(other.first_sent),
    }
}
