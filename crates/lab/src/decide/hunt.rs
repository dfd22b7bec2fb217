//! Looks for days on which the design loses most, and cuts the worst down to what matters.
//!
//! First days are drawn at random, then the worst so far are changed a little, then the worst is shrunk by
//! [`Shrink`]. What a day came to is told from outside, so that the search plays nothing itself.

use crate::decide::shrink::{Part, Shrink};
use rand::Rng;
use rand::rngs::StdRng;
use std::fmt;

/// One trouble of a day, in the words of a scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct Strike {
    pub kind: &'static str,
    /// The beginning of hosts' names, a zone, or a group.
    pub target: String,
    /// In tenths of a second.
    pub at: u32,
    pub span: u32,
    /// How bad it is: a factor or a share, as the kind has it.
    pub by: f64,
}

/// A line for a scenario's file.
impl fmt::Display for Strike {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (at, span) = (f64::from(self.at) / 10.0, f64::from(self.span) / 10.0);
        write!(f, "trouble(kind = \"{}\", ", self.kind)?;
        if !self.target.is_empty() {
            write!(f, "target = \"{}\", ", self.target)?;
        }
        write!(f, "at_s = {at}, for_s = {span}, by = {:.3}", self.by)?;
        f.write_str(if self.kind == "roll" {
            ", step_s = 4)"
        } else {
            ")"
        })
    }
}

/// The mildest form of a kind: factors end at 2, spans at 1 s.
const LEAST_SPAN: u32 = 10;

impl Part for Strike {
    fn weaker(&self) -> Option<Strike> {
        if self.span > LEAST_SPAN {
            let span = (self.span / 2).max(LEAST_SPAN);
            return Some(Strike {
                span,
                ..self.clone()
            });
        }
        let halved = match self.kind {
            "slow" if self.by > 4.0 => self.by / 2.0,
            "garbage" | "resets" | "dispatchers" if self.by > 0.1 => self.by / 2.0,
            "link" | "ageing" if self.by < 0.5 => self.by * 2.0,
            _ => return None,
        };
        Some(Strike {
            by: halved,
            ..self.clone()
        })
    }
}

/// What a day may be struck by.
#[derive(Clone, Debug)]
pub struct Targets {
    /// Hosts by name, and whole sets of them.
    pub caches: Vec<String>,
    pub parents: Vec<String>,
    pub origin: Option<String>,
    pub zones: Vec<String>,
    /// Tenths of a second.
    pub length: u32,
}

impl Targets {
    fn pick<'a>(from: &'a [String], chance: &mut StdRng) -> &'a str {
        if from.is_empty() {
            ""
        } else {
            &from[chance.random_range(0..from.len())]
        }
    }

    /// Draws one trouble; some strike one host, some a whole set.
    pub fn draw(&self, chance: &mut StdRng) -> Strike {
        let caches = Targets::pick(&self.caches, chance).to_owned();
        let parents = Targets::pick(&self.parents, chance).to_owned();
        let origin = self.origin.clone().unwrap_or_else(|| parents.clone());
        let any = [&caches, &parents, &origin][chance.random_range(0..3)].clone();
        let inner = [&caches, &parents][chance.random_range(0..2)].clone();
        let zone = Targets::pick(&self.zones, chance).to_owned();
        let group = chance.random_range(0..256u32).to_string();
        let share = chance.random_range(0.1..0.9);
        let (kind, target, by) = match chance.random_range(0..12u32) {
            0 => ("crash", inner, 0.0),
            1 => ("silence", any, 0.0),
            2 | 3 => ("slow", any, chance.random_range(3.0..40.0)),
            4 => (
                "stall",
                [parents, origin][chance.random_range(0..2)].clone(),
                0.0,
            ),
            5 => ("garbage", inner, share),
            6 => ("resets", inner, share),
            7 => ("ageing", caches, share),
            8 => ("roll", inner, 0.0),
            9 => ("link", zone, share * 0.5),
            10 => ("purge", group, 0.0),
            _ => ("dispatchers", String::new(), share),
        };
        let at = chance.random_range(self.length / 5..self.length * 7 / 10);
        let span = chance.random_range(10..(self.length / 3).max(11));
        Strike {
            kind,
            target,
            at,
            span,
            by,
        }
    }
}

