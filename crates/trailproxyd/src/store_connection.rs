//! The connection to the store that dispatchers share: a Redis server, through a client library, on the same thread.
//!
//! It only carries out orders: the operations and the times to connect and disconnect come through a queue from the
//! task that owns the decisions, and results go back through the queue of that task. Results on a connection that was
//! closed are dropped.

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

/// How long the server may be silent while a connection is made, at each step of it.
const STEP_TIMEOUT: Duration = Duration::from_secs(1);

/// One connection, with the hashes of the scripts that are loaded on it.
struct Connection {
    client: MultiplexedConnection,
    script_hashes: Vec<(&'static str, String)>,
}

/// Carries out orders until the queue of orders is closed.
pub async fn run(
    config: StoreConfig,
    queue: InboundSender,
    mut orders: mpsc::Receiver<ToStore>,
    log: Logger,
) {
    // Number of the present connection. The end of an earlier connection must not be reported as the end of the present
    // one.
    let present = Rc::new(Cell::new(0u64));
    let mut connection: Option<Rc<Connection>> = None;
    let mut logged_reason = String::new();
    while let Some(order) = orders.recv().await {
        match order {
            ToStore::Connect => {
                present.set(present.get() + 1);
                connection = match connect(&config).await {
                    Ok((connected, run_id)) => {
                        logged_reason.clear();
                        let _ = queue.send(Inbound::Store(FromStore::Connected { run_id }));
                        Some(Rc::new(connected))
                    }
                    Err(reason) => {
                        // Logged once for each cause, so that an outage of hours is one line.
                        if reason != logged_reason {
                            warn!(log, "store not reached"; "file" => &config.file, "host" => &config.host,
                                "port" => config.port, "why" => &reason);
                            logged_reason = reason;
                        }
                        let _ = queue.send(Inbound::Store(FromStore::Disconnected));
                        None
                    }
                };
            }
            ToStore::Disconnect => {
                present.set(present.get() + 1);
                connection = None;
            }
            ToStore::Execute(id, request) => {
                let Some(connection) = connection.clone() else {
                    let _ = queue.send(Inbound::Store(FromStore::Answered(id, Reply::Lost)));
                    continue;
                };
                let (queue, present, number) = (queue.clone(), present.clone(), present.get());
                spawn_local(async move {
                    let (reply, unusable) = execute(&connection, &request).await;
                    if present.get() != number {
                        return;
                    }
                    let _ = queue.send(Inbound::Store(FromStore::Answered(id, reply)));
                    if unusable {
                        present.set(number + 1);
                        let _ = queue.send(Inbound::Store(FromStore::Disconnected));
                    }
                });
            }
        }
    }
}

/// Connects, loads the scripts and reads the run id of the server, by which its restarts are recognised.
async fn connect(config: &StoreConfig) -> Result<(Connection, String), String> {
    let password = match config.password_file.as_str() {
        "" => None,
        path => {
            let text = std::fs::read_to_string(path);
            let text =
                text.map_err(|e| format!("field password_file: {path} can't be read: {e}"))?;
            Some(text.trim_end().to_owned())
        }
    };
    let address = redis::ConnectionInfo {
        addr: redis::ConnectionAddr::Tcp(config.host.clone(), config.port),
        redis: redis::RedisConnectionInfo {
            password,
            ..Default::default()
        },
    };
    let client = redis::Client::open(address).map_err(|e| e.to_string())?;
    let mut connection = step(client.get_multiplexed_async_connection()).await?;
    let mut info = redis::cmd("INFO");
    let server: String = step(info.arg("server").query_async(&mut connection)).await?;
    let mut script_hashes = Vec::new();
    for script in SCRIPTS {
        let mut load = redis::cmd("SCRIPT");
        load.arg("LOAD").arg(script.text);
        let hash: String = step(load.query_async(&mut connection)).await?;
        script_hashes.push((script.name, hash));
    }
    let run_id = server.lines().find_map(|line| line.strip_prefix("run_id:"));
    let run_id =
        run_id.ok_or("the server reports no run_id, by which its restarts are recognised")?;
    Ok((
        Connection {
            client: connection,
            script_hashes,
        },
        run_id.trim().to_owned(),
    ))
}

/// Waits for one step of making a connection. Each step has its own limit: a server that is slow but answers goes on.
async fn step<Output>(
    answer: impl Future<Output = redis::RedisResult<Output>>,
) -> Result<Output, String> {
    match timeout(STEP_TIMEOUT, answer).await {
        Ok(answer) => answer.map_err(|error| error.to_string()),
        Err(_) => Err(format!("no answer within {STEP_TIMEOUT:?}")),
    }
}

/// Executes one operation. Returns its result, and whether the connection is of no more use.
async fn execute(connection: &Connection, request: &ScriptRequest) -> (Reply, bool) {
    let mut client = connection.client.clone();
    let hash = connection
        .script_hashes
        .iter()
        .find(|(name, _)| *name == request.script.name);
    let mut command = redis::cmd("EVALSHA");
    command.arg(hash.map_or("", |(_, hash)| hash));
    command
        .arg(request.keys.len())
        .arg(&request.keys)
        .arg(&request.args);
    let result: redis::RedisResult<redis::Value> = command.query_async(&mut client).await;
    match result {
        Ok(answer) => match value(answer).as_ref().and_then(parse_reply) {
            Some(result) => (Reply::Result(result), false),
            // No script gives such an answer, so the process that listens there is not the store.
            None => (Reply::Lost, true),
        },
        // The server has dropped its scripts; a new connection loads them again.
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

/// A value of the client library as the decisions read it; `None` for kinds that no script returns.
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
