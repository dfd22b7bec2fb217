//! Sudden rises: a cumulative sum over how far each half second lies above what is usual, and why it does.
//!
//! Summed are all that crosses and, each for itself, the causes that are rare on ordinary days: a lost cache that adds
//! a third to the whole is within its chance, but nothing is refilled after a loss on an ordinary day.
//!
//! The usual is the median of the last minute, its spread the larger of the median's and the upper tail's, so that a
//! few large objects widen what counts as usual in place of moving it. One half second counts for so much at most,
//! so that no single object raises an alarm. Cumulative sums find a moderate, lasting rise in the least time for a
//! given rate of false alarms, which a bare threshold does not.

use crate::decide::account::Cause;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use trailproxy::units::*;

/// What has to be far from usual before it is told.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Alarm {
    /// Sum of spreads above usual at which it is told. More misses small rises, less tells of chance.
    #[serde(rename = "at")]
    pub threshold: f64,
    /// Spreads above usual that count as nothing.
    pub slack: f64,
    /// What one half second counts for at most.
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

pub const SLOT: TimeSpan = TimeSpan::from_millis(500);
/// Slots that make up the usual, and the newest that are left out of it, as a rise may have begun in them.
const USUAL: usize = 120;
const LATELY: usize = 6;
const LEAST: usize = 30;
/// Large parts of the last slots that are remembered, to name an oversized object.
const LARGEST: usize = 8;

/// Why a rise may have come, with what speaks for it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// Objects that this host had are filled again.
    HostLost(u64),
    /// Objects of this group, or this one object, are filled again.
    Purge(u64),
    /// Objects that were never asked for before.
    OnceOnly,
    /// One object is most of it.
    Oversized(u64),
    /// Accesses that are sent again.
    Retries,
    /// Caches of the zone are passed by.
    Straight,
    Unknown,
}

/// A rise, or its end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rise {
    pub from: u16,
    pub to: u16,
    pub begins: bool,
    /// KB a second over the last seconds, and what is usual.
    pub kb_per_s: f64,
    pub usual_kb_per_s: f64,
    pub reason: Reason,
    /// The part of what is above usual that this reason explains.
    pub share: f64,
}

#[derive(Clone, Debug, Default)]
struct Slot {
    kb: f64,
    by_cause: BTreeMap<Cause, f64>,
    by_host: BTreeMap<HostId, f64>,
    by_purge: BTreeMap<u64, f64>,
    largest: Vec<(f64, ObjectId)>,
}

impl Slot {
    fn of(&self, cause: Cause) -> f64 {
        self.by_cause.get(&cause).copied().unwrap_or(0.0)
    }
}

/// What crossed, as the detector sees it.
#[derive(Clone, Copy, Debug)]
pub struct CrossingSample {
    pub kb: f64,
    pub cause: Cause,
    pub object: ObjectId,
    /// The host that had it before, where that is why it crossed.
    pub lost: Option<HostId>,
    /// Group or object whose purge is why it crossed.
    pub purge: Option<u64>,
}

/// What is summed beside the whole.
const OWN: [Cause; 5] = [
    Cause::First,
    Cause::Purge,
    Cause::HostLost,
    Cause::Straight,
    Cause::Retry,
];
/// How far from usual counts for the whole and for what is first filled, and for causes that are rare on ordinary
/// days, which come in fits: as parts of the slack, the top and the sum of an [`Alarm`].
const OFTEN: [f64; 3] = [1.0, 1.0, 1.0];
const RARE: [f64; 3] = [0.5, 1.2, 0.67];
/// A cause counts as usual up to this part of the whole for each of its spreads.
const OF_WHOLE: f64 = 0.1;

/// Watches one way between zones.
#[derive(Debug, Default)]
pub struct Watch {
    slots: VecDeque<Slot>,
    running: Slot,
    slot: Option<u64>,
    /// Of the whole, then of each own cause.
    sums: [f64; OWN.len() + 1],
    /// Median and spread of each when a rise began; slots of a rise are not part of the usual.
    risen: Option<[(f64, f64); OWN.len() + 1]>,
    quiet: u32,
}

/// What a turn tells: whether it begins, KB a second now and usually, why, and the part that explains.
pub type RiseChange = (bool, f64, f64, Reason, f64);

/// Median, and spread above it, which is `least` or more.
fn usual(values: impl Iterator<Item = f64>, least: f64) -> Option<(f64, f64)> {
    let mut values: Vec<f64> = values.collect();
    if values.len() < LEAST {
        return None;
    }
    values.sort_by(f64::total_cmp);
    let at = |q: f64| values[((values.len() - 1) as f64 * q) as usize];
    let median = at(0.5);
    let mut apart: Vec<f64> = values.iter().map(|value| (value - median).abs()).collect();
    apart.sort_by(f64::total_cmp);
    let middle = 1.4826 * apart[apart.len() / 2];
    let tail = (at(0.95) - median) / 1.645;
    let spread = middle.max(tail).max(0.1 * median).max(least);
    Some((median, spread.max(1.0)))
}

impl Watch {
    pub fn add(&mut self, part: CrossingSample) {
        let slot = &mut self.running;
        slot.kb += part.kb;
        *slot.by_cause.entry(part.cause).or_default() += part.kb;
        if let Some(host) = part.lost.filter(|_| slot.by_host.len() < 64) {
            *slot.by_host.entry(host).or_default() += part.kb;
        }
        if let Some(purge) = part.purge.filter(|_| slot.by_purge.len() < 64) {
            *slot.by_purge.entry(purge).or_default() += part.kb;
        }
        slot.largest.push((part.kb, part.object));
        if slot.largest.len() > LARGEST * 4 {
            slot.largest.sort_by(|a, b| b.0.total_cmp(&a.0));
            slot.largest.truncate(LARGEST);
        }
    }

