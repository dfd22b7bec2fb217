//! The store that dispatchers share: its section in the operator's file, and what is to be seen and done there.

use crate::ExitStatus;
use crate::sections::{kinds, store_sheet};
use clap::Subcommand;
use std::time::{Duration, Instant};
use trailproxy_operator::read_file;
use trailproxy_shared_store::config::StoreConfig;
use trailproxy_shared_store::scripts::{DRAIN, SCRIPTS};

#[derive(Subcommand)]
pub enum Task {
    /// Whether the store is reached, its version, latency and epoch, and what it lacks: 1 where it can't be used.
    Check {
        /// The operator's file.
        file: String,
    },
    /// What it holds for these dispatchers now.
    Show { file: String },
    /// Take the store out of use: every dispatcher decides alone within a second.
    Drain {
        file: String,
        /// Back into use, with a new epoch.
        #[arg(long)]
        undo: bool,
    },
}

const WITHIN: Duration = Duration::from_secs(2);
const PINGS: u32 = 50;

struct Line {
    sheet: StoreConfig,
    connection: redis::Connection,
}

impl Line {
    fn open(file: &str) -> Result<Line, String> {
        let script = read_file(file, &kinds()).map_err(|wrong| wrong.to_string())?;
        let sheet =
            store_sheet(&script).ok_or(format!("{file} has no section store that is on"))?;
        let (line, column) = sheet.position;
        let at = |field: &str| format!("{file}:{line}:{column}: section store, field {field}");
        let password = match sheet.password_file.as_str() {
            "" => None,
            path => Some(
                std::fs::read_to_string(path)
                    .map_err(|e| format!("{}: {path} can't be read: {e}", at("password_file")))?
                    .trim_end()
                    .to_owned(),
            ),
        };
        let field = if password.is_some() {
            "host, port or password_file"
        } else {
            "host or port"
        };
        let info = redis::ConnectionInfo {
            addr: redis::ConnectionAddr::Tcp(sheet.host.clone(), sheet.port),
            redis: redis::RedisConnectionInfo {
                password,
                ..Default::default()
            },
        };
        let opened =
            redis::Client::open(info).and_then(|client| client.get_connection_with_timeout(WITHIN));
        let connection = opened.map_err(|e| match e.to_string() {
            why if why.contains("NOAUTH") => {
                format!("{}: the store wants a password", at("password_file"))
            }
            why => format!(
                "{}: {}:{} is not reached: {why}",
                at(field),
                sheet.host,
                sheet.port
            ),
        })?;
        let all = connection.set_read_timeout(Some(WITHIN));
        all.and(connection.set_write_timeout(Some(WITHIN)))
            .map_err(|e| e.to_string())?;
        Ok(Line { sheet, connection })
    }

    fn ask<T: redis::FromRedisValue>(&mut self, words: &[&str]) -> Result<T, String> {
        let mut command = redis::cmd(words[0]);
        for word in &words[1..] {
            command.arg(word);
        }
        let (host, port) = (self.sheet.host.clone(), self.sheet.port);
        command.query(&mut self.connection).map_err(|e| match e.to_string() {
            why if why.contains("NOAUTH") => {
                let (line, column) = self.sheet.position;
                let file = &self.sheet.file;
                format!("{file}:{line}:{column}: section store, field password_file: the store wants a password")
            }
            why => format!("{host}:{port}: {}: {why}", words[0]),
        })
    }

    fn epoch(&mut self) -> Result<String, String> {
        let key = format!("{}epoch", self.sheet.prefix);
        let pairs: Vec<(String, String)> = self.ask(&["HGETALL", &key])?;
        let of = |name: &str| {
            pairs
                .iter()
                .find(|(field, _)| field == name)
                .map(|(_, value)| value.as_str())
        };
        let time: Vec<u64> = self.ask(&["TIME"])?;
        let clock = time.first().map_or(0, |s| s * 1_000) + time.get(1).map_or(0, |us| us / 1_000);
        let born = of("born").and_then(|born| born.parse::<u64>().ok());
        Ok(match (of("id"), born) {
            (None, _) => "none yet: the first dispatcher begins one".into(),
            (Some("drained"), _) => {
                "drained: dispatchers decide alone until `trailproxy store drain --undo`".into()
            }
            (Some(id), born) => format!(
                "{id}, {:.1} s old, {} operations",
                clock.saturating_sub(born.unwrap_or(clock)) as f64 / 1_000.0,
                of("count").unwrap_or("0")
            ),
        })
    }
}

