//! Facts that all members receive, passed on by gossip: purges, changes of hosts, and openings of
//! breakers.

use super::*;

impl Peers {
    /// The journal service reported a purge that happened at `at` by its clock.
    pub fn on_purge(
        &mut self,
        now: Timestamp,
        object: Option<ObjectId>,
        group: GroupId,
        at: Timestamp,
    ) {
        if self.settings.purges {
            self.facts.on_journal_stamp(now, at);
            let group = object.map_or(group.0, |_| 0);
            let object = object.map(|object| object.0);
            self.add_own_fact(
                now,
                Fact::Purge {
                    object,
                    group,
                    at: at.0,
                },
            );
        }
    }

    /// The own host list reported hosts, at this journal position.
    pub fn on_host_list(&mut self, now: Timestamp, entries: &[HostEntry], journal_position: u64) {
        self.journal_position = self.journal_position.max(journal_position);
        if !self.settings.hosts {
            return;
        }
        for entry in entries {
            let listed = match entry.state {
                HostState::Ready => ListedState::Ready,
                HostState::Draining => ListedState::Draining,
                HostState::Gone => ListedState::Gone,
            };
            let started = entry.stamp.map_or(0, |at| at.0);
            let host = self.hosts.entry(entry.host).or_default();
            let (same, restricted_until) = (
                (host.started, host.listed) == (started, Some(listed)),
                host.restricted_until,
            );
            *host = Host {
                started,
                journal_position,
                listed: Some(listed),
                restricted_until: None,
            };
            if listed == ListedState::Gone {
                self.hosts.remove(&entry.host);
            }
            // A report of another member is superseded, unless it has a later journal position.
            let id = FactId::Host(entry.host.0);
            let known = self.facts.get(id).cloned();
            if restricted_until.is_some()
                && let Some(known) = known
            {
                self.apply_host_fact(now, &known);
            }
            let started_recently = entry
                .started
                .is_some_and(|at| now.since(at) < HOST_CHANGE_RETENTION);
            if !same && (listed != ListedState::Ready || started_recently) {
                let (host, at) = (entry.host.0, now.0);
                self.add_own_fact(
                    now,
                    Fact::Host {
                        host,
                        started,
                        journal_position,
                        listed,
                        at,
                    },
                );
            }
        }
    }

    /// A breaker opened here.
    pub fn on_breaker_opened(&mut self, now: Timestamp, entry: HostEntry) {
        if self.settings.hints && self.hints.len() < MAX_HINTS {
            let started = entry.stamp.map_or(0, |at| at.0 / 1_000_000);
            self.hints
                .insert((entry.host, started), (now, self.gossip_rounds()));
        }
    }

    /// In how many messages a new fact is passed on.
    pub(super) fn gossip_rounds(&self) -> u32 {
        (usize::BITS - self.members.all().count().leading_zeros()) + 2
    }

    /// Adds a fact of the journal service, which other members may have received as well.
    pub(super) fn add_own_fact(&mut self, now: Timestamp, fact: Fact) {
        let id = fact.id();
        if self.facts.insert(now, fact) == Some(true)
            && self.gossip_queue.len() < MAX_GOSSIP_ENTRIES
        {
            let at = now + MAX_GOSSIP_DELAY.mul_f64(self.rng.f64());
            let rounds_left = self.gossip_rounds();
            self.gossip_queue
                .insert(id, GossipEntry { rounds_left, at });
        }
    }

    /// Handles a fact from another member.
    pub(super) fn on_fact(&mut self, now: Timestamp, fact: Fact) {
        let id = fact.id();
        let wanted = match &fact {
            Fact::Record { .. } => self.settings.records,
            Fact::Purge { .. } => self.settings.purges,
            Fact::Host { .. } => self.settings.hosts,
        };
        if !wanted {
            return;
        }
        match self.store(now, fact) {
            None => self.counts.full += 1,
            Some(false) => {
                // A fact that arrives again is known to other members already, and is passed on
                // less often.
                if let Some(entry) = self.gossip_queue.get_mut(&id) {
                    entry.rounds_left = entry.rounds_left.saturating_sub(1);
                }
            }
            Some(true) => {
                self.counts.news += 1;
                let Some(fact) = self.facts.get(id).cloned() else {
                    return;
                };
                match fact {
                    Fact::Record { .. } => return,
                    Fact::Purge { object, group, at } => self.actions.push(Action::Purged {
                        object: object.map(ObjectId),
                        group: GroupId(group),
                        at: Timestamp(at),
                    }),
                    Fact::Host { .. } => self.apply_host_fact(now, &fact),
                }
                if self.gossip_queue.len() < MAX_GOSSIP_ENTRIES {
                    let rounds_left = self.gossip_rounds();
                    self.gossip_queue.insert(
                        id,
                        GossipEntry {
                            rounds_left,
                            at: now,
                        },
                    );
                }
            }
        }
    }

    /// Applies another member's report of a host if it has a later journal position and is more
    /// restrictive. It never adds a host.
    pub(super) fn apply_host_fact(&mut self, now: Timestamp, fact: &Fact) {
        let Fact::Host {
            host,
            started,
            journal_position,
            listed,
            at,
        } = *fact
        else {
            return;
        };
        let Some(own) = self.hosts.get_mut(&HostId(host)) else {
            return;
        };
        let until = Timestamp(at) + HOST_CHANGE_RETENTION;
        let more_restrictive = own.listed.is_some_and(|own| listed > own) || started > own.started;
        if journal_position > own.journal_position && more_restrictive && until > now {
            own.restricted_until = Some(until);
            self.actions.push(Action::HostRestricted {
                host: HostId(host),
                listed: own.listed.map_or(listed, |own| own.max(listed)),
                started: Some(Timestamp(started.max(own.started))).filter(|at| at.0 > 0),
            });
        }
    }

    /// Lifts restrictions of hosts that have expired.
    pub(super) fn lift_expired_restrictions(&mut self, now: Timestamp) {
        for (&host, known) in &mut self.hosts {
            if known.restricted_until.is_some_and(|until| until <= now) {
                known.restricted_until = None;
                self.actions.push(Action::HostRestrictionLifted { host });
            }
        }
    }

    /// Passes new facts and hints on to a few members.
    pub(super) fn gossip(&mut self, now: Timestamp) {
        self.hints
            .retain(|_, (at, _)| now.since(*at) < HINT_RETENTION);
        let mut parts = Vec::new();
        for (&(host, started), (at, rounds_left)) in &mut self.hints {
            if *rounds_left > 0 && parts.len() < MAX_FACTS_PER_GOSSIP {
                *rounds_left -= 1;
                let (host, at) = (host.0, at.0);
                parts.push(MessagePart::BreakerOpened { host, started, at });
            }
        }
        let due_entries = self
            .gossip_queue
            .iter_mut()
            .filter(|(_, entry)| entry.at <= now);
        let mut facts = Vec::new();
        for (&id, entry) in due_entries.take(MAX_FACTS_PER_GOSSIP) {
            entry.rounds_left = entry.rounds_left.saturating_sub(1);
            facts.extend(self.facts.get(id).cloned());
        }
        self.gossip_queue.retain(|_, entry| entry.rounds_left > 0);
        if !facts.is_empty() {
            parts.push(MessagePart::Gossip(facts));
        }
        if parts.is_empty() {
            return;
        }
        let mut recipients: Vec<PeerId> = self.members.present().map(|(id, _)| id).collect();
        self.rng.shuffle(&mut recipients);
        for id in recipients.into_iter().take(GOSSIP_FANOUT) {
            self.send_to(now, id, parts.clone());
        }
    }
}
