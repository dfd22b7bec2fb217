//! Where the time of one message goes: decisions, encoding with its keyed sum, and the socket, each by itself.
//!
//! One real core runs in virtual time among members that only answer: each acknowledges its pings and has the same facts.
//! What the core is told and what it says are what a fleet at rest says, so that each part is timed over real messages.

use crate::member::from_socket;
use serde::{Deserialize, Serialize};
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::time::{Duration, Instant};
use trailproxy::units::{TimeSpan, Timestamp};
use trailproxy_peers::decide::facts::Slot;
use trailproxy_peers::decide::members::OwnMember;
use trailproxy_peers::decide::messages::{
    Address, BootId, Completeness, InquiryId, MemberStatus, MemberSummary, MemberUpdate, Message,
    MessagePart, PeerId,
};
use trailproxy_peers::decide::{Action, Peers, PeersSettings};
use trailproxy_peers::wire::{MAX_DATAGRAM_BYTES, Seal};

/// When the virtual clock begins: any moment far from zero does.
const BEGIN: Timestamp = Timestamp(1_000_000_000_000);
/// After so long nothing is lacking any more, by [`rules`].
const SETTLE: TimeSpan = TimeSpan::from_secs(40);
/// The virtual window that is timed.
const WINDOW: TimeSpan = TimeSpan::from_secs(120);
/// The others ping the core, and compare sums with it, this often altogether, as in a fleet at rest.
const PINGED_EVERY: TimeSpan = TimeSpan::from_millis(400);
const COMPARED_EVERY: TimeSpan = TimeSpan::from_millis(500);
/// Slots of records that the core compares with others in one message.
const COMPARED_SLOTS: u16 = 8;
/// Datagrams that are sent and read to time the socket.
const DATAGRAMS: u32 = 20_000;

/// Mean time of each part, without its longest hundredth, at one size of the fleet, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MessageCost {
    pub members: usize,
    /// Messages of the window, both ways, and calls of `advance`.
    pub messages: u64,
    pub advances: u64,
    /// A message that came is decided upon.
    pub heard_us: f64,
    /// What is due is done.
    pub advance_us: f64,
    /// The next moment is asked for, which a dispatcher does some times after each event.
    pub next_us: f64,
    /// A change of one member: who keeps what is reckoned anew.
    pub member_change_us: f64,
    /// A message is encoded or read, without its sum.
    pub encode_us: f64,
    pub decode_us: f64,
    /// The keyed sum over one message.
    pub sum_us: f64,
    /// One datagram is sent, and one is read, on loopback.
    pub send_us: f64,
    pub receive_us: f64,
}

/// Of the times of one part, the longest are left out by this: there the thread was not run, on a busy machine.
const LONGEST: f64 = 0.01;

/// The times that one part took.
#[derive(Clone, Debug, Default)]
struct Timed(Vec<Duration>);

impl Timed {
    fn time<T>(&mut self, what: impl FnOnce() -> T) -> T {
        let began = Instant::now();
        let done = what();
        self.0.push(began.elapsed());
        done
    }

    fn number(&self) -> u64 {
        self.0.len() as u64
    }

    /// The mean without the longest, by [`LONGEST`].
    fn mean_us(&self) -> f64 {
        let mut times = self.0.clone();
        times.sort_unstable();
        let left_out = (times.len() as f64 * LONGEST).ceil() as usize;
        times.truncate((times.len() - left_out.min(times.len())).max(1));
        let total: Duration = times.iter().sum();
        total.as_secs_f64() * 1e6 / times.len().max(1) as f64
    }
}

#[derive(Default)]
struct Timers {
    heard: Timed,
    advance: Timed,
    next: Timed,
    change: Timed,
    encode: Timed,
    decode: Timed,
    sum: Timed,
    messages: u64,
}

/// One core and the members that answer it.
struct Bench {
    core: Peers,
    others: Vec<MemberUpdate>,
    seal: Seal,
    sum_key: [u8; 32],
    chance: fastrand::Rng,
    timers: Timers,
    answers: Vec<(PeerId, Vec<MessagePart>)>,
}

