//! How copies become the same: sums are compared, and what differs is fetched in pieces.
//!
//! A member that starts, returns or has slots fall to it lacks them until somebody who lacks nothing there has told that
//! both have the same, or has given all that it has. Until then it says so with every answer, and its "nothing known"
//! counts for nothing. Where nobody lacks nothing (all were restarted), a slot is whole once everything from before has
//! run out. Nobody waits for any of this.

use super::facts::{Fact, FactId, Slot};
use super::messages::{Completeness, MessagePart, PeerId, TimeRange};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use trailproxy::units::{TimeSpan, Timestamp};

/// Sums are compared with one other so often, spread by a quarter; and this often while something is lacking lately.
const EVERY: TimeSpan = TimeSpan::from_millis(500);
const HURRY: TimeSpan = TimeSpan::from_millis(50);
const LATELY: TimeSpan = TimeSpan::from_secs(3);
/// Whoever claims may not know yet that a slot is kept here, and tell only others: what is compared sooner after it fell
/// here proves nothing.
const SETTLED: TimeSpan = TimeSpan::from_secs(1);
/// Of three keepers any two know all claims that stood: so many others have to be heard by one that missed some.
const ENOUGH: usize = 2;
/// Slots fetched at once, and how long a piece is waited for.
const AT_ONCE: usize = 8;
const PIECE_WITHIN: TimeSpan = TimeSpan::from_millis(150);
/// After so many unanswered questions another is asked, and after so many the slot is left for the next round.
const SAME_AGAIN: u32 = 2;
const GIVE_UP: u32 = 8;
/// Bytes of facts in one piece: a datagram that is not split on a usual network.
pub const PIECE: usize = 1_100;
/// Pieces given out in a second, all askers together, and at once: about a tenth of a core. More takes time from service.
const GIVEN_PER_S: f64 = 10_000.0;
const GIVEN_AT_ONCE: f64 = 256.0;
/// Sums in one note.
const SUMS: usize = 96;
/// Others that wait to be compared with.
const MOST_DUE: usize = 64;
/// Slots that wait to be fetched.
const MOST_WAITING: usize = 1_024;

#[derive(Clone, Debug)]
struct Fetch {
    from: PeerId,
    after: Option<FactId>,
    asked: Timestamp,
    tries: u32,
    /// What everybody who gave a piece of it has at least.
    completeness: Completeness,
}

/// Since when a slot is lacking, why, and whose copy has been taken in since.
#[derive(Clone, Debug)]
struct Lack {
    since: Timestamp,
    why: Why,
    told: BTreeMap<PeerId, Completeness>,
}

/// Why a slot is lacking. A claim stands with more than half of its keepers, so that one other need not know of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// Nothing is remembered of it: two others have to be heard, where there are two.
    New,
    /// All is remembered but what those did who were out of reach: two of them have to be heard, where there are two; or all
    /// there are, where one of them remembers as much.
    CutOff,
}

#[derive(Clone, Debug)]
pub struct Sync {
    /// What is lacking.
    lacking: BTreeMap<Slot, Lack>,
    /// Who was out of reach while this one was cut off.
    away: BTreeSet<PeerId>,
    fetching: BTreeMap<Slot, Fetch>,
    waiting: VecDeque<(Slot, PeerId)>,
    look_at: Timestamp,
    hurry_at: Timestamp,
    /// Others to compare with soon, as the fleet changed.
    due: VecDeque<PeerId>,
    /// How long until everything from before a moment has run out: of records, and of what all keep.
    over: (TimeSpan, TimeSpan),
    given: (f64, Timestamp),
    turn: usize,
    pub pieces: u64,
}

impl Lack {
    fn new(since: Timestamp, why: Why) -> Lack {
        let told = BTreeMap::new();
        Lack { since, why, told }
    }
}

/// Others by slot, as the sync asks for them.
pub struct Who<'a> {
    /// Whoever else keeps the slot and is alive.
    pub replicas: &'a dyn Fn(Slot) -> Vec<PeerId>,
    /// Whether this member keeps it.
    pub mine: &'a dyn Fn(Slot) -> bool,
    /// Members lost so lately that what only they know may matter.
    pub lost: usize,
}

/// What this member holds.
pub struct Held {
    /// Slots that have anything in them.
    pub slots: Vec<Slot>,
    /// The time of which all of it can be expected to be the same at all replicas; `None`: of any time.
    pub settled: Option<TimeRange>,
}

