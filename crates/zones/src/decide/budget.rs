//! How much traffic may cross: a rate with a burst, of which a part is reserved for priority
//! traffic, and the share of one dispatcher.
//!
//! Where budgets are not divided, each dispatcher has an equal share of the rate and of the burst.
//! With hundreds of dispatchers a share is smaller than one object, and two simple rules fail. If a
//! dispatcher has to save all KB of an object first and its savings are capped at its share of the
//! burst, it never sends. If it may overdraw once, every dispatcher sends an object at the same
//! time when a zone starts up. Here each dispatcher draws a random number once, and that part of an
//! object may be debt: it sends when it has saved the rest. All together they send what the burst
//! allows at once, and the rate from then on.
//!
//! There are three buckets in a row: for priority traffic, for objects that are small compared with
//! the usual size, and for the rest. What overflows one bucket fills the next and never goes back.
//! The first two may be overdrawn by one object, which is then waited off. Small reads may also use
//! a part of the burst while large ones wait until a debt is paid.

use std::cell::Cell;
use trailproxy::units::{TimeSpan, Timestamp, ZoneId};

/// Priority of traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// It uses the reserved bucket.
    First,
    /// It uses the other buckets.
    Plain,
}

/// One limit, as the operator sets it.
#[derive(Clone, Debug, PartialEq)]
pub struct Limit {
    /// The name; a limit is the same if its name is.
    pub name: String,
    /// The zone that traffic comes from; `None`: all other zones together.
    pub from: Option<ZoneId>,
    /// The zone that traffic goes to.
    pub to: ZoneId,
    /// Rate of all dispatchers of the zone together. Where it is learned, the initial rate.
    pub kb_per_s: f64,
    /// Burst of all dispatchers of the zone together.
    pub burst_kb: f64,
    /// The part that is reserved for priority traffic, from 0 to 1.
    pub reserve: f64,
    /// The rate is learned from the speed of fills, between these two; `None`: it is fixed.
    pub learned: Option<(f64, f64)>,
}

/// How long a refused size is saved up for after it was last refused.
const REFUSED_SIZE_RETENTION: TimeSpan = TimeSpan::from_secs(2);

/// One token bucket.
#[derive(Debug)]
struct Bucket {
    /// KB saved; negative where KB are owed.
    level: f64,
    rate: f64,
    cap: f64,
}

impl Bucket {
    /// Adds KB up to a cap and returns the rest.
    fn fill(&mut self, kb: f64, cap: f64) -> f64 {
        let full = self.level + kb;
        self.level = full.min(cap);
        full - self.level
    }
}

/// The fraction of a total that one dispatcher may use for a while, where budgets are divided by
/// need.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetPart {
    /// From 0 to 1.
    pub fraction: f64,
    /// Then the fraction becomes the floor; `None`: it is the floor already.
    pub valid_until: Option<Timestamp>,
    /// The fraction that never expires.
    pub floor: f64,
}

/// Half-life of the recent demand. A shorter one follows random changes, a longer one keeps parts
/// that others need.
const DEMAND_HALF_LIFE: TimeSpan = TimeSpan::from_secs(1);

/// Recent demand, whether it had room or not: KB a second, and how much of that has priority.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    all: f64,
    first: f64,
    at: Timestamp,
}

impl Demand {
    /// The demand with the decay up to now.
    fn at(self, now: Timestamp) -> Demand {
        let halvings = now.since(self.at).as_secs_f64() / DEMAND_HALF_LIFE.as_secs_f64();
        let factor = 0.5f64.powf(halvings);
        let at = self.at.max(now);
        Demand {
            all: self.all * factor,
            first: self.first * factor,
            at,
        }
    }

    fn add(&mut self, now: Timestamp, priority: Priority, kb: f64) {
        *self = self.at(now);
        // An even demand of so many KB a second adds up to as much here.
        let rate = kb * std::f64::consts::LN_2 / DEMAND_HALF_LIFE.as_secs_f64();
        self.all += rate;
        self.first += if priority == Priority::First {
            rate
        } else {
            0.0
        };
    }
}

/// The share of one dispatcher in one limit.
#[derive(Debug)]
pub struct Budget {
    /// The limit.
    pub limit: Limit,
    /// The present share; equal for all dispatchers where the limit is not divided.
    share: f64,
    equal_share: f64,
    part: Option<BudgetPart>,
    /// Share that was given up and whose savings may still be held here.
    given_up_share: f64,
    demand: Demand,
    reserved: Bucket,
    small: Bucket,
    common: Bucket,
    /// The largest size refused recently, and when it was last refused.
    refused_size: Cell<(f64, Timestamp)>,
    /// The part of a size that may be debt; drawn once, so that sends are evenly spaced over
    /// dispatchers.
    debt_fraction: f64,
    /// The usual size of what was sent, in KB, and the number of sends.
    usual_kb: f64,
    send_count: u32,
    at: Timestamp,
}

