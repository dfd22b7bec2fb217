//! Subsystems of the decisions: traffic between zones, and state shared with other dispatchers through the store, the
//! peers or the budgets. Each subsystem exists only while it is switched on.

use crate::budgets_runtime::BudgetsRuntime;
use crate::held_requests::{HeldRequests, SubsystemEvent};
use crate::messages::{FromPeers, FromStore, ToStore};
use crate::peers_runtime::PeersRuntime;
use crate::peers_socket::Received;
use local_channel::mpsc;
use slog::{Logger, info};
use trailproxy::interface::*;
use trailproxy::units::*;
use trailproxy_budgets::SUBSYSTEM_ID;
use trailproxy_budgets::config::BudgetsConfig;
use trailproxy_peers::decide::messages::{BootId, MessagePart, PeerId};
use trailproxy_shared_store::config::StoreConfig;
use trailproxy_shared_store::decide::ops::MailboxId;
use trailproxy_shared_store::decide::records::{Completion, KeyHasher, MAX_BODY_BYTES};
use trailproxy_shared_store::decide::{Action, SharedState};
use trailproxy_shared_store::scripts::{ScriptContext, script_request};
use trailproxy_zones::Zones;

/// All subsystems that are switched on.
#[derive(Default)]
pub struct Subsystems {
    /// Traffic between zones.
    pub zones: Option<Zones>,
    /// State shared through the store.
    pub store: Option<StoreClient>,
    /// State held together with other dispatchers.
    pub peers: Option<PeersRuntime>,
    /// Budgets divided among dispatchers.
    pub budgets: Option<BudgetsRuntime>,
    /// The number of dispatchers among which the load of cold caches, and that of cold parents, is divided; `Some`
    /// until the decisions have taken the change.
    slow_start_shares: Option<(Option<f64>, Option<f64>)>,
}

impl Subsystems {
    /// Handles a request with an idempotency key. `false`: no subsystem keeps records, so that the request need not
    /// wait. If both the store and the peers keep records, the store is asked, so that there is one source of truth.
    pub fn on_request(&mut self, now: Timestamp, arrival: Arrival, key: &str) -> bool {
        match (&mut self.store, &mut self.peers) {
            (Some(store), _) if store.config.records => store.on_request(now, arrival, key),
            (_, Some(peers)) if peers.section.config.records => peers.on_request(now, arrival, key),
            _ => return false,
        }
        true
    }

    /// Whether any subsystem needs to know how requests with keys end.
    pub fn shares_outcomes(&self) -> bool {
        self.store.is_some() || self.peers.is_some()
    }

    /// Handles an attempt that is sent.
    pub fn on_attempt_sent(&mut self, now: Timestamp, id: RequestId, host: HostId) {
        self.store
            .iter_mut()
            .for_each(|store| store.on_attempt_sent(now, id, host));
        self.peers
            .iter_mut()
            .for_each(|peers| peers.on_attempt_sent(now, id, host));
    }

    /// Handles a request with a key that has its final answer or whose client has gone. The decisions may not know the
    /// request.
    pub fn on_request_ended(&mut self, now: Timestamp, id: RequestId, completion: &Completion) {
        self.store
            .iter_mut()
            .for_each(|store| store.on_request_ended(now, id, completion.clone()));
        self.peers
            .iter_mut()
            .for_each(|peers| peers.on_request_ended(now, id, completion.clone()));
    }

