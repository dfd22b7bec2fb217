//! Tests of the dispatcher's decisions: one scenario for each rule, each state of the breaker and each fault.

mod harness;

use harness::*;
use trailproxy::interface::*;
use trailproxy::units::*;

/// Reads of these objects that are filled in this time.
fn fill_all(harness: &mut Harness, objects: &[u64], elapsed: TimeSpan) {
    for &object in objects {
        harness.request_and_end(object, Ending::Done, Note::Filled, elapsed);
    }
}

/// Gives the first parent a history of fast fills that is older than the breaker's window; returns 40 more of its
/// objects.
fn objects_after_fast_fills(harness: &mut Harness) -> Vec<u64> {
    let objects = harness.objects_with_parent(PARENTS[0], 1000, 70);
    fill_all(harness, &objects[..30], ms(30));
    harness.advance(TimeSpan::from_secs(11));
    objects[30..].to_vec()
}

/// Opens the breaker of the first parent by slow fills; returns 25 more of its objects.
fn open_by_slow_fills(harness: &mut Harness) -> Vec<u64> {
    let objects = objects_after_fast_fills(harness);
    fill_all(harness, &objects[..15], ms(300));
    objects[15..].to_vec()
}

#[test]
fn two_dispatchers_choose_the_same_cache_and_parent() {
    let (mut a, mut b) = (Harness::new(settings()), Harness::new(settings()));
    for object in 1..30 {
        let (x, y) = (a.request(READS, object), b.request(READS, object));
        assert_eq!(
            (a.last_attempt(x).host, a.last_source(x)),
            (b.last_attempt(y).host, b.last_source(y))
        );
        a.end_attempt(x, Ending::Done, Note::Hit, ms(10));
        b.end_attempt(y, Ending::Done, Note::Hit, ms(10));
    }
}

#[test]
fn parts_spread_over_caches_and_fill_at_one_parent() {
    let mut harness = Harness::new(settings());
    let arrive = |part| harness.request_part(READS, 5, part, Some(50.0));
    let ids: Vec<_> = (0..12).map(arrive).collect();
    let caches: std::collections::BTreeSet<_> = ids
        .iter()
        .map(|&id| harness.last_attempt(id).host)
        .collect();
    let parents: std::collections::BTreeSet<_> =
        ids.iter().map(|&id| harness.last_source(id)).collect();
    assert!(caches.len() > 1);
    assert_eq!(parents.len(), 1);
}

#[test]
fn slow_fills_open_a_parent_and_its_objects_go_to_the_next() {
    let mut harness = Harness::new(settings());
    let rest = open_by_slow_fills(&mut harness);
    let id = harness.request(READS, rest[0]);
    assert_eq!(harness.last_source(id), PARENTS[1]);
    assert_eq!(harness.log_lines, ["Parent 15 breaker open"]);
}

#[test]
fn nine_slow_fills_open_no_breaker() {
    let mut harness = Harness::new(settings());
    let objects = objects_after_fast_fills(&mut harness);
    fill_all(&mut harness, &objects[..9], ms(300));
    let id = harness.request(READS, objects[10]);
    assert_eq!(harness.last_source(id), PARENTS[0]);
}

#[test]
fn a_breaker_stays_closed_when_half_of_the_fills_fail() {
    let mut harness = Harness::new(settings());
    let objects = objects_after_fast_fills(&mut harness);
    for pair in objects[..30].chunks(2) {
        fill_all(&mut harness, &pair[..1], ms(30));
        fill_all(&mut harness, &pair[1..], ms(300));
    }
    let id = harness.request(READS, objects[35]);
    assert_eq!(harness.last_source(id), PARENTS[0]);
}

#[test]
fn an_open_parent_returns_by_one_trial_and_a_rising_share() {
    let mut harness = Harness::new(settings());
    let rest = open_by_slow_fills(&mut harness);
    harness.advance(TimeSpan::from_secs(7));
    let early = harness.request(READS, rest[0]);
    assert_eq!(harness.last_source(early), PARENTS[1], "still open");
    harness.advance(TimeSpan::from_secs(4));
    let trial = harness.request(READS, rest[1]);
    assert_eq!(harness.last_source(trial), PARENTS[0], "the trial");
    let during_trial = harness.request(READS, rest[2]);
    assert_eq!(
        harness.last_source(during_trial),
        PARENTS[1],
        "one trial only"
    );
    harness.end_attempt(trial, Ending::Done, Note::Filled, ms(40));
    let many = harness.objects_with_parent(PARENTS[0], 5000, 200);
    let share = |harness: &mut Harness| {
        let uses_parent = |&&object: &&u64| {
            let id = harness.request(READS, object);
            let uses_parent = harness.last_source(id) == PARENTS[0];
            harness.end_attempt(id, Ending::Done, Note::Hit, ms(0));
            uses_parent
        };
        many.iter().filter(uses_parent).count()
    };
    let first = share(&mut harness);
    assert!((3..25).contains(&first), "about a twentieth: {first}");
    harness.advance(ms(4100));
    let later = share(&mut harness);
    assert!((25..60).contains(&later), "about a fifth: {later}");
    harness.advance(TimeSpan::from_secs(10));
    assert_eq!(share(&mut harness), 200);
}

#[test]
fn a_failed_trial_opens_again() {
    let mut harness = Harness::new(settings());
    let rest = open_by_slow_fills(&mut harness);
    harness.advance(TimeSpan::from_secs(11));
    harness.request_and_end(rest[1], Ending::Error, Note::SourceLost, ms(40));
    let id = harness.request(READS, rest[2]);
    assert_eq!(harness.last_source(id), PARENTS[1]);
}

#[test]
fn a_trial_that_is_a_hit_leaves_the_breaker_open_for_another_trial() {
    let mut harness = Harness::new(settings());
    let rest = open_by_slow_fills(&mut harness);
    harness.advance(TimeSpan::from_secs(11));
    harness.request_and_end(rest[1], Ending::Done, Note::Hit, ms(5));
    let id = harness.request(READS, rest[2]);
    assert_eq!(harness.last_source(id), PARENTS[0]);
}

