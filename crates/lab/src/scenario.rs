//! A scenario: a fleet, what its clients ask for, and what goes wrong, read from sections of one script.

use std::collections::BTreeMap;
use trailproxy::interface::*;
use trailproxy::units::*;
use trailproxy_operator::decide::{
    ConfigError, DefaultValue, FieldSpec, FieldType, ParsedFile, Section, SectionKind, optional,
    required,
};
use trailproxy_standins::fleet::kind_of;
use trailproxy_standins::shape::*;
use trailproxy_zones::Rules;
use trailproxy_zones::decide::config::Names;

const SECONDS: FieldType = FieldType::Number(0.0, 100_000.0);
const MILLIS: FieldType = FieldType::Number(0.0, 10_000_000.0);
const RATE: FieldType = FieldType::Number(0.0, 1_000_000.0);
const KB: FieldType = FieldType::Number(0.0, 1e9);
const SHARE: FieldType = FieldType::Number(0.0, 1.0);

const TROUBLES: &[&str] = &[
    "crash",
    "silence",
    "slow",
    "stall",
    "garbage",
    "resets",
    "ageing",
    "roll",
    "replace",
    "link",
    "late_list",
    "purge",
    "dispatchers",
];

/// The sections of a scenario, for the reader.
pub const KINDS: &[SectionKind] = &[
    SectionKind {
        name: "scenario",
        max_count: 1,
        required: true,
        fields: &[
            required("name", FieldType::Name),
            required("seconds", FieldType::Number(1.0, 100_000.0)),
            // Counted from this second on: before it, dispatchers learn and stores settle.
            optional("from_s", SECONDS, DefaultValue::Number(1.0)),
        ],
    },
    SectionKind {
        name: "fleet",
        max_count: 1,
        required: false,
        fields: FLEET,
    },
    SectionKind {
        name: "zone",
        max_count: 1_000,
        required: true,
        fields: &[
            required("name", FieldType::Name),
            optional("link_kb_per_s", KB, DefaultValue::Number(0.0)),
            optional("distance_ms", MILLIS, DefaultValue::Number(10.0)),
            optional(
                "dispatchers",
                FieldType::Whole(0, 10_000),
                DefaultValue::Whole(0),
            ),
        ],
    },
    SectionKind {
        name: "hosts",
        max_count: 5_000,
        required: true,
        fields: &[
            required("role", FieldType::OneOf(&["cache", "parent", "origin"])),
            required("zone", FieldType::Reference("zone")),
            optional("count", FieldType::Whole(1, 10_000), DefaultValue::Whole(1)),
            optional(
                "size",
                FieldType::Number(0.1, 1e6),
                DefaultValue::Number(8.0),
            ),
            optional("room_kb", KB, DefaultValue::Number(400_000.0)),
            optional("first_byte_ms", MILLIS, DefaultValue::Number(8.0)),
            optional(
                "places",
                FieldType::Whole(1, 1_000_000),
                DefaultValue::Whole(400),
            ),
            optional("cell", FieldType::Whole(0, 60_000), DefaultValue::Whole(0)),
        ],
    },
    SectionKind {
        name: "track",
        max_count: 100,
        required: true,
        fields: &[
            required("name", FieldType::Name),
            optional("due_ms", MILLIS, DefaultValue::Number(800.0)),
            optional(
                "limit_ms",
                FieldType::Number(10.0, 1e6),
                DefaultValue::Number(3_000.0),
            ),
            optional(
                "stretch",
                FieldType::Number(0.0, 100.0),
                DefaultValue::Number(2.0),
            ),
            optional(
                "importance",
                FieldType::Number(0.0, 1e6),
                DefaultValue::Number(1.0),
            ),
            optional(
                "effect",
                FieldType::OneOf(&["retriable", "fingerprinted", "binding"]),
                DefaultValue::Text("retriable"),
            ),
            optional(
                "group",
                FieldType::OneOf(&["all", "zone", "cell"]),
                DefaultValue::Text("all"),
            ),
            optional("window_ms", MILLIS, DefaultValue::Number(2_000.0)),
            optional("fresh_ms", MILLIS, DefaultValue::Number(0.0)),
            optional("grace_ms", MILLIS, DefaultValue::Number(0.0)),
            optional("written", FieldType::Flag, DefaultValue::Flag(false)),
        ],
    },
    SectionKind {
        name: "stream",
        max_count: 1_000,
        required: true,
        fields: &[
            required("track", FieldType::Reference("track")),
            required("per_s", RATE),
            optional("zone", FieldType::Reference("zone"), DefaultValue::Text("")),
            optional(
                "objects",
                FieldType::Whole(1, 100_000_000),
                DefaultValue::Whole(5_000),
            ),
            optional(
                "zipf",
                FieldType::Number(0.0, 5.0),
                DefaultValue::Number(0.9),
            ),
            optional(
                "median_kb",
                FieldType::Number(0.01, 1e9),
                DefaultValue::Number(80.0),
            ),
            // Of the logarithm of the sizes.
            optional(
                "spread",
                FieldType::Number(0.0, 4.0),
                DefaultValue::Number(0.8),
            ),
            optional("most_kb", KB, DefaultValue::Number(20_000.0)),
            optional("parts", FieldType::Whole(1, 1_000), DefaultValue::Whole(1)),
            optional("local", SHARE, DefaultValue::Number(0.2)),
            optional("once", SHARE, DefaultValue::Number(0.0)),
            optional("from_s", SECONDS, DefaultValue::Number(0.0)),
            optional("until_s", SECONDS, DefaultValue::Number(100_000.0)),
            optional("told", FieldType::Flag, DefaultValue::Flag(true)),
        ],
    },
    SectionKind {
        name: "burst",
        max_count: 1_000,
        required: false,
        fields: &[
            required("track", FieldType::Reference("track")),
            required("at_s", SECONDS),
            required("for_s", SECONDS),
            required("times", FieldType::Number(0.0, 1_000.0)),
        ],
    },
    SectionKind {
        name: "clients",
        max_count: 1,
        required: false,
        fields: &[
            optional("retries", FieldType::Whole(0, 20), DefaultValue::Whole(1)),
            optional("away_ms", MILLIS, DefaultValue::Number(300.0)),
        ],
    },
    SectionKind {
        name: "trouble",
        max_count: 10_000,
        required: false,
        fields: &[
            required("kind", FieldType::OneOf(TROUBLES)),
            required("at_s", SECONDS),
            optional("for_s", SECONDS, DefaultValue::Number(5.0)),
            // The beginning of hosts' names, a zone for a link, a group for a purge, nothing for the list.
            optional("target", FieldType::Name, DefaultValue::Text("")),
            optional("by", FieldType::Number(0.0, 1e6), DefaultValue::Number(0.0)),
            // From one host to the next.
            optional("step_s", SECONDS, DefaultValue::Number(0.0)),
            optional(
                "most",
                FieldType::Whole(0, 100_000),
                DefaultValue::Whole(100_000),
            ),
        ],
    },
    SectionKind {
        name: "divided",
        max_count: 1,
        required: false,
        fields: &[
            optional("voters", FieldType::Whole(1, 9), DefaultValue::Whole(3)),
            optional(
                "floors",
                FieldType::Number(0.0, 1.0),
                DefaultValue::Number(0.25),
            ),
            optional("cold", FieldType::Flag, DefaultValue::Flag(true)),
        ],
    },
    // Traffic between zones, as in the operator's own file.
    trailproxy_zones_tools::sections::KINDS[0],
    trailproxy_zones_tools::sections::KINDS[1],
];

