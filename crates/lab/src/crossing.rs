//! What the account, the budget and the watch of traffic between zones are worth, by what the links counted.

use crate::decide::baseline::Policy;
use crate::experiment;
use crate::model::{self, CROSSED_STEP, Crossed, Day};
use crate::scenario::{KINDS, Scenario};
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use trailproxy::units::*;
use trailproxy_standins::shape::DAWN;
use trailproxy_zones::decide::rise::Reason;

/// By how much more than rate and burst crossed in the worst span of this length, as a part of the rate's own KB.
///
/// `steps` are totals by [`CROSSED_STEP`]; a span that lies before `from` steps is left out.
pub fn overrun(steps: &[f64], from: usize, span: TimeSpan, kb_per_s: f64, burst_kb: f64) -> f64 {
    let n = (span.0 / CROSSED_STEP.0).max(1) as usize;
    let may = kb_per_s * span.as_secs_f64();
    let spans = (from + n..steps.len()).map(|end| steps[end] - steps[end - n]);
    let worst = spans.fold(0.0, f64::max);
    ((worst - burst_kb - may) / may).max(0.0)
}

/// The KB a second that crossed into a zone between two points of a day, on average.
pub fn rate(steps: &[f64], from: usize) -> f64 {
    let (Some(first), Some(last)) = (steps.get(from), steps.last()) else {
        return 0.0;
    };
    (last - first) / ((steps.len() - from - 1).max(1) as f64 * CROSSED_STEP.as_secs_f64())
}

/// How far the accounts of all dispatchers lie from what the link into a zone moved whole, summed over tracks.
pub fn account_error(crossed: &Crossed, zone: ZoneId) -> f64 {
    let whole = &crossed.whole[usize::from(zone.0)];
    let booked = |track: usize| {
        let key = (zone, ClassId(track as u16));
        crossed.booked.get(&key).copied().unwrap_or(0.0)
    };
    let apart: f64 = whole
        .iter()
        .enumerate()
        .map(|(track, kb)| (booked(track) - kb).abs())
        .sum();
    apart / whole.iter().sum::<f64>().max(1e-9)
}

/// What a day's rises were worth.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Told {
    /// Seconds from the strike to the first rise, and to the first that names the reason.
    pub first_s: Option<f64>,
    pub named_s: Option<f64>,
    /// Rises that began before the strike, or at all where there is none.
    pub false_alarms: usize,
}

/// Holds the rises of a day against the strike that should raise one.
pub fn told(crossed: &Crossed, strike: Option<Timestamp>, names: impl Fn(&Reason) -> bool) -> Told {
    let begun = || crossed.rises.iter().filter(|(_, _, rise)| rise.begins);
    let Some(strike) = strike else {
        return Told {
            false_alarms: begun().count(),
            ..Told::default()
        };
    };
    let after = || begun().filter(|(at, ..)| *at >= strike);
    let since = |at: Timestamp| at.since(strike).as_secs_f64();
    Told {
        first_s: after().map(|(at, ..)| since(*at)).next(),
        named_s: after()
            .filter(|(.., rise)| names(&rise.reason))
            .map(|(at, ..)| since(*at))
            .next(),
        false_alarms: begun().filter(|(at, ..)| *at < strike).count(),
    }
}

/// The place of a point in time among the steps.
pub fn step(at: Timestamp) -> usize {
    (at.since(DAWN).0 / CROSSED_STEP.0) as usize
}

/// A script with the top-level assignment of `name` replaced; an error where there is none.
pub fn with(script: &str, name: &str, value: &str) -> Result<String, String> {
    let mut found = false;
    let mut lines = Vec::new();
    for line in script.lines() {
        let assigns = line
            .strip_prefix(name)
            .is_some_and(|rest| rest.trim_start().starts_with('='));
        match assigns {
            true => lines.push(format!("{name} = {value}")),
            false => lines.push(line.to_owned()),
        }
        found |= assigns;
    }
    match found {
        true => Ok(lines.join("\n") + "\n"),
        false => Err(format!("no line assigns {name}")),
    }
}

