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
        source: BundleError,
    },
    /// A row of the bundle store cannot be read.
    #[display("the row `{key}` of the bundle store cannot be read: {source}")]
    #[from(skip)]
    BundleRow {
        /// Its key.
        key: String,
        /// Why not.
        source: serde_json::Error,
    },
    /// The content of a release or draft is not in the object store.
    #[display("the object store has no content with the digest {digest}")]
    #[from(skip)]
    BundleContent {
        /// Its digest.
        digest: BundleDigest,
    },
    /// The content of a release is not what its digest says.
    #[display("the bundle's content has the digest {found}, not {expected}")]
    #[from(skip)]
    BundleDigest {
        /// Digest that it should have.
        expected: BundleDigest,
        /// Digest that it has.
        found: BundleDigest,
    },
    /// The content of a release is no text.
    #[display("the bundle {digest} is no UTF-8 text")]
    #[from(skip)]
    BundleText {
        /// Its digest.
        digest: BundleDigest,
    },
    /// A bundle is no JSON of the right shape.
    #[display("bundle: {source}")]
    #[from(skip)]
    BundleSyntax {
        /// Where and why.
        source: serde_json::Error,
    },
    /// A step of a bundle was refused.
    #[display("{_0}")]
    BundleRefused(catkin_decisions::BundleRefusal),
    /// Whether a change took effect cannot be learned now.
    #[display(
        "{fault}, and reading back did not settle it: the change may have taken effect, or may yet; \
         `catkinctl bundle status` tells once the platform answers"
    )]
    #[from(skip)]
    ChangeInDoubt {
        /// The last fault.
        fault: PlatformError,
    },
    /// A second signal ended the process before the drain had.
    #[display("ended at the second signal; {in_flight} requests were cut off")]
    #[from(skip)]
    CutOff {
        /// Requests that were in flight.
        in_flight: usize,
    },
    /// A command of `catkinctl` lacks an argument.
    #[display("`{command}` needs {argument}; `catkinctl --help` tells more")]
    #[from(skip)]
    CtlArgumentAbsent {
        /// The command.
        command: String,
        /// What it lacks.
        argument: &'static str,
    },
    /// A command of `catkinctl` has an argument too many.
    #[display("`{argument}` is one argument too many")]
    #[from(skip)]
    CtlArgumentExtra {
        /// The argument.
        argument: String,
    },
    /// `catkinctl` was given no command.
    #[display("no command is given; `catkinctl --help` lists them")]
    #[from(skip)]
    CtlCommandAbsent,
    /// `catkinctl` was given a command that it does not have.
    #[display("there is no command `{command}`; `catkinctl --help` lists them")]
    #[from(skip)]
    CtlCommandUnknown {
        /// The command.
        command: String,
    },
    /// A flag of `catkinctl` is not known, or has no value.
    #[display("{source}; `catkinctl --help` lists the flags")]
    #[from(skip)]
    CtlFlag {
        /// Which, and why.
        source: lexopt::Error,
    },
    /// The operators' key is not set.
    #[display("the operators' key must be given in `CATKINCTL_KEY`")]
    #[from(skip)]
    CtlKeyAbsent,
    /// The operators' key cannot be sent.
    #[display("the operators' key must have visible ASCII characters only")]
    #[from(skip)]
    CtlKeyForm,
    /// `catkinctl explain` was not told which request.
    #[display("`explain` needs the request's id, as in `--request ID`")]
    #[from(skip)]
    CtlRequestAbsent,
    /// The platform does not tell which VMs there are.
    #[display("the platform's list of VMs cannot be had: {fault}; name VMs with `--vm ADDRESS`")]
    #[from(skip)]
    CtlVmList {
        /// Why not.
        fault: PlatformError,
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
    /// A change certainly took no effect.
    #[display("{fault}; nothing was changed")]
    #[from(skip)]
    NothingChanged {
        /// The last fault.
        fault: PlatformError,
    },
    /// The platform gave no answer.
    #[display("{_0}")]
    Platform(PlatformError),
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
pub enum BundleError {
    /// It is no IP address and port.
    #[display("must be an IP address and port, but is `{_0}`")]
    #[from(skip)]
    Address(#[error(not(source))] String),
    /// It is empty.
    #[display("must not be empty")]
    #[from(skip)]
    Empty,
    /// It is no HTTP method.
    #[display("must be an HTTP method in capitals")]
    #[from(skip)]
    Method,
    /// It belongs to the other kind of service.
    #[display("is not allowed for a service of kind `{_0}`")]
    #[from(skip)]
    OtherKind(#[error(not(source))] bundle_api::ServiceKind),
    /// It is no path.
    #[display("must begin with `/`")]
    #[from(skip)]
    Prefix,
    /// Two teams have one key.
    #[display("is the key of team `{_0}` too")]
    #[from(skip)]
    SharedKey(#[error(not(source))] TeamId),
    /// It is no JSON of the right shape.
    #[display("{_0}")]
    #[from(skip)]
    Syntax(serde_json::Error),
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