/// The part of the common burst that is saved up; the rest may be debt.
const SAVED_BURST_SHARE: f64 = 0.5;
/// The part of the rate, beside the reserve, that is for small reads, and the fraction of the usual
/// size up to which an object is small.
const SMALL_READS_SHARE: f64 = 0.2;
const SMALL_SIZE_FRACTION: f64 = 0.25;
/// Weight of the newest size in the usual size.
const USUAL_GAIN: f64 = 0.02;

/// The bucket that a charge was taken from; a correction goes back there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BucketKind {
    /// For priority traffic.
    Reserved,
    /// For small objects.
    Small,
    /// For the rest.
    Common,
}

impl Budget {
    /// `dispatchers`: those of the zone that the limit leads into.
    pub fn new(limit: Limit, dispatchers: f64, now: Timestamp, rng: &mut fastrand::Rng) -> Budget {
        let empty = || Bucket {
            level: 0.0,
            rate: 0.0,
            cap: 0.0,
        };
        let mut budget = Budget {
            limit,
            share: 1.0 / dispatchers.max(1.0),
            equal_share: 1.0 / dispatchers.max(1.0),
            part: None,
            given_up_share: 0.0,
            demand: Demand::default(),
            reserved: empty(),
            small: empty(),
            common: empty(),
            refused_size: Cell::new((0.0, Timestamp(0))),
            debt_fraction: rng.f64(),
            usual_kb: 0.0,
            send_count: 0,
            at: now,
        };
        budget.set_rates();
        budget
    }

    /// Distributes the limit's rate and burst over the buckets.
    fn set_rates(&mut self) {
        let (rate, burst) = (
            self.limit.kb_per_s * self.share,
            self.limit.burst_kb * self.share,
        );
        let reserved = self.limit.reserve.clamp(0.0, 1.0);
        let (first, rest) = (reserved, 1.0 - reserved);
        (self.reserved.rate, self.reserved.cap) = (rate * first, burst * first);
        let small = rest * SMALL_READS_SHARE;
        (self.small.rate, self.small.cap) = (rate * small, burst * small);
        let common = rest * (1.0 - SMALL_READS_SHARE);
        (self.common.rate, self.common.cap) = (rate * common, burst * common * SAVED_BURST_SHARE);
    }

    /// Replaces the limit: debts stay, savings shrink to the new caps.
    pub fn apply_limit(&mut self, limit: Limit, dispatchers: f64) {
        (self.limit, self.equal_share) = (limit, 1.0 / dispatchers.max(1.0));
        self.share = self.part.map_or(self.equal_share, |part| part.fraction);
        self.cut_savings();
    }

    /// Sets the part of this dispatcher; `None`: an equal share again. What is saved or owed stays,
    /// in KB: what one dispatcher gives back another has to save up again.
    pub fn set_part(&mut self, now: Timestamp, part: Option<BudgetPart>) {
        self.advance(now);
        self.part = part;
        let share = part.map_or(self.equal_share, |part| part.fraction);
        self.set_share(share);
        self.expire_part(now);
    }

    /// Reduces or raises the share. Savings under a share that shrinks are not taken at once: they
    /// run off as fast as the dispatcher that now has the rest saves it up, so that all together
    /// never have more than the burst.
    fn set_share(&mut self, share: f64) {
        self.given_up_share = (self.given_up_share + self.share - share).max(0.0);
        self.share = share;
        self.set_rates();
    }

    /// Replaces a part that has expired by the floor, whether or not a message said so.
    fn expire_part(&mut self, now: Timestamp) {
        if let Some(part) = self.part
            && part.valid_until.is_some_and(|until| until <= now)
        {
            let floor = part.floor.min(part.fraction);
            self.part = Some(BudgetPart {
                fraction: floor,
                valid_until: None,
                floor,
            });
            self.set_share(floor);
        }
    }

    /// Cuts savings to the caps.
    fn cut_savings(&mut self) {
        self.set_rates();
        for bucket in [&mut self.reserved, &mut self.small, &mut self.common] {
            bucket.level = bucket.level.min(bucket.cap);
        }
    }

