//! The stand-ins by themselves: what hosts do when they are asked, filled, struck and brought back.

use proptest::prelude::*;
use trailproxy::interface::{ClassSettings, Effect, Ending, Fill, HostState, Note, SlowStart};
use trailproxy::units::*;
use trailproxy_standins::fleet::{Answer, Fleet, Pull, Said, Ticket};
use trailproxy_standins::pipe::Pipe;
use trailproxy_standins::shape::*;
use trailproxy_standins::store::{Copy, Store};

const CACHE: HostId = HostId(1);
const PARENT: HostId = HostId(2);
const ORIGIN: HostId = HostId(3);

fn shape() -> Shape {
    let zone = |name: &str, link| Zone {
        name: name.into(),
        link_kb_per_s: link,
        distance: TimeSpan::from_millis(10),
    };
    let host = |id, role, zone| HostShape {
        id,
        name: format!("{}", id.0),
        role,
        zone: ZoneId(zone),
        cell: CellId(0),
        size: 4.0,
        room_kb: 10_000.0,
        first_byte: TimeSpan::from_millis(10),
        places: 8,
    };
    let track = |fresh_for: Option<TimeSpan>, is_write| ClassSettings {
        target: TimeSpan::from_millis(500),
        target_stretch: 1.0,
        effect: Effect::Idempotent,
        fresh_for,
        stale_grace: TimeSpan::from_secs(60),
        is_write,
    };
    let cold = SlowStart {
        initial_capacity: 0.25,
        duration: TimeSpan::from_secs(10),
        overload_factor: 4.0,
        overload_window: TimeSpan::from_secs(1),
        shared_by: None,
    };
    Shape {
        zones: vec![zone("hub", 0.0), zone("depot", 2_000.0)],
        hosts: vec![
            host(CACHE, Role::Cache, 1),
            host(PARENT, Role::Parent, 0),
            host(ORIGIN, Role::Origin, 0),
        ],
        tracks: vec![
            track(Some(TimeSpan::from_secs(5)), false),
            track(None, true),
        ],
        flow_kb_per_s: 1_000.0,
        fill_kb_per_s: 1_500.0,
        cold_cache: cold,
        cold_parent: cold,
        purge_done: TimeSpan::from_secs(2),
        fill_within: TimeSpan::from_secs(2),
        noticed_after: TimeSpan::from_secs(1),
        origin_bears: None,
        fallen_for: TimeSpan::from_secs(5),
    }
}

fn pull(ticket: u64, object: u64, kb: f64) -> Pull {
    let fill = Fill {
        source: PARENT,
        rank: 1,
        max_age: None,
        join: true,
        only_if_cached: false,
        revalidate: false,
    };
    Pull {
        ticket: Ticket(ticket),
        host: CACHE,
        zone: ZoneId(1),
        track: ClassId(0),
        object: ObjectId(object),
        group: GroupId(0),
        part: 0,
        kb,
        fill: Some(fill),
    }
}

fn fleet(script: &[Cue]) -> Fleet {
    Fleet::new(shape(), script, 1)
}

fn answers(said: Vec<Said>) -> Vec<Answer> {
    let answer = |said| match said {
        Said::Answer(answer) => Some(answer),
        _ => None,
    };
    said.into_iter().filter_map(answer).collect()
}

fn secs(s: f64) -> Timestamp {
    Timestamp(0) + TimeSpan::from_secs_f64(s)
}

/// Asks, and lets time pass until this second.
fn ask(fleet: &mut Fleet, at: f64, pull: Pull, until: f64) -> Vec<Answer> {
    fleet.advance(secs(at));
    fleet.hand_off(secs(at), pull);
    answers(fleet.advance(secs(until)))
}

