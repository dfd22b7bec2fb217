//! The layout of the control page, and access to it from both sides.

use crate::Verdict;
use std::fs::File;
use std::io;
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::time::Duration;

/// The environment variable that names the file of the control page.
pub const VARIABLE: &str = "TRAILPROXY_FAULTS";

/// Length of the page in 64-bit words; not all of them are used.
const WORDS: usize = 512;
const PAGE_BYTES: usize = WORDS * size_of::<u64>();
/// Index of the first word of the first [`Kind`].
const FIRST_KIND_WORD: usize = 8;
const WORDS_PER_KIND: usize = 4;
/// Most `errno` values that are kept for a kind, sixteen bits each.
const MAX_ERRNOS: usize = 4;
const MILLION: u64 = 1_000_000;

/// The kinds of system calls that can be made to fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Reading from a TCP connection.
    Read,
    /// Writing to a TCP connection.
    Write,
    /// Reading from a TCP connection: the call reads one byte. The `errno` is not used.
    ShortRead,
    /// Writing to a TCP connection: the call writes one byte. The `errno` is not used.
    ShortWrite,
    /// `accept4(2)`.
    Accept,
    /// `socket(2)`.
    Socket,
    /// `connect(2)`.
    Connect,
    /// `epoll_wait(2)`.
    EpollWait,
    /// `socketpair(2)`, `epoll_create1(2)` and `eventfd(2)`: what the event loop of a process needs for wake-ups.
    WakeUp,
    /// Opening a file to read it.
    OpenRead,
    /// Writing to a regular file.
    FileWrite,
    /// `fsync(2)`, `fdatasync(2)` and `rename(2)`.
    FileSync,
}

impl Kind {
    /// All kinds, in the order of their words in the page.
    pub const ALL: [Kind; 12] = [
        Kind::Read,
        Kind::Write,
        Kind::ShortRead,
        Kind::ShortWrite,
        Kind::Accept,
        Kind::Socket,
        Kind::Connect,
        Kind::EpollWait,
        Kind::WakeUp,
        Kind::OpenRead,
        Kind::FileWrite,
        Kind::FileSync,
    ];
}

/// The four words of one kind in the page.
#[repr(C)]
struct Fault {
    /// How many of the next calls fail, regardless of the share.
    next: AtomicU64,
    /// The share of calls that fail, in millionths.
    per_million: AtomicU64,
    /// Up to [`MAX_ERRNOS`] packed `errno` values.
    errnos: AtomicU64,
    /// How many calls have been made to fail.
    injected: AtomicU64,
}

/// A mapped control page. The mapping is kept until the process ends.
#[derive(Clone, Copy)]
pub struct Control {
    words: *const u64,
}

// All access goes through atomics.
unsafe impl Send for Control {}
unsafe impl Sync for Control {}

impl Control {
    /// Creates a page without faults and maps it.
    pub fn create(path: &Path) -> io::Result<Control> {
        std::fs::write(path, [0; PAGE_BYTES])?;
        let file = File::options().read(true).write(true).open(path)?;
        Control::map(file.as_raw_fd()).ok_or_else(io::Error::last_os_error)
    }

    /// Maps the page behind an open descriptor.
    pub fn map(descriptor: i32) -> Option<Control> {
        let protection = libc::PROT_READ | libc::PROT_WRITE;
        // SAFETY: a fresh mapping of a file that is as long as the page; the result is checked.
        let words = unsafe {
            libc::mmap(
                std::ptr::null_mut(),
                PAGE_BYTES,
                protection,
                libc::MAP_SHARED,
                descriptor,
                0,
            )
        };
        (words != libc::MAP_FAILED).then_some(Control {
            words: words.cast(),
        })
    }

    /// Returns a path for a page that no other test uses.
    pub fn fresh_path() -> PathBuf {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let nth = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("trailproxy-faults-{}-{nth}", std::process::id());
        std::env::temp_dir().join(name)
    }

