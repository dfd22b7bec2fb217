//! The bytes that are held for connections, which the memory limit bounds.

use std::cell::Cell;
use std::rc::Rc;

/// Bytes held in rings and queues, all connections together.
#[derive(Clone, Default)]
pub struct Held(Rc<Cell<usize>>);

impl Held {
    pub fn change(&self, before: usize, after: usize) {
        self.0.set((self.0.get() + after).saturating_sub(before));
    }

    pub fn bytes(&self) -> usize {
        self.0.get()
    }
}

/// The bytes of an object on their way from a host to a client, counted as held.
pub struct Parcel {
    bytes: Vec<u8>,
    held: Held,
}

impl Parcel {
    pub fn new(bytes: &[u8], held: &Held) -> Parcel {
        held.change(0, bytes.len());
        Parcel {
            bytes: bytes.to_vec(),
            held: held.clone(),
        }
    }

    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Parcel {
    fn drop(&mut self) {
        self.held.change(self.bytes.len(), 0);
    }
}
