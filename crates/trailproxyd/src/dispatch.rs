//! The one task that owns the decisions: it takes all queued events, settles once and carries out the
//! actions. It keeps the open accesses and the timers.

use crate::accounts::Accounts;
use crate::buffered::Parcel;
use crate::checks::{Counts, count, must};
use crate::messages::*;
use crate::operator::{PeersTold, Told, longest_window};
use crate::peered::Peered;
use crate::peers;
use crate::servers::Pools;
use crate::store;
use crate::subsystems::{Shared, Subsystems, came};
use crate::waiting::Due;
use local_channel::mpsc;
use slog::{Logger, debug, info, warn};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};
use trailproxy::interface::*;
use trailproxy::logic::Dispatcher;
use trailproxy::units::*;
use trailproxy_peers::decide::members::Own;
use trailproxy_peers::decide::messages::PeerId;
use trailproxy_peers::decide::{Peers, life};
use trailproxy_peers::sites;
use trailproxy_peers::wire::Seal;
use trailproxy_shared_store::decide::Sharing;
use trailproxy_shared_store::sheet::Sheet as StoreSheet;
use trailproxy_terms::Reports;
use trailproxy_zones::decide::sheet::Sheet as ZonesSheet;
use trailproxy_zones::{Rules, Zones};

/// Requests still come for so long after the signal to end.
const STILL_COMING: Duration = Duration::from_millis(700);
/// What goes to other dispatchers at the end is on its way by then.
const LAST_WORDS: Duration = Duration::from_millis(20);
const REPORT_EVERY: Duration = Duration::from_secs(10);

struct AttemptState {
    host: HostId,
    source: Option<HostId>,
    sent: Moment,
    line: Option<LineId>,
    over: bool,
    /// Whether it may have run.
    ran: bool,
}

struct Request {
    call: Rc<Call>,
    limit: Moment,
    /// It has its final answer, or needs none.
    closed: bool,
    hand_offs: Vec<AttemptState>,
}

