//! What one dispatcher holds in common with the others, and how it goes on without them.
//!
//! [`Peers`] is told what happens and answers with [`Act`]s. An access with a key waits for the others as long as the
//! operator allows and never longer; any other access waits for nobody. What others say never lets an access do more
//! than it could alone, and where two say different things the one that allows less holds.
//!
//! Four states: *alone*, nobody else is there; *fetching*, others are there and something that this one keeps is lacking;
//! *whole*; and *shadowed*, a later process has its name, and this one keeps quiet.

pub mod claims;
pub mod facts;
pub mod keepers;
pub mod letters;
pub mod members;
pub mod sync;

use claims::{Claims, Heard};
use facts::{Fact, FactId, Facts, Lasts, Listed, Slot, Token, mix};
use keepers::Keepers;
use letters::{Address, AskNo, Letter, Note, PeerId, Standing, State};
use members::{Do, Members, Own};
use std::collections::{BTreeMap, BTreeSet};
use sync::{PIECE, Sync, Who, Why};
use trailproxy::interface::{Earlier, HostEntry, HostState};
use trailproxy::units::*;
use trailproxy_shared_store::decide::records::{Came, Key, Records, Step, Verdict};

/// By how much a writer's clock may be ahead of a reader's. Whoever is further off is not listened to.
pub const APART: Span = Span::from_millis(750);
/// How long a letter may be on its way beside that: what it says may have been overtaken.
const LATE: Span = Span::from_secs(1);
/// One that was not run for so long was away: others may have given it up.
const AWAY: Span = Span::from_secs(1);
/// A host's turn is told for so long, and holds for so long against an own list that is silent.
pub const TURN_LASTS: Span = Span::from_secs(30);
/// A hint that is older says nothing.
const HINT_LASTS: Span = Span::from_secs(5);
/// What all hear of by themselves is told by the first after a draw from this, so that hundreds don't tell it at once.
const TELL_WITHIN: Span = Span::from_millis(300);
/// How often what is new is told on, and to how many.
const GOSSIP: Span = Span::from_millis(150);
const TELL_TO: usize = 3;
/// Who keeps what is reckoned anew no more often: hundreds that come at once change it once.
const FLEET: Span = Span::from_millis(100);
/// Rumours in a letter, and remembered at once.
const RUMOURS: usize = 20;
const MOST_RUMOURS: usize = 8_192;
const MOST_HINTS: usize = 1_024;

/// What is held in common, each by itself, and the bounds that the operator sets.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    pub records: bool,
    pub purges: bool,
    pub hosts: bool,
    pub hints: bool,
    /// An access with a key goes out only where the others have said that it is new, or where a repeat is dropped.
    pub refuse: bool,
    /// The longest that an access with a key waits.
    pub wait: Span,
    /// How long a record is kept: no shorter than any window and outer limit together.
    pub keep: Span,
    /// After that every copy from before a purge is gone.
    pub purges_last: Span,
}

/// How it stands with the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stands {
    Alone,
    Fetching,
    Whole,
    Shadowed,
    Left,
}

impl Stands {
    pub fn word(self) -> &'static str {
        match self {
            Stands::Alone => "alone",
            Stands::Fetching => "fetching",
            Stands::Whole => "whole",
            Stands::Shadowed => "shadowed",
            Stands::Left => "left",
        }
    }
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    Send(Address, Letter),
    /// An access that came goes on now.
    Decided {
        id: RequestId,
        verdict: Verdict,
    },
    Purged {
        object: Option<ObjectId>,
        group: GroupId,
        at: Moment,
    },
    /// Another's list restricts a host, which this one's does not yet.
    Restricted {
        host: HostId,
        listed: Listed,
        started: Option<Moment>,
    },
    /// That is over: the own list holds.
    Freed {
        host: HostId,
    },
    Hinted {
        host: HostId,
    },
    Turned(Stands),
    Member(PeerId, Standing),
    /// Another subsystem's word from that one.
    Beside(PeerId, u8, Vec<u8>),
}

/// Counters by the names that the operators' page has for them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub letters_in: u64,
    pub letters_out: u64,
    /// Letters not read: from too far off by the clock, from this one's own name.
    pub off_clock: u64,
    pub own_name: u64,
    pub claimed: u64,
    pub waited: u64,
    pub granted: u64,
    pub unsure: u64,
    pub joined: u64,
    pub answered: u64,
    pub found_late: u64,
    /// Facts that there was no room for.
    pub full: u64,
    pub news: u64,
    pub away: u64,
    pub pieces_in: u64,
    pub pieces_out: u64,
}

