//! Requests, from their arrival to their one final answer.

use super::{Dispatch, PendingRequest};
use crate::checks::{check_invariant, count};
use crate::messages::{AttemptId, ClientRequest, ClientRequestId, Reply};
use crate::request_ids::PastEffect;
use crate::subsystems::completion;
use std::rc::Rc;
use trailproxy::interface::{Arrival, Effect, Event};
use trailproxy::policy::permits;
use trailproxy::policy::refusals::GiveUpReason;
use trailproxy::units::{ClassId, RequestId, TimeSpan, Timestamp};

impl Dispatch {
    /// Cancels the attempts of a request that are not written yet, also where the settings do not allow the
    /// cancellation of attempts that are. Returns whether any attempt of the request was pending.
    pub(super) fn cancel_unsent(&mut self, request: RequestId) -> bool {
        let pending = self.state.requests.get(&request);
        let mut any_pending = false;
        for attempt in pending
            .into_iter()
            .flat_map(PendingRequest::pending_attempts)
        {
            self.pools.drop_unsent(AttemptId { request, attempt });
            any_pending = true;
        }
        any_pending
    }

    /// Refuses a new request that the decisions have not seen, and tells its client when to come back.
    pub(super) fn refuse_unread(
        &mut self,
        now: Timestamp,
        request: ClientRequestId,
        class: ClassId,
        reason: GiveUpReason,
    ) {
        count(&self.counts.rejected);
        count(self.counts.given_up(reason));
        let retry_after = self.decisions.retry_after(now, class);
        self.send_reply(request, Reply::Refused { retry_after });
    }

    /// Takes a new request: refuses it if the table is full, fails it if its id is in use, and otherwise hands it to
    /// the decisions, or first to the subsystem that knows earlier attempts under its key.
    pub(super) fn on_request(&mut self, now: Timestamp, client_request: ClientRequest) {
        count(&self.counts.accesses);
        let max_open = self.pools.shared.bounds.max_open;
        let has_effect = self.effects[usize::from(client_request.class.0)] != Effect::Idempotent;
        let has_room_for_id =
            !has_effect || (self.pools.shared.memory).may_keep_id(self.state.ids.with_effect());
        if !permits::may_take(self.state.requests.len(), max_open) || !has_room_for_id {
            let (id, class) = (client_request.id, client_request.class);
            return self.refuse_unread(now, id, class, GiveUpReason::TableFull);
        }
        if !self.state.ids.reserve(&client_request.reference) {
            count(&self.counts.bad_clients);
            count(&self.counts.ids_again);
            return self.send_reply(client_request.id, Reply::Failed);
        }
        self.state.last_request_id += 1;
        let id = RequestId(self.state.last_request_id);
        let deadline = self.clock.timestamp(client_request.arrived_at) + client_request.time_left;
        let arrival = Arrival {
            id,
            time_left: deadline.since(now),
            class: client_request.class,
            object: client_request.object,
            group: client_request.group,
            part: client_request.part,
            size_kb: client_request.size_kb,
        };
        self.pools
            .shared
            .trace
            .request_read(&client_request, arrival.time_left);
        self.state.deadlines.insert((deadline, id));
        self.state.client_requests.insert(client_request.id, id);
        let key = client_request
            .idempotency_key
            .clone()
            .filter(|_| has_effect);
        let (closed, attempts) = (false, Vec::new());
        self.state.requests.insert(
            id,
            PendingRequest {
                client_request: Rc::new(client_request),
                deadline,
                closed,
                attempts,
            },
        );
        let held = key.is_some_and(|key| self.decisions.crossings.on_request(now, arrival, &key));
        if !held {
            self.handle_event(now, Event::Arrived(arrival));
        }
    }

