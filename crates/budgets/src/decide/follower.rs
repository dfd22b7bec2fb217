//! Connects the budgets of one dispatcher with what uses them: crossing limits and slow start.

use super::shares::{Action, BudgetMessage, BudgetShares, NamedBudget};
use super::traffic::Traffic;
use super::{BootId, BudgetId, HolderId};
use crate::config::BudgetsConfig;
use std::collections::BTreeMap;
use trailproxy::interface::*;
use trailproxy::units::*;
use trailproxy_zones::Zones;

/// How often the needs are calculated.
const NEED_INTERVAL: TimeSpan = TimeSpan::from_millis(50);

/// What uses the part of a budget.
enum BudgetUser {
    /// The crossing limit of this name.
    Crossing(String),
    /// Slow start of cold caches.
    ColdCaches,
    /// Slow start of cold parents.
    ColdParents,
}

/// The budgets of one dispatcher with what uses them.
pub struct BudgetFollower {
    /// The configuration that the budgets come from.
    pub config: BudgetsConfig,
    member: (HolderId, BootId),
    shares: BudgetShares,
    users: BTreeMap<BudgetId, BudgetUser>,
    zone: ZoneId,
    /// Number of dispatchers in the own zone, and of all.
    dispatchers: (u32, u32),
    traffic: Traffic,
    next_look_at: Timestamp,
    messages: Vec<(HolderId, BudgetMessage)>,
    mismatches: Vec<Mismatch>,
    /// Among how many dispatchers the work for cold caches and for cold parents is divided, where
    /// that differs from the configured number.
    slow_start_shares: (Option<f64>, Option<f64>),
    slow_start_shares_reported: bool,
}

/// The file of another dispatcher has another total or division for a budget.
#[derive(Clone, Debug, PartialEq)]
pub struct Mismatch {
    /// Name of the budget.
    pub name: String,
    /// Total in the own file.
    pub own: f64,
    /// Total in the other file.
    pub other: f64,
}

impl BudgetFollower {
    /// Starts without budgets.
    pub fn new(
        now: Timestamp,
        config: BudgetsConfig,
        member: (HolderId, BootId),
        settings: &DispatcherSettings,
        seed: u64,
    ) -> BudgetFollower {
        let voters = config.voters.iter();
        let voters = voters.map(|name| HolderId::of_name(name)).collect();
        let dispatchers = settings
            .dispatchers_by_zone
            .get(usize::from(settings.zone.0))
            .copied();
        BudgetFollower {
            member,
            shares: BudgetShares::new(member.0, member.1, voters, seed),
            config,
            users: BTreeMap::new(),
            zone: settings.zone,
            dispatchers: (
                dispatchers.unwrap_or(settings.dispatchers).max(1),
                settings.dispatchers.max(1),
            ),
            traffic: Traffic::default(),
            next_look_at: now,
            messages: Vec::new(),
            mismatches: Vec::new(),
            slow_start_shares: (None, None),
            slow_start_shares_reported: true,
        }
    }

    /// The dispatcher and the process that this belongs to.
    pub fn member(&self) -> (HolderId, BootId) {
        self.member
    }

    /// Whether it was made for this configuration and this process.
    pub fn matches(&self, config: &BudgetsConfig, member: (HolderId, BootId)) -> bool {
        self.config == *config && self.member == member
    }

    /// Sets the budgets for the present crossing limits and for slow start.
    pub fn update_budgets(&mut self, now: Timestamp, zones: Option<&Zones>) {
        let (in_zone, all) = self.dispatchers;
        let zone = self.zone.0;
        let mut budgets = Vec::new();
        self.users.clear();
        let mut add = |name: String, total: f64, dispatchers: u32, user: BudgetUser| {
            let division = self.config.division(dispatchers);
            self.users.insert(BudgetId::of_name(&name), user);
            budgets.push(NamedBudget {
                name,
                total,
                division,
            });
        };
        for limit in zones.iter().flat_map(|zones| zones.divisible_limits()) {
            let name = format!("{zone}/{}", limit.name);
            add(
                name,
                limit.kb_per_s,
                in_zone,
                BudgetUser::Crossing(limit.name.clone()),
            );
        }
        if self.config.cold {
            add(
                format!("{zone}/cold caches"),
                1.0,
                in_zone,
                BudgetUser::ColdCaches,
            );
            add("cold parents".into(), 1.0, all, BudgetUser::ColdParents);
        }
        self.shares.set_budgets(now, budgets);
    }

