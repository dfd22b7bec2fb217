//! trailproxy decides where objects are served, kept and filled from.
//!
//! [`logic::Dispatcher`] takes the events of [`interface`] and answers with its actions; it opens no
//! socket and reads no clock, so any protocol can be put before it.

pub mod interface;
pub mod logic;
pub mod policy;
pub mod units;
