use super::*;

/// Every way in which an experiment can fail to run.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// A call of a caller failed.
    #[display("{_0}")]
    Call(catkin_standins::CallFault),
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
    /// A command that there is not.
    #[display("unknown command; `catkin-load help` lists the commands")]
    #[from(skip)]
    UnknownCommand,
}
