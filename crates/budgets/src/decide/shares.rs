//! All budgets of one dispatcher: what it asks of the voters, what it answers where it is one, and what its part comes to.
//!
//! A budget's *whole* is what each dispatcher's own file says, and files are read again at different times. Parts are parts
//! of whatever whole is the smallest that is heard of: a lower one holds for all that reach a voter within a round of
//! questions and half a second of old answers, and nobody's part is ever of more than its own file says.

use super::holder::LeaseHolder;
use super::voter::LeaseVoter;
use super::{BootId, BudgetId, Division, HolderId, LeaseGrant, LeaseRequest, VoterId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use trailproxy::units::{TimeSpan, Timestamp};
use trailproxy_zones::decide::budget::BudgetPart;

/// Another's whole counts for so long after it was last heard of.
const STATED_FOR: TimeSpan = TimeSpan::from_secs(2);
/// Budgets at once; more keep equal shares.
pub const MAX_BUDGETS: usize = 64;

/// What is said of a budget beside the question or its answer.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct BudgetStatement {
    pub budget: BudgetId,
    /// Of the division: between two that differ no word counts.
    pub checksum: u32,
    /// Of a question: the whole as the writer's file has it. Of an answer: the smallest that the voter was asked with lately.
    /// What a holder was told is never told on, or a whole that nobody has any more would go round for ever.
    pub total: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum BudgetMessage {
    Request(BudgetStatement, LeaseRequest),
    Grant(BudgetStatement, LeaseGrant),
}

/// One budget, as the operator's file has it here.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedBudget {
    pub name: String,
    /// In the unit of whoever follows it.
    pub total: f64,
    pub division: Division,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Send(HolderId, BudgetMessage),
    /// The part of this budget is another now.
    PartChanged(BudgetId, BudgetPart),
    /// Another dispatcher's file has another whole or division for it.
    Mismatch {
        name: String,
        own: f64,
        other: f64,
    },
}

type Wholes = BTreeMap<HolderId, (f64, Timestamp)>;

/// The smallest of these, and of the own.
fn least(wholes: &Wholes, now: Timestamp, own: f64) -> f64 {
    let lately = |(_, at): &&(f64, Timestamp)| now.since(*at) < STATED_FOR;
    let wholes = wholes.values().filter(lately).map(|(whole, _)| *whole);
    wholes.fold(own, f64::min)
}

#[derive(Clone, Debug)]
struct BudgetState {
    named: NamedBudget,
    holder: LeaseHolder,
    voter: Option<LeaseVoter>,
    /// Wholes that others asked with, and that voters answered with, by whom, and when that was heard.
    asked: Wholes,
    answered: Wholes,
    /// Others whose division is another.
    strangers: u64,
    told: Option<BudgetPart>,
    differs: bool,
}

#[derive(Clone, Debug)]
pub struct BudgetShares {
    own: HolderId,
    life: BootId,
    voters: Vec<HolderId>,
    budgets: BTreeMap<BudgetId, BudgetState>,
    chance: fastrand::Rng,
    actions: Vec<Action>,
}

impl BudgetState {
    fn stated(&self, whole: f64) -> BudgetStatement {
        BudgetStatement {
            budget: BudgetId::of_name(&self.named.name),
            checksum: self.named.division.checksum(),
            total: whole,
        }
    }

    /// The smallest whole that it knows of: it acts under that.
    fn least(&self, now: Timestamp) -> f64 {
        least(&self.answered, now, self.named.total)
    }

    fn part(&self, now: Timestamp) -> BudgetPart {
        let of = match self.named.total > 0.0 {
            true => self.least(now) / self.named.total,
            false => 1.0,
        };
        BudgetPart {
            fraction: self.holder.fraction(now) * of,
            valid_until: self.holder.valid_until(now),
            floor: self.named.division.floor() * of,
        }
    }
}