impl Sync {
    pub fn new(now: Timestamp, over: (TimeSpan, TimeSpan)) -> Sync {
        Sync {
            lacking: Slot::all()
                .map(|slot| (slot, Lack::new(now, Why::New)))
                .collect(),
            away: BTreeSet::new(),
            fetching: BTreeMap::new(),
            waiting: VecDeque::new(),
            look_at: now,
            hurry_at: now,
            due: VecDeque::new(),
            over,
            given: (GIVEN_AT_ONCE, now),
            turn: 0,
            pieces: 0,
        }
    }

    /// Slots that this member keeps and does not have whole.
    pub fn lacking(&self, who: &Who) -> usize {
        self.lacking
            .keys()
            .filter(|&&slot| (who.mine)(slot))
            .count()
    }

    pub fn completeness(&self, slot: Slot) -> Completeness {
        match self.lacking.get(&slot).map(|lack| lack.why) {
            None => Completeness::Complete,
            Some(Why::CutOff) => Completeness::OwnOnly,
            Some(Why::New) => Completeness::Partial,
        }
    }

    pub fn whole(&self, slot: Slot) -> bool {
        !self.lacking.contains_key(&slot)
    }

    /// It was away, or slots fell to it: they are to be compared again.
    pub fn lacks(&mut self, now: Timestamp, why: Why, slots: impl Iterator<Item = Slot>) {
        for slot in slots {
            let known = self.lacking.get(&slot).map(|lack| lack.why);
            // Whoever never had it does not have it for having been cut off.
            let why = known.filter(|&known| known == Why::New).unwrap_or(why);
            self.lacking.insert(slot, Lack::new(now, why));
            self.fetching.remove(&slot);
        }
        self.hurry_at = now;
    }

    /// This one is on the smaller side of a cut, without these.
    pub fn without(&mut self, away: impl Iterator<Item = PeerId>) {
        self.away.extend(away);
    }

    /// It begins to be cut off: who was away before that counts no more.
    pub fn together(&mut self) {
        self.away.clear();
    }

    /// The fleet is another: what is kept together with these is compared soon.
    pub fn compare(&mut self, now: Timestamp, with: impl Iterator<Item = PeerId>) {
        self.due = with.collect();
        self.look_at = now;
    }

    /// Something came here that these keep as well, and may lack: they are compared with soon.
    pub fn spread(&mut self, now: Timestamp, with: &[PeerId]) {
        for &id in with {
            if self.due.len() < MOST_DUE && !self.due.contains(&id) {
                self.due.push_back(id);
            }
        }
        self.look_at = self.look_at.min(now + HURRY);
    }

    /// Sums from another; what is to be answered.
    pub fn sums(
        &mut self,
        from: PeerId,
        sums: &[(Slot, u64)],
        mut own: impl FnMut(Slot) -> u64,
        who: &Who,
    ) -> Vec<MessagePart> {
        let (same, differ): (Vec<_>, Vec<_>) =
            sums.iter().partition(|&&(slot, sum)| own(slot) == sum);
        let slots =
            |all: Vec<&(Slot, u64)>| all.into_iter().map(|&(slot, _)| slot).collect::<Vec<_>>();
        let (same, differ) = (slots(same), slots(differ));
        for &slot in &differ {
            if (who.mine)(slot) {
                self.fetch(slot, from);
            }
        }
        let mut parts = Vec::new();
        for completeness in [
            Completeness::Complete,
            Completeness::OwnOnly,
            Completeness::Partial,
        ] {
            let slots = same
                .iter()
                .copied()
                .filter(|&slot| self.completeness(slot) == completeness);
            let slots: Vec<Slot> = slots.collect();
            if !slots.is_empty() {
                parts.push(MessagePart::Same {
                    slots,
                    completeness,
                });
            }
        }
        if !differ.is_empty() {
            parts.push(MessagePart::Different(differ));
        }
        parts
    }

    /// Another has the same. What is here and not this one's to keep may go then.
    pub fn same(
        &mut self,
        now: Timestamp,
        from: PeerId,
        slots: &[Slot],
        completeness: Completeness,
        who: &Who,
    ) -> Vec<Slot> {
        for &slot in slots {
            self.taken_in(now, (from, completeness), slot, who);
        }
        let others = slots.iter().copied();
        others.filter(|&slot| !(who.mine)(slot)).collect()
    }

