//! The buffer for one direction of a connection: a ring buffer that grows for a large message and releases its memory
//! when it is empty.

use crate::memory::{Charge, MemoryAccount, MemoryUse};

/// The capacity that an empty buffer of an active connection keeps, and the step by which a buffer grows. Each
/// connection may have it, however much memory is in use.
pub const MIN_CAPACITY_BYTES: usize = 4 * 1024;

/// What unused space contains. Zeros would come from pages that are not resident before they are written, and what is
/// counted has to be resident.
const UNUSED_BYTE: u8 = 0xff;

/// A ring buffer whose capacity is counted in a [`MemoryAccount`].
pub struct Ring {
    bytes: Box<[u8]>,
    head: usize,
    len: usize,
    charge: Charge,
}

impl Ring {
    /// Creates an empty buffer that allocates nothing yet.
    pub fn new(account: &MemoryAccount, kind: MemoryUse) -> Ring {
        Ring {
            bytes: Box::default(),
            head: 0,
            len: 0,
            charge: Charge::new(account, kind, 0),
        }
    }

    /// Returns the number of bytes in the buffer.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the buffer holds no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the number of bytes that the buffer can hold without growing.
    pub fn capacity(&self) -> usize {
        self.bytes.len()
    }

    fn resize(&mut self, size: usize) {
        let mut bytes = vec![UNUSED_BYTE; size].into_boxed_slice();
        let (first, second) = self.as_slices();
        bytes[..first.len()].copy_from_slice(first);
        bytes[first.len()..first.len() + second.len()].copy_from_slice(second);
        self.charge.resize(size);
        (self.bytes, self.head) = (bytes, 0);
    }

    /// Grows the capacity to at least `total` bytes.
    pub fn reserve(&mut self, total: usize) {
        if total > self.bytes.len() {
            self.resize(total.next_multiple_of(MIN_CAPACITY_BYTES));
        }
    }

    /// Grows the capacity to at least `total` bytes if the memory limit allows it, and returns whether the buffer has
    /// that capacity. [`MIN_CAPACITY_BYTES`] are always allowed.
    pub fn try_reserve(&mut self, total: usize) -> bool {
        let size = total.next_multiple_of(MIN_CAPACITY_BYTES);
        let allowed = total <= self.bytes.len()
            || size <= MIN_CAPACITY_BYTES
            || self.charge.may_grow_to(size);
        if allowed {
            self.reserve(total);
        }
        allowed
    }

    /// Returns a contiguous part of the free space. It is never empty: the buffer grows if it is full.
    pub fn free_space(&mut self) -> &mut [u8] {
        self.reserve(self.len + 1);
        let size = self.bytes.len();
        let start = (self.head + self.len) % size;
        let end = if start < self.head { self.head } else { size };
        &mut self.bytes[start..end]
    }

    /// Adds the first `n` bytes of [`Ring::free_space`] to the content.
    pub fn commit(&mut self, n: usize) {
        self.len += n;
        debug_assert!(self.len <= self.bytes.len());
    }

    /// Appends bytes.
    pub fn push(&mut self, mut bytes: &[u8]) {
        self.reserve(self.len + bytes.len());
        while !bytes.is_empty() {
            let space = self.free_space();
            let n = space.len().min(bytes.len());
            space[..n].copy_from_slice(&bytes[..n]);
            self.commit(n);
            bytes = &bytes[n..];
        }
    }

    /// Returns the content in order as two slices, of which the second is empty if the content is contiguous.
    pub fn as_slices(&self) -> (&[u8], &[u8]) {
        let until = self.bytes.len() - self.head;
        match self.len <= until {
            true => (&self.bytes[self.head..self.head + self.len], &[]),
            false => (&self.bytes[self.head..], &self.bytes[..self.len - until]),
        }
    }

    /// Moves the content if it wraps around, and returns it as one slice.
    pub fn as_contiguous(&mut self) -> &[u8] {
        if self.head + self.len > self.bytes.len() {
            self.bytes.rotate_left(self.head);
            self.head = 0;
        }
        &self.bytes[self.head..self.head + self.len]
    }

    /// Removes the first `n` bytes.
    pub fn consume(&mut self, n: usize) {
        debug_assert!(n <= self.len);
        self.len -= n.min(self.len);
        self.head = match self.len {
            0 => 0,
            _ => (self.head + n) % self.bytes.len(),
        };
    }

    /// Releases the free space, up to a multiple of [`MIN_CAPACITY_BYTES`].
    pub fn shrink(&mut self) {
        self.resize(self.len.next_multiple_of(MIN_CAPACITY_BYTES));
    }

    /// Releases the memory of an empty buffer: all of it if the connection is idle, otherwise what exceeds
    /// [`MIN_CAPACITY_BYTES`].
    pub fn release_memory(&mut self, idle: bool) {
        let keep = if idle { 0 } else { MIN_CAPACITY_BYTES };
        if self.len == 0 && self.bytes.len() > keep {
            self.resize(keep);
        }
    }
}
