//! A simulated journal service that may be slow: each call is served as planned, and calls are recorded.

use serde_json::Value as Json;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const POLL_INTERVAL: Duration = Duration::from_millis(5);
const CLOSE_NOTICED_WITHIN: Duration = Duration::from_millis(50);
const COMMENT_INTERVAL: Duration = Duration::from_secs(1);
const HALF_EVENT: &[u8] = b"id: 1000\ndata: {\"pos\":";
/// Longer than any test.
const NEVER: Duration = Duration::from_secs(3_600);

/// How the service serves one call. All times count from the call.
#[derive(Clone, Copy, Debug)]
pub struct CallPlan {
    /// When the head of the response is sent.
    pub head_at: Duration,
    /// From when on comments and events are sent.
    pub speaks_at: Duration,
    /// When the service falls silent in the middle of the call, and when it goes on.
    pub silent: (Duration, Duration),
    /// When the service closes the call.
    pub closed_at: Duration,
}

impl CallPlan {
    /// A call that is served at once.
    pub const PROMPT: CallPlan = CallPlan {
        head_at: Duration::ZERO,
        speaks_at: Duration::ZERO,
        silent: (NEVER, NEVER),
        closed_at: NEVER,
    };

    /// A call that is not served for this long.
    pub const fn late(delay: Duration) -> CallPlan {
        CallPlan {
            head_at: delay,
            speaks_at: delay,
            ..CallPlan::PROMPT
        }
    }

    /// A call that is never served.
    pub const DEAD: CallPlan = CallPlan::late(NEVER);

    fn speaks(&self, age: Duration) -> bool {
        let pauses = (self.silent.0..self.silent.1).contains(&age);
        age >= self.speaks_at && !pauses
    }
}

/// What is recorded of a call.
#[derive(Clone, Copy, Debug)]
pub struct CallRecord {
    pub at: Instant,
    /// When the daemon closed it.
    pub ended_at: Option<Instant>,
}

/// Returns how many calls were open at once at most. One that the daemon closed a moment before another came does not
/// count: the service notices that later.
pub fn most_open_calls(calls: &[CallRecord]) -> usize {
    let open_at = |at: Instant| {
        let is_open = |call: &&CallRecord| {
            call.at <= at
                && call
                    .ended_at
                    .is_none_or(|ended_at| ended_at > at + CLOSE_NOTICED_WITHIN)
        };
        calls.iter().filter(is_open).count()
    };
    calls.iter().map(|call| open_at(call.at)).max().unwrap_or(0)
}

struct Shared {
    plan: Box<dyn Fn(usize) -> CallPlan + Send + Sync>,
    events: Mutex<Vec<(u64, String)>>,
    calls: Mutex<Vec<CallRecord>>,
    turns_away: AtomicBool,
    /// How often all calls were cut.
    cuts: AtomicUsize,
}

/// A running service, which tells all its events on each call.
#[derive(Clone)]
pub struct JournalService {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl JournalService {
    /// Starts a service that serves its calls, counted from 0, by this plan.
    pub fn start(plan: impl Fn(usize) -> CallPlan + Send + Sync + 'static) -> JournalService {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let shared = Arc::new(Shared {
            plan: Box::new(plan),
            events: Mutex::default(),
            calls: Mutex::default(),
            turns_away: AtomicBool::new(false),
            cuts: AtomicUsize::new(0),
        });
        let service = JournalService { address, shared };
        let accepting = service.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                accepting.accept(stream);
            }
        });
        service
    }

    /// Adds an event.
    pub fn tell(&self, event: &Json) {
        let position = event["pos"].as_u64().expect("a position");
        let text = format!("id: {position}\ndata: {event}\n\n");
        self.shared
            .events
            .lock()
            .expect("events")
            .push((position, text));
    }

    /// Closes each new call at once from now on.
    pub fn turn_away_new_calls(&self) {
        self.shared.turns_away.store(true, Ordering::Relaxed);
    }

    /// Serves new calls again.
    pub fn let_in_new_calls(&self) {
        self.shared.turns_away.store(false, Ordering::Relaxed);
    }

    /// Closes all calls in the middle of an event.
    pub fn cut_calls(&self) {
        self.shared.cuts.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns all calls so far.
    pub fn calls(&self) -> Vec<CallRecord> {
        self.shared.calls.lock().expect("calls").clone()
    }

    /// Returns how many calls are open.
    pub fn open_calls(&self) -> usize {
        let is_open = |call: &&CallRecord| call.ended_at.is_none();
        self.calls().iter().filter(is_open).count()
    }

    fn accept(&self, stream: TcpStream) {
        let at = Instant::now();
        let number = {
            let mut calls = self.shared.calls.lock().expect("calls");
            let turned_away = self.shared.turns_away.load(Ordering::Relaxed);
            let ended_at = turned_away.then_some(at);
            calls.push(CallRecord { at, ended_at });
            if turned_away {
                return;
            }
            calls.len() - 1
        };
        let service = self.clone();
        std::thread::spawn(move || {
            let plan = (service.shared.plan)(number);
            service.serve(stream, plan, at);
            let mut calls = service.shared.calls.lock().expect("calls");
            calls[number].ended_at = Some(Instant::now());
        });
    }

    /// Serves a call until either side closes it.
    fn serve(&self, mut stream: TcpStream, plan: CallPlan, began: Instant) {
        stream.set_nonblocking(true).expect("a stream");
        let cuts = self.shared.cuts.load(Ordering::Relaxed);
        let (mut request, mut head_sent) = (Vec::new(), false);
        let (mut next_event, mut next_comment) = (0, Duration::ZERO);
        loop {
            std::thread::sleep(POLL_INTERVAL);
            if is_closed(&mut stream, &mut request) || began.elapsed() >= plan.closed_at {
                return;
            }
            if self.shared.cuts.load(Ordering::Relaxed) > cuts {
                let _ = stream.write_all(if head_sent { HALF_EVENT } else { b"" });
                return;
            }
            let age = began.elapsed();
            let mut text = String::new();
            if age >= plan.head_at && !head_sent && request.ends_with(b"\r\n\r\n") {
                head_sent = true;
                text += "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
            }
            if head_sent && plan.speaks(age) {
                if age >= next_comment {
                    next_comment = age + COMMENT_INTERVAL;
                    text += ": well\n\n";
                }
                let after = last_event_id(&request);
                let events = self.shared.events.lock().expect("events");
                let new = &events[next_event..];
                next_event = events.len();
                text.extend(
                    new.iter()
                        .filter(|(position, _)| *position > after)
                        .map(|(_, event)| event.as_str()),
                );
            }
            if !text.is_empty() && stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// Reads what has arrived, and returns whether the other side has closed.
fn is_closed(stream: &mut TcpStream, request: &mut Vec<u8>) -> bool {
    let mut piece = [0; 1024];
    match stream.read(&mut piece) {
        Ok(0) => true,
        Ok(n) => {
            request.extend(&piece[..n]);
            false
        }
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    }
}

/// The position after which a request asks for events.
fn last_event_id(request: &[u8]) -> u64 {
    let request = String::from_utf8_lossy(request);
    let mut lines = request.lines();
    let position = lines.find_map(|line| line.strip_prefix("Last-Event-ID: "));
    position
        .and_then(|position| position.parse().ok())
        .expect("a position")
}
