//! One run: the fleet, the network before it, the dispatchers, their clients, and what happens to all of them.

use crate::client::{Behaviour, Clients, Question};
use crate::oracle::{Oracle, Verdict};
use crate::plan::{Event, Plan, Trouble};
use crate::process::{Dispatcher, Place};
use crate::proxy::{self, Faults};
use crate::rogue::{self, Model};
use fastrand::Rng;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};
use trailproxy::interface::Effect;
use trailproxy::units::{HostId, TimeSpan, Timestamp, ZoneId};
use trailproxy_fault_control::{Control, Kind as Call};
use trailproxy_lab::chance::mix;
use trailproxy_lab::loopback::settings;
use trailproxy_lab::model::warm_up;
use trailproxy_lab::traffic::{Stream, Wish};
use trailproxy_standins::fleet::Fleet;
use trailproxy_standins::loopback::{Clock, Seen, Stage, Wire};
use trailproxy_standins::shape::DAWN;

/// All is up before the day begins.
const LEAD: Duration = Duration::from_millis(1_500);
const MEMORY_MB: u64 = 64;
/// Ways to discovery.
const JOURNALS: usize = 2;
/// Bodies have this part of the bytes that they stand for.
const SCALE: f64 = 1.0 / 32.0;
/// The front goes on sending new connections for so long after a dispatcher was told to end.
const FRONT_NOTICES: Duration = Duration::from_millis(300);
/// A dispatcher that was ended is started again after this.
const AWAY: Duration = Duration::from_millis(200);
/// The second half of a configuration follows after this.
const HALF_WRITTEN: Duration = Duration::from_millis(150);
/// What discovery has to tell counts as told so long after at the latest.
const TOLD_AT_LAST: TimeSpan = TimeSpan::from_secs(7);
/// Discovery is called again within this once it is back.
const CALLED_AGAIN: TimeSpan = TimeSpan::from_secs(1);
const LOOK_AT_ITSELF: Duration = Duration::from_millis(10);
const CHECK_EVERY: Duration = Duration::from_millis(100);
/// References of requests begin here, and those of clients that misbehave there.
const FIRST_REFERENCE: u64 = 0x1000_0000;
const FIRST_ROGUE_REFERENCE: u64 = 0xf000_0000_0000;
const ROGUE_REFERENCES: u64 = 64;

/// Plays a run and judges it; an error is one of this machine, not of the dispatchers.
pub fn play(plan: Plan, place: &Place) -> io::Result<Verdict> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, async {
        let run = Run::open(plan, place).await?;
        run.play().await
    })
}

struct Run {
    plan: Plan,
    oracle: Rc<Oracle>,
    clock: Clock,
    stage: Stage,
    network: Rc<Faults>,
    discovery: Rc<Faults>,
    /// Where discovery is reached; a new configuration may name another one.
    journals: Vec<String>,
    clients: Vec<Rc<Clients>>,
    seen: RefCell<UnboundedReceiver<(Timestamp, Seen)>>,
    next_rogue: Cell<u64>,
    /// What clients that misbehave ask for.
    rogues_wish: Option<Wish>,
    chance: RefCell<Rng>,
}

impl Run {
    async fn open(plan: Plan, place: &Place) -> io::Result<Rc<Run>> {
        let scenario = &plan.scenario;
        let mut fleet = Fleet::new(scenario.shape.clone(), &scenario.script, mix(plan.seed, 1));
        warm_up(scenario, &mut fleet, plan.seed);
        let entries = fleet.list();
        let clock = Clock::dawning_in(LEAD)?;
        let oracle = Rc::new(Oracle::new(scenario, clock, entries));
        let network = Rc::new(Faults::default());
        let (see, seen) = unbounded_channel();
        let wire = Wire {
            tracks: scenario.track_names.clone(),
            zones: (scenario.shape.zones.iter())
                .map(|zone| zone.name.clone())
                .collect(),
            scale: SCALE,
            notes: scenario.terms.note_level,
            list_delay: scenario.list_delay,
            purge_delay: scenario.purge_delay,
        };
        let hosts = scenario.shape.hosts.len();
        let front =
            |host: HostId, address| proxy::open(host, address, network.clone(), oracle.clone());
        let stage = Stage::open_behind(fleet, hosts, wire, clock, see, front).await?;
        let discovery = Rc::new(Faults::default());
        let mut journals = Vec::new();
        for _ in 0..JOURNALS {
            let (faults, address) = (discovery.clone(), stage.journal_address);
            let front = proxy::open(HostId(0), address, faults, oracle.clone())?;
            journals.push(front.to_string());
        }
        let longest = scenario.limits.iter().max().copied().unwrap_or_default();
        let mut clients = Vec::new();
        for number in 0..scenario.seats.iter().sum::<u32>() as usize {
            let config = config(&plan, number, &journals[0]);
            let longest = Duration::from_micros(longest.0);
            let dispatcher = Dispatcher::new(number, place, config, longest, oracle.clone())?;
            clients.push(Rc::new(Clients::new(Rc::new(dispatcher), oracle.clone())));
        }
        let rogues_wish = Stream::new(&plan.scenario, 0, mix(plan.seed, 5)).next();
        let chance = RefCell::new(Rng::with_seed(mix(plan.seed, 7)));
        Ok(Rc::new(Run {
            plan,
            oracle,
            clock,
            stage,
            network,
            discovery,
            journals,
            clients,
            seen: RefCell::new(seen),
            next_rogue: Cell::new(FIRST_ROGUE_REFERENCE),
            rogues_wish,
            chance,
        }))
    }

