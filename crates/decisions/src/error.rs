use super::*;

/// Invalid input to a decision.
#[derive(Debug, Display, Error, PartialEq)]
pub enum Error {
    /// An attempt skipped one or more tokens.
    #[display("attempt {attempt} sent token {found} where token {expected} was due")]
    Gap {
        /// Attempt that sent the event.
        attempt: Attempt,
        /// Index of the next token to deliver.
        expected: TokenIndex,
        /// Index that was received.
        found: TokenIndex,
    },
    /// The length in an end event differs from the number of tokens delivered.
    #[display("attempt {attempt} ended at {claimed} tokens where {delivered} were delivered")]
    Length {
        /// Attempt that sent the event.
        attempt: Attempt,
        /// Length stated in the end event.
        claimed: TokenIndex,
        /// Number of tokens delivered.
        delivered: TokenIndex,
    },
    /// A response carries the id of another request.
    #[display("a reply to request `{found}` came in answer to request `{expected}`")]
    Crossed {
        /// Id of the request that was sent.
        expected: RequestId,
        /// Request id in the response.
        found: RequestId,
    },
    /// A part of a policy text names an unknown field or has an invalid value.
    #[display("`{part}` is not a policy field with a valid value")]
    Policy {
        /// The invalid part of the policy text.
        #[error(not(source))]
        part: Arc<str>,
    },
    /// A malformed digest.
    #[display("a {what} must have 64 lower-case hexadecimal digits")]
    Digest {
        /// Kind of digest.
        what: &'static str,
    },
    /// A malformed draft id.
    #[display("a draft id must be a version, a dash and a text, as in `7-k3f9`")]
    DraftId,
    /// A malformed number.
    #[display("`{what}` must be a whole number: {source}")]
    Number {
        /// Meaning of the number.
        what: &'static str,
        /// Parse error.
        source: ParseIntError,
    },
    /// A stream event is too large.
    #[display("stream event is larger than {MAX_EVENT_BYTES} bytes")]
    EventTooLarge,
    /// The parts of a token log are inconsistent.
    #[display("token log is inconsistent: its ids, ends and bytes do not match")]
    TokenLog,
    /// A received clock reading is too far in the future to be merged.
    #[display("received clock reading is {} s ahead of this process's clock", lead.as_secs())]
    ClockLead {
        /// Time by which the reading is ahead of this process's clock.
        lead: Duration,
    },
    /// A malformed clock reading.
    #[display("a clock reading must be microseconds, a point and a count")]
    HybridTime,
    /// A malformed event id.
    #[display("an event id must be a token index, `@`, a chain id, `.` and a VM id")]
    EventId,
    /// A text that is not a valid name or id.
    #[display("`{what}` must have 1 to 200 visible ASCII characters")]
    Text {
        /// Meaning of the text.
        what: &'static str,
    },
}
