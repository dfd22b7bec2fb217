//! One connection to a host: RESP with pipelined requests that are answered in any order.
//!
//! Each connection is served by a task of its own, which receives attempts from the pool and reports their answers to
//! the dispatcher's queue.

use crate::checks::{check_invariant, count};
use crate::host_context::HostContext;
use crate::memory::{Charge, CountedBytes, MemoryAccount, MemoryUse};
use crate::messages::*;
use crate::msgpack::ParseError;
use crate::outgoing::OutgoingBytes;
use crate::resp;
use crate::ring::{MIN_CAPACITY_BYTES, Ring};
use crate::stall_detector::Stall;
use crate::system_calls::{self, RESOURCE_RETRY_DELAY, Transfer};
use local_channel::mpsc;
use slog::{info, warn};
use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, sleep_until};
use trailproxy::interface::{Ending, Note};
use trailproxy::policy::memory::CONNECTION_BYTES;
use trailproxy::policy::permits::{self, Denial, WriteProgress};
use trailproxy::units::{HostId, TimeSpan, Timestamp};

/// The longest string of a message, by the protocol: an object's body or one of the other strings.
const MAX_STRING_BYTES: usize = 240_000;
/// The number of strings in a request and in an answer.
const STRINGS_PER_MESSAGE: usize = 4;
/// The prefix of a probe's tag. It differs from every request id, because those are hex digits.
const PROBE_PREFIX: &str = "probe-";
/// How often a connection that has stopped reading checks whether there is memory again.
const READ_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// How many reads a connection does before other tasks run.
const MAX_READS_PER_TURN: usize = 8;
/// How much of the answers a connection reads at once, if there is memory for it.
const READ_BYTES: usize = 16 * 1024;

/// How long the message that cancels a request may be in transit. Until then the host may still process the request,
/// and sending the same request to another host would make a second copy.
const CANCEL_TRANSIT_TIME: Duration = Duration::from_millis(5);

/// The body of a request, which is kept with the request.
struct RequestBody(Rc<ClientRequest>);

impl AsRef<[u8]> for RequestBody {
    fn as_ref(&self) -> &[u8] {
        self.0.body.bytes()
    }
}

/// A message that waits to be written.
enum OutgoingMessage {
    /// A request for the host.
    Attempt(AttemptRequest),
    /// The cancellation of the request with this id.
    Cancel(Rc<str>),
    /// A request for the load of the host.
    Probe(ProbeId),
}

/// An attempt whose request is the message that is being written.
struct OutgoingAttempt {
    attempt: AttemptRequest,
    /// When the request was encoded, with the time that was left then.
    encoded_at: Instant,
}

/// An attempt that was written at least in part and has no answer yet.
struct OpenAttempt {
    id: AttemptId,
    sent_at: Instant,
    /// Whether the client holds a copy, so that the answer may be that it is unchanged.
    may_be_unchanged: bool,
}

/// One connection and the state of its task.
pub struct HostConnection {
    host: HostId,
    id: ConnectionId,
    stream: TcpStream,
    /// Messages of the pool to this connection.
    orders: mpsc::Receiver<ToHost>,
    shared: Rc<HostContext>,
    /// Received bytes that are not parsed yet.
    incoming: Ring,
    /// The next message has at least this many bytes.
    min_message_bytes: usize,
    /// Whether the last turn did as many reads as it may, so that the next one reads without waiting for more.
    has_more: bool,
    /// The message that is being written, if any. A message of which no byte could be written is taken out again.
    outgoing: OutgoingBytes<RequestBody>,
    /// The attempt whose request is in `outgoing`.
    attempt_in_outgoing: Option<OutgoingAttempt>,
    /// Whether a byte of the message in `outgoing` was written.
    has_begun: bool,
    /// When bytes were last written.
    last_write_at: Instant,
    /// Messages that wait for `outgoing`.
    unsent: VecDeque<OutgoingMessage>,
    /// Whether the last request was abandoned after a part of it was written. Nothing may follow that part, so that nothing
    /// more is written; answers are still read.
    writing_ended: bool,
    /// Open attempts, by the id of the request.
    open: BTreeMap<Rc<str>, OpenAttempt>,
    /// The last probe, until it is answered. The result of any earlier probe was reported already.
    probe: Option<ProbeId>,
    /// Cancelled attempts, each with the time by which the host has received the cancellation.
    cancelled: VecDeque<(Instant, AttemptId)>,
    last_received_at: Instant,
    /// When bytes of the host or a message of the pool were last received. The idle time counts from here.
    last_active_at: Instant,
    /// Whether the connection closes as soon as nothing is open.
    retired: bool,
    /// Whether `Unusable` was reported to the pool, which then sends nothing new here.
    unusable_reported: bool,
    /// Nothing is read or written before this time because the system was short of a resource.
    paused_until: Option<Instant>,
    /// The last stall of the process after which client connections were read first.
    last_yielded_stall: Option<Stall>,
    /// Counts the memory of the connection.
    _memory: Charge,
}

