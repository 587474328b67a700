//! dappleshore, a cluster scheduler: controllers accept users' jobs, rent and return cloud machines, and run tasks on
//! workers. The binary parses the command line and starts the service; everything else is in the modules here.

pub use dappleshore_domain as domain;

pub mod block_leases;
pub mod cancellation;
#[allow(missing_docs, reason = "not reached yet: #30")]
pub mod cli;
pub mod client;
pub mod cloud;
#[allow(missing_docs, clippy::too_many_lines, reason = "not reached yet: #30")]
pub mod config;
pub mod controller;
pub mod features;
pub mod http;
pub mod job_api;
pub mod leader_context;
pub mod leader_writer;
pub mod leadership;
pub mod metrics;
pub mod operations;
pub mod peer;
pub mod placement;
#[allow(missing_docs, reason = "not reached yet: #30")]
pub mod policy;
pub mod provisioning;
#[allow(missing_docs, clippy::too_many_lines, reason = "not reached yet: #30")]
pub mod scheduler;
pub mod service;
pub mod store;
pub mod upgrade;
pub mod workers;
