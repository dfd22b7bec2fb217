//! Some dispatchers' sharing, one store and the way between them, in virtual time and repeatable by its seed.

#![allow(dead_code)]

use std::collections::{BTreeMap, VecDeque};
use trailproxy::units::*;
use trailproxy_budgets::decide::shares::{self, BudgetShares, NamedBudget};
use trailproxy_budgets::decide::{BootId, BudgetId, Division, HolderId};
use trailproxy_shared_store::decide::ops::{MailboxId, Op};
use trailproxy_shared_store::decide::records::{Completion, KeyHasher, RecordDecision};
use trailproxy_shared_store::decide::trust::Trust;
use trailproxy_shared_store::decide::{Action, OpId, Reply, Rules, SharedState};
use trailproxy_shared_store::scripts::{ScriptContext, Value, parse_reply, script_request};
use trailproxy_standins::redis::{self, Redis};

pub const WAIT: TimeSpan = TimeSpan::from_millis(4);
pub const BUDGET: &str = "budget";

pub fn rules() -> Rules {
    Rules {
        records: true,
        messages: true,
        hints: true,
        purges: true,
        max_wait: WAIT,
        record_retention: TimeSpan::from_secs(6),
        purge_retention: TimeSpan::from_secs(20),
    }
}

fn value(reply: redis::Reply) -> Option<Value> {
    Some(match reply {
        redis::Reply::Simple(text) => Value::Text(text.into()),
        redis::Reply::Error(_) => return None,
        redis::Reply::Int(n) => Value::Int(n),
        redis::Reply::Bulk(bytes) => Value::Text(bytes),
        redis::Reply::Nil => Value::Nil,
        redis::Reply::Array(all) => Value::List(all.into_iter().map(value).collect::<Option<_>>()?),
        redis::Reply::Map(_) => return None,
    })
}

#[derive(Clone, Debug)]
struct Asked {
    id: OpId,
    op: Op,
    epoch: u64,
    not_after_ms: u64,
    run: String,
    /// Applied no sooner than this, and answered no sooner than that.
    apply_at: Timestamp,
}

/// One dispatcher's end.
#[derive(Clone)]
pub struct Member {
    pub sharing: SharedState,
    /// Its budgets, whose words go by the store.
    pub shares: BudgetShares,
    pub connected: bool,
    /// Which half of a split store it reaches.
    pub half: usize,
    run: String,
    out: VecDeque<Asked>,
    back: VecDeque<(Timestamp, OpId, Reply)>,
    connecting: Option<Timestamp>,
    /// Accesses that were decided, how, and how often.
    pub decided: BTreeMap<RequestId, Vec<(Timestamp, RecordDecision)>>,
    pub turns: Vec<(Timestamp, Trust, &'static str)>,
    pub purges: Vec<(Timestamp, Option<ObjectId>, TimeSpan)>,
    pub hints: Vec<(Timestamp, HostId)>,
    /// Whether an access was decided by what the store had answered.
    pub believed: BTreeMap<RequestId, bool>,
}

/// How the way to the store is now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Way {
    pub there: TimeSpan,
    pub back: TimeSpan,
    /// On top, drawn evenly up to this, on the way back.
    pub more: TimeSpan,
    pub answers: bool,
    pub paused: bool,
    pub reached: bool,
}

impl Way {
    pub const GOOD: Way = Way {
        there: TimeSpan(100),
        back: TimeSpan(100),
        more: TimeSpan(100),
        answers: true,
        paused: false,
        reached: true,
    };
}

#[derive(Clone)]
pub struct World {
    pub now: Timestamp,
    pub stores: [Redis; 2],
    pub snapshot: Option<Redis>,
    pub way: Way,
    pub members: Vec<Member>,
    pub chance: fastrand::Rng,
    runs: u64,
    next_access: u64,
    /// The largest sum of all parts of the budget that were in use at once.
    pub most_part: f64,
    /// How many operations reached the store in each tenth of a second.
    pub asked_in: BTreeMap<u64, u64>,
}

impl World {
    pub fn new(members: usize, seed: u64) -> World {
        World::by(members, seed, rules())
    }

