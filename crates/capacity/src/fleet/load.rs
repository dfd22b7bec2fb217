//! Keyed requests and purges as they arrive, and what becomes of them at the member where they do.

use super::Fleet;
use super::events::Event;
use super::member::Open;
use super::planted::Planted;
use super::requests::{Attempt, DROP_WITHIN, Origin, Outcome};
use crate::layout::{Layout, Proximity};
use trailproxy::interface::PeerAttempt;
use trailproxy::units::*;
use trailproxy_shared_store::decide::records::{Completion, RecordDecision};

/// How long an upstream takes.
const UPSTREAM_TAKES: TimeSpan = TimeSpan::from_millis(60);
const ANSWER: &[u8] = b"ok";
/// A purge that is never forgotten is told anew each time this part of its time is over.
const TOLD_ANEW_PART: f64 = 0.5;
/// How often each proximity is drawn for a client that comes again.
const REPEAT_WEIGHTS: [(Proximity, f64); 4] = [
    (Proximity::SameSite, 0.4),
    (Proximity::SameZone, 0.3),
    (Proximity::SameRegion, 0.2),
    (Proximity::OtherRegion, 0.1),
];

/// Draws when and where requests and purges arrive.
#[derive(Clone, Debug)]
pub struct Load {
    random: fastrand::Rng,
    /// Sums of the members' loads up to each.
    cumulative: Vec<f64>,
    /// Of the whole fleet; 0: none arrive.
    keyed_per_s: f64,
    purges_per_s: f64,
}

impl Load {
    pub fn new(layout: &Layout, seed: u64) -> Load {
        let mut sum = 0.0;
        let cumulative = layout.members.iter().map(|member| {
            sum += member.load;
            sum
        });
        Load {
            random: fastrand::Rng::with_seed(seed),
            cumulative: cumulative.collect(),
            keyed_per_s: 0.0,
            purges_per_s: 0.0,
        }
    }

    /// Time until the next arrival of a Poisson process.
    fn gap(&mut self, per_s: f64) -> TimeSpan {
        TimeSpan::from_secs_f64(-(1.0 - self.random.f64()).ln() / per_s)
    }

    /// A member, drawn by load.
    fn member(&mut self) -> usize {
        let all = self.cumulative.last().copied().unwrap_or_default();
        let drawn = self.random.f64() * all;
        self.cumulative
            .partition_point(|&sum| sum <= drawn)
            .min(self.cumulative.len() - 1)
    }

    fn proximity(&mut self) -> Proximity {
        let mut drawn = self.random.f64();
        for (proximity, weight) in REPEAT_WEIGHTS {
            if drawn < weight {
                return proximity;
            }
            drawn -= weight;
        }
        Proximity::OtherRegion
    }

    /// Another member this close to that one, where there is any.
    fn another(&mut self, layout: &Layout, member: usize, proximity: Proximity) -> Option<usize> {
        let fits = |&other: &usize| other != member && layout.proximity(member, other) == proximity;
        let others: Vec<usize> = (0..layout.members.len()).filter(fits).collect();
        self.random.choice(others)
    }
}

impl Fleet {
    /// Keyed requests arrive at this rate for each member in the mean, from now on.
    pub fn set_keyed_rate(&mut self, per_member_per_s: f64) {
        let before = self.load.keyed_per_s;
        self.load.keyed_per_s = per_member_per_s * self.members.len() as f64;
        if before == 0.0 && self.load.keyed_per_s > 0.0 {
            let gap = self.load.gap(self.load.keyed_per_s);
            self.queue.push(self.now + gap, Event::NextRequest);
        }
    }

    /// Purges of the whole fleet arrive at this rate from now on.
    pub fn set_purge_rate(&mut self, per_s: f64) {
        let before = self.load.purges_per_s;
        self.load.purges_per_s = per_s;
        if before == 0.0 && per_s > 0.0 {
            let gap = self.load.gap(per_s);
            self.queue.push(self.now + gap, Event::NextPurge);
        }
    }

    pub(super) fn next_request(&mut self) {
        if self.load.keyed_per_s <= 0.0 {
            return;
        }
        let gap = self.load.gap(self.load.keyed_per_s);
        self.queue.push(self.now + gap, Event::NextRequest);
        let member = self.load.member();
        let key = self.requests.new_key();
        self.arrive(member, key, Origin::New);
        if self.load.random.f64() < self.settings.demand.repeat_share {
            self.plan_repeat(member, key);
        }
    }

    /// The client of this request comes again elsewhere.
    fn plan_repeat(&mut self, member: usize, key: usize) {
        let proximity = self.load.proximity();
        let other = self.load.another(&self.layout, member, proximity);
        let Some(other) = other else { return };
        let (least, most) = {
            let demand = &self.settings.demand;
            (demand.repeat_least, demand.repeat_most)
        };
        let after = least + (most - least).mul_f64(self.load.random.f64());
        let event = Event::Repeat {
            key,
            member: other,
            proximity,
        };
        self.queue.push(self.now + after, event);
    }

