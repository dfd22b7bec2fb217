//! Carries out the actions of the decisions: starts attempts and handles how they end.

use super::{AttemptState, Dispatch};
use crate::checks::{check_invariant, count};
use crate::messages::{Answer, AttemptId, AttemptRequest, ConnectionId, Reply};
use slog::{debug, info};
use trailproxy::interface::{Action, Attempt, Effect, Ending, Event, Outcome};
use trailproxy::policy::refusals::GiveUpReason;
use trailproxy::units::{AttemptNo, RequestId, Timestamp};

impl Dispatch {
    /// Applies what the subsystems have decided, then carries out all actions of the decisions.
    pub(super) fn apply_actions(&mut self, now: Timestamp) {
        self.apply_subsystem_events(now);
        if !std::mem::take(&mut self.state.has_new_events) {
            return;
        }
        for action in self.decisions.take_actions(now) {
            match action {
                Action::Attempt(attempt) => self.start_attempt(now, attempt),
                Action::Refuse {
                    id,
                    retry_after,
                    reason,
                } => {
                    self.on_given_up(now, id, Reply::Refused { retry_after }, reason);
                }
                Action::Fail { id, reason } => self.on_given_up(now, id, Reply::Failed, reason),
                Action::Cancel { id, attempt } => {
                    self.pools.cancel(AttemptId {
                        request: id,
                        attempt,
                    });
                }
                Action::SetTimer { at, timer } => {
                    self.state.timers.insert((at, timer));
                }
                Action::Probe { host } => self.pools.probe(host),
                // The journal service sends the host list unasked.
                Action::RequestHostList => {}
                Action::Log { text } => info!(self.log, "decided"; "what" => text),
            }
        }
    }

    /// Gives the final answer of a request that the decisions have given up.
    fn on_given_up(&mut self, now: Timestamp, id: RequestId, reply: Reply, reason: GiveUpReason) {
        count(self.counts.given_up(reason));
        self.answer(now, id, reply, reason.as_str());
        self.remove_if_finished(now, id);
    }

    /// Records an attempt and hands it to the connections of its host.
    pub(super) fn start_attempt(&mut self, now: Timestamp, attempt: Attempt) {
        let Attempt { id, host, fill } = attempt;
        let request = self.state.requests.get_mut(&id);
        let request = request.filter(|request| !request.closed);
        check_invariant(request.is_some(), &self.counts.broken_sent_after_end);
        let Some(request) = request else {
            return;
        };
        let bounds = &self.pools.shared.bounds;
        let class = usize::from(request.client_request.class.0);
        let source = fill
            .map(|fill| fill.source)
            .filter(|&source| source != host);
        let source_name = source.and_then(|source| self.pools.host_name(source));
        let source_is_known = source_name.is_some() == source.is_some();
        check_invariant(source_is_known, &self.counts.broken_unknown_host);
        // A repeat group recognises a repeat only within its window, and the wait for a connection may outlast that
        // window.
        let earlier_attempts = request.attempts.iter();
        let sent_times = earlier_attempts
            .clone()
            .filter(|earlier| earlier.may_have_run)
            .map(|earlier| earlier.sent_at);
        let repeat_by = match self.effects[class] {
            Effect::Keyed { window, .. } => sent_times.min().map(|first| first + window),
            _ => None,
        };
        let attempt = AttemptRequest {
            id: AttemptId {
                request: id,
                attempt: AttemptNo(request.attempts.len() as u8),
            },
            host,
            request: request.client_request.clone(),
            class_name: bounds.class_names[class].as_str().into(),
            fill,
            source: source_name,
            deadline: request.deadline,
            repeat_by,
            avoid_connections: earlier_attempts
                .filter_map(|earlier| earlier.connection)
                .collect(),
        };
        request.attempts.push(AttemptState {
            host,
            source,
            sent_at: now,
            connection: None,
            ended: false,
            may_have_run: true,
        });
        self.pools
            .shared
            .trace
            .attempt_assigned(&attempt.request, attempt.id, host);
        self.decisions.crossings.on_attempt_sent(now, id, host);
        self.pools.submit(attempt);
    }

    /// Replaces an answer from a copy that a purge forbids by an error, because the host did not apply the purge. Other
    /// answers are returned unchanged.
    fn without_purged_copy(&self, now: Timestamp, id: AttemptId, answer: Answer) -> Answer {
        let admits = |issued_at| {
            self.decisions
                .admits_copy(now, id.request, id.attempt, issued_at)
        };
        let done = answer.ending == Ending::Done;
        if !done || answer.issued_at.is_none_or(admits) {
            return answer;
        }
        count(&self.counts.purged_copies_refused);
        Answer::without_body(Ending::Error)
    }

    /// Handles the end of an attempt. A second ending of the same attempt is ignored.
    pub(super) fn on_attempt_ended(
        &mut self,
        now: Timestamp,
        id: AttemptId,
        connection: Option<ConnectionId>,
        answer: Answer,
    ) {
        let answer = self.without_purged_copy(now, id, answer);
        let ending = answer.ending;
        let request = self.state.requests.get_mut(&id.request);
        let attempt =
            request.and_then(|request| request.attempts.get_mut(usize::from(id.attempt.0)));
        let Some(attempt) = attempt.filter(|attempt| !attempt.ended) else {
            return;
        };
        attempt.ended = true;
        attempt.may_have_run = !ending.never_ran();
        attempt.connection = connection;
        let elapsed = now.since(attempt.sent_at);
        match ending {
            Ending::ConnectionLost => count(&self.counts.lost),
            Ending::NotSent => count(&self.counts.not_sent),
            Ending::NoConnection => count(&self.counts.no_connection),
            Ending::Cancelled => count(&self.counts.withdrawn),
            Ending::TimedOut => count(&self.counts.timed_out),
            _ => {}
        }
        debug!(self.log, "ended"; "access" => id.request.0, "host" => format!("{:x}", attempt.host.0),
            "ending" => crate::trace::ending_name(ending), "note" => crate::trace::note_name(answer.note), "took" => elapsed.0);
        let received_kb = answer.body.as_ref();
        let received_kb = received_kb.map(|body| body.bytes().len() as f64 / 1024.0);
        if ending == Ending::Done {
            let reply = answer.body.map_or(Reply::NotModified, Reply::Served);
            self.answer(now, id.request, reply, "served");
        }
        if self
            .client_of(id.request)
            .is_some_and(|client| client.half_closed)
        {
            // No further attempt starts for this client, so the request can't be repeated.
            self.answer(now, id.request, Reply::Failed, "client_shut");
        }
        let request = self.state.requests.get(&id.request);
        if let Some(request) = request {
            let trace = &self.pools.shared.trace;
            trace.attempt_ended(&request.client_request, id, ending, elapsed);
        }
        let request_closed = request.is_none_or(|request| request.closed);
        let client_proven = self
            .client_of(id.request)
            .is_some_and(|client| client.proven);
        let load = self.reports.load(&answer.load_report);
        self.handle_event(
            now,
            Event::Outcome(Outcome {
                id: id.request,
                attempt: id.attempt,
                ending,
                elapsed,
                request_closed,
                note: answer.note,
                first_byte_latency: answer.first_byte_latency,
                load,
                client_proven,
                received_kb,
            }),
        );
        self.remove_if_finished(now, id.request);
    }
}
