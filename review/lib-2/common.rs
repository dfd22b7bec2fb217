//! What the cases share: the dispatcher as a process, a client, cache hosts and a journal service, all on loopback.
//! Standard library only.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio, exit};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, a: u64, b: u64, c: u64) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// Sends a signal to a process that this program has started.
pub fn send_signal(pid: u32, signal: i32) {
    // SAFETY: the call has no preconditions.
    unsafe { kill(pid as i32, signal) };
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// The record of one run: `record.txt` in the folder of the case. Times are in milliseconds since its start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(folder: &Path) -> Record {
        let file = File::create(folder.join("record.txt")).expect("record.txt can't be written");
        Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7} {}", self.ms(), text.as_ref());
    }
}

/// Everything that a case needs to know of its run.
pub struct Run {
    pub record: Record,
    /// Whether the disruption is played.
    pub trouble: bool,
    /// A folder for the files of the dispatchers.
    pub temp: PathBuf,
    children: Arc<Mutex<Vec<Arc<Mutex<Child>>>>>,
}

impl Run {
    /// `argv[1]` is the folder of the case. The working directory is the root of the repository.
    pub fn new() -> Run {
        let folder = std::env::args().nth(1).unwrap_or_else(|| ".".into());
        let record = Record::create(Path::new(&folder));
        let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
        let temp = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&temp).expect("no temporary folder");
        record.line(format!("run with{} the disruption", if trouble { "" } else { "out" }));
        let run = Run { record, trouble, temp, children: Arc::default() };
        let (children, temp, record) = (run.children.clone(), run.temp.clone(), run.record.clone());
        std::panic::set_hook(Box::new(move |panic| {
            record.line(format!("the case could not run: {panic}"));
            end_all(&children, &temp);
            exit(2);
        }));
        let (children, temp, record) = (run.children.clone(), run.temp.clone(), run.record.clone());
        thread::spawn(move || {
            thread::sleep(Duration::from_secs(112));
            record.line("the case took too long");
            end_all(&children, &temp);
            exit(2);
        });
        run
    }

    /// Ends all processes, and this one with the verdict: 0 the rule held, 1 it was broken, 2 the case could not run.
    pub fn finish(&self, code: i32, why: &str) -> ! {
        let verdict = ["the rule held", "THE RULE WAS BROKEN", "the case could not run"][code as usize];
        self.record.line(format!("{verdict}: {why}"));
        println!("{verdict}: {why}");
        end_all(&self.children, &self.temp);
        exit(code);
    }

    /// Starts a dispatcher by the command of the deploy file and waits until it answers a heartbeat with true.
    pub fn start(&self, name: &str, config: &str, env: &[(&str, &str)]) -> Dispatcher {
        for _ in 0..5 {
            // Another process may take the port before the dispatcher does.
            let listen = format!("127.0.0.1:{}", free_port());
            if let Some(dispatcher) = self.start_at(name, &listen, config, env) {
                return dispatcher;
            }
        }
        self.finish(2, "the dispatcher did not become ready");
    }

    fn start_at(&self, name: &str, listen: &str, config: &str, env: &[(&str, &str)]) -> Option<Dispatcher> {
        let path = self.temp.join(format!("{name}.json"));
        std::fs::write(&path, config).expect("the configuration can't be written");
        let log = File::create(self.temp.join(format!("{name}-{}.log", unix_ms()))).expect("no log file");
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run_command());
        command.env("RELAY_NAME", name).env("RELAY_LISTEN", listen).env("RELAY_CONFIG", &path);
        command.envs(env.iter().copied());
        command.stdin(Stdio::null()).stdout(log.try_clone().unwrap()).stderr(log);
        // The dispatcher ends with this program, however that ends: PR_SET_PDEATHSIG with SIGKILL.
        // SAFETY: the call between fork and exec is a system call only.
        unsafe {
            command.pre_exec(|| {
                prctl(1, SIGKILL as u64, 0, 0, 0);
                Ok(())
            })
        };
        let Ok(child) = command.spawn() else {
            self.finish(2, "the dispatcher can't be started");
        };
        let child = Arc::new(Mutex::new(child));
        self.children.lock().unwrap().push(child.clone());
        let pid = child.lock().unwrap().id();
        let dispatcher = Dispatcher { name: name.into(), listen: listen.into(), config: path, pid, child };
        for _ in 0..500 {
            if dispatcher.ended().is_some() {
                return None;
            }
            if dispatcher.is_ready() {
                self.record.line(format!("{name} is ready at {listen}"));
                return Some(dispatcher);
            }
            sleep_ms(20);
        }
        None
    }
}

