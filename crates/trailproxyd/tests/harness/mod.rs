//! A test harness for the built daemon: it runs the program between simulated hosts, a simulated journal service and test
//! clients.

pub mod journal_service;

use rmpv::Value;
use serde_json::{Value as Json, json};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU16, AtomicU32, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use trailproxy_fault_control::Control;

/// No condition takes longer than this to become true, even on a busy machine.
pub const MAX_WAIT: Duration = Duration::from_secs(10);

/// A message that a simulated host received, and the connection on which it can be answered.
pub struct HostMessage {
    /// The name of the host.
    pub host: &'static str,
    /// `PULL`, `KILL` or `METER`.
    pub command: String,
    /// The id of the request, or the tag of a probe.
    pub id: String,
    pub fields: BTreeMap<String, String>,
    pub body: Vec<u8>,
    pub stream: TcpStream,
}

impl HostMessage {
    /// Sends an answer.
    pub fn answer(&self, word: &str, fields: &str, body: &[u8]) {
        let mut out = b"*4\r\n".to_vec();
        for part in [self.id.as_bytes(), word.as_bytes(), fields.as_bytes(), body] {
            out.extend(format!("${}\r\n", part.len()).as_bytes());
            out.extend(part);
            out.extend(b"\r\n");
        }
        let _ = (&self.stream).write_all(&out);
    }

    /// Answers from a copy that the origin has just issued, so that no earlier purge applies to it.
    pub fn answer_hit(&self, body: &[u8]) {
        let minted = unix_ms() + 1;
        self.answer("data", &format!("why=TCP_HIT,tag=aa,minted={minted}"), body);
    }

    /// Returns the value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str)
    }

    /// The daemon's address, which identifies the connection.
    pub fn peer(&self) -> SocketAddr {
        self.stream.peer_addr().expect("a peer")
    }

    /// Closes the connection.
    pub fn close(&self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
    }
}

/// Reads a RESP bulk string.
fn read_bulk_string(reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|&n| n > 0)?;
    let mut word = vec![0; line[1..].trim().parse::<usize>().ok()? + 2];
    reader.read_exact(&mut word).ok()?;
    word.truncate(word.len() - 2);
    Some(word)
}

/// Reads messages of the daemon from a connection until it ends.
fn read_messages(host: &'static str, stream: TcpStream, messages: Sender<HostMessage>) {
    let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
    let mut line = String::new();
    while reader.read_line(&mut line).is_ok_and(|n| n > 0) {
        let n: usize = line[1..].trim().parse().expect("an array");
        line.clear();
        let words: Vec<_> = (0..n)
            .map_while(|_| read_bulk_string(&mut reader))
            .collect();
        let text = |i: usize| {
            words
                .get(i)
                .map_or(String::new(), |w| String::from_utf8_lossy(w).into())
        };
        let fields = text(2);
        let pairs = fields.split(',').filter_map(|pair| pair.split_once('='));
        let message = HostMessage {
            host,
            command: text(0),
            id: text(1),
            fields: pairs
                .map(|(name, value)| (name.into(), value.into()))
                .collect(),
            body: words.get(3).cloned().unwrap_or_default(),
            stream: stream.try_clone().expect("a clone"),
        };
        if messages.send(message).is_err() {
            return;
        }
    }
}

/// Starts a simulated host and returns its address.
fn start_host(host: &'static str, messages: Sender<HostMessage>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let messages = messages.clone();
            std::thread::spawn(move || read_messages(host, stream, messages));
        }
    });
    address
}

/// A host whose connections are not established until the test allows it.
pub struct BlockedHost {
    socket: socket2::Socket,
    fillers: Vec<TcpStream>,
    pub address: SocketAddr,
}

impl BlockedHost {
    /// Creates a listener whose backlog is full.
    pub fn new() -> BlockedHost {
        let tcp = socket2::Type::STREAM;
        let socket = socket2::Socket::new(socket2::Domain::IPV4, tcp, None).expect("a socket");
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        socket.bind(&any.into()).expect("a port");
        socket.listen(0).expect("a listener");
        let address = socket.local_addr().ok().and_then(|a| a.as_socket());
        let mut blocked_host = BlockedHost {
            socket,
            fillers: Vec::new(),
            address: address.expect("an address"),
        };
        blocked_host.block();
        blocked_host
    }

