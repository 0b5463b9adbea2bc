use super::*;
use crate::claim_committer::{ClaimCommitter, Waiter};
use crate::claim_row::{CLAIMS, found_claim};
use tokio::sync::oneshot;

/// The claims service: at most one dispatch for each idempotency key of a team, over all VMs.
pub struct Claims {
    cfg: ClaimSettings,
    incarnation: Incarnation,
    platform: Arc<Platform>,
    timer: Arc<Timer>,
    timeline: Arc<Timeline>,
    committer: Arc<ClaimCommitter>,
    /// Ends whose bodies are on their way to the object store.
    storing: watch::Sender<usize>,
}

/// A request that wants its key.
#[derive(Clone, Debug)]
pub struct ClaimRequest {
    /// Team that sends it.
    pub team: TeamId,
    /// Its idempotency key.
    pub key: IdempotencyKey,
    /// Digest of all that makes it this request.
    pub digest: RequestDigest,
    /// Whether another VM may take it over.
    pub kind: ClaimKind,
    /// Id under which it runs here.
    pub request: RequestId,
    /// Time left to it. A claim that is not settled by then is given up.
    pub time_left: Duration,
}

/// Answer of an upstream, as it is to be recorded.
#[derive(Clone, Debug)]
pub struct ResponseToRecord {
    /// HTTP status.
    pub status: u16,
    /// Headers by name and value.
    pub headers: Vec<(Arc<str>, Arc<str>)>,
    /// Whole body.
    pub body: Bytes,
}

