//! The parts that a measurement rests on, each by itself.

use std::io::Write;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};
use trailproxy::units::{TimeSpan, Timestamp};
use trailproxy_capacity_live::cost::measure;
use trailproxy_capacity_live::dispatcher::free_datagram_addresses;
use trailproxy_capacity_live::plan::Plan;
use trailproxy_capacity_live::question::standing;
use trailproxy_capacity_live::slope::{Point, Slope};
use trailproxy_capacity_live::usage::Usage;
use trailproxy_capacity_live::worker::{Hollow, Order};
use trailproxy_peers::decide::members::OwnMember;
use trailproxy_peers::decide::messages::{Address, BootId, PeerId};
use trailproxy_peers::decide::{Peers, PeersSettings};

fn points(values: &[(f64, f64)]) -> Vec<Point> {
    values.iter().map(|&(x, y)| Point { x, y }).collect()
}

/// The expected interval is that of the textbook formula, worked out by hand with 4.302653 for two degrees of freedom.
#[test]
fn a_slope_has_the_interval_of_least_squares() {
    let noisy = points(&[(1.0, 2.0), (2.0, 4.0), (3.0, 5.0), (4.0, 8.0)]);
    let fit = Slope::fit("y", "x", &noisy).expect("four points");
    assert!((fit.slope - 1.9).abs() < 1e-9, "{fit:?}");
    assert!(fit.intercept.abs() < 1e-9, "{fit:?}");
    let half = 4.302_653 * (0.7 / 2.0 / 5.0_f64).sqrt();
    assert!((fit.most - fit.slope - half).abs() < 1e-4, "{fit:?}");
    assert!((fit.slope - fit.least - half).abs() < 1e-4, "{fit:?}");
}

#[test]
fn three_points_or_one_place_have_no_slope() {
    let few = points(&[(1.0, 1.0), (2.0, 2.0), (3.0, 3.0)]);
    assert_eq!(Slope::fit("y", "x", &few), None);
    let one_place = points(&[(2.0, 1.0), (2.0, 2.0), (2.0, 3.0), (2.0, 4.0)]);
    assert_eq!(Slope::fit("y", "x", &one_place), None);
}

#[test]
fn the_use_of_a_process_rises_with_what_it_does() {
    let before = Usage::of(std::process::id()).expect("it runs");
    let began = Instant::now();
    let mut sum = 0_u64;
    while began.elapsed() < Duration::from_millis(500) {
        sum = std::hint::black_box(sum.wrapping_mul(31).wrapping_add(1));
    }
    let after = Usage::of(std::process::id()).expect("it runs");
    assert!(after.processor_s() > before.processor_s(), "{after:?}");
    assert!(
        after.resident_kb > 100 && after.descriptors >= 3,
        "{after:?}"
    );
    assert!(Usage::of(u32::MAX).is_err(), "nobody has that id");
}

fn rules() -> PeersSettings {
    PeersSettings::sharing_all(
        TimeSpan::from_millis(5),
        TimeSpan::from_secs(10),
        TimeSpan::from_secs(3),
    )
}

/// What is read is what the core writes, so that another wording there is noticed here.
#[test]
fn the_words_of_a_core_about_itself_are_read() {
    let address = Address {
        ip: [127, 0, 0, 1],
        port: 1,
    };
    let own = OwnMember {
        id: PeerId(1),
        address,
        boot_id: BootId(1),
        seeds: Vec::new(),
        topology: None,
    };
    let now = Timestamp(1_000_000_000);
    let core = Peers::new(now, own, rules(), 1);
    let read = standing(&core.status_text(now)).expect("it is understood");
    assert_eq!((read.word.as_str(), read.alive), ("alone", 0));
    assert_eq!((read.messages_in, read.messages_out), (0, 0));
    assert_eq!(standing("no such words"), None);
}

#[test]
fn a_worker_ends_with_its_input() {
    let addresses = free_datagram_addresses(2).expect("addresses");
    let hollow = |(nth, &address)| Hollow {
        name: format!("hollow{nth}"),
        address,
        life: 1,
    };
    let known: Vec<Hollow> = addresses.iter().enumerate().map(hollow).collect();
    let order = Order {
        own: known.clone(),
        known,
        seeds: addresses,
        sites: Vec::new(),
        watched: Vec::new(),
        keep_s: 10.0,
        wait_ms: 5.0,
        purges_last_s: 3.0,
    };
    let mut child = Command::new(env!("CARGO_BIN_EXE_hollow-members"))
        .stdin(Stdio::piped())
        .stdout(Stdio::null())
        .spawn()
        .expect("it starts");
    let mut input = child.stdin.take().expect("its input");
    let order = serde_json::to_string(&order).expect("an order");
    writeln!(input, "{order}").expect("it reads");
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(child.try_wait().expect("a child"), None, "it serves");
    drop(input);
    let until = Instant::now() + Duration::from_secs(10);
    let mut ended = None;
    while ended.is_none() && Instant::now() < until {
        ended = child.try_wait().expect("a child");
        std::thread::sleep(Duration::from_millis(10));
    }
    if ended.is_none() {
        child.kill().expect("it is killed");
        child.wait().expect("it is gone");
    }
    assert!(ended.is_some_and(|status| status.success()), "{ended:?}");
}

#[test]
fn the_cost_of_a_message_is_taken_over_real_messages() {
    let cost = measure(24, 1).expect("it is measured");
    // Two virtual minutes: some twenty messages a second, whatever the size.
    assert!((1_000..4_000).contains(&cost.messages), "{cost:?}");
    assert!(cost.heard_us > 0.0 && cost.advance_us > 0.0, "{cost:?}");
    assert!(cost.send_us > 0.0 && cost.receive_us > 0.0, "{cost:?}");
    assert!(cost.member_change_us > cost.heard_us, "{cost:?}");
}

#[test]
fn a_plan_that_does_not_fit_names_its_argument() {
    let fits = Plan {
        members: vec![60],
        real: 8,
        zones: 0,
        workers: 4,
        processes: 100,
        loaded: 16,
        rates: vec![10, 20, 40, 80],
        purges: vec![2, 5, 10, 20],
        seconds: 20,
        settle_s: 60,
        keep_s: 10.0,
        seed: 1,
    };
    assert_eq!(fits.check(), Ok(()));
    type Change = fn(&mut Plan);
    let cases: [(&str, Change); 8] = [
        ("members", |plan| plan.members = vec![60, 8]),
        ("members", |plan| plan.members = vec![1_025]),
        ("real", |plan| plan.real = 17),
        ("workers", |plan| plan.workers = 0),
        ("processes", |plan| plan.processes = 201),
        ("loaded", |plan| plan.loaded = 1),
        ("rates", |plan| plan.rates.push(501)),
        ("seconds", |plan| plan.seconds = 0),
    ];
    for (argument, change) in cases {
        let mut plan = fits.clone();
        change(&mut plan);
        let unfit = plan.check().expect_err(argument);
        assert_eq!(unfit.argument, argument, "{unfit}");
    }
}
