//! The messages of clients that have arrived in part, with the memory that each holds, and which of them gives it up.

use crate::messages::{ClientId, ToClient};
use local_channel::mpsc;
use std::collections::{BTreeMap, BTreeSet};
use tokio::time::Instant;
use trailproxy::policy::memory;
use trailproxy::units::TimeSpan;

/// One incomplete message.
struct IncompleteMessage {
    since: Instant,
    bytes: usize,
    /// The connection on which it arrives.
    connection: mpsc::Sender<ToClient>,
}

/// The incomplete messages of all clients. Each connection has at most one.
#[derive(Default)]
pub struct IncompleteMessages {
    messages: BTreeMap<ClientId, IncompleteMessage>,
    by_age: BTreeSet<(Instant, ClientId)>,
    /// The memory of all of them.
    bytes: usize,
}

impl IncompleteMessages {
    /// The memory that incomplete messages hold.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Records that the message that a client began to send at `since` holds this much memory.
    pub fn hold(
        &mut self,
        client: ClientId,
        since: Instant,
        bytes: usize,
        connection: &mpsc::Sender<ToClient>,
    ) {
        self.remove(client);
        self.by_age.insert((since, client));
        self.bytes += bytes;
        let message = IncompleteMessage {
            since,
            bytes,
            connection: connection.clone(),
        };
        self.messages.insert(client, message);
    }

    /// Forgets the message of a client: it is complete, skipped, or its connection has ended.
    pub fn remove(&mut self, client: ClientId) {
        if let Some(message) = self.messages.remove(&client) {
            self.by_age.remove(&(message.since, client));
            self.bytes -= message.bytes;
        }
    }

    /// Asks the connection with the oldest message to skip it, if that message has been incomplete for long enough.
    pub fn skip_oldest(&mut self, now: Instant) {
        let Some(&(since, client)) = self.by_age.first() else {
            return;
        };
        if may_skip(since, now)
            && let Some(message) = self.messages.get(&client)
        {
            let _ = message.connection.send(ToClient::SkipMessage);
            self.remove(client);
        }
    }
}

/// Whether a message that began at `since` may be skipped for the sake of others.
pub fn may_skip(since: Instant, now: Instant) -> bool {
    let age = now.saturating_duration_since(since);
    memory::may_skip_message(TimeSpan::from_secs_f64(age.as_secs_f64()))
}
