//! What stands beside the decisions, each part there only while it is switched on: traffic between zones, and what is
//! shared with other dispatchers.

use crate::divided::BudgetsRuntime;
use crate::messages::{FromPeers, FromStore, ToStore};
use crate::peered::PeersRuntime;
use crate::waiting::{HeldRequests, SubsystemEvent};
use local_channel::mpsc;
use slog::{Logger, info};
use trailproxy::interface::*;
use trailproxy::units::*;
use trailproxy_budgets::BESIDE;
use trailproxy_budgets::sheet::Sheet as BudgetsSheet;
use trailproxy_peers::decide::messages::{Life, Note, PeerId};
use trailproxy_shared_store::decide::ops::BoxId;
use trailproxy_shared_store::decide::records::{Came, Folding, MOST_BODY};
use trailproxy_shared_store::decide::{Act, Sharing};
use trailproxy_shared_store::sheet::Sheet;
use trailproxy_shared_store::words::{Under, request};
use trailproxy_zones::Zones;

#[derive(Default)]
pub struct Subsystems {
    pub zones: Option<Zones>,
    pub store: Option<StoreClient>,
    pub peers: Option<PeersRuntime>,
    pub budgets: Option<BudgetsRuntime>,
    /// Among how many work for cold hosts is divided from now on, until the decisions are told.
    slow_start_shares: Option<(Option<f64>, Option<f64>)>,
}

impl Subsystems {
    /// A request with a key comes; `false`: nobody is asked about it. Where both know records, the store is asked: one
    /// record has one truth.
    pub fn on_request(&mut self, now: Timestamp, arrival: Arrival, key: &str) -> bool {
        match (&mut self.store, &mut self.peers) {
            (Some(store), _) if store.config.records => store.on_request(now, arrival, key),
            (_, Some(peers)) if peers.section.config.records => peers.on_request(now, arrival, key),
            _ => return false,
        }
        true
    }

    /// Whether anybody is told what came of requests with keys.
    pub fn shares_outcomes(&self) -> bool {
        self.store.is_some() || self.peers.is_some()
    }

    /// An attempt goes out.
    pub fn on_attempt_sent(&mut self, now: Timestamp, id: RequestId, host: HostId) {
        self.store
            .iter_mut()
            .for_each(|store| store.on_attempt_sent(now, id, host));
        self.peers
            .iter_mut()
            .for_each(|peers| peers.on_attempt_sent(now, id, host));
    }

    /// A request with a key has its final answer, or its client left; the decisions may never have heard of it.
    pub fn on_request_ended(&mut self, now: Timestamp, id: RequestId, came: &Came) {
        self.store
            .iter_mut()
            .for_each(|store| store.on_request_ended(now, id, came.clone()));
        self.peers
            .iter_mut()
            .for_each(|peers| peers.on_request_ended(now, id, came.clone()));
    }

    pub fn next_deadline(&self) -> Option<Timestamp> {
        let store = self.store.as_ref().and_then(StoreClient::next_deadline);
        store
            .into_iter()
            .chain(self.peers.as_ref().map(PeersRuntime::next_deadline))
            .chain(self.budgets.as_ref().and_then(|on| on.following.next()))
            .min()
    }

    pub fn advance(&mut self, now: Timestamp) {
        self.store.iter_mut().for_each(|store| store.advance(now));
        self.peers.iter_mut().for_each(|peers| peers.advance(now));
        self.advance_budgets(now);
    }

    /// A message of another dispatcher, or a question from the command line.
    pub fn on_message(&mut self, now: Timestamp, told: FromPeers) {
        let Some(peers) = &mut self.peers else {
            return;
        };
        match told.message.notes[..] {
            [Note::ShowOf(no, BESIDE)] => {
                let shown = self
                    .budgets
                    .as_ref()
                    .map(|budgets| budgets.following.show(now));
                let text = shown.unwrap_or("budgets are off".into());
                peers.answer(now, told.from, no, text);
            }
            _ => peers.on_message(now, told.from, told.message),
        }
    }

    /// Words of others reach the division, and what follows goes out: by the peers' messages, or else by the store.
    fn advance_budgets(&mut self, now: Timestamp) {
        let words = self
            .peers
            .as_mut()
            .map(PeersRuntime::take_subsystem_messages)
            .unwrap_or_default();
        let posted = self
            .store
            .as_mut()
            .map(|store| std::mem::take(&mut store.received));
        let Some(budgets) = &mut self.budgets else {
            return;
        };
        for (from, _, bytes) in words.iter().filter(|word| word.1 == BESIDE) {
            budgets.on_message(now, *from, bytes);
        }
        for (from, bytes) in posted.into_iter().flatten() {
            if let Some((&BESIDE, bytes)) = bytes.split_first() {
                budgets.on_message(now, PeerId(from.0), bytes);
            }
        }
        budgets.advance(now, &mut self.zones);
        self.slow_start_shares = budgets.following.cold().or(self.slow_start_shares);
        self.send_budget_messages(now);
    }

