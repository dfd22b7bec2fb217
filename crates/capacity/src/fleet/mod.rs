//! A fleet of real cores in virtual time, driven by events and repeatable by its seed.

pub mod budgets;
mod events;
mod load;
pub mod member;
mod network;
pub mod planted;
pub mod purges;
pub mod requests;
pub mod traffic;

use crate::description::{Demand, Description};
use crate::layout::Layout;
use events::{Event, EventQueue};
use load::Load;
use member::{Member, Placement};
use network::Network;
use planted::Planted;
use purges::PurgeLedger;
use requests::RequestLedger;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;
use trailproxy::units::{TimeSpan, Timestamp};
use trailproxy_budgets::decide::HolderId;
use trailproxy_budgets::decide::shares::Action as BudgetAction;
use trailproxy_peers::decide::messages::{Address, MemberUpdate, Message, MessagePart, PeerId};
use trailproxy_peers::decide::{Action, PeerState, Peers};
use trailproxy_peers::wire::Seal;
use trailproxy_shared_store::decide::records::KeyHasher;

/// When virtual time begins.
const START: Timestamp = Timestamp(1_700_000_000_000_000);
const SEEDS_PER_REGION: usize = 1;
/// How often it is looked whether the fleet is settled.
const SETTLED_EVERY: TimeSpan = TimeSpan::from_millis(100);
/// How often it is looked whether members still tell each other who is there, and of how many members one may.
const QUIET_EVERY: TimeSpan = TimeSpan::from_secs(2);
const QUIET_PART: u64 = 20;
const UPDATES_IN_MESSAGE: usize = 24;

/// What does not change while a fleet runs.
#[derive(Clone, Debug)]
pub struct Settings {
    pub demand: Demand,
    pub placement: Placement,
    pub planted: Option<Planted>,
}

/// How long it took until a fleet was as usual again; `None`: longer than it was waited for.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Settling {
    /// All members know just each other.
    pub agreed: Option<TimeSpan>,
    /// They lack nothing either.
    pub settled: Option<TimeSpan>,
}

/// All members, the network between them, and what was counted.
#[derive(Clone)]
pub struct Fleet {
    pub now: Timestamp,
    pub layout: Arc<Layout>,
    pub settings: Settings,
    pub members: Vec<Member>,
    pub requests: RequestLedger,
    pub purges: PurgeLedger,
    pub budget_overruns: u64,
    /// Since when traffic is counted.
    pub counted_from: Timestamp,
    pub events_handled: u64,
    network: Network,
    queue: EventQueue,
    load: Load,
    random: fastrand::Rng,
    seeds: Vec<Address>,
    voters: Vec<String>,
    by_address: Arc<HashMap<Address, usize>>,
    seal: Seal,
    key_hasher: KeyHasher,
    next_request: u64,
    budgets_on: bool,
}

impl Fleet {
    /// So many members of the fleet that is described, all of which start at once.
    pub fn new(description: &Description, members: usize, settings: Settings, seed: u64) -> Fleet {
        let layout = Arc::new(Layout::new(description, members));
        let mut random = fastrand::Rng::with_seed(seed);
        let voters = budgets::voters(members).into_iter().map(member::name);
        let addresses = (0..members).map(|nth| (member::address(nth), nth));
        let mut fleet = Fleet {
            now: START,
            settings,
            members: vec![Member::down(); members],
            requests: RequestLedger::default(),
            purges: PurgeLedger::default(),
            budget_overruns: 0,
            counted_from: START,
            events_handled: 0,
            network: Network::new(random.u64(..)),
            queue: EventQueue::default(),
            load: Load::new(&layout, random.u64(..)),
            seeds: seeds(&layout),
            voters: voters.collect(),
            by_address: Arc::new(addresses.collect()),
            seal: Seal::new("capacity", b""),
            key_hasher: KeyHasher::new("capacity"),
            next_request: 0,
            budgets_on: false,
            random,
            layout,
        };
        (0..members).for_each(|nth| fleet.start(nth));
        fleet
    }

