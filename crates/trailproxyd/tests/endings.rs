//! Tests of what ends while requests are open: a client, a connection to a host, the process, or the call to the journal
//! service. Each test forces the order of events that is critical; `docs/endings.md` lists the paths.

#[allow(dead_code, reason = "other test files use the rest")]
mod harness;

use harness::*;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

/// A client that has closed counts as gone after this time. Nothing may start for it from then on.
const CLIENT_GONE_TIMEOUT: Duration = Duration::from_millis(100);

/// Starts a cluster whose cache c1 is blocked: requests to it wait until its connections are established.
fn cluster_with_blocked_c1(change: impl FnOnce(&mut Value)) -> (Cluster, BlockedHost) {
    let blocked_host = BlockedHost::new();
    let address = blocked_host.address;
    let cluster = Cluster::with_config(|config, _| {
        config["settings"]["ceilings"]["dial_timeout_us"] = json!(60_000_000);
        for member in members(config) {
            if member["id"] == "c1" {
                member["host_port"] = json!(address.to_string());
            }
        }
        change(config);
    });
    (cluster, blocked_host)
}

/// The host list in the configuration.
fn members(config: &mut Value) -> &mut Vec<Value> {
    let members = config["known"]["entries"][0]["hosts"]["members"].as_array_mut();
    members.expect("members")
}

/// Waits until the daemon has read what all clients sent before.
fn wait_until_read(client: &mut Client) {
    for _ in 0..3 {
        client.request_with("heartbeat", vec![], &[]);
        assert_eq!(client.next_answer().1, FinalAnswer::done(&[1]));
    }
}

/// Waits until clients that have closed count as gone and the daemon has noticed that.
fn wait_until_gone(client: &mut Client) {
    std::thread::sleep(CLIENT_GONE_TIMEOUT);
    wait_until_read(client);
}

/// Closes a client's connection with a reset.
fn reset(client: Client) {
    let socket = socket2::SockRef::from(&client.stream);
    let lingers = socket.set_linger(Some(Duration::ZERO));
    lingers.expect("a reset at the close");
}

/// Waits for the next request at a host, which must be for this object.
fn next_request_for(cluster: &Cluster, object: u64) -> HostMessage {
    let request = cluster.next_request();
    let name = format!("{object:016x}");
    assert_eq!(
        request.field("name"),
        Some(name.as_str()),
        "the first request to arrive"
    );
    request
}

/// Sends a request by a new client, and checks that it is the next one at a host.
fn assert_next_request(cluster: &Cluster, object: u64) {
    let mut other = cluster.client();
    other.request("image", object, 9000);
    next_request_for(cluster, object).answer_hit(b"other");
    assert_eq!(other.next_answer().1, FinalAnswer::done(b"other"));
}

/// Clients reset, close or revoke while their requests wait for a connection to a host. Guards against starting such a
/// request once the connection is established.
#[test]
fn requests_waiting_for_a_connection_are_dropped_when_the_client_leaves_or_revokes() {
    let at_c1 = objects_first_at("c1");
    for cancel in [false, true] {
        let (cluster, blocked_host) = cluster_with_blocked_c1(|config| {
            config["settings"]["ceilings"]["cancel"] = json!(cancel)
        });
        let (mut resets, mut closes, mut revokes) =
            (cluster.client(), cluster.client(), cluster.client());
        let mut other = cluster.client();
        resets.request("image", at_c1[0], 9000);
        closes.request("image", at_c1[0], 9000);
        let number = revokes.request("image", at_c1[0], 9000);
        wait_until_read(&mut other);
        reset(resets);
        drop(closes);
        revokes.revoke(number);
        wait_until_gone(&mut other);
        // This request waits behind the others for the same connections.
        other.request("image", at_c1[1], 9000);
        wait_until_read(&mut other);
        blocked_host.unblock("c1", cluster.messages_in.clone());
        next_request_for(&cluster, at_c1[1]).answer_hit(b"other");
        assert_eq!(other.next_answer().1, FinalAnswer::done(b"other"));
        assert_next_request(&cluster, at_c1[2]);
    }
}

/// Returns a client that has closed its sending direction while its request was at a host, and that request.
fn half_closed_client(cluster: &Cluster, class: &str) -> (Client, HostMessage) {
    let (mut closing, mut other) = (cluster.client(), cluster.client());
    closing.request(class, 7, 9000);
    let request = cluster.next_request();
    let ended = closing.stream.shutdown(Shutdown::Write);
    ended.expect("a half-close");
    wait_until_gone(&mut other);
    (closing, request)
}

