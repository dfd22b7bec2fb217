//! Claims on the keys of this dispatcher's own requests: the inquiries about them, and the updates
//! that replicas still have to receive.
//!
//! A claim is sent to all replicas of its key at once. It is granted when more than half of them
//! report with certainty that no other claim exists; a single report of another claim is binding.
//! Two members that claim a key at the same time see each other's claim at one replica at least:
//! the one with the higher token yields unless its claim was granted before, and the other one waits
//! for that. Later stages of a claim are sent to
//! the replicas until they acknowledge them.

use super::facts::{Claim, ClaimLocation, Fact, FactId, Stage, Token, claims_of_others, merge};
use super::messages::{InquiryId, PeerId};
use std::collections::{BTreeMap, BTreeSet};
use trailproxy::units::*;
use trailproxy_shared_store::decide::records::{Completion, Key, Record, RecordStatus};

/// The claim of an own request that is in flight.
#[derive(Clone, Debug)]
pub struct OwnClaim {
    /// The key of the request.
    pub key: Key,
    /// The claim as it was last sent.
    pub claim: Claim,
    /// Whether it was withdrawn because a claim with priority was found before any attempt was sent.
    pub yielded: bool,
}

/// One round of inquiries about a key.
#[derive(Clone, Debug)]
struct Inquiry {
    id: RequestId,
    asked_at: Timestamp,
    /// Replicas that have not answered.
    unanswered: BTreeSet<PeerId>,
    /// Replicas that are asked as soon as one of the others is not certain.
    reserve: Vec<PeerId>,
    /// How many have to be certain.
    required: usize,
    sure: usize,
    /// Whether enough replicas were certain before any other claim was found.
    granted: bool,
    claims: Vec<Claim>,
}

/// What the answers so far mean for a request.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimOutcome {
    /// Not decided yet.
    Pending,
    /// No other member has claimed the key.
    Granted,
    /// Another member claims or claimed the key, according to answers to an inquiry of this time.
    Found(Timestamp, Record),
    /// All replicas have answered, and too few are certain.
    Unsure,
}

/// An update of a claim that replicas still have to receive.
#[derive(Clone, Debug)]
struct PendingUpdate {
    fact: Fact,
    /// The replicas that have not acknowledged it; `None`: the replicas at the time of sending.
    to: Option<BTreeSet<PeerId>>,
    at: Timestamp,
    delay: TimeSpan,
    inquiry_id: InquiryId,
}

/// Inquiries in flight at once. Further requests continue as if there were no other members.
const MAX_INQUIRIES: usize = 2_048;
/// Updates that are held at once; further ones are dropped.
const MAX_PENDING_UPDATES: usize = 8_192;
/// How long answers to an inquiry are used for a request that has not been sent.
const INQUIRY_RETENTION: TimeSpan = TimeSpan::from_secs(4);
/// When an update is sent again for the first time. Each delay is twice the one before, up to the
/// longest; then the update is dropped.
const RETRY_DELAY: TimeSpan = TimeSpan::from_millis(60);
/// The longest delay before an update is sent again.
const MAX_RETRY_DELAY: TimeSpan = TimeSpan::from_secs(4);

/// All claims of own requests.
#[derive(Clone, Debug, Default)]
pub struct Claims {
    own: BTreeMap<RequestId, OwnClaim>,
    inquiries: BTreeMap<InquiryId, Inquiry>,
    /// Inquiries to replicas in reserve that have to be sent now.
    reserve_inquiries: Vec<(InquiryId, RequestId, PeerId)>,
    pending_updates: BTreeMap<FactId, PendingUpdate>,
    update_deadlines: BTreeSet<(Timestamp, FactId)>,
}

impl Claims {
    /// The numbers of claims, inquiries and pending updates.
    pub fn counts(&self) -> (usize, usize, usize) {
        (
            self.own.len(),
            self.inquiries.len(),
            self.pending_updates.len(),
        )
    }

    /// The claim of a request.
    pub fn get(&self, id: RequestId) -> Option<&OwnClaim> {
        self.own.get(&id)
    }

    /// Whether another inquiry may be started.
    pub fn has_room(&self) -> bool {
        self.inquiries.len() < MAX_INQUIRIES
    }

    /// The claim of a request, created with the first inquiry. `None`: it has yielded, and the
    /// inquiry only asks.
    pub fn claim(
        &mut self,
        now: Timestamp,
        id: RequestId,
        key: Key,
        token: Token,
    ) -> Option<Claim> {
        let own = self.own.entry(id).or_insert_with(|| OwnClaim {
            key,
            claim: Claim {
                token,
                at: now.0,
                stage: Stage::Claimed,
                location: ClaimLocation::NotReported,
                body: None,
            },
            yielded: false,
        });
        (!own.yielded).then(|| own.claim.clone())
    }

