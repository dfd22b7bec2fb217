//! What the errors of system calls mean, and whether a call is made again.
//!
//! One table for each kind of call. What is not in a table counts as lasting. The numbers are those of Linux.

use crate::units::TimeSpan;
use libc::{
    EADDRINUSE, EADDRNOTAVAIL, EAGAIN, EALREADY, ECONNABORTED, EHOSTDOWN, EHOSTUNREACH,
    EINPROGRESS, EINTR, EIO, EMFILE, ENETDOWN, ENETUNREACH, ENFILE, ENOBUFS, ENOENT, ENOMEM,
    ENONET, ENOPROTOOPT, ENOSPC, EOPNOTSUPP, EPERM, EPROTO, ESTALE,
};

/// How long a call waits that found the system out of memory, buffers or descriptors.
pub const LACK_PASSES: TimeSpan = TimeSpan::from_millis(5);
/// How long a connection that failed for a reason on this side waits to be dialled again.
pub const DIAL_AGAIN: TimeSpan = TimeSpan::from_millis(10);

/// What a read or a write on a connection that failed does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamError {
    /// The same call again, at once.
    Again,
    /// Again once the connection is ready for it.
    WhenReady,
    /// Again after [`LACK_PASSES`]: the system lacks something for the moment.
    Later,
    /// The connection is over.
    Broken,
}

/// What the error of a read or a write means.
pub fn of_stream(errno: i32) -> StreamError {
    match errno {
        EINTR => StreamError::Again,
        EAGAIN => StreamError::WhenReady,
        ENOBUFS | ENOMEM => StreamError::Later,
        _ => StreamError::Broken,
    }
}

/// What an accept that failed does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptError {
    /// The next one at once: this one was interrupted, or its connection has failed before it was taken.
    Next,
    /// Nobody waits.
    NobodyWaits,
    /// Again after [`LACK_PASSES`]: whoever waits goes on waiting.
    Later,
    /// The listener is of no use.
    Broken,
}

/// What the error of an accept means: Linux also passes on what was pending on the new connection.
pub fn of_accept(errno: i32) -> AcceptError {
    match errno {
        EAGAIN => AcceptError::NobodyWaits,
        EINTR | ECONNABORTED | EPROTO | EPERM | ENETDOWN | ENOPROTOOPT | EHOSTDOWN | ENONET
        | EHOSTUNREACH | EOPNOTSUPP | ENETUNREACH => AcceptError::Next,
        EMFILE | ENFILE | ENOBUFS | ENOMEM | ENOSPC => AcceptError::Later,
        _ => AcceptError::Broken,
    }
}

/// Whose failure it is that no connection came up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectError {
    /// This side lacks something for the moment: it says nothing of the host.
    Ours,
    /// The host refuses, or can't be reached.
    Theirs,
}

/// What the error of a connect, or of the socket made for it, means.
pub fn of_connect(errno: i32) -> ConnectError {
    match errno {
        EINTR | EAGAIN | EALREADY | EINPROGRESS | EMFILE | ENFILE | ENOBUFS | ENOMEM | ENOSPC
        | EADDRINUSE | EADDRNOTAVAIL | ENETUNREACH | ENETDOWN => ConnectError::Ours,
        _ => ConnectError::Theirs,
    }
}

/// How long a step of the start is tried that fails with this error: others must be ready within ten seconds of it.
///
/// ```
/// use trailproxy::policy::system_errors::start_tries_for;
/// use trailproxy::units::TimeSpan;
/// assert!(start_tries_for(libc::ENFILE) > start_tries_for(libc::EADDRINUSE));
/// assert_eq!(start_tries_for(libc::EACCES), TimeSpan::ZERO);
/// ```
pub fn start_tries_for(errno: i32) -> TimeSpan {
    match errno {
        EINTR | EAGAIN | EMFILE | ENFILE | ENOBUFS | ENOMEM | ENOSPC | EIO => START_LACKS_FOR,
        // A predecessor may be about to end, a network about to come up, a file about to be put in its place.
        EADDRINUSE | EADDRNOTAVAIL | ENOENT | ESTALE => START_IS_TAKEN_FOR,
        _ => TimeSpan::ZERO,
    }
}

/// A lack of descriptors, buffers or memory passes within this, or the start has failed.
const START_LACKS_FOR: TimeSpan = TimeSpan::from_secs(20);
/// An address in use, or a file that is missing, is somebody else's business after this.
pub const START_IS_TAKEN_FOR: TimeSpan = TimeSpan::from_secs(2);
/// Between two tries of a step of the start, growing up to the longest.
pub const START_AGAIN: TimeSpan = TimeSpan::from_millis(20);
pub const START_AGAIN_AT_MOST: TimeSpan = TimeSpan::from_millis(500);
