//! Short scenarios of dispatchers that share state, one for each kind of failure between them.

mod world;

use trailproxy::interface::{HostEntry, HostState};
use trailproxy::units::*;
use trailproxy_peers::decide::messages::{
    BootId, InquiryId, MemberStatus, MemberUpdate, Message, MessagePart, PeerId,
};
use trailproxy_peers::decide::{Action, PeerState, PeersSettings};
use world::*;

const SECOND: TimeSpan = TimeSpan::from_secs(1);

/// A fleet in which all members know each other and are in sync.
fn fleet(n: usize, seed: u64) -> World {
    let mut world = World::new(n, seed);
    world.run(TimeSpan::from_secs(10));
    assert!(world.agrees(), "all members know each other");
    assert!(
        world
            .run_until(TimeSpan::from_secs(60), |world| world.all_in_sync())
            .is_some()
    );
    world
}

#[test]
fn members_find_each_other_from_three_addresses() {
    for n in [3, 16] {
        let mut world = World::new(n, 1);
        let took = world.run_until(TimeSpan::from_secs(5), |world| world.agrees());
        assert!(
            took.is_some_and(|took| took < TimeSpan::from_secs(3)),
            "{n}: {took:?}"
        );
    }
}

#[test]
fn a_repeat_at_another_member_is_answered_from_the_record() {
    let mut world = fleet(3, 2);
    world.request(0, 7);
    world.run(TimeSpan::from_millis(30));
    // The second request waits while the first one runs, and receives its answer.
    world.request(1, 7);
    world.run(SECOND);
    assert_eq!((world.observed.sent.len(), world.observed.answered), (1, 1));
    world.request(2, 7);
    world.run(SECOND);
    assert_eq!((world.observed.sent.len(), world.observed.answered), (1, 2));
    assert!(world.observed.sent[0].granted);
}

/// Guards against a dispatcher that sends its own key again because the others answer too late.
#[test]
fn a_repeat_at_the_same_member_needs_no_answer_of_the_others() {
    let slow = LinkFault {
        mean_extra_delay: TimeSpan::from_secs(5),
        ..LinkFault::default()
    };
    let blocked = LinkFault {
        blocked: true,
        ..LinkFault::default()
    };
    for fault in [slow, blocked] {
        // Of five members some are replicas of a key and some are not.
        for node in 0..5 {
            let mut world = fleet(5, 2);
            world.set_all_links(fault);
            world.request(node, 7);
            world.run(WINDOW + DEADLINE + SECOND);
            world.request(node, 7);
            world.run(SECOND);
            let counts = (world.observed.sent.len(), world.observed.answered);
            assert_eq!(counts, (1, 1), "{fault:?} at {node}");
        }
    }
}

/// The same while the first request is still open, later than hosts recognise a repeat.
#[test]
fn a_repeat_at_the_same_member_is_not_sent_beside_the_first() {
    let mut world = fleet(5, 2);
    world.attempt_duration = WINDOW + DEADLINE + SECOND;
    world.set_all_links(LinkFault {
        blocked: true,
        ..LinkFault::default()
    });
    for node in 0..5 {
        world.request(node, 7 + node as u64);
    }
    world.run(WINDOW + DEADLINE);
    for node in 0..5 {
        world.request(node, 7 + node as u64);
    }
    world.run(TimeSpan::from_millis(500));
    assert_eq!(world.observed.sent.len(), 5);
}

/// How late a dispatcher on a busy machine looks at a deadline.
const LATE: TimeSpan = TimeSpan::from_millis(3);

/// Guards against a change that runs twice because a dispatcher that was not run in time takes its own delay for that of
/// the others.
#[test]
fn a_wait_that_is_ended_late_begins_anew() {
    // Of five members some are replicas of a key and some are not.
    for node in 0..5 {
        let mut world = fleet(5, 2);
        world.request((node + 1) % 5, 7);
        world.run(WINDOW + DEADLINE + SECOND);
        world.request(node, 7);
        world.with_peers(node, |peers, now| peers.advance(now + MAX_WAIT + LATE));
        world.run(SECOND);
        let counts = (world.observed.sent.len(), world.observed.answered);
        assert_eq!(counts, (1, 1), "at {node}");
    }
}

