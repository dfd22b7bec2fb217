//! The faults of a trial, read from a script or drawn from a seed, and the shortest script that still fails.

use serde::Serialize;
use std::fmt;
use trailproxy_operator::decide::{
    DefaultValue, FieldType, ParsedFile, Section, SectionKind, optional, required,
};

/// The kind of an injected fault. [`Strike::who`] names the dispatchers that it is applied to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum What {
    /// No message passes between these dispatchers and the others, in either direction.
    Cut,
    /// No message passes from these dispatchers to the others; messages to them still arrive.
    Mute,
    /// A share of the messages is lost.
    Lose,
    /// A share of the messages is sent twice.
    Double,
    /// Messages are delayed further, by this mean in milliseconds.
    Slow,
    /// Messages pass at this rate at most, in KB/s.
    Trickle,
    /// In a share of the messages one bit is flipped.
    Garbage,
    /// The processes are killed.
    Kill,
    /// The processes are paused.
    Pause,
    /// The processes are restarted one after the other.
    Roll,
    /// The processes read their configuration again.
    Reread,
    /// The clock is ahead, by milliseconds, from the start of the process on.
    Clock,
    /// The clock runs fast, by millionths, from the start of the process on.
    Fast,
    /// Nothing from the journal service reaches these dispatchers.
    Silent,
    /// The shared store answers slowly. All faults of the store apply to it whatever dispatchers are named.
    StoreSlow,
    StoreLate,
    StorePause,
    StoreDrop,
    StoreGarbage,
    StoreClosed,
    StoreWipe,
    StoreSplit,
    StoreRestart,
}

/// The kinds of fault of dispatchers and of the messages between them; these are drawn at random.
pub const ALL: [What; 14] = [
    What::Cut,
    What::Mute,
    What::Lose,
    What::Double,
    What::Slow,
    What::Trickle,
    What::Garbage,
    What::Kill,
    What::Pause,
    What::Roll,
    What::Reread,
    What::Clock,
    What::Fast,
    What::Silent,
];

/// The kinds of fault of the shared store.
pub const STORE: [What; 9] = [
    What::StoreSlow,
    What::StoreLate,
    What::StorePause,
    What::StoreDrop,
    What::StoreGarbage,
    What::StoreClosed,
    What::StoreWipe,
    What::StoreSplit,
    What::StoreRestart,
];

/// The names of the kinds in a script, in the order of the variants of [`What`].
const WORDS: [&str; 23] = [
    "cut",
    "mute",
    "lose",
    "double",
    "slow",
    "trickle",
    "garbage",
    "kill",
    "pause",
    "roll",
    "reread",
    "clock",
    "fast",
    "silent",
    "store_slow",
    "store_late",
    "store_pause",
    "store_drop",
    "store_garbage",
    "store_closed",
    "store_wipe",
    "store_split",
    "store_restart",
];

impl What {
    /// The name in a script.
    pub fn word(self) -> &'static str {
        WORDS[self as usize]
    }

    fn from_name(name: &str) -> Option<What> {
        let all = ALL.into_iter().chain(STORE);
        all.into_iter().find(|what| what.word() == name)
    }

    /// The amount where a script names none: a share, milliseconds, millionths or KB/s, by the kind.
    pub fn usual(self) -> f64 {
        match self {
            What::Lose => 0.2,
            What::Double => 0.5,
            What::Slow => 60.0,
            What::Trickle => 8.0,
            What::Garbage => 0.2,
            What::Clock => 500.0,
            What::Fast => 10_000.0,
            What::StoreSlow | What::StoreLate => 60.0,
            _ => 0.0,
        }
    }
}

/// One injected fault.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Strike {
    /// The kind of fault.
    pub what: What,
    /// When it begins, in seconds of the run.
    pub at_s: f64,
    /// How long it lasts, in seconds.
    pub for_s: f64,
    /// Indices of the dispatchers that it applies to. A cut applies to the routes with exactly one end among these, a
    /// mute to the routes from these to others, other faults of messages to the routes with at least one end among these.
    pub who: Vec<usize>,
    /// How strong it is, in the unit of its kind: see [`What::usual`].
    pub amount: f64,
}

