//! A relay on each way between two dispatchers, which loses, doubles, delays, starves, spoils or cuts what passes.
//!
//! Each dispatcher tells the others the address of its own relay. What comes there is known by its sender's address, is
//! done to as that way has it, and goes on from the sender's relay, so that the answer takes the same path back.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep_until};

/// What is done on one way.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Way {
    pub cut: bool,
    pub lose: f64,
    pub double: f64,
    pub garbage: f64,
    /// The longest that a message is on its way without faults; the shortest is half of it.
    pub distance: Duration,
    /// Further delay, at the mean.
    pub slow: Duration,
    /// Bytes in a second; zero: no bound.
    pub trickle: f64,
}

/// Whether a way, from one seat to another, is meant.
pub type Fits<'a> = &'a dyn Fn(usize, usize) -> bool;

/// What passed so far, by sender.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Passed {
    pub letters: u64,
    pub bytes: u64,
}

struct Shared {
    ways: Vec<Vec<Way>>,
    passed: Vec<Passed>,
    over: bool,
}

/// All relays of one run; they end with it.
pub struct Relays {
    shared: Arc<Mutex<Shared>>,
    pub addresses: Vec<SocketAddr>,
    thread: Option<std::thread::JoinHandle<()>>,
}

/// A way that starves keeps no longer queue than this.
const LONGEST_QUEUE: Duration = Duration::from_secs(1);

impl Relays {
    /// For dispatchers that listen at these addresses.
    pub fn start(behind: Vec<SocketAddr>, seed: u64) -> io::Result<Relays> {
        let n = behind.len();
        let sockets: Vec<std::net::UdpSocket> = behind
            .iter()
            .map(|_| std::net::UdpSocket::bind("127.0.0.1:0"))
            .collect::<io::Result<_>>()?;
        let addresses = sockets
            .iter()
            .map(|socket| socket.local_addr())
            .collect::<io::Result<_>>()?;
        let shared = Arc::new(Mutex::new(Shared {
            ways: vec![vec![Way::default(); n]; n],
            passed: vec![Passed::default(); n],
            over: false,
        }));
        let of = shared.clone();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build();
            if let Ok(runtime) = runtime {
                let _ = LocalSet::new().block_on(&runtime, relay(sockets, behind, of, seed));
            }
        });
        let thread = Some(thread);
        Ok(Relays {
            shared,
            addresses,
            thread,
        })
    }

    /// Something else is done from now on to every way from one seat to another that fits.
    pub fn change(&self) -> impl Fn(Fits<'_>, &dyn Fn(&mut Way)) + 'static {
        let shared = self.shared.clone();
        move |fits, what| {
            let mut shared = held(&shared);
            for (from, ways) in shared.ways.iter_mut().enumerate() {
                for (to, way) in ways.iter_mut().enumerate() {
                    if fits(from, to) {
                        what(way);
                    }
                }
            }
        }
    }

    pub fn passed(&self) -> Vec<Passed> {
        held(&self.shared).passed.clone()
    }
}

