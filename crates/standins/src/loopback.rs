//! The fleet on loopback: every host listens, the journal service tells the list and the purges.
//!
//! All tasks run on one thread, in a LocalSet. One task owns the [`Fleet`]; what hosts are asked comes to it by a
//! queue, and what they answer goes out by a queue of each connection. Bodies are smaller than what they stand for,
//! in proportion; what time they take is the fleet's affair.

use crate::fleet::{Answer, Fleet, Moved, Pull, Said, Ticket};
use crate::shape::{DAWN, Role, Trouble, told};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep_until};
use trailproxy::interface::{Ending, Fill, HostEntry, HostState, Note, NoteLevel};
use trailproxy::units::*;

/// Points in time of a run, from [`DAWN`] on, and the Unix clock beside them.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix_us: u64,
}

impl Clock {
    /// A clock whose day begins after this.
    pub fn dawning_in(wait: Duration) -> io::Result<Clock> {
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let unix = unix.map_err(|e| io::Error::other(e.to_string()))? + wait;
        Ok(Clock {
            start: Instant::now() + wait,
            unix_us: unix.as_micros() as u64,
        })
    }

    /// Before the day begins, its beginning.
    pub fn now(&self) -> Timestamp {
        DAWN + TimeSpan(self.start.elapsed().as_micros() as u64)
    }

    pub fn instant(&self, at: Timestamp) -> Instant {
        self.start + Duration::from_micros(at.since(DAWN).0)
    }

    pub fn unix_ms(&self, at: Timestamp) -> u64 {
        (self.unix_us + at.0).saturating_sub(DAWN.0) / 1000
    }
}

/// What the stand-ins see, for whoever checks the rules.
#[derive(Clone, Debug)]
pub enum Seen {
    Sent {
        reference: u64,
        host: HostId,
        source: Option<HostId>,
        kb: f64,
        no: u8,
    },
    Ended {
        reference: u64,
        no: u8,
        never_ran: bool,
    },
    /// A copy went to a dispatcher: when it was minted.
    Copied {
        reference: u64,
        minted: Timestamp,
    },
    Listed(HostEntry),
    Purged(Option<ObjectId>, GroupId),
    Given {
        host: HostId,
        kb: f64,
    },
    Fell,
    /// Bytes moved so far, and KB into each zone; told every second.
    Moved(Moved, Vec<f64>),
    /// KB into each zone so far; told every [`CROSSED_EVERY`].
    Crossed(Vec<f64>),
    /// KB into each zone by transfers that crossed whole, by track; told every second.
    Whole(Vec<Vec<f64>>),
}

/// How often the links' counters are read.
pub const CROSSED_EVERY: TimeSpan = TimeSpan::from_millis(100);

/// How objects and tracks are named on the wire, and how bytes are scaled.
#[derive(Clone, Debug)]
pub struct Wire {
    pub tracks: Vec<String>,
    pub zones: Vec<String>,
    /// A body has this part of the bytes that it stands for.
    pub scale: f64,
    pub notes: NoteLevel,
    /// How late the journal service tells things.
    pub list_delay: TimeSpan,
    pub purge_delay: TimeSpan,
}

/// What an access was asked for: the wire does not tell hosts the size and the group.
#[derive(Clone, Copy, Debug)]
pub struct Wanted {
    pub zone: ZoneId,
    pub group: GroupId,
    pub kb: f64,
}

enum ToFleet {
    Pull {
        line: LineId,
        back: UnboundedSender<Back>,
        host: HostId,
        words: Words,
    },
    Kill {
        line: LineId,
        id: String,
    },
    Closed {
        line: LineId,
    },
    Cue(Trouble),
}

/// To a connection of a host.
enum Back {
    Bytes(Vec<u8>),
    HangUp,
}

type LineId = u64;
type Words = (String, BTreeMap<String, String>);
type Journal = Rc<RefCell<Vec<(u64, String)>>>;

