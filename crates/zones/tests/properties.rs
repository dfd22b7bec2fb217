//! Properties of budgets, accounts and merged reports under random input.

use proptest::prelude::*;
use trailproxy::units::*;
use trailproxy_zones::decide::account::{Account, AccountKey, Cause, Tier, Transfer};
use trailproxy_zones::decide::budget::{BucketKind, Budget, Limit, Priority};
use trailproxy_zones::decide::merge::merge;
use trailproxy_zones::report::{Report, ReportLine};

fn at(us: u64) -> Timestamp {
    Timestamp(1_000_000_000 + us)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]
    /// Over any time, no more is sent than rate and burst, one large object, and the corrections allow.
    #[test]
    fn a_budget_is_never_exceeded_by_more_than_its_burst_and_one_object(
        steps in prop::collection::vec((0u64..200_000, 1.0f64..400.0, any::<bool>()), 1..400),
        reserve in 0.0f64..0.9,
        dispatchers in 1u32..50,
        seed in any::<u64>(),
    ) {
        let (rate, burst) = (2_000.0, 500.0);
        let limit = Limit {
            name: "l".into(), from: None, to: ZoneId(0), kb_per_s: rate, burst_kb: burst, reserve, learned: None,
        };
        let mut rng = fastrand::Rng::with_seed(seed);
        let n = f64::from(dispatchers);
        let mut budget = Budget::new(limit, n, at(0), &mut rng);
        let (mut now, mut sent) = (0u64, 0.0);
        for (gap, kb, first) in steps {
            now += gap;
            budget.advance(at(now));
            let class = if first { Priority::First } else { Priority::Plain };
            match budget.bucket_with_room(at(now), class, kb) {
                Some(from) => {
                    budget.charge(at(now), from, kb);
                    sent += kb;
                }
                None => budget.on_refused(at(now), kb),
            }
            let may = rate / n * now as f64 / 1e6 + burst / n + 2.0 * 400.0;
            prop_assert!(sent <= may + 1e-6, "{sent} {may}");
            prop_assert!(budget.saved_kb() <= (burst / n).max(400.0) + burst / n);
        }
    }

    /// A charge that is corrected back leaves a budget unchanged.
    #[test]
    fn a_charge_given_back_is_no_charge(kb in 0.0f64..1e4, kept in any::<bool>(), seed in any::<u64>()) {
        let limit = Limit {
            name: "l".into(), from: None, to: ZoneId(0), kb_per_s: 100.0, burst_kb: 100.0, reserve: 0.5, learned: None,
        };
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut budget = Budget::new(limit, 1.0, at(0), &mut rng);
        let from = if kept { BucketKind::Reserved } else { BucketKind::Common };
        budget.charge(at(0), from, kb);
        budget.correct(from, -kb);
        prop_assert!(budget.saved_kb().abs() < 1e-6);
    }

    /// Seconds and totals of an account agree, whatever the order of transfers within its reach.
    #[test]
    fn the_seconds_of_an_account_sum_to_its_totals(
        moves in prop::collection::vec((0u64..50_000_000, 0u64..20_000_000, 0.0f64..1e4), 1..100),
    ) {
        let key = AccountKey { from: ZoneId(0), to: ZoneId(1), tier: Tier::Origin, class: ClassId(0), cause: Cause::First };
        let mut account = Account::default();
        account.advance(at(0));
        let now = at(58_000_000);
        account.advance(now);
        for &(from, long, kb) in &moves {
            let (from, until) = (at(from), at((from + long).min(57_999_999)));
            account.record(now, Transfer { key, kb, from, until });
        }
        let all: f64 = moves.iter().map(|(_, _, kb)| kb).sum();
        let seconds = account.sums_within(now, TimeSpan::from_secs(60))[&key];
        prop_assert!((seconds.kb - all).abs() < 1e-3 * all.max(1.0), "{} {all}", seconds.kb);
        prop_assert_eq!(seconds.moves, moves.len() as u64);
        prop_assert!((account.totals()[&key].kb - all).abs() < 1e-6 * all.max(1.0));
    }

    /// Lost, repeated and shuffled reports of several processes add up to the last total of each process.
    #[test]
    fn merged_reports_add_up_to_the_last_of_each_life(
        boots in prop::collection::vec(prop::collection::vec((1u64..50, 0.1f64..100.0, any::<bool>()), 1..20), 1..5),
        order in any::<u64>(),
    ) {
        let mut reports = Vec::new();
        let mut wanted = 0.0;
        for (boot, steps) in (0u64..).zip(&boots) {
            let (mut moves, mut kb, mut last) = (0, 0.0, 0.0);
            for (nth, (more, more_kb, lost)) in (1u64..).zip(steps) {
                (moves, kb) = (moves + more, kb + more_kb);
                if *lost {
                    continue;
                }
                last = kb;
                reports.push(Report {
                    dispatcher: "n".into(), boot, at_us: nth * 1_000_000,
                    lines: vec![ReportLine {
                        from: "hub".into(), to: "depot".into(), tier: "parent".into(), class: "video".into(),
                        cause: "first".into(), moves, kb,
                    }],
                    routes: vec![], budgets: vec![], refused: vec![], in_flight_kb: 0.0, left_out_kb: 0.0,
                });
            }
            wanted += last;
        }
        reports.extend(reports.clone().into_iter().take(3));
        fastrand::Rng::with_seed(order).shuffle(&mut reports);
        let merged = merge(reports, 1_000_000);
        let all: f64 = merged.rows.values().map(|total| total.kb).sum();
        prop_assert!((all - wanted).abs() < 1e-6, "{all} {wanted}");
        let slots: f64 = merged.slots.values().flat_map(|slot| slot.crossed.values()).sum();
        prop_assert!((slots - wanted).abs() < 1e-6);
    }
}
