//! State that one dispatcher shares with the others, and how it continues without them.
//!
//! [`Peers`] receives events and answers with [`Action`]s. A keyed request waits for the other
//! dispatchers at most as long as the operator allows; no other request waits for them. What other
//! dispatchers report never permits a request more than it could do without them, and of two
//! contradicting reports the more restrictive one applies.
//!
//! A dispatcher is in one of these states: *alone*, no other dispatcher is present; *fetching*,
//! others are present and this one lacks data of slots of which it is a replica; *whole*, it has
//! all of that data; *shadowed*, a later process has taken its name, so that it sends nothing;
//! *left*, it has left the fleet in order.

/// Defines `$view`, a [`ReplicaView`] for this member. It is a macro that borrows single fields, so
/// that `sync` can be modified at the same time.
macro_rules! replica_view {
    ($self:ident, $view:ident) => {
        let (members, replicas, own) = (&$self.members, &$self.replicas, $self.members.own().id);
        let others = |slot: Slot| -> Vec<PeerId> {
            let all = replicas.of(slot).iter().copied();
            all.filter(|&id| id != own && members.is_reached(id))
                .collect()
        };
        let is_held = |slot: Slot| replicas.is_replica(own, slot);
        let $view = ReplicaView {
            replicas: &others,
            is_held: &is_held,
            lost: $self.lost,
        };
    };
}

/// Claims of this dispatcher's own requests.
pub mod claims;
/// The offset of one other clock.
pub mod clock_offset;
/// Offsets between the clocks of members.
pub mod clocks;
/// Shared facts and how copies of them are merged.
pub mod facts;
/// Identifiers that all parts share.
pub mod ids;
mod keyed;
/// Sites, zones and regions of members.
pub mod locality;
/// Membership of the fleet.
pub mod members;
/// Messages between members.
pub mod messages;
mod operating;
mod receiving;
/// Claims of other zones.
pub mod relay;
mod relaying;
/// Assignment of slots to replicas.
pub mod replicas;
mod spreading;
/// Comparison and synchronisation of copies.
pub mod sync;

use claims::{ClaimOutcome, Claims};
use clocks::SenderClocks;
use facts::{Fact, FactId, Facts, ListedState, Retention, Slot, Token, mix};
use members::{MemberAction, Members, OwnMember};
use messages::{Address, InquiryId, MemberStatus, MemberSummary, Message, MessagePart, PeerId};
use relay::Relays;
use replicas::{ReplicaChange, Replicas, Scope};
use std::collections::{BTreeMap, BTreeSet};
use sync::{MAX_PAGE_BYTES, ReplicaView, ResyncReason, SlotSync};
use trailproxy::interface::{HostEntry, HostState, PeerAttempt};
use trailproxy::units::*;
use trailproxy_shared_store::decide::records::{
    Completion, Key, RecordDecision, RecordStep, Records,
};

/// The most by which a timestamp may be off after it was converted to the clock of its reader. It
/// covers the delay of the fastest message of the sender, and drift.
pub const MAX_TIMESTAMP_ERROR: TimeSpan = TimeSpan::from_millis(750);
/// The longest time that a message may be on its way in addition to the error of its time stamp.
/// What an older message says may be outdated.
const MAX_MESSAGE_DELAY: TimeSpan = TimeSpan::from_secs(1);
/// A dispatcher that was not run for this long was paused: other members may have declared it dead.
const PAUSE_THRESHOLD: TimeSpan = TimeSpan::from_secs(1);
/// How long a change of a host is reported, and how long it applies while the own host list does
/// not mention it.
pub const HOST_CHANGE_RETENTION: TimeSpan = TimeSpan::from_secs(30);
/// The age at which a report of an opened breaker is dropped.
const HINT_RETENTION: TimeSpan = TimeSpan::from_secs(5);
/// An event that all members learn of by themselves is passed on after a random delay up to this
/// one, so that hundreds of members do not send it at once.
const MAX_GOSSIP_DELAY: TimeSpan = TimeSpan::from_millis(300);
/// How often new facts are passed on.
const GOSSIP_INTERVAL: TimeSpan = TimeSpan::from_millis(150);
/// The number of members to which new facts are sent.
const GOSSIP_FANOUT: usize = 3;
/// The shortest time between two computations of the replicas: hundreds of members that arrive at
/// once change the replicas only once.
const REPLICA_UPDATE_INTERVAL: TimeSpan = TimeSpan::from_millis(100);
/// Facts in one gossip message.
const MAX_FACTS_PER_GOSSIP: usize = 20;
/// Facts that wait to be passed on.
const MAX_GOSSIP_ENTRIES: usize = 8_192;
/// Opened breakers that are remembered.
const MAX_HINTS: usize = 1_024;

