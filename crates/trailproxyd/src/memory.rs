//! Counts the memory that requests and answers use, and asks the policy before they use more.

use std::cell::Cell;
use std::rc::Rc;
use tokio::time::Instant;
use trailproxy::policy::memory::{self, MemoryFacts};
use trailproxy::units::TimeSpan;

/// What counted memory is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryUse {
    /// Connections, without their buffers.
    Connections,
    /// Requests, and messages of clients that are not complete.
    Requests,
    /// Answers, complete or not, up to their last byte that is written.
    Answers,
}

/// The memory of the process, shared by everything that holds requests or answers.
#[derive(Clone)]
pub struct MemoryAccount(Rc<State>);

struct State {
    limit: usize,
    connections: Cell<usize>,
    requests: Cell<usize>,
    answers: Cell<usize>,
    /// The estimate of what the process uses besides the counted bytes.
    overhead: Cell<usize>,
    /// The overhead at the start, below which the estimate never falls.
    initial_overhead: usize,
    /// When the resident memory was read last.
    read_at: Cell<Instant>,
    /// The bytes that were counted anew since then.
    added_since_reading: Cell<usize>,
    /// When free memory was last returned to the system.
    released_at: Cell<Instant>,
    /// The overhead after that.
    overhead_at_release: Cell<usize>,
}

impl MemoryAccount {
    /// Creates an account for a process that is killed above `limit` bytes.
    pub fn new(limit: usize) -> MemoryAccount {
        let overhead = resident_bytes().unwrap_or(0);
        MemoryAccount(Rc::new(State {
            limit,
            connections: Cell::default(),
            requests: Cell::default(),
            answers: Cell::default(),
            overhead: Cell::new(overhead),
            initial_overhead: overhead,
            read_at: Cell::new(Instant::now()),
            added_since_reading: Cell::default(),
            released_at: Cell::new(Instant::now()),
            overhead_at_release: Cell::new(overhead),
        }))
    }

    /// Creates an account without a limit.
    pub fn unlimited() -> MemoryAccount {
        // Far above any memory, and low enough for sums.
        MemoryAccount::new(usize::MAX / 4)
    }

    /// Whether this many more bytes may be used.
    pub fn may_add(&self, kind: MemoryUse, bytes: usize) -> bool {
        let age = age_of(self.0.read_at.get());
        let added = self.0.added_since_reading.get();
        if memory::reading_is_due(self.0.limit, age, added) {
            self.read_resident();
        }
        if !memory::fits(&self.facts(), bytes) || !self.allows(kind, bytes) {
            self.release_free_memory();
        }
        self.allows(kind, bytes)
    }

    /// Whether another request with an effect may be accepted while this many ids of earlier ones are kept.
    pub fn may_keep_id(&self, kept: usize) -> bool {
        memory::may_keep_id(self.0.limit, kept)
    }

    /// Whether the oldest incomplete message is to be skipped, while all of them hold this many bytes.
    pub fn must_skip_message(&self, incomplete: usize) -> bool {
        memory::must_skip_message(&self.facts(), incomplete)
    }

    /// Counts bytes until the charge is dropped, if they may be used.
    pub fn try_charge(&self, kind: MemoryUse, bytes: usize) -> Option<Charge> {
        self.may_add(kind, bytes)
            .then(|| Charge::new(self, kind, bytes))
    }

    /// The counted bytes of one kind.
    pub fn used(&self, kind: MemoryUse) -> usize {
        self.count_of(kind).get()
    }

    /// The counted bytes of all kinds.
    pub fn counted(&self) -> usize {
        self.0.connections.get() + self.0.requests.get() + self.0.answers.get()
    }

    /// The estimate of what the process uses besides the counted bytes.
    pub fn overhead(&self) -> usize {
        self.0.overhead.get()
    }

    fn count_of(&self, kind: MemoryUse) -> &Cell<usize> {
        match kind {
            MemoryUse::Connections => &self.0.connections,
            MemoryUse::Requests => &self.0.requests,
            MemoryUse::Answers => &self.0.answers,
        }
    }

    fn facts(&self) -> MemoryFacts {
        MemoryFacts {
            limit: self.0.limit,
            overhead: self.0.overhead.get(),
            connections: self.0.connections.get(),
            requests: self.0.requests.get(),
            answers: self.0.answers.get(),
        }
    }

