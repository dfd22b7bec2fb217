//! Messages from other members, note by note, and what is fetched from them.

use super::messages::TimeRange;
use super::sync::Held;
use super::*;

/// What was claimed less long ago may still be on its way to some replica of its zone.
const SETTLED_AFTER: TimeSpan = TimeSpan::from_secs(2);

/// Who wrote a message, and when by its own clock.
#[derive(Clone, Copy)]
pub(super) struct Origin {
    from: PeerId,
    address: Address,
    stamp: Timestamp,
}

impl Peers {
    /// A message came from that address.
    pub fn on_message(&mut self, now: Timestamp, address: Address, message: Message) {
        self.wake(now);
        if self.quiet() {
            return;
        }
        let stamp = Timestamp(message.stamp);
        if stamp > now + MAX_CLOCK_SKEW || now.since(stamp) > MAX_CLOCK_SKEW + LATE {
            return self.heard_off_clock(now, message.from, address);
        }
        self.counts.letters_in += 1;
        let from = message.from;
        if from == self.members.own().id {
            // Another process under this one's name: who came later keeps it.
            self.counts.own_name += 1;
            let update = messages::MemberUpdate {
                id: from,
                address,
                boot_id: message.boot_id,
                incarnation: message.incarnation,
                status: MemberStatus::Alive,
            };
            self.members.update(now, update);
            if !self.members.superseded {
                let own = *self.members.own();
                self.send(now, address, vec![MessagePart::MemberUpdates(vec![own])]);
            }
            return self.settle(now);
        }
        self.members
            .heard(now, from, address, message.boot_id, message.incarnation);
        self.settle(now);
        let origin = Origin {
            from,
            address,
            stamp,
        };
        let mut answers = Vec::new();
        for part in message.parts {
            self.handle_part(now, origin, part, &mut answers);
        }
        if !answers.is_empty() {
            self.send(now, address, answers);
        }
        self.settle(now);
    }

    /// Somebody is there whose clock is too far off to be listened to: what it does is not known here, nor the other way
    /// round. It is answered now and then, so that it learns as much.
    fn heard_off_clock(&mut self, now: Timestamp, from: PeerId, address: Address) {
        self.counts.off_clock += 1;
        if from == self.members.own().id {
            return;
        }
        let known = self.off_clock.get(&from).copied();
        if known.is_none() && self.off_clock.len() >= MOST_OFF_CLOCK {
            return;
        }
        let answered = known.map(|known| known.answered);
        let answer = answered.is_none_or(|at| now.since(at) >= ANSWER_OFF_CLOCK);
        let answered = if answer { now } else { answered.unwrap_or(now) };
        self.off_clock.insert(
            from,
            OffClock {
                heard: now,
                answered,
            },
        );
        if answer {
            self.send(now, address, Vec::new());
        }
        if known.is_none() {
            self.look_round(now);
        }
        self.settle(now);
    }

