//! Cache hosts, parents and the origin: RESP over pools of connections, a pool a host.

use crate::checks::{Counts, Held, Parcel, count, must};
use crate::dispatch::{Inbound, Queue};
use crate::list::Member;
use crate::msgpack::Fault;
use crate::resp;
use crate::ring::Ring;
use local_channel::mpsc;
use slog::{Logger, debug, info};
use std::collections::{BTreeMap, VecDeque};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use trailproxy::interface::*;
use trailproxy::units::*;
use trailproxy_terms::Bounds;

/// The bytes of an object, by the protocol, and of the words beside it.
const LONGEST_WORD: usize = 240_000;
const WORDS: usize = 4;
/// How often a reader looks whether memory is free again.
const READ_AGAIN: Duration = Duration::from_millis(5);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LineId(pub u64);

/// One hand-off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ErrandId {
    pub access: AccessId,
    pub no: HandOffNo,
}

/// What goes to a host.
pub struct Errand {
    pub id: ErrandId,
    pub host: HostId,
    pub reference: Rc<str>,
    pub fields: String,
    /// Until then an answer is of use: told with the request in milliseconds.
    pub limit: Instant,
    pub body: Rc<[u8]>,
    /// Whether the host may say that the client's copy is the one.
    pub may_be_same: bool,
    /// Connections on which the same id has gone out before.
    pub avoid: Vec<LineId>,
}

pub struct Answer {
    pub ending: Ending,
    pub note: Note,
    pub waited: Option<Span>,
    pub report: Vec<f64>,
    /// The bytes where it is done; `None`: the client's copy is the one.
    pub body: Option<Parcel>,
}

impl Answer {
    pub fn bare(ending: Ending) -> Answer {
        Answer {
            ending,
            note: Note::Untold,
            waited: None,
            report: vec![],
            body: None,
        }
    }
}

pub enum FromServer {
    Dialled {
        host: HostId,
        line: LineId,
        stream: Option<TcpStream>,
        refused: bool,
    },
    Ended {
        id: ErrandId,
        host: HostId,
        line: Option<LineId>,
        answer: Answer,
    },
    /// Nothing came from it for longer than a dial may take, though it owed an answer.
    Silent {
        host: HostId,
        line: LineId,
    },
    Closed {
        host: HostId,
        line: LineId,
    },
}

enum ToServer {
    Send(Errand),
    /// Given up: a KILL goes out if the request has.
    Kill(ErrandId),
    /// Dropped if not a byte of it is written, else left alone.
    Recall(ErrandId),
    /// Nothing new comes.
    Retire,
    /// The process behind it is gone.
    Break,
}

/// One connection, as its pool knows it.
struct Line {
    id: LineId,
    orders: mpsc::Sender<ToServer>,
    open: usize,
    retired: bool,
}

struct Pool {
    member: Member,
    lines: Vec<Line>,
    /// Waiting for a connection, and until when.
    waiting: VecDeque<(Instant, Errand)>,
    dialing: usize,
}

pub struct Pools {
    pub queue: Queue,
    pub bounds: Bounds,
    /// Connections that all pools together may hold.
    pub most_lines: usize,
    pub held: Held,
    pub held_limit: usize,
    pub counts: Rc<Counts>,
    pub log: Logger,
    pools: BTreeMap<HostId, Pool>,
    /// Where each open hand-off is.
    places: BTreeMap<ErrandId, (HostId, Option<LineId>)>,
    lines: usize,
    next: u64,
}

impl Pools {
    pub fn new(
        queue: Queue,
        bounds: Bounds,
        most_lines: usize,
        held: Held,
        held_limit: usize,
        counts: Rc<Counts>,
        log: Logger,
    ) -> Pools {
        Pools {
            queue,
            bounds,
            most_lines,
            held,
            held_limit,
            counts,
            log,
            pools: BTreeMap::new(),
            places: BTreeMap::new(),
            lines: 0,
            next: 0,
        }
    }

    /// Open hand-offs and connections, for the log.
    pub fn sizes(&self) -> (usize, usize, usize) {
        (self.places.len(), self.lines, self.pools.len())
    }