    /// Fills the backlog, so that no further connection is established.
    pub fn block(&mut self) {
        let within = Duration::from_millis(200);
        let connect = || TcpStream::connect_timeout(&self.address, within).ok();
        self.fillers.extend(std::iter::from_fn(connect).take(8));
    }

    /// Makes space for one connection in the backlog.
    pub fn admit_one(&mut self) {
        let (filler, _) = self.socket.accept().expect("a filler");
        drop((filler, std::mem::take(&mut self.fillers)));
    }

    /// Accepts the next connection that the daemon made.
    pub fn accept(&self) -> TcpStream {
        let own: Vec<_> = (self.fillers.iter())
            .map(|filler| filler.local_addr().expect("an address"))
            .collect();
        loop {
            let (socket, from) = self.socket.accept().expect("a connection");
            if from.as_socket().is_none_or(|from| !own.contains(&from)) {
                return socket.into();
            }
        }
    }

    /// Accepts all connections from now on, including those that are waiting, and passes on their messages.
    pub fn unblock(self, host: &'static str, messages: Sender<HostMessage>) {
        self.socket.listen(128).expect("a listener");
        std::thread::spawn(move || {
            loop {
                let (stream, messages) = (self.accept(), messages.clone());
                std::thread::spawn(move || read_messages(host, stream, messages));
            }
        });
    }

    /// Passes on the messages of one connection.
    pub fn read_from(host: &'static str, stream: &TcpStream, messages: &Sender<HostMessage>) {
        let (stream, messages) = (stream.try_clone().expect("a clone"), messages.clone());
        std::thread::spawn(move || read_messages(host, stream, messages));
    }
}

/// A call of the daemon to the simulated journal service.
pub struct JournalCall {
    /// The position after which the daemon asks for events.
    pub last_event_id: u64,
    pub stream: TcpStream,
}

impl JournalCall {
    /// Sends an event.
    pub fn send(&mut self, event: &Json) {
        let pos = &event["pos"];
        let text = format!(": well\n\nid: {pos}\ndata: {event}\n\n");
        self.stream
            .write_all(text.as_bytes())
            .expect("a journal line");
    }

    /// Ends the call.
    pub fn close(self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
    }
}

/// Starts a journal service at any free address, passes on its calls, and returns the address.
pub fn start_journal(calls: Sender<JournalCall>) -> SocketAddr {
    start_journal_at(SocketAddr::from(([127, 0, 0, 1], 0)), calls)
}

/// Starts a journal service at a given address.
pub fn start_journal_at(address: SocketAddr, calls: Sender<JournalCall>) -> SocketAddr {
    let listener = TcpListener::bind(address).expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
            let head: Vec<String> = reader
                .by_ref()
                .lines()
                .map_while(Result::ok)
                .take_while(|line| !line.is_empty())
                .collect();
            let requested = head
                .iter()
                .find_map(|line| line.strip_prefix("Last-Event-ID: "));
            let last_event_id = requested.and_then(|n| n.parse().ok()).expect("a position");
            stream
                .write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
                .expect("a head");
            if calls
                .send(JournalCall {
                    last_event_id,
                    stream,
                })
                .is_err()
            {
                return;
            }
        }
    });
    address
}

/// Builds a member of a host list. The first letter of its id says whether it is a cache, a parent or the origin.
pub fn member(id: &str, address: SocketAddr, phase: &str, up_since_ms: u64) -> Json {
    let (zone, kind) = match &id[..1] {
        "c" => ("edge", "small"),
        "p" => ("hub", "parent"),
        _ => ("hub", "origin"),
    };
    json!({"id": id, "host_port": address.to_string(), "locality": zone, "flavor": kind,
        "cell": 0, "phase": phase, "size": 8, "up_since_ms": up_since_ms})
}

/// Builds an event with a full host list or a change of it.
pub fn hosts(pos: u64, complete: bool, members: &[Json]) -> Json {
    json!({"pos": pos, "hosts": {"revision": pos, "complete": complete, "members": members}})
}

/// The wall clock in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("a clock")
        .as_millis() as u64
}

