//! The figures of one phase of one fleet.

use crate::fleet::Fleet;
use crate::fleet::member::Member;
use crate::fleet::requests::{Origin, Outcomes};
use crate::fleet::traffic::NOTE_KINDS;
use crate::layout::Proximity;
use serde::Serialize;
use std::collections::BTreeMap;

const BYTES_PER_KB: f64 = 1_024.0;

/// One figure over all members.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Spread {
    pub mean: f64,
    pub p99: f64,
    pub worst: f64,
}

impl Spread {
    pub fn of(mut values: Vec<f64>) -> Spread {
        if values.is_empty() {
            return Spread::default();
        }
        values.sort_by(f64::total_cmp);
        Spread {
            mean: values.iter().sum::<f64>() / values.len() as f64,
            p99: quantile(&values, 0.99),
            worst: quantile(&values, 1.0),
        }
    }
}

/// The smallest of these sorted values that so great a part of them does not exceed.
pub fn quantile(sorted: &[f64], part: f64) -> f64 {
    let rank = (sorted.len() as f64 * part).ceil() as usize;
    let place = rank.clamp(1, sorted.len().max(1)) - 1;
    sorted.get(place).copied().unwrap_or_default()
}

/// Messages sent of one kind, for each member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct KindFigures {
    pub messages_per_s: f64,
    pub bytes_per_s: f64,
    pub worst_messages_per_s: f64,
}

/// What members hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct StateFigures {
    pub members_known: Spread,
    pub records: Spread,
    /// Purges and hosts, which all members hold.
    pub common_facts: Spread,
    /// Own claims, rounds of questions, facts owed to others and rumours.
    pub pending: Spread,
}

impl StateFigures {
    /// All that a member holds, in the mean.
    pub fn held(&self) -> f64 {
        let all = [
            self.members_known,
            self.records,
            self.common_facts,
            self.pending,
        ];
        all.iter().map(|spread| spread.mean).sum()
    }
}

/// How soon purges were everywhere.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct PurgeFigures {
    pub finished: usize,
    /// Begun long enough before the end, and not everywhere then.
    pub unfinished: usize,
    pub everywhere_s_p50: f64,
    pub everywhere_s_p99: f64,
}

/// What became of keyed requests of one origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct OutcomeFigures {
    pub requests: u64,
    pub granted: f64,
    pub found: f64,
    pub refused: f64,
    pub unsure: f64,
    pub wait_ms_p50: f64,
    pub wait_ms_p99: f64,
}

impl OutcomeFigures {
    fn of(outcomes: &Outcomes) -> OutcomeFigures {
        let all = outcomes.all().max(1) as f64;
        let wait = |part| outcomes.waits_us.value_at_quantile(part) as f64 / 1e3;
        OutcomeFigures {
            requests: outcomes.all(),
            granted: outcomes.granted as f64 / all,
            found: outcomes.found as f64 / all,
            refused: outcomes.refused as f64 / all,
            unsure: outcomes.unsure as f64 / all,
            wait_ms_p50: wait(0.5),
            wait_ms_p99: wait(0.99),
        }
    }
}

/// Keyed requests of a phase.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct KeyedFigures {
    /// By where the client was before.
    pub outcomes: BTreeMap<&'static str, OutcomeFigures>,
    /// The share decided for certain (new: granted; repeat within the zone: found) of all that are new or repeats within
    /// the zone.
    pub certain_ratio_near: f64,
    pub forbidden_repeats: u64,
    /// Of them, those less than [`SETTLE`](trailproxy_peers::decide::relay::SETTLE) after the attempt before: replicas by zone do not promise to know that.
    pub early_repeats: u64,
    /// Of the kinds that only keyed requests cause: claims, their answers, facts told to replicas, and relays between zones.
    pub messages_per_request: f64,
    pub bytes_per_request: f64,
}

/// Times that the machine took; not the same in every run.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Timing {
    pub wall_s: f64,
    pub core_us_per_event: f64,
    /// Time of a member's cores as a part of virtual time.
    pub core_share_mean: f64,
    pub core_share_worst: f64,
}

