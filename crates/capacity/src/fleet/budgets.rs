//! Budgets that all members divide among them, and whether their parts ever exceed the whole.

use crate::layout::Layout;
use trailproxy::units::{TimeSpan, Timestamp};
use trailproxy_budgets::config::BudgetsConfig;
use trailproxy_budgets::decide::shares::{BudgetShares, NamedBudget};
use trailproxy_budgets::decide::{BootId, BudgetId, HolderId};

/// How often needs are told and parts are summed up.
pub const EVERY: TimeSpan = TimeSpan::from_millis(100);
/// Names of the budgets, and what all members together need of each, as a part of its whole.
const BUDGETS: [(&str, f64); 3] = [("crossing", 0.6), ("origin", 1.5), ("refill", 4.0)];
const VOTERS: usize = 5;
const FLOORS: f64 = 0.25;
const LASTS_S: f64 = 2.0;
const WHOLE: f64 = 1_000.0;
/// The need of a site rises and falls by half over this.
const SWING: TimeSpan = TimeSpan::from_secs(20);
/// Sums of parts beyond the whole by less are rounding.
const ROUNDING: f64 = 1e-9;

/// The settings that all members have.
pub fn sheet(voters: Vec<String>) -> BudgetsConfig {
    BudgetsConfig {
        file: "fleet".into(),
        position: (1, 1),
        voters,
        floors: FLOORS,
        lasts_s: LASTS_S,
        cold: false,
    }
}

/// Members that vote: spread evenly over all, so that they are at different places.
pub fn voters(members: usize) -> Vec<usize> {
    let count = VOTERS.min(members - (members + 1) % 2);
    (0..count).map(|nth| nth * members / count).collect()
}

/// One member's side of all budgets.
pub fn shares(
    now: Timestamp,
    own: (HolderId, BootId),
    voters: &[String],
    seats: usize,
    seed: u64,
) -> BudgetShares {
    let sheet = sheet(voters.to_vec());
    let division = sheet.division(seats as u32);
    let holders = voters.iter().map(|name| HolderId::of_name(name)).collect();
    let mut shares = BudgetShares::new(own.0, own.1, holders, seed);
    let named = |&(name, _): &(&str, f64)| NamedBudget {
        name: name.into(),
        total: WHOLE,
        division,
    };
    shares.set_budgets(now, BUDGETS.iter().map(named).collect());
    shares
}

/// Tells what a member needs now: uneven by its load, and swinging with its site.
pub fn tell_needs(shares: &mut BudgetShares, now: Timestamp, layout: &Layout, member: usize) {
    let location = &layout.members[member];
    let phase = now.0 as f64 / SWING.0 as f64 + location.site as f64 / 7.0;
    let swing = 1.0 + 0.5 * (phase * std::f64::consts::TAU).sin();
    for (name, of_all) in BUDGETS {
        let part = of_all * location.load * swing / layout.members.len() as f64;
        shares.set_need(now, BudgetId::of_name(name), part, 0.0);
    }
}

/// Budgets of which all these members together may use more than the whole.
pub fn overruns<'a>(now: Timestamp, all: impl Iterator<Item = &'a BudgetShares> + Clone) -> u64 {
    let overrun = |name: &str| {
        let id = BudgetId::of_name(name);
        let parts = all.clone().filter_map(|shares| shares.part(now, id));
        parts.map(|part| part.fraction).sum::<f64>() > 1.0 + ROUNDING
    };
    BUDGETS.iter().filter(|(name, _)| overrun(name)).count() as u64
}
