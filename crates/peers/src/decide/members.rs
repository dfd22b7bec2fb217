//! Membership of the fleet, as one member sees it.
//!
//! At each [`PING_INTERVAL`] one other member is pinged, in an order that is drawn again for each
//! round. If it does not answer, a few other members ping it, and if none of them reaches it, it is
//! suspected. All members are told, including the suspected one, which refutes the suspicion under
//! a higher incarnation if it is alive. A member that does not refute it is dead, and nothing waits
//! for it any more. Dead members and the operator's addresses are pinged from time to time, so that
//! the sides of a partition find each other again without an operator.

use super::facts::mix;
use super::locality::{Distance, Locality, Topology};
use super::messages::{
    Address, BootId, InquiryId, MemberStatus, MemberSummary, MemberUpdate, MessagePart, PeerId,
};
use super::replicas::Located;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use trailproxy::units::{TimeSpan, Timestamp};

/// How often another member is pinged. A shorter interval costs messages; a longer one detects dead
/// members later.
pub const PING_INTERVAL: TimeSpan = TimeSpan::from_millis(400);
/// How long the answer to a ping is waited for before other members are asked to ping. Messages to
/// another region take longer.
const PING_TIMEOUT: TimeSpan = TimeSpan::from_millis(120);
/// The same for a member in another region.
const PING_TIMEOUT_OTHER_REGION: TimeSpan = TimeSpan::from_millis(240);
/// A member that has not reported its location for this long runs a version that does not report
/// it.
const LOCALITY_WAIT: TimeSpan = TimeSpan::from_secs(5);
/// The number of members that are asked to ping one that does not answer.
const INDIRECT_PING_HELPERS: usize = 3;
/// How long a suspected member has to refute the suspicion; in a large fleet it has more time, by
/// the number of doublings of the fleet's size.
const SUSPICION_TIMEOUT: TimeSpan = TimeSpan::from_millis(900);
/// The additional time for each doubling of the fleet's size.
const SUSPICION_TIMEOUT_PER_DOUBLING: TimeSpan = TimeSpan::from_millis(100);
/// How long a dead member is remembered and pinged.
const DEAD_MEMBER_RETENTION: TimeSpan = TimeSpan::from_secs(3_600);
/// How often a member that is not present is pinged.
const REJOIN_INTERVAL: TimeSpan = TimeSpan::from_millis(500);
/// Updates in one gossip message.
const MAX_UPDATES_PER_MESSAGE: usize = 10;
/// Members in one message of the member list.
const MAX_MEMBERS_PER_MESSAGE: usize = 24;
/// How often the member list is requested at most while two members know different ones.
const MEMBER_LIST_REQUEST_INTERVAL: TimeSpan = TimeSpan::from_millis(500);
/// Members that were lost this recently are included in the member list.
const LOST_MEMBER_REPORT_PERIOD: TimeSpan = TimeSpan::from_secs(30);
/// The largest number of members; further ones are not accepted.
pub const MAX_MEMBERS: usize = 1_024;
/// How long after its start a process may take over its name from another process.
const NAME_TAKEOVER_PERIOD: TimeSpan = TimeSpan::from_secs(3);

/// Another member of the fleet.
#[derive(Clone, Debug)]
pub struct Member {
    /// The report about it that applies.
    pub update: MemberUpdate,
    /// When it changed to its status.
    pub since: Timestamp,
    /// What it reported about itself.
    pub summary: MemberSummary,
    /// Whether it answers other members but not this one.
    pub one_way: bool,
    /// Its location, as it reports it.
    locality: Option<Locality>,
    /// When it became known.
    known_since: Timestamp,
    /// In how many more messages its update is passed on.
    gossip_rounds_left: u32,
}

impl Member {
    /// Whether it counts as a member of the fleet.
    pub fn is_present(&self) -> bool {
        self.update.status <= MemberStatus::Suspected
    }

    /// Whether it is alive and answers this member.
    pub fn is_reached(&self) -> bool {
        self.update.status == MemberStatus::Alive && !self.one_way
    }
}

/// A ping that has not been answered.
#[derive(Clone, Copy, Debug)]
struct Probe {
    inquiry_id: InquiryId,
    peer: PeerId,
    sent_at: Timestamp,
    is_indirect: bool,
}

