#[path = "../lib-2/common.rs"]
mod common;

use common::*;
use std::collections::HashMap;
use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long the cache host hangs.
const HANG: Duration = Duration::from_secs(8);
/// The size of a change, the largest that the protocol allows.
const BODY: usize = 48_000;
/// How many changes the client sends at once, of at most 32 that may be open.
const CHANGES: usize = 10;

/// One connection of the cache host, as the cache host sees it.
struct Line {
    /// The port of the dispatcher.
    from: u16,
    /// The bytes read so far.
    read: usize,
}

/// What the cache host has seen of a request: where its last byte stands in the stream of its connection, and when that
/// was read.
#[derive(Clone)]
struct Whole {
    line: usize,
    end: usize,
    at: Instant,
}

fn main() {
    let run = Run::new();
    let record = run.record.clone();
    let journal = Journal::start(&record);
    let hanging = Arc::new(AtomicBool::new(false));
    let lines: Shared<Vec<Line>> = Arc::default();
    let wholes: Shared<HashMap<String, Whole>> = Arc::default();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    // As on a way through a tunnel: segments of 1,200 bytes, where loopback's are of 64 KB; and a receive buffer of 16 KB.
    // So the systems hold one change and a part of the next, and not megabytes.
    set_option(&listener, 6, 2, 1_200);
    set_option(&listener, 1, 8, 8_192);
    let port = listener.local_addr().unwrap().port();
    let cache = Host {
        id: "cache-a".into(),
        address: format!("127.0.0.1:{port}"),
        killed: Arc::default(),
        connections: Arc::default(),
    };
    {
        let (hanging, lines, wholes, record) = (hanging.clone(), lines.clone(), wholes.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let number = {
                    let mut lines = lines.lock().unwrap();
                    lines.push(Line { from: stream.peer_addr().unwrap().port(), read: 0 });
                    lines.len() - 1
                };
                let (hanging, lines, wholes, record) = (hanging.clone(), lines.clone(), wholes.clone(), record.clone());
                thread::spawn(move || serve(stream, number, &hanging, &lines, &wholes, &record));
            }
        });
    }
    let quiet = |id: &str| Host::start(id, Arc::new(|pull, back| back.answer(&pull.id, "absent", "-", b"")));
    let (parent, origin) = (quiet("hub-a"), quiet("origin"));
    let mut all = vec![member(&cache, "depot", "cache", "ready", 0), member(&parent, "hub", "parent", "ready", 0),
        member(&origin, "hub", "origin", "ready", 0)];
    // The caches of other depots, which get nothing from this dispatcher. Its descriptors are divided among all hosts of
    // the list: it holds one connection to each.
    let others = (0..120).map(|n| Host { id: format!("cache-of-others-{n}"), ..cache.clone() });
    all.extend(others.map(|host| member(&host, "depot-2", "cache", "ready", 0)));
    journal.tell(&hosts_event(true, &all));
    // Accesses go to the cache hosts only.
    let settings = settings(1).replace("\"straight\": true", "\"straight\": false");
    let settings = settings.replace("[\"hub\", \"depot\"]", "[\"hub\", \"depot\", \"depot-2\"]");
    let config = config(&journal.address, &journal.known(), &settings).replace("\"sockets\": 1024", "\"sockets\": 256");
    let dispatcher = run.start("n1", &config, &[]);
    let mut client = Client::connect(&dispatcher.listen).unwrap();
    let mut ids: HashMap<u32, String> = HashMap::new();
    let mut ask = |client: &mut Client, allow: &str| {
        let (id, key) = (new_ref(), format!("{}{}", new_ref(), new_ref()));
        let fields = [("ref", id.as_str()), ("allow", allow), ("replay", &key), ("lookup", "7f3a9c21e0b4d655"),
            ("part", "0"), ("group", "17"), ("room", "1.0")];
        record.line(format!("client: sends {id} with {BODY} bytes, allow {allow}"));
        let number = client.request("order-change", &fields, &vec![b'x'; BODY]).unwrap_or(0);
        ids.insert(number, id);
    };
    if run.trouble {
        hanging.store(true, Ordering::Relaxed);
        record.line("cache-a hangs: it reads and answers nothing");
    }
    let hung_at = Instant::now();
    // More changes than the systems have room for, each with little time.
    for _ in 0..CHANGES {
        ask(&mut client, "80");
    }
    // By id: when the final answer came.
    let mut ended: HashMap<String, Instant> = HashMap::new();
    for _ in 0..CHANGES {
        let Some(answer) = client.answer(Duration::from_secs(4)) else {
            run.finish(2, "a change got no answer");
        };
        let id = ids[&answer.number].clone();
        record.line(format!("client: {id} is answered {} {:?}", answer.result, answer.fields));
        ended.insert(id, answer.at);
    }
    // The bytes that the systems have taken of each connection 100 ms after the last final answer.
    sleep_ms(100);
    let mut taken = Vec::new();
    for (number, line) in lines.lock().unwrap().iter().enumerate() {
        let (unconfirmed, unread) = held_by_system(line.from, port).unwrap_or_default();
        record.line(format!("line {number}: {} bytes read, {unread} unread, {unconfirmed} unconfirmed", line.read));
        taken.push(line.read + unconfirmed + unread);
    }
    if run.trouble {
        thread::sleep(HANG.saturating_sub(hung_at.elapsed()));
        hanging.store(false, Ordering::Relaxed);
        record.line("cache-a goes on");
        sleep_ms(1_500);
    }
    let wholes = wholes.lock().unwrap();
    let mut late = 0;
    for (id, answered) in &ended {
        if let Some(whole) = wholes.get(id)
            && taken.get(whole.line).is_some_and(|taken| whole.end > *taken)
        {
            late += 1;
            let (by, after) = (whole.end - taken[whole.line], whole.at - *answered);
            record.line(format!(
                "{id} ran {} ms after its final answer; its last {by} bytes were sent more than 100 ms after that",
                after.as_millis()
            ));
        }
    }
    if run.trouble && late == 0 && taken.iter().all(|bytes| bytes % (BODY + 169) < 2_000) {
        run.finish(2, "no change was cut");
    }
    match late {
        0 => run.finish(0, "nothing was sent for a change after its final answer"),
        n => run.finish(1, &format!("{n} changes were sent on after their final answers, and ran")),
    }
}

