//! Keyed requests: what others are asked before one goes out, and what becomes of their answers.

use super::*;

/// Within a zone an attempt is told to its replicas this late, so that the end of a short one goes with it: until then the
/// claim binds others as one that may have been sent anywhere.
const SENT_WITHIN: TimeSpan = TimeSpan::from_millis(100);

impl Peers {
    /// An access with a key came. It goes on with [`Action::Decided`], at once or soon.
    pub fn on_request(&mut self, now: Timestamp, id: RequestId, key: Key, due: Timestamp) {
        self.detect_pause(now);
        if !self.settings.records || self.is_silent() {
            let verdict = RecordDecision::Proceed;
            return self.actions.push(Action::Decided { id, verdict });
        }
        let slot = FactId::Record(key.0).slot();
        let own = self.members.own().id;
        let replicas = self.replicas.of(slot);
        let reached = |id: &&PeerId| **id == own || self.members.is_reached(**id);
        let some = replicas.iter().filter(reached).count() > replicas.len() / 2;
        let wait = Some(self.settings.max_wait).filter(|_| some && self.claims.has_room());
        self.counts.waited += u64::from(wait.is_some());
        let steps = self.records.on_request(now, id, key, due, wait);
        self.run_steps(now, steps);
    }

    /// A hand-off of it goes out.
    pub fn on_attempt_sent(&mut self, now: Timestamp, id: RequestId, location: (ZoneId, CellId)) {
        let token = self.new_token();
        self.records.on_attempt_sent(id, location);
        let delay = match self.replicas.scope() {
            Scope::Fleet => TimeSpan::ZERO,
            Scope::Zone => SENT_WITHIN,
        };
        self.claims.on_attempt_sent(now, id, location, token, delay);
        self.send_pending_updates(now);
    }

    /// It has its final answer.
    pub fn on_request_ended(&mut self, now: Timestamp, id: RequestId, came: Completion) {
        self.records.on_request_ended(id, &came);
        self.claims.on_request_ended(now, id, came);
        self.send_pending_updates(now);
    }

