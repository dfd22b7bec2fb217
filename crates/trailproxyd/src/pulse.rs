//! Whether the process has been run without a break.
//!
//! A process that is stopped, or starved of the processor, finds what has come meanwhile all at once, and can't tell when
//! it came. Every task beats here when it is run. What is found right behind a long silence may be as old as the silence;
//! an idle process is silent as well, so that this is only a bound.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// A shorter silence is none: it costs nobody anything.
const SILENCE: Duration = Duration::from_millis(50);
/// What all tasks find so soon behind a silence may have come within it: on a busy machine some are run late.
const BEHIND: Duration = Duration::from_millis(100);

/// A silence that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Silence {
    pub began: Instant,
    pub ended: Instant,
}

/// The beats of all tasks.
pub struct Pulse {
    last: Cell<Instant>,
    silence: Cell<Option<Silence>>,
}

impl Default for Pulse {
    fn default() -> Pulse {
        Pulse {
            last: Cell::new(Instant::now()),
            silence: Cell::new(None),
        }
    }
}

impl Pulse {
    /// A task is run.
    pub fn beat(&self, now: Instant) {
        let last = self.last.replace(now);
        if now.duration_since(last) <= SILENCE {
            return;
        }
        // One that follows close behind another is one with it: not all that came in that were found yet.
        let before = self.silence_before(last);
        let began = before.map_or(last, |silence| silence.began);
        let ended = now;
        self.silence.set(Some(Silence { began, ended }));
    }

    /// The silence that what is found now may have come in, if it has just ended.
    pub fn silence_before(&self, now: Instant) -> Option<Silence> {
        let silence = self.silence.get();
        silence.filter(|silence| now.duration_since(silence.ended) < BEHIND)
    }
}
