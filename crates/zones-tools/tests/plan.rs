//! The planner compared with plans that can be calculated by hand, and with a simple search.

use proptest::prelude::*;
use trailproxy_zones_tools::decide::plan::{
    Demand, MAX_SLOTS, ServiceTargets, min_link_rate, min_reserve_rate,
};

fn demand(rows: &[[f64; 2]]) -> Demand {
    Demand {
        slot_s: 1.0,
        classes: vec!["video".into(), "order".into()],
        kb: rows.iter().map(|row| row.to_vec()).collect(),
    }
}

fn targets(video: f64, order: f64, burst_kb: f64) -> ServiceTargets {
    ServiceTargets {
        service: vec![video, order],
        burst_kb,
    }
}

#[test]
fn all_that_is_asked_for_needs_the_peak_and_a_burst_takes_its_tip() {
    let rows = [[100.0, 10.0], [300.0, 10.0], [100.0, 10.0]];
    let plan = min_link_rate(&demand(&rows), &targets(1.0, 1.0, 0.0)).expect("a plan");
    assert!((plan.kb_per_s - 310.0).abs() < 0.01, "{plan:?}");
    assert_eq!(plan.binding_slots, vec![1]);
    let plan = min_link_rate(&demand(&rows), &targets(1.0, 1.0, 100.0)).expect("a plan");
    assert!((plan.kb_per_s - 210.0).abs() < 0.01, "{plan:?}");
}

#[test]
fn a_part_of_the_videos_may_be_left_out_and_then_they_bind() {
    let rows = [[100.0, 10.0], [300.0, 10.0], [100.0, 10.0]];
    let plan = min_link_rate(&demand(&rows), &targets(0.8, 1.0, 0.0)).expect("a plan");
    // 400 of 500 KB of videos: 100, 200 and 100.
    assert!((plan.kb_per_s - 210.0).abs() < 0.01, "{plan:?}");
    assert!(plan.binding_classes.contains(&"video".to_owned()));
    assert!((plan.service["video"] - 0.8).abs() < 1e-3 && plan.service["order"] > 0.999);
}

#[test]
fn the_reserve_is_planned_for_orders_alone() {
    let rows = [[1_000.0, 10.0], [1_000.0, 40.0]];
    let plan = min_reserve_rate(&demand(&rows), &targets(0.5, 1.0, 500.0), &["order".into()])
        .expect("a plan");
    assert!((plan.kb_per_s - 40.0).abs() < 0.01, "{plan:?}");
}

#[test]
fn what_can_t_be_planned_is_refused_in_words() {
    let none = min_link_rate(&demand(&[]), &targets(1.0, 1.0, 0.0));
    assert!(none.is_err_and(|why| why.contains("no demand")));
    let long = vec![[1.0, 1.0]; MAX_SLOTS + 1];
    let long = min_link_rate(&demand(&long), &targets(1.0, 1.0, 0.0));
    assert!(long.is_err_and(|why| why.contains("wider")));
    let odd = ServiceTargets {
        service: vec![1.0],
        burst_kb: 0.0,
    };
    assert!(min_link_rate(&demand(&[[1.0, 1.0]]), &odd).is_err());
}

/// Whether a rate meets the target when each slot is filled as far as possible; one class, so that the order does not matter.
fn meets_target(kb: &[f64], rate: f64, service: f64, burst: f64) -> bool {
    let (mut saved, mut total) = (burst, 0.0);
    for asked in kb {
        let available = saved + rate;
        let carried = asked.min(available);
        total += carried;
        saved = (available - carried).min(burst);
    }
    total >= service * kb.iter().sum::<f64>() - 1e-3
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, cases: 64, ..ProptestConfig::default() })]

    /// With one class the smallest rate is also found by bisection.
    #[test]
    fn the_solver_agrees_with_a_plain_search(
        kb in prop::collection::vec(1.0f64..1_000.0, 1..30), service in 0.1f64..1.0, burst in 0.0f64..500.0,
    ) {
        let rows: Vec<[f64; 2]> = kb.iter().map(|kb| [*kb, 0.0]).collect();
        let plan = min_link_rate(&demand(&rows), &targets(service, 1.0, burst)).expect("a plan");
        let (mut low, mut high) = (0.0, 2_000.0);
        for _ in 0..60 {
            let middle = (low + high) / 2.0;
            if meets_target(&kb, middle, service, burst) { high = middle } else { low = middle }
        }
        prop_assert!((plan.kb_per_s - high).abs() < 0.01 * high.max(1.0) + 0.05, "{} {high}", plan.kb_per_s);
    }
}