/// Why the connection closes. The text goes to the log, and some texts choose a counter.
type CloseReason = &'static str;

impl HostConnection {
    /// Creates the state for a new connection.
    pub fn new(
        host: HostId,
        id: ConnectionId,
        stream: TcpStream,
        orders: mpsc::Receiver<ToHost>,
        shared: Rc<HostContext>,
    ) -> HostConnection {
        HostConnection {
            host,
            id,
            stream,
            orders,
            incoming: Ring::new(&shared.memory, MemoryUse::Answers),
            min_message_bytes: 1,
            has_more: false,
            outgoing: OutgoingBytes::new(&shared.memory),
            attempt_in_outgoing: None,
            has_begun: false,
            last_write_at: Instant::now(),
            unsent: VecDeque::new(),
            writing_ended: false,
            open: BTreeMap::new(),
            probe: None,
            cancelled: VecDeque::new(),
            last_received_at: Instant::now(),
            last_active_at: Instant::now(),
            retired: false,
            unusable_reported: false,
            paused_until: None,
            last_yielded_stall: None,
            _memory: Charge::new(&shared.memory, MemoryUse::Connections, CONNECTION_BYTES),
            shared,
        }
    }

    /// Serves the connection until it closes, and reports the end of all its attempts.
    pub async fn serve(mut self) {
        let why = loop {
            if let Err(why) = self.run_once().await {
                break why;
            }
        };
        match why {
            "idle" => count(&self.shared.counts.lines_idle),
            "closed" => count(&self.shared.counts.lines_closed),
            "reset" | "read failed" | "write failed" => count(&self.shared.counts.lines_reset),
            _ => {}
        }
        self.shared.trace.connection_closed(self.host, self.id, why);
        if !self.open.is_empty() || !self.unsent.is_empty() {
            let (host, open) = (format!("{:x}", self.host.0), self.open.len());
            info!(self.shared.log, "host connection broken"; "host" => host, "open" => open, "why" => why);
        }
        // If this side closes the connection, the host does not know that yet.
        let closed_by_host = ["closed", "reset", "read failed", "write failed"].contains(&why);
        let _ = socket2::SockRef::from(&self.stream).shutdown(std::net::Shutdown::Both);
        let in_flight = self.open.len() + self.cancelled.len();
        if !closed_by_host && in_flight > 0 {
            self.report_unusable();
            sleep(CANCEL_TRANSIT_TIME).await;
        }
        for (_, id) in std::mem::take(&mut self.cancelled) {
            self.end(id, Ending::Cancelled);
        }
        // A host does not start a request that it has received only in part.
        let incomplete = self
            .attempt_in_outgoing
            .take()
            .filter(|_| !self.outgoing.is_empty());
        for (_, attempt) in std::mem::take(&mut self.open) {
            let not_started =
                (incomplete.as_ref()).is_some_and(|incomplete| incomplete.attempt.id == attempt.id);
            self.end(
                attempt.id,
                if not_started {
                    Ending::NotSent
                } else {
                    Ending::ConnectionLost
                },
            );
        }
        for message in std::mem::take(&mut self.unsent) {
            self.drop_message(message);
        }
        if let Some(id) = self.probe.take() {
            self.shared
                .probe_ended(id, self.host, Ending::ConnectionLost, vec![]);
        }
        while let Some(order) = next_queued(&mut self.orders) {
            match order {
                ToHost::Send(attempt) => self.end(attempt.id, Ending::NotSent),
                ToHost::Probe(id) => {
                    self.shared
                        .probe_ended(id, self.host, Ending::NotSent, vec![])
                }
                _ => {}
            }
        }
        let (host, connection) = (self.host, self.id);
        let _ = self
            .shared
            .queue
            .send(Inbound::Host(FromHost::Closed { host, connection }));
    }

