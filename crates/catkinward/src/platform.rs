use super::*;
use futures::future::BoxFuture;

/// The platform's table service, object store and list of VMs, as closures. The real
/// protocol, the mock platform and the fakes of tests differ only in these closures.
pub struct Platform {
    /// Writes rows in one transaction if all conditions hold.
    pub transact: PlatformCall<platform_api::TransactRequest, platform_api::TransactReply>,
    /// Reads rows by key.
    pub read: PlatformCall<Vec<platform_api::RowKey>, Vec<platform_api::Row>>,
    /// Reads rows of a table by key prefix, in key order.
    pub scan: PlatformCall<platform_api::ScanRequest, Vec<platform_api::Row>>,
    /// Stores an object under a name.
    pub put_object: PlatformCall<(Arc<str>, Bytes), ()>,
    /// Fetches an object; `None` if no object has that name.
    pub get_object: PlatformCall<Arc<str>, Option<Bytes>>,
    /// Lists the live and leaving VMs and upstreams. The list can be out of date.
    pub vms: PlatformCall<(), Vec<platform_api::VmEntry>>,
}

/// An operation of the platform that takes `Q` and returns `A`.
pub type PlatformCall<Q, A> =
    Box<dyn Fn(Q) -> BoxFuture<'static, Result<A, PlatformError>> + Send + Sync>;

/// Error of a call to the platform.
#[derive(Clone, Debug, Display, IntoStaticStr, PartialEq, StdError)]
#[strum(serialize_all = "snake_case")]
pub enum PlatformError {
    /// The call certainly took no effect: it was refused or was never sent.
    #[display("the platform is not available")]
    NotRun,
    /// The call may have taken effect: its response was lost.
    #[display("the platform's response was lost")]
    Unknown,
    /// The call certainly took no effect: the platform throttled it.
    #[display("the platform's rate limit is reached")]
    Throttled,
    /// The call was not sent: the call limit for reads or writes is reached.
    #[display("the limit for calls of the platform is reached")]
    OutOfBudget,
}