    /// Handles a request whose client has cancelled it or has gone.
    pub(super) fn on_request_cancelled(&mut self, now: Timestamp, request: ClientRequestId) {
        if let Some(id) = self.state.client_requests.remove(&request) {
            count(&self.counts.left);
            self.report_outcome(now, id, None);
            self.cancel_unsent(id);
            self.trace_closed(id, "none", "client_left");
            self.close_request(id);
            self.handle_event(now, Event::ClientGone { id });
            self.remove_if_finished(now, id);
        }
    }

    fn trace_closed(&self, id: RequestId, result: &str, reason: &str) {
        if let Some(request) = self.state.requests.get(&id) {
            let trace = &self.pools.shared.trace;
            trace.request_closed(&request.client_request, result, reason);
        }
    }

    /// Marks a request as closed: no answer is owed any more. Pending attempts may still end.
    pub(super) fn close_request(&mut self, id: RequestId) {
        if let Some(request) = self.state.requests.get_mut(&id) {
            check_invariant(!request.closed, &self.counts.broken_two_finals);
            request.closed = true;
            request.client_request.closed.set(true);
            self.state
                .client_requests
                .remove(&request.client_request.id);
            self.state.deadlines.remove(&(request.deadline, id));
        }
    }

    /// Removes a request that is closed and has no pending attempt. Its id stays reserved for as long as a host may
    /// still know the request.
    pub(super) fn remove_if_finished(&mut self, now: Timestamp, id: RequestId) {
        let max_deadline = self.pools.shared.bounds.max_deadline;
        let finished = |request: &PendingRequest| {
            request.closed && request.pending_attempts().next().is_none()
        };
        if self.state.requests.get(&id).is_some_and(finished)
            && let Some(request) = self.state.requests.remove(&id)
        {
            // No host keeps a request longer than its own deadline or the longest deadline of any class. The second
            // bound matters because a client may state a wait of an hour, and that must not keep all ids that end
            // behind it.
            let until = request.deadline.min(now + max_deadline) + max_deadline;
            let max_open = self.pools.shared.bounds.max_open;
            let reference = &request.client_request.reference;
            let class = usize::from(request.client_request.class.0);
            let may_have_run = request.attempts.iter().any(|attempt| attempt.may_have_run);
            let effect = match may_have_run && self.effects[class] != Effect::Idempotent {
                true => PastEffect::Possible,
                false => PastEffect::Harmless,
            };
            self.state.ids.retire(reference, until, effect, max_open);
        }
    }

    /// Tells the subsystems shared with other dispatchers how a request with a key ended. `done`: the body that was
    /// served, if any.
    pub(super) fn report_outcome(&mut self, now: Timestamp, id: RequestId, done: Option<&[u8]>) {
        let subsystems = &mut self.decisions.crossings;
        if let Some(request) = self.state.requests.get(&id)
            && request.client_request.idempotency_key.is_some()
            && subsystems.shares_outcomes()
        {
            let may_have_run = request.attempts.iter().any(|attempt| attempt.may_have_run);
            subsystems.on_request_ended(now, id, &completion(done, may_have_run));
        }
    }

    /// Gives a request its one final answer. A request that is closed gets none.
    pub(super) fn answer(&mut self, now: Timestamp, id: RequestId, reply: Reply, reason: &str) {
        let Some(request) = self
            .state
            .requests
            .get(&id)
            .filter(|request| !request.closed)
        else {
            return;
        };
        if now.since(request.deadline) > TimeSpan::from_millis(50) {
            count(&self.counts.late_finals);
        }
        let client_request = request.client_request.id;
        self.report_outcome(
            now,
            id,
            match &reply {
                Reply::Served(body) => Some(body.bytes()),
                _ => None,
            },
        );
        count(match &reply {
            Reply::Served(_) | Reply::NotModified => &self.counts.done,
            Reply::Refused { .. } => &self.counts.rejected,
            Reply::Failed => &self.counts.aborted,
        });
        self.trace_closed(id, reply.as_str(), reason);
        self.close_request(id);
        self.send_reply(client_request, reply);
    }
}
