use super::*;

/// A checked configuration bundle under its version. All lists are sorted by name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Bundle {
    /// Version under which it was rolled out.
    pub version: BundleVersion,
    /// Digest of its canonical form.
    pub digest: BundleDigest,
    /// Teams that may call.
    pub teams: Vec<Team>,
    /// Services offered.
    pub services: Vec<Service>,
    /// Upstreams that serve them.
    pub upstreams: Vec<Upstream>,
}

impl Bundle {
    /// The service of that name.
    #[must_use]
    pub fn service(&self, id: &str) -> Option<&Service> {
        let i = self
            .services
            .binary_search_by(|service| service.id.as_str().cmp(id))
            .ok()?;
        self.services.get(i)
    }

    /// The team of that name.
    #[must_use]
    pub fn team(&self, id: &TeamId) -> Option<&Team> {
        let i = self.teams.binary_search_by(|team| team.id.cmp(id)).ok()?;
        self.teams.get(i)
    }

    /// The team whose bearer key has that hash.
    #[must_use]
    pub fn team_by_key(&self, key: &KeyHash) -> Option<&Team> {
        self.teams.iter().find(|team| team.key == *key)
    }

    /// The upstream of that id.
    #[must_use]
    pub fn upstream(&self, id: &UpstreamId) -> Option<&Upstream> {
        let i = self
            .upstreams
            .binary_search_by(|upstream| upstream.id.cmp(id))
            .ok()?;
        self.upstreams.get(i)
    }
}
