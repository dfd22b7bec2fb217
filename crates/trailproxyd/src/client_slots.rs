//! Limits the number of client connections and chooses which one closes to make room for a new one.

use crate::messages::{ClientId, ToClient};
use local_channel::mpsc;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

/// A connection whose use of its slot changed more recently than this is not asked to close: its first message, or its
/// next one, may still be in transit.
const MIN_UNUSED_TIME: Duration = Duration::from_millis(100);

/// How a connection uses its slot, and since when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotUse {
    /// No whole message was received yet, or the next one has begun and is incomplete.
    Incomplete(Instant),
    /// No request is open and no answer is owed.
    Idle(Instant),
    /// A request is open or an answer is not fully written.
    Busy,
}

/// Whether a new connection can get a slot.
pub enum Availability {
    /// A slot is free.
    Free,
    /// All slots are taken; one connection was asked to close.
    Requested,
    /// All slots are taken and no connection can be closed now.
    None,
}

/// The slots and the connections that hold them.
pub struct ClientSlots {
    max_connections: usize,
    connections: BTreeMap<ClientId, (SlotUse, mpsc::Sender<ToClient>)>,
    /// The connections that may be asked to close, by the start of their use: first those with an incomplete message, then
    /// the idle ones.
    evictable: [BTreeSet<(Instant, ClientId)>; 2],
}

impl ClientSlots {
    /// Creates slots for `max_connections` connections.
    pub fn new(max_connections: usize) -> ClientSlots {
        ClientSlots {
            max_connections,
            connections: BTreeMap::new(),
            evictable: Default::default(),
        }
    }

    /// Returns whether a slot is free. If none is, asks the connection that can best be spared to close.
    pub fn request_slot(&mut self, now: Instant) -> Availability {
        if self.connections.len() < self.max_connections {
            return Availability::Free;
        }
        for kind in &mut self.evictable {
            let unused = |(since, _): &&(Instant, ClientId)| *since + MIN_UNUSED_TIME <= now;
            if let Some(&(since, client)) = kind.first().filter(unused) {
                // The connection is listed here again by `set_use` if it stays open and becomes evictable again.
                kind.remove(&(since, client));
                if let Some((used, orders)) = self.connections.get_mut(&client) {
                    *used = SlotUse::Busy;
                    let _ = orders.send(ToClient::YieldSlot);
                }
                return Availability::Requested;
            }
        }
        Availability::None
    }

    /// Assigns a slot to a new connection, which is reached by `orders`.
    pub fn open(&mut self, client: ClientId, since: Instant, orders: mpsc::Sender<ToClient>) {
        self.connections.insert(client, (SlotUse::Busy, orders));
        self.set_use(client, SlotUse::Incomplete(since));
    }

    /// Records how a connection uses its slot from now on.
    pub fn set_use(&mut self, client: ClientId, used: SlotUse) {
        let Some((before, _)) = self.connections.get_mut(&client) else {
            return;
        };
        let before = std::mem::replace(before, used);
        if before != used {
            self.remove_evictable(client, before);
            match used {
                SlotUse::Incomplete(since) => self.evictable[0].insert((since, client)),
                SlotUse::Idle(since) => self.evictable[1].insert((since, client)),
                SlotUse::Busy => false,
            };
        }
    }

    fn remove_evictable(&mut self, client: ClientId, used: SlotUse) {
        match used {
            SlotUse::Incomplete(since) => self.evictable[0].remove(&(since, client)),
            SlotUse::Idle(since) => self.evictable[1].remove(&(since, client)),
            SlotUse::Busy => false,
        };
    }

    /// Frees the slot of a closed connection.
    pub fn close(&mut self, client: ClientId) {
        if let Some((used, _)) = self.connections.remove(&client) {
            self.remove_evictable(client, used);
        }
    }
}
