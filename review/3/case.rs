//! Two dispatchers that tell each other of keyed requests (section `peers` of the operator's file). One of them gets
//! a new configuration several times while it serves. Every request has to get its answer.
#[path = "../lib/common.rs"]
mod common;

use common::*;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Clients of the dispatcher, each with one connection, and what all of them send in a second (LATER: up to 950).
const CLIENTS: u64 = 8;
const REQUESTS_PER_S: u64 = 800;
/// How often the dispatcher gets a new configuration, and how often in all.
const RELOAD_EVERY: Duration = Duration::from_millis(300);
const RELOADS: u32 = 300;
/// The outer limit of the track.
const ALLOW: Duration = Duration::from_millis(3_000);
/// Up to half a second after its time an answer only earns nothing; later, or never, the request is lost (STANDING).
const LOST_AFTER: Duration = Duration::from_millis(3_500);

/// The master catalogue runs each change at once.
struct Catalogue(Arc<Mutex<BTreeMap<String, u32>>>);

impl Host for Catalogue {
    fn pull(&self, pull: Pull) {
        *self.0.lock().unwrap().entry(pull.id.clone()).or_default() += 1;
        pull.serve("TCP_MISS", b"changed");
    }
}

struct Cache;

impl Host for Cache {
    fn pull(&self, pull: Pull) {
        pull.answer("absent", "-", b"");
    }
}

#[derive(Default)]
struct Tally {
    sent: AtomicU64,
    served: AtomicU64,
    errors: AtomicU64,
    lost: AtomicU64,
}

/// The operator's file, as the reader writes it; only `wait_ms` differs between two of them.
fn operator(fleet: u32, seeds: &[SocketAddr], wait_ms: u32) -> String {
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    format!(
        r#"{{"peers":{{"file":"operator.json","place":[1,1],"fleet":"review-{fleet}","listen":"","seeds":[{}],
"unsure":"send","wait_ms":{wait_ms}.0,"keep_s":30.0,"records":true,"purges":true,"hosts":true,"hints":true}}}}"#,
        seeds.join(",")
    )
}

/// Replaces a file as a whole.
fn replace(path: &std::path::Path, text: &str) {
    let new = path.with_extension("new");
    std::fs::write(&new, text).unwrap();
    std::fs::rename(&new, path).unwrap();
}

fn client(nth: u64, listen: SocketAddr, record: Record, tally: Arc<Tally>, done: Arc<AtomicBool>) {
    let mut stream = TcpStream::connect(listen).unwrap();
    stream.set_nodelay(true).unwrap();
    stream.set_read_timeout(Some(Duration::from_millis(1))).unwrap();
    let pause = Duration::from_micros(1_000_000 * CLIENTS / REQUESTS_PER_S);
    let mut next_at = Instant::now() + pause.mul_f64(nth as f64 / CLIENTS as f64);
    let (mut number, mut bytes, mut piece) = (0_u32, Vec::new(), vec![0; 1 << 14]);
    let mut open: BTreeMap<u32, (Instant, String)> = BTreeMap::new();
    loop {
        let now = Instant::now();
        if now >= next_at && open.len() < 32 && !done.load(Ordering::Relaxed) {
            next_at = (next_at + pause).max(now);
            number += 1;
            let id = hex16(nth << 32 | u64::from(number));
            let fields = [
                ("ref", id.clone()),
                ("allow", ALLOW.as_millis().to_string()),
                ("replay", format!("{id}{id}")),
                ("lookup", hex16(77_000_000 + u64::from(number))),
                ("group", "3".into()),
                ("room", "20.0".into()),
            ];
            record.line(&format!("client {nth} sends {id} as {number}"));
            stream.write_all(&request(number, "order-change", &fields, b"two sacks")).unwrap();
            tally.sent.fetch_add(1, Ordering::Relaxed);
            open.insert(number, (Instant::now(), id));
        }
        match stream.read(&mut piece) {
            Ok(n) if n > 0 => bytes.extend(&piece[..n]),
            Err(error) if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            _ => {
                tally.lost.fetch_add(open.len() as u64, Ordering::Relaxed);
                return record.say(&format!("client {nth}: connection ended, {} open", open.len()));
            }
        }
        while let Some((number, reply, n)) = read_reply(&bytes) {
            bytes.drain(..n);
            if let Some((at, id)) = open.remove(&number) {
                record.line(&format!("client {nth} reads {reply:?} to {id} after {} ms", at.elapsed().as_millis()));
                let count = if matches!(reply, Reply::Served(_)) { &tally.served } else { &tally.errors };
                count.fetch_add(1, Ordering::Relaxed);
            } else {
                record.say(&format!("client {nth} reads a second answer, or one that came too late, to number {number}"));
            }
        }
        let late: Vec<u32> =
            (open.iter()).filter(|(_, (at, _))| at.elapsed() > LOST_AFTER).map(|(&number, _)| number).collect();
        for late in late {
            if let Some((_, id)) = open.remove(&late) {
                record.say(&format!("client {nth}: no answer to {id} (number {late}) within {} ms", LOST_AFTER.as_millis()));
                tally.lost.fetch_add(1, Ordering::Relaxed);
            }
        }
        if open.is_empty() && done.load(Ordering::Relaxed) {
            return;
        }
    }
}

