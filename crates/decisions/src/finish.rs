use super::*;

/// Why a complete response ended.
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
    /// The response reached the requested maximum length.
    Length,
    /// The model emitted an end token or a stop sequence.
    Stop,
}
