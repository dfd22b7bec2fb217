//! `trailproxy zones`: the operator's section for a dispatcher, reports of several as one account, the planner, and
//! what account, budget and watch are worth in the laboratory.

use crate::ExitStatus;
use crate::lab::{How, Plan, judged, place};
use crate::out;
use crate::sections::{budgets_sheet, kinds, peers_sheet, store_sheet};
use clap::{Args, Subcommand};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fmt::Write;
use trailproxy_lab::crossing::{self, DayOf, Detected};
use trailproxy_lab::decide::baseline::Policy;
use trailproxy_lab::experiment::{self, difference, estimate};
use trailproxy_lab::loopback;
use trailproxy_lab::report::{self, Line};
use trailproxy_operator::read_file;
use trailproxy_zones::decide::config::Names;
use trailproxy_zones::decide::merge::{Merged, merge};
use trailproxy_zones_tools::decide::plan::{self, Demand, ServiceTargets};
use trailproxy_zones_tools::log::reports_in_log;
use trailproxy_zones_tools::sections as zones_sections;

#[derive(Subcommand)]
pub enum Task {
    /// Print the checked sections on traffic between zones as JSON, as a dispatcher takes them; null where they are off.
    Sheet {
        /// The operator's file, or a scenario.
        file: String,
        /// A dispatcher's configuration, whose zones and tracks the names must be among.
        #[arg(long)]
        config: Option<String>,
    },
    /// Read the logs of one or several dispatchers into one account, by way and track.
    Report {
        #[arg(required = true)]
        logs: Vec<String>,
        /// The width of a slot in the plots, in seconds.
        #[arg(long, default_value_t = 10.0)]
        slot_s: f64,
        /// Folder for summary.json and report.html.
        #[arg(long)]
        out: Option<String>,
    },
    /// Find the smallest link, and the smallest rate kept for orders, that give each track a stated service.
    Plan {
        #[arg(required = true)]
        logs: Vec<String>,
        #[command(flatten)]
        wanted: Wanted,
        /// A scenario to try the planned link on, whose text assigns LINK and BUDGET.
        #[arg(long)]
        on: Option<String>,
        #[command(flatten)]
        how: How,
    },
    /// Measure account, budget and watch: days in the model and on loopback, paired with and without a budget.
    Measure {
        /// A scenario whose text assigns BUDGET, LINK and SEATS.
        #[arg(long, default_value = "scenarios/video.star")]
        budget: String,
        /// A scenario whose text assigns TROUBLE, SECONDS, STRIKE and SEATS.
        #[arg(long, default_value = "scenarios/rise.star")]
        rise: String,
        /// Days of each kind of strike, and of each side of the budget; calm minutes are ten times as many.
        #[arg(long, default_value_t = 100)]
        strikes: u64,
        /// Seconds after which a scenario's strike comes.
        #[arg(long, default_value_t = 75.0)]
        strike_s: f64,
        /// Leave out what runs on loopback.
        #[arg(long)]
        model_only: bool,
        #[arg(long)]
        daemon: Option<String>,
        #[command(flatten)]
        how: How,
    },
}

pub fn run(task: Task) -> ExitStatus {
    let done = match task {
        Task::Sheet { file, config } => sheet(&file, config.as_deref()),
        Task::Report { logs, slot_s, out } => account(&logs, slot_s, out.as_deref()),
        Task::Plan {
            logs,
            wanted,
            on,
            how,
        } => planned(&logs, &wanted, on.as_deref(), &how),
        Task::Measure {
            budget,
            rise,
            strikes,
            strike_s,
            model_only,
            daemon,
            how,
        } => {
            let daemon = if model_only { None } else { Some(daemon) };
            measure(&budget, &rise, strikes, strike_s, daemon, &how)
        }
    };
    done.unwrap_or_else(ExitStatus::InvalidInput)
}

