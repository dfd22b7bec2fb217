//! Trials of many processes: one script, or every fault alone and in pairs.

use crate::ExitStatus;
use crate::lab::place;
use crate::out;
use clap::Args;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use trailproxy_lab::experiment::estimate;
use trailproxy_lab::loopback::Place;
use trailproxy_lab::scenario::{self, Scenario};
use trailproxy_operator::read_file;
use trailproxy_trials::decide::script::{self, ALL, STORE, Strike, Trial, What, drawn, shortest};
use trailproxy_trials::play::{OfBudget, Outcome, play};

#[derive(Args)]
pub struct Task {
    /// A scenario with a section `trial` and what strikes.
    script: String,
    /// What is drawn is drawn from it.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Folder for summary.json, and for the shortest script that fails.
    #[arg(long)]
    out: Option<String>,
    /// The dispatcher's program; else `trailproxyd` beside this one.
    #[arg(long)]
    daemon: Option<String>,
    /// Every fault alone and in pairs, each also with peers off, instead of what the script has strike.
    #[arg(long)]
    all: bool,
    /// With --all: so many seeds, taken by turns.
    #[arg(long, default_value_t = 20)]
    seeds: u64,
    /// With --all: trials at the same time.
    #[arg(long, default_value_t = 2)]
    jobs: usize,
    /// Refuse what nobody is sure about, whatever the script says.
    #[arg(long)]
    refuse: bool,
    /// With --all: faults of a store that they share, which holds the records, instead of faults between them.
    #[arg(long)]
    store: bool,
    /// With --all: budgets divided among them, against equal shares.
    #[arg(long, conflicts_with = "store")]
    budgets: bool,
    /// With --all: single faults only.
    #[arg(long)]
    alone: bool,
}

pub fn run(task: Task) -> ExitStatus {
    tried(&task).unwrap_or_else(ExitStatus::InvalidInput)
}

fn read(task: &Task) -> Result<(Scenario, Trial), String> {
    let kinds: Vec<_> = scenario::KINDS
        .iter()
        .chain(script::KINDS)
        .copied()
        .collect();
    let sheet = read_file(&task.script, &kinds).map_err(|wrong| wrong.to_string())?;
    let played = Scenario::from_sheet(&sheet).map_err(|wrong| wrong.to_string())?;
    let trial = Trial::of(&sheet).ok_or(format!("{} has no section trial", task.script))?;
    let seats: u32 = played.seats.iter().sum();
    if !(2..=16).contains(&seats) {
        return Err(format!(
            "{}: found {seats} dispatchers, accepted: 2 to 16",
            task.script
        ));
    }
    let beyond = |strike: &&Strike| strike.who.iter().any(|&nth| nth >= seats as usize);
    if let Some(strike) = trial.strikes.iter().find(beyond) {
        return Err(format!(
            "{}: {strike}: field who: accepted: 0 to {}",
            task.script,
            seats - 1
        ));
    }
    Ok((played, trial))
}

fn one(scenario: &Scenario, trial: &Trial, place: &Place, seed: u64) -> Result<Outcome, String> {
    play(scenario, trial, place, seed).map_err(|e| format!("the trial can't be played: {e}"))
}

/// Each with a folder of its own, so that several can go on at once.
fn own(place: &Place, nth: usize) -> Place {
    Place {
        folder: place.folder.join(nth.to_string()),
        ..place.clone()
    }
}

