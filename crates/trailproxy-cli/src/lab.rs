//! `trailproxy lab`: days in the model and on loopback, compared, hunted and held against each other.

use crate::ExitStatus;
use crate::out;
use clap::{Args, Subcommand};
use serde_json::json;
use std::path::PathBuf;
use trailproxy_lab::bench::{self, Promise};
use trailproxy_lab::decide::baseline::Policy;
use trailproxy_lab::experiment;
use trailproxy_lab::loopback::{self, Place};
use trailproxy_lab::model::{self, Day};
use trailproxy_lab::report;
use trailproxy_lab::scenario::Scenario;
use trailproxy_lab::tally::Summary;
use trailproxy_operator::decide::{DefaultValue, FieldType, SectionKind, optional};
use trailproxy_operator::{ParsedFile, read_file};

/// What the laboratory does where the command line does not say.
pub const KIND: SectionKind = SectionKind {
    name: "lab",
    max_count: 1,
    required: false,
    fields: &[
        optional("days", FieldType::Whole(1, 10_000), DefaultValue::Whole(1)),
        optional(
            "seed",
            FieldType::Whole(0, i64::MAX),
            DefaultValue::Whole(1),
        ),
    ],
};

#[derive(Subcommand)]
pub enum Task {
    /// Play a scenario in virtual time.
    Model {
        scenario: String,
        /// Who decides: design, random, hash, no-ramp, least-out or oracle.
        #[arg(long, default_value = "design", value_parser = policy)]
        policy: Policy,
        #[command(flatten)]
        how: How,
    },
    /// Play a scenario on loopback: stand-ins of all servers around real dispatchers.
    Loopback {
        scenario: String,
        /// The dispatcher's program; by default the one beside this one.
        #[arg(long)]
        daemon: Option<String>,
        #[command(flatten)]
        how: How,
    },
    /// Hold the model's prediction against loopback runs of the same days.
    Validate {
        scenario: String,
        #[arg(long)]
        daemon: Option<String>,
        #[command(flatten)]
        how: How,
    },
    /// Look for the day on which the design loses most against one who sees the true state, or breaks a rule.
    Hunt {
        /// What the days are built on; troubles are added to it.
        scenario: String,
        /// How many days are played at most.
        #[arg(long, default_value_t = 200)]
        tries: usize,
        #[command(flatten)]
        how: How,
    },
    /// Find the highest rate that one dispatcher on one core sustains, beside a bare relay in the same run.
    Bench {
        /// The 99th percentile that must hold, in milliseconds.
        #[arg(long, default_value_t = 20.0)]
        p99_ms: f64,
        /// How long each rate is tried, in seconds.
        #[arg(long, default_value_t = 3.0)]
        seconds: f64,
        #[arg(long)]
        daemon: Option<String>,
        #[command(flatten)]
        how: How,
    },
    /// Compare two scenarios, or two policies on one scenario, on the same days.
    Compare {
        /// A scenario's file, or with --on a policy.
        a: String,
        b: String,
        /// The scenario on which two policies are compared.
        #[arg(long)]
        on: Option<String>,
        #[command(flatten)]
        how: How,
    },
}

#[derive(Args)]
pub struct How {
    /// The seed of the first day; the next days have the next numbers.
    #[arg(long)]
    seed: Option<u64>,
    /// How many days.
    #[arg(long)]
    days: Option<u64>,
    /// Folder for summary.json and report.html.
    #[arg(long)]
    out: Option<String>,
    /// An operator's file whose section `lab` says what the command line leaves open.
    #[arg(long)]
    file: Option<String>,
    /// Log lines as JSON, on standard error.
    #[arg(long)]
    json: bool,
}

fn policy(name: &str) -> Result<Policy, String> {
    let names: Vec<_> = Policy::ALL.iter().map(|known| known.0).collect();
    Policy::by_name(name).ok_or_else(|| format!("accepted: {}", names.join(", ")))
}

/// What holds once command line, file and defaults are put together.
pub struct Plan {
    pub seed: u64,
    pub days: u64,
    pub out: Option<String>,
    log: slog::Logger,
}

