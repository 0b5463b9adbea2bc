use super::*;

/// An operator's order to move the traffic of a service to upstreams of another version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// The service.
    #[serde(rename = "s")]
    pub service: ServiceId,
    /// The version to move to.
    #[serde(rename = "t")]
    pub to: SoftwareVersion,
    /// Time from the order to its deadline.
    #[serde(rename = "d")]
    pub duration: Duration,
    /// Version of the store at which the order was written: a later order has a higher one.
    #[serde(rename = "o")]
    pub written: u64,
}

/// What is wrong with an order.
#[derive(Clone, Copy, Debug, Display, Error, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum RolloutOrderError {
    /// No configuration names the service.
    #[display("the configuration does not name the service")]
    UnknownService,
    /// It leaves no time.
    #[display("the order leaves no time")]
    NoTime,
    /// All upstreams of the service have that version already.
    #[display("the version is in use already")]
    VersionInUse,
}

impl RolloutOrder {
    /// Checks the order against the services that are configured and the versions of the service's upstreams.
    ///
    /// # Errors
    ///
    /// What is wrong with it.
    pub fn check(
        &self,
        service_is_known: bool,
        versions: &[SoftwareVersion],
    ) -> Result<(), RolloutOrderError> {
        if !service_is_known {
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