#[derive(Clone, Debug)]
struct Rumour {
    left: u32,
    at: Moment,
}

/// How the own list has a host, and what others' lists make of it.
#[derive(Clone, Copy, Debug, Default)]
struct Host {
    started: u64,
    place: u64,
    listed: Option<Listed>,
    /// Until then another's word holds against it.
    restricted: Option<Moment>,
}

/// One dispatcher's part.
#[derive(Clone, Debug)]
pub struct Peers {
    rules: Rules,
    chance: fastrand::Rng,
    members: Members,
    keepers: Keepers,
    facts: Facts,
    sync: Sync,
    records: Records,
    claims: Claims,
    rumours: BTreeMap<FactId, Rumour>,
    hints: BTreeMap<(HostId, u64), (Moment, u32)>,
    hosts: BTreeMap<HostId, Host>,
    gossip_at: Moment,
    /// When it was last reckoned who keeps what, and when it is to be again.
    fleet_at: Moment,
    fleet_due: Option<Moment>,
    last: Moment,
    next_no: u64,
    place: u64,
    stand: Stands,
    /// It saw fewer than were lost: what the others did meanwhile is not known here.
    island: bool,
    lost: usize,
    counts: Counts,
    acts: Vec<Act>,
}

/// What the others know to be this one's to keep. A macro of borrowed parts, so that the sync can change meanwhile.
macro_rules! who {
    ($self:ident, $who:ident) => {
        let (members, keepers, own) = (&$self.members, &$self.keepers, $self.members.own().id);
        let others = |slot: Slot| -> Vec<PeerId> {
            let all = keepers.of(slot).iter().copied();
            all.filter(|&id| id != own && members.alive(id)).collect()
        };
        let mine = |slot: Slot| keepers.keeps(own, slot);
        let $who = Who {
            keepers: &others,
            mine: &mine,
            lost: $self.lost,
        };
    };
}

impl Peers {
    pub fn new(now: Moment, own: Own, rules: Rules, seed: u64) -> Peers {
        let mut chance = fastrand::Rng::with_seed(seed);
        let lasts = Lasts {
            record: rules.keep + APART.times(2.0) + LATE,
            purge: rules.purges_last + APART,
            host: TURN_LASTS,
        };
        let mut peers = Peers {
            facts: Facts::new(lasts),
            sync: Sync::new(now, (lasts.record, lasts.purge.max(lasts.host))),
            members: Members::new(now, own, &mut chance),
            keepers: Keepers::default(),
            records: Records::default(),
            claims: Claims::default(),
            rumours: BTreeMap::new(),
            hints: BTreeMap::new(),
            hosts: BTreeMap::new(),
            gossip_at: now,
            fleet_at: now - FLEET,
            fleet_due: None,
            last: now,
            next_no: chance.u64(1..1 << 40),
            place: 0,
            stand: Stands::Alone,
            island: false,
            lost: 0,
            counts: Counts::default(),
            acts: Vec::new(),
            rules,
            chance,
        };
        peers.fleet(now);
        peers
    }

    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    pub fn stands(&self) -> Stands {
        self.stand
    }

    pub fn members(&self) -> &Members {
        &self.members
    }

    pub fn facts(&self) -> &Facts {
        &self.facts
    }

    /// Accesses, questions, debts and rumours that something is kept of, for a check that it stays bounded.
    pub fn kept(&self) -> (usize, usize, usize, usize) {
        let (own, asking, owed) = self.claims.kept();
        (own, asking, owed, self.rumours.len() + self.hints.len())
    }

    /// The sum of each slot that this one keeps, for a check that copies are the same.
    pub fn sums(&mut self) -> Vec<(Slot, u64)> {
        let own = self.members.own().id;
        let slots: Vec<Slot> = Slot::all()
            .filter(|&slot| self.keepers.keeps(own, slot))
            .collect();
        let facts = &mut self.facts;
        slots
            .into_iter()
            .map(|slot| (slot, facts.sum(slot)))
            .collect()
    }

    /// What another dispatcher did under the key of this access.
    pub fn earlier(&self, id: RequestId) -> Option<Earlier> {
        let unsure = || {
            // It may have run anywhere, however long ago.
            let refused = self.rules.refuse && !self.granted(id) && self.records.key(id).is_some();
            let (place, first) = (None, Moment(0));
            refused.then_some(Earlier { place, first })
        };
        self.records.earlier(id).or_else(unsure)
    }