fn tried(task: &Task) -> Result<ExitStatus, String> {
    let (scenario, mut trial) = read(task)?;
    trial.refuse |= task.refuse;
    let place = place(task.daemon.clone())?;
    if task.all {
        let swept = sweep(task, &scenario, &trial, &place);
        let _ = std::fs::remove_dir_all(&place.folder);
        return swept;
    }
    let seats = scenario.seats.iter().sum::<u32>() as usize;
    trial.draw(scenario.length.as_secs_f64(), seats, task.seed);
    let outcome = one(&scenario, &trial, &place, task.seed)?;
    print(&outcome);
    if let Some(folder) = &task.out {
        let text = serde_json::to_string_pretty(&outcome).map_err(|e| e.to_string())?;
        out::write(folder, "summary.json", &text)?;
    }
    let Some(why) = outcome.wrong() else {
        let _ = std::fs::remove_dir_all(&place.folder);
        return Ok(ExitStatus::Success);
    };
    println!("broken   {why}");
    for story in &outcome.keys.stories {
        println!("key      {story}");
    }
    let least = shortest(&trial.strikes, |strikes| {
        let shorter = Trial {
            strikes: strikes.to_vec(),
            ..trial.clone()
        };
        one(&scenario, &shorter, &place, task.seed).is_ok_and(|outcome| outcome.wrong().is_some())
    });
    let lines: String = least.iter().map(|strike| format!("{strike}\n")).collect();
    println!(
        "shortest that fails, in the place of what strikes in {}:\n{lines}",
        task.script
    );
    if let Some(folder) = &task.out {
        out::write(folder, "shortest.star", &lines)?;
    }
    println!("logs     {}", place.folder.display());
    Ok(ExitStatus::CheckFailed)
}

fn print(outcome: &Outcome) {
    let keys = &outcome.keys;
    let together = match (outcome.peers, outcome.store) {
        (true, true) => "peers and store",
        (true, false) => "peers",
        (false, true) => "store",
        (false, false) => "each alone",
    };
    println!(
        "service  {:.3}, {} of {} done, {} processes, {together}",
        outcome.service, outcome.done, outcome.accesses, outcome.processes
    );
    println!(
        "keys     {} in {} tries: {} forbidden repeats, {} dropped ({} by another dispatcher), {} answered from records",
        keys.keys,
        keys.tries,
        keys.forbidden_repeats,
        keys.dropped_repeats,
        keys.by_another,
        keys.from_record
    );
    println!(
        "end      {} asked again, {} of them sent again; wait {:.1} ms in the middle, {:.1} at p99",
        keys.asked_at_end, keys.unknown_at_end, keys.wait_ms_p50, keys.wait_ms_p99
    );
    println!(
        "letters  {:.0} a second each, {:.1} KB; {} KB resident at most",
        outcome.letters_per_s, outcome.kb_per_s, outcome.peak_rss_kb
    );
}

/// What one trial of a sweep is.
struct Case {
    name: String,
    trial: Trial,
    seed: u64,
}

fn cases(task: &Task, scenario: &Scenario, trial: &Trial) -> Vec<Case> {
    let seats = scenario.seats.iter().sum::<u32>() as usize;
    let seconds = scenario.length.as_secs_f64();
    let mut pairs = vec![("none".to_owned(), vec![])];
    let all: &[What] = if task.store { &STORE } else { &ALL };
    for (nth, &first) in all.iter().enumerate() {
        pairs.push((first.word().to_owned(), vec![first]));
        for &second in all[nth + 1..].iter().filter(|_| !task.alone) {
            let name = format!("{} and {}", first.word(), second.word());
            pairs.push((name, vec![first, second]));
        }
    }
    let mut cases = Vec::new();
    for (nth, (name, whats)) in pairs.into_iter().enumerate() {
        let seed = task.seed + nth as u64 % task.seeds.max(1);
        let mut chance = fastrand::Rng::with_seed(seed ^ (nth as u64) << 20);
        let whats = whats.into_iter();
        let strikes: Vec<Strike> = whats
            .map(|what| drawn(what, seconds, seats, &mut chance))
            .collect();
        for together in [true, false] {
            let strikes = strikes.clone();
            let trial = Trial {
                peers: together && !task.store,
                budgets: together && task.budgets,
                store: together && task.store,
                strikes,
                ..trial.clone()
            };
            let name = name.clone();
            cases.push(Case { name, trial, seed });
        }
    }
    cases
}

