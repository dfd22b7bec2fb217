//! Short stories played to the built program over sockets, one for each thing that goes wrong there.

#[allow(dead_code, reason = "the other tests of sockets use the rest of it")]
mod stage;

use serde_json::{Value, json};
use stage::*;
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::Shutdown;
use std::process::Command;
use std::time::{Duration, Instant};

#[test]
fn an_access_is_done_through_a_cache_as_it_was_decided() {
    let stage = Stage::new();
    let mut client = stage.client();
    let number = client.ask("image", 7, 2000);
    let pull = stage.pull();
    assert!(pull.host.starts_with('c'));
    assert!(pull.id.len() == 16 && pull.id.ends_with("abc00007"));
    let told = ["lane", "name", "piece", "via", "tier"].map(|name| pull.field(name).unwrap_or(""));
    assert_eq!(told, ["image", "0000000000000007", "0", "p1", "1"]);
    let ttl: u64 = pull
        .field("ttl")
        .and_then(|ms| ms.parse().ok())
        .expect("a time");
    assert!((1..=2000).contains(&ttl), "{ttl}");
    pull.hit(b"\r\n\0bytes");
    assert_eq!(client.answer(), (number, Final::done(b"\r\n\0bytes")));
    client.ask_with("heartbeat", vec![], &[]);
    assert_eq!(client.answer().1, Final::done(&[1]));
}

#[test]
fn an_object_of_full_size_comes_through_unchanged_and_memory_is_given_back() {
    let mut stage = Stage::new();
    let mut client = stage.client();
    let bytes: Vec<u8> = (0..240_000u32).map(|i| ((i * 7) >> 3) as u8).collect();
    for object in 0..40 {
        client.ask("image", object, 3000);
        stage
            .pull()
            .answer("data", "why=TCP_MISS,tag=aa,minted=1", &bytes);
        assert_eq!(client.answer().1, Final::done(&bytes));
    }
    client
        .stream
        .shutdown(Shutdown::Write)
        .expect("a half-close");
    assert!(client.is_closed());
    stage.program.signal("-TERM");
    assert!(stage.program.ended().success());
    let figures = stage.program.figures();
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
    let stage = Stage::new();
    let mut client = stage.client();
    let held = [fields(7, 2000), vec![("have".into(), "4be0c192".into())]].concat();
    client.ask_with("image", held, &[]);
    let pull = stage.pull();
    assert_eq!(pull.field("known"), Some("4be0c192"));
    pull.answer("unchanged", "why=TCP_HIT,tag=4be0c192,minted=1", b"");
    let same = [("same".to_owned(), "1".to_owned())].into();
    assert_eq!(client.answer().1, Final::Done(vec![], same));
}

#[test]
fn without_hosts_an_access_is_rejected_with_a_time_to_come_back() {
    let stage = Stage::with(|config, _| config["known"] = json!({"pos": 0, "entries": []}));
    let mut client = stage.client();
    client.ask("image", 7, 2000);
    let Final::Error(word, fields) = client.answer().1 else {
        panic!("done by nobody")
    };
    assert_eq!(word, "Throttled");
    let ms: u64 = fields["cooldown"].parse().expect("milliseconds");
    assert!((1..=2000).contains(&ms));
}

#[test]
fn a_binding_access_that_hangs_is_given_up_and_aborted_at_its_limit() {
    let stage = Stage::new();
    let mut client = stage.client();
    let allowed = Duration::from_millis(300);
    let (mut object, mut answer, mut asked) = (0, Final::done(b""), Instant::now());
    // One that could not be sent within its time is turned away, and another is asked; had the host heard of it all the
    // same, its name would come first below.
    wait_for("one is sent and hangs", || {
        (object, asked) = (object + 1, Instant::now());
        client.ask_with("order", fields(object, 300), b"change");
        answer = client.answer().1;
        !answer.is_error("Throttled")
    });
    let took = asked.elapsed();
    assert!(answer.is_error("Broken"), "{answer:?}");
    assert!(took >= allowed, "{took:?}");
    let pull = stage.hear();
    assert_eq!(
        (pull.word.as_str(), pull.body.as_slice(), pull.field("lane")),
        ("PULL", &b"change"[..], Some("order"))
    );
    assert_eq!(pull.field("name"), Some(format!("{object:016x}").as_str()));
    let kill = stage.hear();
    assert_eq!((kill.word.as_str(), kill.id), ("KILL", pull.id));
}

#[test]
fn a_binding_access_whose_connection_breaks_is_never_sent_twice() {
    let stage = Stage::new();
    let mut client = stage.client();
    client.ask("order", 7, 1000);
    stage.pull().hang_up();
    assert!(client.answer().1.is_error("Broken"));
    client.ask("image", 8, 1000);
    assert_eq!(
        stage.pull().field("lane"),
        Some("image"),
        "nothing in between"
    );
}

