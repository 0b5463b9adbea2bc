use super::*;

/// Errors that prevent an experiment from running.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// A caller's request failed.
    #[display("{_0}")]
    Call(catkin_standins::CallError),
    /// The command line contains an unknown flag or argument.
    #[display("{_0}; `catkin-load help` lists the commands")]
    Flag(lexopt::Error),
    /// A process could not be started, signalled or waited for.
    #[display("{role}: {source}")]
    #[from(skip)]
    Process {
        /// Role of the process.
        role: crate::Role,
        /// The I/O error.
        source: io::Error,
    },
    /// A process exited, or printed an unexpected line, before it reported its listening address.
    #[display("{role} did not report a listening address")]
    #[from(skip)]
    NotListening {
        /// Role of the process.
        role: crate::Role,
    },
    /// A process that the operation needs is not running.
    #[display("{role} is not running")]
    #[from(skip)]
    NotRunning {
        /// Role of the process.
        role: crate::Role,
    },
    /// A control request to a mock upstream or the fault proxy failed.
    #[display("{_0}")]
    Control(catkinward::http_client::HttpError),
    /// A component of `catkinward` failed: the HTTP client or the bundle store.
    #[display("{_0}")]
    Client(catkinward::Error),
    /// A file or socket operation failed.
    #[display("{_0}")]
    File(io::Error),
    /// The routers did not become ready in time.
    #[display("the routers did not become ready within 40 s")]
    #[from(skip)]
    NotReady,
    /// No scenario has this name.
    #[display("unknown scenario `{name}`; `catkin-load list` lists the scenarios")]
    #[from(skip)]
    UnknownScenario {
        /// The requested name.
        name: String,
    },
    /// A flag has an invalid value.
    #[display("invalid value `{value}` for `--{flag}`")]
    #[from(skip)]
    Value {
        /// Name of the flag, without dashes.
        flag: &'static str,
        /// The rejected value.
        value: String,
    },
    /// No command has this name.
    #[display("unknown command; `catkin-load help` lists the commands")]
    #[from(skip)]
    UnknownCommand,
}
