//! Sends orders to engines and reads their states over HTTP.

use super::*;
use crate::http_client::{HttpError, json_bytes};
use catkin_decisions::{EngineReport, EngineState, OrderPermit};

/// Timeout for reading an engine's state.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);

/// Reason that an order may have had no effect.
#[derive(Debug, Display, StdError, From, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum OrderError {
    /// The engine did not respond in time.
    #[display("{_0}")]
    Call(HttpError),
    /// The engine refused the order.
    #[display("the engine refused: {_0}")]
    #[from(skip)]
    Refused(#[error(not(source))] engine::EngineRefusalKind),
    /// The engine has seen a larger term.
    #[display("the engine has seen term {_0}")]
    #[from(skip)]
    StaleTerm(#[error(not(source))] Term),
    /// The engine's refusal cannot be parsed.
    #[display("the engine's refusal cannot be read")]
    #[from(skip)]
    Form,
}

/// Client that sends orders to engines.
pub(crate) struct EngineOrders {
    connections: Arc<Connections>,
    timer: Arc<Timer>,
    vm: VmId,
}

impl EngineOrders {
    pub(crate) fn new(connections: Arc<Connections>, timer: Arc<Timer>, vm: VmId) -> Self {
        Self {
            connections,
            timer,
            vm,
        }
    }

    /// Reads the state of an engine; `None` if it does not respond.
    pub(crate) async fn report(&self, upstream: &Upstream) -> Option<(UpstreamId, EngineReport)> {
        let at = self.timer.now();
        let call = HttpCall {
            address: upstream.address,
            path: "/v1/load".to_owned(),
            timeout: REPORT_TIMEOUT,
            ..HttpCall::default()
        };
        let load: engine::UpstreamLoad = self.connections.call_json(call).await.ok()?;
        Some((upstream.id.clone(), engine_report(at, load)))
    }

    /// Sends an order. It consumes the permit, which is valid for a single order.
    pub(crate) async fn send_order(
        &self,
        upstream: &Upstream,
        permit: OrderPermit,
        state: &EngineState,
    ) -> Result<(), OrderError> {
        let order = engine::EngineOrder {
            holder: self.vm.to_string(),
            models: state.models.iter().map(to_loaded_model).collect(),
            role: engine::EngineRole::Serve,
            term: permit.term().0,
        };
        let call = HttpCall {
            address: upstream.address,
            method: Method::POST,
            path: "/v1/orders".to_owned(),
            body: json_bytes(&order),
            timeout: permit.deadline().since(self.timer.now()),
            new_connection: true,
            ..HttpCall::default()
        };
        let (status, body) = self.connections.call_complete(call).await?;
        if status.is_success() {
            return Ok(());
        }
        let refusal = serde_json::from_slice::<engine::EngineRefusal>(&body);
        let refusal = refusal.map_err(|_| OrderError::Form)?;
        Err(match (refusal.kind, refusal.highest_term) {
            (engine::EngineRefusalKind::StaleTerm, Some(term)) => OrderError::StaleTerm(Term(term)),
            (kind, _) => OrderError::Refused(kind),
        })
    }
}

fn engine_report(at: Instant, load: engine::UpstreamLoad) -> EngineReport {
    let mut loaded = load
        .models
        .iter()
        // An engine that does not report its number of streams may be running some.
        .map(|entry| (to_model(entry), entry.streams.unwrap_or(1)))
        .collect::<Vec<_>>();
    loaded.sort();
    let loading = load.loading.map(|list| {
        let mut models = list.models.iter().map(to_model).collect::<Vec<_>>();
        models.sort();
        models
    });
    EngineReport {
        requested_at: at,
        loaded,
        loading,
        serves: load.role.unwrap_or(engine::EngineRole::Serve) == engine::EngineRole::Serve,
        highest_term: Term(load.highest_term.unwrap_or(0)),
    }
}

fn to_model(entry: &engine::LoadedModel) -> Model {
    Model {
        name: entry.model.as_str().into(),
        version: entry.version.as_str().into(),
        adapter: entry.adapter.as_deref().map(Into::into),
    }
}

fn to_loaded_model(model: &Model) -> engine::LoadedModel {
    engine::LoadedModel {
        adapter: model.adapter.as_deref().map(ToOwned::to_owned),
        model: model.name.to_string(),
        streams: None,
        version: model.version.to_string(),
    }
}
