//! A client with 32 open requests on one connection gives up one whose answer is still on its way, and asks for
//! something else. Its other requests have to be answered.
#[path = "../lib/common.rs"]
mod common;

use common::*;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The most open requests on one connection (PROTOCOL).
const MAX_OPEN: usize = 32;
/// The longest object (PROTOCOL).
const OBJECT_BYTES: usize = 240_000;
/// What a client is sent in a second (member-portal: 2.1 to 12 MB a second).
const BYTES_PER_S: f64 = 2_100_000.0;
/// The track `video` is given up after 5 s, and a try after 50 to 100% of that.
const EARLY: Duration = Duration::from_millis(2_500);
const PATIENT: Duration = Duration::from_millis(5_000);
/// New requests are sent for this long.
const ASKS_FOR: Duration = Duration::from_secs(20);

/// A cache box that has every object and answers at once.
struct Cache(Record);

impl Host for Cache {
    fn pull(&self, pull: Pull) {
        self.0.line(&format!("cache runs and answers {}", pull.id));
        pull.serve("TCP_HIT", &vec![b'v'; OBJECT_BYTES]);
    }
}

/// A host that is not needed: it would answer `absent`, which never ran.
struct Unused(Record);

impl Host for Unused {
    fn pull(&self, pull: Pull) {
        self.0.line(&format!("hub or catalogue is asked for {}", pull.id));
        pull.answer("absent", "-", b"");
    }
}

fn main() {
    let record = Record::new(&folder());
    let allowed = if trouble() { EARLY } else { PATIENT };
    record.line(&format!("each request is given up after {} ms", allowed.as_millis()));
    let caches = (0..4).map(|_| start_host(Arc::new(Cache(record.clone()))));
    let mut hosts: Vec<_> = caches
        .enumerate()
        .map(|(i, address)| (format!("cache-{i}"), address, "depot", "cache", 32))
        .collect();
    let unused = || start_host(Arc::new(Unused(record.clone())));
    hosts.push(("hub-a".into(), unused(), "hub", "parent", 32));
    hosts.push(("catalogue".into(), unused(), "hub", "origin", 32));
    let site = Site { memory_mb: 192, sockets: 1024, hosts, journal: start_journal() };
    let dispatcher = Dispatcher::start(&record, "n1", &config(&site), &[]);

    let mut stream = TcpStream::connect(dispatcher.listen).unwrap();
    stream.set_nodelay(true).unwrap();
    stream.set_read_timeout(Some(Duration::from_millis(2))).unwrap();
    let start = Instant::now();
    let mut open: BTreeMap<u32, Instant> = BTreeMap::new();
    let (mut number, mut read) = (0, 0);
    let (mut served, mut errors, mut revoked) = (0, 0, 0);
    let mut bytes = Vec::new();
    let mut piece = vec![0; 1 << 14];
    let ended = loop {
        // Requests whose time is over are given up.
        let now = Instant::now();
        let late: Vec<u32> = (open.iter()).filter(|(_, at)| now >= **at + allowed).map(|(&number, _)| number).collect();
        for late in late {
            open.remove(&late);
            if trouble() {
                revoked += 1;
                record.line(&format!("client gives up {late}; open {}", open.len()));
                if stream.write_all(&revoke(late)).is_err() {
                    break;
                }
            } else {
                record.line(&format!("client has waited for {late} in vain"));
            }
        }
        // New ones, up to the limit of a connection.
        while open.len() < MAX_OPEN && start.elapsed() < ASKS_FOR {
            number += 1;
            let fields = [
                ("ref", hex16(number.into())),
                ("allow", allowed.as_millis().to_string()),
                ("lookup", hex16(1_000_000 + u64::from(number))),
                ("part", "0".into()),
                ("group", "17".into()),
                ("room", "412.5".into()),
            ];
            open.insert(number, Instant::now());
            record.line(&format!("client asks {number} as {}; open {}", fields[0].1, open.len()));
            if stream.write_all(&request(number, "video", &fields, b"")).is_err() {
                break;
            }
        }
        if open.is_empty() || start.elapsed() > ASKS_FOR + PATIENT + Duration::from_secs(1) {
            break None;
        }
        // What the pace of the way to the client allows.
        let due = (start.elapsed().as_secs_f64() * BYTES_PER_S) as usize;
        if read >= due {
            std::thread::sleep(Duration::from_millis(2));
            continue;
        }
        match stream.read(&mut piece) {
            Ok(0) => break Some("an end of the stream".to_owned()),
            Ok(n) => {
                read += n;
                bytes.extend(&piece[..n]);
            }
            Err(error) if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {
                // Unused pace is not saved up.
                read = read.max(due);
            }
            Err(error) => break Some(error.to_string()),
        }
        while let Some((number, reply, n)) = read_reply(&bytes) {
            bytes.drain(..n);
            record.line(&format!("client reads {reply:?} to {number}"));
            if open.remove(&number).is_some() {
                match reply {
                    Reply::Served(_) => served += 1,
                    Reply::Error(_) => errors += 1,
                }
            }
        }
    };
    record.say(&format!("asked {number}, served {served}, refused or failed {errors}, given up by the client {revoked}"));
    match ended {
        Some(how) if !open.is_empty() => {
            record.say(&format!("BROKEN: the connection ended ({how}) with {} requests open, all within their time: {:?}",
                open.len(), open.keys().collect::<Vec<_>>()));
            drop(dispatcher);
            std::process::exit(1);
        }
        _ if !open.is_empty() => {
            record.say(&format!("BROKEN: {} requests were never answered", open.len()));
            drop(dispatcher);
            std::process::exit(1);
        }
        _ => record.say("held: every request that was not given up has its answer"),
    }
}