impl BudgetShares {
    /// `voters`: the same ones in the same order with all dispatchers; the own name may be among them.
    pub fn new(own: HolderId, life: BootId, voters: Vec<HolderId>, seed: u64) -> BudgetShares {
        BudgetShares {
            own,
            life,
            voters,
            budgets: BTreeMap::new(),
            chance: fastrand::Rng::with_seed(seed),
            actions: Vec::new(),
        }
    }

    /// These are the budgets now. One with the name and the division of one before goes on, with another whole or not; any
    /// other begins anew, and as a voter keeps silent for as long as a former one's word may hold.
    pub fn set_budgets(&mut self, now: Timestamp, all: Vec<NamedBudget>) {
        let mut before = std::mem::take(&mut self.budgets);
        for named in all.into_iter().take(MAX_BUDGETS) {
            let id = BudgetId::of_name(&named.name);
            let kept = before.remove(&id);
            let same = kept.filter(|one| one.named.division == named.division);
            let one = match same {
                Some(one) => BudgetState { named, ..one },
                None => {
                    let seed = self.chance.u64(..);
                    let votes = self.voters.contains(&self.own);
                    BudgetState {
                        holder: LeaseHolder::new(now, named.division, self.own, self.life, seed),
                        voter: votes.then(|| LeaseVoter::new(now, named.division)),
                        named,
                        asked: Wholes::new(),
                        answered: Wholes::new(),
                        strangers: 0,
                        told: None,
                        differs: false,
                    }
                }
            };
            self.budgets.insert(id, one);
        }
        self.tell(now);
    }

    /// What it could use of a budget's whole now, and how much of that for what goes first.
    pub fn set_need(&mut self, now: Timestamp, id: BudgetId, part: f64, first: f64) {
        if let Some(one) = self.budgets.get_mut(&id) {
            one.holder.set_need(now, part, first);
        }
    }

    /// All of a budget is given out, each having its part by weight.
    pub fn set_weight(&mut self, id: BudgetId, weight: u32) {
        if let Some(one) = self.budgets.get_mut(&id) {
            one.holder.set_weight(weight);
        }
    }

    pub fn budgets(&self) -> impl Iterator<Item = (BudgetId, &NamedBudget)> {
        self.budgets.iter().map(|(&id, one)| (id, &one.named))
    }

    /// What may be used of it now; `None`: there is no such budget.
    pub fn part(&self, now: Timestamp, id: BudgetId) -> Option<BudgetPart> {
        self.budgets.get(&id).map(|one| one.part(now))
    }

    /// A note from another, or from this one's own voter or holder.
    pub fn on_message(&mut self, now: Timestamp, from: HolderId, note: BudgetMessage) {
        let stated = match &note {
            BudgetMessage::Request(stated, _) | BudgetMessage::Grant(stated, _) => *stated,
        };
        let Some(one) = self.budgets.get_mut(&stated.budget) else {
            return;
        };
        if stated.checksum != one.named.division.checksum() {
            one.strangers += 1;
            return self.differs(stated);
        }
        let wholes = match &note {
            BudgetMessage::Request(..) => &mut one.asked,
            BudgetMessage::Grant(..) => &mut one.answered,
        };
        if stated.total.is_finite() && stated.total >= 0.0 {
            wholes.retain(|_, (_, at)| now.since(*at) < STATED_FOR);
            if wholes.len() < 1_024 || wholes.contains_key(&from) {
                wholes.insert(from, (stated.total, now));
            }
        }
        match note {
            BudgetMessage::Request(_, ask) if ask.holder == from => {
                let word = one
                    .voter
                    .as_mut()
                    .and_then(|voter| voter.on_request(now, &ask));
                if let Some(word) = word {
                    let whole = least(&one.asked, now, one.named.total);
                    let note = BudgetMessage::Grant(one.stated(whole), word);
                    self.send(now, from, note);
                }
            }
            BudgetMessage::Request(..) => {}
            BudgetMessage::Grant(_, word) => {
                let voter = self.voters.iter().position(|&voter| voter == from);
                if let Some(nth) = voter {
                    one.holder.on_grant(now, VoterId(nth as u8), &word);
                }
            }
        }
        if self
            .budgets
            .get(&stated.budget)
            .is_some_and(|one| stated.total != one.named.total)
        {
            self.differs(stated);
        }
        self.tell(now);
    }