/// A client closes its sending direction, and then its attempt fails. Guards against a second attempt for a client that
/// has gone.
#[test]
fn no_further_attempt_starts_for_a_client_that_has_closed() {
    let cluster = Cluster::new();
    let (mut closing, first) = half_closed_client(&cluster, "image");
    first.close();
    // The client may still read, so it gets its final answer.
    assert!(closing.next_answer().1.is_error("Broken"));
    assert!(closing.is_closed());
    assert_next_request(&cluster, 8);
}

/// Guards against dropping the answer of a client that only closed its sending direction.
#[test]
fn an_attempt_in_flight_is_answered_after_a_half_close() {
    let cluster = Cluster::new();
    let (mut closing, first) = half_closed_client(&cluster, "order");
    first.answer("data", "tag=aa,minted=1", b"kept");
    assert_eq!(closing.next_answer().1, FinalAnswer::done(b"kept"));
    assert!(closing.is_closed());
}

/// The process reads a request and the close behind it at once. Guards against dating the close back to when the client
/// connected, as if it had gone long ago.
#[test]
fn a_late_request_with_an_immediate_half_close_is_answered() {
    let cluster = Cluster::new();
    let (mut late, mut other) = (cluster.client(), cluster.client());
    // Clients get their slots in the order in which they connect: the silent one has had its slot for a while.
    wait_until_read(&mut other);
    wait_until_gone(&mut other);
    // The daemon reads the request and the close behind it at once.
    cluster.program.signal("-STOP");
    late.request("image", 7, 3000);
    late.stream.shutdown(Shutdown::Write).expect("a half-close");
    cluster.program.signal("-CONT");
    cluster.next_request().answer_hit(b"x");
    assert_eq!(late.next_answer().1, FinalAnswer::done(b"x"));
    assert!(late.is_closed());
}

/// Starts a cluster with few connection slots, all of them taken by clients that wait for answers.
fn cluster_without_free_slots() -> (Cluster, Vec<Client>, Vec<HostMessage>) {
    let cluster = Cluster::with_config(|config, _| config["limits"]["sockets"] = json!(64));
    let mut taken = Vec::new();
    let mut held = Vec::new();
    for object in 0..32 {
        let mut client = cluster.client();
        client.request("order", object, 20_000);
        held.push(cluster.next_request());
        taken.push(client);
    }
    (cluster, taken, held)
}

/// Clients send a request and leave while they wait for a connection slot. Guards against starting the request when
/// they get the slot.
#[test]
fn a_request_whose_client_left_while_waiting_for_a_slot_is_not_sent() {
    let (cluster, mut taken, held) = cluster_without_free_slots();
    let (mut closes, mut resets) = (cluster.client(), cluster.client());
    closes.request("image", 100, 9000);
    resets.request("image", 101, 9000);
    drop(closes);
    reset(resets);
    let mut stays = cluster.client();
    stays.request("image", 102, 9000);
    wait_until_gone(&mut taken[1]);
    // One slot becomes free, and all three get it in turn.
    held[0].answer_hit(b"x");
    assert_eq!(taken[0].next_answer().1, FinalAnswer::done(b"x"));
    drop(taken.remove(0));
    next_request_for(&cluster, 102).answer_hit(b"stays");
    assert_eq!(stays.next_answer().1, FinalAnswer::done(b"stays"));
}

/// A client does not read its answers and revokes other requests. Guards against not reading from it until its answers
/// are written, which would start revoked requests.
#[test]
fn revocations_are_read_although_answers_are_not() {
    let (at_c1, at_c2) = (objects_first_at("c1"), objects_first_at("c2"));
    let (cluster, blocked_host) = cluster_with_blocked_c1(|_| {});
    let mut slow_reader = cluster.client();
    let socket = socket2::SockRef::from(&slow_reader.stream);
    socket.set_recv_buffer_size(4096).expect("a small buffer");
    // Large answers, over 6 MB, fill the system's buffers for the client. Small ones follow, as many as may be open however
    // many of the large ones were written.
    for object in at_c2.into_iter().cycle().take(28) {
        slow_reader.request("image", object, 20_000);
        cluster.next_request().answer_hit(&[7; 240_000]);
    }
    let waiting = [0, 1].map(|_| slow_reader.request("image", at_c1[0], 20_000));
    for _ in 0..32 {
        slow_reader.request_with("nonsense", vec![], &[]);
    }
    waiting
        .iter()
        .for_each(|&number| slow_reader.revoke(number));
    let mut other = cluster.client();
    wait_until_read(&mut other);
    wait_until_gone(&mut other);
    other.request("image", at_c1[1], 9000);
    wait_until_read(&mut other);
    blocked_host.unblock("c1", cluster.messages_in.clone());
    next_request_for(&cluster, at_c1[1]);
}

