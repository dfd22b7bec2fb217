//! State that one dispatcher shares with the others through a store, and how it works without the
//! store.
//!
//! [`SharedState`] receives events and returns [`Action`]s. A keyed request waits for the store
//! only for its limited time. An answer that arrives later still restricts the attempts that have
//! not been sent by then. No answer of the store, and no missing answer, allows a request anything
//! that it would not be allowed without the store. The module also carries messages of other
//! subsystems between dispatchers; each of them may be lost, late or duplicated.

pub mod announcements;
pub mod ops;
pub mod records;
pub mod sent_requests;
pub mod trust;

use announcements::{Announcement, Announcements};
use ops::{Answer, MailboxId, Op, OpResult};
use records::{Completion, Key, RecordDecision, RecordStep, Records, is_in_time};
use std::collections::{BTreeMap, BTreeSet};
use trailproxy::interface::{HostEntry, PeerAttempt};
use trailproxy::units::*;
use trust::{Cause, Ending, Trust, TrustTracker};

/// Which kinds of state are shared, each switched on separately, and the limits that the operator
/// sets.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Whether records of keyed requests are shared.
    pub records: bool,
    /// Whether messages of other subsystems are carried.
    pub messages: bool,
    /// Whether dispatchers tell each other about opened breakers.
    pub hints: bool,
    /// Whether dispatchers tell each other about purges.
    pub purges: bool,
    /// The longest time for which a request waits for an answer; an answer that takes longer is
    /// late.
    pub max_wait: TimeSpan,
    /// How long a record is kept: at least as long as any repeat window and its deadline together.
    pub record_retention: TimeSpan,
    /// Time after which no copy from before a purge is left.
    pub purge_retention: TimeSpan,
}

/// Number of one pending store operation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OpId(pub u64);

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Open a connection to the store.
    Connect,
    /// Close the connection; it is no longer useful.
    Disconnect,
    /// Send an operation to the store. `epoch` is the epoch that this dispatcher trusts; the store
    /// does nothing after `not_after_ms` by its own clock.
    Execute {
        id: OpId,
        op: Op,
        epoch: u64,
        not_after_ms: u64,
    },
    /// Let a request that came in continue.
    Decided {
        id: RequestId,
        decision: RecordDecision,
    },
    /// Apply a purge that another dispatcher announced.
    Purged {
        object: Option<ObjectId>,
        group: GroupId,
        age: TimeSpan,
    },
    /// Handle the breaker of this host as opened at another dispatcher.
    PeerBreakerOpened { host: HostId },
    /// Hand a message from another dispatcher to its subsystem.
    MessageReceived { from: MailboxId, bytes: Vec<u8> },
    /// Report that the trust in the store changed.
    TrustChanged { trust: Trust, cause: Cause },
}

/// How an operation ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The store answered.
    Result(OpResult),
    /// The store answered with an error.
    Refused,
    /// No answer came: it is not known whether the operation was applied.
    Lost,
}

/// Counters, under the names of the operators' page.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub asked: u64,
    pub late: u64,
    pub refused: u64,
    pub lost: u64,
    /// Operations that were not sent because too many were pending.
    pub left_out: u64,
    pub waited: u64,
    pub answered: u64,
    pub joined: u64,
    pub found_late: u64,
    pub told: u64,
    pub news: u64,
    pub posted: u64,
    pub fetched: u64,
    pub epochs: u64,
}

/// Limit of pending operations. More are not sent, so that a silent store costs no memory.
const MAX_PENDING_OPS: usize = 1_024;
/// Time after the request during which the store may apply an operation. Later its caller has given
/// it up.
const APPLY_TIMEOUT: TimeSpan = TimeSpan::from_millis(800);
/// Interval between two `Open` operations, so that a store that answers them with nonsense is not
/// asked in a tight loop.
const OPEN_INTERVAL: TimeSpan = TimeSpan::from_millis(200);
/// How often the own mailbox is read: often enough for a question and its answer within half a
/// second.
const FETCH_INTERVAL: TimeSpan = TimeSpan::from_millis(100);
/// How long the store keeps a message that nobody has read.
const MESSAGE_RETENTION: TimeSpan = TimeSpan::from_secs(2);
/// How long the answer of an operation is awaited, to learn its result.
const RESULT_TIMEOUT: TimeSpan = TimeSpan::from_secs(4);