impl How {
    pub fn plan(&self) -> Result<Plan, String> {
        let file = self
            .file
            .as_ref()
            .map(|file| read_file(file, &[KIND]))
            .transpose();
        let file = file.map_err(|wrong| wrong.to_string())?;
        let told = |field: &str| {
            Some(
                file.as_ref()
                    .and_then(|sheet: &ParsedFile| sheet.one("lab"))?
                    .whole(field) as u64,
            )
        };
        Ok(Plan {
            seed: self.seed.or(told("seed")).unwrap_or(1),
            days: self.days.or(told("days")).unwrap_or(1).max(1),
            out: self.out.clone(),
            log: logger(self.json),
        })
    }
}

fn logger(json: bool) -> slog::Logger {
    use slog::Drain;
    if !json {
        return slog::Logger::root(slog::Discard, slog::o!());
    }
    let drain = slog_json::Json::default(std::io::stderr()).map(slog::Fuse);
    slog::Logger::root(std::sync::Mutex::new(drain).map(slog::Fuse), slog::o!())
}

pub fn run(task: Task) -> ExitStatus {
    let done = match task {
        Task::Model {
            scenario,
            policy,
            how,
        } => in_model(&scenario, policy, &how),
        Task::Loopback {
            scenario,
            daemon,
            how,
        } => loopback(&scenario, daemon, &how),
        Task::Validate {
            scenario,
            daemon,
            how,
        } => validate(&scenario, daemon, &how),
        Task::Hunt {
            scenario,
            tries,
            how,
        } => hunt(&scenario, tries, &how),
        Task::Bench {
            p99_ms,
            seconds,
            daemon,
            how,
        } => bench(p99_ms, seconds, daemon, &how),
        Task::Compare { a, b, on, how } => compare(&a, &b, on.as_deref(), &how),
    };
    done.unwrap_or_else(ExitStatus::InvalidInput)
}

fn load(path: &str) -> Result<Scenario, String> {
    Scenario::load(path).map_err(|wrong| wrong.to_string())
}

/// The end that a run's rules call for; what was broken is told on standard error.
pub fn judged(summaries: &[&Summary]) -> ExitStatus {
    let broken: Vec<&String> = summaries
        .iter()
        .flat_map(|summary| &summary.rules_broken)
        .collect();
    broken
        .iter()
        .take(20)
        .for_each(|breach| eprintln!("trailproxy: {breach}"));
    if broken.is_empty() {
        ExitStatus::Success
    } else {
        ExitStatus::CheckFailed
    }
}

fn in_model(path: &str, policy: Policy, how: &How) -> Result<ExitStatus, String> {
    let (plan, scenario) = (how.plan()?, load(path)?);
    let bar = out::progress(plan.days, &scenario.name);
    let days = experiment::days(&scenario, policy, plan.seed, plan.days, |day| {
        let summary = &day.summary;
        slog::info!(plan.log, "day"; "seed" => summary.seed, "service" => summary.service,
            "accesses" => summary.accesses, "rule_breaches" => summary.rule_breaches);
        bar.inc(1);
    });
    bar.finish_and_clear();
    finish(&plan, &scenario, &days)
}

/// Prints the summary of all days, writes the pages and judges.
fn finish(plan: &Plan, scenario: &Scenario, days: &[Day]) -> Result<ExitStatus, String> {
    let summaries: Vec<Summary> = days.iter().map(|day| day.summary.clone()).collect();
    let all = experiment::together(&summaries).ok_or("no day was played")?;
    let text = serde_json::to_string_pretty(&all).map_err(|e| e.to_string())?;
    println!("{text}");
    if let Some(folder) = &plan.out {
        out::write(folder, "summary.json", &text)?;
        let last = days.last().ok_or("no day was played")?;
        let page = report::day(scenario, &all, &last.tally).map_err(|e| e.to_string())?;
        out::write(folder, "report.html", &page)?;
        let seconds = serde_json::to_string(&last.tally.seconds).map_err(|e| e.to_string())?;
        out::write(folder, "seconds.json", &seconds)?;
    }
    Ok(judged(&[&all]))
}