    /// Whether the others said that no other has the key of this access.
    pub fn granted(&self, id: RequestId) -> bool {
        self.records.claimed(id)
    }

    fn state(&self) -> State {
        State {
            whole: self.stand == Stands::Whole,
            records: self.facts.records() as u32,
            place: self.place,
            roster: self.members.roster(),
        }
    }

    fn no(&mut self) -> AskNo {
        self.next_no += 1;
        AskNo(self.next_no)
    }

    fn quiet(&self) -> bool {
        matches!(self.stand, Stands::Shadowed | Stands::Left)
    }

    fn send(&mut self, now: Moment, to: Address, notes: Vec<Note>) {
        if self.members.shadowed {
            return;
        }
        self.counts.letters_out += 1;
        let letter = self.letter(now, notes);
        self.acts.push(Act::Send(to, letter));
    }

    fn letter(&self, now: Moment, notes: Vec<Note>) -> Letter {
        let own = self.members.own();
        Letter {
            from: own.id,
            life: own.life,
            turn: own.turn,
            stamp: now.0,
            notes,
        }
    }

    fn send_to(&mut self, now: Moment, id: PeerId, notes: Vec<Note>) {
        if let Some(to) = self.members.address(id) {
            self.send(now, to, notes);
        }
    }

    /// Time has come to `now`; one that was not run for long learns of it before it does anything else.
    fn wake(&mut self, now: Moment) {
        let away = now.since(self.last) >= AWAY;
        self.last = self.last.max(now);
        if !away || self.quiet() {
            return;
        }
        self.counts.away += 1;
        self.members.back(now);
        // It remembers all that it took part in; what the others did meanwhile it does not know.
        self.sync.together();
        let others = self.members.all().map(|(&id, _)| id);
        self.sync.without(others);
        self.lack_all(now, Why::CutOff);
        let steps = self.records.leave();
        self.follow(now, steps);
        self.settle(now);
    }

    fn lack_all(&mut self, now: Moment, why: Why) {
        let (keepers, own) = (&self.keepers, self.members.own().id);
        self.sync.lacks(
            now,
            why,
            Slot::all().filter(|&slot| keepers.keeps(own, slot)),
        );
    }

    /// The fleet as it is known: who keeps what follows from it.
    fn fleet(&mut self, now: Moment) {
        let own = self.members.own().id;
        let fleet = self.members.there().map(|(id, _)| id).chain([own]);
        let fleet: Vec<PeerId> = fleet.collect();
        let before: BTreeSet<Slot> = Slot::all()
            .filter(|&slot| self.keepers.keeps(own, slot))
            .collect();
        if self.keepers.fleet(now, fleet) {
            let keepers = &self.keepers;
            let fell =
                Slot::all().filter(|&slot| keepers.keeps(own, slot) && !before.contains(&slot));
            self.sync.lacks(now, Why::New, fell);
            let kept = Slot::all().filter(|&slot| keepers.keeps(own, slot));
            let with: BTreeSet<PeerId> = kept.flat_map(|slot| keepers.of(slot).to_vec()).collect();
            self.sync
                .compare(now, with.into_iter().filter(|&id| id != own));
        }
    }

    /// What the members' side wants, and what follows from it.
    fn settle(&mut self, now: Moment) {
        let mut turned = false;
        for todo in self.members.take() {
            match todo {
                Do::Send(to, mut notes) => {
                    notes.extend(self.members.gossip());
                    self.send(now, to, notes);
                }
                Do::Turned(id, standing) => {
                    turned = true;
                    self.acts.push(Act::Member(id, standing));
                }
                Do::Shadowed => {
                    let steps = self.records.leave();
                    self.follow(now, steps);
                }
            }
        }
        if turned {
            self.look_round(now);
            self.fleet_due.get_or_insert(self.fleet_at + FLEET);
        }
        if self.fleet_due.is_some_and(|due| due <= now) {
            (self.fleet_due, self.fleet_at) = (None, now);
            self.fleet(now);
        }
        let stand = self.judged();
        if stand != self.stand {
            self.stand = stand;
            self.acts.push(Act::Turned(stand));
        }
    }

