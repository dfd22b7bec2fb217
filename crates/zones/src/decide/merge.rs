//! Merges the reports of several dispatchers, over several restarts, into one account.

use crate::report::Report;
use serde::Serialize;
use std::collections::BTreeMap;

/// A route between zones with tier, class and cause, all by name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Row {
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
}

/// Sum of one row.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Total {
    /// Number of transfers.
    pub moves: u64,
    /// KB of 1,024 bytes.
    pub kb: f64,
}

/// What crossed and what was refused in one time slot.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Slot {
    /// KB by source zone, destination zone and class.
    pub crossed: BTreeMap<(String, String, String), f64>,
    /// KB by class.
    pub refused: BTreeMap<String, f64>,
}

/// One account of all reports.
#[derive(Clone, Debug, Default)]
pub struct Merged {
    /// The sums by row.
    pub rows: BTreeMap<Row, Total>,
    /// Slots by number, counted from the Unix epoch.
    pub slots: BTreeMap<u64, Slot>,
    /// Length of a slot in microseconds.
    pub slot_us: u64,
    /// Number of reports.
    pub reports: usize,
    /// Number of dispatcher processes that the reports come from.
    pub boots: usize,
    /// Reports that came twice or whose totals decreased within one process; they are not counted.
    pub out_of_order: usize,
    /// Refused requests by class.
    pub refused: BTreeMap<String, Total>,
    /// KB that the dispatchers had no line for.
    pub left_out_kb: f64,
}

/// Limit of slots; longer accounts have wider slots.
const MAX_SLOTS: u64 = 20_000;

/// Adds up the differences between successive reports of each dispatcher process.
pub fn merge(mut reports: Vec<Report>, slot_us: u64) -> Merged {
    reports.sort_by(|a, b| (&a.dispatcher, a.boot, a.at_us).cmp(&(&b.dispatcher, b.boot, b.at_us)));
    let first = reports.iter().map(|report| report.at_us).min().unwrap_or(0);
    let last = reports.iter().map(|report| report.at_us).max().unwrap_or(0);
    let slot_us = slot_us.max(1).max((last - first) / MAX_SLOTS);
    let mut merged = Merged {
        slot_us,
        reports: reports.len(),
        ..Merged::default()
    };
    let mut previous: Option<(&Report, BTreeMap<Row, Total>)> = None;
    for report in &reports {
        let same =
            |other: &Report| (&other.dispatcher, other.boot) == (&report.dispatcher, report.boot);
        let former = previous.take().filter(|(other, _)| same(other));
        let mut now: BTreeMap<Row, Total> = BTreeMap::new();
        for line in &report.lines {
            let row = Row {
                from: line.from.clone(),
                to: line.to.clone(),
                tier: line.tier.clone(),
                class: line.class.clone(),
                cause: line.cause.clone(),
            };
            let total = now.entry(row).or_default();
            (total.moves, total.kb) = (total.moves + line.moves, total.kb + line.kb);
        }
        let old = former.as_ref().map(|(_, old)| old);
        let decreased =
            |(row, was): (&Row, &Total)| now.get(row).is_none_or(|is| is.moves < was.moves);
        if old.is_some_and(|old| old.iter().any(decreased)) {
            merged.out_of_order += 1;
            previous = former;
            continue;
        }
        merged.boots += usize::from(former.is_none());
        let slot = merged.slots.entry(report.at_us / slot_us).or_default();
        for (row, is) in &now {
            let was = old
                .and_then(|old| old.get(row))
                .copied()
                .unwrap_or_default();
            let (moves, kb) = (is.moves - was.moves, is.kb - was.kb);
            let total = merged.rows.entry(row.clone()).or_default();
            (total.moves, total.kb) = (total.moves + moves, total.kb + kb);
            let route = (row.from.clone(), row.to.clone(), row.class.clone());
            *slot.crossed.entry(route).or_default() += kb;
        }
        let earlier = former.as_ref().map(|(other, _)| *other);
        for refused in &report.refused {
            let was =
                earlier.and_then(|other| other.refused.iter().find(|r| r.class == refused.class));
            let (n, kb) = was.map_or((0, 0.0), |was| (was.requests, was.kb));
            let total = merged.refused.entry(refused.class.clone()).or_default();
            total.moves += refused.requests.saturating_sub(n);
            total.kb += refused.kb - kb;
            *slot.refused.entry(refused.class.clone()).or_default() += refused.kb - kb;
        }
        merged.left_out_kb += report.left_out_kb - earlier.map_or(0.0, |other| other.left_out_kb);
        previous = Some((report, now));
    }
    merged
}

impl Merged {
    /// Sums of the rows for which `key` is the same.
    pub fn by<K: Ord>(&self, key: impl Fn(&Row) -> K) -> BTreeMap<K, Total> {
        let mut sums: BTreeMap<K, Total> = BTreeMap::new();
        for (row, total) in &self.rows {
            let sum = sums.entry(key(row)).or_default();
            (sum.moves, sum.kb) = (sum.moves + total.moves, sum.kb + total.kb);
        }
        sums
    }
}
