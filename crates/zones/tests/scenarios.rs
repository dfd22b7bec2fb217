//! One scenario for each difficult case of the account, the budgets and the detection of rises.

use trailproxy::interface::*;
use trailproxy::units::*;
use trailproxy_zones::decide::account::{
    Account, AccountKey, Cause, RETAINED_SECONDS, Tier, Transfer,
};
use trailproxy_zones::decide::budget::{self, Budget, Limit, Priority, RateLearner};
use trailproxy_zones::decide::rise::Reason;
use trailproxy_zones::decide::{Rules, Zones};

const HUB: ZoneId = ZoneId(0);
const DEPOT: ZoneId = ZoneId(1);
const VIDEO: ClassId = ClassId(0);
const ORDER: ClassId = ClassId(1);
const CACHES: [HostId; 2] = [HostId(11), HostId(12)];
const PARENT: HostId = HostId(21);
const ORIGIN: HostId = HostId(31);

fn at(ms: u64) -> Timestamp {
    Timestamp(1_000_000_000 + ms * 1_000)
}

fn limit(kb_per_s: f64, burst_kb: f64, reserve: f64) -> Limit {
    Limit {
        name: "link".into(),
        from: None,
        to: DEPOT,
        kb_per_s,
        burst_kb,
        reserve,
        learned: None,
    }
}

fn rules(limits: Vec<Limit>) -> Rules {
    Rules {
        limits,
        ..Rules::default()
    }
}

fn settings(dispatchers: u32) -> DispatcherSettings {
    let video = ClassSettings {
        target: TimeSpan::from_millis(400),
        target_stretch: 2.0,
        effect: Effect::Idempotent,
        fresh_for: None,
        stale_grace: TimeSpan::ZERO,
        is_write: false,
    };
    let order = ClassSettings {
        effect: Effect::NonIdempotent,
        is_write: true,
        ..video.clone()
    };
    let slow_start = SlowStart {
        initial_capacity: 0.25,
        duration: TimeSpan::from_secs(10),
        overload_factor: 2.0,
        overload_window: TimeSpan::from_secs(1),
        shared_by: None,
    };
    DispatcherSettings {
        zone: DEPOT,
        dispatchers,
        dispatchers_by_zone: vec![0, dispatchers],
        parent_kind: Some(KindId(1)),
        origin_kind: Some(KindId(2)),
        classes: vec![video, order],
        stream_kb_per_s: 1_000.0,
        link_kb_per_s: None,
        link_load_reported: false,
        capacities_reported: true,
        probes_enabled: false,
        joins_fills: true,
        allows_direct: true,
        note_level: NoteLevel::All,
        max_attempts: 6,
        may_cancel: true,
        max_retry_after: None,
        host_list_on_request: false,
        cache_slow_start: slow_start,
        parent_slow_start: slow_start,
        purge_propagation: TimeSpan::from_secs(6),
    }
}

fn entry(host: HostId, state: HostState, started: Option<Timestamp>) -> HostEntry {
    let (kind, zone) = match host.0 {
        11..=19 => (KindId(0), DEPOT),
        21..=29 => (KindId(1), HUB),
        _ => (KindId(2), HUB),
    };
    HostEntry {
        host,
        cell: CellId(0),
        zone,
        kind,
        started,
        stamp: started,
        capacity: 8.0,
        state,
    }
}

/// Zones with a host list, and attempts that the test sends itself.
struct ZonesRig {
    zones: Zones,
    next: u64,
}

impl ZonesRig {
    fn new(rules: Rules, dispatchers: u32) -> ZonesRig {
        let mut zones = Zones::new(&settings(dispatchers), rules, 7);
        let hosts = [CACHES[0], CACHES[1], PARENT, ORIGIN];
        let entries = hosts
            .map(|host| entry(host, HostState::Ready, None))
            .to_vec();
        let kind = HostListKind::Full;
        zones.on_event(at(0), &Event::HostList { kind, entries });
        ZonesRig { zones, next: 0 }
    }