fn end_all(children: &Mutex<Vec<Arc<Mutex<Child>>>>, temp: &Path) {
    let Ok(children) = children.lock() else { return };
    for child in children.iter() {
        let Ok(mut child) = child.lock() else { continue };
        let _ = child.kill();
        let _ = child.wait();
    }
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(temp);
    }
}

/// The value of `run` in the deploy file.
fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").expect("deploy/balancer.toml can't be read");
    let line = text.lines().find(|line| line.starts_with("run")).expect("no run in the deploy file");
    line.split('"').nth(1).expect("no command").to_owned()
}

pub fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port()
}

/// A running dispatcher.
pub struct Dispatcher {
    pub name: String,
    pub listen: String,
    pub config: PathBuf,
    pub pid: u32,
    child: Arc<Mutex<Child>>,
}

impl Dispatcher {
    fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(&self.listen) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let mut bytes = Vec::new();
        put_array(&mut bytes, 4);
        put_int(&mut bytes, 0);
        put_int(&mut bytes, 1);
        put_text(&mut bytes, "heartbeat");
        put_array(&mut bytes, 1);
        put_map(&mut bytes, &[]);
        if stream.write_all(&bytes).is_err() {
            return false;
        }
        let mut answer = [0; 64];
        let n = stream.read(&mut answer).unwrap_or(0);
        answer[..n].contains(&0xc3)
    }

    pub fn signal(&self, signal: i32) {
        send_signal(self.pid, signal);
    }

    /// The exit code, once it has ended.
    pub fn ended(&self) -> Option<std::process::ExitStatus> {
        self.child.lock().unwrap().try_wait().ok().flatten()
    }
}

// MessagePack, as far as clients need it.

pub fn put_array(out: &mut Vec<u8>, n: u8) {
    out.push(0x90 | n);
}

pub fn put_int(out: &mut Vec<u8>, n: u32) {
    match n {
        0..=0x7f => out.push(n as u8),
        _ => {
            out.push(0xce);
            out.extend(n.to_be_bytes());
        }
    }
}

pub fn put_text(out: &mut Vec<u8>, text: &str) {
    match text.len() {
        n @ 0..=31 => out.push(0xa0 | n as u8),
        n => out.extend([0xd9, n as u8]),
    }
    out.extend(text.as_bytes());
}

pub fn put_bin(out: &mut Vec<u8>, bytes: &[u8]) {
    out.push(0xc6);
    out.extend((bytes.len() as u32).to_be_bytes());
    out.extend(bytes);
}

pub fn put_map(out: &mut Vec<u8>, entries: &[(&str, &str)]) {
    out.push(0x80 | entries.len() as u8);
    for (name, value) in entries {
        put_text(out, name);
        put_text(out, value);
    }
}

#[derive(Clone, Debug)]
pub enum Value {
    Nil,
    Bool(bool),
    Int(i64),
    Bytes(Vec<u8>),
    Array(Vec<Value>),
    Map(Vec<(Value, Value)>),
}

impl Value {
    pub fn text(&self) -> String {
        match self {
            Value::Bytes(bytes) => String::from_utf8_lossy(bytes).into_owned(),
            _ => String::new(),
        }
    }
}

