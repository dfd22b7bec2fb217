//! What stands in for the servers around a dispatcher.
//!
//! [`fleet::Fleet`] holds cache hosts, parents, the origin, the links between zones and the host list as one state
//! machine: what happens goes in with a [`Timestamp`](trailproxy::units::Timestamp), what the hosts say comes out. It opens
//! no socket and reads no clock, so that the same hosts serve a model in virtual time and, by [`loopback`], real
//! dispatchers on loopback addresses. None of it is a measurement of real machines.

pub mod addresses;
pub mod client;
pub mod fleet;
pub mod loopback;
pub mod pipe;
pub mod redis;
pub mod redis_server;
pub mod shape;
pub mod store;