/// All figures of one phase at one size.
#[derive(Clone, Debug, Serialize)]
pub struct PhaseFigures {
    pub phase: &'static str,
    pub members: usize,
    pub sites: usize,
    pub regions: usize,
    pub keyed_per_s: f64,
    pub purges_per_s: f64,
    /// Virtual time that was counted.
    pub seconds: f64,
    pub sent_messages_per_s: Spread,
    pub sent_kb_per_s: Spread,
    pub received_messages_per_s: Spread,
    pub received_kb_per_s: Spread,
    /// Sent and received in each member's worst second.
    pub peak_kb_per_s: Spread,
    pub events_per_s: Spread,
    pub kinds: BTreeMap<&'static str, KindFigures>,
    pub state: StateFigures,
    /// What is held at the end of the time counted less what was held at its start, for each member in the mean.
    pub state_growth: f64,
    pub purges: Option<PurgeFigures>,
    pub keyed: Option<KeyedFigures>,
    pub budget_overruns: Option<u64>,
    /// Seconds from the end of a disturbance until all members know just each other again.
    pub agreed_after_s: Option<f64>,
    /// The same, until they lack nothing either.
    pub settled_after_s: Option<f64>,
    /// The disturbance was not over when the time for it was.
    pub never_settled: bool,
    pub timing: Timing,
}

impl PhaseFigures {
    /// All but the machine's times: the same for the same seed.
    pub fn exact(&self) -> PhaseFigures {
        PhaseFigures {
            timing: Timing::default(),
            ..self.clone()
        }
    }
}

/// Reads the traffic and state that a fleet has counted since it was last reset.
pub struct Reading<'a> {
    fleet: &'a Fleet,
    seconds: f64,
}

