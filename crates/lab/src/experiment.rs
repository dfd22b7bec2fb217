//! Several days of one thing, and two things on the same days: means with error bars.

use crate::decide::baseline::Policy;
use crate::decide::hunt::{Hunt, Score, Strike, Targets};
use crate::model::{self, Day};
use crate::scenario::{self, Scenario};
use crate::tally::Summary;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Serialize;
use statrs::distribution::{ContinuousCDF, StudentsT};
use std::collections::BTreeMap;
use trailproxy_operator::ConfigError;

/// A mean and the 95% interval that it lies in, by Student's t over days.
#[derive(Clone, Copy, Debug, Serialize, PartialEq)]
pub struct Estimate {
    pub mean: f64,
    pub low: f64,
    pub high: f64,
    pub days: usize,
}

/// One day alone tells nothing of its spread: its interval is a point.
///
/// ```
/// use trailproxy_lab::experiment::estimate;
/// let one = estimate(&[0.5]);
/// assert_eq!((one.low, one.high), (0.5, 0.5));
/// let some = estimate(&[0.4, 0.5, 0.6]);
/// assert!((some.mean - 0.5).abs() < 1e-9 && (some.high - 0.5 - 0.2484).abs() < 1e-3);
/// ```
pub fn estimate(values: &[f64]) -> Estimate {
    let n = values.len();
    let mean = values.iter().sum::<f64>() / n.max(1) as f64;
    let half = match n {
        0 | 1 => 0.0,
        _ => {
            let squares: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
            let error = (squares / (n - 1) as f64 / n as f64).sqrt();
            let t = StudentsT::new(0.0, 1.0, (n - 1) as f64);
            error * t.map_or(f64::INFINITY, |t| t.inverse_cdf(0.975))
        }
    };
    Estimate {
        mean,
        low: mean - half,
        high: mean + half,
        days: n,
    }
}

/// A difference on paired days: real only where the interval leaves zero out.
#[derive(Clone, Debug, Serialize)]
pub struct Difference {
    pub figure: String,
    pub a: Estimate,
    pub b: Estimate,
    pub b_less_a: Estimate,
    pub verdict: String,
}

/// Judges values of one figure on the same days.
pub fn difference(figure: &str, a: &[f64], b: &[f64]) -> Difference {
    let apart: Vec<f64> = a.iter().zip(b).map(|(a, b)| b - a).collect();
    let b_less_a = estimate(&apart);
    let verdict = match (apart.len() > 1, b_less_a.low > 0.0, b_less_a.high < 0.0) {
        (false, ..) => "one day tells no difference",
        (_, true, _) => "higher",
        (_, _, true) => "lower",
        _ => "no difference",
    };
    let verdict = verdict.to_owned();
    Difference {
        figure: figure.into(),
        a: estimate(a),
        b: estimate(b),
        b_less_a,
        verdict,
    }
}

/// The seeds of an experiment's days: the first is the seed itself, so that a single day repeats exactly.
pub fn seeds(seed: u64, days: u64) -> impl Iterator<Item = u64> {
    (0..days).map(move |day| seed.wrapping_add(day))
}

/// Several days in the model, one after another.
pub fn days(
    scenario: &Scenario,
    policy: Policy,
    seed: u64,
    days: u64,
    mut each: impl FnMut(&Day),
) -> Vec<Day> {
    let play = |seed| {
        let day = model::run(scenario, policy, seed);
        each(&day);
        day
    };
    seeds(seed, days).map(play).collect()
}

