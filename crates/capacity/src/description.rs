//! The fleet to be measured, read from a Starlark file and checked before anything begins.

use trailproxy::units::TimeSpan;
use trailproxy_operator::decide::{DefaultValue, FieldType, SectionKind, optional, required};
use trailproxy_operator::{Bounds, ConfigError, ParsedFile, Section, read};

/// The description that is used where no file is named.
const BUILT_IN: &str = include_str!("../../../scenarios/capacity/fleet.star");
const BUILT_IN_FILE: &str = "scenarios/capacity/fleet.star";
/// More members than that are not taken in by one fleet.
const MOST_MEMBERS: i64 = 1_024;
const MOST_PLACES: usize = 1_000;
const PER_SECOND: FieldType = FieldType::Number(0.0, 1e6);
const SHARE: FieldType = FieldType::Number(0.0, 1.0);
const MILLISECONDS: FieldType = FieldType::Number(0.0, 10_000.0);
const DISTANCE_KINDS: [&str; 4] = ["site", "zone", "region", "between_regions"];

/// Every section that a description may hold.
pub const KINDS: &[SectionKind] = &[
    SectionKind {
        name: "fleet",
        max_count: 1,
        required: true,
        fields: &[
            required("members", FieldType::Whole(2, MOST_MEMBERS)),
            optional("purges_per_s", PER_SECOND, DefaultValue::Number(7.5)),
            optional("requests_per_s", PER_SECOND, DefaultValue::Number(939.0)),
            optional("keyed_share", SHARE, DefaultValue::Number(0.035)),
            optional("repeat_share", SHARE, DefaultValue::Number(0.05)),
            optional(
                "repeat_least_s",
                FieldType::Number(0.0, 60.0),
                DefaultValue::Number(0.3),
            ),
            optional(
                "repeat_most_s",
                FieldType::Number(0.0, 60.0),
                DefaultValue::Number(2.0),
            ),
            optional(
                "limit_s",
                FieldType::Number(0.1, 60.0),
                DefaultValue::Number(5.0),
            ),
            optional(
                "wait_ms",
                FieldType::Number(0.5, 1_000.0),
                DefaultValue::Number(5.0),
            ),
            optional(
                "keep_s",
                FieldType::Number(1.0, 3_600.0),
                DefaultValue::Number(30.0),
            ),
            optional(
                "purges_last_s",
                FieldType::Number(1.0, 3_600.0),
                DefaultValue::Number(30.0),
            ),
            optional("refuse", FieldType::Flag, DefaultValue::Flag(false)),
        ],
    },
    SectionKind {
        name: "region",
        max_count: MOST_PLACES,
        required: true,
        fields: &[required("name", FieldType::Name)],
    },
    SectionKind {
        name: "zone",
        max_count: MOST_PLACES,
        required: true,
        fields: &[
            required("name", FieldType::Name),
            required("region", FieldType::Reference("region")),
        ],
    },
    SectionKind {
        name: "site",
        max_count: MOST_PLACES,
        required: true,
        fields: &[
            required("name", FieldType::Name),
            required("zone", FieldType::Reference("zone")),
            required("seats", FieldType::Whole(1, MOST_MEMBERS)),
            optional(
                "load_factor",
                FieldType::Number(0.0, 1_000.0),
                DefaultValue::Number(1.0),
            ),
        ],
    },
    SectionKind {
        name: "distance",
        max_count: DISTANCE_KINDS.len(),
        required: true,
        fields: &[
            required("kind", FieldType::OneOf(&DISTANCE_KINDS)),
            required("least_ms", MILLISECONDS),
            required("most_ms", MILLISECONDS),
            optional("loss", SHARE, DefaultValue::Number(0.0)),
        ],
    },
];

/// A zone and the place of its region in [`Description::regions`].
#[derive(Clone, Debug, PartialEq)]
pub struct Zone {
    pub name: String,
    pub region: usize,
}

/// A site and the place of its zone in [`Description::zones`].
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    pub name: String,
    pub zone: usize,
    pub seats: usize,
    /// The load of each of its dispatchers beside that of a usual one.
    pub load: f64,
}

/// Travel one way between two members, drawn evenly from this range, and the share of messages lost.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Distance {
    pub least: TimeSpan,
    pub most: TimeSpan,
    pub loss: f64,
}

/// Distances by how close the two members are.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Distances {
    pub site: Distance,
    pub zone: Distance,
    pub region: Distance,
    pub between_regions: Distance,
}

/// What the fleet is asked to do, and the settings of its members.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// Purges of the whole fleet.
    pub purges_per_s: f64,
    /// Requests of one dispatcher in the mean.
    pub requests_per_s: f64,
    /// The share of them that carry an idempotency key.
    pub keyed_share: f64,
    /// The share of keyed requests that come again at another dispatcher, after `repeat_least` to `repeat_most`.
    pub repeat_share: f64,
    pub repeat_least: TimeSpan,
    pub repeat_most: TimeSpan,
    /// The time within which a request is to be answered.
    pub limit: TimeSpan,
    /// The longest a keyed request waits for other members.
    pub wait: TimeSpan,
    pub keep: TimeSpan,
    pub purges_last: TimeSpan,
    pub refuse: bool,
}

impl Demand {
    /// Keyed requests of one dispatcher in the mean.
    pub fn keyed_per_s(&self) -> f64 {
        self.requests_per_s * self.keyed_share
    }
}

