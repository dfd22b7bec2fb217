//! How much may cross: a rate with a burst, a part of it kept for what goes first, and the share of one dispatcher.
//!
//! Dispatchers share nothing, so each has an equal share of the rate and of the burst. With hundreds of them a share
//! is less than one object, and two plain ways fail: whoever must have saved up all of an object's KB first, and
//! caps what it saves at its share of the burst, never sends; whoever may overdraw once sends an object each, all at
//! once, when a zone wakes up. Here each draws a point once, and that part of an object may stand as debt: it sends
//! when it has saved the rest. All together they send what the burst allows at once, and the rate from then on.
//!
//! Three buckets in a row: what goes first, what is small beside the usual size, and the rest. What one leaves over runs
//! into the next and never back. The first two may be overdrawn by one object, which is waited off; small reads may
//! besides go on by a part of the burst while large ones wait for a debt to be paid.

use std::cell::Cell;
use trailproxy::units::{TimeSpan, Timestamp, ZoneId};

/// What goes first, and everything else.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    First,
    Plain,
}

/// One budget, as the operator sets it.
#[derive(Clone, Debug, PartialEq)]
pub struct Limit {
    pub name: String,
    /// `None`: from all other zones together, that is the link into the zone.
    pub from: Option<ZoneId>,
    pub to: ZoneId,
    /// Of all dispatchers of the zone together. Where it is learned, the rate to begin with.
    pub kb_per_s: f64,
    pub burst_kb: f64,
    /// The part that is kept for what goes first, from 0 to 1.
    pub reserve: f64,
    /// Found out by how quick fills are, between these two.
    pub learned: Option<(f64, f64)>,
}

/// How long a size that was turned away is saved up for after it was last asked.
const WANTED_FOR: TimeSpan = TimeSpan::from_secs(2);

#[derive(Debug)]
struct Bucket {
    /// KB saved, or owed where negative.
    level: f64,
    rate: f64,
    cap: f64,
}

impl Bucket {
    /// Adds what time brings; what is over the cap comes back.
    fn fill(&mut self, kb: f64, cap: f64) -> f64 {
        let full = self.level + kb;
        self.level = full.min(cap);
        full - self.level
    }
}

/// A part of the whole that is this dispatcher's for a while, where budgets are divided by need.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetPart {
    /// From 0 to 1.
    pub fraction: f64,
    /// Then it is the floor; `None`: it is that already.
    pub valid_until: Option<Timestamp>,
    pub floor: f64,
}

/// How soon what was wanted is half forgotten. Shorter follows chance, longer holds on to parts that others need.
const WANTED_HALVES: TimeSpan = TimeSpan::from_secs(1);

/// What was wanted lately, whether it had room or not: KB a second, and of that what goes first.
#[derive(Clone, Copy, Debug, Default)]
struct Wanted {
    all: f64,
    first: f64,
    at: Timestamp,
}

impl Wanted {
    fn at(self, now: Timestamp) -> Wanted {
        let halvings = now.since(self.at).as_secs_f64() / WANTED_HALVES.as_secs_f64();
        let kept = 0.5f64.powf(halvings);
        let at = self.at.max(now);
        Wanted {
            all: self.all * kept,
            first: self.first * kept,
            at,
        }
    }

    fn add(&mut self, now: Timestamp, class: Priority, kb: f64) {
        *self = self.at(now);
        // Evenly wanted, so many KB a second come to as much here.
        let rate = kb * std::f64::consts::LN_2 / WANTED_HALVES.as_secs_f64();
        self.all += rate;
        self.first += if class == Priority::First { rate } else { 0.0 };
    }
}

/// One dispatcher's share of one limit.
#[derive(Debug)]
pub struct Budget {
    pub limit: Limit,
    /// The share now; where nothing is divided, the equal one.
    share: f64,
    equal: f64,
    divided: Option<BudgetPart>,
    /// Of the share, what was given away and may still be saved here.
    gone: f64,
    demand: Wanted,
    kept: Bucket,
    small: Bucket,
    common: Bucket,
    /// The largest size turned away lately, and when that was last asked.
    wanted: Cell<(f64, Timestamp)>,
    /// The part of a size that may stand as debt; drawn once, so that sends are evenly spaced.
    part: f64,
    /// The usual size of what was sent, in KB, and of how many.
    usual: f64,
    sent: u32,
    at: Timestamp,
}