#[test]
fn a_retriable_access_whose_connection_breaks_goes_to_the_next_cache() {
    let stage = Stage::new();
    let mut client = stage.client();
    client.ask("image", 7, 2000);
    let first = stage.pull();
    first.hang_up();
    let second = stage.pull();
    assert_ne!(first.host, second.host);
    second.hit(b"x");
    assert_eq!(client.answer().1, Final::done(b"x"));
}

#[test]
fn a_late_answer_matches_nothing_and_the_same_id_goes_by_another_connection() {
    let stage = Stage::new();
    let mut client = stage.client();
    // The origin turns a change away, and it is asked again.
    client.ask("change", 7, 2000);
    let first = stage.pull();
    first.answer("full", "-", b"");
    let again = stage.pull();
    assert_eq!((first.host, &first.id), (again.host, &again.id));
    assert_ne!(first.line(), again.line());
    first.hit(b"late");
    again.hit(b"right");
    assert_eq!(client.answer().1, Final::done(b"right"));
}

#[test]
fn what_was_revoked_is_given_up_and_owed_nothing() {
    let stage = Stage::new();
    let mut client = stage.client();
    let first = client.ask("image", 7, 2000);
    let pull = stage.pull();
    client.revoke(first);
    let kill = stage.hear();
    assert_eq!((kill.word.as_str(), &kill.id), ("KILL", &pull.id));
    pull.hit(b"late");
    let second = client.ask("image", 8, 2000);
    stage.pull().hit(b"x");
    assert_eq!(client.answer(), (second, Final::done(b"x")));
}

#[test]
fn a_reset_gives_up_and_a_half_close_is_still_answered() {
    let stage = Stage::new();
    let (mut leaving, mut closing) = (stage.client(), stage.client());
    leaving.ask("image", 7, 2000);
    let left = stage.pull();
    let socket = socket2::SockRef::from(&leaving.stream);
    socket
        .set_linger(Some(Duration::ZERO))
        .expect("a reset at the close");
    drop(leaving);
    let kill = stage.hear();
    assert_eq!((kill.word.as_str(), kill.id), ("KILL", left.id));
    closing.ask("image", 8, 2000);
    closing
        .stream
        .shutdown(Shutdown::Write)
        .expect("a half-close");
    stage.pull().hit(b"x");
    assert_eq!(closing.answer().1, Final::done(b"x"));
    assert!(closing.is_closed());
}

#[test]
fn all_requests_at_once_in_odd_splits_are_answered_once_each() {
    let stage = Stage::new();
    let mut client = stage.client();
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
        held.push(stage.pull());
        if held.len() == 10 || n == 31 {
            // In any order.
            for pull in held.drain(..).rev() {
                pull.hit(pull.id.as_bytes());
            }
        }
    }
    for _ in 0..32 {
        let (number, last) = client.answer();
        let wanted = format!("{:016x}", 0xabc0_0000 + number - 1);
        assert_eq!(last, Final::done(wanted.as_bytes()));
        assert!(answered.insert(number), "{number} twice");
    }
    writing.join().expect("written");
}

/// So long an image counts in full where c1 can't be reached. An attempt there is overdue, and goes elsewhere by itself,
/// after six tenths of it: later than anything that a story waits for, on a busy machine as well.
const PATIENT_MS: u64 = 20_000;

/// A stage on which connections to the cache c1 never come up within the dial time, and images have long to
/// go elsewhere.
fn without_c1(dial_ms: u64) -> (Stage, impl Sized) {
    let gate = Gate::shut();
    let address = gate.address;
    let stage = Stage::with(|config, _| {
        config["settings"]["ceilings"]["dial_timeout_us"] = json!(dial_ms * 1000);
        config["settings"]["classes"][0]["on_time_us"] = json!(PATIENT_MS * 1000);
        config["settings"]["classes"][0]["hard_limit_us"] = json!(2 * PATIENT_MS * 1000);
        let members = config["known"]["entries"][0]["hosts"]["members"].as_array_mut();
        let members = members.expect("members").iter_mut();
        let c1 = members.filter(|member| member["id"] == "c1");
        c1.for_each(|member| member["host_port"] = json!(address.to_string()));
    });
    (stage, gate)
}

#[test]
fn a_vanished_cache_costs_the_dial_time_and_no_more() {
    let (stage, _silent) = without_c1(400);
    let mut client = stage.client();
    let mut slow = 0;
    for object in 0..12 {
        let asked = Instant::now();
        client.ask("image", object, 2 * PATIENT_MS);
        let pull = stage.pull();
        assert_eq!(pull.host, "c2");
        slow += u32::from(asked.elapsed() >= Duration::from_millis(390));
        pull.hit(b"x");
        assert_eq!(client.answer().1, Final::done(b"x"));
    }
    assert!(
        (1..12).contains(&slow),
        "those of c1 wait for the dial: {slow}"
    );
}

