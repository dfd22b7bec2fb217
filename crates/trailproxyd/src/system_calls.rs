//! Reads and writes of connections, with what their errors mean, in one place for clients, hosts and discovery.

use std::io;
use std::mem::MaybeUninit;
use std::os::fd::AsRawFd;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;
use trailproxy::policy::system_errors::{self, StreamError, classify_stream_error};

/// How long a connection rests for which the system lacked something.
pub const RESOURCE_RETRY_DELAY: Duration =
    Duration::from_micros(system_errors::RESOURCE_RETRY_DELAY.0);

/// The system counts since the connection was made, or since it was started itself, where no data has come yet.
const LONGEST_SINCE: Duration = Duration::from_secs(3_600);

/// What came of a read or a write.
pub enum Transfer {
    /// So many bytes have moved; none at a read: the other side has ended its own.
    Bytes(usize),
    /// The connection is not ready for it.
    NotReady,
    /// The system lacks something for the moment: the connection stands, and its readiness is not told anew.
    Lacking,
    Broken(io::Error),
}

/// Reads what has come, as far as there is room for it.
pub fn read(stream: &TcpStream, room: &mut [u8]) -> Transfer {
    transfer(|| stream.try_read(room))
}

/// Writes as much as goes out now.
pub fn write(stream: &TcpStream, bytes: &[u8]) -> Transfer {
    transfer(|| stream.try_write(bytes))
}

fn transfer(mut call: impl FnMut() -> io::Result<usize>) -> Transfer {
    loop {
        let error = match call() {
            Ok(moved) => return Transfer::Bytes(moved),
            Err(error) => error,
        };
        match classify_stream_error(errno(&error)) {
            StreamError::RetryNow => {}
            StreamError::WhenReady => return Transfer::NotReady,
            StreamError::RetryLater => return Transfer::Lacking,
            StreamError::Permanent => return Transfer::Broken(error),
        }
    }
}

/// How long ago the last data came by a connection, as the system counts it; `None`: it does not tell.
pub fn since_last_data(stream: &TcpStream) -> Option<Duration> {
    let mut told = MaybeUninit::<libc::tcp_info>::zeroed();
    let mut length = size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: the structure is plain numbers, zeroed, and as long as the length says.
    let (failed, told) = unsafe {
        let into = told.as_mut_ptr().cast();
        let failed = libc::getsockopt(
            stream.as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            into,
            &raw mut length,
        );
        (failed, told.assume_init())
    };
    let since = Duration::from_millis(told.tcpi_last_data_recv.into());
    (failed == 0 && since <= LONGEST_SINCE).then_some(since)
}

/// Waits until the runtime knows of what the system has for a connection already, if anything.
///
/// The runtime reads only what it has been told of. Behind an interrupted wait, as when the process was stopped, timers run
/// before it has asked.
pub async fn hear_the_system(stream: &TcpStream) {
    let mut first = [MaybeUninit::uninit()];
    let flags = libc::MSG_PEEK | libc::MSG_DONTWAIT;
    let there = socket2::SockRef::from(stream).recv_with_flags(&mut first, flags);
    if there.is_ok() {
        // It is about to be told; the bound is for what can't be.
        let _ = timeout(RESOURCE_RETRY_DELAY, stream.readable()).await;
    }
}

/// The system's number of an error. The runtime tells that a connection is not ready by an error without one.
pub fn errno(error: &io::Error) -> i32 {
    let not_ready = error.kind() == io::ErrorKind::WouldBlock;
    let without = if not_ready { libc::EAGAIN } else { 0 };
    error.raw_os_error().unwrap_or(without)
}