    /// That one's copy has no more than this one's.
    fn taken_in(
        &mut self,
        now: Timestamp,
        (from, completeness): (PeerId, Completeness),
        slot: Slot,
        who: &Who,
    ) {
        let Some(lack) = self.lacking.get_mut(&slot) else {
            return;
        };
        if now.since(lack.since) < SETTLED {
            return;
        }
        lack.told.insert(from, completeness);
        let others = (who.replicas)(slot);
        let matter = match lack.why {
            _ if slot.is_common() => 1,
            Why::New => others.len() + who.lost,
            Why::CutOff => others.iter().filter(|id| self.away.contains(id)).count(),
        };
        let whole = lack
            .told
            .values()
            .filter(|&&completeness| completeness == Completeness::Complete)
            .count();
        let own = lack
            .told
            .values()
            .any(|&completeness| completeness >= Completeness::OwnOnly);
        let all = own && others.iter().all(|id| lack.told.contains_key(id));
        if lack.why == Why::CutOff && all || whole >= matter.clamp(1, ENOUGH) {
            self.lacking.remove(&slot);
        }
    }

    pub fn fetch(&mut self, slot: Slot, from: PeerId) {
        // Others that differ there as well are asked behind it, each for what it has.
        let under_way = self.fetching.get(&slot);
        let known = under_way.is_some_and(|fetch| fetch.from == from)
            || self.waiting.contains(&(slot, from));
        if !known && self.waiting.len() < MOST_WAITING {
            self.waiting.push_back((slot, from));
        }
    }

    /// Whether a piece may be given out now.
    pub fn gives(&mut self, now: Timestamp) -> bool {
        let (had, at) = self.given;
        let completeness = (had + now.since(at).as_secs_f64() * GIVEN_PER_S).min(GIVEN_AT_ONCE);
        let gives = completeness >= 1.0;
        self.given = (
            if gives {
                completeness - 1.0
            } else {
                completeness
            },
            now,
        );
        gives
    }

    /// A piece came. `true`: it was waited for, and its facts are to be taken.
    pub fn page(
        &mut self,
        now: Timestamp,
        from: PeerId,
        (slot, after): (Slot, Option<FactId>),
        facts: &[Fact],
        (end, completeness): (bool, Completeness),
        who: &Who,
    ) -> (bool, Option<(PeerId, MessagePart)>) {
        let fetch = self.fetching.get_mut(&slot);
        let Some(fetch) = fetch.filter(|fetch| fetch.from == from && fetch.after == after) else {
            return (false, None);
        };
        self.pieces += 1;
        fetch.completeness = fetch.completeness.min(completeness);
        if end {
            let completeness = fetch.completeness;
            self.fetching.remove(&slot);
            self.taken_in(now, (from, completeness), slot, who);
            return (true, None);
        }
        fetch.after = facts.last().map(Fact::id).or(after);
        (fetch.asked, fetch.tries) = (now, 0);
        let after = fetch.after;
        (true, Some((from, MessagePart::PageRequest { slot, after })))
    }

    pub fn next(&self) -> Timestamp {
        let pieces = self
            .fetching
            .values()
            .map(|fetch| fetch.asked + PIECE_WITHIN);
        let timed = pieces.chain([self.look_at, self.hurry_at]);
        timed.min().unwrap_or(self.look_at)
    }