/// The same dispatcher does not wait longer than it would for another one that has the key.
#[test]
fn a_dispatcher_that_is_always_late_sends_after_a_quarter_of_the_time() {
    let quarter = TimeSpan::from_millis(250);
    let mut world = fleet(5, 2);
    world.set_all_links(LinkFault {
        blocked: true,
        ..LinkFault::default()
    });
    world.request(0, 7);
    let mut waited = TimeSpan::ZERO;
    while world.observed.sent.is_empty() {
        assert!(waited <= quarter, "{waited:?}");
        waited += MAX_WAIT + LATE;
        world.with_peers(0, |peers, now| peers.advance(now + waited));
    }
    assert!(waited > quarter, "{waited:?}");
}

#[test]
fn two_simultaneous_claims_lead_to_one_attempt() {
    for seed in 0..40 {
        let mut world = fleet(3, seed);
        world.request(0, 7);
        world.run(TimeSpan((seed % 5) * 100));
        world.request(1, 7);
        world.run(TimeSpan::from_secs(3));
        assert_eq!(world.repeats().len(), 0, "seed {seed}");
        assert!(!world.observed.sent.is_empty(), "seed {seed}: one is sent");
    }
}

#[test]
fn no_request_waits_longer_than_allowed_for_slow_members() {
    let mut world = fleet(5, 3);
    let slow = LinkFault {
        mean_extra_delay: TimeSpan::from_millis(400),
        ..LinkFault::default()
    };
    for n in 1..5 {
        world.link_faults.insert((n, 0), slow);
        world.link_faults.insert((0, n), slow);
    }
    for key in 0..20 {
        world.request(0, key);
    }
    world.run(SECOND);
    let longest = world
        .observed
        .held
        .iter()
        .max()
        .copied()
        .unwrap_or_default();
    assert!(
        longest <= MAX_WAIT + TimeSpan::from_millis(6),
        "{longest:?}"
    );
    assert_eq!(
        world.observed.sent.len(),
        20,
        "each is sent as without peers"
    );
}

#[test]
fn a_killed_member_is_declared_dead_and_a_leaving_one_is_gone_at_once() {
    let mut world = fleet(5, 4);
    world.kill(4);
    let took = world.run_until(TimeSpan::from_secs(10), |world| world.agrees());
    assert!(
        took.is_some_and(|took| took < TimeSpan::from_secs(6)),
        "{took:?}"
    );
    world.leave(3);
    let took = world.run_until(SECOND, |world| world.agrees());
    assert!(
        took.is_some_and(|took| took < TimeSpan::from_millis(200)),
        "{took:?}"
    );
}

#[test]
fn a_member_behind_one_blocked_link_is_not_declared_dead() {
    let mut world = fleet(5, 5);
    world.link_faults.insert(
        (0, 1),
        LinkFault {
            blocked: true,
            ..LinkFault::default()
        },
    );
    world.run(TimeSpan::from_secs(10));
    assert!(
        world.agrees(),
        "other members reach it, and it reaches them"
    );
}

#[test]
fn members_with_asymmetric_links_find_each_other_again() {
    let mut world = fleet(3, 6);
    for (from, to) in [(2, 0), (0, 1), (1, 2), (0, 2)] {
        world.link_faults.insert(
            (from, to),
            LinkFault {
                blocked: true,
                ..LinkFault::default()
            },
        );
    }
    world.request(2, 1);
    world.run(TimeSpan::from_secs(8));
    assert_eq!(world.observed.sent.len(), 1);
    world.link_faults.clear();
    let took = world.run_until(TimeSpan::from_secs(5), |world| {
        world.agrees() && world.differing_slots() == 0
    });
    assert!(took.is_some(), "they find each other again");
}

