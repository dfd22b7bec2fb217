//! A planted breach of each rule is found, and what keeps the rules is not accused.

use trailproxy::interface::*;
use trailproxy::units::*;
use trailproxy_lab::rules::{Bounds, Checker, Final, Rule};

const HOST: HostId = HostId(1);
const OTHER: HostId = HostId(2);

fn track(effect: Effect) -> ClassSettings {
    ClassSettings {
        target: TimeSpan::from_millis(500),
        target_stretch: 1.0,
        effect,
        fresh_for: None,
        stale_grace: TimeSpan::ZERO,
        is_write: false,
    }
}

fn checker() -> Checker {
    let cold = SlowStart {
        initial_capacity: 0.25,
        duration: TimeSpan::from_secs(10),
        overload_factor: 4.0,
        overload_window: TimeSpan::from_secs(1),
        shared_by: None,
    };
    let window = TimeSpan::from_secs(2);
    let cell = RepeatGroup::Cell;
    let mut checker = Checker::new(Bounds {
        tracks: vec![
            track(Effect::Idempotent),
            track(Effect::Keyed {
                group: cell,
                window,
            }),
            track(Effect::NonIdempotent),
        ],
        cold_cache: cold,
        cold_parent: cold,
        parent_kind: KindId(1),
        origin_kind: KindId(2),
        flow_kb_per_s: 1_000.0,
        drain_within: TimeSpan::from_secs(2),
        purge_grace: TimeSpan::from_millis(500),
        slack: TimeSpan::from_millis(50),
        overlap: TimeSpan::ZERO,
        cold_slack: 1.1,
    });
    checker.listed(secs(0.0), entry(HOST, 0, HostState::Ready));
    checker.listed(secs(0.0), entry(OTHER, 1, HostState::Ready));
    checker
}

fn entry(host: HostId, cell: u16, state: HostState) -> HostEntry {
    HostEntry {
        host,
        cell: CellId(cell),
        zone: ZoneId(0),
        kind: KindId(0),
        started: None,
        stamp: None,
        capacity: 4.0,
        state,
    }
}

fn secs(s: f64) -> Timestamp {
    Timestamp(0) + TimeSpan::from_secs_f64(s)
}

fn id(n: u64) -> RequestId {
    RequestId(n)
}

/// An access of a track, sent to the first host at once.
fn sent(checker: &mut Checker, n: u64, track: u16, at: f64) {
    checker.taken(secs(at), id(n), ClassId(track), secs(at + 3.0));
    checker.sent(secs(at), id(n), 0, HOST, None, 10.0);
}

fn broken(mut checker: Checker) -> Vec<Rule> {
    checker.finish();
    checker
        .breaches()
        .iter()
        .map(|breach| breach.rule)
        .collect()
}

#[test]
fn an_ordinary_access_breaks_nothing() {
    let mut checker = checker();
    for (n, track) in [(1, 0), (2, 1), (3, 2)] {
        sent(&mut checker, n, track, 1.0);
        checker.ended(secs(1.1), id(n), 0, false);
        checker.answered(secs(1.2), id(n), Final::Done, None);
    }
    assert_eq!(broken(checker), []);
}

#[test]
fn two_answers_none_a_late_one_and_one_to_nothing() {
    let mut twice = checker();
    sent(&mut twice, 1, 0, 1.0);
    twice.answered(secs(1.2), id(1), Final::Done, None);
    twice.answered(secs(1.3), id(1), Final::Rejected, None);
    assert_eq!(broken(twice), [Rule::OneAnswer]);

    let mut none = checker();
    sent(&mut none, 1, 0, 1.0);
    assert_eq!(broken(none), [Rule::OneAnswer]);

    let mut left = checker();
    sent(&mut left, 1, 0, 1.0);
    left.excused(id(1));
    assert_eq!(broken(left), []);

    let mut late = checker();
    sent(&mut late, 1, 0, 1.0);
    late.answered(secs(4.2), id(1), Final::Done, None);
    assert_eq!(broken(late), [Rule::OneAnswer]);

    let mut nothing = checker();
    nothing.answered(secs(1.0), id(9), Final::Done, None);
    assert_eq!(broken(nothing), [Rule::OneAnswer]);
}

#[test]
fn a_hand_off_after_the_answer_or_beside_another() {
    let mut after = checker();
    sent(&mut after, 1, 0, 1.0);
    after.ended(secs(1.1), id(1), 0, true);
    after.answered(secs(1.2), id(1), Final::Rejected, None);
    after.sent(secs(1.4), id(1), 1, HOST, None, 10.0);
    assert_eq!(broken(after), [Rule::OneAnswer]);

    let mut beside = checker();
    sent(&mut beside, 1, 0, 1.0);
    beside.sent(secs(1.1), id(1), 1, OTHER, None, 10.0);
    beside.answered(secs(1.2), id(1), Final::Done, None);
    assert_eq!(broken(beside), [Rule::OneAnswer]);
}

