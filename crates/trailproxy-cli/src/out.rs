//! Where results go: a folder, standard output, and progress on a terminal.

use indicatif::{ProgressBar, ProgressStyle};
use std::io::IsTerminal;
use std::path::Path;

/// A bar on a terminal, nothing in a pipe.
pub fn progress(steps: u64, what: &str) -> ProgressBar {
    if !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let style = ProgressStyle::with_template("{msg} {wide_bar} {pos}/{len} {eta}");
    let bar = ProgressBar::new(steps).with_message(what.to_owned());
    match style {
        Ok(style) => bar.with_style(style),
        Err(_) => bar,
    }
}

/// Writes one file into the folder, which is made where it is missing.
pub fn write(folder: &str, name: &str, text: &str) -> Result<(), String> {
    let path = Path::new(folder).join(name);
    std::fs::create_dir_all(folder)
        .and_then(|()| std::fs::write(&path, text))
        .map_err(|e| format!("{} can't be written: {e}", path.display()))
}