/// Indexes over all members, so that no event has to search them.
#[derive(Clone, Debug, Default)]
struct MemberIndex {
    suspected: BTreeSet<PeerId>,
    /// Members whose update is still to be passed on.
    to_gossip: BTreeSet<PeerId>,
    /// The sum over present members for [`Members::membership_checksum`].
    checksum: u64,
}

/// The summand of one member in the checksum of present members and their boot ids.
fn member_checksum(update: &MemberUpdate) -> u64 {
    mix(update.id.0 ^ mix(update.boot_id.0))
}

impl MemberIndex {
    fn of(members: &BTreeMap<PeerId, Member>) -> MemberIndex {
        let mut index = MemberIndex::default();
        members.values().for_each(|member| index.add(member));
        index
    }

    fn add(&mut self, member: &Member) {
        let id = member.update.id;
        if member.update.status == MemberStatus::Suspected {
            self.suspected.insert(id);
        }
        if member.gossip_rounds_left > 0 {
            self.to_gossip.insert(id);
        }
        if member.is_present() {
            self.checksum = self.checksum.wrapping_add(member_checksum(&member.update));
        }
    }

    fn remove(&mut self, member: &Member) {
        self.suspected.remove(&member.update.id);
        self.to_gossip.remove(&member.update.id);
        if member.is_present() {
            self.checksum = self.checksum.wrapping_sub(member_checksum(&member.update));
        }
    }
}

/// An action that membership requests.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberAction {
    /// Send a message to an address.
    Send(Address, Vec<MessagePart>),
    /// The status of a member changed.
    StatusChanged(PeerId, MemberStatus),
    /// A member reported its location.
    LocalityLearned,
    /// A member became reachable through others only, or directly again.
    ReachabilityChanged,
    /// A later process has the same name: this one has to be silent.
    Superseded,
}

/// The identity of this member, and where it looks for others.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnMember {
    /// Identifies the member.
    pub id: PeerId,
    /// Where its messages are sent.
    pub address: Address,
    /// The boot id of this process.
    pub boot_id: BootId,
    /// Addresses at which other members are looked for.
    pub seeds: Vec<Address>,
    /// Its location among the fleet's zones; `None` if distances are not taken into account.
    pub topology: Option<Topology>,
}

/// All known members of the fleet.
#[derive(Clone, Debug)]
pub struct Members {
    own: MemberUpdate,
    locality: Option<Locality>,
    started_at: Timestamp,
    seeds: Vec<Address>,
    members: BTreeMap<PeerId, Member>,
    /// The members to ping in this round.
    round: VecDeque<PeerId>,
    probe: Option<Probe>,
    /// Pings on behalf of other members: by the inquiry id of the ping, the asking member's address
    /// and inquiry id, the pinged member and the time limit.
    relayed_pings: BTreeMap<InquiryId, (Address, InquiryId, PeerId, Timestamp)>,
    next_ping_at: Timestamp,
    next_rejoin_at: Timestamp,
    missing_index: usize,
    next_inquiry_id: u64,
    /// Before this time no other member is asked for its member list.
    next_member_list_request_at: Timestamp,
    /// Whether a later process has the same name.
    pub superseded: bool,
    /// It may be in a minority partition: its view of the others is not passed on.
    in_minority_partition: bool,
    own_gossip_rounds_left: u32,
    /// The members of the last updates in the message that is being read; their localities may
    /// follow.
    last_updates: Vec<(PeerId, BootId)>,
    index: MemberIndex,
    actions: Vec<MemberAction>,
}

impl Members {
    /// A member that knows no others yet.
    pub fn new(now: Timestamp, own: OwnMember, rng: &mut fastrand::Rng) -> Members {
        let update = MemberUpdate {
            id: own.id,
            address: own.address,
            boot_id: own.boot_id,
            incarnation: 0,
            status: MemberStatus::Alive,
        };
        Members {
            started_at: now,
            seeds: own
                .seeds
                .into_iter()
                .filter(|&seed| seed != own.address)
                .collect(),
            own: update,
            locality: own.topology.map(|topology| topology.own),
            members: BTreeMap::new(),
            round: VecDeque::new(),
            probe: None,
            relayed_pings: BTreeMap::new(),
            next_ping_at: now + PING_INTERVAL.mul_f64(rng.f64()),
            next_rejoin_at: now,
            missing_index: rng.usize(0..1_024),
            next_inquiry_id: rng.u64(0..1 << 32),
            next_member_list_request_at: now,
            superseded: false,
            in_minority_partition: false,
            own_gossip_rounds_left: 0,
            last_updates: Vec::new(),
            index: MemberIndex::default(),
            actions: Vec::new(),
        }
    }