/// The part of the common burst that is saved up; the rest may be owed.
const SAVED: f64 = 0.5;
/// The part of what is not kept that small reads have to themselves, and the part of the usual size that is small.
const SMALL_PART: f64 = 0.2;
const SMALL: f64 = 0.25;
/// Weight of the newest size in the usual one.
const USUAL_GAIN: f64 = 0.02;

/// Where a charge was taken from: a correction goes back there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BucketKind {
    Kept,
    Small,
    Common,
}

impl Budget {
    /// `dispatchers`: those of the zone that the limit leads into.
    pub fn new(
        limit: Limit,
        dispatchers: f64,
        now: Timestamp,
        chance: &mut fastrand::Rng,
    ) -> Budget {
        let empty = || Bucket {
            level: 0.0,
            rate: 0.0,
            cap: 0.0,
        };
        let mut budget = Budget {
            limit,
            share: 1.0 / dispatchers.max(1.0),
            equal: 1.0 / dispatchers.max(1.0),
            divided: None,
            gone: 0.0,
            demand: Wanted::default(),
            kept: empty(),
            small: empty(),
            common: empty(),
            wanted: Cell::new((0.0, Timestamp(0))),
            part: chance.f64(),
            usual: 0.0,
            sent: 0,
            at: now,
        };
        budget.spread();
        budget
    }

    /// Divides the limit's figures over the buckets.
    fn spread(&mut self) {
        let (rate, burst) = (
            self.limit.kb_per_s * self.share,
            self.limit.burst_kb * self.share,
        );
        let kept = self.limit.reserve.clamp(0.0, 1.0);
        let (first, rest) = (kept, 1.0 - kept);
        (self.kept.rate, self.kept.cap) = (rate * first, burst * first);
        let small = rest * SMALL_PART;
        (self.small.rate, self.small.cap) = (rate * small, burst * small);
        let common = rest * (1.0 - SMALL_PART);
        (self.common.rate, self.common.cap) = (rate * common, burst * common * SAVED);
    }

    /// Another limit in place of this one: debts stay, savings shrink to the new caps.
    pub fn apply_limit(&mut self, limit: Limit, dispatchers: f64) {
        (self.limit, self.equal) = (limit, 1.0 / dispatchers.max(1.0));
        self.share = self.divided.map_or(self.equal, |divided| divided.fraction);
        self.shrink();
    }

    /// From now on this part of the whole; `None`: an equal share again. What is saved or owed stays, in KB: what one gave
    /// back another saves up anew.
    pub fn set_part(&mut self, now: Timestamp, part: Option<BudgetPart>) {
        self.advance(now);
        self.divided = part;
        let share = part.map_or(self.equal, |part| part.fraction);
        self.give_away(share);
        self.lapse(now);
    }

    /// A share that shrinks takes none of what is saved at once: that runs off as quickly as whoever has the rest now saves
    /// it up, so that all together never have more than the burst.
    fn give_away(&mut self, share: f64) {
        self.gone = (self.gone + self.share - share).max(0.0);
        self.share = share;
        self.spread();
    }

    /// A part that has run out is the floor, whoever has told anything or not.
    fn lapse(&mut self, now: Timestamp) {
        if let Some(part) = self.divided
            && part.valid_until.is_some_and(|until| until <= now)
        {
            let floor = part.floor.min(part.fraction);
            self.divided = Some(BudgetPart {
                fraction: floor,
                valid_until: None,
                floor,
            });
            self.give_away(floor);
        }
    }

    fn shrink(&mut self) {
        self.spread();
        for bucket in [&mut self.kept, &mut self.small, &mut self.common] {
            bucket.level = bucket.level.min(bucket.cap);
        }
    }

