//! A short soak test of the calls to a journal service that is slow, while it breaks off, turns calls away or moves, and while
//! the process is stopped or has no descriptor for further clients.
//!
//! Each run is drawn from its seed. `JOURNAL_SEEDS=100..130` names other seeds than those of every day.

#[allow(dead_code, reason = "other test files use the rest")]
mod harness;

use harness::journal_service::{CallPlan, JournalService, most_open_calls};
use harness::*;
use serde_json::json;
use std::time::{Duration, Instant};
use trailproxy::policy::journal_calls::MAX_CALLS;

const EVERYDAY_SEEDS: std::ops::Range<u64> = 1..13;
/// Runs at once: they mostly wait.
const RUNS_AT_ONCE: usize = 12;
const RUN_TIME: Duration = Duration::from_secs(30);
const EVENT_INTERVAL: Duration = Duration::from_millis(500);
/// Whatever the service has counts as told this long afterwards.
const TOLD_WITHIN: Duration = Duration::from_secs(7);
/// What a busy machine may add.
const SLACK: Duration = Duration::from_millis(700);
/// A call that ends is made again within this time.
const RETRY_WITHIN: Duration = Duration::from_millis(500);
const IDLE_CLIENTS: usize = 60;
const DAY_MS: u64 = 24 * 60 * 60 * 1_000;

/// What happens beside the slow service.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Disturbance {
    None,
    /// New configurations that change nothing, in quick succession.
    Reload,
    /// The service moves to another address, and back.
    Move,
    /// The service breaks off all calls in the middle of an event.
    Cut,
    /// The service turns new calls away for some seconds, and keeps those that it has.
    TurnAway,
    /// The service breaks off all calls and turns new ones away for some seconds.
    Down,
    /// The process is stopped.
    Stop,
    /// Idle clients take all descriptors that are theirs.
    Clients,
}

const DISTURBANCES: [Disturbance; 8] = [
    Disturbance::None,
    Disturbance::Reload,
    Disturbance::Move,
    Disturbance::Cut,
    Disturbance::TurnAway,
    Disturbance::Down,
    Disturbance::Stop,
    Disturbance::Clients,
];

/// A run, drawn from its seed.
#[derive(Debug)]
struct Run {
    seed: u64,
    disturbance: Disturbance,
    /// How late each call is at least and at most.
    delay_ms: (u64, u64),
    /// When calls fall silent for good, if they do.
    speech_ms: Option<(u64, u64)>,
    /// The pause after each disturbance.
    pause: Duration,
    /// How long one takes.
    length: Duration,
}

impl Run {
    fn draw(seed: u64) -> Run {
        let mut rng = fastrand::Rng::with_seed(seed);
        let disturbance = DISTURBANCES[seed as usize % DISTURBANCES.len()];
        // The delay of a call that is made again adds to the time after which that is done.
        let is_cut = matches!(disturbance, Disturbance::Cut | Disturbance::Down);
        let falls_silent = !is_cut && rng.bool();
        let longest_ms = match (is_cut, falls_silent) {
            (true, _) => 2_600,
            (false, true) => 4_000,
            (false, false) => 6_500,
        };
        let least_pause_ms = if is_cut { 4_000 } else { 300 };
        let least_ms = rng.u64(0..longest_ms);
        Run {
            seed,
            disturbance,
            delay_ms: (least_ms, rng.u64(least_ms..longest_ms) + 1),
            speech_ms: falls_silent.then(|| (rng.u64(3_000..6_000), rng.u64(6_000..12_000))),
            pause: Duration::from_millis(rng.u64(least_pause_ms..8_000)),
            length: Duration::from_millis(rng.u64(500..3_000)),
        }
    }

    fn service(&self) -> JournalService {
        let (seed, delay_ms, speech_ms) = (self.seed, self.delay_ms, self.speech_ms);
        JournalService::start(move |number| {
            let mut rng = fastrand::Rng::with_seed(seed << 32 | number as u64);
            let delay = Duration::from_millis(rng.u64(delay_ms.0..delay_ms.1));
            let mut plan = CallPlan::late(delay);
            // The head of a response may come long before the first event.
            plan.head_at = delay.mul_f64(rng.f64());
            if let Some((least, most)) = speech_ms {
                plan.silent.0 = delay + Duration::from_millis(rng.u64(least..most));
            }
            plan
        })
    }

    /// How late an event may be heard.
    fn allowed(&self) -> Duration {
        let length = match self.disturbance {
            Disturbance::TurnAway | Disturbance::Down => self.length + RETRY_WITHIN,
            // The process notes the silence, makes the call and reads from it, and may be stopped before each.
            Disturbance::Stop => self.length * 3,
            _ => Duration::ZERO,
        };
        TOLD_WITHIN + length + SLACK
    }