#[test]
fn a_fingerprinted_access_does_not_begin_anew_past_its_window() {
    let gate = Gate::shut();
    let address = gate.address;
    let stage = Stage::with(|config, _| {
        config["settings"]["ceilings"]["dial_timeout_us"] = json!(60_000_000);
        config["settings"]["classes"][1]["repeat_window_us"] = json!(500_000);
    });
    let (mut client, mut journal) = (stage.client(), stage.journal());
    client.ask("change", 7, 3000);
    let (pull, sent) = (stage.pull(), Instant::now());
    assert_eq!(pull.host, "o1");
    // It may have run; the repeat waits for a connection that never comes up.
    journal.tell(&hosts(2, false, &[member("o1", address, "ready", 0)]));
    assert!(client.answer().1.is_error("Throttled"));
    assert!(
        sent.elapsed() < Duration::from_secs(2),
        "at the end of the window, not of its time"
    );
}

/// Asks for some objects, of which those of c1 wait for a dial, tells an event, and gives the requests
/// that c2 hears; all of them come long before the dial time is over.
fn told_while_waiting(event: impl FnOnce(&Stage) -> serde_json::Value) -> Vec<Heard> {
    const OBJECTS: u64 = 12;
    let at_c2 = homes("c2").into_iter().filter(|&object| object < OBJECTS);
    let at_c2 = at_c2.count() as u64;
    assert!((1..OBJECTS).contains(&at_c2), "{at_c2}");
    let (mut stage, _silent) = without_c1(60_000);
    let mut client = stage.client();
    let mut journal = stage.journal();
    for object in 0..OBJECTS {
        client.ask("image", object, 2 * PATIENT_MS);
    }
    // The event finds those of c1 alone without a connection: all others have gone out.
    let mut pulls: Vec<Heard> = (0..at_c2).map(|_| stage.pull()).collect();
    let event = event(&stage);
    // The events of a client come in order: once this is heard, all were taken.
    client.ask_with("heartbeat", vec![], &[]);
    assert_eq!(client.answer().1, Final::done(&[1]));
    journal.tell(&event);
    pulls.extend((at_c2..OBJECTS).map(|_| stage.pull()));
    pulls.iter().for_each(|pull| pull.hit(b"x"));
    for _ in 0..OBJECTS {
        assert_eq!(client.answer().1, Final::done(b"x"));
    }
    stage.program.signal("-TERM");
    drop(client);
    assert!(stage.program.ended().success());
    let figures = stage.program.figures();
    assert!(figures.contains(" not_sent="), "some waited: {figures}");
    pulls
}

#[test]
fn a_drain_drops_what_waits_for_a_dial() {
    let event = |stage: &Stage| {
        hosts(
            2,
            false,
            &[member("c1", stage.addresses["c1"], "draining", 0)],
        )
    };
    let pulls = told_while_waiting(event);
    assert!(pulls.iter().all(|pull| pull.host == "c2"));
}

#[test]
fn a_drained_source_drops_what_waits_for_a_dial() {
    let event = |stage: &Stage| {
        hosts(
            2,
            false,
            &[member("p1", stage.addresses["p1"], "draining", 0)],
        )
    };
    let pulls = told_while_waiting(event);
    let from_parent = pulls
        .iter()
        .filter(|pull| pull.field("via") == Some("p1"))
        .count();
    assert!((1..12).contains(&from_parent), "{from_parent}");
}

#[test]
fn a_purge_drops_what_waits_for_a_dial_and_bounds_the_age() {
    let pulls =
        told_while_waiting(|_| json!({"pos": 2, "expire": {"set": 17, "stamp": unix_ms()}}));
    let fresh = |pull: &Heard| pull.field("fresh").and_then(|ms| ms.parse::<u64>().ok());
    let bound: Vec<u64> = pulls.iter().filter_map(fresh).collect();
    assert!(
        !bound.is_empty() && bound.iter().all(|ms| (1..3000).contains(ms)),
        "{bound:?}"
    );
}

#[test]
fn the_purge_of_one_object_needs_no_group() {
    let stage = Stage::new();
    let (mut client, mut journal) = (stage.client(), stage.journal());
    journal.tell(&json!({"pos": 2, "expire": {"name": format!("{:016x}", 7), "stamp": unix_ms()}}));
    // Until it has come, the access is asked again.
    wait_for("the purge is heeded", || {
        client.ask("image", 7, 2000);
        let pull = stage.pull();
        pull.hit(b"x");
        client.answer();
        pull.field("fresh").is_some_and(|ms| ms != "0")
    });
    client.ask("image", 8, 2000);
    assert_eq!(
        stage.pull().field("fresh"),
        None,
        "another object of the group"
    );
}

#[test]
fn a_torn_journal_is_called_again_and_tells_each_event_once() {
    let stage = Stage::new();
    let mut client = stage.client();
    let gone = |pos, id| hosts(pos, false, &[member(id, stage.addresses[id], "gone", 0)]);
    let back = |pos, id| hosts(pos, false, &[member(id, stage.addresses[id], "ready", 0)]);
    let mut journal = stage.journal();
    assert_eq!(journal.last, 1);
    journal.tell(&gone(2, "c1"));
    journal.tell(&back(3, "c1"));
    journal.tell(&gone(4, "c2"));
    journal.hang_up();
    let mut journal = stage.journal();
    assert_eq!(journal.last, 4);
    // A repeat of the second would take c1 away, too.
    journal.tell(&gone(2, "c1"));
    journal.tell(&gone(5, "p1"));
    wait_for("the last event is heeded", || {
        client.ask("image", 7, 2000);
        let pull = stage.pull();
        assert_eq!(pull.host, "c1");
        pull.hit(b"x");
        client.answer();
        pull.field("via") == Some("o1")
    });
    // A gap is not passed over: the events before it are asked for.
    journal.tell(&back(9, "c2"));
    assert_eq!(stage.journal().last, 5);
}

