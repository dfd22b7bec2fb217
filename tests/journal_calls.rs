//! How many calls to the journal service are open, played in virtual time against services of many shapes.

use std::collections::{BTreeMap, VecDeque};
use trailproxy::policy::journal_calls::{CallId, EndReason, JournalCalls, MAX_CALLS, Order};
use trailproxy::units::{TimeSpan, Timestamp};

const STEP: TimeSpan = TimeSpan::from_millis(10);
const COMMENT_INTERVAL: TimeSpan = TimeSpan::from_secs(1);
const TOLD_WITHIN: TimeSpan = TimeSpan::from_secs(7);
/// Longer than the time between two comments.
const LATELY: TimeSpan = TimeSpan::from_millis(2_500);
const TOLD_AFTER_STOP: TimeSpan = TimeSpan::from_secs(4);
/// Runs begin at a late time, as those of a process do.
const START: Timestamp = Timestamp(1_000_000_000_000);

/// What a call does over its time.
#[derive(Clone, Copy, Debug)]
struct Shape {
    /// When it begins to speak.
    speaks_at: TimeSpan,
    /// From its first line on: when it falls silent, and for how long.
    silent_at: TimeSpan,
    silent_for: TimeSpan,
    /// When the service closes it.
    closed_at: TimeSpan,
}

const FOREVER: TimeSpan = TimeSpan::from_secs(100_000);

impl Shape {
    const PROMPT: Shape = Shape::late(TimeSpan::ZERO);
    const DEAD: Shape = Shape::late(FOREVER);

    const fn late(speaks_at: TimeSpan) -> Shape {
        Shape {
            speaks_at,
            silent_at: FOREVER,
            silent_for: TimeSpan::ZERO,
            closed_at: FOREVER,
        }
    }

    /// Draws a shape: late, dead, with a pause, or closed at some time.
    fn draw(rng: &mut fastrand::Rng) -> Shape {
        let mut span = |max_ms| TimeSpan::from_millis(rng.u64(0..max_ms));
        let mut shape = Shape::late(span(7_000));
        (shape.silent_for, shape.silent_at) = (span(9_000), span(10_000));
        shape.closed_at = shape.speaks_at + span(30_000);
        match rng.u8(0..6) {
            0 => Shape::DEAD,
            1 => Shape::PROMPT,
            2 => shape,
            _ => Shape {
                closed_at: FOREVER,
                ..shape
            },
        }
    }

    fn speaks(&self, age: TimeSpan) -> bool {
        let silent_at = self.speaks_at + self.silent_at;
        let is_silent = (silent_at..silent_at + self.silent_for).contains(&age);
        age >= self.speaks_at && !is_silent
    }
}

/// A dispatcher before a service whose calls have shapes of their own.
struct Play {
    calls: JournalCalls<u8>,
    open: BTreeMap<CallId, (Shape, Timestamp)>,
    heard_at: BTreeMap<CallId, Timestamp>,
    /// When calls were made, and when something was heard.
    made: Vec<Timestamp>,
    heard: Vec<Timestamp>,
}

impl Play {
    fn new(seed: u64) -> Play {
        Play {
            calls: JournalCalls::new(Some(0), seed),
            open: BTreeMap::new(),
            heard_at: BTreeMap::new(),
            made: Vec::new(),
            heard: Vec::new(),
        }
    }

    /// Carries out what is due, and checks that it may be done.
    fn carry_out(&mut self, now: Timestamp, shape: &mut impl FnMut(usize) -> Shape) {
        for order in self.calls.due_orders(now) {
            match order {
                Order::Open { id, .. } => {
                    let shape = shape(self.made.len());
                    self.open.insert(id, (shape, now));
                    self.made.push(now);
                }
                Order::End { id, reason } => {
                    let (_, made_at) = self.open.remove(&id).expect("an open call");
                    let silent_since = self.heard_at.get(&id).copied().unwrap_or(made_at);
                    let allowed = match reason {
                        EndReason::Overtaken => self.another_speaks(now),
                        EndReason::Silent => false,
                        EndReason::NoService => true,
                    };
                    assert!(
                        allowed || now.since(silent_since) >= TOLD_WITHIN,
                        "{reason:?}"
                    );
                }
            }
        }
        assert!(self.open.len() <= MAX_CALLS);
        let last = self.made.iter().chain(&self.heard).max();
        assert!(now.since(*last.expect("a call")) < TOLD_WITHIN);
    }

    /// Returns whether an open call has spoken lately.
    fn another_speaks(&self, now: Timestamp) -> bool {
        let heard_at = self.open.keys().filter_map(|id| self.heard_at.get(id));
        heard_at.max().is_some_and(|at| now.since(*at) < LATELY)
    }