    fn crossing(&mut self, class: ClassId, object: u64, kb: f64) -> Crossing {
        self.next += 1;
        let arrival = Arrival {
            id: RequestId(self.next),
            time_left: TimeSpan::from_secs(3),
            class,
            object: ObjectId(object),
            group: GroupId((object % 8) as u32),
            part: 0,
            size_kb: Some(kb),
        };
        let source = if class == ORDER { ORIGIN } else { PARENT };
        Crossing {
            arrival,
            attempt: AttemptNo(0),
            host: CACHES[(object % 2) as usize],
            source,
            from: HUB,
            to: DEPOT,
            kb,
            join: true,
        }
    }

    fn end(
        &mut self,
        crossing: &Crossing,
        ms: u64,
        elapsed_ms: u64,
        ending: Ending,
        note: Note,
        received_kb: Option<f64>,
    ) {
        let outcome = Outcome {
            id: crossing.arrival.id,
            attempt: crossing.attempt,
            ending,
            elapsed: TimeSpan::from_millis(elapsed_ms),
            request_closed: ending == Ending::Done,
            note,
            first_byte_latency: None,
            load: Load::default(),
            client_proven: true,
            received_kb,
        };
        self.zones.on_event(at(ms), &Event::Outcome(outcome));
    }

    /// A request that is sent at once and succeeds.
    fn play(&mut self, ms: u64, object: u64, kb: f64, note: Note) -> Crossing {
        let crossing = self.crossing(VIDEO, object, kb);
        self.zones.on_sent(at(ms), &crossing);
        self.end(&crossing, ms + 50, 50, Ending::Done, note, Some(kb));
        crossing
    }

    fn booked(&self, cause: Cause) -> f64 {
        let of = self.zones.account().totals().iter();
        of.filter(|(key, _)| key.cause == cause)
            .map(|(_, sum)| sum.kb)
            .sum()
    }
}

fn rng() -> fastrand::Rng {
    fastrand::Rng::with_seed(3)
}

#[test]
fn an_order_passes_while_the_budget_is_exactly_spent_and_a_video_does_not() {
    let mut desk = ZonesRig::new(rules(vec![limit(1_000.0, 400.0, 0.25)]), 1);
    desk.zones.advance(at(10_000));
    let mut sent = 0;
    loop {
        let video = desk.crossing(VIDEO, 100 + sent, 100.0);
        if !desk.zones.has_room(at(10_000), &video) {
            break;
        }
        desk.zones.on_sent(at(10_000), &video);
        sent += 1;
    }
    assert!((1..=8).contains(&sent), "{sent}");
    let (order, video) = (desk.crossing(ORDER, 1, 4.0), desk.crossing(VIDEO, 2, 100.0));
    assert!(desk.zones.has_room(at(10_000), &order));
    assert!(!desk.zones.has_room(at(10_000), &video));
    assert!(desk.zones.retry_after(at(10_000), VIDEO).is_some());
    assert_eq!(desk.zones.retry_after(at(10_000), ORDER), None);
}

#[test]
fn orders_alone_are_held_to_the_budget_in_the_end() {
    let mut desk = ZonesRig::new(rules(vec![limit(100.0, 40.0, 0.5)]), 1);
    let mut kb = 0.0;
    for ms in 0..10_000 {
        let order = desk.crossing(ORDER, ms, 4.0);
        if desk.zones.has_room(at(ms), &order) {
            desk.zones.on_sent(at(ms), &order);
            kb += 4.0;
        }
    }
    assert!((900.0..=1_080.0).contains(&kb), "{kb}");
}

#[test]
fn nothing_is_turned_away_while_the_link_is_free() {
    let mut desk = ZonesRig::new(rules(vec![limit(10_000.0, 2_000.0, 0.2)]), 1);
    for n in 0..500 {
        let video = desk.crossing(VIDEO, n, 100.0);
        // 5 MB a second are requested, 10 MB a second are available.
        assert!(
            desk.zones.has_room(at(2_000 + n * 20), &video),
            "access {n}"
        );
        desk.zones.on_sent(at(2_000 + n * 20), &video);
        desk.end(
            &video,
            2_000 + n * 20 + 15,
            15,
            Ending::Done,
            Note::Filled,
            Some(100.0),
        );
    }
}