#[test]
fn an_unreadable_member_is_passed_over_and_an_unknown_zone_serves_nobody() {
    let stage = Stage::new();
    let (mut client, mut journal) = (stage.client(), stage.journal());
    let at = |id| stage.addresses[id];
    let mut nowhere = member("c7", at("c1"), "ready", 0);
    nowhere["locality"] = json!("nowhere");
    let broken = json!({"id": "c8", "phase": "ready"});
    let gone = member("c1", at("c1"), "gone", 0);
    journal.tell(&hosts(2, false, &[nowhere, broken, gone]));
    journal.tell(&json!({"pos": 3, "expire": {"set": 17, "stamp": unix_ms()}}));
    wait_for("both are heeded", || {
        client.ask("image", 7, 2000);
        let pull = stage.pull();
        pull.hit(b"x");
        client.answer();
        pull.field("fresh").is_some()
    });
    for object in 0..20 {
        client.ask("image", object, 2000);
        let pull = stage.pull();
        assert_eq!(pull.host, "c2");
        pull.hit(b"x");
        client.answer();
    }
}

#[test]
fn a_silent_journal_is_called_again() {
    let stage = Stage::new();
    let silent = stage.journal();
    let called = Instant::now();
    assert_eq!(stage.journal().last, 1);
    assert!(called.elapsed() >= Duration::from_secs(2));
    drop(silent);
}

#[test]
fn a_connection_that_owed_an_answer_and_said_nothing_is_not_used_again() {
    let stage = Stage::new();
    let mut client = stage.client();
    // Another hand-off keeps it up.
    client.ask("order", 6, 3000);
    assert_eq!(stage.pull().host, "o1");
    client.ask("order", 7, 600);
    let silent = stage.pull();
    assert!(client.answer().1.is_error("Broken"));
    client.ask("order", 8, 600);
    let next = stage.pull();
    assert_eq!((next.host, silent.host), ("o1", "o1"));
    assert_ne!(next.line(), silent.line());
}

#[test]
fn what_a_silent_process_held_ends_when_its_new_start_is_told() {
    let stage = Stage::new();
    let (mut client, mut journal) = (stage.client(), stage.journal());
    client.ask("order", 7, 3000);
    let pull = stage.pull();
    let anew = member(
        pull.host,
        stage.addresses[pull.host],
        "ready",
        unix_ms() + 1,
    );
    let told = Instant::now();
    journal.tell(&hosts(2, false, &[anew]));
    assert!(client.answer().1.is_error("Broken"));
    assert!(
        told.elapsed() < Duration::from_secs(2),
        "long before its limit"
    );
}

#[test]
fn a_connection_to_the_new_process_outlives_the_late_word_of_its_start() {
    let stage = Stage::new();
    let (mut client, mut journal) = (stage.client(), stage.journal());
    client.ask("order", 7, 3000);
    let pull = stage.pull();
    let before = member(
        pull.host,
        stage.addresses[pull.host],
        "ready",
        unix_ms() - 600_000,
    );
    let purge = json!({"pos": 3, "expire": {"name": format!("{:016x}", 8), "stamp": unix_ms()}});
    journal.tell(&hosts(2, false, &[before]));
    journal.tell(&purge);
    // Once the purge is heeded, the list was, too.
    wait_for("both are heeded", || {
        client.ask("image", 8, 2000);
        let read = stage.pull();
        read.hit(b"x");
        assert_eq!(
            client.answer().1,
            Final::done(b"x"),
            "the order is still open"
        );
        read.field("fresh").is_some()
    });
    pull.hit(b"done");
    assert_eq!(client.answer().1, Final::done(b"done"));
}

#[test]
fn a_client_with_all_its_requests_open_can_still_revoke() {
    let stage = Stage::new();
    let mut client = stage.client();
    let numbers: Vec<u64> = (0..32).map(|n| client.ask("change", n, 3000)).collect();
    let pulls: Vec<Heard> = (0..32).map(|_| stage.pull()).collect();
    client.revoke(numbers[9]);
    let kill = stage.hear();
    let ninth = |pull: &&Heard| pull.field("name") == Some("0000000000000009");
    let ninth = pulls.iter().find(ninth).expect("the ninth");
    assert_eq!((kill.word.as_str(), &kill.id), ("KILL", &ninth.id));
}

