//! One scenario for each failure of a shared store.

mod world;

use trailproxy::interface::*;
use trailproxy::units::*;
use trailproxy_shared_store::decide::records::{Completion, RecordDecision};
use trailproxy_shared_store::decide::trust::Trust;
use world::*;

const TIME_LEFT: TimeSpan = TimeSpan::from_secs(1);

/// Two dispatchers that both trust the store.
fn pair(seed: u64) -> World {
    let mut world = World::new(2, seed);
    assert!(
        world.wait_until_trusted(TimeSpan::from_secs(20)),
        "both trust a store that is well"
    );
    world
}

/// A request with this key is sent and done by the first dispatcher.
fn complete_request(world: &mut World, key: &str) {
    let first = world.send_request(0, key, TIME_LEFT);
    world.run(TimeSpan::from_millis(2));
    world.send_attempt(0, first, 0);
    world.end_request(0, first, done(b"accepted"));
    world.run(TimeSpan::from_millis(2));
}

fn done(body: &[u8]) -> Completion {
    Completion::Done(Some(body.to_vec()))
}

#[test]
fn a_store_is_trusted_only_when_nothing_from_before_can_be_missing() {
    let mut world = World::new(1, 1);
    world.run(TimeSpan::from_secs(5));
    assert_eq!(world.trust(0), Trust::Returning);
    world.run(TimeSpan::from_secs(3));
    assert_eq!(world.trust(0), Trust::Together);
}

#[test]
fn a_retry_elsewhere_is_answered_from_the_record() {
    let mut world = pair(2);
    let first = world.send_request(0, "order-1", TIME_LEFT);
    world.run(TimeSpan::from_millis(2));
    assert_eq!(world.decision(0, first), Some(&RecordDecision::Proceed));
    world.send_attempt(0, first, 0);
    world.end_request(0, first, done(b"accepted"));
    world.run(TimeSpan::from_millis(2));
    let repeats = world.send_request(1, "order-1", TIME_LEFT);
    world.run(TimeSpan::from_millis(2));
    assert_eq!(
        world.decision(1, repeats),
        Some(&RecordDecision::Answer(b"accepted".to_vec()))
    );
}

/// Guards against a change that runs twice because a dispatcher that was not run in time takes its own delay for that of
/// the store.
#[test]
fn a_wait_for_the_store_that_is_ended_late_begins_anew() {
    let mut world = pair(2);
    complete_request(&mut world, "order-1");
    let repeats = world.send_request(1, "order-1", TIME_LEFT);
    let late = world.now + rules().max_wait + TimeSpan::from_millis(3);
    world.members[1].state.advance(late);
    world.run(TimeSpan::from_millis(2));
    assert_eq!(
        world.decision(1, repeats),
        Some(&RecordDecision::Answer(b"accepted".to_vec()))
    );
}

/// Guards against a store that is left, and against changes that run twice then, because a dispatcher that was not run in
/// time counts its own delay as the store's: at the end of the waits, or when it reads the answers.
#[test]
fn a_dispatcher_that_is_run_late_does_not_doubt_the_store() {
    for is_late_at_deadline in [true, false] {
        let keys = ["order-1", "order-2", "order-3", "order-4"];
        let mut world = pair(2);
        for key in keys {
            complete_request(&mut world, key);
        }
        let repeats = keys.map(|key| world.send_request(1, key, TIME_LEFT));
        let late = rules().max_wait + TimeSpan::from_millis(3);
        if is_late_at_deadline {
            let now = world.now + late;
            world.members[1].state.advance(now);
        } else {
            // The answers are there long before they are read.
            while world.apply_next(1) {}
            world.now = world.now + late;
            while world.answer_next(1, false) {}
        }
        world.run(TimeSpan::from_millis(2));
        let answer = RecordDecision::Answer(b"accepted".to_vec());
        for id in repeats {
            assert_eq!(
                world.decision(1, id),
                Some(&answer),
                "{is_late_at_deadline}"
            );
        }
        assert_eq!(world.trust(1), Trust::Together, "{is_late_at_deadline}");
    }
}