    pub(super) fn repeat(&mut self, key: usize, member: usize, proximity: Proximity) {
        self.arrive(member, key, Origin::Repeat(proximity));
    }

    fn arrive(&mut self, member: usize, key: usize, origin: Origin) {
        if !self.members[member].is_up() {
            return;
        }
        self.next_request += 1;
        let id = RequestId(self.next_request);
        let now = self.now;
        let open = Open {
            key,
            origin,
            arrived: now,
            attempted: false,
        };
        self.members[member].open.insert(id, open);
        let folded = self.key_hasher.key(ClassId(0), &key.to_string());
        let due = now + self.settings.demand.limit;
        self.with_peers(member, |peers| peers.on_request(now, id, folded, due));
    }

    /// A member's core lets a request go on.
    pub(super) fn decided(&mut self, member: usize, id: RequestId, verdict: RecordDecision) {
        let zone = self.layout.members[member].zone;
        let now = self.now;
        let of = &mut self.members[member];
        let (Some(open), Some(peers)) = (of.open.get_mut(&id), &mut of.peers) else {
            return;
        };
        if open.attempted {
            return;
        }
        let waited = now.since(open.arrived);
        let earlier = peers.earlier_attempt(id);
        let granted = peers.is_granted(id);
        let place = (ZoneId(zone as u16), CellId(zone as u16));
        let (outcome, goes) = match verdict {
            RecordDecision::Answer(_) => (Outcome::Found, false),
            RecordDecision::Proceed => judge(now, place.0, earlier, granted),
        };
        self.requests.decided(open.origin, outcome, waited);
        if !goes {
            of.open.remove(&id);
            let came = match verdict {
                RecordDecision::Answer(_) => Completion::Done(Some(ANSWER.to_vec())),
                RecordDecision::Proceed => Completion::NeverRan,
            };
            return peers.on_request_ended(now, id, came);
        }
        open.attempted = true;
        peers.on_attempt_sent(now, id, place);
        let attempt = Attempt {
            at: now,
            zone,
            granted,
        };
        self.requests.attempted(open.key, attempt);
        let event = Event::Finish {
            member,
            request: id,
        };
        self.queue.push(now + UPSTREAM_TAKES, event);
    }

    pub(super) fn finish(&mut self, member: usize, request: RequestId) {
        if self.members[member].open.remove(&request).is_none() {
            return;
        }
        let now = self.now;
        let came = Completion::Done(Some(ANSWER.to_vec()));
        self.with_peers(member, |peers| peers.on_request_ended(now, request, came));
    }

    pub(super) fn next_purge(&mut self) {
        if self.load.purges_per_s <= 0.0 {
            return;
        }
        let gap = self.load.gap(self.load.purges_per_s);
        self.queue.push(self.now + gap, Event::NextPurge);
        let member = self.load.random.usize(0..self.members.len());
        let up = self.members.iter().filter(|of| of.is_up()).count();
        if !self.members[member].is_up() || up < 2 {
            return;
        }
        let now = self.now;
        let object = self.purges.begin(now, up - 1);
        self.tell_purge(member, object);
    }

    /// A member hears of a purge, as its journal tells it.
    pub(super) fn tell_purge(&mut self, member: usize, object: ObjectId) {
        let now = self.now;
        if self.settings.planted == Some(Planted::NeverForgotten) {
            let after = self.settings.demand.purges_last.mul_f64(TOLD_ANEW_PART);
            let event = Event::PurgeAgain { member, object };
            self.queue.push(now + after, event);
        }
        self.with_peers(member, |peers| {
            peers.on_purge(now, Some(object), GroupId(0), now);
        });
    }
}

/// What a request that goes on is bound by, and whether an attempt goes out: upstreams drop a repeat within one zone for
/// a while from the first attempt.
fn judge(
    now: Timestamp,
    zone: ZoneId,
    earlier: Option<PeerAttempt>,
    granted: bool,
) -> (Outcome, bool) {
    let Some(earlier) = earlier else {
        let outcome = if granted {
            Outcome::Granted
        } else {
            Outcome::Unsure
        };
        return (outcome, true);
    };
    let nothing_known = earlier.location.is_none() && earlier.first_sent == Timestamp(0);
    if nothing_known {
        return (Outcome::Unsure, false);
    }
    let near = earlier.location.is_some_and(|(known, _)| known == zone);
    if near && now.since(earlier.first_sent) < DROP_WITHIN {
        return (Outcome::Found, true);
    }
    (Outcome::Refused, false)
}