    /// Starts a round of inquiries to `peers`, of whom `required` have to be certain.
    pub fn start_inquiry(
        &mut self,
        now: Timestamp,
        inquiry_id: InquiryId,
        id: RequestId,
        peers: BTreeSet<PeerId>,
        reserve: Vec<PeerId>,
        required: usize,
    ) {
        // The previous round has ended; its answers would count twice.
        self.inquiries.retain(|_, inquiry| {
            inquiry.id != id && now.since(inquiry.asked_at) < INQUIRY_RETENTION
        });
        self.inquiries.insert(
            inquiry_id,
            Inquiry {
                id,
                asked_at: now,
                unanswered: peers,
                reserve,
                required,
                sure: 0,
                granted: false,
                claims: Vec::new(),
            },
        );
    }

    /// Handles an answer to an inquiry.
    pub fn on_claim_status(
        &mut self,
        now: Timestamp,
        inquiry_id: InquiryId,
        from: PeerId,
        sure: bool,
        claims: Vec<Claim>,
    ) -> Option<(RequestId, ClaimOutcome)> {
        let inquiry = self.inquiries.get_mut(&inquiry_id)?;
        // What a former replica knows is binding as well, but its report that nothing is known does
        // not count.
        let counts = inquiry.unanswered.remove(&from);
        inquiry.sure += usize::from(sure && counts);
        let (id, asked_at, key) = (inquiry.id, inquiry.asked_at, 0);
        let known = std::mem::take(&mut inquiry.claims);
        let merged = merge(
            Fact::Record { key, claims: known },
            Fact::Record { key, claims },
        );
        if let Fact::Record { claims, .. } = merged {
            inquiry.claims = claims;
        }
        let own = self.own.get(&id)?;
        let token = Some(own.claim.token).filter(|_| !own.yielded);
        let outcome = match claims_of_others(asked_at, &inquiry.claims, token) {
            Some(record) => ClaimOutcome::Found(asked_at, record),
            None if inquiry.sure >= inquiry.required => ClaimOutcome::Granted,
            None if inquiry.unanswered.is_empty() && inquiry.reserve.is_empty() => {
                ClaimOutcome::Unsure
            }
            None => ClaimOutcome::Pending,
        };
        if !sure && outcome == ClaimOutcome::Pending {
            inquiry.unanswered.extend(inquiry.reserve.iter().copied());
            self.reserve_inquiries.extend(
                inquiry
                    .reserve
                    .drain(..)
                    .map(|peers| (inquiry_id, id, peers)),
            );
        }
        // Both members have to come to the same result, and their timestamps of the claims differ.
        let has_priority =
            |claim: &Claim| claim.token < own.claim.token && claim.stage != Stage::Released;
        let yields = matches!(&outcome, ClaimOutcome::Found(_, record) if record.status == RecordStatus::Claimed)
            && own.claim.location == ClaimLocation::NotReported
            && !inquiry.granted
            && inquiry.claims.iter().any(has_priority);
        inquiry.granted |= outcome == ClaimOutcome::Granted;
        if inquiry.unanswered.is_empty() && now.since(asked_at) > INQUIRY_RETENTION {
            self.inquiries.remove(&inquiry_id);
        }
        if yields {
            self.yield_claim(now, id);
        }
        Some((id, outcome))
    }

    /// The key of a request in flight that started this inquiry.
    pub fn inquired_key(&self, inquiry_id: InquiryId) -> Option<Key> {
        let inquiry = self.inquiries.get(&inquiry_id)?;
        Some(self.own.get(&inquiry.id)?.key)
    }

    /// Takes the additional inquiries to be sent, with their claims.
    pub fn take_reserve_inquiries(&mut self) -> Vec<(InquiryId, PeerId, u128, Option<Claim>)> {
        let reserve_inquiries = std::mem::take(&mut self.reserve_inquiries);
        let claims = reserve_inquiries
            .into_iter()
            .filter_map(|(inquiry_id, id, peers)| {
                let own = self.own.get(&id)?;
                let claim = (!own.yielded).then(|| own.claim.clone());
                Some((inquiry_id, peers, own.key.0, claim))
            });
        claims.collect()
    }

    fn yield_claim(&mut self, now: Timestamp, id: RequestId) {
        if let Some(own) = self.own.get_mut(&id).filter(|own| !own.yielded) {
            own.yielded = true;
            let mut claim = own.claim.clone();
            claim.stage = Stage::Released;
            let key = own.key.0;
            self.queue_update(now, key, claim);
        }
    }

