//! Merging differing copies gives the same result in any order, and datagrams are either read or
//! skipped.

use proptest::prelude::*;
use trailproxy::units::*;
use trailproxy_peers::decide::facts::{
    Claim, ClaimLocation, Fact, Facts, ListedState, Retention, Stage, Token, merge,
};
use trailproxy_peers::decide::messages::{
    BootId, InquiryId, MemberSummary, Message, MessagePart, PeerId,
};
use trailproxy_peers::wire::{ReadError, Seal, VERSION};

fn location() -> impl Strategy<Value = ClaimLocation> {
    prop_oneof![
        Just(ClaimLocation::NotReported),
        (0..3u16).prop_map(|z| ClaimLocation::At(z, 0)),
        Just(ClaimLocation::Anywhere)
    ]
}

fn stage() -> impl Strategy<Value = Stage> {
    prop_oneof![
        Just(Stage::Claimed),
        Just(Stage::Sent),
        Just(Stage::Released),
        Just(Stage::Unknown),
        Just(Stage::Done)
    ]
}

/// The time of a claim is set by its owner and never changes.
fn claim() -> impl Strategy<Value = Claim> {
    let body = proptest::option::of(proptest::collection::vec(0..4u8, 0..3));
    (2..22u64, stage(), location(), body).prop_map(|(token, stage, location, body)| Claim {
        token: Token(token),
        at: token * 3 % 40 + 1,
        stage,
        location,
        body: body.map(Vec::into_boxed_slice),
    })
}

/// A record as merging produces it: no token occurs twice.
fn record() -> impl Strategy<Value = Fact> {
    proptest::collection::vec(claim(), 0..9).prop_map(|claims| {
        let none = Fact::Record {
            key: 1,
            claims: vec![],
        };
        merge(none, Fact::Record { key: 1, claims })
    })
}

fn listed() -> impl Strategy<Value = ListedState> {
    prop_oneof![
        Just(ListedState::Ready),
        Just(ListedState::Draining),
        Just(ListedState::Gone)
    ]
}

fn host() -> impl Strategy<Value = Fact> {
    (0..3u64, 0..3u64, listed(), 0..3u64).prop_map(|(started, journal_position, listed, at)| {
        Fact::Host {
            host: 1,
            started,
            journal_position,
            listed,
            at,
        }
    })
}

fn purge() -> impl Strategy<Value = Fact> {
    (0..9u64).prop_map(|at| Fact::Purge {
        object: Some(1),
        group: 0,
        at,
    })
}

