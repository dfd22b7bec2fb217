//! Own claims on keys: who is asked, whose answers are enough, and what others are owed about them.
//!
//! A claim goes to all keepers of its key at once. It stands when more than half of them say, and are sure, that nobody
//! else has one; any one that knows of another is enough to be bound by it. Two that claim at the same time see each
//! other at one keeper at least: the later one yields, the earlier waits for that. What becomes of a claim is told to the
//! keepers until they have it.

use super::facts::{Claim, ClaimLocation, Fact, FactId, Stage, Token, merge, others};
use super::messages::{InquiryId, PeerId};
use std::collections::{BTreeMap, BTreeSet};
use trailproxy::units::*;
use trailproxy_shared_store::decide::records::{Completion, Key, Record, RecordStatus};

/// A claim of an access that is open here.
#[derive(Clone, Debug)]
pub struct OwnClaim {
    pub key: Key,
    pub claim: Claim,
    /// It saw an earlier one before anything went out, and took itself back.
    pub yielded: bool,
}

/// One round of questions about one key.
#[derive(Clone, Debug)]
struct Inquiry {
    id: RequestId,
    asked: Timestamp,
    /// Who has not answered, and how many have to be sure.
    unanswered: BTreeSet<PeerId>,
    /// Who is asked as soon as one of the others is not sure.
    reserve: Vec<PeerId>,
    required: usize,
    sure: usize,
    claims: Vec<Claim>,
}

/// What an answer makes of an access.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimOutcome {
    /// Nothing yet.
    Pending,
    /// No other has it.
    Granted,
    /// Another has it, or had it, as far as was known when it was asked at that moment.
    Found(Timestamp, Record),
    /// All have answered, and too few are sure.
    Unsure,
}

/// What others are to know of a claim, until they have it.
#[derive(Clone, Debug)]
struct PendingUpdate {
    fact: Fact,
    /// `None`: whoever keeps it by then.
    to: Option<BTreeSet<PeerId>>,
    at: Timestamp,
    pause: TimeSpan,
    inquiry_id: InquiryId,
}

/// Accesses that ask, and facts that are owed, at once. More go without: it is as if the others were not there.
const MAX_INQUIRIES: usize = 2_048;
const MAX_PENDING_UPDATES: usize = 8_192;
/// How long an answer is of use, for what has not gone out yet.
const INQUIRY_RETENTION: TimeSpan = TimeSpan::from_secs(4);
/// What is owed is told again after this, then after twice as long, up to the longest pause; then it is left.
const RETRY_DELAY: TimeSpan = TimeSpan::from_millis(60);
const MAX_RETRY_DELAY: TimeSpan = TimeSpan::from_secs(4);

#[derive(Clone, Debug, Default)]
pub struct Claims {
    own: BTreeMap<RequestId, OwnClaim>,
    inquiries: BTreeMap<InquiryId, Inquiry>,
    /// Questions that are to go out now, of the reserve.
    reserve_inquiries: Vec<(InquiryId, RequestId, PeerId)>,
    pending: BTreeMap<FactId, PendingUpdate>,
    update_deadlines: BTreeSet<(Timestamp, FactId)>,
}

impl Claims {
    pub fn counts(&self) -> (usize, usize, usize) {
        (self.own.len(), self.inquiries.len(), self.pending.len())
    }

    pub fn get(&self, id: RequestId) -> Option<&OwnClaim> {
        self.own.get(&id)
    }

    pub fn has_room(&self) -> bool {
        self.inquiries.len() < MAX_INQUIRIES
    }

    /// The claim of an access, made with the first question for it. `None`: it has yielded, and only looks.
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

    /// A round begins: these are asked, of whom `required` have to be sure.
    pub fn start_inquiry(
        &mut self,
        now: Timestamp,
        inquiry_id: InquiryId,
        id: RequestId,
        whom: BTreeSet<PeerId>,
        reserve: Vec<PeerId>,
        required: usize,
    ) {
        // The round before it is over: its answers would count twice.
        self.inquiries.retain(|_, inquiries| {
            inquiries.id != id && now.since(inquiries.asked) < INQUIRY_RETENTION
        });
        self.inquiries.insert(
            inquiry_id,
            Inquiry {
                id,
                asked: now,
                unanswered: whom,
                reserve,
                required,
                sure: 0,
                claims: Vec::new(),
            },
        );
    }