/// Which kinds of state are shared, and the limits that the operator sets.
#[derive(Clone, Debug, PartialEq)]
pub struct PeersSettings {
    /// Records of keyed requests are shared.
    pub records: bool,
    /// Purges are shared.
    pub purges: bool,
    /// Changes of hosts are shared.
    pub hosts: bool,
    /// Openings of breakers are shared.
    pub hints: bool,
    /// Whether a keyed request is sent only if the other members confirmed that it is new, or where
    /// a host drops a repeat of it.
    pub refuse_unconfirmed: bool,
    /// The longest time for which a keyed request waits.
    pub max_wait: TimeSpan,
    /// How long a record is kept: at least the longest sum of a repeat window and a request
    /// deadline.
    pub record_retention: TimeSpan,
    /// The time after a purge at which every copy from before it is gone.
    pub purge_retention: TimeSpan,
}

impl PeersSettings {
    /// Every kind of state is shared, and a request is also sent if nobody confirmed that it is new:
    /// what an operator's section says by default.
    pub fn sharing_all(
        max_wait: TimeSpan,
        record_retention: TimeSpan,
        purge_retention: TimeSpan,
    ) -> PeersSettings {
        PeersSettings {
            records: true,
            purges: true,
            hosts: true,
            hints: true,
            refuse_unconfirmed: false,
            max_wait,
            record_retention,
            purge_retention,
        }
    }
}

/// The state of this dispatcher among its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerState {
    /// No other dispatcher is present.
    Alone,
    /// Data of some slots is still to be fetched.
    Fetching,
    /// All data of its slots is present.
    InSync,
    /// A later process has the same name.
    Superseded,
    /// It left the fleet in order.
    Left,
}

impl PeerState {
    /// The name of the state in logs and in the status text.
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

/// An action for the caller of [`Peers`].
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to an address.
    Send(Address, Message),
    /// A request that was passed to [`Peers::on_request`] continues now.
    Decided {
        id: RequestId,
        verdict: RecordDecision,
    },
    /// Another member reported a purge.
    Purged {
        object: Option<ObjectId>,
        group: GroupId,
        at: Timestamp,
    },
    /// Another member's host list restricts a host that the own list does not restrict yet.
    HostRestricted {
        host: HostId,
        listed: ListedState,
        started: Option<Timestamp>,
    },
    /// The restriction of a host has ended; the own host list applies.
    HostRestrictionLifted { host: HostId },
    /// A breaker opened at another member for this host.
    PeerBreakerOpened { host: HostId },
    /// This dispatcher's state changed.
    StateChanged(PeerState),
    /// The status of another member changed.
    MemberStatusChanged(PeerId, MemberStatus),
    /// A message of another subsystem: the sender, the subsystem's number and the bytes.
    SubsystemMessage(PeerId, u8, Vec<u8>),
}