#[test]
fn a_miss_is_filled_through_the_parent_and_then_held_by_both() {
    let mut fleet = fleet(&[]);
    let first = ask(&mut fleet, 0.0, pull(1, 5, 100.0), 2.0);
    assert_eq!(
        (first[0].ending, first[0].note),
        (Ending::Done, Note::FilledByOrigin)
    );
    let again = ask(&mut fleet, 2.0, pull(2, 5, 100.0), 3.0);
    assert_eq!((again[0].ending, again[0].note), (Ending::Done, Note::Hit));
    let moved = fleet.moved();
    assert!((moved.origin_kb - 100.0).abs() < 0.01 && (moved.hub_kb - 100.0).abs() < 0.01);
    assert!((fleet.crossed_kb(ZoneId(1)) - 100.0).abs() < 0.01);
    assert_eq!(moved.hit_kb, 100.0);
}

#[test]
fn many_wait_for_one_fill() {
    let mut fleet = fleet(&[]);
    for ticket in 0..6 {
        fleet.hand_off(secs(0.0), pull(ticket, 5, 300.0));
    }
    let all = answers(fleet.advance(secs(5.0)));
    assert_eq!(all.len(), 6);
    assert!(all.iter().all(|a| a.ending == Ending::Done));
    assert!((fleet.moved().origin_kb - 300.0).abs() < 0.01);
}

#[test]
fn a_withdrawn_request_is_owed_nothing_and_its_fill_goes_on() {
    let mut fleet = fleet(&[]);
    fleet.hand_off(secs(0.0), pull(1, 5, 300.0));
    fleet.advance(secs(0.03));
    fleet.withdraw(secs(0.03), Ticket(1));
    assert!(answers(fleet.advance(secs(3.0))).is_empty());
    assert_eq!(
        ask(&mut fleet, 3.0, pull(2, 5, 300.0), 4.0)[0].note,
        Note::Hit
    );
}

#[test]
fn a_crash_loses_what_is_open_and_comes_back_empty() {
    let cue = Cue {
        at: secs(1.05),
        trouble: Trouble::Crash(CACHE, TimeSpan::from_secs(2)),
    };
    let mut fleet = fleet(&[cue]);
    ask(&mut fleet, 0.0, pull(1, 5, 100.0), 1.0);
    let lost = ask(&mut fleet, 1.0, pull(2, 5, 100.0), 1.5);
    assert_eq!(lost[0].ending, Ending::ConnectionLost);
    assert_eq!(
        ask(&mut fleet, 1.5, pull(3, 5, 100.0), 1.6)[0].ending,
        Ending::NoConnection
    );
    let back = ask(&mut fleet, 3.2, pull(4, 5, 100.0), 5.0);
    assert_ne!(back[0].note, Note::Hit);
    let started = fleet.list()[0].started;
    assert_eq!(started, Some(secs(3.05)));
}

#[test]
fn the_list_tells_a_roll_from_its_drain_to_its_return() {
    let cue = Cue {
        at: secs(1.0),
        trouble: Trouble::Roll(CACHE, TimeSpan::from_secs(1)),
    };
    let mut fleet = fleet(&[cue]);
    let mut states = Vec::new();
    for said in fleet.advance(secs(20.0)) {
        if let Said::Listed(entry) = said {
            states.push(entry.state);
        }
    }
    states.dedup();
    assert_eq!(
        states,
        [HostState::Draining, HostState::Ready],
        "noticed as gone only after it is back"
    );
}

#[test]
fn a_silent_host_answers_when_it_goes_on() {
    let cue = Cue {
        at: secs(0.0),
        trouble: Trouble::Silence(CACHE, TimeSpan::from_secs(3)),
    };
    let mut fleet = fleet(&[cue]);
    assert!(ask(&mut fleet, 0.5, pull(1, 5, 10.0), 2.9).is_empty());
    assert_eq!(answers(fleet.advance(secs(5.0)))[0].ending, Ending::Done);
}

#[test]
fn a_stalled_parent_is_given_up_after_the_fills_limit() {
    let cue = Cue {
        at: secs(0.0),
        trouble: Trouble::Stall(PARENT, TimeSpan::from_secs(30)),
    };
    let mut fleet = fleet(&[cue]);
    let said = ask(&mut fleet, 0.5, pull(1, 5, 10.0), 4.0);
    assert_eq!(
        (said[0].ending, said[0].note),
        (Ending::Error, Note::SourceLost)
    );
    assert_eq!(fleet.under_way(), 0);
}

