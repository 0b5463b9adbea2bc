use super::*;

/// Every way in which an experiment can fail to run.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// A call of a caller failed.
    #[display("{_0}")]
    Call(catkin_standins::CallError),
    /// A flag or argument is not known.
    #[display("{_0}; `catkin-load help` lists the commands")]
    Flag(lexopt::Error),
    /// A process could not be started or ended.
    #[display("{role}: {source}")]
    #[from(skip)]
    Process {
        /// What it was to be.
        role: crate::Role,
        /// Why not.
        source: io::Error,
    },
    /// A process ended, or printed something else, before it listened.
    #[display("{role} did not say where it listens")]
    #[from(skip)]
    NotListening {
        /// What it was to be.
        role: crate::Role,
    },
    /// A process that should run does not.
    #[display("{role} does not run")]
    #[from(skip)]
    NotRunning {
        /// What it was to be.
        role: crate::Role,
    },
    /// A call to control a stand-in failed.
    #[display("{_0}")]
    Control(catkinward::http_client::HttpError),
    /// The client of the control calls could not be made.
    #[display("{_0}")]
    Client(catkinward::Error),
    /// A file could not be written or removed.
    #[display("{_0}")]
    File(io::Error),
    /// The routers did not become ready.
    #[display("no router became ready in time")]
    #[from(skip)]
    NotReady,
    /// A scenario that there is not.
    #[display("unknown scenario `{name}`; `catkin-load list` names them")]
    #[from(skip)]
    UnknownScenario {
        /// What was asked for.
        name: String,
    },
    /// A value of a flag is wrong.
    #[display("`--{flag}` cannot be `{value}`")]
    #[from(skip)]
    Value {
        /// The flag.
        flag: &'static str,
        /// Its value.
        value: String,
    },
    /// A command that there is not.
    #[display("unknown command; `catkin-load help` lists the commands")]
    #[from(skip)]
    UnknownCommand,
}
