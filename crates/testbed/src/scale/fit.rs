//! Least squares for slopes: `y = constant + slope * law(n)`, with intervals, residuals and predictions.

use serde::Serialize;
use std::fmt;

/// A line through fewer sizes says nothing of how well it fits.
pub const MIN_SIZES: usize = 4;

/// Two-sided 95% quantiles of Student's t distribution for 1 to 30 degrees of freedom.
const STUDENT_T_95: [f64; 30] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131,
    2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048, 2.045, 2.042,
];
/// The same for more.
const NORMAL_95: f64 = 1.96;

/// How a figure grows with the size.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Law {
    /// By the logarithm of the size.
    LogN,
    /// In proportion to it.
    N,
    /// By the size times its logarithm.
    NLogN,
    /// By its square.
    NSquared,
}

impl Law {
    /// All of them, the slowest first.
    pub const ALL: [Law; 4] = [Law::LogN, Law::N, Law::NLogN, Law::NSquared];

    /// The law's value at a size.
    pub fn at(self, n: f64) -> f64 {
        match self {
            Law::LogN => n.ln(),
            Law::N => n,
            Law::NLogN => n * n.ln(),
            Law::NSquared => n * n,
        }
    }
}

impl fmt::Display for Law {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Law::LogN => "ln n",
            Law::N => "n",
            Law::NLogN => "n ln n",
            Law::NSquared => "n^2",
        })
    }
}

/// One measured figure.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Point {
    /// The size it was measured at.
    pub n: f64,
    /// The figure.
    pub y: f64,
}

/// Too few different sizes for a fit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooFewSizes(pub usize);

impl fmt::Display for TooFewSizes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} sizes were measured; a fit takes {MIN_SIZES} or more", self.0)
    }
}

impl std::error::Error for TooFewSizes {}

/// A fitted line.
#[derive(Debug, Clone, Serialize)]
pub struct Fit {
    /// What the figure grows by.
    pub law: Law,
    /// Its value at law 0.
    pub constant: f64,
    /// Its growth.
    pub slope: f64,
    /// Half the width of the constant's 95% interval.
    pub constant_error: f64,
    /// Half the width of the slope's.
    pub slope_error: f64,
    /// Each point's figure less the line's, in the order of the points.
    pub residuals: Vec<f64>,
    /// Standard deviation of those.
    pub residual_sd: f64,
    quantile: f64,
    count: f64,
    mean_x: f64,
    sum_xx: f64,
}

/// A value that the line gives for a size, and half the width of its 95% interval for one new measurement.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Prediction {
    /// The value.
    pub value: f64,
    /// Half the width.
    pub error: f64,
}

impl Fit {
    /// Fits one law.
    ///
    /// # Errors
    ///
    /// There are fewer than [`MIN_SIZES`] different sizes.
    pub fn new(points: &[Point], law: Law) -> Result<Self, TooFewSizes> {
        let sizes = distinct_sizes(points);
        if sizes < MIN_SIZES {
            return Err(TooFewSizes(sizes));
        }
        let count = points.len() as f64;
        let mean_x = points.iter().map(|p| law.at(p.n)).sum::<f64>() / count;
        let mean_y = points.iter().map(|p| p.y).sum::<f64>() / count;
        let sum_xx: f64 = points.iter().map(|p| (law.at(p.n) - mean_x).powi(2)).sum();
        let sum_xy: f64 = points.iter().map(|p| (law.at(p.n) - mean_x) * (p.y - mean_y)).sum();
        let slope = sum_xy / sum_xx;
        let constant = mean_y - slope * mean_x;
        let residuals: Vec<f64> = points.iter().map(|p| p.y - constant - slope * law.at(p.n)).collect();
        let freedom = points.len() - 2;
        let residual_sd = (residuals.iter().map(|r| r * r).sum::<f64>() / freedom as f64).sqrt();
        let quantile = student_t(freedom);
        let slope_error = quantile * residual_sd / sum_xx.sqrt();
        let constant_error = quantile * residual_sd * (1.0 / count + mean_x * mean_x / sum_xx).sqrt();
        Ok(Fit {
            law,
            constant,
            slope,
            constant_error,
            slope_error,
            residuals,
            residual_sd,
            quantile,
            count,
            mean_x,
            sum_xx,
        })
    }

    /// The law that leaves the smallest residuals; the slower of two that leave the same.
    ///
    /// # Errors
    ///
    /// There are fewer than [`MIN_SIZES`] different sizes.
    pub fn best(points: &[Point]) -> Result<Self, TooFewSizes> {
        let mut best = Fit::new(points, Law::ALL[0])?;
        for law in &Law::ALL[1..] {
            let fit = Fit::new(points, *law)?;
            if fit.residual_sd < best.residual_sd {
                best = fit;
            }
        }
        Ok(best)
    }

    /// Whether the slope's interval excludes zero: the figure depends on the size as far as was measured.
    pub fn depends_on_size(&self) -> bool {
        self.slope.abs() > self.slope_error
    }

    /// What one measurement at this size would give.
    pub fn predict(&self, n: f64) -> Prediction {
        let x = self.law.at(n);
        let value = self.constant + self.slope * x;
        let spread = 1.0 + 1.0 / self.count + (x - self.mean_x).powi(2) / self.sum_xx;
        Prediction { value, error: self.quantile * self.residual_sd * spread.sqrt() }
    }
}

/// The figure at any size, where none was shown to matter: the mean, and half the width of the 95% interval for one new
/// measurement.
///
/// # Errors
///
/// There are fewer than [`MIN_SIZES`] different sizes.
pub fn mean(points: &[Point]) -> Result<Prediction, TooFewSizes> {
    let sizes = distinct_sizes(points);
    if sizes < MIN_SIZES {
        return Err(TooFewSizes(sizes));
    }
    let count = points.len() as f64;
    let value = points.iter().map(|p| p.y).sum::<f64>() / count;
    let squares: f64 = points.iter().map(|p| (p.y - value).powi(2)).sum();
    let freedom = points.len() - 1;
    let deviation = (squares / freedom as f64).sqrt();
    Ok(Prediction { value, error: student_t(freedom) * deviation * (1.0 + 1.0 / count).sqrt() })
}

fn student_t(freedom: usize) -> f64 {
    STUDENT_T_95.get(freedom - 1).copied().unwrap_or(NORMAL_95)
}

fn distinct_sizes(points: &[Point]) -> usize {
    let mut sizes: Vec<u64> = points.iter().map(|p| p.n.to_bits()).collect();
    sizes.sort_unstable();
    sizes.dedup();
    sizes.len()
}
