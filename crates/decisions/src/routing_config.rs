use super::*;

/// One version of the routing configuration, which is signed off elsewhere and applied as a whole.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingConfig {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Size of the configuration's encoded form, in bytes.
    pub bytes: usize,
    /// Routes by host and path prefix.
    pub routes: RouteTable,
    /// Services, sorted by name.
    pub services: Vec<ServiceSpec>,
    /// Limits on requests from callers.
    pub limits: CallerLimits,
    /// Keys of callers, sorted by key; `None` if callers need no key.
    pub keys: Option<Vec<CallerKey>>,
}

/// Settings of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: ServiceId,
    /// Whether the service's upstreams are model engines, which report their load.
    pub engine: bool,
    /// Whether the service's upstreams keep KV copies (backups of each other's KV cache).
    pub copies: bool,
    /// KV cache memory of each engine in tokens, if the configuration states it.
    pub kv_capacity: Option<u32>,
}

/// Limits on the size of a caller's requests and on the time they may take to arrive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerLimits {
    /// Maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving a request's head.
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

/// A caller's key with the team that it belongs to.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerKey {
    /// Key as the caller sends it.
    pub key: Arc<str>,
    /// Team that the key belongs to.
    pub team: TeamId,
    /// Priority of the team, which overrides that of the route; 0 is the highest.
    pub priority: Option<u8>,
}

impl RoutingConfig {
    /// Sorts keys for the binary search in [`Self::find_key`].
    #[must_use]
    pub fn sorted_keys(mut keys: Vec<CallerKey>) -> Vec<CallerKey> {
        keys.sort_by(|a, b| a.key.cmp(&b.key));
        keys
    }

    /// Returns the settings of a service.
    #[must_use]
    pub fn service(&self, name: &ServiceId) -> Option<&ServiceSpec> {
        let index = self.services.binary_search_by(|s| s.name.cmp(name)).ok()?;
        Some(&self.services[index])
    }

    /// Whether the calls of a service compete by rank: the routes to it have different priorities.
    #[must_use]
    pub fn is_ranked(&self, service: &ServiceId) -> bool {
        let mut priorities = self
            .routes
            .iter()
            .filter(|route| route.targets.iter().any(|t| t.service == *service))
            .map(|route| route.priority);
        let first = priorities.next();
        priorities.any(|priority| Some(priority) != first)
    }

    /// Looks up a caller's key.
    #[must_use]
    pub fn find_key(&self, key: &str) -> Option<&CallerKey> {
        let keys = self.keys.as_ref()?;
        let index = keys.binary_search_by(|k| k.key.as_ref().cmp(key)).ok()?;
        Some(&keys[index])
    }
}

/// The newest configuration that this process has received. An older one that arrives later, from a
/// peer or a stale read of the store, is dropped: otherwise a removed route or key would be served
/// again.
#[derive(Clone, Debug, Default)]
pub struct NewestConfig {
    config: Option<Arc<RoutingConfig>>,
}

impl NewestConfig {
    /// Replaces the configuration if `config` is newer, and returns whether it was.
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

    /// Returns the newest configuration, if one has been received.
    #[must_use]
    pub fn get(&self) -> Option<&Arc<RoutingConfig>> {
        self.config.as_ref()
    }
}