    /// Whoever sees no more than were lost since records are kept may be on the smaller side of a cut, and is sure of nothing.
    /// Whoever was there lacks all that it keeps, from when the others are back: they did without it
    /// what it can't know, and its "nothing known" counts for nothing until it has compared. At once, and not when it is
    /// next reckoned who keeps what: between the two it would be the only keeper that it knows, and sure.
    fn look_round(&mut self, now: Moment) {
        let keep = self.rules.keep;
        let lost = |member: &members::Member| match member.word.standing {
            Standing::Dead => now.since(member.since) < keep,
            Standing::Suspected => true,
            _ => member.one_way,
        };
        let all = self.members.all();
        let lost: Vec<PeerId> = all.filter(|of| lost(of.1)).map(|of| *of.0).collect();
        let there = self.members.there().map(|(id, _)| id);
        let there = there.filter(|&id| self.members.alive(id)).count() + 1;
        let island = there <= lost.len();
        if island && !self.island {
            self.sync.together();
        }
        self.lost = lost.len();
        if island {
            self.sync.without(lost.into_iter());
        } else if self.island {
            self.lack_all(now, Why::CutOff);
        }
        self.island = island;
        self.members.cut_off(island);
    }

    fn judged(&self) -> Stands {
        if self.members.own().standing == Standing::Left {
            return Stands::Left;
        }
        if self.members.shadowed {
            return Stands::Shadowed;
        }
        if self.members.there().next().is_none() {
            return Stands::Alone;
        }
        who!(self, who);
        match self.sync.lacking(&who) {
            0 => Stands::Whole,
            _ => Stands::Fetching,
        }
    }

    /// A word of another subsystem to that one. It may be lost, as any letter, and is where that one is not known.
    pub fn beside(&mut self, now: Moment, to: PeerId, of: u8, bytes: Vec<u8>) {
        if !self.quiet() {
            self.send_to(now, to, vec![Note::Beside(of, bytes)]);
        }
    }

    /// An access with a key came. It goes on with [`Act::Decided`], at once or soon.
    pub fn come(&mut self, now: Moment, id: RequestId, key: Key, due: Moment) {
        self.wake(now);
        if !self.rules.records || self.quiet() {
            let verdict = Verdict::Go;
            return self.acts.push(Act::Decided { id, verdict });
        }
        let slot = FactId::Record(key.0).slot();
        let own = self.members.own().id;
        let keepers = self.keepers.of(slot);
        let reached = |id: &&PeerId| **id == own || self.members.alive(**id);
        let some = keepers.iter().filter(reached).count() > keepers.len() / 2;
        let wait = Some(self.rules.wait).filter(|_| some && self.claims.room());
        self.counts.waited += u64::from(wait.is_some());
        let steps = self.records.come(now, id, key, due, wait);
        self.follow(now, steps);
    }

    /// A hand-off of it goes out.
    pub fn hand_off(&mut self, now: Moment, id: RequestId, place: (ZoneId, CellId)) {
        let token = self.token();
        self.records.sent(id, place);
        self.claims.sent(now, id, place, token);
        self.tell_owed(now);
    }

    /// It has its final answer.
    pub fn ended(&mut self, now: Moment, id: RequestId, came: Came) {
        self.records.ended(id, &came);
        self.claims.ended(now, id, came);
        self.tell_owed(now);
    }

    fn token(&mut self) -> Token {
        Token(self.chance.u64(16..))
    }

    fn follow(&mut self, now: Moment, steps: Vec<Step>) {
        for step in steps {
            match step {
                Step::Claim(id, key) => self.claim(now, id, key),
                Step::Decided(id, verdict) => {
                    self.counts.answered += u64::from(matches!(verdict, Verdict::Answer(_)));
                    self.acts.push(Act::Decided { id, verdict });
                }
            }
        }
    }

    fn claim(&mut self, now: Moment, id: RequestId, key: Key) {
        if !self.claims.room() {
            let steps = self.records.go(id);
            return self.follow(now, steps);
        }
        self.counts.claimed += 1;
        let token = self.token();
        let claim = self.claims.claim(now, id, key, token);
        let slot = FactId::Record(key.0).slot();
        let own = self.members.own().id;
        let keepers = self.keepers.of(slot).to_vec();
        let enough = keepers.len() / 2 + 1;
        let whom: BTreeSet<PeerId> = keepers.iter().copied().collect();
        let former: BTreeSet<PeerId> = self.keepers.former(now, slot).collect();
        let no = self.no();
        self.claims.ask(now, no, id, whom.clone(), enough);
        let key = key.0;
        for &whom in whom.union(&former).filter(|&&whom| whom != own) {
            let claim = claim.clone();
            self.send_to(now, whom, vec![Note::Claim { no, key, claim }]);
        }
        if whom.contains(&own) {
            let (sure, claims) = self.claimed(now, key, claim);
            self.stood(now, no, own, sure, claims);
        }
    }

