//! Descriptions that don't fit are told with file and field before anything begins.

use trailproxy_capacity::description::Description;
use trailproxy_capacity::layout::{Layout, Proximity};

const FLEET: &str = "fleet(members = 4)\n";
const REGION: &str = "region(name = \"north\")\n";
const ZONE: &str = "zone(name = \"north-1\", region = \"north\")\n";
const SITE: &str = "site(name = \"hall\", zone = \"north-1\", seats = 4)\n";
const DISTANCES: &str = "for kind in [\"site\", \"zone\", \"region\", \"between_regions\"]:\n    \
    distance(kind = kind, least_ms = 1, most_ms = 2)\n";

/// What is said of a description made of these parts.
fn refused(parts: &[&str]) -> String {
    let wrong = Description::parse("fleet.star", parts.concat());
    let wrong = wrong.expect_err("it does not fit");
    wrong.to_string()
}

fn assert_says(message: &str, parts: &[&str]) {
    assert!(message.starts_with("fleet.star:"), "{message}");
    for part in parts {
        assert!(message.contains(part), "{message} lacks {part}");
    }
}

#[test]
fn a_small_description_fits() {
    let parts = [FLEET, REGION, ZONE, SITE, DISTANCES];
    let description = Description::parse("fleet.star", parts.concat()).expect("it fits");
    assert_eq!(description.members, 4);
    assert_eq!(description.sites[0].zone, 0);
}

#[test]
fn a_zone_in_two_regions_is_told() {
    let second = "region(name = \"south\")\nzone(name = \"north-1\", region = \"south\")\n";
    let message = refused(&[FLEET, REGION, ZONE, second, SITE, DISTANCES]);
    assert_says(&message, &["fleet.star:5:", "zone", "name"]);
}

#[test]
fn a_site_without_a_zone_is_told() {
    let site = "site(name = \"hall\", seats = 4)\n";
    let message = refused(&[FLEET, REGION, ZONE, site, DISTANCES]);
    assert_says(&message, &["fleet.star:4:", "site", "zone"]);
}

#[test]
fn a_site_of_an_unknown_zone_is_told() {
    let site = "site(name = \"hall\", zone = \"north-9\", seats = 4)\n";
    let message = refused(&[FLEET, REGION, ZONE, site, DISTANCES]);
    assert_says(&message, &["fleet.star:4:", "zone", "north-9"]);
}

#[test]
fn a_zone_of_an_unknown_region_is_told() {
    let zone = "zone(name = \"north-1\", region = \"west\")\n";
    let message = refused(&[FLEET, REGION, zone, SITE, DISTANCES]);
    assert_says(&message, &["fleet.star:3:", "region", "west"]);
}

#[test]
fn a_rate_below_zero_is_told() {
    for field in ["purges_per_s", "requests_per_s", "keyed_share"] {
        let fleet = format!("fleet(members = 4, {field} = -1)\n");
        let message = refused(&[&fleet, REGION, ZONE, SITE, DISTANCES]);
        assert_says(&message, &["fleet.star:1:", field, "-1"]);
    }
}

#[test]
fn more_members_than_seats_are_told() {
    let message = refused(&["fleet(members = 5)\n", REGION, ZONE, SITE, DISTANCES]);
    assert_says(&message, &["fleet.star:1:", "members", "4 seats"]);
}

#[test]
fn an_unknown_field_and_an_unknown_section_are_told() {
    let fleet = "fleet(members = 4, colour = 1)\n";
    let message = refused(&[fleet, REGION, ZONE, SITE, DISTANCES]);
    assert_says(&message, &["fleet.star:1:", "colour"]);
    let message = refused(&[FLEET, REGION, ZONE, SITE, DISTANCES, "rack(name = \"a\")\n"]);
    assert_says(&message, &["fleet.star:7:", "rack"]);
}

#[test]
fn a_distance_that_is_missing_given_twice_or_turned_round_is_told() {
    let message = refused(&[
        FLEET,
        REGION,
        ZONE,
        SITE,
        "distance(kind = \"site\", least_ms = 1, most_ms = 2)\n",
    ]);
    assert_says(&message, &["distance of kind zone"]);
    let twice = "distance(kind = \"site\", least_ms = 1, most_ms = 2)\n".repeat(2);
    let message = refused(&[FLEET, REGION, ZONE, SITE, &twice]);
    assert_says(&message, &["fleet.star:6:", "kind"]);
    let turned = DISTANCES.replace("least_ms = 1", "least_ms = 3");
    let message = refused(&[FLEET, REGION, ZONE, SITE, &turned]);
    assert_says(&message, &["least_ms", "most_ms"]);
}

#[test]
fn repeats_that_end_before_they_begin_are_told() {
    let fleet = "fleet(members = 4, repeat_least_s = 3, repeat_most_s = 1)\n";
    let message = refused(&[fleet, REGION, ZONE, SITE, DISTANCES]);
    assert_says(&message, &["fleet.star:1:", "repeat_least_s"]);
}

#[test]
fn the_built_in_fleet_is_the_expected_one_at_any_size() {
    let description = Description::built_in().expect("it fits");
    let counts = (
        description.regions.len(),
        description.zones.len(),
        description.sites.len(),
    );
    assert_eq!(counts, (3, 6, 40));
    assert_eq!(description.members, 490);
    assert!((description.demand.keyed_per_s() - 32.865).abs() < 1e-9);
    for members in [20, 60, 490, 980] {
        let layout = Layout::new(&description, members);
        assert_eq!(layout.members.len(), members);
        let load: f64 = layout.members.iter().map(|member| member.load).sum();
        assert!((load / members as f64 - 1.0).abs() < 1e-9);
        let met = |proximity| (1..members).any(|other| layout.proximity(0, other) == proximity);
        assert!(met(Proximity::SameRegion) && met(Proximity::OtherRegion));
    }
    assert_eq!(Layout::new(&description, 490).sites(), 40);
}
