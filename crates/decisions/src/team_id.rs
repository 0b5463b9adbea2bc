use super::*;

text_newtype!(
    /// Name of a team.
    TeamId,
    "team"
);
