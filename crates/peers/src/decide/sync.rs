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
const COMPARE_INTERVAL: TimeSpan = TimeSpan::from_millis(500);
const FAST_COMPARE_INTERVAL: TimeSpan = TimeSpan::from_millis(50);
const FAST_COMPARE_PERIOD: TimeSpan = TimeSpan::from_secs(3);
/// Whoever claims may not know yet that a slot is kept here, and tell only others: what is compared sooner after it fell
/// here proves nothing.
const MIN_RESYNC_AGE: TimeSpan = TimeSpan::from_secs(1);
/// Of three keepers any two know all claims that stood: so many others have to be heard by one that missed some.
const MAX_COMPLETE_COPIES_NEEDED: usize = 2;
/// Slots fetched at once, and how long a piece is waited for.
const MAX_FETCHES: usize = 8;
const PAGE_TIMEOUT: TimeSpan = TimeSpan::from_millis(150);
/// After so many unanswered questions another is asked, and after so many the slot is left for the next round.
const MAX_TRIES_AT_ONE_PEER: u32 = 2;
const MAX_TRIES: u32 = 8;
/// Bytes of facts in one piece: a datagram that is not split on a usual network.
pub const MAX_PAGE_BYTES: usize = 1_100;
/// Pieces given out in a second, all askers together, and at once: about a tenth of a core. More takes time from service.
const PAGES_PER_SECOND: f64 = 10_000.0;
const PAGE_BURST: f64 = 256.0;
/// Sums in one note.
const MAX_CHECKSUMS_PER_PART: usize = 96;
/// Others that wait to be compared with.
const MAX_COMPARISONS_DUE: usize = 64;
/// Slots that wait to be fetched.
const MAX_QUEUED_FETCHES: usize = 1_024;

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
struct Resync {
    since: Timestamp,
    reason: ResyncReason,
    compared: BTreeMap<PeerId, Completeness>,
}

/// Why a slot is lacking. A claim stands with more than half of its keepers, so that one other need not know of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResyncReason {
    /// Nothing is remembered of it: two others have to be heard, where there are two.
    New,
    /// All is remembered but what those did who were out of reach: two of them have to be heard, where there are two; or all
    /// there are, where one of them remembers as much.
    Partitioned,
}

#[derive(Clone, Debug)]
pub struct SlotSync {
    /// What is lacking.
    resyncs: BTreeMap<Slot, Resync>,
    /// Who was out of reach while this one was cut off.
    unreachable: BTreeSet<PeerId>,
    fetching: BTreeMap<Slot, Fetch>,
    waiting: VecDeque<(Slot, PeerId)>,
    next_comparison_at: Timestamp,
    next_resync_at: Timestamp,
    /// Others to compare with soon, as the fleet changed.
    comparisons_due: VecDeque<PeerId>,
    /// How long until everything from before a moment has run out: of records, and of what all keep.
    retention: (TimeSpan, TimeSpan),
    page_permits: (f64, Timestamp),
    round: usize,
    pub pages_received: u64,
}

impl Resync {
    fn new(since: Timestamp, reason: ResyncReason) -> Resync {
        let compared = BTreeMap::new();
        Resync {
            since,
            reason,
            compared,
        }
    }
}

/// Others by slot, as the sync asks for them.
pub struct ReplicaView<'a> {
    /// Whoever else keeps the slot and is alive.
    pub replicas: &'a dyn Fn(Slot) -> Vec<PeerId>,
    /// Whether this member keeps it.
    pub mine: &'a dyn Fn(Slot) -> bool,
    /// Members lost so lately that what only they know may matter.
    pub lost: usize,
}

/// What this member holds.
pub struct HeldSlots {
    /// Slots that have anything in them.
    pub slots: Vec<Slot>,
    /// The time of which all of it can be expected to be the same at all replicas; `None`: of any time.
    pub settled: Option<TimeRange>,
}

