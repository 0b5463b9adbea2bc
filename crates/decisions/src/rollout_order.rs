use super::*;

/// An operator's order to move the traffic of a service to upstreams of another version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// Service whose traffic moves.
    #[serde(rename = "s")]
    pub service: ServiceId,
    /// Version to move to.
    #[serde(rename = "t")]
    pub to: SoftwareVersion,
    /// Time from the order to its deadline.
    #[serde(rename = "d")]
    pub duration: Duration,
    /// Position of the store at which the order was written; later orders have higher ones.
    #[serde(rename = "o")]
    pub written: StorePosition,
}

/// Error of an invalid order.
#[derive(Clone, Copy, Debug, Display, Error, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum RolloutOrderError {
    /// The configuration does not contain the service.
    #[display("the configuration does not contain the service")]
    UnknownService,
    /// The duration of the order is zero.
    #[display("the duration of the order is zero")]
    NoTime,
    /// All upstreams of the service already have that version.
    #[display("all upstreams of the service already run this version")]
    VersionInUse,
}

impl RolloutOrder {
    /// Whether this is the same order as another one. In each era of the store an order has its own
    /// position, and another version if the store lost it and the operator wrote it again, so orders of
    /// different eras are the same if they have the same content.
    #[must_use]
    pub fn is_same(&self, other: &Self) -> bool {
        if self.written.era == other.written.era {
            self.service == other.service && self.written == other.written
        } else {
            self.has_content_of(other)
        }
    }

    /// Whether this is the row of an earlier order, which the store has restored from an older copy.
    #[must_use]
    pub fn is_restored(&self, earlier: &Self) -> bool {
        self.written.era > earlier.written.era
            && self.written.version == earlier.written.version
            && self.has_content_of(earlier)
    }

    fn has_content_of(&self, other: &Self) -> bool {
        (&self.service, &self.to, self.duration) == (&other.service, &other.to, other.duration)
    }

    /// Checks the order against the configured services and the versions of the upstreams.
    ///
    /// # Errors
    ///
    /// Returns the first problem found.
    pub fn check(
        &self,
        service_is_configured: bool,
        versions: &[SoftwareVersion],
    ) -> Result<(), RolloutOrderError> {
        if !service_is_configured {
            return Err(RolloutOrderError::UnknownService);
        }
        if self.duration.is_zero() {
            return Err(RolloutOrderError::NoTime);
        }
        if !versions.is_empty() && versions.iter().all(|version| *version == self.to) {
            return Err(RolloutOrderError::VersionInUse);
        }
        Ok(())
    }
}
