use super::*;

/// Why a completed answer ended.
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
    /// The answer reached the requested maximum length.
    Length,
    /// The model emitted an end token or a stop sequence.
    Stop,
}