/// Times each part in a fleet of that size.
pub fn measure(members: usize, seed: u64) -> io::Result<MessageCost> {
    let mut bench = Bench::new(members, seed);
    let began = bench.run(BEGIN, SETTLE);
    bench.timers = Timers::default();
    let ended = bench.run(began, WINDOW);
    bench.change_members(ended);
    let (send_us, receive_us) = socket_times()?;
    let timers = &bench.timers;
    Ok(MessageCost {
        members,
        messages: timers.messages,
        advances: timers.advance.number(),
        heard_us: timers.heard.mean_us(),
        advance_us: timers.advance.mean_us(),
        next_us: timers.next.mean_us(),
        member_change_us: timers.change.mean_us(),
        encode_us: timers.encode.mean_us() - timers.sum.mean_us(),
        decode_us: timers.decode.mean_us() - timers.sum.mean_us(),
        sum_us: timers.sum.mean_us(),
        send_us,
        receive_us,
    })
}

fn rules() -> PeersSettings {
    PeersSettings::sharing_all(
        TimeSpan::from_millis(5),
        TimeSpan::from_secs(10),
        TimeSpan::from_secs(3),
    )
}

fn other(nth: u16) -> MemberUpdate {
    let [high, low] = nth.to_be_bytes();
    let address = SocketAddrV4::new(Ipv4Addr::new(127, 1, high, low), 7_946);
    MemberUpdate {
        id: PeerId::of_name(&format!("other{nth}")),
        address: from_socket(address),
        boot_id: BootId(1),
        incarnation: 0,
        status: MemberStatus::Alive,
    }
}