/// Where the dispatcher's program is, and a folder of this process for what a run writes.
pub fn place(daemon: Option<String>) -> Result<Place, String> {
    let beside = || Some(std::env::current_exe().ok()?.parent()?.join("trailproxyd"));
    let daemon = daemon
        .map(PathBuf::from)
        .or_else(beside)
        .ok_or("no program of a dispatcher is named")?;
    if !daemon.is_file() {
        return Err(format!(
            "{} is not there; --daemon names the dispatcher's program",
            daemon.display()
        ));
    }
    let folder = std::env::temp_dir().join(format!("trailproxy-lab-{}", std::process::id()));
    Ok(Place {
        daemon,
        folder,
        descriptors: 1_024,
        memory_mb: 192,
    })
}

fn loopback(path: &str, daemon: Option<String>, how: &How) -> Result<ExitStatus, String> {
    let (plan, scenario, place) = (how.plan()?, load(path)?, place(daemon)?);
    let bar = out::progress(plan.days, &scenario.name);
    let mut days = Vec::new();
    for seed in experiment::seeds(plan.seed, plan.days) {
        days.push(loopback::run(&scenario, &place, seed).map_err(|e| e.to_string())?);
        bar.inc(1);
    }
    bar.finish_and_clear();
    let _ = std::fs::remove_dir_all(&place.folder);
    finish(&plan, &scenario, &days)
}

fn validate(path: &str, daemon: Option<String>, how: &How) -> Result<ExitStatus, String> {
    let (plan, scenario, place) = (how.plan()?, load(path)?, place(daemon)?);
    let bar = out::progress(plan.days, &scenario.name);
    let mut pairs = Vec::new();
    for seed in experiment::seeds(plan.seed, plan.days) {
        let real = loopback::run(&scenario, &place, seed).map_err(|e| e.to_string())?;
        pairs.push((
            model::run(&scenario, Policy::Design, seed).summary,
            real.summary,
        ));
        bar.inc(1);
    }
    bar.finish_and_clear();
    let _ = std::fs::remove_dir_all(&place.folder);
    let report = experiment::validate(&pairs);
    println!("{:<10} {:>10} {:>10}", "seed", "model", "loopback");
    for (model, real) in &pairs {
        println!(
            "{:<10} {:>10.4} {:>10.4}",
            model.seed, model.service, real.service
        );
    }
    println!("{}", report.verdict);
    if let Some(folder) = &plan.out {
        let text = serde_json::to_string_pretty(&report).map_err(|e| e.to_string())?;
        out::write(folder, "summary.json", &text)?;
    }
    let rules = judged(
        &pairs
            .iter()
            .flat_map(|pair| [&pair.0, &pair.1])
            .collect::<Vec<_>>(),
    );
    Ok(if report.agree {
        rules
    } else {
        ExitStatus::CheckFailed
    })
}

fn bench(
    p99_ms: f64,
    seconds: f64,
    daemon: Option<String>,
    how: &How,
) -> Result<ExitStatus, String> {
    let (plan, place) = (how.plan()?, place(daemon)?);
    if !(0.1..=1e5).contains(&p99_ms) || !(0.5..=60.0).contains(&seconds) {
        return Err("accepted: --p99-ms from 0.1 to 100000, --seconds from 0.5 to 60".into());
    }
    let relay = place.daemon.with_file_name("bare-relay");
    let promise = Promise {
        p99_ms,
        seconds,
        body_bytes: 2_048,
    };
    let programs = [place.daemon.as_path(), relay.as_path()];
    let all = bench::sustained(&programs, &place.folder, promise).map_err(|e| e.to_string())?;
    let _ = std::fs::remove_dir_all(&place.folder);
    for one in &all {
        println!(
            "{:<12} sustains {:>8.0} a second, {:>6.1} us of processor time an access",
            one.program, one.highest_per_s, one.cpu_us_per_access
        );
    }
    let [own, bare] = &all[..] else {
        return Err("two programs were to be measured".into());
    };
    let ratios = json!({"highest": own.highest_per_s / bare.highest_per_s.max(1.0),
        "cpu": own.cpu_us_per_access / bare.cpu_us_per_access.max(0.1)});
    println!("ratio of dispatcher to relay: {ratios}");
    if let Some(folder) = &plan.out {
        let report = json!({"promise": promise, "programs": all, "ratios": ratios});
        let text = serde_json::to_string_pretty(&report).map_err(|e| e.to_string())?;
        out::write(folder, "summary.json", &text)?;
    }
    Ok(ExitStatus::Success)
}

