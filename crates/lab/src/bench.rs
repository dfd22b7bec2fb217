//! How many accesses a second one dispatcher on one core sustains, beside a bare relay in the same run.
//!
//! Lean hosts on a thread of their own answer every request at once; lean clients on another send on time whatever
//! became of the requests before, and count latency from when each was meant to go. What is measured is the program
//! between them.

use crate::chance::mix;
use crate::decide::ramp::Ramp;
use crate::loopback::settings;
use crate::scenario::Scenario;
use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};
use trailproxy::units::ZoneId;
use trailproxy_standins::client::writer;
use trailproxyd::msgpack::{self, ParseError, Value};
use trailproxyd::resp;

/// What a rate must hold to count as sustained, and how long each is tried.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Promise {
    pub p99_ms: f64,
    pub seconds: f64,
    pub body_bytes: usize,
}

/// One rate that was tried.
#[derive(Clone, Debug, Serialize)]
pub struct Trial {
    pub per_s: f64,
    pub answered: u64,
    pub refused: u64,
    pub missing: u64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    /// Processor time of the program over answers.
    pub cpu_us: f64,
    pub held: bool,
}

/// What one program came to.
#[derive(Clone, Debug, Serialize)]
pub struct Sustained {
    pub program: String,
    pub highest_per_s: f64,
    /// At a rate that both programs of a run sustain.
    pub cpu_us_per_access: f64,
    pub trials: Vec<Trial>,
}

const CONNECTIONS: usize = 24;
/// Open on one connection at most; what comes beyond waits, and its latency counts on.
const OPEN: usize = 30;
const TICK: Duration = Duration::from_micros(500);
/// All answer alike, but a dispatcher asks caches, and names the others as sources.
const ROLES: [&str; 6] = ["cache", "cache", "cache", "cache", "parent", "origin"];
const TRACK: &str = "label";

struct Program(Child);

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Program {
    /// Ticks of a hundredth of a second that it has used.
    fn ticks(&self) -> u64 {
        crate::loopback::ticks_of(self.0.id())
    }
}

/// Hosts that answer everything at once with so many bytes.
async fn hosts(listeners: Vec<std::net::TcpListener>, body: usize) -> io::Result<()> {
    for listener in listeners {
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(host(stream, body));
            }
        });
    }
    std::future::pending().await
}

async fn host(mut stream: TcpStream, body: usize) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let body = vec![b'x'; body];
    let (mut held, mut chunk) = (Vec::new(), vec![0; 64 << 10]);
    loop {
        let n = stream.read(&mut chunk).await?;
        if n == 0 {
            return Ok(());
        }
        held.extend_from_slice(&chunk[..n]);
        let (mut at, mut out) = (0, Vec::new());
        while let Ok((words, used)) = resp::read(&held[at..], 4, 1 << 20) {
            if words[0] == b"PULL" {
                resp::put_array(&mut out, 4);
                for word in [words[1], b"data", b"why=TCP_HIT,tag=aa,minted=1", &body] {
                    resp::put_word(&mut out, word);
                }
            }
            at += used;
        }
        held.drain(..at);
        stream.write_all(&out).await?;
    }
}

struct Line {
    open: RefCell<Vec<(u32, Instant)>>,
    out: tokio::sync::mpsc::UnboundedSender<Vec<u8>>,
}

struct Load {
    latency: RefCell<Histogram<u64>>,
    answered: Cell<u64>,
    refused: Cell<u64>,
    from: Cell<Instant>,
}

