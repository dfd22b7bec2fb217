//! The one buffer a direction of a connection: a ring that grows for a large message and gives its
//! memory back when it is empty.

use crate::buffered::BufferedBytes;

/// What an empty ring keeps, and the least it grows by.
pub const MIN_CAPACITY_BYTES: usize = 16 * 1024;

pub struct Ring {
    bytes: Box<[u8]>,
    head: usize,
    len: usize,
    buffered: BufferedBytes,
}

impl Ring {
    /// An empty ring; what it takes is counted as held.
    pub fn new(buffered: BufferedBytes) -> Ring {
        Ring {
            bytes: Box::default(),
            head: 0,
            len: 0,
            buffered,
        }
    }

    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    fn resize(&mut self, size: usize) {
        let mut bytes = vec![0; size].into_boxed_slice();
        let (first, second) = self.as_slices();
        bytes[..first.len()].copy_from_slice(first);
        bytes[first.len()..first.len() + second.len()].copy_from_slice(second);
        self.buffered.change(self.bytes.len(), size);
        (self.bytes, self.head) = (bytes, 0);
    }

    /// Makes room for so many bytes in all.
    pub fn reserve(&mut self, total: usize) {
        if total > self.bytes.len() {
            self.resize(total.next_multiple_of(MIN_CAPACITY_BYTES));
        }
    }

    /// Free room in one piece, never empty.
    pub fn free_space(&mut self) -> &mut [u8] {
        self.reserve(self.len + 1);
        let size = self.bytes.len();
        let start = (self.head + self.len) % size;
        let end = if start < self.head { self.head } else { size };
        &mut self.bytes[start..end]
    }

    /// So many bytes were written into the room.
    pub fn commit(&mut self, n: usize) {
        self.len += n;
        debug_assert!(self.len <= self.bytes.len());
    }

    pub fn push(&mut self, mut bytes: &[u8]) {
        self.reserve(self.len + bytes.len());
        while !bytes.is_empty() {
            let room = self.free_space();
            let n = room.len().min(bytes.len());
            room[..n].copy_from_slice(&bytes[..n]);
            self.commit(n);
            bytes = &bytes[n..];
        }
    }

    /// What is in it, in order, in one or two pieces.
    pub fn as_slices(&self) -> (&[u8], &[u8]) {
        let until = self.bytes.len() - self.head;
        match self.len <= until {
            true => (&self.bytes[self.head..self.head + self.len], &[]),
            false => (&self.bytes[self.head..], &self.bytes[..self.len - until]),
        }
    }

    /// What is in it, in one piece.
    pub fn as_contiguous(&mut self) -> &[u8] {
        if self.head + self.len > self.bytes.len() {
            self.bytes.rotate_left(self.head);
            self.head = 0;
        }
        &self.bytes[self.head..self.head + self.len]
    }

    pub fn consume(&mut self, n: usize) {
        debug_assert!(n <= self.len);
        self.len -= n.min(self.len);
        self.head = match self.len {
            0 => 0,
            _ => (self.head + n) % self.bytes.len(),
        };
    }

    /// Gives memory back where it is empty: all of it when idle, else what a large message took.
    pub fn release_memory(&mut self, idle: bool) {
        let keep = if idle { 0 } else { MIN_CAPACITY_BYTES };
        if self.len == 0 && self.bytes.len() > keep {
            self.resize(keep);
        }
    }
}

impl Drop for Ring {
    fn drop(&mut self) {
        self.buffered.change(self.bytes.len(), 0);
    }
}
