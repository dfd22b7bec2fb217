//! Pools of connections to cache hosts, parents and the origin, one pool per host.
//!
//! A pool assigns attempts and probes to its connections and dials new connections as descriptors allow.

use crate::checks::{check_invariant, count};
use crate::host_connection::HostConnection;
use crate::host_context::HostContext;
use crate::messages::*;
use crate::system_calls::errno;
use local_channel::mpsc::{self, SendError};
use slog::info;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};
use trailproxy::interface::*;
use trailproxy::policy::Role;
use trailproxy::policy::replaced_hosts::{HostAddress, replaced_hosts};
use trailproxy::policy::system_errors::{self, ConnectError, classify_connect_error};
use trailproxy::units::*;

/// The number of attempts that share a connection before another one is dialled, as descriptors allow. With more, one
/// malformed answer loses more attempts. With fewer, more connections are idle, hosts close them, and attempts depend on
/// new connections, which are less reliable.
const TARGET_ATTEMPTS_PER_CONNECTION: usize = 2;

/// How long a dial pauses after it failed because of a shortage on this side.
const DIAL_RETRY_DELAY: Duration = Duration::from_micros(system_errors::DIAL_RETRY_DELAY.0);

/// One connection as its pool knows it.
struct PooledConnection {
    id: ConnectionId,
    orders: mpsc::Sender<ToHost>,
    /// The number of attempts that were assigned to it and have not ended.
    open: usize,
    retired: bool,
    /// When the connection was established.
    connected_at: Timestamp,
}

/// The connections to one host.
struct Pool {
    member: ListedHost,
    connections: Vec<PooledConnection>,
    /// Attempts that wait for a connection, each with the time at which the wait ends.
    waiting: VecDeque<(Instant, AttemptRequest)>,
    /// The number of dials in progress.
    dialing: usize,
    /// Whether the last dial failed because of a shortage on this side.
    local_shortage: bool,
    probe: Option<Probe>,
}

impl Pool {
    /// Returns the index of the connection that takes the next attempt, among those that are not to be avoided: the one
    /// with the fewest attempts.
    fn least_used(&self, max_streams: usize, avoid: &[ConnectionId]) -> Option<usize> {
        let fits = |(_, connection): &(usize, &PooledConnection)| {
            !connection.retired && connection.open < max_streams && !avoid.contains(&connection.id)
        };
        let candidates = self.connections.iter().enumerate().filter(fits);
        let least = candidates.min_by_key(|(_, connection)| connection.open)?;
        Some(least.0)
    }

    /// Gives waiting attempts to connections, and returns which went where. Up to `max_dials` rather wait for a connection
    /// that is being dialled than share one. What does not fit on any connection is not looked at one by one, because there
    /// may be thousands.
    fn assign_waiting(
        &mut self,
        max_streams: usize,
        max_dials: usize,
    ) -> Vec<(AttemptId, ConnectionId)> {
        let (mut assigned, mut passed_over) = (Vec::new(), Vec::new());
        let mut least = self.least_used(max_streams, &[]);
        while least.is_some()
            && let Some((until, attempt)) = self.waiting.pop_front()
        {
            let chosen = match attempt.avoid_connections.as_slice() {
                [] => least,
                avoid => self.least_used(max_streams, avoid),
            };
            let may_share = passed_over.len() >= max_dials;
            let is_free = |index: &usize| {
                self.connections[*index].open < TARGET_ATTEMPTS_PER_CONNECTION || may_share
            };
            let Some(index) = chosen.filter(is_free) else {
                passed_over.push((until, attempt));
                continue;
            };
            let (id, connection) = (attempt.id, &mut self.connections[index]);
            match connection.orders.send(ToHost::Send(attempt)) {
                Ok(()) => {
                    assigned.push((id, connection.id));
                    connection.open += 1;
                }
                // The connection has closed and the report of that is still in the queue. The attempt goes back to the
                // waiting ones, because nothing would end it at the closed connection.
                Err(SendError(order)) => {
                    connection.retired = true;
                    if let ToHost::Send(attempt) = order {
                        self.waiting.push_front((until, attempt));
                    }
                }
            }
            least = self.least_used(max_streams, &[]);
        }
        for waiting in passed_over.into_iter().rev() {
            self.waiting.push_front(waiting);
        }
        assigned
    }

