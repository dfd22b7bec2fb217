//! A short soak of the built program: process, server, discovery and client troubles that overlap, judged from outside.

use std::path::PathBuf;
use trailproxy_soak::oracle::Verdict;
use trailproxy_soak::plan::{Kind, Plan, Size};
use trailproxy_soak::process::{Place, fresh_folder};
use trailproxy_soak::run::play;

const SIZE: Size = Size {
    dispatchers: 5,
    seconds: 7.0,
    rate: 8.0,
};

const TRIES: usize = 4;

/// Plays one run, in which nothing may break.
fn soak(seed: u64, kinds: &[Kind]) {
    // On a busy machine the judge may not be run in time; such a run says nothing, and is played again.
    for _ in 0..TRIES {
        let verdict = judged(seed, kinds);
        if !verdict.is_void() {
            assert!(verdict.tally.served > 0, "{:?}", verdict.tally);
            assert!(verdict.broken.is_empty(), "{:#?}", verdict.breaches);
            return;
        }
    }
    panic!("the judge was not run in time {TRIES} times");
}

fn judged(seed: u64, kinds: &[Kind]) -> Verdict {
    let plan = Plan::draw(seed, SIZE, kinds).expect("a plan");
    let shim = trailproxy_fault_control::shim_library().expect("the shim");
    let place = Place {
        program: PathBuf::from(env!("CARGO_BIN_EXE_trailproxyd")),
        shim: Some(shim),
        folder: fresh_folder(&std::env::temp_dir(), seed).expect("a folder"),
    };
    let verdict = play(plan, &place).expect("a run");
    let _ = std::fs::remove_dir_all(&place.folder);
    verdict
}

#[test]
fn processes_servers_and_discovery_in_trouble_at_once() {
    soak(11, &[Kind::Process, Kind::Servers, Kind::Discovery]);
}

#[test]
fn clients_that_misbehave_while_processes_end() {
    soak(12, &[Kind::Process, Kind::Clients]);
}

#[test]
fn wrong_clocks_and_failing_calls_amid_stops_and_purges() {
    soak(
        13,
        &[Kind::Clocks, Kind::Calls, Kind::Process, Kind::Servers],
    );
}
