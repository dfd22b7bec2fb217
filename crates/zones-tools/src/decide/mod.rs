//! Calculation of the link and the reserve that a service needs.

/// The planner.
pub mod plan;