    async fn play(self: Rc<Run>) -> io::Result<Verdict> {
        let starts: Vec<_> = (self.clients.iter())
            .map(|clients| {
                let (dispatcher, known) = (clients.dispatcher.clone(), self.stage.known_now());
                spawn_local(async move { dispatcher.start(&known).await })
            })
            .collect();
        for start in starts {
            start.await.map_err(io::Error::other)??;
        }
        for event in self.plan.events.clone() {
            spawn_local(self.clone().happen(event));
        }
        let watching_itself = spawn_local(self.clone().watch_itself());
        let watching = spawn_local(self.clone().watch());
        let mut tasks = Vec::new();
        for (nth, wish) in self.wishes().into_iter().enumerate() {
            sleep_until(self.clock.instant(wish.at)).await;
            let reference = FIRST_REFERENCE + nth as u64;
            tasks.push(spawn_local(self.clone().want(wish, reference)));
        }
        for task in tasks {
            task.await.map_err(io::Error::other)?;
        }
        self.end().await;
        watching_itself.abort();
        watching.abort();
        self.catch_up();
        for clients in &self.clients {
            clients.dispatcher.check_log();
        }
        Ok(self.oracle.finish())
    }

    fn wishes(&self) -> Vec<Wish> {
        let streams = 0..self.plan.scenario.loads.len();
        let of = |nth| Stream::new(&self.plan.scenario, nth, mix(self.plan.seed, 2));
        let mut wishes: Vec<Wish> = streams.flat_map(of).collect();
        wishes.sort_by_key(|wish| wish.at);
        wishes
    }

    /// All are healed and told to end, at once.
    async fn end(&self) {
        let ends: Vec<_> = (self.clients.iter())
            .map(|clients| {
                let dispatcher = clients.dispatcher.clone();
                spawn_local(async move {
                    while dispatcher.busy.replace(true) {
                        sleep(CHECK_EVERY).await;
                    }
                    dispatcher.control.heal();
                    dispatcher.stop(Duration::ZERO).await;
                })
            })
            .collect();
        for end in ends {
            let _ = end.await;
        }
    }

    /// One client's wish.
    async fn want(self: Rc<Run>, wish: Wish, reference: u64) {
        let scenario = &self.plan.scenario;
        let class = usize::from(wish.track.0);
        let admitted = self.clients.iter().filter(|c| c.dispatcher.admitted.get());
        let admitted: Vec<Rc<Clients>> = admitted.cloned().collect();
        if admitted.is_empty() {
            return;
        }
        let (clients, behaviour, hurry) = {
            let mut chance = self.chance.borrow_mut();
            let clients = admitted[chance.usize(..admitted.len())].clone();
            (clients, Behaviour::draw(&mut chance), chance.f64())
        };
        let limit = Duration::from_micros(scenario.limits[class].0);
        // Some wait for a short time only.
        let allow = if hurry < 0.2 {
            limit.mul_f64(0.1 + hurry)
        } else {
            limit
        };
        let keyed = matches!(scenario.shape.tracks[class].effect, Effect::Keyed { .. });
        let written = scenario.shape.tracks[class].is_write;
        let question = Question {
            class: &scenario.track_names[class],
            wish,
            reference,
            allow,
            key: keyed.then(|| format!("{reference:032x}")),
            body: if written {
                (wish.kb * 200.0).clamp(1.0, 40_000.0) as usize
            } else {
                0
            },
            behaviour,
        };
        clients.ask(question).await;
    }

