//! Applies the settings and the sections of the operator's file: each subsystem is switched on, changed or switched
//! off.

use super::Dispatch;
use crate::operator::{OperatorConfig, ResolvedPeers, longest_window};
use crate::peers_runtime::PeersRuntime;
use crate::peers_socket::{self, PeersSocket};
use crate::store_connection;
use crate::subsystems::StoreClient;
use local_channel::mpsc;
use slog::{info, warn};
use std::rc::Rc;
use tokio::time::Instant;
use trailproxy::interface::{CrossingLimits, DispatcherSettings, Event, HostListKind};
use trailproxy::units::Timestamp;
use trailproxy_peers::decide::members::OwnMember;
use trailproxy_peers::decide::messages::PeerId;
use trailproxy_peers::decide::{Peers, new_boot_id};
use trailproxy_peers::sites;
use trailproxy_peers::wire::Seal;
use trailproxy_shared_store::config::StoreConfig;
use trailproxy_shared_store::decide::SharedState;
use trailproxy_terms::Reports;
use trailproxy_zones::decide::config::ZonesConfig;
use trailproxy_zones::{Rules, Zones};

impl Dispatch {
    /// Applies other settings that have the same classes, zone, host kinds and bounds. Open requests continue. The
    /// budgets of traffic between zones start again when the operator's file, which is read after the settings, is
    /// applied.
    pub(super) fn apply_settings(
        &mut self,
        now: Timestamp,
        (settings, reports): (DispatcherSettings, Reports),
    ) {
        info!(self.log, "settings followed"; "probes" => settings.probes_enabled, "sizes_told" => settings.capacities_reported,
            "link_told" => settings.link_load_reported, "straight" => settings.allows_direct, "open" => self.state.requests.len());
        self.reports = reports;
        if let Some((_, stored, _)) = &mut self.accounts {
            *stored = settings.clone();
        }
        self.decisions.crossings.zones = None;
        self.decisions.apply_settings(now, settings);
        self.state.has_new_events = true;
    }

    /// Applies the operator's file: each subsystem is switched on, changed or switched off.
    pub fn apply_operator_config(&mut self, config: OperatorConfig) -> Result<(), String> {
        self.apply_zones_section(config.zones);
        self.apply_store_section(config.store);
        self.apply_peers_section(config.peers)?;
        let now = self.clock.timestamp(Instant::now());
        if let Some((_, settings, seed)) = &self.accounts {
            let subsystems = &mut self.decisions.crossings;
            let member = (
                self.name.as_str(),
                new_boot_id(now, *seed ^ u64::from(std::process::id())),
            );
            let section = config.budgets.as_deref();
            subsystems.apply_budgets_section(now, section, member, (settings, *seed), &self.log);
        }
        Ok(())
    }

    /// Applies the section `peers`. A section that differs from the present one ends the present state and starts
    /// again. If the socket of the new section cannot be opened, the former one is closed all the same.
    pub(super) fn apply_peers_section(
        &mut self,
        section: Option<Box<ResolvedPeers>>,
    ) -> Result<(), String> {
        let now = self.clock.timestamp(Instant::now());
        let present = &mut self.decisions.crossings.peers;
        if present.as_ref().map(|present| &present.section) == section.as_deref() {
            return Ok(());
        }
        let mut socket = None;
        let ended = present.take().map(|mut present| {
            present.leave(now);
            // The socket is kept if the address stays the same.
            let listen = section.as_ref().map(|section| section.addresses.listen);
            socket =
                Some(present.socket()).filter(|_| listen == Some(present.section.addresses.listen));
            present.stop()
        });
        for arrival in ended.into_iter().flatten() {
            self.submit_arrival(now, arrival);
        }
        let (Some((_, settings, seed)), log) = (&self.accounts, &self.log) else {
            return Ok(());
        };
        let Some(section) = section else {
            info!(log, "peers are off");
            return Ok(());
        };
        let config = &section.config;
        let min_retention = longest_window(settings, self.pools.shared.bounds.max_deadline);
        let rules = config.settings(min_retention, settings.purge_propagation)?;
        let listen = section.addresses.listen;
        let socket = socket
            .map_or_else(|| peers_socket::bind(listen), Ok)
            .map_err(|e| {
                let [a, b, c, d] = listen.ip;
                let found = format!("{a}.{b}.{c}.{d}:{} ({e})", listen.port);
                config.invalid_field("listen", &found, "a free address of this machine")
            })?;
        // Differs between any two processes.
        let seed = *seed ^ now.0.rotate_left(20) ^ u64::from(std::process::id());
        let own = OwnMember {
            id: PeerId::of_name(&self.name),
            address: section.addresses.advertise,
            boot_id: new_boot_id(now, seed),
            seeds: section.addresses.seeds.clone(),
            topology: section.topology.clone(),
        };
        let site = sites::site_of(&config.sites, section.addresses.advertise);
        info!(log, "peers are on"; "file" => &config.file, "fleet" => &config.fleet, "seeds" => section.addresses.seeds.len(),
            "site" => site.map_or("none", |site| &site.name));
        let (to, orders) = mpsc::channel();
        let seal = Seal::new(&config.fleet, &section.secret);
        let socket = Rc::new(PeersSocket::new(socket, seal, log.clone()));
        let queue = self.pools.shared.queue.clone();
        tokio::task::spawn_local(peers_socket::run(socket.clone(), queue, orders));
        let targets = settings.classes.iter().map(|class| class.target).collect();
        let decisions = Peers::new(now, own, rules, seed);
        let mut runtime =
            PeersRuntime::new(*section, decisions, (socket, to), targets, log.clone());
        let (kind, entries) = (HostListKind::Full, self.pools.host_entries());
        runtime.on_host_list(now, &entries, self.state.journal_position);
        runtime.on_event(&Event::HostList { kind, entries });
        self.decisions.crossings.peers = Some(runtime);
        Ok(())
    }

