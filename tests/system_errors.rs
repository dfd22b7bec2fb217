//! The meaning of each error that Linux documents for the system calls of the dispatcher.

use libc::*;
use trailproxy::policy::system_errors::{
    AcceptError, ConnectError, StreamError, classify_accept_error, classify_connect_error,
    classify_stream_error, startup_retry_period,
};
use trailproxy::units::TimeSpan;

#[test]
fn errors_of_reads_and_writes() {
    let table = [
        (EINTR, StreamError::RetryNow),
        (EAGAIN, StreamError::WhenReady),
        (EWOULDBLOCK, StreamError::WhenReady),
        (ENOBUFS, StreamError::RetryLater),
        (ENOMEM, StreamError::RetryLater),
        (ECONNRESET, StreamError::Permanent),
        (ECONNREFUSED, StreamError::Permanent),
        (EPIPE, StreamError::Permanent),
        (ETIMEDOUT, StreamError::Permanent),
        (EHOSTUNREACH, StreamError::Permanent),
        (ENETUNREACH, StreamError::Permanent),
        (ENETDOWN, StreamError::Permanent),
        (ENOTCONN, StreamError::Permanent),
        (EIO, StreamError::Permanent),
        (EBADF, StreamError::Permanent),
        (EFAULT, StreamError::Permanent),
        (EINVAL, StreamError::Permanent),
    ];
    for (errno, meaning) in table {
        assert_eq!(classify_stream_error(errno), meaning, "errno {errno}");
    }
}

#[test]
fn errors_of_accept() {
    let table = [
        (EAGAIN, AcceptError::NonePending),
        (EINTR, AcceptError::Next),
        (ECONNABORTED, AcceptError::Next),
        // Errors that were pending on the new connection.
        (ENETDOWN, AcceptError::Next),
        (EPROTO, AcceptError::Next),
        (ENOPROTOOPT, AcceptError::Next),
        (EHOSTDOWN, AcceptError::Next),
        (ENONET, AcceptError::Next),
        (EHOSTUNREACH, AcceptError::Next),
        (EOPNOTSUPP, AcceptError::Next),
        (ENETUNREACH, AcceptError::Next),
        // A firewall rule forbids the connection.
        (EPERM, AcceptError::Next),
        (EMFILE, AcceptError::RetryLater),
        (ENFILE, AcceptError::RetryLater),
        (ENOBUFS, AcceptError::RetryLater),
        (ENOMEM, AcceptError::RetryLater),
        (EBADF, AcceptError::Permanent),
        (EINVAL, AcceptError::Permanent),
        (ENOTSOCK, AcceptError::Permanent),
    ];
    for (errno, meaning) in table {
        assert_eq!(classify_accept_error(errno), meaning, "errno {errno}");
    }
}

#[test]
fn errors_of_connect_and_socket() {
    let local = [
        EINTR,
        EAGAIN,
        EALREADY,
        EINPROGRESS,
        EMFILE,
        ENFILE,
        ENOBUFS,
        ENOMEM,
        EADDRINUSE,
        EADDRNOTAVAIL,
        ENETUNREACH,
        ENETDOWN,
    ];
    let remote = [
        ECONNREFUSED,
        ECONNRESET,
        ETIMEDOUT,
        EHOSTUNREACH,
        EACCES,
        EPERM,
        EPROTOTYPE,
    ];
    for errno in local {
        assert_eq!(
            classify_connect_error(errno),
            ConnectError::Local,
            "errno {errno}"
        );
    }
    for errno in remote {
        assert_eq!(
            classify_connect_error(errno),
            ConnectError::Remote,
            "errno {errno}"
        );
    }
}

#[test]
fn errors_at_start_up() {
    let temporary = [EINTR, EAGAIN, EMFILE, ENFILE, ENOBUFS, ENOMEM, EIO];
    let waits_for_others = [EADDRINUSE, EADDRNOTAVAIL, ENOENT];
    let permanent = [EACCES, EPERM, EINVAL, EAFNOSUPPORT, EISDIR, ENOTDIR];
    for errno in temporary {
        let retry_period = startup_retry_period(errno);
        let is_long_enough =
            TimeSpan::from_secs(10) <= retry_period && retry_period <= TimeSpan::from_secs(30);
        assert!(is_long_enough, "errno {errno}");
    }
    for errno in waits_for_others {
        let retry_period = startup_retry_period(errno);
        let is_short = TimeSpan::ZERO < retry_period && retry_period < TimeSpan::from_secs(10);
        assert!(is_short, "errno {errno}");
    }
    for errno in permanent {
        assert_eq!(startup_retry_period(errno), TimeSpan::ZERO, "errno {errno}");
    }
}
