//! Clients: MessagePack-RPC over TCP, requests pipelined and answered in any order.

use crate::buffered::Held;
use crate::checks::{Counts, count, must};
use crate::client_slots::{Room, Slots, Use};
use crate::list::object_id;
use crate::messages::*;
use crate::msgpack::{self, Fault, Value};
use crate::pulse::Pulse;
use crate::ring::Ring;
use crate::system_calls::{self, RESOURCE_RETRY_DELAY, Transfer, errno};
use crate::trace::Trace;
use local_channel::mpsc;
use slog::{Logger, debug};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::future::poll_fn;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, sleep_until};
use trailproxy::policy::permits::{self, CloseFacts};
use trailproxy::policy::system_errors::{AcceptError, classify_accept_error};
use trailproxy::units::*;

/// Open requests on one connection, by the protocol: one that asks for more is closed, and all that it
/// asked for is withdrawn. Answers not yet taken count, too, and so do those to bad requests and heartbeats: at
/// twice that it is closed as well. It is always read from, or its leaving could not be seen behind what it sent.
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
/// So often one connection is read from before others have their turn.
const READS_AT_ONCE: usize = 8;
const ACCEPT_AGAIN: Duration = Duration::from_millis(5);
/// Accepts that fail at the end are made again for so long: less than what clients are given to be answered in.
const LAST_ACCEPTS_WITHIN: Duration = Duration::from_secs(2);
/// A client is owed a word or a close within 3 s: by then its message must be whole.
const WHOLE_WITHIN: Duration = Duration::from_millis(2500);
/// A client that ends its side is taken to have gone after this: what it sent just before still begins.
const GONE_AFTER: Duration = Duration::from_micros(permits::CLIENT_CLOSE_GRACE.0);
/// One that is idle for too long is told so by a half-close, and has so long to end its side: a close at once would
/// reset what it may be sending in that moment, and answers on their way with it.
const ENDS_WITHIN: Duration = Duration::from_millis(500);
/// Clients close what has been idle for 4 s, by the protocol; who does not is not coming back.
const IDLE_WITHIN: Duration = Duration::from_millis(4500);

/// What all connections share.
pub struct Shared {
    pub queue: InboundSender,
    pub tracks: HashMap<String, ClassId>,
    pub places: RefCell<Slots>,
    /// No client waits longer than this for anything.
    pub longest_limit: Duration,
    pub ending: Cell<bool>,
    pub held: Held,
    pub pulse: Rc<Pulse>,
    pub counts: Rc<Counts>,
    pub log: Logger,
    pub trace: Trace,
}

/// Accepts clients, as many as the descriptors allow. Past that a newcomer waits in the backlog for as
/// long as it takes one that says nothing, or is idle, to leave. It ends with the word to stop, once all that wait in
/// the backlog are in: to close over them would reset them, with what they ask.
pub async fn accept(listener: TcpListener, mut stop: mpsc::Receiver<()>, shared: Rc<Shared>) {
    let mut next = 0;
    // Whoever is there without a wait may have come at any time since the one before.
    let mut before = Instant::now();
    loop {
        let mut asked_in_vain = false;
        let accepted = poll_fn(|cx| {
            let accepted = listener.poll_accept(cx);
            asked_in_vain |= accepted.is_pending();
            accepted
        });
        let accepted = tokio::select! {
            biased;
            accepted = accepted => accepted.map(|(stream, _)| stream),
            _ = stop.recv() => break,
        };
        let now = Instant::now();
        let came_after = if asked_in_vain { now } else { before };
        before = now;
        match accepted {
            Ok(stream) => admit(&mut next, stream, came_after, &shared).await,
            Err(e) => {
                count(&shared.counts.accepts_failed);
                debug!(shared.log, "accept failed"; "why" => %e);
                if classify_accept_error(errno(&e)) != AcceptError::Next {
                    sleep(ACCEPT_AGAIN).await;
                }
            }
        }
    }
    accept_the_last(&listener, &mut next, before, &shared).await;
    drop(listener);
    let _ = shared.queue.send(Inbound::AllAccepted);
}

/// Lets in whoever waits as the process ends. The system is asked itself: what has come in this moment is not told to the
/// runtime yet. An accept that fails costs nobody who waits behind it.
async fn accept_the_last(
    listener: &TcpListener,
    next: &mut u64,
    before: Instant,
    shared: &Rc<Shared>,
) {
    let until = Instant::now() + LAST_ACCEPTS_WITHIN;
    while Instant::now() < until {
        let error = match accept_now(listener) {
            Ok(stream) => {
                admit(next, stream, before, shared).await;
                continue;
            }
            Err(error) => error,
        };
        match classify_accept_error(errno(&error)) {
            AcceptError::NonePending | AcceptError::Permanent => return,
            AcceptError::Next => count(&shared.counts.accepts_failed),
            AcceptError::RetryLater => {
                count(&shared.counts.accepts_failed);
                sleep(ACCEPT_AGAIN).await;
            }
        }
    }
}

