//! The laboratory: a fleet in virtual time and on loopback, load, experiments, rule checks and reports.
//!
//! The dispatchers in it are the program's own: [`model`] calls [`trailproxy::logic::Dispatcher`], the loopback run
//! starts `trailproxyd`. What surrounds them are stand-ins; their figures are simulated.

pub mod bench;
pub mod chance;
pub mod crossing;
pub mod decide;
pub mod experiment;
pub mod loopback;
pub mod model;
pub mod report;
pub mod rules;
pub mod scenario;
pub mod tally;
pub mod traffic;
