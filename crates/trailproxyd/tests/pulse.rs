//! What is found behind a silence of the process may be as old as the silence.

use std::time::Duration;
use tokio::time::Instant;
use trailproxyd::pulse::Pulse;

const MS: Duration = Duration::from_millis(1);

#[test]
fn what_is_found_behind_a_silence_may_be_as_old_as_it() {
    let (pulse, start) = (Pulse::default(), Instant::now());
    pulse.beat(start);
    pulse.beat(start + 20 * MS);
    assert_eq!(pulse.silence_before(start + 20 * MS), None);
    pulse.beat(start + 520 * MS);
    let silence = pulse.silence_before(start + 521 * MS).expect("a silence");
    assert_eq!(silence.began, start + 20 * MS);
    assert_eq!(pulse.silence_before(start + 720 * MS), None);
}

#[test]
fn a_silence_close_behind_another_is_one_with_it() {
    let (pulse, start) = (Pulse::default(), Instant::now());
    pulse.beat(start);
    pulse.beat(start + 500 * MS);
    // On a busy machine one task is run, and the next much later.
    pulse.beat(start + 580 * MS);
    let silence = pulse.silence_before(start + 590 * MS).expect("a silence");
    assert_eq!(silence.began, start);
}