struct OpenPull {
    line: LineId,
    id: String,
    back: UnboundedSender<Back>,
    reference: u64,
    no: u8,
    kb: f64,
}

/// A fleet that runs on loopback until it is dropped.
pub struct Stage {
    to_fleet: UnboundedSender<ToFleet>,
    pub journal_address: SocketAddr,
    /// The list as it was told first, as JSON.
    pub known: String,
    /// The first event, which has the whole list.
    first: String,
    journal: Journal,
    wanted: Rc<RefCell<BTreeMap<u64, Wanted>>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for Stage {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// The largest body and the most words that a stand-in reads.
const MOST_BYTES: usize = 1 << 20;
const MOST_WORDS: usize = 8;

impl Stage {
    /// Opens all ports; hosts are served from then on. What is seen goes to `seen`.
    pub async fn open(
        fleet: Fleet,
        hosts: usize,
        wire: Wire,
        clock: Clock,
        seen: UnboundedSender<(Timestamp, Seen)>,
    ) -> io::Result<Stage> {
        Stage::open_behind(fleet, hosts, wire, clock, seen, |_, address| Ok(address)).await
    }

    /// The same with something before each host: given a host and where it listens, `front` says where the list has it.
    pub async fn open_behind(
        fleet: Fleet,
        hosts: usize,
        wire: Wire,
        clock: Clock,
        seen: UnboundedSender<(Timestamp, Seen)>,
        front: impl Fn(HostId, SocketAddr) -> io::Result<SocketAddr>,
    ) -> io::Result<Stage> {
        let (to_fleet, inbox) = unbounded_channel();
        let mut ports = Vec::new();
        for place in 0..hosts {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let address = listener.local_addr()?;
            ports.push(Port {
                place,
                address,
                told: front(fleet.at(place).id, address)?,
                doors: Doors::default(),
                task: None,
            });
            if let Some(port) = ports.last_mut() {
                port.open(listener, fleet.at(place).id, &to_fleet);
            }
        }
        let journal: Journal = Rc::default();
        let service = TcpListener::bind("127.0.0.1:0").await?;
        let journal_address = service.local_addr()?;
        let members: Vec<String> = fleet
            .list()
            .iter()
            .zip(&ports)
            .map(|(entry, port)| member(entry, port, &fleet, &wire, &clock))
            .collect();
        let first = format!(
            "{{\"pos\":1,\"hosts\":{{\"revision\":1,\"complete\":true,\"members\":[{}]}}}}",
            members.join(",")
        );
        let known = known(1, std::slice::from_ref(&first));
        let wanted: Rc<RefCell<BTreeMap<u64, Wanted>>> = Rc::default();
        let owner = Owner {
            fleet,
            wire,
            clock,
            ports,
            seen,
            wanted: wanted.clone(),
            open: BTreeMap::new(),
            by_id: BTreeMap::new(),
            tries: BTreeMap::new(),
            next: 0,
            journal: journal.clone(),
            later: BTreeMap::new(),
            to_fleet: to_fleet.clone(),
        };
        let tasks = vec![
            spawn_local(owner.run(inbox)),
            spawn_local(tell(service, journal.clone())),
        ];
        Ok(Stage {
            to_fleet,
            journal_address,
            known,
            first,
            journal,
            wanted,
            tasks,
        })
    }

    /// All that the journal service has told by now, as a dispatcher is told it at its start.
    pub fn known_now(&self) -> String {
        let journal = self.journal.borrow();
        let last = journal.last().map_or(1, |(pos, _)| *pos);
        let later = journal.iter().map(|(_, event)| event.clone());
        let all: Vec<String> = std::iter::once(self.first.clone()).chain(later).collect();
        known(last, &all)
    }

    /// Notes what an access is about to be asked for, by its reference.
    pub fn expect(&self, reference: u64, wanted: Wanted) {
        self.wanted.borrow_mut().insert(reference, wanted);
    }

    /// Nothing more is asked for under this reference.
    pub fn forget(&self, reference: u64) {
        self.wanted.borrow_mut().remove(&reference);
    }

    pub fn cue(&self, trouble: Trouble) {
        let _ = self.to_fleet.send(ToFleet::Cue(trouble));
    }
}

/// What a dispatcher is told at its start, as JSON.
fn known(last: u64, events: &[String]) -> String {
    format!("{{\"pos\":{last},\"entries\":[{}]}}", events.join(","))
}

/// The connections of one host, to be ended with it.
type Doors = Rc<RefCell<BTreeMap<LineId, UnboundedSender<Back>>>>;

struct Port {
    place: usize,
    address: SocketAddr,
    /// Where the list has it.
    told: SocketAddr,
    doors: Doors,
    task: Option<JoinHandle<()>>,
}

thread_local! {
    static LINES: std::cell::Cell<LineId> = const { std::cell::Cell::new(0) };
}

fn next_line() -> LineId {
    LINES.with(|lines| {
        lines.set(lines.get() + 1);
        lines.get()
    })
}

impl Port {
    fn open(&mut self, listener: TcpListener, host: HostId, to_fleet: &UnboundedSender<ToFleet>) {
        let (doors, to_fleet) = (self.doors.clone(), to_fleet.clone());
        self.task = Some(spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let line = next_line();
                let (back, orders) = unbounded_channel();
                doors.borrow_mut().insert(line, back.clone());
                spawn_local(serve(
                    stream,
                    line,
                    host,
                    back,
                    orders,
                    to_fleet.clone(),
                    doors.clone(),
                ));
            }
        }));
    }

    /// The process ends: its port refuses, its connections are reset.
    fn close(&mut self) {
        self.task.take().into_iter().for_each(|task| task.abort());
        for (_, back) in std::mem::take(&mut *self.doors.borrow_mut()) {
            let _ = back.send(Back::HangUp);
        }
    }

    fn again(&self) -> io::Result<TcpListener> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(self.address)?;
        socket.listen(1024)
    }
}

