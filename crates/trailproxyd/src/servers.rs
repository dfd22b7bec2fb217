//! Cache hosts, parents and the origin: RESP over pools of connections, a pool a host.

use crate::checks::{count, must};
use crate::link::Link;
use crate::link_context::Shared;
use crate::messages::*;
use crate::system_calls::errno;
use local_channel::mpsc::{self, SendError};
use std::cell::Cell;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};
use trailproxy::interface::*;
use trailproxy::policy::system_errors::{self, ConnectError, classify_connect_error};
use trailproxy::units::*;

/// So many attempts share a connection before another is dialled, as descriptors allow. More are lost
/// with one spoilt answer; fewer leave connections idle, which hosts close, and new ones are less sure.
const TOGETHER: usize = 2;

/// How long a dial waits that failed for a reason of this side.
const DIAL_RETRY_DELAY: Duration = Duration::from_micros(system_errors::DIAL_RETRY_DELAY.0);

/// One connection, as its pool knows it.
struct Line {
    id: ConnectionId,
    orders: mpsc::Sender<ToHost>,
    open: usize,
    retired: bool,
    /// Since when it is up.
    up: Timestamp,
}

struct Pool {
    member: ListedHost,
    lines: Vec<Line>,
    /// Waiting for a connection, and until when.
    waiting: VecDeque<(Instant, AttemptRequest)>,
    dialing: usize,
    /// Whether the last dial failed for a reason of this side.
    lacking: bool,
    probe: Option<Probe>,
}

impl Pool {
    /// Whoever waits is told at once that the host refuses.
    fn refused(&mut self, shared: &Shared, host: HostId) {
        let waits = |probe: &&mut Probe| probe.is == ProbeIs::Waiting;
        if let Some(probe) = self.probe.as_mut().filter(waits) {
            probe.ended(shared, host);
        }
        for (_, sending) in self.waiting.drain(..) {
            shared.dropped(&sending, Ending::NoConnection);
        }
    }
}

/// A probe of one host.
struct Probe {
    id: ProbeId,
    until: Instant,
    is: ProbeIs,
}

impl Probe {
    /// Tells the end of a probe that no answer ended, once.
    fn ended(&mut self, shared: &Shared, host: HostId) {
        let ending = match std::mem::replace(&mut self.is, ProbeIs::Over) {
            ProbeIs::Waiting => Ending::NoConnection,
            ProbeIs::Out => Ending::TimedOut,
            ProbeIs::Over => return,
        };
        shared.probed(self.id, host, ending, vec![]);
    }
}

#[derive(PartialEq)]
enum ProbeIs {
    Waiting,
    /// A connection has it.
    Out,
    /// Its end is told, and on its way in the queue.
    Over,
}

pub struct Pools {
    pub shared: Rc<Shared>,
    pools: BTreeMap<HostId, Pool>,
    /// Where each open attempt is.
    places: BTreeMap<AttemptId, (HostId, Option<ConnectionId>)>,
    lines: usize,
    next: u64,
}

impl Pools {
    pub fn new(shared: Rc<Shared>) -> Pools {
        Pools {
            shared,
            pools: BTreeMap::new(),
            places: BTreeMap::new(),
            lines: 0,
            next: 0,
        }
    }

    /// Open attempts and connections, for the log.
    pub fn sizes(&self) -> (usize, usize, usize) {
        (self.places.len(), self.lines, self.pools.len())
    }

    /// Takes a change of the host list. Pools go by host: another host may come to a gone one's address.
    /// What waits for a host that is not ready any more is recalled by the one who sent it.
    pub fn list(&mut self, form: HostListKind, members: &[ListedHost]) {
        if form == HostListKind::Full {
            let gone = |pool: &mut Pool| pool.member.entry.state = HostState::Gone;
            self.pools.values_mut().for_each(gone);
        }
        for member in members {
            let fresh = || Pool {
                member: member.clone(),
                lines: Vec::new(),
                waiting: VecDeque::new(),
                dialing: 0,
                lacking: false,
                probe: None,
            };
            let pool = self.pools.entry(member.entry.host).or_insert_with(fresh);
            let moved = pool.member.address != member.address;
            // The best guess, not the safe one: a wrong clock costs a few requests here and breaks no rule.
            let started = member.entry.stamp.unwrap_or_default();
            if moved || pool.member.entry.stamp != member.entry.stamp {
                // What its former process had is lost with it, though a silent machine never says so. The
                // list may tell late: what came up since is to the new process.
                let former = |line: &&mut Line| moved || line.up < started;
                for line in pool.lines.iter_mut().filter(former) {
                    line.retired = true;
                    let _ = line.orders.send(ToHost::HostGone);
                }
            }
            let same = pool.member.name == member.name;
            must(same, &self.shared.counts.broken_same_host_id);
            pool.member = member.clone();
        }
        for pool in self.pools.values_mut() {
            if pool.member.entry.state != HostState::Ready {
                for line in &mut pool.lines {
                    line.retired = true;
                    let _ = line.orders.send(ToHost::Retire);
                }
            }
        }
        self.forget();
    }

