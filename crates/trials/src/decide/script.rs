//! What strikes, by a script or drawn from a seed, and the shortest script that still fails.

use serde::Serialize;
use std::fmt;
use trailproxy_operator::decide::{
    DefaultValue, FieldType, ParsedFile, Section, SectionKind, optional, required,
};

/// One kind of thing that strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum What {
    /// No letter passes between these and the others, either way.
    Cut,
    /// None from these to the others.
    Mute,
    Lose,
    Double,
    Slow,
    Trickle,
    Garbage,
    Kill,
    Pause,
    Roll,
    Reread,
    /// Its clock is ahead, by milliseconds, from its start on.
    Clock,
    /// Its clock runs fast, by millionths.
    Fast,
    /// The journal service says nothing to these.
    Silent,
    /// What strikes the store that they share, whoever is named.
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

/// What strikes a store.
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
    pub fn word(self) -> &'static str {
        WORDS[self as usize]
    }

    fn of(word: &str) -> Option<What> {
        let all = ALL.into_iter().chain(STORE);
        all.into_iter().find(|what| what.word() == word)
    }

    /// What is usual where nothing is said: a share, milliseconds, or KB/s.
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

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Strike {
    pub what: What,
    pub at_s: f64,
    pub for_s: f64,
    /// Seats that it strikes; of ways, those that end at one of these and not the other.
    pub who: Vec<usize>,
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

/// How dispatchers are tried, beside the scenario.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Trial {
    pub peers: bool,
    /// Whether they share a store instead.
    pub store: bool,
    /// Whether budgets are divided among them, and by so many voters, the first ones.
    pub budgets: bool,
    pub voters: usize,
    /// The part of all requests that goes to the first dispatcher beside its share.
    pub busy: f64,
    /// Whether an access with a key that nobody is sure about is refused.
    pub refuse: bool,
    pub wait_ms: f64,
    pub keep_s: f64,
    /// All is up for so much longer before the day begins: records are whole only when they have been kept for once.
    pub lead_s: f64,
    /// Zones that the dispatchers are spread over, by turns; 0: all are near each other. And how long a message is on its
    /// way between two zones at the most, two of a region and two of different ones.
    pub zones: usize,
    /// Whether dispatchers say where they are; else only the distances are there.
    pub sites: bool,
    pub zone_ms: f64,
    pub region_ms: f64,
    pub patience_ms: f64,
    /// Requests that are sent again to everybody at the end.
    pub again: usize,
    pub drawn: usize,
    pub strikes: Vec<Strike>,
}

/// The sections of a trial, beside those of a scenario.
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

fn strike(section: &Section) -> Strike {
    // The reader takes these words only.
    let what = What::of(section.text("what")).unwrap_or(What::Cut);
    let amount = Some(section.number("amount")).filter(|&amount| amount >= 0.0);
    Strike {
        what,
        at_s: section.number("at_s"),
        for_s: section.number("for_s"),
        who: section
            .numbers("who")
            .into_iter()
            .map(|nth| nth as usize)
            .collect(),
        amount: amount.unwrap_or(what.usual()),
    }
}

impl Trial {
    pub fn of(sheet: &ParsedFile) -> Option<Trial> {
        let head = sheet.one("trial")?;
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
            strikes: sheet.all("strike").map(strike).collect(),
        })
    }

    /// The zone of a seat, where dispatchers say where they are.
    pub fn zone(&self, seat: usize) -> Option<usize> {
        seat.checked_rem(self.zones)
    }

    /// Two zones to a region.
    pub fn region(zone: usize) -> usize {
        zone / 2
    }

    /// How long a message is on its way between two seats at the most, in milliseconds.
    pub fn distance_ms(&self, from: usize, to: usize) -> f64 {
        match self.zone(from).zip(self.zone(to)) {
            Some((from, to)) if Trial::region(from) != Trial::region(to) => self.region_ms,
            Some((from, to)) if from != to => self.zone_ms,
            _ => 0.0,
        }
    }

    /// Adds what is drawn: kinds, times, seats, of a run of so many seconds with so many dispatchers.
    pub fn draw(&mut self, seconds: f64, seats: usize, seed: u64) {
        let mut chance = fastrand::Rng::with_seed(seed);
        for _ in 0..std::mem::take(&mut self.drawn) {
            let what = ALL[chance.usize(0..ALL.len())];
            self.strikes.push(drawn(what, seconds, seats, &mut chance));
        }
    }
}

/// One of this kind, somewhere in the middle of a run.
pub fn drawn(what: What, seconds: f64, seats: usize, chance: &mut fastrand::Rng) -> Strike {
    let at_s = seconds * (0.2 + 0.2 * chance.f64());
    let for_s = seconds * (0.15 + 0.15 * chance.f64());
    let mut all: Vec<usize> = (0..seats).collect();
    chance.shuffle(&mut all);
    // Most often the smaller part, now and then all.
    let few = match chance.u8(0..8) {
        0 => seats,
        _ => 1 + chance.usize(0..seats.div_ceil(2)),
    };
    all.truncate(few);
    all.sort_unstable();
    Strike {
        what,
        at_s,
        for_s,
        who: all,
        amount: what.usual(),
    }
}

/// Leaves out what the failure does not need, one strike after the other, for as long as it still fails.
pub fn shortest(strikes: &[Strike], mut fails: impl FnMut(&[Strike]) -> bool) -> Vec<Strike> {
    let mut left = strikes.to_vec();
    let mut nth = 0;
    while nth < left.len() {
        let mut without = left.clone();
        without.remove(nth);
        if fails(&without) {
            left = without;
        } else {
            nth += 1;
        }
    }
    left
}
