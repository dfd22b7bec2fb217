//! Every fault between members, alone and in pairs, by seed; every order of messages in a small
//! case; and planted mistakes.

mod world;

use trailproxy::units::*;
use trailproxy_peers::decide::members::OwnMember;
use trailproxy_peers::decide::messages::{Message, PeerId};
use trailproxy_peers::decide::{Action, Peers, new_boot_id};
use trailproxy_shared_store::decide::records::{KeyHasher, RecordDecision};
use world::*;

const SECOND: TimeSpan = TimeSpan::from_secs(1);

/// The name of a fault, what starts it and what ends it.
type Fault = (&'static str, fn(&mut World), fn(&mut World));

fn clear_link_faults(world: &mut World) {
    world.link_faults.clear();
}

fn third_of(world: &World) -> usize {
    world.nodes.len() / 3
}

const FAULTS: [Fault; 12] = [
    (
        "partition in two",
        |w| {
            let n = third_of(w);
            w.set_partition(|a| a < n.max(1), true)
        },
        clear_link_faults,
    ),
    (
        "blocked one way",
        |w| {
            let n = w.nodes.len();
            for b in 1..n {
                let blocked = true;
                w.link_faults.insert(
                    (0, b),
                    LinkFault {
                        blocked,
                        ..LinkFault::default()
                    },
                );
            }
        },
        clear_link_faults,
    ),
    (
        "lost",
        |w| {
            w.set_all_links(LinkFault {
                loss_rate: 0.2,
                ..LinkFault::default()
            })
        },
        clear_link_faults,
    ),
    (
        "duplicated",
        |w| {
            w.set_all_links(LinkFault {
                duplication_rate: 0.5,
                mean_extra_delay: TimeSpan::from_millis(5),
                ..LinkFault::default()
            })
        },
        clear_link_faults,
    ),
    (
        "slow",
        |w| {
            w.set_all_links(LinkFault {
                mean_extra_delay: TimeSpan::from_millis(60),
                ..LinkFault::default()
            })
        },
        clear_link_faults,
    ),
    (
        "one slow",
        |w| {
            for b in 0..w.nodes.len() {
                let link = LinkFault {
                    mean_extra_delay: TimeSpan::from_millis(300),
                    ..LinkFault::default()
                };
                w.link_faults.insert((1, b), link);
                w.link_faults.insert((b, 1), link);
            }
        },
        clear_link_faults,
    ),
    (
        "killed",
        |w| {
            let n = third_of(w);
            (0..n.max(1)).for_each(|k| w.kill(k))
        },
        |w| {
            let down: Vec<usize> = (0..w.nodes.len())
                .filter(|&k| w.nodes[k].peers.is_none())
                .collect();
            down.into_iter().for_each(|k| w.start(k));
        },
    ),
    (
        "restarted",
        |w| {
            w.kill(1);
            w.start(1)
        },
        |_| {},
    ),
    (
        "all restarted",
        |w| {
            (0..w.nodes.len()).for_each(|k| {
                w.kill(k);
                w.start(k)
            })
        },
        |_| {},
    ),
    ("paused", |w| w.pause(2, true), |w| w.pause(2, false)),
    (
        "clock ahead",
        |w| w.nodes[1].clock_ahead_us = 500_000,
        |_| {},
    ),
    ("left", |w| w.leave(2), |w| w.start(2)),
];

/// The result of a run under faults.
#[derive(Debug, Default)]
struct RunResult {
    repeats: usize,
    longest: TimeSpan,
    heals: Option<TimeSpan>,
    differing_slots: usize,
    unknown: usize,
    asked: u64,
    ended: u64,
}

/// Sends keyed requests, and repeats of them elsewhere, while the faults last; then ends the faults
/// and waits until all copies are the same.
fn run_under_faults(
    n: usize,
    seed: u64,
    faults: &[Fault],
    planted: Option<PlantedFault>,
) -> RunResult {
    let mut world = World::new(n, seed);
    world.run(TimeSpan::from_secs(12));
    world.planted = planted;
    let mut rng = fastrand::Rng::with_seed(seed ^ 5);
    let mut ran = RunResult::default();
    let ask = |world: &mut World, rng: &mut fastrand::Rng, ran: &mut RunResult, key: u64| {
        for again in 0..2 {
            let node = rng.usize(0..n);
            let up = world.nodes[node].peers.is_some() && !world.nodes[node].paused;
            if up {
                ran.asked += 1;
                world.request(node, key);
            }
            if again == 0 {
                world.run(TimeSpan(rng.u64(0..120_000)));
            }
        }
    };
    for key in 0..40 {
        if key == 10 {
            faults.iter().for_each(|(_, start, _)| start(&mut world));
        }
        if key == 25 {
            world.purge(n - 1, 500 + seed);
        }
        ask(&mut world, &mut rng, &mut ran, key);
        if key == 12 {
            // Clients whose requests were in progress before the faults repeat them.
            (0..10).for_each(|key| ask(&mut world, &mut rng, &mut ran, key));
        }
    }
    world.run(TimeSpan::from_secs(2));
    faults.iter().for_each(|(.., end)| end(&mut world));
    // Clients whose requests were in progress during the faults repeat them at the moment when
    // these end.
    for key in 12..40 {
        let node = rng.usize(0..n);
        if world.nodes[node].peers.is_some() && !world.nodes[node].paused {
            ran.asked += 1;
            world.request(node, key);
        }
        world.run(TimeSpan(rng.u64(0..12_000)));
    }
    let heals = world.run_until(TimeSpan::from_secs(20), |world| {
        world.agrees() && world.differing_slots() == 0
    });
    ran.heals = heals;
    ran.differing_slots = world.differing_slots();
    // All present members know the purge from before the end.
    world.run(TimeSpan::from_secs(2));
    let knows =
        |world: &World, k: usize| k == n - 1 || world.observed.purges.contains(&(k, 500 + seed));
    let purger = faults
        .iter()
        .any(|(name, ..)| *name == "all restarted" || n <= 3 && *name == "left");
    if !purger {
        ran.unknown = world.up().filter(|&k| !knows(&world, k)).count();
    }
    ran.repeats = world.repeats().len();
    ran.longest = world
        .observed
        .held
        .iter()
        .max()
        .copied()
        .unwrap_or_default();
    ran.ended = world.observed.sent.len() as u64 + world.observed.answered + world.observed.refused;
    ran
}

fn assert_expected(name: &str, ran: &RunResult) {
    assert_eq!(
        ran.repeats, 0,
        "{name}: sent twice although granted: {ran:?}"
    );
    // A request that waits for another member's attempt waits longer, by a quarter of the time to
    // its target.
    assert!(ran.longest <= TimeSpan::from_millis(270), "{name}: {ran:?}");
    assert!(
        ran.heals.is_some_and(|took| took <= TimeSpan::from_secs(6)),
        "{name}: {ran:?}"
    );
    assert_eq!(
        (ran.differing_slots, ran.unknown),
        (0, 0),
        "{name}: {ran:?}"
    );
}

#[test]
fn every_fault_alone_and_in_pairs_with_five_members() {
    for (nth, one) in FAULTS.iter().enumerate() {
        for other in &FAULTS[nth..] {
            for seed in 0..3 {
                let name = format!("{} and {}, seed {seed}", one.0, other.0);
                let both = if one.0 == other.0 {
                    vec![*one]
                } else {
                    vec![*one, *other]
                };
                assert_expected(&name, &run_under_faults(5, seed, &both, None));
            }
        }
    }
}

#[test]
fn every_fault_alone_with_three_and_forty_members() {
    for fault in FAULTS {
        for (n, seed) in [(3, 1), (3, 2), (40, 1)] {
            assert_expected(
                &format!("{} of {n}, seed {seed}", fault.0),
                &run_under_faults(n, seed, &[fault], None),
            );
        }
    }
}

#[test]
fn three_hundred_members_agree_and_heal_within_their_message_budget() {
    let mut world = World::new(300, 1);
    let took = world.run_until(TimeSpan::from_secs(20), |world| world.agrees());
    assert!(took.is_some(), "all members know each other");
    world.run(TimeSpan::from_secs(5));
    let (messages, begun) = (world.observed.messages, world.now);
    world.run(TimeSpan::from_secs(3));
    let each =
        (world.observed.messages - messages) as f64 / 300.0 / world.now.since(begun).as_secs_f64();
    assert!(each < 40.0, "{each} messages a second each at rest");
    world.purge(7, 1);
    world.run(TimeSpan::from_secs(3));
    let known = (0..300)
        .filter(|&n| world.observed.purges.contains(&(n, 1)))
        .count();
    assert!(known >= 299, "{known} know of a purge after 3 s");
    world.set_partition(|n| n < 100, true);
    world.run(TimeSpan::from_secs(8));
    world.set_partition(|n| n < 100, false);
    let took = world.run_until(TimeSpan::from_secs(15), |world| world.agrees());
    assert!(took.is_some(), "one fleet again");
}

#[test]
fn planted_mistakes_are_found() {
    let by_name = |name: &str| {
        FAULTS
            .iter()
            .find(|fault| fault.0 == name)
            .copied()
            .expect("a fault")
    };
    // A planted mistake, the fault under which it shows, and how it shows.
    type Case = (PlantedFault, &'static str, fn(&RunResult) -> bool);
    let cases: [Case; 4] = [
        (PlantedFault::ClaimLate, "duplicated", |ran| ran.repeats > 0),
        (PlantedFault::ForgetByCount, "duplicated", |ran| {
            ran.repeats > 0
        }),
        (PlantedFault::WholeTooEarly, "all restarted", |ran| {
            ran.repeats > 0
        }),
        (PlantedFault::IncarnationTwice, "partition in two", |ran| {
            ran.heals.is_none_or(|took| took > TimeSpan::from_secs(6))
        }),
    ];
    record_figure("planted", cases.len() as f64);
    let mut all = 0;
    for (planted, fault, found) in cases {
        let seed = (0..20)
            .find(|&seed| found(&run_under_faults(5, seed, &[by_name(fault)], Some(planted))));
        assert!(seed.is_some(), "{planted:?} is not found");
        println!("{planted:?} is found under {fault}, seed {seed:?}");
        all += 1;
    }
    record_figure("planted_found", f64::from(all));
}

/// Two claims on one key among three members: every order of the messages in flight, with any of
/// them lost, and time passing in between.
#[test]
fn every_order_of_two_claims_grants_at_most_one() {
    #[derive(Clone)]
    struct Small {
        now: Timestamp,
        peers: Vec<Peers>,
        in_flight_messages: Vec<(usize, usize, Message)>,
        granted: Vec<bool>,
        sent: Vec<bool>,
    }
    impl Small {
        fn act(&mut self, member: usize) {
            for action in self.peers[member].take_actions() {
                match action {
                    Action::Send(to, message) => {
                        self.in_flight_messages
                            .push((member, usize::from(to.ip[3]), message))
                    }
                    Action::Decided {
                        id,
                        verdict: RecordDecision::Proceed,
                    } => {
                        self.sent[member] = true;
                        let bound = self.peers[member].earlier_attempt(id).is_some();
                        self.granted[member] = self.peers[member].is_granted(id) && !bound;
                        if !bound {
                            let location = (ZoneId(member as u16), CellId(0));
                            self.peers[member].on_attempt_sent(self.now, id, location);
                        }
                    }
                    _ => {}
                }
            }
        }
        fn deliver(&mut self, nth: usize, lost: bool) {
            let (from, to, message) = self.in_flight_messages.remove(nth);
            if !lost {
                self.now = self.now + TimeSpan(100);
                let address = self.peers[from].members().own().address;
                self.peers[to].on_message(self.now, address, message);
                self.act(to);
            }
        }
    }
    let address = |n: u8| trailproxy_peers::decide::messages::Address {
        ip: [127, 0, 0, n],
        port: 1,
    };
    let own = |n: u8| OwnMember {
        id: PeerId::of_name(&format!("s{n}")),
        address: address(n),
        boot_id: new_boot_id(START_TIME, u64::from(n)),
        seeds: (0..3).map(address).collect(),
        topology: None,
    };
    let mut small = Small {
        now: START_TIME,
        peers: (0..3)
            .map(|n| Peers::new(START_TIME, own(n), settings(), u64::from(n)))
            .collect(),
        in_flight_messages: Vec::new(),
        granted: vec![false; 3],
        sent: vec![false; 3],
    };
    // Until the members know each other and nothing older can be missing.
    while small.now.since(START_TIME) < TimeSpan::from_secs(15) {
        small.now = small.now + TimeSpan::from_millis(20);
        for n in 0..3 {
            small.peers[n].advance(small.now);
            small.act(n);
        }
        while !small.in_flight_messages.is_empty() {
            small.deliver(0, false);
        }
    }
    let key = KeyHasher::new("small").key(ClassId(0), "k");
    for n in 0..2 {
        small.peers[n].on_request(small.now, RequestId(1), key, small.now + SECOND);
        small.act(n);
    }
    fn explore(small: &Small, depth: usize, seen: &mut (u64, u64)) {
        seen.0 += 1;
        let grants = small.granted.iter().filter(|&&granted| granted).count();
        assert!(grants <= 1, "both claims were granted");
        seen.1 += u64::from(grants == 1);
        if depth == 0 {
            return;
        }
        for nth in 0..small.in_flight_messages.len().min(6) {
            for lost in [false, true] {
                let mut next = small.clone();
                next.deliver(nth, lost);
                explore(&next, depth - 1, seen);
            }
        }
        let mut next = small.clone();
        next.now = next.now + TimeSpan::from_millis(11);
        for n in 0..3 {
            next.peers[n].advance(next.now);
            next.act(n);
        }
        explore(&next, depth - 1, seen);
    }
    let mut seen = (0, 0);
    explore(&small, 5, &mut seen);
    assert!(seen.0 > 10_000 && seen.1 > 0, "{seen:?}");
}
