//! The client of the journal service, which delivers host lists and purges once and in order.
//!
//! Several calls to the service may be open at once, while it is silent or slow. Whichever brings the next event delivers
//! it; events that another call has brought before are passed over.

use crate::checks::{Counts, check_invariant, count};
use crate::journal_call::{JournalCall, Received};
use crate::journal_entries::Names;
use crate::messages::*;
use local_channel::mpsc;
use serde_json::Value;
use slog::{Logger, info, warn};
use std::collections::BTreeMap;
use std::future::{Future, pending, poll_fn};
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::Poll;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until};
use trailproxy::policy::journal_calls::{CallId, EndReason, JournalCalls, Order};
use trailproxy::units::Timestamp;

/// What the client shares with the rest of the process.
pub struct JournalContext {
    /// The ids of zones and kinds in host lists.
    pub names: Rc<Names>,
    /// Where events are sent.
    pub queue: InboundSender,
    pub counts: Rc<Counts>,
    pub log: Logger,
}

/// The client and its position in the journal.
pub struct JournalClient {
    context: JournalContext,
    /// The position of the last event received.
    last_position: u64,
    /// Decides which calls are open.
    decisions: JournalCalls<SocketAddr>,
    /// The open calls.
    calls: BTreeMap<CallId, JournalCall>,
    clock: Clock,
    /// What was logged last about calls, and at which position: repetitions are logged once.
    last_logged: (String, u64),
}

/// What a new configuration says about the journal service.
pub struct JournalServiceUpdate {
    /// `None` if there is no service: nothing is added to what is known at the start.
    pub address: Option<SocketAddr>,
    /// The events that the configuration itself contains.
    pub known: Vec<JournalEntry>,
}

/// What a call has brought, or why it has ended.
type CallResult = Result<Received, String>;

/// What ends a wait of the client.
enum Wake {
    Update(JournalServiceUpdate),
    Call(CallId, CallResult),
    Due,
}

/// Receives events for as long as the process runs, and applies changes of the service's address.
pub async fn follow(mut journal: JournalClient, mut updates: mpsc::Receiver<JournalServiceUpdate>) {
    let mut last_served = CallId(0);
    loop {
        journal.carry_out_orders().await;
        let due = journal.decisions.next_due(journal.now());
        let due = due.map(|at| journal.clock.instant(at));
        let wake = tokio::select! {
            biased;
            Some(update) = updates.recv() => Wake::Update(update),
            (id, result) = next_result(&mut journal.calls, last_served, journal.last_position) => Wake::Call(id, result),
            () = sleep_until_due(due) => Wake::Due,
        };
        match wake {
            Wake::Update(update) => journal.apply(update),
            Wake::Call(id, result) => {
                last_served = id;
                journal.handle_result(id, result);
            }
            Wake::Due => {}
        }
        // A service that sends without a pause never has to be waited for, so that nobody else would run.
        yield_now().await;
    }
}

/// Waits until a call brings something or ends. The calls after `last_served` are looked at first, so that one that sends
/// without a pause does not hide the others.
async fn next_result(
    calls: &mut BTreeMap<CallId, JournalCall>,
    last_served: CallId,
    last_position: u64,
) -> (CallId, CallResult) {
    let mut waits: Vec<_> = calls
        .iter_mut()
        .map(|(id, call)| (*id, Box::pin(call.receive(last_position))))
        .collect();
    let served_before = waits.partition_point(|(id, _)| *id <= last_served);
    waits.rotate_left(served_before);
    poll_fn(|context| {
        for (id, wait) in &mut waits {
            if let Poll::Ready(result) = wait.as_mut().poll(context) {
                return Poll::Ready((*id, result));
            }
        }
        Poll::Pending
    })
    .await
}

async fn sleep_until_due(due: Option<Instant>) {
    match due {
        Some(due) => sleep_until(due).await,
        None => pending().await,
    }
}

impl JournalClient {
    /// A client that has made no call yet, and asks for the events after `last_position`.
    pub fn new(
        decisions: JournalCalls<SocketAddr>,
        last_position: u64,
        context: JournalContext,
    ) -> JournalClient {
        JournalClient {
            context,
            last_position,
            decisions,
            calls: BTreeMap::new(),
            clock: Clock::new(),
            last_logged: Default::default(),
        }
    }

