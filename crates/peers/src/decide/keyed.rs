//! Keyed requests: inquiries to other members before a request is sent, and the handling of their
//! answers.

use super::*;

/// Within a zone, replicas learn this late that an attempt was sent, so that a short request needs
/// one update for both the attempt and its end. Until then the claim binds others like that of a
/// request that may have been sent anywhere.
const SENT_UPDATE_DELAY: TimeSpan = TimeSpan::from_millis(100);

impl Peers {
    /// A keyed request arrived. [`Action::Decided`] tells when and how it continues.
    pub fn on_request(&mut self, now: Timestamp, id: RequestId, key: Key, target: Timestamp) {
        self.detect_pause(now);
        if !self.settings.records || self.is_silent() {
            let verdict = RecordDecision::Proceed;
            return self.actions.push(Action::Decided { id, verdict });
        }
        let slot = FactId::Record(key.0).slot();
        let own = self.members.own().id;
        let replicas = self.replicas.of(slot);
        let reached = |id: &&PeerId| **id == own || self.members.is_reached(**id);
        let majority_reached = replicas.iter().filter(reached).count() > replicas.len() / 2;
        let wait =
            Some(self.settings.max_wait).filter(|_| majority_reached && self.claims.has_room());
        self.counts.waited += u64::from(wait.is_some());
        let steps = self.records.on_request(now, id, key, target, wait);
        self.run_steps(now, steps);
    }

    /// An attempt of the request is sent.
    pub fn on_attempt_sent(&mut self, now: Timestamp, id: RequestId, location: (ZoneId, CellId)) {
        let token = self.new_token();
        self.records.on_attempt_sent(now, id, location);
        let delay = match self.replicas.scope() {
            Scope::Fleet => TimeSpan::ZERO,
            Scope::Zone => SENT_UPDATE_DELAY,
        };
        self.claims.on_attempt_sent(now, id, location, token, delay);
        self.send_pending_updates(now);
    }

    /// The request has its final answer.
    pub fn on_request_ended(&mut self, now: Timestamp, id: RequestId, completion: Completion) {
        self.records.on_request_ended(id, &completion);
        self.claims.on_request_ended(now, id, completion);
        self.send_pending_updates(now);
    }

    /// What another member did under the key of this request.
    pub fn earlier_attempt(&self, id: RequestId) -> Option<PeerAttempt> {
        let unsure = || {
            // An earlier attempt may have run anywhere, at any time.
            let refused = self.settings.refuse_unconfirmed
                && !self.is_granted(id)
                && self.records.key(id).is_some();
            let (location, first_sent) = (None, Timestamp(0));
            refused.then_some(PeerAttempt {
                location,
                first_sent,
            })
        };
        self.records.earlier_attempt(id).or_else(unsure)
    }

    /// Whether enough replicas confirmed that no other member has claimed the key of this request.
    pub fn is_granted(&self, id: RequestId) -> bool {
        self.records.is_claimed(id)
    }

    pub(super) fn new_token(&mut self) -> Token {
        Token(self.rng.u64(16..))
    }

    /// Carries out the steps that the records request.
    pub(super) fn run_steps(&mut self, now: Timestamp, steps: Vec<RecordStep>) {
        for step in steps {
            match step {
                RecordStep::Claim(id, key) => self.send_claim(now, id, key),
                RecordStep::Decided(id, verdict) => {
                    self.counts.answered += u64::from(matches!(verdict, RecordDecision::Answer(_)));
                    self.actions.push(Action::Decided { id, verdict });
                }
            }
        }
    }

    /// Sends the claim of a request to the replicas of its key.
    pub(super) fn send_claim(&mut self, now: Timestamp, id: RequestId, key: Key) {
        if !self.claims.has_room() {
            let steps = self.records.proceed(id);
            return self.run_steps(now, steps);
        }
        self.counts.claimed += 1;
        let token = self.new_token();
        let claim = self.claims.claim(now, id, key, token);
        let slot = FactId::Record(key.0).slot();
        let own = self.members.own().id;
        let replicas = self.replicas.of(slot).to_vec();
        let required = replicas.len() / 2 + 1;
        let scope = self.replicas.scope();
        let (asked, reserve) = match scope {
            Scope::Fleet => (replicas, Vec::new()),
            Scope::Zone => self.nearest_replicas(replicas, required),
        };
        let asked: BTreeSet<PeerId> = asked.into_iter().collect();
        let former: BTreeSet<PeerId> = self.replicas.former(now, slot).collect();
        let inquiry_id = self.new_inquiry_id();
        self.claims
            .start_inquiry(now, inquiry_id, id, asked.clone(), reserve, required);
        let key = key.0;
        for &peer in asked.union(&former).filter(|&&peer| peer != own) {
            self.send_claim_to(now, peer, inquiry_id, key, claim.clone());
        }
        if asked.contains(&own) {
            let (sure, claims) = self.on_claim(now, key, claim, scope);
            self.on_claim_status(now, inquiry_id, own, sure, claims);
        }
    }

    /// The nearest reached replicas of a key, as many as have to be certain, and the others as a
    /// reserve.
    fn nearest_replicas(
        &self,
        mut replicas: Vec<PeerId>,
        required: usize,
    ) -> (Vec<PeerId>, Vec<PeerId>) {
        let own = self.members.own().id;
        let here = self.replicas.topology().map(|topology| topology.own);
        let distance = |id: PeerId| {
            let localities = here.zip(self.members.locality(id));
            localities.map(|(here, other)| here.distance(other))
        };
        replicas.sort_by_key(|&id| match id == own {
            true => (false, None),
            false => (!self.members.is_reached(id), distance(id)),
        });
        let reserve = replicas.split_off(required.min(replicas.len()));
        (replicas, reserve)
    }

