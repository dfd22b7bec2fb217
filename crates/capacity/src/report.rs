//! What was measured: lines for a terminal, a summary for programs and a page for people.

use crate::checks::PlantedReport;
use crate::figures::PhaseFigures;
use crate::fit::{Fit, JointLaw, Point, joint_law};
use crate::phases::Phase;
use crate::plan::{Plan, Results};
use serde::Serialize;
use std::fmt::Write;

/// Above the lines of [`line`].
pub const HEADINGS: &str =
    "phase            members  msg/s  KB/s(worst)  peakKB  state: records common  achieved  wall";

/// What a dispatcher may spend for control.
pub(crate) const KB_PER_S_LIMIT: f64 = 11.0;
/// A purge is everywhere within this.
pub(crate) const PURGE_LIMIT_S: f64 = 1.5;
const NOT_RUN: &str = "not run";

/// One phase of one size in a line.
pub fn line(of: &PhaseFigures) -> String {
    let mut line = format!(
        "{:16} {:7} {:6.1} {:6.2} ({:6.2}) {:7.1} {:8.1} {:6.1} ",
        of.phase,
        of.members,
        of.sent_messages_per_s.mean,
        of.sent_kb_per_s.mean,
        of.sent_kb_per_s.worst,
        of.peak_kb_per_s.worst,
        of.state.records.mean,
        of.state.common_facts.mean,
    );
    if let Some(purges) = &of.purges {
        let _ = write!(
            line,
            " purge everywhere p50 {:.2} s p99 {:.2} s, {} of {} not",
            purges.everywhere_s_p50,
            purges.everywhere_s_p99,
            purges.unfinished,
            purges.finished + purges.unfinished
        );
    }
    if let Some(keyed) = &of.keyed {
        let _ = write!(
            line,
            " certain near {:.3}, forbidden repeats {} ({} early), {:.1} messages and {:.0} bytes each",
            keyed.certain_ratio_near,
            keyed.forbidden_repeats,
            keyed.early_repeats,
            keyed.messages_per_request,
            keyed.bytes_per_request
        );
    }
    if let Some(overruns) = of.budget_overruns {
        let _ = write!(line, " budget overruns {overruns}");
    }
    if let Some(settled) = of.settled_after_s {
        let agreed = of.agreed_after_s.unwrap_or(settled);
        let _ = write!(
            line,
            " agreed after {agreed:.1} s, settled after {settled:.1} s"
        );
    }
    if of.never_settled {
        line.push_str(" never settled");
    }
    let _ = write!(
        line,
        "  [{:.1} s, {:.1} us an event]",
        of.timing.wall_s, of.timing.core_us_per_event
    );
    line
}

/// A figure that another layer measures.
#[derive(Clone, Debug, Serialize)]
pub struct Absent {
    pub value: Option<f64>,
    pub reason: &'static str,
}

const ABSENT: Absent = Absent {
    value: None,
    reason: NOT_RUN,
};

/// Everything that a run found.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    pub members: usize,
    pub sizes: Vec<usize>,
    pub sites: usize,
    pub regions: usize,
    pub seed: u64,
    pub keep_s: f64,
    pub purges_last_s: f64,
    pub wait_ms: f64,
    pub kb_per_s_rest: Option<f64>,
    pub kb_per_s_target: Option<f64>,
    pub core_share_target: Absent,
    pub rss_mb_target: Absent,
    pub keyed_bytes: Option<f64>,
    pub keyed_messages: Option<f64>,
    pub granted_ratio_near: Option<f64>,
    pub purge_everywhere_s_p99: Option<f64>,
    pub mass_restart_whole_s: Option<f64>,
    pub region_heal_s: Option<f64>,
    pub overruns: Option<u64>,
    pub forbidden_repeats: Option<u64>,
    /// Mistakes put in on purpose, and how many of them the checks found.
    pub planted: usize,
    pub planted_found: usize,
    pub checks: PlantedReport,
    /// The figure that is furthest beyond, or nearest to, its limit, and its ratio to that.
    pub breaks_first: Option<&'static str>,
    pub breaks_first_ratio: Option<f64>,
    /// Over the number of members.
    pub fits: Vec<Fit>,
    /// Keyed requests at the smallest size, over their rate.
    pub rate_fits: Vec<Fit>,
    /// The laws of figures that were run over both.
    pub joint_laws: Vec<FigureLaw>,
    pub phases: Vec<PhaseFigures>,
    pub phases_by_rate: Vec<PhaseFigures>,
}