/// Reads one value; `None` if it is not complete.
pub fn read_value(bytes: &[u8], at: &mut usize) -> Option<Value> {
    let take = |at: &mut usize, n: usize| {
        let part = bytes.get(*at..*at + n)?;
        *at += n;
        Some(part)
    };
    let number = |at: &mut usize, n: usize| Some(take(at, n)?.iter().fold(0u64, |sum, &b| sum << 8 | u64::from(b)));
    let code = take(at, 1)?[0];
    let n = match code {
        0x80..=0x9f => u64::from(code & 0x0f),
        0xa0..=0xbf => u64::from(code & 0x1f),
        0xc4 | 0xd9 => number(at, 1)?,
        0xc5 | 0xda | 0xdc | 0xde => number(at, 2)?,
        0xc6 | 0xdb | 0xdd | 0xdf => number(at, 4)?,
        _ => 0,
    } as usize;
    Some(match code {
        0x00..=0x7f => Value::Int(code.into()),
        0x80..=0x8f | 0xde | 0xdf => {
            let mut map = Vec::new();
            for _ in 0..n {
                map.push((read_value(bytes, at)?, read_value(bytes, at)?));
            }
            Value::Map(map)
        }
        0x90..=0x9f | 0xdc | 0xdd => {
            let mut items = Vec::new();
            for _ in 0..n {
                items.push(read_value(bytes, at)?);
            }
            Value::Array(items)
        }
        0xa0..=0xbf | 0xc4..=0xc6 | 0xd9..=0xdb => Value::Bytes(take(at, n)?.to_vec()),
        0xc2 | 0xc3 => Value::Bool(code == 0xc3),
        0xcc..=0xcf => Value::Int(number(at, 1 << (code - 0xcc))? as i64),
        _ => Value::Nil,
    })
}

/// One answer to a client.
#[derive(Clone, Debug)]
pub struct Answer {
    pub at: Instant,
    pub number: u32,
    /// `served`, or the name of the error.
    pub result: String,
    pub body: Vec<u8>,
    pub fields: BTreeMap<String, String>,
}

impl Answer {
    fn read(value: &Value) -> Option<Answer> {
        let Value::Array(items) = value else { return None };
        let [Value::Int(1), Value::Int(number), error, result] = items.as_slice() else { return None };
        let (name, body, fields) = match (error, result) {
            (Value::Nil, Value::Array(parts)) => match parts.as_slice() {
                [Value::Bytes(body), fields] => ("served".to_owned(), body.clone(), fields.clone()),
                [Value::Bool(ready), fields] => (format!("heartbeat {ready}"), Vec::new(), fields.clone()),
                _ => return None,
            },
            (Value::Array(parts), _) => match parts.as_slice() {
                [name, fields] => (name.text(), Vec::new(), fields.clone()),
                _ => return None,
            },
            _ => return None,
        };
        let Value::Map(entries) = fields else { return None };
        let fields = entries.iter().map(|(key, value)| (key.text(), value.text())).collect();
        Some(Answer { at: Instant::now(), number: *number as u32, result: name, body, fields })
    }
}

/// A new id of 16 hex digits.
pub fn new_ref() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    let base = unix_ms().wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(std::process::id());
    format!("{:016x}", base.wrapping_add(n.wrapping_mul(0xbf58_476d_1ce4_e5b9)))
}

/// One connection of a client.
pub struct Client {
    stream: TcpStream,
    next: u32,
    answers: Receiver<Option<Answer>>,
}

impl Client {
    pub fn connect(listen: &str) -> std::io::Result<Client> {
        let stream = TcpStream::connect(listen)?;
        stream.set_nodelay(true)?;
        let (send, answers) = channel();
        let mut reader = stream.try_clone()?;
        thread::spawn(move || {
            let (mut bytes, mut piece) = (Vec::new(), [0; 65536]);
            loop {
                let mut at = 0;
                while let Some(value) = read_value(&bytes, &mut at) {
                    bytes.drain(..at);
                    at = 0;
                    if let Some(answer) = Answer::read(&value)
                        && send.send(Some(answer)).is_err()
                    {
                        return;
                    }
                }
                match reader.read(&mut piece) {
                    Ok(n) if n > 0 => bytes.extend(&piece[..n]),
                    _ => {
                        let _ = send.send(None);
                        return;
                    }
                }
            }
        });
        Ok(Client { stream, next: 1, answers })
    }

    /// Sends a request, and returns its number.
    pub fn request(&mut self, class: &str, fields: &[(&str, &str)], body: &[u8]) -> std::io::Result<u32> {
        let number = self.next;
        self.next += 1;
        let bytes = request_bytes(number, class, fields, body);
        self.stream.write_all(&bytes)?;
        Ok(number)
    }

    pub fn revoke(&mut self, number: u32) {
        let mut bytes = Vec::new();
        put_array(&mut bytes, 3);
        put_int(&mut bytes, 2);
        put_text(&mut bytes, "revoke");
        put_array(&mut bytes, 1);
        put_int(&mut bytes, number);
        let _ = self.stream.write_all(&bytes);
    }

    /// The next answer; `None` if the connection ended or nothing came in time.
    pub fn answer(&self, within: Duration) -> Option<Answer> {
        self.answers.recv_timeout(within).ok().flatten()
    }

