//! What dispatchers tell each other in passing: purges they saw, and parents whose breaker opened with them.
//!
//! Neither decides anything here. A purge is one whoever tells it, and only ever makes copies too old. A hint makes the
//! next outcome of a host count as a trial, which the design's breaker judges.

use std::collections::BTreeMap;
use trailproxy::units::*;

/// One thing told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Announcement {
    Purged {
        object: Option<ObjectId>,
        group: GroupId,
    },
    /// A breaker opened; `started` tells two processes of one host apart, in seconds.
    Opened { host: HostId, started: u64 },
}

/// A hint that is older says nothing: the design's own breakers know better by then.
const HINT_LASTS: TimeSpan = TimeSpan::from_secs(5);
/// A purge told at nearly the same moment by another is the same.
pub const SAME: TimeSpan = TimeSpan::from_millis(250);
/// How often the store is asked, spread by half of it; also the sign of life on an idle day.
const EVERY: TimeSpan = TimeSpan::from_millis(400);
/// One who heard of a purge waits up to this long whether another tells it: hundreds hear of it at once.
const TELL_WITHIN: TimeSpan = TimeSpan::from_millis(300);
/// Words remembered, so that each is passed on once. More purges than that come at the cost of telling some twice.
const MOST: usize = 8_192;

#[derive(Clone, Debug)]
pub struct Announcements {
    /// What is known already, with the latest moment at which it was said to have happened.
    known: BTreeMap<Announcement, Timestamp>,
    /// What is to be told, and when.
    telling: BTreeMap<Announcement, (Timestamp, Timestamp)>,
    ask_at: Timestamp,
    purges_last: TimeSpan,
}

impl Announcements {
    /// `purges_last`: after that every copy from before a purge is gone.
    pub fn new(now: Timestamp, purges_last: TimeSpan) -> Announcements {
        Announcements {
            known: BTreeMap::new(),
            telling: BTreeMap::new(),
            ask_at: now,
            purges_last,
        }
    }

    fn lasts(&self, word: Announcement) -> TimeSpan {
        match word {
            Announcement::Purged { .. } => self.purges_last,
            Announcement::Opened { .. } => HINT_LASTS,
        }
    }

    pub fn tracked_count(&self) -> usize {
        self.known.len() + self.telling.len()
    }

    fn learn(&mut self, now: Timestamp, word: Announcement, at: Timestamp) -> bool {
        let news = self.known.get(&word).is_none_or(|&known| at > known + SAME);
        if news {
            if self.known.len() >= MOST {
                let lasts = (HINT_LASTS, self.purges_last);
                self.known.retain(|word, &mut at| {
                    let of = matches!(word, Announcement::Opened { .. });
                    now.since(at) < if of { lasts.0 } else { lasts.1 }
                });
            }
            if self.known.len() >= MOST {
                self.known.pop_first();
            }
            self.known.insert(word, at);
        }
        news
    }

    /// It happened here at `at`; `drawn` is from 0 to 1.
    pub fn on_local_event(
        &mut self,
        now: Timestamp,
        word: Announcement,
        at: Timestamp,
        drawn: f64,
    ) {
        if self.learn(now, word, at) && self.telling.len() < MOST {
            let when = match word {
                Announcement::Purged { .. } => now + TELL_WITHIN.mul_f64(drawn),
                Announcement::Opened { .. } => now,
            };
            self.telling.insert(word, (when, at));
        }
    }

    /// The store says that it happened at `at`. `true`: that is news here.
    pub fn on_announced(&mut self, now: Timestamp, word: Announcement, at: Timestamp) -> bool {
        let at = at.min(now);
        if self
            .telling
            .get(&word)
            .is_some_and(|&(_, own)| own <= at + SAME)
        {
            self.telling.remove(&word);
        }
        now.since(at) < self.lasts(word) && self.learn(now, word, at)
    }

    pub fn next_deadline(&self) -> Option<Timestamp> {
        let telling = self.telling.values().map(|&(when, _)| when).min();
        telling.into_iter().chain([self.ask_at]).min()
    }

    /// Whether the store is to be asked for news now.
    pub fn take_poll_due(&mut self, now: Timestamp, drawn: f64) -> bool {
        let due = now >= self.ask_at;
        if due {
            self.ask_at = now + EVERY.mul_f64(0.75 + 0.5 * drawn);
        }
        due
    }

    /// What is to be told by now, with how long ago it happened. What got old while the store was away is dropped.
    pub fn take_due(&mut self, now: Timestamp) -> Vec<(Announcement, TimeSpan)> {
        let due = self.telling.iter().filter(|(_, (when, _))| now >= *when);
        let due: Vec<(Announcement, Timestamp)> = due.map(|(&word, &(_, at))| (word, at)).collect();
        self.telling.retain(|_, (when, _)| now < *when);
        let fresh = due.into_iter().map(|(word, at)| (word, now.since(at)));
        fresh
            .filter(|&(word, ago)| ago < self.lasts(word))
            .collect()
    }

    /// The store is another: all that still counts is told to it again.
    pub fn announce_all(&mut self, now: Timestamp, chance: &mut fastrand::Rng) {
        let known: Vec<(Announcement, Timestamp)> =
            self.known.iter().map(|(&word, &at)| (word, at)).collect();
        for (word, at) in known {
            if now.since(at) < self.lasts(word) {
                let when = now + TELL_WITHIN.mul_f64(chance.f64());
                self.telling.insert(word, (when, at));
            }
        }
    }
}
