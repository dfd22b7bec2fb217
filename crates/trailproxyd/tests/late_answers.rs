//! Tests of a dispatcher that is run late while it waits for the answers of others: the built program, and another member
//! of the fleet that the test plays.

#[allow(dead_code, reason = "other test files use the rest")]
mod harness;

use harness::*;
use serde_json::json;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;
use trailproxy::units::{TimeSpan, Timestamp};
use trailproxy_peers::decide::facts::{Claim, ClaimLocation, Stage, Token};
use trailproxy_peers::decide::members::OwnMember;
use trailproxy_peers::decide::messages::{Address, BootId, Message, MessagePart, PeerId};
use trailproxy_peers::decide::{Action, Peers, PeersSettings};
use trailproxy_peers::wire::{MAX_DATAGRAM_BYTES, Seal};

const FLEET: &str = "late";
/// The share of the time to the target of a change for which it waits for the first answer.
const WAIT_SHARE: f64 = 0.02;
/// The share for which it waits at most, however late the dispatcher is run.
const LONGEST_WAIT_SHARE: f64 = 0.25;
/// The operator's limit of the wait for the first answer. It is so long that [`WAIT_SHARE`] decides.
const WAIT_LIMIT_MS: f64 = 400.0;
/// The body of the answer in the record.
const RECORDED_BODY: &[u8] = b"done before";

fn to_address(at: SocketAddr) -> Address {
    let SocketAddr::V4(at) = at else {
        panic!("an IPv4 address");
    };
    Address {
        ip: at.ip().octets(),
        port: at.port(),
    }
}

/// Another member of the dispatcher's fleet. It takes part in everything but claims, which the test answers.
struct OtherMember {
    socket: UdpSocket,
    seal: Seal,
    peers: Peers,
}

impl OtherMember {
    fn new(dispatcher: SocketAddr) -> OtherMember {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
        let poll_interval = Some(Duration::from_millis(2));
        socket.set_read_timeout(poll_interval).expect("a limit");
        let own = OwnMember {
            id: PeerId::of_name("other"),
            address: to_address(socket.local_addr().expect("an address")),
            boot_id: BootId(unix_ms() * 1_000),
            seeds: vec![to_address(dispatcher)],
            topology: None,
        };
        let settings = PeersSettings::sharing_all(
            TimeSpan::from_millis(5),
            TimeSpan::from_secs(60),
            TimeSpan::from_secs(60),
        );
        OtherMember {
            socket,
            seal: Seal::new(FLEET, b""),
            peers: Peers::new(OtherMember::now(), own, settings, 1),
        }
    }

    fn now() -> Timestamp {
        Timestamp(unix_ms() * 1_000)
    }

    fn send(&self, to: Address, message: &Message) {
        let bytes = self.seal.write(message).expect("short");
        let to = SocketAddr::from((to.ip, to.port));
        self.socket.send_to(&bytes, to).expect("sent");
    }

    /// Takes part in the fleet until a claim arrives, or for this long. The claim is returned unanswered.
    fn run(&mut self, time: Duration) -> Option<(Address, MessagePart)> {
        let end = OtherMember::now() + TimeSpan::from_millis(time.as_millis() as u64);
        let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
        while OtherMember::now() < end {
            let received = self.socket.recv_from(&mut bytes).ok();
            let message = received
                .and_then(|(size, from)| Some((self.seal.read(&bytes[..size]).ok()?.0, from)));
            if let Some((message, from)) = message {
                let claim = message
                    .parts
                    .iter()
                    .find(|part| matches!(part, MessagePart::Claim { .. }));
                if let Some(claim) = claim {
                    return Some((to_address(from), claim.clone()));
                }
                self.peers
                    .on_message(OtherMember::now(), to_address(from), message);
            }
            if self.peers.next_deadline() <= OtherMember::now() {
                self.peers.advance(OtherMember::now());
            }
            for action in self.peers.take_actions() {
                if let Action::Send(to, message) = action {
                    self.send(to, &message);
                }
            }
        }
        None
    }

    /// Answers a claim: the request was done a while ago.
    fn answer_done(&self, to: Address, claim: &MessagePart) {
        let MessagePart::Claim { inquiry_id, .. } = *claim else {
            panic!("a claim");
        };
        let (own, now) = (self.peers.members().own(), OtherMember::now());
        let done = Claim {
            token: Token(17),
            at: (now - TimeSpan::from_secs(3)).0,
            stage: Stage::Done,
            location: ClaimLocation::At(0, 0),
            body: Some(RECORDED_BODY.into()),
        };
        let message = Message {
            from: own.id,
            boot_id: own.boot_id,
            incarnation: own.incarnation,
            stamp: now.0,
            parts: vec![MessagePart::ClaimStatus {
                inquiry_id,
                sure: true,
                claims: vec![done],
            }],
        };
        self.send(to, &message);
    }
}

/// A dispatcher that shares records with one other member.
struct Pair {
    cluster: Cluster,
    other: OtherMember,
    /// The time to the target of a change.
    target: Duration,
    file: std::path::PathBuf,
}