fn sheet(file: &str, config: Option<&str>) -> Result<ExitStatus, String> {
    let script = read_file(file, &kinds()).map_err(|wrong| wrong.to_string())?;
    let sheet = zones_sections::zones_config(&script);
    if let Some(sheet) = &sheet {
        sheet.check().map_err(|unfit| unfit.to_string())?;
        if let Some(config) = config {
            sheet
                .resolve(&names_of(config)?)
                .map_err(|unfit| unfit.to_string())?;
        }
    }
    let mut all = serde_json::to_value(&sheet).map_err(|e| e.to_string())?;
    // The dispatcher takes one answer for the whole file.
    let store = store_sheet(&script).map(serde_json::to_value);
    let peers = peers_sheet(&script).map(serde_json::to_value);
    let budgets = budgets_sheet(&script).map(serde_json::to_value);
    for (name, told) in [("store", store), ("peers", peers), ("budgets", budgets)] {
        let Some(told) = told else {
            continue;
        };
        if all.is_null() {
            all = serde_json::json!({});
        }
        all[name] = told.map_err(|e| e.to_string())?;
    }
    println!("{all}");
    Ok(ExitStatus::Success)
}

/// Zones and tracks as a dispatcher's configuration names them.
fn names_of(config: &str) -> Result<Names, String> {
    let text =
        std::fs::read_to_string(config).map_err(|e| format!("{config} can't be read: {e}"))?;
    let json: Value =
        serde_json::from_str(&text).map_err(|e| format!("{config} is not JSON: {e}"))?;
    let list = |path: &str| {
        json.pointer(path)
            .and_then(Value::as_array)
            .cloned()
            .unwrap_or_default()
    };
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    Ok(Names {
        zones: list("/settings/failure_domains").iter().map(text).collect(),
        classes: list("/settings/classes")
            .iter()
            .map(|class| text(&class["name"]))
            .collect(),
    })
}

fn merged(logs: &[String], slot_s: f64) -> Result<Merged, String> {
    if !(0.1..=86_400.0).contains(&slot_s) {
        return Err(format!("found --slot-s {slot_s}, accepted: 0.1 to 86400"));
    }
    let (mut reports, mut unread) = (Vec::new(), 0);
    for path in logs {
        let log = std::fs::read(path).map_err(|e| format!("{path} can't be read: {e}"))?;
        let (more, bad) = reports_in_log(&String::from_utf8_lossy(&log));
        reports.extend(more);
        unread += bad;
    }
    if reports.is_empty() {
        return Err("no report of traffic between zones in any of these logs".into());
    }
    if unread > 0 {
        eprintln!("trailproxy: {unread} reports can't be read and are left out");
    }
    Ok(merge(reports, (slot_s * 1e6) as u64))
}

fn account(logs: &[String], slot_s: f64, folder: Option<&str>) -> Result<ExitStatus, String> {
    let merged = merged(logs, slot_s)?;
    let all = merged.rows.values().fold(0.0, |all, total| all + total.kb);
    println!(
        "{} reports, {} starts of dispatchers, {} out of order; {:.1} MB crossed",
        merged.reports,
        merged.boots,
        merged.out_of_order,
        all / 1024.0
    );
    println!(
        "{:<16} {:<16} {:<12} {:>9} {:>12} {:>12}",
        "out of", "into", "track", "moves", "MB", "no room"
    );
    let ways = merged.by(|row| (row.from.clone(), row.to.clone(), row.class.clone()));
    for ((from, to, track), total) in &ways {
        let refused = merged.refused.get(track).map_or(0, |total| total.moves);
        let mb = total.kb / 1024.0;
        println!(
            "{from:<16} {to:<16} {track:<12} {:>9} {mb:>12.2} {refused:>12}",
            total.moves
        );
    }
    let causes = merged.by(|row| (row.class.clone(), row.cause.clone()));
    println!(
        "{:<12} {:<12} {:>9} {:>12} {:>7}",
        "track", "cause", "moves", "MB", "part"
    );
    for ((track, cause), total) in &causes {
        let part = total.kb / all.max(1e-9);
        println!(
            "{track:<12} {cause:<12} {:>9} {:>12.2} {part:>7.3}",
            total.moves,
            total.kb / 1024.0
        );
    }
    if let Some(folder) = folder {
        let rows: Vec<Value> = merged
            .rows
            .iter()
            .map(|(row, total)| json!({"row": row, "total": total}))
            .collect();
        let summary = json!({"reports": merged.reports, "lives": merged.boots, "out_of_order": merged.out_of_order,
            "kb": all, "left_out_kb": merged.left_out_kb, "rows": rows, "refused": merged.refused});
        let text = serde_json::to_string_pretty(&summary).map_err(|e| e.to_string())?;
        out::write(folder, "summary.json", &text)?;
        out::write(
            folder,
            "report.html",
            &page(&merged).map_err(|e| e.to_string())?,
        )?;
    }
    Ok(ExitStatus::Success)
}

