use super::*;
use crate::{
    http_client::HttpError,
    upstream_state::{UpstreamState, read_report},
};

/// Bound of a call for a load report.
const POLL_BOUND: Duration = Duration::from_millis(400);

/// Bound of the call that finds out whether an upstream died.
const DEATH_PROBE_BOUND: Duration = Duration::from_millis(300);

/// Words of leaving kept for peers.
const MOST_UNTOLD: usize = 255;

/// Words of leaving told to a peer at a time: about half a kilobyte.
const MOST_TOLD: usize = 12;

/// How often each is told, as marks of poison are.
const TELLINGS: u32 = 8;

/// What requests and polls tell of upstreams.
pub(crate) struct UpstreamObserver {
    pub(crate) timer: Arc<Timer>,
    pub(crate) connections: Arc<Connections>,
    timeline: Arc<Timeline>,
    pub(crate) poison: Mutex<PoisonTracker>,
    /// Rings when there is something new for peers.
    pub(crate) news: Notify,
    /// Processes lately known to be leaving, and how often peers were told.
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

    /// Processes lately known to be leaving, for a peer, sorted.
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

    /// Takes a load report; the first one of another process proves the former's death.
    pub(crate) fn reported(
        &self,
        state: &UpstreamState,
        asked: PendingReport,
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

    /// Notes that a process of an upstream died, under whatever runs there.
    pub(crate) fn died(&self, state: &UpstreamState, incarnation: Incarnation) {
        state.record.lock().evidence.record_ended(incarnation);
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

    /// Asks an upstream whether a process of it lives.
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

    /// Asks an upstream for its load, after a random part of `jitter`.
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
                // New work goes elsewhere at once, and not only when its last word is too old.
                if matches!(fault, http_client::HttpError::Call { .. }) {
                    state.record.lock().record_failure(self.timer.now());
                }
            }
        }
    }
}

/// A call that asks an upstream whether it lives.
pub(crate) fn load_call(address: SocketAddr) -> HttpCall {
    HttpCall {
        address,
        path: "/v1/load".to_owned(),
        bound: DEATH_PROBE_BOUND,
        fresh: true,
        ..HttpCall::default()
    }
}

/// Whether the network, not the upstream, is to blame.
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