    pub fn by(members: usize, seed: u64, rules: Rules) -> World {
        let mut chance = fastrand::Rng::with_seed(seed);
        let now = Timestamp(1_700_000_000_000_000);
        let redis = Redis::new(1);
        let mut world = World {
            now,
            stores: [redis.clone(), redis],
            snapshot: None,
            way: Way::GOOD,
            members: Vec::new(),
            runs: 1,
            next_access: 0,
            most_part: 0.0,
            asked_in: BTreeMap::new(),
            chance: chance.fork(),
        };
        for nth in 0..members {
            let member = world.fresh((nth, members), rules.clone(), chance.u64(..));
            world.members.push(member);
        }
        world
    }

    fn fresh(&self, (nth, members): (usize, usize), rules: Rules, seed: u64) -> Member {
        let voters = if members < 3 { 1 } else { 3 };
        let division = Division {
            dispatchers: members as u32,
            floor_share: 0.25,
            tickets: 64,
            voters: voters as u8,
            lease_duration: TimeSpan::from_secs(2),
            guard_time: TimeSpan::ZERO,
        };
        let (name, whole) = (BUDGET.into(), 1.0);
        let voters = (0..voters as u64).map(HolderId).collect();
        let mut shares = BudgetShares::new(HolderId(nth as u64), BootId(seed), voters, seed);
        let named = NamedBudget {
            name,
            total: whole,
            division,
        };
        shares.set_budgets(self.now, vec![named]);
        Member {
            shares,
            sharing: SharedState::new(self.now, rules, seed),
            connected: false,
            half: 0,
            run: String::new(),
            out: VecDeque::new(),
            back: VecDeque::new(),
            connecting: None,
            decided: BTreeMap::new(),
            turns: Vec::new(),
            purges: Vec::new(),
            hints: Vec::new(),
            believed: BTreeMap::new(),
        }
    }

    /// A dispatcher starts anew and knows nothing.
    pub fn restart(&mut self, nth: usize) {
        let (rules, seed) = (
            self.members[nth].sharing.rules().clone(),
            self.chance.u64(..),
        );
        let of = (nth, self.members.len());
        self.members[nth] = self.fresh(of, rules, seed);
    }

    /// The store's process is another, with what the last copy held or nothing, and a clock so far ahead.
    pub fn reborn(&mut self, from_copy: bool, ahead_ms: i64) {
        self.runs += 1;
        let empty = Redis::new(0);
        let copy = self
            .snapshot
            .as_ref()
            .filter(|_| from_copy)
            .unwrap_or(&empty);
        let born = Redis::reborn(copy, self.runs, ahead_ms);
        self.stores = [born.clone(), born];
        (0..self.members.len()).for_each(|nth| self.cut(nth));
    }

    /// Two halves from now on: who is named is cut off and finds the second by a new connection.
    pub fn split(&mut self, second: &[usize]) {
        self.runs += 1;
        let copy = self.snapshot.clone().unwrap_or(self.stores[0].clone());
        self.stores[1] = Redis::reborn(&copy, self.runs, 0);
        for &nth in second {
            self.members[nth].half = 1;
            self.cut(nth);
        }
    }

    /// A connection ends: what is under way may have been applied, and no answer comes.
    pub fn cut(&mut self, nth: usize) {
        let now = self.now;
        let member = &mut self.members[nth];
        if !std::mem::take(&mut member.connected) {
            return;
        }
        member.back.clear();
        member.out.retain(|asked| asked.id.0 % 2 == 0);
        member.sharing.on_disconnected(now);
        self.pump(nth);
    }

    pub fn come(&mut self, nth: usize, mark: &str, left: TimeSpan) -> RequestId {
        self.next_access += 1;
        let id = RequestId(self.next_access);
        let due = self.now + left;
        let key = KeyHasher::new("t").key(ClassId(1), mark);
        self.members[nth].sharing.on_request(self.now, id, key, due);
        self.pump(nth);
        id
    }

    pub fn sent(&mut self, nth: usize, id: RequestId, cell: u16) {
        let place = (ZoneId(0), CellId(cell));
        self.members[nth]
            .sharing
            .on_attempt_sent(self.now, id, place);
        self.pump(nth);
    }

