//! trailproxy decides where objects are served, kept and filled from.
//!
//! [`logic::Dispatcher`] consumes the events of [`interface`] and returns actions. It opens no socket and reads no
//! clock, so it can be used behind any protocol and in simulations.

pub mod interface;
pub mod logic;
pub mod policy;
pub mod units;
