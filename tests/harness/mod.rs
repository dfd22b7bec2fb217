//! A test harness around one dispatcher: it feeds in host lists, requests and outcomes in virtual time, fires the
//! timers that the dispatcher sets, and records its actions.

use std::collections::BTreeMap;
use trailproxy::interface::*;
use trailproxy::logic::Dispatcher;
use trailproxy::units::*;

/// The class of idempotent reads.
pub const READS: ClassId = ClassId(0);
/// The class of writes that are repeated under an idempotency key.
pub const CHANGES: ClassId = ClassId(1);
/// The class of writes that must not run twice.
pub const ORDERS: ClassId = ClassId(2);
pub const CACHES: [HostId; 3] = [HostId(11), HostId(12), HostId(13)];
pub const PARENTS: [HostId; 2] = [HostId(21), HostId(22)];
pub const ORIGIN: HostId = HostId(31);

pub fn ms(ms: u64) -> TimeSpan {
    TimeSpan::from_millis(ms)
}

/// Settings of a single dispatcher in zone 1, with three classes: reads, keyed changes, and orders that must not run
/// twice.
pub fn settings() -> DispatcherSettings {
    let reads = ClassSettings {
        target: ms(400),
        target_stretch: 2.0,
        effect: Effect::Idempotent,
        fresh_for: Some(TimeSpan::from_secs(8)),
        stale_grace: TimeSpan::from_secs(20),
        is_write: false,
    };
    let write = ClassSettings {
        is_write: true,
        fresh_for: None,
        stale_grace: TimeSpan::ZERO,
        ..reads.clone()
    };
    let (group, window) = (RepeatGroup::Zone, TimeSpan::from_secs(2));
    let keyed = Effect::Keyed { group, window };
    let changes = ClassSettings {
        effect: keyed,
        ..write.clone()
    };
    let orders = ClassSettings {
        effect: Effect::NonIdempotent,
        ..write
    };
    let slow_start = SlowStart {
        initial_capacity: 0.25,
        duration: TimeSpan::from_secs(10),
        overload_factor: 2.0,
        overload_window: TimeSpan::from_secs(1),
        shared_by: None,
    };
    DispatcherSettings {
        zone: ZoneId(1),
        dispatchers: 1,
        dispatchers_by_zone: vec![0, 1],
        parent_kind: Some(KindId(1)),
        origin_kind: Some(KindId(2)),
        classes: vec![reads, changes, orders],
        stream_kb_per_s: 1000.0,
        link_kb_per_s: None,
        link_load_reported: true,
        capacities_reported: true,
        probes_enabled: false,
        joins_fills: true,
        allows_direct: true,
        note_level: NoteLevel::All,
        max_attempts: 6,
        may_cancel: true,
        max_retry_after: Some(TimeSpan::from_secs(1)),
        host_list_on_request: false,
        cache_slow_start: slow_start,
        parent_slow_start: slow_start,
        purge_propagation: TimeSpan::from_secs(6),
    }
}

/// The entry of a ready host in the host list. Caches are in zone 1, parents and the origin in zone 0.
pub fn entry(host: HostId) -> HostEntry {
    let (kind, zone) = match host.0 {
        11..=19 => (KindId(0), ZoneId(1)),
        21..=29 => (KindId(1), ZoneId(0)),
        _ => (KindId(2), ZoneId(0)),
    };
    let (cell, started, capacity, state) = (CellId(0), None, 8.0, HostState::Ready);
    HostEntry {
        host,
        cell,
        zone,
        kind,
        started,
        stamp: started,
        capacity,
        state,
    }
}

/// Settings of one of 200 dispatchers, ten in its zone.
pub fn fleet_settings() -> DispatcherSettings {
    DispatcherSettings {
        dispatchers: 200,
        dispatchers_by_zone: vec![0, 10],
        ..settings()
    }
}

/// A dispatcher in virtual time, with the actions that it has returned so far.
pub struct Harness {
    pub dispatcher: Dispatcher,
    pub now: Timestamp,
    /// All attempts, in the order in which they were sent.
    pub sent: Vec<Attempt>,
    pub final_answers: BTreeMap<RequestId, Vec<Action>>,
    pub cancelled: Vec<RequestId>,
    pub log_lines: Vec<String>,
    pub probes: Vec<(Timestamp, HostId)>,
    timers: Vec<Timestamp>,
    /// The load that hosts report with outcomes.
    pub load: Load,
    /// What outcomes say about their client.
    pub client_proven: bool,
    last_id: u64,
}

impl Harness {
    pub fn new(settings: DispatcherSettings) -> Harness {
        Harness::seeded(settings, 1)
    }

    pub fn seeded(settings: DispatcherSettings, seed: u64) -> Harness {
        let mut harness = Harness {
            dispatcher: Dispatcher::new(Standalone, settings, seed),
            now: Timestamp(100_000_000),
            sent: vec![],
            final_answers: BTreeMap::new(),
            cancelled: vec![],
            log_lines: vec![],
            timers: vec![],
            load: Load::default(),
            probes: vec![],
            client_proven: true,
            last_id: 0,
        };
        let all = CACHES.iter().chain(&PARENTS).chain([&ORIGIN]);
        harness.host_list(HostListKind::Full, all.map(|&host| entry(host)).collect());
        harness
    }

