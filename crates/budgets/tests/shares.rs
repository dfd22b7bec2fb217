//! Scenarios of all budgets of a few dispatchers: differing totals and divisions, budgets that are
//! removed and added again, dispatchers that stop.

use std::collections::VecDeque;
use trailproxy::units::*;
use trailproxy_budgets::config::BudgetsConfig;
use trailproxy_budgets::decide::shares::{Action, BudgetMessage, BudgetShares, NamedBudget};
use trailproxy_budgets::decide::traffic::Traffic;
use trailproxy_budgets::decide::{BootId, BudgetId, Division, HolderId};

const LINK: &str = "1/link";

fn budget(name: &str, total: f64, dispatchers: u32) -> NamedBudget {
    let division = Division {
        dispatchers,
        floor_share: 0.25,
        tickets: 64,
        voters: 3,
        lease_duration: TimeSpan::from_secs(2),
        guard_time: TimeSpan::ZERO,
    };
    let name = name.into();
    NamedBudget {
        name,
        total,
        division,
    }
}

/// Dispatchers, of which the first three are voters, with links that can be partitioned.
struct Fleet {
    now: Timestamp,
    all: Vec<Option<BudgetShares>>,
    partitioned: Vec<bool>,
    needs: Vec<f64>,
    priority_needs: Vec<f64>,
    in_flight: VecDeque<(usize, HolderId, BudgetMessage)>,
    mismatches: Vec<(usize, String)>,
    boot: u64,
}

impl Fleet {
    fn new(n: usize) -> Fleet {
        let mut fleet = Fleet {
            now: Timestamp(1_000_000_000),
            all: (0..n).map(|_| None).collect(),
            partitioned: vec![false; n],
            needs: vec![1.0; n],
            priority_needs: vec![0.0; n],
            in_flight: VecDeque::new(),
            mismatches: Vec::new(),
            boot: 0,
        };
        (0..n).for_each(|nth| fleet.start(nth, vec![budget(LINK, 100.0, n as u32)]));
        fleet.run(8_000);
        fleet
    }

    fn start(&mut self, nth: usize, budgets: Vec<NamedBudget>) {
        self.boot += 1;
        let voters = (0..3).map(HolderId).collect();
        let own = HolderId(nth as u64);
        let mut shares = BudgetShares::new(own, BootId(self.boot), voters, self.boot);
        shares.set_budgets(self.now, budgets);
        self.all[nth] = Some(shares);
    }

    fn set(&mut self, nth: usize, budgets: Vec<NamedBudget>) {
        let now = self.now;
        self.all[nth]
            .iter_mut()
            .for_each(|of| of.set_budgets(now, budgets.clone()));
    }

    fn run(&mut self, ms: u64) {
        let end = self.now + TimeSpan::from_millis(ms);
        while self.now < end {
            self.now = self.now + TimeSpan::from_millis(20);
            for nth in 0..self.all.len() {
                let (now, need, priority_needs) =
                    (self.now, self.needs[nth], self.priority_needs[nth]);
                if let Some(shares) = &mut self.all[nth] {
                    shares.set_need(now, BudgetId::of_name(LINK), need, priority_needs);
                    shares.advance(now);
                }
                self.handle_actions(nth);
            }
            while let Some((to, from, message)) = self.in_flight.pop_front() {
                let now = self.now;
                self.all[to]
                    .iter_mut()
                    .for_each(|of| of.on_message(now, from, message.clone()));
                self.handle_actions(to);
            }
        }
    }

    fn handle_actions(&mut self, nth: usize) {
        for handle_actions in self.all[nth]
            .as_mut()
            .map(BudgetShares::take_actions)
            .unwrap_or_default()
        {
            match handle_actions {
                Action::Send(to, message) => {
                    let to = to.0 as usize;
                    if !self.partitioned[nth] && !self.partitioned[to] {
                        self.in_flight
                            .push_back((to, HolderId(nth as u64), message));
                    }
                }
                Action::Mismatch { name, .. } => self.mismatches.push((nth, name)),
                Action::PartChanged(..) => {}
            }
        }
    }

    /// What all together may use now, in the unit of each dispatcher's own total.
    fn sum(&self) -> f64 {
        let parts = self.all.iter().flatten().map(|of| {
            let (id, budget) = of.budgets().next().expect("a budget");
            of.part(self.now, id).expect("its part").fraction * budget.total
        });
        parts.sum()
    }

    fn part(&self, nth: usize) -> f64 {
        let of = self.all[nth].as_ref().expect("up");
        of.part(self.now, BudgetId::of_name(LINK))
            .map_or(0.0, |part| part.fraction)
    }
}

