//! Load and experiments: the same seeded arrivals under several policies. Not shipped.
//!
//! The programs come open-loop, as they would from callers who do not wait for each other. They are
//! run either over real processes or over a small model in virtual time; both use the policy code that
//! is shipped.

pub mod compare;
mod engine;
pub mod model;
pub mod outcome;
pub mod real;
pub mod report;
pub mod variant;
pub mod workload;