    /// The report of this member about itself.
    pub fn own(&self) -> &MemberUpdate {
        &self.own
    }

    /// A known member.
    pub fn get(&self, id: PeerId) -> Option<&Member> {
        self.members.get(&id)
    }

    /// All known members except this one.
    pub fn all(&self) -> impl Iterator<Item = (&PeerId, &Member)> {
        self.members.iter()
    }

    /// All present members except this one.
    pub fn present(&self) -> impl Iterator<Item = (PeerId, &Member)> {
        let all = self.members.iter().map(|(&id, member)| (id, member));
        all.filter(|(_, member)| member.is_present())
    }

    /// Whether a member is alive and answers this one.
    pub fn is_reached(&self, id: PeerId) -> bool {
        let member = self.members.get(&id);
        member.is_some_and(Member::is_reached)
    }

    /// The address of a known member.
    pub fn address(&self, id: PeerId) -> Option<Address> {
        Some(self.members.get(&id)?.update.address)
    }

    /// The location of a member, if it is known.
    pub fn locality(&self, id: PeerId) -> Option<Locality> {
        self.members.get(&id)?.locality
    }

    /// All present members with their locations. A member that became known recently and has not
    /// reported its location is left out; the second value is when the result has to be computed
    /// again because of it.
    pub fn located(&self, now: Timestamp) -> (Vec<Located>, Option<Timestamp>) {
        let mut located = vec![(self.own.id, self.locality)];
        let mut recheck_at: Option<Timestamp> = None;
        for (id, member) in self.present() {
            let until = member.known_since + LOCALITY_WAIT;
            if self.locality.is_some() && member.locality.is_none() && now < until {
                recheck_at = Some(recheck_at.map_or(until, |recheck_at| recheck_at.min(until)));
            } else {
                located.push((id, member.locality));
            }
        }
        (located, recheck_at)
    }

    /// Whether a member is in the own zone. All members are if locations are not known.
    pub fn is_in_zone(&self, member: &Member) -> bool {
        let localities = self.locality.zip(member.locality);
        localities.is_none_or(|(own, other)| own.zone == other.zone)
    }

    /// How long the answer to a ping is waited for.
    fn ping_timeout(&self, peer: PeerId) -> TimeSpan {
        let is_far =
            |(own, other): (Locality, Locality)| own.distance(other) == Distance::OtherRegion;
        match self.locality.zip(self.locality(peer)).is_some_and(is_far) {
            true => PING_TIMEOUT_OTHER_REGION,
            false => PING_TIMEOUT,
        }
    }

    /// A ping or an answer, with the location of this member.
    fn with_locality(&self, part: MessagePart) -> Vec<MessagePart> {
        let located = self.locality.map(MessagePart::SenderLocality);
        [part].into_iter().chain(located).collect()
    }

    /// Updates with the locations of their members.
    fn updates_with_localities(&self, updates: Vec<MemberUpdate>) -> Vec<MessagePart> {
        let locality = |update: &MemberUpdate| match update.id == self.own.id {
            true => self.locality,
            false => self.locality(update.id),
        };
        let localities: Vec<_> = updates.iter().map(locality).collect();
        let localities = self
            .locality
            .map(|_| MessagePart::MemberLocalities(localities));
        let updates = MessagePart::MemberUpdates(updates);
        [updates].into_iter().chain(localities).collect()
    }

    /// Stores the location of a member.
    fn learn_locality(&mut self, id: PeerId, boot_id: Option<BootId>, locality: Locality) {
        let Some(member) = self.members.get_mut(&id) else {
            return;
        };
        let same = boot_id.is_none_or(|boot_id| boot_id == member.update.boot_id);
        if same && member.locality != Some(locality) {
            member.locality = Some(locality);
            self.actions.push(MemberAction::LocalityLearned);
        }
    }

    /// Takes the requested actions.
    pub fn take_actions(&mut self) -> Vec<MemberAction> {
        std::mem::take(&mut self.actions)
    }

    fn doublings(&self) -> u32 {
        usize::BITS - (self.members.len() + 1).leading_zeros()
    }

