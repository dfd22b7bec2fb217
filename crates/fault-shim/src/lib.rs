//! A library to preload into one process: it makes system calls fail with errors that Linux documents, and steps the
//! wall clock.
//!
//! The faults are read from the control page that [`trailproxy_fault_control::VARIABLE`] names. Without a page, every
//! call is made. Only the process that preloads the library is affected.
//!
//! Each function has the name and the signature of a function of the C library, consults the control page, and then
//! either sets `errno` or calls the function that it replaces. Nothing here allocates, locks or uses the standard library's
//! input and output, as it runs inside calls of those.

mod control;
mod descriptors;
mod real;

use control::{allowed, clock_ahead_ms};
use descriptors::{is_regular_file, is_tcp};
use libc::{c_char, c_int, c_void, iovec, mode_t, sockaddr, socklen_t, ssize_t, time_t, timespec};
use real::real;
use trailproxy_fault_control::Kind;

const FAILED: c_int = -1;
const MS_PER_S: i64 = 1_000;
const NS_PER_MS: i64 = 1_000_000;
const NS_PER_S: i64 = 1_000_000_000;

/// How many of `len` bytes a call may transfer; `None` if it fails. A shortened call does not fail, so that a test can
/// let a number of bytes pass before calls fail.
fn bytes_allowed(descriptor: c_int, len: usize, failing: Kind, shortening: Kind) -> Option<usize> {
    if !is_tcp(descriptor) {
        return Some(len);
    }
    if !allowed(shortening) {
        return Some(len.min(1));
    }
    allowed(failing).then_some(len)
}

/// How many of `len` bytes a write may transfer; the descriptor may also be a file.
fn write_bytes_allowed(descriptor: c_int, len: usize) -> Option<usize> {
    if is_regular_file(descriptor) {
        return allowed(Kind::FileWrite).then_some(len);
    }
    bytes_allowed(descriptor, len, Kind::Write, Kind::ShortWrite)
}

/// # Safety
/// As `recv(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(fd: c_int, buf: *mut c_void, len: usize, flags: c_int) -> ssize_t {
    let Some(len) = bytes_allowed(fd, len, Kind::Read, Kind::ShortRead) else {
        return FAILED as ssize_t;
    };
    let next: unsafe extern "C" fn(c_int, *mut c_void, usize, c_int) -> ssize_t = real!(c"recv");
    unsafe { next(fd, buf, len, flags) }
}

/// # Safety
/// As `read(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn read(fd: c_int, buf: *mut c_void, len: usize) -> ssize_t {
    let Some(len) = bytes_allowed(fd, len, Kind::Read, Kind::ShortRead) else {
        return FAILED as ssize_t;
    };
    let next: unsafe extern "C" fn(c_int, *mut c_void, usize) -> ssize_t = real!(c"read");
    unsafe { next(fd, buf, len) }
}

/// # Safety
/// As `send(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(fd: c_int, buf: *const c_void, len: usize, flags: c_int) -> ssize_t {
    let Some(len) = bytes_allowed(fd, len, Kind::Write, Kind::ShortWrite) else {
        return FAILED as ssize_t;
    };
    let next: unsafe extern "C" fn(c_int, *const c_void, usize, c_int) -> ssize_t = real!(c"send");
    unsafe { next(fd, buf, len, flags) }
}

/// # Safety
/// As `write(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(fd: c_int, buf: *const c_void, len: usize) -> ssize_t {
    let Some(len) = write_bytes_allowed(fd, len) else {
        return FAILED as ssize_t;
    };
    let next: unsafe extern "C" fn(c_int, *const c_void, usize) -> ssize_t = real!(c"write");
    unsafe { next(fd, buf, len) }
}

/// # Safety
/// As `writev(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn writev(fd: c_int, parts: *const iovec, count: c_int) -> ssize_t {
    let Some(len) = write_bytes_allowed(fd, usize::MAX) else {
        return FAILED as ssize_t;
    };
    let next: unsafe extern "C" fn(c_int, *const iovec, c_int) -> ssize_t = real!(c"writev");
    let all = match usize::try_from(count) {
        Ok(count) if !parts.is_null() => unsafe { std::slice::from_raw_parts(parts, count) },
        _ => &[],
    };
    match all.iter().find(|part| part.iov_len > 0) {
        Some(first) if len < first.iov_len => {
            let shortened = iovec {
                iov_base: first.iov_base,
                iov_len: len,
            };
            unsafe { next(fd, &shortened, 1) }
        }
        _ => unsafe { next(fd, parts, count) },
    }
}

/// # Safety
/// As `accept4(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut sockaddr,
    len: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if !allowed(Kind::Accept) {
        return FAILED;
    }
    let next: unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int =
        real!(c"accept4");
    unsafe { next(fd, address, len, flags) }
}

