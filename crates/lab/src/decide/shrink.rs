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
