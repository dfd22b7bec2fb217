//! All budgets of one dispatcher: what it requests from the voters, what it answers as a voter, and
//! the part that it may use.
//!
//! The total of a budget is what each dispatcher's own configuration file says, and files are read
//! again at different times. Parts are fractions of the smallest total that is known: a lower one
//! applies to all dispatchers that reach a voter within one round of requests and half a second of
//! old answers, and no dispatcher's part is ever a fraction of more than its own file says.

use super::holder::LeaseHolder;
use super::voter::LeaseVoter;
use super::{BootId, BudgetId, Division, HolderId, LeaseGrant, LeaseRequest, VoterId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use trailproxy::units::{TimeSpan, Timestamp};
use trailproxy_zones::decide::budget::BudgetPart;

/// How long the total of another dispatcher counts after it was last received.
const TOTAL_RETENTION: TimeSpan = TimeSpan::from_secs(2);
/// Limit of budgets; further ones keep equal shares.
pub const MAX_BUDGETS: usize = 64;

/// What a message says of its budget beside the request or the grant.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct BudgetStatement {
    /// The budget.
    pub budget: BudgetId,
    /// Checksum of the division. Leases under a different division do not count.
    pub checksum: u32,
    /// In a request: the total in the sender's file. In a grant: the smallest total in recent
    /// requests to the voter. A total that a holder learned from a grant is never passed on, or a
    /// total that no file has any more would circulate for ever.
    pub total: f64,
}

/// Message between dispatchers about one budget.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum BudgetMessage {
    /// Request for leases.
    Request(BudgetStatement, LeaseRequest),
    /// Answer of a voter.
    Grant(BudgetStatement, LeaseGrant),
}

/// One budget, as the operator's file of this dispatcher has it.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedBudget {
    /// The name; the same in all dispatchers.
    pub name: String,
    /// The total, in the unit of what uses the budget.
    pub total: f64,
    /// How it is divided.
    pub division: Division,
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to another dispatcher.
    Send(HolderId, BudgetMessage),
    /// Apply the changed part of a budget.
    PartChanged(BudgetId, BudgetPart),
    /// Report that the file of another dispatcher has another total or division for a budget.
    Mismatch { name: String, own: f64, other: f64 },
}

/// Totals by dispatcher, each with the time at which it was received.
type Totals = BTreeMap<HolderId, (f64, Timestamp)>;

/// The smallest of the recent totals and the own one.
fn smallest_total(totals: &Totals, now: Timestamp, own: f64) -> f64 {
    let is_recent = |(_, at): &&(f64, Timestamp)| now.since(*at) < TOTAL_RETENTION;
    let totals = totals.values().filter(is_recent).map(|(total, _)| *total);
    totals.fold(own, f64::min)
}

/// One budget with its two sides.
#[derive(Clone, Debug)]
struct BudgetState {
    budget: NamedBudget,
    holder: LeaseHolder,
    voter: Option<LeaseVoter>,
    /// Totals in the requests of others, and in the grants of voters.
    requested_totals: Totals,
    granted_totals: Totals,
    /// Number of messages from dispatchers with another division.
    other_divisions: u64,
    reported_part: Option<BudgetPart>,
    mismatch_reported: bool,
}

/// All budgets of one dispatcher.
#[derive(Clone, Debug)]
pub struct BudgetShares {
    own: HolderId,
    boot: BootId,
    voters: Vec<HolderId>,
    budgets: BTreeMap<BudgetId, BudgetState>,
    rng: fastrand::Rng,
    actions: Vec<Action>,
}

impl BudgetState {
    fn statement(&self, total: f64) -> BudgetStatement {
        BudgetStatement {
            budget: BudgetId::of_name(&self.budget.name),
            checksum: self.budget.division.checksum(),
            total,
        }
    }

    /// The smallest known total, under which this dispatcher acts.
    fn smallest_total(&self, now: Timestamp) -> f64 {
        smallest_total(&self.granted_totals, now, self.budget.total)
    }

    /// The part that may be used now.
    fn part(&self, now: Timestamp) -> BudgetPart {
        let ratio = match self.budget.total > 0.0 {
            true => self.smallest_total(now) / self.budget.total,
            false => 1.0,
        };
        BudgetPart {
            fraction: self.holder.fraction(now) * ratio,
            valid_until: self.holder.valid_until(now),
            floor: self.budget.division.floor() * ratio,
        }
    }
}