/// A connection closes while a further request waiting. Guards against assigning the request to it before the close is
/// handled: nothing would end that request.
#[test]
fn a_waiting_request_is_not_assigned_to_a_closed_connection() {
    let at_c1 = objects_first_at("c1");
    let (cluster, mut blocked_host) = cluster_with_blocked_c1(|config| {
        config["settings"]["ceilings"]["dial_timeout_us"] = json!(400_000);
    });
    blocked_host.admit_one();
    let (mut client, mut other) = (cluster.client(), cluster.client());
    client.request("image", at_c1[0], 9000);
    BlockedHost::read_from("c1", &blocked_host.accept(), &cluster.messages_in);
    blocked_host.block();
    let first = cluster.next_request();
    client.request("image", at_c1[0], 9000);
    let second = cluster.next_request();
    assert_eq!(first.peer(), second.peer(), "two to a connection");
    // The third waits for a connection of its own, which is never established.
    client.request("image", at_c1[0], 9000);
    wait_until_read(&mut other);
    first.close();
    for _ in 0..3 {
        let request = cluster.next_request();
        assert_eq!(request.host, "c2");
        request.answer_hit(b"x");
    }
    for _ in 0..3 {
        assert_eq!(client.next_answer().1, FinalAnswer::done(b"x"));
    }
}

/// A host sends half an answer and pauses. Guards against new requests on that connection, whose answers would wait,
/// and against losing the answer that completes later.
#[test]
fn nothing_new_is_sent_behind_a_partial_answer_which_may_still_complete() {
    let cluster = Cluster::with_config(|config, _| {
        config["settings"]["ceilings"]["dial_timeout_us"] = json!(100_000);
    });
    let (mut client, mut other) = (cluster.client(), cluster.client());
    client.request("image", 7, 9000);
    let first = cluster.next_request();
    let whole = format!(
        "*4\r\n$16\r\n{}\r\n$4\r\ndata\r\n$1\r\n-\r\n$4\r\nlast\r\n",
        first.id
    );
    let (half, rest) = whole.as_bytes().split_at(40);
    (&first.stream).write_all(half).expect("half an answer");
    // The host pauses for longer than the dial timeout.
    std::thread::sleep(Duration::from_millis(250));
    wait_until_read(&mut other);
    other.request("image", 7, 9000);
    let second = cluster.next_request();
    assert_ne!((first.host, first.peer()), (second.host, second.peer()));
    second.answer_hit(b"x");
    assert_eq!(other.next_answer().1, FinalAnswer::done(b"x"));
    (&first.stream).write_all(rest).expect("the other half");
    assert_eq!(client.next_answer().1, FinalAnswer::done(b"last"));
}

/// A host answers a request twice in one packet. Guards against two answers to the client.
#[test]
fn a_doubled_answer_is_passed_on_once() {
    let cluster = Cluster::new();
    let mut client = cluster.client();
    let number = client.request("image", 7, 3000);
    let request = cluster.next_request();
    let one = |body: &str| {
        format!(
            "*4\r\n$16\r\n{}\r\n$4\r\ndata\r\n$1\r\n-\r\n$1\r\n{body}\r\n",
            request.id
        )
    };
    let both = one("a") + &one("b");
    (&request.stream)
        .write_all(both.as_bytes())
        .expect("two answers");
    assert_eq!(client.next_answer(), (number, FinalAnswer::done(b"a")));
    let number = client.request("image", 8, 3000);
    cluster.next_request().answer_hit(b"x");
    assert_eq!(client.next_answer(), (number, FinalAnswer::done(b"x")));
}

