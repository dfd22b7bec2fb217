//! Clients that speak MessagePack-RPC to one dispatcher: a few requests to a connection, more connections as needed.

use rmpv::Value;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};

/// What a client hears of one request.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    Done {
        bytes: usize,
    },
    /// How long to stay away, in milliseconds, where it is told.
    Rejected {
        cooldown: Option<u64>,
    },
    Aborted {
        why: String,
    },
    /// The connection ended without an answer, or never came up.
    Broken,
    /// No answer in the time that the client waits.
    Silent,
}

/// Requests open on one connection at most; the protocol allows 32.
const TO_A_LINE: usize = 8;
const MOST_ANSWER: usize = 4 << 20;
/// One answer to a request that was left may still be on its way for so long.
const CROSSES: Duration = Duration::from_millis(250);

struct Line {
    out: UnboundedSender<Vec<u8>>,
    next: Cell<u64>,
    open: RefCell<BTreeMap<u64, oneshot::Sender<Reply>>>,
    /// Requests that the client left, and when: their answers may have been on their way.
    left: RefCell<BTreeMap<u64, Instant>>,
    dead: Cell<bool>,
    extra: Rc<Cell<u64>>,
    crosses: Rc<Cell<Duration>>,
}

/// Hands on every message that is whole, and takes it out. An error: what is there is no message.
pub fn take_messages(held: &mut Vec<u8>, mut each: impl FnMut(&Value)) -> io::Result<()> {
    let mut at = 0;
    while at < held.len() {
        let mut rest = &held[at..];
        let before = rest.len();
        match rmpv::decode::read_value(&mut rest) {
            Ok(value) => {
                at += before - rest.len();
                each(&value);
            }
            Err(e) if e.kind() == io::ErrorKind::UnexpectedEof => break,
            Err(e) => return Err(io::Error::new(io::ErrorKind::InvalidData, e)),
        }
    }
    held.drain(..at);
    Ok(())
}

/// A queue whose bytes go out on a connection, whatever is queued in one write.
pub fn writer(mut write: OwnedWriteHalf) -> UnboundedSender<Vec<u8>> {
    let (out, mut queue) = unbounded_channel::<Vec<u8>>();
    spawn_local(async move {
        while let Some(mut bytes) = queue.recv().await {
            while let Ok(more) = queue.try_recv() {
                bytes.extend(more);
            }
            if write.write_all(&bytes).await.is_err() {
                break;
            }
        }
    });
    out
}

/// All connections to one dispatcher.
pub struct Caller {
    address: SocketAddr,
    lines: RefCell<Vec<Rc<Line>>>,
    /// Answers to nothing that is open: a second answer, or one after the client gave up.
    extra: Rc<Cell<u64>>,
    crosses: Rc<Cell<Duration>>,
}

impl Caller {
    pub fn new(address: SocketAddr) -> Caller {
        Caller {
            address,
            lines: RefCell::default(),
            extra: Rc::default(),
            crosses: Rc::new(Cell::new(CROSSES)),
        }
    }

    /// The dispatcher is not run for so long: it can't read meanwhile that a client left, and may answer before it does.
    pub fn paused(&self, lasts: Duration) {
        self.crosses.set(CROSSES + lasts);
    }

    /// How many answers came that were owed to no open request.
    pub fn extra_answers(&self) -> u64 {
        self.extra.get()
    }

    async fn line(&self) -> io::Result<Rc<Line>> {
        self.lines.borrow_mut().retain(|line| !line.dead.get());
        let room = |line: &&Rc<Line>| line.open.borrow().len() < TO_A_LINE;
        let found = self.lines.borrow().iter().find(room).cloned();
        if let Some(line) = found {
            return Ok(line);
        }
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        let (read, mut write) = stream.into_split();
        let (out, mut orders) = unbounded_channel::<Vec<u8>>();
        let line = Rc::new(Line {
            out,
            next: Cell::new(0),
            open: RefCell::default(),
            left: RefCell::default(),
            dead: Cell::new(false),
            extra: self.extra.clone(),
            crosses: self.crosses.clone(),
        });
        self.lines.borrow_mut().push(line.clone());
        let writer = line.clone();
        spawn_local(async move {
            while let Some(bytes) = orders.recv().await {
                if write.write_all(&bytes).await.is_err() {
                    break;
                }
            }
            writer.end();
        });
        let reader = line.clone();
        spawn_local(async move {
            let _ = reader.listen(read).await;
            reader.end();
        });
        Ok(line)
    }

