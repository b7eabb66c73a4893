//! What operators set: the `[policy]` section of the environment document as the policy reads it.

use serde::{Deserialize, Serialize};
use units::{Rate, Span};

/// How an endpoint is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Routing {
    /// By the least expected completion.
    Completion,
    /// By the fewest calls outstanding from this entry; a baseline.
    LeastOutstanding,
    /// In turn; a baseline.
    RoundRobin,
}

/// How calls are ordered in a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// By class, attained service of the program and age.
    Attained,
    /// By arrival; a baseline.
    Arrival,
}

/// The settings of all decisions.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// How an endpoint is chosen.
    pub routing: Routing,
    /// How calls are ordered in a queue.
    pub order: Order,
    /// Endpoints compared at random besides those that hold a prefix.
    pub candidates: u32,
    /// Whether a claimed prefix counts in the expected completion.
    pub affinity: bool,
    /// Whether an endpoint's observed slowness counts in the expected completion.
    pub slowness: bool,
    /// Time that a kilobyte over the link between regions counts as in the expected completion.
    pub link_price: Span,
    /// How much earlier a call counts as arrived for each step of its class's precedence.
    pub head_start: Span,
    /// Waiting time that makes up for one token of attained service; the rate of ageing.
    pub attained_weight: Span,
    /// Waiting time that makes up for one second of a program's age; running programs go first.
    pub age_weight: Rate,
    /// Share of its class's objective after which a program's age no longer counts; 0 for never.
    pub late_after: Rate,
    /// Share of extra work that hedges may cause.
    pub hedge_budget: Rate,
    /// Share of the deadline that the expected completion of a new program may take; 0 admits all.
    pub admission: Rate,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            routing: Routing::Completion,
            order: Order::Attained,
            candidates: 4,
            affinity: true,
            slowness: true,
            link_price: Span::from_ms(30),
            head_start: Span::from_ms(30_000),
            attained_weight: Span::from_ms(1),
            age_weight: Rate(1.0),
            late_after: Rate(1.0),
            hedge_budget: Rate(0.0),
            admission: Rate(0.5),
        }
    }
}
