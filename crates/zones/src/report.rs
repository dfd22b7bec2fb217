//! What a dispatcher tells of its account: one line a window, in names, with totals since its start.
//!
//! A line holds totals and not differences, so that a lost line loses nothing but when it happened.

use crate::decide::Zones;
use crate::decide::account::Cause;
use crate::decide::config::Names;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use trailproxy::units::{ClassId, TimeSpan, Timestamp, ZoneId};

/// One line of the account since the dispatcher's start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportLine {
    pub from: String,
    pub to: String,
    pub tier: String,
    #[serde(rename = "track")]
    pub class: String,
    pub cause: String,
    pub moves: u64,
    /// In KB of 1,024 bytes, as everywhere here.
    pub kb: f64,
}

/// What crossed lately on one way.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    pub from: String,
    pub to: String,
    pub kb_1s: f64,
    pub kb_10s: f64,
    pub kb_60s: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BudgetLine {
    pub name: String,
    pub kb_per_s: f64,
    pub saved_kb: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RefusedRequests {
    #[serde(rename = "track")]
    pub class: String,
    #[serde(rename = "accesses")]
    pub requests: u64,
    pub kb: f64,
}

/// One report. Two with another `life` come from two starts of the dispatcher.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub dispatcher: String,
    #[serde(rename = "life")]
    pub boot: u64,
    pub at_us: u64,
    pub lines: Vec<ReportLine>,
    #[serde(rename = "ways")]
    pub routes: Vec<Route>,
    pub budgets: Vec<BudgetLine>,
    #[serde(rename = "turned_away")]
    pub refused: Vec<RefusedRequests>,
    #[serde(rename = "under_way_kb")]
    pub in_flight_kb: f64,
    pub left_out_kb: f64,
}

/// Three digits after the point: a byte.
fn short(kb: f64) -> f64 {
    // An empty sum is a negative zero.
    (kb * 1e3).round() / 1e3 + 0.0
}

impl Report {
    /// What `zones` has to tell at `now`.
    pub fn of(zones: &Zones, names: &Names, dispatcher: &str, life: u64, now: Timestamp) -> Report {
        let zone = |id: ZoneId| name(&names.zones, usize::from(id.0));
        let track = |id: ClassId| name(&names.classes, usize::from(id.0));
        let account = zones.account();
        let line = |(key, sum): (
            &crate::decide::account::AccountKey,
            &crate::decide::account::Total,
        )| ReportLine {
            from: zone(key.from),
            to: zone(key.to),
            tier: key.tier.name().into(),
            class: track(key.class),
            cause: key.cause.name().into(),
            moves: sum.moves,
            kb: short(sum.kb),
        };
        let mut ways: BTreeMap<(ZoneId, ZoneId), [f64; 3]> = BTreeMap::new();
        for (nth, s) in [1, 10, 60].into_iter().enumerate() {
            for (key, sum) in account.sums_within(now, TimeSpan::from_secs(s)) {
                ways.entry((key.from, key.to)).or_default()[nth] += sum.kb;
            }
        }
        let way = |((from, to), kb): ((ZoneId, ZoneId), [f64; 3])| Route {
            from: zone(from),
            to: zone(to),
            kb_1s: short(kb[0]),
            kb_10s: short(kb[1]),
            kb_60s: short(kb[2]),
        };
        let refused = zones.refused().into_iter().zip(0..);
        let refused = refused.filter(|((n, _), _)| *n > 0);
        Report {
            dispatcher: dispatcher.into(),
            boot: life,
            at_us: now.0,
            lines: account.totals().iter().map(line).collect(),
            routes: ways.into_iter().map(way).collect(),
            budgets: zones
                .budgets()
                .iter()
                .map(|budget| BudgetLine {
                    name: budget.limit.name.clone(),
                    kb_per_s: short(budget.rate()),
                    saved_kb: short(budget.saved_kb()),
                })
                .collect(),
            refused: refused
                .map(|((accesses, kb), nth)| RefusedRequests {
                    class: track(ClassId(nth)),
                    requests: accesses,
                    kb: short(kb),
                })
                .collect(),
            in_flight_kb: short(zones.in_flight_kb()),
            left_out_kb: short(account.left_out_kb()),
        }
    }
}

/// The name at a place, or its number where there is none.
pub fn name(names: &[String], nth: usize) -> String {
    names.get(nth).cloned().unwrap_or_else(|| nth.to_string())
}

/// The account's causes, in the order in which pages show them.
pub fn causes() -> impl Iterator<Item = &'static str> {
    Cause::ALL.into_iter().map(Cause::name)
}
