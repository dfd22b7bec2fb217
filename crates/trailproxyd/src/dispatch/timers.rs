//! Timers: outer limits, wake-ups and waits for connections.

use super::{Dispatch, REPORT_EVERY, STILL_COMING};
use crate::messages::{Answer, AttemptId};
use std::time::Duration;
use tokio::time::Instant;
use trailproxy::interface::{Ending, Event};
use trailproxy::units::{AttemptNo, RequestId, TimerId, Timestamp};

impl Dispatch {
    pub(super) fn longest_limit(&self) -> Duration {
        Duration::from_micros(self.pools.shared.bounds.longest_limit.0)
    }

    pub(super) fn next_timer(&self) -> Instant {
        let state = &self.state;
        let limit = state.limits.first().map(|&(at, _)| at);
        let wake = state.wakes.first().map(|&(at, _)| at);
        let shared = self.decisions.crossings.next();
        let timed = [limit, wake, shared]
            .into_iter()
            .flatten()
            .map(|at| self.clock.instant(at));
        let ending = state.ending.map(|asked| match state.finished {
            true => asked + STILL_COMING + self.longest_limit(),
            false => (asked + STILL_COMING).max(Instant::now() + Duration::from_millis(10)),
        });
        let all = timed.chain(self.pools.next_deadline()).chain(ending);
        all.min().unwrap_or_else(|| Instant::now() + REPORT_EVERY)
    }

    /// What is due by now: waits for connections, outer limits, wake-ups.
    pub(super) fn pass_time(&mut self, now: Timestamp) {
        self.pools.expire(self.clock.instant(now));
        while let Some((_, id)) = self.state.fading.pop_front_if(|(until, _)| *until <= now) {
            self.state.references.remove(&id);
        }
        let due: Vec<RequestId> = {
            let due = self.state.limits.iter().take_while(|(at, _)| *at <= now);
            due.map(|&(_, id)| id).collect()
        };
        for id in due {
            let Some(request) = self.state.requests.get(&id) else {
                continue;
            };
            let out: Vec<AttemptNo> = request.out().collect();
            self.state.limits.remove(&(request.limit, id));
            for no in out {
                let attempt = AttemptId { request: id, no };
                self.pools.cancel(attempt);
                self.ended(now, attempt, None, Answer::bare(Ending::TimedOut));
            }
            // The decisions give the final answer, woken by their own timer or by this.
            self.tell(now, Event::TimerFired { timer: TimerId(0) });
        }
        while let Some(&(at, timer)) = self.state.wakes.first().filter(|(at, _)| *at <= now) {
            self.state.wakes.remove(&(at, timer));
            self.tell(now, Event::TimerFired { timer });
        }
    }
}
