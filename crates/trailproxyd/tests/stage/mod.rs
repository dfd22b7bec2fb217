//! A stage for the built program: stand-ins of cache hosts and of the journal service, and a client.

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

/// No condition takes longer, also on a busy machine.
pub const SOON: Duration = Duration::from_secs(10);

/// What a stand-in of a host hears.
pub struct Heard {
    pub host: &'static str,
    pub word: String,
    pub id: String,
    pub fields: BTreeMap<String, String>,
    pub body: Vec<u8>,
    pub stream: TcpStream,
}

impl Heard {
    pub fn answer(&self, word: &str, fields: &str, body: &[u8]) {
        let mut out = b"*4\r\n".to_vec();
        for part in [self.id.as_bytes(), word.as_bytes(), fields.as_bytes(), body] {
            out.extend(format!("${}\r\n", part.len()).as_bytes());
            out.extend(part);
            out.extend(b"\r\n");
        }
        let _ = (&self.stream).write_all(&out);
    }

    /// Served from a copy that the origin gave out just now, so that no purge of before forbids it.
    pub fn hit(&self, body: &[u8]) {
        let minted = unix_ms() + 1;
        self.answer("data", &format!("why=TCP_HIT,tag=aa,minted={minted}"), body);
    }

    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str)
    }

    pub fn line(&self) -> SocketAddr {
        self.stream.peer_addr().expect("a peer")
    }

    pub fn hang_up(&self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
    }
}

fn word(reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|&n| n > 0)?;
    let mut word = vec![0; line[1..].trim().parse::<usize>().ok()? + 2];
    reader.read_exact(&mut word).ok()?;
    word.truncate(word.len() - 2);
    Some(word)
}

fn listen_to(host: &'static str, stream: TcpStream, heard: Sender<Heard>) {
    let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
    let mut line = String::new();
    while reader.read_line(&mut line).is_ok_and(|n| n > 0) {
        let n: usize = line[1..].trim().parse().expect("an array");
        line.clear();
        let words: Vec<_> = (0..n).map_while(|_| word(&mut reader)).collect();
        let text = |i: usize| {
            words
                .get(i)
                .map_or(String::new(), |w| String::from_utf8_lossy(w).into())
        };
        let fields = text(2);
        let pairs = fields.split(',').filter_map(|pair| pair.split_once('='));
        let one = Heard {
            host,
            word: text(0),
            id: text(1),
            fields: pairs
                .map(|(name, value)| (name.into(), value.into()))
                .collect(),
            body: words.get(3).cloned().unwrap_or_default(),
            stream: stream.try_clone().expect("a clone"),
        };
        if heard.send(one).is_err() {
            return;
        }
    }
}

fn stand_in(host: &'static str, heard: Sender<Heard>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let heard = heard.clone();
            std::thread::spawn(move || listen_to(host, stream, heard));
        }
    });
    address
}

/// A host to which no connection comes up until it is told so.
pub struct Gate {
    socket: socket2::Socket,
    fillers: Vec<TcpStream>,
    pub address: SocketAddr,
}

impl Gate {
    /// A listener whose backlog is full.
    pub fn shut() -> Gate {
        let tcp = socket2::Type::STREAM;
        let socket = socket2::Socket::new(socket2::Domain::IPV4, tcp, None).expect("a socket");
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        socket.bind(&any.into()).expect("a port");
        socket.listen(0).expect("a listener");
        let address = socket.local_addr().ok().and_then(|a| a.as_socket());
        let mut gate = Gate {
            socket,
            fillers: Vec::new(),
            address: address.expect("an address"),
        };
        gate.fill();
        gate
    }

    /// Nothing comes up from here on.
    pub fn fill(&mut self) {
        let within = Duration::from_millis(200);
        let fill = || TcpStream::connect_timeout(&self.address, within).ok();
        self.fillers.extend(std::iter::from_fn(fill).take(8));
    }

