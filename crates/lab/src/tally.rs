//! What a run came to: service by second and track, latencies, and the summary that programs read.

use crate::rules::{Breach, Final};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use trailproxy::units::*;
use trailproxy_standins::fleet::Moved;
use trailproxy_standins::shape::DAWN;

/// What became of one hand-off or of none, when an access was given up: why it was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// Turned away with nothing sent: predicted late, or no host that may be sent to.
    Unsent,
    Full,
    Missed,
    Failed,
    TimedOut,
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct Latency {
    pub p50: f64,
    pub p99: f64,
    pub p999: f64,
}

/// The figures of one run, or of several days together.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    pub scenario: String,
    /// `model`: simulated, in virtual time; `loopback`: measured on sockets.
    pub world: String,
    pub policy: String,
    pub seed: u64,
    pub days: u64,
    pub accesses: u64,
    pub done: u64,
    pub rejected: u64,
    pub aborted: u64,
    /// Never answered: the dispatcher was killed, or a rule is broken.
    pub lost: u64,
    /// Importance answered in due time over importance asked for.
    pub service: f64,
    pub service_ci95: [f64; 2],
    pub rules_broken: Vec<String>,
    pub rule_breaches: u64,
    /// From when the client meant to send to its final answer, of what was done.
    pub latency_ms: Latency,
    pub bytes_origin: f64,
    pub bytes_hub: f64,
    pub bytes_hit: f64,
    pub service_by_track: BTreeMap<String, f64>,
    pub rejected_by_cause: BTreeMap<String, u64>,
    pub hand_offs: u64,
    pub hosts_fell: u64,
    pub breakers_opened: u64,
    /// From the first trouble to the first breaker that opened after it, in seconds.
    pub first_open_s: Option<f64>,
    /// The busiest second of the origin, in KB.
    pub origin_peak_kb_per_s: f64,
    /// Processor time of all dispatchers over accesses; on loopback only.
    pub cpu_us_per_access: Option<f64>,
    /// The most memory that one dispatcher held; on loopback only.
    pub peak_rss_kb: Option<u64>,
}

/// One second of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Second {
    pub asked: f64,
    pub served: f64,
    pub done: u64,
    pub rejected: u64,
    pub aborted: u64,
    pub origin_kb: f64,
    pub hub_kb: f64,
    pub hit_kb: f64,
    /// Into each zone.
    pub crossed_kb: Vec<f64>,
    /// Dispatchers at which a host's breaker is open, by host.
    pub open: BTreeMap<u64, u32>,
    /// By track: asked and served.
    pub tracks: Vec<(f64, f64)>,
}

/// Takes figures while a run goes on; bounded by its length.
pub struct Tally {
    moved: Moved,
    crossed: Vec<f64>,
    importance: Vec<f64>,
    from: Timestamp,
    pub seconds: Vec<Second>,
    latency: Histogram<u64>,
    pub accesses: u64,
    pub done: u64,
    pub rejected: u64,
    pub aborted: u64,
    pub lost: u64,
    pub hand_offs: u64,
    pub fell: u64,
    pub causes: BTreeMap<Cause, u64>,
    /// Opened and closed again, by time, dispatcher and host.
    pub breakers: Vec<(Timestamp, u32, u64, bool)>,
}

/// Breaker events that are kept for reports.
const BREAKERS_KEPT: usize = 200_000;

impl Tally {
    pub fn new(importance: &[f64], from: Timestamp, length: TimeSpan) -> Tally {
        let second = Second {
            tracks: vec![(0.0, 0.0); importance.len()],
            ..Second::default()
        };
        Tally {
            moved: Moved::default(),
            crossed: Vec::new(),
            importance: importance.to_vec(),
            from,
            seconds: vec![second; length.0.div_ceil(1_000_000) as usize + 1],
            latency: Histogram::new_with_bounds(1, 600_000_000, 3)
                .unwrap_or_else(|_| unreachable!("bounds that the histogram takes")),
            accesses: 0,
            done: 0,
            rejected: 0,
            aborted: 0,
            lost: 0,
            hand_offs: 0,
            fell: 0,
            causes: BTreeMap::new(),
            breakers: Vec::new(),
        }
    }

    /// The second of a point in time; the last one takes what comes after the end.
    pub fn second(&mut self, at: Timestamp) -> &mut Second {
        let last = self.seconds.len() - 1;
        &mut self.seconds[((at.since(DAWN).0 / 1_000_000) as usize).min(last)]
    }

    /// Takes what was moved so far, as bytes of the second that ends now.
    pub fn moved(&mut self, at: Timestamp, moved: Moved, crossed: Vec<f64>) {
        let before = std::mem::replace(&mut self.moved, moved);
        let zero = vec![0.0; crossed.len()];
        let old = std::mem::replace(&mut self.crossed, crossed.clone());
        let old = if old.is_empty() { zero } else { old };
        let second = self.second(at - TimeSpan::from_millis(500));
        second.origin_kb += moved.origin_kb - before.origin_kb;
        second.hub_kb += moved.hub_kb - before.hub_kb;
        second.hit_kb += moved.hit_kb - before.hit_kb;
        second.crossed_kb = crossed
            .iter()
            .zip(&old)
            .map(|(now, before)| now - before)
            .collect();
    }

    pub fn asked(&mut self, at: Timestamp, track: ClassId) {
        if at < self.from {
            return;
        }
        let worth = self.importance[usize::from(track.0)];
        let second = self.second(at);
        second.asked += worth;
        second.tracks[usize::from(track.0)].0 += worth;
    }