    pub fn host_list(&mut self, kind: HostListKind, entries: Vec<HostEntry>) {
        self.event(Event::HostList { kind, entries });
    }

    pub fn event(&mut self, event: Event) {
        self.dispatcher.handle_event(self.now, event);
        self.take_actions();
    }

    fn take_actions(&mut self) {
        for action in self.dispatcher.take_actions(self.now) {
            match action {
                Action::Attempt(attempt) => {
                    assert!(
                        !self.final_answers.contains_key(&attempt.id),
                        "sent after the final answer"
                    );
                    self.sent.push(attempt);
                }
                Action::Refuse { id, .. } | Action::Fail { id, .. } => {
                    self.final_answers.entry(id).or_default().push(action);
                }
                Action::Cancel { id, .. } => self.cancelled.push(id),
                Action::SetTimer { at, .. } => self.timers.push(at),
                Action::Log { text } => self.log_lines.push(text),
                Action::Probe { host } => self.probes.push((self.now, host)),
                Action::RequestHostList => {}
            }
        }
    }

    /// Lets time pass and fires every timer at its time.
    pub fn advance(&mut self, span: TimeSpan) {
        let end = self.now + span;
        while let Some(at) = self.timers.iter().copied().filter(|&at| at <= end).min() {
            self.timers.retain(|&timer| timer > at);
            self.now = self.now.max(at);
            self.event(Event::TimerFired { timer: TimerId(0) });
        }
        self.now = end;
    }

    /// A request for an object of 50 KB arrives.
    pub fn request(&mut self, class: ClassId, object: u64) -> RequestId {
        self.request_part(class, object, 0, Some(50.0))
    }

    /// A request for a part of an object arrives.
    pub fn request_part(
        &mut self,
        class: ClassId,
        object: u64,
        part: u32,
        size_kb: Option<f64>,
    ) -> RequestId {
        self.last_id += 1;
        let (id, object, group) = (
            RequestId(self.last_id),
            ObjectId(object),
            GroupId(object as u32 % 4),
        );
        let time_left = TimeSpan::from_secs(3);
        self.event(Event::Arrived(Arrival {
            id,
            time_left,
            class,
            object,
            group,
            part,
            size_kb,
        }));
        id
    }

    /// The last attempt of a request ends.
    pub fn end_attempt(&mut self, id: RequestId, ending: Ending, note: Note, elapsed: TimeSpan) {
        let of_request = self.sent.iter().filter(|attempt| attempt.id == id);
        let attempt = AttemptNo(of_request.count() as u8 - 1);
        let request_closed = ending == Ending::Done;
        let first_byte_latency = Some(elapsed).filter(|_| note != Note::Hit);
        self.event(Event::Outcome(Outcome {
            id,
            attempt,
            ending,
            elapsed,
            request_closed,
            note,
            first_byte_latency,
            load: self.load,
            client_proven: self.client_proven,
            received_kb: None,
        }));
    }

    /// A read arrives, and its attempt ends after `elapsed`.
    pub fn request_and_end(
        &mut self,
        object: u64,
        ending: Ending,
        note: Note,
        elapsed: TimeSpan,
    ) -> RequestId {
        let id = self.request(READS, object);
        self.advance(elapsed);
        self.end_attempt(id, ending, note, elapsed);
        id
    }

    /// The last attempt of a request.
    pub fn last_attempt(&self, id: RequestId) -> &Attempt {
        let last = self.sent.iter().rfind(|attempt| attempt.id == id);
        last.expect("no attempt was sent")
    }

    /// Number of attempts of a request.
    pub fn attempt_count(&self, id: RequestId) -> usize {
        let attempts = self.sent.iter().filter(|attempt| attempt.id == id);
        attempts.count()
    }

    /// The source of the fill of a request's last attempt.
    pub fn last_source(&self, id: RequestId) -> HostId {
        self.last_attempt(id)
            .fill
            .expect("no fill instructions")
            .source
    }

    /// The first `n` objects from `start` on whose first parent in hash order is this one.
    pub fn objects_with_parent(&mut self, parent: HostId, start: u64, n: usize) -> Vec<u64> {
        let mut reference = Harness::new(settings());
        let is_first = |&object: &u64| {
            let id = reference.request(READS, object);
            let source = reference.last_source(id);
            reference.end_attempt(id, Ending::Done, Note::Hit, ms(20));
            source == parent
        };
        (start..).filter(is_first).take(n).collect()
    }

    /// Whether the only final answer of a request is a refusal.
    pub fn is_refused(&self, id: RequestId) -> bool {
        matches!(
            self.final_answers.get(&id).map(Vec::as_slice),
            Some([Action::Refuse { .. }])
        )
    }

    /// Whether the only final answer of a request is a failure.
    pub fn is_failed(&self, id: RequestId) -> bool {
        matches!(
            self.final_answers.get(&id).map(Vec::as_slice),
            Some([Action::Fail { .. }])
        )
    }
}
