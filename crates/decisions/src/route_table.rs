use super::*;

/// Routes, looked up by host and longest path prefix.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    /// Sorted by host, then by prefix.
    routes: Vec<Arc<Route>>,
}

impl RouteTable {
    /// Creates a table. Of several routes with the same host and prefix, the first is kept.
    #[must_use]
    pub fn new(routes: impl IntoIterator<Item = Route>) -> Self {
        let mut routes = routes.into_iter().map(Arc::new).collect::<Vec<_>>();
        routes.sort_by(|a, b| key(a).cmp(&key(b)));
        routes.dedup_by(|a, b| key(a) == key(b));
        Self { routes }
    }

    /// Finds the route of a call: the one for its host with the longest prefix of its path.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        // Each route prefix ends with a slash, so only prefixes of the path up to a slash can match.
        path.rmatch_indices('/').find_map(|(slash, _)| {
            let prefix = &path[..=slash];
            self.routes
                .binary_search_by(|route| key(route).cmp(&(host, prefix)))
                .ok()
                .map(|index| &self.routes[index])
        })
    }

    /// Iterates over all routes, in order of host and prefix.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.iter()
    }
}

fn key(route: &Route) -> (&str, &str) {
    (&route.host, &route.prefix)
}
