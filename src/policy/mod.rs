//! Decisions, split by job.

pub(crate) mod breaker;
pub(crate) mod host;
pub mod permits;
pub mod refusals;
pub mod stamps;
pub mod system_errors;