    /// Plays the run, and returns what was broken.
    fn play(&self) -> Vec<String> {
        let services = [self.service(), self.service()];
        let cluster = Cluster::with_journal_and_config(services[0].address, |config| {
            config["limits"]["sockets"] = json!(64);
        });
        let (began, mut told, mut clients) = (Instant::now(), Vec::new(), Vec::new());
        let (mut next_event, mut next_disturbance) = (Duration::ZERO, self.pause);
        let mut disturbances = 0;
        while began.elapsed() < RUN_TIME {
            if began.elapsed() >= next_event {
                next_event += EVENT_INTERVAL;
                let position = told.len() as u64 + 2;
                let event = json!({"pos": position, "expire": {"set": 17, "stamp": unix_ms()}});
                services.iter().for_each(|service| service.tell(&event));
                told.push(unix_ms());
            }
            if began.elapsed() >= next_disturbance {
                self.disturb(&cluster, &services, disturbances, &mut clients);
                disturbances += 1;
                next_disturbance = began.elapsed() + self.pause;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        std::thread::sleep(self.allowed());
        self.check(&cluster, &services, &told)
    }

    fn disturb(
        &self,
        cluster: &Cluster,
        services: &[JournalService; 2],
        number: usize,
        clients: &mut Vec<Client>,
    ) {
        match self.disturbance {
            Disturbance::None => {}
            Disturbance::Reload => cluster.program.reload_config(&cluster.config.to_string()),
            Disturbance::Move => {
                let mut config = cluster.config.clone();
                config["journal"] = json!(services[(number + 1) % 2].address.to_string());
                cluster.program.reload_config(&config.to_string());
            }
            Disturbance::Cut => services[0].cut_calls(),
            Disturbance::TurnAway | Disturbance::Down => {
                services[0].turn_away_new_calls();
                if self.disturbance == Disturbance::Down {
                    services[0].cut_calls();
                }
                std::thread::sleep(self.length);
                services[0].let_in_new_calls();
            }
            Disturbance::Stop => {
                cluster.program.stop();
                std::thread::sleep(self.length);
                cluster.program.signal("-CONT");
            }
            Disturbance::Clients => {
                clients.clear();
                clients.extend((0..IDLE_CLIENTS).map(|_| cluster.client()));
            }
        }
    }

    /// Checks that each event was handled once, in order and in time, and that there were never too many calls.
    fn check(
        &self,
        cluster: &Cluster,
        services: &[JournalService; 2],
        told: &[u64],
    ) -> Vec<String> {
        let mut broken = Vec::new();
        let handled = handled_events(&cluster.program.log());
        let positions: Vec<u64> = handled.iter().map(|event| event.0).collect();
        let expected: Vec<u64> = (2..told.len() as u64 + 2).collect();
        if positions != expected {
            broken.push(format!("handled {positions:?} of {}", told.len()));
        }
        let lateness = handled.iter().filter_map(|(position, at)| {
            let told_at = told.get((*position as usize).checked_sub(2)?)?;
            // The log has the time of day only.
            Some((at + DAY_MS - told_at % DAY_MS) % DAY_MS)
        });
        let latest = Duration::from_millis(lateness.max().unwrap_or(0));
        if latest > self.allowed() {
            broken.push(format!("an event was heard after {latest:?}"));
        }
        let calls: Vec<_> = services
            .iter()
            .flat_map(|service| service.calls())
            .collect();
        let (made, open) = (calls.len(), most_open_calls(&calls));
        if open > MAX_CALLS {
            broken.push(format!("{open} calls were open at once"));
        }
        println!("{self:?}: latest {latest:?}, {made} calls, {open} open at most");
        broken
    }
}

/// The positions of the purges that the program has handled, and when, in milliseconds of the day.
fn handled_events(log: &str) -> Vec<(u64, u64)> {
    let lines = log.lines().filter(|line| line.contains("journal entry"));
    let purges = lines.filter(|line| !line.contains("what: hosts"));
    purges.filter_map(handled_event).collect()
}

fn handled_event(line: &str) -> Option<(u64, u64)> {
    let place = line.split("place: ").nth(1)?;
    let digits: String = place.chars().take_while(char::is_ascii_digit).collect();
    Some((digits.parse().ok()?, time_of_day_ms(line)?))
}

/// The time of a line, as in `Dec 06 13:24:10.969 INFO`.
fn time_of_day_ms(line: &str) -> Option<u64> {
    let (time, ms) = line.split(' ').nth(2)?.split_once('.')?;
    let mut parts = time.split(':').map(|part| part.parse::<u64>().ok());
    let seconds = parts.try_fold(0, |sum, part| Some(sum * 60 + part?))?;
    Some(seconds * 1_000 + ms.parse::<u64>().ok()?)
}

/// Seeds from the environment, as `100..130`, or those of every day.
fn seeds() -> Vec<u64> {
    let named = std::env::var("JOURNAL_SEEDS").ok();
    let range = named.as_deref().and_then(|text| text.split_once(".."));
    let range = range.and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?));
    range.unwrap_or(EVERYDAY_SEEDS).collect()
}

/// Guards against events that are heard late, twice or never, and against too many calls, whatever happens beside a slow
/// service.
#[test]
fn events_of_a_slow_service_are_heard_in_time_whatever_happens_beside() {
    let runs: Vec<Run> = seeds().into_iter().map(Run::draw).collect();
    let mut broken = Vec::new();
    for batch in runs.chunks(RUNS_AT_ONCE) {
        std::thread::scope(|scope| {
            let plays = batch.iter().map(|run| (run, scope.spawn(|| run.play())));
            let plays: Vec<_> = plays.collect();
            for (run, play) in plays {
                match play.join() {
                    Ok(found) if found.is_empty() => {}
                    Ok(found) => broken.push(format!("{run:?}: {found:?}")),
                    Err(_) => broken.push(format!("{run:?}: the run failed")),
                }
            }
        });
    }
    assert!(broken.is_empty(), "{broken:#?}");
}
