//! Where the programs of a test are, and a folder that goes with it.

use std::path::{Path, PathBuf};
use std::process::Command;
use trailproxy_capacity_live::dispatcher::Place;

/// A folder of one test, removed when it is dropped.
pub struct Folder(PathBuf);

impl Folder {
    pub fn new(name: &str) -> Folder {
        let name = format!("capacity-live-{name}-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The programs, and the folder for what they write.
pub fn place(folder: &Folder) -> Place {
    Place {
        daemon: dispatcher(),
        hollow: env!("CARGO_BIN_EXE_hollow-members").into(),
        folder: folder.0.clone(),
    }
}

/// The dispatcher's program beside that of this crate; a test of the whole workspace builds it, one of this crate alone
/// does not.
fn dispatcher() -> PathBuf {
    let hollow = Path::new(env!("CARGO_BIN_EXE_hollow-members"));
    let program = hollow.with_file_name("trailproxyd");
    if !program.is_file() {
        let mut build = Command::new(env!("CARGO"));
        build.args([
            "build",
            "--locked",
            "-p",
            "trailproxyd",
            "--bin",
            "trailproxyd",
        ]);
        if !cfg!(debug_assertions) {
            build.arg("--release");
        }
        let built = build.status().expect("cargo runs");
        assert!(built.success(), "the dispatcher is built");
    }
    program
}
