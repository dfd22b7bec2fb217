//! Measurements in virtual time: how much of a budget is used, and how fast parts follow the needs.

#[allow(dead_code, reason = "the sweeps use the rest of it")]
mod world;

use trailproxy::units::*;
use world::*;

/// A simulation in which a few dispatchers need most, and all together more than the total.
fn overloaded_world(holders: usize, seed: u64) -> World {
    let tickets = (holders * 16).clamp(64, 1_024) as u16;
    let mut division = division(holders as u32);
    division.tickets = tickets;
    let mut world = World::with(holders, seed, division);
    let mut rng = fastrand::Rng::with_seed(seed);
    for need in &mut world.needs {
        *need = rng.f64() * 1.2 / holders as f64;
    }
    for nth in 0..holders.div_ceil(10) {
        world.needs[nth] = 0.6;
    }
    world.run(TimeSpan::from_secs(15));
    world
}

#[test]
#[ignore = "a measurement"]
fn how_much_of_a_budget_that_is_wanted_whole_is_used() {
    for holders in [3, 40, 300] {
        let (mut used, mut equal) = (Vec::new(), Vec::new());
        for seed in 0..3 {
            let mut world = overloaded_world(holders, seed);
            for _ in 0..10 {
                world.run(TimeSpan::from_millis(500));
                // As a fraction of what can be used at all.
                let max_in_use = world.needs.iter().sum::<f64>().min(1.0);
                used.push(world.used() / max_in_use);
                let share = 1.0 / holders as f64;
                let alone = world.needs.iter().map(|need| need.min(share));
                equal.push(alone.sum::<f64>() / max_in_use);
            }
            world.check_invariants("wanted whole");
        }
        let mean = |all: &[f64]| all.iter().sum::<f64>() / all.len() as f64;
        figure(&format!("used_ratio_{holders}"), mean(&used));
        figure(&format!("used_ratio_{holders}_equal_shares"), mean(&equal));
    }
}

#[test]
#[ignore = "a measurement"]
fn how_soon_a_dead_ones_part_is_taken_over_and_a_newcomer_has_one() {
    let (mut reclaimed, mut joined) = (Vec::new(), Vec::new());
    let until = |world: &mut World, check_invariants: &dyn Fn(&World) -> bool| {
        let begun = world.now;
        while !check_invariants(world) && world.now.since(begun) < TimeSpan::from_secs(30) {
            world.run(TimeSpan::from_millis(20));
        }
        world.now.since(begun).as_secs_f64()
    };
    for seed in 0..100 {
        let mut world = settled_world(5, seed);
        world.needs = vec![1.0; 5];
        world.run(TimeSpan::from_secs(6));
        world.holders[4] = None;
        // All but one or two of its tickets are in use again.
        reclaimed.push(until(&mut world, &|world| world.used() > 0.92));
        world.start(4);
        joined.push(until(&mut world, &|world| world.part(4) > 0.1));
        world.check_invariants("dead and back");
    }
    for (name, mut all) in [("reclaim_s", reclaimed), ("join_s", joined)] {
        all.sort_by(f64::total_cmp);
        figure(&format!("{name}_p50"), all[50]);
        figure(&format!("{name}_p99"), all[99]);
    }
}
