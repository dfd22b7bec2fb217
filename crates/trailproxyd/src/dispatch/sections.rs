//! Sections of the settings and of the operator's file: each subsystem is switched on, changed or off.

use super::Dispatch;
use crate::operator::{PeersTold, Told, longest_window};
use crate::peered::Peered;
use crate::peers;
use crate::store;
use crate::subsystems::Shared;
use local_channel::mpsc;
use slog::{info, warn};
use tokio::time::Instant;
use trailproxy::interface::{CrossingLimits, DispatcherSettings, Event, HostListKind};
use trailproxy::units::Timestamp;
use trailproxy_peers::decide::members::Own;
use trailproxy_peers::decide::messages::PeerId;
use trailproxy_peers::decide::{Peers, life};
use trailproxy_peers::sites;
use trailproxy_peers::wire::Seal;
use trailproxy_shared_store::config::StoreConfig;
use trailproxy_shared_store::decide::SharedState;
use trailproxy_terms::Reports;
use trailproxy_zones::decide::config::ZonesConfig;
use trailproxy_zones::{Rules, Zones};

impl Dispatch {
    /// Other settings, with the same tracks, zone, kinds and bounds: what is open goes on. Budgets of traffic
    /// between zones start afresh, when the operator's file is read again behind this.
    pub(super) fn follow(
        &mut self,
        now: Timestamp,
        (terms, reports): (DispatcherSettings, Reports),
    ) {
        info!(self.log, "settings followed"; "probes" => terms.probes_enabled, "sizes_told" => terms.capacities_reported,
            "link_told" => terms.link_load_reported, "straight" => terms.allows_direct, "open" => self.state.requests.len());
        self.reports = reports;
        if let Some((_, known, _)) = &mut self.accounts {
            *known = terms.clone();
        }
        self.decisions.crossings.zones = None;
        self.decisions.apply_settings(now, terms);
        self.state.told = true;
    }

    /// What the operator's file says: each subsystem is switched on, changed or off.
    pub fn operator(&mut self, told: Told) -> Result<(), String> {
        self.zones(told.zones);
        self.store(told.store);
        self.peers(told.peers)?;
        let now = self.clock.moment(Instant::now());
        if let Some((_, terms, seed)) = &self.accounts {
            let beside = &mut self.decisions.crossings;
            let fresh = (
                self.name.as_str(),
                life(now, *seed ^ u64::from(std::process::id())),
            );
            let told = told.budgets.as_deref();
            beside.budgets(now, told, fresh, (terms, *seed), &self.log);
        }
        Ok(())
    }

    /// What is held in common with other dispatchers: another section begins anew. Where its socket can't be had, the
    /// former one is gone as well.
    pub(super) fn peers(&mut self, told: Option<Box<PeersTold>>) -> Result<(), String> {
        let now = self.clock.moment(Instant::now());
        let kept = &mut self.decisions.crossings.peers;
        if kept.as_ref().map(|kept| &kept.told) == told.as_deref() {
            return Ok(());
        }
        let mut socket = None;
        let ended = kept.take().map(|mut kept| {
            kept.leave(now);
            // The same address goes on with the same socket.
            let same = told.as_ref().map(|told| told.addresses.listen);
            socket = Some(kept.socket.clone()).filter(|_| same == Some(kept.told.addresses.listen));
            kept.end()
        });
        for arrival in ended.into_iter().flatten() {
            self.go(now, arrival);
        }
        let (Some((_, terms, seed)), log) = (&self.accounts, &self.log) else {
            return Ok(());
        };
        let Some(told) = told else {
            info!(log, "peers are off");
            return Ok(());
        };
        let config = &told.config;
        let longest = longest_window(terms, self.pools.shared.bounds.longest_limit);
        let rules = config.rules(longest, terms.purge_propagation)?;
        let listen = told.addresses.listen;
        let socket = socket
            .map_or_else(|| peers::bind(listen), Ok)
            .map_err(|e| {
                let [a, b, c, d] = listen.ip;
                let found = format!("{a}.{b}.{c}.{d}:{} ({e})", listen.port);
                config.wrong("listen", &found, "an address of this machine that is free")
            })?;
        // Never the same for two processes.
        let drawn = *seed ^ now.0.rotate_left(20) ^ u64::from(std::process::id());
        let own = Own {
            id: PeerId::of_name(&self.name),
            address: told.addresses.advertise,
            life: life(now, drawn),
            seeds: told.addresses.seeds.clone(),
            topology: told.topology.clone(),
        };
        let site = sites::site_of(&config.sites, told.addresses.advertise);
        info!(log, "peers are on"; "file" => &config.file, "fleet" => &config.fleet, "seeds" => told.addresses.seeds.len(),
            "site" => site.map_or("none", |site| &site.name));
        let (to, asked) = mpsc::channel();
        let seal = Seal::new(&config.fleet, &told.secret);
        let queue = self.pools.shared.queue.clone();
        tokio::task::spawn_local(peers::carry(
            socket.clone(),
            seal,
            queue,
            asked,
            log.clone(),
        ));
        let dues = terms.classes.iter().map(|track| track.target).collect();
        let core = Peers::new(now, own, rules, drawn);
        let mut begun = Peered::new(*told, core, (socket, to), dues, log.clone());
        let (kind, entries) = (HostListKind::Full, self.pools.entries());
        begun.listed(now, &entries, self.state.place);
        begun.heard(&Event::HostList { kind, entries });
        self.decisions.crossings.peers = Some(begun);
        Ok(())
    }

