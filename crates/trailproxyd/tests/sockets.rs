//! Tests of the built program over sockets: requests, connections to hosts, the journal, reloads and their faults.

#[allow(dead_code, reason = "other test files use the rest")]
mod harness;

use harness::*;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::Shutdown;
use std::process::Command;
use std::time::{Duration, Instant};

/// Guards against fields that do not reach the host as decided, and against a changed body on the way back.
#[test]
fn a_request_is_served_through_a_cache_with_the_decided_fields() {
    let cluster = Cluster::new();
    let mut client = cluster.client();
    let number = client.request("image", 7, 2000);
    let request = cluster.next_request();
    assert!(request.host.starts_with('c'));
    assert!(request.id.len() == 16 && request.id.ends_with("abc00007"));
    let received =
        ["lane", "name", "piece", "via", "tier"].map(|name| request.field(name).unwrap_or(""));
    assert_eq!(received, ["image", "0000000000000007", "0", "p1", "1"]);
    let ttl: u64 = request
        .field("ttl")
        .and_then(|ms| ms.parse().ok())
        .expect("a time");
    assert!((1..=2000).contains(&ttl), "{ttl}");
    request.answer_hit(b"\r\n\0bytes");
    assert_eq!(
        client.next_answer(),
        (number, FinalAnswer::done(b"\r\n\0bytes"))
    );
    client.request_with("heartbeat", vec![], &[]);
    assert_eq!(client.next_answer().1, FinalAnswer::done(&[1]));
}

/// Guards against corrupted large bodies, and against buffers, requests or clients that remain after all is answered.
#[test]
fn objects_of_full_size_are_unchanged_and_memory_is_released() {
    let mut cluster = Cluster::new();
    let mut client = cluster.client();
    let bytes: Vec<u8> = (0..240_000u32).map(|i| ((i * 7) >> 3) as u8).collect();
    for object in 0..40 {
        client.request("image", object, 3000);
        cluster
            .next_request()
            .answer("data", "why=TCP_MISS,tag=aa,minted=1", &bytes);
        assert_eq!(client.next_answer().1, FinalAnswer::done(&bytes));
    }
    client
        .stream
        .shutdown(Shutdown::Write)
        .expect("a half-close");
    assert!(client.is_closed());
    cluster.program.signal("-TERM");
    assert!(cluster.program.wait_for_exit().success());
    let figures = cluster.program.last_figures();
    // All buffers, requests and clients are released.
    for none in ["held", "open", "calls", "clients", "out"] {
        assert!(
            figures.contains(&format!(" {none}: 0,")),
            "{none} in {figures}"
        );
    }
    assert!(figures.contains(" done=40"), "{figures}");
}

/// A client sends the etag of its copy. Guards against sending the body again, or an empty body without the mark that
/// the copy is the same.
#[test]
fn an_unchanged_copy_is_answered_without_a_body() {
    let cluster = Cluster::new();
    let mut client = cluster.client();
    let held = [fields(7, 2000), vec![("have".into(), "4be0c192".into())]].concat();
    client.request_with("image", held, &[]);
    let request = cluster.next_request();
    assert_eq!(request.field("known"), Some("4be0c192"));
    request.answer("unchanged", "why=TCP_HIT,tag=4be0c192,minted=1", b"");
    let same = [("same".to_owned(), "1".to_owned())].into();
    assert_eq!(client.next_answer().1, FinalAnswer::Done(vec![], same));
}

/// Guards against a refusal without a retry time, after which the client would retry at once.
#[test]
fn without_hosts_a_request_is_refused_with_a_retry_time() {
    let cluster =
        Cluster::with_config(|config, _| config["known"] = json!({"pos": 0, "entries": []}));
    let mut client = cluster.client();
    client.request("image", 7, 2000);
    let FinalAnswer::Error(word, fields) = client.next_answer().1 else {
        panic!("done by nobody")
    };
    assert_eq!(word, "Throttled");
    let ms: u64 = fields["cooldown"].parse().expect("milliseconds");
    assert!((1..=2000).contains(&ms));
}

/// A host does not answer. Guards against a client that waits past its deadline, and against a host that is not told
/// that the request is given up.
#[test]
fn a_hanging_non_idempotent_request_fails_and_is_cancelled_at_its_deadline() {
    let cluster = Cluster::new();
    let mut client = cluster.client();
    let allowed = Duration::from_millis(300);
    let (mut object, mut answer, mut asked) = (0, FinalAnswer::done(b""), Instant::now());
    // A request that could not be sent in time is refused, and another one is made. If the host had received the refused
    // request after all, the assertion on the object's name below would fail.
    wait_for("a request is sent and hangs", || {
        (object, asked) = (object + 1, Instant::now());
        client.request_with("order", fields(object, 300), b"change");
        answer = client.next_answer().1;
        !answer.is_error("Throttled")
    });
    let took = asked.elapsed();
    assert!(answer.is_error("Broken"), "{answer:?}");
    assert!(took >= allowed, "{took:?}");
    let request = cluster.next_message();
    assert_eq!(
        (
            request.command.as_str(),
            request.body.as_slice(),
            request.field("lane")
        ),
        ("PULL", &b"change"[..], Some("order"))
    );
    assert_eq!(
        request.field("name"),
        Some(format!("{object:016x}").as_str())
    );
    let kill = cluster.next_message();
    assert_eq!((kill.command.as_str(), kill.id), ("KILL", request.id));
}

/// The connection closes before the answer, so the request may have run. Guards against running it twice.
#[test]
fn a_non_idempotent_request_is_not_repeated_after_a_lost_connection() {
    let cluster = Cluster::new();
    let mut client = cluster.client();
    client.request("order", 7, 1000);
    cluster.next_request().close();
    assert!(client.next_answer().1.is_error("Broken"));
    client.request("image", 8, 1000);
    assert_eq!(
        cluster.next_request().field("lane"),
        Some("image"),
        "nothing in between"
    );
}

/// Guards against a failure where another cache could answer.
#[test]
fn an_idempotent_request_is_repeated_at_another_cache_after_a_lost_connection() {
    let cluster = Cluster::new();
    let mut client = cluster.client();
    client.request("image", 7, 2000);
    let first = cluster.next_request();
    first.close();
    let second = cluster.next_request();
    assert_ne!(first.host, second.host);
    second.answer_hit(b"x");
    assert_eq!(client.next_answer().1, FinalAnswer::done(b"x"));
}