    pub fn ended(&mut self, nth: usize, id: RequestId, came: Completion) {
        self.members[nth]
            .sharing
            .on_request_ended(self.now, id, came);
        self.pump(nth);
    }

    /// How one access was decided, if it was.
    pub fn verdict(&self, nth: usize, id: RequestId) -> Option<&RecordDecision> {
        let all = self.members[nth].decided.get(&id)?;
        assert_eq!(all.len(), 1, "one verdict for one access");
        Some(&all[0].1)
    }

    pub fn trust(&self, nth: usize) -> Trust {
        self.members[nth].sharing.trust()
    }

    pub fn pump(&mut self, nth: usize) {
        let (now, way) = (self.now, self.way);
        loop {
            let actions = self.members[nth].sharing.take_actions();
            if actions.is_empty() {
                break;
            }
            for act in actions {
                let member = &mut self.members[nth];
                match act {
                    Action::Connect => member.connecting = Some(now + TimeSpan::from_millis(1)),
                    Action::Disconnect => {
                        member.connected = false;
                        member.back.clear();
                        member.sharing.on_disconnected(now);
                    }
                    Action::Execute {
                        id,
                        op,
                        epoch,
                        not_after_ms,
                    } => {
                        let run = member.run.clone();
                        let apply_at = now + way.there;
                        member.out.push_back(Asked {
                            id,
                            op,
                            epoch,
                            not_after_ms,
                            run,
                            apply_at,
                        });
                        *self.asked_in.entry(now.0 / 100_000).or_default() += 1;
                    }
                    Action::Decided {
                        id,
                        decision: verdict,
                    } => {
                        let believed = member.sharing.is_claimed(id);
                        member.believed.insert(id, believed);
                        member.decided.entry(id).or_default().push((now, verdict));
                    }
                    Action::Purged {
                        object, age: ago, ..
                    } => member.purges.push((now, object, ago)),
                    Action::PeerBreakerOpened { host } => member.hints.push((now, host)),
                    Action::MessageReceived { from, bytes } => {
                        if let Some(note) = trailproxy_budgets::read(&bytes) {
                            member.shares.on_message(now, HolderId(from.0), note);
                        }
                    }
                    Action::TrustChanged { trust, cause } => {
                        member.turns.push((now, trust, cause.as_str()))
                    }
                }
            }
        }
        self.words(nth);
    }

    /// What the budgets of one have to say goes into the store, and what all may use is counted.
    fn words(&mut self, nth: usize) {
        let now = self.now;
        let member = &mut self.members[nth];
        let actions = member.shares.take_actions();
        let said = !actions.is_empty();
        for act in actions {
            if let shares::Action::Send(to, note) = act {
                let (own, to) = (MailboxId(nth as u64), MailboxId(to.0));
                let bytes = trailproxy_budgets::write(&note);
                member.sharing.post_message(now, own, to, bytes);
            }
        }
        let sum: f64 = (0..self.members.len()).map(|nth| self.part(nth)).sum();
        self.most_part = self.most_part.max(sum);
        if said {
            self.pump(nth);
        }
    }

    /// The part of the budget that one may use now.
    pub fn part(&self, nth: usize) -> f64 {
        let id = BudgetId::of_name(BUDGET);
        let part = self.members[nth].shares.part(self.now, id);
        part.map_or(0.0, |part| part.fraction)
    }

    /// What one could use of the budget.
    pub fn needs(&mut self, nth: usize, part: f64) {
        let (now, id) = (self.now, BudgetId::of_name(BUDGET));
        self.members[nth].shares.set_need(now, id, part, 0.0);
    }

    /// Applies what is due of one dispatcher's operations.
    fn apply(&mut self, nth: usize) {
        while let Some(asked) = self.members[nth].out.front() {
            if self.way.paused || asked.apply_at > self.now {
                break;
            }
            let Some(asked) = self.members[nth].out.pop_front() else {
                break;
            };
            self.apply_one(nth, asked);
        }
    }