#[test]
fn a_large_video_waits_its_turn_and_gets_it_though_it_exceeds_a_share_of_the_burst() {
    let mut rng = rng();
    let mut budget = Budget::new(limit(1_000.0, 100.0, 0.1), 10.0, at(0), &mut rng);
    let mut first = None;
    for ms in (0..60_000).step_by(100) {
        budget.advance(at(ms));
        match budget.bucket_with_room(at(ms), Priority::Plain, 2_000.0) {
            None => budget.on_refused(at(ms), 2_000.0),
            Some(from) => {
                budget.charge(at(ms), from, 2_000.0);
                first.get_or_insert(ms);
            }
        }
    }
    // A share of 100 KB a second saves 2 MB in 20 s at most.
    assert!(first.is_some_and(|ms| ms <= 23_000), "{first:?}");
}

#[test]
fn small_reads_go_on_while_a_large_one_is_owed() {
    let mut rng = rng();
    let mut budget = Budget::new(limit(1_000.0, 400.0, 0.0), 1.0, at(0), &mut rng);
    budget.advance(at(1_000));
    budget.charge(at(1_000), budget::BucketKind::Common, 1_000.0);
    assert!(budget.saved_kb() < 0.0, "{}", budget.saved_kb());
    assert!(
        budget
            .bucket_with_room(at(1_000), Priority::Plain, 5.0)
            .is_some()
    );
    assert!(
        budget
            .bucket_with_room(at(1_000), Priority::Plain, 500.0)
            .is_none()
    );
}

#[test]
fn hundreds_of_dispatchers_below_one_fill_a_second_send_the_burst_and_then_the_rate() {
    let (n, mut rng) = (250, rng());
    let shared = limit(36_000.0, 9_000.0, 0.0);
    let mut all: Vec<Budget> = (0..n)
        .map(|_| Budget::new(shared.clone(), f64::from(n), at(0), &mut rng))
        .collect();
    all.iter_mut().for_each(|budget| budget.advance(at(60_000)));
    let mut seconds = [0.0; 20];
    for ms in (60_000..80_000).step_by(50) {
        for budget in &mut all {
            budget.advance(at(ms));
            match budget.bucket_with_room(at(ms), Priority::Plain, 250.0) {
                None => budget.on_refused(at(ms), 250.0),
                Some(from) => {
                    budget.charge(at(ms), from, 250.0);
                    seconds[(ms as usize - 60_000) / 1_000] += 250.0;
                }
            }
        }
    }
    let one = 36_000.0 * 1.1 + 9_000.0;
    assert!(seconds.iter().all(|kb| *kb <= one), "{seconds:?}");
    let mut tens = seconds.windows(10).map(|ten| ten.iter().sum::<f64>());
    assert!(
        tens.all(|kb| kb <= 360_000.0 * 1.02 + 9_000.0),
        "{seconds:?}"
    );
    let all: f64 = seconds[1..].iter().sum();
    assert!((all / 19.0 - 36_000.0).abs() < 1_500.0, "{all}");
}

#[test]
fn when_half_of_the_dispatchers_die_the_others_stay_within_the_budget() {
    let (n, mut rng) = (40, rng());
    let mut sum = 0.0;
    for _ in 0..n / 2 {
        let mut budget = Budget::new(limit(4_000.0, 400.0, 0.2), f64::from(n), at(0), &mut rng);
        for ms in (0..10_000).step_by(20) {
            budget.advance(at(ms));
            match budget.bucket_with_room(at(ms), Priority::Plain, 50.0) {
                None => budget.on_refused(at(ms), 50.0),
                Some(from) => {
                    budget.charge(at(ms), from, 50.0);
                    sum += 50.0;
                }
            }
        }
    }
    assert!((19_000.0..=21_500.0).contains(&sum), "{sum}");
}

