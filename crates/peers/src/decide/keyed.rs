//! Keyed requests: what others are asked before one goes out, and what becomes of their answers.

use super::*;

/// Within a zone an attempt is told to its replicas this late, so that the end of a short one goes with it: until then the
/// claim binds others as one that may have been sent anywhere.
const SENT_WITHIN: TimeSpan = TimeSpan::from_millis(100);

impl Peers {
    /// An access with a key came. It goes on with [`Action::Decided`], at once or soon.
    pub fn come(&mut self, now: Timestamp, id: RequestId, key: Key, due: Timestamp) {
        self.wake(now);
        if !self.rules.records || self.quiet() {
            let verdict = RecordDecision::Proceed;
            return self.acts.push(Action::Decided { id, verdict });
        }
        let slot = FactId::Record(key.0).slot();
        let own = self.members.own().id;
        let keepers = self.keepers.of(slot);
        let reached = |id: &&PeerId| **id == own || self.members.alive(**id);
        let some = keepers.iter().filter(reached).count() > keepers.len() / 2;
        let wait = Some(self.rules.wait).filter(|_| some && self.claims.room());
        self.counts.waited += u64::from(wait.is_some());
        let steps = self.records.on_request(now, id, key, due, wait);
        self.follow(now, steps);
    }

    /// A hand-off of it goes out.
    pub fn hand_off(&mut self, now: Timestamp, id: RequestId, place: (ZoneId, CellId)) {
        let token = self.token();
        self.records.on_attempt_sent(id, place);
        let delay = match self.keepers.scope() {
            Scope::Fleet => TimeSpan::ZERO,
            Scope::Zone => SENT_WITHIN,
        };
        self.claims.sent(now, id, place, token, delay);
        self.tell_owed(now);
    }

    /// It has its final answer.
    pub fn ended(&mut self, now: Timestamp, id: RequestId, came: Completion) {
        self.records.on_request_ended(id, &came);
        self.claims.ended(now, id, came);
        self.tell_owed(now);
    }

    /// What another dispatcher did under the key of this access.
    pub fn earlier(&self, id: RequestId) -> Option<PeerAttempt> {
        let unsure = || {
            // It may have run anywhere, however long ago.
            let refused = self.rules.refuse && !self.granted(id) && self.records.key(id).is_some();
            let (location, first_sent) = (None, Timestamp(0));
            refused.then_some(PeerAttempt {
                location,
                first_sent,
            })
        };
        self.records.earlier_attempt(id).or_else(unsure)
    }

    /// Whether the others said that no other has the key of this access.
    pub fn granted(&self, id: RequestId) -> bool {
        self.records.is_claimed(id)
    }

    pub(super) fn token(&mut self) -> Token {
        Token(self.chance.u64(16..))
    }

    pub(super) fn follow(&mut self, now: Timestamp, steps: Vec<RecordStep>) {
        for step in steps {
            match step {
                RecordStep::Claim(id, key) => self.claim(now, id, key),
                RecordStep::Decided(id, verdict) => {
                    self.counts.answered += u64::from(matches!(verdict, RecordDecision::Answer(_)));
                    self.acts.push(Action::Decided { id, verdict });
                }
            }
        }
    }

    pub(super) fn claim(&mut self, now: Timestamp, id: RequestId, key: Key) {
        if !self.claims.room() {
            let steps = self.records.proceed(id);
            return self.follow(now, steps);
        }
        self.counts.claimed += 1;
        let token = self.token();
        let claim = self.claims.claim(now, id, key, token);
        let slot = FactId::Record(key.0).slot();
        let own = self.members.own().id;
        let keepers = self.keepers.of(slot).to_vec();
        let enough = keepers.len() / 2 + 1;
        let scope = self.keepers.scope();
        let (whom, reserve) = match scope {
            Scope::Fleet => (keepers, Vec::new()),
            Scope::Zone => self.nearest(keepers, enough),
        };
        let whom: BTreeSet<PeerId> = whom.into_iter().collect();
        let former: BTreeSet<PeerId> = self.keepers.former(now, slot).collect();
        let no = self.no();
        self.claims.ask(now, no, id, whom.clone(), reserve, enough);
        let key = key.0;
        for &whom in whom.union(&former).filter(|&&whom| whom != own) {
            self.ask(now, whom, no, key, claim.clone());
        }
        if whom.contains(&own) {
            let (sure, claims) = self.claimed(now, key, claim, scope);
            self.stood(now, no, own, sure, claims);
        }
    }

    /// Of a key's replicas as many as have to be sure, the nearest ones that are reached, and the others in reserve.
    fn nearest(&self, mut replicas: Vec<PeerId>, enough: usize) -> (Vec<PeerId>, Vec<PeerId>) {
        let own = self.members.own().id;
        let here = self.keepers.topology().map(|topology| topology.own);
        let distance = |id: PeerId| {
            let places = here.zip(self.members.locality(id));
            places.map(|(here, there)| here.distance(there))
        };
        replicas.sort_by_key(|&id| match id == own {
            true => (false, None),
            false => (!self.members.alive(id), distance(id)),
        });
        let reserve = replicas.split_off(enough.min(replicas.len()));
        (replicas, reserve)
    }

