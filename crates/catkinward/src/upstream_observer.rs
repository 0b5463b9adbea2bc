use super::*;
use crate::{
    http_client::HttpError,
    upstream_state::{UpstreamState, read_report},
};

/// Timeout of a poll for a load report.
const POLL_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout of the probe that determines whether an upstream process has crashed.
const CRASH_PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum number of pending advertisements of leaving upstreams.
const MAX_PENDING_LEAVING: usize = 255;

/// Maximum number of leaving upstreams in one message: about 512 bytes.
const MAX_LEAVING_PER_MESSAGE: usize = 12;

/// Number of messages that advertise each leaving upstream; the same as for poison records.
const MESSAGES_PER_LEAVING: u32 = 8;

/// Records what requests and polls reveal about upstreams, and collects it for peers.
pub(crate) struct UpstreamObserver {
    pub(crate) timer: Arc<Timer>,
    pub(crate) connections: Arc<Connections>,
    timeline: Arc<Timeline>,
    pub(crate) poison: Mutex<PoisonTracker>,
    /// Notified when there is an update for peers.
    pub(crate) updated: Notify,
    /// Processes that started leaving recently, each with the number of messages that advertised it.
    pending_leaving: Mutex<Vec<(UpstreamId, Incarnation, u32)>>,
}

impl UpstreamObserver {
    pub(crate) fn new(
        timer: &Arc<Timer>,
        connections: &Arc<Connections>,
        timeline: &Arc<Timeline>,
    ) -> Self {
        Self {
            timer: timer.clone(),
            connections: connections.clone(),
            timeline: timeline.clone(),
            poison: Mutex::new(PoisonTracker::new(u64::from(rand::random::<u32>()) << 31)),
            updated: Notify::new(),
            pending_leaving: Mutex::default(),
        }
    }

    /// Returns processes that started leaving recently, for a message to a peer, sorted. Prefers those
    /// that have been advertised least often.
    pub(crate) fn leaving_deltas(&self) -> Vec<(UpstreamId, Incarnation)> {
        let mut pending_leaving = self.pending_leaving.lock();
        pending_leaving.sort_by_key(|(_, _, times_sent)| *times_sent);
        let mut selected = pending_leaving
            .iter_mut()
            .take(MAX_LEAVING_PER_MESSAGE)
            .map(|(id, incarnation, times_sent)| {
                *times_sent += 1;
                (id.clone(), *incarnation)
            })
            .collect::<Vec<_>>();
        pending_leaving.retain(|(_, _, times_sent)| *times_sent < MESSAGES_PER_LEAVING);
        selected.sort();
        selected
    }

    /// Records a load report. The first report of a new process proves that the previous process has
    /// ended.
    pub(crate) fn record_report(
        &self,
        state: &UpstreamState,
        requested: PendingReport,
        report: UpstreamReport,
    ) {
        let (incarnation, leaving) = (report.incarnation, report.leaving);
        if leaving {
            self.record_leaving(state, incarnation, LeavingSource::Report);
        }
        let previous = state.record.lock().record_report(requested, report);
        if let Some(previous) = previous {
            self.record_crash(state, previous);
        }
    }

    pub(crate) fn record_leaving(
        &self,
        state: &UpstreamState,
        incarnation: Incarnation,
        source: LeavingSource,
    ) {
        let evidence = &mut state.record.lock().evidence;
        if evidence.record_leaving(incarnation, source) {
            tracing::info!(upstream = %state.entry.id, %source, "upstream is leaving");
            self.timeline.record(Event {
                upstream: Some(state.entry.id.clone()),
                detail: Some(source.to_string().into()),
                ..Event::new(EventKind::UpstreamLeaving)
            });
            let mut pending_leaving = self.pending_leaving.lock();
            pending_leaving.truncate(MAX_PENDING_LEAVING);
            pending_leaving.push((state.entry.id.clone(), incarnation, 0));
            self.updated.notify_one();
        }
    }