    /// Something was wanted, whether it had room or not.
    pub fn on_demand(&mut self, now: Timestamp, class: Priority, kb: f64) {
        self.demand.add(now, class, kb);
    }

    /// The part of the whole that was wanted lately, and of that what goes first.
    pub fn need(&self, now: Timestamp) -> (f64, f64) {
        let (demand, rate) = (self.demand.at(now), self.limit.kb_per_s.max(1e-9));
        (demand.all / rate, demand.first / rate)
    }

    pub fn advance(&mut self, now: Timestamp) {
        // A clock that went back brings nothing and takes nothing.
        let until = self.divided.and_then(|part| part.valid_until);
        let ends = until.filter(|&until| until <= now);
        if let Some(until) = ends {
            // Up to its end the part brings what it is; from then on the floor does.
            self.pass(until);
            self.lapse(until);
        }
        self.pass(now);
    }

    /// What is saved beyond the caps runs off.
    fn run_off(&mut self, passed: f64) {
        if self.gone <= 0.0 {
            return;
        }
        let mut off = self.gone * self.limit.kb_per_s * passed;
        let mut beyond = 0.0;
        for bucket in [&mut self.common, &mut self.small, &mut self.kept] {
            let takes = off.min((bucket.level - bucket.cap).max(0.0));
            (bucket.level, off) = (bucket.level - takes, off - takes);
            beyond += (bucket.level - bucket.cap).max(0.0);
        }
        if beyond <= 0.0 {
            self.gone = 0.0;
        }
    }

    fn pass(&mut self, now: Timestamp) {
        let passed = now.since(self.at).as_secs_f64();
        self.at = now;
        self.run_off(passed);
        let running = self.gone > 0.0;
        // What was saved under a larger share stays as long as it runs off.
        let cap = |bucket: &Bucket, cap: f64| if running { cap.max(bucket.level) } else { cap };
        let kept = cap(&self.kept, self.kept.cap);
        let over = self.kept.fill(self.kept.rate * passed, kept);
        let small = cap(&self.small, self.small.cap);
        let over = self.small.fill(self.small.rate * passed + over, small);
        let common = cap(&self.common, self.common.cap.max(self.wanted(now)));
        self.common.fill(self.common.rate * passed + over, common);
    }

    fn wanted(&self, now: Timestamp) -> f64 {
        let (kb, asked) = self.wanted.get();
        let rate = self.common.rate.max(1e-9);
        // As long as it takes to save it up, or with a few objects a minute nothing large ever went.
        let long = WANTED_FOR + TimeSpan::from_secs_f64(kb / rate);
        if now.since(asked) <= long { kb } else { 0.0 }
    }

    /// Where a send of so many KB would be taken from; `None`: there is no room for it now.
    pub fn bucket_with_room(&self, now: Timestamp, class: Priority, kb: f64) -> Option<BucketKind> {
        let need = kb * (1.0 - self.part);
        let passed = now.since(self.at).as_secs_f64();
        let has = |bucket: &Bucket| bucket.level + bucket.rate * passed;
        let common = has(&self.common);
        match class {
            Priority::First if has(&self.kept) >= 0.0 => Some(BucketKind::Kept),
            // What goes first may put the others into debt, by a share of the burst.
            Priority::First if common + self.owes() >= need => Some(BucketKind::Common),
            Priority::Plain if kb <= SMALL * self.usual && has(&self.small) >= 0.0 => {
                Some(BucketKind::Small)
            }
            Priority::Plain if common + self.owes() * self.smallness(kb) >= need => {
                Some(BucketKind::Common)
            }
            _ => None,
        }
    }

    /// What may be owed to the common bucket.
    fn owes(&self) -> f64 {
        self.common.cap / SAVED * (1.0 - SAVED)
    }

    /// 1 for nothing, a quarter for the usual size, towards 0 for what is large beside it.
    fn smallness(&self, kb: f64) -> f64 {
        let usual = self.usual.max(1e-9);
        (usual / (usual + kb)).powi(2)
    }