#[test]
fn a_stale_copy_is_accepted_where_all_parents_and_the_origin_are_open() {
    let mut harness = Harness::new(settings());
    for round in 0..3 {
        for (i, &parent) in PARENTS.iter().enumerate() {
            let objects = harness.objects_with_parent(parent, 3000 + round * 500 + i as u64, 1);
            let id = harness.request(READS, objects[0]);
            harness.end_attempt(id, Ending::Error, Note::SourceLost, ms(20));
            harness.end_attempt(id, Ending::Done, Note::Hit, ms(20));
        }
        let id = harness.request(ORDERS, 1);
        harness.end_attempt(id, Ending::NoConnection, Note::NotReported, ms(20));
    }
    let id = harness.request(READS, 77);
    let fill = harness.last_attempt(id).fill.expect("no fill instructions");
    assert_eq!(fill.source, harness.last_attempt(id).host, "no fill");
    assert_eq!(fill.max_age, Some(TimeSpan::from_secs(28)));
    harness.end_attempt(id, Ending::Miss, Note::NotReported, ms(5));
    assert!(harness.is_refused(id));
}

#[test]
fn three_certain_failures_in_a_row_open_a_host_with_few_fills() {
    let mut harness = Harness::new(settings());
    let objects = harness.objects_with_parent(PARENTS[0], 1000, 5);
    for &object in &objects[..3] {
        let id = harness.request(READS, object);
        harness.end_attempt(id, Ending::Error, Note::SourceLost, ms(20));
        harness.end_attempt(id, Ending::Done, Note::Hit, ms(20));
    }
    let id = harness.request(READS, objects[4]);
    assert_eq!(harness.last_source(id), PARENTS[1]);
}

#[test]
fn the_breaker_of_a_silent_cache_opens_and_idempotent_requests_move() {
    let mut harness = Harness::new(settings());
    let silent = CACHES[0];
    let mut at_silent = vec![];
    for object in 0..40 {
        let id = harness.request(READS, object);
        if harness.last_attempt(id).host == silent {
            at_silent.push(id);
        } else {
            harness.end_attempt(id, Ending::Done, Note::Hit, ms(1));
        }
    }
    assert!(at_silent.len() >= 4);
    harness.advance(ms(400));
    assert!(
        harness
            .log_lines
            .iter()
            .any(|text| text == "Cache b breaker open"),
        "{:?}",
        harness.log_lines
    );
    assert!(
        at_silent[..4]
            .iter()
            .all(|id| harness.cancelled.contains(id))
    );
    harness.end_attempt(at_silent[3], Ending::Cancelled, Note::NotReported, ms(400));
    assert_ne!(harness.last_attempt(at_silent[3]).host, silent);
}

#[test]
fn overdue_fills_of_a_silent_parent_count_against_it_and_not_the_cache() {
    let mut harness = Harness::new(settings());
    let objects = harness.objects_with_parent(PARENTS[0], 1000, 6);
    let arrive = |&object: &u64| harness.request(READS, object);
    let slow: Vec<_> = objects.iter().map(arrive).collect();
    for other in 50..110 {
        harness.advance(ms(10));
        harness.request_and_end(other, Ending::Done, Note::Hit, ms(1));
    }
    assert_eq!(harness.log_lines, ["Parent 15 breaker open"]);
    assert!(harness.cancelled.contains(&slow[5]));
}

#[test]
fn a_parent_that_becomes_silent_later_is_opened_and_not_the_origin() {
    let mut harness = Harness::new(settings());
    let objects = harness.objects_with_parent(PARENTS[0], 1000, 7);
    let others = harness.objects_with_parent(PARENTS[1], 3000, 60);
    for &object in &objects[..6] {
        harness.request(READS, object);
    }
    harness.advance(ms(10));
    harness.request_and_end(objects[6], Ending::Done, Note::Filled, ms(20));
    for other in others {
        harness.advance(ms(10));
        harness.request_and_end(other, Ending::Done, Note::Filled, ms(1));
    }
    assert_eq!(harness.log_lines, ["Parent 15 breaker open"]);
}

#[test]
fn a_cache_that_refuses_everything_opens_at_the_fifth_refusal() {
    let (mut harness, mut refused) = (Harness::new(settings()), 0);
    for object in 0..60 {
        let id = harness.request(READS, object);
        if harness.last_attempt(id).host == CACHES[0] {
            harness.end_attempt(id, Ending::Full, Note::NotReported, ms(2));
            assert_ne!(harness.last_attempt(id).host, CACHES[0]);
            refused += 1;
        }
        harness.end_attempt(id, Ending::Done, Note::Filled, ms(20));
    }
    assert_eq!(
        (refused, harness.log_lines),
        (5, vec!["Cache b breaker open".to_string()])
    );
}

/// Opens the breaker of the origin by failed connections.
fn open_origin(harness: &mut Harness) {
    for _ in 0..3 {
        let id = harness.request(ORDERS, 9);
        assert_eq!(harness.last_attempt(id).host, ORIGIN);
        harness.end_attempt(id, Ending::NoConnection, Note::NotReported, ms(400));
        harness.end_attempt(id, Ending::NoConnection, Note::NotReported, ms(400));
    }
}

/// Number of reads out of a hundred whose parents may ask the origin.
fn may_reach_origin(harness: &mut Harness) -> usize {
    let reads = (2000..2100).filter(|&object| {
        let id = harness.request_part(READS, object, 0, Some(100.0));
        let may_ask = !harness
            .last_attempt(id)
            .fill
            .expect("no fill instructions")
            .only_if_cached;
        harness.end_attempt(id, Ending::Done, Note::Hit, ms(20));
        may_ask
    });
    reads.count()
}

#[test]
fn a_slow_origin_keeps_a_part_of_its_share() {
    let mut harness = Harness::new(settings());
    for i in 0..135 {
        let elapsed = if i < 125 { ms(40) } else { ms(300) };
        let id = harness.request(ORDERS, 9);
        harness.advance(elapsed);
        harness.end_attempt(id, Ending::Done, Note::NotReported, elapsed);
        harness.advance(ms(100));
    }
    assert!((20..80).contains(&may_reach_origin(&mut harness)));
    let id = harness.request(ORDERS, 9);
    assert_eq!(
        harness.last_attempt(id).host,
        ORIGIN,
        "writes are still sent"
    );
    harness.advance(TimeSpan::from_secs(4));
    assert_eq!(may_reach_origin(&mut harness), 100);
    assert!(harness.log_lines.is_empty());
}