#[test]
fn a_partition_longer_than_the_retention_does_not_restore_expired_records() {
    let mut world = fleet(6, 7);
    for key in 0..20 {
        world.request(key as usize % 6, key);
    }
    world.run(SECOND);
    world.set_partition(|n| n < 3, true);
    // Both sides purge and send requests, some under the same keys.
    world.purge(0, 1);
    world.purge(5, 2);
    for key in 20..40 {
        world.request(0, key);
        world.request(5, key);
    }
    world.run(TimeSpan::from_secs(20));
    world.set_partition(|n| n < 3, false);
    let took = world.run_until(TimeSpan::from_secs(5), |world| {
        world.agrees() && world.differing_slots() == 0
    });
    assert!(took.is_some(), "the copies are the same again");
    for n in 0..6 {
        let peers = world.nodes[n].peers.as_ref().expect("up");
        assert_eq!(
            peers.facts().record_count(),
            0,
            "forgotten, and not brought back"
        );
    }
    for (n, object) in [(3, 1), (4, 1), (5, 1), (0, 2), (1, 2), (2, 2)] {
        assert!(
            world.observed.purges.contains(&(n, object)),
            "{n} knows of {object}"
        );
    }
}

#[test]
fn after_both_sides_ran_a_key_a_later_repeat_is_answered() {
    let mut world = fleet(6, 8);
    world.set_partition(|n| n < 3, true);
    world.run(TimeSpan::from_secs(6));
    world.request(0, 77);
    world.request(4, 77);
    world.run(SECOND);
    // Neither side has more than half of the members: none is granted, and both are sent as without
    // peers.
    assert!(
        world
            .observed
            .sent
            .iter()
            .filter(|sent| sent.granted)
            .count()
            <= 1
    );
    world.set_partition(|n| n < 3, false);
    world.run_until(TimeSpan::from_secs(5), |world| {
        world.agrees() && world.differing_slots() == 0
    });
    let before = world.observed.sent.len();
    world.request(2, 77);
    world.run(SECOND);
    assert_eq!(world.observed.sent.len(), before, "known to be done");
    assert_eq!(world.observed.answered, 1);
}

/// When a partition heals, only the larger side knows what it did. A member that was in the
/// minority must not confirm any claim until it has compared its copies.
#[test]
fn a_member_back_from_a_minority_partition_confirms_nothing_at_first() {
    for n in [3, 5, 9] {
        for seed in 0..12 {
            let mut world = fleet(n, seed);
            let few = n / 2;
            world.set_partition(|k| k < few, true);
            world.run(TimeSpan::from_secs(2));
            for key in 0..60 {
                world.request(n - 1 - key as usize % (n - few), key);
                world.run(TimeSpan::from_millis(5));
            }
            world.run(SECOND);
            world.set_partition(|k| k < few, false);
            for key in 0..60 {
                world.request(key as usize % few, key);
                world.run(TimeSpan::from_millis(7));
            }
            let repeats = world.repeats();
            assert!(repeats.is_empty(), "{n}, seed {seed}: {repeats:?}");
        }
    }
}

/// No member knows anything that others have not reported: the memories of all members together are
/// complete.
#[test]
fn members_that_were_all_isolated_are_in_sync_soon_after() {
    for n in [3, 5] {
        let mut world = fleet(n, 31);
        world.request(0, 7);
        world.run(SECOND);
        let blocked = LinkFault {
            blocked: true,
            ..LinkFault::default()
        };
        world.set_all_links(blocked);
        world.run(TimeSpan::from_secs(8));
        world.set_all_links(LinkFault::default());
        let took = world.run_until(TimeSpan::from_secs(10), |world| {
            world.agrees() && world.all_in_sync()
        });
        assert!(
            took.is_some_and(|took| took <= TimeSpan::from_secs(4)),
            "{n}: {took:?}"
        );
        world.request(1, 7);
        world.run(SECOND);
        assert_eq!((world.observed.sent.len(), world.observed.answered), (1, 1));
    }
}

#[test]
fn a_paused_member_detects_the_pause_before_it_sends_anything() {
    let mut world = fleet(5, 9);
    world.pause(2, true);
    world.run(TimeSpan::from_secs(30));
    world.pause(2, false);
    let peers = world.nodes[2].peers.as_ref().expect("up");
    assert_eq!(peers.counts().away, 1);
    assert_ne!(
        peers.state(),
        PeerState::InSync,
        "what it kept may have changed"
    );
    let took = world.run_until(TimeSpan::from_secs(5), |world| {
        world.agrees() && world.all_in_sync()
    });
    assert!(
        took.is_some_and(|took| took <= TimeSpan::from_secs(3)),
        "{took:?}"
    );
}

