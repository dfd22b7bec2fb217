//! The control page of the fault shim: one file that is mapped both by the test that injects faults and by the process
//! in which they occur.
//!
//! Everything in it is an atomic word, so that faults can be changed while the process runs and the number of injected
//! faults can be read back. The shim itself is the package `trailproxy-fault-shim`.

mod build;
mod page;

pub use build::shim_library;
pub use page::{Control, Kind, VARIABLE};

/// Whether and how a system call fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The call is made.
    Pass,
    /// The call fails with this `errno`.
    Fail(i32),
}
