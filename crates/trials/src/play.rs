//! One trial played to real processes.

use crate::decide::keys::{Count, Keys};
use crate::decide::script::{Strike, Trial, What};
use crate::relay::{Journals, Relays, Way};
use serde::Serialize;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;
use trailproxy::units::*;
use trailproxy_lab::crossing::{rate, step};
use trailproxy_lab::loopback::{self, Around, Place, Watch};
use trailproxy_lab::model::CROSSED_STEP;
use trailproxy_lab::rules::Final;
use trailproxy_lab::scenario::Scenario;
use trailproxy_standins::loopback::Seen;
use trailproxy_standins::redis::{Delay, Redis};
use trailproxy_standins::redis_server::{Fault, RedisServer};
use trailproxy_standins::shape::DAWN;

/// What is seen at two ends of a socket may differ by this on a busy machine.
const SLACK: TimeSpan = TimeSpan::from_millis(200);

/// What crossed, by the count of the links, against the scenario's first budget with a rate.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct OfBudget {
    /// The worst second, and the worst ten: KB that crossed over the rate's for that long with the burst.
    pub worst_1s: f64,
    pub worst_10s: f64,
    /// What crossed of the rate on average, from when it counts.
    pub used: f64,
}

impl OfBudget {
    /// The worst of both: over 1, more crossed than the whole allows.
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

/// What one run came to, counted from outside.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    pub seed: u64,
    pub peers: bool,
    pub store: bool,
    pub strikes: Vec<String>,
    pub processes: usize,
    pub service: f64,
    pub accesses: u64,
    pub done: u64,
    pub lost: u64,
    pub rules_broken: Vec<String>,
    pub keys: Count,
    pub budget: Option<OfBudget>,
    pub fell: u64,
    pub letters_per_s: f64,
    pub kb_per_s: f64,
    pub peak_rss_kb: u64,
    pub cpu_us_per_access: f64,
    /// By second of the run: importance asked for and served.
    pub seconds: Vec<(f64, f64)>,
}

impl Outcome {
    /// Why it is no good: the five rules, and no repeat that hosts don't drop.
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

struct Watched(Keys);

impl Watch for Watched {
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