    /// Every member hears of all others at once, so that a fleet is at rest without the traffic of a common start.
    pub fn introduce_all(&mut self) {
        let now = self.now;
        let updates: Vec<MemberUpdate> = self.up().map(|peers| *peers.members().own()).collect();
        for member in 0..self.members.len() {
            let other = (member + 1) % self.members.len();
            let Some(own) = updates.get(other) else {
                continue;
            };
            for piece in updates.chunks(UPDATES_IN_MESSAGE) {
                let message = Message {
                    from: own.id,
                    boot_id: own.boot_id,
                    incarnation: own.incarnation,
                    stamp: now.0,
                    parts: vec![MessagePart::MemberUpdates(piece.to_vec())],
                };
                let address = own.address;
                self.with_peers(member, |peers| peers.on_message(now, address, message));
            }
        }
    }

    /// Runs until hardly any member tells others who is there, or `most` is over.
    pub fn run_until_quiet(&mut self, most: TimeSpan) {
        let begun = self.now;
        while self.now.since(begun) < most {
            let before = self.updates_sent();
            self.run(QUIET_EVERY);
            if self.updates_sent() - before <= self.members.len() as u64 / QUIET_PART {
                return;
            }
        }
    }

    fn updates_sent(&self) -> u64 {
        let sent = |of: &Member| {
            of.traffic
                .sent_of(&MessagePart::MemberUpdates(Vec::new()))
                .messages
        };
        self.members.iter().map(sent).sum()
    }

    /// A member starts as a new process that knows the seeds only.
    pub fn start(&mut self, member: usize) {
        let seed = self.random.u64(..);
        let location = &self.layout.members[member];
        let placement = self.settings.placement;
        let seeds = self.seeds.clone();
        let zones = self.layout.zones();
        let own = member::own(member, self.now, seed, seeds, location, &zones, placement);
        let rules = member::rules(&self.settings.demand);
        self.members[member].peers = Some(Peers::new(self.now, own, rules, seed));
        if self.budgets_on {
            self.start_budgets_of(member);
        }
        self.settle(member);
    }

    /// A member's process is gone at once.
    pub fn kill(&mut self, member: usize) {
        let of = &mut self.members[member];
        (of.peers, of.shares, of.wakes_at) = (None, None, None);
        of.open.clear();
    }

    /// A member ends in order.
    pub fn leave(&mut self, member: usize) {
        let now = self.now;
        self.with_peers(member, |peers| peers.leave(now));
        self.kill(member);
    }

    /// All members begin to divide the budgets.
    pub fn start_budgets(&mut self) {
        self.budgets_on = true;
        for member in 0..self.members.len() {
            self.start_budgets_of(member);
            self.schedule(member);
        }
        self.queue.push(self.now, Event::Budgets);
    }

    fn start_budgets_of(&mut self, member: usize) {
        let seed = self.random.u64(..);
        let seats = self.members.len();
        self.members[member].start_budgets(self.now, &self.voters, seats, seed);
    }

    /// Members that are not of one region lose each other.
    pub fn cut_regions(&mut self) {
        let sides = self.layout.members.iter().map(|of| of.region);
        self.network.cut(sides.collect());
    }

    pub fn heal(&mut self) {
        self.network.heal();
    }

    /// Time goes on by `span`.
    pub fn run(&mut self, span: TimeSpan) {
        let until = self.now + span;
        while let Some((at, event)) = self.queue.pop(until) {
            self.now = at;
            self.handle(event);
        }
        self.now = until;
    }

    /// Runs until all members know each other and lack nothing, or `most` is over.
    pub fn run_until_settled(&mut self, most: TimeSpan) -> Settling {
        let begun = self.now;
        let mut settling = Settling::default();
        while settling.settled.is_none() && self.now.since(begun) < most {
            let since = self.now.since(begun);
            if settling.agreed.is_none() && self.agrees() {
                settling.agreed = Some(since);
            }
            if settling.agreed.is_some() && self.is_settled() {
                settling.settled = Some(since);
            } else {
                self.run(SETTLED_EVERY);
            }
        }
        settling
    }

