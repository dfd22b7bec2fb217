//! The one task that owns the decisions: it takes all queued events, settles once and carries out the
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
use crate::checks::{Counts, must};
use crate::host_pools::HostPools;
use crate::messages::{
    Call, CallId, ClientId, Clock, Entry, FromServer, Inbound, LineId, ToClient, next_now,
};
use crate::subsystems::Subsystems;
use local_channel::mpsc;
use slog::{Logger, info, warn};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};
use trailproxy::interface::{DispatcherSettings, Effect, Event};
use trailproxy::logic::Dispatcher;
use trailproxy::policy::stamps::Stamps;
use trailproxy::units::{AttemptNo, HostId, RequestId, TimerId, Timestamp};
use trailproxy_terms::Reports;

/// Requests still come for so long after the signal to end.
const STILL_COMING: Duration = Duration::from_millis(700);
/// What goes to other dispatchers at the end is on its way by then.
const LAST_WORDS: Duration = Duration::from_millis(20);
const REPORT_EVERY: Duration = Duration::from_secs(10);

struct AttemptState {
    host: HostId,
    source: Option<HostId>,
    sent: Timestamp,
    line: Option<LineId>,
    over: bool,
    /// Whether it may have run.
    ran: bool,
}

struct Request {
    call: Rc<Call>,
    limit: Timestamp,
    /// It has its final answer, or needs none.
    closed: bool,
    attempts: Vec<AttemptState>,
}

impl Request {
    /// Its attempts that have not ended.
    fn out(&self) -> impl Iterator<Item = AttemptNo> {
        let all = (0..).map(AttemptNo).zip(&self.attempts);
        all.filter(|(_, attempt)| !attempt.over).map(|(no, _)| no)
    }
}

struct Client {
    replies: mpsc::Sender<ToClient>,
    /// Whether anything was done for it.
    proven: bool,
    /// It has ended its side: nothing begins for it any more.
    shut: bool,
}

pub struct Dispatch {
    pub decisions: Dispatcher<Subsystems>,
    /// What tells of traffic between zones, with what a new account of it is made of.
    pub accounts: Option<(Accounts, DispatcherSettings, u64)>,
    pub pools: HostPools,
    pub clock: Clock,
    pub reports: Reports,
    /// By track.
    pub effects: Vec<Effect>,
    pub counts: Rc<Counts>,
    pub log: Logger,
    /// Its name among the other dispatchers.
    pub name: String,
    state: State,
}

#[derive(Default)]
struct State {
    requests: BTreeMap<RequestId, Request>,
    calls: BTreeMap<CallId, RequestId>,
    /// The ids of open requests, which hosts tell their answers by, and of those that were open as
    /// lately as a host may still have them: for it a second request under one would be a second copy.
    references: BTreeSet<Rc<str>>,
    fading: VecDeque<(Timestamp, Rc<str>)>,
    clients: BTreeMap<ClientId, Client>,
    limits: BTreeSet<(Timestamp, RequestId)>,
    wakes: BTreeSet<(Timestamp, TimerId)>,
    next: u64,
    /// The last place in the journal, and the stamps that it has told.
    place: u64,
    stamps: Stamps,
    /// Whether the decisions took an event since they last settled.
    told: bool,
    ending: Option<Instant>,
    finished: bool,
    all_in: bool,
}

impl Dispatch {
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

    /// Runs until it is asked to end and all is answered and read.
    pub async fn run(
        mut self,
        known: Vec<Entry>,
        mut queue: mpsc::Receiver<Inbound>,
        stop: impl FnOnce(),
    ) {
        let mut stop = Some(stop);
        let mut report_at = Instant::now();
        let now = self.clock.moment(report_at);
        self.known(now, known);
        self.settle(now);
        loop {
            let now = Instant::now();
            self.account(now);
            if now >= report_at {
                report_at = now + REPORT_EVERY;
                self.report();
            }
            if let Some(asked) = self.state.ending {
                // Whoever rests is told now, though others still wait for hosts that may hang for long.
                if now >= asked + STILL_COMING && !self.state.finished {
                    self.state.finished = true;
                    stop.take().into_iter().for_each(|stop| stop());
                    for client in self.state.clients.values() {
                        let _ = client.replies.send(ToClient::Finish);
                    }
                }
                let lingered = now >= asked + STILL_COMING + self.longest_limit();
                let all_gone = self.state.all_in && self.state.clients.is_empty();
                if self.state.finished && (all_gone || lingered) {
                    self.check_nothing_owed();
                    self.last_account();
                    self.report();
                    return self.leave().await;
                }
            }
            let accounts = self
                .accounts
                .as_ref()
                .filter(|_| self.decisions.crossings.zones.is_some());
            let account_at = accounts.map_or(report_at, |(accounts, ..)| accounts.next());
            let until = self.next_timer().min(report_at).min(account_at);
            let first = tokio::select! {
                biased;
                first = queue.recv() => first,
                _ = sleep_until(until) => None,
            };
            let now = self.clock.moment(Instant::now());
            let mut next = first;
            while let Some(inbound) = next {
                self.take(now, inbound);
                next = next_now(&mut queue);
            }
            self.pass_time(now);
            self.settle(now);
        }
    }

    /// Whoever still waits for an answer as the process ends was promised one.
    fn check_nothing_owed(&self) {
        let owed = self.state.calls.len();
        if owed > 0 {
            warn!(self.log, "ends with answers owed"; "calls" => owed);
        }
        must(owed == 0, &self.counts.broken_ended_owing);
    }

    /// The other dispatchers are told that it ends, and the way there is given the time to say so.
    async fn leave(&mut self) {
        let now = self.clock.moment(Instant::now());
        let beside = &mut self.decisions.crossings;
        if beside.peers.is_some() || beside.divided.is_some() {
            beside.leave(now);
            tokio::time::sleep(LAST_WORDS).await;
        }
    }

    fn tell(&mut self, now: Timestamp, event: Event) {
        self.state.told = true;
        self.decisions.handle_event(now, event);
    }

    fn take(&mut self, now: Timestamp, inbound: Inbound) {
        match inbound {
            Inbound::Client(from) => self.client(now, from),
            Inbound::Server(FromServer::Probed {
                id,
                host,
                ending,
                report,
            }) => {
                if self.pools.take_probe(host, id) {
                    let load = self.reports.load(&report);
                    self.tell(now, Event::Probed { host, ending, load });
                }
            }
            Inbound::Server(told) => {
                if let Some((id, line, answer)) = self.pools.handle_event(told) {
                    self.ended(now, id, line, answer);
                }
            }
            Inbound::Journal(entry) => self.journal(now, entry),
            Inbound::Terms(told) => self.follow(now, *told),
            Inbound::Operator(told) => {
                if let Err(why) = self.operator(told) {
                    warn!(self.log, "operator's file refused"; "why" => why);
                }
            }
            Inbound::Peers(told) => self.decisions.crossings.message(now, told),
            Inbound::Store(told) => {
                if let Some(shared) = &mut self.decisions.crossings.shared {
                    shared.told(now, told);
                }
            }
            Inbound::Terminate => {
                info!(self.log, "asked to end"; "open" => self.state.requests.len());
                self.state.ending.get_or_insert_with(Instant::now);
            }
            Inbound::AllIn => self.state.all_in = true,
        }
    }
}
