//! dappleshore, a cluster scheduler: controllers take users' jobs, rent and return cloud machines, and run
//! tasks on workers. The binary only parses its command line; everything else is here, one module for each duty.

pub use dappleshore_domain as domain;

pub mod block_leases;
pub mod cancellation;
pub mod cli;
pub mod client;
pub mod cloud;
pub mod config;
pub mod controller;
pub mod features;
pub mod fleet;
pub mod http;
pub mod intake;
pub mod leader_context;
pub mod leadership;
pub mod metrics;
pub mod operations;
pub mod peer;
pub mod placement;
pub mod policy;
pub mod provisioning;
pub mod queueing;
pub mod service;
pub mod store;
pub mod upgrade;
