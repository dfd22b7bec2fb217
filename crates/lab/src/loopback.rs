//! A day on loopback: the same scenario, fleet and clients as in the model, around real dispatchers.
//!
//! Load is open: each request is sent at its drawn time whatever became of the ones before, and its latency counts
//! from then. The dispatchers are processes started here and ended here.

use crate::chance::mix;
use crate::model::{Crossed, Day, warm_up};
use crate::rules::{Bounds, Checker, Final};
use crate::scenario::Scenario;
use crate::tally::{Cause, Tally};
use crate::traffic::{Stream, Wish};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};
use trailproxy::interface::{Effect, RepeatGroup};
use trailproxy::units::*;
use trailproxy_standins::addresses::free_stream_address;
use trailproxy_standins::client::{Caller, Reply};
use trailproxy_standins::fleet::Fleet;
use trailproxy_standins::loopback::{Clock, Seen, Stage, Wanted, Wire};
use trailproxy_standins::shape::DAWN;

/// What a run on loopback needs to know besides the scenario.
#[derive(Clone, Debug)]
pub struct Place {
    /// The dispatcher's program.
    pub daemon: PathBuf,
    /// Where configurations and logs go while it runs.
    pub folder: PathBuf,
    pub descriptors: u32,
    pub memory_mb: u32,
}

/// What is around the dispatchers of a run besides hosts and clients.
#[derive(Default)]
pub struct Around {
    /// By seat: what the operator's file of it says, and further variables.
    pub operators: Vec<serde_json::Value>,
    pub variables: Vec<Vec<(String, String)>>,
    /// What happens to the processes, and when.
    pub strikes: Vec<(Timestamp, Strike)>,
    /// What is seen from outside, for whoever counts by keys.
    pub watch: Option<Rc<RefCell<dyn Watch>>>,
    /// Tries of one client go to another dispatcher each, where there are several.
    pub elsewhere: bool,
    /// This part of first tries goes to the first dispatcher that is up, beside its share of the rest.
    pub busy: f64,
    /// How long a client waits for an answer before it comes again; `None`: to its outer limit.
    pub patience: Option<TimeSpan>,
    /// At the end, so many of the last requests with keys that were done are sent again, to every dispatcher.
    pub again: usize,
    /// Where each seat finds the journal service, given where that is; `None`: there.
    pub journals: Option<JournalWays>,
    /// How much longer than usual all is up before the day begins.
    pub lead: Duration,
}

/// From where the journal service is to where each seat is told that it is.
pub type JournalWays = Rc<dyn Fn(SocketAddr) -> io::Result<Vec<SocketAddr>>>;

/// What happens to processes, by seat, or to whatever else is in the run's hands.
#[derive(Clone)]
pub enum Strike {
    /// Killed, and started again after the span.
    Kill(Vec<usize>, TimeSpan),
    /// Stopped for the span, and then let on.
    Pause(Vec<usize>, TimeSpan),
    /// Asked to end, waited for, and started again, one after the other.
    Roll(Vec<usize>),
    Reread(Vec<usize>),
    Do(Rc<dyn Fn()>),
}

/// Whoever counts from outside.
pub trait Watch {
    /// A request with a key is about to be sent to a seat.
    fn asked(&mut self, at: Timestamp, id: RequestId, key: &str, track: ClassId, seat: usize);
    /// `None`: no answer.
    fn answered(&mut self, at: Timestamp, id: RequestId, how: Option<Final>);
    fn seen(&mut self, at: Timestamp, seen: &Seen);
}

/// Bodies have this part of the bytes that they stand for.
const SCALE: f64 = 1.0 / 32.0;
/// Reports of traffic between zones come every second in a run, so the last one holds what was booked.
const LAST_REPORT: Duration = Duration::from_millis(1_500);

/// Where bytes are accounted for, bodies are whole.
fn scale(scenario: &Scenario) -> f64 {
    if scenario.whole_bodies { 1.0 } else { SCALE }
}
/// All is up before the day begins.
const LEAD: Duration = Duration::from_millis(1_500);
/// What is seen at two ends of a socket may differ by this on a busy machine.
const SLACK: TimeSpan = TimeSpan::from_millis(200);