/// How an operation that ends now counts for the trust in the store. `None`: this dispatcher reads
/// the answer so late that it may have arrived in time.
fn judge(now: Timestamp, deadline: Timestamp, reply: &Reply) -> Option<Ending> {
    match reply {
        Reply::Refused => Some(Ending::Refused),
        Reply::Lost => Some(Ending::Late),
        Reply::Result(_) if now <= deadline => Some(Ending::InTime),
        Reply::Result(_) => is_in_time(now, deadline).then_some(Ending::Late),
    }
}

/// One operation that was sent and has no answer yet.
#[derive(Clone, Debug)]
struct Pending {
    purpose: Purpose,
    sent_at: Timestamp,
    /// When it counts as late; once it does, when its answer is no longer awaited.
    deadline: Timestamp,
    /// Operations of the epoch that were known when this one was sent.
    count: u64,
    /// Whether it already counted as late for the trust in the store.
    is_counted_late: bool,
}

/// Purpose of a pending operation.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Purpose {
    Open,
    Claim(RequestId),
    Fetch,
    ReadAnnouncements,
    Write,
}

/// The history of the store that is trusted at present.
#[derive(Clone, Copy, Debug, Default)]
struct Epoch {
    id: u64,
    /// Highest operation number seen in this epoch.
    count: u64,
    /// The server's clock, and the latest local time at which it had reached that value.
    clock: (u64, Timestamp),
    /// Announcements with a server time up to this are known.
    announcements_read_until: u64,
    /// Whether the store has confirmed the epoch on the present connection.
    open: bool,
}

/// One dispatcher's part in the shared state.
#[derive(Clone, Debug)]
pub struct SharedState {
    rules: Rules,
    /// Distinguishes this process from every other one, including its predecessor.
    boot: u64,
    rng: fastrand::Rng,
    trust: TrustTracker,
    records: Records,
    /// The own mailbox, once messages are expected, and when it is read next.
    mailbox: Option<MailboxId>,
    next_fetch_at: Timestamp,
    announcements: Announcements,
    epoch: Epoch,
    pending: BTreeMap<OpId, Pending>,
    /// When each pending operation becomes late or is forgotten.
    op_deadlines: BTreeSet<(Timestamp, OpId)>,
    next_op: u64,
    /// Earliest time of the next `Open` operation.
    next_open_at: Timestamp,
    counts: Counts,
    actions: Vec<Action>,
}

impl SharedState {
    /// Starts without a connection. `seed` is for the random generator.
    pub fn new(now: Timestamp, rules: Rules, seed: u64) -> SharedState {
        let mut rng = fastrand::Rng::with_seed(seed);
        let boot = rng.u64(1..1 << 40);
        SharedState {
            announcements: Announcements::new(now, rules.purge_retention),
            records: Records::new(rules.record_retention),
            rules,
            boot,
            rng,
            trust: TrustTracker::new(now),
            mailbox: None,
            next_fetch_at: now,
            epoch: Epoch::default(),
            pending: BTreeMap::new(),
            op_deadlines: BTreeSet::new(),
            next_op: 0,
            next_open_at: now,
            counts: Counts::default(),
            actions: Vec::new(),
        }
    }

    /// The settings.
    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    /// The present trust in the store.
    pub fn trust(&self) -> Trust {
        self.trust.state()
    }

    /// The counters since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Numbers of requests, operations and announcements that are remembered, for checks that they
    /// stay bounded.
    pub fn tracked_counts(&self) -> (usize, usize, usize) {
        (
            self.records.open_requests(),
            self.pending.len(),
            self.announcements.tracked_count(),
        )
    }

    /// The attempt that another dispatcher made under the idempotency key of this request.
    pub fn earlier_attempt(&self, id: RequestId) -> Option<PeerAttempt> {
        self.records.earlier_attempt(id)
    }

    /// Whether the store confirmed that no other dispatcher has the idempotency key of this
    /// request.
    pub fn is_claimed(&self, id: RequestId) -> bool {
        self.records.is_claimed(id)
    }

