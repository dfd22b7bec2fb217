//! Short simulated days on loopback: the built program between simulated hosts with scripted faults, checked against the
//! five rules.

use std::path::PathBuf;
use trailproxy_lab::loopback::{Place, run};
use trailproxy_lab::model::Day;
use trailproxy_lab::scenario::{KINDS, Scenario};
use trailproxy_operator::{Bounds, read};

fn day(name: &str, more: &str) -> Day {
    let text = format!(
        "scenario(name = \"{name}\", seconds = 6, from_s = 0)
fleet(notes = \"hits\", list_delay_ms = 100)
zone(name = \"hub\")
zone(name = \"depot\", link_kb_per_s = 36000, dispatchers = 2)
hosts(role = \"cache\", zone = \"depot\", count = 3, size = 8, room_kb = 150000)
hosts(role = \"parent\", zone = \"hub\", count = 2, size = 12, room_kb = 600000)
hosts(role = \"origin\", zone = \"hub\", size = 10, first_byte_ms = 20, places = 60)
track(name = \"label\", limit_ms = 3000, fresh_ms = 20000, grace_ms = 60000)
track(name = \"order\", effect = \"fingerprinted\", written = True, importance = 5)
track(name = \"pay\", effect = \"binding\", written = True, importance = 5)
stream(track = \"label\", per_s = 60, objects = 500, median_kb = 25)
stream(track = \"order\", per_s = 10, median_kb = 4)
stream(track = \"pay\", per_s = 5, median_kb = 4)
{more}"
    );
    let sheet = read("t.star", text, KINDS, Bounds::default()).expect("it fits");
    let scenario = Scenario::from_sheet(&sheet).expect("a scenario");
    let place = Place {
        daemon: PathBuf::from(env!("CARGO_BIN_EXE_trailproxyd")),
        folder: std::env::temp_dir().join(format!("trailproxy-{name}-{}", std::process::id())),
        descriptors: 256,
        memory_mb: 32,
    };
    let day = run(&scenario, &place, 1).expect("loopback is there");
    let _ = std::fs::remove_dir_all(&place.folder);
    assert_eq!(day.summary.rules_broken, Vec::<String>::new());
    day
}

/// Guards against requests that are lost or refused without any fault, and against simulated hosts that count no bytes.
#[test]
fn a_day_without_faults_serves_every_request() {
    let day = day("calm", "");
    let summary = &day.summary;
    assert!(
        summary.accesses > 300 && summary.done == summary.accesses,
        "{summary:?}"
    );
    assert!(summary.bytes_origin > 0.0 && summary.bytes_hit > 0.0);
}

/// A parent crashes, a cache restarts, an object is purged and another cache resets connections; no rule may be broken
/// and most requests must be done.
#[test]
fn a_crash_a_restart_a_purge_and_resets_break_no_rule() {
    let faults = "trouble(kind = \"crash\", target = \"hub/parent/0\", at_s = 1, for_s = 2)
trouble(kind = \"roll\", target = \"depot/cache/0\", at_s = 1, for_s = 0.2)
trouble(kind = \"purge\", target = \"3\", at_s = 2)
trouble(kind = \"resets\", target = \"depot/cache/1\", at_s = 2, for_s = 2, by = 0.2)";
    let day = day("struck", faults);
    assert!(
        day.summary.done * 10 > day.summary.accesses * 7,
        "{:?}",
        day.summary
    );
}

/// Guards against a dispatcher that does not serve after a kill, for example because its address is still in use.
#[test]
fn a_killed_dispatcher_serves_again_after_its_restart() {
    let faults = "trouble(kind = \"dispatchers\", at_s = 2, for_s = 0.5, by = 1)";
    let day = day("killed", faults);
    let last = &day.tally.seconds[4..6];
    let done: u64 = last.iter().map(|second| second.done).sum();
    assert!(done > 50, "{done} done at the end");
}
