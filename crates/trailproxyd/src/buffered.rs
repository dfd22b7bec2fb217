//! Counts the bytes buffered for all connections, which the memory limit bounds.

use std::cell::Cell;
use std::rc::Rc;

/// The number of bytes in buffers and queues of all connections together.
#[derive(Clone, Default)]
pub struct BufferedBytes(Rc<Cell<usize>>);

impl BufferedBytes {
    /// Records that a buffer changed its size from `before` to `after` bytes.
    pub fn change(&self, before: usize, after: usize) {
        self.0.set((self.0.get() + after).saturating_sub(before));
    }

    /// Returns the number of buffered bytes.
    pub fn bytes(&self) -> usize {
        self.0.get()
    }
}

/// An object's body on its way from a host to a client, included in [`BufferedBytes`] until it is dropped.
pub struct CountedBytes {
    bytes: Vec<u8>,
    buffered: BufferedBytes,
}

impl CountedBytes {
    /// Copies `bytes` and adds them to `buffered`.
    pub fn new(bytes: &[u8], buffered: &BufferedBytes) -> CountedBytes {
        buffered.change(0, bytes.len());
        CountedBytes {
            bytes: bytes.to_vec(),
            buffered: buffered.clone(),
        }
    }

    /// The bytes of the body.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for CountedBytes {
    fn drop(&mut self) {
        self.buffered.change(self.bytes.len(), 0);
    }
}