    pub fn close(self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

pub fn request_bytes(number: u32, class: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::new();
    put_array(&mut bytes, 4);
    put_int(&mut bytes, 0);
    put_int(&mut bytes, number);
    put_text(&mut bytes, class);
    put_array(&mut bytes, 2);
    put_map(&mut bytes, fields);
    put_bin(&mut bytes, body);
    bytes
}

/// A request as a cache host, a parent or the origin has read it.
#[derive(Clone, Debug)]
pub struct Pull {
    pub host: String,
    pub at: Instant,
    pub unix_ms: u64,
    pub id: String,
    pub fields: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Pull {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }
}

/// The way back to the dispatcher.
#[derive(Clone)]
pub struct Back {
    stream: Arc<Mutex<TcpStream>>,
}

impl Back {
    pub fn new(stream: TcpStream) -> Back {
        Back { stream: Arc::new(Mutex::new(stream)) }
    }

    /// Answers ID WORD FIELDS BODY.
    pub fn answer(&self, id: &str, word: &str, fields: &str, body: &[u8]) {
        let mut bytes = b"*4\r\n".to_vec();
        for part in [id.as_bytes(), word.as_bytes(), fields.as_bytes(), body] {
            bytes.extend(format!("${}\r\n", part.len()).as_bytes());
            bytes.extend(part);
            bytes.extend(b"\r\n");
        }
        let _ = self.stream.lock().unwrap().write_all(&bytes);
    }

    pub fn close(&self) {
        let _ = self.stream.lock().unwrap().shutdown(Shutdown::Both);
    }
}

/// What a host does with a request. It may answer at once or later, from a thread of its own.
pub type Behaviour = Arc<dyn Fn(Pull, Back) + Send + Sync>;

/// A cache host, a parent or the origin.
#[derive(Clone)]
pub struct Host {
    pub id: String,
    pub address: String,
    /// The requests given up by KILL.
    pub killed: Arc<Mutex<Vec<String>>>,
    pub connections: Arc<AtomicUsize>,
}

impl Host {
    pub fn start(id: &str, behaviour: Behaviour) -> Host {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let host = Host {
            id: id.into(),
            address: listener.local_addr().unwrap().to_string(),
            killed: Arc::default(),
            connections: Arc::default(),
        };
        let this = host.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let _ = stream.set_nodelay(true);
                this.connections.fetch_add(1, Ordering::Relaxed);
                let (this, behaviour) = (this.clone(), behaviour.clone());
                thread::spawn(move || this.serve(stream, behaviour));
            }
        });
        host
    }

    fn serve(&self, stream: TcpStream, behaviour: Behaviour) {
        let Ok(mut reader) = stream.try_clone() else { return };
        let back = Back { stream: Arc::new(Mutex::new(stream)) };
        let (mut bytes, mut piece) = (Vec::new(), [0; 65536]);
        loop {
            while let Some((words, length)) = read_words(&bytes) {
                bytes.drain(..length);
                let text = |n: usize| words.get(n).map_or(String::new(), |word| String::from_utf8_lossy(word).into_owned());
                match text(0).as_str() {
                    "PULL" => {
                        let fields = text(2);
                        let pairs = fields.split(',').filter_map(|pair| pair.split_once('='));
                        let fields = pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect();
                        let (host, at, unix_ms, id) = (self.id.clone(), Instant::now(), unix_ms(), text(1));
                        let body = words.get(3).cloned().unwrap_or_default();
                        behaviour(Pull { host, at, unix_ms, id, fields, body }, back.clone());
                    }
                    "KILL" => self.killed.lock().unwrap().push(text(1)),
                    _ => back.answer(&text(1), "well", "-", b""),
                }
            }
            match reader.read(&mut piece) {
                Ok(n) if n > 0 => bytes.extend(&piece[..n]),
                _ => return,
            }
        }
    }
}

/// The first RESP array of bulk strings, and its length.
pub fn read_words(bytes: &[u8]) -> Option<(Vec<Vec<u8>>, usize)> {
    let mut at = 0;
    let line = |at: &mut usize| -> Option<usize> {
        let end = bytes.get(*at..)?.windows(2).position(|pair| pair == b"\r\n")?;
        let number = std::str::from_utf8(&bytes[*at + 1..*at + end]).ok()?.parse().ok()?;
        *at += end + 2;
        Some(number)
    };
    let n = line(&mut at)?;
    let mut words = Vec::new();
    for _ in 0..n {
        let length = line(&mut at)?;
        words.push(bytes.get(at..at + length)?.to_vec());
        bytes.get(at + length..at + length + 2)?;
        at += length + 2;
    }
    Some((words, at))
}