/// The settings of the daemon.
fn settings() -> Json {
    let class = |name: &str, semantics: &str| {
        json!({"name": name, "on_time_us": 800000, "hard_limit_us": 3000000, "importance": 1.0,
            "semantics": semantics, "group": "all", "repeat_window_us": 2000000, "aim_stretch": 2.0})
    };
    json!({
        "az": 1, "balancers": 1, "failure_domains": ["hub", "edge"],
        "machine_types": ["small", "parent", "origin"], "membership_mode": "pushed",
        "classes": [class("image", "repeatable"), class("change", "by_key"), class("order", "once")],
        "ceilings": {"max_attempts": 6, "max_open": 1000, "max_streams": 32, "cancel": true,
            "retry_after": true, "max_retry_after_us": 2000000, "dial_timeout_us": 400000,
            "idle_close_us": 30000000},
        "rules": {"start_capacity": 0.25, "cold_us": 14000000, "overload_factor": 4.0, "tip_after_us": 1000000},
        "family_info": {"second_tier_kind": 1, "master_kind": 2, "parent_starts_at": 0.1,
            "parent_ramp_us": 20000000, "upper_fall_multiple": 2.0, "stream_kb_per_s": 3600.0,
            "feed_kb_per_s": [0.0, 36000.0], "seats_by_zone": [0, 1], "note_level": "hit",
            "straight": true, "joins": false, "max_age_us": [8000000, 0, 0],
            "usable_after_us": [20000000, 0, 0], "never_kept": [false, true, true],
            "cleared_within_us": 6000000},
        "report": {"via": "silent", "fields": []}
    })
}