    /// Ends everything that waits, because the host refuses connections.
    fn on_refused(&mut self, shared: &HostContext, host: HostId) {
        let is_waiting = |probe: &&mut Probe| probe.state == ProbeState::Waiting;
        if let Some(probe) = self.probe.as_mut().filter(is_waiting) {
            probe.end_unanswered(shared, host);
        }
        for (_, attempt) in self.waiting.drain(..) {
            shared.attempt_dropped(&attempt, Ending::NoConnection);
        }
    }
}

/// A probe of one host.
struct Probe {
    id: ProbeId,
    /// When the probe fails without an answer.
    times_out_at: Instant,
    state: ProbeState,
}

impl Probe {
    /// Reports once that the probe ended without an answer.
    fn end_unanswered(&mut self, shared: &HostContext, host: HostId) {
        let ending = match std::mem::replace(&mut self.state, ProbeState::Ended) {
            ProbeState::Waiting => Ending::NoConnection,
            ProbeState::Sent => Ending::TimedOut,
            ProbeState::Ended => return,
        };
        shared.probe_ended(self.id, host, ending, vec![]);
    }
}

/// The state of a probe.
#[derive(PartialEq)]
enum ProbeState {
    /// The probe waits for a connection.
    Waiting,
    /// The probe was given to a connection.
    Sent,
    /// The end of the probe was reported and is still in the queue.
    Ended,
}

/// The pools of all hosts.
pub struct HostPools {
    /// What the pools share with their connections.
    pub shared: Rc<HostContext>,
    pools: BTreeMap<HostId, Pool>,
    /// The host and, once assigned, the connection of each open attempt.
    assignments: BTreeMap<AttemptId, (HostId, Option<ConnectionId>)>,
    /// The number of connections and dials of all pools.
    connection_count: usize,
    /// The last id given to a connection or a probe.
    last_id: u64,
}

impl HostPools {
    /// Creates an empty set of pools.
    pub fn new(shared: Rc<HostContext>) -> HostPools {
        HostPools {
            shared,
            pools: BTreeMap::new(),
            assignments: BTreeMap::new(),
            connection_count: 0,
            last_id: 0,
        }
    }

    /// Returns the numbers of open attempts, connections and pools, for the log.
    pub fn sizes(&self) -> (usize, usize, usize) {
        (
            self.assignments.len(),
            self.connection_count,
            self.pools.len(),
        )
    }

    /// Marks hosts as gone that have been replaced by another one at their address, also those that this list does not tell
    /// of.
    pub fn mark_replaced(&self, members: &mut Vec<ListedHost>, role: impl Fn(KindId) -> Role) {
        let address = |member: &ListedHost| HostAddress {
            host: member.entry.host,
            role: role(member.entry.kind),
            address: member.address,
            started: member.entry.stamp,
        };
        let is_present = |member: &&ListedHost| member.entry.state != HostState::Gone;
        let listed: Vec<_> = members.iter().filter(is_present).map(address).collect();
        let told: BTreeSet<HostId> = members.iter().map(|member| member.entry.host).collect();
        let others = self.pools.values().map(|pool| &pool.member);
        let known: Vec<_> = others
            .filter(|member| is_present(member) && !told.contains(&member.entry.host))
            .map(address)
            .collect();
        for host in replaced_hosts(&known, &listed) {
            let member = members.iter_mut().find(|member| member.entry.host == host);
            if let Some(member) = member {
                member.entry.state = HostState::Gone;
            } else if let Some(pool) = self.pools.get(&host) {
                let mut member = pool.member.clone();
                member.entry.state = HostState::Gone;
                members.push(member);
            }
            let name = self.host_name(host);
            info!(self.shared.log, "host replaced at its address"; "host" => name.as_deref().unwrap_or(""));
        }
    }

    /// Applies a host list or a change of it. Pools are kept by host and not by address, because another host may get the
    /// address of a host that is gone. The dispatcher itself recalls attempts that wait for a host that is no longer ready.
    pub fn apply_host_list(&mut self, kind: HostListKind, members: &[ListedHost]) {
        if kind == HostListKind::Full {
            let mark_gone = |pool: &mut Pool| pool.member.entry.state = HostState::Gone;
            self.pools.values_mut().for_each(mark_gone);
        }
        for member in members {
            let new_pool = || Pool {
                member: member.clone(),
                connections: Vec::new(),
                waiting: VecDeque::new(),
                dialing: 0,
                local_shortage: false,
                probe: None,
            };
            let pool = self.pools.entry(member.entry.host).or_insert_with(new_pool);
            let has_moved = pool.member.address != member.address;
            // This timestamp is the best estimate and not a strict bound: a wrong clock only loses a few requests here and
            // breaks no rule.
            let started = member.entry.stamp.unwrap_or_default();
            if has_moved || pool.member.entry.stamp != member.entry.stamp {
                // Attempts at the host's previous process are lost, even if its machine never reports that. The list may be
                // late, so connections made after the start belong to the new process.
                let is_stale = |connection: &&mut PooledConnection| {
                    has_moved || connection.connected_at < started
                };
                for connection in pool.connections.iter_mut().filter(is_stale) {
                    connection.retired = true;
                    let _ = connection.orders.send(ToHost::HostGone);
                }
            }
            let same_name = pool.member.name == member.name;
            check_invariant(same_name, &self.shared.counts.broken_same_host_id);
            pool.member = member.clone();
        }
        for pool in self.pools.values_mut() {
            if pool.member.entry.state != HostState::Ready {
                for connection in &mut pool.connections {
                    connection.retired = true;
                    let _ = connection.orders.send(ToHost::Retire);
                }
            }
        }
        self.remove_unused_pools();
    }

