//! What is told of traffic between zones: a log line a window, rises as they come, and a file of Prometheus text.
//!
//! The file is written by a thread of its own, which is there only where a file is named: a slow disk holds up no
//! request, and a report that finds the one before still being written is left out.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Registry, Unit};
use slog::{Logger, info, warn};
use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicU64;
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::time::Duration;
use tokio::time::Instant;
use trailproxy::units::Timestamp;
use trailproxy_zones::Zones;
use trailproxy_zones::decide::config::{Names, ZonesConfig};
use trailproxy_zones::report::Report;

/// How often the account is brought up to now: rises are told in half seconds.
const PASS: Duration = Duration::from_millis(250);

/// Where reports go, and when the next is due.
pub struct Accounts {
    pub names: Names,
    dispatcher: String,
    life: u64,
    log: Logger,
    report_every: Duration,
    pass_at: Instant,
    report_at: Instant,
    metrics: Option<(PathBuf, SyncSender<(PathBuf, Report)>)>,
}

impl Accounts {
    pub fn new(names: Names, dispatcher: String, now: Timestamp, log: Logger) -> Accounts {
        let soon = Instant::now() + PASS;
        Accounts {
            names,
            dispatcher,
            life: now.0,
            log,
            report_every: Duration::from_secs(10),
            pass_at: soon,
            report_at: soon,
            metrics: None,
        }
    }

    /// Follows what the operator's file says now.
    pub fn follow(&mut self, config: &ZonesConfig) {
        self.report_every = Duration::from_secs_f64(config.report_s.clamp(0.5, 3_600.0));
        self.report_at = self.report_at.min(Instant::now() + self.report_every);
        let named =
            Some(PathBuf::from(&config.metrics)).filter(|path| !path.as_os_str().is_empty());
        self.metrics = match (named, self.metrics.take()) {
            (Some(path), Some((_, to))) => Some((path, to)),
            (Some(path), None) => writer(self.log.clone()).map(|to| (path, to)),
            (None, _) => None,
        };
    }

    /// When it has something to do next.
    pub fn next(&self) -> Instant {
        self.pass_at.min(self.report_at)
    }

    pub fn advance(&mut self, zones: &mut Zones, now: Timestamp, instant: Instant) {
        if instant >= self.pass_at {
            self.pass_at = instant + PASS;
            for rise in zones.advance(now) {
                let what = serde_json::to_string(&rise).unwrap_or_default();
                let zone =
                    |nth: u16| trailproxy_zones::report::name(&self.names.zones, usize::from(nth));
                info!(self.log, "{}", if rise.begins { "rise" } else { "rise over" };
                    "out_of" => zone(rise.from), "into" => zone(rise.to), "what" => what);
            }
        }
        if instant >= self.report_at {
            self.report_at = instant + self.report_every;
            self.tell(zones, now);
        }
    }

    /// One report now.
    pub fn tell(&mut self, zones: &mut Zones, now: Timestamp) {
        let report = Report::of(zones, &self.names, &self.dispatcher, self.life, now);
        let text = serde_json::to_string(&report).unwrap_or_default();
        info!(self.log, "zones"; "report" => text);
        if let Some((path, to)) = &self.metrics {
            match to.try_send((path.clone(), report)) {
                Ok(()) | Err(TrySendError::Full(_)) => {}
                Err(TrySendError::Disconnected(_)) => self.metrics = None,
            }
        }
    }
}

fn writer(log: Logger) -> Option<SyncSender<(PathBuf, Report)>> {
    let (to, from) = sync_channel::<(PathBuf, Report)>(1);
    let noted = log.clone();
    let run = move || {
        let mut failed = false;
        while let Ok((path, report)) = from.recv() {
            let written = write(&path, &report);
            // Told once, and again when it has worked between.
            if let (Err(e), false) = (&written, failed) {
                warn!(noted, "metrics can't be written"; "file" => %path.display(), "why" => %e);
            }
            failed = written.is_err();
        }
    };
    let thread = std::thread::Builder::new()
        .name("metrics".into())
        .stack_size(256 << 10);
    match thread.spawn(run) {
        Ok(_) => Some(to),
        Err(e) => {
            warn!(log, "metrics can't be written"; "why" => %e);
            None
        }
    }
}

/// A reader finds the file before or the file after, never half of one.
fn write(path: &Path, report: &Report) -> std::io::Result<()> {
    let mut beside = path.as_os_str().to_owned();
    beside.push(".new");
    std::fs::write(&beside, text(report))?;
    std::fs::rename(&beside, path)
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct OfLine {
    out_of: String,
    into: String,
    tier: String,
    track: String,
    cause: String,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct OfName {
    name: String,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct OfTrack {
    track: String,
}

type Sum = Counter<f64, AtomicU64>;
type Level = Gauge<f64, AtomicU64>;

/// A report as Prometheus text, in bytes.
pub fn text(report: &Report) -> String {
    let (bytes, moves) = (
        Family::<OfLine, Sum>::default(),
        Family::<OfLine, Counter>::default(),
    );
    for line in &report.lines {
        let of = OfLine {
            out_of: line.from.clone(),
            into: line.to.clone(),
            tier: line.tier.clone(),
            track: line.class.clone(),
            cause: line.cause.clone(),
        };
        bytes.get_or_create(&of).inc_by((line.kb * 1024.0).max(0.0));
        moves.get_or_create(&of).inc_by(line.moves);
    }
    let (rates, saved) = (
        Family::<OfName, Level>::default(),
        Family::<OfName, Level>::default(),
    );
    for budget in &report.budgets {
        let of = OfName {
            name: budget.name.clone(),
        };
        rates.get_or_create(&of).set(budget.kb_per_s * 1024.0);
        saved.get_or_create(&of).set(budget.saved_kb * 1024.0);
    }
    let refused = Family::<OfTrack, Counter>::default();
    for of in &report.refused {
        let track = of.class.clone();
        refused
            .get_or_create(&OfTrack { track })
            .inc_by(of.requests);
    }
    let under_way = Level::default();
    under_way.set(report.in_flight_kb * 1024.0);
    let mut registry = Registry::with_prefix("trailproxy");
    let of_bytes = || Unit::Bytes;
    registry.register_with_unit("crossed", "What crossed between zones", of_bytes(), bytes);
    registry.register(
        "crossings",
        "Hand-offs that moved something between zones",
        moves,
    );
    let rate = "Rate that a budget allows all dispatchers of its zone, in bytes a second";
    registry.register("budget_rate", rate, rates);
    let left = "What this dispatcher has saved of a budget; owed where negative";
    registry.register_with_unit("budget_saved", left, of_bytes(), saved);
    registry.register(
        "no_room",
        "Accesses that found no room in a budget",
        refused,
    );
    let flying = "Expected of what is under way between zones";
    registry.register_with_unit("under_way", flying, of_bytes(), under_way);
    let mut text = String::new();
    let _ = encode(&mut text, &registry);
    text
}
