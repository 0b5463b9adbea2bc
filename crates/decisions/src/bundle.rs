use super::*;

/// A validated configuration bundle. All lists are sorted by name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Bundle {
    /// Version of the release that this bundle belongs to.
    pub version: BundleVersion,
    /// Digest of the bundle's canonical form.
    pub digest: BundleDigest,
    /// Teams that may send calls.
    pub teams: Vec<Team>,
    /// Services that teams may call.
    pub services: Vec<Service>,
    /// Upstreams that run the services.
    pub upstreams: Vec<Upstream>,
}

impl Bundle {
    /// Looks up a service by name.
    #[must_use]
    pub fn service(&self, id: &str) -> Option<&Service> {
        let i = self
            .services
            .binary_search_by(|service| service.id.as_str().cmp(id))
            .ok()?;
        self.services.get(i)
    }

    /// Looks up a team by name.
    #[must_use]
    pub fn team(&self, id: &TeamId) -> Option<&Team> {
        let i = self.teams.binary_search_by(|team| team.id.cmp(id)).ok()?;
        self.teams.get(i)
    }

    /// Looks up a team by the hash of its bearer key.
    #[must_use]
    pub fn team_by_key(&self, key: &KeyHash) -> Option<&Team> {
        self.teams.iter().find(|team| team.key == *key)
    }

    /// Looks up an upstream by id.
    #[must_use]
    pub fn upstream(&self, id: &UpstreamId) -> Option<&Upstream> {
        let i = self
            .upstreams
            .binary_search_by(|upstream| upstream.id.cmp(id))
            .ok()?;
        self.upstreams.get(i)
    }
}
