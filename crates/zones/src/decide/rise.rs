//! Detection of sudden rises: a cumulative sum of how far each half second lies above the usual
//! traffic, and the reason for it.
//!
//! Sums are kept for all traffic and, separately, for the causes that are rare on ordinary days. A
//! lost cache that adds a third to all traffic lies within its random variation, but nothing is
//! refilled after a loss on an ordinary day.
//!
//! The usual traffic is the median of the last minute. Its spread is the larger of the median
//! deviation and that of the upper tail, so that a few large objects widen the spread and do not
//! move the median. One half second counts only up to a limit, so that no single object raises an
//! alarm. Cumulative sums detect a moderate, lasting rise in the least time for a given rate of
//! false alarms, which a bare threshold does not.

use crate::decide::account::Cause;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use trailproxy::units::*;

/// Settings of the detection.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Alarm {
    /// Sum of spreads above the usual at which a rise is reported. A higher value misses small
    /// rises, a lower one reports random variation.
    #[serde(rename = "at")]
    pub threshold: f64,
    /// Spreads above the usual that count as zero.
    pub slack: f64,
    /// The most that one half second counts.
    #[serde(rename = "most")]
    pub max_per_slot: f64,
}

impl Default for Alarm {
    fn default() -> Alarm {
        Alarm {
            threshold: 8.0,
            slack: 2.0,
            max_per_slot: 5.0,
        }
    }
}

/// Length of one time slot.
pub const SLOT: TimeSpan = TimeSpan::from_millis(500);
/// Number of slots that the usual is taken from, number of newest slots that are left out of it
/// because a rise may have begun in them, and number of slots needed for it.
const USUAL_SLOTS: usize = 120;
const NEWEST_SLOTS: usize = 6;
const MIN_USUAL_SLOTS: usize = 30;
/// Number of the largest parts of each slot that are remembered, to name an oversized object.
const LARGEST_PARTS: usize = 8;

/// The reason for a rise, with its evidence.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// Objects that this host held are filled again.
    HostLost(u64),
    /// Objects of this group, or this one object, are filled again after a purge.
    Purge(u64),
    /// Objects that were never requested before.
    OnceOnly,
    /// One object is most of the rise.
    Oversized(u64),
    /// Requests that are sent again.
    Retries,
    /// The caches of the zone are bypassed.
    Straight,
    /// No reason stands out.
    Unknown,
}

/// The beginning or the end of a rise.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rise {
    /// Number of the zone of the source.
    pub from: u16,
    /// Number of the zone that the bytes go to.
    pub to: u16,
    /// Whether the rise begins; otherwise it ends.
    pub begins: bool,
    /// KB a second over the last seconds.
    pub kb_per_s: f64,
    /// Usual KB a second.
    pub usual_kb_per_s: f64,
    /// The reason.
    pub reason: Reason,
    /// The share of the rise that this reason explains.
    pub share: f64,
}

/// What crossed in one time slot.
#[derive(Clone, Debug, Default)]
struct Slot {
    kb: f64,
    by_cause: BTreeMap<Cause, f64>,
    by_host: BTreeMap<HostId, f64>,
    by_purge: BTreeMap<u64, f64>,
    largest: Vec<(f64, ObjectId)>,
}

impl Slot {
    /// KB of one cause.
    fn kb_of(&self, cause: Cause) -> f64 {
        self.by_cause.get(&cause).copied().unwrap_or(0.0)
    }
}

/// One transfer, as the detection needs it.
#[derive(Clone, Copy, Debug)]
pub struct CrossingSample {
    /// Its size.
    pub kb: f64,
    /// Why it crossed.
    pub cause: Cause,
    /// The object.
    pub object: ObjectId,
    /// The host that held the object before, if its loss is the cause.
    pub lost_host: Option<HostId>,
    /// The group or object whose purge is the cause.
    pub purge: Option<u64>,
}

/// Causes with a sum of their own.
const SEPARATE_CAUSES: [Cause; 5] = [
    Cause::First,
    Cause::Purge,
    Cause::HostLost,
    Cause::Straight,
    Cause::Retry,
];
/// Factors for the slack, the limit of a slot and the threshold of an [`Alarm`]: for all traffic
/// and for first fills, and for causes that are rare on ordinary days and come in bursts.
const COMMON_FACTORS: [f64; 3] = [1.0, 1.0, 1.0];
const RARE_FACTORS: [f64; 3] = [0.5, 1.2, 0.67];
/// The smallest spread of a cause, as a fraction of the usual traffic.
const MIN_SPREAD_OF_USUAL: f64 = 0.1;

