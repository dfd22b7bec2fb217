//! The other dispatchers: their section in the operator's file, and what is to be seen and done among them.

use crate::ExitStatus;
use crate::sections::{kinds, peers_sheet};
use clap::Subcommand;
use std::net::{SocketAddrV4, UdpSocket};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use trailproxy_operator::read_file;
use trailproxy_peers::config::PeersConfig;
use trailproxy_peers::decide::messages::{BootId, InquiryId, Message, MessagePart, PeerId};
use trailproxy_peers::wire::{MAX_DATAGRAM_BYTES, Seal};

#[derive(Subcommand)]
pub enum Task {
    /// Whether the file fits and the seeds answer: 1 where it can't be used.
    Check {
        /// The operator's file.
        file: String,
    },
    /// How each stands: alone, fetching, whole, shadowed or left; whom it misses, and its counters.
    Show {
        file: String,
        /// Only the one at this address, whether the file names it or not.
        #[arg(long)]
        at: Option<SocketAddrV4>,
    },
    /// Have one leave the others and serve alone, say before its machine is taken away.
    Leave {
        file: String,
        #[arg(long)]
        at: SocketAddrV4,
        /// Back to the others.
        #[arg(long)]
        undo: bool,
    },
}

const WITHIN: Duration = Duration::from_secs(1);
/// A question that was lost is asked again after this.
const AGAIN: Duration = Duration::from_millis(200);

/// The way to the dispatchers of a file's section `peers`.
pub struct Way {
    sheet: PeersConfig,
    seal: Seal,
    socket: UdpSocket,
}

impl Way {
    pub fn open(file: &str) -> Result<Way, String> {
        let script = read_file(file, &kinds()).map_err(|wrong| wrong.to_string())?;
        let sheet =
            peers_sheet(&script).ok_or(format!("{file} has no section peers that is on"))?;
        // One that says where it listens by its environment is asked by its seeds.
        let addresses = sheet.addresses(sheet.listen.is_empty().then_some("127.0.0.1:1"))?;
        let own = match sheet.listen.is_empty() {
            true => addresses.seeds.first().copied(),
            false => Some(addresses.advertise),
        };
        own.map(|own| sheet.topology(own)).transpose()?;
        let seal = Seal::new(&sheet.fleet, &sheet.secret()?);
        let socket = UdpSocket::bind("0.0.0.0:0").map_err(|e| e.to_string())?;
        Ok(Way {
            sheet,
            seal,
            socket,
        })
    }

    pub fn all(&self) -> Vec<SocketAddrV4> {
        let mut all: Vec<SocketAddrV4> = self
            .sheet
            .seeds
            .iter()
            .filter_map(|seed| seed.parse().ok())
            .collect();
        all.extend(self.sheet.listen.parse::<SocketAddrV4>());
        all.sort();
        all.dedup();
        all
    }

    /// What that one says, and how long it took.
    pub fn ask(
        &self,
        at: SocketAddrV4,
        note: fn(InquiryId) -> MessagePart,
    ) -> Result<(String, Duration), String> {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        let unix = unix.map_err(|e| e.to_string())?.as_micros() as u64;
        let no = InquiryId(unix);
        let message = Message {
            from: PeerId(0),
            boot_id: BootId(0),
            incarnation: 0,
            stamp: unix,
            parts: vec![note(no)],
        };
        let bytes = self
            .seal
            .write(&message)
            .ok_or("a question that is too long")?;
        self.socket.connect(at).map_err(|e| e.to_string())?;
        let begun = Instant::now();
        let mut heard = vec![0; MAX_DATAGRAM_BYTES];
        let mut refused = None;
        while begun.elapsed() < WITHIN {
            // The word that nobody listened to the one before comes with the next.
            let _ = self.socket.send(&bytes);
            let sent = Instant::now();
            while let Some(left) = AGAIN
                .checked_sub(sent.elapsed())
                .filter(|left| !left.is_zero())
            {
                self.socket
                    .set_read_timeout(Some(left))
                    .map_err(|e| e.to_string())?;
                let size = match self.socket.recv(&mut heard) {
                    Ok(size) => size,
                    Err(e) if e.kind() == std::io::ErrorKind::ConnectionRefused => {
                        refused = Some("nobody listens there");
                        std::thread::sleep(left);
                        continue;
                    }
                    Err(_) => break,
                };
                let Ok((message, _)) = self.seal.read(&heard[..size]) else {
                    continue;
                };
                if let Some(MessagePart::OperatorReply(of, text)) = message.parts.into_iter().next()
                    && of == no
                {
                    return Ok((text, begun.elapsed()));
                }
            }
        }
        let why = "no answer: nobody there, a cut, or another fleet or secret";
        Err(refused.unwrap_or(why).into())
    }
}

pub fn run(task: Task) -> ExitStatus {
    let done = match task {
        Task::Check { file } => check(&file),
        Task::Show { file, at } => show(&file, at),
        Task::Leave { file, at, undo } => leave(&file, at, undo),
    };
    match done {
        Ok(()) => ExitStatus::Success,
        Err(why) => ExitStatus::InvalidInput(why),
    }
}

fn check(file: &str) -> Result<(), String> {
    let way = Way::open(file)?;
    println!(
        "fits     fleet {}, {} seeds",
        way.sheet.fleet,
        way.sheet.seeds.len()
    );
    let mut reached = 0;
    for at in way.all() {
        match way.ask(at, MessagePart::StatusRequest) {
            Ok((_, took)) => {
                reached += 1;
                let ms = took.as_secs_f64() * 1_000.0;
                println!(
                    "{at}  answers in {ms:.1} ms; wait_ms is {}",
                    way.sheet.wait_ms
                );
            }
            Err(why) => println!("{at}  {why}"),
        }
    }
    match reached {
        0 => Err("none is reached: the first to start finds nobody, and serves alone".into()),
        _ => Ok(()),
    }
}

fn show(file: &str, at: Option<SocketAddrV4>) -> Result<(), String> {
    said(file, at, MessagePart::StatusRequest, |text| {
        Some(text.into())
    })
}

/// What all say, or the one at that address, each behind its address; `of` takes from it what is to be shown.
pub fn said(
    file: &str,
    at: Option<SocketAddrV4>,
    note: fn(InquiryId) -> MessagePart,
    of: impl Fn(&str) -> Option<String>,
) -> Result<(), String> {
    let way = Way::open(file)?;
    let all = at.map_or_else(|| way.all(), |at| vec![at]);
    let mut answered = 0;
    for at in all {
        match way.ask(at, note) {
            Ok((text, _)) => {
                answered += 1;
                let text = of(&text).unwrap_or("nothing of it there".into());
                println!("{at}  {}", text.replace('\n', "\n    "));
            }
            Err(why) => println!("{at}  {why}"),
        }
    }
    match answered {
        0 => Err("none answered".into()),
        _ => Ok(()),
    }
}

fn leave(file: &str, at: SocketAddrV4, undo: bool) -> Result<(), String> {
    let way = Way::open(file)?;
    let note: fn(InquiryId) -> MessagePart = match undo {
        true => |no| MessagePart::Leave(no, false),
        false => |no| MessagePart::Leave(no, true),
    };
    let (text, _) = way.ask(at, note)?;
    println!("{at}  {text}");
    Ok(())
}