/// One connection of a host: what comes goes to the fleet, what the fleet says goes back.
async fn serve(
    stream: TcpStream,
    line: LineId,
    host: HostId,
    back: UnboundedSender<Back>,
    mut orders: UnboundedReceiver<Back>,
    to_fleet: UnboundedSender<ToFleet>,
    doors: Doors,
) {
    let _ = stream.set_nodelay(true);
    let (read, mut write) = stream.into_split();
    let mut read = BufReader::new(read);
    let reading = async {
        while let Ok(Some(words)) = array(&mut read).await {
            let text = |nth: usize| {
                words
                    .get(nth)
                    .map_or("".into(), |word| String::from_utf8_lossy(word).into_owned())
            };
            let sent = match text(0).as_str() {
                "PULL" => {
                    let words = (text(1), fields(&text(2)));
                    to_fleet.send(ToFleet::Pull {
                        line,
                        back: back.clone(),
                        host,
                        words,
                    })
                }
                "KILL" => to_fleet.send(ToFleet::Kill { line, id: text(1) }),
                _ => break,
            };
            if sent.is_err() {
                break;
            }
        }
    };
    let writing = async {
        while let Some(Back::Bytes(bytes)) = orders.recv().await {
            if write.write_all(&bytes).await.is_err() {
                break;
            }
        }
    };
    tokio::select! {
        () = reading => {}
        () = writing => {}
    }
    doors.borrow_mut().remove(&line);
    let _ = to_fleet.send(ToFleet::Closed { line });
}

