//! The oracle finds what it is there to find: each story plants one mistake.

use std::time::Duration;
use trailproxy::units::{ClassId, GroupId, ObjectId, TimeSpan};
use trailproxy_lab::rules::Final;
use trailproxy_soak::oracle::{Asking, Oracle, Promise};
use trailproxy_soak::plan::{Kind, Plan, Size};
use trailproxy_soak::proxy::{Observer, Pull};
use trailproxy_standins::loopback::Clock;
use trailproxy_standins::shape::Role;

const SIZE: Size = Size {
    dispatchers: 2,
    seconds: 4.0,
    rate: 1.0,
};
const PAYMENT: ClassId = ClassId(2);

struct Story {
    oracle: Oracle,
    cache: trailproxy::units::HostId,
}

impl Story {
    fn new() -> Story {
        let plan = Plan::draw(1, SIZE, &[Kind::Process]).expect("a plan");
        let clock = Clock::dawning_in(Duration::ZERO).expect("a clock");
        let hosts = &plan.scenario.shape.hosts;
        let cache = hosts.iter().find(|host| host.role == Role::Cache);
        Story {
            cache: cache.expect("a cache").id,
            oracle: Oracle::new(&plan.scenario, clock, vec![]),
        }
    }

    fn asks(&self, reference: u64, class: ClassId, allow: TimeSpan) {
        self.oracle.asks(Asking {
            reference,
            class,
            object: ObjectId(7),
            group: GroupId(3),
            kb: 10.0,
            dispatcher: 0,
            deadline: self.oracle.now() + allow,
        });
    }

    fn pulled(&self, reference: u64, ttl: Duration) {
        self.oracle.pulled(&Pull {
            host: self.cache,
            reference,
            source: None,
            ttl,
        });
    }

    fn broken(self) -> Vec<Promise> {
        let verdict = self.oracle.finish();
        verdict
            .broken
            .into_iter()
            .map(|(promise, _)| promise)
            .collect()
    }
}

const SECOND: TimeSpan = TimeSpan::from_secs(1);

#[test]
fn a_request_that_is_served_in_time_breaks_nothing() {
    let story = Story::new();
    story.asks(1, ClassId(0), SECOND);
    story.pulled(1, Duration::from_millis(990));
    story.oracle.answered(1, Final::Done);
    assert_eq!(story.broken(), vec![]);
}

#[test]
fn a_request_without_an_answer_is_found() {
    let story = Story::new();
    story.asks(1, ClassId(0), SECOND);
    assert_eq!(story.broken(), vec![Promise::Rule(1)]);
}

#[test]
fn an_attempt_for_a_client_that_has_gone_is_found() {
    let story = Story::new();
    story.asks(1, ClassId(0), SECOND);
    story.oracle.left(1);
    std::thread::sleep(Duration::from_millis(250));
    story.pulled(1, Duration::from_millis(700));
    assert_eq!(story.broken(), vec![Promise::NothingForTheGone]);
}

#[test]
fn a_deadline_that_is_too_long_is_found() {
    let story = Story::new();
    story.asks(1, ClassId(0), SECOND);
    story.pulled(1, Duration::from_millis(1_400));
    story.oracle.answered(1, Final::Done);
    assert_eq!(story.broken(), vec![Promise::DeadlinePassedOn]);
}

#[test]
fn an_effect_that_happens_twice_is_found() {
    let story = Story::new();
    story.asks(1, PAYMENT, SECOND);
    story.pulled(1, Duration::from_millis(900));
    story.oracle.abandoned(1);
    story.pulled(1, Duration::from_millis(900));
    Observer::answered(&story.oracle, 1, false, None);
    story.oracle.answered(1, Final::Done);
    assert_eq!(story.broken(), vec![Promise::Rule(2)]);
}

#[test]
fn an_answer_from_before_a_purge_is_found() {
    let story = Story::new();
    let purged = story.oracle.now();
    story.oracle.purged(purged, purged, None, GroupId(3));
    std::thread::sleep(Duration::from_millis(900));
    story.asks(1, ClassId(0), SECOND);
    story.pulled(1, Duration::from_millis(900));
    // It was minted a minute before.
    Observer::answered(&story.oracle, 1, false, Some(0));
    story.oracle.answered(1, Final::Done);
    assert_eq!(story.broken(), vec![Promise::Rule(5)]);
}

#[test]
fn a_seed_draws_the_same_run_again() {
    let events = |seed| {
        let plan = Plan::draw(seed, SIZE, &Kind::ALL).expect("a plan");
        plan.events
            .iter()
            .map(ToString::to_string)
            .collect::<Vec<_>>()
    };
    assert_eq!(events(5), events(5));
    assert_ne!(events(5), events(6));
}