/// The journal service: events that are numbered from 1, told to all who call.
#[derive(Clone)]
pub struct Journal {
    pub address: String,
    events: Arc<Mutex<Vec<String>>>,
    /// How long a call waits for the head of its response, in milliseconds.
    pub head_delay_ms: Arc<AtomicU64>,
    /// Whether nothing is written on open responses.
    pub silent: Arc<AtomicBool>,
    pub calls: Arc<AtomicUsize>,
    record: Record,
}

impl Journal {
    pub fn start(record: &Record) -> Journal {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let journal = Journal {
            address: listener.local_addr().unwrap().to_string(),
            events: Arc::default(),
            head_delay_ms: Arc::default(),
            silent: Arc::default(),
            calls: Arc::default(),
            record: record.clone(),
        };
        let this = journal.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = this.clone();
                thread::spawn(move || this.serve(stream));
            }
        });
        journal
    }

    /// Adds an event; `{POS}` in its text is replaced by its number, which is returned.
    pub fn tell(&self, text: &str) -> u64 {
        let mut events = self.events.lock().unwrap();
        let pos = events.len() as u64 + 1;
        events.push(text.replace("{POS}", &pos.to_string()));
        self.record.line(format!("journal service has event {pos}: {}", events[events.len() - 1]));
        pos
    }

    /// The events so far, as the configuration holds them under `known`.
    pub fn known(&self) -> String {
        let events = self.events.lock().unwrap();
        format!("{{\"pos\":{},\"entries\":[{}]}}", events.len(), events.join(","))
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (mut head, mut piece) = (Vec::new(), [0; 4096]);
        while !head.windows(4).any(|end| end == b"\r\n\r\n") {
            match stream.read(&mut piece) {
                Ok(n) if n > 0 => head.extend(&piece[..n]),
                _ => return,
            }
        }
        let head = String::from_utf8_lossy(&head).to_lowercase();
        let last = head.lines().find_map(|line| line.strip_prefix("last-event-id:"));
        let mut told = last.and_then(|last| last.trim().parse().ok()).unwrap_or(0usize);
        self.calls.fetch_add(1, Ordering::Relaxed);
        self.record.line(format!("journal service is called, last event {told}"));
        let delay = self.head_delay_ms.load(Ordering::Relaxed);
        // Whoever hangs up meanwhile is not answered.
        let until = Instant::now() + Duration::from_millis(delay);
        let _ = stream.set_read_timeout(Some(Duration::from_millis(10)));
        while Instant::now() < until {
            if matches!(stream.read(&mut piece), Ok(0)) {
                self.record.line("journal service: the caller has hung up");
                return;
            }
        }
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: here\n\n";
        if stream.write_all(head.as_bytes()).is_err() {
            return;
        }
        let mut commented = Instant::now();
        loop {
            if !self.silent.load(Ordering::Relaxed) {
                let new: Vec<String> = self.events.lock().unwrap().iter().skip(told).cloned().collect();
                for event in new {
                    told += 1;
                    if stream.write_all(format!("id: {told}\ndata: {event}\n\n").as_bytes()).is_err() {
                        return;
                    }
                    self.record.line(format!("journal service has told event {told}"));
                }
                if commented.elapsed() >= Duration::from_millis(900) {
                    commented = Instant::now();
                    if stream.write_all(b": still here\n\n").is_err() {
                        return;
                    }
                }
            }
            if matches!(stream.read(&mut piece), Ok(0)) {
                return;
            }
        }
    }
}

/// A member of the host list.
pub fn member(host: &Host, zone: &str, kind: &str, phase: &str, started_ms: u64) -> String {
    let Host { id, address, .. } = host;
    format!(
        "{{\"id\":\"{id}\",\"host_port\":\"{address}\",\"locality\":\"{zone}\",\"flavor\":\"{kind}\",\"cell\":0,\
         \"phase\":\"{phase}\",\"size\":8,\"up_since_ms\":{started_ms}}}"
    )
}

