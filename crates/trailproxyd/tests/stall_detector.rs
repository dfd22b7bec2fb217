//! Tests of the stall detector: what is found after a stall may be as old as the start of the stall.

use std::time::Duration;
use tokio::time::Instant;
use trailproxyd::stall_detector::StallDetector;

const MS: Duration = Duration::from_millis(1);

/// Guards against taking the time of reading for the time of arrival after the process was stopped.
#[test]
fn a_stall_is_reported_only_shortly_after_it_ended() {
    let (detector, start) = (StallDetector::default(), Instant::now());
    detector.record_activity(start);
    detector.record_activity(start + 20 * MS);
    assert_eq!(detector.recent_stall(start + 20 * MS), None);
    detector.record_activity(start + 520 * MS);
    let stall = detector.recent_stall(start + 521 * MS).expect("a stall");
    assert_eq!(stall.began, start + 20 * MS);
    assert_eq!(detector.recent_stall(start + 720 * MS), None);
}

/// Two stalls in quick succession count as one, so that what arrived in the first is not dated too late.
#[test]
fn a_stall_close_behind_another_extends_it() {
    let (detector, start) = (StallDetector::default(), Instant::now());
    detector.record_activity(start);
    detector.record_activity(start + 500 * MS);
    // On a busy machine one task is run, and the next much later.
    detector.record_activity(start + 580 * MS);
    let stall = detector.recent_stall(start + 590 * MS).expect("a stall");
    assert_eq!(stall.began, start);
}
