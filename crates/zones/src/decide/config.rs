//! What the operator's file says of traffic between zones, in names, and what must hold of it.
//!
//! The script is read by the command line, which hands it on as JSON; whoever knows the zones and tracks turns the
//! names into ids with [`ZonesConfig::resolve`]. Each complaint names file, line, column, section and field.

use super::Rules;
use super::budget::Limit;
use super::rise::Alarm;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use trailproxy::units::*;

/// Line and column of each field, from 1; of the section itself under the empty name.
pub type Positions = BTreeMap<String, (usize, usize)>;

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ZonesConfig {
    pub file: String,
    pub on: bool,
    pub report_s: f64,
    /// Tracks that go first beside the written, fingerprinted and binding ones.
    #[serde(rename = "first")]
    pub priority_classes: Vec<String>,
    /// A file that Prometheus text is written to; empty: none.
    pub metrics: String,
    pub alarm: Option<Alarm>,
    #[serde(rename = "places")]
    pub positions: Positions,
    pub crossings: Vec<CrossingConfig>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CrossingConfig {
    pub name: String,
    /// Empty: from all other zones together.
    pub out_of: String,
    pub into: String,
    /// 0: it is learned.
    pub kb_per_s: f64,
    pub burst_kb: f64,
    pub reserve_kb_per_s: f64,
    pub largest_kb: f64,
    pub least_kb_per_s: f64,
    pub most_kb_per_s: f64,
    #[serde(rename = "places")]
    pub positions: Positions,
}

/// What does not fit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    pub file: String,
    pub position: (usize, usize),
    pub section: &'static str,
    pub field: &'static str,
    pub found: String,
    pub wanted: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (line, column) = self.position;
        write!(
            f,
            "{}:{line}:{column}: section {}, field {}: ",
            self.file, self.section, self.field
        )?;
        write!(f, "found {}, accepted: {}", self.found, self.wanted)
    }
}

impl std::error::Error for ConfigError {}

/// The zones and tracks that there are, each at the place of its id.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Names {
    pub zones: Vec<String>,
    pub classes: Vec<String>,
}

impl ZonesConfig {
    fn unfit(
        &self,
        places: &Positions,
        at: (&'static str, &'static str),
        found: String,
        wanted: String,
    ) -> ConfigError {
        let place = places
            .get(at.1)
            .or(places.get(""))
            .copied()
            .unwrap_or((1, 1));
        let file = self.file.clone();
        let (section, field) = at;
        ConfigError {
            file,
            position: place,
            section,
            field,
            found,
            wanted,
        }
    }

    /// What must hold whatever zones and tracks there are.
    pub fn check(&self) -> Result<(), ConfigError> {
        for crossing in &self.crossings {
            let wrong = |field: &'static str, found: f64, wanted: String| {
                Err(self.unfit(
                    &crossing.positions,
                    ("crossing", field),
                    found.to_string(),
                    wanted,
                ))
            };
            let learned = crossing.kb_per_s == 0.0;
            let (least, most) = (crossing.least_kb_per_s, crossing.most_kb_per_s);
            if learned && !(least > 0.0 && most >= least) {
                let wanted =
                    "a rate above 0, or 0 with least_kb_per_s above 0 and most_kb_per_s no less"
                        .into();
                return wrong("kb_per_s", crossing.kb_per_s, wanted);
            }
            let rate = if learned { least } else { crossing.kb_per_s };
            // What a second and the burst together can't carry would wait for a free moment that never comes.
            if crossing.largest_kb > rate + crossing.burst_kb {
                let wanted = format!(
                    "{} or less: what one second and the burst carry",
                    rate + crossing.burst_kb
                );
                return wrong("largest_kb", crossing.largest_kb, wanted);
            }
            if crossing.reserve_kb_per_s > rate {
                let wanted =
                    format!("{rate} or less: the whole rate, or the least one where it is learned");
                return wrong("reserve_kb_per_s", crossing.reserve_kb_per_s, wanted);
            }
            if crossing.out_of == crossing.into {
                let wanted = "another zone than into".into();
                let found = format!("{:?}", crossing.out_of);
                return Err(self.unfit(&crossing.positions, ("crossing", "out_of"), found, wanted));
            }
        }
        Ok(())
    }

    /// The rules, with names as ids.
    pub fn resolve(&self, names: &Names) -> Result<Rules, ConfigError> {
        self.check()?;
        let among = |all: &[String], name: &str| all.iter().position(|known| known == name);
        let zone = |crossing: &CrossingConfig, field: &'static str, name: &str| {
            among(&names.zones, name)
                .map(|nth| ZoneId(nth as u16))
                .ok_or_else(|| {
                    let wanted = format!("one of {}", names.zones.join(", "));
                    self.unfit(
                        &crossing.positions,
                        ("crossing", field),
                        format!("{name:?}"),
                        wanted,
                    )
                })
        };
        let mut rules = Rules {
            report_every: TimeSpan::from_secs_f64(self.report_s),
            alarm: self.alarm,
            ..Rules::default()
        };
        for name in &self.priority_classes {
            let track = among(&names.classes, name).ok_or_else(|| {
                let wanted = format!("names among {}", names.classes.join(", "));
                self.unfit(
                    &self.positions,
                    ("zones", "first"),
                    format!("{name:?}"),
                    wanted,
                )
            })?;
            rules.priority_classes.push(ClassId(track as u16));
        }
        for crossing in &self.crossings {
            let from = match crossing.out_of.as_str() {
                "" => None,
                name => Some(zone(crossing, "out_of", name)?),
            };
            let learned = crossing.kb_per_s == 0.0;
            let rate = if learned {
                crossing.least_kb_per_s
            } else {
                crossing.kb_per_s
            };
            rules.limits.push(Limit {
                name: crossing.name.clone(),
                from,
                to: zone(crossing, "into", &crossing.into)?,
                kb_per_s: rate,
                burst_kb: crossing.burst_kb,
                reserve: crossing.reserve_kb_per_s / rate,
                learned: learned.then_some((crossing.least_kb_per_s, crossing.most_kb_per_s)),
            });
        }
        Ok(rules)
    }
}
