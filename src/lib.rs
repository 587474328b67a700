//! dappleshore, a cluster scheduler: controllers take users' jobs, rent and return cloud machines, and run
//! tasks on workers. The binary only parses its command line; everything else is here, one module for each duty.

pub use dappleshore_domain as domain;

#[allow(missing_docs, clippy::too_many_lines, reason = "not reached yet: #30")]
pub mod block_leases;
#[allow(missing_docs, clippy::too_many_lines, reason = "not reached yet: #30")]
pub mod cancellation;
#[allow(missing_docs, reason = "not reached yet: #30")]
pub mod cli;
pub mod client;
#[allow(missing_docs, reason = "not reached yet: #30")]
pub mod cloud;
#[allow(missing_docs, clippy::too_many_lines, reason = "not reached yet: #30")]
pub mod config;
#[allow(missing_docs, clippy::too_many_lines, reason = "not reached yet: #30")]
pub mod controller;
pub mod features;
pub mod http;
pub mod job_api;
pub mod leader_context;
#[allow(missing_docs, clippy::too_many_lines, reason = "not reached yet: #30")]
pub mod leadership;
#[allow(missing_docs, reason = "not reached yet: #30")]
pub mod metrics;
pub mod operations;
#[allow(
    missing_docs,
    clippy::struct_excessive_bools,
    reason = "not reached yet: #30"
)]
pub mod peer;
#[allow(missing_docs, reason = "not reached yet: #30")]
pub mod placement;
#[allow(missing_docs, reason = "not reached yet: #30")]
pub mod policy;
#[allow(
    missing_docs,
    clippy::struct_excessive_bools,
    clippy::too_many_lines,
    reason = "not reached yet: #30"
)]
pub mod provisioning;
#[allow(missing_docs, clippy::too_many_lines, reason = "not reached yet: #30")]
pub mod scheduler;
pub mod service;
#[allow(missing_docs, clippy::too_many_lines, reason = "not reached yet: #30")]
pub mod store;
pub mod upgrade;
#[allow(
    missing_docs,
    clippy::cognitive_complexity,
    clippy::struct_excessive_bools,
    clippy::too_many_lines,
    reason = "not reached yet: #30"
)]
pub mod workers;