/// Guards against a dispatcher that sends its own key again because the store is gone.
#[test]
fn a_retry_at_the_same_dispatcher_needs_no_store() {
    let mut world = pair(2);
    world.disconnect(0);
    let first = world.send_request(0, "order-1", TIME_LEFT);
    assert_eq!(world.decision(0, first), Some(&RecordDecision::Proceed));
    world.send_attempt(0, first, 0);
    let second = world.send_request(0, "order-1", TIME_LEFT);
    assert_eq!(world.decision(0, second), None, "it waits for the first");
    world.end_request(0, first, done(b"accepted"));
    world.run(TimeSpan::from_millis(200));
    let answer = RecordDecision::Answer(b"accepted".to_vec());
    assert_eq!(world.decision(0, second), Some(&answer));
    let third = world.send_request(0, "order-1", TIME_LEFT);
    assert_eq!(world.decision(0, third), Some(&answer));
    let unknown = world.send_request(0, "order-2", TIME_LEFT);
    world.send_attempt(0, unknown, 0);
    world.end_request(0, unknown, Completion::Unknown);
    let fourth = world.send_request(0, "order-2", TIME_LEFT);
    assert!(world.earlier_attempt(0, fourth).is_some());
    let never_ran = world.send_request(0, "order-3", TIME_LEFT);
    world.send_attempt(0, never_ran, 0);
    world.end_request(0, never_ran, Completion::NeverRan);
    let fifth = world.send_request(0, "order-3", TIME_LEFT);
    assert_eq!(world.decision(0, fifth), Some(&RecordDecision::Proceed));
    assert!(world.earlier_attempt(0, fifth).is_none());
}

#[test]
fn a_retry_elsewhere_joins_what_is_under_way() {
    let mut world = pair(3);
    let first = world.send_request(0, "order-1", TIME_LEFT);
    world.run(TimeSpan::from_millis(2));
    world.send_attempt(0, first, 0);
    world.run(TimeSpan::from_millis(2));
    let repeats = world.send_request(1, "order-1", TIME_LEFT);
    world.run(TimeSpan::from_millis(40));
    assert_eq!(world.decision(1, repeats), None, "it waits for the first");
    world.end_request(0, first, done(b"accepted"));
    world.run(TimeSpan::from_millis(200));
    assert_eq!(
        world.decision(1, repeats),
        Some(&RecordDecision::Answer(b"accepted".to_vec()))
    );
}

#[test]
fn what_does_not_end_is_left_to_the_rules_with_its_place() {
    let mut world = pair(4);
    let first = world.send_request(0, "order-1", TIME_LEFT);
    world.run(TimeSpan::from_millis(2));
    world.send_attempt(0, first, 3);
    let sent = world.now;
    world.run(TimeSpan::from_millis(2));
    let repeats = world.send_request(1, "order-1", TIME_LEFT);
    world.run(TimeSpan::from_millis(260));
    assert_eq!(
        world.decision(1, repeats),
        Some(&RecordDecision::Proceed),
        "after a quarter of its time"
    );
    let earlier = world.members[1]
        .state
        .earlier_attempt(repeats)
        .expect("what was found binds it");
    assert_eq!(earlier.location, Some((ZoneId(0), CellId(3))));
    assert!(
        earlier.first_sent <= sent,
        "its window ends no later here than at the hosts"
    );
}

#[test]
fn a_claim_without_a_place_may_have_run_anywhere() {
    let mut world = pair(5);
    world.send_request(0, "order-1", TIME_LEFT);
    world.run(TimeSpan::from_millis(2));
    let repeats = world.send_request(1, "order-1", TIME_LEFT);
    world.run(TimeSpan::from_millis(300));
    let earlier = world.members[1]
        .state
        .earlier_attempt(repeats)
        .expect("the claim");
    assert_eq!(earlier.location, None);
    assert!(!RepeatGroup::Cell.covers(earlier.location, (ZoneId(0), CellId(0))));
}

#[test]
fn what_never_ran_leaves_no_record() {
    let mut world = pair(6);
    let first = world.send_request(0, "order-1", TIME_LEFT);
    world.run(TimeSpan::from_millis(2));
    world.end_request(0, first, Completion::NeverRan);
    world.run(TimeSpan::from_millis(2));
    let repeats = world.send_request(1, "order-1", TIME_LEFT);
    world.run(TimeSpan::from_millis(2));
    assert_eq!(world.decision(1, repeats), Some(&RecordDecision::Proceed));
    assert_eq!(world.members[1].state.earlier_attempt(repeats), None);
}

