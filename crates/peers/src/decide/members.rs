//! Who is in the fleet, as one member sees it.
//!
//! Each second or so one other is pinged, in an order drawn anew each round. One that does not answer is pinged by a few
//! others, and where none of them reaches it, it is suspected: told to all, itself included, which is how one that is
//! well says so, under a higher incarnation. One that stays silent is dead, and then nothing waits for it. Dead ones are knocked
//! at now and then, and so are the operator's addresses: after a cut both sides find each other again without anybody's
//! doing.

use super::facts::mix;
use super::locality::{Distance, Locality, Topology};
use super::messages::{
    Address, BootId, InquiryId, MemberStatus, MemberSummary, MemberUpdate, MessagePart, PeerId,
};
use super::replicas::Located;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use trailproxy::units::{TimeSpan, Timestamp};

/// How often one other is pinged. Shorter costs messages, longer finds a dead one later.
pub const PING_INTERVAL: TimeSpan = TimeSpan::from_millis(400);
/// A ping that is not answered by then goes by others; one to another region has further to go.
const PING_TIMEOUT: TimeSpan = TimeSpan::from_millis(120);
const PING_TIMEOUT_OTHER_REGION: TimeSpan = TimeSpan::from_millis(240);
/// A member that has not said where it is for so long is of a form that does not say.
const LOCALITY_WAIT: TimeSpan = TimeSpan::from_secs(5);
/// Others that are asked to ping one that does not answer.
const INDIRECT_PING_HELPERS: usize = 3;
/// A suspected one has this long to say that it is well, and longer in a large fleet, by the doublings of its number.
const SUSPICION_TIMEOUT: TimeSpan = TimeSpan::from_millis(900);
const SUSPICION_TIMEOUT_PER_DOUBLING: TimeSpan = TimeSpan::from_millis(100);
/// A dead one is remembered for this long, and knocked at.
const DEAD_MEMBER_RETENTION: TimeSpan = TimeSpan::from_secs(3_600);
/// How often one that is not there is knocked at.
const REJOIN_INTERVAL: TimeSpan = TimeSpan::from_millis(500);
/// Updates in one message.
const MAX_UPDATES_PER_MESSAGE: usize = 10;
/// Updates in one message of the whole fleet, and how often it is asked for where two know different ones.
const MAX_MEMBERS_PER_MESSAGE: usize = 24;
const MEMBER_LIST_REQUEST_INTERVAL: TimeSpan = TimeSpan::from_millis(500);
/// Those lost lately are told with it.
const LOST_MEMBER_REPORT_PERIOD: TimeSpan = TimeSpan::from_secs(30);
/// A bound on the fleet; more are not taken in.
pub const MAX_MEMBERS: usize = 1_024;
/// In the first while of its life, a process takes the name from one that had it before.
const NAME_TAKEOVER_PERIOD: TimeSpan = TimeSpan::from_secs(3);

#[derive(Clone, Debug)]
pub struct Member {
    pub update: MemberUpdate,
    /// Since when it stands so.
    pub since: Timestamp,
    pub state: MemberSummary,
    /// It answers others, and not this one.
    pub one_way: bool,
    /// Where it is, as it says itself.
    locality: Option<Locality>,
    /// When it became known.
    known_since: Timestamp,
    /// Times that its update is still to be passed on.
    gossip_rounds_left: u32,
}

impl Member {
    /// Whether it counts as one of the fleet.
    pub fn is_present(&self) -> bool {
        self.update.status <= MemberStatus::Suspected
    }

    /// Whether it is alive and answers this one.
    pub fn is_reached(&self) -> bool {
        self.update.status == MemberStatus::Alive && !self.one_way
    }
}

#[derive(Clone, Copy, Debug)]
struct Probe {
    inquiry_id: InquiryId,
    whom: PeerId,
    sent_at: Timestamp,
    is_indirect: bool,
}

/// What would else be looked for among all members with each event.
#[derive(Clone, Debug, Default)]
struct MemberIndex {
    suspected: BTreeSet<PeerId>,
    /// Members whose update is still to be passed on.
    gossip_rounds_left: BTreeSet<PeerId>,
    /// A sum over whoever is there, as [`Members::roster`] has it.
    there: u64,
}

/// One part of the sum of who is there, and in which life.
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
            self.gossip_rounds_left.insert(id);
        }
        if member.is_present() {
            self.there = self.there.wrapping_add(member_checksum(&member.update));
        }
    }

    fn remove(&mut self, member: &Member) {
        self.suspected.remove(&member.update.id);
        self.gossip_rounds_left.remove(&member.update.id);
        if member.is_present() {
            self.there = self.there.wrapping_sub(member_checksum(&member.update));
        }
    }
}

