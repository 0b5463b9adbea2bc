use super::*;
use crate::ctl_settings::CtlSettings;
use futures::StreamExt;
use std::fmt::Write;

/// Maximum number of concurrent calls; a system of 400 VMs is queried with this many at a time.
const MAX_CONCURRENT_CALLS: usize = 32;

/// Client of the operator APIs of all VMs.
pub(crate) struct CtlVms {
    platform: Option<Arc<Platform>>,
    addresses: Vec<SocketAddr>,
    connections: Connections,
    headers: HeaderMap,
    timeout: Duration,
}

/// A VM to query. `address` is `None` if the platform lists no operator address for it.
#[derive(Clone, Debug)]
struct VmTarget {
    name: String,
    address: Option<SocketAddr>,
}

/// Replies of the VMs, and the VMs that did not reply.
pub(crate) struct VmReplies<T> {
    pub(crate) replies: Vec<T>,
    pub(crate) missing: Vec<MissingVm>,
}

/// A VM without a usable reply.
#[derive(Clone, Debug, serde::Serialize)]
pub(crate) struct MissingVm {
    pub(crate) vm: String,
    pub(crate) reason: String,
}

impl CtlVms {
    pub(crate) fn new(platform: Option<Arc<Platform>>, settings: &CtlSettings) -> Result<Self> {
        let mut headers = HeaderMap::new();
        let bearer = format!("Bearer {}", settings.key()?);
        let bearer = bearer.parse().map_err(|_| Error::CtlKeyInvalid)?;
        headers.insert(header::AUTHORIZATION, bearer);
        Ok(Self {
            platform,
            addresses: settings.vms.clone(),
            connections: Connections::with_clock(Arc::default())?,
            headers,
            timeout: settings.timeout,
        })
    }

    /// Sends a GET request for `path` to all VMs.
    ///
    /// # Errors
    ///
    /// Returns an error if the list of VMs cannot be fetched from the platform.
    pub(crate) async fn query<T: serde::de::DeserializeOwned>(
        &self,
        path: &str,
    ) -> Result<VmReplies<T>> {
        let vms = self.list_vms().await?;
        let queries = vms.into_iter().map(|vm| self.query_vm(vm, path));
        let mut results = futures::stream::iter(queries).buffered(MAX_CONCURRENT_CALLS);
        let mut all = VmReplies {
            replies: Vec::new(),
            missing: Vec::new(),
        };
        while let Some(result) = results.next().await {
            match result {
                Ok(reply) => all.replies.push(reply),
                Err(missing) => all.missing.push(missing),
            }
        }
        Ok(all)
    }

    async fn list_vms(&self) -> Result<Vec<VmTarget>> {
        let Some(platform) = &self.platform else {
            let targets = self.addresses.iter().map(|address| VmTarget {
                name: address.to_string(),
                address: Some(*address),
            });
            return Ok(targets.collect());
        };
        let entries = (platform.vms)(())
            .await
            .map_err(|error| Error::CtlVmList { error })?;
        let routers = entries
            .into_iter()
            .filter(|entry| entry.kind == platform_api::VmKind::Router);
        let mut vms = routers
            .map(|entry| VmTarget {
                address: entry.operator_address.and_then(|a| a.parse().ok()),
                name: entry.id,
            })
            .collect::<Vec<_>>();
        vms.sort_by(|a, b| a.name.cmp(&b.name));
        Ok(vms)
    }

    async fn query_vm<T: serde::de::DeserializeOwned>(
        &self,
        vm: VmTarget,
        path: &str,
    ) -> Result<T, MissingVm> {
        let Some(address) = vm.address else {
            return Err(MissingVm {
                vm: vm.name,
                reason: "the platform's list has no operator address of it".to_owned(),
            });
        };
        let call = HttpCall {
            address,
            path: path.to_owned(),
            headers: self.headers.clone(),
            timeout: self.timeout,
            new_connection: true,
            ..HttpCall::default()
        };
        let reply = self.connections.call_json(call).await;
        reply.map_err(|error| MissingVm {
            vm: vm.name,
            reason: error.to_string(),
        })
    }
}

/// Formats one line for each VM without a reply.
pub(crate) fn missing_lines(missing: &[MissingVm]) -> String {
    let mut lines = String::new();
    for MissingVm { vm, reason } in missing {
        let _ = writeln!(lines, "missing: {vm}: {reason}");
    }
    lines
}