impl BudgetShares {
    /// `voters` are the same in the same order in all dispatchers; the own number may be among
    /// them.
    pub fn new(own: HolderId, boot: BootId, voters: Vec<HolderId>, seed: u64) -> BudgetShares {
        BudgetShares {
            own,
            boot,
            voters,
            budgets: BTreeMap::new(),
            rng: fastrand::Rng::with_seed(seed),
            actions: Vec::new(),
        }
    }

    /// Sets the budgets. A budget with the name and division of a former one continues, whatever
    /// its total; any other starts anew, and as a voter grants nothing for as long as a former
    /// lease may be valid.
    pub fn set_budgets(&mut self, now: Timestamp, all: Vec<NamedBudget>) {
        let mut former = std::mem::take(&mut self.budgets);
        for budget in all.into_iter().take(MAX_BUDGETS) {
            let id = BudgetId::of_name(&budget.name);
            let kept = former.remove(&id);
            let same = kept.filter(|state| state.budget.division == budget.division);
            let state = match same {
                Some(state) => BudgetState { budget, ..state },
                None => {
                    let seed = self.rng.u64(..);
                    let votes = self.voters.contains(&self.own);
                    BudgetState {
                        holder: LeaseHolder::new(now, budget.division, self.own, self.boot, seed),
                        voter: votes.then(|| LeaseVoter::new(now, budget.division)),
                        budget,
                        requested_totals: Totals::new(),
                        granted_totals: Totals::new(),
                        other_divisions: 0,
                        reported_part: None,
                        mismatch_reported: false,
                    }
                }
            };
            self.budgets.insert(id, state);
        }
        self.report_changes(now);
    }

    /// Sets the fraction of a budget's total that could be used now, and how much of that has
    /// priority.
    pub fn set_need(&mut self, now: Timestamp, id: BudgetId, part: f64, priority: f64) {
        if let Some(state) = self.budgets.get_mut(&id) {
            state.holder.set_need(now, part, priority);
        }
    }

    /// Requests the whole budget, which is divided among all dispatchers by weight.
    pub fn set_weight(&mut self, id: BudgetId, weight: u32) {
        if let Some(state) = self.budgets.get_mut(&id) {
            state.holder.set_weight(weight);
        }
    }

    /// The budgets.
    pub fn budgets(&self) -> impl Iterator<Item = (BudgetId, &NamedBudget)> {
        self.budgets.iter().map(|(&id, state)| (id, &state.budget))
    }

    /// What may be used of a budget now; `None` if there is no such budget.
    pub fn part(&self, now: Timestamp, id: BudgetId) -> Option<BudgetPart> {
        self.budgets.get(&id).map(|state| state.part(now))
    }

    /// Handles a message from another dispatcher, or from this one's own voter or holder.
    pub fn on_message(&mut self, now: Timestamp, from: HolderId, message: BudgetMessage) {
        let statement = match &message {
            BudgetMessage::Request(statement, _) | BudgetMessage::Grant(statement, _) => *statement,
        };
        let Some(state) = self.budgets.get_mut(&statement.budget) else {
            return;
        };
        if statement.checksum != state.budget.division.checksum() {
            state.other_divisions += 1;
            return self.report_mismatch(statement);
        }
        let totals = match &message {
            BudgetMessage::Request(..) => &mut state.requested_totals,
            BudgetMessage::Grant(..) => &mut state.granted_totals,
        };
        if statement.total.is_finite() && statement.total >= 0.0 {
            totals.retain(|_, (_, at)| now.since(*at) < TOTAL_RETENTION);
            if totals.len() < 1_024 || totals.contains_key(&from) {
                totals.insert(from, (statement.total, now));
            }
        }
        match message {
            BudgetMessage::Request(_, request) if request.holder == from => {
                let grant = state
                    .voter
                    .as_mut()
                    .and_then(|voter| voter.on_request(now, &request));
                if let Some(grant) = grant {
                    let total = smallest_total(&state.requested_totals, now, state.budget.total);
                    let message = BudgetMessage::Grant(state.statement(total), grant);
                    self.send(now, from, message);
                }
            }
            BudgetMessage::Request(..) => {}
            BudgetMessage::Grant(_, grant) => {
                let voter = self.voters.iter().position(|&voter| voter == from);
                if let Some(nth) = voter {
                    state.holder.on_grant(now, VoterId(nth as u8), &grant);
                }
            }
        }
        if self
            .budgets
            .get(&statement.budget)
            .is_some_and(|state| statement.total != state.budget.total)
        {
            self.report_mismatch(statement);
        }
        self.report_changes(now);
    }