#[test]
fn a_learned_rate_falls_when_fills_slow_down_and_rises_while_some_are_turned_away() {
    let mut learner = RateLearner::default();
    let between = (100.0, 10_000.0);
    learner.on_fill(100.0, TimeSpan::from_millis(50));
    learner.on_refused();
    let risen = learner.step(at(1_000), 1_000.0, between);
    assert_eq!(risen, Some(1_050.0));
    learner.on_fill(100.0, TimeSpan::from_millis(200));
    let fallen = learner.step(at(2_000), 1_050.0, between);
    assert!(fallen.is_some_and(|rate| rate < 1_000.0), "{fallen:?}");
    assert_eq!(learner.step(at(3_000), 150.0, between), Some(150.0));
    assert_eq!(learner.step(at(3_100), 150.0, between), None);
}

#[test]
fn a_learned_budget_rises_while_it_turns_accesses_away() {
    let learned = Limit {
        learned: Some((100.0, 10_000.0)),
        ..limit(100.0, 50.0, 0.0)
    };
    let mut desk = ZonesRig::new(rules(vec![learned]), 1);
    for ms in (0..30_000).step_by(100) {
        let video = desk.crossing(VIDEO, ms, 100.0);
        if desk.zones.has_room(at(ms), &video) {
            desk.zones.on_sent(at(ms), &video);
            desk.end(&video, ms + 20, 20, Ending::Done, Note::Filled, Some(100.0));
        }
        desk.zones.advance(at(ms));
    }
    let rate = desk.zones.budgets()[0].rate();
    assert!(rate > 200.0, "{rate}");
}

#[test]
fn a_budget_lowered_below_what_is_under_way_keeps_the_debt_and_the_counts() {
    let mut desk = ZonesRig::new(rules(vec![limit(10_000.0, 4_000.0, 0.2)]), 1);
    desk.zones.advance(at(5_000));
    let ways: Vec<Crossing> = (0..5).map(|n| desk.crossing(VIDEO, n, 300.0)).collect();
    ways.iter()
        .for_each(|crossing| desk.zones.on_sent(at(5_000), crossing));
    desk.zones
        .apply_rules(at(5_001), rules(vec![limit(100.0, 50.0, 0.2)]));
    for crossing in &ways {
        desk.end(crossing, 5_050, 50, Ending::Done, Note::Filled, Some(300.0));
    }
    assert_eq!(desk.booked(Cause::First), 1_500.0);
    let next = desk.crossing(VIDEO, 50, 300.0);
    assert!(!desk.zones.has_room(at(5_060), &next));
    let owed = desk.zones.budgets()[0].saved_kb();
    assert!(owed < 0.0, "{owed}");
}

#[test]
fn a_rule_that_goes_lets_what_is_under_way_end_free_of_it() {
    let mut desk = ZonesRig::new(rules(vec![limit(1_000.0, 400.0, 0.2)]), 1);
    let crossing = desk.crossing(VIDEO, 1, 100.0);
    desk.zones.on_sent(at(0), &crossing);
    desk.zones.apply_rules(at(1), rules(Vec::new()));
    desk.end(&crossing, 50, 50, Ending::Done, Note::Filled, Some(100.0));
    assert_eq!(desk.booked(Cause::First), 100.0);
    let next = desk.crossing(VIDEO, 2, 1e9);
    assert!(desk.zones.has_room(at(60), &next));
}