/// One side of a comparison: a day with the budget or without.
#[derive(Clone, Debug, Serialize)]
pub struct DayOf {
    pub seed: u64,
    pub service: f64,
    pub service_by_track: BTreeMap<String, f64>,
    pub rejected: u64,
    pub crossed_kb: f64,
    pub overrun_1s: f64,
    pub overrun_10s: f64,
    pub account_error: f64,
    pub rule_breaches: u64,
    /// What crossed a second on average, as a part of the budget's rate.
    pub used: f64,
}

/// Reads a scenario's text, with assignments replaced.
pub fn scenario(file: &str, text: &str, changes: &[(&str, String)]) -> Result<Scenario, String> {
    let mut text = text.to_owned();
    for (name, value) in changes {
        text = with(&text, name, value)?;
    }
    let sheet = trailproxy_operator::read(file, text, KINDS, Default::default());
    let scenario = sheet.and_then(|sheet| Scenario::from_sheet(&sheet));
    scenario.map_err(|wrong| wrong.to_string())
}

/// The limit into a zone, whatever it comes from.
fn limit(scenario: &Scenario, zone: ZoneId) -> Option<(f64, f64)> {
    let rules = scenario.zones.as_ref()?;
    let whole = rules
        .limits
        .iter()
        .find(|limit| limit.to == zone && limit.from.is_none());
    whole.map(|limit| (limit.kb_per_s, limit.burst_kb))
}

/// What a played day was worth for the link into a zone, under a limit.
pub fn day_of(scenario: &Scenario, day: &Day, zone: ZoneId, limit: (f64, f64)) -> DayOf {
    let from = step(scenario.counted_from);
    let steps: Vec<f64> = day
        .crossed
        .steps
        .iter()
        .map(|read| read[usize::from(zone.0)])
        .collect();
    let (rate_kb, burst) = limit;
    DayOf {
        seed: day.summary.seed,
        service: day.summary.service,
        service_by_track: day.summary.service_by_track.clone(),
        rejected: day.summary.rejected,
        crossed_kb: day.crossed.moved[usize::from(zone.0)],
        overrun_1s: overrun(&steps, from, TimeSpan::from_secs(1), rate_kb, burst),
        overrun_10s: overrun(&steps, from, TimeSpan::from_secs(10), rate_kb, burst),
        account_error: account_error(&day.crossed, zone),
        rule_breaches: day.summary.rule_breaches,
        used: rate(&steps, from) / rate_kb,
    }
}

/// Paired days with the budget and without, in the model. The scenario's text assigns `BUDGET`.
pub fn paired(
    file: &str,
    text: &str,
    changes: &[(&str, String)],
    seed: u64,
    days: u64,
    mut each: impl FnMut(),
) -> Result<[Vec<DayOf>; 2], String> {
    let side = |budget: &str| {
        let mut changes = changes.to_vec();
        changes.push(("BUDGET", budget.into()));
        scenario(file, text, &changes)
    };
    let (on, off) = (side("True")?, side("False")?);
    let zone = on
        .zones
        .as_ref()
        .and_then(|rules| rules.limits.first())
        .map(|limit| limit.to);
    let zone = zone.ok_or("the scenario sets no budget")?;
    let held = limit(&on, zone).ok_or("the scenario sets no budget for a whole link")?;
    let mut play = |scenario: &Scenario| {
        let seeds = experiment::seeds(seed, days).collect();
        each_day(scenario, seeds, &mut each, |day| {
            day_of(scenario, &day, zone, held)
        })
    };
    Ok([play(&on), play(&off)])
}

