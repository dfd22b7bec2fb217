//! Messages from other members, part by part, and requests for facts that are missing.

use super::messages::TimeRange;
use super::sync::HeldSlots;
use super::*;

/// Claims younger than this may still be on their way to some replica of the zone.
const SETTLED_AFTER: TimeSpan = TimeSpan::from_secs(2);

/// The sender of a message, and when it was written by the sender's clock.
#[derive(Clone, Copy)]
pub(super) struct Origin {
    from: PeerId,
    address: Address,
    stamp: u64,
}

impl Peers {
    /// Handles a message from this address.
    pub fn on_message(&mut self, now: Timestamp, address: Address, message: Message) {
        self.detect_pause(now);
        if self.is_silent() {
            return;
        }
        let stamp = message.stamp;
        let Some(message) = self.sender_clocks.to_local_time(now, message) else {
            self.counts.outdated += 1;
            return;
        };
        self.counts.letters_in += 1;
        let from = message.from;
        if from == self.members.own().id {
            // Another process has this one's name: the later process keeps it.
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

    /// Handles one part of a message.
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
            MessagePart::Relay(relay) => self.on_relay(now, from, stamp, relay),
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
            MessagePart::Checksums(checksums) => {
                replica_view!(self, view);
                let facts = &mut self.facts;
                answers.extend(self.sync.on_checksums(
                    from,
                    &checksums,
                    |slot| facts.checksum(slot),
                    &view,
                ));
            }
            MessagePart::ChecksumsInRange(range, checksums) => {
                replica_view!(self, view);
                let facts = &self.facts;
                let own_checksum = |slot| facts.checksum_in_range(slot, range);
                answers.extend(
                    self.sync
                        .on_checksums(from, &checksums, own_checksum, &view),
                );
            }
            MessagePart::Same {
                slots,
                completeness,
            } => {
                replica_view!(self, view);
                for slot in self.sync.on_same(now, from, &slots, completeness, &view) {
                    self.facts.drop_slot(slot);
                }
            }
            MessagePart::Different(slots) => {
                // Facts of a slot that this member no longer holds have to reach the replicas
                // before they are dropped here.
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
                replica_view!(self, view);
                let (wanted, next) =
                    self.sync
                        .on_page(now, from, (slot, after), &facts, (end, completeness), &view);
                if wanted {
                    self.counts.pieces_in += 1;
                    let before = self.counts.news;
                    facts.into_iter().for_each(|fact| self.on_fact(now, fact));
                    if self.counts.news > before && !slot.is_common() {
                        replica_view!(self, view);
                        let others = (view.replicas)(slot);
                        self.sync.compare_soon(now, &others);
                    }
                }
                if let Some((peer, part)) = next {
                    self.send_to(now, peer, vec![part]);
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

    /// Compares copies with other members and requests missing facts.
    pub(super) fn fetch(&mut self, now: Timestamp) {
        if now < self.sync.next_deadline() {
            return;
        }
        let reachable = self.members.present().map(|(id, _)| id);
        let reachable: Vec<PeerId> = reachable
            .filter(|&id| self.members.is_reached(id))
            .collect();
        // Replicas of a zone receive most updates of a claim once, and at different times; and with
        // different clocks facts expire at different times.
        let settled = (self.replicas.scope() == Scope::Zone).then(|| TimeRange {
            from: (now - self.settings.record_retention).0,
            until: (now - SETTLED_AFTER).0,
        });
        let slots = self.facts.slots().collect();
        let held = HeldSlots { slots, settled };
        let requests = {
            replica_view!(self, view);
            let facts = &mut self.facts;
            let own_checksum = |slot, range: Option<TimeRange>| match range {
                None => facts.checksum(slot),
                Some(range) => facts.checksum_in_range(slot, range),
            };
            self.sync
                .advance(now, &held, own_checksum, &view, &reachable, &mut self.rng)
        };
        for (peer, part) in requests {
            self.send_to(now, peer, vec![part]);
        }
    }
}