    /// Counts a demand, whether it had room or not.
    pub fn on_demand(&mut self, now: Timestamp, priority: Priority, kb: f64) {
        self.demand.add(now, priority, kb);
    }

    /// The fraction of the limit that was recently wanted, and how much of that has priority.
    pub fn need(&self, now: Timestamp) -> (f64, f64) {
        let (demand, rate) = (self.demand.at(now), self.limit.kb_per_s.max(1e-9));
        (demand.all / rate, demand.first / rate)
    }

    /// Lets time pass.
    pub fn advance(&mut self, now: Timestamp) {
        // A clock that went back adds nothing and takes nothing.
        let until = self.part.and_then(|part| part.valid_until);
        let ends = until.filter(|&until| until <= now);
        if let Some(until) = ends {
            // The part applies up to its expiry, the floor from then on.
            self.fill_buckets(until);
            self.expire_part(until);
        }
        self.fill_buckets(now);
    }

    /// Reduces savings above the caps.
    fn reduce_excess(&mut self, passed: f64) {
        if self.given_up_share <= 0.0 {
            return;
        }
        let mut off = self.given_up_share * self.limit.kb_per_s * passed;
        let mut beyond = 0.0;
        for bucket in [&mut self.common, &mut self.small, &mut self.reserved] {
            let takes = off.min((bucket.level - bucket.cap).max(0.0));
            (bucket.level, off) = (bucket.level - takes, off - takes);
            beyond += (bucket.level - bucket.cap).max(0.0);
        }
        if beyond <= 0.0 {
            self.given_up_share = 0.0;
        }
    }

    /// Fills the buckets for the time since the last call.
    fn fill_buckets(&mut self, now: Timestamp) {
        let passed = now.since(self.at).as_secs_f64();
        self.at = now;
        self.reduce_excess(passed);
        let running = self.given_up_share > 0.0;
        // Savings from a larger share stay until they have run off.
        let cap = |bucket: &Bucket, cap: f64| if running { cap.max(bucket.level) } else { cap };
        let reserved = cap(&self.reserved, self.reserved.cap);
        let over = self.reserved.fill(self.reserved.rate * passed, reserved);
        let small = cap(&self.small, self.small.cap);
        let over = self.small.fill(self.small.rate * passed + over, small);
        let common = cap(&self.common, self.common.cap.max(self.refused_size(now)));
        self.common.fill(self.common.rate * passed + over, common);
    }

    /// The refused size that is still saved up for.
    fn refused_size(&self, now: Timestamp) -> f64 {
        let (kb, refused_at) = self.refused_size.get();
        let rate = self.common.rate.max(1e-9);
        // At least as long as it takes to save the size up; otherwise, with a few objects a minute,
        // a large one would never be sent.
        let retention = REFUSED_SIZE_RETENTION + TimeSpan::from_secs_f64(kb / rate);
        if now.since(refused_at) <= retention {
            kb
        } else {
            0.0
        }
    }

    /// The bucket from which so many KB can be sent now; `None` if there is no room.
    pub fn bucket_with_room(
        &self,
        now: Timestamp,
        priority: Priority,
        kb: f64,
    ) -> Option<BucketKind> {
        let need = kb * (1.0 - self.debt_fraction);
        let passed = now.since(self.at).as_secs_f64();
        let has = |bucket: &Bucket| bucket.level + bucket.rate * passed;
        let common = has(&self.common);
        match priority {
            Priority::First if has(&self.reserved) >= 0.0 => Some(BucketKind::Reserved),
            // Priority traffic may put the common bucket into debt, by a share of the burst.
            Priority::First if common + self.max_debt() >= need => Some(BucketKind::Common),
            Priority::Plain
                if kb <= SMALL_SIZE_FRACTION * self.usual_kb && has(&self.small) >= 0.0 =>
            {
                Some(BucketKind::Small)
            }
            Priority::Plain if common + self.max_debt() * self.smallness(kb) >= need => {
                Some(BucketKind::Common)
            }
            _ => None,
        }
    }

    /// The debt that the common bucket may have.
    fn max_debt(&self) -> f64 {
        self.common.cap / SAVED_BURST_SHARE * (1.0 - SAVED_BURST_SHARE)
    }

    /// 1 for size 0, a quarter for the usual size, towards 0 for large sizes.
    fn smallness(&self, kb: f64) -> f64 {
        let usual_kb = self.usual_kb.max(1e-9);
        (usual_kb / (usual_kb + kb)).powi(2)
    }

