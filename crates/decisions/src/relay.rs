use super::*;

/// The one gate through which tokens of a generation reach its caller.
///
/// Only the live attempt may deliver, and only the very next index, so no token can be missing,
/// repeated or of another generation, however late or crossed the events come in. A new attempt
/// takes what was delivered as its forced prefix.
#[derive(Clone, Debug)]
pub struct Relay {
    request_id: RequestId,
    live: Attempt,
    reserved: Attempt,
    delivered: TokenLog,
    finish: Option<Finish>,
    dropped: DroppedCounts,
}

impl Relay {
    /// A relay that has delivered nothing.
    #[must_use]
    pub fn new(request_id: RequestId) -> Self {
        Self::resumed(request_id, Attempt::default(), TokenLog::default())
    }

    /// A relay that goes on where another VM's relay had come to: `last` is the largest attempt
    /// known of, and `delivered` what the caller has.
    #[must_use]
    pub fn resumed(request_id: RequestId, last: Attempt, delivered: TokenLog) -> Self {
        Self {
            request_id,
            live: last,
            reserved: last,
            delivered,
            finish: None,
            dropped: DroppedCounts::default(),
        }
    }

    /// Reserves a new attempt with all that was delivered as its forced prefix. It does not deliver
    /// yet: the live attempt goes on until [`Relay::adopt`] decides between them.
    pub fn reserve(&mut self) -> ReservedAttempt {
        self.reserved = self.reserved.next();
        ReservedAttempt {
            attempt: self.reserved,
            prefix: self.next(),
        }
    }

    /// Makes a reserved attempt the live one; all else of older attempts is dropped from now on.
    ///
    /// Returns false, and changes nothing, if a newer attempt is live, or if the older one has
    /// delivered more since: the two would then have gone on from different prefixes, and a caller
    /// would see two generations mixed into one answer.
    pub fn adopt(&mut self, reserved: ReservedAttempt) -> bool {
        if reserved.attempt <= self.live || reserved.prefix != self.next() {
            return false;
        }
        self.live = reserved.attempt;
        true
    }

    /// The attempt that may deliver.
    #[must_use]
    pub fn live(&self) -> Attempt {
        self.live
    }

    /// Index of the token that is due.
    #[must_use]
    pub fn next(&self) -> TokenIndex {
        self.delivered.len()
    }

    /// All tokens delivered, in order.
    #[must_use]
    pub fn delivered(&self) -> &TokenLog {
        &self.delivered
    }

    /// Why the answer ended, once it is whole.
    #[must_use]
    pub fn finish(&self) -> Option<Finish> {
        self.finish
    }

    /// Events dropped so far.
    #[must_use]
    pub fn dropped(&self) -> DroppedCounts {
        self.dropped
    }

    /// The request this relay answers.
    #[must_use]
    pub fn request_id(&self) -> &RequestId {
        &self.request_id
    }

    /// Takes a token from an engine.
    ///
    /// # Errors
    ///
    /// A token of another request, or one beyond the next index of the live attempt: that attempt
    /// cannot be trusted and must be given up. Nothing was delivered.
    pub fn token(&mut self, received: ReceivedToken) -> Result<Delivery, Error> {
        self.check_request(&received.request_id)?;
        if let Some(reason) = self.reason_to_drop(received.attempt) {
            return Ok(self.drop_event(reason));
        }
        if received.index < self.next() {
            return Ok(self.drop_event(DropReason::Repeated));
        }
        if received.index > self.next() {
            return Err(Error::Gap {
                attempt: received.attempt,
                expected: self.next(),
                found: received.index,
            });
        }
        self.delivered.push(&received.token);
        Ok(Delivery::Token(received.index, received.token))
    }

    /// Takes an end event from an engine.
    ///
    /// # Errors
    ///
    /// An end of another request, or of the live attempt at another length than was delivered.
    pub fn end(&mut self, received: &ReceivedEnd) -> Result<Delivery, Error> {
        self.check_request(&received.request_id)?;
        if let Some(reason) = self.reason_to_drop(received.attempt) {
            return Ok(self.drop_event(reason));
        }
        if received.tokens != self.next() {
            return Err(Error::Length {
                attempt: received.attempt,
                claimed: received.tokens,
                delivered: self.next(),
            });
        }
        self.finish = Some(received.finish);
        Ok(Delivery::End(received.finish))
    }

    fn check_request(&self, found: &RequestId) -> Result<(), Error> {
        if *found == self.request_id {
            return Ok(());
        }
        Err(Error::Crossed {
            expected: self.request_id.clone(),
            found: found.clone(),
        })
    }

    fn reason_to_drop(&self, attempt: Attempt) -> Option<DropReason> {
        if self.finish.is_some() {
            return Some(DropReason::AfterEnd);
        }
        (attempt != self.live).then_some(DropReason::OldAttempt)
    }

    fn drop_event(&mut self, reason: DropReason) -> Delivery {
        self.dropped.add(reason);
        Delivery::Dropped(reason)
    }
}