#[test]
fn a_cold_host_falls_over_when_given_too_much() {
    let cue = Cue {
        at: secs(0.0),
        trouble: Trouble::Crash(CACHE, TimeSpan::from_secs(1)),
    };
    let mut fleet = fleet(&[cue]);
    fleet.advance(secs(1.5));
    // 4 places at a quarter, four times over: 4 s of work within one.
    for ticket in 0..6 {
        fleet.hand_off(secs(1.5), pull(ticket, ticket, 900.0));
    }
    let fell = fleet.advance(secs(1.6)).contains(&Said::Fell(CACHE));
    assert!(fell);
}

#[test]
fn an_origin_that_bears_no_rush_falls_over_and_comes_back() {
    let bearing = Shape {
        origin_bears: Some(1.5),
        ..shape()
    };
    let mut fleet = Fleet::new(bearing, &[], 1);
    // 4 places, half as much again: 6 s of work within one.
    for ticket in 0..8 {
        fleet.hand_off(secs(0.0), pull(ticket, ticket, 900.0));
    }
    assert!(fleet.advance(secs(0.5)).contains(&Said::Fell(ORIGIN)));
    fleet.advance(secs(6.0));
    let back = ask(&mut fleet, 6.0, pull(99, 99, 10.0), 8.0);
    assert_eq!(back[0].ending, Ending::Done);
}

#[test]
fn a_purge_leaves_no_copy_from_before_it() {
    let mut fleet = fleet(&[]);
    ask(&mut fleet, 0.0, pull(1, 5, 100.0), 1.0);
    fleet.cue(Trouble::Purge(None, GroupId(0)));
    fleet.advance(secs(4.0));
    assert_ne!(
        ask(&mut fleet, 4.0, pull(2, 5, 100.0), 5.0)[0].note,
        Note::Hit
    );
}

#[test]
fn a_replaced_host_has_another_id_and_nothing_of_the_old_one() {
    let new = HostId(77);
    let cue = Cue {
        at: secs(1.02),
        trouble: Trouble::Replace(CACHE, new, TimeSpan::from_secs(1)),
    };
    let mut fleet = fleet(&[cue]);
    let lost = ask(&mut fleet, 1.0, pull(1, 5, 500.0), 1.5);
    assert_eq!(lost[0].ending, Ending::ConnectionLost);
    assert_eq!(
        ask(&mut fleet, 1.5, pull(2, 5, 10.0), 1.6)[0].ending,
        Ending::NoConnection
    );
    let to_new = Pull {
        host: new,
        ..pull(3, 5, 10.0)
    };
    assert_eq!(ask(&mut fleet, 2.5, to_new, 4.0)[0].ending, Ending::Done);
}

#[test]
fn a_link_that_narrows_slows_what_is_under_way() {
    let time = |script: &[Cue]| {
        let mut fleet = fleet(script);
        fleet.hand_off(secs(0.0), pull(1, 5, 1_000.0));
        let mut at = 0.0;
        while answers(fleet.advance(secs(at))).is_empty() {
            at += 0.01;
        }
        at
    };
    let narrow = Cue {
        at: secs(0.3),
        trouble: Trouble::Link(ZoneId(1), 0.1, TimeSpan::from_secs(2)),
    };
    let (wide, narrow) = (time(&[]), time(&[narrow]));
    assert!((1.0..1.2).contains(&wide), "{wide}");
    // 2 s at 200 KB/s, and what then is left at the full pace.
    assert!((2.4..2.8).contains(&narrow), "{narrow}");
}