    /// Tells the pool to send nothing new here. Open attempts may still be answered.
    fn report_unusable(&mut self) {
        if !std::mem::replace(&mut self.unusable_reported, true) {
            let (host, connection) = (self.host, self.id);
            let unusable = FromHost::Unusable { host, connection };
            let _ = self.shared.queue.send(Inbound::Host(unusable));
        }
    }

    /// Reports the connection as unusable unless the system holds more of the partial answer: after a stop of the process,
    /// the time has passed although the rest has arrived.
    async fn check_stuck(&mut self) -> Result<(), CloseReason> {
        let last_received_at = self.last_received_at;
        system_calls::sync_readiness(&self.stream).await;
        self.read()?;
        if self.last_received_at == last_received_at {
            self.report_unusable();
        }
        Ok(())
    }

    /// Reports the end of an attempt without an answer.
    fn end(&self, id: AttemptId, ending: Ending) {
        let answer = Answer::without_body(ending);
        self.shared
            .attempt_ended(id, self.host, Some(self.id), answer);
    }

    /// Reports that a message was not sent.
    fn drop_message(&self, message: OutgoingMessage) {
        match message {
            OutgoingMessage::Attempt(attempt) => self.end(attempt.id, Ending::NotSent),
            OutgoingMessage::Probe(id) => {
                self.shared
                    .probe_ended(id, self.host, Ending::NotSent, vec![])
            }
            OutgoingMessage::Cancel(_) => {}
        }
    }

    /// Pauses reading and writing because the system is short of a resource.
    fn pause(&mut self) {
        self.paused_until = Some(Instant::now() + RESOURCE_RETRY_DELAY);
    }

    /// After a stall of the whole process, lets the client connections run first: clients may have closed or revoked
    /// requests during the stall, and no attempt may start for them.
    async fn yield_after_stall(&mut self) {
        let now = Instant::now();
        self.shared.stall_detector.record_activity(now);
        let stall = self.shared.stall_detector.recent_stall(now);
        if stall.is_some() && stall != self.last_yielded_stall {
            self.last_yielded_stall = stall;
            yield_now().await;
        }
    }