/// What the members' side wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberAction {
    Send(Address, Vec<MessagePart>),
    StatusChanged(PeerId, MemberStatus),
    /// A member said where it is.
    LocalityLearned,
    /// A member is reached by others only, or by this one again.
    ReachabilityChanged,
    /// Another process has the same name, and came later: this one keeps quiet.
    Superseded,
}

/// Who this is, and how it finds others.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnMember {
    pub id: PeerId,
    pub address: Address,
    pub boot_id: BootId,
    pub seeds: Vec<Address>,
    /// Where it is among the fleet's zones; `None`: nothing depends on distances.
    pub topology: Option<Topology>,
}

#[derive(Clone, Debug)]
pub struct Members {
    own: MemberUpdate,
    locality: Option<Locality>,
    started_at: Timestamp,
    seeds: Vec<Address>,
    members: BTreeMap<PeerId, Member>,
    /// Who is pinged next in this round.
    round: VecDeque<PeerId>,
    probe: Option<Probe>,
    /// Pings on behalf of others: their number here, whom to tell, their number there.
    relayed_pings: BTreeMap<InquiryId, (Address, InquiryId, PeerId, Timestamp)>,
    next_ping_at: Timestamp,
    next_rejoin_at: Timestamp,
    missing_index: usize,
    next_inquiry_id: u64,
    /// Not before this is another asked for all that it knows.
    next_member_list_request_at: Timestamp,
    pub superseded: bool,
    /// It may be on the smaller side of a cut: what it thinks of the others is told to nobody.
    in_minority_partition: bool,
    own_gossip_rounds_left: u32,
    /// The updates of the message that is being read, to which localities may follow.
    last_updates: Vec<(PeerId, BootId)>,
    index: MemberIndex,
    actions: Vec<MemberAction>,
}

impl Members {
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

    pub fn own(&self) -> &MemberUpdate {
        &self.own
    }

    pub fn get(&self, id: PeerId) -> Option<&Member> {
        self.members.get(&id)
    }

    pub fn all(&self) -> impl Iterator<Item = (&PeerId, &Member)> {
        self.members.iter()
    }

    /// Whoever is there, without this one.
    pub fn present(&self) -> impl Iterator<Item = (PeerId, &Member)> {
        let all = self.members.iter().map(|(&id, member)| (id, member));
        all.filter(|(_, member)| member.is_present())
    }

    pub fn is_reached(&self, id: PeerId) -> bool {
        let member = self.members.get(&id);
        member.is_some_and(Member::is_reached)
    }

    pub fn address(&self, id: PeerId) -> Option<Address> {
        Some(self.members.get(&id)?.update.address)
    }

    /// Where a member is, as far as it is known.
    pub fn locality(&self, id: PeerId) -> Option<Locality> {
        self.members.get(&id)?.locality
    }

    /// Whoever is there, with where it is. One that was met just now and has not said so yet is left out; it is known from
    /// when on that is to be looked at again.
    pub fn located(&self, now: Timestamp) -> (Vec<Located>, Option<Timestamp>) {
        let mut located = vec![(self.own.id, self.locality)];
        let mut again: Option<Timestamp> = None;
        for (id, member) in self.present() {
            let until = member.known_since + LOCALITY_WAIT;
            if self.locality.is_some() && member.locality.is_none() && now < until {
                again = Some(again.map_or(until, |again| again.min(until)));
            } else {
                located.push((id, member.locality));
            }
        }
        (located, again)
    }

    /// Whether a member is of the own zone; all are where nothing is known of zones.
    pub fn is_in_zone(&self, member: &Member) -> bool {
        let places = self.locality.zip(member.locality);
        places.is_none_or(|(own, other)| own.zone == other.zone)
    }

    /// How long an answer to a ping is waited for.
    fn ping_timeout(&self, whom: PeerId) -> TimeSpan {
        let far = |(own, other): (Locality, Locality)| own.distance(other) == Distance::OtherRegion;
        match self.locality.zip(self.locality(whom)).is_some_and(far) {
            true => PING_TIMEOUT_OTHER_REGION,
            false => PING_TIMEOUT,
        }
    }

    /// A sign of life, with where this one is.
    fn with_locality(&self, part: MessagePart) -> Vec<MessagePart> {
        let located = self.locality.map(MessagePart::SenderLocality);
        [part].into_iter().chain(located).collect()
    }

    /// Updates, with where the members are.
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

    /// Somebody says where a member is.
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

    /// It was away: what it waited for says nothing of the others, and they may have given it up.
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

