use super::*;

/// Why a whole answer ended.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    PartialEq,
    EnumString,
    IntoStaticStr,
    Serialize,
    Deserialize,
    strum::Display,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Finish {
    /// It reached the length asked for.
    Length,
    /// The model or a stop sequence ended it.
    Stop,
}