/// Sends at a rate for a while, and counts.
async fn load(
    address: SocketAddr,
    nth: u64,
    per_s: f64,
    promise: Promise,
) -> io::Result<(u64, u64, u64, f64, f64)> {
    let latency = Histogram::new_with_bounds(1, 60_000_000, 3).map_err(io::Error::other)?;
    let (latency, start) = (
        RefCell::new(latency),
        Instant::now() + Duration::from_millis(50),
    );
    let warm = start + Duration::from_secs_f64(promise.seconds * 0.25);
    let load = Rc::new(Load {
        latency,
        answered: Cell::new(0),
        refused: Cell::new(0),
        from: Cell::new(warm),
    });
    let mut lines = Vec::new();
    for _ in 0..CONNECTIONS {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (read, write) = stream.into_split();
        let line = Rc::new(Line {
            open: RefCell::default(),
            out: writer(write),
        });
        spawn_local(listen(read, line.clone(), load.clone()));
        lines.push(line);
    }
    let total = (per_s * promise.seconds) as u64;
    let (mut sent, mut next_id) = (0u64, 0u32);
    let end = start + Duration::from_secs_f64(promise.seconds + 1.0);
    let mut tick = start;
    while Instant::now() < end {
        sleep_until(tick).await;
        let now = Instant::now();
        tick = now + TICK;
        let due = ((now.saturating_duration_since(start).as_secs_f64() * per_s) as u64).min(total);
        let mut full = 0;
        while sent < due && full < CONNECTIONS {
            let line = &lines[(sent as usize + full) % CONNECTIONS];
            if line.open.borrow().len() >= OPEN {
                full += 1;
                continue;
            }
            let meant = start + Duration::from_secs_f64(sent as f64 / per_s);
            next_id += 1;
            line.open.borrow_mut().push((next_id, meant));
            let _ = line.out.send(ask(next_id, mix(sent, nth)));
            sent += 1;
        }
        if sent >= total && lines.iter().all(|line| line.open.borrow().is_empty()) {
            break;
        }
    }
    let open: usize = lines.iter().map(|line| line.open.borrow().len()).sum();
    let missing = total - sent + open as u64;
    let latency = load.latency.borrow();
    let quantile = |q| latency.value_at_quantile(q) as f64 / 1e3;
    Ok((
        load.answered.get(),
        load.refused.get(),
        missing,
        quantile(0.5),
        quantile(0.99),
    ))
}

fn ask(id: u32, reference: u64) -> Vec<u8> {
    let (reference, object) = (
        format!("{reference:016x}"),
        format!("{:016x}", mix(reference % 5_000, 1)),
    );
    let fields = [
        ("ref", reference.as_str()),
        ("allow", "3000"),
        ("lookup", &object),
        ("part", "0"),
        ("group", "7"),
        ("room", "20"),
    ];
    let mut bytes = Vec::with_capacity(160);
    msgpack::put_array(&mut bytes, 4);
    msgpack::put_int(&mut bytes, 0);
    msgpack::put_int(&mut bytes, id);
    msgpack::put_text(&mut bytes, TRACK);
    msgpack::put_array(&mut bytes, 2);
    msgpack::put_map(&mut bytes, &fields);
    msgpack::put_bin_head(&mut bytes, 0);
    bytes
}

async fn listen(
    mut read: tokio::net::tcp::OwnedReadHalf,
    line: Rc<Line>,
    load: Rc<Load>,
) -> io::Result<()> {
    let (mut held, mut chunk) = (Vec::new(), vec![0; 128 << 10]);
    loop {
        let n = read.read(&mut chunk).await?;
        if n == 0 {
            return Ok(());
        }
        held.extend_from_slice(&chunk[..n]);
        let now = Instant::now();
        let mut at = 0;
        loop {
            match msgpack::read(&held[at..], 1 << 20) {
                Ok((Value::Array(parts), used)) => {
                    if let [Value::Int(1), Value::Int(id), error, _] = &parts[..] {
                        let mut open = line.open.borrow_mut();
                        if let Some(place) =
                            open.iter().position(|(open, _)| i64::from(*open) == *id)
                        {
                            let (_, meant) = open.swap_remove(place);
                            if meant >= load.from.get() {
                                let took = now.saturating_duration_since(meant).as_micros() as u64;
                                load.latency.borrow_mut().saturating_record(took.max(1));
                            }
                            let count = if *error == Value::Nil {
                                &load.answered
                            } else {
                                &load.refused
                            };
                            count.set(count.get() + 1);
                        }
                    }
                    at += used;
                }
                Err(ParseError::Incomplete(_)) => break,
                _ => return Ok(()),
            }
        }
        held.drain(..at);
    }
}

fn local<T>(task: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, task)
}

/// Tries one rate against a running program; `nth` tells its requests from those of other trials: an id may not come again.
fn trial(
    program: &Program,
    address: SocketAddr,
    nth: u64,
    per_s: f64,
    promise: Promise,
) -> io::Result<Trial> {
    let before = program.ticks();
    let (answered, refused, missing, p50_ms, p99_ms) = local(load(address, nth, per_s, promise))?;
    let cpu_us = (program.ticks() - before) as f64 * 1e4 / answered.max(1) as f64;
    let held = missing == 0 && refused * 1_000 <= answered && p99_ms <= promise.p99_ms;
    Ok(Trial {
        per_s,
        answered,
        refused,
        missing,
        p50_ms,
        p99_ms,
        cpu_us,
        held,
    })
}

