//! What one dispatcher holds in common with the others, and how it goes on without them.
//!
//! [`Peers`] is told what happens and answers with [`Action`]s. An access with a key waits for the others as long as the
//! operator allows and never longer; any other access waits for nobody. What others say never lets an access do more
//! than it could alone, and where two say different things the one that allows less holds.
//!
//! Four states: *alone*, nobody else is there; *fetching*, others are there and something that this one keeps is lacking;
//! *whole*; and *shadowed*, a later process has its name, and this one keeps quiet.

/// What the others know to be this one's to keep. A macro of borrowed parts, so that the sync can change meanwhile.
macro_rules! view {
    ($self:ident, $view:ident) => {
        let (members, replicas, own) = (&$self.members, &$self.replicas, $self.members.own().id);
        let others = |slot: Slot| -> Vec<PeerId> {
            let all = replicas.of(slot).iter().copied();
            all.filter(|&id| id != own && members.is_reached(id))
                .collect()
        };
        let mine = |slot: Slot| replicas.is_replica(own, slot);
        let $view = ReplicaView {
            replicas: &others,
            mine: &mine,
            lost: $self.lost,
        };
    };
}

pub mod claims;
pub mod facts;
mod keyed;
pub mod locality;
pub mod members;
pub mod messages;
mod operating;
mod receiving;
pub mod relay;
mod relaying;
pub mod replicas;
mod spreading;
pub mod sync;

use claims::{ClaimOutcome, Claims};
use facts::{Fact, FactId, Facts, ListedState, Retention, Slot, Token, mix};
use members::{MemberAction, Members, OwnMember};
use messages::{Address, InquiryId, MemberStatus, MemberSummary, Message, MessagePart, PeerId};
use relay::Relays;
use replicas::{Changed, Replicas, Scope};
use std::collections::{BTreeMap, BTreeSet};
use sync::{MAX_PAGE_BYTES, ReplicaView, ResyncReason, SlotSync};
use trailproxy::interface::{HostEntry, HostState, PeerAttempt};
use trailproxy::units::*;
use trailproxy_shared_store::decide::records::{
    Completion, Key, RecordDecision, RecordStep, Records,
};

/// By how much a writer's clock may be ahead of a reader's. Whoever is further off is not listened to.
pub const MAX_CLOCK_SKEW: TimeSpan = TimeSpan::from_millis(750);
/// How long a message may be on its way beside that: what it says may have been overtaken.
const MAX_MESSAGE_DELAY: TimeSpan = TimeSpan::from_secs(1);
/// One that was not run for so long was away: others may have given it up.
const PAUSE_THRESHOLD: TimeSpan = TimeSpan::from_secs(1);
/// A host's turn is told for so long, and holds for so long against an own list that is silent.
pub const HOST_CHANGE_RETENTION: TimeSpan = TimeSpan::from_secs(30);
/// A hint that is older says nothing.
const HINT_RETENTION: TimeSpan = TimeSpan::from_secs(5);
/// What all hear of by themselves is told by the first after a draw from this, so that hundreds don't tell it at once.
const MAX_GOSSIP_DELAY: TimeSpan = TimeSpan::from_millis(300);
/// How often what is new is told on, and to how many.
const GOSSIP_INTERVAL: TimeSpan = TimeSpan::from_millis(150);
const GOSSIP_FANOUT: usize = 3;
/// Who keeps what is reckoned anew no more often: hundreds that come at once change it once.
const REPLICA_UPDATE_INTERVAL: TimeSpan = TimeSpan::from_millis(100);
/// Rumours in a message, and remembered at once.
const MAX_FACTS_PER_GOSSIP: usize = 20;
const MAX_GOSSIP_ENTRIES: usize = 8_192;
const MAX_HINTS: usize = 1_024;
/// One whose clock is too far off is answered no more often, and so many are remembered.
const OFF_CLOCK_REPLY_INTERVAL: TimeSpan = TimeSpan::from_secs(1);
const MAX_OFF_CLOCK_MEMBERS: usize = 1_024;

/// What is held in common, each by itself, and the bounds that the operator sets.
#[derive(Clone, Debug, PartialEq)]
pub struct PeersSettings {
    pub records: bool,
    pub purges: bool,
    pub hosts: bool,
    pub hints: bool,
    /// An access with a key goes out only where the others have said that it is new, or where a repeat is dropped.
    pub refuse_unconfirmed: bool,
    /// The longest that an access with a key waits.
    pub max_wait: TimeSpan,
    /// How long a record is kept: no shorter than any window and outer limit together.
    pub record_retention: TimeSpan,
    /// After that every copy from before a purge is gone.
    pub purge_retention: TimeSpan,
}

