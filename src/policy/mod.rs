//! Decisions, split by job.

pub mod permits;
pub mod refusals;
pub mod stamps;
pub mod system_errors;