/// An event of the host list.
pub fn hosts_event(complete: bool, members: &[String]) -> String {
    format!(
        "{{\"pos\":{{POS}},\"hosts\":{{\"revision\":{{POS}},\"complete\":{complete},\"members\":[{}]}}}}",
        members.join(",")
    )
}

/// The settings of a small deployment: three tracks, a cache zone and a hub zone. The figures are those that the
/// operators' pages give for member-portal. `change` may replace parts of the text.
pub fn settings(dispatchers: u32) -> String {
    format!(
        r#"{{
    "az": 1, "balancers": {dispatchers}, "ordinal": 0,
    "failure_domains": ["hub", "depot"],
    "machine_types": ["cache", "parent", "origin"],
    "membership_mode": "pushed", "weights": "rough",
    "classes": [
      {{"name": "video", "on_time_us": 500000, "hard_limit_us": 5000000, "importance": 2.0, "semantics": "repeatable",
       "group": "all", "repeat_window_us": 5000000, "aim_stretch": 1.6}},
      {{"name": "image", "on_time_us": 300000, "hard_limit_us": 3000000, "importance": 1.0, "semantics": "repeatable",
       "group": "all", "repeat_window_us": 5000000, "aim_stretch": 2.0}},
      {{"name": "order-change", "on_time_us": 800000, "hard_limit_us": 3000000, "importance": 3.0,
       "semantics": "by_key", "group": "all", "repeat_window_us": 2000000}}
    ],
    "ceilings": {{"max_attempts": 6, "max_open": 20000, "max_streams": 32, "cancel": true, "retry_after": true,
      "max_retry_after_us": 2000000, "dial_timeout_us": 400000, "idle_close_us": 30000000, "may_probe": true,
      "second_copies": false, "peers": false}},
    "rules": {{"start_capacity": 0.25, "cold_us": 14000000, "overload_factor": 4.0, "tip_after_us": 1000000,
      "stop_sending_within_us": 2000000, "answer_slack_us": 8000}},
    "family_info": {{"second_tier_kind": 1, "master_kind": 2, "parent_starts_at": 0.082, "parent_ramp_us": 20000000,
      "upper_fall_multiple": 2.0, "stream_kb_per_s": 3600.0, "feed_kb_per_s": [0.0, 36000.0],
      "seats_by_zone": [0, {dispatchers}], "hub_by_zone": [0, 0], "note_level": "hit", "straight": true, "joins": false,
      "max_age_us": [0, 8000000, 0], "usable_after_us": [0, 20000000, 0], "never_kept": [false, false, true],
      "cleared_within_us": 6000000, "heed_within_us": 500000}},
    "report": {{"via": "silent", "fields": []}}
  }}"#
    )
}

/// The configuration file of a dispatcher.
pub fn config(journal: &str, known: &str, settings: &str) -> String {
    format!(
        r#"{{"seed": "{}", "limits": {{"cores": 1.0, "memory_mb": 192, "sockets": 1024}}, "journal": "{journal}",
  "flow_bytes_per_s": 310000, "link_bytes_per_s": 1240000, "known": {known}, "settings": {settings}}}"#,
        new_ref()
    )
}

pub type Shared<T> = Arc<Mutex<T>>;
pub type Events = (Sender<String>, Receiver<String>);

/// A record of a key in the store.
#[derive(Clone, Default)]
struct KeyRecord {
    token: Vec<u8>,
    stand: Vec<u8>,
    place: Option<(Vec<u8>, Vec<u8>)>,
    first: u64,
    body: Option<Vec<u8>>,
}

#[derive(Default)]
struct StoreState {
    /// The server's name for its run.
    run_id: String,
    /// The epoch: id, run, time of its start, number of operations.
    epoch: Option<(Vec<u8>, Vec<u8>, u64, u64)>,
    records: BTreeMap<Vec<u8>, KeyRecord>,
}

/// A stand-in for the Redis server that dispatchers share. It speaks RESP and carries out the scripts of the
/// repository by their names, as their texts say.
#[derive(Clone)]
pub struct Store {
    pub port: u16,
    /// How late it answers.
    pub delay_ms: Arc<AtomicU64>,
    state: Arc<Mutex<StoreState>>,
    record: Record,
    /// Whether operations are left out of the record.
    quiet: bool,
}