    /// An attempt of the request is sent. The update is sent after `delay`, together with the end
    /// of the request if that comes earlier.
    pub fn on_attempt_sent(
        &mut self,
        now: Timestamp,
        id: RequestId,
        location: (ZoneId, CellId),
        token: Token,
        delay: TimeSpan,
    ) {
        let Some(own) = self.own.get_mut(&id) else {
            return;
        };
        if own.yielded {
            // The request is sent after all, restricted by the claims that it saw, under a claim of
            // its own.
            own.yielded = false;
            own.claim.token = token;
        }
        let to = ClaimLocation::At(location.0.0, location.1.0);
        let joined = match own.claim.location {
            ClaimLocation::NotReported => to,
            known if known == to => known,
            _ => ClaimLocation::Anywhere,
        };
        if own.claim.stage == Stage::Sent && own.claim.location == joined {
            return;
        }
        (own.claim.stage, own.claim.location) = (Stage::Sent, joined);
        let (key, claim) = (own.key.0, own.claim.clone());
        self.queue_update(now + delay, key, claim);
    }

    /// The request has its final answer.
    pub fn on_request_ended(&mut self, now: Timestamp, id: RequestId, completion: Completion) {
        let Some(own) = self.own.remove(&id).filter(|own| !own.yielded) else {
            return;
        };
        let mut claim = own.claim;
        // A request that was answered from another member's record did not run.
        let ran = claim.location != ClaimLocation::NotReported;
        (claim.stage, claim.body) = match completion {
            Completion::Done(body) if ran => (Stage::Done, body.map(Vec::into_boxed_slice)),
            Completion::Unknown if ran => (Stage::Unknown, None),
            _ => (Stage::Released, None),
        };
        let key = own.key.0;
        self.queue_update(now, key, claim);
    }

    fn queue_update(&mut self, at: Timestamp, key: u128, claim: Claim) {
        let claims = vec![claim];
        let fact = Fact::Record { key, claims };
        let id = fact.id();
        if self.pending_updates.len() >= MAX_PENDING_UPDATES
            && !self.pending_updates.contains_key(&id)
        {
            return;
        }
        let fact = match self.pending_updates.remove(&id) {
            Some(pending) => merge(pending.fact, fact),
            None => fact,
        };
        self.update_deadlines.insert((at, id));
        let (to, delay, inquiry_id) = (None, RETRY_DELAY, InquiryId::default());
        self.pending_updates.insert(
            id,
            PendingUpdate {
                fact,
                to,
                at,
                delay,
                inquiry_id,
            },
        );
    }

    /// Drops an update. Replicas receive the fact by comparing their copies instead.
    pub fn drop_update(&mut self, fact: FactId) {
        self.pending_updates.remove(&fact);
    }

    /// A member acknowledged the update with this number.
    pub fn on_stored(&mut self, inquiry_id: InquiryId, from: PeerId) {
        let found = self
            .pending_updates
            .iter_mut()
            .find(|(_, pending)| pending.inquiry_id == inquiry_id);
        if let Some((&id, pending)) = found
            && let Some(to) = &mut pending.to
        {
            to.remove(&from);
            if to.is_empty() {
                self.pending_updates.remove(&id);
            }
        }
    }

    /// When the next update is due.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.update_deadlines.first().map(|&(at, _)| at)
    }

    /// The updates that are due by now, with the replicas to send them to, as `replicas` returns
    /// them.
    pub fn advance(
        &mut self,
        now: Timestamp,
        mut new_inquiry_id: impl FnMut() -> InquiryId,
        replicas: impl Fn(FactId) -> BTreeSet<PeerId>,
    ) -> Vec<(InquiryId, Fact, BTreeSet<PeerId>)> {
        let mut updates = Vec::new();
        while let Some((at, id)) = self
            .update_deadlines
            .first()
            .copied()
            .filter(|(at, _)| *at <= now)
        {
            self.update_deadlines.pop_first();
            let Some(pending) = self
                .pending_updates
                .get_mut(&id)
                .filter(|pending| pending.at == at)
            else {
                continue;
            };
            if pending.delay > MAX_RETRY_DELAY {
                self.pending_updates.remove(&id);
                continue;
            }
            let to = pending.to.get_or_insert_with(|| replicas(id));
            // If a replica was replaced, the new one receives the update with the next round.
            if pending.delay > RETRY_DELAY {
                let present = replicas(id);
                to.retain(|id| present.contains(id));
            }
            (pending.inquiry_id, pending.at) = (new_inquiry_id(), now + pending.delay);
            pending.delay = pending.delay.mul_f64(2.0);
            let (retry_at, update) = (
                pending.at,
                (pending.inquiry_id, pending.fact.clone(), to.clone()),
            );
            if to.is_empty() {
                self.pending_updates.remove(&id);
            } else {
                self.update_deadlines.insert((retry_at, id));
            }
            updates.push(update);
        }
        updates
    }
}
