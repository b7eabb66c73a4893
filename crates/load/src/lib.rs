//! Load tool that compares policies on the same seeded arrivals. It is not shipped.
//!
//! Arrivals are open-loop: they do not depend on how fast earlier programs finish, as with callers
//! that act independently. Programs run either over real processes or over a model in virtual time;
//! both use the shipped policy code.

pub mod compare;
mod engine;
pub mod model;
pub mod outcome;
pub mod real;
pub mod report;
pub mod variant;
pub mod workload;
