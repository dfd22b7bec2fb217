//! A stand-in of a Redis server, as far as dispatchers use one: hashes, sorted sets, expiry, and scripts by their names.
//!
//! It runs no Lua. A script is known by its first line, `-- trailproxy NAME 1`, and its effects are written out here once
//! more, from what the script says. One server is one value; copying it is a snapshot, going back to a copy is a rollback,
//! and putting an old copy under another run id in its place is a failover to a replica that lagged.

use std::collections::BTreeMap;
use trailproxy::units::{TimeSpan, Timestamp};

/// What a server answers.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    Simple(&'static str),
    Error(String),
    Int(i64),
    Bulk(Vec<u8>),
    Nil,
    Array(Vec<Reply>),
    /// Pairs: a map in RESP3, a flat array in RESP2.
    Map(Vec<(Reply, Reply)>),
}

impl Reply {
    fn text(text: impl Into<String>) -> Reply {
        Reply::Bulk(text.into().into_bytes())
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Held {
    Hash(BTreeMap<String, Vec<u8>>),
    Sorted(BTreeMap<Vec<u8>, f64>),
}

#[derive(Clone, Debug)]
struct Slot {
    held: Held,
    until_ms: Option<u64>,
}

/// One server's data and what it can do.
#[derive(Clone, Debug)]
pub struct Redis {
    run: u64,
    data: BTreeMap<String, Slot>,
    loaded: BTreeMap<String, String>,
    password: Option<String>,
    /// How far its clock is ahead.
    ahead: i64,
    /// Keys it has room for; writes are refused beyond.
    pub most_keys: usize,
    /// Scripts it does not know, as an older version would not.
    pub lacks: Vec<String>,
    pub applied: u64,
    /// Planted, to see that a checker finds it.
    pub mistake: Option<Mistake>,
}

/// What a store could do wrong that would break what dispatchers build on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mistake {
    /// Every claim stands.
    ClaimsAll,
    /// Whoever asks under another epoch is served as well, and nothing shows what was forgotten.
    IgnoresEpochs,
}

type Words<'a> = &'a [Vec<u8>];

fn number(word: Option<&Vec<u8>>) -> Option<f64> {
    std::str::from_utf8(word?).ok()?.parse().ok()
}

fn text(word: Option<&Vec<u8>>) -> String {
    word.map_or(String::new(), |word| {
        String::from_utf8_lossy(word).into_owned()
    })
}

impl Redis {
    pub fn new(run: u64) -> Redis {
        Redis {
            run,
            data: BTreeMap::new(),
            loaded: BTreeMap::new(),
            password: None,
            ahead: 0,
            most_keys: usize::MAX,
            lacks: Vec::new(),
            applied: 0,
            mistake: None,
        }
    }

    pub fn with_password(mut self, password: &str) -> Redis {
        self.password = Some(password.to_owned());
        self
    }

    pub fn needs_password(&self) -> bool {
        self.password.is_some()
    }

    pub fn run_id(&self) -> String {
        format!("{:040x}", self.run)
    }

    pub fn keys(&self) -> usize {
        self.data.len()
    }

    /// All data is gone; the process is the same.
    pub fn wipe(&mut self) {
        self.data.clear();
    }

    /// Another process goes on from a copy, with a clock that may be off.
    pub fn reborn(copy: &Redis, run: u64, ahead: i64) -> Redis {
        let mut born = copy.clone();
        (born.run, born.ahead) = (run, ahead);
        born.loaded.clear();
        born
    }

    fn clock(&self, now: Timestamp) -> u64 {
        (now.0 as i64 / 1_000 + self.ahead).max(0) as u64
    }

    fn expire(&mut self, clock: u64) {
        self.data
            .retain(|_, slot| slot.until_ms.is_none_or(|until| clock < until));
    }

    fn hash(&mut self, key: &str) -> &mut BTreeMap<String, Vec<u8>> {
        let fresh = || Slot {
            held: Held::Hash(BTreeMap::new()),
            until_ms: None,
        };
        let slot = self.data.entry(key.to_owned()).or_insert_with(fresh);
        if !matches!(slot.held, Held::Hash(_)) {
            slot.held = Held::Hash(BTreeMap::new());
        }
        match &mut slot.held {
            Held::Hash(hash) => hash,
            Held::Sorted(_) => unreachable!("made a hash above"),
        }
    }

