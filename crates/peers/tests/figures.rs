//! Measurements in virtual time: the cost of a large fleet at rest, and the duration of
//! synchronisation.

mod world;

use trailproxy::units::*;
use trailproxy_peers::decide::PeersSettings;
use trailproxy_peers::decide::facts::{Claim, ClaimLocation, Fact, Stage, Token};
use trailproxy_peers::decide::messages::{InquiryId, Message, MessagePart};
use world::*;

/// Stores records in a fleet as if requests had written them.
fn fill(world: &mut World, records: u64) {
    let mut rng = fastrand::Rng::with_seed(3);
    let facts: Vec<Fact> = (0..records)
        .map(|n| Fact::Record {
            key: rng.u128(..),
            claims: vec![Claim {
                token: Token(100 + n),
                at: world.now.0,
                stage: Stage::Done,
                location: ClaimLocation::At(0, 0),
                body: None,
            }],
        })
        .collect();
    for n in 0..world.nodes.len() {
        // As another member would store them.
        let other = &world.nodes[(n + 1) % world.nodes.len()];
        let own = other.peers.as_ref().map(|peers| *peers.members().own());
        let own = own.expect("it is up");
        for piece in facts.chunks(500) {
            let message = Message {
                from: own.id,
                boot_id: own.boot_id,
                incarnation: own.incarnation,
                stamp: world.now.0,
                parts: vec![MessagePart::Store(InquiryId(1), piece.to_vec())],
            };
            world.inject(n, own.address, message);
        }
    }
}

#[test]
#[ignore = "a measurement"]
fn time_to_synchronise_a_hundred_thousand_records() {
    let record_retention = TimeSpan::from_secs(120);
    let mut world = World::with_settings(
        3,
        1,
        PeersSettings {
            record_retention,
            ..settings()
        },
    );
    world.run(TimeSpan::from_secs(130));
    fill(&mut world, 100_000);
    world.run(TimeSpan::from_secs(2));
    world.kill(2);
    world.start(2);
    let took = world
        .run_until(TimeSpan::from_secs(60), |world| world.all_in_sync())
        .expect("whole");
    let records = world.nodes[2]
        .peers
        .as_ref()
        .map(|peers| peers.facts().record_count());
    record_figure("catch_up_s", took.as_secs_f64());
    assert_eq!(records, Some(100_000));
}

/// The resident memory of this process.
fn resident_mb() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0.0) * 4_096.0 / 1e6
}

#[test]
#[ignore = "a measurement"]
fn cost_of_three_hundred_members_at_rest_and_time_to_agree() {
    let before = resident_mb();
    let mut world = World::new(300, 1);
    let found = world.run_until(TimeSpan::from_secs(30), |world| world.agrees());
    record_figure("found_s_at_300", found.expect("found").as_secs_f64());
    world.run(TimeSpan::from_secs(40));
    record_figure("core_mb_at_300", (resident_mb() - before) / 300.0);
    world.measures_bytes = true;
    let (messages, bytes, begun) = (world.observed.messages, world.observed.bytes, world.now);
    world.run(TimeSpan::from_secs(5));
    let each = |n: u64| n as f64 / 300.0 / world.now.since(begun).as_secs_f64();
    record_figure(
        "letters_per_s_at_300",
        each(world.observed.messages - messages),
    );
    record_figure(
        "kb_per_s_at_300",
        each(world.observed.bytes - bytes) / 1024.0,
    );
    world.set_partition(|n| n < 100, true);
    world.run(TimeSpan::from_secs(12));
    world.set_partition(|n| n < 100, false);
    let healed = world.run_until(TimeSpan::from_secs(30), |world| world.agrees());
    record_figure("heal_s_at_300", healed.expect("one").as_secs_f64());
}

/// The time from the end of a partition until all copies are the same, with changes in progress on
/// both sides, over a hundred seeds.
#[test]
#[ignore = "a measurement"]
fn time_until_copies_are_the_same_after_a_partition() {
    let (mut took, mut differing_slots) = (Vec::new(), 0);
    for seed in 0..100 {
        let mut world = World::new(5, seed);
        world.run(TimeSpan::from_secs(12));
        let few = 1 + seed as usize % 2;
        world.set_partition(|n| n < few, true);
        for key in 0..60 {
            world.request(key as usize % 5, key);
            world.run(TimeSpan::from_millis(50));
        }
        world.set_partition(|n| n < few, false);
        let same = world.run_until(TimeSpan::from_secs(20), |world| {
            world.agrees() && world.differing_slots() == 0
        });
        took.push(same.unwrap_or(TimeSpan::from_secs(20)).as_secs_f64());
        differing_slots += world.differing_slots();
    }
    took.sort_by(f64::total_cmp);
    record_figure("converge_s_p50", took[50]);
    record_figure("converge_s_p99", took[99]);
    record_figure("differing_at_end", differing_slots as f64);
}
