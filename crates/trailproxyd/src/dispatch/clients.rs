//! Events of client connections, and the replies sent to them.

use super::{Client, Dispatch};
use crate::checks::count;
use crate::messages::{ClientId, ClientRequestId, FromClient, Reply, ToClient};
use trailproxy::interface::Event;
use trailproxy::policy::refusals::GiveUpReason;
use trailproxy::units::{RequestId, Timestamp};

impl Dispatch {
    /// Handles one event of a client connection.
    pub(super) fn handle_client(&mut self, now: Timestamp, from: FromClient) {
        match from {
            FromClient::Opened(client, replies) => {
                if self.state.clients_told_to_finish {
                    let _ = replies.send(ToClient::Finish);
                }
                let (proven, half_closed) = (false, false);
                let opened = Client {
                    replies,
                    proven,
                    half_closed,
                };
                self.state.clients.insert(client, opened);
            }
            FromClient::Requested(request) => self.on_request(now, *request),
            FromClient::NotAdmitted(request, class) => {
                count(&self.counts.accesses);
                self.refuse_unread(now, request, class, GiveUpReason::MemoryFull);
            }
            FromClient::Cancelled(request) => self.on_request_cancelled(now, request),
            FromClient::HalfClosed(client) => self.on_client_half_closed(now, client),
            FromClient::Closed(client) => {
                self.state.clients.remove(&client);
                for (request, _) in self.requests_of(client) {
                    self.on_request_cancelled(now, request);
                }
            }
        }
    }

    /// The unanswered requests of one client.
    pub(super) fn requests_of(&self, client: ClientId) -> Vec<(ClientRequestId, RequestId)> {
        let (first, last) = (0, u32::MAX);
        let all = [first, last].map(|number| ClientRequestId { client, number });
        let requests = self.state.client_requests.range(all[0]..=all[1]);
        requests.map(|(&request, &id)| (request, id)).collect()
    }

    /// Handles a client that has closed its side of the connection. It may have gone or may still read; the dispatcher
    /// cannot tell. Attempts that have begun may end and are answered. Nothing new begins: attempts that are not
    /// written yet are cancelled, and a request between two attempts fails.
    pub(super) fn on_client_half_closed(&mut self, now: Timestamp, client: ClientId) {
        if let Some(known) = self.state.clients.get_mut(&client) {
            known.half_closed = true;
        }
        for (_, id) in self.requests_of(client) {
            if !self.cancel_unsent(id) {
                self.answer(now, id, Reply::Failed, "client_shut");
                self.handle_event(now, Event::ClientGone { id });
                self.remove_if_finished(now, id);
            }
        }
    }

    /// The client of a request, while its connection is open.
    pub(super) fn client_of(&self, id: RequestId) -> Option<&Client> {
        let request = self.state.requests.get(&id)?;
        self.state.clients.get(&request.client_request.id.client)
    }

    /// Sends a reply to the client, if it is still connected. A client counts as proven once one of its requests was
    /// served.
    pub(super) fn send_reply(&mut self, request: ClientRequestId, reply: Reply) {
        if let Some(client) = self.state.clients.get_mut(&request.client) {
            client.proven |= matches!(reply, Reply::Served(_) | Reply::NotModified);
            let _ = client.replies.send(ToClient::Reply(request.number, reply));
        }
    }
}
