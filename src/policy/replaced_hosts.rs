//! Which hosts have been replaced by another one at their address.
//!
//! Two processes of one role cannot listen at one address. The host list may tell of a new host before it tells that the former one
//! at its address has gone; what is sent to the former one would reach the new one, past its slow start and outside the
//! repeat group.

use super::Role;
use crate::units::{HostId, Timestamp};
use std::collections::HashMap;
use std::net::SocketAddr;

/// A host that has not gone, and where it is.
#[derive(Clone, Copy, Debug)]
pub struct HostAddress {
    pub host: HostId,
    /// Hosts of different roles may share an address: one process may serve as both.
    pub role: Role,
    pub address: SocketAddr,
    /// The start of the host by the host list; `None`: long past.
    pub started: Option<Timestamp>,
}

/// Returns the hosts that have been replaced, when a host list tells of the hosts `listed` and the hosts `known` are known
/// from before. Of two hosts that the same list tells of, the one that has started later is there; if neither has, both
/// are kept.
///
/// ```
/// use trailproxy::policy::Role;
/// use trailproxy::policy::replaced_hosts::{HostAddress, replaced_hosts};
/// use trailproxy::units::HostId;
/// let at = |id, port| HostAddress {
///     host: HostId(id),
///     role: Role::Cache,
///     address: ([127, 0, 0, 1], port).into(),
///     started: None,
/// };
/// assert_eq!(replaced_hosts(&[at(1, 80), at(2, 81)], &[at(3, 80)]), [HostId(1)]);
/// assert_eq!(replaced_hosts(&[], &[at(1, 80), at(2, 80)]), []);
/// ```
pub fn replaced_hosts(known: &[HostAddress], listed: &[HostAddress]) -> Vec<HostId> {
    let mut newest: HashMap<(SocketAddr, Role), HostAddress> = HashMap::new();
    for &host in listed {
        let newest = newest.entry((host.address, host.role)).or_insert(host);
        if host.started > newest.started {
            *newest = host;
        }
    }
    let is_replaced = |host: &&HostAddress, same_age: bool| {
        let other = newest
            .get(&(host.address, host.role))
            .filter(|other| other.host != host.host);
        other.is_some_and(|other| {
            other.started > host.started || same_age && other.started == host.started
        })
    };
    let known = known.iter().filter(|host| is_replaced(host, true));
    let listed = listed.iter().filter(|host| is_replaced(host, false));
    known.chain(listed).map(|host| host.host).collect()
}
