//! The sections `zones` and `crossing` of the operator's file.

use trailproxy_operator::decide::{Absent, Kind, Section, Shape, Sheet as Script, may, must};
use trailproxy_zones::decide::config::{CrossingConfig, Positions, ZonesConfig};
use trailproxy_zones::decide::rise::Alarm;

/// Accepted sizes and rates in KB.
const KB: Shape = Shape::Number(0.0, 1e9);

/// The two sections, for the reader of the file.
pub const KINDS: &[Kind] = &[
    Kind {
        name: "zones",
        most: 1,
        needed: false,
        fields: &[
            may("on", Shape::Flag, Absent::Flag(true)),
            may(
                "report_s",
                Shape::Number(0.5, 3_600.0),
                Absent::Number(10.0),
            ),
            may("first", Shape::Names, Absent::Empty),
            may("metrics", Shape::Name, Absent::Text("")),
            may("alarm", Shape::Flag, Absent::Flag(true)),
            may("alarm_at", Shape::Number(1.0, 1_000.0), Absent::Number(8.0)),
            may(
                "alarm_slack",
                Shape::Number(0.0, 100.0),
                Absent::Number(2.0),
            ),
        ],
    },
    Kind {
        name: "crossing",
        most: 256,
        needed: false,
        fields: &[
            must("name", Shape::Name),
            may("out_of", Shape::Name, Absent::Text("")),
            must("into", Shape::Name),
            must("kb_per_s", KB),
            must("burst_kb", KB),
            may("reserve_kb_per_s", KB, Absent::Number(0.0)),
            may("largest_kb", KB, Absent::Number(0.0)),
            may("least_kb_per_s", KB, Absent::Number(0.0)),
            may("most_kb_per_s", KB, Absent::Number(0.0)),
        ],
    },
];

/// Positions of a section and of its fields.
fn positions(section: &Section) -> Positions {
    let of = |(name, field): (&String, &trailproxy_operator::Field)| {
        (name.clone(), (field.place.line, field.place.column))
    };
    let mut positions: Positions = section.fields.iter().map(of).collect();
    positions.insert(String::new(), (section.place.line, section.place.column));
    positions
}

/// The configuration in a checked file; `None` if it has no section `zones` or that is switched
/// off.
pub fn zones_config(script: &Script) -> Option<ZonesConfig> {
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
