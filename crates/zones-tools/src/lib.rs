//! What serves traffic between zones beside the dispatcher, and what the dispatcher need not link: the operator's
//! section out of its script, reports read again from logs, and a planner.

pub mod decide;
pub mod log;
pub mod sections;