/// What a day came to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Score {
    /// Service lost against who sees the true state.
    pub loss: f64,
    pub rules_broken: bool,
}

impl Score {
    /// A broken rule is worse than any loss.
    fn badness(self) -> f64 {
        self.loss + if self.rules_broken { 10.0 } else { 0.0 }
    }
}

/// A found day keeps this part of its badness while it is cut down.
const STAYS: f64 = 0.8;
/// So many of the worst days are changed further.
const KEPT: usize = 6;

/// A search in progress: ask for the next day, tell its score.
pub struct Hunt {
    targets: Targets,
    chance: StdRng,
    draws_left: usize,
    changes_left: usize,
    worst: Vec<(f64, Vec<Strike>)>,
    proposed: Vec<Strike>,
    shrink: Option<(f64, Shrink<Strike>)>,
    shrink_tries: usize,
}

impl Hunt {
    /// So many days in all: half of them drawn, a quarter changed, a quarter to cut the worst down.
    pub fn new(targets: Targets, days: usize, chance: StdRng) -> Hunt {
        Hunt {
            targets,
            chance,
            draws_left: days.div_ceil(2),
            changes_left: days / 4,
            worst: Vec::new(),
            proposed: Vec::new(),
            shrink: None,
            shrink_tries: days / 4,
        }
    }

    /// The next day to play; `None` when the search is over.
    pub fn to_try(&mut self) -> Option<Vec<Strike>> {
        self.proposed = if self.draws_left > 0 {
            self.draws_left -= 1;
            let n = self.chance.random_range(1..=4);
            (0..n)
                .map(|_| self.targets.draw(&mut self.chance))
                .collect()
        } else if self.changes_left > 0 {
            self.changes_left -= 1;
            self.changed()
        } else {
            let (badness, parts) = self.worst.first().cloned()?;
            let tries = self.shrink_tries;
            let fresh = || (badness * STAYS, Shrink::new(parts, tries));
            self.shrink.get_or_insert_with(fresh).1.to_try()?
        };
        Some(self.proposed.clone())
    }

    /// One of the worst days with one trouble more, less, moved, or worse.
    fn changed(&mut self) -> Vec<Strike> {
        let nth = self.chance.random_range(0..self.worst.len().max(1));
        let Some((_, mut day)) = self.worst.get(nth).cloned() else {
            return vec![self.targets.draw(&mut self.chance)];
        };
        let at = self.chance.random_range(0..day.len().max(1));
        let more = day.len() > 1;
        match (self.chance.random_range(0..4u32), day.get_mut(at)) {
            (0, Some(_)) if more => {
                day.remove(at);
            }
            (1, Some(strike)) => {
                strike.at = self.chance.random_range(0..self.targets.length * 7 / 10)
            }
            (2, Some(strike)) => strike.span = (strike.span * 3 / 2).min(self.targets.length / 2),
            _ => day.push(self.targets.draw(&mut self.chance)),
        }
        day
    }

    pub fn tried(&mut self, score: Score) {
        let badness = score.badness();
        if let Some((enough, shrink)) = &mut self.shrink {
            shrink.tried(badness >= *enough);
            return;
        }
        let day = std::mem::take(&mut self.proposed);
        let place = self.worst.partition_point(|(worse, _)| *worse >= badness);
        self.worst.insert(place, (badness, day));
        self.worst.truncate(KEPT);
    }

    /// The worst day, cut down as far as the search came.
    pub fn found(&self) -> Option<Vec<Strike>> {
        let shrunk = self
            .shrink
            .as_ref()
            .map(|(_, shrink)| shrink.parts().to_vec());
        shrunk.or_else(|| self.worst.first().map(|(_, day)| day.clone()))
    }
}
