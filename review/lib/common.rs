//! What the cases share: a dispatcher as a process, stand-ins for hosts and the journal service, MessagePack, and the
//! record. It uses the standard library only.
#![allow(dead_code)]

use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// The file `record.txt` of a case: each line has the seconds since the start.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn new(folder: &Path) -> Record {
        let file = File::create(folder.join("record.txt")).expect("record.txt can't be written");
        Record(Arc::new((Instant::now(), Mutex::new(file))))
    }

    pub fn seconds(&self) -> f64 {
        self.0.0.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let at = self.seconds();
        let _ = writeln!(self.0.1.lock().unwrap(), "{at:9.4} {text}");
    }

    /// Also on standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// The root of the repository, in which the commands of the deploy file run.
pub fn root() -> PathBuf {
    std::env::var("REVIEW_ROOT").expect("REVIEW_ROOT is set by run.sh").into()
}

/// The folder of the case.
pub fn folder() -> PathBuf {
    std::env::var("REVIEW_CASE").expect("REVIEW_CASE is set by run.sh").into()
}

/// The temporary folder, which run.sh makes and removes.
pub fn temporary() -> PathBuf {
    std::env::var("REVIEW_TMP").expect("REVIEW_TMP is set by run.sh").into()
}

/// Whether the disruption is played.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A free port on loopback.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// The command `run` of the deploy file.
fn run_command() -> String {
    let file = std::fs::read_to_string(root().join("deploy/balancer.toml")).expect("deploy file");
    let line = file.lines().find(|line| line.starts_with("run = ")).expect("run in the deploy file");
    line.split('"').nth(1).unwrap().to_owned()
}

/// A dispatcher process. It is killed when this is dropped.
pub struct Dispatcher {
    pub child: Child,
    pub listen: SocketAddr,
}

impl Dispatcher {
    /// Starts one by the deploy file, and waits until it answers a heartbeat with true.
    pub fn start(record: &Record, name: &str, config: &str, more: &[(&str, String)]) -> Dispatcher {
        let listen = free_address();
        let path = temporary().join(format!("{name}.json"));
        std::fs::write(&path, config).unwrap();
        let log = File::create(temporary().join(format!("{name}.log"))).unwrap();
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run_command()).current_dir(root());
        for inherited in ["OPERATOR", "PEERS", "READER", "TRACE", "CLOCK"] {
            command.env_remove(format!("RELAY_{inherited}"));
        }
        command.env("RELAY_NAME", name).env("RELAY_LISTEN", listen.to_string()).env("RELAY_CONFIG", &path);
        command.envs(more.iter().map(|(key, value)| (key, value)));
        command.stdin(Stdio::null()).stderr(log.try_clone().unwrap()).stdout(log);
        let child = command.spawn().expect("the dispatcher can't be started");
        let _ = std::fs::write(temporary().join(format!("{name}.pid")), child.id().to_string());
        record.line(&format!("dispatcher {name} started, process {}, listens on {listen}", child.id()));
        let mut dispatcher = Dispatcher { child, listen };
        for _ in 0..1000 {
            thread::sleep(Duration::from_millis(10));
            if dispatcher.child.try_wait().unwrap().is_some() {
                cannot_run("the dispatcher ended at the start");
            }
            if dispatcher.is_ready() {
                record.line(&format!("dispatcher {name} answered a heartbeat with true"));
                return dispatcher;
            }
        }
        cannot_run("the dispatcher was not ready within 10 s")
    }

    fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.listen) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let mut message = vec![0x94, 0, 1];
        put_text(&mut message, "heartbeat");
        message.extend([0x91, 0x80]);
        if stream.write_all(&message).is_err() {
            return false;
        }
        let mut bytes = [0; 64];
        // [1, 1, nil, [true, {}]]
        matches!(stream.read(&mut bytes), Ok(n) if bytes[..n].starts_with(&[0x94, 1, 1, 0xc0, 0x92, 0xc3]))
    }

    /// The resident memory in bytes; `None` once the process has ended.
    pub fn resident(&self) -> Option<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kb: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kb * 1024)
    }
}

