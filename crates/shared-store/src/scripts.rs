//! Operations as scripts of a Redis server: their keys, their arguments and their answers.
//!
//! Everything that reads and then writes is one script, so that no other dispatcher comes in
//! between. Each script receives the epoch that its caller trusts and the time, by the server's
//! clock, after which it must do nothing. What is applied long after its caller gave it up would be
//! a claim or an entry that nobody counts on.

use crate::decide::announcements::Announcement;
use crate::decide::ops::{Answer, MailboxId, Op, OpResult};
use crate::decide::records::{Completion, Key, Record, RecordStatus};
use trailproxy::units::*;

/// A value that a server answers, independent of the version of the protocol.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// No value.
    Nil,
    /// An integer.
    Int(i64),
    /// A string of bytes.
    Text(Vec<u8>),
    /// A list of values.
    List(Vec<Value>),
}

/// A script with its name, which also stands in the first line of its text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Script {
    /// The name.
    pub name: &'static str,
    /// The text that the server runs.
    pub text: &'static str,
}

macro_rules! guarded {
    ($name:literal, $body:literal) => {
        Script {
            name: $name,
            text: concat!(
                "-- trailproxy ",
                $name,
                " 1\n",
                "local t = redis.call('TIME')\n",
                "local now = t[1] * 1000 + math.floor(t[2] / 1000)\n",
                "if redis.call('HGET', KEYS[1], 'id') ~= ARGV[1] then return {'epoch', 0, now} end\n",
                "if tonumber(ARGV[2]) < now then return {'late', 0, now} end\n",
                "local n = redis.call('HINCRBY', KEYS[1], 'count', 1)\n",
                $body
            ),
        }
    };
}

/// Reads the epoch, or starts a new one.
pub const OPEN: Script = Script {
    name: "open",
    text: "-- trailproxy open 1
local t = redis.call('TIME')
local now = t[1] * 1000 + math.floor(t[2] / 1000)
local e = redis.call('HMGET', KEYS[1], 'id', 'run', 'born', 'count')
if e[1] == 'drained' then return {'drained', 0, now} end
local forgot = e[1] == ARGV[3] and tonumber(e[4]) < tonumber(ARGV[4])
if not e[1] or e[2] ~= ARGV[2] or forgot then
  redis.call('DEL', KEYS[1])
  redis.call('HSET', KEYS[1], 'id', ARGV[1], 'run', ARGV[2], 'born', now, 'count', 0)
  e = {ARGV[1], ARGV[2], now}
end
local n = redis.call('HINCRBY', KEYS[1], 'count', 1)
return {'opened', n, now, e[1], math.max(0, now - tonumber(e[3]))}",
};

/// Claims an idempotency key.
pub const CLAIM: Script = guarded!(
    "claim",
    "local r = redis.call('HMGET', KEYS[2], 'token', 'stand', 'zone', 'cell', 'first', 'body')
if r[1] and r[1] ~= ARGV[3] then
  return {'found', n, now, r[2], r[3] or '', r[4] or '', math.max(0, now - tonumber(r[5])), r[6] or false}
end
if not r[1] then
  redis.call('HSET', KEYS[2], 'token', ARGV[3], 'stand', 'claimed', 'first', now)
  redis.call('PEXPIRE', KEYS[2], ARGV[4])
end
return {'mine', n, now}"
);

/// Records the location of the first attempt.
pub const SENT: Script = guarded!(
    "sent",
    "local r = redis.call('HMGET', KEYS[2], 'token', 'first')
if r[1] and r[1] ~= ARGV[3] then return {'taken', n, now} end
redis.call('HSET', KEYS[2], 'token', ARGV[3], 'stand', 'sent', 'zone', ARGV[5], 'cell', ARGV[6],
  'first', r[2] or now - tonumber(ARGV[7]))
redis.call('PEXPIRE', KEYS[2], ARGV[4])
return {'taken', n, now}"
);

