//! The smallest link rate and the smallest reserve for a stated service, by linear programs over an
//! account.
//!
//! For each time slot the account has the demand of each class. A link of rate `L` with a burst `B`
//! carries what fits into a token bucket; of each class the stated share has to be carried. The
//! solver finds the smallest `L` and what limits it. For priority classes on a link that all others
//! flood, the smallest rate to reserve is the same program over their demand alone.

use good_lp::{
    Expression, ProblemVariables, Solution, SolverModel, Variable, constraint, microlp, variable,
};
use serde::Serialize;
use std::collections::BTreeMap;

/// Demand in KB by time slot and class.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    /// Length of a slot in seconds.
    pub slot_s: f64,
    /// Names of the classes.
    pub classes: Vec<String>,
    /// One row for each slot, one column for each class.
    pub kb: Vec<Vec<f64>>,
}

/// The service that a link has to give.
#[derive(Clone, Debug)]
pub struct ServiceTargets {
    /// The share of its KB that has to be carried, for each class, from 0 to 1.
    pub service: Vec<f64>,
    /// Burst of the link.
    pub burst_kb: f64,
}

/// A planned link or reserve.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Plan {
    /// The smallest rate, in KB a second.
    pub kb_per_s: f64,
    /// Slots in which the link is fully used, by number from 0.
    pub binding_slots: Vec<usize>,
    /// Classes of which no more than the target is carried.
    #[serde(rename = "binding_tracks")]
    pub binding_classes: Vec<String>,
    /// The share that is carried, by class.
    pub service: BTreeMap<String, f64>,
}

/// Limit of slots that are solved for. A longer account is reduced to the slots with the highest
/// demand around its peak.
pub const MAX_SLOTS: usize = 240;
/// Tolerance of the solver's results.
const TOLERANCE: f64 = 1e-6;

/// The smallest rate that meets the targets.
pub fn min_link_rate(demand: &Demand, targets: &ServiceTargets) -> Result<Plan, String> {
    let (slots, class_count) = (demand.kb.len(), demand.classes.len());
    if slots == 0 || class_count == 0 {
        return Err("the account holds no demand to plan for".into());
    }
    if slots > MAX_SLOTS {
        return Err(format!(
            "{slots} slots: {MAX_SLOTS} at most; take wider ones"
        ));
    }
    if targets.service.len() != class_count || demand.kb.iter().any(|row| row.len() != class_count)
    {
        return Err(
            "expected a service for each class and a demand of each class in every slot".into(),
        );
    }
    let scale = demand
        .kb
        .iter()
        .flatten()
        .fold(1.0f64, |most, kb| most.max(*kb));
    let mut variables = ProblemVariables::new();
    let rate = variables.add(variable().min(0.0));
    let carried: Vec<Vec<Variable>> = demand
        .kb
        .iter()
        .map(|row| {
            let one = |kb: &f64| variable().min(0.0).max((kb / scale).max(0.0));
            row.iter().map(|kb| variables.add(one(kb))).collect()
        })
        .collect();
    let burst = targets.burst_kb / scale;
    let saved: Vec<Variable> = (0..slots)
        .map(|_| variables.add(variable().min(0.0).max(burst)))
        .collect();
    let mut model = variables.minimise(rate).using(microlp);
    for slot in 0..slots {
        let carried_in_slot: Expression = carried[slot].iter().sum();
        // Savings and what the rate adds cover what is carried and what is saved on.
        let available = match slot {
            0 => Expression::from(burst),
            _ => saved[slot - 1].into(),
        };
        model = model.with(constraint!(
            carried_in_slot + saved[slot] <= available + rate * demand.slot_s
        ));
    }
    let demanded: Vec<f64> = (0..class_count)
        .map(|class| demand.kb.iter().map(|row| row[class] / scale).sum())
        .collect();
    for class in 0..class_count {
        let all: Expression = carried.iter().map(|row| row[class]).sum();
        let required = demanded[class] * targets.service[class].clamp(0.0, 1.0);
        model = model.with(constraint!(all >= required * (1.0 - TOLERANCE)));
    }
    let solution = model
        .solve()
        .map_err(|e| format!("the solver found no rate: {e}"))?;
    let rate = solution.value(rate);
    let sum = |class: usize| {
        carried
            .iter()
            .map(|row| solution.value(row[class]))
            .sum::<f64>()
    };
    let service = |class: usize| {
        if demanded[class] > 0.0 {
            sum(class) / demanded[class]
        } else {
            1.0
        }
    };
    let is_link_full = |slot: usize| {
        let carried: f64 = carried[slot].iter().map(|one| solution.value(*one)).sum();
        let before = if slot == 0 {
            burst
        } else {
            solution.value(saved[slot - 1])
        };
        carried >= (before + rate * demand.slot_s) * (1.0 - 1e-4) && carried > TOLERANCE
    };
    let is_binding =
        |class: &usize| demanded[*class] > 0.0 && service(*class) <= targets.service[*class] + 1e-4;
    Ok(Plan {
        kb_per_s: rate * scale,
        binding_slots: (0..slots).filter(|slot| is_link_full(*slot)).collect(),
        binding_classes: (0..class_count)
            .filter(is_binding)
            .map(|class| demand.classes[class].clone())
            .collect(),
        service: (0..class_count)
            .map(|class| (demand.classes[class].clone(), service(class)))
            .collect(),
    })
}

/// The smallest rate that has to be reserved for the priority classes if all other traffic fills
/// the link.
pub fn min_reserve_rate(
    demand: &Demand,
    targets: &ServiceTargets,
    priority_classes: &[String],
) -> Result<Plan, String> {
    let columns: Vec<usize> = (0..demand.classes.len())
        .filter(|class| priority_classes.contains(&demand.classes[*class]))
        .collect();
    let priority_demand = Demand {
        slot_s: demand.slot_s,
        classes: columns
            .iter()
            .map(|class| demand.classes[*class].clone())
            .collect(),
        kb: demand
            .kb
            .iter()
            .map(|row| columns.iter().map(|class| row[*class]).collect())
            .collect(),
    };
    let service = columns
        .iter()
        .map(|class| targets.service[*class])
        .collect();
    // Other traffic may have used the burst before they come.
    let targets = ServiceTargets {
        service,
        burst_kb: 0.0,
    };
    min_link_rate(&priority_demand, &targets)
}