    fn up(&self) -> impl Iterator<Item = &Peers> {
        self.members.iter().filter_map(|of| of.peers.as_ref())
    }

    /// Whether all that are up lack nothing and know just each other.
    pub fn is_settled(&self) -> bool {
        self.up().all(|peers| peers.state() == PeerState::InSync) && self.agrees()
    }

    /// Whether all that are up know just each other.
    pub fn agrees(&self) -> bool {
        let count = self.up().count();
        let Some(first) = self.up().next() else {
            return true;
        };
        let roster = first.members().membership_checksum();
        self.up().all(|peers| {
            let members = peers.members();
            members.present().count() + 1 == count && members.membership_checksum() == roster
        })
    }

    /// What is counted begins anew.
    pub fn reset_counts(&mut self) {
        self.counted_from = self.now;
        self.events_handled = 0;
        self.budget_overruns = 0;
        self.requests.reset();
        self.purges.reset();
        for of in &mut self.members {
            of.traffic = traffic::MemberTraffic::default();
            of.core_time = std::time::Duration::ZERO;
        }
    }

    fn handle(&mut self, event: Event) {
        self.events_handled += 1;
        match event {
            Event::Deliver {
                from,
                to,
                bytes,
                message,
            } => self.deliver(from, to, bytes, message),
            Event::Wake(member) => self.wake(member),
            Event::NextRequest => self.next_request(),
            Event::Repeat {
                key,
                member,
                proximity,
            } => self.repeat(key, member, proximity),
            Event::Finish { member, request } => self.finish(member, request),
            Event::NextPurge => self.next_purge(),
            Event::PurgeAgain { member, object } => self.tell_purge(member, object),
            Event::Budgets => self.look_at_budgets(),
        }
    }

    fn deliver(&mut self, from: usize, to: usize, bytes: u64, message: Message) {
        if !self.members[to].is_up() {
            return;
        }
        let now = self.now;
        self.members[to].traffic.received(now, bytes);
        let address = member::address(from);
        self.with_peers(to, |peers| peers.on_message(now, address, message));
    }

    fn wake(&mut self, member: usize) {
        let of = &mut self.members[member];
        if of.wakes_at != Some(self.now) {
            return;
        }
        of.wakes_at = None;
        let now = self.now;
        let begun = Instant::now();
        if let Some(peers) = of
            .peers
            .as_mut()
            .filter(|peers| peers.next_deadline() <= now)
        {
            peers.advance(now);
        }
        let due = |at: Option<Timestamp>| at.is_some_and(|at| at <= now);
        if let Some(shares) = of
            .shares
            .as_mut()
            .filter(|shares| due(shares.next_deadline()))
        {
            shares.advance(now);
        }
        of.core_time += begun.elapsed();
        of.traffic.events += 1;
        self.settle(member);
    }

    /// Lets a member's core take an event, and does what it wants.
    fn with_peers(&mut self, member: usize, what: impl FnOnce(&mut Peers)) {
        let of = &mut self.members[member];
        let Some(peers) = &mut of.peers else { return };
        let begun = Instant::now();
        what(peers);
        of.core_time += begun.elapsed();
        of.traffic.events += 1;
        self.settle(member);
    }

    /// Does all that a member's cores want done, and queues its next timer.
    fn settle(&mut self, member: usize) {
        loop {
            self.send_of_budgets(member);
            let Some(peers) = &mut self.members[member].peers else {
                return;
            };
            let actions = peers.take_actions();
            if actions.is_empty() {
                break;
            }
            for action in actions {
                self.act(member, action);
            }
        }
        self.schedule(member);
    }