/// Records how a request ended.
pub const ENDED: Script = guarded!(
    "ended",
    "local r = redis.call('HMGET', KEYS[2], 'token', 'first', 'stand')
local own = not r[1] or r[1] == ARGV[3]
if ARGV[5] == 'free' then
  if own then redis.call('DEL', KEYS[2]) end
elseif ARGV[5] == 'done' or own and r[3] ~= 'done' then
  redis.call('HSET', KEYS[2], 'token', r[1] or ARGV[3], 'stand', ARGV[5], 'first', r[2] or now)
  if ARGV[6] ~= '' and own then redis.call('HSET', KEYS[2], 'zone', ARGV[6], 'cell', ARGV[7]) end
  if ARGV[8] == '1' then redis.call('HSET', KEYS[2], 'body', ARGV[9]) end
  redis.call('PEXPIRE', KEYS[2], ARGV[4])
end
return {'taken', n, now}"
);

/// Posts a message to a mailbox, which keeps the newest 256.
pub const POST: Script = guarded!(
    "post",
    "redis.call('ZADD', KEYS[2], now, n .. ':' .. ARGV[3] .. ':' .. ARGV[5])
redis.call('ZREMRANGEBYRANK', KEYS[2], 0, -257)
redis.call('PEXPIRE', KEYS[2], ARGV[4])
return {'taken', n, now}"
);

