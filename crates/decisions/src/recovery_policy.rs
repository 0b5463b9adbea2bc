use super::*;

/// Trade-off between resume latency and additional engine time for a service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, EnumString, IntoStaticStr, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum RecoveryPolicy {
    /// Start a second attempt while the first one is still being probed.
    #[default]
    LeastWait,
    /// Finish probing the first attempt before a second one uses engine time.
    LeastWork,
}