    fn gossip_rounds(&self) -> u32 {
        self.doublings() * 2 + 2
    }

    fn send(&mut self, to: Address, parts: Vec<MessagePart>) {
        self.actions.push(MemberAction::Send(to, parts));
    }

    fn new_inquiry_id(&mut self) -> InquiryId {
        self.next_inquiry_id += 1;
        InquiryId(self.next_inquiry_id)
    }

    /// This member was paused: probes in flight tell nothing about the others, and the others may
    /// have declared it dead.
    pub fn on_pause_ended(&mut self, now: Timestamp) {
        (self.probe, self.next_ping_at, self.next_rejoin_at) = (None, now, now);
        self.relayed_pings.clear();
        for member in self.members.values_mut() {
            member.since = now;
            member.one_way = false;
        }
        self.actions.push(MemberAction::ReachabilityChanged);
        self.own.incarnation += 1;
        self.own_gossip_rounds_left = self.gossip_rounds();
    }

    /// Sets whether this member may be in a minority partition. When a partition heals, it forgets
    /// the members that it suspected or declared dead; otherwise it would make all members believe
    /// for a moment that they lost each other. It learns of present members from those that it
    /// reaches.
    pub fn set_in_minority_partition(&mut self, in_partition: bool) {
        let healed =
            std::mem::replace(&mut self.in_minority_partition, in_partition) && !in_partition;
        let reached = |member: &Member| member.update.status == MemberStatus::Alive;
        if healed && self.members.values().any(reached) {
            let is_doubted = |update: &MemberUpdate| {
                matches!(update.status, MemberStatus::Suspected | MemberStatus::Dead)
            };
            self.members.retain(|_, member| !is_doubted(&member.update));
            self.index = MemberIndex::of(&self.members);
            let members = &self.members;
            self.round.retain(|id| members.contains_key(id));
            self.probe = None;
        }
    }

    fn may_gossip(&self, member: &Member) -> bool {
        !self.in_minority_partition
            || matches!(
                member.update.status,
                MemberStatus::Alive | MemberStatus::Left
            )
    }

    /// Handles the sender of a message: it is alive, with this boot id at least.
    pub fn on_message(
        &mut self,
        now: Timestamp,
        from: PeerId,
        address: Address,
        boot_id: BootId,
        incarnation: u32,
    ) {
        self.last_updates.clear();
        let status = MemberStatus::Alive;
        let update = MemberUpdate {
            id: from,
            address,
            boot_id,
            incarnation,
            status,
        };
        if let Some(member) = self.members.get(&from)
            && member.update.status == MemberStatus::Dead
            && member.update.rank() > update.rank()
        {
            // The sender does not know that it was declared dead. It refutes that under its next
            // incarnation.
            let update_to_repeat = member.update;
            self.send(
                address,
                vec![MessagePart::MemberUpdates(vec![update_to_repeat])],
            );
        }
        self.apply_update(now, update);
        if let Some(member) = self.members.get_mut(&from)
            && member.update.status == MemberStatus::Alive
            && member.one_way
        {
            self.actions.push(MemberAction::ReachabilityChanged);
            member.one_way = false;
        }
    }

    /// Applies a report about a member.
    pub fn apply_update(&mut self, now: Timestamp, update: MemberUpdate) {
        if update.id == self.own.id {
            return self.on_own_update(now, update);
        }
        let rounds = self.gossip_rounds();
        let full = self.members.len() >= MAX_MEMBERS;
        match self.members.get_mut(&update.id) {
            Some(known) if update.rank() <= known.update.rank() => {}
            Some(known) => {
                self.index.remove(known);
                let before = (known.update.status, known.update.boot_id);
                known.update = update;
                known.gossip_rounds_left = rounds;
                if before != (update.status, update.boot_id) {
                    known.since = now;
                    if before.1 != update.boot_id {
                        known.summary = MemberSummary::default();
                    }
                    self.actions
                        .push(MemberAction::StatusChanged(update.id, update.status));
                }
                self.index.add(known);
            }
            None if full || update.status > MemberStatus::Suspected => {}
            None => {
                let member = Member {
                    update,
                    since: now,
                    summary: MemberSummary::default(),
                    one_way: false,
                    locality: None,
                    known_since: now,
                    gossip_rounds_left: rounds,
                };
                self.index.add(&member);
                self.members.insert(update.id, member);
                // At an arbitrary position in the current round, so that hundreds of new members
                // are not all pinged last.
                let position = self.next_inquiry_id as usize % (self.round.len() + 1);
                self.round.insert(position, update.id);
                self.actions
                    .push(MemberAction::StatusChanged(update.id, update.status));
            }
        }
    }

