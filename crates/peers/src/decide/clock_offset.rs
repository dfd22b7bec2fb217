//! The offset of one other clock, estimated from its time stamps.

use trailproxy::units::{TimeSpan, Timestamp};

/// Offsets up to this one count as none. In a fleet with synchronised clocks all copies of a fact
/// then have the same timestamp.
const NEGLIGIBLE_OFFSET: TimeSpan = TimeSpan::from_millis(50);

/// How far another clock is ahead of the own one, in microseconds; negative if it is behind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClockOffset(i64);

impl ClockOffset {
    /// The difference between a time stamp of the other clock and the time of its receipt.
    pub fn sample(received_at: Timestamp, stamp: Timestamp) -> ClockOffset {
        let difference = i128::from(stamp.0) - i128::from(received_at.0);
        let limit = i128::from(i64::MAX);
        ClockOffset(difference.clamp(-limit, limit) as i64)
    }

    /// The own clock's time at which the other clock shows `at`.
    pub fn to_local(self, at: Timestamp) -> Timestamp {
        Timestamp(at.0.saturating_add_signed(-self.0))
    }

    /// How much later than this offset suggests a message with this sample arrived.
    pub fn delay_of(self, sample: ClockOffset) -> TimeSpan {
        TimeSpan(u64::try_from(self.0.saturating_sub(sample.0)).unwrap_or(0))
    }

    /// This offset, or none if it is too small to matter.
    pub fn without_negligible(self) -> ClockOffset {
        match self.0.unsigned_abs() <= NEGLIGIBLE_OFFSET.0 {
            true => ClockOffset::default(),
            false => self,
        }
    }
}

/// The estimated offset of one other clock.
#[derive(Clone, Copy, Debug)]
pub struct OffsetEstimate {
    period: TimeSpan,
    period_start: Timestamp,
    last_sample_at: Timestamp,
    /// The largest sample of the current period.
    current: ClockOffset,
    /// The largest sample of the period before.
    previous: Option<ClockOffset>,
}

impl OffsetEstimate {
    /// An estimate from a first stamp, received now. Later ones are made from the samples of one to
    /// two periods, so that they follow a clock that runs faster or slower than the own one.
    pub fn new(now: Timestamp, stamp: Timestamp, period: TimeSpan) -> OffsetEstimate {
        OffsetEstimate {
            period,
            period_start: now,
            last_sample_at: now,
            current: ClockOffset::sample(now, stamp),
            previous: None,
        }
    }

    /// Takes a stamp into account that was received now.
    pub fn observe(&mut self, now: Timestamp, stamp: Timestamp) {
        let sample = ClockOffset::sample(now, stamp);
        self.last_sample_at = now;
        if now.since(self.period_start) >= self.period {
            self.previous = Some(self.current);
            (self.period_start, self.current) = (now, sample);
        }
        self.current = self.current.max(sample);
    }

    /// When the last stamp was received.
    pub fn last_sample_at(&self) -> Timestamp {
        self.last_sample_at
    }

    /// The estimated offset.
    pub fn offset(&self) -> ClockOffset {
        self.previous
            .map_or(self.current, |previous| previous.max(self.current))
    }
}