fn hunt(path: &str, tries: usize, how: &How) -> Result<ExitStatus, String> {
    let plan = how.plan()?;
    let base = std::fs::read_to_string(path).map_err(|e| format!("{path} can't be read: {e}"))?;
    let bar = out::progress(tries as u64, "days");
    let mut worst = f64::MIN;
    let found = experiment::hunt(path, &base, tries, plan.seed, |loss| {
        worst = worst.max(loss);
        bar.set_message(format!("worst {worst:.3}"));
        bar.inc(1);
    });
    bar.finish_and_clear();
    let Some(found) = found.map_err(|wrong| wrong.to_string())? else {
        return Err("no day was played".into());
    };
    let (design, oracle) = (&found.design, &found.oracle);
    let troubles: Vec<&str> = found.text.lines().rev().take(found.strikes).collect();
    println!(
        "design {:.4}, oracle {:.4}, loss {:.4}",
        design.service,
        oracle.service,
        oracle.service - design.service
    );
    troubles.iter().rev().for_each(|line| println!("{line}"));
    if let Some(folder) = &plan.out {
        out::write(folder, "found.star", &found.text)?;
        let report = json!({"design": design, "oracle": oracle, "troubles": troubles});
        let text = serde_json::to_string_pretty(&report).map_err(|e| e.to_string())?;
        out::write(folder, "summary.json", &text)?;
    }
    Ok(judged(&[design]))
}

fn compare(a: &str, b: &str, on: Option<&str>, how: &How) -> Result<ExitStatus, String> {
    let plan = how.plan()?;
    let sides = match on {
        Some(path) => {
            let scenario = load(path)?;
            [(scenario.clone(), policy(a)?), (scenario, policy(b)?)]
        }
        None => [(load(a)?, Policy::Design), (load(b)?, Policy::Design)],
    };
    let bar = out::progress(plan.days * 2, "days");
    let played = sides.map(|(scenario, policy)| {
        let days = experiment::days(&scenario, policy, plan.seed, plan.days, |_| bar.inc(1));
        days.into_iter()
            .map(|day| day.summary)
            .collect::<Vec<Summary>>()
    });
    bar.finish_and_clear();
    let differences = experiment::compare(&played[0], &played[1]);
    let both = played
        .iter()
        .map(|days| experiment::together(days))
        .collect::<Option<Vec<_>>>();
    let both = both.ok_or("no day was played")?;
    let report = json!({"a": a, "b": b, "on": on, "seed": plan.seed, "days": plan.days,
        "differences": differences, "summaries": both});
    let text = serde_json::to_string_pretty(&report).map_err(|e| e.to_string())?;
    println!(
        "{:<22} {:>14} {:>14} {:>12} {:>27}  verdict",
        "figure",
        a_name(a),
        a_name(b),
        "b - a",
        "95% interval"
    );
    for d in &differences {
        println!(
            "{:<22} {:>14.4} {:>14.4} {:>12.4} {:>27}  {}",
            d.figure,
            d.a.mean,
            d.b.mean,
            d.b_less_a.mean,
            format!("{:.4} to {:.4}", d.b_less_a.low, d.b_less_a.high),
            d.verdict
        );
    }
    if let Some(folder) = &plan.out {
        out::write(folder, "summary.json", &text)?;
        let page = report::comparison(a, b, &differences).map_err(|e| e.to_string())?;
        out::write(folder, "report.html", &page)?;
    }
    Ok(judged(&both.iter().collect::<Vec<_>>()))
}

/// The end of a path, short enough for a column.
fn a_name(path: &str) -> &str {
    let name = path.rsplit('/').next().unwrap_or(path);
    name.get(..14).unwrap_or(name)
}