    /// What is due by now: whom to ask for what.
    pub fn advance(
        &mut self,
        now: Timestamp,
        held: &Held,
        mut own: impl FnMut(Slot, Option<TimeRange>) -> u64,
        who: &Who,
        anybody: &[PeerId],
        chance: &mut fastrand::Rng,
    ) -> Vec<(PeerId, MessagePart)> {
        let mut asks = Vec::new();
        let (settled, held) = (held.settled, &held.slots);
        let (records, commons) = self.over;
        self.lacking.retain(|slot, lack| {
            now.since(lack.since) < if slot.is_common() { commons } else { records }
        });
        for slot in self.fetching.keys().copied().collect::<Vec<_>>() {
            self.again(now, slot, who, &mut asks);
        }
        while self.fetching.len() < AT_ONCE {
            let free = |(slot, _): &(Slot, PeerId)| !self.fetching.contains_key(slot);
            let Some(nth) = self.waiting.iter().position(free) else {
                break;
            };
            let Some((slot, from)) = self.waiting.remove(nth) else {
                break;
            };
            let (after, asked, tries, completeness) = (None, now, 0, Completeness::Complete);
            self.fetching.insert(
                slot,
                Fetch {
                    from,
                    after,
                    asked,
                    tries,
                    completeness,
                },
            );
            asks.push((from, MessagePart::PageRequest { slot, after }));
        }
        // Each slot is asked of one other, by turns, so that several share the work.
        let mut by_peer: BTreeMap<PeerId, Vec<(Slot, u64)>> = BTreeMap::new();
        let others = |slot: Slot| match slot.is_common() {
            true => anybody.to_vec(),
            false => (who.replicas)(slot),
        };
        if now >= self.hurry_at {
            self.turn = self.turn.wrapping_add(1);
            let lately = |lack: &Lack| now.since(lack.since) < LATELY;
            let every = match self.lacking.values().any(lately) {
                true => HURRY,
                false => EVERY,
            };
            self.hurry_at = now + every.mul_f64(0.75 + 0.5 * chance.f64());
            for &slot in self.lacking.keys() {
                let from = others(slot);
                // What all keep is asked of one, or hundreds would ask hundreds.
                let spread = if slot.is_common() {
                    0
                } else {
                    usize::from(slot.0)
                };
                let nth = self.turn.wrapping_add(spread);
                if (who.mine)(slot)
                    && !self.fetching.contains_key(&slot)
                    && let Some(&whom) = from.get(nth % from.len().max(1))
                {
                    by_peer
                        .entry(whom)
                        .or_default()
                        .push((slot, own(slot, None)));
                }
            }
        }
        let mut settled_by_peer: BTreeMap<PeerId, Vec<(Slot, u64)>> = BTreeMap::new();
        if now >= self.look_at {
            // What is only held here goes to somebody who keeps it; and one other, with all that is kept together with it.
            for &slot in held.iter().filter(|&&slot| !(who.mine)(slot)).take(SUMS) {
                let from = others(slot);
                if let Some(&with) = from.get(chance.usize(0..from.len().max(1))) {
                    by_peer
                        .entry(with)
                        .or_default()
                        .push((slot, own(slot, None)));
                }
            }
            let whom = self.due.pop_front().or_else(|| {
                let some = held.get(chance.usize(0..held.len().max(1)))?;
                let from = others(*some);
                from.get(chance.usize(0..from.len().max(1))).copied()
            });
            let every = if self.due.is_empty() { EVERY } else { HURRY };
            self.look_at = now + every.mul_f64(0.75 + 0.5 * chance.f64());
            let somebody = anybody.get(chance.usize(0..anybody.len().max(1)));
            for slot in Slot::all() {
                let with = match slot.is_common() {
                    true => somebody.copied(),
                    false => whom.filter(|whom| others(slot).contains(whom)),
                };
                // An empty slot of records here is compared by whoever has some.
                let empty = !slot.is_common() && !held.contains(&slot);
                // What is known here of a slot and lacks nothing is compared without what is still on its way to others.
                let only = settled.filter(|_| !slot.is_common() && self.whole(slot));
                let asked = match only {
                    Some(_) => &mut settled_by_peer,
                    None => &mut by_peer,
                };
                if let Some(with) = with.filter(|_| !empty) {
                    asked.entry(with).or_default().push((slot, own(slot, only)));
                }
            }
        }
        if let Some(settled) = settled {
            for (whom, sums) in settled_by_peer {
                for piece in sums.chunks(SUMS) {
                    asks.push((whom, MessagePart::ChecksumsInRange(settled, piece.to_vec())));
                }
            }
        }
        for (whom, mut sums) in by_peer {
            sums.dedup();
            for piece in sums.chunks(SUMS) {
                asks.push((whom, MessagePart::Checksums(piece.to_vec())));
            }
        }
        asks
    }

    /// A piece that did not come is asked for again, then of another, then left.
    fn again(
        &mut self,
        now: Timestamp,
        slot: Slot,
        who: &Who,
        asks: &mut Vec<(PeerId, MessagePart)>,
    ) {
        let Some(fetch) = self.fetching.get_mut(&slot) else {
            return;
        };
        if now.since(fetch.asked) < PIECE_WITHIN {
            return;
        }
        fetch.tries += 1;
        fetch.asked = now;
        if fetch.tries > GIVE_UP {
            self.fetching.remove(&slot);
            return;
        }
        if fetch.tries > SAME_AGAIN && !slot.is_common() {
            let others = (who.replicas)(slot);
            if let Some(&other) = others.get(fetch.tries as usize % others.len().max(1)) {
                // Where the former one stopped: all have the same order.
                fetch.from = other;
            }
        }
        let after = fetch.after;
        asks.push((fetch.from, MessagePart::PageRequest { slot, after }));
    }
}
