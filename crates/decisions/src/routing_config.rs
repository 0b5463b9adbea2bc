use super::*;

/// A routing configuration that was signed off elsewhere: one version, taken whole.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingConfig {
    /// Its version.
    pub version: ConfigVersion,
    /// Size of its encoded form, in bytes.
    pub bytes: usize,
    /// Its routes.
    pub routes: RouteTable,
    /// Its services, sorted by name.
    pub services: Vec<ServiceSpec>,
    /// What callers may send.
    pub limits: CallerLimits,
    /// Keys of callers, sorted by key; `None` if no key is asked for.
    pub keys: Option<Vec<CallerKey>>,
}

/// What a configuration says of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Its name.
    pub name: ServiceId,
    /// Whether its upstreams are model engines, which report their load.
    pub engine: bool,
    /// Whether its upstreams keep copies of each other's memory.
    pub copies: bool,
}

/// Bounds on what a caller may send, and on how long it may take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for a request's head to arrive.
    pub head_timeout: Duration,
    /// Time that a connection may stay idle.
    pub idle_timeout: Duration,
}

/// A key with the team that holds it.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerKey {
    /// The key itself.
    pub key: Arc<str>,
    /// Its team.
    pub team: TeamId,
    /// The team's rank, which goes before the route's; 0 is the highest.
    pub priority: Option<u8>,
}

impl RoutingConfig {
    /// Sorts keys so that they can be found.
    #[must_use]
    pub fn sorted_keys(mut keys: Vec<CallerKey>) -> Vec<CallerKey> {
        keys.sort_by(|a, b| a.key.cmp(&b.key));
        keys
    }

    /// What is said of a service.
    #[must_use]
    pub fn service(&self, name: &ServiceId) -> Option<&ServiceSpec> {
        let index = self.services.binary_search_by(|s| s.name.cmp(name)).ok()?;
        Some(&self.services[index])
    }

    /// Holder of a key.
    #[must_use]
    pub fn holder(&self, key: &str) -> Option<&CallerKey> {
        let keys = self.keys.as_ref()?;
        let index = keys.binary_search_by(|k| k.key.as_ref().cmp(key)).ok()?;
        Some(&keys[index])
    }
}

/// The newest configuration that this process has heard of. It never goes back: an older one that
/// arrives late, from a store that answers stale or from a peer, is dropped. Without this a caller
/// would see a removed route or key served again.
#[derive(Clone, Debug, Default)]
pub struct NewestConfig {
    config: Option<Arc<RoutingConfig>>,
}

impl NewestConfig {
    /// Takes `config` if it is newer; tells whether it was.
    pub fn advance(&mut self, config: Arc<RoutingConfig>) -> bool {
        let newer = self
            .config
            .as_ref()
            .is_none_or(|c| c.version < config.version);
        if newer {
            self.config = Some(config);
        }
        newer
    }

    /// The newest one, if any was heard of.
    #[must_use]
    pub fn get(&self) -> Option<&Arc<RoutingConfig>> {
        self.config.as_ref()
    }
}
