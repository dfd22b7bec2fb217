//! Client connections: what comes by them, and replies to them.

use super::{Client, Dispatch};
use crate::messages::{CallId, ClientId, FromClient, Reply, ToClient};
use trailproxy::interface::Event;
use trailproxy::units::{RequestId, Timestamp};

impl Dispatch {
    pub(super) fn client(&mut self, now: Timestamp, from: FromClient) {
        match from {
            FromClient::Opened(client, replies) => {
                if self.state.finished {
                    let _ = replies.send(ToClient::Finish);
                }
                let (proven, shut) = (false, false);
                let opened = Client {
                    replies,
                    proven,
                    shut,
                };
                self.state.clients.insert(client, opened);
            }
            FromClient::Called(call) => self.arrived(now, call),
            FromClient::Revoked(call) => self.left(now, call),
            FromClient::Shut(client) => self.shut(now, client),
            FromClient::Closed(client) => {
                self.state.clients.remove(&client);
                for (call, _) in self.calls_of(client) {
                    self.left(now, call);
                }
            }
        }
    }

    pub(super) fn calls_of(&self, client: ClientId) -> Vec<(CallId, RequestId)> {
        let (first, last) = (0, u32::MAX);
        let all = [first, last].map(|number| CallId { client, number });
        let calls = self.state.calls.range(all[0]..=all[1]);
        calls.map(|(&call, &id)| (call, id)).collect()
    }

    /// A client that ends its side may have gone or may still listen; nobody can tell. What is under way may end and is
    /// answered, and nothing begins: what has not begun is recalled, and what was between two attempts ends.
    pub(super) fn shut(&mut self, now: Timestamp, client: ClientId) {
        if let Some(known) = self.state.clients.get_mut(&client) {
            known.shut = true;
        }
        for (_, id) in self.calls_of(client) {
            if !self.recall(id) {
                self.answer(now, id, Reply::Failed, "client_shut");
                self.tell(now, Event::ClientGone { id });
                self.forget(now, id);
            }
        }
    }

    pub(super) fn client_of(&self, id: RequestId) -> Option<&Client> {
        let request = self.state.requests.get(&id)?;
        self.state.clients.get(&request.call.id.client)
    }

    pub(super) fn reply(&mut self, call: CallId, reply: Reply) {
        if let Some(client) = self.state.clients.get_mut(&call.client) {
            client.proven |= matches!(reply, Reply::Served(_) | Reply::Same);
            let _ = client.replies.send(ToClient::Reply(call.number, reply));
        }
    }
}
