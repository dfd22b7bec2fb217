//! A whole run by its plan: each part after the other, so that none disturbs another.

use crate::cost;
use crate::dispatcher::Place;
use crate::figures::{HollowStep, LiveFigures, ProcessFigures};
use crate::hollow;
use crate::plan::Plan;
use crate::processes;
use crate::slope::{Point, Slope};
use crate::surroundings::Surroundings;
use std::io;
use std::rc::Rc;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;

/// Measures all that the plan names. `told` hears a line about each part that is done. A signal to end stops it, and all
/// that it started ends with it.
pub fn run(plan: &Plan, place: &Place, told: &dyn Fn(&str)) -> io::Result<LiveFigures> {
    std::fs::create_dir_all(&place.folder)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let measured = async {
        let mut terminate = signal(SignalKind::terminate())?;
        tokio::select! {
            figures = measure(plan, place, told) => figures,
            _ = tokio::signal::ctrl_c() => Err(io::ErrorKind::Interrupted.into()),
            _ = terminate.recv() => Err(io::ErrorKind::Interrupted.into()),
        }
    };
    let measured = LocalSet::new().block_on(&runtime, measured);
    let _ = std::fs::remove_dir_all(&place.folder);
    measured
}

async fn measure(plan: &Plan, place: &Place, told: &dyn Fn(&str)) -> io::Result<LiveFigures> {
    let surroundings = Rc::new(Surroundings::open(plan.seed).await?);
    let mut figures = LiveFigures::default();
    for &size in &plan.members {
        figures.costs.push(cost::measure(size, plan.seed)?);
        let step = hollow::step(place, &surroundings, plan, size).await?;
        told(&format!("{} members measured", step.members));
        figures.hollow.push(step);
    }
    if plan.processes > 0 {
        for fleet in [(plan.real, false), (plan.processes, true)] {
            let rest = processes::at_rest(place, &surroundings, plan, fleet).await?;
            figures.processes.push(rest);
        }
        told("processes at rest measured");
    }
    if plan.stepped() {
        figures.loads = processes::under_load(place, &surroundings, plan, told).await?;
    }
    figures.slopes.extend(processes::by_load(&figures.loads));
    figures.slopes.extend(by_member(&figures.hollow));
    Ok(figures)
}

/// How what a real one uses grows with the members of the fleet; each real one at each size is a point. Sizes that did not
/// settle are left out: they are not at rest.
fn by_member(steps: &[HollowStep]) -> Vec<Slope> {
    let points = |value: &dyn Fn(&ProcessFigures) -> f64| -> Vec<Point> {
        let of_step = |step: &HollowStep| -> Vec<Point> {
            let x = step.members as f64;
            let points = step.processes.iter().map(|of| Point { x, y: value(of) });
            points.collect()
        };
        let steps = steps.iter().filter(|step| step.settled_after_s.is_some());
        steps.flat_map(of_step).collect()
    };
    let wire = |of: &ProcessFigures| of.wire.unwrap_or_default();
    let fits = [
        Slope::fit(
            "core %",
            "member",
            &points(&|of| of.processor_share() * 100.0),
        ),
        Slope::fit("RSS KB", "member", &points(&|of| of.resident_kb as f64)),
        Slope::fit(
            "messages/s",
            "member",
            &points(&|of| wire(of).messages_per_s()),
        ),
        Slope::fit("bytes/s", "member", &points(&|of| wire(of).bytes_per_s())),
    ];
    fits.into_iter().flatten().collect()
}
