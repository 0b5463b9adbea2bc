use super::*;
use crate::killable_listener::KillableListener;
use crate::{
    proxy_route::ProxyRoute,
    query::{bad_request, query_number, query_value},
};
use tokio::net::TcpListener;
use volo_http::server::Server;

/// TCP proxy that injects faults, with an HTTP control API: `POST /route?to=ADDRESS` opens a route
/// and returns its address; without `to`, connections wait until `POST /target?route=N&to=ADDRESS`
/// sets it. `POST /fault?route=N&kind=K&ms=N` sets the fault of a route, and `GET /stats` returns the
/// number of bytes that each route has forwarded.
#[derive(Clone)]
pub struct FaultProxy {
    address: SocketAddr,
    routes: Arc<Mutex<Vec<ProxyRoute>>>,
}

impl FaultProxy {
    /// Starts a proxy without routes whose control API listens on `address`.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let proxy = Self {
            address: listener.local_addr()?,
            routes: Arc::default(),
        };
        let listener = KillableListener::new(listener, CancellationToken::new());
        tokio::spawn(Server::new(proxy.clone()).run(listener));
        Ok(proxy)
    }

    /// Returns the address of the control API.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Opens a route to an upstream and returns the route's listening address.
    ///
    /// # Errors
    ///
    /// If no address can be bound.
    pub async fn route(&self, to: SocketAddr) -> std::io::Result<SocketAddr> {
        self.open(Some(to)).await
    }

    /// Opens a route whose connections wait until it has a target, and returns its listening address.
    ///
    /// # Errors
    ///
    /// If no address can be bound.
    pub async fn route_without_target(&self) -> std::io::Result<SocketAddr> {
        self.open(None).await
    }

    async fn open(&self, target: Option<SocketAddr>) -> std::io::Result<SocketAddr> {
        let route = ProxyRoute::open(target).await?;
        let address = route.address();
        self.routes.lock().push(route);
        Ok(address)
    }

    /// Sets the upstream of the route with this index in order of opening, from 0. Returns false if
    /// there is no such route.
    #[must_use]
    pub fn set_target(&self, route: usize, target: SocketAddr) -> bool {
        match self.routes.lock().get(route) {
            Some(route) => route.set_target(target),
            None => return false,
        }
        true
    }

    /// Injects a fault on the route with this index in order of opening, from 0. Returns false if
    /// there is no such route.
    #[must_use]
    pub fn inject(&self, route: usize, fault: ProxyFault, delay: Duration) -> bool {
        match self.routes.lock().get(route) {
            Some(route) => route.inject(fault, delay),
            None => return false,
        }
        true
    }

    /// Returns the number of bytes that each route has forwarded, both directions together.
    #[must_use]
    pub fn forwarded_bytes(&self) -> Vec<u64> {
        self.routes
            .lock()
            .iter()
            .map(ProxyRoute::forwarded_bytes)
            .collect()
    }

    async fn handle_route(&self, req: &Request) -> Response {
        let target = match query_value(req, "to").map(str::parse) {
            None => None,
            Some(Ok(to)) => Some(to),
            Some(Err(_)) => return bad_request(),
        };
        match self.open(target).await {
            Ok(address) => Response::new(json_bytes(&address).into()),
            Err(_) => bad_request(),
        }
    }

    fn handle_target(&self, req: &Request) -> Response {
        let route = usize::try_from(query_number(req, "route")).unwrap_or(usize::MAX);
        match query_value(req, "to").and_then(|to| to.parse().ok()) {
            Some(to) if self.set_target(route, to) => Response::new(Body::empty()),
            _ => bad_request(),
        }
    }

    fn handle_fault(&self, req: &Request) -> Response {
        let route = usize::try_from(query_number(req, "route")).unwrap_or(usize::MAX);
        let delay = Duration::from_millis(query_number(req, "ms"));
        match query_value(req, "kind").and_then(|kind| kind.parse().ok()) {
            Some(fault) if self.inject(route, fault, delay) => Response::new(Body::empty()),
            _ => bad_request(),
        }
    }
}

impl volo::Service<ServerContext, Request> for FaultProxy {
    type Response = Response;
    type Error = Infallible;

    async fn call(&self, _: &mut ServerContext, req: Request) -> Result<Response, Infallible> {
        Ok(match (req.method(), req.uri().path()) {
            (&Method::GET, "/stats") => Response::new(json_bytes(&self.forwarded_bytes()).into()),
            (&Method::POST, "/route") => self.handle_route(&req).await,
            (&Method::POST, "/target") => self.handle_target(&req),
            (&Method::POST, "/fault") => self.handle_fault(&req),
            _ => bad_request(),
        })
    }
}