    /// Takes a change of the host list. Pools go by host: another host may come to a gone one's address.
    pub fn list(&mut self, form: ListForm, members: &[Member]) {
        if form == ListForm::Whole {
            let gone = |pool: &mut Pool| pool.member.entry.state = HostState::Gone;
            self.pools.values_mut().for_each(gone);
        }
        for member in members {
            let fresh = || Pool {
                member: member.clone(),
                lines: Vec::new(),
                waiting: VecDeque::new(),
                dialing: 0,
            };
            let pool = self.pools.entry(member.entry.host).or_insert_with(fresh);
            let moved = pool.member.address != member.address;
            if moved || pool.member.entry.started != member.entry.started {
                // What its former process had is lost with it, though a silent machine never says so.
                for line in &mut pool.lines {
                    line.retired = true;
                    let _ = line.orders.send(ToServer::Break);
                }
            }
            let same = pool.member.name == member.name;
            must(same, &self.counts.broken_same_host_id);
            pool.member = member.clone();
        }
        for (&host, pool) in &mut self.pools {
            if pool.member.entry.state != HostState::Ready {
                for line in &mut pool.lines {
                    line.retired = true;
                    let _ = line.orders.send(ToServer::Retire);
                }
                for (_, errand) in pool.waiting.drain(..) {
                    end(&self.queue, errand.id, host, None, Ending::NotSent);
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

    /// The name by which a host is known to others.
    pub fn name(&self, host: HostId) -> Option<Rc<str>> {
        self.pools.get(&host).map(|pool| pool.member.name.clone())
    }

    pub fn submit(&mut self, errand: Errand) {
        let (id, host) = (errand.id, errand.host);
        let ready = |pool: &&mut Pool| pool.member.entry.state == HostState::Ready;
        let pool = self.pools.get_mut(&host).filter(ready);
        must(pool.is_some(), &self.counts.broken_sent_to_drained);
        let Some(pool) = pool else {
            return end(&self.queue, id, host, None, Ending::NotSent);
        };
        count(&self.counts.hand_offs);
        self.places.insert(id, (host, None));
        let until = Instant::now() + Duration::from_micros(self.bounds.dial_within.0);
        pool.waiting.push_back((until, errand));
        self.assign(host);
    }

    /// Gives what waits to connections with room, and dials for the rest.
    fn assign(&mut self, host: HostId) {
        let Some(pool) = self.pools.get_mut(&host) else {
            return;
        };
        let most = self.bounds.max_streams;
        let mut left = VecDeque::new();
        while let Some((until, errand)) = pool.waiting.pop_front() {
            let fits = |line: &&mut Line| {
                !line.retired && line.open < most && !errand.avoid.contains(&line.id)
            };
            match pool.lines.iter_mut().find(fits) {
                Some(line) => {
                    self.places.insert(errand.id, (host, Some(line.id)));
                    line.open += 1;
                    let _ = line.orders.send(ToServer::Send(errand));
                }
                None => left.push_back((until, errand)),
            }
        }
        pool.waiting = left;
        let wanted = pool.waiting.len().div_ceil(most.max(1));
        while pool.dialing < wanted && self.lines < self.most_lines {
            pool.dialing += 1;
            self.lines += 1;
            self.next += 1;
            count(&self.counts.dials);
            let (queue, line) = (self.queue.clone(), LineId(self.next));
            let within = Duration::from_micros(self.bounds.dial_within.0);
            tokio::task::spawn_local(dial(pool.member.address, within, host, line, queue));
        }
    }

    /// Ends the wait of hand-offs that no connection came up for.
    pub fn expire(&mut self, now: Instant) {
        let late = |pool: &Pool| pool.waiting.front().is_some_and(|(until, _)| *until <= now);
        for (&host, pool) in self.pools.iter_mut().filter(|(_, pool)| late(pool)) {
            while let Some((_, errand)) = pool.waiting.pop_front_if(|(until, _)| *until <= now) {
                end(&self.queue, errand.id, host, None, Ending::NoConnection);
            }
        }
    }

    /// When the next wait is over.
    pub fn next_expiry(&self) -> Option<Instant> {
        let fronts = self.pools.values().filter_map(|pool| pool.waiting.front());
        fronts.map(|(until, _)| *until).min()
    }

    /// Gives a hand-off up; its ending comes by the queue.
    pub fn kill(&mut self, id: ErrandId) {
        self.order(id, ToServer::Kill(id));
    }

    /// Drops a hand-off of which nothing is written yet.
    pub fn recall(&mut self, id: ErrandId) {
        self.order(id, ToServer::Recall(id));
    }

    fn order(&mut self, id: ErrandId, order: ToServer) {
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
                let before = pool.waiting.len();
                pool.waiting.retain(|(_, errand)| errand.id != id);
                if pool.waiting.len() < before {
                    end(&self.queue, id, host, None, Ending::NotSent);
                }
            }
        }
    }

    /// What a connection or a dial tells; an answer is handed back, once for each hand-off.
    pub fn told(&mut self, told: FromServer) -> Option<(ErrandId, Option<LineId>, Answer)> {
        match told {
            FromServer::Dialled {
                host,
                line,
                stream,
                refused,
            } => {
                self.dialled(host, line, stream, refused);
                None
            }
            FromServer::Ended {
                id,
                host,
                line,
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
                self.places.remove(&id).map(|_| (id, line, answer))
            }
            FromServer::Silent { host, line } => {
                if let Some(pool) = self.pools.get_mut(&host) {
                    for known in pool.lines.iter_mut().filter(|known| known.id == line) {
                        known.retired = true;
                        let _ = known.orders.send(ToServer::Retire);
                    }
                }
                None
            }
            FromServer::Closed { host, line } => {
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

    fn dialled(&mut self, host: HostId, id: LineId, stream: Option<TcpStream>, refused: bool) {
        let pool = self.pools.get_mut(&host);
        let (Some(pool), Some(stream)) = (pool, stream) else {
            self.lines -= 1;
            if let Some(pool) = self.pools.get_mut(&host) {
                pool.dialing -= 1;
                if refused {
                    for (_, errand) in pool.waiting.drain(..) {
                        end(&self.queue, errand.id, host, None, Ending::NoConnection);
                    }
                }
                self.assign(host);
            }
            return self.forget();
        };
        pool.dialing -= 1;
        let (orders_in, orders) = mpsc::channel();
        let retired = pool.member.entry.state != HostState::Ready;
        if retired {
            let _ = orders_in.send(ToServer::Retire);
        }
        pool.lines.push(Line {
            id,
            orders: orders_in,
            open: 0,
            retired,
        });
        let link = Link {
            host,
            id,
            stream,
            orders,
            queue: self.queue.clone(),
            counts: self.counts.clone(),
            log: self.log.clone(),
            held: self.held.clone(),
            held_limit: self.held_limit,
            // A little before the host closes it, or a request may cross its close.
            idle_close: Duration::from_micros((self.bounds.idle_close - self.bounds.dial_within).0),
            silence: Duration::from_micros(self.bounds.dial_within.0),
            incoming: Ring::new(self.held.clone()),
            wants: 1,
            outgoing: Ring::new(self.held.clone()),
            in_ring: None,
            begun: false,
            unsent: VecDeque::new(),
            open: BTreeMap::new(),
            heard: Instant::now(),
            active: Instant::now(),
            retired: false,
        };
        tokio::task::spawn_local(link.serve());
        self.assign(host);
    }
}

fn end(queue: &Queue, id: ErrandId, host: HostId, line: Option<LineId>, ending: Ending) {
    let answer = Answer::bare(ending);
    let _ = queue.send(Inbound::Server(FromServer::Ended {
        id,
        host,
        line,
        answer,
    }));
}

async fn dial(address: SocketAddr, within: Duration, host: HostId, line: LineId, queue: Queue) {
    let (stream, refused) = match timeout(within, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => (Some(stream), false),
        Ok(Err(_)) => (None, true),
        Err(_) => (None, false),
    };
    if let Some(stream) = &stream {
        let _ = stream.set_nodelay(true);
    }
    let _ = queue.send(Inbound::Server(FromServer::Dialled {
        host,
        line,
        stream,
        refused,
    }));
}

/// What waits to be written.
enum Packet {
    Errand(Errand),
    Kill(Rc<str>),
}

struct OpenErrand {
    id: ErrandId,
    sent: Instant,
    may_be_same: bool,
}

/// One connection, as its own task knows it.
struct Link {
    host: HostId,
    id: LineId,
    stream: TcpStream,
    orders: mpsc::Receiver<ToServer>,
    queue: Queue,
    counts: Rc<Counts>,
    log: Logger,
    held: Held,
    held_limit: usize,
    idle_close: Duration,
    /// A connection that owed an answer and said nothing for so long is not used again.
    silence: Duration,
    incoming: Ring,
    wants: usize,
    /// One request at a time: what is not begun can still be dropped.
    outgoing: Ring,
    in_ring: Option<Rc<str>>,
    begun: bool,
    unsent: VecDeque<Packet>,
    /// By the id of the request; one that is in the ring and not begun is here, too.
    open: BTreeMap<Rc<str>, OpenErrand>,
    heard: Instant,
    active: Instant,
    retired: bool,
}

type Over = &'static str;

impl Link {
    async fn serve(mut self) {
        let why = loop {
            if let Err(why) = self.turn().await {
                break why;
            }
        };
        if !self.open.is_empty() || !self.unsent.is_empty() {
            let (host, open) = (format!("{:x}", self.host.0), self.open.len());
            info!(self.log, "host connection broken"; "host" => host, "open" => open, "why" => why);
        }
        let not_begun = self.in_ring.take().filter(|_| !self.begun);
        for (reference, errand) in std::mem::take(&mut self.open) {
            let clean = not_begun.as_ref() == Some(&reference);
            self.end(
                errand.id,
                if clean { Ending::NotSent } else { Ending::Lost },
            );
        }
        for packet in std::mem::take(&mut self.unsent) {
            self.drop_packet(packet);
        }
        while let Some(order) = next_now(&mut self.orders) {
            if let ToServer::Send(errand) = order {
                self.end(errand.id, Ending::NotSent);
            }
        }
        let (host, line) = (self.host, self.id);
        let _ = self
            .queue
            .send(Inbound::Server(FromServer::Closed { host, line }));
    }

    fn end(&self, id: ErrandId, ending: Ending) {
        end(&self.queue, id, self.host, Some(self.id), ending);
    }

    fn drop_packet(&self, packet: Packet) {
        if let Packet::Errand(errand) = packet {
            self.end(errand.id, Ending::NotSent);
        }
    }

    async fn turn(&mut self) -> Result<(), Over> {
        // What the host has said, its end above all, is known before anything more goes out.
        let may_read = self.held.bytes() < self.held_limit;
        if may_read {
            self.read()?;
        } else {
            count(&self.counts.reading_paused);
        }
        self.write()?;
        let idle = self.open.is_empty() && self.unsent.is_empty() && self.outgoing.is_empty();
        if idle && self.retired {
            return Err("retired");
        }
        let idle_until = self.active + self.idle_close;
        tokio::select! {
            biased;
            order = self.orders.recv() => match order {
                Some(order) => self.obey(order)?,
                None => return Err("not needed"),
            },
            ready = self.stream.readable(), if may_read => {
                ready.map_err(|_| "read failed")?;
            }
            ready = self.stream.writable(), if !self.outgoing.is_empty() => {
                ready.map_err(|_| "write failed")?;
            }
            _ = sleep(READ_AGAIN), if !may_read => {}
            _ = sleep_until(idle_until), if idle => return Err("idle"),
        }
        Ok(())
    }

    fn obey(&mut self, order: ToServer) -> Result<(), Over> {
        self.active = Instant::now();
        match order {
            ToServer::Send(errand) => self.unsent.push_back(Packet::Errand(errand)),
            ToServer::Kill(id) => {
                if !self.drop_unsent(id) {
                    self.kill(id);
                }
            }
            ToServer::Recall(id) => {
                self.drop_unsent(id);
            }
            ToServer::Retire => self.retired = true,
            ToServer::Break => return Err("its process was started anew"),
        }
        Ok(())
    }

    /// Whether not a byte of it was written: then it is dropped.
    fn drop_unsent(&mut self, id: ErrandId) -> bool {
        let is_it = |packet: &Packet| matches!(packet, Packet::Errand(errand) if errand.id == id);
        if let Some(at) = self.unsent.iter().position(is_it) {
            self.unsent.remove(at);
            self.end(id, Ending::NotSent);
            return true;
        }
        let waiting = self.in_ring.as_ref().filter(|_| !self.begun);
        let waiting = waiting.filter(|reference| {
            self.open
                .get(*reference)
                .is_some_and(|errand| errand.id == id)
        });
        let Some(reference) = waiting.cloned() else {
            return false;
        };
        self.open.remove(&reference);
        self.in_ring = None;
        self.outgoing.consume(self.outgoing.len());
        self.end(id, Ending::NotSent);
        true
    }

    fn kill(&mut self, id: ErrandId) {
        let found = self.open.iter().find(|(_, errand)| errand.id == id);
        let Some((reference, errand)) = found.map(|(r, errand)| (r.clone(), errand)) else {
            return;
        };
        let (unheard, long) = (
            self.heard <= errand.sent,
            errand.sent.elapsed() > self.silence,
        );
        if unheard && long && !self.retired {
            let (host, line) = (self.host, self.id);
            let _ = self
                .queue
                .send(Inbound::Server(FromServer::Silent { host, line }));
        }
        self.open.remove(&reference);
        self.unsent.push_back(Packet::Kill(reference));
        self.end(id, Ending::Withdrawn);
    }

    fn write(&mut self) -> Result<(), Over> {
        loop {
            if self.outgoing.is_empty() {
                self.in_ring = None;
                self.begun = false;
                let Some(packet) = self.unsent.pop_front() else {
                    self.outgoing.rest(true);
                    return Ok(());
                };
                self.encode(packet);
            }
            match self.stream.try_write(self.outgoing.parts().0) {
                Ok(n) => {
                    self.begun |= n > 0;
                    self.outgoing.consume(n);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(_) => return Err("write failed"),
            }
        }
    }

    fn encode(&mut self, packet: Packet) {
        let mut out = Vec::with_capacity(512);
        match packet {
            Packet::Kill(reference) => {
                resp::put_array(&mut out, 2);
                resp::put_word(&mut out, b"KILL");
                resp::put_word(&mut out, reference.as_bytes());
            }
            Packet::Errand(errand) => {
                // Rounded down: the host gives up no later than the dispatcher.
                let left = errand.limit.saturating_duration_since(Instant::now());
                let fields = format!("{},ttl={}", errand.fields, left.as_millis().max(1));
                resp::put_array(&mut out, WORDS);
                resp::put_word(&mut out, b"PULL");
                resp::put_word(&mut out, errand.reference.as_bytes());
                resp::put_word(&mut out, fields.as_bytes());
                resp::put_word(&mut out, &errand.body);
                self.in_ring = Some(errand.reference.clone());
                let (sent, may_be_same) = (Instant::now(), errand.may_be_same);
                let open = OpenErrand {
                    id: errand.id,
                    sent,
                    may_be_same,
                };
                let before = self.open.insert(errand.reference, open);
                must(before.is_none(), &self.counts.broken_two_endings);
            }
        }
        self.outgoing.push(&out);
    }

    fn read(&mut self) -> Result<(), Over> {
        loop {
            self.incoming.reserve(self.wants);
            match self.stream.try_read(self.incoming.room()) {
                Ok(0) => return Err("closed"),
                Ok(n) => {
                    self.incoming.filled(n);
                    (self.heard, self.active) = (Instant::now(), Instant::now());
                    self.parse()?;
                    if self.held.bytes() >= self.held_limit {
                        return Ok(());
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.incoming.rest(true);
                    return Ok(());
                }
                Err(_) => return Err("reset"),
            }
        }
    }

    fn parse(&mut self) -> Result<(), Over> {
        while self.incoming.len() >= self.wants {
            let (words, n) = match resp::read(self.incoming.whole(), WORDS, LONGEST_WORD) {
                Ok(read) => read,
                Err(Fault::Short(wants)) => {
                    self.wants = wants;
                    return Ok(());
                }
                Err(Fault::Malformed(why)) => return self.bad(why),
            };
            let [reference, word, fields, body] = words.as_slice() else {
                return self.bad("an answer has not four words");
            };
            let errand = std::str::from_utf8(reference)
                .ok()
                .and_then(|r| self.open.remove(r));
            let words = [*word, *fields, *body];
            let answer = errand
                .as_ref()
                .map(|errand| read_answer(words, errand, &self.held));
            self.incoming.consume(n);
            self.wants = 1;
            match (errand, answer) {
                (Some(errand), Some(Some(answer))) => {
                    let (host, line, id) = (self.host, Some(self.id), errand.id);
                    let ended = FromServer::Ended {
                        id,
                        host,
                        line,
                        answer,
                    };
                    let _ = self.queue.send(Inbound::Server(ended));
                }
                (Some(errand), _) => {
                    self.end(errand.id, Ending::Lost);
                    return self.bad("an answer makes no sense");
                }
                // It was given up before.
                (None, _) => count(&self.counts.late_answers),
            }
        }
        Ok(())
    }

    fn bad(&self, why: Over) -> Result<(), Over> {
        count(&self.counts.bad_hosts);
        debug!(self.log, "host said what can't be read"; "why" => why);
        Err(why)
    }
}

pub fn next_now<T>(queue: &mut mpsc::Receiver<T>) -> Option<T> {
    let mut next = std::pin::pin!(queue.recv());
    let mut context = std::task::Context::from_waker(std::task::Waker::noop());
    match next.as_mut().poll(&mut context) {
        std::task::Poll::Ready(order) => order,
        std::task::Poll::Pending => None,
    }
}

fn read_answer(words: [&[u8]; 3], errand: &OpenErrand, held: &Held) -> Option<Answer> {
    let [word, fields, body] = words;
    let fields = std::str::from_utf8(fields).ok()?;
    let named = |name: &str| {
        let pairs = fields.split(',').filter_map(|pair| pair.split_once('='));
        pairs
            .into_iter()
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    };
    let ending = match word {
        b"data" => Ending::Done,
        b"unchanged" if errand.may_be_same => Ending::Done,
        b"absent" => Ending::Missed,
        b"full" => Ending::Full,
        b"failed" => Ending::Error,
        b"moot" => Ending::NotSent,
        _ => return None,
    };
    let note = match named("why") {
        Some("TCP_HIT") => Note::Hit,
        Some("TCP_MISS") => Note::Filled,
        Some("TCP_MISS_ROOT") => Note::FilledByOrigin,
        Some("TCP_JOIN") => Note::Joined,
        Some("TCP_STALE") => Note::Stale,
        Some("PEER_DENY") => Note::SourceRefused,
        Some("PEER_DEAD") => Note::SourceLost,
        Some("PEER_MISS") => Note::SourceLacks,
        Some("FILL_FULL") => Note::NoFillPlace,
        Some("ROOT_FAIL") => Note::OriginFailed,
        _ => Note::Untold,
    };
    let waited = named("lag").and_then(|ms| ms.parse().ok());
    let report = named("rep").unwrap_or("").split(['+', ';', ' ']);
    let report = report.map(|pair| pair.rsplit([':', '=']).next().unwrap_or(pair));
    Some(Answer {
        ending,
        note,
        waited: waited
            .filter(|ms| *ms > 0.0)
            .map(|ms: f64| Span::from_secs_f64(ms / 1000.0)),
        report: report.filter_map(|value| value.parse().ok()).collect(),
        body: (word == b"data").then(|| Parcel::new(body, held)),
    })
}
