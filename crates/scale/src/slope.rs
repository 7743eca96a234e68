//! How a figure grows with a size: least squares, with the slope's standard error.

use textplots::{Chart, Plot, Shape};

/// A straight line through measured points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// At size 0.
    pub base: f64,
    /// A unit of size.
    pub slope: f64,
    /// Standard error of the slope; none with fewer than three points.
    pub error: Option<f64>,
}

/// The line through points of (size, figure); none with fewer than two sizes.
pub fn fit(points: &[(f64, f64)]) -> Option<Line> {
    let count = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
    let (x, y) = (mean(|point| point.0), mean(|point| point.1));
    let spread: f64 = points.iter().map(|point| (point.0 - x).powi(2)).sum();
    if points.len() < 2 || spread == 0.0 {
        return None;
    }
    let slope = points.iter().map(|point| (point.0 - x) * (point.1 - y)).sum::<f64>() / spread;
    let base = y - slope * x;
    let left: f64 = points.iter().map(|point| (point.1 - base - slope * point.0).powi(2)).sum();
    let error = (points.len() > 2).then(|| (left / (count - 2.0) / spread).sqrt());
    Some(Line { base, slope, error })
}

/// Prints a figure by size, its line and a plot.
pub fn print(name: &str, unit: &str, size: &str, points: &[(f64, f64)]) {
    let Some(line) = fit(points) else { return };
    let error =
        line.error.map_or("error not known".to_owned(), |error| format!("standard error {error:.3e}"));
    println!("\n{name}: {:.3} {unit} + {:.3e} {unit} for each {size} ({error})", line.base, line.slope);
    let plotted: Vec<(f32, f32)> = points.iter().map(|point| (point.0 as f32, point.1 as f32)).collect();
    let most = plotted.iter().map(|point| point.0).fold(1.0, f32::max);
    Chart::new(100, 30, 0.0, most).lineplot(&Shape::Lines(&plotted)).display();
}
