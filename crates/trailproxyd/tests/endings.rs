//! Whatever ends while something is still owed: a client, a connection to a host, the process, the way to discovery.
//! Each story makes the bad order happen; `docs/endings.md` lists the paths.

#[allow(dead_code, reason = "the other tests of sockets use the rest of it")]
mod stage;

use serde_json::{Value, json};
use stage::*;
use std::collections::BTreeSet;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

/// A client that has left has gone after this: nothing may begin for it any more.
const GONE: Duration = Duration::from_millis(100);

/// A stage whose c1 is behind a gate: what goes there waits until its connections come up.
fn gated(change: impl FnOnce(&mut Value)) -> (Stage, Gate) {
    let gate = Gate::shut();
    let address = gate.address;
    let stage = Stage::with(|config, _| {
        config["settings"]["ceilings"]["dial_timeout_us"] = json!(60_000_000);
        for member in members(config) {
            if member["id"] == "c1" {
                member["host_port"] = json!(address.to_string());
            }
        }
        change(config);
    });
    (stage, gate)
}

fn members(config: &mut Value) -> &mut Vec<Value> {
    let members = config["known"]["entries"][0]["hosts"]["members"].as_array_mut();
    members.expect("members")
}

/// Whatever the program was sent before is taken by now, of all clients.
fn settled(client: &mut Client) {
    for _ in 0..3 {
        client.ask_with("heartbeat", vec![], &[]);
        assert_eq!(client.answer().1, Final::done(&[1]));
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
fn pull_of(stage: &Stage, object: u64) -> Heard {
    let pull = stage.pull();
    let name = format!("{object:016x}");
    assert_eq!(pull.field("name"), Some(name.as_str()), "the first to come");
    pull
}

/// Asks for an object by a new client, hears its request alone, and answers it.
fn next_heard(stage: &Stage, object: u64) {
    let mut other = stage.client();
    other.ask("image", object, 9000);
    pull_of(stage, object).hit(b"other");
    assert_eq!(other.answer().1, Final::done(b"other"));
}

#[test]
fn what_waits_for_a_connection_is_dropped_when_its_client_leaves_or_cancels() {
    let homes = homes("c1");
    for cancel in [false, true] {
        let (stage, gate) =
            gated(|config| config["settings"]["ceilings"]["cancel"] = json!(cancel));
        let (mut resets, mut closes, mut revokes) =
            (stage.client(), stage.client(), stage.client());
        let mut other = stage.client();
        resets.ask("image", homes[0], 9000);
        closes.ask("image", homes[0], 9000);
        let number = revokes.ask("image", homes[0], 9000);
        settled(&mut other);
        reset(resets);
        drop(closes);
        revokes.revoke(number);
        gone(&mut other);
        // It waits behind them, for the same connections.
        other.ask("image", homes[1], 9000);
        settled(&mut other);
        gate.open("c1", stage.heard_in.clone());
        pull_of(&stage, homes[1]).hit(b"other");
        assert_eq!(other.answer().1, Final::done(b"other"));
        next_heard(&stage, homes[2]);
    }
}

/// A client that has ended its side while its request was at a host.
fn has_ended_its_side(stage: &Stage, class: &str) -> (Client, Heard) {
    let (mut closing, mut other) = (stage.client(), stage.client());
    closing.ask(class, 7, 9000);
    let pull = stage.pull();
    let ended = closing.stream.shutdown(Shutdown::Write);
    ended.expect("its side ends");
    gone(&mut other);
    (closing, pull)
}

#[test]
fn no_further_attempt_begins_for_a_client_that_has_closed() {
    let stage = Stage::new();
    let (mut closing, first) = has_ended_its_side(&stage, "image");
    first.hang_up();
    // It may still listen, so it has its final answer.
    assert!(closing.answer().1.is_error("Broken"));
    assert!(closing.is_closed());
    next_heard(&stage, 8);
}

#[test]
fn an_attempt_under_way_is_answered_after_its_client_ended_its_side() {
    let stage = Stage::new();
    let (mut closing, first) = has_ended_its_side(&stage, "order");
    first.answer("data", "tag=aa,minted=1", b"kept");
    assert_eq!(closing.answer().1, Final::done(b"kept"));
    assert!(closing.is_closed());
}

#[test]
fn a_client_that_speaks_late_and_ends_its_side_at_once_is_answered() {
    let stage = Stage::new();
    let (mut late, mut other) = (stage.client(), stage.client());
    // Clients get their places in the order in which they come: the silent one has had its own for a while.
    settled(&mut other);
    gone(&mut other);
    // The program finds the request and the end behind it in one reading.
    stage.program.signal("-STOP");
    late.ask("image", 7, 3000);
    late.stream.shutdown(Shutdown::Write).expect("a half-close");
    stage.program.signal("-CONT");
    stage.pull().hit(b"x");
    assert_eq!(late.answer().1, Final::done(b"x"));
    assert!(late.is_closed());
}

/// A stage with so few descriptors that its places are all taken, by clients that wait for answers.
fn full() -> (Stage, Vec<Client>, Vec<Heard>) {
    let stage = Stage::with(|config, _| config["limits"]["sockets"] = json!(64));
    let mut taken = Vec::new();
    let mut held = Vec::new();
    for object in 0..32 {
        let mut client = stage.client();
        client.ask("order", object, 20_000);
        held.push(stage.pull());
        taken.push(client);
    }
    (stage, taken, held)
}

#[test]
fn a_request_whose_client_left_while_it_waited_for_a_place_is_not_sent() {
    let (stage, mut taken, held) = full();
    let (mut closes, mut resets) = (stage.client(), stage.client());
    closes.ask("image", 100, 9000);
    resets.ask("image", 101, 9000);
    drop(closes);
    reset(resets);
    let mut stays = stage.client();
    stays.ask("image", 102, 9000);
    gone(&mut taken[1]);
    // A place is free, and all three come in by it.
    held[0].hit(b"x");
    assert_eq!(taken[0].answer().1, Final::done(b"x"));
    drop(taken.remove(0));
    pull_of(&stage, 102).hit(b"stays");
    assert_eq!(stays.answer().1, Final::done(b"stays"));
}

#[test]
fn cancellations_are_read_behind_answers_that_are_not_taken() {
    let (at_c1, at_c2) = (homes("c1"), homes("c2"));
    let (stage, gate) = gated(|_| {});
    let mut rude = stage.client();
    let socket = socket2::SockRef::from(&rude.stream);
    socket.set_recv_buffer_size(4096).expect("a small buffer");
    // Large answers fill the way back, more than the system takes for it (over 6 MB), and small ones stand behind them, as
    // many as may be owed whatever part of the large ones has gone out.
    for object in at_c2.into_iter().cycle().take(28) {
        rude.ask("image", object, 20_000);
        stage.pull().hit(&[7; 240_000]);
    }
    let waiting = [0, 1].map(|_| rude.ask("image", at_c1[0], 20_000));
    for _ in 0..32 {
        rude.ask_with("nonsense", vec![], &[]);
    }
    waiting.iter().for_each(|&number| rude.revoke(number));
    let mut other = stage.client();
    settled(&mut other);
    gone(&mut other);
    other.ask("image", at_c1[1], 9000);
    settled(&mut other);
    gate.open("c1", stage.heard_in.clone());
    pull_of(&stage, at_c1[1]);
}

#[test]
fn what_waits_is_not_given_to_a_connection_that_has_just_ended() {
    let at_c1 = homes("c1");
    let (stage, mut gate) = gated(|config| {
        config["settings"]["ceilings"]["dial_timeout_us"] = json!(400_000);
    });
    gate.room();
    let (mut client, mut other) = (stage.client(), stage.client());
    client.ask("image", at_c1[0], 9000);
    Gate::listen("c1", &gate.accept(), &stage.heard_in);
    gate.fill();
    let first = stage.pull();
    client.ask("image", at_c1[0], 9000);
    let second = stage.pull();
    assert_eq!(first.line(), second.line(), "two to a connection");
    // The third waits for a connection of its own, which never comes up.
    client.ask("image", at_c1[0], 9000);
    settled(&mut other);
    first.hang_up();
    for _ in 0..3 {
        let pull = stage.pull();
        assert_eq!(pull.host, "c2");
        pull.hit(b"x");
    }
    for _ in 0..3 {
        assert_eq!(client.answer().1, Final::done(b"x"));
    }
}

#[test]
fn behind_half_an_answer_nothing_new_is_sent_and_its_end_still_counts() {
    let stage = Stage::with(|config, _| {
        config["settings"]["ceilings"]["dial_timeout_us"] = json!(100_000);
    });
    let (mut client, mut other) = (stage.client(), stage.client());
    client.ask("image", 7, 9000);
    let first = stage.pull();
    let whole = format!(
        "*4\r\n$16\r\n{}\r\n$4\r\ndata\r\n$1\r\n-\r\n$4\r\nlast\r\n",
        first.id
    );
    let (half, rest) = whole.as_bytes().split_at(40);
    (&first.stream).write_all(half).expect("half an answer");
    // It says nothing more for longer than a connection may take to come up.
    std::thread::sleep(Duration::from_millis(250));
    settled(&mut other);
    other.ask("image", 7, 9000);
    let second = stage.pull();
    assert_ne!((first.host, first.line()), (second.host, second.line()));
    second.hit(b"x");
    assert_eq!(other.answer().1, Final::done(b"x"));
    (&first.stream).write_all(rest).expect("the other half");
    assert_eq!(client.answer().1, Final::done(b"last"));
}

#[test]
fn a_second_answer_in_one_piece_with_the_first_is_no_second_answer() {
    let stage = Stage::new();
    let mut client = stage.client();
    let number = client.ask("image", 7, 3000);
    let pull = stage.pull();
    let one = |body: &str| {
        format!(
            "*4\r\n$16\r\n{}\r\n$4\r\ndata\r\n$1\r\n-\r\n$1\r\n{body}\r\n",
            pull.id
        )
    };
    let both = one("a") + &one("b");
    (&pull.stream)
        .write_all(both.as_bytes())
        .expect("two answers");
    assert_eq!(client.answer(), (number, Final::done(b"a")));
    let number = client.ask("image", 8, 3000);
    stage.pull().hit(b"x");
    assert_eq!(client.answer(), (number, Final::done(b"x")));
}

#[test]
fn a_connection_that_comes_up_late_where_a_host_was_is_not_used() {
    let at_c1 = homes("c1");
    let (stage, gate) = gated(|_| {});
    let (mut client, mut journal) = (stage.client(), stage.journal());
    client.ask("image", at_c1[0], 9000);
    settled(&mut client);
    // Its host goes to where c2 was; another origin shows that the list is known.
    let (there, by) = (stage.addresses["c2"], stage.addresses["p1"]);
    let gone = ["c2", "o1"].map(|id| member(id, stage.addresses[id], "gone", 0));
    let come = [
        member("c1", there, "ready", 0),
        member("o9", by, "ready", 0),
    ];
    journal.tell(&hosts(2, false, &[gone, come].concat()));
    let mut other = stage.client();
    wait_for("the list is known", || {
        other.ask("order", 7, 3000);
        let pull = stage.pull();
        pull.answer("data", "tag=aa,minted=1", b"x");
        assert!(other.answer().1.is_done());
        pull.host == "p1"
    });
    gate.open("former", stage.heard_in.clone());
    let pull = stage.pull();
    assert_eq!(pull.host, "c2", "by the address that it has now");
    pull.hit(b"x");
    assert_eq!(client.answer().1, Final::done(b"x"));
}

#[test]
fn whoever_rests_is_told_of_the_end_though_others_wait_for_hosts_that_hang() {
    let mut stage = Stage::new();
    let (mut waits, mut rests) = (stage.client(), stage.client());
    settled(&mut rests);
    waits.ask("order", 7, 3000);
    let pull = stage.pull();
    stage.program.signal("-TERM");
    assert!(rests.is_closed(), "by a half-close");
    // It is read no more, or it would be owed an answer.
    rests.ask("image", 8, 3000);
    pull.answer("data", "tag=aa,minted=1", b"kept");
    assert_eq!(waits.answer().1, Final::done(b"kept"));
    assert!(waits.is_closed());
    drop((waits, rests));
    assert!(stage.program.ended().success());
    assert!(stage.pull_within(Duration::ZERO).is_none());
}

#[test]
fn who_waits_in_the_backlog_as_the_process_ends_is_answered() {
    let (mut stage, mut taken, held) = full();
    let mut late: Vec<Client> = (0..3).map(|_| stage.client()).collect();
    for (object, client) in (100..).zip(&mut late) {
        client.ask("image", object, 9000);
    }
    stage.program.signal("-TERM");
    // Once the first of them is ended, nobody is let in any more but who had come.
    held[0].hit(b"x");
    assert!(taken[0].answer().1.is_done());
    assert!(taken[0].is_closed());
    drop(taken.remove(0));
    // One after another has the place that is free.
    for client in late {
        let pull = stage.pull();
        pull.hit(b"late");
        let mut client = client;
        assert_eq!(client.answer().1, Final::done(b"late"));
        assert!(client.is_closed());
    }
    held.iter().skip(1).for_each(|pull| pull.hit(b"x"));
    for mut client in taken {
        assert!(client.answer().1.is_done());
        assert!(client.is_closed());
    }
    assert!(stage.program.ended().success());
}

#[test]
fn a_signal_to_end_during_the_start_ends_it_in_order() {
    let stage = Stage::new();
    for signal in ["-TERM", "-INT"] {
        let (mut program, mut pipe) = Program::hold(&stage.config, free_address());
        program.signal(signal);
        pipe.write_all(stage.config.to_string().as_bytes())
            .expect("read");
        drop(pipe);
        assert_eq!(program.ended().code(), Some(0), "{signal}");
    }
}

#[test]
fn a_signal_to_read_again_during_the_start_is_heard_after_it() {
    let stage = Stage::new();
    let address = free_address();
    let (mut program, mut pipe) = Program::hold(&stage.config, address);
    program.signal("-HUP");
    pipe.write_all(stage.config.to_string().as_bytes())
        .expect("read");
    drop(pipe);
    wait_for("it listens", || TcpStream::connect(address).is_ok());
    program.feed(&stage.config.to_string());
    wait_for("it is read again", || {
        program.logged("configuration read again")
    });
    let mut client = Client::new(address);
    client.ask("image", 7, 3000);
    stage.pull().hit(b"x");
    assert_eq!(client.answer().1, Final::done(b"x"));
    program.signal("-TERM");
    drop(client);
    assert!(program.ended().success());
}

#[test]
fn to_read_again_and_to_end_at_once_leaves_what_is_open_alone() {
    let mut stage = Stage::new();
    let mut client = stage.client();
    client.ask("order", 7, 3000);
    let pull = stage.pull();
    stage.program.signal("-TERM");
    stage.program.configure("{\"half\": ");
    wait_for("it is refused", || {
        stage.program.logged("new configuration refused")
    });
    stage.program.configure(&stage.config.to_string());
    wait_for("it is read again", || {
        stage.program.logged("configuration read again")
    });
    pull.answer("data", "tag=aa,minted=1", b"kept");
    assert_eq!(client.answer().1, Final::done(b"kept"));
    assert!(client.is_closed());
    drop(client);
    assert!(stage.program.ended().success());
}

#[test]
fn what_an_idle_client_sends_as_it_is_ended_is_not_reset() {
    let stage = Stage::new();
    let mut idle = stage.client();
    settled(&mut idle);
    assert!(idle.is_closed(), "for it is idle");
    let mut other = stage.client();
    // What crosses that is taken in and not acted upon; a reset would take answers on their way with it.
    idle.ask("image", 0, 3000);
    settled(&mut other);
    let error = idle.stream.take_error().expect("a socket");
    assert!(error.is_none(), "{error:?}");
    next_heard(&stage, 9);
}

#[test]
fn who_says_to_wait_for_an_hour_does_not_make_others_be_remembered_as_long() {
    let stage = Stage::with(|config, _| {
        let classes = config["settings"]["classes"].as_array_mut();
        let classes = classes.expect("classes").iter_mut();
        classes.for_each(|class| class["hard_limit_us"] = json!(200_000));
    });
    let mut client = stage.client();
    client.ask("image", 7, 3_600_000);
    stage.pull().hit(b"x");
    assert!(client.answer().1.is_done());
    // An id that faded may come again.
    let again = fields(8, 200);
    client.ask_with("image", again.clone(), &[]);
    stage.pull().hit(b"x");
    assert!(client.answer().1.is_done());
    wait_for("it is forgotten", || {
        client.ask_with("image", again.clone(), &[]);
        let heard = stage.pull_within(Duration::from_millis(50));
        heard.iter().for_each(|heard| heard.hit(b"x"));
        client.answer().1.is_done()
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
        Stage::with(|config, _| {
            config["journal"] = json!(address.to_string());
            if address == &second.0 {
                config["seed"] = json!("17c1f30d27a5be96");
            }
        })
    });
    let gaps = |calls: &Receiver<Instant>| -> Vec<Duration> {
        let at: Vec<Instant> = (0..11)
            .map(|_| calls.recv_timeout(SOON).expect("a call"))
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
    let stage = Stage::with(|config, _| {
        config["limits"]["sockets"] = json!(64);
        config["journal"] = json!(reserved.to_string());
        known = Some(members(config).clone());
        config["known"] = json!({"pos": 0, "entries": []});
    });
    // Far more than there are descriptors: each has said something and rests, or has said nothing.
    let resting: Vec<TcpStream> = (0..100)
        .map(|n| {
            let mut client = stage.client();
            if n % 2 == 0 {
                client.ask_with("heartbeat", vec![], &[]);
            }
            client.stream
        })
        .collect();
    stage::journal_at(reserved, lines.0);
    let mut line = lines
        .1
        .recv_timeout(SOON)
        .expect("a call though all is full");
    line.tell(&hosts(1, true, &known.expect("members")));
    let mut client = stage.client();
    wait_for("it serves", || {
        // Whatever is left of the one before is too late.
        while stage.pull_within(Duration::ZERO).is_some() {}
        client.ask("image", 7, 2000);
        let heard = stage.pull_within(Duration::from_secs(1));
        heard.iter().for_each(|heard| heard.hit(b"x"));
        client.answer().1.is_done()
    });
    drop(resting);
}

#[test]
fn a_list_that_came_whole_and_empty_is_followed_and_one_told_before_is_not() {
    let stage = Stage::new();
    let (mut client, mut line) = (stage.client(), stage.journal());
    line.tell(&hosts(2, true, &[]));
    wait_for("none is left", || {
        client.ask("image", 7, 300);
        let heard = stage.pull_within(Duration::from_millis(50));
        heard.iter().for_each(|heard| heard.hit(b"x"));
        client.answer().1.is_error("Throttled")
    });
    line.hang_up();
    // It comes back with what it had told before: that is known, and past.
    let mut line = stage.journal();
    assert_eq!(line.last, 2);
    let old: Vec<_> = ["c1", "c2"]
        .map(|id| member(id, stage.addresses[id], "ready", 0))
        .into();
    line.tell(&hosts(1, true, &old));
    line.tell(&hosts(
        3,
        false,
        &[member("c2", stage.addresses["c2"], "ready", 0)],
    ));
    let mut served = BTreeSet::new();
    wait_for("the new one serves", || {
        for object in 0..12 {
            client.ask("image", object, 300);
            if let Some(heard) = stage.pull_within(Duration::from_millis(50)) {
                served.insert(heard.host);
                heard.hit(b"x");
            }
            client.answer();
        }
        !served.is_empty()
    });
    assert_eq!(served, BTreeSet::from(["c2"]));
}
