use super::*;

/// Validates the events of a generation; all tokens pass through it before they reach the caller.
///
/// Only the live attempt may deliver, and only the token with the next index. No token can therefore
/// be missing, repeated or from another generation, even if events arrive late or out of order. A
/// new attempt starts with the delivered tokens as its forced prefix.
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
    /// Creates a relay that has delivered no token.
    #[must_use]
    pub fn new(request_id: RequestId) -> Self {
        Self::resumed(request_id, Attempt::default(), TokenLog::default())
    }

    /// Creates a relay that continues a generation of another VM. `last` is the highest known
    /// attempt, and `delivered` holds the tokens that the caller has.
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

    /// Reserves a new attempt with the delivered tokens as its forced prefix. The live attempt keeps
    /// delivering until [`Relay::adopt`] replaces it.
    pub fn reserve(&mut self) -> ReservedAttempt {
        self.reserved = self.reserved.next();
        ReservedAttempt {
            attempt: self.reserved,
            prefix: self.next(),
        }
    }

    /// Makes a reserved attempt the live one; later events of older attempts are dropped.
    ///
    /// Returns false, without a change, if a newer attempt is live, or if the live attempt has
    /// delivered tokens since the reservation. In the second case the attempts would continue
    /// different prefixes, and the caller would receive a mixture of two generations.
    pub fn adopt(&mut self, reserved: ReservedAttempt) -> bool {
        if reserved.attempt <= self.live || reserved.prefix != self.next() {
            return false;
        }
        self.live = reserved.attempt;
        true
    }

    /// The only attempt whose tokens are delivered.
    #[must_use]
    pub fn live(&self) -> Attempt {
        self.live
    }

    /// Index of the next token to deliver.
    #[must_use]
    pub fn next(&self) -> TokenIndex {
        self.delivered.len()
    }

    /// All delivered tokens, in order.
    #[must_use]
    pub fn delivered(&self) -> &TokenLog {
        &self.delivered
    }

    /// Why the response ended, once it is complete.
    #[must_use]
    pub fn finish(&self) -> Option<Finish> {
        self.finish
    }

    /// Number of events dropped so far, by reason.
    #[must_use]
    pub fn dropped(&self) -> DroppedCounts {
        self.dropped
    }

    /// Request whose events this relay accepts.
    #[must_use]
    pub fn request_id(&self) -> &RequestId {
        &self.request_id
    }

    /// Processes a token received from an engine. Nothing is delivered if it fails.
    ///
    /// # Errors
    ///
    /// Fails for another request or a gap in the live attempt, which must then be abandoned.
    pub fn token(&mut self, received: ReceivedToken) -> Result<Delivery, Error> {
        self.check_request(&received.request_id)?;
        if let Some(reason) = self.drop_reason(received.attempt) {
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

    /// Processes an end event received from an engine.
    ///
    /// # Errors
    ///
    /// Fails for another request, or if the live attempt ends at another length than delivered.
    pub fn end(&mut self, received: &ReceivedEnd) -> Result<Delivery, Error> {
        self.check_request(&received.request_id)?;
        if let Some(reason) = self.drop_reason(received.attempt) {
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

    fn drop_reason(&self, attempt: Attempt) -> Option<DropReason> {
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