#[test]
fn overdue_fills_reduce_the_share_of_the_origin_if_cache_and_parent_answer() {
    let mut harness = Harness::new(settings());
    let objects = harness.objects_with_parent(PARENTS[0], 1000, 3);
    let arrive = |&object: &u64| harness.request(READS, object);
    let ids: Vec<_> = objects.iter().map(arrive).collect();
    for _ in 0..60 {
        harness.advance(ms(10));
        for other in 3000..3012 {
            harness.request_and_end(other, Ending::Done, Note::Filled, ms(0));
        }
    }
    assert!((20..80).contains(&may_reach_origin(&mut harness)));
    assert!(ids.iter().any(|id| harness.cancelled.contains(id)));
    assert!(harness.log_lines.is_empty(), "no breaker opens");
}

#[test]
fn parents_serve_only_what_they_hold_while_the_origin_is_unhealthy() {
    let mut harness = Harness::new(settings());
    open_origin(&mut harness);
    let id = harness.request(READS, 3);
    let fill = harness.last_attempt(id).fill.expect("no fill instructions");
    assert!(fill.only_if_cached && PARENTS.contains(&fill.source));
    harness.end_attempt(id, Ending::Miss, Note::SourceMiss, ms(10));
    assert!(harness.is_refused(id));
    let write = harness.request(ORDERS, 4);
    assert!(harness.is_refused(write));
}

#[test]
fn a_request_that_no_cache_can_answer_is_the_trial_of_the_origin() {
    let mut harness = Harness::new(settings());
    open_origin(&mut harness);
    harness.advance(ms(10_100));
    let id = harness.request(READS, 3);
    if harness.last_attempt(id).host != ORIGIN {
        harness.end_attempt(id, Ending::Miss, Note::SourceMiss, ms(10));
    }
    let reached = |harness: &Harness| {
        harness.last_attempt(id).host == ORIGIN
            || !harness.last_attempt(id).fill.unwrap().only_if_cached
    };
    assert!(reached(&harness));
}

#[test]
fn errors_while_the_origin_is_unhealthy_do_not_count_against_the_parent() {
    let mut harness = Harness::new(settings());
    let objects = harness.objects_with_parent(PARENTS[0], 1000, 6);
    let arrive = |&object: &u64| harness.request(READS, object);
    let ids: Vec<_> = objects.iter().map(arrive).collect();
    open_origin(&mut harness);
    for id in ids {
        harness.end_attempt(id, Ending::Error, Note::NotReported, ms(300));
    }
    assert_eq!(harness.log_lines, ["Origin 1f breaker open"]);
}

#[test]
fn an_overloaded_cache_spills_to_the_next_and_a_request_that_would_be_late_is_refused() {
    let allows_direct = false;
    let mut harness = Harness::new(DispatcherSettings {
        allows_direct,
        ..settings()
    });
    let mut hosts = vec![];
    let mut refused = 0;
    for _ in 0..400 {
        let id = harness.request(READS, 3);
        match harness.is_refused(id) {
            true => refused += 1,
            false => hosts.push(harness.last_attempt(id).host),
        }
    }
    let first = hosts[0];
    let stayed = hosts.iter().take_while(|&&host| host == first).count();
    assert!((10..40).contains(&stayed), "{stayed}");
    assert!(hosts.iter().any(|&host| host != first));
    assert!(refused > 20, "{refused}");
}

/// The first cache of a large request, and the host that it is sent to, if any. `load` small requests keep that cache
/// so busy that the large request would be late there and small ones would not.
fn route_of_large_request(capacities_reported: bool, load: usize) -> (HostId, Option<HostId>) {
    let mut harness = Harness::new(DispatcherSettings {
        capacities_reported,
        allows_direct: false,
        ..settings()
    });
    let small: Vec<_> = (0..load).map(|_| harness.request(READS, 3)).collect();
    let first = harness.last_attempt(small[0]).host;
    let at_first = |id: &RequestId| harness.last_attempt(*id).host == first;
    assert!(small.iter().all(at_first));
    let large = harness.request_part(READS, 3, 0, Some(1200.0));
    let sent_to = (!harness.is_refused(large)).then(|| harness.last_attempt(large).host);
    (first, sent_to)
}

#[test]
fn a_large_request_that_would_be_late_at_its_first_cache_goes_to_another() {
    let (first, sent_to) = route_of_large_request(true, 21);
    assert!(sent_to.is_some_and(|host| host != first), "{sent_to:?}");
    // Where capacities are estimated (here at half of the reported ones), so is the load: the request is not moved for
    // its target, and is refused if its first cache would be late.
    let (_, sent_to) = route_of_large_request(false, 10);
    assert_eq!(sent_to, None);
}

#[test]
fn requests_go_directly_to_their_parent_where_every_cache_is_gone() {
    let mut harness = Harness::new(settings());
    harness.host_list(HostListKind::Full, vec![entry(PARENTS[0]), entry(ORIGIN)]);
    let id = harness.request(READS, 3);
    assert_eq!(harness.last_attempt(id).host, PARENTS[0]);
    assert_eq!(harness.last_source(id), ORIGIN);
}

#[test]
fn errors_of_one_cache_do_not_count_against_its_parents() {
    let mut harness = Harness::new(settings());
    for object in 0..40 {
        let id = harness.request(READS, object);
        if harness.last_attempt(id).host == CACHES[0] {
            harness.end_attempt(id, Ending::Error, Note::NotReported, ms(2));
        }
        harness.end_attempt(id, Ending::Done, Note::Filled, ms(20));
    }
    assert_eq!(harness.log_lines, ["Cache b breaker open"]);
}

