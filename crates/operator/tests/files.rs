//! An operator's file that is wrong in one way, and what is said of it.

use proptest::prelude::*;
use trailproxy_operator::decide::{DefaultValue, FieldSpec, optional, required};
use trailproxy_operator::{Bounds, ConfigError, FieldType, ParsedFile, SectionKind, read};

const FIELDS: &[FieldSpec] = &[
    required("name", FieldType::Name),
    optional(
        "rate",
        FieldType::Number(0.0, 100.0),
        DefaultValue::Number(5.0),
    ),
    optional("count", FieldType::Whole(1, 9), DefaultValue::Whole(1)),
    optional(
        "sort",
        FieldType::OneOf(&["hub", "depot"]),
        DefaultValue::Text("hub"),
    ),
    optional("on", FieldType::Flag, DefaultValue::Flag(false)),
    optional(
        "shares",
        FieldType::Numbers(0.0, 1.0),
        DefaultValue::EmptyList,
    ),
    optional("via", FieldType::Reference("zone"), DefaultValue::Text("")),
];
const KINDS: &[SectionKind] = &[SectionKind {
    name: "zone",
    max_count: 4,
    required: true,
    fields: FIELDS,
}];

fn file(text: &str) -> Result<ParsedFile, Box<ConfigError>> {
    read("operator.star", text.into(), KINDS, Bounds::default())
}

fn complaint(text: &str) -> String {
    file(text).expect_err("it does not fit").to_string()
}

#[test]
fn loops_and_functions_make_sections_and_defaults_fill_them() {
    let text = "def depot(n):\n    zone(name = \"d-%d\" % n, rate = n * 1.5)\nfor n in range(3):\n    depot(n)\n";
    let sheet = file(text).expect("it fits");
    let rates: Vec<f64> = sheet.all("zone").map(|z| z.number("rate")).collect();
    assert_eq!(rates, [0.0, 1.5, 3.0]);
    let first = sheet.one("zone").expect("a zone");
    assert_eq!((first.text("name"), first.whole("count")), ("d-0", 1));
    assert_eq!((first.text("sort"), first.flag("on")), ("hub", false));
}

#[test]
fn a_complaint_points_at_the_field_and_says_what_is_accepted() {
    let said = complaint("zone(\n    name = \"a\",\n    rate = 101,\n)\n");
    assert_eq!(
        said,
        "operator.star:3:5: section zone, field rate: found 101, accepted: a number from 0 to 100"
    );
    let said = complaint("zone(name = \"a\", sort = \"hut\")");
    assert_eq!(
        said,
        "operator.star:1:18: section zone, field sort: found \"hut\", accepted: one of hub, depot"
    );
}

#[test]
fn each_field_refuses_each_wrong_value() {
    let wrong = [
        ("name", "7"),
        ("name", "\"\""),
        ("name", "\"a b\""),
        ("rate", "\"5\""),
        ("rate", "-1"),
        ("rate", "float(\"nan\")"),
        ("count", "0"),
        ("count", "10"),
        ("count", "1.5"),
        ("count", "True"),
        ("sort", "1"),
        ("on", "1"),
        ("shares", "[0.5, 2]"),
        ("shares", "0.5"),
        ("shares", "[\"x\"]"),
        ("via", "\"elsewhere\""),
        ("on", "None"),
        ("on", "{}"),
    ];
    for (field, value) in wrong {
        let name = if field == "name" {
            ""
        } else {
            "name = \"a\", "
        };
        let said = complaint(&format!("zone({name}{field} = {value})"));
        assert!(said.contains(&format!("field {field}: found ")), "{said}");
        assert!(said.starts_with("operator.star:1:"), "{said}");
    }
}

#[test]
fn what_is_unknown_missing_or_twice_is_named() {
    assert!(
        complaint("zone(name = \"a\", speed = 1)")
            .contains("found field speed, accepted: one of name")
    );
    assert!(complaint("zone(rate = 1)").contains("field name: found nothing"));
    assert!(complaint("x = 1").contains("found no such section, accepted: one"));
    assert!(complaint("zone(name = \"a\")\nzone(name = \"a\")").starts_with("operator.star:2:6: "));
    let five = "zone(name = \"a\")\n[zone(name = \"b%d\" % n) for n in range(4)]\n";
    assert!(complaint(five).contains("found section 5 of its kind, accepted: 4 at most"));
    assert!(complaint("zone(\"a\")").starts_with("operator.star:1:1"));
    assert!(complaint("link(name = \"a\")").contains("link"));
}

#[test]
fn a_script_without_end_is_stopped() {
    let started = std::time::Instant::now();
    let small = Bounds {
        ticks: 50_000,
        heap_bytes: 4 << 20,
        ..Bounds::default()
    };
    let endless = [
        "for i in range(1000000000):\n    x = i",
        "x = []\nfor i in range(1000000000):\n    x.append([i] * 100)",
        "def f(n):\n    return f(n + 1)\nf(0)",
        "x = \"a\"\nfor i in range(60):\n    x = x + x",
    ];
    for text in endless {
        let wrong = read("f", text.into(), KINDS, small).expect_err("it does not end");
        assert!(wrong.wanted.contains("bounds"), "{wrong}");
    }
    let many = "[zone(name = \"z\") for n in range(50)]";
    let few = Bounds {
        sections: 20,
        ..small
    };
    let wrong = read("f", many.into(), KINDS, few).expect_err("too many");
    assert!(
        wrong.to_string().contains("more than 20 sections"),
        "{wrong}"
    );
    let long = "#".repeat(2 << 20);
    assert!(read("f", long, KINDS, small).is_err());
    assert!(started.elapsed().as_secs() < 20);
}

#[test]
fn a_script_that_cannot_be_read_names_the_line() {
    assert!(complaint("zone(name = \"a\")\nzone(name = \n").starts_with("operator.star:"));
    assert!(complaint("zone(name = \"a\")\nzone(name = nothing)").starts_with("operator.star:2:"));
}

proptest! {
    #[test]
    fn no_text_brings_the_reader_down(text in "\\PC{0,200}") {
        let _ = file(&text);
    }

    #[test]
    fn a_number_in_range_comes_back_as_it_was(rate in 0.0..100.0f64, count in 1i64..=9) {
        let sheet = file(&format!("zone(name = \"a\", rate = {rate:?}, count = {count})")).expect("it fits");
        let zone = sheet.one("zone").expect("a zone");
        prop_assert_eq!((zone.number("rate"), zone.whole("count")), (rate, count));
    }
}