    /// One request. `written` is called once its bytes are on their way; after `wait` it is revoked.
    pub async fn call(
        &self,
        method: &str,
        fields: &[(&str, String)],
        body: usize,
        wait: Duration,
        written: impl FnOnce(),
    ) -> Reply {
        let mut written = Some(written);
        // One that crosses the close of an idle connection is sent again once.
        for last in [false, true] {
            let Ok(line) = self.line().await else {
                return Reply::Broken;
            };
            let id = line.next.get() + 1;
            line.next.set(id);
            let (answered, answer) = oneshot::channel();
            line.open.borrow_mut().insert(id, answered);
            let fields = fields
                .iter()
                .map(|(name, value)| (Value::from(*name), Value::from(value.as_str())));
            let fields = Value::Map(fields.collect());
            let params = Value::Array(vec![fields, Value::Binary(vec![b'y'; body])]);
            let request = Value::Array(vec![0.into(), id.into(), method.into(), params]);
            written.take().into_iter().for_each(|written| written());
            line.write(&request);
            let sent = tokio::time::Instant::now();
            match timeout(wait, answer).await {
                Err(_) => {
                    line.open.borrow_mut().remove(&id);
                    line.leave(id);
                    let revoke = Value::Array(vec![
                        2.into(),
                        "revoke".into(),
                        Value::Array(vec![id.into()]),
                    ]);
                    line.write(&revoke);
                    return Reply::Silent;
                }
                Ok(Ok(Reply::Broken)) | Ok(Err(_))
                    if !last && sent.elapsed() < Duration::from_millis(50) => {}
                Ok(Ok(reply)) => return reply,
                Ok(Err(_)) => return Reply::Broken,
            }
        }
        Reply::Broken
    }

    /// Whether the dispatcher says that it is up.
    pub async fn heartbeat(&self, wait: Duration) -> bool {
        matches!(
            self.call("heartbeat", &[], 0, wait, || {}).await,
            Reply::Done { .. }
        )
    }
}

impl Line {
    fn write(&self, value: &Value) {
        let mut bytes = Vec::new();
        if rmpv::encode::write_value(&mut bytes, value).is_ok() {
            let _ = self.out.send(bytes);
        }
    }

    fn leave(&self, id: u64) {
        let mut left = self.left.borrow_mut();
        left.retain(|_, at| at.elapsed() < self.crosses.get());
        left.insert(id, Instant::now());
    }

    fn end(&self) {
        self.dead.set(true);
        for (_, open) in std::mem::take(&mut *self.open.borrow_mut()) {
            let _ = open.send(Reply::Broken);
        }
    }

    async fn listen(&self, mut read: OwnedReadHalf) -> io::Result<()> {
        let mut held: Vec<u8> = Vec::new();
        let mut chunk = vec![0; 64 << 10];
        loop {
            let n = read.read(&mut chunk).await?;
            if n == 0 || held.len() + n > MOST_ANSWER {
                return Ok(());
            }
            held.extend_from_slice(&chunk[..n]);
            if take_messages(&mut held, |value| self.hear(value)).is_err() {
                return Ok(());
            }
        }
    }

    fn hear(&self, value: &Value) {
        let Some([_, id, error, result]) = value.as_array().map(Vec::as_slice) else {
            return;
        };
        let waiting = id
            .as_u64()
            .and_then(|id| self.open.borrow_mut().remove(&id));
        let Some(waiting) = waiting else {
            let left = id
                .as_u64()
                .and_then(|id| self.left.borrow_mut().remove(&id));
            let crossed = left.is_some_and(|left| left.elapsed() < self.crosses.get());
            self.extra.set(self.extra.get() + u64::from(!crossed));
            return;
        };
        let reply = match error.as_array() {
            None => {
                let body = result.as_array().and_then(|parts| parts.first());
                Reply::Done {
                    bytes: body.and_then(Value::as_slice).map_or(0, <[u8]>::len),
                }
            }
            Some(error) => {
                let name = error.first().and_then(Value::as_str).unwrap_or("");
                let told = error.get(1).and_then(Value::as_map);
                let cooldown = told
                    .and_then(|map| map.iter().find(|(key, _)| key.as_str() == Some("cooldown")));
                let cooldown = cooldown.and_then(|(_, ms)| ms.as_str()?.parse::<f64>().ok());
                match name {
                    "Throttled" => Reply::Rejected {
                        cooldown: cooldown.map(|ms| ms as u64),
                    },
                    _ => Reply::Aborted {
                        why: name.to_owned(),
                    },
                }
            }
        };
        let _ = waiting.send(reply);
    }
}
