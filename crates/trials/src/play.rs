//! Runs one trial against real processes and counts its outcome from outside.

use crate::decide::keys::{Count, Keys};
use crate::decide::script::{Strike, Trial, What};
use crate::relay::{Journals, Relays, Route};
use serde::Serialize;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use trailproxy::units::*;
use trailproxy_lab::crossing::{rate, step};
use trailproxy_lab::loopback::{self, Around, Place, Watch};
use trailproxy_lab::model::CROSSED_STEP;
use trailproxy_lab::rules::Final;
use trailproxy_lab::scenario::Scenario;
use trailproxy_standins::addresses::free_datagram_address;
use trailproxy_standins::loopback::Seen;
use trailproxy_standins::redis::{Delay, Redis};
use trailproxy_standins::redis_server::{Fault, RedisServer};
use trailproxy_standins::shape::DAWN;

/// How far the times that two ends of a socket see may differ on a busy machine.
const SLACK: TimeSpan = TimeSpan::from_millis(200);

/// What crossed into a zone, as the links counted it, relative to the scenario's first budget with a rate.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct OfBudget {
    /// The worst second: the KB that crossed, divided by what the rate and the burst allow in that time.
    pub worst_1s: f64,
    /// The worst ten seconds, in the same way.
    pub worst_10s: f64,
    /// The share of the rate that crossed on average, from the time at which the scenario starts to count.
    pub used: f64,
}

impl OfBudget {
    /// The worse of the two: over 1, more crossed than the whole budget allows.
    pub fn worst(&self) -> f64 {
        self.worst_1s.max(self.worst_10s)
    }

    fn of(scenario: &Scenario, steps: &[Vec<f64>]) -> Option<OfBudget> {
        let sheet = scenario.zones_sheet.as_ref()?;
        let limit = sheet.crossings.iter().find(|of| of.kb_per_s > 0.0)?;
        let zone = scenario
            .shape
            .zones
            .iter()
            .position(|zone| zone.name == limit.into)?;
        let steps = steps.iter().filter_map(|step| step.get(zone).copied());
        let steps: Vec<f64> = steps.collect();
        let worst = |span: TimeSpan| {
            let n = (span.0 / CROSSED_STEP.0).max(1) as usize;
            let may = limit.kb_per_s * span.as_secs_f64() + limit.burst_kb;
            let crossed = |end: usize| steps[end] - steps[end.saturating_sub(n)];
            (0..steps.len()).map(crossed).fold(0.0, f64::max) / may
        };
        Some(OfBudget {
            worst_1s: worst(TimeSpan::from_secs(1)),
            worst_10s: worst(TimeSpan::from_secs(10)),
            used: rate(&steps, step(scenario.counted_from)) / limit.kb_per_s,
        })
    }
}

/// The outcome of one run, counted from outside.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// The seed of everything random in the run.
    pub seed: u64,
    /// Whether the dispatchers shared records as peers.
    pub peers: bool,
    /// Whether the dispatchers shared a store.
    pub store: bool,
    /// The injected faults, as a script has them.
    pub strikes: Vec<String>,
    /// Dispatcher processes.
    pub processes: usize,
    pub service: f64,
    /// Requests of clients.
    pub accesses: u64,
    /// Requests that were done.
    pub done: u64,
    pub lost: u64,
    /// Rules that the run broke.
    pub rules_broken: Vec<String>,
    /// What was counted by idempotency key.
    pub keys: Count,
    /// How a zone budget was used, if the scenario has one with a rate.
    pub budget: Option<OfBudget>,
    pub fell: u64,
    /// Messages between dispatchers, per second and dispatcher.
    pub letters_per_s: f64,
    /// KB of these messages, per second and dispatcher.
    pub kb_per_s: f64,
    /// Peak memory of the processes, as the summary has it; 0 if unknown.
    pub peak_rss_kb: u64,
    /// CPU time per request, in microseconds; 0 if unknown.
    pub cpu_us_per_access: f64,
    /// By second of the run: the importance requested and the importance served.
    pub seconds: Vec<(f64, f64)>,
}

