use super::*;

text_newtype!(
    /// Name of a team, as defined in the bundle.
    TeamId,
    "team"
);
