use super::*;
use crate::{
    http_client::HttpError,
    upstream_state::{UpstreamState, read_report},
};

/// Timeout of a poll for a load report.
const POLL_BOUND: Duration = Duration::from_millis(400);

/// Timeout of the probe that determines whether an upstream process has crashed.
const DEATH_PROBE_BOUND: Duration = Duration::from_millis(300);

/// Maximum number of pending advertisements of leaving upstreams.
const MOST_UNTOLD: usize = 255;

/// Maximum number of leaving upstreams in one message: about 512 bytes.
const MOST_TOLD: usize = 12;

/// Number of messages that advertise each leaving upstream; the same as for poison records.
const TELLINGS: u32 = 8;

/// Records what requests and polls reveal about upstreams, and collects it for peers.
pub(crate) struct UpstreamObserver {
    pub(crate) timer: Arc<Timer>,
    pub(crate) connections: Arc<Connections>,
    timeline: Arc<Timeline>,
    pub(crate) poison: Mutex<PoisonTracker>,
    /// Notified when there is an update for peers.
    pub(crate) news: Notify,
    /// Processes that started leaving recently, each with the number of messages that advertised it.
    untold: Mutex<Vec<(UpstreamId, Incarnation, u32)>>,
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
            poison: Mutex::default(),
            news: Notify::new(),
            untold: Mutex::default(),
        }
    }

    /// Returns processes that started leaving recently, for a message to a peer, sorted. Prefers those
    /// that have been advertised least often.
    pub(crate) fn tell_leaving(&self) -> Vec<(UpstreamId, Incarnation)> {
        let mut untold = self.untold.lock();
        untold.sort_by_key(|(_, _, told)| *told);
        let mut news = untold
            .iter_mut()
            .take(MOST_TOLD)
            .map(|(id, incarnation, told)| {
                *told += 1;
                (id.clone(), *incarnation)
            })
            .collect::<Vec<_>>();
        untold.retain(|(_, _, told)| *told < TELLINGS);
        news.sort();
        news
    }

    /// Records a load report. The first report of a new process proves that the previous process has
    /// ended.
    pub(crate) fn reported(
        &self,
        state: &UpstreamState,
        asked: AskedReport,
        report: UpstreamReport,
    ) {
        let (incarnation, leaving) = (report.incarnation, report.leaving);
        if leaving {
            self.note_leaving(state, incarnation, LeavingSource::Report);
        }
        let former = state.record.lock().record_report(asked, report);
        if let Some(former) = former {
            self.died(state, former);
        }
    }

    pub(crate) fn note_leaving(
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
            let mut untold = self.untold.lock();
            untold.truncate(MOST_UNTOLD);
            untold.push((state.entry.id.clone(), incarnation, 0));
            self.news.notify_one();
        }
    }

    /// Records that a process of an upstream has crashed, with the requests that were running on it.
    pub(crate) fn died(&self, state: &UpstreamState, incarnation: Incarnation) {
        state.record.lock().evidence.record_gone(incarnation);
        let now = self.timer.now();
        let marks = self
            .poison
            .lock()
            .upstream_crashed(&state.entry.id, incarnation, now);
        self.news.notify_one();
        let upstream = &state.entry.id;
        tracing::warn!(%upstream, incarnation = incarnation.0, under = marks.len(), "upstream died");
        for mark in marks {
            tracing::info!(%upstream, body = %mark.digest, death = %mark.crash,
                "request is a suspect: upstream died under it");
        }
    }

    /// Probes an upstream to determine whether the process `incarnation` is still alive.
    pub(crate) async fn find_out(&self, state: &UpstreamState, incarnation: Incarnation) {
        let asked = state.record.lock().report_requested(self.timer.now());
        let load = self
            .connections
            .call_json(load_call(state.entry.address))
            .await;
        match load {
            Ok(load) => {
                let report = read_report(load);
                let lives = report.incarnation == incarnation;
                self.reported(state, asked, report);
                if !lives {
                    self.died(state, incarnation);
                }
            }
            Err(HttpError::Call { source, .. }) if !is_unreachable(&source) => {
                self.died(state, incarnation);
            }
            Err(fault) => {
                tracing::debug!(upstream = %state.entry.id, %fault, "no proof of a death");
            }
        }
    }

    /// Polls an upstream for its load, after a random delay of up to `jitter`.
    pub(crate) async fn poll(&self, state: &UpstreamState, jitter: Duration) {
        tokio::time::sleep(jitter.mul_f64(rand::random())).await;
        let asked = state.record.lock().report_requested(self.timer.now());
        let call = HttpCall {
            address: state.entry.address,
            path: "/v1/load".to_owned(),
            bound: POLL_BOUND,
            fresh: state.poll_fresh.load(Ordering::Relaxed),
            ..HttpCall::default()
        };
        let reply = self.connections.call_json(call).await;
        state.poll_fresh.store(reply.is_err(), Ordering::Relaxed);
        match reply {
            Ok(load) => self.reported(state, asked, read_report(load)),
            Err(fault) => {
                tracing::debug!(upstream = %state.entry.id, %fault, "no load report");
                // Select other upstreams for new work immediately, not only once the last report has
                // become stale.
                if matches!(fault, http_client::HttpError::Call { .. }) {
                    state.record.lock().record_failure(self.timer.now());
                }
            }
        }
    }
}

/// Returns the call that probes whether an upstream is alive.
pub(crate) fn load_call(address: SocketAddr) -> HttpCall {
    HttpCall {
        address,
        path: "/v1/load".to_owned(),
        bound: DEATH_PROBE_BOUND,
        fresh: true,
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
