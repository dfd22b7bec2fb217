//! Synchronisation of copies: checksums are compared, and facts of slots that differ are fetched in
//! pages.
//!
//! A member that starts, returns or becomes a replica of slots has to synchronise these slots:
//! another member whose copy is complete has to report that both copies are the same, or to send
//! all its facts. Until then the member reports its copy as incomplete, and its report that nothing
//! is known does not count. If no member has a complete copy (all were restarted), a slot counts as
//! complete when every earlier fact has expired. No request waits for synchronisation.

use super::facts::{Fact, FactId, Slot};
use super::messages::{Completeness, MessagePart, PeerId, TimeRange};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use trailproxy::units::{TimeSpan, Timestamp};

/// How often checksums are compared with another member, varied randomly by a quarter.
const COMPARE_INTERVAL: TimeSpan = TimeSpan::from_millis(500);
/// How often checksums are compared while a slot has been out of sync only recently.
const FAST_COMPARE_INTERVAL: TimeSpan = TimeSpan::from_millis(50);
/// How long a slot counts as out of sync only recently.
const FAST_COMPARE_PERIOD: TimeSpan = TimeSpan::from_secs(3);
/// A comparison made sooner than this after a slot was assigned here proves nothing: members that
/// claim a key may not know the new replica yet and send the claim only to others.
const MIN_RESYNC_AGE: TimeSpan = TimeSpan::from_secs(1);
/// Of three replicas, any two know all claims that were granted: a member that missed some has to
/// compare with this many others.
const MAX_COMPLETE_COPIES_NEEDED: usize = 2;
/// Slots that are fetched at once.
const MAX_FETCHES: usize = 8;
/// How long a page is waited for.
const PAGE_TIMEOUT: TimeSpan = TimeSpan::from_millis(150);
/// Requests for a page that one member may leave unanswered before another is asked.
const MAX_TRIES_AT_ONE_PEER: u32 = 2;
/// Requests after which fetching a slot is given up until the next comparison.
const MAX_TRIES: u32 = 8;
/// The size of the facts in one page, in bytes: such a datagram is not fragmented on a usual
/// network.
pub const MAX_PAGE_BYTES: usize = 1_100;
/// Pages sent per second, to all members together: about a tenth of a core. More would take time
/// from requests.
const PAGES_PER_SECOND: f64 = 10_000.0;
/// Pages that may be sent at once.
const PAGE_BURST: f64 = 256.0;
/// Checksums in one part of a message.
const MAX_CHECKSUMS_PER_PART: usize = 96;
/// Members that wait to be compared with.
const MAX_COMPARISONS_DUE: usize = 64;
/// Slots that wait to be fetched.
const MAX_QUEUED_FETCHES: usize = 1_024;

/// A slot that is being fetched.
#[derive(Clone, Debug)]
struct Fetch {
    from: PeerId,
    after: Option<FactId>,
    asked_at: Timestamp,
    tries: u32,
    /// The lowest completeness that members reported with their pages.
    completeness: Completeness,
}

/// Since when and why a slot is out of sync, and with which copies it has been compared since.
#[derive(Clone, Debug)]
struct Resync {
    since: Timestamp,
    reason: ResyncReason,
    compared: BTreeMap<PeerId, Completeness>,
}

/// Why a slot is out of sync. A claim is granted by more than half of its replicas, so a single
/// other replica need not know of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResyncReason {
    /// Nothing is remembered: the slot has to be compared with two other members, if there are two.
    New,
    /// Everything is remembered except what unreachable members did: the slot has to be compared
    /// with two of these, if there are two; or with all members, if one of them remembers as much.
    Partitioned,
}

/// The synchronisation of all slots.
#[derive(Clone, Debug)]
pub struct SlotSync {
    /// Slots that are out of sync.
    resyncs: BTreeMap<Slot, Resync>,
    /// Members that were unreachable while this one was in a minority partition.
    unreachable: BTreeSet<PeerId>,
    fetching: BTreeMap<Slot, Fetch>,
    fetch_queue: VecDeque<(Slot, PeerId)>,
    next_comparison_at: Timestamp,
    next_resync_at: Timestamp,
    /// Members to compare with soon.
    comparisons_due: VecDeque<PeerId>,
    /// How long facts are held: records, and facts of common slots.
    retention: (TimeSpan, TimeSpan),
    page_permits: (f64, Timestamp),
    round: usize,
    /// The number of requested pages that arrived.
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

/// The replicas of slots, as synchronisation needs them.
pub struct ReplicaView<'a> {
    /// The other replicas of a slot that are alive.
    pub replicas: &'a dyn Fn(Slot) -> Vec<PeerId>,
    /// Whether this member holds a slot.
    pub is_held: &'a dyn Fn(Slot) -> bool,
    /// The number of members lost so recently that facts known only to them may matter.
    pub lost: usize,
}