    /// Handles a report about this member itself.
    fn on_own_update(&mut self, now: Timestamp, update: MemberUpdate) {
        if update.boot_id > self.own.boot_id {
            // Either an earlier process at this address whose clock was ahead, or a process
            // elsewhere from which this one takes over the name.
            let new = now.since(self.started_at) < NAME_TAKEOVER_PERIOD;
            if update.address == self.own.address || new {
                self.own.boot_id = BootId(update.boot_id.0 + 1);
                self.own.incarnation = 0;
                self.own_gossip_rounds_left = self.gossip_rounds();
            } else if !self.superseded && update.status <= MemberStatus::Suspected {
                self.superseded = true;
                self.actions.push(MemberAction::Superseded);
            }
        } else if update.boot_id == self.own.boot_id
            && update.incarnation >= self.own.incarnation
            && update.status > MemberStatus::Alive
        {
            self.own.incarnation = update.incarnation + 1;
            self.own_gossip_rounds_left = self.gossip_rounds();
        }
    }

    /// Takes the updates that are to be passed on, those that were passed on least often first.
    pub fn gossip(&mut self) -> Vec<MessagePart> {
        let mut updates = Vec::new();
        if self.own_gossip_rounds_left > 0 {
            self.own_gossip_rounds_left -= 1;
            updates.push(self.own);
        }
        let to_gossip = self.index.to_gossip.iter();
        let to_gossip = to_gossip.filter_map(|id| self.members.get(id));
        let mut candidates: Vec<(u32, PeerId)> = to_gossip
            .filter(|member| self.may_gossip(member))
            .map(|member| (u32::MAX - member.gossip_rounds_left, member.update.id))
            .collect();
        candidates.sort_unstable();
        for (_, id) in candidates.into_iter().take(MAX_UPDATES_PER_MESSAGE) {
            if let Some(member) = self.members.get_mut(&id) {
                member.gossip_rounds_left -= 1;
                if member.gossip_rounds_left == 0 {
                    self.index.to_gossip.remove(&id);
                }
                updates.push(member.update);
            }
        }
        if updates.is_empty() {
            return Vec::new();
        }
        self.updates_with_localities(updates)
    }

    /// Handles a part of a message that concerns membership; `false`: the part concerns something
    /// else.
    pub fn handle_part(
        &mut self,
        now: Timestamp,
        from: PeerId,
        address: Address,
        part: &MessagePart,
        own: MemberSummary,
    ) -> bool {
        match part {
            MessagePart::Ping(inquiry_id, state) => {
                self.on_summary(now, from, address, *state);
                self.send(
                    address,
                    self.with_locality(MessagePart::Ack(*inquiry_id, own)),
                );
            }
            MessagePart::Ack(inquiry_id, state) => {
                self.on_summary(now, from, address, *state);
                if self
                    .probe
                    .is_some_and(|probe| probe.inquiry_id == *inquiry_id && probe.peer == from)
                {
                    self.probe = None;
                }
                if let Some((asker, theirs, peer, _)) = self.relayed_pings.remove(inquiry_id) {
                    self.send(asker, vec![MessagePart::IndirectAck(theirs, peer)]);
                }
            }
            MessagePart::IndirectPing(theirs, peer, at) => {
                if self.relayed_pings.len() < MAX_MEMBERS {
                    let inquiry_id = self.new_inquiry_id();
                    self.relayed_pings
                        .insert(inquiry_id, (address, *theirs, *peer, now + PING_INTERVAL));
                    self.send(*at, self.with_locality(MessagePart::Ping(inquiry_id, own)));
                }
            }
            MessagePart::IndirectAck(inquiry_id, peer) => {
                if self
                    .probe
                    .is_some_and(|probe| probe.inquiry_id == *inquiry_id && probe.peer == *peer)
                {
                    self.probe = None;
                    if let Some(member) = self.members.get_mut(peer) {
                        member.one_way = true;
                        self.actions.push(MemberAction::ReachabilityChanged);
                    }
                }
            }
            MessagePart::MembersRequest => {
                let update_to_repeat = |member: &&Member| {
                    self.may_gossip(member)
                        && (member.is_present()
                            || now.since(member.since) < LOST_MEMBER_REPORT_PERIOD)
                };
                let updates = self
                    .members
                    .values()
                    .filter(update_to_repeat)
                    .map(|member| member.update);
                let updates: Vec<MemberUpdate> = updates.chain([self.own]).collect();
                for piece in updates.chunks(MAX_MEMBERS_PER_MESSAGE) {
                    self.send(address, self.updates_with_localities(piece.to_vec()));
                }
            }
            MessagePart::MemberUpdates(updates) => {
                updates
                    .iter()
                    .for_each(|&update| self.apply_update(now, update));
                self.last_updates = updates
                    .iter()
                    .map(|update| (update.id, update.boot_id))
                    .collect();
            }
            MessagePart::SenderLocality(locality) => self.learn_locality(from, None, *locality),
            MessagePart::MemberLocalities(localities) => {
                let last_updates = std::mem::take(&mut self.last_updates);
                let same = last_updates.len() == localities.len();
                let update_to_repeat = last_updates.into_iter().zip(localities).filter(|_| same);
                for ((id, boot_id), locality) in update_to_repeat {
                    if let Some(locality) = *locality {
                        self.learn_locality(id, Some(boot_id), locality);
                    }
                }
            }
            _ => return false,
        }
        true
    }