impl Drop for Dispatcher {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Ends the case with code 2.
pub fn cannot_run(why: &str) -> ! {
    println!("the case could not run: {why}");
    std::process::exit(2)
}

// MessagePack.

pub fn put_text(out: &mut Vec<u8>, text: &str) {
    match text.len() {
        n @ 0..=31 => out.push(0xa0 | n as u8),
        n => out.extend([0xd9, n as u8]),
    }
    out.extend(text.as_bytes());
}

fn put_number(out: &mut Vec<u8>, number: u32) {
    match number {
        0..=0x7f => out.push(number as u8),
        _ => {
            out.push(0xce);
            out.extend(number.to_be_bytes());
        }
    }
}

/// `[0, NUMBER, CLASS, [FIELDS, BODY]]`.
pub fn request(number: u32, class: &str, fields: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut out = vec![0x94, 0];
    put_number(&mut out, number);
    put_text(&mut out, class);
    out.extend([0x92, 0x80 | fields.len() as u8]);
    for (name, value) in fields {
        put_text(&mut out, name);
        put_text(&mut out, value);
    }
    out.push(0xc6);
    out.extend((body.len() as u32).to_be_bytes());
    out.extend(body);
    out
}

/// `[2, "revoke", [NUMBER]]`.
pub fn revoke(number: u32) -> Vec<u8> {
    let mut out = vec![0x93, 2];
    put_text(&mut out, "revoke");
    out.push(0x91);
    put_number(&mut out, number);
    out
}

/// A value of MessagePack, as far as answers need it.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Nil,
    Bool(bool),
    Number(u64),
    Bytes(Vec<u8>),
    Array(Vec<Value>),
    Map(Vec<(Value, Value)>),
}

/// Reads a value at the start of the bytes; `None` if it is not whole.
pub fn read_value(bytes: &[u8]) -> Option<(Value, usize)> {
    let mut at = 0;
    let value = value_at(bytes, &mut at)?;
    Some((value, at))
}

fn take<'a>(bytes: &'a [u8], at: &mut usize, n: usize) -> Option<&'a [u8]> {
    let taken = bytes.get(*at..*at + n)?;
    *at += n;
    Some(taken)
}

fn number_at(bytes: &[u8], at: &mut usize, n: usize) -> Option<u64> {
    Some(take(bytes, at, n)?.iter().fold(0, |sum, &byte| sum << 8 | u64::from(byte)))
}

fn value_at(bytes: &[u8], at: &mut usize) -> Option<Value> {
    let code = number_at(bytes, at, 1)? as u8;
    let n = match code {
        0x80..=0x9f => usize::from(code & 15),
        0xa0..=0xbf => usize::from(code & 31),
        0xc4 | 0xd9 => number_at(bytes, at, 1)? as usize,
        0xc5 | 0xda | 0xdc | 0xde => number_at(bytes, at, 2)? as usize,
        0xc6 | 0xdb | 0xdd | 0xdf => number_at(bytes, at, 4)? as usize,
        _ => 0,
    };
    Some(match code {
        0..=0x7f => Value::Number(code.into()),
        0xc0 => Value::Nil,
        0xc2 | 0xc3 => Value::Bool(code == 0xc3),
        0xcc..=0xcf => Value::Number(number_at(bytes, at, 1 << (code - 0xcc))?),
        0x80..=0x8f | 0xde | 0xdf => {
            let mut entries = Vec::new();
            for _ in 0..n {
                entries.push((value_at(bytes, at)?, value_at(bytes, at)?));
            }
            Value::Map(entries)
        }
        0x90..=0x9f | 0xdc | 0xdd => {
            let mut items = Vec::new();
            for _ in 0..n {
                items.push(value_at(bytes, at)?);
            }
            Value::Array(items)
        }
        0xa0..=0xbf | 0xc4..=0xc6 | 0xd9..=0xdb => Value::Bytes(take(bytes, at, n)?.to_vec()),
        _ => panic!("an answer that can't be read: code {code:x}"),
    })
}

/// An answer of a dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// With the length of its body.
    Served(usize),
    /// The word of the error.
    Error(String),
}

