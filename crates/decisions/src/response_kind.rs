/// What a response of an upstream is.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ResponseKind {
    /// The response to a call that may have run.
    Answer,
    /// The response to a call that the upstream did not run.
    Rejection,
    /// The response of another incarnation than the call was sent to.
    OtherIncarnation,
    /// A response to another request than a call, or one without the id of its call.
    #[default]
    Other,
}