    /// One connection comes up from here on.
    pub fn room(&mut self) {
        let (filler, _) = self.socket.accept().expect("a filler");
        drop((filler, std::mem::take(&mut self.fillers)));
    }

    /// The next connection that has come up, of the program's.
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

    /// From here on connections come up, late ones as well, and what comes by them is heard.
    pub fn open(self, host: &'static str, heard: Sender<Heard>) {
        self.socket.listen(128).expect("a listener");
        std::thread::spawn(move || {
            loop {
                let (stream, heard) = (self.accept(), heard.clone());
                std::thread::spawn(move || listen_to(host, stream, heard));
            }
        });
    }

    /// What comes by one connection of it.
    pub fn listen(host: &'static str, stream: &TcpStream, heard: &Sender<Heard>) {
        let (stream, heard) = (stream.try_clone().expect("a clone"), heard.clone());
        std::thread::spawn(move || listen_to(host, stream, heard));
    }
}

/// A call of the program to the journal service.
pub struct JournalLine {
    pub last: u64,
    stream: TcpStream,
}

impl JournalLine {
    pub fn tell(&mut self, event: &Json) {
        let pos = &event["pos"];
        let text = format!(": well\n\nid: {pos}\ndata: {event}\n\n");
        self.stream
            .write_all(text.as_bytes())
            .expect("a journal line");
    }

    pub fn hang_up(self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
    }
}

/// Calls that come to another address of the journal service.
pub fn journal(lines: Sender<JournalLine>) -> SocketAddr {
    journal_at(SocketAddr::from(([127, 0, 0, 1], 0)), lines)
}

/// The same at an address of one's own.
pub fn journal_at(address: SocketAddr, lines: Sender<JournalLine>) -> SocketAddr {
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
            let told = head
                .iter()
                .find_map(|line| line.strip_prefix("Last-Event-ID: "));
            let last = told.and_then(|n| n.parse().ok()).expect("a place");
            stream
                .write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
                .expect("a head");
            if lines.send(JournalLine { last, stream }).is_err() {
                return;
            }
        }
    });
    address
}

pub fn member(id: &str, address: SocketAddr, phase: &str, up_since_ms: u64) -> Json {
    let (zone, kind) = match &id[..1] {
        "c" => ("edge", "small"),
        "p" => ("hub", "parent"),
        _ => ("hub", "origin"),
    };
    json!({"id": id, "host_port": address.to_string(), "locality": zone, "flavor": kind,
        "cell": 0, "phase": phase, "size": 8, "up_since_ms": up_since_ms})
}

pub fn hosts(pos: u64, complete: bool, members: &[Json]) -> Json {
    json!({"pos": pos, "hosts": {"revision": pos, "complete": complete, "members": members}})
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("a clock")
        .as_millis() as u64
}

