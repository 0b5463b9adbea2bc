use super::{
    accepted_call::AcceptedCall, core::refused, reply::StreamCut, stream_run::StreamRun, *,
};

/// When a caller may come back with a stream that no upstream took: about the time in which crashed
/// engines are back, spread so that those refused together do not return together.
const REFUSED_RETRY: Duration = Duration::from_millis(400);

/// Serves a stream of events. The head of the answer waits for the first event: until then another
/// upstream may begin anew, and nothing has been promised.
pub(crate) async fn call_stream(gateway: &Arc<Gateway>, accepted: AcceptedCall) -> Reply {
    let call = accepted.call.clone();
    let mut run = StreamRun::new(gateway.clone(), accepted);
    let first = match run.next_events().await {
        Ok(first) => first,
        Err(StreamStop::NotRun(reason)) => {
            let spread = 1.0 + rand::random::<f64>();
            let retry_after = REFUSED_RETRY.mul_f64(spread);
            return refused(&call, reason, retry_after);
        }
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
                let cut = stop.cut();
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

/// Why a stream does not go on.
pub(crate) enum StreamStop {
    /// No upstream ran it.
    NotRun(RefusalReason),
    /// Its time is over.
    TimedOut,
    /// It was cut.
    Cut(StreamCut),
}

impl StreamStop {
    fn cut(self) -> StreamCut {
        match self {
            Self::NotRun(_) => StreamCut::NoUpstream,
            Self::TimedOut => StreamCut::TimedOut,
            Self::Cut(cut) => cut,
        }
    }
}
