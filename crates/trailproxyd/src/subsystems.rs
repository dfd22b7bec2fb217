//! What stands beside the decisions, each part there only while it is switched on: traffic between zones, and what is
//! shared with other dispatchers.

use crate::divided::Divided;
use crate::messages::{FromPeers, FromStore, ToStore};
use crate::peered::Peered;
use crate::waiting::{Due, Waiting};
use local_channel::mpsc;
use slog::{Logger, info};
use trailproxy::interface::*;
use trailproxy::units::*;
use trailproxy_budgets::SUBSYSTEM_ID;
use trailproxy_budgets::config::BudgetsConfig;
use trailproxy_peers::decide::messages::{Life, Note, PeerId};
use trailproxy_shared_store::config::StoreConfig;
use trailproxy_shared_store::decide::ops::MailboxId;
use trailproxy_shared_store::decide::records::{Completion, KeyHasher, MAX_BODY_BYTES};
use trailproxy_shared_store::decide::{Action, SharedState};
use trailproxy_shared_store::scripts::{ScriptContext, script_request};
use trailproxy_zones::Zones;

#[derive(Default)]
pub struct Subsystems {
    pub zones: Option<Zones>,
    pub shared: Option<Shared>,
    pub peers: Option<Peered>,
    pub divided: Option<Divided>,
    /// Among how many work for cold hosts is divided from now on, until the decisions are told.
    cold: Option<(Option<f64>, Option<f64>)>,
}

impl Subsystems {
    /// A request with a key comes; `false`: nobody is asked about it. Where both know records, the store is asked: one
    /// record has one truth.
    pub fn come(&mut self, now: Timestamp, arrival: Arrival, mark: &str) -> bool {
        match (&mut self.shared, &mut self.peers) {
            (Some(shared), _) if shared.config.records => shared.come(now, arrival, mark),
            (_, Some(peers)) if peers.told.config.records => peers.come(now, arrival, mark),
            _ => return false,
        }
        true
    }

    /// Whether anybody is told what came of requests with keys.
    pub fn knows_keys(&self) -> bool {
        self.shared.is_some() || self.peers.is_some()
    }

    /// An attempt goes out.
    pub fn went(&mut self, now: Timestamp, id: RequestId, host: HostId) {
        self.shared
            .iter_mut()
            .for_each(|shared| shared.sent(now, id, host));
        self.peers
            .iter_mut()
            .for_each(|peers| peers.sent(now, id, host));
    }

    /// A request with a key has its final answer, or its client left; the decisions may never have heard of it.
    pub fn ended(&mut self, now: Timestamp, id: RequestId, came: &Completion) {
        self.shared
            .iter_mut()
            .for_each(|shared| shared.ended(now, id, came.clone()));
        self.peers
            .iter_mut()
            .for_each(|peers| peers.ended(now, id, came.clone()));
    }

    pub fn next(&self) -> Option<Timestamp> {
        let shared = self.shared.as_ref().and_then(Shared::next);
        shared
            .into_iter()
            .chain(self.peers.as_ref().map(Peered::next))
            .chain(
                self.divided
                    .as_ref()
                    .and_then(|on| on.following.next_deadline()),
            )
            .min()
    }

    pub fn advance(&mut self, now: Timestamp) {
        self.shared
            .iter_mut()
            .for_each(|shared| shared.advance(now));
        self.peers.iter_mut().for_each(|peers| peers.advance(now));
        self.divide(now);
    }

    /// A message of another dispatcher, or a question from the command line.
    pub fn message(&mut self, now: Timestamp, told: FromPeers) {
        let Some(peers) = &mut self.peers else {
            return;
        };
        match told.message.notes[..] {
            [Note::ShowOf(no, SUBSYSTEM_ID)] => {
                let shown = self
                    .divided
                    .as_ref()
                    .map(|divided| divided.following.show(now));
                let text = shown.unwrap_or("budgets are off".into());
                peers.answer(now, told.from, no, text);
            }
            _ => peers.message(now, told.from, told.message),
        }
    }

    /// Words of others reach the division, and what follows goes out: by the peers' messages, or else by the store.
    fn divide(&mut self, now: Timestamp) {
        let words = self.peers.as_mut().map(Peered::words).unwrap_or_default();
        let posted = self
            .shared
            .as_mut()
            .map(|shared| std::mem::take(&mut shared.posted));
        let Some(divided) = &mut self.divided else {
            return;
        };
        for (from, _, bytes) in words.iter().filter(|word| word.1 == SUBSYSTEM_ID) {
            divided.heard(now, *from, bytes);
        }
        for (from, bytes) in posted.into_iter().flatten() {
            if let Some((&SUBSYSTEM_ID, bytes)) = bytes.split_first() {
                divided.heard(now, PeerId(from.0), bytes);
            }
        }
        divided.advance(now, &mut self.zones);
        self.cold = divided.following.take_slow_start_shares().or(self.cold);
        self.send_words(now);
    }

