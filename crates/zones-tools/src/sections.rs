//! The sections `zones` and `crossing` of the operator's file.

use trailproxy_operator::decide::{
    DefaultValue, FieldType, ParsedFile, Section, SectionKind, optional, required,
};
use trailproxy_zones::decide::config::{CrossingConfig, Positions, ZonesConfig};
use trailproxy_zones::decide::rise::Alarm;

/// Accepted sizes and rates in KB.
const KB: FieldType = FieldType::Number(0.0, 1e9);

/// The two sections, for the reader of the file.
pub const KINDS: &[SectionKind] = &[
    SectionKind {
        name: "zones",
        max_count: 1,
        required: false,
        fields: &[
            optional("on", FieldType::Flag, DefaultValue::Flag(true)),
            optional(
                "report_s",
                FieldType::Number(0.5, 3_600.0),
                DefaultValue::Number(10.0),
            ),
            optional("first", FieldType::Names, DefaultValue::EmptyList),
            optional("metrics", FieldType::Name, DefaultValue::Text("")),
            optional("alarm", FieldType::Flag, DefaultValue::Flag(true)),
            optional(
                "alarm_at",
                FieldType::Number(1.0, 1_000.0),
                DefaultValue::Number(8.0),
            ),
            optional(
                "alarm_slack",
                FieldType::Number(0.0, 100.0),
                DefaultValue::Number(2.0),
            ),
        ],
    },
    SectionKind {
        name: "crossing",
        max_count: 256,
        required: false,
        fields: &[
            required("name", FieldType::Name),
            optional("out_of", FieldType::Name, DefaultValue::Text("")),
            required("into", FieldType::Name),
            required("kb_per_s", KB),
            required("burst_kb", KB),
            optional("reserve_kb_per_s", KB, DefaultValue::Number(0.0)),
            optional("largest_kb", KB, DefaultValue::Number(0.0)),
            optional("least_kb_per_s", KB, DefaultValue::Number(0.0)),
            optional("most_kb_per_s", KB, DefaultValue::Number(0.0)),
        ],
    },
];

/// Positions of a section and of its fields.
fn positions(section: &Section) -> Positions {
    let of = |(name, field): (&String, &trailproxy_operator::Field)| {
        (name.clone(), (field.position.line, field.position.column))
    };
    let mut positions: Positions = section.fields.iter().map(of).collect();
    positions.insert(
        String::new(),
        (section.position.line, section.position.column),
    );
    positions
}

/// The configuration in a checked file; `None` if it has no section `zones` or that is switched
/// off.
pub fn zones_config(script: &ParsedFile) -> Option<ZonesConfig> {
    let head = script.one("zones").filter(|head| head.flag("on"))?;
    let alarm = Alarm {
        threshold: head.number("alarm_at"),
        slack: head.number("alarm_slack"),
        ..Alarm::default()
    };
    let crossing = |section: &Section| CrossingConfig {
        name: section.text("name").into(),
        out_of: section.text("out_of").into(),
        into: section.text("into").into(),
        kb_per_s: section.number("kb_per_s"),
        burst_kb: section.number("burst_kb"),
        reserve_kb_per_s: section.number("reserve_kb_per_s"),
        largest_kb: section.number("largest_kb"),
        least_kb_per_s: section.number("least_kb_per_s"),
        most_kb_per_s: section.number("most_kb_per_s"),
        positions: positions(section),
    };
    Some(ZonesConfig {
        file: script.file.clone(),
        on: true,
        report_s: head.number("report_s"),
        priority_classes: head.names("first").into_iter().map(str::to_owned).collect(),
        metrics: head.text("metrics").into(),
        alarm: head.flag("alarm").then_some(alarm),
        positions: positions(head),
        crossings: script.all("crossing").map(crossing).collect(),
    })
}
