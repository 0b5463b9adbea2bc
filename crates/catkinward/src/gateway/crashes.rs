//! Attribution of crashed upstreams to the calls that ran there, and what follows for these calls.

use super::{
    core,
    health_check::probe,
    lost_run::{CrashProof, LostRun},
    reply_log::{BodyHex, millis},
    run_progress::RunProgress,
    *,
};

/// Retry delays for a caller whose call is refused because of crashes. A body is refused for longer than any caller
/// waits, so the delay only prevents immediate retries; a part may be tried sooner.
const CRASHING_RETRY_DELAYS: (Duration, Duration) =
    (Duration::from_secs(10), Duration::from_secs(60));

/// Upstreams whose connections broke under one call and that are not known to have crashed.
pub(crate) struct UnconfirmedCrashes {
    call: Arc<CallAttributes>,
    runs: Vec<(Arc<UpstreamEntry>, CrashPhase)>,
}

impl UnconfirmedCrashes {
    /// None yet, for a call with these attributes.
    pub(crate) fn new(call: Arc<CallAttributes>) -> Self {
        Self {
            call,
            runs: Vec::new(),
        }
    }

    /// Adds an upstream whose connection broke.
    pub(crate) fn push(&mut self, entry: Arc<UpstreamEntry>, phase: CrashPhase) {
        self.runs.push((entry, phase));
    }

    /// Why the call must not be sent again, if upstreams crashed under its body or a part of its prompt.
    ///
    /// A crash is usually known from the health check that follows each broken connection. If the unconfirmed
    /// ones may decide, these upstreams are checked first, which costs a round trip.
    pub(crate) async fn forbid_resend(
        &mut self,
        gateway: &Arc<Gateway>,
        id: &RequestId,
    ) -> Option<CallAttribute> {
        if self.may_decide(gateway) {
            let checked = self.runs.len();
            let probes = self.runs.iter().map(|(entry, _)| {
                let kind = UpstreamRequestKind::CrashCheck;
                probe(gateway.clone(), entry.clone(), kind)
            });
            let live = futures::future::join_all(probes).await;
            self.runs.clear();
            let down = live.iter().filter(|live| !**live).count();
            tracing::warn!(request = %id, checked, down,
                "upstreams that broke this call were checked");
        }
        gateway.refuse_resend(&self.call, id)
    }

    fn may_decide(&mut self, gateway: &Gateway) -> bool {
        let now = gateway.timer.now();
        let state = gateway.state.lock();
        let crashes = &state.crashes;
        let body = self.call.body;
        self.runs
            .retain(|(entry, _)| !crashes.has_crash(body, &entry.id));
        let phases = self.runs.iter().map(|(_, phase)| *phase);
        !self.runs.is_empty()
            && !crashes.forbids_resend(body, now)
            && (crashes.forbids_resend_with(body, phases, now)
                || crashes.is_near_blame(&self.call, now))
    }
}

impl Gateway {
    /// Refuses a call that arrives if upstreams crashed under its body or a part of its prompt, unless it is a trial.
    pub(crate) fn check_crashes(
        &self,
        state: &mut GatewayState,
        call: &Call,
        attributes: &CallAttributes,
        now: Instant,
    ) -> Result<(), Box<Reply>> {
        let refusal = match state.crashes.verdict(attributes, now) {
            CrashVerdict::Admitted => return Ok(()),
            CrashVerdict::Trial { part, slot } => {
                let others = state.peers.live_names(now);
                let attribute = CallAttribute::Part(part.clone());
                if slot.is_of(&part, &self.settings.vm, &others) {
                    tracing::warn!(request = %call.id, cause = %attribute, slot = slot.0,
                        "part that crashed upstreams is tried");
                    state.crashes.record_trial(part, now);
                    return Ok(());
                }
                CrashRefusal {
                    attribute,
                    crashes: 0,
                    blocked_for: Duration::ZERO,
                }
            }
            CrashVerdict::Refused(refusal) => refusal,
        };
        let (shortest, longest) = CRASHING_RETRY_DELAYS;
        let (reason, retry_after) = match &refusal.attribute {
            CallAttribute::Body(_) => (RefusalReason::Poisoned, shortest),
            CallAttribute::Part(_) => {
                metrics::counter!("catkin_crashing_part_refusals_total").increment(1);
                let retry_after = refusal.blocked_for.clamp(shortest, longest);
                (RefusalReason::CrashingPart, retry_after)
            }
        };
        if self.log.admits(LineKind::Accepted, now) {
            tracing::info!(request = %call.id, cause = %refusal.attribute,
                crashes = refusal.crashes, blocked_ms = millis(refusal.blocked_for),
                "call refused: upstreams crashed under others like it");
        }
        Err(core::refused(call, reason, retry_after).into())
    }

