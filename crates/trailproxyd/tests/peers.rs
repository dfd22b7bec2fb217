//! Dispatchers that hold state in common by themselves, over sockets: three of the built program on loopback.

#[allow(dead_code, reason = "the other tests of sockets use the rest of it")]
mod stage;

use serde_json::{Value as Json, json};
use stage::*;
use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::time::Duration;

fn free_datagrams() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    socket.local_addr().expect("an address")
}

fn section(listen: SocketAddr, seeds: &[SocketAddr], fleet: &str) -> Json {
    json!({"peers": {
        "file": "operator.star", "place": [1, 1], "fleet": fleet, "secret_file": "", "listen": listen.to_string(),
        "advertise": "", "seeds": seeds.iter().map(SocketAddr::to_string).collect::<Vec<_>>(), "wait_ms": 50.0,
        "keep_s": 5.0, "records": true, "purges": true, "hosts": true, "hints": true
    }})
}

/// Until then a change counts in full; its client leaves no sooner.
const CHANGE_DUE_US: u64 = 2_400_000;

/// Some dispatchers before the same hosts.
struct Fleet {
    stage: Stage,
    configs: Vec<Json>,
    addresses: Vec<SocketAddr>,
    others: Vec<Option<Program>>,
    files: Vec<PathBuf>,
}

impl Fleet {
    fn new(name: &str, n: usize) -> Fleet {
        let addresses: Vec<SocketAddr> = (0..n).map(|_| free_datagrams()).collect();
        let file = |nth: usize| {
            let path =
                std::env::temp_dir().join(format!("tpp-{name}-{nth}-{}.json", std::process::id()));
            let text = section(addresses[nth], &addresses, "stories").to_string();
            std::fs::write(&path, text).expect("a file");
            path
        };
        let files: Vec<PathBuf> = (0..n).map(file).collect();
        let named = |config: &mut Json, nth: usize| {
            // A change waits for its first dispatcher for a quarter of this: on a busy machine as well longer than a story
            // takes to answer that one.
            config["settings"]["classes"][1]["on_time_us"] = json!(CHANGE_DUE_US);
            config["operator"] = json!(files[nth]);
            config["name"] = json!(format!("d{nth}"));
        };
        let stage = Stage::with(|config, _| named(config, 0));
        let mut configs = vec![stage.config.clone()];
        let mut others = Vec::new();
        for nth in 1..n {
            let mut config = stage.config.clone();
            named(&mut config, nth);
            others.push(Some(Program::start(&config, free_address())));
            configs.push(config);
        }
        Fleet {
            stage,
            configs,
            addresses,
            others,
            files,
        }
    }

    fn program(&self, nth: usize) -> &Program {
        match nth.checked_sub(1) {
            None => &self.stage.program,
            Some(nth) => self.others[nth].as_ref().expect("it is up"),
        }
    }

    fn client(&self, nth: usize) -> Client {
        Client::new(self.program(nth).address)
    }