const FLEET: &[FieldSpec] = &[
    optional(
        "flow_kb_per_s",
        FieldType::Number(0.1, 1e9),
        DefaultValue::Number(3_600.0),
    ),
    optional(
        "fill_pace",
        FieldType::Number(0.1, 100.0),
        DefaultValue::Number(1.75),
    ),
    optional(
        "notes",
        FieldType::OneOf(&["all", "hits", "none"]),
        DefaultValue::Text("hits"),
    ),
    optional("joins", FieldType::Flag, DefaultValue::Flag(true)),
    optional("straight", FieldType::Flag, DefaultValue::Flag(true)),
    optional("link_told", FieldType::Flag, DefaultValue::Flag(false)),
    optional(
        "max_hand_offs",
        FieldType::Whole(1, 100),
        DefaultValue::Whole(6),
    ),
    optional("withdraw", FieldType::Flag, DefaultValue::Flag(true)),
    optional("longest_away_ms", MILLIS, DefaultValue::Number(2_000.0)),
    optional("list_delay_ms", MILLIS, DefaultValue::Number(300.0)),
    optional("purge_delay_ms", MILLIS, DefaultValue::Number(200.0)),
    optional("purge_grace_ms", MILLIS, DefaultValue::Number(500.0)),
    optional("purge_done_ms", MILLIS, DefaultValue::Number(6_000.0)),
    optional("fill_within_ms", MILLIS, DefaultValue::Number(2_500.0)),
    optional("noticed_ms", MILLIS, DefaultValue::Number(1_000.0)),
    optional("fallen_ms", MILLIS, DefaultValue::Number(5_000.0)),
    optional("hop_ms", MILLIS, DefaultValue::Number(1.0)),
    // On loopback bodies have all their bytes, as they do where traffic between zones is accounted for.
    optional("whole_bodies", FieldType::Flag, DefaultValue::Flag(false)),
    // Times what it can do; 0: it never falls over.
    optional(
        "origin_bears",
        FieldType::Number(0.0, 1_000.0),
        DefaultValue::Number(0.0),
    ),
    optional("cold_from", SHARE, DefaultValue::Number(0.25)),
    optional("cold_ms", MILLIS, DefaultValue::Number(14_000.0)),
    optional(
        "cold_multiple",
        FieldType::Number(0.1, 1_000.0),
        DefaultValue::Number(4.0),
    ),
    optional("parent_cold_from", SHARE, DefaultValue::Number(0.1)),
    optional("parent_cold_ms", MILLIS, DefaultValue::Number(20_000.0)),
    optional(
        "parent_cold_multiple",
        FieldType::Number(0.1, 1_000.0),
        DefaultValue::Number(2.0),
    ),
    optional("cold_within_ms", MILLIS, DefaultValue::Number(1_000.0)),
];

