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

/// Words in the page; fewer are used.
const WORDS: usize = 512;
const PAGE_BYTES: usize = WORDS * size_of::<u64>();
/// The words of the first kind begin here.
const FIRST_KIND: usize = 8;
const WORDS_PER_KIND: usize = 4;
/// So many different `errno` values are kept for a kind, sixteen bits each.
const MOST_ERRNOS: usize = 4;
const MILLION: u64 = 1_000_000;

/// The kinds of system calls that can be made to fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Reading from a TCP connection.
    Read,
    /// Writing to a TCP connection.
    Write,
    /// Reading from a TCP connection: it is given one byte. The `errno` is not used.
    ShortRead,
    /// Writing to a TCP connection: one byte is taken. The `errno` is not used.
    ShortWrite,
    Accept,
    /// `socket(2)`.
    Socket,
    Connect,
    EpollWait,
    /// `socketpair(2)`, `epoll_create1(2)` and `eventfd(2)`: what a process needs to be woken up.
    WakeUp,
    /// Opening a file to read it.
    OpenRead,
    /// Writing to a regular file.
    FileWrite,
    /// `fsync(2)`, `fdatasync(2)` and `rename(2)`.
    FileSync,
}

impl Kind {
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

/// The four words of one kind.
#[repr(C)]
struct Fault {
    /// So many calls fail from now on, whatever the share says.
    next: AtomicU64,
    per_million: AtomicU64,
    errnos: AtomicU64,
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
    /// Makes a page in which nothing fails, and maps it.
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

    /// A path for a page that no other test has.
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
        let at = FIRST_KIND + kind as usize * WORDS_PER_KIND;
        debug_assert!(at + WORDS_PER_KIND <= WORDS);
        // SAFETY: the four words lie within the mapping, which is never unmapped, and are aligned.
        unsafe { &*self.words.add(at).cast() }
    }

    /// Steps the wall clock of the process: it is ahead of the machine's by this much from now on.
    pub fn set_clock_ahead(&self, ahead: Duration) {
        let ahead = ahead.as_millis() as i64;
        self.clock().store(ahead, Ordering::Relaxed);
    }

    /// The same, for a clock that is behind.
    pub fn set_clock_behind(&self, behind: Duration) {
        let behind = behind.as_millis() as i64;
        self.clock().store(-behind, Ordering::Relaxed);
    }

    /// By how many milliseconds the wall clock is ahead.
    pub fn clock_ahead_ms(&self) -> i64 {
        self.clock().load(Ordering::Relaxed)
    }

    fn set_errnos(&self, kind: Kind, errnos: &[i32]) {
        let pack = |packed: u64, &errno: &i32| packed << 16 | errno as u64;
        let packed = errnos.iter().take(MOST_ERRNOS).fold(0, pack);
        self.fault(kind).errnos.store(packed, Ordering::Relaxed);
    }

    /// The next calls of this kind fail, each with one of the errors.
    pub fn fail_next(&self, kind: Kind, calls: u64, errnos: &[i32]) {
        self.set_errnos(kind, errnos);
        self.fault(kind).next.store(calls, Ordering::Relaxed);
    }

    /// This share of all calls of the kind fails from now on, each with one of the errors.
    pub fn fail_share(&self, kind: Kind, share: f64, errnos: &[i32]) {
        self.set_errnos(kind, errnos);
        let per_million = (share.clamp(0.0, 1.0) * MILLION as f64) as u64;
        let fault = self.fault(kind);
        fault.per_million.store(per_million, Ordering::Relaxed);
    }

    /// No call fails from now on; the clock stays as it is.
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

    /// Asked by the shim before a call: what becomes of it. `random` is any number that differs from call to call.
    pub fn verdict(&self, kind: Kind, random: u64) -> Verdict {
        let fault = self.fault(kind);
        let left = |left: u64| left.checked_sub(1);
        let ordered = (fault.next)
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, left)
            .is_ok();
        let drawn = random % MILLION < fault.per_million.load(Ordering::Relaxed);
        if !ordered && !drawn {
            return Verdict::Pass;
        }
        fault.injected.fetch_add(1, Ordering::Relaxed);
        Verdict::Fail(pick_errno(
            fault.errnos.load(Ordering::Relaxed),
            random / MILLION,
        ))
    }
}

/// One of the packed errors.
fn pick_errno(packed: u64, random: u64) -> i32 {
    let errnos: [i32; MOST_ERRNOS] =
        std::array::from_fn(|nth| (packed >> (16 * nth) & 0xffff) as i32);
    let count = errnos.iter().take_while(|errno| **errno != 0).count();
    match count {
        0 => libc::EIO,
        count => errnos[random as usize % count],
    }
}
