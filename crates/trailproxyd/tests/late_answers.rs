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
/// The time to the target of a change. A fiftieth of it is [`LONGEST_WAIT`].
const CHANGE_TARGET: Duration = Duration::from_secs(20);
/// The longest wait for the first answer.
const LONGEST_WAIT: Duration = Duration::from_millis(400);
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
        let settings = PeersSettings {
            records: true,
            purges: true,
            hosts: true,
            hints: true,
            refuse_unconfirmed: false,
            max_wait: TimeSpan::from_millis(5),
            record_retention: TimeSpan::from_secs(60),
            purge_retention: TimeSpan::from_secs(60),
        };
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
    file: std::path::PathBuf,
}

impl Pair {
    fn new(name: &str) -> Pair {
        let listen = free_address();
        let mut other = OtherMember::new(listen);
        let seed = other.socket.local_addr().expect("an address");
        let section = json!({"peers": {
            "file": "operator.star", "place": [1, 1], "fleet": FLEET, "secret_file": "", "listen": listen.to_string(),
            "advertise": "", "seeds": [seed.to_string()], "wait_ms": LONGEST_WAIT.as_millis() as f64, "keep_s": 60.0,
            "records": true, "purges": true, "hosts": true, "hints": true
        }});
        let file = std::env::temp_dir().join(format!("tpl-{name}-{}.json", std::process::id()));
        std::fs::write(&file, section.to_string()).expect("a file");
        let cluster = Cluster::with_config(|config, _| {
            let target_us = CHANGE_TARGET.as_micros() as u64;
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
            file,
        }
    }

    /// A client asks the dispatcher for a change that was done before, elsewhere. Returns the client once the claim has
    /// reached the other member.
    fn request_change(&mut self) -> (Client, Address, MessagePart) {
        let mut client = self.cluster.client();
        let mut fields = keyed_fields("k1");
        let allow = fields.iter_mut().find(|(name, _)| name == "allow");
        allow.expect("a field").1 = CHANGE_TARGET.as_millis().to_string();
        client.request_with("change", fields, b"new address");
        let (from, claim) = self.other.run(MAX_WAIT).expect("a claim");
        (client, from, claim)
    }
}

impl Drop for Pair {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.file);
    }
}

/// The answer arrives in time, and the dispatcher is not run before the wait for it is over: it finds the answer and its
/// own deadline at once. Guards against a change that runs twice because the deadline is handled first.
#[test]
fn an_answer_that_arrived_in_time_counts_however_late_the_dispatcher_is_run() {
    let mut pair = Pair::new("in-time");
    let (mut client, from, claim) = pair.request_change();
    pair.cluster.program.stop();
    pair.other.answer_done(from, &claim);
    // The bad order: the wait ends while the answer lies in the socket.
    std::thread::sleep(LONGEST_WAIT + Duration::from_millis(50));
    pair.cluster.program.signal("-CONT");
    let sent = pair.cluster.next_request_within(Duration::from_millis(100));
    assert!(sent.is_none(), "the change is sent again");
    assert_done(client.next_answer().1, RECORDED_BODY);
}
