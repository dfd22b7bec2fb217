//! Tests that a file which is wrong in one way gives an error that names the position, the value and what is accepted.

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

fn parse(text: &str) -> Result<ParsedFile, Box<ConfigError>> {
    read("operator.star", text.into(), KINDS, Bounds::default())
}

fn error_text(text: &str) -> String {
    parse(text).expect_err("it does not fit").to_string()
}

#[test]
fn loops_and_functions_make_sections_and_defaults_fill_them() {
    let text = "def depot(n):\n    zone(name = \"d-%d\" % n, rate = n * 1.5)\nfor n in range(3):\n    depot(n)\n";
    let parsed = parse(text).expect("it fits");
    let rates: Vec<f64> = parsed.all("zone").map(|z| z.number("rate")).collect();
    assert_eq!(rates, [0.0, 1.5, 3.0]);
    let first = parsed.one("zone").expect("a zone");
    assert_eq!((first.text("name"), first.whole("count")), ("d-0", 1));
    assert_eq!((first.text("sort"), first.flag("on")), ("hub", false));
}

#[test]
fn an_error_points_at_the_field_and_says_what_is_accepted() {
    let error = error_text("zone(\n    name = \"a\",\n    rate = 101,\n)\n");
    assert_eq!(
        error,
        "operator.star:3:5: section zone, field rate: found 101, accepted: a number from 0 to 100"
    );
    let error = error_text("zone(name = \"a\", sort = \"hut\")");
    assert_eq!(
        error,
        "operator.star:1:18: section zone, field sort: found \"hut\", accepted: one of hub, depot"
    );
}

#[test]
fn each_field_refuses_each_wrong_value() {
    let wrong_values = [
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
    for (field, value) in wrong_values {
        let name = if field == "name" {
            ""
        } else {
            "name = \"a\", "
        };
        let error = error_text(&format!("zone({name}{field} = {value})"));
        assert!(error.contains(&format!("field {field}: found ")), "{error}");
        assert!(error.starts_with("operator.star:1:"), "{error}");
    }
}

#[test]
fn unknown_missing_and_duplicate_sections_and_fields_are_named() {
    assert!(
        error_text("zone(name = \"a\", speed = 1)")
            .contains("found field speed, accepted: one of name")
    );
    assert!(error_text("zone(rate = 1)").contains("field name: found nothing"));
    assert!(error_text("x = 1").contains("found no such section, accepted: one"));
    assert!(
        error_text("zone(name = \"a\")\nzone(name = \"a\")").starts_with("operator.star:2:6: ")
    );
    let five = "zone(name = \"a\")\n[zone(name = \"b%d\" % n) for n in range(4)]\n";
    assert!(error_text(five).contains("found section 5 of its kind, accepted: 4 at most"));
    assert!(error_text("zone(\"a\")").starts_with("operator.star:1:1"));
    assert!(error_text("link(name = \"a\")").contains("link"));
}

#[test]
fn an_endless_script_is_stopped() {
    let started = std::time::Instant::now();
    let small = Bounds {
        max_ticks: 50_000,
        max_heap_bytes: 4 << 20,
        ..Bounds::default()
    };
    let endless = [
        "for i in range(1000000000):\n    x = i",
        "x = []\nfor i in range(1000000000):\n    x.append([i] * 100)",
        "def f(n):\n    return f(n + 1)\nf(0)",
        "x = \"a\"\nfor i in range(60):\n    x = x + x",
    ];
    for text in endless {
        let error = read("f", text.into(), KINDS, small).expect_err("it does not end");
        assert!(error.wanted.contains("bounds"), "{error}");
    }
    let many = "[zone(name = \"z\") for n in range(50)]";
    let few_sections = Bounds {
        max_sections: 20,
        ..small
    };
    let error = read("f", many.into(), KINDS, few_sections).expect_err("too many");
    assert!(
        error.to_string().contains("more than 20 sections"),
        "{error}"
    );
    let long = "#".repeat(2 << 20);
    assert!(read("f", long, KINDS, small).is_err());
    assert!(started.elapsed().as_secs() < 20);
}

#[test]
fn a_syntax_error_names_the_line() {
    assert!(error_text("zone(name = \"a\")\nzone(name = \n").starts_with("operator.star:"));
    assert!(error_text("zone(name = \"a\")\nzone(name = nothing)").starts_with("operator.star:2:"));
}

proptest! {
    #[test]
    fn no_text_makes_the_reader_panic(text in "\\PC{0,200}") {
        let _ = parse(&text);
    }

    #[test]
    fn a_number_in_range_is_read_unchanged(rate in 0.0..100.0f64, count in 1i64..=9) {
        let parsed = parse(&format!("zone(name = \"a\", rate = {rate:?}, count = {count})")).expect("it fits");
        let zone = parsed.one("zone").expect("a zone");
        prop_assert_eq!((zone.number("rate"), zone.whole("count")), (rate, count));
    }
}
