//! A short soak test of the built program under overlapping faults of processes, servers, discovery and clients. What
//! clients and hosts observe is checked, not what the program reports.

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

const MAX_TRIES: usize = 4;

/// Runs one plan, in which no promise may be broken.
fn soak(seed: u64, kinds: &[Kind]) {
    // On a busy machine the checking process may not run in time. Such a run proves nothing and is repeated.
    for _ in 0..MAX_TRIES {
        let verdict = run_plan(seed, kinds);
        if !verdict.is_void() {
            assert!(verdict.tally.served > 0, "{:?}", verdict.tally);
            assert!(verdict.broken.is_empty(), "{:#?}", verdict.breaches);
            return;
        }
    }
    panic!("the checking process was not run in time {MAX_TRIES} times");
}

fn run_plan(seed: u64, kinds: &[Kind]) -> Verdict {
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

/// Guards against faults that are harmless alone but break a promise to clients when they overlap.
#[test]
fn faults_of_processes_servers_and_discovery_overlap() {
    soak(11, &[Kind::Process, Kind::Servers, Kind::Discovery]);
}

/// Guards against answers that are lost or doubled when clients break the protocol while a process ends.
#[test]
fn clients_that_misbehave_while_processes_end() {
    soak(12, &[Kind::Process, Kind::Clients]);
}

/// Guards against decisions on a wrong wall clock, and against system call errors taken for host failures, while
/// processes stop and objects are purged.
#[test]
fn wrong_clocks_and_failing_calls_during_stops_and_purges() {
    soak(
        13,
        &[Kind::Clocks, Kind::Calls, Kind::Process, Kind::Servers],
    );
}