    fn sorted(&mut self, key: &str) -> &mut BTreeMap<Vec<u8>, f64> {
        let fresh = || Slot {
            held: Held::Sorted(BTreeMap::new()),
            until_ms: None,
        };
        let slot = self.data.entry(key.to_owned()).or_insert_with(fresh);
        if !matches!(slot.held, Held::Sorted(_)) {
            slot.held = Held::Sorted(BTreeMap::new());
        }
        match &mut slot.held {
            Held::Sorted(sorted) => sorted,
            Held::Hash(_) => unreachable!("made a sorted set above"),
        }
    }

    fn get(&self, key: &str, field: &str) -> Option<&Vec<u8>> {
        match &self.data.get(key)?.held {
            Held::Hash(hash) => hash.get(field),
            Held::Sorted(_) => None,
        }
    }

    fn put(&mut self, key: &str, field: &str, value: impl ToString) {
        let value = value.to_string().into_bytes();
        self.hash(key).insert(field.to_owned(), value);
    }

    fn last_until(&mut self, key: &str, until: u64) {
        if let Some(slot) = self.data.get_mut(key) {
            slot.until_ms = Some(until);
        }
    }

    /// A script's effects; the answer is what the script returns.
    pub fn script(&mut self, now: Timestamp, name: &str, keys: &[String], args: Words) -> Reply {
        let clock = self.clock(now);
        self.expire(clock);
        if self.data.len() >= self.most_keys && !matches!(name, "fetch" | "news" | "drain") {
            let words = "OOM command not allowed when used memory > 'maxmemory'.";
            return Reply::Error(words.into());
        }
        if self.lacks.iter().any(|lacking| lacking == name) {
            return Reply::Error("ERR Unknown Redis command called from script".into());
        }
        let Some(epoch_key) = keys.first() else {
            return Reply::Error("ERR wrong number of keys".into());
        };
        if name == "drain" {
            self.data.remove(epoch_key);
            if text(args.first()) == "1" {
                self.put(epoch_key, "id", "drained");
            }
            return answer("taken", 0, 0, vec![]);
        }
        if name == "open" {
            return self.open(clock, epoch_key, args);
        }
        let epoch = self.get(epoch_key, "id").cloned();
        if epoch.as_ref() != args.first() && self.mistake != Some(Mistake::IgnoresEpochs) {
            return answer("epoch", 0, clock, vec![]);
        }
        if number(args.get(1)).is_none_or(|by| by < clock as f64) {
            return answer("late", 0, clock, vec![]);
        }
        self.applied += 1;
        let mut count = number(self.get(epoch_key, "count")).unwrap_or(0.0) as u64 + 1;
        self.put(epoch_key, "count", count);
        if self.mistake == Some(Mistake::IgnoresEpochs) {
            count = clock;
        }
        let key = keys.get(1).cloned().unwrap_or_default();
        let rest = args.get(2..).unwrap_or_default();
        match name {
            "claim" => self.claim(clock, count, &key, rest),
            "sent" => self.sent(clock, count, &key, rest),
            "ended" => self.ended(clock, count, &key, rest),
            "post" => self.post(clock, count, &key, rest),
            "fetch" => self.fetch(clock, count, &key),
            "tell" => self.tell(clock, count, keys, rest),
            "news" => self.news(clock, count, keys, rest),
            _ => Reply::Error(format!("ERR the stand-in has no script {name}")),
        }
    }