/// # Safety
/// As `socket(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if !allowed(Kind::Socket) {
        return FAILED;
    }
    let next: unsafe extern "C" fn(c_int, c_int, c_int) -> c_int = real!(c"socket");
    unsafe { next(domain, kind, protocol) }
}

/// # Safety
/// As `connect(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(fd: c_int, address: *const sockaddr, len: socklen_t) -> c_int {
    if !allowed(Kind::Connect) {
        return FAILED;
    }
    let next: unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int = real!(c"connect");
    unsafe { next(fd, address, len) }
}

/// # Safety
/// As `epoll_wait(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_wait(
    fd: c_int,
    events: *mut libc::epoll_event,
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    if !allowed(Kind::EpollWait) {
        return FAILED;
    }
    let next: unsafe extern "C" fn(c_int, *mut libc::epoll_event, c_int, c_int) -> c_int =
        real!(c"epoll_wait");
    unsafe { next(fd, events, max_events, timeout) }
}

/// # Safety
/// As `epoll_create1(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_create1(flags: c_int) -> c_int {
    if !allowed(Kind::WakeUp) {
        return FAILED;
    }
    let next: unsafe extern "C" fn(c_int) -> c_int = real!(c"epoll_create1");
    unsafe { next(flags) }
}

/// # Safety
/// As `eventfd(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn eventfd(value: libc::c_uint, flags: c_int) -> c_int {
    if !allowed(Kind::WakeUp) {
        return FAILED;
    }
    let next: unsafe extern "C" fn(libc::c_uint, c_int) -> c_int = real!(c"eventfd");
    unsafe { next(value, flags) }
}

/// # Safety
/// As `socketpair(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socketpair(
    domain: c_int,
    kind: c_int,
    protocol: c_int,
    pair: *mut c_int,
) -> c_int {
    if !allowed(Kind::WakeUp) {
        return FAILED;
    }
    let next: unsafe extern "C" fn(c_int, c_int, c_int, *mut c_int) -> c_int = real!(c"socketpair");
    unsafe { next(domain, kind, protocol, pair) }
}

/// # Safety
/// As `open(2)`. The mode is passed on whether it is used or not.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    if flags & libc::O_ACCMODE == libc::O_RDONLY && !allowed(Kind::OpenRead) {
        return FAILED;
    }
    let next: unsafe extern "C" fn(*const c_char, c_int, mode_t) -> c_int = real!(c"open64");
    unsafe { next(path, flags, mode) }
}

/// # Safety
/// As `fsync(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fsync(fd: c_int) -> c_int {
    if !allowed(Kind::FileSync) {
        return FAILED;
    }
    let next: unsafe extern "C" fn(c_int) -> c_int = real!(c"fsync");
    unsafe { next(fd) }
}

/// # Safety
/// As `fdatasync(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fdatasync(fd: c_int) -> c_int {
    if !allowed(Kind::FileSync) {
        return FAILED;
    }
    let next: unsafe extern "C" fn(c_int) -> c_int = real!(c"fdatasync");
    unsafe { next(fd) }
}

/// # Safety
/// As `rename(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    if !allowed(Kind::FileSync) {
        return FAILED;
    }
    let next: unsafe extern "C" fn(*const c_char, *const c_char) -> c_int = real!(c"rename");
    unsafe { next(from, to) }
}

/// Steps only the wall clocks; the monotonic clock is not changed.
///
/// # Safety
/// As `clock_gettime(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, now: *mut timespec) -> c_int {
    let next: unsafe extern "C" fn(libc::clockid_t, *mut timespec) -> c_int =
        real!(c"clock_gettime");
    let status = unsafe { next(clock, now) };
    let is_wall_clock = matches!(clock, libc::CLOCK_REALTIME | libc::CLOCK_REALTIME_COARSE);
    if status == 0 && is_wall_clock && !now.is_null() {
        // SAFETY: the call succeeded, so the caller's timespec is valid and filled in.
        let now = unsafe { &mut *now };
        let ns = now.tv_nsec + clock_ahead_ms() % MS_PER_S * NS_PER_MS;
        now.tv_sec += clock_ahead_ms() / MS_PER_S + ns.div_euclid(NS_PER_S);
        now.tv_nsec = ns.rem_euclid(NS_PER_S);
    }
    status
}

/// # Safety
/// As `time(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn time(now: *mut time_t) -> time_t {
    let next: unsafe extern "C" fn(*mut time_t) -> time_t = real!(c"time");
    let seconds = unsafe { next(std::ptr::null_mut()) } + clock_ahead_ms() / MS_PER_S;
    if !now.is_null() {
        // SAFETY: the caller's pointer is valid if it is not null.
        unsafe { *now = seconds };
    }
    seconds
}
