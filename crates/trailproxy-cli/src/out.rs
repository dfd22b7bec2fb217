//! Output of results into a folder, and progress bars on a terminal.

use indicatif::{ProgressBar, ProgressStyle};
use std::io::IsTerminal;
use std::path::Path;

/// Returns a progress bar, which is hidden if standard error is not a terminal.
pub fn progress(steps: u64, label: &str) -> ProgressBar {
    if !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let style = ProgressStyle::with_template("{msg} {wide_bar} {pos}/{len} {eta}");
    let bar = ProgressBar::new(steps).with_message(label.to_owned());
    match style {
        Ok(style) => bar.with_style(style),
        Err(_) => bar,
    }
}

/// Writes one file into the folder, and creates the folder if it is missing.
pub fn write(folder: &str, name: &str, text: &str) -> Result<(), String> {
    let path = Path::new(folder).join(name);
    std::fs::create_dir_all(folder)
        .and_then(|()| std::fs::write(&path, text))
        .map_err(|e| format!("{} can't be written: {e}", path.display()))
}
