//! Announcements between dispatchers: purges, and parents whose breaker opened.
//!
//! An announcement decides nothing by itself. A purge is the same whoever announces it, and can
//! only mark copies as too old. A hint about a breaker makes the next outcome of the host count as
//! a trial, which the breaker of the own dispatcher judges.

use std::collections::BTreeMap;
use trailproxy::units::*;

/// One announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Announcement {
    /// An object, or all objects of a group, were purged.
    Purged {
        object: Option<ObjectId>,
        group: GroupId,
    },
    /// A breaker opened. `started` distinguishes two processes of one host; it is in seconds.
    Opened { host: HostId, started: u64 },
}

/// An older hint is ignored: the dispatcher's own breakers know better by then.
const HINT_VALIDITY: TimeSpan = TimeSpan::from_secs(5);
/// Purges of the same object within this time span are taken to be one purge.
pub const MERGE_WITHIN: TimeSpan = TimeSpan::from_millis(250);
/// Interval between two reads of the announcements, spread by half of it. On an idle day the
/// answers also show that the store works.
const POLL_INTERVAL: TimeSpan = TimeSpan::from_millis(400);
/// A dispatcher that learns of a purge waits up to this long whether another one announces it,
/// because hundreds learn of it at the same time.
const MAX_ANNOUNCE_DELAY: TimeSpan = TimeSpan::from_millis(300);
/// Limit of remembered announcements, so that each is passed on once. With more purges than that
/// some are announced twice.
const MAX_REMEMBERED: usize = 8_192;

/// Announcements that one dispatcher knows and those that it still has to make.
#[derive(Clone, Debug)]
pub struct Announcements {
    /// Known announcements, with the latest time at which each was said to have happened.
    known: BTreeMap<Announcement, Timestamp>,
    /// Announcements to be made: when, and when the event happened.
    outgoing: BTreeMap<Announcement, (Timestamp, Timestamp)>,
    next_poll_at: Timestamp,
    purge_retention: TimeSpan,
}

impl Announcements {
    /// `purge_retention`: time after which no copy from before a purge is left.
    pub fn new(now: Timestamp, purge_retention: TimeSpan) -> Announcements {
        Announcements {
            known: BTreeMap::new(),
            outgoing: BTreeMap::new(),
            next_poll_at: now,
            purge_retention,
        }
    }

    /// How long an announcement says anything.
    fn validity(&self, announcement: Announcement) -> TimeSpan {
        match announcement {
            Announcement::Purged { .. } => self.purge_retention,
            Announcement::Opened { .. } => HINT_VALIDITY,
        }
    }

    /// Number of remembered announcements.
    pub fn tracked_count(&self) -> usize {
        self.known.len() + self.outgoing.len()
    }

    /// Remembers an event; `true` if it was not known before.
    fn remember(&mut self, now: Timestamp, announcement: Announcement, at: Timestamp) -> bool {
        let is_new = self
            .known
            .get(&announcement)
            .is_none_or(|&known| at > known + MERGE_WITHIN);
        if is_new {
            if self.known.len() >= MAX_REMEMBERED {
                let validity = (HINT_VALIDITY, self.purge_retention);
                self.known.retain(|announcement, &mut at| {
                    let is_hint = matches!(announcement, Announcement::Opened { .. });
                    now.since(at) < if is_hint { validity.0 } else { validity.1 }
                });
            }
            if self.known.len() >= MAX_REMEMBERED {
                self.known.pop_first();
            }
            self.known.insert(announcement, at);
        }
        is_new
    }

    /// Handles an event that happened here at `at`. `random` is a random number from 0 to 1.
    pub fn on_local_event(
        &mut self,
        now: Timestamp,
        announcement: Announcement,
        at: Timestamp,
        random: f64,
    ) {
        if self.remember(now, announcement, at) && self.outgoing.len() < MAX_REMEMBERED {
            let announce_at = match announcement {
                Announcement::Purged { .. } => now + MAX_ANNOUNCE_DELAY.mul_f64(random),
                Announcement::Opened { .. } => now,
            };
            self.outgoing.insert(announcement, (announce_at, at));
        }
    }

    /// Handles an announcement of the store for an event at `at`; `true` if it is new here.
    pub fn on_announced(
        &mut self,
        now: Timestamp,
        announcement: Announcement,
        at: Timestamp,
    ) -> bool {
        let at = at.min(now);
        if self
            .outgoing
            .get(&announcement)
            .is_some_and(|&(_, own)| own <= at + MERGE_WITHIN)
        {
            self.outgoing.remove(&announcement);
        }
        now.since(at) < self.validity(announcement) && self.remember(now, announcement, at)
    }

    /// The next time at which something is to be announced or read.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        let outgoing = self
            .outgoing
            .values()
            .map(|&(announce_at, _)| announce_at)
            .min();
        outgoing.into_iter().chain([self.next_poll_at]).min()
    }

    /// Whether the store is to be read now; if so, sets the time of the next read. `random` is a
    /// random number from 0 to 1.
    pub fn take_poll_due(&mut self, now: Timestamp, random: f64) -> bool {
        let due = now >= self.next_poll_at;
        if due {
            self.next_poll_at = now + POLL_INTERVAL.mul_f64(0.75 + 0.5 * random);
        }
        due
    }

    /// Takes the announcements that are due, with the age of each. What expired while the store was
    /// unreachable is dropped.
    pub fn take_due(&mut self, now: Timestamp) -> Vec<(Announcement, TimeSpan)> {
        let due = self
            .outgoing
            .iter()
            .filter(|(_, (announce_at, _))| now >= *announce_at);
        let due: Vec<(Announcement, Timestamp)> = due
            .map(|(&announcement, &(_, at))| (announcement, at))
            .collect();
        self.outgoing
            .retain(|_, (announce_at, _)| now < *announce_at);
        let due_with_age = due
            .into_iter()
            .map(|(announcement, at)| (announcement, now.since(at)));
        due_with_age
            .filter(|&(announcement, age)| age < self.validity(announcement))
            .collect()
    }

    /// Schedules all valid announcements again, because the store has a new epoch.
    pub fn announce_all(&mut self, now: Timestamp, rng: &mut fastrand::Rng) {
        let known: Vec<(Announcement, Timestamp)> = self
            .known
            .iter()
            .map(|(&announcement, &at)| (announcement, at))
            .collect();
        for (announcement, at) in known {
            if now.since(at) < self.validity(announcement) {
                let announce_at = now + MAX_ANNOUNCE_DELAY.mul_f64(rng.f64());
                self.outgoing.insert(announcement, (announce_at, at));
            }
        }
    }
}
