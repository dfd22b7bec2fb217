//! A small fleet measured from outside: two real dispatchers among ten hollow members.

mod programs;

use programs::{Folder, place};
use std::path::Path;
use std::time::Duration;
use tokio::task::LocalSet;
use trailproxy_capacity_live::figures::{HollowStep, MOST_BYTES_PER_S, MOST_RESIDENT_KB};
use trailproxy_capacity_live::hollow::HollowFleet;
use trailproxy_capacity_live::plan::Plan;
use trailproxy_capacity_live::surroundings::Surroundings;

const REAL: usize = 2;
const MEMBERS: usize = 12;
const MEET_WITHIN: Duration = Duration::from_secs(15);
/// Whoever starts compares its facts with others in a hurry for three seconds, over the bound, which is for rest.
const REST: Duration = Duration::from_secs(5);
const WINDOW: Duration = Duration::from_secs(4);

fn plan() -> Plan {
    Plan {
        members: vec![MEMBERS],
        real: REAL,
        zones: 0,
        workers: 2,
        processes: 0,
        loaded: 0,
        rates: Vec::new(),
        purges: Vec::new(),
        seconds: 4,
        settle_s: 15,
        keep_s: 10.0,
        seed: 1,
    }
}

/// What one run came to, with the ids of all processes that it started.
struct Measured {
    step: HollowStep,
    met: bool,
    ids: Vec<u32>,
}

async fn measure(folder: &Folder) -> std::io::Result<Measured> {
    let surroundings = Surroundings::open(1).await?;
    let place = place(folder);
    let mut fleet = HollowFleet::start(&place, &surroundings, &plan(), MEMBERS).await?;
    let real = fleet.real.iter().map(|of| of.id());
    let workers = fleet.workers.iter().filter_map(|of| of.id());
    let ids = real.chain(workers).collect();
    let met = fleet.meet(MEET_WITHIN).await?;
    tokio::time::sleep(REST).await;
    let step = fleet.measure(WINDOW).await?;
    Ok(Measured { step, met, ids })
}

fn runs(id: u32) -> bool {
    Path::new(&format!("/proc/{id}")).exists()
}

#[test]
fn real_dispatchers_count_all_members_within_bounds_and_nothing_is_left_running() {
    let folder = Folder::new("small");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let measured = LocalSet::new().block_on(&runtime, measure(&folder));
    let Measured { step, met, ids } = measured.expect("it is measured");
    assert!(met, "each real one counts all others: {step:?}");
    assert_eq!(step.least_alive, MEMBERS - 1, "{step:?}");
    assert_eq!(step.least_alive_hollow, MEMBERS - 1, "{step:?}");
    assert_eq!(step.processes.len(), REAL);
    for process in &step.processes {
        let wire = process.wire.expect("counted by the hollow members");
        assert!(wire.bytes_in_per_s > 0.0, "{process:?}");
        assert!(wire.bytes_out_per_s > 0.0, "{process:?}");
        assert!(wire.bytes_per_s() < MOST_BYTES_PER_S, "{process:?}");
        assert!(process.resident_kb > 0, "{process:?}");
        assert!(process.resident_kb < MOST_RESIDENT_KB, "{process:?}");
        assert!(process.descriptors > 0, "{process:?}");
    }
    assert_eq!(ids.len(), REAL + 2);
    let left: Vec<u32> = ids.into_iter().filter(|&id| runs(id)).collect();
    assert!(left.is_empty(), "still there: {left:?}");
}
