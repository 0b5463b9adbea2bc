use super::*;

/// What a team's limit counts.
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
    /// Requests a second.
    Requests,
    /// Generated tokens a second.
    Tokens,
}