impl fmt::Display for Strike {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Strike {
            what,
            at_s,
            for_s,
            who,
            amount,
        } = self;
        write!(
            f,
            "strike(what = \"{}\", at_s = {at_s:.2}, for_s = {for_s:.2}, who = {who:?}, amount = {amount})",
            what.word()
        )
    }
}

/// The configuration of a trial, beside that of the scenario.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Trial {
    /// Whether the dispatchers share records as peers.
    pub peers: bool,
    /// Whether the dispatchers share a store.
    pub store: bool,
    /// Whether budgets are divided among the dispatchers.
    pub budgets: bool,
    /// How many dispatchers, the first ones, vote on the division of budgets.
    pub voters: usize,
    /// The share of all requests that goes to the first dispatcher in addition to its equal share.
    pub busy: f64,
    /// Whether a keyed request is refused while it is uncertain whether its key was seen before; otherwise it is sent.
    pub refuse: bool,
    /// The setting `wait_ms` of the peers and of the store.
    pub wait_ms: f64,
    /// How long records are kept: the setting `keep_s` of the peers and of the store.
    pub keep_s: f64,
    /// How long all processes are up before the load begins. Records are complete only once the processes have been up
    /// for `keep_s`.
    pub lead_s: f64,
    /// Zones that the dispatchers are spread over in turn; 0: there is no distance between any two dispatchers.
    pub zones: usize,
    /// Whether dispatchers are configured with their sites; otherwise only the message delays between zones apply.
    pub sites: bool,
    /// Longest delay of a message between two zones of one region, in milliseconds.
    pub zone_ms: f64,
    /// Longest delay of a message between two zones of different regions, in milliseconds.
    pub region_ms: f64,
    /// How long a client waits for an answer before it sends the request again, in milliseconds.
    pub patience_ms: f64,
    /// How many of the last keyed requests that were done are repeated at every dispatcher at the end of the run.
    pub again: usize,
    /// Faults to draw at random.
    pub drawn: usize,
    /// The faults of the script, followed by the drawn ones.
    pub strikes: Vec<Strike>,
}

/// The sections of a trial's file, beside those of a scenario.
pub const KINDS: &[SectionKind] = &[
    SectionKind {
        name: "trial",
        max_count: 1,
        required: true,
        fields: &[
            optional("peers", FieldType::Flag, DefaultValue::Flag(true)),
            optional("store", FieldType::Flag, DefaultValue::Flag(false)),
            optional("budgets", FieldType::Flag, DefaultValue::Flag(false)),
            optional("voters", FieldType::Whole(1, 9), DefaultValue::Whole(3)),
            optional(
                "busy",
                FieldType::Number(0.0, 1.0),
                DefaultValue::Number(0.0),
            ),
            optional("refuse", FieldType::Flag, DefaultValue::Flag(false)),
            optional(
                "wait_ms",
                FieldType::Number(0.5, 100.0),
                DefaultValue::Number(5.0),
            ),
            optional(
                "keep_s",
                FieldType::Number(1.0, 600.0),
                DefaultValue::Number(5.0),
            ),
            optional(
                "lead_s",
                FieldType::Number(0.0, 600.0),
                DefaultValue::Number(7.0),
            ),
            optional("zones", FieldType::Whole(0, 6), DefaultValue::Whole(0)),
            optional("sites", FieldType::Flag, DefaultValue::Flag(true)),
            optional(
                "zone_ms",
                FieldType::Number(0.0, 100.0),
                DefaultValue::Number(10.0),
            ),
            optional(
                "region_ms",
                FieldType::Number(0.0, 200.0),
                DefaultValue::Number(40.0),
            ),
            optional(
                "patience_ms",
                FieldType::Number(50.0, 60_000.0),
                DefaultValue::Number(900.0),
            ),
            optional("again", FieldType::Whole(0, 1_000), DefaultValue::Whole(10)),
            optional("drawn", FieldType::Whole(0, 20), DefaultValue::Whole(0)),
        ],
    },
    SectionKind {
        name: "strike",
        max_count: 100,
        required: false,
        fields: &[
            required("what", FieldType::OneOf(&WORDS)),
            required("at_s", FieldType::Number(0.0, 10_000.0)),
            optional(
                "for_s",
                FieldType::Number(0.0, 10_000.0),
                DefaultValue::Number(2.0),
            ),
            required("who", FieldType::Numbers(0.0, 63.0)),
            optional(
                "amount",
                FieldType::Number(-1.0, 4e6),
                DefaultValue::Number(-1.0),
            ),
        ],
    },
];