impl Claims {
    /// Starts the service.
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
            storing: watch::Sender::new(0),
        })
    }

    /// Tries to claim a request's key.
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

    /// Takes over a generation whose holder is gone, by writing its row under an own token. Whoever
    /// else tries the same finds the row changed.
    pub async fn take_over(&self, req: ClaimRequest, found: &FoundClaim) -> ClaimVerdict {
        let takeable = found.record.as_ref().is_some_and(|record| {
            record.kind == ClaimKind::Generation && record.digest == req.digest
        });
        if !takeable || req.kind != ClaimKind::Generation {
            return self.verdict(&req.digest, found.clone());
        }
        let change = self.change(&req, found.version);
        self.commit(change, &req).await
    }

    /// Waits until a request in progress has come to an end, for at most `time_left`.
    ///
    /// If there is none by then, the verdict still is that it is in progress.
    pub async fn outcome(
        &self,
        digest: &RequestDigest,
        found: FoundClaim,
        time_left: Duration,
    ) -> ClaimVerdict {
        let until = self.timer.now().after(time_left);
        let mut verdict = self.verdict(digest, found);
        while let ClaimVerdict::InProgress(found) = verdict {
            let left = until.since(self.timer.now());
            if left.is_zero() {
                return ClaimVerdict::InProgress(found);
            }
            tokio::time::sleep(left.min(self.cfg.poll_period)).await;
            let found = self.read(&found.key).await.unwrap_or(found);
            verdict = self.verdict(digest, found);
        }
        verdict
    }

    /// Records an upstream's answer, so that a caller who sends the request again gets it.
    pub fn record(self: &Arc<Self>, held: HeldClaim, answer: ResponseToRecord) {
        let record = |body| RecordedResponse {
            status: answer.status,
            headers: answer.headers.clone(),
            body,
        };
        let length = answer.body.len();
        if length <= self.cfg.inline_max {
            let body = RecordedBody::Inline(answer.body.as_ref().into());
            self.end(held, ClaimOutcome::Answered(record(body)));
        } else if length > self.cfg.object_max {
            self.end(held, ClaimOutcome::Answered(record(RecordedBody::TooLarge)));
        } else {
            let name = object_name(&held);
            let outcome = ClaimOutcome::Answered(record(RecordedBody::Object(name.clone())));
            self.storing.send_modify(|count| *count += 1);
            tokio::spawn(self.clone().store(name, answer.body, held, outcome));
        }
    }

    /// Records that a dispatched request may have run or not.
    pub fn record_unknown(&self, held: HeldClaim) {
        self.end(held, ClaimOutcome::Unknown);
    }

    /// Gives a claim back whose request certainly did not run. The same request may claim the key
    /// again.
    pub fn release(&self, held: HeldClaim) {
        let expires = wall_now().after(self.cfg.retention);
        self.committer.end(held.end(ClaimStage::Released, expires));
    }

    /// The body of a recorded answer.
    ///
    /// # Errors
    ///
    /// If the object store gives none; `Ok(None)` if it was too large to keep, or is gone.
    pub async fn body(&self, body: &RecordedBody) -> Result<Option<Bytes>, PlatformError> {
        match body {
            RecordedBody::Inline(body) => Ok(Some(Bytes::copy_from_slice(body))),
            RecordedBody::Object(name) => (self.platform.get_object)(name.clone()).await,
            RecordedBody::TooLarge => Ok(None),
        }
    }

    /// Deletes the expired claims of one page of the expiry table; returns whether there was a whole
    /// page, so that there may be more.
    ///
    /// # Errors
    ///
    /// If the table service does not answer. Another try does no harm.
    pub async fn sweep_page(&self, now: WallTime) -> Result<bool, PlatformError> {
        claim_sweep::sweep_page(&self.platform, now).await
    }

    /// Sweeps for as long as the service is there and `may_sweep` says so: one VM is enough.
    pub async fn sweep(self: Arc<Self>, may_sweep: impl Fn() -> bool + Send) {
        let mut ticks = self.timer.subscribe(self.cfg.sweep_period);
        while ticks.recv().await.is_some() {
            while may_sweep() {
                match self.sweep_page(wall_now()).await {
                    Ok(true) => tokio::time::sleep(self.cfg.sweep_pause).await,
                    Ok(false) => break,
                    Err(fault) => {
                        tracing::debug!(%fault, "sweep put off");
                        break;
                    }
                }
            }
        }
    }

    /// Waits until every end is recorded. A process that ends before leaves claims without outcome,
    /// and callers who send them again hear that nobody knows.
    pub async fn flush(&self) {
        let mut storing = self.storing.subscribe();
        let _ = storing.wait_for(|count| *count == 0).await;
        self.committer.flush().await;
    }

    async fn commit(&self, change: ClaimChange, req: &ClaimRequest) -> ClaimVerdict {
        let deadline = self.timer.now().after(req.time_left);
        let (tx, rx) = oneshot::channel();
        self.committer.claim(change, deadline, Waiter(tx));
        // A claim that is settled after this wait finds nobody and is given back.
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
        let keep = match outcome {
            ClaimOutcome::Answered(_) => self.cfg.retention,
            ClaimOutcome::Unknown => self.cfg.unknown_retention,
        };
        let name: &'static str = (&outcome).into();
        metrics::counter!("catkin_claim_outcomes_total", "outcome" => name).increment(1);
        let stage = ClaimStage::Done(outcome);
        self.committer.end(held.end(stage, wall_now().after(keep)));
    }

    async fn store(
        self: Arc<Self>,
        name: Arc<str>,
        body: Bytes,
        held: HeldClaim,
        outcome: ClaimOutcome,
    ) {
        while let Err(fault) = (self.platform.put_object)((name.clone(), body.clone())).await {
            tracing::debug!(%fault, %name, "answer not stored yet");
            tokio::time::sleep(self.cfg.poll_period).await;
        }
        self.end(held, outcome);
        self.storing.send_modify(|count| *count -= 1);
    }

    async fn read(&self, key: &ClaimRowKey) -> Option<FoundClaim> {
        let key = platform_api::RowKey {
            table: CLAIMS.to_owned(),
            key: key.as_str().to_owned(),
        };
        let rows = (self.platform.read)(vec![key]).await.ok()?;
        rows.first().map(found_claim)
    }

    fn verdict(&self, digest: &RequestDigest, found: FoundClaim) -> ClaimVerdict {
        ClaimVerdict::from_row(digest, found, wall_now(), self.cfg.clocks_differ)
    }
}

/// This VM's clock.
pub(crate) fn wall_now() -> WallTime {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    WallTime::default().after(since.unwrap_or_default())
}

/// Name of the object with a claim's answer. It bears the token, so that no later request under the
/// same key finds it.
fn object_name(held: &HeldClaim) -> Arc<str> {
    format!("claims/{}/{}", held.key(), held.record().token).into()
}