/// Everything that is noted, in one place.
struct Books {
    checker: Checker,
    tally: Tally,
    seen: UnboundedReceiver<(Timestamp, Seen)>,
    copies: BTreeMap<u64, Timestamp>,
    crossed: Crossed,
    watch: Option<Rc<RefCell<dyn Watch>>>,
}

impl Books {
    /// Takes up what the stand-ins saw until now.
    fn catch_up(&mut self) {
        while let Ok((at, seen)) = self.seen.try_recv() {
            if let Some(watch) = &self.watch {
                watch.borrow_mut().seen(at, &seen);
            }
            match seen {
                Seen::Sent {
                    reference,
                    host,
                    source,
                    kb,
                    no,
                } => {
                    self.tally.hand_offs += 1;
                    self.checker
                        .sent(at, RequestId(reference), no, host, source, kb);
                }
                Seen::Ended {
                    reference,
                    no,
                    never_ran,
                } => {
                    self.checker.ended(at, RequestId(reference), no, never_ran);
                }
                Seen::Copied { reference, minted } => {
                    self.copies.insert(reference, minted);
                }
                Seen::Listed(entry) => self.checker.listed(at, entry),
                Seen::Purged(object, group) => self.checker.purged(at, object, group),
                Seen::Given { host, kb } => self.checker.filled(at, host, kb),
                Seen::Fell => self.tally.fell += 1,
                Seen::Moved(moved, crossed) => self.tally.moved(at, moved, crossed),
                Seen::Crossed(kb) => self.crossed.steps.push(kb),
                Seen::Whole(kb) => self.crossed.whole = kb,
            }
        }
    }
}

struct Seat {
    zone: ZoneId,
    caller: RefCell<Rc<Caller>>,
    up: Cell<bool>,
    child: RefCell<Option<Child>>,
    config: PathBuf,
    log: PathBuf,
    address: SocketAddr,
    variables: Vec<(String, String)>,
    /// Processor time of processes that ended, in ticks of a hundredth.
    spent: Cell<u64>,
    peak_kb: Cell<u64>,
}

impl Drop for Seat {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

struct Run {
    scenario: Scenario,
    daemon: PathBuf,
    clock: Clock,
    stage: Stage,
    seats: Vec<Rc<Seat>>,
    books: RefCell<Books>,
    chance: RefCell<StdRng>,
    next: Cell<u64>,
    seed: u64,
    watch: Option<Rc<RefCell<dyn Watch>>>,
    elsewhere: bool,
    busy: f64,
    patience: Option<TimeSpan>,
    again: usize,
    /// Requests with keys that were done, the last ones.
    done: RefCell<VecDeque<(Wish, String)>>,
    strikes: Vec<(Timestamp, Strike)>,
}

/// Plays one day against real dispatchers; an error is one of this machine, not of the program.
pub fn run(scenario: &Scenario, place: &Place, seed: u64) -> io::Result<Day> {
    run_around(scenario, place, seed, Around::default())
}

/// The same with more around the dispatchers.
pub fn run_around(
    scenario: &Scenario,
    place: &Place,
    seed: u64,
    around: Around,
) -> io::Result<Day> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    // Whoever started it may end it: what it started is ended with it, also a process that is stopped.
    let played = async {
        let mut asked = signal(SignalKind::terminate())?;
        tokio::select! {
            day = play(scenario.clone(), place.clone(), seed, around) => day,
            _ = tokio::signal::ctrl_c() => Err(io::ErrorKind::Interrupted.into()),
            _ = asked.recv() => Err(io::ErrorKind::Interrupted.into()),
        }
    };
    LocalSet::new().block_on(&runtime, played)
}

