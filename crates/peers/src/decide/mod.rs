//! What one dispatcher holds in common with the others, and how it goes on without them.
//!
//! [`Peers`] is told what happens and answers with [`Action`]s. An access with a key waits for the others as long as the
//! operator allows and never longer; any other access waits for nobody. What others say never lets an access do more
//! than it could alone, and where two say different things the one that allows less holds.
//!
//! Four states: *alone*, nobody else is there; *fetching*, others are there and something that this one keeps is lacking;
//! *whole*; and *shadowed*, a later process has its name, and this one keeps quiet.

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

pub mod claims;
pub mod facts;
pub mod keepers;
mod keyed;
pub mod locality;
pub mod members;
pub mod messages;
mod operating;
mod receiving;
pub mod relay;
mod relaying;
mod spreading;
pub mod sync;

use claims::{Claims, Heard};
use facts::{Fact, FactId, Facts, Lasts, Listed, Slot, Token, mix};
use keepers::{Changed, Keepers, Scope};
use members::{MemberAction, Members, Own};
use messages::{Address, AskNo, Message, Note, PeerId, Standing, State};
use relay::Relays;
use std::collections::{BTreeMap, BTreeSet};
use sync::{PIECE, Sync, Who, Why};
use trailproxy::interface::{HostEntry, HostState, PeerAttempt};
use trailproxy::units::*;
use trailproxy_shared_store::decide::records::{
    Completion, Key, RecordDecision, RecordStep, Records,
};