    /// Applies the section `store`. A section that differs from the present one starts again with a new connection, and
    /// requests that waited for the store continue.
    pub(super) fn apply_store_section(&mut self, section: Option<Box<StoreConfig>>) {
        let now = self.clock.timestamp(Instant::now());
        let Some((_, settings, seed)) = &self.accounts else {
            return;
        };
        let present = &mut self.decisions.crossings.store;
        if present.as_ref().map(|present| &present.config) == section.as_deref() {
            return;
        }
        let ended = present.take();
        if let Some(config) = section {
            let min_retention = longest_window(settings, self.pools.shared.bounds.max_deadline);
            match config.rules(min_retention, settings.purge_propagation) {
                Ok(rules) => {
                    // Differs between any two processes; otherwise one would take records of the other for its own.
                    let process_number =
                        *seed ^ now.0.rotate_left(20) ^ u64::from(std::process::id());
                    let (to, orders) = mpsc::channel();
                    let (queue, log) = (self.pools.shared.queue.clone(), self.log.clone());
                    tokio::task::spawn_local(store_connection::run(
                        *config.clone(),
                        queue,
                        orders,
                        log.clone(),
                    ));
                    info!(log, "store is on"; "file" => &config.file, "host" => &config.host, "port" => config.port);
                    let targets = settings.classes.iter().map(|class| class.target).collect();
                    let mut client = StoreClient::new(
                        *config,
                        SharedState::new(now, rules, process_number),
                        to,
                        targets,
                        log,
                    );
                    let (kind, entries) = (HostListKind::Full, self.pools.host_entries());
                    client.on_event(now, &Event::HostList { kind, entries });
                    *present = Some(client);
                }
                Err(reason) => warn!(self.log, "operator's file refused"; "why" => reason),
            }
        } else {
            info!(self.log, "store is off");
        }
        for arrival in ended.into_iter().flat_map(StoreClient::into_arrivals) {
            self.submit_arrival(now, arrival);
        }
    }

    /// Applies the section about traffic between zones. Counts and open crossings are kept.
    pub(super) fn apply_zones_section(&mut self, section: Option<Box<(ZonesConfig, Rules)>>) {
        let now = self.clock.timestamp(Instant::now());
        let Some((accounts, settings, seed)) = &mut self.accounts else {
            return;
        };
        let crossings = &mut self.decisions.crossings.zones;
        let Some(section) = section else {
            if crossings.take().is_some() {
                info!(self.log, "zones are off");
            }
            return;
        };
        let (config, rules) = *section;
        accounts.apply_config(&config);
        info!(self.log, "zones are on"; "file" => &config.file, "limits" => rules.limits.len());
        match crossings {
            Some(zones) => zones.apply_rules(now, rules),
            None => {
                let mut zones = Zones::new(settings, rules, *seed);
                let kind = HostListKind::Full;
                let entries = self.pools.host_entries();
                zones.on_event(now, &Event::HostList { kind, entries });
                *crossings = Some(zones);
            }
        }
    }
}