impl Outcome {
    /// Why the run fails, if it does: a broken rule of the five, a budget overrun, or a repeat that hosts don't drop.
    pub fn wrong(&self) -> Option<String> {
        if let Some(rule) = self.rules_broken.first() {
            return Some(rule.clone());
        }
        let worst = self
            .budget
            .as_ref()
            .map_or(0.0, |of| of.worst_1s.max(of.worst_10s));
        if worst > 1.0 {
            return Some(format!("a budget overrun: {worst:.3} of rate and burst"));
        }
        let repeats = self.keys.forbidden_repeats;
        (repeats > 0).then(|| format!("{repeats} forbidden repeats under one key"))
    }
}

/// Counts what clients and hosts see.
struct KeyWatch(Keys);

impl Watch for KeyWatch {
    fn asked(
        &mut self,
        at: Timestamp,
        id: RequestId,
        key: &str,
        class: ClassId,
        dispatcher: usize,
    ) {
        self.0.on_request(at, id, key, class, dispatcher);
    }

    fn answered(&mut self, at: Timestamp, id: RequestId, answer: Option<Final>) {
        self.0.on_answer(at, id, answer);
    }

    fn seen(&mut self, at: Timestamp, seen: &Seen) {
        match *seen {
            Seen::Sent {
                reference,
                host,
                no,
                ..
            } => self.0.on_attempt_sent(at, RequestId(reference), no, host),
            Seen::Ended {
                reference,
                no,
                never_ran,
            } => self.0.on_attempt_ended(RequestId(reference), no, never_ran),
            _ => {}
        }
    }
}

/// The section `peers` of one dispatcher's configuration.
fn peers_section(trial: &Trial, listen: SocketAddr, own: SocketAddr, all: &[SocketAddr]) -> Value {
    let seeds: Vec<String> = all.iter().take(3).map(SocketAddr::to_string).collect();
    json!({"peers": {
        "file": "trial", "place": [1, 1], "fleet": "trial", "secret_file": "",
        "listen": listen.to_string(), "advertise": own.to_string(), "seeds": seeds,
        "unsure": if trial.refuse { "refuse" } else { "send" }, "wait_ms": trial.wait_ms, "keep_s": trial.keep_s,
        "records": true, "purges": true, "hosts": true, "hints": true, "sites": sites(trial, all),
    }})
}

/// One site for each zone that dispatchers are spread over.
fn sites(trial: &Trial, all: &[SocketAddr]) -> Value {
    let members = |zone: usize| -> Vec<String> {
        let seats = all.iter().enumerate();
        let of_zone = seats.filter(|&(seat, _)| trial.zone(seat) == Some(zone));
        of_zone.map(|(_, address)| address.to_string()).collect()
    };
    let site = |zone: usize| {
        json!({
            "place": [1, 1], "name": format!("site{zone}"), "zone": format!("zone{zone}"),
            "region": format!("region{}", Trial::region(zone)), "members": members(zone),
        })
    };
    let zones = if trial.sites { trial.zones } else { 0 };
    (0..zones).map(site).collect()
}

/// Sets the delay of each route by the distance between its dispatchers.
fn set_distances(trial: &Trial, relays: &Relays, seats: usize) {
    let change = relays.route_changer();
    for from in 0..seats {
        for to in 0..seats {
            let distance = Duration::from_secs_f64(trial.distance_ms(from, to) / 1e3);
            change(&|a, b| (a, b) == (from, to), &|route| {
                route.distance = distance
            });
        }
    }
}

/// How a fault changes a route, and how it is undone.
struct RouteFault {
    begin: fn(&mut Route, f64),
    end: fn(&mut Route),
}

/// The effect of this kind of fault on routes, if it has one.
fn route_fault(what: What) -> Option<RouteFault> {
    let of = |begin, end| Some(RouteFault { begin, end });
    match what {
        What::Cut | What::Mute => of(
            |route, _| route.blocked = true,
            |route| route.blocked = false,
        ),
        What::Lose => of(|route, share| route.loss = share, |route| route.loss = 0.0),
        What::Double => of(
            |route, share| route.duplication = share,
            |route| route.duplication = 0.0,
        ),
        What::Garbage => of(
            |route, share| route.corruption = share,
            |route| route.corruption = 0.0,
        ),
        What::Slow => of(
            |route, ms| route.extra_delay = Duration::from_secs_f64(ms / 1e3),
            |route| route.extra_delay = Duration::ZERO,
        ),
        What::Trickle => of(
            |route, kb| route.bytes_per_second = kb * 1024.0,
            |route| route.bytes_per_second = 0.0,
        ),
        _ => None,
    }
}

