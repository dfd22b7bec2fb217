//! The state of the hosts as a day begins.

use crate::chance::mix;
use crate::scenario::Scenario;
use crate::traffic::{Stream, group_of};
use trailproxy::units::TimeSpan;
use trailproxy_standins::fleet::Fleet;
use trailproxy_standins::shape::{DAWN, Role};

/// Caches and parents that run when the day begins hold what was asked for lately.
pub fn warm_up(scenario: &Scenario, fleet: &mut Fleet, seed: u64) {
    let mut warm = scenario.clone();
    let seconds = 60.0;
    warm.length = TimeSpan::from_secs_f64(seconds);
    warm.bursts.clear();
    let roles = |role: Role| {
        scenario
            .shape
            .hosts
            .iter()
            .filter(move |host| host.role == role)
    };
    for nth in 0..warm.loads.len() {
        warm.loads[nth].from = DAWN;
        let track = &scenario.shape.tracks[usize::from(warm.loads[nth].track.0)];
        if track.is_write {
            continue;
        }
        let mut drawn = 0;
        for wish in Stream::new(&warm, nth, mix(seed, 9)) {
            drawn += 1;
            if drawn > 200_000 {
                break;
            }
            let part = (wish.object, wish.part);
            // A copy's age is drawn evenly over its fresh time: older ones would have been renewed.
            let age = track
                .fresh_for
                .map_or(0, |fresh| mix(wish.object.0, seed) % fresh.0.max(1));
            let minted = DAWN - TimeSpan(age);
            let group = group_of(wish.object);
            let order = |part: u32| {
                move |host: &&trailproxy_standins::shape::HostShape| {
                    mix(wish.object.0 ^ u64::from(part) << 52, host.id.0)
                }
            };
            let own = roles(Role::Cache)
                .filter(|host| host.zone == wish.zone)
                .max_by_key(order(wish.part));
            let parent = roles(Role::Parent).max_by_key(order(0));
            for host in own.into_iter().chain(parent) {
                fleet.hold(host.id, part, group, wish.kb, minted);
            }
        }
    }
}