/// What this member holds.
pub struct HeldSlots {
    /// Slots that contain facts.
    pub slots: Vec<Slot>,
    /// The range of time in which all replicas can be expected to hold the same facts; `None`: all
    /// times.
    pub settled: Option<TimeRange>,
}

impl SlotSync {
    /// All slots are out of sync. `retention` is how long records and facts of common slots are
    /// held.
    pub fn new(now: Timestamp, retention: (TimeSpan, TimeSpan)) -> SlotSync {
        SlotSync {
            resyncs: Slot::all()
                .map(|slot| (slot, Resync::new(now, ResyncReason::New)))
                .collect(),
            unreachable: BTreeSet::new(),
            fetching: BTreeMap::new(),
            fetch_queue: VecDeque::new(),
            next_comparison_at: now,
            next_resync_at: now,
            comparisons_due: VecDeque::new(),
            retention,
            page_permits: (PAGE_BURST, now),
            round: 0,
            pages_received: 0,
        }
    }

    /// The number of slots that this member holds and that are out of sync.
    pub fn out_of_sync_count(&self, view: &ReplicaView) -> usize {
        self.resyncs
            .keys()
            .filter(|&&slot| (view.is_held)(slot))
            .count()
    }

    /// How complete the copy of a slot is.
    pub fn completeness(&self, slot: Slot) -> Completeness {
        match self.resyncs.get(&slot).map(|resync| resync.reason) {
            None => Completeness::Complete,
            Some(ResyncReason::Partitioned) => Completeness::OwnOnly,
            Some(ResyncReason::New) => Completeness::Partial,
        }
    }

    /// Whether the copy of a slot is complete.
    pub fn is_in_sync(&self, slot: Slot) -> bool {
        !self.resyncs.contains_key(&slot)
    }

    /// Marks slots as out of sync, after a pause or when they were assigned to this member.
    pub fn start_resync(
        &mut self,
        now: Timestamp,
        reason: ResyncReason,
        slots: impl Iterator<Item = Slot>,
    ) {
        for slot in slots {
            let is_known = self.resyncs.get(&slot).map(|resync| resync.reason);
            // A slot that was never complete is not complete except for a partition.
            let reason = is_known
                .filter(|&is_known| is_known == ResyncReason::New)
                .unwrap_or(reason);
            self.resyncs.insert(slot, Resync::new(now, reason));
            self.fetching.remove(&slot);
        }
        self.next_resync_at = now;
    }

    /// Adds members that are unreachable from this minority partition.
    pub fn add_unreachable(&mut self, unreachable: impl Iterator<Item = PeerId>) {
        self.unreachable.extend(unreachable);
    }

    /// Clears the unreachable members when a partition begins.
    pub fn clear_unreachable(&mut self) {
        self.unreachable.clear();
    }

    /// Replaces the members to compare with next, after the fleet has changed.
    pub fn compare_with(&mut self, now: Timestamp, peer: impl Iterator<Item = PeerId>) {
        self.comparisons_due = peer.collect();
        self.next_comparison_at = now;
    }

    /// New facts arrived: other replicas of their slot may lack them, and are compared with soon.
    pub fn compare_soon(&mut self, now: Timestamp, peer: &[PeerId]) {
        for &id in peer {
            if self.comparisons_due.len() < MAX_COMPARISONS_DUE
                && !self.comparisons_due.contains(&id)
            {
                self.comparisons_due.push_back(id);
            }
        }
        self.next_comparison_at = self.next_comparison_at.min(now + FAST_COMPARE_INTERVAL);
    }