#[test]
fn hash_order_agrees_among_dispatchers_with_other_addresses_and_after_a_restart() {
    let (a, b) = (Stage::new(), Stage::new());
    assert_ne!(a.addresses, b.addresses);
    let homes = |stage: &Stage| -> Vec<&'static str> {
        let mut client = stage.client();
        let home = |object| {
            client.ask("image", object, 2000);
            let pull = stage.pull();
            pull.hit(b"x");
            client.answer();
            pull.host
        };
        (0..30).map(home).collect()
    };
    let wanted = homes(&a);
    assert!(wanted.contains(&"c1") && wanted.contains(&"c2"));
    assert_eq!(homes(&b), wanted);
    // Killed outright while clients are connected, and started again at once on the same address.
    let Stage {
        mut program,
        config,
        addresses,
        heard_in,
        ..
    } = b;
    let connected = Client::new(program.address);
    program.signal("-KILL");
    program.ended();
    let again = Program::start(&config, program.address);
    drop((connected, again, addresses, heard_in));
    assert_eq!(homes(&a), wanted);
}

#[test]
fn asked_to_end_under_traffic_it_answers_all_and_exits_with_zero() {
    let mut stage = Stage::new();
    let mut clients: Vec<Client> = (0..8).map(|_| stage.client()).collect();
    let ask = |clients: &mut [Client], from: u64| {
        for (n, client) in (from..).zip(clients) {
            client.ask("image", n, 3000);
        }
    };
    let answer = |clients: &mut [Client], pulls: &[Heard]| {
        pulls.iter().for_each(|pull| pull.hit(b"x"));
        for client in clients {
            assert_eq!(client.answer().1, Final::done(b"x"));
        }
    };
    ask(&mut clients, 0);
    let open: Vec<Heard> = (0..8).map(|_| stage.pull()).collect();
    stage.program.signal("-TERM");
    let asked = Instant::now();
    std::thread::sleep(Duration::from_millis(250));
    answer(&mut clients, &open);
    // Nothing is open now; requests still come, on open connections and on new ones.
    std::thread::sleep(Duration::from_millis(100));
    clients.push(stage.client());
    std::thread::sleep(Duration::from_millis(100));
    ask(&mut clients, 10);
    let late: Vec<Heard> = (0..9).map(|_| stage.pull()).collect();
    answer(&mut clients, &late);
    assert!(clients.iter_mut().all(Client::is_closed));
    let took = asked.elapsed();
    assert!(
        took < Duration::from_millis(2500),
        "half-closed by it: {took:?}"
    );
    drop(clients);
    assert!(stage.program.ended().success());
}

#[test]
fn a_bad_start_is_a_plain_message_and_another_exit_code() {
    let stage = Stage::new();
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
    let (free, sound) = (free_address().to_string(), stage.config.to_string());
    fails(None, &free, "RELAY_CONFIG is not set");
    fails(Some("{"), &free, "is not JSON");
    fails(Some("{\"seed\":\"1\"}"), &free, "settings are missing");
    fails(
        Some(&sound.replace("\"az\":1", "\"az\":\"x\"")),
        &free,
        "setting az can't be read",
    );
    let mut wrong = stage.config.clone();
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
        let mut wrong = stage.config.clone();
        *wrong.pointer_mut(field).expect("a field") = value;
        fails(Some(&wrong.to_string()), &free, why);
    }
    fails(Some("[]"), &free, "it is not an object");
    fails(Some(&sound), "nowhere", "is not an address");
    fails(
        Some(&sound),
        &stage.program.address.to_string(),
        "can't listen on",
    );
    let _ = std::fs::remove_file(path);
}

#[test]
fn a_clients_garbage_ends_its_connection_alone() {
    let stage = Stage::new();
    let (mut sound, mut chance) = (stage.client(), fastrand::Rng::with_seed(9));
    for n in 0..30u64 {
        let mut bad = stage.client();
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
        let number = sound.ask("image", n, 2000);
        let wanted = format!("{n:016x}");
        let mut pulls = std::iter::repeat_with(|| stage.pull());
        let pull = pulls.find(|pull| pull.field("name") == Some(&wanted));
        pull.expect("the sound one").hit(b"x");
        assert_eq!(sound.answer(), (number, Final::done(b"x")));
    }
}

#[test]
fn what_cant_be_acted_on_is_an_error_and_the_connection_goes_on() {
    let stage = Stage::new();
    let mut client = stage.client();
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
        let number = client.ask_with("image", fields, &[]);
        assert_eq!(
            client.answer(),
            (number, Final::Error("Broken".into(), Default::default()))
        );
    }
    client.ask("no-such-track", 7, 900);
    assert!(client.answer().1.is_error("Broken"));
    client.ask_with("change", fields(7, 900), &[0; 48_001]);
    assert!(client.answer().1.is_error("Broken"));
    client.ask_with("change", fields(7, 900), &[5; 48_000]);
    let pull = stage.pull();
    assert_eq!(pull.body, [5; 48_000]);
    pull.answer("data", "tag=a,minted=1", b"");
    assert_eq!(client.answer().1, Final::done(b""));
}