    fn forget(&mut self) {
        self.pools.retain(|_, pool| {
            let idle = pool.lines.is_empty() && pool.waiting.is_empty() && pool.dialing == 0;
            !idle || pool.member.entry.state != HostState::Gone
        });
    }

    pub fn is_ready(&self, host: HostId) -> bool {
        let pool = self.pools.get(&host);
        pool.is_some_and(|pool| pool.member.entry.state == HostState::Ready)
    }

    /// All hosts as the list told them last.
    pub fn entries(&self) -> Vec<HostEntry> {
        self.pools.values().map(|pool| pool.member.entry).collect()
    }

    /// The name by which a host is known to others.
    pub fn name(&self, host: HostId) -> Option<Rc<str>> {
        self.pools.get(&host).map(|pool| pool.member.name.clone())
    }

    pub fn submit(&mut self, sending: AttemptRequest) {
        let (id, host) = (sending.id, sending.host);
        let until = Instant::now() + self.shared.dial_within();
        let ready = |pool: &&mut Pool| pool.member.entry.state == HostState::Ready;
        let pool = self.pools.get_mut(&host).filter(ready);
        must(pool.is_some(), &self.shared.counts.broken_sent_to_drained);
        self.places.insert(id, (host, None));
        let Some(pool) = pool else {
            return self.shared.dropped(&sending, Ending::NotSent);
        };
        count(&self.shared.counts.hand_offs);
        pool.waiting.push_back((until, sending));
        self.assign(host);
    }

    /// Asks a host for its load, one at a time: while one is out, another is not wanted. It takes a connection
    /// that is up, else one is dialled for it, within the descriptors that attempts leave.
    pub fn probe(&mut self, host: HostId) {
        let until = Instant::now() + self.shared.dial_within();
        self.next += 1;
        let id = ProbeId(self.next);
        let ready = |pool: &&mut Pool| pool.member.entry.state == HostState::Ready;
        let pool = self.pools.get_mut(&host).filter(ready);
        if let Some(pool) = pool.filter(|pool| pool.probe.is_none()) {
            count(&self.shared.counts.probes);
            let is = ProbeIs::Waiting;
            pool.probe = Some(Probe { id, until, is });
            self.assign(host);
        }
    }

    /// Gives what waits to connections, and dials for the rest. An answer that can't be read ends all
    /// that is open on its connection, so each attempt has one to itself as far as descriptors go.
    fn assign(&mut self, host: HostId) {
        let within = self.shared.dial_within();
        let share = (self.shared.most_lines / self.pools.len().max(1)).max(1);
        let free = self.shared.most_lines.saturating_sub(self.lines);
        let Some(pool) = self.pools.get_mut(&host) else {
            return;
        };
        let most = self.shared.bounds.max_streams;
        let dials = pool.dialing
            + share
                .saturating_sub(pool.lines.len() + pool.dialing)
                .min(free);
        let mut left = VecDeque::new();
        while let Some((until, sending)) = pool.waiting.pop_front() {
            let fits = |line: &&mut Line| {
                !line.retired && line.open < most && !sending.avoid_connections.contains(&line.id)
            };
            let lines = pool.lines.iter_mut().filter(fits);
            match lines.min_by_key(|line| line.open) {
                Some(line) if line.open < TOGETHER || left.len() >= dials => {
                    let id = sending.id;
                    match line.orders.send(ToHost::Send(sending)) {
                        Ok(()) => {
                            self.places.insert(id, (host, Some(line.id)));
                            line.open += 1;
                        }
                        // It has ended, and word of that stands behind in the queue: what it was given would
                        // be held by nobody.
                        Err(SendError(order)) => {
                            line.retired = true;
                            if let ToHost::Send(sending) = order {
                                pool.waiting.push_front((until, sending));
                            }
                        }
                    }
                }
                _ => left.push_back((until, sending)),
            }
        }
        pool.waiting = left;
        let mut wanted = pool.waiting.len();
        let waits = |probe: &&mut Probe| probe.is == ProbeIs::Waiting;
        if let Some(probe) = pool.probe.as_mut().filter(waits) {
            match pool.lines.iter().find(|line| !line.retired) {
                Some(line) if line.orders.send(ToHost::Probe(probe.id)).is_ok() => {
                    probe.is = ProbeIs::Out;
                }
                _ => wanted += 1,
            }
        }
        while pool.dialing < wanted.min(dials) {
            pool.dialing += 1;
            self.lines += 1;
            self.next += 1;
            count(&self.shared.counts.dials);
            let (queue, line) = (self.shared.queue.clone(), ConnectionId(self.next));
            tokio::task::spawn_local(dial(pool.member.address, within, host, line, queue));
        }
    }

