//! The logic of trials: the faults to inject, and the count of what happened. Nothing here reaches a process.

pub mod keys;
pub mod script;