/// Points of a plot by track.
type Tracks = BTreeMap<String, Vec<(f64, f64)>>;

fn page(merged: &Merged) -> Result<String, Box<dyn std::error::Error>> {
    let first = merged.slots.keys().next().copied().unwrap_or(0);
    let slot_s = merged.slot_us as f64 / 1e6;
    let mut body = format!(
        "<p>{} reports of {} starts of dispatchers.</p>",
        merged.reports, merged.boots
    );
    let mut ways: BTreeMap<(String, String), Tracks> = BTreeMap::new();
    let mut refused = Tracks::new();
    for (nth, slot) in &merged.slots {
        let x = (nth - first) as f64 * slot_s;
        for ((from, to, track), kb) in &slot.crossed {
            let way = ways.entry((from.clone(), to.clone())).or_default();
            way.entry(track.clone()).or_default().push((x, kb / slot_s));
        }
        for (track, kb) in &slot.refused {
            refused
                .entry(track.clone())
                .or_default()
                .push((x, kb / slot_s));
        }
    }
    let lines = |tracks: Tracks| -> Vec<Line> {
        let tracks = tracks.into_iter().take(8);
        tracks.map(|(name, points)| Line { name, points }).collect()
    };
    for ((from, to), tracks) in ways.into_iter().take(32) {
        let title = format!("KB a second from {from} into {to}, by track");
        body.push_str(&report::plot(&title, "seconds", &lines(tracks))?);
    }
    if !refused.is_empty() {
        let title = "KB a second that found no room, by track";
        body.push_str(&report::plot(title, "seconds", &lines(refused))?);
    }
    body.push_str("<h2>The account</h2><table>");
    let head = ["out of", "into", "tier", "track", "cause", "moves", "MB"].map(str::to_owned);
    report::row(&mut body, &head);
    for (row, total) in &merged.rows {
        let words = [&row.from, &row.to, &row.tier, &row.class, &row.cause].map(Clone::clone);
        let mut cells = words.to_vec();
        cells.extend([total.moves.to_string(), format!("{:.2}", total.kb / 1024.0)]);
        report::row(&mut body, &cells);
    }
    body.push_str("</table>");
    Ok(report::page("Traffic between zones", &body))
}

/// What a plan is asked for.
#[derive(Args)]
pub struct Wanted {
    /// The part of each track's KB that must get through, from 0 to 1.
    #[arg(long, default_value_t = 0.99)]
    service: f64,
    /// The same for one track, as TRACK=PART; may be given several times.
    #[arg(long, value_name = "TRACK=PART")]
    of: Vec<String>,
    /// Tracks that a rate is to be kept for.
    #[arg(long, default_value = "")]
    first: Vec<String>,
    /// The zone whose link is planned; by default the one that most crosses into.
    #[arg(long)]
    into: Option<String>,
    #[arg(long, default_value_t = 0.0)]
    burst_kb: f64,
    #[arg(long, default_value_t = 10.0)]
    slot_s: f64,
}

/// What each track asked for of the link into one zone: what crossed, and what found no room.
fn demand(merged: &Merged, into: &str) -> Demand {
    let mut tracks: Vec<String> = merged
        .rows
        .keys()
        .filter(|row| row.to == into)
        .map(|row| row.class.clone())
        .collect();
    tracks.extend(merged.refused.keys().cloned());
    tracks.sort();
    tracks.dedup();
    let (first, last) = (merged.slots.keys().next(), merged.slots.keys().next_back());
    let (Some(&first), Some(&last)) = (first, last) else {
        return Demand::default();
    };
    let row = |nth: u64| {
        let slot = merged.slots.get(&nth);
        let of = |track: &String| {
            let crossed = slot.into_iter().flat_map(|slot| &slot.crossed);
            let crossed = crossed.filter(|((_, to, own), _)| to == into && own == track);
            let refused = slot
                .and_then(|slot| slot.refused.get(track))
                .copied()
                .unwrap_or(0.0);
            crossed.map(|(_, kb)| kb).sum::<f64>() + refused
        };
        tracks.iter().map(of).collect()
    };
    Demand {
        slot_s: merged.slot_us as f64 / 1e6,
        kb: (first..=last).map(row).collect(),
        classes: tracks,
    }
}

