use super::*;

/// A reading of a hybrid logical clock. Readings order events causally across processes; their
/// microseconds stay close to the wall clock, so that they can be shown as dates and times.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(into = "String", try_from = "String")]
pub struct HybridTime {
    /// Microseconds since the Unix epoch: the largest value read or received by the process.
    pub micros: u64,
    /// Counter that orders readings with the same microseconds.
    pub count: u32,
}

impl HybridTime {
    /// Returns the smallest reading after this one.
    #[must_use]
    pub fn next(self) -> Self {
        match self.count.checked_add(1) {
            Some(count) => Self { count, ..self },
            None => Self {
                micros: self.micros.saturating_add(1),
                count: 0,
            },
        }
    }
}

impl fmt::Display for HybridTime {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.micros, self.count)
    }
}

impl FromStr for HybridTime {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self, Error> {
        let (micros, count) = s.split_once('.').ok_or(Error::HybridTime)?;
        Ok(Self {
            micros: micros.parse().map_err(|_| Error::HybridTime)?,
            count: count.parse().map_err(|_| Error::HybridTime)?,
        })
    }
}

impl From<HybridTime> for String {
    fn from(time: HybridTime) -> Self {
        time.to_string()
    }
}

impl TryFrom<String> for HybridTime {
    type Error = Error;

    fn try_from(s: String) -> Result<Self, Error> {
        s.parse()
    }
}
