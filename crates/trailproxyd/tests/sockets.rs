//! Short stories played to the built program over sockets, one for each thing that goes wrong there.

#[allow(dead_code, reason = "other test files use the rest")]
mod harness;

use harness::*;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::Shutdown;
use std::process::Command;
use std::time::{Duration, Instant};

#[test]
fn an_access_is_done_through_a_cache_as_it_was_decided() {
    let cluster = Cluster::new();
    let mut client = cluster.client();
    let number = client.request("image", 7, 2000);
    let request = cluster.next_request();
    assert!(request.host.starts_with('c'));
    assert!(request.id.len() == 16 && request.id.ends_with("abc00007"));
    let told =
        ["lane", "name", "piece", "via", "tier"].map(|name| request.field(name).unwrap_or(""));
    assert_eq!(told, ["image", "0000000000000007", "0", "p1", "1"]);
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

#[test]
fn an_object_of_full_size_comes_through_unchanged_and_memory_is_given_back() {
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
    // Nothing is left behind.
    for none in ["held", "open", "calls", "clients", "out"] {
        assert!(
            figures.contains(&format!(" {none}: 0,")),
            "{none} in {figures}"
        );
    }
    assert!(figures.contains(" done=40"), "{figures}");
}

#[test]
fn the_copy_that_a_client_holds_is_said_to_be_the_one() {
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

#[test]
fn without_hosts_an_access_is_rejected_with_a_time_to_come_back() {
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

#[test]
fn a_binding_access_that_hangs_is_given_up_and_aborted_at_its_limit() {
    let cluster = Cluster::new();
    let mut client = cluster.client();
    let allowed = Duration::from_millis(300);
    let (mut object, mut answer, mut asked) = (0, FinalAnswer::done(b""), Instant::now());
    // One that could not be sent within its time is turned away, and another is asked; had the host heard of it all the
    // same, its name would come first below.
    wait_for("one is sent and hangs", || {
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

#[test]
fn a_binding_access_whose_connection_breaks_is_never_sent_twice() {
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

#[test]
fn a_retriable_access_whose_connection_breaks_goes_to_the_next_cache() {
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

#[test]
fn a_late_answer_matches_nothing_and_the_same_id_goes_by_another_connection() {
    let cluster = Cluster::new();
    let mut client = cluster.client();
    // The origin turns a change away, and it is asked again.
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

#[test]
fn what_was_revoked_is_given_up_and_owed_nothing() {
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

#[test]
fn a_reset_gives_up_and_a_half_close_is_still_answered() {
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

#[test]
fn all_requests_at_once_in_odd_splits_are_answered_once_each() {
    let cluster = Cluster::new();
    let mut client = cluster.client();
    let mut chance = fastrand::Rng::with_seed(3);
    let bytes: Vec<u8> = (0..32)
        .flat_map(|n| client.encode("image", fields(n, 3000), &[]))
        .collect();
    let mut writer = client.stream.try_clone().expect("a clone");
    let writing = std::thread::spawn(move || {
        let mut rest = bytes.as_slice();
        while !rest.is_empty() {
            let (piece, later) = rest.split_at(chance.usize(1..200).min(rest.len()));
            writer.write_all(piece).expect("written");
            rest = later;
        }
    });
    let mut held = Vec::new();
    let mut answered = BTreeSet::new();
    for n in 0..32 {
        held.push(cluster.next_request());
        if held.len() == 10 || n == 31 {
            // In any order.
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

/// So long an image counts in full where c1 can't be reached. An attempt there is overdue, and goes elsewhere by itself,
/// after six tenths of it: later than anything that a story waits for, on a busy machine as well.
const PATIENT_MS: u64 = 20_000;

/// A cluster on which connections to the cache c1 never come up within the dial time, and images have long to
/// go elsewhere.
fn without_c1(dial_ms: u64) -> (Cluster, impl Sized) {
    let blocked_host = BlockedHost::new();
    let address = blocked_host.address;
    let cluster = Cluster::with_config(|config, _| {
        config["settings"]["ceilings"]["dial_timeout_us"] = json!(dial_ms * 1000);
        config["settings"]["classes"][0]["on_time_us"] = json!(PATIENT_MS * 1000);
        config["settings"]["classes"][0]["hard_limit_us"] = json!(2 * PATIENT_MS * 1000);
        let members = config["known"]["entries"][0]["hosts"]["members"].as_array_mut();
        let members = members.expect("members").iter_mut();
        let c1 = members.filter(|member| member["id"] == "c1");
        c1.for_each(|member| member["host_port"] = json!(address.to_string()));
    });
    (cluster, blocked_host)
}

#[test]
fn a_vanished_cache_costs_the_dial_time_and_no_more() {
    let (cluster, _silent) = without_c1(400);
    let mut client = cluster.client();
    let mut slow = 0;
    for object in 0..12 {
        let asked = Instant::now();
        client.request("image", object, 2 * PATIENT_MS);
        let request = cluster.next_request();
        assert_eq!(request.host, "c2");
        slow += u32::from(asked.elapsed() >= Duration::from_millis(390));
        request.answer_hit(b"x");
        assert_eq!(client.next_answer().1, FinalAnswer::done(b"x"));
    }
    assert!(
        (1..12).contains(&slow),
        "those of c1 wait for the dial: {slow}"
    );
}

#[test]
fn a_fingerprinted_access_does_not_begin_anew_past_its_window() {
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
    // It may have run; the repeat waits for a connection that never comes up.
    journal.send(&hosts(2, false, &[member("o1", address, "ready", 0)]));
    assert!(client.next_answer().1.is_error("Throttled"));
    assert!(
        sent.elapsed() < Duration::from_secs(2),
        "at the end of the window, not of its time"
    );
}

/// Asks for some objects, of which those of c1 wait for a dial, tells an event, and gives the requests
/// that c2 hears; all of them come long before the dial time is over.
fn told_while_waiting(event: impl FnOnce(&Cluster) -> serde_json::Value) -> Vec<HostMessage> {
    const OBJECTS: u64 = 12;
    let at_c2 = objects_first_at("c2")
        .into_iter()
        .filter(|&object| object < OBJECTS);
    let at_c2 = at_c2.count() as u64;
    assert!((1..OBJECTS).contains(&at_c2), "{at_c2}");
    let (mut cluster, _silent) = without_c1(60_000);
    let mut client = cluster.client();
    let mut journal = cluster.next_journal_call();
    for object in 0..OBJECTS {
        client.request("image", object, 2 * PATIENT_MS);
    }
    // The event finds those of c1 alone without a connection: all others have gone out.
    let mut requests: Vec<HostMessage> = (0..at_c2).map(|_| cluster.next_request()).collect();
    let event = event(&cluster);
    // The events of a client come in order: once this is heard, all were taken.
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
    assert!(figures.contains(" not_sent="), "some waited: {figures}");
    requests
}

#[test]
fn a_drain_drops_what_waits_for_a_dial() {
    let event = |cluster: &Cluster| {
        hosts(
            2,
            false,
            &[member("c1", cluster.addresses["c1"], "draining", 0)],
        )
    };
    let requests = told_while_waiting(event);
    assert!(requests.iter().all(|request| request.host == "c2"));
}

#[test]
fn a_drained_source_drops_what_waits_for_a_dial() {
    let event = |cluster: &Cluster| {
        hosts(
            2,
            false,
            &[member("p1", cluster.addresses["p1"], "draining", 0)],
        )
    };
    let requests = told_while_waiting(event);
    let from_parent = requests
        .iter()
        .filter(|request| request.field("via") == Some("p1"))
        .count();
    assert!((1..12).contains(&from_parent), "{from_parent}");
}

#[test]
fn a_purge_drops_what_waits_for_a_dial_and_bounds_the_age() {
    let requests =
        told_while_waiting(|_| json!({"pos": 2, "expire": {"set": 17, "stamp": unix_ms()}}));
    let fresh =
        |request: &HostMessage| request.field("fresh").and_then(|ms| ms.parse::<u64>().ok());
    let bound: Vec<u64> = requests.iter().filter_map(fresh).collect();
    assert!(
        !bound.is_empty() && bound.iter().all(|ms| (1..3000).contains(ms)),
        "{bound:?}"
    );
}

#[test]
fn the_purge_of_one_object_needs_no_group() {
    let cluster = Cluster::new();
    let (mut client, mut journal) = (cluster.client(), cluster.next_journal_call());
    journal.send(&json!({"pos": 2, "expire": {"name": format!("{:016x}", 7), "stamp": unix_ms()}}));
    // Until it has come, the access is asked again.
    wait_for("the purge is heeded", || {
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

#[test]
fn a_torn_journal_is_called_again_and_tells_each_event_once() {
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
    // A repeat of the second would take c1 away, too.
    journal.send(&gone(2, "c1"));
    journal.send(&gone(5, "p1"));
    wait_for("the last event is heeded", || {
        client.request("image", 7, 2000);
        let request = cluster.next_request();
        assert_eq!(request.host, "c1");
        request.answer_hit(b"x");
        client.next_answer();
        request.field("via") == Some("o1")
    });
    // A gap is not passed over: the events before it are asked for.
    journal.send(&back(9, "c2"));
    assert_eq!(cluster.next_journal_call().last_event_id, 5);
}

#[test]
fn an_unreadable_member_is_passed_over_and_an_unknown_zone_serves_nobody() {
    let cluster = Cluster::new();
    let (mut client, mut journal) = (cluster.client(), cluster.next_journal_call());
    let at = |id| cluster.addresses[id];
    let mut nowhere = member("c7", at("c1"), "ready", 0);
    nowhere["locality"] = json!("nowhere");
    let broken = json!({"id": "c8", "phase": "ready"});
    let gone = member("c1", at("c1"), "gone", 0);
    journal.send(&hosts(2, false, &[nowhere, broken, gone]));
    journal.send(&json!({"pos": 3, "expire": {"set": 17, "stamp": unix_ms()}}));
    wait_for("both are heeded", || {
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

#[test]
fn a_silent_journal_is_called_again() {
    let cluster = Cluster::new();
    let silent = cluster.next_journal_call();
    let called = Instant::now();
    assert_eq!(cluster.next_journal_call().last_event_id, 1);
    assert!(called.elapsed() >= Duration::from_secs(2));
    drop(silent);
}

#[test]
fn a_connection_that_owed_an_answer_and_said_nothing_is_not_used_again() {
    let cluster = Cluster::new();
    let mut client = cluster.client();
    // Another hand-off keeps it up.
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

#[test]
fn what_a_silent_process_held_ends_when_its_new_start_is_told() {
    let cluster = Cluster::new();
    let (mut client, mut journal) = (cluster.client(), cluster.next_journal_call());
    client.request("order", 7, 3000);
    let request = cluster.next_request();
    let anew = member(
        request.host,
        cluster.addresses[request.host],
        "ready",
        unix_ms() + 1,
    );
    let told = Instant::now();
    journal.send(&hosts(2, false, &[anew]));
    assert!(client.next_answer().1.is_error("Broken"));
    assert!(
        told.elapsed() < Duration::from_secs(2),
        "long before its limit"
    );
}

#[test]
fn a_connection_to_the_new_process_outlives_the_late_word_of_its_start() {
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
    // Once the purge is heeded, the list was, too.
    wait_for("both are heeded", || {
        client.request("image", 8, 2000);
        let read = cluster.next_request();
        read.answer_hit(b"x");
        assert_eq!(
            client.next_answer().1,
            FinalAnswer::done(b"x"),
            "the order is still open"
        );
        read.field("fresh").is_some()
    });
    request.answer_hit(b"done");
    assert_eq!(client.next_answer().1, FinalAnswer::done(b"done"));
}

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

#[test]
fn hash_order_agrees_among_dispatchers_with_other_addresses_and_after_a_restart() {
    let (a, b) = (Cluster::new(), Cluster::new());
    assert_ne!(a.addresses, b.addresses);
    let homes = |cluster: &Cluster| -> Vec<&'static str> {
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
    let wanted = homes(&a);
    assert!(wanted.contains(&"c1") && wanted.contains(&"c2"));
    assert_eq!(homes(&b), wanted);
    // Killed outright while clients are connected, and started again at once on the same address.
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
    assert_eq!(homes(&a), wanted);
}

#[test]
fn asked_to_end_under_traffic_it_answers_all_and_exits_with_zero() {
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
    // Nothing is open now; requests still come, on open connections and on new ones.
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
        "half-closed by it: {took:?}"
    );
    drop(clients);
    assert!(cluster.program.wait_for_exit().success());
}

#[test]
fn a_bad_start_is_a_plain_message_and_another_exit_code() {
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
        let output = command.output().expect("it runs");
        let said = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(1), "{said}");
        assert!(said.contains(why) && !said.contains("panicked"), "{said}");
        let named = config.is_none() || said.contains(&path.display().to_string());
        assert!(
            named || said.contains("address") || said.contains("listen on"),
            "{said}"
        );
    };
    let (free, sound) = (free_address().to_string(), cluster.config.to_string());
    fails(None, &free, "RELAY_CONFIG is not set");
    fails(Some("{"), &free, "is not JSON");
    fails(Some("{\"seed\":\"1\"}"), &free, "settings are missing");
    fails(
        Some(&sound.replace("\"az\":1", "\"az\":\"x\"")),
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
        ("/journal", json!(7), "journal is 7; accepted is a text"),
        ("/name", json!(7), "name is 7; accepted is a text"),
        ("/seed", json!(7), "seed is 7; accepted is a text"),
    ] {
        let mut wrong = cluster.config.clone();
        *wrong.pointer_mut(field).expect("a field") = value;
        fails(Some(&wrong.to_string()), &free, why);
    }
    fails(Some("[]"), &free, "it is no object");
    fails(Some(&sound), "nowhere", "is not an address");
    fails(
        Some(&sound),
        &cluster.program.address.to_string(),
        "can't listen on",
    );
    let _ = std::fs::remove_file(path);
}

#[test]
fn a_clients_garbage_ends_its_connection_alone() {
    let cluster = Cluster::new();
    let (mut sound, mut chance) = (cluster.client(), fastrand::Rng::with_seed(9));
    for n in 0..30u64 {
        let mut bad = cluster.client();
        let mut bytes = bad.encode("image", fields(100, 1000), &[]);
        match n {
            0 => bytes = vec![0xc1],
            1 => bytes = vec![0xc6, 0xff, 0xff, 0xff, 0xff],
            2 => bytes = vec![0x91; 100],
            _ => (0..4).for_each(|_| bytes[chance.usize(0..20)] = chance.u8(..)),
        }
        let _ = bad.stream.write_all(&bytes);
        if n < 3 {
            assert!(bad.is_closed());
        }
        let number = sound.request("image", n, 2000);
        let wanted = format!("{n:016x}");
        let mut requests = std::iter::repeat_with(|| cluster.next_request());
        let request = requests.find(|request| request.field("name") == Some(&wanted));
        request.expect("the sound one").answer_hit(b"x");
        assert_eq!(sound.next_answer(), (number, FinalAnswer::done(b"x")));
    }
}

#[test]
fn what_cant_be_acted_on_is_an_error_and_the_connection_goes_on() {
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

#[test]
fn an_id_that_is_open_already_is_an_error_and_harms_no_other() {
    let cluster = Cluster::new();
    let (mut first, mut second) = (cluster.client(), cluster.client());
    first.request_with("image", fields(7, 2000), &[]);
    let request = cluster.next_request();
    second.request_with("image", fields(7, 2000), &[]);
    assert!(second.next_answer().1.is_error("Broken"));
    request.answer_hit(b"x");
    assert_eq!(first.next_answer().1, FinalAnswer::done(b"x"));
    // Nor is it of use when it is answered: to a host it would be a second copy.
    second.request_with("image", fields(7, 2000), &[]);
    assert!(second.next_answer().1.is_error("Broken"));
}

#[test]
fn a_spoilt_answer_costs_few_other_requests() {
    let cluster = Cluster::with_config(|config, at| {
        let members = [("c1", "ready"), ("p1", "ready"), ("o1", "ready")];
        let members = members.map(|(id, phase)| member(id, at[id], phase, 0));
        config["known"]["entries"] = json!([hosts(1, true, &members)]);
    });
    let mut client = cluster.client();
    let numbers: Vec<u64> = (0..6).map(|n| client.request("image", n, 3000)).collect();
    let requests: Vec<HostMessage> = (0..6).map(|_| cluster.next_request()).collect();
    // It ends its own connection, and one more request shares that at most.
    let hit = |request: &&HostMessage| request.peer() == requests[0].peer();
    let hit = requests.iter().filter(hit).count();
    assert!(hit <= 2, "{hit} on one connection");
    let _ = (&requests[0].stream).write_all(b"nonsense");
    (0..hit).for_each(|_| assert_ne!(cluster.next_request().host, "c1"));
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
    assert_eq!(left.len(), hit);
}

#[test]
fn what_no_host_can_use_blames_none() {
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

#[test]
fn a_client_that_asks_for_more_at_once_than_it_may_is_closed() {
    let cluster = Cluster::new();
    let (mut rude, mut usual) = (cluster.client(), cluster.client());
    for object in 0..40 {
        let bytes = rude.encode("order", fields(object, 3000), b"");
        let _ = rude.stream.write_all(&bytes);
    }
    assert!(rude.is_closed());
    usual.request("image", 99, 3000);
    loop {
        let heard = cluster.next_message();
        if heard.field("name") == Some("0000000000000063") {
            heard.answer_hit(b"x");
            break;
        }
    }
    assert_eq!(usual.next_answer().1, FinalAnswer::done(b"x"));
}

#[test]
fn a_client_that_takes_nothing_is_let_go_when_all_is_too_late() {
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

#[test]
fn a_hosts_garbage_ends_its_connection_and_the_access_goes_on() {
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
    // A copy that was never offered can't be the one.
    client.request("image", 9, 2000);
    cluster.next_request().answer("unchanged", "-", b"");
    cluster.next_request().answer_hit(b"x");
    assert_eq!(client.next_answer().1, FinalAnswer::done(b"x"));
}

#[test]
fn another_host_at_a_gone_ones_address_has_connections_of_its_own() {
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
    let mut lines = BTreeSet::new();
    wait_for("the new one is used", || {
        client.request("image", 8, 3000);
        let request = cluster.next_request();
        request.answer_hit(b"x");
        client.next_answer();
        lines.insert(request.peer());
        request.host == first.host && request.peer() != first.peer()
    });
    // What the gone one had is still its to answer.
    first.answer_hit(b"last");
    assert_eq!(client.next_answer().1, FinalAnswer::done(b"last"));
}

fn resident_kb(cluster: &Cluster, name: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", cluster.program.child.id()));
    let status = status.expect("a process");
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let kb = line.expect("a figure").trim().trim_end_matches(" kB");
    kb.parse().expect("a number")
}

#[test]
fn answers_to_a_client_that_takes_nothing_stay_within_memory() {
    const ALLOWED_MS: u64 = 4000;
    let mut cluster = Cluster::with_config(|config, _| {
        config["limits"]["memory_mb"] = json!(16);
        config["settings"]["classes"][0]["on_time_us"] = json!(ALLOWED_MS * 1000);
        config["settings"]["classes"][0]["hard_limit_us"] = json!(ALLOWED_MS * 1000);
    });
    // The program's own pages are as many as its build has them: they are there once it has answered, not yet when its
    // socket listens.
    let _journal = cluster.next_journal_call();
    let mut usual = cluster.client();
    usual.request("image", 1000, 3000);
    cluster.next_request().answer_hit(b"x");
    assert_eq!(usual.next_answer().1, FinalAnswer::done(b"x"));
    let idle_kb = resident_kb(&cluster, "VmRSS:");
    // As many as a client may ask for at once: the system holds some 4 MB of the 7.7 MB for each, the program is left
    // with far more than it may hold.
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
    // Asked to end, it waits for its clients for as long as they may wait; its last figures tell the peak of it all.
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

#[test]
fn clients_that_ask_once_and_stay_give_way_to_a_newcomer() {
    let cluster = Cluster::with_config(|config, _| config["limits"]["sockets"] = json!(64));
    let stay: Vec<Client> = (0..80)
        .map(|_| {
            let mut client = cluster.client();
            client.request_with("heartbeat", vec![], &[]);
            assert_eq!(client.next_answer().1, FinalAnswer::done(&[1]));
            client
        })
        .collect();
    // One of them asks again, too late or in time: it is answered, or may ask anew.
    let mut first = stay.into_iter().next().expect("a client");
    assert!(first.is_closed());
}

#[test]
fn a_client_that_says_nothing_or_half_a_message_is_closed_within_three_seconds() {
    let cluster = Cluster::new();
    let began = Instant::now();
    let (mut silent, mut half) = (cluster.client(), cluster.client());
    half.stream.write_all(&[0x94, 0x00]).expect("half");
    let mut usual = cluster.client();
    usual.request("image", 7, 3000);
    let request = cluster.next_request();
    assert!(silent.is_closed() && half.is_closed());
    assert!(began.elapsed() >= Duration::from_secs(2));
    request.answer_hit(b"kept");
    assert_eq!(usual.next_answer().1, FinalAnswer::done(b"kept"));
}

#[test]
fn a_hangup_moves_the_journal_and_leaves_what_is_open_alone() {
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
        // One that is still to be read would be found replaced by the sound one, and that followed twice.
        wait_for("it says so", || refused(&cluster) > before);
    }
    let (lines_in, lines) = std::sync::mpsc::channel();
    let mut config = cluster.config.clone();
    config["journal"] = json!(harness::start_journal(lines_in).to_string());
    cluster.program.reload_config(&config.to_string());
    let mut line = lines
        .recv_timeout(MAX_WAIT)
        .expect("a call to the new address");
    assert_eq!(line.last_event_id, 1, "the numbers carry on");
    let drain = |name| member(name, cluster.addresses[name], "draining", 0);
    line.send(&hosts(2, false, &[drain("c1"), drain("c2")]));
    request.answer_hit(b"kept");
    assert_eq!(client.next_answer().1, FinalAnswer::done(b"kept"));
    wait_for("it is told", || {
        let heard = {
            client.request("image", 8, 1000);
            cluster.next_request()
        };
        heard.answer_hit(b"x");
        client.next_answer();
        heard.host == "p1"
    });
}

/// The settings of a deployment whose hosts tell their load when probed, and whose list tells no sizes.
fn moved(config: &Value) -> Value {
    let mut config = config.clone();
    config["settings"]["weights"] = json!("silent");
    config["settings"]["report"] = json!({"via": "pull", "fields": ["util", "x1"]});
    config["settings"]["ceilings"]["may_probe"] = json!(true);
    config
}

#[test]
fn hosts_are_probed_where_the_settings_say_so_and_one_that_stays_silent_is_asked_again() {
    let cluster = Cluster::with_config(|config, _| *config = moved(config));
    let (mut heard, until) = (Vec::new(), Instant::now() + MAX_WAIT);
    // Each of two caches and a parent, though none answers at first, and all of them again after that.
    while heard.len() < 9 && Instant::now() < until {
        let probe = cluster.next_message();
        assert_eq!((probe.command.as_str(), probe.fields.len()), ("METER", 0));
        if heard.len() >= 3 {
            probe.answer("well", "rep=util:0.5;x1:0.2", b"");
        }
        heard.push(probe.host);
    }
    for host in ["c1", "c2", "p1"] {
        assert!(
            heard.iter().filter(|&&known| known == host).count() >= 2,
            "{heard:?}"
        );
    }
    assert!(!heard.contains(&"o1"), "the origin tells nothing of use");
    // A report that can't be read spoils nothing else on its connection.
    let mut client = cluster.client();
    client.request("image", 7, 3000);
    let request = pull_past_probes(&cluster, "rep=\u{fffd};;nonsense");
    request.answer_hit(b"kept");
    assert_eq!(client.next_answer().1, FinalAnswer::done(b"kept"));
}

#[test]
fn in_the_first_seconds_after_the_switch_what_is_open_ends_and_what_drains_or_was_open_stays_so() {
    let cluster = Cluster::new();
    let mut line = cluster.next_journal_call();
    let mut client = cluster.client();
    // A parent fails, as the dispatcher learns before the switch.
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
    line.send(&hosts(
        2,
        false,
        &[member("c1", cluster.addresses["c1"], "draining", 0)],
    ));
    let asked = wait_for_draining(&cluster, &mut client);
    // An access is out at the switch.
    client.request("image", 5, 3000);
    let request = cluster.next_request();
    let config = moved(&cluster.config);
    cluster.program.reload_config(&config.to_string());
    wait_for("it follows", || {
        cluster.program.log_contains("settings followed")
    });
    request.answer_hit(b"kept");
    assert_eq!(client.next_answer().1, FinalAnswer::done(b"kept"));
    // From the first access on: nothing to the cache that drains, nothing by the parent that was open.
    for object in 0..20 {
        client.request("image", 2000 + object, 1500);
        let request = pull_past_probes(&cluster, "rep=0.3;0.1");
        assert_ne!(
            request.host, "c1",
            "it drained {asked} accesses before the switch"
        );
        assert_ne!(request.field("via"), Some("p1"), "its breaker was open");
        request.answer_hit(b"x");
        client.next_answer();
    }
    // The same file with another zone is not followed; it says so, and the present settings go on.
    let mut other = config.clone();
    other["settings"]["az"] = json!(0);
    cluster.program.reload_config(&other.to_string());
    wait_for("it says so", || {
        cluster
            .program
            .log_contains("settings wait for a new start")
    });
    // And back: the probes end.
    cluster.program.reload_config(&cluster.config.to_string());
    wait_for("it follows", || {
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

#[test]
fn settings_whose_operators_file_is_refused_do_not_hold_either() {
    let cluster = Cluster::new();
    let mut config = moved(&cluster.config);
    config["operator"] = json!("nowhere.json");
    cluster.program.reload_config(&config.to_string());
    wait_for("it says so", || {
        cluster.program.log_contains("operator's file refused")
    });
    assert!(!cluster.program.log_contains("settings followed"));
    // Read again without it, they are still other settings than those that hold.
    cluster
        .program
        .reload_config(&moved(&cluster.config).to_string());
    wait_for("it follows", || {
        cluster.program.log_contains("settings followed")
    });
}

/// The next request at a host; probes that come before it are answered with this report.
fn pull_past_probes(cluster: &Cluster, report: &str) -> HostMessage {
    loop {
        let heard = cluster.next_message();
        match heard.command.as_str() {
            "PULL" => return heard,
            "METER" => heard.answer("well", report, b""),
            _ => {}
        }
    }
}

/// How many accesses went by until the first cache got no more.
fn wait_for_draining(cluster: &Cluster, client: &mut harness::Client) -> u64 {
    let (mut asked, mut clean) = (0, 0);
    while clean < 12 {
        asked += 1;
        client.request("image", 4000 + asked, 1500);
        let request = cluster.next_request();
        clean = if request.host == "c1" { 0 } else { clean + 1 };
        request.answer_hit(b"x");
        client.next_answer();
        assert!(asked < 500, "the list is not heard");
    }
    asked
}
