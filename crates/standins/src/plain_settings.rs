use super::*;

/// Settings of a mock plain service.
#[derive(Clone, Debug)]
pub struct PlainSettings {
    /// Mean service time of a request.
    pub service_time: Duration,
    /// Share of the service time that is drawn from an exponential distribution, 0 to 1.
    pub spread: f64,
    /// Maximum number of concurrent requests; more wait in order of arrival.
    pub capacity: usize,
    /// Seed of the random service times.
    pub seed: u64,
}

impl Default for PlainSettings {
    fn default() -> Self {
        Self {
            service_time: Duration::from_millis(5),
            spread: 0.5,
            capacity: 16,
            seed: 1,
        }
    }
}
