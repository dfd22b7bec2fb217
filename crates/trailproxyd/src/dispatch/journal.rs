//! Events of the journal: hosts and purges.

use super::Dispatch;
use crate::checks::count;
use crate::messages::{AttemptId, Change, Entry};
use trailproxy::interface::{Event, HostEntry};
use trailproxy::units::{AttemptNo, GroupId, ObjectId, Timestamp};

impl Dispatch {
    /// What is told at the start: first all stamps, which bound each other's ages.
    pub(super) fn known(&mut self, now: Timestamp, known: Vec<Entry>) {
        for entry in &known {
            self.hear_stamps(now, entry);
        }
        for entry in known {
            self.journal(now, entry);
        }
    }

    /// The decisions are told of a purge, by its stamp.
    pub(super) fn tell_purge(
        &mut self,
        now: Timestamp,
        object: Option<ObjectId>,
        group: GroupId,
        stamp: Timestamp,
    ) {
        let purged = Event::Purged {
            object,
            group,
            age: self.state.stamps.least_age(now, stamp),
            stamp: Some(stamp),
        };
        self.tell(now, purged);
    }

    fn hear_stamps(&mut self, now: Timestamp, entry: &Entry) {
        for stamp in entry.stamps() {
            self.state.stamps.heard(now, stamp);
        }
    }

    pub(super) fn journal(&mut self, now: Timestamp, entry: Entry) {
        let (mut purged, mut listed, mut recalls) = (None, false, Vec::new());
        self.state.place = self.state.place.max(entry.pos);
        self.hear_stamps(now, &entry);
        let trace = &self.pools.shared.trace;
        trace.journal(entry.pos, entry.change.word());
        match entry.change {
            Change::Hosts {
                form,
                mut members,
                unread,
            } => {
                listed = true;
                for member in &mut members {
                    let stamp = member.entry.stamp;
                    member.entry.started = stamp.map(|stamp| self.state.stamps.latest(now, stamp));
                }
                self.pools.apply_host_list(form, &members);
                for _ in 0..unread {
                    count(&self.counts.bad_entries);
                }
                let entries: Vec<HostEntry> = members.iter().map(|member| member.entry).collect();
                let told = Event::HostList {
                    kind: form,
                    entries: entries.clone(),
                };
                self.tell(now, told);
                if let Some(peers) = &mut self.decisions.crossings.peers {
                    peers.listed(now, &entries, entry.pos);
                }
            }
            Change::Purged {
                object,
                group,
                stamp,
            } => {
                purged = Some((object, group));
                self.tell_purge(now, object, group, stamp);
                if let Some(peers) = &mut self.decisions.crossings.peers {
                    peers.purged(now, object, group, stamp);
                }
            }
        }
        // What waits for a dial or for room is dropped; what has begun to go out runs on.
        for (&request, open) in &self.state.requests {
            let purged = match purged {
                Some((Some(object), _)) => open.call.object == object,
                Some((None, group)) => open.call.group == group,
                None => false,
            };
            for (no, attempt) in (0..).map(AttemptNo).zip(&open.attempts) {
                let hosts = [Some(attempt.host), attempt.source];
                let unready = || {
                    hosts
                        .iter()
                        .flatten()
                        .any(|&host| !self.pools.is_ready(host))
                };
                if !attempt.over && (purged || listed && unready()) {
                    recalls.push(AttemptId { request, no });
                }
            }
        }
        recalls
            .into_iter()
            .for_each(|id| self.pools.drop_unsent(id));
    }
}
