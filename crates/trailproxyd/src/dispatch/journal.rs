//! Journal entries: changes of the host list, and purges.

use super::Dispatch;
use crate::checks::count;
use crate::messages::{AttemptId, JournalChange, JournalEntry};
use trailproxy::interface::{Event, HostEntry};
use trailproxy::units::{AttemptNo, GroupId, ObjectId, Timestamp};

impl Dispatch {
    /// Handles the entries that are known at the start. The timestamps of all entries are recorded first, because they
    /// bound the age of each entry.
    pub(super) fn load_known_entries(&mut self, now: Timestamp, entries: Vec<JournalEntry>) {
        for entry in &entries {
            self.record_stamps(now, entry);
        }
        for entry in entries {
            self.on_journal_entry(now, entry);
        }
    }

    /// Passes a purge to the decisions, with the smallest age that its timestamp allows.
    pub(super) fn handle_purge(
        &mut self,
        now: Timestamp,
        object: Option<ObjectId>,
        group: GroupId,
        stamp: Timestamp,
    ) {
        let purged = Event::Purged {
            object,
            group,
            age: self.state.stamps.min_age(now, stamp),
            stamp: Some(stamp),
        };
        self.handle_event(now, purged);
    }

    /// Records the timestamps of an entry, which bound how far the clocks are apart.
    fn record_stamps(&mut self, now: Timestamp, entry: &JournalEntry) {
        for stamp in entry.stamps() {
            self.state.stamps.observe(now, stamp);
        }
    }

    /// Handles one journal entry.
    pub(super) fn on_journal_entry(&mut self, now: Timestamp, entry: JournalEntry) {
        let (mut purged, mut hosts_changed, mut cancelled) = (None, false, Vec::new());
        self.state.journal_position = self.state.journal_position.max(entry.position);
        self.record_stamps(now, &entry);
        let trace = &self.pools.shared.trace;
        trace.journal_entry(entry.position, entry.change.as_str());
        match entry.change {
            JournalChange::Hosts {
                kind,
                mut hosts,
                unreadable,
            } => {
                hosts_changed = true;
                let role = |kind| self.decisions.role(kind);
                self.pools.mark_replaced(&mut hosts, role);
                for host in &mut hosts {
                    let stamp = host.entry.stamp;
                    host.entry.started =
                        stamp.map(|stamp| self.state.stamps.latest_local_time(now, stamp));
                }
                self.pools.apply_host_list(kind, &hosts);
                for _ in 0..unreadable {
                    count(&self.counts.bad_entries);
                }
                let entries: Vec<HostEntry> = hosts.iter().map(|host| host.entry).collect();
                let host_list = Event::HostList {
                    kind,
                    entries: entries.clone(),
                };
                self.handle_event(now, host_list);
                if let Some(peers) = &mut self.decisions.crossings.peers {
                    peers.on_host_list(now, &entries, entry.position);
                }
            }
            JournalChange::Purged {
                object,
                group,
                stamp,
            } => {
                purged = Some((object, group));
                self.handle_purge(now, object, group, stamp);
                if let Some(peers) = &mut self.decisions.crossings.peers {
                    peers.on_purge(now, object, group, stamp);
                }
            }
        }
        // Attempts that still wait for a connection or for room are cancelled; attempts that have begun to be written
        // continue.
        for (&request, pending) in &self.state.requests {
            let purged = match purged {
                Some((Some(object), _)) => pending.client_request.object == object,
                Some((None, group)) => pending.client_request.group == group,
                None => false,
            };
            for (number, attempt) in (0..).map(AttemptNo).zip(&pending.attempts) {
                let hosts = [Some(attempt.host), attempt.source];
                let any_not_ready = || {
                    hosts
                        .iter()
                        .flatten()
                        .any(|&host| !self.pools.is_ready(host))
                };
                if !attempt.ended && (purged || hosts_changed && any_not_ready()) {
                    cancelled.push(AttemptId {
                        request,
                        attempt: number,
                    });
                }
            }
        }
        cancelled
            .into_iter()
            .for_each(|id| self.pools.drop_unsent(id));
    }
}