    fn clock(&self) -> &AtomicI64 {
        // SAFETY: the first word lies within the mapping, which is never unmapped, and is aligned.
        unsafe { &*self.words.cast() }
    }

    fn fault(&self, kind: Kind) -> &Fault {
        let at = FIRST_KIND_WORD + kind as usize * WORDS_PER_KIND;
        debug_assert!(at + WORDS_PER_KIND <= WORDS);
        // SAFETY: the four words lie within the mapping, which is never unmapped, and are aligned.
        unsafe { &*self.words.add(at).cast() }
    }

    /// Sets by how much the wall clock of the process is ahead of the machine's.
    pub fn set_clock_ahead(&self, ahead: Duration) {
        let ahead = ahead.as_millis() as i64;
        self.clock().store(ahead, Ordering::Relaxed);
    }

    /// Sets by how much the wall clock of the process is behind the machine's.
    pub fn set_clock_behind(&self, behind: Duration) {
        let behind = behind.as_millis() as i64;
        self.clock().store(-behind, Ordering::Relaxed);
    }

    /// By how many milliseconds the wall clock is ahead; negative if it is behind.
    pub fn clock_ahead_ms(&self) -> i64 {
        self.clock().load(Ordering::Relaxed)
    }

    fn set_errnos(&self, kind: Kind, errnos: &[i32]) {
        let pack = |packed: u64, &errno: &i32| packed << 16 | errno as u64;
        let packed = errnos.iter().take(MAX_ERRNOS).fold(0, pack);
        self.fault(kind).errnos.store(packed, Ordering::Relaxed);
    }

    /// Makes the next `calls` calls of this kind fail, each with one of the errors.
    pub fn fail_next(&self, kind: Kind, calls: u64, errnos: &[i32]) {
        self.set_errnos(kind, errnos);
        self.fault(kind).next.store(calls, Ordering::Relaxed);
    }

    /// Makes this share of all calls of this kind fail from now on, each with one of the errors.
    pub fn fail_share(&self, kind: Kind, share: f64, errnos: &[i32]) {
        self.set_errnos(kind, errnos);
        let per_million = (share.clamp(0.0, 1.0) * MILLION as f64) as u64;
        let fault = self.fault(kind);
        fault.per_million.store(per_million, Ordering::Relaxed);
    }

    /// Removes all faults of calls; the clock stays as it is.
    pub fn heal(&self) {
        for kind in Kind::ALL {
            let fault = self.fault(kind);
            fault.next.store(0, Ordering::Relaxed);
            fault.per_million.store(0, Ordering::Relaxed);
        }
    }

    /// How many calls of this kind have been made to fail.
    pub fn injected(&self, kind: Kind) -> u64 {
        self.fault(kind).injected.load(Ordering::Relaxed)
    }

    /// Decides whether a call fails; the shim asks before each call. `random` is a number that differs from call to call.
    pub fn verdict(&self, kind: Kind, random: u64) -> Verdict {
        let fault = self.fault(kind);
        let decrement = |left: u64| left.checked_sub(1);
        let is_counted = (fault.next)
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement)
            .is_ok();
        let is_drawn = random % MILLION < fault.per_million.load(Ordering::Relaxed);
        if !is_counted && !is_drawn {
            return Verdict::Pass;
        }
        fault.injected.fetch_add(1, Ordering::Relaxed);
        Verdict::Fail(pick_errno(
            fault.errnos.load(Ordering::Relaxed),
            random / MILLION,
        ))
    }
}

/// Selects one of the packed errors; `EIO` if there are none.
fn pick_errno(packed: u64, random: u64) -> i32 {
    let errnos: [i32; MAX_ERRNOS] =
        std::array::from_fn(|nth| (packed >> (16 * nth) & 0xffff) as i32);
    let count = errnos.iter().take_while(|errno| **errno != 0).count();
    match count {
        0 => libc::EIO,
        count => errnos[random as usize % count],
    }
}
