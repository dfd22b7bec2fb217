//! State that dispatchers share in a store, and how they work without it.
//!
//! [`decide::SharedState`] makes all decisions: events go in with a
//! [`Timestamp`](trailproxy::units::Timestamp), actions come out. [`scripts`] turns its operations
//! into scripts of a Redis server and parses the answers. Neither opens a socket nor reads a clock.

/// The operator's section about the store.
pub mod config;
/// The decisions.
pub mod decide;
pub mod scripts;
