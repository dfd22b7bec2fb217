//! Claims whose timestamps differ between members, and records that have more claims than are told apart.

use std::collections::BTreeSet;
use trailproxy::units::*;
use trailproxy_peers::decide::claims::Claims;
use trailproxy_peers::decide::facts::{
    Claim, ClaimLocation, Fact, FactId, Facts, ListedState, MAX_CLAIMS_PER_KEY, Retention, Stage,
    Token, merge,
};
use trailproxy_peers::decide::messages::{InquiryId, PeerId};
use trailproxy_shared_store::decide::records::Key;

const KEY: u128 = 7;
const REQUEST: RequestId = RequestId(1);
const INQUIRY: InquiryId = InquiryId(1);
const REPLICAS: [PeerId; 3] = [PeerId(1), PeerId(2), PeerId(3)];
const START: Timestamp = Timestamp(1_000_000_000);
const RETENTION: TimeSpan = TimeSpan::from_secs(8);

fn claim(token: u64, at: Timestamp) -> Claim {
    Claim {
        token: Token(token),
        at: at.0,
        stage: Stage::Claimed,
        location: ClaimLocation::NotReported,
        body: None,
    }
}

fn record(claims: Vec<Claim>) -> Fact {
    Fact::Record { key: KEY, claims }
}

/// A member that has claimed the key and waits for two of three replicas.
fn claiming(token: u64) -> Claims {
    let mut claims = Claims::default();
    claims.claim(START, REQUEST, Key(KEY), Token(token));
    let replicas = BTreeSet::from(REPLICAS);
    claims.start_inquiry(START, INQUIRY, REQUEST, replicas, Vec::new(), 2);
    claims
}

fn yields(claims: &Claims) -> bool {
    claims.get(REQUEST).expect("an open request").yielded
}

/// Guards against two members that both yield, or both wait, because each takes the other's claim for the later one.
#[test]
fn of_two_claims_one_yields_whatever_their_timestamps() {
    let (earlier, later) = (START - TimeSpan(300), START + TimeSpan(300));
    for seen_by_low in [earlier, later] {
        for seen_by_high in [earlier, later] {
            let (mut low, mut high) = (claiming(20), claiming(30));
            low.on_claim_status(
                START,
                INQUIRY,
                REPLICAS[0],
                true,
                vec![claim(30, seen_by_low)],
            );
            high.on_claim_status(
                START,
                INQUIRY,
                REPLICAS[0],
                true,
                vec![claim(20, seen_by_high)],
            );
            assert_eq!((yields(&low), yields(&high)), (false, true));
        }
    }
}

/// Guards against a claim that is withdrawn while its request is already being sent.
#[test]
fn a_granted_claim_is_not_withdrawn() {
    let mut granted = claiming(30);
    for replica in &REPLICAS[..2] {
        granted.on_claim_status(START, INQUIRY, *replica, true, Vec::new());
    }
    granted.on_claim_status(START, INQUIRY, REPLICAS[2], true, vec![claim(20, START)]);
    assert!(!yields(&granted));
}

fn facts() -> Facts {
    Facts::new(Retention {
        record: RETENTION,
        purge: RETENTION,
        host: RETENTION,
    })
}

/// Guards against copies that are passed on for ever because each member converts their timestamps.
#[test]
fn a_copy_that_differs_in_converted_times_only_is_no_news() {
    let (mut held, later) = (facts(), START + TimeSpan::from_millis(3));
    let host = |at: Timestamp| Fact::Host {
        host: 1,
        started: 2,
        journal_position: 3,
        listed: ListedState::Draining,
        at: at.0,
    };
    assert_eq!(
        held.insert(later, record(vec![claim(20, START)])),
        Some(true)
    );
    assert_eq!(
        held.insert(later, record(vec![claim(20, later)])),
        Some(false)
    );
    assert_eq!(held.insert(later, host(START)), Some(true));
    assert_eq!(held.insert(later, host(later)), Some(false));
}

/// Guards against a record that is forgotten too early because claims beyond the limit change nothing but its times.
#[test]
fn a_record_with_too_many_claims_is_held_from_the_latest_one() {
    let mut held = facts();
    let mut now = START;
    for nth in 0..3 * MAX_CLAIMS_PER_KEY as u64 {
        now = now + TimeSpan::from_secs(1);
        held.advance(now);
        held.insert(now, record(vec![claim(20 + nth, now)]));
        assert!(held.get(FactId::Record(KEY)).is_some(), "claim {nth}");
    }
    held.advance(now + RETENTION - TimeSpan::from_secs(1));
    assert!(held.get(FactId::Record(KEY)).is_some(), "it still matters");
    held.advance(now + RETENTION);
    assert!(held.get(FactId::Record(KEY)).is_none());
}

/// Guards against two copies of such a record that are held by the earlier of their latest claims.
#[test]
fn merged_records_with_too_many_claims_keep_the_latest_time() {
    let many = |last: Timestamp| {
        let first = record(vec![claim(20, START)]);
        let further = (21..40).map(|token| record(vec![claim(token, last)]));
        further.fold(first, merge)
    };
    let (earlier, later) = (
        START + TimeSpan::from_secs(2),
        START + TimeSpan::from_secs(5),
    );
    assert_eq!(merge(many(earlier), many(later)).at(), later);
    assert_eq!(merge(many(later), many(earlier)).at(), later);
}

/// Guards against a purge that is never dropped because it turned out to be younger than it first seemed.
#[test]
fn a_purge_that_turns_out_to_be_younger_is_dropped_later() {
    let mut held = facts();
    let purge = Fact::Purge {
        object: Some(1),
        group: 0,
        at: (START + TimeSpan::from_secs(10)).0,
    };
    let id = purge.id();
    assert_eq!(held.insert(START, purge), Some(true));
    // By the journal service's own stamps its clock is two seconds less ahead than others reported.
    held.on_journal_stamp(START, START + TimeSpan::from_secs(8));
    held.advance(START + RETENTION);
    assert!(held.get(id).is_some());
    held.advance(START + RETENTION + TimeSpan::from_secs(2));
    assert!(held.get(id).is_none());
}
