use super::*;

text_newtype!(
    /// Random id of one write to a stored row.
    ///
    /// A call of the table service may take effect although its response is lost. The sender then
    /// reads the row back; this token distinguishes its write from a write by another operator of
    /// the same name, or from an earlier or later one of its own.
    ChangeToken,
    "change token"
);
