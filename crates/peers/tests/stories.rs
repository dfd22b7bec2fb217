//! Short stories of dispatchers that hold state in common, one for each thing that goes wrong between them.

mod world;

use trailproxy::interface::{HostEntry, HostState};
use trailproxy::units::*;
use trailproxy_peers::decide::messages::{
    BootId, InquiryId, MemberStatus, MemberUpdate, Message, MessagePart, PeerId,
};
use trailproxy_peers::decide::{Action, PeerState, PeersSettings};
use world::*;

const SECOND: TimeSpan = TimeSpan::from_secs(1);

/// A fleet that has found itself, and lacks nothing.
fn fleet(n: usize, seed: u64) -> World {
    let mut world = World::new(n, seed);
    world.run(TimeSpan::from_secs(10));
    assert!(world.agree(), "all know all");
    assert!(
        world
            .until(TimeSpan::from_secs(60), |world| world.whole())
            .is_some()
    );
    world
}

#[test]
fn a_fleet_finds_itself_from_three_addresses() {
    for n in [3, 16] {
        let mut world = World::new(n, 1);
        let took = world.until(TimeSpan::from_secs(5), |world| world.agree());
        assert!(
            took.is_some_and(|took| took < TimeSpan::from_secs(3)),
            "{n}: {took:?}"
        );
    }
}

#[test]
fn a_change_sent_again_elsewhere_is_bound_or_answered_from_the_record() {
    let mut world = fleet(3, 2);
    world.ask(0, 7);
    world.run(TimeSpan::from_millis(30));
    // While it runs, the second waits for it, and is answered with its answer.
    world.ask(1, 7);
    world.run(SECOND);
    assert_eq!((world.seen.sent.len(), world.seen.answered), (1, 1));
    world.ask(2, 7);
    world.run(SECOND);
    assert_eq!((world.seen.sent.len(), world.seen.answered), (1, 2));
    assert!(world.seen.sent[0].granted);
}

#[test]
fn two_that_claim_at_the_same_moment_send_once() {
    for seed in 0..40 {
        let mut world = fleet(3, seed);
        world.ask(0, 7);
        world.run(TimeSpan((seed % 5) * 100));
        world.ask(1, 7);
        world.run(TimeSpan::from_secs(3));
        assert_eq!(world.repeats().len(), 0, "seed {seed}");
        assert!(!world.seen.sent.is_empty(), "seed {seed}: one goes");
    }
}

#[test]
fn no_access_waits_longer_than_it_may_whoever_is_slow_or_gone() {
    let mut world = fleet(5, 3);
    let slow = Way {
        slower: TimeSpan::from_millis(400),
        ..Way::default()
    };
    for n in 1..5 {
        world.ways.insert((n, 0), slow);
        world.ways.insert((0, n), slow);
    }
    for key in 0..20 {
        world.ask(0, key);
    }
    world.run(SECOND);
    let longest = world.seen.held.iter().max().copied().unwrap_or_default();
    assert!(longest <= WAIT + TimeSpan::from_millis(6), "{longest:?}");
    assert_eq!(world.seen.sent.len(), 20, "each goes alone");
}

#[test]
fn one_that_is_killed_is_given_up_and_one_that_leaves_is_gone_at_once() {
    let mut world = fleet(5, 4);
    world.kill(4);
    let took = world.until(TimeSpan::from_secs(10), |world| world.agree());
    assert!(
        took.is_some_and(|took| took < TimeSpan::from_secs(6)),
        "{took:?}"
    );
    world.leave(3);
    let took = world.until(SECOND, |world| world.agree());
    assert!(
        took.is_some_and(|took| took < TimeSpan::from_millis(200)),
        "{took:?}"
    );
}

#[test]
fn one_way_that_is_cut_is_no_death() {
    let mut world = fleet(5, 5);
    world.ways.insert(
        (0, 1),
        Way {
            cut: true,
            ..Way::default()
        },
    );
    world.run(TimeSpan::from_secs(10));
    assert!(world.agree(), "0 is heard by the others, and they by it");
}

#[test]
fn a_hears_b_and_b_hears_c_and_c_hears_none() {
    let mut world = fleet(3, 6);
    for (from, to) in [(2, 0), (0, 1), (1, 2), (0, 2)] {
        world.ways.insert(
            (from, to),
            Way {
                cut: true,
                ..Way::default()
            },
        );
    }
    world.ask(2, 1);
    world.run(TimeSpan::from_secs(8));
    assert_eq!(world.seen.sent.len(), 1);
    world.ways.clear();
    let took = world.until(TimeSpan::from_secs(5), |world| {
        world.agree() && world.differing() == 0
    });
    assert!(took.is_some(), "they find each other again");
}