fn planned(
    logs: &[String],
    wanted: &Wanted,
    on: Option<&str>,
    how: &How,
) -> Result<ExitStatus, String> {
    let merged = merged(logs, wanted.slot_s)?;
    let sums = merged.by(|row| row.to.clone());
    let most = sums
        .iter()
        .max_by(|a, b| a.1.kb.total_cmp(&b.1.kb))
        .map(|(zone, _)| zone.clone());
    let into = wanted.into.clone().or(most).ok_or("nothing crossed")?;
    let demand = demand(&merged, &into);
    let mut service = vec![wanted.service; demand.classes.len()];
    for told in &wanted.of {
        let parts = told
            .split_once('=')
            .and_then(|(track, part)| Some((track, part.parse::<f64>().ok()?)));
        let nth =
            parts.and_then(|(track, _)| demand.classes.iter().position(|known| known == track));
        let (Some((_, part)), Some(nth)) = (parts, nth) else {
            return Err(format!(
                "found --of {told}, accepted: TRACK=PART with one of {}",
                demand.classes.join(", ")
            ));
        };
        service[nth] = part;
    }
    if service.iter().any(|part| !(0.0..=1.0).contains(part)) {
        return Err("accepted: a service from 0 to 1".into());
    }
    let promise = ServiceTargets {
        service,
        burst_kb: wanted.burst_kb,
    };
    let link = plan::min_link_rate(&demand, &promise)?;
    let first: Vec<String> = wanted
        .first
        .iter()
        .filter(|name| !name.is_empty())
        .cloned()
        .collect();
    let reserve = match first.is_empty() {
        true => None,
        false => Some(plan::min_reserve_rate(&demand, &promise, &first)?),
    };
    println!(
        "link into {into}: {:.0} KB/s over {} slots of {} s",
        link.kb_per_s,
        demand.kb.len(),
        demand.slot_s
    );
    println!(
        "binds in slots {:?}, for tracks {}",
        link.binding_slots,
        link.binding_classes.join(", ")
    );
    if let Some(reserve) = &reserve {
        println!(
            "kept for {}: {:.0} KB/s, binds in slots {:?}",
            first.join(", "),
            reserve.kb_per_s,
            reserve.binding_slots
        );
    }
    let tried = on.map(|path| tried(path, link.kb_per_s, how)).transpose()?;
    if let Some(tried) = &tried {
        println!("tried in the model (simulated): {tried}");
    }
    if let Some(folder) = how.plan()?.out {
        let summary = json!({"into": into, "link": link, "reserve": reserve, "tried": tried});
        let text = serde_json::to_string_pretty(&summary).map_err(|e| e.to_string())?;
        out::write(&folder, "summary.json", &text)?;
    }
    Ok(ExitStatus::Success)
}

/// The service of a scenario whose link has the planned rate.
fn tried(path: &str, kb_per_s: f64, how: &How) -> Result<Value, String> {
    let plan = how.plan()?;
    let text = std::fs::read_to_string(path).map_err(|e| format!("{path} can't be read: {e}"))?;
    let changes = [
        ("LINK", format!("{}", kb_per_s.ceil())),
        ("BUDGET", "False".to_owned()),
    ];
    let scenario = crossing::scenario(path, &text, &changes)?;
    let days = experiment::days(&scenario, Policy::Design, plan.seed, plan.days, |_| {});
    let services: Vec<f64> = days.iter().map(|day| day.summary.service).collect();
    let mut by_track: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
    for (track, service) in days.iter().flat_map(|day| &day.summary.service_by_track) {
        by_track.entry(track).or_default().push(*service);
    }
    let by_track: BTreeMap<&str, f64> = by_track
        .into_iter()
        .map(|(track, all)| (track, estimate(&all).mean))
        .collect();
    Ok(json!({"service": estimate(&services), "by_track": by_track, "days": plan.days}))
}

