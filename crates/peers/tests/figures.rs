//! Figures in virtual time, printed: what a large fleet costs at rest, and how long catching up takes.

mod world;

use trailproxy::units::*;
use trailproxy_peers::decide::PeersSettings;
use trailproxy_peers::decide::facts::{Claim, ClaimLocation, Fact, Stage, Token};
use trailproxy_peers::decide::messages::{InquiryId, Message, MessagePart};
use world::*;

/// Records put into a fleet, as a client of it would have them written.
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
        // As another of the fleet would put them there.
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
fn a_hundred_thousand_records_are_caught_up_with() {
    let keep = TimeSpan::from_secs(120);
    let mut world = World::with(
        3,
        1,
        PeersSettings {
            record_retention: keep,
            ..settings()
        },
    );
    world.run(TimeSpan::from_secs(130));
    fill(&mut world, 100_000);
    world.run(TimeSpan::from_secs(2));
    world.kill(2);
    world.start(2);
    let took = world
        .until(TimeSpan::from_secs(60), |world| world.whole())
        .expect("whole");
    let records = world.nodes[2]
        .peers
        .as_ref()
        .map(|peers| peers.facts().record_count());
    figure("catch_up_s", took.as_secs_f64());
    assert_eq!(records, Some(100_000));
}

/// Pages of this process that are in memory.
fn resident_mb() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0.0) * 4_096.0 / 1e6
}

#[test]
#[ignore = "a measurement"]
fn what_three_hundred_cost_at_rest_and_how_soon_they_are_one() {
    let before = resident_mb();
    let mut world = World::new(300, 1);
    let found = world.until(TimeSpan::from_secs(30), |world| world.agree());
    figure("found_s_at_300", found.expect("found").as_secs_f64());
    world.run(TimeSpan::from_secs(40));
    figure("core_mb_at_300", (resident_mb() - before) / 300.0);
    world.weighs = true;
    let (messages, bytes, begun) = (world.seen.messages, world.seen.bytes, world.now);
    world.run(TimeSpan::from_secs(5));
    let each = |n: u64| n as f64 / 300.0 / world.now.since(begun).as_secs_f64();
    figure("letters_per_s_at_300", each(world.seen.messages - messages));
    figure("kb_per_s_at_300", each(world.seen.bytes - bytes) / 1024.0);
    world.split(|n| n < 100, true);
    world.run(TimeSpan::from_secs(12));
    world.split(|n| n < 100, false);
    let healed = world.until(TimeSpan::from_secs(30), |world| world.agree());
    figure("heal_s_at_300", healed.expect("one").as_secs_f64());
}

/// From the heal until all copies are the same, with changes under way on both sides: the worst of a hundred.
#[test]
#[ignore = "a measurement"]
fn how_soon_copies_are_the_same_after_a_cut() {
    let (mut took, mut differing) = (Vec::new(), 0);
    for seed in 0..100 {
        let mut world = World::new(5, seed);
        world.run(TimeSpan::from_secs(12));
        let few = 1 + seed as usize % 2;
        world.split(|n| n < few, true);
        for key in 0..60 {
            world.ask(key as usize % 5, key);
            world.run(TimeSpan::from_millis(50));
        }
        world.split(|n| n < few, false);
        let same = world.until(TimeSpan::from_secs(20), |world| {
            world.agree() && world.differing() == 0
        });
        took.push(same.unwrap_or(TimeSpan::from_secs(20)).as_secs_f64());
        differing += world.differing();
    }
    took.sort_by(f64::total_cmp);
    figure("converge_s_p50", took[50]);
    figure("converge_s_p99", took[99]);
    figure("differing_at_end", differing as f64);
}