    /// Each knows all others.
    fn together(&self) {
        let others = self.configs.len() - 1;
        for nth in 0..self.configs.len() {
            let known = || self.program(nth).log().matches("is: Alive").count();
            wait_for("company", || known() >= others);
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

#[test]
fn a_change_sent_again_elsewhere_is_done_once_also_after_the_first_is_killed() {
    let mut fleet = Fleet::new("again", 3);
    fleet.together();
    let (mut first, mut second) = (fleet.client(0), fleet.client(1));
    first.ask_with("change", keyed("k1"), b"new address");
    let change = fleet.stage.pull();
    // While it is under way, the second waits for it and gets its answer.
    second.ask_with("change", keyed("k1"), b"new address");
    let none = fleet.stage.pull_within(Duration::from_millis(80));
    assert!(none.is_none(), "it joins");
    change.answer("data", "", b"accepted");
    done(first.answer().1, b"accepted");
    done(second.answer().1, b"accepted");
    // The third is told of the end by a message of its own, which a kill just now could still take with it; it asks the
    // others as well, and keeps what they answer.
    let mut third = fleet.client(2);
    third.ask_with("change", keyed("k1"), b"new address");
    done(third.answer().1, b"accepted");
    // Who did it is gone, and the second as well; the third knows by itself.
    fleet.others[0].take();
    fleet.stage.program.signal("-KILL");
    third.ask_with("change", keyed("k1"), b"new address");
    done(third.answer().1, b"accepted");
    let none = fleet.stage.pull_within(Duration::from_millis(50));
    assert!(none.is_none(), "no host heard of it twice");
}

#[test]
fn one_that_is_paused_or_alone_keeps_nobody_waiting() {
    let fleet = Fleet::new("paused", 3);
    fleet.together();
    fleet.program(1).signal("-STOP");
    fleet.program(2).signal("-STOP");
    let mut client = fleet.client(0);
    for nth in 0..6 {
        client.ask_with("change", keyed(&format!("p{nth}")), b"x");
        fleet.stage.pull().answer("data", "", b"ok");
        done(client.answer().1, b"ok");
    }
    fleet.program(1).signal("-CONT");
    fleet.program(2).signal("-CONT");
    // Awake again, they know what was done meanwhile.
    let mut other = fleet.client(1);
    wait_for("the record", || {
        other.ask_with("change", keyed("p0"), b"x");
        match fleet.stage.pull_within(Duration::from_millis(200)) {
            Some(change) => {
                change.answer("data", "", b"again");
                done(other.answer().1, b"again");
                false
            }
            None => {
                done(other.answer().1, b"ok");
                true
            }
        }
    });
}

#[test]
fn a_purge_that_one_was_told_reaches_all_and_a_newcomer() {
    let mut fleet = Fleet::new("purge", 3);
    fleet.together();
    let purge = json!({"pos": 2, "expire": {"name": format!("{:016x}", 7), "stamp": unix_ms()}});
    let mut line = fleet.stage.journal();
    line.tell(&purge);
    // The others' journal stays silent. One of them is started anew, and knows it soon after.
    fleet.others[1].take();
    let again = Program::start(&fleet.configs[2], free_address());
    fleet.others[1] = Some(again);
    for nth in [1, 2] {
        let mut client = fleet.client(nth);
        wait_for("the purge is heeded", || {
            client.ask("image", 7, 2000);
            let pull = fleet.stage.pull();
            pull.hit(b"x");
            client.answer();
            pull.field("fresh").is_some_and(|ms| ms != "0")
        });
    }
}

#[test]
fn what_others_say_on_the_socket_costs_nothing_but_a_line_in_the_log() {
    let fleet = Fleet::new("garbage", 3);
    fleet.together();
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let mut chance = fastrand::Rng::with_seed(1);
    for _ in 0..2_000 {
        let bytes: Vec<u8> = (0..chance.usize(0..300)).map(|_| chance.u8(..)).collect();
        socket.send_to(&bytes, fleet.addresses[0]).expect("sent");
    }
    wait_for("the log", || {
        fleet.program(0).logged("peers not understood")
    });
    let mut client = fleet.client(0);
    client.ask_with("change", keyed("g"), b"x");
    fleet.stage.pull().answer("data", "", b"ok");
    done(client.answer().1, b"ok");
}

#[test]
fn a_section_that_does_not_fit_names_its_field() {
    let path = std::env::temp_dir().join(format!("tpp-wrong-{}.json", std::process::id()));
    let cases = [
        (json!({"keep_s": 0.5}), "field keep_s"),
        (json!({"listen": "here"}), "field listen"),
        (json!({"listen": "0.0.0.0:7946"}), "field advertise"),
        (json!({"seeds": ["a:1"]}), "field seeds"),
        (json!({"secret_file": "/nowhere"}), "field secret_file"),
    ];
    let stage = Stage::new();
    for (change, field) in cases {
        let at = free_datagrams();
        let mut all = section(at, &[at], "f");
        for (name, value) in change.as_object().expect("fields") {
            all["peers"][name] = value.clone();
        }
        std::fs::write(&path, all.to_string()).expect("a file");
        let told = stage.refused(&path);
        assert!(
            told.contains(field) && told.contains("operator.star:1:1"),
            "{field}: {told}"
        );
    }
    let _ = std::fs::remove_file(path);
}

/// Budgets are divided by three that find each other: each says what it has and why not more; without peers, or with
/// voters that can't be a majority, the file is refused.
#[test]
fn budgets_are_divided_where_the_file_says_so_and_shown_from_outside() {
    let addresses: Vec<SocketAddr> = (0..3).map(|_| free_datagrams()).collect();
    let path = |nth: usize| {
        std::env::temp_dir().join(format!("tpp-budgets-{nth}-{}.json", std::process::id()))
    };
    let budgets = json!({
        "file": "operator.star", "place": [2, 1], "voters": ["d0", "d1", "d2"], "floors": 0.25, "lasts_s": 2.0,
        "cold": true
    });
    let told = |nth: usize| {
        let mut all = section(addresses[nth], &addresses, "stories");
        all["budgets"] = budgets.clone();
        all
    };
    for nth in 0..3 {
        std::fs::write(path(nth), told(nth).to_string()).expect("a file");
    }
    let named = |config: &mut Json, nth: usize| {
        config["operator"] = json!(path(nth));
        config["name"] = json!(format!("d{nth}"));
        config["settings"]["balancers"] = json!(3);
    };
    let stage = Stage::with(|config, _| named(config, 0));
    let others: Vec<Program> = (1..3)
        .map(|nth| {
            let mut config = stage.config.clone();
            named(&mut config, nth);
            Program::start(&config, free_address())
        })
        .collect();
    wait_for("budgets", || stage.program.logged("budgets are on"));
    let seal = trailproxy_peers::wire::Seal::new("stories", b"");
    let ask = |at: SocketAddr| {
        use trailproxy_peers::decide::messages::{AskNo, Life, Message, Note, PeerId};
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
        let within = socket.set_read_timeout(Some(Duration::from_millis(300)));
        within.expect("a limit");
        let message = Message {
            from: PeerId(0),
            life: Life(0),
            incarnation: 0,
            stamp: unix_ms() * 1_000,
            notes: vec![Note::ShowOf(AskNo(7), trailproxy_budgets::SUBSYSTEM_ID)],
        };
        let bytes = seal.write(&message).expect("short");
        socket.send_to(&bytes, at).expect("sent");
        let mut heard = vec![0; 16 << 10];
        let size = socket.recv(&mut heard).ok()?;
        let (message, _) = seal.read(&heard[..size]).ok()?;
        match message.notes.into_iter().next() {
            Some(Note::Shown(AskNo(7), text)) => Some(text),
            _ => None,
        }
    };
    // Nobody has any traffic: all weigh the same, and all of it is given out.
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
    // Two of three voters are gone: the last one has its floor when their words have run out.
    drop(others);
    wait_for("the floor", || {
        let text = ask(addresses[0]).unwrap_or_default();
        text.contains("part=0.0833") && text.contains("too few voters answer")
    });
    let (mut alone, mut even) = (told(0), told(0));
    alone.as_object_mut().expect("sections").remove("peers");
    even["budgets"]["voters"] = json!(["d0", "d1"]);
    for (all, field) in [(alone, "field on"), (even, "field voters")] {
        std::fs::write(path(9), all.to_string()).expect("a file");
        let told = stage.refused(&path(9));
        assert!(
            told.contains(field) && told.contains("operator.star:2:1"),
            "{field}: {told}"
        );
    }
    for nth in [0, 1, 2, 9] {
        let _ = std::fs::remove_file(path(nth));
    }
}
