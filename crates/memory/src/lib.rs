//! One limit for the memory that a process holds for callers, endpoints, peers and the store.
//!
//! Limits of single messages do not bound a process, as any number of them may be under way at once.
//! So whatever is to be held is charged to one [`Limiter`] first, and what finds no room is refused
//! before it is loaded. [`Usage`] decides. A [`Charge`] ends when it is dropped, and [`hold`] attaches
//! one to bytes, so that these count once, whoever shares them, until nobody does.

mod charge;
mod limiter;
mod usage;

pub use charge::{Charge, hold};
pub use limiter::{Cache, Limiter};
pub use usage::{Full, Size, Usage};