    /// Removes the pools of gone hosts that are no longer used.
    fn remove_unused_pools(&mut self) {
        self.pools.retain(|_, pool| {
            let idle = pool.connections.is_empty() && pool.waiting.is_empty() && pool.dialing == 0;
            !idle || pool.member.entry.state != HostState::Gone
        });
    }

    /// Returns whether the host list says that the host is ready.
    pub fn is_ready(&self, host: HostId) -> bool {
        let pool = self.pools.get(&host);
        pool.is_some_and(|pool| pool.member.entry.state == HostState::Ready)
    }

    /// Returns all hosts as in the last host list.
    pub fn host_entries(&self) -> Vec<HostEntry> {
        self.pools.values().map(|pool| pool.member.entry).collect()
    }

    /// Returns the name by which other hosts know a host.
    pub fn host_name(&self, host: HostId) -> Option<Rc<str>> {
        self.pools.get(&host).map(|pool| pool.member.name.clone())
    }

    /// Starts an attempt. Its answer or its end arrives through the queue.
    pub fn submit(&mut self, attempt: AttemptRequest) {
        let (id, host) = (attempt.id, attempt.host);
        let until = Instant::now() + self.shared.dial_timeout();
        let ready = |pool: &&mut Pool| pool.member.entry.state == HostState::Ready;
        let pool = self.pools.get_mut(&host).filter(ready);
        check_invariant(pool.is_some(), &self.shared.counts.broken_sent_to_drained);
        self.assignments.insert(id, (host, None));
        let Some(pool) = pool else {
            return self.shared.attempt_dropped(&attempt, Ending::NotSent);
        };
        count(&self.shared.counts.hand_offs);
        pool.waiting.push_back((until, attempt));
        self.assign(host);
    }

    /// Asks a host for its load, unless a probe of it is in flight. The probe uses an existing connection, or one is
    /// dialled for it if the attempts leave descriptors.
    pub fn probe(&mut self, host: HostId) {
        let times_out_at = Instant::now() + self.shared.dial_timeout();
        self.last_id += 1;
        let id = ProbeId(self.last_id);
        let ready = |pool: &&mut Pool| pool.member.entry.state == HostState::Ready;
        let pool = self.pools.get_mut(&host).filter(ready);
        if let Some(pool) = pool.filter(|pool| pool.probe.is_none()) {
            count(&self.shared.counts.probes);
            let state = ProbeState::Waiting;
            pool.probe = Some(Probe {
                id,
                times_out_at,
                state,
            });
            self.assign(host);
        }
    }

    /// Assigns waiting attempts and the probe to connections, and dials more connections for the rest. An answer that
    /// can't be read ends all attempts on its connection, so attempts are spread over as many connections as descriptors
    /// and [`TARGET_ATTEMPTS_PER_CONNECTION`] allow.
    fn assign(&mut self, host: HostId) {
        let dial_timeout = self.shared.dial_timeout();
        let share = (self.shared.max_connections / self.pools.len().max(1)).max(1);
        let free = self
            .shared
            .max_connections
            .saturating_sub(self.connection_count);
        let Some(pool) = self.pools.get_mut(&host) else {
            return;
        };
        let max_streams = self.shared.bounds.max_streams;
        let max_dials = pool.dialing
            + share
                .saturating_sub(pool.connections.len() + pool.dialing)
                .min(free);
        for (attempt, connection) in pool.assign_waiting(max_streams, max_dials) {
            self.assignments.insert(attempt, (host, Some(connection)));
        }
        let mut wanted_connections = pool.waiting.len();
        let is_waiting = |probe: &&mut Probe| probe.state == ProbeState::Waiting;
        if let Some(probe) = pool.probe.as_mut().filter(is_waiting) {
            match pool
                .connections
                .iter()
                .find(|connection| !connection.retired)
            {
                Some(connection) if connection.orders.send(ToHost::Probe(probe.id)).is_ok() => {
                    probe.state = ProbeState::Sent;
                }
                _ => wanted_connections += 1,
            }
        }
        while pool.dialing < wanted_connections.min(max_dials) {
            pool.dialing += 1;
            self.connection_count += 1;
            self.last_id += 1;
            count(&self.shared.counts.dials);
            let (queue, connection) = (self.shared.queue.clone(), ConnectionId(self.last_id));
            tokio::task::spawn_local(dial(
                pool.member.address,
                dial_timeout,
                host,
                connection,
                queue,
            ));
        }
    }