/// A change that waits in a stopped dispatcher for the answer to its claim.
struct WaitingChange {
    client: Client,
    dispatcher: Address,
    claim: MessagePart,
}

impl Pair {
    fn new(name: &str, target: Duration) -> Pair {
        let listen = free_address();
        let mut other = OtherMember::new(listen);
        let seed = other.socket.local_addr().expect("an address");
        let section = json!({"peers": {
            "file": "operator.star", "place": [1, 1], "fleet": FLEET, "secret_file": "", "listen": listen.to_string(),
            "advertise": "", "seeds": [seed.to_string()], "wait_ms": WAIT_LIMIT_MS, "keep_s": 60.0,
            "records": true, "purges": true, "hosts": true, "hints": true
        }});
        let file = std::env::temp_dir().join(format!("tpl-{name}-{}.json", std::process::id()));
        std::fs::write(&file, section.to_string()).expect("a file");
        let cluster = Cluster::with_config(|config, _| {
            let target_us = target.as_micros() as u64;
            config["settings"]["classes"][1]["on_time_us"] = json!(target_us);
            config["settings"]["classes"][1]["hard_limit_us"] = json!(target_us);
            config["operator"] = json!(file);
        });
        wait_for("the other member is known", || {
            other.run(Duration::from_millis(50));
            cluster.program.log_contains("is: Alive")
        });
        Pair {
            cluster,
            other,
            target,
            file,
        }
    }

    /// A client asks the dispatcher for a change that was done before, elsewhere. Returns the client once the claim has
    /// reached the other member.
    fn request_change(&mut self, key: &str) -> (Client, Address, MessagePart) {
        let mut client = self.cluster.client();
        let mut fields = keyed_fields(key);
        let allow = fields.iter_mut().find(|(name, _)| name == "allow");
        allow.expect("a field").1 = self.target.as_millis().to_string();
        client.request_with("change", fields, b"new address");
        let (from, claim) = self.other.run(MAX_WAIT).expect("a claim");
        (client, from, claim)
    }

    /// Stops the dispatcher while a change waits for the answer to its claim. On a busy machine the wait may be over
    /// before the dispatcher is stopped; then another change is asked for.
    fn stop_while_waiting(&mut self) -> WaitingChange {
        for attempt in 0..50 {
            let (client, dispatcher, claim) = self.request_change(&format!("k{attempt}"));
            self.cluster.program.stop();
            let MessagePart::Claim {
                claim: Some(Claim { at, .. }),
                ..
            } = claim
            else {
                panic!("the claim of a request");
            };
            let wait = TimeSpan::from_secs_f64(self.target.as_secs_f64() * WAIT_SHARE);
            if OtherMember::now().since(Timestamp(at)) < wait {
                return WaitingChange {
                    client,
                    dispatcher,
                    claim,
                };
            }
            self.cluster.program.signal("-CONT");
            self.cluster.next_request();
        }
        panic!("the dispatcher is never stopped in time");
    }

    /// Answers the claim while the dispatcher is stopped, and lets it continue after `stop`, so that it finds the answer
    /// and the end of its wait at once. Returns whether it sends the change.
    fn answer_while_stopped(&mut self, change: &WaitingChange, stop: Duration) -> bool {
        // What is no message does not hide the answer behind it.
        let to = SocketAddr::from((change.dispatcher.ip, change.dispatcher.port));
        self.other.socket.send_to(b"garbage", to).expect("sent");
        self.other.answer_done(change.dispatcher, &change.claim);
        std::thread::sleep(stop);
        self.cluster.program.signal("-CONT");
        let sent = self.cluster.next_request_within(Duration::from_millis(100));
        sent.is_some()
    }
}

impl Drop for Pair {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.file);
    }
}

/// The answer arrives in time, and the dispatcher is not run before its wait for the first answer is over. Guards against
/// a change that runs twice because the dispatcher takes its own delay for that of the others.
#[test]
fn an_answer_that_arrived_in_time_counts_however_late_the_dispatcher_is_run() {
    let target = Duration::from_secs(20);
    let mut pair = Pair::new("in-time", target);
    let mut change = pair.stop_while_waiting();
    let stop = target.mul_f64(WAIT_SHARE) + Duration::from_millis(50);
    assert!(
        !pair.answer_while_stopped(&change, stop),
        "it is sent again"
    );
    assert_done(change.client.next_answer().1, RECORDED_BODY);
}

/// The same, and no time is left to wait once the dispatcher is run. Guards against a change that runs twice because the
/// end of the wait is handled before the answer in the socket is read.
#[test]
fn an_answer_counts_also_when_no_wait_is_left() {
    let target = Duration::from_millis(2_800);
    let mut pair = Pair::new("no-wait", target);
    let mut change = pair.stop_while_waiting();
    let stop = target.mul_f64(LONGEST_WAIT_SHARE) + Duration::from_millis(50);
    assert!(
        !pair.answer_while_stopped(&change, stop),
        "it is sent again"
    );
    change.client.next_answer();
}
