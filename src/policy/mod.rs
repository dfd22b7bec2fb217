//! Decisions, split by job.

pub mod permits;
pub mod refusals;
pub mod system_errors;
