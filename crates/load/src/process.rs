use super::*;
use crate::error::Error;
use rustix::process::{Pid, Signal};

/// What a process of an experiment is.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::EnumString, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// A router, as the daemon `catkinward`.
    Router,
    /// A stand-in, as the daemon `catkin-standins`.
    Standin,
}

/// A process of an experiment: this program again, as a router or stand-in. It is killed when it is
/// dropped.
#[derive(Debug)]
pub struct Process {
    role: Role,
    child: Child,
    /// Held so that it ends with this one. Kept apart from `child`, which would close it when it is waited
    /// for, and the process would end in the middle of its shutdown.
    _input: Option<ChildStdin>,
    address: SocketAddr,
    others: Vec<(String, SocketAddr)>,
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
        args: &[impl AsRef<std::ffi::OsStr>],
    ) -> Result<Self, Error> {
        let mut child = Command::new(program)
            .args(["process", &role.to_string()])
            .args(args)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(log_output(role)?)
            .kill_on_drop(true)
            .spawn()
            .map_err(|source| Error::Process { role, source })?;
        let stdout = child.stdout.take().ok_or(Error::NotListening { role })?;
        let mut lines = BufReader::new(stdout).lines();
        let (address, others) = listening_addresses(&mut lines)
            .await
            .ok_or(Error::NotListening { role })?;
        tokio::spawn(read_on(lines));
        Ok(Self {
            role,
            _input: child.stdin.take(),
            child,
            address,
            others,
        })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Another address that it listens on, by the name that it prints.
    #[must_use]
    pub fn other_address(&self, name: &str) -> Option<SocketAddr> {
        let found = self.others.iter().find(|(other, _)| other == name);
        found.map(|(_, address)| *address)
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

    /// Sends it a signal: kills, pauses or resumes it, or asks it to end.
    ///
    /// # Errors
    ///
    /// If it has been waited for already.
    pub fn signal(&self, signal: Signal) -> Result<(), Error> {
        let role = self.role;
        let pid = self.child.id().and_then(|id| i32::try_from(id).ok());
        let pid = pid.and_then(Pid::from_raw);
        let pid = pid.ok_or(Error::NotRunning { role })?;
        let sent = rustix::process::kill_process(pid, signal);
        sent.map_err(|source| Error::Process {
            role,
            source: source.into(),
        })
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

    /// Whether it has ended by itself or was killed.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Its process id, while it runs.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }
}

/// Reads lines of a name and an address until the one that says `listening`.
async fn listening_addresses(
    lines: &mut Lines<BufReader<ChildStdout>>,
) -> Option<(SocketAddr, Vec<(String, SocketAddr)>)> {
    let mut others = Vec::new();
    loop {
        let line = lines.next_line().await.ok()??;
        let (name, address) = line.split_once(' ')?;
        let address = address.parse().ok()?;
        if name == "listening" {
            return Some((address, others));
        }
        others.push((name.to_owned(), address));
    }
}

/// Reads what a process writes until its end. Were it not read, the process would find its output closed.
async fn read_on(mut lines: Lines<BufReader<ChildStdout>>) {
    while let Ok(Some(_)) = lines.next_line().await {}
}

/// Where the log of a process goes: into a file of the folder that [`LOG_VARIABLE`] names, or where that of
/// the experiment goes.
fn log_output(role: Role) -> Result<Stdio, Error> {
    static PROCESSES: AtomicUsize = AtomicUsize::new(0);
    let Some(folder) = std::env::var_os(LOG_VARIABLE) else {
        return Ok(Stdio::inherit());
    };
    let number = PROCESSES.fetch_add(1, Ordering::Relaxed);
    let file = Path::new(&folder).join(format!("{role}-{number}.log"));
    let file = std::fs::File::create(file).map_err(|source| Error::Process { role, source })?;
    Ok(Stdio::from(file))
}

/// What routers log: all, where their logs are kept, and else what ends a run.
pub(crate) fn log_filter() -> &'static str {
    match std::env::var_os(LOG_VARIABLE) {
        Some(_) => "info",
        None => "error",
    }
}

/// Variable that names the folder for the logs of an experiment's processes; without it none is kept.
const LOG_VARIABLE: &str = "CATKIN_LOAD_LOGS";

/// Runs this process as `role`.
#[must_use]
pub fn run_process(role: Role, args: Vec<OsString>) -> ExitCode {
    std::thread::spawn(end_with_parent);
    match role {
        Role::Router => catkinward::run_daemon(args),
        Role::Standin => catkin_standins::run_standin(args),
    }
}

/// Ends this process once its input does: the experiment that started it holds the other end. One that is
/// killed would leave its processes behind, which hold their ports and the output of the test.
fn end_with_parent() {
    let mut input = std::io::stdin().lock();
    if let Err(error) = std::io::copy(&mut input, &mut std::io::sink()) {
        eprintln!("the input cannot be read: {error}");
    }
    std::process::exit(1);
}
