//! The copies that one host holds, by rank and by use.
//!
//! The lowest rank goes first, in a rank what was used longest ago. A new copy pushes out only its own rank or
//! lower, else it is not kept.
//!
//! ```
//! use trailproxy::units::{GroupId, Timestamp, ObjectId};
//! use trailproxy_standins::store::{Copy, Store};
//! let copy = |rank| Copy { minted: Timestamp(1), kb: 60.0, rank, group: GroupId(0) };
//! let mut store = Store::new(100.0);
//! assert!(store.keep((ObjectId(1), 0), copy(2)));
//! assert!(!store.keep((ObjectId(2), 0), copy(1)), "rank 2 does not give way to rank 1");
//! assert!(store.keep((ObjectId(3), 0), copy(2)) && store.look((ObjectId(1), 0)).is_none());
//! ```

use std::collections::{BTreeMap, BTreeSet};
use trailproxy::units::{GroupId, ObjectId, Timestamp};

/// One part of an object.
pub type PartOf = (ObjectId, u32);

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Copy {
    /// When the origin gave it out.
    pub minted: Timestamp,
    pub kb: f64,
    /// 1 to 3.
    pub rank: u8,
    pub group: GroupId,
}

#[derive(Clone, Debug)]
pub struct Store {
    room_kb: f64,
    held_kb: f64,
    uses: u64,
    copies: BTreeMap<PartOf, (Copy, u64)>,
    /// By rank, then by last use.
    order: BTreeSet<(u8, u64, PartOf)>,
}

impl Store {
    pub fn new(room_kb: f64) -> Store {
        Store {
            room_kb,
            held_kb: 0.0,
            uses: 0,
            copies: BTreeMap::new(),
            order: BTreeSet::new(),
        }
    }

    pub fn look(&self, part: PartOf) -> Option<Copy> {
        self.copies.get(&part).map(|&(copy, _)| copy)
    }

    /// A hit sets the rank anew; 0 leaves it.
    pub fn used(&mut self, part: PartOf, rank: u8) {
        self.uses += 1;
        if let Some((copy, used)) = self.copies.get_mut(&part) {
            self.order.remove(&(copy.rank, *used, part));
            copy.rank = if rank == 0 { copy.rank } else { rank };
            *used = self.uses;
            self.order.insert((copy.rank, *used, part));
        }
    }

    /// Whether the copy was kept.
    pub fn keep(&mut self, part: PartOf, copy: Copy) -> bool {
        if copy.rank == 0 || copy.kb > self.room_kb {
            return false;
        }
        self.forget(part);
        let mut free = self.room_kb - self.held_kb;
        let mut out = Vec::new();
        for &(rank, _, old) in &self.order {
            if free >= copy.kb || rank > copy.rank {
                break;
            }
            free += self.copies[&old].0.kb;
            out.push(old);
        }
        if free < copy.kb {
            return false;
        }
        out.into_iter().for_each(|old| self.forget(old));
        self.uses += 1;
        self.held_kb += copy.kb;
        self.order.insert((copy.rank, self.uses, part));
        self.copies.insert(part, (copy, self.uses));
        true
    }

    pub fn forget(&mut self, part: PartOf) {
        if let Some((copy, used)) = self.copies.remove(&part) {
            self.order.remove(&(copy.rank, used, part));
            self.held_kb -= copy.kb;
        }
    }

    /// Drops what was minted before a purge, of one object or of a whole group.
    pub fn purge(&mut self, object: Option<ObjectId>, group: GroupId, stamp: Timestamp) {
        let meant = |part: &PartOf, copy: &Copy| match object {
            Some(object) => part.0 == object,
            None => copy.group == group,
        };
        let old: Vec<PartOf> = match object {
            Some(object) => self
                .copies
                .range((object, 0)..=(object, u32::MAX))
                .map(|(&p, _)| p)
                .collect(),
            None => self.copies.keys().copied().collect(),
        };
        for part in old {
            if self
                .look(part)
                .is_some_and(|copy| meant(&part, &copy) && copy.minted < stamp)
            {
                self.forget(part);
            }
        }
    }

    pub fn held_kb(&self) -> f64 {
        self.held_kb
    }

    pub fn copies(&self) -> usize {
        self.copies.len()
    }
}