    fn ask(
        &mut self,
        now: Timestamp,
        whom: PeerId,
        no: AskNo,
        key: u128,
        claim: Option<facts::Claim>,
    ) {
        let note = match self.keepers.scope() {
            Scope::Fleet => Note::Claim { no, key, claim },
            Scope::Zone => Note::ClaimInZone { no, key, claim },
        };
        self.send_to(now, whom, vec![note]);
    }

    /// A claim at one who keeps its key: what is known of the key, and whether that is all.
    pub(super) fn claimed(
        &mut self,
        now: Timestamp,
        key: u128,
        claim: Option<facts::Claim>,
        scope: Scope,
    ) -> (bool, Vec<facts::Claim>) {
        let id = FactId::Record(key);
        // One who does not know that it keeps the key has fetched nothing of it. And whoever draws replicas from another set
        // of members asks others that this one agrees with nobody.
        let keeps = self.keepers.keeps(self.members.own().id, id.slot());
        let keeps = keeps && self.keepers.scope() == scope;
        let (proved, mut known) = self.elsewhere(now, key);
        let mut sure = keeps && self.sync.whole(id.slot()) && !self.island && proved;
        if let Some(claim) = claim {
            let claims = vec![claim];
            let taken = self.keep(now, Fact::Record { key, claims });
            self.counts.full += u64::from(taken.is_none());
            sure &= taken.is_some();
        }
        if let Some(Fact::Record { claims, .. }) = self.facts.get(id) {
            known.extend(claims.iter().cloned());
        }
        (sure, known)
    }

    pub(super) fn stood(
        &mut self,
        now: Timestamp,
        no: AskNo,
        from: PeerId,
        sure: bool,
        claims: Vec<facts::Claim>,
    ) {
        self.learn(now, no, &claims);
        let heard = self.claims.stood(now, no, from, sure, claims);
        for (no, whom, key, claim) in self.claims.to_ask() {
            self.ask(now, whom, no, key, claim);
        }
        let Some((id, heard)) = heard else {
            return;
        };
        let steps = match heard {
            Heard::Waits => return,
            Heard::Mine => {
                self.counts.granted += u64::from(self.records.is_waiting(id));
                // One that claimed at the same time has taken its claim back.
                self.records.on_released(id);
                self.records.on_claimed(id)
            }
            Heard::Unsure => {
                self.counts.unsure += 1;
                self.records.proceed(id)
            }
            Heard::Found(asked, record) => {
                let news =
                    !self.records.is_waiting(id) && self.records.earlier_attempt(id).is_none();
                let steps = self.records.on_found(now, asked, id, record);
                let waits = self.records.is_waiting(id);
                self.counts.joined += u64::from(steps.is_empty() && waits);
                self.counts.found_late += u64::from(news);
                steps
            }
        };
        self.follow(now, steps);
        self.tell_owed(now);
    }

    /// What others answer is taken into the own copy, where this one keeps one: whoever made the claim may not have known
    /// of it. In answers within a zone other zones' claims are among them, which are not the own zone's to tell.
    fn learn(&mut self, now: Timestamp, no: AskNo, claims: &[facts::Claim]) {
        let Some(key) = self.claims.asked(no).filter(|_| !claims.is_empty()) else {
            return;
        };
        let slot = FactId::Record(key.0).slot();
        let own = self.members.own().id;
        if self.keepers.scope() == Scope::Fleet && self.keepers.keeps(own, slot) {
            let (key, claims) = (key.0, claims.to_vec());
            self.keep(now, Fact::Record { key, claims });
        }
    }

    /// What keepers are owed goes out, and into the own copy.
    pub(super) fn tell_owed(&mut self, now: Timestamp) {
        let own = self.members.own().id;
        let (keepers, members, next) = (&self.keepers, &self.members, &mut self.next_no);
        let no = || {
            *next += 1;
            AskNo(*next)
        };
        let there =
            |&id: &PeerId| id == own || members.get(id).is_some_and(|member| member.there());
        let of = |id: FactId| {
            keepers
                .of(id.slot())
                .iter()
                .copied()
                .filter(there)
                .collect()
        };
        let scope = self.keepers.scope();
        for (no, fact, to) in self.claims.advance(now, no, of) {
            if scope == Scope::Zone {
                self.claims.told(fact.id());
            }
            for whom in to {
                if whom == own {
                    let taken = self.keep(now, fact.clone());
                    self.counts.full += u64::from(taken.is_none());
                    self.claims.taken(no, own);
                } else {
                    let facts = vec![fact.clone()];
                    let note = match scope {
                        Scope::Fleet => Note::Put(no, facts),
                        Scope::Zone => Note::Rumours(facts),
                    };
                    self.send_to(now, whom, vec![note]);
                }
            }
        }
    }
}
