//! Who follows the parts of one dispatcher's budgets, and what each needs of its whole.

use super::shares::{Action, BudgetMessage, BudgetShares, NamedBudget};
use super::traffic::Traffic;
use super::{BootId, BudgetId, HolderId};
use crate::config::BudgetsConfig;
use std::collections::BTreeMap;
use trailproxy::interface::*;
use trailproxy::units::*;
use trailproxy_zones::Zones;

/// What is wanted is reckoned so often.
const LOOK: TimeSpan = TimeSpan::from_millis(50);

/// Who follows a budget's part.
enum Follower {
    Crossing(String),
    ColdCaches,
    ColdParents,
}

/// One dispatcher's budgets with who follows them.
pub struct BudgetFollower {
    pub config: BudgetsConfig,
    member: (HolderId, BootId),
    shares: BudgetShares,
    followers: BTreeMap<BudgetId, Follower>,
    zone: ZoneId,
    /// Dispatchers of the own zone, and of all.
    seats: (u32, u32),
    traffic: Traffic,
    look_at: Timestamp,
    messages: Vec<(HolderId, BudgetMessage)>,
    mismatches: Vec<Mismatch>,
    /// Among how many work for cold caches and parents is divided, where that is another than was told.
    cold: (Option<f64>, Option<f64>),
    cold_told: bool,
}

/// Another dispatcher's file has another whole or division for a budget.
#[derive(Clone, Debug, PartialEq)]
pub struct Mismatch {
    pub name: String,
    pub own: f64,
    pub other: f64,
}

impl BudgetFollower {
    pub fn new(
        now: Timestamp,
        sheet: BudgetsConfig,
        own: (HolderId, BootId),
        terms: &DispatcherSettings,
        seed: u64,
    ) -> BudgetFollower {
        let voters = sheet.voters.iter();
        let voters = voters.map(|name| HolderId::of_name(name)).collect();
        let seats = terms
            .dispatchers_by_zone
            .get(usize::from(terms.zone.0))
            .copied();
        BudgetFollower {
            member: own,
            shares: BudgetShares::new(own.0, own.1, voters, seed),
            config: sheet,
            followers: BTreeMap::new(),
            zone: terms.zone,
            seats: (
                seats.unwrap_or(terms.dispatchers).max(1),
                terms.dispatchers.max(1),
            ),
            traffic: Traffic::default(),
            look_at: now,
            messages: Vec::new(),
            mismatches: Vec::new(),
            cold: (None, None),
            cold_told: true,
        }
    }

    pub fn member(&self) -> (HolderId, BootId) {
        self.member
    }

    /// Whether it is of this section and this member.
    pub fn matches(&self, sheet: &BudgetsConfig, own: (HolderId, BootId)) -> bool {
        self.config == *sheet && self.member == own
    }

    /// The budgets that there are now.
    pub fn update_budgets(&mut self, now: Timestamp, zones: Option<&Zones>) {
        let (own, all) = self.seats;
        let zone = self.zone.0;
        let mut named = Vec::new();
        self.followers.clear();
        let mut add = |name: String, whole: f64, seats: u32, follower: Follower| {
            let division = self.config.division(seats);
            self.followers.insert(BudgetId::of_name(&name), follower);
            named.push(NamedBudget {
                name,
                total: whole,
                division,
            });
        };
        for limit in zones.iter().flat_map(|zones| zones.divisible_limits()) {
            let name = format!("{zone}/{}", limit.name);
            add(
                name,
                limit.kb_per_s,
                own,
                Follower::Crossing(limit.name.clone()),
            );
        }
        if self.config.cold {
            add(
                format!("{zone}/cold caches"),
                1.0,
                own,
                Follower::ColdCaches,
            );
            add("cold parents".into(), 1.0, all, Follower::ColdParents);
        }
        self.shares.set_budgets(now, named);
    }

    pub fn on_message(&mut self, now: Timestamp, from: HolderId, note: BudgetMessage) {
        self.shares.on_message(now, from, note);
    }

    /// Every event, before the decisions take it.
    pub fn on_event(&mut self, now: Timestamp, event: &Event) {
        if let Event::Arrived(_) = event {
            self.traffic.on_arrival(now);
        }
    }

    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.shares.next_deadline()
    }

    pub fn advance(&mut self, now: Timestamp, zones: &mut Option<Zones>) {
        if now >= self.look_at {
            self.look_at = now + LOOK;
            let weight = self.traffic.weight(now);
            for (&id, follower) in &self.followers {
                match follower {
                    Follower::Crossing(name) => {
                        let need = zones.as_ref().map(|zones| zones.need(now, name));
                        let (all, first) = need.unwrap_or_default();
                        self.shares.set_need(now, id, all, first);
                    }
                    Follower::ColdCaches | Follower::ColdParents => {
                        self.shares.set_weight(id, weight)
                    }
                }
            }
        }
        // Asked for with every event: nothing is reckoned anew before it is due.
        if self.shares.next_deadline().is_some_and(|at| at <= now) {
            self.shares.advance(now);
        }
        self.act(now, zones);
    }

    /// It ends in order.
    pub fn leave(&mut self, now: Timestamp) {
        self.shares.leave(now);
        self.act(now, &mut None);
    }

    fn act(&mut self, now: Timestamp, zones: &mut Option<Zones>) {
        let before = self.cold;
        let among = |part: f64| Some(1.0 / part.max(1e-9));
        for act in self.shares.take_actions() {
            match act {
                Action::Send(to, note) => self.messages.push((to, note)),
                Action::PartChanged(id, part) => match self.followers.get(&id) {
                    Some(Follower::Crossing(name)) => {
                        zones
                            .iter_mut()
                            .for_each(|zones| zones.set_part(now, name, Some(part)));
                    }
                    Some(Follower::ColdCaches) => self.cold.0 = among(part.fraction),
                    Some(Follower::ColdParents) => self.cold.1 = among(part.fraction),
                    None => {}
                },
                Action::Mismatch { name, own, other } => {
                    self.mismatches.push(Mismatch { name, own, other });
                }
            }
        }
        self.cold_told &= self.cold == before;
    }

    /// The decisions have forgotten it.
    pub fn resend_slow_start_shares(&mut self) {
        self.cold_told = false;
    }

    /// Files that differ, each told once while it lasts.
    pub fn take_mismatches(&mut self) -> Vec<Mismatch> {
        std::mem::take(&mut self.mismatches)
    }

    /// Words to go out.
    pub fn take_messages(&mut self) -> Vec<(HolderId, BudgetMessage)> {
        std::mem::take(&mut self.messages)
    }

    /// Among how many work for cold caches and parents is divided now; `None`: as before.
    pub fn take_slow_start_shares(&mut self) -> Option<(Option<f64>, Option<f64>)> {
        (!std::mem::replace(&mut self.cold_told, true)).then_some(self.cold)
    }

    pub fn show(&self, now: Timestamp) -> String {
        self.shares.show(now)
    }
}