#[test]
fn a_member_paused_during_synchronisation_continues_it() {
    let mut world = fleet(4, 10);
    for key in 0..3_000 {
        world.request(key as usize % 4, key);
        if key % 100 == 0 {
            world.run(TimeSpan::from_millis(20));
        }
    }
    world.run(SECOND);
    world.kill(3);
    world.start(3);
    world.run(TimeSpan::from_millis(60));
    world.pause(3, true);
    world.run(TimeSpan::from_secs(3));
    world.pause(3, false);
    let took = world.run_until(TimeSpan::from_secs(5), |world| {
        world.agrees() && world.all_in_sync()
    });
    assert!(took.is_some(), "in sync at last");
    assert_eq!(world.differing_slots(), 0);
}

#[test]
fn members_that_all_restart_at_once_serve_and_get_in_sync_in_time() {
    let mut world = fleet(5, 11);
    (0..5).for_each(|n| world.kill(n));
    (0..5).for_each(|n| world.start(n));
    for key in 0..10 {
        world.request(key as usize % 5, key);
    }
    world.run(SECOND);
    assert_eq!(world.observed.sent.len(), 10, "no request waits");
    assert!(!world.all_in_sync(), "what was before may be missing");
    assert!(
        world
            .run_until(TimeSpan::from_secs(60), |world| world.all_in_sync())
            .is_some()
    );
}

#[test]
fn a_rolling_restart_loses_nothing() {
    let record_retention = TimeSpan::from_secs(60);
    let mut world = World::with_settings(
        5,
        12,
        PeersSettings {
            record_retention,
            ..settings()
        },
    );
    world.run(TimeSpan::from_secs(70));
    world.request(0, 7);
    world.purge(0, 9);
    world.run(SECOND);
    for n in 0..5 {
        world.kill(n);
        world.run(TimeSpan::from_millis(200));
        world.start(n);
        let took = world.run_until(TimeSpan::from_secs(5), |world| world.all_in_sync());
        assert!(
            took.is_some_and(|took| took <= TimeSpan::from_secs(2)),
            "{n} has caught up: {took:?}"
        );
    }
    world.request(3, 7);
    world.run(SECOND);
    assert_eq!(
        (world.observed.sent.len(), world.observed.answered),
        (1, 1),
        "the record outlived every process"
    );
}

#[test]
fn of_two_processes_with_one_name_the_later_one_keeps_it() {
    let mut world = World::new(4, 13);
    world.nodes[3].id = world.nodes[2].id;
    world.kill(3);
    world.run(TimeSpan::from_secs(6));
    world.start(3);
    world.run(TimeSpan::from_secs(6));
    let state = |world: &World, n: usize| world.nodes[n].peers.as_ref().map(|peers| peers.state());
    assert_eq!(state(&world, 2), Some(PeerState::Superseded));
    assert_ne!(state(&world, 3), Some(PeerState::Superseded));
    // The superseded process still serves requests.
    world.request(2, 5);
    world.run(SECOND);
    assert_eq!(world.observed.sent.len(), 1);
}

#[test]
fn clocks_half_a_second_or_an_hour_off_or_fast_make_no_difference() {
    let mut world = World::new(4, 14);
    for (node, ahead_us) in [(1, 500_000), (3, 3_600_000_000)] {
        world.kill(node);
        world.nodes[node].clock_ahead_us = ahead_us;
        world.start(node);
    }
    world.nodes[2].clock_drift = 0.01;
    let took = world.run_until(TimeSpan::from_secs(60), |world| {
        world.agrees() && world.all_in_sync()
    });
    assert!(took.is_some());
    for key in 0..40 {
        for node in [1, 2, 3] {
            world.request(node, key);
            world.run(TimeSpan::from_millis(100));
        }
    }
    assert_eq!(world.repeats().len(), 0);
    assert_eq!(world.observed.sent.len(), 40);
    let others = world.nodes[0].peers.as_ref().expect("up");
    assert!(
        others.members().is_reached(world.nodes[3].id),
        "a member with a far off clock is heard"
    );
    world.request(3, 99);
    world.run(SECOND);
    assert!(world.observed.sent.last().is_some_and(|sent| sent.granted));
}