    /// When a subsystem next has something to do.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        let store = self.store.as_ref().and_then(StoreClient::next_deadline);
        store
            .into_iter()
            .chain(self.peers.as_ref().map(PeersRuntime::next_deadline))
            .chain(
                self.budgets
                    .as_ref()
                    .and_then(|budgets| budgets.follower.next_deadline()),
            )
            .min()
    }

    /// Lets time pass in all subsystems.
    pub fn advance(&mut self, now: Timestamp) {
        self.store.iter_mut().for_each(|store| store.advance(now));
        self.peers.iter_mut().for_each(|peers| peers.advance(now));
        self.advance_budgets(now);
    }

    /// If the peers have something due by `now`, reads the next datagram of another dispatcher that has arrived.
    pub fn read_before_deadline(&self, now: Timestamp) -> Received {
        let peers = self.peers.as_ref();
        peers.map_or(Received::Nothing, |peers| peers.read_before_deadline(now))
    }

    /// Handles a message of another dispatcher, or a query from the command line.
    pub fn on_message(&mut self, now: Timestamp, received: FromPeers) {
        let Some(peers) = &mut self.peers else {
            return;
        };
        match received.message.parts[..] {
            [MessagePart::SubsystemStatusRequest(inquiry, SUBSYSTEM_ID)] => {
                let status = self
                    .budgets
                    .as_ref()
                    .map(|budgets| budgets.follower.show(now));
                let text = status.unwrap_or("budgets are off".into());
                peers.answer(now, received.from, inquiry, text);
            }
            _ => peers.on_message(now, received.from, received.message),
        }
    }

    /// Passes messages of other dispatchers to the budgets, lets time pass there, and sends the resulting messages,
    /// through the peers or otherwise through the store.
    fn advance_budgets(&mut self, now: Timestamp) {
        let from_peers = self
            .peers
            .as_mut()
            .map(PeersRuntime::take_subsystem_messages)
            .unwrap_or_default();
        let from_store = self
            .store
            .as_mut()
            .map(|store| std::mem::take(&mut store.received));
        let Some(budgets) = &mut self.budgets else {
            return;
        };
        for (from, _, bytes) in from_peers
            .iter()
            .filter(|message| message.1 == SUBSYSTEM_ID)
        {
            budgets.on_message(now, *from, bytes);
        }
        for (from, bytes) in from_store.into_iter().flatten() {
            if let Some((&SUBSYSTEM_ID, bytes)) = bytes.split_first() {
                budgets.on_message(now, PeerId(from.0), bytes);
            }
        }
        budgets.advance(now, &mut self.zones);
        self.slow_start_shares = budgets
            .follower
            .take_slow_start_shares()
            .or(self.slow_start_shares);
        self.send_budget_messages(now);
    }

    /// Sends the pending messages of the budgets.
    fn send_budget_messages(&mut self, now: Timestamp) {
        let Some(budgets) = &mut self.budgets else {
            return;
        };
        let (sender, messages) = (budgets.identity().0, budgets.take_messages());
        for (to, bytes) in messages {
            match (&mut self.peers, &mut self.store) {
                (Some(peers), _) => peers.send_subsystem_message(now, to, SUBSYSTEM_ID, bytes),
                (None, Some(store)) => store.post(now, sender, to, SUBSYSTEM_ID, &bytes),
                (None, None) => {}
            }
        }
    }

    /// The identity of this dispatcher among the others, if it can reach them. Through the store, the identity is kept
    /// for as long as this process runs.
    fn identity(&self, name: &str, new_boot_id: BootId) -> Option<(PeerId, BootId)> {
        if let Some(peers) = &self.peers {
            return Some(peers.identity());
        }
        let through_store = self.store.as_ref().is_some_and(|store| store.config.words);
        let id = PeerId::of_name(name);
        let known = self
            .budgets
            .as_ref()
            .map(BudgetsRuntime::identity)
            .filter(|identity| identity.0 == id);
        through_store.then(|| known.unwrap_or((id, new_boot_id)))
    }

    /// Applies the section about budgets. If the section and the identity are unchanged, the present state is kept.
    pub fn apply_budgets_section(
        &mut self,
        now: Timestamp,
        config: Option<&BudgetsConfig>,
        (name, new_boot_id): (&str, BootId),
        (settings, seed): (&DispatcherSettings, u64),
        log: &Logger,
    ) {
        let identity = self.identity(name, new_boot_id);
        let Some((config, identity)) = config.zip(identity) else {
            if self.budgets.take().is_some() {
                info!(log, "budgets are off");
                self.slow_start_shares = Some((None, None));
            }
            if let Some(zones) = &mut self.zones {
                let names: Vec<String> = zones
                    .divisible_limits()
                    .map(|limit| limit.name.clone())
                    .collect();
                names
                    .iter()
                    .for_each(|name| zones.set_part(now, name, None));
            }
            return;
        };
        if !self
            .budgets
            .as_ref()
            .is_some_and(|budgets| budgets.is_for(config, identity))
        {
            let runtime =
                BudgetsRuntime::new(now, config.clone(), identity, settings, seed, log.clone());
            self.budgets = Some(runtime);
        }
        if let Some(budgets) = &mut self.budgets {
            budgets.follower.update_budgets(now, self.zones.as_ref());
            budgets.follower.resend_slow_start_shares();
        }
        if let Some(store) = self.store.as_mut().filter(|_| self.peers.is_none()) {
            store.state.open_mailbox(MailboxId(identity.0.0));
        }
        self.advance_budgets(now);
    }

    /// Leaves the fleet in order when the process ends: leases are given back.
    pub fn leave(&mut self, now: Timestamp) {
        self.budgets
            .iter_mut()
            .for_each(|budgets| budgets.follower.leave(now));
        self.send_budget_messages(now);
        self.peers.iter_mut().for_each(|peers| peers.leave(now));
    }

    /// Takes the number of dispatchers among which the load of cold caches, and that of cold parents, is divided, if it
    /// has changed.
    pub fn take_slow_start_shares(&mut self) -> Option<(Option<f64>, Option<f64>)> {
        self.slow_start_shares.take()
    }

    /// Takes the next event of a subsystem.
    pub fn take_event(&mut self) -> Option<SubsystemEvent> {
        let store = self.store.as_mut().and_then(StoreClient::take_event);
        store.or_else(|| self.peers.as_mut().and_then(PeersRuntime::take_event))
    }
}

