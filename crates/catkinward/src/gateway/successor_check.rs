use super::*;

/// Health check of the upstream of a successor, which starts with the send and takes the same path.
pub(super) struct SuccessorCheck {
    answer: BoxFuture<'static, bool>,
    ended: bool,
    answered: bool,
}

impl SuccessorCheck {
    pub(super) fn start(
        gateway: &Arc<Gateway>,
        entry: &Arc<UpstreamEntry>,
        path: SendPath,
    ) -> Self {
        let (gateway, entry) = (gateway.clone(), entry.clone());
        let probe = HealthProbe {
            entry: entry.clone(),
            engine: path.is_direct()
                && gateway
                    .config()
                    .is_some_and(|c| c.service(&entry.service).is_some_and(|s| s.engine)),
            path,
            gate: gateway.gate(&entry, UpstreamRequestKind::HealthCheck),
        };
        let answer = async move {
            let Ok(report) = (gateway.transport.probe)(probe).await else {
                return false;
            };
            if entry.id.is_before(report.born) {
                return false;
            }
            if path.is_direct() {
                gateway.health_check_passed(&entry, &report);
            }
            true
        };
        Self {
            answer: Box::pin(answer),
            ended: false,
            answered: false,
        }
    }

    /// Whether the upstream has answered the check.
    pub(super) fn has_answered(&self) -> bool {
        self.answered
    }

    /// Waits until the upstream answers the check, once.
    pub(super) async fn wait(&mut self) {
        if !self.ended {
            self.answered = (&mut self.answer).await;
            self.ended = true;
            if self.answered {
                return;
            }
        }
        std::future::pending::<()>().await;
    }
}
