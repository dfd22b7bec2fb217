//! The way to the store that dispatchers share: a Redis server, by a library, on the same thread.
//!
//! It only carries: what to ask and when to leave comes by a queue from the one task that has the decisions, and answers
//! go back by its own. A connection that is left takes its answers with it.

use crate::messages::{FromStore, Inbound, InboundSender, ToStore};
use local_channel::mpsc;
use redis::aio::MultiplexedConnection;
use slog::{Logger, warn};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::timeout;
use trailproxy_shared_store::config::StoreConfig;
use trailproxy_shared_store::decide::Reply;
use trailproxy_shared_store::scripts::{SCRIPTS, ScriptRequest, Value, parse_reply};

/// A server that takes longer to let one in is not there.
const CONNECT_WITHIN: Duration = Duration::from_secs(1);

/// Where scripts are known on one connection.
struct Line {
    connection: MultiplexedConnection,
    sums: Vec<(&'static str, String)>,
}

/// Carries until nobody asks any more.
pub async fn carry(
    config: StoreConfig,
    queue: InboundSender,
    mut asked: mpsc::Receiver<ToStore>,
    log: Logger,
) {
    // A connection that was left must not tell of its end as if it were the present one's.
    let present = Rc::new(Cell::new(0u64));
    let mut line: Option<Rc<Line>> = None;
    let mut told = String::new();
    while let Some(order) = asked.recv().await {
        match order {
            ToStore::Connect => {
                present.set(present.get() + 1);
                line = match connect(&config).await {
                    Ok((connected, run)) => {
                        told.clear();
                        let _ = queue.send(Inbound::Store(FromStore::Connected { run_id: run }));
                        Some(Rc::new(connected))
                    }
                    Err(why) => {
                        // Told once for each cause: an outage of hours is one line.
                        if why != told {
                            warn!(log, "store not reached"; "file" => &config.file, "host" => &config.host,
                                "port" => config.port, "why" => &why);
                            told = why;
                        }
                        let _ = queue.send(Inbound::Store(FromStore::Disconnected));
                        None
                    }
                };
            }
            ToStore::Disconnect => {
                present.set(present.get() + 1);
                line = None;
            }
            ToStore::Execute(id, request) => {
                let Some(line) = line.clone() else {
                    let _ = queue.send(Inbound::Store(FromStore::Answered(id, Reply::Lost)));
                    continue;
                };
                let (queue, present, of) = (queue.clone(), present.clone(), present.get());
                spawn_local(async move {
                    let (reply, broken) = ask(&line, &request).await;
                    if present.get() != of {
                        return;
                    }
                    let _ = queue.send(Inbound::Store(FromStore::Answered(id, reply)));
                    if broken {
                        present.set(of + 1);
                        let _ = queue.send(Inbound::Store(FromStore::Disconnected));
                    }
                });
            }
        }
    }
}

async fn connect(config: &StoreConfig) -> Result<(Line, String), String> {
    let password = match config.password_file.as_str() {
        "" => None,
        path => {
            let text = std::fs::read_to_string(path);
            let text =
                text.map_err(|e| format!("field password_file: {path} can't be read: {e}"))?;
            Some(text.trim_end().to_owned())
        }
    };
    let info = redis::ConnectionInfo {
        addr: redis::ConnectionAddr::Tcp(config.host.clone(), config.port),
        redis: redis::RedisConnectionInfo {
            password,
            ..Default::default()
        },
    };
    let client = redis::Client::open(info).map_err(|e| e.to_string())?;
    let open = async {
        let mut connection = client.get_multiplexed_async_connection().await?;
        let server: String = redis::cmd("INFO")
            .arg("server")
            .query_async(&mut connection)
            .await?;
        let mut sums = Vec::new();
        for script in SCRIPTS {
            let mut load = redis::cmd("SCRIPT");
            let sum: String = load
                .arg("LOAD")
                .arg(script.text)
                .query_async(&mut connection)
                .await?;
            sums.push((script.name, sum));
        }
        Ok::<_, redis::RedisError>((connection, server, sums))
    };
    let opened = timeout(CONNECT_WITHIN, open).await;
    let opened = opened.map_err(|_| format!("no answer within {CONNECT_WITHIN:?}"))?;
    let (connection, server, sums) = opened.map_err(|e| e.to_string())?;
    let run = server.lines().find_map(|line| line.strip_prefix("run_id:"));
    let run = run.ok_or("it names no run_id, by which its restarts are told")?;
    Ok((Line { connection, sums }, run.trim().to_owned()))
}

/// The answer, and whether the connection is of no more use.
async fn ask(line: &Line, request: &ScriptRequest) -> (Reply, bool) {
    let mut connection = line.connection.clone();
    let sum = line
        .sums
        .iter()
        .find(|(name, _)| *name == request.script.name);
    let mut command = redis::cmd("EVALSHA");
    command.arg(sum.map_or("", |(_, sum)| sum));
    command
        .arg(request.keys.len())
        .arg(&request.keys)
        .arg(&request.args);
    let answer: redis::RedisResult<redis::Value> = command.query_async(&mut connection).await;
    match answer {
        Ok(answer) => match value(answer).as_ref().and_then(parse_reply) {
            Some(said) => (Reply::Result(said), false),
            // No script answers so: whatever it is that listens there, it is not the store.
            None => (Reply::Lost, true),
        },
        // Its scripts were flushed: a new connection loads them again.
        Err(e) if e.kind() == redis::ErrorKind::NoScriptError => (Reply::Refused, true),
        Err(e)
            if e.is_io_error()
                || e.is_connection_dropped()
                || e.kind() == redis::ErrorKind::ParseError =>
        {
            (Reply::Lost, true)
        }
        Err(_) => (Reply::Refused, false),
    }
}

fn value(value: redis::Value) -> Option<Value> {
    Some(match value {
        redis::Value::Nil => Value::Nil,
        redis::Value::Int(n) => Value::Int(n),
        redis::Value::BulkString(bytes) => Value::Text(bytes),
        redis::Value::SimpleString(text) => Value::Text(text.into_bytes()),
        redis::Value::Array(all) => {
            Value::List(all.into_iter().map(self::value).collect::<Option<_>>()?)
        }
        _ => return None,
    })
}
