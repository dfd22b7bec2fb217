//! The bytes that a connection has still to write: small ones in a ring buffer, and the body of a large message, which is
//! written from where it is kept.
//!
//! A body that waits for its receiver is so held in memory once.

use crate::memory::{MemoryAccount, MemoryUse};
use crate::ring::Ring;
use std::io::IoSlice;

/// Longer bodies are not copied into the ring buffer.
const MAX_COPIED_BODY_BYTES: usize = 1024;
/// The largest number of parts that [`OutgoingBytes::parts`] returns.
pub const MAX_PARTS: usize = 4;

/// Encoded messages that are not fully written. `B` keeps the bytes of a body.
pub struct OutgoingBytes<B> {
    ring: Ring,
    /// The body that follows the content of the ring.
    body: Option<OutgoingBody<B>>,
}

/// A body, and the end of its message.
struct OutgoingBody<B> {
    bytes: B,
    end: &'static [u8],
    /// How many bytes of the body and the end are written.
    written: usize,
}

impl<B: AsRef<[u8]>> OutgoingBody<B> {
    fn parts(&self) -> [&[u8]; 2] {
        let body = self.bytes.as_ref();
        let (in_body, in_end) = (
            self.written.min(body.len()),
            self.written.saturating_sub(body.len()),
        );
        [&body[in_body..], &self.end[in_end..]]
    }
}

impl<B: AsRef<[u8]>> OutgoingBytes<B> {
    /// Creates an empty buffer that allocates nothing yet.
    pub fn new(account: &MemoryAccount) -> OutgoingBytes<B> {
        OutgoingBytes {
            ring: Ring::new(account, MemoryUse::Answers),
            body: None,
        }
    }

    /// Returns the number of bytes that are not written.
    pub fn len(&self) -> usize {
        let body = self.body.as_ref().map_or([&[][..]; 2], OutgoingBody::parts);
        self.ring.len() + body.map(<[u8]>::len).iter().sum::<usize>()
    }

    /// Returns whether everything is written.
    pub fn is_empty(&self) -> bool {
        self.ring.is_empty() && self.body.is_none()
    }

    /// Returns whether a body is not fully written. Nothing may be appended until it is.
    pub fn has_body(&self) -> bool {
        self.body.is_some()
    }

    /// Appends bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        debug_assert!(!self.has_body());
        self.ring.push(bytes);
    }

    /// Appends a body and what ends its message.
    pub fn push_body(&mut self, bytes: B, end: &'static [u8]) {
        debug_assert!(!self.has_body());
        if bytes.as_ref().len() <= MAX_COPIED_BODY_BYTES {
            self.ring.push(bytes.as_ref());
            self.ring.push(end);
        } else {
            let written = 0;
            self.body = Some(OutgoingBody {
                bytes,
                end,
                written,
            });
        }
    }

    /// Returns what is to be written, in order. Some of the parts may be empty.
    pub fn parts(&self) -> [IoSlice<'_>; MAX_PARTS] {
        let (first, second) = self.ring.as_slices();
        let [body, end] = self.body.as_ref().map_or([&[][..]; 2], OutgoingBody::parts);
        [first, second, body, end].map(IoSlice::new)
    }

    /// Removes the first `n` bytes, which are written.
    pub fn consume(&mut self, n: usize) {
        let from_ring = n.min(self.ring.len());
        self.ring.consume(from_ring);
        if let Some(body) = &mut self.body {
            body.written += n - from_ring;
            if body.parts().iter().all(|part| part.is_empty()) {
                self.body = None;
            }
        }
    }

    /// Removes everything.
    pub fn clear(&mut self) {
        self.ring.consume(self.ring.len());
        self.body = None;
    }

    /// Releases memory that is not needed: all of it if the connection is idle.
    pub fn release_memory(&mut self, idle: bool) {
        self.ring.release_memory(idle);
    }
}