#[test]
fn each_cause_is_told_apart() {
    let mut desk = ZonesRig::new(rules(Vec::new()), 1);
    desk.play(0, 2, 10.0, Note::Filled);
    assert_eq!(desk.booked(Cause::First), 10.0);
    // Seen before and no longer held, for no known reason.
    desk.play(100, 2, 10.0, Note::Filled);
    assert_eq!(desk.booked(Cause::Unknown), 10.0);
    let purge = Event::Purged {
        object: None,
        group: GroupId(2),
        age: TimeSpan::ZERO,
        stamp: None,
    };
    desk.zones.on_event(at(200), &purge);
    desk.play(210, 2, 10.0, Note::Filled);
    assert_eq!(desk.booked(Cause::Purge), 10.0);
    let kind = HostListKind::Delta;
    let entries = vec![entry(CACHES[0], HostState::Ready, Some(at(300)))];
    desk.zones
        .on_event(at(310), &Event::HostList { kind, entries });
    desk.play(320, 2, 10.0, Note::Filled);
    assert_eq!(desk.booked(Cause::HostLost), 10.0);
    let order = desk.crossing(ORDER, 9, 4.0);
    desk.zones.on_sent(at(400), &order);
    desk.end(&order, 450, 50, Ending::Done, Note::NotReported, None);
    assert_eq!(desk.booked(Cause::Written), 4.0);
    let straight = Crossing {
        host: PARENT,
        ..desk.crossing(VIDEO, 77, 20.0)
    };
    desk.zones.on_sent(at(500), &straight);
    desk.end(&straight, 550, 50, Ending::Done, Note::Hit, Some(20.0));
    assert_eq!(desk.booked(Cause::Straight), 20.0);
}

#[test]
fn hits_and_joined_fills_cross_nothing_and_an_error_does_not_either() {
    let mut desk = ZonesRig::new(rules(Vec::new()), 1);
    desk.play(0, 1, 10.0, Note::Hit);
    desk.play(10, 1, 10.0, Note::Joined);
    let crossing = desk.crossing(VIDEO, 1, 10.0);
    desk.zones.on_sent(at(20), &crossing);
    desk.end(&crossing, 30, 10, Ending::Error, Note::SourceLost, None);
    assert!(desk.zones.account().totals().is_empty());
}

#[test]
fn a_fill_whose_client_left_counts_as_waste() {
    let mut desk = ZonesRig::new(rules(Vec::new()), 1);
    let crossing = desk.crossing(VIDEO, 1, 100.0);
    desk.zones.on_sent(at(0), &crossing);
    desk.zones.on_event(
        at(10),
        &Event::ClientGone {
            id: crossing.arrival.id,
        },
    );
    desk.end(
        &crossing,
        20,
        20,
        Ending::Cancelled,
        Note::NotReported,
        None,
    );
    assert!(desk.booked(Cause::Waste) > 50.0);
    assert_eq!(desk.booked(Cause::First), 0.0);
}

#[test]
fn a_size_told_falsely_is_paid_for_when_it_has_come() {
    let mut desk = ZonesRig::new(rules(vec![limit(1_000.0, 400.0, 0.0)]), 1);
    desk.zones.advance(at(5_000));
    let before = desk.zones.budgets()[0].saved_kb();
    let crossing = desk.crossing(VIDEO, 1, 0.001);
    desk.zones.on_sent(at(5_000), &crossing);
    desk.end(&crossing, 5_000, 0, Ending::Done, Note::Filled, Some(900.0));
    assert_eq!(desk.booked(Cause::First), 900.0);
    let after = desk.zones.budgets()[0].saved_kb();
    assert!((before - after - 900.0).abs() < 1.0, "{before} {after}");
    for kb in [f64::NAN, f64::INFINITY, -5.0] {
        let odd = desk.crossing(VIDEO, 2, kb);
        desk.zones.has_room(at(5_001), &odd);
        desk.zones.on_sent(at(5_001), &odd);
        desk.end(&odd, 5_002, 1, Ending::Error, Note::NotReported, None);
    }
    assert!(desk.zones.budgets()[0].saved_kb().is_finite());
}

#[test]
fn a_clock_that_jumps_neither_stops_the_budget_nor_floods_it() {
    let mut rng = rng();
    let mut budget = Budget::new(limit(1_000.0, 400.0, 0.25), 1.0, at(0), &mut rng);
    budget.advance(at(3_600_000));
    let saved = budget.saved_kb();
    assert!(saved <= 400.0, "{saved}");
    budget.advance(at(0));
    assert!(budget.saved_kb() <= saved);
    budget.charge(at(0), budget::BucketKind::Common, 300.0);
    let owed = budget.saved_kb();
    budget.advance(at(100));
    assert!(budget.saved_kb() > owed + 50.0);
}