/// A host refuses a request and it is sent there again under the same id. Guards against taking a late answer to the
/// first attempt for the answer to the second.
#[test]
fn a_repeat_uses_another_connection_so_that_a_late_answer_does_not_match() {
    let cluster = Cluster::new();
    let mut client = cluster.client();
    // The origin refuses a change, and the change is sent there again.
    client.request("change", 7, 2000);
    let first = cluster.next_request();
    first.answer("full", "-", b"");
    let again = cluster.next_request();
    assert_eq!((first.host, &first.id), (again.host, &again.id));
    assert_ne!(first.peer(), again.peer());
    first.answer_hit(b"late");
    again.answer_hit(b"right");
    assert_eq!(client.next_answer().1, FinalAnswer::done(b"right"));
}

/// Guards against an answer to a request that the client has revoked, and against a host that is not told.
#[test]
fn a_revoked_request_is_cancelled_and_not_answered() {
    let cluster = Cluster::new();
    let mut client = cluster.client();
    let first = client.request("image", 7, 2000);
    let request = cluster.next_request();
    client.revoke(first);
    let kill = cluster.next_message();
    assert_eq!((kill.command.as_str(), &kill.id), ("KILL", &request.id));
    request.answer_hit(b"late");
    let second = client.request("image", 8, 2000);
    cluster.next_request().answer_hit(b"x");
    assert_eq!(client.next_answer(), (second, FinalAnswer::done(b"x")));
}

/// Guards against work for a client that has gone, and against dropping the answer of a client that only closed its
/// sending direction.
#[test]
fn a_reset_cancels_and_a_half_close_is_still_answered() {
    let cluster = Cluster::new();
    let (mut leaving, mut closing) = (cluster.client(), cluster.client());
    leaving.request("image", 7, 2000);
    let left = cluster.next_request();
    let socket = socket2::SockRef::from(&leaving.stream);
    socket
        .set_linger(Some(Duration::ZERO))
        .expect("a reset at the close");
    drop(leaving);
    let kill = cluster.next_message();
    assert_eq!((kill.command.as_str(), kill.id), ("KILL", left.id));
    closing.request("image", 8, 2000);
    closing
        .stream
        .shutdown(Shutdown::Write)
        .expect("a half-close");
    cluster.next_request().answer_hit(b"x");
    assert_eq!(closing.next_answer().1, FinalAnswer::done(b"x"));
    assert!(closing.is_closed());
}

/// A client sends all its requests in pieces of random length, and hosts answer in another order. Guards against lost,
/// doubled or exchanged answers.
#[test]
fn pipelined_requests_in_random_pieces_are_answered_once_each() {
    let cluster = Cluster::new();
    let mut client = cluster.client();
    let mut rng = fastrand::Rng::with_seed(3);
    let bytes: Vec<u8> = (0..32)
        .flat_map(|n| client.encode("image", fields(n, 3000), &[]))
        .collect();
    let mut writer = client.stream.try_clone().expect("a clone");
    let writing = std::thread::spawn(move || {
        let mut rest = bytes.as_slice();
        while !rest.is_empty() {
            let (piece, later) = rest.split_at(rng.usize(1..200).min(rest.len()));
            writer.write_all(piece).expect("written");
            rest = later;
        }
    });
    let mut held = Vec::new();
    let mut answered = BTreeSet::new();
    for n in 0..32 {
        held.push(cluster.next_request());
        if held.len() == 10 || n == 31 {
            // Answer in another order.
            for request in held.drain(..).rev() {
                request.answer_hit(request.id.as_bytes());
            }
        }
    }
    for _ in 0..32 {
        let (number, last) = client.next_answer();
        let wanted = format!("{:016x}", 0xabc0_0000 + number - 1);
        assert_eq!(last, FinalAnswer::done(wanted.as_bytes()));
        assert!(answered.insert(number), "{number} twice");
    }
    writing.join().expect("written");
}

/// The target of images where c1 can't be reached. An attempt at c1 is overdue, and goes to another cache by itself, after
/// six tenths of it: later than anything that a test waits for, even on a busy machine.
const LONG_TARGET_MS: u64 = 20_000;

/// Starts a cluster in which no connection to the cache c1 is established within the dial timeout, and images have a long
/// target.
fn cluster_without_c1(dial_ms: u64) -> (Cluster, impl Sized) {
    let blocked_host = BlockedHost::new();
    let address = blocked_host.address;
    let cluster = Cluster::with_config(|config, _| {
        config["settings"]["ceilings"]["dial_timeout_us"] = json!(dial_ms * 1000);
        config["settings"]["classes"][0]["on_time_us"] = json!(LONG_TARGET_MS * 1000);
        config["settings"]["classes"][0]["hard_limit_us"] = json!(2 * LONG_TARGET_MS * 1000);
        let members = config["known"]["entries"][0]["hosts"]["members"].as_array_mut();
        let members = members.expect("members").iter_mut();
        let c1 = members.filter(|member| member["id"] == "c1");
        c1.for_each(|member| member["host_port"] = json!(address.to_string()));
    });
    (cluster, blocked_host)
}

/// Requests whose first cache is unreachable go to the other cache after the dial timeout. Guards against requests that
/// wait for ever, and against delaying those of the other cache as well.
#[test]
fn an_unreachable_cache_delays_its_own_requests_only() {
    let (cluster, _blocked_host) = cluster_without_c1(400);
    let mut client = cluster.client();
    let mut slow = 0;
    for object in 0..12 {
        let asked = Instant::now();
        client.request("image", object, 2 * LONG_TARGET_MS);
        let request = cluster.next_request();
        assert_eq!(request.host, "c2");
        slow += u32::from(asked.elapsed() >= Duration::from_millis(390));
        request.answer_hit(b"x");
        assert_eq!(client.next_answer().1, FinalAnswer::done(b"x"));
    }
    assert!(
        (1..12).contains(&slow),
        "only requests for c1 wait for the dial: {slow}"
    );
}

/// An attempt may have run, and its repeat waits for a connection that is never established. Guards against starting
/// the repeat when the hosts no longer recognise the idempotency key.
#[test]
fn a_keyed_request_does_not_start_again_after_its_repeat_window() {
    let blocked_host = BlockedHost::new();
    let address = blocked_host.address;
    let cluster = Cluster::with_config(|config, _| {
        config["settings"]["ceilings"]["dial_timeout_us"] = json!(60_000_000);
        config["settings"]["classes"][1]["repeat_window_us"] = json!(500_000);
    });
    let (mut client, mut journal) = (cluster.client(), cluster.next_journal_call());
    client.request("change", 7, 3000);
    let (request, sent) = (cluster.next_request(), Instant::now());
    assert_eq!(request.host, "o1");
    // The change may have run. Its repeat waits for a connection that is never established.
    journal.send(&hosts(2, false, &[member("o1", address, "ready", 0)]));
    assert!(client.next_answer().1.is_error("Throttled"));
    assert!(
        sent.elapsed() < Duration::from_secs(2),
        "refused at the end of the window, not at the deadline"
    );
}