    /// Looks after the processes, and takes up what the servers saw.
    async fn watch(self: Rc<Run>) {
        loop {
            sleep(CHECK_EVERY).await;
            self.catch_up();
            for clients in &self.clients {
                clients.dispatcher.check_runs();
            }
        }
    }

    /// Notes how long this process itself is not run.
    async fn watch_itself(self: Rc<Run>) {
        loop {
            let due = Instant::now() + LOOK_AT_ITSELF;
            sleep_until(due).await;
            self.oracle.judge_stalled(due.elapsed());
        }
    }

    fn catch_up(&self) {
        let mut seen = self.seen.borrow_mut();
        while let Ok((at, what)) = seen.try_recv() {
            match what {
                Seen::Listed(entry) => {
                    let told = self.told_at(at + self.plan.scenario.list_delay);
                    self.oracle.listed(told, entry);
                }
                Seen::Purged(object, group) => {
                    let told = self.told_at(at + self.plan.scenario.purge_delay);
                    self.oracle.purged(at, told, object, group);
                }
                Seen::Given { host, kb } => self.oracle.filled(at, host, kb),
                _ => {}
            }
        }
    }

    /// When what discovery has to tell from a moment on counts as told, given what is done to discovery.
    fn told_at(&self, at: Timestamp) -> Timestamp {
        let mut told = at;
        for event in &self.plan.events {
            let silent = matches!(
                event.trouble,
                Trouble::DiscoverySilent | Trouble::DiscoveryGone
            );
            let (from, until) = (DAWN + event.at, DAWN + event.at + event.lasts);
            if silent && from <= told && told < until + CALLED_AGAIN {
                told = until + CALLED_AGAIN;
            }
        }
        told.min(at + TOLD_AT_LAST)
    }

    /// What happens at one time of the plan.
    async fn happen(self: Rc<Run>, event: Event) {
        sleep_until(self.clock.instant(DAWN + event.at)).await;
        let lasts = Duration::from_micros(event.lasts.0);
        match &event.trouble {
            Trouble::Hold => self.network.hold(lasts.min(Duration::from_millis(800))),
            Trouble::Resets => self.reset_now_and_then(lasts).await,
            Trouble::LateConnections { by } => self.network.delay_new(*by, lasts),
            Trouble::DiscoverySilent => self.discovery.hold(lasts),
            Trouble::DiscoveryGone => {
                self.discovery.reset_all();
                self.discovery.hold(lasts);
            }
            Trouble::Rogues { each_second } => self.clone().rogues(&event, *each_second).await,
            _ => {
                for &number in &event.who {
                    let dispatcher = self.clients[number].dispatcher.clone();
                    let (run, trouble) = (self.clone(), event.trouble.clone());
                    spawn_local(async move { run.strike(&dispatcher, &trouble, lasts).await });
                }
            }
        }
    }

    async fn reset_now_and_then(&self, lasts: Duration) {
        let times = (lasts.as_secs_f64() / 0.3).ceil() as u32;
        for _ in 0..times {
            self.network.reset_all();
            sleep(lasts / times).await;
        }
    }

    /// What happens to one dispatcher.
    async fn strike(&self, dispatcher: &Dispatcher, trouble: &Trouble, lasts: Duration) {
        let to_calls = faults(trouble);
        if !to_calls.is_empty() {
            for (call, share, errors) in &to_calls {
                dispatcher.control.fail_share(*call, *share, errors);
            }
            sleep(lasts).await;
            for (call, ..) in &to_calls {
                dispatcher.control.fail_share(*call, 0.0, &[]);
            }
            return;
        }
        if let Trouble::Clock { ahead_ms } = trouble {
            step(&dispatcher.control, *ahead_ms);
            sleep(lasts).await;
            step(&dispatcher.control, 0);
            return;
        }
        if dispatcher.busy.replace(true) {
            return;
        }
        let acted = self.act(dispatcher, trouble, lasts).await;
        if let Err(e) = acted {
            eprintln!("dispatcher {}: {e}", dispatcher.number);
        }
        dispatcher.busy.set(false);
    }

