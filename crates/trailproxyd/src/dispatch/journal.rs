//! Events of the journal: hosts and purges.

use super::Dispatch;
use crate::checks::count;
use crate::messages::{AttemptId, Change, Entry};
use trailproxy::interface::{Event, HostEntry};
use trailproxy::units::{AttemptNo, Moment};

impl Dispatch {
    pub(super) fn journal(&mut self, now: Moment, entry: Entry) {
        let (mut purged, mut listed, mut recalls) = (None, false, Vec::new());
        self.state.place = self.state.place.max(entry.pos);
        match entry.change {
            Change::Hosts {
                form,
                members,
                unread,
            } => {
                listed = true;
                self.pools.list(form, &members);
                for _ in 0..unread {
                    count(&self.counts.bad_entries);
                }
                let entries: Vec<HostEntry> = members.iter().map(|member| member.entry).collect();
                let told = Event::Hosts {
                    form,
                    entries: entries.clone(),
                };
                self.tell(now, told);
                if let Some(peers) = &mut self.decisions.crossings.peers {
                    peers.listed(now, &entries, entry.pos);
                }
            }
            Change::Purged { object, group, at } => {
                purged = Some((object, group));
                let ago = now.since(at);
                self.tell(now, Event::Purged { object, group, ago });
                if let Some(peers) = &mut self.decisions.crossings.peers {
                    peers.purged(now, object, group, at);
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
        recalls.into_iter().for_each(|id| self.pools.recall(id));
    }
}
