//! Idle clients fill the descriptors. A client that is still being sent its answers must get them whole.
#[path = "../lib/common.rs"]
mod common;

use common::*;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const OBJECT_BYTES: usize = 240_000;
/// What a client is sent in a second (member-portal: 2.1 to 12 MB a second).
const BYTES_PER_S: f64 = 2_100_000.0;
/// Objects that the viewer asks for at once, of at most 32.
const OBJECTS: u32 = 6;
/// It asks for another one so long after.
const ASKS_AGAIN: Duration = Duration::from_millis(450);
/// Descriptors of the dispatcher (LATER: 256 to 1,024), and idle clients.
const DESCRIPTORS: u32 = 256;
const IDLE: u64 = 127;
const NEWCOMERS: u64 = 10;

struct Cache(Record);

impl Host for Cache {
    fn pull(&self, pull: Pull) {
        let n = if pull.field("lane") == Some("video") { OBJECT_BYTES } else { 1_000 };
        self.0.line(&format!("cache answers {} with {n} bytes", pull.id));
        pull.serve("TCP_HIT", &vec![b'v'; n]);
    }
}

struct Unused;

impl Host for Unused {
    fn pull(&self, pull: Pull) {
        pull.answer("absent", "-", b"");
    }
}

fn ask(number: u32, id: u64, class: &str, allow: u32) -> Vec<u8> {
    let fields = [
        ("ref", hex16(id)),
        ("allow", allow.to_string()),
        ("lookup", hex16(88_000_000 + id)),
        ("group", "17".into()),
        ("room", if class == "video" { "412.5".into() } else { "10.0".into() }),
    ];
    request(number, class, &fields, b"")
}

/// A client that asks once and then rests with its connection.
fn ask_once(listen: SocketAddr, id: u64) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(listen).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
    stream.write_all(&ask(1, id, "image", 3000)).ok()?;
    let (mut bytes, mut piece) = (Vec::new(), [0; 4096]);
    while read_reply(&bytes).is_none() {
        match stream.read(&mut piece) {
            Ok(n) if n > 0 => bytes.extend(&piece[..n]),
            _ => return None,
        }
    }
    Some(stream)
}

fn main() {
    let record = Record::new(&folder());
    let mut hosts: Vec<_> = (0..4)
        .map(|i| (format!("cache-{i}"), start_host(Arc::new(Cache(record.clone()))), "depot", "cache", 32))
        .collect();
    hosts.push(("hub-a".into(), start_host(Arc::new(Unused)), "hub", "parent", 32));
    hosts.push(("catalogue".into(), start_host(Arc::new(Unused)), "hub", "origin", 32));
    let site = Site { memory_mb: 192, sockets: DESCRIPTORS, hosts, journal: start_journal() };
    let dispatcher = Dispatcher::start(&record, "n1", &config(&site), &[]);
    thread::sleep(Duration::from_millis(300));

    let listen = dispatcher.listen;
    let mut viewer = TcpStream::connect(listen).unwrap();
    viewer.set_nodelay(true).unwrap();
    viewer.set_read_timeout(Some(Duration::from_millis(2))).unwrap();
    let others = {
        let record = record.clone();
        thread::spawn(move || {
            let mut rest = Vec::new();
            thread::sleep(Duration::from_millis(60));
            if trouble() {
                rest.extend((0..IDLE).map(|nth| ask_once(listen, 10_000 + nth)));
                let count = rest.iter().flatten().count();
                record.line(&format!("{count} clients have asked once and rest"));
            }
            thread::sleep(Duration::from_millis(150));
            for nth in 0..NEWCOMERS {
                let newcomer = ask_once(listen, 20_000 + nth);
                record.line(&format!("newcomer {nth}: {}", if newcomer.is_some() { "answered" } else { "no answer" }));
                rest.push(newcomer);
                thread::sleep(Duration::from_millis(5));
            }
            thread::sleep(Duration::from_secs(4));
        })
    };
    let start = Instant::now();
    let mut open = BTreeMap::new();
    for number in 1..=OBJECTS {
        viewer.write_all(&ask(number, number.into(), "video", 5000)).unwrap();
        open.insert(number, ());
    }
    record.line(&format!("viewer asks for {OBJECTS} objects"));
    let (mut read, mut bytes, mut piece, mut whole) = (0, Vec::new(), vec![0; 1 << 14], 0);
    let mut asked_again = false;
    let ended = loop {
        if !asked_again && start.elapsed() >= ASKS_AGAIN {
            asked_again = true;
            let sent = viewer.write_all(&ask(OBJECTS + 1, 7777, "video", 5000));
            record.line(&format!("viewer asks for another object: {sent:?}; open {}", open.len()));
            open.insert(OBJECTS + 1, ());
        }
        if asked_again && open.is_empty() {
            break None;
        }
        if start.elapsed() > Duration::from_secs(6) {
            break Some("no whole answer in time".to_owned());
        }
        let due = (start.elapsed().as_secs_f64() * BYTES_PER_S) as usize;
        if read >= due {
            thread::sleep(Duration::from_millis(2));
            continue;
        }
        match viewer.read(&mut piece) {
            Ok(0) => break Some("end of the stream".into()),
            Ok(n) => {
                read += n;
                bytes.extend(&piece[..n]);
            }
            Err(error) if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {
                read = read.max(due);
            }
            Err(error) => break Some(error.to_string()),
        }
        while let Some((number, reply, n)) = read_reply(&bytes) {
            bytes.drain(..n);
            record.line(&format!("viewer reads {reply:?} to {number}"));
            whole += 1;
            open.remove(&number);
        }
    };
    record.say(&format!("viewer: whole answers {whole}, {} bytes of another", bytes.len()));
    drop(dispatcher);
    // The others end with this program.
    drop(others);
    if let Some(how) = ended {
        // The last request crossed the end of the connection; it is not counted.
        open.remove(&(OBJECTS + 1));
        if !open.is_empty() {
            record.say(&format!("BROKEN: the connection ended ({how}) without whole answers to {:?}", open.keys().collect::<Vec<_>>()));
            std::process::exit(1);
        }
    }
    record.say("held");
}
