use super::*;

/// Longest back-off that can be written down; longer than any process lives.
const MAX_SECONDS: f64 = u32::MAX as f64;

/// Time for which an upstream wants no requests from the VM that it answers.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct RequestedBackOff(Duration);

/// Why a text is not a [`RequestedBackOff`].
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Error)]
pub enum RequestedBackOffError {
    /// It is a date. The clocks of VM and upstream may differ by more than the back-off.
    #[display("a date instead of seconds")]
    Date,
    /// It is neither a decimal number nor a date.
    #[display("not a decimal number of seconds")]
    Malformed,
    /// It is less than zero.
    #[display("negative")]
    Negative,
}

impl RequestedBackOff {
    /// Length of the back-off.
    #[must_use]
    pub fn duration(self) -> Duration {
        self.0
    }
}

impl From<Duration> for RequestedBackOff {
    fn from(duration: Duration) -> Self {
        Self(duration)
    }
}

impl FromStr for RequestedBackOff {
    type Err = RequestedBackOffError;

    /// Parses seconds, which may include fractions. A number too large for a time is the longest one.
    fn from_str(s: &str) -> Result<Self, RequestedBackOffError> {
        let s = s.trim();
        let is_decimal = |s: &str| {
            s.bytes().any(|byte| byte.is_ascii_digit())
                && s.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.')
        };
        if let Some(rest) = s.strip_prefix('-') {
            return Err(if is_decimal(rest) {
                RequestedBackOffError::Negative
            } else {
                RequestedBackOffError::Malformed
            });
        }
        if s.ends_with("GMT") {
            return Err(RequestedBackOffError::Date);
        }
        if !is_decimal(s) {
            return Err(RequestedBackOffError::Malformed);
        }
        let seconds: f64 = s.parse().map_err(|_| RequestedBackOffError::Malformed)?;
        Ok(Self(Duration::from_secs_f64(seconds.min(MAX_SECONDS))))
    }
}

impl fmt::Display for RequestedBackOff {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0.as_secs_f64())
    }
}
