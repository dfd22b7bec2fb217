//! The sections of the operator's file: accepted values, and positions in errors.

use trailproxy::units::*;
use trailproxy_operator::{Bounds, read};
use trailproxy_zones::decide::config::{Names, ZonesConfig};
use trailproxy_zones_tools::sections::{KINDS, zones_config};

fn names() -> Names {
    let owned = |all: &[&str]| all.iter().map(|&name| name.to_owned()).collect();
    Names {
        zones: owned(&["hub", "depot"]),
        classes: owned(&["video", "order"]),
    }
}

fn zones_config_of(text: &str) -> ZonesConfig {
    let zones_config_of =
        read("operator.star", text.into(), KINDS, Bounds::default()).expect("an acceptable file");
    zones_config(&zones_config_of).expect("a section that is switched on")
}

fn error_text(text: &str) -> String {
    let error = zones_config_of(text)
        .resolve(&names())
        .expect_err("an unacceptable value");
    error.to_string()
}

#[test]
fn a_script_becomes_rules_and_passes_through_json_unchanged() {
    let config = zones_config_of(
        "zones(report_s = 5, first = [\"video\"])\n\
         crossing(name = \"link\", into = \"depot\", kb_per_s = 1000, burst_kb = 250, reserve_kb_per_s = 100)\n",
    );
    let json = serde_json::to_string(&config).expect("JSON");
    let again: ZonesConfig = serde_json::from_str(&json).expect("a configuration");
    assert_eq!(again, config);
    let rules = again.resolve(&names()).expect("rules");
    assert_eq!(rules.priority_classes, vec![ClassId(0)]);
    let limit = &rules.limits[0];
    assert_eq!(
        (limit.to, limit.from, limit.reserve),
        (ZoneId(1), None, 0.1)
    );
}

#[test]
fn complaints_point_at_the_field_and_tell_what_is_accepted() {
    let line = |rest: &str| format!("zones()\ncrossing(name = \"a\", {rest})\n");
    let all = [
        (
            line("into = \"attic\", kb_per_s = 9, burst_kb = 9"),
            "operator.star:2:22: section crossing, field into: found \"attic\", accepted: one of hub, depot",
        ),
        (
            line("into = \"depot\", kb_per_s = 9, burst_kb = 9, largest_kb = 19"),
            "operator.star:2:66: section crossing, field largest_kb: found 19, accepted: 18 or less",
        ),
        (
            line("into = \"depot\", kb_per_s = 9, burst_kb = 9, reserve_kb_per_s = 10"),
            "operator.star:2:66: section crossing, field reserve_kb_per_s: found 10, accepted: 9 or less",
        ),
        (
            line("into = \"depot\", kb_per_s = 0, burst_kb = 9"),
            "operator.star:2:38: section crossing, field kb_per_s: found 0, accepted: a rate above 0",
        ),
        (
            line("into = \"depot\", out_of = \"depot\", kb_per_s = 9, burst_kb = 9"),
            "operator.star:2:38: section crossing, field out_of: found \"depot\", accepted: another zone",
        ),
        (
            "zones(first = [\"parcel\"])\n".into(),
            "operator.star:1:7: section zones, field first: found \"parcel\", accepted: names among video, order",
        ),
    ];
    for (text, wanted) in all {
        let found = error_text(&text);
        assert!(found.starts_with(wanted), "{found}\n{wanted}");
    }
}

#[test]
fn a_section_that_is_off_says_nothing() {
    let zones_config_of = read(
        "o.star",
        "zones(on = False)\n".into(),
        KINDS,
        Bounds::default(),
    )
    .expect("fits");
    assert_eq!(zones_config(&zones_config_of), None);
}