/// One RESP array of bulk strings; `None` at the end of the stream.
async fn array(read: &mut BufReader<OwnedReadHalf>) -> io::Result<Option<Vec<Vec<u8>>>> {
    let Some(n) = number(read, b'*').await? else {
        return Ok(None);
    };
    let bad = || io::Error::from(io::ErrorKind::InvalidData);
    if n > MOST_WORDS {
        return Err(bad());
    }
    let mut words = Vec::with_capacity(n);
    for _ in 0..n {
        let length = number(read, b'$')
            .await?
            .filter(|&length| length <= MOST_BYTES)
            .ok_or_else(bad)?;
        let mut word = vec![0; length + 2];
        read.read_exact(&mut word).await?;
        word.truncate(length);
        words.push(word);
    }
    Ok(Some(words))
}

async fn number(read: &mut BufReader<OwnedReadHalf>, mark: u8) -> io::Result<Option<usize>> {
    let mut line = Vec::new();
    let n = (&mut *read).take(32).read_until(b'\n', &mut line).await?;
    if n == 0 {
        return Ok(None);
    }
    let text = line
        .strip_prefix(&[mark])
        .and_then(|rest| std::str::from_utf8(rest).ok());
    let number = text.and_then(|text| text.trim().parse().ok());
    number
        .map(Some)
        .ok_or_else(|| io::ErrorKind::InvalidData.into())
}

fn fields(text: &str) -> BTreeMap<String, String> {
    let pairs = text.split(',').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect()
}

fn member(entry: &HostEntry, port: &Port, fleet: &Fleet, wire: &Wire, clock: &Clock) -> String {
    let host = fleet.at(port.place);
    let phase = match entry.state {
        HostState::Ready => "ready",
        HostState::Draining => "draining",
        HostState::Gone => "gone",
    };
    let flavor = match host.role {
        Role::Cache => "cache",
        Role::Parent => "parent",
        Role::Origin => "origin",
    };
    // A host that another has replaced is told under its old name.
    let name = if entry.host == host.id {
        host.name.as_str()
    } else {
        host.name.trim_end_matches('+')
    };
    let started = entry.started.map_or(0, |at| clock.unix_ms(at));
    format!(
        "{{\"id\":\"{name}\",\"host_port\":\"{}\",\"locality\":\"{}\",\"flavor\":\"{flavor}\",\"cell\":{},\
         \"phase\":\"{phase}\",\"size\":{},\"up_since_ms\":{started}}}",
        port.told,
        wire.zones[usize::from(entry.zone.0)],
        entry.cell.0,
        entry.capacity,
    )
}

/// The one task that has the fleet.
struct Owner {
    fleet: Fleet,
    wire: Wire,
    clock: Clock,
    ports: Vec<Port>,
    seen: UnboundedSender<(Timestamp, Seen)>,
    wanted: Rc<RefCell<BTreeMap<u64, Wanted>>>,
    open: BTreeMap<Ticket, OpenPull>,
    by_id: BTreeMap<(LineId, String), Ticket>,
    /// Hand-offs so far, by reference; forgotten when the client needs no more.
    tries: BTreeMap<u64, u8>,
    next: u64,
    journal: Journal,
    /// What the journal service is to tell, and when.
    later: BTreeMap<(Timestamp, u64), String>,
    to_fleet: UnboundedSender<ToFleet>,
}