/// Sends requests for some objects, of which those for c1 wait for a dial, then sends a journal event and returns the
/// requests that c2 receives. All of them arrive long before the dial times out.
fn requests_after_event_during_dial(
    event: impl FnOnce(&Cluster) -> serde_json::Value,
) -> Vec<HostMessage> {
    const OBJECTS: u64 = 12;
    let at_c2 = objects_first_at("c2")
        .into_iter()
        .filter(|&object| object < OBJECTS);
    let at_c2 = at_c2.count() as u64;
    assert!((1..OBJECTS).contains(&at_c2), "{at_c2}");
    let (mut cluster, _blocked_host) = cluster_without_c1(60_000);
    let mut client = cluster.client();
    let mut journal = cluster.next_journal_call();
    for object in 0..OBJECTS {
        client.request("image", object, 2 * LONG_TARGET_MS);
    }
    // When the event arrives, only the requests for c1 wait for a connection: all others were sent.
    let mut requests: Vec<HostMessage> = (0..at_c2).map(|_| cluster.next_request()).collect();
    let event = event(&cluster);
    // The messages of a client are handled in order: once the heartbeat is answered, all requests were read.
    client.request_with("heartbeat", vec![], &[]);
    assert_eq!(client.next_answer().1, FinalAnswer::done(&[1]));
    journal.send(&event);
    requests.extend((at_c2..OBJECTS).map(|_| cluster.next_request()));
    requests.iter().for_each(|request| request.answer_hit(b"x"));
    for _ in 0..OBJECTS {
        assert_eq!(client.next_answer().1, FinalAnswer::done(b"x"));
    }
    cluster.program.signal("-TERM");
    drop(client);
    assert!(cluster.program.wait_for_exit().success());
    let figures = cluster.program.last_figures();
    assert!(
        figures.contains(" not_sent="),
        "some requests waited: {figures}"
    );
    requests
}

/// A cache starts to drain while requests wait for a connection to it. Guards against sending them there.
#[test]
fn a_drain_moves_requests_that_wait_for_a_dial() {
    let event = |cluster: &Cluster| {
        hosts(
            2,
            false,
            &[member("c1", cluster.addresses["c1"], "draining", 0)],
        )
    };
    let requests = requests_after_event_during_dial(event);
    assert!(requests.iter().all(|request| request.host == "c2"));
}

/// A parent drains while requests that name it as their source wait for a connection. Guards against sending them with
/// that source.
#[test]
fn a_drained_parent_is_replaced_in_requests_that_wait_for_a_dial() {
    let event = |cluster: &Cluster| {
        hosts(
            2,
            false,
            &[member("p1", cluster.addresses["p1"], "draining", 0)],
        )
    };
    let requests = requests_after_event_during_dial(event);
    let from_parent = requests
        .iter()
        .filter(|request| request.field("via") == Some("p1"))
        .count();
    assert!((1..12).contains(&from_parent), "{from_parent}");
}

/// A group is purged while requests wait for a connection. Guards against sending them with a maximum age that allows
/// copies from before the purge.
#[test]
fn a_purge_limits_the_age_in_requests_that_wait_for_a_dial() {
    let requests = requests_after_event_during_dial(
        |_| json!({"pos": 2, "expire": {"set": 17, "stamp": unix_ms()}}),
    );
    let fresh =
        |request: &HostMessage| request.field("fresh").and_then(|ms| ms.parse::<u64>().ok());
    let bound: Vec<u64> = requests.iter().filter_map(fresh).collect();
    assert!(
        !bound.is_empty() && bound.iter().all(|ms| (1..3000).contains(ms)),
        "{bound:?}"
    );
}

/// Guards against a purge without a group that is ignored, or that applies to the whole group.
#[test]
fn a_purge_of_one_object_affects_that_object_only() {
    let cluster = Cluster::new();
    let (mut client, mut journal) = (cluster.client(), cluster.next_journal_call());
    journal.send(&json!({"pos": 2, "expire": {"name": format!("{:016x}", 7), "stamp": unix_ms()}}));
    // Requests are repeated until the purge has arrived.
    wait_for("the purge is applied", || {
        client.request("image", 7, 2000);
        let request = cluster.next_request();
        request.answer_hit(b"x");
        client.next_answer();
        request.field("fresh").is_some_and(|ms| ms != "0")
    });
    client.request("image", 8, 2000);
    assert_eq!(
        cluster.next_request().field("fresh"),
        None,
        "another object of the group"
    );
}

/// The journal call breaks, and the service repeats an old event. Guards against handling an event twice, out of order,
/// or after a gap.
#[test]
fn an_interrupted_journal_continues_and_each_event_is_handled_once() {
    let cluster = Cluster::new();
    let mut client = cluster.client();
    let gone = |pos, id| hosts(pos, false, &[member(id, cluster.addresses[id], "gone", 0)]);
    let back = |pos, id| hosts(pos, false, &[member(id, cluster.addresses[id], "ready", 0)]);
    let mut journal = cluster.next_journal_call();
    assert_eq!(journal.last_event_id, 1);
    journal.send(&gone(2, "c1"));
    journal.send(&back(3, "c1"));
    journal.send(&gone(4, "c2"));
    journal.close();
    let mut journal = cluster.next_journal_call();
    assert_eq!(journal.last_event_id, 4);
    // If the repeated event were handled, c1 would be gone, too.
    journal.send(&gone(2, "c1"));
    journal.send(&gone(5, "p1"));
    wait_for("the last event is applied", || {
        client.request("image", 7, 2000);
        let request = cluster.next_request();
        assert_eq!(request.host, "c1");
        request.answer_hit(b"x");
        client.next_answer();
        request.field("via") == Some("o1")
    });
    // After a gap, the daemon asks for the missing events.
    journal.send(&back(9, "c2"));
    assert_eq!(cluster.next_journal_call().last_event_id, 5);
}

