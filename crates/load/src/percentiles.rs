use super::*;

/// Percentiles of durations, in milliseconds; absent if there are no samples.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Percentiles {
    /// Number of samples.
    pub count: u64,
    /// 50th percentile (median).
    pub p50: Option<f64>,
    /// 95th percentile.
    pub p95: Option<f64>,
    /// 99th percentile.
    pub p99: Option<f64>,
    /// Largest sample.
    pub max: Option<f64>,
}

/// Upper bound of the histogram, in microseconds: one hour. Longer durations count as this one.
const MAX_MICROS: u64 = 3_600_000_000;

impl Percentiles {
    /// Computes the percentiles of the given durations.
    ///
    /// # Panics
    ///
    /// Never: the histogram's bounds and precision are valid constants.
    #[must_use]
    pub fn of(times: impl IntoIterator<Item = Duration>) -> Self {
        let mut histogram = hdrhistogram::Histogram::<u64>::new_with_bounds(1, MAX_MICROS, 3)
            .expect("the bounds and 3 significant digits are valid");
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