    /// Token under which this process claims the key of a request.
    fn token(&self, id: RequestId) -> u64 {
        self.boot.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ id.0
    }

    /// Handles a new keyed request. [`Action::Decided`] lets it continue, at once or after a short
    /// wait.
    pub fn on_request(&mut self, now: Timestamp, id: RequestId, key: Key, target: Timestamp) {
        if !self.rules.records {
            let decision = RecordDecision::Proceed;
            return self.actions.push(Action::Decided { id, decision });
        }
        let has_room = self.pending.len() < MAX_PENDING_OPS;
        let wait = Some(self.rules.max_wait).filter(|_| self.trust.may_wait() && has_room);
        self.counts.waited += u64::from(wait.is_some());
        let steps = self.records.on_request(now, id, key, target, wait);
        self.apply_steps(now, steps);
    }

    /// Handles the sending of an attempt; the first one is recorded with its location.
    pub fn on_attempt_sent(&mut self, now: Timestamp, id: RequestId, location: (ZoneId, CellId)) {
        if let Some(key) = self.records.on_attempt_sent(now, id, location) {
            let (token, retention) = (self.token(id), self.rules.record_retention);
            let age = TimeSpan::ZERO;
            let op = Op::Sent {
                key,
                token,
                location,
                age,
                retention,
            };
            self.send_op(now, Purpose::Write, op);
        }
    }

    /// Handles the final answer of a request.
    pub fn on_request_ended(&mut self, now: Timestamp, id: RequestId, completion: Completion) {
        if let Some((key, location)) = self.records.on_request_ended(id, &completion) {
            let (token, retention) = (self.token(id), self.rules.record_retention);
            let op = Op::Ended {
                key,
                token,
                completion,
                location,
                retention,
            };
            self.send_op(now, Purpose::Write, op);
        }
    }

    /// Handles a purge that was learned from another source than the store.
    pub fn on_purge(
        &mut self,
        now: Timestamp,
        object: Option<ObjectId>,
        group: GroupId,
        age: TimeSpan,
    ) {
        if self.rules.purges {
            let group = object.map_or(group, |_| GroupId::default());
            let random = self.rng.f64();
            let at = Timestamp(now.0.saturating_sub(age.0));
            self.announcements.on_local_event(
                now,
                Announcement::Purged { object, group },
                at,
                random,
            );
        }
    }

    /// Handles the opening of a breaker at this dispatcher.
    pub fn on_breaker_opened(&mut self, now: Timestamp, entry: HostEntry) {
        if self.rules.hints {
            self.announcements
                .on_local_event(now, breaker_announcement(entry), now, 0.0);
        }
    }

    /// Posts a message to another dispatcher; it may not arrive. From the first message on the own
    /// mailbox is read.
    pub fn post_message(
        &mut self,
        now: Timestamp,
        mailbox: MailboxId,
        to: MailboxId,
        bytes: Vec<u8>,
    ) {
        self.open_mailbox(mailbox);
        if self.rules.messages && self.trust.may_send(now) {
            self.counts.posted += 1;
            let (from, retention) = (mailbox, MESSAGE_RETENTION);
            let op = Op::Post {
                to,
                from,
                bytes,
                retention,
            };
            self.send_op(now, Purpose::Write, op);
        }
    }

    /// Starts to read this mailbox.
    pub fn open_mailbox(&mut self, mailbox: MailboxId) {
        self.mailbox = Some(mailbox).filter(|_| self.rules.messages);
    }

    /// Handles a new connection. The epoch of the server is asked for first.
    pub fn on_connected(&mut self, now: Timestamp) {
        let random = self.rng.f64();
        let cause = self.trust.on_connected(now, random);
        self.epoch.open = false;
        self.report_trust_change(cause);
    }

    /// Handles the end of the connection, or a failure to connect.
    pub fn on_disconnected(&mut self, now: Timestamp) {
        self.give_up_connection(now, Cause::Broken);
    }

