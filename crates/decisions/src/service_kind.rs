use super::*;

/// Kind of a service.
#[derive(Clone, Debug, PartialEq)]
pub enum ServiceKind {
    /// Generations by a model.
    Generation {
        /// The model that answers.
        model: Model,
        /// Where it stands between least wait and least work.
        recovery: RecoveryPolicy,
    },
    /// Ordinary calls.
    Plain {
        /// Which calls may be repeated; what no rule names may not.
        paths: Vec<PathRule>,
    },
}

impl ServiceKind {
    /// Whether a call of a plain service may be repeated: the rule with the longest prefix decides.
    #[must_use]
    pub fn idempotent(&self, method: &str, path: &str) -> bool {
        let Self::Plain { paths } = self else {
            return false;
        };
        paths
            .iter()
            .filter(|rule| *rule.method == *method && path.starts_with(&*rule.prefix))
            .max_by_key(|rule| rule.prefix.len())
            .is_some_and(|rule| rule.idempotent)
    }
}
