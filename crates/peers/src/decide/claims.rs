//! Own claims on keys: who is asked, whose answers are enough, and what others are owed about them.
//!
//! A claim goes to all keepers of its key at once. It stands when more than half of them say, and are sure, that nobody
//! else has one; any one that knows of another is enough to be bound by it. Two that claim at the same time see each
//! other at one keeper at least: the later one yields, the earlier waits for that. What becomes of a claim is told to the
//! keepers until they have it.

use super::facts::{Claim, Fact, FactId, Place, Stage, Token, merge, others};
use super::messages::{AskNo, PeerId};
use std::collections::{BTreeMap, BTreeSet};
use trailproxy::units::*;
use trailproxy_shared_store::decide::records::{Completion, Key, Record, RecordStatus};

/// A claim of an access that is open here.
#[derive(Clone, Debug)]
pub struct Own {
    pub key: Key,
    pub claim: Claim,
    /// It saw an earlier one before anything went out, and took itself back.
    pub yielded: bool,
}

/// One round of questions about one key.
#[derive(Clone, Debug)]
struct Asking {
    id: RequestId,
    asked: Timestamp,
    /// Who has not answered, and how many have to be sure.
    open: BTreeSet<PeerId>,
    /// Who is asked as soon as one of the others is not sure.
    reserve: Vec<PeerId>,
    enough: usize,
    sure: usize,
    claims: Vec<Claim>,
}

/// What an answer makes of an access.
#[derive(Clone, Debug, PartialEq)]
pub enum Heard {
    /// Nothing yet.
    Waits,
    /// No other has it.
    Mine,
    /// Another has it, or had it, as far as was known when it was asked at that moment.
    Found(Timestamp, Record),
    /// All have answered, and too few are sure.
    Unsure,
}

/// What others are to know of a claim, until they have it.
#[derive(Clone, Debug)]
struct Owed {
    fact: Fact,
    /// `None`: whoever keeps it by then.
    to: Option<BTreeSet<PeerId>>,
    at: Timestamp,
    pause: TimeSpan,
    no: AskNo,
}

/// Accesses that ask, and facts that are owed, at once. More go without: it is as if the others were not there.
const MOST_ASKING: usize = 2_048;
const MOST_OWED: usize = 8_192;
/// How long an answer is of use, for what has not gone out yet.
const FORGET: TimeSpan = TimeSpan::from_secs(4);
/// What is owed is told again after this, then after twice as long, up to the longest pause; then it is left.
const AGAIN: TimeSpan = TimeSpan::from_millis(60);
const LONGEST: TimeSpan = TimeSpan::from_secs(4);

#[derive(Clone, Debug, Default)]
pub struct Claims {
    own: BTreeMap<RequestId, Own>,
    asking: BTreeMap<AskNo, Asking>,
    /// Questions that are to go out now, of the reserve.
    to_ask: Vec<(AskNo, RequestId, PeerId)>,
    owed: BTreeMap<FactId, Owed>,
    timed: BTreeSet<(Timestamp, FactId)>,
}

impl Claims {
    pub fn kept(&self) -> (usize, usize, usize) {
        (self.own.len(), self.asking.len(), self.owed.len())
    }

    pub fn get(&self, id: RequestId) -> Option<&Own> {
        self.own.get(&id)
    }

    pub fn room(&self) -> bool {
        self.asking.len() < MOST_ASKING
    }

    /// The claim of an access, made with the first question for it. `None`: it has yielded, and only looks.
    pub fn claim(
        &mut self,
        now: Timestamp,
        id: RequestId,
        key: Key,
        token: Token,
    ) -> Option<Claim> {
        let own = self.own.entry(id).or_insert_with(|| Own {
            key,
            claim: Claim {
                token,
                at: now.0,
                stage: Stage::Claimed,
                place: Place::Untold,
                body: None,
            },
            yielded: false,
        });
        (!own.yielded).then(|| own.claim.clone())
    }

