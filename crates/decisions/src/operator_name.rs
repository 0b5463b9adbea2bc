use super::*;

text_newtype!(
    /// Name of an operator who changes bundles.
    OperatorName,
    "operator"
);
