//! Clients send many order changes at once, within the limits of the protocol. The dispatcher has to stay under its
//! memory limit, over which the platform kills it.
#[path = "../lib/common.rs"]
mod common;

use common::*;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::{Duration, Instant};

/// The limits of the dispatcher (LATER: 32 to 192 MB, 256 to 1,024 descriptors).
const MEMORY_MB: u32 = 32;
const DESCRIPTORS: u32 = 256;
/// Clients hold at most a third of the descriptors (PROTOCOL): 85 of 256.
const CLIENTS: u32 = 30;
/// The most open requests on one connection (PROTOCOL).
const MAX_OPEN: u32 = 32;
/// The longest body of a write (PROTOCOL).
const BODY_BYTES: usize = 48_000;
/// The outer limit of the track.
const ALLOW: Duration = Duration::from_millis(3_000);
/// What the catalogue takes for a change, and how many it runs at once.
const RUNS_FOR: Duration = Duration::from_millis(30);
const RUNS_AT_ONCE: usize = 64;

/// The master catalogue: it runs changes for 30 ms each, 64 at once, and keeps the others waiting.
struct Catalogue {
    queue: Mutex<mpsc::Sender<Pull>>,
    taken: Arc<AtomicU64>,
}

impl Host for Catalogue {
    fn pull(&self, mut pull: Pull) {
        pull.body = Vec::new();
        self.taken.fetch_add(1, Ordering::Relaxed);
        let _ = self.queue.lock().unwrap().send(pull);
    }
}

fn start_catalogue(record: &Record, taken: Arc<AtomicU64>) -> std::net::SocketAddr {
    let (queue, waiting) = mpsc::channel::<Pull>();
    let waiting = Arc::new(Mutex::new(waiting));
    for _ in 0..RUNS_AT_ONCE {
        let (waiting, record) = (waiting.clone(), record.clone());
        thread::spawn(move || {
            loop {
                let Ok(pull) = waiting.lock().unwrap().recv() else { return };
                thread::sleep(RUNS_FOR);
                record.line(&format!("catalogue ran {}", pull.id));
                pull.serve("TCP_MISS", b"changed");
            }
        });
    }
    start_host(Arc::new(Catalogue { queue: Mutex::new(queue), taken }))
}

/// A cache box or hub cache that has every picture.
struct Cache;

impl Host for Cache {
    fn pull(&self, pull: Pull) {
        pull.serve("TCP_HIT", &[b'p'; 20_000]);
    }
}

/// Another client: it looks at one picture after another until the others are done.
fn viewer(listen: std::net::SocketAddr, record: Record, tally: Arc<Tally>, done: Arc<AtomicBool>) {
    let Ok(mut stream) = TcpStream::connect(listen) else { return };
    let _ = stream.set_read_timeout(Some(ALLOW + Duration::from_millis(500)));
    let (mut bytes, mut piece) = (Vec::new(), vec![0; 1 << 14]);
    for number in 1.. {
        if done.load(Ordering::Relaxed) {
            return;
        }
        let fields = [
            ("ref", hex16(99 << 40 | u64::from(number))),
            ("allow", ALLOW.as_millis().to_string()),
            ("lookup", hex16(5_000_000 + u64::from(number))),
            ("group", "4".into()),
            ("room", "40.0".into()),
        ];
        record.line(&format!("viewer sends {}", fields[0].1));
        if stream.write_all(&request(number, "image", &fields, b"")).is_err() {
            return record.line("viewer: the connection is broken before the request was whole");
        }
        tally.sent.fetch_add(1, Ordering::Relaxed);
        let reply = loop {
            if let Some((_, reply, n)) = read_reply(&bytes) {
                bytes.drain(..n);
                break reply;
            }
            match stream.read(&mut piece) {
                Ok(n) if n > 0 => bytes.extend(&piece[..n]),
                _ => {
                    tally.lost.fetch_add(1, Ordering::Relaxed);
                    return record.say("viewer: the connection ended without an answer");
                }
            }
        };
        record.line(&format!("viewer reads {reply:?}"));
        let count = if matches!(reply, Reply::Served(_)) { &tally.served } else { &tally.errors };
        count.fetch_add(1, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(20));
    }
}

/// What became of the requests.
#[derive(Default)]
struct Tally {
    sent: AtomicU64,
    served: AtomicU64,
    errors: AtomicU64,
    lost: AtomicU64,
    overdue: AtomicU64,
}