    /// Ends attempts and probes that waited too long for a connection or may no longer start.
    pub fn expire(&mut self, now: Instant) {
        let shared = &self.shared;
        for (&host, pool) in &mut self.pools {
            let is_due = |probe: &&mut Probe| probe.times_out_at <= now;
            if let Some(probe) = pool.probe.as_mut().filter(is_due) {
                probe.end_unanswered(shared, host);
            }
            pool.waiting.retain(|(until, attempt)| {
                match attempt.may_send(&shared.clock, now) {
                    Err(why) => {
                        shared
                            .trace
                            .attempt_dropped(&attempt.request, attempt.id, why.as_str());
                        shared.attempt_dropped(attempt, Ending::NotSent);
                    }
                    // A shortage on this side says nothing about the host.
                    Ok(()) if *until <= now && pool.local_shortage => {
                        shared.attempt_dropped(attempt, Ending::NotSent);
                    }
                    Ok(()) if *until <= now => {
                        shared.attempt_dropped(attempt, Ending::NoConnection)
                    }
                    Ok(()) => return true,
                }
                false
            });
        }
    }

    /// Returns when the next wait ends.
    pub fn next_deadline(&self) -> Option<Instant> {
        let waiting = self.pools.values().flat_map(|pool| &pool.waiting);
        let clock = &self.shared.clock;
        let wait_end =
            |(until, attempt): &(Instant, AttemptRequest)| attempt.latest_send(clock).min(*until);
        let probes = self.pools.values().filter_map(|pool| pool.probe.as_ref());
        let probes = probes.filter(|probe| probe.state != ProbeState::Ended);
        waiting
            .map(wait_end)
            .chain(probes.map(|probe| probe.times_out_at))
            .min()
    }

    /// Cancels an attempt. Its end arrives through the queue.
    pub fn cancel(&mut self, id: AttemptId) {
        self.order(id, ToHost::Cancel(id));
    }

    /// Drops an attempt if no byte of it was written yet.
    pub fn drop_unsent(&mut self, id: AttemptId) {
        self.order(id, ToHost::CancelUnsent(id));
    }

    /// Passes an order on to the connection of an attempt. An attempt that waits for a connection is dropped.
    fn order(&mut self, id: AttemptId, order: ToHost) {
        let Some(&(host, connection)) = self.assignments.get(&id) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(&host) else {
            return;
        };
        match connection {
            Some(id) => {
                if let Some(connection) = pool.connections.iter().find(|known| known.id == id) {
                    let _ = connection.orders.send(order);
                }
            }
            None => {
                let index = pool
                    .waiting
                    .iter()
                    .position(|(_, attempt)| attempt.id == id);
                if let Some((_, attempt)) = index.and_then(|index| pool.waiting.remove(index)) {
                    self.shared.attempt_dropped(&attempt, Ending::NotSent);
                }
            }
        }
    }

    /// Removes a host's probe if it has this id, and returns whether it did. A result that arrives after the end of its
    /// probe does not match.
    pub fn take_probe(&mut self, host: HostId, id: ProbeId) -> bool {
        let pool = self.pools.get_mut(&host);
        pool.and_then(|pool| pool.probe.take_if(|probe| probe.id == id))
            .is_some()
    }