    fn send_budget_messages(&mut self, now: Timestamp) {
        let Some(budgets) = &mut self.budgets else {
            return;
        };
        let (own, messages) = (budgets.identity().0, budgets.take_messages());
        for (to, bytes) in messages {
            match (&mut self.peers, &mut self.store) {
                (Some(peers), _) => peers.send_subsystem_message(now, to, BESIDE, bytes),
                (None, Some(store)) => store.post(now, own, to, BESIDE, &bytes),
                (None, None) => {}
            }
        }
    }

    /// Who this is to the others, where there is a way to them; by the store it is this process for as long as it runs.
    fn identity(&self, name: &str, fresh: Life) -> Option<(PeerId, Life)> {
        if let Some(peers) = &self.peers {
            return Some(peers.identity());
        }
        let by_store = self.store.as_ref().is_some_and(|store| store.config.words);
        let id = PeerId::of_name(name);
        let known = self
            .budgets
            .as_ref()
            .map(BudgetsRuntime::identity)
            .filter(|own| own.0 == id);
        by_store.then(|| known.unwrap_or((id, fresh)))
    }

    /// What the operator's file says of budgets: the same section for the same member goes on.
    pub fn apply_budgets_section(
        &mut self,
        now: Timestamp,
        config: Option<&BudgetsSheet>,
        (name, fresh): (&str, Life),
        (terms, seed): (&DispatcherSettings, u64),
        log: &Logger,
    ) {
        let own = self.identity(name, fresh);
        let Some((config, own)) = config.zip(own) else {
            if self.budgets.take().is_some() {
                info!(log, "budgets are off");
                self.slow_start_shares = Some((None, None));
            }
            if let Some(zones) = &mut self.zones {
                let all: Vec<String> = zones.dividable().map(|limit| limit.name.clone()).collect();
                all.iter().for_each(|name| zones.divide(now, name, None));
            }
            return;
        };
        if !self
            .budgets
            .as_ref()
            .is_some_and(|budgets| budgets.is_for(config, own))
        {
            let fresh = BudgetsRuntime::new(now, config.clone(), own, terms, seed, log.clone());
            self.budgets = Some(fresh);
        }
        if let Some(budgets) = &mut self.budgets {
            budgets.following.set(now, self.zones.as_ref());
            budgets.following.again();
        }
        if let Some(store) = self.store.as_mut().filter(|_| self.peers.is_none()) {
            store.sharing.expects(BoxId(own.0.0));
        }
        self.advance_budgets(now);
    }

    /// It ends in order: what it holds is given back.
    pub fn leave(&mut self, now: Timestamp) {
        self.budgets
            .iter_mut()
            .for_each(|budgets| budgets.following.leave(now));
        self.send_budget_messages(now);
        self.peers.iter_mut().for_each(|peers| peers.leave(now));
    }

    /// Among how many work for cold hosts is divided, where that is another now.
    pub fn take_slow_start_shares(&mut self) -> Option<(Option<f64>, Option<f64>)> {
        self.slow_start_shares.take()
    }

    pub fn take_event(&mut self) -> Option<SubsystemEvent> {
        let store = self.store.as_mut().and_then(StoreClient::take_event);
        store.or_else(|| self.peers.as_mut().and_then(PeersRuntime::take_event))
    }
}

/// Sharing as long as it is on, with the way to the store and what is held back for it.
pub struct StoreClient {
    pub config: Sheet,
    folding: Folding,
    sharing: Sharing,
    orders: mpsc::Sender<ToStore>,
    run_id: String,
    held: HeldRequests,
    /// Words of other subsystems, from whom.
    received: Vec<(BoxId, Vec<u8>)>,
    log: Logger,
}

impl StoreClient {
    pub fn new(
        config: Sheet,
        sharing: Sharing,
        orders: mpsc::Sender<ToStore>,
        targets: Vec<TimeSpan>,
        log: Logger,
    ) -> StoreClient {
        StoreClient {
            folding: Folding::new(&config.prefix),
            config,
            sharing,
            orders,
            run_id: String::new(),
            held: HeldRequests::new(targets),
            received: Vec::new(),
            log,
        }
    }

    /// Words of another subsystem for another dispatcher; its number goes before them.
    fn post(&mut self, now: Timestamp, own: PeerId, to: PeerId, of: u8, bytes: &[u8]) {
        let bytes = [&[of], bytes].concat();
        self.sharing.post(now, BoxId(own.0), BoxId(to.0), bytes);
        self.apply_actions();
    }

