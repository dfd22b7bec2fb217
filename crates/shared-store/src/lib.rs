//! State that dispatchers share in a store, and how they go on without it.
//!
//! [`decide::SharedState`] is the whole of the decisions: what happens goes in with a
//! [`Timestamp`](trailproxy::units::Timestamp), what is to be done comes out. [`scripts`] puts its operations into the words
//! of a Redis server and reads the answers. Neither opens a socket nor reads a clock.

pub mod config;
pub mod decide;
pub mod scripts;