    fn answered(&mut self, _: Timestamp, id: RequestId, answer: Option<Final>) {
        self.0.on_answer(id, answer);
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

fn free_datagrams(n: usize) -> io::Result<Vec<SocketAddr>> {
    // All held until all are known, so that no two are the same.
    let sockets: Vec<UdpSocket> = (0..n)
        .map(|_| UdpSocket::bind("127.0.0.1:0"))
        .collect::<io::Result<_>>()?;
    sockets.iter().map(UdpSocket::local_addr).collect()
}

fn section(trial: &Trial, listen: SocketAddr, own: SocketAddr, all: &[SocketAddr]) -> Value {
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

/// Messages take as long as the distances of the script say.
fn keep_apart(trial: &Trial, relays: &Relays, seats: usize) {
    let change = relays.change();
    for from in 0..seats {
        for to in 0..seats {
            let distance = Duration::from_secs_f64(trial.distance_ms(from, to) / 1e3);
            change(&|a, b| (a, b) == (from, to), &|way| way.distance = distance);
        }
    }
}

/// What a strike does to a way, and what undoes it.
struct Done {
    begins: fn(&mut Way, f64),
    ends: fn(&mut Way),
}

fn done_to(what: What) -> Option<Done> {
    let of = |begins, ends| Some(Done { begins, ends });
    match what {
        What::Cut | What::Mute => of(|way, _| way.cut = true, |way| way.cut = false),
        What::Lose => of(|way, share| way.lose = share, |way| way.lose = 0.0),
        What::Double => of(|way, share| way.double = share, |way| way.double = 0.0),
        What::Garbage => of(|way, share| way.garbage = share, |way| way.garbage = 0.0),
        What::Slow => of(
            |way, ms| way.slow = Duration::from_secs_f64(ms / 1e3),
            |way| way.slow = Duration::ZERO,
        ),
        What::Trickle => of(|way, kb| way.trickle = kb * 1024.0, |way| way.trickle = 0.0),
        _ => None,
    }
}

fn store_section(trial: &Trial, port: u16) -> Value {
    json!({
        "file": "trial", "place": [1, 1], "host": "127.0.0.1", "port": port, "password_file": "", "prefix": "t/",
        "wait_ms": trial.wait_ms, "keep_s": trial.keep_s,
        "records": !trial.peers, "hints": true, "purges": true, "words": trial.budgets,
    })
}

type Struck = Box<dyn Fn(&RedisServer)>;

/// What a strike does to the store; what it ends is ended by the store itself.
fn to_store(strike: &Strike) -> Option<Struck> {
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

fn strikes(
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
            // A clock is off from the start on, by the environment; the rest is done to ways.
            _ => {}
        }
        if strike.what == What::Silent {
            for (at, on) in [(at, true), (at + lasts, false)] {
                let (hush, who) = (journals.hush(), who.clone());
                all.push((at, loopback::Strike::Do(Rc::new(move || hush(&who, on)))));
            }
        }
        if let Some((store, strikes)) = store.cloned().zip(to_store(strike)) {
            all.push((at, loopback::Strike::Do(Rc::new(move || strikes(&store)))));
        }
        let Some(done) = done_to(strike.what) else {
            continue;
        };
        let (amount, what) = (strike.amount, strike.what);
        // A cut leaves those on one side together, and one that is mute still hears.
        let fits = move |who: &[usize], from: usize, to: usize| {
            let (from, to) = (who.contains(&from), who.contains(&to));
            match what {
                What::Cut => from != to,
                What::Mute => from && !to,
                _ => from || to,
            }
        };
        let (begin, end, others) = (relays.change(), relays.change(), who.clone());
        let begins = move || {
            begin(&|from, to| fits(&who, from, to), &|way| {
                (done.begins)(way, amount)
            });
        };
        let ends = move || end(&|from, to| fits(&others, from, to), &done.ends);
        all.push((at, loopback::Strike::Do(Rc::new(begins))));
        all.push((at + lasts, loopback::Strike::Do(Rc::new(ends))));
    }
    all
}

/// Plays it; an error is one of this machine, not of the program.
pub fn play(scenario: &Scenario, trial: &Trial, place: &Place, seed: u64) -> io::Result<Outcome> {
    let seats: usize = scenario.seats.iter().map(|&n| n as usize).sum();
    let behind = free_datagrams(seats)?;
    let relays = Relays::start(behind.clone(), seed)?;
    keep_apart(trial, &relays, seats);
    let store = match trial.store {
        true => Some(Rc::new(RedisServer::start(Redis::new(seed), seed)?)),
        false => None,
    };
    let mut operators: Vec<Value> = match trial.peers {
        true => behind
            .iter()
            .zip(&relays.addresses)
            .map(|(&listen, &own)| section(trial, listen, own, &relays.addresses))
            .collect(),
        false => Vec::new(),
    };
    if let Some(store) = &store {
        operators.resize(seats, json!({}));
        for told in &mut operators {
            told["store"] = store_section(trial, store.address.port());
        }
    }
    if trial.budgets {
        let voters: Vec<String> = (0..trial.voters.min(seats))
            .map(|nth| format!("n{nth}"))
            .collect();
        for told in &mut operators {
            told["budgets"] = json!({
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
    let watch = Rc::new(RefCell::new(Watched(keys)));
    let journals = Rc::new(Journals::new(seats));
    let ways = journals.clone();
    let around = Around {
        journals: Some(Rc::new(move |service| ways.open(service))),
        operators,
        variables,
        strikes: strikes(trial, &relays, &journals, store.as_ref()),
        watch: Some(watch.clone()),
        elsewhere: true,
        busy: trial.busy,
        patience: Some(TimeSpan::from_secs_f64(trial.patience_ms / 1e3)),
        again: trial.again,
        lead: Duration::from_secs_f64(trial.lead_s),
    };
    let day = loopback::run_around(scenario, place, seed, around)?;
    let passed = relays.passed();
    let seconds = scenario.length.as_secs_f64().max(1.0);
    let (letters, bytes) = passed
        .iter()
        .fold((0, 0), |sum, of| (sum.0 + of.letters, sum.1 + of.bytes));
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
        letters_per_s: letters as f64 / each,
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
