//! A real dispatcher as a process of its own, ended when its handle is dropped.

use crate::surroundings::{PeersTerms, Surroundings, peers_section};
use crate::usage::Usage;
use serde_json::json;
use std::io;
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tokio::time::{Instant, sleep};
use trailproxy_peers::sites::Site;
use trailproxy_standins::addresses::{free_datagram_address, free_stream_address};
use trailproxy_standins::client::Caller;

/// A dispatcher that does not answer a heartbeat by then has not come up.
const UP_WITHIN: Duration = Duration::from_secs(20);
const HEARTBEAT_WITHIN: Duration = Duration::from_millis(500);
const LOOK_AGAIN: Duration = Duration::from_millis(50);

/// The programs and the folder of a run.
#[derive(Clone, Debug)]
pub struct Place {
    /// The dispatcher's program, `trailproxyd`.
    pub daemon: PathBuf,
    /// The program of this crate, `hollow-members`.
    pub hollow: PathBuf,
    /// Where configurations and logs go while it runs.
    pub folder: PathBuf,
}

/// What one dispatcher is started with.
#[derive(Clone, Copy, Debug)]
pub struct Start<'a> {
    pub name: &'a str,
    pub seed: u64,
    /// How many members the fleet is to have.
    pub fleet_size: usize,
    /// Where the others write to it.
    pub listen: SocketAddrV4,
    pub seeds: &'a [SocketAddrV4],
    /// Where all members are; empty: they do not say.
    pub sites: &'a [Site],
    /// `None`: it stays alone, with peers off.
    pub terms: Option<PeersTerms>,
}

/// A running dispatcher.
pub struct Dispatcher {
    child: Child,
    pub name: String,
    /// Where clients write to it.
    pub clients: SocketAddr,
    /// Where other dispatchers write to it.
    pub peers: SocketAddrV4,
}

impl Drop for Dispatcher {
    fn drop(&mut self) {
        // Both fail only where it has ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Dispatcher {
    /// Starts the process; it need not be up yet.
    pub fn start(
        place: &Place,
        surroundings: &Surroundings,
        start: Start,
    ) -> io::Result<Dispatcher> {
        let clients = free_stream_address()?;
        let mut config = surroundings.config(start.name, start.seed, start.fleet_size)?;
        config["listen"] = json!(clients.to_string());
        if let Some(terms) = start.terms {
            let operator = place.folder.join(format!("{}-operator.json", start.name));
            let section = peers_section(terms, start.listen, start.seeds, start.sites);
            std::fs::write(&operator, section.to_string())?;
            config["operator"] = json!(operator);
        }
        let path = place.folder.join(format!("{}.json", start.name));
        std::fs::write(&path, config.to_string())?;
        let log = std::fs::File::create(place.folder.join(format!("{}.log", start.name)))?;
        let child = spawn(&place.daemon, &path, log)?;
        Ok(Dispatcher {
            child,
            name: start.name.to_owned(),
            clients,
            peers: start.listen,
        })
    }

    /// The id of its process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits until it answers clients.
    pub async fn ready(&self) -> io::Result<()> {
        let until = Instant::now() + UP_WITHIN;
        let caller = Caller::new(self.clients);
        while !caller.heartbeat(HEARTBEAT_WITHIN).await {
            if Instant::now() > until {
                let name = &self.name;
                return Err(io::Error::other(format!("{name} does not answer clients")));
            }
            sleep(LOOK_AGAIN).await;
        }
        Ok(())
    }

    /// What it used so far.
    pub fn usage(&self) -> io::Result<Usage> {
        Usage::of(self.id())
    }
}

fn spawn(daemon: &Path, config: &Path, log: std::fs::File) -> io::Result<Child> {
    let mut command = Command::new(daemon);
    command.env("RELAY_CONFIG", config);
    for variable in [
        "RELAY_NAME",
        "RELAY_LISTEN",
        "RELAY_OPERATOR",
        "RELAY_PEERS",
    ] {
        command.env_remove(variable);
    }
    command.stdin(Stdio::null());
    command.stdout(log.try_clone()?).stderr(log);
    let unstarted = |e: io::Error| {
        let program = daemon.display();
        io::Error::new(e.kind(), format!("{program} can't be started: {e}"))
    };
    command.spawn().map_err(unstarted)
}

/// Addresses that no datagram socket has.
pub fn free_datagram_addresses(n: usize) -> io::Result<Vec<SocketAddrV4>> {
    (0..n).map(|_| v4(free_datagram_address()?)).collect()
}

/// Where a datagram socket of loopback is bound to.
pub fn bound_to(socket: &UdpSocket) -> io::Result<SocketAddrV4> {
    v4(socket.local_addr()?)
}

fn v4(address: SocketAddr) -> io::Result<SocketAddrV4> {
    match address {
        SocketAddr::V4(address) => Ok(address),
        SocketAddr::V6(_) => Err(io::ErrorKind::AddrNotAvailable.into()),
    }
}