    fn handle_part(
        &mut self,
        now: Timestamp,
        origin: Origin,
        part: MessagePart,
        answers: &mut Vec<MessagePart>,
    ) {
        let Origin {
            from,
            address,
            stamp,
        } = origin;
        let own = self.summary();
        if self.members.handle_part(now, from, address, &part, own) {
            return;
        }
        match part {
            MessagePart::BreakerOpened { host, started, at } => {
                let (key, at) = ((HostId(host), started), Timestamp(at).min(now));
                let known = self.hints.contains_key(&key);
                if self.settings.hints
                    && now.since(at) < HINT_LASTS
                    && !known
                    && self.hints.len() < MOST_HINTS
                {
                    self.hints.insert(key, (at, self.tells()));
                    self.actions
                        .push(Action::PeerBreakerOpened { host: HostId(host) });
                }
            }
            MessagePart::Gossip(facts) => facts.into_iter().for_each(|fact| self.told(now, fact)),
            MessagePart::Claim {
                inquiry_id,
                key,
                claim,
            } => {
                let (sure, claims) = self.claimed(now, key, claim, Scope::Fleet);
                answers.push(MessagePart::ClaimStatus {
                    inquiry_id,
                    sure,
                    claims,
                });
            }
            MessagePart::ClaimInZone {
                inquiry_id,
                key,
                claim,
            } => {
                let (sure, claims) = self.claimed_in_zone(now, from, key, claim);
                answers.push(MessagePart::ClaimStatus {
                    inquiry_id,
                    sure,
                    claims,
                });
            }
            MessagePart::Relay(relay) => self.relayed(now, from, stamp.0, relay),
            MessagePart::ClaimStatus {
                inquiry_id,
                sure,
                claims,
            } => self.stood(now, inquiry_id, from, sure, claims),
            MessagePart::Store(inquiry_id, facts) => {
                facts.into_iter().for_each(|fact| self.told(now, fact));
                answers.push(MessagePart::Stored(inquiry_id));
            }
            MessagePart::Stored(inquiry_id) => self.claims.taken(inquiry_id, from),
            MessagePart::Checksums(sums) => {
                who!(self, who);
                let facts = &mut self.facts;
                answers.extend(
                    self.sync
                        .sums(from, &sums, |slot| facts.checksum(slot), &who),
                );
            }
            MessagePart::ChecksumsInRange(range, sums) => {
                who!(self, who);
                let facts = &self.facts;
                let own = |slot| facts.checksum_in_range(slot, range);
                answers.extend(self.sync.sums(from, &sums, own, &who));
            }
            MessagePart::Same {
                slots,
                completeness,
            } => {
                who!(self, who);
                for slot in self.sync.same(now, from, &slots, completeness, &who) {
                    self.facts.drop_slot(slot);
                }
            }
            MessagePart::Different(slots) => {
                // What is only held here becomes the same there before it is let go of.
                let own = self.members.own().id;
                let held: BTreeSet<Slot> = self.facts.slots().collect();
                for slot in slots {
                    if self.replicas.is_replica(own, slot) || held.contains(&slot) {
                        self.sync.fetch(slot, from);
                    }
                }
            }
            MessagePart::PageRequest { slot, after } if self.sync.gives(now) => {
                self.counts.pieces_out += 1;
                let (facts, end) = self.facts.page(slot, after, PIECE);
                let completeness = self.sync.completeness(slot);
                answers.push(MessagePart::Page {
                    slot,
                    after,
                    facts,
                    end,
                    completeness,
                });
            }
            MessagePart::Page {
                slot,
                after,
                facts,
                end,
                completeness,
            } => {
                who!(self, who);
                let (wanted, next) =
                    self.sync
                        .page(now, from, (slot, after), &facts, (end, completeness), &who);
                if wanted {
                    self.counts.pieces_in += 1;
                    let before = self.counts.news;
                    facts.into_iter().for_each(|fact| self.told(now, fact));
                    if self.counts.news > before && !slot.is_common() {
                        who!(self, who);
                        let others = (who.replicas)(slot);
                        self.sync.spread(now, &others);
                    }
                }
                if let Some((whom, part)) = next {
                    self.send_to(now, whom, vec![part]);
                }
            }
            MessagePart::Subsystem(of, bytes) => {
                self.actions.push(Action::SubsystemMessage(from, of, bytes))
            }
            MessagePart::StatusRequest(inquiry_id) => answers.push(MessagePart::OperatorReply(
                inquiry_id,
                self.status_text(now),
            )),
            _ => {}
        }
    }

    pub(super) fn fetch(&mut self, now: Timestamp) {
        if now < self.sync.next() {
            return;
        }
        let anybody = self.members.present().map(|(id, _)| id);
        let anybody: Vec<PeerId> = anybody.filter(|&id| self.members.is_reached(id)).collect();
        // Replicas of a zone are told most of what becomes of a claim once, and at different moments; and clocks that differ
        // forget at different moments.
        let settled = (self.replicas.scope() == Scope::Zone).then(|| TimeRange {
            from: (now - self.settings.record_retention).0,
            until: (now - SETTLED_AFTER).0,
        });
        let slots = self.facts.slots().collect();
        let held = Held { slots, settled };
        let asks = {
            who!(self, who);
            let facts = &mut self.facts;
            let own = |slot, range: Option<TimeRange>| match range {
                None => facts.checksum(slot),
                Some(range) => facts.checksum_in_range(slot, range),
            };
            self.sync
                .advance(now, &held, own, &who, &anybody, &mut self.chance)
        };
        for (whom, part) in asks {
            self.send_to(now, whom, vec![part]);
        }
    }
}