proptest! {
    #[test]
    fn every_request_ends_once_and_nothing_is_left(
        asks in prop::collection::vec((0u64..40, 1u64..9, 1.0..800.0f64, any::<bool>()), 1..60),
        strikes in prop::collection::vec((0u64..40, 0u8..7, 0usize..3), 0..6),
    ) {
        let hosts = [CACHE, PARENT, ORIGIN];
        let script: Vec<Cue> = strikes.iter().map(|&(at, kind, host)| {
            let (host, span) = (hosts[host], TimeSpan::from_secs(2));
            let trouble = match kind {
                0 => Trouble::Crash(host, span),
                1 => Trouble::Silence(host, span),
                2 => Trouble::Slow(host, 10.0, span),
                3 => Trouble::Stall(host, span),
                4 => Trouble::Garbage(host, 0.5, span),
                5 => Trouble::Resets(host, 0.5, span),
                _ => Trouble::Roll(host, span),
            };
            Cue { at: secs(at as f64 / 10.0), trouble }
        }).collect();
        let mut fleet = fleet(&script);
        let mut asks = asks;
        asks.sort_by_key(|ask| ask.0);
        let (mut heard, mut withdrawn) = (Vec::new(), Vec::new());
        for (nth, &(at, object, kb, withdraws)) in asks.iter().enumerate() {
            let now = secs(at as f64 / 10.0);
            heard.extend(answers(fleet.advance(now)));
            fleet.hand_off(now, pull(nth as u64, object, kb));
            if withdraws && nth % 3 == 0 {
                heard.extend(answers(fleet.advance(now)));
                fleet.withdraw(now, Ticket(nth as u64));
                withdrawn.push(Ticket(nth as u64));
            }
        }
        heard.extend(answers(fleet.advance(secs(200.0))));
        let mut tickets: Vec<Ticket> = heard.iter().map(|answer| answer.ticket).collect();
        tickets.sort();
        let n = tickets.len();
        tickets.dedup();
        prop_assert_eq!(n, tickets.len(), "answered twice");
        prop_assert!(n + withdrawn.len() >= asks.len(), "an answer is missing");
        prop_assert_eq!(fleet.under_way(), 0);
    }

    #[test]
    fn a_pipe_moves_what_it_was_given_and_no_faster_than_it_can(
        flows in prop::collection::vec((0u64..2_000_000, 0.1..500.0f64), 1..40),
        change in (0u64..3_000_000, 50.0..3_000.0f64),
    ) {
        let mut pipe = Pipe::new(1_000.0, 700.0);
        let mut flows = flows;
        flows.sort_by_key(|flow| flow.0);
        let (mut over, mut changed) = (Vec::new(), false);
        for (id, &(at, kb)) in flows.iter().enumerate() {
            if !changed && change.0 <= at {
                over.extend(pipe.take_over(Timestamp(change.0)));
                pipe.set_rate(Timestamp(change.0), change.1);
                changed = true;
            }
            over.extend(pipe.take_over(Timestamp(at)));
            pipe.add(Timestamp(at), id, kb);
        }
        let sum: f64 = flows.iter().map(|flow| flow.1).sum();
        let top = if changed { change.1.max(1_000.0) } else { 1_000.0 };
        let mut last = Timestamp(flows.last().map_or(0, |flow| flow.0));
        while let Some(at) = pipe.next() {
            last = at;
            over.extend(pipe.take_over(at));
        }
        over.sort();
        prop_assert_eq!(over, (0..flows.len()).collect::<Vec<_>>());
        prop_assert!((pipe.moved_kb() - sum).abs() < 0.01 * sum.max(1.0), "{} of {}", pipe.moved_kb(), sum);
        let first = Timestamp(flows[0].0);
        prop_assert!(last.since(first).as_secs_f64() * top + 1.0 >= sum * 0.999);
    }

    #[test]
    fn a_store_never_holds_more_than_it_has_room_for(
        kept in prop::collection::vec((0u64..30, 1.0..200.0f64, 1u8..=3), 1..200),
    ) {
        let mut store = Store::new(500.0);
        for (nth, &(object, kb, rank)) in kept.iter().enumerate() {
            let part = (ObjectId(object), 0);
            let copy = Copy { minted: Timestamp(nth as u64), kb, rank, group: GroupId(0) };
            if store.keep(part, copy) {
                prop_assert_eq!(store.look(part), Some(copy));
            }
            prop_assert!(store.held_kb() <= 500.0 + 1e-6);
        }
        store.purge(None, GroupId(0), Timestamp(u64::MAX));
        prop_assert_eq!(store.copies(), 0);
        prop_assert!(store.held_kb().abs() < 1e-6);
    }
}