#[test]
fn a_cut_that_outlasts_the_records_heals_without_bringing_them_back() {
    let mut world = fleet(6, 7);
    for key in 0..20 {
        world.ask(key as usize % 6, key);
    }
    world.run(SECOND);
    world.split(|n| n < 3, true);
    // Both sides purge, and hand off keys of their own and the same ones.
    world.purge(0, 1);
    world.purge(5, 2);
    for key in 20..40 {
        world.ask(0, key);
        world.ask(5, key);
    }
    world.run(TimeSpan::from_secs(20));
    world.split(|n| n < 3, false);
    let took = world.until(TimeSpan::from_secs(5), |world| {
        world.agree() && world.differing() == 0
    });
    assert!(took.is_some(), "one picture again");
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
            world.seen.purges.contains(&(n, object)),
            "{n} knows of {object}"
        );
    }
}

#[test]
fn both_sides_hand_off_the_same_key_and_the_heal_binds_what_comes_after() {
    let mut world = fleet(6, 8);
    world.split(|n| n < 3, true);
    world.run(TimeSpan::from_secs(6));
    world.ask(0, 77);
    world.ask(4, 77);
    world.run(SECOND);
    // Neither side is more than half: neither has leave, both go as they would alone.
    assert!(world.seen.sent.iter().filter(|sent| sent.granted).count() <= 1);
    world.split(|n| n < 3, false);
    world.until(TimeSpan::from_secs(5), |world| {
        world.agree() && world.differing() == 0
    });
    let before = world.seen.sent.len();
    world.ask(2, 77);
    world.run(SECOND);
    assert_eq!(world.seen.sent.len(), before, "known as done");
    assert_eq!(world.seen.answered, 1);
}

/// What the larger side did is known to nobody else at the moment when a cut heals: the one that was alone is sure of nothing.
#[test]
fn one_that_was_cut_off_is_sure_of_nothing_when_it_is_back() {
    for n in [3, 5, 9] {
        for seed in 0..12 {
            let mut world = fleet(n, seed);
            let few = n / 2;
            world.split(|k| k < few, true);
            world.run(TimeSpan::from_secs(2));
            for key in 0..60 {
                world.ask(n - 1 - key as usize % (n - few), key);
                world.run(TimeSpan::from_millis(5));
            }
            world.run(SECOND);
            world.split(|k| k < few, false);
            for key in 0..60 {
                world.ask(key as usize % few, key);
                world.run(TimeSpan::from_millis(7));
            }
            let repeats = world.repeats();
            assert!(repeats.is_empty(), "{n}, seed {seed}: {repeats:?}");
        }
    }
}

/// Nobody knows anything that the others have not told: what they remember together is all there is.
#[test]
fn all_cut_off_from_all_are_whole_soon_after_the_heal() {
    for n in [3, 5] {
        let mut world = fleet(n, 31);
        world.ask(0, 7);
        world.run(SECOND);
        let cut = Way {
            cut: true,
            ..Way::default()
        };
        world.every_way(cut);
        world.run(TimeSpan::from_secs(8));
        world.every_way(Way::default());
        let took = world.until(TimeSpan::from_secs(10), |world| {
            world.agree() && world.whole()
        });
        assert!(
            took.is_some_and(|took| took <= TimeSpan::from_secs(4)),
            "{n}: {took:?}"
        );
        world.ask(1, 7);
        world.run(SECOND);
        assert_eq!((world.seen.sent.len(), world.seen.answered), (1, 1));
    }
}

#[test]
fn one_that_slept_knows_it_before_it_says_anything() {
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
    let took = world.until(TimeSpan::from_secs(5), |world| {
        world.agree() && world.whole()
    });
    assert!(
        took.is_some_and(|took| took <= TimeSpan::from_secs(3)),
        "{took:?}"
    );
}