#[test]
fn an_id_that_is_open_already_is_an_error_and_harms_no_other() {
    let stage = Stage::new();
    let (mut first, mut second) = (stage.client(), stage.client());
    first.ask_with("image", fields(7, 2000), &[]);
    let pull = stage.pull();
    second.ask_with("image", fields(7, 2000), &[]);
    assert!(second.answer().1.is_error("Broken"));
    pull.hit(b"x");
    assert_eq!(first.answer().1, Final::done(b"x"));
    // Nor is it of use when it is answered: to a host it would be a second copy.
    second.ask_with("image", fields(7, 2000), &[]);
    assert!(second.answer().1.is_error("Broken"));
}

#[test]
fn a_spoilt_answer_costs_few_other_requests() {
    let stage = Stage::with(|config, at| {
        let members = [("c1", "ready"), ("p1", "ready"), ("o1", "ready")];
        let members = members.map(|(id, phase)| member(id, at[id], phase, 0));
        config["known"]["entries"] = json!([hosts(1, true, &members)]);
    });
    let mut client = stage.client();
    let numbers: Vec<u64> = (0..6).map(|n| client.ask("image", n, 3000)).collect();
    let pulls: Vec<Heard> = (0..6).map(|_| stage.pull()).collect();
    // It ends its own connection, and one more request shares that at most.
    let hit = |pull: &&Heard| pull.line() == pulls[0].line();
    let hit = pulls.iter().filter(hit).count();
    assert!(hit <= 2, "{hit} on one connection");
    let _ = (&pulls[0].stream).write_all(b"nonsense");
    (0..hit).for_each(|_| assert_ne!(stage.pull().host, "c1"));
    let mut left: BTreeSet<u64> = numbers.into_iter().collect();
    for pull in pulls.iter().filter(|pull| pull.line() != pulls[0].line()) {
        assert_eq!(pull.host, "c1");
        pull.hit(b"kept");
        let (number, last) = client.answer();
        assert_eq!(last, Final::done(b"kept"));
        assert!(left.remove(&number));
    }
    assert_eq!(left.len(), hit);
}

#[test]
fn what_no_host_can_use_blames_none() {
    let stage = Stage::new();
    for object in 0..20 {
        let mut client = stage.client();
        client.ask("image", object, 400);
        let answers = std::thread::scope(|scope| {
            let answer = scope.spawn(|| client.answer().1);
            while !answer.is_finished() {
                if let Some(pull) = stage.pull_within(Duration::from_millis(20)) {
                    pull.answer("failed", "-", b"");
                }
            }
            answer.join().expect("an answer")
        });
        assert!(!matches!(answers, Final::Done(..)));
    }
    assert!(!stage.program.logged("breaker open"));
}

#[test]
fn a_client_that_asks_for_more_at_once_than_it_may_is_closed() {
    let stage = Stage::new();
    let (mut rude, mut usual) = (stage.client(), stage.client());
    for object in 0..40 {
        let bytes = rude.encode("order", fields(object, 3000), b"");
        let _ = rude.stream.write_all(&bytes);
    }
    assert!(rude.is_closed());
    usual.ask("image", 99, 3000);
    loop {
        let heard = stage.hear();
        if heard.field("name") == Some("0000000000000063") {
            heard.hit(b"x");
            break;
        }
    }
    assert_eq!(usual.answer().1, Final::done(b"x"));
}

#[test]
fn a_client_that_takes_nothing_is_let_go_when_all_is_too_late() {
    let stage = Stage::with(|config, _| {
        let classes = config["settings"]["classes"].as_array_mut();
        let classes = classes.expect("classes").iter_mut();
        classes.for_each(|class| class["hard_limit_us"] = json!(500_000));
    });
    let mut client = stage.client();
    (0..30).for_each(|object| {
        client.ask("image", object, 500);
    });
    let pulls: Vec<Heard> = (0..30).map(|_| stage.pull()).collect();
    pulls.iter().for_each(|pull| pull.hit(&[7; 240_000]));
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
    let stage = Stage::new();
    let mut client = stage.client();
    for (object, garbage) in [&b"*9\r\n"[..], b"nonsense", b"*4\r\n$-1\r\n"]
        .into_iter()
        .enumerate()
    {
        client.ask("image", object as u64, 2000);
        let first = stage.pull();
        let _ = (&first.stream).write_all(garbage);
        let second = stage.pull();
        assert_ne!(first.host, second.host);
        second.hit(b"x");
        assert_eq!(client.answer().1, Final::done(b"x"));
    }
    // A copy that was never offered can't be the one.
    client.ask("image", 9, 2000);
    stage.pull().answer("unchanged", "-", b"");
    stage.pull().hit(b"x");
    assert_eq!(client.answer().1, Final::done(b"x"));
}