/// The law of one figure.
#[derive(Clone, Debug, Serialize)]
pub struct FigureLaw {
    pub figure: String,
    pub law: JointLaw,
}

impl Summary {
    pub fn new(plan: &Plan, results: Results, checks: PlantedReport) -> Summary {
        let phases = results.by_size;
        let rate_fits = rate_fits(&results.by_rate);
        let members = plan.sizes.iter().copied().max().unwrap_or_default();
        let at = |phase: Phase| {
            let mut all = phases.iter();
            all.find(|of| of.phase == phase.name() && of.members == members)
        };
        let loaded = at(Phase::Target).or(at(Phase::Keyed));
        let keyed = loaded.and_then(|of| of.keyed.as_ref());
        let purges = at(Phase::Target).or(at(Phase::Purges));
        let purges = purges.and_then(|of| of.purges.as_ref());
        let divided = at(Phase::Target).or(at(Phase::Budgets));
        let demand = &plan.description.demand;
        let mut summary = Summary {
            members,
            sizes: plan.sizes.clone(),
            sites: phases.iter().map(|of| of.sites).max().unwrap_or_default(),
            regions: plan.description.regions.len(),
            seed: plan.seed,
            keep_s: demand.keep.as_secs_f64(),
            purges_last_s: demand.purges_last.as_secs_f64(),
            wait_ms: demand.wait.as_secs_f64() * 1e3,
            kb_per_s_rest: at(Phase::Rest).map(|of| of.sent_kb_per_s.mean),
            kb_per_s_target: at(Phase::Target).map(|of| of.sent_kb_per_s.mean),
            core_share_target: ABSENT,
            rss_mb_target: ABSENT,
            keyed_bytes: keyed.map(|of| of.bytes_per_request),
            keyed_messages: keyed.map(|of| of.messages_per_request),
            granted_ratio_near: keyed.map(|of| of.certain_ratio_near),
            purge_everywhere_s_p99: purges.map(|of| of.everywhere_s_p99),
            mass_restart_whole_s: at(Phase::AllRestart).and_then(|of| of.settled_after_s),
            region_heal_s: at(Phase::RegionCut).and_then(|of| of.settled_after_s),
            overruns: divided.and_then(|of| of.budget_overruns),
            forbidden_repeats: keyed.map(|of| of.forbidden_repeats),
            breaks_first: None,
            breaks_first_ratio: None,
            planted: checks.planted.len(),
            planted_found: checks.found.len(),
            checks,
            fits: fits(&phases),
            rate_fits,
            joint_laws: Vec::new(),
            phases,
            phases_by_rate: results.by_rate,
        };
        summary.find_first_break();
        summary.join_laws();
        summary
    }

    fn join_laws(&mut self) {
        for over_rate in &self.rate_fits {
            let figure = &over_rate.figure;
            let over_members = self.fits.iter().find(|fit| fit.figure == *figure);
            let laws = (over_members.and_then(|fit| fit.law), over_rate.law);
            if let (Some(members), Some(rate)) = laws {
                self.joint_laws.push(FigureLaw {
                    figure: figure.clone(),
                    law: joint_law(members, rate),
                });
            }
        }
    }

    fn find_first_break(&mut self) {
        let limits = [
            ("kb_per_s_rest", self.kb_per_s_rest, KB_PER_S_LIMIT),
            ("kb_per_s_target", self.kb_per_s_target, KB_PER_S_LIMIT),
            (
                "purge_everywhere_s_p99",
                self.purge_everywhere_s_p99,
                PURGE_LIMIT_S,
            ),
        ];
        let ratios = limits
            .into_iter()
            .filter_map(|(name, value, limit)| Some((name, value? / limit)));
        let worst = ratios.max_by(|one, other| one.1.total_cmp(&other.1));
        self.breaks_first = worst.map(|(name, _)| name);
        self.breaks_first_ratio = worst.map(|(_, ratio)| ratio);
    }

