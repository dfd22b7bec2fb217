//! The actions of the decisions: attempts go out, and their endings come back.

use super::{AttemptState, Dispatch};
use crate::checks::{count, must};
use crate::messages::{Answer, AttemptId, LineId, Reply, Sending};
use slog::{debug, info};
use trailproxy::interface::{Action, Attempt, Effect, Ending, Event, Outcome};
use trailproxy::policy::refusals::GiveUpReason;
use trailproxy::units::{AttemptNo, RequestId, Timestamp};

impl Dispatch {
    pub(super) fn settle(&mut self, now: Timestamp) {
        self.share(now);
        if !std::mem::take(&mut self.state.told) {
            return;
        }
        for action in self.decisions.take_actions(now) {
            match action {
                Action::Attempt(attempt) => self.attempt(now, attempt),
                Action::Refuse {
                    id,
                    retry_after,
                    reason,
                } => {
                    self.given_up(now, id, Reply::Refused { retry_after }, reason);
                }
                Action::Fail { id, reason } => self.given_up(now, id, Reply::Failed, reason),
                Action::Cancel { id, attempt: no } => {
                    self.pools.cancel(AttemptId { request: id, no });
                }
                Action::SetTimer { at, timer } => {
                    self.state.wakes.insert((at, timer));
                }
                Action::Probe { host } => self.pools.probe(host),
                // The list comes by itself.
                Action::RequestHostList => {}
                Action::Log { text } => info!(self.log, "decided"; "what" => text),
            }
        }
    }

    /// The decisions have given a request up.
    fn given_up(&mut self, now: Timestamp, id: RequestId, reply: Reply, why: GiveUpReason) {
        count(self.counts.given_up(why));
        self.answer(now, id, reply, why.as_str());
        self.forget(now, id);
    }

    pub(super) fn attempt(&mut self, now: Timestamp, attempt: Attempt) {
        let Attempt { id, host, fill } = attempt;
        let request = self.state.requests.get_mut(&id);
        let request = request.filter(|request| !request.closed);
        must(request.is_some(), &self.counts.broken_sent_after_end);
        let Some(request) = request else {
            return;
        };
        let bounds = &self.pools.shared.bounds;
        let track = usize::from(request.call.track.0);
        let source = fill
            .map(|fill| fill.source)
            .filter(|&source| source != host);
        let name = source.and_then(|source| self.pools.host_name(source));
        let named = name.is_some() == source.is_some();
        must(named, &self.counts.broken_unknown_host);
        // A repeat is known for a while only; a wait for a connection may outlast that.
        let earlier = request.attempts.iter();
        let ran = earlier
            .clone()
            .filter(|earlier| earlier.ran)
            .map(|earlier| earlier.sent);
        let repeat_by = match self.effects[track] {
            Effect::Keyed { window, .. } => ran.min().map(|first| first + window),
            _ => None,
        };
        let sending = Sending {
            id: AttemptId {
                request: id,
                no: AttemptNo(request.attempts.len() as u8),
            },
            host,
            call: request.call.clone(),
            track: bounds.track_names[track].as_str().into(),
            fill,
            source: name,
            deadline: request.limit,
            repeat_by,
            avoid: earlier.filter_map(|earlier| earlier.line).collect(),
        };
        request.attempts.push(AttemptState {
            host,
            source,
            sent: now,
            line: None,
            over: false,
            ran: true,
        });
        self.pools
            .shared
            .trace
            .attempt(&sending.call, sending.id, host);
        self.decisions.crossings.went(now, id, host);
        self.pools.submit(sending);
    }

    /// An answer from a copy that a purge forbids is none: the host has failed to heed it.
    fn admitted(&self, now: Timestamp, id: AttemptId, answer: Answer) -> Answer {
        let admits = |minted| self.decisions.admits_copy(now, id.request, id.no, minted);
        let done = answer.ending == Ending::Done;
        if !done || answer.minted.is_none_or(admits) {
            return answer;
        }
        count(&self.counts.purged_copies_refused);
        Answer::bare(Ending::Error)
    }

    pub(super) fn ended(
        &mut self,
        now: Timestamp,
        id: AttemptId,
        line: Option<LineId>,
        answer: Answer,
    ) {
        let answer = self.admitted(now, id, answer);
        let ending = answer.ending;
        let request = self.state.requests.get_mut(&id.request);
        let attempt = request.and_then(|request| request.attempts.get_mut(usize::from(id.no.0)));
        let Some(attempt) = attempt.filter(|attempt| !attempt.over) else {
            return;
        };
        attempt.over = true;
        attempt.ran = !ending.never_ran();
        attempt.line = line;
        let elapsed = now.since(attempt.sent);
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
            let reply = answer.body.map_or(Reply::Same, Reply::Served);
            self.answer(now, id.request, reply, "served");
        }
        if self.client_of(id.request).is_some_and(|client| client.shut) {
            // Nothing more begins for it.
            self.answer(now, id.request, Reply::Failed, "client_shut");
        }
        let request = self.state.requests.get(&id.request);
        if let Some(request) = request {
            let trace = &self.pools.shared.trace;
            trace.ended(&request.call, id, ending, elapsed);
        }
        let request_closed = request.is_none_or(|request| request.closed);
        let client_proven = self
            .client_of(id.request)
            .is_some_and(|client| client.proven);
        let load = self.reports.load(&answer.report);
        self.tell(
            now,
            Event::Outcome(Outcome {
                id: id.request,
                attempt: id.no,
                ending,
                elapsed,
                request_closed,
                note: answer.note,
                first_byte_latency: answer.waited,
                load,
                client_proven,
                received_kb,
            }),
        );
        self.forget(now, id.request);
    }
}