    /// A claim at one who keeps its key: what is known of the key, and whether that is all.
    fn claimed(
        &mut self,
        now: Moment,
        key: u128,
        claim: Option<facts::Claim>,
    ) -> (bool, Vec<facts::Claim>) {
        let id = FactId::Record(key);
        // One who does not know that it keeps the key has fetched nothing of it.
        let keeps = self.keepers.keeps(self.members.own().id, id.slot());
        let mut sure = keeps && self.sync.whole(id.slot()) && !self.island;
        if let Some(claim) = claim {
            let claims = vec![claim];
            let taken = self.facts.take(now, Fact::Record { key, claims });
            self.counts.full += u64::from(taken.is_none());
            sure &= taken.is_some();
        }
        match self.facts.get(id) {
            Some(Fact::Record { claims, .. }) => (sure, claims.clone()),
            _ => (sure, Vec::new()),
        }
    }

    fn stood(
        &mut self,
        now: Moment,
        no: AskNo,
        from: PeerId,
        sure: bool,
        claims: Vec<facts::Claim>,
    ) {
        let Some((id, heard)) = self.claims.stood(now, no, from, sure, claims) else {
            return;
        };
        let steps = match heard {
            Heard::Waits => return,
            Heard::Mine => {
                self.counts.granted += u64::from(self.records.waits(id));
                // One that claimed at the same time has taken its claim back.
                self.records.freed(id);
                self.records.mine(id)
            }
            Heard::Unsure => {
                self.counts.unsure += 1;
                self.records.go(id)
            }
            Heard::Found(asked, record) => {
                let news = !self.records.waits(id) && self.records.earlier(id).is_none();
                let steps = self.records.found(now, asked, id, record);
                let waits = self.records.waits(id);
                self.counts.joined += u64::from(steps.is_empty() && waits);
                self.counts.found_late += u64::from(news);
                steps
            }
        };
        self.follow(now, steps);
        self.tell_owed(now);
    }

    /// What keepers are owed goes out, and into the own copy.
    fn tell_owed(&mut self, now: Moment) {
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
        for (no, fact, to) in self.claims.advance(now, no, of) {
            for whom in to {
                if whom == own {
                    let taken = self.facts.take(now, fact.clone());
                    self.counts.full += u64::from(taken.is_none());
                    self.claims.taken(no, own);
                } else {
                    self.send_to(now, whom, vec![Note::Put(no, vec![fact.clone()])]);
                }
            }
        }
    }

    /// A purge was heard of, from the journal, which has it at this moment.
    pub fn purged(&mut self, now: Moment, object: Option<ObjectId>, group: GroupId, at: Moment) {
        if self.rules.purges {
            let group = object.map_or(group.0, |_| 0);
            let object = object.map(|object| object.0);
            self.own_fact(
                now,
                Fact::Purge {
                    object,
                    group,
                    at: at.0,
                },
            );
        }
    }

    /// The own list speaks of hosts, at this place in the journal.
    pub fn listed(&mut self, now: Moment, entries: &[HostEntry], place: u64) {
        self.place = self.place.max(place);
        if !self.rules.hosts {
            return;
        }
        for entry in entries {
            let listed = match entry.state {
                HostState::Ready => Listed::Ready,
                HostState::Draining => Listed::Draining,
                HostState::Gone => Listed::Gone,
            };
            let started = entry.started.map_or(0, |at| at.0);
            let host = self.hosts.entry(entry.host).or_default();
            let (same, restricted) = (
                (host.started, host.listed) == (started, Some(listed)),
                host.restricted,
            );
            *host = Host {
                started,
                place,
                listed: Some(listed),
                restricted: None,
            };
            if listed == Listed::Gone {
                self.hosts.remove(&entry.host);
            }
            // What another said of it is overtaken, unless that other is further in the journal.
            let id = FactId::Host(entry.host.0);
            let known = self.facts.get(id).cloned();
            if restricted.is_some()
                && let Some(known) = known
            {
                self.restrict(now, &known);
            }
            let young = now.since(Moment(started)) < TURN_LASTS;
            if !same && (listed != Listed::Ready || young) {
                let (host, at) = (entry.host.0, now.0);
                self.own_fact(
                    now,
                    Fact::Host {
                        host,
                        started,
                        place,
                        listed,
                        at,
                    },
                );
            }
        }
    }

