use super::*;

text_newtype!(
    /// Name of an operator.
    OperatorName,
    "operator"
);
