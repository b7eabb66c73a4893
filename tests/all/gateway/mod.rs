//! Tests of gateways as separate processes, with stand-ins for the store and the workers.

mod cluster;
mod http;

mod accounts;
mod bad_input;
mod budgets;
mod crash;
mod faults;
mod large_documents;
mod leaving;
mod limit;
mod odd_entries;
mod outage;
mod owners;
mod resume;
mod routes;
mod soak;
mod soak_accounts;
mod soak_budgets;
mod soak_documents;
mod soak_streams;
mod sweep;
mod turns;
mod unlisted;
