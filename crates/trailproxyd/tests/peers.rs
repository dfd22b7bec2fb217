//! Tests of dispatchers that share state by messages to each other: several built programs on loopback.

#[allow(dead_code, reason = "other test files use the rest")]
mod harness;

use harness::*;
use serde_json::{Value as Json, json};
use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::time::Duration;

/// Builds a configuration with a `peers` section.
fn section(listen: SocketAddr, seeds: &[SocketAddr], fleet: &str) -> Json {
    json!({"peers": {
        "file": "operator.star", "place": [1, 1], "fleet": fleet, "secret_file": "", "listen": listen.to_string(),
        "advertise": "", "seeds": seeds.iter().map(SocketAddr::to_string).collect::<Vec<_>>(), "wait_ms": 50.0,
        "keep_s": 5.0, "records": true, "purges": true, "hosts": true, "hints": true
    }})
}

/// The target of a change. Its client does not give up before.
const CHANGE_TARGET_US: u64 = 2_400_000;

/// Several dispatchers with the same hosts. The first one is that of the cluster.
struct Fleet {
    cluster: Cluster,
    configs: Vec<Json>,
    addresses: Vec<SocketAddr>,
    others: Vec<Option<Program>>,
    files: Vec<PathBuf>,
}

impl Fleet {
    fn new(name: &str, n: usize) -> Fleet {
        let addresses: Vec<SocketAddr> = (0..n).map(|_| free_address()).collect();
        let file = |index: usize| {
            let path = std::env::temp_dir()
                .join(format!("tpp-{name}-{index}-{}.json", std::process::id()));
            let text = section(addresses[index], &addresses, "stories").to_string();
            std::fs::write(&path, text).expect("a file");
            path
        };
        let files: Vec<PathBuf> = (0..n).map(file).collect();
        let configure = |config: &mut Json, index: usize| {
            // A repeated change waits for its first dispatcher for a quarter of the target. Even on a busy machine, a test
            // answers the first dispatcher sooner.
            config["settings"]["classes"][1]["on_time_us"] = json!(CHANGE_TARGET_US);
            config["operator"] = json!(files[index]);
            config["name"] = json!(format!("d{index}"));
        };
        let cluster = Cluster::with_config(|config, _| configure(config, 0));
        let mut configs = vec![cluster.config.clone()];
        let mut others = Vec::new();
        for index in 1..n {
            let mut config = cluster.config.clone();
            configure(&mut config, index);
            others.push(Some(Program::start(&config, free_address())));
            configs.push(config);
        }
        Fleet {
            cluster,
            configs,
            addresses,
            others,
            files,
        }
    }

    fn program(&self, index: usize) -> &Program {
        match index.checked_sub(1) {
            None => &self.cluster.program,
            Some(index) => self.others[index].as_ref().expect("it is up"),
        }
    }

    fn client(&self, index: usize) -> Client {
        Client::new(self.program(index).address)
    }

