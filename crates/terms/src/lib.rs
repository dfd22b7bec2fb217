//! Reads the start settings into [`DispatcherSettings`], from `path=value` lines or from nested JSON.

use serde_json::Value;
use std::collections::BTreeMap;
use std::str::FromStr;
use trailproxy::interface::*;
use trailproxy::units::*;

/// An error in the settings, as a message that names the setting and the accepted values.
#[derive(Debug, PartialEq, Eq)]
pub struct SettingsError(pub String);

impl<T: Into<String>> From<T> for SettingsError {
    fn from(text: T) -> SettingsError {
        SettingsError(text.into())
    }
}

type ReadResult<T> = Result<T, SettingsError>;

/// The settings that the socket layer needs besides [`DispatcherSettings`].
#[derive(Clone, Debug, PartialEq)]
pub struct SocketSettings {
    /// Names of the classes, by class number.
    pub class_names: Vec<String>,
    /// Names of the zones, by zone number.
    pub zone_names: Vec<String>,
    /// Names of the host kinds, by kind number.
    pub kind_names: Vec<String>,
    /// The longest deadline of all classes.
    pub max_deadline: TimeSpan,
    /// Time within which a connection must be established.
    pub dial_timeout: TimeSpan,
    /// Time after which an idle connection is closed.
    pub idle_timeout: TimeSpan,
    /// Most concurrent requests on one connection.
    pub max_streams: usize,
    /// Most requests that may be pending at once.
    pub max_open: usize,
}

/// The fields that load reports may hold; the dispatcher reads `util` (utilization) and `x1` (link utilization).
const REPORT_FIELDS: [&str; 8] = [
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

/// The positions in a load report of the values that the dispatcher reads.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    utilization_index: Option<usize>,
    link_utilization_index: Option<usize>,
}

impl Reports {
    /// Reads a load report; a value that is missing or negative is not reported.
    pub fn load(&self, values: &[f64]) -> Load {
        let value_at =
            |index: Option<usize>| values.get(index?).copied().filter(|value| *value >= 0.0);
        Load {
            utilization: value_at(self.utilization_index),
            link_utilization: value_at(self.link_utilization_index),
        }
    }
}

/// Start settings by path; a value is a plain value or several, joined with commas.
pub struct FlatSettings(BTreeMap<String, String>);

impl FlatSettings {
    /// Reads lines of the form `path=value`; other lines are ignored.
    pub fn from_text(options: &str) -> FlatSettings {
        let pairs = options.lines().filter_map(|line| line.split_once('='));
        FlatSettings(
            pairs
                .map(|(path, text)| (path.into(), text.into()))
                .collect(),
        )
    }

    /// Makes the same paths from nested JSON: a list of objects gives `count` and its items by index.
    pub fn from_json(settings: &Value) -> FlatSettings {
        let mut flat = FlatSettings(BTreeMap::new());
        flat.flatten(String::new(), settings);
        flat
    }