/// State shared with other dispatchers through the store, with the requests that are held for it.
pub struct StoreClient {
    /// The section of the operator's file that applies now.
    pub config: StoreConfig,
    key_hasher: KeyHasher,
    state: SharedState,
    /// Messages to the connection to the store.
    orders: mpsc::Sender<ToStore>,
    /// The run id of the server process at the other end of the connection.
    run_id: String,
    /// The requests that wait for the store.
    held: HeldRequests,
    /// Messages of other dispatchers for other subsystems, with their senders.
    received: Vec<(MailboxId, Vec<u8>)>,
    log: Logger,
}

impl StoreClient {
    /// Creates the client with its state. `targets` is the longest time that requests wait for the store, by class.
    pub fn new(
        config: StoreConfig,
        state: SharedState,
        orders: mpsc::Sender<ToStore>,
        targets: Vec<TimeSpan>,
        log: Logger,
    ) -> StoreClient {
        StoreClient {
            key_hasher: KeyHasher::new(&config.prefix),
            config,
            state,
            orders,
            run_id: String::new(),
            held: HeldRequests::new(targets),
            received: Vec::new(),
            log,
        }
    }

    /// Sends a message of another subsystem to another dispatcher; the number of the subsystem is its first byte.
    fn post(&mut self, now: Timestamp, sender: PeerId, to: PeerId, subsystem: u8, bytes: &[u8]) {
        let bytes = [&[subsystem], bytes].concat();
        self.state
            .post_message(now, MailboxId(sender.0), MailboxId(to.0), bytes);
        self.apply_actions();
    }

    /// Handles a request with a key: it is held until the store has answered, or until its target.
    pub fn on_request(&mut self, now: Timestamp, arrival: Arrival, key: &str) {
        let held_until = self.held.hold(now, arrival);
        let key = self.key_hasher.key(arrival.class, key);
        self.state.on_request(now, arrival.id, key, held_until);
        self.apply_actions();
    }

    /// Handles an attempt that is sent.
    pub fn on_attempt_sent(&mut self, now: Timestamp, id: RequestId, host: HostId) {
        if let Some(location) = self.held.location_of(host) {
            self.state.on_attempt_sent(now, id, location);
            self.apply_actions();
        }
    }

    /// Handles a request that has its final answer or whose client has gone. The decisions may not know the request.
    pub fn on_request_ended(&mut self, now: Timestamp, id: RequestId, completion: Completion) {
        self.held.forget(id);
        self.state.on_request_ended(now, id, completion);
        self.apply_actions();
    }

    /// Ends the state and returns the requests that waited, which may continue.
    pub fn into_arrivals(self) -> impl Iterator<Item = Arrival> {
        self.held.into_arrivals()
    }

    /// Handles an event of the connection to the store.
    pub fn on_store_message(&mut self, now: Timestamp, message: FromStore) {
        match message {
            FromStore::Connected { run_id } => {
                self.run_id = run_id;
                self.state.on_connected(now);
            }
            FromStore::Disconnected => self.state.on_disconnected(now),
            FromStore::Answered(id, reply) => self.state.on_reply(now, id, reply),
        }
        self.apply_actions();
    }

