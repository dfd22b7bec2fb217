//! How claims of the own zone reach the replicas of other zones, and what theirs say here.

use super::facts::{Claim, ClaimLocation, Stage};
use super::locality::PeerZoneId;
use super::messages::{LogId, Relay};
use super::relay::{Pairs, RemoteClaim, Sender};
use super::replicas::GroupNo;
use super::*;

/// The last claim under a key that binds others; `None`: there is none, or all are free.
fn last_claimed_at(fact: Option<&Fact>) -> Option<Timestamp> {
    let Some(Fact::Record { claims, .. }) = fact else {
        return None;
    };
    let binding = claims.iter().filter(|claim| claim.stage != Stage::Released);
    binding.map(|claim| Timestamp(claim.at)).max()
}

/// Relays to one member in as few messages as hold them, each no longer than a usual network carries in one piece.
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

/// A claim of another zone as others are told of it: it may have run there, whatever became of it.
fn remote_claim(key: u128, far: RemoteClaim) -> Claim {
    let folded = mix(key as u64 ^ mix(u64::from(far.zone.0)));
    Claim {
        token: Token(folded.max(16)),
        at: far.at.0,
        stage: Stage::Unknown,
        location: ClaimLocation::Anywhere,
        body: None,
    }
}

impl Peers {
    /// Takes a fact in, and logs what other zones are to know of it.
    pub(super) fn store(&mut self, now: Timestamp, fact: Fact) -> Option<bool> {
        let id = fact.id();
        let before = last_claimed_at(self.facts.get(id));
        let taken = self.facts.insert(now, fact);
        if taken == Some(true) {
            self.log_claim_change(now, id, before);
        }
        taken
    }

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

    /// Who keeps what is another: logs are begun, and partners are found.
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
        let pairs = |group: GroupNo| -> Pairs {
            let with = |&zone: &PeerZoneId| (zone, replicas.partners(own, group, zone));
            zones.iter().map(with).collect()
        };
        let kept = replicas.groups(own).into_iter();
        let kept = kept.map(|group| (group, pairs(group))).collect();
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

    /// Whether all that its own zone agreed on in a group is held here.
    fn complete_groups(&mut self, now: Timestamp) {
        let (sync, in_minority_partition) = (&self.sync, self.in_minority_partition);
        let complete = |group: GroupNo| {
            !in_minority_partition && group.slots().all(|slot| sync.is_in_sync(slot))
        };
        if let Some(relays) = &mut self.relays {
            relays.update_completeness(now, complete);
        }
    }

    /// Relays that are due go out. One that may be on the smaller side of a cut within its zone says nothing: others would
    /// take it for the zone.
    pub(super) fn send_relays(&mut self, now: Timestamp) {
        self.complete_groups(now);
        let Some(relays) = &mut self.relays else {
            return;
        };
        let due = relays.advance(now, &mut self.rng);
        if self.in_minority_partition {
            return;
        }
        let mut by_partner: BTreeMap<PeerId, Vec<Relay>> = BTreeMap::new();
        for (to, relay) in due {
            by_partner.entry(to).or_default().push(relay);
        }
        for (to, relays) in by_partner {
            for parts in pack_relays(relays) {
                self.send_to(now, to, parts);
            }
        }
    }

    /// A relay of another zone's replica.
    pub(super) fn on_relay(&mut self, now: Timestamp, id: PeerId, stamp: u64, relay: Relay) {
        let Some(locality) = self.members.locality(id) else {
            return;
        };
        self.complete_groups(now);
        let zone = locality.zone;
        if let Some(relays) = &mut self.relays {
            relays.on_relay(now, Sender { id, zone, stamp }, relay);
        }
    }

    /// A claim of a member that draws replicas from its own zone: only those of that zone agree on it.
    pub(super) fn on_claim_in_zone(
        &mut self,
        now: Timestamp,
        from: PeerId,
        key: u128,
        claim: Option<Claim>,
    ) -> (bool, Vec<Claim>) {
        let own = self.replicas.topology().map(|topology| topology.own.zone);
        let theirs = self.members.locality(from).map(|locality| locality.zone);
        let asked = claim.as_ref().map(|claim| claim.token);
        let (sure, mut claims) = self.on_claim(now, key, claim, Scope::Zone);
        // The asker knows its own.
        claims.retain(|claim| Some(claim.token) != asked);
        (sure && own == theirs, claims)
    }

    /// What other zones claim under a key, and whether one that is not there is new everywhere.
    pub(super) fn claims_in_other_zones(
        &mut self,
        now: Timestamp,
        key: u128,
    ) -> (bool, Vec<Claim>) {
        let group = GroupNo::of(FactId::Record(key).slot());
        if self.replicas.scope() == Scope::Fleet {
            return (true, Vec::new());
        }
        self.complete_groups(now);
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
