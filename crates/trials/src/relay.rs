//! A relay on each route between two dispatchers, which can lose, duplicate, delay, throttle, corrupt or block
//! messages.
//!
//! Each dispatcher advertises the address of its own relay to the others. A datagram that arrives there is attributed
//! to its sender by the source address, undergoes the faults of the route from sender to receiver, and is sent on from
//! the sender's relay, so that the answer takes the same path back.

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

/// The faults and the delay of the route from one dispatcher to another.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Route {
    /// Whether no message passes.
    pub blocked: bool,
    /// Share of the messages that is lost.
    pub loss: f64,
    /// Share of the messages that is sent twice.
    pub duplication: f64,
    /// Share of the messages in which one bit is flipped.
    pub corruption: f64,
    /// The longest delay of a message without faults; the shortest is half of it.
    pub distance: Duration,
    /// The mean of a further delay, which is exponentially distributed.
    pub extra_delay: Duration,
    /// Most bytes per second; zero: no bound.
    pub bytes_per_second: f64,
}

/// Selects routes by the indices of the sending and the receiving dispatcher.
pub type RouteFilter<'a> = &'a dyn Fn(usize, usize) -> bool;

/// The messages that one dispatcher sent so far, including those that the relay drops.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Traffic {
    /// Messages.
    pub messages: u64,
    /// Bytes of these messages.
    pub bytes: u64,
}

/// What the thread of the relays shares with their owner.
struct Shared {
    /// By sender, then by receiver.
    routes: Vec<Vec<Route>>,
    traffic: Vec<Traffic>,
    stopped: bool,
}

/// All relays of one run. Dropping this stops them.
pub struct Relays {
    shared: Arc<Mutex<Shared>>,
    /// The address of each dispatcher's relay, by dispatcher index.
    pub addresses: Vec<SocketAddr>,
    thread: Option<std::thread::JoinHandle<()>>,
}

/// Longest queue of a throttled route; a message that would wait longer is dropped.
const MAX_QUEUE_DELAY: Duration = Duration::from_secs(1);

impl Relays {
    /// Starts a relay for each of the dispatchers, which listen at these addresses.
    pub fn start(dispatchers: Vec<SocketAddr>, seed: u64) -> io::Result<Relays> {
        let n = dispatchers.len();
        let sockets: Vec<std::net::UdpSocket> = dispatchers
            .iter()
            .map(|_| std::net::UdpSocket::bind("127.0.0.1:0"))
            .collect::<io::Result<_>>()?;
        let addresses = sockets
            .iter()
            .map(|socket| socket.local_addr())
            .collect::<io::Result<_>>()?;
        let shared = Arc::new(Mutex::new(Shared {
            routes: vec![vec![Route::default(); n]; n],
            traffic: vec![Traffic::default(); n],
            stopped: false,
        }));
        let thread_shared = shared.clone();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build();
            if let Ok(runtime) = runtime {
                let _ = LocalSet::new()
                    .block_on(&runtime, relay(sockets, dispatchers, thread_shared, seed));
            }
        });
        let thread = Some(thread);
        Ok(Relays {
            shared,
            addresses,
            thread,
        })
    }

    /// Returns a function that changes every route that a filter selects.
    pub fn route_changer(&self) -> impl Fn(RouteFilter<'_>, &dyn Fn(&mut Route)) + 'static {
        let shared = self.shared.clone();
        move |filter, change| {
            let mut shared = lock(&shared);
            for (from, routes) in shared.routes.iter_mut().enumerate() {
                for (to, route) in routes.iter_mut().enumerate() {
                    if filter(from, to) {
                        change(route);
                    }
                }
            }
        }
    }

    /// The traffic of each dispatcher, by dispatcher index.
    pub fn traffic(&self) -> Vec<Traffic> {
        lock(&self.shared).traffic.clone()
    }
}