impl SlotSync {
    pub fn new(now: Timestamp, retention: (TimeSpan, TimeSpan)) -> SlotSync {
        SlotSync {
            resyncs: Slot::all()
                .map(|slot| (slot, Resync::new(now, ResyncReason::New)))
                .collect(),
            unreachable: BTreeSet::new(),
            fetching: BTreeMap::new(),
            waiting: VecDeque::new(),
            next_comparison_at: now,
            next_resync_at: now,
            comparisons_due: VecDeque::new(),
            retention,
            page_permits: (PAGE_BURST, now),
            round: 0,
            pages_received: 0,
        }
    }

    /// Slots that this member keeps and does not have whole.
    pub fn out_of_sync_count(&self, view: &ReplicaView) -> usize {
        self.resyncs
            .keys()
            .filter(|&&slot| (view.mine)(slot))
            .count()
    }

    pub fn completeness(&self, slot: Slot) -> Completeness {
        match self.resyncs.get(&slot).map(|resync| resync.reason) {
            None => Completeness::Complete,
            Some(ResyncReason::Partitioned) => Completeness::OwnOnly,
            Some(ResyncReason::New) => Completeness::Partial,
        }
    }

    pub fn is_in_sync(&self, slot: Slot) -> bool {
        !self.resyncs.contains_key(&slot)
    }

    /// It was away, or slots fell to it: they are to be compared again.
    pub fn start_resync(
        &mut self,
        now: Timestamp,
        reason: ResyncReason,
        slots: impl Iterator<Item = Slot>,
    ) {
        for slot in slots {
            let known = self.resyncs.get(&slot).map(|resync| resync.reason);
            // Whoever never had it does not have it for having been cut off.
            let reason = known
                .filter(|&known| known == ResyncReason::New)
                .unwrap_or(reason);
            self.resyncs.insert(slot, Resync::new(now, reason));
            self.fetching.remove(&slot);
        }
        self.next_resync_at = now;
    }

    /// This one is on the smaller side of a cut, without these.
    pub fn add_unreachable(&mut self, unreachable: impl Iterator<Item = PeerId>) {
        self.unreachable.extend(unreachable);
    }

    /// It begins to be cut off: who was away before that counts no more.
    pub fn clear_unreachable(&mut self) {
        self.unreachable.clear();
    }

    /// The fleet is another: what is kept together with these is compared soon.
    pub fn compare_with(&mut self, now: Timestamp, with: impl Iterator<Item = PeerId>) {
        self.comparisons_due = with.collect();
        self.next_comparison_at = now;
    }

    /// Something came here that these keep as well, and may lack: they are compared with soon.
    pub fn compare_soon(&mut self, now: Timestamp, with: &[PeerId]) {
        for &id in with {
            if self.comparisons_due.len() < MAX_COMPARISONS_DUE
                && !self.comparisons_due.contains(&id)
            {
                self.comparisons_due.push_back(id);
            }
        }
        self.next_comparison_at = self.next_comparison_at.min(now + FAST_COMPARE_INTERVAL);
    }

