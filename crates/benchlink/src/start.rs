//! Reads the start settings, as `path=value` lines, into [`Terms`].

use crate::frame::{Malformed, Read1};
use std::collections::BTreeMap;
use std::str::FromStr;
use trailproxy::interface::*;
use trailproxy::units::*;

struct Lines<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Lines<'a> {
    fn text(&self, path: &str) -> Option<&'a str> {
        self.0.get(path).copied()
    }

    fn maybe<T: FromStr>(&self, path: &str) -> Read1<Option<T>> {
        let parse = |text: &str| {
            text.parse()
                .map_err(|_| Malformed(format!("setting {path} can't be read: {text:?}")))
        };
        self.text(path)
            .filter(|text| !text.is_empty())
            .map(parse)
            .transpose()
    }

    fn must<T: FromStr>(&self, path: &str) -> Read1<T> {
        self.maybe(path)?
            .ok_or_else(|| Malformed(format!("setting {path} is missing")))
    }

    fn or<T: FromStr>(&self, path: &str, absent: T) -> Read1<T> {
        Ok(self.maybe(path)?.unwrap_or(absent))
    }

    fn span(&self, path: &str) -> Read1<Span> {
        Ok(Span(self.must(path)?))
    }

    fn list<T: FromStr>(&self, path: &str) -> Read1<Vec<T>> {
        let bad = || Malformed(format!("setting {path} has an unreadable entry"));
        let text = self.text(path).unwrap_or("");
        let entries = text.split(',').filter(|entry| !entry.is_empty());
        entries
            .map(|entry| entry.parse().map_err(|_| bad()))
            .collect()
    }

    fn kind(&self, path: &str) -> Read1<Option<KindId>> {
        Ok(self
            .maybe::<i64>(path)?
            .and_then(|kind| u8::try_from(kind).ok())
            .map(KindId))
    }

    fn cold(&self, from: &str, warm: &str, multiple: &str, after: &str) -> Read1<Cold> {
        Ok(Cold {
            from: self.must(from)?,
            warm_after: self.span(warm)?,
            fall_multiple: self.must(multiple)?,
            fall_after: self.span(after)?,
        })
    }

    fn track(&self, i: usize) -> Read1<Track> {
        let own = |name: &str| format!("classes.{i}.{name}");
        let of_family = |name: &str| -> Read1<u64> {
            let all = self.list(&format!("family_info.{name}"))?;
            Ok(all.get(i).copied().unwrap_or(0))
        };
        let effect = match self.must::<String>(&own("semantics"))?.as_str() {
            "repeatable" => Effect::Retriable,
            "once" => Effect::Binding,
            "by_key" => Effect::Fingerprinted {
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
        Ok(Track {
            due: self.span(&own("on_time_us"))?,
            due_stretch: self.or(&own("aim_stretch"), 0.0)?,
            effect,
            fresh: (fresh > 0).then_some(Span(fresh)),
            grace: Span(of_family("usable_after_us")?),
            written: self
                .list("family_info.never_kept")?
                .get(i)
                .copied()
                .unwrap_or(false),
        })
    }
}

/// The terms, and the place in a load report of how full a link is.
pub fn read_terms(options: &str) -> Read1<(Terms, Option<usize>)> {
    let lines = Lines(
        options
            .lines()
            .filter_map(|line| line.split_once('='))
            .collect(),
    );
    let zone: u16 = lines.must("az")?;
    let cold_cache = lines.cold(
        "rules.start_capacity",
        "rules.cold_us",
        "rules.overload_factor",
        "rules.tip_after_us",
    )?;
    let parent_kind = lines.kind("family_info.second_tier_kind")?;
    let cold_parent = match parent_kind {
        None => cold_cache,
        Some(_) => lines.cold(
            "family_info.parent_starts_at",
            "family_info.parent_ramp_us",
            "family_info.upper_fall_multiple",
            "rules.tip_after_us",
        )?,
    };
    let links: Vec<f64> = lines.list("family_info.feed_kb_per_s")?;
    let retry_after = lines.or("ceilings.retry_after", false)?;
    let class_count: usize = lines.must("classes.count")?;
    if class_count > usize::from(u16::MAX) {
        return Err(format!("{class_count} classes are too many").into());
    }
    let reported: Vec<String> = match lines.text("report.via") {
        Some("piggyback") => lines.list("report.fields")?,
        _ => Vec::new(),
    };
    let link_full_at = reported.iter().position(|name| name == "x1");
    let terms = Terms {
        zone: ZoneId(zone),
        dispatchers: lines.must("balancers")?,
        seats: lines.list("family_info.seats_by_zone")?,
        parent_kind,
        origin_kind: lines.kind("family_info.master_kind")?,
        tracks: (0..class_count)
            .map(|i| lines.track(i))
            .collect::<Read1<_>>()?,
        flow_kb_per_s: lines.must("family_info.stream_kb_per_s")?,
        link_kb_per_s: links.get(usize::from(zone)).copied().filter(|&kb| kb > 0.0),
        link_told: link_full_at.is_some(),
        sizes_tell: !matches!(lines.text("weights"), Some("silent")),
        joins: lines.or("family_info.joins", false)?,
        straight: lines.or("family_info.straight", false)?,
        notes: match lines.text("family_info.note_level") {
            Some("all") => NoteLevel::All,
            Some("hit") => NoteLevel::Hits,
            _ => NoteLevel::None,
        },
        max_hand_offs: lines.must("ceilings.max_attempts")?,
        may_withdraw: lines.or("ceilings.cancel", false)?,
        longest_away: match retry_after {
            true => Some(lines.span("ceilings.max_retry_after_us")?),
            false => None,
        },
        list_on_request: lines.text("membership_mode") == Some("on_request"),
        cold_cache,
        cold_parent,
        purge_done: Span(lines.or("family_info.cleared_within_us", 0)?),
    };
    Ok((terms, link_full_at))
}
