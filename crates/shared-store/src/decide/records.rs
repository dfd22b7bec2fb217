//! Records of keyed requests: which dispatcher sent an idempotency key first, where and when, and
//! the result.
//!
//! A claim is written before the first attempt, then the location of the first attempt, and finally
//! the result. A claim without a location belongs to a request that may have run anywhere. What is
//! read only ever restricts a request: one with an earlier attempt elsewhere is treated as if it
//! had made that attempt itself, and one about which nothing is known proceeds as it would without
//! a store.

use super::sent_requests::{OwnKnowledge, SentRequests, join_attempts};
use std::collections::BTreeMap;
use trailproxy::interface::PeerAttempt;
use trailproxy::units::*;

/// Hash of the idempotency key that a client sends with all attempts of one request, so that a long
/// key costs no more than a short one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u128);

/// Hashes idempotency keys the same way in all dispatchers of one installation.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyHasher([u8; 32]);

impl KeyHasher {
    /// `installation` is the same for dispatchers that share records, and differs from that of
    /// others.
    pub fn new(installation: &str) -> KeyHasher {
        KeyHasher(blake3::derive_key(
            "trailproxy records of keyed accesses, 1",
            installation.as_bytes(),
        ))
    }

    /// The first 128 bits of a keyed BLAKE3 hash of class and idempotency key. Nobody can find two
    /// idempotency keys with the same hash, so no client reaches the record of another.
    ///
    /// ```
    /// use trailproxy::units::ClassId;
    /// use trailproxy_shared_store::decide::records::KeyHasher;
    /// let (here, there) = (KeyHasher::new("a/"), KeyHasher::new("b/"));
    /// assert_eq!(here.key(ClassId(1), "m"), KeyHasher::new("a/").key(ClassId(1), "m"));
    /// assert_ne!(here.key(ClassId(1), "m"), here.key(ClassId(2), "m"));
    /// assert_ne!(here.key(ClassId(1), "m"), there.key(ClassId(1), "m"));
    /// ```
    pub fn key(&self, class: ClassId, idempotency_key: &str) -> Key {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher
            .update(&class.0.to_le_bytes())
            .update(idempotency_key.as_bytes());
        let mut bytes = [0; 16];
        hasher.finalize_xof().fill(&mut bytes);
        Key(u128::from_le_bytes(bytes))
    }
}

/// State of a record in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordStatus {
    /// An attempt may be sent at any moment; its location is not recorded yet.
    Claimed,
    /// An attempt was sent.
    Sent,
    /// The request was done.
    Done,
    /// The dispatcher finished without knowing whether the request ran.
    Unknown,
}

/// What the store knows of a key.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// State of the request.
    pub status: RecordStatus,
    /// Location of the first attempt, if it is recorded.
    pub location: Option<(ZoneId, CellId)>,
    /// Time since the first attempt was claimed, by the store's clock.
    pub age: TimeSpan,
    /// The answer, where it is small enough to be kept.
    pub body: Option<Vec<u8>>,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Completion {
    /// It was done; with the answer, where that is small enough.
    Done(Option<Vec<u8>>),
    /// It is proved that none of its attempts ran.
    NeverRan,
    /// It is not known whether an attempt ran.
    Unknown,
}

/// What a request that waited for the store does now.
#[derive(Clone, Debug, PartialEq)]
pub enum RecordDecision {
    /// It proceeds in the ordinary way, restricted by what is known of it.
    Proceed,
    /// It has been done before; this is the answer.
    Answer(Vec<u8>),
}

/// Shares of the time left until a request's target: how long it may wait for the store, and how
/// long for the same key at another dispatcher to finish. More lowers the service, less finds fewer
/// records.
const WAIT_SHARE_OF_TARGET: f64 = 0.02;
const JOIN_SHARE_OF_TARGET: f64 = 0.25;
/// First and longest interval between two questions of a request that waits for another dispatcher.
const FIRST_JOIN_INTERVAL: TimeSpan = TimeSpan::from_millis(10);
const MAX_JOIN_INTERVAL: TimeSpan = TimeSpan::from_millis(160);
/// How late a dispatcher looks at a deadline although it is run in time: the timers of its runtime
/// have a resolution of a millisecond.
const MAX_TIMER_DELAY: TimeSpan = TimeSpan::from_millis(2);

/// Whether a dispatcher that looks at a deadline at `now` was run in time. One that was not can't
/// tell its own delay from that of others.
pub(super) fn is_in_time(now: Timestamp, deadline: Timestamp) -> bool {
    now.since(deadline) <= MAX_TIMER_DELAY
}

