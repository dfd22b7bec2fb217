//! A relay with the dispatcher's parsers and buffers, and no decisions: what a dispatcher is measured against.
//!
//! It reads the same configuration, sends each request to the cache that a hash names, and passes the answer on.
//! It knows no list, no limits, no retries; it is no service.

use serde_json::Value as Json;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::{LocalSet, spawn_local};
use trailproxy_lab::chance::mix;
use trailproxy_standins::client::writer;
use trailproxyd::memory::{MemoryAccount, MemoryUse};
use trailproxyd::msgpack::{self, ParseError, Value};
use trailproxyd::resp;
use trailproxyd::ring::Ring;

type Out = UnboundedSender<Vec<u8>>;
/// Who waits for the answer under an id: the client's queue and its message id.
type Waiting = Rc<RefCell<BTreeMap<Vec<u8>, (Out, u32)>>>;

const LONGEST: usize = 1 << 20;

fn main() -> std::io::Result<()> {
    let path = std::env::var("RELAY_CONFIG").map_err(std::io::Error::other)?;
    let config: Json = serde_json::from_str(&std::fs::read_to_string(path)?)?;
    let listen = config["listen"]
        .as_str()
        .unwrap_or("127.0.0.1:0")
        .to_owned();
    let members = config["known"]["entries"][0]["hosts"]["members"]
        .as_array()
        .cloned()
        .unwrap_or_default();
    let caches = members.iter().filter(|member| member["flavor"] == "cache");
    let caches: Vec<SocketAddr> = caches
        .filter_map(|member| member["host_port"].as_str()?.parse().ok())
        .collect();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, async move {
        let waiting = Waiting::default();
        let mut hosts = Vec::new();
        for address in caches {
            let (read, write) = TcpStream::connect(address).await?.into_split();
            hosts.push(writer(write));
            spawn_local(answers(read, waiting.clone()));
        }
        let hosts = Rc::new(hosts);
        let listener = TcpListener::bind(listen).await?;
        loop {
            let (stream, _) = listener.accept().await?;
            let _ = stream.set_nodelay(true);
            let (read, write) = stream.into_split();
            spawn_local(requests(
                read,
                writer(write),
                hosts.clone(),
                waiting.clone(),
            ));
        }
    })
}

async fn requests(mut read: OwnedReadHalf, out: Out, hosts: Rc<Vec<Out>>, waiting: Waiting) {
    let mut ring = Ring::new(&MemoryAccount::unlimited(), MemoryUse::Answers);
    loop {
        match read.read(ring.free_space()).await {
            Ok(n) if n > 0 => ring.commit(n),
            _ => return,
        }
        loop {
            let used = match msgpack::read(ring.as_contiguous(), LONGEST) {
                Ok((message, used)) => {
                    request(&message, &out, &hosts, &waiting);
                    used
                }
                Err(ParseError::Incomplete(_)) => break,
                Err(ParseError::Malformed(_)) => return,
            };
            ring.consume(used);
        }
    }
}

fn request(message: &Value<'_>, out: &Out, hosts: &[Out], waiting: &Waiting) {
    let Value::Array(parts) = message else {
        return;
    };
    let [
        Value::Int(0),
        Value::Int(id),
        Value::Bytes(method),
        Value::Array(params),
    ] = &parts[..]
    else {
        return;
    };
    let id = *id as u32;
    let Some(Value::Map(fields)) = params.first() else {
        return;
    };
    if *method == b"heartbeat" {
        let mut bytes = Vec::new();
        msgpack::put_array(&mut bytes, 4);
        msgpack::put_int(&mut bytes, 1);
        msgpack::put_int(&mut bytes, id);
        msgpack::put_nil(&mut bytes);
        msgpack::put_array(&mut bytes, 2);
        msgpack::put_bool(&mut bytes, true);
        msgpack::put_map(&mut bytes, &[]);
        let _ = out.send(bytes);
        return;
    }
    let field = |name: &str| {
        let found = fields
            .iter()
            .find(|(key, _)| *key == Value::Bytes(name.as_bytes()));
        match found {
            Some((_, Value::Bytes(value))) => *value,
            _ => b"",
        }
    };
    let (reference, object, part) = (field("ref"), field("lookup"), field("part"));
    let hash = object
        .iter()
        .chain(part)
        .fold(0, |hash, &byte| mix(hash, u64::from(byte)));
    let Some(host) = hosts.get((hash % hosts.len().max(1) as u64) as usize) else {
        return;
    };
    let mut asked = b"lane=".to_vec();
    for (name, value) in [
        ("", *method),
        (",name=", object),
        (",piece=", part),
        (",ttl=", field("allow")),
    ] {
        asked.extend(name.as_bytes());
        asked.extend(value);
    }
    let mut bytes = Vec::new();
    resp::put_array(&mut bytes, 4);
    for word in [&b"PULL"[..], reference, &asked, b""] {
        resp::put_word(&mut bytes, word);
    }
    waiting
        .borrow_mut()
        .insert(reference.to_vec(), (out.clone(), id));
    let _ = host.send(bytes);
}

async fn answers(mut read: OwnedReadHalf, waiting: Waiting) {
    let mut ring = Ring::new(&MemoryAccount::unlimited(), MemoryUse::Answers);
    loop {
        match read.read(ring.free_space()).await {
            Ok(n) if n > 0 => ring.commit(n),
            _ => return,
        }
        loop {
            let used = match resp::read(ring.as_contiguous(), 4, LONGEST) {
                Ok((words, used)) => {
                    if let Some((out, id)) = waiting.borrow_mut().remove(words[0]) {
                        let body = words.get(3).copied().unwrap_or_default();
                        let mut bytes = Vec::with_capacity(body.len() + 64);
                        msgpack::put_array(&mut bytes, 4);
                        msgpack::put_int(&mut bytes, 1);
                        msgpack::put_int(&mut bytes, id);
                        msgpack::put_nil(&mut bytes);
                        msgpack::put_array(&mut bytes, 2);
                        msgpack::put_bin_head(&mut bytes, body.len());
                        bytes.extend(body);
                        msgpack::put_map(&mut bytes, &[]);
                        let _ = out.send(bytes);
                    }
                    used
                }
                Err(ParseError::Incomplete(_)) => break,
                Err(ParseError::Malformed(_)) => return,
            };
            ring.consume(used);
        }
    }
}