    fn send_words(&mut self, now: Timestamp) {
        let Some(divided) = &mut self.divided else {
            return;
        };
        let (own, messages) = (divided.own().0, divided.messages());
        for (to, bytes) in messages {
            match (&mut self.peers, &mut self.shared) {
                (Some(peers), _) => peers.send(now, to, SUBSYSTEM_ID, bytes),
                (None, Some(shared)) => shared.post(now, own, to, SUBSYSTEM_ID, &bytes),
                (None, None) => {}
            }
        }
    }

    /// Who this is to the others, where there is a way to them; by the store it is this process for as long as it runs.
    fn own(&self, name: &str, fresh: Life) -> Option<(PeerId, Life)> {
        if let Some(peers) = &self.peers {
            return Some(peers.own());
        }
        let by_store = self
            .shared
            .as_ref()
            .is_some_and(|shared| shared.config.words);
        let id = PeerId::of_name(name);
        let known = self
            .divided
            .as_ref()
            .map(Divided::own)
            .filter(|own| own.0 == id);
        by_store.then(|| known.unwrap_or((id, fresh)))
    }

    /// What the operator's file says of budgets: the same section for the same member goes on.
    pub fn budgets(
        &mut self,
        now: Timestamp,
        config: Option<&BudgetsConfig>,
        (name, fresh): (&str, Life),
        (terms, seed): (&DispatcherSettings, u64),
        log: &Logger,
    ) {
        let own = self.own(name, fresh);
        let Some((config, own)) = config.zip(own) else {
            if self.divided.take().is_some() {
                info!(log, "budgets are off");
                self.cold = Some((None, None));
            }
            if let Some(zones) = &mut self.zones {
                let all: Vec<String> = zones
                    .divisible_limits()
                    .map(|limit| limit.name.clone())
                    .collect();
                all.iter().for_each(|name| zones.set_part(now, name, None));
            }
            return;
        };
        if !self
            .divided
            .as_ref()
            .is_some_and(|divided| divided.is(config, own))
        {
            let fresh = Divided::new(now, config.clone(), own, terms, seed, log.clone());
            self.divided = Some(fresh);
        }
        if let Some(divided) = &mut self.divided {
            divided.following.update_budgets(now, self.zones.as_ref());
            divided.following.resend_slow_start_shares();
        }
        if let Some(shared) = self.shared.as_mut().filter(|_| self.peers.is_none()) {
            shared.sharing.open_mailbox(MailboxId(own.0.0));
        }
        self.divide(now);
    }

    /// It ends in order: what it holds is given back.
    pub fn leave(&mut self, now: Timestamp) {
        self.divided
            .iter_mut()
            .for_each(|divided| divided.following.leave(now));
        self.send_words(now);
        self.peers.iter_mut().for_each(|peers| peers.leave(now));
    }

    /// Among how many work for cold hosts is divided, where that is another now.
    pub fn cold(&mut self) -> Option<(Option<f64>, Option<f64>)> {
        self.cold.take()
    }

    pub fn take(&mut self) -> Option<Due> {
        let shared = self.shared.as_mut().and_then(Shared::take);
        shared.or_else(|| self.peers.as_mut().and_then(Peered::take))
    }
}

/// Sharing as long as it is on, with the way to the store and what is held back for it.
pub struct Shared {
    pub config: StoreConfig,
    key_hasher: KeyHasher,
    sharing: SharedState,
    to: mpsc::Sender<ToStore>,
    run: String,
    waiting: Waiting,
    /// Words of other subsystems, from whom.
    posted: Vec<(MailboxId, Vec<u8>)>,
    log: Logger,
}

impl Shared {
    pub fn new(
        config: StoreConfig,
        sharing: SharedState,
        to: mpsc::Sender<ToStore>,
        dues: Vec<TimeSpan>,
        log: Logger,
    ) -> Shared {
        Shared {
            key_hasher: KeyHasher::new(&config.prefix),
            config,
            sharing,
            to,
            run: String::new(),
            waiting: Waiting::new(dues),
            posted: Vec::new(),
            log,
        }
    }

    /// Words of another subsystem for another dispatcher; its number goes before them.
    fn post(&mut self, now: Timestamp, own: PeerId, to: PeerId, of: u8, bytes: &[u8]) {
        let bytes = [&[of], bytes].concat();
        self.sharing
            .post_message(now, MailboxId(own.0), MailboxId(to.0), bytes);
        self.act();
    }

    /// A request comes: one with a key waits for the store for as long as that may take.
    pub fn come(&mut self, now: Timestamp, arrival: Arrival, mark: &str) {
        let due = self.waiting.hold(now, arrival);
        let key = self.key_hasher.key(arrival.class, mark);
        self.sharing.on_request(now, arrival.id, key, due);
        self.act();
    }

    pub fn sent(&mut self, now: Timestamp, id: RequestId, host: HostId) {
        if let Some(place) = self.waiting.place(host) {
            self.sharing.on_attempt_sent(now, id, place);
            self.act();
        }
    }

