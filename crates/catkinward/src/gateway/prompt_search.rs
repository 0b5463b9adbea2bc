//! Queries engines for cached prompts when a caller reconnects.

use super::{accepted_call::AcceptedCall, *};

impl Gateway {
    /// Cached tokens of a call's prompt by engine, sorted by engine. Engines are queried only for
    /// callers that reconnect: no engine has processed the prompt of any other caller yet.
    pub(crate) async fn search_prompt(
        self: &Arc<Self>,
        accepted: &AcceptedCall,
    ) -> Vec<(UpstreamIncarnation, u32)> {
        let Some(prompt) = &accepted.call.prompt else {
            return Vec::new();
        };
        if !accepted.is_reconnect() || prompt.parts.is_empty() {
            return Vec::new();
        }
        // Concurrent reconnecting callers wait for the same replies.
        let prompt_search_lock = self.prompt_search_lock.lock().await;
        let due = self.engines_to_query(&accepted.service);
        let asked = due.len();
        let replies =
            futures::future::join_all(due.into_iter().map(|engine| self.query_cached(engine)));
        let answered = replies
            .await
            .into_iter()
            .filter(|answered| *answered)
            .count();
        drop(prompt_search_lock);
        let now = self.timer.now();
        let holders = self.state.lock().cached.holders(&prompt.parts, now);
        let best = holders.iter().map(|(_, tokens)| *tokens).max().unwrap_or(0);
        tracing::info!(request = %accepted.call.id, asked, answered, holders = holders.len(),
            tokens = best, "engines queried for a cached prompt");
        holders
    }

    fn engines_to_query(&self, service: &ServiceId) -> Vec<Arc<UpstreamEntry>> {
        let now = self.timer.now();
        let state = self.state.lock();
        let is_engine = state
            .config
            .get()
            .and_then(|config| config.service(service).map(|spec| spec.engine));
        if is_engine != Some(true) {
            return Vec::new();
        }
        let mut engines = state
            .directory
            .usable(service, now)
            .cloned()
            .collect::<Vec<_>>();
        engines.retain(|engine| {
            !state.is_suspect(&engine.id) && !state.back_offs.is_in_force(&engine.id, now)
        });
        engines.sort_by_key(|engine| engine.zone != self.settings.zone);
        engines.truncate(state.cached.max_queries(self.settings.link));
        engines.retain(|engine| state.cached.needs_query(&engine.id, now));
        engines
    }

    async fn query_cached(self: &Arc<Self>, engine: Arc<UpstreamEntry>) -> bool {
        let gate = self.gate(&engine, UpstreamRequestKind::CacheQuery);
        let query = (self.transport.cached)(engine.clone(), gate);
        let now = self.timer.now();
        match tokio::time::timeout(PROMPT_SEARCH_TIMEOUT, query).await {
            Ok(Ok(parts)) => {
                self.state
                    .lock()
                    .cached
                    .record_report(&engine.id, parts, now);
                true
            }
            Ok(Err(fault)) => {
                tracing::debug!(upstream = %engine.id, fault = fault.name(), "query for cached prompts failed");
                false
            }
            Err(_) => false,
        }
    }
}
