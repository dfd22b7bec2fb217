//! Relays between zones: claims of the own zone are sent to replicas of other zones, and claims
//! received from them are taken into account here.

use super::facts::{Claim, ClaimLocation, Stage};
use super::locality::PeerZoneId;
use super::messages::{LogId, Relay};
use super::relay::{Partners, RemoteClaim, Sender};
use super::replicas::GroupNo;
use super::*;

/// The time of the last binding claim in a record; `None` if there is none or all are released.
fn last_claimed_at(fact: Option<&Fact>) -> Option<Timestamp> {
    let Some(Fact::Record { claims, .. }) = fact else {
        return None;
    };
    let binding = claims.iter().filter(|claim| claim.stage != Stage::Released);
    binding.map(|claim| Timestamp(claim.at)).max()
}

/// Distributes relays to one member over as few messages as possible, none larger than a usual
/// network carries in one piece.
fn pack_relays(relays: Vec<Relay>) -> Vec<Vec<MessagePart>> {
    let mut messages: Vec<Vec<MessagePart>> = Vec::new();
    let mut room = 0;
    for relay in relays {
        let size = relay.size();
        if size > room {
            messages.push(Vec::new());
            room = MAX_PAGE_BYTES;
        }
        room = room.saturating_sub(size);
        if let Some(message) = messages.last_mut() {
            message.push(MessagePart::Relay(relay));
        }
    }
    messages
}

/// A claim of another zone as a claim in an answer: its request may have run there, whatever became
/// of it.
fn remote_claim(key: u128, far: RemoteClaim) -> Claim {
    let hash = mix(key as u64 ^ mix(u64::from(far.zone.0)));
    Claim {
        token: Token(hash.max(16)),
        at: far.at.0,
        stage: Stage::Unknown,
        location: ClaimLocation::Anywhere,
        body: None,
    }
}

impl Peers {
    /// Stores a fact, and logs the change for other zones.
    pub(super) fn store(&mut self, now: Timestamp, fact: Fact) -> Option<bool> {
        let id = fact.id();
        let before = last_claimed_at(self.facts.get(id));
        let inserted = self.facts.insert(now, fact);
        if inserted == Some(true) {
            self.log_claim_change(now, id, before);
        }
        inserted
    }

    /// Logs the change of a record if the last binding claim changed.
    fn log_claim_change(&mut self, now: Timestamp, id: FactId, before: Option<Timestamp>) {
        let (Some(relays), Some(group)) = (&mut self.relays, GroupNo::of(id.slot())) else {
            return;
        };
        let after = last_claimed_at(self.facts.get(id));
        if let FactId::Record(key) = id
            && before != after
        {
            relays.log_change(now, group, key, after);
        }
    }

    /// Starts logs for new groups and sets partners after the replicas have changed.
    pub(super) fn assign_relay_groups(&mut self, now: Timestamp) {
        let own = self.members.own().id;
        let Some(relays) = &mut self.relays else {
            return;
        };
        if self.replicas.scope() == Scope::Fleet {
            return relays.clear();
        }
        let (replicas, rng) = (&self.replicas, &mut self.rng);
        let zones: Vec<PeerZoneId> = replicas
            .topology()
            .into_iter()
            .flat_map(|topology| topology.other_zones())
            .collect();
        let partners_of = |group: GroupNo| -> Partners {
            let with = |&zone: &PeerZoneId| (zone, replicas.partners(own, group, zone));
            zones.iter().map(with).collect()
        };
        let kept = replicas.groups(own).into_iter();
        let kept = kept.map(|group| (group, partners_of(group))).collect();
        for group in relays.assign_groups(now, kept, || LogId(rng.u32(1..))) {
            for slot in group.slots() {
                let (held, _) = self.facts.page(slot, None, usize::MAX);
                for fact in held {
                    if let (FactId::Record(key), last @ Some(_)) =
                        (fact.id(), last_claimed_at(Some(&fact)))
                    {
                        relays.log_change(now, group, key, last);
                    }
                }
            }
        }
    }

    /// Updates whether everything on which the own zone agreed is held here, for each group.
    fn update_group_completeness(&mut self, now: Timestamp) {
        let (sync, in_minority_partition) = (&self.sync, self.in_minority_partition);
        let complete = |group: GroupNo| {
            !in_minority_partition && group.slots().all(|slot| sync.is_in_sync(slot))
        };
        if let Some(relays) = &mut self.relays {
            relays.update_completeness(now, complete);
        }
    }

    /// Sends the relays that are due. A member that may be in a minority partition of its zone
    /// sends none, because others would take it for the whole zone.
    pub(super) fn send_relays(&mut self, now: Timestamp) {
        self.update_group_completeness(now);
        let Some(relays) = &mut self.relays else {
            return;
        };
        let due_relays = relays.advance(now, &mut self.rng);
        if self.in_minority_partition {
            return;
        }
        let mut by_partner: BTreeMap<PeerId, Vec<Relay>> = BTreeMap::new();
        for (to, relay) in due_relays {
            by_partner.entry(to).or_default().push(relay);
        }
        for (to, relays) in by_partner {
            for parts in pack_relays(relays) {
                self.send_to(now, to, parts);
            }
        }
    }

    /// Handles a relay from a replica of another zone.
    pub(super) fn on_relay(&mut self, now: Timestamp, id: PeerId, stamp: u64, relay: Relay) {
        let Some(locality) = self.members.locality(id) else {
            return;
        };
        self.update_group_completeness(now);
        let zone = locality.zone;
        if let Some(relays) = &mut self.relays {
            relays.on_relay(now, Sender { id, zone, stamp }, relay);
        }
    }

    /// Handles a claim of a member that chooses replicas from its own zone. Only replicas in that
    /// zone can confirm it.
    pub(super) fn on_claim_in_zone(
        &mut self,
        now: Timestamp,
        from: PeerId,
        key: u128,
        claim: Option<Claim>,
    ) -> (bool, Vec<Claim>) {
        let own = self.replicas.topology().map(|topology| topology.own.zone);
        let theirs = self.members.locality(from).map(|locality| locality.zone);
        let own_token = claim.as_ref().map(|claim| claim.token);
        let (sure, mut claims) = self.on_claim(now, key, claim, Scope::Zone);
        // The asking member knows its own claim.
        claims.retain(|claim| Some(claim.token) != own_token);
        (sure && own == theirs, claims)
    }

    /// The claims of other zones on a key, and whether a key without claims is proved to be new in
    /// all zones.
    pub(super) fn claims_in_other_zones(
        &mut self,
        now: Timestamp,
        key: u128,
    ) -> (bool, Vec<Claim>) {
        let group = GroupNo::of(FactId::Record(key).slot());
        if self.replicas.scope() == Scope::Fleet {
            return (true, Vec::new());
        }
        self.update_group_completeness(now);
        let (Some(relays), Some(group)) = (&mut self.relays, group) else {
            return (true, Vec::new());
        };
        let far = relays.remote_claims(group, key).into_iter();
        let claims: Vec<Claim> = far.map(|far| remote_claim(key, far)).collect();
        let proves = relays.proves_new_keys(now, group);
        self.counts.elsewhere += u64::from(!claims.is_empty());
        self.counts.unproved += u64::from(!proves);
        (proves, claims)
    }
}