/// A part of an answer of the store.
enum Part {
    Nil,
    Int(u64),
    Text(Vec<u8>),
}

impl Store {
    pub fn start(record: &Record) -> Store {
        Store::start_with(record, false)
    }

    /// One whose operations are left out of the record.
    pub fn quiet(record: &Record) -> Store {
        Store::start_with(record, true)
    }

    fn note(&self, text: impl AsRef<str>) {
        if !self.quiet {
            self.record.line(text);
        }
    }

    fn start_with(record: &Record, quiet: bool) -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let state = StoreState { run_id: format!("{}{}00000000", new_ref(), new_ref()), ..StoreState::default() };
        let store = Store {
            port: listener.local_addr().unwrap().port(),
            delay_ms: Arc::default(),
            state: Arc::new(Mutex::new(state)),
            record: record.clone(),
            quiet,
        };
        let this = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = this.clone();
                thread::spawn(move || this.serve(stream));
            }
        });
        store
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (mut bytes, mut piece) = (Vec::new(), [0; 65536]);
        loop {
            while let Some((words, length)) = read_words(&bytes) {
                bytes.drain(..length);
                let answer = self.answer(&words);
                let delay = self.delay_ms.load(Ordering::Relaxed);
                if delay > 0 {
                    sleep_ms(delay);
                }
                if stream.write_all(&answer).is_err() {
                    return;
                }
            }
            match stream.read(&mut piece) {
                Ok(n) if n > 0 => bytes.extend(&piece[..n]),
                _ => return,
            }
        }
    }

    fn answer(&self, words: &[Vec<u8>]) -> Vec<u8> {
        let text = |n: usize| words.get(n).map_or(String::new(), |word| String::from_utf8_lossy(word).into_owned());
        let bulk = |text: &str| format!("${}\r\n{text}\r\n", text.len()).into_bytes();
        match text(0).to_uppercase().as_str() {
            "INFO" => bulk(&format!("# Server\r\nredis_version:7.2.0\r\nrun_id:{}\r\n", self.state.lock().unwrap().run_id)),
            "SCRIPT" => bulk(text(2).split_whitespace().nth(2).unwrap_or("")),
            "PING" => b"+PONG\r\n".to_vec(),
            "CLIENT" | "SELECT" => b"+OK\r\n".to_vec(),
            "EVALSHA" => {
                let keys: usize = text(2).parse().unwrap_or(0);
                let parts = self.run(&text(1), &words[3..3 + keys], &words[3 + keys..]);
                let mut out = format!("*{}\r\n", parts.len()).into_bytes();
                for part in parts {
                    match part {
                        Part::Nil => out.extend(b"$-1\r\n"),
                        Part::Int(n) => out.extend(format!(":{n}\r\n").as_bytes()),
                        Part::Text(text) => {
                            out.extend(format!("${}\r\n", text.len()).as_bytes());
                            out.extend(text);
                            out.extend(b"\r\n");
                        }
                    }
                }
                out
            }
            _ => b"-ERR unknown command\r\n".to_vec(),
        }
    }

    fn run(&self, script: &str, keys: &[Vec<u8>], args: &[Vec<u8>]) -> Vec<Part> {
        let state = &mut *self.state.lock().unwrap();
        let now = unix_ms();
        let number = |n: usize| String::from_utf8_lossy(&args[n]).parse::<u64>().unwrap_or(0);
        let word = |text: &str| Part::Text(text.as_bytes().to_vec());
        if script == "open" {
            let keep = state.epoch.as_ref().is_some_and(|(id, run, _, count)| {
                *run == args[1] && !(*id == args[2] && *count < number(3))
            });
            if !keep {
                // The server has been up for an hour when it is first asked.
                state.epoch = Some((args[0].clone(), args[1].clone(), now - 3_600_000, 0));
            }
            let epoch = state.epoch.as_mut().unwrap();
            epoch.3 += 1;
            return vec![word("opened"), Part::Int(epoch.3), Part::Int(now), Part::Text(epoch.0.clone()), Part::Int(now - epoch.2)];
        }
        let Some(epoch) = state.epoch.as_mut().filter(|epoch| epoch.0 == args[0]) else {
            return vec![word("epoch"), Part::Int(0), Part::Int(now)];
        };
        if number(1) < now {
            return vec![word("late"), Part::Int(0), Part::Int(now)];
        }
        epoch.3 += 1;
        let n = epoch.3;
        let done = |what: &str| vec![word(what), Part::Int(n), Part::Int(now)];
        let show = |record: &KeyRecord| String::from_utf8_lossy(&record.stand).into_owned();
        match script {
            "claim" => match state.records.get(&keys[1]) {
                Some(known) if known.token != args[2] => {
                    self.note(format!("store: a claim finds a record, {}, {} ms old", show(known), now - known.first));
                    let (zone, cell) = known.place.clone().unwrap_or_default();
                    let body = known.body.clone().map_or(Part::Nil, Part::Text);
                    let stand = Part::Text(known.stand.clone());
                    let age = Part::Int(now - known.first);
                    vec![word("found"), Part::Int(n), Part::Int(now), stand, Part::Text(zone), Part::Text(cell), age, body]
                }
                Some(_) => done("mine"),
                None => {
                    self.note("store: a key is claimed");
                    let (token, stand) = (args[2].clone(), b"claimed".to_vec());
                    state.records.insert(keys[1].clone(), KeyRecord { token, stand, first: now, ..KeyRecord::default() });
                    done("mine")
                }
            },
            "sent" => {
                let known = state.records.entry(keys[1].clone()).or_insert_with(|| KeyRecord {
                    token: args[2].clone(),
                    first: now - number(6),
                    ..KeyRecord::default()
                });
                if known.token == args[2] {
                    (known.stand, known.place) = (b"sent".to_vec(), Some((args[4].clone(), args[5].clone())));
                    self.note("store: a hand-off is recorded");
                }
                done("taken")
            }
            "ended" => {
                let known = state.records.get(&keys[1]).cloned();
                let own = known.as_ref().is_none_or(|known| known.token == args[2]);
                if args[4] == b"free" {
                    if own {
                        state.records.remove(&keys[1]);
                    }
                } else if args[4] == b"done" || own && known.as_ref().is_none_or(|known| known.stand != b"done") {
                    let fresh = || KeyRecord { token: args[2].clone(), first: now, ..KeyRecord::default() };
                    let mut kept = known.unwrap_or_else(fresh);
                    kept.stand = args[4].clone();
                    if !args[5].is_empty() && own {
                        kept.place = Some((args[5].clone(), args[6].clone()));
                    }
                    if args[7] == b"1" {
                        kept.body = Some(args[8].clone());
                    }
                    self.note(format!("store: the end of a request is recorded, {}", show(&kept)));
                    state.records.insert(keys[1].clone(), kept);
                }
                done("taken")
            }
            "news" => done("news"),
            "fetch" => done("posted"),
            _ => done("taken"),
        }
    }
}