impl Owner {
    async fn run(mut self, mut inbox: UnboundedReceiver<ToFleet>) {
        let mut sample_at = self.clock.now() + TimeSpan::from_secs(1);
        let mut crossed_at = DAWN;
        loop {
            let now = self.clock.now();
            let said = self.fleet.advance(now);
            let zones = (0..self.wire.zones.len()).map(|zone| ZoneId(zone as u16));
            if now >= crossed_at {
                crossed_at = crossed_at + CROSSED_EVERY;
                let crossed = zones.clone().map(|zone| self.fleet.crossed_kb(zone));
                self.see(now, Seen::Crossed(crossed.collect()));
            }
            if now >= sample_at {
                sample_at = sample_at + TimeSpan::from_secs(1);
                let crossed = zones.clone().map(|zone| self.fleet.crossed_kb(zone));
                self.see(now, Seen::Moved(self.fleet.moved(), crossed.collect()));
                let whole = zones.map(|zone| self.fleet.crossed_whole_kb(zone).to_vec());
                self.see(now, Seen::Whole(whole.collect()));
            }
            said.into_iter().for_each(|said| self.said(now, said));
            self.publish(now);
            let later = self.later.first_key_value().map(|(&(at, _), _)| at);
            let next = self.fleet.next().into_iter().chain(later).min();
            let sample = sample_at.min(crossed_at);
            let next = next.map_or(sample, |next| next.min(sample));
            tokio::select! {
                biased;
                order = inbox.recv() => match order {
                    Some(order) => self.order(order),
                    None => return,
                },
                () = sleep_until(self.clock.instant(next)) => {}
            }
        }
    }

    fn see(&self, at: Timestamp, seen: Seen) {
        let _ = self.seen.send((at, seen));
    }

    fn order(&mut self, order: ToFleet) {
        let now = self.clock.now();
        match order {
            ToFleet::Pull {
                line,
                back,
                host,
                words,
            } => self.pull(now, line, back, host, words),
            ToFleet::Kill { line, id } => {
                if let Some(ticket) = self.by_id.remove(&(line, id)) {
                    self.abandon(now, ticket);
                }
            }
            ToFleet::Closed { line } => {
                let all: Vec<Ticket> = self
                    .open
                    .iter()
                    .filter(|(_, o)| o.line == line)
                    .map(|(&t, _)| t)
                    .collect();
                all.into_iter().for_each(|ticket| self.abandon(now, ticket));
            }
            ToFleet::Cue(trouble) => self.fleet.cue(trouble),
        }
    }

    fn abandon(&mut self, now: Timestamp, ticket: Ticket) {
        self.fleet.withdraw(now, ticket);
        if let Some(open) = self.open.remove(&ticket) {
            self.by_id.remove(&(open.line, open.id));
            let (reference, no) = (open.reference, open.no);
            self.see(
                now,
                Seen::Ended {
                    reference,
                    no,
                    never_ran: false,
                },
            );
        }
    }

    fn pull(
        &mut self,
        now: Timestamp,
        line: LineId,
        back: UnboundedSender<Back>,
        host: HostId,
        words: Words,
    ) {
        let (id, fields) = words;
        let reference = u64::from_str_radix(&id, 16).unwrap_or(0);
        let wanted = self.wanted.borrow().get(&reference).copied();
        let field = |name: &str| fields.get(name).map(String::as_str);
        let track =
            field("lane").and_then(|lane| self.wire.tracks.iter().position(|name| name == lane));
        let object = field("name").and_then(|hex| u64::from_str_radix(hex, 16).ok());
        let (Some(track), Some(object)) = (track, object) else {
            let _ = back.send(Back::HangUp);
            return;
        };
        // Without a client that is known to want it, it is a request that nobody sent in this form.
        let wanted = wanted.unwrap_or(Wanted {
            zone: ZoneId(0),
            group: GroupId(0),
            kb: 1.0,
        });
        let opts = field("opts").unwrap_or("");
        let has = |word: &str| opts.split('+').any(|opt| opt == word);
        let millis = |name: &str| {
            field(name)
                .and_then(|ms| ms.parse::<u64>().ok())
                .filter(|&ms| ms > 0)
        };
        let fill = field("via").map(|via| Fill {
            source: HostId::of_name(via),
            rank: field("tier")
                .and_then(|tier| tier.parse().ok())
                .unwrap_or(0),
            max_age: millis("fresh").map(TimeSpan::from_millis),
            join: has("merge"),
            only_if_cached: has("local"),
            revalidate: has("revalidate"),
        });
        let plain = Fill {
            source: host,
            rank: 0,
            max_age: None,
            join: false,
            only_if_cached: false,
            revalidate: false,
        };
        let fill = fill.or(millis("fresh").map(|ms| Fill {
            max_age: Some(TimeSpan::from_millis(ms)),
            ..plain
        }));
        self.next += 1;
        let ticket = Ticket(self.next);
        let tries = self.tries.entry(reference).or_default();
        let no = *tries;
        *tries = tries.saturating_add(1);
        if self.tries.len() > 100_000 {
            self.tries.pop_first();
        }
        let source = fill.map(|fill| fill.source);
        self.see(
            now,
            Seen::Sent {
                reference,
                host,
                source,
                kb: wanted.kb,
                no,
            },
        );
        let pull = Pull {
            ticket,
            host,
            zone: wanted.zone,
            track: ClassId(track as u16),
            object: ObjectId(object),
            group: wanted.group,
            part: field("piece")
                .and_then(|piece| piece.parse().ok())
                .unwrap_or(0),
            kb: wanted.kb,
            fill,
        };
        self.by_id.insert((line, id.clone()), ticket);
        self.open.insert(
            ticket,
            OpenPull {
                line,
                id,
                back,
                reference,
                no,
                kb: wanted.kb,
            },
        );
        self.fleet.hand_off(now, pull);
    }