    fn open(&mut self, clock: u64, key: &str, args: Words) -> Reply {
        let id = self.get(key, "id").cloned();
        if id.as_deref() == Some(b"drained") {
            return answer("drained", 0, clock, vec![]);
        }
        let seen = number(self.get(key, "count")).unwrap_or(0.0);
        let forgot =
            id.as_ref() == args.get(2) && number(args.get(3)).is_some_and(|known| seen < known);
        if id.is_none() || self.get(key, "run") != args.get(1) || forgot {
            self.data.remove(key);
            self.put(key, "id", text(args.first()));
            self.put(key, "run", text(args.get(1)));
            self.put(key, "born", clock);
            self.put(key, "count", 0);
        }
        self.applied += 1;
        let count = number(self.get(key, "count")).unwrap_or(0.0) as u64 + 1;
        self.put(key, "count", count);
        let id = self.get(key, "id").cloned().unwrap_or_default();
        let born = number(self.get(key, "born")).unwrap_or(0.0) as u64;
        let age = Reply::Int(clock.saturating_sub(born) as i64);
        answer("opened", count, clock, vec![Reply::Bulk(id), age])
    }

    fn claim(&mut self, clock: u64, count: u64, key: &str, args: Words) -> Reply {
        let token = self.get(key, "token").cloned();
        match token {
            Some(token)
                if Some(&token) != args.first() && self.mistake != Some(Mistake::ClaimsAll) =>
            {
                let word = |field| Reply::Bulk(self.get(key, field).cloned().unwrap_or_default());
                let first = number(self.get(key, "first")).unwrap_or(0.0) as u64;
                let age = Reply::Int(clock.saturating_sub(first) as i64);
                let body = self
                    .get(key, "body")
                    .cloned()
                    .map_or(Reply::Nil, Reply::Bulk);
                let rest = vec![word("stand"), word("zone"), word("cell"), age, body];
                answer("found", count, clock, rest)
            }
            Some(_) => answer("mine", count, clock, vec![]),
            None => {
                self.put(key, "token", text(args.first()));
                self.put(key, "stand", "claimed");
                self.put(key, "first", clock);
                let keep = number(args.get(1)).unwrap_or(0.0) as u64;
                self.last_until(key, clock + keep);
                answer("mine", count, clock, vec![])
            }
        }
    }

    fn sent(&mut self, clock: u64, count: u64, key: &str, args: Words) -> Reply {
        let token = self.get(key, "token").cloned();
        if token.is_none() || token.as_ref() == args.first() {
            let ago = number(args.get(4)).unwrap_or(0.0) as u64;
            let first =
                number(self.get(key, "first")).map_or(clock.saturating_sub(ago), |at| at as u64);
            self.put(key, "token", text(args.first()));
            self.put(key, "stand", "sent");
            self.put(key, "zone", text(args.get(2)));
            self.put(key, "cell", text(args.get(3)));
            self.put(key, "first", first);
            self.last_until(key, clock + number(args.get(1)).unwrap_or(0.0) as u64);
        }
        answer("taken", count, clock, vec![])
    }

    fn ended(&mut self, clock: u64, count: u64, key: &str, args: Words) -> Reply {
        let token = self.get(key, "token").cloned();
        let own = token.is_none() || token.as_ref() == args.first();
        let (how, zone) = (text(args.get(2)), text(args.get(3)));
        let done = self.get(key, "stand").is_some_and(|stand| stand == b"done");
        if how == "free" {
            if own {
                self.data.remove(key);
            }
        } else if how == "done" || own && !done {
            let first = number(self.get(key, "first")).map_or(clock, |at| at as u64);
            let token = token.map_or_else(|| text(args.first()), |token| text(Some(&token)));
            self.put(key, "token", token);
            self.put(key, "stand", how);
            self.put(key, "first", first);
            if !zone.is_empty() && own {
                self.put(key, "zone", zone);
                self.put(key, "cell", text(args.get(4)));
            }
            if text(args.get(5)) == "1" {
                let body = args.get(6).cloned().unwrap_or_default();
                self.hash(key).insert("body".into(), body);
            }
            self.last_until(key, clock + number(args.get(1)).unwrap_or(0.0) as u64);
        }
        answer("taken", count, clock, vec![])
    }

