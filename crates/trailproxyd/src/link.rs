//! One connection to a host: RESP, requests pipelined and answered in any order.

use crate::buffered::{Held, Parcel};
use crate::checks::{count, must};
use crate::link_context::Shared;
use crate::messages::*;
use crate::msgpack::Fault;
use crate::pulse::Silence;
use crate::resp;
use crate::ring::Ring;
use crate::system_calls::{self, RESOURCE_RETRY_DELAY, Transfer};
use local_channel::mpsc;
use slog::{info, warn};
use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, sleep_until};
use trailproxy::interface::{Ending, Note};
use trailproxy::policy::permits;
use trailproxy::units::{HostId, TimeSpan, Timestamp};

/// The bytes of an object, by the protocol, and of the words beside it.
const LONGEST_WORD: usize = 240_000;
const WORDS: usize = 4;
/// Tags of probes begin so; ids of requests are hex digits.
const PROBE: &str = "probe-";
/// How often a reader looks whether memory is free again.
const READ_AGAIN: Duration = Duration::from_millis(5);

/// How long word that a request is given up may be on its way. Until then its host may still hold it,
/// and the same request at another host would be a second copy.
const WORD_TRAVELS: Duration = Duration::from_millis(5);

/// What waits to be written.
enum Packet {
    Sending(AttemptRequest),
    Kill(Rc<str>),
    Probe(ProbeId),
}

struct OpenAttempt {
    id: AttemptId,
    sent: Instant,
    may_be_same: bool,
}

/// One connection, as its own task knows it.
pub struct Link {
    host: HostId,
    id: ConnectionId,
    stream: TcpStream,
    orders: mpsc::Receiver<ToHost>,
    shared: Rc<Shared>,
    incoming: Ring,
    wants: usize,
    /// One request at a time, and none that has not begun but while it is tried.
    outgoing: Ring,
    in_ring: Option<AttemptRequest>,
    begun: bool,
    /// When something last went out.
    written: Instant,
    unsent: VecDeque<Packet>,
    /// By the id of the request.
    open: BTreeMap<Rc<str>, OpenAttempt>,
    /// The last probe, until it is answered; one before it has its end already.
    probe: Option<ProbeId>,
    /// Given up, and when the host knows.
    withdrawn: VecDeque<(Instant, AttemptId)>,
    heard: Instant,
    active: Instant,
    retired: bool,
    /// It was said that nothing new is to come here.
    unfit: bool,
    /// The system lacked something for it: nothing is read or written before this.
    rests_until: Option<Instant>,
    /// The last silence of the process behind which others were heard first.
    heard_behind: Option<Silence>,
}

type Over = &'static str;

impl Link {
    pub fn new(
        host: HostId,
        id: ConnectionId,
        stream: TcpStream,
        orders: mpsc::Receiver<ToHost>,
        shared: Rc<Shared>,
    ) -> Link {
        Link {
            host,
            id,
            stream,
            orders,
            incoming: Ring::new(shared.held.clone()),
            wants: 1,
            outgoing: Ring::new(shared.held.clone()),
            in_ring: None,
            begun: false,
            written: Instant::now(),
            unsent: VecDeque::new(),
            open: BTreeMap::new(),
            probe: None,
            withdrawn: VecDeque::new(),
            heard: Instant::now(),
            active: Instant::now(),
            retired: false,
            unfit: false,
            rests_until: None,
            heard_behind: None,
            shared,
        }
    }

