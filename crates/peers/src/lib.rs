//! State that dispatchers hold in common, with nothing beside them.
//!
//! [`decide::Peers`] is the whole of the decisions of one dispatcher: what happens goes in with a
//! [`Timestamp`](trailproxy::units::Timestamp), messages to others and facts for its own decisions come out. It opens no socket
//! and reads no clock. [`wire`] puts messages into datagrams and reads them; [`config`] is the operator's section.

pub mod config;
pub mod decide;
pub mod sites;
pub mod wire;
