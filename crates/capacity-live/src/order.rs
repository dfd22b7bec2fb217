//! What a worker process is to run.

use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;
use trailproxy::units::TimeSpan;
use trailproxy_peers::decide::PeersSettings;
use trailproxy_peers::sites::Site;

/// One hollow member, as all workers know it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hollow {
    pub name: String,
    pub address: SocketAddrV4,
    pub life: u64,
}

/// What a worker is to run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// Those that it runs.
    pub own: Vec<Hollow>,
    /// All hollow members of the fleet, in this worker and in others: they know each other from the start, so that the
    /// cores of one worker do not hold each other up while hundreds join.
    pub known: Vec<Hollow>,
    pub seeds: Vec<SocketAddrV4>,
    /// Where all members are; empty: they do not say.
    pub sites: Vec<Site>,
    /// Traffic with these is counted for each by itself.
    pub watched: Vec<SocketAddrV4>,
    pub keep_s: f64,
    pub wait_ms: f64,
    /// After so long every copy from before a purge is gone.
    pub purges_last_s: f64,
}

impl Order {
    /// By what its members run.
    pub fn rules(&self) -> PeersSettings {
        PeersSettings::sharing_all(
            TimeSpan::from_secs_f64(self.wait_ms / 1_000.0),
            TimeSpan::from_secs_f64(self.keep_s),
            TimeSpan::from_secs_f64(self.purges_last_s),
        )
    }
}
