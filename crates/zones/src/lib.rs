//! Traffic between zones: an account of what crosses, budgets in which writes have priority, and
//! detection of sudden rises.
//!
//! [`Zones`] implements [`trailproxy::interface::CrossingLimits`] for the decisions. It opens no
//! file and reads no clock; the caller asks it for alerts and reports. Sizes are in KB of 1,024
//! bytes.

/// The decisions and the operator's section.
pub mod decide;
/// Reports of the account.
pub mod report;

pub use decide::{Rules, Zones};
