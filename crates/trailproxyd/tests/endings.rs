//! Whatever ends while something is still owed: a client, a connection to a host, the process, the way to discovery.
//! Each story makes the bad order happen; `docs/endings.md` lists the paths.

#[allow(dead_code, reason = "other test files use the rest")]
mod harness;

use harness::*;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

/// A client that has left has gone after this: nothing may begin for it any more.
const GONE: Duration = Duration::from_millis(100);

/// A cluster whose c1 is behind a blocked_host: what goes there waits until its connections come up.
fn gated(change: impl FnOnce(&mut Value)) -> (Cluster, BlockedHost) {
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

fn members(config: &mut Value) -> &mut Vec<Value> {
    let members = config["known"]["entries"][0]["hosts"]["members"].as_array_mut();
    members.expect("members")
}

/// Whatever the program was sent before is taken by now, of all clients.
fn settled(client: &mut Client) {
    for _ in 0..3 {
        client.request_with("heartbeat", vec![], &[]);
        assert_eq!(client.next_answer().1, FinalAnswer::done(&[1]));
    }
}

/// By now whoever has left has gone, and that is known.
fn gone(client: &mut Client) {
    std::thread::sleep(GONE);
    settled(client);
}

fn reset(client: Client) {
    let socket = socket2::SockRef::from(&client.stream);
    let lingers = socket.set_linger(Some(Duration::ZERO));
    lingers.expect("a reset at the close");
}

/// What a host hears next is of this object.
fn pull_of(cluster: &Cluster, object: u64) -> HostMessage {
    let request = cluster.next_request();
    let name = format!("{object:016x}");
    assert_eq!(
        request.field("name"),
        Some(name.as_str()),
        "the first to come"
    );
    request
}

/// Asks for an object by a new client, hears its request alone, and answers it.
fn next_heard(cluster: &Cluster, object: u64) {
    let mut other = cluster.client();
    other.request("image", object, 9000);
    pull_of(cluster, object).answer_hit(b"other");
    assert_eq!(other.next_answer().1, FinalAnswer::done(b"other"));
}

#[test]
fn what_waits_for_a_connection_is_dropped_when_its_client_leaves_or_cancels() {
    let homes = objects_first_at("c1");
    for cancel in [false, true] {
        let (cluster, blocked_host) =
            gated(|config| config["settings"]["ceilings"]["cancel"] = json!(cancel));
        let (mut resets, mut closes, mut revokes) =
            (cluster.client(), cluster.client(), cluster.client());
        let mut other = cluster.client();
        resets.request("image", homes[0], 9000);
        closes.request("image", homes[0], 9000);
        let number = revokes.request("image", homes[0], 9000);
        settled(&mut other);
        reset(resets);
        drop(closes);
        revokes.revoke(number);
        gone(&mut other);
        // It waits behind them, for the same connections.
        other.request("image", homes[1], 9000);
        settled(&mut other);
        blocked_host.unblock("c1", cluster.messages_in.clone());
        pull_of(&cluster, homes[1]).answer_hit(b"other");
        assert_eq!(other.next_answer().1, FinalAnswer::done(b"other"));
        next_heard(&cluster, homes[2]);
    }
}

/// A client that has ended its side while its request was at a host.
fn has_ended_its_side(cluster: &Cluster, class: &str) -> (Client, HostMessage) {
    let (mut closing, mut other) = (cluster.client(), cluster.client());
    closing.request(class, 7, 9000);
    let request = cluster.next_request();
    let ended = closing.stream.shutdown(Shutdown::Write);
    ended.expect("its side ends");
    gone(&mut other);
    (closing, request)
}

#[test]
fn no_further_attempt_begins_for_a_client_that_has_closed() {
    let cluster = Cluster::new();
    let (mut closing, first) = has_ended_its_side(&cluster, "image");
    first.close();
    // It may still listen, so it has its final answer.
    assert!(closing.next_answer().1.is_error("Broken"));
    assert!(closing.is_closed());
    next_heard(&cluster, 8);
}

#[test]
fn an_attempt_under_way_is_answered_after_its_client_ended_its_side() {
    let cluster = Cluster::new();
    let (mut closing, first) = has_ended_its_side(&cluster, "order");
    first.answer("data", "tag=aa,minted=1", b"kept");
    assert_eq!(closing.next_answer().1, FinalAnswer::done(b"kept"));
    assert!(closing.is_closed());
}

#[test]
fn a_client_that_speaks_late_and_ends_its_side_at_once_is_answered() {
    let cluster = Cluster::new();
    let (mut late, mut other) = (cluster.client(), cluster.client());
    // Clients get their places in the order in which they come: the silent one has had its own for a while.
    settled(&mut other);
    gone(&mut other);
    // The program finds the request and the end behind it in one reading.
    cluster.program.signal("-STOP");
    late.request("image", 7, 3000);
    late.stream.shutdown(Shutdown::Write).expect("a half-close");
    cluster.program.signal("-CONT");
    cluster.next_request().answer_hit(b"x");
    assert_eq!(late.next_answer().1, FinalAnswer::done(b"x"));
    assert!(late.is_closed());
}

/// A cluster with so few descriptors that its places are all taken, by clients that wait for answers.
fn full() -> (Cluster, Vec<Client>, Vec<HostMessage>) {
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

#[test]
fn a_request_whose_client_left_while_it_waited_for_a_place_is_not_sent() {
    let (cluster, mut taken, held) = full();
    let (mut closes, mut resets) = (cluster.client(), cluster.client());
    closes.request("image", 100, 9000);
    resets.request("image", 101, 9000);
    drop(closes);
    reset(resets);
    let mut stays = cluster.client();
    stays.request("image", 102, 9000);
    gone(&mut taken[1]);
    // A place is free, and all three come in by it.
    held[0].answer_hit(b"x");
    assert_eq!(taken[0].next_answer().1, FinalAnswer::done(b"x"));
    drop(taken.remove(0));
    pull_of(&cluster, 102).answer_hit(b"stays");
    assert_eq!(stays.next_answer().1, FinalAnswer::done(b"stays"));
}

#[test]
fn cancellations_are_read_behind_answers_that_are_not_taken() {
    let (at_c1, at_c2) = (objects_first_at("c1"), objects_first_at("c2"));
    let (cluster, blocked_host) = gated(|_| {});
    let mut rude = cluster.client();
    let socket = socket2::SockRef::from(&rude.stream);
    socket.set_recv_buffer_size(4096).expect("a small buffer");
    // Large answers fill the way back, more than the system takes for it (over 6 MB), and small ones stand behind them, as
    // many as may be owed whatever part of the large ones has gone out.
    for object in at_c2.into_iter().cycle().take(28) {
        rude.request("image", object, 20_000);
        cluster.next_request().answer_hit(&[7; 240_000]);
    }
    let waiting = [0, 1].map(|_| rude.request("image", at_c1[0], 20_000));
    for _ in 0..32 {
        rude.request_with("nonsense", vec![], &[]);
    }
    waiting.iter().for_each(|&number| rude.revoke(number));
    let mut other = cluster.client();
    settled(&mut other);
    gone(&mut other);
    other.request("image", at_c1[1], 9000);
    settled(&mut other);
    blocked_host.unblock("c1", cluster.messages_in.clone());
    pull_of(&cluster, at_c1[1]);
}

#[test]
fn what_waits_is_not_given_to_a_connection_that_has_just_ended() {
    let at_c1 = objects_first_at("c1");
    let (cluster, mut blocked_host) = gated(|config| {
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
    // The third waits for a connection of its own, which never comes up.
    client.request("image", at_c1[0], 9000);
    settled(&mut other);
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

#[test]
fn behind_half_an_answer_nothing_new_is_sent_and_its_end_still_counts() {
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
    // It says nothing more for longer than a connection may take to come up.
    std::thread::sleep(Duration::from_millis(250));
    settled(&mut other);
    other.request("image", 7, 9000);
    let second = cluster.next_request();
    assert_ne!((first.host, first.peer()), (second.host, second.peer()));
    second.answer_hit(b"x");
    assert_eq!(other.next_answer().1, FinalAnswer::done(b"x"));
    (&first.stream).write_all(rest).expect("the other half");
    assert_eq!(client.next_answer().1, FinalAnswer::done(b"last"));
}

#[test]
fn a_second_answer_in_one_piece_with_the_first_is_no_second_answer() {
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

#[test]
fn a_connection_that_comes_up_late_where_a_host_was_is_not_used() {
    let at_c1 = objects_first_at("c1");
    let (cluster, blocked_host) = gated(|_| {});
    let (mut client, mut journal) = (cluster.client(), cluster.next_journal_call());
    client.request("image", at_c1[0], 9000);
    settled(&mut client);
    // Its host goes to where c2 was; another origin shows that the list is known.
    let (there, by) = (cluster.addresses["c2"], cluster.addresses["p1"]);
    let gone = ["c2", "o1"].map(|id| member(id, cluster.addresses[id], "gone", 0));
    let come = [
        member("c1", there, "ready", 0),
        member("o9", by, "ready", 0),
    ];
    journal.send(&hosts(2, false, &[gone, come].concat()));
    let mut other = cluster.client();
    wait_for("the list is known", || {
        other.request("order", 7, 3000);
        let request = cluster.next_request();
        request.answer("data", "tag=aa,minted=1", b"x");
        assert!(other.next_answer().1.is_done());
        request.host == "p1"
    });
    blocked_host.unblock("former", cluster.messages_in.clone());
    let request = cluster.next_request();
    assert_eq!(request.host, "c2", "by the address that it has now");
    request.answer_hit(b"x");
    assert_eq!(client.next_answer().1, FinalAnswer::done(b"x"));
}

#[test]
fn whoever_rests_is_told_of_the_end_though_others_wait_for_hosts_that_hang() {
    let mut cluster = Cluster::new();
    let (mut waits, mut rests) = (cluster.client(), cluster.client());
    settled(&mut rests);
    waits.request("order", 7, 3000);
    let request = cluster.next_request();
    cluster.program.signal("-TERM");
    assert!(rests.is_closed(), "by a half-close");
    // It is read no more, or it would be owed an answer.
    rests.request("image", 8, 3000);
    request.answer("data", "tag=aa,minted=1", b"kept");
    assert_eq!(waits.next_answer().1, FinalAnswer::done(b"kept"));
    assert!(waits.is_closed());
    drop((waits, rests));
    assert!(cluster.program.wait_for_exit().success());
    assert!(cluster.next_request_within(Duration::ZERO).is_none());
}

#[test]
fn who_waits_in_the_backlog_as_the_process_ends_is_answered() {
    let (mut cluster, mut taken, held) = full();
    let mut late: Vec<Client> = (0..3).map(|_| cluster.client()).collect();
    for (object, client) in (100..).zip(&mut late) {
        client.request("image", object, 9000);
    }
    cluster.program.signal("-TERM");
    // Once the first of them is ended, nobody is let in any more but who had come.
    held[0].answer_hit(b"x");
    assert!(taken[0].next_answer().1.is_done());
    assert!(taken[0].is_closed());
    drop(taken.remove(0));
    // One after another has the place that is free.
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

#[test]
fn a_signal_to_end_during_the_start_ends_it_in_order() {
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

#[test]
fn a_signal_to_read_again_during_the_start_is_heard_after_it() {
    let cluster = Cluster::new();
    let address = free_address();
    let (mut program, mut pipe) = Program::spawn_with_pipe(&cluster.config, address);
    program.signal("-HUP");
    pipe.write_all(cluster.config.to_string().as_bytes())
        .expect("read");
    drop(pipe);
    wait_for("it listens", || TcpStream::connect(address).is_ok());
    program.write_config(&cluster.config.to_string());
    wait_for("it is read again", || {
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

#[test]
fn to_read_again_and_to_end_at_once_leaves_what_is_open_alone() {
    let mut cluster = Cluster::new();
    let mut client = cluster.client();
    client.request("order", 7, 3000);
    let request = cluster.next_request();
    cluster.program.signal("-TERM");
    cluster.program.reload_config("{\"half\": ");
    wait_for("it is refused", || {
        cluster.program.log_contains("new configuration refused")
    });
    cluster.program.reload_config(&cluster.config.to_string());
    wait_for("it is read again", || {
        cluster.program.log_contains("configuration read again")
    });
    request.answer("data", "tag=aa,minted=1", b"kept");
    assert_eq!(client.next_answer().1, FinalAnswer::done(b"kept"));
    assert!(client.is_closed());
    drop(client);
    assert!(cluster.program.wait_for_exit().success());
}

#[test]
fn what_an_idle_client_sends_as_it_is_ended_is_not_reset() {
    let cluster = Cluster::new();
    let mut idle = cluster.client();
    settled(&mut idle);
    assert!(idle.is_closed(), "for it is idle");
    let mut other = cluster.client();
    // What crosses that is taken in and not acted upon; a reset would take answers on their way with it.
    idle.request("image", 0, 3000);
    settled(&mut other);
    let error = idle.stream.take_error().expect("a socket");
    assert!(error.is_none(), "{error:?}");
    next_heard(&cluster, 9);
}

#[test]
fn who_says_to_wait_for_an_hour_does_not_make_others_be_remembered_as_long() {
    let cluster = Cluster::with_config(|config, _| {
        let classes = config["settings"]["classes"].as_array_mut();
        let classes = classes.expect("classes").iter_mut();
        classes.for_each(|class| class["hard_limit_us"] = json!(200_000));
    });
    let mut client = cluster.client();
    client.request("image", 7, 3_600_000);
    cluster.next_request().answer_hit(b"x");
    assert!(client.next_answer().1.is_done());
    // An id that faded may come again.
    let again = fields(8, 200);
    client.request_with("image", again.clone(), &[]);
    cluster.next_request().answer_hit(b"x");
    assert!(client.next_answer().1.is_done());
    wait_for("it is forgotten", || {
        client.request_with("image", again.clone(), &[]);
        let heard = cluster.next_request_within(Duration::from_millis(50));
        heard.iter().for_each(|heard| heard.answer_hit(b"x"));
        client.next_answer().1.is_done()
    });
}

/// Calls to a journal service that hangs up at once, with when they came.
fn hangs_up() -> (SocketAddr, Receiver<Instant>) {
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

#[test]
fn calls_to_a_discovery_that_is_down_are_spread_and_soon_rarer() {
    let (first, second) = (hangs_up(), hangs_up());
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
        // A fleet that calls ten times a second each is more than a service bears that comes back.
        let least = Duration::from_millis(2000);
        assert!(gaps.iter().sum::<Duration>() >= least, "{gaps:?}");
    }
    let apart = one
        .iter()
        .zip(&other)
        .filter(|(a, b)| a.abs_diff(**b) > Duration::from_millis(10));
    assert!(apart.count() >= 3, "not in step: {one:?} {other:?}");
}

#[test]
fn idle_clients_may_fill_the_descriptors_while_discovery_is_down() {
    let (reserved, lines) = (free_address(), channel());
    let mut known = None;
    let cluster = Cluster::with_config(|config, _| {
        config["limits"]["sockets"] = json!(64);
        config["journal"] = json!(reserved.to_string());
        known = Some(members(config).clone());
        config["known"] = json!({"pos": 0, "entries": []});
    });
    // Far more than there are descriptors: each has said something and rests, or has said nothing.
    let resting: Vec<TcpStream> = (0..100)
        .map(|n| {
            let mut client = cluster.client();
            if n % 2 == 0 {
                client.request_with("heartbeat", vec![], &[]);
            }
            client.stream
        })
        .collect();
    harness::start_journal_at(reserved, lines.0);
    let mut line = lines
        .1
        .recv_timeout(MAX_WAIT)
        .expect("a call though all is full");
    line.send(&hosts(1, true, &known.expect("members")));
    let mut client = cluster.client();
    wait_for("it serves", || {
        // Whatever is left of the one before is too late.
        while cluster.next_request_within(Duration::ZERO).is_some() {}
        client.request("image", 7, 2000);
        let heard = cluster.next_request_within(Duration::from_secs(1));
        heard.iter().for_each(|heard| heard.answer_hit(b"x"));
        client.next_answer().1.is_done()
    });
    drop(resting);
}

#[test]
fn a_list_that_came_whole_and_empty_is_followed_and_one_told_before_is_not() {
    let cluster = Cluster::new();
    let (mut client, mut line) = (cluster.client(), cluster.next_journal_call());
    line.send(&hosts(2, true, &[]));
    wait_for("none is left", || {
        client.request("image", 7, 300);
        let heard = cluster.next_request_within(Duration::from_millis(50));
        heard.iter().for_each(|heard| heard.answer_hit(b"x"));
        client.next_answer().1.is_error("Throttled")
    });
    line.close();
    // It comes back with what it had told before: that is known, and past.
    let mut line = cluster.next_journal_call();
    assert_eq!(line.last_event_id, 2);
    let old: Vec<_> = ["c1", "c2"]
        .map(|id| member(id, cluster.addresses[id], "ready", 0))
        .into();
    line.send(&hosts(1, true, &old));
    line.send(&hosts(
        3,
        false,
        &[member("c2", cluster.addresses["c2"], "ready", 0)],
    ));
    let mut served = BTreeSet::new();
    wait_for("the new one serves", || {
        for object in 0..12 {
            client.request("image", object, 300);
            if let Some(heard) = cluster.next_request_within(Duration::from_millis(50)) {
                served.insert(heard.host);
                heard.answer_hit(b"x");
            }
            client.next_answer();
        }
        !served.is_empty()
    });
    assert_eq!(served, BTreeSet::from(["c2"]));
}