impl Request {
    /// Its attempts that have not ended.
    fn out(&self) -> impl Iterator<Item = AttemptNo> {
        let all = (0..).map(AttemptNo).zip(&self.hand_offs);
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
    pub accounts: Option<(Accounts, Terms, u64)>,
    pub pools: Pools,
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
    accesses: BTreeMap<RequestId, Request>,
    calls: BTreeMap<CallId, RequestId>,
    /// The ids of open accesses, which hosts tell their answers by, and of those that were open as
    /// lately as a host may still have them: for it a second request under one would be a second copy.
    references: BTreeSet<Rc<str>>,
    fading: VecDeque<(Moment, Rc<str>)>,
    clients: BTreeMap<ClientId, Client>,
    limits: BTreeSet<(Moment, RequestId)>,
    wakes: BTreeSet<(Moment, WakeId)>,
    next: u64,
    /// The last place in the journal.
    place: u64,
    /// Whether the decisions took an event since they last settled.
    told: bool,
    ending: Option<Instant>,
    finished: bool,
    all_in: bool,
}

impl Dispatch {
    pub fn new(
        decisions: Dispatcher<Subsystems>,
        pools: Pools,
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
        known.into_iter().for_each(|entry| self.journal(now, entry));
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

    /// The other dispatchers are told that it ends, and the way there is given the time to say so.
    async fn leave(&mut self) {
        let now = self.clock.moment(Instant::now());
        let beside = &mut self.decisions.crossings;
        if beside.peers.is_some() || beside.divided.is_some() {
            beside.leave(now);
            tokio::time::sleep(LAST_WORDS).await;
        }
    }

    /// Other settings, with the same tracks, zone, kinds and bounds: what is open goes on. Budgets of traffic
    /// between zones start afresh, when the operator's file is read again behind this.
    fn follow(&mut self, now: Moment, (terms, reports): (Terms, Reports)) {
        info!(self.log, "settings followed"; "probes" => terms.probes, "sizes_told" => terms.sizes_tell,
            "link_told" => terms.link_told, "straight" => terms.straight, "open" => self.state.accesses.len());
        self.reports = reports;
        if let Some((_, known, _)) = &mut self.accounts {
            *known = terms.clone();
        }
        self.decisions.crossings.zones = None;
        self.decisions.follow(now, terms);
        self.state.told = true;
    }

    /// What the operator's file says: each subsystem is switched on, changed or off.
    pub fn operator(&mut self, told: Told) -> Result<(), String> {
        self.zones(told.zones);
        self.store(told.store);
        self.peers(told.peers)?;
        let now = self.clock.moment(Instant::now());
        if let Some((_, terms, seed)) = &self.accounts {
            let beside = &mut self.decisions.crossings;
            let fresh = (
                self.name.as_str(),
                life(now, *seed ^ u64::from(std::process::id())),
            );
            let told = told.budgets.as_deref();
            beside.budgets(now, told, fresh, (terms, *seed), &self.log);
        }
        Ok(())
    }

    /// What is held in common with other dispatchers: another section begins anew. Where its socket can't be had, the
    /// former one is gone as well.
    fn peers(&mut self, told: Option<Box<PeersTold>>) -> Result<(), String> {
        let now = self.clock.moment(Instant::now());
        let kept = &mut self.decisions.crossings.peers;
        if kept.as_ref().map(|kept| &kept.told) == told.as_deref() {
            return Ok(());
        }
        let mut socket = None;
        let ended = kept.take().map(|mut kept| {
            kept.leave(now);
            // The same address goes on with the same socket.
            let same = told.as_ref().map(|told| told.addresses.listen);
            socket = Some(kept.socket.clone()).filter(|_| same == Some(kept.told.addresses.listen));
            kept.end()
        });
        for arrival in ended.into_iter().flatten() {
            self.go(now, arrival);
        }
        let (Some((_, terms, seed)), log) = (&self.accounts, &self.log) else {
            return Ok(());
        };
        let Some(told) = told else {
            info!(log, "peers are off");
            return Ok(());
        };
        let sheet = &told.sheet;
        let longest = longest_window(terms, self.pools.shared.bounds.longest_limit);
        let rules = sheet.rules(longest, terms.purge_done)?;
        let listen = told.addresses.listen;
        let socket = socket
            .map_or_else(|| peers::bind(listen), Ok)
            .map_err(|e| {
                let [a, b, c, d] = listen.ip;
                let found = format!("{a}.{b}.{c}.{d}:{} ({e})", listen.port);
                sheet.wrong("listen", &found, "an address of this machine that is free")
            })?;
        // Never the same for two processes.
        let drawn = *seed ^ now.0.rotate_left(20) ^ u64::from(std::process::id());
        let own = Own {
            id: PeerId::of_name(&self.name),
            address: told.addresses.advertise,
            life: life(now, drawn),
            seeds: told.addresses.seeds.clone(),
            topology: told.topology.clone(),
        };
        info!(log, "peers are on"; "file" => &sheet.file, "fleet" => &sheet.fleet, "seeds" => told.addresses.seeds.len(),
            "site" => sites::site_of(&sheet.sites, told.addresses.advertise).map_or("none", |site| &site.name));
        let (to, asked) = mpsc::channel();
        let seal = Seal::new(&sheet.fleet, &told.secret);
        let queue = self.pools.shared.queue.clone();
        tokio::task::spawn_local(peers::carry(
            socket.clone(),
            seal,
            queue,
            asked,
            log.clone(),
        ));
        let dues = terms.tracks.iter().map(|track| track.due).collect();
        let core = Peers::new(now, own, rules, drawn);
        let mut begun = Peered::new(*told, core, (socket, to), dues, log.clone());
        let (form, entries) = (ListForm::Whole, self.pools.entries());
        begun.listed(now, &entries, self.state.place);
        begun.heard(&Event::Hosts { form, entries });
        self.decisions.crossings.peers = Some(begun);
        Ok(())
    }

    /// What dispatchers share: another section begins anew, and whoever waited for the store goes on.
    fn store(&mut self, told: Option<Box<StoreSheet>>) {
        let now = self.clock.moment(Instant::now());
        let Some((_, terms, seed)) = &self.accounts else {
            return;
        };
        let shared = &mut self.decisions.crossings.shared;
        if shared.as_ref().map(|shared| &shared.sheet) == told.as_deref() {
            return;
        }
        let ended = shared.take();
        if let Some(sheet) = told {
            let longest = longest_window(terms, self.pools.shared.bounds.longest_limit);
            match sheet.rules(longest, terms.purge_done) {
                Ok(rules) => {
                    // Never the same for two processes, or one would take another's records for its own.
                    let life = *seed ^ now.0.rotate_left(20) ^ u64::from(std::process::id());
                    let (to, asked) = mpsc::channel();
                    let (queue, log) = (self.pools.shared.queue.clone(), self.log.clone());
                    tokio::task::spawn_local(store::carry(
                        *sheet.clone(),
                        queue,
                        asked,
                        log.clone(),
                    ));
                    info!(log, "store is on"; "file" => &sheet.file, "host" => &sheet.host, "port" => sheet.port);
                    let dues = terms.tracks.iter().map(|track| track.due).collect();
                    let mut begun =
                        Shared::new(*sheet, Sharing::new(now, rules, life), to, dues, log);
                    let (form, entries) = (ListForm::Whole, self.pools.entries());
                    begun.heard(now, &Event::Hosts { form, entries });
                    *shared = Some(begun);
                }
                Err(why) => warn!(self.log, "operator's file refused"; "why" => why),
            }
        } else {
            info!(self.log, "store is off");
        }
        for arrival in ended.into_iter().flat_map(Shared::end) {
            self.go(now, arrival);
        }
    }

    /// An access goes to the decisions, with the time that is left of it.
    fn go(&mut self, now: Moment, mut arrival: Arrival) {
        let access = self.state.accesses.get(&arrival.id);
        if let Some(access) = access.filter(|access| !access.closed) {
            arrival.left = access.limit.since(now);
            self.tell(now, Event::Arrived(arrival));
        }
    }

    /// What others' answers, or their absence, lead to.
    fn share(&mut self, now: Moment) {
        self.decisions.crossings.advance(now);
        if let Some((caches, parents)) = self.decisions.crossings.cold() {
            self.decisions.divide(now, caches, parents);
        }
        while let Some(due) = self.decisions.crossings.take() {
            match due {
                Due::Arrived(arrival) => self.go(now, arrival),
                Due::Answered(id, body) => {
                    let body = Parcel::new(&body, &self.pools.shared.held);
                    self.answer(now, id, Reply::Served(body));
                    self.forget(now, id);
                }
                Due::Tell(event) => self.tell(now, event),
                Due::Restricted(host, told) => self.restricted(now, host, told),
            }
        }
    }

    /// A host counts as others know it, or again as the own list has it.
    fn restricted(&mut self, now: Moment, host: HostId, told: Option<(HostState, Option<Moment>)>) {
        let entries = self.pools.entries();
        let Some(mut entry) = entries.into_iter().find(|entry| entry.host == host) else {
            return;
        };
        if let Some((state, started)) = told {
            (entry.state, entry.started) = (state, started);
        }
        info!(self.log, "host restricted"; "host" => format!("{:x}", host.0), "by_others" => told.is_some());
        let (form, entries) = (ListForm::Changes, vec![entry]);
        self.tell(now, Event::Hosts { form, entries });
    }

    /// What the operator's file says of traffic between zones: counts and what is open are kept.
    fn zones(&mut self, told: Option<Box<(ZonesSheet, Rules)>>) {
        let now = self.clock.moment(Instant::now());
        let Some((accounts, terms, seed)) = &mut self.accounts else {
            return;
        };
        let crossings = &mut self.decisions.crossings.zones;
        let Some(told) = told else {
            if crossings.take().is_some() {
                info!(self.log, "zones are off");
            }
            return;
        };
        let (sheet, rules) = *told;
        accounts.follow(&sheet);
        info!(self.log, "zones are on"; "file" => &sheet.file, "limits" => rules.limits.len());
        match crossings {
            Some(zones) => zones.change(now, rules),
            None => {
                let mut zones = Zones::new(terms, rules, *seed);
                let form = ListForm::Whole;
                let entries = self.pools.entries();
                zones.heard(now, &Event::Hosts { form, entries });
                *crossings = Some(zones);
            }
        }
    }

    fn account(&mut self, instant: Instant) {
        let now = self.clock.moment(instant);
        if let (Some((accounts, ..)), Some(zones)) =
            (&mut self.accounts, &mut self.decisions.crossings.zones)
        {
            accounts.advance(zones, now, instant);
        }
    }

    fn last_account(&mut self) {
        let now = self.clock.moment(Instant::now());
        if let (Some((accounts, ..)), Some(zones)) =
            (&mut self.accounts, &mut self.decisions.crossings.zones)
        {
            accounts.tell(zones, now);
        }
    }

    fn longest_limit(&self) -> Duration {
        Duration::from_micros(self.pools.shared.bounds.longest_limit.0)
    }

    fn next_timer(&self) -> Instant {
        let state = &self.state;
        let limit = state.limits.first().map(|&(at, _)| at);
        let wake = state.wakes.first().map(|&(at, _)| at);
        let shared = self.decisions.crossings.next();
        let timed = [limit, wake, shared]
            .into_iter()
            .flatten()
            .map(|at| self.clock.instant(at));
        let ending = state.ending.map(|asked| match state.finished {
            true => asked + STILL_COMING + self.longest_limit(),
            false => (asked + STILL_COMING).max(Instant::now() + Duration::from_millis(10)),
        });
        let all = timed.chain(self.pools.next_expiry()).chain(ending);
        all.min().unwrap_or_else(|| Instant::now() + REPORT_EVERY)
    }

    fn tell(&mut self, now: Moment, event: Event) {
        self.state.told = true;
        self.decisions.take(now, event);
    }

    fn take(&mut self, now: Moment, inbound: Inbound) {
        match inbound {
            Inbound::Client(from) => self.client(now, from),
            Inbound::Server(FromServer::Probed {
                id,
                host,
                ending,
                report,
            }) => {
                if self.pools.probed(host, id) {
                    let load = self.reports.load(&report);
                    self.tell(now, Event::Probed { host, ending, load });
                }
            }
            Inbound::Server(told) => {
                if let Some((id, line, answer)) = self.pools.told(told) {
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
                info!(self.log, "asked to end"; "open" => self.state.accesses.len());
                self.state.ending.get_or_insert_with(Instant::now);
            }
            Inbound::AllIn => self.state.all_in = true,
        }
    }

    fn client(&mut self, now: Moment, from: FromClient) {
        match from {
            FromClient::Opened(client, replies) => {
                if self.state.finished {
                    let _ = replies.send(ToClient::Finish);
                }
                let (proven, shut) = (false, false);
                let opened = Client {
                    replies,
                    proven,
                    shut,
                };
                self.state.clients.insert(client, opened);
            }
            FromClient::Called(call) => self.arrived(now, call),
            FromClient::Revoked(call) => self.left(now, call),
            FromClient::Shut(client) => self.shut(now, client),
            FromClient::Closed(client) => {
                self.state.clients.remove(&client);
                for (call, _) in self.calls_of(client) {
                    self.left(now, call);
                }
            }
        }
    }

    fn calls_of(&self, client: ClientId) -> Vec<(CallId, RequestId)> {
        let (first, last) = (0, u32::MAX);
        let all = [first, last].map(|number| CallId { client, number });
        let calls = self.state.calls.range(all[0]..=all[1]);
        calls.map(|(&call, &id)| (call, id)).collect()
    }

    /// A client that ends its side may have gone or may still listen; nobody can tell. What is under way may end and is
    /// answered, and nothing begins: what has not begun is recalled, and what was between two hand-offs ends.
    fn shut(&mut self, now: Moment, client: ClientId) {
        if let Some(known) = self.state.clients.get_mut(&client) {
            known.shut = true;
        }
        for (_, id) in self.calls_of(client) {
            if !self.recall(id) {
                self.answer(now, id, Reply::Failed);
                self.tell(now, Event::Left { id });
                self.forget(now, id);
            }
        }
    }

    /// Drops what of a request is not begun, also where the settings allow no withdrawal of what is. Whether any
    /// attempt of it had not ended.
    fn recall(&mut self, access: RequestId) -> bool {
        let open = self.state.accesses.get(&access);
        let mut any = false;
        for no in open.into_iter().flat_map(Request::out) {
            self.pools.recall(AttemptId { access, no });
            any = true;
        }
        any
    }

    fn arrived(&mut self, now: Moment, call: Call) {
        count(&self.counts.accesses);
        if self.state.accesses.len() >= self.pools.shared.bounds.max_open {
            count(&self.counts.rejected);
            return self.reply(call.id, Reply::Refused { come_back: None });
        }
        if !self.state.references.insert(call.reference.clone()) {
            count(&self.counts.bad_clients);
            count(&self.counts.ids_again);
            return self.reply(call.id, Reply::Failed);
        }
        self.state.next += 1;
        let id = RequestId(self.state.next);
        let limit = self.clock.moment(call.come) + call.left;
        let arrival = Arrival {
            id,
            left: limit.since(now),
            track: call.track,
            object: call.object,
            group: call.group,
            part: call.part,
            size_kb: call.size_kb,
        };
        self.state.limits.insert((limit, id));
        self.state.calls.insert(call.id, id);
        let keyed = self.effects[usize::from(call.track.0)] != Effect::Idempotent;
        let mark = call.mark.clone().filter(|_| keyed);
        let (closed, hand_offs) = (false, Vec::new());
        self.state.accesses.insert(
            id,
            Request {
                call: Rc::new(call),
                limit,
                closed,
                hand_offs,
            },
        );
        let held = mark.is_some_and(|mark| self.decisions.crossings.come(now, arrival, &mark));
        if !held {
            self.tell(now, Event::Arrived(arrival));
        }
    }

    fn left(&mut self, now: Moment, call: CallId) {
        if let Some(id) = self.state.calls.remove(&call) {
            count(&self.counts.left);
            self.came(now, id, None);
            self.recall(id);
            self.close(id);
            self.tell(now, Event::Left { id });
            self.forget(now, id);
        }
    }

    /// No answer is owed any more; what is out may still end.
    fn close(&mut self, id: RequestId) {
        if let Some(access) = self.state.accesses.get_mut(&id) {
            must(!access.closed, &self.counts.broken_two_finals);
            access.closed = true;
            access.call.over.set(true);
            self.state.calls.remove(&access.call.id);
            self.state.limits.remove(&(access.limit, id));
        }
    }

    fn forget(&mut self, now: Moment, id: RequestId) {
        let longest = self.pools.shared.bounds.longest_limit;
        let over = |access: &Request| access.closed && access.out().next().is_none();
        if self.state.accesses.get(&id).is_some_and(over)
            && let Some(access) = self.state.accesses.remove(&id)
        {
            let reference = access.call.reference.clone();
            // No host has it longer than its time or the longest one; a client that says it waits for an hour must
            // not make all that ends behind it be remembered as long.
            let until = access.limit.min(now + longest) + longest;
            self.state.fading.push_back((until, reference));
            let most = self.pools.shared.bounds.max_open;
            if self.state.fading.len() > most
                && let Some((_, oldest)) = self.state.fading.pop_front()
            {
                self.state.references.remove(&oldest);
            }
        }
    }

    fn reply(&mut self, call: CallId, reply: Reply) {
        if let Some(client) = self.state.clients.get_mut(&call.client) {
            client.proven |= matches!(reply, Reply::Served(_) | Reply::Same);
            let _ = client.replies.send(ToClient::Reply(call.number, reply));
        }
    }

    /// Others are to know what came of it.
    fn came(&mut self, now: Moment, id: RequestId, done: Option<&[u8]>) {
        let beside = &mut self.decisions.crossings;
        if let Some(access) = self.state.accesses.get(&id)
            && access.call.mark.is_some()
            && beside.knows_keys()
        {
            let ran = access.hand_offs.iter().any(|hand_off| hand_off.ran);
            beside.ended(now, id, &came(done, ran));
        }
    }

    /// The one final answer of an access.
    fn answer(&mut self, now: Moment, id: RequestId, reply: Reply) {
        let Some(access) = self.state.accesses.get(&id).filter(|access| !access.closed) else {
            return;
        };
        if now.since(access.limit) > Span::from_millis(50) {
            count(&self.counts.late_finals);
        }
        let call = access.call.id;
        self.came(
            now,
            id,
            match &reply {
                Reply::Served(body) => Some(body.bytes()),
                _ => None,
            },
        );
        count(match &reply {
            Reply::Served(_) | Reply::Same => &self.counts.done,
            Reply::Refused { .. } => &self.counts.rejected,
            Reply::Failed => &self.counts.aborted,
        });
        self.close(id);
        self.reply(call, reply);
    }

    fn ended(&mut self, now: Moment, id: AttemptId, line: Option<LineId>, answer: Answer) {
        let ending = answer.ending;
        let access = self.state.accesses.get_mut(&id.access);
        let hand_off = access.and_then(|access| access.hand_offs.get_mut(usize::from(id.no.0)));
        let Some(hand_off) = hand_off.filter(|hand_off| !hand_off.over) else {
            return;
        };
        hand_off.over = true;
        hand_off.ran = !ending.never_ran();
        hand_off.line = line;
        let took = now.since(hand_off.sent);
        match ending {
            Ending::Lost => count(&self.counts.lost),
            Ending::NotSent => count(&self.counts.not_sent),
            Ending::NoConnection => count(&self.counts.no_connection),
            Ending::Withdrawn => count(&self.counts.withdrawn),
            Ending::TimedOut => count(&self.counts.timed_out),
            _ => {}
        }
        debug!(self.log, "ended"; "access" => id.access.0, "host" => format!("{:x}", hand_off.host.0),
            "ending" => ?ending, "note" => ?answer.note, "took" => took.0);
        let came_kb = answer.body.as_ref();
        let came_kb = came_kb.map(|body| body.bytes().len() as f64 / 1024.0);
        if ending == Ending::Done {
            self.answer(
                now,
                id.access,
                answer.body.map_or(Reply::Same, Reply::Served),
            );
        }
        if self.client_of(id.access).is_some_and(|client| client.shut) {
            // Nothing more begins for it.
            self.answer(now, id.access, Reply::Failed);
        }
        let access = self.state.accesses.get(&id.access);
        let closed = access.is_none_or(|access| access.closed);
        let proven = self
            .client_of(id.access)
            .is_some_and(|client| client.proven);
        let load = self.reports.load(&answer.report);
        self.tell(
            now,
            Event::Outcome(Outcome {
                id: id.access,
                hand_off: id.no,
                ending,
                took,
                closed,
                note: answer.note,
                waited: answer.waited,
                load,
                proven,
                came_kb,
            }),
        );
        self.forget(now, id.access);
    }

    fn client_of(&self, id: RequestId) -> Option<&Client> {
        let access = self.state.accesses.get(&id)?;
        self.state.clients.get(&access.call.id.client)
    }

    fn journal(&mut self, now: Moment, entry: Entry) {
        let (mut purged, mut listed, mut recalls) = (None, false, Vec::new());
        self.state.place = self.state.place.max(entry.pos);
        match entry.change {
            Change::Hosts {
                form,
                members,
                unread,
            } => {
                listed = true;
                self.pools.list(form, &members);
                for _ in 0..unread {
                    count(&self.counts.bad_entries);
                }
                let entries: Vec<HostEntry> = members.iter().map(|member| member.entry).collect();
                let told = Event::Hosts {
                    form,
                    entries: entries.clone(),
                };
                self.tell(now, told);
                if let Some(peers) = &mut self.decisions.crossings.peers {
                    peers.listed(now, &entries, entry.pos);
                }
            }
            Change::Purged { object, group, at } => {
                purged = Some((object, group));
                let ago = now.since(at);
                self.tell(now, Event::Purged { object, group, ago });
                if let Some(peers) = &mut self.decisions.crossings.peers {
                    peers.purged(now, object, group, at);
                }
            }
        }
        // What waits for a dial or for room is dropped; what has begun to go out runs on.
        for (&access, open) in &self.state.accesses {
            let purged = match purged {
                Some((Some(object), _)) => open.call.object == object,
                Some((None, group)) => open.call.group == group,
                None => false,
            };
            for (no, hand_off) in (0..).map(AttemptNo).zip(&open.hand_offs) {
                let hosts = [Some(hand_off.host), hand_off.source];
                let unready = || {
                    hosts
                        .iter()
                        .flatten()
                        .any(|&host| !self.pools.is_ready(host))
                };
                if !hand_off.over && (purged || listed && unready()) {
                    recalls.push(AttemptId { access, no });
                }
            }
        }
        recalls.into_iter().for_each(|id| self.pools.recall(id));
    }

    /// What is due by now: waits for connections, outer limits, wake-ups.
    fn pass_time(&mut self, now: Moment) {
        self.pools.expire(self.clock.instant(now));
        while let Some((_, id)) = self.state.fading.pop_front_if(|(until, _)| *until <= now) {
            self.state.references.remove(&id);
        }
        let due: Vec<RequestId> = {
            let due = self.state.limits.iter().take_while(|(at, _)| *at <= now);
            due.map(|&(_, id)| id).collect()
        };
        for id in due {
            let Some(access) = self.state.accesses.get(&id) else {
                continue;
            };
            let out: Vec<AttemptNo> = access.out().collect();
            self.state.limits.remove(&(access.limit, id));
            for no in out {
                let hand_off = AttemptId { access: id, no };
                self.pools.kill(hand_off);
                self.ended(now, hand_off, None, Answer::bare(Ending::TimedOut));
            }
            // The decisions give the final answer, woken by their own timer or by this.
            self.tell(now, Event::Woken { wake: WakeId(0) });
        }
        while let Some(&(at, wake)) = self.state.wakes.first().filter(|(at, _)| *at <= now) {
            self.state.wakes.remove(&(at, wake));
            self.tell(now, Event::Woken { wake });
        }
    }

    fn settle(&mut self, now: Moment) {
        self.share(now);
        if !std::mem::take(&mut self.state.told) {
            return;
        }
        for action in self.decisions.settle(now) {
            match action {
                Action::Attempt(hand_off) => self.hand_off(now, hand_off),
                Action::Refuse { id, come_back } => {
                    self.answer(now, id, Reply::Refused { come_back });
                    self.forget(now, id);
                }
                Action::Fail { id } => {
                    self.answer(now, id, Reply::Failed);
                    self.forget(now, id);
                }
                Action::Withdraw { id, hand_off } => {
                    let (access, no) = (id, hand_off);
                    self.pools.kill(AttemptId { access, no });
                }
                Action::Wake { at, wake } => {
                    self.state.wakes.insert((at, wake));
                }
                Action::Probe { host } => self.pools.probe(host),
                // The list comes by itself.
                Action::FollowList => {}
                Action::Log { text } => info!(self.log, "decided"; "what" => text),
            }
        }
    }

    fn hand_off(&mut self, now: Moment, hand_off: Attempt) {
        let Attempt { id, host, fill } = hand_off;
        let access = self.state.accesses.get_mut(&id);
        let access = access.filter(|access| !access.closed);
        must(access.is_some(), &self.counts.broken_sent_after_end);
        let Some(access) = access else {
            return;
        };
        let bounds = &self.pools.shared.bounds;
        let track = usize::from(access.call.track.0);
        let source = fill
            .map(|fill| fill.source)
            .filter(|&source| source != host);
        let name = source.and_then(|source| self.pools.name(source));
        let named = name.is_some() == source.is_some();
        must(named, &self.counts.broken_unknown_host);
        // A repeat is known for a while only; a wait for a connection may outlast that.
        let earlier = access.hand_offs.iter();
        let ran = earlier
            .clone()
            .filter(|earlier| earlier.ran)
            .map(|earlier| earlier.sent);
        let begin_by = match self.effects[track] {
            Effect::Keyed { window, .. } => ran.min().map(|first| first + window),
            _ => None,
        };
        let sending = Sending {
            id: AttemptId {
                access: id,
                no: AttemptNo(access.hand_offs.len() as u8),
            },
            host,
            call: access.call.clone(),
            track: bounds.track_names[track].as_str().into(),
            fill,
            source: name,
            limit: self.clock.instant(access.limit),
            begin_by: begin_by.map(|by| self.clock.instant(by)),
            avoid: earlier.filter_map(|earlier| earlier.line).collect(),
        };
        access.hand_offs.push(AttemptState {
            host,
            source,
            sent: now,
            line: None,
            over: false,
            ran: true,
        });
        self.decisions.crossings.went(now, id, host);
        self.pools.submit(sending);
    }

    fn report(&self) {
        let (out, lines, pools) = self.pools.sizes();
        let state = &self.state;
        info!(self.log, "figures"; "counts" => self.counts.words(), "open" => state.accesses.len(),
            "calls" => state.calls.len(), "clients" => state.clients.len(), "out" => out,
            "lines" => lines, "pools" => pools, "ids" => state.references.len(), "timers" => state.limits.len() + state.wakes.len(),
            "held" => self.pools.shared.held.bytes(), "process" => process_figures());
        if let Some(shared) = &self.decisions.crossings.shared {
            info!(self.log, "store counts"; "what" => shared.figures());
        }
        let now = self.clock.moment(Instant::now());
        if let Some(peers) = &self.decisions.crossings.peers {
            info!(self.log, "peers counts"; "what" => peers.figures(now));
        }
        if let Some(divided) = &self.decisions.crossings.divided {
            for line in divided
                .following
                .show(now)
                .lines()
                .filter(|line| line.starts_with("budget"))
            {
                info!(self.log, "budgets"; "is" => line);
            }
        }
    }
}

/// Resident memory with its peak, descriptors and processor time, as the system tells them.
fn process_figures() -> String {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let field = |name: &str| {
        let line = status.lines().find(|line| line.starts_with(name));
        line.and_then(|line| line.split_whitespace().nth(1))
            .unwrap_or("?")
            .to_owned()
    };
    let descriptors = std::fs::read_dir("/proc/self/fd").map_or(0, |dir| dir.count());
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let ticks = stat.rsplit(')').next().unwrap_or("").split_whitespace();
    let ticks: u64 = ticks
        .skip(11)
        .take(2)
        .filter_map(|n| n.parse::<u64>().ok())
        .sum();
    let (now, peak) = (field("VmRSS:"), field("VmHWM:"));
    format!("rss_kb={now} peak_kb={peak} descriptors={descriptors} cpu_ticks={ticks}")
}