#[test]
fn failures_of_requests_of_an_unproven_client_count_against_no_host() {
    let mut harness = Harness::new(settings());
    harness.client_proven = false;
    for object in 0..60 {
        let id = harness.request(READS, object);
        let ending = [Ending::Error, Ending::ConnectionLost][object as usize % 2];
        if harness.last_attempt(id).host == CACHES[0] {
            harness.end_attempt(id, ending, Note::NotReported, ms(2));
        }
        harness.end_attempt(id, Ending::Done, Note::Filled, ms(20));
    }
    assert!(harness.log_lines.is_empty(), "{:?}", harness.log_lines);
}

#[test]
fn five_lost_connections_in_a_row_open_a_cache_and_fewer_do_not() {
    let mut harness = Harness::new(settings());
    let mut lost = 0;
    for object in 0.. {
        let id = harness.request(READS, object);
        if harness.last_attempt(id).host == CACHES[0] {
            assert!(harness.log_lines.is_empty(), "after {lost}");
            harness.end_attempt(id, Ending::ConnectionLost, Note::NotReported, ms(2));
            lost += 1;
        }
        harness.end_attempt(id, Ending::Done, Note::Filled, ms(20));
        if lost == 5 {
            break;
        }
    }
    assert_eq!(harness.log_lines, ["Cache b breaker open"]);
}

#[test]
fn without_notes_and_sizes_slow_answers_do_not_count_against_a_parent_that_answers() {
    let note_level = NoteLevel::None;
    let mut harness = Harness::new(DispatcherSettings {
        note_level,
        ..settings()
    });
    for object in 0..60 {
        let id = harness.request_part(READS, object, 0, None);
        let slow = harness.request_part(READS, object + 100, 0, None);
        harness.advance(ms(30));
        harness.end_attempt(id, Ending::Done, Note::NotReported, ms(30));
        harness.advance(ms(900));
        harness.end_attempt(slow, Ending::Done, Note::NotReported, ms(930));
        for other in 200..212 {
            harness.request_and_end(other, Ending::Done, Note::NotReported, ms(2));
        }
    }
    assert!(harness.log_lines.is_empty(), "{:?}", harness.log_lines);
}

#[test]
fn no_fill_is_requested_over_a_full_link() {
    let mut harness = Harness::new(settings());
    let id = harness.request(READS, 3);
    harness.load.link_utilization = Some(24.0);
    harness.end_attempt(id, Ending::Done, Note::Hit, ms(10));
    let id = harness.request(READS, 4);
    assert_eq!(harness.last_source(id), harness.last_attempt(id).host);
    harness.end_attempt(id, Ending::Miss, Note::NotReported, ms(3));
    assert!(harness.is_refused(id), "it does not go to the origin");
}

#[test]
fn a_cache_whose_hits_are_slow_is_avoided() {
    let (mut harness, mut reference) = (Harness::new(settings()), Harness::new(settings()));
    for object in 0..60 {
        let id = harness.request(READS, object);
        let slow = harness.last_attempt(id).host == CACHES[0];
        harness.end_attempt(id, Ending::Done, Note::Hit, ms(if slow { 400 } else { 20 }));
    }
    let moved = (0..30).filter(|&object| {
        let (id, usual) = (
            harness.request(READS, object),
            reference.request(READS, object),
        );
        assert_ne!(harness.last_attempt(id).host, CACHES[0]);
        reference.last_attempt(usual).host == CACHES[0]
    });
    assert!(moved.count() > 3);
}

#[test]
fn an_object_that_was_requested_before_gets_a_higher_rank() {
    let mut harness = Harness::new(settings());
    let first = harness.request_and_end(3, Ending::Done, Note::Filled, ms(20));
    let again = harness.request_and_end(3, Ending::Done, Note::Hit, ms(20));
    let rank = |id| harness.last_attempt(id).fill.map(|fill| fill.rank);
    assert_eq!((rank(first), rank(again)), (Some(1), Some(2)));
}

#[test]
fn a_restarted_host_starts_with_a_closed_breaker() {
    let mut harness = Harness::new(settings());
    let rest = open_by_slow_fills(&mut harness);
    let started = Some(harness.now - TimeSpan::from_secs(20));
    harness.host_list(
        HostListKind::Delta,
        vec![HostEntry {
            started,
            stamp: started,
            ..entry(PARENTS[0])
        }],
    );
    let id = harness.request(READS, rest[0]);
    assert_eq!(harness.last_source(id), PARENTS[0]);
}

#[test]
fn a_request_that_is_never_answered_ends_once_at_its_deadline() {
    let mut harness = Harness::new(settings());
    let id = harness.request(ORDERS, 3);
    harness.advance(ms(2999));
    assert!(!harness.final_answers.contains_key(&id));
    harness.advance(ms(1));
    assert!(harness.is_failed(id));
    harness.end_attempt(id, Ending::TimedOut, Note::NotReported, ms(3000));
    harness.advance(TimeSpan::from_secs(5));
    assert_eq!(
        (harness.final_answers[&id].len(), harness.attempt_count(id)),
        (1, 1)
    );
}

#[test]
fn a_client_that_is_gone_gets_no_final_answer() {
    let mut harness = Harness::new(settings());
    let id = harness.request(READS, 3);
    harness.event(Event::ClientGone { id });
    assert_eq!(harness.cancelled, [id]);
    harness.end_attempt(id, Ending::Error, Note::NotReported, ms(30));
    harness.advance(TimeSpan::from_secs(5));
    assert!(harness.final_answers.is_empty());
    assert_eq!(harness.attempt_count(id), 1);
}

#[test]
fn an_attempt_whose_response_has_started_is_not_cancelled() {
    let mut harness = Harness::new(settings());
    let id = harness.request(READS, 3);
    harness.event(Event::ResponseStarted {
        id,
        attempt: AttemptNo(0),
    });
    harness.advance(TimeSpan::from_secs(5));
    assert!(harness.cancelled.is_empty() && harness.final_answers.is_empty());
}

