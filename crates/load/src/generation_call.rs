use super::*;
use crate::{balancer::Balancer, fleet_bundle::GENERATION_SERVICE};
use std::num::NonZeroU32;

/// Pause before a caller whose answer broke off turns to another router.
const RETURN_PAUSE: Duration = Duration::from_millis(20);

/// One generation that a caller asks for.
#[derive(Clone, Debug)]
pub(crate) struct GenerationCall {
    /// When it is due, from the start of the run.
    pub(crate) due: Duration,
    pub(crate) team: usize,
    pub(crate) prompt: String,
    pub(crate) seed: u64,
    pub(crate) tokens: u32,
    /// None for a caller who cannot come back to its answer, and asks anew.
    pub(crate) key: Option<String>,
}

/// How a call ended, as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum CallEnd {
    /// With the whole answer.
    Whole,
    /// With the word that nothing ran.
    NotRun,
    /// With another typed error.
    Failed,
    /// With neither.
    Lost,
}

/// A call and what came of it.
#[derive(Clone, Debug)]
pub(crate) struct GenerationResult {
    pub(crate) call: GenerationCall,
    pub(crate) end: CallEnd,
    pub(crate) answer: Answer,
    /// How often the caller had to turn to another router.
    pub(crate) returns: u32,
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

    /// Makes the call, and comes back to another router with what it has until the answer is whole,
    /// an error is final, or `deadline` is over.
    pub(crate) async fn make(
        self,
        clients: &[CallerClient],
        balancer: &Balancer,
        patience: Duration,
        deadline: Instant,
    ) -> GenerationResult {
        let mut answer = Answer::default();
        let mut returns = 0;
        let mut router = balancer.pick(None);
        let end = loop {
            let reading = self.read(&clients[router], &mut answer, patience);
            match tokio::time::timeout_at(deadline, reading).await {
                Err(_) => break CallEnd::Lost,
                Ok(Some(end)) => break end,
                Ok(None) => {}
            }
            returns += u32::from(answer.accepted);
            tokio::time::sleep(RETURN_PAUSE).await;
            router = balancer.pick(Some(router));
        };
        GenerationResult {
            call: self,
            end,
            answer,
            returns,
        }
    }

    /// Reads from one router; `None` if the caller has to turn to another.
    async fn read(
        &self,
        client: &CallerClient,
        answer: &mut Answer,
        patience: Duration,
    ) -> Option<CallEnd> {
        let (progress_tx, mut progress) = tokio::sync::watch::channel(());
        let request = self.request();
        let reading = client.stream(&request, self.key.as_deref(), answer, |_| {
            progress_tx.send_replace(());
        });
        let impatience = async {
            while let Ok(Ok(())) = tokio::time::timeout(patience, progress.changed()).await {}
        };
        tokio::select! {
            read = reading => read.ok()?,
            () = impatience => return None,
        }
        match answer.problem.as_ref() {
            None => Some(CallEnd::Whole),
            Some(problem) if problem.outcome != caller::Outcome::NotRun => Some(CallEnd::Failed),
            Some(problem) if problem.retry_after_ms.is_some() => None,
            Some(_) => Some(CallEnd::NotRun),
        }
    }
}
