//! Requests of which a host has received a part when they end. A host starts a request once it has all of it, so that
//! the rest must not be sent.

#[allow(dead_code, reason = "other test files use the rest")]
mod harness;
#[allow(dead_code, reason = "other test files use the rest")]
mod socket_queues;

use harness::{BlockedHost, Client, Cluster, FinalAnswer, fields, hosts, member, wait_for};
use serde_json::json;
use socket_queues::unread_bytes_from;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// The longest body of a write.
const BODY_BYTES: usize = 48_000;
/// How long clients wait for an answer: longer than any test.
const ALLOWED_MS: u64 = 60_000;
/// How long the client of a request waits that ends while it is written.
const SHORT_ALLOWED_MS: u64 = 1_000;
/// The descriptors with which a daemon has one connection to a host: half are for clients, and 20 are reserved.
const DESCRIPTORS: u64 = 42;
/// A write that has not continued for this long has filled the buffers of the systems.
const SETTLING_TIME: Duration = Duration::from_millis(200);
/// How many daemons are started until the systems hold as many writes as at the last.
const MAX_TRIES: usize = 20;
/// What a host's system holds for a connection that the host does not read.
const RECEIVE_BUFFER_BYTES: usize = 8 * 1024;
/// The segments of a network with tunnels. Those of the loopback interface are so long that the systems hold megabytes.
const SEGMENT_BYTES: u32 = 1_200;

/// A host that does not read its connection until it is told to.
struct HungHost {
    listener: TcpListener,
}

impl HungHost {
    fn new() -> HungHost {
        let tcp = socket2::Type::STREAM;
        let socket = socket2::Socket::new(socket2::Domain::IPV4, tcp, None).expect("a socket");
        socket.set_tcp_mss(SEGMENT_BYTES).expect("an option");
        socket
            .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
            .expect("an option");
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        socket.bind(&any.into()).expect("a port");
        socket.listen(8).expect("a listener");
        HungHost {
            listener: socket.into(),
        }
    }

    /// Starts a cluster of which this is the only host, with one connection to it.
    fn start_cluster(&self) -> Cluster {
        let address = self.listener.local_addr().expect("an address");
        Cluster::with_config(|config, _| {
            config["limits"]["sockets"] = json!(DESCRIPTORS);
            let origin = member("o1", address, "ready", 0);
            config["known"]["entries"] = json!([hosts(1, true, &[origin])]);
            for class in config["settings"]["classes"]
                .as_array_mut()
                .expect("classes")
            {
                class["on_time_us"] = json!(ALLOWED_MS * 1_000);
                class["hard_limit_us"] = json!(ALLOWED_MS * 1_000);
            }
        })
    }

    fn accept(&self) -> TcpStream {
        self.listener.accept().expect("a connection").0
    }

    /// Reads the connection from now on, and any later one.
    fn resume(self, stream: &TcpStream, cluster: &Cluster) {
        let messages = cluster.messages_in.clone();
        BlockedHost::read_from("o1", stream, &messages);
        std::thread::spawn(move || {
            for stream in self.listener.incoming().flatten() {
                BlockedHost::read_from("o1", &stream, &messages);
            }
        });
    }
}

/// Sends a write for an object, and returns its number.
fn send_write(client: &mut Client, object: u64, allowed_ms: u64) -> u64 {
    client.request_with("order", fields(object, allowed_ms), &[7; BODY_BYTES])
}

/// Waits until the systems take no more from this address of the daemon, and returns how much they hold.
fn settled_bytes(daemon: SocketAddr, before: u64) -> u64 {
    wait_for("a request is written at least in part", || {
        unread_bytes_from(daemon) > before
    });
    let (mut held, mut since) = (unread_bytes_from(daemon), Instant::now());
    while since.elapsed() < SETTLING_TIME {
        std::thread::sleep(Duration::from_millis(5));
        let now = unread_bytes_from(daemon);
        if now != held {
            (held, since) = (now, Instant::now());
        }
    }
    held
}

