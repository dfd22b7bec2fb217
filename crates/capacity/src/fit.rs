//! Least-squares fits of a figure over sizes and rates, with their confidence.

use serde::Serialize;
use statrs::distribution::{ContinuousCDF, StudentsT};

/// Fewer points make no law.
pub const LEAST_POINTS: usize = 4;
const CONFIDENCE: f64 = 0.95;
/// A slope that adds less than this part of the figure from the smallest size to the largest is none.
const FLAT_PART: f64 = 0.05;
/// Points that are off the line by more than this part of the mean make it a curve.
const CURVED_PART: f64 = 0.05;

/// One measured point.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Point {
    pub x: f64,
    pub y: f64,
}

/// How a figure depends on one quantity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Law {
    Constant,
    Linear,
    /// No line fits: nothing is said beyond the largest value run.
    Curved,
}

/// How a figure depends on the number of members and on a rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JointLaw {
    Constant,
    LinearInMembers,
    LinearInRate,
    LinearInBoth,
    Curved,
}

/// A straight line, with the interval that its slope is in.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    pub intercept: f64,
    pub slope: f64,
    pub slope_low: f64,
    pub slope_high: f64,
    /// The root of the mean square of what is left beside the line.
    pub residual: f64,
}

impl Line {
    /// Fits a line through at least three points of which not all have one `x`.
    pub fn fit(points: &[Point]) -> Option<Line> {
        let count = points.len() as f64;
        if points.len() < 3 {
            return None;
        }
        let mean_x = points.iter().map(|point| point.x).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.y).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|point| (point.x - mean_x).powi(2)).sum();
        if spread <= 0.0 {
            return None;
        }
        let products = points.iter();
        let products = products.map(|point| (point.x - mean_x) * (point.y - mean_y));
        let slope = products.sum::<f64>() / spread;
        let intercept = mean_y - slope * mean_x;
        let squares = points.iter();
        let squares = squares.map(|point| (point.y - intercept - slope * point.x).powi(2));
        let squares: f64 = squares.sum();
        let degrees = count - 2.0;
        let half = half_width(degrees, (squares / degrees / spread).sqrt())?;
        Some(Line {
            intercept,
            slope,
            slope_low: slope - half,
            slope_high: slope + half,
            residual: (squares / count).sqrt(),
        })
    }

    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }

    /// Whether its slope is told from none.
    pub fn has_slope(&self) -> bool {
        self.slope_low > 0.0 || self.slope_high < 0.0
    }
}

/// Half the width of the confidence interval of a slope with this standard error.
fn half_width(degrees: f64, error: f64) -> Option<f64> {
    let student = StudentsT::new(0.0, 1.0, degrees).ok()?;
    Some(student.inverse_cdf(0.5 + CONFIDENCE / 2.0) * error)
}

/// A figure over sizes or rates: its points, the line through them and the law that they follow.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Fit {
    pub figure: String,
    pub points: Vec<Point>,
    pub line: Option<Line>,
    /// `None`: too few points for a law.
    pub law: Option<Law>,
}

impl Fit {
    pub fn over(figure: &str, points: Vec<Point>) -> Fit {
        let line = Line::fit(&points);
        let law = line.as_ref().filter(|_| points.len() >= LEAST_POINTS);
        Fit {
            figure: figure.into(),
            law: law.map(|line| law_of(&points, line)),
            line,
            points,
        }
    }

    /// What the figure would be elsewhere; `None` for a curve beyond the largest value run.
    pub fn at(&self, x: f64) -> Option<f64> {
        let largest = self.points.iter().map(|point| point.x).fold(0.0, f64::max);
        if self.law == Some(Law::Curved) && x > largest {
            return None;
        }
        Some(self.line.as_ref()?.at(x))
    }
}

fn law_of(points: &[Point], line: &Line) -> Law {
    let mean = points.iter().map(|point| point.y.abs()).sum::<f64>() / points.len() as f64;
    let least = points.iter().map(|point| point.x).fold(f64::MAX, f64::min);
    let most = points.iter().map(|point| point.x).fold(0.0, f64::max);
    let rise = (line.slope * (most - least)).abs();
    let is_flat = !line.has_slope() || rise <= FLAT_PART * mean;
    if line.residual > CURVED_PART * mean && bends(points, line) {
        return Law::Curved;
    }
    if is_flat { Law::Constant } else { Law::Linear }
}

/// Whether what is left beside the line has one sign at both ends and the other between them.
fn bends(points: &[Point], line: &Line) -> bool {
    let mut sorted = points.to_vec();
    sorted.sort_by(|one, other| one.x.total_cmp(&other.x));
    let left: Vec<f64> = sorted
        .iter()
        .map(|point| point.y - line.at(point.x))
        .collect();
    let (Some(&first), Some(&last)) = (left.first(), left.last()) else {
        return false;
    };
    let between: f64 = left[1..left.len() - 1].iter().sum();
    first * last > 0.0 && first * between < 0.0
}

/// The law of a figure that was run at several sizes and several rates: what it does over each alone.
pub fn joint_law(over_members: Law, over_rate: Law) -> JointLaw {
    match (over_members, over_rate) {
        (Law::Curved, _) | (_, Law::Curved) => JointLaw::Curved,
        (Law::Constant, Law::Constant) => JointLaw::Constant,
        (Law::Linear, Law::Constant) => JointLaw::LinearInMembers,
        (Law::Constant, Law::Linear) => JointLaw::LinearInRate,
        (Law::Linear, Law::Linear) => JointLaw::LinearInBoth,
    }
}
