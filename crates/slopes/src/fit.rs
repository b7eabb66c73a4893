//! Linear regression over measured points.

use std::fmt;

/// A measured point.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// Size that was varied.
    pub size: f64,
    /// Value that was measured at this size.
    pub value: f64,
}

/// Line `base + slope × size`, fitted by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Value of the line at size 0.
    pub base: f64,
    /// Increase of the value per unit of size.
    pub slope: f64,
    /// Share of the variance that the line explains.
    pub r2: f64,
}

impl Fit {
    /// Fits a line; if all points have the same size, the slope is 0.
    pub fn new(points: &[Point]) -> Self {
        let count = points.len() as f64;
        let mean = |field: fn(&Point) -> f64| points.iter().map(field).sum::<f64>() / count;
        let (mean_size, mean_value) = (mean(|point| point.size), mean(|point| point.value));
        let sum = |term: &dyn Fn(&Point) -> f64| points.iter().map(term).sum::<f64>();
        let size_squares = sum(&|point| (point.size - mean_size).powi(2));
        let value_squares = sum(&|point| (point.value - mean_value).powi(2));
        let products = sum(&|point| (point.size - mean_size) * (point.value - mean_value));
        let slope = if size_squares > 0.0 {
            products / size_squares
        } else {
            0.0
        };
        let r2 = if size_squares * value_squares > 0.0 {
            products.powi(2) / (size_squares * value_squares)
        } else {
            1.0
        };
        Fit {
            base: mean_value - slope * mean_size,
            slope,
            r2,
        }
    }

    /// Returns the value of the line at `size`.
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}

impl fmt::Display for Fit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (base, slope) = (format_number(self.base), format_number(self.slope));
        write!(f, "{base} + {slope}·n (r² {:.2})", self.r2)
    }
}

/// Formats a number with three significant digits and a suffix for thousands, millions or billions.
pub fn format_number(value: f64) -> String {
    let magnitude = value.abs();
    let (scaled, suffix) = match magnitude {
        magnitude if magnitude >= 1e9 => (value / 1e9, "G"),
        magnitude if magnitude >= 1e6 => (value / 1e6, "M"),
        magnitude if magnitude >= 1e4 => (value / 1e3, "k"),
        _ => (value, ""),
    };
    let digits = match scaled.abs() {
        scaled if scaled >= 100.0 => 0,
        scaled if scaled >= 10.0 => 1,
        _ => 2,
    };
    format!("{scaled:.digits$}{suffix}")
}