    /// One that was asked answers.
    pub fn on_claim_status(
        &mut self,
        now: Timestamp,
        inquiry_id: InquiryId,
        from: PeerId,
        sure: bool,
        claims: Vec<Claim>,
    ) -> Option<(RequestId, ClaimOutcome)> {
        let inquiries = self.inquiries.get_mut(&inquiry_id)?;
        // What a former keeper knows binds as well; its "nothing known" says nothing.
        let counts = inquiries.unanswered.remove(&from);
        inquiries.sure += usize::from(sure && counts);
        let (id, asked, key) = (inquiries.id, inquiries.asked, 0);
        let known = std::mem::take(&mut inquiries.claims);
        let both = merge(
            Fact::Record { key, claims: known },
            Fact::Record { key, claims },
        );
        if let Fact::Record { claims, .. } = both {
            inquiries.claims = claims;
        }
        let own = self.own.get(&id)?;
        let token = Some(own.claim.token).filter(|_| !own.yielded);
        let outcome = match others(asked, &inquiries.claims, token) {
            Some(record) => ClaimOutcome::Found(asked, record),
            None if inquiries.sure >= inquiries.required => ClaimOutcome::Granted,
            None if inquiries.unanswered.is_empty() && inquiries.reserve.is_empty() => {
                ClaimOutcome::Unsure
            }
            None => ClaimOutcome::Pending,
        };
        if !sure && outcome == ClaimOutcome::Pending {
            inquiries
                .unanswered
                .extend(inquiries.reserve.iter().copied());
            self.reserve_inquiries.extend(
                inquiries
                    .reserve
                    .drain(..)
                    .map(|whom| (inquiry_id, id, whom)),
            );
        }
        let earlier = |claim: &Claim| {
            (claim.at, claim.token) < (own.claim.at, own.claim.token)
                && claim.stage != Stage::Released
                && Some(claim.token) != token
        };
        let yields = matches!(&outcome, ClaimOutcome::Found(_, record) if record.status == RecordStatus::Claimed)
            && own.claim.location == ClaimLocation::NotReported
            && inquiries.claims.iter().any(earlier);
        if inquiries.unanswered.is_empty() && now.since(asked) > INQUIRY_RETENTION {
            self.inquiries.remove(&inquiry_id);
        }
        if yields {
            self.yield_claim(now, id);
        }
        Some((id, outcome))
    }

    /// The key of an access that asked under this number and is still open.
    pub fn inquired_key(&self, inquiry_id: InquiryId) -> Option<Key> {
        let inquiries = self.inquiries.get(&inquiry_id)?;
        Some(self.own.get(&inquiries.id)?.key)
    }

    /// Who is to be asked in addition, about which claim.
    pub fn take_reserve_inquiries(&mut self) -> Vec<(InquiryId, PeerId, u128, Option<Claim>)> {
        let reserve_inquiries = std::mem::take(&mut self.reserve_inquiries);
        let claims = reserve_inquiries
            .into_iter()
            .filter_map(|(inquiry_id, id, whom)| {
                let own = self.own.get(&id)?;
                let claim = (!own.yielded).then(|| own.claim.clone());
                Some((inquiry_id, whom, own.key.0, claim))
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

    /// A hand-off goes out. It is told after `delay`, together with the end where that comes before.
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
            // It goes after all, bound by what it saw: under a claim of its own.
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

    /// It has its final answer.
    pub fn on_request_ended(&mut self, now: Timestamp, id: RequestId, completion: Completion) {
        let Some(own) = self.own.remove(&id).filter(|own| !own.yielded) else {
            return;
        };
        let mut claim = own.claim;
        // What was answered from another's record is no run of this one's.
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
        if self.pending.len() >= MAX_PENDING_UPDATES && !self.pending.contains_key(&id) {
            return;
        }
        let fact = match self.pending.remove(&id) {
            Some(pending) => merge(pending.fact, fact),
            None => fact,
        };
        self.update_deadlines.insert((at, id));
        let (to, pause, inquiry_id) = (None, RETRY_DELAY, InquiryId::default());
        self.pending.insert(
            id,
            PendingUpdate {
                fact,
                to,
                at,
                pause,
                inquiry_id,
            },
        );
    }

    /// What was told is not told again: whoever keeps it compares it with the others that do.
    pub fn drop_update(&mut self, fact: FactId) {
        self.pending.remove(&fact);
    }

    /// Somebody has what was told under this number.
    pub fn on_stored(&mut self, inquiry_id: InquiryId, from: PeerId) {
        let found = self
            .pending
            .iter_mut()
            .find(|(_, pending)| pending.inquiry_id == inquiry_id);
        if let Some((&id, pending)) = found
            && let Some(to) = &mut pending.to
        {
            to.remove(&from);
            if to.is_empty() {
                self.pending.remove(&id);
            }
        }
    }

    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.update_deadlines.first().map(|&(at, _)| at)
    }

    /// What is to be told by now, to whom: those who keep it, as `replicas` has them.
    pub fn advance(
        &mut self,
        now: Timestamp,
        mut new_inquiry_id: impl FnMut() -> InquiryId,
        replicas: impl Fn(FactId) -> BTreeSet<PeerId>,
    ) -> Vec<(InquiryId, Fact, BTreeSet<PeerId>)> {
        let mut tells = Vec::new();
        while let Some((at, id)) = self
            .update_deadlines
            .first()
            .copied()
            .filter(|(at, _)| *at <= now)
        {
            self.update_deadlines.pop_first();
            let Some(pending) = self.pending.get_mut(&id).filter(|pending| pending.at == at) else {
                continue;
            };
            if pending.pause > MAX_RETRY_DELAY {
                self.pending.remove(&id);
                continue;
            }
            let to = pending.to.get_or_insert_with(|| replicas(id));
            // Who keeps it now that one of them is gone is told as well, with the next round.
            if pending.pause > RETRY_DELAY {
                let present = replicas(id);
                to.retain(|id| present.contains(id));
            }
            (pending.inquiry_id, pending.at) = (new_inquiry_id(), now + pending.pause);
            pending.pause = pending.pause.mul_f64(2.0);
            let (again, told) = (
                pending.at,
                (pending.inquiry_id, pending.fact.clone(), to.clone()),
            );
            if to.is_empty() {
                self.pending.remove(&id);
            } else {
                self.update_deadlines.insert((again, id));
            }
            tells.push(told);
        }
        tells
    }
}