    /// A round begins: these are asked, of whom `enough` have to be sure.
    pub fn ask(
        &mut self,
        now: Timestamp,
        no: AskNo,
        id: RequestId,
        whom: BTreeSet<PeerId>,
        reserve: Vec<PeerId>,
        enough: usize,
    ) {
        // The round before it is over: its answers would count twice.
        self.asking
            .retain(|_, asking| asking.id != id && now.since(asking.asked) < FORGET);
        self.asking.insert(
            no,
            Asking {
                id,
                asked: now,
                open: whom,
                reserve,
                enough,
                sure: 0,
                claims: Vec::new(),
            },
        );
    }

    /// One that was asked answers.
    pub fn stood(
        &mut self,
        now: Timestamp,
        no: AskNo,
        from: PeerId,
        sure: bool,
        claims: Vec<Claim>,
    ) -> Option<(RequestId, Heard)> {
        let asking = self.asking.get_mut(&no)?;
        // What a former keeper knows binds as well; its "nothing known" says nothing.
        let counts = asking.open.remove(&from);
        asking.sure += usize::from(sure && counts);
        let (id, asked, key) = (asking.id, asking.asked, 0);
        let known = std::mem::take(&mut asking.claims);
        let both = merge(
            Fact::Record { key, claims: known },
            Fact::Record { key, claims },
        );
        if let Fact::Record { claims, .. } = both {
            asking.claims = claims;
        }
        let own = self.own.get(&id)?;
        let token = Some(own.claim.token).filter(|_| !own.yielded);
        let heard = match others(asked, &asking.claims, token) {
            Some(record) => Heard::Found(asked, record),
            None if asking.sure >= asking.enough => Heard::Mine,
            None if asking.open.is_empty() && asking.reserve.is_empty() => Heard::Unsure,
            None => Heard::Waits,
        };
        if !sure && heard == Heard::Waits {
            asking.open.extend(asking.reserve.iter().copied());
            self.to_ask
                .extend(asking.reserve.drain(..).map(|whom| (no, id, whom)));
        }
        let earlier = |claim: &Claim| {
            (claim.at, claim.token) < (own.claim.at, own.claim.token)
                && claim.stage != Stage::Free
                && Some(claim.token) != token
        };
        let yields = matches!(&heard, Heard::Found(_, record) if record.status == RecordStatus::Claimed)
            && own.claim.place == Place::Untold
            && asking.claims.iter().any(earlier);
        if asking.open.is_empty() && now.since(asked) > FORGET {
            self.asking.remove(&no);
        }
        if yields {
            self.yield_to(now, id);
        }
        Some((id, heard))
    }

    /// The key of an access that asked under this number and is still open.
    pub fn asked(&self, no: AskNo) -> Option<Key> {
        let asking = self.asking.get(&no)?;
        Some(self.own.get(&asking.id)?.key)
    }

    /// Who is to be asked in addition, about which claim.
    pub fn to_ask(&mut self) -> Vec<(AskNo, PeerId, u128, Option<Claim>)> {
        let to_ask = std::mem::take(&mut self.to_ask);
        let claims = to_ask.into_iter().filter_map(|(no, id, whom)| {
            let own = self.own.get(&id)?;
            let claim = (!own.yielded).then(|| own.claim.clone());
            Some((no, whom, own.key.0, claim))
        });
        claims.collect()
    }

    fn yield_to(&mut self, now: Timestamp, id: RequestId) {
        if let Some(own) = self.own.get_mut(&id).filter(|own| !own.yielded) {
            own.yielded = true;
            let mut claim = own.claim.clone();
            claim.stage = Stage::Free;
            let key = own.key.0;
            self.owe(now, key, claim);
        }
    }