    /// Reads and writes what is possible, then waits for one event and handles it.
    async fn run_once(&mut self) -> Result<(), CloseReason> {
        if let Some(until) = self.paused_until.take() {
            sleep_until(until).await;
        }
        self.yield_after_stall().await;
        if self.has_more {
            // A host that sends without a pause never has to be waited for, so that nobody else would run.
            yield_now().await;
        }
        // Read before writing, so that a close by the host is known before anything more is sent.
        let may_read = self.read()?;
        if !may_read {
            count(&self.shared.counts.reading_paused);
        }
        self.write()?;
        let host_knows = |cancelled: &mut (Instant, AttemptId)| cancelled.0 <= Instant::now();
        while let Some((_, id)) = self.cancelled.pop_front_if(host_knows) {
            self.end(id, Ending::Cancelled);
        }
        let idle = self.open.is_empty()
            && self.unsent.is_empty()
            && self.outgoing.is_empty()
            && self.cancelled.is_empty();
        let has_unwritten = !self.outgoing.is_empty() || !self.unsent.is_empty();
        let next_known_at = self.cancelled.front().map(|cancelled| cancelled.0);
        // From then on the connection is unusable: the rest of a partial answer has not arrived for a dial timeout, and
        // it would delay the answers to later requests as well.
        let stuck_at = self.last_received_at + self.shared.dial_timeout();
        let has_partial_answer = may_read && !self.incoming.is_empty() && !self.unusable_reported;
        if idle && self.retired {
            return Err("retired");
        }
        if self.writing_ended && self.open.is_empty() {
            return Err("ended within a request");
        }
        // The connection closes a dial timeout before the host would close it. Otherwise a request might cross the
        // host's close.
        let bounds = &self.shared.bounds;
        let idle_close = Duration::from_micros((bounds.idle_timeout - bounds.dial_timeout).0);
        let idle_until = self.last_active_at + idle_close;
        tokio::select! {
            biased;
            order = self.orders.recv() => match order {
                Some(order) => self.handle_order(order)?,
                None => return Err("no longer needed"),
            },
            _ = std::future::ready(()), if self.has_more => {}
            ready = self.stream.readable(), if may_read => {
                ready.map_err(|_| "read failed")?;
            }
            ready = self.stream.writable(), if has_unwritten => {
                ready.map_err(|_| "write failed")?;
            }
            _ = sleep(READ_RETRY_INTERVAL), if !may_read => {}
            _ = sleep_until(next_known_at.unwrap_or(self.last_active_at)), if next_known_at.is_some() => {}
            _ = sleep_until(stuck_at), if has_partial_answer => self.check_stuck().await?,
            _ = sleep_until(idle_until), if idle => return Err("idle"),
        }
        Ok(())
    }

    /// Handles a message of the pool.
    fn handle_order(&mut self, order: ToHost) -> Result<(), CloseReason> {
        self.last_active_at = Instant::now();
        match order {
            ToHost::Send(attempt) if self.writing_ended => {
                self.drop_message(OutgoingMessage::Attempt(attempt));
            }
            ToHost::Probe(id) if self.writing_ended => {
                self.drop_message(OutgoingMessage::Probe(id));
            }
            ToHost::Send(attempt) => self.unsent.push_back(OutgoingMessage::Attempt(attempt)),
            ToHost::Probe(id) => self.unsent.push_back(OutgoingMessage::Probe(id)),
            ToHost::Cancel(id) => {
                if !self.drop_unsent(id) {
                    self.cancel(id)?;
                }
            }
            ToHost::CancelUnsent(id) => {
                self.drop_unsent(id);
            }
            ToHost::Retire => self.retired = true,
            ToHost::HostGone => return Err("its process was started anew"),
        }
        Ok(())
    }

    /// Drops an attempt if no byte of it was written, and returns whether it did.
    fn drop_unsent(&mut self, id: AttemptId) -> bool {
        let is_attempt = |message: &OutgoingMessage| matches!(message, OutgoingMessage::Attempt(attempt) if attempt.id == id);
        let found = self.unsent.iter().position(is_attempt);
        if let Some(index) = found {
            self.unsent.remove(index);
            self.end(id, Ending::NotSent);
        }
        found.is_some()
    }

    /// Checks again, after the first byte of a request was written, that the request was allowed to start.
    fn check_begun(&self, now: Instant) {
        let Some(OutgoingAttempt {
            attempt,
            encoded_at,
        }) = &self.attempt_in_outgoing
        else {
            return;
        };
        let clock = &self.shared.clock;
        self.shared
            .trace
            .attempt_begun(&attempt.request, attempt.id, self.id);
        let late = permits::started_in_violation(clock.timestamp(now), &attempt.send_facts(clock));
        check_invariant(!late, &self.shared.counts.broken_began_late);
        let deadline_holds =
            permits::deadline_still_holds(clock.timestamp(now), clock.timestamp(*encoded_at));
        check_invariant(
            deadline_holds,
            &self.shared.counts.broken_deadline_passed_on,
        );
    }

    /// Returns the attempt whose request is written in part.
    fn partly_written(&self) -> Option<&OutgoingAttempt> {
        let is_partial = self.has_begun && !self.outgoing.is_empty();
        self.attempt_in_outgoing.as_ref().filter(|_| is_partial)
    }