    fn post(&mut self, clock: u64, count: u64, key: &str, args: Words) -> Reply {
        let keep = number(args.get(1)).unwrap_or(0.0) as u64;
        let mut member = format!("{count}:{}:", text(args.first())).into_bytes();
        member.extend(args.get(2).into_iter().flatten());
        let sorted = self.sorted(key);
        sorted.insert(member, clock as f64);
        while sorted.len() > 256 {
            let least = sorted.iter().min_by(|a, b| a.1.total_cmp(b.1));
            let Some(word) = least.map(|(word, _)| word.clone()) else {
                break;
            };
            sorted.remove(&word);
        }
        self.last_until(key, clock + keep);
        answer("taken", count, clock, vec![])
    }

    fn fetch(&mut self, clock: u64, count: u64, key: &str) -> Reply {
        let held = self.data.remove(key).map(|slot| slot.held);
        let words = match held {
            Some(Held::Sorted(sorted)) => sorted.into_keys().map(Reply::Bulk).collect(),
            _ => Vec::new(),
        };
        answer("posted", count, clock, words)
    }

    fn tell(&mut self, clock: u64, count: u64, keys: &[String], args: Words) -> Reply {
        let (ago, same) = (
            number(args.get(1)).unwrap_or(0.0),
            number(args.get(2)).unwrap_or(0.0),
        );
        let keep = number(args.get(3)).unwrap_or(0.0);
        let (at, word) = (
            clock as f64 - ago,
            args.first().cloned().unwrap_or_default(),
        );
        let [_, news, told] = keys else {
            return Reply::Error("ERR wrong number of keys".into());
        };
        let old = self.sorted(news).get(&word).copied();
        if old.is_none_or(|old| old + same < at) {
            self.sorted(news).insert(word.clone(), at);
            self.sorted(told).insert(word, clock as f64);
        }
        for key in [news, told] {
            self.sorted(key)
                .retain(|_, score| *score > clock as f64 - keep);
            while self.sorted(key).len() > 8_192 {
                let least = self.sorted(key).iter().min_by(|a, b| a.1.total_cmp(b.1));
                let Some(word) = least.map(|(word, _)| word.clone()) else {
                    break;
                };
                self.sorted(key).remove(&word);
            }
            self.last_until(key, clock + keep as u64);
        }
        answer("taken", count, clock, vec![])
    }

    fn news(&mut self, clock: u64, count: u64, keys: &[String], args: Words) -> Reply {
        let after = number(args.first()).unwrap_or(0.0);
        let [_, news, told] = keys else {
            return Reply::Error("ERR wrong number of keys".into());
        };
        let of = |key: &str| match self.data.get(key).map(|slot| &slot.held) {
            Some(Held::Sorted(sorted)) => sorted.clone(),
            _ => BTreeMap::new(),
        };
        let (news, mut told): (_, Vec<_>) = (of(news), of(told).into_iter().collect());
        told.retain(|(_, score)| *score >= after);
        told.sort_by(|a, b| a.1.total_cmp(&b.1).then(a.0.cmp(&b.0)));
        let mut out = Vec::new();
        for (word, _) in told.into_iter().take(256) {
            if let Some(at) = news.get(&word) {
                let ago = Reply::Int((clock as f64 - at).max(0.0) as i64);
                out.extend([Reply::Bulk(word), ago]);
            }
        }
        answer("news", count, clock, out)
    }

