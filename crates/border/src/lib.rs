//! Types of the external interfaces: callers, engines, the platform, operators.
//!
//! They are generated from the JSON schemas in `schema/` by
//! `cargo run -p catkin-border --example generate` and committed, so that builds do not run the
//! generator.

#[allow(missing_docs, clippy::all, clippy::pedantic)]
#[rustfmt::skip]
#[path = "generated/bundle.rs"]
pub mod bundle;
#[allow(missing_docs, clippy::all, clippy::pedantic)]
#[rustfmt::skip]
#[path = "generated/caller.rs"]
pub mod caller;
#[allow(missing_docs, clippy::all, clippy::pedantic)]
#[rustfmt::skip]
#[path = "generated/engine.rs"]
pub mod engine;
#[allow(missing_docs, clippy::all, clippy::pedantic)]
#[rustfmt::skip]
#[path = "generated/operator.rs"]
pub mod operator;
#[allow(missing_docs, clippy::all, clippy::pedantic)]
#[rustfmt::skip]
#[path = "generated/platform.rs"]
pub mod platform;
#[allow(missing_docs, clippy::all, clippy::pedantic)]
#[rustfmt::skip]
#[path = "generated/rows.rs"]
pub mod rows;