    /// Records that a process of an upstream has crashed, with the requests that were running on it.
    pub(crate) fn record_crash(&self, state: &UpstreamState, incarnation: Incarnation) {
        state.record.lock().evidence.record_ended(incarnation);
        let now = self.timer.now();
        let crash_records = self
            .poison
            .lock()
            .upstream_crashed(&state.entry.id, incarnation, now);
        self.updated.notify_one();
        let upstream = &state.entry.id;
        tracing::warn!(%upstream, incarnation = incarnation.0, under = crash_records.len(),
            "upstream died");
        for crash_record in crash_records {
            tracing::info!(%upstream, body = %crash_record.digest, death = %crash_record.crash,
                "request is a suspect: upstream died under it");
        }
    }

    /// Probes an upstream to determine whether the process `incarnation` is still alive. Returns
    /// whether it has certainly ended.
    pub(crate) async fn probe(&self, state: &UpstreamState, incarnation: Incarnation) -> bool {
        let requested = state.record.lock().report_requested(self.timer.now());
        let load = self
            .connections
            .call_json(liveness_probe(state.entry.address))
            .await;
        match load {
            Ok(load) => {
                let report = read_report(load);
                let is_alive = report.incarnation == incarnation;
                tracing::info!(upstream = %state.entry.id, is_alive, "crash probe answered");
                self.record_report(state, requested, report);
                if !is_alive {
                    self.record_crash(state, incarnation);
                }
                !is_alive
            }
            Err(HttpError::Call { source, .. }) if !is_unreachable(&source) => {
                self.record_crash(state, incarnation);
                true
            }
            Err(error) => {
                tracing::info!(upstream = %state.entry.id, fault = %error,
                    "cannot determine whether the upstream crashed");
                false
            }
        }
    }

    /// Polls an upstream for its load, after a random delay of up to `jitter`.
    pub(crate) async fn poll(&self, state: &UpstreamState, jitter: Duration) {
        tokio::time::sleep(jitter.mul_f64(rand::random())).await;
        let requested = state.record.lock().report_requested(self.timer.now());
        let call = HttpCall {
            address: state.entry.address,
            path: "/v1/load".to_owned(),
            timeout: POLL_TIMEOUT,
            new_connection: state.poll_fresh.load(Ordering::Relaxed),
            ..HttpCall::default()
        };
        let reply = self.connections.call_json(call).await;
        state.poll_fresh.store(reply.is_err(), Ordering::Relaxed);
        match reply {
            Ok(load) => self.record_report(state, requested, read_report(load)),
            Err(error) => {
                tracing::debug!(upstream = %state.entry.id, fault = %error,
                    "upstream did not send a load report");
                // Select other upstreams for new work immediately, not only once the last report has
                // become stale.
                if matches!(error, http_client::HttpError::Call { .. }) {
                    let now = self.timer.now();
                    state.record.lock().record_failure(now);
                    let open = self.poison.lock().open_process(&state.entry.id, now);
                    if let Some(incarnation) = open {
                        self.probe(state, incarnation).await;
                    }
                }
            }
        }
    }
}

/// Returns the call that probes whether an upstream is alive.
pub(crate) fn liveness_probe(address: SocketAddr) -> HttpCall {
    HttpCall {
        address,
        path: "/v1/load".to_owned(),
        timeout: CRASH_PROBE_TIMEOUT,
        new_connection: true,
        ..HttpCall::default()
    }
}

/// Returns whether the error shows a failure of the network rather than of the upstream.
fn is_unreachable(error: &(dyn std::error::Error + 'static)) -> bool {
    matches!(
        io_kind(error),
        Some(
            io::ErrorKind::HostUnreachable
                | io::ErrorKind::NetworkUnreachable
                | io::ErrorKind::NetworkDown
                | io::ErrorKind::TimedOut
        )
    )
}

fn io_kind(error: &(dyn std::error::Error + 'static)) -> Option<io::ErrorKind> {
    std::iter::successors(Some(error), |error| error.source())
        .find_map(|error| error.downcast_ref::<io::Error>())
        .map(io::Error::kind)
}