    /// Remembers a refused size, so that it is saved up for.
    pub fn on_refused(&self, now: Timestamp, kb: f64) {
        let before = self.refused_size(now);
        if kb >= before {
            self.refused_size.set((kb, now));
        }
    }

    /// Charges what is expected of a send.
    pub fn charge(&mut self, now: Timestamp, from: BucketKind, kb: f64) {
        self.advance(now);
        self.correct(from, kb);
        self.send_count = self.send_count.saturating_add(1);
        self.usual_kb += (kb - self.usual_kb) * USUAL_GAIN.max(1.0 / f64::from(self.send_count));
        if self.refused_size.get().0 <= kb {
            self.refused_size.set((0.0, Timestamp(0)));
        }
    }

    /// Takes KB from a bucket, or gives KB back where negative.
    pub fn correct(&mut self, from: BucketKind, kb: f64) {
        match from {
            BucketKind::Reserved => self.reserved.level -= kb,
            BucketKind::Small => self.small.level -= kb,
            BucketKind::Common => self.common.level -= kb,
        }
    }

    /// Time until plain traffic has room again; `None` if it has room.
    pub fn time_until_room(&self, now: Timestamp) -> Option<TimeSpan> {
        let refused_size = self.refused_size(now) * (1.0 - self.debt_fraction);
        let level = self.common.level + self.common.rate * now.since(self.at).as_secs_f64();
        let missing_kb = refused_size.max(0.0) - level;
        (missing_kb > 0.0).then(|| TimeSpan::from_secs_f64(missing_kb / self.common.rate.max(1e-6)))
    }

    /// KB saved in all buckets, for reports and checks.
    pub fn saved_kb(&self) -> f64 {
        self.reserved.level + self.small.level + self.common.level
    }

    /// The present rate of all dispatchers together.
    pub fn rate(&self) -> f64 {
        self.limit.kb_per_s
    }
}

/// Learns the rate of a link from the speed of its fills: it raises the rate while all fills are
/// fast and some requests were refused, and lowers it at once when fills slow down. It follows the
/// dispatcher's own share, so that the share of a dead dispatcher is taken over in time.
#[derive(Debug, Default)]
pub struct RateLearner {
    /// Speed of fills in KB/s: a slowly decreasing best, and the sum over the present step.
    best: f64,
    sum: f64,
    n: u32,
    refused: bool,
    step_at: Timestamp,
}

/// Interval between changes of the rate.
const LEARNING_STEP: TimeSpan = TimeSpan::from_secs(1);
/// Factor of a raise.
const RAISE_FACTOR: f64 = 1.05;
/// Factor of a reduction.
const REDUCE_FACTOR: f64 = 0.85;
/// Below this fraction of the best speed a link counts as full: two fills that share it run at
/// half.
const FULL_BELOW: f64 = 0.6;
/// Factor by which the best speed decreases with each step.
const BEST_DECAY: f64 = 0.995;
/// Smallest fill whose speed counts; the time of a smaller one is mostly latency.
const MIN_FILL_KB: f64 = 16.0;

impl RateLearner {
    /// Handles a fill that took `elapsed` from its first byte on.
    pub fn on_fill(&mut self, kb: f64, elapsed: TimeSpan) {
        if kb < MIN_FILL_KB || elapsed == TimeSpan::ZERO {
            return;
        }
        let pace = kb / elapsed.as_secs_f64();
        self.best = self.best.max(pace);
        (self.sum, self.n) = (self.sum + pace, self.n + 1);
    }

    /// Handles a refused request.
    pub fn on_refused(&mut self) {
        self.refused = true;
    }

    /// The new rate at the end of a step; `None` within a step.
    pub fn step(&mut self, now: Timestamp, rate: f64, bounds: (f64, f64)) -> Option<f64> {
        if now.since(self.step_at) < LEARNING_STEP {
            return None;
        }
        self.step_at = now;
        let mean = (self.n > 0).then(|| self.sum / f64::from(self.n));
        let full = mean.is_some_and(|mean| mean < FULL_BELOW * self.best);
        let next = match (full, self.refused) {
            (true, _) => rate * REDUCE_FACTOR,
            (false, true) => rate * RAISE_FACTOR,
            (false, false) => rate,
        };
        (self.sum, self.n, self.refused) = (0.0, 0, false);
        self.best *= BEST_DECAY;
        Some(next.clamp(bounds.0, bounds.1.max(bounds.0)))
    }
}

impl Budget {
    /// Among how many dispatchers the limit is divided.
    pub fn dispatchers(&self) -> f64 {
        1.0 / self.share
    }
}
