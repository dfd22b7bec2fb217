//! Access to the functions of the C library that this library replaces.

/// Looks up a function of the C library, once for each use of the macro. Its type is inferred from the use.
macro_rules! real {
    ($name:literal) => {{
        static FOUND: std::sync::atomic::AtomicPtr<libc::c_void> =
            std::sync::atomic::AtomicPtr::new(std::ptr::null_mut());
        let mut found = FOUND.load(std::sync::atomic::Ordering::Relaxed);
        if found.is_null() {
            // SAFETY: the name ends with a zero; RTLD_NEXT finds the next library after this one.
            found = unsafe { libc::dlsym(libc::RTLD_NEXT, $name.as_ptr()) };
            FOUND.store(found, std::sync::atomic::Ordering::Relaxed);
        }
        // SAFETY: the C library has each of these functions, with the signature that is written at its use.
        unsafe { std::mem::transmute(found) }
    }};
}

pub(crate) use real;
