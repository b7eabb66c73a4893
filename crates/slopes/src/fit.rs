//! Straight lines through measured points.

use std::fmt;

/// A measured point.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// The size.
    pub size: f64,
    /// The measurement at this size.
    pub value: f64,
}

/// A line by least squares: `base + slope × size`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// The value at size 0.
    pub base: f64,
    /// The growth per unit of size.
    pub slope: f64,
    /// The share of the variance that the line explains.
    pub r2: f64,
}

impl Fit {
    /// Fits a line; a single size gives a slope of 0.
    pub fn new(points: &[Point]) -> Self {
        let count = points.len() as f64;
        let mean = |of: fn(&Point) -> f64| points.iter().map(of).sum::<f64>() / count;
        let (size, value) = (mean(|point| point.size), mean(|point| point.value));
        let sum = |of: &dyn Fn(&Point) -> f64| points.iter().map(of).sum::<f64>();
        let spread = sum(&|point| (point.size - size).powi(2));
        let total = sum(&|point| (point.value - value).powi(2));
        let common = sum(&|point| (point.size - size) * (point.value - value));
        let slope = if spread > 0.0 { common / spread } else { 0.0 };
        let r2 = if spread * total > 0.0 {
            common.powi(2) / (spread * total)
        } else {
            1.0
        };
        Fit {
            base: value - slope * size,
            slope,
            r2,
        }
    }

    /// The value that the line gives at `size`.
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}

impl fmt::Display for Fit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (base, slope) = (number(self.base), number(self.slope));
        write!(f, "{base} + {slope}·n (r² {:.2})", self.r2)
    }
}

/// A number with three significant digits and a thousands unit.
pub fn number(value: f64) -> String {
    let size = value.abs();
    let (scaled, unit) = match size {
        size if size >= 1e9 => (value / 1e9, "G"),
        size if size >= 1e6 => (value / 1e6, "M"),
        size if size >= 1e4 => (value / 1e3, "k"),
        _ => (value, ""),
    };
    let digits = match scaled.abs() {
        scaled if scaled >= 100.0 => 0,
        scaled if scaled >= 10.0 => 1,
        _ => 2,
    };
    format!("{scaled:.digits$}{unit}")
}