    fn apply_one(&mut self, nth: usize, asked: Asked) {
        let half = self.members[nth].half;
        let under = ScriptContext {
            prefix: "t:",
            run: &asked.run,
            epoch: asked.epoch,
            not_after_ms: asked.not_after_ms,
        };
        let request = script_request(&asked.op, &under);
        let reply =
            self.stores[half].script(self.now, request.script.name, &request.keys, &request.args);
        let reply = match value(reply).map(|value| parse_reply(&value)) {
            None => Reply::Refused,
            Some(None) => Reply::Lost,
            Some(Some(said)) => Reply::Result(said),
        };
        if self.way.answers && self.members[nth].connected {
            let drawn = self.chance.f64();
            let at = self.now + self.way.back + self.way.more.mul_f64(drawn);
            self.members[nth].back.push_back((at, asked.id, reply));
        }
    }

    /// When something happens to a dispatcher next.
    fn due(&self, nth: usize) -> Option<Timestamp> {
        let member = &self.members[nth];
        let out = member
            .out
            .front()
            .filter(|_| !self.way.paused)
            .map(|asked| asked.apply_at);
        let back = member.back.front().map(|(at, ..)| *at);
        let shares = member.shares.next_deadline();
        [
            out,
            back,
            member.connecting,
            member.sharing.next_deadline(),
            shares,
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// On to what happens next, or to the end.
    fn step(&mut self, end: Timestamp) {
        let dues: Vec<_> = (0..self.members.len()).map(|nth| self.due(nth)).collect();
        let next = dues.iter().flatten().min().copied();
        self.now = next.map_or(end, |at| at.max(self.now + TimeSpan(1)).min(end));
        for (nth, due) in dues.into_iter().enumerate() {
            if due.is_none_or(|at| at > self.now) {
                continue;
            }
            self.apply(nth);
            while let Some((at, ..)) = self.members[nth].back.front() {
                if *at > self.now {
                    break;
                }
                let Some((_, id, reply)) = self.members[nth].back.pop_front() else {
                    break;
                };
                self.members[nth].sharing.on_reply(self.now, id, reply);
                self.pump(nth);
            }
            if self.members[nth]
                .connecting
                .is_some_and(|at| at <= self.now)
            {
                self.members[nth].connecting = None;
                let reached = self.way.reached && !self.way.paused;
                let half = self.members[nth].half;
                let member = &mut self.members[nth];
                member.out.clear();
                match reached {
                    true => {
                        (member.connected, member.run) = (true, self.stores[half].run_id());
                        member.sharing.on_connected(self.now);
                    }
                    false => member.sharing.on_disconnected(self.now),
                }
                self.pump(nth);
            }
            if self.members[nth]
                .sharing
                .next_deadline()
                .is_some_and(|at| at <= self.now)
            {
                self.members[nth].sharing.advance(self.now);
                self.pump(nth);
            }
            if self.members[nth]
                .shares
                .next_deadline()
                .is_some_and(|at| at <= self.now)
            {
                self.members[nth].shares.advance(self.now);
                self.words(nth);
            }
        }
    }

    pub fn run(&mut self, span: TimeSpan) {
        let end = self.now + span;
        while self.now < end {
            self.step(end);
        }
    }

    /// Until all are together, within so long.
    pub fn together(&mut self, within: TimeSpan) -> bool {
        let end = self.now + within;
        while self.now < end {
            self.step(end);
            if self
                .members
                .iter()
                .all(|m| m.sharing.trust() == Trust::Together)
            {
                return true;
            }
        }
        false
    }

    // For exploration: single steps out of order.

    pub fn apply_next(&mut self, nth: usize) -> bool {
        let next = self.members[nth].out.pop_front();
        let any = next.is_some();
        next.into_iter()
            .for_each(|asked| self.apply_one(nth, asked));
        any
    }

    pub fn answer_next(&mut self, nth: usize, lost: bool) -> bool {
        let next = self.members[nth].back.pop_front();
        let any = next.is_some();
        if let Some((_, id, reply)) = next.filter(|_| !lost) {
            self.members[nth].sharing.on_reply(self.now, id, reply);
            self.pump(nth);
        }
        any
    }

    pub fn pass(&mut self, span: TimeSpan) {
        self.now = self.now + span;
        for nth in 0..self.members.len() {
            self.members[nth].sharing.advance(self.now);
            self.members[nth].shares.advance(self.now);
            self.pump(nth);
        }
    }
}