/// One summary of several: sums of counts, the service with its interval, the worst of what is worst.
pub fn together(summaries: &[Summary]) -> Option<Summary> {
    let mut sum = summaries.first()?.clone();
    let services: Vec<f64> = summaries.iter().map(|day| day.service).collect();
    let service = estimate(&services);
    (sum.service, sum.service_ci95) = (service.mean, [service.low, service.high]);
    sum.days = summaries.len() as u64;
    for day in &summaries[1..] {
        sum.accesses += day.accesses;
        sum.done += day.done;
        sum.rejected += day.rejected;
        sum.aborted += day.aborted;
        sum.lost += day.lost;
        sum.hand_offs += day.hand_offs;
        sum.hosts_fell += day.hosts_fell;
        sum.breakers_opened += day.breakers_opened;
        sum.rule_breaches += day.rule_breaches;
        sum.bytes_origin += day.bytes_origin;
        sum.bytes_hub += day.bytes_hub;
        sum.bytes_hit += day.bytes_hit;
        sum.rules_broken.extend(day.rules_broken.iter().cloned());
        sum.origin_peak_kb_per_s = sum.origin_peak_kb_per_s.max(day.origin_peak_kb_per_s);
        for (cause, n) in &day.rejected_by_cause {
            *sum.rejected_by_cause.entry(cause.clone()).or_default() += n;
        }
    }
    sum.rules_broken.truncate(100);
    let mean =
        |of: fn(&Summary) -> f64| summaries.iter().map(of).sum::<f64>() / summaries.len() as f64;
    sum.latency_ms.p50 = mean(|day| day.latency_ms.p50);
    sum.latency_ms.p99 = mean(|day| day.latency_ms.p99);
    sum.latency_ms.p999 = mean(|day| day.latency_ms.p999);
    let opened: Vec<f64> = summaries
        .iter()
        .filter_map(|day| day.first_open_s)
        .collect();
    sum.first_open_s = (!opened.is_empty()).then(|| estimate(&opened).mean);
    let tracks: BTreeMap<String, f64> = sum.service_by_track.clone();
    for track in tracks.keys() {
        let all: f64 = summaries
            .iter()
            .filter_map(|day| day.service_by_track.get(track))
            .sum();
        sum.service_by_track
            .insert(track.clone(), all / summaries.len() as f64);
    }
    Some(sum)
}

