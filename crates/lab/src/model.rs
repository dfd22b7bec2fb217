//! A day in virtual time: the fleet of stand-ins, clients with retries, and dispatchers that decide for themselves.
//!
//! One event queue, ordered by time and then by the order of filing, and every draw from the seed: the same scenario,
//! policy and seed give the same day whatever the machine does.

use crate::chance::mix;
use crate::decide::baseline::{Decider, Policy};
use crate::rules::{Breach, Checker, Final};
use crate::scenario::{Kill, Scenario};
use crate::tally::{Cause, Summary, Tally};
use crate::traffic::{Stream, Wish, group_of};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use trailproxy::interface::*;
use trailproxy::units::*;
use trailproxy_budgets::decide::following::Following;
use trailproxy_budgets::decide::shares::Note as Words;
use trailproxy_budgets::decide::{HolderId, LifeId};
use trailproxy_budgets::sheet::Sheet;
use trailproxy_standins::fleet::{Answer, Fleet, Pull, Said, Ticket};
use trailproxy_standins::shape::{DAWN, Role, told};
use trailproxy_zones::decide::rise::Rise;

/// A dispatcher hears so long after a hand-off was withdrawn that it is over.
const WITHDRAWN_AFTER: Span = Span::from_millis(5);
/// The oracle is told the true state so often, and so late.
const TRUTH_EVERY: Span = Span::from_millis(500);
/// After the last arrival a day runs on for so long at most.
const RUN_OUT: Span = Span::from_secs(30);
/// Purges and hosts are told to a dispatcher that starts again after this.
const START: Span = Span::from_millis(300);

/// A day's result.
pub struct Day {
    pub summary: Summary,
    pub tally: Tally,
    pub breaches: Vec<Breach>,
    /// What was still held at the end: accesses, hand-offs and fetches.
    pub left_over: usize,
    /// The most hosts that one dispatcher kept something of.
    pub most_kept: usize,
    pub crossed: Crossed,
}

/// Traffic between zones as the dispatchers' accounts have it, beside what the links themselves counted.
#[derive(Clone, Debug, Default)]
pub struct Crossed {
    /// KB by zone it went into and track, booked by all dispatchers.
    pub booked: BTreeMap<(ZoneId, ClassId), f64>,
    /// KB by zone and track that the links moved whole, and all that they moved, by zone.
    pub whole: Vec<Vec<f64>>,
    pub moved: Vec<f64>,
    /// KB into each zone by steps of [`CROSSED_STEP`], as the links counted.
    pub steps: Vec<Vec<f64>>,
    /// Rises told: when, by which dispatcher.
    pub rises: Vec<(Moment, usize, Rise)>,
    /// Accesses that found no room, by track.
    pub turned_away: Vec<u64>,
}

/// How finely the links' counts are kept.
pub const CROSSED_STEP: Span = trailproxy_standins::loopback::CROSSED_EVERY;
/// Dispatchers look for rises so often.
const PASS: Span = Span::from_millis(250);

enum Ev {
    Wish(usize, Wish),
    /// An access reaches a dispatcher.
    Comes(RequestId),
    /// A hand-off reaches a host.
    Asked(Ticket),
    Withdrawn(Ticket),
    Outcome(Ticket, Answer),
    Wake(usize, u32, WakeId),
    Told(usize, HostEntry),
    Purged(usize, Option<ObjectId>, GroupId, Moment),
    Final(RequestId, Final, Option<Span>, Option<Moment>),
    Overdue(RequestId),
    Retry(u64),
    Kill(Kill),
    Start(usize),
    Truth,
    Tick,
    /// Words about budgets reach a dispatcher, from another; each looks after its own.
    Word(usize, HolderId, Words),
    Divide(usize, u32),
    /// Accounts are brought up to now, and links read.
    Pass,
    Read,
}

/// Budgets are looked after so often, and words are so long on their way.
const DIVIDE_EVERY: Span = Span::from_millis(100);
const WORD_TAKES: Span = Span::from_millis(1);

fn name(seat: usize) -> String {
    format!("n{seat}")
}

/// What a client wants, over all its tries.
struct Want {
    wish: Wish,
    due: Moment,
    until: Moment,
    tries: u32,
}

