//! What each error means that Linux documents for the calls of the dispatcher.

use libc::*;
use trailproxy::policy::system_errors::{
    AcceptError, ConnectError, StreamError, of_accept, of_connect, of_stream, start_tries_for,
};
use trailproxy::units::TimeSpan;

#[test]
fn errors_of_reads_and_writes() {
    let table = [
        (EINTR, StreamError::Again),
        (EAGAIN, StreamError::WhenReady),
        (EWOULDBLOCK, StreamError::WhenReady),
        (ENOBUFS, StreamError::Later),
        (ENOMEM, StreamError::Later),
        (ECONNRESET, StreamError::Broken),
        (ECONNREFUSED, StreamError::Broken),
        (EPIPE, StreamError::Broken),
        (ETIMEDOUT, StreamError::Broken),
        (EHOSTUNREACH, StreamError::Broken),
        (ENETUNREACH, StreamError::Broken),
        (ENETDOWN, StreamError::Broken),
        (ENOTCONN, StreamError::Broken),
        (EIO, StreamError::Broken),
        (EBADF, StreamError::Broken),
        (EFAULT, StreamError::Broken),
        (EINVAL, StreamError::Broken),
    ];
    for (errno, meaning) in table {
        assert_eq!(of_stream(errno), meaning, "errno {errno}");
    }
}

#[test]
fn errors_of_accept() {
    let table = [
        (EAGAIN, AcceptError::NobodyWaits),
        (EINTR, AcceptError::Next),
        (ECONNABORTED, AcceptError::Next),
        // What was pending on the new connection.
        (ENETDOWN, AcceptError::Next),
        (EPROTO, AcceptError::Next),
        (ENOPROTOOPT, AcceptError::Next),
        (EHOSTDOWN, AcceptError::Next),
        (ENONET, AcceptError::Next),
        (EHOSTUNREACH, AcceptError::Next),
        (EOPNOTSUPP, AcceptError::Next),
        (ENETUNREACH, AcceptError::Next),
        // A firewall forbids it.
        (EPERM, AcceptError::Next),
        (EMFILE, AcceptError::Later),
        (ENFILE, AcceptError::Later),
        (ENOBUFS, AcceptError::Later),
        (ENOMEM, AcceptError::Later),
        (EBADF, AcceptError::Broken),
        (EINVAL, AcceptError::Broken),
        (ENOTSOCK, AcceptError::Broken),
    ];
    for (errno, meaning) in table {
        assert_eq!(of_accept(errno), meaning, "errno {errno}");
    }
}

#[test]
fn errors_of_connect_and_of_its_socket() {
    let ours = [
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
    let theirs = [
        ECONNREFUSED,
        ECONNRESET,
        ETIMEDOUT,
        EHOSTUNREACH,
        EACCES,
        EPERM,
        EPROTOTYPE,
    ];
    for errno in ours {
        assert_eq!(of_connect(errno), ConnectError::Ours, "errno {errno}");
    }
    for errno in theirs {
        assert_eq!(of_connect(errno), ConnectError::Theirs, "errno {errno}");
    }
}

#[test]
fn errors_of_the_start() {
    let passing = [EINTR, EAGAIN, EMFILE, ENFILE, ENOBUFS, ENOMEM, EIO];
    let others = [EADDRINUSE, EADDRNOTAVAIL, ENOENT];
    let lasting = [EACCES, EPERM, EINVAL, EAFNOSUPPORT, EISDIR, ENOTDIR];
    for errno in passing {
        let tried = start_tries_for(errno);
        let in_time = TimeSpan::from_secs(10) <= tried && tried <= TimeSpan::from_secs(30);
        assert!(in_time, "errno {errno}");
    }
    for errno in others {
        let tried = start_tries_for(errno);
        let short = TimeSpan::ZERO < tried && tried < TimeSpan::from_secs(10);
        assert!(short, "errno {errno}");
    }
    for errno in lasting {
        assert_eq!(start_tries_for(errno), TimeSpan::ZERO, "errno {errno}");
    }
}