#[test]
fn the_record_is_written_but_its_answer_lost() {
    let mut world = pair(7);
    world.link.answers = false;
    let first = world.send_request(0, "order-1", TIME_LEFT);
    world.run(TimeSpan::from_millis(6));
    assert_eq!(
        world.decision(0, first),
        Some(&RecordDecision::Proceed),
        "it goes without, in time"
    );
    let decided_at = world.members[0].decided[&first][0].0;
    assert!(
        decided_at.since(world.now) == TimeSpan::ZERO
            && world.now.since(decided_at) <= TimeSpan::from_millis(3)
    );
    world.link.answers = true;
    let repeats = world.send_request(1, "order-1", TIME_LEFT);
    world.run(TimeSpan::from_millis(300));
    assert!(
        world.members[1].state.earlier_attempt(repeats).is_some(),
        "the claim stands all the same"
    );
}

#[test]
fn an_answer_that_comes_after_the_fall_back_binds_and_answers_nothing() {
    let mut world = pair(8);
    let first = world.send_request(0, "order-1", TIME_LEFT);
    world.run(TimeSpan::from_millis(2));
    world.send_attempt(0, first, 0);
    world.end_request(0, first, done(b"accepted"));
    world.run(TimeSpan::from_millis(2));
    world.link.back = TimeSpan::from_millis(30);
    let repeats = world.send_request(1, "order-1", TIME_LEFT);
    world.run(TimeSpan::from_millis(60));
    assert_eq!(world.decision(1, repeats), Some(&RecordDecision::Proceed));
    let earlier = world.members[1].state.earlier_attempt(repeats);
    assert!(earlier.is_some(), "it restricts the next attempt");
}

#[test]
fn of_two_who_come_at_once_one_has_the_key() {
    for seed in 0..20 {
        let mut world = pair(100 + seed);
        let ids = [0, 1].map(|nth| world.send_request(nth, "order-1", TIME_LEFT));
        world.run(TimeSpan::from_millis(300));
        let bound = [0, 1].map(|nth| world.members[nth].state.earlier_attempt(ids[nth]).is_some());
        assert_eq!(
            bound.iter().filter(|bound| **bound).count(),
            1,
            "seed {seed}"
        );
    }
}

#[test]
fn a_store_wiped_between_check_and_send_is_not_believed_on() {
    let mut world = pair(9);
    let first = world.send_request(0, "order-1", TIME_LEFT);
    world.run(TimeSpan::from_millis(2));
    world.stores[0].wipe();
    world.send_attempt(0, first, 0);
    world.run(TimeSpan::from_millis(2));
    assert_eq!(world.trust(0), Trust::Returning);
    let repeats = world.send_request(1, "order-1", TIME_LEFT);
    world.run(TimeSpan::from_millis(10));
    // It proceeds as it would without a store, and no request waits for a store that may have lost
    // state.
    assert_eq!(world.decision(1, repeats), Some(&RecordDecision::Proceed));
    assert_eq!(world.trust(1), Trust::Returning);
    assert!(
        world.members[1]
            .trust_changes
            .iter()
            .any(|(.., why)| *why == "epoch")
    );
}

#[test]
fn a_budget_goes_by_the_store_to_where_it_is_needed_and_back() {
    let mut world = World::new(3, 11);
    assert!(world.wait_until_trusted(TimeSpan::from_secs(20)));
    let run = |world: &mut World, needs: [f64; 3]| {
        for _ in 0..40 {
            (0..3).for_each(|nth| world.set_need(nth, needs[nth]));
            world.run(TimeSpan::from_millis(200));
        }
    };
    run(&mut world, [0.02, 0.02, 0.9]);
    assert!(world.part(2) > 0.7, "{}", world.part(2));
    // The first one needs its part again.
    run(&mut world, [0.5, 0.02, 0.9]);
    assert!(world.part(0) > 0.4, "{}", world.part(0));
    assert!(
        world.max_part_in_use <= 1.0 + 1e-6,
        "{}",
        world.max_part_in_use
    );
}

#[test]
fn a_store_that_is_silent_rolled_back_or_empty_leaves_floors_and_never_more_than_the_whole() {
    for fault in 0..3 {
        let mut world = World::new(3, 20 + fault);
        assert!(world.wait_until_trusted(TimeSpan::from_secs(20)));
        for tick in 0..120 {
            (0..3).for_each(|nth| world.set_need(nth, 0.9));
            match tick {
                30 => world.snapshot = Some(world.stores[0].clone()),
                40 if fault == 0 => world.link.answers = false,
                40 => world.restart_store(fault == 1, 0),
                70 => {
                    let floor = 0.25 / 3.0;
                    let all: Vec<f64> = (0..3).map(|nth| world.part(nth)).collect();
                    let floors = all.iter().all(|part| (part - floor).abs() < 1e-9);
                    assert!(fault > 0 || floors, "{all:?}");
                    world.link.answers = true;
                }
                _ => {}
            }
            world.run(TimeSpan::from_millis(100));
        }
        assert!(
            world.max_part_in_use <= 1.0 + 1e-6,
            "{fault}: {}",
            world.max_part_in_use
        );
        world.run(TimeSpan::from_secs(12));
        (0..3).for_each(|nth| world.set_need(nth, 0.9));
        let sum: f64 = (0..3).map(|nth| world.part(nth)).sum();
        assert!(sum > 0.8, "{fault}: {sum} is in use again");
    }
}