/// Counters, under the names that the operators' documentation uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Messages that were read.
    pub letters_in: u64,
    /// Messages that were sent.
    pub letters_out: u64,
    /// Messages that were not read because they were on their way for too long.
    pub outdated: u64,
    /// Messages that were not read because they bear this member's own name.
    pub own_name: u64,
    /// Claims that were sent to replicas.
    pub claimed: u64,
    /// Keyed requests that waited for other members.
    pub waited: u64,
    /// Waiting requests that enough replicas confirmed to be new.
    pub granted: u64,
    /// Inquiries that too few replicas could confirm.
    pub unsure: u64,
    /// Claims received as a replica for keys that another zone has claimed.
    pub elsewhere: u64,
    /// Claims received as a replica while it could not prove that keys are new in other zones.
    pub unproved: u64,
    /// Requests that wait for an attempt of another member.
    pub joined: u64,
    /// Requests that were answered from a record.
    pub answered: u64,
    /// Requests that learned of another member's attempt after they had continued.
    pub found_late: u64,
    /// Facts that were dropped because there was no room.
    pub full: u64,
    /// Facts from other members that were new.
    pub news: u64,
    /// Pauses of this dispatcher.
    pub away: u64,
    /// Pages that were received.
    pub pieces_in: u64,
    /// Pages that were sent.
    pub pieces_out: u64,
}

/// A fact that is being passed on.
#[derive(Clone, Debug)]
struct GossipEntry {
    rounds_left: u32,
    at: Timestamp,
}

/// A host in the own list, and what other members' lists say of it.
#[derive(Clone, Copy, Debug, Default)]
struct Host {
    started: u64,
    journal_position: u64,
    listed: Option<ListedState>,
    /// The time until which another member's report restricts the host.
    restricted_until: Option<Timestamp>,
}

/// The shared state and the decisions of one dispatcher.
#[derive(Clone, Debug)]
pub struct Peers {
    settings: PeersSettings,
    rng: fastrand::Rng,
    members: Members,
    replicas: Replicas,
    facts: Facts,
    sync: SlotSync,
    /// Claims of other zones; `None` if this member does not report its location.
    relays: Option<Relays>,
    records: Records,
    claims: Claims,
    gossip_queue: BTreeMap<FactId, GossipEntry>,
    hints: BTreeMap<(HostId, u64), (Timestamp, u32)>,
    hosts: BTreeMap<HostId, Host>,
    next_gossip_at: Timestamp,
    /// When the lost members are counted again, unless a change of a member comes first.
    next_partition_check_at: Timestamp,
    /// When the replicas were last computed.
    replicas_updated_at: Timestamp,
    /// When the replicas are computed next, if that is scheduled.
    replica_update_due: Option<Timestamp>,
    last_run_at: Timestamp,
    next_inquiry_id: u64,
    journal_position: u64,
    state: PeerState,
    /// Whether it reaches no more members than it lost: what the lost members do meanwhile is not
    /// known here.
    in_minority_partition: bool,
    lost: usize,
    sender_clocks: SenderClocks,
    counts: Counts,
    actions: Vec<Action>,
}

impl Peers {
    /// A dispatcher that starts at `now`. `seed` seeds its random generator.
    pub fn new(now: Timestamp, own: OwnMember, settings: PeersSettings, seed: u64) -> Peers {
        let mut rng = fastrand::Rng::with_seed(seed);
        let retention = Retention {
            record: settings.record_retention
                + MAX_TIMESTAMP_ERROR.mul_f64(2.0)
                + MAX_MESSAGE_DELAY,
            purge: settings.purge_retention + MAX_TIMESTAMP_ERROR,
            host: HOST_CHANGE_RETENTION,
        };
        let mut peers = Peers {
            facts: Facts::new(retention),
            sync: SlotSync::new(now, (retention.record, retention.purge.max(retention.host))),
            relays: own
                .topology
                .clone()
                .map(|topology| Relays::new(now, topology, retention.record)),
            replicas: Replicas::new(own.topology.clone()),
            members: Members::new(now, own, &mut rng),
            records: Records::new(retention.record),
            claims: Claims::default(),
            gossip_queue: BTreeMap::new(),
            hints: BTreeMap::new(),
            hosts: BTreeMap::new(),
            next_gossip_at: now,
            next_partition_check_at: now,
            replicas_updated_at: now - REPLICA_UPDATE_INTERVAL,
            replica_update_due: None,
            last_run_at: now,
            next_inquiry_id: rng.u64(1..1 << 40),
            journal_position: 0,
            state: PeerState::Alone,
            in_minority_partition: false,
            lost: 0,
            sender_clocks: SenderClocks::default(),
            counts: Counts::default(),
            actions: Vec::new(),
            settings,
            rng,
        };
        peers.update_replicas(now);
        peers
    }

