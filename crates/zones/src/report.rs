//! Report of a dispatcher's account: one log line for each interval, with names and with totals
//! since the start.
//!
//! A line holds totals, not differences, so that a lost line loses nothing but the time of the
//! traffic.

use crate::decide::Zones;
use crate::decide::account::Cause;
use crate::decide::config::Names;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use trailproxy::units::{ClassId, TimeSpan, Timestamp, ZoneId};

/// One line of the account since the dispatcher's start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportLine {
    /// Zone of the source.
    pub from: String,
    /// Zone that the bytes go to.
    pub to: String,
    /// Tier of the source.
    pub tier: String,
    /// Class of the requests.
    #[serde(rename = "track")]
    pub class: String,
    /// Why the bytes crossed.
    pub cause: String,
    /// Number of transfers.
    pub moves: u64,
    /// KB of 1,024 bytes, as everywhere here.
    pub kb: f64,
}

/// Recent traffic on one route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Zone of the source.
    pub from: String,
    /// Zone that the bytes go to.
    pub to: String,
    /// KB in the last second.
    pub kb_1s: f64,
    /// KB in the last 10 seconds.
    pub kb_10s: f64,
    /// KB in the last 60 seconds.
    pub kb_60s: f64,
}

/// State of one crossing budget.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BudgetLine {
    /// Name of the limit.
    pub name: String,
    /// Rate of all dispatchers together.
    pub kb_per_s: f64,
    /// KB saved in the buckets.
    pub saved_kb: f64,
}

/// Refused requests of one class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RefusedRequests {
    /// Class of the requests.
    #[serde(rename = "track")]
    pub class: String,
    /// Number of requests.
    #[serde(rename = "accesses")]
    pub requests: u64,
    /// KB that they were expected to transfer.
    pub kb: f64,
}

/// One report. Reports with different `boot` come from different processes of the dispatcher.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the dispatcher.
    pub dispatcher: String,
    /// Number of the process of the dispatcher.
    #[serde(rename = "life")]
    pub boot: u64,
    /// Time of the report, in microseconds.
    pub at_us: u64,
    /// The lines of the account.
    pub lines: Vec<ReportLine>,
    /// Recent traffic by route.
    #[serde(rename = "ways")]
    pub routes: Vec<Route>,
    /// The crossing budgets.
    pub budgets: Vec<BudgetLine>,
    /// Refused requests by class.
    #[serde(rename = "turned_away")]
    pub refused: Vec<RefusedRequests>,
    /// KB that the crossings in flight are expected to transfer.
    #[serde(rename = "under_way_kb")]
    pub in_flight_kb: f64,
    /// KB that no line was left for.
    pub left_out_kb: f64,
}

/// Rounds to three decimals, which is about one byte.
fn round_kb(kb: f64) -> f64 {
    // The sum of nothing is a negative zero.
    (kb * 1e3).round() / 1e3 + 0.0
}

impl Report {
    /// The report of `zones` at `now`.
    pub fn of(zones: &Zones, names: &Names, dispatcher: &str, boot: u64, now: Timestamp) -> Report {
        let zone_name = |id: ZoneId| name(&names.zones, usize::from(id.0));
        let class_name = |id: ClassId| name(&names.classes, usize::from(id.0));
        let account = zones.account();
        let line = |(key, sum): (
            &crate::decide::account::AccountKey,
            &crate::decide::account::Total,
        )| ReportLine {
            from: zone_name(key.from),
            to: zone_name(key.to),
            tier: key.tier.name().into(),
            class: class_name(key.class),
            cause: key.cause.name().into(),
            moves: sum.moves,
            kb: round_kb(sum.kb),
        };
        let mut routes: BTreeMap<(ZoneId, ZoneId), [f64; 3]> = BTreeMap::new();
        for (index, s) in [1, 10, 60].into_iter().enumerate() {
            for (key, sum) in account.sums_within(now, TimeSpan::from_secs(s)) {
                routes.entry((key.from, key.to)).or_default()[index] += sum.kb;
            }
        }
        let route = |((from, to), kb): ((ZoneId, ZoneId), [f64; 3])| Route {
            from: zone_name(from),
            to: zone_name(to),
            kb_1s: round_kb(kb[0]),
            kb_10s: round_kb(kb[1]),
            kb_60s: round_kb(kb[2]),
        };
        let refused = zones.refused().into_iter().zip(0..);
        let refused = refused.filter(|((n, _), _)| *n > 0);
        Report {
            dispatcher: dispatcher.into(),
            boot,
            at_us: now.0,
            lines: account.totals().iter().map(line).collect(),
            routes: routes.into_iter().map(route).collect(),
            budgets: zones
                .budgets()
                .iter()
                .map(|budget| BudgetLine {
                    name: budget.limit.name.clone(),
                    kb_per_s: round_kb(budget.rate()),
                    saved_kb: round_kb(budget.saved_kb()),
                })
                .collect(),
            refused: refused
                .map(|((requests, kb), index)| RefusedRequests {
                    class: class_name(ClassId(index)),
                    requests,
                    kb: round_kb(kb),
                })
                .collect(),
            in_flight_kb: round_kb(zones.in_flight_kb()),
            left_out_kb: round_kb(account.left_out_kb()),
        }
    }
}

/// The name at an index, or the index where there is no name.
pub fn name(names: &[String], index: usize) -> String {
    names
        .get(index)
        .cloned()
        .unwrap_or_else(|| index.to_string())
}

/// Names of all causes, in the order of reports.
pub fn causes() -> impl Iterator<Item = &'static str> {
    Cause::ALL.into_iter().map(Cause::name)
}