    /// Returns whether the rest of the message that is being written may be sent now.
    fn may_write_rest(&self, now: Instant) -> Result<(), Denial> {
        let Some(outgoing) = self.partly_written() else {
            return Ok(());
        };
        let clock = &self.shared.clock;
        let progress = WriteProgress {
            encoded_at: clock.timestamp(outgoing.encoded_at),
            last_write_at: clock.timestamp(self.last_write_at),
        };
        permits::may_complete(
            clock.timestamp(now),
            &outgoing.attempt.send_facts(clock),
            &progress,
        )
    }

    /// Abandons the request that is written in part. The host does not start it, because nothing more is written on this
    /// connection. Answers to earlier requests are still read, unless one of these was cancelled: then the connection
    /// closes, which tells the host so.
    fn abandon_partial_request(&mut self, why: Denial) -> Result<(), CloseReason> {
        count(&self.shared.counts.partial_requests_abandoned);
        self.writing_ended = true;
        self.report_unusable();
        self.outgoing.clear();
        self.outgoing.release_memory(true);
        if let Some(OutgoingAttempt { attempt, .. }) = self.attempt_in_outgoing.take() {
            self.shared
                .trace
                .attempt_dropped(&attempt.request, attempt.id, why.as_str());
            self.open.remove(&attempt.request.reference);
            self.end(attempt.id, Ending::NotSent);
        }
        let is_cancel = |message: &OutgoingMessage| matches!(message, OutgoingMessage::Cancel(_));
        let must_close = self.unsent.iter().any(is_cancel);
        for message in std::mem::take(&mut self.unsent) {
            self.drop_message(message);
        }
        match must_close {
            true => Err("a cancellation can't be sent"),
            false => Ok(()),
        }
    }

    /// Handles a write that is not possible now. A request that has not begun returns to the queue and is encoded again
    /// later, so that its deadline is that of the time when it starts.
    fn on_write_blocked(&mut self) {
        if self.has_begun {
            return;
        }
        if let Some(OutgoingAttempt { attempt, .. }) = self.attempt_in_outgoing.take() {
            self.open.remove(&attempt.request.reference);
            self.outgoing.clear();
            self.outgoing.release_memory(true);
            self.unsent.push_front(OutgoingMessage::Attempt(attempt));
        }
    }

    /// Cancels an open attempt: by a message, or by the end of the connection if no message can be sent. An attempt that is
    /// written in part is abandoned.
    fn cancel(&mut self, id: AttemptId) -> Result<(), CloseReason> {
        let partial = self.partly_written();
        if partial.is_some_and(|outgoing| outgoing.attempt.id == id) {
            return self.abandon_partial_request(Denial::Cancelled);
        }
        let found = self.open.iter().find(|(_, attempt)| attempt.id == id);
        let Some((reference, attempt)) =
            found.map(|(reference, attempt)| (reference.clone(), attempt))
        else {
            return Ok(());
        };
        // A connection on which an answer was outstanding and nothing was received for a dial timeout is not used
        // again.
        let max_silence = self.shared.dial_timeout();
        let (nothing_received, waited_too_long) = (
            self.last_received_at <= attempt.sent_at,
            attempt.sent_at.elapsed() > max_silence,
        );
        if nothing_received && waited_too_long {
            self.report_unusable();
        }
        self.open.remove(&reference);
        self.cancelled
            .push_back((Instant::now() + CANCEL_TRANSIT_TIME, id));
        if self.writing_ended {
            return Err("a cancellation can't be sent");
        }
        self.unsent.push_back(OutgoingMessage::Cancel(reference));
        Ok(())
    }

