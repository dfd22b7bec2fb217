//! Detects time spans in which the whole process did not run.
//!
//! A process that is stopped or starved of the processor finds everything that arrived meanwhile at once and cannot tell
//! when each item arrived. Every task records activity here when it runs. What is found right after a long gap may be as
//! old as the start of the gap. An idle process records nothing either, so the gap is only an upper bound on that age.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// A shorter gap between two activities does not count as a stall: a delay this short harms no request.
const MIN_STALL: Duration = Duration::from_millis(50);
/// What any task finds within this time after a stall may have arrived during it: on a busy machine some tasks run late.
const STALL_AFTERMATH: Duration = Duration::from_millis(100);

/// A stall that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stall {
    /// The last activity before the stall.
    pub began: Instant,
    /// The first activity after the stall.
    pub ended: Instant,
}

/// Records the activity of all tasks and the last stall.
pub struct StallDetector {
    last_activity: Cell<Instant>,
    last_stall: Cell<Option<Stall>>,
}

impl Default for StallDetector {
    fn default() -> StallDetector {
        StallDetector {
            last_activity: Cell::new(Instant::now()),
            last_stall: Cell::new(None),
        }
    }
}

impl StallDetector {
    /// Records that a task runs at `now`.
    pub fn record_activity(&self, now: Instant) {
        let last = self.last_activity.replace(now);
        if now.duration_since(last) <= MIN_STALL {
            return;
        }
        // A stall close behind another extends it: not everything that arrived in the first was found yet.
        let before = self.recent_stall(last);
        let began = before.map_or(last, |stall| stall.began);
        let ended = now;
        self.last_stall.set(Some(Stall { began, ended }));
    }

    /// The stall during which something found at `now` may have arrived, if one has just ended.
    pub fn recent_stall(&self, now: Instant) -> Option<Stall> {
        let stall = self.last_stall.get();
        stall.filter(|stall| now.duration_since(stall.ended) < STALL_AFTERMATH)
    }
}