    fn send_claim_to(
        &mut self,
        now: Timestamp,
        peer: PeerId,
        inquiry_id: InquiryId,
        key: u128,
        claim: Option<facts::Claim>,
    ) {
        let part = match self.replicas.scope() {
            Scope::Fleet => MessagePart::Claim {
                inquiry_id,
                key,
                claim,
            },
            Scope::Zone => MessagePart::ClaimInZone {
                inquiry_id,
                key,
                claim,
            },
        };
        self.send_to(now, peer, vec![part]);
    }

    /// Handles a claim as a replica: returns whether everything about the key is known here, and
    /// the known claims.
    pub(super) fn on_claim(
        &mut self,
        now: Timestamp,
        key: u128,
        claim: Option<facts::Claim>,
        scope: Scope,
    ) -> (bool, Vec<facts::Claim>) {
        let id = FactId::Record(key);
        // A member that does not know that it is a replica has fetched nothing of the slot. And a
        // member that chooses replicas from another set of members asks replicas with whom this one
        // agrees on nothing.
        let is_replica = self.replicas.is_replica(self.members.own().id, id.slot());
        let is_replica = is_replica && self.replicas.scope() == scope;
        let (proved, mut known) = self.claims_in_other_zones(now, key);
        let mut sure =
            is_replica && self.sync.is_in_sync(id.slot()) && !self.in_minority_partition && proved;
        if let Some(claim) = claim {
            let claims = vec![claim];
            let taken = self.store(now, Fact::Record { key, claims });
            self.counts.full += u64::from(taken.is_none());
            sure &= taken.is_some();
        }
        if let Some(Fact::Record { claims, .. }) = self.facts.get(id) {
            known.extend(claims.iter().cloned());
        }
        (sure, known)
    }

    /// Handles the answer to a claim.
    pub(super) fn on_claim_status(
        &mut self,
        now: Timestamp,
        inquiry_id: InquiryId,
        from: PeerId,
        sure: bool,
        claims: Vec<facts::Claim>,
    ) {
        self.store_answered_claims(now, inquiry_id, &claims);
        let outcome = self
            .claims
            .on_claim_status(now, inquiry_id, from, sure, claims);
        for (inquiry_id, peer, key, claim) in self.claims.take_reserve_inquiries() {
            self.send_claim_to(now, peer, inquiry_id, key, claim);
        }
        let Some((id, outcome)) = outcome else {
            return;
        };
        let steps = match outcome {
            ClaimOutcome::Pending => return,
            ClaimOutcome::Granted => {
                self.counts.granted += u64::from(self.records.is_waiting(id));
                // A member that claimed the key at the same time has withdrawn its claim.
                self.records.on_released(id);
                self.records.on_claimed(id)
            }
            ClaimOutcome::Unsure => {
                self.counts.unsure += 1;
                self.records.proceed(id)
            }
            ClaimOutcome::Found(asked, record) => {
                let is_news =
                    !self.records.is_waiting(id) && self.records.attempt_elsewhere(id).is_none();
                let steps = self.records.on_found(now, asked, id, record);
                let waits = self.records.is_waiting(id);
                self.counts.joined += u64::from(steps.is_empty() && waits);
                self.counts.found_late += u64::from(is_news);
                steps
            }
        };
        self.run_steps(now, steps);
        self.send_pending_updates(now);
    }

    /// Stores claims from answers in the own copy, if this member is a replica of the key: the
    /// owner of such a claim may not have known that. Answers within a zone include claims of other
    /// zones, which are not the own zone's to report.
    fn store_answered_claims(
        &mut self,
        now: Timestamp,
        inquiry_id: InquiryId,
        claims: &[facts::Claim],
    ) {
        let Some(key) = self
            .claims
            .inquired_key(inquiry_id)
            .filter(|_| !claims.is_empty())
        else {
            return;
        };
        let slot = FactId::Record(key.0).slot();
        let own = self.members.own().id;
        if self.replicas.scope() == Scope::Fleet && self.replicas.is_replica(own, slot) {
            let (key, claims) = (key.0, claims.to_vec());
            self.store(now, Fact::Record { key, claims });
        }
    }

    /// Sends the pending updates to replicas, and applies them to the own copy.
    pub(super) fn send_pending_updates(&mut self, now: Timestamp) {
        let own = self.members.own().id;
        let (replicas, members, next) = (&self.replicas, &self.members, &mut self.next_inquiry_id);
        let new_inquiry_id = || {
            *next += 1;
            InquiryId(*next)
        };
        let is_present =
            |&id: &PeerId| id == own || members.get(id).is_some_and(|member| member.is_present());
        let replicas_of = |id: FactId| {
            replicas
                .of(id.slot())
                .iter()
                .copied()
                .filter(is_present)
                .collect()
        };
        let scope = self.replicas.scope();
        for (inquiry_id, fact, to) in self.claims.advance(now, new_inquiry_id, replicas_of) {
            if scope == Scope::Zone {
                self.claims.drop_update(fact.id());
            }
            for peer in to {
                if peer == own {
                    let taken = self.store(now, fact.clone());
                    self.counts.full += u64::from(taken.is_none());
                    self.claims.on_stored(inquiry_id, own);
                } else {
                    let facts = vec![fact.clone()];
                    let part = match scope {
                        Scope::Fleet => MessagePart::Store(inquiry_id, facts),
                        Scope::Zone => MessagePart::Gossip(facts),
                    };
                    self.send_to(now, peer, vec![part]);
                }
            }
        }
    }
}
