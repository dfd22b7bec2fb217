//! Simulation of several dispatchers, one store and the links between them, in virtual time and
//! repeatable by its seed.

#![allow(dead_code)]

use std::collections::{BTreeMap, VecDeque};
use trailproxy::interface::PeerAttempt;
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
struct PendingOp {
    id: OpId,
    op: Op,
    epoch: u64,
    not_after_ms: u64,
    run: String,
    /// Earliest time at which the store applies it.
    apply_at: Timestamp,
}

/// One dispatcher.
#[derive(Clone)]
pub struct Member {
    pub state: SharedState,
    /// Its budgets, whose messages the store carries.
    pub shares: BudgetShares,
    pub connected: bool,
    /// Which half of a split store it reaches.
    pub store_index: usize,
    run: String,
    unapplied: VecDeque<PendingOp>,
    unanswered: VecDeque<(Timestamp, OpId, Reply)>,
    connecting: Option<Timestamp>,
    /// Decided requests, with the times and the decisions.
    pub decided: BTreeMap<RequestId, Vec<(Timestamp, RecordDecision)>>,
    pub trust_changes: Vec<(Timestamp, Trust, &'static str)>,
    pub purges: Vec<(Timestamp, Option<ObjectId>, TimeSpan)>,
    pub hints: Vec<(Timestamp, HostId)>,
    /// Whether the store had confirmed the claim when the request was decided.
    pub believed: BTreeMap<RequestId, bool>,
}

/// State of the links to the store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Link {
    pub there: TimeSpan,
    pub back: TimeSpan,
    /// Additional delay of answers, drawn evenly up to this.
    pub more: TimeSpan,
    pub answers: bool,
    pub paused: bool,
    pub reached: bool,
}

impl Link {
    pub const GOOD: Link = Link {
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
    pub link: Link,
    pub members: Vec<Member>,
    pub rng: fastrand::Rng,
    runs: u64,
    next_request: u64,
    /// The largest sum of all parts of the budget that were in use at once.
    pub max_part_in_use: f64,
    /// Number of operations that reached the store in each tenth of a second.
    pub ops_by_tenth: BTreeMap<u64, u64>,
}

impl World {
    pub fn new(members: usize, seed: u64) -> World {
        World::with_rules(members, seed, rules())
    }

    pub fn with_rules(members: usize, seed: u64, rules: Rules) -> World {
        let mut rng = fastrand::Rng::with_seed(seed);
        let now = Timestamp(1_700_000_000_000_000);
        let redis = Redis::new(1);
        let mut world = World {
            now,
            stores: [redis.clone(), redis],
            snapshot: None,
            link: Link::GOOD,
            members: Vec::new(),
            runs: 1,
            next_request: 0,
            max_part_in_use: 0.0,
            ops_by_tenth: BTreeMap::new(),
            rng: rng.fork(),
        };
        for nth in 0..members {
            let member = world.new_member((nth, members), rules.clone(), rng.u64(..));
            world.members.push(member);
        }
        world
    }

    fn new_member(&self, (nth, members): (usize, usize), rules: Rules, seed: u64) -> Member {
        let voters = if members < 3 { 1 } else { 3 };
        let division = Division {
            dispatchers: members as u32,
            floor_share: 0.25,
            tickets: 64,
            voters: voters as u8,
            lease_duration: TimeSpan::from_secs(2),
            guard_time: TimeSpan::ZERO,
        };
        let (name, total) = (BUDGET.into(), 1.0);
        let voters = (0..voters as u64).map(HolderId).collect();
        let mut shares = BudgetShares::new(HolderId(nth as u64), BootId(seed), voters, seed);
        let budget = NamedBudget {
            name,
            total,
            division,
        };
        shares.set_budgets(self.now, vec![budget]);
        Member {
            shares,
            state: SharedState::new(self.now, rules, seed),
            connected: false,
            store_index: 0,
            run: String::new(),
            unapplied: VecDeque::new(),
            unanswered: VecDeque::new(),
            connecting: None,
            decided: BTreeMap::new(),
            trust_changes: Vec::new(),
            purges: Vec::new(),
            hints: Vec::new(),
            believed: BTreeMap::new(),
        }
    }