/// One client: sends `MAX_OPEN` changes, `at_once` of them together, and reads the answers.
fn client(nth: u32, at_once: u32, listen: std::net::SocketAddr, record: Record, tally: Arc<Tally>) {
    let Ok(mut stream) = TcpStream::connect(listen) else {
        return record.line(&format!("client {nth} could not connect"));
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(20)));
    let (mut number, mut bytes, mut piece) = (0, Vec::new(), vec![0; 1 << 14]);
    let mut open: BTreeMap<u32, Instant> = BTreeMap::new();
    loop {
        if open.is_empty() {
            if number >= MAX_OPEN {
                return;
            }
            let mut out = Vec::new();
            for _ in 0..at_once {
                number += 1;
                let fields = [
                    ("ref", hex16(u64::from(nth) << 32 | u64::from(number))),
                    ("allow", ALLOW.as_millis().to_string()),
                    ("replay", format!("{}{}", hex16(u64::from(nth) << 33 | 1), hex16(u64::from(number) << 34 | 2))),
                    ("lookup", hex16(77_000_000 + u64::from(number))),
                    ("group", "3".into()),
                    ("room", "48.0".into()),
                ];
                record.line(&format!("client {nth} sends {}", fields[0].1));
                out.extend(request(number, "order-change", &fields, &vec![b'o'; BODY_BYTES]));
                open.insert(number, Instant::now());
            }
            tally.sent.fetch_add(u64::from(at_once), Ordering::Relaxed);
            if stream.write_all(&out).is_err() {
                tally.lost.fetch_add(open.len() as u64, Ordering::Relaxed);
                return record.line(&format!("client {nth}: connection broken while it sent, {} open", open.len()));
            }
        }
        match stream.read(&mut piece) {
            Ok(n) if n > 0 => bytes.extend(&piece[..n]),
            Err(error) if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            _ => {
                tally.lost.fetch_add(open.len() as u64, Ordering::Relaxed);
                return record.line(&format!("client {nth}: connection ended, {} open", open.len()));
            }
        }
        while let Some((number, reply, n)) = read_reply(&bytes) {
            bytes.drain(..n);
            record.line(&format!("client {nth} reads {reply:?} to {number}"));
            if open.remove(&number).is_some() {
                let count = if matches!(reply, Reply::Served(_)) { &tally.served } else { &tally.errors };
                count.fetch_add(1, Ordering::Relaxed);
            }
        }
        let late: Vec<u32> = (open.iter())
            .filter(|(_, at)| at.elapsed() > ALLOW + Duration::from_millis(500))
            .map(|(&number, _)| number)
            .collect();
        for late in late {
            open.remove(&late);
            tally.overdue.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn main() {
    let record = Record::new(&folder());
    let taken = Arc::new(AtomicU64::new(0));
    let catalogue = start_catalogue(&record, taken.clone());
    let hosts = vec![
        ("cache-0".into(), start_host(Arc::new(Cache)), "depot", "cache", 32),
        ("hub-a".into(), start_host(Arc::new(Cache)), "hub", "parent", 32),
        ("catalogue".into(), catalogue, "hub", "origin", 64),
    ];
    let site = Site { memory_mb: MEMORY_MB, sockets: DESCRIPTORS, hosts, journal: start_journal() };
    let mut dispatcher = Dispatcher::start(&record, "n1", &config(&site), &[]);
    let limit = u64::from(MEMORY_MB) << 20;
    let idle = dispatcher.resident().unwrap_or(0);
    record.say(&format!("limit {} KB; resident when ready {} KB", limit >> 10, idle >> 10));

    let at_once = if trouble() { MAX_OPEN } else { 1 };
    record.say(&format!("{CLIENTS} clients with one connection each send {MAX_OPEN} changes of {BODY_BYTES} bytes, {at_once} at a time"));
    let (tally, done) = (Arc::new(Tally::default()), Arc::new(AtomicBool::new(false)));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|nth| {
            let (record, tally, listen) = (record.clone(), tally.clone(), dispatcher.listen);
            thread::spawn(move || client(nth, at_once, listen, record, tally))
        })
        .collect();
    let waiter = {
        let done = done.clone();
        thread::spawn(move || {
            clients.into_iter().for_each(|client| drop(client.join()));
            done.store(true, Ordering::Relaxed);
        })
    };
    let viewer = {
        let (record, tally, done, listen) = (record.clone(), tally.clone(), done.clone(), dispatcher.listen);
        thread::spawn(move || viewer(listen, record, tally, done))
    };
    let (mut most, mut killed) = (0, false);
    let start = Instant::now();
    while !done.load(Ordering::Relaxed) && start.elapsed() < Duration::from_secs(60) {
        if let Some(resident) = dispatcher.resident() {
            if resident > most {
                record.line(&format!("resident {} KB", resident >> 10));
            }
            most = most.max(resident);
        }
        if most > limit && !killed {
            // The platform kills a dispatcher that is over its limit (DEPLOY).
            killed = true;
            record.say(&format!("the platform kills the dispatcher: {} KB are over its limit", most >> 10));
            let _ = dispatcher.child.kill();
        }
        thread::sleep(Duration::from_millis(5));
    }
    let _ = (waiter.join(), viewer.join());
    let of = |count: &AtomicU64| count.load(Ordering::Relaxed);
    record.say(&format!(
        "most resident {} KB of {} KB; sent {}, attempts at the catalogue {}, served {}, refused or failed {}, \
         connection ended without an answer {}, no answer within half a second of their time {}",
        most >> 10, limit >> 10, of(&tally.sent), of(&taken), of(&tally.served), of(&tally.errors),
        of(&tally.lost), of(&tally.overdue)
    ));
    drop(dispatcher);
    if killed || of(&tally.lost) + of(&tally.overdue) > 0 {
        record.say("BROKEN");
        std::process::exit(1);
    }
    if of(&tally.served) + of(&tally.errors) != of(&tally.sent) {
        cannot_run("a client ended without telling what became of its requests");
    }
    record.say("held");
}
