//! Members whose wall clocks disagree share state like any others.

mod world;

use trailproxy::units::*;
use trailproxy_peers::decide::clocks::SenderClocks;
use trailproxy_peers::decide::facts::{
    Claim, ClaimLocation, Fact, ListedState, Slot, Stage, Token,
};
use trailproxy_peers::decide::locality::{Locality, PeerZoneId};
use trailproxy_peers::decide::messages::{
    BootId, Completeness, InquiryId, Message, MessagePart, PeerId, TimeRange,
};
use trailproxy_peers::decide::{PeerState, PeersSettings};
use world::*;

const SECOND: TimeSpan = TimeSpan::from_secs(1);
/// By how much clocks are ahead or behind, in milliseconds.
const AMOUNTS_MS: [i64; 8] = [
    900, 1_000, 2_000, 3_600_000, -900, -1_000, -2_000, -3_600_000,
];
/// A fleet that starts as a whole is in sync when nothing older can be missing.
const MAX_TIME_TO_SYNC: TimeSpan = TimeSpan::from_secs(60);
/// Every record from before the start has expired.
const TIME_TO_SYNC: TimeSpan = TimeSpan::from_secs(14);
/// Hosts do not recognise a repeat after this time.
const REPEAT_DELAY: TimeSpan = TimeSpan(WINDOW.0 + DEADLINE.0 + 100_000);

/// Starts these nodes again with clocks that are ahead.
fn restart_with_clocks(world: &mut World, nodes: &[usize], ahead_ms: i64) {
    for &node in nodes {
        world.kill(node);
        world.nodes[node].clock_ahead_us = ahead_ms * 1_000;
        world.start(node);
    }
}

/// Sends requests at one member and the same keys at another one, with clocks that differ.
fn request_and_repeat(world: &mut World, keys: std::ops::Range<u64>) {
    let members = world.nodes.len() as u64;
    for key in keys.clone() {
        world.request((key % members) as usize, key);
        world.run(TimeSpan::from_millis(20));
    }
    world.run(REPEAT_DELAY);
    for key in keys {
        world.request(((key + 1) % members) as usize, key);
        world.request(((key + 2) % members) as usize, key);
        world.run(TimeSpan::from_millis(20));
    }
    world.run(SECOND);
}

/// Guards against members that do not hear each other because of their wall clocks, so that a
/// repeat at another member runs twice.
#[test]
fn repeats_are_recognised_whatever_the_wall_clocks_show() {
    let groups: [(usize, &[usize]); 4] = [(5, &[1]), (5, &[3, 4]), (4, &[0, 2]), (2, &[1])];
    for ahead_ms in AMOUNTS_MS {
        for (members, ahead) in groups {
            for seed in 0..10 {
                let mut world = World::new(members, seed);
                restart_with_clocks(&mut world, ahead, ahead_ms);
                let context = format!("{ahead:?} of {members} by {ahead_ms} ms, seed {seed}");
                let took = world.run_until(TimeSpan::from_secs(10), |world| world.agrees());
                assert!(took.is_some(), "one group after ten seconds: {context}");
                let took = world.run_until(MAX_TIME_TO_SYNC, |world| world.all_in_sync());
                assert!(took.is_some(), "all in sync: {context}");
                request_and_repeat(&mut world, 0..20);
                assert_eq!(world.observed.sent.len(), 20, "{context}");
                assert_eq!(world.pairs(|_, _| true).len(), 0, "{context}");
            }
        }
    }
}

/// Guards against a member that takes no part, or whose former process is taken for it, after the
/// clock of its machine was stepped and it was started again.
#[test]
fn a_member_started_again_with_a_stepped_clock_catches_up() {
    for ahead_ms in AMOUNTS_MS {
        for seed in 0..10 {
            let record_retention = TimeSpan::from_secs(40);
            let with_retention = PeersSettings {
                record_retention,
                ..settings()
            };
            let mut world = World::with_settings(5, seed, with_retention);
            world.run(TimeSpan::from_secs(50));
            for key in 0..10 {
                world.request((key % 5) as usize, key);
            }
            world.run(SECOND);
            let context = format!("by {ahead_ms} ms, seed {seed}");
            for node in 0..4 {
                restart_with_clocks(&mut world, &[node], ahead_ms);
                let took = world.run_until(TimeSpan::from_secs(6), |world| {
                    world.agrees() && world.all_in_sync()
                });
                assert!(took.is_some(), "{node} takes part again: {context}");
            }
            for key in 0..10 {
                world.request(((key + 2) % 5) as usize, key);
                world.run(TimeSpan::from_millis(100));
            }
            world.run(SECOND);
            let counts = (world.observed.sent.len(), world.observed.answered);
            assert_eq!(counts, (10, 10), "{context}");
        }
    }
}

/// Guards against a partner in another zone that waits for the echo of a stamp of its former
/// process, which had a later clock.
#[test]
fn zones_prove_new_keys_after_a_member_returns_with_an_earlier_clock() {
    let name = |zone: usize| format!("z{zone}");
    let zones: Vec<PeerZoneId> = (0..3).map(|n| PeerZoneId::of_name(&name(n))).collect();
    for ahead_ms in AMOUNTS_MS {
        let mut world = World::with_localities(9, 3, settings(), zones.clone(), |node| {
            let zone = name(node % 3);
            Some(Locality::of_names(&zone, &zone, "r"))
        });
        world.run(TIME_TO_SYNC);
        restart_with_clocks(&mut world, &[0, 3, 6, 1], ahead_ms);
        world.run(TIME_TO_SYNC);
        for node in 0..9 {
            world.request(node, node as u64);
            world.run(TimeSpan::from_millis(100));
        }
        let granted = world.observed.sent.iter().filter(|sent| sent.granted);
        assert_eq!(granted.count(), 9, "clocks ahead by {ahead_ms} ms");
    }
}