struct Open {
    want: u64,
    seat: usize,
    life: u32,
    wish: Wish,
    limit: Moment,
    tickets: Vec<Ticket>,
    last: Option<Ending>,
    closed: bool,
}

struct Out {
    access: RequestId,
    no: AttemptNo,
    seat: usize,
    life: u32,
    sent: Moment,
    pull: Pull,
    withdrawn: bool,
}

struct Seat {
    zone: ZoneId,
    life: u32,
    decider: Option<Box<dyn Decider>>,
    following: Option<Following>,
}

struct World<'a> {
    scenario: &'a Scenario,
    policy: Policy,
    seed: u64,
    now: Moment,
    queue: BTreeMap<(Moment, u64), Ev>,
    filed: u64,
    fleet: Fleet,
    seats: Vec<Seat>,
    streams: Vec<Stream>,
    wants: BTreeMap<u64, Want>,
    open: BTreeMap<RequestId, Open>,
    out: BTreeMap<Ticket, Out>,
    next_id: u64,
    chance: StdRng,
    checker: Checker,
    tally: Tally,
    most_kept: usize,
    crossed: Crossed,
    purged: Vec<(Option<ObjectId>, GroupId, Moment)>,
}

/// Plays one day.
pub fn run(scenario: &Scenario, policy: Policy, seed: u64) -> Day {
    let mut world = World::new(scenario, policy, seed);
    world.begin();
    world.play();
    world.end()
}

