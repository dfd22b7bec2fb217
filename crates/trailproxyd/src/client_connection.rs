//! One client connection: MessagePack-RPC over TCP with pipelined requests that are answered in any order.
//!
//! Its task reads requests and passes them to the dispatcher's queue, writes answers, and decides when the connection
//! closes.

use crate::checks::{check_invariant, count};
use crate::client_messages::*;
use crate::client_slots::SlotUse;
use crate::clients::ClientsContext;
use crate::incomplete_messages::may_skip;
use crate::memory::{Charge, CountedBytes, MemoryUse};
use crate::messages::*;
use crate::msgpack::{self, ParseError};
use crate::outgoing::OutgoingBytes;
use crate::ring::{MIN_CAPACITY_BYTES, Ring};
use crate::system_calls::{self, RESOURCE_RETRY_DELAY, Transfer};
use local_channel::mpsc;
use slog::debug;
use std::cell::Cell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, sleep_until};
use trailproxy::policy::memory::{CONNECTION_BYTES, messages_to_skip};
use trailproxy::policy::permits::{self, CloseFacts};
use trailproxy::units::*;

/// The number of open requests on one connection that the protocol allows. A connection that sends more is closed and
/// all its requests are cancelled. A request is open until its answer is written or the client has revoked it.
const MAX_OPEN_REQUESTS: usize = 32;
/// The number of answers that a connection may be owed or have unwritten, also to heartbeats, invalid requests and
/// revoked requests. A connection that exceeds it is closed, too. Reading does not stop at the limit, because the client's close could not be noticed behind
/// unread data.
const MAX_OPEN_MESSAGES: usize = 2 * MAX_OPEN_REQUESTS;
/// Answers are encoded until the output buffer has this size, so that small answers are written together.
const WRITE_BATCH_BYTES: usize = 2 * 1024;
/// By how much the input buffer grows at a time for a message that is not complete: a client may announce a long body
/// and send little of it.
const READ_STEP_BYTES: usize = 16 * 1024;
/// How many reads a connection does before other tasks run.
const MAX_READS_PER_TURN: usize = 8;
/// How many messages a connection handles before other tasks run. A client may send without a pause.
const MAX_MESSAGES_PER_TURN: usize = 32;
/// How long a client may take to send a complete message: it must get an answer or a close within 3 s.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(2500);
/// A client that closes its sending direction is taken to have gone after this time. Until then the requests that it
/// sent just before the close are still started.
const CLIENT_GONE_TIMEOUT: Duration = Duration::from_micros(permits::CLIENT_CLOSE_GRACE.0);
/// An idle connection is closed by a half-close first, and the client has this time to close its side. An immediate
/// close would reset a request that the client may be sending, and answers in transit with it.
const HALF_CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// How often a connection that is not closed because answers are on their way checks whether they have arrived.
const DELIVERY_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// By the protocol, clients close connections that were idle for 4 s. A client that has not done so will not use the
/// connection again.
const IDLE_TIMEOUT: Duration = Duration::from_millis(4500);

