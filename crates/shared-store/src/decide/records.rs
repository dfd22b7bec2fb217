//! Records of fingerprinted accesses: who sent a key first, where, when, and what came of it.
//!
//! A claim is written before the first hand-off, the place of the first hand-off behind it, and the ending last. A claim
//! without a place is one that may have run anywhere. What is read is only ever used to allow less: an access with an
//! earlier run elsewhere is bound by it as if it had made that hand-off itself, and an access about which nothing is
//! known goes the way it would without a store.

use std::collections::BTreeMap;
use trailproxy::interface::PeerAttempt;
use trailproxy::units::*;

/// A client's key for all tries of one request, folded so that a long one costs no more than a short one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u128);

/// Folds clients' keys the same way in all dispatchers of one installation.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyHasher([u8; 32]);

impl KeyHasher {
    /// `installation` is the same wherever records are to be found again, and another for others.
    pub fn new(installation: &str) -> KeyHasher {
        KeyHasher(blake3::derive_key(
            "trailproxy records of keyed accesses, 1",
            installation.as_bytes(),
        ))
    }

    /// BLAKE3, keyed, the first 128 bits of it: nobody finds two marks of one key, so no client reaches another's record.
    ///
    /// ```
    /// use trailproxy::units::ClassId;
    /// use trailproxy_shared_store::decide::records::KeyHasher;
    /// let (here, there) = (KeyHasher::new("a/"), KeyHasher::new("b/"));
    /// assert_eq!(here.key(ClassId(1), "m"), KeyHasher::new("a/").key(ClassId(1), "m"));
    /// assert_ne!(here.key(ClassId(1), "m"), here.key(ClassId(2), "m"));
    /// assert_ne!(here.key(ClassId(1), "m"), there.key(ClassId(1), "m"));
    /// ```
    pub fn key(&self, track: ClassId, mark: &str) -> Key {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher
            .update(&track.0.to_le_bytes())
            .update(mark.as_bytes());
        let mut bytes = [0; 16];
        hasher.finalize_xof().fill(&mut bytes);
        Key(u128::from_le_bytes(bytes))
    }
}

/// How a record stands in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordStatus {
    /// It may go out any moment, and where to is not told yet.
    Claimed,
    /// It went out.
    Sent,
    Done,
    /// Its dispatcher ended without knowing whether it ran.
    Unknown,
}

/// What the store knows of a key.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    pub status: RecordStatus,
    pub location: Option<(ZoneId, CellId)>,
    /// How long ago the first hand-off was claimed, by the store's clock.
    pub age: TimeSpan,
    /// The answer, where it is small enough to be kept.
    pub body: Option<Vec<u8>>,
}

/// What came of an access in the end.
#[derive(Clone, Debug, PartialEq)]
pub enum Completion {
    /// With the answer, where it is small enough.
    Done(Option<Vec<u8>>),
    /// It is proved that none of its hand-offs ran.
    NeverRan,
    Unknown,
}

/// What an access that waited for the store does now.
#[derive(Clone, Debug, PartialEq)]
pub enum RecordDecision {
    /// It goes the ordinary way, bound by what is known of it.
    Proceed,
    /// It has been done: this is the answer.
    Answer(Vec<u8>),
}

/// A part of the time until it is due that an access may wait for the store, and, where another dispatcher has its
/// key under way, for that to end. More costs service, less finds fewer.
const WAIT_PART: f64 = 0.02;
const JOIN_PART: f64 = 0.25;
/// How often one that joins asks again, at first and at most.
const JOIN_EVERY: TimeSpan = TimeSpan::from_millis(10);
const JOIN_SLOWEST: TimeSpan = TimeSpan::from_millis(160);
/// By how much the clocks of two stores, of which one takes the other's place, may differ.
pub const CLOCKS_APART: TimeSpan = TimeSpan::from_millis(500);
/// Longer answers are not kept.
pub const MAX_BODY_BYTES: usize = 512;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// It waits for the claim's answer.
    Asking,
    /// Another has it under way.
    Joining { again: Timestamp, every: TimeSpan },
    /// It is with the decisions.
    Gone,
}

#[derive(Clone, Debug)]
struct Own {
    key: Key,
    phase: Phase,
    /// It goes without an answer then.
    until: Timestamp,
    join_until: Timestamp,
    claimed: bool,
    place: Option<(ZoneId, CellId)>,
    earlier: Option<PeerAttempt>,
}

/// The keyed accesses that are open here.
#[derive(Clone, Debug, Default)]
pub struct Records {
    own: BTreeMap<RequestId, Own>,
    /// When each is to be looked at.
    timed: std::collections::BTreeSet<(Timestamp, RequestId)>,
}

/// What to do about an access.
#[derive(Clone, Debug, PartialEq)]
pub enum RecordStep {
    Claim(RequestId, Key),
    Decided(RequestId, RecordDecision),
}

impl Records {
    pub fn open_requests(&self) -> usize {
        self.own.len()
    }

    pub fn key(&self, id: RequestId) -> Option<Key> {
        self.own.get(&id).map(|own| own.key)
    }

    /// Whether the store said that no other has its key.
    pub fn is_claimed(&self, id: RequestId) -> bool {
        self.own.get(&id).is_some_and(|own| own.claimed)
    }

    /// Whether it waits for the store.
    pub fn is_waiting(&self, id: RequestId) -> bool {
        self.own
            .get(&id)
            .is_some_and(|own| own.phase != Phase::Gone)
    }

    /// What another dispatcher did under the key of this access.
    pub fn earlier_attempt(&self, id: RequestId) -> Option<PeerAttempt> {
        self.own.get(&id)?.earlier
    }

