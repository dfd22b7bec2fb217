//! Points in time, spans of time and one type for each kind of id.
//!
//! ```
//! use trailproxy::units::{Timestamp, TimeSpan};
//! let later = Timestamp(5_000) + TimeSpan::from_millis(2);
//! assert_eq!(later.since(Timestamp(5_000)), TimeSpan(2_000));
//! assert_eq!(Timestamp(5_000).since(later), TimeSpan::ZERO);
//! ```
//!
//! A point and a span can't be mixed up:
//!
//! ```compile_fail
//! use trailproxy::units::{Timestamp, TimeSpan};
//! let wrong: TimeSpan = Timestamp(1) + TimeSpan(1);
//! ```

use std::ops::{Add, AddAssign, Sub};

/// A point on the caller's clock, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timestamp(pub u64);

/// A length of time, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimeSpan(pub u64);

impl TimeSpan {
    pub const ZERO: TimeSpan = TimeSpan(0);

    pub const fn from_millis(ms: u64) -> TimeSpan {
        TimeSpan(ms * 1_000)
    }

    pub const fn from_secs(s: u64) -> TimeSpan {
        TimeSpan(s * 1_000_000)
    }

    /// Negative and unordered figures give the empty span.
    pub fn from_secs_f64(s: f64) -> TimeSpan {
        TimeSpan((s.max(0.0) * 1e6) as u64)
    }

    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    pub fn mul_f64(self, factor: f64) -> TimeSpan {
        TimeSpan((self.0 as f64 * factor.max(0.0)) as u64)
    }
}

impl Timestamp {
    /// The span from `earlier` to this moment; empty if `earlier` is later.
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
    /// One access, as long as it is open.
    RequestId(u64);
    /// The place of a hand-off among those of its access, from 0.
    AttemptNo(u8);
    /// A cache host, a parent or the origin.
    HostId(u64);
    /// An object, whatever the part.
    ObjectId(u64);
    /// A group of objects that may be purged together.
    GroupId(u32);
    /// The place of a track in the terms.
    ClassId(u16);
    /// A zone, by its place in the terms.
    ZoneId(u16);
    /// A kind of machine, by its place in the terms.
    KindId(u8);
    /// A set of caches that share the fingerprints they have seen.
    CellId(u16);
    /// Names a wake-up that was asked for.
    TimerId(u32);
}

impl HostId {
    /// The same number for a host in every dispatcher and after every restart, whatever its address.
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
