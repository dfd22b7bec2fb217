//! Tools for traffic between zones that the dispatcher does not link: the operator's sections of
//! the configuration file, reports parsed from logs, and a planner.

/// The planner.
pub mod decide;
/// Reports in logs.
pub mod log;
/// The operator's sections.
pub mod sections;