/// Reads `[1, NUMBER, ERROR, RESULT]` at the start of the bytes.
pub fn read_reply(bytes: &[u8]) -> Option<(u32, Reply, usize)> {
    let (value, n) = read_value(bytes)?;
    let Value::Array(items) = value else { panic!("an answer is not an array") };
    let [Value::Number(1), Value::Number(number), error, result] = items.as_slice() else {
        panic!("an answer has another form")
    };
    let reply = match (error, result) {
        (Value::Nil, Value::Array(parts)) => match parts.first() {
            Some(Value::Bytes(body)) => Reply::Served(body.len()),
            _ => panic!("an answer has no body"),
        },
        (Value::Array(parts), _) => match parts.first() {
            Some(Value::Bytes(word)) => Reply::Error(String::from_utf8_lossy(word).into()),
            _ => panic!("an error has no word"),
        },
        _ => panic!("an answer has another form"),
    };
    Some((*number as u32, reply, n))
}

// RESP.

/// Reads an array of strings at the start of the bytes; `None` if it is not whole.
pub fn read_strings(bytes: &[u8]) -> Option<(Vec<Vec<u8>>, usize)> {
    let mut at = 0;
    let line = |at: &mut usize| {
        let end = bytes.get(*at..)?.windows(2).position(|pair| pair == b"\r\n")?;
        let text = std::str::from_utf8(&bytes[*at + 1..*at + end]).ok()?;
        *at += end + 2;
        text.parse::<usize>().ok()
    };
    let n = line(&mut at)?;
    let mut strings = Vec::new();
    for _ in 0..n {
        let len = line(&mut at)?;
        strings.push(bytes.get(at..at + len + 2)?[..len].to_vec());
        at += len + 2;
    }
    Some((strings, at))
}

/// Writes an array of strings.
pub fn strings(parts: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", parts.len()).into_bytes();
    for part in parts {
        out.extend(format!("${}\r\n", part.len()).as_bytes());
        out.extend(*part);
        out.extend(b"\r\n");
    }
    out
}

/// A `PULL` as a host received it.
#[derive(Clone)]
pub struct Pull {
    pub id: String,
    pub fields: String,
    pub body: Vec<u8>,
    /// The connection on which it came.
    pub stream: Arc<Mutex<TcpStream>>,
}

impl Pull {
    /// The value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut pairs = self.fields.split(',').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// Answers it.
    pub fn answer(&self, word: &str, fields: &str, body: &[u8]) {
        let bytes = strings(&[self.id.as_bytes(), word.as_bytes(), fields.as_bytes(), body]);
        let _ = self.stream.lock().unwrap().write_all(&bytes);
    }

    /// Answers it with bytes of a copy that was minted now.
    pub fn serve(&self, note: &str, body: &[u8]) {
        let fields = format!("tag=4be0c1927d55a6f3,minted={},why={note}", unix_ms());
        self.answer("data", &fields, body);
    }
}

/// What a host does with what it receives.
pub trait Host: Send + Sync + 'static {
    fn pull(&self, pull: Pull);
    fn kill(&self, _id: &str) {}
}

/// Starts a host on loopback and returns its address. It answers probes with `well`.
pub fn start_host(host: Arc<dyn Host>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let host = host.clone();
            thread::spawn(move || serve_host(stream, host));
        }
    });
    address
}

fn serve_host(mut stream: TcpStream, host: Arc<dyn Host>) {
    let _ = stream.set_nodelay(true);
    let writer = Arc::new(Mutex::new(stream.try_clone().unwrap()));
    let (mut bytes, mut piece) = (Vec::new(), vec![0; 1 << 16]);
    loop {
        match stream.read(&mut piece) {
            Ok(0) | Err(_) => return,
            Ok(n) => bytes.extend(&piece[..n]),
        }
        while let Some((parts, n)) = read_strings(&bytes) {
            bytes.drain(..n);
            let text = |i: usize| String::from_utf8_lossy(&parts[i]).into_owned();
            match (parts[0].as_slice(), parts.len()) {
                (b"PULL", 4) => host.pull(Pull {
                    id: text(1),
                    fields: text(2),
                    body: parts[3].clone(),
                    stream: writer.clone(),
                }),
                (b"KILL", 2) => host.kill(&text(1)),
                (b"ECHO" | b"METER", 2) => {
                    let answer = strings(&[&parts[1], b"well", b"-", b""]);
                    let _ = writer.lock().unwrap().write_all(&answer);
                }
                _ => panic!("a host was sent what the protocol does not know"),
            }
        }
    }
}

