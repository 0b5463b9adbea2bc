//! Applies what upstreams state about themselves in their responses.

use super::{accepted_call::AcceptedCall, upstream_gate::UpstreamGate, *};

impl Gateway {
    /// Gate of a send of a call to an upstream.
    pub(crate) fn gate_for_call(
        self: &Arc<Self>,
        accepted: &AcceptedCall,
        entry: &Arc<UpstreamEntry>,
        path: SendPath,
    ) -> UpstreamGate {
        UpstreamGate {
            path,
            call: Some(accepted.call.id.clone()),
            ..self.gate(entry, UpstreamRequestKind::Call)
        }
    }

    /// Gate of a request to an upstream over the own path.
    pub(crate) fn gate(
        self: &Arc<Self>,
        entry: &Arc<UpstreamEntry>,
        kind: UpstreamRequestKind,
    ) -> UpstreamGate {
        UpstreamGate {
            gateway: self.clone(),
            entry: entry.clone(),
            kind,
            path: SendPath::Direct,
            call: None,
        }
    }

    /// Whether the request of a gate may be written now.
    pub(crate) fn may_send(&self, gate: &UpstreamGate) -> bool {
        let now = self.timer.now();
        let mut state = self.state.lock();
        let upstream = state.existing_upstream(&gate.entry.id);
        let has_calls = upstream.is_some_and(|upstream| upstream.health.in_flight() > 0);
        let backs_off = state.back_offs.is_in_force(&gate.entry.id, now);
        let usable = state.directory.get_usable(&gate.entry.id, now).is_some();
        drop(state);
        let reason = if backs_off && !gate.kind.overrides_back_off(has_calls) {
            "back_off"
        } else if gate.kind == UpstreamRequestKind::Call && !usable {
            "not_present"
        } else {
            return true;
        };
        let kind: &str = gate.kind.into();
        metrics::counter!("catkin_withheld_requests_total", "kind" => kind).increment(1);
        if self.log.admits(LineKind::Limited, now) {
            tracing::info!(request = gate.call.as_ref().map(tracing::field::display),
                upstream = %gate.entry.id, kind, reason, "request withheld");
        }
        false
    }

    /// Applies a statement of an upstream to the process that it is about, if that is known.
    pub(crate) fn apply_statement(&self, gate: &UpstreamGate, statement: &UpstreamStatement) {
        match statement.subject(&gate.entry.id.id) {
            StatementSubject::Expected => self.apply_to_subject(gate, statement),
            StatementSubject::Other(id) => {
                let now = self.timer.now();
                let state = self.state.lock();
                let entry = state.directory.find_usable(id, now).cloned();
                drop(state);
                if let Some(entry) = entry {
                    let gate = UpstreamGate {
                        entry,
                        ..gate.clone()
                    };
                    self.apply_to_subject(&gate, statement);
                }
            }
            StatementSubject::Unknown => {}
        }
    }

    fn apply_to_subject(&self, gate: &UpstreamGate, statement: &UpstreamStatement) {
        let entry = &gate.entry;
        if statement.load.is_some() || !statement.room.is_empty() {
            let now = self.timer.now();
            let mut state = self.state.lock();
            let upstream = state.upstream(entry, now);
            let unreadable = upstream.record_report(statement.load, statement.room, now);
            drop(state);
            self.report_received(entry, unreadable);
        }
        // What a response to a call leaves out no longer holds; another one says nothing by it.
        if statement.kind != ResponseKind::Other {
            let rejected = statement.kind == ResponseKind::Rejection;
            self.limit_stated(entry, statement.limit);
            self.brittleness_stated(entry, statement.bearable_rejections, rejected);
        }
        match statement.back_off {
            Some(Ok(asked)) => self.back_off_stated(gate, asked, statement.status),
            Some(Err(error)) => {
                tracing::warn!(upstream = %entry.id, %error, "back-off of an upstream cannot be read");
            }
            None => {}
        }
        if statement.leaving {
            self.leaving_stated(gate, statement.status);
        }
    }

    /// Handles a report of an upstream after it was recorded; `unreadable` is a figure that cannot be read, once for
    /// each process of an upstream.
    pub(crate) fn report_received(&self, entry: &UpstreamEntry, unreadable: Option<ReportFigure>) {
        if let Some(figure) = unreadable {
            let figure: &str = figure.into();
            tracing::warn!(upstream = %entry.id, figure, "figure in an upstream's report cannot be read");
        }
        self.room_may_have_changed();
    }

    /// Records that an upstream is leaving, and sends that to the other VMs that may use it: the store may not say so,
    /// and those that open connections for this VM do not read the responses.
    fn leaving_stated(&self, gate: &UpstreamGate, status: u16) {
        let (now, id) = (self.timer.now(), &gate.entry.id);
        let mut state = self.state.lock();
        let Some(change) = state.directory.record_leaving(id) else {
            return;
        };
        let zone = &self.settings.zone;
        let mut receivers = state.peers.dispatch_receivers(&gate.entry, zone, now);
        drop(state);
        receivers.extend(gate.path.through());
        receivers.sort_unstable();
        receivers.dedup();
        if self.log.admits(LineKind::Belief, now) {
            let kind: &str = gate.kind.into();
            tracing::info!(upstream = %id, status, kind,
                answer_to = gate.call.as_ref().map(tracing::field::display),
                path = gate.path.through().map(tracing::field::display),
                receivers = receivers.len(), "upstream states that it is leaving");
        }
        self.presence_changed(&[change]);
        let statement = PeerStatement {
            upstream: id.clone(),
            back_off_ms: None,
            leaving: true,
        };
        self.outbox
            .send_to_all(receivers, PeerDatagram::Statement(statement));
    }

    /// Applies what an upstream stated to another VM.
    pub(crate) fn receive_statement(&self, statement: &PeerStatement, from: SocketAddr) {
        let PeerStatement { upstream, .. } = statement;
        if let Some(back_off_ms) = statement.back_off_ms {
            self.back_off_received(upstream, back_off_ms, from);
        }
        if !statement.leaving {
            return;
        }
        let change = self.state.lock().directory.record_leaving(upstream);
        if change.is_some() && self.log.admits(LineKind::Belief, self.timer.now()) {
            tracing::info!(%upstream, %from,
                "upstream states that it is leaving, to another VM");
        }
        self.presence_changed(change.as_slice());
    }
}
