//! A randomized soak: ten to forty real dispatchers on loopback, under faults of many kinds that
//! overlap in time.
//!
//! [`plan`] draws a run from its seed, [`run`] executes it, and [`oracle`] judges it by what clients and servers saw
//! and by how the processes ended, never by what a dispatcher reports about itself. Only the dispatchers' counters of
//! broken invariants are read as well, and they are counted separately. `docs/soak.md` is the user documentation.

pub mod client;
pub mod oracle;
pub mod plan;
pub mod process;
pub mod proxy;
pub mod rogue;
pub mod run;
pub mod wire;