    /// Reports a mismatch once, and again only when there was none in between.
    fn report_mismatch(&mut self, statement: BudgetStatement) {
        if let Some(state) = self.budgets.get_mut(&statement.budget)
            && !std::mem::replace(&mut state.mismatch_reported, true)
        {
            self.actions.push(Action::Mismatch {
                name: state.budget.name.clone(),
                own: state.budget.total,
                other: statement.total,
            });
        }
    }

    /// Sends a message; one to the own dispatcher is handled at once.
    fn send(&mut self, now: Timestamp, to: HolderId, message: BudgetMessage) {
        if to == self.own {
            self.on_message(now, to, message);
        } else {
            self.actions.push(Action::Send(to, message));
        }
    }

    /// When the next request is due or a part expires.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        let next_requests = self
            .budgets
            .values()
            .map(|state| state.holder.next_deadline());
        let ends = self
            .budgets
            .values()
            .filter_map(|state| state.reported_part?.valid_until);
        next_requests.chain(ends).min()
    }

    /// Releases all tickets when the dispatcher stops in an orderly way, so that others need not
    /// wait for its leases to expire.
    pub fn leave(&mut self, now: Timestamp) {
        let release_all = |state: &mut BudgetState| {
            (state.statement(state.budget.total), state.holder.leave(now))
        };
        let requests: Vec<_> = self.budgets.values_mut().map(release_all).collect();
        self.send_requests(now, requests);
    }

    /// Sends requests to the voters.
    fn send_requests(
        &mut self,
        now: Timestamp,
        requests: Vec<(BudgetStatement, Vec<(VoterId, LeaseRequest)>)>,
    ) {
        for (statement, requests) in requests {
            for (voter, request) in requests {
                if let Some(&to) = self.voters.get(usize::from(voter.0)) {
                    self.send(now, to, BudgetMessage::Request(statement, request));
                }
            }
        }
        self.report_changes(now);
    }

    /// Sends the requests that are due.
    pub fn advance(&mut self, now: Timestamp) {
        let mut requests = Vec::new();
        for state in self.budgets.values_mut() {
            requests.push((
                state.statement(state.budget.total),
                state.holder.advance(now),
            ));
            state.mismatch_reported &=
                state.smallest_total(now) != state.budget.total || state.other_divisions > 0;
            state.other_divisions = 0;
        }
        self.send_requests(now, requests);
    }

    /// Reports the parts that changed.
    fn report_changes(&mut self, now: Timestamp) {
        for (&id, state) in &mut self.budgets {
            let part = state.part(now);
            if state.reported_part != Some(part) {
                state.reported_part = Some(part);
                self.actions.push(Action::PartChanged(id, part));
            }
        }
    }

    /// Takes the actions that are to be carried out now.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// One line for each budget, for an operator.
    pub fn show(&self, now: Timestamp) -> String {
        let lines = self.budgets.values().map(|state| {
            let (part, division) = (state.part(now), &state.budget.division);
            let held = state.holder.tickets(now).count();
            let granted = state.voter.as_ref().map(|voter| {
                let mut by_holder: BTreeMap<HolderId, u32> = BTreeMap::new();
                voter
                    .granted_leases(now)
                    .for_each(|(_, holder)| *by_holder.entry(holder).or_default() += 1);
                by_holder
            });
            let until = part.valid_until.map_or("ever".into(), |until| {
                format!("{:.1}s", until.since(now).as_secs_f64())
            });
            let reason = match state.holder.need() {
                need if need <= part.fraction => "enough",
                _ if state.holder.responding_voters(now) < division.majority() => "too few voters answer",
                _ if held >= usize::from(state.holder.fair_share()) => "others need the rest",
                _ => "asking",
            };
            let mut line = format!(
                "budget {}: whole={} least={} part={:.4} floor={:.4} tickets={held}/{} for={until} need={:.4} voters={}/{} why={reason:?}",
                state.budget.name,
                state.budget.total,
                state.smallest_total(now),
                part.fraction,
                part.floor,
                division.tickets,
                state.holder.need(),
                state.holder.responding_voters(now),
                division.voters,
            );
            for (holder, tickets) in granted.into_iter().flatten() {
                line.push_str(&format!("\n  word given to {:016x}: {tickets}", holder.0));
            }
            line
        });
        lines.collect::<Vec<_>>().join("\n")
    }
}
