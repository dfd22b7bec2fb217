//! The stand-in of a Redis server on a loopback address, with faults on command.
//!
//! One thread serves one connection and speaks RESP2, or RESP3 after `HELLO 3`. What is ordered holds from the next
//! command on, for all connections. Every fault is one that a server, a network or an operator can bring about.

use crate::redis::{Delay, Redis, Reply};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use trailproxy::units::{TimeSpan, Timestamp};

/// What goes wrong, and for how long it is to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Nothing is answered until it is over; what was asked is applied then.
    Pause,
    /// What is asked is applied, and no answer comes.
    DropAnswers,
    /// What is asked is applied only after so long, and answered then.
    ApplyAfter(TimeSpan),
    /// Answers take longer.
    Slow(Delay),
    /// Connections are closed, and new ones too.
    Closed,
    /// Answers are no answers.
    Garbage,
    /// Writes are refused.
    NoMemory,
}

struct Server {
    /// The first half, and the second when the server is split.
    redis: [Redis; 2],
    split: bool,
    snapshot: Option<Redis>,
    fault: Option<(Fault, Instant)>,
    lines: Vec<(u64, TcpStream)>,
    next_line: u64,
    runs: u64,
    chance: u64,
    commands: u64,
}

impl Server {
    fn draw(&mut self) -> f64 {
        // A small generator, so that delays repeat with the seed.
        self.chance = self
            .chance
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.chance >> 11) as f64 / (1u64 << 53) as f64
    }

    fn fault(&mut self) -> Option<Fault> {
        if self.fault.is_some_and(|(_, until)| Instant::now() >= until) {
            self.fault = None;
            self.redis
                .iter_mut()
                .for_each(|redis| redis.most_keys = usize::MAX);
        }
        self.fault.map(|(fault, _)| fault)
    }

    fn close_all(&mut self) {
        for (_, line) in self.lines.drain(..) {
            let _ = line.shutdown(Shutdown::Both);
        }
    }
}

/// A server that runs, and the orders it takes.
#[derive(Clone)]
pub struct RedisServer {
    pub address: SocketAddr,
    server: Arc<Mutex<Server>>,
}

impl RedisServer {
    /// Listens on a free loopback port until the process ends.
    pub fn start(redis: Redis, seed: u64) -> std::io::Result<RedisServer> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let server = Arc::new(Mutex::new(Server {
            redis: [redis.clone(), redis],
            split: false,
            snapshot: None,
            fault: None,
            lines: Vec::new(),
            next_line: 0,
            runs: 1_000,
            chance: seed | 1,
            commands: 0,
        }));
        let shared = server.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let _ = stream.set_nodelay(true);
                let shared = shared.clone();
                std::thread::spawn(move || serve(stream, &shared));
            }
        });
        Ok(RedisServer { address, server })
    }

    fn lock(&self) -> MutexGuard<'_, Server> {
        self.server
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }

    /// A fault from now on, for so long; another in its place.
    pub fn fault(&self, fault: Fault, lasts: Duration) {
        let mut server = self.lock();
        server.fault = Some((fault, Instant::now() + lasts));
        match fault {
            Fault::Closed => server.close_all(),
            Fault::NoMemory => server
                .redis
                .iter_mut()
                .for_each(|redis| redis.most_keys = 0),
            _ => {}
        }
    }

    pub fn heal(&self) {
        let mut server = self.lock();
        (server.fault, server.split) = (None, false);
        server
            .redis
            .iter_mut()
            .for_each(|redis| redis.most_keys = usize::MAX);
    }

    /// All data is gone, connections stay.
    pub fn wipe(&self) {
        self.lock().redis.iter_mut().for_each(Redis::wipe);
    }

    /// A copy to go back to.
    pub fn snapshot(&self) {
        let mut server = self.lock();
        server.snapshot = Some(server.redis[0].clone());
    }

    /// Another process goes on from the last copy, or from nothing, with its clock so far ahead; connections end.
    pub fn restart(&self, from_copy: bool, ahead_ms: i64) {
        let mut server = self.lock();
        server.runs += 1;
        let empty = Redis::new(0);
        let copy = server
            .snapshot
            .as_ref()
            .filter(|_| from_copy)
            .unwrap_or(&empty);
        let born = Redis::reborn(copy, server.runs, ahead_ms);
        server.redis = [born.clone(), born];
        server.close_all();
    }

    /// From now on, connections are served by two halves that know nothing of each other, each a process of its own.
    pub fn split(&self) {
        let mut server = self.lock();
        server.runs += 1;
        let copy = server.snapshot.as_ref().unwrap_or(&server.redis[0]);
        server.redis[1] = Redis::reborn(copy, server.runs, 0);
        server.split = true;
        // The half that is cut off is reached again by new connections.
        let lines = std::mem::take(&mut server.lines);
        for (nth, line) in lines {
            match nth % 2 {
                0 => server.lines.push((nth, line)),
                _ => drop(line.shutdown(Shutdown::Both)),
            }
        }
    }

    pub fn keys(&self) -> usize {
        self.lock().redis[0].keys()
    }

    pub fn commands(&self) -> u64 {
        self.lock().commands
    }
}

fn moment() -> Timestamp {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    Timestamp(since.map_or(0, |since| since.as_micros() as u64))
}