/// By how much the clocks of a store and of its replacement may differ.
pub const MAX_CLOCK_DIFFERENCE: TimeSpan = TimeSpan::from_millis(500);
/// Longer answers are not kept.
pub const MAX_BODY_BYTES: usize = 512;

/// Progress of a request with the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Waits for the result of the claim.
    Claiming,
    /// Another dispatcher is handling the key; the request waits for it.
    Joining {
        ask_again_at: Timestamp,
        interval: TimeSpan,
    },
    /// Another request of this dispatcher has the key; this one waits for it, whatever the store
    /// says.
    JoiningOwn {
        look_again_at: Timestamp,
        interval: TimeSpan,
    },
    /// Passed on to the dispatcher's decisions.
    Released,
}

impl Phase {
    /// Whether a request waits for the store or for another dispatcher.
    fn waits_for_others(self) -> bool {
        matches!(self, Phase::Claiming | Phase::Joining { .. })
    }

    /// How long a request waits until it is looked at again.
    fn next_interval(self) -> TimeSpan {
        match self {
            Phase::Joining { interval, .. } | Phase::JoiningOwn { interval, .. } => {
                interval.mul_f64(2.0).min(MAX_JOIN_INTERVAL)
            }
            Phase::Claiming | Phase::Released => FIRST_JOIN_INTERVAL,
        }
    }
}

/// One keyed request of this dispatcher.
#[derive(Clone, Debug)]
struct OpenRequest {
    key: Key,
    phase: Phase,
    /// The longest wait for the first answer.
    wait: TimeSpan,
    /// Time at which it proceeds without an answer.
    wait_until: Timestamp,
    join_until: Timestamp,
    is_claimed: bool,
    location: Option<(ZoneId, CellId)>,
    earlier_attempt: Option<PeerAttempt>,
}

/// The open keyed requests of this dispatcher.
#[derive(Clone, Debug)]
pub struct Records {
    requests: BTreeMap<RequestId, OpenRequest>,
    sent: SentRequests,
    /// When each request is to be looked at again.
    deadlines: std::collections::BTreeSet<(Timestamp, RequestId)>,
}

/// A step that the caller has to carry out for a request.
#[derive(Clone, Debug, PartialEq)]
pub enum RecordStep {
    /// Send a claim for its key to the store.
    Claim(RequestId, Key),
    /// Let it continue.
    Decided(RequestId, RecordDecision),
}

impl Records {
    /// No requests. `retention` is how long a request that was sent matters.
    pub fn new(retention: TimeSpan) -> Records {
        Records {
            requests: BTreeMap::new(),
            sent: SentRequests::new(retention),
            deadlines: std::collections::BTreeSet::new(),
        }
    }

    /// Number of open requests.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// The key of an open request.
    pub fn key(&self, id: RequestId) -> Option<Key> {
        self.requests.get(&id).map(|request| request.key)
    }

    /// Whether the store confirmed that no other dispatcher has its key.
    pub fn is_claimed(&self, id: RequestId) -> bool {
        self.requests
            .get(&id)
            .is_some_and(|request| request.is_claimed)
    }

    /// Whether it waits for the store.
    pub fn is_waiting(&self, id: RequestId) -> bool {
        self.requests
            .get(&id)
            .is_some_and(|request| request.phase != Phase::Released)
    }

    /// The attempt that another request made under the key of this request, here or at another
    /// dispatcher.
    pub fn earlier_attempt(&self, id: RequestId) -> Option<PeerAttempt> {
        let request = self.requests.get(&id)?;
        let here = self.sent.earlier_attempt(request.key, id);
        let elsewhere = request.earlier_attempt;
        here.into_iter().chain(elsewhere).reduce(join_attempts)
    }

    /// The attempt that another dispatcher made under the key of this request.
    pub fn attempt_elsewhere(&self, id: RequestId) -> Option<PeerAttempt> {
        self.requests.get(&id)?.earlier_attempt
    }

