//! Load and experiments: real processes of routers and stand-ins, faults, and checks by callers.

pub(crate) use {
    derive_more::{Display, Error, From},
    std::{
        ffi::OsString,
        io,
        net::SocketAddr,
        process::{ExitCode, Stdio},
    },
    tokio::{
        io::{AsyncBufReadExt, BufReader},
        process::{Child, Command},
    },
};

pub use crate::{
    error::Error as LoadError,
    process::{Process, Role, run_process},
};

mod error;
mod process;
