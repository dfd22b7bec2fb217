//! Sites of the fleet's dispatchers: the operator's sections `site`.

use crate::decide::locality::{Locality, PeerZoneId, Topology};
use crate::decide::messages::Address;
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

/// A section `site`. Types were checked by the program that evaluated the script.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Site {
    /// Line and column of the section in its file, from 1.
    #[serde(rename = "place")]
    pub position: (usize, usize),
    /// The name of the site.
    pub name: String,
    /// The zone of the site.
    pub zone: String,
    /// The region of the zone.
    pub region: String,
    /// The dispatchers at this site: addresses to which others send, or networks.
    pub members: Vec<String>,
}

/// A range of addresses that belong to a site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Range {
    first: u32,
    last: u32,
    /// The only port that belongs to the range; `None`: every port.
    port: Option<u16>,
}

/// The accepted forms of a site's members, for error messages.
const MEMBER_FORMS: &str =
    "addresses as in 10.1.2.3 or 10.1.2.3:7946, or networks as in 10.1.2.0/24";

impl Range {
    fn read(text: &str) -> Option<Range> {
        if let Some((network, bits)) = text.split_once('/') {
            let network = u32::from(network.parse::<Ipv4Addr>().ok()?);
            let bits: u32 = bits.parse().ok().filter(|bits| *bits <= u32::BITS)?;
            let mask = u32::MAX.checked_shl(u32::BITS - bits).unwrap_or(0);
            let first = network & mask;
            let (last, port) = (first | !mask, None);
            return Some(Range { first, last, port });
        }
        if let Some((ip, port)) = text.split_once(':') {
            let first = u32::from(ip.parse::<Ipv4Addr>().ok()?);
            let (last, port) = (first, Some(port.parse().ok()?));
            return Some(Range { first, last, port });
        }
        let first = u32::from(text.parse::<Ipv4Addr>().ok()?);
        let (last, port) = (first, None);
        Some(Range { first, last, port })
    }

    fn contains(&self, address: Address) -> bool {
        let ip = u32::from(Ipv4Addr::from(address.ip));
        let port = self.port.is_none_or(|port| port == address.port);
        (self.first..=self.last).contains(&ip) && port
    }

    fn overlaps(&self, other: &Range) -> bool {
        let ports = self.port.zip(other.port);
        let port = ports.is_none_or(|(one, other)| one == other);
        self.first <= other.last && other.first <= self.last && port
    }
}

/// An invalid value, with its section and field.
struct InvalidValue<'a> {
    site: &'a Site,
    field: &'static str,
    found: String,
    accepted: String,
}

impl InvalidValue<'_> {
    fn message(&self, file: &str) -> String {
        let ((line, column), field) = (self.site.position, self.field);
        let (found, accepted) = (&self.found, &self.accepted);
        format!(
            "{file}:{line}:{column}: section site, field {field}: found {found}, accepted: {accepted}"
        )
    }
}

fn ranges(site: &Site) -> Result<Vec<Range>, InvalidValue<'_>> {
    let read = |text: &String| {
        Range::read(text).ok_or_else(|| InvalidValue {
            site,
            field: "members",
            found: format!("{text:?}"),
            accepted: MEMBER_FORMS.into(),
        })
    };
    site.members.iter().map(read).collect()
}

fn zones_in_one_region(sites: &[Site]) -> Result<(), InvalidValue<'_>> {
    for (index, site) in sites.iter().enumerate() {
        let other = sites[..index].iter().find(|other| other.zone == site.zone);
        if let Some(other) = other.filter(|other| other.region != site.region) {
            let (zone, region) = (&site.zone, &other.region);
            return Err(InvalidValue {
                site,
                field: "region",
                found: format!("{:?}", site.region),
                accepted: format!(
                    "{region:?}, where line {} has zone {zone:?}",
                    other.position.0
                ),
            });
        }
    }
    Ok(())
}

fn disjoint_members(sites: &[Site]) -> Result<(), InvalidValue<'_>> {
    let mut all: Vec<Vec<Range>> = Vec::new();
    for site in sites {
        let own = ranges(site)?;
        for (text, range) in site.members.iter().zip(&own) {
            let taken = all
                .iter()
                .position(|other| other.iter().any(|of| of.overlaps(range)));
            if let Some(other) = taken.and_then(|index| sites.get(index)) {
                return Err(InvalidValue {
                    site,
                    field: "members",
                    found: format!("{text:?}"),
                    accepted: format!(
                        "what site {:?} in line {} does not have",
                        other.name, other.position.0
                    ),
                });
            }
        }
        all.push(own);
    }
    Ok(())
}

/// Checks that each zone is in one region and no address belongs to two sites.
fn check(file: &str, sites: &[Site]) -> Result<(), String> {
    let checked = zones_in_one_region(sites).and_then(|()| disjoint_members(sites));
    checked.map_err(|invalid| invalid.message(file))
}

/// The zones of the fleet and the location of the dispatcher with this address; `None` if there are
/// no sites. It is an error if a zone is in two regions, or a dispatcher is at two sites or at
/// none; the message names what is invalid.
pub fn topology(file: &str, sites: &[Site], own: Address) -> Result<Option<Topology>, String> {
    let Some(first) = sites.first() else {
        return Ok(None);
    };
    check(file, sites)?;
    let Some(site) = site_of(sites, own) else {
        let [a, b, c, d] = own.ip;
        let invalid = InvalidValue {
            site: first,
            field: "members",
            found: format!(
                "no site with {a}.{b}.{c}.{d}:{}, which this dispatcher is written to",
                own.port
            ),
            accepted: "a site for each dispatcher, or no section site at all".into(),
        };
        return Err(invalid.message(file));
    };
    let locality = Locality::of_names(&site.name, &site.zone, &site.region);
    let zones = sites.iter().map(|site| PeerZoneId::of_name(&site.zone));
    Ok(Some(Topology::new(locality, zones)))
}

/// The site to which an address belongs.
pub fn site_of(sites: &[Site], own: Address) -> Option<&Site> {
    let contains = |site: &&Site| {
        let ranges = site.members.iter().filter_map(|text| Range::read(text));
        ranges.into_iter().any(|range| range.contains(own))
    };
    sites.iter().find(contains)
}