/// Guards against dropping a whole host list for one bad member, and against sending requests to a host in an unknown
/// zone.
#[test]
fn an_unreadable_member_is_skipped_and_an_unknown_zone_is_not_used() {
    let cluster = Cluster::new();
    let (mut client, mut journal) = (cluster.client(), cluster.next_journal_call());
    let at = |id| cluster.addresses[id];
    let mut nowhere = member("c7", at("c1"), "ready", 0);
    nowhere["locality"] = json!("nowhere");
    let broken = json!({"id": "c8", "phase": "ready"});
    let gone = member("c1", at("c1"), "gone", 0);
    journal.send(&hosts(2, false, &[nowhere, broken, gone]));
    journal.send(&json!({"pos": 3, "expire": {"set": 17, "stamp": unix_ms()}}));
    wait_for("both are applied", || {
        client.request("image", 7, 2000);
        let request = cluster.next_request();
        request.answer_hit(b"x");
        client.next_answer();
        request.field("fresh").is_some()
    });
    for object in 0..20 {
        client.request("image", object, 2000);
        let request = cluster.next_request();
        assert_eq!(request.host, "c2");
        request.answer_hit(b"x");
        client.next_answer();
    }
}

/// Guards against waiting for ever on a journal connection that is dead without a close.
#[test]
fn a_silent_journal_is_called_again() {
    let cluster = Cluster::new();
    let silent = cluster.next_journal_call();
    let called = Instant::now();
    assert_eq!(cluster.next_journal_call().last_event_id, 1);
    assert!(called.elapsed() >= Duration::from_secs(2));
    drop(silent);
}

/// Guards against sending further requests on a connection whose host has stopped answering.
#[test]
fn a_connection_without_an_answer_is_not_used_again() {
    let cluster = Cluster::new();
    let mut client = cluster.client();
    // Another open request keeps the connection open.
    client.request("order", 6, 3000);
    assert_eq!(cluster.next_request().host, "o1");
    client.request("order", 7, 600);
    let silent = cluster.next_request();
    assert!(client.next_answer().1.is_error("Broken"));
    client.request("order", 8, 600);
    let next = cluster.next_request();
    assert_eq!((next.host, silent.host), ("o1", "o1"));
    assert_ne!(next.peer(), silent.peer());
}

/// A host restarts without closing its connections. Guards against requests that wait until their deadline for a
/// process that is gone.
#[test]
fn requests_at_a_restarted_host_fail_when_the_list_reports_the_restart() {
    let cluster = Cluster::new();
    let (mut client, mut journal) = (cluster.client(), cluster.next_journal_call());
    client.request("order", 7, 3000);
    let request = cluster.next_request();
    let restarted = member(
        request.host,
        cluster.addresses[request.host],
        "ready",
        unix_ms() + 1,
    );
    let sent_at = Instant::now();
    journal.send(&hosts(2, false, &[restarted]));
    assert!(client.next_answer().1.is_error("Broken"));
    assert!(
        sent_at.elapsed() < Duration::from_secs(2),
        "long before the deadline"
    );
}

/// The host list reports a restart that happened before the connection was made. Guards against breaking a connection
/// that already leads to the new process.
#[test]
fn a_late_report_of_a_restart_keeps_connections_to_the_new_process() {
    let cluster = Cluster::new();
    let (mut client, mut journal) = (cluster.client(), cluster.next_journal_call());
    client.request("order", 7, 3000);
    let request = cluster.next_request();
    let before = member(
        request.host,
        cluster.addresses[request.host],
        "ready",
        unix_ms() - 600_000,
    );
    let purge = json!({"pos": 3, "expire": {"name": format!("{:016x}", 8), "stamp": unix_ms()}});
    journal.send(&hosts(2, false, &[before]));
    journal.send(&purge);
    // Events are handled in order: once the purge is applied, the host list was applied, too.
    wait_for("both are applied", || {
        client.request("image", 8, 2000);
        let read = cluster.next_request();
        read.answer_hit(b"x");
        assert_eq!(
            client.next_answer().1,
            FinalAnswer::done(b"x"),
            "the other request is still open"
        );
        read.field("fresh").is_some()
    });
    request.answer_hit(b"done");
    assert_eq!(client.next_answer().1, FinalAnswer::done(b"done"));
}

/// Guards against not reading from a client that has reached its limit of open requests.
#[test]
fn a_client_with_all_its_requests_open_can_still_revoke() {
    let cluster = Cluster::new();
    let mut client = cluster.client();
    let numbers: Vec<u64> = (0..32).map(|n| client.request("change", n, 3000)).collect();
    let requests: Vec<HostMessage> = (0..32).map(|_| cluster.next_request()).collect();
    client.revoke(numbers[9]);
    let kill = cluster.next_message();
    let ninth = |request: &&HostMessage| request.field("name") == Some("0000000000000009");
    let ninth = requests.iter().find(ninth).expect("the ninth");
    assert_eq!((kill.command.as_str(), &kill.id), ("KILL", &ninth.id));
}

/// Guards against a hash order that differs among dispatchers, because it uses addresses or state that a restart loses.
#[test]
fn hash_order_depends_on_names_only() {
    let (a, b) = (Cluster::new(), Cluster::new());
    assert_ne!(a.addresses, b.addresses);
    let first_caches = |cluster: &Cluster| -> Vec<&'static str> {
        let mut client = cluster.client();
        let home = |object| {
            client.request("image", object, 2000);
            let request = cluster.next_request();
            request.answer_hit(b"x");
            client.next_answer();
            request.host
        };
        (0..30).map(home).collect()
    };
    let wanted = first_caches(&a);
    assert!(wanted.contains(&"c1") && wanted.contains(&"c2"));
    assert_eq!(first_caches(&b), wanted);
    // One daemon is killed while clients are connected, and started again at once on the same address.
    let Cluster {
        mut program,
        config,
        addresses,
        messages_in,
        ..
    } = b;
    let connected = Client::new(program.address);
    program.signal("-KILL");
    program.wait_for_exit();
    let again = Program::start(&config, program.address);
    drop((connected, again, addresses, messages_in));
    assert_eq!(first_caches(&a), wanted);
}