    /// Replaces a dispatcher by a new process without any state.
    pub fn restart(&mut self, nth: usize) {
        let (rules, seed) = (self.members[nth].state.rules().clone(), self.rng.u64(..));
        let of = (nth, self.members.len());
        self.members[nth] = self.new_member(of, rules, seed);
    }

    /// Replaces the store's process by one that holds the last snapshot or nothing, with its clock
    /// ahead by `ahead_ms`.
    pub fn restart_store(&mut self, from_copy: bool, ahead_ms: i64) {
        self.runs += 1;
        let empty = Redis::new(0);
        let copy = self
            .snapshot
            .as_ref()
            .filter(|_| from_copy)
            .unwrap_or(&empty);
        let born = Redis::reborn(copy, self.runs, ahead_ms);
        self.stores = [born.clone(), born];
        (0..self.members.len()).for_each(|nth| self.disconnect(nth));
    }

    /// Splits the store in two halves. The given dispatchers are disconnected and reach the second
    /// one by a new connection.
    pub fn split(&mut self, second: &[usize]) {
        self.runs += 1;
        let copy = self.snapshot.clone().unwrap_or(self.stores[0].clone());
        self.stores[1] = Redis::reborn(&copy, self.runs, 0);
        for &nth in second {
            self.members[nth].store_index = 1;
            self.disconnect(nth);
        }
    }

    /// Ends a connection: pending operations may have been applied, and no answers come.
    pub fn disconnect(&mut self, nth: usize) {
        let now = self.now;
        let member = &mut self.members[nth];
        if !std::mem::take(&mut member.connected) {
            return;
        }
        member.unanswered.clear();
        member.unapplied.retain(|pending| pending.id.0 % 2 == 0);
        member.state.on_disconnected(now);
        self.deliver(nth);
    }

    pub fn send_request(&mut self, nth: usize, idempotency_key: &str, left: TimeSpan) -> RequestId {
        self.next_request += 1;
        let id = RequestId(self.next_request);
        let target = self.now + left;
        let key = KeyHasher::new("t").key(ClassId(1), idempotency_key);
        self.members[nth]
            .state
            .on_request(self.now, id, key, target);
        self.deliver(nth);
        id
    }

    pub fn send_attempt(&mut self, nth: usize, id: RequestId, cell: u16) {
        let place = (ZoneId(0), CellId(cell));
        self.members[nth].state.on_attempt_sent(self.now, id, place);
        self.deliver(nth);
    }

    pub fn end_request(&mut self, nth: usize, id: RequestId, completion: Completion) {
        self.members[nth]
            .state
            .on_request_ended(self.now, id, completion);
        self.deliver(nth);
    }

    /// The decision for a request, if there is one.
    pub fn decision(&self, nth: usize, id: RequestId) -> Option<&RecordDecision> {
        let all = self.members[nth].decided.get(&id)?;
        assert_eq!(all.len(), 1, "one verdict for one access");
        Some(&all[0].1)
    }

    /// The earlier attempt under the key of a request, if one is known.
    pub fn earlier_attempt(&self, nth: usize, id: RequestId) -> Option<PeerAttempt> {
        self.members[nth].state.earlier_attempt(id)
    }

    pub fn trust(&self, nth: usize) -> Trust {
        self.members[nth].state.trust()
    }