    /// Waits until each dispatcher knows all others.
    fn wait_until_connected(&self) {
        let others = self.configs.len() - 1;
        for index in 0..self.configs.len() {
            let known = || self.program(index).log().matches("is: Alive").count();
            wait_for("all peers", || known() >= others);
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for file in &self.files {
            let _ = std::fs::remove_file(file);
        }
    }
}

/// A keyed request is repeated at other dispatchers while it is in flight, after it is done, and after the dispatchers
/// that did it are killed. Guards against running it twice.
#[test]
fn a_repeat_at_another_dispatcher_runs_once_even_after_the_first_is_killed() {
    let mut fleet = Fleet::new("again", 3);
    fleet.wait_until_connected();
    let (mut first, mut second) = (fleet.client(0), fleet.client(1));
    first.request_with("change", keyed_fields("k1"), b"new address");
    let change = fleet.cluster.next_request();
    // While the request is in flight, the second dispatcher waits for it and gets its answer.
    second.request_with("change", keyed_fields("k1"), b"new address");
    let none = fleet.cluster.next_request_within(Duration::from_millis(80));
    assert!(none.is_none(), "the repeat joins");
    change.answer("data", "", b"accepted");
    assert_done(first.next_answer().1, b"accepted");
    assert_done(second.next_answer().1, b"accepted");
    // The third dispatcher is informed of the result by a message, which a kill at this moment could prevent. It also asks
    // the others and keeps what they answer.
    let mut third = fleet.client(2);
    third.request_with("change", keyed_fields("k1"), b"new address");
    assert_done(third.next_answer().1, b"accepted");
    // The dispatchers that know the result first-hand are gone; the third still knows it.
    fleet.others[0].take();
    fleet.cluster.program.signal("-KILL");
    third.request_with("change", keyed_fields("k1"), b"new address");
    assert_done(third.next_answer().1, b"accepted");
    let none = fleet.cluster.next_request_within(Duration::from_millis(50));
    assert!(none.is_none(), "no host received it twice");
}

/// Two of three dispatchers are stopped. Guards against requests that wait for them, and against a repeat that runs
/// again at one of them after it continues.
#[test]
fn a_paused_dispatcher_delays_nobody_and_learns_the_records_later() {
    let fleet = Fleet::new("paused", 3);
    fleet.wait_until_connected();
    fleet.program(1).signal("-STOP");
    fleet.program(2).signal("-STOP");
    let mut client = fleet.client(0);
    for index in 0..6 {
        client.request_with("change", keyed_fields(&format!("p{index}")), b"x");
        fleet.cluster.next_request().answer("data", "", b"ok");
        assert_done(client.next_answer().1, b"ok");
    }
    fleet.program(1).signal("-CONT");
    fleet.program(2).signal("-CONT");
    // After they continue, they learn what was done meanwhile.
    let mut other = fleet.client(1);
    wait_for("the record", || {
        other.request_with("change", keyed_fields("p0"), b"x");
        match fleet
            .cluster
            .next_request_within(Duration::from_millis(200))
        {
            Some(change) => {
                change.answer("data", "", b"again");
                assert_done(other.next_answer().1, b"again");
                false
            }
            None => {
                assert_done(other.next_answer().1, b"ok");
                true
            }
        }
    });
}

/// Only one dispatcher receives a purge from the journal. Guards against stale copies served by the others, including
/// one that starts later.
#[test]
fn a_purge_known_to_one_dispatcher_reaches_all_and_a_new_one() {
    let mut fleet = Fleet::new("purge", 3);
    fleet.wait_until_connected();
    let purge = json!({"pos": 2, "expire": {"name": format!("{:016x}", 7), "stamp": unix_ms()}});
    let mut journal = fleet.cluster.next_journal_call();
    journal.send(&purge);
    // The others receive nothing from the journal. One of them is restarted and must learn of the purge, too.
    fleet.others[1].take();
    let again = Program::start(&fleet.configs[2], free_address());
    fleet.others[1] = Some(again);
    for index in [1, 2] {
        let mut client = fleet.client(index);
        wait_for("the purge is applied", || {
            client.request("image", 7, 2000);
            let request = fleet.cluster.next_request();
            request.answer_hit(b"x");
            client.next_answer();
            request.field("fresh").is_some_and(|ms| ms != "0")
        });
    }
}

/// Random datagrams arrive at a dispatcher. Guards against a panic or a failure of requests.
#[test]
fn unreadable_datagrams_are_logged_and_otherwise_ignored() {
    let fleet = Fleet::new("garbage", 3);
    fleet.wait_until_connected();
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let mut rng = fastrand::Rng::with_seed(1);
    for _ in 0..2_000 {
        let bytes: Vec<u8> = (0..rng.usize(0..300)).map(|_| rng.u8(..)).collect();
        socket.send_to(&bytes, fleet.addresses[0]).expect("sent");
    }
    wait_for("the log", || {
        fleet.program(0).log_contains("peers not understood")
    });
    let mut client = fleet.client(0);
    client.request_with("change", keyed_fields("g"), b"x");
    fleet.cluster.next_request().answer("data", "", b"ok");
    assert_done(client.next_answer().1, b"ok");
}

/// Guards against a start with a bad section, and against an error that does not say what to change.
#[test]
fn an_invalid_section_is_refused_with_its_field_and_position() {
    let path = std::env::temp_dir().join(format!("tpp-wrong-{}.json", std::process::id()));
    let cases = [
        (json!({"keep_s": 0.5}), "field keep_s"),
        (json!({"listen": "here"}), "field listen"),
        (json!({"listen": "0.0.0.0:7946"}), "field advertise"),
        (json!({"seeds": ["a:1"]}), "field seeds"),
        (json!({"secret_file": "/nowhere"}), "field secret_file"),
    ];
    let cluster = Cluster::new();
    for (change, field) in cases {
        let at = free_address();
        let mut all = section(at, &[at], "f");
        for (name, value) in change.as_object().expect("fields") {
            all["peers"][name] = value.clone();
        }
        std::fs::write(&path, all.to_string()).expect("a file");
        let error = cluster.startup_error(&path);
        assert!(
            error.contains(field) && error.contains("operator.star:1:1"),
            "{field}: {error}"
        );
    }
    let _ = std::fs::remove_file(path);
}

/// Three dispatchers divide a budget by their messages, and two of them end. Guards against a budget that is not granted
/// in full, and against a dispatcher that keeps more than its floor without a majority of voters. A file without peers, or
/// with only two voters, is refused.
#[test]
fn budgets_are_divided_and_can_be_queried() {
    let addresses: Vec<SocketAddr> = (0..3).map(|_| free_address()).collect();
    let path = |index: usize| {
        std::env::temp_dir().join(format!("tpp-budgets-{index}-{}.json", std::process::id()))
    };
    let budgets = json!({
        "file": "operator.star", "place": [2, 1], "voters": ["d0", "d1", "d2"], "floors": 0.25, "lasts_s": 2.0,
        "cold": true
    });
    let configuration = |index: usize| {
        let mut all = section(addresses[index], &addresses, "stories");
        all["budgets"] = budgets.clone();
        all
    };
    for index in 0..3 {
        std::fs::write(path(index), configuration(index).to_string()).expect("a file");
    }
    let configure = |config: &mut Json, index: usize| {
        config["operator"] = json!(path(index));
        config["name"] = json!(format!("d{index}"));
        config["settings"]["balancers"] = json!(3);
    };
    let cluster = Cluster::with_config(|config, _| configure(config, 0));
    let others: Vec<Program> = (1..3)
        .map(|index| {
            let mut config = cluster.config.clone();
            configure(&mut config, index);
            Program::start(&config, free_address())
        })
        .collect();
    wait_for("budgets", || cluster.program.log_contains("budgets are on"));
    let seal = trailproxy_peers::wire::Seal::new("stories", b"");
    let ask = |at: SocketAddr| {
        use trailproxy_peers::decide::messages::{BootId, InquiryId, Message, MessagePart, PeerId};
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
        let within = socket.set_read_timeout(Some(Duration::from_millis(300)));
        within.expect("a limit");
        let message = Message {
            from: PeerId(0),
            boot_id: BootId(0),
            incarnation: 0,
            stamp: unix_ms() * 1_000,
            parts: vec![MessagePart::SubsystemStatusRequest(
                InquiryId(7),
                trailproxy_budgets::SUBSYSTEM_ID,
            )],
        };
        let bytes = seal.write(&message).expect("short");
        socket.send_to(&bytes, at).expect("sent");
        let mut received = vec![0; 16 << 10];
        let size = socket.recv(&mut received).ok()?;
        let (message, _) = seal.read(&received[..size]).ok()?;
        match message.parts.into_iter().next() {
            Some(MessagePart::OperatorReply(InquiryId(7), text)) => Some(text),
            _ => None,
        }
    };
    // No dispatcher has traffic: all have the same weight, and the whole budget is granted.
    for at in &addresses {
        wait_for("a third", || {
            let text = ask(*at).unwrap_or_default();
            let line = text.lines().find(|line| line.contains("cold caches"));
            let part = line
                .and_then(|line| line.split_once("part="))
                .map(|(_, rest)| rest);
            let part = part.and_then(|rest| rest.split(' ').next()?.parse::<f64>().ok());
            text.contains("voters=3/3") && part.is_some_and(|part| part > 0.25)
        });
    }
    // Two of three voters are gone: the last one is left with its floor when their leases have expired.
    drop(others);
    wait_for("the floor", || {
        let text = ask(addresses[0]).unwrap_or_default();
        text.contains("part=0.0833") && text.contains("too few voters answer")
    });
    let (mut alone, mut even) = (configuration(0), configuration(0));
    alone.as_object_mut().expect("sections").remove("peers");
    even["budgets"]["voters"] = json!(["d0", "d1"]);
    for (all, field) in [(alone, "field on"), (even, "field voters")] {
        std::fs::write(path(9), all.to_string()).expect("a file");
        let error = cluster.startup_error(&path(9));
        assert!(
            error.contains(field) && error.contains("operator.star:2:1"),
            "{field}: {error}"
        );
    }
    for index in [0, 1, 2, 9] {
        let _ = std::fs::remove_file(path(index));
    }
}