fn three_facts_of_one_kind() -> impl Strategy<Value = [Fact; 3]> {
    prop_oneof![
        [record(), record(), record()],
        [host(), host(), host()],
        [purge(), purge(), purge()]
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn merging_is_commutative_associative_and_idempotent([a, b, c] in three_facts_of_one_kind()) {
        let ab = merge(a.clone(), b.clone());
        prop_assert_eq!(&ab, &merge(b.clone(), a.clone()), "whoever comes first");
        let left = merge(ab.clone(), c.clone());
        prop_assert_eq!(&left, &merge(a.clone(), merge(b.clone(), c)), "however they are grouped");
        prop_assert_eq!(&merge(ab.clone(), b.clone()), &ab, "however often");
        prop_assert_eq!(&merge(a.clone(), a.clone()), &a);
    }

    /// A merged copy never permits more than either of its sources.
    #[test]
    fn a_merged_copy_permits_no_more_than_its_sources((a, b) in (record(), record())) {
        let seen = |fact: &Fact| match fact {
            Fact::Record { claims, .. } => trailproxy_peers::decide::facts::claims_of_others(Timestamp(100), claims, None),
            _ => None,
        };
        let both = seen(&merge(a.clone(), b.clone()));
        for one in [&a, &b] {
            let Fact::Record { claims, .. } = one else { unreachable!("a record") };
            let ran = claims.iter().filter(|claim| claim.stage >= Stage::Unknown);
            if let Some(first) = ran.map(|claim| claim.at).min() {
                let age = both.as_ref().map(|both| both.age);
                let least = Timestamp(100).since(Timestamp(first));
                prop_assert!(age.is_some_and(|age| age >= least), "forgotten, or its window would end later");
            }
        }
    }

    /// Members with the same facts have the same checksums, in whatever order the facts arrived.
    #[test]
    fn checksums_depend_on_the_facts_only(mut facts in proptest::collection::vec(three_facts_of_one_kind(), 1..6), seed in 0..99u64) {
        let lasts = Retention { record: TimeSpan(1_000), purge: TimeSpan(1_000), host: TimeSpan(1_000) };
        let mut held = [Facts::new(lasts), Facts::new(lasts)];
        for held in &mut held {
            for fact in facts.iter().flatten() {
                let _ = held.insert(Timestamp(5), fact.clone());
            }
            fastrand::Rng::with_seed(seed).shuffle(&mut facts);
        }
        let [one, other] = &mut held;
        for slot in trailproxy_peers::decide::facts::Slot::all() {
            prop_assert_eq!(one.checksum(slot), other.checksum(slot));
        }
    }

    #[test]
    fn only_datagrams_of_the_fleet_are_read(mut bytes in proptest::collection::vec(any::<u8>(), 0..300), at in any::<usize>(), bit in 0..8u8) {
        let seal = Seal::new("fleet", b"secret");
        prop_assert!(seal.read(&bytes).is_err());
        let mut good = seal.write(&message(vec![MessagePart::MembersRequest])).expect("short");
        let at = at % good.len();
        good[at] ^= 1 << bit;
        prop_assert!(seal.read(&good).is_err(), "a bit is flipped");
        bytes.truncate(10);
        prop_assert_eq!(seal.read(&bytes), Err(ReadError::Garbled));
    }
}

/// A merge that takes the copy that arrived last is not a valid rule; the test above detects it.
#[test]
fn a_planted_merge_by_arrival_is_found() {
    let by_arrival = |_: Fact, later: Fact| later;
    let purge = |at| Fact::Purge {
        object: Some(1),
        group: 0,
        at,
    };
    assert_ne!(
        by_arrival(purge(1), purge(2)),
        by_arrival(purge(2), purge(1))
    );
    assert_eq!(merge(purge(1), purge(2)), merge(purge(2), purge(1)));
}

fn message(parts: Vec<MessagePart>) -> Message {
    let (from, boot_id) = (PeerId(1), BootId(2));
    Message {
        from,
        boot_id,
        incarnation: 3,
        stamp: 4,
        parts,
    }
}

#[test]
fn a_message_is_read_as_it_was_written() {
    let seal = Seal::new("fleet", b"");
    let parts = vec![
        MessagePart::Ping(
            InquiryId(7),
            MemberSummary {
                in_sync: true,
                records: 5,
                journal_position: 9,
                membership_checksum: 1,
            },
        ),
        MessagePart::MembersRequest,
    ];
    let written = message(parts);
    let bytes = seal.write(&written).expect("short");
    assert_eq!(seal.read(&bytes), Ok((written.clone(), 0)));
    assert_eq!(
        Seal::new("other", b"").read(&bytes),
        Err(ReadError::Foreign)
    );
    assert_eq!(
        Seal::new("fleet", b"x").read(&bytes),
        Err(ReadError::Foreign)
    );
}

#[test]
fn the_largest_record_fits_a_datagram() {
    let claim = |n: u64| Claim {
        token: Token(100 + n),
        at: u64::MAX,
        stage: Stage::Done,
        location: ClaimLocation::At(u16::MAX, u16::MAX),
        body: Some(vec![0; 512].into()),
    };
    let claims: Vec<Claim> = (0..12).map(claim).collect();
    let (inquiry_id, sure) = (InquiryId(u64::MAX), true);
    let bytes = Seal::new("f", b"").write(&message(vec![MessagePart::ClaimStatus {
        inquiry_id,
        sure,
        claims,
    }]));
    assert!(bytes.is_some_and(|bytes| bytes.len() < 8_192));
    assert_eq!(VERSION, 1);
}