/// Guards against purges that are dropped because the wall clock of a member is not the journal
/// service's, and against purges that are passed on for ever.
#[test]
fn purges_reach_members_with_wrong_clocks_and_expire() {
    for ahead_ms in AMOUNTS_MS {
        let mut world = World::new(5, 4);
        restart_with_clocks(&mut world, &[1, 2], ahead_ms);
        world.run(TIME_TO_SYNC);
        world.purge(1, 8);
        world.purge(3, 9);
        world.run(TimeSpan::from_secs(2));
        for node in [0, 1, 2, 3, 4] {
            for (object, origin) in [(8, 1), (9, 3)] {
                let known = node == origin || world.observed.purges.contains(&(node, object));
                assert!(known, "{object} at {node}, {ahead_ms} ms ahead");
            }
        }
        let held = |world: &World| -> usize {
            let peers = world.nodes.iter().filter_map(|node| node.peers.as_ref());
            peers.map(|peers| peers.facts().common_count()).sum()
        };
        assert_eq!(held(&world), 10);
        world.run(settings().purge_retention + TimeSpan::from_secs(5));
        assert_eq!(held(&world), 0, "{ahead_ms} ms ahead");
    }
}

/// Guards against a message that waited while its reader was paused and is taken for the first one
/// of a clock that is behind.
#[test]
fn a_message_from_before_a_pause_tells_no_clock() {
    let mut world = World::new(3, 5);
    world.run(TIME_TO_SYNC);
    let outdated = |world: &World| {
        let peers = world.nodes[0].peers.as_ref().expect("up");
        peers.counts().outdated
    };
    world.pause(0, true);
    world.run(TimeSpan::from_secs(20));
    world.pause(0, false);
    let before = outdated(&world);
    let (from, boot_id, incarnation) = (PeerId(77), BootId(1), 0);
    let stamp = (world.clock(0) - TimeSpan::from_secs(15)).0;
    let parts = vec![MessagePart::MembersRequest];
    let message = Message {
        from,
        boot_id,
        incarnation,
        stamp,
        parts,
    };
    let address = world.nodes[2].address;
    world.inject(0, address, message);
    assert_eq!(outdated(&world), before + 1);
    world.run(TIME_TO_SYNC);
    assert_ne!(
        world.nodes[0].peers.as_ref().map(|peers| peers.state()),
        Some(PeerState::Alone)
    );
}

/// One part of each kind that carries timestamps, all of them `at`, and a purge with the journal service's stamp.
fn parts_with_timestamps(at: Timestamp) -> Vec<MessagePart> {
    let at = at.0;
    let (inquiry_id, key, slot) = (InquiryId(1), 7, Slot(3));
    let claim = Claim {
        token: Token(20),
        at,
        stage: Stage::Sent,
        location: ClaimLocation::Anywhere,
        body: None,
    };
    let claims = vec![claim.clone()];
    let record = Fact::Record {
        key,
        claims: claims.clone(),
    };
    let host = Fact::Host {
        host: 1,
        started: 2,
        journal_position: 3,
        listed: ListedState::Gone,
        at,
    };
    let purge = Fact::Purge {
        object: None,
        group: 4,
        at: START_TIME.0,
    };
    let facts = vec![record, host, purge];
    let range = TimeRange {
        from: at,
        until: at,
    };
    vec![
        MessagePart::BreakerOpened {
            host: 1,
            started: 2,
            at,
        },
        MessagePart::Gossip(facts.clone()),
        MessagePart::Store(inquiry_id, facts.clone()),
        MessagePart::Claim {
            inquiry_id,
            key,
            claim: Some(claim.clone()),
        },
        MessagePart::ClaimInZone {
            inquiry_id,
            key,
            claim: Some(claim),
        },
        MessagePart::ClaimStatus {
            inquiry_id,
            sure: true,
            claims,
        },
        MessagePart::Page {
            slot,
            after: None,
            facts,
            end: true,
            completeness: Completeness::Complete,
        },
        MessagePart::ChecksumsInRange(range, vec![(slot, 5)]),
    ]
}

/// Guards against a part whose timestamps are read by the wrong clock, among them the range over which two members
/// compare copies: they would fetch them again and again.
#[test]
fn every_timestamp_in_a_message_is_converted() {
    let hour = TimeSpan::from_secs(3_600);
    for (stamp, at) in [
        (START_TIME + hour, START_TIME + hour - SECOND),
        (START_TIME - hour, START_TIME - hour - SECOND),
    ] {
        let message = Message {
            from: PeerId(1),
            boot_id: BootId(1),
            incarnation: 0,
            stamp: stamp.0,
            parts: parts_with_timestamps(at),
        };
        let local = SenderClocks::default().to_local_time(START_TIME, message);
        let parts = local.expect("a message that took no time").parts;
        assert_eq!(parts, parts_with_timestamps(START_TIME - SECOND));
    }
}
