//! The life of a request, from its arrival to its one final answer.

use super::{Dispatch, Request};
use crate::checks::{count, must};
use crate::messages::{AttemptId, Call, CallId, Reply};
use crate::subsystems::came;
use std::rc::Rc;
use trailproxy::interface::{Arrival, Effect, Event};
use trailproxy::policy::permits;
use trailproxy::policy::refusals::GiveUpReason;
use trailproxy::units::{RequestId, TimeSpan, Timestamp};

impl Dispatch {
    /// Drops what of a request is not begun, also where the settings allow no withdrawal of what is. Whether any
    /// attempt of it had not ended.
    pub(super) fn recall(&mut self, request: RequestId) -> bool {
        let open = self.state.requests.get(&request);
        let mut any = false;
        for no in open.into_iter().flat_map(Request::out) {
            self.pools.drop_unsent(AttemptId { request, no });
            any = true;
        }
        any
    }

    pub(super) fn arrived(&mut self, now: Timestamp, call: Call) {
        count(&self.counts.accesses);
        let most = self.pools.shared.bounds.max_open;
        if !permits::may_take(self.state.requests.len(), most) {
            count(&self.counts.rejected);
            count(self.counts.given_up(GiveUpReason::TableFull));
            let retry_after = self.decisions.retry_after(now, call.track);
            return self.reply(call.id, Reply::Refused { retry_after });
        }
        if !self.state.references.insert(call.reference.clone()) {
            count(&self.counts.bad_clients);
            count(&self.counts.ids_again);
            return self.reply(call.id, Reply::Failed);
        }
        self.state.next += 1;
        let id = RequestId(self.state.next);
        let limit = self.clock.moment(call.come) + call.left;
        let arrival = Arrival {
            id,
            time_left: limit.since(now),
            class: call.track,
            object: call.object,
            group: call.group,
            part: call.part,
            size_kb: call.size_kb,
        };
        self.pools.shared.trace.taken(&call, arrival.time_left);
        self.state.limits.insert((limit, id));
        self.state.calls.insert(call.id, id);
        let keyed = self.effects[usize::from(call.track.0)] != Effect::Idempotent;
        let mark = call.mark.clone().filter(|_| keyed);
        let (closed, attempts) = (false, Vec::new());
        self.state.requests.insert(
            id,
            Request {
                call: Rc::new(call),
                limit,
                closed,
                attempts,
            },
        );
        let held = mark.is_some_and(|mark| self.decisions.crossings.come(now, arrival, &mark));
        if !held {
            self.tell(now, Event::Arrived(arrival));
        }
    }

    pub(super) fn left(&mut self, now: Timestamp, call: CallId) {
        if let Some(id) = self.state.calls.remove(&call) {
            count(&self.counts.left);
            self.came(now, id, None);
            self.recall(id);
            self.trace_closed(id, "none", "client_left");
            self.close(id);
            self.tell(now, Event::ClientGone { id });
            self.forget(now, id);
        }
    }

    fn trace_closed(&self, id: RequestId, how: &str, why: &str) {
        if let Some(request) = self.state.requests.get(&id) {
            let trace = &self.pools.shared.trace;
            trace.closed(&request.call, how, why);
        }
    }

    /// No answer is owed any more; what is out may still end.
    pub(super) fn close(&mut self, id: RequestId) {
        if let Some(request) = self.state.requests.get_mut(&id) {
            must(!request.closed, &self.counts.broken_two_finals);
            request.closed = true;
            request.call.over.set(true);
            self.state.calls.remove(&request.call.id);
            self.state.limits.remove(&(request.limit, id));
        }
    }

    pub(super) fn forget(&mut self, now: Timestamp, id: RequestId) {
        let longest = self.pools.shared.bounds.longest_limit;
        let over = |request: &Request| request.closed && request.out().next().is_none();
        if self.state.requests.get(&id).is_some_and(over)
            && let Some(request) = self.state.requests.remove(&id)
        {
            let reference = request.call.reference.clone();
            // No host has it longer than its time or the longest one; a client that says it waits for an hour must
            // not make all that ends behind it be remembered as long.
            let until = request.limit.min(now + longest) + longest;
            self.state.fading.push_back((until, reference));
            let most = self.pools.shared.bounds.max_open;
            if self.state.fading.len() > most
                && let Some((_, oldest)) = self.state.fading.pop_front()
            {
                self.state.references.remove(&oldest);
            }
        }
    }

    /// Others are to know what came of it.
    pub(super) fn came(&mut self, now: Timestamp, id: RequestId, done: Option<&[u8]>) {
        let beside = &mut self.decisions.crossings;
        if let Some(request) = self.state.requests.get(&id)
            && request.call.mark.is_some()
            && beside.knows_keys()
        {
            let ran = request.attempts.iter().any(|attempt| attempt.ran);
            beside.ended(now, id, &came(done, ran));
        }
    }

    /// The one final answer of a request.
    pub(super) fn answer(&mut self, now: Timestamp, id: RequestId, reply: Reply, why: &str) {
        let Some(request) = self
            .state
            .requests
            .get(&id)
            .filter(|request| !request.closed)
        else {
            return;
        };
        if now.since(request.limit) > TimeSpan::from_millis(50) {
            count(&self.counts.late_finals);
        }
        let call = request.call.id;
        self.came(
            now,
            id,
            match &reply {
                Reply::Served(body) => Some(body.bytes()),
                _ => None,
            },
        );
        count(match &reply {
            Reply::Served(_) | Reply::Same => &self.counts.done,
            Reply::Refused { .. } => &self.counts.rejected,
            Reply::Failed => &self.counts.aborted,
        });
        self.trace_closed(id, reply.word(), why);
        self.close(id);
        self.reply(call, reply);
    }
}
