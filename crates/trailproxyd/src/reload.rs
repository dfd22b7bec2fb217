//! SIGHUP: reads the configuration again and applies what can change without a restart.

use crate::journal_client;
use crate::messages::{Inbound, InboundSender};
use crate::operator::{OperatorConfig, Source, ValidationContext};
use crate::starting::retry_async;
use crate::startup::{self, StartConfig};
use local_channel::mpsc;
use serde_json::Value;
use slog::{Logger, info, warn};
use tokio::signal::unix::Signal;
use trailproxy::interface::DispatcherSettings;
use trailproxy_terms::SocketSettings;

/// Where the parts of a new configuration are sent.
pub struct ConfigReceivers {
    /// Receives settings and the operator's file.
    pub queue: InboundSender,
    /// Receives the address of the journal service.
    pub journal_address: mpsc::Sender<journal_client::JournalServiceUpdate>,
    /// What the operator's file is checked against.
    pub context: ValidationContext,
    /// Where refusals and applied changes are logged.
    pub log: Logger,
}

/// Reads the configuration again at every SIGHUP.
pub async fn handle_hangups(
    mut hangup: Signal,
    mut active: ActiveConfig,
    receivers: ConfigReceivers,
) {
    while hangup.recv().await.is_some() {
        let log = &receivers.log;
        let read = async || startup::read();
        let log_failure =
            |reason: &str| info!(log, "new configuration not read yet"; "why" => reason);
        let start = match retry_async(log_failure, read).await {
            Ok(start) => start,
            // The configuration in force stays unchanged.
            Err(reason) => {
                warn!(log, "new configuration refused"; "why" => reason);
                continue;
            }
        };
        let (source, new_settings) = active.compare(start, &receivers);
        match read_operator(source.as_ref(), &receivers.context, log).await {
            Ok(config) => {
                if let Some((file_settings, settings)) = new_settings {
                    active.file["settings"] = file_settings;
                    let _ = receivers.queue.send(Inbound::Settings(Box::new(settings)));
                }
                drop(receivers.queue.send(Inbound::OperatorConfig(config)));
            }
            // The settings read with it are not applied either.
            Err(reason) => warn!(log, "operator's file refused"; "why" => reason),
        }
    }
}

/// Reads the operator's file, if there is one. A file that is being replaced is read again for a while.
pub async fn read_operator(
    source: Option<&Source>,
    context: &ValidationContext,
    log: &Logger,
) -> Result<OperatorConfig, String> {
    let Some(source) = source else {
        return Ok(OperatorConfig::default());
    };
    let read = async || source.read(context).await;
    let log_failure = |reason: &str| info!(log, "operator's file not read yet"; "why" => reason);
    retry_async(log_failure, read).await
}

/// The configuration in force: the file that was read last, with the settings in force, and the parts of the start
/// settings that new settings must share with them.
pub struct ActiveConfig {
    /// The file that was read last, with the settings in force.
    pub file: Value,
    /// The settings of the start.
    pub settings: DispatcherSettings,
    /// The limits of the start.
    pub bounds: SocketSettings,
}

impl ActiveConfig {
    /// Why other settings cannot be applied without a restart, if they cannot: open requests and known host entries
    /// refer to classes, zones and kinds by index, and connections keep their limits.
    fn restart_reason(&self, start: &StartConfig) -> Option<&'static str> {
        let effects = |settings: &DispatcherSettings| {
            settings
                .classes
                .iter()
                .map(|class| class.effect)
                .collect::<Vec<_>>()
        };
        let kinds = |settings: &DispatcherSettings| {
            (settings.parent_kind, settings.origin_kind, settings.zone)
        };
        if self.bounds != start.bounds {
            Some("names of classes, zones or kinds, deadlines, or limits of connections")
        } else if effects(&self.settings) != effects(&start.settings) {
            Some("whether a request of a class may run again")
        } else if kinds(&self.settings) != kinds(&start.settings) {
            Some("the own zone, or which kinds are parents and the origin")
        } else {
            None
        }
    }

    /// Compares a new file with the one in force. Changes of the journal service apply at once, and other settings
    /// apply if open requests can continue under them; other changes need a restart. Returns where the operator's file
    /// is, if the new file names one, which is to be read again as well, and the settings to apply.
    fn compare(
        &mut self,
        start: StartConfig,
        receivers: &ConfigReceivers,
    ) -> (Option<Source>, Option<NewSettings>) {
        let changed = |name: &&str| self.file.get(name) != start.file.get(name);
        let restart_reason = self.restart_reason(&start);
        let applies = changed(&"settings") && restart_reason.is_none();
        let restart_only = ["settings", "limits", "listen", "name"].into_iter();
        let needs_restart = |name: &&str| changed(name) && !(applies && *name == "settings");
        let pending = restart_only
            .filter(needs_restart)
            .collect::<Vec<_>>()
            .join(" ");
        let log = &receivers.log;
        if let Some(reason) = restart_reason {
            warn!(log, "settings wait for a new start"; "what" => reason);
        }
        info!(log, "configuration read again"; "journal" => start.journal.map(|at| at.to_string()),
            "known" => start.known_position, "needs_a_new_start" => pending);
        // Until new settings are applied, the next file is compared with those in force.
        let mut file = start.file;
        let settings = std::mem::replace(&mut file["settings"], self.file["settings"].take());
        self.file = file;
        let _ = receivers
            .journal_address
            .send(journal_client::JournalServiceUpdate {
                address: start.journal,
                known: start.known,
            });
        let new_settings = applies.then_some((settings, (start.settings, start.reports)));
        (start.operator, new_settings)
    }
}

/// Settings to apply, as they stand in the file and as they are read.
type NewSettings = (Value, (DispatcherSettings, trailproxy_terms::Reports));