    pub async fn serve(mut self) {
        let why = loop {
            if let Err(why) = self.turn().await {
                break why;
            }
        };
        match why {
            "idle" => count(&self.shared.counts.lines_idle),
            "closed" => count(&self.shared.counts.lines_closed),
            "reset" | "read failed" | "write failed" => count(&self.shared.counts.lines_reset),
            _ => {}
        }
        self.shared.trace.line_closed(self.host, self.id, why);
        if !self.open.is_empty() || !self.unsent.is_empty() {
            let (host, open) = (format!("{:x}", self.host.0), self.open.len());
            info!(self.shared.log, "host connection broken"; "host" => host, "open" => open, "why" => why);
        }
        // It is the host that ended it, or else the host has yet to hear of it.
        let ended_there = ["closed", "reset", "read failed", "write failed"].contains(&why);
        let _ = socket2::SockRef::from(&self.stream).shutdown(std::net::Shutdown::Both);
        let out = self.open.len() + self.withdrawn.len();
        if !ended_there && out > 0 {
            self.tell_unfit();
            sleep(WORD_TRAVELS).await;
        }
        for (_, id) in std::mem::take(&mut self.withdrawn) {
            self.end(id, Ending::Cancelled);
        }
        // What its host has not got whole, it has not begun.
        let not_whole = self.in_ring.take().filter(|_| !self.outgoing.is_empty());
        for (_, sending) in std::mem::take(&mut self.open) {
            let clean = (not_whole.as_ref()).is_some_and(|kept| kept.id == sending.id);
            self.end(
                sending.id,
                if clean {
                    Ending::NotSent
                } else {
                    Ending::ConnectionLost
                },
            );
        }
        for packet in std::mem::take(&mut self.unsent) {
            self.drop_packet(packet);
        }
        if let Some(id) = self.probe.take() {
            self.shared
                .probed(id, self.host, Ending::ConnectionLost, vec![]);
        }
        while let Some(order) = next_queued(&mut self.orders) {
            match order {
                ToHost::Send(sending) => self.end(sending.id, Ending::NotSent),
                ToHost::Probe(id) => self.shared.probed(id, self.host, Ending::NotSent, vec![]),
                _ => {}
            }
        }
        let (host, line) = (self.host, self.id);
        let _ = self.shared.queue.send(Inbound::Host(FromHost::Closed {
            host,
            connection: line,
        }));
    }

    /// Nothing new is to come here; what is out may still be answered.
    fn tell_unfit(&mut self) {
        if !std::mem::replace(&mut self.unfit, true) {
            let (host, line) = (self.host, self.id);
            let told = FromHost::Unusable {
                host,
                connection: line,
            };
            let _ = self.shared.queue.send(Inbound::Host(told));
        }
    }

    fn end(&self, id: AttemptId, ending: Ending) {
        let answer = Answer::without_body(ending);
        self.shared.end(id, self.host, Some(self.id), answer);
    }

    fn drop_packet(&self, packet: Packet) {
        match packet {
            Packet::Sending(sending) => self.end(sending.id, Ending::NotSent),
            Packet::Probe(id) => self.shared.probed(id, self.host, Ending::NotSent, vec![]),
            Packet::Kill(_) => {}
        }
    }

    /// The system lacks something for the moment: the connection is left alone for a while.
    fn rest(&mut self) {
        self.rests_until = Some(Instant::now() + RESOURCE_RETRY_DELAY);
    }

    /// Behind a silence of the whole process, clients that have closed or cancelled in it are heard first: nothing is to
    /// begin for them.
    async fn let_others_look(&mut self) {
        let now = Instant::now();
        self.shared.pulse.beat(now);
        let silence = self.shared.pulse.silence_before(now);
        if silence.is_some() && silence != self.heard_behind {
            self.heard_behind = silence;
            yield_now().await;
        }
    }

    async fn turn(&mut self) -> Result<(), Over> {
        if let Some(until) = self.rests_until.take() {
            sleep_until(until).await;
        }
        self.let_others_look().await;
        // What the host has said, its end above all, is known before anything more goes out.
        let may_read = self.shared.held.bytes() < self.shared.held_limit;
        if may_read {
            self.read()?;
        } else {
            count(&self.shared.counts.reading_paused);
        }
        self.write()?;
        let known = |at: &mut (Instant, AttemptId)| at.0 <= Instant::now();
        while let Some((_, id)) = self.withdrawn.pop_front_if(known) {
            self.end(id, Ending::Cancelled);
        }
        let idle = self.open.is_empty()
            && self.unsent.is_empty()
            && self.outgoing.is_empty()
            && self.withdrawn.is_empty();
        let waits_for_room = !self.outgoing.is_empty() || !self.unsent.is_empty();
        let known_at = self.withdrawn.front().map(|at| at.0);
        // Half an answer and no more of it: what comes behind it would wait for its end, that of others, too.
        let stuck_at = self.heard + self.shared.dial_within();
        let half = !self.incoming.is_empty() && !self.unfit;
        if idle && self.retired {
            return Err("retired");
        }
        // A little before the host closes it, or a request may cross its close.
        let bounds = &self.shared.bounds;
        let idle_close = Duration::from_micros((bounds.idle_close - bounds.dial_within).0);
        let idle_until = self.active + idle_close;
        tokio::select! {
            biased;
            order = self.orders.recv() => match order {
                Some(order) => self.obey(order)?,
                None => return Err("not needed"),
            },
            ready = self.stream.readable(), if may_read => {
                ready.map_err(|_| "read failed")?;
            }
            ready = self.stream.writable(), if waits_for_room => {
                ready.map_err(|_| "write failed")?;
            }
            _ = sleep(READ_AGAIN), if !may_read => {}
            _ = sleep_until(known_at.unwrap_or(self.active)), if known_at.is_some() => {}
            _ = sleep_until(stuck_at), if half => self.tell_unfit(),
            _ = sleep_until(idle_until), if idle => return Err("idle"),
        }
        Ok(())
    }

