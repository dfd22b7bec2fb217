//! Honest clients: they ask, wait, sometimes cancel or leave, and tell the oracle what they saw.

use crate::oracle::{ANSWER_WITHIN, Asking, NOISE, Oracle, Promise};
use crate::process::Dispatcher;
use crate::wire::message;
use rmpv::Value;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};
use trailproxy::units::{TimeSpan, Timestamp};
use trailproxy_lab::rules::Final;
use trailproxy_lab::traffic::Wish;
use trailproxy_standins::client::take_messages;

/// Requests that are open on one connection at most.
const TO_A_CONNECTION: usize = 6;
/// A request that crosses the end of a resting connection within this is sent again once.
const CROSSES_WITHIN: Duration = Duration::from_millis(50);
/// Answers that were on their way when the client cancelled may still come for so long.
const ANSWER_CROSSES: Duration = Duration::from_millis(400);
const MOST_BYTES: usize = 4 << 20;
/// Requests that come later than this after SIGTERM are not owed an answer.
const TAKEN_BEHIND_THE_END: TimeSpan = TimeSpan::from_millis(700);

/// What a client does with a request.
#[derive(Clone, Copy, Debug)]
pub enum Behaviour {
    Waits,
    /// Cancels after a while.
    Cancels(Duration),
    /// Closes its connection, which carries nothing else, after a while.
    Closes(Duration),
    /// Resets it.
    Resets(Duration),
    /// Ends its side at once and listens on.
    HalfCloses,
}

impl Behaviour {
    pub fn draw(chance: &mut fastrand::Rng) -> Behaviour {
        let after = Duration::from_millis(chance.u64(0..400));
        match chance.u8(..100) {
            0..8 => Behaviour::Cancels(after),
            8..13 => Behaviour::Closes(after),
            13..16 => Behaviour::Resets(after),
            16..19 => Behaviour::HalfCloses,
            _ => Behaviour::Waits,
        }
    }

    /// Whether its connection carries nothing else.
    fn alone(self) -> bool {
        !matches!(self, Behaviour::Waits | Behaviour::Cancels(_))
    }
}

/// What became of the answer.
#[derive(Debug)]
enum Reply {
    Final(Final),
    /// The connection ended first.
    Ended,
}

/// One connection to a dispatcher.
struct Connection {
    write: RefCell<Option<OwnedWriteHalf>>,
    next: Cell<u64>,
    open: RefCell<BTreeMap<u64, oneshot::Sender<Reply>>>,
    /// Requests that were cancelled, and until when their answers may still come.
    left: RefCell<BTreeMap<u64, Instant>>,
    /// Requests whose time was over long ago.
    given_up: RefCell<BTreeSet<u64>>,
    ended: Cell<bool>,
    used: Cell<bool>,
    oracle: Rc<Oracle>,
}

/// All clients of one dispatcher.
pub struct Clients {
    pub dispatcher: Rc<Dispatcher>,
    connections: RefCell<Vec<Rc<Connection>>>,
    oracle: Rc<Oracle>,
}

/// One request.
pub struct Question<'a> {
    pub class: &'a str,
    pub wish: Wish,
    pub reference: u64,
    pub allow: Duration,
    pub key: Option<String>,
    pub body: usize,
    pub behaviour: Behaviour,
}

impl Clients {
    pub fn new(dispatcher: Rc<Dispatcher>, oracle: Rc<Oracle>) -> Clients {
        Clients {
            dispatcher,
            connections: RefCell::default(),
            oracle,
        }
    }

    /// A connection that stands and takes one more request.
    fn with_room(&self) -> Option<Rc<Connection>> {
        let mut connections = self.connections.borrow_mut();
        connections.retain(|connection| !connection.ended.get());
        let room = |c: &&Rc<Connection>| c.open.borrow().len() < TO_A_CONNECTION;
        connections.iter().find(room).cloned()
    }

    async fn connection(&self, alone: bool) -> io::Result<Rc<Connection>> {
        if let Some(found) = self.with_room().filter(|_| !alone) {
            return Ok(found);
        }
        let stream = TcpStream::connect(self.dispatcher.address).await?;
        stream.set_nodelay(true)?;
        let (read, write) = stream.into_split();
        let connection = Rc::new(Connection {
            write: RefCell::new(Some(write)),
            next: Cell::new(0),
            open: RefCell::default(),
            left: RefCell::default(),
            given_up: RefCell::default(),
            ended: Cell::new(false),
            used: Cell::new(false),
            oracle: self.oracle.clone(),
        });
        if !alone {
            self.connections.borrow_mut().push(connection.clone());
        }
        let reader = connection.clone();
        spawn_local(async move {
            let _ = reader.listen(read).await;
            reader.end();
        });
        Ok(connection)
    }

