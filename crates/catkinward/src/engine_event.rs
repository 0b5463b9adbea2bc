use super::*;

/// An event in the stream of an engine.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum EngineEvent {
    /// Shows that the engine is alive but has no token yet.
    Heartbeat,
    /// A generated token.
    Token(ReceivedToken),
    /// The end of the generation.
    End(ReceivedEnd),
}

impl EngineEvent {
    /// Parses an event from its name and data.
    ///
    /// # Errors
    ///
    /// If the event does not match the expected schema.
    pub(crate) fn parse(name: &str, data: &str) -> Result<Self, AttemptError> {
        match name {
            "heartbeat" => Ok(Self::Heartbeat),
            "token" => parse_token(serde_json::from_str(data)?),
            "end" => parse_end(&serde_json::from_str(data)?),
            _ => Err(AttemptError::UnknownEvent { name: name.into() }),
        }
    }
}

fn parse_token(event: engine::EngineToken) -> Result<EngineEvent, AttemptError> {
    let bytes = parse_hex(&event.bytes).ok_or(AttemptError::TokenBytes)?;
    Ok(EngineEvent::Token(ReceivedToken {
        request_id: event.request_id.try_into()?,
        attempt: Attempt(event.attempt),
        index: TokenIndex(event.index),
        token: Token {
            id: event.token,
            bytes,
        },
    }))
}

fn parse_end(event: &engine::EngineEnd) -> Result<EngineEvent, AttemptError> {
    Ok(EngineEvent::End(ReceivedEnd {
        request_id: event.request_id.parse()?,
        attempt: Attempt(event.attempt),
        tokens: TokenIndex(event.tokens),
        finish: match event.finish_reason {
            engine::FinishReason::Length => Finish::Length,
            engine::FinishReason::Stop => Finish::Stop,
            // A cancelled response is incomplete, whichever side cancelled it.
            engine::FinishReason::Cancelled => return Err(AttemptError::Cancelled),
        },
    }))
}

/// Reason that an attempt did not start or was interrupted.
#[derive(Debug, Display, StdError, From)]
pub(crate) enum AttemptError {
    /// The stream ended without an end event.
    #[display("the stream broke off")]
    #[from(skip)]
    Broken,
    /// The engine ended the attempt on request, or because it had no reader.
    #[display("the engine cancelled the attempt")]
    #[from(skip)]
    Cancelled,
    /// An event is not JSON of the expected schema.
    #[display("an event cannot be read: {_0}")]
    Form(serde_json::Error),
    /// A poison block found after the upstream was selected forbids the request to run there; nothing
    /// was sent.
    #[display("the order was held back: {block}")]
    #[from(skip)]
    Blocked {
        /// Rule that forbids the request to run there.
        block: PoisonBlock,
    },
    /// The call failed.
    #[display("{_0}")]
    Http(http_client::HttpError),
    /// The upstream may not receive new work; nothing was sent.
    #[display("the upstream may get no new work")]
    #[from(skip)]
    NotEligible,
    /// The upstream did not respond to the liveness check before a suspect request; nothing was
    /// sent.
    #[display("the upstream did not answer before the order was sent")]
    #[from(skip)]
    LivenessUnproven,
    /// The engine refused; nothing ran.
    #[display("the engine refused: {kind}")]
    #[from(skip)]
    Refused {
        /// Kind of the refusal.
        kind: engine::EngineRefusalKind,
    },
    /// The events do not belong to the requested generation.
    #[display("{_0}")]
    Relay(catkin_decisions::Error),
    /// No event arrived within the timeout.
    #[display("nothing came for {} ms", timeout.as_millis())]
    #[from(skip)]
    Silent {
        /// Timeout that elapsed.
        timeout: Duration,
    },
    /// A token's bytes are not hexadecimal.
    #[display("a token's bytes are not hexadecimal")]
    #[from(skip)]
    TokenBytes,
    /// An event has an unknown name.
    #[display("unknown event `{name}`")]
    #[from(skip)]
    UnknownEvent {
        /// Name of the event.
        name: Arc<str>,
    },
}

impl AttemptError {
    /// Returns whether the engine has seen a higher attempt number than that of a new attempt: the generation has been
    /// taken over.
    pub(crate) fn shows_takeover(&self) -> bool {
        let stale = engine::EngineRefusalKind::StaleAttempt;
        matches!(self, Self::Refused { kind } if *kind == stale)
    }

    /// Returns whether the request certainly did not run on the upstream: the order did not reach
    /// it, or it refused the order.
    pub(crate) fn never_ran(&self) -> bool {
        match self {
            Self::Blocked { .. }
            | Self::NotEligible
            | Self::LivenessUnproven
            | Self::Refused { .. } => true,
            Self::Http(error) => error.never_connected(),
            _ => false,
        }
    }

    /// Returns whether the engine may be running the attempt although its stream did not arrive.
    pub(crate) fn may_have_started(&self) -> bool {
        use http_client::HttpError;
        matches!(
            self,
            Self::Broken | Self::Http(HttpError::Call { .. } | HttpError::Timeout { .. })
        )
    }
}
