//! A line through measured points by least squares, with an interval for its slope.

use serde::{Deserialize, Serialize};
use statrs::distribution::{ContinuousCDF, StudentsT};

/// Points at fewer places say nothing of a slope.
pub const LEAST_PLACES: usize = 4;
/// The interval leaves this much out on each side: 95% lie within.
const TAIL: f64 = 0.025;

/// One measured point.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    pub x: f64,
    pub y: f64,
}

/// By how much `of` grows with each `by`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    pub of: String,
    pub by: String,
    pub slope: f64,
    /// Ends of the interval at 95% for the slope.
    pub least: f64,
    pub most: f64,
    pub intercept: f64,
    pub points: usize,
}

impl Slope {
    /// `None`: points at fewer places than [`LEAST_PLACES`].
    pub fn fit(of: &str, by: &str, points: &[Point]) -> Option<Slope> {
        let mut places: Vec<f64> = points.iter().map(|point| point.x).collect();
        places.sort_unstable_by(f64::total_cmp);
        places.dedup();
        if places.len() < LEAST_PLACES {
            return None;
        }
        let n = points.len() as f64;
        let mean_x = points.iter().map(|point| point.x).sum::<f64>() / n;
        let mean_y = points.iter().map(|point| point.y).sum::<f64>() / n;
        let spread: f64 = points.iter().map(|p| (p.x - mean_x).powi(2)).sum();
        let product = |p: &Point| (p.x - mean_x) * (p.y - mean_y);
        let slope = points.iter().map(product).sum::<f64>() / spread;
        let intercept = mean_y - slope * mean_x;
        let residual = |p: &Point| (p.y - intercept - slope * p.x).powi(2);
        let freedom = n - 2.0;
        let variance = points.iter().map(residual).sum::<f64>() / freedom;
        let student = StudentsT::new(0.0, 1.0, freedom).ok()?;
        let half = student.inverse_cdf(1.0 - TAIL) * (variance / spread).sqrt();
        Some(Slope {
            of: of.to_owned(),
            by: by.to_owned(),
            slope,
            least: slope - half,
            most: slope + half,
            intercept,
            points: points.len(),
        })
    }
}