/// What clients of one stream ask for.
#[derive(Clone, Debug)]
pub struct Load {
    pub track: ClassId,
    pub zone: Option<ZoneId>,
    pub per_s: f64,
    pub objects: u64,
    pub zipf: f64,
    pub median_kb: f64,
    pub spread: f64,
    pub most_kb: f64,
    pub parts: u32,
    pub local: f64,
    pub once: f64,
    pub from: Timestamp,
    pub until: Timestamp,
    pub told: bool,
}

#[derive(Clone, Debug)]
pub struct Burst {
    pub track: ClassId,
    pub from: Timestamp,
    pub until: Timestamp,
    pub times: f64,
}

/// Dispatchers of this share are killed, and start again from nothing after the span.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Kill {
    pub at: Timestamp,
    pub share: f64,
    pub away: TimeSpan,
}

impl Kill {
    /// Whether it strikes a dispatcher: the same ones on the same day, whoever decides there.
    pub fn strikes(&self, seed: u64, seat: usize) -> bool {
        let drawn = crate::chance::mix(crate::chance::mix(seed, self.at.0), seat as u64) % 10_000;
        (drawn as f64) < self.share * 10_000.0
    }
}

/// All that one day of a fleet is drawn from.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub name: String,
    pub length: TimeSpan,
    pub counted_from: Timestamp,
    pub shape: Shape,
    /// Dispatchers by zone.
    pub seats: Vec<u32>,
    pub track_names: Vec<String>,
    pub importance: Vec<f64>,
    pub limits: Vec<TimeSpan>,
    pub loads: Vec<Load>,
    pub bursts: Vec<Burst>,
    pub script: Vec<Cue>,
    pub kills: Vec<Kill>,
    pub retries: u32,
    pub away: TimeSpan,
    pub hop: TimeSpan,
    pub list_delay: TimeSpan,
    pub purge_delay: TimeSpan,
    pub purge_grace: TimeSpan,
    pub whole_bodies: bool,
    pub terms: DispatcherSettings,
    /// Budgets are divided among the dispatchers, in the model by so many voters, the first ones.
    pub divided: Option<Divided>,
    /// Traffic between zones is accounted for, and kept within these limits.
    pub zones: Option<Rules>,
    /// The same in names, for a dispatcher on sockets.
    pub zones_sheet: Option<trailproxy_zones::decide::config::ZonesConfig>,
}

