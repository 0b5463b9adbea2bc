use super::*;
use crate::error::Error;

/// What a process of an experiment is.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::EnumString, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// A router, as the daemon `catkinward`.
    Router,
    /// A stand-in, as the daemon `catkin-standins`.
    Standin,
}

/// Where a process listens.
#[derive(Debug)]
struct Addresses {
    callers: SocketAddr,
    operators: Option<SocketAddr>,
}

/// A process of an experiment: this program again, as a router or stand-in. It is killed when it is
/// dropped.
#[derive(Debug)]
pub struct Process {
    role: Role,
    child: Child,
    addresses: Addresses,
}

impl Process {
    /// Starts `program process ROLE ARGS...` and waits until it listens.
    ///
    /// # Errors
    ///
    /// If it does not start, or does not say where it listens.
    pub async fn start(
        program: &std::path::Path,
        role: Role,
        args: &[&str],
    ) -> Result<Self, Error> {
        let mut child = Command::new(program)
            .args(["process", &role.to_string()])
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .map_err(|source| Error::Process { role, source })?;
        let addresses = read_addresses(&mut child)
            .await
            .ok_or(Error::NotListening { role })?;
        Ok(Self {
            role,
            child,
            addresses,
        })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.addresses.callers
    }

    /// Where it serves operators, if it does.
    #[must_use]
    pub fn operator_address(&self) -> Option<SocketAddr> {
        self.addresses.operators
    }

    /// Kills it without notice.
    ///
    /// # Errors
    ///
    /// If it cannot be killed.
    pub async fn kill(&mut self) -> Result<(), Error> {
        let role = self.role;
        self.child
            .kill()
            .await
            .map_err(|source| Error::Process { role, source })
    }

    /// Waits for its end and returns its exit code.
    ///
    /// # Errors
    ///
    /// If it cannot be waited for.
    pub async fn wait(&mut self) -> Result<Option<i32>, Error> {
        let role = self.role;
        let status = self.child.wait().await;
        let status = status.map_err(|source| Error::Process { role, source })?;
        Ok(status.code())
    }

    /// Its process id, while it runs.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }
}

async fn read_addresses(child: &mut Child) -> Option<Addresses> {
    let mut lines = BufReader::new(child.stdout.take()?).lines();
    let mut operators = None;
    loop {
        let line = lines.next_line().await.ok()??;
        match line.split_once(' ')? {
            ("operators", address) => operators = Some(address.parse().ok()?),
            ("listening", address) => {
                let callers = address.parse().ok()?;
                return Some(Addresses { callers, operators });
            }
            _ => return None,
        }
    }
}

/// Runs this process as `role`.
#[must_use]
pub fn run_process(role: Role, args: Vec<OsString>) -> ExitCode {
    match role {
        Role::Router => catkinward::run_daemon(args),
        Role::Standin => catkin_standins::run_standin(args),
    }
}