    /// A hand-off goes out. It is told after `delay`, together with the end where that comes before.
    pub fn sent(
        &mut self,
        now: Timestamp,
        id: RequestId,
        place: (ZoneId, CellId),
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
        let to = Place::At(place.0.0, place.1.0);
        let joined = match own.claim.place {
            Place::Untold => to,
            known if known == to => known,
            _ => Place::Anywhere,
        };
        if own.claim.stage == Stage::Sent && own.claim.place == joined {
            return;
        }
        (own.claim.stage, own.claim.place) = (Stage::Sent, joined);
        let (key, claim) = (own.key.0, own.claim.clone());
        self.owe(now + delay, key, claim);
    }

    /// It has its final answer.
    pub fn ended(&mut self, now: Timestamp, id: RequestId, came: Completion) {
        let Some(own) = self.own.remove(&id).filter(|own| !own.yielded) else {
            return;
        };
        let mut claim = own.claim;
        // What was answered from another's record is no run of this one's.
        let ran = claim.place != Place::Untold;
        (claim.stage, claim.body) = match came {
            Completion::Done(body) if ran => (Stage::Done, body.map(Vec::into_boxed_slice)),
            Completion::Unknown if ran => (Stage::Unknown, None),
            _ => (Stage::Free, None),
        };
        let key = own.key.0;
        self.owe(now, key, claim);
    }

    fn owe(&mut self, at: Timestamp, key: u128, claim: Claim) {
        let claims = vec![claim];
        let fact = Fact::Record { key, claims };
        let id = fact.id();
        if self.owed.len() >= MOST_OWED && !self.owed.contains_key(&id) {
            return;
        }
        let fact = match self.owed.remove(&id) {
            Some(owed) => merge(owed.fact, fact),
            None => fact,
        };
        self.timed.insert((at, id));
        let (to, pause, no) = (None, AGAIN, AskNo::default());
        self.owed.insert(
            id,
            Owed {
                fact,
                to,
                at,
                pause,
                no,
            },
        );
    }

    /// What was told is not told again: whoever keeps it compares it with the others that do.
    pub fn told(&mut self, fact: FactId) {
        self.owed.remove(&fact);
    }

    /// Somebody has what was told under this number.
    pub fn taken(&mut self, no: AskNo, from: PeerId) {
        let found = self.owed.iter_mut().find(|(_, owed)| owed.no == no);
        if let Some((&id, owed)) = found
            && let Some(to) = &mut owed.to
        {
            to.remove(&from);
            if to.is_empty() {
                self.owed.remove(&id);
            }
        }
    }

    pub fn next(&self) -> Option<Timestamp> {
        self.timed.first().map(|&(at, _)| at)
    }

    /// What is to be told by now, to whom: those who keep it, as `keepers` has them.
    pub fn advance(
        &mut self,
        now: Timestamp,
        mut no: impl FnMut() -> AskNo,
        keepers: impl Fn(FactId) -> BTreeSet<PeerId>,
    ) -> Vec<(AskNo, Fact, BTreeSet<PeerId>)> {
        let mut tells = Vec::new();
        while let Some((at, id)) = self.timed.first().copied().filter(|(at, _)| *at <= now) {
            self.timed.pop_first();
            let Some(owed) = self.owed.get_mut(&id).filter(|owed| owed.at == at) else {
                continue;
            };
            if owed.pause > LONGEST {
                self.owed.remove(&id);
                continue;
            }
            let to = owed.to.get_or_insert_with(|| keepers(id));
            // Who keeps it now that one of them is gone is told as well, with the next round.
            if owed.pause > AGAIN {
                let present = keepers(id);
                to.retain(|id| present.contains(id));
            }
            (owed.no, owed.at) = (no(), now + owed.pause);
            owed.pause = owed.pause.mul_f64(2.0);
            let (again, told) = (owed.at, (owed.no, owed.fact.clone(), to.clone()));
            if to.is_empty() {
                self.owed.remove(&id);
            } else {
                self.timed.insert((again, id));
            }
            tells.push(told);
        }
        tells
    }
}