fn main() {
    let record = Record::new(&folder());
    let ran = Arc::new(Mutex::new(BTreeMap::new()));
    let hosts = vec![
        ("cache-0".into(), start_host(Arc::new(Cache)), "depot", "cache", 32),
        ("hub-a".into(), start_host(Arc::new(Cache)), "hub", "parent", 32),
        ("catalogue".into(), start_host(Arc::new(Catalogue(ran.clone()))), "hub", "origin", 64),
    ];
    let site = Site { memory_mb: 192, sockets: 1024, hosts, journal: start_journal() };
    let config = config(&site);
    let free = || UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let peers = [free(), free()];
    let path = temporary().join("operator.json");
    let fleet = std::process::id();
    replace(&path, &operator(fleet, &peers, 5));
    let start = |name: &str, at: SocketAddr| {
        let operator = path.to_string_lossy().into_owned();
        let more = [("RELAY_OPERATOR", operator), ("RELAY_PEERS", at.to_string())];
        Dispatcher::start(&record, name, &config, &more)
    };
    let (first, second) = (start("n1", peers[0]), start("n2", peers[1]));
    thread::sleep(Duration::from_secs(3));

    let (tally, done) = (Arc::new(Tally::default()), Arc::new(AtomicBool::new(false)));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|nth| {
            let (record, tally, done, listen) = (record.clone(), tally.clone(), done.clone(), first.listen);
            thread::spawn(move || client(nth, listen, record, tally, done))
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    for nth in 0..RELOADS {
        if trouble() {
            replace(&path, &operator(fleet, &peers, 5 + (nth + 1) % 2));
            record.line(&format!("new configuration {nth}, SIGHUP to n1"));
            hangup(&first);
        }
        thread::sleep(RELOAD_EVERY);
        if tally.lost.load(Ordering::Relaxed) > 0 {
            break;
        }
    }
    done.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().unwrap());
    let of = |count: &AtomicU64| count.load(Ordering::Relaxed);
    let ran_twice = ran.lock().unwrap().values().filter(|times| **times > 1).count();
    record.say(&format!(
        "sent {}, served {}, refused or failed {}, without an answer {}, run twice {ran_twice}",
        of(&tally.sent), of(&tally.served), of(&tally.errors), of(&tally.lost)
    ));
    drop((first, second));
    if of(&tally.lost) > 0 {
        record.say("BROKEN");
        std::process::exit(1);
    }
    record.say("held");
}

/// Sends SIGHUP to a dispatcher that this program started.
fn hangup(dispatcher: &Dispatcher) {
    let status = std::process::Command::new("/bin/sh").arg("-c").arg(format!("kill -HUP {}", dispatcher.child.id())).status();
    if !status.is_ok_and(|status| status.success()) {
        cannot_run("SIGHUP could not be sent");
    }
}
