//! The network between dispatchers and servers: a proxy before each server, which holds, delays and resets, and notes what
//! passes and when.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};
use trailproxy::units::HostId;
use trailproxyd::msgpack::ParseError;
use trailproxyd::resp;

/// How often a held connection looks whether it may go on.
const LOOK: Duration = Duration::from_millis(5);
const PIECE: usize = 64 << 10;
const MOST_WORDS: usize = 8;
const LONGEST_WORD: usize = 1 << 20;

/// What a server was asked.
#[derive(Clone, Debug)]
pub struct Pull {
    pub host: HostId,
    pub reference: u64,
    pub source: Option<HostId>,
    /// The deadline that was passed on.
    pub ttl: Duration,
}

/// Whoever notes what passes.
pub trait Observer {
    /// A request has come whole from a dispatcher.
    fn pulled(&self, pull: &Pull);
    /// An answer goes on to the dispatcher. `minted`: the Unix millisecond of the copy.
    fn answered(&self, reference: u64, never_ran: bool, minted: Option<u64>);
    /// A request was given up, or its connection is over.
    fn abandoned(&self, reference: u64);
}

/// What is done to all connections.
pub struct Faults {
    held_until: Cell<Instant>,
    /// Connections that were made under an earlier number are reset.
    resets: Cell<u64>,
    late_until: Cell<Instant>,
    late_by: Cell<Duration>,
}

impl Default for Faults {
    fn default() -> Faults {
        let now = Instant::now();
        Faults {
            held_until: Cell::new(now),
            resets: Cell::new(0),
            late_until: Cell::new(now),
            late_by: Cell::new(Duration::ZERO),
        }
    }
}

impl Faults {
    pub fn hold(&self, lasts: Duration) {
        self.held_until.set(Instant::now() + lasts);
    }

    pub fn reset_all(&self) {
        self.resets.set(self.resets.get() + 1);
    }

    /// New connections say nothing for a while, as long as this lasts.
    pub fn delay_new(&self, by: Duration, lasts: Duration) {
        self.late_by.set(by);
        self.late_until.set(Instant::now() + lasts);
    }

    async fn wait(&self) {
        while Instant::now() < self.held_until.get() {
            sleep(LOOK).await;
        }
    }
}

/// Opens a proxy before a server, and says where.
pub fn open(
    host: HostId,
    server: SocketAddr,
    faults: Rc<Faults>,
    observer: Rc<dyn Observer>,
) -> io::Result<SocketAddr> {
    let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
    listener.set_nonblocking(true)?;
    let listener = TcpListener::from_std(listener)?;
    let address = listener.local_addr()?;
    spawn_local(async move {
        loop {
            let Ok((near, _)) = listener.accept().await else {
                sleep(LOOK).await;
                continue;
            };
            let (faults, observer) = (faults.clone(), observer.clone());
            spawn_local(async move {
                let connection = Connection {
                    host,
                    observer,
                    open: RefCell::default(),
                };
                connection.serve(near, server, &faults).await;
            });
        }
    });
    Ok(address)
}

/// One connection of a dispatcher to a server.
struct Connection {
    host: HostId,
    observer: Rc<dyn Observer>,
    /// Requests that are under way on it.
    open: RefCell<BTreeMap<Vec<u8>, u64>>,
}

impl Connection {
    async fn serve(&self, near: TcpStream, server: SocketAddr, faults: &Faults) {
        let made_under = faults.resets.get();
        let reset = async {
            while faults.resets.get() == made_under {
                sleep(LOOK).await;
            }
        };
        let _ = near.set_nodelay(true);
        // A close without more words is a reset here, as of a machine whose process has died.
        let _ = socket2::SockRef::from(&near).set_linger(Some(Duration::ZERO));
        let Ok(far) = TcpStream::connect(server).await else {
            return;
        };
        let _ = far.set_nodelay(true);
        let late = Instant::now() < faults.late_until.get();
        let forward_from = Instant::now()
            + if late {
                faults.late_by.get()
            } else {
                Duration::ZERO
            };
        let (from_near, to_near) = near.into_split();
        let (from_far, to_far) = far.into_split();
        tokio::select! {
            () = reset => {}
            _ = self.requests(from_near, to_far, forward_from, faults) => {}
            _ = self.answers(from_far, to_near, faults) => {}
        }
        for (_, reference) in std::mem::take(&mut *self.open.borrow_mut()) {
            self.observer.abandoned(reference);
        }
    }

