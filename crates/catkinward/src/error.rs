use super::*;

/// An error of the router or of `catkinctl`, with the message for its operator.
#[derive(Debug, Display, StdError, From)]
pub enum Error {
    /// A field of a bundle has an invalid value.
    #[display("bundle: {field}: {source}")]
    #[from(skip)]
    BundleField {
        /// Path of the field, such as `upstreams[2].address`.
        field: String,
        /// Reason why the value is invalid.
        source: BundleError,
    },
    /// A row of the bundle store cannot be parsed.
    #[display("the row `{key}` of the bundle store cannot be parsed: {source}")]
    #[from(skip)]
    BundleRow {
        /// Key of the row.
        key: String,
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
    /// The object store lacks the content of a release or draft.
    #[display("the object store has no content with the digest {digest}")]
    #[from(skip)]
    BundleContent {
        /// Digest that the release or draft refers to.
        digest: BundleDigest,
    },
    /// The content of a release does not match its digest.
    #[display("the bundle's content has the digest {found}, not {expected}")]
    #[from(skip)]
    BundleDigest {
        /// Digest that the release refers to.
        expected: BundleDigest,
        /// Digest of the content.
        found: BundleDigest,
    },
    /// The content of a release is not UTF-8.
    #[display("the bundle {digest} is not UTF-8 text")]
    #[from(skip)]
    BundleNotUtf8 {
        /// Digest of the content.
        digest: BundleDigest,
    },
    /// A bundle is not valid JSON, or its top level has the wrong type.
    #[display("bundle: {source}")]
    #[from(skip)]
    BundleSyntax {
        /// Error of the JSON parser, with its line and column.
        source: serde_json::Error,
    },
    /// A change of a bundle was refused by its rules.
    #[display("{_0}")]
    BundleRefused(catkin_decisions::BundleRefusal),
    /// It is unknown whether a change took effect.
    #[display(
        "{error}, and reading the state back was inconclusive: the change may have taken effect or may \
         still do so; run `catkinctl bundle status` once the platform responds"
    )]
    #[from(skip)]
    ChangeOutcomeUnknown {
        /// Error of the last platform call.
        error: PlatformError,
    },
    /// A second signal stopped the process before its drain was complete.
    #[display("stopped by a second signal; {in_flight} requests in flight were aborted")]
    #[from(skip)]
    AbortedRequests {
        /// Number of requests that were in flight.
        in_flight: usize,
    },
    /// A command of `catkinctl` lacks a required argument.
    #[display("`{command}` requires {argument}; see `catkinctl --help`")]
    #[from(skip)]
    CtlArgumentAbsent {
        /// Command as given, such as `bundle propose`.
        command: String,
        /// Placeholder of the argument in `--help`, such as `FILE`.
        argument: &'static str,
    },
    /// A command of `catkinctl` has more arguments than it takes.
    #[display("unexpected argument `{argument}`")]
    #[from(skip)]
    CtlArgumentExtra {
        /// First surplus argument.
        argument: String,
    },
    /// The command line of `catkinctl` has no command.
    #[display("no command given; `catkinctl --help` lists the commands")]
    #[from(skip)]
    CtlCommandAbsent,
    /// `catkinctl` has no such command.
    #[display("unknown command `{command}`; `catkinctl --help` lists the commands")]
    #[from(skip)]
    CtlCommandUnknown {
        /// Command as given.
        command: String,
    },
    /// A flag of `catkinctl` is unknown or lacks a value.
    #[display("{source}; `catkinctl --help` lists the flags")]
    #[from(skip)]
    CtlFlag {
        /// Error of the command-line parser, which names the flag.
        source: lexopt::Error,
    },
    /// The environment has no key for the operator API.
    #[display("the operator key must be set in `CATKINCTL_KEY`")]
    #[from(skip)]
    CtlKeyAbsent,
    /// The operator key cannot be sent in an HTTP header.
    #[display("the operator key must consist of visible ASCII characters")]
    #[from(skip)]
    CtlKeyInvalid,
    /// `catkinctl explain` was run without `--request`.
    #[display("`explain` requires the request's id: `--request ID`")]
    #[from(skip)]
    CtlRequestAbsent,
    /// The list of VMs cannot be fetched from the platform.
    #[display(
        "cannot fetch the list of VMs from the platform: {error}; pass VM addresses with `--vm ADDRESS`"
    )]
    #[from(skip)]
    CtlVmList {
        /// Error of the platform call.
        error: PlatformError,
    },
    /// The decisions library rejected its input.
    #[display("{_0}")]
    Decision(catkin_decisions::Error),
    /// A flag of `catkinward` is unknown or lacks a value.
    #[display("{_0}; `catkinward --help` lists the flags")]
    Flag(lexopt::Error),
    /// A file cannot be read.
    #[display("cannot read `{}`: {source}", path.display())]
    #[from(skip)]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// An HTTP call failed.
    #[display("{_0}")]
    Http(http_client::HttpError),
    /// A listening socket cannot be opened.
    #[display("cannot listen on {address}: {source}")]
    #[from(skip)]
    Listen {
        /// Requested address.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A change was not made, and it is certain that it took no effect.
    #[display("{error}; nothing was changed")]
    #[from(skip)]
    NothingChanged {
        /// Error of the last platform call.
        error: PlatformError,
    },
    /// A call of the platform failed.
    #[display("{_0}")]
    Platform(PlatformError),
    /// An HTTP server stopped without a request to shut down.
    #[display("the HTTP server on {address} stopped: {source}")]
    #[from(skip)]
    Server {
        /// Address that it served.
        address: SocketAddr,
        /// Error of the HTTP library.
        source: volo_http::error::BoxError,
    },
    /// A service was looked up that is not registered.
    #[display("no service `{name}` is registered")]
    #[from(skip)]
    ServiceAbsent {
        /// Name that was looked up.
        name: ServiceName,
    },
    /// A service was looked up with a type other than its own.
    #[display("the service `{name}` has a different type")]
    #[from(skip)]
    ServiceTypeMismatch {
        /// Name that was looked up.
        name: ServiceName,
    },
    /// A second service was registered under the same name.
    #[display("a service `{name}` is already registered")]
    #[from(skip)]
    ServiceAlreadyRegistered {
        /// Name of both services.
        name: ServiceName,
    },
    /// A required setting is missing.
    #[display("`--{flag}` or `{variable}` must be given")]
    #[from(skip)]
    SettingAbsent {
        /// Flag of the setting, without the dashes.
        flag: &'static str,
        /// Environment variable of the setting.
        variable: String,
    },
    /// A setting has an invalid value.
    #[display("`--{flag}` must be {expected}, but is `{value}`")]
    #[from(skip)]
    SettingValue {
        /// Flag of the setting, without the dashes.
        flag: &'static str,
        /// Description of the valid values.
        expected: &'static str,
        /// Value as given.
        #[error(not(source))]
        value: String,
    },
    /// Another VM has taken over a generation whose response is being sent here.
    #[display("another VM goes on with this generation")]
    #[from(skip)]
    Superseded,
}

