//! Reads the start settings into [`DispatcherSettings`], from `path=value` lines or from nested JSON.

use serde_json::Value;
use std::collections::BTreeMap;
use std::str::FromStr;
use trailproxy::interface::*;
use trailproxy::units::*;

/// Why the settings can't be understood.
#[derive(Debug, PartialEq, Eq)]
pub struct SettingsError(pub String);

impl<T: Into<String>> From<T> for SettingsError {
    fn from(text: T) -> SettingsError {
        SettingsError(text.into())
    }
}

type ReadResult<T> = Result<T, SettingsError>;

/// What a socket layer needs of the settings besides [`DispatcherSettings`].
#[derive(Clone, Debug, PartialEq)]
pub struct SocketSettings {
    pub class_names: Vec<String>,
    pub zone_names: Vec<String>,
    pub kind_names: Vec<String>,
    /// The longest outer limit of all tracks.
    pub max_deadline: TimeSpan,
    pub dial_timeout: TimeSpan,
    pub idle_timeout: TimeSpan,
    pub max_streams: usize,
    pub max_open: usize,
}

/// What load reports may hold; the decisions read the share that is in use and how full a link is.
const REPORTED: [&str; 8] = [
    "inflight",
    "queue",
    "util",
    "latency_ms",
    "qps",
    "eps",
    "x0",
    "x1",
];
const WEIGHTS: [&str; 4] = ["silent", "nominal", "rough", "live"];

/// Where in a load report the values stand that the decisions read.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    busy_at: Option<usize>,
    link_full_at: Option<usize>,
}

impl Reports {
    pub fn load(&self, values: &[f64]) -> Load {
        let at = |at: Option<usize>| values.get(at?).copied().filter(|value| *value >= 0.0);
        Load {
            utilization: at(self.busy_at),
            link_utilization: at(self.link_full_at),
        }
    }
}

/// Start settings by path, each a plain value or several joined with commas.
pub struct FlatSettings(BTreeMap<String, String>);

impl FlatSettings {
    pub fn from_text(options: &str) -> FlatSettings {
        let pairs = options.lines().filter_map(|line| line.split_once('='));
        FlatSettings(
            pairs
                .map(|(path, text)| (path.into(), text.into()))
                .collect(),
        )
    }

    /// The same paths from nested JSON: a list of objects gives its length and its items by place.
    pub fn from_json(settings: &Value) -> FlatSettings {
        let mut lines = FlatSettings(BTreeMap::new());
        lines.flatten(String::new(), settings);
        lines
    }

    fn flatten(&mut self, path: String, value: &Value) {
        let below = |name: &str| match path.as_str() {
            "" => name.to_owned(),
            path => format!("{path}.{name}"),
        };
        match value {
            Value::Object(fields) => {
                for (name, value) in fields {
                    self.flatten(below(name), value);
                }
            }
            Value::Array(items) if items.iter().any(Value::is_object) => {
                self.0.insert(below("count"), items.len().to_string());
                for (i, item) in items.iter().enumerate() {
                    self.flatten(below(&i.to_string()), item);
                }
            }
            Value::Array(items) => {
                let item = |item| plain(item).replace(',', COMMA);
                let items: Vec<_> = items.iter().map(item).collect();
                self.0.insert(path, items.join(","));
            }
            value => {
                self.0.insert(path, plain(value));
            }
        }
    }

    fn text(&self, path: &str) -> Option<&str> {
        self.0.get(path).map(String::as_str)
    }

    fn maybe<T: FromStr>(&self, path: &str) -> ReadResult<Option<T>> {
        let parse = |text: &str| {
            text.parse()
                .map_err(|_| SettingsError(format!("setting {path} can't be read: {text:?}")))
        };
        self.text(path)
            .filter(|text| !text.is_empty())
            .map(parse)
            .transpose()
    }

    fn must<T: FromStr>(&self, path: &str) -> ReadResult<T> {
        self.maybe(path)?
            .ok_or_else(|| SettingsError(format!("setting {path} is missing")))
    }

