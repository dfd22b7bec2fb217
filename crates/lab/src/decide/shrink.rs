//! Cuts a bad day down to what makes it bad.
//!
//! It proposes smaller days and is told which are still bad: halves of the parts first, then single parts, then each
//! part made weaker. What it ends with is bad, and no single cut that it knows leaves it so.

/// One way in which a day is smaller than the one before.
#[derive(Clone, Debug, PartialEq)]
pub enum Cut<P> {
    Drop(Vec<usize>),
    Weaken(usize, P),
}

/// Something that a day is made of and that can be made weaker.
pub trait Part: Clone + PartialEq {
    /// The next weaker form of it; `None` where there is none.
    fn weaker(&self) -> Option<Self>;
}

/// A search in progress: ask for the next day, tell whether it is still bad.
#[derive(Clone, Debug)]
pub struct Shrink<P> {
    parts: Vec<P>,
    /// How many parts are left out at once, and from where; 0: parts are made weaker.
    width: usize,
    at: usize,
    proposed: Option<Cut<P>>,
    tries_left: usize,
}

impl<P: Part> Shrink<P> {
    /// Starts from the parts of a bad day, and ends after so many tries at the latest.
    pub fn new(parts: Vec<P>, tries: usize) -> Shrink<P> {
        let width = parts.len().div_ceil(2);
        Shrink {
            parts,
            width,
            at: 0,
            proposed: None,
            tries_left: tries,
        }
    }

    /// The smallest bad day so far.
    pub fn parts(&self) -> &[P] {
        &self.parts
    }

    /// The parts of the next day to try; `None` when nothing smaller is left to try.
    pub fn to_try(&mut self) -> Option<Vec<P>> {
        if self.tries_left == 0 {
            return None;
        }
        while self.width > 0 {
            if self.at < self.parts.len() && self.parts.len() > 1 {
                let end = (self.at + self.width).min(self.parts.len());
                if end - self.at < self.parts.len() {
                    self.proposed = Some(Cut::Drop((self.at..end).collect()));
                    return self.propose();
                }
            }
            self.width = if self.width == 1 {
                0
            } else {
                self.width.div_ceil(2)
            };
            self.at = 0;
        }
        while self.at < self.parts.len() {
            if let Some(weaker) = self.parts[self.at].weaker() {
                self.proposed = Some(Cut::Weaken(self.at, weaker));
                return self.propose();
            }
            self.at += 1;
        }
        None
    }

    fn propose(&mut self) -> Option<Vec<P>> {
        self.tries_left -= 1;
        Some(self.cut())
    }

    fn cut(&self) -> Vec<P> {
        let mut parts = self.parts.clone();
        match &self.proposed {
            Some(Cut::Drop(out)) => {
                let kept = parts.iter().enumerate().filter(|(i, _)| !out.contains(i));
                kept.map(|(_, part)| part.clone()).collect()
            }
            Some(Cut::Weaken(at, weaker)) => {
                parts[*at] = weaker.clone();
                parts
            }
            None => parts,
        }
    }

    /// Whether the proposed day was still bad.
    pub fn tried(&mut self, still_bad: bool) {
        if still_bad {
            self.parts = self.cut();
        }
        match (self.proposed.take(), still_bad) {
            // What stands at this place now is another part, or the same one weaker.
            (Some(_), true) => {}
            (Some(Cut::Drop(out)), false) => self.at += out.len(),
            (Some(Cut::Weaken(..)), false) => self.at += 1,
            (None, _) => {}
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

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