    /// Sums from another; what is to be answered.
    pub fn on_checksums(
        &mut self,
        from: PeerId,
        sums: &[(Slot, u64)],
        mut own: impl FnMut(Slot) -> u64,
        view: &ReplicaView,
    ) -> Vec<MessagePart> {
        let (same, differ): (Vec<_>, Vec<_>) =
            sums.iter().partition(|&&(slot, sum)| own(slot) == sum);
        let slots =
            |all: Vec<&(Slot, u64)>| all.into_iter().map(|&(slot, _)| slot).collect::<Vec<_>>();
        let (same, differ) = (slots(same), slots(differ));
        for &slot in &differ {
            if (view.mine)(slot) {
                self.queue_fetch(slot, from);
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
    pub fn on_same(
        &mut self,
        now: Timestamp,
        from: PeerId,
        slots: &[Slot],
        completeness: Completeness,
        view: &ReplicaView,
    ) -> Vec<Slot> {
        for &slot in slots {
            self.on_compared(now, (from, completeness), slot, view);
        }
        let others = slots.iter().copied();
        others.filter(|&slot| !(view.mine)(slot)).collect()
    }

    /// That one's copy has no more than this one's.
    fn on_compared(
        &mut self,
        now: Timestamp,
        (from, completeness): (PeerId, Completeness),
        slot: Slot,
        view: &ReplicaView,
    ) {
        let Some(resync) = self.resyncs.get_mut(&slot) else {
            return;
        };
        if now.since(resync.since) < MIN_RESYNC_AGE {
            return;
        }
        resync.compared.insert(from, completeness);
        let others = (view.replicas)(slot);
        let relevant = match resync.reason {
            _ if slot.is_common() => 1,
            ResyncReason::New => others.len() + view.lost,
            ResyncReason::Partitioned => others
                .iter()
                .filter(|id| self.unreachable.contains(id))
                .count(),
        };
        let whole = resync
            .compared
            .values()
            .filter(|&&completeness| completeness == Completeness::Complete)
            .count();
        let own = resync
            .compared
            .values()
            .any(|&completeness| completeness >= Completeness::OwnOnly);
        let all = own && others.iter().all(|id| resync.compared.contains_key(id));
        if resync.reason == ResyncReason::Partitioned && all
            || whole >= relevant.clamp(1, MAX_COMPLETE_COPIES_NEEDED)
        {
            self.resyncs.remove(&slot);
        }
    }

    pub fn queue_fetch(&mut self, slot: Slot, from: PeerId) {
        // Others that differ there as well are asked behind it, each for what it has.
        let under_way = self.fetching.get(&slot);
        let known = under_way.is_some_and(|fetch| fetch.from == from)
            || self.waiting.contains(&(slot, from));
        if !known && self.waiting.len() < MAX_QUEUED_FETCHES {
            self.waiting.push_back((slot, from));
        }
    }

    /// Whether a piece may be given out now.
    pub fn take_page_permit(&mut self, now: Timestamp) -> bool {
        let (had, at) = self.page_permits;
        let completeness = (had + now.since(at).as_secs_f64() * PAGES_PER_SECOND).min(PAGE_BURST);
        let gives = completeness >= 1.0;
        self.page_permits = (
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
    pub fn on_page(
        &mut self,
        now: Timestamp,
        from: PeerId,
        (slot, after): (Slot, Option<FactId>),
        facts: &[Fact],
        (end, completeness): (bool, Completeness),
        view: &ReplicaView,
    ) -> (bool, Option<(PeerId, MessagePart)>) {
        let fetch = self.fetching.get_mut(&slot);
        let Some(fetch) = fetch.filter(|fetch| fetch.from == from && fetch.after == after) else {
            return (false, None);
        };
        self.pages_received += 1;
        fetch.completeness = fetch.completeness.min(completeness);
        if end {
            let completeness = fetch.completeness;
            self.fetching.remove(&slot);
            self.on_compared(now, (from, completeness), slot, view);
            return (true, None);
        }
        fetch.after = facts.last().map(Fact::id).or(after);
        (fetch.asked, fetch.tries) = (now, 0);
        let after = fetch.after;
        (true, Some((from, MessagePart::PageRequest { slot, after })))
    }

    pub fn next_deadline(&self) -> Timestamp {
        let pages_received = self
            .fetching
            .values()
            .map(|fetch| fetch.asked + PAGE_TIMEOUT);
        let timed = pages_received.chain([self.next_comparison_at, self.next_resync_at]);
        timed.min().unwrap_or(self.next_comparison_at)
    }

    /// What is due by now: whom to ask for what.
    pub fn advance(
        &mut self,
        now: Timestamp,
        held: &HeldSlots,
        mut own: impl FnMut(Slot, Option<TimeRange>) -> u64,
        view: &ReplicaView,
        reachable: &[PeerId],
        rng: &mut fastrand::Rng,
    ) -> Vec<(PeerId, MessagePart)> {
        let mut asks = Vec::new();
        let (settled, held) = (held.settled, &held.slots);
        let (records, commons) = self.retention;
        self.resyncs.retain(|slot, resync| {
            now.since(resync.since) < if slot.is_common() { commons } else { records }
        });
        for slot in self.fetching.keys().copied().collect::<Vec<_>>() {
            self.retry_fetch(now, slot, view, &mut asks);
        }
        while self.fetching.len() < MAX_FETCHES {
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
            true => reachable.to_vec(),
            false => (view.replicas)(slot),
        };
        if now >= self.next_resync_at {
            self.round = self.round.wrapping_add(1);
            let lately = |resync: &Resync| now.since(resync.since) < FAST_COMPARE_PERIOD;
            let every = match self.resyncs.values().any(lately) {
                true => FAST_COMPARE_INTERVAL,
                false => COMPARE_INTERVAL,
            };
            self.next_resync_at = now + every.mul_f64(0.75 + 0.5 * rng.f64());
            for &slot in self.resyncs.keys() {
                let from = others(slot);
                // What all keep is asked of one, or hundreds would ask hundreds.
                let spread = if slot.is_common() {
                    0
                } else {
                    usize::from(slot.0)
                };
                let nth = self.round.wrapping_add(spread);
                if (view.mine)(slot)
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
        if now >= self.next_comparison_at {
            // What is only held here goes to somebody who keeps it; and one other, with all that is kept together with it.
            for &slot in held
                .iter()
                .filter(|&&slot| !(view.mine)(slot))
                .take(MAX_CHECKSUMS_PER_PART)
            {
                let from = others(slot);
                if let Some(&with) = from.get(rng.usize(0..from.len().max(1))) {
                    by_peer
                        .entry(with)
                        .or_default()
                        .push((slot, own(slot, None)));
                }
            }
            let whom = self.comparisons_due.pop_front().or_else(|| {
                let some = held.get(rng.usize(0..held.len().max(1)))?;
                let from = others(*some);
                from.get(rng.usize(0..from.len().max(1))).copied()
            });
            let every = if self.comparisons_due.is_empty() {
                COMPARE_INTERVAL
            } else {
                FAST_COMPARE_INTERVAL
            };
            self.next_comparison_at = now + every.mul_f64(0.75 + 0.5 * rng.f64());
            let somebody = reachable.get(rng.usize(0..reachable.len().max(1)));
            for slot in Slot::all() {
                let with = match slot.is_common() {
                    true => somebody.copied(),
                    false => whom.filter(|whom| others(slot).contains(whom)),
                };
                // An empty slot of records here is compared by whoever has some.
                let empty = !slot.is_common() && !held.contains(&slot);
                // What is known here of a slot and lacks nothing is compared without what is still on its way to others.
                let only = settled.filter(|_| !slot.is_common() && self.is_in_sync(slot));
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
                for piece in sums.chunks(MAX_CHECKSUMS_PER_PART) {
                    asks.push((whom, MessagePart::ChecksumsInRange(settled, piece.to_vec())));
                }
            }
        }
        for (whom, mut sums) in by_peer {
            sums.dedup();
            for piece in sums.chunks(MAX_CHECKSUMS_PER_PART) {
                asks.push((whom, MessagePart::Checksums(piece.to_vec())));
            }
        }
        asks
    }

    /// A piece that did not come is asked for again, then of another, then left.
    fn retry_fetch(
        &mut self,
        now: Timestamp,
        slot: Slot,
        view: &ReplicaView,
        asks: &mut Vec<(PeerId, MessagePart)>,
    ) {
        let Some(fetch) = self.fetching.get_mut(&slot) else {
            return;
        };
        if now.since(fetch.asked) < PAGE_TIMEOUT {
            return;
        }
        fetch.tries += 1;
        fetch.asked = now;
        if fetch.tries > MAX_TRIES {
            self.fetching.remove(&slot);
            return;
        }
        if fetch.tries > MAX_TRIES_AT_ONE_PEER && !slot.is_common() {
            let others = (view.replicas)(slot);
            if let Some(&other) = others.get(fetch.tries as usize % others.len().max(1)) {
                // Where the former one stopped: all have the same order.
                fetch.from = other;
            }
        }
        let after = fetch.after;
        asks.push((fetch.from, MessagePart::PageRequest { slot, after }));
    }
}