    fn allows(&self, kind: MemoryUse, bytes: usize) -> bool {
        let facts = self.facts();
        match kind {
            // Their number has limits of its own.
            MemoryUse::Connections => true,
            MemoryUse::Requests => memory::may_hold_request(&facts, bytes),
            MemoryUse::Answers => memory::may_hold_answer(&facts, bytes),
        }
    }

    /// Reads the resident memory and derives the overhead from it.
    fn read_resident(&self) {
        let counted = self.counted();
        self.0.read_at.set(Instant::now());
        self.0.added_since_reading.set(0);
        if let Some(resident) = resident_bytes() {
            let initial = self.0.initial_overhead;
            let overhead = memory::overhead_by_reading(initial, resident, counted);
            self.0.overhead.set(overhead);
        }
    }

    /// Returns free memory of the heap to the system, at intervals. It remains resident otherwise, and there would be no
    /// room for new requests.
    fn release_free_memory(&self) {
        let age = age_of(self.0.released_at.get());
        let overhead = self.0.overhead.get();
        let grown = overhead.saturating_sub(self.0.overhead_at_release.get());
        if memory::may_release(self.0.limit, age, grown) {
            release_heap();
            self.read_resident();
            self.0.released_at.set(Instant::now());
            self.0.overhead_at_release.set(self.0.overhead.get());
        }
    }
}

/// Bytes that count as used until this is dropped.
pub struct Charge {
    account: MemoryAccount,
    kind: MemoryUse,
    bytes: usize,
}

impl Charge {
    /// Counts bytes, also where the policy would not allow them.
    pub fn new(account: &MemoryAccount, kind: MemoryUse, bytes: usize) -> Charge {
        let mut charge = Charge {
            account: account.clone(),
            kind,
            bytes: 0,
        };
        charge.resize(bytes);
        charge
    }

    /// Whether the charge may grow to this many bytes.
    pub fn may_grow_to(&self, bytes: usize) -> bool {
        self.account
            .may_add(self.kind, bytes.saturating_sub(self.bytes))
    }

    /// Counts this many bytes instead.
    pub fn resize(&mut self, bytes: usize) {
        let count = self.account.count_of(self.kind);
        count.set(count.get() + bytes - self.bytes);
        let added = &self.account.0.added_since_reading;
        added.set(added.get() + bytes.saturating_sub(self.bytes));
        self.bytes = bytes;
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.resize(0);
    }
}

/// The body of a request or of an answer, which counts as used until it is dropped.
pub struct CountedBytes {
    bytes: Vec<u8>,
    _charge: Charge,
}

impl CountedBytes {
    /// Copies `bytes` and counts them for an answer.
    pub fn new(bytes: &[u8], account: &MemoryAccount) -> CountedBytes {
        let charge = Charge::new(account, MemoryUse::Answers, bytes.len());
        CountedBytes::with_charge(bytes, charge)
    }

    /// Copies `bytes`, which are counted already.
    pub fn with_charge(bytes: &[u8], charge: Charge) -> CountedBytes {
        CountedBytes {
            bytes: bytes.to_vec(),
            _charge: charge,
        }
    }

    /// The bytes of the body.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }
}

impl AsRef<[u8]> for CountedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// How long ago an instant was.
fn age_of(at: Instant) -> TimeSpan {
    TimeSpan::from_secs_f64(at.elapsed().as_secs_f64())
}

/// Returns the resident memory of the process, if the system tells it.
fn resident_bytes() -> Option<usize> {
    let sizes = std::fs::read_to_string("/proc/self/statm").ok()?;
    let pages: usize = sizes.split_whitespace().nth(1)?.parse().ok()?;
    // SAFETY: the call reads a constant of the system and has no preconditions.
    let page_bytes = unsafe { libc::sysconf(libc::_SC_PAGESIZE) };
    Some(pages * usize::try_from(page_bytes).ok()?)
}

/// Returns free pages of the heap to the system.
fn release_heap() {
    #[cfg(target_env = "gnu")]
    // SAFETY: the call has no preconditions.
    unsafe {
        libc::malloc_trim(0);
    }
}