    /// Gives up the connection and everything that is pending on it.
    fn give_up_connection(&mut self, now: Timestamp, cause: Cause) {
        let random = self.rng.f64();
        let cause = self.trust.on_disconnected(now, cause, random);
        self.epoch.open = false;
        // It is not known whether any of these was applied.
        self.counts.lost += self.pending.len() as u64;
        self.pending.clear();
        self.op_deadlines.clear();
        self.report_trust_change(cause);
        let steps = self.records.proceed_all();
        self.apply_steps(now, steps);
    }

    /// Reports a change of trust, where there is one.
    fn report_trust_change(&mut self, cause: Option<Cause>) {
        let trust = self.trust.state();
        self.actions
            .extend(cause.map(|cause| Action::TrustChanged { trust, cause }));
    }

    /// Handles the end of an operation.
    pub fn on_reply(&mut self, now: Timestamp, id: OpId, reply: Reply) {
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        self.op_deadlines.remove(&(pending.deadline, id));
        self.trust.on_reply(now, !self.pending.is_empty());
        let ending = judge(now, pending.deadline, &reply).filter(|_| !pending.is_counted_late);
        if let Some(ending) = ending {
            self.counts.late += u64::from(ending == Ending::Late);
            self.counts.refused += u64::from(ending == Ending::Refused);
            let cause = self.trust.on_operation_ended(now, ending);
            self.apply_trust_change(now, cause);
        }
        match reply {
            Reply::Result(result) => self.on_result(now, &pending, result),
            Reply::Refused | Reply::Lost => self.proceed_without(now, pending.purpose),
        }
    }

    /// Lets a request that waited for this operation continue without a result.
    fn proceed_without(&mut self, now: Timestamp, purpose: Purpose) {
        if let Purpose::Claim(id) = purpose {
            let steps = self.records.proceed(id);
            self.apply_steps(now, steps);
        }
    }

    /// Reports a change of trust; waiting requests continue when the store may no longer be waited
    /// for.
    fn apply_trust_change(&mut self, now: Timestamp, cause: Option<Cause>) {
        let must_proceed = cause.is_some() && !self.trust.may_wait();
        self.report_trust_change(cause);
        if must_proceed {
            let steps = self.records.proceed_all();
            self.apply_steps(now, steps);
        }
    }

    /// Applies the result of an operation.
    fn on_result(&mut self, now: Timestamp, pending: &Pending, result: OpResult) {
        let lost_state = result.answer == Answer::OtherEpoch
            || result.count < pending.count
                && !matches!(result.answer, Answer::TooLate | Answer::Opened { .. });
        if result.answer == Answer::Drained {
            self.actions.push(Action::Disconnect);
            return self.give_up_connection(now, Cause::Asked);
        }
        if lost_state {
            // The store may have lost part of its state, so nothing in this result is believed.
            self.epoch.open = false;
            let cause = self.trust.on_epoch_changed(now);
            self.apply_trust_change(now, cause);
            return self.proceed_without(now, pending.purpose);
        }
        if self.epoch.open || matches!(result.answer, Answer::Opened { .. }) {
            self.epoch.clock = (result.clock_ms, now);
        }
        match (pending.purpose, result.answer) {
            (Purpose::Open, Answer::Opened { epoch, age }) => {
                if epoch != self.epoch.id {
                    self.counts.epochs += 1;
                    self.epoch.announcements_read_until = 0;
                    self.announcements.announce_all(now, &mut self.rng);
                }
                (self.epoch.id, self.epoch.count, self.epoch.open) = (epoch, result.count, true);
                self.trust.on_epoch(now, age, self.rules.record_retention);
            }
            (Purpose::Claim(id), Answer::Claimed) => {
                let steps = self.records.on_claimed(id);
                self.apply_steps(now, steps);
            }
            (Purpose::Claim(id), Answer::Found(record)) => {
                let steps = self.records.on_found(now, pending.sent_at, id, record);
                let is_waiting = steps.is_empty() && self.records.is_waiting(id);
                self.counts.joined += u64::from(is_waiting);
                self.counts.found_late += u64::from(steps.is_empty() && !is_waiting);
                self.apply_steps(now, steps);
            }
            (Purpose::Fetch, Answer::Posted(messages)) => {
                self.counts.fetched += messages.len() as u64;
                let messages = messages.into_iter();
                self.actions
                    .extend(messages.map(|(from, bytes)| Action::MessageReceived { from, bytes }));
            }
            (Purpose::ReadAnnouncements, Answer::Announcements(announced)) => {
                // An announcement that was made while this answer travelled has at worst the same
                // millisecond.
                self.epoch.announcements_read_until = result.clock_ms.saturating_sub(1);
                announced.into_iter().for_each(|(announcement, age)| {
                    self.on_announcement(now, pending.sent_at, announcement, age)
                });
            }
            // An answer that does not belong to the operation is ignored.
            (purpose, _) => self.proceed_without(now, purpose),
        }
        self.epoch.count = self.epoch.count.max(result.count);
    }

