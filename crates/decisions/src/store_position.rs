use super::*;

/// Version of the platform store in one of its eras. Positions are ordered by era first.
///
/// As text and in encodings, a position of era 0 is its version alone, as in `60`; later ones also name the
/// era, as in `2:60`.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(into = "EncodedPosition", from = "EncodedPosition")]
pub struct StorePosition {
    /// Era of the store.
    pub era: StoreEra,
    /// Version that the store gave out in that era.
    pub version: u64,
}

impl StorePosition {
    /// Creates a position.
    #[must_use]
    pub const fn new(era: StoreEra, version: u64) -> Self {
        Self { era, version }
    }
}

impl fmt::Display for StorePosition {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        if self.era > StoreEra::default() {
            write!(f, "{}:", self.era)?;
        }
        write!(f, "{}", self.version)
    }
}

impl FromStr for StorePosition {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self, Error> {
        let (era, version) = match s.split_once(':') {
            Some((era, version)) => (era.parse()?, version),
            None => (StoreEra::default(), s),
        };
        let version = version.parse().map_err(|source| Error::Number {
            what: "version of the store",
            source,
        })?;
        Ok(Self { era, version })
    }
}

#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum EncodedPosition {
    FirstEra(u64),
    LaterEra(StoreEra, u64),
}

impl From<StorePosition> for EncodedPosition {
    fn from(StorePosition { era, version }: StorePosition) -> Self {
        if era == StoreEra::default() {
            Self::FirstEra(version)
        } else {
            Self::LaterEra(era, version)
        }
    }
}

impl From<EncodedPosition> for StorePosition {
    fn from(encoded: EncodedPosition) -> Self {
        match encoded {
            EncodedPosition::FirstEra(version) => Self::new(StoreEra::default(), version),
            EncodedPosition::LaterEra(era, version) => Self::new(era, version),
        }
    }
}
