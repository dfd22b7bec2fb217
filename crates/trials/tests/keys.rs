//! The count of what is asked again at the end of a trial.

use std::collections::BTreeMap;
use trailproxy::interface::{ClassSettings, Effect, RepeatGroup};
use trailproxy::units::*;
use trailproxy_lab::rules::Final;
use trailproxy_standins::shape::DAWN;
use trailproxy_trials::decide::keys::{Count, Keys};

const HOST: HostId = HostId(1);

fn at(ms: u64) -> Timestamp {
    DAWN + TimeSpan::from_millis(ms)
}

/// Requests with one key: when each was asked, whether it was sent, and when it was done.
fn count(requests: &[(u64, bool, Option<u64>)]) -> Count {
    let effect = Effect::Keyed {
        group: RepeatGroup::All,
        window: TimeSpan::from_secs(60),
    };
    let class = ClassSettings {
        effect,
        target: TimeSpan::from_secs(1),
        target_stretch: 0.0,
        fresh_for: None,
        stale_grace: TimeSpan::ZERO,
        is_write: true,
    };
    let mut keys = Keys::new(vec![class], BTreeMap::new(), TimeSpan::ZERO);
    for (index, &(asked_ms, sent, done_ms)) in requests.iter().enumerate() {
        let id = RequestId(index as u64);
        keys.on_request(at(asked_ms), id, "key", ClassId(0), index);
        if sent {
            keys.on_attempt_sent(at(asked_ms), id, 0, HOST);
        }
        if let Some(done_ms) = done_ms {
            keys.on_answer(at(done_ms), id, Some(Final::Done));
        }
    }
    keys.count(at(1_000))
}

#[test]
fn a_done_key_that_is_sent_again_at_the_end_is_unknown() {
    let count = count(&[(100, true, Some(200)), (1_500, true, Some(1_600))]);
    assert_eq!((count.asked_at_end, count.unknown_at_end), (1, 1));
    assert_eq!((count.open_at_end, count.unknown_stories.len()), (0, 1));
}

#[test]
fn a_done_key_that_is_answered_at_the_end_is_known() {
    let count = count(&[(100, true, Some(200)), (1_500, false, Some(1_501))]);
    assert_eq!((count.asked_at_end, count.unknown_at_end), (1, 0));
}

/// Guards against a client that comes again after the end because its request was refused, and is counted as if it had
/// been done before.
#[test]
fn a_key_that_was_never_done_is_not_unknown_at_the_end() {
    let refused_before = count(&[(900, false, None), (1_500, true, Some(1_600))]);
    assert_eq!(
        (refused_before.asked_at_end, refused_before.unknown_at_end),
        (0, 0)
    );
    assert_eq!(refused_before.open_at_end, 1);
}

/// The answer to the first request comes after the second request was sent: nobody was owed a record yet.
#[test]
fn a_key_that_is_done_only_later_is_not_unknown_at_the_end() {
    let done_later = count(&[(900, true, Some(1_550)), (1_500, true, None)]);
    assert_eq!((done_later.asked_at_end, done_later.open_at_end), (0, 1));
}