fn millis(section: &Section, field: &str) -> TimeSpan {
    TimeSpan::from_secs_f64(section.number(field) / 1e3)
}

fn at_second(section: &Section, field: &str) -> Timestamp {
    DAWN + TimeSpan::from_secs_f64(section.number(field))
}

fn some(span: TimeSpan) -> Option<TimeSpan> {
    Some(span).filter(|&span| span > TimeSpan::ZERO)
}

/// How budgets are divided in the model; on loopback a trial says it.
#[derive(Clone, Debug)]
pub struct Divided {
    pub voters: usize,
    pub floors: f64,
    pub cold: bool,
}

impl Divided {
    fn of(section: &Section) -> Divided {
        Divided {
            voters: section.whole("voters") as usize,
            floors: section.number("floors"),
            cold: section.flag("cold"),
        }
    }
}

impl Scenario {
    /// Reads a script from disk.
    pub fn load(path: &str) -> Result<Scenario, Box<ConfigError>> {
        Scenario::from_sheet(&trailproxy_operator::read_file(path, KINDS)?)
    }

    pub fn from_sheet(sheet: &ParsedFile) -> Result<Scenario, Box<ConfigError>> {
        let defaults = trailproxy_operator::read(
            "defaults",
            "fleet()".into(),
            &KINDS[1..2],
            Default::default(),
        )?;
        let fleet = sheet.one("fleet").or(defaults.one("fleet"));
        let (Some(head), Some(fleet)) = (sheet.one("scenario"), fleet) else {
            unreachable!("the reader asks for a scenario, and the defaults hold a fleet");
        };
        let zones: Vec<Zone> = sheet.all("zone").map(zone).collect();
        let zone_at = |name: &str| sheet.all("zone").position(|zone| zone.text("name") == name);
        let zone_id = |name: &str| ZoneId(zone_at(name).unwrap_or(0) as u16);
        let track_at = |name: &str| {
            sheet
                .all("track")
                .position(|track| track.text("name") == name)
        };
        let track_id = |name: &str| ClassId(track_at(name).unwrap_or(0) as u16);
        let mut hosts: Vec<HostShape> = Vec::new();
        for section in sheet.all("hosts") {
            let role = match section.text("role") {
                "cache" => Role::Cache,
                "parent" => Role::Parent,
                _ => Role::Origin,
            };
            if role == Role::Origin
                && (section.whole("count") > 1 || hosts.iter().any(|h| h.role == role))
            {
                return Err(section.field_error("role", "one origin in all"));
            }
            let zone = zone_id(section.text("zone"));
            for _ in 0..section.whole("count") {
                let nth = hosts
                    .iter()
                    .filter(|h| h.role == role && h.zone == zone)
                    .count();
                let name = format!("{}/{}/{nth}", section.text("zone"), section.text("role"));
                hosts.push(HostShape {
                    id: HostId::of_name(&name),
                    name,
                    role,
                    zone,
                    cell: CellId(section.whole("cell") as u16),
                    size: section.number("size"),
                    room_kb: section.number("room_kb"),
                    first_byte: millis(section, "first_byte_ms"),
                    places: section.whole("places") as usize,
                });
            }
        }
        if !hosts.iter().any(|host| host.role == Role::Cache) {
            let first = sheet.one("hosts").unwrap_or(head);
            return Err(first.field_error("role", "at least one section of caches"));
        }
        let seats: Vec<u32> = sheet
            .all("zone")
            .map(|zone| zone.whole("dispatchers") as u32)
            .collect();
        if seats.iter().sum::<u32>() == 0 {
            let first = sheet.one("zone").unwrap_or(head);
            return Err(first.field_error(
                "dispatchers",
                "at least one dispatcher in all zones together",
            ));
        }
        for (section, seats) in sheet.all("zone").zip(&seats) {
            let zone = zone_id(section.text("name"));
            let caches = hosts
                .iter()
                .any(|host| host.role == Role::Cache && host.zone == zone);
            if *seats > 0 && !caches {
                return Err(section.field_error("dispatchers", "none in a zone that has no cache"));
            }
        }
        let classes: Vec<ClassSettings> = sheet.all("track").map(track).collect();
        for section in sheet.all("track") {
            if section.number("due_ms") > section.number("limit_ms") {
                return Err(section.field_error("due_ms", "a due time no longer than limit_ms"));
            }
        }
        let shape = Shape {
            zones,
            hosts,
            tracks: classes.clone(),
            flow_kb_per_s: fleet.number("flow_kb_per_s"),
            fill_kb_per_s: fleet.number("flow_kb_per_s") * fleet.number("fill_pace"),
            cold_cache: cold(fleet, "cold_from", "cold_ms", "cold_multiple"),
            cold_parent: cold(
                fleet,
                "parent_cold_from",
                "parent_cold_ms",
                "parent_cold_multiple",
            ),
            purge_done: millis(fleet, "purge_done_ms"),
            fill_within: millis(fleet, "fill_within_ms"),
            noticed_after: millis(fleet, "noticed_ms"),
            origin_bears: Some(fleet.number("origin_bears")).filter(|&bears| bears > 0.0),
            fallen_for: millis(fleet, "fallen_ms"),
        };
        let has = |role: Role| {
            shape
                .hosts
                .iter()
                .any(|host| host.role == role)
                .then(|| kind_of(role))
        };
        let terms = DispatcherSettings {
            zone: ZoneId(0),
            dispatchers: seats.iter().sum(),
            dispatchers_by_zone: seats.clone(),
            parent_kind: has(Role::Parent),
            origin_kind: has(Role::Origin),
            classes,
            stream_kb_per_s: shape.flow_kb_per_s,
            link_kb_per_s: None,
            link_load_reported: fleet.flag("link_told"),
            capacities_reported: true,
            probes_enabled: false,
            joins_fills: fleet.flag("joins"),
            allows_direct: fleet.flag("straight"),
            note_level: match fleet.text("notes") {
                "all" => NoteLevel::All,
                "hits" => NoteLevel::Hits,
                _ => NoteLevel::None,
            },
            max_attempts: fleet.whole("max_hand_offs") as usize,
            may_cancel: fleet.flag("withdraw"),
            max_retry_after: some(millis(fleet, "longest_away_ms")),
            host_list_on_request: false,
            cache_slow_start: shape.cold_cache,
            parent_slow_start: shape.cold_parent,
            purge_propagation: shape.purge_done,
        };
        let mut scenario = Scenario {
            name: head.text("name").into(),
            length: TimeSpan::from_secs_f64(head.number("seconds")),
            counted_from: at_second(head, "from_s"),
            seats,
            track_names: sheet
                .all("track")
                .map(|track| track.text("name").into())
                .collect(),
            importance: sheet
                .all("track")
                .map(|track| track.number("importance"))
                .collect(),
            limits: sheet
                .all("track")
                .map(|track| millis(track, "limit_ms"))
                .collect(),
            loads: Vec::new(),
            bursts: Vec::new(),
            script: Vec::new(),
            kills: Vec::new(),
            retries: sheet
                .one("clients")
                .map_or(1, |clients| clients.whole("retries") as u32),
            away: sheet
                .one("clients")
                .map_or(TimeSpan::from_millis(300), |clients| {
                    millis(clients, "away_ms")
                }),
            hop: millis(fleet, "hop_ms"),
            list_delay: millis(fleet, "list_delay_ms"),
            purge_delay: millis(fleet, "purge_delay_ms"),
            purge_grace: millis(fleet, "purge_grace_ms"),
            shape,
            terms,
            zones: None,
            divided: sheet.one("divided").map(Divided::of),
            whole_bodies: fleet.flag("whole_bodies"),
            zones_sheet: trailproxy_zones_tools::sections::zones_config(sheet),
        };
        let names = scenario.names();
        let told = scenario
            .zones_sheet
            .as_ref()
            .map(|told| told.resolve(&names));
        scenario.whole_bodies |= told.is_some();
        scenario.zones = told.transpose().map_err(|unfit| {
            Box::new(ConfigError {
                position: trailproxy_operator::Position {
                    file: unfit.file,
                    line: unfit.position.0,
                    column: unfit.position.1,
                },
                section: unfit.section.into(),
                field: Some(unfit.field.into()),
                found: unfit.found,
                wanted: unfit.wanted,
            })
        })?;
        for section in sheet.all("stream") {
            scenario.loads.push(Load {
                track: track_id(section.text("track")),
                zone: Some(section.text("zone"))
                    .filter(|name| !name.is_empty())
                    .map(zone_id),
                per_s: section.number("per_s"),
                objects: section.whole("objects") as u64,
                zipf: section.number("zipf"),
                median_kb: section.number("median_kb"),
                spread: section.number("spread"),
                most_kb: section.number("most_kb"),
                parts: section.whole("parts") as u32,
                local: section.number("local"),
                once: section.number("once"),
                from: at_second(section, "from_s"),
                until: at_second(section, "until_s"),
                told: section.flag("told"),
            });
            let seats = scenario.loads.last().and_then(|load| load.zone);
            if seats.is_some_and(|zone| scenario.seats[usize::from(zone.0)] == 0) {
                return Err(section.field_error("zone", "a zone that has dispatchers"));
            }
        }
        for section in sheet.all("burst") {
            let from = at_second(section, "at_s");
            scenario.bursts.push(Burst {
                track: track_id(section.text("track")),
                from,
                until: from + TimeSpan::from_secs_f64(section.number("for_s")),
                times: section.number("times"),
            });
        }
        for section in sheet.all("trouble") {
            scenario.trouble(section, &zone_at)?;
        }
        Ok(scenario)
    }