    /// What another dispatcher did under the key of this access.
    pub fn earlier_attempt(&self, id: RequestId) -> Option<PeerAttempt> {
        let unsure = || {
            // It may have run anywhere, however long ago.
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

    /// Whether the others said that no other has the key of this access.
    pub fn is_granted(&self, id: RequestId) -> bool {
        self.records.is_claimed(id)
    }

    pub(super) fn new_token(&mut self) -> Token {
        Token(self.rng.u64(16..))
    }

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
        let enough = replicas.len() / 2 + 1;
        let scope = self.replicas.scope();
        let (whom, reserve) = match scope {
            Scope::Fleet => (replicas, Vec::new()),
            Scope::Zone => self.nearest_replicas(replicas, enough),
        };
        let whom: BTreeSet<PeerId> = whom.into_iter().collect();
        let former: BTreeSet<PeerId> = self.replicas.former(now, slot).collect();
        let inquiry_id = self.new_inquiry_id();
        self.claims
            .start_inquiry(now, inquiry_id, id, whom.clone(), reserve, enough);
        let key = key.0;
        for &whom in whom.union(&former).filter(|&&whom| whom != own) {
            self.send_claim_to(now, whom, inquiry_id, key, claim.clone());
        }
        if whom.contains(&own) {
            let (sure, claims) = self.on_claim(now, key, claim, scope);
            self.on_claim_status(now, inquiry_id, own, sure, claims);
        }
    }

    /// Of a key's replicas as many as have to be sure, the nearest ones that are reached, and the others in reserve.
    fn nearest_replicas(
        &self,
        mut replicas: Vec<PeerId>,
        enough: usize,
    ) -> (Vec<PeerId>, Vec<PeerId>) {
        let own = self.members.own().id;
        let here = self.replicas.topology().map(|topology| topology.own);
        let distance = |id: PeerId| {
            let places = here.zip(self.members.locality(id));
            places.map(|(here, there)| here.distance(there))
        };
        replicas.sort_by_key(|&id| match id == own {
            true => (false, None),
            false => (!self.members.is_reached(id), distance(id)),
        });
        let reserve = replicas.split_off(enough.min(replicas.len()));
        (replicas, reserve)
    }

    fn send_claim_to(
        &mut self,
        now: Timestamp,
        whom: PeerId,
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
        self.send_to(now, whom, vec![part]);
    }

    /// A claim at one who keeps its key: what is known of the key, and whether that is all.
    pub(super) fn on_claim(
        &mut self,
        now: Timestamp,
        key: u128,
        claim: Option<facts::Claim>,
        scope: Scope,
    ) -> (bool, Vec<facts::Claim>) {
        let id = FactId::Record(key);
        // One who does not know that it keeps the key has fetched nothing of it. And whoever draws replicas from another set
        // of members asks others that this one agrees with nobody.
        let keeps = self.replicas.is_replica(self.members.own().id, id.slot());
        let keeps = keeps && self.replicas.scope() == scope;
        let (proved, mut known) = self.claims_in_other_zones(now, key);
        let mut sure =
            keeps && self.sync.is_in_sync(id.slot()) && !self.in_minority_partition && proved;
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

    pub(super) fn on_claim_status(
        &mut self,
        now: Timestamp,
        inquiry_id: InquiryId,
        from: PeerId,
        sure: bool,
        claims: Vec<facts::Claim>,
    ) {
        self.store_answered_claims(now, inquiry_id, &claims);
        let heard = self
            .claims
            .on_claim_status(now, inquiry_id, from, sure, claims);
        for (inquiry_id, whom, key, claim) in self.claims.take_reserve_inquiries() {
            self.send_claim_to(now, whom, inquiry_id, key, claim);
        }
        let Some((id, heard)) = heard else {
            return;
        };
        let steps = match heard {
            ClaimOutcome::Pending => return,
            ClaimOutcome::Granted => {
                self.counts.granted += u64::from(self.records.is_waiting(id));
                // One that claimed at the same time has taken its claim back.
                self.records.on_released(id);
                self.records.on_claimed(id)
            }
            ClaimOutcome::Unsure => {
                self.counts.unsure += 1;
                self.records.proceed(id)
            }
            ClaimOutcome::Found(asked, record) => {
                let news =
                    !self.records.is_waiting(id) && self.records.earlier_attempt(id).is_none();
                let steps = self.records.on_found(now, asked, id, record);
                let waits = self.records.is_waiting(id);
                self.counts.joined += u64::from(steps.is_empty() && waits);
                self.counts.found_late += u64::from(news);
                steps
            }
        };
        self.run_steps(now, steps);
        self.send_pending_updates(now);
    }

    /// What others answer is taken into the own copy, where this one keeps one: whoever made the claim may not have known
    /// of it. In answers within a zone other zones' claims are among them, which are not the own zone's to tell.
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

    /// What keepers are owed goes out, and into the own copy.
    pub(super) fn send_pending_updates(&mut self, now: Timestamp) {
        let own = self.members.own().id;
        let (replicas, members, next) = (&self.replicas, &self.members, &mut self.next_inquiry_id);
        let new_inquiry_id = || {
            *next += 1;
            InquiryId(*next)
        };
        let there =
            |&id: &PeerId| id == own || members.get(id).is_some_and(|member| member.is_present());
        let of = |id: FactId| {
            replicas
                .of(id.slot())
                .iter()
                .copied()
                .filter(there)
                .collect()
        };
        let scope = self.replicas.scope();
        for (inquiry_id, fact, to) in self.claims.advance(now, new_inquiry_id, of) {
            if scope == Scope::Zone {
                self.claims.drop_update(fact.id());
            }
            for whom in to {
                if whom == own {
                    let taken = self.store(now, fact.clone());
                    self.counts.full += u64::from(taken.is_none());
                    self.claims.on_stored(inquiry_id, own);
                } else {
                    let facts = vec![fact.clone()];
                    let part = match scope {
                        Scope::Fleet => MessagePart::Store(inquiry_id, facts),
                        Scope::Zone => MessagePart::Gossip(facts),
                    };
                    self.send_to(now, whom, vec![part]);
                }
            }
        }
    }
}