/// A fleet: its members' places, the distances between them, and the demand on it.
#[derive(Clone, Debug, PartialEq)]
pub struct Description {
    pub members: usize,
    pub demand: Demand,
    pub regions: Vec<String>,
    pub zones: Vec<Zone>,
    pub sites: Vec<Site>,
    pub distances: Distances,
}

impl Description {
    /// The fleet that is expected in two years.
    pub fn built_in() -> Result<Description, Box<ConfigError>> {
        Description::parse(BUILT_IN_FILE, BUILT_IN.to_owned())
    }

    /// Reads a file.
    pub fn load(path: &str) -> Result<Description, Box<ConfigError>> {
        let sheet = trailproxy_operator::read_file(path, KINDS)?;
        Description::from_sheet(&sheet)
    }

    /// Reads a text; `file` is the name that messages bear.
    pub fn parse(file: &str, text: String) -> Result<Description, Box<ConfigError>> {
        let sheet = read(file, text, KINDS, Bounds::default())?;
        Description::from_sheet(&sheet)
    }

    fn from_sheet(sheet: &ParsedFile) -> Result<Description, Box<ConfigError>> {
        let regions = names(sheet, "region");
        let zones = zones(sheet, &regions);
        let sites = sites(sheet, &zones);
        let fleet = sheet.all("fleet").next();
        let fleet = fleet.ok_or_else(|| missing(sheet, "fleet"))?;
        let description = Description {
            members: fleet.whole("members") as usize,
            demand: demand(fleet)?,
            regions,
            zones,
            sites,
            distances: distances(sheet)?,
        };
        description.check_seats(fleet)?;
        Ok(description)
    }

    fn check_seats(&self, fleet: &Section) -> Result<(), Box<ConfigError>> {
        let seats: usize = self.sites.iter().map(|site| site.seats).sum();
        if self.members > seats {
            let wanted = format!("no more than the {seats} seats of all sites");
            return Err(fleet.field_error("members", wanted));
        }
        Ok(())
    }
}

fn names(sheet: &ParsedFile, kind: &str) -> Vec<String> {
    let sections = sheet.all(kind);
    sections.map(|of| of.text("name").to_owned()).collect()
}

/// The place of a name that the reader has already found to be there.
fn place_of<'a>(names: impl IntoIterator<Item = &'a String>, name: &str) -> usize {
    let mut names = names.into_iter();
    names.position(|known| known == name).unwrap_or_default()
}

fn zones(sheet: &ParsedFile, regions: &[String]) -> Vec<Zone> {
    let zone = |of: &Section| Zone {
        name: of.text("name").into(),
        region: place_of(regions, of.text("region")),
    };
    sheet.all("zone").map(zone).collect()
}

fn sites(sheet: &ParsedFile, zones: &[Zone]) -> Vec<Site> {
    let site = |of: &Section| Site {
        name: of.text("name").into(),
        zone: place_of(zones.iter().map(|zone| &zone.name), of.text("zone")),
        seats: of.whole("seats") as usize,
        load: of.number("load_factor"),
    };
    sheet.all("site").map(site).collect()
}

fn demand(of: &Section) -> Result<Demand, Box<ConfigError>> {
    let seconds = |field: &str| TimeSpan::from_secs_f64(of.number(field));
    if of.number("repeat_least_s") > of.number("repeat_most_s") {
        return Err(of.field_error("repeat_least_s", "no more than repeat_most_s"));
    }
    Ok(Demand {
        purges_per_s: of.number("purges_per_s"),
        requests_per_s: of.number("requests_per_s"),
        keyed_share: of.number("keyed_share"),
        repeat_share: of.number("repeat_share"),
        repeat_least: seconds("repeat_least_s"),
        repeat_most: seconds("repeat_most_s"),
        limit: seconds("limit_s"),
        wait: TimeSpan::from_secs_f64(of.number("wait_ms") / 1e3),
        keep: seconds("keep_s"),
        purges_last: seconds("purges_last_s"),
        refuse: of.flag("refuse"),
    })
}

fn distances(sheet: &ParsedFile) -> Result<Distances, Box<ConfigError>> {
    Ok(Distances {
        site: distance(sheet, "site")?,
        zone: distance(sheet, "zone")?,
        region: distance(sheet, "region")?,
        between_regions: distance(sheet, "between_regions")?,
    })
}

fn distance(sheet: &ParsedFile, kind: &str) -> Result<Distance, Box<ConfigError>> {
    let mut sections = sheet.all("distance").filter(|of| of.text("kind") == kind);
    let of = sections.next();
    let of = of.ok_or_else(|| missing(sheet, &format!("distance of kind {kind}")))?;
    if let Some(second) = sections.next() {
        return Err(second.field_error("kind", "a kind that no other distance has"));
    }
    if of.number("least_ms") > of.number("most_ms") {
        return Err(of.field_error("least_ms", "no more than most_ms"));
    }
    let span = |field: &str| TimeSpan::from_secs_f64(of.number(field) / 1e3);
    Ok(Distance {
        least: span("least_ms"),
        most: span("most_ms"),
        loss: of.number("loss"),
    })
}

fn missing(sheet: &ParsedFile, section: &str) -> Box<ConfigError> {
    Box::new(ConfigError {
        position: trailproxy_operator::Position {
            file: sheet.file.clone(),
            line: 1,
            column: 1,
        },
        section: String::new(),
        field: None,
        found: format!("no section {section}"),
        wanted: "one".into(),
    })
}