impl Drop for Relays {
    fn drop(&mut self) {
        held(&self.shared).over = true;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

async fn relay(
    sockets: Vec<std::net::UdpSocket>,
    behind: Vec<SocketAddr>,
    shared: Arc<Mutex<Shared>>,
    seed: u64,
) -> io::Result<()> {
    let mut own = Vec::new();
    for socket in sockets {
        socket.set_nonblocking(true)?;
        own.push(Rc::new(UdpSocket::from_std(socket)?));
    }
    let chance = Rc::new(RefCell::new(fastrand::Rng::with_seed(seed)));
    for to in 0..own.len() {
        let (own, behind, shared, chance) =
            (own.clone(), behind.clone(), shared.clone(), chance.clone());
        spawn_local(async move {
            let mut bytes = vec![0; 64 << 10];
            // When a starved way is free again, by sender.
            let mut free = vec![Instant::now(); own.len()];
            loop {
                let Ok((size, source)) = own[to].recv_from(&mut bytes).await else {
                    tokio::task::yield_now().await;
                    continue;
                };
                let Some(from) = behind.iter().position(|&at| at == source) else {
                    continue;
                };
                let way = {
                    let mut shared = held(&shared);
                    shared.passed[from].letters += 1;
                    shared.passed[from].bytes += size as u64;
                    shared.ways[from][to]
                };
                let drawn = || chance.borrow_mut().f64();
                if way.cut || drawn() < way.lose {
                    continue;
                }
                let copies = 1 + usize::from(drawn() < way.double);
                for _ in 0..copies {
                    let mut letter = bytes[..size].to_vec();
                    if drawn() < way.garbage {
                        let at = (drawn() * size as f64) as usize;
                        letter[at.min(size.saturating_sub(1))] ^= 1 << (drawn() * 8.0) as u8;
                    }
                    let usual = way.distance.mul_f64(0.5 + 0.5 * drawn());
                    let mut at = Instant::now() + usual + way.slow.mul_f64(-(1.0 - drawn()).ln());
                    if way.trickle > 0.0 {
                        if free[from] > Instant::now() + LONGEST_QUEUE {
                            continue;
                        }
                        free[from] = free[from].max(Instant::now())
                            + Duration::from_secs_f64(size as f64 / way.trickle);
                        at = at.max(free[from]);
                    }
                    let (by, whom) = (own[from].clone(), behind[to]);
                    if at <= Instant::now() {
                        let _ = by.try_send_to(&letter, whom);
                    } else {
                        spawn_local(async move {
                            sleep_until(at).await;
                            let _ = by.try_send_to(&letter, whom);
                        });
                    }
                }
            }
        });
    }
    while !held(&shared).over {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

/// A way to the journal service for each seat, which can be made to say nothing.
pub struct Journals {
    silent: Arc<Mutex<Vec<bool>>>,
    over: Arc<Mutex<bool>>,
    thread: RefCell<Option<std::thread::JoinHandle<()>>>,
}

impl Journals {
    pub fn new(seats: usize) -> Journals {
        Journals {
            silent: Arc::new(Mutex::new(vec![false; seats])),
            over: Arc::default(),
            thread: RefCell::default(),
        }
    }

    /// Opens a port for each seat, before the service at this address.
    pub fn open(&self, service: SocketAddr) -> io::Result<Vec<SocketAddr>> {
        let seats = held(&self.silent).len();
        let ports: Vec<std::net::TcpListener> = (0..seats)
            .map(|_| std::net::TcpListener::bind("127.0.0.1:0"))
            .collect::<io::Result<_>>()?;
        let addresses = ports.iter().map(|port| port.local_addr()).collect();
        let (silent, over) = (self.silent.clone(), self.over.clone());
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build();
            if let Ok(runtime) = runtime {
                let _ = LocalSet::new().block_on(&runtime, journals(ports, service, silent, over));
            }
        });
        *self.thread.borrow_mut() = Some(thread);
        addresses
    }

    /// From now on these seats hear nothing of it, or hear it again.
    pub fn hush(&self) -> impl Fn(&[usize], bool) + 'static {
        let silent = self.silent.clone();
        move |seats, on| {
            let mut silent = held(&silent);
            for &seat in seats {
                silent[seat] = on;
            }
        }
    }
}

fn held<T>(of: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    of.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

impl Drop for Journals {
    fn drop(&mut self) {
        *held(&self.over) = true;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// How often a silent way is looked at again.
const LOOK: Duration = Duration::from_millis(10);

async fn journals(
    ports: Vec<std::net::TcpListener>,
    service: SocketAddr,
    silent: Arc<Mutex<Vec<bool>>>,
    over: Arc<Mutex<bool>>,
) -> io::Result<()> {
    for (seat, port) in ports.into_iter().enumerate() {
        port.set_nonblocking(true)?;
        let (port, silent) = (TcpListener::from_std(port)?, silent.clone());
        spawn_local(async move {
            while let Ok((near, _)) = port.accept().await {
                let silent = silent.clone();
                spawn_local(async move {
                    let far = TcpStream::connect(service).await?;
                    let (mut hear, mut ask) = far.into_split();
                    let (mut asked, mut told) = near.into_split();
                    spawn_local(async move { tokio::io::copy(&mut asked, &mut ask).await });
                    let mut bytes = vec![0; 16 << 10];
                    loop {
                        let size = hear.read(&mut bytes).await?;
                        if size == 0 {
                            return Ok::<(), io::Error>(());
                        }
                        while held(&silent)[seat] {
                            tokio::time::sleep(LOOK).await;
                        }
                        told.write_all(&bytes[..size]).await?;
                    }
                });
            }
        });
    }
    while !*held(&over) {
        tokio::time::sleep(LOOK).await;
    }
    Ok(())
}