    /// Whether nothing is beyond its limit or grows without end, no key ran twice, no budget was overrun and each mistake
    /// put in on purpose was found.
    pub fn keeps_rules(&self) -> bool {
        let within = self.breaks_first_ratio.is_none_or(|ratio| ratio <= 1.0);
        let none = |count: Option<u64>| count.is_none_or(|count| count == 0);
        let checked = self.planted_found == self.planted && !self.checks.without.found_something();
        within && checked && none(self.forbidden_repeats) && none(self.overruns)
    }

    /// The main figures, one a line.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let mut add = |name: &str, value: Option<f64>| {
            let value = value.map_or(NOT_RUN.into(), |value| format!("{value:.3}"));
            let _ = writeln!(text, "{name} {value}");
        };
        add("members", Some(self.members as f64));
        add("kb_per_s_rest", self.kb_per_s_rest);
        add("kb_per_s_target", self.kb_per_s_target);
        add("keyed_bytes", self.keyed_bytes);
        add("keyed_messages", self.keyed_messages);
        add("granted_ratio_near", self.granted_ratio_near);
        add("purge_everywhere_s_p99", self.purge_everywhere_s_p99);
        add("mass_restart_whole_s", self.mass_restart_whole_s);
        add("region_heal_s", self.region_heal_s);
        add("overruns", self.overruns.map(|count| count as f64));
        add(
            "forbidden_repeats",
            self.forbidden_repeats.map(|count| count as f64),
        );
        add("planted", Some(self.planted as f64));
        add("planted_found", Some(self.planted_found as f64));
        add("breaks_first_ratio", self.breaks_first_ratio);
        for fit in &self.fits {
            let _ = writeln!(text, "{}", fit_line(fit));
        }
        if let Some(name) = self.breaks_first {
            let _ = writeln!(text, "breaks_first {name}");
        }
        text
    }
}

type Figure = fn(&PhaseFigures) -> f64;

/// Figures that are fitted over the sizes in each phase.
const FITTED: [(&str, Figure); 5] = [
    ("sent_messages_per_s", |of| of.sent_messages_per_s.mean),
    ("sent_kb_per_s", |of| of.sent_kb_per_s.mean),
    ("sent_kb_per_s_worst", |of| of.sent_kb_per_s.worst),
    ("records", |of| of.state.records.mean),
    ("common_facts", |of| of.state.common_facts.mean),
];

/// Of keyed requests only, over their rate as well.
fn rate_fits(runs: &[PhaseFigures]) -> Vec<Fit> {
    FITTED
        .iter()
        .filter(|_| !runs.is_empty())
        .map(|(name, figure)| {
            let point = |of: &PhaseFigures| Point {
                x: of.keyed_per_s,
                y: figure(of),
            };
            let name = format!("{}.{name}", Phase::Keyed.name());
            Fit::over(&name, runs.iter().map(point).collect())
        })
        .collect()
}

fn fit_line(fit: &Fit) -> String {
    let Some(line) = fit.line else {
        return format!("{}: run at {} sizes, no line", fit.figure, fit.points.len());
    };
    let law = match fit.law {
        Some(law) => format!("{law:?}").to_lowercase(),
        None => "too few sizes for a law".into(),
    };
    format!(
        "{}: {law}, {:.3} + {:.5} (95%: {:.5} to {:.5}) for each member",
        fit.figure, line.intercept, line.slope, line.slope_low, line.slope_high
    )
}

fn fits(phases: &[PhaseFigures]) -> Vec<Fit> {
    let mut fits = Vec::new();
    for phase in Phase::ALL {
        let of_phase: Vec<&PhaseFigures> = phases
            .iter()
            .filter(|of| of.phase == phase.name())
            .collect();
        for (name, figure) in FITTED {
            let point = |of: &&PhaseFigures| Point {
                x: of.members as f64,
                y: figure(of),
            };
            let points: Vec<Point> = of_phase.iter().map(point).collect();
            if !points.is_empty() {
                fits.push(Fit::over(&format!("{}.{name}", phase.name()), points));
            }
        }
    }
    fits
}