    /// Whether it may be on the smaller side of a cut. Afterwards it forgets whom it gave up meanwhile, or it would have all
    /// believe for a moment that they lost each other; whoever is there it hears of from those that it reaches.
    pub fn set_in_minority_partition(&mut self, is: bool) {
        let returns = std::mem::replace(&mut self.in_minority_partition, is) && !is;
        let reached = |member: &Member| member.update.status == MemberStatus::Alive;
        if returns && self.members.values().any(reached) {
            let doubted = |update: &MemberUpdate| {
                matches!(update.status, MemberStatus::Suspected | MemberStatus::Dead)
            };
            self.members.retain(|_, member| !doubted(&member.update));
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

    /// A message came from there: it is alive, in this life at least.
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
            // It does not know that it was given up: it says so itself under its next incarnation.
            let told = member.update;
            self.send(address, vec![MessagePart::MemberUpdates(vec![told])]);
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

    /// Somebody says something of a member.
    pub fn apply_update(&mut self, now: Timestamp, update: MemberUpdate) {
        if update.id == self.own.id {
            return self.on_own_update(now, update);
        }
        let tells = self.gossip_rounds();
        let full = self.members.len() >= MAX_MEMBERS;
        match self.members.get_mut(&update.id) {
            Some(known) if update.rank() <= known.update.rank() => {}
            Some(known) => {
                self.index.remove(known);
                let before = (known.update.status, known.update.boot_id);
                known.update = update;
                known.gossip_rounds_left = tells;
                if before != (update.status, update.boot_id) {
                    known.since = now;
                    if before.1 != update.boot_id {
                        known.state = MemberSummary::default();
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
                    state: MemberSummary::default(),
                    one_way: false,
                    locality: None,
                    known_since: now,
                    gossip_rounds_left: tells,
                };
                self.index.add(&member);
                self.members.insert(update.id, member);
                // Somewhere in the present round, so that hundreds of newcomers are not pinged last.
                let place = self.next_inquiry_id as usize % (self.round.len() + 1);
                self.round.insert(place, update.id);
                self.actions
                    .push(MemberAction::StatusChanged(update.id, update.status));
            }
        }
    }

    fn on_own_update(&mut self, now: Timestamp, update: MemberUpdate) {
        if update.boot_id > self.own.boot_id {
            // A former life with a clock that went ahead, or one elsewhere that this one takes the name from.
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

    /// Updates that are to be passed on: what was told least comes first.
    pub fn gossip(&mut self) -> Vec<MessagePart> {
        let mut updates = Vec::new();
        if self.own_gossip_rounds_left > 0 {
            self.own_gossip_rounds_left -= 1;
            updates.push(self.own);
        }
        let gossip_rounds_left = self.index.gossip_rounds_left.iter();
        let gossip_rounds_left = gossip_rounds_left.filter_map(|id| self.members.get(id));
        let mut fresh: Vec<(u32, PeerId)> = gossip_rounds_left
            .filter(|member| self.may_gossip(member))
            .map(|member| (u32::MAX - member.gossip_rounds_left, member.update.id))
            .collect();
        fresh.sort_unstable();
        for (_, id) in fresh.into_iter().take(MAX_UPDATES_PER_MESSAGE) {
            if let Some(member) = self.members.get_mut(&id) {
                member.gossip_rounds_left -= 1;
                if member.gossip_rounds_left == 0 {
                    self.index.gossip_rounds_left.remove(&id);
                }
                updates.push(member.update);
            }
        }
        if updates.is_empty() {
            return Vec::new();
        }
        self.updates_with_localities(updates)
    }

    /// A note about who is there; `false`: it is none of these.
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
                    .is_some_and(|probe| probe.inquiry_id == *inquiry_id && probe.whom == from)
                {
                    self.probe = None;
                }
                if let Some((asker, theirs, whom, _)) = self.relayed_pings.remove(inquiry_id) {
                    self.send(asker, vec![MessagePart::IndirectAck(theirs, whom)]);
                }
            }
            MessagePart::IndirectPing(theirs, whom, at) => {
                if self.relayed_pings.len() < MAX_MEMBERS {
                    let inquiry_id = self.new_inquiry_id();
                    self.relayed_pings
                        .insert(inquiry_id, (address, *theirs, *whom, now + PING_INTERVAL));
                    self.send(*at, self.with_locality(MessagePart::Ping(inquiry_id, own)));
                }
            }
            MessagePart::IndirectAck(inquiry_id, whom) => {
                if self
                    .probe
                    .is_some_and(|probe| probe.inquiry_id == *inquiry_id && probe.whom == *whom)
                {
                    self.probe = None;
                    if let Some(member) = self.members.get_mut(whom) {
                        member.one_way = true;
                        self.actions.push(MemberAction::ReachabilityChanged);
                    }
                }
            }
            MessagePart::MembersRequest => {
                let told = |member: &&Member| {
                    self.may_gossip(member)
                        && (member.is_present()
                            || now.since(member.since) < LOST_MEMBER_REPORT_PERIOD)
                };
                let updates = self
                    .members
                    .values()
                    .filter(told)
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
                let told = last_updates.into_iter().zip(localities).filter(|_| same);
                for ((id, boot_id), locality) in told {
                    if let Some(locality) = *locality {
                        self.learn_locality(id, Some(boot_id), locality);
                    }
                }
            }
            _ => return false,
        }
        true
    }

    /// A sum of who is there, and in which life.
    pub fn membership_checksum(&self) -> u64 {
        self.index.there.wrapping_add(member_checksum(&self.own))
    }

    fn on_summary(&mut self, now: Timestamp, from: PeerId, address: Address, state: MemberSummary) {
        if let Some(member) = self.members.get_mut(&from) {
            member.state = state;
        }
        // What goes round by itself would do, and takes long where hundreds come or return at once.
        if now >= self.next_member_list_request_at
            && state.membership_checksum != self.membership_checksum()
        {
            self.next_member_list_request_at = now + MEMBER_LIST_REQUEST_INTERVAL;
            self.send(address, vec![MessagePart::MembersRequest]);
        }
    }

    /// It comes back after it left, as another life.
    pub fn join(&mut self) {
        self.own.status = MemberStatus::Alive;
        (self.own.boot_id, self.own.incarnation) = (BootId(self.own.boot_id.0 + 1), 0);
    }

    /// It leaves in order: all are told at once.
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

    pub fn next_deadline(&self) -> Timestamp {
        let probe = self
            .probe
            .filter(|probe| !probe.is_indirect)
            .map(|probe| probe.sent_at + self.ping_timeout(probe.whom));
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

    /// What is due by now.
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
            if !probe.is_indirect && now.since(probe.sent_at) >= self.ping_timeout(probe.whom) {
                self.send_indirect_pings(probe, rng);
            }
            if now >= self.next_ping_at {
                self.probe = None;
                self.suspect(now, probe.whom);
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
        let Some(address) = self.address(probe.whom) else {
            return;
        };
        let helpers = self.present().filter(|&(id, _)| id != probe.whom);
        let mut helpers: Vec<Address> = helpers.map(|(_, member)| member.update.address).collect();
        rng.shuffle(&mut helpers);
        for to in helpers.into_iter().take(INDIRECT_PING_HELPERS) {
            self.send(
                to,
                vec![MessagePart::IndirectPing(
                    probe.inquiry_id,
                    probe.whom,
                    address,
                )],
            );
        }
    }

    fn suspect(&mut self, now: Timestamp, whom: PeerId) {
        let Some(member) = self.members.get(&whom) else {
            return;
        };
        if member.update.status == MemberStatus::Alive {
            let status = MemberStatus::Suspected;
            let update = MemberUpdate {
                status,
                ..member.update
            };
            self.apply_update(now, update);
            // The one that is doubted hears of it first.
            self.send(
                update.address,
                vec![MessagePart::MemberUpdates(vec![update])],
            );
        }
    }

    fn ping(&mut self, now: Timestamp, own: MemberSummary, rng: &mut fastrand::Rng) {
        loop {
            let Some(whom) = self.round.pop_front() else {
                let mut all: Vec<PeerId> = self.present().map(|(id, _)| id).collect();
                if all.is_empty() {
                    return;
                }
                rng.shuffle(&mut all);
                self.round = all.into();
                continue;
            };
            let Some(member) = self.members.get(&whom).filter(|member| member.is_present()) else {
                continue;
            };
            let (to, sent_at, is_indirect) = (member.update.address, now, false);
            let inquiry_id = self.new_inquiry_id();
            self.probe = Some(Probe {
                inquiry_id,
                whom,
                sent_at,
                is_indirect,
            });
            return self.send(to, self.with_locality(MessagePart::Ping(inquiry_id, own)));
        }
    }

    /// One of those that are not there: a dead one, or an address of the operator's nobody is known at.
    fn ping_missing_members(&mut self, own: MemberSummary) {
        let there: Vec<Address> = self
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
        all.retain(|(address, _)| !there.contains(address));
        // Alone, all of them at once are few enough.
        let few = if there.is_empty() { 4 } else { 1 };
        for _ in 0..few.min(all.len()) {
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