/// Reason why a value in a bundle is invalid.
#[derive(Debug, Display, StdError, From)]
pub enum BundleError {
    /// The value is not an IP address and port.
    #[display("must be an IP address and port, but is `{_0}`")]
    #[from(skip)]
    Address(#[error(not(source))] String),
    /// The value is empty.
    #[display("must not be empty")]
    #[from(skip)]
    Empty,
    /// The value is not an HTTP method.
    #[display("must be an HTTP method in upper case")]
    #[from(skip)]
    Method,
    /// The field is only allowed for the other kind of service.
    #[display("is not allowed for a service of kind `{_0}`")]
    #[from(skip)]
    WrongServiceKind(#[error(not(source))] bundle_api::ServiceKind),
    /// The path prefix is not absolute.
    #[display("must begin with `/`")]
    #[from(skip)]
    Prefix,
    /// Two teams have the same key.
    #[display("is also the key of team `{_0}`")]
    #[from(skip)]
    DuplicateKey(#[error(not(source))] TeamId),
    /// The value has a JSON type or field that the format does not allow.
    #[display("{_0}")]
    #[from(skip)]
    Syntax(serde_json::Error),
    /// The value violates the format of its type, such as a name that is too long.
    #[display("{_0}")]
    Form(catkin_decisions::Error),
    /// The value occurs more than once.
    #[display("`{_0}` is defined more than once")]
    #[from(skip)]
    Duplicate(#[error(not(source))] String),
    /// A generation service lacks its model.
    #[display("is required for a service of kind `generation`")]
    #[from(skip)]
    MissingModel,
    /// The value refers to an entry that the bundle does not define.
    #[display("`{_0}` is not defined in this bundle")]
    #[from(skip)]
    Unknown(#[error(not(source))] String),
}