    /// Ends the wait of attempts that no connection came up for in time.
    pub fn expire(&mut self, now: Instant) {
        let shared = &self.shared;
        for (&host, pool) in &mut self.pools {
            let due = |probe: &&mut Probe| probe.until <= now;
            if let Some(probe) = pool.probe.as_mut().filter(due) {
                probe.ended(shared, host);
            }
            pool.waiting.retain(|(until, sending)| {
                match sending.may_send(&shared.clock, now) {
                    Err(why) => {
                        shared
                            .trace
                            .denied(&sending.request, sending.id, why.as_str());
                        shared.dropped(sending, Ending::NotSent);
                    }
                    // The host is not to blame for what was lacking here.
                    Ok(()) if *until <= now && pool.lacking => {
                        shared.dropped(sending, Ending::NotSent);
                    }
                    Ok(()) if *until <= now => shared.dropped(sending, Ending::NoConnection),
                    Ok(()) => return true,
                }
                false
            });
        }
    }

    /// When the next wait is over.
    pub fn next_expiry(&self) -> Option<Instant> {
        let waiting = self.pools.values().flat_map(|pool| &pool.waiting);
        let clock = &self.shared.clock;
        let over =
            |(until, sending): &(Instant, AttemptRequest)| sending.latest_send(clock).min(*until);
        let probes = self.pools.values().filter_map(|pool| pool.probe.as_ref());
        let probes = probes.filter(|probe| probe.is != ProbeIs::Over);
        waiting
            .map(over)
            .chain(probes.map(|probe| probe.until))
            .min()
    }

    /// Gives an attempt up; its ending comes by the queue.
    pub fn kill(&mut self, id: AttemptId) {
        self.order(id, ToHost::Cancel(id));
    }

    /// Drops an attempt of which nothing is written yet.
    pub fn recall(&mut self, id: AttemptId) {
        self.order(id, ToHost::CancelUnsent(id));
    }

    fn order(&mut self, id: AttemptId, order: ToHost) {
        let Some(&(host, line)) = self.places.get(&id) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(&host) else {
            return;
        };
        match line {
            Some(line) => {
                if let Some(line) = pool.lines.iter().find(|known| known.id == line) {
                    let _ = line.orders.send(order);
                }
            }
            None => {
                let at = pool
                    .waiting
                    .iter()
                    .position(|(_, sending)| sending.id == id);
                if let Some((_, sending)) = at.and_then(|at| pool.waiting.remove(at)) {
                    self.shared.dropped(&sending, Ending::NotSent);
                }
            }
        }
    }

    /// Whether this is the probe that is out there; what comes of one later than its end is not.
    pub fn probed(&mut self, host: HostId, id: ProbeId) -> bool {
        let pool = self.pools.get_mut(&host);
        pool.and_then(|pool| pool.probe.take_if(|probe| probe.id == id))
            .is_some()
    }