    pub fn deliver(&mut self, nth: usize) {
        let (now, link) = (self.now, self.link);
        loop {
            let actions = self.members[nth].state.take_actions();
            if actions.is_empty() {
                break;
            }
            for act in actions {
                let member = &mut self.members[nth];
                match act {
                    Action::Connect => member.connecting = Some(now + TimeSpan::from_millis(1)),
                    Action::Disconnect => {
                        member.connected = false;
                        member.unanswered.clear();
                        member.state.on_disconnected(now);
                    }
                    Action::Execute {
                        id,
                        op,
                        epoch,
                        not_after_ms,
                    } => {
                        let run = member.run.clone();
                        let apply_at = now + link.there;
                        member.unapplied.push_back(PendingOp {
                            id,
                            op,
                            epoch,
                            not_after_ms,
                            run,
                            apply_at,
                        });
                        *self.ops_by_tenth.entry(now.0 / 100_000).or_default() += 1;
                    }
                    Action::Decided { id, decision } => {
                        let believed = member.state.is_claimed(id);
                        member.believed.insert(id, believed);
                        member.decided.entry(id).or_default().push((now, decision));
                    }
                    Action::Purged { object, age, .. } => member.purges.push((now, object, age)),
                    Action::PeerBreakerOpened { host } => member.hints.push((now, host)),
                    Action::MessageReceived { from, bytes } => {
                        if let Some(note) = trailproxy_budgets::read(&bytes) {
                            member.shares.on_message(now, HolderId(from.0), note);
                        }
                    }
                    Action::TrustChanged { trust, cause } => {
                        member.trust_changes.push((now, trust, cause.as_str()))
                    }
                }
            }
        }
        self.deliver_messages(nth);
    }

    /// Posts the messages of a dispatcher's budgets to the store, and counts what all may use.
    fn deliver_messages(&mut self, nth: usize) {
        let now = self.now;
        let member = &mut self.members[nth];
        let actions = member.shares.take_actions();
        let said = !actions.is_empty();
        for act in actions {
            if let shares::Action::Send(to, note) = act {
                let (own, to) = (MailboxId(nth as u64), MailboxId(to.0));
                let bytes = trailproxy_budgets::write(&note);
                member.state.post_message(now, own, to, bytes);
            }
        }
        let sum: f64 = (0..self.members.len()).map(|nth| self.part(nth)).sum();
        self.max_part_in_use = self.max_part_in_use.max(sum);
        if said {
            self.deliver(nth);
        }
    }

    /// The part of the budget that a dispatcher may use now.
    pub fn part(&self, nth: usize) -> f64 {
        let id = BudgetId::of_name(BUDGET);
        let part = self.members[nth].shares.part(self.now, id);
        part.map_or(0.0, |part| part.fraction)
    }

    /// Sets the part of the budget that a dispatcher needs.
    pub fn set_need(&mut self, nth: usize, part: f64) {
        let (now, id) = (self.now, BudgetId::of_name(BUDGET));
        self.members[nth].shares.set_need(now, id, part, 0.0);
    }

    /// Applies the operations of a dispatcher that are due.
    fn apply(&mut self, nth: usize) {
        while let Some(pending) = self.members[nth].unapplied.front() {
            if self.link.paused || pending.apply_at > self.now {
                break;
            }
            let Some(pending) = self.members[nth].unapplied.pop_front() else {
                break;
            };
            self.apply_one(nth, pending);
        }
    }

    fn apply_one(&mut self, nth: usize, pending: PendingOp) {
        let store_index = self.members[nth].store_index;
        let context = ScriptContext {
            prefix: "t:",
            run: &pending.run,
            epoch: pending.epoch,
            not_after_ms: pending.not_after_ms,
        };
        let request = script_request(&pending.op, &context);
        let reply = self.stores[store_index].script(
            self.now,
            request.script.name,
            &request.keys,
            &request.args,
        );
        let reply = match value(reply).map(|value| parse_reply(&value)) {
            None => Reply::Refused,
            Some(None) => Reply::Lost,
            Some(Some(said)) => Reply::Result(said),
        };
        if self.link.answers && self.members[nth].connected {
            let random = self.rng.f64();
            let at = self.now + self.link.back + self.link.more.mul_f64(random);
            self.members[nth]
                .unanswered
                .push_back((at, pending.id, reply));
        }
    }

