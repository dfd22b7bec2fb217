//! The task that owns the decisions. It takes all queued events, applies them in one step and carries out the resulting
//! actions. It keeps the open requests and the timers.

mod attempts;
mod clients;
mod figures;
mod journal;
mod requests;
mod sections;
mod sharing;
mod timers;

use crate::accounts::Accounts;
use crate::checks::{Counts, check_invariant};
use crate::host_pools::HostPools;
use crate::messages::{
    ClientId, ClientRequest, ClientRequestId, Clock, ConnectionId, FromHost, Inbound, JournalEntry,
    ToClient, next_queued,
};
use crate::request_ids::RequestIds;
use crate::subsystems::Subsystems;
use local_channel::mpsc;
use slog::{Logger, info, warn};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};
use trailproxy::interface::{DispatcherSettings, Effect, Event};
use trailproxy::logic::Dispatcher;
use trailproxy::policy::stamps::Stamps;
use trailproxy::units::{AttemptNo, HostId, RequestId, TimerId, Timestamp};
use trailproxy_terms::Reports;

/// New connections and requests are accepted for this long after the signal to end.
const SHUTDOWN_ACCEPT_TIME: Duration = Duration::from_millis(700);
/// Time for the last messages to other dispatchers to be sent before the process ends.
const FINAL_SEND_TIME: Duration = Duration::from_millis(20);
/// How often counts and sizes are logged.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// One attempt of a request.
struct AttemptState {
    host: HostId,
    /// The other host that fills a miss, if one does.
    source: Option<HostId>,
    sent_at: Timestamp,
    /// The connection on which it ended, once that is known.
    connection: Option<ConnectionId>,
    ended: bool,
    /// Whether the host may have run it.
    may_have_run: bool,
}

/// A request that has no final answer yet, or that still has pending attempts.
struct PendingRequest {
    client_request: Rc<ClientRequest>,
    /// When its client stops waiting.
    deadline: Timestamp,
    /// Whether it has its final answer or no longer needs one.
    closed: bool,
    attempts: Vec<AttemptState>,
}

impl PendingRequest {
    /// The attempts that have not ended.
    fn pending_attempts(&self) -> impl Iterator<Item = AttemptNo> {
        let all = (0..).map(AttemptNo).zip(&self.attempts);
        all.filter(|(_, attempt)| !attempt.ended)
            .map(|(number, _)| number)
    }
}

/// A connected client.
struct Client {
    replies: mpsc::Sender<ToClient>,
    /// Whether any of its requests was served.
    proven: bool,
    /// Whether it has closed its side of the connection: nothing new begins for it.
    half_closed: bool,
}

/// The decisions of one dispatcher, with its connections, subsystems, requests and timers.
pub struct Dispatch {
    /// Decides which host gets each attempt and when a request is given up.
    pub decisions: Dispatcher<Subsystems>,
    /// Reports on traffic between zones, with the settings and the seed from which the subsystems are built.
    pub accounts: Option<(Accounts, DispatcherSettings, u64)>,
    /// The connections to hosts.
    pub pools: HostPools,
    pub clock: Clock,
    /// How load reports of hosts are read.
    pub reports: Reports,
    /// Whether a request may run more than once, by class.
    pub effects: Vec<Effect>,
    pub counts: Rc<Counts>,
    pub log: Logger,
    /// The name of this dispatcher among the others.
    pub name: String,
    state: State,
}

/// Requests, clients and timers.
#[derive(Default)]
struct State {
    requests: BTreeMap<RequestId, PendingRequest>,
    /// Requests without a final answer, by client and number.
    client_requests: BTreeMap<ClientRequestId, RequestId>,
    /// The ids under which hosts know requests.
    ids: RequestIds,
    clients: BTreeMap<ClientId, Client>,
    /// Deadlines of requests without a final answer.
    deadlines: BTreeSet<(Timestamp, RequestId)>,
    /// Timers that the decisions have set.
    timers: BTreeSet<(Timestamp, TimerId)>,
    last_request_id: u64,
    /// The last journal position, and the timestamps that journal entries bore.
    journal_position: u64,
    stamps: Stamps,
    /// Whether the decisions have handled an event since their actions were last carried out.
    has_new_events: bool,
    /// When the process was asked to end.
    shutdown_requested_at: Option<Instant>,
    /// Whether clients were told to finish, and no new ones are accepted.
    clients_told_to_finish: bool,
    /// Whether every connection that waited in the backlog has been accepted.
    all_accepted: bool,
}

impl Dispatch {
    /// Creates the task. `effects`: by class.
    pub fn new(
        decisions: Dispatcher<Subsystems>,
        pools: HostPools,
        reports: Reports,
        effects: Vec<Effect>,
    ) -> Dispatch {
        Dispatch {
            decisions,
            accounts: None,
            clock: pools.shared.clock,
            reports,
            effects,
            counts: pools.shared.counts.clone(),
            log: pools.shared.log.clone(),
            pools,
            name: String::new(),
            state: State::default(),
        }
    }