fn sweep(
    task: &Task,
    scenario: &Scenario,
    trial: &Trial,
    place: &Place,
) -> Result<ExitStatus, String> {
    let cases = cases(task, scenario, trial);
    let bar = out::progress(cases.len() as u64, "trials");
    let (next, ran) = (AtomicUsize::new(0), Mutex::new(BTreeMap::new()));
    std::thread::scope(|scope| {
        for _ in 0..task.jobs.max(1) {
            scope.spawn(|| {
                loop {
                    let nth = next.fetch_add(1, Ordering::Relaxed);
                    let Some(case) = cases.get(nth) else {
                        return;
                    };
                    let outcome = one(scenario, &case.trial, &own(place, nth), case.seed);
                    let stop = outcome.is_err();
                    let ran = ran.lock();
                    ran.unwrap_or_else(|poisoned| poisoned.into_inner())
                        .insert(nth, outcome);
                    bar.inc(1);
                    if stop {
                        next.store(cases.len(), Ordering::Relaxed);
                    }
                }
            });
        }
    });
    bar.finish_and_clear();
    let ran = ran.into_inner();
    let ran = ran.unwrap_or_else(|poisoned| poisoned.into_inner());
    let mut outcomes = Vec::new();
    for (nth, outcome) in ran {
        outcomes.push((&cases[nth], outcome?));
    }
    summed(task, &outcomes)
}

type Ran<'a> = (&'a Case, Outcome);