#[test]
fn a_lower_whole_that_one_has_read_holds_for_all_within_a_second_and_a_half() {
    let mut fleet = Fleet::new(5);
    assert!((90.0..=100.0).contains(&fleet.sum()), "{}", fleet.sum());
    fleet.set(4, vec![budget(LINK, 60.0, 5)]);
    fleet.run(1_500);
    assert!(fleet.sum() <= 60.0 + 1e-6, "{}", fleet.sum());
    assert!(
        fleet
            .mismatches
            .iter()
            .any(|(nth, name)| *nth == 0 && name == LINK)
    );
    // All have read the new file.
    (0..4).for_each(|nth| fleet.set(nth, vec![budget(LINK, 60.0, 5)]));
    fleet.run(3_000);
    assert!((50.0..=60.0).contains(&fleet.sum()), "{}", fleet.sum());
}

#[test]
fn a_higher_whole_holds_once_all_have_read_it() {
    let mut fleet = Fleet::new(5);
    for nth in 0..5 {
        fleet.set(nth, vec![budget(LINK, 200.0, 5)]);
        if nth < 4 {
            fleet.run(400);
            assert!(fleet.sum() <= 100.0 + 1e-6, "{nth}: {}", fleet.sum());
        }
    }
    fleet.run(4_000);
    assert!(fleet.sum() > 180.0, "{}", fleet.sum());
}

#[test]
fn whoever_is_cut_off_with_a_higher_whole_has_its_floor_of_it_and_no_more() {
    let mut fleet = Fleet::new(5);
    fleet.partitioned[4] = true;
    fleet.set(4, vec![budget(LINK, 200.0, 5)]);
    for _ in 0..40 {
        fleet.run(250);
        assert!(fleet.sum() <= 200.0, "{}", fleet.sum());
    }
    assert!((fleet.part(4) - 0.05).abs() < 1e-9);
}

#[test]
fn words_of_another_division_count_for_nothing_and_are_told_of() {
    let mut fleet = Fleet::new(3);
    // Two have a file for six dispatchers; the third alone has no majority of voters with its own division.
    fleet.set(0, vec![budget(LINK, 100.0, 6)]);
    fleet.set(1, vec![budget(LINK, 100.0, 6)]);
    fleet.run(4_000);
    assert!(
        (fleet.part(2) - 0.25 / 3.0).abs() < 1e-9,
        "{}",
        fleet.part(2)
    );
    assert!(
        fleet.part(0) + fleet.part(1) > 0.7,
        "two of three voters agree"
    );
    assert!(fleet.sum() <= 100.0 + 1e-6, "{}", fleet.sum());
    assert!(fleet.mismatches.iter().any(|(nth, _)| *nth == 2));
}

#[test]
fn a_budget_that_was_taken_out_and_brought_back_begins_with_floors() {
    let mut fleet = Fleet::new(4);
    fleet.set(0, vec![budget("1/other", 1.0, 4)]);
    fleet.run(200);
    assert_eq!(fleet.part(0), 0.0, "it has no such budget");
    fleet.set(0, vec![budget(LINK, 100.0, 4)]);
    assert!((fleet.part(0) - 0.25 / 4.0).abs() < 1e-9);
    for _ in 0..20 {
        fleet.run(200);
        assert!(fleet.sum() <= 100.0 + 1e-6, "{}", fleet.sum());
    }
    assert!(fleet.part(0) > 0.15, "{}", fleet.part(0));
}

#[test]
fn one_that_leaves_gives_back_at_once_and_one_that_died_when_its_words_have_run_out() {
    let mut fleet = Fleet::new(5);
    let now = fleet.now;
    fleet.all[4].iter_mut().for_each(|of| of.leave(now));
    fleet.handle_actions(4);
    fleet.needs = vec![1.0, 1.0, 1.0, 1.0, 0.0];
    fleet.all[4] = None;
    fleet.run(1_000);
    let left = (0..4).map(|nth| fleet.part(nth)).sum::<f64>();
    assert!(left > 0.9, "{left} within a second");
    fleet.all[3] = None;
    fleet.run(1_500);
    let early = (0..3).map(|nth| fleet.part(nth)).sum::<f64>();
    assert!(early < 0.8, "{early}: what it had may still be used there");
    fleet.run(3_500);
    let late = (0..3).map(|nth| fleet.part(nth)).sum::<f64>();
    assert!(late > 0.85, "{late}");
}