#[test]
fn one_that_sleeps_amid_its_catch_up_goes_on_with_it() {
    let mut world = fleet(4, 10);
    for key in 0..3_000 {
        world.ask(key as usize % 4, key);
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
    let took = world.until(TimeSpan::from_secs(5), |world| {
        world.agree() && world.whole()
    });
    assert!(took.is_some(), "whole in the end");
    assert_eq!(world.differing(), 0);
}

#[test]
fn all_restarted_at_once_serve_and_are_whole_when_nothing_older_can_be_missing() {
    let mut world = fleet(5, 11);
    (0..5).for_each(|n| world.kill(n));
    (0..5).for_each(|n| world.start(n));
    for key in 0..10 {
        world.ask(key as usize % 5, key);
    }
    world.run(SECOND);
    assert_eq!(world.seen.sent.len(), 10, "nobody waits for anybody");
    assert!(!world.whole(), "what was before may be missing");
    assert!(
        world
            .until(TimeSpan::from_secs(60), |world| world.whole())
            .is_some()
    );
}

#[test]
fn all_restarted_one_by_one_lose_nothing() {
    let keep = TimeSpan::from_secs(60);
    let mut world = World::with(
        5,
        12,
        PeersSettings {
            record_retention: keep,
            ..settings()
        },
    );
    world.run(TimeSpan::from_secs(70));
    world.ask(0, 7);
    world.purge(0, 9);
    world.run(SECOND);
    for n in 0..5 {
        world.kill(n);
        world.run(TimeSpan::from_millis(200));
        world.start(n);
        let took = world.until(TimeSpan::from_secs(5), |world| world.whole());
        assert!(
            took.is_some_and(|took| took <= TimeSpan::from_secs(2)),
            "{n} has caught up: {took:?}"
        );
    }
    world.ask(3, 7);
    world.run(SECOND);
    assert_eq!(
        (world.seen.sent.len(), world.seen.answered),
        (1, 1),
        "the record outlived all"
    );
}

#[test]
fn two_processes_under_one_name_leave_the_later_one_alone_with_it() {
    let mut world = World::new(4, 13);
    world.nodes[3].id = world.nodes[2].id;
    world.kill(3);
    world.run(TimeSpan::from_secs(6));
    world.start(3);
    world.run(TimeSpan::from_secs(6));
    let stands = |world: &World, n: usize| world.nodes[n].peers.as_ref().map(|peers| peers.state());
    assert_eq!(stands(&world, 2), Some(PeerState::Superseded));
    assert_ne!(stands(&world, 3), Some(PeerState::Superseded));
    // The quiet one serves on.
    world.ask(2, 5);
    world.run(SECOND);
    assert_eq!(world.seen.sent.len(), 1);
}

#[test]
fn a_clock_that_is_half_a_second_off_is_borne_and_one_that_is_far_off_not_listened_to() {
    let mut world = fleet(4, 14);
    world.nodes[1].ahead = 500_000;
    world.nodes[2].faster = 0.01;
    for key in 0..40 {
        world.ask(1, key);
        world.run(TimeSpan::from_millis(50));
        world.ask(2, key);
        world.run(TimeSpan::from_millis(200));
    }
    assert_eq!(world.repeats().len(), 0);
    assert_eq!(world.seen.sent.len(), 40);
    world.nodes[1].ahead = 20_000_000;
    world.run(TimeSpan::from_secs(8));
    let others = world.nodes[0].peers.as_ref().expect("up");
    assert!(others.counts().off_clock > 0);
    assert!(
        !others.members().is_reached(world.nodes[1].id),
        "as one that is not there"
    );
    world.ask(1, 99);
    world.run(SECOND);
    assert_eq!(world.seen.sent.len(), 41, "it serves alone");
}

#[test]
fn a_drain_and_a_fresh_start_that_one_has_heard_of_bind_the_others() {
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
    assert_eq!(world.seen.restricted.get(&(2, 5)), Some(&true));
    // The list comes at last, and a later place says that it is ready again.
    world.with_peers(2, |peers, now| {
        peers.on_host_list(now, &[entry(HostState::Ready, None)], 12)
    });
    world.run(TimeSpan::from_secs(2));
    let one = world.seen.restricted.get(&(1, 5));
    assert_eq!(
        one,
        Some(&true),
        "nobody takes a restriction back but the own list"
    );
    // A list that stays silent, or another history of the journal, holds nobody for ever.
    world.run(TimeSpan::from_secs(31));
    assert_eq!(world.seen.restricted.get(&(1, 5)), Some(&false));
}

#[test]
fn a_hint_and_a_purge_reach_all_and_an_old_purge_nobody() {
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
        peers.on_breaker_opened(DAWN + TimeSpan::from_secs(70), host)
    });
    world.run(TimeSpan::from_secs(2));
    let knows = |world: &World, n: usize| world.seen.purges.contains(&(n, 8));
    assert!(
        (0..16).filter(|&n| n != 3).all(|n| knows(&world, n)),
        "{:?}",
        world.seen.purges
    );
    world.with_peers(5, |peers, now| {
        let long_past = now - TimeSpan::from_secs(200);
        peers.on_purge(now, Some(ObjectId(1)), GroupId(0), long_past);
    });
    world.run(TimeSpan::from_secs(2));
    assert!(!world.seen.purges.iter().any(|&(_, object)| object == 1));
}