    fn act(&mut self, member: usize, action: Action) {
        match action {
            Action::Send(to, message) => self.send(member, to, message),
            Action::Decided { id, verdict } => self.decided(member, id, verdict),
            Action::Purged { object, .. } => {
                if let Some(object) = object {
                    self.purges.reached(self.now, object);
                }
            }
            Action::SubsystemMessage(from, of, bytes) => self.beside(member, from, of, &bytes),
            Action::HostRestricted { .. }
            | Action::HostRestrictionLifted { .. }
            | Action::PeerBreakerOpened { .. }
            | Action::StateChanged(_)
            | Action::MemberStatusChanged(..) => {}
        }
    }

    fn send(&mut self, from: usize, to: Address, message: Message) {
        let everybody = self.settings.planted == Some(Planted::SpreadToAll) && from == 0;
        if everybody && planted::spreads(&message) {
            for to in (0..self.members.len()).filter(|&to| to != from) {
                self.post(from, to, message.clone());
            }
            return;
        }
        if let Some(&to) = self.by_address.get(&to) {
            self.post(from, to, message);
        }
    }

    fn post(&mut self, from: usize, to: usize, message: Message) {
        let Some(bytes) = traffic::datagram_bytes(&self.seal, &message) else {
            return;
        };
        let sent = &mut self.members[from].traffic;
        sent.sent(self.now, &message, bytes);
        if let Some(travel) = self.network.travel(&self.layout, from, to) {
            let event = Event::Deliver {
                from,
                to,
                bytes,
                message,
            };
            self.queue.push(self.now + travel, event);
        }
    }

    /// A message of the budgets that came beside others.
    fn beside(&mut self, member: usize, from: PeerId, of: u8, bytes: &[u8]) {
        if of != trailproxy_budgets::SUBSYSTEM_ID {
            return;
        }
        let now = self.now;
        let note = trailproxy_budgets::read(bytes);
        let shares = &mut self.members[member].shares;
        if let (Some(shares), Some(note)) = (shares, note) {
            shares.on_message(now, HolderId(from.0), note);
        }
    }

    /// Hands what the budgets want sent to the other core, which carries it.
    fn send_of_budgets(&mut self, member: usize) {
        let now = self.now;
        let of = &mut self.members[member];
        let (Some(peers), Some(shares)) = (&mut of.peers, &mut of.shares) else {
            return;
        };
        for act in shares.take_actions() {
            if let BudgetAction::Send(to, note) = act {
                let bytes = trailproxy_budgets::write(&note);
                peers.send_to_subsystem(now, PeerId(to.0), trailproxy_budgets::SUBSYSTEM_ID, bytes);
            }
        }
    }

    fn look_at_budgets(&mut self) {
        let now = self.now;
        for member in 0..self.members.len() {
            if let Some(shares) = &mut self.members[member].shares {
                budgets::tell_needs(shares, now, &self.layout, member);
            }
            self.schedule(member);
        }
        let all = self.members.iter().filter_map(|of| of.shares.as_ref());
        self.budget_overruns += budgets::overruns(now, all);
        self.queue.push(now + budgets::EVERY, Event::Budgets);
    }

    /// Queues a member's timer, unless one that is as early is queued.
    fn schedule(&mut self, member: usize) {
        let of = &mut self.members[member];
        let Some(next) = of.next() else { return };
        // A core that is due at once is woken after what happens now.
        let at = next.max(self.now + TimeSpan(1));
        if of
            .wakes_at
            .is_none_or(|queued| at < queued || queued < self.now)
        {
            of.wakes_at = Some(at);
            self.queue.push(at, Event::Wake(member));
        }
    }
}

/// Addresses that all members know from the start: some of each region.
fn seeds(layout: &Layout) -> Vec<Address> {
    let of_region = |region: usize| {
        let members = layout.members.iter().enumerate();
        let members = members.filter(move |(_, of)| of.region == region);
        members
            .map(|(nth, _)| member::address(nth))
            .take(SEEDS_PER_REGION)
    };
    (0..layout.regions).flat_map(of_region).collect()
}