#[test]
fn the_account_spreads_a_fill_over_the_seconds_in_which_it_ran() {
    let mut account = Account::default();
    let key = AccountKey {
        from: HUB,
        to: DEPOT,
        tier: Tier::Parent,
        class: VIDEO,
        cause: Cause::First,
    };
    account.advance(at(0));
    account.advance(at(4_000));
    let (from, until) = (at(500), at(3_500));
    account.record(
        at(4_000),
        Transfer {
            key,
            kb: 300.0,
            from,
            until,
        },
    );
    let second = account.sums_within(at(4_000), TimeSpan::from_secs(1));
    assert!((second[&key].kb - 50.0).abs() < 1e-6, "{second:?}");
    let four = account.sums_within(at(4_000), TimeSpan::from_secs(10));
    assert!((four[&key].kb - 300.0).abs() < 1e-6, "{four:?}");
    // When the clock goes back, transfers count in the newest second; when it leaps, seconds are dropped but no totals.
    account.record(
        at(1_000),
        Transfer {
            key,
            kb: 5.0,
            from,
            until,
        },
    );
    account.advance(at(4_000 + RETAINED_SECONDS * 2_000));
    assert!(
        account
            .sums_within(
                at(4_000 + RETAINED_SECONDS * 2_000),
                TimeSpan::from_secs(60)
            )
            .is_empty()
    );
    assert_eq!(account.totals()[&key].kb, 305.0);
}

#[test]
fn a_link_spent_on_one_way_leaves_another_way_open() {
    let pair = Limit {
        name: "pair".into(),
        from: Some(HUB),
        ..limit(10.0, 10.0, 0.0)
    };
    let mut desk = ZonesRig::new(rules(vec![pair]), 1);
    let crossing = desk.crossing(VIDEO, 1, 500.0);
    desk.zones.on_sent(at(0), &crossing);
    let crossing = desk.crossing(VIDEO, 3, 500.0);
    assert!(!desk.zones.has_room(at(1), &crossing));
    let dearer = Crossing {
        from: ZoneId(2),
        ..crossing
    };
    assert!(desk.zones.has_room(at(1), &dearer));
}

/// Thirty objects a second, mostly hits; after ten seconds a fault begins.
fn rise(fault: impl Fn(&mut ZonesRig, u64, u64)) -> Vec<(u64, Reason)> {
    let mut desk = ZonesRig::new(rules(Vec::new()), 1);
    let mut told = Vec::new();
    for ms in (0..70_000u64).step_by(50) {
        let n = ms / 50;
        let note = if n % 5 == 0 { Note::Filled } else { Note::Hit };
        let object = if n % 5 == 0 { 10_000 + n } else { n % 40 };
        desk.play(ms, object, 50.0 + (n % 7) as f64, note);
        if ms >= 60_000 {
            fault(&mut desk, ms, n);
        }
        let rises = desk.zones.advance(at(ms));
        told.extend(
            rises
                .into_iter()
                .filter(|rise| rise.begins)
                .map(|rise| (ms, rise.reason)),
        );
    }
    told
}

#[test]
fn an_ordinary_day_raises_no_alarm() {
    assert_eq!(rise(|_, _, _| {}), vec![]);
}