    /// Asks, and sees it through to its end.
    pub async fn ask(&self, question: Question<'_>) {
        let reference = question.reference;
        for crossed in [false, true] {
            let alone = question.behaviour.alone() || crossed;
            let Ok(connection) = self.connection(alone).await else {
                return;
            };
            let sent = Instant::now();
            let sent_at = self.oracle.now();
            let deadline = sent_at + TimeSpan(question.allow.as_micros() as u64);
            if !crossed {
                self.oracle.asks(Asking {
                    reference,
                    class: question.wish.track,
                    object: question.wish.object,
                    group: question.wish.group,
                    kb: question.wish.kb,
                    dispatcher: self.dispatcher.number,
                    deadline,
                });
            }
            let resting = connection.used.replace(true) && connection.open.borrow().is_empty();
            let (number, answer) = connection.begin();
            let bytes = encode(number, &question);
            if connection.write(&bytes).await.is_err() && !self.owed_nothing(sent_at, reference) {
                let may_cross = resting && sent.elapsed() < CROSSES_WITHIN && !crossed;
                if may_cross {
                    continue;
                }
                // It was not written whole: it was not taken.
                self.oracle.excused(reference);
                return;
            }
            let reply = self.wait(&connection, number, answer, &question, deadline);
            match reply.await {
                Some(Reply::Ended) => {
                    let crossing = resting && sent.elapsed() < CROSSES_WITHIN;
                    if self.owed_nothing(sent_at, reference) {
                        return;
                    }
                    if crossing && !crossed {
                        continue;
                    }
                    self.lost(reference, "its connection was ended with no answer");
                }
                // One that was stopped could not answer in time.
                Some(Reply::Final(_)) if self.dispatcher.was_paused_since(deadline) => {
                    self.oracle.excused(reference);
                }
                Some(Reply::Final(how)) => self.oracle.answered(reference, how),
                None => {}
            }
            return;
        }
    }

    /// Whether the dispatcher was killed since, or the request came too long after the word to end.
    fn owed_nothing(&self, sent: Timestamp, reference: u64) -> bool {
        let killed = self.dispatcher.killed_at.get();
        let told = self.dispatcher.told_to_end_at.get();
        let behind_the_end = told.is_some_and(|told| sent > told + TAKEN_BEHIND_THE_END);
        let excused = killed.is_some_and(|killed| killed + NOISE > sent) || behind_the_end;
        if excused {
            self.oracle.excused(reference);
        }
        excused
    }

    fn lost(&self, reference: u64, why: &str) {
        let number = self.dispatcher.number;
        let what = format!("{reference:016x} at dispatcher {number}: {why}");
        self.oracle.breach(Promise::EveryRequestAnswered, what);
        self.oracle.excused(reference);
    }

    /// What comes of a request that is written; `None`: nothing more is to be said of it.
    async fn wait(
        &self,
        connection: &Rc<Connection>,
        number: u64,
        answer: oneshot::Receiver<Reply>,
        question: &Question<'_>,
        deadline: Timestamp,
    ) -> Option<Reply> {
        let reference = question.reference;
        let left = Duration::from_micros(deadline.since(self.oracle.now()).0);
        let slack = Duration::from_micros((ANSWER_WITHIN + NOISE).0);
        let last = left + slack + self.dispatcher.pause_left();
        let stays = match question.behaviour {
            Behaviour::Waits | Behaviour::HalfCloses => last,
            Behaviour::Cancels(after) | Behaviour::Closes(after) | Behaviour::Resets(after) => {
                after
            }
        };
        if matches!(question.behaviour, Behaviour::HalfCloses) {
            connection.half_close().await;
        }
        match timeout(stays.min(last), answer).await {
            Ok(reply) => return Some(reply.unwrap_or(Reply::Ended)),
            Err(_) if stays < last => {}
            Err(_) => {
                if self.dispatcher.was_paused_since(deadline) {
                    self.oracle.excused(reference);
                } else {
                    self.lost(reference, "no answer until half a second behind its time");
                }
                connection.give_up(number);
                return None;
            }
        }
        connection.forget(number);
        match question.behaviour {
            Behaviour::Cancels(_) => {
                // One that is stopped can't read of it, and may answer before it does.
                let crosses_until = Instant::now() + ANSWER_CROSSES + self.dispatcher.pause_left();
                connection.left.borrow_mut().insert(number, crosses_until);
                let _ = connection.write(&revocation(number)).await;
            }
            Behaviour::Resets(_) => connection.close(true).await,
            _ => connection.close(false).await,
        }
        self.oracle.left(reference);
        None
    }
}