    fn obey(&mut self, order: ToHost) -> Result<(), Over> {
        self.active = Instant::now();
        match order {
            ToHost::Send(sending) => self.unsent.push_back(Packet::Sending(sending)),
            ToHost::Probe(id) => self.unsent.push_back(Packet::Probe(id)),
            ToHost::Cancel(id) => {
                if !self.drop_unsent(id) {
                    self.kill(id);
                }
            }
            ToHost::CancelUnsent(id) => {
                self.drop_unsent(id);
            }
            ToHost::Retire => self.retired = true,
            ToHost::HostGone => return Err("its process was started anew"),
        }
        Ok(())
    }

    /// Whether not a byte of it was written: then it is dropped.
    fn drop_unsent(&mut self, id: AttemptId) -> bool {
        let is_it =
            |packet: &Packet| matches!(packet, Packet::Sending(sending) if sending.id == id);
        let found = self.unsent.iter().position(is_it);
        if let Some(at) = found {
            self.unsent.remove(at);
            self.end(id, Ending::NotSent);
        }
        found.is_some()
    }

    /// The first byte of a request has gone out: what the rules say of that moment is checked once more.
    fn check_begun(&self, now: Instant) {
        let Some(sending) = &self.in_ring else {
            return;
        };
        let clock = &self.shared.clock;
        self.shared
            .trace
            .begun(&sending.request, sending.id, self.id);
        let late = permits::started_in_violation(clock.timestamp(now), &sending.send_facts(clock));
        must(!late, &self.shared.counts.broken_began_late);
        let passed_on = self.deadline_holds(now);
        must(passed_on, &self.shared.counts.broken_deadline_passed_on);
    }

    /// Whether what is in the ring may go on with the deadline that was written into it.
    fn deadline_holds(&self, now: Instant) -> bool {
        let clock = &self.shared.clock;
        let reference = self
            .in_ring
            .as_ref()
            .map(|sending| &sending.request.reference);
        let open = reference.and_then(|reference| self.open.get(reference));
        open.is_none_or(|open| {
            permits::deadline_still_holds(clock.timestamp(now), clock.timestamp(open.sent))
        })
    }

    /// Nothing goes out now. What has not begun waits as it was, so that its deadline is written when it does.
    fn blocked(&mut self) {
        if self.begun {
            return;
        }
        if let Some(sending) = self.in_ring.take() {
            self.open.remove(&sending.request.reference);
            self.outgoing.consume(self.outgoing.len());
            self.unsent.push_front(Packet::Sending(sending));
        }
    }

    fn kill(&mut self, id: AttemptId) {
        let found = self.open.iter().find(|(_, sending)| sending.id == id);
        let Some((reference, sending)) = found.map(|(r, sending)| (r.clone(), sending)) else {
            return;
        };
        // A connection that owed an answer and said nothing for a dial's time is not used again.
        let silence = self.shared.dial_within();
        let (unheard, long) = (self.heard <= sending.sent, sending.sent.elapsed() > silence);
        if unheard && long {
            self.tell_unfit();
        }
        self.open.remove(&reference);
        self.unsent.push_back(Packet::Kill(reference));
        self.withdrawn
            .push_back((Instant::now() + WORD_TRAVELS, id));
    }

    fn write(&mut self) -> Result<(), Over> {
        loop {
            let now = Instant::now();
            if self.outgoing.is_empty() {
                self.in_ring = None;
                self.begun = false;
                let Some(packet) = self.unsent.pop_front() else {
                    self.outgoing.rest(true);
                    return Ok(());
                };
                self.encode(packet);
            } else if self.stalled(now) {
                return Err("stalled amid a request");
            }
            match system_calls::write(&self.stream, self.outgoing.parts().0) {
                Transfer::Bytes(n) => {
                    if !std::mem::replace(&mut self.begun, true) {
                        self.check_begun(now);
                    }
                    self.written = now;
                    self.outgoing.consume(n);
                }
                Transfer::NotReady => {
                    self.blocked();
                    return Ok(());
                }
                Transfer::Lacking => {
                    self.blocked();
                    self.rest();
                    return Ok(());
                }
                Transfer::Broken(_) => return Err("write failed"),
            }
        }
    }

