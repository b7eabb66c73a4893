//! Settings of the policy: the `[policy]` section of the environment document.

use serde::{Deserialize, Serialize};
use units::{Rate, Span};

/// How an endpoint is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Routing {
    /// The endpoint with the least expected completion time.
    Completion,
    /// The endpoint with the fewest outstanding calls of this entry; a baseline for comparisons.
    LeastOutstanding,
    /// Each endpoint in turn; a baseline for comparisons.
    RoundRobin,
}

/// How calls are ordered in a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// By precedence of the class, attained service and age of the program.
    Attained,
    /// By arrival; a baseline for comparisons.
    Arrival,
}

/// Settings of all policy decisions.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// How an endpoint is chosen.
    pub routing: Routing,
    /// How calls are ordered in a queue.
    pub order: Order,
    /// Number of randomly chosen endpoints compared besides those that have cached a prefix.
    pub candidates: u32,
    /// Whether an estimated cached prefix shortens the expected completion time.
    pub affinity: bool,
    /// Whether an endpoint's observed slowness lengthens the expected completion time.
    pub slowness: bool,
    /// Price of a kilobyte over the link between regions, as time added to the expected completion.
    pub link_price: Span,
    /// How much earlier a call ranks for each step of its class's precedence.
    pub head_start: Span,
    /// How much later a call ranks for each token generated for its program, which sets the rate of
    /// ageing: waiting this long makes up for one token.
    pub attained_weight: Span,
    /// How much earlier a call ranks for each second of its program's age, in seconds, so that
    /// running programs precede new ones.
    pub age_weight: Rate,
    /// Share of the class's objective after which a program's age no longer counts; 0 means never.
    pub late_after: Rate,
    /// Share of finished work that hedges may add as extra work; 0 means no hedges.
    pub hedge_budget: Rate,
    /// Share of the class's objective that a new program may be expected to wait; 0 admits all.
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