    fn flatten(&mut self, path: String, value: &Value) {
        let child_path = |name: &str| match path.as_str() {
            "" => name.to_owned(),
            path => format!("{path}.{name}"),
        };
        match value {
            Value::Object(fields) => {
                for (name, value) in fields {
                    self.flatten(child_path(name), value);
                }
            }
            Value::Array(items) if items.iter().any(Value::is_object) => {
                self.0.insert(child_path("count"), items.len().to_string());
                for (i, item) in items.iter().enumerate() {
                    self.flatten(child_path(&i.to_string()), item);
                }
            }
            Value::Array(items) => {
                let escape = |item| plain(item).replace(',', ESCAPED_COMMA);
                let items: Vec<_> = items.iter().map(escape).collect();
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

    /// The value of a setting; `None` if it is missing or empty.
    fn optional<T: FromStr>(&self, path: &str) -> ReadResult<Option<T>> {
        let parse = |text: &str| {
            text.parse()
                .map_err(|_| SettingsError(format!("setting {path} can't be read: {text:?}")))
        };
        self.text(path)
            .filter(|text| !text.is_empty())
            .map(parse)
            .transpose()
    }

    /// The value of a setting that must be given.
    fn required<T: FromStr>(&self, path: &str) -> ReadResult<T> {
        self.optional(path)?
            .ok_or_else(|| SettingsError(format!("setting {path} is missing")))
    }

    /// The value of a setting, or `default`.
    fn value_or<T: FromStr>(&self, path: &str, default: T) -> ReadResult<T> {
        Ok(self.optional(path)?.unwrap_or(default))
    }

    /// One of the accepted words; `None` if the setting is missing or empty.
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

    /// A time span, given in microseconds.
    fn span(&self, path: &str) -> ReadResult<TimeSpan> {
        Ok(TimeSpan(self.required(path)?))
    }

    /// The items of a list; empty if the setting is missing.
    fn list<T: FromStr>(&self, path: &str) -> ReadResult<Vec<T>> {
        let error = || SettingsError(format!("setting {path} has an unreadable entry"));
        let text = self.text(path).unwrap_or("");
        let entries = text.split(',').filter(|entry| !entry.is_empty());
        entries
            .map(|entry| {
                entry
                    .replace(ESCAPED_COMMA, ",")
                    .parse()
                    .map_err(|_| error())
            })
            .collect()
    }

    /// A host kind; `None` if it is missing or not from 0 to 255.
    fn kind(&self, path: &str) -> ReadResult<Option<KindId>> {
        Ok(self
            .optional::<i64>(path)?
            .and_then(|kind| u8::try_from(kind).ok())
            .map(KindId))
    }

    /// The slow-start settings at these four paths.
    fn slow_start(
        &self,
        initial_capacity: &str,
        duration: &str,
        overload_factor: &str,
        overload_window: &str,
    ) -> ReadResult<SlowStart> {
        Ok(SlowStart {
            initial_capacity: self.required(initial_capacity)?,
            duration: self.span(duration)?,
            overload_factor: self.required(overload_factor)?,
            overload_window: self.span(overload_window)?,
            shared_by: None,
        })
    }

    /// The settings of one class.
    fn class(&self, i: usize) -> ReadResult<ClassSettings> {
        let class_path = |name: &str| format!("classes.{i}.{name}");
        let family_value = |name: &str| -> ReadResult<u64> {
            let all = self.list(&format!("family_info.{name}"))?;
            Ok(all.get(i).copied().unwrap_or(0))
        };
        let effect = match self.required::<String>(&class_path("semantics"))?.as_str() {
            "repeatable" => Effect::Idempotent,
            "once" => Effect::NonIdempotent,
            "by_key" => Effect::Keyed {
                group: match self.text(&class_path("group")).unwrap_or("") {
                    "all" => RepeatGroup::All,
                    "zone" => RepeatGroup::Zone,
                    _ => RepeatGroup::Cell,
                },
                window: self.span(&class_path("repeat_window_us"))?,
            },
            other => return Err(format!("unknown semantics {other:?} of class {i}").into()),
        };
        let fresh_us = family_value("max_age_us")?;
        Ok(ClassSettings {
            target: self.span(&class_path("on_time_us"))?,
            target_stretch: self.value_or(&class_path("aim_stretch"), 0.0)?,
            effect,
            fresh_for: (fresh_us > 0).then_some(TimeSpan(fresh_us)),
            stale_grace: TimeSpan(family_value("usable_after_us")?),
            is_write: self
                .list("family_info.never_kept")?
                .get(i)
                .copied()
                .unwrap_or(false),
        })
    }

    fn class_count(&self) -> ReadResult<usize> {
        let n: usize = self.required("classes.count")?;
        match n > usize::from(u16::MAX) {
            true => Err(format!("{n} classes are too many").into()),
            false => Ok(n),
        }
    }
}

/// Replaces a comma inside an item of a list, so that names are read exactly as the settings have them.
const ESCAPED_COMMA: &str = "\u{1f}";

/// Formats a value as the `path=value` form has it: whole numbers without a fraction.
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

/// Reads the settings of the dispatcher and the layout of load reports.
pub fn read_dispatcher_settings(
    settings: &FlatSettings,
) -> ReadResult<(DispatcherSettings, Reports)> {
    let zone: u16 = settings.required("az")?;
    let cache_slow_start = settings.slow_start(
        "rules.start_capacity",
        "rules.cold_us",
        "rules.overload_factor",
        "rules.tip_after_us",
    )?;
    let parent_kind = settings.kind("family_info.second_tier_kind")?;
    let parent_slow_start = match parent_kind {
        None => cache_slow_start,
        Some(_) => settings.slow_start(
            "family_info.parent_starts_at",
            "family_info.parent_ramp_us",
            "family_info.upper_fall_multiple",
            "rules.tip_after_us",
        )?,
    };
    let links: Vec<f64> = settings.list("family_info.feed_kb_per_s")?;
    let retry_after = settings.value_or("ceilings.retry_after", false)?;
    let class_count = settings.class_count()?;
    let via = settings.one_of("report.via", &["piggyback", "pull", "silent"])?;
    let may_probe = settings.one_of("ceilings.may_probe", &["true", "false"])?;
    let probes_enabled = via == Some("pull") && may_probe == Some("true");
    let reported: Vec<String> = match probes_enabled || via == Some("piggyback") {
        true => settings.list("report.fields")?,
        false => Vec::new(),
    };
    if let Some(field) = reported
        .iter()
        .find(|field| !REPORT_FIELDS.contains(&field.as_str()))
    {
        let list = REPORT_FIELDS.join(", ");
        return Err(format!("setting report.fields has {field:?}; accepted are {list}").into());
    }
    let index_of = |name: &str| reported.iter().position(|reported| reported == name);
    let reports = Reports {
        utilization_index: index_of("util"),
        link_utilization_index: index_of("x1"),
    };
    let dispatcher_settings = DispatcherSettings {
        zone: ZoneId(zone),
        dispatchers: settings.required("balancers")?,
        dispatchers_by_zone: settings.list("family_info.seats_by_zone")?,
        parent_kind,
        origin_kind: settings.kind("family_info.master_kind")?,
        classes: (0..class_count)
            .map(|i| settings.class(i))
            .collect::<ReadResult<_>>()?,
        stream_kb_per_s: settings.required("family_info.stream_kb_per_s")?,
        link_kb_per_s: links.get(usize::from(zone)).copied().filter(|&kb| kb > 0.0),
        link_load_reported: reports.link_utilization_index.is_some(),
        probes_enabled,
        capacities_reported: settings.one_of("weights", &WEIGHTS)? != Some("silent"),
        joins_fills: settings.value_or("family_info.joins", false)?,
        allows_direct: settings.value_or("family_info.straight", false)?,
        note_level: match settings.text("family_info.note_level") {
            Some("all") => NoteLevel::All,
            Some("hit") => NoteLevel::Hits,
            _ => NoteLevel::None,
        },
        max_attempts: settings.required("ceilings.max_attempts")?,
        may_cancel: settings.value_or("ceilings.cancel", false)?,
        max_retry_after: match retry_after {
            true => Some(settings.span("ceilings.max_retry_after_us")?),
            false => None,
        },
        host_list_on_request: settings.text("membership_mode") == Some("on_request"),
        cache_slow_start,
        parent_slow_start,
        purge_propagation: TimeSpan(settings.value_or("family_info.cleared_within_us", 0)?),
    };
    Ok((dispatcher_settings, reports))
}

/// Reads the settings of the socket layer.
pub fn read_socket_settings(settings: &FlatSettings) -> ReadResult<SocketSettings> {
    let classes = 0..settings.class_count()?;
    let names = classes.clone().map(|i| format!("classes.{i}.name"));
    let deadlines = classes.map(|i| settings.span(&format!("classes.{i}.hard_limit_us")));
    let deadlines = deadlines.collect::<ReadResult<Vec<_>>>()?;
    Ok(SocketSettings {
        class_names: names
            .map(|path| settings.required(&path))
            .collect::<ReadResult<_>>()?,
        zone_names: settings.list("failure_domains")?,
        kind_names: settings.list("machine_types")?,
        max_deadline: deadlines.into_iter().max().unwrap_or(TimeSpan::ZERO),
        dial_timeout: settings.span("ceilings.dial_timeout_us")?,
        idle_timeout: settings.span("ceilings.idle_close_us")?,
        max_streams: settings.required("ceilings.max_streams")?,
        max_open: settings.required("ceilings.max_open")?,
    })
}