    /// A breaker opened here.
    pub fn opened(&mut self, now: Moment, entry: HostEntry) {
        if self.rules.hints && self.hints.len() < MOST_HINTS {
            let started = entry.started.map_or(0, |at| at.0 / 1_000_000);
            self.hints
                .insert((entry.host, started), (now, self.tells()));
        }
    }

    fn tells(&self) -> u32 {
        (usize::BITS - self.members.all().count().leading_zeros()) + 2
    }

    /// What happened here, which others may have heard of, too.
    fn own_fact(&mut self, now: Moment, fact: Fact) {
        let id = fact.id();
        if self.facts.take(now, fact) == Some(true) && self.rumours.len() < MOST_RUMOURS {
            let at = now + TELL_WITHIN.times(self.chance.f64());
            let left = self.tells();
            self.rumours.insert(id, Rumour { left, at });
        }
    }

    /// A fact from another.
    fn told(&mut self, now: Moment, fact: Fact) {
        let id = fact.id();
        let wanted = match &fact {
            Fact::Record { .. } => self.rules.records,
            Fact::Purge { .. } => self.rules.purges,
            Fact::Host { .. } => self.rules.hosts,
        };
        if !wanted {
            return;
        }
        match self.facts.take(now, fact) {
            None => self.counts.full += 1,
            Some(false) => {
                // All have it, by and by.
                if let Some(rumour) = self.rumours.get_mut(&id) {
                    rumour.left = rumour.left.saturating_sub(1);
                }
            }
            Some(true) => {
                self.counts.news += 1;
                let Some(fact) = self.facts.get(id).cloned() else {
                    return;
                };
                match fact {
                    Fact::Record { .. } => return,
                    Fact::Purge { object, group, at } => self.acts.push(Act::Purged {
                        object: object.map(ObjectId),
                        group: GroupId(group),
                        at: Moment(at),
                    }),
                    Fact::Host { .. } => self.restrict(now, &fact),
                }
                if self.rumours.len() < MOST_RUMOURS {
                    let left = self.tells();
                    self.rumours.insert(id, Rumour { left, at: now });
                }
            }
        }
    }

    /// Another's word of a host holds where it is later in the journal and allows less; it never adds a host.
    fn restrict(&mut self, now: Moment, fact: &Fact) {
        let Fact::Host {
            host,
            started,
            place,
            listed,
            at,
        } = *fact
        else {
            return;
        };
        let Some(own) = self.hosts.get_mut(&HostId(host)) else {
            return;
        };
        let until = Moment(at) + TURN_LASTS;
        let less = own.listed.is_some_and(|own| listed > own) || started > own.started;
        if place > own.place && less && until > now {
            own.restricted = Some(until);
            self.acts.push(Act::Restricted {
                host: HostId(host),
                listed: own.listed.map_or(listed, |own| own.max(listed)),
                started: Some(Moment(started.max(own.started))).filter(|at| at.0 > 0),
            });
        }
    }

    /// A letter came from that address.
    pub fn heard(&mut self, now: Moment, address: Address, letter: Letter) {
        self.wake(now);
        if self.quiet() {
            return;
        }
        let stamp = Moment(letter.stamp);
        if stamp > now + APART || now.since(stamp) > APART + LATE {
            self.counts.off_clock += 1;
            return;
        }
        self.counts.letters_in += 1;
        let from = letter.from;
        if from == self.members.own().id {
            // Another process under this one's name: who came later keeps it.
            self.counts.own_name += 1;
            let word = letters::Word {
                id: from,
                address,
                life: letter.life,
                turn: letter.turn,
                standing: Standing::Alive,
            };
            self.members.word(now, word);
            if !self.members.shadowed {
                let own = *self.members.own();
                self.send(now, address, vec![Note::Words(vec![own])]);
            }
            return self.settle(now);
        }
        self.members
            .heard(now, from, address, letter.life, letter.turn);
        self.settle(now);
        let mut answers = Vec::new();
        for note in letter.notes {
            self.note(now, from, address, note, &mut answers);
        }
        if !answers.is_empty() {
            self.send(now, address, answers);
        }
        self.settle(now);
    }

