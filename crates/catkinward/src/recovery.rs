//! Recovery of a generation after the loss of a stream, of the response to an order, or of the VM
//! that ran it before.

use super::*;
use crate::{
    attempt_stream::AttemptStream,
    engine_client::{self, Reattach},
    engine_event::AttemptError,
    generation_driver::Driver,
    running_attempt::{AttemptGuard, RunningAttempt},
    slot_guard::SlotGuard,
};

/// Timeout of reattaching to a running attempt.
const REATTACH_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout until a second attempt delivers its first token or reports that it is queued.
const SECOND_ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);

/// Head start of reattaching to the running attempt over a second attempt. A live engine answers
/// within a round trip of a few milliseconds, and the second attempt would only be cancelled.
const REATTACH_HEAD_START: Duration = Duration::from_millis(25);

/// Attempt that made progress first after the loss of a stream.
enum RaceWinner {
    /// The original attempt, over a new connection.
    Original(Box<AttemptStream>),
    /// A second attempt on another upstream.
    Second(Box<RunningAttempt>),
}

impl Driver {
    /// Continues the attempt of the previous VM if its engine is still running it, so that nothing is
    /// computed twice.
    pub(crate) async fn resume_orphaned_attempt(&mut self) -> Option<RunningAttempt> {
        let (id, attempt) = self.generation.take_orphaned_attempt()?;
        let request = &self.generation.request;
        let pool = self.node.admission.pool(&request.service);
        let upstream = pool.hold_slot(request.lane(), self.node.upstreams.handle_running(&id)?);
        let (reserved, _) = self.generation.reserve();
        let reattach = Reattach {
            address: upstream.address(),
            id: &self.generation.request.engine_id,
            attempt,
            new_attempt: reserved.attempt(),
            from: self.generation.next_index(),
            timeout: REATTACH_TIMEOUT,
        };
        let stream = engine_client::reattach(&self.node.connections, reattach).await;
        let stream = stream.inspect_err(|error| {
            tracing::info!(id = %self.generation.request.id, upstream = %id, fault = %error,
                "cannot re-attach to the attempt of the previous VM");
        });
        let stream = stream.ok()?;
        self.record(EventKind::ReAttached, reserved.attempt(), &id, None);
        let guard = AttemptGuard::running(
            &self.node.connections,
            upstream.address(),
            self.generation.request.engine_id.clone(),
            reserved.attempt(),
        );
        self.generation.adopt(reserved).then_some(RunningAttempt {
            upstream,
            stream,
            guard,
        })
    }

    /// Handles an order that returned no stream. The engine may be running the attempt nevertheless;
    /// under the least-work policy this reattaches to it.
    pub(crate) async fn reattach_after_order(
        &self,
        upstream: &SlotGuard,
        order: &engine::EngineGenerate,
        error: &AttemptError,
    ) -> Option<AttemptStream> {
        let full = engine::EngineRefusalKind::Full;
        if matches!(error, AttemptError::Refused { kind } if *kind == full) {
            upstream.record_overload();
        }
        upstream.record_error(error).await;
        let least_work = self.generation.request.recovery == RecoveryPolicy::LeastWork;
        if !least_work || !error.may_have_started() {
            return None;
        }
        let attempt = Attempt(order.attempt);
        let stream = self.reattach(upstream, attempt).await.ok()?;
        self.record(EventKind::ReAttached, attempt, upstream.id(), None);
        Some(stream)
    }

    /// Resumes after the loss of a stream: with the same attempt if its engine is still running it,
    /// otherwise with a new attempt on another upstream. The service's recovery policy decides whether
    /// the new attempt waits until reattaching has failed.
    pub(crate) async fn recover(
        &mut self,
        attempt: RunningAttempt,
    ) -> Result<RunningAttempt, AttemptError> {
        match self.generation.request.recovery {
            RecoveryPolicy::LeastWork => self.reattach_or_fail(attempt).await,
            RecoveryPolicy::LeastWait => match self.choose(false) {
                Some(other) => self.race(attempt, other).await,
                None => self.reattach_or_fail(attempt).await,
            },
        }
    }