    /// Encodes and writes messages until the socket accepts no more.
    fn write(&mut self) -> Result<(), CloseReason> {
        loop {
            let now = Instant::now();
            if self.outgoing.is_empty() {
                self.attempt_in_outgoing = None;
                self.has_begun = false;
                let Some(message) = self.unsent.pop_front() else {
                    self.outgoing.release_memory(true);
                    return Ok(());
                };
                self.encode(message);
            } else if let Err(why) = self.may_write_rest(now) {
                return self.abandon_partial_request(why);
            }
            match system_calls::write(&self.stream, &self.outgoing.parts()) {
                Transfer::Bytes(n) => {
                    if !std::mem::replace(&mut self.has_begun, true) {
                        self.check_begun(now);
                    }
                    self.last_write_at = now;
                    self.outgoing.consume(n);
                }
                Transfer::NotReady => {
                    self.on_write_blocked();
                    return Ok(());
                }
                Transfer::ResourceShortage => {
                    self.on_write_blocked();
                    self.pause();
                    return Ok(());
                }
                Transfer::Failed(_) => return Err("write failed"),
            }
        }
    }

    /// Encodes a message into `outgoing`. An attempt that may no longer start is dropped instead.
    fn encode(&mut self, message: OutgoingMessage) {
        let mut out = Vec::with_capacity(512);
        match message {
            OutgoingMessage::Cancel(reference) => {
                resp::put_array(&mut out, 2);
                resp::put_word(&mut out, b"KILL");
                resp::put_word(&mut out, reference.as_bytes());
                self.outgoing.push(&out);
            }
            OutgoingMessage::Probe(id) => {
                let tag = format!("{PROBE_PREFIX}{}", id.0);
                resp::put_array(&mut out, 2);
                resp::put_word(&mut out, b"METER");
                resp::put_word(&mut out, tag.as_bytes());
                self.outgoing.push(&out);
                self.probe = Some(id);
            }
            OutgoingMessage::Attempt(attempt) => {
                let (now, request) = (Instant::now(), &attempt.request);
                if let Err(why) = attempt.may_send(&self.shared.clock, now) {
                    self.shared
                        .trace
                        .attempt_dropped(request, attempt.id, why.as_str());
                    return self.end(attempt.id, Ending::NotSent);
                }
                resp::put_array(&mut out, STRINGS_PER_MESSAGE);
                resp::put_word(&mut out, b"PULL");
                resp::put_word(&mut out, request.reference.as_bytes());
                let timestamp = self.shared.clock.timestamp(now);
                resp::put_word(&mut out, encode_fields(&attempt, timestamp).as_bytes());
                resp::put_word_head(&mut out, request.body.bytes().len());
                self.outgoing.push(&out);
                self.outgoing
                    .push_body(RequestBody(request.clone()), resp::WORD_END);
                let open = OpenAttempt {
                    id: attempt.id,
                    sent_at: now,
                    may_be_unchanged: request.held_etag.is_some(),
                };
                let before = self.open.insert(request.reference.clone(), open);
                check_invariant(before.is_none(), &self.shared.counts.broken_two_endings);
                self.attempt_in_outgoing = Some(OutgoingAttempt {
                    attempt,
                    encoded_at: now,
                });
            }
        }
    }

    /// Reserves the memory for the next answer as far as its length is known, and returns whether it could. An answer
    /// whose memory is reserved can always be read to its end, so that others do not wait for each other's memory.
    fn make_room(&mut self) -> bool {
        let wanted = self.min_message_bytes.max(self.incoming.len() + 1);
        self.incoming.try_reserve(wanted.max(READ_BYTES)) || self.incoming.try_reserve(wanted)
    }

    /// Reads and handles answers until nothing more is available, the turn is over, or there is no memory for the next one.
    /// Returns whether there was memory.
    fn read(&mut self) -> Result<bool, CloseReason> {
        self.has_more = false;
        for _ in 0..MAX_READS_PER_TURN {
            if !self.parse()? || !self.make_room() {
                return Ok(false);
            }
            match system_calls::read(&self.stream, self.incoming.free_space()) {
                Transfer::Bytes(0) => return Err("closed"),
                Transfer::Bytes(n) => {
                    self.incoming.commit(n);
                    (self.last_received_at, self.last_active_at) = (Instant::now(), Instant::now());
                }
                Transfer::NotReady => {
                    self.incoming.release_memory(true);
                    return Ok(true);
                }
                Transfer::ResourceShortage => {
                    self.pause();
                    return Ok(true);
                }
                Transfer::Failed(_) => return Err("reset"),
            }
        }
        self.has_more = self.parse()?;
        Ok(self.has_more)
    }