    fn said(&mut self, now: Timestamp, said: Said) {
        match said {
            Said::Answer(answer) => self.answer(now, answer),
            Said::Listed(entry) => {
                self.see(now, Seen::Listed(entry));
                let place = self.fleet.place(entry.host).or_else(|| {
                    let old = |port: &&Port| {
                        HostId::of_name(self.fleet.at(port.place).name.trim_end_matches('+'))
                            == entry.host
                    };
                    self.ports.iter().find(old).map(|port| port.place)
                });
                if let Some(place) = place {
                    let member = member(
                        &entry,
                        &self.ports[place],
                        &self.fleet,
                        &self.wire,
                        &self.clock,
                    );
                    let late = self.wire.list_delay + self.fleet.list_delay(now);
                    let text = format!(
                        "\"hosts\":{{\"revision\":2,\"complete\":false,\"members\":[{member}]}}"
                    );
                    self.tell_later(now + late, text);
                }
            }
            Said::Purged { object, group } => {
                self.see(now, Seen::Purged(object, group));
                let stamp = self.clock.unix_ms(now);
                let what = match object {
                    Some(object) => format!("\"name\":\"{:016x}\"", object.0),
                    None => format!("\"set\":{}", group.0),
                };
                let late = self.wire.purge_delay;
                self.tell_later(
                    now + late,
                    format!("\"expire\":{{{what},\"stamp\":{stamp}}}"),
                );
            }
            Said::Given { host, kb } => self.see(now, Seen::Given { host, kb }),
            Said::Fell(_) => self.see(now, Seen::Fell),
            Said::Down(host) => {
                let place = self.fleet.place(host);
                place
                    .into_iter()
                    .for_each(|place| self.ports[place].close());
            }
            Said::Up(host) => {
                let to_fleet = self.to_fleet.clone();
                let port = self.fleet.place(host).map(|place| &mut self.ports[place]);
                if let Some(port) = port
                    && let Ok(listener) = port.again()
                {
                    port.open(listener, host, &to_fleet);
                }
            }
        }
    }

    fn tell_later(&mut self, at: Timestamp, text: String) {
        self.next += 1;
        self.later.insert((at, self.next), text);
    }

    /// Puts what is due into the journal, under the next number.
    fn publish(&mut self, now: Timestamp) {
        while let Some(entry) = self
            .later
            .first_entry()
            .filter(|entry| entry.key().0 <= now)
        {
            let text = entry.remove();
            let mut journal = self.journal.borrow_mut();
            let pos = journal.last().map_or(2, |(pos, _)| pos + 1);
            journal.push((pos, format!("{{\"pos\":{pos},{text}}}")));
        }
    }

