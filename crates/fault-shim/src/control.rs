//! The control page of this process: whether a call fails and how far the clock is stepped.

use libc::c_int;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use trailproxy_fault_control::{Control, Kind, Verdict};

const VARIABLE: &std::ffi::CStr = c"TRAILPROXY_FAULTS";
const MULTIPLIER: u64 = 0x5851_f42d_4c95_7f2d;
const INCREMENT: u64 = 0x1405_7b7e_f767_814f;

/// The control page, mapped at first use; a process without one has no faults.
static PAGE: OnceLock<Option<Control>> = OnceLock::new();
static RANDOM: AtomicU64 = AtomicU64::new(0);

/// Whether a call of this kind is made; if not, `errno` is set.
pub fn allowed(kind: Kind) -> bool {
    let Some(control) = control() else {
        return true;
    };
    match control.verdict(kind, random()) {
        Verdict::Pass => true,
        Verdict::Fail(errno) => {
            // SAFETY: the address of this thread's errno is always valid.
            unsafe { *libc::__errno_location() = errno };
            false
        }
    }
}

/// By how many milliseconds the wall clock is ahead; negative if it is behind.
pub fn clock_ahead_ms() -> i64 {
    control().map_or(0, Control::clock_ahead_ms)
}

/// A number that differs from call to call and from process to process.
fn random() -> u64 {
    let state = RANDOM.fetch_add(INCREMENT, Ordering::Relaxed);
    // SAFETY: getpid always succeeds.
    let process = unsafe { libc::getpid() } as u64;
    let mut mixed = state ^ process.wrapping_mul(MULTIPLIER);
    mixed = (mixed ^ mixed >> 32).wrapping_mul(MULTIPLIER);
    mixed ^ mixed >> 29
}

fn control() -> Option<&'static Control> {
    PAGE.get_or_init(map_from_environment).as_ref()
}

/// Maps the control page that the environment variable names.
fn map_from_environment() -> Option<Control> {
    // SAFETY: the environment is not changed while the process starts.
    let path = unsafe { libc::getenv(VARIABLE.as_ptr()) };
    (!path.is_null()).then(|| map_file(path)).flatten()
}

fn map_file(path: *const libc::c_char) -> Option<Control> {
    // Makes the system call directly, as the library's function is one of those that this library replaces.
    // SAFETY: the path is the environment's, which ends with a zero.
    let opened = unsafe { libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path, libc::O_RDWR) };
    let descriptor = c_int::try_from(opened).ok().filter(|fd| *fd >= 0)?;
    let control = Control::map(descriptor);
    // SAFETY: the descriptor was opened above.
    unsafe { libc::syscall(libc::SYS_close, descriptor) };
    control
}
