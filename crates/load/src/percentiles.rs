use super::*;

/// Percentiles of a measure, in milliseconds; absent where nothing was measured.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Percentiles {
    /// Values measured.
    pub count: u64,
    /// Median.
    pub p50: Option<f64>,
    /// 95 in 100.
    pub p95: Option<f64>,
    /// 99 in 100.
    pub p99: Option<f64>,
    /// Largest.
    pub max: Option<f64>,
}

/// Longest time that is told apart from longer ones, in microseconds: an hour.
const LONGEST: u64 = 3_600_000_000;

impl Percentiles {
    /// Percentiles of the given times.
    ///
    /// # Panics
    ///
    /// Never: the histogram's precision is a valid constant.
    #[must_use]
    pub fn of(times: impl IntoIterator<Item = Duration>) -> Self {
        let mut histogram = hdrhistogram::Histogram::<u64>::new_with_bounds(1, LONGEST, 3)
            .expect("the bounds and 3 digits are allowed");
        for time in times {
            histogram.saturating_record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
        }
        if histogram.is_empty() {
            return Self::default();
        }
        let at = |quantile| Some(milliseconds(histogram.value_at_quantile(quantile)));
        Self {
            count: histogram.len(),
            p50: at(0.5),
            p95: at(0.95),
            p99: at(0.99),
            max: at(1.0),
        }
    }
}

fn milliseconds(micros: u64) -> f64 {
    Duration::from_micros(micros).as_secs_f64() * 1e3
}
