//! Days in the model: they repeat exactly, keep the rules, end clean, and show what goes wrong.

use trailproxy::units::*;
use trailproxy_lab::decide::baseline::Policy;
use trailproxy_lab::model::{Day, run};
use trailproxy_lab::scenario::{KINDS, Scenario};
use trailproxy_operator::{Bounds, read};
use trailproxy_standins::shape::{Cue, DAWN, Trouble};

/// A small fleet, with more sections behind it.
fn scenario(more: &str) -> Scenario {
    let text = format!(
        "scenario(name = \"t\", seconds = 40, from_s = 2)
fleet(notes = \"hits\")
zone(name = \"hub\")
zone(name = \"depot\", link_kb_per_s = 36000, dispatchers = 3)
hosts(role = \"cache\", zone = \"depot\", count = 4, size = 8, room_kb = 150000)
hosts(role = \"parent\", zone = \"hub\", count = 2, size = 12, room_kb = 600000)
hosts(role = \"origin\", zone = \"hub\", size = 10, first_byte_ms = 40, places = 60)
track(name = \"video\", limit_ms = 4000, fresh_ms = 20000, grace_ms = 60000)
track(name = \"order\", effect = \"fingerprinted\", group = \"cell\", written = True, importance = 5)
track(name = \"pay\", effect = \"binding\", written = True, importance = 5)
stream(track = \"video\", per_s = 60, objects = 2000, parts = 3)
stream(track = \"order\", per_s = 10, median_kb = 4)
stream(track = \"pay\", per_s = 5, median_kb = 4)
{more}"
    );
    let sheet = read("t.star", text, KINDS, Bounds::default()).expect("it fits");
    Scenario::from_sheet(&sheet).expect("a scenario")
}

fn kept(day: &Day) {
    assert_eq!(day.breaches, [], "{:?}", day.summary.rules_broken);
    assert_eq!(day.left_over, 0, "something was still held at the end");
}

const STRUCK: &str = "trouble(kind = \"crash\", target = \"hub/parent/0\", at_s = 8, for_s = 4)
trouble(kind = \"roll\", target = \"depot/cache\", at_s = 12, for_s = 1, step_s = 3)
trouble(kind = \"slow\", target = \"hub/origin\", at_s = 15, for_s = 6, by = 20)
trouble(kind = \"resets\", target = \"depot/cache/1\", at_s = 10, for_s = 10, by = 0.3)
trouble(kind = \"garbage\", target = \"depot/cache/2\", at_s = 10, for_s = 10, by = 0.3)
trouble(kind = \"silence\", target = \"depot/cache/3\", at_s = 25, for_s = 5)
trouble(kind = \"late_list\", at_s = 11, for_s = 10, by = 0.6)
trouble(kind = \"link\", target = \"depot\", at_s = 28, for_s = 5, by = 0.2)
trouble(kind = \"dispatchers\", at_s = 20, for_s = 1, by = 0.5)
[trouble(kind = \"purge\", target = \"%d\" % n, at_s = 5 + n * 0.5) for n in range(60)]
";

#[test]
fn the_same_seed_gives_the_same_day_to_the_byte() {
    let scenario = scenario(STRUCK);
    let text = |seed| {
        let day = run(&scenario, Policy::Design, seed);
        serde_json::to_string(&(&day.summary, &day.tally.seconds)).expect("a summary")
    };
    let spinning: Vec<_> = (0..2)
        .map(|_| {
            std::thread::spawn(|| (0..20_000_000u64).fold(1, |x, n| std::hint::black_box(x ^ n)))
        })
        .collect();
    let busy = text(5);
    spinning.into_iter().for_each(|t| drop(t.join()));
    assert_eq!(busy, text(5));
    assert_ne!(busy, text(6));
}

#[test]
fn rules_are_kept_through_everything_at_once() {
    let scenario = scenario(STRUCK);
    let mut lost = 0;
    for seed in 1..=6 {
        let day = run(&scenario, Policy::Design, seed);
        kept(&day);
        lost += day.summary.lost;
        assert!(day.summary.service > 0.5, "{}", day.summary.service);
    }
    assert!(lost > 0, "no dispatcher died with anything open");
}

#[test]
fn an_ordinary_day_serves_nearly_all() {
    let day = run(&scenario(""), Policy::Design, 1);
    kept(&day);
    assert!(day.summary.service > 0.99, "{}", day.summary.service);
    assert_eq!(day.summary.hosts_fell, 0);
    let sum = &day.summary;
    assert_eq!(
        sum.accesses,
        sum.done + sum.rejected + sum.aborted + sum.lost
    );
}

#[test]
fn baselines_keep_the_rules_too() {
    let scenario = scenario(STRUCK);
    for (name, policy) in Policy::ALL {
        for seed in 1..=2 {
            let day = run(&scenario, policy, seed);
            assert_eq!(day.breaches, [], "{name}");
            assert_eq!(day.left_over, 0, "{name}");
        }
    }
}

#[test]
fn a_sick_parent_is_skipped_by_the_design_and_not_by_plain_hash_order() {
    let struck = "trouble(kind = \"stall\", target = \"hub/parent/0\", at_s = 8, for_s = 25)";
    let scenario = scenario(struck);
    let design = run(&scenario, Policy::Design, 3);
    let plain = run(&scenario, Policy::HashOrder, 3);
    kept(&design);
    assert!(design.summary.breakers_opened > 0);
    let late = |day: &Day| day.tally.service_within(15, 33);
    assert!(
        late(&design) > late(&plain) + 0.02,
        "{} {}",
        late(&design),
        late(&plain)
    );
}

#[test]
fn all_parents_back_cold_together_are_not_pushed_over() {
    let struck = "trouble(kind = \"crash\", target = \"hub/parent\", at_s = 10, for_s = 2)";
    for seed in 1..=3 {
        let day = run(&scenario(struck), Policy::Design, seed);
        kept(&day);
        assert_eq!(day.summary.hosts_fell, 0);
    }
}

#[test]
fn a_day_of_replaced_hosts_goes_on_serving() {
    let struck =
        "trouble(kind = \"replace\", target = \"depot/cache\", at_s = 6, for_s = 1, step_s = 6)";
    let day = run(&scenario(struck), Policy::Design, 1);
    kept(&day);
    assert!(day.summary.service > 0.9, "{}", day.summary.service);
}

#[test]
fn ten_thousand_replaced_hosts_leave_no_trace() {
    let text = "scenario(name = \"long\", seconds = 86400)
zone(name = \"hub\")
zone(name = \"depot\", link_kb_per_s = 36000, dispatchers = 1)
hosts(role = \"cache\", zone = \"depot\", count = 20, size = 8, room_kb = 20000)
hosts(role = \"parent\", zone = \"hub\", count = 2, size = 12)
hosts(role = \"origin\", zone = \"hub\", size = 10)
track(name = \"label\", fresh_ms = 20000, grace_ms = 60000)
stream(track = \"label\", per_s = 0.5, objects = 500, median_kb = 25)";
    let sheet = read("t.star", text.into(), KINDS, Bounds::default()).expect("it fits");
    let mut scenario = Scenario::from_sheet(&sheet).expect("a scenario");
    let mut names: Vec<String> = (0..20).map(|n| format!("depot/cache/{n}")).collect();
    for nth in 0..10_000u64 {
        let name = &mut names[nth as usize % 20];
        let old = HostId::of_name(name);
        name.push('+');
        let trouble = Trouble::Replace(old, HostId::of_name(name), Span::from_secs(1));
        let at = DAWN + Span::from_millis(8_600 * (nth + 1));
        scenario.script.push(Cue { at, trouble });
    }
    let day = run(&scenario, Policy::Design, 1);
    kept(&day);
    assert!(day.summary.service > 0.95, "{}", day.summary.service);
    // 23 hosts are listed; 60 s hold seven that have gone.
    assert!(day.most_kept <= 23 + 10, "{} kept", day.most_kept);
}
