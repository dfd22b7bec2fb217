//! A tiny fake host: it lists machines, hands accesses in, plays outcomes and keeps what went out.

use std::collections::BTreeMap;
use trailproxy::interface::*;
use trailproxy::logic::Dispatcher;
use trailproxy::units::*;

pub const READS: ClassId = ClassId(0);
pub const CHANGES: ClassId = ClassId(1);
pub const ORDERS: ClassId = ClassId(2);
pub const CACHES: [HostId; 3] = [HostId(11), HostId(12), HostId(13)];
pub const PARENTS: [HostId; 2] = [HostId(21), HostId(22)];
pub const ORIGIN: HostId = HostId(31);

pub fn ms(ms: u64) -> TimeSpan {
    TimeSpan::from_millis(ms)
}

pub fn terms() -> DispatcherSettings {
    let reads = ClassSettings {
        target: ms(400),
        target_stretch: 2.0,
        effect: Effect::Idempotent,
        fresh_for: Some(TimeSpan::from_secs(8)),
        stale_grace: TimeSpan::from_secs(20),
        is_write: false,
    };
    let written = ClassSettings {
        is_write: true,
        fresh_for: None,
        stale_grace: TimeSpan::ZERO,
        ..reads.clone()
    };
    let (group, window) = (RepeatGroup::Zone, TimeSpan::from_secs(2));
    let by_mark = Effect::Keyed { group, window };
    let changes = ClassSettings {
        effect: by_mark,
        ..written.clone()
    };
    let orders = ClassSettings {
        effect: Effect::NonIdempotent,
        ..written
    };
    let cold = SlowStart {
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
        cache_slow_start: cold,
        parent_slow_start: cold,
        purge_propagation: TimeSpan::from_secs(6),
    }
}

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

/// One of 200 dispatchers, ten in its zone.
pub fn one_of_many() -> DispatcherSettings {
    DispatcherSettings {
        dispatchers: 200,
        dispatchers_by_zone: vec![0, 10],
        ..terms()
    }
}

pub struct Stage {
    pub dispatcher: Dispatcher,
    pub now: Timestamp,
    pub handed: Vec<Attempt>,
    pub finals: BTreeMap<RequestId, Vec<Action>>,
    pub withdrawn: Vec<RequestId>,
    pub logged: Vec<String>,
    pub probed: Vec<(Timestamp, HostId)>,
    wakes: Vec<Timestamp>,
    pub load: Load,
    pub proven: bool,
    next: u64,
}

impl Stage {
    pub fn new(terms: DispatcherSettings) -> Stage {
        Stage::seeded(terms, 1)
    }

    pub fn seeded(terms: DispatcherSettings, seed: u64) -> Stage {
        let mut stage = Stage {
            dispatcher: Dispatcher::new(Standalone, terms, seed),
            now: Timestamp(100_000_000),
            handed: vec![],
            finals: BTreeMap::new(),
            withdrawn: vec![],
            logged: vec![],
            wakes: vec![],
            load: Load::default(),
            probed: vec![],
            proven: true,
            next: 0,
        };
        let all = CACHES.iter().chain(&PARENTS).chain([&ORIGIN]);
        stage.list(HostListKind::Full, all.map(|&host| entry(host)).collect());
        stage
    }

    pub fn list(&mut self, kind: HostListKind, entries: Vec<HostEntry>) {
        self.event(Event::HostList { kind, entries });
    }

    pub fn event(&mut self, event: Event) {
        self.dispatcher.handle_event(self.now, event);
        self.settle();
    }

    fn settle(&mut self) {
        for action in self.dispatcher.take_actions(self.now) {
            match action {
                Action::Attempt(attempt) => {
                    assert!(
                        !self.finals.contains_key(&attempt.id),
                        "sent after the final answer"
                    );
                    self.handed.push(attempt);
                }
                Action::Refuse { id, .. } | Action::Fail { id, .. } => {
                    self.finals.entry(id).or_default().push(action);
                }
                Action::Cancel { id, .. } => self.withdrawn.push(id),
                Action::SetTimer { at, .. } => self.wakes.push(at),
                Action::Log { text } => self.logged.push(text),
                Action::Probe { host } => self.probed.push((self.now, host)),
                Action::RequestHostList => {}
            }
        }
    }

    /// Time passes, and every wake-up that was asked for comes in its turn.
    pub fn pass(&mut self, span: TimeSpan) {
        let end = self.now + span;
        while let Some(at) = self.wakes.iter().copied().filter(|&at| at <= end).min() {
            self.wakes.retain(|&wake| wake > at);
            self.now = self.now.max(at);
            self.event(Event::TimerFired { timer: TimerId(0) });
        }
        self.now = end;
    }

    pub fn arrive(&mut self, track: ClassId, object: u64) -> RequestId {
        self.arrive_part(track, object, 0, Some(50.0))
    }

    pub fn arrive_part(
        &mut self,
        class: ClassId,
        object: u64,
        part: u32,
        size_kb: Option<f64>,
    ) -> RequestId {
        self.next += 1;
        let (id, object, group) = (
            RequestId(self.next),
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

    pub fn answer(&mut self, id: RequestId, ending: Ending, note: Note, elapsed: TimeSpan) {
        let of_access = self.handed.iter().filter(|attempt| attempt.id == id);
        let attempt = AttemptNo(of_access.count() as u8 - 1);
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
            client_proven: self.proven,
            received_kb: None,
        }));
    }

    pub fn play(&mut self, object: u64, ending: Ending, note: Note, took: TimeSpan) -> RequestId {
        let id = self.arrive(READS, object);
        self.pass(took);
        self.answer(id, ending, note, took);
        id
    }

    pub fn last(&self, id: RequestId) -> &Attempt {
        let last = self.handed.iter().rfind(|attempt| attempt.id == id);
        last.expect("nothing was handed off")
    }

    pub fn count(&self, id: RequestId) -> usize {
        let all = self.handed.iter().filter(|attempt| attempt.id == id);
        all.count()
    }

    pub fn source(&self, id: RequestId) -> HostId {
        self.last(id).fill.expect("a plain look").source
    }

    /// Objects, from `start` on, whose first parent is this one.
    pub fn objects_of(&mut self, parent: HostId, start: u64, n: usize) -> Vec<u64> {
        let mut probe = Stage::new(terms());
        let homes = |&object: &u64| {
            let id = probe.arrive(READS, object);
            let home = probe.source(id);
            probe.answer(id, Ending::Done, Note::Hit, ms(20));
            home == parent
        };
        (start..).filter(homes).take(n).collect()
    }

    pub fn rejected(&self, id: RequestId) -> bool {
        matches!(
            self.finals.get(&id).map(Vec::as_slice),
            Some([Action::Refuse { .. }])
        )
    }

    pub fn aborted(&self, id: RequestId) -> bool {
        matches!(
            self.finals.get(&id).map(Vec::as_slice),
            Some([Action::Fail { .. }])
        )
    }
}
