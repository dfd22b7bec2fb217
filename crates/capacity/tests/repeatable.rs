//! The same seed gives the same figures, and another seed gives others.

use trailproxy::units::TimeSpan;
use trailproxy_capacity::description::Description;
use trailproxy_capacity::figures::PhaseFigures;
use trailproxy_capacity::fleet::member::Placement;
use trailproxy_capacity::phases::{Lengths, Phase, Setup};

const MEMBERS: usize = 20;
const REQUESTS_PER_S: f64 = 400.0;
const KEEP: TimeSpan = TimeSpan::from_secs(3);

fn run(phase: Phase, seed: u64) -> PhaseFigures {
    let mut description = Description::built_in().expect("the built-in description fits");
    description.demand.requests_per_s = REQUESTS_PER_S;
    description.demand.keep = KEEP;
    description.demand.purges_last = KEEP;
    let setup = Setup {
        description: &description,
        members: MEMBERS,
        lengths: Lengths::quick(),
        placement: Placement::FleetWide,
        planted: None,
        seed,
    };
    let fleet = setup.settled_fleet().expect("it settles");
    setup.run(phase, fleet).exact()
}

fn text(figures: &PhaseFigures) -> String {
    serde_json::to_string(figures).expect("figures are plain")
}

#[test]
fn every_phase_gives_the_same_figures_for_the_same_seed() {
    for phase in [Phase::Target, Phase::MachineLost, Phase::RegionCut] {
        let (first, second) = (run(phase, 7), run(phase, 7));
        assert_eq!(text(&first), text(&second));
        assert_ne!(text(&first), text(&run(phase, 8)));
    }
}

#[test]
fn under_the_full_load_no_key_runs_twice_and_no_budget_is_overrun() {
    let figures = run(Phase::Target, 3);
    let keyed = figures.keyed.expect("keyed requests came");
    let requests: u64 = keyed.outcomes.values().map(|of| of.requests).sum();
    assert!(requests > 1_000, "{requests}");
    assert_eq!(keyed.forbidden_repeats, 0);
    assert_eq!(figures.budget_overruns, Some(0));
    let purges = figures.purges.expect("purges came");
    assert!(purges.finished > 10 && purges.unfinished == 0, "{purges:?}");
}

#[test]
fn every_disturbance_is_over_in_time() {
    let disturbances = [
        Phase::MachineLost,
        Phase::RackLost,
        Phase::ZoneLost,
        Phase::RollingRestart,
        Phase::AllRestart,
        Phase::RegionCut,
    ];
    for phase in disturbances {
        let figures = run(phase, 5);
        assert!(!figures.never_settled, "{}", figures.phase);
    }
}