    /// Handles one announcement that was read from the store.
    fn on_announcement(
        &mut self,
        now: Timestamp,
        sent_at: Timestamp,
        announcement: Announcement,
        age: TimeSpan,
    ) {
        let wanted = match announcement {
            Announcement::Purged { .. } => self.rules.purges,
            Announcement::Opened { .. } => self.rules.hints,
        };
        // The store's clock counts whole milliseconds. A purge is dated as late as it can have
        // happened, so that no copy from before it is served; a hint is dated as early as possible.
        let (age, base) = match announcement {
            Announcement::Purged { .. } => (age - TimeSpan::from_millis(1), now),
            Announcement::Opened { .. } => (age, sent_at),
        };
        let at = Timestamp(base.0.saturating_sub(age.0));
        if !wanted || !self.announcements.on_announced(now, announcement, at) {
            return;
        }
        self.counts.news += 1;
        self.actions.push(match announcement {
            Announcement::Purged { object, group } => Action::Purged { object, group, age },
            Announcement::Opened { host, .. } => Action::PeerBreakerOpened { host },
        });
    }

    /// Carries out the steps that the records ask for.
    fn apply_steps(&mut self, now: Timestamp, steps: Vec<RecordStep>) {
        for step in steps {
            match step {
                RecordStep::Claim(id, key) => {
                    let (token, retention) = (self.token(id), self.rules.record_retention);
                    if !self.send_op(
                        now,
                        Purpose::Claim(id),
                        Op::Claim {
                            key,
                            token,
                            retention,
                        },
                    ) {
                        let steps = self.records.proceed(id);
                        self.apply_steps(now, steps);
                    }
                }
                RecordStep::Decided(id, decision) => {
                    self.counts.answered +=
                        u64::from(matches!(decision, RecordDecision::Answer(_)));
                    self.actions.push(Action::Decided { id, decision });
                }
            }
        }
    }

    /// Sends an operation; `false` if it can't be sent.
    fn send_op(&mut self, now: Timestamp, purpose: Purpose, op: Op) -> bool {
        let is_opening = purpose == Purpose::Open;
        if !self.trust.may_send(now) || !(self.epoch.open || is_opening) {
            return false;
        }
        if self.pending.len() >= MAX_PENDING_OPS {
            self.counts.left_out += 1;
            return false;
        }
        self.next_op += 1;
        self.counts.asked += 1;
        let (id, count) = (OpId(self.next_op), self.epoch.count);
        let (sent_at, is_counted_late) = (now, false);
        let deadline = now + self.rules.max_wait;
        self.pending.insert(
            id,
            Pending {
                purpose,
                sent_at,
                deadline,
                count,
                is_counted_late,
            },
        );
        self.op_deadlines.insert((deadline, id));
        self.trust.on_operation_sent(now);
        // The server's clock had reached this value when the answer was received, so it is no
        // earlier now.
        let (clock, at) = self.epoch.clock;
        let not_after_ms = clock + (now + APPLY_TIMEOUT).since(at).0 / 1_000;
        let epoch = self.epoch.id;
        self.actions.push(Action::Execute {
            id,
            op,
            epoch,
            not_after_ms,
        });
        true
    }