#[test]
fn a_lost_host_is_named_within_three_seconds() {
    let told = rise(|desk, ms, n| {
        if ms == 60_000 {
            let kind = HostListKind::Delta;
            let entries = vec![entry(CACHES[0], HostState::Gone, None)];
            desk.zones
                .on_event(at(ms), &Event::HostList { kind, entries });
        }
        // What it held is filled at the other cache.
        let mut crossing = desk.crossing(VIDEO, (n % 20) * 2, 50.0);
        crossing.host = CACHES[1];
        desk.zones.on_sent(at(ms), &crossing);
        desk.end(&crossing, ms, 20, Ending::Done, Note::Filled, Some(50.0));
        // Each object once: what was filled is now held there.
        let kind = HostListKind::Delta;
        let lost = entry(CACHES[1], HostState::Ready, Some(at(ms)));
        desk.zones.on_event(
            at(ms),
            &Event::HostList {
                kind,
                entries: vec![lost],
            },
        );
    });
    let (ms, reason) = told.first().expect("a rise");
    assert!(*ms <= 63_000, "{told:?}");
    assert!(
        matches!(reason, Reason::HostLost(host) if *host == CACHES[0].0 || *host == CACHES[1].0),
        "{told:?}"
    );
}

#[test]
fn a_purge_a_flood_and_an_oversized_object_are_named() {
    let purge = rise(|desk, ms, n| {
        let event = Event::Purged {
            object: None,
            group: GroupId((n % 8) as u32),
            age: TimeSpan::ZERO,
            stamp: None,
        };
        desk.zones.on_event(at(ms), &event);
        let object = n % 40;
        if object % 8 == n % 8 {
            desk.play(ms, object, 80.0, Note::Filled);
        }
    });
    assert!(
        matches!(purge.first(), Some((ms, Reason::Purge(_))) if *ms <= 63_000),
        "{purge:?}"
    );
    let flood = rise(|desk, ms, n| {
        desk.play(ms, 500_000 + n, 60.0, Note::Filled);
    });
    assert!(
        matches!(flood.first(), Some((ms, Reason::OnceOnly)) if *ms <= 63_000),
        "{flood:?}"
    );
    let large = rise(|desk, ms, n| {
        let mut crossing = desk.crossing(VIDEO, 900_001, 400.0);
        crossing.arrival.part = n as u32;
        desk.zones.on_sent(at(ms), &crossing);
        desk.end(&crossing, ms, 20, Ending::Done, Note::Filled, Some(400.0));
    });
    assert!(
        matches!(large.first(), Some((ms, Reason::Oversized(900_001))) if *ms <= 63_000),
        "{large:?}"
    );
}

#[test]
fn what_is_turned_away_is_seen_as_a_rise_too() {
    let mut desk = ZonesRig::new(rules(vec![limit(2_000.0, 500.0, 0.1)]), 1);
    let mut told = Vec::new();
    for ms in (0..70_000u64).step_by(50) {
        let n = ms / 50;
        desk.play(ms, n, 10.0, Note::Filled);
        for extra in (ms >= 60_000).then_some(0..8).into_iter().flatten() {
            let crossing = desk.crossing(VIDEO, 1_000_000 + n * 8 + extra, 100.0);
            if desk.zones.has_room(at(ms), &crossing) {
                desk.zones.on_sent(at(ms), &crossing);
                desk.end(&crossing, ms, 10, Ending::Done, Note::Filled, Some(100.0));
            }
        }
        told.extend(
            desk.zones
                .advance(at(ms))
                .into_iter()
                .filter(|rise| rise.begins)
                .map(|_| ms),
        );
    }
    assert!(
        told.first()
            .is_some_and(|ms| (60_000..=63_000).contains(ms)),
        "{told:?}"
    );
    assert!(desk.zones.refused()[0].0 > 100);
}

#[test]
fn nothing_grows_under_a_flood_of_new_objects_hosts_and_purges() {
    let mut desk = ZonesRig::new(rules(vec![limit(1e6, 1e6, 0.1)]), 1);
    for n in 0..60_000u64 {
        desk.play(n * 10, n, 1.0, Note::Filled);
        let event = Event::Purged {
            object: Some(ObjectId(n)),
            group: GroupId(0),
            age: TimeSpan::ZERO,
            stamp: None,
        };
        desk.zones.on_event(at(n * 10), &event);
        if n % 100 == 0 {
            let kind = HostListKind::Delta;
            let host = HostId(100_000 + n);
            let entries = vec![entry(host, HostState::Gone, None)];
            desk.zones
                .on_event(at(n * 10), &Event::HostList { kind, entries });
            desk.zones.advance(at(n * 10));
        }
    }
    let (in_flight, kept) = desk.zones.tracked_counts();
    assert_eq!(in_flight, 0);
    assert!(kept < 46_000, "{kept}");
}