    /// Turns one section into what happens to each host that its target names.
    fn trouble(
        &mut self,
        section: &Section,
        zone_at: &dyn Fn(&str) -> Option<usize>,
    ) -> Result<(), Box<ConfigError>> {
        let (kind, target, by) = (
            section.text("kind"),
            section.text("target"),
            section.number("by"),
        );
        let (at, span) = (
            at_second(section, "at_s"),
            TimeSpan::from_secs_f64(section.number("for_s")),
        );
        let one = |trouble| vec![Cue { at, trouble }];
        let cues = match kind {
            "link" => {
                let Some(zone) = zone_at(target) else {
                    return Err(section.field_error("target", "the name of a zone, for a link"));
                };
                one(Trouble::Link(ZoneId(zone as u16), by.max(1e-3), span))
            }
            "late_list" => one(Trouble::LateList(TimeSpan::from_secs_f64(by), span)),
            "purge" => {
                let Ok(group) = target.parse::<u32>() else {
                    return Err(section.field_error("target", "the number of a group, for a purge"));
                };
                one(Trouble::Purge(None, GroupId(group)))
            }
            "dispatchers" => {
                if !(0.0..=1.0).contains(&by) {
                    return Err(section.field_error("by", "a share from 0 to 1, for dispatchers"));
                }
                self.kills.push(Kill {
                    at,
                    share: by,
                    away: span,
                });
                Vec::new()
            }
            _ => {
                let named = |host: &&HostShape| !target.is_empty() && host.name.starts_with(target);
                let most = section.whole("most") as usize;
                let hosts: Vec<&HostShape> =
                    self.shape.hosts.iter().filter(named).take(most).collect();
                if hosts.is_empty() {
                    let names = self
                        .shape
                        .hosts
                        .iter()
                        .map(|host| host.name.as_str())
                        .take(6);
                    let wanted = format!(
                        "the beginning of a host's name, as {}",
                        names.collect::<Vec<_>>().join(", ")
                    );
                    return Err(section.field_error("target", wanted));
                }
                if matches!(kind, "garbage" | "resets" | "ageing") && by > 1.0 {
                    return Err(
                        section.field_error("by", format!("a share from 0 to 1, for {kind}"))
                    );
                }
                let step = section.number("step_s");
                let cue = |(nth, host): (usize, &HostShape)| {
                    let trouble = match kind {
                        "crash" => Trouble::Crash(host.id, span),
                        "silence" => Trouble::Silence(host.id, span),
                        "slow" => Trouble::Slow(host.id, by.max(1.0), span),
                        "stall" => Trouble::Stall(host.id, span),
                        "garbage" => Trouble::Garbage(host.id, by, span),
                        "resets" => Trouble::Resets(host.id, by, span),
                        "ageing" => Trouble::Ageing(host.id, by, span),
                        "roll" => Trouble::Roll(host.id, span),
                        _ => Trouble::Replace(
                            host.id,
                            HostId::of_name(&format!("{}+", host.name)),
                            span,
                        ),
                    };
                    Cue {
                        at: at + TimeSpan::from_secs_f64(step * nth as f64),
                        trouble,
                    }
                };
                hosts.into_iter().enumerate().map(cue).collect()
            }
        };
        self.script.extend(cues);
        Ok(())
    }

