use super::*;

/// Every way in which input to a decision can be wrong.
#[derive(Debug, Display, Error, PartialEq)]
pub enum Error {
    /// An attempt sent a token further on than the next one.
    #[display("attempt {attempt} sent token {found} where token {expected} was due")]
    Gap {
        /// The attempt that did.
        attempt: Attempt,
        /// Index that was due.
        expected: TokenIndex,
        /// Index that came.
        found: TokenIndex,
    },
    /// An attempt ended at another length than it had delivered.
    #[display("attempt {attempt} ended at {claimed} tokens where {delivered} were delivered")]
    Length {
        /// The attempt that did.
        attempt: Attempt,
        /// Length that its end event names.
        claimed: TokenIndex,
        /// Tokens delivered.
        delivered: TokenIndex,
    },
    /// A reply bears the id of another request.
    #[display("a reply to request `{found}` came in answer to request `{expected}`")]
    Crossed {
        /// Request that was asked.
        expected: RequestId,
        /// Request that the reply names.
        found: RequestId,
    },
    /// A part of a policy that names no field, or has no value that fits.
    #[display("`{part}` is no field of the policy with a value that fits it")]
    Policy {
        /// The part.
        #[error(not(source))]
        part: Arc<str>,
    },
    /// A digest that is none.
    #[display("a {what} must have 64 lower-case hexadecimal digits")]
    Digest {
        /// What it is a digest of.
        what: &'static str,
    },
    /// A draft id that is none.
    #[display("a draft id must be a version, a dash and a text, as in `7-k3f9`")]
    DraftId,
    /// A number that is none.
    #[display("`{what}` must be a whole number: {source}")]
    Number {
        /// What the number stands for.
        what: &'static str,
        /// Why it is none.
        source: ParseIntError,
    },
    /// An event of a stream that is too large.
    #[display("an event of a stream is larger than {MAX_EVENT_BYTES} bytes")]
    EventTooLarge,
    /// A token log whose parts do not fit together.
    #[display("a token log's ids, ends and bytes do not fit together")]
    TokenLog,
    /// A clock reading that is too far in the future to be taken in.
    #[display("a received clock reading is {} s ahead of this process", lead.as_secs())]
    ClockLead {
        /// How far ahead.
        lead: Duration,
    },
    /// A clock reading that is none.
    #[display("a clock reading must be microseconds, a point and a count")]
    HybridTime,
    /// An event id that was never given out.
    #[display("an event id must be an index, `@`, a chain, `.` and a VM")]
    EventId,
    /// A text that cannot be a name.
    #[display("`{what}` must have 1 to 200 visible ASCII characters")]
    Text {
        /// What the text stands for.
        what: &'static str,
    },
}