    /// Notes that so much was turned away, so that it is saved up for.
    pub fn on_refused(&self, now: Timestamp, kb: f64) {
        let before = self.wanted(now);
        if kb >= before {
            self.wanted.set((kb, now));
        }
    }

    pub fn charge(&mut self, now: Timestamp, from: BucketKind, kb: f64) {
        self.advance(now);
        self.correct(from, kb);
        self.sent = self.sent.saturating_add(1);
        self.usual += (kb - self.usual) * USUAL_GAIN.max(1.0 / f64::from(self.sent));
        if self.wanted.get().0 <= kb {
            self.wanted.set((0.0, Timestamp(0)));
        }
    }

    /// Takes so many KB more, or gives some back where negative.
    pub fn correct(&mut self, from: BucketKind, kb: f64) {
        match from {
            BucketKind::Kept => self.kept.level -= kb,
            BucketKind::Small => self.small.level -= kb,
            BucketKind::Common => self.common.level -= kb,
        }
    }

    /// How long until something plain has room again; `None`: it has.
    pub fn time_until_room(&self, now: Timestamp) -> Option<TimeSpan> {
        let wanted = self.wanted(now) * (1.0 - self.part);
        let level = self.common.level + self.common.rate * now.since(self.at).as_secs_f64();
        let lacks = wanted.max(0.0) - level;
        (lacks > 0.0).then(|| TimeSpan::from_secs_f64(lacks / self.common.rate.max(1e-6)))
    }

    /// KB saved in all buckets, for reports and checks.
    pub fn saved_kb(&self) -> f64 {
        self.kept.level + self.small.level + self.common.level
    }

    /// The rate of all dispatchers together that holds now.
    pub fn rate(&self) -> f64 {
        self.limit.kb_per_s
    }
}

/// Finds the rate of a link by how quick its fills are: more while all are quick and some were turned away, less at
/// once when they slow down. It follows the dispatcher's own share, so that a dead neighbour's is taken up in time.
#[derive(Debug, Default)]
pub struct RateLearner {
    /// Pace of fills, in KB/s: a slowly falling best, and the mean of the running step.
    best: f64,
    sum: f64,
    n: u32,
    refused: bool,
    step_at: Timestamp,
}

const STEP: TimeSpan = TimeSpan::from_secs(1);
const RISES: f64 = 1.05;
const FALLS: f64 = 0.85;
/// Below this part of the best pace a link counts as full: two fills that share it run at half.
const FULL: f64 = 0.6;
const BEST_FADES: f64 = 0.995;
/// A pace says something from this size on; of less, most is distance.
const TELLS_KB: f64 = 16.0;

impl RateLearner {
    /// A fill of so many KB took so long from its first byte on.
    pub fn on_fill(&mut self, kb: f64, took: TimeSpan) {
        if kb < TELLS_KB || took == TimeSpan::ZERO {
            return;
        }
        let pace = kb / took.as_secs_f64();
        self.best = self.best.max(pace);
        (self.sum, self.n) = (self.sum + pace, self.n + 1);
    }

    pub fn on_refused(&mut self) {
        self.refused = true;
    }

    /// The rate that follows from the step that ended, if one did.
    pub fn step(&mut self, now: Timestamp, rate: f64, between: (f64, f64)) -> Option<f64> {
        if now.since(self.step_at) < STEP {
            return None;
        }
        self.step_at = now;
        let mean = (self.n > 0).then(|| self.sum / f64::from(self.n));
        let full = mean.is_some_and(|mean| mean < FULL * self.best);
        let next = match (full, self.refused) {
            (true, _) => rate * FALLS,
            (false, true) => rate * RISES,
            (false, false) => rate,
        };
        (self.sum, self.n, self.refused) = (0.0, 0, false);
        self.best *= BEST_FADES;
        Some(next.clamp(between.0, between.1.max(between.0)))
    }
}

impl Budget {
    /// Among how many it is divided.
    pub fn dispatchers(&self) -> f64 {
        1.0 / self.share
    }
}
