//! The control page of the fault shim: one file, mapped both by the test that orders faults and by the process that
//! suffers them.
//!
//! Everything in it is an atomic word, so that faults can be changed while the process runs and the number of injected
//! faults can be read back. The shim itself is the package `trailproxy-fault-shim`.

mod build;
mod page;

pub use build::shim_library;
pub use page::{Control, Kind, VARIABLE};

/// Whether and how a call of one kind fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The call goes through.
    Pass,
    /// The call fails with this `errno`.
    Fail(i32),
}
