//! The bytes that are held for connections, which the memory limit bounds.

use std::cell::Cell;
use std::rc::Rc;

/// Bytes held in rings and queues, all connections together.
#[derive(Clone, Default)]
pub struct BufferedBytes(Rc<Cell<usize>>);

impl BufferedBytes {
    pub fn change(&self, before: usize, after: usize) {
        self.0.set((self.0.get() + after).saturating_sub(before));
    }

    pub fn bytes(&self) -> usize {
        self.0.get()
    }
}

/// The bytes of an object on their way from a host to a client, counted as held.
pub struct CountedBytes {
    bytes: Vec<u8>,
    buffered: BufferedBytes,
}

impl CountedBytes {
    pub fn new(bytes: &[u8], buffered: &BufferedBytes) -> CountedBytes {
        buffered.change(0, bytes.len());
        CountedBytes {
            bytes: bytes.to_vec(),
            buffered: buffered.clone(),
        }
    }

    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for CountedBytes {
    fn drop(&mut self) {
        self.buffered.change(self.bytes.len(), 0);
    }
}