async fn play(scenario: Scenario, place: Place, seed: u64, around: Around) -> io::Result<Day> {
    let mut fleet = Fleet::new(scenario.shape.clone(), &scenario.script, mix(seed, 1));
    warm_up(&scenario, &mut fleet, seed);
    let entries = fleet.list();
    let hosts = scenario.shape.hosts.len();
    let clock = Clock::dawning_in(LEAD + around.lead)?;
    let (see, seen) = unbounded_channel();
    let wire = Wire {
        tracks: scenario.track_names.clone(),
        zones: scenario
            .shape
            .zones
            .iter()
            .map(|zone| zone.name.clone())
            .collect(),
        scale: scale(&scenario),
        notes: scenario.terms.note_level,
        list_delay: scenario.list_delay,
        purge_delay: scenario.purge_delay,
    };
    let stage = Stage::open(fleet, hosts, wire, clock, see).await?;
    let bounds = Bounds {
        slack: SLACK,
        overlap: SLACK,
        cold_slack: 1.2,
        ..scenario.rule_bounds()
    };
    let mut checker = Checker::new(bounds);
    entries
        .into_iter()
        .for_each(|entry| checker.listed(DAWN, entry));
    let tally = Tally::new(&scenario.importance, scenario.counted_from, scenario.length);
    std::fs::create_dir_all(&place.folder)?;
    let zones = scenario.seats.iter().enumerate();
    let zones = zones.flat_map(|(zone, &n)| (0..n).map(move |_| ZoneId(zone as u16)));
    let ways = around
        .journals
        .as_ref()
        .map(|ways| ways(stage.journal_address));
    let ways = ways.transpose()?.unwrap_or_default();
    let mut seats = Vec::new();
    for (nth, zone) in zones.enumerate() {
        seats.push(Rc::new(Seat::new(
            nth,
            zone,
            &scenario,
            &place,
            (&stage, ways.get(nth).copied()),
            seed,
            &around,
        )?));
    }
    let run = Rc::new(Run {
        scenario,
        daemon: place.daemon,
        clock,
        stage,
        seats,
        books: RefCell::new(Books {
            checker,
            tally,
            seen,
            copies: BTreeMap::new(),
            crossed: Crossed::default(),
            watch: around.watch.clone(),
        }),
        chance: RefCell::new(StdRng::seed_from_u64(mix(seed, 3))),
        next: Cell::new(mix(seed, 0x10f) & 0xffff_ffff_0000),
        seed,
        watch: around.watch,
        elsewhere: around.elsewhere,
        busy: around.busy,
        patience: around.patience,
        again: around.again,
        done: RefCell::default(),
        strikes: around.strikes,
    });
    run.whole().await
}

impl Seat {
    fn new(
        nth: usize,
        zone: ZoneId,
        scenario: &Scenario,
        place: &Place,
        (stage, journal): (&Stage, Option<SocketAddr>),
        seed: u64,
        around: &Around,
    ) -> io::Result<Seat> {
        let address = free_stream_address()?;
        let known: serde_json::Value =
            serde_json::from_str(&stage.known).map_err(io::Error::other)?;
        let mut config = json!({
            "name": format!("n{nth}"),
            "listen": address.to_string(),
            "seed": format!("{:016x}", mix(mix(seed, nth as u64), 4)),
            "limits": {"cores": 1.0, "memory_mb": place.memory_mb, "sockets": place.descriptors},
            "journal": journal.unwrap_or(stage.journal_address).to_string(),
            "known": known,
            "settings": settings(scenario, zone),
        });
        let zones = scenario.zones_sheet.as_ref().map(serde_json::to_value);
        let mut told = zones.transpose().map_err(io::Error::other)?;
        if let Some(more) = around.operators.get(nth).and_then(|more| more.as_object()) {
            let told = told.get_or_insert_with(|| json!({}));
            for (name, section) in more {
                told[name] = section.clone();
            }
        }
        if let Some(told) = told {
            let operator = place.folder.join(format!("n{nth}-operator.json"));
            std::fs::write(&operator, told.to_string())?;
            config["operator"] = json!(operator);
        }
        let log = place.folder.join(format!("n{nth}.log"));
        let _ = std::fs::remove_file(&log);
        let path = place.folder.join(format!("n{nth}.json"));
        std::fs::write(&path, config.to_string())?;
        let seat = Seat {
            zone,
            caller: RefCell::new(Rc::new(Caller::new(address))),
            up: Cell::new(false),
            child: RefCell::new(None),
            config: path,
            log,
            address,
            variables: around.variables.get(nth).cloned().unwrap_or_default(),
            spent: Cell::new(0),
            peak_kb: Cell::new(0),
        };
        seat.start(&place.daemon)?;
        Ok(seat)
    }

