//! The parsers and buffers of the dispatcher on sockets, pure and bounded, for what else speaks its protocols.

pub mod buffered;
pub mod http;
pub mod msgpack;
pub mod resp;
pub mod ring;
pub mod sse;
pub mod stall_detector;
