//! What a real dispatcher costs in a large fleet, measured from outside.
//!
//! Two layers share one way of starting dispatchers and of reading their use through `/proc`. [`hollow`] puts a few real
//! processes among many members that are only the cores of [`trailproxy_peers`] on sockets of their own; [`processes`]
//! starts real processes only, at rest and under load. Nothing here decides anything for a dispatcher. All traffic stays
//! on loopback, and every process that is started is ended when its handle is dropped.

pub mod cost;
pub mod dispatcher;
pub mod figures;
pub mod hollow;

pub mod load;
pub mod member;
pub mod order;
pub mod plan;

pub mod processes;
pub mod question;
pub mod run;
pub mod slope;
pub mod surroundings;
pub mod usage;
pub mod worker;