    /// Why a call must not be sent again, if upstreams crashed under its body or a part of its prompt; logs it.
    pub(crate) fn refuse_resend(
        &self,
        call: &CallAttributes,
        id: &RequestId,
    ) -> Option<CallAttribute> {
        let now = self.timer.now();
        let cause = self.forbids_resend(call);
        let (crashes, explained) = {
            let crashes = &self.state.lock().crashes;
            (
                crashes.crash_count(call.body, now),
                crashes.explained_count(call.body, now),
            )
        };
        let body = BodyHex(call.body);
        if let Some(cause) = &cause {
            tracing::warn!(request = %id, %body, %cause, crashes, explained,
                "call not sent again: upstreams crashed under its body or a part");
        } else if crashes + explained > 0 && self.log.admits(LineKind::Belief, now) {
            tracing::info!(request = %id, %body, crashes, explained,
                "call may be sent again: too few crashes count");
        }
        cause
    }

    fn forbids_resend(&self, call: &CallAttributes) -> Option<CallAttribute> {
        let now = self.timer.now();
        let crashes = &self.state.lock().crashes;
        if crashes.forbids_resend(call.body, now) {
            return Some(CallAttribute::Body(call.body));
        }
        let blocked = crashes.blocked_part(call, now)?;
        Some(CallAttribute::Part(blocked.part.clone()))
    }

    /// Waits until a call must not be sent again, and returns why. A call that waits in an upstream is then withdrawn
    /// before it runs and crashes that upstream, too.
    pub(crate) async fn resend_forbidden(&self, call: &CallAttributes) -> CallAttribute {
        let mut refusals = self.state.lock().refusals.subscribe();
        loop {
            if let Some(cause) = self.forbids_resend(call) {
                return cause;
            }
            if refusals.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Records that a run of a call was lost, and that its upstream may have crashed.
    pub(crate) fn run_of_call_lost(
        &self,
        entry: &UpstreamEntry,
        call: &Arc<CallAttributes>,
        progress: RunProgress,
        proof: CrashProof,
    ) {
        let run = LostRun {
            call: call.clone(),
            upstream: entry.id.clone(),
            at: self.timer.now(),
            progress,
            proof,
        };
        let attributed = self.state.lock().record_lost_run(run);
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
    pub(crate) fn record_delivery(&self, call: &CallAttributes) {
        let mut state = self.state.lock();
        state.crashes.record_complete_response(call.body);
    }

    /// Records that a run that began to produce events at `began` got past its beginning.
    pub(crate) fn record_clean_run(&self, call: &CallAttributes, began: Instant) {
        if call.parts.is_empty() {
            return;
        }
        let now = self.timer.now();
        self.state.lock().record_clean_run(call, began, now);
    }

    /// Applies crashes under parts of prompts that another VM reports.
    pub fn receive_crashes(&self, report: CrashReport) {
        if report.vm == self.settings.vm {
            return;
        }
        let now = self.timer.now();
        let crashes = report.parts.into_iter().map(|crash| crash.received(now));
        let mut state = self.state.lock();
        let new = state.apply_reported_crashes(crashes, now);
        drop(state);
        if new > 0 {
            tracing::debug!(new, vm = %report.vm, "crashes under parts reported by another VM");
        }
    }
}