    /// Lets the service speak.
    fn step(&mut self, now: Timestamp) {
        let open: Vec<_> = self.open.iter().map(|(id, call)| (*id, *call)).collect();
        for (id, (shape, made_at)) in open {
            let age = now.since(made_at);
            if age >= shape.closed_at {
                self.open.remove(&id);
                self.calls.on_ended(now, id);
            } else if shape.speaks(age)
                && (age - shape.speaks_at).0.is_multiple_of(COMMENT_INTERVAL.0)
            {
                self.calls.on_bytes(now, id, true);
                self.heard_at.insert(id, now);
                self.heard.push(now);
            }
        }
    }

    fn run(&mut self, time: TimeSpan, shape: impl FnMut(usize) -> Shape) {
        self.run_from(START, time, shape);
    }

    fn run_from(
        &mut self,
        begin: Timestamp,
        time: TimeSpan,
        mut shape: impl FnMut(usize) -> Shape,
    ) {
        let mut now = begin;
        while now < begin + time {
            if self.calls.next_due(now).is_some_and(|at| at <= now) {
                self.carry_out(now, &mut shape);
            }
            self.step(now);
            now = now + STEP;
        }
    }
}

/// Calls of drawn shapes. Guards against more calls than there may be, and against the end of a call that may still be the
/// first to speak.
#[test]
fn no_call_is_ended_early_and_their_number_is_bounded() {
    for seed in 0..300 {
        let (mut play, mut rng) = (Play::new(seed), fastrand::Rng::with_seed(seed));
        play.run(TimeSpan::from_secs(120), |_| Shape::draw(&mut rng));
    }
}

/// Each call is late by the same time, up to far beyond the seven seconds. Guards against a service that is never heard,
/// and against calls that remain beside one that speaks.
#[test]
fn a_service_that_is_late_is_heard_by_the_first_call_and_kept() {
    for delay_ms in (0..20_000).step_by(250) {
        let delay = TimeSpan::from_millis(delay_ms);
        let mut play = Play::new(delay_ms);
        play.run(TimeSpan::from_secs(60), |_| Shape::late(delay));
        let first = play.heard[0].since(START);
        assert!(
            first < delay + COMMENT_INTERVAL + STEP,
            "{delay_ms} ms: {first:?}"
        );
        assert_eq!(play.open.len(), 1, "{delay_ms} ms");
        assert!(play.made.len() <= 7, "{delay_ms} ms: {}", play.made.len());
    }
}

/// A call dies without a word, at its start or in the middle. Guards against a dead call that holds up the next one.
#[test]
fn a_dead_call_does_not_hold_up_the_next_one() {
    for (seed, dead_calls) in (0..40).flat_map(|seed| [(seed, 1), (seed, 2)]) {
        let stops = Shape {
            silent_at: TimeSpan::from_secs(12),
            silent_for: FOREVER,
            ..Shape::PROMPT
        };
        let mut play = Play::new(seed);
        let shape = |number| match number {
            0 => stops,
            n if n < dead_calls => Shape::DEAD,
            _ => Shape::PROMPT,
        };
        play.run(TimeSpan::from_secs(40), shape);
        let gap = play.heard.windows(2).map(|two| two[1].since(two[0])).max();
        let allowed = if dead_calls == 1 {
            TOLD_AFTER_STOP
        } else {
            TOLD_WITHIN
        };
        assert!(gap < Some(allowed), "{gap:?}");
    }
}

/// Each call is late, and falls silent for good some seconds after it has begun. Guards against a wait that has grown while
/// the first call was late: the next one is late, too.
#[test]
fn calls_that_are_late_and_fall_silent_later_are_followed_in_time() {
    for (delay_ms, speech_s) in (0..4_300).step_by(100).flat_map(|ms| [(ms, 4), (ms, 6)]) {
        let shape = Shape {
            silent_at: TimeSpan::from_secs(speech_s),
            silent_for: FOREVER,
            ..Shape::late(TimeSpan::from_millis(delay_ms))
        };
        let mut play = Play::new(delay_ms);
        play.run(TimeSpan::from_secs(200), |_| shape);
        let gaps = play.heard.windows(2).map(|two| two[1].since(two[0]));
        let longest = gaps.max().expect("two lines");
        // An event may come into the service right after the last line.
        assert!(longest <= TOLD_WITHIN, "{delay_ms} ms: {longest:?}");
    }
}

/// Calls that all fall silent after some lines, and go on later. Guards against calls that go on being made at the first
/// interval: each has the whole list sent again.
#[test]
fn the_wait_before_further_calls_grows() {
    for (silent_ms, pause_ms) in [
        (1_500, 2_500),
        (1_500, 6_500),
        (2_100, 2_500),
        (2_100, 5_500),
    ] {
        let shape = Shape {
            silent_at: TimeSpan::from_millis(silent_ms),
            silent_for: TimeSpan::from_millis(pause_ms),
            ..Shape::PROMPT
        };
        let mut play = Play::new(pause_ms);
        play.run(TimeSpan::from_secs(120), |_| shape);
        let made = play.made.len();
        assert!(
            made <= 4,
            "silent after {silent_ms} ms for {pause_ms} ms: {made}"
        );
    }
    let mut play = Play::new(1);
    play.run(TimeSpan::from_secs(120), |_| Shape::DEAD);
    assert!(play.made.len() <= 32, "{}", play.made.len());
}