    /// Handles the checksums of another member, and returns the answers.
    pub fn on_checksums(
        &mut self,
        from: PeerId,
        checksums: &[(Slot, u64)],
        mut own_checksum: impl FnMut(Slot) -> u64,
        view: &ReplicaView,
    ) -> Vec<MessagePart> {
        let (same, differ): (Vec<_>, Vec<_>) = checksums
            .iter()
            .partition(|&&(slot, checksum)| own_checksum(slot) == checksum);
        let slots =
            |all: Vec<&(Slot, u64)>| all.into_iter().map(|&(slot, _)| slot).collect::<Vec<_>>();
        let (same, differ) = (slots(same), slots(differ));
        for &slot in &differ {
            if (view.is_held)(slot) {
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

    /// Handles the report that another member's copies are the same. Returns the slots that need
    /// not be held here any more.
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
        others.filter(|&slot| !(view.is_held)(slot)).collect()
    }

    /// Records that another member's copy contains nothing that is missing here.
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
        let complete_copies = resync
            .compared
            .values()
            .filter(|&&completeness| completeness == Completeness::Complete)
            .count();
        let remembered = resync
            .compared
            .values()
            .any(|&completeness| completeness >= Completeness::OwnOnly);
        let all_compared = remembered && others.iter().all(|id| resync.compared.contains_key(id));
        if resync.reason == ResyncReason::Partitioned && all_compared
            || complete_copies >= relevant.clamp(1, MAX_COMPLETE_COPIES_NEEDED)
        {
            self.resyncs.remove(&slot);
        }
    }

    /// Queues a slot to be fetched from a member.
    pub fn queue_fetch(&mut self, slot: Slot, from: PeerId) {
        // Further members whose copies differ are asked after the current one, each for the facts
        // that it has.
        let current = self.fetching.get(&slot);
        let is_known = current.is_some_and(|fetch| fetch.from == from)
            || self.fetch_queue.contains(&(slot, from));
        if !is_known && self.fetch_queue.len() < MAX_QUEUED_FETCHES {
            self.fetch_queue.push_back((slot, from));
        }
    }

    /// Whether a page may be sent now; counts it.
    pub fn take_page_permit(&mut self, now: Timestamp) -> bool {
        let (before, at) = self.page_permits;
        let permits = (before + now.since(at).as_secs_f64() * PAGES_PER_SECOND).min(PAGE_BURST);
        let granted = permits >= 1.0;
        self.page_permits = (if granted { permits - 1.0 } else { permits }, now);
        granted
    }

    /// Handles a page. `true`: it was requested, and its facts have to be stored. The second value
    /// is the request for the next page.
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
        (fetch.asked_at, fetch.tries) = (now, 0);
        let after = fetch.after;
        (true, Some((from, MessagePart::PageRequest { slot, after })))
    }

    /// When [`SlotSync::advance`] has to be called next.
    pub fn next_deadline(&self) -> Timestamp {
        let page_timeouts = self
            .fetching
            .values()
            .map(|fetch| fetch.asked_at + PAGE_TIMEOUT);
        let deadlines = page_timeouts.chain([self.next_comparison_at, self.next_resync_at]);
        deadlines.min().unwrap_or(self.next_comparison_at)
    }