impl<'a> Reading<'a> {
    pub fn new(fleet: &'a Fleet) -> Reading<'a> {
        let seconds = fleet.now.since(fleet.counted_from).as_secs_f64();
        Reading { fleet, seconds }
    }

    pub fn seconds(&self) -> f64 {
        self.seconds
    }

    fn spread(&self, figure: impl Fn(&Member) -> f64) -> Spread {
        let up = self.fleet.members.iter().filter(|member| member.is_up());
        Spread::of(up.map(figure).collect())
    }

    fn rate(&self, count: impl Fn(&Member) -> u64) -> Spread {
        self.spread(|member| count(member) as f64 / self.seconds)
    }

    fn kb_rate(&self, bytes: impl Fn(&Member) -> u64) -> Spread {
        self.spread(|member| bytes(member) as f64 / self.seconds / BYTES_PER_KB)
    }

    pub fn sent_messages(&self) -> Spread {
        self.rate(|member| member.traffic.sent.messages)
    }

    pub fn sent_kb(&self) -> Spread {
        self.kb_rate(|member| member.traffic.sent.bytes)
    }

    pub fn received_messages(&self) -> Spread {
        self.rate(|member| member.traffic.received.messages)
    }

    pub fn received_kb(&self) -> Spread {
        self.kb_rate(|member| member.traffic.received.bytes)
    }

    pub fn peak_kb(&self) -> Spread {
        self.spread(|member| member.traffic.peak_bytes() as f64 / BYTES_PER_KB)
    }

    pub fn events(&self) -> Spread {
        self.rate(|member| member.traffic.events)
    }

    pub fn kinds(&self) -> BTreeMap<&'static str, KindFigures> {
        let all = NOTE_KINDS.iter().enumerate();
        let figures = all.map(|(kind, &name)| (name, self.kind(kind)));
        let sent = |(_, of): &(&'static str, KindFigures)| of.messages_per_s > 0.0;
        figures.filter(sent).collect()
    }

    fn kind(&self, kind: usize) -> KindFigures {
        let messages = self.rate(|member| member.traffic.kinds[kind].messages);
        let bytes = self.rate(|member| member.traffic.kinds[kind].bytes);
        KindFigures {
            messages_per_s: messages.mean,
            bytes_per_s: bytes.mean,
            worst_messages_per_s: messages.worst,
        }
    }

    pub fn state(&self) -> StateFigures {
        StateFigures {
            members_known: self.spread(|member| held(member).members as f64),
            records: self.spread(|member| held(member).records as f64),
            common_facts: self.spread(|member| held(member).common as f64),
            pending: self.spread(|member| held(member).pending as f64),
        }
    }

    pub fn purges(&self) -> PurgeFigures {
        let mut took = self.fleet.purges.took_s.clone();
        took.sort_by(f64::total_cmp);
        let long_ago = self.fleet.now - LATE_PURGE;
        PurgeFigures {
            finished: took.len(),
            unfinished: self.fleet.purges.unfinished(long_ago),
            everywhere_s_p50: quantile(&took, 0.5),
            everywhere_s_p99: quantile(&took, 0.99),
        }
    }

    pub fn keyed(&self) -> KeyedFigures {
        let outcomes = &self.fleet.requests.outcomes;
        let figures = outcomes.iter();
        let figures = figures.map(|(origin, of)| (origin.name(), OutcomeFigures::of(of)));
        let requests: u64 = outcomes.values().map(Outcomes::all).sum();
        let per_request = |of: f64| of * self.seconds / requests.max(1) as f64;
        let (messages, bytes) = self.keyed_volume();
        KeyedFigures {
            outcomes: figures.collect(),
            certain_ratio_near: certain_ratio_near(outcomes),
            forbidden_repeats: self.fleet.requests.forbidden_repeats,
            early_repeats: self.fleet.requests.early_repeats,
            messages_per_request: per_request(messages),
            bytes_per_request: per_request(bytes),
        }
    }

    /// Messages and bytes a second, of the whole fleet, of the kinds that keyed requests cause directly.
    fn keyed_volume(&self) -> (f64, f64) {
        let kinds = self.kinds();
        let of = KEYED_KINDS.iter().filter_map(|kind| kinds.get(kind));
        let members = self.fleet.members.iter().filter(|member| member.is_up());
        let members = members.count() as f64;
        let sum = of.fold((0.0, 0.0), |sum, kind| {
            (sum.0 + kind.messages_per_s, sum.1 + kind.bytes_per_s)
        });
        (sum.0 * members, sum.1 * members)
    }

    pub fn timing(&self, wall_s: f64) -> Timing {
        let members = &self.fleet.members;
        let core_s = |member: &Member| member.core_time.as_secs_f64();
        let events: u64 = members.iter().map(|member| member.traffic.events).sum();
        let all_s: f64 = members.iter().map(core_s).sum();
        let share = self.spread(|member| core_s(member) / self.seconds);
        Timing {
            wall_s,
            core_us_per_event: all_s * 1e6 / events.max(1) as f64,
            core_share_mean: share.mean,
            core_share_worst: share.worst,
        }
    }
}

/// A purge that is older than this and not everywhere is called unfinished.
const LATE_PURGE: trailproxy::units::TimeSpan = trailproxy::units::TimeSpan::from_secs(3);
const KEYED_KINDS: [&str; 6] = ["claim", "stood", "put", "taken", "record_told", "relay"];

/// What one member holds.
#[derive(Clone, Copy, Debug, Default)]
struct Held {
    members: usize,
    records: usize,
    common: usize,
    pending: usize,
}

fn held(member: &Member) -> Held {
    let Some(peers) = &member.peers else {
        return Held::default();
    };
    let (own, asking, owed, rumours) = peers.pending_counts();
    Held {
        members: peers.members().all().count(),
        records: peers.facts().record_count(),
        common: peers.facts().common_count(),
        pending: own + asking + owed + rumours,
    }
}

/// All that members hold, in the mean.
pub fn mean_held(fleet: &Fleet) -> f64 {
    let up: Vec<&Member> = fleet.members.iter().filter(|of| of.is_up()).collect();
    let sum = |member: &&Member| {
        let held = held(member);
        (held.members + held.records + held.common + held.pending) as f64
    };
    up.iter().map(sum).sum::<f64>() / up.len().max(1) as f64
}

fn certain_ratio_near(outcomes: &BTreeMap<Origin, Outcomes>) -> f64 {
    let of = |origin: Origin| outcomes.get(&origin);
    let new = of(Origin::New).map_or((0, 0), |new| (new.granted, new.all()));
    let repeats = [Proximity::SameSite, Proximity::SameZone].map(|proximity| {
        let repeat = of(Origin::Repeat(proximity));
        repeat.map_or((0, 0), |repeat| (repeat.found, repeat.all()))
    });
    let (certain, all) = repeats
        .into_iter()
        .fold(new, |sum, repeat| (sum.0 + repeat.0, sum.1 + repeat.1));
    certain as f64 / all.max(1) as f64
}
