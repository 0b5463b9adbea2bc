use super::*;
use crate::ctl_settings::CtlSettings;
use futures::StreamExt;
use std::fmt::Write;

/// Calls of VMs that are under way at once; 400 VMs are asked in rounds of this many.
const FAN_OUT: usize = 32;

/// The VMs that an operator asks.
pub(crate) struct CtlVms {
    platform: Option<Arc<Platform>>,
    addresses: Vec<SocketAddr>,
    connections: Connections,
    headers: HeaderMap,
    timeout: Duration,
}

/// A VM to ask.
#[derive(Clone, Debug)]
struct CtlVm {
    name: String,
    address: Option<SocketAddr>,
}

/// Answers of the VMs that answered, and the others.
pub(crate) struct CtlAnswers<T> {
    pub(crate) answers: Vec<T>,
    pub(crate) missing: Vec<MissingVm>,
}

/// A VM that gave no answer.
#[derive(Clone, Debug, serde::Serialize)]
pub(crate) struct MissingVm {
    pub(crate) vm: String,
    pub(crate) reason: String,
}

impl CtlVms {
    pub(crate) fn new(platform: Option<Arc<Platform>>, settings: &CtlSettings) -> Result<Self> {
        let mut headers = HeaderMap::new();
        let bearer = format!("Bearer {}", settings.key()?);
        let bearer = bearer.parse().map_err(|_| Error::CtlKeyForm)?;
        headers.insert(header::AUTHORIZATION, bearer);
        Ok(Self {
            platform,
            addresses: settings.vms.clone(),
            connections: Connections::with_clock(Arc::default())?,
            headers,
            timeout: settings.timeout,
        })
    }

    /// Asks all VMs for `path`.
    ///
    /// # Errors
    ///
    /// If it cannot be learned which VMs there are.
    pub(crate) async fn ask<T: serde::de::DeserializeOwned>(
        &self,
        path: &str,
    ) -> Result<CtlAnswers<T>> {
        let vms = self.list().await?;
        let asked = vms.into_iter().map(|vm| self.ask_one(vm, path));
        let mut results = futures::stream::iter(asked).buffered(FAN_OUT);
        let mut all = CtlAnswers {
            answers: Vec::new(),
            missing: Vec::new(),
        };
        while let Some(result) = results.next().await {
            match result {
                Ok(answer) => all.answers.push(answer),
                Err(missing) => all.missing.push(missing),
            }
        }
        Ok(all)
    }

    async fn list(&self) -> Result<Vec<CtlVm>> {
        let Some(platform) = &self.platform else {
            let named = self.addresses.iter().map(|address| CtlVm {
                name: address.to_string(),
                address: Some(*address),
            });
            return Ok(named.collect());
        };
        let list = (platform.vms)(())
            .await
            .map_err(|fault| Error::CtlVmList { fault })?;
        let routers = list
            .into_iter()
            .filter(|entry| entry.kind == platform_api::VmKind::Router);
        let mut vms = routers
            .map(|entry| CtlVm {
                address: entry.operator_address.and_then(|a| a.parse().ok()),
                name: entry.id,
            })
            .collect::<Vec<_>>();
        vms.sort_by(|a, b| a.name.cmp(&b.name));
        Ok(vms)
    }

    async fn ask_one<T: serde::de::DeserializeOwned>(
        &self,
        vm: CtlVm,
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
            bound: self.timeout,
            fresh: true,
            ..HttpCall::default()
        };
        let answer = self.connections.call_json(call).await;
        answer.map_err(|fault| MissingVm {
            vm: vm.name,
            reason: fault.to_string(),
        })
    }
}

/// A line for each VM that gave no answer.
pub(crate) fn missing_lines(missing: &[MissingVm]) -> String {
    let mut lines = String::new();
    for MissingVm { vm, reason } in missing {
        let _ = writeln!(lines, "missing: {vm}: {reason}");
    }
    lines
}