    /// Handles all complete answers in the input buffer. Returns false if there is no memory for the next one.
    ///
    /// A body is copied from the buffer. Where memory is short, it gets that of the buffer, unless the buffer has only
    /// the minimum, which was reserved without asking.
    fn parse(&mut self) -> Result<bool, CloseReason> {
        while self.incoming.len() >= self.min_message_bytes {
            let is_minimal = self.incoming.capacity() <= MIN_CAPACITY_BYTES;
            let (strings, n) = match resp::read(
                self.incoming.as_contiguous(),
                STRINGS_PER_MESSAGE,
                MAX_STRING_BYTES,
            ) {
                Ok(read) => read,
                Err(ParseError::Incomplete(min_bytes)) => {
                    self.min_message_bytes = min_bytes;
                    return Ok(true);
                }
                Err(ParseError::Malformed(why)) => return Err(self.malformed(why)),
            };
            let first_string = strings
                .first()
                .and_then(|string| std::str::from_utf8(string).ok());
            if let Some(number) = first_string.and_then(|tag| tag.strip_prefix(PROBE_PREFIX)) {
                let is_last = |id: &mut ProbeId| number.parse() == Ok(id.0);
                if let Some(id) = self.probe.take_if(is_last) {
                    let (ending, report) = read_probe(&strings);
                    self.shared.probe_ended(id, self.host, ending, report);
                }
                self.incoming.consume(n);
                self.min_message_bytes = 1;
                continue;
            }
            let [reference, status, fields, body] = strings.as_slice() else {
                return Err(self.malformed("an answer does not have four strings"));
            };
            let reference = std::str::from_utf8(reference).unwrap_or_default();
            // The body of an answer to an attempt that was given up is not kept.
            let kept = match self.open.contains_key(reference) {
                true => body.len(),
                false => 0,
            };
            let has_memory = kept == 0 || self.shared.memory.may_add(MemoryUse::Answers, kept);
            if !has_memory && is_minimal {
                return Ok(false);
            }
            let attempt = self.open.remove(reference);
            let strings = [*status, *fields, *body];
            let answer = attempt
                .as_ref()
                .map(|attempt| read_answer(strings, attempt, &self.shared.memory));
            self.incoming.consume(n);
            self.min_message_bytes = 1;
            if !has_memory {
                self.incoming.shrink();
            }
            match (attempt, answer) {
                (Some(attempt), Some(Some(answer))) => {
                    self.shared
                        .attempt_ended(attempt.id, self.host, Some(self.id), answer);
                }
                (Some(attempt), _) => {
                    self.end(attempt.id, Ending::ConnectionLost);
                    return Err(self.malformed("an answer has an unknown or invalid form"));
                }
                // The attempt was cancelled before.
                (None, _) => count(&self.shared.counts.late_answers),
            }
        }
        Ok(true)
    }

    /// Logs an answer that can't be read, and returns the reason.
    fn malformed(&self, why: CloseReason) -> CloseReason {
        count(&self.shared.counts.bad_hosts);
        let host = format!("{:x}", self.host.0);
        warn!(self.shared.log, "host said what can't be read"; "host" => host, "why" => why);
        why
    }
}

