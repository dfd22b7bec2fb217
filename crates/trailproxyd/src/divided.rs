//! Budgets of the whole fleet, as long as they are divided: the decisions of it, with their words as bytes.

use slog::{Logger, info, warn};
use trailproxy::interface::*;
use trailproxy::units::*;
use trailproxy_budgets::config::BudgetsConfig;
use trailproxy_budgets::decide::follower::BudgetFollower;
use trailproxy_budgets::decide::{BootId, HolderId};
use trailproxy_peers::decide::messages::{Life, PeerId};
use trailproxy_zones::Zones;

pub struct Divided {
    pub following: BudgetFollower,
    log: Logger,
}

impl Divided {
    pub fn new(
        now: Timestamp,
        config: BudgetsConfig,
        own: (PeerId, Life),
        terms: &DispatcherSettings,
        seed: u64,
        log: Logger,
    ) -> Divided {
        info!(log, "budgets are on"; "file" => &config.file, "voters" => config.voters.len());
        let own = (HolderId(own.0.0), BootId(own.1.0));
        let following = BudgetFollower::new(now, config, own, terms, seed);
        Divided { following, log }
    }

    pub fn own(&self) -> (PeerId, Life) {
        let (id, life) = self.following.member();
        (PeerId(id.0), Life(life.0))
    }

    /// Whether it is of this section and this member.
    pub fn is(&self, config: &BudgetsConfig, own: (PeerId, Life)) -> bool {
        self.following.config == *config && self.own() == own
    }

    pub fn heard(&mut self, now: Timestamp, from: PeerId, bytes: &[u8]) {
        if let Some(note) = trailproxy_budgets::read(bytes) {
            self.following.on_message(now, HolderId(from.0), note);
        }
    }

    pub fn advance(&mut self, now: Timestamp, zones: &mut Option<Zones>) {
        self.following.advance(now, zones);
        for of in self.following.take_mismatches() {
            warn!(self.log, "budget differs"; "name" => of.name, "own" => of.own, "another" => of.other);
        }
    }

    /// Messages to go out.
    pub fn messages(&mut self) -> Vec<(PeerId, Vec<u8>)> {
        let words = self.following.take_messages().into_iter();
        words
            .map(|(to, note)| (PeerId(to.0), trailproxy_budgets::write(&note)))
            .collect()
    }
}
