//! Messages from other members, note by note, and what is fetched from them.

use super::messages::TimeRange;
use super::sync::HeldSlots;
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
        self.detect_pause(now);
        if self.is_silent() {
            return;
        }
        let stamp = Timestamp(message.stamp);
        if stamp > now + MAX_CLOCK_SKEW || now.since(stamp) > MAX_CLOCK_SKEW + MAX_MESSAGE_DELAY {
            return self.on_message_off_clock(now, message.from, address);
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
            self.members.apply_update(now, update);
            if !self.members.superseded {
                let own = *self.members.own();
                self.send(now, address, vec![MessagePart::MemberUpdates(vec![own])]);
            }
            return self.run_member_actions(now);
        }
        self.members
            .on_message(now, from, address, message.boot_id, message.incarnation);
        self.run_member_actions(now);
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
        self.run_member_actions(now);
    }

    /// Somebody is there whose clock is too far off to be listened to: what it does is not known here, nor the other way
    /// round. It is answered now and then, so that it learns as much.
    fn on_message_off_clock(&mut self, now: Timestamp, from: PeerId, address: Address) {
        self.counts.off_clock += 1;
        if from == self.members.own().id {
            return;
        }
        let known = self.off_clock.get(&from).copied();
        if known.is_none() && self.off_clock.len() >= MAX_OFF_CLOCK_MEMBERS {
            return;
        }
        let answered = known.map(|known| known.answered);
        let answer = answered.is_none_or(|at| now.since(at) >= OFF_CLOCK_REPLY_INTERVAL);
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
            self.update_partition_state(now);
        }
        self.run_member_actions(now);
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
                    && now.since(at) < HINT_RETENTION
                    && !known
                    && self.hints.len() < MAX_HINTS
                {
                    self.hints.insert(key, (at, self.gossip_rounds()));
                    self.actions
                        .push(Action::PeerBreakerOpened { host: HostId(host) });
                }
            }
            MessagePart::Gossip(facts) => {
                facts.into_iter().for_each(|fact| self.on_fact(now, fact))
            }
            MessagePart::Claim {
                inquiry_id,
                key,
                claim,
            } => {
                let (sure, claims) = self.on_claim(now, key, claim, Scope::Fleet);
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
                let (sure, claims) = self.on_claim_in_zone(now, from, key, claim);
                answers.push(MessagePart::ClaimStatus {
                    inquiry_id,
                    sure,
                    claims,
                });
            }
            MessagePart::Relay(relay) => self.on_relay(now, from, stamp.0, relay),
            MessagePart::ClaimStatus {
                inquiry_id,
                sure,
                claims,
            } => self.on_claim_status(now, inquiry_id, from, sure, claims),
            MessagePart::Store(inquiry_id, facts) => {
                facts.into_iter().for_each(|fact| self.on_fact(now, fact));
                answers.push(MessagePart::Stored(inquiry_id));
            }
            MessagePart::Stored(inquiry_id) => self.claims.on_stored(inquiry_id, from),
            MessagePart::Checksums(sums) => {
                view!(self, view);
                let facts = &mut self.facts;
                answers.extend(self.sync.on_checksums(
                    from,
                    &sums,
                    |slot| facts.checksum(slot),
                    &view,
                ));
            }
            MessagePart::ChecksumsInRange(range, sums) => {
                view!(self, view);
                let facts = &self.facts;
                let own = |slot| facts.checksum_in_range(slot, range);
                answers.extend(self.sync.on_checksums(from, &sums, own, &view));
            }
            MessagePart::Same {
                slots,
                completeness,
            } => {
                view!(self, view);
                for slot in self.sync.on_same(now, from, &slots, completeness, &view) {
                    self.facts.drop_slot(slot);
                }
            }
            MessagePart::Different(slots) => {
                // What is only held here becomes the same there before it is let go of.
                let own = self.members.own().id;
                let held: BTreeSet<Slot> = self.facts.slots().collect();
                for slot in slots {
                    if self.replicas.is_replica(own, slot) || held.contains(&slot) {
                        self.sync.queue_fetch(slot, from);
                    }
                }
            }
            MessagePart::PageRequest { slot, after } if self.sync.take_page_permit(now) => {
                self.counts.pieces_out += 1;
                let (facts, end) = self.facts.page(slot, after, MAX_PAGE_BYTES);
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
                view!(self, view);
                let (wanted, next) =
                    self.sync
                        .on_page(now, from, (slot, after), &facts, (end, completeness), &view);
                if wanted {
                    self.counts.pieces_in += 1;
                    let before = self.counts.news;
                    facts.into_iter().for_each(|fact| self.on_fact(now, fact));
                    if self.counts.news > before && !slot.is_common() {
                        view!(self, view);
                        let others = (view.replicas)(slot);
                        self.sync.compare_soon(now, &others);
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
        if now < self.sync.next_deadline() {
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
        let held = HeldSlots { slots, settled };
        let asks = {
            view!(self, view);
            let facts = &mut self.facts;
            let own = |slot, range: Option<TimeRange>| match range {
                None => facts.checksum(slot),
                Some(range) => facts.checksum_in_range(slot, range),
            };
            self.sync
                .advance(now, &held, own, &view, &anybody, &mut self.rng)
        };
        for (whom, part) in asks {
            self.send_to(now, whom, vec![part]);
        }
    }
}