    /// What dispatchers share: another section begins anew, and whoever waited for the store goes on.
    pub(super) fn store(&mut self, told: Option<Box<StoreConfig>>) {
        let now = self.clock.moment(Instant::now());
        let Some((_, terms, seed)) = &self.accounts else {
            return;
        };
        let shared = &mut self.decisions.crossings.shared;
        if shared.as_ref().map(|shared| &shared.config) == told.as_deref() {
            return;
        }
        let ended = shared.take();
        if let Some(config) = told {
            let longest = longest_window(terms, self.pools.shared.bounds.longest_limit);
            match config.rules(longest, terms.purge_propagation) {
                Ok(rules) => {
                    // Never the same for two processes, or one would take another's records for its own.
                    let life = *seed ^ now.0.rotate_left(20) ^ u64::from(std::process::id());
                    let (to, asked) = mpsc::channel();
                    let (queue, log) = (self.pools.shared.queue.clone(), self.log.clone());
                    tokio::task::spawn_local(store::carry(
                        *config.clone(),
                        queue,
                        asked,
                        log.clone(),
                    ));
                    info!(log, "store is on"; "file" => &config.file, "host" => &config.host, "port" => config.port);
                    let dues = terms.classes.iter().map(|track| track.target).collect();
                    let mut begun =
                        Shared::new(*config, SharedState::new(now, rules, life), to, dues, log);
                    let (kind, entries) = (HostListKind::Full, self.pools.entries());
                    begun.heard(now, &Event::HostList { kind, entries });
                    *shared = Some(begun);
                }
                Err(why) => warn!(self.log, "operator's file refused"; "why" => why),
            }
        } else {
            info!(self.log, "store is off");
        }
        for arrival in ended.into_iter().flat_map(Shared::end) {
            self.go(now, arrival);
        }
    }

    /// What the operator's file says of traffic between zones: counts and what is open are kept.
    pub(super) fn zones(&mut self, told: Option<Box<(ZonesConfig, Rules)>>) {
        let now = self.clock.moment(Instant::now());
        let Some((accounts, terms, seed)) = &mut self.accounts else {
            return;
        };
        let crossings = &mut self.decisions.crossings.zones;
        let Some(told) = told else {
            if crossings.take().is_some() {
                info!(self.log, "zones are off");
            }
            return;
        };
        let (config, rules) = *told;
        accounts.follow(&config);
        info!(self.log, "zones are on"; "file" => &config.file, "limits" => rules.limits.len());
        match crossings {
            Some(zones) => zones.apply_rules(now, rules),
            None => {
                let mut zones = Zones::new(terms, rules, *seed);
                let kind = HostListKind::Full;
                let entries = self.pools.entries();
                zones.on_event(now, &Event::HostList { kind, entries });
                *crossings = Some(zones);
            }
        }
    }
}