    /// What a connection or a dial tells; an answer is handed back, once for each attempt.
    pub fn told(&mut self, told: FromHost) -> Option<(AttemptId, Option<ConnectionId>, Answer)> {
        match told {
            FromHost::Dialled {
                host,
                connection: line,
                address,
                result: dialled,
            } => {
                // The host has moved since: whoever is there now is another.
                let pool = self.pools.get(&host);
                let moved = pool.is_some_and(|pool| pool.member.address != address);
                let dialled = if moved { DialResult::TimedOut } else { dialled };
                self.dialled(host, line, dialled);
                None
            }
            FromHost::AttemptEnded {
                id,
                host,
                connection: line,
                answer,
            } => {
                if let (Some(pool), Some(line)) = (self.pools.get_mut(&host), line) {
                    if let Some(line) = pool.lines.iter_mut().find(|known| known.id == line) {
                        line.open -= 1;
                    }
                    if !pool.waiting.is_empty() {
                        self.assign(host);
                    }
                }
                if line.is_none() {
                    self.forget();
                }
                self.places.remove(&id).map(|_| (id, line, answer))
            }
            // It has its owner's ear by itself.
            FromHost::Probed { .. } => None,
            FromHost::Unusable {
                host,
                connection: line,
            } => {
                if let Some(pool) = self.pools.get_mut(&host) {
                    for known in pool.lines.iter_mut().filter(|known| known.id == line) {
                        known.retired = true;
                        let _ = known.orders.send(ToHost::Retire);
                    }
                }
                None
            }
            FromHost::Closed {
                host,
                connection: line,
            } => {
                self.lines -= 1;
                if let Some(pool) = self.pools.get_mut(&host) {
                    pool.lines.retain(|known| known.id != line);
                }
                self.forget();
                let waiting: Vec<HostId> = self.pools.keys().copied().collect();
                waiting.into_iter().for_each(|host| self.assign(host));
                None
            }
        }
    }

    fn dialled(&mut self, host: HostId, id: ConnectionId, dialled: DialResult) {
        match (self.pools.get_mut(&host), dialled) {
            (Some(pool), DialResult::Connected(stream)) => {
                pool.dialing -= 1;
                pool.lacking = false;
                self.came_up(host, id, stream);
            }
            (Some(pool), failed) => {
                self.lines -= 1;
                pool.dialing -= 1;
                pool.lacking = matches!(failed, DialResult::LocalShortage);
                if matches!(failed, DialResult::Refused) {
                    pool.refused(&self.shared, host);
                }
                self.assign(host);
                self.forget();
            }
            (None, _) => self.lines -= 1,
        }
    }

    /// A connection is up.
    fn came_up(&mut self, host: HostId, id: ConnectionId, stream: TcpStream) {
        let Some(pool) = self.pools.get_mut(&host) else {
            return;
        };
        let (orders_in, orders) = mpsc::channel();
        let retired = pool.member.entry.state != HostState::Ready;
        if retired {
            let _ = orders_in.send(ToHost::Retire);
        }
        pool.lines.push(Line {
            id,
            orders: orders_in,
            open: 0,
            retired,
            up: self.shared.clock.timestamp(Instant::now()),
        });
        let link = Link::new(host, id, stream, orders, self.shared.clone());
        tokio::task::spawn_local(link.serve());
        self.assign(host);
    }
}

async fn dial(
    address: SocketAddr,
    within: Duration,
    host: HostId,
    line: ConnectionId,
    queue: InboundSender,
) {
    let lacking = Cell::new(false);
    let dialled = match timeout(within, connect(address, &lacking)).await {
        Ok(Ok(stream)) => {
            let _ = stream.set_nodelay(true);
            DialResult::Connected(stream)
        }
        Ok(Err(_)) => DialResult::Refused,
        Err(_) if lacking.get() => DialResult::LocalShortage,
        Err(_) => DialResult::TimedOut,
    };
    let _ = queue.send(Inbound::Host(FromHost::Dialled {
        host,
        connection: line,
        address,
        result: dialled,
    }));
}

/// Connects, again and again while it fails for a reason of this side, which is noted in `lacking`.
async fn connect(address: SocketAddr, lacking: &Cell<bool>) -> std::io::Result<TcpStream> {
    loop {
        lacking.set(false);
        let error = match TcpStream::connect(address).await {
            Ok(stream) => return Ok(stream),
            Err(error) => error,
        };
        if classify_connect_error(errno(&error)) == ConnectError::Remote {
            return Err(error);
        }
        lacking.set(true);
        sleep(DIAL_RETRY_DELAY).await;
    }
}
