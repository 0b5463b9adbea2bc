use super::*;

/// Where a service stands on the curve of resume latency against extra engine time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, EnumString, IntoStaticStr, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum RecoveryPolicy {
    /// A second attempt starts while the first is still being probed.
    #[default]
    LeastWait,
    /// The first attempt is probed before a second one costs anything.
    LeastWork,
}