/// The next that waits. One that can't be made not to block is not taken: it would stop the process.
fn accept_now(listener: &TcpListener) -> std::io::Result<TcpStream> {
    let (socket, _) = socket2::SockRef::from(listener).accept()?;
    socket.set_nonblocking(true)?;
    TcpStream::from_std(socket.into())
}

/// Serves a newcomer once there is a place for it.
async fn admit(next: &mut u64, stream: TcpStream, came_after: Instant, shared: &Rc<Shared>) {
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
    *next += 1;
    let _ = stream.set_nodelay(true);
    let connection = Connection::new(ClientId(*next), stream, came_after, shared.clone());
    tokio::task::spawn_local(connection.serve());
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
    /// Owed an answer, each with the word that it is over.
    owed: BTreeMap<u32, Rc<Cell<bool>>>,
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
    /// What those that wait for it look at.
    state: Rc<ClientState>,
    /// It came no earlier, and had a place from then on; it may have waited between.
    came_after: Instant,
    admitted: Instant,
    /// Since when it sends nothing more, and whether that was told.
    eof: Option<Instant>,
    shut: bool,
    /// It is to end once nothing is open, and whether it was told so or was idle for too long.
    finishing: bool,
    told_to_finish: bool,
    half_closed: bool,
    /// It is closed by then, whatever it does.
    ends_by: Option<Instant>,
    /// The system lacked something for it: nothing is read or written before this.
    rests_until: Option<Instant>,
}

