//! Finds the shared library of the fault shim and builds it if necessary.

use std::io;
use std::path::PathBuf;
use std::process::Command;

const PACKAGE: &str = "trailproxy-fault-shim";
const LIBRARY: &str = "libtrailproxy_fault_shim.so";

/// Returns the path of the library to preload. Under `cargo test` the library is built first, in the profile of the
/// caller; otherwise it must be in the folder of the calling program.
pub fn shim_library() -> io::Result<PathBuf> {
    let program = std::env::current_exe()?;
    let folder = program.parent().unwrap_or(&program);
    // Test programs are in the folder `deps` below the folder of their profile.
    let folder = match folder.ends_with("deps") {
        true => folder.parent().unwrap_or(folder),
        false => folder,
    };
    let library = folder.join(LIBRARY);
    if let Some(cargo) = std::env::var_os("CARGO") {
        let mut build = Command::new(cargo);
        build.args(["build", "--quiet", "--locked", "--package", PACKAGE]);
        if folder.ends_with("release") {
            build.arg("--release");
        }
        let built = build.status()?;
        if !built.success() {
            return Err(io::Error::other(format!("{PACKAGE} can't be built")));
        }
    }
    match library.exists() {
        true => Ok(library),
        false => Err(io::Error::other(format!(
            "{} is missing: build {PACKAGE}",
            library.display()
        ))),
    }
}