    fn or<T: FromStr>(&self, path: &str, absent: T) -> ReadResult<T> {
        Ok(self.maybe(path)?.unwrap_or(absent))
    }

    /// One of the words that are accepted there; `None` where nothing is told.
    fn one_of<'a>(&self, path: &str, accepted: &[&'a str]) -> ReadResult<Option<&'a str>> {
        let Some(text) = self.text(path).filter(|text| !text.is_empty()) else {
            return Ok(None);
        };
        let found = accepted.iter().find(|word| **word == text);
        let list = accepted.join(", ");
        found.copied().map(Some).ok_or_else(|| {
            SettingsError(format!("setting {path} is {text:?}; accepted are {list}"))
        })
    }

    fn span(&self, path: &str) -> ReadResult<TimeSpan> {
        Ok(TimeSpan(self.must(path)?))
    }

    fn list<T: FromStr>(&self, path: &str) -> ReadResult<Vec<T>> {
        let bad = || SettingsError(format!("setting {path} has an unreadable entry"));
        let text = self.text(path).unwrap_or("");
        let entries = text.split(',').filter(|entry| !entry.is_empty());
        entries
            .map(|entry| entry.replace(COMMA, ",").parse().map_err(|_| bad()))
            .collect()
    }

    fn kind(&self, path: &str) -> ReadResult<Option<KindId>> {
        Ok(self
            .maybe::<i64>(path)?
            .and_then(|kind| u8::try_from(kind).ok())
            .map(KindId))
    }

    fn cold(&self, from: &str, warm: &str, multiple: &str, after: &str) -> ReadResult<SlowStart> {
        Ok(SlowStart {
            initial_capacity: self.must(from)?,
            duration: self.span(warm)?,
            overload_factor: self.must(multiple)?,
            overload_window: self.span(after)?,
            shared_by: None,
        })
    }

    fn track(&self, i: usize) -> ReadResult<ClassSettings> {
        let own = |name: &str| format!("classes.{i}.{name}");
        let of_family = |name: &str| -> ReadResult<u64> {
            let all = self.list(&format!("family_info.{name}"))?;
            Ok(all.get(i).copied().unwrap_or(0))
        };
        let effect = match self.must::<String>(&own("semantics"))?.as_str() {
            "repeatable" => Effect::Idempotent,
            "once" => Effect::NonIdempotent,
            "by_key" => Effect::Keyed {
                group: match self.text(&own("group")).unwrap_or("") {
                    "all" => RepeatGroup::All,
                    "zone" => RepeatGroup::Zone,
                    _ => RepeatGroup::Cell,
                },
                window: self.span(&own("repeat_window_us"))?,
            },
            other => return Err(format!("unknown semantics {other:?} of class {i}").into()),
        };
        let fresh = of_family("max_age_us")?;
        Ok(ClassSettings {
            target: self.span(&own("on_time_us"))?,
            target_stretch: self.or(&own("aim_stretch"), 0.0)?,
            effect,
            fresh_for: (fresh > 0).then_some(TimeSpan(fresh)),
            stale_grace: TimeSpan(of_family("usable_after_us")?),
            is_write: self
                .list("family_info.never_kept")?
                .get(i)
                .copied()
                .unwrap_or(false),
        })
    }

    fn class_count(&self) -> ReadResult<usize> {
        let n: usize = self.must("classes.count")?;
        match n > usize::from(u16::MAX) {
            true => Err(format!("{n} classes are too many").into()),
            false => Ok(n),
        }
    }
}

/// What stands for a comma inside a name of a list: names come as the settings have them.
const COMMA: &str = "\u{1f}";

/// A value as the `path=value` form has it: whole numbers bare.
fn plain(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        Value::Number(number) => match number.as_f64() {
            Some(f) if f.fract() == 0.0 && f.abs() < 9e15 => format!("{f:.0}"),
            _ => number.to_string(),
        },
        other => other.to_string(),
    }
}