    async fn reattach_or_fail(
        &self,
        mut attempt: RunningAttempt,
    ) -> Result<RunningAttempt, AttemptError> {
        attempt.stream = self.reattach_with_progress(&attempt).await?;
        Ok(attempt)
    }

    async fn reattach_with_progress(
        &self,
        attempt: &RunningAttempt,
    ) -> Result<AttemptStream, AttemptError> {
        let upstream = &attempt.upstream;
        let number = attempt.stream.attempt();
        let found = async {
            let mut stream = self.reattach(upstream, number).await?;
            stream.wait_for_progress(REATTACH_TIMEOUT).await?;
            Ok(stream)
        };
        let found: Result<_, AttemptError> = found.await;
        match &found {
            Ok(_) => self.record(EventKind::ReAttached, number, upstream.id(), None),
            Err(error) => upstream.record_reattach_error(error).await,
        }
        found
    }

    /// Reattaches to an attempt over a new connection.
    async fn reattach(
        &self,
        upstream: &SlotGuard,
        attempt: Attempt,
    ) -> Result<AttemptStream, AttemptError> {
        let reattach = Reattach {
            address: upstream.address(),
            id: &self.generation.request.engine_id,
            attempt,
            new_attempt: attempt,
            from: self.generation.next_index(),
            timeout: REATTACH_TIMEOUT,
        };
        engine_client::reattach(&self.node.connections, reattach).await
    }

    async fn race(
        &mut self,
        mut original: RunningAttempt,
        other: SlotGuard,
    ) -> Result<RunningAttempt, AttemptError> {
        let (reserved, order) = self.generation.reserve();
        let second = match self.first_to_progress(&original, other, order).await? {
            RaceWinner::Original(stream) => {
                original.stream = *stream;
                return Ok(original);
            }
            RaceWinner::Second(second) => second,
        };
        self.avoid.push(second.upstream.id().clone());
        if self.generation.adopt(reserved) {
            return Ok(*second);
        }
        Err(AttemptError::Broken)
    }

    async fn first_to_progress(
        &self,
        original: &RunningAttempt,
        other: SlotGuard,
        order: engine::EngineGenerate,
    ) -> Result<RaceWinner, AttemptError> {
        let mut reattaching = std::pin::pin!(self.reattach_with_progress(original));
        let mut second = std::pin::pin!(self.second_attempt(other, order));
        tokio::select! {
            reattached = &mut reattaching => return match reattached {
                Ok(stream) => Ok(RaceWinner::Original(Box::new(stream))),
                Err(_) => Ok(RaceWinner::Second(Box::new(second.await?))),
            },
            () = tokio::time::sleep(REATTACH_HEAD_START) => {}
        }
        tokio::select! {
            reattached = &mut reattaching => match reattached {
                Ok(stream) => Ok(RaceWinner::Original(Box::new(stream))),
                Err(_) => Ok(RaceWinner::Second(Box::new(second.await?))),
            },
            started = &mut second => match started {
                Ok(second) => Ok(RaceWinner::Second(Box::new(second))),
                Err(_) => Ok(RaceWinner::Original(Box::new(reattaching.await?))),
            },
        }
    }

    async fn second_attempt(
        &self,
        upstream: SlotGuard,
        order: engine::EngineGenerate,
    ) -> Result<RunningAttempt, AttemptError> {
        let mut driver = Driver::new(self.node.clone(), self.generation.clone());
        let mut attempt = driver.open(upstream, order).await?;
        match attempt
            .stream
            .wait_for_progress(SECOND_ATTEMPT_TIMEOUT)
            .await
        {
            Ok(()) => Ok(attempt),
            Err(error) => {
                attempt.upstream.record_error(&error).await;
                Err(error)
            }
        }
    }
}