    /// One command of a connection that has passed the password, if one is needed.
    pub fn command(&mut self, now: Timestamp, words: Words) -> Reply {
        let name = text(words.first()).to_ascii_uppercase();
        match name.as_str() {
            "PING" => Reply::Simple("PONG"),
            "CLIENT" | "SELECT" => Reply::Simple("OK"),
            "INFO" => Reply::text(format!(
                "# Server\r\nredis_version:7.2.0\r\nredis_mode:standalone\r\nrun_id:{}\r\n",
                self.run_id()
            )),
            "TIME" => {
                let clock = self.clock(now);
                let parts = [clock / 1_000, clock % 1_000 * 1_000];
                Reply::Array(parts.map(|part| Reply::text(part.to_string())).to_vec())
            }
            "SCRIPT" if text(words.get(1)).eq_ignore_ascii_case("load") => {
                let script = text(words.get(2));
                let sum = sha1_hex(script.as_bytes());
                self.loaded.insert(sum.clone(), script);
                Reply::text(sum)
            }
            "SCRIPT" if text(words.get(1)).eq_ignore_ascii_case("flush") => {
                self.loaded.clear();
                Reply::Simple("OK")
            }
            "EVALSHA" | "EVAL" => {
                let given = text(words.get(1));
                let script = match name.as_str() {
                    "EVAL" => Some(given),
                    _ => self.loaded.get(&given).cloned(),
                };
                let Some(script) = script else {
                    return Reply::Error("NOSCRIPT No matching script. Please use EVAL.".into());
                };
                let named = script.lines().next().unwrap_or_default();
                let named = named
                    .strip_prefix("-- trailproxy ")
                    .and_then(|rest| rest.split(' ').next());
                let most = words.len().saturating_sub(3);
                let keys = number(words.get(2)).map_or(0, |n| (n.max(0.0) as usize).min(most));
                let (keys, args) = words.get(3..).unwrap_or_default().split_at(keys);
                let keys: Vec<String> = keys.iter().map(|key| text(Some(key))).collect();
                match named {
                    Some(name) => self.script(now, name, &keys, args),
                    None => Reply::Error("ERR the stand-in runs named scripts only".into()),
                }
            }
            "FLUSHALL" => {
                self.wipe();
                Reply::Simple("OK")
            }
            "HGETALL" => {
                self.expire(self.clock(now));
                let key = text(words.get(1));
                match self.data.get(&key).map(|slot| &slot.held) {
                    Some(Held::Hash(hash)) => {
                        let pair = |(field, value): (&String, &Vec<u8>)| {
                            (Reply::text(field.as_str()), Reply::Bulk(value.clone()))
                        };
                        Reply::Map(hash.iter().map(pair).collect())
                    }
                    _ => Reply::Map(vec![]),
                }
            }
            "ZCARD" => {
                self.expire(self.clock(now));
                match self.data.get(&text(words.get(1))).map(|slot| &slot.held) {
                    Some(Held::Sorted(sorted)) => Reply::Int(sorted.len() as i64),
                    _ => Reply::Int(0),
                }
            }
            "SCAN" => {
                // All at once: a cursor of 0 is the end.
                self.expire(self.clock(now));
                let pattern = words
                    .windows(2)
                    .find(|pair| pair[0].eq_ignore_ascii_case(b"match"));
                let prefix = pattern.map_or(String::new(), |pair| text(Some(&pair[1])));
                let prefix = prefix.trim_end_matches('*').to_owned();
                let keys = self.data.keys().filter(|key| key.starts_with(&prefix));
                let keys = keys.map(|key| Reply::text(key.as_str())).collect();
                Reply::Array(vec![Reply::text("0"), Reply::Array(keys)])
            }
            _ => Reply::Error(format!("ERR unknown command '{name}'")),
        }
    }

    /// Whether this password opens it.
    pub fn accepts(&self, password: &str) -> bool {
        self.password.as_deref().is_none_or(|own| own == password)
    }
}

fn answer(what: &'static str, count: u64, clock: u64, rest: Vec<Reply>) -> Reply {
    let head = [
        Reply::text(what),
        Reply::Int(count as i64),
        Reply::Int(clock as i64),
    ];
    Reply::Array(head.into_iter().chain(rest).collect())
}

/// SHA-1 of a script, by which clients name it.
fn sha1_hex(bytes: &[u8]) -> String {
    use sha1::{Digest, Sha1};
    Sha1::digest(bytes)
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

/// How long answers take, drawn for each.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Delay {
    pub least: TimeSpan,
    /// The mean of what comes on top, exponentially spread.
    pub mean_more: TimeSpan,
}

impl Delay {
    pub const NONE: Delay = Delay {
        least: TimeSpan::ZERO,
        mean_more: TimeSpan::ZERO,
    };

    /// `drawn` is from 0 to 1.
    pub fn draw(&self, drawn: f64) -> TimeSpan {
        let more = -(1.0 - drawn.clamp(0.0, 0.999_999)).ln();
        self.least + self.mean_more.mul_f64(more)
    }
}
