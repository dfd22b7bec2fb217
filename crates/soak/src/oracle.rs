//! What clients and servers saw, held against what the pages promise.
//!
//! The five rules are checked by the laboratory's checker, which knows nothing of the program. Beside them stand the
//! operators' terms: nothing begins for a client that has gone, no deadline is passed on that is longer than what the
//! client has left, every request read is answered, and processes start, end and never crash.

use crate::proxy::{Observer, Pull};
use serde::Serialize;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;
use trailproxy::interface::HostEntry;
use trailproxy::units::{AttemptNo, ClassId, GroupId, ObjectId, RequestId, TimeSpan, Timestamp};
use trailproxy_lab::rules::{Bounds, Checker, Final};
use trailproxy_lab::scenario::Scenario;
use trailproxy_standins::loopback::Clock;
use trailproxy_standins::shape::DAWN;

/// What is seen at two ends of a socket may differ by this on a busy machine.
pub const NOISE: TimeSpan = TimeSpan::from_millis(100);
/// The operators' bound for an attempt behind its client's leaving.
const GONE_WITHIN: TimeSpan = TimeSpan::from_millis(100);
/// The operators' slack of a deadline that is passed on.
const DEADLINE_SLACK: TimeSpan = TimeSpan::from_millis(150);
/// Later than this behind its deadline, an answer is as good as none.
pub const ANSWER_WITHIN: TimeSpan = TimeSpan::from_millis(500);
/// So many breaches are told in full.
const TOLD: usize = 200;

/// A promise that a run can break.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Promise {
    /// One of the five rules, by its number.
    Rule(u8),
    /// An attempt began for a client that had gone.
    NothingForTheGone,
    /// A deadline was passed on that was longer than what the client had left.
    DeadlinePassedOn,
    /// A request was read or taken, and never answered.
    EveryRequestAnswered,
    /// A second answer, or one to nothing.
    OneAnswer,
    /// A process ended by itself, or not in order.
    NoCrash,
    /// A process was not ready, or did not end, in time.
    InTime,
    /// A dispatcher counted a broken invariant, or panicked, by its log.
    OwnCheck,
}

/// One breach.
#[derive(Clone, Debug, Serialize)]
pub struct Breach {
    pub promise: Promise,
    pub at_s: f64,
    pub what: String,
}

/// One request of a client.
struct Asked {
    class: ClassId,
    object: ObjectId,
    group: GroupId,
    kb: f64,
    dispatcher: usize,
    deadline: Timestamp,
    /// When its client cancelled it or closed.
    gone: Option<Timestamp>,
    attempts: u8,
    minted: Option<Timestamp>,
}

/// What a client asks, and until when it waits.
#[derive(Clone, Copy, Debug)]
pub struct Asking {
    pub reference: u64,
    pub class: ClassId,
    pub object: ObjectId,
    pub group: GroupId,
    pub kb: f64,
    pub dispatcher: usize,
    pub deadline: Timestamp,
}

/// All that is known of one run.
pub struct Oracle {
    clock: Clock,
    book: RefCell<Book>,
}

struct Book {
    checker: Checker,
    asked: BTreeMap<u64, Asked>,
    breaches: Vec<Breach>,
    counts: BTreeMap<Promise, u64>,
    tally: Tally,
    stalled: Duration,
}

/// How requests ended.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Tally {
    pub asked: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    pub left: u64,
    pub excused: u64,
}

/// The verdict on a run.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    pub tally: Tally,
    /// By promise: how often it was broken.
    pub broken: Vec<(Promise, u64)>,
    pub breaches: Vec<Breach>,
    /// The longest that the judge itself was not run, in seconds.
    pub judge_stalled_s: f64,
}

impl Verdict {
    /// Whether nothing can be said of the run: who judges saw things too late.
    pub fn is_void(&self) -> bool {
        self.judge_stalled_s * 1e6 > NOISE.0 as f64
    }
}

impl Oracle {
    pub fn new(scenario: &Scenario, clock: Clock, entries: Vec<HostEntry>) -> Oracle {
        let bounds = Bounds {
            slack: NOISE + NOISE,
            overlap: NOISE + NOISE,
            cold_slack: 1.2,
            ..scenario.rule_bounds()
        };
        let mut checker = Checker::new(bounds);
        for entry in entries {
            checker.listed(DAWN, entry);
        }
        Oracle {
            clock,
            book: RefCell::new(Book {
                checker,
                asked: BTreeMap::new(),
                breaches: Vec::new(),
                counts: BTreeMap::new(),
                tally: Tally::default(),
                stalled: Duration::ZERO,
            }),
        }
    }

    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// A request is about to be written.
    pub fn asks(&self, asking: Asking) {
        let mut book = self.book.borrow_mut();
        let id = RequestId(asking.reference);
        book.tally.asked += 1;
        book.checker
            .taken(self.now(), id, asking.class, asking.deadline);
        book.asked.insert(
            asking.reference,
            Asked {
                class: asking.class,
                object: asking.object,
                group: asking.group,
                kb: asking.kb,
                dispatcher: asking.dispatcher,
                deadline: asking.deadline,
                gone: None,
                attempts: 0,
                minted: None,
            },
        );
    }

    /// The client has cancelled it or closed its connection: no answer is owed, and nothing begins.
    pub fn left(&self, reference: u64) {
        let now = self.now();
        let mut book = self.book.borrow_mut();
        book.tally.left += 1;
        book.checker.excused(RequestId(reference));
        if let Some(asked) = book.asked.get_mut(&reference) {
            asked.gone.get_or_insert(now);
        }
    }

