//! Who keeps what: a few members for each slot, the same ones in the eyes of all who know the same fleet.
//!
//! Each slot's members are ordered by a number drawn from the slot and the member, and the first few keep it. One that
//! goes takes only its own slots with it, each of which passes to the next in its order.

use super::facts::{RECORD_SLOTS, Slot, mix};
use super::messages::PeerId;
use trailproxy::units::{Moment, Span};

/// So many members keep a slot. More cost messages on every claim, fewer lose a record with two that die together.
pub const KEEP: usize = 3;
/// So long after the fleet changed, the former keepers are asked as well: they know what the new ones still fetch.
const FORMER: Span = Span::from_secs(5);

#[derive(Clone, Debug, Default)]
pub struct Keepers {
    fleet: Vec<PeerId>,
    of: Vec<Vec<PeerId>>,
    former: Vec<Vec<PeerId>>,
    former_until: Moment,
}

/// The first few in the order of one slot.
fn first_few(slot: Slot, fleet: &[PeerId]) -> Vec<PeerId> {
    let drawn = |id: &PeerId| mix(id.0 ^ mix(u64::from(slot.0)));
    let mut few: Vec<PeerId> = Vec::with_capacity(KEEP + 1);
    for &id in fleet {
        let at = few.partition_point(|other| drawn(other) > drawn(&id));
        if at < KEEP {
            few.insert(at, id);
            few.truncate(KEEP);
        }
    }
    few
}

impl Keepers {
    /// Another fleet, in any order; `true`: it is another than before.
    pub fn fleet(&mut self, now: Moment, mut fleet: Vec<PeerId>) -> bool {
        fleet.sort_unstable();
        if fleet == self.fleet {
            return false;
        }
        let of = (0..RECORD_SLOTS).map(|slot| first_few(Slot(slot), &fleet));
        let of: Vec<_> = of.collect();
        self.former = std::mem::replace(&mut self.of, of);
        self.former_until = now + FORMER;
        self.fleet = fleet;
        true
    }

    /// Who keeps a slot of records; all keep the common ones.
    pub fn of(&self, slot: Slot) -> &[PeerId] {
        self.of.get(usize::from(slot.0)).map_or(&[], Vec::as_slice)
    }

    /// Who kept it lately, and does not now.
    pub fn former(&self, now: Moment, slot: Slot) -> impl Iterator<Item = PeerId> {
        let former = self.former.get(usize::from(slot.0));
        let former = former.filter(|_| now < self.former_until).into_iter();
        let present = self.of(slot);
        former.flatten().copied().filter(|id| !present.contains(id))
    }

    pub fn keeps(&self, id: PeerId, slot: Slot) -> bool {
        slot.is_common() || self.of(slot).contains(&id)
    }
}