/// Watches one route between zones.
#[derive(Debug, Default)]
pub struct Watch {
    slots: VecDeque<Slot>,
    current: Slot,
    slot: Option<u64>,
    /// For all traffic, then for each cause in `SEPARATE_CAUSES`.
    sums: [f64; SEPARATE_CAUSES.len() + 1],
    /// Median and spread of each when the rise began; slots of a rise are not part of the usual.
    usual_at_rise: Option<[(f64, f64); SEPARATE_CAUSES.len() + 1]>,
    quiet_slots: u32,
}

/// The beginning or end of a rise: whether it begins, KB a second now and usually, the reason and
/// the share that it explains.
pub type RiseChange = (bool, f64, f64, Reason, f64);

/// The median and the spread above it, which is at least `least`.
fn usual(values: impl Iterator<Item = f64>, least: f64) -> Option<(f64, f64)> {
    let mut values: Vec<f64> = values.collect();
    if values.len() < MIN_USUAL_SLOTS {
        return None;
    }
    values.sort_by(f64::total_cmp);
    let at = |q: f64| values[((values.len() - 1) as f64 * q) as usize];
    let median = at(0.5);
    let mut deviations: Vec<f64> = values.iter().map(|value| (value - median).abs()).collect();
    deviations.sort_by(f64::total_cmp);
    let median_deviation = 1.4826 * deviations[deviations.len() / 2];
    let tail_deviation = (at(0.95) - median) / 1.645;
    let spread = median_deviation
        .max(tail_deviation)
        .max(0.1 * median)
        .max(least);
    Some((median, spread.max(1.0)))
}

impl Watch {
    /// Adds a transfer to the present slot.
    pub fn add(&mut self, sample: CrossingSample) {
        let slot = &mut self.current;
        slot.kb += sample.kb;
        *slot.by_cause.entry(sample.cause).or_default() += sample.kb;
        if let Some(host) = sample.lost_host.filter(|_| slot.by_host.len() < 64) {
            *slot.by_host.entry(host).or_default() += sample.kb;
        }
        if let Some(purge) = sample.purge.filter(|_| slot.by_purge.len() < 64) {
            *slot.by_purge.entry(purge).or_default() += sample.kb;
        }
        slot.largest.push((sample.kb, sample.object));
        if slot.largest.len() > LARGEST_PARTS * 4 {
            slot.largest.sort_by(|a, b| b.0.total_cmp(&a.0));
            slot.largest.truncate(LARGEST_PARTS);
        }
    }

    /// Lets time pass; at the end of a slot a rise may begin or end.
    pub fn advance(&mut self, now: Timestamp, alarm: Alarm) -> Option<RiseChange> {
        let slot = now.0 / SLOT.0;
        let before = *self.slot.get_or_insert(slot);
        // When the clock went back, the present slot continues.
        if slot <= before {
            if slot + 2 < before {
                self.slot = Some(slot);
            }
            return None;
        }
        self.slot = Some(slot);
        let mut change = None;
        // After a leap of the clock the slots in between count as empty, as many as matter.
        for nth in 0..(slot - before).min(USUAL_SLOTS as u64) {
            let ended = std::mem::take(&mut self.current);
            change = self.end_slot(ended, alarm).or(change.filter(|_| nth > 0));
        }
        change
    }

    /// Median and spread of all traffic and of each separate cause, without the newest slots.
    fn usual(&self) -> Option<[(f64, f64); SEPARATE_CAUSES.len() + 1]> {
        let old = || {
            self.slots
                .iter()
                .take(self.slots.len().saturating_sub(NEWEST_SLOTS))
        };
        let whole = usual(old().map(|slot| slot.kb), 0.0)?;
        let mut all = [whole; SEPARATE_CAUSES.len() + 1];
        for (one, cause) in all[1..].iter_mut().zip(SEPARATE_CAUSES) {
            *one = usual(
                old().map(|slot| slot.kb_of(cause)),
                MIN_SPREAD_OF_USUAL * whole.0,
            )?;
        }
        Some(all)
    }

