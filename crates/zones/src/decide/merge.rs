//! Reports of several dispatchers, over several starts, as one account.

use crate::report::Report;
use serde::Serialize;
use std::collections::BTreeMap;

/// A way between zones with its track, tier and cause, in names.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Row {
    pub from: String,
    pub to: String,
    pub tier: String,
    #[serde(rename = "track")]
    pub class: String,
    pub cause: String,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Total {
    pub moves: u64,
    pub kb: f64,
}

/// What crossed and what found no room in one slot of time, by way and track.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Slot {
    pub crossed: BTreeMap<(String, String, String), f64>,
    /// By track.
    pub refused: BTreeMap<String, f64>,
}

/// One account of all that was read.
#[derive(Clone, Debug, Default)]
pub struct Merged {
    pub rows: BTreeMap<Row, Total>,
    /// Slots by their number from the Unix epoch on.
    pub slots: BTreeMap<u64, Slot>,
    pub slot_us: u64,
    pub reports: usize,
    pub boots: usize,
    /// Reports whose totals fell within one life, or that came twice: not counted.
    pub out_of_order: usize,
    pub refused: BTreeMap<String, Total>,
    pub left_out_kb: f64,
}

/// The most slots that are kept; beyond, a day's reports go into wider ones.
const MOST_SLOTS: u64 = 20_000;

/// Adds up the differences between one report and the next of each life.
pub fn merge(mut reports: Vec<Report>, slot_us: u64) -> Merged {
    reports.sort_by(|a, b| (&a.dispatcher, a.boot, a.at_us).cmp(&(&b.dispatcher, b.boot, b.at_us)));
    let first = reports.iter().map(|report| report.at_us).min().unwrap_or(0);
    let last = reports.iter().map(|report| report.at_us).max().unwrap_or(0);
    let slot_us = slot_us.max(1).max((last - first) / MOST_SLOTS);
    let mut merged = Merged {
        slot_us,
        reports: reports.len(),
        ..Merged::default()
    };
    let mut before: Option<(&Report, BTreeMap<Row, Total>)> = None;
    for report in &reports {
        let same =
            |other: &Report| (&other.dispatcher, other.boot) == (&report.dispatcher, report.boot);
        let former = before.take().filter(|(other, _)| same(other));
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
        let fell = |(row, was): (&Row, &Total)| now.get(row).is_none_or(|is| is.moves < was.moves);
        if old.is_some_and(|old| old.iter().any(fell)) {
            merged.out_of_order += 1;
            before = former;
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
            let way = (row.from.clone(), row.to.clone(), row.class.clone());
            *slot.crossed.entry(way).or_default() += kb;
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
        before = Some((report, now));
    }
    merged
}

impl Merged {
    /// Sums over rows that agree in what `key` takes of them.
    pub fn by<K: Ord>(&self, key: impl Fn(&Row) -> K) -> BTreeMap<K, Total> {
        let mut sums: BTreeMap<K, Total> = BTreeMap::new();
        for (row, total) in &self.rows {
            let sum = sums.entry(key(row)).or_default();
            (sum.moves, sum.kb) = (sum.moves + total.moves, sum.kb + total.kb);
        }
        sums
    }
}
