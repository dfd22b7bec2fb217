//! What the searches decide: the ramp for the highest rate, the shortest bad day, the hunt for bad days.

mod hunt {
    use rand::SeedableRng;
    use rand::rngs::StdRng;
    use trailproxy_lab::decide::hunt::*;

    fn targets() -> Targets {
        let names = |n: usize, what: &str| (0..n).map(|i| format!("z/{what}/{i}")).collect();
        Targets {
            caches: names(4, "cache"),
            parents: names(2, "parent"),
            origin: Some("hub/origin".into()),
            zones: vec!["z".into()],
            length: 600,
        }
    }

    #[test]
    fn it_finds_the_planted_weakness_and_little_else() {
        let mut hunt = Hunt::new(targets(), 600, StdRng::seed_from_u64(4));
        let mut days = 0;
        while let Some(day) = hunt.to_try() {
            days += 1;
            let stalled = day.iter().any(|s| s.kind == "stall" && s.span > 50);
            let rolled = day.iter().any(|s| s.kind == "roll");
            let loss = 0.3 * f64::from(u8::from(stalled)) + 0.3 * f64::from(u8::from(rolled));
            hunt.tried(Score {
                loss: loss + 0.001 * day.len() as f64,
                rules_broken: false,
            });
        }
        assert!(days <= 600);
        let mut kinds: Vec<&str> = hunt
            .found()
            .expect("a day")
            .iter()
            .map(|s| s.kind)
            .collect();
        kinds.sort_unstable();
        assert_eq!(kinds, ["roll", "stall"]);
    }

    #[test]
    fn a_broken_rule_is_worse_than_any_loss() {
        let mut hunt = Hunt::new(targets(), 200, StdRng::seed_from_u64(9));
        while let Some(day) = hunt.to_try() {
            let rules_broken = day.iter().any(|s| s.kind == "dispatchers");
            let loss = if rules_broken { 0.0 } else { 0.9 };
            hunt.tried(Score { loss, rules_broken });
        }
        assert!(
            hunt.found()
                .expect("a day")
                .iter()
                .any(|s| s.kind == "dispatchers")
        );
    }
}

mod ramp {
    use proptest::prelude::*;
    use trailproxy_lab::decide::ramp::Ramp;

    proptest! {
        #[test]
        fn it_ends_just_below_the_edge(edge in 2.0..5e5f64, from in 1.0..1e4f64) {
            let mut ramp = Ramp::new(from, 0.05, 0);
            let mut rounds = 0;
            while let Some(rate) = ramp.to_try() {
                ramp.tried(rate <= edge);
                rounds += 1;
                prop_assert!(rounds < 60);
            }
            prop_assert!(ramp.highest() <= edge && ramp.highest() * 1.06 >= edge);
        }

        #[test]
        fn one_bad_second_is_no_verdict(edge in 50.0..5e4f64, bad in 0usize..6) {
            let mut ramp = Ramp::new(10.0, 0.05, 1);
            let mut rounds = 0;
            while let Some(rate) = ramp.to_try() {
                ramp.tried(rate <= edge && rounds != bad);
                rounds += 1;
            }
            prop_assert!(ramp.highest() * 1.06 >= edge);
        }
    }
}

mod shrink {
    use proptest::prelude::*;
    use trailproxy_lab::decide::shrink::*;

    #[derive(Clone, Debug, PartialEq)]
    struct Dose(u32);

    impl Part for Dose {
        fn weaker(&self) -> Option<Dose> {
            (self.0 > 1).then_some(Dose(self.0 / 2))
        }
    }

    fn run(parts: Vec<u32>, bad: impl Fn(&[Dose]) -> bool) -> Vec<u32> {
        let mut shrink = Shrink::new(parts.into_iter().map(Dose).collect(), 10_000);
        while let Some(day) = shrink.to_try() {
            shrink.tried(bad(&day));
        }
        shrink.parts().iter().map(|dose| dose.0).collect()
    }

    #[test]
    fn what_does_not_matter_is_left_out() {
        let bad = |day: &[Dose]| day.iter().any(|d| d.0 >= 40) && day.iter().any(|d| d.0 % 7 == 3);
        let left = run(vec![1, 2, 100, 5, 8, 17, 9, 4], bad);
        assert_eq!(left, vec![50, 17]);
    }

    proptest! {
        #[test]
        fn the_end_is_bad_and_no_single_cut_of_it_is(parts in prop::collection::vec(1u32..200, 1..20), need in 1u32..200) {
            let bad = |day: &[Dose]| day.iter().map(|d| d.0).sum::<u32>() >= need;
            let all: Vec<Dose> = parts.iter().copied().map(Dose).collect();
            prop_assume!(bad(&all));
            let left: Vec<Dose> = run(parts, bad).into_iter().map(Dose).collect();
            prop_assert!(bad(&left));
            for (i, part) in left.iter().enumerate() {
                let mut weaker = left.clone();
                if let Some(less) = part.weaker() {
                    weaker[i] = less;
                    prop_assert!(!bad(&weaker));
                }
            }
        }

        #[test]
        fn it_ends_within_its_tries(parts in prop::collection::vec(1u32..200, 1..20), tries in 0usize..50) {
            let mut shrink = Shrink::new(parts.into_iter().map(Dose).collect(), tries);
            let mut n = 0;
            while shrink.to_try().is_some() {
                shrink.tried(n % 2 == 0);
                n += 1;
            }
            prop_assert!(n <= tries);
        }
    }
}