/// Why a connection ends.
enum Over {
    /// In order, with nothing owed.
    Clean(&'static str),
    Broken(&'static str),
}

impl Connection {
    fn new(id: ClientId, stream: TcpStream, came_after: Instant, shared: Rc<Shared>) -> Connection {
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
            owed: BTreeMap::new(),
            replies: VecDeque::new(),
            ends: VecDeque::new(),
            written: 0,
            encoded: 0,
            progress: now,
            since: now,
            spoken: false,
            last_limit: now,
            state: Rc::default(),
            came_after,
            admitted: now,
            eof: None,
            shut: false,
            finishing: false,
            told_to_finish: false,
            half_closed: false,
            ends_by: None,
            rests_until: None,
            shared,
        }
    }

    async fn serve(mut self) {
        let over = loop {
            if let Err(over) = self.turn().await {
                break over;
            }
        };
        self.note_end(&over);
        self.owed.values().for_each(|over| over.set(true));
        self.shared.places.borrow_mut().close(self.id);
        let closed = Inbound::Client(FromClient::Closed(self.id));
        let _ = self.shared.queue.send(closed);
    }

    /// Tells why it ends, and checks that it may.
    fn note_end(&self, over: &Over) {
        let why = match over {
            Over::Clean(why) => {
                let facts = CloseFacts {
                    owed: self.owed.len(),
                    unwritten: self.replies.len() + self.ends.len(),
                };
                let may_close = permits::may_close(&facts);
                must(may_close, &self.shared.counts.broken_closed_owing);
                why
            }
            Over::Broken(why) => {
                debug!(self.shared.log, "client connection broken"; "client" => self.id.0, "why" => why);
                why
            }
        };
        self.shared
            .trace
            .client_closed(self.id, why, self.owed.len());
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
        self.shared.pulse.beat(Instant::now());
        if let Some(until) = self.rests_until.take() {
            sleep_until(until).await;
        }
        self.write()?;
        let idle = self.outgoing.is_empty();
        let (used, leaves_at) = self.used();
        self.shared.places.borrow_mut().note(self.id, used);
        if idle && self.open() == 0 {
            if self.finishing && !self.half_closed {
                // What has come by now is answered first; who asks again is not idle.
                system_calls::hear_the_system(&self.stream).await;
                self.read()?;
                if self.open() > 0 || !self.outgoing.is_empty() {
                    self.finishing = self.told_to_finish;
                    return Ok(());
                }
                self.half_closed = true;
                // At the end of the process all have the time that it has.
                self.ends_by = (!self.shared.ending.get()).then(|| Instant::now() + ENDS_WITHIN);
                shut(&self.stream).map_err(|_| Over::Broken("half-close failed"))?;
            }
            if self.eof.is_some() {
                return Err(Over::Clean("it has ended its side"));
            }
        }
        let gone_at = self.eof.filter(|_| !self.shut).map(|at| at + GONE_AFTER);
        if gone_at.is_some_and(|at| at <= Instant::now()) {
            self.shut = true;
            let _ = (self.shared.queue).send(Inbound::Client(FromClient::HalfClosed(self.id)));
        }
        // By then nothing that it waits for can come in time.
        let stalled = (self.progress + self.shared.longest_limit).max(self.last_limit);
        tokio::select! {
            biased;
            order = self.orders.recv() => match order {
                Some(ToClient::Reply(number, reply)) => self.reply(number, reply),
                Some(ToClient::Finish) | None => {
                    (self.finishing, self.told_to_finish) = (true, true);
                }
                Some(ToClient::YieldSlot) => {
                    system_calls::hear_the_system(&self.stream).await;
                    self.read()?;
                    if self.used().0 == used && used != Use::Busy {
                        count(&self.shared.counts.places_given_up);
                        return Err(Over::Clean("its place is wanted"));
                    }
                }
            },
            ready = self.stream.writable(), if !idle => {
                ready.map_err(|_| Over::Broken("write failed"))?;
            }
            ready = self.stream.readable(), if self.eof.is_none() => {
                ready.map_err(|_| Over::Broken("read failed"))?;
                self.shared.pulse.beat(Instant::now());
                self.read()?;
            }
            _ = sleep_until(leaves_at), if used != Use::Busy && !self.finishing => {
                match used {
                    Use::Idle(_) => count(&self.shared.counts.clients_idle),
                    _ => count(&self.shared.counts.clients_unsaid),
                }
                self.finishing = true;
            }
            _ = sleep_until(self.ends_by.unwrap_or(leaves_at)), if self.ends_by.is_some() => {
                return Err(Over::Clean("it was idle and did not end its side"));
            }
            _ = sleep_until(gone_at.unwrap_or(leaves_at)), if gone_at.is_some() && !self.shut => {}
            _ = sleep_until(stalled), if !idle => {
                count(&self.shared.counts.clients_stalled);
                return Err(Over::Broken("it takes nothing"));
            }
        }
        Ok(())
    }

    /// Takes what has come and acts on it, with the end behind it: so much at once that others have their turn, too.
    fn read(&mut self) -> Result<(), Over> {
        let first = !self.spoken;
        for _ in 0..READS_AT_ONCE {
            if self.eof.is_some() {
                break;
            }
            match system_calls::read(&self.stream, self.incoming.room()) {
                Transfer::Bytes(0) => {
                    let left_at = self.earliest(first);
                    let trace = &self.shared.trace;
                    trace.client_ended_its_side(self.id, left_at.elapsed());
                    self.eof = Some(left_at);
                    self.state.closed_at.set(Some(left_at));
                }
                Transfer::Bytes(n) => {
                    if self.spoken && self.incoming.is_empty() {
                        self.since = Instant::now();
                    }
                    self.incoming.filled(n);
                    if self.half_closed {
                        self.incoming.consume(n);
                    }
                    self.parse(first)?;
                }
                Transfer::NotReady => {
                    self.incoming.rest(true);
                    break;
                }
                Transfer::Lacking => {
                    self.rest();
                    break;
                }
                Transfer::Broken(_) => return Err(Over::Broken("reset")),
            }
        }
        Ok(())
    }

    /// When the last data came, as the system tells.
    fn data_came(&self) -> Option<Instant> {
        let age = system_calls::since_last_data(&self.stream)?;
        Instant::now().checked_sub(age)
    }

    /// Since when it may have been there, if it waited for its place and this is the first look at it.
    fn waited_since(&self, first: bool) -> Option<Instant> {
        let waited = self.admitted.duration_since(self.came_after) > GONE_AFTER;
        (first && waited).then_some(self.came_after)
    }

    /// Since when what is found now may have been there.
    ///
    /// At the first look at one that waited for its place: since it came. Behind a silence of the whole process: since
    /// that began. Neither is earlier than the data that came with it.
    fn earliest(&self, first: bool) -> Instant {
        let now = Instant::now();
        if let Some(since) = self.waited_since(first) {
            return since;
        }
        // The process may have been stopped since the task was run, amid its turn.
        self.shared.pulse.beat(now);
        let silence = self.shared.pulse.silence_before(now);
        let found_since = silence.map_or(now, |silence| silence.began);
        self.data_came()
            .map_or(found_since, |came| came.max(found_since))
            .min(now)
    }

    /// When a request that is read now was sent, at the latest that is safe: its time runs from then.
    fn sent_at(&self, first: bool) -> Instant {
        let now = Instant::now();
        if let Some(since) = self.waited_since(first) {
            return since;
        }
        self.data_came().map_or(now, |came| came.min(now))
    }

    /// The system lacks something for the moment: the connection is left alone for a while.
    fn rest(&mut self) {
        self.rests_until = Some(Instant::now() + RESOURCE_RETRY_DELAY);
    }

    fn reply(&mut self, number: u32, reply: Reply) {
        // What was revoked is owed nothing.
        if self.owed.remove(&number).is_some() {
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
            match system_calls::write(&self.stream, self.outgoing.parts().0) {
                Transfer::Bytes(n) => {
                    self.outgoing.consume(n);
                    self.written += n as u64;
                    self.progress = Instant::now();
                    while self.ends.front().is_some_and(|&end| end <= self.written) {
                        self.ends.pop_front();
                    }
                    self.since = self.progress;
                }
                Transfer::NotReady => return Ok(()),
                Transfer::Lacking => {
                    self.rest();
                    return Ok(());
                }
                Transfer::Broken(_) => return Err(Over::Broken("write failed")),
            }
        }
    }

    fn parse(&mut self, first: bool) -> Result<(), Over> {
        while self.incoming.len() >= self.wants && !self.half_closed {
            let bytes = self.incoming.whole();
            let (mut message, n) = match msgpack::read(bytes, LONGEST_MESSAGE) {
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
            if let Message::Call(call) = &mut message {
                call.arrived_at = self.sent_at(first);
                call.client = self.state.clone();
            }
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
                let owed = self.owed.insert(call.id.number, call.closed.clone());
                if owed.is_some() {
                    return damage("a number is used twice");
                }
                let limit = call.arrived_at + Duration::from_micros(call.time_left.0);
                self.last_limit = self.last_limit.max(limit);
                let _ = self
                    .shared
                    .queue
                    .send(Inbound::Client(FromClient::Requested(*call)));
            }
            Message::Revoke(number) => {
                if let Some(over) = self.owed.remove(&number) {
                    over.set(true);
                    let id = ClientRequestId {
                        client: self.id,
                        number,
                    };
                    let _ = self
                        .shared
                        .queue
                        .send(Inbound::Client(FromClient::Cancelled(id)));
                }
            }
            Message::Heartbeat(_) | Message::Bad(_) if self.open() >= MOST_OPEN => {
                return damage("it takes none of its answers");
            }
            Message::Heartbeat(number) => {
                let before = self.outgoing.len();
                encode_heartbeat(number, !self.shared.ending.get(), &mut self.outgoing);
                self.encoded += (self.outgoing.len() - before) as u64;
                self.ends.push_back(self.encoded);
                self.write()?;
            }
            Message::Bad(number) => {
                count(&self.shared.counts.bad_clients);
                if self.owed.insert(number, Rc::default()).is_some() {
                    return damage("a number is used twice");
                }
                self.reply(number, Reply::Failed);
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
        Reply::Served(body) => return done(body.bytes(), &[]),
        Reply::NotModified => return done(&[], &[("same", "1")]),
        Reply::Refused { retry_after: None } => failed(&mut head, "Throttled", &[]),
        Reply::Refused {
            retry_after: Some(span),
        } => {
            let ms = (span.0 / 1000).max(1).to_string();
            failed(&mut head, "Throttled", &[("cooldown", &ms)]);
        }
        Reply::Failed => failed(&mut head, "Broken", &[]),
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
    Call(Box<ClientRequest>),
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

fn read_message(client: ClientId, value: &Value, tracks: &HashMap<String, ClassId>) -> Message {
    let Value::Array(items) = value else {
        return Message::Damage("a message is not an array");
    };
    match items.as_slice() {
        [Value::Int(0), id, method, params] => {
            let Some(number) = number(id) else {
                return Message::Damage("a request has no number");
            };
            let id = ClientRequestId { client, number };
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

fn read_call(id: ClientRequestId, track: ClassId, params: &Value) -> Option<ClientRequest> {
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
    let call = ClientRequest {
        id,
        arrived_at: Instant::now(),
        reference: passed("ref")?.into(),
        time_left: TimeSpan::from_secs_f64(allow / 1000.0),
        class: track,
        object: object_id(named("lookup")?)?,
        object_name: passed("lookup")?,
        group: GroupId(named("group").unwrap_or("0").parse().ok()?),
        part: named("part").unwrap_or("0").parse().ok()?,
        size_kb: size.filter(|kb| kb.is_finite() && *kb > 0.0),
        idempotency_key: passed("replay"),
        held_etag: passed("have"),
        body: body.into(),
        closed: Rc::default(),
        client: Rc::default(),
    };
    let sized = body.len() <= LONGEST_BODY && (0.0..=LONGEST_WAIT_MS).contains(&allow);
    (all_sound && sized).then_some(call)
}