    /// Handles a new request. It waits for at most `wait`; with `None` it proceeds at once.
    pub fn on_request(
        &mut self,
        now: Timestamp,
        id: RequestId,
        key: Key,
        target: Timestamp,
        wait: Option<TimeSpan>,
    ) -> Vec<RecordStep> {
        let left = target.since(now);
        let wait = wait.map_or(TimeSpan::ZERO, |longest| {
            longest.min(left.mul_f64(WAIT_SHARE_OF_TARGET))
        });
        let wait_until = now + wait;
        let waits = wait_until > now;
        let request = OpenRequest {
            key,
            phase: if waits {
                Phase::Claiming
            } else {
                Phase::Released
            },
            wait,
            wait_until,
            join_until: now + left.mul_f64(JOIN_SHARE_OF_TARGET),
            is_claimed: false,
            location: None,
            earlier_attempt: None,
        };
        self.requests.insert(id, request);
        if waits {
            self.deadlines.insert((wait_until, id));
        }
        let mut steps = vec![RecordStep::Claim(id, key)];
        if let Some(known) = self.use_own_knowledge(now, id) {
            steps.extend(known);
        } else if !waits {
            steps.push(RecordStep::Decided(id, RecordDecision::Proceed));
        }
        steps
    }

    /// Lets a request wait for another one of this dispatcher under the same key, or be answered
    /// as that one was. `None`: nothing of the kind is known.
    fn use_own_knowledge(&mut self, now: Timestamp, id: RequestId) -> Option<Vec<RecordStep>> {
        let request = self.requests.get_mut(&id)?;
        match self.sent.knowledge(now, request.key, id)? {
            OwnKnowledge::Answer(body) => {
                request.phase = Phase::Released;
                Some(vec![RecordStep::Decided(id, RecordDecision::Answer(body))])
            }
            OwnKnowledge::Open if now < request.join_until => {
                let interval = request.phase.next_interval();
                let look_again_at = (now + interval).min(request.join_until);
                request.phase = Phase::JoiningOwn {
                    look_again_at,
                    interval,
                };
                self.deadlines.insert((look_again_at, id));
                Some(Vec::new())
            }
            OwnKnowledge::Open | OwnKnowledge::MayHaveRun => None,
        }
    }

    /// Handles a successful claim: no other dispatcher has the key.
    pub fn on_claimed(&mut self, id: RequestId) -> Vec<RecordStep> {
        let Some(request) = self.requests.get_mut(&id) else {
            return Vec::new();
        };
        request.is_claimed = true;
        self.proceed(id)
    }