impl Drop for Relays {
    fn drop(&mut self) {
        lock(&self.shared).stopped = true;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Relays datagrams until the owner stops it.
async fn relay(
    sockets: Vec<std::net::UdpSocket>,
    dispatchers: Vec<SocketAddr>,
    shared: Arc<Mutex<Shared>>,
    seed: u64,
) -> io::Result<()> {
    let mut relays = Vec::new();
    for socket in sockets {
        socket.set_nonblocking(true)?;
        relays.push(Rc::new(UdpSocket::from_std(socket)?));
    }
    let rng = Rc::new(RefCell::new(fastrand::Rng::with_seed(seed)));
    for to in 0..relays.len() {
        let (relays, dispatchers, shared, rng) = (
            relays.clone(),
            dispatchers.clone(),
            shared.clone(),
            rng.clone(),
        );
        spawn_local(async move {
            let mut bytes = vec![0; 64 << 10];
            // When a throttled route has sent all that it accepted, by sender.
            let mut free_at = vec![Instant::now(); relays.len()];
            loop {
                let Ok((size, source)) = relays[to].recv_from(&mut bytes).await else {
                    tokio::task::yield_now().await;
                    continue;
                };
                let Some(from) = dispatchers.iter().position(|&address| address == source) else {
                    continue;
                };
                let route = {
                    let mut shared = lock(&shared);
                    shared.traffic[from].messages += 1;
                    shared.traffic[from].bytes += size as u64;
                    shared.routes[from][to]
                };
                let draw = || rng.borrow_mut().f64();
                if route.blocked || draw() < route.loss {
                    continue;
                }
                let copies = 1 + usize::from(draw() < route.duplication);
                for _ in 0..copies {
                    let mut message = bytes[..size].to_vec();
                    if draw() < route.corruption {
                        let at = (draw() * size as f64) as usize;
                        message[at.min(size.saturating_sub(1))] ^= 1 << (draw() * 8.0) as u8;
                    }
                    let base_delay = route.distance.mul_f64(0.5 + 0.5 * draw());
                    let mut at = Instant::now()
                        + base_delay
                        + route.extra_delay.mul_f64(-(1.0 - draw()).ln());
                    if route.bytes_per_second > 0.0 {
                        if free_at[from] > Instant::now() + MAX_QUEUE_DELAY {
                            continue;
                        }
                        free_at[from] = free_at[from].max(Instant::now())
                            + Duration::from_secs_f64(size as f64 / route.bytes_per_second);
                        at = at.max(free_at[from]);
                    }
                    let (sender, receiver) = (relays[from].clone(), dispatchers[to]);
                    if at <= Instant::now() {
                        let _ = sender.try_send_to(&message, receiver);
                    } else {
                        spawn_local(async move {
                            sleep_until(at).await;
                            let _ = sender.try_send_to(&message, receiver);
                        });
                    }
                }
            }
        });
    }
    while !lock(&shared).stopped {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

/// A proxy to the journal service for each dispatcher, which can hold back what the service sends.
pub struct Journals {
    silent: Arc<Mutex<Vec<bool>>>,
    stopped: Arc<Mutex<bool>>,
    thread: RefCell<Option<std::thread::JoinHandle<()>>>,
}

impl Journals {
    /// Prepares proxies for this many dispatchers; [`Journals::open`] starts them.
    pub fn new(dispatchers: usize) -> Journals {
        Journals {
            silent: Arc::new(Mutex::new(vec![false; dispatchers])),
            stopped: Arc::default(),
            thread: RefCell::default(),
        }
    }

    /// Opens a port for each dispatcher, which proxies to the service at this address.
    pub fn open(&self, service: SocketAddr) -> io::Result<Vec<SocketAddr>> {
        let dispatchers = lock(&self.silent).len();
        let ports: Vec<std::net::TcpListener> = (0..dispatchers)
            .map(|_| std::net::TcpListener::bind("127.0.0.1:0"))
            .collect::<io::Result<_>>()?;
        let addresses = ports.iter().map(|port| port.local_addr()).collect();
        let (silent, stopped) = (self.silent.clone(), self.stopped.clone());
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build();
            if let Ok(runtime) = runtime {
                let _ =
                    LocalSet::new().block_on(&runtime, journals(ports, service, silent, stopped));
            }
        });
        *self.thread.borrow_mut() = Some(thread);
        addresses
    }

    /// Returns a function that holds back or lets pass what the service sends to some dispatchers.
    pub fn silencer(&self) -> impl Fn(&[usize], bool) + 'static {
        let silent = self.silent.clone();
        move |dispatchers, on| {
            let mut silent = lock(&silent);
            for &dispatcher in dispatchers {
                silent[dispatcher] = on;
            }
        }
    }
}

/// Locks the mutex, also after a thread panicked while it held the lock.
fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

impl Drop for Journals {
    fn drop(&mut self) {
        *lock(&self.stopped) = true;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// How often it is checked whether a silence has ended, and whether the proxies are stopped.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Proxies connections to the journal service until the owner stops it.
async fn journals(
    ports: Vec<std::net::TcpListener>,
    service: SocketAddr,
    silent: Arc<Mutex<Vec<bool>>>,
    stopped: Arc<Mutex<bool>>,
) -> io::Result<()> {
    for (dispatcher, port) in ports.into_iter().enumerate() {
        port.set_nonblocking(true)?;
        let (port, silent) = (TcpListener::from_std(port)?, silent.clone());
        spawn_local(async move {
            while let Ok((client, _)) = port.accept().await {
                let silent = silent.clone();
                spawn_local(async move {
                    let server = TcpStream::connect(service).await?;
                    let (mut from_server, mut to_server) = server.into_split();
                    let (mut from_client, mut to_client) = client.into_split();
                    spawn_local(
                        async move { tokio::io::copy(&mut from_client, &mut to_server).await },
                    );
                    let mut bytes = vec![0; 16 << 10];
                    loop {
                        let size = from_server.read(&mut bytes).await?;
                        if size == 0 {
                            return Ok::<(), io::Error>(());
                        }
                        while lock(&silent)[dispatcher] {
                            tokio::time::sleep(CHECK_INTERVAL).await;
                        }
                        to_client.write_all(&bytes[..size]).await?;
                    }
                });
            }
        });
    }
    while !*lock(&stopped) {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    Ok(())
}
