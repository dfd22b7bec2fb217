//! Replicas by zone: what a fleet with sites achieves, and that a dispatcher of a large fleet stays within its share.

use trailproxy::units::TimeSpan;
use trailproxy_capacity::description::Description;
use trailproxy_capacity::figures::PhaseFigures;
use trailproxy_capacity::fleet::member::Placement;
use trailproxy_capacity::phases::{Lengths, Phase, Setup};

const KEEP: TimeSpan = TimeSpan::from_secs(3);
/// What a dispatcher may send for control.
const LIMIT_KB_PER_S: f64 = 11.0;
/// Requests with a key that have to be certain within their wait, of clients near their earlier dispatcher.
const WANTED_CERTAIN: f64 = 0.99;

fn run(placement: Placement, members: usize, phase: Phase) -> PhaseFigures {
    let mut description = Description::built_in().expect("the built-in description fits");
    description.demand.keep = KEEP;
    description.demand.purges_last = KEEP;
    let setup = Setup {
        description: &description,
        members,
        lengths: Lengths::quick(),
        placement,
        planted: None,
        seed: 4,
    };
    let fleet = setup.settled_fleet().expect("it settles");
    setup.run(phase, fleet).exact()
}

#[test]
fn keyed_requests_are_certain_by_zone_and_not_fleet_wide() {
    const MEMBERS: usize = 40;
    let certain = |placement: Placement| {
        let figures = run(placement, MEMBERS, Phase::Keyed);
        let keyed = figures.keyed.expect("keyed requests came");
        let late = keyed.forbidden_repeats - keyed.early_repeats;
        assert_eq!(late, 0, "{placement:?}");
        keyed.certain_ratio_near
    };
    let (by_zone, fleet_wide) = (certain(Placement::ByZone), certain(Placement::FleetWide));
    assert!(by_zone > WANTED_CERTAIN, "{by_zone}");
    assert!(fleet_wide < WANTED_CERTAIN / 2.0, "{fleet_wide}");
}

#[test]
fn a_dispatcher_of_a_large_fleet_stays_within_its_share_at_rest() {
    // The expected fleet of 490 takes minutes to settle in a build for tests; it costs each less (docs/CAPACITY.md).
    const MEMBERS: usize = 120;
    let figures = run(Placement::ByZone, MEMBERS, Phase::Rest);
    let sent = figures.sent_kb_per_s;
    assert!(sent.mean > 0.0 && sent.mean < LIMIT_KB_PER_S, "{sent:?}");
}
