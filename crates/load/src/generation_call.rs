use super::*;
use crate::{balancer::Balancer, fleet_bundle::GENERATION_SERVICE};
use std::num::NonZeroU32;

/// Delay before a caller whose stream was interrupted reconnects to another router.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);

/// A generation request of a caller.
#[derive(Clone, Debug)]
pub(crate) struct GenerationCall {
    /// Scheduled time, relative to the start of the run.
    pub(crate) scheduled: Duration,
    pub(crate) team: usize,
    pub(crate) prompt: String,
    pub(crate) seed: u64,
    pub(crate) tokens: u32,
    /// Idempotency key; `None` for a caller that cannot resume a stream and starts a new request.
    pub(crate) key: Option<String>,
}

/// Outcome of a call as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum CallOutcome {
    /// The complete response was received.
    Complete,
    /// A problem reported that the request did not run.
    NotRun,
    /// Another typed problem was received.
    Failed,
    /// Neither a complete response nor a typed problem arrived before the deadline.
    Lost,
}

/// A call with its outcome and response.
#[derive(Clone, Debug)]
pub(crate) struct GenerationResult {
    pub(crate) call: GenerationCall,
    pub(crate) outcome: CallOutcome,
    pub(crate) answer: Answer,
    /// Number of times that the caller reconnected after its request had been accepted.
    pub(crate) reconnects: u32,
}

impl GenerationCall {
    pub(crate) fn chain(&self) -> TokenChain {
        TokenChain::new("catkin", "1", &self.prompt, self.seed)
    }

    fn request(&self) -> caller::CompletionRequest {
        caller::CompletionRequest {
            max_tokens: NonZeroU32::new(self.tokens).unwrap_or(NonZeroU32::MIN),
            model: GENERATION_SERVICE.to_owned(),
            prompt: self.prompt.clone(),
            seed: Some(self.seed),
            stop: Vec::new(),
            stream: true,
            temperature: None,
        }
    }

    /// Makes the call. Reconnects to another router and resumes there until the response is complete,
    /// a problem is final, or `deadline` has passed.
    pub(crate) async fn make(
        self,
        clients: &[CallerClient],
        balancer: &Balancer,
        token_timeout: Duration,
        deadline: Instant,
    ) -> GenerationResult {
        let mut answer = Answer::default();
        let mut reconnects = 0;
        let mut router = balancer.pick(None);
        let outcome = loop {
            let reading = self.read_stream(&clients[router], &mut answer, token_timeout);
            match tokio::time::timeout_at(deadline, reading).await {
                Err(_) => break CallOutcome::Lost,
                Ok(Some(outcome)) => break outcome,
                Ok(None) => {}
            }
            reconnects += u32::from(answer.accepted);
            tokio::time::sleep(RECONNECT_DELAY).await;
            router = balancer.pick(Some(router));
        };
        GenerationResult {
            call: self,
            outcome,
            answer,
            reconnects,
        }
    }

    /// Reads the stream from one router; `None` if the caller has to reconnect to another.
    async fn read_stream(
        &self,
        client: &CallerClient,
        answer: &mut Answer,
        token_timeout: Duration,
    ) -> Option<CallOutcome> {
        let (progress_tx, mut progress) = tokio::sync::watch::channel(());
        let request = self.request();
        let reading = client.stream(&request, self.key.as_deref(), answer, |_| {
            progress_tx.send_replace(());
        });
        let stalled = async {
            while let Ok(Ok(())) = tokio::time::timeout(token_timeout, progress.changed()).await {}
        };
        tokio::select! {
            result = reading => result.ok()?,
            () = stalled => return None,
        }
        match answer.problem.as_ref() {
            None => Some(CallOutcome::Complete),
            Some(problem) if problem.outcome != caller::Outcome::NotRun => {
                Some(CallOutcome::Failed)
            }
            Some(problem) if problem.retry_after_ms.is_some() => None,
            Some(_) => Some(CallOutcome::NotRun),
        }
    }
}
