//! Trials: several real dispatchers run against stand-in hosts and clients. A relay carries the messages between each
//! pair of dispatchers, and faults are injected by a script.
//!
//! [`decide::keys`] counts what clients and hosts saw of each idempotency key; it uses nothing that dispatchers report
//! about themselves. [`decide::script`] reads and draws faults, and finds the shortest script that still fails.
//! [`relay`] and [`play`] apply the faults to processes.

pub mod decide;
pub mod play;
pub mod relay;
