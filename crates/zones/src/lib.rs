//! Traffic between zones: an account of what crosses, a budget that orders pass first, and sudden rises.
//!
//! [`Zones`] stands beside the decisions as their [`trailproxy::interface::CrossingLimits`]. It opens no file and reads no
//! clock; whoever drives the decisions asks it for events and reports. Sizes are in KB of 1,024 bytes.

pub mod decide;
pub mod report;

pub use decide::{Rules, Zones};
