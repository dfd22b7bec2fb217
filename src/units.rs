//! Timestamps, time spans and one type for each kind of id.
//!
//! ```
//! use trailproxy::units::{Timestamp, TimeSpan};
//! let later = Timestamp(5_000) + TimeSpan::from_millis(2);
//! assert_eq!(later.since(Timestamp(5_000)), TimeSpan(2_000));
//! assert_eq!(Timestamp(5_000).since(later), TimeSpan::ZERO);
//! ```
//!
//! A timestamp and a time span have different types and can't be confused:
//!
//! ```compile_fail
//! use trailproxy::units::{Timestamp, TimeSpan};
//! let wrong: TimeSpan = Timestamp(1) + TimeSpan(1);
//! ```

use std::ops::{Add, AddAssign, Sub};

/// A point in time on the caller's clock, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timestamp(pub u64);

/// A length of time, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimeSpan(pub u64);

impl TimeSpan {
    /// The empty span.
    pub const ZERO: TimeSpan = TimeSpan(0);

    /// A span of whole milliseconds.
    pub const fn from_millis(ms: u64) -> TimeSpan {
        TimeSpan(ms * 1_000)
    }

    /// A span of whole seconds.
    pub const fn from_secs(s: u64) -> TimeSpan {
        TimeSpan(s * 1_000_000)
    }

    /// A span of `s` seconds; negative values and NaN give the empty span.
    pub fn from_secs_f64(s: f64) -> TimeSpan {
        TimeSpan((s.max(0.0) * 1e6) as u64)
    }

    /// The span in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// The span times `factor`; a negative factor gives the empty span.
    pub fn mul_f64(self, factor: f64) -> TimeSpan {
        TimeSpan((self.0 as f64 * factor.max(0.0)) as u64)
    }
}

impl Timestamp {
    /// The span from `earlier` to this timestamp; empty if `earlier` is later.
    pub fn since(self, earlier: Timestamp) -> TimeSpan {
        TimeSpan(self.0.saturating_sub(earlier.0))
    }
}

impl Add<TimeSpan> for Timestamp {
    type Output = Timestamp;
    fn add(self, span: TimeSpan) -> Timestamp {
        Timestamp(self.0.saturating_add(span.0))
    }
}

impl Sub<TimeSpan> for Timestamp {
    type Output = Timestamp;
    fn sub(self, span: TimeSpan) -> Timestamp {
        Timestamp(self.0.saturating_sub(span.0))
    }
}

impl Add for TimeSpan {
    type Output = TimeSpan;
    fn add(self, other: TimeSpan) -> TimeSpan {
        TimeSpan(self.0.saturating_add(other.0))
    }
}

impl Sub for TimeSpan {
    type Output = TimeSpan;
    fn sub(self, other: TimeSpan) -> TimeSpan {
        TimeSpan(self.0.saturating_sub(other.0))
    }
}

impl AddAssign for TimeSpan {
    fn add_assign(&mut self, other: TimeSpan) {
        *self = *self + other;
    }
}

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// One request, unique while it is pending.
    RequestId(u64);
    /// The index of an attempt among those of its request, from 0.
    AttemptNo(u8);
    /// A cache host, a parent or the origin.
    HostId(u64);
    /// An object with all its parts.
    ObjectId(u64);
    /// A group of objects that may be purged together.
    GroupId(u32);
    /// The index of a class in [`DispatcherSettings::classes`](crate::interface::DispatcherSettings::classes).
    ClassId(u16);
    /// A zone, by its index in the settings.
    ZoneId(u16);
    /// A kind of host, by its index in the settings.
    KindId(u8);
    /// A set of caches that share the idempotency keys they have seen.
    CellId(u16);
    /// A timer that the dispatcher has set.
    TimerId(u32);
}

impl HostId {
    /// The id of the host with this name: the same in every dispatcher and after every restart, whatever the host's
    /// address.
    ///
    /// ```
    /// use trailproxy::units::HostId;
    /// assert_eq!(HostId::of_name("cache-a"), HostId::of_name("cache-a"));
    /// assert_ne!(HostId::of_name("cache-a"), HostId::of_name("cache-b"));
    /// ```
    pub fn of_name(name: &str) -> HostId {
        let mut hash = 0xcbf2_9ce4_8422_2325u64;
        for byte in name.bytes() {
            hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
        HostId(hash)
    }
}