impl Bench {
    fn new(members: usize, seed: u64) -> Bench {
        let own = OwnMember {
            id: PeerId::of_name("own"),
            address: from_socket(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 7_946)),
            boot_id: BootId(1),
            seeds: Vec::new(),
            topology: None,
        };
        let others = (1..members).map(|nth| other(nth as u16));
        Bench {
            core: Peers::new(BEGIN, own, rules(), seed),
            others: others.collect(),
            seal: Seal::new("cost", b""),
            sum_key: [7; 32],
            chance: fastrand::Rng::with_seed(seed),
            timers: Timers::default(),
            answers: Vec::new(),
        }
    }

    /// Lets virtual time pass, and hands back where it ends.
    fn run(&mut self, from: Timestamp, lasts: TimeSpan) -> Timestamp {
        let (mut ping_at, mut compare_at) = (from, from);
        let (mut now, end) = (from, from + lasts);
        if from == BEGIN {
            let updates = vec![MessagePart::MemberUpdates(self.others.clone())];
            self.tell(now, self.others[0].id, updates);
        }
        while now < end {
            let (core, timers) = (&mut self.core, &mut self.timers);
            let due = timers.next.time(|| core.next_deadline());
            now = due.min(ping_at).min(compare_at).max(now + TimeSpan(1));
            if due <= now {
                timers.advance.time(|| core.advance(now));
            }
            self.collect();
            if ping_at <= now {
                ping_at = now + PINGED_EVERY;
                let ping = MessagePart::Ping(InquiryId(now.0), self.state());
                self.tell_by_anybody(now, ping);
            }
            if compare_at <= now {
                compare_at = now + COMPARED_EVERY;
                let sums = self.core.slot_checksums().into_iter();
                let sums = sums.take(usize::from(COMPARED_SLOTS)).collect();
                self.tell_by_anybody(now, MessagePart::Checksums(sums));
            }
            self.answer(now);
        }
        now
    }

    fn state(&self) -> MemberSummary {
        MemberSummary {
            in_sync: true,
            records: 0,
            journal_position: 0,
            membership_checksum: self.core.members().membership_checksum(),
        }
    }

    fn tell_by_anybody(&mut self, now: Timestamp, note: MessagePart) {
        let nth = self.chance.usize(0..self.others.len());
        self.tell(now, self.others[nth].id, vec![note]);
    }

    /// The core hears a message, by way of its datagram.
    fn tell(&mut self, now: Timestamp, from: PeerId, notes: Vec<MessagePart>) {
        let Some(of) = self.others.iter().find(|other| other.id == from).copied() else {
            return;
        };
        let message = Message {
            from,
            boot_id: of.boot_id,
            incarnation: of.incarnation,
            stamp: now.0,
            parts: notes,
        };
        if let Some(bytes) = self.seal.write(&message) {
            let (seal, timers) = (&self.seal, &mut self.timers);
            let _ = timers.decode.time(|| seal.read(&bytes));
            self.time_sum(&bytes);
        }
        let (core, timers) = (&mut self.core, &mut self.timers);
        timers.messages += 1;
        timers
            .heard
            .time(|| core.on_message(now, of.address, message));
        self.collect();
    }

    /// Takes what the core says, and notes what is answered to it.
    fn collect(&mut self) {
        for action in self.core.take_actions() {
            if let Action::Send(to, message) = action {
                self.timers.messages += 1;
                let (seal, timers) = (&self.seal, &mut self.timers);
                let bytes = timers.encode.time(|| seal.write(&message));
                bytes.iter().for_each(|bytes| self.time_sum(bytes));
                self.note_answers(to, &message);
            }
        }
    }

    fn time_sum(&mut self, bytes: &[u8]) {
        let (key, timers) = (&self.sum_key, &mut self.timers);
        let sum = timers.sum.time(|| blake3::keyed_hash(key, bytes));
        std::hint::black_box(sum);
    }

    fn note_answers(&mut self, to: Address, message: &Message) {
        let Some(of) = self.others.iter().find(|other| other.address == to) else {
            return;
        };
        let (id, state) = (of.id, self.state());
        let answers = message.parts.iter().filter_map(|note| match note {
            MessagePart::Ping(no, _) => Some(MessagePart::Ack(*no, state)),
            MessagePart::Checksums(sums) => Some(MessagePart::Same {
                slots: sums.iter().map(|&(slot, _)| slot).collect::<Vec<Slot>>(),
                completeness: Completeness::Complete,
            }),
            _ => None,
        });
        let answers: Vec<MessagePart> = answers.collect();
        if !answers.is_empty() {
            self.answers.push((id, answers));
        }
    }

    fn answer(&mut self, now: Timestamp) {
        for (from, notes) in std::mem::take(&mut self.answers) {
            self.tell(now, from, notes);
        }
    }

    /// One after the other leaves: each time the core reckons anew who keeps what.
    fn change_members(&mut self, mut now: Timestamp) {
        const CHANGES: usize = 16;
        for nth in 1..CHANGES.min(self.others.len()) {
            now = now + TimeSpan::from_millis(200);
            let mut update = self.others[nth];
            update.status = MemberStatus::Left;
            let first = self.others[0];
            let message = Message {
                from: first.id,
                boot_id: first.boot_id,
                incarnation: first.incarnation,
                stamp: now.0,
                parts: vec![MessagePart::MemberUpdates(vec![update])],
            };
            let (core, timers) = (&mut self.core, &mut self.timers);
            timers
                .change
                .time(|| core.on_message(now, first.address, message));
            self.core.take_actions();
        }
    }
}

/// One datagram sent and one read, on loopback, of the length of a usual message.
fn socket_times() -> io::Result<(f64, f64)> {
    const BYTES: usize = 70;
    let near = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
    let far = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
    let to = far.local_addr()?;
    let (mut sending, mut receiving) = (Timed::default(), Timed::default());
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    for _ in 0..DATAGRAMS {
        sending.time(|| near.send_to(&[0; BYTES], to))?;
        receiving.time(|| far.recv_from(&mut buffer))?;
    }
    Ok((sending.mean_us(), receiving.mean_us()))
}