/// The fault that a section describes.
fn fault_from_section(section: &Section) -> Strike {
    // The reader accepts only the names in WORDS, so the default is never used.
    let what = What::from_name(section.text("what")).unwrap_or(What::Cut);
    let amount = Some(section.number("amount")).filter(|&amount| amount >= 0.0);
    Strike {
        what,
        at_s: section.number("at_s"),
        for_s: section.number("for_s"),
        who: section
            .numbers("who")
            .into_iter()
            .map(|index| index as usize)
            .collect(),
        amount: amount.unwrap_or(what.usual()),
    }
}

impl Trial {
    /// Reads a trial from a parsed file; `None` where the file has no section `trial`.
    pub fn of(config: &ParsedFile) -> Option<Trial> {
        let head = config.one("trial")?;
        Some(Trial {
            peers: head.flag("peers"),
            store: head.flag("store"),
            budgets: head.flag("budgets"),
            voters: head.whole("voters") as usize,
            busy: head.number("busy"),
            refuse: head.flag("refuse"),
            wait_ms: head.number("wait_ms"),
            keep_s: head.number("keep_s"),
            lead_s: head.number("lead_s"),
            zones: head.whole("zones") as usize,
            sites: head.flag("sites"),
            zone_ms: head.number("zone_ms"),
            region_ms: head.number("region_ms"),
            patience_ms: head.number("patience_ms"),
            again: head.whole("again") as usize,
            drawn: head.whole("drawn") as usize,
            strikes: config.all("strike").map(fault_from_section).collect(),
        })
    }

    /// The zone of a dispatcher, where dispatchers are spread over zones.
    pub fn zone(&self, dispatcher: usize) -> Option<usize> {
        dispatcher.checked_rem(self.zones)
    }

    /// The region of a zone: each region has two zones.
    pub fn region(zone: usize) -> usize {
        zone / 2
    }

    /// The longest delay of a message between two dispatchers without faults, in milliseconds.
    pub fn distance_ms(&self, from: usize, to: usize) -> f64 {
        match self.zone(from).zip(self.zone(to)) {
            Some((from, to)) if Trial::region(from) != Trial::region(to) => self.region_ms,
            Some((from, to)) if from != to => self.zone_ms,
            _ => 0.0,
        }
    }

    /// Adds the faults that are drawn at random, for a run of this length with this many dispatchers.
    pub fn draw(&mut self, seconds: f64, dispatchers: usize, seed: u64) {
        let mut rng = fastrand::Rng::with_seed(seed);
        for _ in 0..std::mem::take(&mut self.drawn) {
            let what = ALL[rng.usize(0..ALL.len())];
            self.strikes
                .push(drawn(what, seconds, dispatchers, &mut rng));
        }
    }
}

/// Draws a fault of this kind. It begins after 20 to 40 % of the run and lasts for 15 to 30 % of it.
pub fn drawn(what: What, seconds: f64, dispatchers: usize, rng: &mut fastrand::Rng) -> Strike {
    let at_s = seconds * (0.2 + 0.2 * rng.f64());
    let for_s = seconds * (0.15 + 0.15 * rng.f64());
    let mut all: Vec<usize> = (0..dispatchers).collect();
    rng.shuffle(&mut all);
    // Seven times in eight at most half of the dispatchers, rounded up; otherwise all.
    let affected = match rng.u8(0..8) {
        0 => dispatchers,
        _ => 1 + rng.usize(0..dispatchers.div_ceil(2)),
    };
    all.truncate(affected);
    all.sort_unstable();
    Strike {
        what,
        at_s,
        for_s,
        who: all,
        amount: what.usual(),
    }
}

/// Removes the faults that the failure does not need: tries to leave out each fault in turn, and keeps it if the trial
/// passes without it.
pub fn shortest(strikes: &[Strike], mut fails: impl FnMut(&[Strike]) -> bool) -> Vec<Strike> {
    let mut needed = strikes.to_vec();
    let mut index = 0;
    while index < needed.len() {
        let mut without = needed.clone();
        without.remove(index);
        if fails(&without) {
            needed = without;
        } else {
            index += 1;
        }
    }
    needed
}
