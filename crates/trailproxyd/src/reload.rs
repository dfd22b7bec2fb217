//! SIGHUP: the configuration is read again, and what of it can be followed is followed.

use crate::list;
use crate::messages::{Inbound, InboundSender};
use crate::operator::{Against, Source, Told};
use crate::starting::persist_awake;
use crate::startup::{self, Start};
use local_channel::mpsc;
use serde_json::Value;
use slog::{Logger, info, warn};
use tokio::signal::unix::Signal;
use trailproxy::interface::DispatcherSettings;
use trailproxy_terms::Bounds;

/// Where what a new configuration says goes.
pub struct Followers {
    /// To whom settings and the operator's file go.
    pub queue: InboundSender,
    /// To whom the address of the journal service goes.
    pub moved: mpsc::Sender<list::Moved>,
    /// What the operator's file is held against.
    pub against: Against,
    pub log: Logger,
}

/// Reads the configuration again at every SIGHUP.
pub async fn follow_hangups(mut hangup: Signal, mut running: Running, followers: Followers) {
    while hangup.recv().await.is_some() {
        let log = &followers.log;
        let read = async || startup::read();
        let tell = |why: &str| info!(log, "new configuration not read yet"; "why" => why);
        let start = match persist_awake(tell, read).await {
            Ok(start) => start,
            // It changes nothing.
            Err(why) => {
                warn!(log, "new configuration refused"; "why" => why);
                continue;
            }
        };
        let (source, other) = running.compare(start, &followers);
        match read_operator(source.as_ref(), &followers.against, log).await {
            Ok(told) => {
                if let Some((settings, other)) = other {
                    running.file["settings"] = settings;
                    let _ = followers.queue.send(Inbound::Settings(Box::new(other)));
                }
                drop(followers.queue.send(Inbound::OperatorConfig(told)));
            }
            // The settings read with it do not hold either.
            Err(why) => warn!(log, "operator's file refused"; "why" => why),
        }
    }
}

/// The operator's own file, where there is one. One that is being replaced is read again for a while.
pub async fn read_operator(
    source: Option<&Source>,
    against: &Against,
    log: &Logger,
) -> Result<Told, String> {
    let Some(source) = source else {
        return Ok(Told::default());
    };
    let read = async || source.read(against).await;
    let tell = |why: &str| info!(log, "operator's file not read yet"; "why" => why);
    persist_awake(tell, read).await
}

/// What the dispatcher runs by: the file that was read last, with the settings that hold, and what of its start
/// settings that are followed have in common with them.
pub struct Running {
    pub file: Value,
    pub terms: DispatcherSettings,
    pub bounds: Bounds,
}

impl Running {
    /// Why other settings can't be followed without a new start: requests that are open, and host entries that
    /// are known, name tracks, zones and kinds by their places, and sockets keep their bounds.
    fn differs(&self, start: &Start) -> Option<&'static str> {
        let effects =
            |terms: &DispatcherSettings| terms.classes.iter().map(|t| t.effect).collect::<Vec<_>>();
        let kinds = |terms: &DispatcherSettings| (terms.parent_kind, terms.origin_kind, terms.zone);
        if self.bounds != start.bounds {
            Some("names of tracks, zones or kinds, outer limits, or bounds of sockets")
        } else if effects(&self.terms) != effects(&start.terms) {
            Some("whether a track may run again")
        } else if kinds(&self.terms) != kinds(&start.terms) {
            Some("the own zone, or which kinds are parents and the origin")
        } else {
            None
        }
    }

    /// What a new file says of the journal service holds at once, and other settings do if what is open can go on under
    /// them; what else it changes needs a new start. What comes back is the operator's own file, if it names one, to be
    /// read again as well, and the settings to follow.
    fn compare(&mut self, start: Start, followers: &Followers) -> (Option<Source>, Option<Other>) {
        let changed = |name: &&str| self.file.get(name) != start.file.get(name);
        let differs = self.differs(&start);
        let follows = changed(&"settings") && differs.is_none();
        let fixed = ["settings", "limits", "listen", "name"].into_iter();
        let waits = |name: &&str| changed(name) && !(follows && *name == "settings");
        let waiting = fixed.filter(waits).collect::<Vec<_>>().join(" ");
        let log = &followers.log;
        if let Some(why) = differs {
            warn!(log, "settings wait for a new start"; "what" => why);
        }
        info!(log, "configuration read again"; "journal" => start.journal.map(|at| at.to_string()),
            "known" => start.known_until, "needs_a_new_start" => waiting);
        // Until others are followed, those that hold are what the next file is held against.
        let mut file = start.file;
        let settings = std::mem::replace(&mut file["settings"], self.file["settings"].take());
        self.file = file;
        let _ = followers.moved.send(list::Moved {
            address: start.journal,
            known: start.known,
        });
        let other = follows.then_some((settings, (start.terms, start.reports)));
        (start.operator, other)
    }
}

/// Settings to follow, as the file has them and as they are read.
type Other = (Value, (DispatcherSettings, trailproxy_terms::Reports));
