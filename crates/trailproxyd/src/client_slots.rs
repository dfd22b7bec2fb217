//! The places that clients hold: how each is used, and who gives one up to a newcomer.

use crate::messages::{ClientId, ToClient};
use local_channel::mpsc;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

/// What is newer is left alone: its first words, or its next, may be on their way.
const SETTLED: Duration = Duration::from_millis(100);

/// How a connection uses its place, and since when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Use {
    /// No whole message has come yet, or the next one has begun and is not whole.
    Unsaid(Instant),
    /// Nothing is asked and nothing owed.
    Idle(Instant),
    Busy,
}

/// Whether a newcomer finds a place.
pub enum Room {
    Free,
    /// Somebody is about to leave.
    Asked,
    None,
}

pub struct Slots {
    most: usize,
    held: BTreeMap<ClientId, (Use, mpsc::Sender<ToClient>)>,
    /// Those that may be asked to leave: the ones that have said nothing, and the idle ones.
    yielding: [BTreeSet<(Instant, ClientId)>; 2],
}

impl Slots {
    pub fn new(most: usize) -> Slots {
        Slots {
            most,
            held: BTreeMap::new(),
            yielding: Default::default(),
        }
    }

    /// Whether there is a free one; if not, whoever can spare one best is asked to leave.
    pub fn free(&mut self, now: Instant) -> Room {
        if self.held.len() < self.most {
            return Room::Free;
        }
        for kind in &mut self.yielding {
            let settled = |(since, _): &&(Instant, ClientId)| *since + SETTLED <= now;
            if let Some(&(since, client)) = kind.first().filter(settled) {
                // It comes back here if it turns out to be of use.
                kind.remove(&(since, client));
                if let Some((used, orders)) = self.held.get_mut(&client) {
                    *used = Use::Busy;
                    let _ = orders.send(ToClient::YieldSlot);
                }
                return Room::Asked;
            }
        }
        Room::None
    }

    pub fn open(&mut self, client: ClientId, since: Instant, orders: mpsc::Sender<ToClient>) {
        self.held.insert(client, (Use::Busy, orders));
        self.note(client, Use::Unsaid(since));
    }

    pub fn note(&mut self, client: ClientId, used: Use) {
        let Some((before, _)) = self.held.get_mut(&client) else {
            return;
        };
        let before = std::mem::replace(before, used);
        if before != used {
            self.strike(client, before);
            match used {
                Use::Unsaid(since) => self.yielding[0].insert((since, client)),
                Use::Idle(since) => self.yielding[1].insert((since, client)),
                Use::Busy => false,
            };
        }
    }

    fn strike(&mut self, client: ClientId, used: Use) {
        match used {
            Use::Unsaid(since) => self.yielding[0].remove(&(since, client)),
            Use::Idle(since) => self.yielding[1].remove(&(since, client)),
            Use::Busy => false,
        };
    }

    pub fn close(&mut self, client: ClientId) {
        if let Some((used, _)) = self.held.remove(&client) {
            self.strike(client, used);
        }
    }
}
