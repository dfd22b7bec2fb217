//! Clients: MessagePack-RPC over TCP, requests pipelined and answered in any order.

use crate::checks::{Counts, count};
use crate::held::Held;
use crate::list::object_id;
use crate::messages::*;
use crate::msgpack::{self, Fault, Value};
use crate::places::{Places, Room, Use};
use crate::ring::Ring;
use local_channel::mpsc;
use slog::{Logger, debug};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, sleep_until};
use trailproxy::units::*;

/// Open requests on one connection, by the protocol: one that asks for more is closed, and all that it
/// asked for is withdrawn. Bad requests are told so at twice that, as answers not yet taken count, too.
const OPEN: usize = 32;
const MOST_OPEN: usize = 2 * OPEN;
/// The bytes of a write, by the protocol.
const LONGEST_BODY: usize = 48_000;
/// A body and its fields.
const LONGEST_MESSAGE: usize = LONGEST_BODY + 16 * 1024;
/// Small answers go out together up to this size.
const TOGETHER: usize = 16 * 1024;
/// Longer waits are no waits of a client.
const LONGEST_WAIT_MS: f64 = 3_600_000.0;
const ACCEPT_AGAIN: Duration = Duration::from_millis(5);
/// A client is owed a word or a close within 3 s: by then its message must be whole.
const WHOLE_WITHIN: Duration = Duration::from_millis(2500);
/// Clients close what has been idle for 4 s, by the protocol; who does not is not coming back.
const IDLE_WITHIN: Duration = Duration::from_millis(4500);

/// What all connections share.
pub struct Shared {
    pub queue: Queue,
    pub tracks: HashMap<String, TrackId>,
    pub places: RefCell<Places>,
    /// No client waits longer than this for anything.
    pub longest_limit: Duration,
    pub ending: Cell<bool>,
    pub held: Held,
    pub counts: Rc<Counts>,
    pub log: Logger,
}

/// Accepts clients, as many as the descriptors allow. Past that a newcomer waits in the backlog for as
/// long as it takes one that says nothing, or is idle, to leave.
pub async fn accept(listener: TcpListener, shared: Rc<Shared>) {
    let mut next = 0;
    loop {
        let accepted = listener.accept().await;
        loop {
            let room = shared.places.borrow_mut().free(Instant::now());
            match room {
                Room::Free => break,
                // It leaves in its turn: a wait for each would hold newcomers up for seconds.
                Room::Asked => tokio::task::yield_now().await,
                Room::None => sleep(ACCEPT_AGAIN).await,
            }
            count(&shared.counts.places_wanted);
        }
        match accepted {
            Ok((stream, _)) => {
                next += 1;
                let _ = stream.set_nodelay(true);
                let connection = Connection::new(ClientId(next), stream, shared.clone());
                tokio::task::spawn_local(connection.serve());
            }
            Err(e) => {
                count(&shared.counts.accepts_failed);
                debug!(shared.log, "accept failed"; "why" => %e);
                sleep(ACCEPT_AGAIN).await;
            }
        }
    }
}

struct Connection {
    id: ClientId,
    stream: TcpStream,
    shared: Rc<Shared>,
    orders: mpsc::Receiver<ToClient>,
    incoming: Ring,
    /// The next message is not whole before so many bytes.
    wants: usize,
    outgoing: Ring,
    /// Owed an answer.
    owed: BTreeSet<u32>,
    replies: VecDeque<(u32, Reply)>,
    /// Where in the bytes written in all each answer ends that is not wholly written.
    ends: VecDeque<u64>,
    written: u64,
    encoded: u64,
    progress: Instant,
    /// Since when it is idle, or its next message under way, once none is open.
    since: Instant,
    /// Whether a whole message has come.
    spoken: bool,
    /// The latest outer limit of all that was asked for.
    last_limit: Instant,
    eof: bool,
    finishing: bool,
    half_closed: bool,
}

/// Why a connection ends.
enum Over {
    Clean,
    Broken(&'static str),
}

impl Connection {
    fn new(id: ClientId, stream: TcpStream, shared: Rc<Shared>) -> Connection {
        let (orders_in, orders) = mpsc::channel();
        let now = Instant::now();
        shared.places.borrow_mut().open(id, now, orders_in.clone());
        let opened = Inbound::Client(FromClient::Opened(id, orders_in));
        let _ = shared.queue.send(opened);
        Connection {
            id,
            stream,
            orders,
            incoming: Ring::new(shared.held.clone()),
            wants: 1,
            outgoing: Ring::new(shared.held.clone()),
            owed: BTreeSet::new(),
            replies: VecDeque::new(),
            ends: VecDeque::new(),
            written: 0,
            encoded: 0,
            progress: now,
            since: now,
            spoken: false,
            last_limit: now,
            eof: false,
            finishing: false,
            half_closed: false,
            shared,
        }
    }