#[test]
fn without_a_ready_cache_a_request_is_refused_at_once() {
    let allows_direct = false;
    let mut harness = Harness::new(DispatcherSettings {
        allows_direct,
        ..settings()
    });
    harness.host_list(HostListKind::Full, vec![entry(PARENTS[0]), entry(ORIGIN)]);
    let id = harness.request(READS, 3);
    assert!(harness.is_refused(id));
    let is_short = |span: TimeSpan| span <= TimeSpan::from_secs(1);
    let answer = &harness.final_answers[&id][0];
    assert!(matches!(answer, Action::Refuse { retry_after: Some(span), .. } if is_short(*span)));
}

#[test]
fn events_of_unknown_requests_and_timers_are_ignored() {
    let mut harness = Harness::new(settings());
    let id = harness.request_and_end(3, Ending::Done, Note::Hit, ms(20));
    harness.end_attempt(id, Ending::TimedOut, Note::NotReported, ms(30));
    harness.event(Event::ClientGone { id: RequestId(999) });
    harness.event(Event::TimerFired { timer: TimerId(77) });
    assert!(harness.final_answers.is_empty());
}

#[test]
fn a_non_idempotent_request_that_may_have_run_is_neither_repeated_nor_refused() {
    for ending in [
        Ending::Error,
        Ending::ConnectionLost,
        Ending::TimedOut,
        Ending::Cancelled,
    ] {
        let mut harness = Harness::new(settings());
        let id = harness.request(ORDERS, 3);
        harness.end_attempt(id, ending, Note::NotReported, ms(50));
        harness.advance(TimeSpan::from_secs(1));
        assert_eq!(harness.attempt_count(id), 1, "{ending:?}");
        assert!(harness.is_failed(id), "{ending:?}");
    }
}

#[test]
fn a_non_idempotent_request_that_did_not_run_is_sent_again() {
    let mut harness = Harness::new(settings());
    let id = harness.request(ORDERS, 3);
    harness.end_attempt(id, Ending::Full, Note::NotReported, ms(50));
    assert_eq!(harness.attempt_count(id), 1, "not at once");
    harness.advance(ms(100));
    assert_eq!(harness.attempt_count(id), 2);
}

#[test]
fn a_non_idempotent_request_stays_at_a_silent_origin() {
    let mut harness = Harness::new(settings());
    let ids: Vec<_> = (0..5).map(|_| harness.request(ORDERS, 3)).collect();
    harness.advance(ms(2000));
    assert!(harness.cancelled.is_empty());
    let is_pending = |&id: &RequestId| {
        harness.attempt_count(id) == 1 && !harness.final_answers.contains_key(&id)
    };
    assert!(ids.iter().all(is_pending));
    assert!(may_reach_origin(&mut harness) < 70);
}

#[test]
fn a_keyed_request_is_repeated_only_in_its_repeat_group_and_window() {
    let via_cache = || DispatcherSettings {
        allows_direct: false,
        ..settings()
    };
    let mut harness = Harness::new(via_cache());
    let id = harness.request(CHANGES, 3);
    harness.end_attempt(id, Ending::Error, Note::NotReported, ms(50));
    assert_eq!(harness.attempt_count(id), 2, "within the window");
    let mut late = Harness::new(via_cache());
    let id = late.request(CHANGES, 3);
    late.advance(ms(2100));
    late.end_attempt(id, Ending::Error, Note::NotReported, ms(2100));
    assert_eq!(late.attempt_count(id), 1, "past the window");
    assert!(
        late.is_failed(id),
        "no refusal where not all hosts drop repeats"
    );
}

#[test]
fn nothing_goes_to_a_host_that_drains_or_is_gone() {
    let mut harness = Harness::new(settings());
    let draining = |host| HostEntry {
        state: HostState::Draining,
        ..entry(host)
    };
    harness.host_list(
        HostListKind::Delta,
        vec![draining(CACHES[0]), draining(PARENTS[0])],
    );
    for object in 0..30 {
        let id = harness.request_and_end(object, Ending::Done, Note::Hit, ms(5));
        assert_ne!(harness.last_attempt(id).host, CACHES[0]);
        assert_ne!(harness.last_source(id), PARENTS[0]);
    }
}

#[test]
fn a_host_that_is_missing_in_a_full_list_is_gone() {
    let mut harness = Harness::new(settings());
    let remaining = [CACHES[1], CACHES[2], PARENTS[1], ORIGIN];
    harness.host_list(HostListKind::Full, remaining.map(entry).to_vec());
    for object in 0..30 {
        let id = harness.request_and_end(object, Ending::Done, Note::Hit, ms(5));
        assert!(
            remaining.contains(&harness.last_attempt(id).host)
                && remaining.contains(&harness.last_source(id))
        );
    }
}

#[test]
fn a_cold_cache_and_a_cold_parent_get_no_more_than_their_slow_start_budget() {
    let mut harness = Harness::new(settings());
    let started = Some(harness.now);
    let cold = [CACHES[0], PARENTS[0]].map(|host| HostEntry {
        started,
        stamp: started,
        ..entry(host)
    });
    harness.host_list(HostListKind::Delta, cold.to_vec());
    let (mut at_cache, mut at_parent) = (0.0, 0.0);
    for object in 0..400 {
        let id = harness.request_part(READS, object, 0, Some(100.0));
        if harness.attempt_count(id) == 0 {
            continue;
        }
        let work = |is_there: bool| if is_there { 0.1 } else { 0.0 };
        at_cache += work(harness.last_attempt(id).host == CACHES[0]);
        at_parent += work(harness.last_source(id) == PARENTS[0]);
        harness.advance(ms(2));
        harness.end_attempt(id, Ending::Done, Note::Filled, ms(2));
    }
    // A capacity of 8, a quarter of it at the start, overloaded at twice that, for the 0.8 s that the burst takes.
    assert!(at_cache > 0.1 && at_cache < 4.0, "{at_cache}");
    assert!(at_parent > 0.1 && at_parent < 4.0, "{at_parent}");
}