impl<'a> World<'a> {
    fn new(scenario: &'a Scenario, policy: Policy, seed: u64) -> World<'a> {
        let zones = scenario.seats.iter().enumerate();
        let seats = zones.flat_map(|(zone, &n)| (0..n).map(move |_| ZoneId(zone as u16)));
        let seat = |zone| Seat {
            zone,
            life: 0,
            decider: None,
            following: None,
        };
        World {
            scenario,
            policy,
            seed,
            now: DAWN,
            queue: BTreeMap::new(),
            filed: 0,
            fleet: Fleet::new(scenario.shape.clone(), &scenario.script, mix(seed, 1)),
            seats: seats.map(seat).collect(),
            streams: (0..scenario.loads.len())
                .map(|nth| Stream::new(scenario, nth, mix(seed, 2)))
                .collect(),
            wants: BTreeMap::new(),
            open: BTreeMap::new(),
            out: BTreeMap::new(),
            next_id: 0,
            chance: StdRng::seed_from_u64(mix(seed, 3)),
            checker: Checker::new(scenario.rule_bounds()),
            tally: Tally::new(&scenario.importance, scenario.counted_from, scenario.length),
            most_kept: 0,
            crossed: Crossed::default(),
            purged: Vec::new(),
        }
    }

    fn file(&mut self, at: Moment, event: Ev) {
        self.filed += 1;
        self.queue.insert((at, self.filed), event);
    }

    fn begin(&mut self) {
        warm_up(self.scenario, &mut self.fleet, self.seed);
        for entry in self.fleet.list() {
            self.checker.listed(DAWN, entry);
        }
        for seat in 0..self.seats.len() {
            self.start(seat);
        }
        for nth in 0..self.streams.len() {
            self.next_wish(nth);
        }
        for &kill in &self.scenario.kills {
            self.file(kill.at, Ev::Kill(kill));
        }
        if self.policy == Policy::Oracle {
            self.file(DAWN, Ev::Truth);
        }
        self.file(DAWN + Span::from_secs(1), Ev::Tick);
        if self.scenario.zones.is_some() && self.policy == Policy::Design {
            self.file(DAWN + PASS, Ev::Pass);
            self.file(DAWN, Ev::Read);
        }
    }

    fn play(&mut self) {
        let end = DAWN + self.scenario.length + RUN_OUT;
        loop {
            let own = self.queue.first_key_value().map(|(&(at, _), _)| at);
            let fleet = self.fleet.next();
            let Some(at) = own.into_iter().chain(fleet).min().filter(|&at| at <= end) else {
                break;
            };
            // Ticks alone keep no day going.
            let idle = self.now > DAWN + self.scenario.length
                && self.open.is_empty()
                && self.wants.is_empty();
            if idle {
                break;
            }
            self.now = self.now.max(at);
            if fleet.is_some_and(|fleet| own.is_none_or(|own| fleet <= own)) {
                let said = self.fleet.advance(at);
                said.into_iter().for_each(|said| self.said(said));
            } else if let Some((_, event)) = self.queue.pop_first() {
                self.happen(event);
            }
        }
    }

    fn end(mut self) -> Day {
        self.sample();
        (0..self.seats.len()).for_each(|seat| self.close_account(seat));
        let zones = (0..self.scenario.shape.zones.len()).map(|zone| ZoneId(zone as u16));
        self.crossed.moved = zones
            .clone()
            .map(|zone| self.fleet.crossed_kb(zone))
            .collect();
        self.crossed.whole = zones
            .map(|zone| self.fleet.crossed_whole_kb(zone).to_vec())
            .collect();
        self.checker.finish();
        self.tally.settle_breakers();
        let first = self.scenario.script.iter().map(|cue| cue.at).min();
        let named = (
            self.scenario.name.as_str(),
            "model",
            self.policy.name(),
            self.seed,
        );
        let breaches = (self.checker.breaches(), self.checker.count());
        let summary = self
            .tally
            .summary(named, &self.scenario.track_names, breaches, first);
        Day {
            breaches: self.checker.breaches().to_vec(),
            left_over: self.open.len() + self.out.len() + self.fleet.under_way(),
            summary,
            most_kept: self.most_kept,
            crossed: self.crossed,
            tally: self.tally,
        }
    }

    fn start(&mut self, seat: usize) {
        let zone = self.seats[seat].zone;
        let seed = mix(
            mix(self.seed, seat as u64),
            u64::from(self.seats[seat].life) + 4,
        );
        let rules = self.scenario.zones.as_ref();
        let mut decider = self.policy.decider(self.scenario.terms(zone), rules, seed);
        let entries = self.fleet.list();
        decider.take(
            self.now,
            Event::Hosts {
                form: ListForm::Whole,
                entries,
            },
        );
        for &(object, group, at) in &self.purged {
            decider.take(
                self.now,
                Event::Purged {
                    object,
                    group,
                    ago: self.now.since(at),
                },
            );
        }
        self.seats[seat].decider = Some(decider);
        self.follow(seat, seed);
        self.settle(seat);
    }

    /// One that starts begins to follow its budgets, where they are divided.
    fn follow(&mut self, seat: usize, seed: u64) {
        let Some(divided) = &self.scenario.divided else {
            return;
        };
        let sheet = Sheet {
            file: "model".into(),
            place: (1, 1),
            voters: (0..divided.voters.min(self.seats.len()))
                .map(name)
                .collect(),
            floors: divided.floors,
            lasts_s: 2.0,
            cold: divided.cold,
        };
        let (now, life) = (self.now, LifeId(u64::from(self.seats[seat].life) + 1));
        let own = (HolderId::of_name(&name(seat)), life);
        let terms = self.scenario.terms(self.seats[seat].zone);
        let mut following = Following::new(now, sheet, own, &terms, seed);
        let decider = self.seats[seat].decider.as_mut();
        following.set(now, decider.and_then(|decider| decider.zones()).as_deref());
        self.seats[seat].following = Some(following);
        self.divide(seat);
        let life = self.seats[seat].life;
        self.file(now + DIVIDE_EVERY, Ev::Divide(seat, life));
    }

    /// What one's budgets come to now; its words go out.
    fn divide(&mut self, seat: usize) {
        let (now, from) = (self.now, HolderId::of_name(&name(seat)));
        let Seat {
            decider: Some(decider),
            following: Some(following),
            ..
        } = &mut self.seats[seat]
        else {
            return;
        };
        decider.divide(now, following);
        for (to, note) in following.messages() {
            let place = (0..self.seats.len()).find(|&nth| HolderId::of_name(&name(nth)) == to);
            if let Some(place) = place {
                self.file(now + WORD_TAKES, Ev::Word(place, from, note));
            }
        }
    }

    fn next_wish(&mut self, nth: usize) {
        if let Some(wish) = self.streams[nth].next() {
            self.file(wish.at, Ev::Wish(nth, wish));
        }
    }

    fn happen(&mut self, event: Ev) {
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
                    ending: Ending::Withdrawn,
                    note: Note::Untold,
                    waited: None,
                    minted: None,
                    link_full: 0.0,
                };
                self.file(now + WITHDRAWN_AFTER, Ev::Outcome(ticket, none));
            }
            Ev::Outcome(ticket, answer) => self.outcome(ticket, answer),
            Ev::Wake(seat, life, wake) => {
                if self.seats[seat].life == life {
                    self.tell(seat, Event::Woken { wake });
                }
            }
            Ev::Told(seat, entry) => {
                let entries = vec![entry];
                self.tell(
                    seat,
                    Event::Hosts {
                        form: ListForm::Changes,
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
                        ago: now.since(at),
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
                    following.heard(now, from, note);
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
                    self.file(now + Span::from_secs(1), Ev::Tick);
                }
            }
        }
    }

    /// Brings one dispatcher's account up to now and takes the rises that it tells.
    fn pass(&mut self, seat: usize) {
        let now = self.now;
        let decider = self.seats[seat].decider.as_mut();
        if let Some(zones) = decider.and_then(|decider| decider.zones()) {
            let told = zones.advance(now);
            self.crossed
                .rises
                .extend(told.into_iter().map(|rise| (now, seat, rise)));
        }
    }

    /// Takes up what a dispatcher booked, before it ends.
    fn close_account(&mut self, seat: usize) {
        self.pass(seat);
        let decider = self.seats[seat].decider.as_mut();
        if let Some(zones) = decider.and_then(|decider| decider.zones()) {
            for (key, sum) in zones.account().totals() {
                *self.crossed.booked.entry((key.to, key.track)).or_default() += sum.kb;
            }
            let refused = zones.turned_away();
            self.crossed.turned_away.resize(refused.len(), 0);
            let sums = self.crossed.turned_away.iter_mut().zip(refused);
            sums.for_each(|(sum, (n, _))| *sum += n);
        }
    }

    /// Takes the bytes of the last second.
    fn sample(&mut self) {
        let zones = 0..self.scenario.shape.zones.len();
        let crossed = zones.map(|zone| self.fleet.crossed_kb(ZoneId(zone as u16)));
        self.tally
            .moved(self.now, self.fleet.moved(), crossed.collect());
    }

    fn wish(&mut self, wish: Wish) {
        let track = &self.scenario.shape.tracks[usize::from(wish.track.0)];
        let send = wish.kb / self.scenario.shape.flow_kb_per_s;
        self.tally.asked(wish.at, wish.track);
        self.next_id += 1;
        let want = Want {
            wish,
            due: wish.at + track.due + Span::from_secs_f64(send * track.due_stretch),
            until: wish.at + self.scenario.limits[usize::from(wish.track.0)],
            tries: 0,
        };
        self.wants.insert(self.next_id, want);
        self.ask(self.next_id);
    }

    /// A client's try goes to a dispatcher of its zone that is up.
    fn ask(&mut self, want_id: u64) {
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

    fn comes(&mut self, id: RequestId) {
        let now = self.now;
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let (seat, life, wish, limit) = (open.seat, open.life, open.wish, open.limit);
        if self.seats[seat].decider.is_none() || self.seats[seat].life != life {
            return self.lost(id);
        }
        self.checker.taken(now, id, wish.track, limit);
        self.file(limit + Span::from_millis(50), Ev::Overdue(id));
        let size_kb = Some(wish.kb).filter(|_| wish.told);
        let (object, group, part) = (wish.object, wish.group, wish.part);
        let arrival = Arrival {
            id,
            left: limit.since(now),
            track: wish.track,
            object,
            group,
            part,
            size_kb,
        };
        self.tell(seat, Event::Arrived(arrival));
    }

    fn tell(&mut self, seat: usize, event: Event) {
        let now = self.now;
        let Seat {
            decider: Some(decider),
            following,
            ..
        } = &mut self.seats[seat]
        else {
            return;
        };
        following.iter_mut().for_each(|on| on.event(now, &event));
        decider.take(now, event);
        self.settle(seat);
    }

    fn settle(&mut self, seat: usize) {
        let now = self.now;
        let actions = self.seats[seat]
            .decider
            .as_mut()
            .map(|decider| decider.settle(now));
        for action in actions.into_iter().flatten() {
            self.act(seat, action);
        }
    }

    fn act(&mut self, seat: usize, action: Action) {
        let (now, hop) = (self.now, self.scenario.hop);
        match action {
            Action::Attempt(hand_off) => self.hand_off(seat, hand_off),
            Action::Refuse { id, come_back } => {
                self.given_up(id);
                self.file(now + hop, Ev::Final(id, Final::Rejected, come_back, None));
            }
            Action::Fail { id } => {
                self.given_up(id);
                self.file(now + hop, Ev::Final(id, Final::Aborted, None, None));
            }
            Action::Withdraw { id, hand_off } => {
                let ticket = self
                    .open
                    .get(&id)
                    .and_then(|open| open.tickets.get(usize::from(hand_off.0)));
                let out = ticket.copied().and_then(|ticket| self.out.get_mut(&ticket));
                if let Some(out) = out.filter(|out| !out.withdrawn) {
                    out.withdrawn = true;
                    let ticket = out.pull.ticket;
                    self.file(now + hop, Ev::Withdrawn(ticket));
                }
            }
            Action::Wake { at, wake } => {
                let life = self.seats[seat].life;
                self.file(at.max(now), Ev::Wake(seat, life, wake));
            }
            // The model's hosts tell their load with answers; scenarios ask for no probes.
            Action::FollowList | Action::Probe { .. } => {}
            Action::Log { text } => self.log(seat, &text),
        }
    }

    /// The module tells of its breakers in words.
    fn log(&mut self, seat: usize, text: &str) {
        let mut words = text.split(' ').skip(1);
        let host = words
            .next()
            .and_then(|hex| u64::from_str_radix(hex, 16).ok());
        if let (Some(host), Some("breaker"), Some(what)) = (host, words.next(), words.next()) {
            self.tally
                .breaker(self.now, seat as u32, host, what == "open");
        }
    }

    fn given_up(&mut self, id: RequestId) {
        if let Some(open) = self.open.get_mut(&id) {
            open.closed = true;
            let cause = match open.last {
                None => Cause::Unsent,
                Some(Ending::Full) => Cause::Full,
                Some(Ending::Missed) => Cause::Missed,
                Some(Ending::Withdrawn | Ending::TimedOut) => Cause::TimedOut,
                Some(_) => Cause::Failed,
            };
            *self.tally.causes.entry(cause).or_default() += 1;
        }
    }

    fn hand_off(&mut self, seat: usize, hand_off: Attempt) {
        let (now, hop) = (self.now, self.scenario.hop);
        let Some(open) = self.open.get_mut(&hand_off.id) else {
            return;
        };
        self.next_id += 1;
        let ticket = Ticket(self.next_id);
        let no = AttemptNo(open.tickets.len() as u8);
        open.tickets.push(ticket);
        let wish = open.wish;
        let pull = Pull {
            ticket,
            host: hand_off.host,
            zone: wish.zone,
            track: wish.track,
            object: wish.object,
            group: wish.group,
            part: wish.part,
            kb: wish.kb,
            fill: hand_off.fill,
        };
        let life = self.seats[seat].life;
        let out = Out {
            access: hand_off.id,
            no,
            seat,
            life,
            sent: now,
            pull,
            withdrawn: false,
        };
        self.out.insert(ticket, out);
        self.tally.hand_offs += 1;
        let source = hand_off.fill.map(|fill| fill.source);
        self.checker
            .sent(now, hand_off.id, no.0, hand_off.host, source, wish.kb);
        let jitter = Span(self.chance.random_range(0..200));
        self.file(now + hop + jitter, Ev::Asked(ticket));
    }

    fn asked(&mut self, ticket: Ticket) {
        if let Some(out) = self.out.get(&ticket) {
            self.fleet.hand_off(self.now, out.pull);
            // What is answered at once is taken up at once.
            let said = self.fleet.advance(self.now);
            said.into_iter().for_each(|said| self.said(said));
        }
    }

    fn said(&mut self, said: Said) {
        let now = self.now;
        match said {
            Said::Answer(answer) => {
                let jitter = Span(self.chance.random_range(0..200));
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
                        .times(0.5 + self.chance.random::<f64>());
                    self.file(now + late + delay, Ev::Told(seat, entry));
                }
            }
            Said::Purged { object, group } => {
                self.checker.purged(now, object, group);
                let old = self.scenario.shape.purge_done.times(4.0);
                self.purged.retain(|purge| now.since(purge.2) < old);
                self.purged.push((object, group, now));
                for seat in 0..self.seats.len() {
                    let delay = self
                        .scenario
                        .purge_delay
                        .times(0.5 + self.chance.random::<f64>());
                    self.file(now + delay, Ev::Purged(seat, object, group, now));
                }
            }
            Said::Given { host, kb } => self.checker.filled(now, host, kb),
            Said::Fell(_) => self.tally.fell += 1,
            Said::Up(_) | Said::Down(_) => {}
        }
    }

    fn outcome(&mut self, ticket: Ticket, answer: Answer) {
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
        let mut closed = false;
        if let Some(open) = self.open.get_mut(&id) {
            open.last = Some(answer.ending);
            closed = answer.ending == Ending::Done && !open.closed;
            if closed {
                open.closed = true;
                self.file(
                    now + self.scenario.hop,
                    Ev::Final(id, Final::Done, None, answer.minted),
                );
            }
        }
        let notes = self.scenario.terms.notes;
        let outcome = Outcome {
            id,
            hand_off: out.no,
            ending: answer.ending,
            took: now.since(out.sent),
            closed,
            note: told(notes, answer.note),
            waited: answer.waited.filter(|_| notes == NoteLevel::All),
            load: Load {
                link_full: Some(answer.link_full).filter(|_| self.scenario.terms.link_told),
                ..Load::default()
            },
            proven: true,
            came_kb: None,
        };
        self.tell(out.seat, Event::Outcome(outcome));
    }

    fn final_answer(
        &mut self,
        id: RequestId,
        how: Final,
        away: Option<Span>,
        minted: Option<Moment>,
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
    fn again(&mut self, want_id: u64, may: bool, away: Option<Span>) {
        let own = self
            .scenario
            .away
            .times(0.75 + 0.5 * self.chance.random::<f64>());
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
    fn lost(&mut self, id: RequestId) {
        self.checker.excused(id);
        if let Some(open) = self.open.remove(&id) {
            self.tally.lost += 1;
            let track = &self.scenario.shape.tracks[usize::from(open.wish.track.0)];
            self.again(open.want, track.effect != Effect::NonIdempotent, None);
        }
    }

    fn overdue(&mut self, id: RequestId) {
        // Nothing came in time: the checker keeps it as owed.
        if let Some(open) = self.open.remove(&id) {
            self.tally.lost += 1;
            self.wants.remove(&open.want);
            self.tell(open.seat, Event::Left { id });
        }
    }

    /// Dispatchers die without a word; what they had out is abandoned with their connections.
    fn kill(&mut self, kill: Kill) {
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

/// Caches and parents that run when the day begins hold what was asked for lately.
pub fn warm_up(scenario: &Scenario, fleet: &mut Fleet, seed: u64) {
    let mut warm = scenario.clone();
    let seconds = 60.0;
    warm.length = Span::from_secs_f64(seconds);
    warm.bursts.clear();
    let roles = |role: Role| {
        scenario
            .shape
            .hosts
            .iter()
            .filter(move |host| host.role == role)
    };
    for nth in 0..warm.loads.len() {
        warm.loads[nth].from = DAWN;
        let track = &scenario.shape.tracks[usize::from(warm.loads[nth].track.0)];
        if track.written {
            continue;
        }
        let mut drawn = 0;
        for wish in Stream::new(&warm, nth, mix(seed, 9)) {
            drawn += 1;
            if drawn > 200_000 {
                break;
            }
            let part = (wish.object, wish.part);
            // A copy's age is drawn evenly over its fresh time: older ones would have been renewed.
            let age = track
                .fresh
                .map_or(0, |fresh| mix(wish.object.0, seed) % fresh.0.max(1));
            let minted = DAWN - Span(age);
            let group = group_of(wish.object);
            let order = |part: u32| {
                move |host: &&trailproxy_standins::shape::HostShape| {
                    mix(wish.object.0 ^ u64::from(part) << 52, host.id.0)
                }
            };
            let own = roles(Role::Cache)
                .filter(|host| host.zone == wish.zone)
                .max_by_key(order(wish.part));
            let parent = roles(Role::Parent).max_by_key(order(0));
            for host in own.into_iter().chain(parent) {
                fleet.hold(host.id, part, group, wish.kb, minted);
            }
        }
    }
}
