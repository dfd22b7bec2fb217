//! How old another machine's time stamp is at least.
//!
//! The own wall clock may be wrong by hours, and so may one of the clocks that stamps come from. An age is therefore taken
//! to be no longer than two witnesses allow: the own clock, and the newest stamp heard so far with the time that has run
//! since, which is where the stamps' own clock has got to at least. An age that is too short is safe: a purge binds for
//! longer, and a host counts as cold for longer, each for a bounded time.

use crate::units::{TimeSpan, Timestamp};

/// The stamps heard so far, as far as they bound the time.
///
/// ```
/// use trailproxy::policy::stamps::Stamps;
/// use trailproxy::units::{Timestamp, TimeSpan};
/// let (stamp, hour) = (Timestamp(10_000_000_000), TimeSpan::from_secs(3_600));
/// // The own clock is an hour ahead: what was stamped just now is not an hour old.
/// let mut stamps = Stamps::default();
/// let now = stamp + hour;
/// stamps.heard(now, stamp);
/// assert_eq!(stamps.least_age(now, stamp), TimeSpan::ZERO);
/// // Another stamp, five seconds newer, shows that the first was five seconds old.
/// stamps.heard(now, stamp + TimeSpan::from_secs(5));
/// assert_eq!(stamps.least_age(now, stamp), TimeSpan::from_secs(5));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Stamps {
    /// The stamp that was furthest ahead when it was heard, and when that was by the own clock.
    furthest: Option<(Timestamp, Timestamp)>,
}

impl Stamps {
    /// A stamp came.
    pub fn heard(&mut self, now: Timestamp, stamp: Timestamp) {
        if self.reached(now).is_none_or(|reached| stamp > reached) {
            self.furthest = Some((stamp, now));
        }
    }

    /// Where the clock of the stamps has got to at least.
    fn reached(&self, now: Timestamp) -> Option<Timestamp> {
        let (stamp, heard) = self.furthest?;
        Some(stamp + now.since(heard))
    }

    /// How long ago a stamp was made, at least.
    pub fn least_age(&self, now: Timestamp, stamp: Timestamp) -> TimeSpan {
        let reached = self.reached(now).unwrap_or(stamp);
        reached.min(now).since(stamp)
    }

    /// When by the own clock that was, at the latest.
    pub fn latest(&self, now: Timestamp, stamp: Timestamp) -> Timestamp {
        now - self.least_age(now, stamp)
    }
}