/// By how much a writer's clock may be ahead of a reader's. Whoever is further off is not listened to.
pub const APART: TimeSpan = TimeSpan::from_millis(750);
/// How long a message may be on its way beside that: what it says may have been overtaken.
const LATE: TimeSpan = TimeSpan::from_secs(1);
/// One that was not run for so long was away: others may have given it up.
const AWAY: TimeSpan = TimeSpan::from_secs(1);
/// A host's turn is told for so long, and holds for so long against an own list that is silent.
pub const TURN_LASTS: TimeSpan = TimeSpan::from_secs(30);
/// A hint that is older says nothing.
const HINT_LASTS: TimeSpan = TimeSpan::from_secs(5);
/// What all hear of by themselves is told by the first after a draw from this, so that hundreds don't tell it at once.
const TELL_WITHIN: TimeSpan = TimeSpan::from_millis(300);
/// How often what is new is told on, and to how many.
const GOSSIP: TimeSpan = TimeSpan::from_millis(150);
const TELL_TO: usize = 3;
/// Who keeps what is reckoned anew no more often: hundreds that come at once change it once.
const FLEET: TimeSpan = TimeSpan::from_millis(100);
/// Rumours in a message, and remembered at once.
const RUMOURS: usize = 20;
const MOST_RUMOURS: usize = 8_192;
const MOST_HINTS: usize = 1_024;
/// One whose clock is too far off is answered no more often, and so many are remembered.
const ANSWER_OFF_CLOCK: TimeSpan = TimeSpan::from_secs(1);
const MOST_OFF_CLOCK: usize = 1_024;

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
    pub wait: TimeSpan,
    /// How long a record is kept: no shorter than any window and outer limit together.
    pub keep: TimeSpan,
    /// After that every copy from before a purge is gone.
    pub purges_last: TimeSpan,
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
pub enum Action {
    Send(Address, Message),
    /// An access that came goes on now.
    Decided {
        id: RequestId,
        verdict: RecordDecision,
    },
    Purged {
        object: Option<ObjectId>,
        group: GroupId,
        at: Timestamp,
    },
    /// Another's list restricts a host, which this one's does not yet.
    Restricted {
        host: HostId,
        listed: Listed,
        started: Option<Timestamp>,
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
    /// Messages not read: from too far off by the clock, from this one's own name.
    pub off_clock: u64,
    pub own_name: u64,
    pub claimed: u64,
    pub waited: u64,
    pub granted: u64,
    pub unsure: u64,
    /// Questions to this replica: under keys that another zone has claimed, and while it could not prove that keys are new
    /// in other zones.
    pub elsewhere: u64,
    pub unproved: u64,
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
    at: Timestamp,
}

/// How the own list has a host, and what others' lists make of it.
#[derive(Clone, Copy, Debug, Default)]
struct Host {
    started: u64,
    place: u64,
    listed: Option<Listed>,
    /// Until then another's word holds against it.
    restricted: Option<Timestamp>,
}

/// One whose clock is too far off for it to be listened to.
#[derive(Clone, Copy, Debug)]
struct OffClock {
    heard: Timestamp,
    /// When it was last told that this one is there.
    answered: Timestamp,
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
    /// What other zones claim, where this member says where it is.
    relays: Option<Relays>,
    records: Records,
    claims: Claims,
    rumours: BTreeMap<FactId, Rumour>,
    hints: BTreeMap<(HostId, u64), (Timestamp, u32)>,
    hosts: BTreeMap<HostId, Host>,
    gossip_at: Timestamp,
    /// When it is to be looked again how many were lost lately, where nothing turns before.
    look_round_at: Timestamp,
    /// When it was last reckoned who keeps what, and when it is to be again.
    fleet_at: Timestamp,
    fleet_due: Option<Timestamp>,
    last: Timestamp,
    next_no: u64,
    place: u64,
    stand: Stands,
    /// It saw fewer than were lost: what the others did meanwhile is not known here.
    island: bool,
    lost: usize,
    /// Those that are there and can't be listened to.
    off_clock: BTreeMap<PeerId, OffClock>,
    counts: Counts,
    acts: Vec<Action>,
}

impl Peers {
    pub fn new(now: Timestamp, own: Own, rules: Rules, seed: u64) -> Peers {
        let mut chance = fastrand::Rng::with_seed(seed);
        let lasts = Lasts {
            record: rules.keep + APART.mul_f64(2.0) + LATE,
            purge: rules.purges_last + APART,
            host: TURN_LASTS,
        };
        let mut peers = Peers {
            facts: Facts::new(lasts),
            sync: Sync::new(now, (lasts.record, lasts.purge.max(lasts.host))),
            relays: own
                .topology
                .clone()
                .map(|topology| Relays::new(now, topology, lasts.record)),
            keepers: Keepers::new(own.topology.clone()),
            members: Members::new(now, own, &mut chance),
            records: Records::default(),
            claims: Claims::default(),
            rumours: BTreeMap::new(),
            hints: BTreeMap::new(),
            hosts: BTreeMap::new(),
            gossip_at: now,
            look_round_at: now,
            fleet_at: now - FLEET,
            fleet_due: None,
            last: now,
            next_no: chance.u64(1..1 << 40),
            place: 0,
            stand: Stands::Alone,
            island: false,
            lost: 0,
            off_clock: BTreeMap::new(),
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

    /// Replicas in other zones that this one tells of its zone's claims.
    pub fn relay_partners(&self) -> usize {
        self.relays.as_ref().map_or(0, Relays::partners)
    }

    /// Groups of records that this member keeps a replica of by zone, and how many of them prove keys to be new.
    pub fn proving(&self) -> (usize, usize) {
        self.relays.as_ref().map_or((0, 0), Relays::proving)
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

    fn send(&mut self, now: Timestamp, to: Address, notes: Vec<Note>) {
        if self.members.shadowed {
            return;
        }
        self.counts.letters_out += 1;
        let message = self.message(now, notes);
        self.acts.push(Action::Send(to, message));
    }

    fn message(&self, now: Timestamp, notes: Vec<Note>) -> Message {
        let own = self.members.own();
        Message {
            from: own.id,
            life: own.life,
            incarnation: own.incarnation,
            stamp: now.0,
            notes,
        }
    }

    fn send_to(&mut self, now: Timestamp, id: PeerId, notes: Vec<Note>) {
        if let Some(to) = self.members.address(id) {
            self.send(now, to, notes);
        }
    }

    /// Time has come to `now`; one that was not run for long learns of it before it does anything else.
    fn wake(&mut self, now: Timestamp) {
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
        let steps = self.records.proceed_all();
        self.follow(now, steps);
        self.settle(now);
    }

    fn lack_all(&mut self, now: Timestamp, why: Why) {
        let (keepers, own) = (&self.keepers, self.members.own().id);
        self.sync.lacks(
            now,
            why,
            Slot::all().filter(|&slot| keepers.keeps(own, slot)),
        );
    }

    /// Who keeps what is to be reckoned anew by then.
    fn look_at_fleet(&mut self, at: Timestamp) {
        let due = self.fleet_due.map_or(at, |due| due.min(at));
        self.fleet_due = Some(due);
    }

    /// The fleet as it is known: who keeps what follows from it.
    fn fleet(&mut self, now: Timestamp) {
        let own = self.members.own().id;
        let (fleet, again) = self.members.located(now);
        if let Some(again) = again {
            self.look_at_fleet(again);
        }
        let before: BTreeSet<Slot> = Slot::all()
            .filter(|&slot| self.keepers.keeps(own, slot))
            .collect();
        let changed = self.keepers.fleet(now, fleet);
        if changed == Changed::Scope {
            // What was agreed on among other replicas is not known to these.
            self.lack_all(now, Why::New);
        }
        if changed != Changed::Nothing {
            self.reseat(now);
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
    fn settle(&mut self, now: Timestamp) {
        let (mut turned, mut members_changed) = (false, false);
        for todo in self.members.take() {
            match todo {
                MemberAction::Send(to, mut notes) => {
                    notes.extend(self.members.gossip());
                    self.send(now, to, notes);
                }
                MemberAction::Turned(id, standing) => {
                    (turned, members_changed) = (true, true);
                    self.acts.push(Action::Member(id, standing));
                }
                MemberAction::Reach => turned = true,
                MemberAction::Located => {
                    self.look_at_fleet(self.fleet_at + FLEET);
                }
                MemberAction::Shadowed => {
                    let steps = self.records.proceed_all();
                    self.follow(now, steps);
                }
            }
        }
        if turned {
            self.look_round(now);
        }
        if members_changed {
            self.look_at_fleet(self.fleet_at + FLEET);
        }
        if self.fleet_due.is_some_and(|due| due <= now) {
            (self.fleet_due, self.fleet_at) = (None, now);
            self.fleet(now);
        }
        let stand = self.judged();
        if stand != self.stand {
            self.stand = stand;
            self.acts.push(Action::Turned(stand));
        }
    }

    /// Whoever sees no more than were lost since records are kept may be on the smaller side of a cut, and is sure of nothing.
    /// Whoever was there lacks all that it keeps, from when the others are back: they did without it
    /// what it can't know, and its "nothing known" counts for nothing until it has compared. At once, and not when it is
    /// next reckoned who keeps what: between the two it would be the only keeper that it knows, and sure.
    fn look_round(&mut self, now: Timestamp) {
        self.look_round_at = now + FLEET;
        let keep = self.rules.keep;
        let lost = |member: &members::Member| match member.update.standing {
            Standing::Dead => now.since(member.since) < keep,
            Standing::Suspected => true,
            _ => member.one_way,
        };
        // Only those matter that a claim is agreed on with.
        let zone_only = self.keepers.scope() == Scope::Zone;
        let (mut there, mut lost_now) = (1, Vec::new());
        for (&id, member) in self.members.all() {
            if zone_only && !self.members.is_in_zone(member) {
                continue;
            }
            there += usize::from(member.is_reached());
            if lost(member) {
                lost_now.push(id);
            }
        }
        self.off_clock
            .retain(|_, known| now.since(known.heard) < keep);
        for &id in self.off_clock.keys() {
            let reached = self.members.alive(id);
            if !reached && !lost_now.contains(&id) {
                lost_now.push(id);
            }
        }
        let lost = lost_now;
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

    /// When something is to be done by itself next.
    pub fn next(&self) -> Timestamp {
        let relays = self.relays.as_ref().and_then(Relays::next);
        let timed = [
            self.records.next_deadline(),
            self.claims.next(),
            self.facts.next(),
            relays,
        ];
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
    pub fn advance(&mut self, now: Timestamp) {
        self.wake(now);
        let steps = self.records.advance(now);
        self.follow(now, steps);
        self.facts.advance(now);
        self.free(now);
        // The lost are counted for a while only.
        if now >= self.look_round_at {
            self.look_round(now);
        }
        if self.quiet() {
            return;
        }
        self.tell_owed(now);
        let state = self.state();
        self.members.advance(now, state, &mut self.chance);
        self.settle(now);
        self.fetch(now);
        self.relay(now);
        if now >= self.gossip_at {
            self.gossip_at = now + GOSSIP.mul_f64(0.75 + 0.5 * self.chance.f64());
            self.gossip(now);
        }
        self.settle(now);
    }

    /// What is to be done now.
    pub fn take(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.acts)
    }
}

/// The life of a process that starts at this moment: later ones are higher, and no two of one moment are the same.
pub fn life(now: Timestamp, seed: u64) -> messages::Life {
    messages::Life(now.0 << 8 | mix(seed) & 0xff)
}
