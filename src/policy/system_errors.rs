//! What the errors of system calls mean, and whether a call is repeated.
//!
//! There is one table for each kind of call. Errors that are not in a table are permanent. The error numbers are those
//! of Linux.

use crate::units::TimeSpan;
use libc::{
    EADDRINUSE, EADDRNOTAVAIL, EAGAIN, EALREADY, ECONNABORTED, EHOSTDOWN, EHOSTUNREACH,
    EINPROGRESS, EINTR, EIO, EMFILE, ENETDOWN, ENETUNREACH, ENFILE, ENOBUFS, ENOENT, ENOMEM,
    ENONET, ENOPROTOOPT, ENOSPC, EOPNOTSUPP, EPERM, EPROTO, ESTALE,
};

/// Delay before a call is repeated that failed for lack of memory, buffers or descriptors.
pub const RESOURCE_RETRY_DELAY: TimeSpan = TimeSpan::from_millis(5);
/// Delay before a connection is opened again that failed for a reason on this side.
pub const DIAL_RETRY_DELAY: TimeSpan = TimeSpan::from_millis(10);

/// What to do after a failed read or write on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamError {
    /// Repeat the call at once.
    RetryNow,
    /// Repeat the call when the connection is ready for it.
    WhenReady,
    /// Repeat the call after [`RESOURCE_RETRY_DELAY`]: the system lacks a resource for the moment.
    RetryLater,
    /// The connection is broken.
    Permanent,
}

/// What to do after a read or a write failed with this error.
pub fn classify_stream_error(errno: i32) -> StreamError {
    match errno {
        EINTR => StreamError::RetryNow,
        EAGAIN => StreamError::WhenReady,
        ENOBUFS | ENOMEM => StreamError::RetryLater,
        _ => StreamError::Permanent,
    }
}

/// What to do after a failed accept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptError {
    /// Accept the next connection at once: the call was interrupted, or its connection failed before it was accepted.
    Next,
    /// No connection is pending.
    NonePending,
    /// Accept again after [`RESOURCE_RETRY_DELAY`]: pending connections stay pending.
    RetryLater,
    /// The listener is broken.
    Permanent,
}

/// What to do after an accept failed with this error. Linux also returns errors that were pending on the new
/// connection.
pub fn classify_accept_error(errno: i32) -> AcceptError {
    match errno {
        EAGAIN => AcceptError::NonePending,
        EINTR | ECONNABORTED | EPROTO | EPERM | ENETDOWN | ENOPROTOOPT | EHOSTDOWN | ENONET
        | EHOSTUNREACH | EOPNOTSUPP | ENETUNREACH => AcceptError::Next,
        EMFILE | ENFILE | ENOBUFS | ENOMEM | ENOSPC => AcceptError::RetryLater,
        _ => AcceptError::Permanent,
    }
}

/// Which side caused the failure of a connect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectError {
    /// This side, for lack of a resource: the error says nothing about the host.
    Local,
    /// The host refuses connections or can't be reached.
    Remote,
}

/// Which side caused this error of a connect, or of the creation of its socket.
pub fn classify_connect_error(errno: i32) -> ConnectError {
    match errno {
        EINTR | EAGAIN | EALREADY | EINPROGRESS | EMFILE | ENFILE | ENOBUFS | ENOMEM | ENOSPC
        | EADDRINUSE | EADDRNOTAVAIL | ENETUNREACH | ENETDOWN => ConnectError::Local,
        _ => ConnectError::Remote,
    }
}

/// How long a step of the start-up that fails with this error is repeated: the other processes must be ready within ten
/// seconds of it.
///
/// ```
/// use trailproxy::policy::system_errors::startup_retry_period;
/// use trailproxy::units::TimeSpan;
/// assert!(startup_retry_period(libc::ENFILE) > startup_retry_period(libc::EADDRINUSE));
/// assert_eq!(startup_retry_period(libc::EACCES), TimeSpan::ZERO);
/// ```
pub fn startup_retry_period(errno: i32) -> TimeSpan {
    match errno {
        EINTR | EAGAIN | EMFILE | ENFILE | ENOBUFS | ENOMEM | ENOSPC | EIO => {
            RESOURCE_SHORTAGE_RETRY_PERIOD
        }
        // A previous process may be about to end, a network about to come up, a file about to be written.
        EADDRINUSE | EADDRNOTAVAIL | ENOENT | ESTALE => EXTERNAL_CAUSE_RETRY_PERIOD,
        _ => TimeSpan::ZERO,
    }
}

/// How long the start-up waits for a shortage of descriptors, buffers or memory to end before it fails.
const RESOURCE_SHORTAGE_RETRY_PERIOD: TimeSpan = TimeSpan::from_secs(20);
/// How long the start-up waits for an address that is in use, or for a missing file, before it fails: after that,
/// another process or the operator is responsible for it.
pub const EXTERNAL_CAUSE_RETRY_PERIOD: TimeSpan = TimeSpan::from_secs(2);
/// Initial delay before a step of the start-up is repeated; it grows up to [`MAX_STARTUP_RETRY_DELAY`].
pub const INITIAL_STARTUP_RETRY_DELAY: TimeSpan = TimeSpan::from_millis(20);
/// Longest delay before a step of the start-up is repeated.
pub const MAX_STARTUP_RETRY_DELAY: TimeSpan = TimeSpan::from_millis(500);
