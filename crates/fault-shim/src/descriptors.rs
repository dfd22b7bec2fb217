//! What is behind a descriptor.

use libc::{c_int, c_void, socklen_t};

/// Whether it is a TCP connection over IPv4.
pub fn is_tcp(descriptor: c_int) -> bool {
    option(descriptor, libc::SO_TYPE) == Some(libc::SOCK_STREAM)
        && option(descriptor, libc::SO_DOMAIN) == Some(libc::AF_INET)
}

fn option(descriptor: c_int, name: c_int) -> Option<c_int> {
    let mut value: c_int = 0;
    let mut length = size_of::<c_int>() as socklen_t;
    // SAFETY: value and length are ours; errno is put back, as the caller may look at an earlier one.
    unsafe {
        let errno = *libc::__errno_location();
        let into = (&raw mut value).cast::<c_void>();
        let told = libc::getsockopt(descriptor, libc::SOL_SOCKET, name, into, &raw mut length);
        *libc::__errno_location() = errno;
        (told == 0).then_some(value)
    }
}

/// Whether it is a file on a disk.
pub fn is_regular_file(descriptor: c_int) -> bool {
    // SAFETY: the structure is plain data, filled in by the call; errno is put back.
    unsafe {
        let errno = *libc::__errno_location();
        let mut told: libc::stat64 = std::mem::zeroed();
        let found = libc::fstat64(descriptor, &raw mut told) == 0;
        *libc::__errno_location() = errno;
        found && told.st_mode & libc::S_IFMT == libc::S_IFREG
    }
}
