//! Gateways as separate processes before stand-ins of the platform's store and workers.

mod cluster;
mod http;

mod bad_input;
mod budgets;
mod faults;
mod outage;
mod routes;
mod sweep;
mod turns;
