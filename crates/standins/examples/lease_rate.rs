//! Measures the load of leases on the table service: VMs that compete for three scopes, first
//! without a VM list and then with one.
//!
//! `cargo run --release -p catkin-standins --example lease_rate`

use catkin_border::platform::{PlatformFaults, VmEntry, VmKind, VmList, VmState};
use catkin_decisions::{Incarnation, LeaseHolder, LeaseSettings};
use catkin_standins::PlatformServer;
use catkinward::{
    Leases, Platform, PlatformSettings, Timer,
    http_client::{Connections, HttpCall, json_bytes},
};
use std::{error::Error, net::SocketAddr, sync::Arc, time::Duration};

const SCOPES: [&str; 3] = ["claims-sweep", "orders/one", "orders/two"];
const WARM_UP: Duration = Duration::from_secs(5);
const RUN_DURATION: Duration = Duration::from_secs(20);

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    for (vms, listed) in [(8, false), (8, true), (40, false), (40, true)] {
        let (reads, writes) = run(vms, listed).await?;
        println!(
            "{{\"vms\":{vms},\"listed\":{listed},\"scopes\":{},\"reads_per_s\":{reads:.2},\"writes_per_s\":{writes:.2}}}",
            SCOPES.len(),
        );
    }
    Ok(())
}

async fn run(vms: usize, listed: bool) -> Result<(f64, f64), Box<dyn Error>> {
    let faults = serde_json::from_str::<PlatformFaults>("{}")?;
    let server = PlatformServer::start(SocketAddr::from(([127, 0, 0, 1], 0)), faults).await?;
    let connections = Arc::new(Connections::new()?);
    if listed {
        let call = HttpCall {
            address: server.address(),
            method: http::Method::PUT,
            path: "/v1/vms".to_owned(),
            body: json_bytes(&vm_list(vms)),
            ..HttpCall::default()
        };
        connections.call_complete(call).await?;
    }
    let mut running_leases = Vec::new();
    for i in 0..vms {
        let timer = Timer::start();
        let cfg = PlatformSettings::default();
        let platform =
            Platform::over_http(connections.clone(), timer.clone(), server.address(), cfg);
        let holder = LeaseHolder {
            vm: format!("vm-{i}").parse()?,
            incarnation: Incarnation(1),
        };
        let leases = Leases::start(Arc::new(platform), timer, holder, LeaseSettings::default());
        // The VM list must have been read before the first poll of a scope.
        tokio::time::sleep(Duration::from_millis(20)).await;
        for scope in SCOPES {
            leases.compete(scope);
        }
        running_leases.push(leases);
    }
    tokio::time::sleep(WARM_UP).await;
    let before = server.stats();
    tokio::time::sleep(RUN_DURATION).await;
    let after = server.stats();
    let rate = |after: u64, before: u64| {
        u32::try_from(after - before).map(|calls| f64::from(calls) / RUN_DURATION.as_secs_f64())
    };
    Ok((
        rate(after.reads, before.reads)?,
        rate(after.writes, before.writes)?,
    ))
}

fn vm_list(vms: usize) -> VmList {
    let entry = |i| VmEntry {
        id: format!("vm-{i}"),
        kind: VmKind::Router,
        address: "127.0.0.1:1".into(),
        operator_address: None,
        availability_zone: "zone-1".into(),
        state: VmState::Live,
    };
    VmList {
        vms: (0..vms).map(entry).collect(),
    }
}
