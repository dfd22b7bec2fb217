//! Dispatchers: their starts and deaths, what they are told, and what they decide.

use super::{DIVIDE_EVERY, Ev, START, Seat, WORD_TAKES, World, name};
use crate::chance::mix;
use crate::rules::Final;
use crate::scenario::Kill;
use crate::tally::Cause;
use trailproxy::interface::{Action, Ending, Event, HostListKind};
use trailproxy::units::RequestId;
use trailproxy_budgets::config::BudgetsConfig;
use trailproxy_budgets::decide::follower::BudgetFollower;
use trailproxy_budgets::decide::{BootId, HolderId};
use trailproxy_standins::fleet::Ticket;

impl World<'_> {
    pub(super) fn start(&mut self, seat: usize) {
        let zone = self.seats[seat].zone;
        let seed = mix(
            mix(self.seed, seat as u64),
            u64::from(self.seats[seat].life) + 4,
        );
        let rules = self.scenario.zones.as_ref();
        let mut decider = self.policy.decider(self.scenario.terms(zone), rules, seed);
        let entries = self.fleet.list();
        decider.handle_event(
            self.now,
            Event::HostList {
                kind: HostListKind::Full,
                entries,
            },
        );
        for &(object, group, at) in &self.purged {
            decider.handle_event(
                self.now,
                Event::Purged {
                    object,
                    group,
                    age: self.now.since(at),
                    stamp: Some(at),
                },
            );
        }
        self.seats[seat].decider = Some(decider);
        self.follow(seat, seed);
        self.settle(seat);
    }

    /// One that starts begins to follow its budgets, where they are divided.
    pub(super) fn follow(&mut self, seat: usize, seed: u64) {
        let Some(divided) = &self.scenario.divided else {
            return;
        };
        let sheet = BudgetsConfig {
            file: "model".into(),
            position: (1, 1),
            voters: (0..divided.voters.min(self.seats.len()))
                .map(name)
                .collect(),
            floors: divided.floors,
            lasts_s: 2.0,
            cold: divided.cold,
        };
        let (now, life) = (self.now, BootId(u64::from(self.seats[seat].life) + 1));
        let own = (HolderId::of_name(&name(seat)), life);
        let terms = self.scenario.terms(self.seats[seat].zone);
        let mut following = BudgetFollower::new(now, sheet, own, &terms, seed);
        let decider = self.seats[seat].decider.as_mut();
        following.update_budgets(now, decider.and_then(|decider| decider.zones()).as_deref());
        self.seats[seat].following = Some(following);
        self.divide(seat);
        let life = self.seats[seat].life;
        self.file(now + DIVIDE_EVERY, Ev::Divide(seat, life));
    }

    /// What one's budgets come to now; its words go out.
    pub(super) fn divide(&mut self, seat: usize) {
        let (now, from) = (self.now, HolderId::of_name(&name(seat)));
        let Seat {
            decider: Some(decider),
            following: Some(following),
            ..
        } = &mut self.seats[seat]
        else {
            return;
        };
        decider.set_slow_start_shares(now, following);
        for (to, note) in following.take_messages() {
            let place = (0..self.seats.len()).find(|&nth| HolderId::of_name(&name(nth)) == to);
            if let Some(place) = place {
                self.file(now + WORD_TAKES, Ev::Word(place, from, note));
            }
        }
    }

    pub(super) fn tell(&mut self, seat: usize, event: Event) {
        let now = self.now;
        let Seat {
            decider: Some(decider),
            following,
            ..
        } = &mut self.seats[seat]
        else {
            return;
        };
        following.iter_mut().for_each(|on| on.on_event(now, &event));
        decider.handle_event(now, event);
        self.settle(seat);
    }

    pub(super) fn settle(&mut self, seat: usize) {
        let now = self.now;
        let actions = self.seats[seat]
            .decider
            .as_mut()
            .map(|decider| decider.take_actions(now));
        for action in actions.into_iter().flatten() {
            self.act(seat, action);
        }
    }

    pub(super) fn act(&mut self, seat: usize, action: Action) {
        let (now, hop) = (self.now, self.scenario.hop);
        match action {
            Action::Attempt(attempt) => self.hand_off(seat, attempt),
            Action::Refuse {
                id, retry_after, ..
            } => {
                self.given_up(id);
                self.file(now + hop, Ev::Final(id, Final::Rejected, retry_after, None));
            }
            Action::Fail { id, .. } => {
                self.given_up(id);
                self.file(now + hop, Ev::Final(id, Final::Aborted, None, None));
            }
            Action::Cancel { id, attempt } => {
                let ticket = self
                    .open
                    .get(&id)
                    .and_then(|open| open.tickets.get(usize::from(attempt.0)));
                let out = ticket.copied().and_then(|ticket| self.out.get_mut(&ticket));
                if let Some(out) = out.filter(|out| !out.withdrawn) {
                    out.withdrawn = true;
                    let ticket = out.pull.ticket;
                    self.file(now + hop, Ev::Withdrawn(ticket));
                }
            }
            Action::SetTimer { at, timer } => {
                let life = self.seats[seat].life;
                self.file(at.max(now), Ev::Wake(seat, life, timer));
            }
            // The model's hosts tell their load with answers; scenarios ask for no probes.
            Action::RequestHostList | Action::Probe { .. } => {}
            Action::Log { text } => self.log(seat, &text),
        }
    }

    /// The module tells of its breakers in words.
    pub(super) fn log(&mut self, seat: usize, text: &str) {
        let mut words = text.split(' ').skip(1);
        let host = words
            .next()
            .and_then(|hex| u64::from_str_radix(hex, 16).ok());
        if let (Some(host), Some("breaker"), Some(what)) = (host, words.next(), words.next()) {
            self.tally
                .breaker(self.now, seat as u32, host, what == "open");
        }
    }

    pub(super) fn given_up(&mut self, id: RequestId) {
        if let Some(open) = self.open.get_mut(&id) {
            open.closed = true;
            let cause = match open.last {
                None => Cause::Unsent,
                Some(Ending::Full) => Cause::Full,
                Some(Ending::Miss) => Cause::Missed,
                Some(Ending::Cancelled | Ending::TimedOut) => Cause::TimedOut,
                Some(_) => Cause::Failed,
            };
            *self.tally.causes.entry(cause).or_default() += 1;
        }
    }

    /// Dispatchers die without a word; what they had out is abandoned with their connections.
    pub(super) fn kill(&mut self, kill: Kill) {
        for seat in 0..self.seats.len() {
            if self.seats[seat].decider.is_none() || !kill.strikes(self.seed, seat) {
                continue;
            }
            self.close_account(seat);
            (self.seats[seat].decider, self.seats[seat].following) = (None, None);
            self.seats[seat].life += 1;
            let gone: Vec<Ticket> = self
                .out
                .iter()
                .filter(|(_, out)| out.seat == seat)
                .map(|(&ticket, _)| ticket)
                .collect();
            for ticket in gone {
                self.fleet.withdraw(self.now, ticket);
                self.out.remove(&ticket);
            }
            let lost: Vec<RequestId> = self
                .open
                .iter()
                .filter(|(_, open)| open.seat == seat)
                .map(|(&id, _)| id)
                .collect();
            lost.into_iter().for_each(|id| self.lost(id));
            self.file(self.now + kill.away + START, Ev::Start(seat));
        }
    }
}
