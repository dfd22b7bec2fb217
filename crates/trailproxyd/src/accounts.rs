//! Reports on traffic between zones: a log line for each reporting interval, alerts when traffic rises, and a file of
//! Prometheus text.
//!
//! A thread of its own writes the file, and runs only if a file is configured. A slow disk therefore delays no request:
//! a report that is due while the one before is still being written is skipped.

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

/// How often the account is brought up to date. Rises are reported within half a second.
const ADVANCE_INTERVAL: Duration = Duration::from_millis(250);

/// Writes reports on traffic between zones to the log and to the metrics file.
pub struct Accounts {
    /// Names of zones and classes, for the reports.
    pub names: Names,
    /// The name of this dispatcher.
    dispatcher: String,
    /// Number of this process, by which a restart is recognised.
    boot_id: u64,
    log: Logger,
    report_interval: Duration,
    advance_at: Instant,
    report_at: Instant,
    /// The metrics file and the queue of the thread that writes it.
    metrics: Option<(PathBuf, SyncSender<(PathBuf, Report)>)>,
}

impl Accounts {
    /// Reports every 10 s until a configuration says otherwise.
    pub fn new(names: Names, dispatcher: String, now: Timestamp, log: Logger) -> Accounts {
        let first_at = Instant::now() + ADVANCE_INTERVAL;
        Accounts {
            names,
            dispatcher,
            boot_id: now.0,
            log,
            report_interval: Duration::from_secs(10),
            advance_at: first_at,
            report_at: first_at,
            metrics: None,
        }
    }

    /// Applies a new configuration. The reporting interval is kept between 0.5 s and 1 h.
    pub fn apply_config(&mut self, config: &ZonesConfig) {
        self.report_interval = Duration::from_secs_f64(config.report_s.clamp(0.5, 3_600.0));
        self.report_at = self.report_at.min(Instant::now() + self.report_interval);
        let path = Some(PathBuf::from(&config.metrics)).filter(|path| !path.as_os_str().is_empty());
        self.metrics = match (path, self.metrics.take()) {
            (Some(path), Some((_, to))) => Some((path, to)),
            (Some(path), None) => spawn_metrics_writer(self.log.clone()).map(|to| (path, to)),
            (None, _) => None,
        };
    }

    /// When `advance` has something to do next.
    pub fn next_due(&self) -> Instant {
        self.advance_at.min(self.report_at)
    }

    /// Brings the account up to date and writes the reports that are due.
    pub fn advance(&mut self, zones: &mut Zones, now: Timestamp, instant: Instant) {
        if instant >= self.advance_at {
            self.advance_at = instant + ADVANCE_INTERVAL;
            for rise in zones.advance(now) {
                let details = serde_json::to_string(&rise).unwrap_or_default();
                let zone = |index: u16| {
                    trailproxy_zones::report::name(&self.names.zones, usize::from(index))
                };
                info!(self.log, "{}", if rise.begins { "rise" } else { "rise over" };
                    "out_of" => zone(rise.from), "into" => zone(rise.to), "what" => details);
            }
        }
        if instant >= self.report_at {
            self.report_at = instant + self.report_interval;
            self.write_report(zones, now);
        }
    }

    /// Writes a report now.
    pub fn write_report(&mut self, zones: &mut Zones, now: Timestamp) {
        let report = Report::of(zones, &self.names, &self.dispatcher, self.boot_id, now);
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

/// Starts the thread that writes the metrics file. `None` if no thread can be started.
fn spawn_metrics_writer(log: Logger) -> Option<SyncSender<(PathBuf, Report)>> {
    let (to, from) = sync_channel::<(PathBuf, Report)>(1);
    let thread_log = log.clone();
    let run = move || {
        let mut failed = false;
        while let Ok((path, report)) = from.recv() {
            let written = write_metrics(&path, &report);
            // Logged once for each series of failures.
            if let (Err(e), false) = (&written, failed) {
                warn!(thread_log, "metrics can't be written"; "file" => %path.display(), "why" => %e);
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

/// Replaces the file in one step, so that a reader never finds a partly written one.
fn write_metrics(path: &Path, report: &Report) -> std::io::Result<()> {
    let mut temporary = path.as_os_str().to_owned();
    temporary.push(".new");
    std::fs::write(&temporary, prometheus_text(report))?;
    std::fs::rename(&temporary, path)
}

/// Labels of the traffic between two zones. The field names are the label names.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct CrossingLabels {
    out_of: String,
    into: String,
    tier: String,
    track: String,
    cause: String,
}

/// Label of a budget.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct BudgetLabels {
    name: String,
}

/// Label of a class of requests.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ClassLabels {
    track: String,
}

type FloatCounter = Counter<f64, AtomicU64>;
type FloatGauge = Gauge<f64, AtomicU64>;

/// A report as Prometheus text; amounts are in bytes.
pub fn prometheus_text(report: &Report) -> String {
    let (bytes, moves) = (
        Family::<CrossingLabels, FloatCounter>::default(),
        Family::<CrossingLabels, Counter>::default(),
    );
    for line in &report.lines {
        let labels = CrossingLabels {
            out_of: line.from.clone(),
            into: line.to.clone(),
            tier: line.tier.clone(),
            track: line.class.clone(),
            cause: line.cause.clone(),
        };
        bytes
            .get_or_create(&labels)
            .inc_by((line.kb * 1024.0).max(0.0));
        moves.get_or_create(&labels).inc_by(line.moves);
    }
    let (rates, saved) = (
        Family::<BudgetLabels, FloatGauge>::default(),
        Family::<BudgetLabels, FloatGauge>::default(),
    );
    for budget in &report.budgets {
        let labels = BudgetLabels {
            name: budget.name.clone(),
        };
        rates.get_or_create(&labels).set(budget.kb_per_s * 1024.0);
        saved.get_or_create(&labels).set(budget.saved_kb * 1024.0);
    }
    let refused = Family::<ClassLabels, Counter>::default();
    for class in &report.refused {
        let track = class.class.clone();
        refused
            .get_or_create(&ClassLabels { track })
            .inc_by(class.requests);
    }
    let in_flight = FloatGauge::default();
    in_flight.set(report.in_flight_kb * 1024.0);
    let mut registry = Registry::with_prefix("trailproxy");
    let unit = || Unit::Bytes;
    registry.register_with_unit("crossed", "What crossed between zones", unit(), bytes);
    registry.register(
        "crossings",
        "Hand-offs that moved something between zones",
        moves,
    );
    let rate_help = "Rate that a budget allows all dispatchers of its zone, in bytes a second";
    registry.register("budget_rate", rate_help, rates);
    let saved_help = "What this dispatcher has saved of a budget; owed where negative";
    registry.register_with_unit("budget_saved", saved_help, unit(), saved);
    registry.register(
        "no_room",
        "Accesses that found no room in a budget",
        refused,
    );
    let in_flight_help = "Expected of what is under way between zones";
    registry.register_with_unit("under_way", in_flight_help, unit(), in_flight);
    let mut text = String::new();
    let _ = encode(&mut text, &registry);
    text
}