#[test]
fn a_binding_access_goes_out_again_only_with_a_proof() {
    for (proof, rules) in [(true, vec![]), (false, vec![Rule::NoEffectTwice])] {
        let mut checker = checker();
        sent(&mut checker, 1, 2, 1.0);
        checker.ended(secs(1.1), id(1), 0, proof);
        checker.sent(secs(1.1), id(1), 1, HOST, None, 10.0);
        checker.ended(secs(1.1), id(1), 1, false);
        checker.answered(secs(1.2), id(1), Final::Aborted, None);
        assert_eq!(broken(checker), rules);
    }
    let mut rejected = checker();
    sent(&mut rejected, 1, 2, 1.0);
    rejected.ended(secs(1.1), id(1), 0, false);
    rejected.answered(secs(1.2), id(1), Final::Rejected, None);
    assert_eq!(broken(rejected), [Rule::NoEffectTwice]);
}

#[test]
fn a_fingerprinted_one_stays_in_its_group_and_window() {
    let cases = [
        (HOST, 1.5, vec![]),
        (OTHER, 1.5, vec![Rule::NoEffectTwice]),
        (HOST, 3.2, vec![Rule::NoEffectTwice]),
    ];
    for (host, at, rules) in cases {
        let mut checker = checker();
        sent(&mut checker, 1, 1, 1.0);
        checker.ended(secs(1.1), id(1), 0, false);
        checker.sent(secs(at), id(1), 1, host, None, 10.0);
        checker.answered(secs(at + 0.1), id(1), Final::Done, None);
        assert_eq!(broken(checker), rules);
    }
}

#[test]
fn a_drained_host_gets_nothing_new_as_host_or_source() {
    for (at, source, rules) in [
        (2.9, None, vec![]),
        (3.2, None, vec![Rule::DrainsKept]),
        (3.2, Some(HOST), vec![Rule::DrainsKept]),
    ] {
        let mut checker = checker();
        checker.listed(secs(1.0), entry(HOST, 0, HostState::Draining));
        checker.taken(secs(at), id(1), ClassId(0), secs(at + 3.0));
        let host = if source.is_some() { OTHER } else { HOST };
        checker.sent(secs(at), id(1), 0, host, source, 10.0);
        checker.answered(secs(at + 0.1), id(1), Final::Done, None);
        assert_eq!(broken(checker), rules);
    }
}

#[test]
fn all_together_give_a_cold_host_no_more_than_it_bears() {
    // 4 places at a quarter, four times over: 4 s of work within one second.
    for (accesses, rules) in [(4, vec![]), (5, vec![Rule::ColdSpared])] {
        let mut checker = checker();
        let cold = HostEntry {
            started: Some(secs(10.0)),
            stamp: Some(secs(10.0)),
            ..entry(HOST, 0, HostState::Ready)
        };
        checker.listed(secs(10.0), cold);
        for n in 1..=accesses {
            checker.taken(secs(10.0), id(n), ClassId(0), secs(13.0));
            checker.sent(secs(10.0), id(n), 0, HOST, None, 1_000.0);
            checker.answered(secs(10.5), id(n), Final::Done, None);
        }
        assert_eq!(broken(checker), rules);
    }
}

#[test]
fn nothing_sent_past_the_grace_is_answered_from_before_a_purge() {
    let (object, group) = (ObjectId(7), GroupId(3));
    let cases = [
        (1.4, 0.5, Some(object), vec![]),
        (1.7, 1.5, Some(object), vec![]),
        (1.7, 0.5, Some(object), vec![Rule::PurgesKept]),
        (1.7, 0.5, None, vec![Rule::PurgesKept]),
        (1.7, 0.5, Some(ObjectId(8)), vec![]),
    ];
    for (at, minted, purged, rules) in cases {
        let mut checker = checker();
        checker.purged(secs(1.0), purged, group);
        sent(&mut checker, 1, 0, at);
        let copy = Some((object, group, secs(minted)));
        checker.answered(secs(at + 0.1), id(1), Final::Done, copy);
        assert_eq!(broken(checker), rules);
    }
}

#[test]
fn what_is_over_is_forgotten() {
    let mut checker = checker();
    for n in 0..20_000 {
        let at = n as f64 / 100.0;
        sent(&mut checker, n, 0, at);
        checker.ended(secs(1.1), id(n), 0, false);
        checker.answered(secs(at + 0.1), id(n), Final::Done, None);
        assert!(checker.held() < 1_000);
    }
    assert_eq!(broken(checker), []);
}