/// The figures that two policies or two scenarios are compared by.
pub fn compare(a: &[Summary], b: &[Summary]) -> Vec<Difference> {
    type Figure = (&'static str, fn(&Summary) -> f64);
    let figures: [Figure; 8] = [
        ("service", |day| day.service),
        ("done", |day| day.done as f64),
        ("rejected", |day| day.rejected as f64),
        ("aborted", |day| day.aborted as f64),
        ("latency_ms p99", |day| day.latency_ms.p99),
        ("bytes_origin", |day| day.bytes_origin),
        ("bytes_hub", |day| day.bytes_hub),
        ("origin_peak_kb_per_s", |day| day.origin_peak_kb_per_s),
    ];
    let values =
        |days: &[Summary], of: fn(&Summary) -> f64| days.iter().map(of).collect::<Vec<_>>();
    figures
        .iter()
        .map(|&(name, of)| difference(name, &values(a, of), &values(b, of)))
        .collect()
}

/// The model held against loopback runs of the same days.
#[derive(Clone, Debug, Serialize)]
pub struct Validation {
    pub scenario: String,
    pub days: usize,
    pub model: Estimate,
    pub loopback: Estimate,
    pub apart: Estimate,
    /// What the model says of its own error: the spread of one day, as it predicts it from day to day, and a floor
    /// for what both worlds leave to chance.
    pub stated_error: f64,
    pub agree: bool,
    pub verdict: String,
    pub summaries: Vec<(Summary, Summary)>,
}

/// Below this, the two worlds differ by the way of the clock alone.
const FLOOR: f64 = 0.01;

/// Compares service day by day. The worlds agree where the mean difference lies within the model's stated error.
pub fn validate(pairs: &[(Summary, Summary)]) -> Validation {
    let services = |of: fn(&(Summary, Summary)) -> &Summary| {
        pairs.iter().map(|p| of(p).service).collect::<Vec<f64>>()
    };
    let (model, real) = (services(|pair| &pair.0), services(|pair| &pair.1));
    let apart: Vec<f64> = model
        .iter()
        .zip(&real)
        .map(|(model, real)| real - model)
        .collect();
    let (model, loopback, apart) = (estimate(&model), estimate(&real), estimate(&apart));
    let stated_error = FLOOR + (model.high - model.low) / 2.0;
    let agree = apart.mean.abs() <= stated_error;
    let verdict = format!(
        "{}: loopback less model {:+.4} ({:+.4} to {:+.4}), stated error {stated_error:.4}",
        if agree { "agree" } else { "apart" },
        apart.mean,
        apart.low,
        apart.high
    );
    let scenario = pairs
        .first()
        .map_or(String::new(), |pair| pair.0.scenario.clone());
    let (days, summaries) = (pairs.len(), pairs.to_vec());
    Validation {
        scenario,
        days,
        model,
        loopback,
        apart,
        stated_error,
        agree,
        verdict,
        summaries,
    }
}

/// A day that was found, as a scenario's text.
pub struct Found {
    pub text: String,
    pub strikes: usize,
    pub design: Summary,
    pub oracle: Summary,
}

/// What a scenario's day may be struck by.
fn targets(scenario: &Scenario) -> Targets {
    use trailproxy_standins::shape::Role;
    let names = |role: Role| {
        let hosts = scenario
            .shape
            .hosts
            .iter()
            .filter(move |host| host.role == role);
        let mut names: Vec<String> = hosts.map(|host| host.name.clone()).collect();
        // The whole set is a target as each of its hosts is.
        let sets: Vec<String> = names
            .iter()
            .filter_map(|name| Some(name.rsplit_once('/')?.0.to_owned()))
            .collect();
        names.extend(sets);
        names.dedup();
        names
    };
    let linked = scenario
        .shape
        .zones
        .iter()
        .filter(|zone| zone.link_kb_per_s > 0.0);
    Targets {
        caches: names(Role::Cache),
        parents: names(Role::Parent),
        origin: names(Role::Origin).first().cloned(),
        zones: linked.map(|zone| zone.name.clone()).collect(),
        length: (scenario.length.as_secs_f64() * 10.0) as u32,
    }
}

/// Looks for the day on which the design loses most against the oracle. `base` is a scenario's text, to which troubles
/// are added.
pub fn hunt(
    file: &str,
    base: &str,
    days: usize,
    seed: u64,
    mut each: impl FnMut(f64),
) -> Result<Option<Found>, Box<ConfigError>> {
    let read = |strikes: &[Strike]| {
        let lines: String = strikes.iter().map(|strike| format!("{strike}\n")).collect();
        let text = format!("{base}\n# Found by a search.\n{lines}");
        let sheet =
            trailproxy_operator::read(file, text.clone(), scenario::KINDS, Default::default())?;
        Ok::<_, Box<ConfigError>>((text, Scenario::from_sheet(&sheet)?))
    };
    let (_, plain) = read(&[])?;
    let mut hunt = Hunt::new(targets(&plain), days, StdRng::seed_from_u64(seed));
    while let Some(strikes) = hunt.to_try() {
        let (_, scenario) = read(&strikes)?;
        let design = model::run(&scenario, Policy::Design, seed).summary;
        let oracle = model::run(&scenario, Policy::Oracle, seed).summary;
        let (loss, rules_broken) = (oracle.service - design.service, design.rule_breaches > 0);
        each(loss);
        hunt.tried(Score { loss, rules_broken });
    }
    let Some(strikes) = hunt.found() else {
        return Ok(None);
    };
    let (text, scenario) = read(&strikes)?;
    let design = model::run(&scenario, Policy::Design, seed).summary;
    let oracle = model::run(&scenario, Policy::Oracle, seed).summary;
    Ok(Some(Found {
        text,
        strikes: strikes.len(),
        design,
        oracle,
    }))
}