    /// Whether the rest of a request has waited for so long that it must not go out: its host would begin it with a
    /// deadline that no longer holds. One that goes out slowly but steadily is let through.
    fn stalled(&self, now: Instant) -> bool {
        let clock = &self.shared.clock;
        let steady =
            permits::deadline_still_holds(clock.timestamp(now), clock.timestamp(self.written));
        self.begun && !steady && !self.deadline_holds(now)
    }

    fn encode(&mut self, packet: Packet) {
        let mut out = Vec::with_capacity(512);
        match packet {
            Packet::Kill(reference) => {
                resp::put_array(&mut out, 2);
                resp::put_word(&mut out, b"KILL");
                resp::put_word(&mut out, reference.as_bytes());
            }
            Packet::Probe(id) => {
                let tag = format!("{PROBE}{}", id.0);
                resp::put_array(&mut out, 2);
                resp::put_word(&mut out, b"METER");
                resp::put_word(&mut out, tag.as_bytes());
                self.probe = Some(id);
            }
            Packet::Sending(sending) => {
                let (now, call) = (Instant::now(), &sending.request);
                if let Err(why) = sending.may_send(&self.shared.clock, now) {
                    self.shared.trace.denied(call, sending.id, why.as_str());
                    return self.end(sending.id, Ending::NotSent);
                }
                resp::put_array(&mut out, WORDS);
                resp::put_word(&mut out, b"PULL");
                resp::put_word(&mut out, call.reference.as_bytes());
                let moment = self.shared.clock.timestamp(now);
                resp::put_word(&mut out, fields(&sending, moment).as_bytes());
                resp::put_word(&mut out, &call.body);
                let open = OpenAttempt {
                    id: sending.id,
                    sent: now,
                    may_be_same: call.held_etag.is_some(),
                };
                let before = self.open.insert(call.reference.clone(), open);
                must(before.is_none(), &self.shared.counts.broken_two_endings);
                self.in_ring = Some(sending);
            }
        }
        self.outgoing.push(&out);
    }

    fn read(&mut self) -> Result<(), Over> {
        loop {
            self.incoming.reserve(self.wants);
            match system_calls::read(&self.stream, self.incoming.room()) {
                Transfer::Bytes(0) => return Err("closed"),
                Transfer::Bytes(n) => {
                    self.incoming.filled(n);
                    (self.heard, self.active) = (Instant::now(), Instant::now());
                    self.parse()?;
                    if self.shared.held.bytes() >= self.shared.held_limit {
                        return Ok(());
                    }
                }
                Transfer::NotReady => {
                    self.incoming.rest(true);
                    return Ok(());
                }
                Transfer::Lacking => {
                    self.rest();
                    return Ok(());
                }
                Transfer::Broken(_) => return Err("reset"),
            }
        }
    }

    fn parse(&mut self) -> Result<(), Over> {
        while self.incoming.len() >= self.wants {
            let (words, n) = match resp::read(self.incoming.whole(), WORDS, LONGEST_WORD) {
                Ok(read) => read,
                Err(Fault::Short(wants)) => {
                    self.wants = wants;
                    return Ok(());
                }
                Err(Fault::Malformed(why)) => return self.bad(why),
            };
            let probe = words
                .first()
                .and_then(|word| std::str::from_utf8(word).ok());
            if let Some(number) = probe.and_then(|tag| tag.strip_prefix(PROBE)) {
                let last = |id: &mut ProbeId| number.parse() == Ok(id.0);
                if let Some(id) = self.probe.take_if(last) {
                    let (ending, report) = read_probe(&words);
                    self.shared.probed(id, self.host, ending, report);
                }
                self.incoming.consume(n);
                self.wants = 1;
                continue;
            }
            let [reference, word, fields, body] = words.as_slice() else {
                return self.bad("an answer has not four words");
            };
            let sending = std::str::from_utf8(reference)
                .ok()
                .and_then(|r| self.open.remove(r));
            let words = [*word, *fields, *body];
            let answer = sending
                .as_ref()
                .map(|sending| read_answer(words, sending, &self.shared.held));
            self.incoming.consume(n);
            self.wants = 1;
            match (sending, answer) {
                (Some(sending), Some(Some(answer))) => {
                    self.shared
                        .end(sending.id, self.host, Some(self.id), answer);
                }
                (Some(sending), _) => {
                    self.end(sending.id, Ending::ConnectionLost);
                    return self.bad("an answer makes no sense");
                }
                // It was given up before.
                (None, _) => count(&self.shared.counts.late_answers),
            }
        }
        Ok(())
    }

    fn bad(&self, why: Over) -> Result<(), Over> {
        count(&self.shared.counts.bad_hosts);
        let host = format!("{:x}", self.host.0);
        warn!(self.shared.log, "host said what can't be read"; "host" => host, "why" => why);
        Err(why)
    }
}

