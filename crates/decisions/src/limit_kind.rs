use super::*;

/// Unit that a rate limit of a team counts.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
    EnumString,
    IntoStaticStr,
    strum::Display,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum LimitKind {
    /// Requests per second.
    Requests,
    /// Generated tokens per second.
    Tokens,
}