#[test]
fn another_host_at_a_gone_ones_address_has_connections_of_its_own() {
    let stage = Stage::new();
    let (mut client, mut journal) = (stage.client(), stage.journal());
    client.ask("image", 7, 3000);
    let first = stage.pull();
    let address = stage.addresses[first.host];
    journal.tell(&hosts(
        2,
        false,
        &[
            member(first.host, address, "gone", 0),
            member("c9", address, "ready", 0),
        ],
    ));
    let other = if first.host == "c1" { "c2" } else { "c1" };
    journal.tell(&hosts(
        3,
        false,
        &[member(other, stage.addresses[other], "gone", 0)],
    ));
    let mut lines = BTreeSet::new();
    wait_for("the new one is used", || {
        client.ask("image", 8, 3000);
        let pull = stage.pull();
        pull.hit(b"x");
        client.answer();
        lines.insert(pull.line());
        pull.host == first.host && pull.line() != first.line()
    });
    // What the gone one had is still its to answer.
    first.hit(b"last");
    assert_eq!(client.answer().1, Final::done(b"last"));
}

fn resident_kb(stage: &Stage, name: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", stage.program.child.id()));
    let status = status.expect("a process");
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let kb = line.expect("a figure").trim().trim_end_matches(" kB");
    kb.parse().expect("a number")
}

#[test]
fn answers_to_a_client_that_takes_nothing_stay_within_memory() {
    const ALLOWED_MS: u64 = 4000;
    let mut stage = Stage::with(|config, _| {
        config["limits"]["memory_mb"] = json!(16);
        config["settings"]["classes"][0]["on_time_us"] = json!(ALLOWED_MS * 1000);
        config["settings"]["classes"][0]["hard_limit_us"] = json!(ALLOWED_MS * 1000);
    });
    // The program's own pages are as many as its build has them: they are there once it has answered, not yet when its
    // socket listens.
    let _journal = stage.journal();
    let mut usual = stage.client();
    usual.ask("image", 1000, 3000);
    stage.pull().hit(b"x");
    assert_eq!(usual.answer().1, Final::done(b"x"));
    let idle_kb = resident_kb(&stage, "VmRSS:");
    // As many as a client may ask for at once: the system holds some 4 MB of the 7.7 MB for each, the program is left
    // with far more than it may hold.
    let mut slow: Vec<Client> = (0..4).map(|_| stage.client()).collect();
    for client in &slow {
        let socket = socket2::SockRef::from(&client.stream);
        socket.set_recv_buffer_size(4096).expect("a small buffer");
    }
    for object in 0..32 {
        for (n, client) in (0..).zip(&mut slow) {
            client.ask("image", object * 4 + n, ALLOWED_MS);
        }
    }
    let bytes = vec![7; 240_000];
    let pulls: Vec<Heard> = (0..128).map(|_| stage.pull()).collect();
    let writing = std::thread::spawn(move || pulls.iter().for_each(|pull| pull.hit(&bytes)));
    // Asked to end, it waits for its clients for as long as they may wait; its last figures tell the peak of it all.
    stage.program.signal("-TERM");
    assert!(stage.program.ended().success());
    writing.join().expect("written");
    let figures = stage.program.figures();
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
    let stage = Stage::with(|config, _| config["limits"]["sockets"] = json!(64));
    let stay: Vec<Client> = (0..80)
        .map(|_| {
            let mut client = stage.client();
            client.ask_with("heartbeat", vec![], &[]);
            assert_eq!(client.answer().1, Final::done(&[1]));
            client
        })
        .collect();
    // One of them asks again, too late or in time: it is answered, or may ask anew.
    let mut first = stay.into_iter().next().expect("a client");
    assert!(first.is_closed());
}

#[test]
fn a_client_that_says_nothing_or_half_a_message_is_closed_within_three_seconds() {
    let stage = Stage::new();
    let began = Instant::now();
    let (mut silent, mut half) = (stage.client(), stage.client());
    half.stream.write_all(&[0x94, 0x00]).expect("half");
    let mut usual = stage.client();
    usual.ask("image", 7, 3000);
    let pull = stage.pull();
    assert!(silent.is_closed() && half.is_closed());
    assert!(began.elapsed() >= Duration::from_secs(2));
    pull.hit(b"kept");
    assert_eq!(usual.answer().1, Final::done(b"kept"));
}

