//! Paths to upstreams through other VMs, and connections that this VM opens for others.

use super::*;

/// Connections for a call that could not be opened.
#[derive(Debug, Default)]
pub(crate) struct UnopenedConnections {
    /// Whether there was one of this VM.
    pub(crate) direct: bool,
    /// VMs through which there was one.
    pub(crate) through: Vec<SocketAddr>,
}

impl Gateway {
    /// Path of the next send of a call to an upstream.
    pub(crate) fn path_to(
        &self,
        entry: &UpstreamEntry,
        unopened: &UnopenedConnections,
    ) -> SendPath {
        let now = self.timer.now();
        let state = self.state.lock();
        let suspect = state.is_suspect(&entry.id);
        if !suspect && !unopened.direct {
            return SendPath::Direct;
        }
        let cx = PathContext {
            suspect,
            reach: state.service_reaches(now).of(&entry.service),
            was_unreachable: unopened.direct,
        };
        let zone = &self.settings.zone;
        let mut others = state
            .peers
            .paths_to(&entry.service, zone, rand::random(), now);
        drop(state);
        others.retain(|other| !unopened.through.contains(other));
        let path = choose_path(cx, &others);
        if !path.is_direct() {
            metrics::counter!("catkin_sent_through_others_total").increment(1);
        }
        path
    }

    /// Permits a connection to an upstream for another VM, until the permit is dropped; `None` if this VM shuts
    /// down, holds too many, does not reach the upstream or does not know it.
    pub fn permit_connection(self: &Arc<Self>, upstream: &UpstreamId) -> Option<ConnectionPermit> {
        let now = self.timer.now();
        let in_flight = self.drain.enter();
        let open = self.connections_for_others.fetch_add(1, Ordering::Relaxed);
        let count = OpenForOther(self.clone());
        let mut refusal = None;
        if in_flight.is_none() || self.drain.has_begun() {
            refusal = Some("shutting_down");
        } else if open >= MAX_CONNECTIONS_FOR_OTHERS {
            refusal = Some("too_many");
        }
        let state = self.state.lock();
        let entry = state.directory.find_usable(upstream, now).cloned();
        match &entry {
            None => refusal = refusal.or(Some("unknown_upstream")),
            Some(entry) if state.is_suspect(&entry.id) => {
                refusal = refusal.or(Some("suspect_upstream"));
            }
            Some(entry) if state.back_offs.is_in_force(&entry.id, now) => {
                refusal = refusal.or(Some("back_off"));
            }
            Some(_) => {}
        }
        drop(state);
        if self.log.admits(LineKind::Sent, now) {
            tracing::info!(%upstream, open, refusal = refusal.unwrap_or("none"),
                "connection for another VM");
        }
        let (entry, in_flight) = (entry?, in_flight?);
        refusal.is_none().then(|| ConnectionPermit {
            address: entry.address,
            upstream: entry.id.clone(),
            _in_flight: in_flight,
            count,
        })
    }
}

/// Permits one connection to an upstream for another VM.
pub struct ConnectionPermit {
    /// Address of the upstream.
    pub address: SocketAddr,
    upstream: UpstreamIncarnation,
    _in_flight: InFlight,
    count: OpenForOther,
}

impl ConnectionPermit {
    /// Records how the connection has ended.
    pub fn record_end(self, end: ConnectionEnd) {
        let OpenForOther(gateway) = &self.count;
        let end: &str = end.into();
        metrics::counter!("catkin_connections_for_others_total", "end" => end).increment(1);
        if gateway.log.admits(LineKind::Sent, gateway.timer.now()) {
            tracing::info!(upstream = %self.upstream, end, "connection for another VM ended");
        }
    }
}

/// How a connection to an upstream for another VM ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ConnectionEnd {
    /// The other VM closed its end, after the upstream's response or before it, or cannot be written to.
    RequesterClosed,
    /// The connection to the upstream was reset or failed.
    UpstreamFailed,
}

/// Counts a connection for another VM until it is dropped.
struct OpenForOther(Arc<Gateway>);

impl Drop for OpenForOther {
    fn drop(&mut self) {
        self.0
            .connections_for_others
            .fetch_sub(1, Ordering::Relaxed);
    }
}
