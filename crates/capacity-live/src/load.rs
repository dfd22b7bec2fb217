//! Load on some dispatchers at one rate: open, so that a request is sent at its time whatever became of those before.

use crate::dispatcher::Dispatcher;
use crate::figures::LoadKind;
use crate::surroundings::{KEYED_TRACK, PLAIN_TRACK, Surroundings};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, MissedTickBehavior, interval_at};
use trailproxy::units::{GroupId, ZoneId};
use trailproxy_lab::chance::mix;
use trailproxy_standins::client::{Caller, Reply};
use trailproxy_standins::loopback::Wanted;

/// Objects that plain requests are spread over, and groups that purges name.
const OBJECTS: u64 = 4_000;
const GROUPS: u64 = 256;
/// What a host is asked for.
const OBJECT_KB: f64 = 4.0;
/// Bytes of the body of a keyed request.
const BODY: usize = 64;
/// What a client allows for its request, and waits beyond that.
const ALLOWED: Duration = Duration::from_secs(2);
const SLACK: Duration = Duration::from_millis(500);

/// What the clients of a step counted.
#[derive(Clone, Default)]
pub struct Tally {
    pub done: Rc<Cell<u64>>,
    pub failed: Rc<Cell<u64>>,
}

/// Load that goes on until it is dropped.
pub struct Load {
    pub tally: Tally,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for Load {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Load {
    /// Begins: so many a second to each dispatcher, or so many purges a second told to all of them.
    pub fn begin(
        surroundings: &Rc<Surroundings>,
        dispatchers: &[Dispatcher],
        kind: LoadKind,
        per_s: u64,
    ) -> Load {
        let tally = Tally::default();
        let tasks = match kind {
            LoadKind::Purges => {
                let purging = purge(surroundings.clone(), per_s, tally.clone());
                vec![spawn_local(purging)]
            }
            LoadKind::Plain | LoadKind::Keyed => {
                let ask = |(nth, dispatcher): (usize, &Dispatcher)| {
                    let client = Client {
                        surroundings: surroundings.clone(),
                        caller: Rc::new(Caller::new(dispatcher.clients)),
                        keyed: kind == LoadKind::Keyed,
                        tally: tally.clone(),
                        first: fastrand::u64(..) & 0xffff_ffff_0000,
                    };
                    spawn_local(client.ask_all(per_s, nth as u64))
                };
                dispatchers.iter().enumerate().map(ask).collect()
            }
        };
        Load { tally, tasks }
    }
}

/// Ticks at a rate, the first after a part of it that differs by client.
fn ticks(per_s: u64, phase: u64) -> tokio::time::Interval {
    let period = Duration::from_secs_f64(1.0 / per_s as f64);
    let first = period.mul_f64((phase % 16) as f64 / 16.0);
    let mut ticks = interval_at(Instant::now() + first, period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    ticks
}

async fn purge(surroundings: Rc<Surroundings>, per_s: u64, tally: Tally) {
    let mut ticks = ticks(per_s, 0);
    for nth in 0_u64.. {
        ticks.tick().await;
        surroundings.purge((nth % GROUPS) as u32);
        tally.done.set(tally.done.get() + 1);
    }
}

/// All requests to one dispatcher.
struct Client {
    surroundings: Rc<Surroundings>,
    caller: Rc<Caller>,
    keyed: bool,
    tally: Tally,
    /// References count from here on.
    first: u64,
}

impl Client {
    async fn ask_all(self, per_s: u64, phase: u64) {
        let mut ticks = ticks(per_s, phase);
        let client = Rc::new(self);
        for nth in 0_u64.. {
            ticks.tick().await;
            let asking = client.clone();
            spawn_local(async move { asking.ask(nth).await });
        }
    }

    async fn ask(&self, nth: u64) {
        let reference = self.first + nth;
        let wanted = Wanted {
            zone: ZoneId(1),
            group: GroupId(0),
            kb: OBJECT_KB,
        };
        self.surroundings.stage.expect(reference, wanted);
        let reply = self.call(reference).await;
        self.surroundings.stage.forget(reference);
        let counter = match reply {
            Reply::Done { .. } => &self.tally.done,
            _ => &self.tally.failed,
        };
        counter.set(counter.get() + 1);
    }

    async fn call(&self, reference: u64) -> Reply {
        let object = mix(reference, 1) % OBJECTS;
        let mut fields = vec![
            ("ref", format!("{reference:016x}")),
            ("allow", ALLOWED.as_millis().to_string()),
            ("lookup", format!("{object:016x}")),
            ("part", "0".to_owned()),
            ("group", "0".to_owned()),
        ];
        if self.keyed {
            let key = format!("{:016x}{:016x}", mix(reference, 2), mix(reference, 3));
            fields.push(("replay", key));
        }
        let (track, body) = match self.keyed {
            true => (KEYED_TRACK, BODY),
            false => (PLAIN_TRACK, 0),
        };
        let wait = ALLOWED + SLACK;
        self.caller.call(track, &fields, body, wait, || {}).await
    }
}