    /// It has its final answer, or its client left; the decisions may never have heard of it.
    pub fn ended(&mut self, now: Timestamp, id: RequestId, came: Completion) {
        self.waiting.forget(id);
        self.sharing.on_request_ended(now, id, came);
        self.act();
    }

    /// Nothing is shared any more: whoever waits goes on.
    pub fn end(self) -> impl Iterator<Item = Arrival> {
        self.waiting.end()
    }

    pub fn told(&mut self, now: Timestamp, told: FromStore) {
        match told {
            FromStore::Connected { run_id: run } => {
                self.run = run;
                self.sharing.on_connected(now);
            }
            FromStore::Disconnected => self.sharing.on_disconnected(now),
            FromStore::Answered(id, reply) => self.sharing.on_reply(now, id, reply),
        }
        self.act();
    }

    pub fn next(&self) -> Option<Timestamp> {
        self.sharing.next_deadline()
    }

    pub fn advance(&mut self, now: Timestamp) {
        if self.sharing.next_deadline().is_some_and(|at| at <= now) {
            self.sharing.advance(now);
            self.act();
        }
    }

    pub fn take(&mut self) -> Option<Due> {
        self.waiting.take()
    }

    pub fn figures(&self) -> String {
        let (records, under_way, news) = self.sharing.tracked_counts();
        let counts = self.sharing.counts();
        let trust = self.sharing.trust().as_str();
        format!("trust={trust} records={records} under_way={under_way} words={news} {counts:?}")
    }

    fn act(&mut self) {
        for act in self.sharing.take_actions() {
            match act {
                Action::Connect => drop(self.to.send(ToStore::Connect)),
                Action::Disconnect => drop(self.to.send(ToStore::Disconnect)),
                Action::Execute {
                    id,
                    op,
                    epoch,
                    not_after_ms,
                } => {
                    let (prefix, run) = (self.config.prefix.as_str(), self.run.as_str());
                    let under = ScriptContext {
                        prefix,
                        run,
                        epoch,
                        not_after_ms,
                    };
                    let request = Box::new(script_request(&op, &under));
                    let _ = self.to.send(ToStore::Execute(id, request));
                }
                Action::Decided {
                    id,
                    decision: verdict,
                } => self.waiting.decided(id, verdict),
                Action::Purged {
                    object,
                    group,
                    age: ago,
                } => {
                    self.waiting.due(Due::Tell(Event::Purged {
                        object,
                        group,
                        age: ago,
                        stamp: None,
                    }));
                }
                Action::PeerBreakerOpened { host } => self
                    .waiting
                    .due(Due::Tell(Event::PeerBreakerOpened { host })),
                Action::MessageReceived { from, bytes } => self.posted.push((from, bytes)),
                Action::TrustChanged { trust, cause } => {
                    info!(self.log, "store"; "trust" => trust.as_str(), "why" => cause.as_str());
                }
            }
        }
    }

    pub fn heard(&mut self, now: Timestamp, event: &Event) {
        self.waiting.heard(event);
        if let Event::Purged {
            object, group, age, ..
        } = event
        {
            self.sharing.on_purge(now, *object, *group, *age);
            self.act();
        }
    }
}

/// What came of a request, by what became of its attempts.
pub fn came(done: Option<&[u8]>, ran: bool) -> Completion {
    match done {
        Some(body) => {
            Completion::Done(Some(body.to_vec()).filter(|body| body.len() <= MAX_BODY_BYTES))
        }
        None if ran => Completion::Unknown,
        None => Completion::NeverRan,
    }
}

impl CrossingLimits for Subsystems {
    fn on_event(&mut self, now: Timestamp, event: &Event) {
        self.zones.on_event(now, event);
        self.shared
            .iter_mut()
            .for_each(|shared| shared.heard(now, event));
        self.peers.iter_mut().for_each(|peers| peers.heard(event));
        self.divided
            .iter_mut()
            .for_each(|on| on.following.on_event(now, event));
    }

    fn has_room(&self, now: Timestamp, crossing: &Crossing) -> bool {
        self.zones.has_room(now, crossing)
    }

    fn on_sent(&mut self, now: Timestamp, crossing: &Crossing) {
        self.zones.on_sent(now, crossing);
    }

    fn retry_after(&self, now: Timestamp, track: ClassId) -> Option<TimeSpan> {
        self.zones.retry_after(now, track)
    }
}

impl PeerKnowledge for Subsystems {
    fn earlier_attempt(&self, id: RequestId) -> Option<PeerAttempt> {
        let shared = self
            .shared
            .as_ref()
            .and_then(|shared| shared.sharing.earlier_attempt(id));
        shared.or_else(|| self.peers.as_ref()?.earlier(id))
    }

    fn on_breaker_change(&mut self, now: Timestamp, host: HostEntry, open: bool) {
        if let Some(shared) = self.shared.as_mut().filter(|_| open) {
            shared.sharing.on_breaker_opened(now, host);
            shared.act();
        }
        if let Some(peers) = self.peers.as_mut().filter(|_| open) {
            peers.opened(now, host);
        }
    }
}