#[test]
fn a_store_whose_clock_is_half_a_second_off_bends_no_window() {
    for ahead in [-500, 500] {
        let mut world = World::new(2, 13);
        world.restart_store(false, ahead);
        assert!(world.wait_until_trusted(TimeSpan::from_secs(20)));
        let first = world.send_request(0, "order-1", TIME_LEFT);
        world.run(TimeSpan::from_millis(2));
        world.send_attempt(0, first, 0);
        let sent = world.now;
        world.run(TimeSpan::from_millis(2));
        let repeats = world.send_request(1, "order-1", TIME_LEFT);
        world.run(TimeSpan::from_millis(300));
        let earlier = world.members[1]
            .state
            .earlier_attempt(repeats)
            .expect("found");
        assert!(
            earlier.first_sent <= sent
                && sent.since(earlier.first_sent) <= TimeSpan::from_millis(520)
        );
    }
}

#[test]
fn a_store_at_fifty_times_its_latency_holds_up_nobody() {
    let mut world = pair(14);
    world.link.back = TimeSpan::from_millis(15);
    let mut waits = Vec::new();
    for nth in 0..40 {
        let arrived_at = world.now;
        let id = world.send_request(0, &format!("order-{nth}"), TIME_LEFT);
        world.run(TimeSpan::from_millis(25));
        waits.push(world.members[0].decided[&id][0].0.since(arrived_at));
    }
    assert!(
        waits.iter().all(|wait| *wait <= WAIT + TimeSpan(100)),
        "{waits:?}"
    );
    assert!(
        waits[8..].iter().all(|wait| *wait == TimeSpan::ZERO),
        "it is doubted by then"
    );
    assert_eq!(world.trust(0), Trust::Doubtful);
    world.link = Link::GOOD;
    world.run(TimeSpan::from_secs(6));
    assert_eq!(world.trust(0), Trust::Together);
}

#[test]
fn a_silent_store_is_left_within_two_seconds() {
    let mut world = pair(15);
    world.link.paused = true;
    world.run(TimeSpan::from_secs(2));
    assert_eq!([0, 1].map(|nth| world.trust(nth)), [Trust::Alone; 2]);
    let arrived_at = world.now;
    let id = world.send_request(0, "order-1", TIME_LEFT);
    assert_eq!(
        world.members[0].decided[&id][0],
        (arrived_at, RecordDecision::Proceed)
    );
}

#[test]
fn a_window_that_ends_while_the_store_is_away_has_ended() {
    let mut world = pair(16);
    let first = world.send_request(0, "order-1", TIME_LEFT);
    world.run(TimeSpan::from_millis(2));
    world.send_attempt(0, first, 0);
    world.run(TimeSpan::from_millis(2));
    let sent = world.now;
    // The connections end, the data stays.
    world.link.reached = false;
    [0, 1].into_iter().for_each(|nth| world.disconnect(nth));
    world.run(TimeSpan::from_secs(3));
    world.link.reached = true;
    assert!(world.wait_until_trusted(TimeSpan::from_secs(12)));
    let repeats = world.send_request(1, "order-1", TIME_LEFT);
    world.run(TimeSpan::from_millis(300));
    if let Some(earlier) = world.members[1].state.earlier_attempt(repeats) {
        assert!(earlier.first_sent <= sent);
        assert!(
            world.now >= earlier.first_sent + TimeSpan::from_secs(2),
            "a window of two seconds is over"
        );
    }
}

#[test]
fn a_purge_known_only_by_the_store_reaches_who_starts_anew() {
    let mut world = pair(17);
    let (object, now) = (Some(ObjectId(99)), world.now);
    world.members[0]
        .state
        .on_purge(now, object, GroupId(0), TimeSpan::from_millis(50));
    world.run(TimeSpan::from_secs(2));
    world.restart(1);
    world.run(TimeSpan::from_secs(1));
    let purges = &world.members[1].purges;
    assert_eq!(purges.len(), 1, "told once");
    assert_eq!(purges[0].1, object);
    let at = purges[0].0.0 - purges[0].2.0;
    assert!(
        at + 50_000 >= now.0 && at <= now.0 + 5_000,
        "no earlier than it happened"
    );
}

