//! The states of a request, as types that consume each other.
//!
//! A caller who is told "not run" sends the request again. If it had run after all, a ticket would
//! be printed twice. [`NotRun`] has no public constructor: it is made from a [`Queued`] request
//! only, and that is consumed by its dispatch. A [`Dispatched`] request becomes queued again only
//! by evidence that nothing of it ran ([`NotRunEvidence`]); else it ends as [`Done`] or
//! [`Unknown`].
//!
//! The types stand in one module because their fields are private to it: no other module, of this
//! crate or another, can make one of them out of nothing.

use super::*;

/// A request of which no byte has been sent.
#[derive(Debug)]
pub struct Queued<T> {
    request: T,
}

/// A request that may have been sent, in whole or in part.
#[derive(Debug)]
#[must_use = "a dispatched request ends as done, unknown, or not run by evidence"]
pub struct Dispatched<T> {
    request: T,
    /// An earlier dispatch of it may have run.
    may_have_run: bool,
}

/// A request that was answered.
#[derive(Debug)]
pub struct Done<T> {
    request: T,
}

/// A request that may have run, or not.
#[derive(Debug)]
pub struct Unknown<T> {
    request: T,
}

/// A request that has not run and will not.
#[derive(Debug)]
pub struct NotRun<T> {
    request: T,
    reason: RefusalReason,
    retry_after: Duration,
}

/// What proves that a dispatched request did not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotRunEvidence {
    /// No connection was opened, so no byte of it can have left.
    NoConnection,
    /// The upstream refused this very attempt and said that nothing ran.
    UpstreamRefused,
}

impl<T> Queued<T> {
    /// A request that has just come in.
    pub fn new(request: T) -> Self {
        Self { request }
    }

    /// The request.
    pub fn request(&self) -> &T {
        &self.request
    }

    /// Begins to send it. From here on it counts as sent.
    pub fn dispatch(self) -> Dispatched<T> {
        Dispatched {
            request: self.request,
            may_have_run: false,
        }
    }

    /// Refuses it.
    pub fn refuse(self, reason: RefusalReason, retry_after: Duration) -> NotRun<T> {
        NotRun {
            request: self.request,
            reason,
            retry_after,
        }
    }
}

impl<T> Dispatched<T> {
    /// The request.
    pub fn request(&self) -> &T {
        &self.request
    }

    /// The request, to be changed.
    pub fn request_mut(&mut self) -> &mut T {
        &mut self.request
    }

    /// Notes that it was answered.
    pub fn done(self) -> Done<T> {
        Done {
            request: self.request,
        }
    }

    /// Gives it up without an answer.
    pub fn unknown(self) -> Unknown<T> {
        Unknown {
            request: self.request,
        }
    }

    /// Takes it back, since this dispatch has not run.
    ///
    /// # Errors
    ///
    /// If an earlier dispatch may have run: what became of it stays unknown.
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
    /// The request.
    pub fn into_request(self) -> T {
        self.request
    }
}

impl<T> Unknown<T> {
    /// Begins to send it once more, which is right for an idempotent request only. It can never
    /// become "not run" again.
    pub fn dispatch_again(self) -> Dispatched<T> {
        Dispatched {
            request: self.request,
            may_have_run: true,
        }
    }

    /// The request.
    pub fn into_request(self) -> T {
        self.request
    }
}

impl<T> NotRun<T> {
    /// The request.
    pub fn request(&self) -> &T {
        &self.request
    }

    /// The request.
    pub fn into_request(self) -> T {
        self.request
    }

    /// Why it was refused.
    pub fn reason(&self) -> RefusalReason {
        self.reason
    }

    /// When its caller may come back with some hope.
    pub fn retry_after(&self) -> Duration {
        self.retry_after
    }
}
