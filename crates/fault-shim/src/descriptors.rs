//! Tells what a file descriptor refers to.

use libc::{c_int, c_void, socklen_t};

/// Whether the descriptor is a TCP connection over IPv4.
pub fn is_tcp(descriptor: c_int) -> bool {
    option(descriptor, libc::SO_TYPE) == Some(libc::SOCK_STREAM)
        && option(descriptor, libc::SO_DOMAIN) == Some(libc::AF_INET)
}

fn option(descriptor: c_int, name: c_int) -> Option<c_int> {
    let mut value: c_int = 0;
    let mut length = size_of::<c_int>() as socklen_t;
    // SAFETY: value and length are ours; errno is restored, as the caller may read an earlier value.
    unsafe {
        let errno = *libc::__errno_location();
        let value_pointer = (&raw mut value).cast::<c_void>();
        let status = libc::getsockopt(
            descriptor,
            libc::SOL_SOCKET,
            name,
            value_pointer,
            &raw mut length,
        );
        *libc::__errno_location() = errno;
        (status == 0).then_some(value)
    }
}

/// Whether the descriptor is a regular file.
pub fn is_regular_file(descriptor: c_int) -> bool {
    // SAFETY: the structure is plain data, filled in by the call; errno is restored.
    unsafe {
        let errno = *libc::__errno_location();
        let mut file_status: libc::stat64 = std::mem::zeroed();
        let found = libc::fstat64(descriptor, &raw mut file_status) == 0;
        *libc::__errno_location() = errno;
        found && file_status.st_mode & libc::S_IFMT == libc::S_IFREG
    }
}
