//! The sections that an operator's file may hold, for every task that reads one.

use trailproxy_budgets::config::BudgetsConfig;
use trailproxy_operator::decide::{
    DefaultValue, FieldType, ParsedFile, SectionKind, optional, required,
};
use trailproxy_peers::config::{PeersConfig, Unsure};
use trailproxy_peers::sites::Site;
use trailproxy_shared_store::config::StoreConfig;

/// Sections of the operator's own file.
pub const OPERATOR: &[SectionKind] = &[
    crate::lab::KIND,
    trailproxy_zones_tools::sections::KINDS[0],
    trailproxy_zones_tools::sections::KINDS[1],
    STORE,
    PEERS,
    SITE,
    BUDGETS,
];

/// Every section that a file of either sort may hold, none of them needed.
pub fn kinds() -> Vec<SectionKind> {
    let mut all: Vec<SectionKind> = Vec::new();
    for kind in OPERATOR.iter().chain(trailproxy_lab::scenario::KINDS) {
        if !all.iter().any(|known| known.name == kind.name) {
            all.push(SectionKind {
                required: false,
                ..*kind
            });
        }
    }
    all
}

/// The section `store`.
pub const STORE: SectionKind = SectionKind {
    name: "store",
    max_count: 1,
    required: false,
    fields: &[
        optional("on", FieldType::Flag, DefaultValue::Flag(true)),
        required("host", FieldType::Name),
        optional(
            "port",
            FieldType::Whole(1, 65_535),
            DefaultValue::Number(6_379.0),
        ),
        optional("password_file", FieldType::Name, DefaultValue::Text("")),
        optional("prefix", FieldType::Name, DefaultValue::Text("trailproxy/")),
        optional(
            "wait_ms",
            FieldType::Number(0.5, 100.0),
            DefaultValue::Number(4.0),
        ),
        optional(
            "keep_s",
            FieldType::Number(1.0, 3_600.0),
            DefaultValue::Number(30.0),
        ),
        optional("records", FieldType::Flag, DefaultValue::Flag(false)),
        optional("hints", FieldType::Flag, DefaultValue::Flag(false)),
        optional("purges", FieldType::Flag, DefaultValue::Flag(false)),
        optional("words", FieldType::Flag, DefaultValue::Flag(false)),
    ],
};

/// What a checked script says; `None` where it has no section `store`, or that is not on.
pub fn store_sheet(script: &ParsedFile) -> Option<StoreConfig> {
    let of = script.one("store").filter(|of| of.flag("on"))?;
    Some(StoreConfig {
        file: script.file.clone(),
        position: (of.position.line, of.position.column),
        host: of.text("host").into(),
        port: of.number("port") as u16,
        password_file: of.text("password_file").into(),
        prefix: of.text("prefix").into(),
        wait_ms: of.number("wait_ms"),
        keep_s: of.number("keep_s"),
        records: of.flag("records"),
        hints: of.flag("hints"),
        purges: of.flag("purges"),
        words: of.flag("words"),
    })
}

/// The section `peers`.
pub const PEERS: SectionKind = SectionKind {
    name: "peers",
    max_count: 1,
    required: false,
    fields: &[
        optional("on", FieldType::Flag, DefaultValue::Flag(true)),
        required("fleet", FieldType::Name),
        optional("secret_file", FieldType::Name, DefaultValue::Text("")),
        optional("listen", FieldType::Address, DefaultValue::Text("")),
        optional("advertise", FieldType::Address, DefaultValue::Text("")),
        required("seeds", FieldType::Addresses),
        optional(
            "unsure",
            FieldType::OneOf(&["send", "refuse"]),
            DefaultValue::Text("send"),
        ),
        optional(
            "wait_ms",
            FieldType::Number(0.5, 100.0),
            DefaultValue::Number(5.0),
        ),
        optional(
            "keep_s",
            FieldType::Number(1.0, 3_600.0),
            DefaultValue::Number(30.0),
        ),
        optional("records", FieldType::Flag, DefaultValue::Flag(true)),
        optional("purges", FieldType::Flag, DefaultValue::Flag(true)),
        optional("hosts", FieldType::Flag, DefaultValue::Flag(true)),
        optional("hints", FieldType::Flag, DefaultValue::Flag(true)),
    ],
};

/// What a checked script says; `None` where it has no section `peers`, or that is not on.
pub fn peers_sheet(script: &ParsedFile) -> Option<PeersConfig> {
    let of = script.one("peers").filter(|of| of.flag("on"))?;
    Some(PeersConfig {
        file: script.file.clone(),
        position: (of.position.line, of.position.column),
        fleet: of.text("fleet").into(),
        secret_file: of.text("secret_file").into(),
        listen: of.text("listen").into(),
        advertise: of.text("advertise").into(),
        seeds: of.names("seeds").into_iter().map(str::to_owned).collect(),
        unsure: match of.text("unsure") {
            "refuse" => Unsure::Refuse,
            _ => Unsure::Send,
        },
        wait_ms: of.number("wait_ms"),
        keep_s: of.number("keep_s"),
        records: of.flag("records"),
        purges: of.flag("purges"),
        hosts: of.flag("hosts"),
        hints: of.flag("hints"),
        sites: sites(script),
    })
}

/// The section `site`, one for each place that has dispatchers.
pub const SITE: SectionKind = SectionKind {
    name: "site",
    max_count: MOST_SITES,
    required: false,
    fields: &[
        required("name", FieldType::Name),
        required("zone", FieldType::Name),
        required("region", FieldType::Name),
        required("members", FieldType::AddressRanges),
    ],
};

/// A bound on the sites of one file.
const MOST_SITES: usize = 1_000;

fn sites(script: &ParsedFile) -> Vec<Site> {
    let site = script.all(SITE.name).map(|of| Site {
        position: (of.position.line, of.position.column),
        name: of.text("name").into(),
        zone: of.text("zone").into(),
        region: of.text("region").into(),
        members: of.names("members").into_iter().map(str::to_owned).collect(),
    });
    site.collect()
}

/// The section `budgets`.
pub const BUDGETS: SectionKind = SectionKind {
    name: "budgets",
    max_count: 1,
    required: false,
    fields: &[
        optional("on", FieldType::Flag, DefaultValue::Flag(true)),
        required("voters", FieldType::Names),
        optional(
            "floors",
            FieldType::Number(0.0, 1.0),
            DefaultValue::Number(0.25),
        ),
        optional(
            "lasts_s",
            FieldType::Number(0.5, 60.0),
            DefaultValue::Number(2.0),
        ),
        optional("cold", FieldType::Flag, DefaultValue::Flag(true)),
    ],
};

/// What a checked script says; `None` where it has no section `budgets`, or that is not on.
pub fn budgets_sheet(script: &ParsedFile) -> Option<BudgetsConfig> {
    let of = script.one("budgets").filter(|of| of.flag("on"))?;
    Some(BudgetsConfig {
        file: script.file.clone(),
        position: (of.position.line, of.position.column),
        voters: of.names("voters").into_iter().map(str::to_owned).collect(),
        floors: of.number("floors"),
        lasts_s: of.number("lasts_s"),
        cold: of.flag("cold"),
    })
}