/// Starts a journal service that tells no events, and a comment every second.
pub fn start_journal() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut piece = [0; 4096];
                let _ = stream.read(&mut piece);
                let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: here\n\n";
                let mut open = stream.write_all(head.as_bytes()).is_ok();
                while open {
                    thread::sleep(Duration::from_secs(1));
                    open = stream.write_all(b": here\n\n").is_ok();
                }
            });
        }
    });
    address
}

/// What differs between the configurations of the cases.
pub struct Site {
    pub memory_mb: u32,
    pub sockets: u32,
    /// Each with its id, address, zone (`hub` or `depot`), kind (`cache`, `parent` or `origin`) and size.
    pub hosts: Vec<(String, SocketAddr, &'static str, &'static str, u32)>,
    pub journal: SocketAddr,
}

/// The configuration of a small deployment: the settings of the example in `deploy/example`, with the tracks of
/// `member-portal`.
pub fn config(site: &Site) -> String {
    let members: Vec<String> = (site.hosts.iter())
        .map(|(id, address, zone, kind, size)| {
            format!(
                r#"{{"id":"{id}","host_port":"{address}","locality":"{zone}","flavor":"{kind}","cell":0,
                "phase":"ready","size":{size},"up_since_ms":0}}"#
            )
        })
        .collect();
    let (members, journal) = (members.join(",\n"), site.journal);
    let (memory_mb, sockets) = (site.memory_mb, site.sockets);
    let seed = 0x8c1f_30d2_7a5b_e964_u64;
    format!(
        r#"{{"name":"review","listen":"127.0.0.1:1","seed":"{seed:016x}",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},
"journal":"{journal}",
"known":{{"pos":1,"entries":[{{"pos":1,"hosts":{{"revision":1,"complete":true,"members":[{members}]}}}}]}},
"settings":{{"az":1,"balancers":1,"failure_domains":["hub","depot"],"machine_types":["cache","parent","origin"],
"membership_mode":"pushed","weights":"nominal",
"classes":[
{{"name":"video","on_time_us":500000,"hard_limit_us":5000000,"importance":2.0,"semantics":"repeatable","group":"all",
  "repeat_window_us":5000000,"aim_stretch":1.6}},
{{"name":"image","on_time_us":300000,"hard_limit_us":3000000,"importance":1.0,"semantics":"repeatable","group":"all",
  "repeat_window_us":5000000,"aim_stretch":2.0}},
{{"name":"order-change","on_time_us":800000,"hard_limit_us":3000000,"importance":3.0,"semantics":"by_key","group":"all",
  "repeat_window_us":2000000}}],
"ceilings":{{"max_attempts":6,"max_open":20000,"max_streams":32,"cancel":true,"retry_after":true,
"max_retry_after_us":2000000,"dial_timeout_us":400000,"idle_close_us":30000000}},
"rules":{{"start_capacity":0.25,"cold_us":14000000,"overload_factor":4.0,"tip_after_us":1000000,
"stop_sending_within_us":2000000}},
"family_info":{{"second_tier_kind":1,"master_kind":2,"parent_starts_at":0.082,"parent_ramp_us":20000000,
"upper_fall_multiple":2.0,"stream_kb_per_s":3600.0,"feed_kb_per_s":[0.0,36000.0],"seats_by_zone":[0,1],
"hub_by_zone":[0,0],"note_level":"hit","straight":true,"joins":false,"max_age_us":[0,8000000,0],
"usable_after_us":[0,20000000,0],"never_kept":[false,false,true],"cleared_within_us":6000000}},
"report":{{"via":"silent","fields":[]}}}}}}"#
    )
}

/// A number with 16 hex digits, different for each `n`.
pub fn hex16(n: u64) -> String {
    let mut x = n.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x9b1f_03aa_5c7e_2d41;
    x = (x ^ (x >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    format!("{:016x}", x ^ (x >> 29))
}