#[test]
fn a_drain_known_to_one_member_restricts_the_host_at_the_others() {
    let mut world = fleet(3, 15);
    let entry = |state, started| HostEntry {
        host: HostId(5),
        cell: CellId(0),
        zone: ZoneId(0),
        kind: KindId(0),
        started,
        stamp: started,
        capacity: 1.0,
        state,
    };
    for n in 0..3 {
        world.with_peers(n, |peers, now| {
            peers.on_host_list(now, &[entry(HostState::Ready, None)], 10)
        });
    }
    world.with_peers(0, |peers, now| {
        peers.on_host_list(now, &[entry(HostState::Draining, None)], 11)
    });
    world.run(SECOND);
    assert_eq!(world.observed.restricted.get(&(2, 5)), Some(&true));
    // The own list catches up, and a later journal position reports the host as ready again.
    world.with_peers(2, |peers, now| {
        peers.on_host_list(now, &[entry(HostState::Ready, None)], 12)
    });
    world.run(TimeSpan::from_secs(2));
    let one = world.observed.restricted.get(&(1, 5));
    assert_eq!(one, Some(&true), "only the own list lifts a restriction");
    // A list that stays silent, or a journal with another history, does not restrict a host for
    // ever.
    world.run(TimeSpan::from_secs(31));
    assert_eq!(world.observed.restricted.get(&(1, 5)), Some(&false));
}

#[test]
fn hints_and_purges_reach_all_members_and_an_old_purge_reaches_none() {
    let mut world = fleet(16, 16);
    world.purge(3, 8);
    let host = HostEntry {
        host: HostId(6),
        cell: CellId(0),
        zone: ZoneId(0),
        kind: KindId(0),
        started: None,
        stamp: None,
        capacity: 1.0,
        state: HostState::Ready,
    };
    world.with_peers(4, |peers, _| {
        peers.on_breaker_opened(START_TIME + TimeSpan::from_secs(70), host)
    });
    world.run(TimeSpan::from_secs(2));
    let knows = |world: &World, n: usize| world.observed.purges.contains(&(n, 8));
    assert!(
        (0..16).filter(|&n| n != 3).all(|n| knows(&world, n)),
        "{:?}",
        world.observed.purges
    );
    world.with_peers(5, |peers, now| {
        let long_past = now - TimeSpan::from_secs(200);
        peers.on_purge(now, Some(ObjectId(1)), GroupId(0), long_past);
    });
    world.run(TimeSpan::from_secs(2));
    assert!(!world.observed.purges.iter().any(|&(_, object)| object == 1));
}

#[test]
fn many_keys_use_bounded_memory_and_old_records_stay() {
    let mut world = fleet(3, 17);
    world.request(1, 1);
    world.run(SECOND);
    for key in 1_000..9_000 {
        world.request(0, key);
    }
    world.run(TimeSpan::from_millis(500));
    let (own, asking, owed, _) = world.nodes[0].peers.as_ref().expect("up").pending_counts();
    assert!(
        own <= 8_000 && asking <= 2_048 && owed <= 8_192,
        "{own} {asking} {owed}"
    );
    world.request(2, 1);
    world.run(SECOND);
    let ones = world.observed.sent.iter().filter(|sent| sent.key == 1);
    assert_eq!(
        ones.count(),
        1,
        "no old record was dropped for the new ones"
    );
}