/// A host moves to another address while it is dialled. Guards against using the connection to the former address,
/// where another host may be.
#[test]
fn a_late_connection_to_the_former_address_of_a_host_is_not_used() {
    let at_c1 = objects_first_at("c1");
    let (cluster, blocked_host) = cluster_with_blocked_c1(|_| {});
    let (mut client, mut journal) = (cluster.client(), cluster.next_journal_call());
    client.request("image", at_c1[0], 9000);
    wait_until_read(&mut client);
    // The host moves to the address that c2 had. Requests at another origin show that the list was applied.
    let (there, by) = (cluster.addresses["c2"], cluster.addresses["p1"]);
    let gone = ["c2", "o1"].map(|id| member(id, cluster.addresses[id], "gone", 0));
    let arrived = [
        member("c1", there, "ready", 0),
        member("o9", by, "ready", 0),
    ];
    journal.send(&hosts(2, false, &[gone, arrived].concat()));
    let mut other = cluster.client();
    wait_for("the list is applied", || {
        other.request("order", 7, 3000);
        let request = cluster.next_request();
        request.answer("data", "tag=aa,minted=1", b"x");
        assert!(other.next_answer().1.is_done());
        request.host == "p1"
    });
    blocked_host.unblock("former", cluster.messages_in.clone());
    let request = cluster.next_request();
    assert_eq!(request.host, "c2", "the simulated host at the new address");
    request.answer_hit(b"x");
    assert_eq!(client.next_answer().1, FinalAnswer::done(b"x"));
}

/// SIGTERM arrives while one client waits for a host and another one is idle. Guards against closing the idle one only
/// after the other is answered.
#[test]
fn idle_clients_are_closed_at_exit_while_others_wait() {
    let mut cluster = Cluster::new();
    let (mut waiting, mut idle) = (cluster.client(), cluster.client());
    wait_until_read(&mut idle);
    waiting.request("order", 7, 3000);
    let request = cluster.next_request();
    cluster.program.signal("-TERM");
    assert!(idle.is_closed(), "by a half-close");
    // The daemon no longer acts on what this client sends: otherwise it would owe an answer.
    idle.request("image", 8, 3000);
    request.answer("data", "tag=aa,minted=1", b"kept");
    assert_eq!(waiting.next_answer().1, FinalAnswer::done(b"kept"));
    assert!(waiting.is_closed());
    drop((waiting, idle));
    assert!(cluster.program.wait_for_exit().success());
    assert!(cluster.next_request_within(Duration::ZERO).is_none());
}

/// All slots are taken and further clients wait in the backlog when SIGTERM arrives. Guards against closing the
/// listener over them, which would reset their connections.
#[test]
fn clients_in_the_backlog_are_answered_at_exit() {
    let (mut cluster, mut taken, held) = cluster_without_free_slots();
    let mut late: Vec<Client> = (0..3).map(|_| cluster.client()).collect();
    for (object, client) in (100..).zip(&mut late) {
        client.request("image", object, 9000);
    }
    cluster.program.signal("-TERM");
    // Once the first of them is closed, only clients that were in the backlog are accepted.
    held[0].answer_hit(b"x");
    assert!(taken[0].next_answer().1.is_done());
    assert!(taken[0].is_closed());
    drop(taken.remove(0));
    // One after another gets the slot that is free.
    for client in late {
        let request = cluster.next_request();
        request.answer_hit(b"late");
        let mut client = client;
        assert_eq!(client.next_answer().1, FinalAnswer::done(b"late"));
        assert!(client.is_closed());
    }
    held.iter()
        .skip(1)
        .for_each(|request| request.answer_hit(b"x"));
    for mut client in taken {
        assert!(client.next_answer().1.is_done());
        assert!(client.is_closed());
    }
    assert!(cluster.program.wait_for_exit().success());
}

/// Guards against a signal that is lost, or that kills the process, while the configuration is read.
#[test]
fn a_signal_to_end_during_the_start_exits_in_order() {
    let cluster = Cluster::new();
    for signal in ["-TERM", "-INT"] {
        let (mut program, mut pipe) = Program::spawn_with_pipe(&cluster.config, free_address());
        program.signal(signal);
        pipe.write_all(cluster.config.to_string().as_bytes())
            .expect("read");
        drop(pipe);
        assert_eq!(program.wait_for_exit().code(), Some(0), "{signal}");
    }
}

/// Guards against a SIGHUP that is lost, or that kills the process, while the configuration is read.
#[test]
fn sighup_during_the_start_is_handled_after_it() {
    let cluster = Cluster::new();
    let address = free_address();
    let (mut program, mut pipe) = Program::spawn_with_pipe(&cluster.config, address);
    program.signal("-HUP");
    pipe.write_all(cluster.config.to_string().as_bytes())
        .expect("read");
    drop(pipe);
    wait_for("the daemon listens", || TcpStream::connect(address).is_ok());
    program.write_config(&cluster.config.to_string());
    wait_for("the configuration is read again", || {
        program.log_contains("configuration read again")
    });
    let mut client = Client::new(address);
    client.request("image", 7, 3000);
    cluster.next_request().answer_hit(b"x");
    assert_eq!(client.next_answer().1, FinalAnswer::done(b"x"));
    program.signal("-TERM");
    drop(client);
    assert!(program.wait_for_exit().success());
}