/// Words of one command; `None`: the connection is over, or what came is no command.
fn read(reader: &mut impl BufRead) -> Option<Vec<Vec<u8>>> {
    let mut line = String::new();
    let mut count = |reader: &mut dyn BufRead, sign: u8| -> Option<usize> {
        line.clear();
        reader.read_line(&mut line).ok().filter(|&n| n > 0)?;
        let digits = line
            .as_bytes()
            .first()
            .filter(|&&first| first == sign)
            .map(|_| line[1..].trim())?;
        digits.parse().ok().filter(|&n: &usize| n <= 1 << 20)
    };
    let words = count(reader, b'*')?;
    let mut all = Vec::new();
    for _ in 0..words {
        let mut word = vec![0; count(reader, b'$')? + 2];
        reader.read_exact(&mut word).ok()?;
        word.truncate(word.len() - 2);
        all.push(word);
    }
    Some(all)
}

fn put(out: &mut Vec<u8>, reply: &Reply, maps: bool) {
    let mut line = |sign: char, text: &str| out.extend(format!("{sign}{text}\r\n").as_bytes());
    match reply {
        Reply::Simple(text) => line('+', text),
        Reply::Error(text) => line('-', text),
        Reply::Int(n) => line(':', &n.to_string()),
        Reply::Nil if maps => line('_', ""),
        Reply::Nil => line('$', "-1"),
        Reply::Bulk(bytes) => {
            line('$', &bytes.len().to_string());
            out.extend(bytes);
            out.extend(b"\r\n");
        }
        Reply::Array(all) => {
            line('*', &all.len().to_string());
            all.iter().for_each(|one| put(out, one, maps));
        }
        Reply::Map(pairs) => {
            match maps {
                true => line('%', &pairs.len().to_string()),
                false => line('*', &(pairs.len() * 2).to_string()),
            }
            for (name, value) in pairs {
                put(out, name, maps);
                put(out, value, maps);
            }
        }
    }
}

/// `HELLO` with an optional version and password.
fn hello(
    server: &Server,
    half: usize,
    words: &[Vec<u8>],
    open: &mut bool,
    maps: &mut bool,
) -> Reply {
    let text = |nth: usize| {
        words
            .get(nth)
            .map(|word| String::from_utf8_lossy(word).into_owned())
    };
    if let Some(at) = words
        .iter()
        .position(|word| word.eq_ignore_ascii_case(b"auth"))
    {
        *open = server.redis[half].accepts(&text(at + 2).unwrap_or_default());
        if !*open {
            return Reply::Error(
                "WRONGPASS invalid username-password pair or user is disabled.".into(),
            );
        }
    }
    if !*open {
        return Reply::Error(
            "NOAUTH HELLO must be called with the client already authenticated".into(),
        );
    }
    match text(1).as_deref() {
        Some("3") => *maps = true,
        Some("2") | None => *maps = false,
        Some(_) => return Reply::Error("NOPROTO unsupported protocol version".into()),
    }
    let pair = |name: &str, value: &str| {
        let bulk = |text: &str| Reply::Bulk(text.as_bytes().to_vec());
        (bulk(name), bulk(value))
    };
    Reply::Map(vec![
        pair("server", "redis"),
        pair("version", "7.2.0"),
        pair("mode", "standalone"),
        pair("role", "master"),
    ])
}

fn serve(stream: TcpStream, shared: &Mutex<Server>) {
    let lock = || shared.lock().unwrap_or_else(|broken| broken.into_inner());
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let (line, mut open) = {
        let mut server = lock();
        if server.fault() == Some(Fault::Closed) {
            return;
        }
        server.next_line += 1;
        let line = server.next_line;
        server
            .lines
            .extend(stream.try_clone().ok().map(|stream| (line, stream)));
        (line, !server.redis[0].needs_password())
    };
    let mut maps = false;
    let mut reader = BufReader::new(stream);
    while let Some(words) = read(&mut reader) {
        let name = words
            .first()
            .map(|word| word.to_ascii_uppercase())
            .unwrap_or_default();
        let (mut fault, half) = {
            let mut server = lock();
            server.commands += 1;
            let half = usize::from(server.split && line % 2 == 1);
            (server.fault(), half)
        };
        // What is applied late is late for whoever asked: the data may be another by then.
        match fault {
            Some(Fault::Pause) => {
                while lock().fault() == Some(Fault::Pause) {
                    std::thread::sleep(Duration::from_millis(2));
                }
                fault = lock().fault();
            }
            Some(Fault::ApplyAfter(span)) => std::thread::sleep(Duration::from_micros(span.0)),
            Some(Fault::Closed) => break,
            _ => {}
        }
        let reply = {
            let mut server = lock();
            if !server.lines.iter().any(|(nth, _)| *nth == line) {
                break;
            }
            match name.as_slice() {
                b"HELLO" => hello(&server, half, &words, &mut open, &mut maps),
                b"AUTH" => {
                    let password = words
                        .last()
                        .map(|word| String::from_utf8_lossy(word).into_owned());
                    open = server.redis[half].accepts(&password.unwrap_or_default());
                    match open {
                        true => Reply::Simple("OK"),
                        false => Reply::Error("WRONGPASS invalid username-password pair".into()),
                    }
                }
                _ if !open => Reply::Error("NOAUTH Authentication required.".into()),
                _ => server.redis[half].command(moment(), &words),
            }
        };
        let mut out = Vec::new();
        put(&mut out, &reply, maps);
        match fault {
            Some(Fault::DropAnswers) => continue,
            Some(Fault::Garbage) => out = b"?what is this\r\n".to_vec(),
            Some(Fault::Slow(delay)) => {
                let span = delay.draw(lock().draw());
                std::thread::sleep(Duration::from_micros(span.0));
            }
            _ => {}
        }
        if writer.write_all(&out).is_err() {
            break;
        }
    }
    let _ = writer.shutdown(Shutdown::Both);
    lock().lines.retain(|(nth, _)| *nth != line);
}