    /// A checksum of the present members and their boot ids.
    pub fn membership_checksum(&self) -> u64 {
        self.index.checksum.wrapping_add(member_checksum(&self.own))
    }

    fn on_summary(&mut self, now: Timestamp, from: PeerId, address: Address, state: MemberSummary) {
        if let Some(member) = self.members.get_mut(&from) {
            member.summary = state;
        }
        // Gossip would deliver the differences as well, but takes long if hundreds of members
        // arrive or return at once.
        if now >= self.next_member_list_request_at
            && state.membership_checksum != self.membership_checksum()
        {
            self.next_member_list_request_at = now + MEMBER_LIST_REQUEST_INTERVAL;
            self.send(address, vec![MessagePart::MembersRequest]);
        }
    }

    /// Joins the fleet again after leaving, under another boot id.
    pub fn join(&mut self) {
        self.own.status = MemberStatus::Alive;
        (self.own.boot_id, self.own.incarnation) = (BootId(self.own.boot_id.0 + 1), 0);
    }

    /// Leaves the fleet in order: all members are told at once.
    pub fn leave(&mut self) {
        self.own.status = MemberStatus::Left;
        let all: Vec<Address> = self
            .present()
            .map(|(_, member)| member.update.address)
            .collect();
        for to in all {
            self.send(to, vec![MessagePart::MemberUpdates(vec![self.own])]);
        }
    }

    /// When [`Members::advance`] has to be called next.
    pub fn next_deadline(&self) -> Timestamp {
        let probe = self
            .probe
            .filter(|probe| !probe.is_indirect)
            .map(|probe| probe.sent_at + self.ping_timeout(probe.peer));
        let doubt = self.suspicion_timeout();
        let doubts = self.suspected().map(|member| member.since + doubt);
        let all = doubts
            .chain(probe)
            .chain([self.next_ping_at, self.next_rejoin_at]);
        all.min().unwrap_or(self.next_ping_at)
    }

    fn suspected(&self) -> impl Iterator<Item = &Member> {
        let suspected = self.index.suspected.iter();
        suspected.filter_map(|id| self.members.get(id))
    }

    fn suspicion_timeout(&self) -> TimeSpan {
        SUSPICION_TIMEOUT + SUSPICION_TIMEOUT_PER_DOUBLING.mul_f64(f64::from(self.doublings()))
    }