    /// Lets time pass; at the end of a slot a rise may begin or end.
    pub fn advance(&mut self, now: Timestamp, alarm: Alarm) -> Option<RiseChange> {
        let slot = now.0 / SLOT.0;
        let before = *self.slot.get_or_insert(slot);
        // A clock that went back goes on in its running slot.
        if slot <= before {
            if slot + 2 < before {
                self.slot = Some(slot);
            }
            return None;
        }
        self.slot = Some(slot);
        let mut told = None;
        // After a leap the slots between count as silence, as many as matter.
        for nth in 0..(slot - before).min(USUAL as u64) {
            let ended = std::mem::take(&mut self.running);
            told = self.end_slot(ended, alarm).or(told.filter(|_| nth > 0));
        }
        told
    }

    /// Median and spread of the whole and of each own cause, from all slots but the newest.
    fn usual(&self) -> Option<[(f64, f64); OWN.len() + 1]> {
        let old = || {
            self.slots
                .iter()
                .take(self.slots.len().saturating_sub(LATELY))
        };
        let whole = usual(old().map(|slot| slot.kb), 0.0)?;
        let mut all = [whole; OWN.len() + 1];
        for (one, cause) in all[1..].iter_mut().zip(OWN) {
            *one = usual(old().map(|slot| slot.of(cause)), OF_WHOLE * whole.0)?;
        }
        Some(all)
    }

    fn end_slot(&mut self, ended: Slot, alarm: Alarm) -> Option<RiseChange> {
        let mut values = [ended.kb; OWN.len() + 1];
        let own = values[1..].iter_mut().zip(OWN);
        own.for_each(|(value, cause)| *value = ended.of(cause));
        self.slots.push_back(ended);
        while self.slots.len() > USUAL + LATELY {
            self.slots.pop_front();
        }
        let now = self.usual();
        let usual = self.risen.or(now)?;
        let (mut any, mut first) = (false, None);
        let all = self.sums.iter_mut().zip(values).zip(usual).enumerate();
        for (nth, ((sum, value), (median, spread))) in all {
            // The whole and the first cause.
            let [slack, most, at] = if nth < 2 { OFTEN } else { RARE };
            let above = (value - median) / spread - slack * alarm.slack;
            *sum = (*sum + above.min(most * alarm.max_per_slot)).max(0.0);
            any |= above > 0.0;
            first = first.or((*sum >= at * alarm.threshold).then_some(nth));
        }
        let per_s = 1.0 / SLOT.as_secs_f64();
        let lately = self.slots.iter().rev().take(LATELY).map(|slot| slot.kb);
        let rate = lately.sum::<f64>() / LATELY as f64 * per_s;
        let (median, spread) = usual[0];
        match self.risen {
            None => {
                let first = first?;
                self.risen = Some(usual);
                self.quiet = 0;
                let (reason, share) = match first {
                    0 => self.reason(median, None),
                    nth => self.reason(median, Some(OWN[nth - 1])),
                };
                Some((true, rate, median * per_s, reason, share))
            }
            Some(_) => {
                self.quiet = if any { 0 } else { self.quiet + 1 };
                // It ends when it is over, or when it has become the usual.
                let over = self.quiet >= LATELY as u32 * 2;
                let settled = now.is_some_and(|now| now[0].0 > median + 2.0 * spread);
                if !(over || settled) {
                    return None;
                }
                (self.risen, self.sums) = (None, Default::default());
                Some((false, rate, median * per_s, Reason::Unknown, 0.0))
            }
        }
    }

    /// What the last seconds have more of than the time before, and what explains most of it: this cause, if one
    /// rose by itself.
    fn reason(&self, median: f64, own: Option<Cause>) -> (Reason, f64) {
        let recent: Vec<&Slot> = self.slots.iter().rev().take(LATELY).collect();
        let old: Vec<&Slot> = self.slots.iter().rev().skip(LATELY).collect();
        let (n, m) = (recent.len().max(1) as f64, old.len().max(1) as f64);
        let more = |cause: Cause| {
            let of = |slot: &&Slot| slot.of(cause);
            recent.iter().map(of).sum::<f64>() / n - old.iter().map(of).sum::<f64>() / m
        };
        let all: f64 = recent.iter().map(|slot| slot.kb).sum::<f64>() / n;
        // Where a cause rose by itself, the whole may hardly have.
        let above = (all - median).max(own.map_or(0.0, more)).max(1e-9);
        let mut objects: BTreeMap<ObjectId, f64> = BTreeMap::new();
        for (kb, object) in recent.iter().flat_map(|slot| &slot.largest) {
            *objects.entry(*object).or_default() += kb / n;
        }
        let top = objects.into_iter().max_by(|a, b| a.1.total_cmp(&b.1));
        // A rare cause that rose by itself is why, however few objects show it.
        let may = own.is_none_or(|cause| cause == Cause::First);
        if let Some((object, kb)) = top.filter(|(_, kb)| may && *kb > 0.5 * above) {
            return (Reason::Oversized(object.0), (kb / above).min(1.0));
        }
        let causes = Cause::ALL.map(|cause| (cause, more(cause)));
        let most = causes.into_iter().max_by(|a, b| a.1.total_cmp(&b.1));
        let most = own.map(|cause| (cause, more(cause))).or(most);
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
