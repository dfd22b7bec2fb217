//! The life of a request, from its arrival to its one final answer.

use super::{Dispatch, Request};
use crate::checks::{count, must};
use crate::messages::{AttemptId, Call, CallId, Reply};
use crate::subsystems::came;
use std::rc::Rc;
use trailproxy::interface::{Arrival, Effect, Event};
use trailproxy::units::{Moment, RequestId, Span};

impl Dispatch {
    /// Drops what of a request is not begun, also where the settings allow no withdrawal of what is. Whether any
    /// attempt of it had not ended.
    pub(super) fn recall(&mut self, access: RequestId) -> bool {
        let open = self.state.accesses.get(&access);
        let mut any = false;
        for no in open.into_iter().flat_map(Request::out) {
            self.pools.recall(AttemptId { access, no });
            any = true;
        }
        any
    }

    pub(super) fn arrived(&mut self, now: Moment, call: Call) {
        count(&self.counts.accesses);
        if self.state.accesses.len() >= self.pools.shared.bounds.max_open {
            count(&self.counts.rejected);
            return self.reply(call.id, Reply::Refused { come_back: None });
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
            left: limit.since(now),
            track: call.track,
            object: call.object,
            group: call.group,
            part: call.part,
            size_kb: call.size_kb,
        };
        self.state.limits.insert((limit, id));
        self.state.calls.insert(call.id, id);
        let keyed = self.effects[usize::from(call.track.0)] != Effect::Idempotent;
        let mark = call.mark.clone().filter(|_| keyed);
        let (closed, hand_offs) = (false, Vec::new());
        self.state.accesses.insert(
            id,
            Request {
                call: Rc::new(call),
                limit,
                closed,
                hand_offs,
            },
        );
        let held = mark.is_some_and(|mark| self.decisions.crossings.come(now, arrival, &mark));
        if !held {
            self.tell(now, Event::Arrived(arrival));
        }
    }

    pub(super) fn left(&mut self, now: Moment, call: CallId) {
        if let Some(id) = self.state.calls.remove(&call) {
            count(&self.counts.left);
            self.came(now, id, None);
            self.recall(id);
            self.close(id);
            self.tell(now, Event::Left { id });
            self.forget(now, id);
        }
    }

    /// No answer is owed any more; what is out may still end.
    pub(super) fn close(&mut self, id: RequestId) {
        if let Some(access) = self.state.accesses.get_mut(&id) {
            must(!access.closed, &self.counts.broken_two_finals);
            access.closed = true;
            access.call.over.set(true);
            self.state.calls.remove(&access.call.id);
            self.state.limits.remove(&(access.limit, id));
        }
    }

    pub(super) fn forget(&mut self, now: Moment, id: RequestId) {
        let longest = self.pools.shared.bounds.longest_limit;
        let over = |access: &Request| access.closed && access.out().next().is_none();
        if self.state.accesses.get(&id).is_some_and(over)
            && let Some(access) = self.state.accesses.remove(&id)
        {
            let reference = access.call.reference.clone();
            // No host has it longer than its time or the longest one; a client that says it waits for an hour must
            // not make all that ends behind it be remembered as long.
            let until = access.limit.min(now + longest) + longest;
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
    pub(super) fn came(&mut self, now: Moment, id: RequestId, done: Option<&[u8]>) {
        let beside = &mut self.decisions.crossings;
        if let Some(access) = self.state.accesses.get(&id)
            && access.call.mark.is_some()
            && beside.knows_keys()
        {
            let ran = access.hand_offs.iter().any(|hand_off| hand_off.ran);
            beside.ended(now, id, &came(done, ran));
        }
    }

    /// The one final answer of an access.
    pub(super) fn answer(&mut self, now: Moment, id: RequestId, reply: Reply) {
        let Some(access) = self.state.accesses.get(&id).filter(|access| !access.closed) else {
            return;
        };
        if now.since(access.limit) > Span::from_millis(50) {
            count(&self.counts.late_finals);
        }
        let call = access.call.id;
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
        self.close(id);
        self.reply(call, reply);
    }
}
