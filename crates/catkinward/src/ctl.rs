use super::*;
use crate::{
    ctl_bundle::CtlBundle,
    ctl_explain,
    ctl_settings::{CTL_HELP, CtlCommand, CtlSettings},
    ctl_status, ctl_timeline,
    ctl_vms::CtlVms,
};
use catkin_decisions::CallLimiterSettings;
use std::process::ExitCode;

/// Runs `catkinctl` with the given command-line arguments, without the program name.
pub fn run_ctl(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let read = CtlSettings::read(args, |name| std::env::var(name).ok());
    match read.and_then(|(settings, command)| run(&settings, command)) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the command and returns the text for standard output.
#[tokio::main(flavor = "current_thread")]
async fn run(settings: &CtlSettings, command: CtlCommand) -> Result<String> {
    match command {
        CtlCommand::Help => Ok(CTL_HELP.to_owned()),
        CtlCommand::Version => Ok(format!("catkinctl {}\n", env!("CARGO_PKG_VERSION"))),
        CtlCommand::Check(file) => CtlBundle::check(&file),
        CtlCommand::Explain(files) => ctl_explain::run(settings.query.request.as_ref(), &files),
        CtlCommand::Status => ctl_status::run(settings, &vms(settings)?).await,
        CtlCommand::Timeline => ctl_timeline::run(settings, &vms(settings)?).await,
        command => {
            let platform = platform(settings.platform()?)?;
            CtlBundle::new(platform, settings).run(command).await
        }
    }
}

fn vms(settings: &CtlSettings) -> Result<CtlVms> {
    let platform = match (settings.vms.is_empty(), settings.platform) {
        (true, _) => Some(platform(settings.platform()?)?),
        (false, _) => None,
    };
    CtlVms::new(platform, settings)
}

/// Connects to the platform without a call limit: one operator makes only a few calls, so the limit
/// that VMs share is not needed. `BundleStore` waits between retries after errors.
fn platform(address: SocketAddr) -> Result<Arc<Platform>> {
    let unlimited = CallLimiterSettings {
        refill_interval: Duration::from_millis(1),
        burst: 1_000,
        failures_before_backoff: u32::MAX,
        ..CallLimiterSettings::default()
    };
    let cfg = PlatformSettings {
        reads: unlimited,
        writes: unlimited,
        ..PlatformSettings::default()
    };
    let connections = Arc::new(Connections::new()?);
    let platform = Platform::over_http(connections, Timer::start(), address, cfg);
    Ok(Arc::new(platform))
}