    fn note(
        &mut self,
        now: Moment,
        from: PeerId,
        address: Address,
        note: Note,
        answers: &mut Vec<Note>,
    ) {
        let own = self.state();
        if self.members.note(now, from, address, &note, own) {
            return;
        }
        match note {
            Note::Opened { host, started, at } => {
                let (key, at) = ((HostId(host), started), Moment(at).min(now));
                let known = self.hints.contains_key(&key);
                if self.rules.hints
                    && now.since(at) < HINT_LASTS
                    && !known
                    && self.hints.len() < MOST_HINTS
                {
                    self.hints.insert(key, (at, self.tells()));
                    self.acts.push(Act::Hinted { host: HostId(host) });
                }
            }
            Note::Rumours(facts) => facts.into_iter().for_each(|fact| self.told(now, fact)),
            Note::Claim { no, key, claim } => {
                let (sure, claims) = self.claimed(now, key, claim);
                answers.push(Note::Stood { no, sure, claims });
            }
            Note::Stood { no, sure, claims } => self.stood(now, no, from, sure, claims),
            Note::Put(no, facts) => {
                facts.into_iter().for_each(|fact| self.told(now, fact));
                answers.push(Note::Taken(no));
            }
            Note::Taken(no) => self.claims.taken(no, from),
            Note::Sums(sums) => {
                who!(self, who);
                let facts = &mut self.facts;
                answers.extend(self.sync.sums(from, &sums, |slot| facts.sum(slot), &who));
            }
            Note::Same { slots, has } => {
                who!(self, who);
                for slot in self.sync.same(now, from, &slots, has, &who) {
                    self.facts.drop_slot(slot);
                }
            }
            Note::Differ(slots) => {
                // What is only held here becomes the same there before it is let go of.
                let own = self.members.own().id;
                let held: BTreeSet<Slot> = self.facts.slots().collect();
                for slot in slots {
                    if self.keepers.keeps(own, slot) || held.contains(&slot) {
                        self.sync.fetch(slot, from);
                    }
                }
            }
            Note::Pull { slot, after } if self.sync.gives(now) => {
                self.counts.pieces_out += 1;
                let (facts, end) = self.facts.page(slot, after, PIECE);
                let has = self.sync.has(slot);
                answers.push(Note::Page {
                    slot,
                    after,
                    facts,
                    end,
                    has,
                });
            }
            Note::Page {
                slot,
                after,
                facts,
                end,
                has,
            } => {
                who!(self, who);
                let (wanted, next) =
                    self.sync
                        .page(now, from, (slot, after), &facts, (end, has), &who);
                if wanted {
                    self.counts.pieces_in += 1;
                    let before = self.counts.news;
                    facts.into_iter().for_each(|fact| self.told(now, fact));
                    if self.counts.news > before && !slot.is_common() {
                        who!(self, who);
                        let others = (who.keepers)(slot);
                        self.sync.spread(now, &others);
                    }
                }
                if let Some((whom, note)) = next {
                    self.send_to(now, whom, vec![note]);
                }
            }
            Note::Beside(of, bytes) => self.acts.push(Act::Beside(from, of, bytes)),
            Note::Show(no) => answers.push(Note::Shown(no, self.show(now))),
            _ => {}
        }
    }

    /// A question from the command line is answered whatever state this one is in, and makes nobody a member.
    pub fn shown(&mut self, now: Moment, address: Address, letter: &Letter) -> bool {
        let no = match letter.notes[..] {
            [Note::Show(no)] => no,
            [Note::Leave(no, leaves)] => {
                if leaves {
                    self.leave(now);
                } else {
                    self.join(now);
                }
                no
            }
            _ => return false,
        };
        let text = self.show(now);
        self.answer(now, address, no, text);
        true
    }

    /// What the command line asked for.
    pub fn answer(&mut self, now: Moment, address: Address, no: AskNo, text: String) {
        let letter = self.letter(now, vec![Note::Shown(no, text)]);
        self.acts.push(Act::Send(address, letter));
    }

    /// This one leaves in order.
    pub fn leave(&mut self, now: Moment) {
        if !self.quiet() {
            self.members.leave();
            self.settle(now);
        }
    }

    /// One that left comes back, as one that was away.
    pub fn join(&mut self, now: Moment) {
        if self.stand == Stands::Left {
            self.members.join();
            self.members.back(now);
            self.lack_all(now, Why::New);
            self.settle(now);
        }
    }