    /// Said once, and again when it was the same between.
    fn differs(&mut self, stated: BudgetStatement) {
        if let Some(one) = self.budgets.get_mut(&stated.budget)
            && !std::mem::replace(&mut one.differs, true)
        {
            self.actions.push(Action::Mismatch {
                name: one.named.name.clone(),
                own: one.named.total,
                other: stated.total,
            });
        }
    }

    fn send(&mut self, now: Timestamp, to: HolderId, note: BudgetMessage) {
        if to == self.own {
            self.on_message(now, to, note);
        } else {
            self.actions.push(Action::Send(to, note));
        }
    }

    /// When something is due by itself: a question, or a part that ends.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        let asks = self.budgets.values().map(|one| one.holder.next_deadline());
        let ends = self
            .budgets
            .values()
            .filter_map(|one| one.told?.valid_until);
        asks.chain(ends).min()
    }

    /// It ends in order: others need not wait for its words to run out.
    pub fn leave(&mut self, now: Timestamp) {
        let asked = |one: &mut BudgetState| (one.stated(one.named.total), one.holder.leave(now));
        let asks: Vec<_> = self.budgets.values_mut().map(asked).collect();
        self.ask(now, asks);
    }

    fn ask(&mut self, now: Timestamp, asks: Vec<(BudgetStatement, Vec<(VoterId, LeaseRequest)>)>) {
        for (stated, asks) in asks {
            for (voter, ask) in asks {
                if let Some(&to) = self.voters.get(usize::from(voter.0)) {
                    self.send(now, to, BudgetMessage::Request(stated, ask));
                }
            }
        }
        self.tell(now);
    }

    pub fn advance(&mut self, now: Timestamp) {
        let mut asks = Vec::new();
        for one in self.budgets.values_mut() {
            asks.push((one.stated(one.named.total), one.holder.advance(now)));
            one.differs &= one.least(now) != one.named.total || one.strangers > 0;
            one.strangers = 0;
        }
        self.ask(now, asks);
    }

    fn tell(&mut self, now: Timestamp) {
        for (&id, one) in &mut self.budgets {
            let part = one.part(now);
            if one.told != Some(part) {
                one.told = Some(part);
                self.actions.push(Action::PartChanged(id, part));
            }
        }
    }

    /// What is to be done now.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// A line for each budget, for a person.
    pub fn show(&self, now: Timestamp) -> String {
        let lines = self.budgets.values().map(|one| {
            let (part, division) = (one.part(now), &one.named.division);
            let held = one.holder.tickets(now).count();
            let given = one.voter.as_ref().map(|voter| {
                let mut by: BTreeMap<HolderId, u32> = BTreeMap::new();
                voter
                    .granted_leases(now)
                    .for_each(|(_, holder)| *by.entry(holder).or_default() += 1);
                by
            });
            let until = part.valid_until.map_or("ever".into(), |until| {
                format!("{:.1}s", until.since(now).as_secs_f64())
            });
            let why = match one.holder.need() {
                need if need <= part.fraction => "enough",
                _ if one.holder.responding_voters(now) < division.majority() => "too few voters answer",
                _ if held >= usize::from(one.holder.fair_share()) => "others need the rest",
                _ => "asking",
            };
            let mut line = format!(
                "budget {}: whole={} least={} part={:.4} floor={:.4} tickets={held}/{} for={until} need={:.4} voters={}/{} why={why:?}",
                one.named.name,
                one.named.total,
                one.least(now),
                part.fraction,
                part.floor,
                division.tickets,
                one.holder.need(),
                one.holder.responding_voters(now),
                division.voters,
            );
            for (holder, tickets) in given.into_iter().flatten() {
                line.push_str(&format!("\n  word given to {:016x}: {tickets}", holder.0));
            }
            line
        });
        lines.collect::<Vec<_>>().join("\n")
    }
}