#[test]
fn false_reports_of_a_faulty_peer_permit_nothing() {
    let mut world = fleet(3, 18);
    world.request(0, 7);
    world.run(SECOND);
    // It reports that all members are dead, and uses an invented member.
    let lies = |now: Timestamp, parts| Message {
        from: PeerId(99),
        boot_id: BootId(1),
        incarnation: 0,
        stamp: now.0,
        parts,
    };
    let from = trailproxy_peers::decide::messages::Address {
        ip: [127, 9, 9, 9],
        port: 1,
    };
    for n in 0..3 {
        let updates = (0..3).map(|m| {
            let member = world.nodes[m].peers.as_ref().expect("up").members().own();
            MemberUpdate {
                status: MemberStatus::Dead,
                ..*member
            }
        });
        let updates = updates.collect();
        let message = lies(world.now, vec![MessagePart::MemberUpdates(updates)]);
        world.inject(n, from, message);
    }
    let took = world.run_until(TimeSpan::from_secs(5), |world| {
        world.nodes[0]
            .peers
            .as_ref()
            .is_some_and(|peers| (1..3).all(|m| peers.members().is_reached(world.nodes[m].id)))
    });
    assert!(
        took.is_some_and(|took| took < TimeSpan::from_secs(3)),
        "they refute the report: {took:?}"
    );
    world.request(1, 7);
    world.run(SECOND);
    assert_eq!(
        world
            .observed
            .sent
            .iter()
            .filter(|sent| sent.key == 7)
            .count(),
        1
    );
}

#[test]
fn unconfirmed_requests_are_refused_if_the_operator_says_so() {
    let refuse_unconfirmed = true;
    let mut world = World::with_settings(
        6,
        19,
        PeersSettings {
            refuse_unconfirmed,
            ..settings()
        },
    );
    world.run(TimeSpan::from_secs(45));
    world.set_partition(|n| n < 2, true);
    world.run(TimeSpan::from_secs(5));
    // The larger side can confirm the key, the smaller one can't.
    world.request(4, 1);
    world.run(SECOND);
    world.request(0, 1);
    world.request(0, 2);
    world.run(SECOND);
    let sent: Vec<(usize, u64)> = world
        .observed
        .sent
        .iter()
        .map(|sent| (sent.node, sent.key))
        .collect();
    assert_eq!((sent, world.observed.refused), (vec![(4, 1)], 2));
    world.set_partition(|n| n < 2, false);
    world.run_until(TimeSpan::from_secs(5), |world| {
        world.agrees() && world.all_in_sync()
    });
    world.request(0, 2);
    world.run(SECOND);
    assert_eq!(
        world.observed.sent.len(),
        2,
        "the request is sent once it is confirmed"
    );
}

#[test]
fn a_member_that_is_not_a_replica_of_a_key_is_not_sure() {
    let mut world = fleet(9, 20);
    let asker = trailproxy_peers::decide::messages::Address {
        ip: [127, 9, 9, 9],
        port: 1,
    };
    let mut sure = 0;
    for n in 0..9 {
        let message = Message {
            from: PeerId(99),
            boot_id: BootId(1),
            incarnation: 0,
            stamp: world.now.0,
            parts: vec![MessagePart::Claim {
                inquiry_id: InquiryId(1),
                key: 5 << 120,
                claim: None,
            }],
        };
        let now = world.clock(n);
        let peers = world.nodes[n].peers.as_mut().expect("up");
        peers.on_message(now, asker, message);
        let actions = peers.take_actions();
        let says = |action: &Action| match action {
            Action::Send(_, message) => message
                .parts
                .iter()
                .any(|part| matches!(part, MessagePart::ClaimStatus { sure: true, .. })),
            _ => false,
        };
        sure += usize::from(actions.iter().any(says));
    }
    // The asking member may be taken for one of the three replicas.
    assert!(
        (2..=3).contains(&sure),
        "the replicas of the key and no other member: {sure}"
    );
}

#[test]
fn a_replica_stores_the_claims_in_answers() {
    for seed in 0..10 {
        let mut world = World::new(3, 900 + seed);
        world.run(TimeSpan::from_secs(12));
        // The member that sends the request reaches only one of the two others.
        for link in [(0, 2), (2, 0)] {
            let blocked = true;
            world.link_faults.insert(
                link,
                LinkFault {
                    blocked,
                    ..LinkFault::default()
                },
            );
        }
        world.request(0, 5);
        world.run(TimeSpan::from_millis(70));
        world.request(2, 5);
        world.run(TimeSpan::from_millis(3));
        assert_eq!(
            world.observed.answered, 1,
            "seed {seed}: the member in between reports it"
        );
        [0, 1].into_iter().for_each(|node| world.kill(node));
        world.request(2, 5);
        world.run(TimeSpan::from_millis(100));
        assert_eq!(
            world.observed.answered, 2,
            "seed {seed}: it has stored the claim"
        );
    }
}