    /// Does what is due by now.
    pub fn advance(&mut self, now: Timestamp, own: MemberSummary, rng: &mut fastrand::Rng) {
        let doubt = self.suspicion_timeout();
        let dead = self.suspected();
        let dead = dead.filter(|member| now.since(member.since) >= doubt);
        let dead: Vec<MemberUpdate> = dead.map(|member| member.update).collect();
        for update in dead {
            let status = MemberStatus::Dead;
            self.apply_update(now, MemberUpdate { status, ..update });
        }
        self.relayed_pings.retain(|_, (.., until)| now < *until);
        if let Some(probe) = self.probe {
            if !probe.is_indirect && now.since(probe.sent_at) >= self.ping_timeout(probe.peer) {
                self.send_indirect_pings(probe, rng);
            }
            if now >= self.next_ping_at {
                self.probe = None;
                self.suspect(now, probe.peer);
            }
        }
        if now >= self.next_ping_at {
            self.next_ping_at = now + PING_INTERVAL.mul_f64(0.9 + 0.2 * rng.f64());
            self.ping(now, own, rng);
        }
        if now >= self.next_rejoin_at {
            self.next_rejoin_at = now + REJOIN_INTERVAL.mul_f64(0.75 + 0.5 * rng.f64());
            self.members.retain(|_, member| {
                member.is_present() || now.since(member.since) < DEAD_MEMBER_RETENTION
            });
            self.index = MemberIndex::of(&self.members);
            self.ping_missing_members(own);
        }
    }

    fn send_indirect_pings(&mut self, probe: Probe, rng: &mut fastrand::Rng) {
        let is_indirect = true;
        self.probe = Some(Probe {
            is_indirect,
            ..probe
        });
        let Some(address) = self.address(probe.peer) else {
            return;
        };
        let helpers = self.present().filter(|&(id, _)| id != probe.peer);
        let mut helpers: Vec<Address> = helpers.map(|(_, member)| member.update.address).collect();
        rng.shuffle(&mut helpers);
        for to in helpers.into_iter().take(INDIRECT_PING_HELPERS) {
            self.send(
                to,
                vec![MessagePart::IndirectPing(
                    probe.inquiry_id,
                    probe.peer,
                    address,
                )],
            );
        }
    }

    /// Marks a member as suspected.
    fn suspect(&mut self, now: Timestamp, peer: PeerId) {
        let Some(member) = self.members.get(&peer) else {
            return;
        };
        if member.update.status == MemberStatus::Alive {
            let status = MemberStatus::Suspected;
            let update = MemberUpdate {
                status,
                ..member.update
            };
            self.apply_update(now, update);
            // The suspected member is the first to learn of it.
            self.send(
                update.address,
                vec![MessagePart::MemberUpdates(vec![update])],
            );
        }
    }

    fn ping(&mut self, now: Timestamp, own: MemberSummary, rng: &mut fastrand::Rng) {
        loop {
            let Some(peer) = self.round.pop_front() else {
                let mut all: Vec<PeerId> = self.present().map(|(id, _)| id).collect();
                if all.is_empty() {
                    return;
                }
                rng.shuffle(&mut all);
                self.round = all.into();
                continue;
            };
            let Some(member) = self.members.get(&peer).filter(|member| member.is_present()) else {
                continue;
            };
            let (to, sent_at, is_indirect) = (member.update.address, now, false);
            let inquiry_id = self.new_inquiry_id();
            self.probe = Some(Probe {
                inquiry_id,
                peer,
                sent_at,
                is_indirect,
            });
            return self.send(to, self.with_locality(MessagePart::Ping(inquiry_id, own)));
        }
    }

    /// Pings members that are not present: a dead one, or an address of the operator's file at
    /// which no member is known.
    fn ping_missing_members(&mut self, own: MemberSummary) {
        let present_addresses: Vec<Address> = self
            .present()
            .map(|(_, member)| member.update.address)
            .collect();
        let dead = self
            .members
            .values()
            .filter(|member| member.update.status == MemberStatus::Dead);
        let dead = dead.map(|member| (member.update.address, Some(member.update)));
        let seeds = self.seeds.iter().map(|&seed| (seed, None));
        let mut all: Vec<(Address, Option<MemberUpdate>)> = dead.chain(seeds).collect();
        all.retain(|(address, _)| !present_addresses.contains(address));
        // With no other member present, there are few enough addresses to ping several at once.
        let count = if present_addresses.is_empty() { 4 } else { 1 };
        for _ in 0..count.min(all.len()) {
            self.missing_index = self.missing_index.wrapping_add(1);
            let (to, update) = all[self.missing_index % all.len()];
            let inquiry_id = self.new_inquiry_id();
            let mut parts = self.with_locality(MessagePart::Ping(inquiry_id, own));
            parts.push(MessagePart::MembersRequest);
            parts.extend(update.map(|update| MessagePart::MemberUpdates(vec![update])));
            self.send(to, parts);
        }
    }
}