    fn start(&self, daemon: &Path) -> io::Result<()> {
        // Two strikes may both start it again: the one before must not be left behind.
        self.kill();
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let child = Command::new(daemon)
            .env("RELAY_CONFIG", &self.config)
            .env_remove("RELAY_NAME")
            .env_remove("RELAY_LISTEN")
            .envs(self.variables.iter().cloned())
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .map_err(|e| {
                io::Error::new(
                    e.kind(),
                    format!("{} can't be started: {e}", daemon.display()),
                )
            })?;
        *self.child.borrow_mut() = Some(child);
        *self.caller.borrow_mut() = Rc::new(Caller::new(self.address));
        Ok(())
    }

    /// Waits until it answers a heartbeat.
    async fn ready(&self) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(10);
        let caller = self.caller.borrow().clone();
        while !caller.heartbeat(Duration::from_millis(500)).await {
            if Instant::now() > until {
                return Err(io::Error::other(format!(
                    "no dispatcher answers on {}",
                    self.address
                )));
            }
            sleep(Duration::from_millis(20)).await;
        }
        self.up.set(true);
        Ok(())
    }

    /// Takes what the process used, as the system counts it.
    fn read_use(&self) {
        let Some(id) = self.child.borrow().as_ref().map(Child::id) else {
            return;
        };
        self.spent.set(self.spent.get() + ticks_of(id));
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak
            .and_then(|kb| kb.split_whitespace().next()?.parse().ok())
            .unwrap_or(0);
        self.peak_kb.set(self.peak_kb.get().max(peak));
    }

    /// How many lines of its log hold these words.
    fn logged(&self, words: &str) -> u64 {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().filter(|line| line.contains(words)).count() as u64
    }

    /// Sends a signal to the process, by its id.
    fn signal(&self, name: &str) {
        let Some(id) = self.child.borrow().as_ref().map(Child::id) else {
            return;
        };
        let order = format!("kill -{name} {id}");
        let _ = Command::new("sh").args(["-c", &order]).status();
    }

    /// Whether the process has ended by itself.
    fn over(&self) -> bool {
        let mut child = self.child.borrow_mut();
        child
            .as_mut()
            .is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Ends the process without a word.
    fn kill(&self) {
        self.up.set(false);
        self.read_use();
        if let Some(mut child) = self.child.borrow_mut().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Run {
    async fn whole(self: Rc<Run>) -> io::Result<Day> {
        for seat in &self.seats {
            seat.ready().await?;
        }
        let streams = 0..self.scenario.loads.len();
        let mut wishes: Vec<Wish> = streams
            .flat_map(|nth| Stream::new(&self.scenario, nth, mix(self.seed, 2)))
            .collect();
        wishes.sort_by_key(|wish| wish.at);
        for kill in self.scenario.kills.clone() {
            spawn_local(self.clone().kills(kill));
        }
        for (at, strike) in self.strikes.clone() {
            spawn_local(self.clone().strikes(at, strike));
        }
        let mut tasks = Vec::with_capacity(wishes.len());
        for wish in wishes {
            sleep_until(self.clock.instant(wish.at)).await;
            tasks.push(spawn_local(self.clone().want(wish)));
            if tasks.len() % 512 == 0 {
                tasks.retain(|task| !task.is_finished());
                self.books.borrow_mut().catch_up();
            }
        }
        for task in tasks {
            task.await.map_err(io::Error::other)?;
        }
        self.clone().all_again().await;
        // What was sent without being owed has come by now.
        sleep(Duration::from_millis(500)).await;
        if self.scenario.zones.is_some() {
            sleep(LAST_REPORT).await;
        }
        Ok(self.end())
    }

    fn end(&self) -> Day {
        let extra: u64 = self
            .seats
            .iter()
            .map(|seat| seat.caller.borrow().extra_answers())
            .sum();
        self.seats.iter().for_each(|seat| seat.kill());
        let mut books = self.books.borrow_mut();
        books.catch_up();
        books.checker.finish();
        let first = self.scenario.script.iter().map(|cue| cue.at).min();
        let named = (self.scenario.name.as_str(), "loopback", "design", self.seed);
        let breaches = (books.checker.breaches(), books.checker.count() + extra);
        let mut summary = books
            .tally
            .summary(named, &self.scenario.track_names, breaches, first);
        if extra > 0 {
            summary
                .rules_broken
                .push(format!("rule 1: {extra} answers to nothing that was open"));
        }
        let spent: u64 = self.seats.iter().map(|seat| seat.spent.get()).sum();
        summary.cpu_us_per_access = Some(spent as f64 * 10_000.0 / summary.accesses.max(1) as f64);
        summary.breakers_opened = self
            .seats
            .iter()
            .map(|seat| seat.logged("breaker open"))
            .sum();
        summary.peak_rss_kb = self.seats.iter().map(|seat| seat.peak_kb.get()).max();
        let breaches = books.checker.breaches().to_vec();
        let empty = Tally::new(
            &self.scenario.importance,
            self.scenario.counted_from,
            self.scenario.length,
        );
        Day {
            summary,
            breaches,
            tally: std::mem::replace(&mut books.tally, empty),
            left_over: 0,
            most_kept: 0,
            crossed: self.crossed(&mut books),
        }
    }

    /// What the links counted, beside what the dispatchers' own reports hold.
    fn crossed(&self, books: &mut Books) -> Crossed {
        let mut crossed = std::mem::take(&mut books.crossed);
        crossed.moved = crossed.steps.last().cloned().unwrap_or_default();
        let names = self.scenario.names();
        let nth = |all: &[String], name: &str| {
            all.iter().position(|known| known == name).unwrap_or(0) as u16
        };
        let logs = self
            .seats
            .iter()
            .map(|seat| std::fs::read_to_string(&seat.log).unwrap_or_default());
        let reports = logs
            .flat_map(|log| trailproxy_zones_tools::log::reports_in_log(&log).0)
            .collect();
        let merged = trailproxy_zones::decide::merge::merge(reports, 1_000_000);
        for (row, total) in &merged.rows {
            let key = (
                ZoneId(nth(&names.zones, &row.to)),
                ClassId(nth(&names.classes, &row.class)),
            );
            *crossed.booked.entry(key).or_default() += total.kb;
        }
        crossed.turned_away = names
            .classes
            .iter()
            .map(|track| merged.refused.get(track).map_or(0, |total| total.moves))
            .collect();
        crossed
    }

    /// Kills a share of the dispatchers, and starts them again.
    async fn kills(self: Rc<Run>, kill: crate::scenario::Kill) {
        sleep_until(self.clock.instant(kill.at)).await;
        for (nth, seat) in self.seats.iter().enumerate() {
            if !seat.up.get() || !kill.strikes(self.seed, nth) {
                continue;
            }
            seat.kill();
            let (run, seat) = (self.clone(), seat.clone());
            spawn_local(async move {
                sleep(Duration::from_micros(kill.away.0)).await;
                let started = seat.start(&run.daemon);
                if started.is_ok() {
                    let _ = seat.ready().await;
                }
            });
        }
    }

    /// Requests that were done are sent again, to every dispatcher that is up.
    async fn all_again(self: Rc<Run>) {
        let done: Vec<(Wish, String)> = self.done.borrow_mut().drain(..).collect();
        for (wish, key) in done {
            for (nth, seat) in self
                .seats
                .iter()
                .enumerate()
                .filter(|(_, seat)| seat.up.get())
            {
                let until = self.clock.now() + self.scenario.limits[usize::from(wish.track.0)];
                self.ask(seat, nth, wish, until, &key).await;
            }
        }
    }

    async fn strikes(self: Rc<Run>, at: Timestamp, strike: Strike) {
        sleep_until(self.clock.instant(at)).await;
        let of = |seats: &[usize]| -> Vec<Rc<Seat>> {
            let seats = seats.iter().filter_map(|&nth| self.seats.get(nth));
            seats.cloned().collect()
        };
        let wait = |span: TimeSpan| sleep(Duration::from_micros(span.0));
        match strike {
            Strike::Do(what) => what(),
            Strike::Reread(seats) => of(&seats).iter().for_each(|seat| seat.signal("HUP")),
            Strike::Pause(seats, lasts) => {
                // Clients keep away from it, as from one that does not answer a health call.
                for seat in of(&seats) {
                    seat.up.set(false);
                    let lasts = Duration::from_micros(lasts.0);
                    seat.caller.borrow().paused(lasts);
                    seat.signal("STOP");
                }
                wait(lasts).await;
                for seat in of(&seats) {
                    seat.signal("CONT");
                    let _ = seat.ready().await;
                }
            }
            Strike::Kill(seats, away) => {
                of(&seats).iter().for_each(|seat| seat.kill());
                wait(away).await;
                for seat in of(&seats) {
                    let _ = seat.start(&self.daemon);
                }
                for seat in of(&seats) {
                    let _ = seat.ready().await;
                }
            }
            Strike::Roll(seats) => {
                for seat in of(&seats) {
                    seat.up.set(false);
                    seat.signal("TERM");
                    while !seat.over() {
                        sleep(Duration::from_millis(20)).await;
                    }
                    seat.read_use();
                    let _ = seat.start(&self.daemon);
                    let _ = seat.ready().await;
                }
            }
        }
    }

    /// One client's wish, over all its tries.
    async fn want(self: Rc<Run>, wish: Wish) {
        let track = &self.scenario.shape.tracks[usize::from(wish.track.0)];
        let send = wish.kb / self.scenario.shape.flow_kb_per_s;
        let due = wish.at + track.target + TimeSpan::from_secs_f64(send * track.target_stretch);
        let until = wish.at + self.scenario.limits[usize::from(wish.track.0)];
        let fingerprint = format!(
            "{:016x}{:016x}",
            mix(wish.at.0, self.seed),
            mix(wish.object.0, wish.at.0)
        );
        self.books.borrow_mut().tally.asked(wish.at, wish.track);
        let mut before = None;
        for tries in 0..=self.scenario.retries {
            let seat = self.seat(wish.zone, before.filter(|_| self.elsewhere));
            let Some((nth, seat)) = seat.filter(|_| self.clock.now() < until) else {
                return;
            };
            before = Some(nth);
            let (how, away) = self.ask(&seat, nth, wish, until, &fingerprint).await;
            match how {
                Some(Final::Done) => {
                    let now = self.clock.now();
                    return self
                        .books
                        .borrow_mut()
                        .tally
                        .served(wish.at, due, now, wish.track);
                }
                Some(Final::Rejected) => {}
                _ if track.effect == Effect::NonIdempotent => return,
                _ => {}
            }
            let own = self
                .scenario
                .away
                .mul_f64(0.75 + 0.5 * self.chance.borrow_mut().random::<f64>());
            let wait = away.unwrap_or(own);
            if tries == self.scenario.retries || self.clock.now() + wait >= until {
                return;
            }
            sleep(Duration::from_micros(wait.0)).await;
        }
    }

    /// One that is up, and another than the one before where there is any.
    fn seat(&self, zone: ZoneId, before: Option<usize>) -> Option<(usize, Rc<Seat>)> {
        let up = |(_, seat): &(usize, &Rc<Seat>)| seat.zone == zone && seat.up.get();
        let mut up: Vec<(usize, &Rc<Seat>)> = self.seats.iter().enumerate().filter(up).collect();
        if up.len() > 1 {
            up.retain(|&(nth, _)| Some(nth) != before);
        }
        let busy = before.is_none() && self.busy > 0.0;
        if busy && self.chance.borrow_mut().random::<f64>() < self.busy {
            up.truncate(1);
        }
        let drawn = (!up.is_empty()).then(|| self.chance.borrow_mut().random_range(0..up.len()));
        drawn.map(|drawn| (up[drawn].0, up[drawn].1.clone()))
    }

    /// One try: what it came to, and how long the client is to stay away.
    async fn ask(
        &self,
        seat: &Seat,
        nth: usize,
        wish: Wish,
        until: Timestamp,
        fingerprint: &str,
    ) -> (Option<Final>, Option<TimeSpan>) {
        let reference = self.next.get() + 1;
        self.next.set(reference);
        let id = RequestId(reference);
        let left = until.since(self.clock.now());
        let wanted = Wanted {
            zone: wish.zone,
            group: wish.group,
            kb: wish.kb,
        };
        self.stage.expect(reference, wanted);
        let track = &self.scenario.shape.tracks[usize::from(wish.track.0)];
        let mut fields = vec![
            ("ref", format!("{reference:016x}")),
            ("allow", (left.0 / 1000).max(1).to_string()),
            ("lookup", format!("{:016x}", wish.object.0)),
            ("part", wish.part.to_string()),
            ("group", wish.group.0.to_string()),
        ];
        if wish.told {
            fields.push(("room", format!("{:.3}", wish.kb)));
        }
        let keyed = matches!(track.effect, Effect::Keyed { .. });
        let watch = self.watch.as_ref().filter(|_| keyed);
        if keyed {
            fields.push(("replay", fingerprint.to_owned()));
        }
        if let Some(watch) = watch {
            let now = self.clock.now();
            watch
                .borrow_mut()
                .asked(now, id, fingerprint, wish.track, nth);
        }
        let body = if track.is_write {
            (wish.kb * 1024.0 * scale(&self.scenario)).clamp(1.0, 48_000.0) as usize
        } else {
            0
        };
        let caller = seat.caller.borrow().clone();
        let name = &self.scenario.track_names[usize::from(wish.track.0)];
        let whole = left + SLACK + SLACK;
        let patience = self.patience.filter(|&patience| patience < whole);
        let wait = Duration::from_micros(patience.unwrap_or(whole).0);
        self.books.borrow_mut().tally.accesses += 1;
        let taken = || {
            let now = self.clock.now();
            let mut books = self.books.borrow_mut();
            // Before what hosts saw: on a busy machine the hand-off may have come before this is told.
            books.checker.taken(now, id, wish.track, until);
            books.catch_up();
        };
        let reply = caller.call(name, &fields, body, wait, taken).await;
        let now = self.clock.now();
        let mut books = self.books.borrow_mut();
        books.catch_up();
        let minted = books.copies.remove(&reference);
        self.stage.forget(reference);
        if let Some(watch) = watch {
            let how = match reply {
                Reply::Done { .. } => Some(Final::Done),
                Reply::Rejected { .. } => Some(Final::Rejected),
                Reply::Aborted { .. } => Some(Final::Aborted),
                Reply::Broken | Reply::Silent => None,
            };
            watch.borrow_mut().answered(now, id, how);
        }
        let (how, away) = match reply {
            Reply::Done { .. } => (Final::Done, None),
            Reply::Rejected { cooldown } => (Final::Rejected, cooldown.map(TimeSpan::from_millis)),
            Reply::Aborted { .. } => (Final::Aborted, None),
            Reply::Broken => {
                // With the dispatcher up, a connection that ends owes an answer.
                if !seat.up.get() {
                    books.checker.excused(id);
                }
                books.tally.lost += 1;
                return (None, None);
            }
            Reply::Silent => {
                // It left of itself.
                if patience.is_some() {
                    books.checker.excused(id);
                }
                books.tally.lost += 1;
                return (None, None);
            }
        };
        let copy = minted
            .filter(|_| !track.is_write)
            .map(|minted| (wish.object, wish.group, minted));
        if keyed && how == Final::Done && self.again > 0 {
            let mut done = self.done.borrow_mut();
            done.push_back((wish, fingerprint.to_owned()));
            if done.len() > self.again {
                done.pop_front();
            }
        }
        books.checker.answered(now, id, how, copy);
        books.tally.answered(now, how);
        if how != Final::Done {
            // From outside, only the way of the answer is known.
            *books.tally.causes.entry(Cause::Failed).or_default() += 1;
        }
        (Some(how), away)
    }
}

/// Processor time of a process, in ticks of a hundredth of a second.
pub(crate) fn ticks_of(process: u32) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let after = stat.rsplit(')').next().unwrap_or("");
    let ticks = after.split_whitespace().skip(11).take(2);
    ticks.filter_map(|n| n.parse::<u64>().ok()).sum()
}

/// The start settings of a dispatcher in a zone, as its configuration has them.
pub fn settings(scenario: &Scenario, zone: ZoneId) -> serde_json::Value {
    let terms = &scenario.terms;
    let tracks = scenario.shape.tracks.iter().enumerate();
    let classes: Vec<_> = tracks
        .clone()
        .map(|(nth, track)| {
            let (semantics, group, window) = match track.effect {
                Effect::Idempotent => ("repeatable", "all", TimeSpan::ZERO),
                Effect::NonIdempotent => ("once", "all", TimeSpan::ZERO),
                Effect::Keyed { group, window } => {
                    let group = match group {
                        RepeatGroup::All => "all",
                        RepeatGroup::Zone => "zone",
                        RepeatGroup::Cell => "cell",
                    };
                    ("by_key", group, window)
                }
            };
            json!({
                "name": scenario.track_names[nth], "on_time_us": track.target.0,
                "hard_limit_us": scenario.limits[nth].0, "importance": scenario.importance[nth],
                "semantics": semantics, "group": group, "repeat_window_us": window.0,
                "aim_stretch": track.target_stretch,
            })
        })
        .collect();
    let links: Vec<f64> = scenario
        .shape
        .zones
        .iter()
        .map(|zone| zone.link_kb_per_s)
        .collect();
    let notes = match terms.note_level {
        trailproxy::interface::NoteLevel::All => "all",
        trailproxy::interface::NoteLevel::Hits => "hit",
        trailproxy::interface::NoteLevel::None => "none",
    };
    let of = |value: &dyn Fn(&trailproxy::interface::ClassSettings) -> u64| -> Vec<u64> {
        tracks.clone().map(|(_, track)| value(track)).collect()
    };
    let written: Vec<bool> = tracks.clone().map(|(_, track)| track.is_write).collect();
    json!({
        "az": zone.0,
        "balancers": terms.dispatchers,
        "failure_domains": scenario.shape.zones.iter().map(|zone| zone.name.clone()).collect::<Vec<_>>(),
        "machine_types": ["cache", "parent", "origin"],
        "membership_mode": "pushed",
        "weights": "nominal",
        "classes": classes,
        "ceilings": {
            "max_attempts": terms.max_attempts, "max_open": 20_000, "max_streams": 32,
            "cancel": terms.may_cancel, "retry_after": terms.max_retry_after.is_some(),
            "max_retry_after_us": terms.max_retry_after.map_or(0, |away| away.0),
            "dial_timeout_us": 400_000, "idle_close_us": 30_000_000,
        },
        "rules": {
            "start_capacity": terms.cache_slow_start.initial_capacity, "cold_us": terms.cache_slow_start.duration.0,
            "overload_factor": terms.cache_slow_start.overload_factor, "tip_after_us": terms.cache_slow_start.overload_window.0,
            "stop_sending_within_us": 2_000_000,
        },
        "family_info": {
            "second_tier_kind": terms.parent_kind.map_or(-1, |kind| i64::from(kind.0)),
            "master_kind": terms.origin_kind.map_or(-1, |kind| i64::from(kind.0)),
            "parent_starts_at": terms.parent_slow_start.initial_capacity, "parent_ramp_us": terms.parent_slow_start.duration.0,
            "upper_fall_multiple": terms.parent_slow_start.overload_factor,
            "stream_kb_per_s": terms.stream_kb_per_s, "feed_kb_per_s": links,
            "seats_by_zone": scenario.seats, "note_level": notes,
            "straight": terms.allows_direct, "joins": terms.joins_fills,
            "max_age_us": of(&|track| track.fresh_for.map_or(0, |fresh| fresh.0)),
            "usable_after_us": of(&|track| track.stale_grace.0),
            "never_kept": written, "cleared_within_us": terms.purge_propagation.0,
        },
        "report": {"via": "silent", "fields": []},
    })
}
