use super::*;

/// Highest rate that an upstream can name; more is taken for an error.
const MAX_RATE: f64 = 1e6;

/// Number of requests per second, positive and at most a million.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct RequestRate(f64);

/// Why a number is not a [`RequestRate`].
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Error)]
pub enum RequestRateError {
    /// It is not written as a decimal number.
    #[display("not a decimal number")]
    Malformed,
    /// It is infinite or no number.
    #[display("not a finite number")]
    NotFinite,
    /// It is zero or negative.
    #[display("not positive")]
    NotPositive,
    /// It is more than a million per second.
    #[display("more than a million per second")]
    TooLarge,
}

impl RequestRate {
    /// Requests per second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = RequestRateError;

    fn try_from(rate: f64) -> Result<Self, RequestRateError> {
        if !rate.is_finite() {
            return Err(RequestRateError::NotFinite);
        }
        if rate <= 0.0 {
            return Err(RequestRateError::NotPositive);
        }
        if rate > MAX_RATE {
            return Err(RequestRateError::TooLarge);
        }
        Ok(Self(rate))
    }
}

impl From<RequestRate> for f64 {
    fn from(rate: RequestRate) -> Self {
        rate.0
    }
}

impl FromStr for RequestRate {
    type Err = RequestRateError;

    fn from_str(s: &str) -> Result<Self, RequestRateError> {
        let rate: f64 = s.trim().parse().map_err(|_| RequestRateError::Malformed)?;
        rate.try_into()
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}
