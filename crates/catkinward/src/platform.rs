use super::*;
use futures::future::BoxFuture;

/// The platform's table service, object store and VM list, as closures: the real protocol, the
/// stand-in's and a test's fake differ here and nowhere else.
pub struct Platform {
    /// Writes rows in one transaction, if all conditions hold.
    pub transact: PlatformCall<platform_api::TransactRequest, platform_api::TransactReply>,
    /// Reads rows by key.
    pub read: PlatformCall<Vec<platform_api::RowKey>, Vec<platform_api::Row>>,
    /// Reads rows of a table by key prefix, in key order.
    pub scan: PlatformCall<platform_api::ScanRequest, Vec<platform_api::Row>>,
    /// Stores an object under a name.
    pub put_object: PlatformCall<(Arc<str>, Bytes), ()>,
    /// Fetches an object; `None` if there is none of that name.
    pub get_object: PlatformCall<Arc<str>, Option<Bytes>>,
    /// Lists live and leaving VMs and upstreams; the list lags.
    pub vms: PlatformCall<(), Vec<platform_api::VmEntry>>,
}

/// One call of the platform.
pub type PlatformCall<Q, A> =
    Box<dyn Fn(Q) -> BoxFuture<'static, Result<A, PlatformError>> + Send + Sync>;

/// Why a call of the platform brought no answer.
#[derive(Clone, Debug, Display, IntoStaticStr, PartialEq, StdError)]
#[strum(serialize_all = "snake_case")]
pub enum PlatformError {
    /// It certainly took no effect: it was refused, or never left.
    #[display("the platform is not available")]
    NotRun,
    /// It may have taken effect: its answer was lost.
    #[display("the platform's answer was lost")]
    Unknown,
    /// It certainly took no effect: the platform's rate limit is reached.
    #[display("the platform's rate limit is reached")]
    Throttled,
    /// No budget is left for calls of this kind; it was not sent.
    #[display("the budget for calls of the platform is used up")]
    OutOfBudget,
}