    fn now(&self) -> Timestamp {
        self.clock.timestamp(Instant::now())
    }

    /// Makes and ends calls as decided. If anything is due, what has arrived is handled before: after a stop of the process,
    /// the time has passed although the calls have brought something.
    async fn carry_out_orders(&mut self) {
        let now = self.now();
        if self.decisions.next_due(now).is_some_and(|at| at <= now) {
            self.receive_present().await;
        }
        for order in self.decisions.due_orders(self.now()) {
            match order {
                Order::Open {
                    id,
                    address,
                    is_further,
                } => {
                    count(&self.context.counts.journal_calls);
                    if is_further {
                        count(&self.context.counts.journal_calls_beside);
                        self.log_once("journal service silent, called again", "silent".into());
                    }
                    self.calls.insert(id, JournalCall::new(address));
                }
                Order::End { id, reason } => {
                    self.calls.remove(&id);
                    let reason = match reason {
                        EndReason::Overtaken => "another call speaks",
                        EndReason::Silent => "silent",
                        EndReason::NoService => "no service is configured",
                    };
                    self.log_once("journal call ended", reason.into());
                }
            }
        }
    }

    /// Logs a line about calls unless the one before said the same.
    fn log_once(&mut self, line: &'static str, why: String) {
        let logged = (why, self.last_position);
        if self.last_logged != logged {
            info!(self.context.log, "{}", line; "why" => &logged.0, "last" => logged.1, "calls" => self.calls.len());
            self.last_logged = logged;
        }
    }

    /// Applies what a new configuration says. An event that is only half there on a call is completed there.
    fn apply(&mut self, update: JournalServiceUpdate) {
        self.decisions.set_address(update.address);
        update
            .known
            .into_iter()
            .for_each(|entry| self.add_known(entry));
        self.last_logged.0.clear();
    }

    /// Handles what the system holds for each call.
    async fn receive_present(&mut self) {
        let ids: Vec<CallId> = self.calls.keys().copied().collect();
        for id in ids {
            let Some(call) = self.calls.get_mut(&id) else {
                continue;
            };
            if let Some(result) = call.receive_present().await.transpose() {
                self.handle_result(id, result);
            }
        }
    }

    /// Handles what a call has brought, or its end.
    fn handle_result(&mut self, id: CallId, result: CallResult) {
        let Err(why) = result.and_then(|received| self.handle_received(id, received)) else {
            return;
        };
        self.calls.remove(&id);
        self.decisions.on_ended(self.now(), id);
        self.log_once("journal call ended", why);
    }

    fn handle_received(&mut self, id: CallId, received: Received) -> Result<(), String> {
        if received.body_arrived {
            let now = self.now();
            self.decisions.on_bytes(now, id, received.line_ended);
        }
        for event in received.events {
            self.handle_event(&event.id, &event.data)?;
        }
        match received.is_complete {
            true => Err("closed".into()),
            false => Ok(()),
        }
    }

    /// Takes an event from a new configuration if it is the next one.
    fn add_known(&mut self, entry: JournalEntry) {
        if entry.position == self.last_position + 1 {
            self.last_position = entry.position;
            count(&self.context.counts.journal_events);
            let _ = self.context.queue.send(Inbound::Journal(entry));
        }
    }

    /// Handles an event. Events that were received before are ignored; after a gap, the call ends and is made again.
    fn handle_event(&mut self, id: &str, data: &str) -> Result<(), String> {
        let json: Value = serde_json::from_str(data).unwrap_or_default();
        let position = id.parse().ok().or_else(|| json.get("pos")?.as_u64());
        let position = position.ok_or("an event has no position")?;
        if position <= self.last_position {
            count(&self.context.counts.journal_repeats);
            return Ok(());
        }
        if position > self.last_position + 1 && self.last_position > 0 {
            return Err(format!("events before {position} are missing"));
        }
        let entry = JournalEntry::read(&json, &self.context.names);
        check_invariant(
            position > self.last_position,
            &self.context.counts.broken_journal_order,
        );
        self.last_position = position;
        match entry {
            Some(entry) => {
                count(&self.context.counts.journal_events);
                let _ = self.context.queue.send(Inbound::Journal(entry));
            }
            None => {
                count(&self.context.counts.bad_entries);
                warn!(self.context.log, "journal event can't be read"; "pos" => position);
            }
        }
        Ok(())
    }
}