    /// When the client next has something to do.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.state.next_deadline()
    }

    /// Lets time pass.
    pub fn advance(&mut self, now: Timestamp) {
        if self.state.next_deadline().is_some_and(|at| at <= now) {
            self.state.advance(now);
            self.apply_actions();
        }
    }

    /// Takes the next event.
    pub fn take_event(&mut self) -> Option<SubsystemEvent> {
        self.held.take_event()
    }

    /// Counts and sizes, for the log.
    pub fn summary(&self) -> String {
        let (records, in_flight, announcements) = self.state.tracked_counts();
        let counts = self.state.counts();
        let trust = self.state.trust().as_str();
        format!(
            "trust={trust} records={records} under_way={in_flight} words={announcements} {counts:?}"
        )
    }

    /// Carries out the actions of the decisions about shared state.
    fn apply_actions(&mut self) {
        for action in self.state.take_actions() {
            match action {
                Action::Connect => drop(self.orders.send(ToStore::Connect)),
                Action::Disconnect => drop(self.orders.send(ToStore::Disconnect)),
                Action::Execute {
                    id,
                    op,
                    epoch,
                    not_after_ms,
                } => {
                    let (prefix, run) = (self.config.prefix.as_str(), self.run_id.as_str());
                    let context = ScriptContext {
                        prefix,
                        run,
                        epoch,
                        not_after_ms,
                    };
                    let request = Box::new(script_request(&op, &context));
                    let _ = self.orders.send(ToStore::Execute(id, request));
                }
                Action::Decided { id, decision } => self.held.on_decided(id, decision),
                Action::Purged { object, group, age } => {
                    self.held.push_event(SubsystemEvent::Event(Event::Purged {
                        object,
                        group,
                        age,
                        stamp: None,
                    }));
                }
                Action::PeerBreakerOpened { host } => self
                    .held
                    .push_event(SubsystemEvent::Event(Event::PeerBreakerOpened { host })),
                Action::MessageReceived { from, bytes } => self.received.push((from, bytes)),
                Action::TrustChanged { trust, cause } => {
                    info!(self.log, "store"; "trust" => trust.as_str(), "why" => cause.as_str());
                }
            }
        }
    }

    /// Handles an event that the decisions also handle.
    pub fn on_event(&mut self, now: Timestamp, event: &Event) {
        self.held.on_event(event);
        if let Event::Purged {
            object, group, age, ..
        } = event
        {
            self.state.on_purge(now, *object, *group, *age);
            self.apply_actions();
        }
    }
}

/// How a request ended, derived from its attempts. `done` is the body of the answer, which is left out if it is too
/// long for a record.
pub fn completion(done: Option<&[u8]>, may_have_run: bool) -> Completion {
    match done {
        Some(body) => {
            Completion::Done(Some(body.to_vec()).filter(|body| body.len() <= MAX_BODY_BYTES))
        }
        None if may_have_run => Completion::Unknown,
        None => Completion::NeverRan,
    }
}

impl CrossingLimits for Subsystems {
    fn on_event(&mut self, now: Timestamp, event: &Event) {
        self.zones.on_event(now, event);
        self.store
            .iter_mut()
            .for_each(|store| store.on_event(now, event));
        self.peers
            .iter_mut()
            .for_each(|peers| peers.on_event(event));
        self.budgets
            .iter_mut()
            .for_each(|budgets| budgets.follower.on_event(now, event));
    }

    fn has_room(&self, now: Timestamp, crossing: &Crossing) -> bool {
        self.zones.has_room(now, crossing)
    }

    fn on_sent(&mut self, now: Timestamp, crossing: &Crossing) {
        self.zones.on_sent(now, crossing);
    }

    fn retry_after(&self, now: Timestamp, class: ClassId) -> Option<TimeSpan> {
        self.zones.retry_after(now, class)
    }
}

impl PeerKnowledge for Subsystems {
    fn earlier_attempt(&self, id: RequestId) -> Option<PeerAttempt> {
        let store = self
            .store
            .as_ref()
            .and_then(|store| store.state.earlier_attempt(id));
        store.or_else(|| self.peers.as_ref()?.earlier_attempt(id))
    }

    fn on_breaker_change(&mut self, now: Timestamp, host: HostEntry, open: bool) {
        if let Some(store) = self.store.as_mut().filter(|_| open) {
            store.state.on_breaker_opened(now, host);
            store.apply_actions();
        }
        if let Some(peers) = self.peers.as_mut().filter(|_| open) {
            peers.on_breaker_opened(now, host);
        }
    }
}
