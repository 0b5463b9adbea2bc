use super::*;
use crate::claim_committer::{ClaimCommitter, Waiter};
use crate::claim_row::{CLAIMS_TABLE, found_claim};
use tokio::sync::oneshot;

/// The claims service: allows at most one dispatch for each idempotency key of a team across all
/// VMs.
pub struct Claims {
    cfg: ClaimSettings,
    incarnation: Incarnation,
    platform: Arc<Platform>,
    timer: Arc<Timer>,
    timeline: Arc<Timeline>,
    committer: Arc<ClaimCommitter>,
    /// Number of outcomes whose bodies are being written to the object store.
    pending_stores: watch::Sender<usize>,
}

/// A request to claim an idempotency key.
#[derive(Clone, Debug)]
pub struct ClaimRequest {
    /// Team that sends the request.
    pub team: TeamId,
    /// Idempotency key, unique within the team.
    pub key: IdempotencyKey,
    /// Digest of the request's identifying content; a different digest under the same key is a
    /// conflict.
    pub digest: RequestDigest,
    /// Kind of request; another VM may take over a generation, but not a call.
    pub kind: ClaimKind,
    /// Id of the request on this VM.
    pub request: RequestId,
    /// Time until the request's deadline. A claim that is not resolved by then is abandoned.
    pub time_left: Duration,
}

/// Response of an upstream that is to be recorded.
#[derive(Clone, Debug)]
pub struct ResponseToRecord {
    /// HTTP status code.
    pub status: u16,
    /// Headers by name and value.
    pub headers: Vec<(Arc<str>, Arc<str>)>,
    /// Complete body.
    pub body: Bytes,
}

impl Claims {
    /// Starts the service and its committer task.
    pub fn start(
        platform: Arc<Platform>,
        timer: Arc<Timer>,
        timeline: Arc<Timeline>,
        incarnation: Incarnation,
        cfg: ClaimSettings,
    ) -> Arc<Self> {
        let committer = ClaimCommitter::start(platform.clone(), timer.clone(), cfg);
        Arc::new(Self {
            cfg,
            incarnation,
            platform,
            timer,
            timeline,
            committer,
            pending_stores: watch::Sender::new(0),
        })
    }

    /// Attempts to claim a request's key.
    pub async fn claim(&self, req: ClaimRequest) -> ClaimVerdict {
        let change = self.change(&req, 0);
        let verdict = self.commit(change, &req).await;
        let name: &'static str = (&verdict).into();
        metrics::counter!("catkin_claims_total", "verdict" => name).increment(1);
        if matches!(verdict, ClaimVerdict::Claimed(_)) {
            self.timeline.record(Event {
                request: Some(req.request),
                ..Event::new(EventKind::Claimed)
            });
        }
        verdict
    }

    /// Takes over a generation whose holder has failed, by writing its row under a new token. A
    /// concurrent attempt by another VM conflicts with the changed row.
    pub async fn take_over(&self, req: ClaimRequest, found: &FoundClaim) -> ClaimVerdict {
        let may_take_over = found.record.as_ref().is_some_and(|record| {
            record.kind == ClaimKind::Generation && record.digest == req.digest
        });
        if !may_take_over || req.kind != ClaimKind::Generation {
            return self.verdict(&req.digest, found.clone());
        }
        let change = self.change(&req, found.version);
        self.commit(change, &req).await
    }

    /// Waits for the outcome of a request in progress, for at most `time_left`.
    ///
    /// If there is no outcome by then, the verdict remains that it is in progress.
    pub async fn wait_for_outcome(
        &self,
        digest: &RequestDigest,
        found: FoundClaim,
        time_left: Duration,
    ) -> ClaimVerdict {
        let deadline = self.timer.now().after(time_left);
        let mut verdict = self.verdict(digest, found);
        while let ClaimVerdict::InProgress(found) = verdict {
            let time_left = deadline.since(self.timer.now());
            if time_left.is_zero() {
                return ClaimVerdict::InProgress(found);
            }
            tokio::time::sleep(time_left.min(self.cfg.poll_interval)).await;
            let found = self.read(&found.key).await.unwrap_or(found);
            verdict = self.verdict(digest, found);
        }
        verdict
    }

    /// Records an upstream's response, which is returned to a caller who retries the request.
    pub fn record_response(self: &Arc<Self>, held: HeldClaim, response: ResponseToRecord) {
        let record = |body| RecordedResponse {
            status: response.status,
            headers: response.headers.clone(),
            body,
        };
        let length = response.body.len();
        if length <= self.cfg.max_inline_bytes {
            let body = RecordedBody::Inline(response.body.as_ref().into());
            self.end(held, ClaimOutcome::Answered(record(body)));
        } else if length > self.cfg.max_object_bytes {
            self.end(held, ClaimOutcome::Answered(record(RecordedBody::TooLarge)));
        } else {
            let name = object_name(&held);
            let outcome = ClaimOutcome::Answered(record(RecordedBody::Object(name.clone())));
            self.pending_stores.send_modify(|count| *count += 1);
            tokio::spawn(
                self.clone()
                    .store_and_end(name, response.body, held, outcome),
            );
        }
    }

    /// Records that a dispatched request may or may not have run.
    pub fn record_unknown(&self, held: HeldClaim) {
        self.end(held, ClaimOutcome::Unknown);
    }