#[test]
fn a_purge_of_the_same_object_later_is_another() {
    let mut world = pair(18);
    for _ in 0..2 {
        let now = world.now;
        world.members[0]
            .state
            .on_purge(now, Some(ObjectId(99)), GroupId(0), TimeSpan::ZERO);
        world.run(TimeSpan::from_secs(2));
    }
    assert_eq!(world.members[1].purges.len(), 2);
    assert_eq!(world.members[0].purges.len(), 0, "who knew it is not told");
}

#[test]
fn a_breaker_that_opened_is_a_hint_to_the_others_and_an_old_one_is_none() {
    let mut world = pair(19);
    let entry = HostEntry {
        host: HostId(5),
        cell: CellId(0),
        zone: ZoneId(0),
        kind: KindId(1),
        started: None,
        stamp: None,
        capacity: 1.0,
        state: HostState::Ready,
    };
    let now = world.now;
    world.members[0].state.on_breaker_opened(now, entry);
    world.run(TimeSpan::from_secs(1));
    assert_eq!(world.members[1].hints.len(), 1);
    assert!(world.members[0].hints.is_empty());
    world.run(TimeSpan::from_secs(6));
    world.restart(1);
    world.run(TimeSpan::from_secs(2));
    assert!(world.members[1].hints.is_empty());
}

#[test]
fn hundreds_do_not_fall_upon_a_store_that_is_back() {
    let mut world = World::new(60, 20);
    assert!(world.wait_until_trusted(TimeSpan::from_secs(20)));
    // Operations of all dispatchers in a tenth of a second on an idle day, averaged over five
    // seconds.
    let begun = world.now.0 / 100_000 + 1;
    world.run(TimeSpan::from_secs(5));
    let usual: u64 = world
        .ops_by_tenth
        .range(begun..)
        .map(|(_, &n)| n)
        .sum::<u64>()
        / 50;
    world.link.reached = false;
    world.restart_store(false, 0);
    world.run(TimeSpan::from_secs(3));
    world.link.reached = true;
    let unanswered = world.now.0 / 100_000;
    world.ops_by_tenth.clear();
    world.run(TimeSpan::from_secs(12));
    let most = world
        .ops_by_tenth
        .range(unanswered..)
        .map(|(_, &n)| n)
        .max()
        .unwrap_or(0);
    assert!(
        most <= 3 * usual,
        "{most} in a tenth of a second, {usual} usually"
    );
    assert!(world.wait_until_trusted(TimeSpan::from_secs(20)));
}

#[test]
fn a_flood_of_new_keys_costs_no_memory() {
    let mut world = pair(21);
    world.link.paused = true;
    for nth in 0..5_000 {
        let id = world.send_request(0, &format!("key-{nth}"), TIME_LEFT);
        world.end_request(0, id, Completion::Unknown);
    }
    let (records, pending, _) = world.members[0].state.tracked_counts();
    assert_eq!(records, 0);
    assert!(pending <= 1_024, "{pending}");
    assert!(world.members[0].state.counts().left_out > 0);
}

#[test]
fn a_store_without_memory_is_doubted_and_nobody_waits_for_it() {
    let mut world = pair(22);
    world.stores[0].most_keys = 0;
    for nth in 0..4 {
        let id = world.send_request(0, &format!("key-{nth}"), TIME_LEFT);
        world.run(TimeSpan::from_millis(2));
        assert_eq!(world.decision(0, id), Some(&RecordDecision::Proceed));
    }
    assert_eq!(world.trust(0), Trust::Doubtful);
    assert!(
        world.members[0]
            .trust_changes
            .iter()
            .any(|(.., why)| *why == "refused")
    );
}

#[test]
fn what_is_switched_off_asks_nothing() {
    let none = trailproxy_shared_store::decide::Rules {
        records: false,
        messages: false,
        hints: false,
        purges: false,
        ..rules()
    };
    let mut world = World::with_rules(1, 23, none);
    world.run(TimeSpan::from_secs(8));
    let before = world.members[0].state.counts().asked;
    let id = world.send_request(0, "order-1", TIME_LEFT);
    let now = world.now;
    world.members[0]
        .state
        .on_purge(now, None, GroupId(1), TimeSpan::ZERO);
    assert_eq!(world.decision(0, id), Some(&RecordDecision::Proceed));
    assert_eq!(world.members[0].state.counts().asked, before);
}
