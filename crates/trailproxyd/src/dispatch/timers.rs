//! Timers: deadlines of requests, timers of the decisions and waits for connections.

use super::{Dispatch, REPORT_INTERVAL, SHUTDOWN_ACCEPT_TIME};
use crate::messages::{Answer, AttemptId};
use std::time::Duration;
use tokio::time::Instant;
use trailproxy::interface::{Ending, Event};
use trailproxy::units::{AttemptNo, RequestId, TimerId, Timestamp};

impl Dispatch {
    /// The longest deadline of any class.
    pub(super) fn max_deadline(&self) -> Duration {
        Duration::from_micros(self.pools.shared.bounds.max_deadline.0)
    }

    /// When the task has something to do next, even if no message arrives.
    pub(super) fn next_wakeup(&self) -> Instant {
        let state = &self.state;
        let deadline = state.deadlines.first().map(|&(at, _)| at);
        let timer = state.timers.first().map(|&(at, _)| at);
        let subsystems = self.decisions.crossings.next_deadline();
        let timed = [deadline, timer, subsystems]
            .into_iter()
            .flatten()
            .map(|at| self.clock.instant(at));
        let shutdown =
            state
                .shutdown_requested_at
                .map(|requested_at| match state.clients_told_to_finish {
                    true => requested_at + SHUTDOWN_ACCEPT_TIME + self.max_deadline(),
                    false => (requested_at + SHUTDOWN_ACCEPT_TIME)
                        .max(Instant::now() + Duration::from_millis(10)),
                });
        let all = timed.chain(self.pools.next_deadline()).chain(shutdown);
        all.min()
            .unwrap_or_else(|| Instant::now() + REPORT_INTERVAL)
    }

    /// Handles everything that is due by now: waits for connections, ids whose reservation is over, deadlines and
    /// timers.
    pub(super) fn advance_timers(&mut self, now: Timestamp) {
        self.pools.expire(self.clock.instant(now));
        self.state.ids.expire(now);
        let due: Vec<RequestId> = {
            let due = self.state.deadlines.iter().take_while(|(at, _)| *at <= now);
            due.map(|&(_, id)| id).collect()
        };
        for id in due {
            let Some(request) = self.state.requests.get(&id) else {
                continue;
            };
            let pending: Vec<AttemptNo> = request.pending_attempts().collect();
            self.state.deadlines.remove(&(request.deadline, id));
            for attempt in pending {
                let attempt = AttemptId {
                    request: id,
                    attempt,
                };
                self.pools.cancel(attempt);
                self.on_attempt_ended(now, attempt, None, Answer::without_body(Ending::TimedOut));
            }
            // The decisions give the final answer when this event or their own timer makes them look again.
            self.handle_event(now, Event::TimerFired { timer: TimerId(0) });
        }
        while let Some(&(at, timer)) = self.state.timers.first().filter(|(at, _)| *at <= now) {
            self.state.timers.remove(&(at, timer));
            self.handle_event(now, Event::TimerFired { timer });
        }
    }
}