/// What each of these days is worth, in their order, with a thread for each core: days share nothing.
fn each_day<T: Send>(
    scenario: &Scenario,
    seeds: Vec<u64>,
    mut each: impl FnMut(),
    of: impl Fn(Day) -> T + Sync,
) -> Vec<T> {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let next = AtomicUsize::new(0);
    let (told, done) = std::sync::mpsc::channel();
    let mut worth: Vec<Option<T>> = seeds.iter().map(|_| None).collect();
    std::thread::scope(|scope| {
        for _ in 0..threads.min(seeds.len()) {
            let (told, next, seeds, of) = (told.clone(), &next, &seeds, &of);
            scope.spawn(move || {
                while let Some(&seed) = seeds.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let at = seeds.iter().position(|known| *known == seed).unwrap_or(0);
                    let day = of(model::run(scenario, Policy::Design, seed));
                    if told.send((at, day)).is_err() {
                        return;
                    }
                }
            });
        }
        drop(told);
        for (at, day) in done {
            worth[at] = Some(day);
            each();
        }
    });
    worth.into_iter().flatten().collect()
}

/// What the watch is worth against one kind of strike.
#[derive(Clone, Debug, Serialize)]
pub struct Detected {
    pub trouble: String,
    pub days: u64,
    /// Days on which a rise was told, and on which its reason was named, within ten seconds.
    pub told: u64,
    pub named: u64,
    pub told_s_p50: f64,
    pub told_s_p95: f64,
    pub false_alarms: usize,
}

/// After so long a rise no longer speaks for the strike.
const COUNTS: f64 = 10.0;

/// Plays days of one kind of strike. The scenario's text assigns `TROUBLE`, and `STRIKE` in seconds.
pub fn detect(
    file: &str,
    text: &str,
    trouble: &str,
    strike_s: f64,
    seed: u64,
    days: u64,
    each: impl FnMut(),
) -> Result<Detected, String> {
    let scenario = scenario(file, text, &[("TROUBLE", format!("{trouble:?}"))])?;
    let strike = DAWN + TimeSpan::from_secs_f64(strike_s);
    let names = |reason: &Reason| {
        matches!(
            (trouble, reason),
            ("host", Reason::HostLost(_))
                | ("purge", Reason::Purge(_))
                | ("once", Reason::OnceOnly)
                | ("oversized", Reason::Oversized(_))
        )
    };
    let (mut seconds, mut named, mut alarms) = (Vec::new(), 0, 0);
    let seeds = experiment::seeds(seed, days).collect();
    for told in each_day(&scenario, seeds, each, |day| {
        told(&day.crossed, Some(strike), names)
    }) {
        seconds.extend(told.first_s.filter(|s| *s <= COUNTS));
        named += u64::from(told.named_s.is_some_and(|s| s <= COUNTS));
        alarms += told.false_alarms;
    }
    seconds.sort_by(f64::total_cmp);
    // A day on which nothing was told counts as told too late.
    let missed = days as usize - seconds.len();
    seconds.extend(std::iter::repeat_n(f64::INFINITY, missed));
    let quantile = |q: f64| {
        let nth = ((seconds.len() as f64 * q).ceil() as usize).clamp(1, seconds.len().max(1));
        seconds.get(nth - 1).copied().unwrap_or(f64::INFINITY)
    };
    Ok(Detected {
        trouble: trouble.into(),
        days,
        told: days - missed as u64,
        named,
        told_s_p50: quantile(0.5),
        told_s_p95: quantile(0.95),
        false_alarms: alarms,
    })
}

/// Rises told on calm days, of so many seconds each, by all dispatchers together.
pub fn false_alarms(
    file: &str,
    text: &str,
    seconds: u64,
    seed: u64,
    days: u64,
    each: impl FnMut(),
) -> Result<usize, String> {
    let changes = [
        ("TROUBLE", "\"none\"".to_owned()),
        ("SECONDS", seconds.to_string()),
    ];
    let scenario = scenario(file, text, &changes)?;
    let seeds = experiment::seeds(seed, days).collect();
    let calm = |day: Day| told(&day.crossed, None, |_| true).false_alarms;
    Ok(each_day(&scenario, seeds, each, calm).into_iter().sum())
}
