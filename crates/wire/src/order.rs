//! Orders to an engine, each with a fencing number.

use std::fmt;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use units::Target;

use crate::frame::Refused;

/// Fencing number, which grows from order to order. An endpoint rejects an order whose number is
/// lower than one that it has accepted.
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

/// The action that an order requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Loads a model.
    Load(Target),
    /// Loads an adapter, given by its name, of a model.
    Adapter(Target, CompactString),
    /// Assumes a role, given by its name, such as prefill.
    Role(CompactString),
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The order's fencing number.
    pub fence: Fence,
    /// The action requested.
    pub action: Action,
}

/// Outcome of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ordered {
    /// The order was carried out.
    Done,
    /// The order was not carried out, because the endpoint has accepted an order with this number.
    Fenced(Fence),
    /// The order failed for another reason.
    Refused(Refused),
}