/// The section `store` of a dispatcher's configuration.
fn store_section(trial: &Trial, port: u16) -> Value {
    json!({
        "file": "trial", "place": [1, 1], "host": "127.0.0.1", "port": port, "password_file": "", "prefix": "t/",
        "wait_ms": trial.wait_ms, "keep_s": trial.keep_s,
        "records": !trial.peers, "hints": true, "purges": true, "words": trial.budgets,
    })
}

/// Applies a fault to the store.
type StoreFault = Box<dyn Fn(&RedisServer)>;

/// The effect of a fault on the store, if it has one. The store itself ends a fault that lasts for a time.
fn store_fault(strike: &Strike) -> Option<StoreFault> {
    let lasts = Duration::from_secs_f64(strike.for_s);
    let (least, mean_more) = (
        TimeSpan::from_secs_f64(strike.amount / 1e3),
        TimeSpan::from_millis(10),
    );
    let fault = match strike.what {
        What::StoreSlow => Fault::Slow(Delay { least, mean_more }),
        What::StoreLate => Fault::ApplyAfter(least),
        What::StorePause => Fault::Pause,
        What::StoreDrop => Fault::DropAnswers,
        What::StoreGarbage => Fault::Garbage,
        What::StoreClosed => Fault::Closed,
        What::StoreWipe => return Some(Box::new(RedisServer::wipe)),
        What::StoreSplit => return Some(Box::new(RedisServer::split)),
        What::StoreRestart => return Some(Box::new(|store| store.restart(false, 500))),
        _ => return None,
    };
    Some(Box::new(move |store| store.fault(fault, lasts)))
}

/// All faults of a trial except those of clocks, with their times.
fn timed_faults(
    trial: &Trial,
    relays: &Relays,
    journals: &Journals,
    store: Option<&Rc<RedisServer>>,
) -> Vec<(Timestamp, loopback::Strike)> {
    let mut all = Vec::new();
    for strike in &trial.strikes {
        let at = DAWN + TimeSpan::from_secs_f64(strike.at_s);
        let lasts = TimeSpan::from_secs_f64(strike.for_s);
        let who = strike.who.clone();
        match strike.what {
            What::Kill => all.push((at, loopback::Strike::Kill(who.clone(), lasts))),
            What::Pause => all.push((at, loopback::Strike::Pause(who.clone(), lasts))),
            What::Roll => all.push((at, loopback::Strike::Roll(who.clone()))),
            What::Reread => all.push((at, loopback::Strike::Reread(who.clone()))),
            // Faults of clocks are set by the environment at the start; all others follow below.
            _ => {}
        }
        if strike.what == What::Silent {
            for (at, on) in [(at, true), (at + lasts, false)] {
                let (silence, who) = (journals.silencer(), who.clone());
                all.push((at, loopback::Strike::Do(Rc::new(move || silence(&who, on)))));
            }
        }
        if let Some((store, apply)) = store.cloned().zip(store_fault(strike)) {
            all.push((at, loopback::Strike::Do(Rc::new(move || apply(&store)))));
        }
        let Some(fault) = route_fault(strike.what) else {
            continue;
        };
        let (amount, what) = (strike.amount, strike.what);
        // A cut leaves the dispatchers on each side connected, and a mute dispatcher still receives.
        let fits = move |who: &[usize], from: usize, to: usize| {
            let (from, to) = (who.contains(&from), who.contains(&to));
            match what {
                What::Cut => from != to,
                What::Mute => from && !to,
                _ => from || to,
            }
        };
        let (begin, end, others) = (relays.route_changer(), relays.route_changer(), who.clone());
        let begins = move || {
            begin(&|from, to| fits(&who, from, to), &|route| {
                (fault.begin)(route, amount)
            });
        };
        let ends = move || end(&|from, to| fits(&others, from, to), &fault.end);
        all.push((at, loopback::Strike::Do(Rc::new(begins))));
        all.push((at + lasts, loopback::Strike::Do(Rc::new(ends))));
    }
    all
}

