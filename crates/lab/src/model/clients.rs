//! Clients: what they want, their tries over time, and the answers they get.

use super::{Ev, Open, Seat, Want, World};
use crate::rules::Final;
use crate::traffic::Wish;
use rand::Rng;
use trailproxy::interface::{Arrival, Effect, Event};
use trailproxy::units::{RequestId, TimeSpan, Timestamp};

impl World<'_> {
    pub(super) fn next_wish(&mut self, nth: usize) {
        if let Some(wish) = self.streams[nth].next() {
            self.file(wish.at, Ev::Wish(nth, wish));
        }
    }

    pub(super) fn wish(&mut self, wish: Wish) {
        let track = &self.scenario.shape.tracks[usize::from(wish.track.0)];
        let send = wish.kb / self.scenario.shape.flow_kb_per_s;
        self.tally.asked(wish.at, wish.track);
        self.next_id += 1;
        let want = Want {
            wish,
            due: wish.at + track.target + TimeSpan::from_secs_f64(send * track.target_stretch),
            until: wish.at + self.scenario.limits[usize::from(wish.track.0)],
            tries: 0,
        };
        self.wants.insert(self.next_id, want);
        self.ask(self.next_id);
    }

    /// A client's try goes to a dispatcher of its zone that is up.
    pub(super) fn ask(&mut self, want_id: u64) {
        let Some(want) = self.wants.get_mut(&want_id) else {
            return;
        };
        want.tries += 1;
        let (wish, until) = (want.wish, want.until);
        let up = |seat: &&(usize, &Seat)| seat.1.zone == wish.zone && seat.1.decider.is_some();
        let seats: Vec<usize> = self
            .seats
            .iter()
            .enumerate()
            .filter(|seat| up(&seat))
            .map(|seat| seat.0)
            .collect();
        if seats.is_empty() || self.now >= until {
            self.wants.remove(&want_id);
            return;
        }
        let seat = seats[self.chance.random_range(0..seats.len())];
        self.next_id += 1;
        let id = RequestId(self.next_id);
        let open = Open {
            want: want_id,
            seat,
            life: self.seats[seat].life,
            wish,
            limit: until,
            tickets: Vec::new(),
            last: None,
            closed: false,
        };
        self.open.insert(id, open);
        self.tally.accesses += 1;
        self.file(self.now + self.scenario.hop, Ev::Comes(id));
    }

    pub(super) fn comes(&mut self, id: RequestId) {
        let now = self.now;
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let (seat, life, wish, limit) = (open.seat, open.life, open.wish, open.limit);
        if self.seats[seat].decider.is_none() || self.seats[seat].life != life {
            return self.lost(id);
        }
        self.checker.taken(now, id, wish.track, limit);
        self.file(limit + TimeSpan::from_millis(50), Ev::Overdue(id));
        let size_kb = Some(wish.kb).filter(|_| wish.told);
        let (object, group, part) = (wish.object, wish.group, wish.part);
        let arrival = Arrival {
            id,
            time_left: limit.since(now),
            class: wish.track,
            object,
            group,
            part,
            size_kb,
        };
        self.tell(seat, Event::Arrived(arrival));
    }

    pub(super) fn final_answer(
        &mut self,
        id: RequestId,
        how: Final,
        away: Option<TimeSpan>,
        minted: Option<Timestamp>,
    ) {
        let now = self.now;
        let Some(open) = self.open.remove(&id) else {
            return;
        };
        let copy = minted.map(|minted| (open.wish.object, open.wish.group, minted));
        self.checker.answered(now, id, how, copy);
        self.tally.answered(now, how);
        if how == Final::Done {
            if let Some(want) = self.wants.remove(&open.want) {
                self.tally
                    .served(want.wish.at, want.due, now, want.wish.track);
            }
            return;
        }
        let track = &self.scenario.shape.tracks[usize::from(open.wish.track.0)];
        self.again(
            open.want,
            how == Final::Rejected || track.effect != Effect::NonIdempotent,
            away,
        );
    }

    /// A client tries again, or gives up.
    pub(super) fn again(&mut self, want_id: u64, may: bool, away: Option<TimeSpan>) {
        let own = self
            .scenario
            .away
            .mul_f64(0.75 + 0.5 * self.chance.random::<f64>());
        let at = self.now + away.unwrap_or(own);
        let most = self.scenario.retries;
        match self.wants.get(&want_id) {
            Some(want) if may && want.tries <= most && at < want.until => {
                self.file(at, Ev::Retry(want_id))
            }
            _ => {
                self.wants.remove(&want_id);
            }
        }
    }

    /// The client's connection broke, or it waited past its limit.
    pub(super) fn lost(&mut self, id: RequestId) {
        self.checker.excused(id);
        if let Some(open) = self.open.remove(&id) {
            self.tally.lost += 1;
            let track = &self.scenario.shape.tracks[usize::from(open.wish.track.0)];
            self.again(open.want, track.effect != Effect::NonIdempotent, None);
        }
    }

    pub(super) fn overdue(&mut self, id: RequestId) {
        // Nothing came in time: the checker keeps it as owed.
        if let Some(open) = self.open.remove(&id) {
            self.tally.lost += 1;
            self.wants.remove(&open.want);
            self.tell(open.seat, Event::ClientGone { id });
        }
    }
}
