//! One call to the journal service: a long HTTP response of server-sent events.
//!
//! It has no time limit of its own. How long it is awaited is decided in `trailproxy::policy::journal_calls`.

use crate::http::Response;
use crate::sse::{Event, EventParser};
use crate::system_calls::{self, RESOURCE_RETRY_DELAY, Transfer};
use std::future::Future;
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::pin::Pin;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until};

const READ_BYTES: usize = 16 * 1024;

type Connecting = Pin<Box<dyn Future<Output = io::Result<TcpStream>>>>;

/// The connection of a call.
enum Connection {
    Connecting(Connecting),
    Connected(TcpStream),
}

/// What one read has brought.
#[derive(Default)]
pub struct Received {
    /// The events that are whole now.
    pub events: Vec<Event>,
    /// Whether bytes of the stream of events arrived. The head of the response does not count: a service may send it long
    /// before it has anything to tell.
    pub body_arrived: bool,
    /// Whether a line of that stream has ended.
    pub line_ended: bool,
    /// Whether the response has ended by its own length.
    pub is_complete: bool,
}

/// A call, and what has arrived of its response.
pub struct JournalCall {
    address: SocketAddr,
    connection: Connection,
    /// What is left of the request; complete once the connection is there.
    unsent: Vec<u8>,
    response: Response,
    parser: EventParser,
    /// A read or a write that failed for lack of a resource is repeated at this time.
    paused_until: Option<Instant>,
}

impl JournalCall {
    /// Begins to connect to the service.
    pub fn new(address: SocketAddr) -> JournalCall {
        JournalCall {
            address,
            connection: Connection::Connecting(Box::pin(TcpStream::connect(address))),
            unsent: Vec::new(),
            response: Response::default(),
            parser: EventParser::default(),
            paused_until: None,
        }
    }

    /// Waits until something has arrived, and returns it, or why the call has ended. The events after `last_position` are
    /// asked for once the connection is there. Nothing is lost if the wait is given up.
    pub async fn receive(&mut self, last_position: u64) -> Result<Received, String> {
        loop {
            if let Some(until) = self.paused_until {
                sleep_until(until).await;
                self.paused_until = None;
            }
            match &mut self.connection {
                Connection::Connecting(connecting) => {
                    let stream = connecting.await.map_err(reason)?;
                    self.connection = Connection::Connected(stream);
                    self.unsent = request(self.address, last_position);
                }
                Connection::Connected(stream) if !self.unsent.is_empty() => {
                    stream.writable().await.map_err(reason)?;
                    self.write()?;
                }
                Connection::Connected(stream) => {
                    stream.readable().await.map_err(reason)?;
                    if let Some(received) = self.read()? {
                        return Ok(received);
                    }
                }
            }
        }
    }

    /// Returns what the system holds already for this call, if the runtime has not signalled it yet.
    pub async fn receive_present(&mut self) -> Result<Option<Received>, String> {
        let Connection::Connected(stream) = &self.connection else {
            return Ok(None);
        };
        if self.paused_until.is_some() || !self.unsent.is_empty() {
            return Ok(None);
        }
        system_calls::sync_readiness(stream).await;
        self.read()
    }

    /// Writes as much of the request as the connection takes.
    fn write(&mut self) -> Result<(), String> {
        let Connection::Connected(stream) = &self.connection else {
            return Ok(());
        };
        match system_calls::write(stream, &[IoSlice::new(&self.unsent)]) {
            Transfer::Bytes(n) => drop(self.unsent.drain(..n)),
            Transfer::NotReady => {}
            Transfer::ResourceShortage => self.paused_until = Some(retry_time()),
            Transfer::Failed(error) => return Err(reason(error)),
        }
        Ok(())
    }

    /// Reads once; `None` if nothing is there.
    fn read(&mut self) -> Result<Option<Received>, String> {
        let Connection::Connected(stream) = &self.connection else {
            return Ok(None);
        };
        let mut piece = [0; READ_BYTES];
        match system_calls::read(stream, &mut piece) {
            Transfer::Bytes(0) => Err("closed".into()),
            Transfer::Bytes(n) => self.parse(&piece[..n]).map(Some),
            Transfer::NotReady => Ok(None),
            Transfer::ResourceShortage => {
                self.paused_until = Some(retry_time());
                Ok(None)
            }
            Transfer::Failed(error) => Err(reason(error)),
        }
    }

    fn parse(&mut self, piece: &[u8]) -> Result<Received, String> {
        let (mut body, mut received) = (Vec::new(), Received::default());
        self.response
            .feed(piece, &mut body)
            .map_err(|error| error.0.to_owned())?;
        self.parser
            .feed(&body, &mut received.events)
            .map_err(|_| "an event is too long")?;
        received.body_arrived = !body.is_empty();
        received.line_ended = body.iter().any(|byte| matches!(byte, b'\n' | b'\r'));
        received.is_complete = self.response.is_complete();
        Ok(received)
    }
}

fn request(address: SocketAddr, last_position: u64) -> Vec<u8> {
    let request = format!(
        "GET /journal HTTP/1.1\r\nHost: {address}\r\nAccept: text/event-stream\r\n\
         Last-Event-ID: {last_position}\r\n\r\n"
    );
    request.into_bytes()
}

fn reason(error: io::Error) -> String {
    error.to_string()
}

fn retry_time() -> Instant {
    Instant::now() + RESOURCE_RETRY_DELAY
}
