//! A randomized soak: ten to forty real dispatchers on loopback, under troubles of many kinds that overlap in time.
//!
//! [`plan`] draws a run from its seed, [`run`] plays it, and [`oracle`] judges it by what clients and servers saw and by
//! how the processes ended, never by what a dispatcher says of itself; only the counters of broken invariants that
//! dispatchers keep are read as well, and counted apart. `docs/soak.md` is the page for its users.

pub mod client;
pub mod oracle;
pub mod plan;
pub mod process;
pub mod proxy;
pub mod rogue;
pub mod run;
