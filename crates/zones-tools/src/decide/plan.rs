//! The smallest link, and the smallest reserve, for a stated service: linear programs over an account.
//!
//! For each slot of time the account tells what each track asked for. A link of rate `L` with a burst `B` carries
//! what fits into a bucket; of each track the stated part has to get through. The least `L`, and what binds, come
//! from the solver. With first tracks flooded by all others, the least rate kept for them is the same program over
//! their demand alone.

use good_lp::{
    Expression, ProblemVariables, Solution, SolverModel, Variable, constraint, microlp, variable,
};
use serde::Serialize;
use std::collections::BTreeMap;

/// What was asked for: KB by slot, by track.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    pub slot_s: f64,
    pub classes: Vec<String>,
    /// One row a slot, one column a track.
    pub kb: Vec<Vec<f64>>,
}

/// The part of its KB that must get through, for each track, from 0 to 1.
#[derive(Clone, Debug)]
pub struct ServiceTargets {
    pub service: Vec<f64>,
    pub burst_kb: f64,
}

#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Plan {
    /// The least rate, in KB a second.
    pub kb_per_s: f64,
    /// Slots in which the link is wholly used, by number from 0.
    pub binding_slots: Vec<usize>,
    /// Tracks of which no more than promised gets through.
    #[serde(rename = "binding_tracks")]
    pub binding_classes: Vec<String>,
    /// What gets through, by track.
    pub service: BTreeMap<String, f64>,
}

/// The most slots that are solved for; a longer account is cut into the slots that ask for most around its peak.
pub const MAX_SLOTS: usize = 240;
const NEAR: f64 = 1e-6;

/// The least rate that keeps the promise.
pub fn min_link_rate(demand: &Demand, promise: &ServiceTargets) -> Result<Plan, String> {
    let (slots, tracks) = (demand.kb.len(), demand.classes.len());
    if slots == 0 || tracks == 0 {
        return Err("the account holds no demand to plan for".into());
    }
    if slots > MAX_SLOTS {
        return Err(format!(
            "{slots} slots: {MAX_SLOTS} at most; take wider ones"
        ));
    }
    if promise.service.len() != tracks || demand.kb.iter().any(|row| row.len() != tracks) {
        return Err("a service for each track, and a demand of each in every slot".into());
    }
    let scale = demand
        .kb
        .iter()
        .flatten()
        .fold(1.0f64, |most, kb| most.max(*kb));
    let mut variables = ProblemVariables::new();
    let rate = variables.add(variable().min(0.0));
    let through: Vec<Vec<Variable>> = demand
        .kb
        .iter()
        .map(|row| {
            let one = |kb: &f64| variable().min(0.0).max((kb / scale).max(0.0));
            row.iter().map(|kb| variables.add(one(kb))).collect()
        })
        .collect();
    let burst = promise.burst_kb / scale;
    let saved: Vec<Variable> = (0..slots)
        .map(|_| variables.add(variable().min(0.0).max(burst)))
        .collect();
    let mut model = variables.minimise(rate).using(microlp);
    for slot in 0..slots {
        let used: Expression = through[slot].iter().sum();
        // What was saved, and what comes in, covers what goes through and what is saved on.
        let had = match slot {
            0 => Expression::from(burst),
            _ => saved[slot - 1].into(),
        };
        model = model.with(constraint!(
            used + saved[slot] <= had + rate * demand.slot_s
        ));
    }
    let asked: Vec<f64> = (0..tracks)
        .map(|track| demand.kb.iter().map(|row| row[track] / scale).sum())
        .collect();
    for track in 0..tracks {
        let all: Expression = through.iter().map(|row| row[track]).sum();
        let least = asked[track] * promise.service[track].clamp(0.0, 1.0);
        model = model.with(constraint!(all >= least * (1.0 - NEAR)));
    }
    let solved = model
        .solve()
        .map_err(|e| format!("the solver found no rate: {e}"))?;
    let rate = solved.value(rate);
    let sum = |track: usize| {
        through
            .iter()
            .map(|row| solved.value(row[track]))
            .sum::<f64>()
    };
    let service = |track: usize| {
        if asked[track] > 0.0 {
            sum(track) / asked[track]
        } else {
            1.0
        }
    };
    let used = |slot: usize| {
        let through: f64 = through[slot].iter().map(|one| solved.value(*one)).sum();
        let before = if slot == 0 {
            burst
        } else {
            solved.value(saved[slot - 1])
        };
        through >= (before + rate * demand.slot_s) * (1.0 - 1e-4) && through > NEAR
    };
    let tight =
        |track: &usize| asked[*track] > 0.0 && service(*track) <= promise.service[*track] + 1e-4;
    Ok(Plan {
        kb_per_s: rate * scale,
        binding_slots: (0..slots).filter(|slot| used(*slot)).collect(),
        binding_classes: (0..tracks)
            .filter(tight)
            .map(|track| demand.classes[track].clone())
            .collect(),
        service: (0..tracks)
            .map(|track| (demand.classes[track].clone(), service(track)))
            .collect(),
    })
}

/// The least rate that must be kept for the first tracks, were all else to fill the link.
pub fn min_reserve_rate(
    demand: &Demand,
    promise: &ServiceTargets,
    first: &[String],
) -> Result<Plan, String> {
    let of: Vec<usize> = (0..demand.classes.len())
        .filter(|track| first.contains(&demand.classes[*track]))
        .collect();
    let own = Demand {
        slot_s: demand.slot_s,
        classes: of
            .iter()
            .map(|track| demand.classes[*track].clone())
            .collect(),
        kb: demand
            .kb
            .iter()
            .map(|row| of.iter().map(|track| row[*track]).collect())
            .collect(),
    };
    let service = of.iter().map(|track| promise.service[*track]).collect();
    // All else may have spent the burst when they come.
    let promise = ServiceTargets {
        service,
        burst_kb: 0.0,
    };
    min_link_rate(&own, &promise)
}
