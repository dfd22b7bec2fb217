//! The operator's sections about traffic between zones, in names, and their checks.
//!
//! The command line reads the file and passes the sections on as JSON. [`ZonesConfig::resolve`]
//! turns the names of zones and classes into ids. Each error names file, line, column, section and
//! field.

use super::Rules;
use super::budget::Limit;
use super::rise::Alarm;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use trailproxy::units::*;

/// Line and column of each field, from 1; the empty name stands for the section itself.
pub type Positions = BTreeMap<String, (usize, usize)>;

/// The section `zones` with all sections `crossing`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ZonesConfig {
    /// The file that holds the sections.
    pub file: String,
    /// Whether the sections apply.
    pub on: bool,
    /// Interval between reports, in seconds.
    pub report_s: f64,
    /// Classes that have priority beside writes, keyed and non-idempotent ones.
    #[serde(rename = "first")]
    pub priority_classes: Vec<String>,
    /// A file to which metrics are written as Prometheus text; empty: none.
    pub metrics: String,
    /// Settings of the detection of rises; `None`: no alarms.
    pub alarm: Option<Alarm>,
    /// Where each field stands.
    #[serde(rename = "places")]
    pub positions: Positions,
    /// The sections `crossing`.
    pub crossings: Vec<CrossingConfig>,
}

/// One section `crossing`: a limit of traffic into a zone.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CrossingConfig {
    /// Name of the limit.
    pub name: String,
    /// The zone that traffic comes from; empty: all other zones together.
    pub out_of: String,
    /// The zone that traffic goes to.
    pub into: String,
    /// The rate; 0: it is learned.
    pub kb_per_s: f64,
    /// The burst.
    pub burst_kb: f64,
    /// The part of the rate that is reserved for priority traffic.
    pub reserve_kb_per_s: f64,
    /// The largest object that has to fit; 0: not checked.
    pub largest_kb: f64,
    /// The smallest learned rate.
    pub least_kb_per_s: f64,
    /// The largest learned rate.
    pub most_kb_per_s: f64,
    /// Where each field stands.
    #[serde(rename = "places")]
    pub positions: Positions,
}

/// A value that is not acceptable, with its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The file.
    pub file: String,
    /// Line and column, from 1.
    pub position: (usize, usize),
    /// The section.
    pub section: &'static str,
    /// The field.
    pub field: &'static str,
    /// The value that was found.
    pub found: String,
    /// The values that are accepted.
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

/// Names of zones and classes; the index of each is its id.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Names {
    pub zones: Vec<String>,
    pub classes: Vec<String>,
}

impl ZonesConfig {
    /// The error for a field.
    fn error(
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

    /// Checks what does not depend on the names of zones and classes.
    pub fn check(&self) -> Result<(), ConfigError> {
        for crossing in &self.crossings {
            let reject = |field: &'static str, found: f64, wanted: String| {
                Err(self.error(
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
                return reject("kb_per_s", crossing.kb_per_s, wanted);
            }
            let rate = if learned { least } else { crossing.kb_per_s };
            // What exceeds one second and the burst together could never be sent.
            if crossing.largest_kb > rate + crossing.burst_kb {
                let wanted = format!(
                    "{} or less: what one second and the burst carry",
                    rate + crossing.burst_kb
                );
                return reject("largest_kb", crossing.largest_kb, wanted);
            }
            if crossing.reserve_kb_per_s > rate {
                let wanted =
                    format!("{rate} or less: the whole rate, or the least one where it is learned");
                return reject("reserve_kb_per_s", crossing.reserve_kb_per_s, wanted);
            }
            if crossing.out_of == crossing.into {
                let wanted = "another zone than into".into();
                let found = format!("{:?}", crossing.out_of);
                return Err(self.error(&crossing.positions, ("crossing", "out_of"), found, wanted));
            }
        }
        Ok(())
    }

    /// The settings, with ids in place of names.
    pub fn resolve(&self, names: &Names) -> Result<Rules, ConfigError> {
        self.check()?;
        let index_of = |all: &[String], name: &str| all.iter().position(|known| known == name);
        let zone = |crossing: &CrossingConfig, field: &'static str, name: &str| {
            index_of(&names.zones, name)
                .map(|nth| ZoneId(nth as u16))
                .ok_or_else(|| {
                    let wanted = format!("one of {}", names.zones.join(", "));
                    self.error(
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
            let class = index_of(&names.classes, name).ok_or_else(|| {
                let wanted = format!("names among {}", names.classes.join(", "));
                self.error(
                    &self.positions,
                    ("zones", "first"),
                    format!("{name:?}"),
                    wanted,
                )
            })?;
            rules.priority_classes.push(ClassId(class as u16));
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
