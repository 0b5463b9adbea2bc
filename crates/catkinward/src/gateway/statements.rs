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
        if let Some(load) = statement.load {
            let now = self.timer.now();
            let mut state = self.state.lock();
            state.upstream(entry, now).load.record_report(load, now);
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
        self.log_leaving(gate, statement);
    }

    fn log_leaving(&self, gate: &UpstreamGate, statement: &UpstreamStatement) {
        let now = self.timer.now();
        if !statement.leaving || !self.log.admits(LineKind::Belief, now) {
            return;
        }
        let kind: &str = gate.kind.into();
        tracing::info!(upstream = %gate.entry.id, status = statement.status, kind,
            answer_to = gate.call.as_ref().map(tracing::field::display),
            through = gate.path.through().map(tracing::field::display),
            "upstream states that it is leaving");
    }
}