/// The configuration is read again, first a bad one, while the process ends. Guards against losing open requests.
#[test]
fn sighup_during_the_exit_keeps_open_requests() {
    let mut cluster = Cluster::new();
    let mut client = cluster.client();
    client.request("order", 7, 3000);
    let request = cluster.next_request();
    cluster.program.signal("-TERM");
    cluster.program.reload_config("{\"half\": ");
    wait_for("the configuration is refused", || {
        cluster.program.log_contains("new configuration refused")
    });
    cluster.program.reload_config(&cluster.config.to_string());
    wait_for("the configuration is read again", || {
        cluster.program.log_contains("configuration read again")
    });
    request.answer("data", "tag=aa,minted=1", b"kept");
    assert_eq!(client.next_answer().1, FinalAnswer::done(b"kept"));
    assert!(client.is_closed());
    drop(client);
    assert!(cluster.program.wait_for_exit().success());
}

/// A client sends a request at the moment at which its idle connection is closed. Guards against a reset, which would
/// also lose answers in transit.
#[test]
fn a_request_that_crosses_an_idle_close_is_not_reset() {
    let cluster = Cluster::new();
    let mut idle = cluster.client();
    wait_until_read(&mut idle);
    assert!(idle.is_closed(), "closed as idle");
    let mut other = cluster.client();
    // What the client sends now is read and ignored. A reset would lose answers in transit.
    idle.request("image", 0, 3000);
    wait_until_read(&mut other);
    let error = idle.stream.take_error().expect("a socket");
    assert!(error.is_none(), "{error:?}");
    assert_next_request(&cluster, 9);
}

/// A client names a deadline of an hour. Guards against remembering the ids of all later requests for as long.
#[test]
fn a_long_deadline_does_not_extend_the_memory_of_other_request_ids() {
    let cluster = Cluster::with_config(|config, _| {
        let classes = config["settings"]["classes"].as_array_mut();
        let classes = classes.expect("classes").iter_mut();
        classes.for_each(|class| class["hard_limit_us"] = json!(200_000));
    });
    let mut client = cluster.client();
    client.request("image", 7, 3_600_000);
    cluster.next_request().answer_hit(b"x");
    assert!(client.next_answer().1.is_done());
    // An id that is no longer remembered may be used again.
    let again = fields(8, 200);
    client.request_with("image", again.clone(), &[]);
    cluster.next_request().answer_hit(b"x");
    assert!(client.next_answer().1.is_done());
    wait_for("the id is forgotten", || {
        client.request_with("image", again.clone(), &[]);
        let request = cluster.next_request_within(Duration::from_millis(50));
        request.iter().for_each(|request| request.answer_hit(b"x"));
        client.next_answer().1.is_done()
    });
}

/// A change has run, its client has left, and many other requests have ended since. Guards against forgetting its id for
/// them: under the same id it would run again.
#[test]
fn a_change_does_not_run_again_under_its_id_after_many_other_requests() {
    const MAX_OPEN: u64 = 100;
    let cluster = Cluster::with_config(|config, _| {
        config["settings"]["ceilings"]["max_open"] = json!(MAX_OPEN);
    });
    let change = fields(7, 3000);
    let mut client = cluster.client();
    client.request_with("order", change.clone(), &[]);
    cluster.next_request().answer_hit(b"x");
    assert!(client.next_answer().1.is_done());
    drop(client);
    let mut others = cluster.client();
    for object in 0..2 * MAX_OPEN {
        others.request("image", 100 + object, 3000);
        cluster.next_request().answer_hit(b"x");
        assert!(others.next_answer().1.is_done());
    }
    let mut client = cluster.client();
    client.request_with("order", change, &[]);
    let started = cluster.next_request_within(Duration::from_millis(300));
    assert!(started.is_none(), "it ran twice");
    assert!(client.next_answer().1.is_error("Broken"));
}

/// Starts a journal service that closes every call at once, and passes on when calls were made.
fn closing_journal_service() -> (SocketAddr, Receiver<Instant>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (calls_in, calls) = channel();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            drop(stream);
            if calls_in.send(Instant::now()).is_err() {
                return;
            }
        }
    });
    (address, calls)
}

