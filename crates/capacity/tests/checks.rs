//! What a fleet costs does not grow with it, and mistakes that make it grow are found.

use trailproxy_capacity::checks::{self, Findings};
use trailproxy_capacity::description::Description;
use trailproxy_capacity::fleet::planted::Planted;

const SEED: u64 = 1;

fn findings(planted: Option<Planted>) -> Findings {
    let description = Description::built_in().expect("the built-in description fits");
    checks::run(&description, planted, SEED).expect("all sizes settle")
}

#[test]
fn no_kind_of_message_grows_with_the_fleet_and_nothing_is_held_for_ever() {
    let findings = findings(None);
    assert!(!findings.rises.is_empty(), "nothing was sent");
    let growing: Vec<_> = findings.growing().collect();
    assert!(growing.is_empty(), "{growing:?}");
    assert!(!findings.state_grows(), "{}", findings.state_growth);
}

#[test]
fn a_member_that_spreads_purges_to_everybody_is_found() {
    let findings = findings(Some(Planted::SpreadToAll));
    let rumours = findings.growing().find(|of| of.kind == "rumours");
    assert!(rumours.is_some(), "{:?}", findings.rises);
}

#[test]
fn a_list_that_is_never_forgotten_is_found() {
    let findings = findings(Some(Planted::NeverForgotten));
    assert!(findings.state_grows(), "{}", findings.state_growth);
}