fn settings() -> Json {
    let track = |name: &str, semantics: &str| {
        json!({"name": name, "on_time_us": 800000, "hard_limit_us": 3000000, "importance": 1.0,
            "semantics": semantics, "group": "all", "repeat_window_us": 2000000, "aim_stretch": 2.0})
    };
    json!({
        "az": 1, "balancers": 1, "failure_domains": ["hub", "edge"],
        "machine_types": ["small", "parent", "origin"], "membership_mode": "pushed",
        "classes": [track("image", "repeatable"), track("change", "by_key"), track("order", "once")],
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

/// Further variables of a program's environment.
#[derive(Default)]
pub struct Environment(Vec<(&'static str, PathBuf)>);

/// Faults in the system calls and the wall clock of one program, by the preloaded shim.
pub struct Faults {
    pub control: Control,
    path: PathBuf,
}

impl Faults {
    pub fn new() -> Faults {
        let path = Control::fresh_path();
        let control = Control::create(&path).expect("a control page");
        Faults { control, path }
    }

    /// What a program needs in its environment to suffer them.
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

/// A started program, ended with the stage.
pub struct Program {
    pub child: Child,
    pub address: SocketAddr,
    log: PathBuf,
    /// Where its configuration stands.
    path: PathBuf,
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let status = self.child.wait();
        if std::thread::panicking() {
            println!("The program, {status:?}, said:\n{}", self.log());
        }
        let _ = std::fs::remove_file(&self.log);
        let _ = std::fs::remove_file(&self.path);
    }
}

impl Program {
    pub fn start(config: &Json, address: SocketAddr) -> Program {
        Program::start_in(config, address, &Environment::default())
    }

    /// The same with further variables in its environment.
    pub fn start_in(config: &Json, address: SocketAddr, environment: &Environment) -> Program {
        let program = Program::begin_in(config, address, environment);
        wait_for("it listens", || TcpStream::connect(address).is_ok());
        program
    }

    /// The same, without a wait for it to listen.
    pub fn begin_in(config: &Json, address: SocketAddr, environment: &Environment) -> Program {
        Program::begin_with(&config.to_string(), config, address, environment)
    }

    /// The same with this text as its configuration.
    pub fn begin_with(
        text: &str,
        config: &Json,
        address: SocketAddr,
        environment: &Environment,
    ) -> Program {
        let path = Program::stem().with_extension("json");
        std::fs::write(&path, text).expect("a configuration");
        Program::begin(config, address, path, environment)
    }

    /// The same with its log going to this pipe.
    pub fn begin_logging_to(
        config: &Json,
        address: SocketAddr,
        log: std::io::PipeWriter,
    ) -> Program {
        let path = Program::stem().with_extension("json");
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

    /// A path that no other program has.
    fn stem() -> PathBuf {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
        std::env::temp_dir().join(format!("trailproxyd-{}-{n}", std::process::id()))
    }

    /// One that waits for its configuration: it comes by a pipe, which is handed back once it is read from.
    pub fn hold(config: &Json, address: SocketAddr) -> (Program, File) {
        let path = Program::stem().with_extension("pipe");
        let made = Command::new("mkfifo").arg(&path).status();
        assert!(made.expect("a pipe").success());
        let program = Program::begin(config, address, path.clone(), &Environment::default());
        let pipe = File::options().write(true).open(path).expect("a reader");
        (program, pipe)
    }

    fn begin(
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

    /// The same, where its configuration comes by a pipe.
    pub fn feed(&self, text: &str) {
        std::fs::write(&self.path, text).expect("a configuration");
    }

    /// Replaces its configuration and tells it so.
    pub fn configure(&self, text: &str) {
        std::fs::write(&self.path, text).expect("a configuration");
        self.signal("-HUP");
    }

    pub fn logged(&self, words: &str) -> bool {
        self.log().contains(words)
    }

    /// All that it has logged.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub fn signal(&self, name: &str) {
        let order = format!("kill {name} {}", self.child.id());
        let sent = Command::new("sh").args(["-c", &order]).status();
        assert!(sent.expect("a shell").success());
    }

    pub fn ended(&mut self) -> ExitStatus {
        let mut status = None;
        wait_for("it ends", || {
            status = self.child.try_wait().expect("a child");
            status.is_some()
        });
        status.expect("ended")
    }

    /// The last figures that it logged; they come at its end, too.
    pub fn figures(&self) -> String {
        self.log()
            .lines()
            .rfind(|line| line.contains("figures"))
            .unwrap_or("")
            .into()
    }
}

pub fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + SOON;
    while !holds() {
        assert!(Instant::now() < until, "in vain: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// An address that no other socket has, now or later: one of this process alone, as `127/8` has room for all of them, and
/// of a port that is handed out once. A port that the system gave and took back could be anyone's before its use, another
/// test's program among them, which would then be asked in the place of the own one.
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

/// Whether nobody has it. Nothing listens for the answer: a child that another test starts in that moment has a copy of each
/// descriptor until it runs its program, and who connects then would be taken by a listener that nobody serves.
fn is_free(address: SocketAddr) -> bool {
    let tcp = socket2::Type::STREAM;
    let socket = socket2::Socket::new(socket2::Domain::IPV4, tcp, None).expect("a socket");
    socket.set_reuse_address(true).expect("an option");
    socket.bind(&address.into()).is_ok()
}

/// Two caches, a parent, the origin, the journal service and a program that knows them.
pub struct Stage {
    pub program: Program,
    pub config: Json,
    pub addresses: BTreeMap<&'static str, SocketAddr>,
    heard: Receiver<Heard>,
    pub heard_in: Sender<Heard>,
    journal: Receiver<JournalLine>,
}

impl Stage {
    pub fn new() -> Stage {
        Stage::with(|_, _| {})
    }

    /// What the program says where it does not start with this operator's file: one plain line, and exit code 1.
    pub fn refused(&self, operator: &std::path::Path) -> String {
        let config = operator.with_extension("config");
        std::fs::write(&config, self.config.to_string()).expect("a configuration");
        let ended = Command::new(env!("CARGO_BIN_EXE_trailproxyd"))
            .env("RELAY_CONFIG", &config)
            .env("RELAY_LISTEN", free_address().to_string())
            .env("RELAY_OPERATOR", operator)
            .stdout(Stdio::null())
            .output()
            .expect("it runs");
        let _ = std::fs::remove_file(config);
        let words = String::from_utf8_lossy(&ended.stderr).into_owned();
        assert_eq!(ended.status.code(), Some(1), "{words}");
        assert_eq!(words.lines().count(), 1, "{words}");
        words
    }

    /// Changes the configuration before the start; the addresses of the hosts are told.
    pub fn with(change: impl FnOnce(&mut Json, &BTreeMap<&'static str, SocketAddr>)) -> Stage {
        Stage::in_environment(&Environment::default(), change)
    }

    /// A stage whose program suffers these faults.
    pub fn under(faults: &Faults) -> Stage {
        Stage::in_environment(&faults.environment(), |_, _| {})
    }

    /// The same with a change of the configuration.
    pub fn changed_under(
        faults: &Faults,
        change: impl FnOnce(&mut Json, &BTreeMap<&'static str, SocketAddr>),
    ) -> Stage {
        Stage::in_environment(&faults.environment(), change)
    }

    fn in_environment(
        environment: &Environment,
        change: impl FnOnce(&mut Json, &BTreeMap<&'static str, SocketAddr>),
    ) -> Stage {
        let (heard_in, heard) = channel();
        let (lines_in, lines) = channel();
        let names = ["c1", "c2", "p1", "o1"];
        let addresses: BTreeMap<_, _> = names
            .iter()
            .map(|&name| (name, stand_in(name, heard_in.clone())))
            .collect();
        let members: Vec<_> = addresses
            .iter()
            .map(|(id, at)| member(id, *at, "ready", 0))
            .collect();
        let mut config = json!({
            "name": "n1", "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "journal": journal(lines_in).to_string(),
            "known": {"pos": 1, "entries": [hosts(1, true, &members)]},
            "settings": settings()
        });
        change(&mut config, &addresses);
        let program = Program::start_in(&config, free_address(), environment);
        Stage {
            program,
            config,
            addresses,
            heard,
            heard_in,
            journal: lines,
        }
    }

    pub fn hear(&self) -> Heard {
        self.heard
            .recv_timeout(SOON)
            .expect("a host hears something")
    }

    /// The next request at a host; what is given up in between is passed over.
    pub fn pull(&self) -> Heard {
        loop {
            let heard = self.hear();
            if heard.word == "PULL" {
                return heard;
            }
        }
    }

    pub fn pull_within(&self, time: Duration) -> Option<Heard> {
        let until = Instant::now() + time;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let heard = self.heard.recv_timeout(left).ok()?;
            if heard.word == "PULL" {
                return Some(heard);
            }
        }
    }

    pub fn journal(&self) -> JournalLine {
        self.journal
            .recv_timeout(SOON)
            .expect("a call to the journal service")
    }

    pub fn client(&self) -> Client {
        Client::new(self.program.address)
    }
}

#[derive(Debug, PartialEq)]
pub enum Final {
    Done(Vec<u8>, BTreeMap<String, String>),
    Error(String, BTreeMap<String, String>),
}

impl Final {
    pub fn is_done(&self) -> bool {
        matches!(self, Final::Done(..))
    }

    pub fn done(body: &[u8]) -> Final {
        Final::Done(body.to_vec(), BTreeMap::new())
    }

    pub fn is_error(&self, word: &str) -> bool {
        matches!(self, Final::Error(said, _) if said == word)
    }
}

pub struct Client {
    pub stream: TcpStream,
    next: u64,
}

/// A request's fields, with a reference and an object of that number.
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
    pub fn new(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).expect("a connection");
        stream.set_read_timeout(Some(SOON)).expect("a time-out");
        stream.set_nodelay(true).expect("no delay");
        Client { stream, next: 0 }
    }

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

    /// Asks for an object and gives the request's number.
    pub fn ask(&mut self, track: &str, object: u64, allow_ms: u64) -> u64 {
        static NEXT: AtomicU32 = AtomicU32::new(1);
        let mut fields = fields(object, allow_ms);
        // An id of its own, as every request has.
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
        fields[0].1.replace_range(..8, &format!("{n:08x}"));
        self.ask_with(track, fields, &[])
    }

    pub fn ask_with(&mut self, track: &str, fields: Vec<(String, String)>, body: &[u8]) -> u64 {
        let bytes = self.encode(track, fields, body);
        self.stream.write_all(&bytes).expect("a request is written");
        self.next
    }

    pub fn revoke(&mut self, number: u64) {
        let message = vec![2.into(), "revoke".into(), Value::Array(vec![number.into()])];
        rmpv::encode::write_value(&mut self.stream, &Value::Array(message)).expect("written");
    }

    /// The next answer, with its number.
    pub fn answer(&mut self) -> (u64, Final) {
        let message = rmpv::decode::read_value(&mut self.stream).expect("an answer");
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
            Some(error) => Final::Error(error[0].as_str().expect("a word").into(), map(&error[1])),
            None => {
                let result = items[3].as_array().expect("a result");
                let body = match &result[0] {
                    Value::Boolean(well) => vec![u8::from(*well)],
                    body => body.as_slice().expect("bytes").to_vec(),
                };
                Final::Done(body, map(&result[1]))
            }
        };
        (items[1].as_u64().expect("a number"), last)
    }

    /// Whether the program has ended the connection.
    pub fn is_closed(&mut self) -> bool {
        !matches!(self.stream.read(&mut [0; 1]), Ok(n) if n > 0)
    }
}

/// A request under this key, with an id of its own.
pub fn keyed(key: &str) -> Vec<(String, String)> {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let mut fields = fields(NEXT.fetch_add(1, Ordering::Relaxed), 3_000);
    fields.push(("replay".into(), key.into()));
    fields
}

/// It was done with this body.
pub fn done(answer: Final, body: &[u8]) {
    match answer {
        Final::Done(answered, _) => assert_eq!(answered, body),
        Final::Error(word, fields) => panic!("{word} {fields:?}"),
    }
}

/// Objects whose first cache is this: the hash of the names decides, so that it is the same on every stage.
pub fn homes(cache: &str) -> Vec<u64> {
    let stage = Stage::new();
    let mut client = stage.client();
    let mut is_home = |object: &u64| {
        client.ask("image", *object, 3000);
        let pull = stage.pull();
        pull.hit(b"x");
        assert!(client.answer().1.is_done());
        pull.host == cache
    };
    (0..64).filter(|object| is_home(object)).collect()
}
