//! The decisions that belong to experiments: what the program is compared with, and what to try next.
//!
//! None of it does I/O or reads a clock.

pub mod baseline;
pub mod hunt;
pub mod ramp;
pub mod shrink;