/// Runs the trial. An error is one of this machine, such as a socket that can't be opened, not one of the dispatchers.
pub fn play(scenario: &Scenario, trial: &Trial, place: &Place, seed: u64) -> io::Result<Outcome> {
    let seats: usize = scenario.seats.iter().map(|&n| n as usize).sum();
    let dispatchers: Vec<SocketAddr> = (0..seats)
        .map(|_| free_datagram_address())
        .collect::<io::Result<_>>()?;
    let relays = Relays::start(dispatchers.clone(), seed)?;
    set_distances(trial, &relays, seats);
    let store = match trial.store {
        true => Some(Rc::new(RedisServer::start(Redis::new(seed), seed)?)),
        false => None,
    };
    let mut operators: Vec<Value> = match trial.peers {
        true => dispatchers
            .iter()
            .zip(&relays.addresses)
            .map(|(&listen, &own)| peers_section(trial, listen, own, &relays.addresses))
            .collect(),
        false => Vec::new(),
    };
    if let Some(store) = &store {
        operators.resize(seats, json!({}));
        for config in &mut operators {
            config["store"] = store_section(trial, store.address.port());
        }
    }
    if trial.budgets {
        let voters: Vec<String> = (0..trial.voters.min(seats))
            .map(|nth| format!("n{nth}"))
            .collect();
        for config in &mut operators {
            config["budgets"] = json!({
                "file": "trial", "place": [1, 1], "voters": voters, "floors": 0.25, "lasts_s": 2.0, "cold": true,
            });
        }
    }
    let mut variables = vec![Vec::new(); seats];
    for (seat, set) in variables.iter_mut().enumerate() {
        let off = |what: What| {
            let mut of = trial.strikes.iter().filter(|strike| strike.what == what);
            of.find(|strike| strike.who.contains(&seat))
                .map(|strike| strike.amount)
        };
        let (ahead, fast) = (off(What::Clock), off(What::Fast));
        if ahead.or(fast).is_some() {
            let clock = format!("{},{}", ahead.unwrap_or(0.0), fast.unwrap_or(0.0));
            set.push(("RELAY_CLOCK".into(), clock));
        }
    }
    let hosts = scenario.shape.hosts.iter();
    let places: BTreeMap<HostId, (ZoneId, CellId)> = hosts
        .map(|host| (host.id, (host.zone, host.cell)))
        .collect();
    let keys = Keys::new(scenario.shape.tracks.clone(), places, SLACK);
    let watch = Rc::new(RefCell::new(KeyWatch(keys)));
    let journals = Rc::new(Journals::new(seats));
    let proxies = journals.clone();
    let around = Around {
        journals: Some(Rc::new(move |service| proxies.open(service))),
        operators,
        variables,
        strikes: timed_faults(trial, &relays, &journals, store.as_ref()),
        watch: Some(watch.clone()),
        elsewhere: true,
        busy: trial.busy,
        patience: Some(TimeSpan::from_secs_f64(trial.patience_ms / 1e3)),
        again: trial.again,
        lead: Duration::from_secs_f64(trial.lead_s),
    };
    let day = loopback::run_around(scenario, place, seed, around)?;
    let traffic = relays.traffic();
    let seconds = scenario.length.as_secs_f64().max(1.0);
    let (messages, bytes) = traffic
        .iter()
        .fold((0, 0), |sum, of| (sum.0 + of.messages, sum.1 + of.bytes));
    let each = seconds * seats.max(1) as f64;
    let end = DAWN + scenario.length + TimeSpan::from_millis(1);
    let count = watch.borrow().0.count(end);
    let summary = day.summary;
    Ok(Outcome {
        seed,
        peers: trial.peers,
        store: trial.store,
        strikes: trial.strikes.iter().map(Strike::to_string).collect(),
        processes: seats,
        service: summary.service,
        accesses: summary.accesses,
        done: summary.done,
        lost: summary.lost,
        rules_broken: summary.rules_broken,
        keys: count,
        budget: OfBudget::of(scenario, &day.crossed.steps),
        fell: day.tally.fell,
        letters_per_s: messages as f64 / each,
        kb_per_s: bytes as f64 / 1024.0 / each,
        peak_rss_kb: summary.peak_rss_kb.unwrap_or(0),
        cpu_us_per_access: summary.cpu_us_per_access.unwrap_or(0.0),
        seconds: day
            .tally
            .seconds
            .iter()
            .map(|second| (second.asked, second.served))
            .collect(),
    })
}