    /// A client has what it wanted: asked for at `asked`, due at `due`, there at `at`.
    pub fn served(&mut self, asked: Timestamp, due: Timestamp, at: Timestamp, track: ClassId) {
        if asked < self.from {
            return;
        }
        let took = at.since(asked).0.max(1);
        self.latency.saturating_record(took);
        if at <= due {
            let worth = self.importance[usize::from(track.0)];
            let second = self.second(asked);
            second.served += worth;
            second.tracks[usize::from(track.0)].1 += worth;
        }
    }

    pub fn answered(&mut self, at: Timestamp, how: Final) {
        let second = self.second(at);
        match how {
            Final::Done => second.done += 1,
            Final::Rejected => second.rejected += 1,
            Final::Aborted => second.aborted += 1,
        }
        match how {
            Final::Done => self.done += 1,
            Final::Rejected => self.rejected += 1,
            Final::Aborted => self.aborted += 1,
        }
    }

    pub fn breaker(&mut self, at: Timestamp, seat: u32, host: u64, open: bool) {
        if self.breakers.len() < BREAKERS_KEPT {
            self.breakers.push((at, seat, host, open));
        }
    }

    /// Puts the open breakers into the seconds in which they were.
    pub fn settle_breakers(&mut self) {
        let mut open: BTreeMap<u64, u32> = BTreeMap::new();
        let mut events = std::mem::take(&mut self.breakers);
        events.sort();
        let mut next = 0;
        for second in 0..self.seconds.len() {
            while let Some(&(at, _, host, opened)) = events.get(next) {
                if at.since(DAWN).0 / 1_000_000 > second as u64 {
                    break;
                }
                let n = open.entry(host).or_default();
                *n = if opened { *n + 1 } else { n.saturating_sub(1) };
                next += 1;
            }
            open.retain(|_, n| *n > 0);
            self.seconds[second].open = open.clone();
        }
        self.breakers = events;
    }

    pub fn service(&self) -> f64 {
        let asked: f64 = self.seconds.iter().map(|second| second.asked).sum();
        let served: f64 = self.seconds.iter().map(|second| second.served).sum();
        if asked > 0.0 { served / asked } else { 1.0 }
    }

    /// The service of a stretch of time.
    pub fn service_within(&self, from: usize, until: usize) -> f64 {
        let part = &self.seconds[from.min(self.seconds.len())..until.min(self.seconds.len())];
        let asked: f64 = part.iter().map(|second| second.asked).sum();
        let served: f64 = part.iter().map(|second| second.served).sum();
        if asked > 0.0 { served / asked } else { 1.0 }
    }

    pub fn summary(
        &self,
        named: (&str, &str, &str, u64),
        tracks: &[String],
        breaches: (&[Breach], u64),
        first_trouble: Option<Timestamp>,
    ) -> Summary {
        let quantile = |q| self.latency.value_at_quantile(q) as f64 / 1e3;
        let by_track = |nth: usize| {
            let sums = self.seconds.iter().map(|second| second.tracks[nth]);
            let (asked, served) = sums.fold((0.0, 0.0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
            if asked > 0.0 { served / asked } else { 1.0 }
        };
        let sum = |kb: fn(&Second) -> f64| self.seconds.iter().map(kb).sum::<f64>() * 1024.0;
        let opened = |&&(at, _, _, open): &&(Timestamp, u32, u64, bool)| {
            open && first_trouble.is_some_and(|t| at >= t)
        };
        let first = self.breakers.iter().find(opened);
        let service = self.service();
        let name = |cause: &Cause| {
            serde_json::to_value(cause)
                .ok()
                .and_then(|v| v.as_str().map(str::to_owned))
        };
        Summary {
            scenario: named.0.into(),
            world: named.1.into(),
            policy: named.2.into(),
            seed: named.3,
            days: 1,
            accesses: self.accesses,
            done: self.done,
            rejected: self.rejected,
            aborted: self.aborted,
            lost: self.lost,
            service,
            service_ci95: [service, service],
            rules_broken: breaches.0.iter().map(ToString::to_string).collect(),
            rule_breaches: breaches.1,
            latency_ms: Latency {
                p50: quantile(0.5),
                p99: quantile(0.99),
                p999: quantile(0.999),
            },
            bytes_origin: sum(|second| second.origin_kb).round(),
            bytes_hub: sum(|second| second.hub_kb).round(),
            bytes_hit: sum(|second| second.hit_kb).round(),
            service_by_track: tracks
                .iter()
                .enumerate()
                .map(|(i, name)| (name.clone(), by_track(i)))
                .collect(),
            rejected_by_cause: self
                .causes
                .iter()
                .filter_map(|(cause, &n)| Some((name(cause)?, n)))
                .collect(),
            hand_offs: self.hand_offs,
            hosts_fell: self.fell,
            breakers_opened: self.breakers.iter().filter(|breaker| breaker.3).count() as u64,
            first_open_s: first
                .zip(first_trouble)
                .map(|(first, from)| first.0.since(from).as_secs_f64()),
            origin_peak_kb_per_s: self
                .seconds
                .iter()
                .map(|second| second.origin_kb)
                .fold(0.0, f64::max),
            cpu_us_per_access: None,
            peak_rss_kb: None,
        }
    }

    pub fn latency(&self) -> &Histogram<u64> {
        &self.latency
    }
}