/// Additional environment variables of a program.
#[derive(Default)]
pub struct Environment(Vec<(&'static str, PathBuf)>);

impl Environment {
    /// Has the program log each step, also each journal entry that it handles.
    pub fn with_trace() -> Environment {
        Environment(vec![("RELAY_TRACE", PathBuf::from("1"))])
    }
}

/// Injects faults into the system calls and the wall clock of one program through the preloaded shim.
pub struct Faults {
    pub control: Control,
    path: PathBuf,
}

impl Faults {
    /// Creates a control page without faults.
    pub fn new() -> Faults {
        let path = Control::fresh_path();
        let control = Control::create(&path).expect("a control page");
        Faults { control, path }
    }

    /// The environment variables with which a program is subject to these faults.
    pub fn environment(&self) -> Environment {
        let shim = trailproxy_fault_control::shim_library().expect("the shim");
        Environment(vec![
            ("LD_PRELOAD", shim),
            (trailproxy_fault_control::VARIABLE, self.path.clone()),
        ])
    }
}

impl Drop for Faults {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

/// A running daemon, which is killed when this is dropped.
pub struct Program {
    pub child: Child,
    pub address: SocketAddr,
    log: PathBuf,
    /// The configuration file.
    path: PathBuf,
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let status = self.child.wait();
        if std::thread::panicking() {
            println!(
                "log of the program, which ended with {status:?}:\n{}",
                self.log()
            );
        }
        let _ = std::fs::remove_file(&self.log);
        let _ = std::fs::remove_file(&self.path);
    }
}

impl Program {
    /// Starts a daemon and waits until it listens.
    pub fn start(config: &Json, address: SocketAddr) -> Program {
        Program::start_in(config, address, &Environment::default())
    }

    /// Starts a daemon with additional environment variables and waits until it listens.
    pub fn start_in(config: &Json, address: SocketAddr, environment: &Environment) -> Program {
        let program = Program::spawn_in(config, address, environment);
        wait_for("the daemon listens", || TcpStream::connect(address).is_ok());
        program
    }

    /// Starts a daemon without waiting until it listens.
    pub fn spawn_in(config: &Json, address: SocketAddr, environment: &Environment) -> Program {
        Program::spawn_with_text(&config.to_string(), config, address, environment)
    }

    /// Starts a daemon with this text as its configuration, without waiting until it listens.
    pub fn spawn_with_text(
        text: &str,
        config: &Json,
        address: SocketAddr,
        environment: &Environment,
    ) -> Program {
        let path = Program::unique_path().with_extension("json");
        std::fs::write(&path, text).expect("a configuration");
        Program::spawn(config, address, path, environment)
    }

    /// Starts a daemon that logs to a pipe, without waiting until it listens.
    pub fn spawn_logging_to(
        config: &Json,
        address: SocketAddr,
        log: std::io::PipeWriter,
    ) -> Program {
        let path = Program::unique_path().with_extension("json");
        std::fs::write(&path, config.to_string()).expect("a configuration");
        let child = Command::new(env!("CARGO_BIN_EXE_trailproxyd"))
            .env("RELAY_LISTEN", address.to_string())
            .env("RELAY_CONFIG", &path)
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        Program {
            child,
            address,
            log: path.with_extension("log"),
            path,
        }
    }

    /// Returns a path that no other program uses.
    fn unique_path() -> PathBuf {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
        std::env::temp_dir().join(format!("trailproxyd-{}-{n}", std::process::id()))
    }

    /// Starts a daemon that reads its configuration from a pipe. Returns the pipe once the daemon has opened it.
    pub fn spawn_with_pipe(config: &Json, address: SocketAddr) -> (Program, File) {
        let path = Program::unique_path().with_extension("pipe");
        let created = Command::new("mkfifo").arg(&path).status();
        assert!(created.expect("a pipe").success());
        let program = Program::spawn(config, address, path.clone(), &Environment::default());
        let pipe = File::options().write(true).open(path).expect("a reader");
        (program, pipe)
    }

    fn spawn(
        config: &Json,
        address: SocketAddr,
        path: PathBuf,
        environment: &Environment,
    ) -> Program {
        let log = path.with_extension("log");
        let written = File::create(&log).expect("a log");
        let child = Command::new(env!("CARGO_BIN_EXE_trailproxyd"))
            .env("RELAY_NAME", config["name"].as_str().unwrap_or("n1"))
            .env("RELAY_LISTEN", address.to_string())
            .env("RELAY_CONFIG", &path)
            .envs(environment.0.iter().cloned())
            .stderr(written.try_clone().expect("a clone"))
            .stdout(written)
            .spawn()
            .expect("the program starts");
        Program {
            child,
            address,
            log,
            path,
        }
    }

    /// Writes the configuration without a signal.
    pub fn write_config(&self, text: &str) {
        std::fs::write(&self.path, text).expect("a configuration");
    }

    /// Replaces the configuration and sends SIGHUP.
    pub fn reload_config(&self, text: &str) {
        std::fs::write(&self.path, text).expect("a configuration");
        self.signal("-HUP");
    }

    /// Returns whether the log contains this text.
    pub fn log_contains(&self, words: &str) -> bool {
        self.log().contains(words)
    }

    /// Returns the whole log.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Sends a signal, such as `-TERM`.
    pub fn signal(&self, name: &str) {
        let order = format!("kill {name} {}", self.child.id());
        let sent = Command::new("sh").args(["-c", &order]).status();
        assert!(sent.expect("a shell").success());
    }

    /// Stops the daemon, and waits until the system has done so. It continues with `-CONT`.
    pub fn stop(&self) {
        self.signal("-STOP");
        let status = format!("/proc/{}/status", self.child.id());
        wait_for("the daemon is stopped", || {
            let status = std::fs::read_to_string(&status);
            status.is_ok_and(|status| status.contains("State:\tT"))
        });
    }

    /// Waits until the daemon exits.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let mut status = None;
        wait_for("the daemon exits", || {
            status = self.child.try_wait().expect("a child");
            status.is_some()
        });
        status.expect("ended")
    }

    /// Returns a memory figure of the process in bytes, as the system reports it: `VmRSS:` or `VmHWM:`.
    pub fn memory(&self, name: &str) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("a process");
        let line = status.lines().find_map(|line| line.strip_prefix(name));
        let kb = line.expect("a figure").trim().trim_end_matches(" kB");
        kb.parse::<u64>().expect("a number") << 10
    }

    /// Returns the last line of figures in the log. The daemon logs one when it exits, too.
    pub fn last_figures(&self) -> String {
        self.log()
            .lines()
            .rfind(|line| line.contains("figures"))
            .unwrap_or("")
            .into()
    }
}

