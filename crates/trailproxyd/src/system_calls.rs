//! Non-blocking reads and writes of connections to clients, hosts and the journal service, with the meaning of their
//! errors.

use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::os::fd::AsRawFd;
use std::pin::pin;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::error::Elapsed;
use tokio::time::timeout;
use trailproxy::policy::system_errors::{self, StreamError, classify_stream_error};

/// How long a connection pauses after a call failed because the system was short of a resource.
pub const RESOURCE_RETRY_DELAY: Duration =
    Duration::from_micros(system_errors::RESOURCE_RETRY_DELAY.0);

/// How long the runtime needs at most to notice what has finished before a limit ended.
const FINISHED_GRACE: Duration = Duration::from_millis(20);

/// The longest time span that is accepted as the age of the last data. Where no data was received yet, the system
/// counts from the creation of the connection or from its own boot.
const MAX_DATA_AGE: Duration = Duration::from_secs(3_600);

/// The result of a read or a write.
pub enum Transfer {
    /// The number of bytes transferred. 0 from a read means that the other side has closed its sending direction.
    Bytes(usize),
    /// The call would block.
    NotReady,
    /// The system is short of a resource for the moment. The connection remains usable, but its readiness is not
    /// signalled again, so the caller has to retry after [`RESOURCE_RETRY_DELAY`].
    ResourceShortage,
    /// The connection is broken.
    Failed(io::Error),
}

/// Reads available bytes into `buffer`.
pub fn read(stream: &TcpStream, buffer: &mut [u8]) -> Transfer {
    transfer(|| stream.try_read(buffer))
}

/// Writes as many bytes of these parts, in their order, as the socket accepts now.
pub fn write(stream: &TcpStream, parts: &[IoSlice<'_>]) -> Transfer {
    let mut nonempty = parts.iter().filter(|part| !part.is_empty());
    match (nonempty.next(), nonempty.next()) {
        (Some(only), None) => transfer(|| stream.try_write(only)),
        _ => transfer(|| stream.try_write_vectored(parts)),
    }
}

/// Makes a read or write call, again if it was interrupted, and classifies its error.
fn transfer(mut call: impl FnMut() -> io::Result<usize>) -> Transfer {
    loop {
        let error = match call() {
            Ok(bytes) => return Transfer::Bytes(bytes),
            Err(error) => error,
        };
        match classify_stream_error(errno(&error)) {
            StreamError::RetryNow => {}
            StreamError::WhenReady => return Transfer::NotReady,
            StreamError::RetryLater => return Transfer::ResourceShortage,
            StreamError::Permanent => return Transfer::Failed(error),
        }
    }
}

/// Returns how long ago the other side has closed its sending direction, also if data before the close is not read yet.
/// `None` if it has not, or if this side has closed as well. Confirmations that arrive after the close make it seem later.
pub fn time_since_peer_closed(stream: &TcpStream) -> Option<Duration> {
    /// `TCP_CLOSE_WAIT` of the system's header `tcp_states.h`.
    const CLOSE_WAIT: u8 = 8;
    let info = tcp_info(stream).filter(|info| info.tcpi_state == CLOSE_WAIT)?;
    plausible_age(info.tcpi_last_ack_recv)
}

/// Returns how long ago the system received the last data on a connection, or `None` if it does not know.
pub fn time_since_last_data(stream: &TcpStream) -> Option<Duration> {
    plausible_age(tcp_info(stream)?.tcpi_last_data_recv)
}

/// Returns an age that the system gives in milliseconds, unless it is not the age of anything on the connection.
fn plausible_age(ms: u32) -> Option<Duration> {
    let age = Duration::from_millis(ms.into());
    (age <= MAX_DATA_AGE).then_some(age)
}

/// Returns the system's figures of a connection.
fn tcp_info(stream: &TcpStream) -> Option<libc::tcp_info> {
    let mut info = MaybeUninit::<libc::tcp_info>::zeroed();
    let mut length = size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: the structure consists of plain numbers, is zeroed and is as long as `length` says.
    let (failed, info) = unsafe {
        let info_pointer = info.as_mut_ptr().cast();
        let failed = libc::getsockopt(
            stream.as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            info_pointer,
            &raw mut length,
        );
        (failed, info.assume_init())
    };
    (failed == 0).then_some(info)
}

/// Returns how many written bytes the system of the other side has not confirmed, and 0 if that is not known.
pub fn undelivered_bytes(stream: &TcpStream) -> usize {
    let mut bytes: libc::c_int = 0;
    // SAFETY: the request writes one number to the pointer.
    let failed = unsafe { libc::ioctl(stream.as_raw_fd(), libc::TIOCOUTQ, &raw mut bytes) };
    if failed == 0 {
        usize::try_from(bytes).unwrap_or(0)
    } else {
        0
    }
}

/// Waits until the runtime has noticed data or a close that the system already holds for a connection.
///
/// The runtime reads only after the system has signalled readiness. After an interrupted wait, for example because the
/// process was stopped, timers run before the runtime has polled the system.
pub async fn sync_readiness(stream: &TcpStream) {
    let mut first_byte = [MaybeUninit::uninit()];
    let flags = libc::MSG_PEEK | libc::MSG_DONTWAIT;
    let peeked = socket2::SockRef::from(stream).recv_with_flags(&mut first_byte, flags);
    if peeked.is_ok() {
        // The runtime normally signals readiness soon. The timeout covers readiness that is never signalled.
        let _ = timeout(RESOURCE_RETRY_DELAY, stream.readable()).await;
    }
}

/// Waits for an operation for this time. An operation that has finished by then counts although timers ran before
/// the runtime polled the system, as they do after a stop of the process.
pub async fn timeout_unless_finished<Operation: Future>(
    limit: Duration,
    operation: Operation,
) -> Result<Operation::Output, Elapsed> {
    let mut operation = pin!(operation);
    match timeout(limit, &mut operation).await {
        Ok(output) => Ok(output),
        Err(_) => timeout(FINISHED_GRACE, operation).await,
    }
}

/// Returns the system's number of an error, and 0 for an error without a number. The runtime reports a call that would
/// block by an error without a number.
pub fn errno(error: &io::Error) -> i32 {
    let not_ready = error.kind() == io::ErrorKind::WouldBlock;
    let default = if not_ready { libc::EAGAIN } else { 0 };
    error.raw_os_error().unwrap_or(default)
}
