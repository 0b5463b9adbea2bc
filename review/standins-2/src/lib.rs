//! Small stand-ins of the platform store, of workers and of requesters, for the scripts of the second review.
//! They follow PROTOCOL.md and use blocking sockets and threads.

pub mod http;
pub mod record;
pub mod router;
pub mod shop;
pub mod store;
pub mod worker;