#[test]
fn a_majority_of_voters_lost_for_good_leaves_floors_until_others_are_named() {
    let mut fleet = Fleet::new(5);
    (fleet.all[0], fleet.all[1]) = (None, None);
    fleet.run(5_000);
    for nth in 2..5 {
        assert!((fleet.part(nth) - 0.05).abs() < 1e-9, "{nth}");
    }
    // The operator names other voters; like every voter that starts, they grant nothing at first.
    let voters: Vec<HolderId> = (2..5).map(HolderId).collect();
    for nth in 2..5 {
        let own = HolderId(nth as u64);
        let mut shares = BudgetShares::new(own, BootId(90 + nth as u64), voters.clone(), 5);
        shares.set_budgets(fleet.now, vec![budget(LINK, 100.0, 5)]);
        fleet.all[nth] = Some(shares);
    }
    fleet.run(1_900);
    assert!(fleet.part(3) < 0.06, "{}", fleet.part(3));
    fleet.run(4_000);
    assert!(fleet.part(3) > 0.2, "{}", fleet.part(3));
}

#[test]
fn what_goes_first_of_all_comes_before_the_rest_of_any() {
    let mut fleet = Fleet::new(3);
    fleet.priority_needs[1] = 0.6;
    fleet.run(8_000);
    assert!(fleet.part(1) > 0.5, "{}", fleet.part(1));
    assert!(
        fleet.part(0) < 0.3 && fleet.part(0) > 0.05,
        "{}",
        fleet.part(0)
    );
}

#[test]
fn what_is_given_out_by_weight_is_all_given_out() {
    let mut fleet = Fleet::new(4);
    let id = BudgetId::of_name(LINK);
    for _ in 0..400 {
        fleet.run(20);
        for (nth, weight) in [(0, 70), (1, 10), (2, 10), (3, 1)] {
            fleet.all[nth]
                .iter_mut()
                .for_each(|of| of.set_weight(id, weight));
        }
    }
    assert!(
        fleet.sum() > 92.0 && fleet.sum() <= 100.0 + 1e-6,
        "{}",
        fleet.sum()
    );
    assert!(fleet.part(0) > 0.55, "{}", fleet.part(0));
    assert!(
        fleet.part(3) >= 0.25 / 4.0,
        "something for whoever has no traffic yet"
    );
}

#[test]
fn a_weight_follows_traffic_and_not_every_change_of_it() {
    let (mut traffic, mut now) = (Traffic::default(), Timestamp(0));
    let mut weights = Vec::new();
    for nth in 0..2_000 {
        // Forty a second, then eighty.
        now = now + TimeSpan::from_millis(if nth < 1_000 { 25 } else { 12 });
        traffic.on_arrival(now);
        weights.push(traffic.weight(now));
    }
    let steady = &weights[600..1_000];
    assert!(steady.iter().all(|of| *of == steady[0]), "{steady:?}");
    assert!((100..=200).contains(&weights[999]), "{}", weights[999]);
    assert!((240..=400).contains(&weights[1_999]), "{}", weights[1_999]);
    assert_eq!(traffic.weight(now + TimeSpan::from_secs(120)), 1);
}

#[test]
fn a_section_with_wrong_voters_is_refused_by_place_and_field() {
    let config = |voters: &[&str]| BudgetsConfig {
        file: "f.star".into(),
        position: (3, 1),
        voters: voters.iter().map(|name| (*name).to_owned()).collect(),
        floors: 0.25,
        lasts_s: 2.0,
        cold: true,
    };
    assert_eq!(config(&["a", "b", "c"]).check(), Ok(()));
    for voters in [&[][..], &["a", "b"], &["a", "a", "b"]] {
        let message = config(voters).check().expect_err("unacceptable voters");
        assert!(
            message.starts_with("f.star:3:1: section budgets, field voters: found"),
            "{message}"
        );
    }
    assert_eq!(config(&["a"]).division(300).tickets, 1_024);
}

#[test]
fn a_word_is_read_as_written_and_what_is_none_is_not() {
    let mut shares = BudgetShares::new(HolderId(7), BootId(1), vec![HolderId(1)], 3);
    shares.set_budgets(Timestamp(0), vec![budget(LINK, 5.0, 2)]);
    shares.advance(Timestamp(1_000_000));
    let sent = shares
        .take_actions()
        .into_iter()
        .find_map(|handle_actions| match handle_actions {
            Action::Send(_, message) => Some(message),
            _ => None,
        });
    let message = sent.expect("a question");
    assert_eq!(
        trailproxy_budgets::read(&trailproxy_budgets::write(&message)),
        Some(message)
    );
    for bytes in [&[][..], &[9, 9, 9], &[0xff; 40]] {
        assert_eq!(trailproxy_budgets::read(bytes), None);
    }
}