#[test]
fn a_hangup_moves_the_journal_and_leaves_what_is_open_alone() {
    let stage = Stage::new();
    let _former = stage.journal();
    let mut client = stage.client();
    client.ask("image", 7, 3000);
    let pull = stage.pull();
    let refused = |stage: &Stage| {
        stage
            .program
            .log()
            .matches("new configuration refused")
            .count()
    };
    for (before, bad) in ["{\"half\": ", "{\"journal\": \"nowhere\"}"]
        .iter()
        .enumerate()
    {
        stage.program.configure(bad);
        // One that is still to be read would be found replaced by the sound one, and that followed twice.
        wait_for("it says so", || refused(&stage) > before);
    }
    let (lines_in, lines) = std::sync::mpsc::channel();
    let mut config = stage.config.clone();
    config["journal"] = json!(stage::journal(lines_in).to_string());
    stage.program.configure(&config.to_string());
    let mut line = lines.recv_timeout(SOON).expect("a call to the new address");
    assert_eq!(line.last, 1, "the numbers carry on");
    let drain = |name| member(name, stage.addresses[name], "draining", 0);
    line.tell(&hosts(2, false, &[drain("c1"), drain("c2")]));
    pull.hit(b"kept");
    assert_eq!(client.answer().1, Final::done(b"kept"));
    wait_for("it is told", || {
        let heard = {
            client.ask("image", 8, 1000);
            stage.pull()
        };
        heard.hit(b"x");
        client.answer();
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
    let stage = Stage::with(|config, _| *config = moved(config));
    let (mut heard, until) = (Vec::new(), Instant::now() + SOON);
    // Each of two caches and a parent, though none answers at first, and all of them again after that.
    while heard.len() < 9 && Instant::now() < until {
        let probe = stage.hear();
        assert_eq!((probe.word.as_str(), probe.fields.len()), ("METER", 0));
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
    let mut client = stage.client();
    client.ask("image", 7, 3000);
    let pull = pull_past_probes(&stage, "rep=\u{fffd};;nonsense");
    pull.hit(b"kept");
    assert_eq!(client.answer().1, Final::done(b"kept"));
}

#[test]
fn in_the_first_seconds_after_the_switch_what_is_open_ends_and_what_drains_or_was_open_stays_so() {
    let stage = Stage::new();
    let mut line = stage.journal();
    let mut client = stage.client();
    // A parent fails, as the dispatcher learns before the switch.
    let mut opened = 0;
    while !stage.program.logged("Parent") && opened < 60 {
        opened += 1;
        client.ask("image", 1000 + opened, 1500);
        let pull = stage.pull();
        match (pull.host, pull.field("via")) {
            ("p1", _) => pull.hang_up(),
            (_, Some("p1")) => pull.answer("failed", "-", b""),
            _ => pull.hit(b"x"),
        }
        while let Some(again) = stage.pull_within(Duration::from_millis(20)) {
            again.hit(b"x");
        }
        client.answer();
    }
    assert!(stage.program.logged("breaker open"), "after {opened}");
    line.tell(&hosts(
        2,
        false,
        &[member("c1", stage.addresses["c1"], "draining", 0)],
    ));
    let asked = wait_for_draining(&stage, &mut client);
    // An access is out at the switch.
    client.ask("image", 5, 3000);
    let pull = stage.pull();
    let config = moved(&stage.config);
    stage.program.configure(&config.to_string());
    wait_for("it follows", || stage.program.logged("settings followed"));
    pull.hit(b"kept");
    assert_eq!(client.answer().1, Final::done(b"kept"));
    // From the first access on: nothing to the cache that drains, nothing by the parent that was open.
    for object in 0..20 {
        client.ask("image", 2000 + object, 1500);
        let pull = pull_past_probes(&stage, "rep=0.3;0.1");
        assert_ne!(
            pull.host, "c1",
            "it drained {asked} accesses before the switch"
        );
        assert_ne!(pull.field("via"), Some("p1"), "its breaker was open");
        pull.hit(b"x");
        client.answer();
    }
    // The same file with another zone is not followed; it says so, and the present settings go on.
    let mut other = config.clone();
    other["settings"]["az"] = json!(0);
    stage.program.configure(&other.to_string());
    wait_for("it says so", || {
        stage.program.logged("settings wait for a new start")
    });
    // And back: the probes end.
    stage.program.configure(&stage.config.to_string());
    wait_for("it follows", || stage.program.logged("probes: false"));
    std::thread::sleep(Duration::from_millis(200));
    while stage.pull_within(Duration::from_millis(5)).is_some() {}
    client.ask("image", 3000, 1500);
    stage.pull().hit(b"back");
    assert_eq!(client.answer().1, Final::done(b"back"));
}

#[test]
fn settings_whose_operators_file_is_refused_do_not_hold_either() {
    let stage = Stage::new();
    let mut config = moved(&stage.config);
    config["operator"] = json!("nowhere.json");
    stage.program.configure(&config.to_string());
    wait_for("it says so", || {
        stage.program.logged("operator's file refused")
    });
    assert!(!stage.program.logged("settings followed"));
    // Read again without it, they are still other settings than those that hold.
    stage.program.configure(&moved(&stage.config).to_string());
    wait_for("it follows", || stage.program.logged("settings followed"));
}

/// The next request at a host; probes that come before it are answered with this report.
fn pull_past_probes(stage: &Stage, report: &str) -> Heard {
    loop {
        let heard = stage.hear();
        match heard.word.as_str() {
            "PULL" => return heard,
            "METER" => heard.answer("well", report, b""),
            _ => {}
        }
    }
}

/// How many accesses went by until the first cache got no more.
fn wait_for_draining(stage: &Stage, client: &mut stage::Client) -> u64 {
    let (mut asked, mut clean) = (0, 0);
    while clean < 12 {
        asked += 1;
        client.ask("image", 4000 + asked, 1500);
        let pull = stage.pull();
        clean = if pull.host == "c1" { 0 } else { clean + 1 };
        pull.hit(b"x");
        client.answer();
        assert!(asked < 500, "the list is not heard");
    }
    asked
}