#[test]
fn a_flood_of_keys_costs_bounded_memory_and_old_records_stay() {
    let mut world = fleet(3, 17);
    world.ask(1, 1);
    world.run(SECOND);
    for key in 1_000..9_000 {
        world.ask(0, key);
    }
    world.run(TimeSpan::from_millis(500));
    let (own, asking, owed, _) = world.nodes[0].peers.as_ref().expect("up").pending_counts();
    assert!(
        own <= 8_000 && asking <= 2_048 && owed <= 8_192,
        "{own} {asking} {owed}"
    );
    world.ask(2, 1);
    world.run(SECOND);
    let ones = world.seen.sent.iter().filter(|sent| sent.key == 1);
    assert_eq!(ones.count(), 1, "nothing was forgotten for them");
}

#[test]
fn what_a_broken_peer_makes_up_allows_nobody_more() {
    let mut world = fleet(3, 18);
    world.ask(0, 7);
    world.run(SECOND);
    // It says that all are dead, that it is this one, and that the record never was.
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
    let took = world.until(TimeSpan::from_secs(5), |world| {
        world.nodes[0]
            .peers
            .as_ref()
            .is_some_and(|peers| (1..3).all(|m| peers.members().is_reached(world.nodes[m].id)))
    });
    assert!(
        took.is_some_and(|took| took < TimeSpan::from_secs(3)),
        "they say that they are well: {took:?}"
    );
    world.ask(1, 7);
    world.run(SECOND);
    assert_eq!(
        world.seen.sent.iter().filter(|sent| sent.key == 7).count(),
        1
    );
}

#[test]
fn where_the_operator_has_it_so_what_nobody_is_sure_about_is_refused() {
    let refuse = true;
    let mut world = World::with(
        6,
        19,
        PeersSettings {
            refuse_unconfirmed: refuse,
            ..settings()
        },
    );
    world.run(TimeSpan::from_secs(45));
    world.split(|n| n < 2, true);
    world.run(TimeSpan::from_secs(5));
    // The larger side knows; the smaller one can't.
    world.ask(4, 1);
    world.run(SECOND);
    world.ask(0, 1);
    world.ask(0, 2);
    world.run(SECOND);
    let went: Vec<(usize, u64)> = world
        .seen
        .sent
        .iter()
        .map(|sent| (sent.node, sent.key))
        .collect();
    assert_eq!((went, world.seen.refused), (vec![(4, 1)], 2));
    world.split(|n| n < 2, false);
    world.until(TimeSpan::from_secs(5), |world| {
        world.agree() && world.whole()
    });
    world.ask(0, 2);
    world.run(SECOND);
    assert_eq!(world.seen.sent.len(), 2, "it comes again when they know");
}

#[test]
fn one_that_is_asked_for_what_it_does_not_keep_is_not_sure() {
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
    // Whoever asks may be taken for one of the three.
    assert!(
        (2..=3).contains(&sure),
        "its keepers and nobody else: {sure}"
    );
}

#[test]
fn what_others_answer_is_kept_by_a_replica_that_was_not_told() {
    for seed in 0..10 {
        let mut world = World::new(3, 900 + seed);
        world.run(TimeSpan::from_secs(12));
        // The one that does it reaches one of the two others only.
        for way in [(0, 2), (2, 0)] {
            let cut = true;
            world.ways.insert(
                way,
                Way {
                    cut,
                    ..Way::default()
                },
            );
        }
        world.ask(0, 5);
        world.run(TimeSpan::from_millis(70));
        world.ask(2, 5);
        world.run(TimeSpan::from_millis(3));
        assert_eq!(
            world.seen.answered, 1,
            "seed {seed}: the one between tells it"
        );
        [0, 1].into_iter().for_each(|node| world.kill(node));
        world.ask(2, 5);
        world.run(TimeSpan::from_millis(100));
        assert_eq!(world.seen.answered, 2, "seed {seed}: it knows by itself");
    }
}