fn summed(task: &Task, outcomes: &[Ran]) -> Result<ExitStatus, String> {
    let (with, alone): (Vec<&Ran>, Vec<&Ran>) =
        outcomes.iter().partition(|(_, of)| of.peers || of.store);
    let overruns = |all: &[&Ran]| {
        let over = |ran: &&&Ran| ran.1.budget.as_ref().is_some_and(|of| of.worst() > 1.0);
        all.iter().filter(over).count()
    };
    let of_budget = |all: &[&Ran], of: fn(&OfBudget) -> f64| -> Vec<f64> {
        all.iter()
            .filter_map(|ran| ran.1.budget.as_ref())
            .map(of)
            .collect()
    };
    let sum =
        |all: &[&Ran], of: fn(&Outcome) -> u64| -> u64 { all.iter().map(|ran| of(&ran.1)).sum() };
    let most = |of: fn(&Outcome) -> f64| with.iter().map(|ran| of(&ran.1)).fold(0.0, f64::max);
    let pairs = || with.iter().zip(&alone);
    let mean = |all: &[f64]| all.iter().sum::<f64>() / all.len().max(1) as f64;
    let ratios: Vec<f64> = pairs()
        .map(|(with, alone)| with.1.service / alone.1.service.max(1e-9))
        .collect();
    let least = ratios.iter().zip(&with).min_by(|a, b| a.0.total_cmp(b.0));
    let waits: Vec<f64> = pairs()
        .map(|(with, alone)| with.1.keys.wait_ms_p50 - alone.1.keys.wait_ms_p50)
        .collect();
    let broken = with.iter().filter_map(|(case, outcome)| {
        let why = outcome.wrong()?;
        Some(
            json!({"faults": case.name, "seed": case.seed, "why": why, "strikes": outcome.strikes}),
        )
    });
    let broken: Vec<Value> = broken.collect();
    let rules = |all: &[&Ran]| {
        all.iter()
            .map(|ran| ran.1.rules_broken.len())
            .sum::<usize>()
    };
    let broken_of = |all: &[&Ran], rule: &str| {
        let broken = all.iter().flat_map(|ran| &ran.1.rules_broken);
        broken.filter(|told| told.starts_with(rule)).count()
    };
    let restarts = |case: &Case| {
        let strikes = case.trial.strikes.iter();
        strikes
            .filter(|strike| matches!(strike.what, What::Kill | What::Roll))
            .count()
            > 0
    };
    let restarted: Vec<f64> = pairs()
        .filter(|(with, _)| restarts(with.0))
        .map(|(with, alone)| with.1.service / alone.1.service.max(1e-9))
        .collect();
    let services = |all: &[&Ran]| all.iter().map(|ran| ran.1.service).collect::<Vec<f64>>();
    let mut summary = json!({
        "runs": outcomes.len(),
        "processes_max": outcomes.iter().map(|ran| ran.1.processes).max(),
        "faults": if task.store { STORE.map(What::word).to_vec() } else { ALL.map(What::word).to_vec() },
        "double_answers": broken_of(&with, "rule 1"),
        "sent_after_drain": broken_of(&with, "rule 3"),
        "sent_after_drain_alone": broken_of(&alone, "rule 3"),
        "cold_overrun": broken_of(&with, "rule 4"),
        "old_copies": broken_of(&with, "rule 5"),
        "old_copies_alone": broken_of(&alone, "rule 5"),
        "restart_gain": mean(&restarted),
        "service_alone": mean(&services(&alone)),
        "service_fault_min": services(&with).into_iter().fold(1.0, f64::min),
        "added_wait_ms_p99": pairs().map(|(with, alone)| with.1.keys.wait_ms_p99 - alone.1.keys.wait_ms_p99).fold(0.0, f64::max),
        "rules_broken": rules(&with),
        "rules_broken_alone": rules(&alone),
        "keys": sum(&with, |of| of.keys.keys),
        "forbidden_repeats": sum(&with, |of| of.keys.forbidden_repeats),
        "forbidden_repeats_alone": sum(&alone, |of| of.keys.forbidden_repeats),
        "repeats_by_another": sum(&with, |of| of.keys.by_another),
        "repeats_by_another_alone": sum(&alone, |of| of.keys.by_another),
        "from_record": sum(&with, |of| of.keys.from_record),
        "asked_at_end": sum(&with, |of| of.keys.asked_at_end),
        "unknown_at_end": sum(&with, |of| of.keys.unknown_at_end),
        "unknown_at_end_alone": sum(&alone, |of| of.keys.unknown_at_end),
        "service_ratio_min": least.map(|(ratio, _)| ratio),
        "service_ratio_min_at": least.map(|(_, ran)| ran.0.name.as_str()),
        "service_ratio_mean": mean(&ratios),
        "added_wait_ms_p50": mean(&waits),
        "wait_ms_p99_max": most(|of| of.keys.wait_ms_p99),
        "kb_per_s_max": most(|of| of.kb_per_s),
        "rss_mb_max": most(|of| of.peak_rss_kb as f64 / 1024.0),
        "broken": broken,
    });
    if task.budgets {
        let gains = pairs().map(|(with, alone)| with.1.service - alone.1.service);
        let gains: Vec<f64> = gains.collect();
        let gain = estimate(&gains);
        for (name, value) in [
            ("overruns", json!(overruns(&with))),
            ("overruns_equal_shares", json!(overruns(&alone))),
            (
                "worst_sum_ratio",
                json!(
                    of_budget(&with, OfBudget::worst)
                        .into_iter()
                        .fold(0.0, f64::max)
                ),
            ),
            ("used_ratio_5", json!(mean(&of_budget(&with, |of| of.used)))),
            (
                "used_ratio_5_equal_shares",
                json!(mean(&of_budget(&alone, |of| of.used))),
            ),
            ("cold_fell", json!(sum(&with, |of| of.fell))),
            ("cold_fell_equal_shares", json!(sum(&alone, |of| of.fell))),
            ("service_gain", json!(gain.mean)),
            ("service_gain_from", json!(gain.low)),
            ("service_gain_to", json!(gain.high)),
            ("unanswered", json!(sum(&with, |of| of.lost))),
            ("unanswered_equal_shares", json!(sum(&alone, |of| of.lost))),
        ] {
            summary[name] = value;
        }
    }
    // What was measured in virtual time beside it stands under the same roof.
    let model = task
        .out
        .as_ref()
        .map(|folder| format!("{folder}/model.txt"));
    let model = model.and_then(|path| std::fs::read_to_string(path).ok());
    for line in model.iter().flat_map(|text| text.lines()) {
        if let Some((name, value)) = line.split_once(' ')
            && let Ok(value) = value.parse::<f64>()
        {
            summary[name] = json!(value);
        }
    }
    let text = serde_json::to_string_pretty(&summary).map_err(|e| e.to_string())?;
    println!("{text}");
    if let Some(folder) = &task.out {
        out::write(folder, "summary.json", &text)?;
        let all = outcomes
            .iter()
            .map(|ran| json!({"faults": ran.0.name, "outcome": ran.1}));
        let all = serde_json::to_string(&all.collect::<Vec<_>>()).map_err(|e| e.to_string())?;
        out::write(folder, "runs.json", &all)?;
    }
    Ok(match broken.is_empty() {
        true => ExitStatus::Success,
        false => ExitStatus::CheckFailed,
    })
}