/// One client connection and the state of its task.
pub struct Connection {
    id: ClientId,
    stream: TcpStream,
    shared: Rc<ClientsContext>,
    /// Messages of other tasks to this connection.
    orders: mpsc::Receiver<ToClient>,
    /// Passes such messages on.
    orders_in: mpsc::Sender<ToClient>,
    /// Received bytes that are not parsed yet.
    incoming: Ring,
    /// The next message has at least this many bytes.
    min_message_bytes: usize,
    /// How many more messages may be handled in this turn.
    messages_left: usize,
    /// Whether the last turn ended with messages or data left, which the next one handles without waiting for more.
    has_more: bool,
    /// Since when a message that is not complete has held more memory than any connection may have.
    message_held_since: Option<Instant>,
    /// The message of which the rest is skipped, because there is no memory for it.
    skipped: Option<SkippedMessage>,
    /// Encoded answers that are not written yet.
    outgoing: OutgoingBytes<CountedBytes>,
    /// Requests without an answer so far, by message number, each with the flag that says that the request is closed.
    owed: BTreeMap<u32, Rc<Cell<bool>>>,
    /// Answers that are not encoded yet.
    replies: VecDeque<OutgoingAnswer>,
    /// The encoded answers that are not fully written.
    unwritten: VecDeque<UnwrittenAnswer>,
    /// The number of bytes of answers written so far.
    written: u64,
    /// The number of bytes of answers encoded so far.
    encoded: u64,
    /// When the last byte was written, or when the output buffer was last filled after being empty.
    last_progress: Instant,
    /// If no request is open: since when the connection is idle, or the next message incomplete.
    unused_since: Instant,
    /// Whether a complete message was received.
    has_received_message: bool,
    /// The latest deadline of all requests of this connection.
    latest_deadline: Instant,
    /// The state that pending attempts check before they start.
    state: Rc<ClientState>,
    /// The earliest time at which the connection may have been made.
    arrived_after: Instant,
    /// When the connection got its slot; it may have waited for it since `arrived_after`.
    admitted_at: Instant,
    /// When the client closed its sending direction.
    eof_at: Option<Instant>,
    /// Whether the dispatcher was told that the client has gone.
    gone_reported: bool,
    /// Whether the last check found that answers are on their way to the client. The connection is not closed then.
    delivering: bool,
    /// Whether the connection closes as soon as nothing is open.
    finishing: bool,
    /// Whether `finishing` was requested, as opposed to an idle timeout.
    finish_requested: bool,
    /// Whether this side has closed its sending direction.
    half_closed: bool,
    /// When the connection closes in any case.
    closes_at: Option<Instant>,
    /// Nothing is read or written before this time because the system was short of a resource.
    paused_until: Option<Instant>,
    /// Counts the memory of the connection.
    _memory: Charge,
}

/// A message that is read without its body.
struct SkippedMessage {
    /// What is handled once the message has arrived.
    message: Message,
    /// How many of its bytes are still to come.
    bytes_left: usize,
}

/// An encoded answer that is not fully written.
struct UnwrittenAnswer {
    /// The end of the answer as a position in the stream of all answers.
    end: u64,
    /// The open request that is answered. `None`: a heartbeat, or a request that the client has revoked.
    request: Option<u32>,
}

