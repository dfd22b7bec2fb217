//! A short soak of the built program: process, server, discovery and client troubles that overlap, judged from outside.

use std::path::PathBuf;
use trailproxy_soak::plan::{Kind, Plan, Size};
use trailproxy_soak::process::{Place, fresh_folder};
use trailproxy_soak::run::play;

const SIZE: Size = Size {
    dispatchers: 5,
    seconds: 7.0,
    rate: 8.0,
};

/// Plays one run, and says what broke.
fn soak(seed: u64, kinds: &[Kind]) {
    let plan = Plan::draw(seed, SIZE, kinds).expect("a plan");
    let shim = trailproxy_fault_control::shim_library().expect("the shim");
    let place = Place {
        program: PathBuf::from(env!("CARGO_BIN_EXE_trailproxyd")),
        shim: Some(shim),
        folder: fresh_folder(&std::env::temp_dir(), seed).expect("a folder"),
    };
    let verdict = play(plan, &place).expect("a run");
    assert!(verdict.tally.served > 0, "{:?}", verdict.tally);
    assert!(verdict.broken.is_empty(), "{:#?}", verdict.breaches);
    let _ = std::fs::remove_dir_all(&place.folder);
}

#[test]
fn processes_servers_and_discovery_in_trouble_at_once() {
    soak(11, &[Kind::Process, Kind::Servers, Kind::Discovery]);
}

#[test]
fn clients_that_misbehave_while_processes_end() {
    soak(12, &[Kind::Process, Kind::Clients]);
}
