use super::{
    accepted_call::AcceptedCall, core::refused, reply::StreamCut, stream_run::StreamRun, *,
};

/// Minimum retry delay for the caller of a stream that no upstream accepted. Crashed engines are back after
/// about this time; it is randomized so that callers refused together do not retry together.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(400);

/// Serves an event stream. The response head is sent only with the first event, so that until then the
/// call can restart on another upstream without the caller having received anything.
pub(crate) async fn call_stream(gateway: &Arc<Gateway>, accepted: AcceptedCall) -> Reply {
    let call = accepted.call.clone();
    let mut run = StreamRun::new(gateway.clone(), accepted);
    let first = match run.next_events().await {
        Ok(first) => first,
        Err(StreamStop::NotRun(reason)) => {
            let is_upstream_refusal = reason == RefusalReason::UpstreamRefused;
            let backs_off = is_upstream_refusal.then(|| run.back_off_retry_after());
            if let Some(retry_after) = backs_off.flatten() {
                return refused(&call, RefusalReason::BackOff, retry_after);
            }
            let limited = is_upstream_refusal.then(|| run.limit_retry_after());
            if let Some(retry_after) = limited.flatten() {
                return refused(&call, RefusalReason::Limit, retry_after);
            }
            let spread = 1.0 + rand::random::<f64>();
            let retry_after = REFUSED_RETRY_AFTER.mul_f64(spread);
            return refused(&call, reason, retry_after);
        }
        Err(StreamStop::Refused {
            reason,
            retry_after,
        }) => return refused(&call, reason, retry_after),
        Err(StreamStop::TimedOut) => return Reply::TimedOut,
        Err(StreamStop::Cut(_)) => return Reply::Unknown,
    };
    let Some((status, headers)) = run.take_head() else {
        return Reply::Unknown;
    };
    let rest = futures::stream::unfold(Some(run), |run| async move {
        let mut run = run?;
        match run.next_events().await {
            Ok(Some(events)) => Some((Ok(events), Some(run))),
            Ok(None) => None,
            Err(stop) => {
                let cut = stop.into_cut();
                run.log_cut(cut);
                Some((Err(cut), None))
            }
        }
    });
    let body = futures::stream::iter(first.map(Ok)).chain(rest);
    Reply::Events {
        status,
        headers,
        body: EventBody(body.boxed()),
    }
}

/// Why a stream ends without being complete.
pub(crate) enum StreamStop {
    /// No upstream ran it.
    NotRun(RefusalReason),
    /// It got no room at an upstream and was not sent.
    Refused {
        reason: RefusalReason,
        retry_after: Duration,
    },
    /// The deadline passed.
    TimedOut,
    /// Its run was lost and it cannot be resumed.
    Cut(StreamCut),
}

impl StreamStop {
    fn into_cut(self) -> StreamCut {
        match self {
            Self::NotRun(_) | Self::Refused { .. } => StreamCut::NoUpstream,
            Self::TimedOut => StreamCut::TimedOut,
            Self::Cut(cut) => cut,
        }
    }
}