/// How it stands with the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerState {
    Alone,
    Fetching,
    InSync,
    Superseded,
    Left,
}

impl PeerState {
    pub fn as_str(self) -> &'static str {
        match self {
            PeerState::Alone => "alone",
            PeerState::Fetching => "fetching",
            PeerState::InSync => "whole",
            PeerState::Superseded => "shadowed",
            PeerState::Left => "left",
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
    HostRestricted {
        host: HostId,
        listed: ListedState,
        started: Option<Timestamp>,
    },
    /// That is over: the own list holds.
    HostRestrictionLifted {
        host: HostId,
    },
    PeerBreakerOpened {
        host: HostId,
    },
    StateChanged(PeerState),
    MemberStatusChanged(PeerId, MemberStatus),
    /// Another subsystem's word from that one.
    SubsystemMessage(PeerId, u8, Vec<u8>),
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
struct GossipEntry {
    left: u32,
    at: Timestamp,
}

/// How the own list has a host, and what others' lists make of it.
#[derive(Clone, Copy, Debug, Default)]
struct Host {
    started: u64,
    journal_position: u64,
    listed: Option<ListedState>,
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
    settings: PeersSettings,
    rng: fastrand::Rng,
    members: Members,
    replicas: Replicas,
    facts: Facts,
    sync: SlotSync,
    /// What other zones claim, where this member says where it is.
    relays: Option<Relays>,
    records: Records,
    claims: Claims,
    gossip_queue: BTreeMap<FactId, GossipEntry>,
    hints: BTreeMap<(HostId, u64), (Timestamp, u32)>,
    hosts: BTreeMap<HostId, Host>,
    gossip_at: Timestamp,
    /// When it is to be looked again how many were lost lately, where nothing turns before.
    next_partition_check_at: Timestamp,
    /// When it was last reckoned who keeps what, and when it is to be again.
    replicas_updated_at: Timestamp,
    replica_update_due: Option<Timestamp>,
    last_run_at: Timestamp,
    next_inquiry_id: u64,
    journal_position: u64,
    state: PeerState,
    /// It saw fewer than were lost: what the others did meanwhile is not known here.
    in_minority_partition: bool,
    lost: usize,
    /// Those that are there and can't be listened to.
    off_clock: BTreeMap<PeerId, OffClock>,
    counts: Counts,
    actions: Vec<Action>,
}

impl Peers {
    pub fn new(now: Timestamp, own: OwnMember, settings: PeersSettings, seed: u64) -> Peers {
        let mut rng = fastrand::Rng::with_seed(seed);
        let lasts = Retention {
            record: settings.record_retention + MAX_CLOCK_SKEW.mul_f64(2.0) + MAX_MESSAGE_DELAY,
            purge: settings.purge_retention + MAX_CLOCK_SKEW,
            host: HOST_CHANGE_RETENTION,
        };
        let mut peers = Peers {
            facts: Facts::new(lasts),
            sync: SlotSync::new(now, (lasts.record, lasts.purge.max(lasts.host))),
            relays: own
                .topology
                .clone()
                .map(|topology| Relays::new(now, topology, lasts.record)),
            replicas: Replicas::new(own.topology.clone()),
            members: Members::new(now, own, &mut rng),
            records: Records::default(),
            claims: Claims::default(),
            gossip_queue: BTreeMap::new(),
            hints: BTreeMap::new(),
            hosts: BTreeMap::new(),
            gossip_at: now,
            next_partition_check_at: now,
            replicas_updated_at: now - REPLICA_UPDATE_INTERVAL,
            replica_update_due: None,
            last_run_at: now,
            next_inquiry_id: rng.u64(1..1 << 40),
            journal_position: 0,
            state: PeerState::Alone,
            in_minority_partition: false,
            lost: 0,
            off_clock: BTreeMap::new(),
            counts: Counts::default(),
            actions: Vec::new(),
            settings,
            rng,
        };
        peers.update_replicas(now);
        peers
    }

    pub fn settings(&self) -> &PeersSettings {
        &self.settings
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    pub fn state(&self) -> PeerState {
        self.state
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
    pub fn proving_groups(&self) -> (usize, usize) {
        self.relays.as_ref().map_or((0, 0), Relays::proving_groups)
    }

    /// Accesses, questions, debts and rumours that something is kept of, for a check that it stays bounded.
    pub fn pending_counts(&self) -> (usize, usize, usize, usize) {
        let (own, asking, owed) = self.claims.counts();
        (
            own,
            asking,
            owed,
            self.gossip_queue.len() + self.hints.len(),
        )
    }

    /// The sum of each slot that this one keeps, for a check that copies are the same.
    pub fn slot_checksums(&mut self) -> Vec<(Slot, u64)> {
        let own = self.members.own().id;
        let slots: Vec<Slot> = Slot::all()
            .filter(|&slot| self.replicas.is_replica(own, slot))
            .collect();
        let facts = &mut self.facts;
        slots
            .into_iter()
            .map(|slot| (slot, facts.checksum(slot)))
            .collect()
    }

    fn summary(&self) -> MemberSummary {
        MemberSummary {
            in_sync: self.state == PeerState::InSync,
            records: self.facts.record_count() as u32,
            journal_position: self.journal_position,
            membership_checksum: self.members.membership_checksum(),
        }
    }

    fn new_inquiry_id(&mut self) -> InquiryId {
        self.next_inquiry_id += 1;
        InquiryId(self.next_inquiry_id)
    }

    fn is_silent(&self) -> bool {
        matches!(self.state, PeerState::Superseded | PeerState::Left)
    }

    fn send(&mut self, now: Timestamp, to: Address, parts: Vec<MessagePart>) {
        if self.members.superseded {
            return;
        }
        self.counts.letters_out += 1;
        let message = self.message(now, parts);
        self.actions.push(Action::Send(to, message));
    }

    fn message(&self, now: Timestamp, parts: Vec<MessagePart>) -> Message {
        let own = self.members.own();
        Message {
            from: own.id,
            boot_id: own.boot_id,
            incarnation: own.incarnation,
            stamp: now.0,
            parts,
        }
    }

    fn send_to(&mut self, now: Timestamp, id: PeerId, parts: Vec<MessagePart>) {
        if let Some(to) = self.members.address(id) {
            self.send(now, to, parts);
        }
    }

    /// Time has come to `now`; one that was not run for long learns of it before it does anything else.
    fn detect_pause(&mut self, now: Timestamp) {
        let away = now.since(self.last_run_at) >= PAUSE_THRESHOLD;
        self.last_run_at = self.last_run_at.max(now);
        if !away || self.is_silent() {
            return;
        }
        self.counts.away += 1;
        self.members.on_pause_ended(now);
        // It remembers all that it took part in; what the others did meanwhile it does not know.
        self.sync.clear_unreachable();
        let others = self.members.all().map(|(&id, _)| id);
        self.sync.add_unreachable(others);
        self.resync_all(now, ResyncReason::Partitioned);
        let steps = self.records.proceed_all();
        self.run_steps(now, steps);
        self.run_member_actions(now);
    }

    fn resync_all(&mut self, now: Timestamp, why: ResyncReason) {
        let (replicas, own) = (&self.replicas, self.members.own().id);
        self.sync.start_resync(
            now,
            why,
            Slot::all().filter(|&slot| replicas.is_replica(own, slot)),
        );
    }

    /// Who keeps what is to be reckoned anew by then.
    fn schedule_replica_update(&mut self, at: Timestamp) {
        let due = self.replica_update_due.map_or(at, |due| due.min(at));
        self.replica_update_due = Some(due);
    }

    /// The fleet as it is known: who keeps what follows from it.
    fn update_replicas(&mut self, now: Timestamp) {
        let own = self.members.own().id;
        let (fleet, again) = self.members.located(now);
        if let Some(again) = again {
            self.schedule_replica_update(again);
        }
        let before: BTreeSet<Slot> = Slot::all()
            .filter(|&slot| self.replicas.is_replica(own, slot))
            .collect();
        let changed = self.replicas.set_members(now, fleet);
        if changed == Changed::Scope {
            // What was agreed on among other replicas is not known to these.
            self.resync_all(now, ResyncReason::New);
        }
        if changed != Changed::Nothing {
            self.assign_relay_groups(now);
            let replicas = &self.replicas;
            let fell = Slot::all()
                .filter(|&slot| replicas.is_replica(own, slot) && !before.contains(&slot));
            self.sync.start_resync(now, ResyncReason::New, fell);
            let kept = Slot::all().filter(|&slot| replicas.is_replica(own, slot));
            let with: BTreeSet<PeerId> = kept.flat_map(|slot| replicas.of(slot).to_vec()).collect();
            self.sync
                .compare_with(now, with.into_iter().filter(|&id| id != own));
        }
    }

    /// What the members' side wants, and what follows from it.
    fn run_member_actions(&mut self, now: Timestamp) {
        let (mut turned, mut members_changed) = (false, false);
        for todo in self.members.take_actions() {
            match todo {
                MemberAction::Send(to, mut parts) => {
                    parts.extend(self.members.gossip());
                    self.send(now, to, parts);
                }
                MemberAction::StatusChanged(id, status) => {
                    (turned, members_changed) = (true, true);
                    self.actions.push(Action::MemberStatusChanged(id, status));
                }
                MemberAction::ReachabilityChanged => turned = true,
                MemberAction::LocalityLearned => {
                    self.schedule_replica_update(
                        self.replicas_updated_at + REPLICA_UPDATE_INTERVAL,
                    );
                }
                MemberAction::Superseded => {
                    let steps = self.records.proceed_all();
                    self.run_steps(now, steps);
                }
            }
        }
        if turned {
            self.update_partition_state(now);
        }
        if members_changed {
            self.schedule_replica_update(self.replicas_updated_at + REPLICA_UPDATE_INTERVAL);
        }
        if self.replica_update_due.is_some_and(|due| due <= now) {
            (self.replica_update_due, self.replicas_updated_at) = (None, now);
            self.update_replicas(now);
        }
        let state = self.current_state();
        if state != self.state {
            self.state = state;
            self.actions.push(Action::StateChanged(state));
        }
    }

    /// Whoever sees no more than were lost since records are kept may be on the smaller side of a cut, and is sure of nothing.
    /// Whoever was there lacks all that it keeps, from when the others are back: they did without it
    /// what it can't know, and its "nothing known" counts for nothing until it has compared. At once, and not when it is
    /// next reckoned who keeps what: between the two it would be the only keeper that it knows, and sure.
    fn update_partition_state(&mut self, now: Timestamp) {
        self.next_partition_check_at = now + REPLICA_UPDATE_INTERVAL;
        let keep = self.settings.record_retention;
        let lost = |member: &members::Member| match member.update.status {
            MemberStatus::Dead => now.since(member.since) < keep,
            MemberStatus::Suspected => true,
            _ => member.one_way,
        };
        // Only those matter that a claim is agreed on with.
        let zone_only = self.replicas.scope() == Scope::Zone;
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
            let reached = self.members.is_reached(id);
            if !reached && !lost_now.contains(&id) {
                lost_now.push(id);
            }
        }
        let lost = lost_now;
        let in_minority_partition = there <= lost.len();
        if in_minority_partition && !self.in_minority_partition {
            self.sync.clear_unreachable();
        }
        self.lost = lost.len();
        if in_minority_partition {
            self.sync.add_unreachable(lost.into_iter());
        } else if self.in_minority_partition {
            self.resync_all(now, ResyncReason::Partitioned);
        }
        self.in_minority_partition = in_minority_partition;
        self.members
            .set_in_minority_partition(in_minority_partition);
    }

    fn current_state(&self) -> PeerState {
        if self.members.own().status == MemberStatus::Left {
            return PeerState::Left;
        }
        if self.members.superseded {
            return PeerState::Superseded;
        }
        if self.members.present().next().is_none() {
            return PeerState::Alone;
        }
        view!(self, view);
        match self.sync.out_of_sync_count(&view) {
            0 => PeerState::InSync,
            _ => PeerState::Fetching,
        }
    }

    /// When something is to be done by itself next.
    pub fn next_deadline(&self) -> Timestamp {
        let relays = self.relays.as_ref().and_then(Relays::next_deadline);
        let timed = [
            self.records.next_deadline(),
            self.claims.next_deadline(),
            self.facts.next_deadline(),
            relays,
        ];
        let freed = self.hosts.values().filter_map(|host| host.restricted);
        let timed = timed.into_iter().flatten().chain(freed);
        let timed = timed.chain(self.replica_update_due);
        let always = [
            self.members.next_deadline(),
            self.sync.next_deadline(),
            self.gossip_at,
        ];
        if self.is_silent() {
            return timed.min().unwrap_or(self.last_run_at + PAUSE_THRESHOLD);
        }
        timed.chain(always).min().unwrap_or(self.gossip_at)
    }

    /// Time passes: what is due is done.
    pub fn advance(&mut self, now: Timestamp) {
        self.detect_pause(now);
        let steps = self.records.advance(now);
        self.run_steps(now, steps);
        self.facts.advance(now);
        self.lift_expired_restrictions(now);
        // The lost are counted for a while only.
        if now >= self.next_partition_check_at {
            self.update_partition_state(now);
        }
        if self.is_silent() {
            return;
        }
        self.send_pending_updates(now);
        let summary = self.summary();
        self.members.advance(now, summary, &mut self.rng);
        self.run_member_actions(now);
        self.fetch(now);
        self.send_relays(now);
        if now >= self.gossip_at {
            self.gossip_at = now + GOSSIP_INTERVAL.mul_f64(0.75 + 0.5 * self.rng.f64());
            self.gossip(now);
        }
        self.run_member_actions(now);
    }

    /// What is to be done now.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }
}

/// The life of a process that starts at this moment: later ones are higher, and no two of one moment are the same.
pub fn new_boot_id(now: Timestamp, seed: u64) -> messages::BootId {
    messages::BootId(now.0 << 8 | mix(seed) & 0xff)
}