    async fn serve(mut self) {
        let over = loop {
            if let Err(over) = self.turn().await {
                break over;
            }
        };
        if let Over::Broken(why) = over {
            debug!(self.shared.log, "client connection broken"; "client" => self.id.0, "why" => why);
        }
        self.shared.places.borrow_mut().close(self.id);
        let closed = Inbound::Client(FromClient::Closed(self.id));
        let _ = self.shared.queue.send(closed);
    }

    /// Answers that are not wholly written yet count as open, too.
    fn open(&self) -> usize {
        self.owed.len() + self.replies.len() + self.ends.len()
    }

    /// How it uses its place, and until when it may.
    fn used(&self) -> (Use, Instant) {
        match (self.open(), self.spoken && self.incoming.is_empty()) {
            (1.., _) => (Use::Busy, self.since),
            (0, false) => (Use::Unsaid(self.since), self.since + WHOLE_WITHIN),
            (0, true) => (Use::Idle(self.since), self.since + IDLE_WITHIN),
        }
    }

    async fn turn(&mut self) -> Result<(), Over> {
        self.write()?;
        self.parse()?;
        let idle = self.outgoing.is_empty();
        let (used, leaves_at) = self.used();
        self.shared.places.borrow_mut().note(self.id, used);
        if idle && self.open() == 0 {
            if self.finishing && !self.half_closed {
                self.half_closed = true;
                shut(&self.stream).map_err(|_| Over::Broken("half-close failed"))?;
            }
            if self.eof {
                return Err(Over::Clean);
            }
        }
        let may_read = !self.eof && (self.half_closed || self.open() < MOST_OPEN);
        // By then nothing that it waits for can come in time.
        let stalled = (self.progress + self.shared.longest_limit).max(self.last_limit);
        tokio::select! {
            biased;
            order = self.orders.recv() => match order {
                Some(ToClient::Reply(number, reply)) => self.reply(number, reply),
                Some(ToClient::Finish) | None => self.finishing = true,
                Some(ToClient::GiveWay) => {
                    self.read()?;
                    self.parse()?;
                    if self.used().0 == used && used != Use::Busy {
                        count(&self.shared.counts.places_given_up);
                        return Err(Over::Clean);
                    }
                }
            },
            ready = self.stream.writable(), if !idle => {
                ready.map_err(|_| Over::Broken("write failed"))?;
            }
            ready = self.stream.readable(), if may_read => {
                ready.map_err(|_| Over::Broken("read failed"))?;
                self.read()?;
            }
            _ = sleep_until(leaves_at), if used != Use::Busy => {
                match used {
                    Use::Idle(_) => count(&self.shared.counts.clients_idle),
                    _ => count(&self.shared.counts.clients_unsaid),
                }
                return Err(Over::Clean);
            }
            _ = sleep_until(stalled), if !idle => {
                count(&self.shared.counts.clients_stalled);
                return Err(Over::Broken("it takes nothing"));
            }
        }
        Ok(())
    }