    /// Releases a claim whose request certainly did not run. The same request may claim the key
    /// again.
    pub fn release(&self, held: HeldClaim) {
        let expires = wall_now().after(self.cfg.retention);
        self.committer.end(held.end(ClaimStage::Released, expires));
    }

    /// Reads the body of a recorded response; `None` if it was too large to store or is deleted.
    ///
    /// # Errors
    ///
    /// If the object store does not respond.
    pub async fn response_body(&self, body: &RecordedBody) -> Result<Option<Bytes>, PlatformError> {
        match body {
            RecordedBody::Inline(body) => Ok(Some(Bytes::copy_from_slice(body))),
            RecordedBody::Object(name) => (self.platform.get_object)(name.clone()).await,
            RecordedBody::TooLarge => Ok(None),
        }
    }

    /// Deletes one page of expired claims; returns whether it was full, so that there may be more.
    ///
    /// # Errors
    ///
    /// If the table service does not respond. A retry is harmless.
    pub async fn sweep_page(&self, now: WallTime) -> Result<bool, PlatformError> {
        claim_sweep::sweep_page(&self.platform, now).await
    }

    /// Sweeps periodically until the timer stops, while `may_sweep` returns true: one VM is enough.
    pub async fn sweep_periodically(self: Arc<Self>, may_sweep: impl Fn() -> bool + Send) {
        let mut ticks = self.timer.subscribe(self.cfg.sweep_interval);
        while ticks.recv().await.is_some() {
            while may_sweep() {
                match self.sweep_page(wall_now()).await {
                    Ok(true) => tokio::time::sleep(self.cfg.sweep_page_delay).await,
                    Ok(false) => break,
                    Err(error) => {
                        tracing::debug!(fault = %error, "sweep of expired claims failed; retrying later");
                        break;
                    }
                }
            }
        }
    }

    /// Waits until every outcome is recorded. A process that exits earlier leaves claims without an
    /// outcome, and callers who retry them are told that the outcome is unknown.
    pub async fn flush(&self) {
        let mut pending_stores = self.pending_stores.subscribe();
        let _ = pending_stores.wait_for(|count| *count == 0).await;
        self.committer.flush().await;
    }

    async fn commit(&self, change: ClaimChange, req: &ClaimRequest) -> ClaimVerdict {
        let deadline = self.timer.now().after(req.time_left);
        let (tx, rx) = oneshot::channel();
        self.committer.claim(change, deadline, Waiter(tx));
        // The committer releases a claim that is committed after this wait, as its waiter is
        // dropped.
        match tokio::time::timeout(req.time_left, rx).await {
            Ok(Ok(ClaimResult::Claimed(claimed))) => ClaimVerdict::Claimed(claimed),
            Ok(Ok(ClaimResult::Taken(found))) => self.verdict(&req.digest, found),
            Ok(Ok(ClaimResult::Abandoned) | Err(_)) | Err(_) => ClaimVerdict::NotRun,
        }
    }

    fn change(&self, req: &ClaimRequest, expected: u64) -> ClaimChange {
        let now = wall_now();
        ClaimChange {
            key: ClaimRowKey::new(&req.team, &req.key),
            expected,
            record: ClaimRecord {
                digest: req.digest,
                token: ClaimToken(rand::random()),
                kind: req.kind,
                holder: self.timeline.vm().clone(),
                incarnation: self.incarnation,
                request: req.request.clone(),
                deadline: now.after(req.time_left),
                expires: now.after(req.time_left + self.cfg.unknown_retention),
                stage: ClaimStage::Claimed,
            },
        }
    }

    fn end(&self, held: HeldClaim, outcome: ClaimOutcome) {
        let retention = match outcome {
            ClaimOutcome::Answered(_) => self.cfg.retention,
            ClaimOutcome::Unknown => self.cfg.unknown_retention,
        };
        let name: &'static str = (&outcome).into();
        metrics::counter!("catkin_claim_outcomes_total", "outcome" => name).increment(1);
        let stage = ClaimStage::Done(outcome);
        self.committer
            .end(held.end(stage, wall_now().after(retention)));
    }

    async fn store_and_end(
        self: Arc<Self>,
        name: Arc<str>,
        body: Bytes,
        held: HeldClaim,
        outcome: ClaimOutcome,
    ) {
        while let Err(error) = (self.platform.put_object)((name.clone(), body.clone())).await {
            tracing::debug!(fault = %error, %name, "cannot store a recorded response; retrying");
            tokio::time::sleep(self.cfg.poll_interval).await;
        }
        self.end(held, outcome);
        self.pending_stores.send_modify(|count| *count -= 1);
    }

    async fn read(&self, key: &ClaimRowKey) -> Option<FoundClaim> {
        let key = platform_api::RowKey {
            table: CLAIMS_TABLE.to_owned(),
            key: key.as_str().to_owned(),
        };
        let rows = (self.platform.read)(vec![key]).await.ok()?;
        rows.first().map(found_claim)
    }

    fn verdict(&self, digest: &RequestDigest, found: FoundClaim) -> ClaimVerdict {
        ClaimVerdict::from_row(digest, found, wall_now(), self.cfg.max_clock_skew)
    }
}

/// Reads this VM's wall clock.
pub(crate) fn wall_now() -> WallTime {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    WallTime::default().after(since.unwrap_or_default())
}

/// Returns the name of the object with a claim's response body. It contains the token, so that a
/// later request under the same key does not find it.
fn object_name(held: &HeldClaim) -> Arc<str> {
    format!("claims/{}/{}", held.key(), held.record().token).into()
}