    /// Returns the requests that are due, with their recipients.
    pub fn advance(
        &mut self,
        now: Timestamp,
        held: &HeldSlots,
        mut own_checksum: impl FnMut(Slot, Option<TimeRange>) -> u64,
        view: &ReplicaView,
        reachable: &[PeerId],
        rng: &mut fastrand::Rng,
    ) -> Vec<(PeerId, MessagePart)> {
        let mut requests = Vec::new();
        let (settled, held) = (held.settled, &held.slots);
        let (records, commons) = self.retention;
        self.resyncs.retain(|slot, resync| {
            now.since(resync.since) < if slot.is_common() { commons } else { records }
        });
        for slot in self.fetching.keys().copied().collect::<Vec<_>>() {
            self.retry_fetch(now, slot, view, &mut requests);
        }
        while self.fetching.len() < MAX_FETCHES {
            let is_idle = |(slot, _): &(Slot, PeerId)| !self.fetching.contains_key(slot);
            let Some(index) = self.fetch_queue.iter().position(is_idle) else {
                break;
            };
            let Some((slot, from)) = self.fetch_queue.remove(index) else {
                break;
            };
            let (after, asked_at, tries, completeness) = (None, now, 0, Completeness::Complete);
            self.fetching.insert(
                slot,
                Fetch {
                    from,
                    after,
                    asked_at,
                    tries,
                    completeness,
                },
            );
            requests.push((from, MessagePart::PageRequest { slot, after }));
        }
        // Each slot is compared with one other member in turn, so that several share the work.
        let mut checksums_by_peer: BTreeMap<PeerId, Vec<(Slot, u64)>> = BTreeMap::new();
        let others = |slot: Slot| match slot.is_common() {
            true => reachable.to_vec(),
            false => (view.replicas)(slot),
        };
        if now >= self.next_resync_at {
            self.round = self.round.wrapping_add(1);
            let is_recent = |resync: &Resync| now.since(resync.since) < FAST_COMPARE_PERIOD;
            let interval = match self.resyncs.values().any(is_recent) {
                true => FAST_COMPARE_INTERVAL,
                false => COMPARE_INTERVAL,
            };
            self.next_resync_at = now + interval.mul_f64(0.75 + 0.5 * rng.f64());
            for &slot in self.resyncs.keys() {
                let candidates = others(slot);
                // Common slots are compared with one member only; otherwise hundreds of members
                // would ask hundreds.
                let offset = if slot.is_common() {
                    0
                } else {
                    usize::from(slot.0)
                };
                let index = self.round.wrapping_add(offset);
                if (view.is_held)(slot)
                    && !self.fetching.contains_key(&slot)
                    && let Some(&peer) = candidates.get(index % candidates.len().max(1))
                {
                    checksums_by_peer
                        .entry(peer)
                        .or_default()
                        .push((slot, own_checksum(slot, None)));
                }
            }
        }
        let mut settled_by_peer: BTreeMap<PeerId, Vec<(Slot, u64)>> = BTreeMap::new();
        if now >= self.next_comparison_at {
            // Slots that contain facts but are not held here are compared with one of their
            // replicas. All held slots that are shared with one other member are compared with that
            // member.
            for &slot in held
                .iter()
                .filter(|&&slot| !(view.is_held)(slot))
                .take(MAX_CHECKSUMS_PER_PART)
            {
                let candidates = others(slot);
                if let Some(&peer) = candidates.get(rng.usize(0..candidates.len().max(1))) {
                    checksums_by_peer
                        .entry(peer)
                        .or_default()
                        .push((slot, own_checksum(slot, None)));
                }
            }
            let peer = self.comparisons_due.pop_front().or_else(|| {
                let some = held.get(rng.usize(0..held.len().max(1)))?;
                let candidates = others(*some);
                candidates
                    .get(rng.usize(0..candidates.len().max(1)))
                    .copied()
            });
            let interval = if self.comparisons_due.is_empty() {
                COMPARE_INTERVAL
            } else {
                FAST_COMPARE_INTERVAL
            };
            self.next_comparison_at = now + interval.mul_f64(0.75 + 0.5 * rng.f64());
            let any_member = reachable.get(rng.usize(0..reachable.len().max(1)));
            for slot in Slot::all() {
                let peer = match slot.is_common() {
                    true => any_member.copied(),
                    false => peer.filter(|peer| others(slot).contains(peer)),
                };
                // An empty record slot is compared by members whose copies contain facts.
                let empty = !slot.is_common() && !held.contains(&slot);
                // Slots in sync are compared without the facts that are still on their way to other
                // members.
                let range = settled.filter(|_| !slot.is_common() && self.is_in_sync(slot));
                let checksums = match range {
                    Some(_) => &mut settled_by_peer,
                    None => &mut checksums_by_peer,
                };
                if let Some(peer) = peer.filter(|_| !empty) {
                    checksums
                        .entry(peer)
                        .or_default()
                        .push((slot, own_checksum(slot, range)));
                }
            }
        }
        if let Some(settled) = settled {
            for (peer, checksums) in settled_by_peer {
                for piece in checksums.chunks(MAX_CHECKSUMS_PER_PART) {
                    requests.push((peer, MessagePart::ChecksumsInRange(settled, piece.to_vec())));
                }
            }
        }
        for (peer, mut checksums) in checksums_by_peer {
            checksums.dedup();
            for piece in checksums.chunks(MAX_CHECKSUMS_PER_PART) {
                requests.push((peer, MessagePart::Checksums(piece.to_vec())));
            }
        }
        requests
    }

    /// Requests a page again that did not arrive, then from another member, and then gives up.
    fn retry_fetch(
        &mut self,
        now: Timestamp,
        slot: Slot,
        view: &ReplicaView,
        requests: &mut Vec<(PeerId, MessagePart)>,
    ) {
        let Some(fetch) = self.fetching.get_mut(&slot) else {
            return;
        };
        if now.since(fetch.asked_at) < PAGE_TIMEOUT {
            return;
        }
        fetch.tries += 1;
        fetch.asked_at = now;
        if fetch.tries > MAX_TRIES {
            self.fetching.remove(&slot);
            return;
        }
        if fetch.tries > MAX_TRIES_AT_ONE_PEER && !slot.is_common() {
            let others = (view.replicas)(slot);
            if let Some(&other) = others.get(fetch.tries as usize % others.len().max(1)) {
                // Continues where the former member stopped: all members have the same order of
                // facts.
                fetch.from = other;
            }
        }
        let after = fetch.after;
        requests.push((fetch.from, MessagePart::PageRequest { slot, after }));
    }
}