fn mean(days: &[DayOf], of: impl Fn(&DayOf) -> f64) -> experiment::Estimate {
    estimate(&days.iter().map(of).collect::<Vec<f64>>())
}

fn worst(days: &[DayOf], of: impl Fn(&DayOf) -> f64) -> f64 {
    days.iter().map(of).fold(0.0, f64::max)
}

fn side(days: &[DayOf]) -> Value {
    let mut tracks: BTreeMap<&String, experiment::Estimate> = BTreeMap::new();
    for track in days.iter().flat_map(|day| day.service_by_track.keys()) {
        tracks.insert(track, mean(days, |day| day.service_by_track[track]));
    }
    json!({"service": mean(days, |day| day.service), "service_by_track": tracks,
        "rejected": mean(days, |day| day.rejected as f64), "crossed_kb": mean(days, |day| day.crossed_kb),
        "used": mean(days, |day| day.used), "overrun_1s": worst(days, |day| day.overrun_1s),
        "overrun_10s": worst(days, |day| day.overrun_10s), "account_error": worst(days, |day| day.account_error),
        "rule_breaches": days.iter().map(|day| day.rule_breaches).sum::<u64>()})
}

/// Paired days as figures, with the differences between them.
fn both(sides: &[Vec<DayOf>; 2]) -> Value {
    let [on, off] = sides;
    let figure = |name: &str, of: &dyn Fn(&DayOf) -> f64| {
        let values = |days: &[DayOf]| days.iter().map(of).collect::<Vec<f64>>();
        difference(name, &values(off), &values(on))
    };
    let mut differences = vec![
        figure("service", &|day| day.service),
        figure("rejected", &|day| day.rejected as f64),
        figure("crossed_kb", &|day| day.crossed_kb),
    ];
    let tracks: Vec<String> = on
        .first()
        .map(|day| day.service_by_track.keys().cloned().collect())
        .unwrap_or_default();
    for track in &tracks {
        differences.push(figure(&format!("service of {track}"), &|day| {
            day.service_by_track[track]
        }));
    }
    json!({"with": side(on), "without": side(off), "differences": differences})
}

/// Fleets of dispatchers that a budget is divided among.
const FLEETS: [u32; 4] = [1, 4, 40, 250];
/// Promises of the budget: beyond its burst by no more than this, over a second and over ten.
const MOST_1S: f64 = 0.10;
const MOST_10S: f64 = 0.02;
const MOST_ERROR: f64 = 0.01;
const WITHIN_S: f64 = 3.0;