/// Why a connection closes.
enum CloseReason {
    /// An orderly close, with no answer owed.
    Clean(&'static str),
    /// An error, with the requests of the connection lost.
    Broken(&'static str),
}

impl Connection {
    /// Creates the connection, and tells the dispatcher of it.
    pub fn new(
        id: ClientId,
        stream: TcpStream,
        arrived_after: Instant,
        shared: Rc<ClientsContext>,
    ) -> Connection {
        let (orders_in, orders) = mpsc::channel();
        let now = Instant::now();
        shared.slots.borrow_mut().open(id, now, orders_in.clone());
        let opened = Inbound::Client(FromClient::Opened(id, orders_in.clone()));
        let _ = shared.queue.send(opened);
        Connection {
            id,
            stream,
            orders,
            orders_in,
            incoming: Ring::new(&shared.memory, MemoryUse::Requests),
            min_message_bytes: 1,
            messages_left: MAX_MESSAGES_PER_TURN,
            has_more: false,
            message_held_since: None,
            skipped: None,
            outgoing: OutgoingBytes::new(&shared.memory),
            owed: BTreeMap::new(),
            replies: VecDeque::new(),
            unwritten: VecDeque::new(),
            written: 0,
            encoded: 0,
            last_progress: now,
            unused_since: now,
            has_received_message: false,
            latest_deadline: now,
            state: Rc::default(),
            arrived_after,
            admitted_at: now,
            eof_at: None,
            gone_reported: false,
            delivering: false,
            finishing: false,
            finish_requested: false,
            half_closed: false,
            closes_at: None,
            paused_until: None,
            _memory: Charge::new(&shared.memory, MemoryUse::Connections, CONNECTION_BYTES),
            shared,
        }
    }

    /// Serves the connection until it closes.
    pub async fn serve(mut self) {
        let reason = loop {
            if let Err(reason) = self.run_once().await {
                break reason;
            }
        };
        self.report_close(&reason);
        self.owed.values().for_each(|closed| closed.set(true));
        self.shared.incomplete.borrow_mut().remove(self.id);
        self.shared.slots.borrow_mut().close(self.id);
        let closed = Inbound::Client(FromClient::Closed(self.id));
        let _ = self.shared.queue.send(closed);
    }

    /// Records why the connection closes, and checks that it may close.
    fn report_close(&self, reason: &CloseReason) {
        let why = match reason {
            CloseReason::Clean(why) => {
                let facts = CloseFacts {
                    owed: self.owed.len(),
                    unwritten: self.replies.len() + self.unwritten.len(),
                    delivering: self.is_delivering(),
                    client_closed: self.eof_at.is_some(),
                };
                let may_close = permits::may_close(&facts);
                check_invariant(may_close, &self.shared.counts.broken_closed_owing);
                why
            }
            CloseReason::Broken(why) => {
                debug!(self.shared.log, "client connection broken"; "client" => self.id.0, "why" => why);
                why
            }
        };
        let undelivered = system_calls::undelivered_bytes(&self.stream);
        self.shared
            .trace
            .client_closed(self.id, why, self.owed.len(), undelivered);
    }

    /// Returns the number of answers that are not fully written, including those that are not known yet.
    fn open_count(&self) -> usize {
        self.owed.len() + self.replies.len() + self.unwritten.len()
    }

    /// Returns whether one more answer may be queued, after those that are queued were written as far as possible.
    fn may_add_answer(&mut self) -> Result<bool, CloseReason> {
        if self.open_count() >= MAX_OPEN_MESSAGES {
            self.write()?;
        }
        Ok(self.open_count() < MAX_OPEN_MESSAGES)
    }

    /// Returns the number of open requests as the client counts them: it has sent them, has not revoked them, and their
    /// answers are not fully written.
    fn open_requests(&self) -> usize {
        let replies = self.replies.iter().filter_map(OutgoingAnswer::request);
        let unwritten = self.unwritten.iter().filter_map(|answer| answer.request);
        self.owed.len() + replies.count() + unwritten.count()
    }

    /// Handles the revocation of a request. No answer is owed any more: one that is not encoded is dropped, and one that is
    /// being written is completed, but its request is no longer open.
    fn revoke(&mut self, number: u32) {
        if let Some(closed) = self.owed.remove(&number) {
            closed.set(true);
            let client = self.id;
            let cancelled = FromClient::Cancelled(ClientRequestId { client, number });
            let _ = self.shared.queue.send(Inbound::Client(cancelled));
            return;
        }
        self.replies
            .retain(|answer| answer.request() != Some(number));
        for answer in &mut self.unwritten {
            answer.request.take_if(|request| *request == number);
        }
    }

    /// Returns whether a part of the next message has arrived.
    fn is_within_message(&self) -> bool {
        !self.incoming.is_empty() || self.skipped.is_some()
    }

    /// Returns whether answers are on their way to the client, as far as the system knows. Their last byte is in the
    /// system's buffer long before a slow client receives it.
    fn is_delivering(&self) -> bool {
        let since_write = TimeSpan(self.last_progress.elapsed().as_micros() as u64);
        let max_deadline = TimeSpan(self.shared.max_deadline.as_micros() as u64);
        let undelivered = system_calls::undelivered_bytes(&self.stream);
        permits::is_delivering(undelivered, since_write, max_deadline)
    }

    /// Checks whether answers are on their way to the client. The connection counts as idle from their arrival on.
    fn check_delivery(&mut self) -> bool {
        let delivering = self.is_delivering();
        if self.delivering && !delivering {
            self.unused_since = Instant::now();
        }
        if !self.delivering && delivering {
            count(&self.shared.counts.closes_postponed);
        }
        self.delivering = delivering;
        delivering
    }

    /// Returns how the connection uses its slot, and until when it may use it so.
    fn slot_use(&self) -> (SlotUse, Instant) {
        match (
            self.open_count(),
            self.has_received_message && !self.is_within_message(),
        ) {
            (1.., _) => (SlotUse::Busy, self.unused_since),
            (0, _) if self.delivering => (SlotUse::Busy, self.unused_since),
            (0, false) => (
                SlotUse::Incomplete(self.unused_since),
                self.unused_since + MESSAGE_TIMEOUT,
            ),
            (0, true) => (
                SlotUse::Idle(self.unused_since),
                self.unused_since + IDLE_TIMEOUT,
            ),
        }
    }

    /// Writes what can be written, then waits for one event and handles it.
    async fn run_once(&mut self) -> Result<(), CloseReason> {
        self.shared.stall_detector.record_activity(Instant::now());
        if let Some(until) = self.paused_until.take() {
            sleep_until(until).await;
        }
        if self.has_more {
            // A client that sends without a pause never has to be waited for, so that nobody else would run.
            yield_now().await;
        }
        self.write()?;
        let all_written = self.outgoing.is_empty();
        let (used, use_ends_at) = self.slot_use();
        self.shared.slots.borrow_mut().set_use(self.id, used);
        if all_written && self.open_count() == 0 {
            if self.finishing && !self.half_closed && !self.check_delivery() {
                // Requests received until now are answered first: a client that sent one is not idle.
                system_calls::sync_readiness(&self.stream).await;
                self.read()?;
                if self.open_count() > 0 || !self.outgoing.is_empty() || self.has_more {
                    self.finishing = self.finish_requested;
                    return Ok(());
                }
                self.half_closed = true;
                // When the process ends, the time limit of the process applies instead.
                self.closes_at =
                    (!self.shared.ending.get()).then(|| Instant::now() + HALF_CLOSE_TIMEOUT);
                half_close(&self.stream).map_err(|_| CloseReason::Broken("half-close failed"))?;
            }
            if self.eof_at.is_some() && !self.has_more {
                return Err(CloseReason::Clean("client closed its side"));
            }
        }
        let gone_at = self
            .eof_at
            .filter(|_| !self.gone_reported)
            .map(|at| at + CLIENT_GONE_TIMEOUT);
        if gone_at.is_some_and(|at| at <= Instant::now()) {
            self.gone_reported = true;
            let _ = (self.shared.queue).send(Inbound::Client(FromClient::HalfClosed(self.id)));
        }
        // After this time every answer that the client waits for is too late.
        let stalled_at = (self.last_progress + self.shared.max_deadline).max(self.latest_deadline);
        tokio::select! {
            biased;
            order = self.orders.recv() => match order {
                Some(ToClient::Reply(number, reply)) => self.reply(number, reply),
                Some(ToClient::Finish) | None => {
                    (self.finishing, self.finish_requested) = (true, true);
                }
                Some(ToClient::SkipMessage) => {
                    let since = self.message_held_since;
                    if since.is_some_and(|since| may_skip(since, Instant::now())) {
                        self.skip_message()?;
                    }
                }
                Some(ToClient::YieldSlot) => {
                    system_calls::sync_readiness(&self.stream).await;
                    self.read()?;
                    let is_same_use = self.slot_use().0 == used && !self.has_more;
                    let is_unused = is_same_use && used != SlotUse::Busy;
                    if is_unused && !self.check_delivery() {
                        count(&self.shared.counts.places_given_up);
                        return Err(CloseReason::Clean("slot needed for a new client"));
                    }
                }
            },
            ready = self.stream.writable(), if !all_written => {
                ready.map_err(|_| CloseReason::Broken("write failed"))?;
            }
            _ = std::future::ready(()), if self.has_more => self.read()?,
            ready = self.stream.readable(), if self.eof_at.is_none() && !self.has_more => {
                ready.map_err(|_| CloseReason::Broken("read failed"))?;
                self.shared.stall_detector.record_activity(Instant::now());
                self.read()?;
            }
            _ = sleep_until(use_ends_at), if used != SlotUse::Busy && !self.finishing => {
                if !self.check_delivery() {
                    match used {
                        SlotUse::Idle(_) => count(&self.shared.counts.clients_idle),
                        _ => count(&self.shared.counts.clients_unsaid),
                    }
                    self.finishing = true;
                }
            }
            _ = sleep_until(self.closes_at.unwrap_or(use_ends_at)), if self.closes_at.is_some() => {
                if !self.check_delivery() {
                    return Err(CloseReason::Clean("idle, and the client did not close its side"));
                }
                self.closes_at = Some(Instant::now() + DELIVERY_CHECK_INTERVAL);
            }
            _ = sleep(DELIVERY_CHECK_INTERVAL), if self.delivering => {
                self.check_delivery();
            }
            _ = sleep_until(gone_at.unwrap_or(use_ends_at)), if gone_at.is_some() && !self.gone_reported => {}
            _ = sleep_until(stalled_at), if !all_written => {
                count(&self.shared.counts.clients_stalled);
                return Err(CloseReason::Broken("client stopped reading"));
            }
        }
        Ok(())
    }

    /// Reads and handles what was received, including the end of the stream, for one turn: the numbers of reads and of
    /// messages are limited, and `has_more` says whether either limit was reached.
    fn read(&mut self) -> Result<(), CloseReason> {
        let first_read = !self.has_received_message;
        self.check_client_closed(first_read);
        self.messages_left = MAX_MESSAGES_PER_TURN;
        self.has_more = true;
        for _ in 0..MAX_READS_PER_TURN {
            // The last turn may have left complete messages.
            self.parse(first_read)?;
            if self.messages_left == 0 {
                return Ok(());
            }
            if self.eof_at.is_some() || !self.read_once(first_read)? {
                self.has_more = false;
                return Ok(());
            }
        }
        Ok(())
    }

    /// Asks the system whether the client has closed its side, which stands behind all data that is not read yet. The close
    /// counts from when it came, so that nothing starts for a client that has gone.
    fn check_client_closed(&mut self, first_read: bool) {
        if self.state.closed_at.get().is_some() {
            return;
        }
        if let Some(age) = system_calls::time_since_peer_closed(&self.stream) {
            let noticed_at = self.earliest_arrival(first_read);
            let received_at = Instant::now().checked_sub(age).unwrap_or(noticed_at);
            self.state.closed_at.set(Some(received_at.min(noticed_at)));
        }
    }

    /// Reads once, and returns whether more may be available.
    fn read_once(&mut self, first_read: bool) -> Result<bool, CloseReason> {
        if self.incoming.len() == self.incoming.capacity() {
            self.make_room()?;
        }
        match system_calls::read(&self.stream, self.incoming.free_space()) {
            Transfer::Bytes(0) => {
                let noticed_at = self.earliest_arrival(first_read);
                let closed_at = self.state.closed_at.get().unwrap_or(noticed_at);
                let trace = &self.shared.trace;
                trace.client_half_closed(self.id, closed_at.elapsed());
                self.eof_at = Some(closed_at);
                self.state.closed_at.set(Some(closed_at));
                Ok(false)
            }
            Transfer::Bytes(n) => {
                if self.has_received_message && !self.is_within_message() {
                    self.unused_since = Instant::now();
                }
                self.incoming.commit(n);
                if self.half_closed {
                    self.incoming.consume(n);
                }
                Ok(true)
            }
            Transfer::NotReady => {
                self.incoming.release_memory(true);
                Ok(false)
            }
            Transfer::ResourceShortage => {
                self.pause();
                Ok(false)
            }
            Transfer::Failed(_) => Err(CloseReason::Broken("reset")),
        }
    }

    /// Makes room for more of an incomplete message, or skips the rest of it if there is no memory.
    fn make_room(&mut self) -> Result<(), CloseReason> {
        let received = self.incoming.len();
        let wanted = self
            .min_message_bytes
            .clamp(received + 1, received + READ_STEP_BYTES);
        let has_room = self.incoming.try_reserve(wanted);
        if has_room && self.incoming.capacity() > MIN_CAPACITY_BYTES {
            let since = *self.message_held_since.get_or_insert_with(Instant::now);
            let mut incomplete = self.shared.incomplete.borrow_mut();
            incomplete.hold(self.id, since, self.incoming.capacity(), &self.orders_in);
        }
        self.limit_incomplete_messages(has_room);
        match has_room {
            true => Ok(()),
            false => self.skip_message(),
        }
    }

    /// Has the oldest incomplete messages skipped while such messages hold too much memory, after something had room or not.
    fn limit_incomplete_messages(&self, had_room: bool) {
        let mut incomplete = self.shared.incomplete.borrow_mut();
        for _ in 0..messages_to_skip(had_room) {
            if self.shared.memory.must_skip_message(incomplete.bytes()) {
                incomplete.skip_oldest(Instant::now());
            }
        }
    }

    /// Records that the connection holds no memory for an incomplete message any more.
    fn release_message(&mut self) {
        if self.message_held_since.take().is_some() {
            self.shared.incomplete.borrow_mut().remove(self.id);
        }
    }

    /// Releases the received part of a message, and remembers how it is answered once the rest has arrived. A message is
    /// answered when it is complete, because its client does not expect an answer before.
    fn skip_message(&mut self) -> Result<(), CloseReason> {
        count(&self.shared.counts.messages_skipped);
        let received = self.incoming.as_contiguous();
        let (value, length) = msgpack::read_without_last_binary(received, MAX_MESSAGE_BYTES)
            .map_err(|_| CloseReason::Broken("no memory for a message"))?;
        let message = read_message(self.id, &value, &self.shared.classes, |_| None);
        self.skipped = Some(SkippedMessage {
            message,
            bytes_left: length - received.len(),
        });
        self.incoming.consume(self.incoming.len());
        self.incoming.release_memory(false);
        self.release_message();
        self.min_message_bytes = 1;
        Ok(())
    }

    /// Drops received bytes of a message that is skipped, and handles the message once it has ended.
    fn drop_skipped_bytes(&mut self) -> Result<(), CloseReason> {
        let Some(mut skipped) = self.skipped.take() else {
            return Ok(());
        };
        let n = skipped.bytes_left.min(self.incoming.len());
        self.incoming.consume(n);
        skipped.bytes_left -= n;
        if skipped.bytes_left > 0 {
            self.skipped = Some(skipped);
            return Ok(());
        }
        self.on_message_end();
        self.handle_message(skipped.message)
    }

    /// Records that a message has arrived and another one may begin.
    fn on_message_end(&mut self) {
        self.min_message_bytes = 1;
        self.messages_left = self.messages_left.saturating_sub(1);
        self.release_message();
        (self.has_received_message, self.unused_since) = (true, Instant::now());
    }

    /// Returns when the system received the last data of this connection.
    fn last_data_at(&self) -> Option<Instant> {
        let age = system_calls::time_since_last_data(&self.stream)?;
        Instant::now().checked_sub(age)
    }

    /// Returns the earliest time at which the connection may have been made, if it waited for its slot and `first_read`
    /// says that this is the first time data is read from it.
    fn waiting_since(&self, first_read: bool) -> Option<Instant> {
        let had_to_wait = self.admitted_at.duration_since(self.arrived_after) > CLIENT_GONE_TIMEOUT;
        (first_read && had_to_wait).then_some(self.arrived_after)
    }

    /// Returns the earliest time at which what is read now may have arrived.
    ///
    /// For the first read of a connection that waited for its slot, this is when the connection was made. After a stall
    /// of the whole process, it is the beginning of the stall, but not before the system received the last data.
    fn earliest_arrival(&self, first_read: bool) -> Instant {
        let now = Instant::now();
        if let Some(since) = self.waiting_since(first_read) {
            return since;
        }
        // The process may have been stopped after this task started to run.
        self.shared.stall_detector.record_activity(now);
        let stall = self.shared.stall_detector.recent_stall(now);
        let arrived_since = stall.map_or(now, |stall| stall.began);
        self.last_data_at()
            .map_or(arrived_since, |received_at| received_at.max(arrived_since))
            .min(now)
    }

    /// Returns the latest safe estimate of when a request that is read now was sent. Its time left counts from then.
    fn sent_at(&self, first_read: bool) -> Instant {
        let now = Instant::now();
        if let Some(since) = self.waiting_since(first_read) {
            return since;
        }
        self.last_data_at()
            .map_or(now, |received_at| received_at.min(now))
    }

    /// Pauses reading and writing because the system is short of a resource.
    fn pause(&mut self) {
        self.paused_until = Some(Instant::now() + RESOURCE_RETRY_DELAY);
    }

    /// Queues the answer to a request, unless the client has revoked the request.
    fn reply(&mut self, number: u32, reply: Reply) {
        if self.owed.remove(&number).is_some() {
            self.replies.push_back(OutgoingAnswer::Reply(number, reply));
        }
    }

    /// Encodes and writes answers until the socket accepts no more.
    fn write(&mut self) -> Result<(), CloseReason> {
        loop {
            while self.outgoing.len() < WRITE_BATCH_BYTES && !self.outgoing.has_body() {
                let Some(answer) = self.replies.pop_front() else {
                    break;
                };
                if self.outgoing.is_empty() {
                    self.last_progress = Instant::now();
                }
                let (request, before) = (answer.request(), self.outgoing.len());
                encode_answer(answer, &mut self.outgoing);
                self.encoded += (self.outgoing.len() - before) as u64;
                let end = self.encoded;
                self.unwritten.push_back(UnwrittenAnswer { end, request });
            }
            if self.outgoing.is_empty() {
                self.outgoing.release_memory(self.replies.is_empty());
                return Ok(());
            }
            match system_calls::write(&self.stream, &self.outgoing.parts()) {
                Transfer::Bytes(n) => {
                    self.outgoing.consume(n);
                    self.written += n as u64;
                    self.last_progress = Instant::now();
                    let written = self.written;
                    let is_written = |answer: &mut UnwrittenAnswer| answer.end <= written;
                    while self.unwritten.pop_front_if(is_written).is_some() {}
                    self.unused_since = self.last_progress;
                }
                Transfer::NotReady => return Ok(()),
                Transfer::ResourceShortage => {
                    self.pause();
                    return Ok(());
                }
                Transfer::Failed(_) => return Err(CloseReason::Broken("write failed")),
            }
        }
    }

    /// Handles all complete messages in the input buffer.
    fn parse(&mut self, first_read: bool) -> Result<(), CloseReason> {
        if !self.half_closed {
            self.drop_skipped_bytes()?;
        }
        while self.incoming.len() >= self.min_message_bytes
            && !self.half_closed
            && self.messages_left > 0
        {
            let shared = &self.shared;
            let admit = |bytes| shared.memory.try_charge(MemoryUse::Requests, bytes);
            let bytes = self.incoming.as_contiguous();
            let (mut message, n) = match msgpack::read(bytes, MAX_MESSAGE_BYTES) {
                Ok((value, n)) => (read_message(self.id, &value, &shared.classes, admit), n),
                Err(ParseError::Incomplete(min_bytes)) => {
                    self.min_message_bytes = min_bytes;
                    break;
                }
                Err(ParseError::Malformed(why)) => (Message::Malformed(why), 0),
            };
            self.incoming.consume(n);
            self.on_message_end();
            if let Message::Request(request) = &mut message {
                request.arrived_at = self.sent_at(first_read);
                request.client = self.state.clone();
            }
            self.handle_message(message)?;
        }
        Ok(())
    }

    /// Counts a message that breaks the protocol, after which the connection closes.
    fn malformed(&self, why: &'static str) -> Result<(), CloseReason> {
        count(&self.shared.counts.bad_clients);
        Err(CloseReason::Broken(why))
    }

    /// Handles one message of the client. An error closes the connection.
    fn handle_message(&mut self, message: Message) -> Result<(), CloseReason> {
        match message {
            Message::Malformed(why) => return self.malformed(why),
            Message::Request(_) | Message::NotAdmitted(..)
                if self.open_requests() >= MAX_OPEN_REQUESTS =>
            {
                return self.malformed("too many open requests");
            }
            Message::NotAdmitted(id, class) => {
                self.limit_incomplete_messages(false);
                if self.owed.insert(id.number, Rc::default()).is_some() {
                    return self.malformed("a request number is used twice");
                }
                let _ = self
                    .shared
                    .queue
                    .send(Inbound::Client(FromClient::NotAdmitted(id, class)));
            }
            Message::Request(request) => {
                let owed = self.owed.insert(request.id.number, request.closed.clone());
                if owed.is_some() {
                    return self.malformed("a request number is used twice");
                }
                let deadline = request.arrived_at + Duration::from_micros(request.time_left.0);
                self.latest_deadline = self.latest_deadline.max(deadline);
                let _ = self
                    .shared
                    .queue
                    .send(Inbound::Client(FromClient::Requested(request)));
            }
            Message::Revoke(number) => self.revoke(number),
            Message::Heartbeat(_) | Message::Invalid(_) if !self.may_add_answer()? => {
                return self.malformed("too many unread answers");
            }
            Message::Heartbeat(number) => {
                let is_ready = !self.shared.ending.get();
                self.replies
                    .push_back(OutgoingAnswer::Heartbeat(number, is_ready));
            }
            Message::Invalid(number) => {
                count(&self.shared.counts.bad_clients);
                if self.owed.insert(number, Rc::default()).is_some() {
                    return self.malformed("a request number is used twice");
                }
                self.reply(number, Reply::Failed);
            }
            Message::Ignored => {}
        }
        Ok(())
    }
}

/// Closes the sending direction of a connection.
fn half_close(stream: &TcpStream) -> std::io::Result<()> {
    socket2::SockRef::from(stream).shutdown(std::net::Shutdown::Write)
}