#[test]
fn a_purge_limits_the_age_of_copies() {
    let mut harness = Harness::new(settings());
    let age = ms(300);
    harness.event(Event::Purged {
        object: Some(ObjectId(8)),
        group: GroupId(0),
        age,
        stamp: None,
    });
    harness.event(Event::Purged {
        object: None,
        group: GroupId(1),
        age: ms(500),
        stamp: None,
    });
    harness.advance(TimeSpan::from_secs(1));
    let max_age = |harness: &mut Harness, object| {
        let id = harness.request(READS, object);
        harness
            .last_attempt(id)
            .fill
            .expect("no fill instructions")
            .max_age
    };
    assert_eq!(max_age(&mut harness, 8), Some(ms(1300)), "the object");
    assert_eq!(max_age(&mut harness, 5), Some(ms(1500)), "its group");
    assert_eq!(
        max_age(&mut harness, 12),
        None,
        "another of the first group"
    );
}

fn large_cold_parent(now: Timestamp) -> HostEntry {
    let (started, capacity) = (Some(now), 60.0);
    HostEntry {
        started,
        stamp: started,
        capacity,
        ..entry(PARENTS[0])
    }
}

#[test]
fn two_hundred_dispatchers_do_not_overload_a_cold_parent() {
    let (mut seconds, mut senders) = (0.0, 0);
    for seed in 0..200 {
        let mut harness = Harness::seeded(fleet_settings(), seed);
        let cold = large_cold_parent(harness.now);
        harness.host_list(HostListKind::Delta, vec![cold]);
        let before = seconds;
        for object in seed * 100..seed * 100 + 40 {
            let id = harness.request_part(READS, object, 0, Some(200.0));
            let uses_parent =
                harness.attempt_count(id) > 0 && harness.last_source(id) == PARENTS[0];
            seconds += if uses_parent { 0.2 } else { 0.0 };
            harness.end_attempt(id, Ending::Done, Note::Filled, ms(25));
            harness.advance(ms(25));
        }
        senders += u32::from(seconds > before);
    }
    // A capacity of 60, a quarter of it at the start and rising, overloaded at twice that for a second: 30 s of
    // sending. One fill from each dispatcher would be 40 s. The share of one dispatcher is 0.06 s, less than one fill.
    assert!(seconds > 5.0 && seconds < 25.0, "{seconds}");
    assert!(senders < 150, "{senders}");
}

#[test]
fn a_few_requests_at_one_cache_of_a_large_fleet_do_not_count_as_overload() {
    let (mut harness, mut reference) = (
        Harness::new(fleet_settings()),
        Harness::new(fleet_settings()),
    );
    let others = (100..220).map(|host| HostEntry {
        zone: ZoneId(2 + host as u16 % 20),
        kind: KindId(0),
        ..entry(HostId(host))
    });
    harness.host_list(HostListKind::Delta, others.collect());
    let mut in_flight = vec![];
    for object in 0..200 {
        in_flight.push(harness.request(READS, object));
        let id = reference.request(READS, object);
        assert_eq!(
            harness.last_attempt(in_flight[in_flight.len() - 1]).host,
            reference.last_attempt(id).host
        );
        reference.end_attempt(id, Ending::Done, Note::Hit, ms(20));
        if in_flight.len() > 3 {
            harness.end_attempt(in_flight.remove(0), Ending::Done, Note::Hit, ms(60));
        }
        harness.advance(ms(70));
    }
}

#[test]
fn every_request_gets_one_final_answer_after_a_mass_restart() {
    let mut harness = Harness::new(fleet_settings());
    let started = Some(harness.now);
    let restarted = [CACHES[0], CACHES[1], PARENTS[0]].map(|host| HostEntry {
        started,
        stamp: started,
        ..entry(host)
    });
    harness.host_list(HostListKind::Delta, restarted.to_vec());
    let ids: Vec<_> = (0..300)
        .map(|object| harness.request(READS, object))
        .collect();
    let sent = |id: &&RequestId| harness.attempt_count(**id) > 0;
    let (accepted, others): (Vec<_>, Vec<_>) = ids.iter().partition(sent);
    assert!(!accepted.is_empty() && others.iter().all(|&&id| harness.is_refused(id)));
    harness.advance(TimeSpan::from_secs(3));
    assert!(ids.iter().all(|id| harness.final_answers[id].len() == 1));
}

#[test]
fn a_few_fills_at_once_do_not_count_as_a_full_link() {
    let mut harness = Harness::new(DispatcherSettings {
        link_load_reported: false,
        link_kb_per_s: Some(10_000.0),
        ..fleet_settings()
    });
    for object in 0..100 {
        harness.request_and_end(object, Ending::Done, Note::Filled, ms(50));
        harness.advance(ms(50));
    }
    let burst = |object| harness.request_part(READS, object, 0, Some(1000.0));
    let ids: Vec<_> = (200..203).map(burst).collect();
    assert!(
        ids.iter()
            .all(|&id| PARENTS.contains(&harness.last_source(id)))
    );
}

#[test]
fn the_purge_of_an_object_without_its_group_limits_the_age_of_its_copies() {
    let mut harness = Harness::new(settings());
    let (object, group, age) = (Some(ObjectId(5)), GroupId::default(), ms(100));
    harness.event(Event::Purged {
        object,
        group,
        age,
        stamp: None,
    });
    let (purged, other) = (harness.request(READS, 5), harness.request(READS, 9));
    let max_age = |id| harness.last_attempt(id).fill.expect("a fill").max_age;
    assert_eq!((max_age(purged), max_age(other)), (Some(ms(100)), None));
}

#[test]
fn a_host_long_gone_is_forgotten_unless_a_request_uses_it() {
    let mut harness = Harness::new(settings());
    let listed = harness.dispatcher.tracked_hosts();
    let id = harness.request(READS, 1);
    let in_use = harness.last_attempt(id).host;
    for n in 0..1_000 {
        let ready = HostEntry {
            host: HostId(1_000 + n),
            ..entry(CACHES[0])
        };
        let gone = HostEntry {
            state: HostState::Gone,
            ..ready
        };
        harness.host_list(HostListKind::Delta, vec![ready]);
        harness.host_list(HostListKind::Delta, vec![gone]);
        harness.advance(ms(500));
    }
    assert!(harness.dispatcher.tracked_hosts() <= listed + 125);
    let gone = HostEntry {
        state: HostState::Gone,
        ..entry(in_use)
    };
    harness.host_list(HostListKind::Delta, vec![gone]);
    harness.advance(TimeSpan::from_secs(100));
    harness.host_list(HostListKind::Delta, Vec::new());
    harness.end_attempt(id, Ending::ConnectionLost, Note::NotReported, ms(10));
    harness.host_list(HostListKind::Delta, Vec::new());
    assert_eq!(harness.dispatcher.tracked_hosts(), listed - 1);
}