/// Writes of which the host's connection holds all but the last whole.
struct HeldWrites {
    cluster: Cluster,
    client: Client,
    host: HungHost,
    connection: TcpStream,
    /// The numbers of the whole writes, by the order in which they were sent.
    whole: Vec<u64>,
    /// The number of the write of which the systems hold a part.
    partial: u64,
}

impl HeldWrites {
    /// Sends writes until the systems hold only a part of the last one. `allowed_ms` tells how long the client waits for
    /// each, by its place.
    fn new(allowed_ms: impl Fn(usize) -> u64) -> HeldWrites {
        let host = HungHost::new();
        let cluster = host.start_cluster();
        let mut client = cluster.client();
        let mut whole = Vec::new();
        let mut connection = None;
        let mut held = 0;
        loop {
            let number = send_write(&mut client, whole.len() as u64, allowed_ms(whole.len()));
            let connection = connection.get_or_insert_with(|| host.accept());
            let before = held;
            held = settled_bytes(connection.peer_addr().expect("an address"), before);
            if held - before >= BODY_BYTES as u64 {
                whole.push(number);
                continue;
            }
            return HeldWrites {
                connection: connection.try_clone().expect("a clone"),
                partial: number,
                cluster,
                client,
                host,
                whole,
            };
        }
    }

    /// Sends writes until the systems hold only a part of the last one, which has little time. How many the systems hold is
    /// not always the same, so that this may take several daemons.
    fn with_short_partial() -> HeldWrites {
        let mut expected = None;
        for _ in 0..MAX_TRIES {
            let writes = HeldWrites::new(|place| match Some(place) == expected {
                true => SHORT_ALLOWED_MS,
                false => ALLOWED_MS,
            });
            if Some(writes.whole.len()) == expected {
                return writes;
            }
            expected = Some(writes.whole.len());
        }
        panic!("the systems never hold as many writes as before");
    }

    /// Lets the host go on. Requires that it gets the whole writes, whose answers arrive, and that the rest of the partial
    /// one never comes; then that the host is used again.
    fn assert_partial_write_is_not_completed(self) {
        let HeldWrites {
            cluster,
            mut client,
            host,
            connection,
            whole,
            ..
        } = self;
        let is_whole = |request: &harness::HostMessage| request.body.len() == BODY_BYTES;
        host.resume(&connection, &cluster);
        for &number in &whole {
            let request = cluster.next_request();
            assert!(is_whole(&request));
            request.answer_hit(b"kept");
            assert_eq!(client.next_answer(), (number, FinalAnswer::done(b"kept")));
        }
        let until = Instant::now() + Duration::from_secs(1);
        while let Some(request) =
            cluster.next_request_within(until.saturating_duration_since(Instant::now()))
        {
            assert!(
                !is_whole(&request),
                "the host received the rest of {} after its end",
                request.id
            );
        }
        let number = send_write(&mut client, 1_000, ALLOWED_MS);
        cluster.next_request().answer_hit(b"later");
        assert_eq!(client.next_answer(), (number, FinalAnswer::done(b"later")));
    }
}

/// A client revokes a request of which a part was written 0.2 s ago, to a host that reads nothing. Guards against sending
/// the rest when the host goes on, and against ending the connection with the whole requests before it: their answers are
/// lost.
#[test]
fn a_revoked_request_is_not_completed() {
    let mut writes = HeldWrites::new(|_| ALLOWED_MS);
    writes.client.revoke(writes.partial);
    writes.client.request_with("heartbeat", vec![], &[]);
    writes.client.next_answer();
    std::thread::sleep(Duration::from_millis(300));
    writes.assert_partial_write_is_not_completed();
}

/// The time of a request ends while a part of it is written, to a host that reads nothing. Guards against sending the rest
/// when the host goes on: the client was told that it may try again, and its change would be made twice.
#[test]
fn a_request_that_was_answered_at_its_deadline_is_not_completed() {
    let mut writes = HeldWrites::with_short_partial();
    let (number, answer) = writes.client.next_answer();
    assert_eq!(number, writes.partial);
    assert!(!answer.is_done());
    std::thread::sleep(Duration::from_millis(300));
    writes.assert_partial_write_is_not_completed();
}