    /// The settings with which it runs.
    pub fn settings(&self) -> &PeersSettings {
        &self.settings
    }

    /// The counters.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// The state of this dispatcher among its peers.
    pub fn state(&self) -> PeerState {
        self.state
    }

    /// The members of the fleet.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// The facts that this dispatcher holds.
    pub fn facts(&self) -> &Facts {
        &self.facts
    }

    /// The number of replicas in other zones to which this one reports claims of its zone.
    pub fn relay_partners(&self) -> usize {
        self.relays.as_ref().map_or(0, Relays::partners)
    }

    /// The number of slot groups of which this member holds a replica within its zone, and of those
    /// that prove keys to be new.
    pub fn proving_groups(&self) -> (usize, usize) {
        self.relays.as_ref().map_or((0, 0), Relays::proving_groups)
    }

    /// The numbers of open claims, inquiries, pending updates, and gossip entries with hints.
    /// Checks use them to show that they stay bounded.
    pub fn pending_counts(&self) -> (usize, usize, usize, usize) {
        let (own, inquiries, pending) = self.claims.counts();
        (
            own,
            inquiries,
            pending,
            self.gossip_queue.len() + self.hints.len(),
        )
    }

    /// The checksum of each slot that this member holds. Checks use them to compare copies.
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

    /// Records that time has advanced to `now`, and handles a pause before anything else is done.
    fn detect_pause(&mut self, now: Timestamp) {
        let away = now.since(self.last_run_at) >= PAUSE_THRESHOLD;
        self.last_run_at = self.last_run_at.max(now);
        if !away || self.is_silent() {
            return;
        }
        self.counts.away += 1;
        self.sender_clocks.on_pause_ended(now);
        self.members.on_pause_ended(now);
        // It remembers everything in which it took part, but not what the others did meanwhile.
        self.sync.clear_unreachable();
        let others = self.members.all().map(|(&id, _)| id);
        self.sync.add_unreachable(others);
        self.resync_all(now, ResyncReason::Partitioned);
        let steps = self.records.proceed_all();
        self.run_steps(now, steps);
        self.run_member_actions(now);
    }

    fn resync_all(&mut self, now: Timestamp, reason: ResyncReason) {
        let (replicas, own) = (&self.replicas, self.members.own().id);
        self.sync.start_resync(
            now,
            reason,
            Slot::all().filter(|&slot| replicas.is_replica(own, slot)),
        );
    }

    /// Schedules a computation of the replicas for `at` at the latest.
    fn schedule_replica_update(&mut self, at: Timestamp) {
        let due = self.replica_update_due.map_or(at, |due| due.min(at));
        self.replica_update_due = Some(due);
    }

    /// Computes the replicas from the members that are known now.
    fn update_replicas(&mut self, now: Timestamp) {
        let own = self.members.own().id;
        let (fleet, recheck_at) = self.members.located(now);
        if let Some(recheck_at) = recheck_at {
            self.schedule_replica_update(recheck_at);
        }
        let before: BTreeSet<Slot> = Slot::all()
            .filter(|&slot| self.replicas.is_replica(own, slot))
            .collect();
        let changed = self.replicas.set_members(now, fleet);
        if changed == ReplicaChange::Scope {
            // The new replicas do not know what the former ones agreed on.
            self.resync_all(now, ResyncReason::New);
        }
        if changed != ReplicaChange::Nothing {
            self.assign_relay_groups(now);
            let replicas = &self.replicas;
            let assigned = Slot::all()
                .filter(|&slot| replicas.is_replica(own, slot) && !before.contains(&slot));
            self.sync.start_resync(now, ResyncReason::New, assigned);
            let kept = Slot::all().filter(|&slot| replicas.is_replica(own, slot));
            let with: BTreeSet<PeerId> = kept.flat_map(|slot| replicas.of(slot).to_vec()).collect();
            self.sync
                .compare_with(now, with.into_iter().filter(|&id| id != own));
        }
    }