impl Connection {
    fn begin(&self) -> (u64, oneshot::Receiver<Reply>) {
        let number = self.next.get() + 1;
        self.next.set(number);
        let (tell, answer) = oneshot::channel();
        self.open.borrow_mut().insert(number, tell);
        (number, answer)
    }

    /// Nobody waits for its answer any more, which is told as lost already, or excused.
    fn give_up(&self, number: u64) {
        self.forget(number);
        self.given_up.borrow_mut().insert(number);
    }

    fn forget(&self, number: u64) {
        self.open.borrow_mut().remove(&number);
    }

    /// One message at a time; whoever finds another one being written waits.
    async fn write(&self, bytes: &[u8]) -> io::Result<()> {
        loop {
            if self.ended.get() {
                return Err(io::ErrorKind::BrokenPipe.into());
            }
            let taken = self.write.borrow_mut().take();
            if let Some(mut write) = taken {
                let written = write.write_all(bytes).await;
                *self.write.borrow_mut() = Some(write);
                return written;
            }
            sleep(Duration::from_millis(1)).await;
        }
    }

    async fn half_close(&self) {
        let taken = self.write.borrow_mut().take();
        if let Some(mut write) = taken {
            let _ = write.shutdown().await;
            *self.write.borrow_mut() = Some(write);
        }
    }

    async fn close(&self, by_reset: bool) {
        self.ended.set(true);
        let taken = self.write.borrow_mut().take();
        if let Some(write) = taken
            && by_reset
        {
            let stream = socket2::SockRef::from(write.as_ref());
            let _ = stream.set_linger(Some(Duration::ZERO));
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    fn end(&self) {
        self.ended.set(true);
        for (_, tell) in std::mem::take(&mut *self.open.borrow_mut()) {
            let _ = tell.send(Reply::Ended);
        }
    }

    async fn listen(&self, mut read: OwnedReadHalf) -> io::Result<()> {
        let (mut held, mut piece) = (Vec::new(), vec![0; 64 << 10]);
        while !self.ended.get() {
            // A client that has closed must let go of its side as well.
            let Ok(size) = timeout(Duration::from_millis(20), read.read(&mut piece)).await else {
                continue;
            };
            let size = size?;
            if size == 0 || held.len() + size > MOST_BYTES {
                return Ok(());
            }
            held.extend_from_slice(&piece[..size]);
            if let Err(e) = take_messages(&mut held, |value| self.hear(value)) {
                let what = format!("an answer can't be read: {e}");
                self.oracle.breach(Promise::OneAnswer, what);
                return Ok(());
            }
        }
        Ok(())
    }

    fn hear(&self, value: &Value) {
        let Some([_, number, error, _]) = value.as_array().map(Vec::as_slice) else {
            return;
        };
        let number = number.as_u64().unwrap_or(0);
        if self.ended.get() {
            // Its client has closed, and this was on its way.
            return;
        }
        let Some(tell) = self.open.borrow_mut().remove(&number) else {
            let left = self.left.borrow_mut().remove(&number);
            let given_up = self.given_up.borrow_mut().remove(&number);
            if !given_up && left.is_none_or(|until| Instant::now() > until) {
                let what = format!("an answer to nothing that is open: {value}");
                self.oracle.breach(Promise::OneAnswer, what);
            }
            return;
        };
        let word = error.as_array().and_then(|error| error.first());
        let how = match word.and_then(Value::as_str) {
            None => Final::Done,
            Some("Throttled") => Final::Rejected,
            Some(_) => Final::Aborted,
        };
        let _ = tell.send(Reply::Final(how));
    }
}

/// A request as it goes over the wire.
pub fn encode(number: u64, question: &Question<'_>) -> Vec<u8> {
    let wish = question.wish;
    let mut fields = vec![
        ("ref", format!("{:016x}", question.reference)),
        ("allow", question.allow.as_millis().max(1).to_string()),
        ("lookup", format!("{:016x}", wish.object.0)),
        ("part", wish.part.to_string()),
        ("group", wish.group.0.to_string()),
        ("room", format!("{:.3}", wish.kb)),
    ];
    if let Some(key) = &question.key {
        fields.push(("replay", key.clone()));
    }
    let fields = fields.into_iter();
    let fields = fields.map(|(name, value)| (Value::from(name), Value::from(value)));
    let parameters = vec![
        Value::Map(fields.collect()),
        Value::Binary(vec![b'y'; question.body]),
    ];
    message(vec![
        0.into(),
        number.into(),
        question.class.into(),
        Value::Array(parameters),
    ])
}

fn revocation(number: u64) -> Vec<u8> {
    message(vec![
        2.into(),
        "revoke".into(),
        Value::Array(vec![number.into()]),
    ])
}