/// Requests are open and new ones arrive after SIGTERM. Guards against lost answers, resets, and an exit that waits for
/// clients that keep their connections.
#[test]
fn a_stop_under_load_answers_all_requests_and_exits_with_zero() {
    let mut cluster = Cluster::new();
    let mut clients: Vec<Client> = (0..8).map(|_| cluster.client()).collect();
    let ask = |clients: &mut [Client], from: u64| {
        for (n, client) in (from..).zip(clients) {
            client.request("image", n, 3000);
        }
    };
    let answer = |clients: &mut [Client], requests: &[HostMessage]| {
        requests.iter().for_each(|request| request.answer_hit(b"x"));
        for client in clients {
            assert_eq!(client.next_answer().1, FinalAnswer::done(b"x"));
        }
    };
    ask(&mut clients, 0);
    let open: Vec<HostMessage> = (0..8).map(|_| cluster.next_request()).collect();
    cluster.program.signal("-TERM");
    let asked = Instant::now();
    std::thread::sleep(Duration::from_millis(250));
    answer(&mut clients, &open);
    // No request is open now. Further requests arrive on open connections and on a new one.
    std::thread::sleep(Duration::from_millis(100));
    clients.push(cluster.client());
    std::thread::sleep(Duration::from_millis(100));
    ask(&mut clients, 10);
    let late: Vec<HostMessage> = (0..9).map(|_| cluster.next_request()).collect();
    answer(&mut clients, &late);
    assert!(clients.iter_mut().all(Client::is_closed));
    let took = asked.elapsed();
    assert!(
        took < Duration::from_millis(2500),
        "closed by the daemon: {took:?}"
    );
    drop(clients);
    assert!(cluster.program.wait_for_exit().success());
}

/// Guards against a panic, or a message that does not name the bad setting, and against exit code 0.
#[test]
fn a_bad_configuration_ends_the_start_with_a_plain_message() {
    let cluster = Cluster::new();
    let path = std::env::temp_dir().join(format!("trailproxyd-bad-{}.json", std::process::id()));
    let fails = |config: Option<&str>, listen: &str, why: &str| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_trailproxyd"));
        command
            .env_remove("RELAY_CONFIG")
            .env("RELAY_LISTEN", listen);
        if let Some(config) = config {
            std::fs::write(&path, config).expect("a file");
            command.env("RELAY_CONFIG", &path);
        }
        let output = command.output().expect("the daemon runs");
        let said = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(1), "{said}");
        assert!(said.contains(why) && !said.contains("panicked"), "{said}");
        let named = config.is_none() || said.contains(&path.display().to_string());
        assert!(
            named || said.contains("address") || said.contains("listen on"),
            "{said}"
        );
    };
    let (free, valid) = (free_address().to_string(), cluster.config.to_string());
    fails(None, &free, "RELAY_CONFIG is not set");
    fails(Some("{"), &free, "is not JSON");
    fails(Some("{\"seed\":\"1\"}"), &free, "settings are missing");
    fails(
        Some(&valid.replace("\"az\":1", "\"az\":\"x\"")),
        &free,
        "setting az can't be read",
    );
    let mut wrong = cluster.config.clone();
    wrong["settings"]["weights"] = json!("heavy");
    fails(
        Some(&serde_json::to_string_pretty(&wrong).expect("a text")),
        &free,
        ": setting weights is \"heavy\"; accepted are silent, nominal, rough, live",
    );
    for (field, value, why) in [
        (
            "/limits",
            json!("x"),
            "limits is \"x\"; accepted is an object",
        ),
        (
            "/limits/sockets",
            json!([]),
            "limits.sockets is []; accepted is a number from 1 up",
        ),
        (
            "/limits/memory_mb",
            json!(0),
            "limits.memory_mb is 0; accepted is a number",
        ),
        ("/known", json!(3), "known is 3; accepted is an object"),
        (
            "/known/pos",
            json!("x"),
            "known.pos is \"x\"; accepted is a whole number",
        ),
        (
            "/known/entries",
            json!({}),
            "known.entries is {}; accepted is a list of events",
        ),
        (
            "/settings",
            json!("x"),
            "settings is \"x\"; accepted is an object",
        ),
        ("/journal", json!(7), "journal is 7; accepted is a string"),
        ("/name", json!(7), "name is 7; accepted is a string"),
        ("/seed", json!(7), "seed is 7; accepted is a string"),
    ] {
        let mut wrong = cluster.config.clone();
        *wrong.pointer_mut(field).expect("a field") = value;
        fails(Some(&wrong.to_string()), &free, why);
    }
    fails(Some("[]"), &free, "it is not an object");
    fails(Some(&valid), "nowhere", "is not an address");
    fails(
        Some(&valid),
        &cluster.program.address.to_string(),
        "can't listen on",
    );
    let _ = std::fs::remove_file(path);
}

/// Guards against a panic, and against harm to the requests of other clients.
#[test]
fn malformed_input_of_a_client_closes_its_connection_only() {
    let cluster = Cluster::new();
    let (mut other, mut rng) = (cluster.client(), fastrand::Rng::with_seed(9));
    for n in 0..30u64 {
        let mut bad = cluster.client();
        let mut bytes = bad.encode("image", fields(100, 1000), &[]);
        match n {
            0 => bytes = vec![0xc1],
            1 => bytes = vec![0xc6, 0xff, 0xff, 0xff, 0xff],
            2 => bytes = vec![0x91; 100],
            _ => (0..4).for_each(|_| bytes[rng.usize(0..20)] = rng.u8(..)),
        }
        let _ = bad.stream.write_all(&bytes);
        if n < 3 {
            assert!(bad.is_closed());
        }
        let number = other.request("image", n, 2000);
        let wanted = format!("{n:016x}");
        let mut requests = std::iter::repeat_with(|| cluster.next_request());
        let request = requests.find(|request| request.field("name") == Some(&wanted));
        request.expect("the valid request").answer_hit(b"x");
        assert_eq!(other.next_answer(), (number, FinalAnswer::done(b"x")));
    }
}

/// Guards against closing a connection for a single request with bad fields, and against passing such fields on to a
/// host.
#[test]
fn an_invalid_request_fails_and_the_connection_continues() {
    let cluster = Cluster::new();
    let mut client = cluster.client();
    let without = |name: &str| {
        fields(7, 900)
            .into_iter()
            .filter(|(n, _)| n != name)
            .collect::<Vec<_>>()
    };
    let with =
        |name: &str, value: &str| [without(name), vec![(name.into(), value.into())]].concat();
    let bad = [
        without("ref"),
        without("lookup"),
        without("allow"),
        with("allow", "-5"),
        with("allow", "soon"),
        with("lookup", "xyz"),
        with("part", "-1"),
        with("room", "big"),
        with("ref", "a,via=o1"),
    ];
    for fields in bad {
        let number = client.request_with("image", fields, &[]);
        assert_eq!(
            client.next_answer(),
            (
                number,
                FinalAnswer::Error("Broken".into(), Default::default())
            )
        );
    }
    client.request("no-such-track", 7, 900);
    assert!(client.next_answer().1.is_error("Broken"));
    client.request_with("change", fields(7, 900), &[0; 48_001]);
    assert!(client.next_answer().1.is_error("Broken"));
    client.request_with("change", fields(7, 900), &[5; 48_000]);
    let request = cluster.next_request();
    assert_eq!(request.body, [5; 48_000]);
    request.answer("data", "tag=a,minted=1", b"");
    assert_eq!(client.next_answer().1, FinalAnswer::done(b""));
}