pub fn run(task: Task) -> ExitStatus {
    let done = match task {
        Task::Check { file } => check(&file),
        Task::Show { file } => show(&file),
        Task::Drain { file, undo } => drain(&file, undo),
    };
    match done {
        Ok(()) => ExitStatus::Success,
        Err(why) => ExitStatus::InvalidInput(why),
    }
}

fn check(file: &str) -> Result<(), String> {
    let mut line = Line::open(file)?;
    let server: String = line.ask(&["INFO", "server"])?;
    let field = |name: &str| {
        let found = server
            .lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(':'));
        found.unwrap_or("not told").trim().to_owned()
    };
    println!(
        "reached  {}:{}, version {}",
        line.sheet.host,
        line.sheet.port,
        field("redis_version")
    );
    let mut took = Vec::new();
    for _ in 0..PINGS {
        let begun = Instant::now();
        let _: String = line.ask(&["PING"])?;
        took.push(begun.elapsed().as_secs_f64() * 1_000.0);
    }
    took.sort_by(f64::total_cmp);
    let (middle, worst) = (took[took.len() / 2], took[took.len() - 1]);
    println!(
        "latency  {middle:.2} ms in the middle, {worst:.2} at worst of {PINGS}; wait_ms is {}",
        line.sheet.wait_ms
    );
    println!("epoch    {}", line.epoch()?);
    let mut lacking = Vec::new();
    for script in SCRIPTS {
        if let Err(why) = line.ask::<String>(&["SCRIPT", "LOAD", script.text]) {
            lacking.push(format!("{}: {why}", script.name));
        }
    }
    if field("run_id") == "not told" {
        lacking.push("INFO server names no run_id, by which a restart is told".into());
    }
    if !lacking.is_empty() {
        return Err(format!("the store can't be used: {}", lacking.join("; ")));
    }
    println!("scripts  all {} are taken", SCRIPTS.len());
    match middle * 2.0 > line.sheet.wait_ms {
        true => Err(format!(
            "the store is too slow for wait_ms = {}: answers would come late, and dispatchers decide alone",
            line.sheet.wait_ms
        )),
        false => Ok(()),
    }
}

fn show(file: &str) -> Result<(), String> {
    let mut line = Line::open(file)?;
    println!("epoch    {}", line.epoch()?);
    let (mut cursor, mut records) = ("0".to_owned(), 0);
    let pattern = format!("{}record:*", line.sheet.prefix);
    loop {
        let (next, keys): (String, Vec<String>) =
            line.ask(&["SCAN", &cursor, "MATCH", &pattern, "COUNT", "1000"])?;
        records += keys.len();
        cursor = next;
        if cursor == "0" {
            break;
        }
    }
    let words: u64 = line.ask(&["ZCARD", &format!("{}news", line.sheet.prefix)])?;
    println!("records  {records}");
    println!("news     {words}");
    Ok(())
}

fn drain(file: &str, undo: bool) -> Result<(), String> {
    let mut line = Line::open(file)?;
    let key = format!("{}epoch", line.sheet.prefix);
    let flag = if undo { "0" } else { "1" };
    let _: redis::Value = line.ask(&["EVAL", DRAIN.text, "1", &key, flag])?;
    match undo {
        true => println!(
            "in use again: dispatchers return within ten seconds, and trust it when keep_s has passed"
        ),
        false => println!("out of use: dispatchers decide alone"),
    }
    Ok(())
}
