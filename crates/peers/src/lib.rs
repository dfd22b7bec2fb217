//! State that dispatchers share directly with each other, without a store.
//!
//! [`decide::Peers`] makes all decisions of one dispatcher. Events go in with a
//! [`Timestamp`](trailproxy::units::Timestamp); messages to other dispatchers and events for the
//! dispatcher's own decisions come out. It opens no socket and reads no clock. [`wire`] encodes
//! messages as datagrams and decodes them; [`config`] is the operator's section `peers`.

/// The operator's section `peers`.
pub mod config;
/// The decisions of one dispatcher about shared state.
pub mod decide;
/// The operator's sections `site`.
pub mod sites;
/// Encoding and decoding of datagrams.
pub mod wire;