/// Guards against two requests under one id: a host's answer would match both, and the second would be a copy of the
/// first.
#[test]
fn a_duplicate_request_id_fails_and_does_not_affect_the_first() {
    let cluster = Cluster::new();
    let (mut first, mut second) = (cluster.client(), cluster.client());
    first.request_with("image", fields(7, 2000), &[]);
    let request = cluster.next_request();
    second.request_with("image", fields(7, 2000), &[]);
    assert!(second.next_answer().1.is_error("Broken"));
    request.answer_hit(b"x");
    assert_eq!(first.next_answer().1, FinalAnswer::done(b"x"));
    // The id stays unusable for a while after its answer: to a host, the request would be a second copy.
    second.request_with("image", fields(7, 2000), &[]);
    assert!(second.next_answer().1.is_error("Broken"));
}

/// A malformed answer ends all requests on its connection. Guards against too many requests on one connection.
#[test]
fn a_malformed_answer_loses_few_other_requests() {
    let cluster = Cluster::with_config(|config, at| {
        let members = [("c1", "ready"), ("p1", "ready"), ("o1", "ready")];
        let members = members.map(|(id, phase)| member(id, at[id], phase, 0));
        config["known"]["entries"] = json!([hosts(1, true, &members)]);
    });
    let mut client = cluster.client();
    let numbers: Vec<u64> = (0..6).map(|n| client.request("image", n, 3000)).collect();
    let requests: Vec<HostMessage> = (0..6).map(|_| cluster.next_request()).collect();
    // The malformed answer closes its connection, which at most one other request shares.
    let is_same = |request: &&HostMessage| request.peer() == requests[0].peer();
    let lost = requests.iter().filter(is_same).count();
    assert!(lost <= 2, "{lost} on one connection");
    let _ = (&requests[0].stream).write_all(b"nonsense");
    (0..lost).for_each(|_| assert_ne!(cluster.next_request().host, "c1"));
    let mut left: BTreeSet<u64> = numbers.into_iter().collect();
    for request in requests
        .iter()
        .filter(|request| request.peer() != requests[0].peer())
    {
        assert_eq!(request.host, "c1");
        request.answer_hit(b"kept");
        let (number, last) = client.next_answer();
        assert_eq!(last, FinalAnswer::done(b"kept"));
        assert!(left.remove(&number));
    }
    assert_eq!(left.len(), lost);
}

/// Requests fail at every host that they are sent to. Guards against blaming the hosts for what is wrong with the
/// request.
#[test]
fn a_request_that_fails_everywhere_opens_no_breaker() {
    let cluster = Cluster::new();
    for object in 0..20 {
        let mut client = cluster.client();
        client.request("image", object, 400);
        let answers = std::thread::scope(|scope| {
            let answer = scope.spawn(|| client.next_answer().1);
            while !answer.is_finished() {
                if let Some(request) = cluster.next_request_within(Duration::from_millis(20)) {
                    request.answer("failed", "-", b"");
                }
            }
            answer.join().expect("an answer")
        });
        assert!(!matches!(answers, FinalAnswer::Done(..)));
    }
    assert!(!cluster.program.log_contains("breaker open"));
}

/// Guards against unbounded memory for one client, and against harm to others.
#[test]
fn a_client_that_exceeds_its_open_requests_is_closed() {
    let cluster = Cluster::new();
    let (mut excessive, mut other) = (cluster.client(), cluster.client());
    for object in 0..40 {
        let bytes = excessive.encode("order", fields(object, 3000), b"");
        let _ = excessive.stream.write_all(&bytes);
    }
    assert!(excessive.is_closed());
    other.request("image", 99, 3000);
    loop {
        let message = cluster.next_message();
        if message.field("name") == Some("0000000000000063") {
            message.answer_hit(b"x");
            break;
        }
    }
    assert_eq!(other.next_answer().1, FinalAnswer::done(b"x"));
}

/// A client does not read its answers. Guards against keeping them after every one of them is too late.
#[test]
fn a_client_that_does_not_read_is_closed_after_all_deadlines() {
    let cluster = Cluster::with_config(|config, _| {
        let classes = config["settings"]["classes"].as_array_mut();
        let classes = classes.expect("classes").iter_mut();
        classes.for_each(|class| class["hard_limit_us"] = json!(500_000));
    });
    let mut client = cluster.client();
    (0..30).for_each(|object| {
        client.request("image", object, 500);
    });
    let requests: Vec<HostMessage> = (0..30).map(|_| cluster.next_request()).collect();
    requests
        .iter()
        .for_each(|request| request.answer_hit(&[7; 240_000]));
    std::thread::sleep(Duration::from_millis(1500));
    let mut rest = Vec::new();
    let _ = client.stream.read_to_end(&mut rest);
    assert!(
        rest.len() < 30 * 240_000,
        "what no one waits for is not sent: {}",
        rest.len()
    );
}

/// Guards against a panic, and against a failure where another cache could answer.
#[test]
fn malformed_input_of_a_host_closes_its_connection_and_the_request_goes_on() {
    let cluster = Cluster::new();
    let mut client = cluster.client();
    for (object, garbage) in [&b"*9\r\n"[..], b"nonsense", b"*4\r\n$-1\r\n"]
        .into_iter()
        .enumerate()
    {
        client.request("image", object as u64, 2000);
        let first = cluster.next_request();
        let _ = (&first.stream).write_all(garbage);
        let second = cluster.next_request();
        assert_ne!(first.host, second.host);
        second.answer_hit(b"x");
        assert_eq!(client.next_answer().1, FinalAnswer::done(b"x"));
    }
    // The client has offered no copy, so that none can be unchanged.
    client.request("image", 9, 2000);
    cluster.next_request().answer("unchanged", "-", b"");
    cluster.next_request().answer_hit(b"x");
    assert_eq!(client.next_answer().1, FinalAnswer::done(b"x"));
}