/// Reads and empties a mailbox.
pub const FETCH: Script = guarded!(
    "fetch",
    "local out = {'posted', n, now}
for _, word in ipairs(redis.call('ZRANGE', KEYS[2], 0, -1)) do out[#out + 1] = word end
redis.call('DEL', KEYS[2])
return out"
);

/// Announces an event; the newest 8,192 are kept.
pub const TELL: Script = guarded!(
    "tell",
    "local at, old = now - tonumber(ARGV[4]), redis.call('ZSCORE', KEYS[2], ARGV[3])
if not old or tonumber(old) + tonumber(ARGV[5]) < at then
  redis.call('ZADD', KEYS[2], at, ARGV[3])
  redis.call('ZADD', KEYS[3], now, ARGV[3])
end
redis.call('ZREMRANGEBYSCORE', KEYS[2], '-inf', now - tonumber(ARGV[6]))
redis.call('ZREMRANGEBYSCORE', KEYS[3], '-inf', now - tonumber(ARGV[6]))
redis.call('ZREMRANGEBYRANK', KEYS[2], 0, -8193)
redis.call('ZREMRANGEBYRANK', KEYS[3], 0, -8193)
redis.call('PEXPIRE', KEYS[2], ARGV[6])
redis.call('PEXPIRE', KEYS[3], ARGV[6])
return {'taken', n, now}"
);

/// Reads announcements, at most 256 at once.
pub const NEWS: Script = guarded!(
    "news",
    "local out = {'news', n, now}
for _, word in ipairs(redis.call('ZRANGEBYSCORE', KEYS[3], ARGV[3], '+inf', 'LIMIT', 0, 256)) do
  local at = redis.call('ZSCORE', KEYS[2], word)
  if at then out[#out + 1], out[#out + 2] = word, math.max(0, math.floor(now - tonumber(at))) end
end
return out"
);

/// Takes the store out of use, or back into use with a new epoch.
pub const DRAIN: Script = Script {
    name: "drain",
    text: "-- trailproxy drain 1
redis.call('DEL', KEYS[1])
if ARGV[1] == '1' then redis.call('HSET', KEYS[1], 'id', 'drained') end
return {'taken', 0, 0}",
};

/// All scripts that a dispatcher needs, so that it can be checked whether a store runs them.
pub const SCRIPTS: [Script; 8] = [OPEN, CLAIM, SENT, ENDED, POST, FETCH, TELL, NEWS];

/// A call of a script: the script, its keys and its arguments.
#[derive(Clone, Debug, PartialEq)]
pub struct ScriptRequest {
    /// The script.
    pub script: Script,
    /// The keys that the script uses.
    pub keys: Vec<String>,
    /// The arguments.
    pub args: Vec<Vec<u8>>,
}

/// Where the state is kept in the store, and under which epoch an operation is sent.
#[derive(Clone, Debug, PartialEq)]
pub struct ScriptContext<'a> {
    /// Prefix of every key, so that several installations can share a server.
    pub prefix: &'a str,
    /// Identifies one run of one server process, by the server's own name for it.
    pub run: &'a str,
    /// The epoch that the caller trusts.
    pub epoch: u64,
    /// The operation is not applied after this time; by the server's clock, in milliseconds.
    pub not_after_ms: u64,
}

/// Whole milliseconds, rounded up.
fn ms(span: TimeSpan) -> u64 {
    span.0.div_ceil(1_000)
}

/// The text of an announcement in the store.
fn announcement_text(word: Announcement) -> String {
    match word {
        Announcement::Purged { object, group } => match object {
            Some(object) => format!("o:{}", object.0),
            None => format!("g:{}", group.0),
        },
        Announcement::Opened { host, started } => format!("b:{}:{started}", host.0),
    }
}

/// Parses the text of an announcement; `None` if its kind is unknown.
fn parse_announcement(text: &str) -> Option<Announcement> {
    let mut parts = text.split(':');
    let kind = parts.next()?;
    let mut number = || parts.next()?.parse::<u64>().ok();
    let word = match kind {
        "o" => Announcement::Purged {
            object: Some(ObjectId(number()?)),
            group: GroupId::default(),
        },
        "g" => Announcement::Purged {
            object: None,
            group: GroupId(u32::try_from(number()?).ok()?),
        },
        "b" => Announcement::Opened {
            host: HostId(number()?),
            started: number()?,
        },
        _ => return None,
    };
    Some(word)
}

/// Turns an operation into a call of a script.
pub fn script_request(op: &Op, context: &ScriptContext) -> ScriptRequest {
    let key = |rest: String| format!("{}{rest}", context.prefix);
    let mut keys = vec![key("epoch".into())];
    let text = |text: String| text.into_bytes();
    let mut args = vec![
        text(context.epoch.to_string()),
        text(context.not_after_ms.to_string()),
    ];
    let record_key = |id: &Key| key(format!("record:{:032x}", id.0));
    let location_text = |at: &(ZoneId, CellId)| (at.0.0.to_string(), at.1.0.to_string());
    let mailbox_key = |id: &MailboxId| key(format!("box:{:016x}", id.0));
    let script = match op {
        Op::Open { proposal, known } => {
            let (epoch, count) = (known.0.to_string(), known.1.to_string());
            args = vec![
                text(proposal.to_string()),
                text(context.run.into()),
                text(epoch),
                text(count),
            ];
            OPEN
        }
        Op::Claim {
            key,
            token,
            retention,
        } => {
            keys.push(record_key(key));
            args.extend([token.to_string(), ms(*retention).to_string()].map(text));
            CLAIM
        }
        Op::Sent {
            key,
            token,
            location: at,
            age,
            retention,
        } => {
            keys.push(record_key(key));
            let (zone, cell) = location_text(at);
            let fields = [
                token.to_string(),
                ms(*retention).to_string(),
                zone,
                cell,
                ms(*age).to_string(),
            ];
            args.extend(fields.map(text));
            SENT
        }
        Op::Ended {
            key,
            token,
            completion,
            location: at,
            retention,
        } => {
            keys.push(record_key(key));
            let (zone, cell) = at.as_ref().map(location_text).unwrap_or_default();
            let (how, body) = match completion {
                Completion::Done(body) => ("done", body.clone()),
                Completion::NeverRan => ("free", None),
                Completion::Unknown => ("unknown", None),
            };
            let kept = if body.is_some() { "1" } else { "0" };
            let fields = [
                token.to_string(),
                ms(*retention).to_string(),
                how.into(),
                zone,
                cell,
                kept.into(),
            ];
            args.extend(fields.map(text));
            args.push(body.unwrap_or_default());
            ENDED
        }
        Op::Post {
            to,
            from,
            bytes,
            retention,
        } => {
            keys.push(mailbox_key(to));
            args.extend([from.0.to_string(), ms(*retention).to_string()].map(text));
            args.push(bytes.clone());
            POST
        }
        Op::Fetch { mailbox } => {
            keys.push(mailbox_key(mailbox));
            FETCH
        }
        Op::Announce {
            announcement,
            age,
            merge_within,
            retention,
        } => {
            keys.extend([key("news".into()), key("told".into())]);
            args.push(text(announcement_text(*announcement)));
            // Rounded so that the event seems to have happened later, not earlier.
            let millis = [age.0 / 1_000, ms(*merge_within), ms(*retention)];
            args.extend(millis.map(|span| text(span.to_string())));
            TELL
        }
        Op::ReadAnnouncements { after } => {
            keys.extend([key("news".into()), key("told".into())]);
            args.push(text(after.to_string()));
            NEWS
        }
    };
    ScriptRequest { script, keys, args }
}

impl Value {
    /// The value as a number that is not negative.
    fn number(&self) -> Option<u64> {
        match self {
            Value::Int(n) => u64::try_from(*n).ok(),
            Value::Text(text) => std::str::from_utf8(text).ok()?.parse().ok(),
            _ => None,
        }
    }

    /// The value as text.
    fn text(&self) -> Option<&str> {
        match self {
            Value::Text(text) => std::str::from_utf8(text).ok(),
            _ => None,
        }
    }
}

/// Parses the answer of a script; `None` if no script answers so.
pub fn parse_reply(value: &Value) -> Option<OpResult> {
    let Value::List(parts) = value else {
        return None;
    };
    let [what, count, clock, rest @ ..] = parts.as_slice() else {
        return None;
    };
    let span = |value: &Value| Some(TimeSpan(value.number()?.checked_mul(1_000)?));
    let answer = match (what.text()?, rest) {
        ("opened", [epoch, age]) => Answer::Opened {
            epoch: epoch.number()?,
            age: span(age)?,
        },
        ("mine", []) => Answer::Claimed,
        ("found", [stand, zone, cell, age, body]) => {
            let stand = match stand.text()? {
                "claimed" => RecordStatus::Claimed,
                "sent" => RecordStatus::Sent,
                "done" => RecordStatus::Done,
                "unknown" => RecordStatus::Unknown,
                _ => return None,
            };
            let of = |value: &Value| u16::try_from(value.number()?).ok();
            let place = of(zone).zip(of(cell));
            let body = match body {
                Value::Text(body) => Some(body.clone()),
                _ => None,
            };
            Answer::Found(Record {
                status: stand,
                location: place.map(|(zone, cell)| (ZoneId(zone), CellId(cell))),
                age: span(age)?,
                body,
            })
        }
        ("posted", words) => {
            // Operation number, sender and bytes. Anything else is skipped.
            let word = |word: &Value| {
                let Value::Text(word) = word else {
                    return None;
                };
                let mut parts = word.splitn(3, |&byte| byte == b':');
                let (_, from, bytes) = (parts.next()?, parts.next()?, parts.next()?);
                let from = std::str::from_utf8(from).ok()?.parse().ok()?;
                Some((MailboxId(from), bytes.to_vec()))
            };
            Answer::Posted(words.iter().filter_map(word).collect())
        }
        ("news", words) if words.len() % 2 == 0 => {
            let word =
                |word: &[Value]| Some((parse_announcement(word[0].text()?)?, span(&word[1])?));
            // An announcement that only a newer version knows is skipped.
            Answer::Announcements(words.chunks_exact(2).filter_map(word).collect())
        }
        ("taken", []) => Answer::Applied,
        ("late", []) => Answer::TooLate,
        ("epoch", []) => Answer::OtherEpoch,
        ("drained", []) => Answer::Drained,
        _ => return None,
    };
    Some(OpResult {
        answer,
        count: count.number()?,
        clock_ms: clock.number()?,
    })
}