/// Finds what each program sustains, one after the other on the same machine, and what an access costs each.
pub fn sustained(
    programs: &[&Path],
    folder: &Path,
    promise: Promise,
) -> io::Result<Vec<Sustained>> {
    std::fs::create_dir_all(folder)?;
    let listeners: Vec<_> = (0..4)
        .map(|_| std::net::TcpListener::bind("127.0.0.1:0"))
        .collect::<io::Result<_>>()?;
    let addresses: Vec<SocketAddr> = listeners
        .iter()
        .map(|l| l.local_addr())
        .collect::<io::Result<_>>()?;
    // It ends with the process; nothing of it is kept.
    std::thread::spawn(move || local(hosts(listeners, promise.body_bytes)));
    let mut all = Vec::new();
    let mut running = Vec::new();
    for program in programs {
        let (child, address) = start(program, folder, &addresses)?;
        let mut ramp = Ramp::new(1_000.0, 0.05, 1);
        let mut trials = Vec::new();
        while let Some(per_s) = ramp.to_try() {
            let trial = trial(&child, address, trials.len() as u64 + 1, per_s, promise)?;
            ramp.tried(trial.held);
            trials.push(trial);
        }
        let name = program
            .file_name()
            .map_or(String::new(), |name| name.to_string_lossy().into_owned());
        let (highest_per_s, cpu_us_per_access) = (ramp.highest(), 0.0);
        all.push(Sustained {
            program: name,
            highest_per_s,
            cpu_us_per_access,
            trials,
        });
        running.push((child, address));
    }
    let common = all
        .iter()
        .map(|one| one.highest_per_s)
        .fold(f64::MAX, f64::min)
        * 0.5;
    for (one, (child, address)) in all.iter_mut().zip(&running) {
        // A longer stretch, as processor time is counted in hundredths.
        let longer = Promise {
            seconds: promise.seconds * 2.0,
            ..promise
        };
        one.cpu_us_per_access = trial(child, *address, 0, common, longer)?.cpu_us;
    }
    Ok(all)
}

fn start(program: &Path, folder: &Path, hosts: &[SocketAddr]) -> io::Result<(Program, SocketAddr)> {
    let address = trailproxy_standins::addresses::free_stream_address()?;
    let members: Vec<_> = hosts
        .iter()
        .enumerate()
        .map(|(nth, at)| {
            let (role, zone) = (ROLES[nth], if ROLES[nth] == "cache" { "depot" } else { "hub" });
            json!({"id": format!("{role}-{nth}"), "host_port": at.to_string(), "locality": zone, "flavor": role,
                "cell": 0, "phase": "ready", "size": 5_000, "up_since_ms": 0})
        })
        .collect();
    let config = json!({
        "name": "bench", "listen": address.to_string(), "seed": "0000000000000001",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1_024},
        "known": {"pos": 1, "entries": [{"pos": 1, "hosts": {"revision": 1, "complete": true, "members": members}}]},
        "settings": settings(&plain(), ZoneId(1)),
    });
    let path = folder.join("bench.json");
    std::fs::write(&path, config.to_string())?;
    let child = Command::new(program)
        .env("RELAY_CONFIG", &path)
        .env_remove("RELAY_NAME")
        .env_remove("RELAY_LISTEN")
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .map_err(|e| {
            io::Error::new(
                e.kind(),
                format!("{} can't be started: {e}", program.display()),
            )
        })?;
    let program = Program(child);
    local(async {
        for _ in 0..200 {
            if TcpStream::connect(address).await.is_ok() {
                return Ok(());
            }
            sleep(Duration::from_millis(20)).await;
        }
        Err(io::Error::other("it does not listen"))
    })?;
    Ok((program, address))
}

/// Caches, a parent, the origin and one track: nothing is ever filled or turned away.
fn plain() -> Scenario {
    let text = "scenario(name = \"bench\", seconds = 1)
zone(name = \"hub\")
zone(name = \"depot\", dispatchers = 1)
hosts(role = \"cache\", zone = \"depot\", count = 4, size = 5000)
hosts(role = \"parent\", zone = \"hub\", size = 5000)
hosts(role = \"origin\", zone = \"hub\", size = 5000)
track(name = \"label\", due_ms = 1000, limit_ms = 3000)
stream(track = \"label\", per_s = 1)";
    let sheet = trailproxy_operator::read(
        "bench",
        text.into(),
        crate::scenario::KINDS,
        Default::default(),
    );
    let scenario = sheet.and_then(|sheet| Scenario::from_sheet(&sheet));
    scenario.unwrap_or_else(|wrong| unreachable!("a scenario of this file: {wrong}"))
}