    /// The next time at which [`SharedState::advance`] has work to do.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        let sending = self.trust.state() != Trust::Alone && self.epoch.open;
        let announcements = self.announcements.next_deadline().filter(|_| sending);
        let first = self.op_deadlines.first().map(|&(at, _)| at);
        let needs_open =
            self.trust.state() != Trust::Alone && !self.epoch.open && !self.is_opening();
        let open = needs_open.then_some(self.next_open_at.max(self.trust.quiet_until()));
        let read_mailbox = self.mailbox.map(|_| self.next_fetch_at).filter(|_| sending);
        let all = [
            self.trust.next_deadline(),
            self.records.next_deadline(),
            announcements,
            first,
            open,
            read_mailbox,
        ];
        all.into_iter().flatten().min()
    }

    /// Lets time pass and does what is due.
    pub fn advance(&mut self, now: Timestamp) {
        if self.trust.take_connection_due(now) {
            self.actions.push(Action::Connect);
        }
        if self.trust.is_silent(now) {
            self.actions.push(Action::Disconnect);
            self.give_up_connection(now, Cause::Silent);
        }
        while let Some(&(at, id)) = self.op_deadlines.first().filter(|(at, _)| *at <= now) {
            self.op_deadlines.remove(&(at, id));
            let Some(pending) = self.pending.get_mut(&id) else {
                continue;
            };
            if pending.is_counted_late {
                // Nobody needs its answer any more; the connection is judged by other operations.
                self.pending.remove(&id);
                continue;
            }
            if !is_in_time(now, at) {
                pending.deadline = now + self.rules.max_wait;
                self.op_deadlines.insert((pending.deadline, id));
                continue;
            }
            pending.is_counted_late = true;
            pending.deadline = pending.sent_at + RESULT_TIMEOUT;
            self.op_deadlines.insert((pending.deadline, id));
            self.counts.late += 1;
            let cause = self.trust.on_operation_ended(now, Ending::Late);
            self.apply_trust_change(now, cause);
        }
        let steps = self.records.advance(now);
        self.apply_steps(now, steps);
        if !self.epoch.open
            && !self.is_opening()
            && now >= self.next_open_at
            && self.trust.may_send(now)
        {
            self.next_open_at = now + OPEN_INTERVAL;
            let proposal = self.rng.u64(1..1 << 52);
            let known = (self.epoch.id, self.epoch.count);
            self.send_op(now, Purpose::Open, Op::Open { proposal, known });
        }
        if self.epoch.open && self.trust.may_send(now) {
            self.send_announcements(now);
        }
        self.read_mailbox(now);
    }

    /// Whether an `Open` operation is pending.
    fn is_opening(&self) -> bool {
        self.pending
            .values()
            .any(|pending| pending.purpose == Purpose::Open)
    }

    /// Sends the announcements that are due, and reads those of others.
    fn send_announcements(&mut self, now: Timestamp) {
        if self.rules.purges || self.rules.hints {
            for (announcement, age) in self.announcements.take_due(now) {
                let (merge_within, retention) = (
                    announcements::MERGE_WITHIN,
                    self.rules.purge_retention + TimeSpan::from_secs(5),
                );
                self.counts.told += 1;
                self.send_op(
                    now,
                    Purpose::Write,
                    Op::Announce {
                        announcement,
                        age,
                        merge_within,
                        retention,
                    },
                );
            }
        }
        // Read on an idle day as well: the answers are what restores the trust.
        let random = self.rng.f64();
        if self.announcements.take_poll_due(now, random) {
            let after = self.epoch.announcements_read_until;
            self.send_op(
                now,
                Purpose::ReadAnnouncements,
                Op::ReadAnnouncements { after },
            );
        }
    }

    /// Reads the own mailbox when that is due.
    fn read_mailbox(&mut self, now: Timestamp) {
        let Some(mailbox) = self.mailbox.filter(|_| now >= self.next_fetch_at) else {
            return;
        };
        self.next_fetch_at = now + FETCH_INTERVAL.mul_f64(0.75 + 0.5 * self.rng.f64());
        if self.epoch.open && self.trust.may_send(now) {
            self.send_op(now, Purpose::Fetch, Op::Fetch { mailbox });
        }
    }

    /// Takes the actions that are to be carried out now.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }
}

/// The announcement of an opened breaker.
fn breaker_announcement(entry: HostEntry) -> Announcement {
    Announcement::Opened {
        host: entry.host,
        started: entry.stamp.map_or(0, |at| at.0 / 1_000_000),
    }
}
