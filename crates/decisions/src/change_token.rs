use super::*;

text_newtype!(
    /// Random mark of one change of a stored row.
    ///
    /// A call of the table service may take effect while its answer is lost. Its sender reads the
    /// row back, and by this mark tells its own change from one of another operator of the same
    /// name, or of itself at another time.
    ChangeToken,
    "change token"
);