fn part(part: f64, until: u64) -> budget::BudgetPart {
    let until = Some(at(until));
    budget::BudgetPart {
        fraction: part,
        valid_until: until,
        floor: 0.05,
    }
}

/// Charges pieces of ten KB as long as there is room, and returns the sum.
fn drain(budget: &mut Budget, now: Timestamp) -> f64 {
    let mut taken = 0.0;
    budget.advance(now);
    while let Some(from) = budget.bucket_with_room(now, Priority::Plain, 10.0) {
        budget.charge(now, from, 10.0);
        taken += 10.0;
    }
    taken
}

#[test]
fn a_part_that_has_run_out_is_the_floor_whoever_tells_it() {
    let mut rng = fastrand::Rng::with_seed(4);
    let mut budget = Budget::new(limit(1_000.0, 500.0, 0.0), 5.0, at(0), &mut rng);
    budget.set_part(at(0), Some(part(0.8, 2_000)));
    let busy: f64 = (0..20).map(|n| drain(&mut budget, at(n * 100))).sum();
    assert!(busy > 1_200.0, "{busy}");
    // No message since: the dispatcher was paused or is partitioned.
    let mut late = 0.0;
    for n in 0..40 {
        late += drain(&mut budget, at(10_000 + n * 100));
    }
    assert!(
        late < 4.0 * 50.0 + 60.0,
        "{late}: the floor's rate and burst"
    );
    budget.set_part(at(14_000), None);
    let equal: f64 = (0..40)
        .map(|n| drain(&mut budget, at(14_000 + n * 100)))
        .sum();
    assert!(equal > 600.0, "{equal}");
}

#[test]
fn parts_that_move_to_and_fro_bring_no_more_than_rate_and_burst() {
    for seed in 0..30 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let all = limit(1_000.0, 500.0, 0.1);
        let mut two: Vec<Budget> = (0..2)
            .map(|_| Budget::new(all.clone(), 2.0, at(0), &mut rng))
            .collect();
        let mut by_step = Vec::new();
        for n in 0..200 {
            let now = n * 100;
            if n % 3 == 0 {
                let first = 0.05 + 0.9 * rng.f64();
                two[0].set_part(at(now), Some(part(first, now + 5_000)));
                two[1].set_part(at(now), Some(part(1.0 - first, now + 5_000)));
            }
            by_step.push(two.iter_mut().map(|of| drain(of, at(now))).sum::<f64>());
        }
        for window in [10, 50, 100] {
            let most = by_step
                .windows(window)
                .map(|of| of.iter().sum::<f64>())
                .fold(0.0, f64::max);
            let may = window as f64 * 100.0 + 500.0;
            assert!(most <= may * 1.02, "seed {seed}: {most} of {may}");
        }
    }
}

#[test]
fn what_is_wanted_is_told_whether_it_had_room_or_not() {
    let mut desk = ZonesRig::new(rules(vec![limit(100.0, 50.0, 0.0)]), 2);
    let mut told = Vec::new();
    for n in 0..400 {
        let crossing = desk.crossing(VIDEO, n, 100.0);
        if desk.zones.has_room(at(n * 100), &crossing) {
            desk.zones.on_sent(at(n * 100), &crossing);
        }
        desk.zones.advance(at(n * 100));
        told.push(desk.zones.need(at(n * 100), "link").0);
    }
    // Ten a second of 100 KB, some of which are expected to cross: several times the rate.
    let last = told[399];
    assert!((2.0..=11.0).contains(&last), "{last}");
    assert!(
        desk.zones.need(at(60_000), "link").0 < 0.01,
        "and forgotten"
    );
    assert_eq!(desk.zones.divisible_limits().count(), 1);
}