    /// Carries out the actions that membership requests, and updates what depends on them.
    fn run_member_actions(&mut self, now: Timestamp) {
        let (mut reachability_changed, mut members_changed) = (false, false);
        for action in self.members.take_actions() {
            match action {
                MemberAction::Send(to, mut parts) => {
                    parts.extend(self.members.gossip());
                    self.send(now, to, parts);
                }
                MemberAction::StatusChanged(id, status) => {
                    (reachability_changed, members_changed) = (true, true);
                    self.actions.push(Action::MemberStatusChanged(id, status));
                }
                MemberAction::ReachabilityChanged => reachability_changed = true,
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
        if reachability_changed {
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

    /// Determines whether this member may be in a minority partition: whether it reaches no more
    /// members than it lost within the retention of records. In a minority partition it confirms
    /// nothing. When the partition heals, all slots that it holds have to be compared again: the
    /// others continued without it, and until the comparison its report that nothing is known does
    /// not count. This takes effect at once and not with the next computation of replicas; in
    /// between it would be the only replica that it knows of, and would confirm claims.
    fn update_partition_state(&mut self, now: Timestamp) {
        self.next_partition_check_at = now + REPLICA_UPDATE_INTERVAL;
        let retention = self.settings.record_retention;
        let is_lost = |member: &members::Member| match member.update.status {
            MemberStatus::Dead => now.since(member.since) < retention,
            MemberStatus::Suspected => true,
            _ => member.one_way,
        };
        // Only members that take part in agreeing on claims matter.
        let zone_only = self.replicas.scope() == Scope::Zone;
        let (mut reached_count, mut lost) = (1, Vec::new());
        for (&id, member) in self.members.all() {
            if zone_only && !self.members.is_in_zone(member) {
                continue;
            }
            reached_count += usize::from(member.is_reached());
            if is_lost(member) {
                lost.push(id);
            }
        }
        let in_minority_partition = reached_count <= lost.len();
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

    /// The state that follows from membership and synchronisation.
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
        replica_view!(self, view);
        match self.sync.out_of_sync_count(&view) {
            0 => PeerState::InSync,
            _ => PeerState::Fetching,
        }
    }

    /// When [`Peers::advance`] has to be called next.
    pub fn next_deadline(&self) -> Timestamp {
        let relays = self.relays.as_ref().and_then(Relays::next_deadline);
        let timed = [
            self.records.next_deadline(),
            self.claims.next_deadline(),
            self.facts.next_deadline(),
            relays,
        ];
        let restrictions = self.hosts.values().filter_map(|host| host.restricted_until);
        let timed = timed.into_iter().flatten().chain(restrictions);
        let timed = timed.chain(self.replica_update_due);
        let always = [
            self.members.next_deadline(),
            self.sync.next_deadline(),
            self.next_gossip_at,
        ];
        if self.is_silent() {
            return timed.min().unwrap_or(self.last_run_at + PAUSE_THRESHOLD);
        }
        timed.chain(always).min().unwrap_or(self.next_gossip_at)
    }

    /// Advances time to `now` and does what is due.
    pub fn advance(&mut self, now: Timestamp) {
        self.detect_pause(now);
        let steps = self.records.advance(now);
        self.run_steps(now, steps);
        self.facts.advance(now);
        self.lift_expired_restrictions(now);
        // Lost members count only for a limited time.
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
        if now >= self.next_gossip_at {
            self.next_gossip_at = now + GOSSIP_INTERVAL.mul_f64(0.75 + 0.5 * self.rng.f64());
            self.gossip(now);
        }
        self.run_member_actions(now);
    }

    /// Takes the actions that are due.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }
}

/// The boot id of a process that starts at `now`. Later processes have higher ids, and the seed
/// distinguishes processes that start at the same time.
pub fn new_boot_id(now: Timestamp, seed: u64) -> messages::BootId {
    messages::BootId(now.0 << 8 | mix(seed) & 0xff)
}
