use super::*;
use crate::error::Error;
use rustix::process::{Pid, Signal};

/// Role of a process of an experiment.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::EnumString, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// A router, the same as the daemon `catkinward`.
    Router,
    /// A mock server, the same as the daemon `catkin-standins`.
    Standin,
}

/// A child process of an experiment: this program, run as a router or mock server. It is killed on
/// drop.
#[derive(Debug)]
pub struct Process {
    role: Role,
    child: Child,
    /// Write end of the child's standard input; the child exits when it closes. Kept out of `child`,
    /// because waiting for the child would close it and end the process during its shutdown.
    _stdin: Option<ChildStdin>,
    address: SocketAddr,
    other_addresses: Vec<(String, SocketAddr)>,
}

impl Process {
    /// Starts `program process ROLE ARGS...` and waits until it listens.
    ///
    /// # Errors
    ///
    /// If it does not start, or does not print its listening address.
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
        let (address, other_addresses) = listening_addresses(&mut lines)
            .await
            .ok_or(Error::NotListening { role })?;
        tokio::spawn(discard_output(lines));
        Ok(Self {
            role,
            _stdin: child.stdin.take(),
            child,
            address,
            other_addresses,
        })
    }

    /// Returns the main listening address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the additional listening address with the given name, as printed by the process.
    #[must_use]
    pub fn other_address(&self, name: &str) -> Option<SocketAddr> {
        let found = self.other_addresses.iter().find(|(other, _)| other == name);
        found.map(|(_, address)| *address)
    }

    /// Kills the process with SIGKILL and waits for it.
    ///
    /// # Errors
    ///
    /// If the process cannot be killed or waited for.
    pub async fn kill(&mut self) -> Result<(), Error> {
        let role = self.role;
        self.child
            .kill()
            .await
            .map_err(|source| Error::Process { role, source })
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    ///
    /// If the process has already been waited for, or the signal cannot be sent.
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

    /// Waits until the process exits and returns its exit code; `None` if a signal ended it.
    ///
    /// # Errors
    ///
    /// If the process cannot be waited for.
    pub async fn wait(&mut self) -> Result<Option<i32>, Error> {
        let role = self.role;
        let status = self.child.wait().await;
        let status = status.map_err(|source| Error::Process { role, source })?;
        Ok(status.code())
    }

    /// Returns whether the process has exited or was killed.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Returns the process id; `None` once the process has been waited for.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }
}

/// Reads lines of the form `NAME ADDRESS` until the one named `listening`, the main address.
async fn listening_addresses(
    lines: &mut Lines<BufReader<ChildStdout>>,
) -> Option<(SocketAddr, Vec<(String, SocketAddr)>)> {
    let mut other_addresses = Vec::new();
    loop {
        let line = lines.next_line().await.ok()??;
        let (name, address) = line.split_once(' ')?;
        let address = address.parse().ok()?;
        if name == "listening" {
            return Some((address, other_addresses));
        }
        other_addresses.push((name.to_owned(), address));
    }
}

/// Reads and discards the output of a process until it ends; otherwise the pipe would close and the
/// process's writes to it would fail.
async fn discard_output(mut lines: Lines<BufReader<ChildStdout>>) {
    while let Ok(Some(_)) = lines.next_line().await {}
}

/// Returns the standard error of a process: a file in a directory of the running program and test below
/// the one that [`LOG_DIR_VARIABLE`] names, or inherited if the variable is unset.
fn log_output(role: Role) -> Result<Stdio, Error> {
    static PROCESSES: AtomicUsize = AtomicUsize::new(0);
    let Some(directory) = std::env::var_os(LOG_DIR_VARIABLE) else {
        return Ok(Stdio::inherit());
    };
    let number = PROCESSES.fetch_add(1, Ordering::Relaxed);
    let directory = Path::new(&directory).join(log_subdirectory());
    let file = directory.join(format!("{role}-{number}.log"));
    let file = std::fs::create_dir_all(&directory)
        .and_then(|()| std::fs::File::create(file))
        .map_err(|source| Error::Process { role, source })?;
    Ok(Stdio::from(file))
}

/// Returns `PROGRAM-PID/THREAD`; the test harness names the thread of a test after the test.
fn log_subdirectory() -> PathBuf {
    let program = std::env::current_exe().ok();
    let program = program.as_deref().and_then(Path::file_stem);
    let program = program.unwrap_or_default().to_string_lossy();
    let thread = std::thread::current();
    let thread = thread.name().unwrap_or("unnamed").replace("::", "-");
    Path::new(&format!("{program}-{}", std::process::id())).join(thread)
}

/// Returns the log level of routers: `info` if logs are kept in files, otherwise `error`.
pub(crate) fn log_filter() -> &'static str {
    match std::env::var_os(LOG_DIR_VARIABLE) {
        Some(_) => "info",
        None => "error",
    }
}

/// Environment variable with the directory for the log files of an experiment's processes. If it is
/// unset, no log files are written.
const LOG_DIR_VARIABLE: &str = "CATKIN_LOAD_LOGS";

/// Runs this process in the given role until it ends.
#[must_use]
pub fn run_process(role: Role, args: Vec<OsString>) -> ExitCode {
    std::thread::spawn(exit_with_parent);
    match role {
        Role::Router => catkinward::run_daemon(args),
        Role::Standin => catkin_standins::run_standin(args),
    }
}

/// Exits this process when its standard input closes, whose other end the experiment holds. Without
/// this, a killed experiment would leave its processes behind, which keep their ports and the
/// output of the test open.
fn exit_with_parent() {
    let mut input = std::io::stdin().lock();
    if let Err(error) = std::io::copy(&mut input, &mut std::io::sink()) {
        eprintln!("failed to read standard input: {error}");
    }
    std::process::exit(1);
}
