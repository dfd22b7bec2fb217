//! Days in the model: they repeat exactly, keep the rules, end clean, and show what goes wrong.

use trailproxy::units::*;
use trailproxy_lab::decide::baseline::Policy;
use trailproxy_lab::model::{Day, run};
use trailproxy_lab::scenario::{KINDS, Scenario};
use trailproxy_operator::decide::FieldSpec;
use trailproxy_operator::{Bounds, FieldType, SectionKind, read};
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
        let trouble = Trouble::Replace(old, HostId::of_name(name), TimeSpan::from_secs(1));
        let at = DAWN + TimeSpan::from_millis(8_600 * (nth + 1));
        scenario.script.push(Cue { at, trouble });
    }
    let day = run(&scenario, Policy::Design, 1);
    kept(&day);
    assert!(day.summary.service > 0.95, "{}", day.summary.service);
    // 23 hosts are listed; 60 s hold seven that have gone.
    assert!(day.most_kept <= 23 + 10, "{} kept", day.most_kept);
}

/// A value that no field takes, and where it makes no sense either, the ends of its range.
fn wrong_values(field_type: FieldType) -> Vec<String> {
    let mut values = vec!["{}".to_owned(), "None".to_owned()];
    match field_type {
        FieldType::Whole(least, most) => values.extend([
            (least - 1).to_string(),
            (most + 1).to_string(),
            "1.5".into(),
        ]),
        FieldType::Number(least, most) => {
            values.extend([
                format!("{:?}", least - 1.0),
                format!("{:?}", most * 2.0 + 1.0),
                "\"1\"".into(),
            ]);
        }
        FieldType::OneOf(_) | FieldType::Reference(_) => values.push("\"no-such-thing\"".into()),
        FieldType::Name => values.push("\"two words\"".into()),
        _ => values.push("7".into()),
    }
    values
}

#[test]
fn a_scenario_wrong_in_every_field_by_turns_is_refused_at_that_field() {
    let mut tried = 0;
    for kind in KINDS {
        for field in kind.fields {
            for value in wrong_values(field.field_type) {
                let given =
                    |other: &&FieldSpec| other.name != field.name && other.default.is_none();
                let others: String = kind
                    .fields
                    .iter()
                    .filter(given)
                    .map(|other| match other.field_type {
                        FieldType::OneOf(words) => format!("{} = \"{}\", ", other.name, words[0]),
                        FieldType::Number(least, _) => format!("{} = {least:?}, ", other.name),
                        _ => format!("{} = \"hub\", ", other.name),
                    })
                    .collect();
                // Names are looked up last and in turn: another one that must be given is missed first.
                let looked_up = matches!(field.field_type, FieldType::Reference(_))
                    && value.contains("no-such-thing");
                let earlier = |f: &&FieldSpec| {
                    f.name != field.name
                        && f.default.is_none()
                        && matches!(f.field_type, FieldType::Reference(_))
                };
                if looked_up && kind.fields.iter().any(|f| earlier(&f)) {
                    continue;
                }
                // In a file of its own kind: what other sections it needs is looked at later.
                let kinds = [SectionKind {
                    required: false,
                    ..*kind
                }];
                let text = format!("\n{}(\n  {others}\n  {} = {value})", kind.name, field.name);
                let wrong =
                    read("t.star", text.clone(), &kinds, Bounds::default()).expect_err(&text);
                assert_eq!(
                    (wrong.section.as_str(), wrong.field.as_deref()),
                    (kind.name, Some(field.name)),
                    "{text}"
                );
                assert_eq!(
                    (wrong.position.line, wrong.position.column),
                    (4, 3),
                    "{text}"
                );
                assert!(!wrong.wanted.is_empty() && !wrong.found.is_empty());
                tried += 1;
            }
        }
    }
    assert!(tried > 250, "{tried} wrong values");
}

#[test]
fn what_fits_by_itself_and_not_together_is_refused_too() {
    let base = "scenario(name = \"t\", seconds = 5)
zone(name = \"hub\")
zone(name = \"depot\", dispatchers = 1)
hosts(role = \"cache\", zone = \"depot\")
track(name = \"label\")
stream(track = \"label\", per_s = 1)\n";
    let refused = |more: &str, from: &str, to: &str| {
        let text = base.replace(from, to) + more;
        let sheet = read("t.star", text, KINDS, Bounds::default());
        let scenario = sheet.and_then(|sheet| Scenario::from_sheet(&sheet));
        scenario.expect_err(more).to_string()
    };
    let two =
        "hosts(role = \"origin\", zone = \"hub\")\nhosts(role = \"origin\", zone = \"depot\")";
    let cases = [
        (two, "", "", "one origin in all"),
        (
            "zone(name = \"far\", dispatchers = 2)",
            "",
            "",
            "none in a zone that has no cache",
        ),
        (
            "stream(track = \"label\", per_s = 1, zone = \"hub\")",
            "",
            "",
            "a zone that has dispatchers",
        ),
        (
            "track(name = \"odd\", due_ms = 500, limit_ms = 400)",
            "",
            "",
            "no longer than limit_ms",
        ),
        (
            "trouble(kind = \"crash\", target = \"depot/cook\", at_s = 1)",
            "",
            "",
            "the beginning of a host's name",
        ),
        (
            "trouble(kind = \"link\", target = \"moon\", at_s = 1)",
            "",
            "",
            "the name of a zone",
        ),
        (
            "trouble(kind = \"purge\", target = \"all\", at_s = 1)",
            "",
            "",
            "the number of a group",
        ),
        (
            "trouble(kind = \"resets\", target = \"depot\", at_s = 1, by = 2)",
            "",
            "",
            "a share from 0 to 1",
        ),
        (
            "",
            "dispatchers = 1",
            "dispatchers = 0",
            "at least one dispatcher",
        ),
        (
            "",
            "role = \"cache\"",
            "role = \"parent\"",
            "none in a zone that has no cache",
        ),
    ];
    for (more, from, to, wanted) in cases {
        let said = refused(more, from, to);
        assert!(
            said.contains(wanted) || said.contains("at least one section of caches"),
            "{said}"
        );
        assert!(said.starts_with("t.star:"), "{said}");
    }
}
