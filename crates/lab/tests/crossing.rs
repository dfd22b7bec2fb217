//! Traffic between zones in the model: the accounts agree with the links, budgets hold, and rises are told.

use trailproxy::interface::Effect;
use trailproxy::units::*;
use trailproxy_lab::crossing::{account_error, day_of, overrun, paired, scenario, told, with};
use trailproxy_lab::decide::baseline::Policy;
use trailproxy_lab::model;
use trailproxy_standins::shape::DAWN;
use trailproxy_zones::decide::rise::Reason;

const VIDEO: &str = include_str!("../../../scenarios/video.star");
const RISE: &str = include_str!("../../../scenarios/rise.star");
const DEPOT: ZoneId = ZoneId(1);

#[test]
fn the_accounts_of_all_dispatchers_agree_with_the_link_and_the_budget_holds() {
    let changes = [("SECONDS", "25".to_owned())];
    let [on, off] = paired("video.star", VIDEO, &changes, 3, 2, || {}).expect("it plays");
    for day in &on {
        assert!(day.account_error < 1e-9, "{day:?}");
        assert!(day.overrun_1s <= 0.1 && day.overrun_10s <= 0.02, "{day:?}");
        assert!(day.service_by_track["order"] >= 0.999, "{day:?}");
        assert_eq!(day.rule_breaches, 0);
        // It is no budget if the link is left idle.
        assert!(day.used > 0.9, "{day:?}");
    }
    for (on, off) in on.iter().zip(&off) {
        assert!(
            on.service > off.service + 0.02,
            "{} {}",
            on.service,
            off.service
        );
        assert!(on.crossed_kb < off.crossed_kb);
    }
}

#[test]
fn with_hundreds_of_dispatchers_the_budget_holds_and_orders_pass() {
    let changes = [("SECONDS", "20".to_owned()), ("SEATS", "250".to_owned())];
    let [on, _] = paired("video.star", VIDEO, &changes, 5, 1, || {}).expect("it plays");
    let day = &on[0];
    assert!(day.overrun_1s <= 0.1 && day.overrun_10s <= 0.02, "{day:?}");
    assert!(
        day.service_by_track["order"] >= 0.995 && day.used > 0.7,
        "{day:?}"
    );
}

#[test]
fn dispatchers_that_die_under_a_budget_break_no_rule_and_stay_within_it() {
    let text = format!("{VIDEO}\ntrouble(kind = \"dispatchers\", at_s = 8, for_s = 3, by = 0.5)\n");
    let [on, _] = paired(
        "video.star",
        &text,
        &[("SECONDS", "20".to_owned())],
        7,
        1,
        || {},
    )
    .expect("it plays");
    let day = &on[0];
    assert_eq!(day.rule_breaches, 0);
    assert!(day.overrun_1s <= 0.1 && day.overrun_10s <= 0.02, "{day:?}");
}

#[test]
fn a_zone_refilled_cold_a_late_list_and_a_purge_during_a_roll_break_no_rule() {
    let struck = "
trouble(kind = \"crash\", target = \"depot/cache\", at_s = 7, for_s = 2)
trouble(kind = \"late_list\", at_s = 6, for_s = 6, by = 3)
trouble(kind = \"roll\", target = \"depot/cache/2\", at_s = 13, for_s = 0.5)
for group in range(128):
    trouble(kind = \"purge\", target = \"%d\" % group, at_s = 14)
";
    let text = format!("{VIDEO}\n{struck}");
    let [on, off] = paired(
        "video.star",
        &text,
        &[("SECONDS", "25".to_owned())],
        9,
        1,
        || {},
    )
    .expect("it plays");
    assert_eq!(on[0].rule_breaches, 0);
    assert!(
        on[0].overrun_1s <= 0.1 && on[0].overrun_10s <= 0.02,
        "{:?}",
        on[0]
    );
    assert!(
        on[0].service_by_track["order"] >= off[0].service_by_track["order"] - 0.01,
        "{on:?} {off:?}"
    );
}

#[test]
fn a_lost_cache_is_told_and_named_within_three_seconds_and_nothing_before() {
    let changes = [
        ("TROUBLE", "\"host\"".to_owned()),
        ("SECONDS", "82".to_owned()),
    ];
    let scenario = scenario("rise.star", RISE, &changes).expect("a scenario");
    let day = model::run(&scenario, Policy::Design, 1);
    let strike = DAWN + TimeSpan::from_secs(75);
    let told = told(&day.crossed, Some(strike), |reason| {
        matches!(reason, Reason::HostLost(_))
    });
    assert!(told.named_s.is_some_and(|s| s <= 3.0), "{told:?}");
    assert_eq!(told.false_alarms, 0);
}

#[test]
fn an_account_that_is_wrong_and_a_link_that_overran_are_found() {
    let scenario =
        scenario("video.star", VIDEO, &[("SECONDS", "8".to_owned())]).expect("a scenario");
    let mut day = model::run(&scenario, Policy::Design, 1);
    assert!(account_error(&day.crossed, DEPOT) < 1e-9);
    *day.crossed.booked.entry((DEPOT, ClassId(0))).or_default() *= 1.05;
    assert!(account_error(&day.crossed, DEPOT) > 0.04);
    // 100 KB each tenth of a second, and once 3,000 more.
    let mut steps: Vec<f64> = (0..200).map(|n| f64::from(n) * 100.0).collect();
    assert_eq!(
        overrun(&steps, 0, TimeSpan::from_secs(1), 1_000.0, 0.0),
        0.0
    );
    steps.iter_mut().skip(100).for_each(|kb| *kb += 3_000.0);
    assert!((overrun(&steps, 0, TimeSpan::from_secs(1), 1_000.0, 500.0) - 2.5).abs() < 1e-9);
    assert!((overrun(&steps, 0, TimeSpan::from_secs(10), 1_000.0, 500.0) - 0.25).abs() < 1e-9);
    assert!(day_of(&scenario, &day, DEPOT, (1.0, 0.0)).overrun_1s > 1.0);
}

#[test]
fn a_budget_is_no_limit_to_who_may_ask_and_a_scenario_without_the_line_is_refused() {
    assert_eq!(
        with("A = 1\nB = 2\n", "B", "3").as_deref(),
        Ok("A = 1\nB = 3\n")
    );
    assert!(with("A = 1\n", "B", "3").is_err_and(|why| why.contains("B")));
    let scenario = scenario("video.star", VIDEO, &[]).expect("a scenario");
    let order = scenario
        .shape
        .tracks
        .iter()
        .position(|track| matches!(track.effect, Effect::Keyed { .. }));
    assert_eq!(order, Some(2));
}