    fn read(&mut self) -> Result<(), Over> {
        match self.stream.try_read(self.incoming.room()) {
            Ok(0) => self.eof = true,
            Ok(n) => {
                if self.spoken && self.incoming.is_empty() {
                    self.since = Instant::now();
                }
                self.incoming.filled(n);
                if self.half_closed {
                    self.incoming.consume(n);
                }
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => self.incoming.rest(true),
            Err(_) => return Err(Over::Broken("reset")),
        }
        Ok(())
    }

    fn reply(&mut self, number: u32, reply: Reply) {
        // What was revoked is owed nothing.
        if self.owed.remove(&number) {
            self.replies.push_back((number, reply));
        }
    }

    fn write(&mut self) -> Result<(), Over> {
        loop {
            while self.outgoing.len() < TOGETHER {
                let Some((number, reply)) = self.replies.pop_front() else {
                    break;
                };
                if self.outgoing.is_empty() {
                    self.progress = Instant::now();
                }
                let before = self.outgoing.len();
                encode(number, reply, &mut self.outgoing);
                self.encoded += (self.outgoing.len() - before) as u64;
                self.ends.push_back(self.encoded);
            }
            if self.outgoing.is_empty() {
                self.outgoing.rest(self.replies.is_empty());
                return Ok(());
            }
            match self.stream.try_write(self.outgoing.parts().0) {
                Ok(n) => {
                    self.outgoing.consume(n);
                    self.written += n as u64;
                    self.progress = Instant::now();
                    while self.ends.front().is_some_and(|&end| end <= self.written) {
                        self.ends.pop_front();
                    }
                    self.since = self.progress;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(_) => return Err(Over::Broken("write failed")),
            }
        }
    }

    fn parse(&mut self) -> Result<(), Over> {
        while self.incoming.len() >= self.wants && self.open() < MOST_OPEN && !self.half_closed {
            let bytes = self.incoming.whole();
            let (message, n) = match msgpack::read(bytes, LONGEST_MESSAGE) {
                Ok((value, n)) => (read_message(self.id, &value, &self.shared.tracks), n),
                Err(Fault::Short(wants)) => {
                    self.wants = wants;
                    break;
                }
                Err(Fault::Malformed(why)) => (Message::Damage(why), 0),
            };
            self.incoming.consume(n);
            self.wants = 1;
            (self.spoken, self.since) = (true, Instant::now());
            self.take(message)?;
        }
        Ok(())
    }

    fn take(&mut self, message: Message) -> Result<(), Over> {
        let damage = |why| {
            count(&self.shared.counts.bad_clients);
            Err(Over::Broken(why))
        };
        match message {
            Message::Damage(why) => return damage(why),
            Message::Call(_) if self.open() >= OPEN => return damage("too many are open at once"),
            Message::Call(call) => {
                if !self.owed.insert(call.id.number) {
                    return damage("a number is used twice");
                }
                let limit = call.come + Duration::from_micros(call.left.0);
                self.last_limit = self.last_limit.max(limit);
                let _ = self
                    .shared
                    .queue
                    .send(Inbound::Client(FromClient::Called(*call)));
            }
            Message::Revoke(number) => {
                if self.owed.remove(&number) {
                    let id = CallId {
                        client: self.id,
                        number,
                    };
                    let _ = self
                        .shared
                        .queue
                        .send(Inbound::Client(FromClient::Revoked(id)));
                }
            }
            Message::Heartbeat(number) => {
                let before = self.outgoing.len();
                encode_heartbeat(number, !self.shared.ending.get(), &mut self.outgoing);
                self.encoded += (self.outgoing.len() - before) as u64;
                self.write()?;
            }
            Message::Bad(number) => {
                count(&self.shared.counts.bad_clients);
                if !self.owed.insert(number) {
                    return damage("a number is used twice");
                }
                self.reply(number, Reply::Aborted);
                self.write()?;
            }
            Message::Nothing => {}
        }
        Ok(())
    }
}

fn shut(stream: &TcpStream) -> std::io::Result<()> {
    socket2::SockRef::from(stream).shutdown(std::net::Shutdown::Write)
}

fn encode(number: u32, reply: Reply, out: &mut Ring) {
    let mut head = Vec::with_capacity(64);
    msgpack::put_array(&mut head, 4);
    msgpack::put_int(&mut head, 1);
    msgpack::put_int(&mut head, number);
    let mut done = |body: &[u8], fields: &[(&str, &str)]| {
        msgpack::put_nil(&mut head);
        msgpack::put_array(&mut head, 2);
        msgpack::put_bin_head(&mut head, body.len());
        out.reserve(out.len() + head.len() + body.len() + TAIL);
        out.push(&head);
        out.push(body);
        let mut tail = Vec::new();
        msgpack::put_map(&mut tail, fields);
        out.push(&tail);
    };
    let failed = |head: &mut Vec<u8>, word: &str, fields: &[(&str, &str)]| {
        msgpack::put_array(head, 2);
        msgpack::put_text(head, word);
        msgpack::put_map(head, fields);
        msgpack::put_nil(head);
    };
    match reply {
        Reply::Done(body) => return done(body.bytes(), &[]),
        Reply::Same => return done(&[], &[("same", "1")]),
        Reply::Rejected { come_back: None } => failed(&mut head, "Throttled", &[]),
        Reply::Rejected {
            come_back: Some(span),
        } => {
            let ms = (span.0 / 1000).max(1).to_string();
            failed(&mut head, "Throttled", &[("cooldown", &ms)]);
        }
        Reply::Aborted => failed(&mut head, "Broken", &[]),
    }
    out.push(&head);
}

/// Room for the fields behind a body.
const TAIL: usize = 64;

fn encode_heartbeat(number: u32, well: bool, out: &mut Ring) {
    let mut bytes = Vec::new();
    msgpack::put_array(&mut bytes, 4);
    msgpack::put_int(&mut bytes, 1);
    msgpack::put_int(&mut bytes, number);
    msgpack::put_nil(&mut bytes);
    msgpack::put_array(&mut bytes, 2);
    msgpack::put_bool(&mut bytes, well);
    msgpack::put_map(&mut bytes, &[]);
    out.push(&bytes);
}

enum Message {
    Call(Box<Call>),
    Revoke(u32),
    Heartbeat(u32),
    /// A request whose number can be told, but nothing to act on.
    Bad(u32),
    Nothing,
    Damage(&'static str),
}

fn number(value: &Value) -> Option<u32> {
    match value {
        Value::Int(n) => u32::try_from(*n).ok(),
        _ => None,
    }
}

fn text<'a>(value: &Value<'a>) -> Option<&'a str> {
    match value {
        Value::Bytes(bytes) => std::str::from_utf8(bytes).ok(),
        _ => None,
    }
}

fn read_message(client: ClientId, value: &Value, tracks: &HashMap<String, TrackId>) -> Message {
    let Value::Array(items) = value else {
        return Message::Damage("a message is not an array");
    };
    match items.as_slice() {
        [Value::Int(0), id, method, params] => {
            let Some(number) = number(id) else {
                return Message::Damage("a request has no number");
            };
            let id = CallId { client, number };
            match text(method) {
                Some("heartbeat") => Message::Heartbeat(number),
                Some(method) => tracks
                    .get(method)
                    .and_then(|&track| read_call(id, track, params))
                    .map_or(Message::Bad(number), |call| Message::Call(Box::new(call))),
                None => Message::Bad(number),
            }
        }
        [Value::Int(2), method, Value::Array(params)] => match (text(method), params.as_slice()) {
            (Some("revoke"), [id]) => number(id).map_or(Message::Nothing, Message::Revoke),
            _ => Message::Nothing,
        },
        _ => Message::Damage("neither a request nor a notification"),
    }
}

fn read_call(id: CallId, track: TrackId, params: &Value) -> Option<Call> {
    let Value::Array(params) = params else {
        return None;
    };
    let (fields, body) = match params.as_slice() {
        [Value::Map(fields)] | [Value::Map(fields), Value::Nil] => (fields, &[][..]),
        [Value::Map(fields), Value::Bytes(body)] => (fields, *body),
        _ => return None,
    };
    let named = |name: &str| {
        let field = fields.iter().find(|(key, _)| text(key) == Some(name));
        field
            .and_then(|(_, value)| text(value))
            .filter(|value| !value.is_empty())
    };
    // Passed on as they are, so they must not be able to break a list of fields.
    let sound = |value: &&str| {
        value.len() <= 128
            && value
                .bytes()
                .all(|b| b.is_ascii_graphic() && b != b',' && b != b'=')
    };
    let passed = |name: &str| named(name).filter(sound).map(str::to_owned);
    let all_sound = ["ref", "lookup", "replay", "have"]
        .iter()
        .all(|name| named(name).as_ref().is_none_or(sound));
    let allow: f64 = named("allow")?.parse().ok()?;
    let size: Option<f64> = named("room").map(str::parse).transpose().ok()?;
    let call = Call {
        id,
        come: Instant::now(),
        reference: passed("ref")?.into(),
        left: Span::from_secs_f64(allow / 1000.0),
        track,
        object: object_id(named("lookup")?)?,
        object_text: passed("lookup")?,
        group: GroupId(named("group").unwrap_or("0").parse().ok()?),
        part: named("part").unwrap_or("0").parse().ok()?,
        size_kb: size.filter(|kb| kb.is_finite() && *kb > 0.0),
        mark: passed("replay"),
        held_tag: passed("have"),
        body: body.into(),
    };
    let sized = body.len() <= LONGEST_BODY && (0.0..=LONGEST_WAIT_MS).contains(&allow);
    (all_sound && sized).then_some(call)
}
