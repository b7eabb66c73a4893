//! Orders to an engine, each with a fencing number.

use std::fmt;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use units::Target;

use crate::frame::Refused;

/// A number that only grows from order to order: an endpoint takes no order with a lower one than it
/// has taken already.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Fence(pub u64);

impl fmt::Display for Fence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// What an engine is to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Load a model.
    Load(Target),
    /// Load an adapter of a model.
    Adapter(Target, CompactString),
    /// Take on a role.
    Role(CompactString),
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Its fencing number.
    pub fence: Fence,
    /// What is to be done.
    pub action: Action,
}

/// What became of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ordered {
    /// It was carried out.
    Done,
    /// It was not carried out: the endpoint has taken an order with this number.
    Fenced(Fence),
    /// It failed otherwise.
    Refused(Refused),
}