    /// Handles a message from another dispatcher.
    pub fn on_message(&mut self, now: Timestamp, from: HolderId, message: BudgetMessage) {
        self.shares.on_message(now, from, message);
    }

    /// Handles every event before the decisions do.
    pub fn on_event(&mut self, now: Timestamp, event: &Event) {
        if let Event::Arrived(_) = event {
            self.traffic.on_arrival(now);
        }
    }

    /// When something is due.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.shares.next_deadline()
    }

    /// Calculates the needs when that is due, sends requests and applies changed parts.
    pub fn advance(&mut self, now: Timestamp, zones: &mut Option<Zones>) {
        if now >= self.next_look_at {
            self.next_look_at = now + NEED_INTERVAL;
            let weight = self.traffic.weight(now);
            for (&id, user) in &self.users {
                match user {
                    BudgetUser::Crossing(name) => {
                        let need = zones.as_ref().map(|zones| zones.need(now, name));
                        let (all, first) = need.unwrap_or_default();
                        self.shares.set_need(now, id, all, first);
                    }
                    BudgetUser::ColdCaches | BudgetUser::ColdParents => {
                        self.shares.set_weight(id, weight)
                    }
                }
            }
        }
        // Called with every event: nothing is calculated again before it is due.
        if self.shares.next_deadline().is_some_and(|at| at <= now) {
            self.shares.advance(now);
        }
        self.apply_actions(now, zones);
    }

    /// Releases all tickets when the dispatcher stops in an orderly way.
    pub fn leave(&mut self, now: Timestamp) {
        self.shares.leave(now);
        self.apply_actions(now, &mut None);
    }

    /// Carries out the actions of the budgets.
    fn apply_actions(&mut self, now: Timestamp, zones: &mut Option<Zones>) {
        let before = self.slow_start_shares;
        let dispatchers_for = |part: f64| Some(1.0 / part.max(1e-9));
        for apply_actions in self.shares.take_actions() {
            match apply_actions {
                Action::Send(to, message) => self.messages.push((to, message)),
                Action::PartChanged(id, part) => match self.users.get(&id) {
                    Some(BudgetUser::Crossing(name)) => {
                        zones
                            .iter_mut()
                            .for_each(|zones| zones.set_part(now, name, Some(part)));
                    }
                    Some(BudgetUser::ColdCaches) => {
                        self.slow_start_shares.0 = dispatchers_for(part.fraction)
                    }
                    Some(BudgetUser::ColdParents) => {
                        self.slow_start_shares.1 = dispatchers_for(part.fraction)
                    }
                    None => {}
                },
                Action::Mismatch { name, own, other } => {
                    self.mismatches.push(Mismatch { name, own, other });
                }
            }
        }
        self.slow_start_shares_reported &= self.slow_start_shares == before;
    }

    /// Has the slow-start shares reported again, because the decisions have lost them.
    pub fn resend_slow_start_shares(&mut self) {
        self.slow_start_shares_reported = false;
    }

    /// Takes the mismatches with other files; each is reported once while it lasts.
    pub fn take_mismatches(&mut self) -> Vec<Mismatch> {
        std::mem::take(&mut self.mismatches)
    }

    /// Takes the messages to be sent.
    pub fn take_messages(&mut self) -> Vec<(HolderId, BudgetMessage)> {
        std::mem::take(&mut self.messages)
    }

    /// Among how many dispatchers the work for cold caches and for cold parents is divided; `None`
    /// if that has not changed.
    pub fn take_slow_start_shares(&mut self) -> Option<(Option<f64>, Option<f64>)> {
        (!std::mem::replace(&mut self.slow_start_shares_reported, true))
            .then_some(self.slow_start_shares)
    }

    /// One line for each budget, for an operator.
    pub fn show(&self, now: Timestamp) -> String {
        self.shares.show(now)
    }
}
