//! Every fault between members, alone and in pairs, by seed; every order of a small case; and mistakes put in on purpose.

mod world;

use trailproxy::units::*;
use trailproxy_peers::decide::members::OwnMember;
use trailproxy_peers::decide::messages::{Message, PeerId};
use trailproxy_peers::decide::{Action, Peers, new_boot_id};
use trailproxy_shared_store::decide::records::{KeyHasher, RecordDecision};
use world::*;

const SECOND: TimeSpan = TimeSpan::from_secs(1);

/// A name, what strikes, and what ends it.
type Fault = (&'static str, fn(&mut World), fn(&mut World));

fn mend(world: &mut World) {
    world.ways.clear();
}

fn some(world: &World) -> usize {
    world.nodes.len() / 3
}

const FAULTS: [Fault; 12] = [
    (
        "cut in two",
        |w| {
            let n = some(w);
            w.split(|a| a < n.max(1), true)
        },
        mend,
    ),
    (
        "cut one way",
        |w| {
            let n = w.nodes.len();
            for b in 1..n {
                let cut = true;
                w.ways.insert(
                    (0, b),
                    Way {
                        cut,
                        ..Way::default()
                    },
                );
            }
        },
        mend,
    ),
    (
        "lost",
        |w| {
            w.every_way(Way {
                lost: 0.2,
                ..Way::default()
            })
        },
        mend,
    ),
    (
        "doubled",
        |w| {
            w.every_way(Way {
                doubled: 0.5,
                slower: TimeSpan::from_millis(5),
                ..Way::default()
            })
        },
        mend,
    ),
    (
        "slow",
        |w| {
            w.every_way(Way {
                slower: TimeSpan::from_millis(60),
                ..Way::default()
            })
        },
        mend,
    ),
    (
        "one slow",
        |w| {
            for b in 0..w.nodes.len() {
                let way = Way {
                    slower: TimeSpan::from_millis(300),
                    ..Way::default()
                };
                w.ways.insert((1, b), way);
                w.ways.insert((b, 1), way);
            }
        },
        mend,
    ),
    (
        "killed",
        |w| {
            let n = some(w);
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
    ("asleep", |w| w.pause(2, true), |w| w.pause(2, false)),
    ("clock ahead", |w| w.nodes[1].ahead = 500_000, |_| {}),
    ("left", |w| w.leave(2), |w| w.start(2)),
];

/// How a run under faults went.
#[derive(Debug, Default)]
struct Ran {
    repeats: usize,
    longest: TimeSpan,
    heals: Option<TimeSpan>,
    differing: usize,
    unknown: usize,
    asked: u64,
    ended: u64,
}

/// Keys are asked for, and again elsewhere, while it strikes; then it ends and all is the same again.
fn struck(n: usize, seed: u64, faults: &[Fault], planted: Option<Planted>) -> Ran {
    let mut world = World::new(n, seed);
    world.run(TimeSpan::from_secs(12));
    world.planted = planted;
    let mut rng = fastrand::Rng::with_seed(seed ^ 5);
    let mut ran = Ran::default();
    let ask = |world: &mut World, rng: &mut fastrand::Rng, ran: &mut Ran, key: u64| {
        for again in 0..2 {
            let node = rng.usize(0..n);
            let up = world.nodes[node].peers.is_some() && !world.nodes[node].paused;
            if up {
                ran.asked += 1;
                world.ask(node, key);
            }
            if again == 0 {
                world.run(TimeSpan(rng.u64(0..120_000)));
            }
        }
    };
    for key in 0..40 {
        if key == 10 {
            faults.iter().for_each(|(_, strike, _)| strike(&mut world));
        }
        if key == 25 {
            world.purge(n - 1, 500 + seed);
        }
        ask(&mut world, &mut rng, &mut ran, key);
        if key == 12 {
            // Clients whose change was under way before come again.
            (0..10).for_each(|key| ask(&mut world, &mut rng, &mut ran, key));
        }
    }
    world.run(TimeSpan::from_secs(2));
    faults.iter().for_each(|(.., end)| end(&mut world));
    // Clients whose change was under way meanwhile come again in the very moment when it ends.
    for key in 12..40 {
        let node = rng.usize(0..n);
        if world.nodes[node].peers.is_some() && !world.nodes[node].paused {
            ran.asked += 1;
            world.ask(node, key);
        }
        world.run(TimeSpan(rng.u64(0..12_000)));
    }
    let heals = world.until(TimeSpan::from_secs(20), |world| {
        world.agree() && world.differing() == 0
    });
    ran.heals = heals;
    ran.differing = world.differing();
    // What was purged before the end is known to all that are there.
    world.run(TimeSpan::from_secs(2));
    let knows =
        |world: &World, k: usize| k == n - 1 || world.seen.purges.contains(&(k, 500 + seed));
    let purger = faults
        .iter()
        .any(|(name, ..)| *name == "all restarted" || n <= 3 && *name == "left");
    if !purger {
        ran.unknown = world.up().filter(|&k| !knows(&world, k)).count();
    }
    ran.repeats = world.repeats().len();
    ran.longest = world.seen.held.iter().max().copied().unwrap_or_default();
    ran.ended = world.seen.sent.len() as u64 + world.seen.answered + world.seen.refused;
    ran
}

fn holds(name: &str, ran: &Ran) {
    assert_eq!(ran.repeats, 0, "{name}: sent twice by leave: {ran:?}");
    // An access that joins another's waits longer, by a quarter of the time until it is due.
    assert!(ran.longest <= TimeSpan::from_millis(270), "{name}: {ran:?}");
    assert!(
        ran.heals.is_some_and(|took| took <= TimeSpan::from_secs(6)),
        "{name}: {ran:?}"
    );
    assert_eq!((ran.differing, ran.unknown), (0, 0), "{name}: {ran:?}");
}

#[test]
fn every_fault_alone_and_in_pairs_among_few() {
    for (nth, one) in FAULTS.iter().enumerate() {
        for other in &FAULTS[nth..] {
            for seed in 0..3 {
                let name = format!("{} and {}, seed {seed}", one.0, other.0);
                let both = if one.0 == other.0 {
                    vec![*one]
                } else {
                    vec![*one, *other]
                };
                holds(&name, &struck(5, seed, &both, None));
            }
        }
    }
}

#[test]
fn every_fault_alone_among_three_and_forty() {
    for fault in FAULTS {
        for (n, seed) in [(3, 1), (3, 2), (40, 1)] {
            holds(
                &format!("{} of {n}, seed {seed}", fault.0),
                &struck(n, seed, &[fault], None),
            );
        }
    }
}

#[test]
fn three_hundred_find_each_other_and_heal_at_a_stated_cost() {
    let mut world = World::new(300, 1);
    let took = world.until(TimeSpan::from_secs(20), |world| world.agree());
    assert!(took.is_some(), "all know all");
    world.run(TimeSpan::from_secs(5));
    let (messages, begun) = (world.seen.messages, world.now);
    world.run(TimeSpan::from_secs(3));
    let each =
        (world.seen.messages - messages) as f64 / 300.0 / world.now.since(begun).as_secs_f64();
    assert!(each < 40.0, "{each} messages a second each at rest");
    world.purge(7, 1);
    world.run(TimeSpan::from_secs(3));
    let known = (0..300)
        .filter(|&n| world.seen.purges.contains(&(n, 1)))
        .count();
    assert!(known >= 299, "{known} know of a purge after 3 s");
    world.split(|n| n < 100, true);
    world.run(TimeSpan::from_secs(8));
    world.split(|n| n < 100, false);
    let took = world.until(TimeSpan::from_secs(15), |world| world.agree());
    assert!(took.is_some(), "one fleet again");
}

#[test]
fn mistakes_put_in_on_purpose_are_found() {
    let by_name = |name: &str| {
        FAULTS
            .iter()
            .find(|fault| fault.0 == name)
            .copied()
            .expect("a fault")
    };
    // What each breaks, under which fault, and how many seeds it may take to be seen.
    type Case = (Planted, &'static str, fn(&Ran) -> bool);
    let cases: [Case; 4] = [
        (Planted::ClaimLate, "doubled", |ran| ran.repeats > 0),
        (Planted::ForgetByCount, "doubled", |ran| ran.repeats > 0),
        (Planted::WholeTooEarly, "all restarted", |ran| {
            ran.repeats > 0
        }),
        (Planted::IncarnationTwice, "cut in two", |ran| {
            ran.heals.is_none_or(|took| took > TimeSpan::from_secs(6))
        }),
    ];
    figure("planted", cases.len() as f64);
    let mut all = 0;
    for (planted, fault, found) in cases {
        let seed = (0..20).find(|&seed| found(&struck(5, seed, &[by_name(fault)], Some(planted))));
        assert!(seed.is_some(), "{planted:?} is not found");
        println!("{planted:?} is found under {fault}, seed {seed:?}");
        all += 1;
    }
    figure("planted_found", f64::from(all));
}

/// Two claims of one key among three: every order of what is on its way, with any of it lost, and time passing between.
#[test]
fn every_order_of_two_claims_grants_one_at_most() {
    #[derive(Clone)]
    struct Small {
        now: Timestamp,
        peers: Vec<Peers>,
        flying: Vec<(usize, usize, Message)>,
        granted: Vec<bool>,
        went: Vec<bool>,
    }
    impl Small {
        fn act(&mut self, of: usize) {
            for action in self.peers[of].take_actions() {
                match action {
                    Action::Send(to, message) => {
                        self.flying.push((of, usize::from(to.ip[3]), message))
                    }
                    Action::Decided {
                        id,
                        verdict: RecordDecision::Proceed,
                    } => {
                        self.went[of] = true;
                        let bound = self.peers[of].earlier_attempt(id).is_some();
                        self.granted[of] = self.peers[of].is_granted(id) && !bound;
                        if !bound {
                            let place = (ZoneId(of as u16), CellId(0));
                            self.peers[of].on_attempt_sent(self.now, id, place);
                        }
                    }
                    _ => {}
                }
            }
        }
        fn deliver(&mut self, nth: usize, lost: bool) {
            let (from, to, message) = self.flying.remove(nth);
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
        boot_id: new_boot_id(DAWN, u64::from(n)),
        seeds: (0..3).map(address).collect(),
        topology: None,
    };
    let mut small = Small {
        now: DAWN,
        peers: (0..3)
            .map(|n| Peers::new(DAWN, own(n), settings(), u64::from(n)))
            .collect(),
        flying: Vec::new(),
        granted: vec![false; 3],
        went: vec![false; 3],
    };
    // Until they know each other and nothing older can be missing.
    while small.now.since(DAWN) < TimeSpan::from_secs(15) {
        small.now = small.now + TimeSpan::from_millis(20);
        for n in 0..3 {
            small.peers[n].advance(small.now);
            small.act(n);
        }
        while !small.flying.is_empty() {
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
        assert!(grants <= 1, "both were told that nobody else has it");
        seen.1 += u64::from(grants == 1);
        if depth == 0 {
            return;
        }
        for nth in 0..small.flying.len().min(6) {
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
