//! What must hold at every size: no kind of message grows with the fleet beyond a stated slope, and nothing is held for
//! ever. The same checks are run with mistakes put in on purpose, which they have to find.

use crate::description::Description;
use crate::figures::PhaseFigures;
use crate::fit::{Line, Point};
use crate::fleet::member::Placement;
use crate::fleet::planted::Planted;
use crate::phases::{Lengths, Phase, Setup};
use serde::Serialize;
use std::collections::BTreeSet;
use trailproxy::units::TimeSpan;

/// Sizes at which the checks are run.
pub const SIZES: [usize; 4] = [20, 40, 60, 80];
/// From the smallest size to the largest, a rate may rise by this part of what it is at the smallest.
pub const ALLOWED_RISE: f64 = 0.5;
/// Rates below this are too seldom for a slope: a rise is reckoned against it.
const LEAST_RATE_PER_S: f64 = 1.0;
/// What is held may grow by this part of itself while a steady load is counted.
pub const ALLOWED_STATE_GROWTH: f64 = 0.25;
const KEEP: TimeSpan = TimeSpan::from_secs(8);
const COUNTED: TimeSpan = TimeSpan::from_secs(15);

/// A kind of message whose rate at some member grows with the fleet.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Growing {
    pub phase: &'static str,
    pub kind: &'static str,
    /// From the smallest size to the largest, as a part of the rate at the smallest.
    pub rise: f64,
}

/// What the checks found at all sizes.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Findings {
    /// Rates of every kind sent in each phase, whether they grow or not.
    pub rises: Vec<Growing>,
    /// The greatest growth of what is held, as a part of it.
    pub state_growth: f64,
}

impl Findings {
    pub fn growing(&self) -> impl Iterator<Item = &Growing> {
        self.rises.iter().filter(|of| of.rise > ALLOWED_RISE)
    }

    pub fn state_grows(&self) -> bool {
        self.state_growth > ALLOWED_STATE_GROWTH
    }

    pub fn found_something(&self) -> bool {
        self.state_grows() || self.growing().next().is_some()
    }
}

/// Runs the checks at rest and under purges, with a mistake or without one.
pub fn run(
    description: &Description,
    planted: Option<Planted>,
    seed: u64,
) -> Result<Findings, String> {
    let description = shortened(description);
    let (mut rest, mut purges) = (Vec::new(), Vec::new());
    for members in SIZES {
        let setup = Setup {
            description: &description,
            members,
            lengths: Lengths {
                counted: COUNTED,
                ..Lengths::quick()
            },
            placement: Placement::FleetWide,
            planted,
            seed,
        };
        let fleet = setup.settled_fleet()?;
        // All mistakes are in what becomes of purges.
        if planted.is_none() {
            rest.push(setup.run(Phase::Rest, fleet.clone()));
        }
        purges.push(setup.run(Phase::Purges, fleet));
    }
    let mut rises = rises(&rest);
    rises.extend(self::rises(&purges));
    let growths = rest.iter().chain(&purges).map(growth);
    Ok(Findings {
        rises,
        state_growth: growths.fold(0.0, f64::max),
    })
}

/// The description with records and purges that are forgotten soon, so that a steady state comes soon.
fn shortened(description: &Description) -> Description {
    let mut description = description.clone();
    description.demand.keep = KEEP;
    description.demand.purges_last = KEEP;
    description
}

/// How each kind's rate at the member that sends most of it changes over the sizes of one phase.
pub fn rises(runs: &[PhaseFigures]) -> Vec<Growing> {
    let kinds: BTreeSet<&'static str> = runs
        .iter()
        .flat_map(|of| of.kinds.keys().copied())
        .collect();
    kinds
        .into_iter()
        .filter_map(|kind| rise(runs, kind))
        .collect()
}

fn rise(runs: &[PhaseFigures], kind: &'static str) -> Option<Growing> {
    let point = |of: &PhaseFigures| Point {
        x: of.members as f64,
        y: of.kinds.get(kind).map_or(0.0, |of| of.worst_messages_per_s),
    };
    let points: Vec<Point> = runs.iter().map(point).collect();
    let line = Line::fit(&points)?;
    let smallest = points.iter().map(|point| point.x).fold(f64::MAX, f64::min);
    let largest = points.iter().map(|point| point.x).fold(0.0, f64::max);
    let base = line.at(smallest).max(LEAST_RATE_PER_S);
    Some(Growing {
        phase: runs.first()?.phase,
        kind,
        rise: line.slope * (largest - smallest) / base,
    })
}

/// The growth of what is held as a part of what was held at the end.
fn growth(run: &PhaseFigures) -> f64 {
    run.state_growth / run.state.held().max(1.0)
}

/// Mistakes that were put in on purpose, and those of them that the checks found.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct PlantedReport {
    pub planted: Vec<&'static str>,
    pub found: Vec<&'static str>,
    /// What the checks found with no mistake put in: nothing, if all is well.
    pub without: Findings,
}

/// Runs the checks without a mistake and with each one, side by side.
pub fn run_planted(description: &Description, seed: u64) -> Result<PlantedReport, String> {
    let of = |planted: Option<Planted>| move || run(description, planted, seed);
    let (without, with_each) = std::thread::scope(|scope| {
        let without = scope.spawn(of(None));
        let with_each = Planted::ALL.map(|planted| (planted, scope.spawn(of(Some(planted)))));
        let with_each = with_each.map(|(planted, run)| (planted, run.join()));
        (without.join(), with_each)
    });
    let panicked = |_| "a check ended in a panic";
    let mut report = PlantedReport {
        without: without.map_err(panicked)??,
        ..PlantedReport::default()
    };
    for (planted, findings) in with_each {
        report.planted.push(planted.name());
        if findings.map_err(panicked)??.found_something() {
            report.found.push(planted.name());
        }
    }
    Ok(report)
}