    fn end_slot(&mut self, ended: Slot, alarm: Alarm) -> Option<RiseChange> {
        let mut values = [ended.kb; SEPARATE_CAUSES.len() + 1];
        let own = values[1..].iter_mut().zip(SEPARATE_CAUSES);
        own.for_each(|(value, cause)| *value = ended.kb_of(cause));
        self.slots.push_back(ended);
        while self.slots.len() > USUAL_SLOTS + NEWEST_SLOTS {
            self.slots.pop_front();
        }
        let now = self.usual();
        let usual = self.usual_at_rise.or(now)?;
        let (mut any, mut first) = (false, None);
        let all = self.sums.iter_mut().zip(values).zip(usual).enumerate();
        for (nth, ((sum, value), (median, spread))) in all {
            // All traffic and the first cause.
            let [slack, max_per_slot, threshold] = if nth < 2 {
                COMMON_FACTORS
            } else {
                RARE_FACTORS
            };
            let above = (value - median) / spread - slack * alarm.slack;
            *sum = (*sum + above.min(max_per_slot * alarm.max_per_slot)).max(0.0);
            any |= above > 0.0;
            first = first.or((*sum >= threshold * alarm.threshold).then_some(nth));
        }
        let per_s = 1.0 / SLOT.as_secs_f64();
        let newest = self
            .slots
            .iter()
            .rev()
            .take(NEWEST_SLOTS)
            .map(|slot| slot.kb);
        let rate = newest.sum::<f64>() / NEWEST_SLOTS as f64 * per_s;
        let (median, spread) = usual[0];
        match self.usual_at_rise {
            None => {
                let first = first?;
                self.usual_at_rise = Some(usual);
                self.quiet_slots = 0;
                let (reason, share) = match first {
                    0 => self.reason(median, None),
                    nth => self.reason(median, Some(SEPARATE_CAUSES[nth - 1])),
                };
                Some((true, rate, median * per_s, reason, share))
            }
            Some(_) => {
                self.quiet_slots = if any { 0 } else { self.quiet_slots + 1 };
                // It ends when it is over, or when it has become the usual.
                let over = self.quiet_slots >= NEWEST_SLOTS as u32 * 2;
                let settled = now.is_some_and(|now| now[0].0 > median + 2.0 * spread);
                if !(over || settled) {
                    return None;
                }
                (self.usual_at_rise, self.sums) = (None, Default::default());
                Some((false, rate, median * per_s, Reason::Unknown, 0.0))
            }
        }
    }

    /// What increased most in the last seconds and explains most of the rise; `own` is the cause
    /// that rose separately, if one did.
    fn reason(&self, median: f64, own: Option<Cause>) -> (Reason, f64) {
        let recent: Vec<&Slot> = self.slots.iter().rev().take(NEWEST_SLOTS).collect();
        let old: Vec<&Slot> = self.slots.iter().rev().skip(NEWEST_SLOTS).collect();
        let (n, m) = (recent.len().max(1) as f64, old.len().max(1) as f64);
        let increase = |cause: Cause| {
            let kb = |slot: &&Slot| slot.kb_of(cause);
            recent.iter().map(kb).sum::<f64>() / n - old.iter().map(kb).sum::<f64>() / m
        };
        let all: f64 = recent.iter().map(|slot| slot.kb).sum::<f64>() / n;
        // Where a single cause rose, the total may hardly have risen.
        let above = (all - median).max(own.map_or(0.0, increase)).max(1e-9);
        let mut objects: BTreeMap<ObjectId, f64> = BTreeMap::new();
        for (kb, object) in recent.iter().flat_map(|slot| &slot.largest) {
            *objects.entry(*object).or_default() += kb / n;
        }
        let top = objects.into_iter().max_by(|a, b| a.1.total_cmp(&b.1));
        // A rare cause that rose separately is the reason, however few objects show it.
        let may_be_oversized = own.is_none_or(|cause| cause == Cause::First);
        if let Some((object, kb)) = top.filter(|(_, kb)| may_be_oversized && *kb > 0.5 * above) {
            return (Reason::Oversized(object.0), (kb / above).min(1.0));
        }
        let causes = Cause::ALL.map(|cause| (cause, increase(cause)));
        let most = causes.into_iter().max_by(|a, b| a.1.total_cmp(&b.1));
        let most = own.map(|cause| (cause, increase(cause))).or(most);
        let Some((cause, kb)) = most.filter(|(_, kb)| *kb > 0.3 * above) else {
            return (Reason::Unknown, 0.0);
        };
        fn heaviest<Id: Copy + Ord>(all: impl Iterator<Item = (Id, f64)>) -> Option<Id> {
            let mut sums: BTreeMap<Id, f64> = BTreeMap::new();
            all.for_each(|(id, kb)| *sums.entry(id).or_default() += kb);
            sums.into_iter()
                .max_by(|a, b| a.1.total_cmp(&b.1))
                .map(|(id, _)| id)
        }
        let hosts = recent
            .iter()
            .flat_map(|slot| &slot.by_host)
            .map(|(id, kb)| (*id, *kb));
        let purges = recent
            .iter()
            .flat_map(|slot| &slot.by_purge)
            .map(|(id, kb)| (*id, *kb));
        let reason = match cause {
            Cause::HostLost => Reason::HostLost(heaviest(hosts).map_or(0, |host| host.0)),
            Cause::Purge => Reason::Purge(heaviest(purges).unwrap_or(0)),
            Cause::First => Reason::OnceOnly,
            Cause::Retry | Cause::Waste => Reason::Retries,
            Cause::Straight => Reason::Straight,
            _ => Reason::Unknown,
        };
        (reason, (kb / above).min(1.0))
    }
}
