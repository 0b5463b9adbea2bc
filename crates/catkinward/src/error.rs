use super::*;

/// Every way in which the router can fail, with the sentence that its reader sees.
#[derive(Debug, Display, StdError, From)]
pub enum Error {
    /// A value of a bundle is wrong.
    #[display("bundle: {field}: {source}")]
    #[from(skip)]
    BundleField {
        /// Where in the bundle, as in `upstreams[2].address`.
        field: String,
        /// What is wrong.
        source: BundleFault,
    },
    /// A bundle is no JSON of the right shape.
    #[display("bundle: {source}")]
    #[from(skip)]
    BundleSyntax {
        /// Where and why.
        source: serde_json::Error,
    },
    /// A second signal ended the process before the drain had.
    #[display("ended at the second signal; {in_flight} requests were cut off")]
    #[from(skip)]
    CutOff {
        /// Requests that were in flight.
        in_flight: usize,
    },
    /// A decision refused its input.
    #[display("{_0}")]
    Decision(catkin_decisions::Error),
    /// A flag or variable that is not known, or has no value.
    #[display("{_0}; `catkinward --help` lists the flags")]
    Flag(lexopt::Error),
    /// A file could not be read.
    #[display("cannot read `{}`: {source}", path.display())]
    #[from(skip)]
    File {
        /// The file.
        path: PathBuf,
        /// Why not.
        source: io::Error,
    },
    /// An HTTP call failed.
    #[display("{_0}")]
    Http(http_client::HttpError),
    /// A listening socket could not be had.
    #[display("cannot listen on {address}: {source}")]
    #[from(skip)]
    Listen {
        /// Address asked for.
        address: SocketAddr,
        /// Why not.
        source: io::Error,
    },
    /// The HTTP server ended by itself.
    #[display("the HTTP server on {address} ended: {source}")]
    #[from(skip)]
    Server {
        /// Its address.
        address: SocketAddr,
        /// Why.
        source: volo_http::error::BoxError,
    },
    /// A service was asked for that is not there.
    #[display("no service `{name}` is registered")]
    #[from(skip)]
    ServiceAbsent {
        /// Its name.
        name: ServiceName,
    },
    /// A service was asked for as another type than it has.
    #[display("the service `{name}` is of another type")]
    #[from(skip)]
    ServiceOfOtherType {
        /// Its name.
        name: ServiceName,
    },
    /// Two services want one name.
    #[display("a service `{name}` is registered already")]
    #[from(skip)]
    ServiceTaken {
        /// The name.
        name: ServiceName,
    },
    /// A setting is missing.
    #[display("`--{flag}` or `{variable}` must be given")]
    #[from(skip)]
    SettingAbsent {
        /// Its flag.
        flag: &'static str,
        /// Its variable.
        variable: String,
    },
    /// A setting has a wrong value.
    #[display("`--{flag}` must be {expected}, but is `{value}`")]
    #[from(skip)]
    SettingValue {
        /// Its flag.
        flag: &'static str,
        /// What it must be.
        expected: &'static str,
        /// What it is.
        #[error(not(source))]
        value: String,
    },
}

/// What can be wrong with a value of a bundle.
#[derive(Debug, Display, StdError, From)]
pub enum BundleFault {
    /// It is no IP address and port.
    #[display("must be an IP address and port, but is `{_0}`")]
    #[from(skip)]
    Address(#[error(not(source))] String),
    /// Its form is wrong.
    #[display("{_0}")]
    Form(catkin_decisions::Error),
    /// It stands twice.
    #[display("`{_0}` stands twice")]
    #[from(skip)]
    Duplicate(#[error(not(source))] String),
    /// It is needed for this kind of service.
    #[display("is needed for a service of kind `generation`")]
    #[from(skip)]
    ModelAbsent,
    /// It names what is not there.
    #[display("`{_0}` is not defined in this bundle")]
    #[from(skip)]
    Unknown(#[error(not(source))] String),
}