/// A host is gone and another one has its address. Guards against sending the new host's requests on connections of the
/// former.
#[test]
fn a_new_host_at_a_gone_hosts_address_gets_new_connections() {
    let cluster = Cluster::new();
    let (mut client, mut journal) = (cluster.client(), cluster.next_journal_call());
    client.request("image", 7, 3000);
    let first = cluster.next_request();
    let address = cluster.addresses[first.host];
    journal.send(&hosts(
        2,
        false,
        &[
            member(first.host, address, "gone", 0),
            member("c9", address, "ready", 0),
        ],
    ));
    let other = if first.host == "c1" { "c2" } else { "c1" };
    journal.send(&hosts(
        3,
        false,
        &[member(other, cluster.addresses[other], "gone", 0)],
    ));
    let mut connections = BTreeSet::new();
    wait_for("the new one is used", || {
        client.request("image", 8, 3000);
        let request = cluster.next_request();
        request.answer_hit(b"x");
        client.next_answer();
        connections.insert(request.peer());
        request.host == first.host && request.peer() != first.peer()
    });
    // The gone host may still answer its open request.
    first.answer_hit(b"last");
    assert_eq!(client.next_answer().1, FinalAnswer::done(b"last"));
}

/// Several clients ask for large objects and do not read them. Guards against buffering all answers: the daemon must
/// stop reading from hosts instead.
#[test]
fn answers_to_clients_that_do_not_read_stay_within_memory() {
    const ALLOWED_MS: u64 = 4000;
    let mut cluster = Cluster::with_config(|config, _| {
        config["limits"]["memory_mb"] = json!(16);
        config["settings"]["classes"][0]["on_time_us"] = json!(ALLOWED_MS * 1000);
        config["settings"]["classes"][0]["hard_limit_us"] = json!(ALLOWED_MS * 1000);
    });
    // The memory of the idle program depends on its build. Its pages are loaded once it has answered, not yet when it
    // listens.
    let _journal = cluster.next_journal_call();
    let mut other = cluster.client();
    other.request("image", 1000, 3000);
    cluster.next_request().answer_hit(b"x");
    assert_eq!(other.next_answer().1, FinalAnswer::done(b"x"));
    let idle_kb = cluster.program.memory("VmRSS:") / 1024;
    // As many requests as a client may have open: the system buffers some 4 MB of the 7.7 MB for each client, and the rest
    // is far more than the program may buffer.
    let mut slow: Vec<Client> = (0..4).map(|_| cluster.client()).collect();
    for client in &slow {
        let socket = socket2::SockRef::from(&client.stream);
        socket.set_recv_buffer_size(4096).expect("a small buffer");
    }
    for object in 0..32 {
        for (n, client) in (0..).zip(&mut slow) {
            client.request("image", object * 4 + n, ALLOWED_MS);
        }
    }
    let bytes = vec![7; 240_000];
    let requests: Vec<HostMessage> = (0..128).map(|_| cluster.next_request()).collect();
    let writing = std::thread::spawn(move || {
        requests
            .iter()
            .for_each(|request| request.answer_hit(&bytes))
    });
    // On exit, the program waits for its clients until their deadlines. Its last figures contain the peak memory.
    cluster.program.signal("-TERM");
    assert!(cluster.program.wait_for_exit().success());
    writing.join().expect("written");
    let figures = cluster.program.last_figures();
    let peak_kb = figures.split_once("peak_kb=").expect("a peak").1;
    let peak_kb = peak_kb.split(' ').next().and_then(|kb| kb.parse().ok());
    let peak_kb = peak_kb.unwrap_or(u64::MAX) - idle_kb;
    assert!(
        peak_kb < 11 * 1024,
        "{peak_kb} kB more than idle for 30 MB of answers"
    );
    assert!(
        figures.contains(" reading_paused="),
        "the limit was met: {figures}"
    );
}

/// More clients connect than there are slots, and each stays idle. Guards against a new client that waits until an idle
/// one leaves by itself.
#[test]
fn idle_clients_are_closed_for_new_clients() {
    let cluster = Cluster::with_config(|config, _| config["limits"]["sockets"] = json!(64));
    let stay: Vec<Client> = (0..80)
        .map(|_| {
            let mut client = cluster.client();
            client.request_with("heartbeat", vec![], &[]);
            assert_eq!(client.next_answer().1, FinalAnswer::done(&[1]));
            client
        })
        .collect();
    // The first of them was closed. Its next request would fail at once, and it could connect again.
    let mut first = stay.into_iter().next().expect("a client");
    assert!(first.is_closed());
}

/// Guards against connections that hold a slot without ever sending a whole request.
#[test]
fn a_client_without_a_whole_message_is_closed_within_three_seconds() {
    let cluster = Cluster::new();
    let began = Instant::now();
    let (mut silent, mut half) = (cluster.client(), cluster.client());
    half.stream.write_all(&[0x94, 0x00]).expect("half");
    let mut other = cluster.client();
    other.request("image", 7, 3000);
    let request = cluster.next_request();
    assert!(silent.is_closed() && half.is_closed());
    assert!(began.elapsed() >= Duration::from_secs(2));
    request.answer_hit(b"kept");
    assert_eq!(other.next_answer().1, FinalAnswer::done(b"kept"));
}

/// Guards against following a bad configuration, against losing open requests on a reload, and against starting the
/// journal from its beginning at the new address.
#[test]
fn sighup_changes_the_journal_address_and_keeps_open_requests() {
    let cluster = Cluster::new();
    let _former = cluster.next_journal_call();
    let mut client = cluster.client();
    client.request("image", 7, 3000);
    let request = cluster.next_request();
    let refused = |cluster: &Cluster| {
        cluster
            .program
            .log()
            .matches("new configuration refused")
            .count()
    };
    for (before, bad) in ["{\"half\": ", "{\"journal\": \"nowhere\"}"]
        .iter()
        .enumerate()
    {
        cluster.program.reload_config(bad);
        // Wait until each bad file was read: otherwise the good file would replace it unread and be applied twice.
        wait_for("the file is refused", || refused(&cluster) > before);
    }
    let (calls_in, calls) = std::sync::mpsc::channel();
    let mut config = cluster.config.clone();
    config["journal"] = json!(harness::start_journal(calls_in).to_string());
    cluster.program.reload_config(&config.to_string());
    let mut journal = calls
        .recv_timeout(MAX_WAIT)
        .expect("a call to the new address");
    assert_eq!(journal.last_event_id, 1, "the positions continue");
    let drain = |name| member(name, cluster.addresses[name], "draining", 0);
    journal.send(&hosts(2, false, &[drain("c1"), drain("c2")]));
    request.answer_hit(b"kept");
    assert_eq!(client.next_answer().1, FinalAnswer::done(b"kept"));
    wait_for("the host list is applied", || {
        let message = {
            client.request("image", 8, 1000);
            cluster.next_request()
        };
        message.answer_hit(b"x");
        client.next_answer();
        message.host == "p1"
    });
}

