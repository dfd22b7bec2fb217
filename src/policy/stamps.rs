//! Lower bounds of the age of time stamps that come from other machines.
//!
//! The own wall clock may be wrong by hours, and so may any clock that stamps come from. Two bounds limit an age: the
//! own clock, and the newest stamp received so far plus the time since, which the stamping clock has reached at least.
//! The smaller age is used. An age that is too small is safe: a purge stays in force for longer, and a host counts as
//! cold for longer, each for a bounded time.

use crate::units::{TimeSpan, Timestamp};

/// What the stamps received so far say about the clock that makes them.
///
/// ```
/// use trailproxy::policy::stamps::Stamps;
/// use trailproxy::units::{Timestamp, TimeSpan};
/// let (stamp, hour) = (Timestamp(10_000_000_000), TimeSpan::from_secs(3_600));
/// // The own clock is an hour ahead: a stamp that was made just now is not an hour old.
/// let mut stamps = Stamps::default();
/// let now = stamp + hour;
/// stamps.observe(now, stamp);
/// assert_eq!(stamps.min_age(now, stamp), TimeSpan::ZERO);
/// // Another stamp, five seconds newer, shows that the first was five seconds old.
/// stamps.observe(now, stamp + TimeSpan::from_secs(5));
/// assert_eq!(stamps.min_age(now, stamp), TimeSpan::from_secs(5));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Stamps {
    /// The stamp that was furthest ahead when it was received, and the time of receipt on the own clock.
    newest: Option<(Timestamp, Timestamp)>,
}

impl Stamps {
    /// Takes note of a stamp that was received now.
    pub fn observe(&mut self, now: Timestamp, stamp: Timestamp) {
        if self
            .min_stamp_clock(now)
            .is_none_or(|reached| stamp > reached)
        {
            self.newest = Some((stamp, now));
        }
    }

    /// The earliest time that the clock of the stamps can show now.
    fn min_stamp_clock(&self, now: Timestamp) -> Option<Timestamp> {
        let (stamp, received_at) = self.newest?;
        Some(stamp + now.since(received_at))
    }

    /// Lower bound of the time since a stamp was made.
    pub fn min_age(&self, now: Timestamp, stamp: Timestamp) -> TimeSpan {
        let reached = self.min_stamp_clock(now).unwrap_or(stamp);
        reached.min(now).since(stamp)
    }

    /// The latest time on the own clock at which a stamp can have been made.
    pub fn latest_local_time(&self, now: Timestamp, stamp: Timestamp) -> Timestamp {
        now - self.min_age(now, stamp)
    }
}