    /// What a dispatcher in a zone is told when it starts.
    pub fn terms(&self, zone: ZoneId) -> DispatcherSettings {
        let link = self.shape.zones[usize::from(zone.0)].link_kb_per_s;
        let link_kb_per_s = Some(link).filter(|&kb| kb > 0.0);
        DispatcherSettings {
            zone,
            link_kb_per_s,
            ..self.terms.clone()
        }
    }

    /// Zones and tracks by name, each at the place of its id.
    pub fn names(&self) -> Names {
        Names {
            zones: self
                .shape
                .zones
                .iter()
                .map(|zone| zone.name.clone())
                .collect(),
            classes: self.track_names.clone(),
        }
    }

    /// Hosts by name, for reports.
    pub fn host_names(&self) -> BTreeMap<HostId, String> {
        self.shape
            .hosts
            .iter()
            .map(|host| (host.id, host.name.clone()))
            .collect()
    }

    pub fn rule_bounds(&self) -> crate::rules::Bounds {
        crate::rules::Bounds {
            tracks: self.shape.tracks.clone(),
            cold_cache: self.shape.cold_cache,
            cold_parent: self.shape.cold_parent,
            parent_kind: kind_of(Role::Parent),
            origin_kind: kind_of(Role::Origin),
            flow_kb_per_s: self.shape.flow_kb_per_s,
            drain_within: TimeSpan::from_secs(2),
            purge_grace: self.purge_grace,
            slack: TimeSpan::from_millis(60),
            overlap: TimeSpan::ZERO,
            cold_slack: 1.1,
        }
    }
}

fn cold(fleet: &Section, from: &str, warm: &str, multiple: &str) -> SlowStart {
    SlowStart {
        initial_capacity: fleet.number(from),
        duration: millis(fleet, warm),
        overload_factor: fleet.number(multiple),
        overload_window: millis(fleet, "cold_within_ms"),
        shared_by: None,
    }
}

fn zone(section: &Section) -> Zone {
    Zone {
        name: section.text("name").into(),
        link_kb_per_s: section.number("link_kb_per_s"),
        distance: millis(section, "distance_ms"),
    }
}

fn track(section: &Section) -> ClassSettings {
    ClassSettings {
        target: millis(section, "due_ms"),
        target_stretch: section.number("stretch"),
        effect: match section.text("effect") {
            "retriable" => Effect::Idempotent,
            "binding" => Effect::NonIdempotent,
            _ => Effect::Keyed {
                group: match section.text("group") {
                    "all" => RepeatGroup::All,
                    "zone" => RepeatGroup::Zone,
                    _ => RepeatGroup::Cell,
                },
                window: millis(section, "window_ms"),
            },
        },
        fresh_for: some(millis(section, "fresh_ms")),
        stale_grace: millis(section, "grace_ms"),
        is_write: section.flag("written"),
    }
}