/// The journal service closes every call at once. Guards against calls at a constant rate or in step with other
/// dispatchers, which would overload a service that comes back.
#[test]
fn calls_to_a_journal_service_that_is_down_are_randomized_and_back_off() {
    let (first, second) = (closing_journal_service(), closing_journal_service());
    let stages = [&first, &second].map(|(address, _)| {
        Cluster::with_config(|config, _| {
            config["journal"] = json!(address.to_string());
            if address == &second.0 {
                config["seed"] = json!("17c1f30d27a5be96");
            }
        })
    });
    let gaps = |calls: &Receiver<Instant>| -> Vec<Duration> {
        let at: Vec<Instant> = (0..11)
            .map(|_| calls.recv_timeout(MAX_WAIT).expect("a call"))
            .collect();
        at.windows(2).map(|two| two[1] - two[0]).collect()
    };
    let (one, other) = (gaps(&first.1), gaps(&second.1));
    drop(stages);
    for gaps in [&one, &other] {
        // Ten calls a second from each dispatcher of a fleet would overload a service that comes back.
        let min_total = Duration::from_millis(2000);
        assert!(gaps.iter().sum::<Duration>() >= min_total, "{gaps:?}");
    }
    let different = one
        .iter()
        .zip(&other)
        .filter(|(a, b)| a.abs_diff(**b) > Duration::from_millis(10));
    assert!(
        different.count() >= 3,
        "the calls are in step: {one:?} {other:?}"
    );
}

/// More clients connect than there are descriptors while the journal service is down. Guards against having no
/// descriptor for the journal when it is back.
#[test]
fn the_journal_is_reached_although_idle_clients_take_all_slots() {
    let (reserved, calls) = (free_address(), channel());
    let mut known = None;
    let cluster = Cluster::with_config(|config, _| {
        config["limits"]["sockets"] = json!(64);
        config["journal"] = json!(reserved.to_string());
        known = Some(members(config).clone());
        config["known"] = json!({"pos": 0, "entries": []});
    });
    // Far more clients than descriptors: half of them have sent a message and are idle, half have sent nothing.
    let resting: Vec<TcpStream> = (0..100)
        .map(|n| {
            let mut client = cluster.client();
            if n % 2 == 0 {
                client.request_with("heartbeat", vec![], &[]);
            }
            client.stream
        })
        .collect();
    harness::start_journal_at(reserved, calls.0);
    let mut journal = calls
        .1
        .recv_timeout(MAX_WAIT)
        .expect("a call although all slots are taken");
    journal.send(&hosts(1, true, &known.expect("members")));
    let mut client = cluster.client();
    wait_for("a request is served", || {
        // Requests left from the previous round are too late.
        while cluster.next_request_within(Duration::ZERO).is_some() {}
        client.request("image", 7, 2000);
        let request = cluster.next_request_within(Duration::from_secs(1));
        request.iter().for_each(|request| request.answer_hit(b"x"));
        client.next_answer().1.is_done()
    });
    drop(resting);
}

/// Guards against ignoring a full list without hosts, and against applying an old list that the service repeats after a
/// break.
#[test]
fn an_empty_full_host_list_is_applied_and_an_old_one_is_not() {
    let cluster = Cluster::new();
    let (mut client, mut journal) = (cluster.client(), cluster.next_journal_call());
    journal.send(&hosts(2, true, &[]));
    wait_for("no host is left", || {
        client.request("image", 7, 300);
        let request = cluster.next_request_within(Duration::from_millis(50));
        request.iter().for_each(|request| request.answer_hit(b"x"));
        client.next_answer().1.is_error("Throttled")
    });
    journal.close();
    // The service comes back and repeats an event that was already applied.
    let mut journal = cluster.next_journal_call();
    assert_eq!(journal.last_event_id, 2);
    let old: Vec<_> = ["c1", "c2"]
        .map(|id| member(id, cluster.addresses[id], "ready", 0))
        .into();
    journal.send(&hosts(1, true, &old));
    journal.send(&hosts(
        3,
        false,
        &[member("c2", cluster.addresses["c2"], "ready", 0)],
    ));
    let mut served = BTreeSet::new();
    wait_for("the new host serves", || {
        for object in 0..12 {
            client.request("image", object, 300);
            if let Some(request) = cluster.next_request_within(Duration::from_millis(50)) {
                served.insert(request.host);
                request.answer_hit(b"x");
            }
            client.next_answer();
        }
        !served.is_empty()
    });
    assert_eq!(served, BTreeSet::from(["c2"]));
}
