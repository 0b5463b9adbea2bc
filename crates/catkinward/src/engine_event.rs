use super::*;

/// An event of an engine's stream.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum EngineEvent {
    /// The engine is there, but has no token yet.
    Heartbeat,
    /// A token.
    Token(ReceivedToken),
    /// The end of the answer.
    End(ReceivedEnd),
}

impl EngineEvent {
    /// Reads an event by its name and data.
    ///
    /// # Errors
    ///
    /// If it has another form than agreed.
    pub(crate) fn read(name: &str, data: &str) -> Result<Self, AttemptError> {
        match name {
            "heartbeat" => Ok(Self::Heartbeat),
            "token" => read_token(serde_json::from_str(data)?),
            "end" => read_end(&serde_json::from_str(data)?),
            _ => Err(AttemptError::UnknownEvent { name: name.into() }),
        }
    }
}

fn read_token(event: engine::EngineToken) -> Result<EngineEvent, AttemptError> {
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

fn read_end(event: &engine::EngineEnd) -> Result<EngineEvent, AttemptError> {
    Ok(EngineEvent::End(ReceivedEnd {
        request_id: event.request_id.parse()?,
        attempt: Attempt(event.attempt),
        tokens: TokenIndex(event.tokens),
        finish: match event.finish_reason {
            engine::FinishReason::Length => Finish::Length,
            engine::FinishReason::Stop => Finish::Stop,
            // An answer that was cancelled is not whole, whoever cancelled it.
            engine::FinishReason::Cancelled => return Err(AttemptError::Cancelled),
        },
    }))
}

/// Why an attempt came to nothing, or broke off.
#[derive(Debug, Display, StdError, From)]
pub(crate) enum AttemptError {
    /// The stream ended without an end event.
    #[display("the stream broke off")]
    #[from(skip)]
    Broken,
    /// The engine ended the attempt at somebody's word, or for want of a reader.
    #[display("the engine cancelled the attempt")]
    #[from(skip)]
    Cancelled,
    /// An event is no JSON of the agreed form.
    #[display("an event cannot be read: {_0}")]
    Form(serde_json::Error),
    /// The request may not run there by what was learned since the upstream was chosen; nothing was sent.
    #[display("the order was held back: {hold}")]
    #[from(skip)]
    Held {
        /// Why.
        hold: PoisonBlock,
    },
    /// The call failed.
    #[display("{_0}")]
    Http(http_client::HttpError),
    /// The upstream may get no new work; nothing was sent.
    #[display("the upstream may get no new work")]
    #[from(skip)]
    NotEligible,
    /// The upstream did not prove alive before a suspect request was sent to it; nothing was sent.
    #[display("the upstream did not answer before the order was sent")]
    #[from(skip)]
    Unproven,
    /// The engine refused; nothing ran.
    #[display("the engine refused: {kind}")]
    #[from(skip)]
    Refused {
        /// Why.
        kind: engine::EngineRefusalKind,
    },
    /// The events are not those of the answer asked for.
    #[display("{_0}")]
    Relay(catkin_decisions::Error),
    /// Nothing came for too long.
    #[display("nothing came for {} ms", bound.as_millis())]
    #[from(skip)]
    Silent {
        /// How long was waited.
        bound: Duration,
    },
    /// A token's bytes are not hexadecimal.
    #[display("a token's bytes are not hexadecimal")]
    #[from(skip)]
    TokenBytes,
    /// An event of a name that was not agreed on.
    #[display("unknown event `{name}`")]
    #[from(skip)]
    UnknownEvent {
        /// Its name.
        name: Arc<str>,
    },
}

impl AttemptError {
    /// Whether the request surely was not on the upstream: no order reached it, or it refused the order.
    pub(crate) fn never_ran(&self) -> bool {
        match self {
            Self::Held { .. } | Self::NotEligible | Self::Unproven | Self::Refused { .. } => true,
            Self::Http(fault) => fault.never_connected(),
            _ => false,
        }
    }

    /// Whether the engine may run the attempt although its stream did not come.
    pub(crate) fn may_have_started(&self) -> bool {
        use http_client::HttpError;
        matches!(
            self,
            Self::Broken | Self::Http(HttpError::Call { .. } | HttpError::Timeout { .. })
        )
    }
}