    /// What is done to its process.
    async fn act(
        &self,
        dispatcher: &Dispatcher,
        trouble: &Trouble,
        lasts: Duration,
    ) -> io::Result<()> {
        match trouble {
            Trouble::Stop => {
                dispatcher.stop(FRONT_NOTICES).await;
                sleep(AWAY).await;
                dispatcher.start(&self.stage.known_now()).await?;
            }
            Trouble::Kill => {
                dispatcher.kill();
                sleep(AWAY).await;
                dispatcher.start(&self.stage.known_now()).await?;
            }
            Trouble::Pause => dispatcher.pause(lasts).await,
            Trouble::Reload => {
                let nth = self.chance.borrow_mut().usize(..self.journals.len());
                let weights = ["nominal", "rough"][nth % 2];
                dispatcher.change(|config| {
                    config["journal"] = json!(self.journals[nth]);
                    config["settings"]["weights"] = json!(weights);
                });
                dispatcher.write_config(&self.stage.known_now())?;
                dispatcher.signal(libc::SIGHUP);
            }
            Trouble::HalfReload => {
                let known = self.stage.known_now();
                let text = dispatcher.write_config(&known)?;
                dispatcher.write_half(&text)?;
                dispatcher.signal(libc::SIGHUP);
                sleep(HALF_WRITTEN).await;
                dispatcher.write_config(&known)?;
            }
            _ => {}
        }
        Ok(())
    }

    /// Clients that misbehave, at the dispatchers of the event.
    async fn rogues(self: Rc<Run>, event: &Event, each_second: f64) {
        let visits = (event.lasts.as_secs_f64() * each_second) as u32;
        let between = Duration::from_secs_f64(1.0 / each_second.max(0.1));
        let Some(wish) = self.rogues_wish else {
            return;
        };
        for nth in 0..visits {
            let number = event.who[nth as usize % event.who.len()];
            let dispatcher = &self.clients[number].dispatcher;
            if dispatcher.admitted.get() {
                let first_reference = self.next_rogue.get();
                self.next_rogue.set(first_reference + ROGUE_REFERENCES);
                let model = Model {
                    class: self.plan.scenario.track_names[0].clone(),
                    wish,
                    allow: Duration::from_secs(2),
                    first_reference,
                    dispatcher: number,
                };
                let chance = self.chance.borrow_mut().fork();
                let (address, oracle) = (dispatcher.address, self.oracle.clone());
                spawn_local(rogue::visit(address, model, oracle, chance));
            }
            sleep(between).await;
        }
    }
}

fn step(control: &Control, ahead_ms: i64) {
    let by = Duration::from_millis(ahead_ms.unsigned_abs());
    match ahead_ms < 0 {
        true => control.set_clock_behind(by),
        false => control.set_clock_ahead(by),
    }
}

/// The calls that a trouble makes fail, how often, and with which errors.
fn faults(trouble: &Trouble) -> Vec<(Call, f64, Vec<i32>)> {
    let lacks = vec![libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];
    match trouble {
        Trouble::Interrupted { share } => [Call::Read, Call::Write, Call::Accept, Call::EpollWait]
            .map(|call| (call, *share, vec![libc::EINTR]))
            .into(),
        Trouble::Short { share } => [Call::ShortRead, Call::ShortWrite]
            .map(|call| (call, *share, vec![]))
            .into(),
        Trouble::Lacking { share } => vec![
            (Call::Accept, *share, vec![libc::ECONNABORTED, libc::ENFILE]),
            (Call::Socket, *share, lacks),
            (
                Call::Connect,
                *share,
                vec![libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::ENOBUFS],
            ),
        ],
        Trouble::NoMemory { share } => [Call::Read, Call::Write]
            .map(|call| (call, *share, vec![libc::ENOBUFS, libc::ENOMEM]))
            .into(),
        Trouble::DiskFull { share } => [Call::FileWrite, Call::FileSync]
            .map(|call| (call, *share, vec![libc::ENOSPC, libc::EIO]))
            .into(),
        _ => Vec::new(),
    }
}

fn config(plan: &Plan, number: usize, journal: &str) -> Value {
    json!({
        "seed": format!("{:016x}", mix(mix(plan.seed, number as u64), 4)),
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": plan.descriptors},
        "journal": journal,
        "known": {"pos": 1, "entries": []},
        "settings": settings(&plan.scenario, ZoneId(1)),
    })
}