/// Serves one connection: reads while the host does not hang, and carries out each change as soon as it is whole.
fn serve(
    mut stream: TcpStream,
    number: usize,
    hanging: &AtomicBool,
    lines: &Mutex<Vec<Line>>,
    wholes: &Mutex<HashMap<String, Whole>>,
    record: &Record,
) {
    let (mut bytes, mut piece, mut parsed) = (Vec::new(), [0; 16_384], 0);
    let killed: Shared<Vec<String>> = Arc::default();
    loop {
        while hanging.load(Ordering::Relaxed) {
            sleep_ms(5);
        }
        // Short waits, so that a hang is noticed.
        let _ = stream.set_read_timeout(Some(Duration::from_millis(5)));
        match stream.read(&mut piece) {
            Ok(0) => return,
            Ok(n) => {
                bytes.extend(&piece[..n]);
                lines.lock().unwrap()[number].read += n;
            }
            Err(_) => continue,
        }
        while let Some((words, length)) = read_words(&bytes) {
            bytes.drain(..length);
            parsed += length;
            let text = |n: usize| words.get(n).map_or(String::new(), |word| String::from_utf8_lossy(word).into_owned());
            match text(0).as_str() {
                "PULL" => {
                    let whole = Whole { line: number, end: parsed, at: Instant::now() };
                    wholes.lock().unwrap().insert(text(1), whole);
                    record.line(format!("cache-a: {} is whole on line {number} at {parsed}, and runs", text(1)));
                    // The answer takes 20 ms; a request that is given up meanwhile gets none.
                    if let Ok(stream) = stream.try_clone() {
                        let (back, killed, id) = (Back::new(stream), killed.clone(), text(1));
                        thread::spawn(move || {
                            sleep_ms(20);
                            if !killed.lock().unwrap().contains(&id) {
                                back.answer(&id, "data", "tag=0000000000000001,why=TCP_MISS", b"changed");
                            }
                        });
                    }
                }
                "KILL" => {
                    killed.lock().unwrap().push(text(1));
                    record.line(format!("cache-a: KILL {} on line {number}", text(1)));
                }
                word => record.line(format!("cache-a: {word} {} on line {number}", text(1))),
            }
        }
    }
}