/// Waits until a condition holds, and fails after [`MAX_WAIT`].
pub fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + MAX_WAIT;
    while !holds() {
        assert!(Instant::now() < until, "waited in vain: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Returns an address that no other socket uses, now or later: `127/8` is large enough to give each process an address of
/// its own, and each port is returned once. A port that the system assigned and got back might be taken by another
/// program, for example that of another test, which would then receive the requests of this test.
pub fn free_address() -> SocketAddr {
    const FIRST_PORT: u16 = 10_000;
    static NEXT_PORT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    let [high, middle, low] = [16, 8, 0].map(|shift| (std::process::id() >> shift) as u8);
    loop {
        let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        // Process numbers have 22 bits.
        let address = SocketAddr::from(([127, 64 + high, middle, low], port));
        if is_free(address) {
            return address;
        }
    }
}

/// Returns whether an address is free. The socket only binds and does not listen: a child process that another test starts
/// at this moment has a copy of each descriptor until it executes its program, and a connection made then would be
/// accepted by a listener that nobody serves.
fn is_free(address: SocketAddr) -> bool {
    let tcp = socket2::Type::STREAM;
    let socket = socket2::Socket::new(socket2::Domain::IPV4, tcp, None).expect("a socket");
    socket.set_reuse_address(true).expect("an option");
    socket.bind(&address.into()).is_ok()
}

/// A daemon with two caches `c1` and `c2`, a parent `p1`, the origin `o1` and a journal service.
pub struct Cluster {
    pub program: Program,
    pub config: Json,
    pub addresses: BTreeMap<&'static str, SocketAddr>,
    messages: Receiver<HostMessage>,
    pub messages_in: Sender<HostMessage>,
    journal_calls: Receiver<JournalCall>,
}

impl Cluster {
    /// Starts a cluster with the usual settings.
    pub fn new() -> Cluster {
        Cluster::with_config(|_, _| {})
    }

    /// Returns the error of a daemon that does not start with this operator's file. Requires exit code 1 and one line.
    pub fn startup_error(&self, operator: &std::path::Path) -> String {
        let config = operator.with_extension("config");
        std::fs::write(&config, self.config.to_string()).expect("a configuration");
        let ended = Command::new(env!("CARGO_BIN_EXE_trailproxyd"))
            .env("RELAY_CONFIG", &config)
            .env("RELAY_LISTEN", free_address().to_string())
            .env("RELAY_OPERATOR", operator)
            .stdout(Stdio::null())
            .output()
            .expect("the daemon runs");
        let _ = std::fs::remove_file(config);
        let words = String::from_utf8_lossy(&ended.stderr).into_owned();
        assert_eq!(ended.status.code(), Some(1), "{words}");
        assert_eq!(words.lines().count(), 1, "{words}");
        words
    }

    /// Starts a cluster after a change of the configuration, which is given the addresses of the hosts.
    pub fn with_config(
        change: impl FnOnce(&mut Json, &BTreeMap<&'static str, SocketAddr>),
    ) -> Cluster {
        Cluster::start(&Environment::default(), change)
    }

    /// Starts a cluster whose daemon is subject to these faults.
    pub fn with_faults(faults: &Faults) -> Cluster {
        Cluster::start(&faults.environment(), |_, _| {})
    }

    /// Starts a cluster whose daemon follows this journal service and logs each step.
    pub fn with_journal(journal: SocketAddr) -> Cluster {
        Cluster::with_journal_and_config(journal, |_| {})
    }

    /// Starts such a cluster after a further change of the configuration.
    pub fn with_journal_and_config(journal: SocketAddr, change: impl FnOnce(&mut Json)) -> Cluster {
        Cluster::start(&Environment::with_trace(), |config, _| {
            config["journal"] = json!(journal.to_string());
            change(config);
        })
    }

    /// Starts a cluster with faults and a change of the configuration.
    pub fn with_faults_and_config(
        faults: &Faults,
        change: impl FnOnce(&mut Json, &BTreeMap<&'static str, SocketAddr>),
    ) -> Cluster {
        Cluster::start(&faults.environment(), change)
    }

    fn start(
        environment: &Environment,
        change: impl FnOnce(&mut Json, &BTreeMap<&'static str, SocketAddr>),
    ) -> Cluster {
        let (messages_in, messages) = channel();
        let (calls_in, journal_calls) = channel();
        let names = ["c1", "c2", "p1", "o1"];
        let addresses: BTreeMap<_, _> = names
            .iter()
            .map(|&name| (name, start_host(name, messages_in.clone())))
            .collect();
        let members: Vec<_> = addresses
            .iter()
            .map(|(id, at)| member(id, *at, "ready", 0))
            .collect();
        let mut config = json!({
            "name": "n1", "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "journal": start_journal(calls_in).to_string(),
            "known": {"pos": 1, "entries": [hosts(1, true, &members)]},
            "settings": settings()
        });
        change(&mut config, &addresses);
        let program = Program::start_in(&config, free_address(), environment);
        Cluster {
            program,
            config,
            addresses,
            messages,
            messages_in,
            journal_calls,
        }
    }

    /// Waits for the next message at any host.
    pub fn next_message(&self) -> HostMessage {
        self.messages
            .recv_timeout(MAX_WAIT)
            .expect("a host receives a message")
    }

    /// Waits for the next request at any host, and skips other messages.
    pub fn next_request(&self) -> HostMessage {
        loop {
            let message = self.next_message();
            if message.command == "PULL" {
                return message;
            }
        }
    }

    /// Waits for the next request at any host for this time.
    pub fn next_request_within(&self, time: Duration) -> Option<HostMessage> {
        let until = Instant::now() + time;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let message = self.messages.recv_timeout(left).ok()?;
            if message.command == "PULL" {
                return Some(message);
            }
        }
    }

    /// Waits for the next call to the journal service.
    pub fn next_journal_call(&self) -> JournalCall {
        self.journal_calls
            .recv_timeout(MAX_WAIT)
            .expect("a call to the journal service")
    }

    /// Connects a client to the daemon.
    pub fn client(&self) -> Client {
        Client::new(self.program.address)
    }
}

/// The answer to a client, with its fields.
#[derive(Debug, PartialEq)]
pub enum FinalAnswer {
    Done(Vec<u8>, BTreeMap<String, String>),
    Error(String, BTreeMap<String, String>),
}

impl FinalAnswer {
    /// Returns whether the request was done.
    pub fn is_done(&self) -> bool {
        matches!(self, FinalAnswer::Done(..))
    }

    /// The answer with this body and no fields.
    pub fn done(body: &[u8]) -> FinalAnswer {
        FinalAnswer::Done(body.to_vec(), BTreeMap::new())
    }

    /// Returns whether the answer is this error.
    pub fn is_error(&self, word: &str) -> bool {
        matches!(self, FinalAnswer::Error(said, _) if said == word)
    }
}

/// A test client on one connection.
pub struct Client {
    pub stream: TcpStream,
    next: u64,
}

/// Returns the fields of a request for the object with this number, with an id derived from it.
pub fn fields(object: u64, allow_ms: u64) -> Vec<(String, String)> {
    let reference = format!("{:016x}", object + 0xabc0_0000);
    let object = format!("{object:016x}");
    let all = [
        ("ref", reference),
        ("allow", allow_ms.to_string()),
        ("lookup", object),
        ("part", "0".into()),
        ("group", "17".into()),
        ("room", "40.5".into()),
    ];
    all.map(|(name, value)| (name.to_owned(), value)).into()
}

impl Client {
    /// Connects to a daemon.
    pub fn new(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).expect("a connection");
        stream.set_read_timeout(Some(MAX_WAIT)).expect("a time-out");
        stream.set_nodelay(true).expect("no delay");
        Client { stream, next: 0 }
    }

    /// Encodes a request.
    pub fn encode(&mut self, method: &str, fields: Vec<(String, String)>, body: &[u8]) -> Vec<u8> {
        self.next += 1;
        let fields = fields
            .into_iter()
            .map(|(name, value)| (name.into(), value.into()))
            .collect();
        let mut params = vec![Value::Map(fields)];
        if method != "heartbeat" {
            params.push(Value::Binary(body.to_vec()));
        }
        let message = vec![
            0.into(),
            self.next.into(),
            method.into(),
            Value::Array(params),
        ];
        let mut out = Vec::new();
        rmpv::encode::write_value(&mut out, &Value::Array(message)).expect("bytes");
        out
    }

    /// Sends a request for an object and returns the request's number.
    pub fn request(&mut self, class: &str, object: u64, allow_ms: u64) -> u64 {
        static NEXT: AtomicU32 = AtomicU32::new(1);
        let mut fields = fields(object, allow_ms);
        // Every request has an id of its own.
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
        fields[0].1.replace_range(..8, &format!("{n:08x}"));
        self.request_with(class, fields, &[])
    }

    /// Sends a request with these fields and returns its number.
    pub fn request_with(&mut self, class: &str, fields: Vec<(String, String)>, body: &[u8]) -> u64 {
        let bytes = self.encode(class, fields, body);
        self.stream.write_all(&bytes).expect("a request is written");
        self.next
    }

    /// Returns the number of the last request.
    pub fn last_number(&self) -> u64 {
        self.next
    }

    /// Revokes a request.
    pub fn revoke(&mut self, number: u64) {
        assert!(self.try_revoke(number), "written");
    }

    /// Revokes a request, and returns whether the connection accepted that.
    pub fn try_revoke(&mut self, number: u64) -> bool {
        self.stream.write_all(&encode_revoke(number)).is_ok()
    }

    /// Waits for the next answer and returns it with the number of its request.
    pub fn next_answer(&mut self) -> (u64, FinalAnswer) {
        read_answer(&mut self.stream).expect("an answer")
    }

    /// Waits for the daemon to close the connection, and returns whether it did so without sending more data.
    pub fn is_closed(&mut self) -> bool {
        !matches!(self.stream.read(&mut [0; 1]), Ok(n) if n > 0)
    }
}

/// Encodes the revocation of a request.
pub fn encode_revoke(number: u64) -> Vec<u8> {
    let message = vec![2.into(), "revoke".into(), Value::Array(vec![number.into()])];
    let mut out = Vec::new();
    rmpv::encode::write_value(&mut out, &Value::Array(message)).expect("bytes");
    out
}

/// Reads an answer and returns it with the number of its request. An answer that is not complete is an error.
pub fn read_answer(input: &mut impl Read) -> Result<(u64, FinalAnswer), rmpv::decode::Error> {
    let message = rmpv::decode::read_value(input)?;
    let items = message.as_array().expect("an array");
    assert_eq!((items.len(), items[0].as_u64()), (4, Some(1)));
    let map = |value: &Value| -> BTreeMap<String, String> {
        let entries = value.as_map().expect("fields").iter();
        let text = |value: &Value| value.as_str().unwrap_or("?").to_owned();
        entries
            .map(|(name, value)| (text(name), text(value)))
            .collect()
    };
    let last = match items[2].as_array() {
        Some(error) => {
            FinalAnswer::Error(error[0].as_str().expect("a word").into(), map(&error[1]))
        }
        None => {
            let result = items[3].as_array().expect("a result");
            let body = match &result[0] {
                Value::Boolean(well) => vec![u8::from(*well)],
                body => body.as_slice().expect("bytes").to_vec(),
            };
            FinalAnswer::Done(body, map(&result[1]))
        }
    };
    Ok((items[1].as_u64().expect("a number"), last))
}

/// Returns the fields of a request with this idempotency key and an id of its own.
pub fn keyed_fields(key: &str) -> Vec<(String, String)> {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let mut fields = fields(NEXT.fetch_add(1, Ordering::Relaxed), 3_000);
    fields.push(("replay".into(), key.into()));
    fields
}

/// Fails unless the answer is done with this body.
pub fn assert_done(answer: FinalAnswer, body: &[u8]) {
    match answer {
        FinalAnswer::Done(answered, _) => assert_eq!(answered, body),
        FinalAnswer::Error(word, fields) => panic!("{word} {fields:?}"),
    }
}

/// Returns the objects that are requested first at this cache. The hash of the names decides, so that it is the same in
/// every cluster.
pub fn objects_first_at(cache: &str) -> Vec<u64> {
    let cluster = Cluster::new();
    let mut client = cluster.client();
    let mut is_first = |object: &u64| {
        client.request("image", *object, 3000);
        let request = cluster.next_request();
        request.answer_hit(b"x");
        assert!(client.next_answer().1.is_done());
        request.host == cache
    };
    (0..64).filter(|object| is_first(object)).collect()
}
