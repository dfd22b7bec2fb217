//! The rules and per-host state that [`crate::logic`] decides by: what may be done, when a host is unhealthy or has been
//! replaced, how much memory may be used, which calls to the journal service are open, what system errors mean.

pub(crate) mod breaker;
pub(crate) mod host;
pub mod journal_calls;
pub mod memory;
pub mod permits;
pub mod refusals;
pub mod replaced_hosts;
pub mod stamps;
pub mod system_errors;

pub use host::Role;