/// A service that turns further calls away while it has not come to the first one. Guards against the rate of retries after
/// a failure, which would keep it slow.
#[test]
fn a_further_call_that_is_turned_away_is_not_repeated_at_once() {
    let turned_away = Shape {
        closed_at: STEP,
        ..Shape::DEAD
    };
    let late = Shape::late(TimeSpan::from_millis(6_500));
    let mut play = Play::new(3);
    let shape = |number| if number == 0 { late } else { turned_away };
    play.run(TimeSpan::from_secs(20), shape);
    assert!(play.made.len() <= 3, "{:?}", play.made);
    assert_eq!(play.open.len(), 1);
}

/// 900 dispatchers begin at the same time to call a service that answers them in turn, 120 calls a second, those that were
/// given up as well. Guards against calls beside calls that keep it slow.
#[test]
fn a_crowded_service_gets_to_everyone() {
    const DISPATCHERS: u64 = 900;
    const ANSWERS_IN_STEPS: TimeSpan = TimeSpan(8_333);
    let mut fleet: Vec<Play> = (0..DISPATCHERS).map(Play::new).collect();
    let (mut waiting, mut answered, mut served_until) = (VecDeque::new(), 0, START);
    let mut now = START;
    let mut heard_by_all = None;
    while now < START + TimeSpan::from_secs(60) {
        for (number, play) in fleet.iter_mut().enumerate() {
            let before = play.made.len();
            if play.calls.next_due(now).is_some_and(|at| at <= now) {
                play.carry_out(now, &mut |_| Shape::DEAD);
            }
            if play.made.len() > before {
                waiting.push_back((number, *play.open.keys().last().expect("a call")));
            }
            play.step(now);
        }
        while served_until <= now {
            served_until = served_until.max(now) + ANSWERS_IN_STEPS;
            let Some((number, id)) = waiting.pop_front() else {
                break;
            };
            answered += 1;
            if let Some((shape, made_at)) = fleet[number].open.get_mut(&id) {
                shape.speaks_at = now.since(*made_at);
                fleet[number].calls.on_bytes(now, id, true);
                fleet[number].heard.push(now);
            }
        }
        if heard_by_all.is_none() && fleet.iter().all(|play| !play.heard.is_empty()) {
            heard_by_all = Some(now.since(START));
        }
        now = now + STEP;
    }
    let made: usize = fleet.iter().map(|play| play.made.len()).sum();
    let heard_by_all = heard_by_all.expect("everyone hears");
    // Their first calls alone keep the service busy for 7.5 s.
    assert!(heard_by_all < TimeSpan::from_secs(9), "{heard_by_all:?}");
    assert!(
        made < 4 * DISPATCHERS as usize,
        "{made} calls, {answered} answered"
    );
    assert!(fleet.iter().all(|play| play.open.len() == 1));
}

/// New configurations name the same dead service each second. Guards against calls that are replaced before they may be
/// the first to speak.
#[test]
fn new_configurations_do_not_shorten_the_time_of_a_call() {
    for seed in 0..20 {
        let mut play = Play::new(seed);
        for second in 0..60 {
            play.calls.set_address(Some(0));
            let begin = START + TimeSpan::from_secs(second);
            play.run_from(begin, TimeSpan::from_secs(1), |_| Shape::DEAD);
        }
        assert_eq!(play.open.len(), MAX_CALLS);
    }
}

/// A new configuration names another service, or none. Guards against waiting for the former one before the new one is
/// called, against ending its call before the new one speaks, and against calls that remain.
#[test]
fn another_service_is_called_at_once_and_takes_over_when_it_speaks() {
    let mut play = Play::new(1);
    play.run(TimeSpan::from_secs(10), |_| Shape::PROMPT);
    play.calls.set_address(Some(1));
    play.run_from(
        START + TimeSpan::from_secs(10),
        TimeSpan::from_secs(2),
        |_| Shape::late(TimeSpan::from_secs(3)),
    );
    assert_eq!((play.made.len(), play.open.len()), (2, 2));
    play.run_from(
        START + TimeSpan::from_secs(12),
        TimeSpan::from_secs(6),
        |_| Shape::PROMPT,
    );
    assert_eq!(play.open.len(), 1);
    play.calls.set_address(None);
    play.run_from(
        START + TimeSpan::from_secs(18),
        TimeSpan::from_secs(1),
        |_| Shape::PROMPT,
    );
    assert_eq!(play.open.len(), 0);
}