/// The fields of a request, as the hosts want them.
fn fields(sending: &AttemptRequest, now: Timestamp) -> String {
    let call = &sending.request;
    let mut fields = format!(
        "lane={},name={},piece={}",
        sending.class_name, call.object_name, call.part
    );
    let mut add = |name: &str, value: &str| {
        let _ = write!(fields, ",{name}={value}");
    };
    // Rounded down: the host gives up no later than the dispatcher.
    let left = permits::deadline_to_pass(now, sending.deadline);
    add("ttl", &(left.0 / 1000).max(1).to_string());
    if let Some(mark) = &call.idempotency_key {
        add("dedupe", mark);
    }
    if let Some(tag) = &call.held_etag {
        add("known", tag);
    }
    if let Some(source) = &sending.source {
        add("via", source);
    }
    if let Some(fill) = sending.fill {
        add("tier", &fill.rank.to_string());
        if let Some(oldest) = fill.max_age {
            // Rounded down, to the strict side, but never to none, which would mean the usual age.
            add("fresh", &(oldest.0 / 1000).max(1).to_string());
        }
        let words = [
            (fill.join, "merge"),
            (fill.only_if_cached, "local"),
            (fill.revalidate, "revalidate"),
        ];
        let words: Vec<&str> = words
            .iter()
            .filter(|(on, _)| *on)
            .map(|(_, word)| *word)
            .collect();
        if !words.is_empty() {
            add("opts", &words.join("+"));
        }
    }
    fields
}

fn named<'a>(fields: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = fields.split(',').filter_map(|pair| pair.split_once('='));
    let found = pairs.find(|(key, _)| *key == name);
    found.map(|(_, value)| value)
}

/// The values of a load report, in the order that the settings name; a name may stand before each.
fn read_report(fields: &str) -> Vec<f64> {
    let report = named(fields, "rep").unwrap_or("").split(['+', ';', ' ']);
    let report = report.map(|pair| pair.rsplit([':', '=']).next().unwrap_or(pair));
    report.filter_map(|value| value.parse().ok()).collect()
}

/// What a probe told: a host that says it is ill, or nothing that can be read, has not told its load.
fn read_probe(words: &[&[u8]]) -> (Ending, Vec<f64>) {
    let fields = words
        .get(2)
        .and_then(|fields| std::str::from_utf8(fields).ok());
    match words.get(1) {
        Some(&b"well") => (Ending::Done, read_report(fields.unwrap_or(""))),
        _ => (Ending::Error, vec![]),
    }
}

/// The first microsecond that a told millisecond may mean: for copies the strict side.
fn stamp_of_ms(text: &str) -> Option<Timestamp> {
    let ms: u64 = text.parse().ok()?;
    Some(Timestamp(ms.saturating_mul(1000)))
}

fn read_answer(words: [&[u8]; 3], sending: &OpenAttempt, held: &Held) -> Option<Answer> {
    let [word, fields, body] = words;
    let fields = std::str::from_utf8(fields).ok()?;
    let named = |name: &str| named(fields, name);
    let ending = match word {
        b"data" => Ending::Done,
        b"unchanged" if sending.may_be_same => Ending::Done,
        b"absent" => Ending::Miss,
        b"full" => Ending::Full,
        b"failed" => Ending::Error,
        b"moot" => Ending::NotSent,
        _ => return None,
    };
    let note = match named("why") {
        Some("TCP_HIT") => Note::Hit,
        Some("TCP_MISS") => Note::Filled,
        Some("TCP_MISS_ROOT") => Note::FilledByOrigin,
        Some("TCP_JOIN") => Note::Joined,
        Some("TCP_STALE") => Note::Stale,
        Some("PEER_DENY") => Note::SourceRefused,
        Some("PEER_DEAD") => Note::SourceLost,
        Some("PEER_MISS") => Note::SourceMiss,
        Some("FILL_FULL") => Note::NoFillSlot,
        Some("ROOT_FAIL") => Note::OriginFailed,
        _ => Note::NotReported,
    };
    let waited = named("lag").and_then(|ms| ms.parse().ok());
    Some(Answer {
        ending,
        note,
        first_byte_latency: waited
            .filter(|ms| *ms > 0.0)
            .map(|ms: f64| TimeSpan::from_secs_f64(ms / 1000.0)),
        load_report: read_report(fields),
        body: (word == b"data").then(|| Parcel::new(body, held)),
        issued_at: named("minted").and_then(stamp_of_ms),
    })
}