    /// The next time at which something happens to a dispatcher.
    fn next_event(&self, nth: usize) -> Option<Timestamp> {
        let member = &self.members[nth];
        let unapplied = member
            .unapplied
            .front()
            .filter(|_| !self.link.paused)
            .map(|pending| pending.apply_at);
        let unanswered = member.unanswered.front().map(|(at, ..)| *at);
        let shares = member.shares.next_deadline();
        [
            unapplied,
            unanswered,
            member.connecting,
            member.state.next_deadline(),
            shares,
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Advances to the next event, or to `end`.
    fn step(&mut self, end: Timestamp) {
        let dues: Vec<_> = (0..self.members.len())
            .map(|nth| self.next_event(nth))
            .collect();
        let next = dues.iter().flatten().min().copied();
        self.now = next.map_or(end, |at| at.max(self.now + TimeSpan(1)).min(end));
        for (nth, next_event) in dues.into_iter().enumerate() {
            if next_event.is_none_or(|at| at > self.now) {
                continue;
            }
            self.apply(nth);
            while let Some((at, ..)) = self.members[nth].unanswered.front() {
                if *at > self.now {
                    break;
                }
                let Some((_, id, reply)) = self.members[nth].unanswered.pop_front() else {
                    break;
                };
                self.members[nth].state.on_reply(self.now, id, reply);
                self.deliver(nth);
            }
            if self.members[nth]
                .connecting
                .is_some_and(|at| at <= self.now)
            {
                self.members[nth].connecting = None;
                let reached = self.link.reached && !self.link.paused;
                let store_index = self.members[nth].store_index;
                let member = &mut self.members[nth];
                member.unapplied.clear();
                match reached {
                    true => {
                        (member.connected, member.run) = (true, self.stores[store_index].run_id());
                        member.state.on_connected(self.now);
                    }
                    false => member.state.on_disconnected(self.now),
                }
                self.deliver(nth);
            }
            if self.members[nth]
                .state
                .next_deadline()
                .is_some_and(|at| at <= self.now)
            {
                self.members[nth].state.advance(self.now);
                self.deliver(nth);
            }
            if self.members[nth]
                .shares
                .next_deadline()
                .is_some_and(|at| at <= self.now)
            {
                self.members[nth].shares.advance(self.now);
                self.deliver_messages(nth);
            }
        }
    }

    pub fn run(&mut self, span: TimeSpan) {
        let end = self.now + span;
        while self.now < end {
            self.step(end);
        }
    }

    /// Runs until all dispatchers trust the store; `false` if that takes longer than `within`.
    pub fn wait_until_trusted(&mut self, within: TimeSpan) -> bool {
        let end = self.now + within;
        while self.now < end {
            self.step(end);
            if self
                .members
                .iter()
                .all(|m| m.state.trust() == Trust::Together)
            {
                return true;
            }
        }
        false
    }

    // For exploration: single steps out of order.

    pub fn apply_next(&mut self, nth: usize) -> bool {
        let next = self.members[nth].unapplied.pop_front();
        let any = next.is_some();
        next.into_iter()
            .for_each(|pending| self.apply_one(nth, pending));
        any
    }

    pub fn answer_next(&mut self, nth: usize, lost: bool) -> bool {
        let next = self.members[nth].unanswered.pop_front();
        let any = next.is_some();
        if let Some((_, id, reply)) = next.filter(|_| !lost) {
            self.members[nth].state.on_reply(self.now, id, reply);
            self.deliver(nth);
        }
        any
    }

    pub fn pass(&mut self, span: TimeSpan) {
        self.now = self.now + span;
        for nth in 0..self.members.len() {
            self.members[nth].state.advance(self.now);
            self.members[nth].shares.advance(self.now);
            self.deliver(nth);
        }
    }
}
