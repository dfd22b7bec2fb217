//! The log on standard output: written by a thread of its own, which outlasts writes that fail, and which nothing waits
//! for.

use slog::{Drain, Level, Never, OwnedKVList, Record, b, record};
use slog_async::{Async, AsyncGuard, OverflowStrategy};
use std::mem::ManuallyDrop;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::channel;
use std::time::Duration;

/// Lines that wait for the log's own thread; more are dropped and their number is logged.
const LOG_LINES: usize = 4096;
/// The last lines have so long to go out. Whoever reads them may not read.
const LAST_LINES_WITHIN: Duration = Duration::from_millis(300);

/// A log, and what lets its last lines go out.
pub fn new_log() -> (Async, AsyncGuard) {
    let plain = slog_term::PlainDecorator::new(std::io::stdout());
    let lines = slog_term::FullFormat::new(plain)
        .use_utc_timestamp()
        .build();
    let lost = AtomicU64::new(0);
    Async::new(Lasting { lines, lost })
        .chan_size(LOG_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard()
}

/// Waits for the last lines, for as long as they may take.
pub fn finish(guard: AsyncGuard) {
    let (tell, told) = channel();
    // Where no thread can be had, it is left as it is: to drop it here would wait without end.
    let guard = ManuallyDrop::new(guard);
    let waiting = std::thread::Builder::new().spawn(move || {
        drop(ManuallyDrop::into_inner(guard));
        let _ = tell.send(());
    });
    if waiting.is_ok() {
        let _ = told.recv_timeout(LAST_LINES_WITHIN);
    }
}

/// A drain that goes on after a write that failed: a disk that is full or a reader that is gone may be so for a while. How
/// many lines were lost is said once one goes out again.
struct Lasting<D> {
    lines: D,
    lost: AtomicU64,
}

impl<D: Drain> Drain for Lasting<D> {
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
