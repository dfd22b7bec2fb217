//! Fits name the law that made the points, and say nothing of a curve beyond the largest size run.

use trailproxy_capacity::fit::{Fit, JointLaw, Law, Line, Point, joint_law};

fn points(figure: impl Fn(f64) -> f64) -> Vec<Point> {
    let sizes = [60.0, 120.0, 240.0, 490.0];
    sizes.map(|x| Point { x, y: figure(x) }).to_vec()
}

fn fit(figure: impl Fn(f64) -> f64) -> Fit {
    Fit::over("figure", points(figure))
}

/// A little scatter, the same each time, that no line through the points follows.
fn scatter(x: f64) -> f64 {
    if x == 120.0 || x == 240.0 {
        0.02
    } else {
        -0.02
    }
}

#[test]
fn a_level_is_constant() {
    let fit = fit(|x| 5.0 + scatter(x));
    assert_eq!(fit.law, Some(Law::Constant));
    assert!((fit.at(980.0).expect("extrapolated") - 5.0).abs() < 0.2);
}

#[test]
fn a_line_is_linear_and_its_slope_lies_in_its_interval() {
    let fit = fit(|x| 2.0 + 0.1 * x + scatter(x));
    assert_eq!(fit.law, Some(Law::Linear));
    let line = fit.line.expect("a line");
    assert!(line.slope_low < 0.1 && 0.1 < line.slope_high);
    assert!(line.slope_high - line.slope_low < 0.01);
    assert!((fit.at(980.0).expect("extrapolated") - 100.0).abs() < 1.0);
}

#[test]
fn a_curve_is_named_and_not_extrapolated() {
    let fit = fit(|x| x * x / 100.0);
    assert_eq!(fit.law, Some(Law::Curved));
    assert_eq!(fit.at(980.0), None);
    assert!(fit.at(490.0).is_some());
}

#[test]
fn three_sizes_make_no_law() {
    let mut three = points(|x| x);
    three.pop();
    assert_eq!(Fit::over("figure", three).law, None);
}

#[test]
fn one_size_makes_no_line() {
    let one = vec![Point { x: 60.0, y: 1.0 }; 4];
    assert_eq!(Line::fit(&one), None);
}

#[test]
fn the_interval_is_that_of_students_t() {
    // By hand: slope 0.94, standard error sqrt(0.082 / 2 / 5), t of 2 degrees at 97.5% 4.3027.
    let points = [(1.0, 1.1), (2.0, 1.9), (3.0, 3.2), (4.0, 3.8)];
    let line = Line::fit(&points.map(|(x, y)| Point { x, y })).expect("a line");
    assert!((line.slope - 0.94).abs() < 1e-9);
    assert!((line.slope_high - line.slope - 4.302_652_7 * (0.082f64 / 10.0).sqrt()).abs() < 1e-4);
}

#[test]
fn laws_over_members_and_over_a_rate_make_one() {
    let expected = [
        (Law::Constant, Law::Constant, JointLaw::Constant),
        (Law::Linear, Law::Constant, JointLaw::LinearInMembers),
        (Law::Constant, Law::Linear, JointLaw::LinearInRate),
        (Law::Linear, Law::Linear, JointLaw::LinearInBoth),
        (Law::Constant, Law::Curved, JointLaw::Curved),
        (Law::Curved, Law::Linear, JointLaw::Curved),
    ];
    for (members, rate, joint) in expected {
        assert_eq!(joint_law(members, rate), joint);
    }
}