/// Encodes the fields of a request for a host.
fn encode_fields(attempt: &AttemptRequest, now: Timestamp) -> String {
    let request = &attempt.request;
    let mut fields = format!(
        "lane={},name={},piece={}",
        attempt.class_name, request.object_name, request.part
    );
    let mut add = |name: &str, value: &str| {
        let _ = write!(fields, ",{name}={value}");
    };
    // Rounded down, so that the host gives up no later than the dispatcher.
    let time_left = permits::deadline_to_pass(now, attempt.deadline);
    add("ttl", &(time_left.0 / 1000).max(1).to_string());
    if let Some(key) = &request.idempotency_key {
        add("dedupe", key);
    }
    if let Some(etag) = &request.held_etag {
        add("known", etag);
    }
    if let Some(source) = &attempt.source {
        add("via", source);
    }
    if let Some(fill) = attempt.fill {
        add("tier", &fill.rank.to_string());
        if let Some(max_age) = fill.max_age {
            // Rounded down, which is the strict side, but not to 0, which would mean the usual maximum age.
            add("fresh", &(max_age.0 / 1000).max(1).to_string());
        }
        let options = [
            (fill.join, "merge"),
            (fill.only_if_cached, "local"),
            (fill.revalidate, "revalidate"),
        ];
        let options: Vec<&str> = options
            .iter()
            .filter(|(enabled, _)| *enabled)
            .map(|(_, name)| *name)
            .collect();
        if !options.is_empty() {
            add("opts", &options.join("+"));
        }
    }
    fields
}

/// Returns the value of a field.
fn field<'a>(fields: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = fields.split(',').filter_map(|pair| pair.split_once('='));
    let found = pairs.find(|(key, _)| *key == name);
    found.map(|(_, value)| value)
}

/// Reads the values of a load report in the order of the settings. A name may precede each value.
fn read_report(fields: &str) -> Vec<f64> {
    let report = field(fields, "rep").unwrap_or("").split(['+', ';', ' ']);
    let report = report.map(|pair| pair.rsplit([':', '=']).next().unwrap_or(pair));
    report.filter_map(|value| value.parse().ok()).collect()
}

/// Reads the answer to a probe. A host that does not answer `well`, or whose answer can't be read, has not reported its
/// load.
fn read_probe(strings: &[&[u8]]) -> (Ending, Vec<f64>) {
    let fields = strings
        .get(2)
        .and_then(|fields| std::str::from_utf8(fields).ok());
    match strings.get(1) {
        Some(&b"well") => (Ending::Done, read_report(fields.unwrap_or(""))),
        _ => (Ending::Error, vec![]),
    }
}

/// Returns the first microsecond of a millisecond timestamp. For the age of copies, this is the strict side.
fn stamp_of_ms(text: &str) -> Option<Timestamp> {
    let ms: u64 = text.parse().ok()?;
    Some(Timestamp(ms.saturating_mul(1000)))
}

/// Reads an answer; `None` if it can't be understood.
fn read_answer(
    strings: [&[u8]; 3],
    attempt: &OpenAttempt,
    memory: &MemoryAccount,
) -> Option<Answer> {
    let [status, fields, body] = strings;
    let fields = std::str::from_utf8(fields).ok()?;
    let field = |name: &str| field(fields, name);
    let ending = match status {
        b"data" => Ending::Done,
        b"unchanged" if attempt.may_be_unchanged => Ending::Done,
        b"absent" => Ending::Miss,
        b"full" => Ending::Full,
        b"failed" => Ending::Error,
        b"moot" => Ending::NotSent,
        _ => return None,
    };
    let note = match field("why") {
        Some("TCP_HIT") => Note::Hit,
        Some("TCP_MISS") => Note::Filled,
        Some("TCP_MISS_ROOT") => Note::FilledByOrigin,
        Some("TCP_JOIN") => Note::Joined,
        Some("TCP_STALE") => Note::Stale,
        Some("PEER_DENY") => Note::SourceRefused,
        Some("PEER_DEAD") => Note::SourceLost,
        Some("PEER_MISS") => Note::SourceMiss,
        Some("FILL_FULL") => Note::NoFillSlot,
        Some("ROOT_FAIL") => Note::OriginFailed,
        _ => Note::NotReported,
    };
    let latency_ms = field("lag").and_then(|ms| ms.parse().ok());
    Some(Answer {
        ending,
        note,
        first_byte_latency: latency_ms
            .filter(|ms| *ms > 0.0)
            .map(|ms: f64| TimeSpan::from_secs_f64(ms / 1000.0)),
        load_report: read_report(fields),
        body: (status == b"data").then(|| CountedBytes::new(body, memory)),
        issued_at: field("minted").and_then(stamp_of_ms),
    })
}
