//! Attribution of crashed upstreams to the calls that ran there, and what follows for these calls.

use super::{
    health_check::probe,
    lost_run::{CrashProof, LostRun},
    reply_log::BodyHex,
    *,
};

/// Upstreams whose connections broke under one call and that are not known to have crashed.
pub(crate) struct UnconfirmedCrashes {
    digest: u64,
    runs: Vec<(Arc<UpstreamEntry>, CrashPhase)>,
}

impl UnconfirmedCrashes {
    /// None yet, for a call whose body has this digest.
    pub(crate) fn new(digest: u64) -> Self {
        Self {
            digest,
            runs: Vec::new(),
        }
    }

    /// Adds an upstream whose connection broke.
    pub(crate) fn push(&mut self, entry: Arc<UpstreamEntry>, phase: CrashPhase) {
        self.runs.push((entry, phase));
    }

    /// Whether the call must not be sent again, because upstreams crashed under its body.
    ///
    /// A crash is usually known from the health check that follows each broken connection. If the unconfirmed
    /// ones would decide, these upstreams are checked first, which costs a round trip.
    pub(crate) async fn forbid_resend(&mut self, gateway: &Arc<Gateway>, id: &RequestId) -> bool {
        if self.would_decide(gateway) {
            let checked = self.runs.len();
            let probes = std::mem::take(&mut self.runs)
                .into_iter()
                .map(|(entry, _)| probe(gateway.clone(), entry));
            let live = futures::future::join_all(probes).await;
            let down = live.iter().filter(|live| !**live).count();
            tracing::warn!(request = %id, checked, down,
                "upstreams that broke this call were checked");
        }
        gateway.refuse_resend(self.digest, id)
    }

    fn would_decide(&mut self, gateway: &Gateway) -> bool {
        let now = gateway.timer.now();
        let state = gateway.state.lock();
        self.runs
            .retain(|(entry, _)| !state.crashes.has_crash(self.digest, &entry.id));
        let phases = self.runs.iter().map(|(_, phase)| *phase);
        !self.runs.is_empty()
            && !state.crashes.forbids_resend(self.digest, now)
            && state.crashes.forbids_resend_with(self.digest, phases, now)
    }
}

impl Gateway {
    /// Whether a call must not be sent again, because upstreams crashed under its body; logs it if so.
    pub(crate) fn refuse_resend(&self, digest: u64, id: &RequestId) -> bool {
        let now = self.timer.now();
        let forbidden = self.forbids_resend(digest);
        let (crashes, explained) = {
            let crashes = &self.state.lock().crashes;
            (
                crashes.crash_count(digest, now),
                crashes.explained_count(digest, now),
            )
        };
        if !forbidden && crashes + explained > 0 && self.log.admits(LineKind::Belief, now) {
            tracing::info!(request = %id, body = %BodyHex(digest), crashes, explained,
                "call may be sent again: too few crashes count");
        }
        if forbidden {
            tracing::warn!(request = %id, body = %BodyHex(digest), crashes,
                "call not sent again: upstreams crashed under its body");
        }
        forbidden
    }

    fn forbids_resend(&self, digest: u64) -> bool {
        let now = self.timer.now();
        self.state.lock().crashes.forbids_resend(digest, now)
    }

    /// Waits until a call must not be sent again. A call that waits in an upstream is then withdrawn before
    /// it runs and crashes that upstream, too.
    pub(crate) async fn resend_forbidden(&self, digest: u64) {
        let mut refusals = self.state.lock().refusals.subscribe();
        while !self.forbids_resend(digest) {
            if refusals.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Records that a run of a call was lost, and that its upstream may have crashed.
    pub(crate) fn run_of_body_lost(
        &self,
        entry: &UpstreamEntry,
        digest: u64,
        phase: CrashPhase,
        proof: CrashProof,
    ) {
        let crash = Crash {
            digest,
            upstream: entry.id.clone(),
            at: self.timer.now(),
            cleared: false,
            phase,
        };
        let attributed = self.state.lock().record_lost_run(LostRun { crash, proof });
        self.advertise_crashes(&entry.id, usize::from(attributed));
    }

    /// Attributes the crash of an upstream to the calls whose runs were lost there.
    pub(crate) fn attribute_crash(&self, id: &UpstreamIncarnation, proof: CrashProof) {
        let now = self.timer.now();
        let crashes = self.state.lock().upstream_crashed(id, proof, now);
        self.advertise_crashes(id, crashes);
    }

    /// Notifies other VMs immediately that an upstream crashed while running calls: the callers
    /// retry within milliseconds, at any VM.
    pub(crate) fn advertise_crashes(&self, upstream: &UpstreamIncarnation, calls: usize) {
        if calls > 0 {
            tracing::warn!(%upstream, calls, "upstream crashed while running calls");
            self.crashes_seen.notify_one();
        }
    }

    /// Records that the response of a call was complete.
    pub(crate) fn record_delivery(&self, digest: u64) {
        self.state.lock().crashes.record_complete_response(digest);
    }
}
