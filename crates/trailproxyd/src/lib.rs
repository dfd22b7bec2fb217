//! Parsers, buffers, the account of memory and the stall detector of the daemon, without connections and bounded in
//! memory. They are a library so that
//! tests and other programs that speak the same protocols can use them.

pub mod http;
pub mod memory;
pub mod msgpack;
pub mod outgoing;
pub mod resp;
pub mod ring;
pub mod sse;
pub mod stall_detector;
