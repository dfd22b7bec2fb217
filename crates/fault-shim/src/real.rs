//! The functions that this library stands before.

/// Looks a function of the C library up, once for each place of use. Its type is the one that the place wants.
macro_rules! real {
    ($name:literal) => {{
        static FOUND: std::sync::atomic::AtomicPtr<libc::c_void> =
            std::sync::atomic::AtomicPtr::new(std::ptr::null_mut());
        let mut found = FOUND.load(std::sync::atomic::Ordering::Relaxed);
        if found.is_null() {
            // SAFETY: the name ends with a zero; RTLD_NEXT is what is behind this library.
            found = unsafe { libc::dlsym(libc::RTLD_NEXT, $name.as_ptr()) };
            FOUND.store(found, std::sync::atomic::Ordering::Relaxed);
        }
        // SAFETY: the C library has each of these functions, in the form that is written beside its use.
        unsafe { std::mem::transmute(found) }
    }};
}

pub(crate) use real;
