//! The log on standard output. A thread of its own writes it, continues after failed writes, and delays no other task.

use slog::{Drain, Level, Never, OwnedKVList, Record, b, record};
use slog_async::{Async, AsyncGuard, OverflowStrategy};
use std::mem::ManuallyDrop;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::channel;
use std::time::Duration;

/// How many lines may wait for the log thread. Further lines are dropped and their number is logged.
const MAX_QUEUED_LINES: usize = 4096;
/// How long the last lines may take to be written: the reader of the log may have stopped reading.
const LAST_LINES_TIMEOUT: Duration = Duration::from_millis(300);

/// Creates the log, with a guard that writes the remaining lines when it is dropped.
pub fn new_log() -> (Async, AsyncGuard) {
    let plain = slog_term::PlainDecorator::new(std::io::stdout());
    let lines = slog_term::FullFormat::new(plain)
        .use_utc_timestamp()
        .build();
    let lost = AtomicU64::new(0);
    Async::new(PersistentDrain { lines, lost })
        .chan_size(MAX_QUEUED_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard()
}

/// Waits until the last lines are written, for a limited time.
pub fn finish(guard: AsyncGuard) {
    let (done, finished) = channel();
    // If no thread can be started, the guard is not dropped: dropping it here could wait without end.
    let guard = ManuallyDrop::new(guard);
    let thread = std::thread::Builder::new().spawn(move || {
        drop(ManuallyDrop::into_inner(guard));
        let _ = done.send(());
    });
    if thread.is_ok() {
        let _ = finished.recv_timeout(LAST_LINES_TIMEOUT);
    }
}

/// A drain that continues after a failed write, because a full disk or a reader that is gone may be temporary. The
/// number of lost lines is logged with the next line that is written.
struct PersistentDrain<D> {
    lines: D,
    /// Lines lost since the last one that was written.
    lost: AtomicU64,
}

impl<D: Drain> Drain for PersistentDrain<D> {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        if self.lines.log(record, values).is_err() {
            self.lost.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let lost = self.lost.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let _ = self.lines.log(
                &record!(
                    Level::Warning,
                    "",
                    &format_args!("log lines lost"),
                    b!("lines" => lost)
                ),
                values,
            );
        }
        Ok(())
    }
}