    fn answer(&mut self, now: Timestamp, answer: Answer) {
        let Some(open) = self.open.remove(&answer.ticket) else {
            return;
        };
        self.by_id.remove(&(open.line, open.id.clone()));
        let (reference, no) = (open.reference, open.no);
        let never_ran = answer.ending.never_ran();
        self.see(
            now,
            Seen::Ended {
                reference,
                no,
                never_ran,
            },
        );
        let word = match answer.ending {
            Ending::Done => "data",
            Ending::Miss => "absent",
            Ending::Full => "full",
            Ending::Error => "failed",
            _ => {
                let _ = open.back.send(Back::HangUp);
                return;
            }
        };
        let mut fields = String::new();
        let mut body = Vec::new();
        if answer.ending == Ending::Done {
            let minted = answer.minted.unwrap_or(now);
            self.see(now, Seen::Copied { reference, minted });
            let unix = self.clock.unix_ms(minted);
            fields = format!("tag={unix:x},minted={unix},");
            body.resize(
                (open.kb * 1024.0 * self.wire.scale).clamp(1.0, 240_000.0) as usize,
                b'x',
            );
        }
        let why = match told(self.wire.notes, answer.note) {
            Note::NotReported => "",
            Note::Hit => "why=TCP_HIT",
            Note::Filled => "why=TCP_MISS",
            Note::FilledByOrigin => "why=TCP_MISS_ROOT",
            Note::Joined => "why=TCP_JOIN",
            Note::Stale => "why=TCP_STALE",
            Note::SourceRefused => "why=PEER_DENY",
            Note::SourceLost => "why=PEER_DEAD",
            Note::SourceMiss => "why=PEER_MISS",
            Note::NoFillSlot => "why=FILL_FULL",
            Note::OriginFailed => "why=ROOT_FAIL",
        };
        fields.push_str(why);
        if let Some(waited) = answer.waited.filter(|_| self.wire.notes == NoteLevel::All) {
            fields.push_str(&format!(",lag={:.3}", waited.0 as f64 / 1e3));
        }
        let fields = fields.trim_matches(',');
        let fields = if fields.is_empty() { "-" } else { fields };
        let mut bytes = b"*4\r\n".to_vec();
        for part in [
            open.id.as_bytes(),
            word.as_bytes(),
            fields.as_bytes(),
            &body,
        ] {
            bytes.extend(format!("${}\r\n", part.len()).as_bytes());
            bytes.extend(part);
            bytes.extend(b"\r\n");
        }
        let _ = open.back.send(Back::Bytes(bytes));
    }
}

/// The journal service: each caller reads on from the place it names, and a comment comes every second.
async fn tell(service: TcpListener, journal: Journal) {
    while let Ok((stream, _)) = service.accept().await {
        spawn_local(tell_one(stream, journal.clone()));
    }
}

async fn tell_one(stream: TcpStream, journal: Journal) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let (read, mut write) = stream.into_split();
    let mut lines = BufReader::new(read).take(16_384).lines();
    let mut last = 0;
    while let Some(line) = lines.next_line().await?.filter(|line| !line.is_empty()) {
        if let Some(place) = line.strip_prefix("Last-Event-ID:") {
            last = place.trim().parse().unwrap_or(0);
        }
    }
    write
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
        .await?;
    let mut rounds = 0u32;
    loop {
        let mut text = String::new();
        for (pos, event) in journal.borrow().iter().filter(|(pos, _)| *pos > last) {
            text.push_str(&format!("id: {pos}\ndata: {event}\n\n"));
        }
        last = journal
            .borrow()
            .last()
            .map_or(last, |(pos, _)| last.max(*pos));
        if rounds.is_multiple_of(50) {
            text.push_str(": well\n\n");
        }
        rounds += 1;
        if !text.is_empty() {
            write.write_all(text.as_bytes()).await?;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