/// At a high request rate a hit takes a millisecond; ten that take three milliseconds must not exclude a healthy cache.
#[test]
fn hits_within_their_predicted_time_open_no_breaker() {
    let mut harness = Harness::new(DispatcherSettings {
        parent_kind: None,
        origin_kind: None,
        ..settings()
    });
    let gone = PARENTS.iter().chain([&ORIGIN]).map(|&host| HostEntry {
        state: HostState::Gone,
        ..entry(host)
    });
    harness.host_list(HostListKind::Delta, gone.collect());
    let opens = |harness: &mut Harness, first: u64, elapsed: TimeSpan| {
        for object in first..first + 300 {
            if harness.log_lines.is_empty() {
                harness.request_and_end(object, Ending::Done, Note::Hit, elapsed);
            }
        }
        harness.advance(TimeSpan::from_secs(11));
        !harness.log_lines.is_empty()
    };
    assert!(!opens(&mut harness, 1, ms(1)));
    assert!(!opens(&mut harness, 2_000, ms(30)));
    assert!(opens(&mut harness, 5_000, ms(1_000)));
}

/// Settings of one of ten dispatchers of a zone whose hosts report their load when probed, and whose host list has no
/// capacities.
fn probing_settings() -> DispatcherSettings {
    DispatcherSettings {
        probes_enabled: true,
        capacities_reported: false,
        ..fleet_settings()
    }
}

/// A probed host reports its utilization.
fn report_utilization(harness: &mut Harness, host: HostId, utilization: f64) {
    let (ending, utilization) = (Ending::Done, Some(utilization));
    let load = Load {
        utilization,
        ..Load::default()
    };
    harness.event(Event::Probed { host, ending, load });
}

/// For a minute, each cache gets hits that keep this share of its capacity busy; the dispatcher sends a tenth of them.
fn measure_capacity(harness: &mut Harness, capacity: f64, utilization: f64) {
    let (mut object, mut answered) = (0, harness.probes.len());
    for _ in 0..300 {
        // A tenth of the answers that the caches send in 200 ms, at 50 ms each.
        let hits = (3.0 * capacity * utilization * 0.2 / 0.05 / 10.0).round() as u64;
        for _ in 0..hits {
            object += 1;
            harness.request_and_end(object, Ending::Done, Note::Hit, TimeSpan::ZERO);
        }
        harness.advance(ms(200));
        let hosts: Vec<HostId> = harness.probes[answered..]
            .iter()
            .map(|probe| probe.1)
            .collect();
        for host in hosts {
            report_utilization(harness, host, utilization);
        }
        answered = harness.probes.len();
    }
}

/// Number of requests of half a second each that are accepted at once.
fn accepted_at_once(harness: &mut Harness) -> usize {
    let ids: Vec<_> = (0..200)
        .map(|object| harness.request_part(READS, 90_000 + object, 0, Some(500.0)))
        .collect();
    let accepted = ids.iter().filter(|&&id| !harness.is_refused(id)).count();
    let sent: Vec<_> = ids
        .into_iter()
        .filter(|&id| harness.attempt_count(id) > 0)
        .collect();
    for id in sent {
        harness.event(Event::ClientGone { id });
        harness.end_attempt(id, Ending::Cancelled, Note::NotReported, ms(1));
    }
    accepted
}

#[test]
fn capacities_that_are_not_reported_are_estimated_from_utilization() {
    let accepted = |capacities_reported: bool| {
        [3.0, 12.0].map(|capacity| {
            let mut harness = Harness::new(DispatcherSettings {
                capacities_reported,
                ..probing_settings()
            });
            measure_capacity(&mut harness, capacity, 0.5);
            accepted_at_once(&mut harness)
        })
    };
    let [small, large] = accepted(false);
    assert!(large >= small * 2, "{small} and {large}");
    let [small, large] = accepted(true);
    assert_eq!(small, large, "reported capacities are used as they are");
}

#[test]
fn caches_and_parents_are_probed_in_turn_and_no_other_hosts() {
    let mut harness = Harness::new(probing_settings());
    harness.advance(TimeSpan::from_secs(20));
    for host in CACHES.iter().chain(&PARENTS) {
        let probes = harness.probes.iter().filter(|(_, probed)| probed == host);
        assert!((9..=11).contains(&probes.count()), "{:?}", harness.probes);
    }
    assert!(harness.probes.iter().all(|(_, host)| *host != ORIGIN));
    let mut without_probes = Harness::new(fleet_settings());
    without_probes.advance(TimeSpan::from_secs(20));
    assert!(without_probes.probes.is_empty());
}

#[test]
fn failed_probes_count_against_no_host() {
    let mut harness = Harness::new(probing_settings());
    for ending in [
        Ending::TimedOut,
        Ending::NoConnection,
        Ending::Error,
        Ending::ConnectionLost,
    ] {
        for _ in 0..20 {
            let (host, load) = (PARENTS[0], Load::default());
            harness.event(Event::Probed { host, ending, load });
        }
    }
    assert!(harness.log_lines.is_empty(), "{:?}", harness.log_lines);
}

/// Where fills usually take longer than the wait that is derived from the target, that alone is no failure of the
/// origin.
#[test]
fn fills_that_are_always_slow_do_not_reduce_the_share_of_the_origin() {
    let mut harness = Harness::new(DispatcherSettings {
        note_level: NoteLevel::Hits,
        ..settings()
    });
    for object in 0..30 {
        harness.request_and_end(object, Ending::Done, Note::Filled, ms(330));
    }
    let late: Vec<_> = (100..110)
        .map(|object| harness.request(READS, object))
        .collect();
    harness.advance(ms(600));
    harness.request_and_end(200, Ending::Done, Note::Hit, ms(10));
    late.into_iter()
        .for_each(|id| harness.end_attempt(id, Ending::Done, Note::Filled, ms(610)));
    let id = harness.request(READS, 300);
    assert!(
        !harness
            .last_attempt(id)
            .fill
            .expect("no fill instructions")
            .only_if_cached
    );
}