    /// Runs until the process is asked to end and every request is answered and every client has closed, or the time
    /// for that is over.
    pub async fn run(
        mut self,
        known_entries: Vec<JournalEntry>,
        mut queue: mpsc::Receiver<Inbound>,
        stop: impl FnOnce(),
    ) {
        let mut stop = Some(stop);
        let mut report_at = Instant::now();
        let now = self.clock.timestamp(report_at);
        self.load_known_entries(now, known_entries);
        self.apply_actions(now);
        loop {
            let now = Instant::now();
            self.advance_accounts(now);
            if now >= report_at {
                report_at = now + REPORT_INTERVAL;
                self.report();
            }
            if let Some(requested_at) = self.state.shutdown_requested_at {
                // Idle clients are told now, although others may still wait for hosts that hang for long.
                if now >= requested_at + SHUTDOWN_ACCEPT_TIME && !self.state.clients_told_to_finish
                {
                    self.state.clients_told_to_finish = true;
                    stop.take().into_iter().for_each(|stop| stop());
                    for client in self.state.clients.values() {
                        let _ = client.replies.send(ToClient::Finish);
                    }
                }
                let grace_over = now >= requested_at + SHUTDOWN_ACCEPT_TIME + self.max_deadline();
                let all_gone = self.state.all_accepted && self.state.clients.is_empty();
                if self.state.clients_told_to_finish && (all_gone || grace_over) {
                    self.check_all_answered();
                    self.write_final_account();
                    self.report();
                    return self.leave_fleet().await;
                }
            }
            let accounts = self
                .accounts
                .as_ref()
                .filter(|_| self.decisions.crossings.zones.is_some());
            let account_at = accounts.map_or(report_at, |(accounts, ..)| accounts.next_due());
            let until = self.next_wakeup().min(report_at).min(account_at);
            let first = tokio::select! {
                biased;
                first = queue.recv() => first,
                _ = sleep_until(until) => None,
            };
            let now = self.clock.timestamp(Instant::now());
            let mut next = first;
            while let Some(inbound) = next {
                self.handle_inbound(now, inbound);
                next = next_queued(&mut queue);
            }
            self.advance_timers(now);
            self.apply_actions(now);
        }
    }

    /// Checks that every request is answered when the process ends.
    fn check_all_answered(&self) {
        let owed = self.state.client_requests.len();
        if owed > 0 {
            warn!(self.log, "ends with answers owed"; "calls" => owed);
        }
        check_invariant(owed == 0, &self.counts.broken_ended_owing);
    }

    /// Tells the other dispatchers that this one ends, and leaves time for the messages to be sent.
    async fn leave_fleet(&mut self) {
        let now = self.clock.timestamp(Instant::now());
        let subsystems = &mut self.decisions.crossings;
        if subsystems.peers.is_some() || subsystems.budgets.is_some() {
            subsystems.leave(now);
            tokio::time::sleep(FINAL_SEND_TIME).await;
        }
    }

    /// Passes an event to the decisions.
    fn handle_event(&mut self, now: Timestamp, event: Event) {
        self.state.has_new_events = true;
        self.decisions.handle_event(now, event);
    }

    /// Handles one message of another task.
    fn handle_inbound(&mut self, now: Timestamp, inbound: Inbound) {
        match inbound {
            Inbound::Client(from) => self.handle_client(now, from),
            Inbound::Host(FromHost::Probed {
                id,
                host,
                ending,
                report,
            }) => {
                if self.pools.take_probe(host, id) {
                    let load = self.reports.load(&report);
                    self.handle_event(now, Event::Probed { host, ending, load });
                }
            }
            Inbound::Host(message) => {
                if let Some((id, connection, answer)) = self.pools.handle_event(message) {
                    self.on_attempt_ended(now, id, connection, answer);
                }
            }
            Inbound::Journal(entry) => self.on_journal_entry(now, entry),
            Inbound::Settings(settings) => self.apply_settings(now, *settings),
            Inbound::OperatorConfig(config) => {
                if let Err(why) = self.apply_operator_config(config) {
                    warn!(self.log, "operator's file refused"; "why" => why);
                }
            }
            Inbound::Peers(message) => self.decisions.crossings.on_message(now, message),
            Inbound::Store(message) => {
                if let Some(store) = &mut self.decisions.crossings.store {
                    store.on_store_message(now, message);
                }
            }
            Inbound::Terminate => {
                info!(self.log, "asked to end"; "open" => self.state.requests.len());
                self.state
                    .shutdown_requested_at
                    .get_or_insert_with(Instant::now);
            }
            Inbound::AllAccepted => self.state.all_accepted = true,
        }
    }
}