    /// In words, for a person: a line for itself, and one for each that is not well.
    pub fn show(&self, now: Moment) -> String {
        let (mut alive, mut rest) = (0, Vec::new());
        for (id, member) in self.members.all() {
            let word = member.word;
            if word.standing == Standing::Alive && !member.one_way {
                alive += 1;
            } else if rest.len() < 16 {
                let [a, b, c, d] = word.address.ip;
                let how = if member.one_way {
                    "reached by others only".into()
                } else {
                    format!("{:?}", word.standing)
                };
                rest.push(format!(
                    "{:016x} at {a}.{b}.{c}.{d}:{}: {how} for {:.1} s",
                    id.0,
                    word.address.port,
                    now.since(member.since).as_secs_f64()
                ));
            }
        }
        who!(self, who);
        let mut text = format!(
            "{}: alive={alive} not_well={} lacking={} records={} commons={} place={} {:?}",
            self.stand.word(),
            self.members.all().count() - alive,
            self.sync.lacking(&who),
            self.facts.records(),
            self.facts.commons(),
            self.place,
            self.counts
        );
        for line in rest {
            text.push('\n');
            text.push_str(&line);
        }
        text
    }

    /// When something is to be done by itself next.
    pub fn next(&self) -> Moment {
        let timed = [self.records.next(), self.claims.next(), self.facts.next()];
        let freed = self.hosts.values().filter_map(|host| host.restricted);
        let timed = timed.into_iter().flatten().chain(freed);
        let timed = timed.chain(self.fleet_due);
        let always = [self.members.next(), self.sync.next(), self.gossip_at];
        if self.quiet() {
            return timed.min().unwrap_or(self.last + AWAY);
        }
        timed.chain(always).min().unwrap_or(self.gossip_at)
    }

    /// Time passes: what is due is done.
    pub fn advance(&mut self, now: Moment) {
        self.wake(now);
        let steps = self.records.advance(now);
        self.follow(now, steps);
        self.facts.advance(now);
        self.free(now);
        // The lost are counted for a while only.
        self.look_round(now);
        if self.quiet() {
            return;
        }
        self.tell_owed(now);
        let state = self.state();
        self.members.advance(now, state, &mut self.chance);
        self.settle(now);
        self.fetch(now);
        if now >= self.gossip_at {
            self.gossip_at = now + GOSSIP.times(0.75 + 0.5 * self.chance.f64());
            self.gossip(now);
        }
        self.settle(now);
    }

    fn free(&mut self, now: Moment) {
        for (&host, known) in &mut self.hosts {
            if known.restricted.is_some_and(|until| until <= now) {
                known.restricted = None;
                self.acts.push(Act::Freed { host });
            }
        }
    }

    fn fetch(&mut self, now: Moment) {
        if now < self.sync.next() {
            return;
        }
        let anybody = self.members.there().map(|(id, _)| id);
        let anybody: Vec<PeerId> = anybody.filter(|&id| self.members.alive(id)).collect();
        let held: Vec<Slot> = self.facts.slots().collect();
        let asks = {
            who!(self, who);
            let facts = &mut self.facts;
            let own = |slot| facts.sum(slot);
            self.sync
                .advance(now, &held, own, &who, &anybody, &mut self.chance)
        };
        for (whom, note) in asks {
            self.send_to(now, whom, vec![note]);
        }
    }

    fn gossip(&mut self, now: Moment) {
        self.hints.retain(|_, (at, _)| now.since(*at) < HINT_LASTS);
        let mut notes = Vec::new();
        for (&(host, started), (at, left)) in &mut self.hints {
            if *left > 0 && notes.len() < RUMOURS {
                *left -= 1;
                let (host, at) = (host.0, at.0);
                notes.push(Note::Opened { host, started, at });
            }
        }
        let due = self
            .rumours
            .iter_mut()
            .filter(|(_, rumour)| rumour.at <= now);
        let mut facts = Vec::new();
        for (&id, rumour) in due.take(RUMOURS) {
            rumour.left = rumour.left.saturating_sub(1);
            facts.extend(self.facts.get(id).cloned());
        }
        self.rumours.retain(|_, rumour| rumour.left > 0);
        if !facts.is_empty() {
            notes.push(Note::Rumours(facts));
        }
        if notes.is_empty() {
            return;
        }
        let mut whom: Vec<PeerId> = self.members.there().map(|(id, _)| id).collect();
        self.chance.shuffle(&mut whom);
        for id in whom.into_iter().take(TELL_TO) {
            self.send_to(now, id, notes.clone());
        }
    }

    /// What is to be done now.
    pub fn take(&mut self) -> Vec<Act> {
        std::mem::take(&mut self.acts)
    }
}

/// The life of a process that starts at this moment: later ones are higher, and no two of one moment are the same.
pub fn life(now: Moment, seed: u64) -> letters::Life {
    letters::Life(now.0 << 8 | mix(seed) & 0xff)
}
