//! Attempts at the stand-ins of hosts, and what those say.

use super::{Ev, Out, World};
use crate::rules::Final;
use rand::Rng;
use trailproxy::interface::{Attempt, Ending, Event, Load, NoteLevel, Outcome};
use trailproxy::units::{AttemptNo, TimeSpan};
use trailproxy_standins::fleet::{Answer, Pull, Said, Ticket};
use trailproxy_standins::shape::told;

impl World<'_> {
    pub(super) fn hand_off(&mut self, seat: usize, attempt: Attempt) {
        let (now, hop) = (self.now, self.scenario.hop);
        let Some(open) = self.open.get_mut(&attempt.id) else {
            return;
        };
        self.next_id += 1;
        let ticket = Ticket(self.next_id);
        let no = AttemptNo(open.tickets.len() as u8);
        open.tickets.push(ticket);
        let wish = open.wish;
        let pull = Pull {
            ticket,
            host: attempt.host,
            zone: wish.zone,
            track: wish.track,
            object: wish.object,
            group: wish.group,
            part: wish.part,
            kb: wish.kb,
            fill: attempt.fill,
        };
        let life = self.seats[seat].life;
        let out = Out {
            access: attempt.id,
            no,
            seat,
            life,
            sent: now,
            pull,
            withdrawn: false,
        };
        self.out.insert(ticket, out);
        self.tally.hand_offs += 1;
        let source = attempt.fill.map(|fill| fill.source);
        self.checker
            .sent(now, attempt.id, no.0, attempt.host, source, wish.kb);
        let jitter = TimeSpan(self.chance.random_range(0..200));
        self.file(now + hop + jitter, Ev::Asked(ticket));
    }

    pub(super) fn asked(&mut self, ticket: Ticket) {
        if let Some(out) = self.out.get(&ticket) {
            self.fleet.hand_off(self.now, out.pull);
            // What is answered at once is taken up at once.
            let said = self.fleet.advance(self.now);
            said.into_iter().for_each(|said| self.said(said));
        }
    }

    pub(super) fn said(&mut self, said: Said) {
        let now = self.now;
        match said {
            Said::Answer(answer) => {
                let jitter = TimeSpan(self.chance.random_range(0..200));
                self.file(
                    now + self.scenario.hop + jitter,
                    Ev::Outcome(answer.ticket, answer),
                );
            }
            Said::Listed(entry) => {
                self.checker.listed(now, entry);
                let late = self.fleet.list_delay(now);
                for seat in 0..self.seats.len() {
                    let delay = self
                        .scenario
                        .list_delay
                        .mul_f64(0.5 + self.chance.random::<f64>());
                    self.file(now + late + delay, Ev::Told(seat, entry));
                }
            }
            Said::Purged { object, group } => {
                self.checker.purged(now, object, group);
                let old = self.scenario.shape.purge_done.mul_f64(4.0);
                self.purged.retain(|purge| now.since(purge.2) < old);
                self.purged.push((object, group, now));
                for seat in 0..self.seats.len() {
                    let delay = self
                        .scenario
                        .purge_delay
                        .mul_f64(0.5 + self.chance.random::<f64>());
                    self.file(now + delay, Ev::Purged(seat, object, group, now));
                }
            }
            Said::Given { host, kb } => self.checker.filled(now, host, kb),
            Said::Fell(_) => self.tally.fell += 1,
            Said::Up(_) | Said::Down(_) => {}
        }
    }

    pub(super) fn outcome(&mut self, ticket: Ticket, answer: Answer) {
        let now = self.now;
        let Some(out) = self.out.remove(&ticket) else {
            return;
        };
        let id = out.access;
        let never_ran = answer.ending.never_ran();
        self.checker.ended(now, id, out.no.0, never_ran);
        if self.seats[out.seat].life != out.life {
            return;
        }
        let mut request_closed = false;
        if let Some(open) = self.open.get_mut(&id) {
            open.last = Some(answer.ending);
            request_closed = answer.ending == Ending::Done && !open.closed;
            if request_closed {
                open.closed = true;
                self.file(
                    now + self.scenario.hop,
                    Ev::Final(id, Final::Done, None, answer.minted),
                );
            }
        }
        let notes = self.scenario.terms.note_level;
        let outcome = Outcome {
            id,
            attempt: out.no,
            ending: answer.ending,
            elapsed: now.since(out.sent),
            request_closed,
            note: told(notes, answer.note),
            first_byte_latency: answer.waited.filter(|_| notes == NoteLevel::All),
            load: Load {
                link_utilization: Some(answer.link_full)
                    .filter(|_| self.scenario.terms.link_load_reported),
                ..Load::default()
            },
            client_proven: true,
            received_kb: None,
        };
        self.tell(out.seat, Event::Outcome(outcome));
    }
}