/// Returns the settings of a deployment whose hosts report their load to probes, and whose host list has no capacities.
fn with_probes(config: &Value) -> Value {
    let mut config = config.clone();
    config["settings"]["weights"] = json!("silent");
    config["settings"]["report"] = json!({"via": "pull", "fields": ["util", "x1"]});
    config["settings"]["ceilings"]["may_probe"] = json!(true);
    config
}

/// Guards against a probe without an answer that blocks all later probes of the host, and against an unreadable report
/// that breaks its connection.
#[test]
fn hosts_are_probed_and_a_silent_one_is_probed_again() {
    let cluster = Cluster::with_config(|config, _| *config = with_probes(config));
    let (mut probed, until) = (Vec::new(), Instant::now() + MAX_WAIT);
    // The caches and the parent are probed again although none of them answers the first probe.
    while probed.len() < 9 && Instant::now() < until {
        let probe = cluster.next_message();
        assert_eq!((probe.command.as_str(), probe.fields.len()), ("METER", 0));
        if probed.len() >= 3 {
            probe.answer("well", "rep=util:0.5;x1:0.2", b"");
        }
        probed.push(probe.host);
    }
    for host in ["c1", "c2", "p1"] {
        assert!(
            probed.iter().filter(|&&known| known == host).count() >= 2,
            "{probed:?}"
        );
    }
    assert!(!probed.contains(&"o1"), "the origin is not probed");
    // An unreadable report does not affect other answers on its connection.
    let mut client = cluster.client();
    client.request("image", 7, 3000);
    let request = next_request_answering_probes(&cluster, "rep=\u{fffd};;nonsense");
    request.answer_hit(b"kept");
    assert_eq!(client.next_answer().1, FinalAnswer::done(b"kept"));
}

/// The settings change while a request is open, a cache drains and a parent's breaker is open. Guards against losing
/// that state with the new settings.
#[test]
fn changed_settings_keep_open_requests_draining_hosts_and_open_breakers() {
    let cluster = Cluster::new();
    let mut journal = cluster.next_journal_call();
    let mut client = cluster.client();
    // A parent fails, and its breaker opens before the settings change.
    let mut opened = 0;
    while !cluster.program.log_contains("Parent") && opened < 60 {
        opened += 1;
        client.request("image", 1000 + opened, 1500);
        let request = cluster.next_request();
        match (request.host, request.field("via")) {
            ("p1", _) => request.close(),
            (_, Some("p1")) => request.answer("failed", "-", b""),
            _ => request.answer_hit(b"x"),
        }
        while let Some(again) = cluster.next_request_within(Duration::from_millis(20)) {
            again.answer_hit(b"x");
        }
        client.next_answer();
    }
    assert!(
        cluster.program.log_contains("breaker open"),
        "after {opened}"
    );
    journal.send(&hosts(
        2,
        false,
        &[member("c1", cluster.addresses["c1"], "draining", 0)],
    ));
    let asked = wait_for_draining(&cluster, &mut client);
    // A request is open when the settings change.
    client.request("image", 5, 3000);
    let request = cluster.next_request();
    let config = with_probes(&cluster.config);
    cluster.program.reload_config(&config.to_string());
    wait_for("the settings are applied", || {
        cluster.program.log_contains("settings followed")
    });
    request.answer_hit(b"kept");
    assert_eq!(client.next_answer().1, FinalAnswer::done(b"kept"));
    // From the first request on, none goes to the draining cache, and none uses the parent whose breaker is open.
    for object in 0..20 {
        client.request("image", 2000 + object, 1500);
        let request = next_request_answering_probes(&cluster, "rep=0.3;0.1");
        assert_ne!(
            request.host, "c1",
            "it was draining after {asked} requests, before the settings changed"
        );
        assert_ne!(request.field("via"), Some("p1"), "its breaker was open");
        request.answer_hit(b"x");
        client.next_answer();
    }
    // The same file with another zone is not applied. The daemon logs that and keeps its settings.
    let mut other = config.clone();
    other["settings"]["az"] = json!(0);
    cluster.program.reload_config(&other.to_string());
    wait_for("the settings are not applied", || {
        cluster
            .program
            .log_contains("settings wait for a new start")
    });
    // With the first settings, the probes end.
    cluster.program.reload_config(&cluster.config.to_string());
    wait_for("the settings are applied", || {
        cluster.program.log_contains("probes: false")
    });
    std::thread::sleep(Duration::from_millis(200));
    while cluster
        .next_request_within(Duration::from_millis(5))
        .is_some()
    {}
    client.request("image", 3000, 1500);
    cluster.next_request().answer_hit(b"back");
    assert_eq!(client.next_answer().1, FinalAnswer::done(b"back"));
}

/// A new configuration has good settings and a bad operator's file. Guards against applying one half of it.
#[test]
fn settings_are_not_applied_if_the_operators_file_is_refused() {
    let cluster = Cluster::new();
    let mut config = with_probes(&cluster.config);
    config["operator"] = json!("nowhere.json");
    cluster.program.reload_config(&config.to_string());
    wait_for("the file is refused", || {
        cluster.program.log_contains("operator's file refused")
    });
    assert!(!cluster.program.log_contains("settings followed"));
    // Without the operator's file the same settings are applied: the refused file did not mark them as current.
    cluster
        .program
        .reload_config(&with_probes(&cluster.config).to_string());
    wait_for("the settings are applied", || {
        cluster.program.log_contains("settings followed")
    });
}

/// Waits for the next request at a host, and answers earlier probes with this report.
fn next_request_answering_probes(cluster: &Cluster, report: &str) -> HostMessage {
    loop {
        let message = cluster.next_message();
        match message.command.as_str() {
            "PULL" => return message,
            "METER" => message.answer("well", report, b""),
            _ => {}
        }
    }
}

/// Sends requests until the first cache receives no more, and returns their number.
fn wait_for_draining(cluster: &Cluster, client: &mut harness::Client) -> u64 {
    let (mut asked, mut clean) = (0, 0);
    while clean < 12 {
        asked += 1;
        client.request("image", 4000 + asked, 1500);
        let request = cluster.next_request();
        clean = if request.host == "c1" { 0 } else { clean + 1 };
        request.answer_hit(b"x");
        client.next_answer();
        assert!(asked < 500, "the host list is not applied");
    }
    asked
}