    /// What comes is read and noted at once, whatever waits before it goes on.
    async fn requests(
        &self,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
        forward_from: Instant,
        faults: &Faults,
    ) -> io::Result<()> {
        let (noted, mut waiting) = unbounded_channel::<Vec<u8>>();
        let reading = async {
            let (mut piece, mut seen) = (vec![0; PIECE], Vec::new());
            loop {
                let size = from.read(&mut piece).await?;
                if size == 0 {
                    return io::Result::Ok(());
                }
                seen.extend_from_slice(&piece[..size]);
                take_arrays(&mut seen, |words| self.request(words));
                let _ = noted.send(piece[..size].to_vec());
            }
        };
        let forwarding = async {
            sleep_until(forward_from).await;
            while let Some(bytes) = waiting.recv().await {
                faults.wait().await;
                to.write_all(&bytes).await?;
            }
            io::Result::Ok(())
        };
        tokio::select! {
            read = reading => read,
            forwarded = forwarding => forwarded,
        }
    }

    async fn answers(
        &self,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
        faults: &Faults,
    ) -> io::Result<()> {
        let (mut piece, mut seen) = (vec![0; PIECE], Vec::new());
        loop {
            let size = from.read(&mut piece).await?;
            if size == 0 {
                return Ok(());
            }
            faults.wait().await;
            seen.extend_from_slice(&piece[..size]);
            take_arrays(&mut seen, |words| self.answer(words));
            to.write_all(&piece[..size]).await?;
        }
    }

    fn request(&self, words: &[&[u8]]) {
        match words {
            [b"PULL", id, fields, ..] => {
                let Some(pull) = self.pull(id, fields) else {
                    return;
                };
                self.open.borrow_mut().insert(id.to_vec(), pull.reference);
                self.observer.pulled(&pull);
            }
            [b"KILL", id] => {
                if let Some(reference) = self.open.borrow_mut().remove(*id) {
                    self.observer.abandoned(reference);
                }
            }
            _ => {}
        }
    }

    fn pull(&self, id: &[u8], fields: &[u8]) -> Option<Pull> {
        let ttl = field(fields, "ttl")?.parse().ok()?;
        Some(Pull {
            host: self.host,
            reference: u64::from_str_radix(std::str::from_utf8(id).ok()?, 16).ok()?,
            source: field(fields, "via").map(|name| HostId::of_name(&name)),
            ttl: Duration::from_millis(ttl),
        })
    }

    fn answer(&self, words: &[&[u8]]) {
        let [id, word, fields, ..] = words else {
            return;
        };
        let Some(reference) = self.open.borrow_mut().remove(*id) else {
            return;
        };
        let never_ran = matches!(*word, b"absent" | b"full" | b"moot");
        let minted = field(fields, "minted").and_then(|ms| ms.parse().ok());
        let minted = minted.filter(|_| *word == b"data");
        self.observer.answered(reference, never_ran, minted);
    }
}

/// Hands on every array that is whole, and takes it out. What can't be read is left to the two sides.
fn take_arrays(seen: &mut Vec<u8>, mut each: impl FnMut(&[&[u8]])) {
    loop {
        let taken = match resp::read(seen, MOST_WORDS, LONGEST_WORD) {
            Ok((words, size)) => {
                each(&words);
                size
            }
            Err(ParseError::Incomplete(_)) => return,
            Err(ParseError::Malformed(_)) => seen.len(),
        };
        if taken == 0 {
            return;
        }
        seen.drain(..taken);
    }
}

fn field(fields: &[u8], name: &str) -> Option<String> {
    let text = std::str::from_utf8(fields).ok()?;
    let mut pairs = text.split(',').filter_map(|pair| pair.split_once('='));
    let found = pairs.find(|(key, _)| *key == name);
    found.map(|(_, value)| value.to_owned())
}