    /// An access comes. It waits where `wait` is given and the store is trusted, for no longer than that.
    pub fn on_request(
        &mut self,
        now: Timestamp,
        id: RequestId,
        key: Key,
        due: Timestamp,
        wait: Option<TimeSpan>,
    ) -> Vec<RecordStep> {
        let left = due.since(now);
        let until = now + wait.map_or(TimeSpan::ZERO, |most| most.min(left.mul_f64(WAIT_PART)));
        let waits = until > now;
        let own = Own {
            key,
            phase: if waits { Phase::Asking } else { Phase::Gone },
            until,
            join_until: now + left.mul_f64(JOIN_PART),
            claimed: false,
            place: None,
            earlier: None,
        };
        self.own.insert(id, own);
        if waits {
            self.timed.insert((until, id));
        }
        let mut steps = vec![RecordStep::Claim(id, key)];
        if !waits {
            steps.push(RecordStep::Decided(id, RecordDecision::Proceed));
        }
        steps
    }

    /// The claim stands: no other has this key.
    pub fn on_claimed(&mut self, id: RequestId) -> Vec<RecordStep> {
        let Some(own) = self.own.get_mut(&id) else {
            return Vec::new();
        };
        own.claimed = true;
        self.proceed(id)
    }

    /// Whoever had it before has let go of it, and it never ran: nothing binds this access any more.
    pub fn on_released(&mut self, id: RequestId) {
        if let Some(own) = self.own.get_mut(&id) {
            own.earlier = None;
        }
    }

    /// Another has it, or had it: told at `now` to a question that went out at `asked`.
    pub fn on_found(
        &mut self,
        now: Timestamp,
        asked: Timestamp,
        id: RequestId,
        record: Record,
    ) -> Vec<RecordStep> {
        let Some(own) = self.own.get_mut(&id) else {
            return Vec::new();
        };
        // Taken for as old as it can be, so that its window ends here no later than at the hosts.
        let first_sent = Timestamp(asked.0.saturating_sub((record.age + CLOCKS_APART).0));
        let location = record.location;
        own.earlier = Some(PeerAttempt {
            location,
            first_sent,
        });
        // An answer from the record is never given to one that has gone to the decisions.
        if own.phase == Phase::Gone {
            return Vec::new();
        }
        match (record.status, record.body) {
            (RecordStatus::Done, Some(body)) => {
                own.phase = Phase::Gone;
                vec![RecordStep::Decided(id, RecordDecision::Answer(body))]
            }
            (RecordStatus::Claimed | RecordStatus::Sent, _) if now < own.join_until => {
                let every = match own.phase {
                    Phase::Joining { every, .. } => every.mul_f64(2.0).min(JOIN_SLOWEST),
                    _ => JOIN_EVERY,
                };
                let again = (now + every).min(own.join_until);
                own.phase = Phase::Joining { again, every };
                self.timed.insert((again, id));
                Vec::new()
            }
            _ => self.proceed(id),
        }
    }

    /// Whoever waits goes on without the store.
    pub fn proceed_all(&mut self) -> Vec<RecordStep> {
        let waiting = self.own.iter().filter(|(_, own)| own.phase != Phase::Gone);
        let waiting: Vec<RequestId> = waiting.map(|(&id, _)| id).collect();
        waiting
            .into_iter()
            .flat_map(|id| self.proceed(id))
            .collect()
    }

    /// One whose question can't be answered goes on without.
    pub fn proceed(&mut self, id: RequestId) -> Vec<RecordStep> {
        let waits = |own: &&mut Own| own.phase != Phase::Gone;
        match self.own.get_mut(&id).filter(waits) {
            Some(own) => {
                own.phase = Phase::Gone;
                vec![RecordStep::Decided(id, RecordDecision::Proceed)]
            }
            None => Vec::new(),
        }
    }

    /// A hand-off goes out; `Some`: it is the first, and the store is to know where it went.
    pub fn on_attempt_sent(&mut self, id: RequestId, place: (ZoneId, CellId)) -> Option<Key> {
        let own = self.own.get_mut(&id)?;
        let first = own.place.is_none() && own.earlier.is_none();
        own.place = own.place.or(Some(place));
        first.then_some(own.key)
    }

    /// It has its final answer. `Some`: the store is to know how it ended; with where it went first.
    pub fn on_request_ended(
        &mut self,
        id: RequestId,
        came: &Completion,
    ) -> Option<(Key, Option<(ZoneId, CellId)>)> {
        let own = self.own.remove(&id)?;
        // What another sent first is that one's to end, unless this one found out that it is done.
        let others = own.earlier.is_some() && !matches!(came, Completion::Done(_));
        (!others).then_some((own.key, own.place.or(own.earlier.and_then(|e| e.location))))
    }

    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.timed.first().map(|&(at, _)| at)
    }

    /// What is due by now.
    pub fn advance(&mut self, now: Timestamp) -> Vec<RecordStep> {
        let mut steps = Vec::new();
        while let Some(&(at, id)) = self.timed.first().filter(|(at, _)| *at <= now) {
            self.timed.remove(&(at, id));
            let Some(own) = self.own.get_mut(&id) else {
                continue;
            };
            match own.phase {
                Phase::Asking if now >= own.until => steps.extend(self.proceed(id)),
                Phase::Joining { again, .. } if now >= again => {
                    if now >= own.join_until {
                        steps.extend(self.proceed(id));
                    } else {
                        steps.push(RecordStep::Claim(id, own.key));
                        // Without an answer it goes when the time to join is over.
                        self.timed.insert((own.join_until, id));
                    }
                }
                _ => {}
            }
        }
        steps
    }
}
