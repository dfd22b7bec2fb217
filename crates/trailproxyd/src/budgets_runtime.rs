//! Budgets that are divided among the dispatchers of the fleet, while they are switched on: their decisions, with
//! messages as bytes.

use slog::{Logger, info, warn};
use trailproxy::interface::*;
use trailproxy::units::*;
use trailproxy_budgets::config::BudgetsConfig;
use trailproxy_budgets::decide::follower::BudgetFollower;
use trailproxy_budgets::decide::{BootId as HolderBootId, HolderId};
use trailproxy_peers::decide::messages::{BootId, PeerId};
use trailproxy_zones::Zones;

/// Budgets divided among the dispatchers.
pub struct BudgetsRuntime {
    /// The decisions.
    pub follower: BudgetFollower,
    log: Logger,
}

impl BudgetsRuntime {
    /// Starts with a section and the identity of this dispatcher.
    pub fn new(
        now: Timestamp,
        config: BudgetsConfig,
        identity: (PeerId, BootId),
        settings: &DispatcherSettings,
        seed: u64,
        log: Logger,
    ) -> BudgetsRuntime {
        info!(log, "budgets are on"; "file" => &config.file, "voters" => config.voters.len());
        let holder = (HolderId(identity.0.0), HolderBootId(identity.1.0));
        let follower = BudgetFollower::new(now, config, holder, settings, seed);
        BudgetsRuntime { follower, log }
    }

    /// The identity under which this dispatcher takes part.
    pub fn identity(&self) -> (PeerId, BootId) {
        let (id, boot_id) = self.follower.member();
        (PeerId(id.0), BootId(boot_id.0))
    }

    /// Whether it runs with this section and this identity.
    pub fn is_for(&self, config: &BudgetsConfig, identity: (PeerId, BootId)) -> bool {
        self.follower.config == *config && self.identity() == identity
    }

    /// Handles a message of another dispatcher. Bytes that cannot be read are ignored.
    pub fn on_message(&mut self, now: Timestamp, from: PeerId, bytes: &[u8]) {
        if let Some(message) = trailproxy_budgets::read(bytes) {
            self.follower.on_message(now, HolderId(from.0), message);
        }
    }

    /// Lets time pass, and logs budgets that dispatchers define differently.
    pub fn advance(&mut self, now: Timestamp, zones: &mut Option<Zones>) {
        self.follower.advance(now, zones);
        for mismatch in self.follower.take_mismatches() {
            warn!(self.log, "budget differs"; "name" => mismatch.name, "own" => mismatch.own, "another" => mismatch.other);
        }
    }

    /// Takes the messages to send: receiver and bytes.
    pub fn take_messages(&mut self) -> Vec<(PeerId, Vec<u8>)> {
        let messages = self.follower.take_messages().into_iter();
        messages
            .map(|(to, message)| (PeerId(to.0), trailproxy_budgets::write(&message)))
            .collect()
    }
}