#[test]
fn a_cache_that_reports_free_capacity_is_not_overloaded_by_requests_that_wait_for_fills() {
    let accepted = |utilization: f64| {
        let mut harness = Harness::new(DispatcherSettings {
            probes_enabled: true,
            ..fleet_settings()
        });
        for host in CACHES {
            report_utilization(&mut harness, host, utilization);
        }
        accepted_at_once(&mut harness)
    };
    let (free, full) = (accepted(0.3), accepted(1.0));
    assert!(free > full, "{free} and {full}");
}

/// When the settings change at run time, breakers, drains and purges stay in force.
#[test]
fn breakers_drains_and_purges_are_kept_when_the_settings_change() {
    let mut harness = Harness::new(settings());
    for object in harness.objects_with_parent(PARENTS[0], 1000, 3) {
        harness.request_and_end(object, Ending::Error, Note::SourceLost, ms(20));
    }
    assert_eq!(harness.log_lines, ["Parent 15 breaker open"]);
    let draining = HostEntry {
        state: HostState::Draining,
        ..entry(CACHES[0])
    };
    harness.host_list(HostListKind::Delta, vec![draining]);
    harness.event(Event::Purged {
        object: Some(ObjectId(5)),
        group: GroupId(0),
        age: ms(100),
        stamp: None,
    });
    let pending = harness.request(READS, 7);
    harness
        .dispatcher
        .apply_settings(harness.now, probing_settings());
    harness.end_attempt(pending, Ending::Done, Note::Hit, ms(20));
    for object in 0..40 {
        let id = harness.request(READS, object);
        assert!(
            harness.last_attempt(id).host != CACHES[0] && harness.last_source(id) != PARENTS[0]
        );
        harness.end_attempt(id, Ending::Done, Note::Hit, ms(20));
    }
    let purged = harness.request(READS, 5);
    let max_age = harness
        .last_attempt(purged)
        .fill
        .and_then(|fill| fill.max_age);
    assert!(
        max_age.is_some_and(|max_age| max_age <= ms(5_000)),
        "{max_age:?}"
    );
    harness.advance(TimeSpan::from_secs(3));
    assert!(!harness.probes.is_empty(), "it sends probes from now on");
}

/// Number of attempts at caches for sixty requests at once.
fn burst(harness: &mut Harness) -> usize {
    let before = harness.sent.len();
    for object in 0..60 {
        harness.request_part(READS, 500 + object, 0, Some(500.0));
    }
    let sent = harness.sent[before..].iter();
    sent.filter(|sent| CACHES.contains(&sent.host)).count()
}

#[test]
fn a_cold_cache_stays_within_its_budget_when_the_settings_change() {
    let started = |harness: &Harness, host| HostEntry {
        started: Some(harness.now),
        stamp: Some(harness.now),
        ..entry(host)
    };
    let mut harness = Harness::new(fleet_settings());
    let cold = CACHES.map(|host| started(&harness, host)).to_vec();
    harness.host_list(HostListKind::Delta, cold);
    harness.advance(TimeSpan::from_secs(2));
    let first = burst(&mut harness);
    assert!(first > 0, "some are sent");
    harness
        .dispatcher
        .apply_settings(harness.now, fleet_settings());
    assert_eq!(
        burst(&mut harness),
        0,
        "the budget was spent before the change and still is"
    );
}

/// Work in seconds that one dispatcher of two hundred sends to a cold parent in a second, with this division.
fn sent_to_a_cold_parent(seed: u64, shared_by: Option<f64>) -> f64 {
    let mut harness = Harness::seeded(fleet_settings(), seed);
    let cold = large_cold_parent(harness.now);
    harness
        .dispatcher
        .set_slow_start_shares(harness.now, None, shared_by);
    harness.host_list(HostListKind::Delta, vec![cold]);
    let mut seconds = 0.0;
    for object in seed * 100..seed * 100 + 40 {
        let id = harness.request_part(READS, object, 0, Some(200.0));
        let uses_parent = harness.attempt_count(id) > 0 && harness.last_source(id) == PARENTS[0];
        seconds += if uses_parent { 0.2 } else { 0.0 };
        harness.end_attempt(id, Ending::Done, Note::Filled, ms(25));
        harness.advance(ms(25));
    }
    seconds
}

#[test]
fn work_for_a_cold_parent_follows_the_share_of_the_dispatcher() {
    // Ten of two hundred dispatchers have half of its budget, the others share the other half.
    let busy: f64 = (0..10)
        .map(|seed| sent_to_a_cold_parent(seed, Some(20.0)))
        .sum();
    let idle: f64 = (10..200)
        .map(|seed| sent_to_a_cold_parent(seed, Some(380.0)))
        .sum();
    let equal: f64 = (0..10).map(|seed| sent_to_a_cold_parent(seed, None)).sum();
    assert!(busy > 4.0 * equal.max(0.2), "{busy} and {equal}");
    assert!(busy + idle < 25.0, "{busy} and {idle}");
}

#[test]
fn a_larger_share_does_not_restore_budget_that_was_spent() {
    let mut harness = Harness::new(fleet_settings());
    let cold = CACHES.map(|host| HostEntry {
        started: Some(harness.now),
        stamp: Some(harness.now),
        ..entry(host)
    });
    harness.host_list(HostListKind::Delta, cold.to_vec());
    harness.advance(TimeSpan::from_secs(2));
    assert!(burst(&mut harness) > 0, "some are sent");
    for shared_by in [2.0, 200.0, 1.0] {
        harness
            .dispatcher
            .set_slow_start_shares(harness.now, Some(shared_by), Some(shared_by));
        assert_eq!(
            burst(&mut harness),
            0,
            "the budget that was spent is not restored"
        );
    }
    harness.advance(ms(400));
    assert!(
        burst(&mut harness) > 1,
        "the larger share is refilled from now on"
    );
}
