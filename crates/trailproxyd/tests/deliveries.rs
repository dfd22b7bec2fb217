//! Answers that are written, but still on their way to a slow client, arrive whole whatever happens to idle connections.

#[allow(dead_code, reason = "other test files use the rest")]
mod harness;
#[allow(dead_code, reason = "other test files use the rest")]
mod socket_queues;

use harness::{Client, Cluster, FinalAnswer, wait_for};
use serde_json::json;
use socket_queues::{undelivered_bytes, unread_bytes};
use std::io::Write;

/// The longest object.
const OBJECT_BYTES: u64 = 240_000;
/// More than a client's system receives while the client does not read, and less than the daemon's system takes.
const OBJECTS: u64 = 5;
/// How long the client waits for its objects: longer than any test.
const ALLOWED_MS: u64 = 60_000;

/// Starts a daemon with this many descriptors, whose clients wait for long.
fn patient_cluster(descriptors: u64) -> Cluster {
    Cluster::with_config(|config, _| {
        config["limits"]["sockets"] = json!(descriptors);
        for class in config["settings"]["classes"]
            .as_array_mut()
            .expect("classes")
        {
            class["on_time_us"] = json!(ALLOWED_MS * 1_000);
            class["hard_limit_us"] = json!(ALLOWED_MS * 1_000);
        }
    })
}

/// Sends a request and answers it at its host.
fn ask(cluster: &Cluster, client: &mut Client, object: u64, body: &[u8]) {
    client.request("image", object, ALLOWED_MS);
    cluster.next_request().answer_hit(body);
}

/// A client that has not read its answers yet. The daemon has written all of them, and its system has not delivered them.
fn client_with_answers_on_their_way(cluster: &Cluster) -> Client {
    let mut client = cluster.client();
    for object in 0..OBJECTS {
        ask(
            cluster,
            &mut client,
            object,
            &vec![object as u8; OBJECT_BYTES as usize],
        );
    }
    let address = client.stream.local_addr().expect("an address");
    wait_for("all answers are written", || {
        let written = unread_bytes(address) + undelivered_bytes(address);
        written >= OBJECTS * OBJECT_BYTES
    });
    assert!(
        undelivered_bytes(address) > 0,
        "the system received them all"
    );
    client
}

/// Requires that the client gets each of its answers whole, and then one to another request.
fn assert_answers_arrive(cluster: &Cluster, mut client: Client) {
    // A request that reaches a closed connection is answered by a reset, which drops what is on its way.
    ask(cluster, &mut client, OBJECTS, b"another");
    for object in 0..OBJECTS {
        let body = vec![object as u8; OBJECT_BYTES as usize];
        assert_eq!(client.next_answer().1, FinalAnswer::done(&body));
    }
    assert_eq!(client.next_answer().1, FinalAnswer::done(b"another"));
}

/// More clients come than there are slots. Guards against taking a connection for idle while its answers are on their way,
/// and closing it for a new client: its next request would reset it.
#[test]
fn a_connection_with_answers_on_their_way_is_not_closed_for_a_new_client() {
    const DESCRIPTORS: u64 = 64;
    let cluster = patient_cluster(DESCRIPTORS);
    let slow = client_with_answers_on_their_way(&cluster);
    // Each is answered, so that it has a slot: at last that of the connection that is idle for the longest time.
    let others: Vec<Client> = (0..DESCRIPTORS)
        .map(|object| {
            let mut client = cluster.client();
            ask(&cluster, &mut client, 100 + object, b"x");
            assert_eq!(client.next_answer().1, FinalAnswer::done(b"x"));
            client
        })
        .collect();
    assert_answers_arrive(&cluster, slow);
    drop(others);
}

/// A client does not read for longer than a connection may be idle. Guards against closing its connection as idle while its
/// answers are on their way.
#[test]
fn a_connection_with_answers_on_their_way_is_not_closed_as_idle() {
    let cluster = patient_cluster(1024);
    let slow = client_with_answers_on_their_way(&cluster);
    let mut idle = cluster.client();
    ask(&cluster, &mut idle, 100, b"x");
    assert_eq!(idle.next_answer().1, FinalAnswer::done(b"x"));
    assert!(idle.is_closed(), "its end is read");
    // What is sent now is passed over, until the connection is closed on both sides.
    wait_for("an idle connection is closed", || {
        idle.stream.write_all(b"x").is_err()
    });
    assert_answers_arrive(&cluster, slow);
}

/// The program is asked to end. Guards against ending the side of a client's connection while its answers are on their way:
/// the client learns of the end behind them, and what it sends until then would be passed over.
#[test]
fn a_connection_with_answers_on_their_way_is_not_ended_at_exit() {
    let mut cluster = patient_cluster(1024);
    let slow = client_with_answers_on_their_way(&cluster);
    let mut idle = cluster.client();
    ask(&cluster, &mut idle, 100, b"x");
    assert_eq!(idle.next_answer().1, FinalAnswer::done(b"x"));
    cluster.program.signal("-TERM");
    assert!(idle.is_closed(), "idle connections are ended");
    drop(idle);
    assert_answers_arrive(&cluster, slow);
    assert!(cluster.program.wait_for_exit().success());
}
