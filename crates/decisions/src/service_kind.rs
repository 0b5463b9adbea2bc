use super::*;

/// Kind of a service with the settings that only this kind has.
#[derive(Clone, Debug, PartialEq)]
pub enum ServiceKind {
    /// A service that generates tokens with a model.
    Generation {
        /// Model that the engines must have loaded.
        model: Model,
        /// Trade-off between the shortest wait and the least repeated work after a lost upstream.
        recovery: RecoveryPolicy,
    },
    /// A service with ordinary request/response calls.
    Plain {
        /// Rules for which calls are idempotent; a call that matches no rule is not.
        paths: Vec<PathRule>,
    },
}

impl ServiceKind {
    /// Returns whether a call of a plain service is idempotent, by the matching rule with the longest
    /// prefix.
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