    /// Handles the report of a connection or a dial. Returns the answer or the end of an attempt, once for each attempt.
    pub fn handle_event(
        &mut self,
        event: FromHost,
    ) -> Option<(AttemptId, Option<ConnectionId>, Answer)> {
        match event {
            FromHost::Dialled {
                host,
                connection,
                address,
                result: dialled,
            } => {
                // If the host has moved since, the dialled address may now belong to another host.
                let pool = self.pools.get(&host);
                let moved = pool.is_some_and(|pool| pool.member.address != address);
                let dialled = if moved { DialResult::TimedOut } else { dialled };
                self.on_dialled(host, connection, dialled);
                None
            }
            FromHost::AttemptEnded {
                id,
                host,
                connection,
                answer,
            } => {
                if let (Some(pool), Some(number)) = (self.pools.get_mut(&host), connection) {
                    if let Some(known) =
                        pool.connections.iter_mut().find(|known| known.id == number)
                    {
                        known.open -= 1;
                    }
                    if !pool.waiting.is_empty() {
                        self.assign(host);
                    }
                }
                if connection.is_none() {
                    self.remove_unused_pools();
                }
                self.assignments
                    .remove(&id)
                    .map(|_| (id, connection, answer))
            }
            // The dispatcher handles the result of a probe itself.
            FromHost::Probed { .. } => None,
            FromHost::Unusable { host, connection } => {
                if let Some(pool) = self.pools.get_mut(&host) {
                    for known in pool
                        .connections
                        .iter_mut()
                        .filter(|known| known.id == connection)
                    {
                        known.retired = true;
                        let _ = known.orders.send(ToHost::Retire);
                    }
                }
                None
            }
            FromHost::Closed { host, connection } => {
                self.connection_count -= 1;
                if let Some(pool) = self.pools.get_mut(&host) {
                    pool.connections.retain(|known| known.id != connection);
                }
                self.remove_unused_pools();
                let waiting: Vec<HostId> = self.pools.keys().copied().collect();
                waiting.into_iter().for_each(|host| self.assign(host));
                None
            }
        }
    }

    /// Handles the result of a dial.
    fn on_dialled(&mut self, host: HostId, id: ConnectionId, dialled: DialResult) {
        match (self.pools.get_mut(&host), dialled) {
            (Some(pool), DialResult::Connected(stream)) => {
                pool.dialing -= 1;
                pool.local_shortage = false;
                self.on_connected(host, id, stream);
            }
            (Some(pool), failed) => {
                self.connection_count -= 1;
                pool.dialing -= 1;
                pool.local_shortage = matches!(failed, DialResult::LocalShortage);
                if matches!(failed, DialResult::Refused) {
                    pool.on_refused(&self.shared, host);
                }
                self.assign(host);
                self.remove_unused_pools();
            }
            (None, _) => self.connection_count -= 1,
        }
    }

    /// Adds a new connection to its pool and starts its task.
    fn on_connected(&mut self, host: HostId, id: ConnectionId, stream: TcpStream) {
        let Some(pool) = self.pools.get_mut(&host) else {
            return;
        };
        let (orders_in, orders) = mpsc::channel();
        let retired = pool.member.entry.state != HostState::Ready;
        if retired {
            let _ = orders_in.send(ToHost::Retire);
        }
        pool.connections.push(PooledConnection {
            id,
            orders: orders_in,
            open: 0,
            retired,
            connected_at: self.shared.clock.timestamp(Instant::now()),
        });
        let connection = HostConnection::new(host, id, stream, orders, self.shared.clone());
        tokio::task::spawn_local(connection.serve());
        self.assign(host);
    }
}

/// Dials a host and reports the result to the queue.
async fn dial(
    address: SocketAddr,
    dial_timeout: Duration,
    host: HostId,
    connection: ConnectionId,
    queue: InboundSender,
) {
    let local_shortage = Cell::new(false);
    let result = match timeout(dial_timeout, connect(address, &local_shortage)).await {
        Ok(Ok(stream)) => {
            let _ = stream.set_nodelay(true);
            DialResult::Connected(stream)
        }
        Ok(Err(_)) => DialResult::Refused,
        Err(_) if local_shortage.get() => DialResult::LocalShortage,
        Err(_) => DialResult::TimedOut,
    };
    let _ = queue.send(Inbound::Host(FromHost::Dialled {
        host,
        connection,
        address,
        result,
    }));
}

/// Connects, and repeats the call while it fails because of a shortage on this side, which it records in
/// `local_shortage`.
async fn connect(address: SocketAddr, local_shortage: &Cell<bool>) -> std::io::Result<TcpStream> {
    loop {
        local_shortage.set(false);
        let error = match TcpStream::connect(address).await {
            Ok(stream) => return Ok(stream),
            Err(error) => error,
        };
        if classify_connect_error(errno(&error)) == ConnectError::Remote {
            return Err(error);
        }
        local_shortage.set(true);
        sleep(DIAL_RETRY_DELAY).await;
    }
}
