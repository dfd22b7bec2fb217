//! One event of the queue after another.

use super::{CROSSED_STEP, DIVIDE_EVERY, Ev, PASS, RUN_OUT, TRUTH_EVERY, WITHDRAWN_AFTER, World};
use trailproxy::interface::{Ending, Event, HostListKind, Note};
use trailproxy::units::{TimeSpan, ZoneId};
use trailproxy_standins::fleet::Answer;
use trailproxy_standins::shape::DAWN;

impl World<'_> {
    pub(super) fn happen(&mut self, event: Ev) {
        let now = self.now;
        match event {
            Ev::Wish(nth, wish) => {
                self.next_wish(nth);
                self.wish(wish);
            }
            Ev::Retry(want) => self.ask(want),
            Ev::Comes(id) => self.comes(id),
            Ev::Asked(ticket) => self.asked(ticket),
            Ev::Withdrawn(ticket) => {
                self.fleet.withdraw(now, ticket);
                let none = Answer {
                    ticket,
                    ending: Ending::Cancelled,
                    note: Note::NotReported,
                    waited: None,
                    minted: None,
                    link_full: 0.0,
                };
                self.file(now + WITHDRAWN_AFTER, Ev::Outcome(ticket, none));
            }
            Ev::Outcome(ticket, answer) => self.outcome(ticket, answer),
            Ev::Wake(seat, life, timer) => {
                if self.seats[seat].life == life {
                    self.tell(seat, Event::TimerFired { timer });
                }
            }
            Ev::Told(seat, entry) => {
                let entries = vec![entry];
                self.tell(
                    seat,
                    Event::HostList {
                        kind: HostListKind::Delta,
                        entries,
                    },
                );
            }
            Ev::Purged(seat, object, group, at) => {
                self.tell(
                    seat,
                    Event::Purged {
                        object,
                        group,
                        age: now.since(at),
                        stamp: Some(at),
                    },
                );
            }
            Ev::Final(id, how, away, minted) => self.final_answer(id, how, away, minted),
            Ev::Overdue(id) => self.overdue(id),
            Ev::Kill(kill) => self.kill(kill),
            Ev::Start(seat) => self.start(seat),
            Ev::Truth => {
                let hosts = self.scenario.shape.hosts.iter().map(|host| host.id);
                let paces: Vec<_> = hosts
                    .map(|host| (host, self.fleet.truth(now, host)))
                    .collect();
                let deciders = self
                    .seats
                    .iter_mut()
                    .filter_map(|seat| seat.decider.as_mut());
                deciders.for_each(|decider| decider.truth(now, &paces));
                self.file(now + TRUTH_EVERY, Ev::Truth);
            }
            Ev::Word(seat, from, note) => {
                if let Some(following) = &mut self.seats[seat].following {
                    following.on_message(now, from, note);
                    self.divide(seat);
                }
            }
            Ev::Divide(seat, life) => {
                let same = self.seats[seat].life == life && self.seats[seat].decider.is_some();
                if same && now < DAWN + self.scenario.length + RUN_OUT {
                    self.divide(seat);
                    self.file(now + DIVIDE_EVERY, Ev::Divide(seat, life));
                }
            }
            Ev::Pass => {
                (0..self.seats.len()).for_each(|seat| self.pass(seat));
                if now < DAWN + self.scenario.length {
                    self.file(now + PASS, Ev::Pass);
                }
            }
            Ev::Read => {
                let zones = 0..self.scenario.shape.zones.len();
                let read = zones.map(|zone| self.fleet.crossed_kb(ZoneId(zone as u16)));
                self.crossed.steps.push(read.collect());
                if now < DAWN + self.scenario.length {
                    self.file(now + CROSSED_STEP, Ev::Read);
                }
            }
            Ev::Tick => {
                self.sample();
                if now < DAWN + self.scenario.length {
                    self.file(now + TimeSpan::from_secs(1), Ev::Tick);
                }
            }
        }
    }
}
