//! Parsers, buffers and the stall detector of the daemon, without I/O and bounded in memory. They are a library so that
//! tests and other programs that speak the same protocols can use them.

pub mod buffered;
pub mod http;
pub mod msgpack;
pub mod resp;
pub mod ring;
pub mod sse;
pub mod stall_detector;
