use super::*;

/// Settings of a stand-in plain service.
#[derive(Clone, Debug)]
pub struct PlainSettings {
    /// Mean time to serve a request.
    pub service_time: Duration,
    /// Share of the service time that is drawn from an exponential distribution, 0 to 1.
    pub spread: f64,
    /// Requests served at once; more wait in order.
    pub capacity: usize,
    /// Seed of the drawn service times.
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