    /// Handles the release of the key by the dispatcher that had it. The request never ran there,
    /// so nothing restricts this one any more.
    pub fn on_released(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.earlier_attempt = None;
        }
    }

    /// Handles the record of another dispatcher, received at `now` in answer to a question sent at
    /// `asked_at`.
    pub fn on_found(
        &mut self,
        now: Timestamp,
        asked_at: Timestamp,
        id: RequestId,
        record: Record,
    ) -> Vec<RecordStep> {
        let Some(request) = self.requests.get_mut(&id) else {
            return Vec::new();
        };
        // Assumed to be as old as possible, so that its window ends here no later than at the
        // hosts.
        let first_sent = Timestamp(
            asked_at
                .0
                .saturating_sub((record.age + MAX_CLOCK_DIFFERENCE).0),
        );
        let location = record.location;
        request.earlier_attempt = Some(PeerAttempt {
            location,
            first_sent,
        });
        // A request that was passed on is never answered from the record.
        if request.phase == Phase::Released {
            return Vec::new();
        }
        match (record.status, record.body) {
            (RecordStatus::Done, Some(body)) => {
                request.phase = Phase::Released;
                vec![RecordStep::Decided(id, RecordDecision::Answer(body))]
            }
            _ if matches!(request.phase, Phase::JoiningOwn { .. }) => Vec::new(),
            (RecordStatus::Claimed | RecordStatus::Sent, _) if now < request.join_until => {
                let interval = request.phase.next_interval();
                let ask_again_at = (now + interval).min(request.join_until);
                request.phase = Phase::Joining {
                    ask_again_at,
                    interval,
                };
                self.deadlines.insert((ask_again_at, id));
                Vec::new()
            }
            _ => self.proceed(id),
        }
    }

    /// The next step of a request whose wait for the first answer is over. If this dispatcher was not
    /// run in time, its question may have left only now, and it can't tell that the others are slow:
    /// the wait begins anew, and ends for good when a wait for another dispatcher would.
    fn end_wait(&mut self, now: Timestamp, id: RequestId) -> Vec<RecordStep> {
        let Some(request) = self.requests.get_mut(&id) else {
            return Vec::new();
        };
        if is_in_time(now, request.wait_until) || now >= request.join_until {
            return self.proceed(id);
        }
        request.wait_until = (now + request.wait).min(request.join_until);
        self.deadlines.insert((request.wait_until, id));
        Vec::new()
    }

    /// The next step of a request that has waited for another dispatcher.
    fn ask_again(&mut self, now: Timestamp, id: RequestId) -> Vec<RecordStep> {
        let Some(request) = self.requests.get(&id) else {
            return Vec::new();
        };
        if now >= request.join_until {
            return self.proceed(id);
        }
        // Without an answer it proceeds when the time to wait for the other dispatcher is over.
        self.deadlines.insert((request.join_until, id));
        vec![RecordStep::Claim(id, request.key)]
    }

    /// The next step of a request that has waited for another one of this dispatcher.
    fn look_again(&mut self, now: Timestamp, id: RequestId) -> Vec<RecordStep> {
        if let Some(known) = self.use_own_knowledge(now, id) {
            return known;
        }
        let Some(request) = self.requests.get_mut(&id) else {
            return Vec::new();
        };
        // From here on it is treated as one that waited for another dispatcher.
        request.phase = Phase::Joining {
            ask_again_at: now,
            interval: FIRST_JOIN_INTERVAL,
        };
        match self.sent.knowledge(now, request.key, id) {
            Some(_) => self.proceed(id),
            None => self.ask_again(now, id),
        }
    }

    /// Lets all waiting requests proceed without the store.
    pub fn proceed_all(&mut self) -> Vec<RecordStep> {
        let waiting = self
            .requests
            .iter()
            .filter(|(_, request)| request.phase.waits_for_others());
        let waiting: Vec<RequestId> = waiting.map(|(&id, _)| id).collect();
        waiting
            .into_iter()
            .flat_map(|id| self.proceed(id))
            .collect()
    }

    /// Lets a request proceed whose question can't be answered.
    pub fn proceed(&mut self, id: RequestId) -> Vec<RecordStep> {
        let waits = |request: &&mut OpenRequest| request.phase.waits_for_others();
        match self.requests.get_mut(&id).filter(waits) {
            Some(request) => {
                request.phase = Phase::Released;
                vec![RecordStep::Decided(id, RecordDecision::Proceed)]
            }
            None => Vec::new(),
        }
    }

    /// Handles the sending of an attempt. Returns the key if it is the first one, whose location
    /// has to be recorded.
    pub fn on_attempt_sent(
        &mut self,
        now: Timestamp,
        id: RequestId,
        location: (ZoneId, CellId),
    ) -> Option<Key> {
        let request = self.requests.get_mut(&id)?;
        self.sent.on_attempt_sent(now, request.key, id, location);
        let first = request.location.is_none() && request.earlier_attempt.is_none();
        request.location = request.location.or(Some(location));
        first.then_some(request.key)
    }

    /// Handles the final answer. Returns the key and the location of the first attempt if the
    /// result has to be recorded.
    pub fn on_request_ended(
        &mut self,
        id: RequestId,
        completion: &Completion,
    ) -> Option<(Key, Option<(ZoneId, CellId)>)> {
        let request = self.requests.remove(&id)?;
        self.sent.on_request_ended(request.key, id, completion);
        // The result of an attempt that another dispatcher sent first is recorded by that one,
        // unless this one learned that the request is done.
        let others =
            request.earlier_attempt.is_some() && !matches!(completion, Completion::Done(_));
        (!others).then_some((
            request.key,
            request
                .location
                .or(request.earlier_attempt.and_then(|e| e.location)),
        ))
    }

    /// The next time at which [`Records::advance`] has work to do.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        let open = self.deadlines.first().map(|&(at, _)| at);
        open.into_iter().chain(self.sent.next_deadline()).min()
    }

    /// Returns the steps that are due by now.
    pub fn advance(&mut self, now: Timestamp) -> Vec<RecordStep> {
        self.sent.drop_expired(now);
        let mut steps = Vec::new();
        while let Some(&(at, id)) = self.deadlines.first().filter(|(at, _)| *at <= now) {
            self.deadlines.remove(&(at, id));
            let Some(request) = self.requests.get_mut(&id) else {
                continue;
            };
            match request.phase {
                Phase::Claiming if now >= request.wait_until => {
                    steps.extend(self.end_wait(now, id))
                }
                Phase::Joining { ask_again_at, .. } if now >= ask_again_at => {
                    steps.extend(self.ask_again(now, id));
                }
                Phase::JoiningOwn { look_again_at, .. } if now >= look_again_at => {
                    steps.extend(self.look_again(now, id));
                }
                _ => {}
            }
        }
        steps
    }
}