/// The terms, and what load reports hold.
pub fn read_dispatcher_settings(lines: &FlatSettings) -> ReadResult<(DispatcherSettings, Reports)> {
    let zone: u16 = lines.must("az")?;
    let cache_slow_start = lines.cold(
        "rules.start_capacity",
        "rules.cold_us",
        "rules.overload_factor",
        "rules.tip_after_us",
    )?;
    let parent_kind = lines.kind("family_info.second_tier_kind")?;
    let parent_slow_start = match parent_kind {
        None => cache_slow_start,
        Some(_) => lines.cold(
            "family_info.parent_starts_at",
            "family_info.parent_ramp_us",
            "family_info.upper_fall_multiple",
            "rules.tip_after_us",
        )?,
    };
    let links: Vec<f64> = lines.list("family_info.feed_kb_per_s")?;
    let retry_after = lines.or("ceilings.retry_after", false)?;
    let class_count = lines.class_count()?;
    let via = lines.one_of("report.via", &["piggyback", "pull", "silent"])?;
    let may_probe = lines.one_of("ceilings.may_probe", &["true", "false"])?;
    let probes_enabled = via == Some("pull") && may_probe == Some("true");
    let reported: Vec<String> = match probes_enabled || via == Some("piggyback") {
        true => lines.list("report.fields")?,
        false => Vec::new(),
    };
    if let Some(field) = reported
        .iter()
        .find(|field| !REPORTED.contains(&field.as_str()))
    {
        let list = REPORTED.join(", ");
        return Err(format!("setting report.fields has {field:?}; accepted are {list}").into());
    }
    let at = |name: &str| reported.iter().position(|reported| reported == name);
    let reports = Reports {
        busy_at: at("util"),
        link_full_at: at("x1"),
    };
    let terms = DispatcherSettings {
        zone: ZoneId(zone),
        dispatchers: lines.must("balancers")?,
        dispatchers_by_zone: lines.list("family_info.seats_by_zone")?,
        parent_kind,
        origin_kind: lines.kind("family_info.master_kind")?,
        classes: (0..class_count)
            .map(|i| lines.track(i))
            .collect::<ReadResult<_>>()?,
        stream_kb_per_s: lines.must("family_info.stream_kb_per_s")?,
        link_kb_per_s: links.get(usize::from(zone)).copied().filter(|&kb| kb > 0.0),
        link_load_reported: reports.link_full_at.is_some(),
        probes_enabled,
        capacities_reported: lines.one_of("weights", &WEIGHTS)? != Some("silent"),
        joins_fills: lines.or("family_info.joins", false)?,
        allows_direct: lines.or("family_info.straight", false)?,
        note_level: match lines.text("family_info.note_level") {
            Some("all") => NoteLevel::All,
            Some("hit") => NoteLevel::Hits,
            _ => NoteLevel::None,
        },
        max_attempts: lines.must("ceilings.max_attempts")?,
        may_cancel: lines.or("ceilings.cancel", false)?,
        max_retry_after: match retry_after {
            true => Some(lines.span("ceilings.max_retry_after_us")?),
            false => None,
        },
        host_list_on_request: lines.text("membership_mode") == Some("on_request"),
        cache_slow_start,
        parent_slow_start,
        purge_propagation: TimeSpan(lines.or("family_info.cleared_within_us", 0)?),
    };
    Ok((terms, reports))
}

pub fn read_socket_settings(lines: &FlatSettings) -> ReadResult<SocketSettings> {
    let classes = 0..lines.class_count()?;
    let names = classes.clone().map(|i| format!("classes.{i}.name"));
    let limits = classes.map(|i| lines.span(&format!("classes.{i}.hard_limit_us")));
    let limits = limits.collect::<ReadResult<Vec<_>>>()?;
    Ok(SocketSettings {
        class_names: names
            .map(|path| lines.must(&path))
            .collect::<ReadResult<_>>()?,
        zone_names: lines.list("failure_domains")?,
        kind_names: lines.list("machine_types")?,
        max_deadline: limits.into_iter().max().unwrap_or(TimeSpan::ZERO),
        dial_timeout: lines.span("ceilings.dial_timeout_us")?,
        idle_timeout: lines.span("ceilings.idle_close_us")?,
        max_streams: lines.must("ceilings.max_streams")?,
        max_open: lines.must("ceilings.max_open")?,
    })
}
