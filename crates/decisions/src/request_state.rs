//! The states of a request, as a type state machine in which each transition consumes the old state.
//!
//! A caller that receives "not run" sends the request again. If the request had run after all, its
//! effect would happen twice, for example a ticket would be printed twice. [`NotRun`] therefore has
//! no public constructor: it can only be created from a [`Queued`] request, which a dispatch
//! consumes. A [`Dispatched`] request becomes queued again only with evidence that it did not run
//! ([`NotRunEvidence`]); otherwise it ends as [`Done`] or [`Unknown`].
//!
//! The types share one module because their fields are private to it, so no other module of this or
//! another crate can construct a state directly.

use super::*;

/// A request of which no byte has been sent.
#[derive(Debug)]
pub struct Queued<T> {
    request: T,
}

/// A request that may have been sent, completely or partially.
#[derive(Debug)]
#[must_use = "a dispatched request ends as done, unknown, or not run by evidence"]
pub struct Dispatched<T> {
    request: T,
    /// Whether an earlier dispatch may have run.
    may_have_run: bool,
}

/// A request that has a response.
#[derive(Debug)]
pub struct Done<T> {
    request: T,
}

/// A request without a response, which may or may not have run.
#[derive(Debug)]
pub struct Unknown<T> {
    request: T,
}

/// A request that was refused, has not run and will not run.
#[derive(Debug)]
pub struct NotRun<T> {
    request: T,
    reason: RefusalReason,
    retry_after: Duration,
}

/// Evidence that a dispatched request did not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotRunEvidence {
    /// No connection was established, so no byte of the request was sent.
    NoConnection,
    /// The upstream refused this attempt and stated that nothing ran.
    UpstreamRefused,
    /// The request was withheld before it was written.
    Withheld,
}

impl<T> Queued<T> {
    /// Wraps a request that has just been received.
    pub fn new(request: T) -> Self {
        Self { request }
    }

    /// Returns the request, of which nothing has been sent.
    pub fn request(&self) -> &T {
        &self.request
    }

    /// Starts a dispatch of the request, which counts as sent from now on.
    pub fn dispatch(self) -> Dispatched<T> {
        Dispatched {
            request: self.request,
            may_have_run: false,
        }
    }

    /// Refuses the request without dispatching it.
    pub fn refuse(self, reason: RefusalReason, retry_after: Duration) -> NotRun<T> {
        NotRun {
            request: self.request,
            reason,
            retry_after: round_up_to_millis(retry_after),
        }
    }
}

impl<T> Dispatched<T> {
    /// Returns the request being sent.
    pub fn request(&self) -> &T {
        &self.request
    }

    /// Returns the request for modification.
    pub fn request_mut(&mut self) -> &mut T {
        &mut self.request
    }

    /// Records that the request has a response.
    pub fn done(self) -> Done<T> {
        Done {
            request: self.request,
        }
    }

    /// Abandons the request without a response; whether it ran is unknown.
    pub fn unknown(self) -> Unknown<T> {
        Unknown {
            request: self.request,
        }
    }

    /// Returns the request to the queued state, because this dispatch did not run.
    ///
    /// # Errors
    ///
    /// Returns [`Unknown`] if an earlier dispatch may have run, because its result stays unknown.
    pub fn not_run(self, _: NotRunEvidence) -> Result<Queued<T>, Unknown<T>> {
        if self.may_have_run {
            return Err(self.unknown());
        }
        Ok(Queued {
            request: self.request,
        })
    }
}

impl<T> Done<T> {
    /// Returns the request that has a response.
    pub fn into_request(self) -> T {
        self.request
    }
}

impl<T> Unknown<T> {
    /// Dispatches the request again, which is only safe for idempotent requests. The request can no
    /// longer become [`NotRun`].
    pub fn dispatch_again(self) -> Dispatched<T> {
        Dispatched {
            request: self.request,
            may_have_run: true,
        }
    }

    /// Returns the request, whose outcome is unknown.
    pub fn into_request(self) -> T {
        self.request
    }
}

impl<T> NotRun<T> {
    /// Returns the refused request.
    pub fn request(&self) -> &T {
        &self.request
    }

    /// Returns the refused request by value.
    pub fn into_request(self) -> T {
        self.request
    }

    /// Why the request was refused.
    pub fn reason(&self) -> RefusalReason {
        self.reason
    }

    /// Time after which a retry by the caller has a chance of success, in whole milliseconds, which
    /// is what callers receive. Zero if it is not known.
    pub fn retry_after(&self) -> Duration {
        self.retry_after
    }
}

/// Rounds a delay up, because a retry before its end would be refused again.
fn round_up_to_millis(delay: Duration) -> Duration {
    let millis = delay.as_nanos().div_ceil(1_000_000);
    Duration::from_millis(u64::try_from(millis).unwrap_or(u64::MAX))
}