fn measure(
    budget: &str,
    rise: &str,
    strikes: u64,
    strike_s: f64,
    daemon: Option<Option<String>>,
    how: &How,
) -> Result<ExitStatus, String> {
    let plan: Plan = how.plan()?;
    let read = |path: &str| {
        std::fs::read_to_string(path).map_err(|e| format!("{path} can't be read: {e}"))
    };
    let (video, struck) = (read(budget)?, read(rise)?);
    let calm = 10 * strikes;
    let bar = out::progress(plan.days * 2 * 5 + strikes * 4 + calm.div_ceil(10), "zones");
    let step = || bar.inc(1);
    let pairs = crossing::paired(budget, &video, &[], plan.seed, plan.days, step)?;
    let mut fleets = BTreeMap::new();
    let (mut over_1s, mut over_10s) = (
        worst(&pairs[0], |d| d.overrun_1s),
        worst(&pairs[0], |d| d.overrun_10s),
    );
    for seats in FLEETS {
        let changes = [("SEATS", seats.to_string())];
        let pairs = crossing::paired(budget, &video, &changes, plan.seed, plan.days, step)?;
        over_1s = over_1s.max(worst(&pairs[0], |day| day.overrun_1s));
        over_10s = over_10s.max(worst(&pairs[0], |day| day.overrun_10s));
        fleets.insert(seats, both(&pairs));
    }
    let mut detected: Vec<Detected> = Vec::new();
    for trouble in ["host", "purge", "once", "oversized"] {
        detected.push(crossing::detect(
            rise, &struck, trouble, strike_s, plan.seed, strikes, step,
        )?);
    }
    // Ten minutes a day.
    let alarms = crossing::false_alarms(
        rise,
        &struck,
        600,
        plan.seed + 10_000,
        calm.div_ceil(10),
        step,
    )?;
    let on_sockets = match daemon {
        Some(daemon) => Some(sockets(budget, &video, plan.seed, daemon)?),
        None => None,
    };
    bar.finish_and_clear();
    let detect_p95 = detected
        .iter()
        .map(|one| one.told_s_p95)
        .fold(0.0, f64::max);
    let orders = |days: &[DayOf]| {
        mean(days, |day| {
            day.service_by_track.get("order").copied().unwrap_or(1.0)
        })
        .mean
    };
    let mut error = worst(&pairs[0], |day| day.account_error);
    if let Some(on) = on_sockets
        .as_ref()
        .and_then(|both| both["with"]["account_error"].as_f64())
    {
        error = error.max(on);
    }
    let breaches: u64 = pairs.iter().flatten().map(|day| day.rule_breaches).sum();
    let summary = json!({
        "budget_overrun_1s": over_1s, "budget_overrun_10s": over_10s, "account_error": error,
        "orders_in_due": orders(&pairs[0]), "orders_in_due_without": orders(&pairs[1]),
        "detect_s_p95": detect_p95, "false_alarms": alarms, "calm_minutes": calm, "rule_breaches": breaches,
        "seed": plan.seed, "days": plan.days, "model": both(&pairs), "fleets": fleets, "detected": detected,
        "loopback": on_sockets,
    });
    let text = serde_json::to_string_pretty(&summary).map_err(|e| e.to_string())?;
    let mut short = String::new();
    let names = [
        "budget_overrun_1s",
        "budget_overrun_10s",
        "account_error",
        "orders_in_due",
        "orders_in_due_without",
    ];
    for name in names
        .into_iter()
        .chain(["detect_s_p95", "false_alarms", "rule_breaches"])
    {
        let _ = writeln!(short, "{name:<24} {}", summary[name]);
    }
    print!("{short}");
    if let Some(folder) = &plan.out {
        out::write(folder, "summary.json", &text)?;
    }
    let kept = over_1s <= MOST_1S && over_10s <= MOST_10S && error <= MOST_ERROR;
    let kept = kept && detect_p95 <= WITHIN_S && alarms == 0 && breaches == 0;
    Ok(if kept {
        ExitStatus::Success
    } else {
        ExitStatus::CheckFailed
    })
}

/// What a day on loopback has in place of the scenario's own: no object is larger than the protocol's 240,000 bytes.
const ON_SOCKETS: [(&str, &str); 4] = [
    ("SECONDS", "30"),
    ("PER_S", "200"),
    ("MEDIAN", "120"),
    ("MOST", "230"),
];

/// The same two sides against real dispatchers, a day each: bodies are whole, the links' counters are outside them.
fn sockets(file: &str, text: &str, seed: u64, daemon: Option<String>) -> Result<Value, String> {
    let place = place(daemon)?;
    let mut sides = Vec::new();
    let mut limit = None;
    for budget in ["True", "False"] {
        let mut changes = ON_SOCKETS
            .map(|(name, value)| (name, value.to_owned()))
            .to_vec();
        changes.push(("BUDGET", budget.to_owned()));
        let scenario = crossing::scenario(file, text, &changes)?;
        let own = scenario
            .zones
            .as_ref()
            .and_then(|rules| rules.limits.first());
        limit = own
            .map(|own| (own.to, (own.kb_per_s, own.burst_kb)))
            .or(limit);
        let (zone, held) = limit.ok_or("the scenario sets no budget")?;
        let day = loopback::run(&scenario, &place, seed).map_err(|e| e.to_string())?;
        if let ExitStatus::CheckFailed = judged(&[&day.summary]) {
            return Err("a rule was broken on loopback".into());
        }
        sides.push((
            crossing::day_of(&scenario, &day, zone, held),
            day.summary.cpu_us_per_access,
        ));
    }
    let _ = std::fs::remove_dir_all(&place.folder);
    let [on, off] = &sides[..] else {
        return Err("two sides were to be played".into());
    };
    Ok(json!({"with": on.0, "without": off.0, "cpu_us_with": on.1, "cpu_us_without": off.1}))
}