/// The operator's file with a section `store`, in the form that the reader of the script makes of it.
pub fn store_section(port: u16) -> String {
    format!(
        r#"{{"store":{{"file":"operator.star","place":[1,1],"host":"127.0.0.1","port":{port},"password_file":"",
  "prefix":"depots/","wait_ms":4.0,"keep_s":30.0,"records":true,"hints":false,"purges":true,"words":false}}}}"#
    )
}

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Sets an option of a socket that this program has opened.
pub fn set_option(socket: &impl std::os::fd::AsRawFd, level: i32, name: i32, value: i32) {
    // SAFETY: the value is a number, and as long as it is said to be.
    unsafe { setsockopt(socket.as_raw_fd(), level, name, &value, 4) };
}

/// What the system holds of a connection on this machine, in bytes: written at `from` and not yet confirmed, and
/// received at `to` and not yet read.
pub fn held_by_system(from: u16, to: u16) -> Option<(usize, usize)> {
    let table = std::fs::read_to_string("/proc/net/tcp").ok()?;
    let mut queues = (None, None);
    for line in table.lines().skip(1) {
        let words: Vec<&str> = line.split_whitespace().collect();
        let port = |n: usize| u16::from_str_radix(words.get(n)?.split(':').nth(1)?, 16).ok();
        let queue = |end: usize| usize::from_str_radix(words.get(4)?.split(':').nth(end)?, 16).ok();
        match (port(1), port(2)) {
            (Some(local), Some(remote)) if (local, remote) == (from, to) => queues.0 = queue(0),
            (Some(local), Some(remote)) if (local, remote) == (to, from) => queues.1 = queue(1),
            _ => {}
        }
    }
    Some((queues.0?, queues.1?))
}