    /// A request comes: one with a key waits for the store for as long as that may take.
    pub fn on_request(&mut self, now: Timestamp, arrival: Arrival, key: &str) {
        let due = self.held.hold(now, arrival);
        let key = self.folding.key(arrival.class, key);
        self.sharing.come(now, arrival.id, key, due);
        self.apply_actions();
    }

    pub fn on_attempt_sent(&mut self, now: Timestamp, id: RequestId, host: HostId) {
        if let Some(place) = self.held.location_of(host) {
            self.sharing.hand_off(now, id, place);
            self.apply_actions();
        }
    }

    /// It has its final answer, or its client left; the decisions may never have heard of it.
    pub fn on_request_ended(&mut self, now: Timestamp, id: RequestId, came: Came) {
        self.held.forget(id);
        self.sharing.ended(now, id, came);
        self.apply_actions();
    }

    /// Nothing is shared any more: whoever waits goes on.
    pub fn into_arrivals(self) -> impl Iterator<Item = Arrival> {
        self.held.into_arrivals()
    }

    pub fn on_store_message(&mut self, now: Timestamp, told: FromStore) {
        match told {
            FromStore::Connected { run_id } => {
                self.run_id = run_id;
                self.sharing.connected(now);
            }
            FromStore::Disconnected => self.sharing.broken(now),
            FromStore::Answered(id, reply) => self.sharing.answered(now, id, reply),
        }
        self.apply_actions();
    }

    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.sharing.next()
    }

    pub fn advance(&mut self, now: Timestamp) {
        if self.sharing.next().is_some_and(|at| at <= now) {
            self.sharing.advance(now);
            self.apply_actions();
        }
    }

    pub fn take_event(&mut self) -> Option<SubsystemEvent> {
        self.held.take_event()
    }

    pub fn summary(&self) -> String {
        let (records, under_way, news) = self.sharing.kept();
        let counts = self.sharing.counts();
        let trust = self.sharing.trust().word();
        format!("trust={trust} records={records} under_way={under_way} words={news} {counts:?}")
    }

    fn apply_actions(&mut self) {
        for act in self.sharing.take() {
            match act {
                Act::Connect => drop(self.orders.send(ToStore::Connect)),
                Act::Disconnect => drop(self.orders.send(ToStore::Disconnect)),
                Act::Ask {
                    id,
                    op,
                    epoch,
                    not_after_ms,
                } => {
                    let (prefix, run) = (self.config.prefix.as_str(), self.run_id.as_str());
                    let under = Under {
                        prefix,
                        run,
                        epoch,
                        not_after_ms,
                    };
                    let request = Box::new(request(&op, &under));
                    let _ = self.orders.send(ToStore::Execute(id, request));
                }
                Act::Decided { id, verdict } => self.held.on_decided(id, verdict),
                Act::Purged { object, group, ago } => {
                    self.held.push_event(SubsystemEvent::Event(Event::Purged {
                        object,
                        group,
                        age: ago,
                        stamp: None,
                    }));
                }
                Act::Hinted { host } => self
                    .held
                    .push_event(SubsystemEvent::Event(Event::PeerBreakerOpened { host })),
                Act::Posted { from, bytes } => self.received.push((from, bytes)),
                Act::Turned { trust, cause } => {
                    info!(self.log, "store"; "trust" => trust.word(), "why" => cause.word());
                }
            }
        }
    }

    pub fn on_event(&mut self, now: Timestamp, event: &Event) {
        self.held.on_event(event);
        if let Event::Purged {
            object, group, age, ..
        } = event
        {
            self.sharing.purged(now, *object, *group, *age);
            self.apply_actions();
        }
    }
}

/// What came of a request, by what became of its attempts.
pub fn completion(done: Option<&[u8]>, ran: bool) -> Came {
    match done {
        Some(body) => Came::Done(Some(body.to_vec()).filter(|body| body.len() <= MOST_BODY)),
        None if ran => Came::Unknown,
        None => Came::NeverRan,
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
            .for_each(|on| on.following.event(now, event));
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
            .and_then(|store| store.sharing.earlier(id));
        store.or_else(|| self.peers.as_ref()?.earlier_attempt(id))
    }

    fn on_breaker_change(&mut self, now: Timestamp, host: HostEntry, open: bool) {
        if let Some(store) = self.store.as_mut().filter(|_| open) {
            store.sharing.opened(now, host);
            store.apply_actions();
        }
        if let Some(peers) = self.peers.as_mut().filter(|_| open) {
            peers.on_breaker_opened(now, host);
        }
    }
}