    /// No answer is owed, by something that was done to the dispatcher.
    pub fn excused(&self, reference: u64) {
        let mut book = self.book.borrow_mut();
        book.tally.excused += 1;
        book.checker.excused(RequestId(reference));
    }

    pub fn answered(&self, reference: u64, how: Final) {
        let now = self.now();
        let mut book = self.book.borrow_mut();
        match how {
            Final::Done => book.tally.served += 1,
            Final::Rejected => book.tally.refused += 1,
            Final::Aborted => book.tally.failed += 1,
        }
        let copy = book.asked.get(&reference).and_then(|asked| {
            let minted = asked.minted?;
            Some((asked.object, asked.group, minted))
        });
        book.checker.answered(now, RequestId(reference), how, copy);
    }

    pub fn listed(&self, at: Timestamp, entry: HostEntry) {
        self.book.borrow_mut().checker.listed(at, entry);
    }

    /// A purge was made, and counts as told at another moment.
    pub fn purged(&self, at: Timestamp, told: Timestamp, object: Option<ObjectId>, group: GroupId) {
        let checker = &mut self.book.borrow_mut().checker;
        checker.purged_and_told(at, told, object, group);
    }

    /// This process itself was not run for so long: what it sees late is not late.
    pub fn judge_stalled(&self, lag: Duration) {
        let stalled = &mut self.book.borrow_mut().stalled;
        *stalled = lag.max(*stalled);
    }

    pub fn filled(&self, at: Timestamp, source: trailproxy::units::HostId, kb: f64) {
        self.book.borrow_mut().checker.filled(at, source, kb);
    }

    pub fn breach(&self, promise: Promise, what: String) {
        let now = self.now();
        self.book.borrow_mut().breach(promise, now, what);
    }

    /// Who was asked for it.
    pub fn dispatcher(&self, reference: u64) -> Option<usize> {
        let book = self.book.borrow();
        book.asked.get(&reference).map(|asked| asked.dispatcher)
    }

    /// Everything is over: what is owed still counts.
    pub fn finish(&self) -> Verdict {
        let mut book = self.book.borrow_mut();
        book.checker.finish();
        for breach in book.checker.breaches().to_vec() {
            let (rule, at) = (Promise::Rule(breach.rule as u8), breach.at);
            book.breach(rule, at, breach.to_string());
        }
        Verdict {
            tally: book.tally,
            broken: book
                .counts
                .iter()
                .map(|(&promise, &n)| (promise, n))
                .collect(),
            breaches: book.breaches.clone(),
            judge_stalled_s: book.stalled.as_secs_f64(),
        }
    }
}

impl Book {
    fn breach(&mut self, promise: Promise, at: Timestamp, what: String) {
        *self.counts.entry(promise).or_default() += 1;
        if self.breaches.len() < TOLD {
            let at_s = at.since(DAWN).as_secs_f64();
            self.breaches.push(Breach {
                promise,
                at_s,
                what,
            });
        }
    }
}

impl Observer for Oracle {
    fn pulled(&self, pull: &Pull) {
        let now = self.now();
        let mut book = self.book.borrow_mut();
        let Some(asked) = book.asked.get_mut(&pull.reference) else {
            let what = format!("{:016x} was sent, and nobody asked for it", pull.reference);
            return book.breach(Promise::Rule(1), now, what);
        };
        let attempt = AttemptNo(asked.attempts);
        asked.attempts = asked.attempts.saturating_add(1);
        let (kb, dispatcher, gone) = (asked.kb, asked.dispatcher, asked.gone);
        let (deadline, class) = (asked.deadline, asked.class.0);
        let id = RequestId(pull.reference);
        let name = format!("{:016x} of class {class} at dispatcher {dispatcher}", id.0);
        if let Some(gone) = gone.filter(|&gone| now > gone + GONE_WITHIN + NOISE) {
            let late = now.since(gone).as_secs_f64();
            let what = format!("{name}: an attempt {late:.3} s after its client had gone");
            book.breach(Promise::NothingForTheGone, now, what);
        }
        let passed_on = now + TimeSpan(pull.ttl.as_micros() as u64);
        if passed_on > deadline + DEADLINE_SLACK + NOISE {
            let over = passed_on.since(deadline).as_secs_f64();
            let what = format!("{name}: its server was given {over:.3} s more than its client");
            book.breach(Promise::DeadlinePassedOn, now, what);
        }
        let source = pull.source;
        book.checker.sent(now, id, attempt.0, pull.host, source, kb);
    }

    fn answered(&self, reference: u64, never_ran: bool, minted: Option<u64>) {
        let now = self.now();
        let mut book = self.book.borrow_mut();
        let begun = self.clock.unix_ms(DAWN);
        let Some(asked) = book.asked.get_mut(&reference) else {
            return;
        };
        let no = asked.attempts.saturating_sub(1);
        asked.minted = minted.map(|ms| {
            let since_dawn = Duration::from_millis(ms.saturating_sub(begun));
            let before_dawn = TimeSpan::from_millis(begun.saturating_sub(ms));
            Timestamp(DAWN.0.saturating_sub(before_dawn.0))
                + TimeSpan(since_dawn.as_micros() as u64)
        });
        book.checker.ended(now, RequestId(reference), no, never_ran);
    }

    fn abandoned(&self, reference: u64) {
        let now = self.now();
        let mut book = self.book.borrow_mut();
        if let Some(asked) = book.asked.get(&reference) {
            let no = asked.attempts.saturating_sub(1);
            book.checker.ended(now, RequestId(reference), no, false);
        }
    }
}
